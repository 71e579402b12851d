#include "internal.h"

#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval at which a retry checks for a serving endpoint or for the peers. */
#define RETRY_POLL_MS 10

/*
 * An attempt at a group with a member whose attestation is too old fails only
 * if the response has made no progress for this long, because attestations may
 * be late for other reasons.
 */
#define ABSENT_STALL_MS 1000

struct gateway_customer *
customer_get_or_create (struct gateway *gateway, const char *name)
{
  struct gateway_customer *customer;

  HASH_FIND_STR (gateway->customers, name, customer);
  if (customer != NULL)
    return customer;
  customer = calloc (1, sizeof *customer);
  if (customer == NULL)
    return NULL;
  snprintf (customer->name, sizeof customer->name, "%s", name);
  budget_init (&customer->budget);
  HASH_ADD_STR (gateway->customers, name, customer);
  return customer;
}

static bool
has_strike (const struct gateway_request *request, int64_t now_ms)
{
  return strikes_count (request->gateway->tables.strikes,
                        request->traits.fingerprint, now_ms)
         > 0;
}

static enum result
choose_request_endpoint (const struct gateway_request *request,
                         struct choose_result *chosen,
                         int64_t now_ms)
{
  const struct gateway_tables *tables = &request->gateway->tables;
  bool is_service = request->kind == REQUEST_SERVICE;
  struct choose_request choice = {
    .customer = request->customer,
    .model = is_service ? NULL : request->name,
    .service = is_service ? request->name : NULL,
    .prefix_hash = request->prefix_hash,
    .fingerprint = request->traits.fingerprint,
    .has_strike = has_strike (request, now_ms),
    .may_have_run = request->may_have_run,
  };

  /*
   * Within the age limit of attestations the fleet table may still show the
   * failed endpoint as serving, so the retry excludes it.  After that the table
   * knows of a dead or leaving endpoint.
   */
  if (request->attempts > 0
      && now_ms - request->last_failure_ms < FLEET_ATTESTATION_AGE_LIMIT_MS)
    choice.excluded[0] = request->failed_endpoint_key;
  return choose_endpoint (tables->chooser, tables->fleet, tables->sheet,
                          tables->data_centre, &choice, now_ms, chosen);
}

static void
free_attempt (void *context)
{
  struct attempt *attempt = context;

  sse_decoder_finish (&attempt->decoder);
  if (attempt->response != NULL)
    evbuffer_free (attempt->response);
  free (attempt);
}

static struct attempt *
attempt_new (struct gateway_request *request,
             const struct choose_result *chosen,
             int64_t now_ms)
{
  const struct fleet_host *host
      = fleet_find_host (request->gateway->tables.fleet, chosen->host);
  struct attempt *attempt;

  if (host == NULL)
    return NULL;
  attempt = calloc (1, sizeof *attempt);
  if (attempt == NULL)
    return NULL;
  attempt->response = evbuffer_new ();
  if (attempt->response == NULL)
    {
      free (attempt);
      return NULL;
    }
  attempt->request = request;
  snprintf (attempt->id, sizeof attempt->id, "%s.%s.%u", request->id,
            request->attempt_id_nonce, request->attempts + 1);
  snprintf (attempt->key, sizeof attempt->key, "%s", chosen->key);
  snprintf (attempt->host, sizeof attempt->host, "%s", chosen->host);
  snprintf (attempt->boot_id, sizeof attempt->boot_id, "%s",
            host->attested.boot_id);
  snprintf (attempt->address, sizeof attempt->address, "%s", host->address);
  attempt->port = host->port;
  attempt->generation = chosen->generation;
  attempt->started_ms = now_ms;
  attempt->progress_ms = now_ms;
  sse_decoder_init (&attempt->decoder);
  return attempt;
}

static void
count_attempt (struct gateway_request *request, const struct attempt *attempt)
{
  struct gateway *gateway = request->gateway;
  struct counter_set *counters = gateway->tables.counters;

  snprintf (request->last_host, sizeof request->last_host, "%s", attempt->host);
  counter_add (counters, "waxwing_attempts_total", NULL, 1);
  if (request->attempts++ > 0)
    counter_add (counters, "waxwing_retries_total", NULL, 1);
  else
    {
      struct gateway_customer *customer
          = customer_get_or_create (gateway, request->customer);

      budget_record_attempt (&gateway->budget);
      if (customer != NULL)
        budget_record_attempt (&customer->budget);
    }
}

