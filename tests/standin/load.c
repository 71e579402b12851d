/*
 * Sends open-loop load to entry hosts or, for comparison, directly to
 * standin-engine.  The seed decides arrivals, customers, priorities and
 * prompts; the number of calls and the time are limited.  Verifies every
 * response token by token.  Prints key=value lines; exits 1 if a response had
 * wrong, duplicate or missing tokens, or was truncated.
 */

#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "histogram.h"
#include "jsonutil.h"
#include "rng.h"
#include "timeutil.h"
#include "token.h"
#include "uuid.h"

#define NAME_SIZE 64
#define LIST_ITEMS_LIMIT 32
#define CODES_LIMIT 10000
#define LINE_LIMIT 65536
#define PROMPT_LIMIT 65536
#define CALL_TIMEOUT_S 3600
/* Number of the newest bookings that may be sent again. */
#define REPEATABLE_BOOKINGS_LIMIT 64

enum call_kind
{
  CALL_STREAMED,
  CALL_UNSTREAMED,
  CALL_SERVICE,
};

/* An item that is picked with a probability of share / total of the list. */
struct weighted_item
{
  char name[NAME_SIZE];
  char value[NAME_SIZE]; /* credential of a customer; else equals name */
  double share;
};

struct weighted_list
{
  struct weighted_item items[LIST_ITEMS_LIMIT];
  size_t count;
  double total;
};

/* A booking request that may be sent again with the same key. */
struct booking
{
  const struct weighted_item *customer;
  char key[UUID_SIZE];
  uint64_t crew;
};

struct test;

struct connection
{
  struct evhttp_connection *http;
  uint16_t port;
  LIST_ENTRY (connection) link;
};

struct call
{
  struct test *test;
  struct connection *connection;
  enum call_kind kind;
  bool chat;
  bool non_repeatable;
  int64_t due_us; /* scheduled time of sending, CLOCK_MONOTONIC */
  char *prompt;   /* as the engine receives it */
  uint64_t max_tokens;
  uint64_t next_token; /* index of the next expected token */
  bool has_first_token;
  bool ended;     /* received [DONE] or a whole body */
  bool has_fault; /* a fault was counted; later ones are not */
  int error_code; /* from an error event or body; 0: none */
  char outcome[16];
  const struct weighted_item *customer;
  char id[NAME_SIZE];
  char key[UUID_SIZE];
  bool replayed;
  struct evbuffer *text;     /* received text, for the record file */
  struct evbuffer *unparsed; /* an incomplete line, or the whole body */
  TAILQ_ENTRY (call) link;
};

LIST_HEAD (connection_list, connection);
TAILQ_HEAD (call_list, call);

struct test
{
  struct event_base *base;
  struct event *arrival_timer;
  struct event *drain_timer;
  struct event *free_connections_event;
  struct rng rng;
  struct connection_list idle_connections;
  struct connection_list closed_connections; /* to be freed */
  struct call_list calls;
  uint16_t ports[LIST_ITEMS_LIMIT];
  size_t port_count;
  struct weighted_list customers;
  struct weighted_list priorities;
  FILE *record_file; /* NULL: none */
  int seed;
  double repeat_share;
  /* ring buffer */
  struct booking repeatable_bookings[REPEATABLE_BOOKINGS_LIMIT];
  uint64_t booking_count;
  const char *model;
  const char *service;
  const char *direct_group; /* group to call without an entry host, or NULL */
  int generation;           /* of direct_group */
  double rate;              /* calls per second */
  double streamed_share;
  double chat_share;
  double service_share;
  double get_share; /* of service calls */
  int prompt_bytes;
  int prompts; /* number of different prompts */
  uint64_t mean_tokens;
  int deadline_ms;         /* of a call; 0: none */
  uint64_t count;          /* limit of sent and skipped calls */
  int64_t end_us;          /* no arrivals from then on, CLOCK_MONOTONIC */
  int64_t start_us;        /* CLOCK_MONOTONIC */
  int64_t next_arrival_us; /* CLOCK_MONOTONIC */
  int drain_ms;            /* wait for open calls after the last arrival */
  size_t in_flight_limit;

