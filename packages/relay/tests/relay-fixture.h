#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "log.h"
#include "netutil.h"
#include "relay.h"
#include "timeutil.h"

/*
 * The relay over loopback between a caller and two endpoints that answer each
 * request by a script.  Every case names the failure that it guards against.
 */

#define ENDPOINTS 2
#define SENDS 4
#define WAIT_MS 5000
#define DRIP_MS 20
#define FLOOD_BYTES 262144 /* written at once */

static const struct relay_names names = {
  .request_id = "X-Id",
  .deadline = "X-Deadline",
  .model = "X-Model",
  .token_counts = "X-Tokens",
  .last_event_id = "Last-Event-Id",
  .seal = "X-Seal",
  .customer = "X-Customer",
  .expected_endpoint = "X-Endpoint",
  .expected_version = "X-Version",
  .urgency = "X-Urgency",
  .not_run = "X-Not-Run",
  .leaving = "X-Leaving",
  .endpoint_at_fault = "X-Fault",
  .credential = "Authorization",
  .credential_scheme = "Bearer",
};

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n"
#define GOOD HEAD "Content-Length: 2\r\n\r\nok"
#define NOT_RUN "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define ERROR_500                                                              \
  "HTTP/1.1 500 Oops\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define E(n) "id: " n "\n\n"
#define CHUNK(n) "7\r\n" E (n) "\r\n"

struct answer
{
  const char *bytes; /* NULL = none */
  bool close;        /* after them */
  const char *flood; /* then repeated until the connection ends */
  const char *drip;  /* then repeated every DRIP_MS */
};

struct relay_case
{
  const char *guards;
  enum catalog_kind kind;
  bool resumable;
  unsigned attempts;
  const char *request; /* "" = a plain GET */
  struct answer answers[SENDS];
  unsigned status;  /* the caller gets; 0 = a cut connection */
  const char *body; /* NULL = any */
  unsigned sends;
  /* 0 = 2,000 ms between two events, and as many retries as are needed. */
  int64_t pause_ms;
  bool no_retries;
  const char *sent;   /* the last send holds this; NULL = any */
  const char *unsent; /* no send holds this */
};

#define GET "GET /r/1?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
#define KEY "Authorization: Bearer secret\r\n"
#define PLAIN GET KEY "X-Deadline: 2000\r\n\r\n"

/* An endpoint: answers the sends of all endpoints in the order they come. */
struct fake
{
  struct evconnlistener *listener;
  uint16_t port;
};

struct fake_connection
{
  struct http_connection connection;
  struct http_text request;
  const struct answer *answer;
  int64_t drip_ms;
  struct fake_connection *next;
};

static struct
{
  const struct relay_case *c;
  struct event_base *base;
  struct fake fakes[ENDPOINTS];
  struct fake_connection *connections;
  struct relay relay;
  struct endpoints endpoints;
  struct counter_set counters;
  unsigned sends;
  struct http_text sent[SENDS];
  struct http_connection caller;
  struct http_text body;
  unsigned status;
  bool retry_after;
  double retry_after_s;
  bool keeps_open; /* the answer does not end the connection */
  bool complete;
  bool closed;
  size_t most_held; /* bytes of answers in the relay at once */
} test;

static inline void
fake_head (void *context, const struct http_head *head)
{
  struct fake_connection *fake = context;

  http_text_reset (&fake->request);
  http_text_format (&fake->request, "%s %s HTTP/1.1\r\n", head->method,
                    http_head_target (head));
  for (unsigned i = 0; i < head->field_count; i++)
    http_text_add_field (&fake->request, http_field_name (head, i),
                         http_field_value (head, i));
}

static inline void
fake_body (void *context, const char *data, size_t size)
{
  struct fake_connection *fake = context;

  http_text_add (&fake->request, data, size);
}

static inline void
fake_flood (void *context)
{
  struct fake_connection *fake = context;
  struct http_text text;

  if (fake->answer == NULL || fake->answer->flood == NULL
      || fake->connection.fd < 0)
    return;
  http_text_init (&text);
  while (text.size < FLOOD_BYTES)
    http_text_add_string (&text, fake->answer->flood);
  http_connection_write (&fake->connection, text.data, text.size);
  http_text_finish (&text);
}

