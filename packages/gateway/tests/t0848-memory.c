#include "harness.h"

#include <jansson.h>

/*
 * Guards against callers that make the process hold more memory or more
 * connections than it has, and against refusals of requests that ran.
 */

#define LIMIT_BYTES (8 << 20)
#define FULL_BYTES (LIMIT_BYTES / 2)
#define BODY_BYTES (512 << 10)
#define UPLOAD "/v1/services/app/items"
#define HEAD                                                                   \
  "POST " UPLOAD " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer acme\r\n"

static struct testbed *
start (void)
{
  struct testbed *testbed = testbed_new ();

  testbed->limits.memory_bytes = LIMIT_BYTES;
  testbed->limits.memory_tight_share = 0.25;
  testbed->limits.memory_full_share = 0.5;
  testbed->limits.body_bytes = BODY_BYTES;
  return testbed;
}

/* Charges the account, as other connections would. */
static void
hold (struct testbed *testbed, struct memory_charge *charge, size_t bytes)
{
  memory_account_set (&testbed->gateway.account, MEMORY_RESPONSES, charge,
                      bytes);
}

static void
send_text (struct client *client, const char *text)
{
  evbuffer_add (bufferevent_get_output (client->bev), text, strlen (text));
}

static void
send_filler (struct client *client, size_t size)
{
  char *bytes = malloc (size);

  assert_non_null (bytes);
  memset (bytes, 'b', size);
  evbuffer_add (bufferevent_get_output (client->bev), bytes, size);
  free (bytes);
}

static void
send_body_head (struct client *client, size_t size)
{
  evbuffer_add_printf (bufferevent_get_output (client->bev),
                       HEAD "Content-Length: %zu\r\n\r\n", size);
}

static void
wait_ms (struct testbed *testbed, int64_t ms)
{
  int64_t end_ms = time_boot_ms () + ms;

  WAIT_FOR (testbed, time_boot_ms () >= end_ms);
}

struct release_case
{
  const char *name;
  const char *text;
  size_t filler; /* bytes that follow the text */
  size_t least;  /* charged meanwhile, beyond an idle connection */
  const char *script;
  const char *reply; /* in the reply; NULL = none is awaited */
  const char *tail;  /* follows the filler, unless NULL */
};

static const struct release_case release_cases[] = {
  { "nothing sent", "", 0, 0, "ok", NULL },
  { "half a head", "POST / HTTP/1.1\r\nA: b\r\nC: ", 100, 100, "ok", NULL },
  /* Each field takes an entry, a name and a value. */
  { "many fields", "POST / HTTP/1.1\r\nA:\r\nB:\r\nC:\r\nD:\r\nE:\r\nF:\r\n", 0,
    700, "ok", NULL },
  { "half a body", HEAD "Content-Length: 100000\r\n\r\n", 60000, 60000, "ok",
    NULL },
  { "half a chunk", HEAD "Transfer-Encoding: chunked\r\n\r\n20000\r\n", 60000,
    60000, "ok", NULL },
  { "a whole chunk, which evhttp has taken",
    HEAD "Transfer-Encoding: chunked\r\n\r\nea60\r\n", 60000, 60000, "ok", NULL,
    "\r\n" },
  { "small chunks",
    HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n1\r\nb\r\n1\r\nb\r\n", 0,
    1, "ok", NULL },
  { "a chunk extension", HEAD "Transfer-Encoding: chunked\r\n\r\n1;a=", 60000,
    60000, "ok", NULL },
  { "an announced body over every limit",
    HEAD "Content-Length: 36893488147419103232\r\n\r\n", 10, 0, "ok", "413" },
  { "a refused request",
    "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 0, 0, "ok",
    "401" },
  { "an answered request", HEAD "Content-Length: 2\r\n\r\n{}", 0, 0, "ok",
    "201" },
  { "half a body behind an answered request",
    HEAD "Content-Length: 2\r\n\r\n{}" HEAD "Content-Length: 100000\r\n\r\n",
    60000, 60000, "ok", "201" },
  { "half a body behind a health check",
    "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" HEAD
    "Content-Length: 100000\r\n\r\n",
    60000, 60000, "ok", "200" },
  { "a running request", HEAD "Content-Length: 2\r\n\r\n{}", 0, 1, "H", NULL },
  { "input behind a running request", HEAD "Content-Length: 2\r\n\r\n{}", 30000,
    30000, "H", NULL },
};

