#include "harness.h"

#include "../src/internal.h"

#include <netinet/tcp.h>

#define COMPLETIONS "/v1/completions"
#define STREAMED_BODY                                                          \
  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":30000,\"stream\":true}"
#define UNSTREAMED_BODY "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4}"

static struct testbed *
start_testbed (struct testbed *testbed, const char *first, const char *second)
{
  testbed->scripts[testbed->script_count++] = first;
  if (second != NULL)
    testbed->scripts[testbed->script_count++] = second;
  testbed_start (testbed);
  return testbed;
}

#define FLOOD_BODY                                                             \
  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1000000000,"               \
  "\"stream\":true}"

/*
 * If the caller does not read, the gateway must pause reading from the endpoint
 * instead of buffering the whole stream, and resume when the caller reads.
 */
static void
test_backpressure (void **state)
{
  struct testbed *testbed = testbed_new ();
  struct client client;
  struct gateway_request *request;
  uint64_t last_index = 0;
  size_t max_pending = 0;
  int idle_loops = 0;

  (void)state;
  testbed->limits.max_tokens = 1000000000;
  start_testbed (testbed, "flood", NULL);
  client_open (testbed, &client, 4096);
  bufferevent_disable (client.bev, EV_READ);
  client_send (&client, "POST", COMPLETIONS, "acme", "", FLOOD_BODY);
  WAIT_FOR (testbed, testbed->flood_token_count > 0);
  request = TAILQ_FIRST (&testbed->gateway.requests);
  /* 100 loops without a new token mean that every buffer is full. */
  wait_start (testbed);
  while (idle_loops < 100)
    {
      wait_step (testbed);
      idle_loops = request->next_index == last_index ? idle_loops + 1 : 0;
      last_index = request->next_index;
      if (last_index > 0 && generate_pending_bytes (request) > max_pending)
        max_pending = generate_pending_bytes (request);
    }
  assert_true (request->attempt->call->paused);
  assert_in_range (max_pending, 1, testbed->limits.stream_buffer_bytes);
  bufferevent_enable (client.bev, EV_READ);
  WAIT_FOR (testbed, request->next_index > last_index + 10000);
  client_close (&client);
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  testbed_free (testbed);
}

/* A caller that reads nothing is disconnected, and the engine cancels. */
static void
test_slow_caller (void **state)
{
  struct testbed *testbed = testbed_new ();
  struct client client;

  (void)state;
  testbed->limits.slow_caller_timeout_ms = 200;
  testbed->limits.max_tokens = 1000000000;
  start_testbed (testbed, "flood", NULL);
  client_open (testbed, &client, 4096);
  bufferevent_disable (client.bev, EV_READ);
  client_send (&client, "POST", COMPLETIONS, "acme", "", FLOOD_BODY);
  WAIT_FOR (testbed, testbed->cancels == 1);
  WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
  assert_non_null (strstr (testbed->log, "code=3024 outcome=unknown"));
  assert_int_equal (testbed_count_log (testbed, "event=request-end"), 1);
  client_close (&client);
  testbed_free (testbed);
}

struct disconnect_case
{
  const char *name;
  const char *body;
  const char *script;
};

static const struct disconnect_case disconnect_cases[] = {
  { "before the reply starts", UNSTREAMED_BODY, "H" },
  { "in the middle of a stream", STREAMED_BODY, "0 1 H" },
  { "unstreamed, after tokens", UNSTREAMED_BODY, "0 1 H" },
};

/* After the caller disconnects, the engine must stop generating. */
static void
test_caller_disconnects (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof disconnect_cases / sizeof disconnect_cases[0];
       i++)
    {
      struct testbed *testbed
          = start_testbed (testbed_new (), disconnect_cases[i].script, NULL);
      struct client client;

      print_message ("case: %s\n", disconnect_cases[i].name);
      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "",
                   disconnect_cases[i].body);
      WAIT_FOR (testbed, testbed->script_calls == 1);
      if (i == 1)
        WAIT_FOR (testbed, strstr (client_text (&client), "w1 ") != NULL);
      client_close (&client);
      /* The gateway must both close the connection and send /v1/cancel. */
      WAIT_FOR (testbed, testbed_script_call (testbed, 0)->closed
                             && testbed->cancels == 1);
      WAIT_FOR (testbed, gateway_is_empty (&testbed->gateway));
      assert_non_null (strstr (testbed->log, "code=3023"));
      assert_int_equal (testbed_count_log (testbed, "event=request-end"), 1);
      assert_int_equal (testbed->gateway.tables.admission->queued, 0);
      testbed_free (testbed);
    }
}

