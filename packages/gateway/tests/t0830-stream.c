#include "harness.h"

#include "../src/internal.h"

#include <netinet/tcp.h>

#define COMPLETIONS "/v1/completions"
#define STREAM                                                                 \
  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":30000,\"stream\":true}"
#define WHOLE "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4}"

static struct world *
start (struct world *world, const char *first, const char *second)
{
  world->scripts[world->script_count++] = first;
  if (second != NULL)
    world->scripts[world->script_count++] = second;
  world_start (world);
  return world;
}

#define FLOOD                                                                  \
  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1000000000,"               \
  "\"stream\":true}"

/*
 * A caller that does not read must stop the endpoint, not fill the memory;
 * the stream goes on when the caller reads.
 */
static void
test_backpressure (void **state)
{
  struct world *world = world_new ();
  struct client client;
  struct gateway_request *request;
  uint64_t before = 0;
  size_t most = 0;
  int still = 0;

  (void)state;
  world->limits.max_tokens = 1000000000;
  start (world, "flood", NULL);
  client_open (world, &client, 4096);
  bufferevent_disable (client.bev, EV_READ);
  client_send (&client, "POST", COMPLETIONS, "acme", "", FLOOD);
  WAIT_FOR (world, world->flooded > 0);
  request = TAILQ_FIRST (&world->gateway.requests);
  /* 100 loops without another token mean that every buffer is full. */
  wait_start (world);
  while (still < 100)
    {
      wait_step (world);
      still = request->next_index == before ? still + 1 : 0;
      before = request->next_index;
      if (before > 0 && generate_pending_bytes (request) > most)
        most = generate_pending_bytes (request);
    }
  assert_true (request->attempt->call->paused);
  assert_in_range (most, 1, world->limits.stream_buffer_bytes);
  bufferevent_enable (client.bev, EV_READ);
  WAIT_FOR (world, request->next_index > before + 10000);
  client_close (&client);
  WAIT_FOR (world, gateway_is_empty (&world->gateway));
  world_free (world);
}

/* A caller that makes no progress is cut off, and the engine is told. */
static void
test_slow_caller (void **state)
{
  struct world *world = world_new ();
  struct client client;

  (void)state;
  world->limits.slow_caller_ms = 200;
  world->limits.max_tokens = 1000000000;
  start (world, "flood", NULL);
  client_open (world, &client, 4096);
  bufferevent_disable (client.bev, EV_READ);
  client_send (&client, "POST", COMPLETIONS, "acme", "", FLOOD);
  WAIT_FOR (world, world->cancels == 1);
  WAIT_FOR (world, gateway_is_empty (&world->gateway));
  assert_non_null (strstr (world->log, "code=3024 outcome=unknown"));
  assert_int_equal (world_log_count (world, "event=request-end"), 1);
  client_close (&client);
  world_free (world);
}

struct gone_case
{
  const char *name;
  const char *body;
  const char *script;
};

static const struct gone_case gone_cases[] = {
  { "before the reply starts", WHOLE, "H" },
  { "in the middle of a stream", STREAM, "0 1 H" },
  { "unstreamed, after tokens", WHOLE, "0 1 H" },
};

/* A caller that went away must not keep the engine busy. */
static void
test_caller_gone (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof gone_cases / sizeof gone_cases[0]; i++)
    {
      struct world *world = start (world_new (), gone_cases[i].script, NULL);
      struct client client;

      print_message ("case: %s\n", gone_cases[i].name);
      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "",
                   gone_cases[i].body);
      WAIT_FOR (world, world->script_calls == 1);
      if (i == 1)
        WAIT_FOR (world, strstr (client_text (&client), "w1 ") != NULL);
      client_close (&client);
      /* Both signs: the connection closes, and POST /v1/cancel comes. */
      WAIT_FOR (world, world_call (world, 0)->closed && world->cancels == 1);
      WAIT_FOR (world, gateway_is_empty (&world->gateway));
      assert_non_null (strstr (world->log, "code=3023"));
      assert_int_equal (world_log_count (world, "event=request-end"), 1);
      assert_int_equal (world->gateway.tables.admission->queued, 0);
      world_free (world);
    }
}

static int
no_delay (struct evhttp_connection *connection)
{
  int value = 0;
  socklen_t size = sizeof value;

  getsockopt (
      bufferevent_getfd (evhttp_connection_get_bufferevent (connection)),
      IPPROTO_TCP, TCP_NODELAY, &value, &size);
  return value;
}

