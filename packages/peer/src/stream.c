#include "peer-internal.h"

#include "netutil.h"
#include "timeutil.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

/*
 * FETCH over TCP with the record marking of RFC 5531, section 11: four bytes
 * with the length and the last-fragment bit precede each message.  A message is
 * always one fragment.
 */
#define RECORD_LAST_FRAGMENT 0x80000000U
#define RECORD_HEADER_SIZE 4 /* bytes */
#define REQUEST_SIZE_LIMIT 4096
#define REPLY_SIZE_LIMIT (PEER_OBJECT_LIMIT + 4096)
#define STREAMS_LIMIT 64 /* open at the same time */

struct peer_stream
{
  struct peer_node *node;
  struct bufferevent *connection;
  bool is_client;
  uint32_t xid;
  enum peer_object_id id;
  void (*done) (void *context,
                enum result result,
                uint64_t number,
                const char *text);
  void *context;
  struct peer_stream *next;
};

static void
stream_free (struct peer_stream *stream)
{
  struct peer_stream **link = &stream->node->streams;

  while (*link != NULL && *link != stream)
    link = &(*link)->next;
  if (*link != NULL)
    *link = stream->next;
  if (stream->connection != NULL)
    bufferevent_free (stream->connection);
  free (stream);
}

static void
finish_client (struct peer_stream *stream,
               enum result result,
               uint64_t number,
               const char *text)
{
  stream->done (stream->context, result, number, text);
  stream_free (stream);
}

static bool
send_record (struct peer_stream *stream,
             const struct peer_header *header,
             xdrproc_t body,
             void *arguments,
             size_t limit)
{
  struct peer_node *node = stream->node;
  char *buffer = malloc (limit);
  uint32_t mark;
  size_t used;
  bool sent = false;

  if (buffer == NULL)
    return false;
  if (peer_encode (&node->keys, header, body, arguments, buffer, limit, &used)
      == RESULT_OK)
    {
      mark = htonl (RECORD_LAST_FRAGMENT | (uint32_t)used);
      sent = bufferevent_write (stream->connection, &mark, sizeof mark) == 0
             && bufferevent_write (stream->connection, buffer, used) == 0;
      node->counts.bytes_sent += used + sizeof mark;
    }
  free (buffer);
  return sent;
}

/*
 * Reads one complete record from the input; the caller frees it.  NULL with
 * RESULT_OK if the record has not arrived completely.
 */
static char *
read_record (struct peer_stream *stream,
             size_t limit,
             size_t *size,
             enum result *result)
{
  struct evbuffer *input = bufferevent_get_input (stream->connection);
  uint32_t mark;
  char *record;

  *result = RESULT_OK;
  if (evbuffer_copyout (input, &mark, sizeof mark) != sizeof mark)
    return NULL;
  mark = ntohl (mark);
  *size = mark & ~RECORD_LAST_FRAGMENT;
  if ((mark & RECORD_LAST_FRAGMENT) == 0 || *size > limit)
    {
      *result = RESULT_PEER_TOO_LARGE;
      return NULL;
    }
  if (evbuffer_get_length (input) < RECORD_HEADER_SIZE + *size)
    return NULL;
  record = malloc (*size + 1);
  if (record == NULL)
    {
      *result = RESULT_NO_MEMORY;
      return NULL;
    }
  evbuffer_drain (input, RECORD_HEADER_SIZE);
  evbuffer_remove (input, record, *size);
  stream->node->counts.bytes_received += *size + RECORD_HEADER_SIZE;
  return record;
}

static enum result
authenticate_record (struct peer_node *node,
                     char *record,
                     size_t size,
                     struct peer_header *header,
                     size_t *offset)
{
  enum result result = peer_decode (&node->keys, record, size, header, offset);

  if (result == RESULT_OK)
    result = peer_windows_accept (&node->windows, header, time_wall_ms ());
  if (result == RESULT_OK && peer_is_host_partitioned (node, header->sender))
    result = RESULT_PEER_UNREACHABLE;
  return result;
}