static int
get_tcp_nodelay (int fd)
{
  int value = 0;
  socklen_t size = sizeof value;

  getsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &value, &size);
  return value;
}

/* Nagle's algorithm would delay tokens until an ACK, up to 40 ms each. */
static void
test_tcp_nodelay (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "0 1 H", NULL);
  struct client client;
  struct gateway_request *request;

  (void)state;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAMED_BODY);
  WAIT_FOR (testbed, strstr (client_text (&client), "w1 ") != NULL);
  request = TAILQ_FIRST (&testbed->gateway.requests);
  assert_int_equal (
      get_tcp_nodelay (bufferevent_getfd (evhttp_connection_get_bufferevent (
          evhttp_request_get_connection (request->http)))),
      1);
  assert_int_equal (
      get_tcp_nodelay (request->attempt->call->connection->http.fd), 1);
  client_close (&client);
  testbed_free (testbed);
}

/*
 * A connection is reused only if the previous response was read to its end, so
 * that a late part of it can never reach another request (INV-3).
 */
static void
test_connection_reuse (void **state)
{
  static const size_t accepted_after[] = { 1, 1, 2, 2 };
  struct testbed *testbed = start_testbed (testbed_new (), "0 D E", "0 D H");

  (void)state;
  testbed->scripts[testbed->script_count++] = "0 D E";
  for (size_t i = 0; i < 4; i++)
    {
      struct client client;

      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", UNSTREAMED_BODY);
      client_wait (testbed, &client);
      assert_int_equal (client_status (&client), 200);
      assert_int_equal (testbed->accepted, accepted_after[i]);
      client_close (&client);
    }
  /* The connection with the unfinished response is closed after a timeout. */
  WAIT_FOR (testbed, testbed_script_call (testbed, 1)->closed);
  testbed_free (testbed);
}

/*
 * An attempt at a faulty endpoint must fail in time, whatever else the endpoint
 * sends, and the caller gets the response from another endpoint.
 */
static const struct
{
  const char *guards; /* the failure that the case guards against */
  const char *first;  /* script of the first call */
  const char *second; /* script of the second call */
} endpoint_faults[] = {
  { "comments count as progress", "0 1 drip", "2 3 D E" },
  { "an endless error response is read on", "error endless", "0 1 2 3 D E" },
  { "an endless line is buffered", "0 1 endless", "2 3 D E" },
};

static void
test_faulty_endpoint (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof endpoint_faults / sizeof endpoint_faults[0];
       i++)
    {
      struct testbed *testbed = testbed_new ();
      struct client client;

      testbed->limits.stall_timeout_ms = 200;
      start_testbed (testbed, endpoint_faults[i].first,
                     endpoint_faults[i].second);
      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", UNSTREAMED_BODY);
      client_wait (testbed, &client);
      if (client_status (&client) != 200
          || strstr (client_text (&client), "w0 w1 w2 w3 ") == NULL)
        fail_msg ("%s: %s", endpoint_faults[i].guards, client_text (&client));
      assert_int_equal (testbed->script_calls, 2);
      client_close (&client);
      testbed_free (testbed);
    }
}

/*
 * Guards against the next endpoint's answer in the middle of a stream that has
 * begun and broken off, and against an end of the stream that is none.
 */
