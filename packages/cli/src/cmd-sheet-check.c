#include "sheet-file.h"

#include <stdio.h>

enum cli_exit
cmd_sheet_check (struct cli *cli)
{
  struct sheet_read_options options = { .force = cli->force };
  struct sheet_inventory inventory;
  struct sheet_report report;
  struct platform_object object;
  struct sheet accepted;
  struct sheet sheet;
  enum result platform_result = RESULT_OK;
  enum result result;
  enum cli_exit status;

  platform_object_init (&object);
  sheet_init (&accepted);
  sheet_init (&sheet);
  sheet_inventory_init (&inventory);
  sheet_report_init (&report);
  if (cli->has_platform)
    {
      platform_result = sheet_accepted_read (cli, &object, &accepted);
      if (platform_result == RESULT_OK)
        platform_result = sheet_inventory_read (cli, &inventory);
      if (platform_result == RESULT_OK)
        {
          options.previous = &accepted;
          options.inventory = &inventory;
        }
      else
        cli_print_result (platform_result, cli->platform.text);
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
  status = result != RESULT_OK ? CLI_REFUSED : cli_exit_for (platform_result);

finish:
  sheet_report_finish (&report);
  sheet_inventory_finish (&inventory);
  sheet_finish (&sheet);
  sheet_finish (&accepted);
  platform_object_finish (&object);
  return status;
}
