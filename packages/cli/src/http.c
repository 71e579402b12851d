#include "http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

/* A sheet has at most 1 MB, and a status of 800 hosts far less than this. */
#define BODY_LIMIT_BYTES 33554432

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
  struct evhttp_connection *connection;
  struct event_base *base;
  size_t *pending; /* number of unfinished transfers */
  bool sent;       /* at least one byte was written to the socket */
  bool done;
};

static void
finish_transfer (struct transfer *transfer)
{
  transfer->done = true;
  if (--*transfer->pending == 0)
    event_base_loopbreak (transfer->base);
}

static void
record_output (struct evbuffer *buffer,
               const struct evbuffer_cb_info *info,
               void *context)
{
  struct transfer *transfer = context;

  (void)buffer;
  if (info->n_deleted > 0)
    transfer->sent = true;
}

static enum result
get_failure_result (const struct transfer *transfer)
{
  return transfer->sent ? RESULT_PLATFORM_LOST_ANSWER
                        : RESULT_PLATFORM_UNREACHABLE;
}

static void
handle_response (struct evhttp_request *request, void *context)
{
  struct transfer *transfer = context;
  struct http_response *response = transfer->response;
  struct evbuffer *body;
  size_t size;

  if (transfer->done)
    return;
  /* After a failure evhttp passes NULL or a request without a status. */
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      response->result = get_failure_result (transfer);
      finish_transfer (transfer);
      return;
    }
  body = evhttp_request_get_input_buffer (request);
  size = evbuffer_get_length (body);
  response->status = evhttp_request_get_response_code (request);
  response->body = calloc (1, size + 1);
  if (response->body == NULL)
    {
      response->result = get_failure_result (transfer);
      finish_transfer (transfer);
      return;
    }
  evbuffer_remove (body, response->body, size);
  response->json
      = json_loadb (response->body, size, JSON_REJECT_DUPLICATES, NULL);
  response->result = RESULT_OK;
  finish_transfer (transfer);
}

static bool
add_headers (struct evhttp_request *request, const struct http_request *call)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  bool added = evhttp_add_header (headers, "Host", call->to->text) == 0
               && evhttp_add_header (headers, "Connection", "close") == 0;

  if (added && call->header_name != NULL)
    added = evhttp_add_header (headers, call->header_name, call->header_value)
            == 0;
  if (added && call->body != NULL)
    added = evhttp_add_header (headers, "Content-Type", "application/json") == 0
            && evbuffer_add (evhttp_request_get_output_buffer (request),
                             call->body, strlen (call->body))
                   == 0;
  return added;
}

static void
start_transfer (struct transfer *transfer, int timeout_ms)
{
  const struct http_request *call = transfer->call;
  struct timeval limit = to_timeval (timeout_ms);
  struct bufferevent *stream = bufferevent_socket_new (transfer->base, -1, 0);
  struct evhttp_request *request = NULL;

  transfer->response->result = RESULT_PLATFORM_UNREACHABLE;
  if (stream == NULL)
    goto fail;
  if (evbuffer_add_cb (bufferevent_get_output (stream), record_output, transfer)
      == NULL)
    {
      bufferevent_free (stream);
      goto fail;
    }
  transfer->connection = evhttp_connection_base_bufferevent_new (
      transfer->base, NULL, stream, call->to->host, call->to->port);
  if (transfer->connection == NULL)
    {
      bufferevent_free (stream);
      goto fail;
    }
  evhttp_connection_set_timeout_tv (transfer->connection, &limit);
  evhttp_connection_set_max_body_size (transfer->connection, BODY_LIMIT_BYTES);
  request = evhttp_request_new (handle_response, transfer);
  if (request == NULL)
    goto fail;
  if (!add_headers (request, call))
    {
      evhttp_request_free (request);
      goto fail;
    }
  /* This takes ownership of the request, also if it fails. */
  if (evhttp_make_request (transfer->connection, request, call->method,
                           call->path)
      != 0)
    goto fail;
  return;

fail:
  if (!transfer->done)
    finish_transfer (transfer);
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
      start_transfer (&transfers[i], timeout_ms);
    }
  if (pending > 0)
    run_loop (base, timeout_ms);
  for (size_t i = 0; i < count; i++)
    {
      if (!transfers[i].done)
        responses[i].result = get_failure_result (&transfers[i]);
      transfers[i].done = true;
      if (transfers[i].connection != NULL)
        evhttp_connection_free (transfers[i].connection);
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
