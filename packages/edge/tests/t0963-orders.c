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

/* Orders and checks against an endpoint that answers one status, or none. */

#define WAIT_MS 10000

static struct http_server server;
static unsigned answer_status; /* 0 = none */
static unsigned answered;      /* whole requests that arrived */
static bool lease_holds;
static unsigned fenced;
static unsigned lost;

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

  answered++;
  if (answer_status == 0)
    return;
  snprintf (text, sizeof text, "HTTP/1.1 %u X\r\nContent-Length: 0\r\n\r\n",
            answer_status);
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

static const struct adapter adapter = {
  .encode_order = encode_order,
  .decode_order_status = decode_order_status,
  .endpoint_report_target = "/report",
};

static void
on_fenced (void *context, const char *endpoint)
{
  (void)context;
  assert_string_equal (endpoint, "e");
  fenced++;
}

static void
on_lost (void *context, const char *endpoint)
{
  (void)context;
  assert_string_equal (endpoint, "e");
  lost++;
}

static bool
holds (void *context, uint64_t fence)
{
  (void)context;
  assert_int_equal (fence, 1);
  return lease_holds;
}

static const struct orders_hooks hooks = { NULL, on_fenced, on_lost, holds };

static void
start (void)
{
  fenced = 0;
  lost = 0;
  answered = 0;
  http_server_start (&server, &events, 64);
}

static void
step (void)
{
  const struct timeval time = { 0, 10000 };

  event_base_loopexit (server.base, &time);
  event_base_loop (server.base, EVLOOP_ONCE);
}

struct order_case
{
  const char *guards;
  unsigned status;
  bool lease_holds; /* when the connection is there */
  unsigned sent;
  unsigned fenced;
  unsigned lost;
};

static const struct order_case cases[] = {
  { "a good order counts as lost", 202, true, 1, 0, 0 },
  { "a fenced order goes unnoticed", 412, true, 1, 1, 0 },
  { "an order without an answer goes unnoticed", 0, true, 1, 0, 1 },
  { "an order goes out after its lease", 202, false, 0, 0, 1 },
};

static void
test_orders (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct formation_order order
          = { .op = FORMATION_OPEN, .endpoint = "e", .group = "g" };
      struct orders orders;
      int64_t until_ms = time_boot_ms () + WAIT_MS;

      start ();
      answer_status = cases[i].status;
      lease_holds = cases[i].lease_holds;
      orders_init (&orders, server.base, &adapter, &hooks);
      orders_send (&orders, &order, 1, "127.0.0.1", server.port,
                   time_boot_ms ());
      while (!TAILQ_EMPTY (&orders.calls) && time_boot_ms () < until_ms)
        {
          step ();
          orders_tick (&orders, time_boot_ms ());
        }
      if (fenced != cases[i].fenced || lost != cases[i].lost)
        fail_msg ("%s: %u fenced, %u lost", cases[i].guards, fenced, lost);
      if (answered != cases[i].sent)
        fail_msg ("%s: %u sent", cases[i].guards, answered);
      orders_finish (&orders);
      http_server_stop (&server);
    }
}

/* Silent after two checks without an answer, cleared by an answer. */
static void
test_checks (void **state)
{
  struct endpoint_report report = { .address = "127.0.0.1" };
  struct endpoints endpoints;
  struct checker checker;
  int64_t until_ms;

  (void)state;
  start ();
  report.port = server.port;
  endpoints_init (&endpoints, NULL, NULL);
  endpoints_report (&endpoints, "e", &report, 1, 0);
  checker_init (&checker, server.base, &adapter, &endpoints);
  answer_status = 0;
  until_ms = time_boot_ms () + WAIT_MS;
  checker_suspect (&checker, "e", time_boot_ms ());
  assert_false (checker_is_silent (&checker, "e"));
  while (!checker_is_silent (&checker, "e") && time_boot_ms () < until_ms)
    {
      checker_tick (&checker, time_boot_ms ());
      step ();
    }
  assert_true (checker_is_silent (&checker, "e"));
  assert_in_range (checker.checks_sent, 2, 3);
  answer_status = 200;
  while (checker.checks != NULL && time_boot_ms () < until_ms)
    {
      checker_tick (&checker, time_boot_ms ());
      step ();
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
    cmocka_unit_test (test_checks),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