static bool
reply_to_fetch (struct peer_stream *stream,
                const struct peer_header *request,
                const peer_fetch *fetch)
{
  struct peer_node *node = stream->node;
  struct peer_header header;
  peer_object object = { 0 };
  const char *text = node->hooks.find_object_text (
      node->hooks.context, (enum peer_object_id)fetch->kind, &object.number);

  if (text != NULL)
    {
      object.json.json_val = (char *)text;
      object.json.json_len = (u_int)strlen (text);
    }
  peer_fill_header (node, &header, false, request->xid, 0);
  return send_record (stream, &header, (xdrproc_t)xdr_peer_object, &object,
                      object.json.json_len + REQUEST_SIZE_LIMIT);
}

static void
on_request (struct bufferevent *connection, void *context)
{
  struct peer_stream *stream = context;
  struct peer_header header;
  peer_fetch fetch = { 0 };
  enum result result;
  size_t size;
  size_t offset = 0;
  char *record = read_record (stream, REQUEST_SIZE_LIMIT, &size, &result);

  (void)connection;
  if (record == NULL && result == RESULT_OK)
    return;
  if (record != NULL)
    result = authenticate_record (stream->node, record, size, &header, &offset);
  if (result == RESULT_OK
      && (!header.is_call || header.procedure != PEER_FETCH
          || !peer_decode_body (record, size, offset, (xdrproc_t)xdr_peer_fetch,
                                &fetch)))
    result = RESULT_PEER_BAD_MESSAGE;
  if (result == RESULT_OK && !reply_to_fetch (stream, &header, &fetch))
    result = RESULT_NO_MEMORY;
  free (record);
  if (result != RESULT_OK)
    {
      peer_record_bad_message (stream->node, result, "tcp");
      stream_free (stream);
    }
}

static void
on_server_event (struct bufferevent *connection, short events, void *context)
{
  (void)connection;
  (void)events;
  stream_free (context);
}

static void
set_timeouts (struct peer_stream *stream)
{
  struct timeval timeout = { .tv_sec = PEER_FETCH_TIMEOUT_MS / 1000 };

  bufferevent_set_timeouts (stream->connection, &timeout, &timeout);
}

static struct peer_stream *
stream_new (struct peer_node *node, evutil_socket_t socket)
{
  struct peer_stream *stream = calloc (1, sizeof *stream);

  if (stream == NULL)
    return NULL;
  stream->node = node;
  stream->connection
      = bufferevent_socket_new (node->base, socket, BEV_OPT_CLOSE_ON_FREE);
  if (stream->connection == NULL)
    {
      free (stream);
      return NULL;
    }
  set_timeouts (stream);
  stream->next = node->streams;
  node->streams = stream;
  return stream;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t socket,
           struct sockaddr *address,
           int size,
           void *context)
{
  struct peer_node *node = context;
  struct peer_stream *stream = NULL;
  size_t count = 0;

  (void)listener;
  (void)address;
  (void)size;
  for (const struct peer_stream *open = node->streams; open != NULL;
       open = open->next)
    count++;
  if (count < STREAMS_LIMIT)
    stream = stream_new (node, socket);
  if (stream == NULL)
    {
      evutil_closesocket (socket);
      return;
    }
  bufferevent_setcb (stream->connection, on_request, NULL, on_server_event,
                     stream);
  bufferevent_enable (stream->connection, EV_READ | EV_WRITE);
}

enum result
peer_stream_listen (struct peer_node *node)
{
  struct sockaddr_storage address;
  socklen_t size;

  if (!net_make_sockaddr (node->members->self.address, node->members->self.port,
                          &address, &size))
    return RESULT_INVALID;
  node->listener = evconnlistener_new_bind (
      node->base, on_accept, node,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
      (struct sockaddr *)&address, (int)size);
  return node->listener != NULL ? RESULT_OK : RESULT_PEER_UNREACHABLE;
}

