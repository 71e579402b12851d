#include "harness.h"

/*
 * Guards against answers of endpoints that are not those of HTTP/1.1, or not
 * whole, and that callers get as answers, and against bytes without end.
 */

#define STALE_TOKENS                                                           \
  "data: {\"index\":0,\"text\":\"stale \"}\n\ndata: [DONE]\n\n"
#define STALE_SIZE "49"
#define OK "HTTP/1.1 200 OK\r\n"
#define FIELDS "Content-Type: text/event-stream\r\n"
#define REST FIELDS "Content-Length: " STALE_SIZE "\r\n\r\n" STALE_TOKENS
#define STALE_CHUNK "31\r\n" STALE_TOKENS "\r\n"

struct answer_case
{
  const char *bytes;
  const char *end; /* script behind the bytes: R resets, F closes, H holds */
};

static const struct answer_case broken[] = {
  { "HTTP/1.1 000 OK\r\n" REST, "F" },
  { "HTTP/1.1 000\r\n" REST, "H" },
  { "HTTP/1.1 000 OK\r\n" FIELDS "\r\n" STALE_TOKENS, "F" },
  { "HTTP/1.1 099 OK\r\n" REST, "F" },
  { "HTTP/1.1 2 OK\r\n" REST, "F" },
  { "HTTP/1.1 -200 OK\r\n" REST, "F" },
  { "HTTP/1.1 1000 OK\r\n" REST, "F" },
  { "HTTP/1.1 2x0 OK\r\n" REST, "F" },
  { "HTTP/1.1 103 Early\r\n" REST, "F" },
  { OK "X Other: 1\r\n" REST, "F" },
  { OK FIELDS "X\x01Other: 1\r\n" REST, "F" },
  { OK FIELDS "X\tOther: 1\r\n" REST, "F" },
  { OK FIELDS "X\x7fOther: 1\r\n" REST, "F" },
  { OK FIELDS "X-Other : 1\r\n" REST, "F" },
  { OK FIELDS "Content-Length : " STALE_SIZE "\r\n\r\n" STALE_TOKENS, "F" },
  { OK FIELDS "Transfer-Encoding : chunked\r\n\r\n" STALE_CHUNK "0\r\n\r\n",
    "F" },
  { OK FIELDS " Content-Length: " STALE_SIZE "\r\n\r\n" STALE_TOKENS, "F" },
  { OK " X-Other: 1\r\n" REST, "F" },
  { OK "HTTP/1.1 200 OK\r\n" REST, "F" },
  /* Only services: of a generation, [DONE] is the end. */
  { OK FIELDS "\r\n" STALE_TOKENS, "R" },
  { OK FIELDS "\r\n", "R" },
};

#define SERVICE_ONLY 2

static void
count_broadcast (void *context,
                 const char *trait,
                 const char *host,
                 const char *boot_id)
{
  struct testbed *testbed = context;

  (void)trait;
  (void)host;
  (void)boot_id;
  testbed->broadcast_count++;
}

static struct gateway_strike_hooks hooks = { .broadcast = count_broadcast };

/* Runs one request against the scripts; returns the status at the caller. */
static int
run_request (const struct answer_case *c,
             const char *path,
             const char *body,
             const char *next_script,
             struct testbed **testbed,
             struct client *client)
{
  char script[16];

  *testbed = testbed_new ();
  snprintf (script, sizeof script, "raw %s", c->end);
  (*testbed)->raw = c->bytes;
  (*testbed)->scripts[(*testbed)->script_count++] = script;
  (*testbed)->scripts[(*testbed)->script_count++] = next_script;
  (*testbed)->limits.stall_timeout_ms = 300;
  hooks.context = *testbed;
  (*testbed)->tables.strike_hooks = &hooks;
  testbed_start (*testbed);
  client_open (*testbed, client, 0);
  client_send (client, "POST", path, "acme", "", body);
  client_wait (*testbed, client);
  /* An endpoint that answers has not crashed; one that resets may have. */
  if ((*testbed)->broadcast_count != (c->end[0] == 'R' ? 1 : 0))
    fail_msg ("%s: %zu strikes", c->bytes, (*testbed)->broadcast_count);
  return client_status (client);
}

