#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * A TCP proxy on the loopback interface that injects network faults.  PROXY_UP
 * is the direction from the side that connected to the target.
 */

enum proxy_direction
{
  PROXY_UP,
  PROXY_DOWN,
  PROXY_DIRECTIONS,
};

struct proxy_connection;

struct proxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  uint16_t target_port;               /* on 127.0.0.1 */
  int delay_ms;                       /* added to all bytes */
  bool partitioned[PROXY_DIRECTIONS]; /* bytes are held back */
  int64_t now_ms;
  TAILQ_HEAD (, proxy_connection) connections;
};

bool
proxy_open (struct proxy *proxy, struct event_base *base, uint16_t target_port);
void proxy_close (struct proxy *proxy);

/* Forwards the chunks whose delay is over; call often. */
void proxy_tick (struct proxy *proxy, int64_t now_ms);

/* Resets all connections on both sides. */
void proxy_reset_connections (struct proxy *proxy);

/* The existing connections stay open but forward nothing any more. */
void proxy_silence_connections (struct proxy *proxy);

#endif
