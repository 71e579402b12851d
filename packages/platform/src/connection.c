#include "platform-internal.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* The head of a response, and bytes behind a whole response. */
#define HEADERS_LIMIT_BYTES 16384

/*
 * A close by the server is detected only in the event loop.  A call sent on
 * such a connection would fail, and for a write it would be unknown whether it
 * took effect.
 */
static bool
is_closed_by_peer (const struct platform_connection *connection)
{
  char byte;
  ssize_t size;

  if (!http_connection_is_idle (&connection->http))
    return true;
  size = recv (connection->http.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static struct platform_connection *
create_connection (struct platform *platform, bool for_watch)
{
  struct platform_connection *connection = calloc (1, sizeof *connection);

  if (connection == NULL)
    return NULL;
  connection->http.fd = -1;
  http_text_init (&connection->body);
  connection->platform = platform;
  connection->for_watch = for_watch;
  LIST_INSERT_HEAD (&platform->connections, connection, link);
  return connection;
}

struct platform_connection *
platform_connection_acquire (struct platform *platform, bool for_watch)
{
  struct platform_connection *connection = LIST_FIRST (&platform->connections);
  int limit
      = for_watch ? PLATFORM_WATCH_CONNECTION_LIMIT : PLATFORM_CONNECTION_LIMIT;
  int count = 0;

  while (connection != NULL)
    {
      struct platform_connection *next = LIST_NEXT (connection, link);

      if (connection->for_watch != for_watch)
        ;
      else if (connection->call != NULL)
        count++;
      else if (is_closed_by_peer (connection))
        platform_connection_free (connection);
      else
        return connection;
      connection = next;
    }
  return count < limit ? create_connection (platform, for_watch) : NULL;
}

void
platform_connection_free (struct platform_connection *connection)
{
  LIST_REMOVE (connection, link);
  http_connection_finish (&connection->http);
  http_text_finish (&connection->body);
  free (connection);
}

bool
platform_connection_may_have_sent (const struct platform_connection *connection)
{
  return connection->established;
}

/* Closes the connection; it is freed when the next one is looked for. */
static void
fail_connection (struct platform_connection *connection)
{
  struct platform_call *call = connection->call;

  http_connection_finish (&connection->http);
  http_text_finish (&connection->body);
  if (call != NULL)
    platform_call_end (call, call->is_write && connection->established
                                 ? RESULT_PLATFORM_LOST_ANSWER
                                 : RESULT_PLATFORM_UNREACHABLE);
}

static void
on_connected (void *context)
{
  struct platform_connection *connection = context;

  /* The queued request is written right after this. */
  connection->established = true;
}

static void
on_head (void *context, const struct http_head *head)
{
  struct platform_connection *connection = context;

  (void)head;
  /* A response without a call: the connection is in an unknown state. */
  if (connection->call == NULL)
    fail_connection (connection);
}

size_t
platform_held_bytes (const struct platform *platform)
{
  const struct platform_connection *connection;
  size_t size = 0;

  LIST_FOREACH (connection, &platform->connections, link)
    size += connection->body.size;
  return size;
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct platform_connection *connection = context;

  http_text_add (&connection->body, data, size);
  if (connection->body.failed
      || connection->body.size > PLATFORM_RESPONSE_LIMIT_BYTES
      || platform_held_bytes (connection->platform)
             > PLATFORM_RESPONSES_LIMIT_BYTES)
    fail_connection (connection);
}

static void
on_complete (void *context)
{
  struct platform_connection *connection = context;
  struct platform_call *call = connection->call;

  if (connection->platform->is_partitioned)
    {
      fail_connection (connection);
      return;
    }
  platform_response_read (call, &connection->http.head, &connection->body);
  http_text_finish (&connection->body);
  platform_call_end (call, call->response.result);
  if (http_connection_is_reusable (&connection->http))
    http_connection_next_message (&connection->http, false);
  else
    fail_connection (connection);
}

static void
on_closed (void *context, enum http_end end)
{
  (void)end;
  fail_connection (context);
}

static const struct http_events connection_events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

static void
build_request (struct http_text *text, const struct platform_call *call)
{
  const struct platform *platform = call->platform;

  http_text_init (text);
  http_text_add_string (text, call->method);
  http_text_add_string (text, " ");
  http_text_add_string (text, call->uri);
  http_text_format (text, " HTTP/1.1\r\nHost: %s:%u\r\n", platform->address,
                    (unsigned)platform->port);
  if (platform->host[0] != '\0')
    http_text_add_field (text, "X-Entry-Host", platform->host);
  if (call->is_write && call->version != 0)
    http_text_format (text, "If-Match: \"%" PRIu64 "\"\r\n", call->version);
  else if (call->is_write)
    http_text_add_field (text, "If-None-Match", "*");
  http_text_add_json_body (text, call->body,
                           call->body != NULL ? strlen (call->body) : 0);
}

/* True if the connection is established or being established. */
static bool
connect_to_platform (struct platform_connection *connection)
{
  const struct http_limits limits
      = { HEADERS_LIMIT_BYTES, HEADERS_LIMIT_BYTES };
  const struct platform *platform = connection->platform;

  /* The timeout of the call expires before that of unacknowledged bytes. */
  return connection->http.fd >= 0
         || http_connection_connect (&connection->http, platform->base,
                                     platform->address, platform->port,
                                     platform->timeout_ms, &limits,
                                     &connection_events, connection)
                == RESULT_OK;
}

void
platform_connection_send (struct platform_connection *connection,
                          struct platform_call *call)
{
  struct platform *platform = call->platform;
  struct http_text text;

  build_request (&text, call);
  if (text.failed || !connect_to_platform (connection))
    {
      platform_call_end (call, text.failed ? RESULT_NO_MEMORY
                                           : RESULT_PLATFORM_UNREACHABLE);
      http_text_finish (&text);
      return;
    }
  TAILQ_REMOVE (&platform->waiting, call, link);
  TAILQ_INSERT_TAIL (&platform->sent, call, link);
  call->connection = connection;
  connection->call = call;
  platform->calls[call->kind]++;
  /* Queued until the connection is established. */
  http_connection_write_text (&connection->http, &text);
}
