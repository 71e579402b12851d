#include "proxy.h"

#include "standin-http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Bytes that were read and wait to be forwarded. */
struct chunk
{
  struct evbuffer *bytes;
  int64_t due_ms; /* forwarded from then on */
  TAILQ_ENTRY (chunk) link;
};

/* One connection through the proxy: the side that connected, and the target. */
struct proxy_connection
{
  struct proxy *proxy;
  struct bufferevent *source[PROXY_DIRECTIONS]; /* sender of each direction */
  TAILQ_HEAD (, chunk) queue[PROXY_DIRECTIONS];
  bool ended[PROXY_DIRECTIONS]; /* the sender has closed */
  bool silent;
  TAILQ_ENTRY (proxy_connection) link;
};

static struct bufferevent *
get_sink (const struct proxy_connection *connection,
          enum proxy_direction direction)
{
  return connection->source[direction == PROXY_UP ? PROXY_DOWN : PROXY_UP];
}

static void
drop_chunk (struct proxy_connection *connection,
            enum proxy_direction direction,
            struct chunk *chunk)
{
  TAILQ_REMOVE (&connection->queue[direction], chunk, link);
  evbuffer_free (chunk->bytes);
  free (chunk);
}

static void
drop_queue (struct proxy_connection *connection, enum proxy_direction direction)
{
  struct chunk *chunk = TAILQ_FIRST (&connection->queue[direction]);

  while (chunk != NULL)
    {
      struct chunk *next = TAILQ_NEXT (chunk, link);

      drop_chunk (connection, direction, chunk);
      chunk = next;
    }
}

static void
close_connection (struct proxy_connection *connection, bool reset)
{
  TAILQ_REMOVE (&connection->proxy->connections, connection, link);
  for (int direction = 0; direction < PROXY_DIRECTIONS; direction++)
    {
      int fd = bufferevent_getfd (connection->source[direction]);

      drop_queue (connection, (enum proxy_direction)direction);
      if (reset && fd >= 0)
        standin_reset_on_close (fd);
      bufferevent_free (connection->source[direction]);
    }
  free (connection);
}

static enum proxy_direction
find_direction (const struct proxy_connection *connection,
                const struct bufferevent *source)
{
  return connection->source[PROXY_UP] == source ? PROXY_UP : PROXY_DOWN;
}

static void
on_read (struct bufferevent *source, void *context)
{
  struct proxy_connection *connection = context;
  struct proxy *proxy = connection->proxy;
  enum proxy_direction direction = find_direction (connection, source);
  struct evbuffer *input = bufferevent_get_input (source);
  struct chunk *chunk;

  if (connection->silent)
    {
      evbuffer_drain (input, evbuffer_get_length (input));
      return;
    }
  if (proxy->delay_ms == 0 && !proxy->partitioned[direction]
      && TAILQ_EMPTY (&connection->queue[direction]))
    {
      bufferevent_write_buffer (get_sink (connection, direction), input);
      return;
    }
  chunk = calloc (1, sizeof *chunk);
  if (chunk == NULL || (chunk->bytes = evbuffer_new ()) == NULL)
    abort ();
  evbuffer_add_buffer (chunk->bytes, input);
  chunk->due_ms = proxy->now_ms + proxy->delay_ms;
  TAILQ_INSERT_TAIL (&connection->queue[direction], chunk, link);
}

/*
 * Closes the connection if a side has closed and its bytes are all sent.  True
 * if it did.
 */
static bool
close_if_done (struct proxy_connection *connection)
{
  if (connection->silent)
    return false;
  for (int direction = 0; direction < PROXY_DIRECTIONS; direction++)
    if (connection->ended[direction]
        && TAILQ_EMPTY (&connection->queue[direction])
        && !connection->proxy->partitioned[direction]
        && evbuffer_get_length (bufferevent_get_output (
               get_sink (connection, (enum proxy_direction)direction)))
               == 0)
      {
        /* Leaves no port in TIME_WAIT; an endpoint takes both ends alike. */
        if (direction == PROXY_UP)
          standin_reset_on_close (
              bufferevent_getfd (connection->source[PROXY_DOWN]));
        close_connection (connection, false);
        return true;
      }
  return false;
}

