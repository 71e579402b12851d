/*
 * Stand-in for the platform: the object service and the host list of section 2
 * of docs/design.md, in memory, with faults set by control requests.
 *
 * POST /control/fault changes only the members that its body names:
 *   outage            every call gets 503; open watches end with 503
 *   delay_ms          delay of each response
 *   lose_answers      the next N writes take effect and get no response
 *   lose_writes_to    limits lose_answers to keys with this prefix
 *   drop_requests     the next N calls are closed without effect
 *   host_list_lag_ms  age of the host list that callers receive
 *   date_offset_ms    added to the clock of the Date header
 *   refuse_from_header  string or list of strings: partitioned callers, by the
 *                     value of X-Entry-Host, whole or up to a "/"
 */

#include "log.h"
#include "timeutil.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>
#include <uthash.h>

#define VALUE_LIMIT 1048576 /* largest object value in bytes */
#define WATCH_LIMIT_MS 600000
#define OBJECTS_PATH "/v1/objects/"

struct object
{
  char *key;
  uint64_t version;
  char *json_text; /* the value, not terminated */
  size_t size;     /* of json_text, in bytes */
  UT_hash_handle hh;
};

/* Limits the call rate; holds at most the calls of one second. */
struct token_bucket
{
  double per_s; /* 0 = no limit */
  double tokens;
  int64_t refilled_ms; /* boot time */
};

/* A response that a timer sends. */
struct delayed_response
{
  struct evhttp_request *request;
  int status;
  struct evbuffer *body;
  bool close_only; /* closes the connection without a response */
  struct event *timer;
  LIST_ENTRY (delayed_response) link;
};

struct watcher
{
  struct evhttp_request *request;
  char *keys;        /* "A,B,C" */
  uint64_t revision; /* newer versions of the keys end the watch */
  struct event *timer;
  LIST_ENTRY (watcher) link;
};

/* A version of the host list; host_list_lag_ms decides which one is served. */
struct host_list
{
  int64_t published_ms; /* boot time */
  json_t *hosts;        /* object with the member "hosts" */
  TAILQ_ENTRY (host_list) link;
};

struct faults
{
  bool outage;
  int64_t delay_ms;
  int64_t lose_answers;
  char *lose_writes_to; /* NULL = every key */
  int64_t drop_requests;
  int64_t host_list_lag_ms;
  int64_t date_offset_ms;
  json_t *partitioned_callers; /* list of strings or NULL */
};

enum call_kind
{
  CALL_READ,
  CALL_WRITE,
  CALL_DELETE,
  CALL_WATCH,
  CALL_LIST,
  CALL_HOSTS,
  CALL_KINDS,
};

static const char *const call_names[CALL_KINDS]
    = { "read", "write", "delete", "watch", "list", "hosts" };

/* Calls by kind, calls without success by cause, and bytes of values. */
struct call_counts
{
  uint64_t calls[CALL_KINDS];
  uint64_t over_rate;
  uint64_t in_outage;
  uint64_t dropped;
  uint64_t answers_lost;
  uint64_t conflicts;
  uint64_t bytes_written;
  uint64_t bytes_read;
};

struct standin
{
  struct event_base *base;
  struct evhttp *http;
  struct object *objects;
  uint64_t revision; /* of the last write or deletion */
  struct token_bucket reads;
  struct token_bucket writes;
  struct faults faults;
  struct call_counts call_counts;
  LIST_HEAD (, delayed_response) delayed_responses;
  LIST_HEAD (, watcher) watchers;
  TAILQ_HEAD (, host_list) host_lists; /* oldest first */
};

/* --- responses --- */

static bool
is_partitioned_caller (const struct standin *standin,
                       struct evhttp_request *request)
{
  const char *host = evhttp_find_header (
      evhttp_request_get_input_headers (request), "X-Entry-Host");
  size_t index;
  json_t *caller;

