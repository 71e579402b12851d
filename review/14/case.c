/*
 * Many bodies of legal size, piece by piece: each client sends a byte twice a
 * second.  Beside them ordinary requests, on new connections.
 */

#include "../rig-3/rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The machine of atlas-resurface. */
#define MEMORY_MB 182
#define DESCRIPTORS 2940

#define CLIENTS 1600
#define PIECE_INTERVAL_MS 500
#define RECONNECT_MS 200
#define CROWD_MS 30000
#define CALM_MS 5000

/* visit-book of atlas-resurface. */
#define DEADLINE_MS 3000
#define ORDINARY_INTERVAL_MS 100
#define CALLS ((CROWD_MS + CALM_MS) / ORDINARY_INTERVAL_MS)

/* Rule RECOVER: stableMs of the site, and so many clients that try. */
#define STABLE_MS 3000
#define TRIES_LIMIT 7

struct client
{
  int fd; /* -1 = not connected */
  int64_t next_ms;
};

static struct client clients[CLIENTS];
static struct rig_host host = { .name = "edge-a-1",
                                .memory_mb = MEMORY_MB,
                                .descriptors = DESCRIPTORS };

static struct
{
  struct rig_answer answer;
  bool is_host_ready; /* as the host said just before */
  pthread_t thread;
} calls[CALLS];

static void
send_text (struct client *client, const char *text, size_t size)
{
  ssize_t sent = send (client->fd, text, size, MSG_NOSIGNAL | MSG_DONTWAIT);

  client->next_ms = rig_now_ms () + PIECE_INTERVAL_MS;
  if (sent > 0 || errno == EAGAIN)
    return;
  close (client->fd);
  client->fd = -1;
  client->next_ms = rig_now_ms () + RECONNECT_MS;
}

static void
start_client (struct client *client, unsigned number)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)host.callers_port) };
  char head[256];
  int size;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (client->fd < 0)
    rig_end (RIG_CANNOT_RUN);
  if (connect (client->fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (client->fd);
      client->fd = -1;
      client->next_ms = rig_now_ms () + RECONNECT_MS;
      return;
    }
  size = snprintf (head, sizeof head,
                   "POST /visit/book HTTP/1.1\r\nHost: school.example\r\n"
                   "X-Attempt-Id: c%015x\r\nX-Deadline-Ms: %d\r\n"
                   "Content-Length: 4194304\r\n\r\nb",
                   number, DEADLINE_MS);
  send_text (client, head, (size_t)size);
}

static void *
run_crowd (void *context)
{
  int64_t end_ms = rig_now_ms () + CROWD_MS;
  unsigned started = 0;
  unsigned open = 0;

  (void)context;
  for (unsigned i = 0; i < CLIENTS; i++)
    clients[i].fd = -1;
  while (rig_now_ms () < end_ms)
    {
      for (unsigned i = 0; i < CLIENTS; i++)
        if (rig_now_ms () >= clients[i].next_ms)
          {
            if (clients[i].fd >= 0)
              send_text (&clients[i], "b", 1);
            else
              start_client (&clients[i], started++);
          }
      rig_sleep_ms (5);
    }
  for (unsigned i = 0; i < CLIENTS; i++)
    if (clients[i].fd >= 0)
      {
        open++;
        close (clients[i].fd);
      }
  rig_record ("crowd: %d clients made %u connections, %u were open at the end",
              CLIENTS, started, open);
  return NULL;
}

static void *
run_call (void *context)
{
  static const struct rig_request request = {
    .method = "POST",
    .path = "/visit/book",
    .host = "school.example",
    .body_bytes = 600,
    .deadline_ms = DEADLINE_MS,
    .limit_ms = DEADLINE_MS,
  };

  rig_call (&host, &request, context);
  return NULL;
}

/* The longest time in which clients tried, the host was ready, and took none.
 */
static enum rig_verdict
judge (void)
{
  unsigned tries = 0;
  unsigned most_tries = 0;
  unsigned answered = 0;
  int64_t since_ms = 0;
  int64_t longest_ms = 0;

  for (unsigned i = 0; i < CALLS; i++)
    {
      const struct rig_answer *answer = &calls[i].answer;

      rig_record ("ordinary request %s: status %d after %lld ms; the host says "
                  "it is %s",
                  answer->id, answer->status,
                  (long long)(answer->done_ms - answer->sent_ms),
                  calls[i].is_host_ready ? "ready" : "not ready");
      answered += answer->status != 0;
      if (answer->status != 0 || !calls[i].is_host_ready)
        {
          tries = 0;
          continue;
        }
      if (tries++ == 0)
        since_ms = answer->sent_ms;
      if (answer->sent_ms - since_ms > longest_ms)
        {
          longest_ms = answer->sent_ms - since_ms;
          most_tries = tries;
        }
    }
  rig_record ("%d ordinary requests, %u answered; for %lld ms none of %u "
              "clients in a row was, and the host said it was ready",
              CALLS, answered, (long long)longest_ms, most_tries);
  return longest_ms >= STABLE_MS && most_tries >= TRIES_LIMIT ? RIG_BROKEN
                                                              : RIG_HELD;
}

int
main (int argument_count, char **arguments)
{
  static const struct rig_server server = { "i-app", "booking-app", 800, 60 };
  pthread_t crowd;

  if (argument_count != 2)
    return RIG_CANNOT_RUN;
  rig_begin (arguments[1]);
  rig_put ("config", "main",
           "{\"version\":5,\"routes\":[{\"name\":\"visit-book\","
           "\"host\":\"school.example\",\"pathPrefix\":\"/visit/\","
           "\"type\":\"unsafe\",\"timeoutMs\":1500,\"goalMs\":300,"
           "\"priority\":2,\"attempts\":1,\"public\":true,"
           "\"service\":\"booking-app\"}],"
           "\"services\":[{\"name\":\"booking-app\",\"maxConns\":192,"
           "\"healthPath\":\"/healthz\"}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
  rig_start_server (&server);
  if (!rig_start_host (&host))
    rig_end (RIG_CANNOT_RUN);
  rig_sleep_ms (500);
  if (rig_has_trouble () && pthread_create (&crowd, NULL, run_crowd, NULL) != 0)
    rig_end (RIG_CANNOT_RUN);
  for (unsigned i = 0; i < CALLS; i++)
    {
      calls[i].is_host_ready = rig_is_ready (&host);
      if (pthread_create (&calls[i].thread, NULL, run_call, &calls[i].answer)
          != 0)
        rig_end (RIG_CANNOT_RUN);
      rig_sleep_ms (ORDINARY_INTERVAL_MS);
    }
  for (unsigned i = 0; i < CALLS; i++)
    pthread_join (calls[i].thread, NULL);
  if (rig_has_trouble ())
    pthread_join (crowd, NULL);
  rig_record ("host: %zu MB resident", rig_host_memory (&host) >> 20);
  rig_end (judge ());
}