static void
on_event (struct bufferevent *source, short what, void *context)
{
  struct proxy_connection *connection = context;
  enum proxy_direction direction = find_direction (connection, source);

  if (what & BEV_EVENT_ERROR)
    {
      if (connection->silent || connection->proxy->partitioned[direction])
        connection->ended[direction] = true;
      else
        close_connection (connection, true);
      return;
    }
  if (what & BEV_EVENT_EOF)
    {
      connection->ended[direction] = true;
      close_if_done (connection);
    }
}

static struct bufferevent *
wrap_socket (struct proxy_connection *connection, evutil_socket_t fd)
{
  struct bufferevent *events = bufferevent_socket_new (
      connection->proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);

  if (events == NULL)
    abort ();
  bufferevent_setcb (events, on_read, NULL, on_event, connection);
  bufferevent_enable (events, EV_READ | EV_WRITE);
  return events;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int size,
           void *context)
{
  struct proxy *proxy = context;
  struct proxy_connection *connection = calloc (1, sizeof *connection);
  struct sockaddr_in target
      = { .sin_family = AF_INET, .sin_port = htons (proxy->target_port) };

  (void)listener;
  (void)address;
  (void)size;
  if (connection == NULL)
    abort ();
  connection->proxy = proxy;
  TAILQ_INIT (&connection->queue[PROXY_UP]);
  TAILQ_INIT (&connection->queue[PROXY_DOWN]);
  target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  connection->source[PROXY_UP] = wrap_socket (connection, fd);
  connection->source[PROXY_DOWN] = wrap_socket (connection, -1);
  TAILQ_INSERT_TAIL (&proxy->connections, connection, link);
  if (bufferevent_socket_connect (connection->source[PROXY_DOWN],
                                  (struct sockaddr *)&target, sizeof target)
      != 0)
    close_connection (connection, true);
}

bool
proxy_open (struct proxy *proxy, struct event_base *base, uint16_t target_port)
{
  memset (proxy, 0, sizeof *proxy);
  proxy->base = base;
  proxy->target_port = target_port;
  TAILQ_INIT (&proxy->connections);
  proxy->listener = standin_listen (base, &proxy->port, on_accept, proxy);
  return proxy->listener != NULL;
}

void
proxy_close (struct proxy *proxy)
{
  if (proxy->listener == NULL)
    return;
  proxy_reset_connections (proxy);
  evconnlistener_free (proxy->listener);
  proxy->listener = NULL;
}

static void
forward_due_chunks (struct proxy_connection *connection,
                    enum proxy_direction direction)
{
  struct chunk *chunk = TAILQ_FIRST (&connection->queue[direction]);

  while (chunk != NULL && !connection->proxy->partitioned[direction]
         && connection->proxy->now_ms >= chunk->due_ms)
    {
      struct chunk *next = TAILQ_NEXT (chunk, link);

      bufferevent_write_buffer (get_sink (connection, direction), chunk->bytes);
      drop_chunk (connection, direction, chunk);
      chunk = next;
    }
}

void
proxy_tick (struct proxy *proxy, int64_t now_ms)
{
  struct proxy_connection *connection = TAILQ_FIRST (&proxy->connections);

  proxy->now_ms = now_ms;
  while (connection != NULL)
    {
      struct proxy_connection *next = TAILQ_NEXT (connection, link);

      if (!connection->silent)
        {
          forward_due_chunks (connection, PROXY_UP);
          forward_due_chunks (connection, PROXY_DOWN);
          close_if_done (connection);
        }
      else if (connection->ended[PROXY_UP] && connection->ended[PROXY_DOWN])
        close_connection (connection, false);
      connection = next;
    }
}

void
proxy_reset_connections (struct proxy *proxy)
{
  struct proxy_connection *connection;

  while ((connection = TAILQ_FIRST (&proxy->connections)) != NULL)
    close_connection (connection, true);
}

void
proxy_silence_connections (struct proxy *proxy)
{
  struct proxy_connection *connection;

  TAILQ_FOREACH (connection, &proxy->connections, link)
    connection->silent = true;
}
