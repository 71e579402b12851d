#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../src/controller-internal.h"
#include "http-server.h"
#include "log.h"
#include "timeutil.h"

/* Orders to an engine that responds with one status, or not, in virtual time.
 */

#define START_MS 100000
#define WAIT_TURNS 2000

static int64_t clock_ms;

int64_t
time_boot_ms (void)
{
  return clock_ms;
}

int64_t
time_wall_ms (void)
{
  return clock_ms;
}

static struct http_server server;
static unsigned response_status;   /* 0 = none */
static unsigned requests_received; /* complete requests */

static void
on_head (void *context, const struct http_head *head)
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
  .head = on_head,
  .body = http_server_ignore_body,
  .complete = on_complete,
  .closed = http_server_on_closed,
};

enum interruption
{
  NONE,
  LEASE_ENDS,    /* its validity ends before the connection is there */
  TOKEN_GROWS,   /* the lease was lost and acquired again meanwhile */
  HOST_SLEEPS,   /* this process is paused meanwhile */
  ENGINE_CLOSED, /* nothing listens */
  NO_CONNECTION  /* connecting takes without end */
};

struct order_case
{
  const char *guarded_failure;
  unsigned status;
  enum interruption interruption;
  unsigned requests_received;
  bool was_order_lost;
  int64_t earliest_repeat_ms; /* after the order was decided */
};

static const struct order_case cases[] = {
  { "an accepted order counts as lost", 200, NONE, 1, false, 2000 },
  { "a fenced order counts as lost", 409, NONE, 1, false, 1000 },
  { "a failed order counts as lost", 500, NONE, 1, false, 1000 },
  { "an order without a response does not count as lost", 0, NONE, 1, true,
    CONTROLLER_ORDER_TIMEOUT_MS },
  { "an order is sent after its lease has ended", 200, LEASE_ENDS, 0, false,
    1000 },
  { "an order is sent with the token of an earlier lease", 200, TOKEN_GROWS, 0,
    false, 1000 },
  { "a paused process sends an order that counts as lost", 200, HOST_SLEEPS, 0,
    false, 1000 },
  { "an order that was not sent counts as lost", 200, ENGINE_CLOSED, 0, false,
    1000 },
  { "an order that cannot be sent is waited for like one that was", 200,
    NO_CONNECTION, 0, false, 1000 },
};

struct test_env
{
  struct controller controller;
  struct fleet fleet;
  struct history history;
  struct placement placement;
  struct plan_steps steps;
};

/* A controller that holds the lease, and an engine that runs what it should
   not, so that the plan orders its release. */
static void
start_env (struct test_env *env)
{
  struct history_settings history_settings;
  struct plan_settings plan_settings;
  struct fleet_host *host;

  memset (env, 0, sizeof *env);
  clock_ms = START_MS;
  requests_received = 0;
  http_server_start (&server, &events, 64);
  fleet_init (&env->fleet);
  host = fleet_add_host (&env->fleet, "e");
  assert_non_null (host);
  snprintf (host->address, sizeof host->address, "127.0.0.1");
  snprintf (host->data_centre, sizeof host->data_centre, "dc");
  snprintf (host->attested.group, sizeof host->attested.group, "g");
  host->port = server.port;
  host->listed = true;
  host->checks_fence = true;
  host->attested.seen_ms = clock_ms;
  history_settings_init (&history_settings);
  history_init (&env->history, &history_settings, "dc");
  plan_settings_init (&plan_settings);
  env->controller.base = server.base;
  env->controller.fleet = &env->fleet;
  env->controller.lease.phase = LEASE_HOLDING;
  env->controller.lease.value.fence = 1;
  env->controller.lease.valid_until_ms = INT64_MAX;
  plan_init (&env->controller.plan, &plan_settings, "dc", "self");
  controller_orders_init (&env->controller);
  plan_steps_init (&env->steps);
}

static void
finish_env (struct test_env *env)
{
  controller_orders_finish (&env->controller);
  plan_steps_finish (&env->steps);
  plan_finish (&env->controller.plan);
  history_finish (&env->history);
  fleet_finish (&env->fleet);
  http_server_stop (&server);
}

static void
compute_steps (struct test_env *env)
{
  assert_int_equal (plan_compute_steps (&env->controller.plan,
                                        &env->controller.lease, &env->fleet,
                                        &env->placement, &env->history,
                                        clock_ms, &env->steps),
                    RESULT_OK);
}

static void
interrupt (struct test_env *env, enum interruption interruption)
{
  switch (interruption)
    {
    case NONE:
    case NO_CONNECTION:
      break;
    case LEASE_ENDS:
      env->controller.lease.valid_until_ms = clock_ms;
      break;
    case TOKEN_GROWS:
      env->controller.lease.value.fence++;
      break;
    case HOST_SLEEPS:
      clock_ms += CONTROLLER_ORDER_TIMEOUT_MS - 1;
      break;
    case ENGINE_CLOSED:
      evconnlistener_disable (server.listener);
      shutdown (evconnlistener_get_fd (server.listener), SHUT_RDWR);
      break;
    }
}

static void
run_loop (void)
{
  const struct timeval time = { 0, 1000 };

  event_base_loopexit (server.base, &time);
  event_base_loop (server.base, EVLOOP_ONCE);
}

static void
run_case (struct test_env *env, const struct order_case *test)
{
  const struct plan_host_state *state;

  response_status = test->status;
  if (test->interruption == ENGINE_CLOSED)
    interrupt (env, test->interruption);
  compute_steps (env);
  plan_on_read (&env->controller.plan, RESULT_PLATFORM_UNCHANGED, clock_ms);
  env->fleet.assignment_fence = 1;
  compute_steps (env);
  assert_int_equal (env->steps.order_count, 1);
  controller_send_order (&env->controller, &env->steps.orders[0], clock_ms);
  if (test->interruption != ENGINE_CLOSED)
    interrupt (env, test->interruption);
  HASH_FIND_STR (env->controller.plan.hosts, "e", state);
  if (state == NULL)
    {
      fail_msg ("no order");
      return;
    }
  for (unsigned i = 0; i < WAIT_TURNS && state->in_flight; i++)
    {
      if (test->interruption != NO_CONNECTION)
        run_loop ();
      /* An engine that does not respond is waited for. */
      if (test->interruption == NO_CONNECTION
          || (test->status == 0 && requests_received > 0))
        clock_ms += 100;
      controller_orders_tick (&env->controller, clock_ms);
    }
  assert_false (state->in_flight);
  assert_int_equal (requests_received, test->requests_received);
  assert_int_equal (state->was_order_lost, test->was_order_lost);
  if (!test->was_order_lost)
    assert_in_range (clock_ms, START_MS,
                     START_MS + CONTROLLER_ORDER_TIMEOUT_MS - 1);
  assert_in_range (state->not_before_ms, START_MS + test->earliest_repeat_ms,
                   clock_ms + test->earliest_repeat_ms);
}

static void
test_orders (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct test_env env;

      print_message ("guards against: %s\n", cases[i].guarded_failure);
      start_env (&env);
      run_case (&env, &cases[i]);
      finish_env (&env);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_orders),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("controller-orders", tests, NULL, NULL);
}
