#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "follower.h"
#include "http-server.h"
#include "log.h"
#include "timeutil.h"

/*
 * A follower against a store that answers by a script.  The codec is the
 * simplest one: the target names the verb, the answer lists records.
 */

#define WAIT_MS 5000

static struct
{
  struct http_server server;
  struct records records;
  struct follower follower;
  const char *const *answers; /* one for each call; NULL = hold back */
  unsigned calls;
  char targets[8][64];
  struct http_connection *held;
  char log[256]; /* what the follower told its owner */
} test;

static void
encode (const struct records_request *request,
        const char **method,
        struct http_text *target,
        struct http_text *body)
{
  static const char *const verbs[]
      = { "list", "watch", "read", "create", "replace" };

  (void)method;
  (void)body;
  http_text_format (target, "/%s/%d", verbs[request->verb],
                    (int)request->revision);
}

/* {"at":REVISION,"names":[NAME,...]}; a name in capitals is deleted. */
static void
decode (enum records_verb verb,
        unsigned status,
        const json_t *json,
        void (*take) (void *context, const struct records_answer *answer),
        void *context)
{
  struct records_record list[8];
  struct records_answer answer = { .list = list };
  const json_t *name;
  size_t index;

  (void)verb;
  answer.result = status == 200   ? RESULT_OK
                  : status == 410 ? RESULT_PLATFORM_HISTORY_GONE
                                  : RESULT_PLATFORM_OUTAGE;
  answer.more = json_is_true (json_object_get (json, "more"));
  answer.revision = (uint64_t)json_integer_value (json_object_get (json, "at"));
  json_array_foreach (json_object_get (json, "names"), index, name)
    {
      const char *text = json_string_value (name);

      list[answer.count++] = (struct records_record){
        .name = text, .deleted = text[0] >= 'A' && text[0] <= 'Z'
      };
    }
  take (context, &answer);
}

static const struct records_codec codec = { encode, decode };

static void
note (const char *text)
{
  size_t used = strlen (test.log);

  snprintf (test.log + used, sizeof test.log - used, "%s ", text);
}

static void
on_record (void *context, const struct records_record *record)
{
  (void)context;
  note (record->name);
}

static void
on_begin (void *context)
{
  (void)context;
  note ("begin");
}

static void
on_end (void *context)
{
  (void)context;
  note ("end");
}

static void
on_regained (void *context, int64_t away_ms)
{
  (void)context;
  (void)away_ms;
  note ("regained");
}

static void
store_head (void *context, const struct http_head *head)
{
  (void)context;
  if (test.calls < 8)
    snprintf (test.targets[test.calls], sizeof test.targets[0], "%s",
              http_head_target (head));
}

static void
answer (struct http_connection *connection, const char *text)
{
  char bytes[256];
  unsigned status = (unsigned)strtoul (text, NULL, 10);

  snprintf (bytes, sizeof bytes,
            "HTTP/1.1 %u X\r\nContent-Length: %zu\r\n\r\n%s", status,
            strlen (text + 4), text + 4);
  http_connection_write (connection, bytes, strlen (bytes));
  http_connection_next (connection, false);
}

static void
store_complete (void *context)
{
  struct http_connection *connection = context;
  const char *text = test.answers[test.calls];

  test.calls++;
  if (text == NULL)
    test.held = connection;
  else
    answer (connection, text);
}

static const struct http_events store_events = {
  .head = store_head,
  .body = http_server_ignore_body,
  .complete = store_complete,
  .closed = http_server_on_closed,
};

static void
setup (const char *const *answers)
{
  const struct follower_hooks hooks
      = { NULL, on_record, on_begin, on_end, on_regained };

  memset (&test, 0, sizeof test);
  test.answers = answers;
  http_server_start (&test.server, &store_events, 8);
  records_init (&test.records, test.server.base, &codec, "127.0.0.1",
                test.server.port);
  follower_init (&test.follower, &test.records, RECORDS_ENDPOINTS, "endpoints",
                 &hooks, 200, 1);
}

static void
teardown (void)
{
  records_finish (&test.records);
  http_server_stop (&test.server);
}

static void
run_until_calls (unsigned calls)
{
  int64_t until_ms = time_boot_ms () + WAIT_MS;

  while (test.calls < calls)
    {
      const struct timeval step = { 0, 2000 };

      event_base_loopexit (test.server.base, &step);
      event_base_loop (test.server.base, EVLOOP_ONCE);
      records_tick (&test.records, time_boot_ms ());
      follower_tick (&test.follower, time_boot_ms ());
      if (time_boot_ms () > until_ms)
        fail_msg ("%u of %u calls", test.calls, calls);
    }
}

struct follower_case
{
  const char *guards;
  const char *answers[6]; /* "STATUS BODY" */
  unsigned calls;
  const char *log;
  const char *target; /* of the last call */
};

