#include "burn-report.h"
#include "entry.h"
#include "sheet-file.h"
#include "table.h"
#include "timeutil.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static bool
write_plot (struct cli *cli, const struct burn_report *report)
{
  char output[sizeof cli->gnuplot + 8];
  FILE *file = fopen (cli->gnuplot, "w");
  bool good;

  if (file == NULL)
    {
      fprintf (stderr, "waxwinglink: %s: %s\n", cli->gnuplot, strerror (errno));
      return false;
    }
  snprintf (output, sizeof output, "%s.svg", cli->gnuplot);
  burn_report_write_plot (report, cli->objective, output, file);
  good = ferror (file) == 0;
  if (fclose (file) != 0)
    good = false;
  if (!good)
    fprintf (stderr, "waxwinglink: %s: %s\n", cli->gnuplot, strerror (errno));
  return good;
}

static void
print_report (struct cli *cli, const struct burn_report *report)
{
  struct table table;
  struct table downtimes;
  bool partial = false;

  printf ("Objective: %g%% of requests answered whole before their deadline\n",
          cli->objective);
  table_init (&table,
              "CUSTOMER|TARGET|WINDOW|GOOD|TOTAL|BURN RATE|BUDGET USED");
  table_init (&downtimes, "SPEC|GROUP DOWNTIME S");
  for (size_t i = 0; i < report->window_count; i++)
    {
      const struct burn_window *window = &report->windows[i];
      char period[24];

      burn_report_format_window (period, window->window_s);
      partial = partial || window->partial;
      table_add (&table, "%s", window->customer);
      table_add (&table, "%s", window->target);
      table_add (&table, "%s%s", period, window->partial ? " *" : "");
      table_add (&table, "%" PRIu64, window->good);
      table_add (&table, "%" PRIu64, window->total);
      table_add (&table, "%.2f", window->burn_rate);
      table_add (&table, "%.1f%%", window->budget_used * 100);
    }
  for (size_t i = 0; i < report->downtime_count; i++)
    {
      table_add (&downtimes, "%s", report->downtimes[i].spec);
      table_add (&downtimes, "%.1f", report->downtimes[i].downtime_ms / 1000);
    }
  table_print (&table, stdout);
  if (report->window_count == 0)
    printf ("No requests were counted.\n");
  if (partial)
    printf ("* An entry host has run for less than this window; its earlier"
            " counts are lost.\n");
  printf ("\n");
  table_print (&downtimes, stdout);
  printf ("Stranded accelerators: %.1f accelerator seconds\n",
          report->stranded_ms / 1000);
  table_finish (&downtimes);
  table_finish (&table);
}

/* Queries all entry hosts and adds their responses to the report. */
static enum result
collect_report (struct cli *cli,
                struct burn_report *report,
                size_t *unreachable_count)
{
  struct http_response responses[CLI_ENTRY_LIMIT];
  enum result result = RESULT_OK;

  entry_query_all (cli, "/burn", responses);
  *unreachable_count = entry_print_unreachable (cli, responses);
  for (size_t i = 0; i < cli->entry_count && result == RESULT_OK; i++)
    if (entry_response_json (&responses[i]) != NULL)
      result = burn_report_add_daemon (
          report, entry_response_json (&responses[i]), time_wall_ms ());
  entry_finish_all (cli, responses);
  if (result != RESULT_OK)
    return result;
  entry_query_all (cli, "/metrics", responses);
  for (size_t i = 0; i < cli->entry_count && result == RESULT_OK; i++)
    if (responses[i].result == RESULT_OK && responses[i].status == 200)
      result = burn_report_add_metrics (report, responses[i].body);
  entry_finish_all (cli, responses);
  return result;
}

enum cli_exit
cmd_report_burn (struct cli *cli)
{
  struct burn_report report;
  size_t unreachable_count = 0;
  enum cli_exit status = CLI_GOOD;
  enum result result;

  burn_report_init (&report);
  result = collect_report (cli, &report, &unreachable_count);
  if (result != RESULT_OK)
    {
      cli_print_result (result, "a response of /burn");
      status = cli_exit_for (result);
      goto finish;
    }
  burn_report_compute (&report, cli->objective);
  if (unreachable_count < cli->entry_count)
    {
      if (cli->json)
        json_print (burn_report_to_json (&report, cli->objective));
      else
        print_report (cli, &report);
      if (cli->gnuplot[0] != '\0' && !write_plot (cli, &report))
        status = CLI_REFUSED;
    }
  if (unreachable_count > 0)
    status = CLI_UNREACHABLE;

finish:
  burn_report_finish (&report);
  return status;
}
