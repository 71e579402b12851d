#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/*
 * Plays many clients in one process.  Each sends the body of a request, at once
 * or piece by piece, stops just short of its end and keeps the connection open.
 */

#define CLIENT_LIMIT 2000
#define KINDS                                                                  \
  (sizeof ((struct crowd_plan *)0)->kinds / sizeof (struct crowd_kind))
#define STEP_MS 20
#define RECONNECT_MS 100
#define HEAD_SIZE 17000
/* Size of a request of those that come one behind the other. */
#define REQUEST_SIZE 128
/* Receive buffer of a client that does not read. */
#define UNREAD_BYTES 4096
/* Bytes of a body that are prepared, so that one call sends many. */
#define PATTERN_SIZE 65536

struct pattern
{
  char data[PATTERN_SIZE];
  uint64_t size;      /* whole chunks, or bytes of a plain body */
  uint64_t wire_size; /* of the whole body */
};

struct client
{
  const struct crowd_kind *kind;
  const struct pattern *pattern;
  int fd; /* -1 = closed */
  int64_t due_ms;
  int64_t started_ms;
  char *head;
  uint64_t head_size;
  uint64_t sent; /* bytes on this connection */
};

struct crowd
{
  const struct crowd_plan *plan;
  struct pattern patterns[KINDS];
  struct client clients[CLIENT_LIMIT];
  struct pollfd polls[CLIENT_LIMIT];
  unsigned count;
  unsigned requests;
};

static int64_t
read_clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
make_pattern (struct pattern *pattern, const struct crowd_kind *kind)
{
  char framing[16];
  size_t framing_size;
  uint64_t unit;

  memset (pattern->data, 'b', sizeof pattern->data);
  pattern->size = sizeof pattern->data;
  pattern->wire_size = kind->body_bytes - 1;
  if (kind->chunk_bytes == 0)
    return;
  snprintf (framing, sizeof framing, "%x\r\n", kind->chunk_bytes);
  framing_size = strlen (framing);
  unit = framing_size + kind->chunk_bytes + 2;
  pattern->size -= pattern->size % unit;
  for (uint64_t at = 0; at < pattern->size; at += unit)
    {
      memcpy (pattern->data + at, framing, framing_size);
      memcpy (pattern->data + at + unit - 2, "\r\n", 2);
    }
  pattern->wire_size = kind->body_bytes / kind->chunk_bytes * unit;
}

static void
write_head (struct crowd *crowd, struct client *client)
{
  const struct crowd_kind *kind = client->kind;
  char *text = client->head;
  int size;

  size = snprintf (text, HEAD_SIZE,
                   "POST %s HTTP/1.1\r\nHost: shop.example\r\n"
                   "X-Attempt-Id: ffffffff%08x\r\nX-Deadline-Ms: 4000\r\n"
                   "X-Note: %0*d\r\n",
                   crowd->plan->target, crowd->requests++,
                   (int)kind->pad_bytes + 1, 0);
  for (unsigned i = 0; i < kind->field_count; i++)
    size += snprintf (text + size, HEAD_SIZE - (size_t)size, "a:\r\n");
  if (kind->chunk_bytes > 0)
    size += snprintf (text + size, HEAD_SIZE - (size_t)size,
                      "Transfer-Encoding: chunked\r\n\r\n");
  else
    size += snprintf (text + size, HEAD_SIZE - (size_t)size,
                      "Content-Length: %u\r\n\r\n", kind->body_bytes);
  client->head_size = (uint64_t)size;
  client->sent = 0;
  client->started_ms = read_clock_ms ();
}

static size_t
get_head_size (const struct crowd_kind *kind)
{
  return kind->request_count > 0 ? (size_t)kind->request_count * REQUEST_SIZE
                                 : HEAD_SIZE;
}

/* Whole requests take the place of a head. */
static void
write_requests (struct crowd *crowd, struct client *client)
{
  size_t limit = get_head_size (client->kind);
  size_t size = 0;

  for (unsigned i = 0; i < client->kind->request_count; i++)
    size += (size_t)snprintf (client->head + size, limit - size,
                              "GET %s HTTP/1.1\r\nHost: shop.example\r\n"
                              "X-Attempt-Id: ffffffff%08x\r\n"
                              "X-Deadline-Ms: 4000\r\n\r\n",
                              crowd->plan->target, crowd->requests++);
  client->head_size = size;
  client->sent = 0;
  client->started_ms = read_clock_ms ();
}

static void
end_connection (struct client *client, int64_t now_ms)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
  client->due_ms = client->kind->stays_away ? INT64_MAX : now_ms + RECONNECT_MS;
}

