#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define BINARY "target/packages/daemon/waxwinglinkd"
#define HEAD_SIZE 65536
#define OBJECT_LIMIT 256
#define HISTORY_LIMIT 4096
#define SERVER_LIMIT 16
#define CONNECTION_LIMIT 256
#define BORN_MS INT64_C (1765000000000)
#define HOST_LIMIT 8
#define READY_LIMIT_MS 10000
#define STACK_BYTES 262144
#define PORT_FIRST 12000
#define PORT_COUNT 20000
#define PORT_TRIES 100

struct object
{
  char kind[64];
  char name[RIG_NAME_SIZE];
  uint64_t revision;
  char *spec;
};

/* A change of the store, for watches. */
struct change
{
  char kind[64];
  uint64_t revision;
  char *text; /* the object as JSON */
};

struct running_server
{
  struct rig_server server;
  int listener; /* -1 = it has crashed */
  int port;
  int64_t born_ms;
  unsigned runs;
  int connections[CONNECTION_LIMIT]; /* 0 = free */
};

static struct
{
  FILE *record;
  bool has_trouble;
  int64_t started_ms;
  char folder[64];
  pthread_mutex_t lock;
  pthread_cond_t changed;
  uint64_t revision;
  struct object objects[OBJECT_LIMIT];
  unsigned object_count;
  struct change history[HISTORY_LIMIT];
  unsigned history_count;
  int store_listener;
  int store_port;
  struct running_server servers[SERVER_LIMIT];
  unsigned server_count;
  struct rig_times deadly_runs;
  struct rig_times crashes;
  struct rig_host *hosts[HOST_LIMIT];
  unsigned host_count;
  unsigned call_number;
} rig = { .lock = PTHREAD_MUTEX_INITIALIZER };

int64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_sleep_ms (int64_t ms)
{
  struct timespec duration
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}

static _Noreturn void
cannot_run (const char *reason)
{
  fprintf (stderr, "cannot run: %s (%s)\n", reason, strerror (errno));
  rig_end (RIG_CANNOT_RUN);
}

bool
rig_has_trouble (void)
{
  return rig.has_trouble;
}

void
rig_record (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&rig.lock);
  if (rig.record != NULL)
    {
      fprintf (rig.record, "%8.3f ",
               (double)(rig_now_ms () - rig.started_ms) / 1000);
      va_start (arguments, format);
      vfprintf (rig.record, format, arguments);
      va_end (arguments);
      fputc ('\n', rig.record);
      fflush (rig.record);
    }
  pthread_mutex_unlock (&rig.lock);
}

/* Listens at the port, or at any if it is 0; sets it. */
static int
listen_at (int *port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)*port) };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 1024) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    cannot_run ("no free port");
  *port = ntohs (address.sin_port);
  return fd;
}

static void
start_thread (void *(*run) (void *context), void *context)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    cannot_run ("no thread");
  pthread_attr_destroy (&attributes);
}

static bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      data += sent;
      size -= (size_t)sent;
    }
  return true;
}

/* Reads a head, and no byte after it; false at the end of the connection. */
static bool
read_head (int fd, char *head, size_t size)
{
  size_t used = 0;

  while (used + 1 < size)
    {
      ssize_t got = recv (fd, head + used, size - used - 1, MSG_PEEK);
      char *end;

      if (got <= 0)
        return false;
      head[used + (size_t)got] = '\0';
      end = strstr (head + (used > 3 ? used - 3 : 0), "\r\n\r\n");
      if (end != NULL)
        got = (end + 4) - (head + used);
      if (recv (fd, head + used, (size_t)got, 0) != got)
        return false;
      used += (size_t)got;
      head[used] = '\0';
      if (end != NULL)
        return true;
    }
  return false;
}

/* Writes the value of a field of the head; "" if it is missing. */
static void
get_field (const char *head, const char *name, char *value, size_t size)
{
  const char *line = strstr (head, "\r\n");
  size_t length = strlen (name);

  value[0] = '\0';
  for (; line != NULL; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, length) == 0 && line[2 + length] == ':')
      {
        const char *start = line + 3 + length;
        size_t used;

        start += strspn (start, " ");
        used = strcspn (start, "\r");
        snprintf (value, size, "%.*s", (int)used, start);
        return;
      }
}

