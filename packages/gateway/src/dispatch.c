#include "internal.h"

#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* How often a wait for a serving endpoint or for peers looks again. */
#define POLL_MS 10

/*
 * An endpoint whose attestation is too old is given up when the answer has
 * made no progress for this long either: the attestations may be late for
 * other reasons.
 */
#define ABSENT_MS 1000

struct gateway_customer *
customer_get (struct gateway *gateway, const char *name)
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
is_struck (const struct gateway_request *request, int64_t now_ms)
{
  return strikes_count (request->gateway->tables.strikes, request->fingerprint,
                        now_ms)
         > 0;
}

static enum result
choose (const struct gateway_request *request,
        struct choose_result *chosen,
        int64_t now_ms)
{
  const struct gateway_tables *tables = &request->gateway->tables;
  bool service = request->kind == REQUEST_SERVICE;
  struct choose_request wish = {
    .customer = request->customer,
    .model = service ? NULL : request->name,
    .service = service ? request->name : NULL,
    .prefix_hash = request->prefix_hash,
    .fingerprint = request->fingerprint,
    .struck = is_struck (request, now_ms),
    .may_have_run = request->may_have_run,
  };

  /*
   * The tables notice a dead or leaving endpoint within the age limit of
   * attestations; after that it is them that decide.
   */
  if (request->attempts > 0
      && now_ms - request->failed_ms < FLEET_ATTESTATION_MS)
    wish.excluded[0] = request->failed_key;
  return choose_endpoint (tables->chooser, tables->fleet, tables->sheet,
                          tables->data_centre, &wish, now_ms, chosen);
}

static void
attempt_release (void *context)
{
  struct attempt *attempt = context;

  sse_decoder_finish (&attempt->decoder);
  if (attempt->answer != NULL)
    evbuffer_free (attempt->answer);
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
  attempt->answer = evbuffer_new ();
  if (attempt->answer == NULL)
    {
      free (attempt);
      return NULL;
    }
  attempt->request = request;
  snprintf (attempt->id, sizeof attempt->id, "%s.%s.%u", request->id,
            request->unique, request->attempts + 1);
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
note_attempt (struct gateway_request *request, const struct attempt *attempt)
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
          = customer_get (gateway, request->customer);

      budget_note_attempt (&gateway->budget);
      if (customer != NULL)
        budget_note_attempt (&customer->budget);
    }
}

/* Keeps other struck requests away from the endpoint. */
static void
mark_struck (struct gateway_request *request, int64_t now_ms)
{
  struct attempt *attempt = request->attempt;

  if (attempt->struck || !is_struck (request, now_ms))
    return;
  attempt->struck = true;
  choose_struck_started (request->gateway->tables.chooser, attempt->key);
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
      attempt_release (attempt);
      request_refuse (request, RESULT_NO_MEMORY, 0);
      return;
    }
  note_attempt (request, attempt);
  choose_started (request->gateway->tables.chooser, attempt->key, now_ms);
  request->attempt = attempt;
  request->state = REQUEST_RUNNING;
  mark_struck (request, now_ms);
}

/* The code of a request that is not tried again. */
static enum result
final_result (const struct gateway_request *request)
{
  if (!request->may_have_run)
    return RESULT_NO_CAPACITY;
  return request->next_index > 0 ? RESULT_STREAM_BROKEN
                                 : RESULT_UPSTREAM_UNKNOWN;
}

/* True while the peers may not know of the request's latest strike yet. */
static bool
strike_pending (const struct gateway_request *request, int64_t now_ms)
{
  const struct gateway_strike_hooks *hooks
      = request->gateway->tables.strike_hooks;

  return request->struck && hooks != NULL && hooks->acknowledged != NULL
         && now_ms < request->failed_ms + request->gateway->limits.strike_ms
         && !hooks->acknowledged (hooks->context, request->fingerprint);
}

void
request_dispatch (struct gateway_request *request)
{
  int64_t now_ms = time_boot_ms ();
  int64_t retry_after_ms = 0;
  struct choose_result chosen;
  enum result result = identify_place (request);

  /* The sheet may have changed since the request came or was last sent. */
  if (result == RESULT_OK)
    result = parse_check_target (request);
  if (result == RESULT_OK)
    result = strikes_check (request->gateway->tables.strikes,
                            request->fingerprint, now_ms, &retry_after_ms);
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
  if (strike_pending (request, now_ms))
    {
      request_wait (request, POLL_MS);
      return;
    }
  if (choose (request, &chosen, now_ms) == RESULT_OK)
    start_attempt (request, &chosen, now_ms);
  else if (request->attempts > 0 && now_ms < request->capacity_until_ms)
    request_wait (request, POLL_MS);
  else
    request_refuse (request, final_result (request), 0);
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
  if (attempt->struck)
    choose_struck_finished (request->gateway->tables.chooser, attempt->key);
  choose_finished (request->gateway->tables.chooser, attempt->key, end,
                   now_ms - attempt->started_ms, attempt->tokens, now_ms);
  if (cancel && request->kind != REQUEST_SERVICE && attempt->call->written)
    generate_cancel (request->gateway, attempt);
  if (end == CHOOSE_END_SUCCESS)
    endpoint_rest (attempt->call, attempt_release);
  else
    endpoint_close (attempt->call, attempt_release);
}

