#include "internal.h"

#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CANCEL_TIMEOUT_MS 1000

static const char *
response_object_type (const struct gateway_request *request)
{
  if (request->kind == REQUEST_CHAT)
    return request->streamed ? "chat.completion.chunk" : "chat.completion";
  return "text_completion";
}

static struct evbuffer *
get_caller_output (const struct gateway_request *request)
{
  return bufferevent_get_output (evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (request->http)));
}

size_t
generate_pending_bytes (const struct gateway_request *request)
{
  return evbuffer_get_length (get_caller_output (request))
         + (request->backlog != NULL ? evbuffer_get_length (request->backlog)
                                     : 0);
}

/*
 * Pauses reading from the endpoint at half of the limit, because bytes that
 * were already read are still relayed, and resumes at a quarter.
 */
void
generate_update_backpressure (struct gateway_request *request, int64_t now_ms)
{
  size_t limit = request->gateway->limits.stream_buffer_bytes;
  size_t pending = generate_pending_bytes (request);
  size_t delivered
      = pending < request->output_bytes ? request->output_bytes - pending : 0;

  if (delivered > request->delivered_bytes)
    {
      request->delivered_bytes = delivered;
      request->delivered_ms = now_ms;
    }
  if (request->attempt == NULL)
    return;
  if (pending >= limit / 2)
    endpoint_set_paused (request->attempt->call, true);
  else if (pending <= limit / 4)
    endpoint_set_paused (request->attempt->call, false);
}

static void on_chunk_written (struct evhttp_connection *connection,
                              void *context);

static void
write_backlog (struct gateway_request *request)
{
  size_t before = generate_pending_bytes (request);

  request->chunk_write_pending = true;
  evhttp_send_reply_chunk_with_cb (request->http, request->backlog,
                                   on_chunk_written, request);
  /* Counts the bytes of the chunk's framing. */
  request->output_bytes += generate_pending_bytes (request) - before;
}

static void
on_chunk_written (struct evhttp_connection *connection, void *context)
{
  struct gateway_request *request = context;

  (void)connection;
  request->chunk_write_pending = false;
  generate_update_backpressure (request, time_boot_ms ());
  if (evbuffer_get_length (request->backlog) > 0)
    write_backlog (request);
}

static bool
send_stream_parts (struct gateway_request *request,
                   const char *const *parts,
                   size_t count)
{
  int64_t now_ms = time_boot_ms ();

  if (request->backlog == NULL)
    request->backlog = evbuffer_new ();
  if (request->backlog == NULL)
    return false;
  if (request->delivered_bytes == request->output_bytes)
    request->delivered_ms = now_ms;
  for (size_t i = 0; i < count; i++)
    {
      size_t size = strlen (parts[i]);

      if (evbuffer_add (request->backlog, parts[i], size) != 0)
        return false;
      request->output_bytes += size;
    }
  if (!request->chunk_write_pending)
    write_backlog (request);
  request_account (request);
  generate_update_backpressure (request, now_ms);
  return true;
}

static void
start_stream_reply (struct gateway_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request->http);
  struct evbuffer *output = get_caller_output (request);
  size_t before = evbuffer_get_length (output);

  evhttp_add_header (headers, "Content-Type", "text/event-stream");
  evhttp_add_header (headers, "Cache-Control", "no-store");
  evhttp_add_header (headers, "X-Request-Id", request->id);
  if (request->gateway->phase == GATEWAY_DRAINING)
    evhttp_add_header (headers, "Connection", "close");
  evhttp_send_reply_start (request->http, 200, NULL);
  request->output_bytes += evbuffer_get_length (output) - before;
  request->reply_started = true;
}

static void
end_stream_reply (struct gateway_request *request)
{
  struct evhttp_request *http = request->http;

  if (request->backlog != NULL && evbuffer_get_length (request->backlog) > 0)
    evhttp_send_reply_chunk (http, request->backlog);
  listener_unwatch_caller (request);
  request->http = NULL;
  evhttp_send_reply_end (http);
}

