#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <errno.h>
#include <sys/socket.h>

#include "relay-fixture.h"

/*
 * Guards against resets at a planned stop under load.  Every request sent
 * before the process ends must get a response, or be refused as not run.
 */

static const struct relay_case good
    = { .guards = "a request is broken off by a planned stop",
        .kind = CATALOG_SAFE,
        .attempts = 2,
        .request = PLAIN,
        .responses = { { GOOD }, { GOOD } },
        .status = 200,
        .body = "ok",
        .sends = 1 };

/* Connects and sends the bytes, before the relay accepts the connection. */
static int
connect_unaccepted (uint16_t port, const char *bytes)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  assert_true (fd >= 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  assert_int_equal (send (fd, bytes, strlen (bytes), 0),
                    (ssize_t)strlen (bytes));
  return fd;
}

/* Returns the response status; 0 if the connection ends without a response. */
static unsigned
read_status (int fd)
{
  int64_t until_ms = time_boot_ms () + WAIT_MS;
  char text[4096];
  size_t size = 0;
  unsigned status = 0;

  while (time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 5000 };
      ssize_t got;

      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
      got = recv (fd, text + size, sizeof text - 1 - size, MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN))
        break;
      if (got < 0)
        continue;
      size += (size_t)got;
      text[size] = '\0';
      if (strstr (text, "\r\n\r\n") != NULL
          && sscanf (text, "HTTP/1.1 %u", &status) == 1)
        break;
    }
  return status;
}

#define HALF_HEAD "GET /r/1?q=1 HTTP/1.1\r\nHost: h\r\n"
#define HALF_HEAD_REST "X-Id: r1\r\n" KEY "X-Deadline: 2000\r\n\r\n"

/* States of a request at the time when the relay stops accepting. */
static const struct
{
  const char *name;
  const char *sent_before; /* bytes sent before the relay stops */
  const char *sent_after;  /* bytes sent afterwards; NULL = none */
  bool is_accepted;        /* the relay has accepted the connection */
} requests_at_stop[] = {
  { "a whole request in the backlog", PLAIN, NULL, false },
  { "half a head in the backlog", HALF_HEAD, HALF_HEAD_REST, false },
  { "a whole request that was not read yet", PLAIN, NULL, true },
  { "half a head that was read", HALF_HEAD, HALF_HEAD_REST, true },
};

static void
test_stop (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof requests_at_stop / sizeof requests_at_stop[0];
       i++)
    {
      uint16_t port;
      unsigned status;
      int fd;

      setup (&good);
      run_until_response ();
      port = net_bound_port (evconnlistener_get_fd (test.relay.listener));
      relay_leave (&test.relay, time_boot_ms () + 60000);
      fd = connect_unaccepted (port, requests_at_stop[i].is_accepted
                                         ? ""
                                         : requests_at_stop[i].sent_before);
      if (requests_at_stop[i].is_accepted)
        {
          while (test.relay.caller_count < 2)
            event_base_loop (test.base, EVLOOP_ONCE);
          assert_true (send (fd, requests_at_stop[i].sent_before,
                             strlen (requests_at_stop[i].sent_before), 0)
                       > 0);
        }
      if (requests_at_stop[i].is_accepted
          && requests_at_stop[i].sent_after != NULL)
        event_base_loop (test.base, EVLOOP_ONCE);
      relay_close (&test.relay);
      relay_tick (&test.relay, time_boot_ms ());
      /* The process must wait for the response to this request. */
      if (requests_at_stop[i].sent_after == NULL
          && relay_in_flight (&test.relay) == 0)
        fail_msg ("%s: not counted as in flight", requests_at_stop[i].name);
      if (requests_at_stop[i].sent_after != NULL)
        {
          event_base_loop (test.base, EVLOOP_NONBLOCK);
          relay_tick (&test.relay, time_boot_ms ());
          assert_true (relay_in_flight (&test.relay) > 0);
          assert_true (send (fd, requests_at_stop[i].sent_after,
                             strlen (requests_at_stop[i].sent_after), 0)
                       > 0);
        }
      status = read_status (fd);
      if (status != 503 && status != 200)
        fail_msg ("%s: status %u", requests_at_stop[i].name, status);
      close (fd);
      teardown ();
    }
}

/* Guards against an unserved request that arrives on an idle connection. */
static void
test_kept_connection (void **state)
{
  (void)state;
  setup (&good);
  run_until_response ();
  test.complete = false;
  test.status = 0;
  http_connection_next_message (&test.caller, false);
  http_connection_write (&test.caller, PLAIN, strlen (PLAIN));
  relay_close (&test.relay);
  relay_tick (&test.relay, time_boot_ms ());
  assert_true (relay_in_flight (&test.relay) > 0);
  run_until_response ();
  assert_true (test.complete);
  assert_int_equal (test.status, 503);
  assert_true (test.has_retry_after);
  assert_int_equal (test.sends, 1);
  teardown ();
}

