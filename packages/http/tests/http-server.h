#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include "http-connection.h"
#include "netutil.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/*
 * A server for tests, on the loopback interface, with an event loop of its own.
 * The context of its events is the connection, which exists until
 * http_server_stop.
 */

#define HTTP_SERVER_CONNECTIONS 64

struct http_server
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  const struct http_events *events;
  struct http_connection *connections[HTTP_SERVER_CONNECTIONS];
  unsigned count;
  unsigned limit; /* highest count; more connections fail the test */
};

static inline void
http_server_ignore_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
}

static inline void
http_server_on_closed (void *context, enum http_end end)
{
  (void)end;
  http_connection_finish (context);
}

/* Least bytes of one http_server_write_repeated. */
#define HTTP_SERVER_REPEATED_BYTES 65536

/* Writes the text again and again; returns the number of bytes. */
static inline size_t
http_server_write_repeated (struct http_connection *connection,
                            const char *text)
{
  struct http_text bytes;
  size_t size;

  http_text_init (&bytes);
  while (bytes.size < HTTP_SERVER_REPEATED_BYTES)
    http_text_add_string (&bytes, text);
  size = bytes.size;
  http_connection_write_text (connection, &bytes);
  return size;
}

/*
 * Writes the text until the socket takes no more, so that .drained is called
 * and can go on; returns the number of bytes.
 */
static inline size_t
http_server_flood (struct http_connection *connection, const char *text)
{
  size_t size = 0;

  while (connection->fd >= 0 && !connection->write_failed
         && http_connection_unwritten_bytes (connection) == 0)
    size += http_server_write_repeated (connection, text);
  return size;
}

/* Closes the connection by a reset. */
static inline void
http_server_reset (struct http_connection *connection)
{
  setsockopt (connection->fd, SOL_SOCKET, SO_LINGER,
              &(struct linger){ .l_onoff = 1 }, sizeof (struct linger));
  http_connection_finish (connection);
}

static inline void
http_server_accept (struct evconnlistener *listener,
                    evutil_socket_t fd,
                    struct sockaddr *address,
                    int size,
                    void *context)
{
  const struct http_limits limits = { 65536, 65536 };
  struct http_connection *connection = calloc (1, sizeof *connection);
  struct http_server *server = context;

  (void)listener;
  (void)address;
  (void)size;
  assert_non_null (connection);
  assert_in_range (server->count, 0, server->limit - 1);
  server->connections[server->count++] = connection;
  http_connection_accept (connection, server->base, fd, &limits, server->events,
                          connection);
}

static inline void
http_server_start (struct http_server *server,
                   const struct http_events *events,
                   unsigned limit)
{
  struct sockaddr_in listen_address = { .sin_family = AF_INET };

  assert_in_range (limit, 1, HTTP_SERVER_CONNECTIONS);
  memset (server, 0, sizeof *server);
  server->events = events;
  server->limit = limit;
  server->base = event_base_new ();
  listen_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listener = evconnlistener_new_bind (
      server->base, http_server_accept, server, LEV_OPT_CLOSE_ON_FREE, 16,
      (struct sockaddr *)&listen_address, sizeof listen_address);
  assert_non_null (server->listener);
  server->port = net_bound_port (evconnlistener_get_fd (server->listener));
}

static inline void
http_server_stop (struct http_server *server)
{
  evconnlistener_free (server->listener);
  for (unsigned i = 0; i < server->count; i++)
    {
      http_connection_finish (server->connections[i]);
      free (server->connections[i]);
    }
  event_base_loop (server->base, EVLOOP_NONBLOCK);
  event_base_free (server->base);
}

#endif
