#include "rig.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

/* The store's history, as historyS in the settings of the sites. */
#define HISTORY_MS 20000
#define NAME_SIZE 96
/* Stands for raw_bytes in the objects. */
#define RAW_MARK "(raw)"

struct object
{
  char kind[NAME_SIZE];
  char name[NAME_SIZE];
  uint64_t revision;
  uint64_t created;
  json_t *spec;
  struct object *next;
};

struct change
{
  char kind[NAME_SIZE];
  uint64_t revision;
  int64_t at_ms;
  json_t *object;
  struct change *next; /* the next newer one */
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct object *objects;
static struct change *oldest;
static struct change **newest = &oldest;
static uint64_t last_revision = 10;
static uint64_t discarded_revision = 10;
static const char *raw_bytes;

static struct object *
find_object (const char *kind, const char *name)
{
  for (struct object *object = objects; object != NULL; object = object->next)
    if (strcmp (object->kind, kind) == 0 && strcmp (object->name, name) == 0)
      return object;
  return NULL;
}

static json_t *
encode_object (const struct object *object)
{
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:O, s:n}", "meta", "name",
                    object->name, "rev", (json_int_t)object->revision,
                    "created", (json_int_t)object->created, "finalizers",
                    "deleting", 0, "spec", object->spec, "status");
}

static void
discard_history (void)
{
  while (oldest != NULL && rig_now_ms () - oldest->at_ms > HISTORY_MS)
    {
      struct change *change = oldest;

      discarded_revision = change->revision;
      oldest = change->next;
      if (oldest == NULL)
        newest = &oldest;
      json_decref (change->object);
      free (change);
    }
}

/* Takes ownership of spec; the mutex is held. */
static struct object *
put_object (const char *kind, const char *name, json_t *spec)
{
  struct object *object = find_object (kind, name);
  struct change *change;

  if (object != NULL && json_equal (object->spec, spec))
    {
      json_decref (spec);
      return object;
    }
  change = calloc (1, sizeof *change);
  if (object == NULL)
    {
      object = calloc (1, sizeof *object);
      if (object == NULL)
        abort ();
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
      object->created = last_revision + 1;
      object->next = objects;
      objects = object;
    }
  if (change == NULL)
    abort ();
  json_decref (object->spec);
  object->spec = spec;
  object->revision = ++last_revision;
  snprintf (change->kind, sizeof change->kind, "%s", kind);
  change->revision = last_revision;
  change->at_ms = rig_now_ms ();
  change->object = encode_object (object);
  *newest = change;
  newest = &change->next;
  discard_history ();
  pthread_cond_broadcast (&changed);
  return object;
}

void
store_put (const char *kind, const char *name, json_t *spec)
{
  pthread_mutex_lock (&mutex);
  put_object (kind, name, spec);
  pthread_mutex_unlock (&mutex);
}

void
store_put_raw (const char *kind, const char *name, const char *bytes)
{
  pthread_mutex_lock (&mutex);
  raw_bytes = bytes;
  put_object (kind, name, json_string (RAW_MARK));
  pthread_mutex_unlock (&mutex);
}

/* Puts the raw bytes in the place of their marks. */
static char *
insert_raw_bytes (char *text)
{
  static const char mark[] = "\"" RAW_MARK "\"";
  char *found = text != NULL ? strstr (text, mark) : NULL;

  while (raw_bytes != NULL && found != NULL)
    {
      size_t before = (size_t)(found - text);
      size_t size = strlen (text) + strlen (raw_bytes) + 1;
      char *longer = malloc (size);

      if (longer == NULL)
        abort ();
      snprintf (longer, size, "%.*s%s%s", (int)before, text, raw_bytes,
                found + strlen (mark));
      free (text);
      text = longer;
      found = strstr (text + before + strlen (raw_bytes), mark);
    }
  return text;
}

static json_t *
list_objects (const char *kind)
{
  json_t *entries = json_array ();

  for (struct object *object = objects; object != NULL; object = object->next)
    if (strcmp (object->kind, kind) == 0)
      json_array_append_new (entries, encode_object (object));
  return json_pack ("{s:o, s:b, s:I}", "entries", entries, "hasMore", 0, "asOf",
                    (json_int_t)last_revision);
}

static json_t *
list_changes (const char *kind, uint64_t since)
{
  json_t *events = json_array ();

  for (struct change *change = oldest; change != NULL; change = change->next)
    if (change->revision > since && strcmp (change->kind, kind) == 0)
      json_array_append_new (events, json_pack ("{s:O, s:b}", "object",
                                                change->object, "deleted", 0));
  return events;
}

