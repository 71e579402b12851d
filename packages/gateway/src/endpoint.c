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

/* The gateway has its own deadlines, so evhttp's must never expire first. */
#define EVHTTP_TIMEOUT_S 86400
#define RESPONSE_HEADER_LIMIT_BYTES 32768

static void
connection_free (struct endpoint_connection *connection)
{
  if (connection->http != NULL)
    evhttp_connection_free (connection->http);
  memory_account_set (connection->account, MEMORY_TO_ENDPOINTS,
                      &connection->output_charge, 0);
  memory_account_set (connection->account, MEMORY_RESPONSES,
                      &connection->input_charge, 0);
  free (connection);
}

/* True if bytes have arrived after the response; they belong to no call. */
static bool
has_input (const struct endpoint_connection *connection)
{
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (connection->http);

  return evbuffer_get_length (bufferevent_get_input (bev)) > 0;
}

static void
call_free (struct endpoint_call *call)
{
  struct endpoint_client *client = call->client;
  struct endpoint_connection *connection = call->connection;

  LIST_REMOVE (call, link);
  if (connection != NULL && call->connection_reusable && !call->own_connection
      && !has_input (connection)
      && client->idle_count < ENDPOINT_IDLE_CONNECTION_LIMIT)
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
on_free_closed (evutil_socket_t fd, short what, void *context)
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
endpoint_client_new (struct event_base *base, struct memory_account *account)
{
  struct endpoint_client *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->base = base;
  client->account = account;
  LIST_INIT (&client->calls);
  LIST_INIT (&client->awaiting_end);
  LIST_INIT (&client->closed);
  LIST_INIT (&client->idle);
  client->free_closed_event = event_new (base, -1, 0, on_free_closed, client);
  if (client->free_closed_event == NULL)
    {
      free (client);
      return NULL;
    }
  return client;
}

/* Closes the connections that became idle at idle_since_limit_ms or before. */
static void
close_idle_connections (struct endpoint_client *client,
                        int64_t idle_since_limit_ms)
{
  struct endpoint_connection *connection = LIST_FIRST (&client->idle);

  while (connection != NULL)
    {
      struct endpoint_connection *next = LIST_NEXT (connection, link);

      if (connection->idle_since_ms <= idle_since_limit_ms)
        {
          LIST_REMOVE (connection, link);
          client->idle_count--;
          connection_free (connection);
        }
      connection = next;
    }
}

/*
 * Schedules the call to be freed from the event loop, because evhttp may be
 * reading from the connection.
 */
static void
schedule_call_free (struct endpoint_call *call)
{
  LIST_REMOVE (call, link);
  LIST_INSERT_HEAD (&call->client->closed, call, link);
  event_active (call->client->free_closed_event, 0, 0);
}

void
endpoint_client_tick (struct endpoint_client *client, int64_t now_ms)
{
  struct endpoint_call *call = LIST_FIRST (&client->awaiting_end);

  while (call != NULL)
    {
      struct endpoint_call *next = LIST_NEXT (call, link);

      if (now_ms - call->awaiting_end_since_ms
          >= ENDPOINT_RESPONSE_END_TIMEOUT_MS)
        schedule_call_free (call);
      call = next;
    }
  close_idle_connections (client, now_ms - ENDPOINT_IDLE_TIMEOUT_MS);
}

void
endpoint_client_free (struct endpoint_client *client)
{
  struct endpoint_call *call;

  if (client == NULL)
    return;
  while ((call = LIST_FIRST (&client->calls)) != NULL)
    endpoint_close_call (call, call->release);
  while ((call = LIST_FIRST (&client->awaiting_end)) != NULL)
    schedule_call_free (call);
  on_free_closed (-1, 0, client);
  close_idle_connections (client, INT64_MAX);
  event_free (client->free_closed_event);
  free (client);
}

void
endpoint_close_call (struct endpoint_call *call,
                     void (*release) (void *context))
{
  if (call->closed)
    return;
  call->closed = true;
  call->release = release;
  schedule_call_free (call);
}

void
endpoint_close_and_reuse (struct endpoint_call *call,
                          void (*release) (void *context))
{
  if (call->request == NULL || call->own_connection)
    {
      endpoint_close_call (call, release);
      return;
    }
  call->closed = true;
  call->release = release;
  call->awaiting_end_since_ms = time_boot_ms ();
  /* The end of the response must be read even if a slow caller paused it. */
  endpoint_set_paused (call, false);
  LIST_REMOVE (call, link);
  LIST_INSERT_HEAD (&call->client->awaiting_end, call, link);
}

static void
report_call_end (struct endpoint_call *call, enum result result)
{
  if (call->awaiting_end_since_ms != 0)
    schedule_call_free (call);
  else if (!call->closed && call->events->ended != NULL)
    call->events->ended (call->context, result);
}

/* Without TCP_NODELAY the end of a long request waits for an ACK. */
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
 * evhttp fills the output buffer once it is connected.  Bytes leave the buffer
 * only to the socket, so a removal means that the request was partly written.
 */
static void
on_output_change (struct evbuffer *buffer,
                  const struct evbuffer_cb_info *info,
                  void *context)
{
  struct endpoint_connection *connection = context;
  struct endpoint_call *call = connection->call;

  if (info->n_added > 0)
    connection->unsent_bytes = 0;
  memory_account_set (connection->account, MEMORY_TO_ENDPOINTS,
                      &connection->output_charge,
                      connection->unsent_bytes + evbuffer_get_length (buffer));
  if (call == NULL)
    return;
  if (info->n_added > 0 && info->orig_size == 0)
    set_no_delay (call);
  if (info->n_deleted > 0 && !call->failed)
    call->written = true;
}

/* evhttp collects a chunk of the response until it is complete. */
static void
on_input_change (struct evbuffer *buffer,
                 const struct evbuffer_cb_info *info,
                 void *context)
{
  struct endpoint_connection *connection = context;

  (void)info;
  memory_account_set (connection->account, MEMORY_RESPONSES,
                      &connection->input_charge, evbuffer_get_length (buffer));
}

static void
read_response_header (struct endpoint_call *call,
                      struct evhttp_request *request)
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
  call->ends_with_connection
      = evhttp_find_header (headers, "Content-Length") == NULL
        && evhttp_find_header (headers, "Transfer-Encoding") == NULL;
  call->id_mismatch
      = id != NULL && call->id[0] != '\0' && strcmp (id, call->id) != 0;
  snprintf (call->content_type, sizeof call->content_type, "%s",
            type != NULL ? type : "");
}