void
generate_send_error (struct gateway_request *request, const char *json)
{
  const char *const parts[] = { "event: error\ndata: ", json, "\n\n" };

  send_stream_parts (request, parts, 3);
  end_stream_reply (request);
}

/* Returns the JSON before the text of an event, constant within a stream. */
static const char *
get_event_prefix (struct gateway_request *request)
{
  bool chat = request->kind == REQUEST_CHAT;
  json_t *model;
  char *name;

  if (request->event_prefix != NULL)
    return request->event_prefix;
  model = json_string (request->name);
  name = json_dumps (model, JSON_ENCODE_ANY);
  json_decref (model);
  if (name == NULL
      || asprintf (&request->event_prefix,
                   "{\"id\":\"%s\",\"object\":\"%s\",\"created\":%" PRId64
                   ",\"model\":%s,\"choices\":[{\"index\":0,%s",
                   request->id, response_object_type (request),
                   time_wall_ms () / 1000, name,
                   chat ? "\"delta\":{\"content\":" : "\"text\":")
             < 0)
    request->event_prefix = NULL;
  free (name);
  return request->event_prefix;
}

static bool
send_token_event (struct gateway_request *request, const char *text)
{
  json_t *json = json_string (text);
  char *quoted = json_dumps (json, JSON_ENCODE_ANY);
  const char *prefix = get_event_prefix (request);
  const char *const parts[]
      = { "data: ", prefix, quoted, request->kind == REQUEST_CHAT ? "}" : "",
          ",\"finish_reason\":null}]}\n\n" };
  bool ok = quoted != NULL && prefix != NULL;

  if (ok)
    {
      if (!request->reply_started)
        start_stream_reply (request);
      ok = send_stream_parts (request, parts, 5);
    }
  json_decref (json);
  free (quoted);
  return ok;
}

/* Passes a token on to the caller, or collects it if not streamed. */
static enum result
relay_token (struct gateway_request *request, const char *text)
{
  int64_t now_ms = time_boot_ms ();

  if (request->first_token_ms == 0)
    {
      request->first_token_ms = now_ms;
      histogram_add (&request->gateway->first_token_ms,
                     (uint64_t)(now_ms - request->started_ms));
    }
  if (request->streamed)
    return send_token_event (request, text) ? RESULT_OK : RESULT_NO_MEMORY;
  if (request->collected_text == NULL)
    request->collected_text = evbuffer_new ();
  if (request->collected_text == NULL
      || evbuffer_add (request->collected_text, text, strlen (text)) != 0)
    return RESULT_NO_MEMORY;
  request_account (request);
  return evbuffer_get_length (request->collected_text)
                 <= request->gateway->limits.response_bytes
             ? RESULT_OK
             : RESULT_TOO_LARGE;
}

static const char *
get_finish_reason (const struct gateway_request *request)
{
  return request->next_index >= request->max_tokens ? "length" : "stop";
}

/*
 * Returns false if memory is short.  [DONE] is then not sent, so that the
 * stream does not look complete.
 */
static bool
send_stream_end (struct gateway_request *request)
{
  const char *prefix = get_event_prefix (request);
  const char *const parts[]
      = { "data: ",
          prefix,
          request->kind == REQUEST_CHAT ? "\"\"}" : "\"\"",
          ",\"finish_reason\":\"",
          get_finish_reason (request),
          "\"}]}\n\ndata: [DONE]\n\n" };

  if (prefix == NULL)
    return false;
  if (!request->reply_started)
    start_stream_reply (request);
  if (!send_stream_parts (request, parts, 6))
    return false;
  end_stream_reply (request);
  return true;
}

