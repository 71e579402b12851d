#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Endpoints in trouble: bytes without end, streams that stand still or are only
 * slow, late second answers, and what endpoints say of themselves.
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

/* A connection that rests holds nothing of its last answer. */
static void
test_resting_holds_nothing (void **state)
{
  static const struct relay_case c = { .guards = "a resting answer is held",
                                       .kind = CATALOG_SAFE,
                                       .attempts = 2,
                                       .request = PLAIN,
                                       .answers = { { GOOD } },
                                       .status = 200,
                                       .body = "ok",
                                       .sends = 1 };

  (void)state;
  setup (&c);
  run_until_answered ();
  check (&c);
  assert_false (TAILQ_EMPTY (&test.relay.idle));
  assert_int_equal (test.relay.answer_bytes, 0);
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
          for (struct lane *load = test.relay.lanes.table;
               why == NO_OTHER_ENDPOINT && load != NULL; load = load->hh.next)
            if (load->running == 0)
              balance_avoid (load, now_ms + WAIT_MS);
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

#define SAYS_LEAVING                                                           \
  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"
#define NOT_RUN_LEAVING                                                        \
  "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\nX-Leaving: "               \
  "1\r\nContent-Length: 0\r\n\r\n"
#define STREAM_LEAVING                                                         \
  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nTransfer-Encoding: "         \
  "chunked\r\n\r\n" CHUNK ("1") "0\r\n\r\n"

/* What happens to the endpoints' entries between the answer and a request. */
enum change
{
  CHANGE_NONE,
  CHANGE_REPEATED, /* its entry comes anew, of the same life */
  CHANGE_RETURNED, /* the entry is gone and comes back */
  CHANGE_REBORN,   /* it starts again under its id */
};

static const struct
{
  const char *guards;
  enum catalog_kind kind;
  struct answer answers[SENDS];
  enum change change;
  unsigned first_sends;
  unsigned status; /* of a request after both endpoints said so */
} leavings[] = {
  { "an endpoint that said so gets more",
    CATALOG_SAFE,
    { { SAYS_LEAVING } },
    CHANGE_NONE,
    1,
    503 },
  { "a stream's head does not count",
    CATALOG_STREAM,
    { { STREAM_LEAVING } },
    CHANGE_NONE,
    1,
    503 },
  { "a refusal does not count",
    CATALOG_SAFE,
    { { NOT_RUN_LEAVING }, { SAYS_LEAVING } },
    CHANGE_NONE,
    2,
    503 },
  { "an entry goes before the endpoint's word",
    CATALOG_SAFE,
    { { SAYS_LEAVING } },
    CHANGE_REPEATED,
    1,
    503 },
  { "an entry that returns does",
    CATALOG_SAFE,
    { { SAYS_LEAVING } },
    CHANGE_RETURNED,
    1,
    503 },
  { "a new life answers for the former one",
    CATALOG_SAFE,
    { { SAYS_LEAVING } },
    CHANGE_REBORN,
    1,
    200 },
  { "another value counts",
    CATALOG_SAFE,
    { { "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 0\r\nContent-Length: "
        "2\r\n\r\nok" } },
    CHANGE_NONE,
    1,
    200 },
};

static void
change_entry (const char *id, enum change change)
{
  const struct endpoint *endpoint = endpoints_find (&test.endpoints, id);
  struct endpoint_report report = endpoint->report;
  int64_t now_ms = time_boot_ms ();

  if (change == CHANGE_NONE)
    return;
  if (change == CHANGE_RETURNED)
    {
      endpoints_delete (&test.endpoints, id, 2, now_ms);
      endpoints_tick (&test.endpoints, now_ms + 1);
      relay_tick (&test.relay, now_ms + 2000);
    }
  if (change == CHANGE_REBORN)
    report.started_ms++;
  endpoints_report (&test.endpoints, id, &report, 3, now_ms);
}

static void
test_leaving (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof leavings / sizeof leavings[0]; i++)
    {
      struct relay_case c = { .guards = leavings[i].guards,
                              .kind = leavings[i].kind,
                              .resumable = true,
                              .attempts = 2,
                              .request = PLAIN,
                              .status = 200,
                              .sends = leavings[i].first_sends };
      unsigned sends = leavings[i].first_sends;

      memcpy (c.answers, leavings[i].answers, sizeof c.answers);
      setup (&c);
      if (sends == 1)
        {
          endpoints_delete (&test.endpoints, "e1", 1, 1);
          endpoints_tick (&test.endpoints, 1);
        }
      run_until_answered ();
      check (&c);
      change_entry ("e0", leavings[i].change);
      c.request = PLAIN_2;
      c.answers[sends] = (struct answer){ GOOD_2 };
      c.status = leavings[i].status;
      c.sends = sends + (c.status == 200);
      ask_again (&c);
      check (&c);
      teardown ();
    }
}

