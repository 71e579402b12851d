#include "log.h"
#include "relay-internal.h"

#include <stdio.h>
#include <string.h>

/* Limit of sends per request, including those that certainly did not run. */
#define SEND_LIMIT 4
/* An endpoint that refused a request is avoided for this long. */
#define REFUSED_AVOID_MS 250
/* An endpoint that cannot be reached is avoided for this long. */
#define UNREACHED_AVOID_MS 1000
/* Random addition to Retry-After, so that callers do not retry all at once. */
#define RETRY_AFTER_SPREAD_MS 700
/* Share of its objective that a new request waits for capacity. */
#define WAIT_OBJECTIVE_SHARE 0.15
/* Interval between log lines on requests over the limit of one endpoint. */
#define LIMIT_LOG_INTERVAL_MS 1000

int64_t
relay_draw_retry_after_ms (struct relay *relay)
{
  return RELAY_RETRY_AFTER_MS
         + (int64_t)rng_below (&relay->loads.rng, RETRY_AFTER_SPREAD_MS);
}

static void
start_attempt (struct relay_request *request, struct endpoint_load *load)
{
  struct relay *relay = request->relay;
  struct relay_upstream *upstream;

  relay_request_set_queued (request, false);
  request->phase = RELAY_RUNNING;
  /* It may have missed its objective while it waited. */
  if (relay_is_ordered (request))
    relay_request_set_urgency (request);
  request->next_try_ms = 0;
  request->sends++;
  upstream = relay_upstream_get (request, load);
  if (upstream == NULL)
    {
      balance_avoid (load, relay->now_ms + UNREACHED_AVOID_MS);
      request->phase = RELAY_WAITING;
      relay_fail_attempt (request, false, RESULT_ENDPOINT_CONNECT);
    }
}

/*
 * Ends a request that gets no more attempts: refuses it, or breaks off its
 * stream.  back_off_ms: see balance_choice.
 */
static void
end_failed_request (struct relay_request *request,
                    enum result result,
                    int64_t back_off_ms)
{
  struct relay *relay = request->relay;
  int64_t retry_after_ms = relay_draw_retry_after_ms (relay);

  /* Retries are spread over the time after the first back-off ends. */
  if (back_off_ms > 0)
    retry_after_ms += back_off_ms - RELAY_RETRY_AFTER_MS;

  if (request->head_sent)
    {
      struct relay_caller *caller = request->caller;

      relay_log_request_end (request, "cut-off", 0, RESULT_STREAM_BROKEN);
      relay_caller_close (caller);
    }
  else if (request->runs > 0)
    relay_refuse (request, RESULT_UPSTREAM_UNKNOWN, 0);
  else
    relay_refuse (request,
                  result_info (result)->http_status == 503 ? result
                                                           : RESULT_NO_CAPACITY,
                  retry_after_ms);
}

static void
exclude_endpoint (struct relay_request *request, struct endpoint_load *load)
{
  if (request->tried_count == BALANCE_EXCLUDE_LIMIT)
    return;
  endpoint_load_ref (load);
  request->tried[request->tried_count++] = load;
}

/* True if the request may be sent again once it may have run this often. */
static bool
can_retry (const struct relay_request *request, unsigned runs)
{
  const struct relay *relay = request->relay;

  return (runs == request->runs || catalog_is_repeatable (request->route))
         && runs < request->route->attempts && request->sends < SEND_LIMIT
         && relay->now_ms < request->deadline_ms;
}

void
relay_fail_attempt (struct relay_request *request,
                    bool may_have_run,
                    enum result result)
{
  struct relay *relay = request->relay;
  struct relay_upstream *upstream = request->upstream;
  unsigned runs = request->runs + (may_have_run ? 1 : 0);
  bool is_retry_allowed = can_retry (request, runs);

