#include "http-connection.h"
#include "log.h"

#include <event2/event.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * fuzz-runs: 20000
 *
 * Any bytes of a server, in two pieces, are read without harm: callbacks come
 * in order, nothing follows the end, and a head keeps within its limits.
 */

#define HEADER_BYTES 1024
#define ANSWERS 4 /* read before the connection is left alone */

static struct http_connection connection;
static struct
{
  bool in_answer;
  bool ended;
  unsigned answers;
} seen;

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check (bool holds)
{
  if (!holds)
    abort ();
}

static void
on_head (void *context, const struct http_head *head)
{
  int64_t ms = 1;

  (void)context;
  check (!seen.ended && !seen.in_answer);
  check (head->status >= 200);
  check (head->field_count <= HTTP_FIELD_LIMIT);
  check (head->text.size <= HEADER_BYTES + 2 * HTTP_FIELD_LIMIT + 1);
  if (http_retry_after_ms (head, &ms))
    check (ms >= 0);
  for (unsigned i = 0; i < head->field_count; i++)
    {
      check (strlen (http_field_name (head, i)) <= HEADER_BYTES);
      check (strlen (http_field_value (head, i)) <= HEADER_BYTES);
      http_field_is_hop_by_hop (head, i);
    }
  seen.in_answer = true;
}

static void
on_body (void *context, const char *data, size_t size)
{
  (void)context;
  check (!seen.ended && seen.in_answer && data != NULL && size > 0);
}

static void
on_complete (void *context)
{
  (void)context;
  check (!seen.ended && seen.in_answer);
  seen.in_answer = false;
  if (++seen.answers < ANSWERS)
    http_connection_next_message (&connection, false);
  else
    http_connection_finish (&connection);
}

static void
on_closed (void *context, enum http_end end)
{
  (void)context;
  (void)end;
  check (!seen.ended);
  seen.ended = true;
  http_connection_finish (&connection);
}

static const struct http_events events = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

/* All that can be read now. */
static void
read_all (struct event_base *base)
{
  for (int i = 0; i < 8; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

static void
feed (int fd, const uint8_t *data, size_t size)
{
  while (size > 0)
    {
      ssize_t sent = send (fd, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (sent <= 0)
        return;
      data += sent;
      size -= (size_t)sent;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct http_limits limits = { HEADER_BYTES, HEADER_BYTES };
  struct event_base *base = event_base_new ();
  size_t cut;
  int ends[2];

  log_set_level (LOG_LEVEL_ERROR);
  if (size == 0)
    {
      event_base_free (base);
      return 0;
    }
  cut = data[0] % size; /* at most size - 1 */
  memset (&seen, 0, sizeof seen);
  check (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends) == 0);
  check (http_connection_accept (&connection, base, ends[0], &limits, &events,
                                 NULL)
         == RESULT_OK);
  /* The side that reads responses, without a connection to a port. */
  http_parser_init (&connection.parser, HTTP_RESPONSE);
  connection.parser.data = &connection;
  connection.is_client = true;
  feed (ends[1], data + 1, cut);
  read_all (base);
  if (connection.fd >= 0)
    feed (ends[1], data + 1 + cut, size - 1 - cut);
  read_all (base);
  close (ends[1]);
  read_all (base);
  http_connection_finish (&connection);
  event_base_free (base);
  return 0;
}
