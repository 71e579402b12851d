#ifndef ROUTE_CHOOSE_STATS_H
#define ROUTE_CHOOSE_STATS_H

#include "choose.h"

/* Statistics and circuit breakers of the endpoints, by key. */

/* NULL if there are none yet. */
struct choose_stats *choose_stats_find (const struct chooser *chooser,
                                        const char *key);

/*
 * Finds or creates; NULL if there is no memory, and the endpoint is then used
 * without statistics.
 */
struct choose_stats *choose_stats_get (struct chooser *chooser,
                                       const char *key);

/* Frees the statistics. */
void choose_stats_remove (struct chooser *chooser, struct choose_stats *stats);

/* Whether the circuit breaker lets a call by; stats may be NULL. */
bool choose_breaker_permits (const struct choose_stats *stats, int64_t now_ms);

#endif