  if (upstream != NULL)
    {
      struct endpoint_load *load = upstream->load;
      char parts[RELAY_PARTS_TEXT_SIZE];
      char label[32];

      relay_format_parts (request, parts);
      snprintf (label, sizeof label, "code=\"%d\"", (int)result);
      counter_add (relay->counters, "waxwing_attempts_failed_total", label, 1);
      LOG_EVENT (
          LOG_LEVEL_NOTICE, "attempt-failed", LOG_STR ("request", request->id),
          LOG_STR ("endpoint", load->id), LOG_INT ("code", result),
          LOG_STR ("may_have_run", may_have_run ? "yes" : "no"),
          LOG_U64 ("status", upstream->status),
          LOG_U64 ("events", request->events_sent), LOG_STR ("parts", parts),
          LOG_INT ("after_ms", relay->now_ms - upstream->started_ms));
      /* An endpoint without a free slot has one again soon. */
      if (result != RESULT_ENDPOINT_BUSY || !request->service->has_priorities)
        exclude_endpoint (request, load);
      balance_note_failure (load, relay->now_ms);
      if (result == RESULT_ENDPOINT_CONNECT)
        {
          balance_avoid (load, relay->now_ms + UNREACHED_AVOID_MS);
          balance_note_unreached (&relay->loads, load, relay->now_ms);
        }
      else if (!may_have_run)
        balance_avoid (load, relay->now_ms + REFUSED_AVOID_MS);
      if (request->upstream != NULL)
        relay_upstream_close (upstream);
    }
  request->runs = runs;
  request->phase = RELAY_WAITING;
  request->waiting_since_ms = relay->now_ms;
  if (!is_retry_allowed
      || !retry_budget_acquire (&relay->budgets, request->service->name,
                                relay->now_ms))
    {
      end_failed_request (request, result, 0);
      return;
    }
  relay_dispatch (request);
}

/* True if the request has been sent to an endpoint before. */
static bool
was_sent (const struct relay_request *request)
{
  return request->sends > 0;
}

/*
 * True if the request may go on waiting for capacity.  A new request is better
 * refused soon.  A request whose endpoint failed may wait for its objective,
 * and a stream that has begun can no longer be refused.
 */
static bool
can_wait (const struct relay_request *request)
{
  const struct relay *relay = request->relay;
  int64_t waited_ms = relay->now_ms - request->waiting_since_ms;

  if (request->head_sent)
    return relay->now_ms < request->deadline_ms;
  if (was_sent (request))
    return waited_ms < request->route->objective_ms;
  return (double)waited_ms
         < WAIT_OBJECTIVE_SHARE * (double)request->route->objective_ms;
}

static void
log_at_limit (const struct relay_request *request, struct endpoint_load *load)
{
  const struct relay *relay = request->relay;
  const struct request_limit *limit = &load->request_limit;
  int64_t now_ms = relay->now_ms;
  double sent = decaying_count_get (&limit->sent, now_ms);
  double peer_sent = decaying_count_get (&limit->peer_sent, now_ms);

  counter_add (relay->counters, "waxwing_endpoint_at_limit_total", NULL, 1);
  if (load->limit_logged_ms != 0
      && now_ms - load->limit_logged_ms < LIMIT_LOG_INTERVAL_MS)
    return;
  load->limit_logged_ms = now_ms;
  LOG_EVENT (LOG_LEVEL_INFO, "endpoint-at-limit",
             LOG_STR ("request", request->id), LOG_STR ("endpoint", load->id),
             LOG_INT ("limit_per_1000_s", (int64_t)(limit->per_s * 1000)),
             LOG_INT ("stated_ms_ago", now_ms - limit->stated_ms),
             LOG_INT ("sent_thousandths", (int64_t)(sent * 1000)),
             LOG_INT ("peer_sent_thousandths", (int64_t)(peer_sent * 1000)),
             LOG_U64 ("live_hosts", relay->loads.fleet.live_hosts),
             LOG_U64 ("known_hosts", relay->loads.fleet.known_hosts));
}

/* Chooses an endpoint other than those tried and, if not NULL, current. */
static enum balance_verdict
choose_endpoint (struct relay_request *request,
                 const struct endpoint_load *current,
                 struct balance_choice *choice)
{
  struct relay *relay = request->relay;
  enum balance_verdict verdict;
  struct balance_request wanted = {
    .service = request->service,
    .model = request->model,
    .prompt_tokens = request->prompt_tokens,
    .admission_draw = was_sent (request) ? 0 : request->admission_draw,
    .objective_ms = request->route->objective_ms,
    .remaining_ms = was_sent (request)
                        ? request->route->objective_ms
                        : request->objective_deadline_ms - relay->now_ms,
    .waits_for_slot = request->service->has_priorities && current == NULL,
    .excluded_count = request->tried_count,
  };