static const struct
{
  const char *name;
  const char *script; /* of the next endpoint */
  bool is_final;      /* the stream ends with an error, whatever is left */
} wrong_answers[] = {
  { "500", "500", false },
  { "500 in chunks", "error E", false },
  { "500 that breaks off", "error R", false },
  { "503", "503", false },
  { "503 of a leaving endpoint", "leaving", false },
  { "429", "429", false },
  { "409", "409", false },
  { "404", "404", false },
  { "201", "ok", false },
  { "201 up to the end", "open F", false },
  { "200 of another type", "html", false },
  { "200 of another request", "stale", false },
  { "200 that is encoded", "zip text E", false },
  { "200 with an error event", "event E", false },
  { "200 with a token after an error event", "event 2 3 D E", false },
  { "200 with a text", "text E", false },
  { "200 with no event", "E", false },
  { "200 with no event up to the end", "U F", false },
  { "200 with half an event up to the end", "U half F", false },
  { "200 with an event that is no token", "bad E", false },
  { "200 that breaks off", "2 R", false },
  { "200 that leaves out a token", "3 D E", true },
  { "no answer", "N", false },
};

static void
run_wrong_answer (size_t index, bool can_resume_again)
{
  const char *name = wrong_answers[index].name;
  const char *rest
      = strcmp (wrong_answers[index].script, "2 R") == 0 ? "3 D E" : "2 3 D E";
  bool is_whole = can_resume_again && !wrong_answers[index].is_final;
  struct testbed *testbed = testbed_new ();
  struct client client;
  const char *text;
  size_t tokens = 0;

  testbed->limits.attempts = can_resume_again ? 3 : 2;
  testbed->limits.first_retry_delay_ms = 1;
  /* A second reset would quarantine the request, which ends the stream. */
  testbed->scripts[testbed->script_count++]
      = can_resume_again ? "0 1 E" : "0 1 R";
  start_testbed (testbed, wrong_answers[index].script, rest);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAMED_BODY);
  text = client_wait (testbed, &client);
  if ((strstr (text, "data: [DONE]") != NULL) != is_whole
      || (strstr (text, "event: error") != NULL) == is_whole)
    fail_msg ("%s, %d: %s", name, can_resume_again, text);
  if (strstr (text, "oops") != NULL || strstr (text, "stale") != NULL
      || strstr (text, "serial") != NULL || strstr (text, "\"x\"") != NULL)
    fail_msg ("%s is in the stream: %s", name, text);
  for (const char *at = text; (at = strstr (at, "\"w")) != NULL; at += 2)
    if (strtoul (at + 2, NULL, 10) != tokens++)
      fail_msg ("%s: %s", name, text);
  assert_true (is_whole ? tokens == 4 : tokens >= 2);
  client_close (&client);
  testbed_free (testbed);
}

static void
test_wrong_answers (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof wrong_answers / sizeof wrong_answers[0]; i++)
    {
      run_wrong_answer (i, true);
      run_wrong_answer (i, false);
    }
}

/*
 * A late response to an earlier request arrives on a reused connection: it must
 * not reach the caller, and the request is retried.
 */
static void
test_stale_response (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "0 D E", "stale");

  (void)state;
  testbed->scripts[testbed->script_count++] = "0 D E";
  for (size_t i = 0; i < 2; i++)
    {
      struct client client;

      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", UNSTREAMED_BODY);
      client_wait (testbed, &client);
      assert_int_equal (client_status (&client), 200);
      assert_null (strstr (client_text (&client), "stale"));
      assert_non_null (strstr (client_text (&client), "w0 "));
      client_close (&client);
    }
  assert_int_equal (testbed->script_calls, 3);
  testbed_free (testbed);
}

/*
 * Guards against an earlier refusal, written once more on a kept connection,
 * that counts as the answer to the next request: "not run" would be untrue.
 */
static const struct
{
  const char *name;
  const char *first;  /* script of the first call */
  int first_status;   /* at its caller */
  const char *second; /* script of the second call */
} repeated_refusals[] = {
  { "429", "429", 503, "again 0 1 2 3 D E" },
  { "409", "409", 503, "again 0 1 2 3 D E" },
  { "503 of a leaving endpoint", "leaving", 503, "again 0 1 2 3 D E" },
  { "after the response", "0 1 2 3 D E extra", 200, "0 1 2 3 D E" },
};