static json_t *
build_collected_response (struct gateway_request *request)
{
  size_t size = request->collected_text != NULL
                    ? evbuffer_get_length (request->collected_text)
                    : 0;
  const char *bytes
      = size > 0 ? (const char *)evbuffer_pullup (request->collected_text, -1)
                 : "";
  /* The engine's tokenizer is unknown here; estimate four bytes per token. */
  json_int_t prompt_tokens = (json_int_t)(strlen (request->prompt) + 3) / 4;
  json_int_t tokens = (json_int_t)request->next_index;
  json_t *choice;

  if (request->kind == REQUEST_CHAT)
    choice = json_pack ("{s:i,s:{s:s,s:s%},s:s}", "index", 0, "message", "role",
                        "assistant", "content", bytes, size, "finish_reason",
                        get_finish_reason (request));
  else
    choice = json_pack ("{s:i,s:s%,s:s}", "index", 0, "text", bytes, size,
                        "finish_reason", get_finish_reason (request));
  return json_pack ("{s:s,s:s,s:I,s:s,s:[o],s:{s:I,s:I,s:I}}", "id",
                    request->id, "object", response_object_type (request),
                    "created", (json_int_t)(time_wall_ms () / 1000), "model",
                    request->name, "choices", choice, "usage", "prompt_tokens",
                    prompt_tokens, "completion_tokens", tokens, "total_tokens",
                    prompt_tokens + tokens);
}

static bool
send_collected_response (struct gateway_request *request)
{
  struct evhttp_request *http = request->http;
  json_t *json = build_collected_response (request);
  char *text = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;
  struct evbuffer *body = evbuffer_new ();
  bool ok = text != NULL && body != NULL
            && evbuffer_add (body, text, strlen (text)) == 0;

  if (ok)
    {
      struct evkeyvalq *headers = evhttp_request_get_output_headers (http);

      evhttp_add_header (headers, "Content-Type", "application/json");
      evhttp_add_header (headers, "X-Request-Id", request->id);
      if (request->gateway->phase == GATEWAY_DRAINING)
        evhttp_add_header (headers, "Connection", "close");
      listener_unwatch_caller (request);
      request->http = NULL;
      evhttp_send_reply (http, 200, NULL, body);
    }
  if (body != NULL)
    evbuffer_free (body);
  json_decref (json);
  free (text);
  return ok;
}

static void
complete_generation (struct gateway_request *request)
{
  attempt_end (request, CHOOSE_END_SUCCESS, false);
  request_clear_strikes (request);
  if (!(request->streamed ? send_stream_end (request)
                          : send_collected_response (request)))
    {
      request->may_have_run = true;
      request_refuse (request, RESULT_NO_MEMORY, 0);
      return;
    }
  request_complete (request);
}

static void
note_token (struct attempt *attempt)
{
  attempt->tokens++;
  attempt->progress_ms = time_boot_ms ();
  if (attempt->first_token_ms == 0)
    attempt->first_token_ms = attempt->progress_ms;
  if (attempt->is_sound
      || attempt->progress_ms - attempt->first_token_ms
             < GATEWAY_SOUND_AFTER_MS)
    return;
  attempt->is_sound = true;
  request_note_sound_parts (attempt->request);
}

/* Returns false once the attempt has ended. */
static bool
on_engine_event (void *context, const struct sse_event *event)
{
  struct attempt *attempt = context;
  struct gateway_request *request = attempt->request;
  struct token token;
  enum result result = RESULT_OK;

  switch (token_parse (event, &token))
    {
    case TOKEN_END:
      complete_generation (request);
      return false;
    case TOKEN_MALFORMED:
      attempt_fail (request, RESULT_UPSTREAM_UNKNOWN, false);
      return false;
    case TOKEN_TEXT:
      break;
    }
  switch (token.index < request->max_tokens
              ? token_check_index (&request->next_index, token.index)
              : TOKEN_GAP)
    {
    case TOKEN_NEXT:
      note_token (attempt);
      result = relay_token (request, token.text);
      break;
    case TOKEN_DUPLICATE:
      break;
    case TOKEN_GAP:
      result = RESULT_STREAM_BROKEN;
      break;
    }
  free (token.text);
  if (result == RESULT_OK)
    return true;
  request_refuse (request, result, 0);
  return false;
}

