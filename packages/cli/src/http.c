#include "http.h"

#include "http-connection.h"

#include <stdlib.h>
#include <string.h>

/* A sheet has at most 1 MB, and a status of 800 hosts far less than this. */
#define BODY_LIMIT_BYTES 33554432
/* The head of a response, and bytes behind a whole response. */
#define HEADER_LIMIT_BYTES 65536

static struct timeval
to_timeval (int ms)
{
  struct timeval time = { .tv_sec = ms / 1000 };

  time.tv_usec = ms % 1000;
  time.tv_usec *= 1000;
  return time;
}

/* One call in progress. */
struct transfer
{
  const struct http_request *call;
  struct http_response *response;
  struct http_connection connection;
  struct http_text body;
  struct event_base *base;
  size_t *pending;  /* number of unfinished transfers */
  bool established; /* so that the request may have been written */
  bool done;
};

static void
finish_transfer (struct transfer *transfer)
{
  transfer->done = true;
  http_connection_finish (&transfer->connection);
  if (--*transfer->pending == 0)
    event_base_loopbreak (transfer->base);
}

static enum result
get_failure_result (const struct transfer *transfer)
{
  return transfer->established ? RESULT_PLATFORM_LOST_ANSWER
                               : RESULT_PLATFORM_UNREACHABLE;
}

static void
fail_transfer (struct transfer *transfer)
{
  if (transfer->done)
    return;
  transfer->response->result = get_failure_result (transfer);
  transfer->response->status = 0;
  finish_transfer (transfer);
}

static void
on_connected (void *context)
{
  struct transfer *transfer = context;

  /* The queued request is written right after this. */
  transfer->established = true;
}

static void
on_head (void *context, const struct http_head *head)
{
  struct transfer *transfer = context;

  transfer->response->status = (int)head->status;
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct transfer *transfer = context;

  http_text_add (&transfer->body, data, size);
  if (transfer->body.failed || transfer->body.size > BODY_LIMIT_BYTES)
    fail_transfer (transfer);
}

static void
on_complete (void *context)
{
  struct transfer *transfer = context;
  struct http_response *response = transfer->response;
  size_t size = transfer->body.size;

  response->body = calloc (1, size + 1);
  if (response->body == NULL)
    {
      fail_transfer (transfer);
      return;
    }
  if (size > 0)
    memcpy (response->body, transfer->body.data, size);
  response->json
      = json_loadb (response->body, size, JSON_REJECT_DUPLICATES, NULL);
  response->result = RESULT_OK;
  finish_transfer (transfer);
}

static void
on_closed (void *context, enum http_end end)
{
  (void)end;
  fail_transfer (context);
}

static const struct http_events connection_events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

static void
build_request (struct http_text *text, const struct http_request *call)
{
  http_text_init (text);
  http_text_add_string (text, call->method);
  http_text_add_string (text, " ");
  http_text_add_string (text, call->path);
  http_text_add_string (text, " HTTP/1.1\r\n");
  http_text_add_field (text, "Host", call->to->text);
  http_text_add_field (text, "Connection", "close");
  if (call->header_name != NULL)
    http_text_add_field (text, call->header_name, call->header_value);
  http_text_add_json_body (text, call->body,
                           call->body != NULL ? strlen (call->body) : 0);
}

static void
start_transfer (struct transfer *transfer, int timeout_ms)
{
  const struct http_limits limits = { HEADER_LIMIT_BYTES, HEADER_LIMIT_BYTES };
  const struct http_request *call = transfer->call;
  struct http_text request;

  build_request (&request, call);
  if (request.failed
      || http_connection_connect (&transfer->connection, transfer->base,
                                  call->to->host, call->to->port, timeout_ms,
                                  &limits, &connection_events, transfer)
             != RESULT_OK)
    fail_transfer (transfer);
  else
    /* Queued until the connection is established. */
    http_connection_write_text (&transfer->connection, &request);
  http_text_finish (&request);
}

static void
break_loop (evutil_socket_t fd, short events, void *context)
{
  (void)fd;
  (void)events;
  event_base_loopbreak (context);
}

static void
run_loop (struct event_base *base, int ms)
{
  struct timeval limit = to_timeval (ms);
  struct event *timer = evtimer_new (base, break_loop, base);

  if (timer == NULL)
    return;
  evtimer_add (timer, &limit);
  event_base_dispatch (base);
  event_free (timer);
}

void
http_fetch (struct event_base *base,
            const struct http_request *calls,
            size_t count,
            int timeout_ms,
            struct http_response *responses)
{
  struct transfer *transfers = calloc (count + 1, sizeof *transfers);
  size_t pending = count;

  memset (responses, 0, count * sizeof *responses);
  for (size_t i = 0; i < count; i++)
    responses[i].result = RESULT_PLATFORM_UNREACHABLE;
  if (transfers == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      transfers[i].call = &calls[i];
      transfers[i].response = &responses[i];
      transfers[i].base = base;
      transfers[i].pending = &pending;
      transfers[i].connection.fd = -1;
      http_text_init (&transfers[i].body);
      start_transfer (&transfers[i], timeout_ms);
    }
  if (pending > 0)
    run_loop (base, timeout_ms);
  for (size_t i = 0; i < count; i++)
    {
      if (!transfers[i].done)
        responses[i].result = get_failure_result (&transfers[i]);
      http_connection_finish (&transfers[i].connection);
      http_text_finish (&transfers[i].body);
    }
  free (transfers);
}

void
http_response_finish (struct http_response *response)
{
  free (response->body);
  json_decref (response->json);
  memset (response, 0, sizeof *response);
}

void
http_wait (struct event_base *base, int ms)
{
  run_loop (base, ms);
}