/*
 * Each byte is charged while it is held, and released once: charges that stay
 * would refuse callers for ever, charges released twice would let them through.
 */
static void
test_charges_are_released (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof release_cases / sizeof release_cases[0]; i++)
    {
      const struct release_case *row = &release_cases[i];
      struct testbed *testbed = start ();
      struct memory_account *account = &testbed->gateway.account;
      struct client client;
      size_t idle;

      print_message ("case: %s\n", row->name);
      testbed->scripts[0] = row->script;
      testbed->script_count = 1;
      testbed_start (testbed);
      assert_int_equal (account->total, 0);
      client_open (testbed, &client, 0);
      WAIT_FOR (testbed, testbed->gateway.caller_count == 1);
      idle = account->total;
      assert_true (idle > 0);
      send_text (&client, row->text);
      if (row->filler > 0)
        send_filler (&client, row->filler);
      if (row->tail != NULL)
        send_text (&client, row->tail);
      if (row->reply != NULL)
        WAIT_FOR (testbed, strstr (client_text (&client), row->reply) != NULL);
      if (row->least > 0)
        WAIT_FOR (testbed, account->total >= idle + row->least);
      wait_ms (testbed, 50);
      assert_true (row->least == 0 || account->total >= idle + row->least);
      client_close (&client);
      testbed_close_endpoint (testbed, 2);
      testbed_close_endpoint (testbed, 3);
      WAIT_FOR (testbed, testbed->gateway.caller_count == 0
                             && testbed->gateway.request_count == 0);
      WAIT_FOR (testbed, account->total == 0);
      for (int kind = 0; kind < MEMORY_KINDS; kind++)
        assert_int_equal (account->held[kind], 0);
      testbed_free (testbed);
    }
}

/* A body that cannot be admitted is not read, and is served once it can be. */
static void
test_body_waits_and_is_served (void **state)
{
  struct testbed *testbed = start ();
  struct memory_charge others = { 0 };
  struct client client;

  (void)state;
  testbed->scripts[0] = "ok";
  testbed->script_count = 1;
  testbed_start (testbed);
  hold (testbed, &others, FULL_BYTES - (128 << 10));
  client_open (testbed, &client, 0);
  send_body_head (&client, BODY_BYTES);
  send_filler (&client, BODY_BYTES);
  WAIT_FOR (testbed, testbed->gateway.account.held[MEMORY_BODIES]
                         > MEMORY_SMALL_BYTES / 2);
  wait_ms (testbed, 200);
  assert_true (testbed->gateway.account.held[MEMORY_BODIES] < BODY_BYTES / 2);
  assert_true (testbed->gateway.account.total < FULL_BYTES);
  assert_int_equal (testbed->call_count, 0);
  hold (testbed, &others, 0);
  WAIT_FOR (testbed, client_status (&client) != 0);
  assert_int_equal (client_status (&client), 201);
  client_close (&client);
  testbed_free (testbed);
}

