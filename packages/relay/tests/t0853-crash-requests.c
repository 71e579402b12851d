#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "http-call.h"
#include "relay-fixture.h"

#include <arpa/inet.h>
#include <unistd.h>

/*
 * Runs the relay before endpoints that crash on some requests and are back a
 * moment later.  The bounds are those of the users' rules.
 */

#define SERVERS 8
#define DOWN_MS 150
#define CRASH_DELAY_MS 10 /* from the head of the response to the crash */
#define REQUEST_LIMIT 40

struct crash_case
{
  const char *guards;
  enum catalog_kind kind;
  bool unframed;            /* responses have neither length nor chunks */
  unsigned rounds;          /* each sends a bad and then a sound request */
  const char *bad_parts;    /* "%u" = the round */
  const char *bad_body;     /* "%u" = the round; NULL = only sound requests */
  const char *sound_parts;  /* NULL = no sound requests between the bad ones */
  unsigned unrelated;       /* sound requests that a crash hits by chance */
  unsigned counted_crashes; /* crashes after which sends are counted */
  unsigned late_sends;      /* most sends after these */
};

static const struct crash_case cases[] = {
  { .guards = "endpoints crash one after the other by a part of prompts",
    .kind = CATALOG_STREAM,
    .rounds = 14,
    .bad_parts = "1,9,x",
    .bad_body = "bad %u",
    .sound_parts = "1,x",
    .counted_crashes = 5,
    .late_sends = 3 },
  { .guards = "a part goes unnoticed beside parts that vary",
    .kind = CATALOG_STREAM,
    .rounds = 14,
    .bad_parts = "%u,9,x",
    .bad_body = "bad %u",
    .sound_parts = "1,x",
    .counted_crashes = 5,
    .late_sends = 3 },
  { .guards = "sound requests are refused, as all crashes had their part too",
    .kind = CATALOG_STREAM,
    .rounds = 14,
    .bad_parts = "1,9,x",
    .bad_body = "bad %u",
    .counted_crashes = 5,
    .late_sends = 3 },
  { .guards = "a crash in a response without length or chunks goes unnoticed",
    .kind = CATALOG_STREAM,
    .unframed = true,
    .rounds = 14,
    .bad_parts = "1,9,x",
    .bad_body = "bad %u",
    .sound_parts = "1,x",
    .counted_crashes = 5,
    .late_sends = 3 },
  { .guards = "endpoints crash one after the other by one repeated stream",
    .kind = CATALOG_STREAM,
    .rounds = 10,
    .bad_parts = "1,x",
    .bad_body = "bad",
    .sound_parts = "1,x",
    .counted_crashes = 3,
    .late_sends = 3 },
  { .guards = "endpoints crash one after the other by one repeated call",
    .kind = CATALOG_SAFE,
    .rounds = 10,
    .bad_parts = "",
    .bad_body = "bad",
    .sound_parts = "",
    .counted_crashes = 3,
    .late_sends = 3 },
  { .guards = "crashes of other origin get a part of sound requests refused",
    .kind = CATALOG_STREAM,
    .rounds = 8,
    .sound_parts = "1,x",
    .unrelated = 4 },
};

struct server
{
  struct evconnlistener *listener; /* NULL while it is down */
  uint16_t port;
  int64_t started_ms; /* of the incarnation, as it reports it */
  int64_t up_again_ms;
};

struct server_connection
{
  struct http_connection connection;
  struct server *server;
  char id[64];
  bool is_bad;
  int64_t crash_ms; /* 0 = it does not crash the server */
  struct server_connection *next;
};

static struct
{
  const struct crash_case *c;
  struct event_base *base;
  struct server servers[SERVERS];
  struct server_connection *connections;
  struct relay relay;
  struct endpoints endpoints;
  struct counter_set counters;
  unsigned crashes;
  unsigned unrelated_left;
  unsigned late_sends;
  unsigned request_count;
  bool is_done;
  unsigned status;
} world;

static void
on_server_head (void *context, const struct http_head *head)
{
  struct server_connection *connection = context;
  const char *id = http_head_get (head, "X-Id");

  connection->is_bad = http_head_get (head, "X-Bad") != NULL;
  snprintf (connection->id, sizeof connection->id, "%s", id != NULL ? id : "");
}

static void
on_server_body (void *context, const char *data, size_t size)
{
  (void)context;
  (void)data;
  (void)size;
}

