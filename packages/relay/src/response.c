#include "log.h"
#include "relay-internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Body of a refusal, as on the errors page. */
#define REFUSAL_FORMAT                                                         \
  "{\"error\":{\"code\":%d,\"name\":\"%s\",\"message\":\"%s\","                \
  "\"outcome\":\"%s\",\"retry_after_ms\":%" PRId64 "}}\n"

static const char *
get_reason_phrase (unsigned status)
{
  return http_status_str ((enum http_status)status);
}

void
relay_refuse_caller (struct relay_caller *caller,
                     const char *request_id,
                     enum result result,
                     int64_t retry_after_ms)
{
  const struct result_info *info = result_info (result);
  unsigned status = info->http_status != 0 ? (unsigned)info->http_status : 503;
  struct http_text text;
  char body[512];
  int size;

  http_text_init (&text);
  size = snprintf (body, sizeof body, REFUSAL_FORMAT, info->number, info->name,
                   info->text, outcome_name (info->outcome), retry_after_ms);
  http_text_format (&text, "HTTP/1.1 %u %s\r\n", status,
                    get_reason_phrase (status));
  if (request_id[0] != '\0')
    http_text_add_field (&text, caller->relay->names->request_id, request_id);
  http_text_add_field (&text, "Content-Type", "application/json");
  http_text_format (&text, "Content-Length: %d\r\n", size);
  if (retry_after_ms > 0)
    http_text_format (&text, "Retry-After: %.3f\r\n",
                      (double)retry_after_ms / 1000);
  if (caller->close_after || caller->relay->leaving
      || !caller->connection.has_whole_message)
    {
      caller->close_after = true;
      http_text_add_field (&text, "Connection", "close");
    }
  http_text_add (&text, "\r\n", 2);
  http_text_add (&text, body, (size_t)size);
  if (!text.failed)
    http_connection_write (&caller->connection, text.data, text.size);
  http_text_finish (&text);
}

void
relay_refuse (struct relay_request *request,
              enum result result,
              int64_t retry_after_ms)
{
  struct relay_caller *caller = request->caller;
  const struct result_info *info = result_info (result);

  relay_log_request_end (request, "refused", (unsigned)info->http_status,
                         result);
  relay_refuse_caller (caller, request->id, result, retry_after_ms);
  relay_request_free (request);
  relay_caller_finish_response (caller);
}

void
relay_response_collect_head (struct relay_upstream *upstream,
                             const struct http_head *head)
{
  http_text_reset (&upstream->head);
  for (unsigned i = 0; i < head->field_count; i++)
    {
      const char *name = http_field_name (head, i);

      if (http_field_is_hop_by_hop (head, i)
          || (strcasecmp (name, "Content-Length") == 0
              && !upstream->request->is_head_method))
        continue;
      http_text_add_field (&upstream->head, name, http_field_value (head, i));
    }
}

static void
add_response_head (struct http_text *text,
                   struct relay_request *request,
                   const struct relay_upstream *upstream)
{
  struct relay_caller *caller = request->caller;

  http_text_format (text, "HTTP/1.1 %u %s\r\n", upstream->status,
                    get_reason_phrase (upstream->status));
  http_text_add (text, upstream->head.data, upstream->head.size);
  if (request->relay->leaving)
    caller->close_after = true;
  if (caller->close_after)
    http_text_add_field (text, "Connection", "close");
}

void
relay_response_send_plain (struct relay_request *request,
                           struct relay_upstream *upstream)
{
  struct relay_caller *caller = request->caller;
  struct relay *relay = request->relay;
  struct http_text text;

  http_text_init (&text);
  add_response_head (&text, request, upstream);
  if (upstream->status != 204 && upstream->status != 304
      && !request->is_head_method)
    http_text_format (&text, "Content-Length: %zu\r\n", upstream->body.size);
  http_text_add (&text, "\r\n", 2);
  if (text.failed)
    caller->close_after = true;
  else
    {
      http_connection_write (&caller->connection, text.data, text.size);
      http_connection_write_text (&caller->connection, &upstream->body);
    }
  http_text_finish (&text);
  histogram_add (&relay->response_ms,
                 (uint64_t)(relay->now_ms - request->arrived_ms));
  relay_log_request_end (request, "answered", upstream->status, RESULT_OK);
}

/*
 * Returns the offset after the next blank line, which ends an event; 0 if there
 * is none yet.  No byte is searched twice.
 */
static size_t
find_event_end (struct relay_upstream *upstream)
{
  const struct http_text *body = &upstream->body;

  while (upstream->scanned_to < body->size)
    {
      size_t line_start = upstream->line_start;
      const char *end = memchr (body->data + upstream->scanned_to, '\n',
                                body->size - upstream->scanned_to);
      size_t length;

      if (end == NULL)
        {
          upstream->scanned_to = body->size;
          return 0;
        }
      length = (size_t)(end - body->data) - line_start;
      upstream->line_start = line_start + length + 1;
      upstream->scanned_to = upstream->line_start;
      if (length == 0 || (length == 1 && body->data[line_start] == '\r'))
        return upstream->line_start;
    }
  return 0;
}

/*
 * True if the event has data.  Comments and blank lines are forwarded, but do
 * not count as activity of the endpoint.
 */
static bool
event_has_data (const char *data, size_t size)
{
  return (size > 5 && memcmp (data, "data:", 5) == 0)
         || memmem (data, size, "\ndata:", 6) != NULL;
}