/*
 * Reports to the chooser that the endpoint runs a request with a strike, so
 * that no other such request goes to that endpoint.
 */
static void
report_strike_to_chooser (struct gateway_request *request, int64_t now_ms)
{
  struct attempt *attempt = request->attempt;

  if (attempt->strike_reported || !has_strike (request, now_ms))
    return;
  attempt->strike_reported = true;
  choose_started_with_strike (request->gateway->tables.chooser, attempt->key);
}

static void
start_attempt (struct gateway_request *request,
               const struct choose_result *chosen,
               int64_t now_ms)
{
  struct attempt *attempt = attempt_new (request, chosen, now_ms);
  bool started;

  if (attempt == NULL)
    {
      request_refuse (request, RESULT_NO_MEMORY, 0);
      return;
    }
  started = request->kind == REQUEST_SERVICE
                ? service_start (request, attempt)
                : generate_start (request, attempt);
  if (!started)
    {
      free_attempt (attempt);
      request_refuse (request, RESULT_NO_MEMORY, 0);
      return;
    }
  count_attempt (request, attempt);
  choose_started (request->gateway->tables.chooser, attempt->key, now_ms);
  request->attempt = attempt;
  request->state = REQUEST_RUNNING;
  report_strike_to_chooser (request, now_ms);
}

/* The code of a request that is not retried. */
static enum result
result_without_retry (const struct gateway_request *request)
{
  if (!request->may_have_run)
    return RESULT_NO_CAPACITY;
  return request->next_index > 0 ? RESULT_STREAM_BROKEN
                                 : RESULT_UPSTREAM_UNKNOWN;
}

/*
 * True while a live peer has not acknowledged the request's last strike and the
 * wait for that has not timed out.
 */
static bool
must_wait_for_strike_acks (const struct gateway_request *request,
                           int64_t now_ms)
{
  const struct gateway_strike_hooks *hooks
      = request->gateway->tables.strike_hooks;

  return request->strike_recorded && hooks != NULL
         && hooks->acknowledged != NULL
         && now_ms < request->last_failure_ms
                         + request->gateway->limits.strike_ack_timeout_ms
         && !hooks->acknowledged (hooks->context, request->traits.fingerprint);
}

void
request_dispatch (struct gateway_request *request)
{
  int64_t now_ms = time_boot_ms ();
  int64_t retry_after_ms = 0;
  struct choose_result chosen;
  enum result result = identify_check_place (request);

  /* The sheet may have changed since the request arrived or was last sent. */
  if (result == RESULT_OK)
    result = parse_check_target (request);
  if (result == RESULT_OK)
    result = strikes_check_traits (request->gateway->tables.strikes,
                                   &request->traits, now_ms, &retry_after_ms);
  if (result != RESULT_OK)
    {
      request_refuse (request, result, retry_after_ms);
      return;
    }
  if (now_ms >= request->deadline_ms)
    {
      request_refuse (request,
                      request->may_have_run ? RESULT_DEADLINE_EXCEEDED
                                            : RESULT_DEADLINE_UNREACHABLE,
                      0);
      return;
    }
  if (must_wait_for_strike_acks (request, now_ms))
    {
      request_dispatch_later (request, RETRY_POLL_MS);
      return;
    }
  if (choose_request_endpoint (request, &chosen, now_ms) == RESULT_OK)
    start_attempt (request, &chosen, now_ms);
  else if (request->attempts > 0 && now_ms < request->wait_until_ms)
    request_dispatch_later (request, RETRY_POLL_MS);
  else
    request_refuse (request, result_without_retry (request), 0);
}

