#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http-connection.h"
#include "log.h"

/*
 * Heads of responses whose status line or field names are not those of
 * HTTP/1.1, wherever the head is cut into two reads.  They are reported as
 * malformed, and nothing of them as a response.
 */

#define STATUS(status) "HTTP/1.1 " status "\r\n"
#define FIELDS "X-A: a\r\nX-B: b\r\n"
#define REST "Content-Length: 2\r\n\r\nok"
#define LINE_BYTES 64
#define RESPONSE_BYTES 512

static struct
{
  struct event_base *base;
  struct http_connection connection;
  int peer; /* the server's side */
  unsigned heads;
  bool has_complete;
  bool has_closed;
  enum http_end end;
} test;

static void
on_head (void *context, const struct http_head *head)
{
  (void)context;
  (void)head;
  test.heads++;
}

static void
on_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
}

static void
on_complete (void *context)
{
  (void)context;
  test.has_complete = true;
}

static void
on_closed (void *context, enum http_end end)
{
  (void)context;
  test.has_closed = true;
  test.end = end;
}

static const struct http_events events = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

/* A client's connection without a listening port. */
static void
open_connection (void)
{
  const struct http_limits limits = { 16384, 16384 };
  int ends[2];

  test.heads = 0;
  test.has_complete = false;
  test.has_closed = false;
  assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends),
                    0);
  test.peer = ends[1];
  assert_int_equal (http_connection_accept (&test.connection, test.base,
                                            ends[0], &limits, &events, NULL),
                    RESULT_OK);
  http_parser_init (&test.connection.parser, HTTP_RESPONSE);
  test.connection.parser.data = &test.connection;
  test.connection.is_client = true;
}

static void
receive (const char *bytes, size_t size)
{
  if (size == 0 || test.has_closed)
    return;
  assert_int_equal (send (test.peer, bytes, size, MSG_NOSIGNAL), size);
  event_base_loop (test.base, EVLOOP_NONBLOCK);
}

static void
receive_response (const char *bytes, size_t size, size_t cut)
{
  open_connection ();
  receive (bytes, cut);
  receive (bytes + cut, size - cut);
  http_connection_finish (&test.connection);
  close (test.peer);
}

static void
assert_malformed (const char *name, const char *bytes, size_t size, size_t cut)
{
  receive_response (bytes, size, cut);
  if (test.heads > 0 || test.has_complete || !test.has_closed
      || test.end != HTTP_END_PROTOCOL)
    fail_msg ("%s, cut at %zu: %u heads, complete %d, closed %d, end %d", name,
              cut, test.heads, test.has_complete, test.has_closed,
              (int)test.end);
}

static void
test_statuses (void **state)
{
  static const char *const statuses[] = {
    "000 OK",
    "000",
    "000 ",
    "00 OK",
    "0 OK",
    "0000 OK",
    "001 OK",
    "099 X",
    "20 X",
    "2 X",
    "1000 X",
    "99999999999999999999 X",
    "-200 X",
    "2x0 X",
    "x",
    "",
    "+200 X",
    "200x",
    "200 OK\rX-Other: 1",
  };

  (void)state;
  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      char bytes[RESPONSE_BYTES];
      int size = snprintf (bytes, sizeof bytes, "HTTP/1.1 %s\r\n" FIELDS REST,
                           statuses[i]);

      for (int cut = 0; cut < size; cut++)
        assert_malformed (statuses[i], bytes, (size_t)size, (size_t)cut);
    }
}

/* Where a line stands in the head. */
enum line_place
{
  PLACE_FIRST,
  PLACE_MIDDLE,
  PLACE_LAST,
  PLACE_INTERIM, /* in an interim response before the response */
  PLACES,
};

/* Returns the size of a response with the line, which may hold a NUL. */
static size_t
build_response (char bytes[RESPONSE_BYTES],
                const char *line,
                size_t line_size,
                enum line_place place)
{
  static const struct
  {
    const char *before;
    const char *behind;
  } parts[] = {
    [PLACE_FIRST] = { STATUS ("200 OK"), FIELDS REST },
    [PLACE_MIDDLE] = { STATUS ("200 OK") "X-A: a\r\n", "X-B: b\r\n" REST },
    [PLACE_LAST]
    = { STATUS ("200 OK") FIELDS "Content-Length: 2\r\n", "\r\nok" },
    [PLACE_INTERIM] = { STATUS ("103 Early") "X-A: a\r\n",
                        "\r\n" STATUS ("200 OK") FIELDS REST },
  };
  size_t size = strlen (parts[place].before);

  memcpy (bytes, parts[place].before, size);
  memcpy (bytes + size, line, line_size);
  size += line_size;
  memcpy (bytes + size, parts[place].behind, strlen (parts[place].behind));
  return size + strlen (parts[place].behind);
}