/* True if the event has comments and blank lines only. */
static bool
is_comment (const char *data, size_t size)
{
  size_t line_start = 0;

  while (line_start < size)
    {
      const char *end = memchr (data + line_start, '\n', size - line_start);

      if (data[line_start] != ':' && data[line_start] != '\r'
          && data[line_start] != '\n')
        return false;
      if (end == NULL)
        return true;
      line_start = (size_t)(end - data) + 1;
    }
  return true;
}

/* Parses the number in the event's id line; false if it has none. */
static bool
parse_event_id (const char *data, size_t size, uint64_t *id)
{
  size_t line_start = 0;

  while (line_start + 3 < size)
    {
      const char *end = memchr (data + line_start, '\n', size - line_start);

      if (strncmp (data + line_start, "id:", 3) == 0)
        {
          const char *number = data + line_start + 3;
          char *stop;

          number += strspn (number, " ");
          if (*number < '0' || *number > '9')
            return false;
          *id = strtoull (number, &stop, 10);
          return *stop == '\n' || *stop == '\r';
        }
      if (end == NULL)
        return false;
      line_start = (size_t)(end - data) + 1;
    }
  return false;
}

/* Counts the event; false if it does not continue the caller's stream. */
static bool
count_event (struct relay_request *request,
             struct relay_upstream *upstream,
             const char *data,
             size_t size)
{
  uint64_t id;

  if (parse_event_id (data, size, &id))
    {
#ifndef BREAK_GUARD_EDGE_RESUME
      if (request->has_last_event
              ? id != request->last_event + 1
              : upstream->must_continue && request->events_sent > 0)
        return false;
      request->last_event = id;
      request->has_last_event = true;
#endif
      upstream->must_continue = false;
      request->events_sent++;
      return true;
    }
  if (upstream->must_continue)
    return is_comment (data, size);
  if (event_has_data (data, size))
    request->events_sent++;
  return true;
}

/*
 * Counts the whole events at the start of the buffer.  skipped_bytes: comments
 * at its start that are dropped, because what they come before may not continue
 * the caller's stream.
 */
static bool
count_events (struct relay_request *request,
              struct relay_upstream *upstream,
              size_t *skipped_bytes,
              size_t *whole_bytes)
{
  const char *data = upstream->body.data;
  size_t end;

  *skipped_bytes = 0;
  *whole_bytes = 0;
  while ((end = find_event_end (upstream)) > 0)
    {
      if (!count_event (request, upstream, data + *whole_bytes,
                        end - *whole_bytes))
        return false;
      *whole_bytes = end;
      if (upstream->must_continue)
        *skipped_bytes = end;
    }
  return true;
}

/* Removes forwarded events from the start of the buffer. */
static void
remove_events (struct relay_upstream *upstream, size_t size)
{
  http_text_remove_prefix (&upstream->body, size);
  upstream->line_start -= size;
  upstream->scanned_to -= size;
}

/* Adds the head of a stream, unless the caller has it. */
static void
add_stream_head (struct http_text *text,
                 struct relay_request *request,
                 const struct relay_upstream *upstream)
{
  if (request->head_sent)
    return;
  add_response_head (text, request, upstream);
  http_text_add_field (text, "Transfer-Encoding", "chunked");
  http_text_add (text, "\r\n", 2);
  request->head_sent = true;
}

bool
relay_response_send_events (struct relay_request *request,
                            struct relay_upstream *upstream)
{
  struct relay *relay = request->relay;
  struct http_connection *caller_connection = &request->caller->connection;
  struct http_text text;
  bool is_valid;
  size_t skipped_bytes;
  size_t whole_bytes;

  is_valid = count_events (request, upstream, &skipped_bytes, &whole_bytes);
  if (skipped_bytes > 0)
    {
      remove_events (upstream, skipped_bytes);
      whole_bytes -= skipped_bytes;
    }
  if (whole_bytes == 0)
    return is_valid;
  http_text_init (&text);
  if (!request->head_sent)
    histogram_add (&relay->first_event_ms,
                   (uint64_t)(relay->now_ms - request->arrived_ms));
  add_stream_head (&text, request, upstream);
  if (request->first_event_ms == 0)
    request->first_event_ms = relay->now_ms;
  else if (relay->now_ms - request->last_event_ms
           > request->longest_event_gap_ms)
    request->longest_event_gap_ms = relay->now_ms - request->last_event_ms;
  request->last_event_ms = relay->now_ms;
  http_text_format (&text, "%zx\r\n", whole_bytes);
  http_text_add (&text, upstream->body.data, whole_bytes);
  http_text_add (&text, "\r\n", 2);
  remove_events (upstream, whole_bytes);
  if (text.failed)
    is_valid = false;
  else
    http_connection_write (caller_connection, text.data, text.size);
  http_text_finish (&text);
  return is_valid;
}

void
relay_response_end_stream (struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct http_text text;

  http_text_init (&text);
  add_stream_head (&text, request, request->upstream);
  http_text_add_string (&text, "0\r\n\r\n");
  if (text.failed)
    request->caller->close_after = true;
  else
    http_connection_write (&request->caller->connection, text.data, text.size);
  http_text_finish (&text);
  histogram_add (&relay->response_ms,
                 (uint64_t)(relay->now_ms - request->arrived_ms));
  relay_log_request_end (request, "answered", 200, RESULT_OK);
}
