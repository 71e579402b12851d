/*
 * Stand-in for model engines and for hosts of plain services.  One process
 * serves many hosts, each on its own port.  An extra control port sets faults
 * and returns the journal of the requests that ran.
 */

#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "hash.h"
#include "jsonutil.h"
#include "timeutil.h"
#include "token.h"
#include "uuid.h"

#define NAME_SIZE 64
#define ADAPTERS_SIZE 256
#define PREFIX_BYTES 256
#define CACHE_EVENTS_LIMIT 1024
#define CACHED_MODELS_LIMIT 16
#define RESTART_DELAY_MS 1000
/* Every 7th cache event is never reported. */
#define LOST_CACHE_EVENT_INTERVAL 7
#define JOURNAL_LIMIT 200000
#define BODY_LIMIT (16L * 1024 * 1024)

enum engine_state
{
  ENGINE_IDLE,
  ENGINE_LOADING,
  ENGINE_READY,
};

enum job_priority
{
  JOB_LOW,
  JOB_NORMAL,
  JOB_HIGH,
};

struct host;

/* One completion or service call that a host runs or has in its queue. */
struct job
{
  struct host *host;
  struct evhttp_request *request;
  struct event *call_timer; /* ends a service call; NULL for a completion */
  char request_id[NAME_SIZE];
  char model[NAME_SIZE];
  char *prompt;
  uint64_t max_tokens;
  uint64_t next_token; /* index in the generation */
  uint64_t sent_tokens;
  unsigned prefill_iterations; /* batch iterations left until the first token */
  enum job_priority priority;
  bool running;
  json_t *journal_entry; /* counted reference; NULL until the job runs */
  TAILQ_ENTRY (job) link;
};

TAILQ_HEAD (job_list, job);

struct cache_event
{
  uint64_t seq;
  int64_t at_ms;
  bool add;
  char prefix[HASH_HEX_SIZE];
};

struct engine;

struct host
{
  struct engine *engine;
  char id[NAME_SIZE];
  uint16_t port;
  struct evhttp *http;
  char boot_id[UUID_SIZE];

  char group[NAME_SIZE];
  uint64_t generation;
  uint64_t rank;
  uint64_t span;
  char model[NAME_SIZE];
  char version[NAME_SIZE];
  char adapters[ADAPTERS_SIZE];
  char role[NAME_SIZE];
  char order_id[NAME_SIZE];
  uint64_t fence;
  enum engine_state state;
  /* "model/version" of the weights in the host's cache */
  char cached_models[CACHED_MODELS_LIMIT][2 * NAME_SIZE];
  size_t cached_model_count;

  bool leaving;
  bool dead;
  bool paused;
  double slow_factor;          /* multiplies token_ms and call_ms */
  char crash_word[NAME_SIZE];  /* a request with it crashes the host */
  uint64_t break_after_tokens; /* then the connection closes; 0: never */
  uint64_t resume_early; /* tokens that a resumed completion sends again */
  uint64_t lose_answers; /* next service calls that run but get no response */

  struct job_list jobs; /* running and queued jobs in order of arrival */
  unsigned running;
  unsigned queued;
  unsigned reported_running;
  unsigned reported_queued;
  int64_t reported_ms; /* boot time of reported_running and _queued */

  char (*cached_prefixes)[HASH_HEX_SIZE]; /* least recently used first */
  size_t cached_prefix_count;
  struct cache_event cache_events[CACHE_EVENTS_LIMIT]; /* ring buffer */
  size_t cache_event_count; /* recorded since the start */
  uint64_t cache_event_seq; /* of the last event, recorded or lost */

  struct event *load_timer;
  struct event *batch_timer;
  struct event *restart_timer;
  struct event *crash_timer;
  TAILQ_HEAD (, held_request) held_requests; /* arrived while paused */
};

struct held_request
{
  struct host *host;
  struct evhttp_request *request;
  TAILQ_ENTRY (held_request) link;
};

/* The hosts of this process, with its options. */
struct engine
{
  struct event_base *base;
  struct host *hosts;
  size_t host_count;
  struct evhttp *control;
  struct event *report_timer;
  json_t *journal;
  uint64_t change_count; /* service calls that change data */
  const char *service;   /* NULL: a model engine */
  int load_ms;           /* time to load weights that are not cached */
  int reload_ms;         /* time to load cached weights */
  int token_ms;          /* time of a batch iteration */
  int call_ms;           /* time of a service call */
  int report_lag_ms;     /* interval of load reports, and lag of cache events */
  unsigned slots;        /* completions that a host runs at once */
  unsigned queue_limit;  /* queued completions of a host */
  size_t cache_limit;    /* cached prefixes of a host */
  bool ignore_fence;     /* accepts orders with old fencing tokens */
};

static void handle_host_request (struct evhttp_request *request, void *context);

static struct timeval
timeval_from_ms (double ms)
{
  struct timeval tv;

  tv.tv_sec = (time_t)(ms / 1000);
  tv.tv_usec = (suseconds_t)((ms - (double)tv.tv_sec * 1000) * 1000);
  return tv;
}

static void
start_timer (struct event *timer, double ms)
{
  struct timeval tv = timeval_from_ms (ms);

  evtimer_add (timer, &tv);
}

