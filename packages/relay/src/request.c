#include "hash.h"
#include "log.h"
#include "relay-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Deadline of a request without one, or before its route is known. */
#define DEFAULT_DEADLINE_MS 30000
/*
 * Callers' own deadlines lie up to this share below the timeout of the route.
 * A shorter one tells that the caller has come back.
 */
#define OWN_DEADLINE_SHARE 0.16
/* Most bytes of a body before a configuration is received. */
#define DEFAULT_BODY_BYTES 4194304
/*
 * Urgency that is sent with a request; 0 is served first.  A request that can
 * no longer meet its objective is less urgent by LATE_URGENCY_STEP.
 */
#define LATE_URGENCY_STEP 4
#define URGENCY_LIMIT 9
#define URGENCY_BASE 2
/*
 * Wait after the deadline, since the endpoint ends the work at the deadline
 * itself and responds then.
 */
#define DEADLINE_GRACE_MS 60
/*
 * Retry-After from a host that shuts down, or whose configuration is stale,
 * while other hosts serve.
 */
#define OTHER_HOST_RETRY_MS 10
/*
 * A stream is stalled when its endpoint has sent no event on any stream, of
 * this entry host or of others, for this many times the event gap objective.
 */
#define STALL_EVENT_GAP_OBJECTIVES 1.3
/* Before the first event, the limit is this many latency objectives. */
#define STALL_FIRST_EVENT_OBJECTIVES 3.0
/* A stalled endpoint is avoided for this long. */
#define STALL_AVOID_MS 1500
/* A stall is reported to the other entry hosts for this long. */
#define STALL_REPORT_MS 400
/* Own events more recent than this prove that the endpoint is not stalled. */
#define STALL_OWN_ACTIVITY_MS 150

/* The announced size of the body, or the largest that it may have. */
static uint64_t
get_body_limit (const struct relay_caller *caller, const struct http_head *head)
{
  const struct catalog *catalog = caller->relay->catalog;

  if (head->has_length)
    return caller->connection.parser.content_length;
  if (!(caller->connection.parser.flags & F_CHUNKED))
    return 0;
  return catalog != NULL ? (uint64_t)catalog->limits.body_bytes
                         : DEFAULT_BODY_BYTES;
}

struct relay_request *
relay_request_new (struct relay_caller *caller, const struct http_head *head)
{
  struct relay *relay = caller->relay;
  const char *id = http_head_get (head, relay->names->request_id);
  const char *copy;
  struct relay_request *request
      = text_allocate_with (sizeof *request, id != NULL ? id : "", &copy);

  if (request == NULL)
    {
      relay_caller_close (caller);
      return NULL;
    }
  request->relay = relay;
  request->caller = caller;
  request->arrived_ms = relay->now_ms;
  request->deadline_ms = relay->now_ms + DEFAULT_DEADLINE_MS;
  request->is_head_method = strcmp (head->method, "HEAD") == 0;
  request->id = copy;
  http_text_init (&request->fields);
  http_text_init (&request->body);
  TAILQ_INSERT_TAIL (&relay->requests, request, link);
  caller->request = request;
  request->body_limit = get_body_limit (caller, head);
  request->body_progress_ms = relay->now_ms;
  /* Refused before any of it is read. */
  if (relay->catalog != NULL
      && request->body_limit > (uint64_t)relay->catalog->limits.body_bytes)
    {
      caller->close_after = true;
      relay_refuse (request, RESULT_BODY_TOO_LARGE, 0);
      return NULL;
    }
  if (http_head_get (head, "Expect") != NULL)
    http_connection_write (&caller->connection, "HTTP/1.1 100 Continue\r\n\r\n",
                           25);
  relay_memory_charge_request (request);
  return request;
}

void
relay_request_free (struct relay_request *request)
{
  struct relay *relay = request->relay;

  if (request->upstream != NULL)
    relay_upstream_close (request->upstream);
  for (unsigned i = 0; i < request->tried_count; i++)
    load_table_unref (&relay->loads, request->tried[i]);
  if (request->is_queued)
    TAILQ_REMOVE (&relay->waiting, request, queue);
  TAILQ_REMOVE (&relay->requests, request, link);
  if (request->caller != NULL)
    request->caller->request = NULL;
  memory_account_set (&relay->memory, MEMORY_BODIES, &request->memory_charge,
                      0);
  http_text_finish (&request->fields);
  http_text_finish (&request->body);
  catalog_unref (request->catalog);
  http_free_later (relay->base, request);
}

