#include "sheet-file.h"
#include "table.h"

#include <inttypes.h>
#include <stdio.h>

enum cli_exit
cmd_sheet_history (struct cli *cli)
{
  struct platform_object object;
  struct sheet sheet;
  struct table table;
  enum result result;

  platform_object_init (&object);
  sheet_init (&sheet);
  table_init (&table, "NUMBER|ACCEPTED|OPERATOR|HASH|TOKEN");
  result = sheet_accepted_read (cli, &object, &sheet);
  if (result != RESULT_OK)
    {
      cli_print_result (result, cli->platform.text);
      goto finish;
    }
  if (cli->json)
    {
      json_t *history = json_object_get (object.value, "history");

      json_print (history != NULL ? json_incref (history) : json_array ());
      goto finish;
    }
  if (sheet.history_count == 0)
    printf ("No sheet is accepted yet.\n");
  for (size_t i = 0; i < sheet.history_count; i++)
    {
      char time[TABLE_TIME_SIZE];

      table_format_time (time, sheet.history[i].applied_wall_ms);
      table_add (&table, "%" PRIu64, sheet.history[i].number);
      table_add (&table, "%s", time);
      table_add (&table, "%s", sheet.history[i].operator_name);
      table_add (&table, "%s", sheet.history[i].hash);
      table_add (&table, "%s", sheet.history[i].token);
    }
  table_print (&table, stdout);

finish:
  table_finish (&table);
  sheet_finish (&sheet);
  platform_object_finish (&object);
  return cli_exit_for (result);
}