/* Nagle's algorithm would hold tokens back for an ACK, up to 40 ms each. */
static void
test_no_delay (void **state)
{
  struct world *world = start (world_new (), "0 1 H", NULL);
  struct client client;
  struct gateway_request *request;

  (void)state;
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAM);
  WAIT_FOR (world, strstr (client_text (&client), "w1 ") != NULL);
  request = TAILQ_FIRST (&world->gateway.requests);
  assert_int_equal (no_delay (evhttp_request_get_connection (request->http)),
                    1);
  assert_int_equal (no_delay (request->attempt->call->connection->http), 1);
  client_close (&client);
  world_free (world);
}

/*
 * A connection is used again only when the answer before was read to its end,
 * so that a late rest can never reach another request (INV-3).
 */
static void
test_reuse (void **state)
{
  static const size_t accepted[] = { 1, 1, 2, 2 };
  struct world *world = start (world_new (), "0 D E", "0 D H");

  (void)state;
  world->scripts[world->script_count++] = "0 D E";
  for (size_t i = 0; i < 4; i++)
    {
      struct client client;

      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", WHOLE);
      client_wait (world, &client);
      assert_int_equal (client_status (&client), 200);
      assert_int_equal (world->accepted, accepted[i]);
      client_close (&client);
    }
  /* The unfinished one is given up. */
  WAIT_FOR (world, world_call (world, 1)->closed);
  world_free (world);
}

/*
 * An endpoint in trouble is given up in time, whatever else it sends, and the
 * caller gets its answer from another.
 */
static const struct
{
  const char *guards;
  const char *first;
  const char *second;
} troubles[] = {
  { "comments pass for progress", "0 1 drip", "2 3 D E" },
  { "an error without an end is read on", "error endless", "0 1 2 3 D E" },
  { "a line without an end is held", "0 1 endless", "2 3 D E" },
};

static void
test_trouble (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof troubles / sizeof troubles[0]; i++)
    {
      struct world *world = world_new ();
      struct client client;

      world->limits.stall_timeout_ms = 200;
      start (world, troubles[i].first, troubles[i].second);
      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", WHOLE);
      client_wait (world, &client);
      if (client_status (&client) != 200
          || strstr (client_text (&client), "w0 w1 w2 w3 ") == NULL)
        fail_msg ("%s: %s", troubles[i].guards, client_text (&client));
      assert_int_equal (world->script_calls, 2);
      client_close (&client);
      world_free (world);
    }
}

/* A second answer, late, on a connection that is in use again. */
static void
test_stale_answer (void **state)
{
  struct world *world = start (world_new (), "0 D E", "stale");

  (void)state;
  world->scripts[world->script_count++] = "0 D E";
  for (size_t i = 0; i < 2; i++)
    {
      struct client client;

      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", WHOLE);
      client_wait (world, &client);
      assert_int_equal (client_status (&client), 200);
      assert_null (strstr (client_text (&client), "stale"));
      assert_non_null (strstr (client_text (&client), "w0 "));
      client_close (&client);
    }
  assert_int_equal (world->script_calls, 3);
  world_free (world);
}

/* A cancelled call's connection still owes an answer: it must close. */
static void
test_no_reuse_after_cancel (void **state)
{
  struct world *world = start (world_new (), "0 1 H", "0 D E");
  struct client client;

  (void)state;
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAM);
  WAIT_FOR (world, strstr (client_text (&client), "w1 ") != NULL);
  client_close (&client);
  WAIT_FOR (world, gateway_is_empty (&world->gateway) && world->cancels == 1);
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAM);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 200);
  assert_true (world_call (world, 0)->closed);
  client_close (&client);
  world_free (world);
}

/* The sheet changes while the request waits for its retry. */
static void
test_place_again (void **state)
{
  struct world *world = world_new ();
  struct client client;

  (void)state;
  world->limits.first_backoff_ms = 100000;
  world->limits.max_backoff_ms = 100000;
  start (world, "0 1 E", "2 3 D E");
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAM);
  WAIT_FOR (world, strstr (client_text (&client), "w1 ") != NULL);
  WAIT_FOR (world, world_call (world, 0)->closed);
  world->customers[0].data_centres = world->customers[1].data_centres;
  /* Ends the wait at once, as the timer does. */
  request_dispatch (TAILQ_FIRST (&world->gateway.requests));
  assert_non_null (strstr (client_wait (world, &client), "event: error"));
  assert_non_null (strstr (client_text (&client), "WRONG_DATA_CENTRE"));
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"unknown\""));
  assert_null (strstr (client_text (&client), "[DONE]"));
  assert_int_equal (world->script_calls, 1);
  client_close (&client);
  world_free (world);
}

