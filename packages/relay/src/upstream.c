#include "internal.h"
#include "log.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

/* A connection that is not established in this time is given up. */
#define CONNECT_MS 300
/* Written bytes and probes without an answer for this long end it. */
#define SILENCE_MS 2500
/* Idle connections without a stated time-out are kept this long. */
#define IDLE_MS 4000
/* Closed this long before the endpoint would. */
#define IDLE_MARGIN_MS 600
/* A longer stated time-out makes no difference: connections last minutes. */
#define IDLE_STATED_LIMIT_S 86400
/* For requests that run at most once only connections used lately are good. */
#define FRESH_MS 700
#define HEADER_BYTES 65536
/* Largest plain answer. */
#define BODY_BYTES (8U << 20)
/*
 * Limit of buffered responses in total: a fifth of the memory of the smallest
 * host (112 MB).  Above it, only responses up to ANSWER_SPARED_BYTES may grow.
 */
#define ANSWERS_BYTES (22U << 20)
#define ANSWER_SPARED_BYTES (64U << 10)
/*
 * Limit of bytes without a complete event, and of a response to another
 * request.  Events are about 100 bytes, responses of tools below 1 KB.
 */
#define STRAY_BYTES (256U << 10)

/* The endpoint has read the prompt, or never will. */
static void
end_reading (struct relay_upstream *upstream)
{
  if (!upstream->reading)
    return;
  upstream->reading = false;
  upstream->load->reading -= upstream->request->prompt_tokens;
}

static void
detach (struct relay_upstream *upstream)
{
  struct relay_request *request = upstream->request;

  if (request == NULL)
    return;
  end_reading (upstream);
  upstream->load->running--;
  request->upstream = NULL;
  upstream->request = NULL;
}

/* Releases the buffered response. */
static void
drop_body (struct relay_upstream *upstream)
{
  upstream->relay->answer_bytes -= upstream->body.size;
  http_text_finish (&upstream->body);
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
  detach (upstream);
  http_connection_finish (&upstream->connection);
  http_text_finish (&upstream->head);
  drop_body (upstream);
  lanes_unref (&relay->lanes, upstream->load);
  http_free_later (relay->base, upstream);
}

static void
attach (struct relay_upstream *upstream, struct relay_request *request)
{
  struct relay *relay = upstream->relay;

  upstream->request = request;
  upstream->written = false;
  upstream->head_seen = false;
  upstream->is_stream = false;
  upstream->foreign = false;
  upstream->stray_bytes = 0;
  upstream->line = 0;
  upstream->scanned = 0;
  upstream->status = 0;
  upstream->started_ms = relay->now_ms;
  upstream->progress_ms = relay->now_ms;
  http_text_reset (&upstream->head);
  upstream->load->running++;
  upstream->reading = true;
  upstream->load->reading += request->prompt_tokens;
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
  http_text_add (&text, request->body.data, request->body.size);
  if (text.failed)
    {
      http_text_finish (&text);
      relay_attempt_failed (request, false, RESULT_NO_MEMORY);
      return;
    }
  upstream->written = true;
  upstream->progress_ms = relay->now_ms;
  http_connection_write (&upstream->connection, text.data, text.size);
  http_text_finish (&text);
}

static void
on_connected (void *context)
{
  struct relay_upstream *upstream = context;

  upstream->relay->now_ms = time_boot_ms ();
  upstream->established = true;
  balance_note_reached (&upstream->relay->lanes, upstream->load);
  if (upstream->request != NULL)
    send_request (upstream);
}

static void
note_progress (struct relay_upstream *upstream)
{
  int64_t now_ms = upstream->relay->now_ms;

  if (upstream->is_stream)
    balance_note_pause (upstream->load, now_ms - upstream->progress_ms, now_ms);
  upstream->progress_ms = now_ms;
  upstream->load->progress_ms = now_ms;
  balance_note_reached (&upstream->relay->lanes, upstream->load);
}

/* Records drain and back-off signals of a response. */
static void
note_endpoint_signals (struct relay_upstream *upstream,
                       const struct http_head *head)
{
  struct relay *relay = upstream->relay;
  struct lane *load = upstream->load;
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
  upstream->foreign = id != NULL && strcmp (id, request->id) != 0;
  if (upstream->foreign)
    return;
  note_endpoint_signals (upstream, head);
  upstream->head_seen = true;
  upstream->status = head->status;
  upstream->idle_limit_ms = IDLE_MS;
  if (http_head_get (head, "Keep-Alive") != NULL)
    {
      const char *timeout
          = strstr (http_head_get (head, "Keep-Alive"), "timeout=");

      if (timeout != NULL)
        upstream->idle_limit_ms
            = strtoll (timeout + 8, NULL, 10) % IDLE_STATED_LIMIT_S * 1000
              - IDLE_MARGIN_MS;
    }
  /*
   * An answer without an id may be a late one to an earlier request if the
   * connection has carried any; a refusal must be this request's own.
   */
  if (http_head_get (head, "Content-Encoding") != NULL
      || (id == NULL && (head->status < 300 || upstream->reused)))
    {
      relay_attempt_failed (request, true, RESULT_UPSTREAM_UNKNOWN);
      return;
    }
  upstream->is_stream
      = request->route->kind == CATALOG_STREAM && head->status == 200;
  note_progress (upstream);
  relay_answer_collect_head (upstream, head);
}

