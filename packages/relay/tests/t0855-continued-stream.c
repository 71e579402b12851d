#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define ENDPOINTS 3
#include "relay-fixture.h"

/*
 * A stream has begun and breaks off; the next endpoint answers with something
 * that does not continue it.  The caller must not see a byte of that, nor the
 * end of the stream.
 */

#define BROKEN_STREAM CHUNKED CHUNK ("1") "5\r\nid: 2\r\n"
#define REST CHUNKED CHUNK ("2") "0\r\n\r\n"
#define STATUS(status, fields)                                                 \
  "HTTP/1.1 " status " X\r\nX-Id: r1\r\nX-Seal: s\r\n" fields
#define WITH_LENGTH "Content-Length: 7\r\n\r\noops\n\n\n"
#define IN_CHUNKS                                                              \
  "Transfer-Encoding: chunked\r\n\r\n7\r\noops\n\n\n\r\n0\r\n\r\n"
#define TO_THE_END "\r\noops\n\n"
#define SSE "Content-Type: text/event-stream\r\n"
#define ONE_CHUNK(size, data)                                                  \
  "Transfer-Encoding: chunked\r\n\r\n" size "\r\n" data "\r\n0\r\n\r\n"
#define X16 "xxxxxxxxxxxxxxxx"

struct wrong_answer
{
  const char *name;
  struct response response;
  bool not_run; /* it does not count as an attempt */
};

static const struct wrong_answer wrong_answers[] = {
  { "500 with a length", { STATUS ("500", WITH_LENGTH) } },
  { "500 in chunks", { STATUS ("500", IN_CHUNKS) } },
  { "500 up to the end", { STATUS ("500", TO_THE_END), .close = true } },
  { "500 without an end", { STATUS ("500", "\r\n"), .drip = "x" } },
  { "500 as an event stream",
    { STATUS ("500", SSE "Content-Length: 7\r\n\r\n" EVENT ("2")) } },
  { "503 with a length", { STATUS ("503", WITH_LENGTH) } },
  { "503 that says not run",
    { STATUS ("503", "X-Not-Run: 1\r\n" IN_CHUNKS) },
    true },
  { "503 without an id", { NOT_RUN }, true },
  { "404 with a length", { STATUS ("404", WITH_LENGTH) } },
  { "404 without an end", { STATUS ("404", "\r\n"), .drip = "x" } },
  { "421 in chunks", { STATUS ("421", IN_CHUNKS) }, true },
  { "429 up to the end", { STATUS ("429", TO_THE_END), .close = true } },
  { "429 that says not run",
    { STATUS ("429", "X-Not-Run: 1\r\n" WITH_LENGTH) },
    true },
  { "206 with the next event",
    { STATUS ("206", SSE "Content-Length: 7\r\n\r\n" EVENT ("2")) } },
  { "204", { STATUS ("204", "\r\n") } },
  { "200 with a text", { STATUS ("200", WITH_LENGTH) } },
  { "200 with a text in chunks", { STATUS ("200", IN_CHUNKS) } },
  { "200 with a text up to the end",
    { STATUS ("200", TO_THE_END), .close = true } },
  { "200 with an empty body of another type",
    { STATUS ("200",
              "Content-Type: text/html\r\nContent-Length: 0\r\n\r\n") } },
  { "200 that ends with its connection before an event",
    { STATUS ("200", SSE "\r\n"), .close = true } },
  { "200 that ends with its connection after a comment",
    { STATUS ("200", SSE "\r\n:\n\n"), .close = true } },
  { "200 of another type with the next event",
    { STATUS ("200",
              "Content-Type: text/html\r\n"
              "Content-Length: 7\r\n\r\n" EVENT ("2")) } },
  { "200 with data that has no id",
    { STATUS ("200", SSE ONE_CHUNK ("c", "data: oops\n\n")) } },
  { "200 with an error event",
    { STATUS ("200", SSE ONE_CHUNK ("19", "event: error\ndata: oops\n\n")) } },
  { "200 with an event without data",
    { STATUS ("200", SSE ONE_CHUNK ("e", "event: error\n\n")) } },
  { "200 that starts anew", { CHUNKED CHUNK ("1") CHUNK ("2") "0\r\n\r\n" } },
  { "200 that leaves out an event", { CHUNKED CHUNK ("3") "0\r\n\r\n" } },
  { "200 with an id that is no number",
    { STATUS ("200", SSE ONE_CHUNK ("8", "id: 2x\n\n")) } },
  { "200 with an empty id and a number after it",
    { STATUS ("200", SSE ONE_CHUNK ("8", "id:\n\n2\n\n")) } },
  { "200 with a refusal's head as its body",
    { STATUS ("200", "\r\nHTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\n"),
      .close = true } },
  { "200 that is encoded",
    { STATUS ("200",
              SSE
              "Content-Encoding: gzip\r\n" ONE_CHUNK ("7", EVENT ("2"))) } },
  { "200 of another request",
    { "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX-Seal: s\r\n\r\n" EVENT ("2"),
      .close = true } },
  { "200 without an id",
    { "HTTP/1.1 200 OK\r\n\r\n" EVENT ("2"), .close = true } },
  { "a head without an end", { HEAD, .flood = "X-Field: " X16 "\r\n" } },
  { "a field without an end", { HEAD "X-Field: ", .flood = X16 } },
  { "bytes that are no answer", { "oops\n\n" } },
  { "no answer, and an end", { "", .close = true } },
  { "a reset", { "", .reset = true } },
  { "a stream that breaks off before an event", { CHUNKED, .close = true } },
  { "a stream that breaks off within the next event",
    { CHUNKED "5\r\nid: 2\r\n", .close = true } },
};

