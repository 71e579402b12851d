#include "harness.h"

#define COMPLETION_BODY(stream)                                                \
  "{\"model\":\"m\",\"prompt\":\"secret "                                      \
  "words\",\"max_tokens\":4,\"stream\":" #stream "}"
#define CHAT_BODY(stream)                                                      \
  "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"secret\"}]" \
  ","                                                                          \
  "\"max_tokens\":4,\"stream\":" #stream "}"

struct generate_case
{
  const char *name;
  const char *path;
  const char *body;
  const char *scripts[4];
  int status;
  const char *expected_texts[3]; /* in the reply */
  const char *absent_text;       /* not in the reply */
  const char *log;               /* text that the log must contain */
  const char *resume; /* text that the second attempt's body contains */
  size_t strikes;     /* broadcast to the peers */
};

#define COMPLETIONS "/v1/completions"
#define CHAT_COMPLETIONS "/v1/chat/completions"

static const struct generate_case cases[] = {
  { "an unstreamed response is complete, with usage",
    COMPLETIONS,
    COMPLETION_BODY (false),
    { "0 1 2 3 D E" },
    200,
    { "\"text\":\"w0 w1 w2 w3 \"", "\"completion_tokens\":4",
      "\"finish_reason\":\"length\"" },
    "data:",
    "code=0 outcome=done attempts=1",
    NULL,
    0 },
  { "a streamed response has each token once and ends with DONE",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 1 2 3 D E" },
    200,
    { "\"text\":\"w0 \"", "\"text\":\"w3 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=1",
    NULL,
    0 },
  { "a chat response is a message",
    CHAT_COMPLETIONS,
    CHAT_BODY (false),
    { "0 1 2 3 D E" },
    200,
    { "\"object\":\"chat.completion\"", "\"content\":\"w0 w1 w2 w3 \"",
      "\"role\":\"assistant\"" },
    NULL,
    "code=0 outcome=done",
    NULL,
    0 },
  { "a streamed chat has deltas",
    CHAT_COMPLETIONS,
    CHAT_BODY (true),
    { "0 1 2 3 D E" },
    200,
    { "\"delta\":{\"content\":\"w0 \"}", "chat.completion.chunk",
      "data: [DONE]" },
    NULL,
    "code=0 outcome=done",
    NULL,
    0 },
  { "a response below max_tokens ends with stop",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 1 D E" },
    200,
    { "\"finish_reason\":\"stop\"", "data: [DONE]" },
    NULL,
    "tokens=2",
    NULL,
    0 },
  { "a broken stream resumes after the last relayed token",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 1 R", "2 3 D E" },
    200,
    { "\"text\":\"w1 \"", "\"text\":\"w2 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    1 },
  { "an unstreamed response resumes as well",
    COMPLETIONS,
    COMPLETION_BODY (false),
    { "0 1 R", "2 3 D E" },
    200,
    { "\"text\":\"w0 w1 w2 w3 \"" },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    1 },
  { "a stream that ends without DONE is not complete",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 1 E", "2 3 D E" },
    200,
    { "\"text\":\"w2 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    0 },
  { "repeated tokens of a resumed stream are dropped",
    COMPLETIONS,
    COMPLETION_BODY (false),
    { "0 1 F", "0 1 2 3 D E" },
    200,
    { "\"text\":\"w0 w1 w2 w3 \"" },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    1 },
  { "a missing token ends the stream with an error",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 2 3 D E" },
    200,
    { "event: error", "\"name\":\"STREAM_BROKEN\"", "\"outcome\":\"unknown\"" },
    "[DONE]",
    "code=3016 outcome=unknown attempts=1",
    NULL,
    0 },
  { "more tokens than max_tokens end the stream with an error",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 1 2 3 4 D E" },
    200,
    { "\"text\":\"w3 \"", "event: error", "\"name\":\"STREAM_BROKEN\"" },
    "w4",
    "code=3016 outcome=unknown attempts=1",
    NULL,
    0 },
  { "a malformed event counts as a failure of the attempt",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 1 bad", "2 3 D E" },
    200,
    { "\"text\":\"w2 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    0 },
  { "409 (wrong group) means not run: retried at another",
    COMPLETIONS,
    COMPLETION_BODY (false),
    { "409", "0 1 2 3 D E" },
    200,
    { "w0 w1 w2 w3 " },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":0",
    0 },
  { "429 (full queue) means not run: retried at another",
    COMPLETIONS,
    COMPLETION_BODY (false),
    { "429", "0 1 2 3 D E" },
    200,
    { "w0 w1 w2 w3 " },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":0",
    0 },
  { "a leaving endpoint means not run: retried at another",
    COMPLETIONS,
    COMPLETION_BODY (false),
    { "leaving", "0 1 2 3 D E" },
    200,
    { "w0 w1 w2 w3 " },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":0",
    0 },
  { "refused by every endpoint: not run",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "429" },
    503,
    { "\"name\":\"NO_CAPACITY\"", "\"outcome\":\"not-run\"", "Retry-After: " },
    "[DONE]",
    "code=3011 outcome=not-run attempts=4",
    NULL,
    0 },
  { "every endpoint failed after the request was sent: unknown",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "500" },
    502,
    { "\"name\":\"UPSTREAM_UNKNOWN\"", "\"outcome\":\"unknown\"" },
    "not-run",
    "code=3014 outcome=unknown attempts=4",
    NULL,
    0 },
  { "one attempt is unknown, later ones are refused: unknown",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "500", "429" },
    502,
    { "\"outcome\":\"unknown\"" },
    "not-run",
    "outcome=unknown attempts=4",
    NULL,
    0 },
  { "two crashes quarantine the request: unknown, no third attempt",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "N", "N", "0 1 2 3 D E" },
    422,
    { "\"name\":\"QUARANTINED\"", "\"outcome\":\"unknown\"", "Retry-After: " },
    "[DONE]",
    "code=3017 outcome=unknown attempts=2",
    NULL,
    2 },
  { "a broken stream that cannot resume ends with an error event",
    COMPLETIONS,
    COMPLETION_BODY (true),
    { "0 1 E", "500", "500" },
    200,
    { "\"text\":\"w1 \"", "event: error", "\"name\":\"STREAM_BROKEN\"" },
    "[DONE]",
    "code=3016 outcome=unknown attempts=4",
    NULL,
    0 },
};

static bool
is_strike_acknowledged (void *context, const char *fingerprint)
{
  struct testbed *testbed = context;

  (void)fingerprint;
  testbed->ack_query_count++;
  return testbed->acknowledged;
}

static void
count_broadcast (void *context,
                 const char *fingerprint,
                 const char *host,
                 const char *boot_id)
{
  struct testbed *testbed = context;

  assert_int_equal (strlen (fingerprint), HASH_HEX_SIZE - 1);
  assert_true (host[0] == 'e');
  assert_true (strncmp (boot_id, "boot-", 5) == 0);
  testbed->broadcast_count++;
}

static struct gateway_strike_hooks hooks
    = { .broadcast = count_broadcast, .acknowledged = is_strike_acknowledged };

static struct testbed *
start_testbed (const char *const *scripts)
{
  struct testbed *testbed = testbed_new ();

  hooks.context = testbed;
  testbed->acknowledged = true;
  testbed->tables.strike_hooks = &hooks;
  testbed->limits.capacity_timeout_ms = 100;
  for (size_t i = 0; i < 4 && scripts[i] != NULL; i++)
    testbed->scripts[testbed->script_count++] = scripts[i];
  testbed_start (testbed);
  return testbed;
}

static void
run_case (const struct generate_case *test)
{
  struct testbed *testbed = start_testbed (test->scripts);
  struct client client;
  const char *text;

  client_open (testbed, &client, 0);
  client_send (&client, "POST", test->path, "acme", "", test->body);
  client_wait (testbed, &client);
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  assert_int_equal (client_status (&client), test->status);
  text = client_text (&client);
  for (size_t i = 0; i < 3 && test->expected_texts[i] != NULL; i++)
    assert_non_null (strstr (text, test->expected_texts[i]));
  if (test->absent_text != NULL)
    assert_null (strstr (text, test->absent_text));
  assert_non_null (strstr (testbed->log, test->log));
  assert_int_equal (testbed_count_log (testbed, "event=request-end"), 1);
  /* Prompts are never logged. */
  assert_null (strstr (testbed->log, "secret"));
  if (test->resume != NULL)
    assert_non_null (
        strstr (testbed_script_call (testbed, 1)->text, test->resume));
  assert_int_equal (testbed->broadcast_count, test->strikes);
  client_close (&client);
  testbed_free (testbed);
}

static void
test_generate (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      print_message ("case: %s\n", cases[i].name);
      run_case (&cases[i]);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_generate),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
