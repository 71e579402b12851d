#include "caller.h"

#include "http-connection.h"
#include "users-platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 3500
/* The caller reads for this long after its deadline, to see late responses. */
#define READ_AFTER_DEADLINE_MS 900
#define THINK_TIME_LIMIT_MS 120 /* longest time between two requests */
#define ATTEMPT_LIMIT 3
#define RETRY_DELAY_MS 100       /* before a retry without Retry-After */
#define DISCONNECT_PERCENT 2     /* of attempts: the caller disconnects early */
#define DISCONNECT_WITHIN_MS 300 /* after the start of the attempt */
/* Of responses: the caller closes its connection afterwards. */
#define CLOSE_PERCENT 5
/* Of attempts: the caller names another customer than that of its key. */
#define FORGED_CUSTOMER_PERCENT 3
/* Of requests: any key is used, even one that was revoked. */
#define ANY_KEY_PERCENT 25
/* A stream has at least EVENTS_MIN and fewer than EVENTS_MIN + EVENTS_SPREAD
   events. */
#define EVENTS_MIN 3
#define EVENTS_SPREAD 60
#define SILENCE_TIMEOUT_MS 8000
#define MESSAGE_LIMIT_BYTES 1048576

struct caller_connection
{
  struct caller *caller; /* NULL = closed, to be freed */
  struct http_connection http;
  struct http_text request; /* sent once connected */
  struct http_text body;
  bool connected;
};

static void
close_connection (struct caller *caller)
{
  struct caller_connection *connection = caller->connection;

  if (connection == NULL)
    return;
  caller->connection = NULL;
  connection->caller = NULL;
  http_connection_finish (&connection->http);
  http_text_finish (&connection->request);
  http_text_finish (&connection->body);
  http_free_later (caller->callers->base, connection);
}

static void
end_request (struct caller *caller, bool served)
{
  struct callers *callers = caller->callers;

  if (!caller->has_disconnected)
    {
      callers->counts[caller->kind].ended++;
      callers->counts[caller->kind].served += served ? 1 : 0;
    }
  caller->is_active = false;
  caller->has_disconnected = false;
  caller->next_attempt_ms
      = callers->now_ms
        + (int64_t)rng_below (&callers->rng, THINK_TIME_LIMIT_MS);
}

/*
 * Ends the attempt, and plans a retry or ends the request.  may_retry is true
 * if the rules of the platform's callers permit a retry.
 */
static void
finish_attempt (struct caller *caller,
                bool served,
                bool may_retry,
                int64_t retry_delay_ms)
{
  struct callers *callers = caller->callers;
  struct ledger_attempt *attempt = caller->attempt;

  caller->attempt = NULL;
  caller->disconnect_at_ms = 0;
  if (attempt->kind == CATALOG_STREAM)
    caller->next_event = attempt->next_event;
  if (served || !may_retry || ++caller->attempt_count >= ATTEMPT_LIMIT
      || callers->stopped || caller->next_event > caller->event_count)
    {
      end_request (caller, served);
      return;
    }
  caller->needs_new_connection = true;
  caller->next_attempt_ms = callers->now_ms + retry_delay_ms;
}

static void
send_request (struct caller_connection *connection)
{
  http_connection_write (&connection->http, connection->request.data,
                         connection->request.size);
  http_text_reset (&connection->request);
}

static void
on_connected (void *context)
{
  struct caller_connection *connection = context;

  connection->connected = true;
  if (connection->caller != NULL)
    send_request (connection);
}

static void
on_head (void *context, const struct http_head *head)
{
  struct caller_connection *connection = context;

  (void)head;
  http_text_reset (&connection->body);
}

/* Passes the complete events in the body to the ledger. */
static void
record_events (struct caller_connection *connection)
{
  struct caller *caller = connection->caller;
  struct http_text *body = &connection->body;
  char *end;

  http_text_add (body, "", 1);
  body->size--;
  while ((end = strstr (body->data, "\n\n")) != NULL)
    {
      *end = '\0';
      ledger_record_event (caller->callers->ledger, caller->attempt,
                           body->data);
      http_text_remove_prefix (body, (size_t)(end + 2 - body->data));
      body->data[body->size] = '\0';
    }
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct caller_connection *connection = context;
  struct caller *caller = connection->caller;

  http_text_add (&connection->body, data, size);
  if (caller != NULL && caller->attempt != NULL
      && caller->attempt->kind == CATALOG_STREAM
      && connection->http.head.status == 200)
    record_events (connection);
}

