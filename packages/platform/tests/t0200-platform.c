#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/platform-internal.h"
#include "timeutil.h"

/* A test fails if its calls have not ended after this time. */
#define TEST_TIMEOUT_S 20
#define CLIENT_LIMIT 64

/* What the server does with each request. */
enum server_action
{
  ACTION_REPLY,
  ACTION_CLOSE, /* closes the connection after the whole request */
  ACTION_HOLD,  /* never responds */
  ACTION_REPLY_AND_CLOSE,
  ACTION_REPLY_AND_RESET,
  ACTION_EARLY_RESET, /* the same, with the body of the request unread */
  ACTION_FLOOD,       /* repeats flood behind the reply */
};

struct server
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  enum server_action action;
  const char *reply; /* status line, headers, body */
  const char *flood;
  size_t flood_bytes;    /* written so far */
  const char *hold_path; /* never responds to requests with it; or NULL */
  int connection_count;
  int request_count;
  char last_request[4096];
  struct bufferevent *clients[CLIENT_LIMIT];
};

struct fixture
{
  struct event_base *base;
  struct server server;
  struct platform platform;
  int done_count; /* calls that have ended */
  /* Response to the call that ended last. */
  enum result result;
  uint64_t version;
  int64_t skew_ms;
  int lost_answer_count; /* calls with RESULT_PLATFORM_LOST_ANSWER */
  int unreachable_count; /* calls with RESULT_PLATFORM_UNREACHABLE */
  json_t *value;
};

static void
close_client (struct server *server, struct bufferevent *client)
{
  for (int i = 0; i < CLIENT_LIMIT; i++)
    if (server->clients[i] == client)
      server->clients[i] = NULL;
  bufferevent_free (client);
}

static void
write_flood (struct server *server, struct bufferevent *client)
{
  for (int i = 0; i < 4096; i++)
    {
      bufferevent_write (client, server->flood, strlen (server->flood));
      server->flood_bytes += strlen (server->flood);
    }
}

static void
on_flushed (struct bufferevent *client, void *context)
{
  struct server *server = context;

  if (server->action == ACTION_FLOOD)
    {
      write_flood (server, client);
      return;
    }
  if (server->action == ACTION_REPLY_AND_RESET
      || server->action == ACTION_EARLY_RESET)
    setsockopt (bufferevent_getfd (client), SOL_SOCKET, SO_LINGER,
                &(struct linger){ .l_onoff = 1 }, sizeof (struct linger));
  if (server->action != ACTION_REPLY)
    close_client (server, client);
}

static void
on_client_event (struct bufferevent *client, short events, void *context)
{
  (void)events;
  close_client (context, client);
}

static void
on_readable (struct bufferevent *client, void *context)
{
  struct server *server = context;
  struct evbuffer *input = bufferevent_get_input (client);
  size_t size = evbuffer_get_length (input);
  char text[4096] = "";
  const char *body;
  const char *length;

  evbuffer_copyout (input, text,
                    size < sizeof text - 1 ? size : sizeof text - 1);
  body = strstr (text, "\r\n\r\n");
  if (body == NULL)
    return;
  length = strstr (text, "Content-Length: ");
  if (server->action == ACTION_EARLY_RESET)
    bufferevent_disable (client, EV_READ);
  else if (length != NULL && length < body
           && strlen (body + 4) < strtoul (length + 16, NULL, 10))
    return;
  evbuffer_drain (input, size);
  memcpy (server->last_request, text, sizeof text);
  server->request_count++;
  if (server->hold_path != NULL && strstr (text, server->hold_path) != NULL)
    return;
  if (server->action == ACTION_CLOSE)
    close_client (server, client);
  else if (server->action != ACTION_HOLD)
    {
      /* Set here, as on_flushed would run as soon as writes are enabled. */
      bufferevent_setcb (client, on_readable, on_flushed, on_client_event,
                         server);
      bufferevent_write (client, server->reply, strlen (server->reply));
      if (server->action == ACTION_FLOOD)
        write_flood (server, client);
    }
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int size,
           void *context)
{
  struct server *server = context;
  struct bufferevent *client
      = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);

  (void)listener;
  (void)address;
  (void)size;
  assert_non_null (client);
  server->connection_count++;
  for (int i = 0; i < CLIENT_LIMIT; i++)
    if (server->clients[i] == NULL)
      {
        server->clients[i] = client;
        break;
      }
  bufferevent_setcb (client, on_readable, NULL, on_client_event, server);
  bufferevent_enable (client, EV_READ | EV_WRITE);
}