static void
connect_client (struct crowd *crowd, struct client *client, int64_t now_ms)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET, .sin_port = htons (crowd->plan->port) };

  const int unread_bytes = UNREAD_BYTES;

  if (inet_pton (AF_INET, crowd->plan->address, &to.sin_addr) != 1)
    return;
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (client->kind->request_count > 0)
    {
      setsockopt (client->fd, SOL_SOCKET, SO_RCVBUF, &unread_bytes,
                  sizeof unread_bytes);
      write_requests (crowd, client);
    }
  else
    write_head (crowd, client);
  if (client->fd < 0
      || (connect (client->fd, (struct sockaddr *)&to, sizeof to) != 0
          && errno != EINPROGRESS))
    end_connection (client, now_ms);
}

/* How many bytes of the connection are due by now. */
static uint64_t
count_due (const struct client *client, int64_t now_ms)
{
  const struct crowd_kind *kind = client->kind;
  int64_t for_ms = now_ms - client->started_ms - kind->idle_ms;
  uint64_t rest;
  uint64_t due;

  if (for_ms < 0)
    return 0;
  if (kind->request_count > 0)
    return client->head_size;
  rest = (uint64_t)for_ms * kind->bytes_per_s / 1000 / kind->piece_bytes
         * kind->piece_bytes;
  due = kind->at_once_bytes + rest;

  if (due > client->pattern->wire_size)
    due = client->pattern->wire_size;
  return client->head_size + due;
}

static ssize_t
send_part (struct client *client, uint64_t until)
{
  const struct pattern *pattern = client->pattern;
  uint64_t offset = client->sent;
  uint64_t size;

  if (offset < client->head_size)
    return send (client->fd, client->head + offset, client->head_size - offset,
                 MSG_NOSIGNAL);
  offset = (offset - client->head_size) % pattern->size;
  size = pattern->size - offset;
  if (size > until - client->sent)
    size = until - client->sent;
  return send (client->fd, pattern->data + offset, size, MSG_NOSIGNAL);
}

/* Sends what is due; false if the connection has ended. */
static bool
send_due (struct client *client, int64_t now_ms)
{
  uint64_t until = count_due (client, now_ms);

  while (client->sent < until)
    {
      ssize_t size = send_part (client, until);

      if (size < 0)
        return errno == EAGAIN || errno == ENOTCONN;
      client->sent += (uint64_t)size;
    }
  return true;
}

/* Discards what the host says; false if it has closed the connection. */
static bool
read_answer (struct client *client)
{
  char part[4096];
  ssize_t size = recv (client->fd, part, sizeof part, 0);

  return size > 0 || (size < 0 && errno == EAGAIN);
}

static void
handle_client (struct crowd *crowd,
               struct client *client,
               short events,
               int64_t now_ms)
{
  if (client->fd < 0)
    {
      if (now_ms >= client->due_ms)
        connect_client (crowd, client, now_ms);
      return;
    }
  if ((events & (POLLERR | POLLHUP)) != 0
      || ((events & POLLIN) != 0 && client->kind->request_count == 0
          && !read_answer (client))
      || !send_due (client, now_ms))
    end_connection (client, now_ms);
}

static void
add_kind (struct crowd *crowd, unsigned index, int64_t now_ms)
{
  const struct crowd_kind *kind = &crowd->plan->kinds[index];

  if (kind->count == 0)
    return;
  if (kind->request_count == 0)
    make_pattern (&crowd->patterns[index], kind);
  for (unsigned i = 0; i < kind->count && crowd->count < CLIENT_LIMIT; i++)
    {
      struct client *client = &crowd->clients[crowd->count++];

      client->kind = kind;
      client->pattern = &crowd->patterns[index];
      client->fd = -1;
      client->due_ms
          = now_ms + kind->delay_ms + kind->spread_ms * i / kind->count;
      client->head = malloc (get_head_size (kind));
      if (client->head == NULL)
        exit (2);
    }
}

void
crowd_play (const struct crowd_plan *plan)
{
  struct crowd *crowd = calloc (1, sizeof *crowd);
  int64_t now_ms = read_clock_ms ();

  if (crowd == NULL)
    exit (2);
  crowd->plan = plan;
  for (unsigned i = 0; i < KINDS; i++)
    add_kind (crowd, i, now_ms);
  for (;;)
    {
      for (unsigned i = 0; i < crowd->count; i++)
        {
          const struct client *client = &crowd->clients[i];
          struct pollfd *polled = &crowd->polls[i];

          *polled = (struct pollfd){ .fd = client->fd };
          if (client->kind->request_count == 0)
            polled->events |= POLLIN;
          if (client->fd >= 0 && client->sent < count_due (client, now_ms))
            polled->events |= POLLOUT;
        }
      poll (crowd->polls, crowd->count, STEP_MS);
      now_ms = read_clock_ms ();
      for (unsigned i = 0; i < crowd->count; i++)
        handle_client (crowd, &crowd->clients[i],
                       crowd->polls[i].fd >= 0 ? crowd->polls[i].revents : 0,
                       now_ms);
    }
}
