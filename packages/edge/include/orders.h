#ifndef EDGE_ORDERS_H
#define EDGE_ORDERS_H

#include "adapter.h"
#include "formation.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Sends orders to endpoints, one connection each.  The answers are logged;
 * what an order did is seen in the endpoints' reports.
 */

struct order_call;

struct orders_hooks
{
  void *context;
  /* An endpoint refused the fencing token or the epoch. */
  void (*fenced) (void *context, const char *endpoint);
  /* An order got no answer, or was not sent any more. */
  void (*lost) (void *context, const char *endpoint);
  /*
   * Whether the lease of this fencing token still holds; asked just before the
   * order's bytes leave, which may be long after the order was given.
   */
  bool (*holds) (void *context, uint64_t fence);
};

struct orders
{
  struct event_base *base;
  const struct adapter *adapter;
  struct orders_hooks hooks;
  TAILQ_HEAD (, order_call) calls;
};

void orders_init (struct orders *orders,
                  struct event_base *base,
                  const struct adapter *adapter,
                  const struct orders_hooks *hooks);
void orders_finish (struct orders *orders);

void orders_send (struct orders *orders,
                  const struct formation_order *order,
                  uint64_t fence,
                  const char *address,
                  uint16_t port,
                  int64_t now_ms);
void orders_tick (struct orders *orders, int64_t now_ms);

#endif
