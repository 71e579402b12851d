#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "http-server.h"
#include "http.h"
#include "log.h"

/*
 * Guards against answers that the operators' command takes although they are
 * none of HTTP/1.1, not the whole one, or without end.
 */

#define TIMEOUT_MS 1000
#define OK "HTTP/1.1 200 OK\r\n"
#define VALUE "{\"version\":4}"
#define REST "Content-Length: 13\r\n\r\n" VALUE

struct answer_case
{
  const char *answer;
  const char *flood; /* repeated behind the answer; NULL = none */
  bool is_reset;     /* the connection is reset behind the answer */
  bool is_early;     /* the answer comes before the body has been read */
  bool is_valid;
};

static const struct answer_case cases[] = {
  { OK REST, .is_valid = true },
  { OK "\r\n" VALUE, .is_valid = true },
  { "HTTP/1.1 103 Early\r\n\r\n" OK REST, .is_valid = true },
  { "HTTP/1.1 000 OK\r\n" REST },
  { "HTTP/1.1 099 OK\r\n" REST },
  { "HTTP/1.1 -1 OK\r\n" REST },
  { OK "X Other: 1\r\n" REST },
  { OK "X-Other : 1\r\n" REST },
  { OK "X\x01Other: 1\r\n" REST },
  { OK "\rX-Other: 1\r\n" REST },
  { OK "Content-Length : 13\r\n\r\n" VALUE },
  { OK "\r\n" VALUE, .is_reset = true },
  { OK "\r\n" VALUE, .is_reset = true, .is_early = true },
  { OK, .flood = "X-Field: xxxxxxxxxxxxxxxx\r\n" },
  { OK "X-Field: ", .flood = "xxxxxxxxxxxxxxxx" },
  { "", .flood = "HTTP/1.1 100 Go\r\n\r\n" },
  { OK "Transfer-Encoding: chunked\r\n\r\n2;", .flood = "xxxxxxxx" },
  { OK "\r\n", .flood = "xxxxxxxxxxxxxxxx" },
};

/* The largest response, and what the sockets take. */
#define FLOOD_LIMIT_BYTES ((32U << 20) + (8U << 20))
#define UPLOAD_BYTES (6U << 20)

static const struct answer_case *current;
static size_t flood_bytes;

static void
write_flood (void *context)
{
  if (current->flood != NULL && flood_bytes <= FLOOD_LIMIT_BYTES)
    flood_bytes += http_server_flood (context, current->flood);
}

static void
answer (struct http_connection *connection)
{
  http_connection_write (connection, current->answer, strlen (current->answer));
  if (current->is_reset)
    http_server_reset (connection);
  else if (current->flood == NULL)
    http_connection_finish (connection);
  write_flood (connection);
}

static void
on_head (void *context, const struct http_head *head)
{
  (void)head;
  if (current->is_early)
    answer (context);
}

static void
on_complete (void *context)
{
  answer (context);
}

static const struct http_events server_events = {
  .head = on_head,
  .body = http_server_ignore_body,
  .complete = on_complete,
  .closed = http_server_on_closed,
  .drained = write_flood,
};

/* True if the answer was taken. */
static bool
fetch (const char *method, const char *body)
{
  struct http_server server;
  struct cli_address address = { .host = "127.0.0.1" };
  struct http_request call
      = { .to = &address, .method = method, .path = "/", .body = body };
  struct http_response response;
  bool is_taken;

  flood_bytes = 0;
  http_server_start (&server, &server_events, 2);
  snprintf (address.text, sizeof address.text, "127.0.0.1:%u", server.port);
  address.port = server.port;
  http_fetch (server.base, &call, 1, TIMEOUT_MS, &response);
  is_taken = response.result == RESULT_OK;
  if (!is_taken && response.result != RESULT_PLATFORM_LOST_ANSWER)
    fail_msg ("%s: %s", current->answer, result_info (response.result)->name);
  http_response_finish (&response);
  http_server_stop (&server);
  return is_taken;
}

static void
test_answers (void **state)
{
  char *body = calloc (1, UPLOAD_BYTES + 1);
  unsigned failed = 0;

  (void)state;
  assert_non_null (body);
  memset (body, 'x', UPLOAD_BYTES);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      bool is_taken;

      current = &cases[i];
      is_taken = current->is_early ? fetch ("PUT", body) : fetch ("GET", NULL);
      if (is_taken != current->is_valid || flood_bytes > FLOOD_LIMIT_BYTES)
        {
          print_error ("%s%s: taken %d, %zu bytes read\n", current->answer,
                       current->flood != NULL ? current->flood : "", is_taken,
                       flood_bytes);
          failed++;
        }
    }
  free (body);
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_answers) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("cli-http", tests, NULL, NULL);
}