static void
send_json (struct evhttp_request *request, int status, json_t *json)
{
  struct evbuffer *body = evbuffer_new ();
  char *text = json_dumps (json, JSON_COMPACT);

  evbuffer_add (body, text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, status, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (json);
}

static void
send_error (struct evhttp_request *request, int status, const char *error)
{
  send_json (request, status, json_pack ("{s:s}", "error", error));
}

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);

  return json_loadb ((const char *)evbuffer_pullup (input, -1), size, 0, NULL);
}

/*
 * Calls on_close when the caller disconnects.  Reading must be enabled before
 * the reply starts.  The read callback is removed, because evhttp ends the
 * process when data arrives in this state.
 */
static void
watch_disconnect (struct evhttp_request *request,
                  void (*on_close) (struct evhttp_connection *, void *),
                  void *context)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  bufferevent_data_cb read_cb;
  bufferevent_data_cb write_cb;
  bufferevent_event_cb event_cb;
  void *arg;

  bufferevent_getcb (bev, &read_cb, &write_cb, &event_cb, &arg);
  bufferevent_setcb (bev, NULL, write_cb, event_cb, arg);
  bufferevent_setwatermark (bev, EV_READ, 0, 1 << 20);
  bufferevent_set_timeouts (bev, NULL, NULL);
  bufferevent_enable (bev, EV_READ);
  evhttp_connection_set_closecb (connection, on_close, context);
}

static void
unwatch_disconnect (struct evhttp_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);

  if (connection != NULL)
    evhttp_connection_set_closecb (connection, NULL, NULL);
}

/* Closes the connection of a request whose reply is incomplete. */
static void
close_connection (struct evhttp_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);

  if (connection == NULL)
    return;
  evhttp_connection_set_closecb (connection, NULL, NULL);
  evhttp_connection_free (connection);
}

static json_t *
add_journal_entry (struct engine *engine, json_t *entry)
{
  if (json_array_size (engine->journal) >= JOURNAL_LIMIT)
    {
      json_t *newer = json_array ();

      for (size_t i = JOURNAL_LIMIT / 2; i < JOURNAL_LIMIT; i++)
        json_array_append (newer, json_array_get (engine->journal, i));
      json_decref (engine->journal);
      engine->journal = newer;
    }
  json_object_set_new (entry, "at_ms", json_integer (time_boot_ms ()));
  json_array_append_new (engine->journal, entry);
  return entry;
}

/* Jobs */

static void
free_job (struct job *job)
{
  TAILQ_REMOVE (&job->host->jobs, job, link);
  if (job->running)
    job->host->running--;
  else
    job->host->queued--;
  if (job->call_timer != NULL)
    event_free (job->call_timer);
  json_decref (job->journal_entry);
  free (job->prompt);
  free (job);
}

static void
update_journal_entry (struct job *job, bool cancelled)
{
  if (job->journal_entry == NULL)
    return;
  json_object_set_new (job->journal_entry, "tokens",
                       json_integer ((json_int_t)job->sent_tokens));
  if (cancelled)
    json_object_set_new (job->journal_entry, "cancelled", json_true ());
}

static void start_queued_jobs (struct host *host);

static void
on_job_disconnect (struct evhttp_connection *connection, void *context)
{
  struct job *job = context;
  struct host *host = job->host;
  struct evhttp_request *request = job->request;

  (void)connection;
  update_journal_entry (job, true);
  free_job (job);
  /* The connection no longer owns the request; this call only frees it. */
  if (evhttp_request_get_connection (request) == NULL)
    evhttp_send_reply_end (request);
  start_queued_jobs (host);
}

static void
record_cache_event (struct host *host, bool add, const char *prefix)
{
  struct cache_event *event;

  host->cache_event_seq++;
  if (host->cache_event_seq % LOST_CACHE_EVENT_INTERVAL == 0)
    return;
  event = &host->cache_events[host->cache_event_count++ % CACHE_EVENTS_LIMIT];
  event->seq = host->cache_event_seq;
  event->at_ms = time_boot_ms ();
  event->add = add;
  memcpy (event->prefix, prefix, HASH_HEX_SIZE);
}

/* Makes the prefix the most recently used.  True if it was cached before. */
static bool
use_cached_prefix (struct host *host, const char *prompt)
{
  size_t size = strnlen (prompt, PREFIX_BYTES);
  const struct hash_part parts[] = { { prompt, size }, { NULL, 0 } };
  char prefix[HASH_HEX_SIZE];
  size_t i;
  bool found;

  hash_hex (parts, prefix);
  for (i = 0; i < host->cached_prefix_count; i++)
    if (strcmp (host->cached_prefixes[i], prefix) == 0)
      break;
  found = i < host->cached_prefix_count;
  if (!found)
    {
      record_cache_event (host, true, prefix);
      if (host->cached_prefix_count == host->engine->cache_limit)
        {
          record_cache_event (host, false, host->cached_prefixes[0]);
          i = 0;
        }
      else
        host->cached_prefix_count++;
    }
  memmove (host->cached_prefixes[i], host->cached_prefixes[i + 1],
           (host->cached_prefix_count - 1 - i) * HASH_HEX_SIZE);
  memcpy (host->cached_prefixes[host->cached_prefix_count - 1], prefix,
          HASH_HEX_SIZE);
  return found;
}

