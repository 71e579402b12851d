#include "internal.h"

#include "hash.h"
#include "jsonutil.h"
#include "place.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SERVICES_PATH_PREFIX "/v1/services/"
#define PREFIX_HASH_BYTES 256
#define DEFAULT_MAX_TOKENS 16
#define MAX_CHAT_MESSAGES 1024

const char *
request_method_name (enum evhttp_cmd_type method)
{
  switch (method)
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_TRACE:
    case EVHTTP_REQ_CONNECT:
      break;
    }
  return "?";
}

/*
 * True if the path is in canonical form.  Another spelling, such as
 * "//bookings", "/x/../bookings" or "/%62ookings", would not match the prefixes
 * of calls that may not be repeated.
 */
static bool
is_canonical_path (const char *path)
{
  for (const char *c = path; *c != '\0' && *c != '?'; c++)
    {
      if (*c == '\\' || (unsigned char)*c <= ' ' || (unsigned char)*c >= 0x7f)
        return false;
      if (c[0] == '/' && (c[1] == '/' || c[1] == '.'))
        return false;
      if (*c == '%')
        {
          char digits[3] = { 0 };
          long value;

          if (!isxdigit ((unsigned char)c[1])
              || !isxdigit ((unsigned char)c[2]))
            return false;
          memcpy (digits, c + 1, 2);
          value = strtol (digits, NULL, 16);
          if (isalnum ((int)value) || value < ' '
              || strchr ("-._~/\\", (int)value) != NULL)
            return false;
        }
    }
  return true;
}

static void
set_fingerprint (struct gateway_request *request,
                 const char *path,
                 const void *body,
                 size_t size)
{
  const char *method = request_method_name (request->method);
  const struct hash_part parts[]
      = { { request->customer, strlen (request->customer) },
          { method, strlen (method) },
          { path, strlen (path) },
          { body != NULL ? body : "", size },
          { NULL, 0 } };

  hash_hex (parts, request->traits.fingerprint);
}

static enum result
parse_service (struct gateway_request *request, const char *uri)
{
  const struct evkeyvalq *headers
      = evhttp_request_get_input_headers (request->http);
  const char *name = uri + strlen (SERVICES_PATH_PREFIX);
  size_t name_size = strcspn (name, "/?");
  const char *path = name + name_size;
  const char *key = evhttp_find_header (headers, "Idempotency-Key");
  const char *type = evhttp_find_header (headers, "Content-Type");
  const struct sheet_service *service;
  struct evbuffer *input = evhttp_request_get_input_buffer (request->http);
  char path_without_query[1024];
  size_t path_size;

  if (name_size == 0 || name_size >= SHEET_NAME_SIZE)
    return RESULT_UNKNOWN_TARGET;
  request->kind = REQUEST_SERVICE;
  memcpy (request->name, name, name_size);
  service = sheet_find_service (request->gateway->tables.sheet, request->name);
  if (service == NULL)
    return RESULT_UNKNOWN_TARGET;
  snprintf (request->target, sizeof request->target, "service/%.*s",
            (int)(sizeof request->target - sizeof "service/"), request->name);
  if (*path != '/')
    path = "/";
  path_size = strcspn (path, "?");
  if (!is_canonical_path (path) || path_size >= sizeof path_without_query)
    return RESULT_MALFORMED_REQUEST;
  memcpy (path_without_query, path, path_size);
  path_without_query[path_size] = '\0';
  request->path = strdup (path);
  request->body_size = evbuffer_get_length (input);
  request->body = malloc (request->body_size + 1);
  if (request->path == NULL || request->body == NULL)
    return RESULT_NO_MEMORY;
  evbuffer_copyout (input, request->body, request->body_size);
  /* evhttp would hold the body a second time until the reply. */
  evbuffer_drain (input, request->body_size);
  request->repeatable = !sheet_call_is_non_idempotent (
      service, request_method_name (request->method), path_without_query);
  if (key != NULL && strlen (key) >= sizeof request->idempotency_key)
    return RESULT_IDEMPOTENCY_KEY_REQUIRED;
  if (key != NULL)
    snprintf (request->idempotency_key, sizeof request->idempotency_key, "%s",
              key);
  if (type != NULL && *type != '\0')
    {
      request->content_type = strdup (type);
      if (request->content_type == NULL)
        return RESULT_NO_MEMORY;
    }
  set_fingerprint (request, request->path, request->body, request->body_size);
  return RESULT_OK;
}

