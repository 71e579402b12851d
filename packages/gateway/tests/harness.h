#ifndef GATEWAY_HARNESS_H
#define GATEWAY_HARNESS_H

/*
 * Test bed: a gateway with two model groups and two service hosts on one event
 * loop, scripted endpoints and a raw HTTP client.  The nth call runs the nth
 * script, and later calls the last one.  Waits are for conditions, with a time
 * limit that only a failing test reaches.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "gateway.h"
#include "hash.h"
#include "log.h"
#include "timeutil.h"

#define UNUSED __attribute__ ((unused))
#define WAIT_LIMIT_MS 20000
#define TICK_US 5000
#define CALL_LIMIT 64
/* A content type of over 128 bytes. */
#define LONG_TYPE                                                              \
  "multipart/mixed; boundary=\"0123456789012345678901234567890123456789\"; "   \
  "type=\"01234567890123456789012345678901234567890123456789012345678\""
#define SCRIPT_LIMIT 8
#define LOG_SIZE 65536

struct testbed;

/* A request to an endpoint and its connection. */
struct call
{
  struct testbed *testbed;
  int endpoint;
  struct bufferevent *bev;
  char *text;          /* the request, NUL-terminated; kept for the test */
  bool answered;       /* the request is complete and its script has run */
  bool complete;       /* the response is complete: a next call may follow */
  bool closed;         /* by the gateway */
  bool sends_comments; /* sends a comment every TICK_US */
  bool unframed;       /* the response has neither length nor chunks */
  bool reused;         /* its connection has carried another call */
};

/*
 * A script is a list of words.  A number sends the token with that index; D
 * sends [DONE]; E ends the body; R resets and F closes the connection after the
 * output is written; H holds the connection open; N resets it without a
 * response; 409, 429, 400, 500 and 503 send that status; leaving sends the 503
 * of a leaving endpoint; ok sends a service response 201; bad sends an event
 * that is not a token; flood sends tokens without end; drip sends a comment
 * every TICK_US; endless sends bytes without end; error starts a 500 response
 * of unknown length; stale sends the response to another request.  U starts a
 * stream, and open sends a service response, that have neither a length nor
 * chunks; half sends the beginning of an event; again sends a refusal if the
 * connection has carried another call; extra sends one after the response; html
 * sends a response 200 that is no stream; event sends an error event; text
 * sends a line that is no event; zip sends the header of an encoded stream; raw
 * sends the testbed's raw bytes, and then its raw_flood without end.
 */
struct testbed
{
  struct event_base *base;
  struct sheet sheet;
  struct sheet_model models[1];
  struct sheet_customer customers[3];
  struct sheet_group groups[1];
  struct sheet_service services[1];
  struct fleet fleet;
  struct chooser chooser;
  struct admission admission;
  struct strikes strikes;
  struct counter_set counters;
  struct gateway gateway;
  struct gateway_tables tables;
  struct gateway_limits limits;
  struct event *tick;
  struct evconnlistener *listeners[4]; /* e0, e1: model; e2, e3: service */
  uint16_t ports[4];
  bool absent[4]; /* the host sends no attestations */
  const char *scripts[SCRIPT_LIMIT];
  size_t script_count;
  const char *raw;       /* of the script raw */
  const char *raw_flood; /* NULL = none */
  bool is_early; /* scripts run once the head has come; no body is read */
  struct call calls[CALL_LIMIT];
  size_t call_count;
  size_t script_calls;        /* calls that ran a script */
  size_t cancels;             /* POST /v1/cancel requests */
  size_t accepted;            /* connections accepted by the endpoints */
  uint64_t flood_token_count; /* tokens sent by the flood script */
  char log[LOG_SIZE];
  size_t log_used;
  int64_t wait_deadline_ms; /* when the current wait fails the test */
  size_t broadcast_count;   /* calls of the broadcast hook */
  bool acknowledged;        /* what the acknowledged hook returns */
  size_t ack_query_count;   /* calls of the acknowledged hook */
};

struct client
{
  struct bufferevent *bev;
  struct evbuffer *received;
  bool closed;
  char *text; /* copy of the received bytes; see client_text */
};

