#include "object.h"

#include "http.h"
#include "jsonutil.h"
#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_SIZE 256
#define RETRY_MS 100
#define RETRY_LIMIT_MS 1000

void
object_init (struct object *object)
{
  object->value = NULL;
  object->version = 0;
}

void
object_finish (struct object *object)
{
  json_decref (object->value);
  object_init (object);
}

static enum result
result_of_status (int status)
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
may_pass (enum result result)
{
  return result == RESULT_PLATFORM_OVERLOADED
         || result == RESULT_PLATFORM_OUTAGE
         || result == RESULT_PLATFORM_UNREACHABLE
         || result == RESULT_PLATFORM_LOST_ANSWER;
}

/* Reads are repeated with growing pauses until the timeout. */
static enum result
read_path (struct cli *cli, const char *path, struct http_answer *answer)
{
  const struct http_call call
      = { .to = &cli->platform, .method = EVHTTP_REQ_GET, .path = path };
  int64_t end_ms = time_boot_ms () + cli->timeout_ms;
  int pause_ms = RETRY_MS;
  enum result result;

  for (;;)
    {
      int64_t left_ms = end_ms - time_boot_ms ();

      http_fetch (cli->base, &call, 1, left_ms > 1 ? (int)left_ms : 1, answer);
      result = answer->result;
      if (result == RESULT_OK)
        result = result_of_status (answer->status);
      if (!may_pass (result) || time_boot_ms () + pause_ms >= end_ms)
        return result;
      http_answer_finish (answer);
      http_pause (cli->base, pause_ms);
      if (pause_ms < RETRY_LIMIT_MS)
        pause_ms *= 2;
    }
}

enum result
object_read (struct cli *cli, const char *key, struct object *object)
{
  char path[PATH_SIZE];
  struct http_answer answer;
  enum result result;

  object_finish (object);
  snprintf (path, sizeof path, "/v1/objects/%s", key);
  result = read_path (cli, path, &answer);
  if (result == RESULT_PLATFORM_NOT_FOUND)
    result = RESULT_OK;
  else if (result == RESULT_OK)
    {
      json_t *value = json_object_get (answer.json, "value");

      if (value == NULL
          || !json_read_u64 (answer.json, "version", &object->version))
        {
          object->version = 0;
          result = RESULT_PLATFORM_BAD_ANSWER;
        }
      else
        object->value = json_incref (value);
    }
  http_answer_finish (&answer);
  return result;
}

/* One conditional write.  An unclear answer counts as a lost one. */
static enum result
write_once (struct cli *cli,
            const char *key,
            uint64_t version,
            const char *body,
            uint64_t *new_version)
{
  char path[PATH_SIZE];
  char quoted[32];
  struct http_call call = { .to = &cli->platform,
                            .method = EVHTTP_REQ_PUT,
                            .path = path,
                            .header_name = "If-Match",
                            .header_value = quoted,
                            .body = body };
  struct http_answer answer;
  enum result result;

  snprintf (path, sizeof path, "/v1/objects/%s", key);
  snprintf (quoted, sizeof quoted, "\"%" PRIu64 "\"", version);
  if (version == 0)
    {
      call.header_name = "If-None-Match";
      call.header_value = "*";
    }
  http_fetch (cli->base, &call, 1, cli->timeout_ms, &answer);
  result = answer.result;
  if (result == RESULT_OK)
    {
      result = result_of_status (answer.status);
      if (result == RESULT_OK
          && !json_read_u64 (answer.json, "version", new_version))
        result = RESULT_PLATFORM_LOST_ANSWER;
      /* A server error does not tell whether the write took effect. */
      if (answer.status >= 500)
        result = RESULT_PLATFORM_LOST_ANSWER;
    }
  http_answer_finish (&answer);
  return result;
}

enum result
object_update (struct cli *cli,
               const char *key,
               struct object *object,
               const json_t *value,
               bool (*has_token) (const json_t *value, const char *token),
               const char *token)
{
  /* Leaves time to read back and repeat after the first write timed out. */
  int64_t end_ms = time_boot_ms () + (int64_t)cli->timeout_ms * 3;
  uint64_t version = object->version;
  uint64_t new_version = 0;
  bool unclear = false; /* an earlier write may yet take effect */
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
          object_finish (object);
          object->value = json_deep_copy (value);
          object->version = new_version;
          break;
        }
      if (result == RESULT_PLATFORM_LOST_ANSWER)
        unclear = true;
      if (result != RESULT_PLATFORM_CONFLICT
          && result != RESULT_PLATFORM_LOST_ANSWER
          && result != RESULT_PLATFORM_OVERLOADED
          && result != RESULT_PLATFORM_UNREACHABLE)
        {
          result = unclear ? RESULT_PLATFORM_LOST_ANSWER : result;
          break;
        }
      if (result == RESULT_PLATFORM_CONFLICT || unclear)
        {
          read_result = object_read (cli, key, object);
          if (read_result != RESULT_OK)
            {
              result = unclear ? RESULT_PLATFORM_LOST_ANSWER : result;
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
       * The version is unchanged, so a repeat is safe: of two writes with
       * the same condition only one can take effect.
       */
      if (time_boot_ms () + RETRY_MS >= end_ms)
        {
          result = unclear ? RESULT_PLATFORM_LOST_ANSWER : result;
          break;
        }
      http_pause (cli->base, RETRY_MS);
    }
  free (body);
  return result;
}

enum result
object_hosts (struct cli *cli, json_t **json)
{
  struct http_answer answer;
  enum result result = read_path (cli, "/v1/hosts", &answer);

  *json = NULL;
  if (result == RESULT_OK && answer.json == NULL)
    result = RESULT_PLATFORM_BAD_ANSWER;
  if (result == RESULT_OK)
    *json = json_incref (answer.json);
  http_answer_finish (&answer);
  return result;
}
