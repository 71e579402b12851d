#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "http-server.h"
#include "log.h"
#include "prober.h"
#include "timeutil.h"

/*
 * Guards against probes that take bytes for an attestation which are no
 * response of HTTP/1.1, or not the whole one, or have no end.
 */

#define WAIT_MS (INT64_C (2) * PROBER_TIMEOUT_MS)
#define OK "HTTP/1.1 200 OK\r\n"
#define STATE "{\"state\":\"ready\",\"boot_id\":\"b\"}"
#define REST "Content-Length: 31\r\n\r\n" STATE

struct probe_case
{
  const char *response;
  const char *flood; /* repeated behind the response; NULL = none */
  bool is_reset;     /* the connection is reset behind the response */
  bool is_valid;
};

static const struct probe_case cases[] = {
  { OK REST, NULL, false, true },
  { "HTTP/1.1 103 Early\r\n\r\n" OK REST, NULL, false, true },
  { "HTTP/1.1 000 OK\r\n" REST, NULL, false, false },
  { "HTTP/1.1 00200 OK\r\n"
    "X Other: 1\r\n" REST,
    NULL, false, false },
  { OK "X Other: 1\r\n" REST, NULL, false, false },
  { OK "X-Other : 1\r\n" REST, NULL, false, false },
  { OK "X\x01Other: 1\r\n" REST, NULL, false, false },
  { OK "\rX-Other: 1\r\n" REST, NULL, false, false },
  { OK "Content-Length : 9\r\n" REST, NULL, false, false },
  { OK "\r\n" STATE, NULL, true, false },
  { OK, "X-Field: xxxxxxxxxxxxxxxx\r\n", false, false },
  { OK "X-Field: ", "xxxxxxxxxxxxxxxx", false, false },
  { "", "HTTP/1.1 100 Go\r\n\r\n", false, false },
  { OK "Transfer-Encoding: chunked\r\n\r\n2;", "xxxxxxxx", false, false },
  { OK "\r\n", "xxxxxxxxxxxxxxxx", false, false },
};

/* What the endpoint can write before the prober closes, sockets included. */
#define FLOOD_LIMIT_BYTES (8U << 20)

static struct
{
  const struct probe_case *c;
  struct http_server server;
  struct http_connection *connection; /* that received the probe */
  size_t flood_bytes;
  uint64_t failures; /* of the prober */
} test;

static void
on_head (void *context, const struct http_head *head)
{
  (void)context;
  (void)head;
}

static void
on_complete (void *context)
{
  struct http_connection *connection = context;

  test.connection = connection;
  http_connection_write (connection, test.c->response,
                         strlen (test.c->response));
  if (test.c->is_reset)
    http_server_reset (connection);
}

static const struct http_events server_events = {
  .head = on_head,
  .body = http_server_ignore_body,
  .complete = on_complete,
  .closed = http_server_on_closed,
};

static void
send_flood (void)
{
  if (test.c->flood == NULL || test.connection == NULL
      || test.connection->fd < 0
      || http_connection_unwritten_bytes (test.connection) > 0)
    return;
  test.flood_bytes
      += http_server_write_repeated (test.connection, test.c->flood);
}

static void
add_host (struct fleet *fleet)
{
  struct fleet_host *host = fleet_add_host (fleet, "e1");

  snprintf (host->data_centre, sizeof host->data_centre, "dc1");
  snprintf (host->address, sizeof host->address, "127.0.0.1");
  host->port = test.server.port;
  host->listed = true;
}

/* Probes the host once; true if the prober has an attestation of it. */
static bool
probe (void)
{
  struct member_update self = { .incarnation = 1 };
  struct member_table members;
  struct fleet fleet;
  struct prober prober;
  int64_t until_ms = time_boot_ms () + WAIT_MS;
  bool is_attested;

  snprintf (self.host, sizeof self.host, "h1");
  snprintf (self.data_centre, sizeof self.data_centre, "dc1");
  member_init (&members, &self, 1, time_boot_ms ());
  fleet_init (&fleet);
  add_host (&fleet);
  prober_init (&prober, test.server.base, &fleet, &members, NULL);
  while (fleet_find_host (&fleet, "e1")->attested.seen_ms == FLEET_NEVER
         && prober.failures == 0 && test.flood_bytes <= FLOOD_LIMIT_BYTES
         && time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 5000 };

      prober_tick (&prober, time_boot_ms ());
      send_flood ();
      event_base_loopexit (test.server.base, &step);
      event_base_loop (test.server.base, EVLOOP_ONCE);
    }
  is_attested = fleet_find_host (&fleet, "e1")->attested.seen_ms != FLEET_NEVER;
  test.failures = prober.failures;
  prober_finish (&prober);
  fleet_finish (&fleet);
  member_finish (&members);
  return is_attested;
}

static void
test_probes (void **state)
{
  unsigned failed = 0;

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      bool is_attested;

      memset (&test, 0, sizeof test);
      test.c = &cases[i];
      http_server_start (&test.server, &server_events, 8);
      is_attested = probe ();
      if (is_attested != cases[i].is_valid
          || test.failures != (is_attested ? 0 : 1)
          || test.flood_bytes > FLOOD_LIMIT_BYTES)
        {
          print_error ("%s%s: attested %d, %d failures, %zu bytes read\n",
                       cases[i].response,
                       cases[i].flood != NULL ? cases[i].flood : "",
                       is_attested, (int)test.failures, test.flood_bytes);
          failed++;
        }
      http_server_stop (&test.server);
    }
  assert_int_equal (failed, 0);
}

/* Guards against an endpoint that never answers and is never given up. */
static void
test_silence (void **state)
{
  static const struct probe_case silent = { "", NULL, false, false };

  (void)state;
  memset (&test, 0, sizeof test);
  test.c = &silent;
  http_server_start (&test.server, &server_events, 8);
  assert_false (probe ());
  assert_int_equal (test.failures, 1);
  http_server_stop (&test.server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_probes),
    cmocka_unit_test (test_silence),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("prober", tests, NULL, NULL);
}
