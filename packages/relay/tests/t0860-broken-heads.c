#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Malformed heads of responses, of which t0847 has all forms: the request may
 * have run, the endpoint has failed, and nothing of them is forwarded.
 */

#define OK "HTTP/1.1 200 OK\r\n"
#define FIELDS "X-Id: r1\r\nX-Seal: s\r\n"
#define REST FIELDS "Content-Length: 8\r\n\r\n" EVENT ("12")

static const char *const broken_heads[] = {
  "HTTP/1.1 000 OK\r\n" REST,
  "HTTP/1.1 000\r\n" REST GOOD,
  "HTTP/1.1 000 OK\r\n" FIELDS "\r\n" EVENT ("12"),
  "HTTP/1.1 099 OK\r\n" REST,
  OK "X Other: 1\r\n" REST,
  OK FIELDS "X\x01Other: 1\r\n" REST,
  OK FIELDS "X-Other : 1\r\n" REST GOOD,
  OK FIELDS "Content-Length : 3\r\n\r\n" EVENT ("12"),
  OK FIELDS "Content-Length\t: 3\r\n\r\n" EVENT ("12"),
  OK FIELDS "Transfer-Encoding : chunked\r\n\r\n" CHUNK ("1") "0\r\n\r\n",
  OK FIELDS " Content-Length: 3\r\n\r\n" EVENT ("12"),
  OK " Content-Length: 3\r\n" REST,
};

/* How the response comes. */
enum delivery
{
  DELIVERY_FIRST,  /* on a new connection */
  DELIVERY_LATER,  /* on a connection that has carried a request */
  DELIVERY_PIECES, /* in pieces of PIECE_BYTES */
  DELIVERIES,
};

/* Sends the caller's second request on the connection of the first. */
static void
run_second_request (void)
{
  /* With one endpoint left, both use one connection to it. */
  endpoints_delete (&test.endpoints, "e1", 1, 1);
  endpoints_tick (&test.endpoints, 1);
  run_until_response ();
  assert_true (test.complete && test.status == 200);
  test.complete = false;
  http_text_reset (&test.body);
  http_connection_next_message (&test.caller, false);
  http_connection_write (&test.caller, PLAIN, strlen (PLAIN));
}

static void
assert_refused (const char *bytes, enum delivery delivery, bool is_stream)
{
  char guards[256];
  char label[32];
  struct relay_case c = { .guards = guards,
                          .kind = is_stream ? CATALOG_STREAM : CATALOG_UNSAFE,
                          .attempts = 2,
                          .request = PLAIN,
                          .status = 502,
                          .sends = 1 };
  struct response broken = { bytes, .close = true };

  snprintf (guards, sizeof guards, "\"%s\" is forwarded, delivery %d%s", bytes,
            (int)delivery, is_stream ? ", stream" : "");
  if (delivery == DELIVERY_PIECES)
    broken = (struct response){ bytes, .in_pieces = true };
  c.responses[0] = broken;
  if (delivery == DELIVERY_LATER)
    {
      c.responses[0].bytes = is_stream ? CHUNKED CHUNK ("9") "0\r\n\r\n" : GOOD;
      c.responses[0].close = false;
      c.responses[1] = broken;
      c.sends = 2;
    }
  setup (&c);
  if (delivery == DELIVERY_LATER)
    run_second_request ();
  run_until_response ();
  assert_case_result (&c);
  if (http_head_get (&test.caller.head, "X-Seal") != NULL)
    fail_msg ("%s: sealed", guards);
  snprintf (label, sizeof label, "code=\"%d\"", (int)RESULT_UPSTREAM_UNKNOWN);
  if (counter_read (&test.counters, "waxwing_attempts_failed_total", label)
      != 1)
    fail_msg ("%s: no failure of the endpoint", guards);
  teardown ();
}

static void
test_broken_heads (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof broken_heads / sizeof broken_heads[0]; i++)
    for (int delivery = 0; delivery < DELIVERIES; delivery++)
      {
        assert_refused (broken_heads[i], (enum delivery)delivery, false);
        assert_refused (broken_heads[i], (enum delivery)delivery, true);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_broken_heads) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("broken-heads", tests, NULL, NULL);
}
