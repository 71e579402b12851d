#include "harness.h"

#define VALID_BODY "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1}"
#define SECRET "secret-body-text"

struct request_case
{
  const char *name; /* what the case covers */
  const char *customer;
  const char *method;
  const char *path;
  const char *extra;
  const char *body;
  int status;
  const char *expected_texts[3]; /* in the reply */
};

#define COMPLETIONS "/v1/completions"

/* Requests that must be refused as not-run without reaching an endpoint. */
static const struct request_case cases[] = {
  { "unknown credential",
    "nobody",
    "POST",
    COMPLETIONS,
    "",
    VALID_BODY,
    401,
    { "\"name\":\"UNAUTHENTICATED\"", "WWW-Authenticate: Bearer" } },
  { "wrong data centre, with a body that is not JSON",
    "faraway",
    "POST",
    COMPLETIONS,
    "",
    SECRET "{{{",
    421,
    { "\"name\":\"WRONG_DATA_CENTRE\"",
      "\"data_centres\":[\"dc2\",\"dc3\"]" } },
  { "wrong data centre takes precedence over an unknown path",
    "faraway",
    "POST",
    "/v1/none",
    "",
    "",
    421,
    { "\"name\":\"WRONG_DATA_CENTRE\"" } },
  { "no permitted data centre",
    "nowhere",
    "POST",
    COMPLETIONS,
    "",
    VALID_BODY,
    403,
    { "\"name\":\"PLACE_UNKNOWN\"" } },
  { "unknown model",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"x\",\"prompt\":\"" SECRET "\"}",
    404,
    { "\"name\":\"UNKNOWN_TARGET\"" } },
  { "a model of other customers",
    "other",
    "POST",
    COMPLETIONS,
    "",
    VALID_BODY,
    403,
    { "\"name\":\"NOT_PERMITTED\"" } },
  { "unknown path",
    "acme",
    "POST",
    "/v1/none",
    "",
    VALID_BODY,
    404,
    { "\"name\":\"UNKNOWN_TARGET\"" } },
  { "unknown service",
    "acme",
    "GET",
    "/v1/services/none/x",
    "",
    "",
    404,
    { "\"name\":\"UNKNOWN_TARGET\"" } },
  { "not a POST",
    "acme",
    "GET",
    COMPLETIONS,
    "",
    "",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "no body",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "bad JSON",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    SECRET "{",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "bad UTF-8",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "not an object",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "[]",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "a duplicate member",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"m\",\"prompt\":\"a\",\"prompt\":\"b\"}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "no prompt",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"m\"}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "no messages",
    "acme",
    "POST",
    "/v1/chat/completions",
    "",
    "{\"model\":\"m\",\"messages\":[]}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "max_tokens of zero",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "max_tokens over the limit",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":99999999}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "stream is not a boolean",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "two Content-Length headers",
    "acme",
    "POST",
    COMPLETIONS,
    "Content-Length: 5\r\n",
    VALID_BODY,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"", "Connection: close" } },
  /* Read without the blank, the field would frame the body. */
  { "a blank before the colon of a field",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Tenant : other\r\n",
    VALID_BODY,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"", "Connection: close" } },
  { "a tab before the colon of a field",
    "acme",
    "POST",
    COMPLETIONS,
    "Transfer-Encoding\t: chunked\r\n",
    VALID_BODY,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"", "Connection: close" } },
  { "two credentials",
    "acme",
    "POST",
    COMPLETIONS,
    "Authorization: Bearer other\r\n",
    VALID_BODY,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "bad deadline",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Deadline-Ms: -5\r\n",
    VALID_BODY,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "bad priority",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Priority: urgent\r\n",
    VALID_BODY,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "request id that could break out of JSON",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Request-Id: a\"b\r\n",
    VALID_BODY,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "the caller's request id is returned",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Request-Id: mine-1\r\n",
    "{",
    400,
    { "\"request_id\":\"mine-1\"", "X-Request-Id: mine-1",
      "\"outcome\":\"not-run\"" } },
  { "a non-repeatable path by another spelling: //",
    "acme",
    "POST",
    "/v1/services/app//bookings",
    "",
    "{}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "a non-repeatable path by another spelling: ..",
    "acme",
    "POST",
    "/v1/services/app/x/../bookings",
    "",
    "{}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "a non-repeatable path by another spelling: %62",
    "acme",
    "POST",
    "/v1/services/app/%62ookings",
    "",
    "{}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "a call that may not be repeated, without hooks for claims",
    "acme",
    "POST",
    "/v1/services/app/bookings",
    "",
    "{}",
    503,
    { "\"name\":\"CLAIM_UNAVAILABLE\"", "Retry-After: 1" } },
};

static struct sheet_list no_places;

