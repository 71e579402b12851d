#include "internal.h"
#include "log.h"

#include <string.h>

/* Sends of one request, including those that certainly did not run. */
#define SEND_LIMIT 4
/* An endpoint that refused is left alone for this long. */
#define REFUSED_AVOID_MS 250
/* One that cannot be reached is left alone for this long. */
#define UNREACHED_AVOID_MS 1000
/* Added at random, so that callers do not come back all at once. */
#define RETRY_AFTER_SPREAD_MS 700
/* A new request waits for room this part of its objective. */
#define WAIT_PART 0.15

int64_t
relay_retry_after_ms (struct relay *relay)
{
  return RELAY_RETRY_AFTER_MS
         + (int64_t)rng_below (&relay->lanes.rng, RETRY_AFTER_SPREAD_MS);
}

static void
start (struct relay_request *request, struct lane *load)
{
  struct relay *relay = request->relay;
  struct relay_upstream *upstream;

  relay_request_queue (request, false);
  request->phase = RELAY_RUNNING;
  request->sends++;
  upstream = relay_upstream_get (request, load);
  if (upstream == NULL)
    {
      balance_avoid (load, relay->now_ms + UNREACHED_AVOID_MS);
      request->phase = RELAY_WAITING;
      relay_attempt_failed (request, false, RESULT_ENDPOINT_CONNECT);
    }
}

/*
 * No more attempts: the last word to the caller.  back_off_ms: see
 * balance_choice.
 */
static void
give_up (struct relay_request *request, enum result why, int64_t back_off_ms)
{
  struct relay *relay = request->relay;
  int64_t retry_after_ms = relay_retry_after_ms (relay);

  /* Spread over the time after the first endpoint may be asked again. */
  if (back_off_ms > 0)
    retry_after_ms += back_off_ms - RELAY_RETRY_AFTER_MS;

  if (request->head_sent)
    {
      struct relay_caller *caller = request->caller;

      relay_log_end (request, "cut-off", 0, RESULT_STREAM_BROKEN);
      relay_caller_close (caller);
    }
  else if (request->runs > 0)
    relay_refuse (request, RESULT_UPSTREAM_UNKNOWN, 0);
  else
    relay_refuse (request,
                  result_info (why)->http_status == 503 ? why
                                                        : RESULT_NO_CAPACITY,
                  retry_after_ms);
}

static void
note_tried (struct relay_request *request, struct lane *load)
{
  if (request->tried_count == BALANCE_EXCLUDE_LIMIT)
    return;
  lanes_ref (load);
  request->tried[request->tried_count++] = load;
}

/* True if the request may be sent once more, after so many that may have run.
 */
static bool
may_send_again (const struct relay_request *request, unsigned runs)
{
  const struct relay *relay = request->relay;

  return (runs == request->runs || catalog_is_repeatable (request->route))
         && runs < request->route->attempts && request->sends < SEND_LIMIT
         && relay->now_ms < request->deadline_ms;
}

void
relay_attempt_failed (struct relay_request *request,
                      bool may_have_run,
                      enum result why)
{
  struct relay *relay = request->relay;
  struct relay_upstream *upstream = request->upstream;
  unsigned runs = request->runs + (may_have_run ? 1 : 0);
  bool again = may_send_again (request, runs);

  if (upstream != NULL)
    {
      struct lane *load = upstream->load;

      LOG_EVENT (LOG_LEVEL_NOTICE, "attempt-failed",
                 LOG_STR ("request", request->id),
                 LOG_STR ("endpoint", load->id), LOG_INT ("code", why),
                 LOG_STR ("may_have_run", may_have_run ? "yes" : "no"),
                 LOG_U64 ("status", upstream->status),
                 LOG_U64 ("events", request->events_sent),
                 LOG_INT ("after_ms", relay->now_ms - upstream->started_ms));
      note_tried (request, load);
      balance_note_failure (load, relay->now_ms);
      if (why == RESULT_ENDPOINT_CONNECT)
        {
          balance_avoid (load, relay->now_ms + UNREACHED_AVOID_MS);
          balance_note_unreached (&relay->lanes, load, relay->now_ms);
        }
      else if (!may_have_run)
        balance_avoid (load, relay->now_ms + REFUSED_AVOID_MS);
      if (request->upstream != NULL)
        relay_upstream_close (upstream);
    }
  request->runs = runs;
  request->phase = RELAY_WAITING;
  request->waiting_since_ms = relay->now_ms;
  if (!again
      || !retry_budget_take (&relay->budgets, request->service->name,
                             relay->now_ms))
    {
      give_up (request, why, 0);
      return;
    }
  relay_dispatch (request);
}

/* True if the request has been at an endpoint and failed there. */
static bool
was_sent (const struct relay_request *request)
{
  return request->sends > 0;
}

/*
 * True if waiting for room still serves the caller.  A new request is better
 * refused soon; one whose endpoint failed has waited for nothing so far, and a
 * stream that has begun cannot be refused any more.
 */
static bool
may_wait (const struct relay_request *request)
{
  const struct relay *relay = request->relay;
  int64_t waited_ms = relay->now_ms - request->waiting_since_ms;

  if (request->head_sent)
    return relay->now_ms < request->deadline_ms;
  if (was_sent (request))
    return waited_ms < request->route->objective_ms;
  return (double)waited_ms < WAIT_PART * (double)request->route->objective_ms;
}

/* Asks for an endpoint other than those tried and, unless NULL, this one. */
static enum balance_verdict
choose (const struct relay_request *request,
        const struct lane *present,
        struct balance_choice *choice)
{
  struct relay *relay = request->relay;
  struct balance_request wanted = {
    .service = request->service,
    .model = request->model,
    .prompt_tokens = request->prompt_tokens,
    .admission_draw = was_sent (request) ? 0 : request->draw,
    .objective_ms = request->route->objective_ms,
    .left_ms = was_sent (request) ? request->route->objective_ms
                                  : request->objective_by_ms - relay->now_ms,
    .excluded_count = request->tried_count,
  };

  for (unsigned i = 0; i < request->tried_count; i++)
    wanted.excluded[i] = request->tried[i];
  if (present != NULL && wanted.excluded_count < BALANCE_EXCLUDE_LIMIT)
    wanted.excluded[wanted.excluded_count++] = present;
  return balance_choose (&relay->lanes, relay->endpoints, &wanted,
                         relay->now_ms, choice);
}

enum balance_verdict
relay_check_failover (const struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct balance_choice choice;

  if (!may_send_again (request, request->runs + 1)
      || !retry_budget_has (&relay->budgets, request->service->name,
                            relay->now_ms))
    return BALANCE_NONE;
  return choose (request, request->upstream->load, &choice);
}

void
relay_dispatch (struct relay_request *request)
{
  struct balance_choice choice;

  switch (choose (request, NULL, &choice))
    {
    case BALANCE_CHOSEN:
      request->expected_ms = choice.expected_ms;
      start (request, choice.load);
      break;
    case BALANCE_FULL:
      if (may_wait (request))
        relay_request_queue (request, true);
      else
        give_up (request, RESULT_SHED, 0);
      break;
    case BALANCE_NONE:
      /* A group may come back while a broken stream can still go on. */
      if (request->head_sent && may_wait (request))
        relay_request_queue (request, true);
      else
        give_up (request, RESULT_NO_CAPACITY, choice.back_off_ms);
      break;
    }
}