  size_t in_flight;
  uint64_t sent;
  uint64_t skipped; /* not sent, because in_flight_limit was reached */
  uint64_t succeeded;
  uint64_t rejected;
  uint64_t without_response;
  uint64_t broken_streams; /* ended with an error event */
  /* calls by their first fault */
  uint64_t wrong; /* a wrong token or a malformed response */
  uint64_t doubled;
  uint64_t truncated;
  uint64_t missing;
  uint64_t tokens;             /* verified tokens */
  uint64_t codes[CODES_LIMIT]; /* by error code or HTTP status; 0: success */
  uint64_t not_run;            /* rejected with the outcome not-run */
  uint64_t unknown_outcome;    /* rejected with any other outcome */
  FILE *first_token_file;      /* each time to first token, one per line */
  struct ev_token_bucket_cfg *read_rate; /* of slow readers; NULL: no limit */
  struct histogram first_token_us;
  struct histogram total_us;
  struct histogram service_us;
  json_t *booking_serials; /* finds a booking that two calls received */
};

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* Parses items NAME:VALUE:SHARE or NAME:SHARE that are separated by commas. */
static bool
parse_list (struct weighted_list *list, const char *text, bool has_value)
{
  char *copy = strdup (text);
  char *rest = NULL;
  bool ok = copy != NULL;

  for (char *item = ok ? strtok_r (copy, ",", &rest) : NULL; item != NULL && ok;
       item = strtok_r (NULL, ",", &rest))
    {
      struct weighted_item *entry = &list->items[list->count];
      char *part = NULL;
      const char *name = strtok_r (item, ":", &part);
      const char *value = has_value ? strtok_r (NULL, ":", &part) : name;
      const char *share = strtok_r (NULL, ":", &part);

      ok = list->count < LIST_ITEMS_LIMIT && name != NULL && value != NULL
           && share != NULL;
      if (!ok)
        break;
      snprintf (entry->name, sizeof entry->name, "%s", name);
      snprintf (entry->value, sizeof entry->value, "%s", value);
      entry->share = strtod (share, NULL);
      list->total += entry->share;
      list->count++;
    }
  free (copy);
  return ok && list->count > 0 && list->total > 0;
}

static bool
parse_ports (struct test *test, const char *text)
{
  while (*text != '\0' && test->port_count < LIST_ITEMS_LIMIT)
    {
      char *end;
      unsigned long port = strtoul (text, &end, 10);

      if (end == text || port == 0 || port > 65535)
        return false;
      test->ports[test->port_count++] = (uint16_t)port;
      text = *end == ',' ? end + 1 : end;
    }
  return test->port_count > 0;
}

static const struct weighted_item *
pick_item (struct test *test, const struct weighted_list *list)
{
  double at = rng_real (&test->rng) * list->total;

  for (size_t i = 0; i + 1 < list->count; i++)
    {
      if (at < list->items[i].share)
        return &list->items[i];
      at -= list->items[i].share;
    }
  return &list->items[list->count - 1];
}

/* Connections: reused only after a complete response. */

static void
schedule_connection_free (struct test *test, struct connection *connection)
{
  /* evhttp may be in a callback of this connection, so free it by an event. */
  LIST_INSERT_HEAD (&test->closed_connections, connection, link);
  event_active (test->free_connections_event, 0, 0);
}

static void
on_free_connections (evutil_socket_t fd, short what, void *context)
{
  struct test *test = context;
  struct connection *connection;

  (void)fd;
  (void)what;
  while ((connection = LIST_FIRST (&test->closed_connections)) != NULL)
    {
      LIST_REMOVE (connection, link);
      evhttp_connection_free (connection->http);
      free (connection);
    }
}

static struct connection *
get_connection (struct test *test, uint16_t port)
{
  struct connection *connection;

  LIST_FOREACH (connection, &test->idle_connections, link)
    if (connection->port == port)
      {
        LIST_REMOVE (connection, link);
        return connection;
      }
  connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return NULL;
  connection->port = port;
  connection->http
      = evhttp_connection_base_new (test->base, NULL, "127.0.0.1", port);
  evhttp_connection_set_timeout (connection->http, CALL_TIMEOUT_S);
  if (test->read_rate != NULL)
    bufferevent_set_rate_limit (
        evhttp_connection_get_bufferevent (connection->http), test->read_rate);
  return connection;
}

/* Verification */

static void
record_text (struct call *call, const char *bytes, size_t size)
{
  if (call->test->record_file != NULL)
    evbuffer_add (call->text, bytes, size);
}

static void
count_fault (struct call *call, uint64_t *fault)
{
  if (!call->has_fault)
    (*fault)++;
  call->has_fault = true;
}