  if (host == NULL)
    return false;
  json_array_foreach (standin->faults.partitioned_callers, index, caller)
    {
      const char *value = json_string_value (caller);
      size_t size = strlen (value);

      if (strncmp (host, value, size) == 0
          && (host[size] == '\0' || host[size] == '/'))
        return true;
    }
  return false;
}

static void
add_headers (const struct standin *standin, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char date[64];
  struct tm tm;
  time_t now
      = (time_t)((time_wall_ms () + standin->faults.date_offset_ms) / 1000);

  gmtime_r (&now, &tm);
  strftime (date, sizeof date, "%a, %d %b %Y %H:%M:%S GMT", &tm);
  evhttp_add_header (headers, "Date", date);
  evhttp_add_header (headers, "Content-Type", "application/json");
}

/* Must not run inside an evhttp callback, which still uses the request. */
static void
close_connection (struct evhttp_request *request)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);

  if (connection != NULL)
    evhttp_connection_free (connection);
  else
    evhttp_request_free (request);
}

static void
send_now (struct standin *standin,
          struct evhttp_request *request,
          int status,
          struct evbuffer *body)
{
  add_headers (standin, request);
  evhttp_send_reply (request, status, NULL, body);
}

static void
free_response (struct delayed_response *response)
{
  LIST_REMOVE (response, link);
  event_free (response->timer);
  evbuffer_free (response->body);
  free (response);
}

/* For timer callbacks, whose context is a response or a watcher. */
static struct standin *running_standin;

static void
on_response_due (evutil_socket_t fd, short events, void *context)
{
  struct delayed_response *response = context;

  (void)fd;
  (void)events;
  if (response->close_only)
    close_connection (response->request);
  else
    send_now (running_standin, response->request, response->status,
              response->body);
  free_response (response);
}

static void
send_later (struct standin *standin,
            struct evhttp_request *request,
            int status,
            struct evbuffer *body,
            bool close_only,
            int64_t delay_ms)
{
  struct delayed_response *response = calloc (1, sizeof *response);
  struct timeval delay = { delay_ms / 1000, delay_ms % 1000 * 1000 };

  if (response == NULL)
    abort ();
  response->request = request;
  response->status = status;
  response->close_only = close_only;
  response->body = evbuffer_new ();
  response->timer = evtimer_new (standin->base, on_response_due, response);
  if (response->body == NULL || response->timer == NULL)
    abort ();
  if (body != NULL)
    evbuffer_add_buffer (response->body, body);
  LIST_INSERT_HEAD (&standin->delayed_responses, response, link);
  evtimer_add (response->timer, &delay);
}

static void
schedule_close (struct standin *standin, struct evhttp_request *request)
{
  send_later (standin, request, 0, NULL, true, 0);
}

/* Takes ownership of body. */
static void
send_json (struct standin *standin,
           struct evhttp_request *request,
           int status,
           json_t *body)
{
  struct evbuffer *buffer = evbuffer_new ();
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;

  if (buffer == NULL)
    abort ();
  if (text != NULL)
    evbuffer_add (buffer, text, strlen (text));
  /* The partition also drops responses to calls made before it began. */
  if (is_partitioned_caller (standin, request))
    schedule_close (standin, request);
  else if (standin->faults.delay_ms > 0)
    send_later (standin, request, status, buffer, false,
                standin->faults.delay_ms);
  else
    send_now (standin, request, status, buffer);
  free (text);
  json_decref (body);
  evbuffer_free (buffer);
}

static void
send_error (struct standin *standin,
            struct evhttp_request *request,
            int status,
            const char *error)
{
  send_json (standin, request, status, json_pack ("{s:s}", "error", error));
}

static void
send_version (struct standin *standin,
              struct evhttp_request *request,
              int status,
              uint64_t version)
{
  send_json (standin, request, status,
             json_pack ("{s:I}", "version", (json_int_t)version));
}

/* --- rates and faults --- */

