#include "harness.h"

#include "../src/internal.h"

/* Stub of the claim hooks; the test sets the decision. */

enum begin_mode
{
  BEGIN_GRANT,
  BEGIN_GRANT_LATER,
  BEGIN_REPLAY,
  BEGIN_REFUSE,
};

struct gateway_claim
{
  int number;
};

struct claim_stub
{
  struct gateway_claim_hooks hooks;
  enum begin_mode mode;
  enum result refusal;
  struct gateway_claim claim;
  size_t begin_count;
  size_t abandon_count;
  size_t settle_count;
  size_t cancel_count;
  enum claim_state state;
  int status; /* HTTP status of the settled answer */
  char body[64];
  bool hold_settled; /* the record is not durable until the test says so */
  void (*decided) (void *context,
                   struct gateway_claim *claim,
                   enum claim_verdict verdict,
                   enum result result,
                   const struct claim_answer *answer);
  void *decided_context;
  void (*settled) (void *context);
  void *settled_context;
  char key[64];
};

static struct gateway_claim *
stub_begin (void *context,
            const struct gateway_claim_request *request,
            void (*decided) (void *context,
                             struct gateway_claim *claim,
                             enum claim_verdict verdict,
                             enum result result,
                             const struct claim_answer *answer),
            void *decided_context)
{
  struct claim_stub *claims = context;
  struct claim_answer answer = { .status = 201, .body_size = 5 };
  char body[] = "first";
  char type[] = "text/plain";

  answer.body = body;
  answer.content_type = type;
  snprintf (claims->key, sizeof claims->key, "%s", request->idempotency_key);
  claims->begin_count++;
  claims->decided = decided;
  claims->decided_context = decided_context;
  switch (claims->mode)
    {
    case BEGIN_GRANT:
      decided (decided_context, &claims->claim, CLAIM_VERDICT_GRANTED,
               RESULT_OK, NULL);
      return &claims->claim;
    case BEGIN_GRANT_LATER:
      return &claims->claim;
    case BEGIN_REPLAY:
      decided (decided_context, NULL, CLAIM_VERDICT_REPLAY, RESULT_OK, &answer);
      return NULL;
    case BEGIN_REFUSE:
      decided (decided_context, NULL, CLAIM_VERDICT_REFUSED, claims->refusal,
               NULL);
      return NULL;
    }
  return NULL;
}

static void
stub_settle (void *context,
             struct gateway_claim *claim,
             enum claim_state state,
             const struct claim_answer *answer,
             void (*settled) (void *context),
             void *settled_context)
{
  struct claim_stub *claims = context;

  assert_ptr_equal (claim, &claims->claim);
  claims->settle_count++;
  claims->state = state;
  if (answer != NULL)
    {
      claims->status = answer->status;
      snprintf (claims->body, sizeof claims->body, "%.*s",
                (int)answer->body_size, answer->body);
    }
  claims->settled = settled;
  claims->settled_context = settled_context;
  if (!claims->hold_settled && settled != NULL)
    settled (settled_context);
}

static void
stub_cancel_settled (void *context, void *settled_context)
{
  struct claim_stub *claims = context;

  assert_ptr_equal (settled_context, claims->settled_context);
  claims->cancel_count++;
}

static void
stub_abandon (void *context, struct gateway_claim *claim)
{
  struct claim_stub *claims = context;

  assert_ptr_equal (claim, &claims->claim);
  claims->abandon_count++;
}

static void
claim_stub_init (struct claim_stub *claims)
{
  memset (claims, 0, sizeof *claims);
  claims->hooks
      = (struct gateway_claim_hooks){ claims, stub_begin, stub_settle,
                                      stub_cancel_settled, stub_abandon };
}

#define KEY_HEADER "Idempotency-Key: 017f22e2-79b0-7cc3-98c4-dc0c0c07398f\r\n"

struct service_case
{
  const char *name;
  const char *method;
  const char *path;
  enum begin_mode mode;
  enum result refusal; /* for BEGIN_REFUSE */
  const char *scripts[4];
  int status;
  const char *expected_texts[3]; /* in the reply */
  const char *log;               /* text that the log must contain */
  size_t calls;                  /* that ran a script at an endpoint */
  size_t begin_count;
  size_t settle_count;
  enum claim_state state; /* settled; unused if settle_count is 0 */
};