static void
check_token (struct call *call, const char *text)
{
  const char *model = call->test->model;
  char expected[STANDIN_TOKEN_SIZE];

  if (call->next_token < call->max_tokens)
    {
      standin_token (model, call->prompt, call->next_token, expected);
      if (strcmp (text, expected) == 0)
        {
          call->next_token++;
          call->test->tokens++;
          return;
        }
    }
  for (uint64_t i = 0; i < call->max_tokens; i++)
    {
      standin_token (model, call->prompt, i, expected);
      if (strcmp (text, expected) == 0)
        {
          count_fault (call, i < call->next_token ? &call->test->doubled
                                                  : &call->test->missing);
          return;
        }
    }
  count_fault (call, &call->test->wrong);
}

static void
record_first_token (struct call *call)
{
  int64_t us = now_us () - call->due_us;

  if (!call->has_first_token)
    {
      histogram_add (&call->test->first_token_us, (uint64_t)us);
      if (call->test->first_token_file != NULL)
        fprintf (call->test->first_token_file, "%" PRId64 "\n", us);
    }
  call->has_first_token = true;
}

static void
read_error (struct call *call, const json_t *json)
{
  const json_t *error = json_object_get (json, "error");
  uint64_t code;

  if (json_read_u64 (error, "code", &code) && code < CODES_LIMIT)
    call->error_code = (int)code;
  json_read_string (error, "outcome", call->outcome, sizeof call->outcome);
}

static const char *
extract_text (const struct call *call, const json_t *json)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);

  if (call->test->direct_group != NULL)
    return json_string_value (json_object_get (json, "text"));
  if (!call->chat)
    return json_string_value (json_object_get (choice, "text"));
  return json_string_value (json_object_get (
      json_object_get (choice,
                       call->kind == CALL_STREAMED ? "delta" : "message"),
      "content"));
}

static void
handle_event_data (struct call *call, const char *data)
{
  json_t *json;
  const char *text;

  if (strcmp (data, "[DONE]") == 0)
    {
      call->ended = true;
      return;
    }
  json = json_loads (data, 0, NULL);
  text = extract_text (call, json);
  if (json_object_get (json, "error") != NULL)
    read_error (call, json);
  else if (text == NULL)
    count_fault (call, &call->test->wrong);
  else if (text[0] != '\0')
    {
      record_text (call, text, strlen (text));
      record_first_token (call);
      check_token (call, text);
    }
  json_decref (json);
}

static void
handle_event_lines (struct call *call)
{
  char *line;

  while ((line = evbuffer_readln (call->unparsed, NULL, EVBUFFER_EOL_LF))
         != NULL)
    {
      if (strncmp (line, "data: ", 6) == 0)
        handle_event_data (call, line + 6);
      free (line);
    }
}

static void
check_unstreamed_response (struct call *call, const json_t *json)
{
  const char *text = extract_text (call, json);
  char expected[STANDIN_TOKEN_SIZE];

  if (text == NULL)
    {
      count_fault (call, &call->test->wrong);
      return;
    }
  record_text (call, text, strlen (text));
  for (; call->next_token < call->max_tokens; call->next_token++)
    {
      standin_token (call->test->model, call->prompt, call->next_token,
                     expected);
      if (strncmp (text, expected, strlen (expected)) != 0)
        break;
      text += strlen (expected);
      call->test->tokens++;
    }
  if (*text != '\0')
    count_fault (call, &call->test->wrong);
  else if (call->next_token < call->max_tokens)
    count_fault (call, &call->test->truncated);
  call->ended = true;
}

static void
check_service_response (struct call *call, const json_t *json)
{
  uint64_t serial;
  char key[32];

  call->ended = true;
  if (!call->non_repeatable)
    return;
  if (!json_read_u64 (json, "serial", &serial))
    {
      count_fault (call, &call->test->wrong);
      return;
    }
  snprintf (key, sizeof key, "%" PRIu64, serial);
  if (!call->replayed
      && json_object_get (call->test->booking_serials, key) != NULL)
    count_fault (call, &call->test->doubled);
  json_object_set_new (call->test->booking_serials, key, json_true ());
}

/* Calls */

static const char *
get_kind_name (const struct call *call)
{
  if (call->kind == CALL_SERVICE)
    return call->non_repeatable ? "booking" : "read";
  return call->chat ? "chat" : "completion";
}