static bool
take_token (struct token_bucket *bucket)
{
  int64_t now = time_boot_ms ();

  if (bucket->per_s <= 0)
    return true;
  bucket->tokens += (double)(now - bucket->refilled_ms) * bucket->per_s / 1000;
  if (bucket->tokens > bucket->per_s)
    bucket->tokens = bucket->per_s;
  bucket->refilled_ms = now;
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}

/* Counts the call.  False if a fault or the rate limit ended it. */
static bool
admit_call (struct standin *standin,
            struct evhttp_request *request,
            enum call_kind kind)
{
  bool is_write = kind == CALL_WRITE || kind == CALL_DELETE;

  standin->call_counts.calls[kind]++;
  if (is_partitioned_caller (standin, request))
    {
      schedule_close (standin, request);
      return false;
    }
  if (standin->faults.drop_requests > 0)
    {
      standin->faults.drop_requests--;
      standin->call_counts.dropped++;
      schedule_close (standin, request);
      return false;
    }
  if (standin->faults.outage)
    {
      standin->call_counts.in_outage++;
      send_error (standin, request, 503, "outage");
      return false;
    }
  if (!take_token (is_write ? &standin->writes : &standin->reads))
    {
      standin->call_counts.over_rate++;
      send_error (standin, request, 429, "rate");
      return false;
    }
  return true;
}

/* Counts down lose_answers.  True if the write to key gets no response. */
static bool
is_response_lost (struct standin *standin, const char *key)
{
  const char *prefix = standin->faults.lose_writes_to;

  if (standin->faults.lose_answers <= 0
      || (prefix != NULL && strncmp (key, prefix, strlen (prefix)) != 0))
    return false;
  standin->faults.lose_answers--;
  standin->call_counts.answers_lost++;
  return true;
}

/* --- objects --- */

static struct object *
find_object (const struct standin *standin, const char *key)
{
  struct object *object;

  HASH_FIND_STR (standin->objects, key, object);
  return object;
}

static json_t *
pack_object (const struct object *object)
{
  return json_pack (
      "{s:s, s:I, s:o}", "key", object->key, "version",
      (json_int_t)object->version, "value",
      json_loadb (object->json_text, object->size, JSON_DECODE_ANY, NULL));
}

/* Returns the objects named in keys that are newer than revision. */
static json_t *
collect_changes (const struct standin *standin,
                 const char *keys,
                 uint64_t revision)
{
  json_t *list = json_array ();
  char *copy = strdup (keys);
  char *rest = copy;
  const char *key;

  if (copy == NULL)
    abort ();
  while ((key = strsep (&rest, ",")) != NULL)
    {
      const struct object *object = find_object (standin, key);

      if (object != NULL && object->version > revision)
        json_array_append_new (list, pack_object (object));
    }
  free (copy);
  return list;
}

static void
free_watcher (struct watcher *watcher)
{
  LIST_REMOVE (watcher, link);
  event_free (watcher->timer);
  free (watcher->keys);
  free (watcher);
}

static void
on_watch_timeout (evutil_socket_t fd, short events, void *context)
{
  struct watcher *watcher = context;
  struct evhttp_request *request = watcher->request;

  (void)fd;
  (void)events;
  free_watcher (watcher);
  send_json (running_standin, request, 204, NULL);
}

/* Sends the objects newer than revision.  False if there are none. */
static bool
send_changes (struct standin *standin,
              struct evhttp_request *request,
              const char *keys,
              uint64_t revision)
{
  json_t *changes = collect_changes (standin, keys, revision);

  if (json_array_size (changes) == 0)
    {
      json_decref (changes);
      return false;
    }
  send_json (standin, request, 200,
             json_pack ("{s:I, s:o}", "revision", (json_int_t)standin->revision,
                        "objects", changes));
  return true;
}

