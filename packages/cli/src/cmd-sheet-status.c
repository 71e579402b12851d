#include "in-force-wait.h"
#include "sheet-file.h"
#include "table.h"

#include <inttypes.h>
#include <stdio.h>

enum cli_exit
cmd_sheet_status (struct cli *cli)
{
  struct platform_object object;
  struct sheet sheet;
  struct in_force in_force;
  enum cli_exit status;
  enum result result;
  char time[TABLE_TIME_SIZE] = "-";
  const char *who = "-";
  const char *hash = "-";

  platform_object_init (&object);
  sheet_init (&sheet);
  in_force_init (&in_force);
  result = sheet_accepted_read (cli, &object, &sheet);
  if (result == RESULT_OK && cli->entry_count > 0)
    result = in_force_query (cli, IN_FORCE_SHEET, sheet.number, &in_force);
  if (result != RESULT_OK)
    {
      cli_print_result (result, "the accepted sheet is not known");
      status = cli_exit_for (result);
      goto finish;
    }
  if (sheet.history_count > 0)
    {
      table_format_time (time, sheet.history[0].applied_wall_ms);
      who = sheet.history[0].operator_name;
      hash = sheet.history[0].hash;
    }
  status = in_force_exit_status (&in_force);
  if (cli->json)
    json_print (json_pack (
        "{s:I, s:s, s:s, s:s, s:i, s:o}", "number", (json_int_t)sheet.number,
        "operator", who, "applied", time, "hash", hash, "rows",
        (int)sheet_row_count (&sheet), "in_force",
        cli->entry_count > 0 ? in_force_to_json (&in_force) : json_null ()));
  else if (sheet.number == 0)
    printf ("No sheet is accepted yet.\n");
  else
    {
      printf ("Sheet %" PRIu64 ", %zu rows, accepted at %s from %s (hash"
              " %s).\n",
              sheet.number, sheet_row_count (&sheet), time, who, hash);
      if (cli->entry_count == 0)
        printf (
            "Whether it is in force was not checked: no --entry is given.\n");
      in_force_print (&in_force, IN_FORCE_SHEET, sheet.number);
    }

finish:
  in_force_finish (&in_force);
  sheet_finish (&sheet);
  platform_object_finish (&object);
  return status;
}
