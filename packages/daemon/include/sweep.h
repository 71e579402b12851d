#ifndef DAEMON_SWEEP_H
#define DAEMON_SWEEP_H

#include "member.h"
#include "platform.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Deletes claims and stored answers past their retention.  The entry host of
 * the first rank in the whole fleet does it; if two do it at once, a second
 * deletion of an object finds nothing.
 */

#define SWEEP_INTERVAL_MS 600000
#define SWEEP_DELETE_MS                                                        \
  200 /* between two deletions: 5 platform writes a second */

struct sweep
{
  struct platform *platform;
  struct member_table *members;
  json_t *keys; /* listed and still to look at; NULL = none */
  size_t next_key;
  bool listing;
  bool answers; /* the next list is that of answers/ */
  int64_t next_list_ms;
  int64_t next_delete_ms;
  uint64_t deleted;
};

void sweep_init (struct sweep *sweep,
                 struct platform *platform,
                 struct member_table *members,
                 int64_t now_ms);
void sweep_finish (struct sweep *sweep);
void sweep_tick (struct sweep *sweep, int64_t now_ms);

#endif
