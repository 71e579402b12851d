#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>

#include "http-call.h"
#include "http-server.h"
#include "log.h"
#include "timeutil.h"

/*
 * Guards against HTTP calls that lose a response, or that never end because the
 * server sends bytes without end.
 */

#define WAIT_MS 10000
#define X16 "xxxxxxxxxxxxxxxx"

struct call_case
{
  const char *guarded_failure;
  const char *address; /* of the server; NULL = 127.0.0.1 */
  const char *response;
  const char *flood_text; /* repeated after response until the connection
                             closes; NULL = none */
  bool may_send;
  bool has_response;
  unsigned status;
  unsigned requests; /* received by the server */
};

static const struct call_case cases[] = {
  { "a valid response is lost", NULL,
    "HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\nok", NULL, true, true, 202,
    1 },
  { "an IPv6 address is refused", "::ffff:127.0.0.1",
    "HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\nok", NULL, true, true, 202,
    1 },
  { "an endless body is read", NULL, "HTTP/1.1 200 OK\r\n\r\n", X16 X16, true,
    false, 0, 1 },
  { "an endless head is read", NULL, "HTTP/1.1 200 OK\r\n", "X: " X16 "\r\n",
    true, false, 0, 1 },
  { "endless interim responses are read", NULL, "", "HTTP/1.1 100 Go\r\n\r\n",
    true, false, 0, 1 },
  { "endless malformed bytes are read", NULL, "", X16, true, false, 0, 1 },
  { "a status that is none counts as a response", NULL,
    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", NULL, true, false, 0, 1 },
  { "a name with a blank counts as a field", NULL,
    "HTTP/1.1 202 OK\r\nX Other: 1\r\nContent-Length: 2\r\n\r\nok", NULL, true,
    false, 0, 1 },
  { "a name with a blank before the colon counts as a field", NULL,
    "HTTP/1.1 202 OK\r\nContent-Length : 2\r\n\r\nok", NULL, true, false, 0,
    1 },
  { "a call is sent although may_send forbids it", NULL,
    "HTTP/1.1 200 OK\r\n\r\n", NULL, false, false, 0, 0 },
};

static struct
{
  const struct call_case *c;
  struct http_server server;
  struct http_connection *connection; /* that received the request */
  unsigned requests;
  bool done;
  bool has_response;
  unsigned status;
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
  test.requests++;
  test.connection = context;
  http_connection_write (test.connection, test.c->response,
                         strlen (test.c->response));
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
  if (test.connection == NULL || test.c->flood_text == NULL
      || test.connection->fd < 0
      || http_connection_unwritten_bytes (test.connection) > 0)
    return;
  http_server_write_repeated (test.connection, test.c->flood_text);
}

static bool
may_send (void *context)
{
  (void)context;
  return test.c->may_send;
}

static void
on_done (void *context, bool has_response, unsigned status)
{
  (void)context;
  assert_false (test.done);
  test.done = true;
  test.has_response = has_response;
  test.status = status;
}

static void
test_http_calls (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int64_t time_limit_ms = time_boot_ms () + WAIT_MS;
      struct http_call call;
      struct http_text request;

      memset (&test, 0, sizeof test);
      test.c = &cases[i];
      http_server_start (&test.server, &server_events, 4);
      http_text_init (&request);
      http_text_add_string (&request, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      assert_int_equal (
          http_call_start (&call, test.server.base,
                           test.c->address != NULL ? test.c->address
                                                   : "127.0.0.1",
                           test.server.port, 2000, &request, on_done, NULL),
          RESULT_OK);
      call.may_send = may_send;
      while (!test.done && time_boot_ms () < time_limit_ms)
        {
          const struct timeval step = { 0, 5000 };

          send_flood ();
          event_base_loopexit (test.server.base, &step);
          event_base_loop (test.server.base, EVLOOP_ONCE);
        }
      if (!test.done || test.has_response != cases[i].has_response
          || (test.has_response && test.status != cases[i].status)
          || test.requests != cases[i].requests)
        fail_msg ("%s: done %d, has_response %d, status %u, %u requests",
                  cases[i].guarded_failure, test.done, test.has_response,
                  test.status, test.requests);
      http_call_finish (&call);
      http_server_stop (&test.server);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_http_calls) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