#define BOOKINGS "/v1/services/app/bookings"
#define NOTES "/v1/services/app/notes?x=1"

static const struct service_case cases[] = {
  { "a repeatable call is relayed without a claim",
    "POST",
    NOTES,
    BEGIN_GRANT,
    RESULT_OK,
    { "ok" },
    201,
    { "{\"serial\":7}", "application/json" },
    "target=service/app code=0 outcome=done attempts=1",
    1,
    0,
    0,
    CLAIM_CLAIMED },
  { "a long content type reaches the caller whole",
    "POST",
    NOTES,
    BEGIN_GRANT,
    RESULT_OK,
    { "mixed" },
    201,
    { "Content-Type: " LONG_TYPE "\r\n", "ok" },
    "code=0 outcome=done attempts=1",
    1,
    0,
    0,
    CLAIM_CLAIMED },
  { "a repeatable call is retried after a reset",
    "GET",
    NOTES,
    BEGIN_GRANT,
    RESULT_OK,
    { "N", "ok" },
    201,
    { "{\"serial\":7}" },
    "code=0 outcome=done attempts=2",
    2,
    0,
    0,
    CLAIM_CLAIMED },
  { "an error response of the service is relayed, not retried",
    "GET",
    NOTES,
    BEGIN_GRANT,
    RESULT_OK,
    { "409" },
    409,
    { "{\"error\":\"x\"}" },
    "code=0 outcome=done attempts=1",
    1,
    0,
    0,
    CLAIM_CLAIMED },
  { "a leaving host did not run the call: retried on another",
    "GET",
    NOTES,
    BEGIN_GRANT,
    RESULT_OK,
    { "leaving", "ok" },
    201,
    { "{\"serial\":7}" },
    "code=0 outcome=done attempts=2",
    2,
    0,
    0,
    CLAIM_CLAIMED },
  { "a non-repeatable call is claimed and settled done",
    "POST",
    BOOKINGS,
    BEGIN_GRANT,
    RESULT_OK,
    { "ok" },
    201,
    { "{\"serial\":7}" },
    "code=0 outcome=done attempts=1",
    1,
    1,
    1,
    CLAIM_DONE },
  { "a call that is already done is replayed without a call",
    "POST",
    BOOKINGS,
    BEGIN_REPLAY,
    RESULT_OK,
    { "ok" },
    201,
    { "Idempotency-Replayed: true", "text/plain", "first" },
    "code=0 outcome=done attempts=0",
    0,
    1,
    0,
    CLAIM_CLAIMED },
  { "a claim in progress at another host: unknown, no call",
    "POST",
    BOOKINGS,
    BEGIN_REFUSE,
    RESULT_CLAIM_IN_PROGRESS,
    { "ok" },
    409,
    { "\"name\":\"CLAIM_IN_PROGRESS\"", "\"outcome\":\"unknown\"",
      "Retry-After" },
    "code=3021 outcome=unknown attempts=0",
    0,
    1,
    0,
    CLAIM_CLAIMED },
  { "no claim can be recorded: not run, no call",
    "POST",
    BOOKINGS,
    BEGIN_REFUSE,
    RESULT_CLAIM_UNAVAILABLE,
    { "ok" },
    503,
    { "\"name\":\"CLAIM_UNAVAILABLE\"", "\"outcome\":\"not-run\"" },
    "code=3022 outcome=not-run attempts=0",
    0,
    1,
    0,
    CLAIM_CLAIMED },
  { "a missing response means unknown and no retry (INV-5)",
    "POST",
    BOOKINGS,
    BEGIN_GRANT,
    RESULT_OK,
    { "N", "ok" },
    502,
    { "\"name\":\"UPSTREAM_UNKNOWN\"", "\"outcome\":\"unknown\"" },
    "code=3014 outcome=unknown attempts=1",
    1,
    1,
    1,
    CLAIM_UNKNOWN },
  { "a leaving host did not run the claimed call: retried on another",
    "POST",
    BOOKINGS,
    BEGIN_GRANT,
    RESULT_OK,
    { "leaving", "ok" },
    201,
    { "{\"serial\":7}" },
    "code=0 outcome=done attempts=2",
    2,
    1,
    1,
    CLAIM_DONE },
  { "every host is leaving: settled as not run",
    "POST",
    BOOKINGS,
    BEGIN_GRANT,
    RESULT_OK,
    { "leaving", "leaving" },
    503,
    { "\"outcome\":\"not-run\"" },
    "code=3011 outcome=not-run attempts=2",
    2,
    1,
    1,
    CLAIM_NOT_RUN },
  { "an error response to a claimed call is settled as done",
    "POST",
    BOOKINGS,
    BEGIN_GRANT,
    RESULT_OK,
    { "500" },
    500,
    { "{\"error\":\"x\"}" },
    "code=0 outcome=done attempts=1",
    1,
    1,
    1,
    CLAIM_DONE },
};

