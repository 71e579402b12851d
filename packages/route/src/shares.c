#include "shares.h"

#include <math.h>
#include <stdbool.h>

static bool
is_recent (const struct shares_peer *peer, int64_t now_ms)
{
  return peer->heard_ms != INT64_MIN
         && now_ms - peer->heard_ms <= SHARES_PEER_TIMEOUT_MS;
}

/*
 * A live peer that told nothing recently is taken to have the mean demand of
 * those that did.  Counting it as idle would let every entry host that hears
 * few peers take nearly the whole demand half for itself.
 */
static double
own_fraction (unsigned own_demand,
              const struct shares_peer *peers,
              size_t peer_count,
              size_t live_peers,
              int64_t now_ms)
{
  double equal = 1.0 / ((double)live_peers + 1);
  double known_demand = own_demand;
  size_t known = 1;
  double silent;
  double demand;

  for (size_t i = 0; i < peer_count; i++)
    if (is_recent (&peers[i], now_ms))
      {
        known_demand += peers[i].demand;
        known++;
      }
  if (known_demand <= 0)
    return equal;
  silent = live_peers + 1 > known ? (double)(live_peers + 1 - known) : 0;
  demand = known_demand * (1 + silent / (double)known);
  return equal / 2 + own_demand / demand / 2;
}

unsigned
shares_slots (unsigned total,
              unsigned own_demand,
              const struct shares_peer *peers,
              size_t peer_count,
              size_t live_peers,
              int64_t now_ms)
{
  double part;

  if (total == 0)
    return 0;
  part = total
         * own_fraction (own_demand, peers, peer_count, live_peers, now_ms);
  /* Rounds to nearest: rounding down would leave slots unused everywhere. */
  part = floor (part + 0.5);
  if (part < 1)
    return 1;
  return part < total ? (unsigned)part : total;
}

double
shares_rate (double total,
             unsigned own_demand,
             const struct shares_peer *peers,
             size_t peer_count,
             size_t live_peers,
             int64_t now_ms)
{
  return total
         * own_fraction (own_demand, peers, peer_count, live_peers, now_ms);
}
