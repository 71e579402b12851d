#include "harness.h"

#include "../src/internal.h"

/* Hooks for claims that the test decides. */

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

struct claims
{
  struct gateway_claims hooks;
  enum begin_mode mode;
  enum result refusal;
  struct gateway_claim claim;
  size_t begun;
  size_t abandoned;
  size_t settles;
  size_t forgotten;
  enum claim_state state;
  int status; /* of the settled answer */
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
begin (void *context,
       const struct gateway_claim_request *request,
       void (*decided) (void *context,
                        struct gateway_claim *claim,
                        enum claim_verdict verdict,
                        enum result result,
                        const struct claim_answer *answer),
       void *decided_context)
{
  struct claims *claims = context;
  struct claim_answer answer = { .status = 201, .body_size = 5 };
  char body[] = "first";

  answer.body = body;
  snprintf (answer.content_type, sizeof answer.content_type, "text/plain");
  snprintf (claims->key, sizeof claims->key, "%s", request->idempotency_key);
  claims->begun++;
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
settle (void *context,
        struct gateway_claim *claim,
        enum claim_state state,
        const struct claim_answer *answer,
        void (*settled) (void *context),
        void *settled_context)
{
  struct claims *claims = context;

  assert_ptr_equal (claim, &claims->claim);
  claims->settles++;
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
forget (void *context, void *settled_context)
{
  struct claims *claims = context;

  assert_ptr_equal (settled_context, claims->settled_context);
  claims->forgotten++;
}

static void
abandon (void *context, struct gateway_claim *claim)
{
  struct claims *claims = context;

  assert_ptr_equal (claim, &claims->claim);
  claims->abandoned++;
}

static void
claims_init (struct claims *claims)
{
  memset (claims, 0, sizeof *claims);
  claims->hooks
      = (struct gateway_claims){ claims, begin, settle, forget, abandon };
}

#define KEY "Idempotency-Key: 017f22e2-79b0-7cc3-98c4-dc0c0c07398f\r\n"

struct service_case
{
  const char *name;
  const char *method;
  const char *path;
  enum begin_mode mode;
  enum result refusal;
  const char *scripts[4];
  int status;
  const char *answer[3];
  const char *log;
  size_t calls; /* that reached an endpoint and took a script */
  size_t begun;
  size_t settles;
  enum claim_state state;
};

#define BOOKINGS "/v1/services/app/bookings"
#define NOTES "/v1/services/app/notes?x=1"

static const struct service_case cases[] = {
  { "a plain call is passed on with its answer",
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
  { "a repeatable call is tried again",
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
  { "the service's own errors are its answer",
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
  { "a leaving host did not run it: elsewhere",
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
  { "a claim that is decided already is replayed without a call",
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
  { "a claim in progress elsewhere: unknown, no call",
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
  { "a lost answer is unknown and never tried again (INV-5)",
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
  { "a leaving host did not run the claimed call: elsewhere",
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
  { "every host leaves: settled as not run",
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
  { "an error answer of the service is the call's answer",
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

static struct world *
start (struct claims *claims, const char *const *scripts)
{
  struct world *world = world_new ();

  claims_init (claims);
  world->tables.claims = &claims->hooks;
  world->limits.capacity_timeout_ms = 50;
  for (size_t i = 0; i < 4 && scripts[i] != NULL; i++)
    world->scripts[world->script_count++] = scripts[i];
  world_start (world);
  return world;
}

static void
run_case (const struct service_case *test)
{
  struct claims claims;
  struct world *world = start (&claims, test->scripts);
  struct client client;

  claims.mode = test->mode;
  claims.refusal = test->refusal;
  client_open (world, &client, 0);
  client_send (&client, test->method, test->path, "acme",
               KEY "Content-Type: text/x\r\n", "hidden-body");
  client_wait (world, &client);
  WAIT_FOR (world, gateway_is_empty (&world->gateway));
  assert_int_equal (client_status (&client), test->status);
  for (size_t i = 0; i < 3 && test->answer[i] != NULL; i++)
    assert_non_null (strstr (client_text (&client), test->answer[i]));
  assert_non_null (strstr (world->log, test->log));
  assert_int_equal (world_log_count (world, "event=request-end"), 1);
  assert_null (strstr (world->log, "hidden"));
  assert_int_equal (world->script_calls, test->calls);
  assert_int_equal (claims.begun, test->begun);
  assert_int_equal (claims.settles, test->settles);
  if (test->settles > 0)
    assert_int_equal (claims.state, test->state);
  if (test->calls > 0)
    {
      const char *text = world_call (world, 0)->text;

      assert_non_null (strstr (text, "hidden-body"));
      assert_non_null (strstr (text, "Content-Type: text/x"));
      assert_non_null (strstr (text, "X-Customer: acme"));
      assert_null (strstr (text, "Bearer"));
    }
  client_close (&client);
  world_free (world);
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

static const char *const answers[] = { "ok", NULL };
static const char *const holds[] = { "H", NULL };

/*
 * A connection that the host is about to close would make the outcome of a
 * call unknown, so one that may not be repeated gets its own.
 */
static void
test_own_connection (void **state)
{
  struct claims claims;
  struct world *world = start (&claims, answers);

  (void)state;
  for (size_t i = 0; i < 4; i++)
    {
      struct client client;

      client_open (world, &client, 0);
      client_send (&client, i < 2 ? "GET" : "POST", BOOKINGS, "acme", KEY, "");
      client_wait (world, &client);
      assert_int_equal (client_status (&client), 201);
      client_close (&client);
    }
  assert_int_equal (world->script_calls, 4);
  /* GETs may use one connection for each host; the two POSTs use none. */
  assert_in_range (world->accepted, 3, 4);
  for (size_t i = 2; i < 4; i++)
    assert_non_null (strstr (world_call (world, i)->text, "Connection: close"));
  world_free (world);
}

/* The caller may see the answer only once its record is durable. */
static void
test_settled_before_reply (void **state)
{
  struct claims claims;
  struct world *world = start (&claims, answers);
  struct client client;

  (void)state;
  world->gateway.limits.settle_timeout_ms = 100000;
  claims.hold_settled = true;
  client_open (world, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY, "{}");
  WAIT_FOR (world, claims.settles == 1);
  assert_int_equal (claims.state, CLAIM_DONE);
  assert_int_equal (claims.status, 201);
  assert_string_equal (claims.body, "{\"serial\":7}");
  for (int i = 0; i < 20; i++)
    wait_step (world);
  assert_int_equal (evbuffer_get_length (client.got), 0);
  claims.settled (claims.settled_context);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 201);
  assert_int_equal (claims.forgotten, 0);
  client_close (&client);
  world_free (world);
}

/* A slow platform delays the reply by the bound at most. */
static void
test_settle_bound (void **state)
{
  struct claims claims;
  struct world *world = start (&claims, answers);
  struct client client;

  (void)state;
  world->gateway.limits.settle_timeout_ms = 50;
  claims.hold_settled = true;
  client_open (world, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY, "{}");
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 201);
  assert_int_equal (claims.forgotten, 1);
  client_close (&client);
  world_free (world);
}

/* The caller leaves before the decision: nothing may be dispatched. */
static void
test_gone_while_claiming (void **state)
{
  struct claims claims;
  struct world *world = start (&claims, answers);
  struct client client;

  (void)state;
  claims.mode = BEGIN_GRANT_LATER;
  client_open (world, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY, "{}");
  WAIT_FOR (world, claims.begun == 1);
  client_close (&client);
  WAIT_FOR (world, gateway_is_empty (&world->gateway));
  assert_int_equal (claims.abandoned, 1);
  assert_int_equal (claims.settles, 0);
  assert_int_equal (world->call_count, 0);
  world_free (world);
}

/* The caller leaves while the call runs: its end is recorded all the same. */
static void
test_gone_while_running (void **state)
{
  struct claims claims;
  struct world *world = start (&claims, holds);
  struct client client;

  (void)state;
  claims.mode = BEGIN_GRANT_LATER;
  client_open (world, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY, "{}");
  WAIT_FOR (world, claims.begun == 1);
  claims.decided (claims.decided_context, &claims.claim, CLAIM_VERDICT_GRANTED,
                  RESULT_OK, NULL);
  WAIT_FOR (world, world->script_calls == 1);
  client_close (&client);
  for (int i = 0; i < 20; i++)
    wait_step (world);
  assert_false (world_call (world, 0)->closed);
  call_status (world_call (world, 0), 201, "{}");
  WAIT_FOR (world, gateway_is_empty (&world->gateway));
  assert_int_equal (claims.settles, 1);
  assert_int_equal (claims.state, CLAIM_DONE);
  world_free (world);
}

/* The deadline passes while the call runs: unknown, and recorded as such. */
static void
test_deadline_while_running (void **state)
{
  struct claims claims;
  struct world *world = start (&claims, holds);
  struct client client;

  (void)state;
  client_open (world, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY "X-Deadline-Ms: 100\r\n",
               "{}");
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 504);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  assert_int_equal (claims.settles, 1);
  assert_int_equal (claims.state, CLAIM_UNKNOWN);
  client_close (&client);
  world_free (world);
}

/* An answer over the limit must not be passed on in part. */
static void
test_answer_too_large (void **state)
{
  struct claims claims;
  struct world *world = start (&claims, answers);
  struct client client;

  (void)state;
  world->gateway.limits.response_bytes = 4;
  client_open (world, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", KEY, "{}");
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 413);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  assert_int_equal (claims.state, CLAIM_UNKNOWN);
  client_close (&client);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_service),
    cmocka_unit_test (test_own_connection),
    cmocka_unit_test (test_settled_before_reply),
    cmocka_unit_test (test_settle_bound),
    cmocka_unit_test (test_gone_while_claiming),
    cmocka_unit_test (test_gone_while_running),
    cmocka_unit_test (test_deadline_while_running),
    cmocka_unit_test (test_answer_too_large),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