void
attempt_end (struct gateway_request *request, enum choose_end end, bool cancel)
{
  struct attempt *attempt = request->attempt;
  int64_t now_ms = time_boot_ms ();

  if (attempt == NULL)
    return;
  request->attempt = NULL;
  attempt->request = NULL;
  if (attempt->strike_reported)
    choose_finished_with_strike (request->gateway->tables.chooser,
                                 attempt->key);
  choose_finished (request->gateway->tables.chooser, attempt->key, end,
                   now_ms - attempt->started_ms, attempt->tokens, now_ms);
  if (cancel && request->kind != REQUEST_SERVICE && attempt->call->written)
    generate_cancel (request->gateway, attempt);
  if (end == CHOOSE_END_SUCCESS)
    endpoint_close_and_reuse (attempt->call, free_attempt);
  else
    endpoint_close_call (attempt->call, free_attempt);
}

static bool
means_not_run (enum result result)
{
#ifdef BREAK_GUARD_NOT_RUN
  return true;
#endif
  return result == RESULT_ENDPOINT_CONNECT
         || result == RESULT_ENDPOINT_WRONG_GROUP
         || result == RESULT_ENDPOINT_LEAVING || result == RESULT_ENDPOINT_BUSY;
}

static void
record_part_strikes (struct gateway_request *request,
                     const struct attempt *attempt,
                     int64_t now_ms)
{
  const struct gateway_tables *tables = &request->gateway->tables;
  const struct gateway_strike_hooks *hooks = tables->strike_hooks;
  struct strike_report report = {
    .kind = STRIKES_PART,
    .crash = strikes_crash_id (attempt->host, attempt->boot_id),
    .at_ms = now_ms,
  };

  for (unsigned i = 0; i < request->traits.part_count; i++)
    {
      report.trait = request->traits.parts[i];
      if (strikes_add_report (tables->strikes, &report, now_ms) && hooks != NULL
          && hooks->broadcast != NULL)
        hooks->broadcast (hooks->context, report.trait, attempt->host,
                          attempt->boot_id);
    }
}

static void
record_strike (struct gateway_request *request,
               const struct attempt *attempt,
               int64_t now_ms)
{
  const struct gateway_tables *tables = &request->gateway->tables;
  const struct gateway_strike_hooks *hooks = tables->strike_hooks;

  strikes_add (tables->strikes, request->traits.fingerprint, attempt->host,
               attempt->boot_id, now_ms);
  if (hooks != NULL && hooks->broadcast != NULL)
    hooks->broadcast (hooks->context, request->traits.fingerprint,
                      attempt->host, attempt->boot_id);
  /* A part of the prompt does its harm when the endpoint begins to write. */
  if (!attempt->is_sound)
    record_part_strikes (request, attempt, now_ms);
}

/* Tells the peers too, if the answer clears strikes of the trait. */
static void
note_answered (struct gateway *gateway,
               const char *trait,
               enum strikes_kind kind)
{
  const struct gateway_tables *tables = &gateway->tables;
  const struct gateway_strike_hooks *hooks = tables->strike_hooks;

  if (strikes_note_answered (tables->strikes, trait, kind, time_boot_ms ())
      && hooks != NULL && hooks->cleared != NULL)
    hooks->cleared (hooks->context, trait);
}

void
request_note_sound_parts (struct gateway_request *request)
{
  for (unsigned i = 0; i < request->traits.part_count; i++)
    note_answered (request->gateway, request->traits.parts[i], STRIKES_PART);
}

void
request_clear_strikes (struct gateway_request *request)
{
  note_answered (request->gateway, request->traits.fingerprint,
                 STRIKES_REQUEST);
  request_note_sound_parts (request);
}

static bool
consume_retry_budget (struct gateway_request *request)
{
  struct gateway_customer *customer
      = customer_get_or_create (request->gateway, request->customer);

  return customer != NULL
         && budget_spend_retry (&request->gateway->budget, &customer->budget);
}

static void
schedule_retry (struct gateway_request *request, int64_t now_ms)
{
  const struct gateway_limits *limits = &request->gateway->limits;
  int64_t delay_ms = 0;

#ifdef BREAK_GUARD_RETRY
  request->repeatable = true;
#endif
  if (request->http == NULL)
    request_refuse (request, RESULT_CALLER_GONE, 0);
  else if ((request->may_have_run && !request->repeatable)
           || request->attempts >= limits->attempts)
    request_refuse (request, result_without_retry (request), 0);
  else if (!consume_retry_budget (request))
    request_refuse (request,
                    request->may_have_run ? result_without_retry (request)
                                          : RESULT_RETRY_BUDGET_EMPTY,
                    0);
  else
    {
      /* A leaving endpoint does not mean overload: retry without a delay. */
      if (request->last_failure != RESULT_ENDPOINT_LEAVING)
        delay_ms = budget_draw_retry_delay_ms (
            &request->gateway->rng, request->attempts - 1,
            limits->first_retry_delay_ms, limits->max_retry_delay_ms);
      request->wait_until_ms = now_ms + limits->capacity_timeout_ms;
      request_dispatch_later (request, delay_ms);
    }
}

