#include "controller-internal.h"

#include "log.h"
#include "timeutil.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct controller_order
{
  struct controller *controller;
  struct evhttp_connection *connection;
  char host[FLEET_NAME_SIZE];
  char order_id[PLAN_ORDER_ID_SIZE];
  struct controller_order *next;
};

static void
remove_order (struct controller_order *order)
{
  struct controller_order **link = &order->controller->orders;

  while (*link != NULL && *link != order)
    link = &(*link)->next;
  if (*link != NULL)
    *link = order->next;
  if (order->connection != NULL)
    evhttp_connection_free (order->connection);
  free (order);
}

void
controller_orders_finish (struct controller *controller)
{
  while (controller->orders != NULL)
    remove_order (controller->orders);
}

static enum result
convert_status_to_result (int status)
{
  if (status == 200)
    return RESULT_OK;
  return status == 409 ? RESULT_ORDER_FENCED : RESULT_ORDER_FAILED;
}

static void
report_order_result (struct controller_order *order, enum result result)
{
  struct controller *controller = order->controller;

  LOG_EVENT (result == RESULT_OK ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
             "order-end", LOG_STR ("host", order->host),
             LOG_STR ("order_id", order->order_id), LOG_INT ("code", result),
             LOG_STR ("result", result_info (result)->name));
  plan_on_order (&controller->plan, order->host, order->order_id, result,
                 time_boot_ms ());
}

static void
on_order_response (struct evhttp_request *request, void *context)
{
  struct controller_order *order = context;
  int status = request != NULL ? evhttp_request_get_response_code (request) : 0;

  /* Without a status it is unknown whether the order arrived. */
  report_order_result (order, status != 0 ? convert_status_to_result (status)
                                          : RESULT_ORDER_LOST);
  order->connection = NULL; /* evhttp frees it, see post_order */
  remove_order (order);
}

static bool
post_order (struct controller_order *order,
            const struct fleet_host *host,
            const char *body)
{
  struct timeval timeout = { .tv_sec = CONTROLLER_ORDER_TIMEOUT_MS / 1000 };
  struct evhttp_request *request;
  char name[FLEET_ADDRESS_SIZE + 8];

  order->connection = evhttp_connection_base_new (order->controller->base, NULL,
                                                  host->address, host->port);
  if (order->connection == NULL)
    return false;
  evhttp_connection_set_timeout_tv (order->connection, &timeout);
  evhttp_connection_free_on_completion (order->connection);
  request = evhttp_request_new (on_order_response, order);
  if (request == NULL)
    return false;
  snprintf (name, sizeof name, "%s:%u", host->address, host->port);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", name);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection",
                     "close");
  evbuffer_add (evhttp_request_get_output_buffer (request), body,
                strlen (body));
  return evhttp_make_request (order->connection, request, EVHTTP_REQ_POST,
                              "/v1/orders")
         == 0;
}

static char *
encode_order (const struct plan_order *order)
{
  json_t *json = plan_order_to_json (order);
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;

  json_decref (json);
  return text;
}

static struct controller_order *
add_order (struct controller *controller, const struct plan_order *plan_order)
{
  struct controller_order *order = calloc (1, sizeof *order);

  if (order == NULL)
    return NULL;
  order->controller = controller;
  memcpy (order->host, plan_order->host, sizeof order->host);
  memcpy (order->order_id, plan_order->order_id, sizeof order->order_id);
  order->next = controller->orders;
  controller->orders = order;
  return order;
}

void
controller_send_order (struct controller *controller,
                       const struct plan_order *plan_order,
                       int64_t now_ms)
{
  const struct fleet_host *host
      = fleet_find_host (controller->fleet, plan_order->host);
  struct controller_order *order = NULL;
  char *body = NULL;

  /* The lease is checked before each order because this process may have been
   * paused since the decision. */
  if (host != NULL && lease_may_act (&controller->lease, time_boot_ms ()))
    order = add_order (controller, plan_order);
  if (order != NULL)
    body = encode_order (plan_order);
  if (body == NULL || !post_order (order, host, body))
    {
      plan_on_order (&controller->plan, plan_order->host, plan_order->order_id,
                     RESULT_ENDPOINT_CONNECT, now_ms);
      if (order != NULL)
        remove_order (order);
      goto out;
    }
  controller->orders_sent++;
  LOG_EVENT (LOG_LEVEL_NOTICE, "order-sent", LOG_STR ("host", plan_order->host),
             LOG_STR ("op", plan_op_name (plan_order->op)),
             LOG_STR ("group", plan_order->group.id),
             LOG_U64 ("generation", plan_order->group.generation),
             LOG_U64 ("fence", plan_order->fence),
             LOG_STR ("order_id", plan_order->order_id),
             LOG_STR ("reason", plan_order->reason));

out:
  free (body);
}
