#include "http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <stdlib.h>
#include <string.h>

/* A sheet is at most 1 MB; a status of 800 hosts stays far below this. */
#define BODY_LIMIT 33554432

static struct timeval
to_timeval (int ms)
{
  struct timeval time = { .tv_sec = ms / 1000 };

  time.tv_usec = ms % 1000;
  time.tv_usec *= 1000;
  return time;
}

struct transfer
{
  const struct http_call *call;
  struct http_answer *answer;
  struct evhttp_connection *connection;
  struct event_base *base;
  size_t *pending;
  bool sent; /* at least one byte reached the socket */
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
note_output (struct evbuffer *buffer,
             const struct evbuffer_cb_info *info,
             void *context)
{
  struct transfer *transfer = context;

  (void)buffer;
  if (info->n_deleted > 0)
    transfer->sent = true;
}

static enum result
failure (const struct transfer *transfer)
{
  return transfer->sent ? RESULT_PLATFORM_LOST_ANSWER
                        : RESULT_PLATFORM_UNREACHABLE;
}

static void
take_answer (struct evhttp_request *request, void *context)
{
  struct transfer *transfer = context;
  struct http_answer *answer = transfer->answer;
  struct evbuffer *body;
  size_t size;

  if (transfer->done)
    return;
  /* evhttp passes NULL, or a request without a status, when it failed. */
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      answer->result = failure (transfer);
      finish_transfer (transfer);
      return;
    }
  body = evhttp_request_get_input_buffer (request);
  size = evbuffer_get_length (body);
  answer->status = evhttp_request_get_response_code (request);
  answer->text = calloc (1, size + 1);
  if (answer->text == NULL)
    {
      answer->result = failure (transfer);
      finish_transfer (transfer);
      return;
    }
  evbuffer_remove (body, answer->text, size);
  answer->json = json_loadb (answer->text, size, JSON_REJECT_DUPLICATES, NULL);
  answer->result = RESULT_OK;
  finish_transfer (transfer);
}

static bool
add_headers (struct evhttp_request *request, const struct http_call *call)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  bool good = evhttp_add_header (headers, "Host", call->to->text) == 0
              && evhttp_add_header (headers, "Connection", "close") == 0;

  if (good && call->header_name != NULL)
    good = evhttp_add_header (headers, call->header_name, call->header_value)
           == 0;
  if (good && call->body != NULL)
    good = evhttp_add_header (headers, "Content-Type", "application/json") == 0
           && evbuffer_add (evhttp_request_get_output_buffer (request),
                            call->body, strlen (call->body))
                  == 0;
  return good;
}

static void
start (struct transfer *transfer, int timeout_ms)
{
  const struct http_call *call = transfer->call;
  struct timeval limit = to_timeval (timeout_ms);
  struct bufferevent *stream = bufferevent_socket_new (transfer->base, -1, 0);
  struct evhttp_request *request = NULL;

  transfer->answer->result = RESULT_PLATFORM_UNREACHABLE;
  if (stream == NULL)
    goto fail;
  if (evbuffer_add_cb (bufferevent_get_output (stream), note_output, transfer)
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
  evhttp_connection_set_max_body_size (transfer->connection, BODY_LIMIT);
  request = evhttp_request_new (take_answer, transfer);
  if (request == NULL)
    goto fail;
  if (!add_headers (request, call))
    {
      evhttp_request_free (request);
      goto fail;
    }
  /* Takes over the request, also when it fails. */
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
end_loop (evutil_socket_t fd, short events, void *context)
{
  (void)fd;
  (void)events;
  event_base_loopbreak (context);
}

static void
run_loop (struct event_base *base, int ms)
{
  struct timeval limit = to_timeval (ms);
  struct event *timer = evtimer_new (base, end_loop, base);

  if (timer == NULL)
    return;
  evtimer_add (timer, &limit);
  event_base_dispatch (base);
  event_free (timer);
}

void
http_fetch (struct event_base *base,
            const struct http_call *calls,
            size_t count,
            int timeout_ms,
            struct http_answer *answers)
{
  struct transfer *transfers = calloc (count + 1, sizeof *transfers);
  size_t pending = count;

  memset (answers, 0, count * sizeof *answers);
  for (size_t i = 0; i < count; i++)
    answers[i].result = RESULT_PLATFORM_UNREACHABLE;
  if (transfers == NULL)
    return;
  for (size_t i = 0; i < count; i++)
    {
      transfers[i].call = &calls[i];
      transfers[i].answer = &answers[i];
      transfers[i].base = base;
      transfers[i].pending = &pending;
      start (&transfers[i], timeout_ms);
    }
  if (pending > 0)
    run_loop (base, timeout_ms);
  for (size_t i = 0; i < count; i++)
    {
      if (!transfers[i].done)
        answers[i].result = failure (&transfers[i]);
      transfers[i].done = true;
      if (transfers[i].connection != NULL)
        evhttp_connection_free (transfers[i].connection);
    }
  free (transfers);
}

void
http_answer_finish (struct http_answer *answer)
{
  free (answer->text);
  json_decref (answer->json);
  memset (answer, 0, sizeof *answer);
}

void
http_pause (struct event_base *base, int ms)
{
  run_loop (base, ms);
}