static void
notify_watchers (struct standin *standin)
{
  struct watcher *watcher = LIST_FIRST (&standin->watchers);

  while (watcher != NULL)
    {
      struct watcher *next = LIST_NEXT (watcher, link);

      if (send_changes (standin, watcher->request, watcher->keys,
                        watcher->revision))
        free_watcher (watcher);
      watcher = next;
    }
}

static void
reject_watchers (struct standin *standin)
{
  struct watcher *watcher = LIST_FIRST (&standin->watchers);

  while (watcher != NULL)
    {
      struct watcher *next = LIST_NEXT (watcher, link);
      struct evhttp_request *request = watcher->request;

      free_watcher (watcher);
      send_error (standin, request, 503, "outage");
      watcher = next;
    }
}

/*
 * Checks If-Match and If-None-Match.  On failure sends 412 (conflict), 428 (no
 * condition) or 400 and returns false.
 */
static bool
check_condition (struct standin *standin,
                 struct evhttp_request *request,
                 uint64_t version)
{
  const struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  const char *match = evhttp_find_header (headers, "If-Match");
  const char *none_match = evhttp_find_header (headers, "If-None-Match");
  uint64_t expected_version = 0;

  if (match != NULL)
    {
      char *end;

      if (match[0] != '"')
        {
          send_error (standin, request, 400, "If-Match");
          return false;
        }
      expected_version = strtoull (match + 1, &end, 10);
      if (strcmp (end, "\"") != 0 || expected_version == 0)
        {
          send_error (standin, request, 400, "If-Match");
          return false;
        }
    }
  else if (none_match == NULL || strcmp (none_match, "*") != 0)
    {
      send_error (standin, request, 428, "no condition");
      return false;
    }
  if (expected_version != version)
    {
      standin->call_counts.conflicts++;
      send_version (standin, request, 412, version);
      return false;
    }
  return true;
}

static void
handle_get (struct standin *standin,
            struct evhttp_request *request,
            const char *key)
{
  const struct object *object = find_object (standin, key);

  if (object == NULL)
    {
      send_error (standin, request, 404, "no such object");
      return;
    }
  standin->call_counts.bytes_read += object->size;
  send_json (standin, request, 200, pack_object (object));
}

static struct object *
add_object (struct standin *standin, const char *key)
{
  struct object *object = calloc (1, sizeof *object);

  if (object == NULL || (object->key = strdup (key)) == NULL)
    abort ();
  HASH_ADD_KEYPTR (hh, standin->objects, object->key, strlen (object->key),
                   object);
  return object;
}

static void
handle_put (struct standin *standin,
            struct evhttp_request *request,
            const char *key)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  const char *text = (const char *)evbuffer_pullup (input, -1);
  struct object *object = find_object (standin, key);
  json_t *value = NULL;

  if (size > VALUE_LIMIT)
    {
      send_error (standin, request, 413, "value too large");
      return;
    }
  if (size > 0)
    value = json_loadb (text, size, JSON_DECODE_ANY, NULL);
  if (value == NULL)
    {
      send_error (standin, request, 400, "value is not JSON");
      return;
    }
  json_decref (value);
  if (!check_condition (standin, request, object != NULL ? object->version : 0))
    return;
  if (object == NULL)
    object = add_object (standin, key);
  free (object->json_text);
  object->json_text = malloc (size);
  if (object->json_text == NULL)
    abort ();
  memcpy (object->json_text, text, size);
  object->size = size;
  object->version = ++standin->revision;
  standin->call_counts.bytes_written += size;
  if (is_response_lost (standin, key))
    schedule_close (standin, request);
  else
    send_version (standin, request, 200, object->version);
  notify_watchers (standin);
}

static void
handle_delete (struct standin *standin,
               struct evhttp_request *request,
               const char *key)
{
  struct object *object = find_object (standin, key);

  if (object == NULL)
    {
      send_error (standin, request, 404, "no such object");
      return;
    }
  if (!check_condition (standin, request, object->version))
    return;
  HASH_DEL (standin->objects, object);
  free (object->key);
  free (object->json_text);
  free (object);
  standin->revision++;
  if (is_response_lost (standin, key))
    schedule_close (standin, request);
  else
    send_version (standin, request, 200, standin->revision);
}

