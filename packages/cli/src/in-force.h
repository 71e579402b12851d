#ifndef CLI_IN_FORCE_H
#define CLI_IN_FORCE_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Where a number of the sheet or control object is in force (design, section
 * 7): in a data centre whose live daemons all report that number or a higher
 * one.  No I/O: works on answers of GET /status.
 */

#define IN_FORCE_NAME_SIZE 64
#define IN_FORCE_LAGGING_SIZE 256

enum in_force_state
{
  IN_FORCE_YES,
  IN_FORCE_PENDING, /* some live daemon reports a lower number */
  IN_FORCE_UNKNOWN, /* no live daemon is known: it cannot be reached */
};

struct in_force_place
{
  char data_centre[IN_FORCE_NAME_SIZE];
  enum in_force_state state;
  unsigned live;   /* daemons that are counted */
  unsigned have;   /* of these, with the number */
  bool by_peers;   /* only daemons of other data centres told of it */
  uint64_t lowest; /* lowest number that a live daemon reports */
  char lagging[IN_FORCE_LAGGING_SIZE]; /* hosts without it, maybe cut */
};

struct in_force
{
  struct in_force_place *places;
  size_t count;
};

enum in_force_subject
{
  IN_FORCE_SHEET,
  IN_FORCE_CONTROL,
};

void in_force_init (struct in_force *in_force);
void in_force_finish (struct in_force *in_force);

/* Names a data centre that must be shown even if no daemon speaks of it. */
enum result in_force_expect (struct in_force *in_force,
                             const char *data_centre);

/*
 * Replaces the states.  statuses[i] is NULL where an entry host gave no
 * answer.  RESULT_NO_MEMORY leaves the states undefined.
 */
enum result in_force_update (struct in_force *in_force,
                             enum in_force_subject subject,
                             uint64_t number,
                             const json_t *const *statuses,
                             size_t count);

/* How many places have the state. */
size_t in_force_count (const struct in_force *in_force,
                       enum in_force_state state);

/* "in force", "pending" or "unknown". */
const char *in_force_state_name (enum in_force_state state);

#endif