static char *
read_body (int fd, const char *head, size_t *size)
{
  char value[32];
  char *body;

  get_field (head, "Content-Length", value, sizeof value);
  *size = strtoul (value, NULL, 10);
  body = calloc (1, *size + 1);
  for (size_t used = 0; body != NULL && used < *size;)
    {
      ssize_t got = recv (fd, body + used, *size - used, 0);

      if (got <= 0)
        {
          free (body);
          return NULL;
        }
      used += (size_t)got;
    }
  return body;
}

/* The store.  Callers of the functions below hold the lock. */

static struct object *
find_object (const char *kind, const char *name)
{
  for (unsigned i = 0; i < rig.object_count; i++)
    if (strcmp (rig.objects[i].kind, kind) == 0
        && strcmp (rig.objects[i].name, name) == 0)
      return &rig.objects[i];
  return NULL;
}

static char *
format_object (const struct object *object)
{
  size_t size = strlen (object->spec) + RIG_NAME_SIZE + 160;
  char *text = malloc (size);

  if (text == NULL)
    abort ();
  snprintf (text, size,
            "{\"meta\":{\"name\":\"%s\",\"rev\":%" PRIu64
            ",\"created\":1,\"finalizers\":[],\"deleting\":false},"
            "\"spec\":%s,\"status\":null}",
            object->name, object->revision, object->spec);
  return text;
}

static struct object *
put_object (const char *kind, const char *name, const char *spec)
{
  struct object *object = find_object (kind, name);
  struct change *change;

  if (rig.object_count == OBJECT_LIMIT || rig.history_count == HISTORY_LIMIT)
    abort ();
  if (object == NULL)
    {
      object = &rig.objects[rig.object_count++];
      snprintf (object->kind, sizeof object->kind, "%s", kind);
      snprintf (object->name, sizeof object->name, "%s", name);
    }
  else if (strcmp (object->spec, spec) == 0)
    return object;
  free (object->spec);
  object->spec = strdup (spec);
  object->revision = ++rig.revision;
  change = &rig.history[rig.history_count++];
  snprintf (change->kind, sizeof change->kind, "%s", kind);
  change->revision = rig.revision;
  change->text = format_object (object);
  pthread_cond_broadcast (&rig.changed);
  return object;
}

void
rig_put (const char *kind, const char *name, const char *spec)
{
  pthread_mutex_lock (&rig.lock);
  put_object (kind, name, spec);
  pthread_mutex_unlock (&rig.lock);
}

static void
append (char **text, size_t *size, const char *part)
{
  size_t length = strlen (part);
  char *longer = realloc (*text, *size + length + 1);

  if (longer == NULL)
    abort ();
  memcpy (longer + *size, part, length + 1);
  *text = longer;
  *size += length;
}

static char *
format_list (const char *kind)
{
  char *text = NULL;
  size_t size = 0;
  char end[96];

  append (&text, &size, "{\"entries\":[");
  for (unsigned i = 0; i < rig.object_count; i++)
    if (strcmp (rig.objects[i].kind, kind) == 0)
      {
        char *object = format_object (&rig.objects[i]);

        if (text[size - 1] != '[')
          append (&text, &size, ",");
        append (&text, &size, object);
        free (object);
      }
  snprintf (end, sizeof end, "],\"hasMore\":false,\"asOf\":%" PRIu64 "}",
            rig.revision);
  append (&text, &size, end);
  return text;
}