void
attempt_fail (struct gateway_request *request,
              enum result result,
              bool may_have_crashed)
{
  struct attempt *attempt = request->attempt;
  struct fleet *fleet = request->gateway->tables.fleet;
  int64_t now_ms = time_boot_ms ();
  bool is_endpoint_failure
      = result == RESULT_ENDPOINT_CONNECT || !means_not_run (result);

  request->may_have_run |= attempt->call->written && !means_not_run (result);
  request->last_failure = result;
  request->last_failure_ms = now_ms;
  request->strike_recorded = may_have_crashed;
  memcpy (request->failed_endpoint_key, attempt->key,
          sizeof request->failed_endpoint_key);
  if (result == RESULT_ENDPOINT_LEAVING)
    {
      struct fleet_host *host = fleet_find_host (fleet, attempt->host);

      if (host != NULL)
        host->refused_leaving = true;
    }
  if (may_have_crashed)
    record_strike (request, attempt, now_ms);
  attempt_end (request,
               is_endpoint_failure ? CHOOSE_END_FAILURE : CHOOSE_END_CANCELLED,
               !may_have_crashed && !means_not_run (result));
  schedule_retry (request, now_ms);
}

static bool
is_group_absent (const struct gateway_request *request, int64_t now_ms)
{
  const struct fleet *fleet = request->gateway->tables.fleet;
  const struct fleet_group *group
      = fleet_find_group (fleet, request->attempt->key);

  return group != NULL
         && fleet_group_serving_state (fleet, group, now_ms)
                == FLEET_MEMBER_ABSENT;
}

void
attempt_tick (struct gateway_request *request, int64_t now_ms)
{
  const struct gateway_limits *limits = &request->gateway->limits;
  struct attempt *attempt = request->attempt;
  int64_t stalled_ms;

  report_strike_to_chooser (request, now_ms);
  if (request->kind == REQUEST_SERVICE && attempt->call->written)
    {
      service_tick (request, now_ms);
      return;
    }
  if (attempt->call->paused)
    attempt->progress_ms = now_ms;
  stalled_ms = now_ms - attempt->progress_ms;
  if (!attempt->call->written)
    {
      if (now_ms - attempt->started_ms >= limits->connect_timeout_ms)
        attempt_fail (request, RESULT_ENDPOINT_CONNECT, false);
    }
  else if (stalled_ms >= limits->stall_timeout_ms
           || (stalled_ms >= ABSENT_STALL_MS
               && is_group_absent (request, now_ms)))
    attempt_fail (request, RESULT_UPSTREAM_UNKNOWN, false);
}

bool
attempt_append_response (struct attempt *attempt,
                         const char *bytes,
                         size_t size,
                         size_t limit)
{
  size_t used = evbuffer_get_length (attempt->response);

  if (used < limit)
    evbuffer_add (attempt->response, bytes,
                  size < limit - used ? size : limit - used);
  if (attempt->request != NULL)
    request_account (attempt->request);
  return size <= limit && used <= limit - size;
}

bool
attempt_has_leaving_response (struct attempt *attempt)
{
  size_t size = evbuffer_get_length (attempt->response);
  const char *bytes = (const char *)evbuffer_pullup (attempt->response, -1);
  json_t *json;
  const char *error;
  bool leaving;

  if (attempt->call->status != 503 || size == 0
      || size > ERROR_BODY_LIMIT_BYTES)
    return false;
  json = json_loadb (bytes, size, 0, NULL);
  error = json_string_value (json_object_get (json, "error"));
  leaving = error != NULL && strcmp (error, "leaving") == 0;
  json_decref (json);
  return leaving;
}
