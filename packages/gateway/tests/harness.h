#ifndef GATEWAY_HARNESS_H
#define GATEWAY_HARNESS_H

/*
 * A gateway with two model groups and two service hosts on one event loop,
 * scripted endpoints that answer the nth connection with the nth script, and
 * a raw HTTP client.  Waits are for conditions, with a bound that only a
 * failing test reaches.
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
#define CALLS_LIMIT 64
#define SCRIPTS_LIMIT 8
#define LOG_LIMIT 65536

struct world;

/* A connection that an endpoint accepted. */
struct call
{
  struct world *world;
  int endpoint;
  struct bufferevent *bev;
  char *text; /* the request, NUL-terminated; kept for the test */
  bool answered;
  bool complete; /* the connection may carry another call */
  bool closed;   /* by the gateway */
  bool dripping;
};

/*
 * Scripts are words: a number = the token with this index; D = [DONE];
 * E = proper end of the body; R = reset; F = close without an end; H = hold
 * the connection; N = reset before reading the answer; 409, 429, 400, 500,
 * 503 and leaving = that answer; ok = service answer 201; bad = an event that
 * is no token; flood = tokens without end; drip = a comment every 20 ms;
 * endless = bytes without end; error = the start of an answer 500 of unknown
 * length; stale = an answer to another request.
 */
struct world
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
  bool absent[4]; /* the host attests nothing */
  const char *scripts[SCRIPTS_LIMIT];
  size_t script_count;
  struct call calls[CALLS_LIMIT];
  size_t call_count;
  size_t script_calls; /* those of them that took a script */
  size_t cancels;
  size_t accepted;  /* connections */
  uint64_t flooded; /* tokens sent by the flood script */
  char log[LOG_LIMIT];
  size_t log_used;
  int64_t limit_ms;
  size_t broadcast;
  bool acknowledged;
  size_t asked;
};

struct client
{
  struct bufferevent *bev;
  struct evbuffer *got;
  bool closed;
  char *text; /* all that came, after client_wait */
};

static char harness_dc[][SHEET_NAME_SIZE] = { "dc1" };
static char harness_elsewhere[][SHEET_NAME_SIZE] = { "dc2", "dc3" };
static char harness_calls[][SHEET_NAME_SIZE] = { "POST /bookings" };
static char harness_acme[][SHEET_NAME_SIZE] = { "acme", "faraway" };

static UNUSED void
wait_start (struct world *world)
{
  world->limit_ms = time_boot_ms () + WAIT_LIMIT_MS;
}

static UNUSED void
wait_step (struct world *world)
{
  assert_true (time_boot_ms () < world->limit_ms);
  event_base_loop (world->base, EVLOOP_ONCE);
}

#define WAIT_FOR(world, condition)                                             \
  do                                                                           \
    {                                                                          \
      wait_start (world);                                                      \
      while (!(condition))                                                     \
        wait_step (world);                                                     \
    }                                                                          \
  while (0)

static void
harness_log (void *context, enum log_level level, const char *line)
{
  struct world *world = context;
  int n;

  (void)level;
  if (world->log_used + strlen (line) + 2 > sizeof world->log)
    return;
  n = sprintf (world->log + world->log_used, "%s\n", line);
  world->log_used += (size_t)n;
}

/* Scripted endpoints */

static void
call_reset (struct call *call)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (call->bev), SOL_SOCKET, SO_LINGER, &linger,
              sizeof linger);
  bufferevent_free (call->bev);
  call->bev = NULL;
}

static void
call_chunk (struct call *call, const char *data)
{
  char event[256];

  snprintf (event, sizeof event, "data: %s\n\n", data);
  evbuffer_add_printf (bufferevent_get_output (call->bev), "%zx\r\n%s\r\n",
                       strlen (event), event);
}

static void
call_token (struct call *call, unsigned long index)
{
  char data[64];

  snprintf (data, sizeof data, "{\"index\":%lu,\"text\":\"w%lu \"}", index,
            index);
  call_chunk (call, data);
}

static void
call_status (struct call *call, int status, const char *body)
{
  evbuffer_add_printf (bufferevent_get_output (call->bev),
                       "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                       "Content-Length: %zu\r\n\r\n%s",
                       status, strlen (body), body);
  call->complete = true;
}