static void
set_deadlines (struct relay_request *request, const struct http_head *head)
{
  const struct catalog_route *route = request->route;
  int64_t left_ms
      = route->timeout_ms > 0 ? route->timeout_ms : DEFAULT_DEADLINE_MS;
  int64_t caller_left_ms;

  if (http_parse_number (http_head_get (head, request->relay->names->deadline),
                         &caller_left_ms)
      && caller_left_ms < left_ms)
    {
      if ((double)caller_left_ms < (1 - OWN_DEADLINE_SHARE) * (double)left_ms)
        request->waited_before_ms = left_ms - caller_left_ms;
      left_ms = caller_left_ms;
    }
  request->deadline_ms = request->arrived_ms + left_ms;
  request->objective_deadline_ms = request->arrived_ms + route->objective_ms;
}

static bool
is_dropped_field (const struct relay_names *names, const char *field)
{
  const char *const dropped[]
      = { names->deadline,         names->customer, names->expected_endpoint,
          names->expected_version, names->urgency,  names->credential,
          names->last_event_id,    "Content-Length" };

#ifdef BREAK_GUARD_EDGE_CUSTOMER
  if (strcasecmp (names->customer, field) == 0)
    return false;
#endif
  for (size_t i = 0; i < sizeof dropped / sizeof dropped[0]; i++)
    if (strcasecmp (dropped[i], field) == 0)
      return true;
  return false;
}

static void
build_fields (struct relay_request *request, const struct http_head *head)
{
  const struct relay_names *names = request->relay->names;
  struct http_text *fields = &request->fields;

  http_text_add_string (fields, head->method);
  http_text_add (fields, " ", 1);
  http_text_add_string (fields, http_head_target (head));
  http_text_add_string (fields, " HTTP/1.1\r\n");
  for (unsigned i = 0; i < head->field_count; i++)
    if (!http_field_is_hop_by_hop (head, i)
        && !is_dropped_field (names, http_field_name (head, i)))
      http_text_add_field (fields, http_field_name (head, i),
                           http_field_value (head, i));
  if (request->customer != NULL)
    http_text_add_field (fields, names->customer, request->customer->name);
  if (request->body.size > 0 || head->has_length)
    http_text_format (fields, "Content-Length: %zu\r\n", request->body.size);
}

/* Returns the credential without its scheme; NULL if either is missing. */
static const char *
find_credential (const struct relay_names *names, const struct http_head *head)
{
  const char *value = http_head_get (head, names->credential);
  size_t size = strlen (names->credential_scheme);

  if (value == NULL || strncasecmp (value, names->credential_scheme, size) != 0
      || value[size] != ' ')
    return NULL;
  value += size;
  return value + strspn (value, " ");
}

/*
 * Finds the route and the customer of the request.  Requests are denied for
 * good only while the configuration is known to be current; otherwise the
 * caller is asked to retry.
 */
static enum result
resolve_route (struct relay_request *request, const struct http_head *head)
{
  struct relay *relay = request->relay;
  const char *host = http_head_get (head, "Host");
  int64_t staleness_ms = relay->now_ms - relay->catalog_current_at_ms;
  bool is_current = staleness_ms <= relay->limits.route_freshness_limit_ms;
  const char *key;

  if (relay->catalog == NULL || relay->is_catalog_outdated)
    return RESULT_NO_CONFIGURATION;
  request->catalog = catalog_ref (relay->catalog);
  if (host == NULL)
    return RESULT_MALFORMED_REQUEST;
  request->route
      = catalog_find_route (request->catalog, host, http_head_target (head));
  if (request->route == NULL)
    return is_current ? RESULT_UNKNOWN_TARGET : RESULT_NO_CONFIGURATION;
  if (request->catalog->needs_keys && !request->route->open)
    {
      key = find_credential (relay->names, head);
      if (key != NULL)
        request->customer = catalog_find_key (request->catalog, key);
      if (request->customer == NULL)
        return is_current ? RESULT_UNAUTHENTICATED : RESULT_NO_CONFIGURATION;
#ifdef BREAK_GUARD_EDGE_KEY
      staleness_ms = 0;
#endif
      /* The key may have been revoked since the configuration was current. */
      if (staleness_ms > relay->limits.key_freshness_limit_ms)
        return RESULT_NO_CONFIGURATION;
    }
  return RESULT_OK;
}

