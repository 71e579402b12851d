#include "log.h"
#include "relay-internal.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Time in which a connection must be established. */
#define CONNECT_TIMEOUT_MS 300
/* Unacknowledged bytes or keep-alive probes for this long end a connection. */
#define TCP_USER_TIMEOUT_MS 2500
/* Idle connections without a Keep-Alive timeout are kept this long. */
#define DEFAULT_IDLE_TIMEOUT_MS 4000
/* Idle connections are closed this long before their endpoint closes them. */
#define IDLE_MARGIN_MS 600
/*
 * Keep-Alive timeouts are reduced modulo this, so that they do not overflow;
 * connections last only minutes.
 */
#define IDLE_TIMEOUT_MODULUS_S 86400
/* Longest idle time of a connection for a request that runs at most once. */
#define FRESH_IDLE_MS 700
#define HEADER_BYTES_LIMIT 65536
/* Limit of a plain response. */
#define BODY_BYTES_LIMIT (8U << 20)
/*
 * Limit of bytes without a complete event, and of a response to another
 * request.  Events are about 100 bytes, responses of tools below 1 KB.
 */
#define STRAY_BYTES_LIMIT (256U << 10)

/* Ends counting the prompt: it was processed, or never will be. */
static void
end_prefill (struct relay_upstream *upstream)
{
  if (!upstream->counts_prefill)
    return;
  upstream->counts_prefill = false;
  upstream->load->prefill_tokens -= upstream->request->prompt_tokens;
}

static void
detach_request (struct relay_upstream *upstream)
{
  struct relay_request *request = upstream->request;

  if (request == NULL)
    return;
  end_prefill (upstream);
  upstream->load->running--;
  request->upstream = NULL;
  upstream->request = NULL;
}

/* Releases the buffered response. */
static void
release_response (struct relay_upstream *upstream)
{
  http_text_finish (&upstream->head);
  http_text_finish (&upstream->body);
  relay_memory_charge_response (upstream);
}

void
relay_upstream_close (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;

  if (upstream->connection.fd < 0)
    return;
  if (upstream->request != NULL)
    TAILQ_REMOVE (&relay->busy, upstream, link);
  else
    TAILQ_REMOVE (&relay->idle, upstream, link);
  detach_request (upstream);
  http_connection_finish (&upstream->connection);
  release_response (upstream);
  load_table_unref (&relay->loads, upstream->load);
  http_free_later (relay->base, upstream);
}

static void
attach_request (struct relay_upstream *upstream, struct relay_request *request)
{
  struct relay *relay = upstream->relay;

  upstream->request = request;
  upstream->has_written = false;
  upstream->head_seen = false;
  upstream->is_stream = false;
  upstream->must_continue = request->head_sent;
  upstream->is_foreign = false;
  upstream->stray_bytes = 0;
  upstream->line_start = 0;
  upstream->scanned_to = 0;
  upstream->status = 0;
  upstream->started_ms = relay->now_ms;
  upstream->progress_ms = relay->now_ms;
  upstream->first_event_ms = 0;
  upstream->is_sound = false;
  upstream->unread_since_ms = 0;
  http_text_reset (&upstream->head);
  upstream->load->running++;
  request_limit_note_sent (&upstream->load->request_limit, relay->now_ms);
  upstream->counts_prefill = true;
  upstream->load->prefill_tokens += request->prompt_tokens;
  request->upstream = upstream;
  TAILQ_INSERT_TAIL (&relay->busy, upstream, link);
}

static void
send_request (struct relay_upstream *upstream)
{
  struct relay_request *request = upstream->request;
  struct relay *relay = upstream->relay;
  const struct relay_names *names = relay->names;
  int64_t left_ms = request->deadline_ms - relay->now_ms;
  struct http_text text;

  http_text_init (&text);
  http_text_add (&text, request->fields.data, request->fields.size);
  http_text_format (&text, "%s: %lld\r\n", names->deadline,
                    (long long)(left_ms > 1 ? left_ms : 1));
  http_text_add_field (&text, names->expected_endpoint, upstream->load->id);
  http_text_format (&text, "%s: %u\r\n", names->urgency, request->urgency);
  if (request->has_last_event)
    http_text_format (&text, "%s: %llu\r\n", names->last_event_id,
                      (unsigned long long)request->last_event);
  http_text_add (&text, "\r\n", 2);
  if (text.failed)
    {
      http_text_finish (&text);
      relay_fail_attempt (request, false, RESULT_NO_MEMORY);
      return;
    }
  upstream->has_written = true;
  upstream->progress_ms = relay->now_ms;
  http_connection_write (&upstream->connection, text.data, text.size);
  http_text_finish (&text);
  /*
   * The request outlives the output: it closes this connection before it frees
   * the body, and a connection with output is not used again.
   */
  if (request->body.size > 0)
    http_connection_write_borrowed (&upstream->connection, request->body.data,
                                    request->body.size);
}