static int64_t
retry_after_ms (const struct http_head *head)
{
  const char *text = http_head_get (head, "Retry-After");

  return text != NULL ? (int64_t)(strtod (text, NULL) * 1000) : RETRY_DELAY_MS;
}

static void
on_complete (void *context)
{
  struct caller_connection *connection = context;
  struct caller *caller = connection->caller;
  const struct http_head *head = &connection->http.head;
  struct callers *callers;
  const char *id;
  unsigned status = head->status;

  if (caller == NULL)
    return;
  callers = caller->callers;
  if (caller->attempt == NULL)
    {
      ledger_report_violation (callers->ledger, "MIXED",
                               "%s sent status %u without a request",
                               caller->host->name, status);
      close_connection (caller);
      return;
    }
  id = http_head_get (head, users_platform.header_names->request_id);
  if (id != NULL && strcmp (id, caller->attempt->id) != 0)
    ledger_report_violation (callers->ledger, "MIXED",
                             "%s got the response of %s", caller->attempt->id,
                             id);
  http_text_add (&connection->body, "", 1);
  ledger_record_response (
      callers->ledger, caller->attempt, status,
      http_head_get (head, users_platform.header_names->seal),
      connection->body.data);
  finish_attempt (caller, status < 300,
                  ledger_is_not_run_status (status)
                      || (ledger_is_repeatable (caller->kind, caller->resumable)
                          && status >= 500),
                  retry_after_ms (head));
  if (!http_connection_is_reusable (&connection->http)
      || rng_below (&callers->rng, 100) < CLOSE_PERCENT)
    close_connection (caller);
}

static void
on_closed (void *context, enum http_end end)
{
  struct caller_connection *connection = context;
  struct caller *caller = connection->caller;
  struct callers *callers;
  struct ledger_attempt *attempt;

  (void)end;
  if (caller == NULL)
    return;
  callers = caller->callers;
  attempt = caller->attempt;
  if (attempt != NULL)
    {
      if (connection->connected)
        ledger_end_attempt (callers->ledger, attempt, LEDGER_DISCONNECTED);
      else
        ledger_end_attempt (callers->ledger, attempt, LEDGER_ABANDONED);
      /* Nothing was sent without a connection, so a retry is safe. */
      finish_attempt (
          caller, false,
          !connection->connected
              || ledger_is_repeatable (caller->kind, caller->resumable),
          RETRY_DELAY_MS);
    }
  close_connection (caller);
}

static const struct http_events connection_events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

/*
 * Picks a host of the caller's data centre as the platform's balancer would:
 * one in rotation, or any if fewer than half are in rotation.
 */
static struct host *
pick_host (struct caller *caller)
{
  struct callers *callers = caller->callers;
  struct host *candidates[callers->host_count];
  unsigned ready = 0;
  unsigned total = 0;

  for (unsigned i = 0; i < callers->host_count; i++)
    if (strcmp (callers->hosts[i].data_centre, caller->data_centre) == 0)
      {
        total++;
        if (callers->hosts[i].in_rotation)
          candidates[ready++] = &callers->hosts[i];
      }
  if (ready > 0 && ready * 2 >= total)
    return candidates[rng_below (&callers->rng, ready)];
  ready = 0;
  for (unsigned i = 0; i < callers->host_count; i++)
    if (strcmp (callers->hosts[i].data_centre, caller->data_centre) == 0)
      candidates[ready++] = &callers->hosts[i];
  return candidates[rng_below (&callers->rng, ready)];
}

static struct caller_connection *
open_connection (struct caller *caller)
{
  const struct http_limits limits
      = { MESSAGE_LIMIT_BYTES, MESSAGE_LIMIT_BYTES };
  struct caller_connection *connection = calloc (1, sizeof *connection);

  if (connection == NULL)
    abort ();
  connection->caller = caller;
  http_text_init (&connection->request);
  http_text_init (&connection->body);
  caller->host = pick_host (caller);
  if (http_connection_connect (&connection->http, caller->callers->base,
                               caller->host->address, HOST_CALLERS_PORT,
                               SILENCE_TIMEOUT_MS, &limits, &connection_events,
                               connection)
      != RESULT_OK)
    {
      free (connection);
      return NULL;
    }
  return connection;
}