/* Returns the changes after the revision, once there is one. */
static char *
format_changes (const char *kind, uint64_t after, int wait_ms)
{
  struct timespec until;
  char *text = NULL;
  size_t size = 0;
  char end[64];
  bool has_event = false;
  bool is_over = false;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  append (&text, &size, "{\"events\":[");
  while (!has_event && !is_over)
    {
      for (unsigned i = 0; i < rig.history_count; i++)
        if (rig.history[i].revision > after
            && strcmp (rig.history[i].kind, kind) == 0)
          {
            append (&text, &size, has_event ? ",{\"object\":" : "{\"object\":");
            append (&text, &size, rig.history[i].text);
            append (&text, &size, ",\"deleted\":false}");
            has_event = true;
          }
      if (!has_event)
        is_over = pthread_cond_timedwait (&rig.changed, &rig.lock, &until) != 0;
    }
  snprintf (end, sizeof end, "],\"asOf\":%" PRIu64 "}", rig.revision);
  append (&text, &size, end);
  return text;
}

/* Executes a write.  The body is {"meta":{...},"spec":...}. */
static unsigned
write_object (const char *method,
              const char *kind,
              const char *name,
              char *body,
              char **text)
{
  char *spec = strstr (body, "\"spec\":");
  const char *condition = strstr (body, "\"rev\":");
  const char *named = strstr (body, "\"name\":\"");
  char created[RIG_NAME_SIZE];
  struct object *object;

  if (spec == NULL || named == NULL)
    return 400;
  if (condition > spec)
    condition = NULL;
  body[strlen (body) - 1] = '\0';
  if (strcmp (method, "POST") == 0)
    {
      snprintf (created, sizeof created, "%.*s", (int)strcspn (named + 8, "\""),
                named + 8);
      name = created;
    }
  object = find_object (kind, name);
  if (strcmp (method, "PUT") == 0 && object == NULL)
    return 404;
  if (object != NULL
      && (strcmp (method, "POST") == 0
          || (condition != NULL
              && strtoull (condition + 6, NULL, 10) != object->revision)))
    {
      *text = format_object (object);
      return 409;
    }
  *text = format_object (put_object (kind, name, spec + 7));
  return 200;
}

static unsigned
execute_call (const char *head, char *body, char **text)
{
  char method[8] = "";
  char target[RIG_NAME_SIZE * 2] = "";
  char *query;
  char *kind;
  char *name;
  char *watch;

  if (sscanf (head, "%7s %1023s", method, target) != 2
      || strncmp (target, "/v1/objects/", 12) != 0)
    return 400;
  query = strchr (target, '?');
  if (query != NULL)
    *query++ = '\0';
  kind = target + 12;
  name = strchr (kind, '/');
  if (name != NULL)
    *name++ = '\0';
  if (strcmp (method, "GET") != 0)
    return write_object (method, kind, name != NULL ? name : "", body, text);
  watch = query != NULL ? strstr (query, "watch=") : NULL;
  if (name != NULL)
    {
      struct object *object = find_object (kind, name);

      if (object == NULL)
        return 404;
      *text = format_object (object);
    }
  else if (watch != NULL)
    {
      char *wait = strstr (query, "waitMs=");

      *text = format_changes (kind, strtoull (watch + 6, NULL, 10),
                              wait != NULL ? atoi (wait + 7) : 0);
    }
  else
    *text = format_list (kind);
  return 200;
}

static void *
serve_store (void *context)
{
  int *connection = context;
  int fd = *connection;
  char *head = malloc (HEAD_SIZE);
  bool is_open = true;

  while (head != NULL && is_open && read_head (fd, head, HEAD_SIZE))
    {
      size_t size;
      char *body = read_body (fd, head, &size);
      char *text = NULL;
      char start[192];
      unsigned status;

      if (body == NULL)
        break;
      pthread_mutex_lock (&rig.lock);
      status = execute_call (head, body, &text);
      pthread_mutex_unlock (&rig.lock);
      snprintf (start, sizeof start,
                "HTTP/1.1 %u Status\r\nContent-Type: application/json\r\n"
                "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
                status, text != NULL ? strlen (text) : 2);
      is_open = send_all (fd, start, strlen (start))
                && send_all (fd, text != NULL ? text : "{}",
                             text != NULL ? strlen (text) : 2);
      free (text);
      free (body);
    }
  free (head);
  free (connection);
  close (fd);
  return NULL;
}

