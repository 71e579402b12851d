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
 * Tests a follower against a store with scripted responses.  The codec is
 * minimal: the target names the verb and the revision, the response lists
 * records.
 */

#define TEST_TIMEOUT_MS 5000
#define LONG_NAME_BYTES 4096

static struct
{
  struct http_server server;
  struct records records;
  struct follower follower;
  /* One response for each call; NULL = sent later by the test. */
  const char *const *responses;
  unsigned calls;
  char targets[8][LONG_NAME_BYTES + 64];
  struct http_connection *held; /* its response is sent by the test */
  char log[256];                /* events that the follower reported */
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
  if (request->after != NULL)
    http_text_format (target, "/%s", request->after);
}

/*
 * Decodes {"at":REVISION,"names":[NAME,...]}; a name in capitals is a deleted
 * record, one that starts with "-" has no readable revision, and null no
 * readable name.
 */
static void
decode (enum records_verb verb,
        unsigned status,
        const char *body,
        size_t size,
        void (*done) (void *context, const struct records_response *response),
        void *context)
{
  struct records_record list[8];
  struct records_response response = { .list = list };
  json_t *json = json_loadb (body, size, 0, NULL);
  const json_t *name;
  size_t index;

  (void)verb;
  response.result = status == 200
                        ? json != NULL ? RESULT_OK : RESULT_PLATFORM_BAD_ANSWER
                    : status == 410 ? RESULT_PLATFORM_HISTORY_GONE
                                    : RESULT_PLATFORM_OUTAGE;
  response.more = json_is_true (json_object_get (json, "more"));
  response.revision
      = (uint64_t)json_integer_value (json_object_get (json, "at"));
  json_array_foreach (json_object_get (json, "names"), index, name)
    {
      const char *text = json_string_value (name);

      if (text == NULL || text[0] == '-')
        {
          response.skipped++;
          response.last_name = text != NULL ? text : response.last_name;
          continue;
        }
      list[response.count++] = (struct records_record){
        .name = text, .deleted = text[0] >= 'A' && text[0] <= 'Z'
      };
      response.last_name = text;
    }
  done (context, &response);
  json_decref (json);
}

static const struct records_codec codec = { "X-Era", encode, decode };

static void
append_event (const char *text)
{
  size_t used = strlen (test.log);

  snprintf (test.log + used, sizeof test.log - used, "%s ", text);
}

static void
on_record (void *context, const struct records_record *record)
{
  (void)context;
  append_event (record->name);
}

static void
on_list_begin (void *context)
{
  (void)context;
  append_event ("begin");
}

static void
on_list_end (void *context)
{
  (void)context;
  append_event ("end");
}

static void
on_recovered (void *context, int64_t outage_ms)
{
  (void)context;
  (void)outage_ms;
  append_event ("regained");
}

static void
on_store_head (void *context, const struct http_head *head)
{
  (void)context;
  if (test.calls < 8)
    snprintf (test.targets[test.calls], sizeof test.targets[0], "%s",
              http_head_target (head));
}

static void
send_response (struct http_connection *connection, const char *text)
{
  char bytes[LONG_NAME_BYTES + 256];
  char *body;
  unsigned status = (unsigned)strtoul (text, &body, 10);
  unsigned era = *body == '/' ? (unsigned)strtoul (body + 1, &body, 10) : 0;
  char field[32] = "";

  if (era != 0)
    snprintf (field, sizeof field, "X-Era: %u\r\n", era);
  snprintf (bytes, sizeof bytes,
            "HTTP/1.1 %u X\r\n%sContent-Length: %zu\r\n\r\n%s", status, field,
            strlen (body + 1), body + 1);
  http_connection_write (connection, bytes, strlen (bytes));
  http_connection_next_message (connection, false);
}

static void
on_store_complete (void *context)
{
  struct http_connection *connection = context;
  const char *text = test.responses[test.calls];

  test.calls++;
  if (text == NULL)
    test.held = connection;
  else
    send_response (connection, text);
}

static const struct http_events store_events = {
  .head = on_store_head,
  .body = http_server_ignore_body,
  .complete = on_store_complete,
  .closed = http_server_on_closed,
};

static void
setup (const char *const *responses)
{
  const struct follower_hooks hooks
      = { NULL, on_record, on_list_begin, on_list_end, on_recovered };

  memset (&test, 0, sizeof test);
  test.responses = responses;
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
  follower_finish (&test.follower);
  http_server_stop (&test.server);
}

static void
run_until_calls (unsigned calls)
{
  int64_t until_ms = time_boot_ms () + TEST_TIMEOUT_MS;

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
  const char *guards;       /* failure that the case guards against */
  const char *responses[8]; /* "STATUS BODY" or "STATUS/ERA BODY" */
  unsigned calls;
  const char *log;
  const char *target; /* of the last call */
};

