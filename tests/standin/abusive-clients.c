/*
 * Plays clients that stay outside the limits of a host: a crowd of connections
 * that all send one of the loads below, and hold their connections.  Sends to
 * loopback only; connections, bytes and time are limited.
 *
 * Prints "holding" once every client has sent what its load allows or makes no
 * progress, and "ended" with counts at the end.  Exits 0 whatever the host did
 * with the connections, 2 for wrong arguments.
 */

#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CLIENT_LIMIT 2000
#define FIELD_LIMIT 8
#define TEXT_SIZE 65536
/* The repeated part is prepared this often, so that one send takes many. */
#define PATTERN_SIZE (1 << 18)
#define STEP_MS 10
/* Without progress of any client for this long, the crowd is complete. */
#define SETTLED_MS 400
/* A client whose connection ended connects again after this long. */
#define RECONNECT_MS 100
/* Every so many clients one completes its body; the others stop short. */
#define COMPLETE_EVERY 8
#define UNREAD_RECEIVE_BYTES 4096
#define PIPELINED_REQUESTS 3500
#define TIME_LIMIT_MS 120000

enum part
{
  PART_NONE,      /* nothing after the prefix */
  PART_BODY,      /* body bytes */
  PART_TINY,      /* chunks of one byte */
  PART_CHUNKS,    /* chunks of 64 KB */
  PART_EXTENSION, /* a chunk extension */
  PART_TRAILERS,
  PART_FIELD,    /* value of a header field */
  PART_REQUESTS, /* whole requests without a body */
  PART_TINY_REQUESTS,
};

enum length
{
  LENGTH_NONE,      /* repeats until the client ends */
  LENGTH_BODY,      /* one body of the largest legal size, one byte short */
  LENGTH_TEN_TIMES, /* ten times the largest legal size */
  LENGTH_REQUESTS,
};

/* A load is a prefix, followed by a part that is repeated. */
struct load
{
  const char *name;
  const char *framing; /* fields of the head that frame the body */
  enum part part;
  enum length length;
  bool is_slow;      /* spread over --spread-ms instead of at once */
  bool is_unread;    /* responses are never read */
  bool is_pipelined; /* a whole request comes before it */
  const char *meaning;
};

#define CHUNKED "Transfer-Encoding: chunked\r\n"

/* Framings LENGTH, TEN and HUGE stand for a Content-Length; see add_framing. */
static const struct load loads[] = {
  { "bodies-whole", "LENGTH", PART_BODY, LENGTH_BODY, false, false, false,
    "bodies of legal size at once, one byte short" },
  { "bodies-pieces", "LENGTH", PART_BODY, LENGTH_BODY, true, false, false,
    "the same, piece by piece" },
  { "chunks-tiny", CHUNKED, PART_TINY, LENGTH_BODY, false, false, false,
    "chunks of one byte, in total one byte short" },
  { "chunks-large", CHUNKED, PART_BODY, LENGTH_BODY, false, false, false,
    "one chunk of legal size, one byte short" },
  { "chunks-pieces", CHUNKED, PART_BODY, LENGTH_BODY, true, false, false,
    "the same, piece by piece" },
  { "chunk-extension", CHUNKED, PART_EXTENSION, LENGTH_NONE, false, false,
    false, "an endless chunk extension" },
  { "trailers", CHUNKED, PART_TRAILERS, LENGTH_NONE, false, false, false,
    "endless trailer fields" },
  { "over-announced", "TEN", PART_BODY, LENGTH_TEN_TIMES, false, false, false,
    "ten times the legal size, announced and sent" },
  { "over-64-bit", "HUGE", PART_BODY, LENGTH_TEN_TIMES, false, false, false,
    "a Content-Length beyond 64 bits, and bytes" },
  { "over-sent", CHUNKED, PART_CHUNKS, LENGTH_NONE, false, false, false,
    "chunks without end" },
  { "slow-head", "", PART_FIELD, LENGTH_NONE, true, false, false,
    "a header field, a few bytes at a time" },
  { "pipelined-heads", "", PART_REQUESTS, LENGTH_REQUESTS, false, false, true,
    "many whole requests behind one" },
  { "pipelined-tiny", "", PART_TINY_REQUESTS, LENGTH_REQUESTS, false, false,
    true, "many requests of 18 bytes, which are invalid, behind one" },
  { "pipelined-bodies", "LENGTH", PART_BODY, LENGTH_BODY, false, false, true,
    "a body behind a whole request" },
  { "unread", "", PART_REQUESTS, LENGTH_REQUESTS, false, true, true,
    "responses that are never read" },
  { "silent", NULL, PART_NONE, LENGTH_NONE, false, false, false,
    "connections that send nothing" },
};

