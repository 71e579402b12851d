#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <netinet/tcp.h>

#include "relay-fixture.h"

/*
 * What the relay does with requests while other holders fill the account up to
 * a watermark.  Bodies that are not small have MEMORY_SMALL_BYTES at least.
 */

#define POST                                                                   \
  "POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" KEY "X-Deadline: 4000\r\n"
#define LARGE_BYTES 200000
#define SHORT_REQUEST POST "Content-Length: 4\r\n\r\nbody"

struct memory_case
{
  const char *guards;
  enum memory_level level; /* of the other holders */
  const char *head;
  size_t body_bytes; /* sent */
  unsigned status;
  unsigned sends;
};

static const struct memory_case cases[] = {
  { "a body over the limit is read before it is refused", MEMORY_CALM,
    POST "Content-Length: 1048577\r\n\r\n", 0, 413, 0 },
  { "a large body is refused while memory is free", MEMORY_CALM,
    POST "Content-Length: 200000\r\n\r\n", LARGE_BYTES, 200, 1 },
  { "a body of legal size is refused above the first watermark", MEMORY_TIGHT,
    POST "Content-Length: 200000\r\n\r\n", LARGE_BYTES, 200, 1 },
  { "an ordinary request is refused above the first watermark", MEMORY_TIGHT,
    SHORT_REQUEST, 0, 200, 1 },
  { "a stalled body keeps its memory above the first watermark", MEMORY_TIGHT,
    POST "Content-Length: 200000\r\n\r\n", LARGE_BYTES - 1, 503, 0 },
  { "a stalled chunk keeps its memory above the first watermark", MEMORY_TIGHT,
    POST "Transfer-Encoding: chunked\r\n\r\n30d40\r\n", LARGE_BYTES, 503, 0 },
  { "a large body is read above the second watermark", MEMORY_FULL,
    POST "Content-Length: 200000\r\n\r\n", LARGE_BYTES, 503, 0 },
  { "a request without a body is refused above the second watermark",
    MEMORY_FULL, PLAIN, 0, 200, 1 },
};

static void
test_memory (void **state)
{
  const struct memory_case *item = *state;
  struct relay_case c = {
    .guards = item->guards,
    .kind = CATALOG_UNSAFE,
    .attempts = 1,
    .responses = { { GOOD } },
    .status = item->status,
    .sends = item->sends,
  };
  struct memory_charge elsewhere = { 0 };
  struct http_text request;
  size_t size = 0;

  http_text_init (&request);
  http_text_add_string (&request, item->head);
  for (size_t i = 0; i < item->body_bytes; i++)
    http_text_add (&request, "b", 1);
  http_text_add (&request, "", 1);
  c.request = request.data;
  setup (&c);
  if (item->level == MEMORY_TIGHT)
    size = test.relay.memory.tight_bytes;
  else if (item->level == MEMORY_FULL)
    size = test.relay.memory.full_bytes;
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere, size);
  run_until_response ();
  assert_case_result (&c);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere, 0);
  teardown ();
  /* Every byte was released once. */
  assert_int_equal (test.relay.memory.total, 0);
  http_text_finish (&request);
}

/* Sends a whole body of LARGE_BYTES. */
static void
setup_upload (struct relay_case *c, struct http_text *request)
{
  *c = (struct relay_case){
    .guards = "an upload",
    .kind = CATALOG_UNSAFE,
    .attempts = 1,
    .responses = { { GOOD } },
    .status = 200,
    .sends = 1,
  };
  http_text_init (request);
  http_text_add_string (request, POST "Content-Length: 200000\r\n\r\n");
  for (size_t i = 0; i < LARGE_BYTES; i++)
    http_text_add (request, "b", 1);
  http_text_add (request, "", 1);
  c->request = request->data;
  setup (c);
}

static void
run_for (int64_t for_ms)
{
  int64_t until_ms = time_boot_ms () + for_ms;

  while (time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 5000 };

      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
    }
}

/*
 * Guards against a body that is read although its rest does not fit, and
 * against one that is not read again.
 */
