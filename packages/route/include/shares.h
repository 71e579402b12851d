#ifndef ROUTE_SHARES_H
#define ROUTE_SHARES_H

#include <stddef.h>
#include <stdint.h>

/*
 * Divides slots and rates among the entry hosts of a data centre without a
 * coordinator: each entry host computes its own share from the demand that the
 * others reported last.
 */

#define SHARES_PEER_TIMEOUT_MS 5000 /* demand older than this is ignored */

struct shares_peer
{
  unsigned demand;            /* running plus queued requests at the target */
  int64_t demand_received_ms; /* time of the report; INT64_MIN = never */
};

/*
 * This entry host's share of total slots, at least 1 while total > 0.  Half of
 * the slots are divided equally among the live entry hosts, so that a new
 * burst finds free slots; the other half in proportion to demand.  peers does
 * not include this entry host; live_peers counts the peers that membership
 * reports alive.
 */
unsigned shares_slots (unsigned total,
                       unsigned own_demand,
                       const struct shares_peer *peers,
                       size_t peer_count,
                       size_t live_peers,
                       int64_t now_ms);

/* This entry host's share of a rate (requests per second), by the same rule. */
double shares_rate (double total,
                    unsigned own_demand,
                    const struct shares_peer *peers,
                    size_t peer_count,
                    size_t live_peers,
                    int64_t now_ms);

#endif
