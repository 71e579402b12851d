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
#include "leader.h"
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
              const uint64_t *expected_orders,
              struct http_text *target,
              struct http_text *body)
{
  (void)order;
  (void)fence;
  (void)expected_orders;
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

/* An endpoint that is asked for its state before it is ordered to join. */

#define STEP_LIMIT 8
#define NO_RESPONSE 1

struct join_step
{
  const char *state; /* "GROUP ORDERS", or NULL: the message is an order */
  unsigned status;   /* of the response, or NO_RESPONSE; 0 = no such step */
};

struct join_case
{
  const char *guards;                 /* failure that the case guards against */
  const char *basis;                  /* group that the decision is based on */
  bool is_current;                    /* the decision still stands */
  struct join_step steps[STEP_LIMIT]; /* what the endpoint responds */
  const char *received;               /* orders, with their conditions */
  unsigned lost_orders;
};

static const struct join_case *join_case;
static unsigned step_count;
static bool is_report_requested;
static char received[256]; /* "OP GROUP ORDERS;" for each order */

static void
encode_join (const struct formation_order *order,
             uint64_t fence,
             const uint64_t *expected_orders,
             struct http_text *target,
             struct http_text *body)
{
  (void)fence;
  http_text_add_string (target, "/order");
  http_text_format (body, "%s %s %lld;", formation_op_name (order->op),
                    order->group,
                    expected_orders != NULL ? (long long)*expected_orders : -1);
}

static enum result
decode_join_status (unsigned status)
{
  return status == 409 ? RESULT_ORDER_FAILED : RESULT_OK;
}

static enum result
decode_state (const json_t *value, struct endpoint_report *report)
{
  const char *group = json_string_value (json_object_get (value, "group"));
  json_int_t orders = json_integer_value (json_object_get (value, "orders"));

  memset (report, 0, sizeof *report);
  if (group == NULL)
    return RESULT_INVALID;
  report->orders = (uint64_t)orders;
  report->group = group;
  if (group[0] != '\0')
    {
      report->state = ENDPOINT_GROUP_READY;
      report->epoch = 3;
    }
  return RESULT_OK;
}

static const struct relay_names join_names = { .expected_endpoint = "For" };

static const struct platform_adapter join_adapter = {
  .header_names = &join_names,
  .encode_order = encode_join,
  .decode_order_status = decode_join_status,
  .endpoint_report_target = "/report",
  .decode_endpoint_state = decode_state,
};

static void
on_join_head (void *context, const struct http_head *head)
{
  const char *endpoint = http_head_get (head, "For");

  (void)context;
  is_report_requested = strcmp (http_head_target (head), "/report") == 0;
  if (endpoint == NULL || strcmp (endpoint, "e") != 0)
    fail_msg ("an order reaches another endpoint at the same address");
}

static void
on_join_body (void *context, const char *data, size_t size)
{
  size_t used = strlen (received);

  (void)context;
  snprintf (received + used, sizeof received - used, "%.*s", (int)size, data);
}

static void
on_join_complete (void *context)
{
  const struct join_step *step = &join_case->steps[step_count];
  char body[128] = "";
  char text[256];

  if (step->state == NULL && step->status <= NO_RESPONSE)
    return;
  if (is_report_requested && step->state == NULL)
    fail_msg ("%s: asked for its state at step %u", join_case->guards,
              step_count);
  if (step->state != NULL)
    {
      char group[32] = "";
      unsigned orders = 0;

      if (sscanf (step->state, "%31s %u", group, &orders) == 2)
        snprintf (body, sizeof body, "{\"group\":\"%s\",\"orders\":%u}",
                  strcmp (group, "-") == 0 ? "" : group, orders);
      else
        snprintf (body, sizeof body, "%s", step->state);
    }
  snprintf (text, sizeof text, "HTTP/1.1 %u X\r\nContent-Length: %zu\r\n\r\n%s",
            step->state != NULL ? 200 : step->status, strlen (body), body);
  /* Asked for its state again, it repeats the last one. */
  if (step[1].state != NULL || step[1].status != 0 || step->state == NULL)
    step_count++;
  http_connection_write (context, text, strlen (text));
}

static const struct http_events join_events = {
  .head = on_join_head,
  .body = on_join_body,
  .complete = on_join_complete,
  .closed = http_server_on_closed,
};

/* clang-format off */
static const struct join_case join_cases[] = {
  { "an endpoint is joined without knowing its state", "", true,
    { { "- 7", 0 }, { NULL, 202 } }, "join new 7;", 0 },
  { "an endpoint that is elsewhere by now is joined", "", true,
    { { "late 7", 0 } }, "", 0 },
  { "an endpoint joins while it is in a group", "old", true,
    { { "old 7", 0 }, { NULL, 200 }, { NULL, 202 } }, "leave old 7;join new 8;", 0 },
  { "an endpoint leaves a group that the decision did not know", "old", true,
    { { "late 7", 0 } }, "", 0 },
  { "a join is given up when another order came between", "", true,
    { { "- 7", 0 }, { NULL, 409 }, { "- 8", 0 }, { NULL, 202 } }, "join new 7;join new 8;", 0 },
  { "an endpoint joins that another order kept from leaving", "old", true,
    { { "old 7", 0 }, { NULL, 409 }, { "late 8", 0 } }, "leave old 7;", 0 },
  { "a state that cannot be read counts as no group", "", true,
    { { "{}", 0 }, { "- 7", 0 }, { NULL, 202 } }, "join new 7;", 0 },
  { "an order is sent though its group was given up", "", false,
    { { "- 7", 0 } }, "", 0 },
  { "a join without a response is not reported as lost", "", true,
    { { "- 7", 0 }, { NULL, NO_RESPONSE } }, "join new 7;", 1 },
};
/* clang-format on */

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

static bool
is_current (void *context,
            enum formation_op op,
            const char *endpoint,
            const char *group,
            uint64_t epoch)
{
  (void)context;
  (void)op;
  (void)endpoint;
  (void)group;
  (void)epoch;
  return join_case == NULL || join_case->is_current;
}

static const struct orders_hooks hooks
    = { NULL, on_fenced, on_lost, is_lease_held, is_current };

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

static void
test_joins (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof join_cases / sizeof join_cases[0]; i++)
    {
      struct formation_basis basis = { .started_ms = 0 };
      const struct formation_order order = { .op = FORMATION_JOIN,
                                             .endpoint = "e",
                                             .group = "new",
                                             .epoch = 5,
                                             .model = "m",
                                             .basis = &basis };
      struct orders orders;
      int64_t until_ms = time_boot_ms () + WAIT_MS;

      join_case = &join_cases[i];
      step_count = 0;
      received[0] = '\0';
      lost_orders = 0;
      lease_held = true;
      basis.group = join_case->basis;
      basis.epoch = join_case->basis[0] != '\0' ? 3 : 0;
      http_server_start (&server, &join_events, 64);
      orders_init (&orders, server.base, &join_adapter, &hooks);
      orders_send (&orders, &order, 1, "127.0.0.1", server.port,
                   time_boot_ms ());
      while (!TAILQ_EMPTY (&orders.calls) && time_boot_ms () < until_ms)
        {
          run_loop ();
          orders_tick (&orders, time_boot_ms ());
        }
      if (strcmp (received, join_case->received) != 0
          || lost_orders != join_case->lost_orders)
        fail_msg ("%s: \"%s\", %u lost", join_case->guards, received,
                  lost_orders);
      orders_finish (&orders);
      http_server_stop (&server);
    }
  join_case = NULL;
}

