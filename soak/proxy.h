#ifndef SOAK_PROXY_H
#define SOAK_PROXY_H

#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * A TCP proxy on the loopback interface that harms what passes through it.
 * One direction is "up", from those that connect to the target.
 */

enum proxy_way
{
  PROXY_UP,
  PROXY_DOWN,
  PROXY_WAYS,
};

struct proxy_link;

struct proxy
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  uint16_t target_port; /* on 127.0.0.1 */
  int delay_ms;         /* of all bytes */
  bool cut[PROXY_WAYS]; /* bytes are held back until the cut ends */
  int64_t now_ms;
  TAILQ_HEAD (, proxy_link) links;
};

bool
proxy_open (struct proxy *proxy, struct event_base *base, uint16_t target_port);
void proxy_close (struct proxy *proxy);

/* Passes on what is due; call often. */
void proxy_tick (struct proxy *proxy, int64_t now_ms);

/* Resets all connections on both sides. */
void proxy_reset (struct proxy *proxy);

/* The present connections carry nothing any more and stay open. */
void proxy_silence (struct proxy *proxy);

#endif