/* Buffers the bytes; false if the response exceeds its limit. */
static bool
keep_body (struct relay_upstream *upstream, const char *data, size_t size)
{
  struct relay *relay = upstream->relay;
  struct http_text *body = &upstream->body;
  size_t before = body->size;

  http_text_add (body, data, size);
  relay->answer_bytes += body->size - before;
  if (body->failed)
    return false;
  if (upstream->is_stream)
    return true;
  return body->size <= BODY_BYTES
         && (relay->answer_bytes <= ANSWERS_BYTES
             || body->size <= ANSWER_SPARED_BYTES);
}

static void
take_stream (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;
  struct relay_request *request = upstream->request;
  size_t before = upstream->body.size;
  uint64_t events = request->events_sent;
  bool expected = relay_answer_events (request, upstream);

  relay->answer_bytes -= before - upstream->body.size;
  if (request->events_sent > events)
    {
      end_reading (upstream);
      note_progress (upstream);
      upstream->stray_bytes = 0;
    }
  else if (upstream->stray_bytes > STRAY_BYTES)
    expected = false;
  if (!expected)
    relay_attempt_failed (request, true, RESULT_STREAM_BROKEN);
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
  if (upstream->foreign)
    {
      if (upstream->stray_bytes > STRAY_BYTES)
        relay_attempt_failed (request, true, RESULT_UPSTREAM_UNKNOWN);
      return;
    }
  if (!keep_body (upstream, data, size))
    relay_attempt_failed (request, true, RESULT_TOO_LARGE);
  else if (upstream->is_stream)
    take_stream (upstream);
}

/* Keeps the connection for the next request if it is clean. */
static void
release (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;
  bool clean = http_connection_reusable (&upstream->connection)
               && upstream->load->endpoint != NULL
               && !upstream->load->endpoint->report.leaving
               && !balance_is_leaving (upstream->load)
               && upstream->idle_limit_ms > 0;

  if (!clean)
    {
      relay_upstream_close (upstream);
      return;
    }
  TAILQ_REMOVE (&relay->busy, upstream, link);
  detach (upstream);
  drop_body (upstream);
  upstream->reused = true;
  upstream->started_ms = relay->now_ms;
  TAILQ_INSERT_HEAD (&relay->idle, upstream, link);
  http_connection_hold (&upstream->connection, false);
  http_connection_next (&upstream->connection, false);
}

/* True if the endpoint says that the request did not run. */
static bool
says_not_run (const struct relay_upstream *upstream)
{
  const struct http_head *head = &upstream->connection.head;

  return upstream->status == 421
         || http_head_get (head, upstream->relay->names->not_run) != NULL;
}

static void
finish_stream (struct relay_upstream *upstream)
{
  struct relay_request *request = upstream->request;
  struct relay_caller *caller = request->caller;

  if (upstream->body.size > 0 || request->events_sent == 0)
    {
      relay_attempt_failed (request, true, RESULT_STREAM_BROKEN);
      return;
    }
  balance_note_success (upstream->load);
  relay_answer_stream_end (request);
  release (upstream);
  relay_request_free (request);
  relay_caller_answered (caller);
}

static void
finish_plain (struct relay_upstream *upstream)
{
  struct relay_request *request = upstream->request;
  struct relay_caller *caller = request->caller;
  bool failed = upstream->status >= 500;

  if (says_not_run (upstream))
    {
      relay_attempt_failed (request, false,
                            upstream->status == 421
                                ? RESULT_ENDPOINT_WRONG_GROUP
                                : RESULT_ENDPOINT_BUSY);
      return;
    }
  /*
   * A resumed stream that is refused cannot be answered any other way.  A
   * failure is passed on unless another endpoint can try now: one of this
   * system's own would say less.
   */
  if (request->head_sent
      || (failed && relay_check_failover (request) == BALANCE_CHOSEN))
    {
      relay_attempt_failed (request, true, RESULT_UPSTREAM_UNKNOWN);
      return;
    }
  if (failed)
    balance_note_failure (upstream->load, upstream->relay->now_ms);
  else
    balance_note_success (upstream->load);
  relay_answer_plain (request, upstream);
  release (upstream);
  relay_request_free (request);
  relay_caller_answered (caller);
}

