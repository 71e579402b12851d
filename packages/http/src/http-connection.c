#include "http-connection.h"

#include "log.h"
#include "netutil.h"

#include <errno.h>
#include <event2/buffer.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes of one read; an event of a stream has about 100. */
#define READ_BYTES 16384

/* Idle time before the first TCP keep-alive probe, and between two probes. */
#define KEEPALIVE_S 1
/* Unacknowledged probes after which the connection counts as failed. */
#define KEEPALIVE_PROBES 2

/*
 * Interim responses before a final response.  RFC 9110 sets no limit; usual
 * are one 100, one 102 and one 103.
 */
#define INTERIM_LIMIT 8

/* Pending messages that are parsed before the event loop goes on. */
#define MESSAGE_BATCH 4

/*
 * Largest head of a response, with its table of fields, while memory is short.
 * Usual heads are below 1 KB.
 */
#define FULL_HEAD_BYTES 8192

/* Memory of an open connection besides its buffers: state and libevent's. */
#define CONNECTION_BYTES 3072

/*
 * Bytes of a field that are not stored in the head: its colon and CRLF, less
 * the two NULs of its strings.
 */
#define FIELD_EXTRA_BYTES 1

static void
free_memory (evutil_socket_t fd, short what, void *memory)
{
  (void)fd;
  (void)what;
  free (memory);
}

void
http_free_later (struct event_base *base, void *memory)
{
  static const struct timeval now = { 0, 0 };

  if (event_base_once (base, -1, EV_TIMEOUT, free_memory, memory, &now) != 0)
    LOG_EVENT (LOG_LEVEL_ERROR, "memory-not-freed",
               LOG_STR ("reason", "out of memory"));
}

static void
update_charges (struct http_connection *connection)
{
  size_t output;

  if (connection->account == NULL || connection->fd < 0)
    return;
  output = evbuffer_get_length (connection->output);
  if (output == 0)
    connection->borrowed_bytes = 0;
  memory_account_set (
      connection->account, MEMORY_CONNECTIONS, &connection->state_charge,
      CONNECTION_BYTES + connection->head.text.capacity
          + connection->head.field_capacity * sizeof *connection->head.fields
          + evbuffer_get_length (connection->pending));
  memory_account_set (
      connection->account, connection->output_kind, &connection->output_charge,
      output > connection->borrowed_bytes ? output - connection->borrowed_bytes
                                          : 0);
}

/* Reads only while neither the owner nor the connection has suspended it. */
static void
update_reading (struct http_connection *connection)
{
  if (connection->fd < 0 || connection->connecting
      || (connection->ended && !connection->discarding))
    return;
  if (connection->is_reading_suspended || connection->is_input_full)
    event_del (&connection->readable);
  else
    event_add (&connection->readable, NULL);
}

/* Parser callbacks.  The parser may pass one text in several fragments. */

/* True if other holders need the memory that the response's head would take. */
static bool
is_head_shed (const struct http_connection *connection)
{
  const struct http_head *head = &connection->head;

  return connection->is_client && connection->account != NULL
         && head->text.size + head->field_count * sizeof *head->fields
                > FULL_HEAD_BYTES
         && memory_account_level (connection->account) == MEMORY_FULL;
}

static int
append_head_text (struct http_connection *connection,
                  const char *data,
                  size_t size)
{
  struct http_head *head = &connection->head;
  size_t capacity = head->text.capacity;

  if (head->text.size + size + (size_t)head->field_count * FIELD_EXTRA_BYTES
          > connection->limits.header_bytes
      || is_head_shed (connection))
    {
      connection->over_limit = true;
      return -1;
    }
  http_text_add (&head->text, data, size);
  if (head->text.capacity != capacity)
    update_charges (connection);
  return head->text.failed ? -1 : 0;
}

static bool
add_field (struct http_connection *connection, uint32_t name)
{
  struct http_head *head = &connection->head;
  unsigned capacity = head->field_capacity;

  if (!http_head_add_field (head, name))
    return false;
  if (head->field_capacity != capacity)
    update_charges (connection);
  return true;
}

/* Terminates the last string; returns the offset of the next one. */
static uint32_t
start_next_string (struct http_head *head)
{
  if (head->text.size > 0)
    http_text_add (&head->text, "", 1);
  return (uint32_t)head->text.size;
}