static const struct follower_case cases[] = {
  { "changes after a list are missed",
    { "200 {\"at\":5,\"names\":[\"a\",\"b\"]}",
      "200 {\"at\":7,\"names\":[\"B\"]}", "200 {\"at\":7,\"names\":[]}", NULL },
    4,
    "begin a b end B ",
    "/watch/7" },
  { "a lost history is not read anew",
    { "200 {\"at\":5,\"names\":[\"a\"]}", "410 {}",
      "200 {\"at\":9,\"names\":[\"b\"]}", NULL },
    4,
    "begin a end begin b end ",
    "/watch/9" },
  { "an outage is not noticed",
    { "200 {\"at\":5,\"names\":[\"a\"]}", "503 {}",
      "200 {\"at\":6,\"names\":[\"b\"]}", NULL },
    4,
    "begin a end regained b ",
    "/watch/6" },
};

static void
test_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct follower_case *c = &cases[i];

      setup (c->answers);
      run_until_calls (c->calls);
      if (strcmp (test.log, c->log) != 0
          || strcmp (test.targets[c->calls - 1], c->target) != 0)
        fail_msg ("%s: %s, then %s", c->guards, test.log,
                  test.targets[c->calls - 1]);
      teardown ();
    }
}

/*
 * A list that is asked for while a watch is under way must not take the
 * watch's answer for its own: all other records would count as gone.
 */
static void
test_relist_during_watch (void **state)
{
  static const char *const answers[]
      = { "200 {\"at\":5,\"names\":[\"a\",\"b\"]}", NULL,
          "200 {\"at\":6,\"names\":[\"a\",\"b\"]}", NULL };

  (void)state;
  setup (answers);
  run_until_calls (2);
  follower_relist (&test.follower);
  answer (test.held, "200 {\"at\":6,\"names\":[]}");
  run_until_calls (4);
  assert_string_equal (test.log, "begin a b end begin a b end ");
  assert_string_equal (test.targets[2], "/list/5");
  teardown ();
}

/*
 * A list of several pages is known only when the last one is there: until then
 * the revision of the first page covers records that are still old.
 */
static void
test_pages (void **state)
{
  static const char *const answers[]
      = { "200 {\"at\":5,\"names\":[\"a\"]}", "410 {}",
          "200 {\"at\":9,\"names\":[\"a\"],\"more\":true}", NULL, NULL };

  (void)state;
  setup (answers);
  run_until_calls (4);
  assert_int_equal (test.follower.state, FOLLOWER_LISTING);
  assert_int_equal (test.follower.revision, 5);
  answer (test.held, "200 {\"at\":10,\"names\":[\"b\"]}");
  run_until_calls (5);
  assert_int_equal (test.follower.revision, 9);
  assert_string_equal (test.targets[4], "/watch/9");
  teardown ();
}

/*
 * 1,100 endpoints take 22 pages.  With the pace of watches between them a host
 * that starts would know the endpoints after 4 s.
 */
static void
test_pages_are_not_paced (void **state)
{
  static const char *const answers[]
      = { "200 {\"at\":5,\"names\":[\"a\"],\"more\":true}",
          "200 {\"at\":5,\"names\":[\"b\"],\"more\":true}",
          "200 {\"at\":6,\"names\":[\"c\"]}", NULL };

  (void)state;
  setup (answers);
  test.follower.pace_ms = 100 * WAIT_MS;
  run_until_calls (3);
  while (!test.follower.listed)
    event_base_loop (test.server.base, EVLOOP_ONCE);
  assert_string_equal (test.log, "begin a b c end ");
  assert_string_equal (test.targets[2], "/list/0");
  assert_int_equal (test.follower.revision, 5);
  teardown ();
}

/*
 * An answer with changes proves nothing after the moment it was asked for; one
 * without proves that nothing changed until the wait was over.
 */
static void
test_proof (void **state)
{
  static const char *const answers[]
      = { "200 {\"at\":5,\"names\":[]}", NULL, NULL, NULL };
  int64_t asked_ms;

  (void)state;
  setup (answers);
  run_until_calls (2);
  asked_ms = test.follower.sent_ms;
  while (time_boot_ms () < asked_ms + 50)
    {
      const struct timeval step = { 0, 2000 };

      event_base_loopexit (test.server.base, &step);
      event_base_loop (test.server.base, EVLOOP_ONCE);
    }
  answer (test.held, "200 {\"at\":6,\"names\":[\"a\"]}");
  run_until_calls (3);
  assert_int_equal (test.follower.proof_ms, asked_ms);
  asked_ms = test.follower.sent_ms;
  while (time_boot_ms () < asked_ms + 230)
    {
      const struct timeval step = { 0, 2000 };

      event_base_loopexit (test.server.base, &step);
      event_base_loop (test.server.base, EVLOOP_ONCE);
    }
  answer (test.held, "200 {\"at\":6,\"names\":[]}");
  run_until_calls (4);
  assert_int_equal (test.follower.proof_ms, asked_ms + 200);
  teardown ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_cases), cmocka_unit_test (test_relist_during_watch),
    cmocka_unit_test (test_pages), cmocka_unit_test (test_pages_are_not_paced),
    cmocka_unit_test (test_proof),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