static struct testbed *
start_testbed (void)
{
  struct testbed *testbed = testbed_new ();

  testbed->scripts[0] = "0 D E";
  testbed->script_count = 1;
  testbed_start (testbed);
  return testbed;
}

/* Asserts that the gateway still serves requests. */
static void
assert_gateway_serves (struct testbed *testbed)
{
  struct client client;

  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", VALID_BODY);
  assert_non_null (strstr (client_wait (testbed, &client), "\"text\":\"w0 \""));
  client_close (&client);
}

static void
test_refusals (void **state)
{
  struct testbed *testbed = start_testbed ();
  struct client client;

  (void)state;
  add_customer (&testbed->customers[1], "faraway",
                testbed->customers[1].data_centres);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct request_case *test = &cases[i];
      bool nowhere = strcmp (test->customer, "nowhere") == 0;
      const char *text;

      print_message ("case: %s\n", test->name);
      if (nowhere)
        add_customer (&testbed->customers[2], "nowhere", no_places);
      testbed->log_used = 0;
      testbed->log[0] = '\0';
      client_open (testbed, &client, 0);
      client_send (&client, test->method, test->path, test->customer,
                   test->extra, test->body);
      client_wait (testbed, &client);
      assert_int_equal (client_status (&client), test->status);
      text = client_text (&client);
      assert_non_null (strstr (text, "\"outcome\":\"not-run\""));
      for (size_t j = 0; j < 3 && test->expected_texts[j] != NULL; j++)
        assert_non_null (strstr (text, test->expected_texts[j]));
      assert_int_equal (testbed_count_log (testbed, "event=request-end"), 1);
      assert_null (strstr (testbed->log, "secret"));
      client_close (&client);
      if (nowhere)
        add_customer (&testbed->customers[2], "other",
                      testbed->customers[0].data_centres);
    }
  assert_int_equal (testbed->call_count, 0);
  assert_gateway_serves (testbed);
  testbed_free (testbed);
}

/* A missing credential must not match an empty one. */
static void
test_no_credential (void **state)
{
  struct testbed *testbed = start_testbed ();
  struct client client;

  (void)state;
  client_open (testbed, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nConnection: close\r\n"
                       "Content-Length: 0\r\n\r\n",
                       COMPLETIONS);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 401);
  client_close (&client);
  testbed_free (testbed);
}

/*
 * Large or many headers and large bodies get one error reply.  Sizes beyond
 * evhttp's own limits get evhttp's reply, without the JSON body.
 */
static void
test_limits (void **state)
{
  struct testbed *testbed = start_testbed ();
  struct client client;
  char *body = malloc (3 << 20);
  char headers[65 * 8 + 1] = "";

  (void)state;
  memset (body, 'x', 3 << 20);
  body[(1 << 20) + 1] = '\0';
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", body);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 413);
  assert_non_null (strstr (client_text (&client), "BODY_TOO_LARGE"));
  client_close (&client);

  client_open (testbed, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nContent-Length: 99999999999\r\n"
                       "\r\n",
                       COMPLETIONS);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 413);
  client_close (&client);

  for (int i = 0; i < 65; i++)
    memcpy (headers + i * sizeof "X-A: b\r", "X-A: b\r\n", sizeof "X-A: b\r\n");
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", headers, VALID_BODY);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 400);
  assert_non_null (strstr (client_text (&client), "MALFORMED_REQUEST"));
  client_close (&client);

  memset (body, 'x', 32768);
  memcpy (body + 32768, ": x\r\n", sizeof ": x\r\n");
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", body, VALID_BODY);
  client_wait (testbed, &client);
  assert_true (client_status (&client) >= 400);
  client_close (&client);

  free (body);
  assert_int_equal (testbed->call_count, 0);
  assert_gateway_serves (testbed);
  testbed_free (testbed);
}

/*
 * Framing that two parsers may interpret differently must close the connection,
 * so that no part of a body is parsed as a request (request smuggling).
 */
static void
test_framing (void **state)
{
  static const char *const headers[] = {
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "Content-Length: -5\r\n",
    "Content-Length: 5x\r\n",
  };
  static const char *const bodies[] = {
    "0\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n",
    "GET /healthz HTTP/1.1\r\n\r\n",
  };
  struct testbed *testbed = start_testbed ();

  (void)state;
  for (size_t i = 0; i < 2 * sizeof headers / sizeof headers[0]; i++)
    {
      struct client client;

      print_message ("case: %s", headers[i / 2]);
      client_open (testbed, &client, 0);
      evbuffer_add_printf (bufferevent_get_output (client.bev),
                           "POST %s HTTP/1.1\r\nAuthorization: Bearer acme\r\n"
                           "%s\r\n%s",
                           COMPLETIONS, headers[i / 2], bodies[i % 2]);
      assert_null (strstr (client_wait (testbed, &client), "200 OK"));
      assert_int_equal (client_status (&client), 400);
      client_close (&client);
    }
  assert_gateway_serves (testbed);
  testbed_free (testbed);
}