static void
call_header (struct call *call)
{
  evbuffer_add_printf (bufferevent_get_output (call->bev),
                       "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
}

static void
on_flood (struct bufferevent *bev, void *context)
{
  struct call *call = context;

  (void)bev;
  for (int i = 0; i < 256; i++)
    call_token (call, call->world->flooded++);
}

/* Bytes that end neither a line nor an answer. */
static void
on_endless (struct bufferevent *bev, void *context)
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
on_flushed (struct bufferevent *bev, void *context)
{
  struct call *call = context;

  (void)bev;
  call_reset (call);
}

static void
on_flushed_close (struct bufferevent *bev, void *context)
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

#define STALE_BODY "data: {\"index\":0,\"text\":\"stale \"}\n\ndata: [DONE]\n\n"

static void
call_play (struct call *call, const char *script)
{
  char copy[256];
  char *rest = NULL;
  bool started = false;

  snprintf (copy, sizeof copy, "%s", script);
  for (char *word = strtok_r (copy, " ", &rest); word != NULL;
       word = strtok_r (NULL, " ", &rest))
    {
      bool number = *word >= '0' && *word <= '9' && strlen (word) < 3;
      bool status = *word >= '4' && *word <= '5' && strlen (word) == 3;

      if (!started && !status && strcmp (word, "leaving") != 0
          && strcmp (word, "ok") != 0 && strcmp (word, "H") != 0
          && strcmp (word, "N") != 0 && strcmp (word, "error") != 0
          && strcmp (word, "stale") != 0)
        {
          started = true;
          call_header (call);
        }
      if (number)
        call_token (call, strtoul (word, NULL, 10));
      else if (status)
        call_status (call, atoi (word), "{\"error\":\"x\"}");
      else if (strcmp (word, "leaving") == 0)
        call_status (call, 503, "{\"error\":\"leaving\"}");
      else if (strcmp (word, "ok") == 0)
        call_status (call, 201, "{\"serial\":7}");
      else if (strcmp (word, "bad") == 0)
        call_chunk (call, "{\"index\":");
      else if (strcmp (word, "D") == 0)
        call_chunk (call, "[DONE]");
      else if (strcmp (word, "E") == 0)
        {
          evbuffer_add_printf (bufferevent_get_output (call->bev), "0\r\n\r\n");
          call->complete = true;
        }
      else if (strcmp (word, "N") == 0)
        {
          call_reset (call);
          return;
        }
      else if (strcmp (word, "R") == 0)
        bufferevent_setcb (call->bev, NULL, on_flushed, on_call_event, call);
      else if (strcmp (word, "F") == 0)
        bufferevent_setcb (call->bev, NULL, on_flushed_close, on_call_event,
                           call);
      else if (strcmp (word, "drip") == 0)
        call->dripping = true;
      else if (strcmp (word, "error") == 0)
        {
          started = true;
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
      else if (strcmp (word, "endless") == 0)
        {
          bufferevent_setcb (call->bev, NULL, on_endless, on_call_event, call);
          on_endless (call->bev, call);
        }
      else if (strcmp (word, "flood") == 0)
        {
          bufferevent_setcb (call->bev, NULL, on_flood, on_call_event, call);
          on_flood (call->bev, call);
        }
      else
        assert_string_equal (word, "H");
    }
}

static void
on_call_data (struct bufferevent *bev, void *context)
{
  struct call *call = context;
  struct world *world = call->world;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t size = evbuffer_get_length (input);
  const char *end;
  const char *length;
  size_t body = 0;

  if (call->complete && size > 0)
    {
      struct call *next = &world->calls[world->call_count++];

      assert_true (world->call_count <= CALLS_LIMIT);
      next->world = world;
      next->endpoint = call->endpoint;
      next->bev = bev;
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
  if (strlen (end + 4) < body)
    return;
  call->answered = true;
  evbuffer_drain (input, size);
  if (strncmp (call->text, "POST /v1/cancel ", 16) == 0)
    {
      world->cancels++;
      call_status (call, 200, "{}");
      return;
    }
  assert_true (world->script_count > 0);
  call_play (call, world->scripts[world->script_calls < world->script_count
                                      ? world->script_calls
                                      : world->script_count - 1]);
  world->script_calls++;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int size,
           void *context)
{
  struct world *world = context;
  struct call *call = &world->calls[world->call_count++];

  (void)address;
  (void)size;
  world->accepted++;
  assert_true (world->call_count <= CALLS_LIMIT);
  call->world = world;
  for (int i = 0; i < 4; i++)
    if (world->listeners[i] == listener)
      call->endpoint = i;
  call->bev = bufferevent_socket_new (world->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (call->bev, on_call_data, NULL, on_call_event, call);
  bufferevent_enable (call->bev, EV_READ | EV_WRITE);
}

/* The nth connection that took a script. */
static UNUSED struct call *
world_call (struct world *world, size_t n)
{
  for (size_t i = 0; i < world->call_count; i++)
    if (world->calls[i].text != NULL
        && strncmp (world->calls[i].text, "POST /v1/cancel ", 16) != 0
        && n-- == 0)
      return &world->calls[i];
  return NULL;
}

/* Tables */

static void
world_attest (struct world *world)
{
  for (int i = 0; i < 4; i++)
    {
      char id[8];
      struct fleet_host *host;

      snprintf (id, sizeof id, "e%d", i);
      host = fleet_find_host (&world->fleet, id);
      if (!world->absent[i])
        host->attested.seen_ms = time_boot_ms ();
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  struct world *world = context;
  struct timeval period = { 0, TICK_US };

  (void)fd;
  (void)what;
  world_attest (world);
  choose_tick (&world->chooser, &world->fleet, time_boot_ms ());
  gateway_tick (&world->gateway, time_boot_ms ());
  for (size_t i = 0; i < world->call_count; i++)
    if (world->calls[i].dripping && world->calls[i].bev != NULL)
      evbuffer_add_printf (bufferevent_get_output (world->calls[i].bev),
                           "5\r\n: c\n\n\r\n");
  evtimer_add (world->tick, &period);
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
world_sheet (struct world *world)
{
  struct sheet *sheet = &world->sheet;
  struct sheet_list here = { harness_dc, 1 };
  struct sheet_list there = { harness_elsewhere, 2 };
  struct sheet_list calls = { harness_calls, 1 };
  struct sheet_list acme = { harness_acme, 2 };

  sheet_init (sheet);
  sheet->number = 1;
  snprintf (world->models[0].name, SHEET_NAME_SIZE, "m");
  add_customer (&world->customers[0], "acme", here);
  add_customer (&world->customers[1], "faraway", there);
  add_customer (&world->customers[2], "other", here);
  snprintf (world->groups[0].name, SHEET_NAME_SIZE, "row");
  snprintf (world->groups[0].model, SHEET_NAME_SIZE, "m");
  world->groups[0].span = 1;
  world->groups[0].count = 2;
  world->groups[0].data_centres = here;
  world->groups[0].customers = acme;
  snprintf (world->services[0].name, SHEET_NAME_SIZE, "app");
  world->services[0].data_centres = here;
  world->services[0].non_idempotent = calls;
  sheet->models = world->models;
  sheet->model_count = 1;
  sheet->customers = world->customers;
  sheet->customer_count = 3;
  sheet->groups = world->groups;
  sheet->group_count = 1;
  sheet->services = world->services;
  sheet->service_count = 1;
}

static void
world_fleet (struct world *world)
{
  fleet_init (&world->fleet);
  for (int i = 0; i < 4; i++)
    {
      char id[8];
      struct fleet_host *host;

      snprintf (id, sizeof id, "e%d", i);
      host = fleet_add_host (&world->fleet, id);
      snprintf (host->data_centre, sizeof host->data_centre, "dc1");
      snprintf (host->address, sizeof host->address, "127.0.0.1");
      snprintf (host->attested.boot_id, FLEET_NAME_SIZE, "boot-%d", i);
      host->port = world->ports[i];
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
          group = fleet_add_group (&world->fleet, id);
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
world_listen (struct world *world)
{
  for (int i = 0; i < 4; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t size = sizeof address;

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      world->listeners[i] = evconnlistener_new_bind (
          world->base, on_accept, world,
          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
          (struct sockaddr *)&address, sizeof address);
      assert_non_null (world->listeners[i]);
      getsockname (evconnlistener_get_fd (world->listeners[i]),
                   (struct sockaddr *)&address, &size);
      world->ports[i] = ntohs (address.sin_port);
    }
}

/* After this a connection to the endpoint is refused, and none is open. */
static UNUSED void
world_close_endpoint (struct world *world, int i)
{
  evconnlistener_free (world->listeners[i]);
  world->listeners[i] = NULL;
  for (size_t c = 0; c < world->call_count; c++)
    if (world->calls[c].endpoint == i && world->calls[c].bev != NULL)
      {
        bufferevent_free (world->calls[c].bev);
        world->calls[c].bev = NULL;
      }
}

/* Fills the limits with the defaults; change them before world_start. */
static UNUSED struct world *
world_new (void)
{
  struct world *world = calloc (1, sizeof *world);

  signal (SIGPIPE, SIG_IGN);
  assert_non_null (world);
  gateway_limits_default (&world->limits);
  /* Small socket buffers, so that backpressure needs little data. */
  world->limits.send_buffer_bytes = 8192;
  return world;
}

static UNUSED void
world_start (struct world *world)
{
  static const struct admission_limits limits
      = { .queue_per_customer = 64, .queue_total = 256, .ageing_ms = 1000 };
  struct gateway_tables *tables = &world->tables;

  world->base = event_base_new ();
  log_set_sink (harness_log, world);
  world_listen (world);
  world_sheet (world);
  world_fleet (world);
  chooser_init (&world->chooser, 1);
  admission_init (&world->admission, &limits);
  admission_set_slots (&world->admission, "model/m", 16);
  admission_set_slots (&world->admission, "service/app", 16);
  strikes_init (&world->strikes, 1000);
  counter_set_init (&world->counters, 1000);
  tables->sheet = &world->sheet;
  tables->fleet = &world->fleet;
  tables->chooser = &world->chooser;
  tables->admission = &world->admission;
  tables->strikes = &world->strikes;
  tables->counters = &world->counters;
  tables->data_centre = "dc1";
  world_attest (world);
  assert_int_equal (gateway_init (&world->gateway, world->base, tables,
                                  &world->limits, "127.0.0.1", 0, 1),
                    RESULT_OK);
  world->tick = evtimer_new (world->base, on_tick, world);
  on_tick (-1, 0, world);
}

static UNUSED void
world_free (struct world *world)
{
  gateway_finish (&world->gateway);
  admission_finish (&world->admission);
  chooser_finish (&world->chooser);
  strikes_finish (&world->strikes);
  counter_set_finish (&world->counters);
  fleet_finish (&world->fleet);
  event_free (world->tick);
  for (int i = 0; i < 4; i++)
    if (world->listeners[i] != NULL)
      evconnlistener_free (world->listeners[i]);
  for (size_t i = 0; i < world->call_count; i++)
    {
      if (world->calls[i].bev != NULL)
        bufferevent_free (world->calls[i].bev);
      free (world->calls[i].text);
    }
  log_set_sink (NULL, NULL);
  event_base_free (world->base);
  free (world);
}

static UNUSED size_t
world_log_count (const struct world *world, const char *text)
{
  size_t count = 0;

  for (const char *at = world->log; (at = strstr (at, text)) != NULL; at++)
    count++;
  return count;
}

/* Client */

static void
on_client_data (struct bufferevent *bev, void *context)
{
  struct client *client = context;

  evbuffer_add_buffer (client->got, bufferevent_get_input (bev));
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
client_open (struct world *world, struct client *client, int receive_buffer)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (world->gateway.port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  memset (client, 0, sizeof *client);
  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                sizeof receive_buffer);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  client->got = evbuffer_new ();
  client->bev = bufferevent_socket_new (world->base, fd, BEV_OPT_CLOSE_ON_FREE);
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
  if (client->got != NULL)
    evbuffer_free (client->got);
  free (client->text);
  memset (client, 0, sizeof *client);
}

/* extra: further header lines, each with its CR LF. */
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
  size_t size = evbuffer_get_length (client->got);

  free (client->text);
  client->text = calloc (1, size + 1);
  evbuffer_copyout (client->got, client->text, size);
  return client->text;
}

static UNUSED const char *
client_wait (struct world *world, struct client *client)
{
  WAIT_FOR (world, client->closed);
  return client_text (client);
}

static UNUSED int
client_status (struct client *client)
{
  const char *text = client_text (client);

  return strncmp (text, "HTTP/1.1 ", 9) == 0 ? atoi (text + 9) : 0;
}

#endif
