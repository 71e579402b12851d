#include "log.h"
#include "relay-internal.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * Limit of connected callers.  An entry host has about 2,900 descriptors, of
 * which 200 are for files and the rest for callers and endpoints.
 */
#define CALLER_LIMIT 1400
/* Limits that apply until a configuration is received. */
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_HEADER_TIMEOUT_MS 3000
#define DEFAULT_IDLE_TIMEOUT_MS 15000
/* Limit of pipelined bytes kept while a request is being served. */
#define PIPELINED_BYTES_LIMIT 65536
/* A stream is not read while more bytes than this wait for a slow caller. */
#define UNWRITTEN_LIMIT_BYTES 262144

static struct http_limits
get_caller_limits (const struct relay *relay)
{
  struct http_limits limits = { DEFAULT_HEADER_BYTES, PIPELINED_BYTES_LIMIT };

  if (relay->catalog != NULL)
    limits.header_bytes = (size_t)relay->catalog->limits.header_bytes;
  return limits;
}

static void
on_head (void *context, const struct http_head *head)
{
  struct relay_caller *caller = context;

  caller->relay->now_ms = time_boot_ms ();
  caller->request = relay_request_new (caller, head);
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct relay_caller *caller = context;
  struct relay_request *request = caller->request;
  const struct catalog *catalog = caller->relay->catalog;

  if (request == NULL)
    return;
  http_text_add (&request->body, data, size);
  caller->relay->body_bytes += size;
  if (request->body.failed
      || (catalog != NULL
          && (int64_t)request->body.size > catalog->limits.body_bytes))
    {
      caller->close_after = true;
      relay_refuse (request, RESULT_BODY_TOO_LARGE, 0);
    }
}

static void
on_complete (void *context)
{
  struct relay_caller *caller = context;

  caller->relay->now_ms = time_boot_ms ();
  caller->relay->has_received_request = true;
  if (caller->request != NULL)
    relay_request_start (caller->request);
}

/* Ends the connection; discards the rest of a request that still arrives. */
static void
end_connection (struct relay_caller *caller)
{
  if (caller->connection.has_whole_message)
    relay_caller_close (caller);
  else
    http_connection_half_close (&caller->connection);
}

static void
on_closed (void *context, enum http_end end)
{
  struct relay_caller *caller = context;

  caller->relay->now_ms = time_boot_ms ();
  /* A malformed request gets a response; an abort within a body does not. */
  if ((end == HTTP_END_LIMIT || end == HTTP_END_PROTOCOL
       || end == HTTP_END_TRUNCATED)
      && caller->request == NULL && !caller->connection.has_whole_message)
    {
      relay_refuse_caller (caller, "",
                           end == HTTP_END_LIMIT ? RESULT_HEAD_TOO_LARGE
                                                 : RESULT_MALFORMED_REQUEST,
                           0);
      relay_caller_finish_response (caller);
      return;
    }
  if (caller->request != NULL)
    {
      if (caller->request->phase != RELAY_READING)
        relay_log_request_end (caller->request, "caller-gone", 0,
                               RESULT_CALLER_GONE);
      relay_request_free (caller->request);
    }
  relay_caller_close (caller);
}

static void
on_drained (void *context)
{
  struct relay_caller *caller = context;

  if (caller->close_after && caller->request == NULL)
    end_connection (caller);
  else if (caller->request != NULL && caller->request->upstream != NULL)
    relay_upstream_resume (caller->request->upstream);
}

static const struct http_events events = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
  .drained = on_drained,
};