/* Formats a chat as "role: content" lines followed by "assistant:". */
static char *
format_chat_prompt (const json_t *messages)
{
  struct evbuffer *text = evbuffer_new ();
  char *prompt = NULL;
  size_t size;
  size_t i;
  const json_t *message;

  if (text == NULL || json_array_size (messages) == 0
      || json_array_size (messages) > MAX_CHAT_MESSAGES)
    goto out;
  json_array_foreach (messages, i, message)
    {
      const char *role = json_string_value (json_object_get (message, "role"));
      const char *content
          = json_string_value (json_object_get (message, "content"));

      if (role == NULL || content == NULL
          || evbuffer_add_printf (text, "%s: %s\n", role, content) < 0)
        goto out;
    }
  evbuffer_add_printf (text, "assistant:");
  size = evbuffer_get_length (text);
  prompt = malloc (size + 1);
  if (prompt == NULL)
    goto out;
  evbuffer_copyout (text, prompt, size);
  prompt[size] = '\0';
out:
  if (text != NULL)
    evbuffer_free (text);
  return prompt;
}

static enum result
read_generation_fields (struct gateway_request *request, const json_t *json)
{
  const json_t *tokens = json_object_get (json, "max_tokens");
  const char *prompt = json_string_value (json_object_get (json, "prompt"));
  const json_t *stream = json_object_get (json, "stream");

  if (!json_read_string (json, "model", request->name, sizeof request->name)
      || (stream != NULL && !json_is_boolean (stream)
          && !json_is_null (stream)))
    return RESULT_MALFORMED_REQUEST;
  request->streamed = json_is_true (stream);
  request->max_tokens = DEFAULT_MAX_TOKENS;
  if (tokens != NULL && !json_is_null (tokens)
      && (!json_read_u64 (json, "max_tokens", &request->max_tokens)
          || request->max_tokens == 0
          || request->max_tokens > request->gateway->limits.max_tokens))
    return RESULT_MALFORMED_REQUEST;
  if (request->kind == REQUEST_CHAT)
    {
      request->prompt = format_chat_prompt (json_object_get (json, "messages"));
      parts_read_messages (&request->traits,
                           json_object_get (json, "messages"));
    }
  else if (prompt != NULL)
    {
      request->prompt = strdup (prompt);
      parts_read_text (&request->traits, prompt);
    }
  return request->prompt != NULL ? RESULT_OK : RESULT_MALFORMED_REQUEST;
}

static enum result
parse_generation (struct gateway_request *request, const char *path)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request->http);
  size_t size = evbuffer_get_length (input);
  const char *bytes = (const char *)evbuffer_pullup (input, -1);
  char prompt_prefix[PREFIX_HASH_BYTES + 1];
  json_t *json;
  enum result result;

  if (request->method != EVHTTP_REQ_POST)
    return RESULT_MALFORMED_REQUEST;
  request->repeatable = true;
  /* jansson refuses invalid UTF-8, NUL characters and deep nesting. */
  json = size > 0 ? json_loadb (bytes, size, JSON_REJECT_DUPLICATES, NULL)
                  : NULL;
  if (!json_is_object (json))
    {
      json_decref (json);
      return RESULT_MALFORMED_REQUEST;
    }
  result = read_generation_fields (request, json);
  json_decref (json);
  if (result != RESULT_OK)
    return result;
  snprintf (request->target, sizeof request->target, "model/%.*s",
            (int)(sizeof request->target - sizeof "model/"), request->name);
  snprintf (prompt_prefix, sizeof prompt_prefix, "%s", request->prompt);
  request->prefix_hash = hash_string (prompt_prefix, 0);
  set_fingerprint (request, path, bytes, size);
  request->prompt_size = strlen (request->prompt);
  /* evhttp would hold the body until the reply. */
  evbuffer_drain (input, size);
  return RESULT_OK;
}

enum result
parse_request (struct gateway_request *request)
{
  const char *uri = evhttp_request_get_uri (request->http);
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request->http));

  request->method = evhttp_request_get_command (request->http);
  if (path == NULL)
    return RESULT_UNKNOWN_TARGET;
  if (strncmp (uri, SERVICES_PATH_PREFIX, strlen (SERVICES_PATH_PREFIX)) == 0)
    return parse_service (request, uri);
  if (strcmp (path, "/v1/completions") == 0)
    request->kind = REQUEST_COMPLETION;
  else if (strcmp (path, "/v1/chat/completions") == 0)
    request->kind = REQUEST_CHAT;
  else
    return RESULT_UNKNOWN_TARGET;
  return parse_generation (request, path);
}

enum result
parse_check_target (const struct gateway_request *request)
{
  const struct gateway_tables *tables = &request->gateway->tables;
  const struct sheet_customer *customer = identify_find_customer (request);

  if (customer == NULL)
    return RESULT_UNAUTHENTICATED;
  if (request->kind == REQUEST_SERVICE)
    return place_check_service (tables->sheet, customer, request->name,
                                tables->data_centre);
  return place_check_model (tables->sheet, customer, request->name,
                            tables->data_centre);
}