/* A body that waits for too long is refused, and the refusal is true. */
static void
test_waiting_body_is_refused (void **state)
{
  struct testbed *testbed = start ();
  struct memory_charge others = { 0 };
  struct client client;
  const char *text;
  const char *body;
  const char *length;
  json_t *json;

  (void)state;
  testbed_start (testbed);
  hold (testbed, &others, FULL_BYTES - (128 << 10));
  client_open (testbed, &client, 0);
  send_body_head (&client, BODY_BYTES);
  /* All of it is read, so that the close does not discard the refusal. */
  send_filler (&client, MEMORY_SMALL_BYTES);
  client_wait (testbed, &client);
  hold (testbed, &others, 0);
  assert_int_equal (client_status (&client), 503);
  text = client_text (&client);
  body = strstr (text, "\r\n\r\n");
  length = strstr (text, "Content-Length: ");
  assert_non_null (body);
  assert_non_null (length);
  assert_int_equal (strtoul (length + strlen ("Content-Length: "), NULL, 10),
                    strlen (body + 4));
  json = json_loads (body + 4, 0, NULL);
  assert_string_equal (json_string_value (json_object_get (
                           json_object_get (json, "error"), "outcome")),
                       "not-run");
  json_decref (json);
  assert_int_equal (testbed->call_count, 0);
  client_close (&client);
  testbed_free (testbed);
}

/* Large bodies of others do not hinder a small request. */
static void
test_small_request_is_served_when_tight (void **state)
{
  struct testbed *testbed = start ();
  struct memory_charge others = { 0 };
  struct client clients[2];

  (void)state;
  testbed->scripts[0] = "ok";
  testbed->script_count = 1;
  testbed_start (testbed);
  hold (testbed, &others, FULL_BYTES - (128 << 10));
  client_open (testbed, &clients[0], 0);
  client_send (&clients[0], "POST", UPLOAD, "acme", "", "{}");
  client_open (testbed, &clients[1], 0);
  send_text (&clients[1], HEAD "Transfer-Encoding: chunked\r\n\r\n"
                               "2\r\n{}\r\n0\r\n\r\n");
  for (int i = 0; i < 2; i++)
    {
      WAIT_FOR (testbed, client_status (&clients[i]) != 0);
      assert_int_equal (client_status (&clients[i]), 201);
      client_close (&clients[i]);
    }
  hold (testbed, &others, 0);
  testbed_free (testbed);
}

/*
 * Above the second watermark an unfinished body is ended, and a request that no
 * endpoint has; one that an endpoint runs is answered.
 */
static void
test_order_of_ending (void **state)
{
  struct testbed *testbed = start ();
  struct memory_charge others = { 0 };
  struct client running;
  struct client whole;
  struct client unfinished;

  (void)state;
  testbed->scripts[0] = "H";
  testbed->script_count = 1;
  testbed_start (testbed);
  admission_set_slots (&testbed->admission, "service/app", 1);
  client_open (testbed, &running, 0);
  client_send (&running, "POST", UPLOAD, "acme", "", "{}");
  WAIT_FOR (testbed, testbed->script_calls == 1);
  client_open (testbed, &whole, 0);
  client_send (&whole, "POST", UPLOAD, "acme", "", "{}");
  WAIT_FOR (testbed, testbed->gateway.request_count == 2);
  client_open (testbed, &unfinished, 0);
  send_body_head (&unfinished, 100000);
  send_filler (&unfinished, 60000);
  WAIT_FOR (testbed, testbed->gateway.account.held[MEMORY_BODIES] > 60000);

  /* Ending the unfinished body is enough. */
  hold (testbed, &others, FULL_BYTES - testbed->gateway.account.total + 10);
  WAIT_FOR (testbed, unfinished.closed);
  assert_int_equal (testbed->gateway.request_count, 2);
  assert_int_equal (client_status (&whole), 0);

  hold (testbed, &others, FULL_BYTES + 1);
  WAIT_FOR (testbed, client_status (&whole) != 0);
  assert_int_equal (client_status (&whole), 503);
  assert_non_null (strstr (client_text (&whole), "\"name\":\"NO_MEMORY\""));
  assert_non_null (strstr (client_text (&whole), "\"outcome\":\"not-run\""));
  wait_ms (testbed, 200);
  assert_int_equal (testbed->script_calls, 1);
  assert_int_equal (testbed->gateway.request_count, 1);

  hold (testbed, &others, 0);
  call_send_response (testbed_script_call (testbed, 0), 201, "{}");
  WAIT_FOR (testbed, client_status (&running) != 0);
  assert_int_equal (client_status (&running), 201);
  assert_int_not_equal (testbed_count_log (testbed, "event=memory-level"), 0);
  assert_int_not_equal (testbed_count_log (testbed, "event=callers-ended"), 0);
  client_close (&running);
  client_close (&whole);
  client_close (&unfinished);
  testbed_free (testbed);
}