/* Writes a line for standin-check.  Status 0 means that no response came. */
static void
record_call (struct call *call, int status)
{
  struct test *test = call->test;
  size_t size = evbuffer_get_length (call->text);
  const char *outcome = call->outcome;
  json_t *json;

  if (test->record_file == NULL)
    return;
  if (outcome[0] == '\0')
    outcome = status >= 200 && status < 300 && call->ended ? "done" : "unknown";
  json = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:s,s:b,s:b,s:s%}", "customer",
      call->customer->name, "request_id", call->id, "idempotency_key",
      call->key, "kind", get_kind_name (call), "model", test->model, "prompt",
      call->prompt != NULL ? call->prompt : "", "max_tokens",
      (json_int_t)call->max_tokens, "status", status, "code", call->error_code,
      "outcome", outcome, "ended", call->ended, "replayed", call->replayed,
      "text", size > 0 ? (const char *)evbuffer_pullup (call->text, -1) : "",
      size);
  /* A call that is missing in the record could hide a fault. */
  if (json == NULL || json_dumpf (json, test->record_file, JSON_COMPACT) != 0
      || fputc ('\n', test->record_file) == EOF)
    {
      fprintf (stderr, "standin-load: cannot write the record\n");
      exit (EXIT_FAILURE);
    }
  json_decref (json);
}

static void
free_call (struct call *call)
{
  TAILQ_REMOVE (&call->test->calls, call, link);
  call->test->in_flight--;
  evbuffer_free (call->unparsed);
  evbuffer_free (call->text);
  free (call->prompt);
  free (call);
}

static void
count_rejection (struct call *call, int status)
{
  struct test *test = call->test;

  test->rejected++;
  /* A response without an error code of the daemon counts by HTTP status. */
  test->codes[call->error_code != 0 ? call->error_code : status]++;
  if (strcmp (call->outcome, "not-run") == 0)
    test->not_run++;
  else
    test->unknown_outcome++;
}

static void
count_success (struct call *call)
{
  struct test *test = call->test;
  uint64_t duration_us = (uint64_t)(now_us () - call->due_us);

  test->succeeded++;
  test->codes[0]++;
  if (call->kind == CALL_SERVICE)
    histogram_add (&test->service_us, duration_us);
  else
    {
      /* An unstreamed response has its first token at its end. */
      record_first_token (call);
      histogram_add (&test->total_us, duration_us);
    }
}

static void
classify_call (struct call *call, int status)
{
  struct test *test = call->test;

  if (status == 0)
    {
      test->without_response++;
      if (call->kind == CALL_STREAMED && call->next_token > 0)
        count_fault (call, &test->truncated);
      return;
    }
  if (call->error_code != 0)
    {
      if (call->kind == CALL_STREAMED && status == 200)
        test->broken_streams++;
      if (call->ended)
        count_fault (call, &test->wrong);
      count_rejection (call, status);
      return;
    }
  if (status >= 400)
    {
      count_rejection (call, status);
      return;
    }
  if (call->kind == CALL_STREAMED && !call->ended)
    count_fault (call, &test->truncated);
  else if (call->kind == CALL_STREAMED && call->next_token < call->max_tokens)
    count_fault (call, &test->missing);
  count_success (call);
}

static void
on_chunk (struct evhttp_request *request, void *context)
{
  struct call *call = context;

  evbuffer_add_buffer (call->unparsed,
                       evhttp_request_get_input_buffer (request));
  if (call->kind == CALL_STREAMED
      && evhttp_request_get_response_code (request) == 200)
    handle_event_lines (call);
}

static void
handle_body (struct call *call, int status)
{
  size_t size = evbuffer_get_length (call->unparsed);
  json_t *json = json_loadb ((const char *)evbuffer_pullup (call->unparsed, -1),
                             size, 0, NULL);

  if (status >= 400)
    read_error (call, json);
  else if (call->kind == CALL_UNSTREAMED)
    check_unstreamed_response (call, json);
  else
    {
      record_text (call, (const char *)evbuffer_pullup (call->unparsed, -1),
                   size);
      check_service_response (call, json);
    }
  json_decref (json);
}

static void
on_done (struct evhttp_request *request, void *context)
{
  struct call *call = context;
  struct test *test = call->test;
  int status = request != NULL ? evhttp_request_get_response_code (request) : 0;
  const char *connection_header
      = status != 0 ? evhttp_find_header (
            evhttp_request_get_input_headers (request), "Connection")
                    : "close";

  if (status != 0)
    {
      on_chunk (request, call);
      call->replayed
          = evhttp_find_header (evhttp_request_get_input_headers (request),
                                "Idempotency-Replayed")
            != NULL;
    }
  if (status != 0 && (call->kind != CALL_STREAMED || status != 200))
    handle_body (call, status);
  classify_call (call, status);
  record_call (call, status);
  if (connection_header != NULL
      && evutil_ascii_strcasecmp (connection_header, "close") == 0)
    schedule_connection_free (test, call->connection);
  else
    LIST_INSERT_HEAD (&test->idle_connections, call->connection, link);
  free_call (call);
  if (test->in_flight == 0 && !evtimer_pending (test->arrival_timer, NULL))
    event_base_loopbreak (test->base);
}

