/*
 * Forwards arbitrary bytes as the continuation of a stream that broke off, and
 * compares what the caller gets with an oracle that has the whole input at
 * once.  The first two bytes set the last event and the size of the pieces in
 * which the rest arrives.
 */

#include "check.h"
#include "log.h"
#include "relay-internal.h"

#include <ctype.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LIMIT 4096

static const struct http_events events;

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Returns the end of the line, after its LF; NULL if it has none. */
static const char *
find_line_end (const char *line, const char *end)
{
  const char *feed = memchr (line, '\n', (size_t)(end - line));

  return feed != NULL ? feed + 1 : NULL;
}

/* Returns the end of the event, after its blank line; NULL if it is partial. */
static const char *
find_event_end (const char *event, const char *end)
{
  const char *line = event;
  const char *next;

  while ((next = find_line_end (line, end)) != NULL)
    {
      if (*line == '\n' || (*line == '\r' && next == line + 2))
        return next;
      line = next;
    }
  return NULL;
}

/* The number in the first line that begins with "id:". */
static bool
has_id (const char *event, const char *end, uint64_t *id)
{
  for (const char *line = event; line != NULL && line < end;
       line = find_line_end (line, end))
    if (end - line > 3 && memcmp (line, "id:", 3) == 0)
      {
        const char *number = line + 3;
        char *stop;

        while (*number == ' ')
          number++;
        if (!isdigit ((unsigned char)*number))
          return false;
        *id = strtoull (number, &stop, 10);
        return isspace ((unsigned char)*stop) && *stop != ' ' && *stop != '\t'
               && *stop != '\v' && *stop != '\f';
      }
  return false;
}

static bool
has_comments_only (const char *event, const char *end)
{
  for (const char *line = event; line != NULL && line < end;
       line = find_line_end (line, end))
    if (*line != ':' && *line != '\n' && *line != '\r')
      return false;
  return true;
}

/* Writes what the caller has to get; returns its size. */
static size_t
expect (const char *bytes, size_t size, uint64_t last, char *expected)
{
  const char *end = bytes + size;
  const char *event_end;
  size_t used = 0;
  bool has_begun = false;

  for (const char *event = bytes;
       (event_end = find_event_end (event, end)) != NULL; event = event_end)
    {
      uint64_t id;

      if (has_id (event, event_end, &id))
        {
          if (id != last + 1)
            break;
          last = id;
          has_begun = true;
        }
      else if (!has_begun && has_comments_only (event, event_end))
        continue;
      else if (!has_begun)
        break;
      memcpy (expected + used, event, (size_t)(event_end - event));
      used += (size_t)(event_end - event);
    }
  return used;
}

/* Reads the caller's socket and removes the framing of the chunks. */
static size_t
read_chunks (int fd, char *bytes)
{
  static char input[16 * LIMIT];
  ssize_t size = recv (fd, input, sizeof input - 1, MSG_DONTWAIT);
  size_t used = 0;
  char *at = input;

  if (size <= 0)
    return 0;
  input[size] = '\0';
  while (at < input + size)
    {
      size_t chunk = strtoul (at, &at, 16);

      CHECK (chunk > 0 && memcmp (at, "\r\n", 2) == 0);
      memcpy (bytes + used, at + 2, chunk);
      used += chunk;
      at += 2 + chunk;
      CHECK (memcmp (at, "\r\n", 2) == 0);
      at += 2;
    }
  return used;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static char bytes[LIMIT + 1];
  static char expected[LIMIT];
  static char forwarded[16 * LIMIT];
  const struct http_limits limits = { LIMIT, LIMIT };
  struct event_base *base;
  struct relay relay = { .now_ms = 1 };
  struct relay_caller caller = { .relay = &relay };
  struct relay_request request
      = { .relay = &relay, .caller = &caller, .has_last_event = true };
  struct relay_upstream upstream = { .relay = &relay, .must_continue = true };
  int sockets[2];
  size_t piece;
  size_t count;
  bool is_valid = true;

  if (size < 2 || size > LIMIT)
    return 0;
  log_set_level (LOG_LEVEL_ERROR);
  request.last_event = data[0];
  request.head_sent = true;
  request.events_sent = 1;
  piece = 1 + data[1];
  size -= 2;
  memcpy (bytes, data + 2, size);
  bytes[size] = '\0';
  count = expect (bytes, size, request.last_event, expected);
  base = event_base_new ();
  CHECK (base != NULL);
  CHECK (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets) == 0);
  CHECK (http_connection_accept (&caller.connection, base, sockets[0], &limits,
                                 &events, &caller)
         == RESULT_OK);
  http_text_init (&upstream.body);
  for (size_t at = 0; at < size && is_valid; at += piece)
    {
      http_text_add (&upstream.body, bytes + at,
                     size - at < piece ? size - at : piece);
      is_valid = relay_response_send_events (&request, &upstream);
    }
  CHECK (read_chunks (sockets[1], forwarded) == count);
  CHECK (memcmp (forwarded, expected, count) == 0);
  http_text_finish (&upstream.body);
  http_connection_finish (&caller.connection);
  close (sockets[1]);
  event_base_free (base);
  return 0;
}
