#include "ledger.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * An endpoint that has stated a limit for LIMIT_STABLE_MS gets, in a span of
 * LIMIT_SPAN_MS, at most one and a half times what the limit allows and
 * LIMIT_SLACK requests, from hosts that were told LIMIT_TOLD_MS ago.
 */
#define LIMIT_STABLE_MS 3000
#define LIMIT_SPAN_MS 4000
#define LIMIT_SLACK 5
#define LIMIT_TOLD_MS 500
/* An endpoint that is silent about its limit for this long has none. */
#define LIMIT_END_MS 2000
/* An endpoint gets no new requests from this long after its drain signal on. */
#define DRAIN_LIMIT_MS 2000
/* A host whose path to the store has worked for this long is in touch. */
#define IN_TOUCH_MS 4000
/* No request arrives at an endpoint later than this after its attempt ended. */
#define ABANDONED_RUN_LIMIT_MS 500
/* The deadline passed to an endpoint may exceed the remaining time by this. */
#define REMAINING_TIME_SLACK_MS 500
/* A final response arrives at most this long after the deadline. */
#define RESPONSE_DELAY_LIMIT_MS 500
/* A stop counts as planned until this long after the grace period. */
#define STOP_MARGIN_MS 1000
/*
 * A host that stops may close a connection before it has read a request that
 * was sent at most this long ago.
 */
#define REQUEST_IN_TRANSIT_LIMIT_MS 200
/* Requests that undisturbed hosts may lose in one run of the soak. */
#define LOST_REQUEST_LIMIT 3

void
ledger_init (struct ledger *ledger, const struct operator* operator)
{
  memset (ledger, 0, sizeof *ledger);
  ledger->operator= operator;
}

void
ledger_finish (struct ledger *ledger)
{
  struct ledger_attempt *attempt = ledger->attempts;
  struct ledger_run *run = ledger->runs;

  while (ledger->drain_signals != NULL)
    {
      struct ledger_drain_signal *next = ledger->drain_signals->next;

      free (ledger->drain_signals);
      ledger->drain_signals = next;
    }
  while (ledger->limits != NULL)
    {
      struct ledger_limit *next = ledger->limits->next;

      free (ledger->limits);
      ledger->limits = next;
    }
  HASH_CLEAR (hh, ledger->attempts);
  HASH_CLEAR (hh, ledger->runs);
  while (attempt != NULL)
    {
      struct ledger_attempt *next = attempt->hh.next;

      free (attempt);
      attempt = next;
    }
  while (run != NULL)
    {
      struct ledger_run *next = run->hh.next;

      free (run);
      run = next;
    }
}