static void
start_job (struct job *job)
{
  struct host *host = job->host;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (job->request);

  job->running = true;
  host->queued--;
  host->running++;
  job->prefill_iterations = use_cached_prefix (host, job->prompt) ? 0 : 1;
  job->journal_entry = json_incref (add_journal_entry (
      host->engine,
      json_pack ("{s:s,s:s,s:s,s:I,s:I,s:I,s:b}", "host", host->id,
                 "request_id", job->request_id, "group", host->group,
                 "generation", (json_int_t)host->generation, "resume_from",
                 (json_int_t)job->next_token, "tokens", (json_int_t)0,
                 "cancelled", 0)));
  evhttp_add_header (headers, "Content-Type", "text/event-stream");
  evhttp_add_header (headers, "X-Request-Id", job->request_id);
  evhttp_send_reply_start (job->request, HTTP_OK, NULL);
  if (!event_pending (host->batch_timer, EV_TIMEOUT, NULL))
    start_timer (host->batch_timer, host->engine->token_ms * host->slow_factor);
}

/* Fills free slots by priority, then by order of arrival. */
static void
start_queued_jobs (struct host *host)
{
  while (host->running < host->engine->slots && host->queued > 0
         && !host->paused)
    {
      struct job *best = NULL;
      struct job *job;

      TAILQ_FOREACH (job, &host->jobs, link)
        if (!job->running && (best == NULL || job->priority > best->priority))
          best = job;
      if (best == NULL)
        return;
      start_job (best);
    }
}

static void
send_job_event (struct job *job, const char *text)
{
  struct evbuffer *chunk = evbuffer_new ();

  evbuffer_add_printf (chunk, "data: %s\n\n", text);
  evhttp_send_reply_chunk (job->request, chunk);
  evbuffer_free (chunk);
}

static void
finish_job (struct job *job)
{
  struct evhttp_request *request = job->request;

  send_job_event (job, "[DONE]");
  update_journal_entry (job, false);
  unwatch_disconnect (request);
  free_job (job);
  evhttp_send_reply_end (request);
}

/* Sends the next token of the job.  False if the job was freed. */
static bool
advance_job (struct job *job)
{
  struct host *host = job->host;
  char token[STANDIN_TOKEN_SIZE];
  char text[64];

  if (job->prefill_iterations > 0)
    {
      job->prefill_iterations--;
      return true;
    }
  /* Break an iteration after the last token, so that it has been written. */
  if (host->break_after_tokens > 0
      && job->sent_tokens >= host->break_after_tokens)
    {
      struct evhttp_request *request = job->request;

      update_journal_entry (job, true);
      free_job (job);
      close_connection (request);
      return false;
    }
  if (job->next_token < job->max_tokens)
    {
      standin_token (job->model, job->prompt, job->next_token, token);
      snprintf (text, sizeof text, "{\"index\":%" PRIu64 ",\"text\":\"%s\"}",
                job->next_token, token);
      job->next_token++;
      job->sent_tokens++;
      send_job_event (job, text);
    }
  if (job->next_token < job->max_tokens)
    return true;
  finish_job (job);
  return false;
}

/* Hosts */

static void
drop_jobs (struct host *host, bool close_connections)
{
  struct job *job;

  while ((job = TAILQ_FIRST (&host->jobs)) != NULL)
    {
      struct evhttp_request *request = job->request;

      update_journal_entry (job, true);
      unwatch_disconnect (request);
      free_job (job);
      if (close_connections)
        close_connection (request);
    }
}

/*
 * Simulates a killed process: closes all connections and the listener, and
 * clears the state that is in memory.  Must not run inside an evhttp callback
 * of this host.
 */
static void
stop_host (struct host *host)
{
  struct held_request *held;

  if (host->http == NULL)
    return;
  drop_jobs (host, false);
  while ((held = TAILQ_FIRST (&host->held_requests)) != NULL)
    {
      TAILQ_REMOVE (&host->held_requests, held, link);
      unwatch_disconnect (held->request);
      free (held);
    }
  evtimer_del (host->load_timer);
  evtimer_del (host->batch_timer);
  evhttp_free (host->http);
  host->http = NULL;
  host->group[0] = '\0';
  host->generation = 0;
  host->rank = 0;
  host->span = 0;
  host->model[0] = '\0';
  host->version[0] = '\0';
  host->adapters[0] = '\0';
  host->role[0] = '\0';
  host->order_id[0] = '\0';
  host->fence = 0;
  host->state = ENGINE_IDLE;
  host->paused = false;
  host->cached_prefix_count = 0;
  host->cache_event_count = 0;
  host->cache_event_seq = 0;
}

/*
 * Accepted sockets inherit TCP_NODELAY.  Without it, a token waits for the ACK
 * of the token before it.
 */
