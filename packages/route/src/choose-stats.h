#ifndef ROUTE_CHOOSE_STATS_H
#define ROUTE_CHOOSE_STATS_H

#include "choose.h"

/* Statistics and circuit breakers of the endpoints, by key. */

/* NULL if the key has no statistics yet. */
struct choose_stats *choose_stats_find (const struct chooser *chooser,
                                        const char *key);

/*
 * Finds or creates the statistics of a key.  NULL if memory is short; the
 * endpoint is then used without statistics.
 */
struct choose_stats *choose_stats_get (struct chooser *chooser,
                                       const char *key);

/* Removes the statistics from the table and frees them. */
void choose_stats_remove (struct chooser *chooser, struct choose_stats *stats);

/* True if the circuit breaker permits a call; stats may be NULL. */
bool choose_breaker_permits (const struct choose_stats *stats, int64_t now_ms);

#endif
