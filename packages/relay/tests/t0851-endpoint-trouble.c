#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Guards against faulty and slow endpoints: endless responses, stalled and slow
 * streams, late duplicate responses, and drain and back-off signals.
 */

/* Limit of bytes that the relay may hold for one endpoint. */
#define HELD_LIMIT_BYTES ((8U << 20) + 65536)

#define X16 "xxxxxxxxxxxxxxxx"
#define X128 X16 X16 X16 X16 X16 X16 X16 X16

static const struct relay_case endless_responses[] = {
  { .guards = "endless field lines are read",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { HEAD, .flood = "X-Field: " X128 "\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "an endless field is read",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { HEAD "X-Field: ", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "endless interim responses are read",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { "", .flood = "HTTP/1.1 100 Continue\r\n\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "endless blank lines before a response are read",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { "", .flood = "\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "an endless chunk extension is read",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { CHUNKED "2;", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "endless trailer fields are read",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses
    = { { CHUNKED "0\r\n", .flood = "X-Field: " X128 "\r\n" }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "an endless body is buffered",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { HEAD "\r\n", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "a request with an endless response is reported as not run",
    .kind = CATALOG_UNSAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { HEAD "\r\n", .flood = X128 }, { GOOD } },
    .status = 502,
    .sends = 1 },
  { .guards = "an endless body of another request is read",
    .kind = CATALOG_SAFE,
    .attempts = 2,
    .request = PLAIN,
    .responses
    = { { "HTTP/1.1 200 OK\r\nX-Id: r0\r\n\r\n", .flood = X128 }, { GOOD } },
    .status = 200,
    .body = "ok",
    .sends = 2 },
  { .guards = "an endless event is buffered",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { CHUNKED CHUNK ("1"), .flood = "80\r\n" X128 "\r\n" },
                   { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 2 },
  { .guards = "endless lines without the end of an event are buffered",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { CHUNKED CHUNK ("1"), .flood = "3\r\nx:\n\r\n" },
                   { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 2 },
  { .guards = "endless comments count as a stream",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { CHUNKED CHUNK ("1"), .flood = "3\r\n:\n\n\r\n" },
                   { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .sends = 2 },
};

static void
test_endless (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof endless_responses / sizeof endless_responses[0];
       i++)
    {
      setup (&endless_responses[i]);
      run_until_response ();
      assert_case_result (&endless_responses[i]);
      if (test.max_held_bytes > HELD_LIMIT_BYTES)
        fail_msg ("%s: %zu bytes held", endless_responses[i].guards,
                  test.max_held_bytes);
      teardown ();
      assert_int_equal (test.relay.memory.held[MEMORY_RESPONSES], 0);
    }
}

/* Guards the total limit of buffered responses of all endpoints. */
static void
test_shared_limit (void **state)
{
  static const struct relay_case c
      = { .guards = "responses over the total limit are buffered",
          .kind = CATALOG_SAFE,
          .attempts = 2,
          .request = PLAIN,
          .responses = { { HEAD "\r\n", .flood = X128 }, { GOOD } },
          .status = 200,
          .body = "ok",
          .sends = 2 };
  struct memory_charge elsewhere = { 0 };
  size_t held_elsewhere;

  (void)state;
  setup (&c);
  held_elsewhere = test.relay.memory.full_bytes;
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere,
                      held_elsewhere);
  run_until_response ();
  assert_case_result (&c);
  if (test.max_held_bytes > held_elsewhere + (1U << 20))
    fail_msg ("%zu bytes held", test.max_held_bytes);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere, 0);
  teardown ();
}

/* Guards against idle connections that keep the buffer of a response. */
static void
test_idle_connection_holds_no_body (void **state)
{
  static const struct relay_case c
      = { .guards = "an idle connection keeps the last response",
          .kind = CATALOG_SAFE,
          .attempts = 2,
          .request = PLAIN,
          .responses = { { GOOD } },
          .status = 200,
          .body = "ok",
          .sends = 1 };

  (void)state;
  setup (&c);
  run_until_response ();
  assert_case_result (&c);
  assert_false (TAILQ_EMPTY (&test.relay.idle));
  assert_int_equal (test.relay.memory.held[MEMORY_RESPONSES], 0);
  teardown ();
}

/*
 * Guards against stalled streams that are not moved.  A stream is stalled if no
 * whole event arrives, whatever other bytes do.  It fails over if another
 * endpoint can continue it.
 */
static const struct relay_case stalled_streams[] = {
  { .guards = "single bytes count as progress",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { CHUNKED CHUNK ("1"), .drip = "1\r\nx\r\n" },
                   { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 2,
    .event_gap_ms = 100 },
  { .guards = "comments count as progress",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses = { { CHUNKED CHUNK ("1"), .drip = "3\r\n:\n\n\r\n" },
                   { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .sends = 2,
    .event_gap_ms = 100 },
  { .guards = "a silent stream does not fail over",
    .kind = CATALOG_STREAM,
    .resumable = true,
    .attempts = 2,
    .request = PLAIN,
    .responses
    = { { CHUNKED CHUNK ("1") }, { CHUNKED CHUNK ("2") "0\r\n\r\n" } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2"),
    .sends = 2,
    .event_gap_ms = 100 },
};

static void
test_stalled_streams (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof stalled_streams / sizeof stalled_streams[0];
       i++)
    {
      setup (&stalled_streams[i]);
      run_until_response ();
      assert_case_result (&stalled_streams[i]);
      teardown ();
    }
}

/* Reasons why a slow stream cannot fail over and must be kept. */
enum failover_obstacle
{
  NO_RETRY_LEFT,
  NO_OTHER_ENDPOINT,
};

static void
test_slow_stream (void **state)
{
  static const struct relay_case slow
      = { .guards = "a slow stream is broken off",
          .kind = CATALOG_STREAM,
          .resumable = true,
          .attempts = 2,
          .request = PLAIN,
          .responses = { { CHUNKED CHUNK ("1") } },
          .status = 200,
          .body = EVENT ("1") EVENT ("2"),
          .sends = 1,
          .event_gap_ms = 40 };

  (void)state;
  for (int obstacle = NO_RETRY_LEFT; obstacle <= NO_OTHER_ENDPOINT; obstacle++)
    {
      struct relay_case c = slow;
      int64_t write_at_ms = 0;

      c.no_retries = obstacle == NO_RETRY_LEFT;
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
          if (write_at_ms == 0)
            write_at_ms = now_ms + 400;
          for (struct endpoint_load *load = test.relay.loads.table;
               obstacle == NO_OTHER_ENDPOINT && load != NULL;
               load = load->hh.next)
            if (load->running == 0)
              balance_avoid (load, now_ms + WAIT_MS);
          if (now_ms < write_at_ms || test.connections == NULL
              || test.connections->connection.fd < 0)
            continue;
          write_at_ms = INT64_MAX;
          http_connection_write (&test.connections->connection,
                                 CHUNK ("2") "0\r\n\r\n",
                                 strlen (CHUNK ("2") "0\r\n\r\n"));
        }
      assert_case_result (&c);
      teardown ();
    }
}

/* Sends another request on the caller's connection, waits for the response. */
static void
send_second_request (const struct relay_case *c)
{
  test.c = c;
  test.complete = false;
  test.status = 0;
  test.has_retry_after = false;
  http_text_reset (&test.body);
  http_connection_next_message (&test.caller, false);
  http_connection_write (&test.caller, c->request, strlen (c->request));
  run_until_response ();
}

#define PLAIN_2                                                                \
  "GET /r/1?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\n" KEY                       \
  "X-Deadline: 2000\r\n\r\n"
#define GOOD_2                                                                 \
  "HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\ntwo"

/*
 * Guards against a late duplicate of a response that is forwarded to the next
 * request.  A connection that carried r1 carries r2; before the response to r2
 * come bytes that repeat r1's response or cannot be distinguished from it.
 */
static const struct
{
  const char *guards;
  const char *request;
  const char *bytes;
  unsigned status;
  const char *body;
  unsigned sends;
} late_duplicates[] = {
  { "a duplicate response is forwarded to the next request", PLAIN_2,
    GOOD GOOD_2, 200, "two", 2 },
  { "two duplicate responses are forwarded", PLAIN_2, GOOD GOOD GOOD_2, 200,
    "two", 2 },
  { "a duplicate after an interim response is forwarded", PLAIN_2,
    "HTTP/1.1 100 Continue\r\n\r\n" GOOD GOOD_2, 200, "two", 2 },
  { "a duplicate stream is forwarded", PLAIN_2,
    CHUNKED CHUNK ("1") CHUNK ("2") "0\r\n\r\n" GOOD_2, 200, "two", 2 },
  { "a duplicate response without a body is forwarded", PLAIN_2,
    "HTTP/1.1 204 None\r\nX-Id: r1\r\n\r\n" GOOD_2, 200, "two", 2 },
  { "a duplicate refusal is forwarded", PLAIN_2,
    "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: "
    "0\r\n\r\n" GOOD_2,
    200, "two", 2 },
  { "a refusal without an id is forwarded", PLAIN_2, NOT_RUN GOOD_2, 502, NULL,
    2 },
  { "a failure without an id is forwarded", PLAIN_2,
    "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n" GOOD_2, 502, NULL, 2 },
  { "a refusal with an empty id is forwarded to a request without an id",
    "GET /r/1?q=1 HTTP/1.1\r\nHost: h\r\n" KEY "\r\n",
    "HTTP/1.1 503 Busy\r\nX-Id:\r\nX-Not-Run: 1\r\nContent-Length: "
    "0\r\n\r\n" GOOD_2,
    502, NULL, 2 },
  { "a duplicate response is forwarded to a HEAD request",
    "HEAD /r/1?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\n" KEY "\r\n", GOOD GOOD_2,
    502, NULL, 2 },
};

static void
test_late_duplicates (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof late_duplicates / sizeof late_duplicates[0];
       i++)
    {
      struct relay_case c
          = { .guards = late_duplicates[i].guards,
              .kind = CATALOG_UNSAFE,
              .attempts = 1,
              .request = PLAIN,
              .responses = { { GOOD }, { late_duplicates[i].bytes } },
              .status = 200,
              .body = "ok",
              .sends = 1 };

      setup (&c);
      /* With one endpoint left, both requests use one connection. */
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_response ();
      assert_case_result (&c);
      c.request = late_duplicates[i].request;
      c.status = late_duplicates[i].status;
      c.body = late_duplicates[i].body;
      c.sends = late_duplicates[i].sends;
      test.caller.no_body = c.request[0] == 'H';
      send_second_request (&c);
      assert_case_result (&c);
      if (test.connections->next != NULL)
        fail_msg ("%s: another connection", c.guards);
      teardown ();
    }
}

/*
 * Guards against an earlier refusal, written once more, that counts as the
 * answer to the next request of its connection: that request was sent and may
 * have run.
 */
#define REFUSAL(status, fields)                                                \
  "HTTP/1.1 " status " No\r\nX-Not-Run: 1\r\n" fields                          \
  "Content-Length: 4\r\n\r\nbusy"
#define BODY_2                                                                 \
  "POST /r/1?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: r2\r\n" KEY                      \
  "X-Deadline: 2000\r\nContent-Length: 262144\r\n\r\n"
#define BODY_2_BYTES 262144

static const struct
{
  const char *name;
  const char *bytes;
  bool has_id; /* the id shows that it belongs to an earlier request */
} repeated_refusals[] = {
  { "503 without an id", REFUSAL ("503", ""), false },
  { "503 with an empty id", REFUSAL ("503", "X-Id:\r\n"), false },
  { "503 with a time to retry", REFUSAL ("503", "Retry-After: 0.1\r\n"),
    false },
  { "429 without an id", REFUSAL ("429", ""), false },
  { "421 without an id", REFUSAL ("421", ""), false },
  { "421 that has no mark", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n",
    false },
  { "400 without an id", REFUSAL ("400", ""), false },
  { "503 after an interim response",
    "HTTP/1.1 100 Continue\r\n\r\n" REFUSAL ("503", ""), false },
  { "503 with the earlier id", REFUSAL ("503", "X-Id: r1\r\n"), true },
  { "429 with the earlier id", REFUSAL ("429", "X-Id: r1\r\n"), true },
  { "421 with the earlier id", REFUSAL ("421", "X-Id: r1\r\n"), true },
};

/* Moment at which the refusal is written once more. */
enum repeat_moment
{
  REPEAT_WITH_RESPONSE, /* in one segment with the earlier response */
  REPEAT_WHILE_IDLE,
  REPEAT_IN_ANSWER,
  REPEAT_IN_PIECES,
  REPEAT_IN_BODY, /* while the body of the next request is being sent */
  REPEAT_MOMENTS,
};

static void
run_repeated_refusal (const char *name,
                      const char *refusal,
                      bool has_id,
                      enum repeat_moment moment)
{
  char guards[128];
  char first[512];
  char second[512];
  char *request = NULL;
  struct relay_case c = { .guards = guards,
                          .kind = CATALOG_UNSAFE,
                          .attempts = 2,
                          .request = PLAIN,
                          .responses = { { first }, { second }, { GOOD_2 } },
                          .status = 200,
                          .body = "ok",
                          .sends = 1 };

  snprintf (guards, sizeof guards, "%s is taken for an answer, moment %d", name,
            (int)moment);
  snprintf (first, sizeof first, "%s%s", GOOD,
            moment == REPEAT_WITH_RESPONSE ? refusal : "");
  snprintf (second, sizeof second, "%s%s",
            moment == REPEAT_IN_ANSWER || moment == REPEAT_IN_PIECES ? refusal
                                                                     : "",
            GOOD_2);
  c.responses[1].in_pieces = moment == REPEAT_IN_PIECES;
  c.responses[1].early = moment == REPEAT_IN_BODY ? refusal : NULL;
  setup (&c);
  endpoints_delete (&test.endpoints, "e1", 1, 1);
  endpoints_tick (&test.endpoints, 1);
  run_until_response ();
  assert_case_result (&c);
  if (moment == REPEAT_WHILE_IDLE)
    {
      http_connection_write (&test.connections->connection, refusal,
                             strlen (refusal));
      for (unsigned n = 0; n < 20; n++)
        event_base_loop (test.base, EVLOOP_NONBLOCK);
    }
  c.request = PLAIN_2;
  if (moment == REPEAT_IN_BODY)
    {
      request = calloc (1, strlen (BODY_2) + BODY_2_BYTES + 1);
      assert_non_null (request);
      memcpy (request, BODY_2, strlen (BODY_2));
      memset (request + strlen (BODY_2), 'x', BODY_2_BYTES);
      c.request = request;
    }
  c.status = moment >= REPEAT_IN_ANSWER && !has_id ? 502 : 200;
  c.body = c.status == 200 ? "two" : NULL;
  c.sends = 2;
  send_second_request (&c);
  /* The endpoint may not have read the body of a request that has failed. */
  if (moment == REPEAT_IN_BODY && test.status == 502 && test.sends == 1)
    c.sends = 1;
  assert_case_result (&c);
  teardown ();
  free (request);
}

static void
test_repeated_refusals (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof repeated_refusals / sizeof repeated_refusals[0];
       i++)
    for (int moment = 0; moment < REPEAT_MOMENTS; moment++)
      run_repeated_refusal (repeated_refusals[i].name,
                            repeated_refusals[i].bytes,
                            repeated_refusals[i].has_id, moment);
}

/*
 * Guards against a copy of a refusal with the id of a request that comes again:
 * a connection that carried a refusal carries no other request.
 */
static void
test_refused_connection (void **state)
{
  static const char *const refusals[]
      = { REFUSAL ("503", "X-Id: r1\r\n"), REFUSAL ("429", "X-Id: r1\r\n"),
          REFUSAL ("421", "X-Id: r1\r\n") };

  (void)state;
  for (size_t i = 0; i < sizeof refusals / sizeof refusals[0]; i++)
    {
      struct relay_case c
          = { .guards = "a refusal counts twice for the same id",
              .kind = CATALOG_UNSAFE,
              .attempts = 2,
              .request = PLAIN,
              .responses = { { refusals[i] }, { GOOD } },
              .status = 503,
              .sends = 1 };
      struct endpoint_load *load;

      setup (&c);
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_response ();
      assert_case_result (&c);
      load = load_table_get (&test.relay.loads,
                             endpoints_find (&test.endpoints, "e0"));
      load->avoid_until_ms = 0;
      c.status = 200;
      c.body = "ok";
      c.sends = 2;
      send_second_request (&c);
      assert_case_result (&c);
      assert_non_null (test.connections->next);
      teardown ();
    }
}

/*
 * Guards against unsolicited bytes on an idle connection.  They end it, and the
 * next request gets a new connection.
 */
static void
test_bytes_on_idle_connection (void **state)
{
  static const char *const bytes[] = { GOOD, HEAD, "HTTP/1.1 100 Go\r\n\r\n" };

  (void)state;
  for (size_t i = 0; i < sizeof bytes / sizeof bytes[0]; i++)
    {
      struct relay_case c
          = { .guards = "an idle connection that received bytes is used again",
              .kind = CATALOG_UNSAFE,
              .attempts = 1,
              .request = PLAIN,
              .responses = { { GOOD }, { GOOD_2 } },
              .status = 200,
              .body = "ok",
              .sends = 1 };

      setup (&c);
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_response ();
      assert_case_result (&c);
      http_connection_write (&test.connections->connection, bytes[i],
                             strlen (bytes[i]));
      for (unsigned n = 0; n < 20; n++)
        event_base_loop (test.base, EVLOOP_NONBLOCK);
      c.request = PLAIN_2;
      c.body = "two";
      c.sends = 2;
      send_second_request (&c);
      assert_case_result (&c);
      assert_non_null (test.connections->next);
      teardown ();
    }
}

#define GOOD_LEAVING                                                           \
  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"
#define NOT_RUN_LEAVING                                                        \
  "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\nX-Leaving: "               \
  "1\r\nContent-Length: 0\r\n\r\n"
#define STREAM_LEAVING                                                         \
  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nTransfer-Encoding: "         \
  "chunked\r\n\r\n" CHUNK ("1") "0\r\n\r\n"

/* Change of the endpoint's entry between the first and the second request. */
enum entry_change
{
  CHANGE_NONE,
  CHANGE_REPORTED_AGAIN,   /* its entry is reported again, same incarnation */
  CHANGE_DELETED_AND_BACK, /* its entry is deleted and comes back */
  CHANGE_RESTARTED,        /* it restarts under the same id */
};

static const struct
{
  const char *guards;
  enum catalog_kind kind;
  struct response responses[SENDS];
  enum entry_change entry_change;
  unsigned first_sends;
  unsigned status; /* of the second request */
} leaving_cases[] = {
  { "an endpoint that signalled a drain gets requests",
    CATALOG_SAFE,
    { { GOOD_LEAVING } },
    CHANGE_NONE,
    1,
    503 },
  { "the drain signal of a stream is ignored",
    CATALOG_STREAM,
    { { STREAM_LEAVING } },
    CHANGE_NONE,
    1,
    503 },
  { "the drain signal of a refusal is ignored",
    CATALOG_SAFE,
    { { NOT_RUN_LEAVING }, { GOOD_LEAVING } },
    CHANGE_NONE,
    2,
    503 },
  { "an entry reported again overrides the drain signal",
    CATALOG_SAFE,
    { { GOOD_LEAVING } },
    CHANGE_REPORTED_AGAIN,
    1,
    503 },
  { "an entry that comes back overrides the drain signal",
    CATALOG_SAFE,
    { { GOOD_LEAVING } },
    CHANGE_DELETED_AND_BACK,
    1,
    503 },
  { "a drain signal applies to the next incarnation",
    CATALOG_SAFE,
    { { GOOD_LEAVING } },
    CHANGE_RESTARTED,
    1,
    200 },
  { "another value counts as a drain signal",
    CATALOG_SAFE,
    { { "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 0\r\nContent-Length: "
        "2\r\n\r\nok" } },
    CHANGE_NONE,
    1,
    200 },
};

static void
apply_entry_change (const char *id, enum entry_change entry_change)
{
  const struct endpoint *endpoint = endpoints_find (&test.endpoints, id);
  struct endpoint_report report = endpoint->report;
  int64_t now_ms = time_boot_ms ();
  struct text_pool texts;

  if (entry_change == CHANGE_NONE)
    return;
  text_pool_init (&texts);
  endpoint_report_keep (&report, &texts);
  if (entry_change == CHANGE_DELETED_AND_BACK)
    {
      endpoints_delete (&test.endpoints, id, 2, now_ms);
      endpoints_tick (&test.endpoints, now_ms + 1);
      relay_tick (&test.relay, now_ms + 2000);
    }
  if (entry_change == CHANGE_RESTARTED)
    report.started_ms++;
  endpoints_report (&test.endpoints, id, &report, 3, now_ms);
  text_pool_finish (&texts);
}

static void
test_leaving (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof leaving_cases / sizeof leaving_cases[0]; i++)
    {
      struct relay_case c = { .guards = leaving_cases[i].guards,
                              .kind = leaving_cases[i].kind,
                              .resumable = true,
                              .attempts = 2,
                              .request = PLAIN,
                              .status = 200,
                              .sends = leaving_cases[i].first_sends };
      unsigned sends = leaving_cases[i].first_sends;

      memcpy (c.responses, leaving_cases[i].responses, sizeof c.responses);
      setup (&c);
      if (sends == 1)
        {
          endpoints_delete (&test.endpoints, "e1", 1, 1);
          endpoints_tick (&test.endpoints, 1);
        }
      run_until_response ();
      assert_case_result (&c);
      apply_entry_change ("e0", leaving_cases[i].entry_change);
      c.request = PLAIN_2;
      c.responses[sends] = (struct response){ GOOD_2 };
      c.status = leaving_cases[i].status;
      c.sends = sends + (c.status == 200);
      send_second_request (&c);
      assert_case_result (&c);
      teardown ();
    }
}

#define BUSY(fields)                                                           \
  "HTTP/1.1 503 Busy\r\nX-Id: r1\r\nX-Not-Run: 1\r\n" fields                   \
  "Content-Length: 0\r\n\r\n"

/* Guards the forms of Retry-After and the resulting back-off. */
static const struct
{
  const char *name;
  const char *response;
  enum entry_change entry_change;
  int64_t min_ms; /* shortest back-off; 0 = none requested */
  int64_t max_ms;
} back_off_cases[] = {
  { "seconds", BUSY ("Retry-After: 30\r\n"), CHANGE_NONE, 29000, 30000 },
  { "a fraction", BUSY ("Retry-After: 20.5\r\n"), CHANGE_NONE, 20000, 20500 },
  { "the limit", BUSY ("Retry-After: 99999999999999999999\r\n"), CHANGE_NONE,
    59000, 60000 },
  { "a date",
    BUSY ("Date: Fri, 04 Dec 2026 10:00:00 GMT\r\n"
          "Retry-After: Fri, 04 Dec 2026 10:00:30 GMT\r\n"),
    CHANGE_NONE, 29000, 30000 },
  { "a date in a response without its own date",
    BUSY ("Retry-After: Fri, 04 Dec 2026 10:00:30 GMT\r\n"), CHANGE_NONE, 0,
    0 },
  { "a date in the past",
    BUSY ("Date: Fri, 04 Dec 2026 10:00:00 GMT\r\n"
          "Retry-After: Fri, 04 Dec 2026 09:00:30 GMT\r\n"),
    CHANGE_NONE, 0, 0 },
  { "no field", BUSY (""), CHANGE_NONE, 0, 0 },
  { "zero", BUSY ("Retry-After: 0\r\n"), CHANGE_NONE, 0, 0 },
  { "an empty value", BUSY ("Retry-After:\r\n"), CHANGE_NONE, 0, 0 },
  { "a negative value", BUSY ("Retry-After: -3\r\n"), CHANGE_NONE, 0, 0 },
  { "a number followed by a word", BUSY ("Retry-After: 3 soon\r\n"),
    CHANGE_NONE, 0, 0 },
  { "a value that is not a number", BUSY ("Retry-After: nan\r\n"), CHANGE_NONE,
    0, 0 },
  { "an entry reported again", BUSY ("Retry-After: 30\r\n"),
    CHANGE_REPORTED_AGAIN, 29000, 30000 },
  { "an entry that comes back", BUSY ("Retry-After: 30\r\n"),
    CHANGE_DELETED_AND_BACK, 29000, 30000 },
  { "a new incarnation", BUSY ("Retry-After: 30\r\n"), CHANGE_RESTARTED, 0, 0 },
};

static void
test_back_off (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof back_off_cases / sizeof back_off_cases[0]; i++)
    {
      struct relay_case c = { .guards = back_off_cases[i].name,
                              .kind = CATALOG_UNSAFE,
                              .attempts = 1,
                              .request = PLAIN,
                              .responses = { { back_off_cases[i].response } },
                              .status = 503,
                              .sends = 1 };
      struct endpoint_load *load;

      setup (&c);
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_response ();
      assert_case_result (&c);
      apply_entry_change ("e0", back_off_cases[i].entry_change);
      /* A refusal also avoids the endpoint for a shorter time; this ends it. */
      load = load_table_get (&test.relay.loads,
                             endpoints_find (&test.endpoints, "e0"));
      load->avoid_until_ms = 0;
      c.request = PLAIN_2;
      c.responses[1] = (struct response){ GOOD_2 };
      c.status = back_off_cases[i].min_ms > 0 ? 503 : 200;
      c.sends = back_off_cases[i].min_ms > 0 ? 1 : 2;
      send_second_request (&c);
      assert_case_result (&c);
      /* The caller's Retry-After covers the back-off. */
      if (back_off_cases[i].min_ms > 0
          && (test.retry_after_s * 1000 < (double)back_off_cases[i].min_ms
              || test.retry_after_s * 1000
                     > (double)back_off_cases[i].max_ms + 1000))
        fail_msg ("%s: Retry-After %.3f s", c.guards, test.retry_after_s);
      if (load->back_off_until_ms - time_boot_ms () > back_off_cases[i].max_ms)
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
    cmocka_unit_test (test_idle_connection_holds_no_body),
    cmocka_unit_test (test_stalled_streams),
    cmocka_unit_test (test_slow_stream),
    cmocka_unit_test (test_late_duplicates),
    cmocka_unit_test (test_repeated_refusals),
    cmocka_unit_test (test_refused_connection),
    cmocka_unit_test (test_bytes_on_idle_connection),
    cmocka_unit_test (test_leaving),
    cmocka_unit_test (test_back_off),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