static void
choose_key (struct caller *caller)
{
  struct callers *callers = caller->callers;
  const struct operator* operator= callers->operator;
  bool any_key = rng_below (&callers->rng, 100) < ANY_KEY_PERCENT;

  for (unsigned i = 0; i < OPERATOR_CUSTOMERS * OPERATOR_KEYS; i++)
    {
      caller->customer
          = (unsigned)rng_below (&callers->rng, OPERATOR_CUSTOMERS);
      caller->key = (unsigned)rng_below (&callers->rng, OPERATOR_KEYS);
      if (any_key || !operator->key_revoked[caller->customer][caller->key])
        return;
    }
}

static void
choose_request (struct caller *caller)
{
  static const struct
  {
    unsigned percent; /* of requests */
    const char *prefix;
    enum catalog_kind kind;
    bool resumable;
  } request_kinds[] = {
    { 35, "/resumed/", CATALOG_STREAM, true },
    { 15, "/stream/", CATALOG_STREAM, false },
    { 25, "/unsafe/", CATALOG_UNSAFE, false },
    { 15, "/safe/", CATALOG_SAFE, false },
    { 10, "/moved/", CATALOG_SAFE, false },
  };
  struct callers *callers = caller->callers;
  unsigned draw = (unsigned)rng_below (&callers->rng, 100);
  unsigned i = 0;

  while (draw >= request_kinds[i].percent)
    draw -= request_kinds[i++].percent;
  caller->kind = request_kinds[i].kind;
  caller->resumable = request_kinds[i].resumable;
  snprintf (caller->target, sizeof caller->target, "%so%llu",
            request_kinds[i].prefix,
            (unsigned long long)rng_below (&callers->rng, 100000));
  caller->body[0] = '\0';
  if (caller->kind != CATALOG_SAFE)
    snprintf (caller->body, sizeof caller->body, "{\"n\":%llu}",
              (unsigned long long)rng_below (&callers->rng, 1000000));
  caller->model = NULL;
  caller->event_count = UINT64_MAX;
  caller->next_event = 1;
  if (caller->kind == CATALOG_STREAM)
    {
      caller->model
          = operator_models
                .models[rng_below (&callers->rng, operator_models.model_count)]
                .name;
      caller->event_count
          = EVENTS_MIN + rng_below (&callers->rng, EVENTS_SPREAD);
    }
  choose_key (caller);
  caller->attempt_count = 0;
  caller->is_active = true;
}

static void
fill_attempt (struct caller *caller, struct ledger_attempt *attempt)
{
  attempt->kind = caller->kind;
  attempt->resumable = caller->resumable;
  snprintf (attempt->method, sizeof attempt->method, "%s",
            caller->kind == CATALOG_SAFE ? "GET" : "POST");
  memcpy (attempt->target, caller->target, sizeof attempt->target);
  memcpy (attempt->body, caller->body, sizeof attempt->body);
  snprintf (attempt->model, sizeof attempt->model, "%s",
            caller->model != NULL ? caller->model : "");
  operator_format_key (attempt->key, sizeof attempt->key, caller->customer,
                       caller->key);
  snprintf (attempt->customer, sizeof attempt->customer, "customer-%u",
            caller->customer);
  attempt->timeout_ms = DEADLINE_MS;
  attempt->sent_ms = caller->callers->now_ms;
  attempt->host = caller->host;
  if (caller->kind == CATALOG_STREAM)
    {
      attempt->first_event = caller->next_event;
      attempt->next_event = caller->next_event;
      attempt->event_count = caller->event_count;
    }
}

static void
write_request (const struct caller *caller,
               const struct ledger_attempt *attempt,
               struct http_text *text)
{
  const struct relay_names *names = users_platform.header_names;

