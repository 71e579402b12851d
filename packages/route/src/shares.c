#include "shares.h"

#include <math.h>
#include <stdbool.h>

static bool
is_recent_report (const struct shares_peer *peer, int64_t now_ms)
{
  return peer->demand_received_ms != INT64_MIN
         && now_ms - peer->demand_received_ms <= SHARES_PEER_TIMEOUT_MS;
}

/*
 * A live peer without a recent report is assumed to have the mean demand of the
 * entry hosts that have one.  If it counted as idle, every entry host that
 * receives few reports would claim nearly the whole demand half for itself.
 */
static double
compute_own_fraction (unsigned own_demand,
                      const struct shares_peer *peers,
                      size_t peer_count,
                      size_t live_peers,
                      int64_t now_ms)
{
  double equal_fraction = 1.0 / ((double)live_peers + 1);
  double known_demand = own_demand;
  size_t known_hosts = 1;
  double silent_hosts;
  double total_demand;

  for (size_t i = 0; i < peer_count; i++)
    if (is_recent_report (&peers[i], now_ms))
      {
        known_demand += peers[i].demand;
        known_hosts++;
      }
  if (known_demand <= 0)
    return equal_fraction;
  silent_hosts = live_peers + 1 > known_hosts
                     ? (double)(live_peers + 1 - known_hosts)
                     : 0;
  total_demand = known_demand * (1 + silent_hosts / (double)known_hosts);
  return equal_fraction / 2 + own_demand / total_demand / 2;
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
         * compute_own_fraction (own_demand, peers, peer_count, live_peers,
                                 now_ms);
  /* Rounds to nearest: rounding down everywhere would leave slots unused. */
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
         * compute_own_fraction (own_demand, peers, peer_count, live_peers,
                                 now_ms);
}