/* evhttp collects a line that never ends; the connection is ended. */
static void
test_endless_chunk_extension_is_cut (void **state)
{
  struct testbed *testbed = start ();
  size_t limit;
  struct client client;

  (void)state;
  testbed->limits.body_bytes = 65536;
  testbed_start (testbed);
  limit = testbed->limits.header_bytes + 4 * testbed->limits.body_bytes;
  client_open (testbed, &client, 0);
  send_text (&client, HEAD "Transfer-Encoding: chunked\r\n\r\n1;a=");
  send_filler (&client, 4 * limit);
  WAIT_FOR (testbed, client.closed);
  assert_true (testbed->gateway.account.peak < limit);
  client_close (&client);
  testbed_free (testbed);
}

/*
 * evhttp makes 400 KB of a head of legal size with short fields, in one pass of
 * the event loop; a crowd of such heads would pass every watermark at once.
 */
static void
test_short_fields_are_not_read (void **state)
{
  struct testbed *testbed = start ();
  struct client client;

  (void)state;
  testbed_start (testbed);
  client_open (testbed, &client, 0);
  send_text (&client, HEAD);
  for (int i = 0; i < 3900; i++)
    send_text (&client, "a:\r\n");
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 400);
  assert_non_null (
      strstr (client_text (&client), "\"name\":\"MALFORMED_REQUEST\""));
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"not-run\""));
  assert_true (testbed->gateway.account.peak < 65536);
  assert_int_equal (testbed->gateway.caller_count, 0);
  client_close (&client);
  testbed_free (testbed);
}

/*
 * evhttp keeps a whole chain of its input for a byte of a chunk that arrives
 * alone, so that 1 MiB of such chunks would hold 1 GiB.
 */
static void
test_chunks_that_arrive_in_pieces_are_charged (void **state)
{
  struct testbed *testbed = start ();
  struct client client;
  size_t before;

  (void)state;
  testbed_start (testbed);
  client_open (testbed, &client, 0);
  send_text (&client, HEAD "Transfer-Encoding: chunked\r\n\r\n");
  WAIT_FOR (testbed, testbed->gateway.account.held[MEMORY_BODIES] > 0);
  before = testbed->gateway.account.held[MEMORY_BODIES];
  for (int i = 0; i < 50; i++)
    {
      size_t held = testbed->gateway.account.held[MEMORY_BODIES];

      send_text (&client, "1\r\nb");
      WAIT_FOR (testbed, testbed->gateway.account.held[MEMORY_BODIES] > held);
      held = testbed->gateway.account.held[MEMORY_BODIES];
      send_text (&client, "\r\n");
      WAIT_FOR (testbed, testbed->gateway.account.held[MEMORY_BODIES] > held);
    }
  assert_true (testbed->gateway.account.held[MEMORY_BODIES] - before
               >= (size_t)50 * 1024);
  client_close (&client);
  testbed_free (testbed);
}

/* Above the second watermark, an answer that nobody reads is given up. */
static void
test_unread_answer_is_ended (void **state)
{
  enum
  {
    ANSWER_BYTES = 2 << 20
  };
  struct testbed *testbed = start ();
  struct memory_account *account = &testbed->gateway.account;
  struct memory_charge others = { 0 };
  char *answer = malloc (ANSWER_BYTES + 1);
  struct client client;

  (void)state;
  assert_non_null (answer);
  memset (answer, 'a', ANSWER_BYTES);
  answer[ANSWER_BYTES] = '\0';
  testbed->scripts[0] = "H";
  testbed->script_count = 1;
  testbed_start (testbed);
  client_open (testbed, &client, 4096);
  client_send (&client, "POST", UPLOAD, "acme", "", "{}");
  WAIT_FOR (testbed, testbed->script_calls == 1);
  bufferevent_disable (client.bev, EV_READ);
  call_send_response (testbed_script_call (testbed, 0), 201, answer);
  WAIT_FOR (testbed, account->held[MEMORY_TO_CLIENTS] > ANSWER_BYTES / 2
                         && testbed->gateway.request_count == 0);
  wait_ms (testbed, MEMORY_STALL_MS + 200);
  assert_int_equal (testbed->gateway.caller_count, 1);
  hold (testbed, &others, FULL_BYTES);
  WAIT_FOR (testbed, testbed->gateway.caller_count == 0);
  assert_int_equal (account->held[MEMORY_TO_CLIENTS], 0);
  hold (testbed, &others, 0);
  client_close (&client);
  free (answer);
  testbed_free (testbed);
}

