#include "changes.h"
#include "entry.h"
#include "table.h"
#include "timeutil.h"

#include <stdio.h>
#include <string.h>

/*
 * Daemons of one data centre see the same change, so a line that another
 * entry host just gave is left out.
 */
static bool
is_new (json_t *round, const char *line)
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
  struct http_answer answers[CLI_ENTRY_LIMIT];
  json_t *before[CLI_ENTRY_LIMIT] = { NULL };
  size_t missing = 0;

  for (int round = 0; cli->rounds == 0 || round < cli->rounds; round++)
    {
      json_t *lines_of_round = json_object ();

      if (round > 0)
        http_pause (cli->base, cli->interval_ms);
      entry_fetch_all (cli, "/status", answers);
      missing = 0;
      for (size_t i = 0; i < cli->entry_count; i++)
        {
          const json_t *after = entry_json (&answers[i]);
          json_t *lines = changes_make (cli->entries[i].text, before[i], after);
          size_t index;
          const json_t *line;

          if (after == NULL)
            missing++;
          json_array_foreach (lines, index, line)
            if (is_new (lines_of_round, json_string_value (line)))
              print_line (cli, json_string_value (line));
          json_decref (lines);
          json_decref (before[i]);
          before[i] = json_deep_copy (after);
        }
      if (round == 0)
        entry_print_unreachable (cli, answers);
      json_decref (lines_of_round);
      entry_finish_all (cli, answers);
      if (fflush (stdout) != 0)
        break;
    }
  for (size_t i = 0; i < cli->entry_count; i++)
    json_decref (before[i]);
  return missing > 0 ? CLI_UNREACHABLE : CLI_GOOD;
}