static void
on_connected (void *context)
{
  struct relay_upstream *upstream = context;

  upstream->relay->now_ms = time_boot_ms ();
  upstream->established = true;
  balance_note_reached (&upstream->relay->loads, upstream->load);
  if (upstream->request != NULL)
    send_request (upstream);
}

static void
note_progress (struct relay_upstream *upstream)
{
  int64_t now_ms = upstream->relay->now_ms;

  if (upstream->is_stream)
    balance_note_event_gap (upstream->load, now_ms - upstream->progress_ms,
                            now_ms);
  upstream->progress_ms = now_ms;
  upstream->load->progress_ms = now_ms;
  balance_note_reached (&upstream->relay->loads, upstream->load);
}

/* Records the request limit that a response names, or the end of one. */
static void
note_request_limit (struct relay_upstream *upstream,
                    const struct http_head *head)
{
  struct relay *relay = upstream->relay;
  struct endpoint_load *load = upstream->load;
  const char *text = http_head_get (head, relay->names->request_limit);
  double previous = load->request_limit.per_s;
  double per_s;

  /* A refusal as misdirected may come from another endpoint. */
  if (head->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    return;
  if (text == NULL)
    request_limit_end (&load->request_limit, upstream->started_ms,
                       relay->now_ms);
  else if (http_parse_decimal (text, &per_s))
    request_limit_state (&load->request_limit, per_s, relay->now_ms);
  if (load->request_limit.per_s != previous)
    LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-names-limit",
               LOG_STR ("request", upstream->request->id),
               LOG_STR ("endpoint", load->id), LOG_U64 ("status", head->status),
               LOG_INT ("limit_per_1000_s",
                        (int64_t)(load->request_limit.per_s * 1000)),
               LOG_INT ("previous", (int64_t)(previous * 1000)));
}

/* Records drain and back-off signals of a response. */
static void
note_endpoint_signals (struct relay_upstream *upstream,
                       const struct http_head *head)
{
  struct relay *relay = upstream->relay;
  struct endpoint_load *load = upstream->load;
  const char *leaving = http_head_get (head, relay->names->leaving);
  int64_t back_off_ms = 0;
  int64_t now_ms = relay->now_ms;

  if (leaving != NULL && strcmp (leaving, "1") == 0
      && !balance_is_leaving (load))
    {
      balance_note_leaving (load, now_ms);
      LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-says-leaving",
                 LOG_STR ("request", upstream->request->id),
                 LOG_STR ("endpoint", load->id),
                 LOG_U64 ("status", head->status));
    }
  note_request_limit (upstream, head);
  if (head->status != 503 || !http_retry_after_ms (head, &back_off_ms))
    return;
  LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-backs-off",
             LOG_STR ("request", upstream->request->id),
             LOG_STR ("endpoint", load->id), LOG_INT ("wants_ms", back_off_ms),
             LOG_INT ("limit_ms", relay->limits.back_off_limit_ms));
  if (back_off_ms > relay->limits.back_off_limit_ms)
    back_off_ms = relay->limits.back_off_limit_ms;
  balance_note_back_off (load, now_ms + back_off_ms);
}

/* True if the endpoint reports that the request did not run. */
static bool
reports_not_run (const struct relay_upstream *upstream)
{
  const struct http_head *head = &upstream->connection.head;

  return upstream->status == 421
         || http_head_get (head, upstream->relay->names->not_run) != NULL;
}

/* Ends an attempt whose response is not for the caller. */
static void
fail_response (struct relay_upstream *upstream)
{
  if (!reports_not_run (upstream))
    relay_fail_attempt (upstream->request, true, RESULT_UPSTREAM_UNKNOWN);
  else
    relay_fail_attempt (upstream->request, false,
                        upstream->status == 421 ? RESULT_ENDPOINT_WRONG_GROUP
                                                : RESULT_ENDPOINT_BUSY);
}

