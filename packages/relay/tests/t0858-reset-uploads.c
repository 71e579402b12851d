#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "relay-fixture.h"

/*
 * Endpoints that respond while the body of the request is still being written
 * to them, and then end the connection.  A response without a length is whole
 * only if the connection ends in an orderly way (RFC 9112, section 8).
 */

/* More than the sockets between relay and endpoint take. */
#define UPLOAD_BYTES (6U << 20)
#define UPLOAD_LIMIT_BYTES (8U << 20)
#define UPLOAD_CHUNK_BYTES 65536
/* Bytes of the body that the endpoint reads if it does not respond at once. */
#define READ_FIRST_BYTES 300000

#define UNFRAMED HEAD "\r\n"
#define POST "POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n" KEY

enum response_end
{
  END_RESET,   /* reset by the endpoint */
  END_UNREAD,  /* closed with unread bytes, which resets it */
  END_ORDERLY, /* no more is sent, and the rest of the body is read */
};

enum response_moment
{
  MOMENT_HEAD,    /* all as soon as the head of the request has arrived */
  MOMENT_BODY,    /* all while the body arrives */
  MOMENT_FORWARD, /* the end only after the relay has read the rest */
};

enum upload_form
{
  UPLOAD_LENGTH,
  UPLOAD_CHUNKS,
  UPLOAD_SLOW, /* with a length, in parts */
};

struct upload_case
{
  const char *name;
  enum catalog_kind kind;
  const char *response;
  enum response_end end;
  unsigned status; /* at the caller; 0 = no complete response */
  const char *body;
  unsigned sends;
};

#define CUT(name, kind, response, status, sends)                               \
  { name ", reset", kind, response, END_RESET, status, NULL, sends },          \
  {                                                                            \
    name ", closed with unread bytes", kind, response, END_UNREAD, status,     \
        NULL, sends                                                            \
  }

static const struct upload_case cases[] = {
  CUT ("no length", CATALOG_UNSAFE, UNFRAMED "part", 502, 1),
  CUT ("no length, no body", CATALOG_UNSAFE, UNFRAMED, 502, 1),
  CUT ("no length, may be repeated", CATALOG_SAFE, UNFRAMED "part", 200, 2),
  CUT ("no length, failure",
       CATALOG_UNSAFE,
       "HTTP/1.1 500 Oops\r\nX-Id: r1\r\n\r\npart",
       502,
       1),
  CUT ("a part of the length",
       CATALOG_UNSAFE,
       HEAD "Content-Length: 9\r\n\r\npart",
       502,
       1),
  CUT ("without the last chunk",
       CATALOG_UNSAFE,
       CHUNKED "4\r\npart\r\n",
       502,
       1),
  CUT ("a part of the head", CATALOG_UNSAFE, HEAD "X-Part: p", 502, 1),
  CUT ("stream without a length", CATALOG_STREAM, UNFRAMED EVENT ("1"), 0, 1),
  CUT ("stream without an event", CATALOG_STREAM, UNFRAMED "id", 502, 1),
  CUT ("stream without the last chunk",
       CATALOG_STREAM,
       CHUNKED CHUNK ("1"),
       0,
       1),
  { "no length, orderly end", CATALOG_UNSAFE, UNFRAMED "whole", END_ORDERLY,
    200, "whole", 1 },
  { "stream without a length, orderly end", CATALOG_STREAM,
    UNFRAMED EVENT ("1"), END_ORDERLY, 200, EVENT ("1"), 1 },
  { "whole length, reset", CATALOG_UNSAFE, GOOD, END_RESET, 200, "ok", 1 },
  { "all chunks, reset", CATALOG_UNSAFE, CHUNKED "2\r\nok\r\n0\r\n\r\n",
    END_RESET, 200, "ok", 1 },
};

static struct
{
  const struct upload_case *c;
  enum response_moment moment;
  enum upload_form form;
  struct http_text upload;
  size_t written;  /* bytes of upload that the caller has sent */
  unsigned sends;  /* heads that reached an endpoint */
  unsigned target; /* the head that gets the response of the case */
  const struct fake_connection *first; /* that carried the first head */
  struct fake_connection *responder;
  size_t body_read;
  bool has_responded;
  bool has_ended;
} upload;

static void
end_response (void)
{
  struct http_connection *connection = &upload.responder->connection;

  if (upload.has_ended)
    return;
  upload.has_ended = true;
  if (upload.c->end == END_ORDERLY)
    {
      http_connection_set_reading_suspended (connection, false);
      http_connection_half_close (connection);
      return;
    }
  if (upload.c->end == END_RESET)
    setsockopt (connection->fd, SOL_SOCKET, SO_LINGER,
                &(struct linger){ .l_onoff = 1 }, sizeof (struct linger));
  http_connection_finish (connection);
}

static void
respond (void)
{
  struct http_connection *connection = &upload.responder->connection;

  upload.has_responded = true;
  http_connection_write (connection, upload.c->response,
                         strlen (upload.c->response));
  http_connection_set_reading_suspended (connection, true);
  if (upload.moment != MOMENT_FORWARD)
    end_response ();
}

static void
upload_head (void *context, const struct http_head *head)
{
  fake_head (context, head);
  if (upload.sends == 0)
    upload.first = context;
  if (upload.sends++ != upload.target)
    return;
  upload.responder = context;
  upload.body_read = 0;
  if (upload.moment != MOMENT_BODY)
    respond ();
}

static void
upload_body (void *context, const char *data, size_t size)
{
  (void)data;
  if (context != upload.responder || upload.has_responded)
    return;
  upload.body_read += size;
  if (upload.body_read >= READ_FIRST_BYTES)
    respond ();
}