static void *
accept_store_calls (void *context)
{
  (void)context;
  for (;;)
    {
      int *connection = malloc (sizeof *connection);

      if (connection == NULL)
        abort ();
      *connection = accept4 (rig.store_listener, NULL, NULL, SOCK_CLOEXEC);
      if (*connection >= 0)
        start_thread (serve_store, connection);
      else
        free (connection);
    }
  return NULL;
}

/* Servers. */

struct server_connection
{
  struct running_server *server;
  int fd;
};

static void
note_time (struct rig_times *times)
{
  pthread_mutex_lock (&rig.lock);
  if (times->count < RIG_TIMES_LIMIT)
    times->list_ms[times->count++] = rig_now_ms ();
  pthread_mutex_unlock (&rig.lock);
}

struct rig_times
rig_get_deadly_runs (void)
{
  struct rig_times times;

  pthread_mutex_lock (&rig.lock);
  times = rig.deadly_runs;
  pthread_mutex_unlock (&rig.lock);
  return times;
}

struct rig_times
rig_get_crashes (void)
{
  struct rig_times times;

  pthread_mutex_lock (&rig.lock);
  times = rig.crashes;
  pthread_mutex_unlock (&rig.lock);
  return times;
}

static void
register_server (const struct running_server *running)
{
  char spec[2 * RIG_NAME_SIZE];

  snprintf (spec, sizeof spec,
            "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"a\","
            "\"version\":\"1\",\"slots\":64,\"state\":\"ready\","
            "\"coldLeftMs\":0,\"seq\":1,\"born\":%" PRId64 "}",
            running->server.service, running->port, running->born_ms);
  rig_put ("servers", running->server.id, spec);
}

static void *accept_requests (void *context);
static int choose_port (int type);

static void *
restart_server (void *context)
{
  struct running_server *running = context;

  rig_sleep_ms (running->server.restart_ms);
  running->listener = listen_at (&running->port);
  running->born_ms = BORN_MS + rig_now_ms ();
  register_server (running);
  rig_record ("server %s is back", running->server.id);
  start_thread (accept_requests, running);
  return NULL;
}

/* Ends all connections and the listener, as the end of the process would. */
static void
crash_server (struct running_server *running)
{
  pthread_mutex_lock (&rig.lock);
  if (running->listener < 0)
    {
      pthread_mutex_unlock (&rig.lock);
      return;
    }
  shutdown (running->listener, SHUT_RDWR);
  close (running->listener);
  running->listener = -1;
  for (unsigned i = 0; i < CONNECTION_LIMIT; i++)
    if (running->connections[i] != 0)
      shutdown (running->connections[i], SHUT_RDWR);
  pthread_mutex_unlock (&rig.lock);
  note_time (&rig.crashes);
  rig_record ("server %s crashes", running->server.id);
  start_thread (restart_server, running);
}

/* Takes the first line of a head, without its end. */
static int
first_line_size (const char *head)
{
  return (int)strcspn (head, "\r");
}

static bool
is_deadly (const struct rig_server *server, const char *head)
{
  const char *word
      = server->deadly_word != NULL ? strstr (head, server->deadly_word) : NULL;

  return word != NULL && word < head + first_line_size (head);
}

static bool
send_stream (struct running_server *running,
             int fd,
             const char *head,
             const char *id)
{
  const struct rig_server *server = &running->server;
  bool deadly = is_deadly (server, head);
  char text[2 * RIG_NAME_SIZE + 256];
  char last[32];
  unsigned first;

  get_field (head, "Last-Event-Id", last, sizeof last);
  first = (unsigned)strtoul (last, NULL, 10) + 1;
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            id, server->id, id);
  if (!send_all (fd, text, strlen (text)))
    return false;
  for (unsigned event = first; event <= server->event_count; event++)
    {
      char data[64];

      rig_sleep_ms (server->delay_ms);
      snprintf (data, sizeof data, "id: %u\ndata: piece %u\n\n", event, event);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (data), data);
      if (!send_all (fd, text, strlen (text)))
        return false;
      if (deadly && event - first + 1 >= server->deadly_events)
        {
          crash_server (running);
          return false;
        }
    }
  return send_all (fd, "0\r\n\r\n", 5);
}