static void
handle_object (struct standin *standin,
               struct evhttp_request *request,
               const char *path)
{
  enum evhttp_cmd_type command = evhttp_request_get_command (request);
  char *key = evhttp_uridecode (path + strlen (OBJECTS_PATH), 0, NULL);
  enum call_kind kind = command == EVHTTP_REQ_GET   ? CALL_READ
                        : command == EVHTTP_REQ_PUT ? CALL_WRITE
                                                    : CALL_DELETE;

  if (key == NULL || *key == '\0')
    send_error (standin, request, 400, "key");
  else if (command == EVHTTP_REQ_POST)
    send_error (standin, request, 405, "method");
  else if (admit_call (standin, request, kind))
    {
      if (kind == CALL_READ)
        handle_get (standin, request, key);
      else if (kind == CALL_WRITE)
        handle_put (standin, request, key);
      else
        handle_delete (standin, request, key);
    }
  free (key);
}

static int
compare_keys (const struct object *a, const struct object *b)
{
  return strcmp (a->key, b->key);
}

static void
handle_list (struct standin *standin,
             struct evhttp_request *request,
             const char *prefix)
{
  json_t *keys = json_array ();
  struct object *object;
  struct object *next;

  HASH_SRT (hh, standin->objects, compare_keys);
  HASH_ITER (hh, standin->objects, object, next)
  {
    if (strncmp (object->key, prefix, strlen (prefix)) == 0)
      json_array_append_new (keys, json_pack ("{s:s, s:I}", "key", object->key,
                                              "version",
                                              (json_int_t)object->version));
  }
  send_json (standin, request, 200, json_pack ("{s:o}", "keys", keys));
}

static void
handle_watch (struct standin *standin,
              struct evhttp_request *request,
              const char *keys,
              uint64_t revision,
              int64_t wait_ms)
{
  struct watcher *watcher;
  struct timeval wait = { wait_ms / 1000, wait_ms % 1000 * 1000 };

  if (send_changes (standin, request, keys, revision))
    return;
  watcher = calloc (1, sizeof *watcher);
  if (watcher == NULL || (watcher->keys = strdup (keys)) == NULL)
    abort ();
  watcher->request = request;
  watcher->revision = revision;
  watcher->timer = evtimer_new (standin->base, on_watch_timeout, watcher);
  if (watcher->timer == NULL)
    abort ();
  LIST_INSERT_HEAD (&standin->watchers, watcher, link);
  evtimer_add (watcher->timer, &wait);
}

/* --- host list --- */

/* Takes ownership of hosts, an object with the member "hosts". */
static void
add_host_list (struct standin *standin, json_t *hosts)
{
  struct host_list *list = calloc (1, sizeof *list);

  if (list == NULL)
    abort ();
  list->published_ms = time_boot_ms ();
  list->hosts = hosts;
  TAILQ_INSERT_TAIL (&standin->host_lists, list, link);
}

static void
free_host_list (struct standin *standin, struct host_list *list)
{
  TAILQ_REMOVE (&standin->host_lists, list, link);
  json_decref (list->hosts);
  free (list);
}

static void
handle_hosts (struct standin *standin, struct evhttp_request *request)
{
  int64_t visible_ms = time_boot_ms () - standin->faults.host_list_lag_ms;
  struct host_list *list = TAILQ_FIRST (&standin->host_lists);
  struct host_list *next;

  while ((next = TAILQ_NEXT (list, link)) != NULL
         && next->published_ms <= visible_ms)
    {
      free_host_list (standin, list);
      list = next;
    }
  send_json (standin, request, 200, json_incref (list->hosts));
}