  http_text_format (text, "%s %s HTTP/1.1\r\nHost: %s\r\n", attempt->method,
                    attempt->target, ROUTE_HOST);
  http_text_add_field (text, names->request_id, attempt->id);
  http_text_format (text, "%s: %d\r\n", names->deadline, DEADLINE_MS);
  http_text_format (text, "%s: %s %s\r\n", names->credential,
                    names->credential_scheme, attempt->key);
  if (rng_below (&caller->callers->rng, 100) < FORGED_CUSTOMER_PERCENT)
    http_text_add_field (text, names->customer, "somebody-else");
  if (caller->model != NULL)
    {
      http_text_add_field (text, names->model, caller->model);
      http_text_format (text, "%s: 100,%llu\r\n", names->token_counts,
                        (unsigned long long)caller->event_count);
    }
  if (caller->kind == CATALOG_STREAM && caller->next_event > 1)
    http_text_format (text, "%s: %llu\r\n", names->last_event_id,
                      (unsigned long long)caller->next_event - 1);
  if (caller->kind != CATALOG_SAFE)
    http_text_format (text, "Content-Length: %zu\r\n", strlen (caller->body));
  http_text_add_string (text, "\r\n");
  http_text_add_string (text, caller->body);
}

static void
start_attempt (struct caller *caller)
{
  struct callers *callers = caller->callers;
  struct caller_connection *connection;
  bool reused;
  char id[32];

  if (caller->needs_new_connection)
    close_connection (caller);
  caller->needs_new_connection = false;
  reused = caller->connection != NULL;
  if (!reused)
    caller->connection = open_connection (caller);
  connection = caller->connection;
  if (connection == NULL)
    {
      caller->next_attempt_ms = callers->now_ms + RETRY_DELAY_MS;
      return;
    }
  snprintf (id, sizeof id, "%016llx",
            (unsigned long long)rng_next (&callers->rng));
  caller->attempt = ledger_add_attempt (callers->ledger, id);
  fill_attempt (caller, caller->attempt);
  ledger_note_sent (callers->ledger, caller->attempt);
  write_request (caller, caller->attempt, &connection->request);
  if (rng_below (&callers->rng, 100) < DISCONNECT_PERCENT)
    caller->disconnect_at_ms
        = callers->now_ms + 1
          + (int64_t)rng_below (&callers->rng, DISCONNECT_WITHIN_MS);
  if (reused)
    {
      http_connection_next_message (&connection->http, false);
      send_request (connection);
    }
}

static void
tick_caller (struct caller *caller)
{
  struct callers *callers = caller->callers;
  struct ledger_attempt *attempt = caller->attempt;

  if (attempt != NULL)
    {
      bool disconnects = caller->disconnect_at_ms != 0
                         && callers->now_ms >= caller->disconnect_at_ms;
      bool timed_out = callers->now_ms - attempt->sent_ms
                       > attempt->timeout_ms + READ_AFTER_DEADLINE_MS;

      if (!disconnects && !timed_out)
        return;
      caller->has_disconnected = disconnects;
      ledger_end_attempt (callers->ledger, attempt, LEDGER_ABANDONED);
      close_connection (caller);
      finish_attempt (caller, false, false, 0);
      return;
    }
  if (callers->now_ms < caller->next_attempt_ms)
    return;
  if (!caller->is_active)
    {
      if (callers->stopped)
        return;
      choose_request (caller);
    }
  start_attempt (caller);
}

void
callers_init (struct callers *callers,
              struct event_base *base,
              struct ledger *ledger,
              const struct
              operator*
              operator,
              struct host * hosts,
              unsigned host_count,
              const char *const *data_centres,
              unsigned data_centre_count,
              unsigned count,
              uint64_t seed)
{
  memset (callers, 0, sizeof *callers);
  callers->base = base;
  callers->ledger = ledger;
  callers->operator= operator;
  callers->hosts = hosts;
  callers->host_count = host_count;
  callers->count = count;
  rng_init (&callers->rng, seed);
  callers->list = calloc (count, sizeof *callers->list);
  if (callers->list == NULL)
    abort ();
  for (unsigned i = 0; i < count; i++)
    {
      callers->list[i].callers = callers;
      callers->list[i].data_centre = data_centres[i % data_centre_count];
    }
}

void
callers_finish (struct callers *callers)
{
  for (unsigned i = 0; i < callers->count; i++)
    close_connection (&callers->list[i]);
  free (callers->list);
}

void
callers_tick (struct callers *callers, int64_t now_ms)
{
  callers->now_ms = now_ms;
  for (unsigned i = 0; i < callers->count; i++)
    tick_caller (&callers->list[i]);
}

void
callers_reset_counts (struct callers *callers)
{
  memset (callers->counts, 0, sizeof callers->counts);
}

bool
callers_are_idle (const struct callers *callers)
{
  for (unsigned i = 0; i < callers->count; i++)
    if (callers->list[i].attempt != NULL)
      return false;
  return true;
}