struct deadline_case
{
  const char *name;
  const char *body;
  const char *script;
  const char *answer;
  const char *log;
};

static const struct deadline_case deadline_cases[] = {
  { "unstreamed", WHOLE, "0 1 H", "HTTP/1.1 504", "code=3015 outcome=unknown" },
  { "streamed", STREAM, "0 1 H", "event: error", "code=3015 outcome=unknown" },
};

static void
test_deadline (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof deadline_cases / sizeof deadline_cases[0]; i++)
    {
      const struct deadline_case *test = &deadline_cases[i];
      struct world *world = start (world_new (), test->script, NULL);
      struct client client;
      const char *text;

      print_message ("case: %s\n", test->name);
      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme",
                   "X-Deadline-Ms: 300\r\n", test->body);
      text = client_wait (world, &client);
      assert_non_null (strstr (text, test->answer));
      assert_null (strstr (text, "[DONE]"));
      WAIT_FOR (world, world->cancels == 1);
      assert_non_null (strstr (world->log, test->log));
      /* The time left travels to the endpoint. */
      text = strstr (world_call (world, 0)->text, "X-Deadline-Ms: ");
      assert_non_null (text);
      assert_in_range (atoi (text + 15), 1, 300);
      client_close (&client);
      world_free (world);
    }
}

/* A member that paused sends nothing and attests nothing. */
static void
test_member_absent (void **state)
{
  struct world *world = start (world_new (), "0 1 H", "2 3 D E");
  struct client client;
  int first;

  (void)state;
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", STREAM);
  WAIT_FOR (world, strstr (client_text (&client), "w1 ") != NULL);
  first = world_call (world, 0)->endpoint;
  world->absent[first] = true;
  assert_non_null (strstr (client_wait (world, &client), "data: [DONE]"));
  assert_int_equal (world->script_calls, 2);
  assert_int_not_equal (world_call (world, 1)->endpoint, first);
  assert_non_null (strstr (world_call (world, 1)->text, "\"resume_from\":2"));
  client_close (&client);
  world_free (world);
}

/* An endpoint that refuses for leaving gets nothing more (INV-6). */
static void
test_leaving_is_noted (void **state)
{
  struct world *world = start (world_new (), "leaving", "0 D E");
  char id[8];

  (void)state;
  for (int i = 0; i < 5; i++)
    {
      struct client client;

      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", WHOLE);
      client_wait (world, &client);
      assert_int_equal (client_status (&client), 200);
      client_close (&client);
    }
  snprintf (id, sizeof id, "e%d", world_call (world, 0)->endpoint);
  assert_true (fleet_find_host (&world->fleet, id)->refused_leaving);
  assert_int_equal (world->script_calls, 6);
  for (size_t i = 1; i < 6; i++)
    assert_int_not_equal (world_call (world, i)->endpoint,
                          world_call (world, 0)->endpoint);
  world_free (world);
}

/* A refused connection means not run, and the other endpoint is tried. */
static void
test_refused_connection (void **state)
{
  struct world *world = start (world_new (), "0 D E", NULL);
  struct client client;
  int served = 0;

  (void)state;
  world_close_endpoint (world, 0);
  for (int i = 0; i < 4; i++)
    {
      char body[128];

      snprintf (body, sizeof body, "{\"model\":\"m\",\"prompt\":\"p%d\"}", i);
      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", body);
      client_wait (world, &client);
      served += client_status (&client) == 200;
      client_close (&client);
    }
  assert_int_equal (served, 4);
  world_close_endpoint (world, 1);
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", WHOLE);
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 503);
  assert_non_null (strstr (client_text (&client), "\"outcome\":\"not-run\""));
  client_close (&client);
  world_free (world);
}

static bool
acknowledged (void *context, const char *fingerprint)
{
  struct world *world = context;

  (void)fingerprint;
  world->asked++;
  return world->acknowledged;
}