/* --- control --- */

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);

  if (size == 0)
    return NULL;
  return json_loadb ((const char *)evbuffer_pullup (input, -1), size, 0, NULL);
}

static void
read_integer (const json_t *body, const char *key, int64_t *out)
{
  const json_t *value = json_object_get (body, key);

  if (json_is_integer (value))
    *out = json_integer_value (value);
}

static void
set_partitioned_callers (struct standin *standin, json_t *value)
{
  json_t *list = json_array ();
  size_t index;
  json_t *item;

  if (json_is_string (value) && json_string_length (value) > 0)
    json_array_append (list, value);
  json_array_foreach (value, index, item)
    {
      if (json_is_string (item))
        json_array_append (list, item);
    }
  json_decref (standin->faults.partitioned_callers);
  standin->faults.partitioned_callers = list;
}

static void
handle_fault (struct standin *standin, struct evhttp_request *request)
{
  struct faults *faults = &standin->faults;
  json_t *body = read_body (request);
  json_t *value;

  if (!json_is_object (body))
    {
      json_decref (body);
      evhttp_send_error (request, 400, NULL);
      return;
    }
  value = json_object_get (body, "outage");
  if (json_is_boolean (value))
    faults->outage = json_is_true (value);
  read_integer (body, "delay_ms", &faults->delay_ms);
  read_integer (body, "lose_answers", &faults->lose_answers);
  read_integer (body, "drop_requests", &faults->drop_requests);
  read_integer (body, "host_list_lag_ms", &faults->host_list_lag_ms);
  read_integer (body, "date_offset_ms", &faults->date_offset_ms);
  value = json_object_get (body, "lose_writes_to");
  if (value != NULL)
    {
      free (faults->lose_writes_to);
      faults->lose_writes_to
          = json_is_string (value) ? strdup (json_string_value (value)) : NULL;
    }
  value = json_object_get (body, "refuse_from_header");
  if (value != NULL)
    set_partitioned_callers (standin, value);
  json_decref (body);
  evhttp_send_reply (request, 200, NULL, NULL);
  if (faults->outage)
    reject_watchers (standin);
}

static void
handle_set_hosts (struct standin *standin, struct evhttp_request *request)
{
  json_t *body = read_body (request);

  if (!json_is_array (json_object_get (body, "hosts")))
    {
      json_decref (body);
      evhttp_send_error (request, 400, NULL);
      return;
    }
  add_host_list (standin, body);
  evhttp_send_reply (request, 200, NULL, NULL);
}

static void
handle_calls (struct standin *standin, struct evhttp_request *request)
{
  const struct call_counts *counts = &standin->call_counts;
  const struct
  {
    const char *name;
    uint64_t value;
  } others[] = {
    { "over_rate", counts->over_rate },
    { "in_outage", counts->in_outage },
    { "dropped", counts->dropped },
    { "answers_lost", counts->answers_lost },
    { "conflicts", counts->conflicts },
    { "bytes_written", counts->bytes_written },
    { "bytes_read", counts->bytes_read },
  };
  struct evbuffer *buffer = evbuffer_new ();
  uint64_t total = 0;

  if (buffer == NULL)
    abort ();
  evbuffer_add_printf (buffer, "{");
  for (int i = 0; i < CALL_KINDS; i++)
    {
      evbuffer_add_printf (buffer, "\"%s\":%" PRIu64 ",", call_names[i],
                           counts->calls[i]);
      total += counts->calls[i];
    }
  for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
    evbuffer_add_printf (buffer, "\"%s\":%" PRIu64 ",", others[i].name,
                         others[i].value);
  evbuffer_add_printf (buffer, "\"total\":%" PRIu64 "}", total);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, 200, NULL, buffer);
  evbuffer_free (buffer);
}

/* --- dispatch --- */

static int64_t
get_query_number (struct evkeyvalq *query, const char *key)
{
  const char *text = evhttp_find_header (query, key);

  return text != NULL ? strtoll (text, NULL, 10) : 0;
}

