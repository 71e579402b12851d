#include "platform-object.h"

#include "http.h"
#include "jsonutil.h"
#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 256 /* bytes, with the NUL */
#define RETRY_WAIT_MS 100
#define RETRY_WAIT_LIMIT_MS 1000

void
platform_object_init (struct platform_object *object)
{
  object->value = NULL;
  object->version = 0;
}

void
platform_object_finish (struct platform_object *object)
{
  json_decref (object->value);
  platform_object_init (object);
}

static enum result
get_status_result (int status)
{
  switch (status)
    {
    case 200:
      return RESULT_OK;
    case 404:
      return RESULT_PLATFORM_NOT_FOUND;
    case 412:
      return RESULT_PLATFORM_CONFLICT;
    case 429:
      return RESULT_PLATFORM_OVERLOADED;
    case 503:
      return RESULT_PLATFORM_OUTAGE;
    default:
      return RESULT_PLATFORM_BAD_ANSWER;
    }
}

static bool
is_transient (enum result result)
{
  return result == RESULT_PLATFORM_OVERLOADED
         || result == RESULT_PLATFORM_OUTAGE
         || result == RESULT_PLATFORM_UNREACHABLE
         || result == RESULT_PLATFORM_LOST_ANSWER;
}

/* Reads path; after transient errors repeats with growing waits. */
static enum result
read_path (struct cli *cli, const char *path, struct http_response *response)
{
  const struct http_request call
      = { .to = &cli->platform, .method = "GET", .path = path };
  int64_t end_ms = time_boot_ms () + cli->timeout_ms;
  int wait_ms = RETRY_WAIT_MS;
  enum result result;

  for (;;)
    {
      int64_t remaining_ms = end_ms - time_boot_ms ();

      http_fetch (cli->base, &call, 1, remaining_ms > 1 ? (int)remaining_ms : 1,
                  response);
      result = response->result;
      if (result == RESULT_OK)
        result = get_status_result (response->status);
      if (!is_transient (result) || time_boot_ms () + wait_ms >= end_ms)
        return result;
      http_response_finish (response);
      http_wait (cli->base, wait_ms);
      if (wait_ms < RETRY_WAIT_LIMIT_MS)
        wait_ms *= 2;
    }
}

enum result
platform_object_read (struct cli *cli,
                      const char *key,
                      struct platform_object *object)
{
  char path[PATH_SIZE];
  struct http_response response;
  enum result result;

  platform_object_finish (object);
  snprintf (path, sizeof path, "/v1/objects/%s", key);
  result = read_path (cli, path, &response);
  if (result == RESULT_PLATFORM_NOT_FOUND)
    result = RESULT_OK;
  else if (result == RESULT_OK)
    {
      json_t *value = json_object_get (response.json, "value");

      if (value == NULL
          || !json_read_u64 (response.json, "version", &object->version))
        {
          object->version = 0;
          result = RESULT_PLATFORM_BAD_ANSWER;
        }
      else
        object->value = json_incref (value);
    }
  http_response_finish (&response);
  return result;
}

/*
 * Makes one conditional write.  Returns RESULT_PLATFORM_LOST_ANSWER also if the
 * response leaves the outcome unknown.
 */
static enum result
write_once (struct cli *cli,
            const char *key,
            uint64_t version,
            const char *body,
            uint64_t *new_version)
{
  char path[PATH_SIZE];
  char quoted_version[32];
  struct http_request call = { .to = &cli->platform,
                               .method = "PUT",
                               .path = path,
                               .header_name = "If-Match",
                               .header_value = quoted_version,
                               .body = body };
  struct http_response response;
  enum result result;

  snprintf (path, sizeof path, "/v1/objects/%s", key);
  snprintf (quoted_version, sizeof quoted_version, "\"%" PRIu64 "\"", version);
  if (version == 0)
    {
      call.header_name = "If-None-Match";
      call.header_value = "*";
    }
  http_fetch (cli->base, &call, 1, cli->timeout_ms, &response);
  result = response.result;
  if (result == RESULT_OK)
    {
      result = get_status_result (response.status);
      if (result == RESULT_OK
          && !json_read_u64 (response.json, "version", new_version))
        result = RESULT_PLATFORM_LOST_ANSWER;
      /* After a server error it is unknown whether the write took effect. */
      if (response.status >= 500)
        result = RESULT_PLATFORM_LOST_ANSWER;
    }
  http_response_finish (&response);
  return result;
}

enum result
platform_object_update (struct cli *cli,
                        const char *key,
                        struct platform_object *object,
                        const json_t *value,
                        bool (*has_token) (const json_t *value,
                                           const char *token),
                        const char *token)
{
  /* Three timeouts: time to read back and repeat a write that timed out. */
  int64_t end_ms = time_boot_ms () + (int64_t)cli->timeout_ms * 3;
  uint64_t version = object->version;
  uint64_t new_version = 0;
  bool outcome_unknown = false; /* an earlier write may still take effect */
  char *body = json_dumps (value, JSON_COMPACT);
  enum result result;

  if (body == NULL)
    return RESULT_NO_MEMORY;
  for (;;)
    {
      enum result read_result;

      result = write_once (cli, key, version, body, &new_version);
      if (result == RESULT_OK)
        {
          platform_object_finish (object);
          object->value = json_deep_copy (value);
          object->version = new_version;
          break;
        }
      if (result == RESULT_PLATFORM_LOST_ANSWER)
        outcome_unknown = true;
      if (result != RESULT_PLATFORM_CONFLICT
          && result != RESULT_PLATFORM_LOST_ANSWER
          && result != RESULT_PLATFORM_OVERLOADED
          && result != RESULT_PLATFORM_UNREACHABLE)
        {
          result = outcome_unknown ? RESULT_PLATFORM_LOST_ANSWER : result;
          break;
        }
      if (result == RESULT_PLATFORM_CONFLICT || outcome_unknown)
        {
          read_result = platform_object_read (cli, key, object);
          if (read_result != RESULT_OK)
            {
              result = outcome_unknown ? RESULT_PLATFORM_LOST_ANSWER : result;
              break;
            }
          if (has_token (object->value, token))
            {
              result = RESULT_OK;
              break;
            }
          if (object->version != version)
            {
              result = RESULT_PLATFORM_CONFLICT;
              break;
            }
        }
      /*
       * The version is unchanged, so repeating the write is safe: of two writes
       * with the same condition only one can take effect.
       */
      if (time_boot_ms () + RETRY_WAIT_MS >= end_ms)
        {
          result = outcome_unknown ? RESULT_PLATFORM_LOST_ANSWER : result;
          break;
        }
      http_wait (cli->base, RETRY_WAIT_MS);
    }
  free (body);
  return result;
}

enum result
platform_read_hosts (struct cli *cli, json_t **json)
{
  struct http_response response;
  enum result result = read_path (cli, "/v1/hosts", &response);

  *json = NULL;
  if (result == RESULT_OK && response.json == NULL)
    result = RESULT_PLATFORM_BAD_ANSWER;
  if (result == RESULT_OK)
    *json = json_incref (response.json);
  http_response_finish (&response);
  return result;
}
