#include "log.h"
#include "relay-internal.h"

bool
relay_is_evacuated (const struct relay *relay, const struct endpoint_load *load)
{
  return load->endpoint != NULL
         && balance_is_evacuated (&relay->loads, load->endpoint);
}

/* Takes the request, of which nothing was sent, from its connection. */
static void
send_elsewhere (struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct relay_upstream *upstream = request->upstream;

  counter_add (relay->counters, "waxwing_evacuated_attempts_total", NULL, 1);
  LOG_EVENT (LOG_LEVEL_INFO, "attempt-withdrawn",
             LOG_STR ("request", request->id),
             LOG_STR ("endpoint", upstream->load->id),
             LOG_STR ("reason", "evacuation"),
             LOG_INT ("after_ms", relay->now_ms - upstream->started_ms));
  relay_upstream_close (upstream);
  request->sends--;
  request->phase = RELAY_WAITING;
  request->waiting_since_ms = relay->now_ms;
  relay_dispatch (request);
}

void
relay_enforce_evacuations (struct relay *relay)
{
  struct relay_request *request = TAILQ_FIRST (&relay->requests);

  if (relay->loads.evacuations == NULL || relay->loads.evacuations->active == 0)
    return;
  while (request != NULL)
    {
      /* A dispatch ends at most its own request. */
      struct relay_request *next = TAILQ_NEXT (request, link);
      const struct relay_upstream *upstream = request->upstream;

      if (upstream != NULL && !upstream->has_written
          && relay_is_evacuated (relay, upstream->load))
        send_elsewhere (request);
      request = next;
    }
}