static int
on_message_begin (struct http_parser *parser)
{
  struct http_connection *connection = parser->data;

  http_head_reset (&connection->head);
  connection->in_value = false;
  connection->head_done = false;
  connection->message_begun = true;
  return 0;
}

static int
on_target (struct http_parser *parser, const char *data, size_t size)
{
  return append_head_text (parser->data, data, size);
}

/* True if only blanks are between the text and the line break before it. */
static bool
begins_line (const struct http_connection *connection, const char *text)
{
  while (text > connection->input && (text[-1] == ' ' || text[-1] == '\t'))
    text--;
  return (text > connection->input ? text[-1] : connection->previous_byte)
         == '\n';
}

static int
on_field_name (struct http_parser *parser, const char *data, size_t size)
{
  struct http_connection *connection = parser->data;
  struct http_head *head = &connection->head;

  /* Trailer fields apply to this connection only and are ignored. */
  if (connection->head_done)
    return 0;
  if (connection->in_value || head->field_count == 0)
    {
      if (!begins_line (connection, data))
        return -1;
      if (!add_field (connection, start_next_string (head)))
        return -1;
      connection->in_value = false;
    }
  return append_head_text (connection, data, size);
}

/*
 * True if the name of the last field is valid.  The parser takes blanks in
 * names, and readers differ in what "Name : value" means.
 */
static bool
has_valid_name (const struct http_connection *connection)
{
  const struct http_head *head = &connection->head;
  uint32_t name = head->fields[head->field_count - 1].name;

  return head->text.size > name && http_is_field_name (head->text.data + name);
}

static int
on_field_value (struct http_parser *parser, const char *data, size_t size)
{
  struct http_connection *connection = parser->data;
  struct http_head *head = &connection->head;

  if (connection->head_done)
    return 0;
  /*
   * The parser joins continued lines (RFC 9112, section 5.2), so that a line
   * with a blank before its name would become a part of the field before it.
   */
  if (connection->is_client && size > 0 && begins_line (connection, data))
    return -1;
  if (!connection->in_value)
    {
      if (!has_valid_name (connection))
        return -1;
      head->fields[head->field_count - 1].value = start_next_string (head);
      connection->in_value = true;
    }
  return append_head_text (connection, data, size);
}

static int
on_head (struct http_parser *parser)
{
  struct http_connection *connection = parser->data;
  struct http_head *head = &connection->head;

  connection->head_done = true;
  if (!http_head_complete (head))
    return -1;
  head->status = parser->status_code;
  if (!connection->is_client)
    head->method = http_method_str ((enum http_method)parser->method);
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  if (connection->is_client && head->status < 100)
    return -1;
  connection->is_paused_at_head = true;
  http_parser_pause (parser, 1);
  /*
   * Interim responses have no content (RFC 9110, section 15.2).  The parser
   * would read content, and it would be taken for that of the final response.
   */
  return connection->is_client && (connection->no_body || head->status < 200);
}

static int
on_body (struct http_parser *parser, const char *data, size_t size)
{
  struct http_connection *connection = parser->data;

  connection->events->body (connection->context, data, size);
  return connection->fd < 0 ? -1 : 0;
}