static void
test_service_calls (void **state)
{
  unsigned failed = 0;

  (void)state;
  for (size_t i = 0; i < sizeof broken / sizeof broken[0]; i++)
    {
      struct testbed *testbed;
      struct client client;
      int status = run_request (&broken[i], "/v1/services/app/notes", "x", "ok",
                                &testbed, &client);

      if (status != 201 || strstr (client_text (&client), "stale") != NULL
          || testbed->script_calls != 2)
        {
          print_error ("%s\n-> status %d, %zu calls\n", broken[i].bytes, status,
                       testbed->script_calls);
          failed++;
        }
      client_close (&client);
      testbed_free (testbed);
    }
  assert_int_equal (failed, 0);
}

static void
test_generations (void **state)
{
  unsigned failed = 0;

  (void)state;
  for (size_t i = 0; i < sizeof broken / sizeof broken[0] - SERVICE_ONLY; i++)
    {
      struct testbed *testbed;
      struct client client;
      int status
          = run_request (&broken[i], "/v1/completions",
                         "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4}",
                         "0 1 2 3 D E", &testbed, &client);

      if (status != 200 || strstr (client_text (&client), "stale") != NULL
          || strstr (client_text (&client), "w0 w1 w2 w3") == NULL)
        {
          print_error ("%s\n-> status %d, %zu calls\n", broken[i].bytes, status,
                       testbed->script_calls);
          failed++;
        }
      client_close (&client);
      testbed_free (testbed);
    }
  assert_int_equal (failed, 0);
}

/* Responses to an upload that the endpoint does not read. */
static const struct answer_case cut_uploads[] = {
  { OK FIELDS "\r\npart", "R" },
  { OK FIELDS "\r\npart", "F" }, /* with unread bytes, which resets it */
  { OK FIELDS "\r\n", "R" },
  { OK FIELDS "Content-Length: 9\r\n\r\npart", "R" },
  { OK FIELDS "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "R" },
  { "HTTP/1.1 500 Oops\r\n\r\npart", "R" },
};

static void
test_cut_uploads (void **state)
{
  const size_t size = 1 << 20;
  char *body = calloc (1, size + 1);

  (void)state;
  assert_non_null (body);
  memset (body, 'x', size);
  for (size_t i = 0; i < sizeof cut_uploads / sizeof cut_uploads[0]; i++)
    {
      struct testbed *testbed = testbed_new ();
      struct client client;
      char script[16];

      snprintf (script, sizeof script, "raw %s", cut_uploads[i].end);
      testbed->raw = cut_uploads[i].bytes;
      testbed->is_early = true;
      testbed->scripts[testbed->script_count++] = script;
      testbed->limits.attempts = 1;
      testbed_start (testbed);
      client_open (testbed, &client, 0);
      client_send (&client, "POST", "/v1/services/app/notes", "acme", "", body);
      client_wait (testbed, &client);
      if (client_status (&client) != 502
          || strstr (client_text (&client), "\"outcome\":\"unknown\"") == NULL)
        fail_msg ("%s: %s", cut_uploads[i].bytes, client_text (&client));
      client_close (&client);
      testbed_free (testbed);
    }
  free (body);
}

static const struct
{
  const char *name;
  const char *bytes;
  const char *flood;
} endless[] = {
  { "fields", OK, "X-Field: xxxxxxxxxxxxxxxx\r\n" },
  { "a field", OK "X-Field: ", "xxxxxxxxxxxxxxxx" },
  { "blank lines", "", "\r\n" },
  { "interim responses", "", "HTTP/1.1 100 Go\r\n\r\n" },
  { "a chunk extension", OK "Transfer-Encoding: chunked\r\n\r\n2;",
    "xxxxxxxx" },
  { "a chunk", OK "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
    "xxxxxxxxxxxxxxxx" },
  { "trailers", OK "Transfer-Encoding: chunked\r\n\r\n0\r\n",
    "X-Field: xxxxxxxxxxxxxxxx\r\n" },
  { "a body", OK "\r\n", "xxxxxxxxxxxxxxxx" },
  { "a body with a length", OK "Content-Length: 9999999999\r\n\r\n",
    "xxxxxxxxxxxxxxxx" },
  { "not even a status line", "", "xxxxxxxxxxxxxxxx" },
};

/* Limit of what one endpoint makes the process hold, besides the response. */
#define HELD_BYTES (1U << 20)

static void
run_endless (size_t i, bool is_early, const char *path, const char *text)
{
  struct testbed *testbed = testbed_new ();
  size_t size = is_early ? 512 << 10 : strlen (text);
  char *body = calloc (1, size + 1);
  size_t limit
      = testbed->limits.response_bytes + HELD_BYTES + (is_early ? 3 * size : 0);
  struct client client;
  int64_t until_ms;

  assert_non_null (body);
  if (is_early)
    memset (body, 'x', size);
  else
    snprintf (body, size + 1, "%s", text);
  testbed->raw = endless[i].bytes;
  testbed->raw_flood = endless[i].flood;
  testbed->is_early = is_early;
  testbed->scripts[testbed->script_count++] = "raw";
  testbed->limits.stall_timeout_ms = 300;
  testbed->limits.attempts = 1;
  testbed_start (testbed);
  client_open (testbed, &client, 0);
  client_send (&client, "POST", path, "acme", "X-Deadline-Ms: 3000\r\n", body);
  until_ms = time_boot_ms () + 6000;
  while (!client.closed && testbed->gateway.account.peak < 4 * limit
         && time_boot_ms () < until_ms)
    {
      wait_start (testbed);
      wait_step (testbed);
    }
  if (testbed->gateway.account.peak > limit)
    fail_msg ("%s%s at %s: %zu bytes held", endless[i].name,
              is_early ? ", the body is not read" : "", path,
              testbed->gateway.account.peak);
  if (client_status (&client) < 400
      || strstr (client_text (&client), "\"outcome\":\"unknown\"") == NULL)
    fail_msg ("%s at %s: %s", endless[i].name, path, client_text (&client));
  client_close (&client);
  testbed_free (testbed);
  free (body);
}

static void
test_endless (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof endless / sizeof endless[0]; i++)
    {
      run_endless (i, false, "/v1/services/app/notes", "x");
      run_endless (i, false, "/v1/completions",
                   "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4}");
      run_endless (i, true, "/v1/services/app/notes", "");
    }
}