void
relay_caller_accept (struct evconnlistener *listener,
                     evutil_socket_t fd,
                     struct sockaddr *address,
                     int size,
                     void *context)
{
  struct relay *relay = context;
  struct relay_caller *caller = NULL;
  struct http_limits limits;

  (void)listener;
  (void)address;
  (void)size;
  if (relay->caller_count < CALLER_LIMIT)
    caller = calloc (1, sizeof *caller);
  if (caller == NULL)
    {
      counter_add (relay->counters, "waxwing_callers_rejected_total", NULL, 1);
      close (fd);
      return;
    }
  limits = get_caller_limits (relay);
  caller->relay = relay;
  caller_timer_init (&caller->timer, time_boot_ms ());
  if (http_connection_accept (&caller->connection, relay->base, fd, &limits,
                              &events, caller)
      != RESULT_OK)
    {
      free (caller);
      return;
    }
  relay->caller_count++;
  TAILQ_INSERT_TAIL (&relay->callers, caller, link);
}

void
relay_caller_close (struct relay_caller *caller)
{
  struct relay *relay = caller->relay;

  if (caller->connection.fd < 0)
    return;
  if (caller->request != NULL)
    relay_request_free (caller->request);
  http_connection_finish (&caller->connection);
  relay->caller_count--;
  TAILQ_REMOVE (&relay->callers, caller, link);
  http_free_later (relay->base, caller);
}

void
relay_caller_finish_response (struct relay_caller *caller)
{
  struct http_connection *connection = &caller->connection;
  bool is_request_whole = connection->has_whole_message;

  caller_timer_init (&caller->timer, caller->relay->now_ms);
  if (caller->close_after || !is_request_whole || connection->ended)
    {
      caller->close_after = true;
      if (http_connection_unwritten_bytes (connection) == 0)
        end_connection (caller);
      return;
    }
  connection->limits = get_caller_limits (caller->relay);
  http_connection_next_message (connection, false);
}

bool
relay_caller_is_receiving (const struct relay_caller *caller)
{
  const struct http_connection *connection = &caller->connection;

  return caller->request == NULL && !caller->close_after
         && !connection->discarding
         && (connection->message_begun
             || http_connection_pending_bytes (connection) > 0
             || (caller->relay->closing
                 && http_connection_has_input (connection)));
}

/* Suspends a stream while too much of it waits for a slow caller. */
static void
limit_unwritten (struct relay_caller *caller)
{
  if (caller->request != NULL && caller->request->upstream != NULL
      && http_connection_unwritten_bytes (&caller->connection)
             > UNWRITTEN_LIMIT_BYTES)
    http_connection_set_reading_suspended (
        &caller->request->upstream->connection, true);
}

static struct caller_view
get_view (const struct relay_caller *caller)
{
  const struct http_connection *connection = &caller->connection;
  struct caller_view view = {
    .has_request = caller->request != NULL,
    .is_body_whole = connection->has_whole_message,
    .message_begun = connection->message_begun,
    .head_done = connection->head_done,
    .close_after = caller->close_after,
    .unwritten_bytes = http_connection_unwritten_bytes (connection),
  };

  view.has_input = caller->relay->closing
                   && (!http_connection_is_idle (connection)
                       || http_connection_has_input (connection));
  if (!view.has_request && (view.unwritten_bytes > 0 || view.close_after))
    view.sent_bytes_left = http_connection_unsent_bytes (connection);
  return view;
}

void
relay_caller_tick (struct relay_caller *caller, int64_t now_ms)
{
  const struct catalog *catalog = caller->relay->catalog;
  const struct caller_limits limits = {
    .header_ms = catalog != NULL ? catalog->limits.header_timeout_ms
                                 : DEFAULT_HEADER_TIMEOUT_MS,
    .idle_ms = catalog != NULL ? catalog->limits.idle_timeout_ms
                               : DEFAULT_IDLE_TIMEOUT_MS,
    .stopping = caller->relay->closing,
  };
  const struct caller_view view = get_view (caller);

  limit_unwritten (caller);
  switch (caller_timer_tick (&caller->timer, &view, &limits, now_ms))
    {
    case CALLER_KEEP:
      break;
    case CALLER_REFUSE:
      caller->close_after = true;
      relay_refuse_caller (caller, "", RESULT_SLOW_CALLER, 0);
      relay_caller_finish_response (caller);
      break;
    case CALLER_CLOSE:
      relay_caller_close (caller);
      break;
    }
}
