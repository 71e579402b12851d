#include "endpoint.h"

#include "timeutil.h"

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
connection_free (struct endpoint_connection *connection)
{
  if (connection->http != NULL)
    evhttp_connection_free (connection->http);
  free (connection);
}

static void
call_free (struct endpoint_call *call)
{
  struct endpoint_client *client = call->client;
  struct endpoint_connection *connection = call->connection;

  LIST_REMOVE (call, link);
  if (connection != NULL && call->whole && !call->fresh
      && client->idle_count < ENDPOINT_IDLE_LIMIT)
    {
      connection->call = NULL;
      connection->idle_since_ms = time_boot_ms ();
      LIST_INSERT_HEAD (&client->idle, connection, link);
      client->idle_count++;
    }
  else if (connection != NULL)
    connection_free (connection);
  if (call->release != NULL)
    call->release (call->context);
  free (call);
}

static void
on_reap (evutil_socket_t fd, short what, void *context)
{
  struct endpoint_client *client = context;
  struct endpoint_call *call = LIST_FIRST (&client->closed);

  (void)fd;
  (void)what;
  while (call != NULL)
    {
      struct endpoint_call *next = LIST_NEXT (call, link);

      call_free (call);
      call = next;
    }
}

struct endpoint_client *
endpoint_client_new (struct event_base *base)
{
  struct endpoint_client *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->base = base;
  LIST_INIT (&client->calls);
  LIST_INIT (&client->resting);
  LIST_INIT (&client->closed);
  LIST_INIT (&client->idle);
  client->reaper = event_new (base, -1, 0, on_reap, client);
  if (client->reaper == NULL)
    {
      free (client);
      return NULL;
    }
  return client;
}

/* Idle connections are in order of their age, youngest first. */
static void
drop_idle (struct endpoint_client *client, int64_t before_ms)
{
  struct endpoint_connection *connection = LIST_FIRST (&client->idle);

  while (connection != NULL)
    {
      struct endpoint_connection *next = LIST_NEXT (connection, link);

      if (connection->idle_since_ms <= before_ms)
        {
          LIST_REMOVE (connection, link);
          client->idle_count--;
          connection_free (connection);
        }
      connection = next;
    }
}

/* evhttp may be reading from the connection: the call is freed later. */
static void
call_to_closed (struct endpoint_call *call)
{
  LIST_REMOVE (call, link);
  LIST_INSERT_HEAD (&call->client->closed, call, link);
  event_active (call->client->reaper, 0, 0);
}

void
endpoint_client_tick (struct endpoint_client *client, int64_t now_ms)
{
  struct endpoint_call *call = LIST_FIRST (&client->resting);

  while (call != NULL)
    {
      struct endpoint_call *next = LIST_NEXT (call, link);

      if (now_ms - call->resting_ms >= ENDPOINT_REST_MS)
        call_to_closed (call);
      call = next;
    }
  drop_idle (client, now_ms - ENDPOINT_IDLE_MS);
}

void
endpoint_client_free (struct endpoint_client *client)
{
  struct endpoint_call *call;

  if (client == NULL)
    return;
  while ((call = LIST_FIRST (&client->calls)) != NULL)
    endpoint_close (call, call->release);
  while ((call = LIST_FIRST (&client->resting)) != NULL)
    call_to_closed (call);
  on_reap (-1, 0, client);
  drop_idle (client, INT64_MAX);
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
  call_to_closed (call);
}

void
endpoint_rest (struct endpoint_call *call, void (*release) (void *context))
{
  if (call->request == NULL || call->fresh)
    {
      endpoint_close (call, release);
      return;
    }
  call->closed = true;
  call->release = release;
  call->resting_ms = time_boot_ms ();
  /* The end of the answer must be read even if the caller was slow. */
  endpoint_pause (call, false);
  LIST_REMOVE (call, link);
  LIST_INSERT_HEAD (&call->client->resting, call, link);
}

static void
call_ended (struct endpoint_call *call, enum result result)
{
  if (call->resting_ms != 0)
    call_to_closed (call);
  else if (!call->closed && call->events->ended != NULL)
    call->events->ended (call->context, result);
}

/* The end of a long request must not wait for an acknowledgement. */
static void
set_no_delay (struct endpoint_call *call)
{
  evutil_socket_t fd = bufferevent_getfd (
      evhttp_connection_get_bufferevent (call->connection->http));
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
  struct endpoint_connection *connection = context;
  struct endpoint_call *call = connection->call;

  (void)buffer;
  if (call == NULL)
    return;
  if (info->n_added > 0 && info->orig_size == 0)
    set_no_delay (call);
  if (info->n_deleted > 0 && !call->failed)
    call->written = true;
}

