#include "endpoint.h"

#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The head of a response, and bytes behind a whole response. */
#define RESPONSE_HEADER_LIMIT_BYTES 32768
/* Unacknowledged bytes or keep-alive probes for this long end a connection. */
#define ACK_TIMEOUT_MS 20000

static void
connection_free (struct endpoint_connection *connection)
{
  http_connection_finish (&connection->http);
  free (connection);
}

/*
 * Closes an idle connection from one of its own events, after which its memory
 * is still in use.
 */
static void
close_idle_connection (struct endpoint_connection *connection)
{
  struct endpoint_client *client = connection->client;

  LIST_REMOVE (connection, link);
  client->idle_count--;
  http_connection_finish (&connection->http);
  LIST_INSERT_HEAD (&client->ended, connection, link);
  event_active (client->free_closed_event, 0, 0);
}

static void
call_free (struct endpoint_call *call)
{
  struct endpoint_client *client = call->client;
  struct endpoint_connection *connection = call->connection;

  LIST_REMOVE (call, link);
  if (connection != NULL && call->connection_reusable && !call->own_connection
      && http_connection_is_reusable (&connection->http)
      && client->idle_count < ENDPOINT_IDLE_CONNECTION_LIMIT)
    {
      connection->call = NULL;
      connection->idle_since_ms = time_boot_ms ();
      LIST_INSERT_HEAD (&client->idle, connection, link);
      client->idle_count++;
      http_connection_set_reading_suspended (&connection->http, false);
      http_connection_next_message (&connection->http, false);
    }
  else if (connection != NULL)
    connection_free (connection);
  if (call->release != NULL)
    call->release (call->context);
  free (call->content_type);
  free (call);
}

static void
on_free_closed (evutil_socket_t fd, short what, void *context)
{
  struct endpoint_client *client = context;
  struct endpoint_call *call = LIST_FIRST (&client->closed);
  struct endpoint_connection *connection;

  (void)fd;
  (void)what;
  while ((connection = LIST_FIRST (&client->ended)) != NULL)
    {
      LIST_REMOVE (connection, link);
      connection_free (connection);
    }
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
  LIST_INIT (&client->ended);
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
 * Schedules the call to be freed from the event loop, because an event of its
 * connection may be running.
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
  if (call->has_ended || call->own_connection)
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

/* Only the first end of a call is reported. */
static void
report_call_end (struct endpoint_call *call, enum result result)
{
  if (call->has_ended)
    return;
  call->has_ended = true;
  if (call->awaiting_end_since_ms != 0)
    schedule_call_free (call);
  else if (!call->closed && call->events->ended != NULL)
    call->events->ended (call->context, result);
}

static void
on_connected (void *context)
{
  struct endpoint_connection *connection = context;

  /* The queued request is written right after this. */
  connection->call->written = true;
}

static void
on_head (void *context, const struct http_head *head)
{
  struct endpoint_connection *connection = context;
  struct endpoint_call *call = connection->call;
  const char *type = http_head_get (head, "Content-Type");
  const char *id = http_head_get (head, "X-Request-Id");

  if (call == NULL)
    {
      /* No call waits for a response. */
      close_idle_connection (connection);
      return;
    }
  call->status = (int)head->status;
  call->ends_with_connection
      = !head->has_length && http_head_get (head, "Transfer-Encoding") == NULL;
  call->id_mismatch
      = id != NULL && call->id[0] != '\0' && strcmp (id, call->id) != 0;
  free (call->content_type);
  call->content_type = type != NULL && *type != '\0' ? strdup (type) : NULL;
  /* A late response to an earlier request; our own may never arrive. */
  if (call->id_mismatch)
    report_call_end (call, RESULT_UPSTREAM_UNKNOWN);
}

static void
on_body (void *context, const char *data, size_t size)
{
  const struct endpoint_connection *connection = context;
  struct endpoint_call *call = connection->call;

  if (!call->closed && !call->id_mismatch && call->events->data != NULL)
    call->events->data (call->context, data, size);
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
on_complete (void *context)
{
  const struct endpoint_connection *connection = context;
  struct endpoint_call *call = connection->call;

  if (call->id_mismatch)
    return;
  call->connection_reusable = !is_refusal (call->status);
  report_call_end (call, RESULT_OK);
}

static void
on_closed (void *context, enum http_end end)
{
  struct endpoint_connection *connection = context;
  struct endpoint_call *call = connection->call;

  if (call == NULL)
    {
      close_idle_connection (connection);
      return;
    }
  call->is_malformed = end == HTTP_END_PROTOCOL || end == HTTP_END_LIMIT;
  report_call_end (call, call->written ? RESULT_UPSTREAM_UNKNOWN
                                       : RESULT_ENDPOINT_CONNECT);
}

static const struct http_events connection_events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

void
endpoint_set_paused (struct endpoint_call *call, bool paused)
{
  if (call->paused == paused || call->has_ended)
    return;
  call->paused = paused;
  http_connection_set_reading_suspended (&call->connection->http, paused);
}

static void
build_head (struct http_text *head, const struct endpoint_request *request)
{
  bool is_ipv6 = strchr (request->address, ':') != NULL;

  http_text_init (head);
  http_text_add_string (head, request->method);
  http_text_add_string (head, " ");
  http_text_add_string (head, request->path);
  http_text_format (head, " HTTP/1.1\r\nHost: %s%s%s:%u\r\n",
                    is_ipv6 ? "[" : "", request->address, is_ipv6 ? "]" : "",
                    (unsigned)request->port);
  for (const struct endpoint_header *header = request->headers;
       header != NULL && header->name != NULL; header++)
    if (header->value != NULL)
      http_text_add_field (head, header->name, header->value);
  if (request->own_connection)
    http_text_add_field (head, "Connection", "close");
  http_text_format (head, "Content-Length: %zu\r\n\r\n", request->size);
}

static struct endpoint_connection *
connection_new (struct endpoint_client *client,
                const struct endpoint_request *request)
{
  const struct http_limits limits
      = { RESPONSE_HEADER_LIMIT_BYTES, RESPONSE_HEADER_LIMIT_BYTES };
  struct endpoint_connection *connection = calloc (1, sizeof *connection);

  if (connection == NULL)
    return NULL;
  connection->client = client;
  snprintf (connection->address, sizeof connection->address, "%s",
            request->address);
  connection->port = request->port;
  if (http_connection_connect (&connection->http, client->base,
                               request->address, request->port, ACK_TIMEOUT_MS,
                               &limits, &connection_events, connection)
      != RESULT_OK)
    {
      free (connection);
      return NULL;
    }
  http_connection_set_account (&connection->http, client->account,
                               MEMORY_TO_ENDPOINTS);
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
          && strcmp (connection->address, request->address) == 0
          && http_connection_is_idle (&connection->http))
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
  struct http_text head;

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
  build_head (&head, request);
  if (!head.failed)
    call->connection = acquire_connection (client, request);
  if (call->connection == NULL)
    {
      http_text_finish (&head);
      call_free (call);
      return NULL;
    }
  call->connection->call = call;
  call->written = !call->connection->http.connecting;
  call->connection->http.no_body = strcmp (request->method, "HEAD") == 0;
  /* Queued until the connection is established. */
  http_connection_write_text (&call->connection->http, &head);
  if (request->size > 0)
    http_connection_write (&call->connection->http, request->body,
                           request->size);
  return call;
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