static void
deliver_response_body (struct endpoint_call *call,
                       struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);

  if (size == 0 || call->closed || call->events->data == NULL)
    return;
  call->events->data (call->context, (const char *)evbuffer_pullup (input, -1),
                      size);
}

static void
on_response_chunk (struct evhttp_request *request, void *context)
{
  struct endpoint_call *call = context;

  read_response_header (call, request);
  /* A late response to an earlier request; our own may never arrive. */
  if (call->id_mismatch)
    report_call_end (call, RESULT_UPSTREAM_UNKNOWN);
  else
    deliver_response_body (call, request);
}

static void
on_request_error (enum evhttp_request_error error, void *context)
{
  struct endpoint_call *call = context;

  (void)error;
  call->failed = true;
}

/*
 * After "Connection: close" evhttp closes the connection itself, and a reuse
 * would connect again.
 */
static bool
has_connection_close (struct evhttp_request *request)
{
  const char *value = evhttp_find_header (
      evhttp_request_get_input_headers (request), "Connection");

  return value != NULL && evutil_ascii_strcasecmp (value, "close") == 0;
}

/*
 * True if the response may say that the call did not run.  Written once more,
 * it would say so of the next call on its connection.
 */
static bool
is_refusal (int status)
{
  return status == 409 || status == 429 || status == 503;
}

static void
on_response_done (struct evhttp_request *request, void *context)
{
  struct endpoint_call *call = context;

  call->request = NULL;
  if (request != NULL && evhttp_request_get_response_code (request) != 0)
    {
      read_response_header (call, request);
      if (call->id_mismatch)
        {
          report_call_end (call, RESULT_UPSTREAM_UNKNOWN);
          return;
        }
      deliver_response_body (call, request);
      call->connection_reusable
          = !has_connection_close (request) && !is_refusal (call->status);
      report_call_end (call, RESULT_OK);
      return;
    }
  report_call_end (call, call->written ? RESULT_UPSTREAM_UNKNOWN
                                       : RESULT_ENDPOINT_CONNECT);
}

