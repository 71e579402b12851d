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
  if (now_ms >= daemon->next_shares_ms)
    {
      daemon->next_shares_ms = now_ms + DAEMON_SHARES_MS;
      daemon_divide (daemon);
    }
  if (now_ms >= daemon->next_demand_ms)
    {
      daemon->next_demand_ms = now_ms + DAEMON_DEMAND_MS;
      daemon_send_demand (daemon);
    }
  claimio_tick (&daemon->claimio, now_ms);
  gateway_tick (&daemon->gateway, now_ms);
  sweep_tick (&daemon->sweep, now_ms);
  if (daemon->phase < DAEMON_LEAVING)
    controller_tick (&daemon->controller, now_ms);
  if (now_ms >= daemon->next_burn_ms)
    {
      daemon->next_burn_ms = now_ms + DAEMON_BURN_MS;
      burn_tick (&daemon->burn, &daemon->counters, now_ms);
      daemon_count_losses (daemon, now_ms - daemon->last_burn_ms);
      daemon->last_burn_ms = now_ms;
    }
  if (daemon->phase != DAEMON_RUNNING)
    daemon_stop_tick (daemon);
}