struct client
{
  int fd; /* -1 = closed */
  unsigned number;
  unsigned source;       /* last byte of its own address */
  int64_t next_start_ms; /* when it connects again */
  int64_t started_ms;
  uint64_t sent; /* bytes on this connection */
  uint64_t total;
  char *prefix;
  size_t prefix_size;
};

struct crowd
{
  struct sockaddr_in address;
  const struct load *load;
  struct client clients[CLIENT_LIMIT];
  int client_count;
  int source_count;
  int body_bytes;
  int spread_ms;
  int connect_limit; /* connections of the whole crowd */
  const char *method;
  const char *path;
  const char *fields[FIELD_LIMIT];
  int field_count;
  char *pattern;
  size_t pattern_size;
  size_t unit_size;
  uint64_t bytes;
  uint64_t progress_bytes;
  int64_t progress_ms;
  int connects;
  int closed;
  int refused; /* connections that could not be opened */
  int answers; /* by status class */
  int answers_by_class[10];
};

static int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
fail (const char *reason)
{
  fprintf (stderr, "abusive-clients: %s\n", reason);
  exit (2);
}

/* Appends a field; "{n}" in it becomes a number that differs per request. */
static size_t
add_field (char *text, size_t size, const char *field, unsigned number)
{
  const char *mark = strstr (field, "{n}");

  if (mark == NULL)
    return (size_t)snprintf (text, size, "%s\r\n", field);
  return (size_t)snprintf (text, size, "%.*s%08x%s\r\n", (int)(mark - field),
                           field, number, mark + 3);
}

/* Writes a request's head up to and without its framing and blank line. */
static size_t
add_head (const struct crowd *crowd, char *text, size_t size, unsigned number)
{
  size_t used = (size_t)snprintf (text, size, "%s %s HTTP/1.1\r\n",
                                  crowd->method, crowd->path);

  for (int i = 0; i < crowd->field_count; i++)
    used += add_field (text + used, size - used, crowd->fields[i], number);
  return used;
}

static size_t
add_framing (const struct crowd *crowd, char *text, size_t size)
{
  const char *framing = crowd->load->framing;

  if (strcmp (framing, "LENGTH") == 0)
    return (size_t)snprintf (text, size, "Content-Length: %d\r\n\r\n",
                             crowd->body_bytes);
  if (strcmp (framing, "TEN") == 0)
    return (size_t)snprintf (text, size, "Content-Length: %" PRId64 "\r\n\r\n",
                             (int64_t)crowd->body_bytes * 10);
  if (strcmp (framing, "HUGE") == 0)
    return (size_t)snprintf (text, size,
                             "Content-Length: 36893488147419103232\r\n\r\n");
  if (crowd->load->part == PART_FIELD)
    return (size_t)snprintf (text, size, "X-Slow: ");
  return (size_t)snprintf (text, size, "%s\r\n", framing);
}

static size_t
add_whole_request (const struct crowd *crowd,
                   char *text,
                   size_t size,
                   unsigned number)
{
  size_t used = add_head (crowd, text, size, number);

  return used
         + (size_t)snprintf (text + used, size - used,
                             "Content-Length: 0\r\n\r\n");
}

static void
make_prefix (struct crowd *crowd, struct client *client)
{
  const struct load *load = crowd->load;
  unsigned number = (unsigned)crowd->connects * 2;
  char *text = client->prefix;
  size_t used = 0;

  if (load->framing == NULL)
    {
      client->prefix_size = 0;
      return;
    }
  if (load->is_pipelined)
    used += add_whole_request (crowd, text, TEXT_SIZE, number);
  if (load->part != PART_REQUESTS && load->part != PART_TINY_REQUESTS)
    {
      used += add_head (crowd, text + used, TEXT_SIZE - used, number + 1);
      used += add_framing (crowd, text + used, TEXT_SIZE - used);
    }
  if (load->part == PART_BODY && strcmp (load->framing, CHUNKED) == 0)
    used += (size_t)snprintf (text + used, TEXT_SIZE - used, "%x\r\n",
                              (unsigned)crowd->body_bytes);
  else if (load->part == PART_EXTENSION)
    used += (size_t)snprintf (text + used, TEXT_SIZE - used, "1;a=");
  else if (load->part == PART_TRAILERS)
    used += (size_t)snprintf (text + used, TEXT_SIZE - used, "1\r\nb\r\n0\r\n");
  client->prefix_size = used;
}

