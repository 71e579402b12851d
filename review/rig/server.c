#include "rig.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

/* Servers write their entry about every heartbeatMs of the sites. */
#define HEARTBEAT_MS 1200
#define SLOTS 64
#define ID_SIZE 32

struct run
{
  char request[ID_SIZE];
  struct run *next;
};

struct visit
{
  struct server *server;
  struct conn conn;
};

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static struct run *runs;

unsigned
server_runs (const char *request)
{
  unsigned count = 0;

  pthread_mutex_lock (&mutex);
  for (const struct run *run = runs; run != NULL; run = run->next)
    if (strcmp (run->request, request) == 0)
      count++;
  pthread_mutex_unlock (&mutex);
  return count;
}

static void
add_run (const struct server *server, const char *request)
{
  struct run *run = calloc (1, sizeof *run);

  if (run == NULL)
    abort ();
  snprintf (run->request, sizeof run->request, "%s", request);
  pthread_mutex_lock (&mutex);
  run->next = runs;
  runs = run;
  pthread_mutex_unlock (&mutex);
  rig_record ("server %s runs %s", server->id, request);
}

static bool
send_answer (struct visit *visit, const char *request)
{
  const struct server *server = visit->server;
  char head[512];
  char *body = malloc (server->body_bytes + 1);
  bool sent;

  if (body == NULL)
    abort ();
  memset (body, 'a', server->body_bytes);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n"
            "Content-Length: %zu\r\n\r\n",
            request, server->id, server->body_bytes);
  sent = net_send (&visit->conn, head, strlen (head))
         && net_send (&visit->conn, body, server->body_bytes);
  free (body);
  return sent;
}

static bool
serve_request (struct visit *visit, const char *head)
{
  static const char misdirected[]
      = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n";
  const struct server *server = visit->server;
  char expected[ID_SIZE];
  char request[ID_SIZE];

  if (!net_read (&visit->conn, NULL, net_content_length (head)))
    return false;
  if (net_get_field (head, "X-Expect-Instance", expected, sizeof expected)
      && strcmp (expected, server->id) != 0)
    return net_send (&visit->conn, misdirected, strlen (misdirected));
  if (!net_get_field (head, "X-Attempt-Id", request, sizeof request))
    return false;
  add_run (server, request);
  rig_sleep_ms (server->work_ms);
  return send_answer (visit, request);
}

static void *
serve_connection (void *context)
{
  struct visit *visit = context;
  char head[HEAD_SIZE];

  while (net_read_head (&visit->conn, head) && serve_request (visit, head))
    ;
  net_close (&visit->conn);
  free (visit);
  return NULL;
}

static void *
accept_connections (void *context)
{
  struct server *server = context;

  for (;;)
    {
      struct visit *visit = calloc (1, sizeof *visit);

      if (visit == NULL)
        abort ();
      visit->server = server;
      visit->conn.fd = accept (server->listener, NULL, NULL);
      if (visit->conn.fd >= 0)
        rig_start_thread (serve_connection, visit);
      else
        free (visit);
    }
  return NULL;
}

static void
write_entry (struct server *server)
{
  char address[32];

  snprintf (address, sizeof address, "127.0.0.1:%u", server->port);
  store_put ("servers", server->id,
             json_pack ("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:i, s:I}",
                        "service", server->service, "addr", address, "zone",
                        server->zone, "version", "v1", "slots", SLOTS, "state",
                        "ready", "coldLeftMs", 0, "seq", ++server->beats,
                        "born", (json_int_t)server->born_ms));
}

static void *
send_heartbeats (void *context)
{
  for (;;)
    {
      write_entry (context);
      rig_sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

void
server_start (struct server *server)
{
  server->port = 0;
  server->listener = net_listen ("127.0.0.1", &server->port);
  server->born_ms = (int64_t)time (NULL) * 1000;
  rig_start_thread (accept_connections, server);
  rig_start_thread (send_heartbeats, server);
}
