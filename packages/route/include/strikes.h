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
 * A request that was running at an endpoint when it died gets one strike per
 * death.  Two strikes quarantine its fingerprint.  Entry hosts of a data
 * centre tell each other the strikes; merging is idempotent, since each
 * strike carries the endpoint and its boot id.
 */

#define STRIKES_QUARANTINE 2
#define STRIKES_HOLD_MS 600000 /* a strike is forgotten after 10 minutes */
#define STRIKES_DEATHS 4       /* distinct deaths kept per fingerprint */
#define STRIKES_DEATH_SIZE 136 /* "host/boot-id" */

struct strike_entry
{
  char fingerprint[HASH_HEX_SIZE];
  char deaths[STRIKES_DEATHS][STRIKES_DEATH_SIZE];
  size_t death_count;
  size_t forgiven; /* the first deaths that do not count any more */
  int64_t last_ms;
  unsigned running; /* own attempts that run now */
  bool released;    /* an operator released it */
  UT_hash_handle hh;
};

struct strikes
{
  struct strike_entry *entries; /* uthash by fingerprint */
  size_t count;
  size_t limit; /* oldest entries go first past this many */
};

void strikes_init (struct strikes *strikes, size_t limit);
void strikes_finish (struct strikes *strikes);

/*
 * Records one death; false if it was known already.  True, with nothing
 * recorded, when there is no memory: the peers are to be told all the same.
 */
bool strikes_add (struct strikes *strikes,
                  const char *fingerprint,
                  const char *host,
                  const char *boot_id,
                  int64_t now_ms);

/* A struck request that completed is innocent: its strikes are cleared. */
void strikes_clear (struct strikes *strikes, const char *fingerprint);

/* An operator's release; later deaths count anew. */
void strikes_release (struct strikes *strikes,
                      const char *fingerprint,
                      int64_t now_ms);

unsigned strikes_count (const struct strikes *strikes,
                        const char *fingerprint,
                        int64_t now_ms);

/* QUARANTINED with *retry_after_ms, or RESULT_OK. */
enum result strikes_check (const struct strikes *strikes,
                           const char *fingerprint,
                           int64_t now_ms,
                           int64_t *retry_after_ms);

/* Forgets what is older than STRIKES_HOLD_MS. */
void strikes_tick (struct strikes *strikes, int64_t now_ms);

#endif
