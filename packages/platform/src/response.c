#include "platform-internal.h"

#include "json-parts.h"
#include "jsonutil.h"
#include "timeutil.h"

#include <string.h>
#include <time.h>

/* Local wall clock minus the Date header; false without a valid header. */
static bool
read_clock_skew (const struct http_head *head, int64_t *skew_ms)
{
  const char *date = http_head_get (head, "Date");
  struct tm tm = { 0 };
  const char *end;

  *skew_ms = 0;
  if (date == NULL)
    return false;
  end = strptime (date, "%a, %d %b %Y %H:%M:%S GMT", &tm);
  if (end == NULL || *end != '\0')
    return false;
  /* Date has whole seconds; the middle of the second halves the error. */
  *skew_ms = time_wall_ms () - ((int64_t)timegm (&tm) * 1000 + 500);
  return true;
}

/*
 * In the host list an entry that cannot be read is null, and the others hold;
 * what is split is the response and its list.
 */
#define HOSTS_SPLIT_DEPTH 2

static json_t *
read_body (const struct http_text *body, enum platform_call_kind kind)
{
  if (body->size == 0)
    return NULL;
  return json_load_parts (body->data, body->size, "",
                          kind == PLATFORM_CALL_HOSTS ? HOSTS_SPLIT_DEPTH : 0);
}

/* Name of the member that a successful response to a read call must have. */
static const char *
get_response_member (enum platform_call_kind kind)
{
  return kind == PLATFORM_CALL_READ    ? "value"
         : kind == PLATFORM_CALL_WATCH ? "objects"
         : kind == PLATFORM_CALL_LIST  ? "keys"
                                       : "hosts";
}

static enum result
read_success_body (struct platform_call *call, json_t *body)
{
  const char *member = get_response_member (call->kind);

  if (call->is_write)
    /* Without a version: the write took effect, but its version is unknown. */
    return json_read_u64 (body, "version", &call->response.version)
               ? RESULT_OK
               : RESULT_PLATFORM_LOST_ANSWER;
  if (json_object_get (body, member) == NULL)
    return RESULT_PLATFORM_BAD_ANSWER;
  if (call->kind != PLATFORM_CALL_READ)
    {
      if (!json_is_array (json_object_get (body, member)))
        return RESULT_PLATFORM_BAD_ANSWER;
      if (call->kind == PLATFORM_CALL_WATCH
          && !json_read_u64 (body, "revision", &call->response.version))
        return RESULT_PLATFORM_BAD_ANSWER;
      call->value = json_incref (body);
      return RESULT_OK;
    }
  if (!json_read_u64 (body, "version", &call->response.version))
    return RESULT_PLATFORM_BAD_ANSWER;
  call->value = json_incref (json_object_get (body, member));
  return RESULT_OK;
}

static enum result
decode_status (struct platform_call *call, int status, json_t *body)
{
  switch (status)
    {
    case 200:
      return read_success_body (call, body);
    case 204:
      return call->kind == PLATFORM_CALL_WATCH ? RESULT_PLATFORM_UNCHANGED
             : call->is_write                  ? RESULT_PLATFORM_LOST_ANSWER
                                               : RESULT_PLATFORM_BAD_ANSWER;
    case 404:
      return RESULT_PLATFORM_NOT_FOUND;
    case 412:
      json_read_u64 (body, "version", &call->response.version);
      return RESULT_PLATFORM_CONFLICT;
    case 413:
      return RESULT_TOO_LARGE;
    case 429:
      return RESULT_PLATFORM_OVERLOADED;
    case 503:
      return RESULT_PLATFORM_OUTAGE;
    default:
      /* With any other 4xx the platform rejected the call. */
      return call->is_write && (status < 400 || status >= 500)
                 ? RESULT_PLATFORM_LOST_ANSWER
                 : RESULT_PLATFORM_BAD_ANSWER;
    }
}

void
platform_response_read (struct platform_call *call,
                        const struct http_head *head,
                        const struct http_text *body)
{
  struct platform *platform = call->platform;
  int64_t skew_ms;
  json_t *json = read_body (body, call->kind);

  if (read_clock_skew (head, &skew_ms))
    platform->clock_skew_ms = skew_ms;
  call->response.clock_skew_ms = skew_ms;
  call->response.result = decode_status (call, (int)head->status, json);
  json_decref (json);
}
