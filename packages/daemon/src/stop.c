#include "daemon.h"

#include "log.h"

/* Time limit for releasing the lease; after it, the lease is left to expire. */
#define LEASE_RELEASE_LIMIT_MS 3000

/*
 * Time limit for writing the outcomes of calls that may not be repeated, before
 * the process ends.  Outcomes that the platform has not accepted by then stay
 * unknown.
 */
#define CLAIM_WRITE_LIMIT_MS 30000

static void
enter_phase (struct daemon *daemon, enum daemon_phase phase, const char *event)
{
  daemon->phase = phase;
  daemon->phase_started_ms = daemon->now_ms;
  LOG_EVENT (LOG_LEVEL_NOTICE, event,
             LOG_U64 ("requests", daemon->gateway.request_count));
}

void
daemon_stop (struct daemon *daemon)
{
  /* A second signal does not shorten the shutdown. */
  if (daemon->phase != DAEMON_RUNNING)
    return;
  gateway_settle (&daemon->gateway);
  enter_phase (daemon, DAEMON_SETTLING, "stop-settling");
}

static void
leave_fleet (struct daemon *daemon)
{
  member_leave (&daemon->members);
  peer_announce (&daemon->peers, daemon->now_ms);
  LOG_EVENT (LOG_LEVEL_NOTICE, "stopped",
             LOG_STR ("entry_host", daemon->members.self.host));
  event_base_loopbreak (daemon->base);
}

void
daemon_stop_tick (struct daemon *daemon)
{
  int64_t elapsed_ms = daemon->now_ms - daemon->phase_started_ms;

  switch (daemon->phase)
    {
    case DAEMON_RUNNING:
      break;
    case DAEMON_SETTLING:
      if (elapsed_ms < daemon->settings.drain_settle_ms)
        break;
      gateway_drain (&daemon->gateway);
      enter_phase (daemon, DAEMON_DRAINING, "stop-draining");
      break;
    case DAEMON_DRAINING:
      if (!gateway_is_empty (&daemon->gateway)
          && elapsed_ms < daemon->settings.drain_limit_ms)
        break;
      enter_phase (daemon, DAEMON_LEAVING, "stop-leaving");
      break;
    case DAEMON_LEAVING:
      if (claimio_unwritten_count (&daemon->claimio) > 0
          && elapsed_ms < CLAIM_WRITE_LIMIT_MS)
        break;
      if (controller_release_lease (&daemon->controller, daemon->now_ms)
          || elapsed_ms >= LEASE_RELEASE_LIMIT_MS)
        leave_fleet (daemon);
      break;
    }
}