static void
test_repeated_refusal (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof repeated_refusals / sizeof repeated_refusals[0];
       i++)
    {
      struct testbed *testbed = testbed_new ();

      testbed->limits.attempts = 1;
      start_testbed (testbed, repeated_refusals[i].first,
                     repeated_refusals[i].second);
      for (size_t n = 0; n < 2; n++)
        {
          int status = n == 0 ? repeated_refusals[i].first_status : 200;
          struct client client;

          client_open (testbed, &client, 0);
          client_send (&client, "POST", COMPLETIONS, "acme", "",
                       UNSTREAMED_BODY);
          client_wait (testbed, &client);
          if (client_status (&client) != status)
            fail_msg ("%s, request %zu: %s", repeated_refusals[i].name, n,
                      client_text (&client));
          client_close (&client);
        }
      assert_int_equal (testbed->script_calls, 2);
      assert_int_equal (testbed->accepted, 2);
      testbed_free (testbed);
    }
}

/*
 * The response of a cancelled call may still arrive, so its connection must be
 * closed, not reused.
 */
static void
test_no_reuse_after_cancel (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "0 1 H", "0 D E");
  struct client client;

  (void)state;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAMED_BODY);
  WAIT_FOR (testbed, strstr (client_text (&client), "w1 ") != NULL);
  client_close (&client);
  WAIT_FOR (testbed,
            gateway_is_empty (&testbed->gateway) && testbed->cancels == 1);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAMED_BODY);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 200);
  assert_true (testbed_script_call (testbed, 0)->closed);
  client_close (&client);
  testbed_free (testbed);
}

/*
 * The sheet withdraws the data centre from the customer while the request waits
 * for its retry, which must be refused.
 */
static void
test_place_checked_on_retry (void **state)
{
  struct testbed *testbed = testbed_new ();
  struct client client;

  (void)state;
  testbed->limits.first_retry_delay_ms = 100000;
  testbed->limits.max_retry_delay_ms = 100000;
  start_testbed (testbed, "0 1 E", "2 3 D E");
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAMED_BODY);
  WAIT_FOR (testbed, strstr (client_text (&client), "w1 ") != NULL);
  WAIT_FOR (testbed, testbed_script_call (testbed, 0)->closed);
  testbed->customers[0].data_centres = testbed->customers[1].data_centres;
  /* Dispatches the retry now, as its timer would. */
  request_dispatch (TAILQ_FIRST (&testbed->gateway.requests));
  assert_non_null (strstr (client_wait (testbed, &client), "event: error"));
  assert_non_null (strstr (client_text (&client), "WRONG_DATA_CENTRE"));
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  assert_null (strstr (client_text (&client), "[DONE]"));
  assert_int_equal (testbed->script_calls, 1);
  client_close (&client);
  testbed_free (testbed);
}

struct deadline_case
{
  const char *name;
  const char *body;
  const char *script;
  const char *expected_text; /* in the reply */
  const char *log;           /* text that the log must contain */
};

static const struct deadline_case deadline_cases[] = {
  { "unstreamed", UNSTREAMED_BODY, "0 1 H", "HTTP/1.1 504",
    "code=3015 outcome=unknown" },
  { "streamed", STREAMED_BODY, "0 1 H", "event: error",
    "code=3015 outcome=unknown" },
};

/* At the deadline the caller gets an error and the engine must cancel. */
static void
test_deadline (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof deadline_cases / sizeof deadline_cases[0]; i++)
    {
      const struct deadline_case *test = &deadline_cases[i];
      struct testbed *testbed
          = start_testbed (testbed_new (), test->script, NULL);
      struct client client;
      const char *text;

      print_message ("case: %s\n", test->name);
      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme",
                   "X-Deadline-Ms: 300\r\n", test->body);
      text = client_wait (testbed, &client);
      assert_non_null (strstr (text, test->expected_text));
      assert_null (strstr (text, "[DONE]"));
      WAIT_FOR (testbed, testbed->cancels == 1);
      assert_non_null (strstr (testbed->log, test->log));
      /* The endpoint receives the remaining time. */
      text = strstr (testbed_script_call (testbed, 0)->text, "X-Deadline-Ms: ");
      assert_non_null (text);
      assert_in_range (atoi (text + 15), 1, 300);
      client_close (&client);
      testbed_free (testbed);
    }
}