static struct sockaddr_in
make_loopback_address (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return address;
}

static uint16_t
get_bound_port (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  assert_int_equal (getsockname (fd, (struct sockaddr *)&address, &size), 0);
  return ntohs (address.sin_port);
}

static void
setup (struct fixture *fixture, int timeout_ms)
{
  struct sockaddr_in address = make_loopback_address (0);
  struct server *server = &fixture->server;

  memset (fixture, 0, sizeof *fixture);
  fixture->base = event_base_new ();
  server->base = fixture->base;
  server->reply = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n"
                  "{\"version\":7}";
  server->listener
      = evconnlistener_new_bind (fixture->base, on_accept, server,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
                                 (struct sockaddr *)&address, sizeof address);
  assert_non_null (server->listener);
  server->port = get_bound_port (evconnlistener_get_fd (server->listener));
  platform_init (&fixture->platform, fixture->base, "127.0.0.1", server->port,
                 timeout_ms);
}

static void
teardown (struct fixture *fixture)
{
  platform_finish (&fixture->platform);
  if (fixture->server.listener != NULL)
    evconnlistener_free (fixture->server.listener);
  for (int i = 0; i < CLIENT_LIMIT; i++)
    if (fixture->server.clients[i] != NULL)
      bufferevent_free (fixture->server.clients[i]);
  json_decref (fixture->value);
  event_base_free (fixture->base);
}

static void
on_done (void *context, const struct platform_response *response)
{
  struct fixture *fixture = context;

  fixture->done_count++;
  fixture->result = response->result;
  fixture->lost_answer_count += response->result == RESULT_PLATFORM_LOST_ANSWER;
  fixture->unreachable_count += response->result == RESULT_PLATFORM_UNREACHABLE;
  fixture->version = response->version;
  fixture->skew_ms = response->clock_skew_ms;
  json_decref (fixture->value);
  fixture->value = json_incref (response->value);
}

static void
run_until_done (struct fixture *fixture, int count)
{
  int64_t until_ms = time_boot_ms () + INT64_C (1000) * TEST_TIMEOUT_S;

  while (fixture->done_count < count && time_boot_ms () < until_ms)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  assert_int_equal (fixture->done_count, count);
}

enum call_type
{
  GET,
  PUT,
  DELETE,
  LIST,
  HOSTS,
  WATCH,
};

static void
start_call (struct fixture *fixture, enum call_type call)
{
  struct platform *platform = &fixture->platform;
  json_t *value = json_pack ("{s:i}", "a", 1);

  switch (call)
    {
    case GET:
      platform_get (platform, "k", on_done, fixture);
      break;
    case PUT:
      platform_put (platform, "k", 3, value, on_done, fixture);
      break;
    case DELETE:
      platform_delete (platform, "k", 3, on_done, fixture);
      break;
    case LIST:
      platform_list (platform, "p/", on_done, fixture);
      break;
    case HOSTS:
      platform_hosts (platform, on_done, fixture);
      break;
    case WATCH:
      platform_watch (platform, "a,b", 5, 100, on_done, fixture);
      break;
    }
  json_decref (value);
}

struct response_case
{
  enum call_type call;
  enum result result;
  const char *status;
  const char *body;
  uint64_t version;
  const char *value; /* NULL = none */
};

/*
 * A wrong mapping of status to result would repeat a write that took effect,
 * or report it as failed.
 */