static struct testbed *
start_testbed (struct claim_stub *claims, const char *const *scripts)
{
  struct testbed *testbed = testbed_new ();

  claim_stub_init (claims);
  testbed->tables.claim_hooks = &claims->hooks;
  testbed->limits.capacity_timeout_ms = 50;
  for (size_t i = 0; i < 4 && scripts[i] != NULL; i++)
    testbed->scripts[testbed->script_count++] = scripts[i];
  testbed_start (testbed);
  return testbed;
}

static void
run_case (const struct service_case *test)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, test->scripts);
  struct client client;

  claims.mode = test->mode;
  claims.refusal = test->refusal;
  client_open (testbed, &client, 0);
  client_send (&client, test->method, test->path, "acme",
               KEY_HEADER "Content-Type: " LONG_TYPE "\r\n", "hidden-body");
  client_wait (testbed, &client);
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  assert_int_equal (client_status (&client), test->status);
  for (size_t i = 0; i < 3 && test->expected_texts[i] != NULL; i++)
    assert_non_null (strstr (client_text (&client), test->expected_texts[i]));
  assert_non_null (strstr (testbed->log, test->log));
  assert_int_equal (testbed_count_log (testbed, "event=request-end"), 1);
  assert_null (strstr (testbed->log, "hidden"));
  assert_int_equal (testbed->script_calls, test->calls);
  assert_int_equal (claims.begin_count, test->begin_count);
  assert_int_equal (claims.settle_count, test->settle_count);
  if (test->settle_count > 0)
    assert_int_equal (claims.state, test->state);
  if (test->calls > 0)
    {
      const char *text = testbed_script_call (testbed, 0)->text;

      assert_non_null (strstr (text, "hidden-body"));
      assert_non_null (strstr (text, "Content-Type: " LONG_TYPE "\r\n"));
      assert_non_null (strstr (text, "X-Customer: acme"));
      assert_null (strstr (text, "Bearer"));
    }
  client_close (&client);
  testbed_free (testbed);
}

static void
test_service (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      print_message ("case: %s\n", cases[i].name);
      run_case (&cases[i]);
    }
}

static const char *const ok_script[] = { "ok", NULL };
static const char *const hold_script[] = { "H", NULL };

/*
 * On a reused connection that the host is about to close, the outcome of a call
 * would be unknown, so a call that may not be repeated opens a new connection.
 */
static void
test_claimed_call_uses_own_connection (void **state)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, ok_script);

  (void)state;
  for (size_t i = 0; i < 4; i++)
    {
      struct client client;

      client_open (testbed, &client, 0);
      client_send (&client, i < 2 ? "GET" : "POST", BOOKINGS, "acme",
                   KEY_HEADER, "");
      client_wait (testbed, &client);
      assert_int_equal (client_status (&client), 201);
      client_close (&client);
    }
  assert_int_equal (testbed->script_calls, 4);
  /* The GETs share a connection per host; each POST has its own. */
  assert_in_range (testbed->accepted, 3, 4);
  for (size_t i = 2; i < 4; i++)
    assert_non_null (
        strstr (testbed_script_call (testbed, i)->text, "Connection: close"));
  testbed_free (testbed);
}