static void
set_no_delay (struct evhttp_bound_socket *bound)
{
  int on = 1;

  setsockopt (evhttp_bound_socket_get_fd (bound), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
}

static bool
start_host (struct host *host)
{
  struct evhttp_bound_socket *bound;

  host->http = evhttp_new (host->engine->base);
  if (host->http == NULL)
    return false;
  bound = evhttp_bind_socket_with_handle (host->http, "127.0.0.1", host->port);
  if (bound == NULL)
    {
      evhttp_free (host->http);
      host->http = NULL;
      return false;
    }
  if (host->port == 0)
    {
      struct sockaddr_in address = { 0 };
      socklen_t size = sizeof address;

      getsockname (evhttp_bound_socket_get_fd (bound),
                   (struct sockaddr *)&address, &size);
      host->port = ntohs (address.sin_port);
    }
  set_no_delay (bound);
  evhttp_set_max_body_size (host->http, BODY_LIMIT);
  evhttp_set_allowed_methods (host->http, 0x1ff);
  evhttp_set_gencb (host->http, handle_host_request, host);
  uuid_generate (host->boot_id);
  return true;
}

static void
on_restart (evutil_socket_t fd, short what, void *context)
{
  struct host *host = context;

  (void)fd;
  (void)what;
  if (!host->dead && host->http == NULL && !start_host (host))
    start_timer (host->restart_timer, 50);
}

static void
on_crash (evutil_socket_t fd, short what, void *context)
{
  struct host *host = context;

  (void)fd;
  (void)what;
  stop_host (host);
  if (!host->dead)
    start_timer (host->restart_timer, RESTART_DELAY_MS);
}

/*
 * Called for a crash that a request caused.  A host that a control request
 * kills gets no entry.
 */
static void
add_crash_to_journal (struct host *host)
{
  add_journal_entry (host->engine,
                     json_pack ("{s:s, s:b}", "host", host->id, "crashed", 1));
}

static bool
is_crashing_job (const struct job *job)
{
  const char *crash_word = job->host->crash_word;

  return *crash_word != '\0' && strstr (job->prompt, crash_word) != NULL;
}

/* One batch iteration: each running completion gets one token. */
static void
on_batch_iteration (evutil_socket_t fd, short what, void *context)
{
  struct host *host = context;
  struct job *job;
  struct job *next;

  (void)fd;
  (void)what;
  if (host->paused)
    return;
  TAILQ_FOREACH (job, &host->jobs, link)
    if (job->running && is_crashing_job (job))
      {
        add_crash_to_journal (host);
        on_crash (-1, 0, host);
        return;
      }
  for (job = TAILQ_FIRST (&host->jobs); job != NULL; job = next)
    {
      next = TAILQ_NEXT (job, link);
      if (job->running)
        advance_job (job);
    }
  start_queued_jobs (host);
  if (host->running > 0)
    start_timer (host->batch_timer, host->engine->token_ms * host->slow_factor);
}

static void
on_weights_loaded (evutil_socket_t fd, short what, void *context)
{
  struct host *host = context;

  (void)fd;
  (void)what;
  /* A load order without a group is a prefetch: the host stays a spare. */
  host->state = host->group[0] != '\0' ? ENGINE_READY : ENGINE_IDLE;
}

/* Adds the weights to the host's cache.  True if they were cached before. */
static bool
cache_weights (struct host *host)
{
  char name[2 * NAME_SIZE];

  snprintf (name, sizeof name, "%s/%s", host->model, host->version);
  for (size_t i = 0; i < host->cached_model_count; i++)
    if (strcmp (host->cached_models[i], name) == 0)
      return true;
  if (host->cached_model_count < CACHED_MODELS_LIMIT)
    memcpy (host->cached_models[host->cached_model_count++], name, sizeof name);
  return false;
}

static void
join_adapters (const json_t *order, char out[ADAPTERS_SIZE])
{
  const json_t *list = json_object_get (order, "adapters");
  size_t used = 0;
  size_t i;
  json_t *item;

  out[0] = '\0';
  if (json_is_string (list))
    snprintf (out, ADAPTERS_SIZE, "%s", json_string_value (list));
  json_array_foreach (list, i, item)
    if (json_is_string (item) && used < ADAPTERS_SIZE)
      used += (size_t)snprintf (out + used, ADAPTERS_SIZE - used, "%s%s",
                                i > 0 ? ";" : "", json_string_value (item));
}

static void
apply_load_order (struct host *host, const json_t *order)
{
  drop_jobs (host, true);
  json_read_string (order, "group", host->group, sizeof host->group);
  json_read_u64 (order, "generation", &host->generation);
  json_read_u64 (order, "rank", &host->rank);
  json_read_u64 (order, "span", &host->span);
  json_read_string (order, "model", host->model, sizeof host->model);
  json_read_string (order, "version", host->version, sizeof host->version);
  json_read_string (order, "role", host->role, sizeof host->role);
  join_adapters (order, host->adapters);
  host->state = ENGINE_LOADING;
  evtimer_del (host->load_timer);
  start_timer (host->load_timer, cache_weights (host) ? host->engine->reload_ms
                                                      : host->engine->load_ms);
}

static void
apply_release_order (struct host *host)
{
  drop_jobs (host, true);
  evtimer_del (host->load_timer);
  host->group[0] = '\0';
  host->generation = 0;
  host->rank = 0;
  host->span = 0;
  host->model[0] = '\0';
  host->version[0] = '\0';
  host->adapters[0] = '\0';
  host->role[0] = '\0';
  host->state = ENGINE_IDLE;
}

static void
handle_order (struct host *host, struct evhttp_request *request)
{
  json_t *order = read_body (request);
  char op[NAME_SIZE];
  char id[NAME_SIZE];
  char group[NAME_SIZE];
  uint64_t fence;
  uint64_t generation;

  json_read_string (order, "op", op, sizeof op);
  json_read_string (order, "order_id", id, sizeof id);
  json_read_string (order, "group", group, sizeof group);
  if (!json_read_u64 (order, "fence", &fence) || op[0] == '\0')
    send_error (request, 400, "malformed");
  else if (!host->engine->ignore_fence && fence < host->fence)
    send_json (request, 409,
               json_pack ("{s:s,s:I}", "error", "fenced", "fence",
                          (json_int_t)host->fence));
  else
    {
      bool repeated = id[0] != '\0' && strcmp (id, host->order_id) == 0;
      bool accepted = true;

      if (fence > host->fence || host->engine->ignore_fence)
        host->fence = fence;
      memcpy (host->order_id, id, sizeof id);
      if (repeated)
        ;
      else if (strcmp (op, "load") == 0)
        apply_load_order (host, order);
      else if (strcmp (op, "release") == 0)
        apply_release_order (host);
      else if (strcmp (op, "adapters") == 0 || strcmp (op, "role") == 0)
        {
          accepted = strcmp (group, host->group) == 0;
          if (accepted && op[0] == 'a')
            join_adapters (order, host->adapters);
          else if (accepted)
            json_read_string (order, "role", host->role, sizeof host->role);
          if (accepted && json_read_u64 (order, "generation", &generation))
            host->generation = generation;
        }
      else
        accepted = false;
      if (accepted)
        send_json (request, 200, json_pack ("{s:b}", "ok", 1));
      else
        send_error (request, 409, "refused");
    }
  json_decref (order);
}

static const char *
get_state_name (enum engine_state state)
{
  switch (state)
    {
    case ENGINE_IDLE:
      return "idle";
    case ENGINE_LOADING:
      return "loading";
    case ENGINE_READY:
      break;
    }
  return "ready";
}

static json_t *
split_adapters (const char *joined)
{
  json_t *list = json_array ();
  char copy[ADAPTERS_SIZE];
  char *rest = NULL;

  snprintf (copy, sizeof copy, "%s", joined);
  for (char *name = strtok_r (copy, ";", &rest); name != NULL;
       name = strtok_r (NULL, ";", &rest))
    json_array_append_new (list, json_string (name));
  return list;
}

static void
handle_state (struct host *host, struct evhttp_request *request)
{
  json_t *state = json_pack (
      "{s:s,s:s,s:s,s:I,s:I,s:I,s:s,s:s,s:o,s:s,s:I,s:s,s:b}", "host", host->id,
      "boot_id", host->boot_id, "group", host->group, "generation",
      (json_int_t)host->generation, "rank", (json_int_t)host->rank, "span",
      (json_int_t)host->span, "model", host->model, "version", host->version,
      "adapters", split_adapters (host->adapters), "role", host->role, "fence",
      (json_int_t)host->fence, "state",
      host->engine->service != NULL ? "ready" : get_state_name (host->state),
      "leaving", host->leaving);
  json_t *load = json_pack (
      "{s:i,s:i,s:i,s:I}", "running", (int)host->reported_running, "queued",
      (int)host->reported_queued, "slots", (int)host->engine->slots,
      "load_age_ms", (json_int_t)(time_boot_ms () - host->reported_ms));

  json_object_update (state, load);
  json_decref (load);
  send_json (request, 200, state);
}

static enum job_priority
read_priority (const json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "priority"));

  if (name != NULL && strcmp (name, "high") == 0)
    return JOB_HIGH;
  if (name != NULL && strcmp (name, "low") == 0)
    return JOB_LOW;
  return JOB_NORMAL;
}