/* True if the head is that of an event stream. */
static bool
is_event_stream (const struct relay_upstream *upstream,
                 const struct http_head *head)
{
  static const char event_stream[] = "text/event-stream";
  const char *type = http_head_get (head, "Content-Type");

  return upstream->is_stream
         && (type == NULL
             || strncasecmp (type, event_stream, strlen (event_stream)) == 0);
}

static void
on_head (void *context, const struct http_head *head)
{
  struct relay_upstream *upstream = context;
  struct relay_request *request = upstream->request;
  struct relay *relay = upstream->relay;
  const char *id = http_head_get (head, relay->names->request_id);

  relay->now_ms = time_boot_ms ();
  if (request == NULL)
    {
      /* Unsolicited response on an idle connection. */
      relay_upstream_close (upstream);
      return;
    }
  /* An empty id identifies no request, not even one without an id. */
  if (id != NULL && id[0] == '\0')
    id = NULL;
  upstream->is_foreign = id != NULL && strcmp (id, request->id) != 0;
  if (upstream->is_foreign)
    return;
  note_endpoint_signals (upstream, head);
  upstream->head_seen = true;
  upstream->status = head->status;
  upstream->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
  if (http_head_get (head, "Keep-Alive") != NULL)
    {
      const char *timeout
          = strstr (http_head_get (head, "Keep-Alive"), "timeout=");

      if (timeout != NULL)
        upstream->idle_timeout_ms
            = strtoll (timeout + 8, NULL, 10) % IDLE_TIMEOUT_MODULUS_S * 1000
              - IDLE_MARGIN_MS;
    }
  /*
   * A response without an id may be a late response to an earlier request, if
   * the connection has carried any.  On a new connection, a refusal without an
   * id must belong to this request.
   */
  if (http_head_get (head, "Content-Encoding") != NULL
      || (id == NULL && (head->status < 300 || upstream->was_reused)))
    {
      relay_fail_attempt (request, true, RESULT_UPSTREAM_UNKNOWN);
      return;
    }
  upstream->is_stream
      = request->route->kind == CATALOG_STREAM && head->status == 200;
  /* The caller of a resumed stream cannot get another response. */
  if (request->head_sent && !is_event_stream (upstream, head))
    {
      fail_response (upstream);
      return;
    }
  note_progress (upstream);
  relay_response_collect_head (upstream, head);
}

/* Buffers the bytes; false if the response exceeds its limit. */
static bool
buffer_body (struct relay_upstream *upstream, const char *data, size_t size)
{
  struct http_text *body = &upstream->body;

  http_text_add (body, data, size);
  return relay_memory_note_response (upstream) && !body->failed
         && (upstream->is_stream || body->size <= BODY_BYTES_LIMIT);
}

static void
note_long_stream (struct relay_upstream *upstream)
{
  if (upstream->is_sound
      || upstream->relay->now_ms - upstream->first_event_ms
             < RELAY_SOUND_AFTER_MS)
    return;
  upstream->is_sound = true;
  relay_note_sound (upstream->request);
}

static void
forward_stream (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;
  struct relay_request *request = upstream->request;
  uint64_t events = request->events_sent;
  bool is_valid = relay_response_send_events (request, upstream);

  relay_memory_note_events (upstream);
  if (request->events_sent > events)
    {
      end_prefill (upstream);
      note_progress (upstream);
      upstream->stray_bytes = 0;
      if (upstream->first_event_ms == 0)
        upstream->first_event_ms = relay->now_ms;
      note_long_stream (upstream);
    }
  else if (upstream->stray_bytes > STRAY_BYTES_LIMIT
           || !relay_memory_can_hold_event (upstream))
    is_valid = false;
  if (!is_valid)
    relay_fail_attempt (request, true, RESULT_STREAM_BROKEN);
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct relay_upstream *upstream = context;
  struct relay_request *request = upstream->request;

  if (request == NULL)
    return;
  upstream->relay->now_ms = time_boot_ms ();
  upstream->stray_bytes += size;
  if (upstream->is_foreign)
    {
      if (upstream->stray_bytes > STRAY_BYTES_LIMIT)
        relay_fail_attempt (request, true, RESULT_UPSTREAM_UNKNOWN);
      return;
    }
  if (!buffer_body (upstream, data, size))
    relay_fail_attempt (request, true, RESULT_TOO_LARGE);
  else if (upstream->is_stream)
    forward_stream (upstream);
}