static bool
send_plain (const struct rig_server *server, int fd, const char *id)
{
  char start[2 * RIG_NAME_SIZE + 256];
  char *body;
  bool is_sent;

  rig_sleep_ms (server->delay_ms);
  body = malloc (server->response_bytes);
  if (body == NULL)
    return false;
  memset (body, 'r', server->response_bytes);
  snprintf (start, sizeof start,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\n"
            "Content-Type: text/plain\r\nContent-Length: %zu\r\n\r\n",
            id, server->id, id, server->response_bytes);
  is_sent = send_all (fd, start, strlen (start))
            && send_all (fd, body, server->response_bytes);
  free (body);
  return is_sent;
}

static bool
answer_request (struct running_server *running, int fd, const char *head)
{
  const struct rig_server *server = &running->server;
  char id[RIG_NAME_SIZE];
  char expected[RIG_NAME_SIZE];
  char start[2 * RIG_NAME_SIZE + 256];

  get_field (head, "X-Attempt-Id", id, sizeof id);
  get_field (head, "X-Expect-Instance", expected, sizeof expected);
  if (expected[0] != '\0' && strcmp (expected, server->id) != 0)
    {
      snprintf (start, sizeof start,
                "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %s\r\n"
                "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                id);
      return send_all (fd, start, strlen (start));
    }
  if (strncmp (head, "GET /healthz ", 13) == 0)
    {
      snprintf (start, sizeof start,
                "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                "Content-Length: 0\r\n\r\n",
                server->id);
      return send_all (fd, start, strlen (start));
    }
  rig_record ("server %s (service %.40s%s) runs request %s: %.*s", server->id,
              server->service, strlen (server->service) > 40 ? "..." : "", id,
              first_line_size (head), head);
  if (is_deadly (server, head))
    note_time (&rig.deadly_runs);
  pthread_mutex_lock (&rig.lock);
  running->runs++;
  pthread_mutex_unlock (&rig.lock);
  return server->event_count > 0 ? send_stream (running, fd, head, id)
                                 : send_plain (server, fd, id);
}

/* Remembers the connection, or forgets it, for a crash. */
static void
replace_connection (struct running_server *running, int old, int new)
{
  pthread_mutex_lock (&rig.lock);
  for (unsigned i = 0; i < CONNECTION_LIMIT; i++)
    if (running->connections[i] == old)
      {
        running->connections[i] = new;
        break;
      }
  pthread_mutex_unlock (&rig.lock);
}

static void *
serve_requests (void *context)
{
  struct server_connection *connection = context;
  char *head = malloc (HEAD_SIZE);
  bool is_open = true;

  replace_connection (connection->server, 0, connection->fd);
  while (head != NULL && is_open && read_head (connection->fd, head, HEAD_SIZE))
    {
      size_t size;
      char *body = read_body (connection->fd, head, &size);

      is_open = body != NULL
                && answer_request (connection->server, connection->fd, head);
      free (body);
    }
  free (head);
  replace_connection (connection->server, connection->fd, 0);
  close (connection->fd);
  free (connection);
  return NULL;
}

static void *
accept_requests (void *context)
{
  struct running_server *running = context;

  for (;;)
    {
      struct server_connection *connection;
      int fd = accept4 (running->listener, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0 && errno != EINTR && errno != ECONNABORTED)
        return NULL;
      if (fd < 0)
        continue;
      connection = calloc (1, sizeof *connection);
      if (connection == NULL)
        abort ();
      connection->server = running;
      connection->fd = fd;
      start_thread (serve_requests, connection);
    }
  return NULL;
}

void
rig_start_server (const struct rig_server *server)
{
  struct running_server *running = &rig.servers[rig.server_count++];

  running->server = *server;
  running->port = choose_port (SOCK_STREAM);
  running->listener = listen_at (&running->port);
  running->born_ms = BORN_MS;
  start_thread (accept_requests, running);
  register_server (running);
}

unsigned
rig_count_runs (const char *service)
{
  unsigned count = 0;

  pthread_mutex_lock (&rig.lock);
  for (unsigned i = 0; i < rig.server_count; i++)
    if (strcmp (rig.servers[i].server.service, service) == 0)
      count += rig.servers[i].runs;
  pthread_mutex_unlock (&rig.lock);
  return count;
}

/* Hosts. */

/*
 * Returns a free port below those that the kernel gives to outgoing
 * connections, so that it stays free while a process is started again.
 */
static int
choose_port (int type)
{
  for (int i = 0; i < PORT_TRIES; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      int port = PORT_FIRST + (int)(random () % PORT_COUNT);
      int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
      bool is_free;

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      address.sin_port = htons ((uint16_t)port);
      if (fd < 0)
        break;
      is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return port;
    }
  cannot_run ("no free port");
}

/* Writes the settings as deploy/settings.yaml.in gives them. */
static void
write_settings (const struct rig_host *host, const char *path)
{
  FILE *file = fopen (path, "we");

  if (file == NULL)
    cannot_run ("no settings file");
  fprintf (file,
           "host: \"%s\"\ndata_centre: \"a\"\ndata_centres:\n  - \"a\"\n"
           "callers:\n  listen: \"127.0.0.1:%d\"\n"
           "readiness:\n  listen: \"127.0.0.1:%d\"\n"
           "peers:\n  address: \"127.0.0.1\"\n  port: %d\n  seeds:\n",
           host->name, host->callers_port, host->ready_port, host->peers_port);
  for (unsigned i = 0; i < rig.host_count; i++)
    fprintf (file, "    - \"127.0.0.1:%d\"\n", rig.hosts[i]->peers_port);
  fprintf (file,
           "processor:\n  cores: 0.17\nmemory:\n  limit_mb: %d\n"
           "platform:\n  store: \"127.0.0.1:%d\"\ndrain:\n  limit_s: 8\n"
           "keys:\n  revoke_ms: 5000\nconfiguration:\n  in_force_ms: 2000\n"
           "endpoints:\n  leave_ms: 2000\ncold: {\n  }\n"
           "retry:\n  ratio: 0.2\n  slack: 260\n  window_s: 10\n",
           host->memory_mb, rig.store_port);
  fclose (file);
}

static void
run_host (const struct rig_host *host, const char *settings, const char *log)
{
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  struct rlimit limit;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (fd < 0 || dup2 (fd, STDOUT_FILENO) < 0 || dup2 (fd, STDERR_FILENO) < 0)
    _exit (127);
  if (host->descriptors > 0 && getrlimit (RLIMIT_NOFILE, &limit) == 0
      && limit.rlim_max >= (rlim_t)host->descriptors)
    {
      limit.rlim_cur = (rlim_t)host->descriptors;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  execl (BINARY, BINARY, "--platform", "--settings", settings, (char *)NULL);
  _exit (127);
}

static int
connect_to (int port, int limit_ms, int receive_bytes)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd waiting = { .fd = fd, .events = POLLOUT };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0)
    return -1;
  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0
      && (errno != EINPROGRESS || poll (&waiting, 1, limit_ms) != 1
          || (waiting.revents & POLLERR) != 0))
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Receives with a time limit; 0 at the end, -1 without a byte in time. */
static ssize_t
receive (int fd, char *data, size_t size, int64_t until_ms)
{
  struct pollfd waiting = { .fd = fd, .events = POLLIN };
  int64_t left_ms = until_ms - rig_now_ms ();
  ssize_t got;

  if (left_ms <= 0 || poll (&waiting, 1, (int)left_ms) != 1)
    return -1;
  got = recv (fd, data, size, 0);
  return got < 0 ? 0 : got;
}