void
ledger_report_violation (struct ledger *ledger,
                         const char *rule,
                         const char *format,
                         ...)
{
  va_list args;

  ledger->violations++;
  printf ("BROKEN %s at %lld ms: ", rule,
          (long long)(ledger->now_ms - ledger->started_ms));
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

/*
 * True if the endpoint is up and no fault acted on it, or on the network path
 * to it, within the stable time.
 */
static bool
endpoint_is_undisturbed (const struct ledger *ledger,
                         const struct standin_endpoint *endpoint)
{
  return endpoint->up
         && ledger->now_ms - endpoint->disturbed_until_ms > HOST_STABLE_MS;
}

bool
ledger_was_undisturbed (const struct ledger *ledger,
                        const struct host *host,
                        int64_t since_ms)
{
  return host_was_undisturbed (host, since_ms)
         && since_ms - ledger->store_disturbed_ms > HOST_STABLE_MS;
}

void
ledger_note_standstill (struct ledger *ledger,
                        int64_t started_ms,
                        int64_t ended_ms)
{
  ledger->standstills[ledger->standstill_count++ % LEDGER_STANDSTILL_LIMIT]
      = (struct ledger_standstill){ started_ms, ended_ms };
}

/*
 * Time since since_ms for which this process did not run, so that bytes of a
 * host or a caller lay unread in it.
 */
static int64_t
get_standstill_ms (const struct ledger *ledger, int64_t since_ms)
{
  int64_t sum_ms = 0;

  for (unsigned i = 0; i < LEDGER_STANDSTILL_LIMIT; i++)
    {
      const struct ledger_standstill *standstill = &ledger->standstills[i];

      if (standstill->ended_ms > since_ms)
        sum_ms += standstill->ended_ms
                  - (standstill->started_ms > since_ms ? standstill->started_ms
                                                       : since_ms);
    }
  return sum_ms;
}

struct ledger_attempt *
ledger_add_attempt (struct ledger *ledger, const char *id)
{
  struct ledger_attempt *attempt = calloc (1, sizeof *attempt);

  if (attempt == NULL)
    abort ();
  snprintf (attempt->id, sizeof attempt->id, "%s", id);
  HASH_ADD_STR (ledger->attempts, id, attempt);
  return attempt;
}

static struct ledger_attempt *
find_attempt (const struct ledger *ledger, const char *id)
{
  struct ledger_attempt *attempt;

  HASH_FIND_STR (ledger->attempts, id, attempt);
  return attempt;
}

static struct ledger_run *
find_run (const struct ledger *ledger, uint64_t number)
{
  struct ledger_run *run;

  HASH_FIND (hh, ledger->runs, &number, sizeof number, run);
  return run;
}

bool
ledger_is_repeatable (enum catalog_kind kind, bool resumable)
{
  return kind == CATALOG_SAFE || (kind == CATALOG_STREAM && resumable);
}

bool
ledger_is_not_run_status (unsigned status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Hooks of the stand-in endpoints. */

static void
record_drain_signal (void *context,
                     const struct standin_endpoint *endpoint,
                     const char *request)
{
  struct ledger *ledger = context;
  const struct ledger_attempt *attempt = find_attempt (ledger, request);
  struct ledger_drain_signal *signal;

  if (attempt == NULL)
    return;
  signal = calloc (1, sizeof *signal);
  if (signal == NULL)
    abort ();
  snprintf (signal->endpoint, sizeof signal->endpoint, "%s", endpoint->id);
  signal->incarnation_start_ms = endpoint->start_wall_ms;
  signal->host = attempt->host;
  signal->signalled_ms = ledger->now_ms;
  signal->next = ledger->drain_signals;
  ledger->drain_signals = signal;
}

/*
 * Checks that a host sends no request to an endpoint after its drain signal.
 * Exceptions: the host was restarted or paused since, or a fault of the network
 * path to the endpoint may have lost the response with the signal.
 */
static void
check_drain_signals (struct ledger *ledger,
                     const struct ledger_attempt *attempt,
                     const struct standin_endpoint *endpoint)
{
  for (const struct ledger_drain_signal *signal = ledger->drain_signals;
       signal != NULL; signal = signal->next)
    if (signal->host == attempt->host
        && signal->incarnation_start_ms == endpoint->start_wall_ms
        && strcmp (signal->endpoint, endpoint->id) == 0
        && attempt->sent_ms - signal->signalled_ms > DRAIN_LIMIT_MS
        && host_was_undisturbed (attempt->host, signal->signalled_ms)
        && endpoint_is_undisturbed (ledger, endpoint))
      ledger_report_violation (
          ledger, "DRAIN",
          "%s got %s from %s %lld ms after its drain signal to that host",
          endpoint->id, attempt->id, attempt->host->name,
          (long long)(attempt->sent_ms - signal->signalled_ms));
}

static struct ledger_limit *
find_limit (struct ledger *ledger, const struct standin_endpoint *endpoint)
{
  struct ledger_limit *limit = ledger->limits;

  while (limit != NULL
         && (limit->incarnation_start_ms != endpoint->start_wall_ms
             || strcmp (limit->endpoint, endpoint->id) != 0))
    limit = limit->next;
  return limit;
}

static void
record_limit (void *context,
              const struct standin_endpoint *endpoint,
              const char *request)
{
  struct ledger *ledger = context;
  const struct ledger_attempt *attempt = find_attempt (ledger, request);
  struct ledger_limit *limit = find_limit (ledger, endpoint);

  if (attempt == NULL)
    return;
  if (limit == NULL)
    {
      limit = calloc (1, sizeof *limit);
      if (limit == NULL)
        abort ();
      snprintf (limit->endpoint, sizeof limit->endpoint, "%s", endpoint->id);
      limit->incarnation_start_ms = endpoint->start_wall_ms;
      limit->next = ledger->limits;
      ledger->limits = limit;
    }
  if (limit->per_10_s != endpoint->faults.limit_per_10_s
      || ledger->now_ms - limit->stated_ms > LIMIT_END_MS)
    {
      limit->per_10_s = endpoint->faults.limit_per_10_s;
      limit->since_ms = ledger->now_ms;
      limit->told_count = 0;
      limit->received_count = 0;
    }
  limit->stated_ms = ledger->now_ms;
  for (unsigned i = 0; i < limit->told_count; i++)
    if (limit->told[i].host == attempt->host)
      return;
  if (limit->told_count == LEDGER_TOLD_HOST_LIMIT)
    return;
  limit->told[limit->told_count].host = attempt->host;
  limit->told[limit->told_count++].told_ms = ledger->now_ms;
}

static bool
was_told (const struct ledger_limit *limit,
          const struct host *host,
          int64_t now_ms)
{
  for (unsigned i = 0; i < limit->told_count; i++)
    if (limit->told[i].host == host)
      return now_ms - limit->told[i].told_ms >= LIMIT_TOLD_MS
             && host_was_undisturbed (host, limit->told[i].told_ms);
  return false;
}

/* Checks that the hosts together send no more than the endpoint accepts. */
static void
check_request_limit (struct ledger *ledger,
                     const struct ledger_attempt *attempt,
                     const struct standin_endpoint *endpoint)
{
  struct ledger_limit *limit = find_limit (ledger, endpoint);
  unsigned count = 0;

  if (limit == NULL || limit->per_10_s != endpoint->faults.limit_per_10_s
      || !was_told (limit, attempt->host, ledger->now_ms))
    return;
  limit->received_ms[limit->received_count++ % LEDGER_LIMITED_REQUEST_LIMIT]
      = ledger->now_ms;
  for (unsigned i = 0; i < LEDGER_LIMITED_REQUEST_LIMIT; i++)
    count += limit->received_ms[i] >= limit->since_ms + LIMIT_STABLE_MS
             && ledger->now_ms - limit->received_ms[i] < LIMIT_SPAN_MS;
  if ((double)count
      > 1.5 * limit->per_10_s * LIMIT_SPAN_MS / 10000 + LIMIT_SLACK)
    ledger_report_violation (ledger, "LIMIT",
                             "%s states %u requests in 10 s and got %u in 4 s",
                             endpoint->id, limit->per_10_s, count);
}

/* Checks that nothing reaches a data centre that is evacuated. */
static void
check_evacuation (struct ledger *ledger,
                  const struct ledger_attempt *attempt,
                  const struct standin_endpoint *endpoint)
{
  const struct operator* operator= ledger->operator;
  int64_t age_ms = ledger->now_ms - operator->evacuated_ms;

  if (operator->evacuated == NULL || strcmp (operator->evacuated,
                                             endpoint->data_centre)
          != 0
      || age_ms <= EVACUATION_LIMIT_MS
                       + get_standstill_ms (ledger, operator->evacuated_ms))
    return;
  /* The host is in touch: no fault for 4 s, of which HOST_STABLE_MS before. */
  if (!endpoint_is_undisturbed (ledger, endpoint)
      || !ledger_was_undisturbed (
          ledger, attempt->host, ledger->now_ms - IN_TOUCH_MS + HOST_STABLE_MS))
    return;
  ledger_report_violation (ledger, "EVAC",
                           "%s of %s got %s from %s %lld ms after the order",
                           endpoint->id, endpoint->data_centre, attempt->id,
                           attempt->host->name, (long long)age_ms);
}

static void
on_cold_overload (void *context,
                  const struct standin_endpoint *endpoint,
                  unsigned requests)
{
  ledger_report_violation (context, "FAILBACK",
                           "%s is cold and got %u requests in a second, bound "
                           "%d",
                           endpoint->id, requests, COLD_BOUND);
}

static struct ledger_budget *
get_budget (struct ledger *ledger, const struct ledger_attempt *attempt)
{
  return &ledger->budgets[attempt->kind == CATALOG_STREAM ? 0 : 1];
}

static unsigned
get_budget_step (const struct ledger *ledger, int64_t time_ms)
{
  return (unsigned)((time_ms - ledger->started_ms) / LEDGER_BUDGET_STEP_MS)
         % LEDGER_BUDGET_STEPS;
}

void
ledger_note_sent (struct ledger *ledger, const struct ledger_attempt *attempt)
{
  get_budget (ledger, attempt)
      ->requests[get_budget_step (ledger, attempt->sent_ms)]++;
}

/* Sum over the window that ends with the step. */
static unsigned
sum_window (const unsigned *counts, unsigned step)
{
  const unsigned steps = HOST_RETRY_WINDOW_MS / LEDGER_BUDGET_STEP_MS;
  unsigned sum = 0;

  for (unsigned i = 0; i < steps && i <= step; i++)
    sum += counts[step - i];
  return sum;
}

/*
 * Checks that the fleet does not repeat more than it may.  The requests count
 * in the same window, the one before it, or half a window before.
 */
static void
check_budget (struct ledger *ledger, struct ledger_attempt *attempt)
{
  const unsigned half = HOST_RETRY_WINDOW_MS / LEDGER_BUDGET_STEP_MS / 2;
  struct ledger_budget *budget = get_budget (ledger, attempt);
  unsigned step = get_budget_step (ledger, ledger->now_ms);
  unsigned requests = 0;
  unsigned repeats;

  if (++attempt->arrival_count == 1)
    return;
  budget->repeats[step]++;
  for (unsigned i = 0; i <= 2; i++)
    if (step >= i * half
        && sum_window (budget->requests, step - i * half) > requests)
      requests = sum_window (budget->requests, step - i * half);
  repeats = sum_window (budget->repeats, step);
  if (repeats <= HOST_RETRY_RATIO * requests + ledger->retry_slack
      || ledger->now_ms - budget->reported_ms < HOST_RETRY_WINDOW_MS)
    return;
  budget->reported_ms = ledger->now_ms;
  ledger_report_violation (
      ledger, "BUDGET", "%u repeats of %u %s in 10 s, slack %u", repeats,
      requests, attempt->kind == CATALOG_STREAM ? "streams" : "plain requests",
      ledger->retry_slack);
}

static void
on_request_received (void *context, const struct standin_arrival *arrival)
{
  struct ledger *ledger = context;
  struct ledger_attempt *attempt = find_attempt (ledger, arrival->id);
  const struct standin_endpoint *endpoint = arrival->endpoint;

  if (attempt == NULL)
    {
      ledger_report_violation (ledger, "UNASKED",
                               "%s got %s, which no caller sent", endpoint->id,
                               arrival->id);
      return;
    }
  if (endpoint->leaving_reported_ms != 0
      && attempt->sent_ms - endpoint->leaving_reported_ms > DRAIN_LIMIT_MS
      && ledger_was_undisturbed (ledger, attempt->host,
                                 endpoint->leaving_reported_ms))
    ledger_report_violation (
        ledger, "DRAIN",
        "%s got %s from %s %lld ms after the store recorded that it leaves",
        endpoint->id, attempt->id, attempt->host->name,
        (long long)(attempt->sent_ms - endpoint->leaving_reported_ms));
  check_drain_signals (ledger, attempt, endpoint);
  check_request_limit (ledger, attempt, endpoint);
  check_evacuation (ledger, attempt, endpoint);
  check_budget (ledger, attempt);
  if (attempt->outcome != LEDGER_OPEN
      && ledger->now_ms - attempt->ended_ms
             > ABANDONED_RUN_LIMIT_MS
                   + get_standstill_ms (ledger, attempt->ended_ms)
      && endpoint_is_undisturbed (ledger, endpoint)
      && ledger_was_undisturbed (ledger, attempt->host, attempt->sent_ms))
    ledger_report_violation (ledger, "GONE",
                             "%s got %s %lld ms after the attempt ended",
                             endpoint->id, attempt->id,
                             (long long)(ledger->now_ms - attempt->ended_ms));
}

static void
check_request_unchanged (struct ledger *ledger,
                         const struct ledger_attempt *attempt,
                         const struct standin_arrival *arrival)
{
  const char *model = arrival->model != NULL ? arrival->model : "";

  if (strcmp (attempt->method, arrival->method) != 0
      || strcmp (attempt->target, arrival->target) != 0
      || strcmp (attempt->body, arrival->body) != 0
      || strcmp (attempt->model, model) != 0)
    ledger_report_violation (
        ledger, "UNASKED", "%s arrived changed: %s %s \"%s\" %s", attempt->id,
        arrival->method, arrival->target, arrival->body, model);
  if (arrival->has_credential || arrival->customer == NULL
      || strcmp (arrival->customer, attempt->customer) != 0)
    ledger_report_violation (
        ledger, "UNASKED", "%s of %s arrived as a request of %s%s", attempt->id,
        attempt->customer,
        arrival->customer != NULL ? arrival->customer : "nobody",
        arrival->has_credential ? ", with the caller's key" : "");
  if (attempt->kind == CATALOG_STREAM
      && arrival->resume_event_id + 1 < attempt->first_event)
    ledger_report_violation (ledger, "ORDER",
                             "%s requests events after %llu again", attempt->id,
                             (unsigned long long)arrival->resume_event_id);
}

static void
check_request_allowed (struct ledger *ledger,
                       const struct ledger_attempt *attempt,
                       const struct standin_arrival *arrival)
{
  const struct standin_endpoint *endpoint = arrival->endpoint;
  struct operator_request request
      = { .target = attempt->target, .service = endpoint->service };
  bool is_undisturbed
      = ledger_was_undisturbed (ledger, attempt->host, attempt->sent_ms);

  if (!operator_allows (ledger->operator, & request, attempt->sent_ms,
                        is_undisturbed ? CONFIGURATION_LIMIT_MS
                                       : INT64_MAX / 2))
    ledger_report_violation (ledger, is_undisturbed ? "CONFIG" : "ROUTE",
                             "%s for %s ran at %s of %s by %s", attempt->id,
                             attempt->target, endpoint->id, endpoint->service,
                             attempt->host->name);
  request.key = attempt->key;
  request.customer = attempt->customer;
  request.service = NULL;
  if (!operator_allows (ledger->operator, & request, attempt->sent_ms,
                        REVOCATION_LIMIT_MS))
    ledger_report_violation (ledger, "CONFIG", "%s ran by %s with the key %s",
                             attempt->id, attempt->host->name, attempt->key);
}

static void
check_run_limits (struct ledger *ledger, const struct ledger_attempt *attempt)
{
  unsigned undisturbed_runs = 0;

  if (attempt->reported_not_run)
    ledger_report_violation (ledger, "REFUSED",
                             "%s runs after its caller got status %u",
                             attempt->id, attempt->status);
  if (!ledger_is_repeatable (attempt->kind, attempt->resumable)
      && attempt->run_count > 0)
    ledger_report_violation (ledger, "TWICE", "%s runs %u times", attempt->id,
                             attempt->run_count + 1);
  /* Endpoints that ended since, or had a fault, do not count. */
  for (unsigned i = 0; i < attempt->run_count; i++)
    {
      const struct ledger_run *run = find_run (ledger, attempt->runs[i]);

      if (run != NULL && endpoint_is_undisturbed (ledger, run->endpoint))
        undisturbed_runs++;
    }
  if (undisturbed_runs >= 2)
    ledger_report_violation (ledger, "BUDGET", "%s runs at a third endpoint",
                             attempt->id);
}

static void
on_run_started (void *context,
                const struct standin_arrival *arrival,
                uint64_t run)
{
  struct ledger *ledger = context;
  struct ledger_attempt *attempt = find_attempt (ledger, arrival->id);
  struct ledger_run *entry = calloc (1, sizeof *entry);
  int64_t remaining_ms;

  if (entry == NULL)
    abort ();
  entry->number = run;
  entry->attempt = attempt;
  entry->endpoint = arrival->endpoint;
  HASH_ADD (hh, ledger->runs, number, sizeof entry->number, entry);
  if (!arrival->has_complete_group)
    ledger_report_violation (
        ledger, "PARTIAL", "%s runs %s in group %s, which is incomplete",
        arrival->endpoint->id, arrival->id, arrival->endpoint->group.name);
  if (attempt == NULL)
    return;
  check_request_unchanged (ledger, attempt, arrival);
  check_request_allowed (ledger, attempt, arrival);
  check_run_limits (ledger, attempt);
  remaining_ms = attempt->timeout_ms - (ledger->now_ms - attempt->sent_ms);
  /* A disturbed network path may have held the bytes back. */
  if ((arrival->remaining_ms < 0
       || arrival->remaining_ms
              > remaining_ms + REMAINING_TIME_SLACK_MS
                    + get_standstill_ms (ledger, attempt->sent_ms))
      && endpoint_is_undisturbed (ledger, arrival->endpoint)
      && ledger_was_undisturbed (ledger, attempt->host, attempt->sent_ms))
    ledger_report_violation (
        ledger, "BUDGET", "%s was given %lld ms with %lld ms left", attempt->id,
        (long long)arrival->remaining_ms, (long long)remaining_ms);
  if (attempt->run_count < LEDGER_RUN_LIMIT)
    attempt->runs[attempt->run_count++] = run;
}

static void
on_response_made (void *context,
                  uint64_t run,
                  unsigned status,
                  const char *body)
{
  struct ledger *ledger = context;
  struct ledger_run *entry = find_run (ledger, run);

  entry->status = status;
  snprintf (entry->body, sizeof entry->body, "%s", body);
}

static void
on_run_aborted (void *context, uint64_t run)
{
  struct ledger *ledger = context;

  find_run (ledger, run)->aborted = true;
}

static void
on_order_executed (void *context,
                   const struct standin_endpoint *endpoint,
                   const char *order,
                   unsigned status)
{
  struct ledger *ledger = context;

  fprintf (ledger->event_log, "%6lld ms: %s answers %u to %s\n",
           (long long)(ledger->now_ms - ledger->started_ms), endpoint->id,
           status, order);
}

static void
on_member_taken (void *context,
                 const struct standin_endpoint *endpoint,
                 const char *from,
                 const char *to)
{
  struct ledger *ledger = context;

  ledger_report_violation (ledger, "TWO",
                           "%s joins %s while its group %s may serve",
                           endpoint->id, to, from);
}

const struct standin_hooks ledger_hooks = {
  .on_request_received = on_request_received,
  .on_run_started = on_run_started,
  .on_response_made = on_response_made,
  .on_run_aborted = on_run_aborted,
  .on_drain_signalled = record_drain_signal,
  .on_limit_stated = record_limit,
  .on_cold_overload = on_cold_overload,
  .on_order_executed = on_order_executed,
  .on_member_taken = on_member_taken,
};

/* Checks of what callers see. */

void
ledger_record_event (struct ledger *ledger,
                     struct ledger_attempt *attempt,
                     const char *text)
{
  const char *object = strrchr (attempt->target, '/') + 1;
  unsigned long long number = 0;
  unsigned long long run = 0;
  char name[LEDGER_TEXT_SIZE];
  const struct ledger_run *entry;

  if (sscanf (text, "id: %llu\ndata: %95s %llu", &number, name, &run) != 3
      || strcmp (name, object) != 0)
    {
      ledger_report_violation (ledger, "MIXED",
                               "%s for %s got the event \"%s\"", attempt->id,
                               object, text);
      return;
    }
  entry = find_run (ledger, run);
  if (entry == NULL || entry->attempt != attempt)
    ledger_report_violation (ledger, "MIXED", "%s got an event of run %llu",
                             attempt->id, run);
  if (number != attempt->next_event)
    ledger_report_violation (ledger, "ORDER",
                             "%s got event %llu instead of %llu", attempt->id,
                             number, (unsigned long long)attempt->next_event);
  if (!attempt->resumable && attempt->last_event_run != 0
      && attempt->last_event_run != run)
    ledger_report_violation (ledger, "ORDER",
                             "%s got events of runs %llu and %llu", attempt->id,
                             (unsigned long long)attempt->last_event_run, run);
  attempt->last_event_run = run;
  attempt->next_event = number + 1;
}

/* Checks a response that the host made itself. */
static void
check_host_response (struct ledger *ledger, struct ledger_attempt *attempt)
{
  const struct operator_request request = { .target = attempt->target,
                                            .key = attempt->key,
                                            .customer = attempt->customer };
  unsigned status = attempt->status;
  bool is_undisturbed
      = ledger_was_undisturbed (ledger, attempt->host, attempt->sent_ms);

  if (status < 300)
    ledger_report_violation (ledger, "MIXED", "%s got status %u without a seal",
                             attempt->id, status);
  if (ledger_is_not_run_status (status))
    {
      ledger->refused++;
      attempt->reported_not_run
          = !ledger_is_repeatable (attempt->kind, attempt->resumable);
      if (attempt->reported_not_run && attempt->run_count > 0)
        ledger_report_violation (ledger, "REFUSED",
                                 "%s got status %u though it had run",
                                 attempt->id, status);
      return;
    }
  ledger->failed++;
  if (status >= 500)
    return;
  if (operator_always_allows (ledger->operator, & request, attempt->sent_ms,
                              is_undisturbed ? CONFIGURATION_LIMIT_MS
                                             : INT64_MAX / 2))
    ledger_report_violation (ledger, "DENIED",
                             "%s for %s got status %u from %s", attempt->id,
                             attempt->target, status, attempt->host->name);
}

static void
check_endpoint_response (struct ledger *ledger,
                         const struct ledger_attempt *attempt,
                         const char *seal,
                         const char *body)
{
  const struct ledger_run *run = find_run (ledger, strtoull (seal, NULL, 10));

  if (run == NULL || run->attempt != attempt)
    {
      ledger_report_violation (ledger, "MIXED", "%s got the response of run %s",
                               attempt->id, seal);
      return;
    }
  if (attempt->kind == CATALOG_STREAM && attempt->status == 200)
    {
      if (attempt->next_event != attempt->event_count + 1)
        ledger_report_violation (
            ledger, "ORDER", "%s ended before event %llu of %llu", attempt->id,
            (unsigned long long)attempt->next_event,
            (unsigned long long)attempt->event_count);
      return;
    }
  if (run->status != attempt->status || strcmp (run->body, body) != 0)
    ledger_report_violation (
        ledger, "MIXED", "%s got %u \"%.40s\", its run sent %u \"%.40s\"",
        attempt->id, attempt->status, body, run->status, run->body);
}

void
ledger_record_response (struct ledger *ledger,
                        struct ledger_attempt *attempt,
                        unsigned status,
                        const char *seal,
                        const char *body)
{
  attempt->status = status;
  if (seal == NULL)
    check_host_response (ledger, attempt);
  else
    {
      check_endpoint_response (ledger, attempt, seal, body);
      if (status < 300)
        ledger->served++;
      else
        ledger->failed++;
    }
  ledger_end_attempt (ledger, attempt, LEDGER_COMPLETE);
}

/* True if no fault or end of an endpoint explains the loss of the attempt. */
static bool
has_only_undisturbed_runs (const struct ledger *ledger,
                           const struct ledger_attempt *attempt)
{
  for (unsigned i = 0; i < attempt->run_count; i++)
    {
      const struct ledger_run *run = find_run (ledger, attempt->runs[i]);

      if (run == NULL || !endpoint_is_undisturbed (ledger, run->endpoint)
          || run->endpoint->leaving || run->aborted
          || run->endpoint->group.state == STANDIN_BROKEN)
        return false;
    }
  return true;
}

/* Checks a request whose connection closed before a complete response. */
static void
check_lost_request (struct ledger *ledger, const struct ledger_attempt *attempt)
{
  const struct host *host = attempt->host;
  bool is_planned_stop
      = host->last_term_ms != 0
        && ledger->now_ms - host->last_term_ms <= HOST_GRACE_MS + STOP_MARGIN_MS
        && attempt->sent_ms + HOST_GRACE_MS > host->last_term_ms;

  if (ledger->now_ms - attempt->sent_ms >= attempt->timeout_ms
      || !ledger_was_undisturbed (ledger, host, attempt->sent_ms)
      || !ledger_was_undisturbed (ledger, host, ledger->now_ms)
      || !has_only_undisturbed_runs (ledger, attempt))
    return;
  if (is_planned_stop
      && (attempt->run_count > 0
          || ledger->now_ms - attempt->sent_ms > REQUEST_IN_TRANSIT_LIMIT_MS))
    ledger_report_violation (ledger, "LOST",
                             "%s, with %u runs, was lost in the stop of %s",
                             attempt->id, attempt->run_count, host->name);
  else if (!is_planned_stop && attempt->run_count > 0
           && ++ledger->lost > LOST_REQUEST_LIMIT)
    ledger_report_violation (ledger, "LOST", "%s was disconnected by %s",
                             attempt->id, host->name);
}

void
ledger_end_attempt (struct ledger *ledger,
                    struct ledger_attempt *attempt,
                    enum ledger_outcome outcome)
{
  attempt->outcome = outcome;
  attempt->ended_ms = ledger->now_ms;
  if (outcome == LEDGER_COMPLETE)
    return;
  ledger->failed++;
  if (outcome == LEDGER_DISCONNECTED)
    check_lost_request (ledger, attempt);
}

void
ledger_tick (struct ledger *ledger, int64_t now_ms)
{
  struct ledger_attempt *attempt;

  ledger->now_ms = now_ms;
  for (attempt = ledger->attempts; attempt != NULL; attempt = attempt->hh.next)
    if (attempt->outcome == LEDGER_OPEN && !attempt->is_overdue
        && now_ms - attempt->sent_ms
               > attempt->timeout_ms + RESPONSE_DELAY_LIMIT_MS
        && now_ms - attempt->sent_ms
               > attempt->timeout_ms + RESPONSE_DELAY_LIMIT_MS
                     + get_standstill_ms (ledger, attempt->sent_ms))
      {
        if (ledger_was_undisturbed (ledger, attempt->host, attempt->sent_ms)
            && ledger_was_undisturbed (ledger, attempt->host, now_ms))
          ledger_report_violation (ledger, "HELD",
                                   "%s has no response from %s after %lld ms",
                                   attempt->id, attempt->host->name,
                                   (long long)(now_ms - attempt->sent_ms));
        attempt->is_overdue = true;
      }
}