/* Keeps the connection for the next request if it is reusable. */
static void
release_connection (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;
  bool is_reusable = http_connection_is_reusable (&upstream->connection)
                     && upstream->load->endpoint != NULL
                     && !upstream->load->endpoint->report.leaving
                     && !balance_is_leaving (upstream->load)
                     && upstream->idle_timeout_ms > 0;

  if (!is_reusable)
    {
      relay_upstream_close (upstream);
      return;
    }
  TAILQ_REMOVE (&relay->busy, upstream, link);
  detach_request (upstream);
  release_response (upstream);
  upstream->was_reused = true;
  upstream->started_ms = relay->now_ms;
  TAILQ_INSERT_HEAD (&relay->idle, upstream, link);
  http_connection_set_reading_suspended (&upstream->connection, false);
  http_connection_next_message (&upstream->connection, false);
}

/*
 * True if callers take the status as a promise that the request did not run.
 * Without the field that says so, the endpoint has not made it.
 */
static bool
is_promise_of_not_run (unsigned status)
{
  return status == 408 || status == 429 || status == 503;
}

/*
 * A response that ends with its connection may have been cut off by a crash
 * between two events.
 */
static void
note_whole_response (struct relay_upstream *upstream)
{
  if (upstream->connection.ended)
    relay_suspect_crash (upstream->request, false);
  else
    relay_note_sound (upstream->request);
}

/*
 * True if a stream without events is complete: the caller has named the last
 * event that it has, and the response says by its own framing that none
 * follows.
 */
static bool
ends_after_last_event (const struct relay_upstream *upstream)
{
  return upstream->request->has_last_event && !upstream->connection.ended
         && is_event_stream (upstream, &upstream->connection.head);
}

static void
finish_stream (struct relay_upstream *upstream)
{
  struct relay_request *request = upstream->request;
  struct relay_caller *caller = request->caller;

  /* Without an event the end of the connection is not that of the stream. */
  if (upstream->body.size > 0
      || (request->events_sent == 0 && !ends_after_last_event (upstream))
      || (upstream->must_continue && upstream->connection.ended))
    {
      if (upstream->connection.ended)
        relay_suspect_crash (request, true);
      relay_fail_attempt (request, true, RESULT_STREAM_BROKEN);
      return;
    }
  balance_note_success (upstream->load);
  note_whole_response (upstream);
  relay_admission_note_response (request);
  relay_response_end_stream (request);
  release_connection (upstream);
  relay_request_free (request);
  relay_caller_finish_response (caller);
}

static void
finish_plain (struct relay_upstream *upstream)
{
  struct relay_request *request = upstream->request;
  struct relay_caller *caller = request->caller;
  bool failed = upstream->status >= 500;

  /*
   * A failure is forwarded unless another endpoint can be tried now: a refusal
   * of the relay would say less than the endpoint's response.
   */
  if (reports_not_run (upstream)
      || (is_promise_of_not_run (upstream->status)
          && !catalog_is_repeatable (request->route))
      || (failed && relay_check_failover (request) == BALANCE_CHOSEN))
    {
      fail_response (upstream);
      return;
    }
  if (failed)
    balance_note_failure (upstream->load, upstream->relay->now_ms);
  else
    {
      balance_note_success (upstream->load);
      note_whole_response (upstream);
      relay_admission_note_response (request);
    }
  relay_response_send_plain (request, upstream);
  release_connection (upstream);
  relay_request_free (request);
  relay_caller_finish_response (caller);
}

static void
on_complete (void *context)
{
  struct relay_upstream *upstream = context;
  struct relay *relay = upstream->relay;

  relay->now_ms = time_boot_ms ();
  if (upstream->request == NULL)
    {
      /* A response that no request waits for. */
      relay_upstream_close (upstream);
      return;
    }
  if (upstream->is_foreign)
    {
      upstream->is_foreign = false;
      /* No further response can come on this connection. */
      if (upstream->connection.ended)
        relay_fail_attempt (upstream->request, true, RESULT_UPSTREAM_UNKNOWN);
      else
        http_connection_next_message (&upstream->connection,
                                      upstream->request->is_head_method);
      return;
    }
  if (upstream->is_stream)
    finish_stream (upstream);
  else
    finish_plain (upstream);
  relay_dispatch_waiting (relay);
}