static void
test_body_waits_unread (void **state)
{
  struct relay_case c;
  struct http_text request;
  struct memory_charge elsewhere = { 0 };

  (void)state;
  setup_upload (&c, &request);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere,
                      test.relay.memory.full_bytes - LARGE_BYTES / 2);
  /* Without a tick: all of the body may arrive between two. */
  for (unsigned i = 0; i < 100; i++)
    {
      event_base_loop (test.base, EVLOOP_NONBLOCK);
      usleep (1000);
    }
  assert_in_range (test.relay.memory.held[MEMORY_BODIES], MEMORY_SMALL_BYTES,
                   MEMORY_SMALL_BYTES + 2 * 16384);
  run_for (300);
  assert_in_range (test.relay.memory.held[MEMORY_BODIES], MEMORY_SMALL_BYTES,
                   MEMORY_SMALL_BYTES + 2 * 16384);
  assert_int_equal (test.sends, 0);
  assert_false (test.complete);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere, 0);
  run_until_response ();
  assert_case_result (&c);
  teardown ();
  assert_int_equal (test.relay.memory.total, 0);
  http_text_finish (&request);
}

/* Guards against a body that waits for memory for ever. */
static void
test_waiting_body_is_refused (void **state)
{
  const int timeout_ms = 2 * MEMORY_WAIT_MS;
  struct relay_case c;
  struct http_text request;
  struct memory_charge elsewhere = { 0 };

  (void)state;
  setup_upload (&c, &request);
  /* The fixture's client gives up when nothing is read for 2 s. */
  assert_int_equal (setsockopt (test.caller.fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                                &timeout_ms, sizeof timeout_ms),
                    0);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere,
                      test.relay.memory.full_bytes - LARGE_BYTES / 2);
  run_until_response ();
  c.status = 503;
  c.sends = 0;
  assert_case_result (&c);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere, 0);
  teardown ();
  http_text_finish (&request);
}

/*
 * Guards against memory that stays above the second watermark although a
 * request holds some of it that has not come whole.
 */
static void
test_unfinished_is_shed (void **state)
{
  struct relay_case c = {
    .guards = "an unfinished body outlasts the second watermark",
    .kind = CATALOG_UNSAFE,
    .attempts = 1,
    .request = POST "Content-Length: 9000\r\n\r\npart of it",
    .status = 503,
  };
  struct memory_charge elsewhere = { 0 };
  int64_t start_ms;

  (void)state;
  setup (&c);
  run_for (100);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere,
                      test.relay.memory.full_bytes);
  start_ms = time_boot_ms ();
  run_until_response ();
  assert_case_result (&c);
  /* Sooner than a body that merely waits. */
  assert_true (time_boot_ms () - start_ms < MEMORY_WAIT_MS / 2);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere, 0);
  teardown ();
}

/* Guards against a running request that is ended because memory is short. */
static void
test_running_is_kept (void **state)
{
  struct relay_case c = {
    .guards = "a running request is ended above the second watermark",
    .kind = CATALOG_UNSAFE,
    .attempts = 1,
    .request = SHORT_REQUEST,
    .responses = { { NULL } },
    .status = 504,
    .sends = 1,
  };
  struct memory_charge elsewhere = { 0 };

  (void)state;
  setup (&c);
  run_for (200);
  assert_int_equal (test.sends, 1);
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere,
                      test.relay.memory.full_bytes);
  run_for (MEMORY_WAIT_MS / 2);
  assert_false (test.complete);
  assert_false (test.closed);
  assert_non_null (TAILQ_FIRST (&test.relay.requests));
  memory_account_set (&test.relay.memory, MEMORY_RESPONSES, &elsewhere, 0);
  teardown ();
}

int
main (void)
{
  enum
  {
    CASES = sizeof cases / sizeof cases[0],
  };
  struct CMUnitTest tests[CASES + 4] = {
    [CASES] = cmocka_unit_test (test_body_waits_unread),
    [CASES + 1] = cmocka_unit_test (test_waiting_body_is_refused),
    [CASES + 2] = cmocka_unit_test (test_unfinished_is_shed),
    [CASES + 3] = cmocka_unit_test (test_running_is_kept),
  };

  for (size_t i = 0; i < CASES; i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].guards,
                                    .test_func = test_memory,
                                    .initial_state = (void *)&cases[i] };
  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("memory", tests, NULL, NULL);
}
