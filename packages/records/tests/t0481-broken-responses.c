#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http-server.h"
#include "log.h"
#include "records.h"
#include "timeutil.h"

/*
 * Guards against bytes of a store that count as a response although they are
 * none of HTTP/1.1, not the whole one, or without end.
 */

#define TIMEOUT_MS 3000
#define CALLS 8
#define OK "HTTP/1.1 200 OK\r\n"
#define REST "Content-Length: 2\r\n\r\nok"
#define UPLOAD_BYTES (6U << 20)
/* What the client may hold of all responses, with what it reads at once. */
#define HELD_LIMIT_BYTES ((16U << 20) + (1U << 20))

struct store_case
{
  const char *response;
  const char *flood; /* repeated behind the response; NULL = none */
  bool is_reset;     /* the connection is reset behind the response */
  bool is_early;     /* the response comes before the body has been read */
  bool is_valid;
};

static const struct store_case cases[] = {
  { OK REST, .is_valid = true },
  { OK "\r\nok", .is_valid = true },
  { "HTTP/1.1 103 Early\r\n\r\n" OK REST, .is_valid = true },
  { "HTTP/1.1 000 OK\r\n" REST },
  { "HTTP/1.1 099 OK\r\n" REST },
  { OK "X Other: 1\r\n" REST },
  { OK "X-Other : 1\r\n" REST },
  { OK "X\x01Other: 1\r\n" REST },
  { OK "\rX-Other: 1\r\n" REST },
  { OK "Content-Length : 2\r\n\r\nok" },
  { OK "\r\nok", .is_reset = true },
  { OK "\r\nok", .is_reset = true, .is_early = true },
  { OK, .flood = "X-Field: xxxxxxxxxxxxxxxx\r\n" },
  { "", .flood = "HTTP/1.1 100 Go\r\n\r\n" },
  { OK "Transfer-Encoding: chunked\r\n\r\n2;", .flood = "xxxxxxxx" },
  { OK "\r\n", .flood = "xxxxxxxxxxxxxxxx" },
};

static struct
{
  const struct store_case *c;
  struct http_server server;
  struct records records;
  char *body; /* of requests that write */
  unsigned done;
  unsigned decoded;
  unsigned lost;        /* calls that ended as a lost answer */
  unsigned unreachable; /* calls that ended as unreachable */
} test;

static void
encode (const struct records_request *request,
        const char **method,
        struct http_text *target,
        struct http_text *body)
{
  http_text_add_string (target, "/record");
  if (request->verb != RECORDS_CREATE)
    return;
  *method = "PUT";
  http_text_add_string (body, test.body);
}

static void
decode (enum records_verb verb,
        unsigned status,
        const char *body,
        size_t size,
        void (*done) (void *context, const struct records_response *response),
        void *context)
{
  const struct records_response response = { .result = RESULT_OK };

  (void)verb;
  (void)status;
  (void)body;
  (void)size;
  test.decoded++;
  done (context, &response);
}

static const struct records_codec codec = {
  .encode = encode,
  .decode = decode,
};

static void
write_flood (void *context)
{
  if (test.c->flood != NULL)
    http_server_flood (context, test.c->flood);
}

static void
respond (struct http_connection *connection)
{
  http_connection_write (connection, test.c->response,
                         strlen (test.c->response));
  if (test.c->is_reset)
    http_server_reset (connection);
  else if (test.c->flood == NULL)
    http_connection_finish (connection);
  write_flood (connection);
}

static void
on_head (void *context, const struct http_head *head)
{
  (void)head;
  if (test.c->is_early)
    respond (context);
}

static void
on_complete (void *context)
{
  respond (context);
}

static const struct http_events server_events = {
  .head = on_head,
  .body = http_server_ignore_body,
  .complete = on_complete,
  .closed = http_server_on_closed,
  .drained = write_flood,
};

static void
on_done (void *context, const struct records_response *response)
{
  (void)context;
  test.done++;
  test.lost += response->result == RESULT_PLATFORM_LOST_ANSWER;
  test.unreachable += response->result == RESULT_PLATFORM_UNREACHABLE;
}

/* Makes calls at the same time; returns the most bytes that they held. */
static size_t
run_calls (enum records_verb verb, unsigned count)
{
  const struct records_request request = { .verb = verb, .name = "n" };
  /* Calls end by themselves, at the latest after TIMEOUT_MS. */
  int64_t until_ms = time_boot_ms () + INT64_C (3) * TIMEOUT_MS;
  size_t most = 0;

  http_server_start (&test.server, &server_events, CALLS);
  records_init (&test.records, test.server.base, &codec, "127.0.0.1",
                test.server.port);
  for (unsigned i = 0; i < count; i++)
    records_call (&test.records, &request, TIMEOUT_MS, on_done, NULL);
  while (test.done < count && time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 2000 };
      size_t held;

      event_base_loopexit (test.server.base, &step);
      event_base_loop (test.server.base, EVLOOP_ONCE);
      records_tick (&test.records, time_boot_ms ());
      held = records_held_bytes (&test.records);
      if (held > most)
        most = held;
    }
  records_finish (&test.records);
  http_server_stop (&test.server);
  return most;
}

static void
test_responses (void **state)
{
  static const enum records_verb verbs[] = { RECORDS_READ, RECORDS_CREATE };
  size_t body_size = 0;

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (size_t v = 0; v < 2; v++)
      {
        memset (&test, 0, sizeof test);
        test.c = &cases[i];
        body_size = cases[i].is_early ? UPLOAD_BYTES : 2;
        test.body = calloc (1, body_size + 1);
        assert_non_null (test.body);
        memset (test.body, 'x', body_size);
        run_calls (verbs[v], 1);
        if (test.done != 1 || test.decoded != (cases[i].is_valid ? 1 : 0)
            || (!cases[i].is_valid && cases[i].flood == NULL
                && (verbs[v] == RECORDS_CREATE ? test.lost : test.unreachable)
                       != 1))
          fail_msg ("%s%s, verb %d: done %u, decoded %u, lost %u",
                    cases[i].response,
                    cases[i].flood != NULL ? cases[i].flood : "", (int)verbs[v],
                    test.done, test.decoded, test.lost);
        free (test.body);
      }
}

/* Guards the sum of what a store makes the process hold. */
static void
test_endless_responses (void **state)
{
  static const struct store_case endless
      = { OK "\r\n", .flood = "xxxxxxxxxxxxxxxx" };
  size_t most;

  (void)state;
  memset (&test, 0, sizeof test);
  test.c = &endless;
  most = run_calls (RECORDS_READ, CALLS);
  assert_int_equal (test.done, CALLS);
  assert_int_equal (test.decoded, 0);
  assert_in_range (most, 1, HELD_LIMIT_BYTES);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_responses),
    cmocka_unit_test (test_endless_responses),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("broken-responses", tests, NULL, NULL);
}
