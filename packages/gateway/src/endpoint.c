#include "endpoint.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* The gateway has its own deadlines, so evhttp's must never come first. */
#define IDLE_SECONDS 86400
#define ANSWER_HEADER_LIMIT 32768

static void
call_free (struct endpoint_call *call)
{
  LIST_REMOVE (call, link);
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  if (call->pause != NULL)
    event_free (call->pause);
  if (call->release != NULL)
    call->release (call->context);
  free (call);
}

static void
on_reap (evutil_socket_t fd, short what, void *context)
{
  struct endpoint_client *client = context;
  struct endpoint_call *call;

  (void)fd;
  (void)what;
  while ((call = LIST_FIRST (&client->closed)) != NULL)
    call_free (call);
}

struct endpoint_client *
endpoint_client_new (struct event_base *base)
{
  struct endpoint_client *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->base = base;
  LIST_INIT (&client->calls);
  LIST_INIT (&client->closed);
  client->reaper = event_new (base, -1, 0, on_reap, client);
  if (client->reaper == NULL)
    {
      free (client);
      return NULL;
    }
  return client;
}

void
endpoint_client_free (struct endpoint_client *client)
{
  struct endpoint_call *call;

  if (client == NULL)
    return;
  while ((call = LIST_FIRST (&client->calls)) != NULL)
    endpoint_close (call, call->release);
  on_reap (-1, 0, client);
  event_free (client->reaper);
  free (client);
}

void
endpoint_close (struct endpoint_call *call, void (*release) (void *context))
{
  if (call->closed)
    return;
  call->closed = true;
  call->release = release;
  LIST_REMOVE (call, link);
  LIST_INSERT_HEAD (&call->client->closed, call, link);
  /* evhttp may be reading from the connection: free it later. */
  event_active (call->client->reaper, 0, 0);
}

static void
call_ended (struct endpoint_call *call, enum result result)
{
  if (!call->closed && call->events->ended != NULL)
    call->events->ended (call->context, result);
}

/* The end of a long request must not wait for an acknowledgement. */
static void
set_no_delay (struct endpoint_call *call)
{
  evutil_socket_t fd = bufferevent_getfd (
      evhttp_connection_get_bufferevent (call->connection));
  int on = 1;

  if (fd >= 0)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/*
 * evhttp fills the output buffer once it is connected, and every byte that
 * leaves the buffer goes to the socket.
 */
static void
on_output (struct evbuffer *buffer,
           const struct evbuffer_cb_info *info,
           void *context)
{
  struct endpoint_call *call = context;

  (void)buffer;
  if (info->n_added > 0 && info->orig_size == 0)
    set_no_delay (call);
  if (info->n_deleted > 0 && !call->failed)
    call->written = true;
}

static void
note_header (struct endpoint_call *call, struct evhttp_request *request)
{
  const char *type;

  if (call->status != 0)
    return;
  call->status = evhttp_request_get_response_code (request);
  type = evhttp_find_header (evhttp_request_get_input_headers (request),
                             "Content-Type");
  snprintf (call->content_type, sizeof call->content_type, "%s",
            type != NULL ? type : "");
}

static void
take_input (struct endpoint_call *call, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);

  if (size == 0 || call->closed || call->events->data == NULL)
    return;
  call->events->data (call->context, (const char *)evbuffer_pullup (input, -1),
                      size);
}

static void
on_chunk (struct evhttp_request *request, void *context)
{
  struct endpoint_call *call = context;

  note_header (call, request);
  take_input (call, request);
}

static void
on_error (enum evhttp_request_error error, void *context)
{
  struct endpoint_call *call = context;

  (void)error;
  call->failed = true;
}

static void
on_done (struct evhttp_request *request, void *context)
{
  struct endpoint_call *call = context;

  call->request = NULL;
  if (request != NULL && evhttp_request_get_response_code (request) != 0)
    {
      note_header (call, request);
      take_input (call, request);
      call_ended (call, RESULT_OK);
      return;
    }
  call_ended (call, call->written ? RESULT_UPSTREAM_UNKNOWN
                                  : RESULT_ENDPOINT_CONNECT);
}