/* Prepares the repeated part, as many whole units as fit. */
static void
make_pattern (struct crowd *crowd)
{
  char *unit = calloc (1, PATTERN_SIZE);
  size_t size = 0;

  crowd->pattern = malloc (PATTERN_SIZE);
  if (unit == NULL || crowd->pattern == NULL)
    abort ();
  switch (crowd->load->part)
    {
    case PART_NONE:
      break;
    case PART_BODY:
    case PART_EXTENSION:
    case PART_FIELD:
      size = 1;
      unit[0] = 'b';
      break;
    case PART_TINY:
      size = (size_t)snprintf (unit, PATTERN_SIZE, "1\r\nb\r\n");
      break;
    case PART_CHUNKS:
      size = (size_t)snprintf (unit, PATTERN_SIZE, "10000\r\n");
      memset (unit + size, 'b', 0x10000);
      size += 0x10000;
      unit[size] = '\r';
      unit[size + 1] = '\n';
      size += 2;
      break;
    case PART_TRAILERS:
      size = (size_t)snprintf (unit, PATTERN_SIZE, "X-Trailer: %0100d\r\n", 0);
      break;
    case PART_TINY_REQUESTS:
      size = (size_t)snprintf (unit, PATTERN_SIZE, "GET / HTTP/1.1\r\n\r\n");
      break;
    case PART_REQUESTS:
      size = add_whole_request (crowd, unit, PATTERN_SIZE, 0x70000000);
      break;
    }
  crowd->unit_size = size;
  while (size > 0 && crowd->pattern_size + size <= PATTERN_SIZE)
    {
      memcpy (crowd->pattern + crowd->pattern_size, unit, size);
      crowd->pattern_size += size;
    }
  free (unit);
}

static uint64_t
count_total (const struct crowd *crowd, const struct client *client)
{
  uint64_t body
      = (uint64_t)crowd->body_bytes
        - (client->number % COMPLETE_EVERY == COMPLETE_EVERY - 1 ? 0 : 1);

  switch (crowd->load->length)
    {
    case LENGTH_BODY:
      return client->prefix_size + body * crowd->unit_size;
    case LENGTH_TEN_TIMES:
      return client->prefix_size + (uint64_t)crowd->body_bytes * 10;
    case LENGTH_REQUESTS:
      return client->prefix_size + PIPELINED_REQUESTS * crowd->unit_size;
    case LENGTH_NONE:
      break;
    }
  return crowd->unit_size > 0 ? UINT64_MAX : client->prefix_size;
}

static void
end_client (struct client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
  client->next_start_ms = now_ms () + RECONNECT_MS;
}

static void
start_client (struct crowd *crowd, struct client *client)
{
  struct sockaddr_in own = { .sin_family = AF_INET };
  int receive_bytes = UNREAD_RECEIVE_BYTES;

  crowd->connects++;
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (client->fd < 0)
    fail ("no socket; raise the limit of open files");
  own.sin_addr.s_addr = htonl (0x7f010100U + client->source);
  if (bind (client->fd, (struct sockaddr *)&own, sizeof own) != 0)
    fail ("the address of a client cannot be bound");
  if (crowd->load->is_unread)
    setsockopt (client->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  if (connect (client->fd, (struct sockaddr *)&crowd->address,
               sizeof crowd->address)
      != 0)
    {
      crowd->refused++;
      end_client (client);
      return;
    }
  fcntl (client->fd, F_SETFL, O_NONBLOCK);
  make_prefix (crowd, client);
  client->sent = 0;
  client->started_ms = now_ms ();
  client->total = count_total (crowd, client);
}

/* Bytes that the client may have sent by now. */
static uint64_t
count_due (const struct crowd *crowd, const struct client *client)
{
  uint64_t total = client->total;
  int64_t age_ms = now_ms () - client->started_ms;

  if (!crowd->load->is_slow || age_ms >= crowd->spread_ms)
    return crowd->load->part == PART_FIELD
               ? client->prefix_size + (uint64_t)age_ms / 50
               : total;
  if (crowd->load->part == PART_FIELD)
    return client->prefix_size + (uint64_t)age_ms / 50;
  return client->prefix_size
         + (total - client->prefix_size) * (uint64_t)age_ms
               / (uint64_t)crowd->spread_ms;
}

/* Sends until the socket or the load takes no more; bounded per call. */
static void
send_some (struct crowd *crowd, struct client *client)
{
  uint64_t due = count_due (crowd, client);

  for (int i = 0; i < 16 && client->sent < due; i++)
    {
      const char *data;
      uint64_t left;
      ssize_t size;

      if (client->sent < client->prefix_size)
        {
          data = client->prefix + client->sent;
          left = client->prefix_size - client->sent;
        }
      else
        {
          size_t offset
              = (client->sent - client->prefix_size) % crowd->pattern_size;

          data = crowd->pattern + offset;
          left = crowd->pattern_size - offset;
        }
      if (left > due - client->sent)
        left = due - client->sent;
      size = send (client->fd, data, left, MSG_NOSIGNAL);
      if (size < 0)
        {
          /* The next read reports an error. */
          return;
        }
      client->sent += (uint64_t)size;
      crowd->bytes += (uint64_t)size;
    }
}

static void
receive_some (struct crowd *crowd, struct client *client)
{
  char buffer[16384];
  ssize_t size = recv (client->fd, buffer, sizeof buffer, MSG_DONTWAIT);

  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0)
    {
      crowd->closed++;
      end_client (client);
      return;
    }
  /* Counts the first response of each read; enough for the record. */
  if (size > 12 && memcmp (buffer, "HTTP/1.1 ", 9) == 0)
    {
      crowd->answers++;
      crowd->answers_by_class[(buffer[9] - '0') % 10]++;
    }
}

