#ifndef EDGE_ORDERS_H
#define EDGE_ORDERS_H

#include "formation.h"
#include "platform-adapter.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Sends orders to endpoints, one connection per message.  The responses are
 * logged; the effect of an order shows in the endpoints' reports.
 *
 * An order that gets no response may still be carried out seconds later, when
 * the endpoint has become a member of another group.  A join is therefore sent
 * in steps: the endpoint is asked for its state, is ordered to leave its group
 * if the decision says so, and is then ordered to join, each on condition that
 * it has accepted no other order since.
 */

struct order_call;

struct orders_hooks
{
  void *context;
  /* An endpoint refused the fencing token or the epoch. */
  void (*fenced) (void *context, const char *endpoint);
  /* An order got no response, or was dropped before it was sent. */
  void (*lost) (void *context, const char *endpoint);
  /*
   * True if the lease of this fencing token is still held.  Called just before
   * the bytes of an order are sent, which may be long after orders_send.
   */
  bool (*is_lease_held) (void *context, uint64_t fence);
  /* See formation_is_order_current; called at the same time. */
  bool (*is_current) (void *context,
                      enum formation_op op,
                      const char *endpoint,
                      const char *group,
                      uint64_t epoch);
};

struct orders
{
  struct event_base *base;
  const struct platform_adapter *adapter;
  struct orders_hooks hooks;
  TAILQ_HEAD (, order_call) calls;
};

void orders_init (struct orders *orders,
                  struct event_base *base,
                  const struct platform_adapter *adapter,
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
