#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define ENDPOINTS 1
#include "relay-fixture.h"

/*
 * Callers send requests of two priorities, one after the other, to an endpoint
 * with one slot that takes HOLD_MS for each.  Checks the order in which they
 * reach it.
 */

#define CALLERS 3
#define HOLD_MS 250
#define SEND_INTERVAL_MS 30
#define OBJECTIVE_MS 1000
#define TIMEOUT_MS 4000

static const struct order_case
{
  const char *guards;
  bool has_priorities;
  struct
  {
    const char *path;
    int deadline_ms;
  } requests[CALLERS];
  const char *order; /* as they reach the endpoint */
  unsigned refusals; /* the endpoint refuses the first ones as not run */
  bool is_grouped;   /* the endpoint heads a group that serves a model */
} cases[] = {
  { "a less urgent request takes the slot that becomes free",
    true,
    { { "/low/", 4000 }, { "/low/", 4000 }, { "/high/", 4000 } },
    "021" },
  { "a late request takes the slot of one that can be in time",
    true,
    { { "/high/", 4000 }, { "/high/", 1900 }, { "/low/", 4000 } },
    "021" },
  { "the request with less time left waits longer",
    true,
    { { "/high/", 4000 }, { "/high/", 4000 }, { "/high/", 3300 } },
    "021" },
  { "a request whose caller has come back is refused and lost",
    true,
    { { "/high/", 4000 }, { "/high/", 1900 } },
    "01" },
  { "a request is lost once the only endpoint had no free slot",
    true,
    { { "/high/", 4000 } },
    "00",
    1 },
  { "a caller with a deadline a little below the timeout counts as back",
    true,
    { { "/high/", 4000 }, { "/high/", 4000 }, { "/high/", 3400 } },
    "012" },
  { "a late request gets no free slot of a group",
    true,
    { { "/high/", 4000 }, { "/high/", 2950 }, { "/high/", 2990 } },
    "012",
    .is_grouped = true },
  { "a service without priorities is served in another order than before",
    false,
    { { "/low/", 4000 }, { "/low/", 1900 }, { "/high/", 4000 } },
    "012" },
};

struct caller
{
  struct http_connection connection;
  const struct order_case *c;
  bool is_open;
  unsigned status;
};

static struct caller callers[CALLERS];
static const struct order_case *current;
static char order[CALLERS + 1]; /* numbers of the requests at the endpoint */
static struct fake_connection *held[CALLERS];
static char held_ids[CALLERS];
static int64_t held_since_ms[CALLERS];
static unsigned received;
static unsigned answered;

static void
on_request_complete (void *context)
{
  struct fake_connection *fake = context;
  const char *id = strstr (fake->request.data, "X-Id: ");

  assert_non_null (id);
  assert_in_range (received, 0, CALLERS - 1);
  order[received] = id[6];
  held_ids[received] = id[6];
  held[received] = fake;
  held_since_ms[received++] = time_boot_ms ();
  if (received > current->refusals)
    return;
  http_connection_write (&fake->connection, NOT_RUN, strlen (NOT_RUN));
  http_connection_next_message (&fake->connection, false);
  answered++;
}

static const struct http_events holding_events = {
  .head = fake_head,
  .body = fake_body,
  .complete = on_request_complete,
  .closed = fake_closed,
};

/* True once the relay has received all requests of the case. */
static bool
has_all_requests (void)
{
  const struct relay_request *request;
  unsigned count = answered;

  TAILQ_FOREACH (request, &test.relay.requests, link)
    count += request->phase != RELAY_READING;
  return count >= strlen (current->order);
}

/* Answers one request HOLD_MS after it and all others have arrived. */
static void
answer_held (void)
{
  char text[128];

  if (answered < received && !has_all_requests ())
    held_since_ms[answered] = time_boot_ms ();

  if (answered == received
      || time_boot_ms () - held_since_ms[answered] < HOLD_MS)
    return;
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Id: %c\r\nContent-Length: 2\r\n\r\nok",
            held_ids[answered]);
  http_connection_write (&held[answered]->connection, text, strlen (text));
  http_connection_next_message (&held[answered]->connection, false);
  answered++;
}

static void
on_caller_connected (void *context)
{
  struct caller *caller = context;
  int i = (int)(caller - callers);
  char text[256];

  snprintf (text, sizeof text,
            "GET %s1 HTTP/1.1\r\nHost: h\r\nX-Id: %d\r\nX-Deadline: %d\r\n"
            "X-Model: m\r\n\r\n",
            caller->c->requests[i].path, i, caller->c->requests[i].deadline_ms);
  http_connection_write (&caller->connection, text, strlen (text));
}