static void
run_step (struct crowd *crowd)
{
  static struct pollfd polled[CLIENT_LIMIT];
  static struct client *who[CLIENT_LIMIT];
  nfds_t count = 0;

  for (int i = 0; i < crowd->client_count; i++)
    {
      struct client *client = &crowd->clients[i];
      bool sends;

      if (client->fd < 0)
        {
          if (now_ms () < client->next_start_ms
              || crowd->connects >= crowd->connect_limit)
            continue;
          start_client (crowd, client);
          if (client->fd < 0)
            continue;
        }
      sends = client->sent < count_due (crowd, client);
      polled[count].fd = client->fd;
      /* Responses stay unread; the end of the connection is still noticed. */
      polled[count].events = (short)((crowd->load->is_unread ? 0 : POLLIN)
                                     | (sends ? POLLOUT : 0));
      polled[count].revents = 0;
      who[count++] = client;
    }
  if (poll (polled, count, STEP_MS) <= 0)
    return;
  for (nfds_t i = 0; i < count; i++)
    {
      if (polled[i].revents & POLLIN)
        receive_some (crowd, who[i]);
      else if (polled[i].revents & (POLLERR | POLLHUP))
        {
          crowd->closed++;
          end_client (who[i]);
        }
      if (who[i]->fd >= 0 && (polled[i].revents & POLLOUT))
        send_some (crowd, who[i]);
    }
}

/* True once no client has made progress for SETTLED_MS. */
static bool
has_settled (struct crowd *crowd, int64_t start_ms)
{
  int64_t now = now_ms ();

  /* Clients that send a few bytes at a time for ever never settle. */
  if (crowd->bytes - crowd->progress_bytes > 4096)
    {
      crowd->progress_bytes = crowd->bytes;
      crowd->progress_ms = now;
    }
  return now - crowd->progress_ms > SETTLED_MS
         && now - start_ms > (crowd->load->is_slow
                                  ? crowd->spread_ms + SETTLED_MS
                                  : SETTLED_MS);
}

static void
run_crowd (struct crowd *crowd, int hold_ms, int settle_limit_ms)
{
  int64_t start_ms = now_ms ();
  int64_t held_ms = 0;

  crowd->progress_ms = start_ms;
  while (now_ms () - start_ms < TIME_LIMIT_MS)
    {
      run_step (crowd);
      if (held_ms == 0
          && (has_settled (crowd, start_ms)
              || now_ms () - start_ms > settle_limit_ms))
        {
          held_ms = now_ms ();
          printf ("holding load=%s after_ms=%" PRId64 " bytes=%" PRIu64 "\n",
                  crowd->load->name, held_ms - start_ms, crowd->bytes);
          fflush (stdout);
        }
      if (held_ms != 0 && now_ms () - held_ms > hold_ms)
        break;
    }
  printf ("ended load=%s connects=%d closed=%d refused=%d bytes=%" PRIu64
          " answers=%d 2xx=%d 4xx=%d 5xx=%d\n",
          crowd->load->name, crowd->connects, crowd->closed, crowd->refused,
          crowd->bytes, crowd->answers, crowd->answers_by_class[2],
          crowd->answers_by_class[4], crowd->answers_by_class[5]);
}