/* A connection with a partial request must be closed when idle. */
static void
test_idle_caller (void **state)
{
  struct testbed *testbed = testbed_new ();
  struct client client;

  (void)state;
  testbed->limits.caller_idle_timeout_ms = 100;
  testbed->scripts[0] = "0 D E";
  testbed->script_count = 1;
  testbed_start (testbed);
  client_open (testbed, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nContent-Le", COMPLETIONS);
  client_wait (testbed, &client);
  client_close (&client);
  assert_gateway_serves (testbed);
  testbed_free (testbed);
}

/*
 * Two pipelined requests on one connection: evhttp's read callback would end
 * the process when the second arrives while the first runs.
 */
static void
test_pipelined (void **state)
{
  struct testbed *testbed = start_testbed ();
  struct client client;
  const char *text;

  (void)state;
  client_open (testbed, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nAuthorization: Bearer acme\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       COMPLETIONS, strlen (VALID_BODY), VALID_BODY);
  WAIT_FOR (testbed, testbed->call_count > 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", VALID_BODY);
  text = client_wait (testbed, &client);
  text = strstr (text, "\"text\":\"w0 \"");
  assert_non_null (text);
  assert_non_null (strstr (text + 1, "\"text\":\"w0 \""));
  client_close (&client);
  testbed_free (testbed);
}

static int
get_health_status (struct testbed *testbed)
{
  struct client client;
  int status;

  client_open (testbed, &client, 0);
  client_send (&client, "GET", "/healthz", "x", "", "");
  client_wait (testbed, &client);
  status = client_status (&client);
  client_close (&client);
  return status;
}

static void
test_phases (void **state)
{
  struct testbed *testbed = start_testbed ();
  struct client running;
  struct client refused;

  (void)state;
  testbed->scripts[0] = "0 H";
  assert_int_equal (get_health_status (testbed), 200);
  gateway_settle (&testbed->gateway);
  assert_int_equal (get_health_status (testbed), 503);
  /* Requests are still served while settling. */
  client_open (testbed, &running, 0);
  client_send (&running, "POST", COMPLETIONS, "acme", "",
               "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}");
  WAIT_FOR (testbed, strstr (client_text (&running), "w0 ") != NULL);
  gateway_drain (&testbed->gateway);
  assert_int_equal (get_health_status (testbed), 503);
  client_open (testbed, &refused, 0);
  client_send (&refused, "POST", COMPLETIONS, "acme", "", VALID_BODY);
  client_wait (testbed, &refused);
  assert_int_equal (client_status (&refused), 503);
  assert_non_null (strstr (client_text (&refused), "\"name\":\"DRAINING\""));
  client_close (&refused);
  /* A drain lets requests in flight complete (INV-7). */
  assert_false (gateway_is_empty (&testbed->gateway));
  call_send_event (testbed_script_call (testbed, 0), "[DONE]");
  assert_non_null (strstr (client_wait (testbed, &running), "data: [DONE]"));
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  client_close (&running);
  testbed_free (testbed);
}

/* Without a sheet all requests are refused and /healthz returns 503. */
static void
test_no_configuration (void **state)
{
  struct testbed *testbed = start_testbed ();
  struct client client;

  (void)state;
  gateway_set_sheet (&testbed->gateway, NULL);
  assert_int_equal (get_health_status (testbed), 503);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", VALID_BODY);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 503);
  assert_non_null (strstr (client_text (&client), "NO_CONFIGURATION"));
  client_close (&client);
  gateway_set_sheet (&testbed->gateway, &testbed->sheet);
  assert_gateway_serves (testbed);
  testbed_free (testbed);
}

/* While a host starts, all requests are refused and /healthz returns 503. */
static void
test_starting (void **state)
{
  struct testbed *testbed = start_testbed ();
  struct client client;

  (void)state;
  testbed->gateway.is_starting = true;
  assert_int_equal (get_health_status (testbed), 503);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", VALID_BODY);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 503);
  assert_non_null (strstr (client_text (&client), "\"name\":\"STARTING\""));
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"not-run\""));
  client_close (&client);
  testbed->gateway.is_starting = false;
  assert_gateway_serves (testbed);
  testbed_free (testbed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refusals),
    cmocka_unit_test (test_no_credential),
    cmocka_unit_test (test_limits),
    cmocka_unit_test (test_framing),
    cmocka_unit_test (test_idle_caller),
    cmocka_unit_test (test_pipelined),
    cmocka_unit_test (test_phases),
    cmocka_unit_test (test_no_configuration),
    cmocka_unit_test (test_starting),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
