#include "daemon.h"

#include "timeutil.h"

void
daemon_tick (struct daemon *daemon)
{
  int64_t now_ms = time_boot_ms ();

  daemon->now_ms = now_ms;
  peer_tick (&daemon->peers, now_ms);
  config_tick (&daemon->config, now_ms);
  prober_tick (&daemon->prober, now_ms);
  choose_tick (&daemon->chooser, &daemon->fleet, now_ms);
  strikes_tick (&daemon->strikes, now_ms);
  strike_broadcast_tick (&daemon->strike_broadcast, &daemon->strikes, now_ms);
  daemon->gateway.is_starting = !daemon->strike_broadcast.has_joined;
  if (now_ms >= daemon->next_shares_ms)
    {
      daemon->next_shares_ms = now_ms + DAEMON_SHARES_INTERVAL_MS;
      daemon_divide_quotas (daemon);
    }
  if (now_ms >= daemon->next_demand_ms)
    {
      daemon->next_demand_ms = now_ms + DAEMON_DEMAND_INTERVAL_MS;
      daemon_send_demand (daemon);
    }
  claimio_tick (&daemon->claimio, now_ms);
  gateway_tick (&daemon->gateway, now_ms);
  claim_cleanup_tick (&daemon->claim_cleanup, now_ms);
  if (daemon->phase < DAEMON_LEAVING)
    controller_tick (&daemon->controller, now_ms);
  if (now_ms >= daemon->next_accounting_ms)
    {
      daemon->next_accounting_ms = now_ms + DAEMON_ACCOUNTING_INTERVAL_MS;
      error_budget_counts_update (&daemon->error_budget_counts,
                                  &daemon->counters, now_ms);
      daemon_count_lost_capacity (daemon, now_ms - daemon->last_accounting_ms);
      daemon->last_accounting_ms = now_ms;
    }
  if (daemon->phase != DAEMON_RUNNING)
    daemon_stop_tick (daemon);
}
