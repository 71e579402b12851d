#include "sheet-file.h"

#include <stdio.h>

enum cli_exit
cmd_sheet_check (struct cli *cli)
{
  struct sheet_read_options options = { .force = cli->force };
  struct sheet_inventory inventory;
  struct sheet_report report;
  struct object object;
  struct sheet accepted;
  struct sheet sheet;
  enum result platform = RESULT_OK;
  enum result result;
  enum cli_exit status;

  object_init (&object);
  sheet_init (&accepted);
  sheet_init (&sheet);
  sheet_inventory_init (&inventory);
  sheet_report_init (&report);
  if (cli->has_platform)
    {
      platform = sheet_accepted_read (cli, &object, &accepted);
      if (platform == RESULT_OK)
        platform = sheet_inventory_read (cli, &inventory);
      if (platform == RESULT_OK)
        {
          options.previous = &accepted;
          options.inventory = &inventory;
        }
      else
        cli_print_result (platform, cli->platform.text);
    }
  result = sheet_file_read (cli->arguments[0], &options, &sheet, &report);
  if (result == RESULT_NOT_FOUND)
    {
      status = CLI_USAGE;
      goto finish;
    }
  if (cli->json)
    json_print (sheet_report_to_json (&report));
  else
    sheet_report_print (cli->arguments[0], &report);
  status = result != RESULT_OK ? CLI_REFUSED : cli_exit_for (platform);

finish:
  sheet_report_finish (&report);
  sheet_inventory_finish (&inventory);
  sheet_finish (&sheet);
  sheet_finish (&accepted);
  object_finish (&object);
  return status;
}
