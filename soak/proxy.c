#include "proxy.h"

#include "standin-http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

struct chunk
{
  struct evbuffer *bytes;
  int64_t at_ms;
  TAILQ_ENTRY (chunk) link;
};

/* One connection through the proxy: a side that connected, and the target. */
struct proxy_link
{
  struct proxy *proxy;
  struct bufferevent *from[PROXY_WAYS]; /* where the bytes of a way come from */
  TAILQ_HEAD (, chunk) queue[PROXY_WAYS];
  bool ended[PROXY_WAYS]; /* the source of this way has ended */
  bool silent;
  TAILQ_ENTRY (proxy_link) link;
};

static struct bufferevent *
sink (const struct proxy_link *link, enum proxy_way way)
{
  return link->from[way == PROXY_UP ? PROXY_DOWN : PROXY_UP];
}

static void
drop_chunk (struct proxy_link *link, enum proxy_way way, struct chunk *chunk)
{
  TAILQ_REMOVE (&link->queue[way], chunk, link);
  evbuffer_free (chunk->bytes);
  free (chunk);
}

static void
drop_queue (struct proxy_link *link, enum proxy_way way)
{
  struct chunk *chunk = TAILQ_FIRST (&link->queue[way]);

  while (chunk != NULL)
    {
      struct chunk *next = TAILQ_NEXT (chunk, link);

      drop_chunk (link, way, chunk);
      chunk = next;
    }
}

static void
drop (struct proxy_link *link, bool reset)
{
  TAILQ_REMOVE (&link->proxy->links, link, link);
  for (int way = 0; way < PROXY_WAYS; way++)
    {
      int fd = bufferevent_getfd (link->from[way]);

      drop_queue (link, (enum proxy_way)way);
      if (reset && fd >= 0)
        standin_reset_on_close (fd);
      bufferevent_free (link->from[way]);
    }
  free (link);
}

static enum proxy_way
way_of (const struct proxy_link *link, const struct bufferevent *from)
{
  return link->from[PROXY_UP] == from ? PROXY_UP : PROXY_DOWN;
}

static void
on_read (struct bufferevent *from, void *context)
{
  struct proxy_link *link = context;
  struct proxy *proxy = link->proxy;
  enum proxy_way way = way_of (link, from);
  struct evbuffer *input = bufferevent_get_input (from);
  struct chunk *chunk;

  if (link->silent)
    {
      evbuffer_drain (input, evbuffer_get_length (input));
      return;
    }
  if (proxy->delay_ms == 0 && !proxy->cut[way]
      && TAILQ_EMPTY (&link->queue[way]))
    {
      bufferevent_write_buffer (sink (link, way), input);
      return;
    }
  chunk = calloc (1, sizeof *chunk);
  if (chunk == NULL || (chunk->bytes = evbuffer_new ()) == NULL)
    abort ();
  evbuffer_add_buffer (chunk->bytes, input);
  chunk->at_ms = proxy->now_ms + proxy->delay_ms;
  TAILQ_INSERT_TAIL (&link->queue[way], chunk, link);
}

/* True once the link is dropped: a side has ended and its bytes are out. */
static bool
end_if_done (struct proxy_link *link)
{
  if (link->silent)
    return false;
  for (int way = 0; way < PROXY_WAYS; way++)
    if (link->ended[way] && TAILQ_EMPTY (&link->queue[way])
        && !link->proxy->cut[way]
        && evbuffer_get_length (
               bufferevent_get_output (sink (link, (enum proxy_way)way)))
               == 0)
      {
        drop (link, false);
        return true;
      }
  return false;
}

static void
on_event (struct bufferevent *from, short what, void *context)
{
  struct proxy_link *link = context;
  enum proxy_way way = way_of (link, from);

  if (what & BEV_EVENT_ERROR)
    {
      if (link->silent || link->proxy->cut[way])
        link->ended[way] = true;
      else
        drop (link, true);
      return;
    }
  if (what & BEV_EVENT_EOF)
    {
      link->ended[way] = true;
      end_if_done (link);
    }
}

static struct bufferevent *
take_socket (struct proxy_link *link, evutil_socket_t fd)
{
  struct bufferevent *events
      = bufferevent_socket_new (link->proxy->base, fd, BEV_OPT_CLOSE_ON_FREE);

  if (events == NULL)
    abort ();
  bufferevent_setcb (events, on_read, NULL, on_event, link);
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
  struct proxy_link *link = calloc (1, sizeof *link);
  struct sockaddr_in target
      = { .sin_family = AF_INET, .sin_port = htons (proxy->target_port) };

  (void)listener;
  (void)address;
  (void)size;
  if (link == NULL)
    abort ();
  link->proxy = proxy;
  TAILQ_INIT (&link->queue[PROXY_UP]);
  TAILQ_INIT (&link->queue[PROXY_DOWN]);
  target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  link->from[PROXY_UP] = take_socket (link, fd);
  link->from[PROXY_DOWN] = take_socket (link, -1);
  TAILQ_INSERT_TAIL (&proxy->links, link, link);
  if (bufferevent_socket_connect (link->from[PROXY_DOWN],
                                  (struct sockaddr *)&target, sizeof target)
      != 0)
    drop (link, true);
}

bool
proxy_open (struct proxy *proxy, struct event_base *base, uint16_t target_port)
{
  memset (proxy, 0, sizeof *proxy);
  proxy->base = base;
  proxy->target_port = target_port;
  TAILQ_INIT (&proxy->links);
  proxy->listener = standin_listen (base, &proxy->port, on_accept, proxy);
  return proxy->listener != NULL;
}

void
proxy_close (struct proxy *proxy)
{
  if (proxy->listener == NULL)
    return;
  proxy_reset (proxy);
  evconnlistener_free (proxy->listener);
  proxy->listener = NULL;
}

static void
pass_on (struct proxy_link *link, enum proxy_way way)
{
  struct chunk *chunk = TAILQ_FIRST (&link->queue[way]);

  while (chunk != NULL && !link->proxy->cut[way]
         && link->proxy->now_ms >= chunk->at_ms)
    {
      struct chunk *next = TAILQ_NEXT (chunk, link);

      bufferevent_write_buffer (sink (link, way), chunk->bytes);
      drop_chunk (link, way, chunk);
      chunk = next;
    }
}

void
proxy_tick (struct proxy *proxy, int64_t now_ms)
{
  struct proxy_link *link = TAILQ_FIRST (&proxy->links);

  proxy->now_ms = now_ms;
  while (link != NULL)
    {
      struct proxy_link *next = TAILQ_NEXT (link, link);

      if (!link->silent)
        {
          pass_on (link, PROXY_UP);
          pass_on (link, PROXY_DOWN);
          end_if_done (link);
        }
      else if (link->ended[PROXY_UP] && link->ended[PROXY_DOWN])
        drop (link, false);
      link = next;
    }
}

void
proxy_reset (struct proxy *proxy)
{
  struct proxy_link *link;

  while ((link = TAILQ_FIRST (&proxy->links)) != NULL)
    drop (link, true);
}

void
proxy_silence (struct proxy *proxy)
{
  struct proxy_link *link;

  TAILQ_FOREACH (link, &proxy->links, link)
    link->silent = true;
}