/* The caller receives the response only after its record is durable. */
static void
test_settled_before_reply (void **state)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, ok_script);
  struct client client;

  (void)state;
  testbed->gateway.limits.settle_timeout_ms = 100000;
  claims.hold_settled = true;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY_HEADER, "{}");
  WAIT_FOR (testbed, claims.settle_count == 1);
  assert_int_equal (claims.state, CLAIM_DONE);
  assert_int_equal (claims.status, 201);
  assert_string_equal (claims.body, "{\"serial\":7}");
  for (int i = 0; i < 20; i++)
    wait_step (testbed);
  assert_int_equal (evbuffer_get_length (client.received), 0);
  claims.settled (claims.settled_context);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 201);
  assert_int_equal (claims.cancel_count, 0);
  client_close (&client);
  testbed_free (testbed);
}

/* A slow platform delays the reply by settle_timeout_ms at most. */
static void
test_settle_timeout (void **state)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, ok_script);
  struct client client;

  (void)state;
  testbed->gateway.limits.settle_timeout_ms = 50;
  claims.hold_settled = true;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY_HEADER, "{}");
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 201);
  assert_int_equal (claims.cancel_count, 1);
  client_close (&client);
  testbed_free (testbed);
}

/* The caller disconnects before the decision: no call may be dispatched. */
static void
test_disconnect_while_claiming (void **state)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, ok_script);
  struct client client;

  (void)state;
  claims.mode = BEGIN_GRANT_LATER;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY_HEADER, "{}");
  WAIT_FOR (testbed, claims.begin_count == 1);
  client_close (&client);
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  assert_int_equal (claims.abandon_count, 1);
  assert_int_equal (claims.settle_count, 0);
  assert_int_equal (testbed->call_count, 0);
  testbed_free (testbed);
}

/* The caller disconnects while the call runs: the outcome is recorded. */
static void
test_disconnect_while_running (void **state)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, hold_script);
  struct client client;

  (void)state;
  claims.mode = BEGIN_GRANT_LATER;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY_HEADER, "{}");
  WAIT_FOR (testbed, claims.begin_count == 1);
  claims.decided (claims.decided_context, &claims.claim, CLAIM_VERDICT_GRANTED,
                  RESULT_OK, NULL);
  WAIT_FOR (testbed, testbed->script_calls == 1);
  client_close (&client);
  for (int i = 0; i < 20; i++)
    wait_step (testbed);
  assert_false (testbed_script_call (testbed, 0)->closed);
  call_send_response (testbed_script_call (testbed, 0), 201, "{}");
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  assert_int_equal (claims.settle_count, 1);
  assert_int_equal (claims.state, CLAIM_DONE);
  testbed_free (testbed);
}

/* The deadline passes while the call runs: it is recorded as unknown. */
static void
test_deadline_while_running (void **state)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, hold_script);
  struct client client;

  (void)state;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme",
               KEY_HEADER "X-Deadline-Ms: 100\r\n", "{}");
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 504);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  assert_int_equal (claims.settle_count, 1);
  assert_int_equal (claims.state, CLAIM_UNKNOWN);
  client_close (&client);
  testbed_free (testbed);
}

/* A response over the limit must not be relayed in part. */
static void
test_response_too_large (void **state)
{
  struct claim_stub claims;
  struct testbed *testbed = start_testbed (&claims, ok_script);
  struct client client;

  (void)state;
  testbed->gateway.limits.response_bytes = 4;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY_HEADER, "{}");
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 413);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  assert_int_equal (claims.state, CLAIM_UNKNOWN);
  client_close (&client);
  testbed_free (testbed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_service),
    cmocka_unit_test (test_claimed_call_uses_own_connection),
    cmocka_unit_test (test_settled_before_reply),
    cmocka_unit_test (test_settle_timeout),
    cmocka_unit_test (test_disconnect_while_claiming),
    cmocka_unit_test (test_disconnect_while_running),
    cmocka_unit_test (test_deadline_while_running),
    cmocka_unit_test (test_response_too_large),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