static enum result
resolve_service (struct relay_request *request, const struct http_head *head)
{
  struct relay *relay = request->relay;
  const char *service
      = catalog_pick_target (request->route, rng_next (&relay->loads.rng));
  const char *model = http_head_get (head, relay->names->model);

  request->service = catalog_find_service (request->catalog, service);
  if (request->service == NULL)
    return RESULT_NO_CAPACITY;
  if (request->service->model_count > 0)
    {
      request->model
          = model != NULL ? catalog_find_model (request->service, model) : NULL;
      if (request->model == NULL)
        return RESULT_NO_CAPACITY;
    }
  return RESULT_OK;
}

unsigned
relay_request_priority (const struct relay_request *request)
{
  return request->customer != NULL && request->customer->has_priority
             ? request->customer->priority
             : request->route->priority;
}

void
relay_request_set_urgency (struct relay_request *request)
{
  unsigned urgency = relay_request_priority (request) + URGENCY_BASE;

  if (request->relay->now_ms >= request->objective_deadline_ms)
    urgency += LATE_URGENCY_STEP;
  request->urgency = urgency < URGENCY_LIMIT ? urgency : URGENCY_LIMIT;
}

static void
read_token_counts (struct relay_request *request, const struct http_head *head)
{
  const char *text = http_head_get (head, request->relay->names->token_counts);
  char *end;

  if (text == NULL)
    return;
  request->prompt_tokens = strtoull (text, &end, 10);
  if (*end == ',')
    request->limit_tokens = strtoull (end + 1, NULL, 10);
}

static void
read_shared_parts (struct relay_request *request, const struct http_head *head)
{
  const struct relay_names *names = request->relay->names;
  const char *text = http_head_get (head, names->prompt_parts);

  if (text == NULL)
    return;
  request->prompt_hash = hash_string (text, 0);
  request->shared_part_count = names->decode_shared_parts (
      text, request->shared_parts, STRIKES_PART_LIMIT);
}

static void
refuse_new_request (struct relay_request *request, enum result result)
{
  int64_t retry_ms = result_info (result)->http_status == 503
                         ? relay_draw_retry_after_ms (request->relay)
                         : 0;

  if (result == RESULT_NO_CONFIGURATION)
    {
      /* A caller that keeps the connection would retry on this host. */
      request->caller->close_after = true;
      if (request->relay->peers_can_serve)
        retry_ms = OTHER_HOST_RETRY_MS;
    }
  relay_refuse (request, result, retry_ms);
}

/*
 * True if the process may end before the request, whose caller could not repeat
 * it then.
 */
static bool
may_outlast_process (const struct relay_request *request)
{
  const struct relay *relay = request->relay;

  return relay->leaving && !catalog_is_repeatable (request->route)
         && request->deadline_ms > relay->ends_at_ms;
}

void
relay_request_start (struct relay_request *request)
{
  const struct http_head *head = &request->caller->connection.head;
  struct relay *relay = request->relay;
  const char *last_event;
  int64_t number;
  enum result result = resolve_route (request, head);

  if (!head->keep_alive)
    request->caller->close_after = true;
  if (relay->closing)
    {
      relay_refuse (request, RESULT_DRAINING, OTHER_HOST_RETRY_MS);
      return;
    }
  if (result == RESULT_OK)
    {
      set_deadlines (request, head);
      if (may_outlast_process (request))
        {
          relay_refuse (request, RESULT_DRAINING, OTHER_HOST_RETRY_MS);
          return;
        }
      retry_budget_note_request (
          &relay->budgets, request->route->targets[0].service, relay->now_ms);
      result = resolve_service (request, head);
    }
  if (result == RESULT_OK)
    {
      last_event = http_head_get (head, relay->names->last_event_id);
      if (last_event != NULL && http_parse_number (last_event, &number))
        {
          request->last_event = (uint64_t)number;
          request->has_last_event = true;
        }
      read_token_counts (request, head);
      read_shared_parts (request, head);
      if (request->service->has_priorities)
        relay_admission_start (request);
      relay_request_set_urgency (request);
      build_fields (request, head);
      relay_memory_charge_request (request);
      if (request->fields.failed || request->body.failed)
        result = RESULT_NO_MEMORY;
    }
  if (result != RESULT_OK)
    {
      refuse_new_request (request, result);
      return;
    }
  request->phase = RELAY_WAITING;
  request->waiting_since_ms = relay->now_ms;
  request->admission_draw = rng_real (&relay->loads.rng);
  relay_dispatch (request);
}

