#include "harness.h"

/*
 * Requests that crash the endpoints which run them, through the product's own
 * interface.  Each crash ends an incarnation; the next one has another boot id.
 */

#define STEP_LIMIT 12

struct step
{
  const char *method;
  const char *path;
  const char *body;
  const char *script; /* of the call to the endpoint */
  int status;         /* at the caller; 422 = refused without a call */
};

struct crash_case
{
  const char *guards;
  struct step steps[STEP_LIMIT];
};

#define CHAT "POST", "/v1/chat/completions"
#define TEXT "POST", "/v1/completions"
#define NOTES "GET", "/v1/services/app/notes"
#define MESSAGE(text) "{\"role\":\"user\",\"content\":\"" text "\"}"
#define MESSAGES(list)                                                         \
  "{\"model\":\"m\",\"max_tokens\":4,\"messages\":[" list "]}"
#define PROMPT(text)                                                           \
  "{\"model\":\"m\",\"max_tokens\":4,\"prompt\":\"" text "\"}"
#define DONE "0 1 D E"

static const struct crash_case cases[] = {
  { "requests that share only a harmful message crash endpoint after endpoint",
    { { CHAT, MESSAGES (MESSAGE ("bad") "," MESSAGE ("1")), "N", 502 },
      { CHAT, MESSAGES (MESSAGE ("bad") "," MESSAGE ("2")), "N", 502 },
      { CHAT, MESSAGES (MESSAGE ("bad") "," MESSAGE ("3")), "N", 502 },
      { CHAT, MESSAGES (MESSAGE ("bad") "," MESSAGE ("4")), DONE, 422 },
      { CHAT, MESSAGES (MESSAGE ("x") "," MESSAGE ("bad") "," MESSAGE ("5")),
        DONE, 422 },
      { CHAT, MESSAGES (MESSAGE ("x") "," MESSAGE ("5")), DONE, 200 } } },
  { "sound requests that share the other messages are refused",
    { { CHAT, MESSAGES (MESSAGE ("s") "," MESSAGE ("bad") "," MESSAGE ("1")),
        "N", 502 },
      { CHAT, MESSAGES (MESSAGE ("s") "," MESSAGE ("bad") "," MESSAGE ("2")),
        "N", 502 },
      { CHAT, MESSAGES (MESSAGE ("s") "," MESSAGE ("bad") "," MESSAGE ("3")),
        "N", 502 },
      { CHAT, MESSAGES (MESSAGE ("s") "," MESSAGE ("bad") "," MESSAGE ("4")),
        DONE, 422 },
      { CHAT, MESSAGES (MESSAGE ("s") "," MESSAGE ("4")), DONE, 200 },
      { CHAT, MESSAGES (MESSAGE ("bad") "," MESSAGE ("5")), DONE, 422 } } },
  { "plain prompts that share a harmful paragraph are sent on",
    { { TEXT, PROMPT ("bad\\n\\n1"), "N", 502 },
      { TEXT, PROMPT ("bad\\n\\n2"), "N", 502 },
      { TEXT, PROMPT ("bad\\n\\n3"), "N", 502 },
      { TEXT, PROMPT ("bad\\n\\n4"), DONE, 422 },
      { TEXT, PROMPT ("x\\n\\n4"), DONE, 200 } } },
  { "a part that was answered between the crashes is refused",
    { { TEXT, PROMPT ("good\\n\\n1"), "N", 502 },
      { TEXT, PROMPT ("good\\n\\n2"), DONE, 200 },
      { TEXT, PROMPT ("good\\n\\n3"), "N", 502 },
      { TEXT, PROMPT ("good\\n\\n4"), DONE, 200 },
      { TEXT, PROMPT ("good\\n\\n5"), "N", 502 },
      { TEXT, PROMPT ("good\\n\\n6"), DONE, 200 } } },
  { "a crash in a stream without length or chunks is no strike",
    { { TEXT, PROMPT ("bad"), "U F", 502 },
      { TEXT, PROMPT ("bad"), "U F", 502 },
      { TEXT, PROMPT ("bad"), DONE, 422 } } },
  { "a crash within an event is no strike",
    { { TEXT, PROMPT ("bad"), "U 0 half F", 502 },
      { TEXT, PROMPT ("bad"), "U 0 half F", 502 },
      { TEXT, PROMPT ("bad"), DONE, 422 } } },
  { "a call that is answered keeps the strikes of earlier crashes",
    { { NOTES, "", "N", 502 },
      { NOTES, "", "ok", 201 },
      { NOTES, "", "N", 502 },
      { NOTES, "", "ok", 201 },
      { NOTES, "", "ok", 201 } } },
  { "a call that crashes endpoints is sent on",
    { { NOTES, "", "N", 502 },
      { NOTES, "", "N", 502 },
      { NOTES, "", "ok", 422 } } },
};

/*
 * All endpoints restart, and no breaker is open.  Crashes at the same time
 * would count once.
 */
