#include "orders.h"

#include "http-call.h"
#include "log.h"
#include "timeutil.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An order without a response for this long counts as lost. */
#define ORDER_TIMEOUT_MS 1500
/*
 * An endpoint that does not show the expected state is asked again after this
 * time: its report may be some hundred ms old.
 */
#define RECHECK_INTERVAL_MS 100

/* What the message in flight, or the next one, is for. */
enum order_step
{
  ORDER_READS_STATE, /* before a join: asks the endpoint for its state */
  ORDER_LEAVES,      /* before a join: orders it to leave its group */
  ORDER_SENDS,
};

struct order_call
{
  struct orders *orders;
  struct http_call *http; /* NULL = no message in flight */
  enum order_step step;
  struct http_text state;   /* the endpoint's report */
  uint64_t accepted_orders; /* by the endpoint, as far as is known */
  struct formation_order order;
  struct formation_basis basis;
  struct text_pool texts; /* of the order and its basis */
  char address[INET_ADDRSTRLEN];
  uint16_t port;
  uint64_t fence;
  bool was_sent;    /* the order itself, at least in part */
  bool is_outdated; /* the decision no longer stood when it was to be sent */
  int64_t sent_ms;
  int64_t next_ms; /* when the next message is due; without one in flight */
  TAILQ_ENTRY (order_call) link;
};

static void
end_message (struct order_call *call)
{
  if (call->http == NULL)
    return;
  http_call_finish (call->http);
  http_free_later (call->orders->base, call->http);
  call->http = NULL;
}

static void
close_call (struct order_call *call)
{
  TAILQ_REMOVE (&call->orders->calls, call, link);
  end_message (call);
  http_text_finish (&call->state);
  text_pool_finish (&call->texts);
  http_free_later (call->orders->base, call);
}

/* Logs the result, reports a fenced or lost order, and frees the call. */
static void
complete_call (struct order_call *call, enum result result, unsigned status)
{
  struct orders *orders = call->orders;

  LOG_EVENT (
      result == RESULT_OK ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "order-answered",
      LOG_STR ("op", formation_op_name (call->order.op)),
      LOG_STR ("endpoint", call->order.endpoint),
      LOG_STR ("group", call->order.group), LOG_U64 ("fence", call->fence),
      LOG_STR ("sent", call->was_sent ? "yes" : "no"),
      LOG_U64 ("status", status), LOG_INT ("code", result),
      LOG_INT ("after_ms", time_boot_ms () - call->sent_ms));
  if (result == RESULT_ORDER_FENCED)
    orders->hooks.fenced (orders->hooks.context, call->order.endpoint);
  if (result == RESULT_ORDER_LOST)
    orders->hooks.lost (orders->hooks.context, call->order.endpoint);
  close_call (call);
}

/*
 * Connecting may have taken long, or this host may have been suspended, so an
 * order is sent only if the lease of its fencing token is still held and the
 * decision stands.
 */
static bool
can_send (void *context)
{
  struct order_call *call = context;
  const struct orders_hooks *hooks = &call->orders->hooks;

  if (!hooks->is_lease_held (hooks->context, call->fence))
    return false;
  call->is_outdated = !hooks->is_current (hooks->context, call->order.op,
                                          call->order.endpoint,
                                          call->order.group, call->order.epoch);
  if (call->step == ORDER_SENDS && !call->is_outdated)
    call->was_sent = true;
  return !call->is_outdated;
}

static void on_message_done (void *context, bool has_response, unsigned status);

/* Takes ownership of the request. */
static void
start_message (struct order_call *call, struct http_text *request)
{
  struct http_call *http = calloc (1, sizeof *http);

  if (http == NULL)
    http_text_finish (request);
  else if (http_call_start (http, call->orders->base, call->address, call->port,
                            ORDER_TIMEOUT_MS, request, on_message_done, call)
           != RESULT_OK)
    {
      free (http);
      http = NULL;
    }
  call->http = http;
  if (http == NULL)
    {
      complete_call (call, RESULT_ORDER_LOST, 0);
      return;
    }
  http->may_send = can_send;
  if (call->step != ORDER_READS_STATE)
    return;
  http_text_reset (&call->state);
  http->body = &call->state;
}

/*
 * Names the endpoint that is meant: another one may have its address by now,
 * and refuses what is not for it.
 */
static void
add_expected_endpoint (const struct order_call *call, struct http_text *request)
{
  const struct relay_names *names = call->orders->adapter->header_names;

  if (names != NULL)
    http_text_format (request, "%s: %s\r\n", names->expected_endpoint,
                      call->order.endpoint);
}

/* Sends the order, for a join on condition of the number of orders so far. */
static void
send_order (struct order_call *call,
            enum order_step step,
            const struct formation_order *order)
{
  const struct orders *orders = call->orders;
  struct http_text request;
  struct http_text target;
  struct http_text body;

  call->step = step;
  http_text_init (&request);
  http_text_init (&target);
  http_text_init (&body);
  orders->adapter->encode_order (
      order, call->fence,
      call->order.basis != NULL ? &call->accepted_orders : NULL, &target,
      &body);
  http_text_format (&request,
                    "POST %s HTTP/1.1\r\nHost: %s:%u\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\nConnection: close\r\n",
                    target.data != NULL ? target.data : "/", call->address,
                    call->port, body.size);
  add_expected_endpoint (call, &request);
  http_text_add_string (&request, "\r\n");
  http_text_add (&request, body.data, body.size);
  if (target.failed || body.failed)
    request.failed = true;
  http_text_finish (&target);
  http_text_finish (&body);
  start_message (call, &request);
}

