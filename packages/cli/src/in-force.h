#ifndef CLI_IN_FORCE_H
#define CLI_IN_FORCE_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Determines where the sheet or control object of a given number is in force
 * (design, section 7): in each data centre whose live daemons all report that
 * number or a higher one.  No I/O: works on responses of GET /status.
 */

/* Bytes, with the NUL. */
#define IN_FORCE_NAME_SIZE 64
#define IN_FORCE_LAGGING_SIZE 256

enum in_force_state
{
  IN_FORCE_YES,
  IN_FORCE_PENDING, /* at least one live daemon reports a lower number */
  IN_FORCE_UNKNOWN, /* unreachable: no live daemon is known */
};

struct in_force_data_centre
{
  char data_centre[IN_FORCE_NAME_SIZE];
  enum in_force_state state;
  unsigned live_count;    /* live daemons whose number is known */
  unsigned current_count; /* live daemons with the number or a higher one */
  bool reported_by_peers; /* known only through daemons of other data centres */
  uint64_t lowest_number; /* lowest number that a live daemon reports */
  /* Names of live daemons with a lower number; "..." for those left out. */
  char lagging_hosts[IN_FORCE_LAGGING_SIZE];
};

struct in_force
{
  struct in_force_data_centre *data_centres;
  size_t count;
};

enum in_force_object
{
  IN_FORCE_SHEET,
  IN_FORCE_CONTROL,
};

void in_force_init (struct in_force *in_force);
void in_force_finish (struct in_force *in_force);

/*
 * Adds a data centre that must be shown even if no daemon reports it.  Its
 * state is IN_FORCE_UNKNOWN until an update.
 */
enum result in_force_expect (struct in_force *in_force,
                             const char *data_centre);

/*
 * Computes the states anew.  statuses[i] is NULL if entry host i did not
 * respond.  RESULT_NO_MEMORY leaves the states undefined.
 */
enum result in_force_update (struct in_force *in_force,
                             enum in_force_object object,
                             uint64_t number,
                             const json_t *const *statuses,
                             size_t count);

/* Returns the number of data centres in the state. */
size_t in_force_count (const struct in_force *in_force,
                       enum in_force_state state);

/* Returns "in force", "pending" or "unknown". */
const char *in_force_state_name (enum in_force_state state);

#endif