static void
note_header (struct endpoint_call *call, struct evhttp_request *request)
{
  const struct evkeyvalq *headers;
  const char *type;
  const char *id;

  if (call->status != 0)
    return;
  call->status = evhttp_request_get_response_code (request);
  headers = evhttp_request_get_input_headers (request);
  type = evhttp_find_header (headers, "Content-Type");
  id = evhttp_find_header (headers, "X-Request-Id");
  call->foreign
      = id != NULL && call->id[0] != '\0' && strcmp (id, call->id) != 0;
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
  /* A late answer to an earlier request: this one's may never come. */
  if (call->foreign)
    call_ended (call, RESULT_UPSTREAM_UNKNOWN);
  else
    take_input (call, request);
}

static void
on_error (enum evhttp_request_error error, void *context)
{
  struct endpoint_call *call = context;

  (void)error;
  call->failed = true;
}

/* evhttp closes the connection itself then, and would connect again. */
static bool
says_close (struct evhttp_request *request)
{
  const char *value = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Connection");

  return value != NULL && evutil_ascii_strcasecmp (value, "close") == 0;
}

static void
on_done (struct evhttp_request *request, void *context)
{
  struct endpoint_call *call = context;

  call->request = NULL;
  if (request != NULL && evhttp_request_get_response_code (request) != 0)
    {
      note_header (call, request);
      if (call->foreign)
        {
          call_ended (call, RESULT_UPSTREAM_UNKNOWN);
          return;
        }
      take_input (call, request);
      call->whole = !says_close (request);
      call_ended (call, RESULT_OK);
      return;
    }
  call_ended (call, call->written ? RESULT_UPSTREAM_UNKNOWN
                                  : RESULT_ENDPOINT_CONNECT);
}

void
endpoint_pause (struct endpoint_call *call, bool paused)
{
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (call->connection->http);

  if (call->paused == paused || call->request == NULL)
    return;
  call->paused = paused;
  if (paused)
    bufferevent_disable (bev, EV_READ);
  else
    bufferevent_enable (bev, EV_READ);
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
  if (request->fresh)
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

static struct endpoint_connection *
connection_new (struct endpoint_client *client,
                const struct endpoint_request *request)
{
  struct endpoint_connection *connection = calloc (1, sizeof *connection);
  struct evbuffer *output;

  if (connection == NULL)
    return NULL;
  snprintf (connection->address, sizeof connection->address, "%s",
            request->address);
  connection->port = request->port;
  connection->http = evhttp_connection_base_new (
      client->base, NULL, request->address, request->port);
  if (connection->http == NULL)
    {
      free (connection);
      return NULL;
    }
  output = bufferevent_get_output (
      evhttp_connection_get_bufferevent (connection->http));
  evhttp_connection_set_timeout (connection->http, IDLE_SECONDS);
  evhttp_connection_set_max_headers_size (connection->http,
                                          ANSWER_HEADER_LIMIT);
  if (evbuffer_add_cb (output, on_output, connection) == NULL)
    {
      connection_free (connection);
      return NULL;
    }
  return connection;
}

static struct endpoint_connection *
connection_get (struct endpoint_client *client,
                const struct endpoint_request *request)
{
  struct endpoint_connection *connection;

  if (!request->fresh)
    LIST_FOREACH (connection, &client->idle, link)
      if (connection->port == request->port
          && strcmp (connection->address, request->address) == 0)
        {
          LIST_REMOVE (connection, link);
          client->idle_count--;
          return connection;
        }
  return connection_new (client, request);
}

struct endpoint_call *
endpoint_start (struct endpoint_client *client,
                const struct endpoint_request *request,
                const struct endpoint_events *events,
                void *context,
                int64_t now_ms)
{
  struct endpoint_call *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->client = client;
  call->events = events;
  call->context = context;
  call->started_ms = now_ms;
  call->fresh = request->fresh;
  if (request->id != NULL)
    snprintf (call->id, sizeof call->id, "%s", request->id);
  LIST_INSERT_HEAD (&client->calls, call, link);
  call->connection = connection_get (client, request);
  if (call->connection == NULL)
    goto fail;
  call->connection->call = call;
  call->request = make_request (call, request);
  if (call->request == NULL)
    goto fail;
  /* On failure evhttp frees the request. */
  if (evhttp_make_request (call->connection->http, call->request,
                           request->method, request->path)
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