static const char *
get_header (struct evhttp_request *request, const char *name)
{
  const char *value
      = evhttp_find_header (evhttp_request_get_input_headers (request), name);

  return value != NULL ? value : "";
}

static void
handle_completion (struct host *host, struct evhttp_request *request)
{
  const char *group = get_header (request, "X-Group");
  uint64_t generation
      = strtoull (get_header (request, "X-Generation"), NULL, 10);
  json_t *body = read_body (request);
  const char *prompt = json_string_value (json_object_get (body, "prompt"));
  struct job *job = NULL;

  if (prompt == NULL)
    send_error (request, 400, "malformed");
  else if (host->leaving)
    send_error (request, 503, "leaving");
  else if (host->state != ENGINE_READY || host->rank != 0
           || strcmp (group, host->group) != 0
           || generation != host->generation)
    send_error (request, 409, "wrong-group");
  else if (host->queued >= host->engine->queue_limit)
    send_error (request, 429, "queue-full");
  else
    {
      job = calloc (1, sizeof *job);
      job->host = host;
      job->request = request;
      job->prompt = strdup (prompt);
      job->priority = read_priority (body);
      snprintf (job->request_id, sizeof job->request_id, "%s",
                get_header (request, "X-Request-Id"));
      json_read_string (body, "model", job->model, sizeof job->model);
      json_read_u64 (body, "resume_from", &job->next_token);
      job->next_token -= job->next_token < host->resume_early
                             ? job->next_token
                             : host->resume_early;
      if (!json_read_u64 (body, "max_tokens", &job->max_tokens))
        job->max_tokens = 16;
      TAILQ_INSERT_TAIL (&host->jobs, job, link);
      host->queued++;
      watch_disconnect (request, on_job_disconnect, job);
      start_queued_jobs (host);
    }
  json_decref (body);
}