static bool
says_not_run (enum result result)
{
#ifdef BREAK_GUARD_NOT_RUN
  return true;
#endif
  return result == RESULT_ENDPOINT_CONNECT
         || result == RESULT_ENDPOINT_WRONG_GROUP
         || result == RESULT_ENDPOINT_LEAVING || result == RESULT_ENDPOINT_BUSY;
}

static void
strike (struct gateway_request *request,
        const struct attempt *attempt,
        int64_t now_ms)
{
  const struct gateway_tables *tables = &request->gateway->tables;
  const struct gateway_strike_hooks *hooks = tables->strike_hooks;

  strikes_add (tables->strikes, request->fingerprint, attempt->host,
               attempt->boot_id, now_ms);
  if (hooks != NULL && hooks->broadcast != NULL)
    hooks->broadcast (hooks->context, request->fingerprint, attempt->host,
                      attempt->boot_id);
}

static bool
take_budget (struct gateway_request *request)
{
  struct gateway_customer *customer
      = customer_get (request->gateway, request->customer);

  return customer != NULL
         && budget_take (&request->gateway->budget, &customer->budget);
}

static void
retry (struct gateway_request *request, int64_t now_ms)
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
    request_refuse (request, final_result (request), 0);
  else if (!take_budget (request))
    request_refuse (request,
                    request->may_have_run ? final_result (request)
                                          : RESULT_RETRY_BUDGET_EMPTY,
                    0);
  else
    {
      /* A leaving endpoint is no sign of overload: go elsewhere at once. */
      if (request->failure != RESULT_ENDPOINT_LEAVING)
        delay_ms
            = budget_backoff_ms (&request->gateway->rng, request->attempts - 1,
                                 limits->backoff_ms, limits->backoff_limit_ms);
      request->capacity_until_ms = now_ms + limits->capacity_ms;
      request_wait (request, delay_ms);
    }
}

void
attempt_failed (struct gateway_request *request, enum result result, bool died)
{
  struct attempt *attempt = request->attempt;
  struct fleet *fleet = request->gateway->tables.fleet;
  int64_t now_ms = time_boot_ms ();
  bool failure = result == RESULT_ENDPOINT_CONNECT || !says_not_run (result);

  request->may_have_run |= attempt->call->written && !says_not_run (result);
  request->failure = result;
  request->failed_ms = now_ms;
  request->struck = died;
  memcpy (request->failed_key, attempt->key, sizeof request->failed_key);
  if (result == RESULT_ENDPOINT_LEAVING)
    {
      struct fleet_host *host = fleet_find_host (fleet, attempt->host);

      if (host != NULL)
        host->refused_leaving = true;
    }
  if (died)
    strike (request, attempt, now_ms);
  attempt_end (request, failure ? CHOOSE_END_FAILURE : CHOOSE_END_CANCELLED,
               !died && !says_not_run (result));
  retry (request, now_ms);
}

static bool
group_is_absent (const struct gateway_request *request, int64_t now_ms)
{
  const struct fleet *fleet = request->gateway->tables.fleet;
  const struct fleet_group *group
      = fleet_find_group (fleet, request->attempt->key);

  return group != NULL
         && fleet_group_serving (fleet, group, now_ms) == FLEET_MEMBER_ABSENT;
}

void
attempt_tick (struct gateway_request *request, int64_t now_ms)
{
  const struct gateway_limits *limits = &request->gateway->limits;
  struct attempt *attempt = request->attempt;
  int64_t silent_ms;

  mark_struck (request, now_ms);
  if (attempt->call->paused)
    attempt->progress_ms = now_ms;
  silent_ms = now_ms - attempt->progress_ms;
  if (!attempt->call->written)
    {
      if (now_ms - attempt->started_ms >= limits->connect_ms)
        attempt_failed (request, RESULT_ENDPOINT_CONNECT, false);
    }
  else if (request->kind != REQUEST_SERVICE
           && (silent_ms >= limits->stall_ms
               || (silent_ms >= ABSENT_MS
                   && group_is_absent (request, now_ms))))
    attempt_failed (request, RESULT_UPSTREAM_UNKNOWN, false);
}

bool
attempt_collect (struct attempt *attempt,
                 const char *bytes,
                 size_t size,
                 size_t limit)
{
  size_t used = evbuffer_get_length (attempt->answer);

  if (used < limit)
    evbuffer_add (attempt->answer, bytes,
                  size < limit - used ? size : limit - used);
  return size <= limit && used <= limit - size;
}

bool
answer_is_leaving (struct attempt *attempt)
{
  size_t size = evbuffer_get_length (attempt->answer);
  const char *bytes = (const char *)evbuffer_pullup (attempt->answer, -1);
  json_t *json;
  const char *error;
  bool leaving;

  if (attempt->call->status != 503 || size == 0 || size > ERROR_BODY_LIMIT)
    return false;
  json = json_loadb (bytes, size, 0, NULL);
  error = json_string_value (json_object_get (json, "error"));
  leaving = error != NULL && strcmp (error, "leaving") == 0;
  json_decref (json);
  return leaving;
}
