#ifndef RELAY_FIXTURE_H
#define RELAY_FIXTURE_H

#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "netutil.h"
#include "relay.h"
#include "timeutil.h"

/*
 * Runs the relay over loopback between a caller and ENDPOINTS endpoints that
 * respond to each request by a script.  Each case names the failure it guards
 * against.
 */

#ifndef ENDPOINTS
#define ENDPOINTS 2
#endif
#define SENDS 4
#define WAIT_MS 5000
#define DRIP_INTERVAL_MS 20
#define PIECE_BYTES 16
#define FLOOD_BYTES 262144 /* size of one write */

/* Parts are "ID,ID,...": one hexadecimal digit each, the last one its own. */
static inline unsigned
decode_shared_parts (const char *text, uint64_t *ids, unsigned limit)
{
  unsigned count = 0;

  for (; text[0] != '\0' && text[1] == ',' && count < limit; text += 2)
    ids[count++] = (uint64_t)(text[0] - '0');
  return count;
}

static const struct relay_names names = {
  .request_id = "X-Id",
  .deadline = "X-Deadline",
  .model = "X-Model",
  .token_counts = "X-Tokens",
  .prompt_parts = "X-Parts",
  .decode_shared_parts = decode_shared_parts,
  .last_event_id = "Last-Event-Id",
  .seal = "X-Seal",
  .customer = "X-Customer",
  .expected_endpoint = "X-Endpoint",
  .expected_version = "X-Version",
  .urgency = "X-Urgency",
  .not_run = "X-Not-Run",
  .leaving = "X-Leaving",
  .request_limit = "X-Limit",
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
#define EVENT(n) "id: " n "\n\n"
#define CHUNK(n) "7\r\n" EVENT (n) "\r\n"

struct response
{
  const char *bytes; /* NULL = no response */
  bool close;        /* close the connection after these bytes */
  bool reset;        /* close it by a reset */
  const char *flood; /* then written repeatedly until the connection ends */
  const char *drip;  /* then written every DRIP_INTERVAL_MS */
  const char *early; /* written as soon as the request's head has arrived */
  bool in_pieces;    /* the bytes are written in pieces of PIECE_BYTES */
};

struct relay_case
{
  const char *guards; /* failure that the case guards against */
  enum catalog_kind kind;
  bool resumable;
  unsigned attempts;
  const char *request; /* bytes that the caller sends */
  struct response responses[SENDS];
  unsigned status;  /* status at the caller; 0 = no complete response */
  const char *body; /* body at the caller; NULL = any */
  unsigned sends;
  /* Event gap objective; 0 = 2,000 ms. */
  int64_t event_gap_ms;
  bool no_retries;                /* false = more retries than are needed */
  const char *last_send_contains; /* NULL = not checked */
  const char *no_send_contains;   /* NULL = not checked */
};

#define GET "GET /r/1?q=1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\n"
#define KEY "Authorization: Bearer secret\r\n"
#define PLAIN GET KEY "X-Deadline: 2000\r\n\r\n"

/*
 * A scripted endpoint.  The responses of a case are used in the order in which
 * requests reach any endpoint.
 */
struct fake_endpoint
{
  struct evconnlistener *listener;
  uint16_t port;
};

struct fake_connection
{
  struct http_connection connection;
  struct http_text request;
  const struct response *response;
  int64_t next_drip_ms;
  size_t pieces_sent; /* bytes of a response that is written in pieces */
  struct fake_connection *next;
};

static struct
{
  const struct relay_case *c;
  struct event_base *base;
  struct fake_endpoint fake_endpoints[ENDPOINTS];
  struct fake_connection *connections;
  struct relay relay;
  struct endpoints endpoints;
  struct counter_set counters;
  unsigned sends;
  struct http_text sent_requests[SENDS];
  struct http_connection caller;
  struct http_text body;
  unsigned status;
  bool has_retry_after;
  double retry_after_s;
  bool keeps_open; /* the response keeps the connection alive */
  bool complete;
  bool closed;
  size_t max_held_bytes; /* maximum of response bytes held by the relay */
} test;

static inline void
fake_head (void *context, const struct http_head *head)
{
  struct fake_connection *fake = context;
  const char *early
      = test.sends < SENDS ? test.c->responses[test.sends].early : NULL;

  if (early != NULL)
    http_connection_write (&fake->connection, early, strlen (early));
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
fake_write_flood (void *context)
{
  struct fake_connection *fake = context;
  struct http_text text;

  if (fake->response == NULL || fake->response->flood == NULL
      || fake->connection.fd < 0)
    return;
  http_text_init (&text);
  while (text.size < FLOOD_BYTES)
    http_text_add_string (&text, fake->response->flood);
  http_connection_write (&fake->connection, text.data, text.size);
  http_text_finish (&text);
}

static inline void
fake_write_piece (struct fake_connection *fake)
{
  const char *bytes = fake->response->bytes + fake->pieces_sent;
  size_t size = strnlen (bytes, PIECE_BYTES);

  http_connection_write (&fake->connection, bytes, size);
  fake->pieces_sent += size;
}

/* Writes what the endpoints send after their responses. */
static inline void
fake_write_more (void)
{
  int64_t now_ms = time_boot_ms ();

  for (struct fake_connection *fake = test.connections; fake != NULL;
       fake = fake->next)
    {
      if (fake->response == NULL || fake->connection.fd < 0)
        continue;
      if (fake->response->in_pieces)
        fake_write_piece (fake);
      if (http_connection_unwritten_bytes (&fake->connection) == 0)
        fake_write_flood (fake);
      if (fake->response->drip == NULL || now_ms < fake->next_drip_ms)
        continue;
      fake->next_drip_ms = now_ms + DRIP_INTERVAL_MS;
      http_connection_write (&fake->connection, fake->response->drip,
                             strlen (fake->response->drip));
    }
}

static inline void
fake_complete (void *context)
{
  struct fake_connection *fake = context;
  unsigned index = test.sends++;
  const struct response *response;

  if (index >= SENDS)
    return;
  http_text_add (&test.sent_requests[index], fake->request.data,
                 fake->request.size);
  response = &test.c->responses[index];
  fake->pieces_sent = 0;
  if (response->bytes != NULL && !response->in_pieces)
    http_connection_write (&fake->connection, response->bytes,
                           strlen (response->bytes));
  fake->response = response;
  if (response->reset)
    setsockopt (fake->connection.fd, SOL_SOCKET, SO_LINGER,
                &(struct linger){ .l_onoff = 1 }, sizeof (struct linger));
  if (response->close || response->reset)
    http_connection_finish (&fake->connection);
  else
    http_connection_next_message (&fake->connection, false);
  fake_write_flood (fake);
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

/* Of the connections that the scripted endpoints accept. */
static const struct http_events *endpoint_events = &fake_events;

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
                          endpoint_events, fake);
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
  test.has_retry_after = http_head_get (head, "Retry-After") != NULL;
  if (test.has_retry_after)
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
  static struct catalog_target target = { "app", 1 };
  struct catalog *catalog = catalog_new (1, 1, 1);
  struct catalog_route *route = &catalog->routes[0];

  catalog->version = 1;
  catalog->needs_keys = true;
  catalog->limits = (struct catalog_limits){ 16384, 1 << 20, 3000, 15000 };
  route->name = "r";
  route->host = "h";
  route->prefix = "/r/";
  route->targets = &target;
  route->target_count = 1;
  route->kind = c->kind;
  route->resumable = c->resumable;
  route->attempts = c->attempts;
  route->timeout_ms = 4000;
  route->objective_ms = 2000;
  route->event_gap_objective_ms = c->event_gap_ms > 0 ? c->event_gap_ms : 2000;
  catalog->route_count = 1;
  catalog_index_route (catalog, 0);
  catalog->services[0].name = "app";
  catalog->service_count = 1;
  catalog_index_services (catalog);
  catalog->customers[0].name = "atlas";
  catalog->customer_count = 1;
  catalog_add_key (catalog, "secret", 0);
  return catalog;
}

static inline void
add_endpoint (unsigned index)
{
  struct endpoint_report report = { .slots = 6 };
  struct sockaddr_in own = { .sin_family = AF_INET };
  struct fake_endpoint *endpoint = &test.fake_endpoints[index];
  char id[8];

  own.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  endpoint->listener = evconnlistener_new_bind (
      test.base, fake_accept, endpoint, LEV_OPT_CLOSE_ON_FREE, 16,
      (struct sockaddr *)&own, sizeof own);
  assert_non_null (endpoint->listener);
  endpoint->port = net_bound_port (evconnlistener_get_fd (endpoint->listener));
  report.port = endpoint->port;
  report.service = "app";
  snprintf (report.address, sizeof report.address, "127.0.0.1");
  snprintf (id, sizeof id, "e%u", index);
  endpoints_report (&test.endpoints, id, &report, 1, time_boot_ms ());
}

/* Notifies the relay of deletions as its owner does, also at shutdown. */
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
  test.relay.catalog_current_at_ms = test.relay.now_ms;
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
    evconnlistener_free (test.fake_endpoints[i].listener);
  while (test.connections != NULL)
    {
      struct fake_connection *fake = test.connections;

      test.connections = fake->next;
      http_connection_finish (&fake->connection);
      http_text_finish (&fake->request);
      free (fake);
    }
  for (unsigned i = 0; i < SENDS; i++)
    http_text_finish (&test.sent_requests[i]);
  http_text_finish (&test.body);
  endpoints_finish (&test.endpoints);
  counter_set_finish (&test.counters);
  event_base_loop (test.base, EVLOOP_NONBLOCK);
  event_base_free (test.base);
}