#define PLAIN_CLOSE GET KEY "Connection: close\r\nX-Deadline: 2000\r\n\r\n"

/* A stream breaks off after event 1 and is answered wrongly next. */
static void
run_wrong_answer (const struct wrong_answer *answer,
                  const char *request,
                  unsigned attempts)
{
  bool resumes_again = attempts > 2 || answer->not_run;
  const struct relay_case c
      = { .guards = answer->name,
          .kind = CATALOG_STREAM,
          .resumable = true,
          .attempts = attempts,
          .request = request,
          .responses
          = { { BROKEN_STREAM, .close = true }, answer->response, { REST } },
          .status = resumes_again ? 200 : 0,
          .body = resumes_again ? EVENT ("1") EVENT ("2") : EVENT ("1"),
          .sends = resumes_again ? 3 : 2,
          .last_send_contains = "Last-Event-Id: 1\r\n" };

  setup (&c);
  run_until_response ();
  assert_case_result (&c);
  teardown ();
}

static void
test_wrong_answer (void **state)
{
  const struct wrong_answer *answer = *state;

  run_wrong_answer (answer, PLAIN, 2);
  run_wrong_answer (answer, PLAIN, 3);
  run_wrong_answer (answer, PLAIN_CLOSE, 2);
  run_wrong_answer (answer, PLAIN_CLOSE, 3);
}

