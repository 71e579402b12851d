#include "orders.h"

#include "http-call.h"
#include "log.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

/* An order without a response for this long counts as lost. */
#define ORDER_TIMEOUT_MS 1500

struct order_call
{
  struct orders *orders;
  struct http_call http;
  enum formation_op op;
  char endpoint[CATALOG_NAME_SIZE];
  char group[CATALOG_NAME_SIZE];
  uint64_t fence;
  int64_t sent_ms;
  TAILQ_ENTRY (order_call) link;
};

static void
close_call (struct order_call *call)
{
  TAILQ_REMOVE (&call->orders->calls, call, link);
  http_call_finish (&call->http);
  http_free_later (call->orders->base, call);
}

/* Logs the result, reports a fenced or lost order, and frees the call. */
static void
complete_call (struct order_call *call, enum result result, unsigned status)
{
  struct orders *orders = call->orders;

  LOG_EVENT (result == RESULT_OK ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE,
             "order-answered", LOG_STR ("op", formation_op_name (call->op)),
             LOG_STR ("endpoint", call->endpoint),
             LOG_STR ("group", call->group), LOG_U64 ("fence", call->fence),
             LOG_U64 ("status", status), LOG_INT ("code", result),
             LOG_INT ("after_ms", time_boot_ms () - call->sent_ms));
  if (result == RESULT_ORDER_FENCED)
    orders->hooks.fenced (orders->hooks.context, call->endpoint);
  if (result == RESULT_ORDER_LOST)
    orders->hooks.lost (orders->hooks.context, call->endpoint);
  close_call (call);
}

static void
on_order_done (void *context, bool has_response, unsigned status)
{
  struct order_call *call = context;

  complete_call (call,
                 has_response
                     ? call->orders->adapter->decode_order_status (status)
                     : RESULT_ORDER_LOST,
                 status);
}

/*
 * Connecting may have taken long, or this host may have been suspended, so an
 * order is sent only if the lease of its fencing token is still held.
 */
static bool
can_send (void *context)
{
  const struct order_call *call = context;
  const struct orders *orders = call->orders;

  return orders->hooks.is_lease_held (orders->hooks.context, call->fence);
}

void
orders_init (struct orders *orders,
             struct event_base *base,
             const struct platform_adapter *adapter,
             const struct orders_hooks *hooks)
{
  memset (orders, 0, sizeof *orders);
  orders->base = base;
  orders->adapter = adapter;
  orders->hooks = *hooks;
  TAILQ_INIT (&orders->calls);
}

void
orders_finish (struct orders *orders)
{
  struct order_call *call;

  while ((call = TAILQ_FIRST (&orders->calls)) != NULL)
    close_call (call);
}

static void
encode_request (const struct orders *orders,
                const struct formation_order *order,
                uint64_t fence,
                const char *address,
                uint16_t port,
                struct http_text *request)
{
  struct http_text target;
  struct http_text body;

  http_text_init (&target);
  http_text_init (&body);
  orders->adapter->encode_order (order, fence, &target, &body);
  http_text_format (request,
                    "POST %s HTTP/1.1\r\nHost: %s:%u\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                    target.data != NULL ? target.data : "/", address, port,
                    body.size);
  http_text_add (request, body.data, body.size);
  if (target.failed || body.failed)
    request->failed = true;
  http_text_finish (&target);
  http_text_finish (&body);
}

void
orders_send (struct orders *orders,
             const struct formation_order *order,
             uint64_t fence,
             const char *address,
             uint16_t port,
             int64_t now_ms)
{
  struct order_call *call = calloc (1, sizeof *call);
  struct http_text request;

  if (call == NULL)
    goto failed;
  call->orders = orders;
  call->op = order->op;
  call->fence = fence;
  call->sent_ms = now_ms;
  memcpy (call->endpoint, order->endpoint, strlen (order->endpoint) + 1);
  memcpy (call->group, order->group, strlen (order->group) + 1);
  http_text_init (&request);
  encode_request (orders, order, fence, address, port, &request);
  if (http_call_start (&call->http, orders->base, address, port,
                       ORDER_TIMEOUT_MS, &request, on_order_done, call)
      != RESULT_OK)
    goto failed;
  call->http.may_send = can_send;
  TAILQ_INSERT_TAIL (&orders->calls, call, link);
  return;

failed:
  LOG_EVENT (LOG_LEVEL_WARNING, "order-not-sent",
             LOG_STR ("op", formation_op_name (order->op)),
             LOG_STR ("endpoint", order->endpoint));
  free (call);
}

void
orders_tick (struct orders *orders, int64_t now_ms)
{
  struct order_call *call = TAILQ_FIRST (&orders->calls);

  while (call != NULL)
    {
      struct order_call *next = TAILQ_NEXT (call, link);

      if (now_ms - call->sent_ms >= ORDER_TIMEOUT_MS)
        complete_call (call, RESULT_ORDER_LOST, 0);
      call = next;
    }
}