static void
handle_service_request (struct standin *standin,
                        struct evhttp_request *request,
                        const char *path)
{
  const char *query_text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq query = { NULL, NULL };
  const char *prefix;
  const char *keys;

  TAILQ_INIT (&query);
  if (query_text != NULL)
    evhttp_parse_query_str (query_text, &query);
  prefix = evhttp_find_header (&query, "prefix");
  keys = evhttp_find_header (&query, "keys");
  if (strncmp (path, OBJECTS_PATH, strlen (OBJECTS_PATH)) == 0)
    handle_object (standin, request, path);
  else if (evhttp_request_get_command (request) != EVHTTP_REQ_GET)
    send_error (standin, request, 405, "method");
  else if (strcmp (path, "/v1/list") == 0)
    {
      if (admit_call (standin, request, CALL_LIST))
        handle_list (standin, request, prefix != NULL ? prefix : "");
    }
  else if (strcmp (path, "/v1/watch") == 0)
    {
      int64_t after = get_query_number (&query, "after");
      int64_t wait_ms = get_query_number (&query, "wait_ms");

      if (keys == NULL || after < 0 || wait_ms < 0 || wait_ms > WATCH_LIMIT_MS)
        send_error (standin, request, 400, "watch");
      else if (admit_call (standin, request, CALL_WATCH))
        handle_watch (standin, request, keys, (uint64_t)after, wait_ms);
    }
  else if (strcmp (path, "/v1/hosts") == 0)
    {
      if (admit_call (standin, request, CALL_HOSTS))
        handle_hosts (standin, request);
    }
  else
    send_error (standin, request, 404, "path");
  evhttp_clear_headers (&query);
}

static void
on_request (struct evhttp_request *request, void *context)
{
  struct standin *standin = context;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = uri != NULL ? evhttp_uri_get_path (uri) : NULL;
  enum evhttp_cmd_type command = evhttp_request_get_command (request);

  if (path == NULL)
    evhttp_send_error (request, 400, NULL);
  else if (strncmp (path, "/v1/", 4) == 0)
    handle_service_request (standin, request, path);
  else if (strcmp (path, "/control/fault") == 0 && command == EVHTTP_REQ_POST)
    handle_fault (standin, request);
  else if (strcmp (path, "/control/hosts") == 0 && command == EVHTTP_REQ_PUT)
    handle_set_hosts (standin, request);
  else if (strcmp (path, "/control/calls") == 0 && command == EVHTTP_REQ_GET)
    handle_calls (standin, request);
  else
    evhttp_send_error (request, 404, NULL);
}

/* --- start and stop --- */

static void
on_signal (evutil_socket_t fd, short events, void *context)
{
  (void)fd;
  (void)events;
  event_base_loopbreak (context);
}

static void
init_standin (struct standin *standin, double reads_per_s, double writes_per_s)
{
  memset (standin, 0, sizeof *standin);
  standin->reads.per_s = reads_per_s;
  standin->reads.tokens = reads_per_s;
  standin->reads.refilled_ms = time_boot_ms ();
  standin->writes.per_s = writes_per_s;
  standin->writes.tokens = writes_per_s;
  standin->writes.refilled_ms = time_boot_ms ();
  LIST_INIT (&standin->delayed_responses);
  LIST_INIT (&standin->watchers);
  TAILQ_INIT (&standin->host_lists);
  add_host_list (standin, json_pack ("{s:[]}", "hosts"));
}

