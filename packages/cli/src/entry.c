#include "entry.h"

#include <stdio.h>
#include <string.h>

void
entry_query_all (struct cli *cli,
                 const char *path,
                 struct http_response responses[CLI_ENTRY_LIMIT])
{
  struct http_request calls[CLI_ENTRY_LIMIT];

  memset (calls, 0, sizeof calls);
  for (size_t i = 0; i < cli->entry_count; i++)
    {
      calls[i].to = &cli->entries[i];
      calls[i].method = "GET";
      calls[i].path = path;
    }
  http_fetch (cli->base, calls, cli->entry_count, cli->timeout_ms, responses);
}

void
entry_finish_all (struct cli *cli,
                  struct http_response responses[CLI_ENTRY_LIMIT])
{
  for (size_t i = 0; i < cli->entry_count; i++)
    http_response_finish (&responses[i]);
}

const json_t *
entry_response_json (const struct http_response *response)
{
  if (response->result != RESULT_OK || response->status != 200
      || !json_is_object (response->json))
    return NULL;
  return response->json;
}

const char *
entry_get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

int64_t
entry_get_number (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

size_t
entry_print_unreachable (struct cli *cli, const struct http_response *responses)
{
  size_t count = 0;

  for (size_t i = 0; i < cli->entry_count; i++)
    {
      const char *reason = "cannot be reached";

      if (entry_response_json (&responses[i]) != NULL)
        continue;
      count++;
      if (responses[i].result == RESULT_PLATFORM_LOST_ANSWER)
        reason = "did not respond in time or closed the connection";
      else if (responses[i].result == RESULT_OK)
        reason = "sent an invalid response";
      fprintf (stderr, "waxwinglink: entry host %s %s\n", cli->entries[i].text,
               reason);
    }
  return count;
}
