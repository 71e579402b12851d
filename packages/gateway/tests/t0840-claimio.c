#include "harness.h"

#include "claimio.h"
#include "uuid.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

/* Stub of the object service: conditional writes and simulated failures. */

struct object
{
  char key[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
};

struct store
{
  struct evhttp *http;
  uint16_t port;
  struct object objects[16];
  size_t count;
  uint64_t revision;
  size_t writes;
  size_t lost_response_count; /* next writes done without a response */
  bool outage;                /* every request gets a 503 */
  int64_t skew_s;             /* offset of the Date header */
};

static struct object *
store_find (struct store *store, const char *key)
{
  for (size_t i = 0; i < store->count; i++)
    if (strcmp (store->objects[i].key, key) == 0)
      return &store->objects[i];
  return NULL;
}

static void
store_reply (struct store *store,
             struct evhttp_request *request,
             int status,
             json_t *json)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = json_dumps (json, JSON_COMPACT);
  time_t now = time (NULL) + (time_t)store->skew_s;
  struct tm tm;
  char date[64];

  gmtime_r (&now, &tm);
  strftime (date, sizeof date, "%a, %d %b %Y %H:%M:%S GMT", &tm);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Date", date);
  evbuffer_add (body, text, strlen (text));
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (json);
}

static void
store_write (struct store *store,
             struct evhttp_request *request,
             const char *key)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  const char *match = evhttp_find_header (
      evhttp_request_get_input_headers (request), "If-Match");
  struct object *object = store_find (store, key);
  uint64_t version = object != NULL ? object->version : 0;
  uint64_t expected_version
      = match != NULL ? strtoull (match + 1, NULL, 10) : 0;

  if (expected_version != version)
    {
      store_reply (store, request, 412,
                   json_pack ("{s:I}", "version", (json_int_t)version));
      return;
    }
  if (object == NULL)
    {
      object = &store->objects[store->count++];
      snprintf (object->key, sizeof object->key, "%s", key);
    }
  json_decref (object->value);
  object->value = json_loadb ((const char *)evbuffer_pullup (input, -1),
                              evbuffer_get_length (input), 0, NULL);
  object->version = ++store->revision;
  store->writes++;
  if (store->lost_response_count > 0)
    {
      store->lost_response_count--;
      evhttp_connection_free (evhttp_request_get_connection (request));
      return;
    }
  store_reply (store, request, 200,
               json_pack ("{s:I}", "version", (json_int_t)object->version));
}

static void
on_store_request (struct evhttp_request *request, void *context)
{
  struct store *store = context;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  const char *key = path + strlen ("/v1/objects/");
  const struct object *object;

  if (store->outage)
    {
      store_reply (store, request, 503, json_object ());
      return;
    }
  if (evhttp_request_get_command (request) == EVHTTP_REQ_PUT)
    {
      store_write (store, request, key);
      return;
    }
  object = store_find (store, key);
  if (object == NULL)
    store_reply (store, request, 404, json_object ());
  else
    store_reply (store, request, 200,
                 json_pack ("{s:s,s:I,s:O}", "key", key, "version",
                            (json_int_t)object->version, "value",
                            object->value));
}

struct fixture
{
  struct testbed *testbed;
  struct store store;
  struct platform platform;
  struct claimio claimio;
  struct event *tick;
};

static void
on_claim_tick (evutil_socket_t fd, short what, void *context)
{
  struct fixture *fixture = context;
  struct timeval period = { 0, TICK_US };

  (void)fd;
  (void)what;
  claimio_tick (&fixture->claimio, time_boot_ms ());
  evtimer_add (fixture->tick, &period);
}

/* testbed_start creates the event base, so the claim hooks are set after it. */
static struct fixture *
start_fixture (const char *const *scripts)
{
  struct fixture *fixture = calloc (1, sizeof *fixture);
  struct store *store = &fixture->store;
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  fixture->testbed = testbed_new ();
  fixture->testbed->limits.capacity_timeout_ms = 50;
  for (size_t i = 0; i < 4 && scripts[i] != NULL; i++)
    fixture->testbed->scripts[fixture->testbed->script_count++] = scripts[i];
  testbed_start (fixture->testbed);
  store->http = evhttp_new (fixture->testbed->base);
  bound = evhttp_bind_socket_with_handle (store->http, "127.0.0.1", 0);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &size);
  store->port = ntohs (address.sin_port);
  evhttp_set_gencb (store->http, on_store_request, store);
  platform_init (&fixture->platform, fixture->testbed->base, "127.0.0.1",
                 store->port, 500);
  claimio_init (&fixture->claimio, &fixture->platform, "entry-1", 1);
  fixture->testbed->gateway.tables.claim_hooks = &fixture->claimio.hooks;
  fixture->tick = evtimer_new (fixture->testbed->base, on_claim_tick, fixture);
  on_claim_tick (-1, 0, fixture);
  return fixture;
}