static char gateway_data_centre[][SHEET_NAME_SIZE] = { "dc1" };
static char other_data_centres[][SHEET_NAME_SIZE] = { "dc2", "dc3" };
static char non_idempotent_calls[][SHEET_NAME_SIZE] = { "POST /bookings" };
static char group_customers[][SHEET_NAME_SIZE] = { "acme", "faraway" };

static UNUSED void
wait_start (struct testbed *testbed)
{
  testbed->wait_deadline_ms = time_boot_ms () + WAIT_LIMIT_MS;
}

static UNUSED void
wait_step (struct testbed *testbed)
{
  assert_true (time_boot_ms () < testbed->wait_deadline_ms);
  event_base_loop (testbed->base, EVLOOP_ONCE);
}

#define WAIT_FOR(testbed, condition)                                           \
  do                                                                           \
    {                                                                          \
      wait_start (testbed);                                                    \
      while (!(condition))                                                     \
        wait_step (testbed);                                                   \
    }                                                                          \
  while (0)

static void
append_log (void *context, enum log_level level, const char *line)
{
  struct testbed *testbed = context;
  int n;

  (void)level;
  if (testbed->log_used + strlen (line) + 2 > sizeof testbed->log)
    return;
  n = sprintf (testbed->log + testbed->log_used, "%s\n", line);
  testbed->log_used += (size_t)n;
}

/* Scripted endpoints */

static void
call_reset_connection (struct call *call)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (call->bev), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
  bufferevent_free (call->bev);
  call->bev = NULL;
}

static void
call_send_event (struct call *call, const char *data)
{
  char event[256];

  snprintf (event, sizeof event, "data: %s\n\n", data);
  if (call->unframed)
    evbuffer_add_printf (bufferevent_get_output (call->bev), "%s", event);
  else
    evbuffer_add_printf (bufferevent_get_output (call->bev), "%zx\r\n%s\r\n",
                         strlen (event), event);
}

static void
call_send_token (struct call *call, unsigned long index)
{
  char data[64];

  snprintf (data, sizeof data, "{\"index\":%lu,\"text\":\"w%lu \"}", index,
            index);
  call_send_event (call, data);
}