bool
rig_is_ready (const struct rig_host *host)
{
  static const char request[]
      = "GET /v1/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  int fd = connect_to (host->ready_port, 500, 0);
  char answer[16] = "";
  bool ready;

  if (fd < 0)
    return false;
  ready = send_all (fd, request, sizeof request - 1)
          && receive (fd, answer, sizeof answer - 1, rig_now_ms () + 500) > 12
          && strncmp (answer + 9, "200", 3) == 0;
  close (fd);
  return ready;
}

static void
choose_ports (struct rig_host *host)
{
  if (host->callers_port != 0)
    return;
  host->callers_port = choose_port (SOCK_STREAM);
  host->ready_port = choose_port (SOCK_STREAM);
  host->peers_port = choose_port (SOCK_DGRAM);
  rig.hosts[rig.host_count++] = host;
}

bool
rig_start_host (struct rig_host *host)
{
  char settings[128];
  char log[128];
  int64_t until_ms = rig_now_ms () + READY_LIMIT_MS;

  choose_ports (host);
  snprintf (settings, sizeof settings, "%s/%s.yaml", rig.folder, host->name);
  snprintf (log, sizeof log, "%s/%s.log", rig.folder, host->name);
  write_settings (host, settings);
  host->pid = fork ();
  if (host->pid == 0)
    run_host (host, settings, log);
  if (host->pid < 0)
    cannot_run ("no process");
  while (rig_now_ms () < until_ms)
    {
      if (rig_is_ready (host))
        {
          rig_record ("host %s (process %d) is ready", host->name,
                      (int)host->pid);
          return true;
        }
      rig_sleep_ms (50);
    }
  return false;
}