/* A crash request must not run again before the peers know of its strike. */
static void
test_strike_before_retry (void **state)
{
  struct world *world = world_new ();
  struct gateway_strike_hooks hooks
      = { .context = world, .acknowledged = acknowledged };
  struct client client;

  (void)state;
  world->tables.strike_hooks = &hooks;
  world->limits.strike_ack_timeout_ms = 100000;
  start (world, "N", "0 D E");
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", WHOLE);
  WAIT_FOR (world, world->asked > 5);
  assert_int_equal (world->script_calls, 1);
  world->acknowledged = true;
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 200);
  assert_int_equal (world->script_calls, 2);
  client_close (&client);

  /* Without receipts the limit ends the wait. */
  world->acknowledged = false;
  world->gateway.limits.strike_ack_timeout_ms = 50;
  world->script_calls = 0;
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "",
               "{\"model\":\"m\",\"prompt\":\"q\"}");
  client_wait (world, &client);
  assert_int_equal (client_status (&client), 200);
  client_close (&client);
  world_free (world);
}

/* Retries stay below the budget, and the refusal then comes at once. */
static void
test_budget (void **state)
{
  struct world *world = start (world_new (), "429", NULL);
  int calls = 0;
  int empty = 0;

  (void)state;
  world->limits.first_backoff_ms = 1;
  for (int i = 0; i < 40; i++)
    {
      struct client client;
      char body[128];

      /* Nothing fails, so only the budget limits the retries. */
      world->call_count = 0;
      world->script_calls = 0;
      snprintf (body, sizeof body, "{\"model\":\"m\",\"prompt\":\"p%d\"}", i);
      client_open (world, &client, 0);
      client_send (&client, "POST", COMPLETIONS, "acme", "", body);
      client_wait (world, &client);
      assert_int_equal (client_status (&client), 503);
      assert_non_null (
          strstr (client_text (&client), "\"outcome\":\"not-run\""));
      empty += strstr (client_text (&client), "RETRY_BUDGET_EMPTY") != NULL;
      client_close (&client);
      calls += (int)world->script_calls;
      for (size_t c = 0; c < world->call_count; c++)
        {
          if (world->calls[c].bev != NULL)
            bufferevent_free (world->calls[c].bev);
          free (world->calls[c].text);
        }
      memset (world->calls, 0, sizeof world->calls);
      world->call_count = 0;
    }
  /* The bucket may hold BUDGET_LIMIT at first and fills by a tenth. */
  assert_in_range (calls, 40, 40 + (int)BUDGET_LIMIT + 4);
  assert_true (empty > 0);
  world_free (world);
}

static void
test_metrics (void **state)
{
  struct world *world = start (world_new (), "0 1 2 3 D E", NULL);
  struct client client;

  (void)state;
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", WHOLE);
  client_wait (world, &client);
  client_close (&client);
  client_open (world, &client, 0);
  client_send (&client, "POST", COMPLETIONS, "acme", "", "{");
  client_wait (world, &client);
  client_close (&client);
  assert_int_equal (counter_read (&world->counters, "waxwing_requests_total",
                                  "customer=\"acme\",code=\"0\""),
                    1);
  assert_int_equal (counter_read (&world->counters, "waxwing_requests_total",
                                  "customer=\"acme\",code=\"3001\""),
                    1);
  assert_int_equal (counter_read (&world->counters, "waxwing_slo_total",
                                  "customer=\"acme\",target=\"model/m\""),
                    1);
  assert_int_equal (counter_read (&world->counters, "waxwing_slo_good_total",
                                  "customer=\"acme\",target=\"model/m\""),
                    1);
  assert_int_equal (
      counter_read (&world->counters, "waxwing_attempts_total", NULL), 1);
  assert_int_equal (
      counter_read (&world->counters, "waxwing_retries_total", NULL), 0);
  assert_int_equal (world->gateway.first_token_ms.count, 1);
  world_free (world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_backpressure),
    cmocka_unit_test (test_slow_caller),
    cmocka_unit_test (test_caller_gone),
    cmocka_unit_test (test_no_delay),
    cmocka_unit_test (test_reuse),
    cmocka_unit_test (test_trouble),
    cmocka_unit_test (test_stale_answer),
    cmocka_unit_test (test_no_reuse_after_cancel),
    cmocka_unit_test (test_place_again),
    cmocka_unit_test (test_deadline),
    cmocka_unit_test (test_member_absent),
    cmocka_unit_test (test_leaving_is_noted),
    cmocka_unit_test (test_refused_connection),
    cmocka_unit_test (test_strike_before_retry),
    cmocka_unit_test (test_budget),
    cmocka_unit_test (test_metrics),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