static const struct response_case response_cases[] = {
  { GET, RESULT_OK, "200 OK", "{\"key\":\"k\",\"version\":4,\"value\":[1]}", 4,
    "[1]" },
  { GET, RESULT_PLATFORM_BAD_ANSWER, "200 OK", "{\"version\":4}", 0, NULL },
  { GET, RESULT_PLATFORM_BAD_ANSWER, "200 OK", "{\"value\":4}", 0, NULL },
  { GET, RESULT_PLATFORM_BAD_ANSWER, "200 OK", "{\"ver", 0, NULL },
  { GET, RESULT_PLATFORM_BAD_ANSWER, "200 OK", "", 0, NULL },
  { GET, RESULT_PLATFORM_NOT_FOUND, "404 Not Found", "{}", 0, NULL },
  { GET, RESULT_PLATFORM_OVERLOADED, "429 Rate", "{}", 0, NULL },
  { GET, RESULT_PLATFORM_OUTAGE, "503 Outage", "{}", 0, NULL },
  { GET, RESULT_PLATFORM_BAD_ANSWER, "500 Error", "{}", 0, NULL },
  { PUT, RESULT_OK, "200 OK", "{\"version\":9}", 9, NULL },
  { PUT, RESULT_PLATFORM_LOST_ANSWER, "200 OK", "{}", 0, NULL },
  { PUT, RESULT_PLATFORM_LOST_ANSWER, "200 OK", "{\"vers", 0, NULL },
  { PUT, RESULT_PLATFORM_LOST_ANSWER, "204 None", "", 0, NULL },
  { PUT, RESULT_PLATFORM_CONFLICT, "412 Conflict", "{\"version\":8}", 8, NULL },
  { PUT, RESULT_TOO_LARGE, "413 Large", "{}", 0, NULL },
  { PUT, RESULT_PLATFORM_BAD_ANSWER, "400 Bad", "{}", 0, NULL },
  { PUT, RESULT_PLATFORM_OVERLOADED, "429 Rate", "{}", 0, NULL },
  { PUT, RESULT_PLATFORM_LOST_ANSWER, "500 Error", "{}", 0, NULL },
  { PUT, RESULT_PLATFORM_LOST_ANSWER, "502 Gateway", "{}", 0, NULL },
  { PUT, RESULT_PLATFORM_OUTAGE, "503 Outage", "{}", 0, NULL },
  { DELETE, RESULT_OK, "200 OK", "{\"version\":9}", 9, NULL },
  { DELETE, RESULT_PLATFORM_NOT_FOUND, "404 Not Found", "{}", 0, NULL },
  { LIST, RESULT_OK, "200 OK", "{\"keys\":[]}", 0, "{\"keys\":[]}" },
  { LIST, RESULT_PLATFORM_BAD_ANSWER, "200 OK", "{\"keys\":1}", 0, NULL },
  { HOSTS, RESULT_OK, "200 OK", "{\"hosts\":[]}", 0, "{\"hosts\":[]}" },
  { HOSTS, RESULT_OK, "200 OK",
    "{\"hosts\":[{\"id\":\"a\"},{\"id\":\"b\",\"port\":1e999},{\"id\":\"c\"}]}",
    0, "{\"hosts\":[{\"id\":\"a\"},null,{\"id\":\"c\"}]}" },
  { HOSTS, RESULT_PLATFORM_BAD_ANSWER, "200 OK", "{\"hosts\":[1e999,", 0,
    NULL },
  { WATCH, RESULT_OK, "200 OK", "{\"revision\":6,\"objects\":[]}", 6,
    "{\"revision\":6,\"objects\":[]}" },
  { WATCH, RESULT_PLATFORM_BAD_ANSWER, "200 OK", "{\"objects\":[]}", 0, NULL },
  { WATCH, RESULT_PLATFORM_UNCHANGED, "204 None", "", 0, NULL },
};