/*
 * A member is suspended and sends neither tokens nor attestations: the request
 * resumes at the other group.
 */
static void
test_member_absent (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "0 1 H", "2 3 D E");
  struct client client;
  int first;

  (void)state;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAMED_BODY);
  WAIT_FOR (testbed, strstr (client_text (&client), "w1 ") != NULL);
  first = testbed_script_call (testbed, 0)->endpoint;
  testbed->absent[first] = true;
  assert_non_null (strstr (client_wait (testbed, &client), "data: [DONE]"));
  assert_int_equal (testbed->script_calls, 2);
  assert_int_not_equal (testbed_script_call (testbed, 1)->endpoint, first);
  assert_non_null (
      strstr (testbed_script_call (testbed, 1)->text, "\"resume_from\":2"));
  client_close (&client);
  testbed_free (testbed);
}

/* An endpoint that refused because it is leaving gets no request (INV-6). */
static void
test_leaving_endpoint_excluded (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "leaving", "0 D E");
  char id[8];

  (void)state;
  for (int i = 0; i < 5; i++)
    {
      struct client client;

      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", UNSTREAMED_BODY);
      client_wait (testbed, &client);
      assert_int_equal (client_status (&client), 200);
      client_close (&client);
    }
  snprintf (id, sizeof id, "e%d", testbed_script_call (testbed, 0)->endpoint);
  assert_true (fleet_find_host (&testbed->fleet, id)->refused_leaving);
  assert_int_equal (testbed->script_calls, 6);
  for (size_t i = 1; i < 6; i++)
    assert_int_not_equal (testbed_script_call (testbed, i)->endpoint,
                          testbed_script_call (testbed, 0)->endpoint);
  testbed_free (testbed);
}

/* After a refused connection (not run) the other endpoint is tried. */
static void
test_refused_connection (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "0 D E", NULL);
  struct client client;
  int served = 0;

  (void)state;
  testbed_close_endpoint (testbed, 0);
  for (int i = 0; i < 4; i++)
    {
      char body[128];

      snprintf (body, sizeof body, "{\"model\":\"m\",\"prompt\":\"p%d\"}", i);
      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", body);
      client_wait (testbed, &client);
      served += client_status (&client) == 200;
      client_close (&client);
    }
  assert_int_equal (served, 4);
  testbed_close_endpoint (testbed, 1);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", UNSTREAMED_BODY);
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 503);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"not-run\""));
  client_close (&client);
  testbed_free (testbed);
}

static bool
is_strike_acknowledged (void *context, const char *fingerprint)
{
  struct testbed *testbed = context;

  (void)fingerprint;
  testbed->ack_query_count++;
  return testbed->acknowledged;
}

/*
 * A request that may have crashed an endpoint must not run again before the
 * peers have acknowledged its strike.
 */
static void
test_strike_acknowledged_before_retry (void **state)
{
  struct testbed *testbed = testbed_new ();
  struct gateway_strike_hooks hooks
      = { .context = testbed, .acknowledged = is_strike_acknowledged };
  struct client client;

  (void)state;
  testbed->tables.strike_hooks = &hooks;
  testbed->limits.strike_ack_timeout_ms = 100000;
  start_testbed (testbed, "N", "0 D E");
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", UNSTREAMED_BODY);
  WAIT_FOR (testbed, testbed->ack_query_count > 5);
  assert_int_equal (testbed->script_calls, 1);
  testbed->acknowledged = true;
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 200);
  assert_int_equal (testbed->script_calls, 2);
  client_close (&client);

  /* Without acknowledgements the wait ends at its timeout. */
  testbed->acknowledged = false;
  testbed->gateway.limits.strike_ack_timeout_ms = 50;
  testbed->script_calls = 0;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "",
               "{\"model\":\"m\",\"prompt\":\"q\"}");
  client_wait (testbed, &client);
  assert_int_equal (client_status (&client), 200);
  client_close (&client);
  testbed_free (testbed);
}

