#include "sheet-file.h"

#include <stdio.h>

/* Reads a sheet from a file and prints its errors if it is not valid. */
static enum cli_exit
read_valid_sheet (const char *path, struct sheet *sheet)
{
  const struct sheet_read_options options = { .force = true };
  struct sheet_report report;
  enum result result;

  sheet_report_init (&report);
  result = sheet_file_read (path, &options, sheet, &report);
  if (result != RESULT_OK && result != RESULT_NOT_FOUND)
    sheet_report_print (path, &report);
  sheet_report_finish (&report);
  if (result == RESULT_NOT_FOUND)
    return CLI_USAGE;
  return result == RESULT_OK ? CLI_GOOD : CLI_REFUSED;
}

enum cli_exit
cmd_sheet_diff (struct cli *cli)
{
  const char *after_path = cli->arguments[0];
  struct platform_object object;
  struct sheet before;
  struct sheet after;
  struct sheet_diff diff;
  enum cli_exit status = CLI_GOOD;
  enum result result = RESULT_OK;

  platform_object_init (&object);
  sheet_init (&before);
  sheet_init (&after);
  sheet_diff_init (&diff);
  if (cli->arguments[1] != NULL)
    {
      after_path = cli->arguments[1];
      status = read_valid_sheet (cli->arguments[0], &before);
    }
  else if (!cli->has_platform)
    {
      fprintf (stderr,
               "waxwinglink: sheet diff needs --platform or two files\n");
      status = CLI_USAGE;
    }
  else
    result = sheet_accepted_read (cli, &object, &before);
  if (status == CLI_GOOD && result == RESULT_OK)
    status = read_valid_sheet (after_path, &after);
  if (status == CLI_GOOD && result == RESULT_OK)
    result = sheet_diff_make (&diff, &before, &after);
  if (status == CLI_GOOD && result == RESULT_OK)
    {
      if (cli->json)
        json_print (sheet_diff_to_json (&diff));
      else
        sheet_diff_print (&diff);
    }
  if (result != RESULT_OK)
    {
      cli_print_result (result, NULL);
      status = cli_exit_for (result);
    }
  sheet_diff_finish (&diff);
  sheet_finish (&before);
  sheet_finish (&after);
  platform_object_finish (&object);
  return status;
}