static json_t *
build_generation_body (struct test *test, struct call *call, const char *prompt)
{
  json_t *json = json_pack ("{s:s,s:I}", "model", test->model, "max_tokens",
                            (json_int_t)call->max_tokens);

  if (test->direct_group != NULL)
    json_object_set_new (json, "resume_from", json_integer (0));
  else
    json_object_set_new (json, "stream",
                         json_boolean (call->kind == CALL_STREAMED));
  if (call->chat)
    json_object_set_new (
        json, "messages",
        json_pack ("[{s:s,s:s}]", "role", "user", "content", prompt));
  else
    json_object_set_new (json, "prompt", json_string (prompt));
  return json;
}

/* Writes one of test->prompts prompts, so that prefix caches have hits. */
static void
make_prompt (struct test *test, char *out, size_t size)
{
  uint64_t number = rng_below (&test->rng, (uint64_t)test->prompts);
  size_t used = (size_t)snprintf (out, size, "prompt %" PRIu64 " ", number);

  for (; used < (size_t)test->prompt_bytes && used + 2 < size; used++)
    out[used] = (char)('a' + (number + used) % 26);
  out[used] = '\0';
}

static bool
build_generation_request (struct test *test,
                          struct call *call,
                          struct evhttp_request *request,
                          const char **path)
{
  static char prompt[PROMPT_LIMIT];
  json_t *json;
  char *text;

  make_prompt (test, prompt, sizeof prompt);
  call->kind = test->direct_group != NULL
                       || rng_real (&test->rng) < test->streamed_share
                   ? CALL_STREAMED
                   : CALL_UNSTREAMED;
  call->chat
      = test->direct_group == NULL && rng_real (&test->rng) < test->chat_share;
  call->max_tokens = 1 + rng_below (&test->rng, 2 * test->mean_tokens - 1);
  if (!call->chat)
    call->prompt = strdup (prompt);
  else if (asprintf (&call->prompt, "user: %s\nassistant:", prompt) < 0)
    call->prompt = NULL;
  *path = call->chat ? "/v1/chat/completions" : "/v1/completions";
  json = build_generation_body (test, call, prompt);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  if (call->prompt == NULL || text == NULL)
    {
      free (text);
      return false;
    }
  evbuffer_add (evhttp_request_get_output_buffer (request), text,
                strlen (text));
  free (text);
  return true;
}

static void
build_service_request (struct test *test,
                       struct call *call,
                       struct evhttp_request *request,
                       char *path,
                       size_t size)
{
  struct booking *booking;

  call->kind = CALL_SERVICE;
  call->non_repeatable = rng_real (&test->rng) >= test->get_share;
  snprintf (path, size, "/v1/services/%s/bookings", test->service);
  if (!call->non_repeatable)
    return;
  if (test->booking_count > 0 && rng_real (&test->rng) < test->repeat_share)
    {
      uint64_t kept = test->booking_count < REPEATABLE_BOOKINGS_LIMIT
                          ? test->booking_count
                          : REPEATABLE_BOOKINGS_LIMIT;

      booking = &test->repeatable_bookings[rng_below (&test->rng, kept)];
    }
  else
    {
      booking = &test->repeatable_bookings[test->booking_count++
                                           % REPEATABLE_BOOKINGS_LIMIT];
      booking->customer = call->customer;
      booking->crew = test->sent;
      uuid_generate (booking->key);
    }
  call->customer = booking->customer;
  memcpy (call->key, booking->key, sizeof call->key);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Idempotency-Key", call->key);
  evbuffer_add_printf (evhttp_request_get_output_buffer (request),
                       "{\"crew\":%" PRIu64 "}", booking->crew);
}

static void
set_headers (struct test *test,
             const struct call *call,
             struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char text[2 * NAME_SIZE];

  evhttp_add_header (headers, "Host", "127.0.0.1");
  evhttp_add_header (headers, "X-Priority",
                     pick_item (test, &test->priorities)->name);
  snprintf (text, sizeof text, "Bearer %s", call->customer->value);
  evhttp_add_header (headers, "Authorization", text);
  evhttp_add_header (headers, "X-Request-Id", call->id);
  if (test->deadline_ms > 0)
    {
      snprintf (text, sizeof text, "%d", test->deadline_ms);
      evhttp_add_header (headers, "X-Deadline-Ms", text);
    }
  if (test->direct_group != NULL)
    {
      evhttp_add_header (headers, "X-Group", test->direct_group);
      snprintf (text, sizeof text, "%d", test->generation);
      evhttp_add_header (headers, "X-Generation", text);
    }
}