  if (relay_is_ordered (request)
      && !relay_admission_set_range (request, &wanted))
    {
      *choice = (struct balance_choice){ .load = NULL };
      return BALANCE_FULL;
    }
  for (unsigned i = 0; i < request->tried_count; i++)
    wanted.excluded[i] = request->tried[i];
  if (current != NULL && wanted.excluded_count < BALANCE_EXCLUDE_LIMIT)
    wanted.excluded[wanted.excluded_count++] = current;
  verdict = balance_choose (&relay->loads, relay->endpoints, &wanted,
                            relay->now_ms, choice);
  if (relay_is_ordered (request))
    relay_admission_note_slots (request, choice->slots);
  if (choice->at_limit != NULL)
    log_at_limit (request, choice->at_limit);
  if (choice->cold != NULL)
    relay_log_cold (request, choice->cold);
  return verdict;
}

enum balance_verdict
relay_check_failover (struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct balance_choice choice;

  if (!can_retry (request, request->runs + 1)
      || !retry_budget_is_available (&relay->budgets, request->service->name,
                                     relay->now_ms))
    return BALANCE_NONE;
  return choose_endpoint (request, request->upstream->load, &choice);
}

static void
end_quarantined_request (struct relay_request *request, int64_t retry_after_ms)
{
  LOG_EVENT (LOG_LEVEL_NOTICE, "request-quarantined",
             LOG_STR ("request", request->id), LOG_U64 ("runs", request->runs),
             LOG_INT ("retry_after_ms", retry_after_ms));
  if (request->head_sent || request->runs > 0)
    end_failed_request (request, RESULT_QUARANTINED, 0);
  else
    relay_refuse (request, RESULT_WITHHELD, retry_after_ms);
}

void
relay_withdraw (struct relay_request *request, int64_t retry_after_ms)
{
  if (request->upstream->has_written)
    request->runs++;
  relay_upstream_close (request->upstream);
  end_quarantined_request (request, retry_after_ms);
}

/*
 * Carries out a decision of the admission order.  True unless it is to send the
 * request.
 */
static bool
wait_or_refuse (struct relay_request *request,
                const struct admission_decision *decision)
{
  switch (decision->action)
    {
    case ADMISSION_SEND:
      return false;
    case ADMISSION_WAIT:
      request->next_try_ms = decision->wait_until_ms;
      relay_request_set_queued (request, true);
      return true;
    case ADMISSION_REFUSE:
      relay_refuse (request,
                    decision->is_unreachable ? RESULT_DEADLINE_UNREACHABLE
                                             : RESULT_SHED,
                    decision->retry_after_ms);
      return true;
    }
  return false;
}

void
relay_dispatch (struct relay_request *request)
{
  struct balance_choice choice;
  struct admission_decision decision;
  int64_t retry_after_ms;

  if (relay_check_strikes (request, &retry_after_ms) != RESULT_OK)
    {
      end_quarantined_request (request, retry_after_ms);
      return;
    }
  if (relay_is_ordered (request))
    {
      decision = relay_admission_decide (request, false);
      if (wait_or_refuse (request, &decision))
        return;
    }
  switch (choose_endpoint (request, NULL, &choice))
    {
    case BALANCE_CHOSEN:
      request->expected_ms = choice.expected_ms;
      start_attempt (request, choice.load);
      break;
    case BALANCE_FULL:
      if (relay_is_ordered (request))
        {
          decision = relay_admission_decide (request, true);
          wait_or_refuse (request, &decision);
        }
      else if (can_wait (request))
        relay_request_set_queued (request, true);
      else
        end_failed_request (request, RESULT_SHED, 0);
      break;
    case BALANCE_NONE:
      /* A group may become available while the broken stream can be resumed. */
      if (request->head_sent && can_wait (request))
        relay_request_set_queued (request, true);
      else
        end_failed_request (request, RESULT_NO_CAPACITY, choice.back_off_ms);
      break;
    }
}
