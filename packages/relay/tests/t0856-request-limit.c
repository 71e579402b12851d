#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define ENDPOINTS 1
#include "relay-fixture.h"

/*
 * Callers press on one endpoint that names a request limit.  The bound is that
 * of the users' rule: one and a half times the limit in 4 s, and 5 requests.
 */

#define CALLERS 60
#define LIMIT_PER_S 5
#define LEARN_MS 100 /* in which one caller gets a response */
#define PRESS_MS 2000
#define REQUEST_BOUND (LIMIT_PER_S * 4 * 3 / 2 + 5)

struct caller
{
  struct http_connection connection;
  bool is_open;
};

static struct caller callers[CALLERS];
static unsigned received; /* requests at the endpoint */
static const char *limit_field;

static void
on_request_complete (void *context)
{
  struct fake_connection *fake = context;
  const char *id = strstr (fake->request.data, "X-Id: ");
  char text[256];

  received++;
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Id: %.*s\r\n%sContent-Length: 2\r\n\r\nok",
            (int)strcspn (id + 6, "\r"), id + 6, limit_field);
  http_connection_write (&fake->connection, text, strlen (text));
  http_connection_next_message (&fake->connection, false);
}

static const struct http_events limited_events = {
  .head = fake_head,
  .body = fake_body,
  .complete = on_request_complete,
  .closed = fake_closed,
};

static void
on_caller_connected (void *context)
{
  struct caller *caller = context;
  char text[256];

  snprintf (text, sizeof text,
            "GET /r/1 HTTP/1.1\r\nHost: h\r\nX-Id: c%d\r\n" KEY
            "X-Deadline: 2000\r\n\r\n",
            (int)(caller - callers));
  http_connection_write (&caller->connection, text, strlen (text));
}

static void
on_caller_head (void *context, const struct http_head *head)
{
  (void)context;
  (void)head;
}

static void
on_caller_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
}

static void
close_caller (struct caller *caller)
{
  if (caller->is_open)
    http_connection_finish (&caller->connection);
  caller->is_open = false;
}

static void
on_caller_complete (void *context)
{
  close_caller (context);
}

static void
on_caller_closed (void *context, enum http_end end)
{
  (void)end;
  close_caller (context);
}

static const struct http_events calls = {
  .connected = on_caller_connected,
  .head = on_caller_head,
  .body = on_caller_body,
  .complete = on_caller_complete,
  .closed = on_caller_closed,
};

/* Connects the callers that have no request, as often as they get answers. */
static void
connect_callers (unsigned count)
{
  const struct http_limits limits = { 65536, 65536 };

  for (unsigned i = 0; i < count; i++)
    {
      if (callers[i].is_open)
        continue;
      assert_int_equal (
          http_connection_connect (
              &callers[i].connection, test.base, "127.0.0.1",
              net_bound_port (evconnlistener_get_fd (test.relay.listener)),
              2000, &limits, &calls, &callers[i]),
          RESULT_OK);
      callers[i].is_open = true;
    }
}

static void
press (unsigned caller_count, int64_t for_ms)
{
  int64_t until_ms = time_boot_ms () + for_ms;

  while (time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 5000 };

      connect_callers (caller_count);
      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
    }
}

static const struct limit_case
{
  const char *guards;
  enum catalog_kind kind;
  const char *field;
  bool is_limited;
} cases[] = {
  { "an endpoint gets more requests than the limit that it names", CATALOG_SAFE,
    "X-Limit: 5\r\n", true },
  { "an endpoint gets more bookings than the limit that it names",
    CATALOG_UNSAFE, "X-Limit: 5.0\r\n", true },
  { "an endpoint without a limit is limited", CATALOG_SAFE, "", false },
  { "a limit that is no number is obeyed", CATALOG_SAFE, "X-Limit: few\r\n",
    false },
};

static void
test_request_limit (void **state)
{
  (void)state;
  endpoint_events = &limited_events;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct relay_case c = { .guards = cases[i].guards,
                                    .kind = cases[i].kind,
                                    .attempts = 2,
                                    .request = "" };

      setup (&c);
      limit_field = cases[i].field;
      press (1, LEARN_MS);
      received = 0;
      press (CALLERS, PRESS_MS);
      for (unsigned j = 0; j < CALLERS; j++)
        close_caller (&callers[j]);
      if ((received <= REQUEST_BOUND) != cases[i].is_limited)
        fail_msg ("%s: %u requests, bound %d", cases[i].guards, received,
                  REQUEST_BOUND);
      teardown ();
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_request_limit) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