#define BUSY(fields)                                                           \
  "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\n" fields                   \
  "Content-Length: 0\r\n\r\n"

/* Forms of Retry-After, and when the endpoint gets a request again. */
static const struct
{
  const char *guards;
  const char *answer;
  enum change change;
  int64_t least_ms; /* until it may get one; 0 = it asked for nothing */
  int64_t most_ms;
} back_offs[] = {
  { "seconds", BUSY ("Retry-After: 30\r\n"), CHANGE_NONE, 29000, 30000 },
  { "a fraction", BUSY ("Retry-After: 20.5\r\n"), CHANGE_NONE, 20000, 20500 },
  { "the limit", BUSY ("Retry-After: 99999999999999999999\r\n"), CHANGE_NONE,
    59000, 60000 },
  { "a date",
    BUSY ("Date: Fri, 04 Dec 2026 10:00:00 GMT\r\n"
          "Retry-After: Fri, 04 Dec 2026 10:00:30 GMT\r\n"),
    CHANGE_NONE, 29000, 30000 },
  { "a date without the response's own",
    BUSY ("Retry-After: Fri, 04 Dec 2026 10:00:30 GMT\r\n"), CHANGE_NONE, 0,
    0 },
  { "a date in the past",
    BUSY ("Date: Fri, 04 Dec 2026 10:00:00 GMT\r\n"
          "Retry-After: Fri, 04 Dec 2026 09:00:30 GMT\r\n"),
    CHANGE_NONE, 0, 0 },
  { "none", BUSY (""), CHANGE_NONE, 0, 0 },
  { "zero", BUSY ("Retry-After: 0\r\n"), CHANGE_NONE, 0, 0 },
  { "an empty one", BUSY ("Retry-After:\r\n"), CHANGE_NONE, 0, 0 },
  { "a negative one", BUSY ("Retry-After: -3\r\n"), CHANGE_NONE, 0, 0 },
  { "words", BUSY ("Retry-After: 3 soon\r\n"), CHANGE_NONE, 0, 0 },
  { "no number", BUSY ("Retry-After: nan\r\n"), CHANGE_NONE, 0, 0 },
  { "a new entry", BUSY ("Retry-After: 30\r\n"), CHANGE_REPEATED, 29000,
    30000 },
  { "an entry that returns", BUSY ("Retry-After: 30\r\n"), CHANGE_RETURNED,
    29000, 30000 },
  { "a new life", BUSY ("Retry-After: 30\r\n"), CHANGE_REBORN, 0, 0 },
};

static void
test_back_off (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof back_offs / sizeof back_offs[0]; i++)
    {
      struct relay_case c = { .guards = back_offs[i].guards,
                              .kind = CATALOG_UNSAFE,
                              .attempts = 1,
                              .request = PLAIN,
                              .answers = { { back_offs[i].answer } },
                              .status = 503,
                              .sends = 1 };
      struct lane *load;

      setup (&c);
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_answered ();
      check (&c);
      change_entry ("e0", back_offs[i].change);
      /* What is remembered of a refusal besides is over sooner. */
      load = lanes_get (&test.relay.lanes,
                        endpoints_find (&test.endpoints, "e0"));
      load->avoid_until_ms = 0;
      c.request = PLAIN_2;
      c.answers[1] = (struct answer){ GOOD_2 };
      c.status = back_offs[i].least_ms > 0 ? 503 : 200;
      c.sends = back_offs[i].least_ms > 0 ? 1 : 2;
      ask_again (&c);
      check (&c);
      /* The caller is told when the endpoint may be asked again. */
      if (back_offs[i].least_ms > 0
          && (test.retry_after_s * 1000 < (double)back_offs[i].least_ms
              || test.retry_after_s * 1000
                     > (double)back_offs[i].most_ms + 1000))
        fail_msg ("%s: told %.3f s", c.guards, test.retry_after_s);
      if (load->back_off_until_ms - time_boot_ms () > back_offs[i].most_ms)
        fail_msg ("%s: %d ms", c.guards,
                  (int)(load->back_off_until_ms - time_boot_ms ()));
      teardown ();
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_endless),
    cmocka_unit_test (test_shared_limit),
    cmocka_unit_test (test_resting_holds_nothing),
    cmocka_unit_test (test_pauses),
    cmocka_unit_test (test_slow_stream),
    cmocka_unit_test (test_second_answers),
    cmocka_unit_test (test_bytes_at_rest),
    cmocka_unit_test (test_leaving),
    cmocka_unit_test (test_back_off),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