static void
write_response (struct server_connection *connection, bool is_whole)
{
  const char *framing = "Transfer-Encoding: chunked\r\n";
  const char *body = CHUNK ("1") "0\r\n\r\n";
  struct http_text text;

  if (world.c->unframed)
    {
      framing = "Connection: close\r\n";
      body = EVENT ("1");
    }
  http_text_init (&text);
  http_text_format (&text,
                    "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Seal: s\r\n%s\r\n%s",
                    connection->id, framing, is_whole ? body : "");
  http_connection_write (&connection->connection, text.data, text.size);
  http_text_finish (&text);
}

static void
on_server_complete (void *context)
{
  struct server_connection *connection = context;
  bool crashes = connection->is_bad;

  if (connection->is_bad && world.crashes >= world.c->counted_crashes)
    world.late_sends++;
  if (!connection->is_bad && world.unrelated_left > 0)
    {
      world.unrelated_left--;
      crashes = true;
    }
  write_response (connection, !crashes);
  if (crashes)
    connection->crash_ms = time_boot_ms () + CRASH_DELAY_MS;
  else if (world.c->unframed)
    http_connection_finish (&connection->connection);
  else
    http_connection_next_message (&connection->connection, false);
}

static void
on_server_closed (void *context, enum http_end end)
{
  struct server_connection *connection = context;

  (void)end;
  http_connection_finish (&connection->connection);
}

static const struct http_events server_events = {
  .head = on_server_head,
  .body = on_server_body,
  .complete = on_server_complete,
  .closed = on_server_closed,
};

static void
accept_connection (struct evconnlistener *listener,
                   evutil_socket_t fd,
                   struct sockaddr *address,
                   int size,
                   void *context)
{
  const struct http_limits limits = { 65536, 65536 };
  struct server_connection *connection = calloc (1, sizeof *connection);

  (void)listener;
  (void)address;
  (void)size;
  assert_non_null (connection);
  connection->server = context;
  connection->next = world.connections;
  world.connections = connection;
  http_connection_accept (&connection->connection, world.base, fd, &limits,
                          &server_events, connection);
}

/*
 * A loopback address of this process alone: at 127.0.0.1 the port of a crashed
 * server may be taken by a connection of another process before the restart.
 */
static in_addr_t
server_address (void)
{
  return INADDR_LOOPBACK + 0x100 + ((in_addr_t)getpid () % 0xfffe) * 0x100;
}

static void
start_server (struct server *server)
{
  struct endpoint_report report = { .slots = 6 };
  struct sockaddr_in own = { .sin_family = AF_INET,
                             .sin_port = htons (server->port),
                             .sin_addr.s_addr = htonl (server_address ()) };
  char id[32];

  server->listener
      = evconnlistener_new_bind (world.base, accept_connection, server,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
                                 (struct sockaddr *)&own, sizeof own);
  assert_non_null (server->listener);
  server->port = net_bound_port (evconnlistener_get_fd (server->listener));
  server->started_ms++;
  report.port = server->port;
  report.started_ms = server->started_ms;
  report.service = "app";
  inet_ntop (AF_INET, &own.sin_addr, report.address, sizeof report.address);
  snprintf (id, sizeof id, "s%td", server - world.servers);
  endpoints_report (&world.endpoints, id, &report, (uint64_t)server->started_ms,
                    time_boot_ms ());
}

static void
crash_server (struct server *server)
{
  evconnlistener_free (server->listener);
  server->listener = NULL;
  server->up_again_ms = time_boot_ms () + DOWN_MS;
  world.crashes++;
  for (struct server_connection *connection = world.connections;
       connection != NULL; connection = connection->next)
    if (connection->server == server)
      {
        connection->crash_ms = 0;
        http_connection_finish (&connection->connection);
      }
}

static void
run_servers (void)
{
  int64_t now_ms = time_boot_ms ();

  for (struct server_connection *connection = world.connections;
       connection != NULL; connection = connection->next)
    if (connection->crash_ms != 0 && now_ms >= connection->crash_ms)
      crash_server (connection->server);
  for (unsigned i = 0; i < SERVERS; i++)
    if (world.servers[i].listener == NULL
        && now_ms >= world.servers[i].up_again_ms)
      start_server (&world.servers[i]);
}

static void
run_until (int64_t until_ms)
{
  while (!world.is_done && time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 2000 };

      event_base_loopexit (world.base, &step);
      event_base_loop (world.base, EVLOOP_ONCE);
      relay_tick (&world.relay, time_boot_ms ());
      run_servers ();
    }
}

static void
on_caller_done (void *context, bool has_response, unsigned status)
{
  (void)context;
  world.is_done = true;
  world.status = has_response ? status : 0;
}