struct release_case
{
  const char *guards;
  unsigned status; /* of the response to the order; 0 = none */
  bool has_order;
};

static const struct release_case release_cases[] = {
  { "a lease without orders is kept", 0, false },
  { "a lease is kept after its order was answered", 202, true },
  { "a lease is released while its order is not answered", 0, true },
};

/* A holder that stops hands its lease over once its orders are answered. */
/* Not called: the lease has a request in flight. */
static struct records records;

static void
test_release_after_orders (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof release_cases / sizeof release_cases[0]; i++)
    {
      const struct release_case *c = &release_cases[i];
      const struct formation_settings settings = { .data_centre = "a" };
      const struct formation_order order
          = { .op = FORMATION_LEAVE, .endpoint = "e", .group = "g" };
      struct endpoints endpoints;
      struct leader *leader = calloc (1, sizeof *leader);
      int64_t until_ms = time_boot_ms () + WAIT_MS;

      assert_non_null (leader);
      start_server ();
      response_status = c->status;
      endpoints_init (&endpoints, NULL, NULL);
      leader_init (leader, server.base, &adapter, &records, &endpoints,
                   &settings, "self");
      leader->lease.phase = LEASE_HOLDING;
      leader->lease.valid_until_ms = time_boot_ms () + WAIT_MS;
      leader->lease.request_in_flight = LEASE_READ; /* no other request */
      if (c->has_order)
        orders_send (&leader->orders, &order, 0, "127.0.0.1", server.port,
                     time_boot_ms ());
      while (c->has_order && requests_received == 0
             && time_boot_ms () < until_ms)
        run_loop ();
      leader_release_lease (leader);
      do
        {
          run_loop ();
          leader_tick (leader, NULL, false, false, LEADER_OTHER, INT64_MIN,
                       time_boot_ms ());
          if (leader->lease.releasing && !TAILQ_EMPTY (&leader->orders.calls))
            fail_msg ("%s", c->guards);
          assert_false (leader_may_form (leader, time_boot_ms ()));
        }
      while (!leader->lease.releasing && time_boot_ms () < until_ms);
      if (!leader->lease.releasing)
        fail_msg ("%s", c->guards);
      leader_finish (leader);
      endpoints_finish (&endpoints);
      free (leader);
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
    cmocka_unit_test (test_joins),
    cmocka_unit_test (test_release_after_orders),
    cmocka_unit_test (test_silent_endpoint),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
