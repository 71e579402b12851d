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
 * Parses arbitrary bytes from a server, received in two chunks: callbacks come
 * in order, none follows the end of the connection, and a response head keeps
 * within its limits.
 */

#define HEADER_BYTES 1024
/* A field has a name, and with what stands around it 4 bytes or more. */
#define FIELD_LIMIT (HEADER_BYTES / 4 + 1)
#define RESPONSE_LIMIT 4 /* after this many responses the connection closes */

static struct http_connection connection;
static struct
{
  bool in_response;
  bool ended;
  unsigned response_count;
} seen;

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
require (bool condition)
{
  if (!condition)
    abort ();
}

static void
on_head (void *context, const struct http_head *head)
{
  int64_t ms = 1;

  (void)context;
  require (!seen.ended && !seen.in_response);
  require (head->status >= 200);
  require (head->field_count <= FIELD_LIMIT);
  /* The options of Connection fields are stored a second time. */
  require (head->text.size <= 2 * HEADER_BYTES + 3);
  if (http_retry_after_ms (head, &ms))
    require (ms >= 0);
  for (unsigned i = 0; i < head->field_count; i++)
    {
      require (strlen (http_field_name (head, i)) <= HEADER_BYTES);
      require (http_is_field_name (http_field_name (head, i)));
      require (strlen (http_field_value (head, i)) <= HEADER_BYTES);
      http_field_is_hop_by_hop (head, i);
    }
  seen.in_response = true;
}

static void
on_body (void *context, const char *data, size_t size)
{
  (void)context;
  require (!seen.ended && seen.in_response && data != NULL && size > 0);
}

static void
on_complete (void *context)
{
  (void)context;
  require (!seen.ended && seen.in_response);
  seen.in_response = false;
  if (++seen.response_count < RESPONSE_LIMIT)
    http_connection_next_message (&connection, false);
  else
    http_connection_finish (&connection);
}

static void
on_closed (void *context, enum http_end end)
{
  (void)context;
  (void)end;
  require (!seen.ended);
  seen.ended = true;
  http_connection_finish (&connection);
}

static const struct http_events events = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

/* Processes all bytes that have arrived. */
static void
read_available (struct event_base *base)
{
  for (int i = 0; i < 8; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

static void
send_bytes (int fd, const uint8_t *data, size_t size)
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
  size_t first_size;
  int sockets[2];

  log_set_level (LOG_LEVEL_ERROR);
  if (size == 0)
    {
      event_base_free (base);
      return 0;
    }
  first_size = data[0] % size; /* at most size - 1 */
  memset (&seen, 0, sizeof seen);
  require (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets) == 0);
  require (http_connection_accept (&connection, base, sockets[0], &limits,
                                   &events, NULL)
           == RESULT_OK);
  /* Makes the accepted connection a client, so that it parses responses
     without a listening port. */
  http_parser_init (&connection.parser, HTTP_RESPONSE);
  connection.parser.data = &connection;
  connection.is_client = true;
  send_bytes (sockets[1], data + 1, first_size);
  read_available (base);
  if (connection.fd >= 0)
    send_bytes (sockets[1], data + 1 + first_size, size - 1 - first_size);
  read_available (base);
  close (sockets[1]);
  read_available (base);
  http_connection_finish (&connection);
  event_base_free (base);
  return 0;
}