static void
on_complete (void *context)
{
  struct relay_upstream *upstream = context;
  struct relay *relay = upstream->relay;

  relay->now_ms = time_boot_ms ();
  if (upstream->request == NULL)
    {
      /* An answer that nobody waits for. */
      relay_upstream_close (upstream);
      return;
    }
  if (upstream->foreign)
    {
      upstream->foreign = false;
      /* No further answer can come on it. */
      if (upstream->connection.ended)
        relay_attempt_failed (upstream->request, true, RESULT_UPSTREAM_UNKNOWN);
      else
        http_connection_next (&upstream->connection,
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

  (void)end;
  upstream->relay->now_ms = time_boot_ms ();
  if (request == NULL)
    {
      relay_upstream_close (upstream);
      return;
    }
#ifdef BREAK_GUARD_EDGE_NOT_RUN
  upstream->written = false;
#endif
  relay_attempt_failed (request, upstream->written,
                        upstream->written ? RESULT_UPSTREAM_UNKNOWN
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
find_idle (struct relay *relay, const struct lane *load, bool fresh)
{
  struct relay_upstream *upstream;

  TAILQ_FOREACH (upstream, &relay->idle, link)
    if (upstream->load == load && http_connection_idle (&upstream->connection)
        && (!fresh || relay->now_ms - upstream->started_ms < FRESH_MS))
      return upstream;
  return NULL;
}

static struct relay_upstream *
open_upstream (struct relay *relay, struct lane *load)
{
  const struct http_limits limits = { HEADER_BYTES, HEADER_BYTES };
  struct relay_upstream *upstream = calloc (1, sizeof *upstream);

  if (upstream == NULL)
    return NULL;
  upstream->relay = relay;
  upstream->load = load;
  http_text_init (&upstream->head);
  http_text_init (&upstream->body);
  if (http_connection_connect (
          &upstream->connection, relay->base, load->endpoint->report.address,
          load->endpoint->report.port, SILENCE_MS, &limits, &events, upstream)
      != RESULT_OK)
    {
      free (upstream);
      return NULL;
    }
  counter_add (relay->counters, "waxwing_endpoint_connections_total", NULL, 1);
  lanes_ref (load);
  return upstream;
}

struct relay_upstream *
relay_upstream_get (struct relay_request *request, struct lane *load)
{
  struct relay *relay = request->relay;
  bool fresh = !catalog_is_repeatable (request->route);
  struct relay_upstream *upstream = find_idle (relay, load, fresh);

  if (upstream != NULL)
    {
      TAILQ_REMOVE (&relay->idle, upstream, link);
      attach (upstream, request);
      http_connection_next (&upstream->connection, request->is_head_method);
      send_request (upstream);
      return upstream;
    }
  upstream = open_upstream (relay, load);
  if (upstream != NULL)
    {
      attach (upstream, request);
      upstream->connection.no_body = request->is_head_method;
    }
  return upstream;
}

void
relay_upstream_probe (struct relay *relay, struct lane *load)
{
  struct relay_upstream *upstream = open_upstream (relay, load);

  if (upstream == NULL)
    return;
  upstream->started_ms = relay->now_ms;
  upstream->idle_limit_ms = IDLE_MS;
  TAILQ_INSERT_HEAD (&relay->idle, upstream, link);
  LOG_EVENT (LOG_LEVEL_INFO, "endpoint-probed", LOG_STR ("endpoint", load->id),
             LOG_STR ("data_centre", load->endpoint->report.data_centre));
}

void
relay_upstream_resume (struct relay_upstream *upstream)
{
  if (!upstream->connection.held)
    return;
  /* The pause was not the endpoint's. */
  upstream->progress_ms = upstream->relay->now_ms;
  http_connection_hold (&upstream->connection, false);
}

bool
relay_upstream_is_overdue (const struct relay_upstream *upstream)
{
  return !upstream->established
         && upstream->relay->now_ms - upstream->started_ms >= CONNECT_MS;
}

/* Ends idle connections before their endpoint does. */
void
relay_upstream_tick (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;

  if (relay->now_ms - upstream->started_ms >= upstream->idle_limit_ms
      || relay_upstream_is_overdue (upstream)
      || upstream->load->endpoint == NULL
      || upstream->load->endpoint->report.leaving
      || balance_is_leaving (upstream->load))
    relay_upstream_close (upstream);
}
