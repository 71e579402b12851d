#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <netinet/tcp.h>

#include "relay-fixture.h"

/* Guards how requests and responses are forwarded, and what is refused. */

#define UNMARKED(status)                                                       \
  "HTTP/1.1 " status " No\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: "        \
  "3\r\n\r\nbad"

static const struct relay_case cases[] = {
  { "a good response is changed",
    CATALOG_SAFE,
    false,
    2,
    PLAIN,
    { { GOOD } },
    200,
    "ok",
    1,
    .last_send_contains = "GET /r/1?q=1 HTTP/1.1\r\n",
    .no_send_contains = "secret" },
  { "the caller sets the customer's name",
    CATALOG_SAFE,
    false,
    2,
    GET KEY "X-Customer: evil\r\n\r\n",
    { { GOOD } },
    200,
    "ok",
    1,
    .last_send_contains = "X-Customer: atlas\r\n",
    .no_send_contains = "evil" },
  { "hop-by-hop fields are forwarded",
    CATALOG_SAFE,
    false,
    2,
    GET KEY "Connection: X-Hop\r\nX-Hop: 1\r\nTE: x\r\n\r\n",
    { { GOOD } },
    200,
    "ok",
    1,
    .last_send_contains = NULL,
    .no_send_contains = "X-Hop" },
  { "an unknown key is accepted",
    CATALOG_SAFE,
    false,
    2,
    GET "Authorization: Bearer wrong\r\n\r\n",
    { { GOOD } },
    401,
    NULL,
    0 },
  { "a request without a route is forwarded",
    CATALOG_SAFE,
    false,
    2,
    "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
    { { GOOD } },
    404,
    NULL,
    0 },
  { "a request with two lengths is forwarded",
    CATALOG_SAFE,
    false,
    2,
    GET KEY "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    { { GOOD } },
    400,
    NULL,
    0 },
  { "a request that did not run is not sent again",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { NOT_RUN }, { GOOD } },
    200,
    "ok",
    2 },
  { "a refusal by all endpoints has no Retry-After",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { NOT_RUN }, { NOT_RUN } },
    503,
    NULL,
    2 },
  { "an unsafe request that may have run is sent again",
    CATALOG_UNSAFE,
    false,
    2,
    PLAIN,
    { { "", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a response that ends in its status line is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { "HTTP/1.1 200 O", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a response that ends in a field name is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Len", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a response that ends in the value of its length is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Length: 2", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a response that ends after the line of its length is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Length: 0\r\n", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a response that ends in the last line end of its head is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Length: 0\r\n\r", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a chunked response that ends with its head is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { CHUNKED, true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a response that ends before its body is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Length: 2\r\n\r\n", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a stream that ends in its head is forwarded",
    CATALOG_STREAM,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Type: text/event-str", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a stream that ends with its head is forwarded",
    CATALOG_STREAM,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Type: text/event-stream\r\n\r\n", true }, { GOOD } },
    502,
    NULL,
    1 },
  { "an unsafe request that may have run is reported as not run",
    CATALOG_UNSAFE,
    false,
    2,
    PLAIN,
    { { HEAD, true }, { GOOD } },
    502,
    NULL,
    1 },
  { "a safe request is not retried after one failure",
    CATALOG_SAFE,
    false,
    2,
    PLAIN,
    { { "", true }, { GOOD } },
    200,
    "ok",
    2 },
  { "a safe request is sent more often than allowed",
    CATALOG_SAFE,
    false,
    2,
    PLAIN,
    { { "", true }, { "", true }, { GOOD } },
    502,
    NULL,
    2 },
  { "a failure response of an endpoint is replaced",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { ERROR_500 } },
    500,
    "bad",
    1 },
  { "a failed safe request is not retried at another endpoint",
    CATALOG_SAFE,
    false,
    2,
    PLAIN,
    { { ERROR_500 }, { GOOD } },
    200,
    "ok",
    2 },
  { .guards = "a failure response is replaced if no retry is left",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { ERROR_500 }, { GOOD } },
    .status = 500,
    .body = "bad",
    .sends = 1,
    .no_retries = true },
  { .guards = "an unsafe request with a 503 that does not say not run is "
              "reported as not run",
    .kind = CATALOG_UNSAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNMARKED ("503") }, { GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "an unsafe request with a 429 that does not say not run is "
              "reported as not run",
    .kind = CATALOG_UNSAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNMARKED ("429") }, { GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "an unsafe request with a 408 that does not say not run is "
              "reported as not run",
    .kind = CATALOG_UNSAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNMARKED ("408") }, { GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "a safe request with a 429 that does not say not run loses it",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNMARKED ("429") } },
    .status = 429,
    .body = "bad",
    .sends = 1 },
  { .guards = "the content of an interim response is taken for the final one",
    .kind = CATALOG_UNSAFE,
    .attempts = 1,
    .request = PLAIN,
    .responses = { { "HTTP/1.1 100 X\r\nContent-Length: 3\r\n\r\nbad" GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "the content of a response without a status class is taken for a "
              "response",
    .kind = CATALOG_UNSAFE,
    .attempts = 1,
    .request = PLAIN,
    .responses = { { "HTTP/1.1 99 X\r\nContent-Length: 3\r\n\r\nbad" GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "a response after an interim response is lost",
    .kind = CATALOG_UNSAFE,
    .attempts = 1,
    .request = PLAIN,
    .responses = { { "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 1 },
  { "a late response to another request is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 3\r\n\r\nold" GOOD } },
    200,
    "ok",
    1 },
  { "a response without a request id is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno" } },
    502,
    NULL,
    1 },
  { "a truncated response looks complete",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Length: 9\r\n\r\nok", true } },
    502,
    NULL,
    1 },
  { "a response that ends with its connection is lost",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "\r\nok", true } },
    200,
    "ok",
    1 },
  { "an encoded response is forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { HEAD "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok" } },
    502,
    NULL,
    1 },
  { "bytes that are no response are forwarded",
    CATALOG_UNSAFE,
    false,
    1,
    PLAIN,
    { { "garbage\r\n\r\n" } },
    502,
    NULL,
    1 },
  { "a stream is changed",
    CATALOG_STREAM,
    true,
    2,
    PLAIN,
    { { CHUNKED CHUNK ("1") CHUNK ("2") "0\r\n\r\n" } },
    200,
    EVENT ("1") EVENT ("2"),
    1 },
  { "a broken stream is not resumed",
    CATALOG_STREAM,
    true,
    2,
    PLAIN,
    { { CHUNKED CHUNK ("1") "3\r\nid:\r\n", true },
      { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    200,
    EVENT ("1") EVENT ("2"),
    2,
    .last_send_contains = "Last-Event-Id: 1\r\n" },
  { "a resumed stream repeats an event",
    CATALOG_STREAM,
    true,
    2,
    PLAIN,
    { { CHUNKED CHUNK ("1") CHUNK ("2"), true },
      { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    0,
    NULL,
    2 },
  { "a stream with a missing event is forwarded",
    CATALOG_STREAM,
    false,
    2,
    PLAIN,
    { { CHUNKED CHUNK ("1") CHUNK ("3") "0\r\n\r\n" } },
    0,
    NULL,
    1 },
  { "a stream that cannot be resumed runs twice",
    CATALOG_STREAM,
    false,
    2,
    PLAIN,
    { { CHUNKED CHUNK ("1"), true }, { CHUNKED CHUNK ("2") } },
    0,
    NULL,
    1 },
  { "a stream that breaks twice looks complete",
    CATALOG_STREAM,
    true,
    2,
    PLAIN,
    { { CHUNKED CHUNK ("1"), true }, { CHUNKED CHUNK ("2"), true } },
    0,
    NULL,
    2 },
};

static void
test_forwarding (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      setup (&cases[i]);
      run_until_response ();
      assert_case_result (&cases[i]);
      teardown ();
    }
}

/*
 * Guards against keys that are accepted by a stale configuration.  The caller
 * is sent to another host at once if other hosts can serve it.
 */
static void
test_stale_configuration (void **state)
{
  static const struct
  {
    bool peers_can_serve;
    double max_s; /* longest Retry-After */
  } hosts[] = { { true, 0.05 }, { false, 1.2 } };

  (void)state;
  for (size_t i = 0; i < sizeof hosts / sizeof hosts[0]; i++)
    {
      setup (&cases[0]);
      test.relay.catalog_current_at_ms -= 5100;
      test.relay.peers_can_serve = hosts[i].peers_can_serve;
      run_until_response ();
      assert_int_equal (test.status, 503);
      assert_int_equal (test.sends, 0);
      assert_true (test.has_retry_after);
      assert_true (test.retry_after_s <= hosts[i].max_s);
      assert_true (hosts[i].peers_can_serve || test.retry_after_s >= 0.3);
      assert_false (test.keeps_open);
      teardown ();
    }
}

/*
 * Guards against requests that are handled as an old configuration says, though
 * a newer one had to be in force already.  An open route has no key whose age
 * would be checked.
 */
static void
test_outdated_configuration (void **state)
{
  static const struct
  {
    bool is_outdated;
    bool is_open;
    unsigned status;
    unsigned sends;
  } routes[] = { { false, false, 200, 1 },
                 { false, true, 200, 1 },
                 { true, false, 503, 0 },
                 { true, true, 503, 0 } };

  (void)state;
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      setup (&cases[0]);
      test.relay.catalog->routes[0].open = routes[i].is_open;
      test.relay.is_catalog_outdated = routes[i].is_outdated;
      run_until_response ();
      assert_int_equal (test.status, routes[i].status);
      assert_int_equal (test.sends, routes[i].sends);
      teardown ();
    }
}

/* Guards the check whether keys are valid now and for some time to come. */
static void
test_key_freshness (void **state)
{
  static const struct
  {
    bool needs_keys;
    int64_t staleness_ms;
    int64_t for_ms;
    bool is_valid;
  } ages[] = {
    { true, 0, 0, true },        { true, 4900, 0, true },
    { true, 5100, 0, false },    { true, 3900, 1000, true },
    { true, 4100, 1000, false }, { false, 60000, 1000, true },
  };

  (void)state;
  for (size_t i = 0; i < sizeof ages / sizeof ages[0]; i++)
    {
      setup (&cases[0]);
      test.relay.catalog->needs_keys = ages[i].needs_keys;
      test.relay.catalog_current_at_ms
          = test.relay.now_ms - ages[i].staleness_ms;
      assert_int_equal (
          relay_has_fresh_keys (&test.relay, ages[i].for_ms, test.relay.now_ms),
          ages[i].is_valid);
      teardown ();
    }
}

/*
 * Guards against fields that this host and an endpoint read differently.  What
 * the host takes for another name passes its check for fields of its own, such
 * as X-Customer, and comes first at the endpoint.
 */
static void
test_field_names (void **state)
{
  static const struct
  {
    const char *field;
    unsigned status;
  } fields[] = {
    { "X-Customer : other\r\n", 400 },
    { "X-Customer\t: other\r\n", 400 },
    { "X-Customer  : other\r\n", 400 },
    { "X Customer: other\r\n", 400 },
    { "X-Other : a\r\n", 400 },
    { "X-Other :\r\n", 400 },
    { ": a\r\n", 400 },
    { "X-Other(a): b\r\n", 400 },
    { "Content-Length : 2\r\n", 400 },
    { "X-Other: a : b\r\n", 200 },
    { "X-Other:  a \r\n", 200 },
    { "x_!#$%&'*+.^`|~0: a\r\n", 200 },
    { "X-Customer: other\r\n", 200 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    {
      struct relay_case c = cases[0];
      char request[512];

      snprintf (request, sizeof request, GET KEY "%s\r\n", fields[i].field);
      c.guards = fields[i].field;
      c.request = request;
      c.status = fields[i].status;
      c.body = NULL;
      c.sends = fields[i].status == 200;
      c.last_send_contains = NULL;
      c.no_send_contains = "other";
      setup (&c);
      run_until_response ();
      assert_case_result (&c);
      teardown ();
    }
}

/*
 * An endpoint's "Name : value" is not a field of a response: neither the blank
 * nor the rest of the response is passed on.
 */
static void
test_response_field_names (void **state)
{
  struct relay_case c = cases[0];

  (void)state;
  c.guards = "a response with blanks in names is forwarded";
  c.kind = CATALOG_UNSAFE;
  c.responses[0].bytes = "HTTP/1.1 200 OK\r\nX-Id : r1\r\nX-Seal  : s\r\n"
                         "X-Other : 1\r\nContent-Length: 2\r\n\r\nok";
  c.status = 502;
  c.body = NULL;
  setup (&c);
  run_until_response ();
  assert_case_result (&c);
  assert_null (http_head_get (&test.caller.head, "X-Seal"));
  assert_null (http_head_get (&test.caller.head, "X-Other"));
  teardown ();
}

/* Guards against heads over the configured limit, however split into fields. */
static void
test_header_limit (void **state)
{
  static const struct
  {
    unsigned fields;
    unsigned field_bytes; /* of each value */
    unsigned status;
    unsigned sends;
  } sizes[] = {
    { 1, 16000, 200, 1 }, { 1, 16384, 431, 0 }, { 1, 70000, 431, 0 },
    { 50, 300, 200, 1 },  { 50, 340, 431, 0 },  { 97, 1, 200, 1 },
    { 1300, 1, 200, 1 },  { 1700, 1, 431, 0 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct relay_case c = cases[0];
      struct http_text request;
      char *value = calloc (1, sizes[i].field_bytes + 1);

      assert_non_null (value);
      memset (value, 'x', sizes[i].field_bytes);
      http_text_init (&request);
      http_text_add_string (&request, GET KEY);
      for (unsigned j = 0; j < sizes[i].fields; j++)
        http_text_add_field (&request, "X-Long", value);
      http_text_add (&request, "\r\n", 3);
      c.guards = "a head over the limit is forwarded";
      c.request = request.data;
      c.status = sizes[i].status;
      c.body = NULL;
      c.sends = sizes[i].sends;
      c.last_send_contains = NULL;
      setup (&c);
      run_until_response ();
      assert_case_result (&c);
      teardown ();
      http_text_finish (&request);
      free (value);
    }
}

/*
 * Guards against a lost response to a body over the limit.  The caller is still
 * sending; a reset would overtake a response that the network delays.
 */
static void
test_body_limit (void **state)
{
  const size_t body_bytes = 8 << 20;
  struct relay_case c = cases[0];
  struct http_text request;
  char *body = calloc (1, body_bytes + 1);
  struct tcp_info info;
  socklen_t info_size = sizeof info;

  (void)state;
  assert_non_null (body);
  memset (body, 'x', body_bytes);
  http_text_init (&request);
  http_text_format (&request, GET KEY "Content-Length: %zu\r\n\r\n",
                    body_bytes);
  http_text_add (&request, body, body_bytes + 1);
  c.guards = "the response to a body over the limit is lost";
  c.request = request.data;
  c.status = 413;
  c.body = NULL;
  c.sends = 0;
  c.last_send_contains = NULL;
  setup (&c);
  run_until_response ();
  assert_case_result (&c);
  while (!test.closed)
    event_base_loop (test.base, EVLOOP_ONCE);
  assert_int_equal (
      getsockopt (test.caller.fd, IPPROTO_TCP, TCP_INFO, &info, &info_size), 0);
  /* A reset would have left TCP_CLOSE. */
  assert_int_equal (info.tcpi_state, TCP_CLOSE_WAIT);
  teardown ();
  http_text_finish (&request);
  free (body);
}

/* Guards against work at an endpoint for a caller that has disconnected. */
static void
test_caller_disconnects (void **state)
{
  static const struct relay_case silent
      = { "the work continues", CATALOG_STREAM, true, 2, PLAIN, { { NULL } } };
  int64_t until_ms = time_boot_ms () + WAIT_MS;

  (void)state;
  setup (&silent);
  while (test.connections == NULL || test.connections->connection.fd >= 0)
    {
      const struct timeval step = { 0, 10000 };

      if (test.sends == 1)
        http_connection_finish (&test.caller);
      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
      if (time_boot_ms () > until_ms)
        fail_msg ("the endpoint's connection stays open");
    }
  assert_int_equal (relay_in_flight (&test.relay), 0);
  teardown ();
}

/*
 * Guards against idle connections that stay open on a host that is shutting
 * down and out of rotation.  The end of the process could break off a request
 * on one of these connections.
 */
static void
test_closing (void **state)
{
  int64_t until_ms = time_boot_ms () + WAIT_MS;

  (void)state;
  setup (&cases[0]);
  run_until_response ();
  assert_int_equal (test.status, 200);
  relay_leave (&test.relay, time_boot_ms () + 60000);
  relay_tick (&test.relay, time_boot_ms ());
  assert_int_equal (test.relay.caller_count, 1);
  relay_close (&test.relay);
  relay_tick (&test.relay, time_boot_ms ());
  assert_int_equal (test.relay.caller_count, 0);
  while (!test.closed && time_boot_ms () < until_ms)
    event_base_loop (test.base, EVLOOP_ONCE);
  assert_true (test.closed);
  teardown ();
}

/* Guards against an end of the process before the caller has its response. */
static void
test_unwritten_response (void **state)
{
  static const struct relay_case good
      = { "a response is lost", CATALOG_SAFE, false, 2, PLAIN, { { GOOD } } };
  struct relay_caller *caller;

  (void)state;
  setup (&good);
  run_until_response ();
  caller = TAILQ_FIRST (&test.relay.callers);
  assert_int_equal (relay_in_flight (&test.relay), 0);
  caller->connection.has_unwritten = true;
  http_connection_write (&caller->connection, "x", 1);
  assert_int_equal (relay_in_flight (&test.relay), 1);
  teardown ();
}

/*
 * Guards against requests to a data centre that could not be reached.  Its
 * endpoints are probed without a request, and used once one has responded.
 */
static void
test_probe (void **state)
{
  const struct relay_case *c = &cases[0];
  int64_t until_ms = time_boot_ms () + WAIT_MS;

  (void)state;
  setup (c);
  for (unsigned i = 0; i < 4; i++)
    {
      struct endpoint *endpoint
          = endpoints_find (&test.endpoints, i % 2 == 0 ? "e0" : "e1");

      balance_note_unreached (&test.relay.loads,
                              load_table_get (&test.relay.loads, endpoint),
                              time_boot_ms ());
    }
  while (test.connections == NULL && time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 10000 };

      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
      assert_int_equal (test.sends, 0);
    }
  assert_non_null (test.connections);
  if (test.complete)
    assert_int_equal (test.status, 503);
  teardown ();
}

/* Guards against a request that runs although it arrives while closing. */
static void
test_request_while_closing (void **state)
{
  (void)state;
  setup (&cases[0]);
  while (test.relay.caller_count == 0)
    event_base_loop (test.base, EVLOOP_ONCE);
  test.relay.closing = true;
  run_until_response ();
  assert_true (test.status == 503 || test.closed);
  assert_int_equal (test.sends, 0);
  teardown ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_forwarding),
    cmocka_unit_test (test_stale_configuration),
    cmocka_unit_test (test_outdated_configuration),
    cmocka_unit_test (test_key_freshness),
    cmocka_unit_test (test_field_names),
    cmocka_unit_test (test_response_field_names),
    cmocka_unit_test (test_header_limit),
    cmocka_unit_test (test_body_limit),
    cmocka_unit_test (test_caller_disconnects),
    cmocka_unit_test (test_closing),
    cmocka_unit_test (test_unwritten_response),
    cmocka_unit_test (test_probe),
    cmocka_unit_test (test_request_while_closing),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