static void
handle_cancel (struct host *host, struct evhttp_request *request)
{
  json_t *body = read_body (request);
  char id[NAME_SIZE];
  unsigned found = 0;
  struct job *job;
  struct job *next;

  json_read_string (body, "request_id", id, sizeof id);
  for (job = TAILQ_FIRST (&host->jobs); job != NULL; job = next)
    {
      struct evhttp_request *cancelled = job->request;

      next = TAILQ_NEXT (job, link);
      if (id[0] == '\0' || strcmp (id, job->request_id) != 0)
        continue;
      found++;
      update_journal_entry (job, true);
      unwatch_disconnect (cancelled);
      free_job (job);
      close_connection (cancelled);
    }
  json_decref (body);
  start_queued_jobs (host);
  send_json (request, 200, json_pack ("{s:i}", "cancelled", (int)found));
}

static void
handle_cache (struct host *host, struct evhttp_request *request)
{
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  uint64_t after = 0;
  uint64_t last = 0;
  int64_t visible_ms = time_boot_ms () - host->engine->report_lag_ms;
  json_t *events = json_array ();
  size_t first = host->cache_event_count > CACHE_EVENTS_LIMIT
                     ? host->cache_event_count - CACHE_EVENTS_LIMIT
                     : 0;

  if (query != NULL && strncmp (query, "after=", 6) == 0)
    after = strtoull (query + 6, NULL, 10);
  for (size_t i = first; i < host->cache_event_count; i++)
    {
      const struct cache_event *event
          = &host->cache_events[i % CACHE_EVENTS_LIMIT];

      if (event->at_ms > visible_ms)
        break;
      last = event->seq;
      if (event->seq > after)
        json_array_append_new (events, json_pack ("{s:I,s:s,s:s}", "seq",
                                                  (json_int_t)event->seq, "op",
                                                  event->add ? "add" : "remove",
                                                  "prefix", event->prefix));
    }
  send_json (
      request, 200,
      json_pack ("{s:I,s:o}", "seq", (json_int_t)last, "events", events));
}

/* Plain service calls */

static const char *
get_method_name (enum evhttp_cmd_type method)
{
  static const char *const names[]
      = { "GET",     "POST",  "HEAD",    "PUT",  "DELETE",
          "OPTIONS", "TRACE", "CONNECT", "PATCH" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if ((unsigned)method == 1U << i)
      return names[i];
  return "?";
}

static void
respond_to_call (struct host *host, struct evhttp_request *request)
{
  struct engine *engine = host->engine;
  enum evhttp_cmd_type method = evhttp_request_get_command (request);
  const char *path = evhttp_request_get_uri (request);
  bool is_change = method != EVHTTP_REQ_GET && method != EVHTTP_REQ_HEAD;
  uint64_t serial = is_change ? ++engine->change_count : engine->change_count;

  if (is_change)
    add_journal_entry (
        engine,
        json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I}", "host", host->id, "request_id",
                   get_header (request, "X-Request-Id"), "idempotency_key",
                   get_header (request, "Idempotency-Key"), "method",
                   get_method_name (method), "path", path, "serial",
                   (json_int_t)serial));
  if (host->lose_answers > 0)
    {
      host->lose_answers--;
      close_connection (request);
      return;
    }
  send_json (request, method == EVHTTP_REQ_POST ? 201 : 200,
             json_pack ("{s:s,s:s,s:s,s:I}", "service", engine->service,
                        "method", get_method_name (method), "path", path,
                        "serial", (json_int_t)serial));
}

static void
on_call_finished (evutil_socket_t fd, short what, void *context)
{
  struct job *job = context;
  struct host *host = job->host;
  struct evhttp_request *request = job->request;
  bool crashes = is_crashing_job (job);

  (void)fd;
  (void)what;
  if (crashes)
    {
      add_crash_to_journal (host);
      on_crash (-1, 0, host);
      return;
    }
  unwatch_disconnect (request);
  free_job (job);
  respond_to_call (host, request);
}

static void
handle_service_call (struct host *host, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  struct job *job;

  if (host->leaving)
    {
      send_error (request, 503, "leaving");
      return;
    }
  job = calloc (1, sizeof *job);
  job->host = host;
  job->request = request;
  job->prompt = calloc (1, size + 1);
  evbuffer_copyout (input, job->prompt, size);
  job->running = true;
  job->call_timer = evtimer_new (host->engine->base, on_call_finished, job);
  TAILQ_INSERT_TAIL (&host->jobs, job, link);
  host->running++;
  watch_disconnect (request, on_job_disconnect, job);
  start_timer (job->call_timer, host->engine->call_ms * host->slow_factor);
}

/* Control */

static struct host *
find_host (struct engine *engine, const char *id)
{
  for (size_t i = 0; i < engine->host_count; i++)
    if (strcmp (engine->hosts[i].id, id) == 0)
      return &engine->hosts[i];
  return NULL;
}

static void
resume_host (struct host *host)
{
  struct held_request *held = TAILQ_FIRST (&host->held_requests);

  TAILQ_INIT (&host->held_requests);
  while (held != NULL)
    {
      struct evhttp_request *request = held->request;
      struct held_request *next = TAILQ_NEXT (held, link);

      free (held);
      held = next;
      unwatch_disconnect (request);
      handle_host_request (request, host);
    }
  start_queued_jobs (host);
  if (host->running > 0 && host->engine->service == NULL)
    start_timer (host->batch_timer, host->engine->token_ms * host->slow_factor);
}

