/*
 * Open-loop load on an entry host, or straight on a stand-in of the engine for
 * comparison.  Arrivals, customers, priorities and prompts follow from the
 * seed; count and time are bounded.  Every answer is verified token by token.
 * Prints key=value lines; exits 1 if an answer was wrong, double, truncated or
 * incomplete.
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
#define LIST_LIMIT 32
#define CODES_LIMIT 10000
#define LINE_LIMIT 65536
#define PROMPT_LIMIT 65536
#define CALL_SECONDS 3600
#define BOOKINGS_KEPT 64 /* bookings that a repeat may pick */

enum call_kind
{
  CALL_STREAMED,
  CALL_WHOLE,
  CALL_SERVICE,
};

struct weighted
{
  char name[NAME_SIZE];
  char value[NAME_SIZE];
  double share;
};

struct weighted_list
{
  struct weighted items[LIST_LIMIT];
  size_t count;
  double total;
};

/* What a repeat sends again. */
struct booking
{
  const struct weighted *customer;
  char key[UUID_SIZE];
  uint64_t crew;
};

struct load;

struct connection
{
  struct evhttp_connection *http;
  uint16_t port;
  LIST_ENTRY (connection) link;
};

struct call
{
  struct load *load;
  struct connection *connection;
  enum call_kind kind;
  bool chat;
  bool non_repeatable;
  int64_t due_us; /* when the schedule wanted it sent */
  char *prompt;   /* as the engine sees it */
  uint64_t max_tokens;
  uint64_t next;
  bool first_seen;
  bool ended; /* [DONE] */
  bool faulty;
  int error_code; /* of an error event or body */
  char outcome[16];
  const struct weighted *customer;
  char id[NAME_SIZE];
  char key[UUID_SIZE];
  bool replayed;
  struct evbuffer *text;    /* as received, for the record */
  struct evbuffer *pending; /* unfinished lines, or the whole body */
  TAILQ_ENTRY (call) link;
};

LIST_HEAD (connection_list, connection);
TAILQ_HEAD (call_list, call);

struct load
{
  struct event_base *base;
  struct event *timer;
  struct event *limit;
  struct event *reaper;
  struct rng rng;
  struct connection_list idle;
  struct connection_list dead;
  struct call_list calls;
  uint16_t ports[LIST_LIMIT];
  size_t port_count;
  struct weighted_list customers;
  struct weighted_list priorities;
  FILE *record; /* NULL: none */
  int seed;
  double repeat;
  struct booking bookings[BOOKINGS_KEPT];
  uint64_t booking_count;
  const char *model;
  const char *service;
  const char *group; /* direct mode */
  int generation;
  double rate;
  double streamed;
  double chat;
  double service_share;
  double get_share;
  int prompt_bytes;
  int prompts;
  uint64_t max_tokens;
  int deadline_ms;
  uint64_t count;
  int64_t end_us;
  int64_t start_us;
  int64_t next_us;
  int drain_ms;
  size_t in_flight_limit;

  size_t in_flight;
  uint64_t sent;
  uint64_t skipped; /* over the bound of calls in flight */
  uint64_t answered;
  uint64_t refused;
  uint64_t unanswered;
  uint64_t broken; /* streams that ended with an error event */
  uint64_t wrong;
  uint64_t doubled;
  uint64_t truncated;
  uint64_t missing;
  uint64_t tokens;
  uint64_t codes[CODES_LIMIT];
  uint64_t not_run;
  uint64_t unknown;
  FILE *first_file; /* every time to first token, one per line */
  struct ev_token_bucket_cfg *read_rate; /* of a slow reader; NULL: no limit */
  struct histogram first_us;
  struct histogram total_us;
  struct histogram service_us;
  json_t *serials; /* of bookings, to find one that is given twice */
};