static void
send_call (struct test *test, int64_t due_us)
{
  struct call *call = calloc (1, sizeof *call);
  struct evhttp_request *request;
  const char *path = NULL;
  char service_path[2 * NAME_SIZE];
  enum evhttp_cmd_type method = EVHTTP_REQ_POST;

  if (call == NULL)
    return;
  call->test = test;
  call->due_us = due_us;
  call->unparsed = evbuffer_new ();
  call->text = evbuffer_new ();
  call->customer = pick_item (test, &test->customers);
  snprintf (call->id, sizeof call->id, "load-%d-%" PRIu64, test->seed,
            test->sent);
  TAILQ_INSERT_TAIL (&test->calls, call, link);
  test->in_flight++;
  request = evhttp_request_new (on_done, call);
  evhttp_request_set_chunked_cb (request, on_chunk);
  if (test->service != NULL && rng_real (&test->rng) < test->service_share)
    {
      build_service_request (test, call, request, service_path,
                             sizeof service_path);
      path = service_path;
      if (!call->non_repeatable)
        method = EVHTTP_REQ_GET;
    }
  else if (!build_generation_request (test, call, request, &path))
    {
      evhttp_request_free (request);
      free_call (call);
      return;
    }
  set_headers (test, call, request);
  call->connection
      = get_connection (test, test->ports[test->sent % test->port_count]);
  test->sent++;
  if (evhttp_make_request (call->connection->http, request, method, path) != 0)
    {
      test->without_response++;
      record_call (call, 0);
      schedule_connection_free (test, call->connection);
      free_call (call);
    }
}

/* Sends the calls that are due; arrivals are a Poisson process. */
static void
on_arrival_due (evutil_socket_t fd, short what, void *context)
{
  struct test *test = context;
  struct timeval delay = { 0, 0 };
  int64_t now = now_us ();

  (void)fd;
  (void)what;
  while (test->next_arrival_us <= now && test->next_arrival_us < test->end_us
         && test->sent + test->skipped < test->count)
    {
      if (test->in_flight < test->in_flight_limit)
        send_call (test, test->next_arrival_us);
      else
        test->skipped++;
      test->next_arrival_us
          += (int64_t)(-log (1 - rng_real (&test->rng)) / test->rate * 1e6);
    }
  if (test->next_arrival_us >= test->end_us
      || test->sent + test->skipped >= test->count)
    {
      delay.tv_sec = test->drain_ms / 1000;
      delay.tv_usec = (suseconds_t)(test->drain_ms % 1000) * 1000;
      evtimer_add (test->drain_timer, &delay);
      if (test->in_flight == 0)
        event_base_loopbreak (test->base);
      return;
    }
  if (test->next_arrival_us > now)
    {
      delay.tv_sec = (test->next_arrival_us - now) / 1000000;
      delay.tv_usec = (test->next_arrival_us - now) % 1000000;
    }
  evtimer_add (test->arrival_timer, &delay);
}

static void
on_drain_timeout (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (context);
}

static void
print_latency (const char *name, const struct histogram *histogram)
{
  static const struct
  {
    const char *name;
    double quantile;
  } rows[] = { { "p50", 0.5 }, { "p95", 0.95 }, { "p99", 0.99 }, { "max", 1 } };

  printf ("%s_count=%" PRIu64 "\n", name, histogram->count);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    printf ("%s_%s_us=%" PRIu64 "\n", name, rows[i].name,
            histogram_quantile (histogram, rows[i].quantile));
}

static int
print_report (struct test *test, double seconds)
{
  struct call *call;

  /* Calls that are still open at the end of the drain time got no response. */
  TAILQ_FOREACH (call, &test->calls, link)
    {
      test->without_response++;
      record_call (call, 0);
    }
  printf ("seconds=%.3f\nsent=%" PRIu64 "\nskipped=%" PRIu64
          "\nanswered=%" PRIu64 "\nrefused=%" PRIu64 "\nunanswered=%" PRIu64
          "\nbroken_streams=%" PRIu64 "\n",
          seconds, test->sent, test->skipped, test->succeeded, test->rejected,
          test->without_response, test->broken_streams);
  printf ("answered_per_second=%.1f\ntokens=%" PRIu64
          "\ntokens_per_second=%.1f\n",
          (double)test->succeeded / seconds, test->tokens,
          (double)test->tokens / seconds);
  print_latency ("first_token", &test->first_token_us);
  print_latency ("total", &test->total_us);
  print_latency ("service", &test->service_us);
  for (int i = 0; i < CODES_LIMIT; i++)
    if (test->codes[i] > 0)
      printf ("code_%d=%" PRIu64 "\n", i, test->codes[i]);
  printf ("refused_not_run=%" PRIu64 "\nrefused_unknown=%" PRIu64 "\n",
          test->not_run, test->unknown_outcome);
  printf ("wrong=%" PRIu64 "\ndouble=%" PRIu64 "\ntruncated=%" PRIu64
          "\nmissing=%" PRIu64 "\n",
          test->wrong, test->doubled, test->truncated, test->missing);
  return test->wrong + test->doubled + test->truncated + test->missing == 0
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}