static int
on_complete (struct http_parser *parser)
{
  struct http_connection *connection = parser->data;

  /* After an interim response (RFC 9110, section 15.2), wait for the next. */
  if (connection->is_client && connection->head.status < 200)
    {
      if (++connection->interim_count <= INTERIM_LIMIT)
        return 0;
      connection->over_limit = true;
      return -1;
    }
  connection->has_whole_message = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const struct http_parser_settings callbacks = {
  .on_message_begin = on_message_begin,
  .on_url = on_target,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

static void
stop_events (struct http_connection *connection)
{
  event_del (&connection->readable);
  event_del (&connection->writable);
  event_del (&connection->resumed);
}

static void
report_end (struct http_connection *connection, enum http_end end)
{
  stop_events (connection);
  connection->ended = true;
  connection->events->closed (connection->context, end);
}

/* True if a server should read no more behind the current message. */
static bool
has_enough_pending (const struct http_connection *connection)
{
  size_t size = evbuffer_get_length (connection->pending);

  return size >= connection->limits.pending_bytes
         || (size > 0 && connection->account != NULL
             && memory_account_level (connection->account) != MEMORY_CALM);
}

static void
store_pending (struct http_connection *connection,
               const char *data,
               size_t size)
{
  if ((connection->is_client
       && evbuffer_get_length (connection->pending) + size
              > connection->limits.pending_bytes)
      || evbuffer_add (connection->pending, data, size) != 0)
    {
      report_end (connection, HTTP_END_LIMIT);
      return;
    }
  update_charges (connection);
  /* The current message may be running at an endpoint and must not be lost. */
  if (!connection->is_client && has_enough_pending (connection))
    {
      connection->is_input_full = true;
      update_reading (connection);
    }
}

/* Reports a message that has become whole, or the end of the connection. */
static void
report_parsed (struct http_connection *connection)
{
  enum http_errno error = HTTP_PARSER_ERRNO (&connection->parser);

  if (connection->has_whole_message)
    connection->events->complete (connection->context);
  else if (error == HPE_HEADER_OVERFLOW || connection->over_limit)
    report_end (connection, HTTP_END_LIMIT);
  else if (error != HPE_OK || connection->parser.upgrade)
    report_end (connection, HTTP_END_PROTOCOL);
}

/*
 * Reports the head at which the parser has paused, unless it is that of an
 * interim response.  last: the last byte of the head.
 */
static void
report_head (struct http_connection *connection, char last)
{
  struct http_head *head = &connection->head;

  connection->is_paused_at_head = false;
  http_parser_pause (&connection->parser, 0);
  /* The parser takes any byte behind a CR for the end of the line. */
  if (last != '\n')
    connection->parser.http_errno = HPE_LF_EXPECTED;
  else if (!connection->is_client || head->status >= 200)
    connection->events->head (connection->context, head);
}

/* Returns the number of bytes that were parsed. */
static size_t
parse (struct http_connection *connection, const char *data, size_t size)
{
  struct http_parser *parser = &connection->parser;
  size_t used;
  size_t end;

  connection->input = data;
  used = http_parser_execute (parser, &callbacks, data, size);
  while (connection->is_paused_at_head)
    {
      report_head (connection, data[used]);
      if (connection->fd < 0 || HTTP_PARSER_ERRNO (parser) != HPE_OK)
        break;
      used
          += http_parser_execute (parser, &callbacks, data + used, size - used);
    }
  connection->input = NULL;
  end = used;
  while (end > 0 && (data[end - 1] == ' ' || data[end - 1] == '\t'))
    end--;
  if (end > 0)
    connection->previous_byte = data[end - 1];
  return used;
}

static void
parse_input (struct http_connection *connection, const char *data, size_t size)
{
  size_t used = parse (connection, data, size);

  if (connection->fd < 0 || connection->discarding)
    return;
  if (connection->has_whole_message && used < size)
    store_pending (connection, data + used, size - used);
  update_charges (connection);
  if (connection->fd >= 0 && !connection->ended)
    report_parsed (connection);
}

/*
 * Handles the end of input; orderly: the other side closed without an error.
 * The socket reports an error once: after a failed write, a read finds an end
 * that looks orderly.
 */
static void
handle_end_of_stream (struct http_connection *connection, bool orderly)
{
  if (connection->write_failed)
    orderly = false;
  if (connection->has_whole_message || connection->discarding
      || !connection->message_begun || !orderly)
    {
      report_end (connection, orderly ? HTTP_END_CLOSED : HTTP_END_RESET);
      return;
    }
  /* Completes a body that is delimited by the end of the connection. */
  http_parser_execute (&connection->parser, &callbacks, NULL, 0);
  if (connection->fd < 0)
    return;
  if (connection->has_whole_message)
    {
      connection->head.keep_alive = false;
      connection->ended = true;
      stop_events (connection);
      connection->events->complete (connection->context);
    }
  else
    report_end (connection, HTTP_END_TRUNCATED);
}

static void
handle_input (struct http_connection *connection, const char *data, size_t size)
{
  if (connection->discarding)
    return;
  if (connection->has_whole_message)
    store_pending (connection, data, size);
  else
    parse_input (connection, data, size);
}

/*
 * Parses pending messages until one has to be served.  Their number does not
 * add to the depth of calls: the owner may ask for the next message while one
 * is reported, and the loop goes on with it.  After a batch the rest waits for
 * the event loop, which also frees what http_free_later was given.
 */
static void
parse_pending (struct http_connection *connection)
{
  char part[READ_BYTES];
  unsigned count = 0;

  connection->parses_pending = true;
  while (connection->fd >= 0 && !connection->ended && !connection->discarding
         && !connection->has_whole_message)
    {
      ssize_t size = evbuffer_copyout (connection->pending, part, sizeof part);
      size_t used;

      if (size <= 0)
        break;
      if (count++ == MESSAGE_BATCH)
        {
          event_active (&connection->resumed, EV_TIMEOUT, 0);
          break;
        }
      used = parse (connection, part, (size_t)size);
      if (connection->fd < 0 || connection->discarding)
        break;
      evbuffer_drain (connection->pending, used);
      update_charges (connection);
      report_parsed (connection);
    }
  connection->parses_pending = false;
  if (connection->is_input_full && connection->fd >= 0
      && !has_enough_pending (connection))
    {
      connection->is_input_full = false;
      update_reading (connection);
    }
}

static void
on_resumed (evutil_socket_t fd, short what, void *context)
{
  struct http_connection *connection = context;

  (void)fd;
  (void)what;
  if (!connection->has_whole_message && !connection->discarding)
    parse_pending (connection);
}

/*
 * Bytes to read at once.  Many connections may be readable when a watermark is
 * passed, and each reads once before its owner can suspend it.
 */
static size_t
get_read_size (const struct http_connection *connection)
{
  if (connection->is_client || connection->account == NULL
      || connection->discarding)
    return READ_BYTES;
  switch (memory_account_level (connection->account))
    {
    case MEMORY_FULL:
      return READ_BYTES / 16;
    case MEMORY_TIGHT:
      return READ_BYTES / 4;
    default:
      return READ_BYTES;
    }
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  struct http_connection *connection = context;
  char buffer[READ_BYTES];
  ssize_t size;

  (void)what;
  /* on_resumed parses what came before the unread bytes of the socket. */
  if (!connection->has_whole_message && !connection->discarding
      && evbuffer_get_length (connection->pending) > 0)
    return;
  size = recv (fd, buffer, get_read_size (connection), 0);
  if (size > 0)
    handle_input (connection, buffer, (size_t)size);
  else if (size == 0)
    handle_end_of_stream (connection, true);
  else if (errno != EAGAIN && errno != EINTR)
    handle_end_of_stream (connection, false);
}

static void
handle_connected (struct http_connection *connection)
{
  int error = 0;
  socklen_t size = sizeof error;

  connection->connecting = false;
  if (connection->was_refused)
    error = ECONNREFUSED;
  else if (getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size)
           != 0)
    error = errno;
  if (error != 0)
    {
      report_end (connection,
                  error == ECONNREFUSED ? HTTP_END_REFUSED : HTTP_END_RESET);
      return;
    }
  update_reading (connection);
  connection->events->connected (connection->context);
}

static void
flush_output (struct http_connection *connection)
{
  while (evbuffer_get_length (connection->output) > 0)
    {
      struct evbuffer_iovec part;
      ssize_t size;

      evbuffer_peek (connection->output, -1, NULL, &part, 1);
      size = send (connection->fd, part.iov_base, part.iov_len, MSG_NOSIGNAL);
      if (size < 0)
        {
          if (errno == EINTR)
            continue;
          /* What was received before the error can still be read. */
          if (errno != EAGAIN)
            {
              connection->write_failed = true;
              evbuffer_drain (connection->output,
                              evbuffer_get_length (connection->output));
            }
          break;
        }
      evbuffer_drain (connection->output, (size_t)size);
    }
  update_charges (connection);
  connection->has_unwritten = evbuffer_get_length (connection->output) > 0;
  if (connection->has_unwritten)
    event_add (&connection->writable, NULL);
}

static void
on_writable (evutil_socket_t fd, short what, void *context)
{
  struct http_connection *connection = context;

  (void)fd;
  (void)what;
  if (connection->connecting)
    {
      handle_connected (connection);
      if (connection->fd < 0 || connection->ended)
        return;
    }
  flush_output (connection);
  if (!connection->has_unwritten && connection->events->drained != NULL)
    connection->events->drained (connection->context);
}

static enum result
init_connection (struct http_connection *connection,
                 struct event_base *base,
                 int fd,
                 const struct http_limits *limits,
                 const struct http_events *events,
                 void *context)
{
  memset (connection, 0, sizeof *connection);
  connection->base = base;
  connection->fd = fd;
  connection->events = events;
  connection->context = context;
  connection->limits = *limits;
  http_head_init (&connection->head);
  connection->output = evbuffer_new ();
  connection->pending = evbuffer_new ();
  event_assign (&connection->readable, base, fd, EV_READ | EV_PERSIST,
                on_readable, connection);
  event_assign (&connection->writable, base, fd, EV_WRITE, on_writable,
                connection);
  event_assign (&connection->resumed, base, -1, 0, on_resumed, connection);
  if (connection->output == NULL || connection->pending == NULL)
    {
      http_connection_finish (connection);
      return RESULT_NO_MEMORY;
    }
  return RESULT_OK;
}

static void
init_parser (struct http_connection *connection, enum http_parser_type type)
{
  http_parser_init (&connection->parser, type);
  connection->parser.data = connection;
  connection->is_client = type == HTTP_RESPONSE;
}

static void
set_option (int fd, int level, int option, int value)
{
  /* The connection also works without the option, so failure is logged only.
   */
  if (setsockopt (fd, level, option, &value, sizeof value) != 0)
    LOG_EVENT (LOG_LEVEL_DEBUG, "socket-option", LOG_INT ("option", option),
               LOG_INT ("errno", errno));
}

enum result
http_connection_accept (struct http_connection *connection,
                        struct event_base *base,
                        int fd,
                        const struct http_limits *limits,
                        const struct http_events *events,
                        void *context)
{
  enum result result
      = init_connection (connection, base, fd, limits, events, context);

  if (result != RESULT_OK)
    return result;
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  init_parser (connection, HTTP_REQUEST);
  event_add (&connection->readable, NULL);
  return RESULT_OK;
}

enum result
http_connection_connect (struct http_connection *connection,
                         struct event_base *base,
                         const char *address,
                         uint16_t port,
                         int ack_timeout_ms,
                         const struct http_limits *limits,
                         const struct http_events *events,
                         void *context)
{
  struct sockaddr_storage to;
  socklen_t to_size;
  enum result result;
  bool was_refused = false;
  int fd;

  memset (connection, 0, sizeof *connection);
  connection->fd = -1;
  if (!net_make_sockaddr (address, port, &to, &to_size))
    return RESULT_ENDPOINT_CONNECT;
  fd = socket (to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return RESULT_ENDPOINT_CONNECT;
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ack_timeout_ms);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
  if (connect (fd, (struct sockaddr *)&to, to_size) != 0)
    {
      was_refused = errno == ECONNREFUSED;
      if (!was_refused && errno != EINPROGRESS)
        {
          close (fd);
          return RESULT_ENDPOINT_CONNECT;
        }
    }
  result = init_connection (connection, base, fd, limits, events, context);
  if (result != RESULT_OK)
    return result;
  init_parser (connection, HTTP_RESPONSE);
  connection->connecting = true;
  connection->was_refused = was_refused;
  event_add (&connection->writable, NULL);
  if (was_refused)
    event_active (&connection->writable, EV_WRITE, 0);
  return RESULT_OK;
}

void
http_connection_finish (struct http_connection *connection)
{
  if (connection->fd < 0)
    return;
  stop_events (connection);
  if (connection->account != NULL)
    {
      memory_account_set (connection->account, MEMORY_CONNECTIONS,
                          &connection->state_charge, 0);
      memory_account_set (connection->account, connection->output_kind,
                          &connection->output_charge, 0);
    }
  close (connection->fd);
  connection->fd = -1;
  if (connection->output != NULL)
    evbuffer_free (connection->output);
  if (connection->pending != NULL)
    evbuffer_free (connection->pending);
  connection->output = NULL;
  connection->pending = NULL;
  http_head_finish (&connection->head);
}

/*
 * Writes to the socket if nothing is queued.  Returns the number of bytes that
 * need not be queued.
 */
static size_t
write_now (struct http_connection *connection, const void *data, size_t size)
{
  ssize_t sent;

  if (connection->connecting || connection->has_unwritten)
    return 0;
  sent = send (connection->fd, data, size, MSG_NOSIGNAL);
  if (sent >= 0)
    return (size_t)sent;
  if (errno == EAGAIN || errno == EINTR)
    return 0;
  connection->write_failed = true;
  return size;
}

static void
note_queued (struct http_connection *connection, bool is_queued, size_t size)
{
  if (!is_queued)
    LOG_EVENT (LOG_LEVEL_ERROR, "output-lost",
               LOG_U64 ("bytes", (uint64_t)size));
  connection->has_unwritten = true;
  update_charges (connection);
  event_add (&connection->writable, NULL);
}

void
http_connection_write (struct http_connection *connection,
                       const void *data,
                       size_t size)
{
  size_t sent;

  if (connection->fd < 0)
    return;
  sent = write_now (connection, data, size);
  if (sent == size)
    return;
  size -= sent;
  note_queued (
      connection,
      evbuffer_add (connection->output, (const char *)data + sent, size) == 0,
      size);
}

void
http_connection_write_borrowed (struct http_connection *connection,
                                const void *data,
                                size_t size)
{
  size_t sent;

  if (connection->fd < 0)
    return;
  sent = write_now (connection, data, size);
  if (sent == size)
    return;
  size -= sent;
  connection->borrowed_bytes = size;
  note_queued (connection,
               evbuffer_add_reference (connection->output,
                                       (const char *)data + sent, size, NULL,
                                       NULL)
                   == 0,
               size);
}

static void
free_written (const void *data, size_t size, void *memory)
{
  (void)data;
  (void)size;
  free (memory);
}

void
http_connection_write_text (struct http_connection *connection,
                            struct http_text *text)
{
  size_t sent = connection->fd >= 0
                    ? write_now (connection, text->data, text->size)
                    : text->size;

  if (sent < text->size)
    {
      bool is_queued
          = evbuffer_add_reference (connection->output, text->data + sent,
                                    text->size - sent, free_written, text->data)
            == 0;

      note_queued (connection, is_queued, text->size - sent);
      if (is_queued)
        text->data = NULL; /* freed once it is written */
    }
  http_text_finish (text);
}

void
http_connection_set_account (struct http_connection *connection,
                             struct memory_account *account,
                             enum memory_kind output_kind)
{
  connection->account = account;
  connection->output_kind = output_kind;
  update_charges (connection);
}

size_t
http_connection_unwritten_bytes (const struct http_connection *connection)
{
  return connection->output != NULL ? evbuffer_get_length (connection->output)
                                    : 0;
}

size_t
http_connection_unsent_bytes (const struct http_connection *connection)
{
  int queued = 0;

  if (connection->fd < 0 || ioctl (connection->fd, SIOCOUTQ, &queued) != 0
      || queued < 0)
    queued = 0;
  return http_connection_unwritten_bytes (connection) + (size_t)queued;
}

size_t
http_connection_pending_bytes (const struct http_connection *connection)
{
  return connection->pending != NULL ? evbuffer_get_length (connection->pending)
                                     : 0;
}

/* True if the connection is open and no bytes are unparsed or unwritten. */
static bool
is_open_and_drained (const struct http_connection *connection)
{
  return connection->fd >= 0 && !connection->ended && !connection->write_failed
         && http_connection_pending_bytes (connection) == 0
         && http_connection_unwritten_bytes (connection) == 0;
}

bool
http_connection_is_reusable (const struct http_connection *connection)
{
  return connection->head.keep_alive && is_open_and_drained (connection);
}

bool
http_connection_is_idle (const struct http_connection *connection)
{
  return is_open_and_drained (connection) && !connection->connecting
         && !connection->has_whole_message && !connection->message_begun;
}

bool
http_connection_has_input (const struct http_connection *connection)
{
  char byte;

  return connection->fd >= 0 && !connection->ended
         && recv (connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
http_connection_next_message (struct http_connection *connection, bool no_body)
{
  if (connection->fd < 0)
    return;
  connection->no_body = no_body;
  connection->message_begun = false;
  connection->interim_count = 0;
  if (!connection->has_whole_message)
    return;
  connection->has_whole_message = false;
  http_parser_pause (&connection->parser, 0);
  if (!connection->parses_pending
      && http_connection_pending_bytes (connection) > 0)
    parse_pending (connection);
}

void
http_connection_half_close (struct http_connection *connection)
{
  if (connection->fd < 0 || connection->discarding)
    return;
  connection->discarding = true;
  connection->ended = false;
  connection->is_reading_suspended = false;
  connection->is_input_full = false;
  evbuffer_drain (connection->pending,
                  evbuffer_get_length (connection->pending));
  update_charges (connection);
  if (shutdown (connection->fd, SHUT_WR) != 0)
    LOG_EVENT (LOG_LEVEL_DEBUG, "half-close", LOG_INT ("errno", errno));
  event_add (&connection->readable, NULL);
}

void
http_connection_set_reading_suspended (struct http_connection *connection,
                                       bool suspended)
{
  if (connection->fd < 0 || connection->is_reading_suspended == suspended)
    return;
  connection->is_reading_suspended = suspended;
  update_reading (connection);
}
