#include "edge.h"
#include "log.h"

/*
 * The platform stops sending connections after two failed readiness checks, a
 * second apart.
 */
#define OUT_OF_ROTATION_MS 2600
/* Share of the time to stop in which requests are still accepted at most. */
#define ACCEPT_SHARE 0.5
/* After this long with nothing in flight, the last responses have arrived. */
#define IDLE_BEFORE_EXIT_MS 250
/* The process exits this long before the platform would kill it. */
#define KILL_MARGIN_MS 500

static int64_t
get_stop_limit_ms (const struct edge *edge)
{
  return edge->settings.drain_limit_s * 1000 - KILL_MARGIN_MS;
}

/* How long new requests are accepted: most of the time is for their end. */
static int64_t
get_accept_limit_ms (const struct edge *edge)
{
  int64_t limit_ms = (int64_t)(ACCEPT_SHARE * (double)get_stop_limit_ms (edge));

  return limit_ms < OUT_OF_ROTATION_MS ? limit_ms : OUT_OF_ROTATION_MS;
}

void
edge_stop (struct edge *edge)
{
  if (edge->phase != EDGE_RUNNING)
    return;
  edge->phase = EDGE_LEAVING;
  edge->phase_started_ms = edge->now_ms;
  LOG_EVENT (LOG_LEVEL_NOTICE, "stopping",
             LOG_U64 ("in_flight", relay_in_flight (&edge->relay)));
  relay_leave (&edge->relay, edge->now_ms + get_stop_limit_ms (edge));
  leader_release_lease (&edge->leader);
#ifdef BREAK_GUARD_EDGE_STOP
  event_base_loopbreak (edge->base);
#endif
}

void
edge_stop_tick (struct edge *edge)
{
  int64_t stopping_ms = edge->now_ms - edge->phase_started_ms;

  if (edge->phase == EDGE_RUNNING)
    return;
  if (edge->phase == EDGE_LEAVING && stopping_ms >= get_accept_limit_ms (edge))
    {
      edge->phase = EDGE_CLOSING;
      relay_close (&edge->relay);
    }
  if (edge->phase != EDGE_CLOSING || relay_in_flight (&edge->relay) > 0)
    edge->last_busy_ms = edge->now_ms;
  if (stopping_ms >= get_stop_limit_ms (edge)
      || (edge->now_ms - edge->last_busy_ms >= IDLE_BEFORE_EXIT_MS
          && leader_has_released_lease (&edge->leader)))
    event_base_loopbreak (edge->base);
}
