#include "internal.h"

#include "place.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
append_data_centre (void *context, const char *data_centre)
{
  json_array_append_new (context, json_string (data_centre));
}

static json_t *
list_permitted_data_centres (const struct gateway_request *request)
{
  const struct sheet *sheet = request->gateway->tables.sheet;
  const struct sheet_customer *customer = identify_find_customer (request);
  json_t *data_centres = json_array ();

  if (data_centres == NULL || customer == NULL)
    return data_centres;
  if (request->name[0] == '\0')
    place_for_each_permitted (sheet, customer, NULL, NULL, append_data_centre,
                              data_centres);
  else if (request->kind == REQUEST_SERVICE)
    place_for_each_permitted (sheet, customer, NULL, request->name,
                              append_data_centre, data_centres);
  else
    place_for_each_permitted (sheet, customer, request->name, NULL,
                              append_data_centre, data_centres);
  return data_centres;
}

char *
refusal_format_json (const struct gateway_request *request,
                     enum result result,
                     enum outcome outcome,
                     int64_t retry_after_ms)
{
  const struct result_info *info = result_info (result);
  json_t *error = json_pack (
      "{s:i,s:s,s:s,s:s,s:I,s:s}", "code", info->number, "name", info->name,
      "message", info->text, "outcome", outcome_name (outcome),
      "retry_after_ms", (json_int_t)retry_after_ms, "request_id", request->id);
  json_t *body;
  char *text;

  if (error != NULL && result == RESULT_WRONG_DATA_CENTRE)
    json_object_set_new (error, "data_centres",
                         list_permitted_data_centres (request));
  body = json_pack ("{s:o}", "error", error);
  text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  json_decref (body);
  return text;
}

/* Delay before a retry for refusals whose cause is temporary; 0 for others. */
static int64_t
default_retry_after_ms (enum result result)
{
  switch (result)
    {
    case RESULT_NO_CAPACITY:
    case RESULT_DRAINING:
    case RESULT_RETRY_BUDGET_EMPTY:
    case RESULT_CLAIM_IN_PROGRESS:
    case RESULT_CLAIM_UNAVAILABLE:
    case RESULT_NO_CONFIGURATION:
    case RESULT_NO_MEMORY:
    case RESULT_SHED:
    case RESULT_STARTING:
      return 1000;
    default:
      return 0;
    }
}

void
refusal_send (struct gateway_request *request,
              enum result result,
              enum outcome outcome,
              int64_t retry_after_ms)
{
  struct evhttp_request *http = request->http;
  const struct result_info *info = result_info (result);
  struct evkeyvalq *headers;
  struct evbuffer *body;
  char *text;
  char retry_after_s[32];

  if (http == NULL)
    return;
  if (retry_after_ms == 0)
    retry_after_ms = default_retry_after_ms (result);
  text = refusal_format_json (request, result, outcome, retry_after_ms);
  if (request->reply_started)
    {
      generate_send_error (request, text != NULL ? text : "{}");
      free (text);
      return;
    }
  headers = evhttp_request_get_output_headers (http);
  body = evbuffer_new ();
  evhttp_add_header (headers, "Content-Type", "application/json");
  evhttp_add_header (headers, "X-Request-Id", request->id);
  if (retry_after_ms > 0)
    {
      snprintf (retry_after_s, sizeof retry_after_s, "%" PRId64,
                (retry_after_ms + 999) / 1000);
      evhttp_add_header (headers, "Retry-After", retry_after_s);
    }
  if (result == RESULT_UNAUTHENTICATED)
    evhttp_add_header (headers, "WWW-Authenticate", "Bearer");
  if (request->gateway->phase == GATEWAY_DRAINING)
    evhttp_add_header (headers, "Connection", "close");
  if (body != NULL && text != NULL)
    evbuffer_add (body, text, strlen (text));
  listener_unwatch_caller (request);
  request->http = NULL;
  evhttp_send_reply (http, info->http_status != 0 ? info->http_status : 500,
                     NULL, body);
  if (body != NULL)
    evbuffer_free (body);
  free (text);
}
