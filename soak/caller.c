#include "caller.h"

#include "http-connection.h"
#include "users-platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_MS 3500
/* The caller reads on for so long after its deadline, to see what comes. */
#define READ_ON_MS 900
#define THINK_MS 120 /* at most, between two requests */
#define TRIES 3
#define RETRY_MS 100 /* before a retry that no Retry-After asks for */
#define LEAVE_PART 2 /* in 100 requests: the caller leaves in the middle */
#define LEAVE_WITHIN_MS 300
#define CLOSE_PART 5 /* in 100 answers: the caller closes its connection */
/* In 100 requests: the caller names another customer than its key's. */
#define FORGED_PART 3
/* In 100 requests: with any key, also one that was taken away. */
#define ANY_KEY_PART 25
#define EVENTS_LEAST 3
#define EVENTS_SPREAD 60
#define SILENCE_MS 8000
#define LIMIT_BYTES 1048576

struct caller_connection
{
  struct caller *caller; /* NULL = dropped */
  struct http_connection http;
  struct http_text request; /* to be sent once connected */
  struct http_text body;
  bool connected;
};

static void
drop_connection (struct caller *caller)
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

  if (!caller->left)
    {
      callers->counts[caller->kind].asked++;
      callers->counts[caller->kind].served += served ? 1 : 0;
    }
  caller->under_way = false;
  caller->left = false;
  caller->next_ms
      = callers->now_ms + (int64_t)rng_below (&callers->rng, THINK_MS);
}

/* The attempt has ended; may_retry as the platform's callers see it. */
static void
after_attempt (struct caller *caller,
               bool served,
               bool may_retry,
               int64_t wait_ms)
{
  struct callers *callers = caller->callers;
  struct ledger_attempt *attempt = caller->attempt;

  caller->attempt = NULL;
  caller->leave_ms = 0;
  if (attempt->kind == CATALOG_STREAM)
    caller->next_event = attempt->next_event;
  if (served || !may_retry || ++caller->tries >= TRIES || callers->stopped
      || caller->next_event > caller->events)
    {
      end_request (caller, served);
      return;
    }
  caller->stay_away = true;
  caller->next_ms = callers->now_ms + wait_ms;
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

/* Hands whole events to the ledger. */
static void
take_events (struct caller_connection *connection)
{
  struct caller *caller = connection->caller;
  struct http_text *body = &connection->body;
  char *end;

  http_text_add (body, "", 1);
  body->size--;
  while ((end = strstr (body->data, "\n\n")) != NULL)
    {
      *end = '\0';
      ledger_event (caller->callers->ledger, caller->attempt, body->data);
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
    take_events (connection);
}

static int64_t
retry_after_ms (const struct http_head *head)
{
  const char *text = http_head_get (head, "Retry-After");

  return text != NULL ? (int64_t)(strtod (text, NULL) * 1000) : RETRY_MS;
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
      ledger_violate (callers->ledger, "MIXED",
                      "%s answers %u though nothing was asked",
                      caller->host->name, status);
      drop_connection (caller);
      return;
    }
  id = http_head_get (head, users_platform.names->request_id);
  if (id != NULL && strcmp (id, caller->attempt->id) != 0)
    ledger_violate (callers->ledger, "MIXED", "%s got the answer of %s",
                    caller->attempt->id, id);
  http_text_add (&connection->body, "", 1);
  ledger_answer (callers->ledger, caller->attempt, status,
                 http_head_get (head, users_platform.names->seal),
                 connection->body.data);
  after_attempt (caller, status < 300,
                 ledger_is_promise (status)
                     || (ledger_is_repeatable (caller->kind, caller->resumable)
                         && status >= 500),
                 retry_after_ms (head));
  if (!http_connection_is_reusable (&connection->http)
      || rng_below (&callers->rng, 100) < CLOSE_PART)
    drop_connection (caller);
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
        ledger_end (callers->ledger, attempt, LEDGER_BROKEN);
      else
        ledger_end (callers->ledger, attempt, LEDGER_GIVEN_UP);
      /* Without a connection nothing was sent. */
      after_attempt (
          caller, false,
          !connection->connected
              || ledger_is_repeatable (caller->kind, caller->resumable),
          RETRY_MS);
    }
  drop_connection (caller);
}

static const struct http_events events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

/* A host as the platform's balancer would pick it. */
static struct host *
pick_host (struct caller *caller)
{
  struct callers *callers = caller->callers;
  struct host *found[callers->host_count];
  unsigned ready = 0;
  unsigned total = 0;

  for (unsigned i = 0; i < callers->host_count; i++)
    if (strcmp (callers->hosts[i].data_centre, caller->data_centre) == 0)
      {
        total++;
        if (callers->hosts[i].in_rotation)
          found[ready++] = &callers->hosts[i];
      }
  if (ready > 0 && ready * 2 >= total)
    return found[rng_below (&callers->rng, ready)];
  ready = 0;
  for (unsigned i = 0; i < callers->host_count; i++)
    if (strcmp (callers->hosts[i].data_centre, caller->data_centre) == 0)
      found[ready++] = &callers->hosts[i];
  return found[rng_below (&callers->rng, ready)];
}