static void
test_field_lines (void **state)
{
  static const char *const lines[] = {
    "X Other: 1\r\n",
    "X-Other : 1\r\n",
    "X-Other\t: 1\r\n",
    "X\tOther: 1\r\n",
    "X-Other  : 1\r\n",
    "X-Other :\r\n",
    " : 1\r\n",
    ": 1\r\n",
    "X-Other\r\n",
    "X-Other 1\r\n",
    "Content-Length : 3\r\n",
    "Content Length: 3\r\n",
    "Content-Length\x0b: 3\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Transfer-Encoding\t: chunked\r\n",
    "Transfer-Encoding\x01: chunked\r\n",
    "Connection : close\r\n",
    /* A line that begins with a blank. */
    " X-Other: 1\r\n",
    "\tX-Other: 1\r\n",
    " Content-Length: 3\r\n",
    "X-Other: 1\r\n 2\r\n",
    "X-Other:\r\n X-Other: 1\r\n",
    "X-Other: 1 \r\n  X-Other: 1\r\n",
    "X-Other:\r\n\tTransfer-Encoding: chunked\r\n",
    "X-Other: 1\n Content-Length: 3\n",
    /* A CR that does not end a line. */
    "\rX-Other: 1\r\n",
    "X-Other: 1\rX-Other: 2\r\n",
    "X-Other: 1\r\n\r\rX-Other: 1\r\n",
    "X-Other: 1\r\rX-Other: 1\r\n",
    "X-Other\r: 1\r\n",
  };

  (void)state;
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    for (int place = 0; place < PLACES; place++)
      {
        char bytes[RESPONSE_BYTES];
        char name[LINE_BYTES + 32];
        size_t size = build_response (bytes, lines[i], strlen (lines[i]),
                                      (enum line_place)place);

        snprintf (name, sizeof name, "\"%s\" at place %d", lines[i], place);
        for (size_t cut = 0; cut < size; cut++)
          assert_malformed (name, bytes, size, cut);
      }
}

static void
test_bytes_of_names (void **state)
{
  static const char separators[] = "\"(),/;<=>?@[\\]{}";

  (void)state;
  for (int byte = 0; byte < 256; byte++)
    for (int position = 0; position < 3; position++)
      {
        char line[LINE_BYTES];
        int size;

        if (byte > ' ' && byte < 0x7f && strchr (separators, byte) == NULL)
          continue; /* valid in a name, or the colon behind it */
        if (byte == '\n')
          continue; /* ends the line */
        size = snprintf (line, sizeof line, "%s%c%s: 1\r\n",
                         position == 0 ? "" : "X-", byte,
                         position == 2 ? "" : "Name");
        for (int place = 0; place < PLACES; place++)
          {
            char bytes[RESPONSE_BYTES];
            char name[LINE_BYTES];

            snprintf (name, sizeof name, "byte %d at %d, place %d", byte,
                      position, place);
            assert_malformed (name, bytes,
                              build_response (bytes, line, (size_t)size,
                                              (enum line_place)place),
                              0);
          }
      }
}

/* Guards against valid heads that are refused. */
static void
test_valid_heads (void **state)
{
  static const char *const heads[] = {
    STATUS ("200 OK"),
    STATUS ("200"),
    STATUS ("200 "),
    STATUS ("200 a b: c"),
    STATUS ("200 OK") "X-Empty:\r\n",
    STATUS ("200 OK") "X-Empty: \r\nX-Empty:\t \r\n",
    STATUS ("200 OK") "X-Blanks:  a  b \t\r\n",
    STATUS ("200 OK") "X-Colons::a : b\r\n",
    STATUS ("200 OK") "x_!#$%&'*+.^`|~0: a\r\n",
    STATUS ("103 Early") "X-Empty:\r\n\r\n" STATUS ("200 OK"),
    "HTTP/1.1 200 OK\nX-Other: 1\n",
  };

  (void)state;
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      char bytes[RESPONSE_BYTES];
      int size = snprintf (bytes, sizeof bytes, "%s" FIELDS REST, heads[i]);

      for (int cut = 0; cut < size; cut++)
        {
          receive_response (bytes, (size_t)size, (size_t)cut);
          if (test.heads != 1 || !test.has_complete || test.has_closed)
            fail_msg ("%s, cut at %d: %u heads, complete %d", heads[i], cut,
                      test.heads, test.has_complete);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_statuses),
    cmocka_unit_test (test_field_lines),
    cmocka_unit_test (test_bytes_of_names),
    cmocka_unit_test (test_valid_heads),
  };
  int failed;

  log_set_level (LOG_LEVEL_ERROR);
  test.base = event_base_new ();
  failed = cmocka_run_group_tests_name ("response-heads", tests, NULL, NULL);
  event_base_free (test.base);
  return failed;
}
