#ifndef ROUTE_SHARES_H
#define ROUTE_SHARES_H

#include <stddef.h>
#include <stdint.h>

/*
 * How the entry hosts of a data centre divide slots and rates among
 * themselves, with no coordinator: each computes its own part from what the
 * others last told of their demand.
 */

#define SHARES_PEER_TIMEOUT_MS 5000 /* demand older than this is ignored */

struct shares_peer
{
  unsigned demand;  /* running plus queued at the target */
  int64_t heard_ms; /* when the peer told it */
};

/*
 * This entry host's part of total slots, at least 1 while total > 0.  Half of
 * the slots are divided equally among the live entry hosts, so that a new
 * burst finds room; the other half in proportion to demand.  peers leaves
 * this entry host out; live_peers counts those that membership calls alive.
 */
unsigned shares_slots (unsigned total,
                       unsigned own_demand,
                       const struct shares_peer *peers,
                       size_t peer_count,
                       size_t live_peers,
                       int64_t now_ms);

/* This entry host's part of a rate (requests per second), same rule. */
double shares_rate (double total,
                    unsigned own_demand,
                    const struct shares_peer *peers,
                    size_t peer_count,
                    size_t live_peers,
                    int64_t now_ms);

#endif