static const struct relay_case right_answers[] = {
  { .guards = "an event stream with a charset is dropped",
    .responses
    = { { BROKEN_STREAM, .close = true },
        { STATUS (
            "200",
            "Content-Type: Text/Event-Stream; charset=utf-8\r\n" ONE_CHUNK (
                "7", EVENT ("2"))) } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2") },
  { .guards = "a comment before the next event breaks the stream off",
    .responses
    = { { BROKEN_STREAM, .close = true },
        { STATUS ("200", SSE ONE_CHUNK ("d", ": hm\n\n" EVENT ("2"))) } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2") },
  { .guards = "a comment after the next event is dropped",
    .responses
    = { { BROKEN_STREAM, .close = true },
        { STATUS ("200", SSE ONE_CHUNK ("d", EVENT ("2") ": hm\n\n")) } },
    .status = 200,
    .body = EVENT ("1") EVENT ("2") ": hm\n\n" },
  { .guards = "a stream that broke off after its last event has no end",
    .responses = { { CHUNKED CHUNK ("1"), .close = true },
                   { STATUS ("200",
                             SSE "Transfer-Encoding: chunked\r\n\r\n"
                                 "0\r\n\r\n") } },
    .status = 200,
    .body = EVENT ("1") },
  { .guards = "a stream without ids is resumed from its start",
    .responses
    = { { CHUNKED "9\r\ndata: a\n\n\r\n", .close = true }, { REST } },
    .status = 0,
    .body = "data: a\n\n" },
};

/* Answers of the next endpoint that are taken, and what cannot be resumed. */
static void
test_right_answers (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof right_answers / sizeof right_answers[0]; i++)
    {
      struct relay_case c = right_answers[i];

      c.kind = CATALOG_STREAM;
      c.resumable = true;
      c.attempts = 2;
      c.request = PLAIN;
      c.sends = 2;
      setup (&c);
      run_until_response ();
      assert_case_result (&c);
      teardown ();
    }
}

#define RESUMED GET KEY "X-Deadline: 2000\r\nLast-Event-Id: 1\r\n\r\n"
#define EMPTY_CHUNKED "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
#define EMPTY_LENGTH "Content-Length: 0\r\n\r\n"

/* A caller resumes a stream itself; the first answer has no event. */
static const struct relay_case resumed_cases[] = {
  { .guards = "a stream resumed after its last event is refused",
    .request = RESUMED,
    .responses = { { STATUS ("200", SSE EMPTY_CHUNKED) } },
    .status = 200,
    .sends = 1 },
  { .guards = "a stream with a length resumed after its last event is refused",
    .request = RESUMED,
    .responses = { { STATUS ("200", SSE EMPTY_LENGTH) } },
    .status = 200,
    .sends = 1 },
  { .guards = "a stream without a type resumed after its last event is refused",
    .request = RESUMED,
    .responses = { { STATUS ("200", EMPTY_CHUNKED) } },
    .status = 200,
    .sends = 1 },
  { .guards = "a comment after the last event ends the stream as broken",
    .request = RESUMED,
    .responses = { { STATUS ("200", SSE ONE_CHUNK ("6", ": hm\n\n")) } },
    .status = 200,
    .body = ": hm\n\n",
    .sends = 1 },
  { .guards = "the end of the connection counts as the end of the stream",
    .request = RESUMED,
    .responses = { { STATUS ("200", SSE "\r\n"), .close = true }, { REST } },
    .status = 200,
    .body = EVENT ("2"),
    .sends = 2 },
  { .guards = "a part of an event counts as the end of the stream",
    .request = RESUMED,
    .responses
    = { { STATUS ("200", SSE ONE_CHUNK ("6", "id: 2\n")) }, { REST } },
    .status = 200,
    .body = EVENT ("2"),
    .sends = 2 },
  { .guards = "an empty page counts as the end of the stream",
    .request = RESUMED,
    .responses
    = { { STATUS ("200", "Content-Type: text/html\r\n" EMPTY_LENGTH) },
        { REST } },
    .status = 200,
    .body = EVENT ("2"),
    .sends = 2 },
  { .guards = "a new stream without an event counts as complete",
    .request = PLAIN,
    .responses = { { STATUS ("200", SSE EMPTY_CHUNKED) },
                   { CHUNKED CHUNK ("1") "0\r\n\r\n" } },
    .status = 200,
    .body = EVENT ("1"),
    .sends = 2 },
};

static void
test_resumed_by_caller (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof resumed_cases / sizeof resumed_cases[0]; i++)
    {
      struct relay_case c = resumed_cases[i];

      c.kind = CATALOG_STREAM;
      c.resumable = true;
      c.attempts = 2;
      c.body = c.body != NULL ? c.body : "";
      setup (&c);
      run_until_response ();
      assert_case_result (&c);
      teardown ();
    }
}

int
main (void)
{
  enum
  {
    COUNT = sizeof wrong_answers / sizeof wrong_answers[0]
  };
  struct CMUnitTest tests[COUNT + 2] = {
    [COUNT] = cmocka_unit_test (test_right_answers),
    [COUNT + 1] = cmocka_unit_test (test_resumed_by_caller),
  };

  for (size_t i = 0; i < COUNT; i++)
    tests[i]
        = (struct CMUnitTest){ .name = wrong_answers[i].name,
                               .test_func = test_wrong_answer,
                               .initial_state = (void *)&wrong_answers[i] };
  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("continued-stream", tests, NULL, NULL);
}