/* Returns the status of the response; 0 if the response is not whole. */
static unsigned
send_request (const char *parts, const char *body, unsigned round, bool is_bad)
{
  uint16_t port = net_bound_port (evconnlistener_get_fd (world.relay.listener));
  struct http_call call;
  struct http_text text;
  struct http_text content;

  http_text_init (&content);
  http_text_format (&content, body, round);
  http_text_init (&text);
  http_text_format (&text, "POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Id: r%u\r\n",
                    world.request_count++);
  http_text_format (&text, KEY "X-Deadline: 2000\r\n%sX-Parts: ",
                    is_bad ? "X-Bad: 1\r\n" : "");
  http_text_format (&text, parts, round % 8);
  http_text_format (&text, "\r\nContent-Length: %zu\r\n\r\n", content.size);
  http_text_add (&text, content.data, content.size);
  http_text_finish (&content);
  world.is_done = false;
  assert_int_equal (http_call_start (&call, world.base, "127.0.0.1", port, 2000,
                                     &text, on_caller_done, NULL),
                    RESULT_OK);
  run_until (time_boot_ms () + WAIT_MS);
  assert_true (world.is_done);
  http_call_finish (&call);
  return world.status;
}

static void
endpoint_gone (void *context, struct endpoint *endpoint)
{
  (void)context;
  relay_endpoint_removed (&world.relay, endpoint);
}

static void
start_world (const struct crash_case *c)
{
  const struct relay_limits limits = { 5000, 5000, 1, 100, 10000, 60000 };
  const struct relay_case route = {
    .kind = c->kind,
    .resumable = true,
    .attempts = 3,
  };

  memset (&world, 0, sizeof world);
  world.c = c;
  world.base = event_base_new ();
  counter_set_init (&world.counters, 100);
  endpoints_init (&world.endpoints, endpoint_gone, NULL);
  relay_init (&world.relay, world.base, &names, &limits, &world.endpoints,
              &world.counters, "casa-a", 1);
  world.relay.now_ms = time_boot_ms ();
  world.relay.catalog_current_at_ms = world.relay.now_ms + 60000;
  relay_set_catalog (&world.relay, make_catalog (&route));
  assert_int_equal (relay_listen (&world.relay, "127.0.0.1", 0), RESULT_OK);
  for (unsigned i = 0; i < SERVERS; i++)
    start_server (&world.servers[i]);
}

static void
stop_world (void)
{
  relay_finish (&world.relay);
  for (unsigned i = 0; i < SERVERS; i++)
    if (world.servers[i].listener != NULL)
      evconnlistener_free (world.servers[i].listener);
  while (world.connections != NULL)
    {
      struct server_connection *connection = world.connections;

      world.connections = connection->next;
      http_connection_finish (&connection->connection);
      free (connection);
    }
  endpoints_finish (&world.endpoints);
  counter_set_finish (&world.counters);
  event_base_loop (world.base, EVLOOP_NONBLOCK);
  event_base_free (world.base);
}

/* Lets the servers that are down come back. */
static void
wait_for_servers (void)
{
  world.is_done = false;
  run_until (time_boot_ms () + DOWN_MS + 50);
}

static void
run_case (const struct crash_case *c)
{
  const char *sound_parts = c->sound_parts != NULL ? c->sound_parts : "1,x";
  unsigned crashes;
  unsigned status;

  start_world (c);
  for (unsigned round = 0; round < c->rounds; round++)
    {
      if (c->bad_body != NULL)
        {
          send_request (c->bad_parts, c->bad_body, round, true);
          wait_for_servers ();
        }
      if (c->sound_parts == NULL)
        continue;
      crashes = world.crashes;
      status = send_request (sound_parts, "sound %u", round, false);
      if (world.crashes > crashes)
        wait_for_servers ();
      else if (status != 200)
        fail_msg ("%s: round %u, sound request got %u", c->guards, round,
                  status);
      if (round == 0)
        world.unrelated_left = c->unrelated;
    }
  if (world.late_sends > c->late_sends)
    fail_msg ("%s: %u sends after %u crashes, %u crashes in all", c->guards,
              world.late_sends, c->counted_crashes, world.crashes);
  status = send_request (sound_parts, "last", 0, false);
  if (status != 200)
    fail_msg ("%s: the last sound request got %u", c->guards, status);
  stop_world ();
}

static void
test_crash_requests (void **state)
{
  run_case (*state);
}

int
main (void)
{
  struct CMUnitTest tests[sizeof cases / sizeof cases[0]];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    tests[i] = (struct CMUnitTest){ .name = cases[i].guards,
                                    .test_func = test_crash_requests,
                                    .initial_state = (void *)&cases[i] };
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("crash-requests", tests, NULL, NULL);
}
