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

/* Calls of which only the status counts, to a server that may never end. */

#define WAIT_MS 10000
#define X16 "xxxxxxxxxxxxxxxx"

struct call_case
{
  const char *guards;
  const char *answer;
  const char *flood; /* then repeated until the connection ends */
  bool may_send;
  bool answered;
  unsigned status;
  unsigned requests; /* that reach the server */
};

static const struct call_case cases[] = {
  { "a good answer is lost", "HTTP/1.1 202 OK\r\nContent-Length: 2\r\n\r\nok",
    NULL, true, true, 202, 1 },
  { "a body without end is read on", "HTTP/1.1 200 OK\r\n\r\n", X16 X16, true,
    false, 0, 1 },
  { "a head without end is read on", "HTTP/1.1 200 OK\r\n", "X: " X16 "\r\n",
    true, false, 0, 1 },
  { "interim answers without end are read on", "", "HTTP/1.1 100 Go\r\n\r\n",
    true, false, 0, 1 },
  { "bytes that are no answer are read on", "", X16, true, false, 0, 1 },
  { "a call that may not be sent is", "HTTP/1.1 200 OK\r\n\r\n", NULL, false,
    false, 0, 0 },
};

static struct
{
  const struct call_case *c;
  struct http_server server;
  struct http_connection *asked; /* the connection of the request */
  unsigned requests;
  bool done;
  bool answered;
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
  test.asked = context;
  http_connection_write (test.asked, test.c->answer, strlen (test.c->answer));
}

static const struct http_events server_events = {
  .head = on_head,
  .body = http_server_ignore_body,
  .complete = on_complete,
  .closed = http_server_on_closed,
};

static void
flood (void)
{
  char bytes[65536];
  size_t size = 0;
  size_t piece;

  if (test.asked == NULL || test.c->flood == NULL || test.asked->fd < 0
      || http_connection_unwritten (test.asked) > 0)
    return;
  piece = strlen (test.c->flood);
  for (; size + piece <= sizeof bytes; size += piece)
    memcpy (bytes + size, test.c->flood, piece);
  http_connection_write (test.asked, bytes, size);
}

static bool
may_send (void *context)
{
  (void)context;
  return test.c->may_send;
}

static void
on_done (void *context, bool answered, unsigned status)
{
  (void)context;
  assert_false (test.done);
  test.done = true;
  test.answered = answered;
  test.status = status;
}

static void
test_calls (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int64_t until_ms = time_boot_ms () + WAIT_MS;
      struct http_call call;
      struct http_text request;

      memset (&test, 0, sizeof test);
      test.c = &cases[i];
      http_server_start (&test.server, &server_events, 4);
      http_text_init (&request);
      http_text_add_string (&request, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      assert_int_equal (http_call_start (&call, test.server.base, "127.0.0.1",
                                         test.server.port, 2000, &request,
                                         on_done, NULL),
                        RESULT_OK);
      call.may_send = may_send;
      while (!test.done && time_boot_ms () < until_ms)
        {
          const struct timeval step = { 0, 5000 };

          flood ();
          event_base_loopexit (test.server.base, &step);
          event_base_loop (test.server.base, EVLOOP_ONCE);
        }
      if (!test.done || test.answered != cases[i].answered
          || (test.answered && test.status != cases[i].status)
          || test.requests != cases[i].requests)
        fail_msg ("%s: done %d, answered %d, status %u, %u requests",
                  cases[i].guards, test.done, test.answered, test.status,
                  test.requests);
      http_call_finish (&call);
      http_server_stop (&test.server);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_calls) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
