#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Endpoints in trouble: bytes without end, streams that stand still or are only
 * slow, and late second answers.
 */

/* No endpoint may make the relay hold more than this for it. */
#define HELD_LIMIT ((8U << 20) + 65536)

#define X16 "xxxxxxxxxxxxxxxx"
#define X128 X16 X16 X16 X16 X16 X16 X16 X16

static const struct relay_case endless[] = {
  { .guards = "field lines without end are read on",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { HEAD, .flood = "X-Field: " X128 "\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "one field without an end is read on",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { HEAD "X-Field: ", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "interim answers without end are read on",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { "", .flood = "HTTP/1.1 100 Continue\r\n\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "blank lines before an answer are read on",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { "", .flood = "\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "a chunk extension without an end is read on",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { CHUNKED "2;", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "trailer fields without end are read on",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers
    = { { CHUNKED "0\r\n", .flood = "X-Field: " X128 "\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "a body without end is held",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { HEAD "\r\n", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "a body without end is said not to have run",
    .kind = CATALOG_UNSAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { HEAD "\r\n", .flood = X128 }, { GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "another request's body without end is read on",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .answers
    = { { "HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\n", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "an event without an end is held",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { CHUNKED CHUNK ("1"), .flood = "80\r\n" X128 "\r\n" },
                 { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = E ("1") E ("2"),
    .sends = 2 },
  { .guards = "lines that end no event are held",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { CHUNKED CHUNK ("1"), .flood = "3\r\nx:\n\r\n" },
                 { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = E ("1") E ("2"),
    .sends = 2 },
  { .guards = "comments without end pass for a stream",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { CHUNKED CHUNK ("1"), .flood = "3\r\n:\n\n\r\n" },
                 { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .sends = 2 },
};

static void
test_endless (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof endless / sizeof endless[0]; i++)
    {
      setup (&endless[i]);
      run_until_answered ();
      check (&endless[i]);
      if (test.most_held > HELD_LIMIT)
        fail_msg ("%s: %zu bytes held", endless[i].guards, test.most_held);
      teardown ();
      assert_int_equal (test.relay.answer_bytes, 0);
    }
}

/* Endless bodies of many endpoints at once share one limit. */
static void
test_shared_limit (void **state)
{
  static const struct relay_case c
      = { .guards = "answers together are held",
          .kind = CATALOG_SAFE,
          .attempts = 2,
          .request = PLAIN,
          .answers = { { HEAD "\r\n", .flood = X128 }, { GOOD } },
          .status = 200,
          .body = "ok",
          .sends = 2 };
  const size_t held_elsewhere = 22U << 20;

  (void)state;
  setup (&c);
  test.relay.answer_bytes = held_elsewhere;
  run_until_answered ();
  check (&c);
  if (test.most_held > held_elsewhere + (1U << 20))
    fail_msg ("%zu bytes held", test.most_held);
  test.relay.answer_bytes -= held_elsewhere;
  teardown ();
}

/*
 * A stream stands still if no whole event comes, whatever else does.  One that
 * is only slow goes on where it is unless another endpoint takes it.
 */
static const struct relay_case pauses[] = {
  { .guards = "single bytes pass for progress",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { CHUNKED CHUNK ("1"), .drip = "1\r\nx\r\n" },
                 { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = E ("1") E ("2"),
    .sends = 2,
    .pause_ms = 100 },
  { .guards = "comments pass for progress",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { CHUNKED CHUNK ("1"), .drip = "3\r\n:\n\n\r\n" },
                 { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .sends = 2,
    .pause_ms = 100 },
  { .guards = "a silent stream is not moved",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .answers = { { CHUNKED CHUNK ("1") }, { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = E ("1") E ("2"),
    .sends = 2,
    .pause_ms = 100 },
};

static void
test_pauses (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof pauses / sizeof pauses[0]; i++)
    {
      setup (&pauses[i]);
      run_until_answered ();
      check (&pauses[i]);
      teardown ();
    }
}

/* Ways in which a slow stream cannot be moved; it must not be cut then. */
enum no_move
{
  NO_RETRY_LEFT,
  NO_OTHER_ENDPOINT,
};

static void
test_slow_stream (void **state)
{
  static const struct relay_case slow
      = { .guards = "a slow stream is cut",
          .kind = CATALOG_STREAM,
          .resumable = true,
          .attempts = 2,
          .request = PLAIN,
          .answers = { { CHUNKED CHUNK ("1") } },
          .status = 200,
          .body = E ("1") E ("2"),
          .sends = 1,
          .pause_ms = 40 };

  (void)state;
  for (int why = NO_RETRY_LEFT; why <= NO_OTHER_ENDPOINT; why++)
    {
      struct relay_case c = slow;
      int64_t ends_ms = 0;

      c.no_retries = why == NO_RETRY_LEFT;
      setup (&c);
      while (!test.complete && !test.closed)
        {
          const struct timeval step = { 0, 5000 };
          int64_t now_ms = time_boot_ms ();

          event_base_loopexit (test.base, &step);
          event_base_loop (test.base, EVLOOP_ONCE);
          relay_tick (&test.relay, now_ms);
          if (test.sends == 0)
            continue;
          if (ends_ms == 0)
            ends_ms = now_ms + 400;
          for (struct lane *lane = test.relay.lanes.table;
               why == NO_OTHER_ENDPOINT && lane != NULL; lane = lane->hh.next)
            if (lane->running == 0)
              balance_avoid (lane, now_ms + WAIT_MS);
          if (now_ms < ends_ms || test.connections == NULL
              || test.connections->connection.fd < 0)
            continue;
          ends_ms = INT64_MAX;
          http_connection_write (&test.connections->connection,
                                 CHUNK ("2") "0\r\n\r\n",
                                 strlen (CHUNK ("2") "0\r\n\r\n"));
        }
      check (&c);
      teardown ();
    }
}

/* Sends a further request on the caller's connection, and waits for its end. */
static void
ask_again (const struct relay_case *c)
{
  test.c = c;
  test.complete = false;
  test.status = 0;
  test.retry_after = false;
  http_text_reset (&test.body);
  http_connection_next (&test.caller, false);
  http_connection_write (&test.caller, c->request, strlen (c->request));
  run_until_answered ();
}

#define PLAIN_2                                                                \
  "GET /r/1?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\n" KEY                       \
  "X-Deadline: 2000\r\n\r\n"
#define GOOD_2                                                                 \
  "HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\ntwo"

/*
 * The connection that carried r1 carries r2, and bytes come before its answer.
 * They are r1's answer once more, or cannot be told from it.
 */
static const struct
{
  const char *guards;
  const char *request;
  const char *bytes;
  unsigned status;
  const char *body;
  unsigned sends;
} seconds[] = {
  { "a second answer is the next one's", PLAIN_2, GOOD GOOD_2, 200, "two", 2 },
  { "two of them are", PLAIN_2, GOOD GOOD GOOD_2, 200, "two", 2 },
  { "a second answer after an interim one is", PLAIN_2,
    "HTTP/1.1 100 Continue\r\n\r\n" GOOD GOOD_2, 200, "two", 2 },
  { "a second stream is", PLAIN_2,
    CHUNKED CHUNK ("1") CHUNK ("2") "0\r\n\r\n" GOOD_2, 200, "two", 2 },
  { "a second answer without a body is", PLAIN_2,
    "HTTP/1.1 204 None\r\nX-Id: r1\r\n\r\n" GOOD_2, 200, "two", 2 },
  { "a second refusal is", PLAIN_2,
    "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: "
    "0\r\n\r\n" GOOD_2,
    200, "two", 2 },
  { "a refusal without an id is", PLAIN_2, NOT_RUN GOOD_2, 502, NULL, 2 },
  { "a failure without an id is", PLAIN_2,
    "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n" GOOD_2, 502, NULL, 2 },
  { "a second answer to a HEAD is",
    "HEAD /r/1?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\n" KEY "\r\n", GOOD GOOD_2,
    502, NULL, 2 },
};

static void
test_second_answers (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof seconds / sizeof seconds[0]; i++)
    {
      struct relay_case c = { .guards = seconds[i].guards,
                              .kind = CATALOG_UNSAFE,
                              .attempts = 1,
                              .request = PLAIN,
                              .answers = { { GOOD }, { seconds[i].bytes } },
                              .status = 200,
                              .body = "ok",
                              .sends = 1 };

      setup (&c);
      /* Only one endpoint, and so one connection. */
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_answered ();
      check (&c);
      c.request = seconds[i].request;
      c.status = seconds[i].status;
      c.body = seconds[i].body;
      c.sends = seconds[i].sends;
      test.caller.no_body = c.request[0] == 'H';
      ask_again (&c);
      check (&c);
      if (test.connections->next != NULL)
        fail_msg ("%s: another connection", c.guards);
      teardown ();
    }
}

/* Bytes on a connection that rests end it; the next request gets another. */
static void
test_bytes_at_rest (void **state)
{
  static const char *const bytes[] = { GOOD, HEAD, "HTTP/1.1 100 Go\r\n\r\n" };

  (void)state;
  for (size_t i = 0; i < sizeof bytes / sizeof bytes[0]; i++)
    {
      struct relay_case c = { .guards = "a resting connection is used again",
                              .kind = CATALOG_UNSAFE,
                              .attempts = 1,
                              .request = PLAIN,
                              .answers = { { GOOD }, { GOOD_2 } },
                              .status = 200,
                              .body = "ok",
                              .sends = 1 };

      setup (&c);
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_answered ();
      check (&c);
      http_connection_write (&test.connections->connection, bytes[i],
                             strlen (bytes[i]));
      for (unsigned n = 0; n < 20; n++)
        event_base_loop (test.base, EVLOOP_NONBLOCK);
      c.request = PLAIN_2;
      c.body = "two";
      c.sends = 2;
      ask_again (&c);
      check (&c);
      assert_non_null (test.connections->next);
      teardown ();
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_endless),
    cmocka_unit_test (test_shared_limit),
    cmocka_unit_test (test_pauses),
    cmocka_unit_test (test_slow_stream),
    cmocka_unit_test (test_second_answers),
    cmocka_unit_test (test_bytes_at_rest),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