static const struct follower_case follower_cases[] = {
  { "changes after a list are missed",
    { "200 {\"at\":5,\"names\":[\"a\",\"b\"]}",
      "200 {\"at\":7,\"names\":[\"B\"]}", "200 {\"at\":7,\"names\":[]}", NULL },
    4,
    "begin a b end B ",
    "/watch/7" },
  { "records are not listed again after the history was dropped",
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
  { "a page of unreadable records counts as the end of a list",
    { "200 {\"at\":5,\"names\":[\"-a\"],\"more\":true}",
      "200 {\"at\":5,\"names\":[\"b\"]}", NULL },
    3,
    "begin b end ",
    "/watch/5" },
  { "a list goes on after another than its last name",
    { "200 {\"at\":5,\"names\":[\"a\",\"-b\"],\"more\":true}", NULL },
    2,
    "begin a ",
    "/list/0/-b" },
  { "a list that cannot go on counts as complete",
    { "200 {\"at\":5,\"names\":[null],\"more\":true}",
      "200 {\"at\":6,\"names\":[\"b\"]}", NULL },
    3,
    "regained begin b end ",
    "/watch/6" },
  { "a list goes round in a circle",
    { "200 {\"at\":5,\"names\":[\"a\"],\"more\":true}",
      "200 {\"at\":5,\"names\":[\"a\"],\"more\":true}", NULL },
    3,
    "begin a ",
    "/list/0" },
};

#define BODY_LIMIT_BYTES 120
#define LONG_NAME                                                              \
  "a2345678901234567890123456789012345678901234567890123456789012345678901234" \
  "56789012345678901234567890123456789012345678901234567890"

/*
 * Responses that arrive and cannot be used.  The first call after the list is a
 * watch that gets the same response, or a longer one, each time.
 */
static const struct follower_case unusable_cases[] = {
  { "a watch over the limit is sent again for ever",
    { "200 {\"at\":5,\"names\":[\"a\"]}",
      "200 {\"at\":7,\"names\":[\"" LONG_NAME "\"]}",
      "200 {\"at\":9,\"names\":[\"b\"]}", NULL },
    4,
    "begin a end begin b end ",
    "/watch/9" },
  { "an unreadable watch is sent again for ever",
    { "200 {\"at\":5,\"names\":[\"a\"]}", "200 {", "200 {",
      "200 {\"at\":9,\"names\":[\"b\"]}", NULL },
    5,
    "begin a end regained begin b end ",
    "/watch/9" },
  { "one unreadable response to a watch costs a list",
    { "200 {\"at\":5,\"names\":[\"a\"]}", "200 {",
      "200 {\"at\":6,\"names\":[\"b\"]}", NULL },
    4,
    "begin a end regained b ",
    "/watch/6" },
  { "outages between unreadable responses are lost count of",
    { "200 {\"at\":5,\"names\":[\"a\"]}", "200 {", "503 {}", "200 {",
      "200 {\"at\":9,\"names\":[\"b\"]}", NULL },
    6,
    "begin a end regained begin b end ",
    "/watch/9" },
  { "an outage costs a list",
    { "200 {\"at\":5,\"names\":[\"a\"]}", "503 {}", "503 {}",
      "200 {\"at\":6,\"names\":[\"b\"]}", NULL },
    5,
    "begin a end regained b ",
    "/watch/6" },
  { "a page over the limit counts as the end of a list",
    { "200 {\"at\":5,\"names\":[\"a\"],\"more\":true}",
      "200 {\"at\":5,\"names\":[\"" LONG_NAME "\"]}",
      "200 {\"at\":6,\"names\":[\"b\"]}", NULL },
    4,
    "begin a regained begin b end ",
    "/watch/6" },
};

/* The store is restored from a copy, and its era rises. */
static const struct follower_case restored_cases[] = {
  { "a watch goes on from a revision that was given out again",
    { "200/1 {\"at\":5,\"names\":[\"a\",\"b\"]}",
      "200/2 {\"at\":7,\"names\":[\"c\"]}",
      "200/2 {\"at\":7,\"names\":[\"b\",\"c\"]}", NULL },
    4,
    "begin a b end begin b c end ",
    "/watch/7" },
  { "a list goes on with pages of another era",
    { "200/1 {\"at\":5,\"names\":[\"a\"],\"more\":true}",
      "200/2 {\"at\":3,\"names\":[\"b\"]}",
      "200/2 {\"at\":3,\"names\":[\"b\"]}", NULL },
    4,
    "begin a begin b end ",
    "/watch/3" },
  { "a watch is sent again after a failure that named another era",
    { "200/1 {\"at\":5,\"names\":[\"a\"]}", "503/2 {}",
      "200/2 {\"at\":3,\"names\":[\"b\"]}", NULL },
    4,
    "begin a end begin b end ",
    "/watch/3" },
  { "a response of an earlier era is believed",
    { "200/2 {\"at\":5,\"names\":[\"a\"]}",
      "200/1 {\"at\":9,\"names\":[\"b\"]}",
      "200/2 {\"at\":6,\"names\":[\"c\"]}", NULL },
    4,
    "begin a end regained c ",
    "/watch/6" },
  { "a response without an era ends a watch",
    { "200/2 {\"at\":5,\"names\":[\"a\"]}", "200 {\"at\":6,\"names\":[\"b\"]}",
      NULL },
    3,
    "begin a end b ",
    "/watch/6" },
  { "an era that does not fit is believed",
    { "200/1 {\"at\":5,\"names\":[\"a\"]}",
      "200/4000000000 {\"at\":6,\"names\":[\"b\"]}",
      "200/1 {\"at\":7,\"names\":[\"c\"]}", NULL },
    4,
    "begin a end b c ",
    "/watch/7" },
  { "a revision that does not fit is cut",
    { "200/1 {\"at\":5,\"names\":[\"a\"]}",
      "200/1 {\"at\":1000000000000000,\"names\":[\"b\"]}",
      "200/1 {\"at\":6,\"names\":[\"c\"]}", NULL },
    4,
    "begin a end regained c ",
    "/watch/6" },
};

static void
play_cases (const struct follower_case *list, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct follower_case *c = &list[i];

      setup (c->responses);
      test.records.body_limit_bytes = BODY_LIMIT_BYTES;
      run_until_calls (c->calls);
      if (strcmp (test.log, c->log) != 0
          || strcmp (test.targets[c->calls - 1], c->target) != 0)
        fail_msg ("%s: %s, then %s", c->guards, test.log,
                  test.targets[c->calls - 1]);
      teardown ();
    }
}