static inline void
run_until_response (void)
{
  int64_t until_ms = time_boot_ms () + WAIT_MS;

  while (!test.complete && !test.closed)
    {
      const struct timeval step = { 0, 5000 };

      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
      fake_write_more ();
      if (test.relay.memory.held[MEMORY_RESPONSES] > test.max_held_bytes)
        test.max_held_bytes = test.relay.memory.held[MEMORY_RESPONSES];
      if (time_boot_ms () > until_ms)
        fail_msg ("%s: no response", test.c->guards);
    }
}

static inline void
assert_case_result (const struct relay_case *c)
{
  unsigned status = test.complete ? test.status : 0;

  if (status != c->status)
    fail_msg ("%s: status %u", c->guards, status);
  if (c->body != NULL
      && (test.body.size != strlen (c->body)
          || (test.body.size > 0
              && memcmp (test.body.data, c->body, test.body.size) != 0)))
    fail_msg ("%s: body \"%.*s\"", c->guards, (int)test.body.size,
              test.body.data);
  if (test.sends != c->sends)
    fail_msg ("%s: %u sends", c->guards, test.sends);
  if (c->last_send_contains != NULL
      && strstr (test.sent_requests[c->sends - 1].data, c->last_send_contains)
             == NULL)
    fail_msg ("%s: sent %s", c->guards, test.sent_requests[c->sends - 1].data);
  for (unsigned i = 0; c->no_send_contains != NULL && i < c->sends; i++)
    if (strstr (test.sent_requests[i].data, c->no_send_contains) != NULL)
      fail_msg ("%s: sent %s", c->guards, test.sent_requests[i].data);
  if (c->status == 503 && !test.has_retry_after)
    fail_msg ("%s", c->guards);
}

#endif
