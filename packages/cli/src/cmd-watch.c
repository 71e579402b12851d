#include "entry.h"
#include "status-changes.h"
#include "table.h"
#include "timeutil.h"

#include <stdio.h>
#include <string.h>

/*
 * Records the line in round and returns whether it is new there.  Daemons of
 * one data centre report the same changes, which are printed once per round.
 */
static bool
is_first_in_round (json_t *round, const char *line)
{
  if (json_object_get (round, line) != NULL)
    return false;
  json_object_set_new (round, line, json_true ());
  return true;
}

static void
print_line (struct cli *cli, const char *line)
{
  int64_t now_ms = time_wall_ms ();
  char time[TABLE_TIME_SIZE];

  table_format_time (time, now_ms);
  if (cli->json)
    {
      json_t *object = json_pack ("{s:I, s:s}", "time_ms", (json_int_t)now_ms,
                                  "change", line);

      json_dumpf (object, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (object);
    }
  else
    printf ("%s %s\n", time, line);
}

enum cli_exit
cmd_watch (struct cli *cli)
{
  struct http_response responses[CLI_ENTRY_LIMIT];
  json_t *before[CLI_ENTRY_LIMIT] = { NULL };
  size_t unreachable_count = 0;

  for (int round = 0; cli->rounds == 0 || round < cli->rounds; round++)
    {
      json_t *round_lines = json_object ();

      if (round > 0)
        http_wait (cli->base, cli->interval_ms);
      entry_query_all (cli, "/status", responses);
      unreachable_count = 0;
      for (size_t i = 0; i < cli->entry_count; i++)
        {
          const json_t *after = entry_response_json (&responses[i]);
          json_t *lines = status_changes_describe (cli->entries[i].text,
                                                   before[i], after);
          size_t index;
          const json_t *line;

          if (after == NULL)
            unreachable_count++;
          json_array_foreach (lines, index, line)
            if (is_first_in_round (round_lines, json_string_value (line)))
              print_line (cli, json_string_value (line));
          json_decref (lines);
          json_decref (before[i]);
          before[i] = json_deep_copy (after);
        }
      if (round == 0)
        entry_print_unreachable (cli, responses);
      json_decref (round_lines);
      entry_finish_all (cli, responses);
      if (fflush (stdout) != 0)
        break;
    }
  for (size_t i = 0; i < cli->entry_count; i++)
    json_decref (before[i]);
  return unreachable_count > 0 ? CLI_UNREACHABLE : CLI_GOOD;
}
