#include "log.h"
#include "relay-internal.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

/*
 * Limit of connected callers.  An entry host has about 2,900 descriptors, of
 * which 200 are for files and the rest for callers and endpoints.  A process
 * with fewer descriptors shares them in the same way.
 */
#define CALLER_LIMIT 1400
#define OTHER_DESCRIPTORS 200
#define CALLER_LIMIT_MIN 16
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
  if (caller->connection.head.has_length)
    relay_memory_reserve_body (request, size);
  http_text_add (&request->body, data, size);
  caller->relay->now_ms = time_boot_ms ();
  if (request->body.failed
      || (catalog != NULL
          && (int64_t)request->body.size > catalog->limits.body_bytes))
    {
      caller->close_after = true;
      relay_refuse (request, RESULT_BODY_TOO_LARGE, 0);
      return;
    }
  relay_memory_note_body (request);
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

/* Reads on after a response, unless the caller does not read responses. */
static void
read_next_request (struct relay_caller *caller)
{
  struct http_connection *connection = &caller->connection;

  if (http_connection_unwritten_bytes (connection) > UNWRITTEN_LIMIT_BYTES)
    return;
  connection->limits = get_caller_limits (caller->relay);
  http_connection_next_message (connection, false);
}

static void
on_drained (void *context)
{
  struct relay_caller *caller = context;

  if (caller->close_after && caller->request == NULL)
    end_connection (caller);
  else if (caller->request != NULL && caller->request->upstream != NULL)
    relay_upstream_resume (caller->request->upstream);
  else if (caller->request == NULL && !caller->close_after
           && caller->connection.has_whole_message)
    read_next_request (caller);
}

static const struct http_events events = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
  .drained = on_drained,
};

unsigned
relay_caller_limit (void)
{
  struct rlimit limit;
  rlim_t callers;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return CALLER_LIMIT;
  if (limit.rlim_cur < OTHER_DESCRIPTORS + 2 * CALLER_LIMIT_MIN)
    return CALLER_LIMIT_MIN;
  callers = (limit.rlim_cur - OTHER_DESCRIPTORS) / 2;
  return callers < CALLER_LIMIT ? (unsigned)callers : CALLER_LIMIT;
}

/*
 * True if the connection can be closed for another: it sends nothing, or has
 * not sent a whole head or the next part of a body for MEMORY_STALL_MS.
 */
static bool
can_make_room (const struct relay_caller *caller, int64_t now_ms)
{
  const struct http_connection *connection = &caller->connection;
  const struct relay_request *request = caller->request;

  if (http_connection_unwritten_bytes (connection) > 0)
    return false;
  if (request != NULL)
    return request->phase == RELAY_READING && request->unread_since_ms == 0
           && now_ms - request->body_progress_ms >= MEMORY_STALL_MS;
  if (http_connection_is_idle (connection))
    return !http_connection_has_input (connection);
  return !connection->has_whole_message
         && now_ms - caller->timer.since_ms >= MEMORY_STALL_MS;
}

/*
 * Closes the connection that has been silent longest, so that clients which
 * only hold connections do not keep others out.
 */
static void
make_room (struct relay *relay)
{
  struct relay_caller *victim = NULL;
  struct relay_caller *caller;
  int64_t now_ms = time_boot_ms ();

  TAILQ_FOREACH (caller, &relay->callers, link)
    if ((victim == NULL || caller->timer.since_ms < victim->timer.since_ms)
        && can_make_room (caller, now_ms))
      victim = caller;
  if (victim == NULL)
    return;
  counter_add (relay->counters, "waxwing_callers_evicted_total", NULL, 1);
  relay_caller_close (victim);
}

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
  if (relay->caller_count >= relay->caller_limit)
    make_room (relay);
  if (relay->caller_count < relay->caller_limit)
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
  http_connection_set_account (&caller->connection, &relay->memory,
                               MEMORY_TO_CLIENTS);
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
  read_next_request (caller);
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