static void
free_standin (struct standin *standin)
{
  struct watcher *watcher = LIST_FIRST (&standin->watchers);
  struct delayed_response *response = LIST_FIRST (&standin->delayed_responses);
  struct host_list *list = TAILQ_FIRST (&standin->host_lists);
  struct object *object = standin->objects;

  while (watcher != NULL)
    {
      struct watcher *next = LIST_NEXT (watcher, link);

      close_connection (watcher->request);
      free_watcher (watcher);
      watcher = next;
    }
  while (response != NULL)
    {
      struct delayed_response *next = LIST_NEXT (response, link);

      close_connection (response->request);
      free_response (response);
      response = next;
    }
  while (list != NULL)
    {
      struct host_list *next = TAILQ_NEXT (list, link);

      free_host_list (standin, list);
      list = next;
    }
  HASH_CLEAR (hh, standin->objects);
  while (object != NULL)
    {
      struct object *next = object->hh.next;

      free (object->key);
      free (object->json_text);
      free (object);
      object = next;
    }
  free (standin->faults.lose_writes_to);
  json_decref (standin->faults.partitioned_callers);
}

/* Returns the port that the server listens on, or -1 on failure. */
static int
listen_on (struct standin *standin, const char *address, int port)
{
  struct evhttp_bound_socket *bound;
  struct sockaddr_in name = { 0 };
  socklen_t size = sizeof name;

  bound
      = evhttp_bind_socket_with_handle (standin->http, address, (uint16_t)port);
  if (bound == NULL
      || getsockname (evhttp_bound_socket_get_fd (bound),
                      (struct sockaddr *)&name, &size)
             != 0)
    return -1;
  return ntohs (name.sin_port);
}

static int
run_standin (const char *address,
             int port,
             double reads_per_s,
             double writes_per_s)
{
  static struct standin standin;
  struct event *term = NULL;
  struct event *interrupt = NULL;
  int status = 1;

  init_standin (&standin, reads_per_s, writes_per_s);
  running_standin = &standin;
  standin.base = event_base_new ();
  standin.http = standin.base != NULL ? evhttp_new (standin.base) : NULL;
  if (standin.http == NULL)
    goto out;
  evhttp_set_allowed_methods (standin.http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT
                                                | EVHTTP_REQ_POST
                                                | EVHTTP_REQ_DELETE);
  /* Above VALUE_LIMIT, so that a value just over it gets a JSON response. */
  evhttp_set_max_body_size (standin.http, VALUE_LIMIT + 65536);
  evhttp_set_max_headers_size (standin.http, 65536);
  evhttp_set_gencb (standin.http, on_request, &standin);
  term = evsignal_new (standin.base, SIGTERM, on_signal, standin.base);
  interrupt = evsignal_new (standin.base, SIGINT, on_signal, standin.base);
  port = listen_on (&standin, address, port);
  if (term == NULL || interrupt == NULL || port < 0)
    {
      fprintf (stderr, "standin-platform: cannot listen on %s\n", address);
      goto out;
    }
  evsignal_add (term, NULL);
  evsignal_add (interrupt, NULL);
  printf ("listening port=%d\n", port);
  fflush (stdout);
  event_base_dispatch (standin.base);
  status = 0;
out:
  free_standin (&standin);
  if (term != NULL)
    event_free (term);
  if (interrupt != NULL)
    event_free (interrupt);
  if (standin.http != NULL)
    evhttp_free (standin.http);
  if (standin.base != NULL)
    event_base_free (standin.base);
  return status;
}

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str0 (NULL, "address", "IP", "127.0.0.1");
  struct arg_int *port = arg_int0 (NULL, "port", "N", "0 = ephemeral");
  struct arg_int *reads
      = arg_int0 (NULL, "reads-per-s", "N", "0 = no limit (default)");
  struct arg_int *writes
      = arg_int0 (NULL, "writes-per-s", "N", "0 = no limit (default)");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, port, reads, writes, help, end };
  int status = 2;
  int errors;

  address->sval[0] = "127.0.0.1";
  port->ival[0] = 0;
  reads->ival[0] = 0;
  writes->ival[0] = 0;
  errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      printf ("usage: standin-platform");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      status = 0;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "standin-platform");
  else
    status = run_standin (address->sval[0], port->ival[0], reads->ival[0],
                          writes->ival[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