static void
on_closed (void *context, enum http_end end)
{
  struct relay_upstream *upstream = context;
  struct relay_request *request = upstream->request;

  upstream->relay->now_ms = time_boot_ms ();
  if (end == HTTP_END_REFUSED)
    relay_note_refused (upstream->relay, upstream->load);
  if (request == NULL)
    {
      relay_upstream_close (upstream);
      return;
    }
  if (upstream->has_written && end != HTTP_END_PROTOCOL
      && end != HTTP_END_LIMIT)
    relay_suspect_crash (request, true);
#ifdef BREAK_GUARD_EDGE_NOT_RUN
  upstream->has_written = false;
#endif
  relay_fail_attempt (request, upstream->has_written,
                      upstream->has_written ? RESULT_UPSTREAM_UNKNOWN
                                            : RESULT_ENDPOINT_CONNECT);
}

static const struct http_events events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

static struct relay_upstream *
find_idle_upstream (struct relay *relay,
                    const struct endpoint_load *load,
                    bool must_be_fresh)
{
  struct relay_upstream *upstream;

  TAILQ_FOREACH (upstream, &relay->idle, link)
    if (upstream->load == load
        && http_connection_is_idle (&upstream->connection)
        && (!must_be_fresh
            || relay->now_ms - upstream->started_ms < FRESH_IDLE_MS))
      return upstream;
  return NULL;
}

static struct relay_upstream *
open_upstream (struct relay *relay, struct endpoint_load *load)
{
  const struct http_limits limits = { HEADER_BYTES_LIMIT, HEADER_BYTES_LIMIT };
  struct relay_upstream *upstream = calloc (1, sizeof *upstream);

  if (upstream == NULL)
    return NULL;
  upstream->relay = relay;
  upstream->load = load;
  http_text_init (&upstream->head);
  http_text_init (&upstream->body);
  if (http_connection_connect (&upstream->connection, relay->base,
                               load->endpoint->report.address,
                               load->endpoint->report.port, TCP_USER_TIMEOUT_MS,
                               &limits, &events, upstream)
      != RESULT_OK)
    {
      free (upstream);
      return NULL;
    }
  http_connection_set_account (&upstream->connection, &relay->memory,
                               MEMORY_TO_ENDPOINTS);
  counter_add (relay->counters, "waxwing_endpoint_connections_total", NULL, 1);
  endpoint_load_ref (load);
  return upstream;
}

struct relay_upstream *
relay_upstream_get (struct relay_request *request, struct endpoint_load *load)
{
  struct relay *relay = request->relay;
  bool must_be_fresh = !catalog_is_repeatable (request->route);
  struct relay_upstream *upstream
      = find_idle_upstream (relay, load, must_be_fresh);

  if (upstream != NULL)
    {
      TAILQ_REMOVE (&relay->idle, upstream, link);
      attach_request (upstream, request);
      http_connection_next_message (&upstream->connection,
                                    request->is_head_method);
      send_request (upstream);
      return upstream;
    }
  upstream = open_upstream (relay, load);
  if (upstream != NULL)
    {
      attach_request (upstream, request);
      upstream->connection.no_body = request->is_head_method;
    }
  return upstream;
}

void
relay_upstream_probe (struct relay *relay, struct endpoint_load *load)
{
  struct relay_upstream *upstream;

  if (relay_is_evacuated (relay, load))
    return;
  upstream = open_upstream (relay, load);
  if (upstream == NULL)
    return;
  upstream->started_ms = relay->now_ms;
  upstream->idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS;
  TAILQ_INSERT_HEAD (&relay->idle, upstream, link);
  LOG_EVENT (LOG_LEVEL_INFO, "endpoint-probed", LOG_STR ("endpoint", load->id),
             LOG_STR ("data_centre", load->endpoint->report.data_centre));
}

void
relay_upstream_resume (struct relay_upstream *upstream)
{
  if (!upstream->connection.is_reading_suspended
      || upstream->unread_since_ms != 0)
    return;
  /* The gap was caused by the caller, not by the endpoint. */
  upstream->progress_ms = upstream->relay->now_ms;
  http_connection_set_reading_suspended (&upstream->connection, false);
}

bool
relay_upstream_is_overdue (const struct relay_upstream *upstream)
{
  return !upstream->established
         && upstream->relay->now_ms - upstream->started_ms
                >= CONNECT_TIMEOUT_MS;
}

/* Ends idle connections before their endpoint does. */
void
relay_upstream_tick (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;

  if (relay->now_ms - upstream->started_ms >= upstream->idle_timeout_ms
      || relay_upstream_is_overdue (upstream)
      || upstream->load->endpoint == NULL
      || upstream->load->endpoint->report.leaving
      || balance_is_leaving (upstream->load)
      || relay_is_evacuated (relay, upstream->load))
    relay_upstream_close (upstream);
}
