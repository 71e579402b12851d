#include "config-check.h"
#include "sheet-file.h"
#include "table.h"

#include <stdio.h>

static void
print_report (const char *path, const struct config_report *report)
{
  struct table table;

  table_init (&table, "LINE|FINDING|FIELD|FOUND|ALLOWED|HOSTS USE");
  for (size_t i = 0; i < report->count; i++)
    {
      const struct config_finding *finding = &report->findings[i];

      table_add (&table, "%u", finding->line);
      table_add (&table, "%s", finding->kind);
      table_add (&table, "%s", *finding->field != '\0' ? finding->field : "-");
      table_add (&table, "%s", finding->found);
      table_add (&table, "%s", finding->allowed);
      table_add (&table, "%s", finding->used);
    }
  table_print (&table, stdout);
  table_finish (&table);
  if (report->total > report->count)
    printf ("... and %zu more findings\n", report->total - report->count);
  printf ("%s: %zu findings\n", path, report->total);
}

static json_t *
encode_report (const struct config_report *report)
{
  json_t *findings = json_array ();

  for (size_t i = 0; i < report->count; i++)
    {
      const struct config_finding *finding = &report->findings[i];

      json_array_append_new (
          findings,
          json_pack ("{s:s, s:i, s:s, s:s, s:s, s:s}", "finding", finding->kind,
                     "line", (int)finding->line, "field", finding->field,
                     "found", finding->found, "allowed", finding->allowed,
                     "hosts_use", finding->used));
    }
  return json_pack ("{s:b, s:I, s:o}", "clean", (int)(report->total == 0),
                    "finding_total", (json_int_t)report->total, "findings",
                    findings);
}

enum cli_exit
cmd_config_check (struct cli *cli)
{
  const char *path = cli->arguments[0];
  struct config_report report;
  enum cli_exit status;

  config_report_init (&report);
  if (config_check_file (path, &report) != RESULT_OK)
    {
      fprintf (stderr, "waxwinglink: %s: %s\n", path, report.problem);
      status = CLI_USAGE;
      goto finish;
    }
  if (cli->json)
    json_print (encode_report (&report));
  else
    print_report (path, &report);
  status = report.total > 0 ? CLI_REFUSED : CLI_GOOD;

finish:
  config_report_finish (&report);
  return status;
}