static void
test_restored_store (void **state)
{
  (void)state;
  play_cases (restored_cases, sizeof restored_cases / sizeof restored_cases[0]);
}

/* Another host told a revision of an era that the store is not in. */
static void
test_era_of_another_host (void **state)
{
  static const char *const responses[]
      = { "200/2 {\"at\":5,\"names\":[\"a\"]}",
          "200/2 {\"at\":7,\"names\":[\"b\"]}",
          "200/2 {\"at\":7,\"names\":[\"c\"]}", NULL };

  (void)state;
  setup (responses);
  run_until_calls (1);
  while (!test.follower.has_full_list)
    event_base_loop (test.server.base, EVLOOP_ONCE);
  follower_resume (&test.follower, UINT64_MAX, 0);
  run_until_calls (4);
  assert_int_equal (test.records.era, 2);
  assert_string_equal (test.log, "begin a end begin c end ");
  assert_string_equal (test.targets[3], "/watch/7");
  teardown ();
}

static void
test_list_and_watch (void **state)
{
  (void)state;
  play_cases (follower_cases, sizeof follower_cases / sizeof follower_cases[0]);
}

static void
test_unusable_responses (void **state)
{
  (void)state;
  play_cases (unusable_cases, sizeof unusable_cases / sizeof unusable_cases[0]);
}

/*
 * Guards against a list that never ends, because a page ends with a name over a
 * fixed size.  A name that is cut would stand for another place in the list.
 */
static void
test_list_after_long_name (void **state)
{
  char text[LONG_NAME_BYTES + 64];
  char target[LONG_NAME_BYTES + 64];
  const char *const responses[]
      = { text, "200 {\"at\":5,\"names\":[\"b\"]}", NULL };

  (void)state;
  snprintf (text, sizeof text,
            "200 {\"at\":5,\"names\":[\"-%0*d\"],\"more\":true}",
            LONG_NAME_BYTES, 0);
  snprintf (target, sizeof target, "/list/0/-%0*d", LONG_NAME_BYTES, 0);
  setup (responses);
  run_until_calls (3);
  assert_string_equal (test.log, "begin b end ");
  assert_string_equal (test.targets[1], target);
  teardown ();
}

/*
 * When a list is started while a watch is in flight, the response to the watch
 * must not be handled as the list: all other records would count as deleted.
 */
static void
test_watch_response_after_relist (void **state)
{
  static const char *const responses[]
      = { "200 {\"at\":5,\"names\":[\"a\",\"b\"]}", NULL,
          "200 {\"at\":6,\"names\":[\"a\",\"b\"]}", NULL };

  (void)state;
  setup (responses);
  run_until_calls (2);
  follower_relist (&test.follower);
  send_response (test.held, "200 {\"at\":6,\"names\":[]}");
  run_until_calls (4);
  assert_string_equal (test.log, "begin a b end begin a b end ");
  assert_string_equal (test.targets[2], "/list/5");
  teardown ();
}