void
peer_streams_finish (struct peer_node *node)
{
  if (node->listener != NULL)
    evconnlistener_free (node->listener);
  node->listener = NULL;
  while (node->streams != NULL)
    {
      struct peer_stream *stream = node->streams;

      if (stream->is_client)
        finish_client (stream, RESULT_CANCELLED, 0, NULL);
      else
        stream_free (stream);
    }
}

static void
finish_fetch (struct peer_stream *stream,
              char *record,
              size_t size,
              size_t offset)
{
  peer_object object = { 0 };
  enum result result = RESULT_PEER_BAD_MESSAGE;
  char *text = NULL;

  if (peer_decode_body (record, size, offset, (xdrproc_t)xdr_peer_object,
                        &object))
    {
      result = object.json.json_len > 0 ? RESULT_OK : RESULT_NOT_FOUND;
      text = strndup (object.json.json_val != NULL ? object.json.json_val : "",
                      object.json.json_len);
      if (text == NULL)
        result = RESULT_NO_MEMORY;
    }
  finish_client (stream, result, object.number,
                 result == RESULT_OK ? text : NULL);
  free (text);
  xdr_free ((xdrproc_t)xdr_peer_object, (char *)&object);
}

static void
on_reply (struct bufferevent *connection, void *context)
{
  struct peer_stream *stream = context;
  struct peer_header header;
  enum result result;
  size_t size;
  size_t offset = 0;
  char *record = read_record (stream, REPLY_SIZE_LIMIT, &size, &result);

  (void)connection;
  if (record == NULL && result == RESULT_OK)
    return;
  if (record != NULL)
    result = authenticate_record (stream->node, record, size, &header, &offset);
  if (result == RESULT_OK && (header.is_call || header.xid != stream->xid))
    result = RESULT_PEER_BAD_MESSAGE;
  if (result == RESULT_OK)
    finish_fetch (stream, record, size, offset);
  else
    {
      peer_record_bad_message (stream->node, result, "tcp");
      finish_client (stream, result, 0, NULL);
    }
  free (record);
}

static void
on_client_event (struct bufferevent *connection, short events, void *context)
{
  (void)connection;
  if ((events & BEV_EVENT_CONNECTED) != 0)
    return;
  finish_client (context, RESULT_PEER_UNREACHABLE, 0, NULL);
}

static bool
start_fetch (struct peer_stream *stream,
             const struct sockaddr_storage *to,
             socklen_t to_size)
{
  peer_fetch fetch = { .kind = (peer_object_kind)stream->id };
  struct peer_header header;

  bufferevent_setcb (stream->connection, on_reply, NULL, on_client_event,
                     stream);
  bufferevent_enable (stream->connection, EV_READ | EV_WRITE);
  peer_fill_header (stream->node, &header, true, stream->xid, PEER_FETCH);
  return send_record (stream, &header, (xdrproc_t)xdr_peer_fetch, &fetch,
                      REQUEST_SIZE_LIMIT)
         && bufferevent_socket_connect (
                stream->connection, (const struct sockaddr *)to, (int)to_size)
                == 0;
}

void
peer_fetch_object (struct peer_node *node,
                   const char *address,
                   uint16_t port,
                   enum peer_object_id id,
                   void (*done) (void *context,
                                 enum result result,
                                 uint64_t number,
                                 const char *text),
                   void *context)
{
  struct peer_stream *stream = NULL;
  struct sockaddr_storage to;
  socklen_t to_size;

  if (net_make_sockaddr (address, port, &to, &to_size))
    stream = stream_new (node, -1);
  if (stream == NULL)
    {
      done (context, RESULT_PEER_UNREACHABLE, 0, NULL);
      return;
    }
  stream->is_client = true;
  stream->done = done;
  stream->context = context;
  stream->id = id;
  stream->xid = ++node->next_xid;
  if (!start_fetch (stream, &to, to_size))
    finish_client (stream, RESULT_PEER_UNREACHABLE, 0, NULL);
}