static json_t *
watch (const char *kind, uint64_t since, int64_t wait_ms, unsigned *status)
{
  int64_t until_ms = rig_now_ms () + wait_ms;

  for (;;)
    {
      json_t *events;
      int64_t left_ms = until_ms - rig_now_ms ();
      struct timespec until;

      discard_history ();
      if (since < discarded_revision || since > last_revision)
        {
          *status = 410;
          return json_object ();
        }
      events = list_changes (kind, since);
      if (json_array_size (events) > 0 || left_ms <= 0)
        return json_pack ("{s:o, s:I}", "events", events, "asOf",
                          (json_int_t)last_revision);
      json_decref (events);
      clock_gettime (CLOCK_REALTIME, &until);
      until.tv_nsec += left_ms % 1000 * 1000000;
      until.tv_sec += left_ms / 1000 + until.tv_nsec / 1000000000;
      until.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&changed, &mutex, &until);
    }
}

static uint64_t
get_query_number (const char *query, const char *name)
{
  const char *found = strstr (query, name);

  return found != NULL ? strtoull (found + strlen (name), NULL, 10) : 0;
}

static json_t *
write_object (const char *method,
              const char *kind,
              const char *name,
              const json_t *body,
              unsigned *status)
{
  json_t *meta = json_object_get (body, "meta");
  json_t *spec = json_object_get (body, "spec");
  const json_t *revision = json_object_get (meta, "rev");
  struct object *object;

  if (strcmp (method, "POST") == 0)
    name = json_string_value (json_object_get (meta, "name"));
  if (name == NULL || spec == NULL)
    {
      *status = 400;
      return json_object ();
    }
  object = find_object (kind, name);
  if (strcmp (method, "POST") == 0
          ? object != NULL
          : object != NULL && revision != NULL
                && (uint64_t)json_integer_value (revision) != object->revision)
    {
      *status = 409;
      return encode_object (object);
    }
  if (strcmp (method, "PUT") == 0 && object == NULL)
    {
      *status = 404;
      return json_object ();
    }
  return encode_object (put_object (kind, name, json_incref (spec)));
}

/* Carries out the call; the mutex is held. */
static json_t *
execute (char *method, char *target, const json_t *body, unsigned *status)
{
  char *query = strchr (target, '?');
  char *kind = target + strlen ("/v1/objects/");
  char *name;
  struct object *object;

  *status = 200;
  if (strncmp (target, "/v1/objects/", strlen ("/v1/objects/")) != 0)
    {
      *status = 400;
      return json_object ();
    }
  if (query != NULL)
    *query++ = '\0';
  name = strchr (kind, '/');
  if (name != NULL)
    *name++ = '\0';
  if (strcmp (method, "GET") != 0)
    return write_object (method, kind, name, body, status);
  if (query != NULL && strstr (query, "watch=") != NULL)
    return watch (kind, get_query_number (query, "watch="),
                  (int64_t)get_query_number (query, "waitMs="), status);
  if (name == NULL)
    return list_objects (kind);
  object = find_object (kind, name);
  if (object != NULL)
    return encode_object (object);
  *status = 404;
  return json_object ();
}

static bool
answer (struct conn *conn, char head[HEAD_SIZE])
{
  size_t size = net_content_length (head);
  char *body = calloc (1, size + 1);
  char method[16];
  char target[1024];
  char fields[256];
  unsigned status;
  json_t *request;
  json_t *response;
  char *text;
  bool sent;

  if (body == NULL || !net_read (conn, body, size)
      || sscanf (head, "%15s %1023s", method, target) != 2)
    {
      free (body);
      return false;
    }
  request = json_loadb (body, size, 0, NULL);
  free (body);
  pthread_mutex_lock (&mutex);
  response = execute (method, target, request, &status);
  text = insert_raw_bytes (json_dumps (response, JSON_COMPACT));
  json_decref (response);
  json_decref (request);
  pthread_mutex_unlock (&mutex);
  if (text == NULL)
    return false;
  snprintf (fields, sizeof fields,
            "HTTP/1.1 %u OK\r\nContent-Type: application/json\r\n"
            "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
            status, strlen (text));
  sent = net_send (conn, fields, strlen (fields))
         && net_send (conn, text, strlen (text));
  free (text);
  return sent;
}

static void *
serve_connection (void *context)
{
  struct conn *conn = context;
  char head[HEAD_SIZE];

  while (net_read_head (conn, head) && answer (conn, head))
    ;
  net_close (conn);
  free (conn);
  return NULL;
}

static void *
accept_connections (void *context)
{
  int listener = *(int *)context;

  for (;;)
    {
      struct conn *conn = calloc (1, sizeof *conn);

      if (conn == NULL)
        abort ();
      conn->fd = accept (listener, NULL, NULL);
      if (conn->fd >= 0)
        rig_start_thread (serve_connection, conn);
      else
        free (conn);
    }
  return NULL;
}

uint16_t
store_start (void)
{
  static int listener;
  uint16_t port = 0;

  listener = net_listen ("127.0.0.1", &port);
  rig_start_thread (accept_connections, &listener);
  return port;
}