static void
send_leave (struct order_call *call)
{
  const struct formation_order leave = {
    .op = FORMATION_LEAVE,
    .endpoint = call->order.endpoint,
    .group = call->basis.group,
    .epoch = call->basis.epoch,
    .model = "",
  };

  send_order (call, ORDER_LEAVES, &leave);
}

static void
read_state (struct order_call *call)
{
  struct http_text request;

  call->step = ORDER_READS_STATE;
  http_text_init (&request);
  http_text_format (&request,
                    "GET %s HTTP/1.1\r\nHost: %s:%u\r\n"
                    "Connection: close\r\n",
                    call->orders->adapter->endpoint_report_target,
                    call->address, call->port);
  add_expected_endpoint (call, &request);
  http_text_add_string (&request, "\r\n");
  start_message (call, &request);
}

/* Asks for the state again a little later; orders_tick ends the call in time.
 */
static void
read_state_later (struct order_call *call)
{
  call->step = ORDER_READS_STATE;
  call->next_ms = time_boot_ms () + RECHECK_INTERVAL_MS;
}

static void
act_on_state (struct order_call *call, unsigned status)
{
  json_t *json = json_loadb (call->state.data != NULL ? call->state.data : "",
                             call->state.size, 0, NULL);
  struct endpoint_report report;
  enum formation_join_step step = FORMATION_JOIN_RETRY;

  /* The report refers to texts of the JSON. */
  if (call->orders->adapter->decode_endpoint_state (json, &report) == RESULT_OK)
    step = formation_check_join (&call->basis, call->order.group,
                                 call->order.epoch, &report);
  json_decref (json);
  switch (step)
    {
    case FORMATION_JOIN_SEND:
      call->accepted_orders = report.orders;
      send_order (call, ORDER_SENDS, &call->order);
      break;
    case FORMATION_JOIN_LEAVE_FIRST:
      call->accepted_orders = report.orders;
      send_leave (call);
      break;
    case FORMATION_JOIN_RETRY:
      read_state_later (call);
      break;
    case FORMATION_JOIN_DROP:
      complete_call (call, RESULT_ORDER_OUTDATED, status);
      break;
    }
}

static void
on_message_done (void *context, bool has_response, unsigned status)
{
  struct order_call *call = context;
  enum result result;

  end_message (call);
  if (!has_response)
    {
      complete_call (
          call, call->is_outdated ? RESULT_ORDER_OUTDATED : RESULT_ORDER_LOST,
          0);
      return;
    }
  result = call->orders->adapter->decode_order_status (status);
  /* Another endpoint has the address by now. */
  if (result == RESULT_ENDPOINT_WRONG_GROUP)
    {
      complete_call (call, result, status);
      return;
    }
  if (call->step == ORDER_READS_STATE)
    {
      act_on_state (call, status);
      return;
    }
  /* The endpoint has accepted another order since it was asked. */
  if (result == RESULT_ORDER_FAILED && call->order.basis != NULL)
    read_state_later (call);
  else if (result == RESULT_OK && call->step == ORDER_LEAVES)
    {
      call->accepted_orders++;
      send_order (call, ORDER_SENDS, &call->order);
    }
  else
    complete_call (call, result, status);
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

/* False if memory is short. */
static bool
copy_order (struct order_call *call, const struct formation_order *order)
{
  struct text_pool *texts = &call->texts;
  const char **members = NULL;

  text_pool_init (texts);
  call->order = *order;
  call->order.endpoint = text_pool_add (texts, order->endpoint);
  call->order.group = text_pool_add (texts, order->group);
  call->order.model
      = text_pool_add (texts, order->model != NULL ? order->model : "");
  call->order.reason = NULL;
  if (order->members != NULL)
    members = text_pool_allocate (texts, order->member_count, sizeof *members);
  for (unsigned i = 0; members != NULL && i < order->member_count; i++)
    members[i] = text_pool_add (texts, order->members[i]);
  call->order.members = members;
  if (order->basis != NULL)
    {
      call->basis = *order->basis;
      call->basis.group = text_pool_add (texts, order->basis->group);
      call->order.basis = &call->basis;
    }
  return !texts->failed;
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

  if (call == NULL || !copy_order (call, order))
    {
      LOG_EVENT (LOG_LEVEL_WARNING, "order-not-sent",
                 LOG_STR ("op", formation_op_name (order->op)),
                 LOG_STR ("endpoint", order->endpoint));
      if (call != NULL)
        text_pool_finish (&call->texts);
      free (call);
      return;
    }
  call->orders = orders;
  call->fence = fence;
  call->sent_ms = now_ms;
  call->port = port;
  snprintf (call->address, sizeof call->address, "%s", address);
  http_text_init (&call->state);
  TAILQ_INSERT_TAIL (&orders->calls, call, link);
  if (order->basis != NULL)
    read_state (call);
  else
    send_order (call, ORDER_SENDS, &call->order);
}

void
orders_tick (struct orders *orders, int64_t now_ms)
{
  struct order_call *call = TAILQ_FIRST (&orders->calls);

  while (call != NULL)
    {
      struct order_call *next = TAILQ_NEXT (call, link);

      if (now_ms - call->sent_ms >= ORDER_TIMEOUT_MS)
        complete_call (
            call,
            call->http != NULL ? RESULT_ORDER_LOST : RESULT_ORDER_OUTDATED, 0);
      else if (call->http == NULL && now_ms >= call->next_ms)
        read_state (call);
      call = next;
    }
}
