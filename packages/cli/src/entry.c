#include "entry.h"

#include <stdio.h>
#include <string.h>

void
entry_fetch_all (struct cli *cli,
                 const char *path,
                 struct http_answer answers[CLI_ENTRY_LIMIT])
{
  struct http_call calls[CLI_ENTRY_LIMIT];

  memset (calls, 0, sizeof calls);
  for (size_t i = 0; i < cli->entry_count; i++)
    {
      calls[i].to = &cli->entries[i];
      calls[i].method = EVHTTP_REQ_GET;
      calls[i].path = path;
    }
  http_fetch (cli->base, calls, cli->entry_count, cli->timeout_ms, answers);
}

void
entry_finish_all (struct cli *cli, struct http_answer answers[CLI_ENTRY_LIMIT])
{
  for (size_t i = 0; i < cli->entry_count; i++)
    http_answer_finish (&answers[i]);
}

const json_t *
entry_json (const struct http_answer *answer)
{
  if (answer->result != RESULT_OK || answer->status != 200
      || !json_is_object (answer->json))
    return NULL;
  return answer->json;
}

const char *
entry_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

int64_t
entry_number (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

size_t
entry_print_unreachable (struct cli *cli, const struct http_answer *answers)
{
  size_t count = 0;

  for (size_t i = 0; i < cli->entry_count; i++)
    {
      const char *reason = "cannot be reached";

      if (entry_json (&answers[i]) != NULL)
        continue;
      count++;
      if (answers[i].result == RESULT_PLATFORM_LOST_ANSWER)
        reason = "did not answer in time or broke off";
      else if (answers[i].result == RESULT_OK)
        reason = "gave an answer that cannot be understood";
      fprintf (stderr, "waxwinglink: entry host %s %s\n", cli->entries[i].text,
               reason);
    }
  return count;
}
