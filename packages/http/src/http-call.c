#include "http-call.h"

/* Limit for the head of the response, and for bytes after the response. */
#define HEADER_LIMIT_BYTES 16384
/* Limit for the body of the response; usual bodies are below 1 KB. */
#define BODY_LIMIT_BYTES 65536

static void
on_connected (void *context)
{
  struct http_call *call = context;

  if (call->may_send != NULL && !call->may_send (call->context))
    {
      http_connection_finish (&call->connection);
      call->done (call->context, false, 0);
      return;
    }
  http_connection_write (&call->connection, call->request.data,
                         call->request.size);
}

static void
on_head (void *context, const struct http_head *head)
{
  struct http_call *call = context;

  call->status = head->status;
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct http_call *call = context;

  call->body_bytes += size;
  if (call->body_bytes <= BODY_LIMIT_BYTES)
    {
      if (call->body != NULL)
        http_text_add (call->body, data, size);
      return;
    }
  http_connection_finish (&call->connection);
  call->done (call->context, false, 0);
}

static void
on_complete (void *context)
{
  struct http_call *call = context;

  call->done (call->context, true, call->status);
}

static void
on_closed (void *context, enum http_end end)
{
  struct http_call *call = context;

  (void)end;
  call->done (call->context, false, 0);
}

static const struct http_events events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

enum result
http_call_start (struct http_call *call,
                 struct event_base *base,
                 const char *address,
                 uint16_t port,
                 int ack_timeout_ms,
                 struct http_text *request,
                 void (*done) (void *context,
                               bool has_response,
                               unsigned status),
                 void *context)
{
  const struct http_limits limits = { HEADER_LIMIT_BYTES, HEADER_LIMIT_BYTES };
  enum result result = RESULT_NO_MEMORY;

  call->request = *request;
  http_text_init (request);
  call->status = 0;
  call->body_bytes = 0;
  call->body = NULL;
  call->may_send = NULL;
  call->done = done;
  call->context = context;
  if (!call->request.failed)
    result = http_connection_connect (&call->connection, base, address, port,
                                      ack_timeout_ms, &limits, &events, call);
  if (result != RESULT_OK)
    http_text_finish (&call->request);
  return result;
}

void
http_call_finish (struct http_call *call)
{
  http_connection_finish (&call->connection);
  http_text_finish (&call->request);
}