static void
restart_endpoints (struct testbed *testbed, size_t step)
{
  int64_t until_ms = time_boot_ms () + STRIKES_SPACING_MS;

  WAIT_FOR (testbed, time_boot_ms () >= until_ms);
  for (struct fleet_host *host = testbed->fleet.hosts; host != NULL;
       host = host->hh.next)
    snprintf (host->attested.boot_id, FLEET_NAME_SIZE, "boot-%zu", step);
  chooser_finish (&testbed->chooser);
  chooser_init (&testbed->chooser, 1);
}

static void
run_step (struct testbed *testbed,
          const struct crash_case *c,
          const struct step *step)
{
  size_t calls = testbed->script_calls;
  struct client client;
  bool is_refused = step->status == 422;

  testbed->scripts[0] = step->script;
  client_open (testbed, &client, 0);
  client_send (&client, step->method, step->path, "acme", "", step->body);
  client_wait (testbed, &client);
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  if (client_status (&client) != step->status)
    fail_msg ("%s: step %zu: status %d", c->guards, step - c->steps,
              client_status (&client));
  assert_int_equal (testbed->script_calls - calls, is_refused ? 0 : 1);
  client_close (&client);
}

static void
test_crash_requests (void **state)
{
  const struct crash_case *c = *state;
  struct testbed *testbed = testbed_new ();

  testbed->limits.attempts = 1;
  testbed->script_count = 1;
  testbed_start (testbed);
  for (size_t i = 0; i < STEP_LIMIT && c->steps[i].method != NULL; i++)
    {
      restart_endpoints (testbed, i);
      run_step (testbed, c, &c->steps[i]);
    }
  testbed_free (testbed);
}

/* Responses that end with their connection, in order and by a reset. */
static const struct
{
  const char *guards;
  struct step step;
  const char *text;   /* in the response */
  const char *absent; /* not in the response; NULL = not checked */
} unframed[] = {
  { "a response without a length is not passed on whole",
    { NOTES, "", "open F", 201 },
    "{\"serial\":7}",
    NULL },
  { "a response without a length that is reset counts as whole",
    { NOTES, "", "open R", 502 },
    "UPSTREAM_UNKNOWN",
    "serial" },
  { "a stream without chunks is not passed on whole",
    { TEXT, PROMPT ("p"), "U 0 1 D F", 200 },
    "w0 w1",
    NULL },
  { "a stream without chunks that is reset counts as whole",
    { TEXT, PROMPT ("p"), "U 0 1 R", 502 },
    "STREAM_BROKEN",
    "w0" },
  { "a call whose response ends in a field name counts as answered",
    { NOTES, "", "cut-name F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a call whose response ends in the value of its length counts as answered",
    { NOTES, "", "cut-value F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a call whose response ends in the line of its length counts as answered",
    { NOTES, "", "cut-line F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a call whose response ends in the last line end of its head counts as "
    "answered",
    { NOTES, "", "cut-end F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a stream whose response ends in a field name counts as answered",
    { TEXT, PROMPT ("p"), "cut-name F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a stream whose response ends in the value of its length counts as "
    "answered",
    { TEXT, PROMPT ("p"), "cut-value F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a stream whose response ends in the line of its length counts as answered",
    { TEXT, PROMPT ("p"), "cut-line F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a stream whose response ends in the last line end of its head counts as "
    "answered",
    { TEXT, PROMPT ("p"), "cut-end F", 502 },
    "UPSTREAM_UNKNOWN",
    NULL },
  { "a stream that ends within an event counts as whole",
    { TEXT, PROMPT ("p"), "U 0 1 half F", 502 },
    "STREAM_BROKEN",
    "w0" },
};

static void
test_unframed_responses (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof unframed / sizeof unframed[0]; i++)
    {
      const struct step *step = &unframed[i].step;
      struct testbed *testbed = testbed_new ();
      struct client client;

      testbed->limits.attempts = 1;
      testbed->scripts[testbed->script_count++] = step->script;
      testbed_start (testbed);
      client_open (testbed, &client, 0);
      client_send (&client, step->method, step->path, "acme", "", step->body);
      client_wait (testbed, &client);
      if (client_status (&client) != step->status
          || strstr (client_text (&client), unframed[i].text) == NULL
          || (unframed[i].absent != NULL
              && strstr (client_text (&client), unframed[i].absent) != NULL))
        fail_msg ("%s: %s", unframed[i].guards, client_text (&client));
      client_close (&client);
      testbed_free (testbed);
    }
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0] + 1];
  size_t count = sizeof cases / sizeof cases[0];

  for (size_t i = 0; i < count; i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].guards,
                                    .test_func = test_crash_requests,
                                    .initial_state = (void *)&cases[i] };
  tests[count] = (struct CMUnitTest)cmocka_unit_test (test_unframed_responses);
  return cmocka_run_group_tests_name ("crash-requests", tests, NULL, NULL);
}