static void
test_responses (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof response_cases / sizeof response_cases[0]; i++)
    {
      const struct response_case *c = &response_cases[i];
      struct fixture fixture;
      char reply[512];
      char *value;

      setup (&fixture, 5000);
      snprintf (reply, sizeof reply,
                "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s", c->status,
                strlen (c->body), c->body);
      fixture.server.reply = reply;
      start_call (&fixture, c->call);
      run_until_done (&fixture, 1);
      if (fixture.result != c->result)
        fail_msg ("case %zu: %s", i, result_info (fixture.result)->name);
      assert_int_equal (fixture.version, c->version);
      value = fixture.value != NULL ? json_dumps (fixture.value, JSON_COMPACT)
                                    : NULL;
      if (c->value == NULL)
        assert_null (value);
      else
        {
          assert_non_null (value);
          assert_string_equal (value, c->value);
        }
      free (value);
      teardown (&fixture);
    }
}

#define OK "HTTP/1.1 200 OK\r\n"
#define VALUE "{\"version\":4,\"value\":[1]}"
#define REST "Content-Length: 25\r\n\r\n" VALUE

/* Bytes that are no response of HTTP/1.1, or not the whole one. */
static const struct
{
  const char *reply;
  enum server_action action;
} broken_replies[] = {
  { "HTTP/1.1 000 OK\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { "HTTP/1.1 099 OK\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { "HTTP/1.1 -1 OK\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { "HTTP/1.1 103 OK\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { OK "X Other: 1\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { OK "X-Other : 1\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { OK "X\x01Other: 1\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { OK "\rX-Other: 1\r\n" REST, ACTION_REPLY_AND_CLOSE },
  { OK "Content-Length : 25\r\n\r\n" VALUE, ACTION_REPLY_AND_CLOSE },
  { OK "Content-Length\t: 9\r\n\r\n" VALUE, ACTION_REPLY_AND_CLOSE },
  { OK "\r\n" VALUE, ACTION_REPLY_AND_RESET },
  { OK "\r\n" VALUE, ACTION_EARLY_RESET },
};

static void
test_broken_replies (void **state)
{
  char *text = calloc (1, PLATFORM_VALUE_LIMIT_BYTES - 1);
  json_t *value;
  unsigned failed = 0;

  (void)state;
  assert_non_null (text);
  memset (text, 'x', PLATFORM_VALUE_LIMIT_BYTES - 2);
  value = json_string (text);
  for (size_t i = 0; i < sizeof broken_replies / sizeof broken_replies[0]; i++)
    for (int is_write = 0; is_write < 2; is_write++)
      {
        enum result expected = is_write != 0 ? RESULT_PLATFORM_LOST_ANSWER
                                             : RESULT_PLATFORM_UNREACHABLE;
        struct fixture fixture;

        setup (&fixture, 5000);
        fixture.server.reply = broken_replies[i].reply;
        fixture.server.action = broken_replies[i].action;
        if (is_write != 0 && fixture.server.action == ACTION_EARLY_RESET)
          platform_put (&fixture.platform, "k", 3, value, on_done, &fixture);
        else
          start_call (&fixture, is_write != 0 ? PUT : GET);
        run_until_done (&fixture, 1);
        if (fixture.result != expected || fixture.platform.failures != 1)
          {
            print_error ("%s\n-> %s\n", broken_replies[i].reply,
                         result_info (fixture.result)->name);
            failed++;
          }
        teardown (&fixture);
      }
  json_decref (value);
  free (text);
  assert_int_equal (failed, 0);
}

/* What the sockets take beyond what the client holds. */
#define SOCKET_BYTES (8U << 20)

/* Guards against a store that makes the process hold bytes without end. */
static void
test_endless_replies (void **state)
{
  static const struct
  {
    const char *reply;
    const char *flood;
  } cases[] = {
    { OK, "X-Field: xxxxxxxxxxxxxxxx\r\n" },
    { OK "X-Field: ", "xxxxxxxxxxxxxxxx" },
    { "", "\r\n" },
    { "", "HTTP/1.1 100 Go\r\n\r\n" },
    { OK "Transfer-Encoding: chunked\r\n\r\n2;", "xxxxxxxxxxxxxxxx" },
    { OK "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-Field: xxxxxxxxxxxxxxxx\r\n" },
    { OK "\r\n", "xxxxxxxxxxxxxxxx" },
    { "", "xxxxxxxxxxxxxxxx" },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct fixture fixture;
      struct server *server = &fixture.server;

      setup (&fixture, 5000);
      server->reply = cases[i].reply;
      server->flood = cases[i].flood;
      server->action = ACTION_FLOOD;
      start_call (&fixture, GET);
      run_until_done (&fixture, 1);
      if (fixture.result != RESULT_PLATFORM_UNREACHABLE
          || server->flood_bytes > PLATFORM_RESPONSE_LIMIT_BYTES + SOCKET_BYTES)
        fail_msg ("%s%s...: %s, %zu bytes", cases[i].reply, cases[i].flood,
                  result_info (fixture.result)->name, server->flood_bytes);
      teardown (&fixture);
    }
}

/* Guards the sum of what all answers make the process hold. */
static void
test_endless_replies_at_once (void **state)
{
  struct fixture fixture;
  struct server *server = &fixture.server;
  int64_t until_ms = time_boot_ms () + INT64_C (1000) * TEST_TIMEOUT_S;
  size_t most = 0;

  (void)state;
  setup (&fixture, 5000);
  server->reply = OK "\r\n";
  server->flood = "xxxxxxxxxxxxxxxx";
  server->action = ACTION_FLOOD;
  for (int i = 0; i < PLATFORM_CONNECTION_LIMIT; i++)
    start_call (&fixture, GET);
  while (fixture.done_count < PLATFORM_CONNECTION_LIMIT
         && time_boot_ms () < until_ms)
    {
      size_t held;

      event_base_loop (fixture.base, EVLOOP_ONCE);
      held = platform_held_bytes (&fixture.platform);
      if (held > most)
        most = held;
    }
  assert_int_equal (fixture.unreachable_count, PLATFORM_CONNECTION_LIMIT);
  assert_in_range (most, 1, PLATFORM_RESPONSES_LIMIT_BYTES);
  teardown (&fixture);
}

struct request_case
{
  enum call_type call;
  const char *line;
  const char *header; /* NULL = none to look for */
};

/* Guards against a request line or header that the platform does not expect. */
static const struct request_case request_cases[] = {
  { GET, "GET /v1/objects/k HTTP/1.1\r\n", "X-Entry-Host: dc1/e1\r\n" },
  { PUT, "PUT /v1/objects/k HTTP/1.1\r\n", "If-Match: \"3\"\r\n" },
  { DELETE, "DELETE /v1/objects/k HTTP/1.1\r\n", "If-Match: \"3\"\r\n" },
  { LIST, "GET /v1/list?prefix=p/ HTTP/1.1\r\n", NULL },
  { HOSTS, "GET /v1/hosts HTTP/1.1\r\n", NULL },
  { WATCH, "GET /v1/watch?keys=a,b&after=5&wait_ms=100 HTTP/1.1\r\n", NULL },
};

static void
test_requests (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof request_cases / sizeof request_cases[0]; i++)
    {
      const struct request_case *c = &request_cases[i];
      struct fixture fixture;

      setup (&fixture, 5000);
      snprintf (fixture.platform.host, sizeof fixture.platform.host, "dc1/e1");
      start_call (&fixture, c->call);
      run_until_done (&fixture, 1);
      assert_ptr_equal (strstr (fixture.server.last_request, c->line),
                        fixture.server.last_request);
      if (c->header != NULL)
        assert_non_null (strstr (fixture.server.last_request, c->header));
      teardown (&fixture);
    }
}

/* A key with reserved characters must not change the query or the path. */
static void
test_key_encoding (void **state)
{
  struct fixture fixture;
  json_t *value = json_integer (1);

  (void)state;
  setup (&fixture, 5000);
  platform_put (&fixture.platform, "a/b?c&d e%", 0, value, on_done, &fixture);
  run_until_done (&fixture, 1);
  assert_non_null (strstr (fixture.server.last_request,
                           "PUT /v1/objects/a/b%3Fc%26d%20e%25 HTTP/1.1\r\n"));
  assert_non_null (
      strstr (fixture.server.last_request, "If-None-Match: *\r\n"));
  json_decref (value);
  teardown (&fixture);
}

struct failure_case
{
  const char *what;
  enum call_type call;
  enum server_action action;
  bool server_closed;
  enum result result;
};

/* A write that may have taken effect must not be reported as without effect. */
static const struct failure_case failure_cases[] = {
  { "read, connection refused", GET, ACTION_REPLY, true,
    RESULT_PLATFORM_UNREACHABLE },
  { "write, connection refused", PUT, ACTION_REPLY, true,
    RESULT_PLATFORM_UNREACHABLE },
  { "delete, connection refused", DELETE, ACTION_REPLY, true,
    RESULT_PLATFORM_UNREACHABLE },
  { "read, connection closed", GET, ACTION_CLOSE, false,
    RESULT_PLATFORM_UNREACHABLE },
  { "write, connection closed", PUT, ACTION_CLOSE, false,
    RESULT_PLATFORM_LOST_ANSWER },
  { "delete, connection closed", DELETE, ACTION_CLOSE, false,
    RESULT_PLATFORM_LOST_ANSWER },
  { "read, no response", GET, ACTION_HOLD, false, RESULT_PLATFORM_UNREACHABLE },
  { "write, no response", PUT, ACTION_HOLD, false,
    RESULT_PLATFORM_LOST_ANSWER },
  { "watch, no response", WATCH, ACTION_HOLD, false,
    RESULT_PLATFORM_UNREACHABLE },
};

static void
test_connection_failures (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof failure_cases / sizeof failure_cases[0]; i++)
    {
      const struct failure_case *c = &failure_cases[i];
      struct fixture fixture;

      setup (&fixture, 300);
      fixture.server.action = c->action;
      if (c->server_closed)
        {
          evconnlistener_free (fixture.server.listener);
          fixture.server.listener = NULL;
        }
      start_call (&fixture, c->call);
      run_until_done (&fixture, 1);
      if (fixture.result != c->result)
        fail_msg ("%s: %s", c->what, result_info (fixture.result)->name);
      assert_int_equal (fixture.platform.failures, 1);
      teardown (&fixture);
    }
}

/*
 * If the connection attempt times out, nothing was sent: the write must end as
 * unreachable, not as a lost answer.
 */
static void
test_connect_timeout (void **state)
{
  struct fixture fixture;
  struct sockaddr_in address = make_loopback_address (0);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  int backlog_fds[4];

  (void)state;
  assert_int_equal (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  /* With a full backlog and no accept, further connection attempts hang. */
  assert_int_equal (listen (listener, 0), 0);
  address = make_loopback_address (get_bound_port (listener));
  for (int i = 0; i < 4; i++)
    {
      backlog_fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)!connect (backlog_fds[i], (struct sockaddr *)&address,
                      sizeof address);
    }
  setup (&fixture, 300);
  fixture.platform.port = ntohs (address.sin_port);
  start_call (&fixture, PUT);
  run_until_done (&fixture, 1);
  assert_int_equal (fixture.result, RESULT_PLATFORM_UNREACHABLE);
  teardown (&fixture);
  for (int i = 0; i < 4; i++)
    close (backlog_fds[i]);
  close (listener);
}

/* A write that timed out while it waited for a connection had no effect. */
static void
test_waiting_write_times_out (void **state)
{
  struct fixture fixture;

  (void)state;
  setup (&fixture, 300);
  fixture.server.action = ACTION_HOLD;
  for (int i = 0; i < PLATFORM_CONNECTION_LIMIT; i++)
    start_call (&fixture, PUT);
  event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  fixture.platform.timeout_ms = 50;
  start_call (&fixture, PUT);
  run_until_done (&fixture, PLATFORM_CONNECTION_LIMIT + 1);
  assert_int_equal (fixture.unreachable_count, 1);
  assert_int_equal (fixture.lost_answer_count, PLATFORM_CONNECTION_LIMIT);
  teardown (&fixture);
}

/* Calls reuse connections, and never open more than the limit. */
static void
test_connections_are_kept (void **state)
{
  struct fixture fixture;

  (void)state;
  setup (&fixture, 5000);
  for (int i = 1; i <= 20; i++)
    {
      start_call (&fixture, PUT);
      run_until_done (&fixture, i);
      assert_int_equal (fixture.result, RESULT_OK);
    }
  assert_int_equal (fixture.server.connection_count, 1);
  for (int i = 0; i < 100; i++)
    start_call (&fixture, PUT);
  run_until_done (&fixture, 120);
  assert_in_range (fixture.server.connection_count, 2,
                   PLATFORM_CONNECTION_LIMIT);
  assert_int_equal (fixture.platform.calls[PLATFORM_CALL_WRITE], 120);
  teardown (&fixture);
}

/*
 * If the server closes each connection after its response, the next write must
 * not be sent on the closed connection and end as a lost answer.
 */
static void
test_closed_connection_is_not_reused (void **state)
{
  struct fixture fixture;

  (void)state;
  setup (&fixture, 5000);
  fixture.server.action = ACTION_REPLY_AND_CLOSE;
  for (int i = 1; i <= 20; i++)
    {
      start_call (&fixture, PUT);
      run_until_done (&fixture, i);
      assert_int_equal (fixture.result, RESULT_OK);
      /* Lets the server close before the next write is sent. */
      while (fixture.server.clients[0] != NULL)
        event_base_loop (fixture.base, EVLOOP_ONCE);
    }
  teardown (&fixture);
}

/* A watch without a response must not delay other calls. */
static void
test_watch_has_its_own_connection (void **state)
{
  struct fixture fixture;

  (void)state;
  setup (&fixture, 5000);
  fixture.server.hold_path = "/v1/watch";
  platform_watch (&fixture.platform, "a", 0, 15000, on_done, &fixture);
  for (int i = 0; i < 50; i++)
    start_call (&fixture, PUT);
  run_until_done (&fixture, 50);
  assert_int_equal (fixture.result, RESULT_OK);
  platform_finish (&fixture.platform);
  assert_int_equal (fixture.done_count, 51);
  assert_int_equal (fixture.result, RESULT_CANCELLED);
  teardown (&fixture);
}

/* Sent and waiting calls end exactly once when the client is finished. */
static void
test_finish_cancels (void **state)
{
  struct fixture fixture;

  (void)state;
  setup (&fixture, 5000);
  fixture.server.action = ACTION_HOLD;
  for (int i = 0; i < PLATFORM_CONNECTION_LIMIT + 5; i++)
    start_call (&fixture, i % 2 != 0 ? PUT : GET);
  while (fixture.server.request_count < PLATFORM_CONNECTION_LIMIT)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  assert_int_equal (fixture.done_count, 0);
  platform_finish (&fixture.platform);
  assert_int_equal (fixture.done_count, PLATFORM_CONNECTION_LIMIT + 5);
  assert_int_equal (fixture.result, RESULT_CANCELLED);
  start_call (&fixture, GET);
  assert_int_equal (fixture.result, RESULT_CANCELLED);
  teardown (&fixture);
}

/* While the test setting simulates a partition, calls fail and none is sent. */
static void
test_simulated_partition (void **state)
{
  struct fixture fixture;

  (void)state;
  setup (&fixture, 5000);
  fixture.platform.is_partitioned = true;
  start_call (&fixture, PUT);
  /* The callback does not run inside platform_put. */
  assert_int_equal (fixture.done_count, 0);
  run_until_done (&fixture, 1);
  assert_int_equal (fixture.result, RESULT_PLATFORM_UNREACHABLE);
  assert_int_equal (fixture.server.request_count, 0);
  fixture.platform.is_partitioned = false;
  fixture.server.action = ACTION_REPLY;
  start_call (&fixture, PUT);
  run_until_done (&fixture, 2);
  assert_int_equal (fixture.result, RESULT_OK);
  teardown (&fixture);
}

struct limit_case
{
  const char *what;
  size_t calls;
  size_t value_size;
  enum result result;
};

static const struct limit_case limit_cases[] = {
  { "a value at the limit", 1, PLATFORM_VALUE_LIMIT_BYTES - 2, RESULT_OK },
  { "a value over the limit", 1, PLATFORM_VALUE_LIMIT_BYTES - 1,
    RESULT_TOO_LARGE },
  { "calls over the limit", PLATFORM_CALL_LIMIT + 1, 1,
    RESULT_PLATFORM_OVERLOADED },
};

static void
test_limits (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof limit_cases / sizeof limit_cases[0]; i++)
    {
      const struct limit_case *c = &limit_cases[i];
      struct fixture fixture;
      char *text = calloc (1, c->value_size + 1);
      json_t *value;

      assert_non_null (text);
      memset (text, 'x', c->value_size);
      value = json_string (text);
      setup (&fixture, 5000);
      /* The test server responds before it has received the whole body. */
      fixture.server.action = c->calls == 1 ? ACTION_REPLY : ACTION_HOLD;
      if (c->value_size > 1 && c->result == RESULT_OK)
        {
          platform_put (&fixture.platform, "k", 1, value, on_done, &fixture);
          assert_int_equal (fixture.platform.in_flight, 1);
          event_base_loop (fixture.base, EVLOOP_NONBLOCK);
          /* The write was sent, not rejected for its size. */
          assert_int_equal (fixture.done_count, 0);
        }
      else
        {
          for (size_t n = 0; n < c->calls; n++)
            platform_put (&fixture.platform, "k", 1, value, on_done, &fixture);
          run_until_done (&fixture, 1);
          assert_int_equal (fixture.result, c->result);
        }
      json_decref (value);
      free (text);
      teardown (&fixture);
    }
}

struct date_case
{
  const char *header;
  int64_t skew_s;
  bool valid;
};

/*
 * Without the clock skew a host could run a request whose claim has already
 * expired.
 */
static const struct date_case date_cases[] = {
  { "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", 0, true },
  { "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", 90, true },
  { "Date: %a, %d %b %Y %H:%M:%S GMT\r\n", -90, true },
  { "Date: yesterday\r\n", 90, false },
  { "", 90, false },
};

static void
test_clock_skew (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof date_cases / sizeof date_cases[0]; i++)
    {
      const struct date_case *c = &date_cases[i];
      struct fixture fixture;
      time_t date = (time_t)(time_wall_ms () / 1000 - c->skew_s);
      int64_t expected = c->valid ? c->skew_s * 1000 : 0;
      struct tm tm;
      char header[128] = "";
      char reply[512];

      gmtime_r (&date, &tm);
      if (c->header[0] != '\0')
        strftime (header, sizeof header, c->header, &tm);
      snprintf (reply, sizeof reply,
                "HTTP/1.1 200 OK\r\n%sContent-Length: 13\r\n\r\n"
                "{\"version\":7}",
                header);
      setup (&fixture, 5000);
      fixture.server.reply = reply;
      start_call (&fixture, PUT);
      run_until_done (&fixture, 1);
      /* Tolerates half a second of rounding and up to 10 s of test time. */
      assert_in_range (fixture.skew_ms + 100000, expected + 100000 - 500,
                       expected + 100000 + 10000);
      assert_int_equal (fixture.platform.clock_skew_ms, fixture.skew_ms);
      teardown (&fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_responses),
    cmocka_unit_test (test_broken_replies),
    cmocka_unit_test (test_endless_replies),
    cmocka_unit_test (test_endless_replies_at_once),
    cmocka_unit_test (test_requests),
    cmocka_unit_test (test_key_encoding),
    cmocka_unit_test (test_connection_failures),
    cmocka_unit_test (test_connect_timeout),
    cmocka_unit_test (test_waiting_write_times_out),
    cmocka_unit_test (test_connections_are_kept),
    cmocka_unit_test (test_closed_connection_is_not_reused),
    cmocka_unit_test (test_watch_has_its_own_connection),
    cmocka_unit_test (test_finish_cancels),
    cmocka_unit_test (test_simulated_partition),
    cmocka_unit_test (test_limits),
    cmocka_unit_test (test_clock_skew),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