static void
on_caller_head (void *context, const struct http_head *head)
{
  struct caller *caller = context;

  caller->status = head->status;
}

static void
on_caller_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
}

static void
on_caller_complete (void *context)
{
  struct caller *caller = context;

  http_connection_finish (&caller->connection);
  caller->is_open = false;
}

static void
on_caller_closed (void *context, enum http_end end)
{
  (void)end;
  on_caller_complete (context);
}

static const struct http_events calls = {
  .connected = on_caller_connected,
  .head = on_caller_head,
  .body = on_caller_body,
  .complete = on_caller_complete,
  .closed = on_caller_closed,
};

static bool
has_open_caller (void)
{
  for (unsigned i = 0; i < CALLERS; i++)
    if (callers[i].is_open)
      return true;
  return false;
}

/* Runs for the time, or until all callers have got their responses. */
static void
run_for (int64_t for_ms)
{
  int64_t until_ms = time_boot_ms () + for_ms;

  while (time_boot_ms () < until_ms && has_open_caller ())
    {
      const struct timeval step = { 0, 5000 };

      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      answer_held ();
      relay_tick (&test.relay, time_boot_ms ());
    }
}

static struct catalog *
make_two_routes (const struct order_case *c)
{
  static const char *const prefixes[] = { "/high/", "/low/" };
  static struct catalog_target target = { "app", 1 };
  static struct catalog_model model
      = { .name = "m", .size = 1, .time_factor = 1 };
  struct catalog *catalog = catalog_new (2, 1, 0);

  catalog->version = 2;
  catalog->limits = (struct catalog_limits){ 16384, 1 << 20, 3000, 15000 };
  for (unsigned i = 0; i < 2; i++)
    {
      struct catalog_route *route = &catalog->routes[i];

      route->host = "h";
      route->prefix = prefixes[i];
      route->targets = &target;
      route->target_count = 1;
      route->attempts = 2;
      route->timeout_ms = TIMEOUT_MS;
      route->objective_ms = OBJECTIVE_MS;
      route->priority = c->has_priorities ? i : 1;
      catalog->route_count++;
      catalog_index_route (catalog, i);
    }
  catalog->services[0].name = "app";
  catalog->service_count = 1;
  if (c->is_grouped)
    {
      catalog->services[0].slots = 1;
      catalog->services[0].models = &model;
      catalog->services[0].model_count = 1;
    }
  catalog_index_services (catalog);
  return catalog;
}

static void
test_waiting_order (void **state)
{
  (void)state;
  endpoint_events = &holding_events;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct relay_case fixture
          = { .guards = cases[i].guards, .request = "" };
      const struct http_limits limits = { 65536, 65536 };
      struct endpoint_report *report;
      unsigned sends = (unsigned)strlen (cases[i].order);
      unsigned expected = sends - cases[i].refusals;

      current = &cases[i];
      setup (&fixture);
      received = 0;
      answered = 0;
      memset (order, 0, sizeof order);
      memset (callers, 0, sizeof callers);
      report = &endpoints_find (&test.endpoints, "e0")->report;
      report->slots = 1;
      report->state
          = cases[i].is_grouped ? ENDPOINT_GROUP_OPEN : ENDPOINT_GROUP_NONE;
      report->model = "m";
      relay_set_catalog (&test.relay, make_two_routes (&cases[i]));
      for (unsigned j = 0; j < expected; j++)
        {
          callers[j].c = &cases[i];
          assert_int_equal (
              http_connection_connect (
                  &callers[j].connection, test.base, "127.0.0.1",
                  net_bound_port (evconnlistener_get_fd (test.relay.listener)),
                  2000, &limits, &calls, &callers[j]),
              RESULT_OK);
          callers[j].is_open = true;
          run_for (SEND_INTERVAL_MS);
        }
      run_for (TIMEOUT_MS);
      if (strcmp (order, cases[i].order) != 0)
        fail_msg ("%s: order %s", cases[i].guards, order);
      for (unsigned j = 0; j < expected; j++)
        if (callers[j].is_open || callers[j].status != 200)
          fail_msg ("%s: request %u, status %u", cases[i].guards, j,
                    callers[j].status);
      teardown ();
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_waiting_order) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