/* As many as the endpoints have slots for. */
#define CROWD 16
#define CROWD_MEMORY_BYTES (8U << 20)

/* Guards the sum of what endpoints make the process hold. */
static void
test_endless_crowd (void **state)
{
  static const struct
  {
    const char *path;
    const char *body;
    const char *bytes;
    const char *flood;
  } crowds[] = {
    { "/v1/services/app/notes", "x", OK "\r\n", "xxxxxxxxxxxxxxxx" },
    { "/v1/services/app/notes", "x", OK "Content-Length: 4000000000\r\n\r\n",
      "xxxxxxxxxxxxxxxx" },
    { "/v1/services/app/notes", "x", OK, "a:\r\n" },
    { "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4}",
      OK "\r\n", "data: xxxxxxxxxxxxxxxx\n" },
  };

  (void)state;
  for (size_t i = 0; i < sizeof crowds / sizeof crowds[0]; i++)
    {
      struct testbed *testbed = testbed_new ();
      struct client clients[CROWD];

      testbed->raw = crowds[i].bytes;
      testbed->raw_flood = crowds[i].flood;
      testbed->scripts[testbed->script_count++] = "raw";
      testbed->limits.attempts = 1;
      testbed->limits.memory_bytes = CROWD_MEMORY_BYTES;
      testbed_start (testbed);
      for (size_t n = 0; n < CROWD; n++)
        {
          client_open (testbed, &clients[n], 0);
          client_send (&clients[n], "POST", crowds[i].path, "acme", "",
                       crowds[i].body);
        }
      for (size_t n = 0; n < CROWD; n++)
        {
          client_wait (testbed, &clients[n]);
          if (client_status (&clients[n]) < 400)
            fail_msg ("crowd %zu: %s", i, client_text (&clients[n]));
          client_close (&clients[n]);
        }
      if (testbed->gateway.account.peak > CROWD_MEMORY_BYTES)
        fail_msg ("crowd %zu: %zu bytes held", i,
                  testbed->gateway.account.peak);
      testbed_free (testbed);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_service_calls), cmocka_unit_test (test_generations),
    cmocka_unit_test (test_cut_uploads),   cmocka_unit_test (test_endless),
    cmocka_unit_test (test_endless_crowd),
  };

  return cmocka_run_group_tests_name ("broken-answers", tests, NULL, NULL);
}