/* Retries stay within the budget; without budget a request is refused. */
static void
test_retry_budget (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "429", NULL);
  int calls = 0;
  int refusals_without_budget = 0;

  (void)state;
  testbed->limits.first_retry_delay_ms = 1;
  for (int i = 0; i < 40; i++)
    {
      struct client client;
      char body[128];

      /* A 429 is not counted as a failure, so only the budget limits. */
      testbed->call_count = 0;
      testbed->script_calls = 0;
      snprintf (body, sizeof body, "{\"model\":\"m\",\"prompt\":\"p%d\"}", i);
      client_open (testbed, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", body);
      client_wait (testbed, &client);
      assert_int_equal (client_status (&client), 503);
      assert_non_null (
          strstr (client_text (&client), "\"outcome\":\"not-run\""));
      refusals_without_budget
          += strstr (client_text (&client), "RETRY_BUDGET_EMPTY") != NULL;
      client_close (&client);
      calls += (int)testbed->script_calls;
      for (size_t c = 0; c < testbed->call_count; c++)
        {
          if (testbed->calls[c].bev != NULL)
            bufferevent_free (testbed->calls[c].bev);
          free (testbed->calls[c].text);
        }
      memset (testbed->calls, 0, sizeof testbed->calls);
      testbed->call_count = 0;
    }
  /* The bucket starts with up to BUDGET_LIMIT; each request adds a tenth. */
  assert_in_range (calls, 40, 40 + (int)BUDGET_LIMIT + 4);
  assert_true (refusals_without_budget > 0);
  testbed_free (testbed);
}

static void
test_metrics (void **state)
{
  struct testbed *testbed = start_testbed (testbed_new (), "0 1 2 3 D E", NULL);
  struct client client;

  (void)state;
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", UNSTREAMED_BODY);
  client_wait (testbed, &client);
  client_close (&client);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", "{");
  client_wait (testbed, &client);
  client_close (&client);
  assert_int_equal (counter_read (&testbed->counters, "waxwing_requests_total",
                                  "customer=\"acme\",code=\"0\""),
                    1);
  assert_int_equal (counter_read (&testbed->counters, "waxwing_requests_total",
                                  "customer=\"acme\",code=\"3001\""),
                    1);
  assert_int_equal (counter_read (&testbed->counters, "waxwing_slo_total",
                                  "customer=\"acme\",target=\"model/m\""),
                    1);
  assert_int_equal (counter_read (&testbed->counters, "waxwing_slo_good_total",
                                  "customer=\"acme\",target=\"model/m\""),
                    1);
  assert_int_equal (
      counter_read (&testbed->counters, "waxwing_attempts_total", NULL), 1);
  assert_int_equal (
      counter_read (&testbed->counters, "waxwing_retries_total", NULL), 0);
  assert_int_equal (testbed->gateway.first_token_ms.count, 1);
  testbed_free (testbed);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_backpressure),
    cmocka_unit_test (test_slow_caller),
    cmocka_unit_test (test_caller_disconnects),
    cmocka_unit_test (test_tcp_nodelay),
    cmocka_unit_test (test_connection_reuse),
    cmocka_unit_test (test_faulty_endpoint),
    cmocka_unit_test (test_wrong_answers),
    cmocka_unit_test (test_stale_response),
    cmocka_unit_test (test_repeated_refusal),
    cmocka_unit_test (test_no_reuse_after_cancel),
    cmocka_unit_test (test_place_checked_on_retry),
    cmocka_unit_test (test_deadline),
    cmocka_unit_test (test_member_absent),
    cmocka_unit_test (test_leaving_endpoint_excluded),
    cmocka_unit_test (test_refused_connection),
    cmocka_unit_test (test_strike_acknowledged_before_retry),
    cmocka_unit_test (test_retry_budget),
    cmocka_unit_test (test_metrics),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