/*
 * A late page of a list that was given up must not be handled as the first page
 * of a new list: the records of the pages before it would count as deleted.
 */
static void
test_late_page_after_relist (void **state)
{
  static const char *const responses[]
      = { "200 {\"at\":5,\"names\":[\"a\"],\"more\":true}", NULL,
          "200 {\"at\":7,\"names\":[\"a\",\"b\"]}", NULL };

  (void)state;
  setup (responses);
  run_until_calls (2);
  follower_resume (&test.follower, 6, 0);
  follower_relist (&test.follower);
  send_response (test.held, "200 {\"at\":6,\"names\":[\"b\"]}");
  run_until_calls (4);
  assert_string_equal (test.log, "begin a begin a b end ");
  assert_string_equal (test.targets[3], "/watch/7");
  teardown ();
}

/*
 * A list of several pages is complete only with its last page.  The revision of
 * the first page must not apply before, since records of later pages are still
 * old.
 */
static void
test_revision_after_last_page (void **state)
{
  static const char *const responses[]
      = { "200 {\"at\":5,\"names\":[\"a\"]}", "410 {}",
          "200 {\"at\":9,\"names\":[\"a\"],\"more\":true}", NULL, NULL };

  (void)state;
  setup (responses);
  run_until_calls (4);
  assert_int_equal (test.follower.state, FOLLOWER_LISTING);
  assert_int_equal (test.follower.revision, 5);
  send_response (test.held, "200 {\"at\":10,\"names\":[\"b\"]}");
  run_until_calls (5);
  assert_int_equal (test.follower.revision, 9);
  assert_string_equal (test.targets[4], "/watch/9");
  teardown ();
}

/*
 * The pages of a list must be requested without the interval between watches.
 * 1,100 endpoints take 22 pages; with that interval between pages, a newly
 * started host would know the endpoints only after 4 s.
 */
static void
test_pages_without_interval (void **state)
{
  static const char *const responses[]
      = { "200 {\"at\":5,\"names\":[\"a\"],\"more\":true}",
          "200 {\"at\":5,\"names\":[\"b\"],\"more\":true}",
          "200 {\"at\":6,\"names\":[\"c\"]}", NULL };

  (void)state;
  setup (responses);
  test.follower.call_interval_ms = 100 * TEST_TIMEOUT_MS;
  run_until_calls (3);
  while (!test.follower.has_full_list)
    event_base_loop (test.server.base, EVLOOP_ONCE);
  assert_string_equal (test.log, "begin a b c end ");
  assert_string_equal (test.targets[2], "/list/0/b");
  assert_int_equal (test.follower.revision, 5);
  teardown ();
}

/*
 * A watch response with changes is current only as of the time when the watch
 * was sent.  An empty response is current as of the end of the wait.
 */
static void
test_current_time_of_watch (void **state)
{
  static const char *const responses[]
      = { "200 {\"at\":5,\"names\":[]}", NULL, NULL, NULL };
  int64_t sent_ms;

  (void)state;
  setup (responses);
  run_until_calls (2);
  sent_ms = test.follower.sent_ms;
  while (time_boot_ms () < sent_ms + 50)
    {
      const struct timeval step = { 0, 2000 };

      event_base_loopexit (test.server.base, &step);
      event_base_loop (test.server.base, EVLOOP_ONCE);
    }
  send_response (test.held, "200 {\"at\":6,\"names\":[\"a\"]}");
  run_until_calls (3);
  assert_int_equal (test.follower.current_at_ms, sent_ms);
  sent_ms = test.follower.sent_ms;
  while (time_boot_ms () < sent_ms + 230)
    {
      const struct timeval step = { 0, 2000 };

      event_base_loopexit (test.server.base, &step);
      event_base_loop (test.server.base, EVLOOP_ONCE);
    }
  send_response (test.held, "200 {\"at\":6,\"names\":[]}");
  run_until_calls (4);
  assert_int_equal (test.follower.current_at_ms, sent_ms + 200);
  teardown ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_list_and_watch),
    cmocka_unit_test (test_restored_store),
    cmocka_unit_test (test_era_of_another_host),
    cmocka_unit_test (test_unusable_responses),
    cmocka_unit_test (test_list_after_long_name),
    cmocka_unit_test (test_watch_response_after_relist),
    cmocka_unit_test (test_late_page_after_relist),
    cmocka_unit_test (test_revision_after_last_page),
    cmocka_unit_test (test_pages_without_interval),
    cmocka_unit_test (test_current_time_of_watch),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