size_t
rig_host_memory (const struct rig_host *host)
{
  char path[64];
  long pages = 0;
  FILE *file;

  if (host->pid == 0 || waitpid (host->pid, NULL, WNOHANG) != 0)
    return 0;
  snprintf (path, sizeof path, "/proc/%d/statm", (int)host->pid);
  file = fopen (path, "re");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*d %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return (size_t)pages * (size_t)sysconf (_SC_PAGESIZE);
}

void
rig_kill_host (struct rig_host *host)
{
  if (host->pid <= 0)
    return;
  kill (host->pid, SIGKILL);
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
}

/* The client. */

static unsigned
count_call (void)
{
  unsigned number;

  pthread_mutex_lock (&rig.lock);
  number = ++rig.call_number;
  pthread_mutex_unlock (&rig.lock);
  return number;
}

static bool
send_request (int fd,
              const struct rig_request *request,
              struct rig_answer *answer)
{
  char head[4096];
  char *body = calloc (1, request->body_bytes + 1);
  int flags = fcntl (fd, F_GETFL);
  bool is_sent;

  if (body == NULL)
    return false;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
            "X-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
            request->method, request->path, request->host, answer->id,
            request->deadline_ms, request->body_bytes);
  memset (body, 'b', request->body_bytes);
  fcntl (fd, F_SETFL, flags & ~O_NONBLOCK);
  is_sent = send_all (fd, head, strlen (head))
            && send_all (fd, body, request->body_bytes);
  free (body);
  return is_sent;
}

/* Reads a response in chunks up to the last one, whose text is the end. */
static void
read_chunks (int fd,
             struct rig_answer *answer,
             const char *first,
             int64_t until_ms)
{
  static const char last_chunk[] = "\r\n0\r\n\r\n";
  size_t size = sizeof last_chunk - 1;
  char data[4096 + 16];
  size_t kept = strlen (first);

  if (kept > size)
    {
      first += kept - size;
      kept = size;
    }
  memcpy (data, first, kept);
  while (kept < size || memcmp (data + kept - size, last_chunk, size) != 0)
    {
      ssize_t got = receive (fd, data + kept, 4096, until_ms);
      size_t all = kept + (got > 0 ? (size_t)got : 0);

      if (got <= 0)
        return;
      answer->body_bytes += (size_t)got;
      kept = all < size ? all : size;
      memmove (data, data + all - kept, kept);
    }
  answer->is_whole = true;
}

/* Reads a body of the announced length. */
static void
read_length (int fd,
             const struct rig_request *request,
             struct rig_answer *answer,
             int64_t until_ms)
{
  char data[16384];
  int64_t started_ms = rig_now_ms ();

  while (answer->body_bytes < answer->length)
    {
      ssize_t got = receive (fd, data, sizeof data, until_ms);

      if (got <= 0)
        return;
      answer->body_bytes += (size_t)got;
      if (request->read_bytes_per_s > 0)
        {
          int64_t due_ms = started_ms
                           + (int64_t)(answer->body_bytes * 1000
                                       / request->read_bytes_per_s);

          if (due_ms > rig_now_ms ())
            rig_sleep_ms (due_ms - rig_now_ms ());
        }
    }
  answer->is_whole = true;
}