static void
handle_fault (struct engine *engine, struct evhttp_request *request)
{
  json_t *body = read_body (request);
  char id[NAME_SIZE];
  struct host *host;
  const json_t *factor;
  bool paused;
  bool dead;

  json_read_string (body, "host", id, sizeof id);
  host = find_host (engine, id);
  if (host == NULL)
    {
      send_error (request, 404, "no such host");
      json_decref (body);
      return;
    }
  host->leaving = json_read_bool (body, "leaving", host->leaving);
  if (json_object_get (body, "crash_word") != NULL)
    json_read_string (body, "crash_word", host->crash_word,
                      sizeof host->crash_word);
  if (json_object_get (body, "break_after_tokens") != NULL)
    json_read_u64 (body, "break_after_tokens", &host->break_after_tokens);
  if (json_object_get (body, "resume_early") != NULL)
    json_read_u64 (body, "resume_early", &host->resume_early);
  if (json_object_get (body, "lose_answers") != NULL)
    json_read_u64 (body, "lose_answers", &host->lose_answers);
  factor = json_object_get (body, "slow_factor");
  if (json_is_number (factor) && json_number_value (factor) > 0)
    host->slow_factor = json_number_value (factor);
  paused = json_read_bool (body, "paused", host->paused);
  dead = json_read_bool (body, "dead", host->dead);
  if (host->paused && !paused)
    {
      host->paused = false;
      resume_host (host);
    }
  host->paused = paused;
  if (dead != host->dead)
    {
      host->dead = dead;
      /* By timer, because this may be a callback of the host's own server. */
      start_timer (dead ? host->crash_timer : host->restart_timer, 0);
    }
  json_decref (body);
  send_json (request, 200, json_pack ("{s:b}", "ok", 1));
}

/* Handles the request if path is a control path; returns false if it is not. */
static bool
handle_control_path (struct engine *engine,
                     struct evhttp_request *request,
                     const char *path)
{
  if (strcmp (path, "/control/fault") == 0)
    handle_fault (engine, request);
  else if (strcmp (path, "/control/journal") == 0)
    send_json (request, 200,
               json_pack ("{s:O,s:I}", "journal", engine->journal, "now_ms",
                          (json_int_t)time_boot_ms ()));
  else
    return false;
  return true;
}

static void
handle_control_request (struct evhttp_request *request, void *context)
{
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (!handle_control_path (context, request, path != NULL ? path : ""))
    send_error (request, 404, "not found");
}

static void
on_held_disconnect (struct evhttp_connection *connection, void *context)
{
  struct held_request *held = context;
  struct evhttp_request *request = held->request;

  (void)connection;
  TAILQ_REMOVE (&held->host->held_requests, held, link);
  free (held);
  if (evhttp_request_get_connection (request) == NULL)
    evhttp_send_reply_end (request);
}

static void
handle_host_request (struct evhttp_request *request, void *context)
{
  struct host *host = context;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  if (path == NULL)
    path = "";
  if (handle_control_path (host->engine, request, path))
    return;
  if (host->paused)
    {
      struct held_request *held = calloc (1, sizeof *held);

      held->host = host;
      held->request = request;
      TAILQ_INSERT_TAIL (&host->held_requests, held, link);
      watch_disconnect (request, on_held_disconnect, held);
    }
  else if (strcmp (path, "/v1/state") == 0)
    handle_state (host, request);
  else if (host->engine->service != NULL)
    handle_service_call (host, request);
  else if (strcmp (path, "/v1/orders") == 0)
    handle_order (host, request);
  else if (strcmp (path, "/v1/completions") == 0)
    handle_completion (host, request);
  else if (strcmp (path, "/v1/cancel") == 0)
    handle_cancel (host, request);
  else if (strcmp (path, "/v1/cache") == 0)
    handle_cache (host, request);
  else
    send_error (request, 404, "not found");
}

static void
on_report (evutil_socket_t fd, short what, void *context)
{
  struct engine *engine = context;

  (void)fd;
  (void)what;
  for (size_t i = 0; i < engine->host_count; i++)
    {
      struct host *host = &engine->hosts[i];

      host->reported_running = host->running;
      host->reported_queued = host->queued;
      host->reported_ms = time_boot_ms ();
    }
  start_timer (engine->report_timer,
               engine->report_lag_ms > 0 ? engine->report_lag_ms : 1);
}

static bool
add_host (struct engine *engine, const char *id, int port)
{
  struct host *host = &engine->hosts[engine->host_count];

  host->engine = engine;
  snprintf (host->id, sizeof host->id, "%s", id);
  host->port = (uint16_t)port;
  host->slow_factor = 1;
  host->reported_ms = time_boot_ms ();
  TAILQ_INIT (&host->jobs);
  TAILQ_INIT (&host->held_requests);
  host->cached_prefixes = calloc (engine->cache_limit + 1, HASH_HEX_SIZE);
  host->load_timer = evtimer_new (engine->base, on_weights_loaded, host);
  host->batch_timer = evtimer_new (engine->base, on_batch_iteration, host);
  host->restart_timer = evtimer_new (engine->base, on_restart, host);
  host->crash_timer = evtimer_new (engine->base, on_crash, host);
  engine->host_count++;
  if (!start_host (host))
    {
      fprintf (stderr, "standin-engine: cannot listen on port %d\n", port);
      return false;
    }
  printf ("listening host=%s port=%u\n", host->id, (unsigned)host->port);
  return true;
}