static struct caller_connection *
open_connection (struct caller *caller)
{
  const struct http_limits limits = { LIMIT_BYTES, LIMIT_BYTES };
  struct caller_connection *connection = calloc (1, sizeof *connection);

  if (connection == NULL)
    abort ();
  connection->caller = caller;
  http_text_init (&connection->request);
  http_text_init (&connection->body);
  caller->host = pick_host (caller);
  if (http_connection_connect (&connection->http, caller->callers->base,
                               caller->host->address, HOST_CALLERS_PORT,
                               SILENCE_MS, &limits, &events, connection)
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
  bool any = rng_below (&callers->rng, 100) < ANY_KEY_PART;

  for (unsigned i = 0; i < OPERATOR_CUSTOMERS * OPERATOR_KEYS; i++)
    {
      caller->customer
          = (unsigned)rng_below (&callers->rng, OPERATOR_CUSTOMERS);
      caller->key = (unsigned)rng_below (&callers->rng, OPERATOR_KEYS);
      if (any || !operator->key_taken[caller->customer][caller->key])
        return;
    }
}

static void
choose_request (struct caller *caller)
{
  static const struct
  {
    unsigned part; /* of 100 */
    const char *prefix;
    enum catalog_kind kind;
    bool resumable;
  } kinds[] = {
    { 35, "/resumed/", CATALOG_STREAM, true },
    { 15, "/stream/", CATALOG_STREAM, false },
    { 25, "/unsafe/", CATALOG_UNSAFE, false },
    { 15, "/safe/", CATALOG_SAFE, false },
    { 10, "/moved/", CATALOG_SAFE, false },
  };
  struct callers *callers = caller->callers;
  unsigned draw = (unsigned)rng_below (&callers->rng, 100);
  unsigned i = 0;

  while (draw >= kinds[i].part)
    draw -= kinds[i++].part;
  caller->kind = kinds[i].kind;
  caller->resumable = kinds[i].resumable;
  snprintf (caller->target, sizeof caller->target, "%so%llu", kinds[i].prefix,
            (unsigned long long)rng_below (&callers->rng, 100000));
  caller->body[0] = '\0';
  if (caller->kind != CATALOG_SAFE)
    snprintf (caller->body, sizeof caller->body, "{\"n\":%llu}",
              (unsigned long long)rng_below (&callers->rng, 1000000));
  caller->model = NULL;
  caller->events = UINT64_MAX;
  caller->next_event = 1;
  if (caller->kind == CATALOG_STREAM)
    {
      caller->model
          = operator_models
                .models[rng_below (&callers->rng, operator_models.model_count)]
                .name;
      caller->events = EVENTS_LEAST + rng_below (&callers->rng, EVENTS_SPREAD);
    }
  choose_key (caller);
  caller->tries = 0;
  caller->under_way = true;
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
  operator_key (attempt->key, sizeof attempt->key, caller->customer,
                caller->key);
  snprintf (attempt->customer, sizeof attempt->customer, "customer-%u",
            caller->customer);
  attempt->deadline_ms = DEADLINE_MS;
  attempt->sent_ms = caller->callers->now_ms;
  attempt->host = caller->host;
  if (caller->kind == CATALOG_STREAM)
    {
      attempt->first_event = caller->next_event;
      attempt->next_event = caller->next_event;
      attempt->events = caller->events;
    }
}

static void
write_request (const struct caller *caller,
               const struct ledger_attempt *attempt,
               struct http_text *text)
{
  const struct relay_names *names = users_platform.names;

  http_text_format (text, "%s %s HTTP/1.1\r\nHost: %s\r\n", attempt->method,
                    attempt->target, ROUTE_HOST);
  http_text_add_field (text, names->request_id, attempt->id);
  http_text_format (text, "%s: %d\r\n", names->deadline, DEADLINE_MS);
  http_text_format (text, "%s: %s %s\r\n", names->credential,
                    names->credential_scheme, attempt->key);
  if (rng_below (&caller->callers->rng, 100) < FORGED_PART)
    http_text_add_field (text, names->customer, "somebody-else");
  if (caller->model != NULL)
    {
      http_text_add_field (text, names->model, caller->model);
      http_text_format (text, "%s: 100,%llu\r\n", names->token_counts,
                        (unsigned long long)caller->events);
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

  if (caller->stay_away)
    drop_connection (caller);
  caller->stay_away = false;
  reused = caller->connection != NULL;
  if (!reused)
    caller->connection = open_connection (caller);
  connection = caller->connection;
  if (connection == NULL)
    {
      caller->next_ms = callers->now_ms + RETRY_MS;
      return;
    }
  snprintf (id, sizeof id, "%016llx",
            (unsigned long long)rng_next (&callers->rng));
  caller->attempt = ledger_add (callers->ledger, id);
  fill_attempt (caller, caller->attempt);
  write_request (caller, caller->attempt, &connection->request);
  if (rng_below (&callers->rng, 100) < LEAVE_PART)
    caller->leave_ms = callers->now_ms + 1
                       + (int64_t)rng_below (&callers->rng, LEAVE_WITHIN_MS);
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
      bool leaves
          = caller->leave_ms != 0 && callers->now_ms >= caller->leave_ms;
      bool late = callers->now_ms - attempt->sent_ms
                  > attempt->deadline_ms + READ_ON_MS;

      if (!leaves && !late)
        return;
      caller->left = leaves;
      ledger_end (callers->ledger, attempt, LEDGER_GIVEN_UP);
      drop_connection (caller);
      after_attempt (caller, false, false, 0);
      return;
    }
  if (callers->now_ms < caller->next_ms)
    return;
  if (!caller->under_way)
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
    drop_connection (&callers->list[i]);
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