static void
finish_fixture (struct fixture *fixture)
{
  /* The gateway is finished first; testbed_free finishes it again, empty. */
  gateway_finish (&fixture->testbed->gateway);
  claimio_finish (&fixture->claimio);
  platform_finish (&fixture->platform);
  event_free (fixture->tick);
  evhttp_free (fixture->store.http);
  for (size_t i = 0; i < fixture->store.count; i++)
    json_decref (fixture->store.objects[i].value);
  testbed_free (fixture->testbed);
  free (fixture);
}

#define BOOKINGS "/v1/services/app/bookings"

/* Sends a booking and returns the HTTP status; client keeps the response. */
static int
send_booking (struct fixture *fixture,
              struct client *client,
              const char *key,
              const char *body)
{
  char header[128] = "";

  if (key != NULL)
    snprintf (header, sizeof header, "Idempotency-Key: %s\r\n", key);
  client_open (fixture->testbed, client, 0);
  client_send (client, "POST", BOOKINGS, "acme", header, body);
  client_wait (fixture->testbed, client);
  return client_status (client);
}

static const char *const ok_script[] = { "ok", NULL };

static void
test_replay (void **state)
{
  struct fixture *fixture = start_fixture (ok_script);
  struct client client;
  char key[UUID_SIZE];

  (void)state;
  uuid_generate (key);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  assert_null (strstr (client_text (&client), "Idempotency-Replayed"));
  client_close (&client);
  /* Every repeat gets the first response and does not run again (INV-5). */
  for (int i = 0; i < 3; i++)
    {
      assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
      assert_non_null (
          strstr (client_text (&client), "Idempotency-Replayed: true"));
      assert_non_null (strstr (client_text (&client), "{\"serial\":7}"));
      assert_non_null (strstr (client_text (&client), "application/json"));
      client_close (&client);
    }
  assert_int_equal (fixture->testbed->script_calls, 1);
  /* The same key with another request is refused. */
  assert_int_equal (send_booking (fixture, &client, key, "{\"a\":1}"), 422);
  assert_non_null (strstr (client_text (&client), "IDEMPOTENCY_KEY_REUSED"));
  client_close (&client);
  /* A request with another key runs. */
  uuid_generate (key);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  client_close (&client);
  assert_int_equal (fixture->testbed->script_calls, 2);
  finish_fixture (fixture);
}

static void
test_idempotency_keys (void **state)
{
  static const uint64_t bits[2] = { 1, 2 };
  struct fixture *fixture = start_fixture (ok_script);
  struct client client;
  char key[UUID_SIZE];

  (void)state;
  assert_int_equal (send_booking (fixture, &client, NULL, "{}"), 400);
  assert_non_null (strstr (client_text (&client), "IDEMPOTENCY_KEY_REQUIRED"));
  client_close (&client);
  assert_int_equal (send_booking (fixture, &client, "not-a-uuid", "{}"), 400);
  client_close (&client);
  uuid_format_v7 (key, time_wall_ms () - CLAIM_RETENTION_MS - 1000, bits);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 409);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  client_close (&client);
  uuid_format_v7 (key, time_wall_ms () + 2 * CLAIM_KEY_FUTURE_LIMIT_MS, bits);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 400);
  client_close (&client);
  assert_int_equal (fixture->testbed->call_count, 0);
  finish_fixture (fixture);
}

/*
 * The write of a claim takes effect but its response is lost: the gateway reads
 * the claim back and runs the call once.
 */
static void
test_lost_write_response (void **state)
{
  struct fixture *fixture = start_fixture (ok_script);
  struct client client;
  char key[UUID_SIZE];

  (void)state;
  uuid_generate (key);
  fixture->store.lost_response_count = 1;
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  client_close (&client);
  assert_int_equal (fixture->testbed->script_calls, 1);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  assert_non_null (strstr (client_text (&client), "Idempotency-Replayed"));
  client_close (&client);
  assert_int_equal (fixture->testbed->script_calls, 1);
  finish_fixture (fixture);
}

/* Without the platform no call runs, and the refusal says not-run (INV-4). */
static void
test_platform_outage (void **state)
{
  struct fixture *fixture = start_fixture (ok_script);
  struct client client;
  char key[UUID_SIZE];

  (void)state;
  uuid_generate (key);
  fixture->store.outage = true;
  client_open (fixture->testbed, &client, 0);
  {
    char header[160];

    snprintf (header, sizeof header,
              "Idempotency-Key: %s\r\nX-Deadline-Ms: 500\r\n", key);
    client_send (&client, "POST", BOOKINGS, "acme", header, "{}");
  }
  client_wait (fixture->testbed, &client);
  assert_int_equal (client_status (&client), 503);
  assert_non_null (strstr (client_text (&client), "CLAIM_UNAVAILABLE"));
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"not-run\""));
  client_close (&client);
  assert_int_equal (fixture->testbed->call_count, 0);
  /* After the outage a call with the same key runs. */
  fixture->store.outage = false;
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  client_close (&client);
  assert_int_equal (fixture->testbed->script_calls, 1);
  finish_fixture (fixture);
}