static void
print_loads (void)
{
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    printf ("%-18s %s\n", loads[i].name, loads[i].meaning);
}

static const struct load *
find_load (const char *name)
{
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    if (strcmp (loads[i].name, name) == 0)
      return &loads[i];
  fail ("no such load; --list names them");
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct crowd crowd;
  struct arg_lit *list = arg_lit0 (NULL, "list", "print the loads");
  struct arg_str *address
      = arg_str0 (NULL, "address", "IP", "of the host, a loopback address");
  struct arg_int *port = arg_int0 (NULL, "port", "PORT", "of the host");
  struct arg_int *clients = arg_int0 (NULL, "clients", "N", "connections");
  struct arg_int *sources
      = arg_int0 (NULL, "sources", "N", "addresses of clients (1)");
  struct arg_int *body
      = arg_int0 (NULL, "body-bytes", "N", "largest legal body (4194304)");
  struct arg_int *hold
      = arg_int0 (NULL, "hold-ms", "MS", "time after \"holding\" (5000)");
  struct arg_int *settle = arg_int0 (
      NULL, "settle-ms", "MS", "\"holding\" comes after this at last (8000)");
  struct arg_int *spread
      = arg_int0 (NULL, "spread-ms", "MS", "time of loads in pieces (3000)");
  struct arg_int *connects = arg_int0 (
      NULL, "connects", "N", "connections in all (twice the clients)");
  struct arg_str *method = arg_str0 (NULL, "method", "M", "(POST)");
  struct arg_str *path = arg_str0 (NULL, "path", "P", "of requests (/)");
  struct arg_str *fields
      = arg_strn (NULL, "field", "F", 0, FIELD_LIMIT,
                  "field of each head; {n} becomes a number");
  struct arg_str *load = arg_str0 (NULL, NULL, "LOAD", "see --list");
  struct arg_end *end = arg_end (8);
  void *table[]
      = { list,   address,  port,   clients, sources, body, hold, settle,
          spread, connects, method, path,    fields,  load, end };

  if (arg_nullcheck (table) != 0)
    abort ();
  address->sval[0] = "127.0.0.1";
  clients->ival[0] = 20;
  sources->ival[0] = 1;
  body->ival[0] = 4194304;
  hold->ival[0] = 5000;
  settle->ival[0] = 8000;
  spread->ival[0] = 3000;
  method->sval[0] = "POST";
  path->sval[0] = "/";
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
      arg_print_glossary (stderr, table, "  %-22s %s\n");
      return 2;
    }
  if (list->count > 0)
    {
      print_loads ();
      return 0;
    }
  if (load->count == 0 || port->count == 0 || clients->ival[0] < 1
      || clients->ival[0] > CLIENT_LIMIT || sources->ival[0] < 1
      || sources->ival[0] > 200 || body->ival[0] < 2 || spread->ival[0] < 1)
    fail ("--port, a load and sensible numbers are needed; see --help");
  crowd.address.sin_family = AF_INET;
  crowd.address.sin_port = htons ((uint16_t)port->ival[0]);
  if (inet_pton (AF_INET, address->sval[0], &crowd.address.sin_addr) != 1
      || ntohl (crowd.address.sin_addr.s_addr) >> 24 != 127)
    fail ("the address is not one of loopback");
  crowd.load = find_load (load->sval[0]);
  crowd.client_count = clients->ival[0];
  crowd.source_count = sources->ival[0];
  crowd.body_bytes = body->ival[0];
  crowd.spread_ms = spread->ival[0];
  crowd.connect_limit
      = connects->count > 0 ? connects->ival[0] : 2 * clients->ival[0];
  crowd.method = method->sval[0];
  crowd.path = path->sval[0];
  for (int i = 0; i < fields->count; i++)
    crowd.fields[crowd.field_count++] = fields->sval[i];
  make_pattern (&crowd);
  for (int i = 0; i < crowd.client_count; i++)
    {
      struct client *client = &crowd.clients[i];

      client->fd = -1;
      client->number = (unsigned)i;
      client->source = 1 + (unsigned)(i % crowd.source_count);
      client->prefix = malloc (TEXT_SIZE);
      if (client->prefix == NULL)
        abort ();
    }
  run_crowd (&crowd, hold->ival[0], settle->ival[0]);
  for (int i = 0; i < crowd.client_count; i++)
    {
      end_client (&crowd.clients[i]);
      free (crowd.clients[i].prefix);
    }
  free (crowd.pattern);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return 0;
}