/* What the endpoints go on sending after their answers. */
static inline void
fake_tick (void)
{
  int64_t now_ms = time_boot_ms ();

  for (struct fake_connection *fake = test.connections; fake != NULL;
       fake = fake->next)
    {
      if (fake->answer == NULL || fake->connection.fd < 0)
        continue;
      if (http_connection_unwritten (&fake->connection) == 0)
        fake_flood (fake);
      if (fake->answer->drip == NULL || now_ms < fake->drip_ms)
        continue;
      fake->drip_ms = now_ms + DRIP_MS;
      http_connection_write (&fake->connection, fake->answer->drip,
                             strlen (fake->answer->drip));
    }
}

static inline void
fake_complete (void *context)
{
  struct fake_connection *fake = context;
  unsigned index = test.sends++;
  const struct answer *answer;

  if (index >= SENDS)
    return;
  http_text_add (&test.sent[index], fake->request.data, fake->request.size);
  answer = &test.c->answers[index];
  if (answer->bytes != NULL)
    http_connection_write (&fake->connection, answer->bytes,
                           strlen (answer->bytes));
  fake->answer = answer;
  if (answer->close)
    http_connection_finish (&fake->connection);
  else
    http_connection_next (&fake->connection, false);
  fake_flood (fake);
}

static inline void
fake_closed (void *context, enum http_end end)
{
  struct fake_connection *fake = context;

  (void)end;
  http_connection_finish (&fake->connection);
}

static const struct http_events fake_events = {
  .head = fake_head,
  .body = fake_body,
  .complete = fake_complete,
  .closed = fake_closed,
};

static inline void
fake_accept (struct evconnlistener *listener,
             evutil_socket_t fd,
             struct sockaddr *address,
             int size,
             void *context)
{
  const struct http_limits limits = { 65536, 65536 };
  struct fake_connection *fake = calloc (1, sizeof *fake);

  (void)listener;
  (void)address;
  (void)size;
  (void)context;
  assert_non_null (fake);
  fake->next = test.connections;
  test.connections = fake;
  http_connection_accept (&fake->connection, test.base, fd, &limits,
                          &fake_events, fake);
}

static inline void
caller_connected (void *context)
{
  (void)context;
  http_connection_write (&test.caller, test.c->request,
                         strlen (test.c->request));
}

static inline void
caller_head (void *context, const struct http_head *head)
{
  (void)context;
  test.status = head->status;
  test.retry_after = http_head_get (head, "Retry-After") != NULL;
  if (test.retry_after)
    test.retry_after_s = strtod (http_head_get (head, "Retry-After"), NULL);
  test.keeps_open = head->keep_alive;
}

static inline void
caller_body (void *context, const char *data, size_t size)
{
  (void)context;
  http_text_add (&test.body, data, size);
}

static inline void
caller_complete (void *context)
{
  (void)context;
  test.complete = true;
}

static inline void
caller_closed (void *context, enum http_end end)
{
  (void)context;
  (void)end;
  test.closed = true;
}

static const struct http_events caller_events = {
  .connected = caller_connected,
  .head = caller_head,
  .body = caller_body,
  .complete = caller_complete,
  .closed = caller_closed,
};

static inline struct catalog *
make_catalog (const struct relay_case *c)
{
  struct catalog *catalog = catalog_new (1, 1, 1);
  struct catalog_route *route = &catalog->routes[0];

  catalog->version = 1;
  catalog->needs_keys = true;
  catalog->limits = (struct catalog_limits){ 16384, 1 << 20, 3000, 15000 };
  snprintf (route->name, sizeof route->name, "r");
  snprintf (route->host, sizeof route->host, "h");
  snprintf (route->prefix, sizeof route->prefix, "/r/");
  snprintf (route->targets[0].service, sizeof route->targets[0].service, "app");
  route->targets[0].weight = 1;
  route->target_count = 1;
  route->kind = c->kind;
  route->resumable = c->resumable;
  route->attempts = c->attempts;
  route->timeout_ms = 4000;
  route->objective_ms = 2000;
  route->pause_objective_ms = c->pause_ms > 0 ? c->pause_ms : 2000;
  catalog->route_count = 1;
  catalog_index_route (catalog, 0);
  snprintf (catalog->services[0].name, sizeof catalog->services[0].name, "app");
  catalog->service_count = 1;
  snprintf (catalog->customers[0].name, sizeof catalog->customers[0].name,
            "atlas");
  catalog->customer_count = 1;
  catalog_add_key (catalog, "secret", 0);
  return catalog;
}