void
relay_request_set_queued (struct relay_request *request, bool is_queued)
{
  struct relay *relay = request->relay;

  if (request->is_queued == is_queued)
    return;
  request->is_queued = is_queued;
  if (is_queued)
    TAILQ_INSERT_TAIL (&relay->waiting, request, queue);
  else
    TAILQ_REMOVE (&relay->waiting, request, queue);
}

/* Ends a request whose deadline has passed: refuses it or breaks the stream. */
static void
end_expired_request (struct relay_request *request)
{
  struct relay_caller *caller = request->caller;

  if (request->head_sent)
    {
      relay_log_request_end (request, "cut-off", 0, RESULT_DEADLINE_EXCEEDED);
      relay_caller_close (caller);
    }
  else
    relay_refuse (request,
                  request->runs == 0 && request->upstream == NULL
                      ? RESULT_DEADLINE_UNREACHABLE
                      : RESULT_DEADLINE_EXCEEDED,
                  0);
}

/* True if the endpoint has shown no activity on any stream for too long. */
static bool
is_stalled (const struct relay_request *request)
{
  const struct relay_upstream *upstream = request->upstream;
  const struct relay *relay = request->relay;
  int64_t last_activity_ms;
  double limit_ms;

  if (!upstream->is_stream && upstream->head_seen)
    return false;
  /* Reading is suspended for a slow caller; the endpoint may have sent more. */
  if (upstream->connection.is_reading_suspended)
    return false;
  last_activity_ms = upstream->progress_ms;
  if (upstream->load->progress_ms > last_activity_ms)
    last_activity_ms = upstream->load->progress_ms;
  if (upstream->load->peer_progress_ms > last_activity_ms)
    last_activity_ms = upstream->load->peer_progress_ms;
  limit_ms = upstream->head_seen
                 ? (double)request->route->event_gap_objective_ms
                       * STALL_EVENT_GAP_OBJECTIVES
                 : (double)request->route->objective_ms
                       * STALL_FIRST_EVENT_OBJECTIVES;
  return (double)(relay->now_ms - last_activity_ms) > limit_ms;
}

static void
note_stall (struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct endpoint_load *load = request->upstream->load;

  balance_avoid (load, relay->now_ms + STALL_AVOID_MS);
  if (load->stall_reported_until_ms > relay->now_ms)
    return;
  load->stall_reported_until_ms = relay->now_ms + STALL_REPORT_MS;
  balance_note_unreached (&relay->loads, load, relay->now_ms);
  LOG_EVENT (
      LOG_LEVEL_NOTICE, "endpoint-stands-still",
      LOG_STR ("request", request->id), LOG_STR ("endpoint", load->id),
      LOG_INT ("silent_ms", relay->now_ms - request->upstream->progress_ms));
  if (relay->on_stall != NULL)
    relay->on_stall (relay->stall_context, load);
}

void
relay_note_peer_stall (struct relay *relay, struct endpoint_load *load)
{
  int64_t last_activity_ms = load->progress_ms;

  /* Own observations take precedence over those of peers. */
  if (load->running > 0
      && relay->now_ms - last_activity_ms < STALL_OWN_ACTIVITY_MS)
    return;
  balance_avoid (load, relay->now_ms + STALL_REPORT_MS);
}

void
relay_request_tick (struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct relay_upstream *upstream = request->upstream;
  int64_t now_ms = relay->now_ms;

  if (request->phase == RELAY_READING)
    return;
  if (now_ms >= request->deadline_ms + DEADLINE_GRACE_MS
      || (upstream == NULL && now_ms >= request->deadline_ms))
    {
      end_expired_request (request);
      return;
    }
  if (upstream == NULL)
    return;
  if (relay_upstream_is_overdue (upstream))
    {
      relay_fail_attempt (request, false, RESULT_ENDPOINT_CONNECT);
      return;
    }
  if (request->route->kind == CATALOG_STREAM && request->route->resumable
      && upstream->has_written && is_stalled (request))
    {
      note_stall (request);
      /* The stream may only be slow: it is kept if it cannot fail over. */
      if (relay_check_failover (request) != BALANCE_NONE)
        relay_fail_attempt (request, true, RESULT_STREAM_BROKEN);
    }
}