static int64_t
now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/* NAME:VALUE:SHARE or NAME:SHARE, separated by commas. */
static bool
parse_list (struct weighted_list *list, const char *text, bool has_value)
{
  char *copy = strdup (text);
  char *rest = NULL;
  bool ok = copy != NULL;

  for (char *item = ok ? strtok_r (copy, ",", &rest) : NULL; item != NULL && ok;
       item = strtok_r (NULL, ",", &rest))
    {
      struct weighted *entry = &list->items[list->count];
      char *part = NULL;
      const char *name = strtok_r (item, ":", &part);
      const char *value = has_value ? strtok_r (NULL, ":", &part) : name;
      const char *share = strtok_r (NULL, ":", &part);

      ok = list->count < LIST_LIMIT && name != NULL && value != NULL
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
parse_ports (struct load *load, const char *text)
{
  while (*text != '\0' && load->port_count < LIST_LIMIT)
    {
      char *end;
      unsigned long port = strtoul (text, &end, 10);

      if (end == text || port == 0 || port > 65535)
        return false;
      load->ports[load->port_count++] = (uint16_t)port;
      text = *end == ',' ? end + 1 : end;
    }
  return load->port_count > 0;
}

static const struct weighted *
pick (struct load *load, const struct weighted_list *list)
{
  double at = rng_real (&load->rng) * list->total;

  for (size_t i = 0; i + 1 < list->count; i++)
    {
      if (at < list->items[i].share)
        return &list->items[i];
      at -= list->items[i].share;
    }
  return &list->items[list->count - 1];
}

/* Connections are used again only after a whole answer. */

static void
connection_drop (struct load *load, struct connection *connection)
{
  /* evhttp may be in a callback of this connection: free it later. */
  LIST_INSERT_HEAD (&load->dead, connection, link);
  event_active (load->reaper, 0, 0);
}

static void
on_reap (evutil_socket_t fd, short what, void *context)
{
  struct load *load = context;
  struct connection *connection;

  (void)fd;
  (void)what;
  while ((connection = LIST_FIRST (&load->dead)) != NULL)
    {
      LIST_REMOVE (connection, link);
      evhttp_connection_free (connection->http);
      free (connection);
    }
}

static struct connection *
connection_get (struct load *load, uint16_t port)
{
  struct connection *connection;

  LIST_FOREACH (connection, &load->idle, link)
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
      = evhttp_connection_base_new (load->base, NULL, "127.0.0.1", port);
  evhttp_connection_set_timeout (connection->http, CALL_SECONDS);
  if (load->read_rate != NULL)
    bufferevent_set_rate_limit (
        evhttp_connection_get_bufferevent (connection->http), load->read_rate);
  return connection;
}

/* Verification */

static void
note_text (struct call *call, const char *bytes, size_t size)
{
  if (call->load->record != NULL)
    evbuffer_add (call->text, bytes, size);
}

static void
count_fault (struct call *call, uint64_t *fault)
{
  if (!call->faulty)
    (*fault)++;
  call->faulty = true;
}

static void
check_token (struct call *call, const char *text)
{
  const char *model = call->load->model;
  char expected[STANDIN_TOKEN_SIZE];

  if (call->next < call->max_tokens)
    {
      standin_token (model, call->prompt, call->next, expected);
      if (strcmp (text, expected) == 0)
        {
          call->next++;
          call->load->tokens++;
          return;
        }
    }
  for (uint64_t i = 0; i < call->max_tokens; i++)
    {
      standin_token (model, call->prompt, i, expected);
      if (strcmp (text, expected) == 0)
        {
          count_fault (call, i < call->next ? &call->load->doubled
                                            : &call->load->missing);
          return;
        }
    }
  count_fault (call, &call->load->wrong);
}

static void
note_first (struct call *call)
{
  int64_t us = now_us () - call->due_us;

  if (!call->first_seen)
    {
      histogram_add (&call->load->first_us, (uint64_t)us);
      if (call->load->first_file != NULL)
        fprintf (call->load->first_file, "%" PRId64 "\n", us);
    }
  call->first_seen = true;
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
text_of (const struct call *call, const json_t *json)
{
  const json_t *choice = json_array_get (json_object_get (json, "choices"), 0);

  if (call->load->group != NULL)
    return json_string_value (json_object_get (json, "text"));
  if (!call->chat)
    return json_string_value (json_object_get (choice, "text"));
  return json_string_value (json_object_get (
      json_object_get (choice,
                       call->kind == CALL_STREAMED ? "delta" : "message"),
      "content"));
}

static void
take_data (struct call *call, const char *data)
{
  json_t *json;
  const char *text;

  if (strcmp (data, "[DONE]") == 0)
    {
      call->ended = true;
      return;
    }
  json = json_loads (data, 0, NULL);
  text = text_of (call, json);
  if (json_object_get (json, "error") != NULL)
    read_error (call, json);
  else if (text == NULL)
    count_fault (call, &call->load->wrong);
  else if (text[0] != '\0')
    {
      note_text (call, text, strlen (text));
      note_first (call);
      check_token (call, text);
    }
  json_decref (json);
}

static void
take_lines (struct call *call)
{
  char *line;

  while ((line = evbuffer_readln (call->pending, NULL, EVBUFFER_EOL_LF))
         != NULL)
    {
      if (strncmp (line, "data: ", 6) == 0)
        take_data (call, line + 6);
      free (line);
    }
}

static void
check_whole (struct call *call, const json_t *json)
{
  const char *text = text_of (call, json);
  char expected[STANDIN_TOKEN_SIZE];

  if (text == NULL)
    {
      count_fault (call, &call->load->wrong);
      return;
    }
  note_text (call, text, strlen (text));
  for (; call->next < call->max_tokens; call->next++)
    {
      standin_token (call->load->model, call->prompt, call->next, expected);
      if (strncmp (text, expected, strlen (expected)) != 0)
        break;
      text += strlen (expected);
      call->load->tokens++;
    }
  if (*text != '\0')
    count_fault (call, &call->load->wrong);
  else if (call->next < call->max_tokens)
    count_fault (call, &call->load->truncated);
  call->ended = true;
}

static void
check_booking (struct call *call, const json_t *json)
{
  uint64_t serial;
  char key[32];

  call->ended = true;
  if (!call->non_repeatable)
    return;
  if (!json_read_u64 (json, "serial", &serial))
    {
      count_fault (call, &call->load->wrong);
      return;
    }
  snprintf (key, sizeof key, "%" PRIu64, serial);
  if (!call->replayed && json_object_get (call->load->serials, key) != NULL)
    count_fault (call, &call->load->doubled);
  json_object_set_new (call->load->serials, key, json_true ());
}

/* Calls */

static const char *
kind_name (const struct call *call)
{
  if (call->kind == CALL_SERVICE)
    return call->non_repeatable ? "booking" : "read";
  return call->chat ? "chat" : "completion";
}

/* One line for standin-check; status 0 when the caller got none. */
static void
record_call (struct call *call, int status)
{
  struct load *load = call->load;
  size_t size = evbuffer_get_length (call->text);
  const char *outcome = call->outcome;
  json_t *json;

  if (load->record == NULL)
    return;
  if (outcome[0] == '\0')
    outcome = status >= 200 && status < 300 && call->ended ? "done" : "unknown";
  json = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:s,s:I,s:i,s:i,s:s,s:b,s:b,s:s%}", "customer",
      call->customer->name, "request_id", call->id, "idempotency_key",
      call->key, "kind", kind_name (call), "model", load->model, "prompt",
      call->prompt != NULL ? call->prompt : "", "max_tokens",
      (json_int_t)call->max_tokens, "status", status, "code", call->error_code,
      "outcome", outcome, "ended", call->ended, "replayed", call->replayed,
      "text", size > 0 ? (const char *)evbuffer_pullup (call->text, -1) : "",
      size);
  /* A call that is missing from the record could hide a fault. */
  if (json == NULL || json_dumpf (json, load->record, JSON_COMPACT) != 0
      || fputc ('\n', load->record) == EOF)
    {
      fprintf (stderr, "standin-load: cannot write the record\n");
      exit (EXIT_FAILURE);
    }
  json_decref (json);
}

static void
call_free (struct call *call)
{
  TAILQ_REMOVE (&call->load->calls, call, link);
  call->load->in_flight--;
  evbuffer_free (call->pending);
  evbuffer_free (call->text);
  free (call->prompt);
  free (call);
}

static void
count_refusal (struct call *call, int status)
{
  struct load *load = call->load;

  load->refused++;
  /* Without a code of the daemon's the HTTP status stands for it. */
  load->codes[call->error_code != 0 ? call->error_code : status]++;
  if (strcmp (call->outcome, "not-run") == 0)
    load->not_run++;
  else
    load->unknown++;
}

static void
count_answer (struct call *call)
{
  struct load *load = call->load;
  uint64_t took_us = (uint64_t)(now_us () - call->due_us);

  load->answered++;
  load->codes[0]++;
  if (call->kind == CALL_SERVICE)
    histogram_add (&load->service_us, took_us);
  else
    {
      note_first (call);
      histogram_add (&load->total_us, took_us);
    }
}

static void
call_judge (struct call *call, int status)
{
  struct load *load = call->load;

  if (status == 0)
    {
      load->unanswered++;
      if (call->kind == CALL_STREAMED && call->next > 0)
        count_fault (call, &load->truncated);
      return;
    }
  if (call->error_code != 0)
    {
      if (call->kind == CALL_STREAMED && status == 200)
        load->broken++;
      if (call->ended)
        count_fault (call, &load->wrong);
      count_refusal (call, status);
      return;
    }
  if (status >= 400)
    {
      count_refusal (call, status);
      return;
    }
  if (call->kind == CALL_STREAMED && !call->ended)
    count_fault (call, &load->truncated);
  else if (call->kind == CALL_STREAMED && call->next < call->max_tokens)
    count_fault (call, &load->missing);
  count_answer (call);
}

static void
on_chunk (struct evhttp_request *request, void *context)
{
  struct call *call = context;

  evbuffer_add_buffer (call->pending,
                       evhttp_request_get_input_buffer (request));
  if (call->kind == CALL_STREAMED
      && evhttp_request_get_response_code (request) == 200)
    take_lines (call);
}

static void
take_body (struct call *call, int status)
{
  size_t size = evbuffer_get_length (call->pending);
  json_t *json = json_loadb ((const char *)evbuffer_pullup (call->pending, -1),
                             size, 0, NULL);

  if (status >= 400)
    read_error (call, json);
  else if (call->kind == CALL_WHOLE)
    check_whole (call, json);
  else
    {
      note_text (call, (const char *)evbuffer_pullup (call->pending, -1), size);
      check_booking (call, json);
    }
  json_decref (json);
}

static void
on_done (struct evhttp_request *request, void *context)
{
  struct call *call = context;
  struct load *load = call->load;
  int status = request != NULL ? evhttp_request_get_response_code (request) : 0;
  const char *close
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
    take_body (call, status);
  call_judge (call, status);
  record_call (call, status);
  if (close != NULL && evutil_ascii_strcasecmp (close, "close") == 0)
    connection_drop (load, call->connection);
  else
    LIST_INSERT_HEAD (&load->idle, call->connection, link);
  call_free (call);
  if (load->in_flight == 0 && !evtimer_pending (load->timer, NULL))
    event_base_loopbreak (load->base);
}

static json_t *
generation_body (struct load *load, struct call *call, const char *prompt)
{
  json_t *json = json_pack ("{s:s,s:I}", "model", load->model, "max_tokens",
                            (json_int_t)call->max_tokens);

  if (load->group != NULL)
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

/* Prompts repeat, so that prefix caches have something to find. */
static void
make_prompt (struct load *load, char *out, size_t size)
{
  uint64_t number = rng_below (&load->rng, (uint64_t)load->prompts);
  size_t used = (size_t)snprintf (out, size, "prompt %" PRIu64 " ", number);

  for (; used < (size_t)load->prompt_bytes && used + 2 < size; used++)
    out[used] = (char)('a' + (number + used) % 26);
  out[used] = '\0';
}

static bool
set_generation (struct load *load,
                struct call *call,
                struct evhttp_request *request,
                const char **path)
{
  static char prompt[PROMPT_LIMIT];
  json_t *json;
  char *text;

  make_prompt (load, prompt, sizeof prompt);
  call->kind = load->group != NULL || rng_real (&load->rng) < load->streamed
                   ? CALL_STREAMED
                   : CALL_WHOLE;
  call->chat = load->group == NULL && rng_real (&load->rng) < load->chat;
  call->max_tokens = 1 + rng_below (&load->rng, 2 * load->max_tokens - 1);
  if (!call->chat)
    call->prompt = strdup (prompt);
  else if (asprintf (&call->prompt, "user: %s\nassistant:", prompt) < 0)
    call->prompt = NULL;
  *path = call->chat ? "/v1/chat/completions" : "/v1/completions";
  json = generation_body (load, call, prompt);
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
set_service (struct load *load,
             struct call *call,
             struct evhttp_request *request,
             char *path,
             size_t size)
{
  struct booking *booking;

  call->kind = CALL_SERVICE;
  call->non_repeatable = rng_real (&load->rng) >= load->get_share;
  snprintf (path, size, "/v1/services/%s/bookings", load->service);
  if (!call->non_repeatable)
    return;
  if (load->booking_count > 0 && rng_real (&load->rng) < load->repeat)
    {
      uint64_t kept = load->booking_count < BOOKINGS_KEPT ? load->booking_count
                                                          : BOOKINGS_KEPT;

      booking = &load->bookings[rng_below (&load->rng, kept)];
    }
  else
    {
      booking = &load->bookings[load->booking_count++ % BOOKINGS_KEPT];
      booking->customer = call->customer;
      booking->crew = load->sent;
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
set_headers (struct load *load,
             const struct call *call,
             struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char text[2 * NAME_SIZE];

  evhttp_add_header (headers, "Host", "127.0.0.1");
  evhttp_add_header (headers, "X-Priority",
                     pick (load, &load->priorities)->name);
  snprintf (text, sizeof text, "Bearer %s", call->customer->value);
  evhttp_add_header (headers, "Authorization", text);
  evhttp_add_header (headers, "X-Request-Id", call->id);
  if (load->deadline_ms > 0)
    {
      snprintf (text, sizeof text, "%d", load->deadline_ms);
      evhttp_add_header (headers, "X-Deadline-Ms", text);
    }
  if (load->group != NULL)
    {
      evhttp_add_header (headers, "X-Group", load->group);
      snprintf (text, sizeof text, "%d", load->generation);
      evhttp_add_header (headers, "X-Generation", text);
    }
}

static void
send_call (struct load *load, int64_t due_us)
{
  struct call *call = calloc (1, sizeof *call);
  struct evhttp_request *request;
  const char *path = NULL;
  char service_path[2 * NAME_SIZE];
  enum evhttp_cmd_type method = EVHTTP_REQ_POST;

  if (call == NULL)
    return;
  call->load = load;
  call->due_us = due_us;
  call->pending = evbuffer_new ();
  call->text = evbuffer_new ();
  call->customer = pick (load, &load->customers);
  snprintf (call->id, sizeof call->id, "load-%d-%" PRIu64, load->seed,
            load->sent);
  TAILQ_INSERT_TAIL (&load->calls, call, link);
  load->in_flight++;
  request = evhttp_request_new (on_done, call);
  evhttp_request_set_chunked_cb (request, on_chunk);
  if (load->service != NULL && rng_real (&load->rng) < load->service_share)
    {
      set_service (load, call, request, service_path, sizeof service_path);
      path = service_path;
      if (!call->non_repeatable)
        method = EVHTTP_REQ_GET;
    }
  else if (!set_generation (load, call, request, &path))
    {
      evhttp_request_free (request);
      call_free (call);
      return;
    }
  set_headers (load, call, request);
  call->connection
      = connection_get (load, load->ports[load->sent % load->port_count]);
  load->sent++;
  if (evhttp_make_request (call->connection->http, request, method, path) != 0)
    {
      load->unanswered++;
      record_call (call, 0);
      connection_drop (load, call->connection);
      call_free (call);
    }
}

/* Poisson arrivals at the rate. */
static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  struct load *load = context;
  struct timeval delay = { 0, 0 };
  int64_t now = now_us ();

  (void)fd;
  (void)what;
  while (load->next_us <= now && load->next_us < load->end_us
         && load->sent + load->skipped < load->count)
    {
      if (load->in_flight < load->in_flight_limit)
        send_call (load, load->next_us);
      else
        load->skipped++;
      load->next_us
          += (int64_t)(-log (1 - rng_real (&load->rng)) / load->rate * 1e6);
    }
  if (load->next_us >= load->end_us
      || load->sent + load->skipped >= load->count)
    {
      delay.tv_sec = load->drain_ms / 1000;
      delay.tv_usec = (suseconds_t)(load->drain_ms % 1000) * 1000;
      evtimer_add (load->limit, &delay);
      if (load->in_flight == 0)
        event_base_loopbreak (load->base);
      return;
    }
  if (load->next_us > now)
    {
      delay.tv_sec = (load->next_us - now) / 1000000;
      delay.tv_usec = (load->next_us - now) % 1000000;
    }
  evtimer_add (load->timer, &delay);
}

static void
on_limit (evutil_socket_t fd, short what, void *context)
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
report (struct load *load, double seconds)
{
  struct call *call;

  /* What is still open when the time is up has no answer. */
  TAILQ_FOREACH (call, &load->calls, link)
    {
      load->unanswered++;
      record_call (call, 0);
    }
  printf ("seconds=%.3f\nsent=%" PRIu64 "\nskipped=%" PRIu64
          "\nanswered=%" PRIu64 "\nrefused=%" PRIu64 "\nunanswered=%" PRIu64
          "\nbroken_streams=%" PRIu64 "\n",
          seconds, load->sent, load->skipped, load->answered, load->refused,
          load->unanswered, load->broken);
  printf ("answered_per_second=%.1f\ntokens=%" PRIu64
          "\ntokens_per_second=%.1f\n",
          (double)load->answered / seconds, load->tokens,
          (double)load->tokens / seconds);
  print_latency ("first_token", &load->first_us);
  print_latency ("total", &load->total_us);
  print_latency ("service", &load->service_us);
  for (int i = 0; i < CODES_LIMIT; i++)
    if (load->codes[i] > 0)
      printf ("code_%d=%" PRIu64 "\n", i, load->codes[i]);
  printf ("refused_not_run=%" PRIu64 "\nrefused_unknown=%" PRIu64 "\n",
          load->not_run, load->unknown);
  printf ("wrong=%" PRIu64 "\ndouble=%" PRIu64 "\ntruncated=%" PRIu64
          "\nmissing=%" PRIu64 "\n",
          load->wrong, load->doubled, load->truncated, load->missing);
  return load->wrong + load->doubled + load->truncated + load->missing == 0
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}

static void
finish (struct load *load)
{
  struct connection *connection;
  struct call *call;

  while ((call = TAILQ_FIRST (&load->calls)) != NULL)
    {
      LIST_INSERT_HEAD (&load->dead, call->connection, link);
      call_free (call);
    }
  while ((connection = LIST_FIRST (&load->idle)) != NULL)
    {
      LIST_REMOVE (connection, link);
      LIST_INSERT_HEAD (&load->dead, connection, link);
    }
  on_reap (-1, 0, load);
  event_free (load->timer);
  event_free (load->limit);
  event_free (load->reaper);
  event_base_free (load->base);
  json_decref (load->serials);
}

static int
run (struct load *load, int seconds)
{
  struct timeval now = { 0, 0 };
  int status;

  signal (SIGPIPE, SIG_IGN);
  load->base = event_base_new ();
  load->timer = evtimer_new (load->base, on_timer, load);
  load->limit = evtimer_new (load->base, on_limit, load->base);
  load->reaper = event_new (load->base, -1, 0, on_reap, load);
  load->serials = json_object ();
  LIST_INIT (&load->idle);
  LIST_INIT (&load->dead);
  TAILQ_INIT (&load->calls);
  histogram_init (&load->first_us);
  histogram_init (&load->total_us);
  histogram_init (&load->service_us);
  load->start_us = now_us ();
  load->next_us = load->start_us;
  load->end_us = load->start_us + (int64_t)seconds * 1000000;
  evtimer_add (load->timer, &now);
  event_base_dispatch (load->base);
  status = report (load, (double)(now_us () - load->start_us) / 1e6);
  finish (load);
  return status;
}

static int
or_int (const struct arg_int *option, int fallback)
{
  return option->count > 0 ? option->ival[0] : fallback;
}

static double
or_real (const struct arg_dbl *option, double fallback)
{
  return option->count > 0 ? option->dval[0] : fallback;
}

static const char *
or_text (const struct arg_str *option, const char *fallback)
{
  return option->count > 0 ? option->sval[0] : fallback;
}

int
main (int argc, char **argv)
{
  struct arg_str *ports
      = arg_str1 (NULL, "ports", "LIST", "ports on 127.0.0.1, taken in turn");
  struct arg_str *customers = arg_str0 (
      NULL, "customers", "N:CREDENTIAL:SHARE,...", "who calls (acme:acme:1)");
  struct arg_str *priorities = arg_str0 (NULL, "priorities", "N:SHARE,...",
                                         "mix of priorities (normal:1)");
  struct arg_str *model = arg_str0 (NULL, "model", "NAME", "model (m)");
  struct arg_str *service
      = arg_str0 (NULL, "service", "NAME", "service for bookings");
  struct arg_dbl *service_share
      = arg_dbl0 (NULL, "service-share", "X", "part of service calls (0.1)");
  struct arg_dbl *get_share
      = arg_dbl0 (NULL, "get-share", "X", "part of them that only read (0.5)");
  struct arg_str *group
      = arg_str0 (NULL, "direct", "GROUP", "straight to an engine's group");
  struct arg_int *generation
      = arg_int0 (NULL, "generation", "N", "of the group, with --direct (1)");
  struct arg_dbl *rate = arg_dbl0 (NULL, "rate", "X", "calls per second (100)");
  struct arg_int *count = arg_int0 (NULL, "count", "N", "calls (1000)");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "sends for at most so long (10)");
  struct arg_int *drain
      = arg_int0 (NULL, "drain-ms", "MS", "wait for open calls (10000)");
  struct arg_int *in_flight
      = arg_int0 (NULL, "in-flight", "N", "open calls at most (2000)");
  struct arg_dbl *streamed
      = arg_dbl0 (NULL, "streamed", "X", "part of streamed calls (0.5)");
  struct arg_dbl *chat
      = arg_dbl0 (NULL, "chat", "X", "part in the chat format (0.25)");
  struct arg_int *tokens
      = arg_int0 (NULL, "tokens", "N", "mean tokens per answer (16)");
  struct arg_int *prompt_bytes
      = arg_int0 (NULL, "prompt-bytes", "N", "size of a prompt (200)");
  struct arg_int *prompts
      = arg_int0 (NULL, "prompts", "N", "different prompts (1000)");
  struct arg_int *deadline
      = arg_int0 (NULL, "deadline-ms", "MS", "deadline of a call (none)");
  struct arg_dbl *repeat = arg_dbl0 (
      NULL, "repeat", "X", "part of bookings that are sent again (0)");
  struct arg_str *record = arg_str0 (NULL, "record", "FILE",
                                     "a JSON line per call, for standin-check");
  struct arg_int *read_rate
      = arg_int0 (NULL, "read-bytes-per-s", "N", "slow readers (no limit)");
  struct arg_str *first_file = arg_str0 (NULL, "first-file", "PATH",
                                         "every time to first token, in us");
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
  struct load *load = calloc (1, sizeof *load);

  if (help->count > 0)
    {
      printf ("usage: standin-load");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-36s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "standin-load");
  else if (load != NULL)
    {
      load->model = or_text (model, "m");
      load->service = or_text (service, NULL);
      load->group = or_text (group, NULL);
      load->generation = or_int (generation, 1);
      load->rate = or_real (rate, 100);
      load->streamed = or_real (streamed, 0.5);
      load->chat = or_real (chat, 0.25);
      load->service_share = or_real (service_share, 0.1);
      load->get_share = or_real (get_share, 0.5);
      load->prompt_bytes = or_int (prompt_bytes, 200);
      load->prompts = or_int (prompts, 1000);
      load->max_tokens = (uint64_t)or_int (tokens, 16);
      load->deadline_ms = or_int (deadline, 0);
      load->count = (uint64_t)or_int (count, 1000);
      load->drain_ms = or_int (drain, 10000);
      load->in_flight_limit = (size_t)or_int (in_flight, 2000);
      load->seed = or_int (seed, 1);
      load->repeat = or_real (repeat, 0);
      rng_init (&load->rng, (uint64_t)load->seed);
      if (first_file->count > 0)
        load->first_file = fopen (first_file->sval[0], "w");
      if (read_rate->count > 0 && read_rate->ival[0] > 0)
        load->read_rate = ev_token_bucket_cfg_new (
            (size_t)read_rate->ival[0], (size_t)read_rate->ival[0],
            EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, NULL);
      if (first_file->count > 0 && load->first_file == NULL)
        fprintf (stderr, "standin-load: cannot write %s\n",
                 first_file->sval[0]);
      else if (!parse_ports (load, ports->sval[0])
               || !parse_list (&load->customers,
                               or_text (customers, "acme:acme:1"), true)
               || !parse_list (&load->priorities,
                               or_text (priorities, "normal:1"), false)
               || load->rate <= 0 || load->max_tokens == 0 || load->prompts <= 0
               || load->prompt_bytes >= PROMPT_LIMIT)
        fprintf (stderr, "standin-load: bad list or number\n");
      else if (record->count > 0
               && (load->record = fopen (record->sval[0], "w")) == NULL)
        fprintf (stderr, "standin-load: cannot write %s\n", record->sval[0]);
      else
        status = run (load, or_int (seconds, 10));
      if (load->record != NULL && fclose (load->record) != 0)
        status = EXIT_FAILURE;
      if (load->first_file != NULL && fclose (load->first_file) != 0)
        status = EXIT_FAILURE;
      if (load->read_rate != NULL)
        ev_token_bucket_cfg_free (load->read_rate);
    }
  free (load);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