/* Connections that send nothing take no place from those that do. */
static void
test_silent_connections_are_closed (void **state)
{
  struct testbed *testbed = start ();
  struct client silent[20];
  struct client kept;
  struct client client;

  (void)state;
  testbed->limits.max_connections = 8;
  testbed->scripts[0] = "H";
  testbed->script_count = 1;
  testbed_start (testbed);
  client_open (testbed, &kept, 0);
  client_send (&kept, "POST", UPLOAD, "acme", "", "{}");
  WAIT_FOR (testbed, testbed->script_calls == 1);
  for (int i = 0; i < 20; i++)
    client_open (testbed, &silent[i], 0);
  wait_ms (testbed, 200);
  assert_true (testbed->gateway.caller_count <= 8);
  client_open (testbed, &client, 0);
  send_text (&client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  WAIT_FOR (testbed, client_status (&client) != 0);
  assert_int_equal (client_status (&client), 200);
  call_send_response (testbed_script_call (testbed, 0), 201, "{}");
  WAIT_FOR (testbed, client_status (&kept) != 0);
  assert_int_equal (client_status (&kept), 201);
  for (int i = 0; i < 20; i++)
    client_close (&silent[i]);
  client_close (&client);
  client_close (&kept);
  testbed_free (testbed);
}

/* A limit of connections that all run requests is kept without ending one. */
static void
test_running_requests_keep_their_connections (void **state)
{
  struct testbed *testbed = start ();
  struct client clients[4];

  (void)state;
  testbed->limits.max_connections = 2;
  testbed->scripts[0] = "H";
  testbed->script_count = 1;
  testbed_start (testbed);
  for (int i = 0; i < 4; i++)
    {
      client_open (testbed, &clients[i], 0);
      client_send (&clients[i], "POST", UPLOAD, "acme", "", "{}");
      if (i < 2)
        WAIT_FOR (testbed, testbed->script_calls == (size_t)i + 1);
    }
  wait_ms (testbed, 200);
  assert_int_equal (testbed->gateway.request_count, 2);
  /* The others are accepted once these are answered. */
  for (size_t i = 0; i < 4; i++)
    {
      WAIT_FOR (testbed, testbed->script_calls > i);
      call_send_response (testbed_script_call (testbed, i), 201, "{}");
    }
  for (int i = 0; i < 4; i++)
    {
      WAIT_FOR (testbed, client_status (&clients[i]) != 0);
      assert_int_equal (client_status (&clients[i]), 201);
      client_close (&clients[i]);
    }
  testbed_free (testbed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_charges_are_released),
    cmocka_unit_test (test_body_waits_and_is_served),
    cmocka_unit_test (test_waiting_body_is_refused),
    cmocka_unit_test (test_small_request_is_served_when_tight),
    cmocka_unit_test (test_order_of_ending),
    cmocka_unit_test (test_endless_chunk_extension_is_cut),
    cmocka_unit_test (test_short_fields_are_not_read),
    cmocka_unit_test (test_chunks_that_arrive_in_pieces_are_charged),
    cmocka_unit_test (test_unread_answer_is_ended),
    cmocka_unit_test (test_silent_connections_are_closed),
    cmocka_unit_test (test_running_requests_keep_their_connections),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