static bool
start_engine (struct engine *engine, const char *names, int port_base)
{
  char *copy = strdup (names);
  char *rest = NULL;
  size_t limit = 1;
  bool ok = true;
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  for (const char *c = names; *c != '\0'; c++)
    limit += *c == ',';
  engine->hosts = calloc (limit, sizeof *engine->hosts);
  for (char *name = strtok_r (copy, ",", &rest); name != NULL && ok;
       name = strtok_r (NULL, ",", &rest))
    ok = add_host (engine, name,
                   port_base > 0 ? port_base + (int)engine->host_count : 0);
  free (copy);
  if (!ok)
    return false;
  engine->control = evhttp_new (engine->base);
  bound = evhttp_bind_socket_with_handle (
      engine->control, "127.0.0.1",
      (uint16_t)(port_base > 0 ? port_base + (int)engine->host_count : 0));
  if (bound == NULL)
    return false;
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &size);
  evhttp_set_gencb (engine->control, handle_control_request, engine);
  printf ("listening host=control port=%u\n",
          (unsigned)ntohs (address.sin_port));
  fflush (stdout);
  return true;
}

static void
free_engine (struct engine *engine)
{
  for (size_t i = 0; i < engine->host_count; i++)
    {
      struct host *host = &engine->hosts[i];

      stop_host (host);
      event_free (host->load_timer);
      event_free (host->batch_timer);
      event_free (host->restart_timer);
      event_free (host->crash_timer);
      free (host->cached_prefixes);
    }
  free (engine->hosts);
  if (engine->control != NULL)
    evhttp_free (engine->control);
  if (engine->report_timer != NULL)
    event_free (engine->report_timer);
  json_decref (engine->journal);
}

static void
on_signal (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (context);
}

static int
int_or_default (const struct arg_int *option, int fallback)
{
  return option->count > 0 ? option->ival[0] : fallback;
}

static int
run_engine (struct engine *engine, const char *hosts, int port_base)
{
  struct event *term;
  struct event *interrupt;
  int status = EXIT_FAILURE;

  signal (SIGPIPE, SIG_IGN);
  engine->base = event_base_new ();
  engine->journal = json_array ();
  engine->report_timer = evtimer_new (engine->base, on_report, engine);
  term = evsignal_new (engine->base, SIGTERM, on_signal, engine->base);
  interrupt = evsignal_new (engine->base, SIGINT, on_signal, engine->base);
  evsignal_add (term, NULL);
  evsignal_add (interrupt, NULL);
  if (start_engine (engine, hosts, port_base))
    {
      on_report (-1, 0, engine);
      event_base_dispatch (engine->base);
      status = EXIT_SUCCESS;
    }
  free_engine (engine);
  event_free (term);
  event_free (interrupt);
  event_base_free (engine->base);
  return status;
}

int
main (int argc, char **argv)
{
  struct arg_str *hosts
      = arg_str1 (NULL, "hosts", "LIST", "host names, separated by commas");
  struct arg_int *port_base
      = arg_int0 (NULL, "port-base", "N", "first port (default: any free)");
  struct arg_int *load_ms = arg_int0 (
      NULL, "load-ms", "MS", "time to load weights that are not cached (200)");
  struct arg_int *reload_ms
      = arg_int0 (NULL, "reload-ms", "MS", "time to load cached weights (50)");
  struct arg_int *token_ms
      = arg_int0 (NULL, "token-ms", "MS", "time per token (5)");
  struct arg_int *call_ms
      = arg_int0 (NULL, "call-ms", "MS", "time per service call (1)");
  struct arg_int *slots
      = arg_int0 (NULL, "slots", "N", "requests that a host runs at once (8)");
  struct arg_int *queue
      = arg_int0 (NULL, "queue", "N", "limit of queued requests (64)");
  struct arg_int *cache
      = arg_int0 (NULL, "cache", "N", "prompt prefixes kept (64)");
  struct arg_int *lag
      = arg_int0 (NULL, "report-lag-ms", "MS", "age of load reports (100)");
  struct arg_str *service
      = arg_str0 (NULL, "service", "NAME", "serve hosts of a plain service");
  struct arg_lit *ignore_fence = arg_lit0 (
      NULL, "ignore-fence", "accept orders with old fencing tokens");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (5);
  void *table[]
      = { hosts, port_base, load_ms, reload_ms, token_ms,     call_ms, slots,
          queue, cache,     lag,     service,   ignore_fence, help,    end };
  int errors = arg_parse (argc, argv, table);
  int status = 2;

  if (help->count > 0)
    {
      printf ("usage: standin-engine");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-22s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "standin-engine");
  else
    {
      struct engine engine = {
        .service = service->count > 0 ? service->sval[0] : NULL,
        .load_ms = int_or_default (load_ms, 200),
        .reload_ms = int_or_default (reload_ms, 50),
        .token_ms = int_or_default (token_ms, 5),
        .call_ms = int_or_default (call_ms, 1),
        .report_lag_ms = int_or_default (lag, 100),
        .slots = (unsigned)int_or_default (slots, 8),
        .queue_limit = (unsigned)int_or_default (queue, 64),
        .cache_limit = (size_t)int_or_default (cache, 64),
        .ignore_fence = ignore_fence->count > 0,
      };

      status
          = run_engine (&engine, hosts->sval[0], int_or_default (port_base, 0));
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