static void
call_send_response (struct call *call, int status, const char *body)
{
  evbuffer_add_printf (bufferevent_get_output (call->bev),
                       "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       status, strlen (body), body);
  call->complete = true;
}

static void
call_send_stream_header (struct call *call)
{
  evbuffer_add_printf (bufferevent_get_output (call->bev),
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
}

static void
send_flood_tokens (struct bufferevent *bev, void *context)
{
  struct call *call = context;

  (void)bev;
  for (int i = 0; i < 256; i++)
    call_send_token (call, call->testbed->flood_token_count++);
}

/* Sends bytes that end neither a line nor the response. */
static void
send_endless_bytes (struct bufferevent *bev, void *context)
{
  struct call *call = context;
  char bytes[4096];

  (void)bev;
  memset (bytes, 'x', sizeof bytes);
  evbuffer_add_printf (bufferevent_get_output (call->bev), "%zx\r\n",
                       sizeof bytes);
  evbuffer_add (bufferevent_get_output (call->bev), bytes, sizeof bytes);
  evbuffer_add (bufferevent_get_output (call->bev), "\r\n", 2);
}

static void
send_raw_flood (struct bufferevent *bev, void *context)
{
  struct call *call = context;

  (void)bev;
  for (int i = 0; i < 1024; i++)
    evbuffer_add_printf (bufferevent_get_output (call->bev), "%s",
                         call->testbed->raw_flood);
}

static void
on_output_written_reset (struct bufferevent *bev, void *context)
{
  struct call *call = context;

  (void)bev;
  call_reset_connection (call);
}

static void
on_output_written_close (struct bufferevent *bev, void *context)
{
  struct call *call = context;

  bufferevent_free (bev);
  call->bev = NULL;
}

static void
on_call_event (struct bufferevent *bev, short what, void *context)
{
  struct call *call = context;

  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    {
      call->closed = true;
      call->bev = NULL;
      bufferevent_free (bev);
    }
}

#define OOPS_LINES "oops\n\n"
#define REFUSAL "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n"
#define STALE_BODY "data: {\"index\":0,\"text\":\"stale \"}\n\ndata: [DONE]\n\n"

static void
call_run_script (struct call *call, const char *script)
{
  char copy[256];
  char *rest = NULL;
  bool header_sent = false;

  snprintf (copy, sizeof copy, "%s", script);
  for (char *word = strtok_r (copy, " ", &rest); word != NULL;
       word = strtok_r (NULL, " ", &rest))
    {
      bool is_token = *word >= '0' && *word <= '9' && strlen (word) < 3;
      bool is_status = *word >= '4' && *word <= '5' && strlen (word) == 3;

      if (!header_sent && !is_status && strcmp (word, "leaving") != 0
          && strcmp (word, "ok") != 0 && strcmp (word, "H") != 0
          && strcmp (word, "N") != 0 && strcmp (word, "error") != 0
          && strcmp (word, "stale") != 0 && strcmp (word, "U") != 0
          && strcmp (word, "open") != 0 && strcmp (word, "again") != 0
          && strcmp (word, "html") != 0 && strcmp (word, "zip") != 0
          && strcmp (word, "mixed") != 0 && strncmp (word, "cut-", 4) != 0
          && strcmp (word, "raw") != 0)
        {
          header_sent = true;
          call_send_stream_header (call);
        }
      if (is_token)
        call_send_token (call, strtoul (word, NULL, 10));
      else if (is_status)
        call_send_response (call, atoi (word), "{\"error\":\"x\"}");
      else if (strcmp (word, "U") == 0)
        {
          header_sent = true;
          call->unframed = true;
          evbuffer_add_printf (bufferevent_get_output (call->bev),
                               "HTTP/1.1 200 OK\r\n"
                               "Content-Type: text/event-stream\r\n\r\n");
        }
      else if (strcmp (word, "open") == 0)
        {
          header_sent = true;
          call->unframed = true;
          evbuffer_add_printf (bufferevent_get_output (call->bev),
                               "HTTP/1.1 201 X\r\nContent-Type: "
                               "application/json\r\n\r\n{\"serial\":7}");
        }
      else if (strcmp (word, "mixed") == 0)
        {
          header_sent = true;
          evbuffer_add_printf (bufferevent_get_output (call->bev),
                               "HTTP/1.1 201 X\r\nContent-Type: " LONG_TYPE
                               "\r\nContent-Length: 2\r\n\r\nok");
          call->complete = true;
        }
      else if (strcmp (word, "half") == 0)
        evbuffer_add_printf (bufferevent_get_output (call->bev),
                             "data: {\"index\":");
      else if (strcmp (word, "raw") == 0)
        {
          header_sent = true;
          evbuffer_add_printf (bufferevent_get_output (call->bev), "%s",
                               call->testbed->raw);
          if (call->testbed->raw_flood != NULL)
            {
              bufferevent_setcb (call->bev, NULL, send_raw_flood, on_call_event,
                                 call);
              send_raw_flood (call->bev, call);
            }
        }
      else if (strcmp (word, "leaving") == 0)
        call_send_response (call, 503, "{\"error\":\"leaving\"}");
      else if (strcmp (word, "ok") == 0)
        call_send_response (call, 201, "{\"serial\":7}");
      else if (strcmp (word, "bad") == 0)
        call_send_event (call, "{\"index\":");
      else if (strcmp (word, "D") == 0)
        call_send_event (call, "[DONE]");
      else if (strcmp (word, "E") == 0)
        {
          evbuffer_add_printf (bufferevent_get_output (call->bev), "0\r\n\r\n");
          call->complete = true;
        }
      else if (strcmp (word, "N") == 0)
        {
          call_reset_connection (call);
          return;
        }
      else if (strcmp (word, "R") == 0)
        bufferevent_setcb (call->bev, NULL, on_output_written_reset,
                           on_call_event, call);
      else if (strcmp (word, "F") == 0)
        bufferevent_setcb (call->bev, NULL, on_output_written_close,
                           on_call_event, call);
      else if (strcmp (word, "drip") == 0)
        call->sends_comments = true;
      else if (strcmp (word, "error") == 0)
        {
          header_sent = true;
          evbuffer_add_printf (bufferevent_get_output (call->bev),
                               "HTTP/1.1 500 X\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n");
        }
      else if (strcmp (word, "stale") == 0)
        evbuffer_add_printf (bufferevent_get_output (call->bev),
                             "HTTP/1.1 200 X\r\nX-Request-Id: earlier\r\n"
                             "Content-Type: text/event-stream\r\n"
                             "Content-Length: %zu\r\n\r\n%s",
                             strlen (STALE_BODY), STALE_BODY);
      else if (strcmp (word, "extra") == 0
               || (strcmp (word, "again") == 0 && call->reused))
        evbuffer_add_printf (bufferevent_get_output (call->bev), REFUSAL);
      else if (strcmp (word, "again") == 0)
        continue;
      else if (strcmp (word, "html") == 0)
        evbuffer_add_printf (bufferevent_get_output (call->bev),
                             "HTTP/1.1 200 X\r\nContent-Type: text/html\r\n"
                             "Content-Length: %zu\r\n\r\n%s",
                             strlen (OOPS_LINES), OOPS_LINES);
      else if (strcmp (word, "event") == 0)
        evbuffer_add_printf (bufferevent_get_output (call->bev),
                             "1a\r\nevent: error\ndata: oops\n\n\n\r\n");
      else if (strcmp (word, "text") == 0)
        evbuffer_add_printf (bufferevent_get_output (call->bev), "6\r\n%s\r\n",
                             OOPS_LINES);
      else if (strcmp (word, "zip") == 0)
        {
          header_sent = true;
          evbuffer_add_printf (bufferevent_get_output (call->bev),
                               "HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n");
        }
      /* Heads that end with the connection. */
      else if (strncmp (word, "cut-", 4) == 0)
        evbuffer_add_printf (
            bufferevent_get_output (call->bev), "%s%s", "HTTP/1.1 200 OK\r\n",
            strcmp (word, "cut-name") == 0    ? "Content-Ty"
            : strcmp (word, "cut-value") == 0 ? "Content-Length: 0"
            : strcmp (word, "cut-line") == 0  ? "Content-Length: 0\r\n"
                                              : "Content-Length: 0\r\n\r");
      else if (strcmp (word, "endless") == 0)
        {
          bufferevent_setcb (call->bev, NULL, send_endless_bytes, on_call_event,
                             call);
          send_endless_bytes (call->bev, call);
        }
      else if (strcmp (word, "flood") == 0)
        {
          bufferevent_setcb (call->bev, NULL, send_flood_tokens, on_call_event,
                             call);
          send_flood_tokens (call->bev, call);
        }
      else
        assert_string_equal (word, "H");
    }
}

static void
on_call_data (struct bufferevent *bev, void *context)
{
  struct call *call = context;
  struct testbed *testbed = call->testbed;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t size = evbuffer_get_length (input);
  const char *end;
  const char *length;
  size_t body = 0;

  if (call->complete && size > 0)
    {
      struct call *next = &testbed->calls[testbed->call_count++];

      assert_true (testbed->call_count <= CALL_LIMIT);
      next->testbed = testbed;
      next->endpoint = call->endpoint;
      next->bev = bev;
      next->reused = true;
      call->bev = NULL;
      call = next;
      bufferevent_setcb (bev, on_call_data, NULL, on_call_event, call);
    }
  if (call->answered || size == 0)
    return;
  free (call->text);
  call->text = calloc (1, size + 1);
  evbuffer_copyout (input, call->text, size);
  end = strstr (call->text, "\r\n\r\n");
  if (end == NULL)
    return;
  length = strstr (call->text, "Content-Length: ");
  if (length != NULL)
    body = strtoul (length + 16, NULL, 10);
  if (testbed->is_early)
    bufferevent_disable (bev, EV_READ);
  else if (strlen (end + 4) < body)
    return;
  call->answered = true;
  evbuffer_drain (input, size);
  if (strncmp (call->text, "POST /v1/cancel ", 16) == 0)
    {
      testbed->cancels++;
      call_send_response (call, 200, "{}");
      return;
    }
  assert_true (testbed->script_count > 0);
  call_run_script (
      call, testbed->scripts[testbed->script_calls < testbed->script_count
                                 ? testbed->script_calls
                                 : testbed->script_count - 1]);
  testbed->script_calls++;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int size,
           void *context)
{
  struct testbed *testbed = context;
  struct call *call = &testbed->calls[testbed->call_count++];

  (void)address;
  (void)size;
  testbed->accepted++;
  assert_true (testbed->call_count <= CALL_LIMIT);
  call->testbed = testbed;
  for (int i = 0; i < 4; i++)
    if (testbed->listeners[i] == listener)
      call->endpoint = i;
  call->bev = bufferevent_socket_new (testbed->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (call->bev, on_call_data, NULL, on_call_event, call);
  bufferevent_enable (call->bev, EV_READ | EV_WRITE);
}

/* Returns the nth call that ran a script. */
static UNUSED struct call *
testbed_script_call (struct testbed *testbed, size_t n)
{
  for (size_t i = 0; i < testbed->call_count; i++)
    if (testbed->calls[i].text != NULL
        && strncmp (testbed->calls[i].text, "POST /v1/cancel ", 16) != 0
        && n-- == 0)
      return &testbed->calls[i];
  return NULL;
}

/* Tables */

static void
testbed_attest (struct testbed *testbed)
{
  for (int i = 0; i < 4; i++)
    {
      char id[8];
      struct fleet_host *host;

      snprintf (id, sizeof id, "e%d", i);
      host = fleet_find_host (&testbed->fleet, id);
      if (!testbed->absent[i])
        host->attested.seen_ms = time_boot_ms ();
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  struct testbed *testbed = context;
  struct timeval period = { 0, TICK_US };

  (void)fd;
  (void)what;
  testbed_attest (testbed);
  choose_tick (&testbed->chooser, &testbed->fleet, time_boot_ms ());
  gateway_tick (&testbed->gateway, time_boot_ms ());
  for (size_t i = 0; i < testbed->call_count; i++)
    if (testbed->calls[i].sends_comments && testbed->calls[i].bev != NULL)
      evbuffer_add_printf (bufferevent_get_output (testbed->calls[i].bev),
                           "5\r\n: c\n\n\r\n");
  evtimer_add (testbed->tick, &period);
}

static void
add_customer (struct sheet_customer *customer,
              const char *name,
              struct sheet_list places)
{
  snprintf (customer->name, sizeof customer->name, "%s", name);
  hash_sha256_hex (name, strlen (name), customer->credential_sha256);
  customer->weight = 1;
  customer->data_centres = places;
}

static void
testbed_init_sheet (struct testbed *testbed)
{
  struct sheet *sheet = &testbed->sheet;
  struct sheet_list gateway_list = { gateway_data_centre, 1 };
  struct sheet_list other_list = { other_data_centres, 2 };
  struct sheet_list call_list = { non_idempotent_calls, 1 };
  struct sheet_list customer_list = { group_customers, 2 };

  sheet_init (sheet);
  sheet->number = 1;
  snprintf (testbed->models[0].name, SHEET_NAME_SIZE, "m");
  add_customer (&testbed->customers[0], "acme", gateway_list);
  add_customer (&testbed->customers[1], "faraway", other_list);
  add_customer (&testbed->customers[2], "other", gateway_list);
  snprintf (testbed->groups[0].name, SHEET_NAME_SIZE, "row");
  snprintf (testbed->groups[0].model, SHEET_NAME_SIZE, "m");
  testbed->groups[0].span = 1;
  testbed->groups[0].count = 2;
  testbed->groups[0].data_centres = gateway_list;
  testbed->groups[0].customers = customer_list;
  snprintf (testbed->services[0].name, SHEET_NAME_SIZE, "app");
  testbed->services[0].data_centres = gateway_list;
  testbed->services[0].non_idempotent = call_list;
  sheet->models = testbed->models;
  sheet->model_count = 1;
  sheet->customers = testbed->customers;
  sheet->customer_count = 3;
  sheet->groups = testbed->groups;
  sheet->group_count = 1;
  sheet->services = testbed->services;
  sheet->service_count = 1;
}

static void
testbed_init_fleet (struct testbed *testbed)
{
  fleet_init (&testbed->fleet);
  for (int i = 0; i < 4; i++)
    {
      char id[8];
      struct fleet_host *host;

      snprintf (id, sizeof id, "e%d", i);
      host = fleet_add_host (&testbed->fleet, id);
      snprintf (host->data_centre, sizeof host->data_centre, "dc1");
      snprintf (host->address, sizeof host->address, "127.0.0.1");
      snprintf (host->attested.boot_id, FLEET_NAME_SIZE, "boot-%d", i);
      host->port = testbed->ports[i];
      host->listed = true;
      host->is_service = i >= 2;
      host->attested.slots = 8;
      host->attested.state = FLEET_ENGINE_READY;
      if (host->is_service)
        snprintf (host->service, sizeof host->service, "app");
      else
        {
          struct fleet_group *group;

          snprintf (id, sizeof id, "g%d", i);
          group = fleet_add_group (&testbed->fleet, id);
          snprintf (group->spec, sizeof group->spec, "row");
          snprintf (group->model, sizeof group->model, "m");
          snprintf (group->data_centre, sizeof group->data_centre, "dc1");
          group->generation = 5;
          group->span = 1;
          group->member_count = 1;
          snprintf (group->members[0], FLEET_NAME_SIZE, "%s", host->id);
          snprintf (host->attested.group, FLEET_NAME_SIZE, "%s", group->id);
          snprintf (host->attested.model, FLEET_NAME_SIZE, "m");
          host->attested.generation = 5;
          host->attested.span = 1;
        }
    }
}

static void
testbed_listen (struct testbed *testbed)
{
  for (int i = 0; i < 4; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t size = sizeof address;

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      testbed->listeners[i] = evconnlistener_new_bind (
          testbed->base, on_accept, testbed,
          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
          (struct sockaddr *)&address, sizeof address);
      assert_non_null (testbed->listeners[i]);
      getsockname (evconnlistener_get_fd (testbed->listeners[i]),
                   (struct sockaddr *)&address, &size);
      testbed->ports[i] = ntohs (address.sin_port);
    }
}

/* Closes the endpoint's connections and makes it refuse new ones. */
static UNUSED void
testbed_close_endpoint (struct testbed *testbed, int i)
{
  evconnlistener_free (testbed->listeners[i]);
  testbed->listeners[i] = NULL;
  for (size_t c = 0; c < testbed->call_count; c++)
    if (testbed->calls[c].endpoint == i && testbed->calls[c].bev != NULL)
      {
        bufferevent_free (testbed->calls[c].bev);
        testbed->calls[c].bev = NULL;
      }
}

/* Sets default limits, which a test may change before testbed_start. */
static UNUSED struct testbed *
testbed_new (void)
{
  struct testbed *testbed = calloc (1, sizeof *testbed);

  signal (SIGPIPE, SIG_IGN);
  assert_non_null (testbed);
  gateway_limits_set_defaults (&testbed->limits);
  /* Small socket buffers, so that backpressure needs little data. */
  testbed->limits.send_buffer_bytes = 8192;
  return testbed;
}

static UNUSED void
testbed_start (struct testbed *testbed)
{
  static const struct admission_limits limits
      = { .queue_per_customer = 64, .queue_total = 256, .ageing_ms = 1000 };
  struct gateway_tables *tables = &testbed->tables;

  testbed->base = event_base_new ();
  log_set_sink (append_log, testbed);
  testbed_listen (testbed);
  testbed_init_sheet (testbed);
  testbed_init_fleet (testbed);
  chooser_init (&testbed->chooser, 1);
  admission_init (&testbed->admission, &limits);
  admission_set_slots (&testbed->admission, "model/m", 16);
  admission_set_slots (&testbed->admission, "service/app", 16);
  strikes_init (&testbed->strikes, 1000);
  counter_set_init (&testbed->counters, 1000);
  tables->sheet = &testbed->sheet;
  tables->fleet = &testbed->fleet;
  tables->chooser = &testbed->chooser;
  tables->admission = &testbed->admission;
  tables->strikes = &testbed->strikes;
  tables->counters = &testbed->counters;
  tables->data_centre = "dc1";
  testbed_attest (testbed);
  assert_int_equal (gateway_init (&testbed->gateway, testbed->base, tables,
                                  &testbed->limits, "127.0.0.1", 0, 1),
                    RESULT_OK);
  testbed->tick = evtimer_new (testbed->base, on_tick, testbed);
  on_tick (-1, 0, testbed);
}

static UNUSED void
testbed_free (struct testbed *testbed)
{
  gateway_finish (&testbed->gateway);
  admission_finish (&testbed->admission);
  chooser_finish (&testbed->chooser);
  strikes_finish (&testbed->strikes);
  counter_set_finish (&testbed->counters);
  fleet_finish (&testbed->fleet);
  event_free (testbed->tick);
  for (int i = 0; i < 4; i++)
    if (testbed->listeners[i] != NULL)
      evconnlistener_free (testbed->listeners[i]);
  for (size_t i = 0; i < testbed->call_count; i++)
    {
      if (testbed->calls[i].bev != NULL)
        bufferevent_free (testbed->calls[i].bev);
      free (testbed->calls[i].text);
    }
  log_set_sink (NULL, NULL);
  event_base_free (testbed->base);
  free (testbed);
}

static UNUSED size_t
testbed_count_log (const struct testbed *testbed, const char *text)
{
  size_t count = 0;

  for (const char *at = testbed->log; (at = strstr (at, text)) != NULL; at++)
    count++;
  return count;
}

/* Client */

static void
on_client_data (struct bufferevent *bev, void *context)
{
  struct client *client = context;

  evbuffer_add_buffer (client->received, bufferevent_get_input (bev));
}

static void
on_client_event (struct bufferevent *bev, short what, void *context)
{
  struct client *client = context;

  (void)bev;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    client->closed = true;
}

static UNUSED void
client_open (struct testbed *testbed, struct client *client, int receive_buffer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (testbed->gateway.port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  memset (client, 0, sizeof *client);
  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  client->received = evbuffer_new ();
  client->bev
      = bufferevent_socket_new (testbed->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (client->bev, on_client_data, NULL, on_client_event,
                     client);
  bufferevent_enable (client->bev, EV_READ | EV_WRITE);
  assert_int_equal (bufferevent_socket_connect (client->bev,
                                                (struct sockaddr *)&address,
                                                sizeof address),
                    0);
}

static UNUSED void
client_close (struct client *client)
{
  if (client->bev != NULL)
    bufferevent_free (client->bev);
  if (client->received != NULL)
    evbuffer_free (client->received);
  free (client->text);
  memset (client, 0, sizeof *client);
}

/* extra: further header lines, each ending with CR LF. */
static UNUSED void
client_send (struct client *client,
             const char *method,
             const char *path,
             const char *customer,
             const char *extra,
             const char *body)
{
  evbuffer_add_printf (bufferevent_get_output (client->bev),
                       "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                       "Authorization: Bearer %s\r\n%sContent-Length: %zu\r\n"
                       "\r\n%s",
                       method, path, customer, extra, strlen (body), body);
}

static UNUSED const char *
client_text (struct client *client)
{
  size_t size = evbuffer_get_length (client->received);

  free (client->text);
  client->text = calloc (1, size + 1);
  evbuffer_copyout (client->received, client->text, size);
  return client->text;
}

static UNUSED const char *
client_wait (struct testbed *testbed, struct client *client)
{
  WAIT_FOR (testbed, client->closed);
  return client_text (client);
}

static UNUSED int
client_status (struct client *client)
{
  const char *text = client_text (client);

  return strncmp (text, "HTTP/1.1 ", 9) == 0 ? atoi (text + 9) : 0;
}

#endif