static const struct http_events upload_events = {
  .head = upload_head,
  .body = upload_body,
  .complete = fake_complete,
  .closed = fake_closed,
};

static void
make_upload (void)
{
  char *part = calloc (1, UPLOAD_CHUNK_BYTES);
  struct http_text *text = &upload.upload;

  assert_non_null (part);
  memset (part, 'u', UPLOAD_CHUNK_BYTES);
  http_text_init (text);
  http_text_add_string (text, POST "X-Deadline: 4000\r\n");
  if (upload.form == UPLOAD_CHUNKS)
    http_text_add_string (text, "Transfer-Encoding: chunked\r\n\r\n");
  else
    http_text_format (text, "Content-Length: %u\r\n\r\n", UPLOAD_BYTES);
  for (size_t i = 0; i < UPLOAD_BYTES; i += UPLOAD_CHUNK_BYTES)
    {
      if (upload.form == UPLOAD_CHUNKS)
        http_text_format (text, "%x\r\n", UPLOAD_CHUNK_BYTES);
      http_text_add (text, part, UPLOAD_CHUNK_BYTES);
      if (upload.form == UPLOAD_CHUNKS)
        http_text_add_string (text, "\r\n");
    }
  if (upload.form == UPLOAD_CHUNKS)
    http_text_add_string (text, "0\r\n\r\n");
  free (part);
}

/* Sends the next part of the upload; all of it unless it comes slowly. */
static void
send_upload (void)
{
  size_t rest = upload.upload.size - upload.written;

  if (rest == 0 || http_connection_unwritten_bytes (&test.caller) > 0)
    return;
  if (upload.form == UPLOAD_SLOW && rest > UPLOAD_BYTES / 4)
    rest = UPLOAD_BYTES / 4;
  http_connection_write (&test.caller, upload.upload.data + upload.written,
                         rest);
  upload.written += rest;
}

static bool
is_response_read (void)
{
  const struct relay_upstream *upstream = TAILQ_FIRST (&test.relay.busy);

  return upstream != NULL && upstream->head_seen
         && (upstream->body.size > 0 || upstream->request->events_sent > 0);
}

static void
run_upload (void)
{
  int64_t until_ms = time_boot_ms () + WAIT_MS;
  unsigned idle_rounds = 0;

  while (!test.complete && !test.closed)
    {
      const struct timeval step = { 0, 2000 };

      send_upload ();
      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
      /* What has no body, and is not a head, can only be given time. */
      if (upload.has_responded && !upload.has_ended
          && (is_response_read () || ++idle_rounds > 20))
        end_response ();
      if (time_boot_ms () > until_ms)
        fail_msg ("%s: no response", upload.c->name);
    }
}

static void
run_case (const struct upload_case *c,
          enum response_moment moment,
          enum upload_form form,
          bool is_reused)
{
  const int receive_buffer = 16384;
  char guards[160];
  struct relay_case relay_case = { .guards = guards,
                                   .kind = c->kind,
                                   .attempts = 2,
                                   .request = is_reused ? PLAIN : "",
                                   .responses = { { GOOD }, { GOOD } },
                                   .status = c->status,
                                   .body = c->body };
  struct catalog *catalog;

  snprintf (guards, sizeof guards, "%s, moment %d, form %d%s", c->name,
            (int)moment, (int)form,
            is_reused ? ", connection used before" : "");
  if (is_reused && c->kind == CATALOG_STREAM)
    relay_case.responses[0].bytes = CHUNKED CHUNK ("9") "0\r\n\r\n";
  memset (&upload, 0, sizeof upload);
  upload.c = c;
  upload.moment = moment;
  upload.form = form;
  upload.target = is_reused ? 1 : 0;
  make_upload ();
  setup (&relay_case);
  catalog = make_catalog (&relay_case);
  catalog->limits.body_bytes = UPLOAD_LIMIT_BYTES;
  catalog->version = 2;
  relay_set_catalog (&test.relay, catalog);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    setsockopt (evconnlistener_get_fd (test.fake_endpoints[i].listener),
                SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (is_reused)
    {
      /* With one endpoint left, both requests use one connection. */
      endpoints_delete (&test.endpoints, "e1", 1, 1);
      endpoints_tick (&test.endpoints, 1);
      run_until_response ();
      assert_true (test.complete);
      test.complete = false;
      test.status = 0;
      http_text_reset (&test.body);
      http_connection_next_message (&test.caller, false);
    }
  run_upload ();
  if ((test.complete ? test.status : 0) != c->status)
    fail_msg ("%s: status %u", guards, test.complete ? test.status : 0);
  if (c->body != NULL
      && (test.body.size != strlen (c->body)
          || memcmp (test.body.data, c->body, test.body.size) != 0))
    fail_msg ("%s: body \"%.*s\"", guards, (int)test.body.size, test.body.data);
  if (upload.sends != upload.target + c->sends)
    fail_msg ("%s: %u sends", guards, upload.sends);
  if (upload.responder != upload.first)
    fail_msg ("%s: another connection", guards);
  teardown ();
  http_text_finish (&upload.upload);
}

static void
test_reset_upload (void **state)
{
  const struct upload_case *c = *state;

  for (int moment = MOMENT_HEAD; moment <= MOMENT_FORWARD; moment++)
    for (int form = UPLOAD_LENGTH; form <= UPLOAD_SLOW; form++)
      {
        run_case (c, moment, form, false);
        /* The other endpoint is gone then, and nothing can be sent again. */
        if (c->kind != CATALOG_SAFE)
          run_case (c, moment, form, true);
      }
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].name,
                                    .test_func = test_reset_upload,
                                    .initial_state = (void *)&cases[i] };
  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  endpoint_events = &upload_events;
  return cmocka_run_group_tests_name ("reset-uploads", tests, NULL, NULL);
}
