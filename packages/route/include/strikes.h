#ifndef ROUTE_STRIKES_H
#define ROUTE_STRIKES_H

#include "hash.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Requests suspected of crashing the endpoints that run them.
 *
 * A request gets one strike per crash of an endpoint on which it was running.
 * Two strikes quarantine its fingerprint.  The entry hosts of a data centre
 * report strikes to each other; merging is idempotent, since each strike
 * carries the endpoint and its boot id.
 */

#define STRIKES_TO_QUARANTINE 2
#define STRIKES_EXPIRY_MS 600000 /* 10 minutes after the last strike */
#define STRIKES_CRASH_LIMIT 4    /* distinct crashes kept per fingerprint */
#define STRIKES_CRASH_SIZE 136   /* "host/boot-id" */

struct strike_entry
{
  char fingerprint[HASH_HEX_SIZE];
  char crashes[STRIKES_CRASH_LIMIT][STRIKES_CRASH_SIZE];
  size_t crash_count;
  size_t cleared_count;  /* the oldest crashes, which no longer count */
  int64_t last_crash_ms; /* when the last crash or release was recorded */
  unsigned running;      /* not maintained: always 0 */
  bool released;         /* an operator released the request */
  UT_hash_handle hh;
};

struct strikes
{
  struct strike_entry *entries; /* uthash by fingerprint */
  size_t count;
  size_t limit; /* entries; a full table replaces its oldest entry */
};

void strikes_init (struct strikes *strikes, size_t limit);
void strikes_finish (struct strikes *strikes);

/*
 * Records one crash; false if it was known already.  True when memory is
 * short, although nothing was recorded: the peers must still be notified.
 */
bool strikes_add (struct strikes *strikes,
                  const char *fingerprint,
                  const char *host,
                  const char *boot_id,
                  int64_t now_ms);

/* Clears the strikes of a request that completed and so did not cause them. */
void strikes_clear (struct strikes *strikes, const char *fingerprint);

/* Clears the strikes for an operator; later crashes count again from zero. */
void strikes_release (struct strikes *strikes,
                      const char *fingerprint,
                      int64_t now_ms);

/* Strikes that count now. */
unsigned strikes_count (const struct strikes *strikes,
                        const char *fingerprint,
                        int64_t now_ms);

/* RESULT_QUARANTINED, with *retry_after_ms set, or RESULT_OK. */
enum result strikes_check (const struct strikes *strikes,
                           const char *fingerprint,
                           int64_t now_ms,
                           int64_t *retry_after_ms);

/* Removes entries whose last crash is older than STRIKES_EXPIRY_MS. */
void strikes_tick (struct strikes *strikes, int64_t now_ms);

#endif
