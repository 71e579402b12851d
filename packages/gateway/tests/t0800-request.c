#include "harness.h"

#define GOOD "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1}"
#define SECRET "secret-body-text"

struct request_case
{
  const char *name; /* the failure that the case guards against */
  const char *customer;
  const char *method;
  const char *path;
  const char *extra;
  const char *body;
  int status;
  const char *answer[3];
};

#define COMPLETIONS "/v1/completions"

/* Nothing of these reaches an endpoint, and all say not-run. */
static const struct request_case cases[] = {
  { "unknown credential",
    "nobody",
    "POST",
    COMPLETIONS,
    "",
    GOOD,
    401,
    { "\"name\":\"UNAUTHENTICATED\"", "WWW-Authenticate: Bearer" } },
  { "wrong place, with a body that would not parse",
    "faraway",
    "POST",
    COMPLETIONS,
    "",
    SECRET "{{{",
    421,
    { "\"name\":\"WRONG_DATA_CENTRE\"",
      "\"data_centres\":[\"dc2\",\"dc3\"]" } },
  { "wrong place comes before an unknown path",
    "faraway",
    "POST",
    "/v1/none",
    "",
    "",
    421,
    { "\"name\":\"WRONG_DATA_CENTRE\"" } },
  { "no permitted place",
    "nowhere",
    "POST",
    COMPLETIONS,
    "",
    GOOD,
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
  { "model of others",
    "other",
    "POST",
    COMPLETIONS,
    "",
    GOOD,
    403,
    { "\"name\":\"NOT_PERMITTED\"" } },
  { "unknown path",
    "acme",
    "POST",
    "/v1/none",
    "",
    GOOD,
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
  { "a member twice",
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
  { "stream is no boolean",
    "acme",
    "POST",
    COMPLETIONS,
    "",
    "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}",
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "two lengths",
    "acme",
    "POST",
    COMPLETIONS,
    "Content-Length: 5\r\n",
    GOOD,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"", "Connection: close" } },
  { "two credentials",
    "acme",
    "POST",
    COMPLETIONS,
    "Authorization: Bearer other\r\n",
    GOOD,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "bad deadline",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Deadline-Ms: -5\r\n",
    GOOD,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "bad priority",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Priority: urgent\r\n",
    GOOD,
    400,
    { "\"name\":\"MALFORMED_REQUEST\"" } },
  { "request id that could break out of JSON",
    "acme",
    "POST",
    COMPLETIONS,
    "X-Request-Id: a\"b\r\n",
    GOOD,
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

static struct world *
start (void)
{
  struct world *world = world_new ();

  world->scripts[0] = "0 D E";
  world->script_count = 1;
  world_start (world);
  return world;
}

/* The gateway still serves. */
static void
check_serves (struct world *world)
{
  struct client client;

  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", GOOD);
  assert_non_null (strstr (client_wait (world, &client), "\"text\":\"w0 \""));
  client_close (&client);
}

static void
test_refusals (void **state)
{
  struct world *world = start ();
  struct client client;

  (void)state;
  add_customer (&world->customers[1], "faraway",
                world->customers[1].data_centres);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct request_case *test = &cases[i];
      bool nowhere = strcmp (test->customer, "nowhere") == 0;
      const char *text;

      print_message ("case: %s\n", test->name);
      if (nowhere)
        add_customer (&world->customers[2], "nowhere", no_places);
      world->log_used = 0;
      world->log[0] = '\0';
      client_open (world, &client, 0);
      client_send (&client, test->method, test->path, test->customer,
                   test->extra, test->body);
      client_wait (world, &client);
      assert_int_equal (client_status (&client), test->status);
      text = client_text (&client);
      assert_non_null (strstr (text, "\"outcome\":\"not-run\""));
      for (size_t j = 0; j < 3 && test->answer[j] != NULL; j++)
        assert_non_null (strstr (text, test->answer[j]));
      assert_int_equal (world_log_count (world, "event=request-end"), 1);
      assert_null (strstr (world->log, "secret"));
      client_close (&client);
      if (nowhere)
        add_customer (&world->customers[2], "other",
                      world->customers[0].data_centres);
    }
  assert_int_equal (world->call_count, 0);
  check_serves (world);
  world_free (world);
}

/* A credential that is not there must not match one that is empty. */
static void
test_no_credential (void **state)
{
  struct world *world = start ();
  struct client client;

  (void)state;
  client_open (world, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nConnection: close\r\n"
                       "Content-Length: 0\r\n\r\n",
                       COMPLETIONS);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 401);
  client_close (&client);
  world_free (world);
}

/*
 * Large or many headers and large bodies cost one error reply.  Sizes beyond
 * evhttp's own limits are answered by evhttp, without the JSON body.
 */
static void
test_limits (void **state)
{
  struct world *world = start ();
  struct client client;
  char *body = malloc (3 << 20);
  char headers[65 * 8 + 1] = "";

  (void)state;
  memset (body, 'x', 3 << 20);
  body[(1 << 20) + 1] = '\0';
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", body);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 413);
  assert_non_null (strstr (client_text (&client), "BODY_TOO_LARGE"));
  client_close (&client);

  client_open (world, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nContent-Length: 99999999999\r\n"
                       "\r\n",
                       COMPLETIONS);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 413);
  client_close (&client);

  for (int i = 0; i < 65; i++)
    memcpy (headers + i * sizeof "X-A: b\r", "X-A: b\r\n", sizeof "X-A: b\r\n");
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", headers, GOOD);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 400);
  assert_non_null (strstr (client_text (&client), "MALFORMED_REQUEST"));
  client_close (&client);

  memset (body, 'x', 32768);
  memcpy (body + 32768, ": x\r\n", sizeof ": x\r\n");
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", body, GOOD);
  client_wait (world, &client);
  assert_true (client_status (&client) >= 400);
  client_close (&client);

  free (body);
  assert_int_equal (world->call_count, 0);
  check_serves (world);
  world_free (world);
}

/*
 * Framing that two readers may understand differently must end the connection,
 * so that no part of a body is ever read as a request.
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
  struct world *world = start ();

  (void)state;
  for (size_t i = 0; i < sizeof headers / sizeof headers[0]; i++)
    {
      struct client client;

      print_message ("case: %s", headers[i]);
      client_open (world, &client, 0);
      evbuffer_add_printf (bufferevent_get_output (client.bev),
                           "POST %s HTTP/1.1\r\nAuthorization: Bearer acme\r\n"
                           "%s\r\n0\r\n\r\nGET /healthz HTTP/1.1\r\n\r\n",
                           COMPLETIONS, headers[i]);
      assert_null (strstr (client_wait (world, &client), "200 OK"));
      assert_int_equal (client_status (&client), 400);
      client_close (&client);
    }
  check_serves (world);
  world_free (world);
}

/* A caller that sends half a request must not hold its connection for ever. */
static void
test_idle_caller (void **state)
{
  struct world *world = world_new ();
  struct client client;

  (void)state;
  world->limits.idle_ms = 100;
  world->scripts[0] = "0 D E";
  world->script_count = 1;
  world_start (world);
  client_open (world, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nContent-Le", COMPLETIONS);
  client_wait (world, &client);
  client_close (&client);
  check_serves (world);
  world_free (world);
}

/*
 * Two requests sent together on one connection: evhttp's read callback would
 * end the process when the second arrives while the first runs.
 */
static void
test_pipelined (void **state)
{
  struct world *world = start ();
  struct client client;
  const char *text;

  (void)state;
  client_open (world, &client, 0);
  evbuffer_add_printf (bufferevent_get_output (client.bev),
                       "POST %s HTTP/1.1\r\nAuthorization: Bearer acme\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       COMPLETIONS, strlen (GOOD), GOOD);
  WAIT_FOR (world, world->call_count > 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", GOOD);
  text = client_wait (world, &client);
  text = strstr (text, "\"text\":\"w0 \"");
  assert_non_null (text);
  assert_non_null (strstr (text + 1, "\"text\":\"w0 \""));
  client_close (&client);
  world_free (world);
}

static int
health (struct world *world)
{
  struct client client;
  int status;

  client_open (world, &client, 0);
  client_send (&client, "GET", "/healthz", "x", "", "");
  client_wait (world, &client);
  status = client_status (&client);
  client_close (&client);
  return status;
}

static void
test_phases (void **state)
{
  struct world *world = start ();
  struct client running;
  struct client late;

  (void)state;
  world->scripts[0] = "0 H";
  assert_int_equal (health (world), 200);
  gateway_settle (&world->gateway);
  assert_int_equal (health (world), 503);
  /* Settling still serves. */
  client_open (world, &running, 0);
  client_send (&running, "POST", COMPLETIONS, "acme", "",
               "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}");
  WAIT_FOR (world, strstr (client_text (&running), "w0 ") != NULL);
  gateway_drain (&world->gateway);
  assert_int_equal (health (world), 503);
  client_open (world, &late, 0);
  client_send (&late, "POST", COMPLETIONS, "acme", "", GOOD);
  client_wait (world, &late);
  assert_int_equal (client_status (&late), 503);
  assert_non_null (strstr (client_text (&late), "\"name\":\"DRAINING\""));
  client_close (&late);
  /* A drain cuts off nothing in flight (INV-7). */
  assert_false (gateway_is_empty (&world->gateway));
  call_chunk (world_call (world, 0), "[DONE]");
  assert_non_null (strstr (client_wait (world, &running), "data: [DONE]"));
  WAIT_FOR (world, gateway_is_empty (&world->gateway));
  client_close (&running);
  world_free (world);
}

/* Without a sheet nothing is served, and /healthz says so. */
static void
test_no_configuration (void **state)
{
  struct world *world = start ();
  struct client client;

  (void)state;
  gateway_set_sheet (&world->gateway, NULL);
  assert_int_equal (health (world), 503);
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", GOOD);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 503);
  assert_non_null (strstr (client_text (&client), "NO_CONFIGURATION"));
  client_close (&client);
  gateway_set_sheet (&world->gateway, &world->sheet);
  check_serves (world);
  world_free (world);
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
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
