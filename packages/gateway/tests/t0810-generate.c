#include "harness.h"

#define BODY(stream)                                                           \
  "{\"model\":\"m\",\"prompt\":\"secret "                                      \
  "words\",\"max_tokens\":4,\"stream\":" #stream "}"
#define CHAT(stream)                                                           \
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
  const char *answer[3]; /* texts that the reply holds */
  const char *absent;    /* text that it must not hold */
  const char *log;       /* of the request-end line */
  const char *resume;    /* in the second attempt's body */
  size_t strikes;
};

#define COMPLETIONS "/v1/completions"
#define CHATS "/v1/chat/completions"

static const struct generate_case cases[] = {
  { "an unstreamed answer is whole, with usage",
    COMPLETIONS,
    BODY (false),
    { "0 1 2 3 D E" },
    200,
    { "\"text\":\"w0 w1 w2 w3 \"", "\"completion_tokens\":4",
      "\"finish_reason\":\"length\"" },
    "data:",
    "code=0 outcome=done attempts=1",
    NULL,
    0 },
  { "a streamed answer has each token once and ends with DONE",
    COMPLETIONS,
    BODY (true),
    { "0 1 2 3 D E" },
    200,
    { "\"text\":\"w0 \"", "\"text\":\"w3 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=1",
    NULL,
    0 },
  { "a chat answer is a message",
    CHATS,
    CHAT (false),
    { "0 1 2 3 D E" },
    200,
    { "\"object\":\"chat.completion\"", "\"content\":\"w0 w1 w2 w3 \"",
      "\"role\":\"assistant\"" },
    NULL,
    "code=0 outcome=done",
    NULL,
    0 },
  { "a streamed chat has deltas",
    CHATS,
    CHAT (true),
    { "0 1 2 3 D E" },
    200,
    { "\"delta\":{\"content\":\"w0 \"}", "chat.completion.chunk",
      "data: [DONE]" },
    NULL,
    "code=0 outcome=done",
    NULL,
    0 },
  { "a shorter answer ends with stop",
    COMPLETIONS,
    BODY (true),
    { "0 1 D E" },
    200,
    { "\"finish_reason\":\"stop\"", "data: [DONE]" },
    NULL,
    "tokens=2",
    NULL,
    0 },
  { "a broken stream resumes after the last token passed on",
    COMPLETIONS,
    BODY (true),
    { "0 1 R", "2 3 D E" },
    200,
    { "\"text\":\"w1 \"", "\"text\":\"w2 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    1 },
  { "an unstreamed answer resumes as well",
    COMPLETIONS,
    BODY (false),
    { "0 1 R", "2 3 D E" },
    200,
    { "\"text\":\"w0 w1 w2 w3 \"" },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    1 },
  { "a stream that ends without DONE is not complete",
    COMPLETIONS,
    BODY (true),
    { "0 1 E", "2 3 D E" },
    200,
    { "\"text\":\"w2 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    0 },
  { "a resumed stream that repeats tokens shows none twice",
    COMPLETIONS,
    BODY (false),
    { "0 1 F", "0 1 2 3 D E" },
    200,
    { "\"text\":\"w0 w1 w2 w3 \"" },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    1 },
  { "a gap ends the stream with an error",
    COMPLETIONS,
    BODY (true),
    { "0 2 3 D E" },
    200,
    { "event: error", "\"name\":\"STREAM_BROKEN\"", "\"outcome\":\"unknown\"" },
    "[DONE]",
    "code=3016 outcome=unknown attempts=1",
    NULL,
    0 },
  { "more tokens than were asked for end the stream with an error",
    COMPLETIONS,
    BODY (true),
    { "0 1 2 3 4 D E" },
    200,
    { "\"text\":\"w3 \"", "event: error", "\"name\":\"STREAM_BROKEN\"" },
    "w4",
    "code=3016 outcome=unknown attempts=1",
    NULL,
    0 },
  { "a malformed event counts as a failure of the attempt",
    COMPLETIONS,
    BODY (true),
    { "0 1 bad", "2 3 D E" },
    200,
    { "\"text\":\"w2 \"", "data: [DONE]" },
    "event: error",
    "code=0 outcome=done attempts=2",
    "\"resume_from\":2",
    0 },
  { "a wrong group means not run: elsewhere",
    COMPLETIONS,
    BODY (false),
    { "409", "0 1 2 3 D E" },
    200,
    { "w0 w1 w2 w3 " },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":0",
    0 },
  { "a full queue means not run: elsewhere",
    COMPLETIONS,
    BODY (false),
    { "429", "0 1 2 3 D E" },
    200,
    { "w0 w1 w2 w3 " },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":0",
    0 },
  { "a leaving endpoint means not run: elsewhere",
    COMPLETIONS,
    BODY (false),
    { "leaving", "0 1 2 3 D E" },
    200,
    { "w0 w1 w2 w3 " },
    NULL,
    "code=0 outcome=done attempts=2",
    "\"resume_from\":0",
    0 },
  { "refused by every endpoint: not run",
    COMPLETIONS,
    BODY (true),
    { "429" },
    503,
    { "\"name\":\"NO_CAPACITY\"", "\"outcome\":\"not-run\"", "Retry-After: " },
    "[DONE]",
    "code=3011 outcome=not-run attempts=4",
    NULL,
    0 },
  { "failed everywhere after it was sent: unknown, never not-run",
    COMPLETIONS,
    BODY (true),
    { "500" },
    502,
    { "\"name\":\"UPSTREAM_UNKNOWN\"", "\"outcome\":\"unknown\"" },
    "not-run",
    "code=3014 outcome=unknown attempts=4",
    NULL,
    0 },
  { "one attempt unknown and later ones refused: still unknown",
    COMPLETIONS,
    BODY (true),
    { "500", "429" },
    502,
    { "\"outcome\":\"unknown\"" },
    "not-run",
    "outcome=unknown attempts=4",
    NULL,
    0 },
  { "two deaths quarantine the request: unknown, and no third endpoint",
    COMPLETIONS,
    BODY (true),
    { "N", "N", "0 1 2 3 D E" },
    422,
    { "\"name\":\"QUARANTINED\"", "\"outcome\":\"unknown\"", "Retry-After: " },
    "[DONE]",
    "code=3017 outcome=unknown attempts=2",
    NULL,
    2 },
  { "a broken stream that cannot resume ends visibly",
    COMPLETIONS,
    BODY (true),
    { "0 1 E", "500", "500" },
    200,
    { "\"text\":\"w1 \"", "event: error", "\"name\":\"STREAM_BROKEN\"" },
    "[DONE]",
    "code=3016 outcome=unknown attempts=4",
    NULL,
    0 },
};

static bool
broadcast_acknowledged (void *context, const char *fingerprint)
{
  struct world *world = context;

  (void)fingerprint;
  world->asked++;
  return world->acknowledged;
}

static void
broadcast (void *context,
           const char *fingerprint,
           const char *host,
           const char *boot_id)
{
  struct world *world = context;

  assert_int_equal (strlen (fingerprint), HASH_HEX_SIZE - 1);
  assert_true (host[0] == 'e');
  assert_true (strncmp (boot_id, "boot-", 5) == 0);
  world->broadcast++;
}

static struct gateway_strike_hooks hooks
    = { .broadcast = broadcast, .acknowledged = broadcast_acknowledged };

static struct world *
start (const char *const *scripts)
{
  struct world *world = world_new ();

  hooks.context = world;
  world->acknowledged = true;
  world->tables.strike_hooks = &hooks;
  world->limits.capacity_timeout_ms = 100;
  for (size_t i = 0; i < 4 && scripts[i] != NULL; i++)
    world->scripts[world->script_count++] = scripts[i];
  world_start (world);
  return world;
}

static void
run_case (const struct generate_case *test)
{
  struct world *world = start (test->scripts);
  struct client client;
  const char *text;

  client_open (world, &client, 0);
  client_send (&client, "POST", test->path, "acme", "", test->body);
  client_wait (world, &client);
  WAIT_FOR (world, gateway_is_empty (&world->gateway));
  assert_int_equal (client_status (&client), test->status);
  text = client_text (&client);
  for (size_t i = 0; i < 3 && test->answer[i] != NULL; i++)
    assert_non_null (strstr (text, test->answer[i]));
  if (test->absent != NULL)
    assert_null (strstr (text, test->absent));
  assert_non_null (strstr (world->log, test->log));
  assert_int_equal (world_log_count (world, "event=request-end"), 1);
  /* Prompts are never logged. */
  assert_null (strstr (world->log, "secret"));
  if (test->resume != NULL)
    assert_non_null (strstr (world_call (world, 1)->text, test->resume));
  assert_int_equal (world->broadcast, test->strikes);
  client_close (&client);
  world_free (world);
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
