#ifndef DAEMON_CLAIM_CLEANUP_H
#define DAEMON_CLAIM_CLEANUP_H

#include "member.h"
#include "platform.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Deletes claims and stored answers whose retention is over.  Only the entry
 * host of rank 0 in the whole fleet does it.  If two hosts act as rank 0 at
 * the same time, the second deletion of an object has no effect.
 */

#define CLAIM_CLEANUP_INTERVAL_MS 600000
#define CLAIM_CLEANUP_DELETE_INTERVAL_MS 200 /* 5 platform writes a second */

struct claim_cleanup
{
  struct platform *platform;
  struct member_table *members;
  json_t *keys;      /* listed objects; NULL = no list to process */
  size_t next_key;   /* index of the next key to check */
  bool listing;      /* a list request is in progress */
  bool list_answers; /* the next request lists answers/ instead of claims/ */
  int64_t next_list_ms;
  int64_t next_delete_ms;
  uint64_t deleted_count; /* objects deleted since the start */
};

void claim_cleanup_init (struct claim_cleanup *cleanup,
                         struct platform *platform,
                         struct member_table *members,
                         int64_t now_ms);
void claim_cleanup_finish (struct claim_cleanup *cleanup);
void claim_cleanup_tick (struct claim_cleanup *cleanup, int64_t now_ms);

#endif