static void
on_pause (evutil_socket_t fd, short what, void *context)
{
  struct endpoint_call *call = context;
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (call->connection);

  (void)fd;
  (void)what;
  if (call->closed || call->request == NULL)
    return;
  if (call->paused)
    bufferevent_disable (bev, EV_READ);
  else
    bufferevent_enable (bev, EV_READ);
}

void
endpoint_pause (struct endpoint_call *call, bool paused)
{
  if (call->paused == paused)
    return;
  call->paused = paused;
  /* evhttp enables reading at the end of its read callback: act after it. */
  event_active (call->pause, 0, 0);
}

static struct evhttp_request *
make_request (struct endpoint_call *call,
              const struct endpoint_request *request)
{
  struct evhttp_request *made = evhttp_request_new (on_done, call);
  struct evkeyvalq *headers;

  if (made == NULL)
    return NULL;
  headers = evhttp_request_get_output_headers (made);
  evhttp_request_set_chunked_cb (made, on_chunk);
  evhttp_request_set_error_cb (made, on_error);
  for (const struct endpoint_header *header = request->headers;
       header != NULL && header->name != NULL; header++)
    if (header->value != NULL)
      evhttp_add_header (headers, header->name, header->value);
  evhttp_add_header (headers, "Connection", "close");
  if (request->size > 0
      && evbuffer_add (evhttp_request_get_output_buffer (made), request->body,
                       request->size)
             != 0)
    {
      evhttp_request_free (made);
      return NULL;
    }
  return made;
}

struct endpoint_call *
endpoint_start (struct endpoint_client *client,
                const struct endpoint_request *request,
                const struct endpoint_events *events,
                void *context,
                int64_t now_ms)
{
  struct endpoint_call *call = calloc (1, sizeof *call);
  struct bufferevent *bev;

  if (call == NULL)
    return NULL;
  call->client = client;
  call->events = events;
  call->context = context;
  call->started_ms = now_ms;
  LIST_INSERT_HEAD (&client->calls, call, link);
  call->pause = event_new (client->base, -1, 0, on_pause, call);
  call->connection = evhttp_connection_base_new (
      client->base, NULL, request->address, request->port);
  if (call->pause == NULL || call->connection == NULL)
    goto fail;
  bev = evhttp_connection_get_bufferevent (call->connection);
  evhttp_connection_set_timeout (call->connection, IDLE_SECONDS);
  evhttp_connection_set_max_headers_size (call->connection,
                                          ANSWER_HEADER_LIMIT);
  if (evbuffer_add_cb (bufferevent_get_output (bev), on_output, call) == NULL)
    goto fail;
  call->request = make_request (call, request);
  if (call->request == NULL)
    goto fail;
  /* On failure evhttp frees the request. */
  if (evhttp_make_request (call->connection, call->request, request->method,
                           request->path)
      != 0)
    goto fail;
  return call;

fail:
  call->request = NULL;
  call_free (call);
  return NULL;
}

/* Requests whose answer does not matter. */

struct one_way
{
  struct endpoint_call *call;
  struct event *timer;
};

static void
one_way_free (void *context)
{
  struct one_way *way = context;

  event_free (way->timer);
  free (way);
}

static void
one_way_ended (void *context, enum result result)
{
  struct one_way *way = context;

  (void)result;
  endpoint_close (way->call, one_way_free);
}

static void
on_one_way_limit (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  one_way_ended (context, RESULT_OK);
}

void
endpoint_send (struct endpoint_client *client,
               const struct endpoint_request *request,
               int limit_ms,
               int64_t now_ms)
{
  static const struct endpoint_events events = { .ended = one_way_ended };
  struct timeval limit
      = { limit_ms / 1000, (suseconds_t)(limit_ms % 1000) * 1000 };
  struct one_way *way = calloc (1, sizeof *way);

  if (way == NULL)
    return;
  way->timer = evtimer_new (client->base, on_one_way_limit, way);
  if (way->timer != NULL)
    way->call = endpoint_start (client, request, &events, way, now_ms);
  if (way->call == NULL)
    {
      if (way->timer != NULL)
        event_free (way->timer);
      free (way);
      return;
    }
  way->call->release = one_way_free;
  evtimer_add (way->timer, &limit);
}