static inline void
add_endpoint (unsigned index)
{
  struct endpoint_report report = { .slots = 6 };
  struct sockaddr_in own = { .sin_family = AF_INET };
  struct fake *fake = &test.fakes[index];
  char id[8];

  own.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fake->listener = evconnlistener_new_bind (
      test.base, fake_accept, fake, LEV_OPT_CLOSE_ON_FREE, 16,
      (struct sockaddr *)&own, sizeof own);
  assert_non_null (fake->listener);
  fake->port = net_bound_port (evconnlistener_get_fd (fake->listener));
  report.port = fake->port;
  snprintf (report.service, sizeof report.service, "app");
  snprintf (report.address, sizeof report.address, "127.0.0.1");
  snprintf (id, sizeof id, "e%u", index);
  endpoints_report (&test.endpoints, id, &report, 1, time_boot_ms ());
}

/* As the owner of both does it, also while it shuts down. */
static inline void
endpoint_removed (void *context, struct endpoint *endpoint)
{
  (void)context;
  relay_endpoint_removed (&test.relay, endpoint);
}

static inline void
setup (const struct relay_case *c)
{
  const double retries = c->no_retries ? 0 : 100;
  const struct relay_limits limits
      = { 5000, 5000, c->no_retries ? 0 : 1, retries, 10000, 60000 };
  const struct http_limits http = { 65536, 65536 };

  memset (&test, 0, sizeof test);
  test.c = c;
  test.base = event_base_new ();
  counter_set_init (&test.counters, 100);
  endpoints_init (&test.endpoints, endpoint_removed, NULL);
  relay_init (&test.relay, test.base, &names, &limits, &test.endpoints,
              &test.counters, "casa-a", 1);
  test.relay.now_ms = time_boot_ms ();
  test.relay.catalog_proof_ms = test.relay.now_ms;
  relay_set_catalog (&test.relay, make_catalog (c));
  assert_int_equal (relay_listen (&test.relay, "127.0.0.1", 0), RESULT_OK);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    add_endpoint (i);
  assert_int_equal (
      http_connection_connect (
          &test.caller, test.base, "127.0.0.1",
          net_bound_port (evconnlistener_get_fd (test.relay.listener)), 2000,
          &http, &caller_events, NULL),
      RESULT_OK);
}

static inline void
teardown (void)
{
  http_connection_finish (&test.caller);
  relay_finish (&test.relay);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    evconnlistener_free (test.fakes[i].listener);
  while (test.connections != NULL)
    {
      struct fake_connection *fake = test.connections;

      test.connections = fake->next;
      http_connection_finish (&fake->connection);
      http_text_finish (&fake->request);
      free (fake);
    }
  for (unsigned i = 0; i < SENDS; i++)
    http_text_finish (&test.sent[i]);
  http_text_finish (&test.body);
  endpoints_finish (&test.endpoints);
  counter_set_finish (&test.counters);
  event_base_loop (test.base, EVLOOP_NONBLOCK);
  event_base_free (test.base);
}

static inline void
run_until_answered (void)
{
  int64_t until_ms = time_boot_ms () + WAIT_MS;

  while (!test.complete && !test.closed)
    {
      const struct timeval step = { 0, 5000 };

      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
      fake_tick ();
      if (test.relay.answer_bytes > test.most_held)
        test.most_held = test.relay.answer_bytes;
      if (time_boot_ms () > until_ms)
        fail_msg ("%s: no answer", test.c->guards);
    }
}

static inline void
check (const struct relay_case *c)
{
  unsigned status = test.complete ? test.status : 0;

  if (status != c->status)
    fail_msg ("%s: status %u", c->guards, status);
  if (c->body != NULL
      && (test.body.size != strlen (c->body)
          || memcmp (test.body.data, c->body, test.body.size) != 0))
    fail_msg ("%s: body \"%.*s\"", c->guards, (int)test.body.size,
              test.body.data);
  if (test.sends != c->sends)
    fail_msg ("%s: %u sends", c->guards, test.sends);
  if (c->sent != NULL && strstr (test.sent[c->sends - 1].data, c->sent) == NULL)
    fail_msg ("%s: sent %s", c->guards, test.sent[c->sends - 1].data);
  for (unsigned i = 0; c->unsent != NULL && i < c->sends; i++)
    if (strstr (test.sent[i].data, c->unsent) != NULL)
      fail_msg ("%s: sent %s", c->guards, test.sent[i].data);
  if (c->status == 503 && !test.retry_after)
    fail_msg ("%s", c->guards);
}

#endif