/* Reads the response; its head has 4 KB at most. */
static void
read_response (int fd,
               const struct rig_request *request,
               struct rig_answer *answer,
               int64_t until_ms)
{
  char data[4097];
  size_t used = 0;
  char *end = NULL;
  char value[32];

  while (end == NULL && used < sizeof data - 1)
    {
      ssize_t got = receive (fd, data + used, sizeof data - 1 - used, until_ms);

      if (got <= 0)
        return;
      used += (size_t)got;
      data[used] = '\0';
      end = strstr (data, "\r\n\r\n");
    }
  if (end == NULL)
    return;
  answer->body_bytes = used - (size_t)(end + 4 - data);
  end[2] = '\0';
  answer->status = atoi (data + 9);
  get_field (data, "X-Server-Seal", answer->seal, sizeof answer->seal);
  get_field (data, "Content-Length", value, sizeof value);
  answer->length = strtoul (value, NULL, 10);
  get_field (data, "Transfer-Encoding", value, sizeof value);
  if (strcmp (value, "chunked") == 0)
    read_chunks (fd, answer, end + 4, until_ms);
  else
    read_length (fd, request, answer, until_ms);
}

void
rig_call (const struct rig_host *host,
          const struct rig_request *request,
          struct rig_answer *answer)
{
  int64_t until_ms = rig_now_ms () + request->limit_ms;
  int fd = connect_to (host->callers_port, 1000,
                       request->read_bytes_per_s > 0 ? 16384 : 0);

  memset (answer, 0, sizeof *answer);
  snprintf (answer->id, sizeof answer->id, "%016x", count_call ());
  answer->sent_ms = rig_now_ms ();
  if (fd >= 0 && send_request (fd, request, answer))
    {
      answer->sent_ms = rig_now_ms ();
      read_response (fd, request, answer, until_ms);
    }
  answer->done_ms = rig_now_ms ();
  if (fd >= 0)
    close (fd);
}

/* Begin and end. */

void
rig_begin (const char *folder)
{
  const char *trouble = getenv ("TROUBLE");
  char path[512];
  struct rlimit limit;

  signal (SIGPIPE, SIG_IGN);
  srandom ((unsigned)getpid ());
  rig.started_ms = rig_now_ms ();
  rig.has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  rig.revision = 1000;
  pthread_cond_init (&rig.changed, NULL);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  rig.record = fopen (path, "we");
  snprintf (rig.folder, sizeof rig.folder, "/tmp/review-XXXXXX");
  if (rig.record == NULL || mkdtemp (rig.folder) == NULL)
    cannot_run ("no record or no temporary folder");
  if (access (BINARY, X_OK) != 0)
    cannot_run ("the deploy file's build is missing");
  /* The soft limit of this process only, within its hard limit. */
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  rig.store_listener = listen_at (&rig.store_port);
  start_thread (accept_store_calls, NULL);
  rig_record ("begins, %s the disruption",
              rig.has_trouble ? "with" : "without");
}

static void
remove_file (const struct rig_host *host, const char *ending)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.%s", rig.folder, host->name, ending);
  unlink (path);
}

_Noreturn void
rig_end (enum rig_verdict verdict)
{
  static const char *const names[] = {
    [RIG_HELD] = "the rule held",
    [RIG_BROKEN] = "the rule was broken",
    [RIG_CANNOT_RUN] = "the case could not run",
  };

  for (unsigned i = 0; i < rig.host_count; i++)
    {
      rig_kill_host (rig.hosts[i]);
      remove_file (rig.hosts[i], "yaml");
      remove_file (rig.hosts[i], "log");
    }
  if (rig.folder[0] != '\0')
    rmdir (rig.folder);
  rig_record ("ends: %s", names[verdict]);
  printf ("%s\n", names[verdict]);
  fflush (stdout);
  _exit ((int)verdict);
}
