#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "checker.h"
#include "http-server.h"
#include "log.h"
#include "orders.h"
#include "timeutil.h"

/* Orders and checks to an endpoint that responds with one status, or not. */

#define WAIT_MS 10000

static struct http_server server;
static unsigned response_status;   /* 0 = none */
static unsigned requests_received; /* complete requests */
static bool lease_held;
static unsigned fenced_orders;
static unsigned lost_orders;

static void
ignore_head (void *context, const struct http_head *head)
{
  (void)context;
  (void)head;
}

static void
on_complete (void *context)
{
  char text[64];

  requests_received++;
  if (response_status == 0)
    return;
  snprintf (text, sizeof text, "HTTP/1.1 %u X\r\nContent-Length: 0\r\n\r\n",
            response_status);
  http_connection_write (context, text, strlen (text));
}

static const struct http_events events = {
  .head = ignore_head,
  .body = http_server_ignore_body,
  .complete = on_complete,
  .closed = http_server_on_closed,
};

static void
encode_order (const struct formation_order *order,
              uint64_t fence,
              struct http_text *target,
              struct http_text *body)
{
  (void)order;
  (void)fence;
  http_text_add_string (target, "/order");
  http_text_add_string (body, "{}");
}

static enum result
decode_order_status (unsigned status)
{
  return status == 412 ? RESULT_ORDER_FENCED : RESULT_OK;
}

static const struct platform_adapter adapter = {
  .encode_order = encode_order,
  .decode_order_status = decode_order_status,
  .endpoint_report_target = "/report",
};

static void
on_fenced (void *context, const char *endpoint)
{
  (void)context;
  assert_string_equal (endpoint, "e");
  fenced_orders++;
}

static void
on_lost (void *context, const char *endpoint)
{
  (void)context;
  assert_string_equal (endpoint, "e");
  lost_orders++;
}

static bool
is_lease_held (void *context, uint64_t fence)
{
  (void)context;
  assert_int_equal (fence, 1);
  return lease_held;
}

static const struct orders_hooks hooks
    = { NULL, on_fenced, on_lost, is_lease_held };

static void
start_server (void)
{
  fenced_orders = 0;
  lost_orders = 0;
  requests_received = 0;
  http_server_start (&server, &events, 64);
}

static void
run_loop (void)
{
  const struct timeval time = { 0, 10000 };

  event_base_loopexit (server.base, &time);
  event_base_loop (server.base, EVLOOP_ONCE);
}

struct order_case
{
  const char *guards; /* failure that the case guards against */
  unsigned status;
  bool lease_held; /* once connected */
  unsigned requests_received;
  unsigned fenced_orders;
  unsigned lost_orders;
};

static const struct order_case order_cases[] = {
  { "an accepted order counts as lost", 202, true, 1, 0, 0 },
  { "a fenced order is not reported", 412, true, 1, 1, 0 },
  { "an order without a response is not reported as lost", 0, true, 1, 0, 1 },
  { "an order is sent after its lease has ended", 202, false, 0, 0, 1 },
};

static void
test_orders (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof order_cases / sizeof order_cases[0]; i++)
    {
      const struct formation_order order
          = { .op = FORMATION_OPEN, .endpoint = "e", .group = "g" };
      struct orders orders;
      int64_t until_ms = time_boot_ms () + WAIT_MS;

      start_server ();
      response_status = order_cases[i].status;
      lease_held = order_cases[i].lease_held;
      orders_init (&orders, server.base, &adapter, &hooks);
      orders_send (&orders, &order, 1, "127.0.0.1", server.port,
                   time_boot_ms ());
      while (!TAILQ_EMPTY (&orders.calls) && time_boot_ms () < until_ms)
        {
          run_loop ();
          orders_tick (&orders, time_boot_ms ());
        }
      if (fenced_orders != order_cases[i].fenced_orders
          || lost_orders != order_cases[i].lost_orders)
        fail_msg ("%s: %u fenced, %u lost", order_cases[i].guards,
                  fenced_orders, lost_orders);
      if (requests_received != order_cases[i].requests_received)
        fail_msg ("%s: %u sent", order_cases[i].guards, requests_received);
      orders_finish (&orders);
      http_server_stop (&server);
    }
}

/* Two checks without a response make an endpoint silent; responses clear it. */
static void
test_silent_endpoint (void **state)
{
  struct endpoint_report report = { .address = "127.0.0.1" };
  struct endpoints endpoints;
  struct checker checker;
  int64_t until_ms;

  (void)state;
  start_server ();
  report.port = server.port;
  endpoints_init (&endpoints, NULL, NULL);
  endpoints_report (&endpoints, "e", &report, 1, 0);
  checker_init (&checker, server.base, &adapter, &endpoints);
  response_status = 0;
  until_ms = time_boot_ms () + WAIT_MS;
  checker_suspect (&checker, "e", time_boot_ms ());
  assert_false (checker_is_silent (&checker, "e"));
  while (!checker_is_silent (&checker, "e") && time_boot_ms () < until_ms)
    {
      checker_tick (&checker, time_boot_ms ());
      run_loop ();
    }
  assert_true (checker_is_silent (&checker, "e"));
  assert_in_range (checker.checks_sent, 2, 3);
  response_status = 200;
  while (checker.checks != NULL && time_boot_ms () < until_ms)
    {
      checker_tick (&checker, time_boot_ms ());
      run_loop ();
    }
  assert_false (checker_is_silent (&checker, "e"));
  assert_null (checker.checks);
  checker_finish (&checker);
  endpoints_finish (&endpoints);
  http_server_stop (&server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_orders),
    cmocka_unit_test (test_silent_endpoint),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