static void
on_response_data (void *context, const char *bytes, size_t size)
{
  struct attempt *attempt = context;
  enum result result = RESULT_OK;

  if (attempt->call->status != 200)
    {
      if (!attempt_append_response (attempt, bytes, size,
                                    ERROR_BODY_LIMIT_BYTES))
        attempt_fail (attempt->request, RESULT_UPSTREAM_UNKNOWN, false);
      return;
    }
  result
      = sse_decode (&attempt->decoder, bytes, size, on_engine_event, attempt);
  if (result != RESULT_OK && attempt->request != NULL)
    attempt_fail (attempt->request, RESULT_UPSTREAM_UNKNOWN, false);
}

static void
on_call_ended (void *context, enum result result)
{
  struct attempt *attempt = context;
  struct gateway_request *request = attempt->request;

#ifdef BREAK_GUARD_STREAM_END
  if (result != RESULT_OK && request->next_index > 0)
    {
      complete_generation (request);
      return;
    }
#endif
  if (result != RESULT_OK)
    {
      attempt_fail (request, result,
                    result == RESULT_UPSTREAM_UNKNOWN
                        && !attempt->call->is_malformed);
      return;
    }
  switch (attempt->call->status)
    {
    case 409:
      result = RESULT_ENDPOINT_WRONG_GROUP;
      break;
    case 429:
      result = RESULT_ENDPOINT_BUSY;
      break;
    default:
      /* Includes a response that ended without [DONE]. */
      result = attempt_has_leaving_response (attempt) ? RESULT_ENDPOINT_LEAVING
                                                      : RESULT_UPSTREAM_UNKNOWN;
    }
  /* Without [DONE] the end of the connection may be that of the endpoint. */
  attempt_fail (request, result,
                attempt->call->status == 200
                    && attempt->call->ends_with_connection);
}

static const char *
get_priority_name (enum admission_priority priority)
{
  static const char *const names[] = { "low", "normal", "high" };

  return names[priority];
}

bool
generate_start (struct gateway_request *request, struct attempt *attempt)
{
  static const struct endpoint_events events
      = { .data = on_response_data, .ended = on_call_ended };
  int64_t now_ms = attempt->started_ms;
  char generation[32];
  char deadline[32];
  const struct endpoint_header headers[] = {
    { "Content-Type", "application/json" },
    { "X-Request-Id", attempt->id },
    { "X-Group", attempt->key },
    { "X-Generation", generation },
    { "X-Deadline-Ms", deadline },
    { NULL, NULL },
  };
  struct endpoint_request call_request = {
    .address = attempt->address,
    .port = attempt->port,
    .method = "POST",
    .path = "/v1/completions",
    .headers = headers,
    .id = attempt->id,
  };
  json_t *json = json_pack ("{s:s,s:s,s:I,s:s,s:I}", "model", request->name,
                            "prompt", request->prompt, "max_tokens",
                            (json_int_t)request->max_tokens, "priority",
                            get_priority_name (request->admission.priority),
                            "resume_from", (json_int_t)request->next_index);
  char *body = json != NULL ? json_dumps (json, JSON_COMPACT) : NULL;

  snprintf (generation, sizeof generation, "%" PRIu64, attempt->generation);
  snprintf (deadline, sizeof deadline, "%" PRId64,
            request->deadline_ms - now_ms);
  call_request.body = body;
  call_request.size = body != NULL ? strlen (body) : 0;
  if (body != NULL)
    attempt->call = endpoint_start_call (
        request->gateway->endpoints, &call_request, &events, attempt, now_ms);
  free (body);
  json_decref (json);
  return attempt->call != NULL;
}

void
generate_cancel (struct gateway *gateway, const struct attempt *attempt)
{
  static const struct endpoint_header headers[]
      = { { "Content-Type", "application/json" }, { NULL, NULL } };
  char body[ATTEMPT_ID_SIZE + 32];
  struct endpoint_request call_request = {
    .address = attempt->address,
    .port = attempt->port,
    .method = "POST",
    .path = "/v1/cancel",
    .headers = headers,
    .body = body,
  };

  /* Request ids contain no character that JSON would escape. */
  call_request.size = (size_t)snprintf (body, sizeof body,
                                        "{\"request_id\":\"%s\"}", attempt->id);
  endpoint_send_one_way (gateway->endpoints, &call_request, CANCEL_TIMEOUT_MS,
                         time_boot_ms ());
}