/* What is accepted late in a stop must not be cut off by its end. */
static void
test_late_request (void **state)
{
  static const struct
  {
    const char *guards;
    enum catalog_kind kind;
    int64_t left_ms; /* of the process; the deadline is in 2,000 ms */
    unsigned status;
  } late_cases[] = {
    { "a booking that the end of the process may cut off is sent",
      CATALOG_UNSAFE, 1900, 503 },
    { "a booking that ends before the process is refused", CATALOG_UNSAFE, 3000,
      200 },
    { "a read that its caller can repeat is refused", CATALOG_SAFE, 1900, 200 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof late_cases / sizeof late_cases[0]; i++)
    {
      struct relay_case c = good;

      c.guards = late_cases[i].guards;
      c.kind = late_cases[i].kind;
      c.body = NULL;
      c.status = late_cases[i].status;
      c.sends = c.status == 200;
      setup (&c);
      relay_leave (&test.relay, time_boot_ms () + late_cases[i].left_ms);
      run_until_response ();
      assert_case_result (&c);
      teardown ();
    }
}

/* More than the kernel keeps for a connection, and under the relay's limit. */
#define LONG_BYTES 7500000
/* The caller's link, in the relay's time: the response takes 15 steps. */
#define STEP_MS 1000
#define STEP_BYTES 500000

/* Connects a caller with a short receive buffer, and sends the request. */
static int
connect_reader (const char *request)
{
  uint16_t port = net_bound_port (evconnlistener_get_fd (test.relay.listener));
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int buffer_bytes = 65536;

  assert_true (fd >= 0);
  assert_int_equal (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                                sizeof buffer_bytes),
                    0);
  assert_int_equal (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  assert_int_equal (send (fd, request, strlen (request), 0),
                    (ssize_t)strlen (request));
  return fd;
}

/* Reads up to a number of bytes; false once the connection has ended. */
static bool
read_step (int fd, size_t limit, size_t *total)
{
  static char bytes[65536];
  int64_t until_ms = time_boot_ms () + 200;
  size_t done = 0;

  while (done < limit && time_boot_ms () < until_ms)
    {
      size_t size = limit - done < sizeof bytes ? limit - done : sizeof bytes;
      ssize_t got = recv (fd, bytes, size, MSG_DONTWAIT);

      event_base_loop (test.base, EVLOOP_NONBLOCK);
      if (got == 0 || (got < 0 && errno != EAGAIN))
        return false;
      if (got > 0)
        done += (size_t)got;
    }
  *total += done;
  return true;
}

/*
 * A timer of another phase must not cut a response that is still being read,
 * nor must a caller that reads nothing be waited for.
 */
static void
test_slow_reader (void **state)
{
  static const struct
  {
    const char *name;
    const char *request;
    bool stops;
    bool reads;
  } readers[] = {
    { "a slow link at a stop", PLAIN, true, true },
    { "a slow link", PLAIN, false, true },
    { "a slow link of a caller that asks to close",
      GET KEY "X-Deadline: 2000\r\nConnection: close\r\n\r\n", false, true },
    { "a caller that reads nothing", PLAIN, false, false },
    { "a caller that asks to close and reads nothing",
      GET KEY "X-Deadline: 2000\r\nConnection: close\r\n\r\n", false, false },
  };
  char *long_response = malloc (LONG_BYTES + 256);
  size_t head_bytes;

  (void)state;
  assert_non_null (long_response);
  head_bytes = (size_t)sprintf (long_response,
                                HEAD "Content-Length: %d\r\n\r\n", LONG_BYTES);
  memset (long_response + head_bytes, 'x', LONG_BYTES);
  long_response[head_bytes + LONG_BYTES] = '\0';
  for (size_t i = 0; i < sizeof readers / sizeof readers[0]; i++)
    {
      struct relay_case c = good;
      size_t total = 0;
      int64_t until_ms;
      int64_t now_ms;
      int fd;

      c.guards = readers[i].name;
      c.responses[1].bytes = long_response;
      setup (&c);
      run_until_response ();
      fd = connect_reader (readers[i].request);
      until_ms = time_boot_ms () + WAIT_MS;
      while (test.sends < 2 || !TAILQ_EMPTY (&test.relay.requests))
        {
          event_base_loop (test.base, EVLOOP_NONBLOCK);
          relay_tick (&test.relay, time_boot_ms ());
          if (readers[i].stops && test.sends == 2)
            relay_leave (&test.relay, time_boot_ms () + 60000);
          if (time_boot_ms () > until_ms)
            fail_msg ("%s: no response", readers[i].name);
        }
      now_ms = time_boot_ms ();
      for (unsigned step = 0; step < 32 && total < LONG_BYTES; step++)
        {
          relay_tick (&test.relay, now_ms + (int64_t)step * STEP_MS);
          if (readers[i].reads && !read_step (fd, STEP_BYTES, &total))
            break;
        }
      if (readers[i].reads && total < LONG_BYTES)
        fail_msg ("%s: %zu bytes", readers[i].name, total);
      if (!readers[i].reads && test.relay.caller_count > 0)
        fail_msg ("%s: is kept", readers[i].name);
      close (fd);
      teardown ();
    }
  free (long_response);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_reader),
    cmocka_unit_test (test_stop),
    cmocka_unit_test (test_kept_connection),
    cmocka_unit_test (test_late_request),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
