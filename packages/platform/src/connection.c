#include "platform-internal.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define HEADERS_LIMIT_BYTES 16384

static evutil_socket_t
get_connection_fd (const struct platform_connection *connection)
{
  return bufferevent_getfd (
      evhttp_connection_get_bufferevent (connection->http));
}

/*
 * evhttp detects that the server closed a connection only in the event loop.
 * A call sent on such a connection would fail, and for a write it would be
 * unknown whether it took effect.
 */
static bool
is_closed_by_peer (const struct platform_connection *connection)
{
  evutil_socket_t fd = get_connection_fd (connection);
  char byte;
  ssize_t size;

  if (fd < 0)
    return true; /* evhttp has already detected the close */
  size = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static struct platform_connection *
create_connection (struct platform *platform, bool for_watch)
{
  struct platform_connection *connection = calloc (1, sizeof *connection);

  if (connection == NULL)
    return NULL;
  connection->http = evhttp_connection_base_new (
      platform->base, NULL, platform->address, platform->port);
  if (connection->http == NULL)
    {
      free (connection);
      return NULL;
    }
  connection->platform = platform;
  connection->for_watch = for_watch;
  evhttp_connection_set_max_body_size (connection->http,
                                       PLATFORM_RESPONSE_LIMIT_BYTES);
  evhttp_connection_set_max_headers_size (connection->http,
                                          HEADERS_LIMIT_BYTES);
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
      else if (connection->broken || is_closed_by_peer (connection))
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
  evhttp_connection_free (connection->http);
  free (connection);
}

bool
platform_connection_may_have_sent (const struct platform_connection *connection)
{
  struct sockaddr_storage peer;
  socklen_t size = sizeof peer;
  evutil_socket_t fd = get_connection_fd (connection);

  return fd >= 0 && getpeername (fd, (struct sockaddr *)&peer, &size) == 0;
}

/*
 * evhttp passes the request once it has a response, the request with status 0
 * if the connection could not be opened, and NULL if the connection broke
 * later.
 */
static void
on_request_end (struct evhttp_request *request, void *context)
{
  struct platform_connection *connection = context;
  struct platform_call *call = connection->call;
  int status = request != NULL ? evhttp_request_get_response_code (request) : 0;

  if (call == NULL)
    return;
  if (status != 0 && !call->platform->is_partitioned)
    {
      platform_response_read (call, request);
      platform_call_end (call, call->response.result);
      return;
    }
  connection->broken = true;
  platform_call_end (call, call->is_write && (request == NULL || status != 0)
                               ? RESULT_PLATFORM_LOST_ANSWER
                               : RESULT_PLATFORM_UNREACHABLE);
}

static bool
add_headers_and_body (struct evhttp_request *request,
                      const struct platform_call *call)
{
  const struct platform *platform = call->platform;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char text[80];
  int failed = 0;

  snprintf (text, sizeof text, "%s:%u", platform->address,
            (unsigned)platform->port);
  failed |= evhttp_add_header (headers, "Host", text);
  if (platform->host[0] != '\0')
    failed |= evhttp_add_header (headers, "X-Entry-Host", platform->host);
  if (call->is_write && call->version != 0)
    {
      snprintf (text, sizeof text, "\"%" PRIu64 "\"", call->version);
      failed |= evhttp_add_header (headers, "If-Match", text);
    }
  else if (call->is_write)
    failed |= evhttp_add_header (headers, "If-None-Match", "*");
  if (call->body != NULL)
    {
      failed |= evhttp_add_header (headers, "Content-Type", "application/json");
      failed |= evbuffer_add (evhttp_request_get_output_buffer (request),
                              call->body, strlen (call->body));
    }
  return failed == 0;
}

void
platform_connection_send (struct platform_connection *connection,
                          struct platform_call *call)
{
  struct platform *platform = call->platform;
  struct evhttp_request *request
      = evhttp_request_new (on_request_end, connection);

  if (request == NULL || !add_headers_and_body (request, call))
    {
      if (request != NULL)
        evhttp_request_free (request);
      platform_call_end (call, RESULT_NO_MEMORY);
      return;
    }
  TAILQ_REMOVE (&platform->waiting, call, link);
  TAILQ_INSERT_TAIL (&platform->sent, call, link);
  call->connection = connection;
  connection->call = call;
  platform->calls[call->kind]++;
  /* The call's own timer fires first; this timeout closes idle connections. */
  evhttp_connection_set_timeout (connection->http,
                                 call->timeout_ms / 1000 + 60);
  /* May run on_request_end at once, which ends the call. */
  if (evhttp_make_request (connection->http, request, call->command, call->uri)
          != 0
      && connection->call == call)
    {
      connection->broken = true;
      platform_call_end (call, RESULT_PLATFORM_UNREACHABLE);
    }
}
