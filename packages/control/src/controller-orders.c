#include "controller-internal.h"

#include "http-call.h"
#include "log.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

/*
 * Time limit for writing an order, and for the engine's kernel to acknowledge
 * it: no order is on the way for longer than CONTROLLER_ORDER_TIMEOUT_MS, the
 * time that the plan and the next holder wait for it.
 */
#define WRITE_TIMEOUT_MS (CONTROLLER_ORDER_TIMEOUT_MS / 2)

struct controller_order
{
  struct controller *controller;
  struct http_call http;
  char host[FLEET_NAME_SIZE];
  char order_id[PLAN_ORDER_ID_SIZE];
  uint64_t fence;
  int64_t decided_ms;
  bool was_written;
  TAILQ_ENTRY (controller_order) link;
};

void
controller_orders_init (struct controller *controller)
{
  TAILQ_INIT (&controller->orders);
}

void
controller_orders_finish (struct controller *controller)
{
  struct controller_order *order = TAILQ_FIRST (&controller->orders);

  TAILQ_INIT (&controller->orders);
  while (order != NULL)
    {
      struct controller_order *next = TAILQ_NEXT (order, link);

      http_call_finish (&order->http);
      free (order);
      order = next;
    }
}

static enum result
convert_status_to_result (unsigned status)
{
  if (status == 200)
    return RESULT_OK;
  return status == 409 ? RESULT_ORDER_FENCED : RESULT_ORDER_FAILED;
}

/* Logs and reports the result, and frees the order. */
static void
complete_order (struct controller_order *order, enum result result)
{
  struct controller *controller = order->controller;

  LOG_EVENT (result == RESULT_OK ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
             "order-end", LOG_STR ("host", order->host),
             LOG_STR ("order_id", order->order_id), LOG_INT ("code", result),
             LOG_STR ("result", result_info (result)->name));
  plan_on_order (&controller->plan, order->host, order->order_id, result,
                 time_boot_ms ());
  TAILQ_REMOVE (&controller->orders, order, link);
  http_call_finish (&order->http);
  http_free_later (controller->base, order);
}

/* Without a response it is unknown whether an order that was written arrived.
 */
static void
complete_without_response (struct controller_order *order)
{
  complete_order (order, order->was_written ? RESULT_ORDER_LOST
                                            : RESULT_ENDPOINT_CONNECT);
}

static void
on_order_done (void *context, bool has_response, unsigned status)
{
  struct controller_order *order = context;

  if (has_response)
    complete_order (order, convert_status_to_result (status));
  else
    complete_without_response (order);
}

/*
 * Connecting may have taken long, or this process may have been paused since
 * the decision.
 */
static bool
can_write (void *context)
{
  struct controller_order *order = context;
  const struct lease *lease = &order->controller->lease;
  int64_t now_ms = time_boot_ms ();

  order->was_written = lease_may_act (lease, now_ms)
                       && lease_fence (lease) == order->fence
                       && now_ms - order->decided_ms < WRITE_TIMEOUT_MS;
  return order->was_written;
}

void
controller_orders_tick (struct controller *controller, int64_t now_ms)
{
  struct controller_order *order = TAILQ_FIRST (&controller->orders);

  while (order != NULL)
    {
      struct controller_order *next = TAILQ_NEXT (order, link);
      int64_t timeout_ms
          = order->was_written ? CONTROLLER_ORDER_TIMEOUT_MS : WRITE_TIMEOUT_MS;

      if (now_ms - order->decided_ms >= timeout_ms)
        complete_without_response (order);
      order = next;
    }
}

static void
encode_request (const struct plan_order *order,
                const struct fleet_host *host,
                struct http_text *request)
{
  json_t *json = plan_order_to_json (order);
  char *body = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;

  json_decref (json);
  if (body == NULL)
    {
      request->failed = true;
      return;
    }
  http_text_format (request,
                    "POST /v1/orders HTTP/1.1\r\nHost: %s:%u\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                    host->address, host->port, strlen (body));
  http_text_add_string (request, body);
  free (body);
}

static bool
start_order (struct controller *controller,
             const struct plan_order *plan_order,
             const struct fleet_host *host,
             int64_t now_ms)
{
  struct controller_order *order = calloc (1, sizeof *order);
  struct http_text request;

  if (order == NULL)
    return false;
  order->controller = controller;
  order->fence = plan_order->fence;
  order->decided_ms = now_ms;
  memcpy (order->host, plan_order->host, sizeof order->host);
  memcpy (order->order_id, plan_order->order_id, sizeof order->order_id);
  http_text_init (&request);
  encode_request (plan_order, host, &request);
  if (http_call_start (&order->http, controller->base, host->address,
                       host->port, WRITE_TIMEOUT_MS, &request, on_order_done,
                       order)
      != RESULT_OK)
    {
      free (order);
      return false;
    }
  order->http.may_send = can_write;
  TAILQ_INSERT_TAIL (&controller->orders, order, link);
  return true;
}

void
controller_send_order (struct controller *controller,
                       const struct plan_order *plan_order,
                       int64_t now_ms)
{
  const struct fleet_host *host
      = fleet_find_host (controller->fleet, plan_order->host);

  if (host == NULL || !lease_may_act (&controller->lease, time_boot_ms ())
      || !start_order (controller, plan_order, host, now_ms))
    {
      plan_on_order (&controller->plan, plan_order->host, plan_order->order_id,
                     RESULT_ENDPOINT_CONNECT, now_ms);
      return;
    }
  controller->orders_sent++;
  LOG_EVENT (LOG_LEVEL_NOTICE, "order-sent", LOG_STR ("host", plan_order->host),
             LOG_STR ("op", plan_op_name (plan_order->op)),
             LOG_STR ("group", plan_order->group.id),
             LOG_U64 ("generation", plan_order->group.generation),
             LOG_U64 ("fence", plan_order->fence),
             LOG_STR ("order_id", plan_order->order_id),
             LOG_STR ("reason", plan_order->reason));
}