/* The endpoint resets the connection: unknown, also for every repeat. */
static void
test_unknown_outcome (void **state)
{
  static const char *const scripts[] = { "N", "ok", NULL };
  struct fixture *fixture = start_fixture (scripts);
  struct client client;
  char key[UUID_SIZE];

  (void)state;
  uuid_generate (key);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 502);
  client_close (&client);
  WAIT_FOR (fixture->testbed, claimio_unwritten_count (&fixture->claimio) == 0);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 409);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  client_close (&client);
  assert_int_equal (fixture->testbed->script_calls, 1);
  finish_fixture (fixture);
}

/* Every host refuses: the record says not run, and its key may run later. */
static void
test_not_run (void **state)
{
  static const char *const scripts[] = { "leaving", "leaving", "ok", NULL };
  struct fixture *fixture = start_fixture (scripts);
  struct client client;
  char key[UUID_SIZE];

  (void)state;
  uuid_generate (key);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 503);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"not-run\""));
  client_close (&client);
  WAIT_FOR (fixture->testbed, claimio_unwritten_count (&fixture->claimio) == 0);
  fleet_find_host (&fixture->testbed->fleet, "e2")->refused_leaving = false;
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  client_close (&client);
  assert_int_equal (fixture->testbed->script_calls, 3);
  finish_fixture (fixture);
}

struct verdict
{
  size_t count;
  enum claim_verdict verdict;
  enum result result;
};

static void
record_verdict (void *context,
                struct gateway_claim *claim,
                enum claim_verdict verdict,
                enum result result,
                const struct claim_answer *answer)
{
  struct verdict *recorded = context;

  (void)claim;
  (void)answer;
  recorded->count++;
  recorded->verdict = verdict;
  recorded->result = result;
}

/*
 * Another entry host claims the same call while it runs: the claim must be
 * refused, never granted.
 */
static void
test_other_entry_host (void **state)
{
  static const char *const scripts[] = { "H", NULL };
  struct fixture *fixture = start_fixture (scripts);
  struct testbed *testbed = fixture->testbed;
  struct claimio other;
  struct verdict verdict = { 0 };
  struct gateway_claim_request claim_request
      = { .customer = "acme", .service = "app", .fingerprint = "x" };
  struct client client;
  char key[UUID_SIZE];
  char header[128];

  (void)state;
  uuid_generate (key);
  snprintf (header, sizeof header, "Idempotency-Key: %s\r\n", key);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", header, "{}");
  WAIT_FOR (testbed, testbed->script_calls == 1);
  claimio_init (&other, &fixture->platform, "entry-2", 2);
  claim_request.idempotency_key = key;
  claim_request.deadline_ms = time_boot_ms () + WAIT_LIMIT_MS;
  other.hooks.begin (&other, &claim_request, record_verdict, &verdict);
  WAIT_FOR (testbed, verdict.count > 0);
  assert_int_equal (verdict.count, 1);
  assert_int_equal (verdict.verdict, CLAIM_VERDICT_REFUSED);
  assert_true (verdict.result == RESULT_CLAIM_IN_PROGRESS
               || verdict.result == RESULT_IDEMPOTENCY_KEY_REUSED);
  claimio_finish (&other);
  call_send_response (testbed_script_call (testbed, 0), 201, "{}");
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 201);
  client_close (&client);
  finish_fixture (fixture);
}

/* The caller disconnects before the decision: a repeat may run the call. */
static void
test_abandoned (void **state)
{
  struct fixture *fixture = start_fixture (ok_script);
  struct testbed *testbed = fixture->testbed;
  struct client client;
  char key[UUID_SIZE];
  char header[128];

  (void)state;
  uuid_generate (key);
  snprintf (header, sizeof header, "Idempotency-Key: %s\r\n", key);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", BOOKINGS, "acme", header, "{}");
  WAIT_FOR (testbed, claimio_unwritten_count (&fixture->claimio) > 0
                         || testbed->script_calls > 0);
  client_close (&client);
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway)
                         && claimio_unwritten_count (&fixture->claimio) == 0);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  client_close (&client);
  assert_int_equal (testbed->script_calls, 1);
  finish_fixture (fixture);
}

/*
 * With a clock that differs from the platform's, a claim might go to the wrong
 * time bucket, so calls are refused.
 */
static void
test_clock_skew (void **state)
{
  struct fixture *fixture = start_fixture (ok_script);
  struct client client;
  char key[UUID_SIZE];

  (void)state;
  uuid_generate (key);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 201);
  client_close (&client);
  fixture->store.skew_s = 3600;
  uuid_generate (key);
  /* The platform's response in this call reveals the difference. */
  send_booking (fixture, &client, key, "{}");
  client_close (&client);
  uuid_generate (key);
  assert_int_equal (send_booking (fixture, &client, key, "{}"), 503);
  assert_non_null (strstr (client_text (&client), "CLOCK_SKEW"));
  client_close (&client);
  finish_fixture (fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_replay),
    cmocka_unit_test (test_idempotency_keys),
    cmocka_unit_test (test_lost_write_response),
    cmocka_unit_test (test_platform_outage),
    cmocka_unit_test (test_unknown_outcome),
    cmocka_unit_test (test_not_run),
    cmocka_unit_test (test_other_entry_host),
    cmocka_unit_test (test_abandoned),
    cmocka_unit_test (test_clock_skew),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