static void
free_test (struct test *test)
{
  struct connection *connection;
  struct call *call;

  while ((call = TAILQ_FIRST (&test->calls)) != NULL)
    {
      LIST_INSERT_HEAD (&test->closed_connections, call->connection, link);
      free_call (call);
    }
  while ((connection = LIST_FIRST (&test->idle_connections)) != NULL)
    {
      LIST_REMOVE (connection, link);
      LIST_INSERT_HEAD (&test->closed_connections, connection, link);
    }
  on_free_connections (-1, 0, test);
  event_free (test->arrival_timer);
  event_free (test->drain_timer);
  event_free (test->free_connections_event);
  event_base_free (test->base);
  json_decref (test->booking_serials);
}

static int
run_test (struct test *test, int seconds)
{
  struct timeval now = { 0, 0 };
  int status;

  signal (SIGPIPE, SIG_IGN);
  test->base = event_base_new ();
  test->arrival_timer = evtimer_new (test->base, on_arrival_due, test);
  test->drain_timer = evtimer_new (test->base, on_drain_timeout, test->base);
  test->free_connections_event
      = event_new (test->base, -1, 0, on_free_connections, test);
  test->booking_serials = json_object ();
  LIST_INIT (&test->idle_connections);
  LIST_INIT (&test->closed_connections);
  TAILQ_INIT (&test->calls);
  histogram_init (&test->first_token_us);
  histogram_init (&test->total_us);
  histogram_init (&test->service_us);
  test->start_us = now_us ();
  test->next_arrival_us = test->start_us;
  test->end_us = test->start_us + (int64_t)seconds * 1000000;
  evtimer_add (test->arrival_timer, &now);
  event_base_dispatch (test->base);
  status = print_report (test, (double)(now_us () - test->start_us) / 1e6);
  free_test (test);
  return status;
}

static int
int_or_default (const struct arg_int *option, int fallback)
{
  return option->count > 0 ? option->ival[0] : fallback;
}

static double
real_or_default (const struct arg_dbl *option, double fallback)
{
  return option->count > 0 ? option->dval[0] : fallback;
}

static const char *
text_or_default (const struct arg_str *option, const char *fallback)
{
  return option->count > 0 ? option->sval[0] : fallback;
}

