#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Guards against a process that runs out of memory because many responses at
 * once have no end, or stop short of a limit: the sum over all connections
 * stays within the memory of the process.
 */

#define CROWD 64
#define MEMORY_BYTES (6U << 20)
#define CROWD_REQUEST                                                          \
  "GET /r/1 HTTP/1.1\r\nHost: h\r\nX-Id: c\r\n" KEY "X-Deadline: 1500\r\n\r\n"
#define X64 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
#define CROWD_HEAD "HTTP/1.1 200 OK\r\nX-Id: c\r\nX-Seal: s\r\n"

struct crowd_case
{
  const char *name;
  enum catalog_kind kind;
  const char *response;
  const char *flood;
  size_t flood_bytes; /* after which the endpoint is silent; 0 = no end */
};

static const struct crowd_case cases[] = {
  { "fields", CATALOG_UNSAFE, CROWD_HEAD, "X-Field: " X64 "\r\n" },
  { "short fields", CATALOG_UNSAFE, CROWD_HEAD, "a:\r\n" },
  { "a field", CATALOG_UNSAFE, CROWD_HEAD "X-Field: ", X64 },
  { "fields that stop short of the limit", CATALOG_UNSAFE, CROWD_HEAD,
    "X-Field: " X64 "\r\n", 60000 },
  { "short fields that stop short of the limit", CATALOG_UNSAFE, CROWD_HEAD,
    "a:\r\n", 50000 },
  { "interim responses", CATALOG_UNSAFE, "HTTP/1.1 100 Go\r\n\r\n",
    "HTTP/1.1 100 Go\r\nX-Field: " X64 "\r\n\r\n" },
  { "a body", CATALOG_UNSAFE, CROWD_HEAD "\r\n", X64 },
  { "a body with a length", CATALOG_UNSAFE,
    CROWD_HEAD "Content-Length: 8000000\r\n\r\n", X64 },
  { "a body that stops short", CATALOG_UNSAFE,
    CROWD_HEAD "Content-Length: 65537\r\n\r\n", X64, 65000 },
  { "an event", CATALOG_STREAM, CROWD_HEAD "\r\n", X64 },
  { "an event behind others", CATALOG_STREAM, CROWD_HEAD "\r\n" EVENT ("1"),
    X64 },
  { "an event that stops short of the limit", CATALOG_STREAM, CROWD_HEAD "\r\n",
    X64, 250000 },
  { "lines of one event", CATALOG_STREAM, CROWD_HEAD "\r\n", "x\n" },
  { "a body of another request", CATALOG_UNSAFE,
    "HTTP/1.1 200 OK\r\nX-Id: d\r\n\r\n", X64 },
};

/* A caller of the crowd; what it gets is not looked at, but for a success. */
struct crowd_caller
{
  struct http_connection connection;
  const struct crowd_case *c;
  bool is_success; /* a whole response below 300 */
  bool has_ended;
};

static struct crowd_caller crowd[CROWD];
static size_t max_total; /* of the account */

static void
crowd_connected (void *context)
{
  struct crowd_caller *caller = context;

  http_connection_write (&caller->connection, CROWD_REQUEST,
                         strlen (CROWD_REQUEST));
}

static void
crowd_head (void *context, const struct http_head *head)
{
  (void)context;
  (void)head;
}

static void
crowd_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
}

static void
crowd_complete (void *context)
{
  struct crowd_caller *caller = context;

  caller->has_ended = true;
  caller->is_success = caller->connection.head.status < 300;
}

static void
crowd_closed (void *context, enum http_end end)
{
  struct crowd_caller *caller = context;

  (void)end;
  caller->has_ended = true;
}

static const struct http_events crowd_events = {
  .connected = crowd_connected,
  .head = crowd_head,
  .body = crowd_body,
  .complete = crowd_complete,
  .closed = crowd_closed,
};

static void
endpoint_complete (void *context)
{
  static struct response response;
  struct fake_connection *fake = context;
  const struct crowd_case *c = crowd[0].c;
  struct http_text text;

  response
      = (struct response){ .flood = c->flood_bytes == 0 ? c->flood : NULL };
  fake->response = &response;
  http_text_init (&text);
  http_text_add_string (&text, c->response);
  while (text.size < c->flood_bytes)
    http_text_add_string (&text, c->flood);
  http_connection_write_text (&fake->connection, &text);
  fake_write_flood (fake);
}

static const struct http_events crowd_endpoint_events = {
  .head = fake_head,
  .body = fake_body,
  .complete = endpoint_complete,
  .closed = fake_closed,
};

static void
setup_crowd (const struct crowd_case *c, const struct relay_case *relay_case)
{
  const struct http_limits limits = { 65536, 65536 };

  setup (relay_case);
  memory_account_init (&test.relay.memory, MEMORY_BYTES, 0.5, 0.7);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      char id[8];
      struct endpoint_report report;

      snprintf (id, sizeof id, "e%u", i);
      report = endpoints_find (&test.endpoints, id)->report;
      report.slots = 2 * CROWD;
      endpoints_report (&test.endpoints, id, &report, 2, time_boot_ms ());
    }
  memset (crowd, 0, sizeof crowd);
  for (unsigned i = 0; i < CROWD; i++)
    {
      crowd[i].c = c;
      assert_int_equal (
          http_connection_connect (
              &crowd[i].connection, test.base, "127.0.0.1",
              net_bound_port (evconnlistener_get_fd (test.relay.listener)),
              2000, &limits, &crowd_events, &crowd[i]),
          RESULT_OK);
    }
}

static void
run_round (void)
{
  const struct timeval step = { 0, 2000 };

  event_base_loopexit (test.base, &step);
  event_base_loop (test.base, EVLOOP_ONCE);
  relay_tick (&test.relay, time_boot_ms ());
  fake_write_more ();
  if (test.relay.memory.peak > max_total)
    max_total = test.relay.memory.peak;
}

static bool
has_crowd_ended (void)
{
  for (unsigned i = 0; i < CROWD; i++)
    if (!crowd[i].has_ended)
      return false;
  return true;
}

static void
test_crowd (void **state)
{
  const struct crowd_case *c = *state;
  const struct relay_case ordinary
      = { .guards = c->name, .kind = c->kind, .attempts = 1, .request = "" };
  int64_t until_ms = time_boot_ms () + INT64_C (2) * WAIT_MS;

  max_total = 0;
  setup_crowd (c, &ordinary);
  while (!has_crowd_ended () && time_boot_ms () < until_ms
         && max_total <= MEMORY_BYTES)
    run_round ();
  if (max_total > MEMORY_BYTES)
    fail_msg ("%s: %zu of %u bytes held", c->name, max_total, MEMORY_BYTES);
  for (unsigned i = 0; i < CROWD; i++)
    {
      if (!crowd[i].has_ended || crowd[i].is_success)
        fail_msg ("%s: caller %u: ended %d, success %d", c->name, i,
                  crowd[i].has_ended, crowd[i].is_success);
      http_connection_finish (&crowd[i].connection);
    }
  teardown ();
  assert_int_equal (test.relay.memory.total, 0);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].name,
                                    .test_func = test_crowd,
                                    .initial_state = (void *)&cases[i] };
  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  endpoint_events = &crowd_endpoint_events;
  return cmocka_run_group_tests_name ("endless-crowd", tests, NULL, NULL);
}