void
endpoint_set_paused (struct endpoint_call *call, bool paused)
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
build_http_request (struct endpoint_call *call,
                    const struct endpoint_request *request)
{
  struct evhttp_request *http_request
      = evhttp_request_new (on_response_done, call);
  struct evkeyvalq *headers;

  if (http_request == NULL)
    return NULL;
  headers = evhttp_request_get_output_headers (http_request);
  evhttp_request_set_chunked_cb (http_request, on_response_chunk);
  evhttp_request_set_error_cb (http_request, on_request_error);
  for (const struct endpoint_header *header = request->headers;
       header != NULL && header->name != NULL; header++)
    if (header->value != NULL)
      evhttp_add_header (headers, header->name, header->value);
  if (request->own_connection)
    evhttp_add_header (headers, "Connection", "close");
  if (request->size > 0
      && evbuffer_add (evhttp_request_get_output_buffer (http_request),
                       request->body, request->size)
             != 0)
    {
      evhttp_request_free (http_request);
      return NULL;
    }
  return http_request;
}

static struct endpoint_connection *
connection_new (struct endpoint_client *client,
                const struct endpoint_request *request)
{
  struct endpoint_connection *connection = calloc (1, sizeof *connection);
  struct bufferevent *bev;

  if (connection == NULL)
    return NULL;
  connection->account = client->account;
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
  bev = evhttp_connection_get_bufferevent (connection->http);
  evhttp_connection_set_timeout (connection->http, EVHTTP_TIMEOUT_S);
  evhttp_connection_set_max_headers_size (connection->http,
                                          RESPONSE_HEADER_LIMIT_BYTES);
  if (evbuffer_add_cb (bufferevent_get_output (bev), on_output_change,
                       connection)
          == NULL
      || evbuffer_add_cb (bufferevent_get_input (bev), on_input_change,
                          connection)
             == NULL)
    {
      connection_free (connection);
      return NULL;
    }
  return connection;
}

static struct endpoint_connection *
acquire_connection (struct endpoint_client *client,
                    const struct endpoint_request *request)
{
  struct endpoint_connection *connection;

  if (!request->own_connection)
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
endpoint_start_call (struct endpoint_client *client,
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
  call->own_connection = request->own_connection;
  if (request->id != NULL)
    snprintf (call->id, sizeof call->id, "%s", request->id);
  LIST_INSERT_HEAD (&client->calls, call, link);
  call->connection = acquire_connection (client, request);
  if (call->connection == NULL)
    goto fail;
  call->connection->call = call;
  call->connection->unsent_bytes = request->size;
  memory_account_set (client->account, MEMORY_TO_ENDPOINTS,
                      &call->connection->output_charge, request->size);
  call->request = build_http_request (call, request);
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

/* Requests whose response is ignored. */

struct one_way_call
{
  struct endpoint_call *call;
  struct event *timer;
};

static void
free_one_way_call (void *context)
{
  struct one_way_call *one_way = context;

  event_free (one_way->timer);
  free (one_way);
}

static void
on_one_way_call_ended (void *context, enum result result)
{
  struct one_way_call *one_way = context;

  (void)result;
  endpoint_close_call (one_way->call, free_one_way_call);
}

static void
on_one_way_call_timeout (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  on_one_way_call_ended (context, RESULT_OK);
}

void
endpoint_send_one_way (struct endpoint_client *client,
                       const struct endpoint_request *request,
                       int timeout_ms,
                       int64_t now_ms)
{
  static const struct endpoint_events events
      = { .ended = on_one_way_call_ended };
  struct timeval timeout
      = { timeout_ms / 1000, (suseconds_t)(timeout_ms % 1000) * 1000 };
  struct one_way_call *one_way = calloc (1, sizeof *one_way);

  if (one_way == NULL)
    return;
  one_way->timer = evtimer_new (client->base, on_one_way_call_timeout, one_way);
  if (one_way->timer != NULL)
    one_way->call
        = endpoint_start_call (client, request, &events, one_way, now_ms);
  if (one_way->call == NULL)
    {
      if (one_way->timer != NULL)
        event_free (one_way->timer);
      free (one_way);
      return;
    }
  one_way->call->release = free_one_way_call;
  evtimer_add (one_way->timer, &timeout);
}
