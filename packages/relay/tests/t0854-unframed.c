#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Responses with neither a length nor chunks, which end with their connection
 * (RFC 9112, section 6.3).  One that is reset, and a stream that ends within an
 * event, is incomplete.
 */

#define UNFRAMED HEAD "\r\n"
#define WHOLE_STREAM CHUNKED CHUNK ("2") "0\r\n\r\n"

static const struct relay_case cases[] = {
  { .guards = "a response that ends with its connection is lost",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED "ok", .close = true } },
    .status = 200,
    .body = "ok",
    .sends = 1 },
  { .guards = "an empty response that ends with its connection is lost",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED, .close = true } },
    .status = 200,
    .body = "",
    .sends = 1 },
  { .guards = "a response that is reset looks complete",
    .kind = CATALOG_UNSAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED "ok", .reset = true }, { GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "a response that is reset is not asked for again",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED "o", .reset = true }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "a stream that ends with its connection is lost or broken off",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED EVENT ("1") EVENT ("2"), .close = true } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 1 },
  { .guards = "a stream that ends within an event looks complete",
    .kind = CATALOG_STREAM,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED EVENT ("1") "id: 2\n", .close = true } },
    .status = 0,
    .sends = 1 },
  { .guards
    = "a stream that ends within an event is not resumed after the last",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED EVENT ("1") "id: 2\ndata: x", .close = true },
                   { WHOLE_STREAM } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 2,
    .last_send_contains = "Last-Event-Id: 1\r\n" },
  { .guards = "a resumed stream that ends with its connection is lost",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED EVENT ("1") "id", .close = true },
                   { UNFRAMED EVENT ("2"), .close = true } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 2 },
  { .guards = "a stream that is reset between events looks complete",
    .kind = CATALOG_STREAM,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED EVENT ("1"), .reset = true } },
    .status = 0,
    .sends = 1 },
  { .guards = "a stream that is reset between events is not resumed",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED EVENT ("1"), .reset = true }, { WHOLE_STREAM } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 2 },
  { .guards = "a stream without any event looks complete",
    .kind = CATALOG_STREAM,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { UNFRAMED, .close = true } },
    .status = 502,
    .sends = 1 },
  { .guards = "a chunked stream whose last chunk ends within an event looks "
              "complete",
    .kind = CATALOG_STREAM,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { CHUNKED CHUNK ("1") "5\r\nid: 2\r\n0\r\n\r\n" } },
    .status = 0,
    .sends = 1 },
};

static void
test_unframed_response (void **state)
{
  const struct relay_case *c = *state;

  setup (c);
  run_until_response ();
  assert_case_result (c);
  teardown ();
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].guards,
                                    .test_func = test_unframed_response,
                                    .initial_state = (void *)&cases[i] };
  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("unframed", tests, NULL, NULL);
}