int
main (int argc, char **argv)
{
  struct arg_str *ports
      = arg_str1 (NULL, "ports", "LIST", "ports on 127.0.0.1, used in turn");
  struct arg_str *customers
      = arg_str0 (NULL, "customers", "N:CREDENTIAL:SHARE,...",
                  "calling customers (acme:acme:1)");
  struct arg_str *priorities = arg_str0 (NULL, "priorities", "N:SHARE,...",
                                         "mix of priorities (normal:1)");
  struct arg_str *model = arg_str0 (NULL, "model", "NAME", "model (m)");
  struct arg_str *service
      = arg_str0 (NULL, "service", "NAME", "service for bookings");
  struct arg_dbl *service_share
      = arg_dbl0 (NULL, "service-share", "X", "share of service calls (0.1)");
  struct arg_dbl *get_share = arg_dbl0 (
      NULL, "get-share", "X", "share of reads in service calls (0.5)");
  struct arg_str *group = arg_str0 (NULL, "direct", "GROUP",
                                    "call this group of an engine directly");
  struct arg_int *generation = arg_int0 (
      NULL, "generation", "N", "generation of the group of --direct (1)");
  struct arg_dbl *rate = arg_dbl0 (NULL, "rate", "X", "calls per second (100)");
  struct arg_int *count = arg_int0 (NULL, "count", "N", "calls (1000)");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "time limit for sending (10)");
  struct arg_int *drain
      = arg_int0 (NULL, "drain-ms", "MS", "wait for open calls (10000)");
  struct arg_int *in_flight
      = arg_int0 (NULL, "in-flight", "N", "limit of open calls (2000)");
  struct arg_dbl *streamed
      = arg_dbl0 (NULL, "streamed", "X", "share of streamed calls (0.5)");
  struct arg_dbl *chat = arg_dbl0 (NULL, "chat", "X",
                                   "share of calls in the chat format (0.25)");
  struct arg_int *tokens
      = arg_int0 (NULL, "tokens", "N", "mean tokens per response (16)");
  struct arg_int *prompt_bytes
      = arg_int0 (NULL, "prompt-bytes", "N", "size of a prompt (200)");
  struct arg_int *prompts
      = arg_int0 (NULL, "prompts", "N", "different prompts (1000)");
  struct arg_int *deadline
      = arg_int0 (NULL, "deadline-ms", "MS", "deadline of a call (none)");
  struct arg_dbl *repeat = arg_dbl0 (
      NULL, "repeat", "X", "share of bookings that are sent again (0)");
  struct arg_str *record = arg_str0 (NULL, "record", "FILE",
                                     "a JSON line per call, for standin-check");
  struct arg_int *read_rate = arg_int0 (NULL, "read-bytes-per-s", "N",
                                        "read rate of a connection (no limit)");
  struct arg_str *first_file = arg_str0 (
      NULL, "first-file", "PATH", "writes each time to first token, in us");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed (1)");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (5);
  void *table[]
      = { ports,         customers, priorities, model,  service,   get_share,
          service_share, group,     generation, rate,   count,     seconds,
          drain,         in_flight, streamed,   chat,   tokens,    prompt_bytes,
          prompts,       deadline,  repeat,     record, read_rate, first_file,
          seed,          help,      end };
  int errors = arg_parse (argc, argv, table);
  int status = 2;
  struct test *test = calloc (1, sizeof *test);

  if (help->count > 0)
    {
      printf ("usage: standin-load");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-36s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "standin-load");
  else if (test != NULL)
    {
      test->model = text_or_default (model, "m");
      test->service = text_or_default (service, NULL);
      test->direct_group = text_or_default (group, NULL);
      test->generation = int_or_default (generation, 1);
      test->rate = real_or_default (rate, 100);
      test->streamed_share = real_or_default (streamed, 0.5);
      test->chat_share = real_or_default (chat, 0.25);
      test->service_share = real_or_default (service_share, 0.1);
      test->get_share = real_or_default (get_share, 0.5);
      test->prompt_bytes = int_or_default (prompt_bytes, 200);
      test->prompts = int_or_default (prompts, 1000);
      test->mean_tokens = (uint64_t)int_or_default (tokens, 16);
      test->deadline_ms = int_or_default (deadline, 0);
      test->count = (uint64_t)int_or_default (count, 1000);
      test->drain_ms = int_or_default (drain, 10000);
      test->in_flight_limit = (size_t)int_or_default (in_flight, 2000);
      test->seed = int_or_default (seed, 1);
      test->repeat_share = real_or_default (repeat, 0);
      rng_init (&test->rng, (uint64_t)test->seed);
      if (first_file->count > 0)
        test->first_token_file = fopen (first_file->sval[0], "w");
      if (read_rate->count > 0 && read_rate->ival[0] > 0)
        test->read_rate = ev_token_bucket_cfg_new (
            (size_t)read_rate->ival[0], (size_t)read_rate->ival[0],
            EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, NULL);
      if (first_file->count > 0 && test->first_token_file == NULL)
        fprintf (stderr, "standin-load: cannot write %s\n",
                 first_file->sval[0]);
      else if (!parse_ports (test, ports->sval[0])
               || !parse_list (&test->customers,
                               text_or_default (customers, "acme:acme:1"), true)
               || !parse_list (&test->priorities,
                               text_or_default (priorities, "normal:1"), false)
               || test->rate <= 0 || test->mean_tokens == 0
               || test->prompts <= 0 || test->prompt_bytes >= PROMPT_LIMIT)
        fprintf (stderr, "standin-load: invalid list or number\n");
      else if (record->count > 0
               && (test->record_file = fopen (record->sval[0], "w")) == NULL)
        fprintf (stderr, "standin-load: cannot write %s\n", record->sval[0]);
      else
        status = run_test (test, int_or_default (seconds, 10));
      if (test->record_file != NULL && fclose (test->record_file) != 0)
        status = EXIT_FAILURE;
      if (test->first_token_file != NULL
          && fclose (test->first_token_file) != 0)
        status = EXIT_FAILURE;
      if (test->read_rate != NULL)
        ev_token_bucket_cfg_free (test->read_rate);
    }
  free (test);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
