#include "burn.h"
#include "entry.h"
#include "sheet-file.h"
#include "table.h"
#include "timeutil.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static bool
write_plot (struct cli *cli, const struct burn *burn)
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
  burn_plot (burn, cli->objective, output, file);
  good = ferror (file) == 0;
  if (fclose (file) != 0)
    good = false;
  if (!good)
    fprintf (stderr, "waxwinglink: %s: %s\n", cli->gnuplot, strerror (errno));
  return good;
}

static void
print_text (struct cli *cli, const struct burn *burn)
{
  struct table table;
  struct table downtimes;
  bool partial = false;

  printf ("Objective: %g%% of requests answered whole before their deadline\n",
          cli->objective);
  table_init (&table,
              "CUSTOMER|TARGET|WINDOW|GOOD|TOTAL|BURN RATE|BUDGET USED");
  table_init (&downtimes, "SPEC|GROUP DOWNTIME S");
  for (size_t i = 0; i < burn->window_count; i++)
    {
      const struct burn_window *window = &burn->windows[i];
      char period[24];

      burn_format_window (period, window->window_s);
      partial = partial || window->partial;
      table_add (&table, "%s", window->customer);
      table_add (&table, "%s", window->target);
      table_add (&table, "%s%s", period, window->partial ? " *" : "");
      table_add (&table, "%" PRIu64, window->good);
      table_add (&table, "%" PRIu64, window->total);
      table_add (&table, "%.2f", window->burn_rate);
      table_add (&table, "%.1f%%", window->budget_used * 100);
    }
  for (size_t i = 0; i < burn->downtime_count; i++)
    {
      table_add (&downtimes, "%s", burn->downtimes[i].spec);
      table_add (&downtimes, "%.1f", burn->downtimes[i].ms / 1000);
    }
  table_print (&table, stdout);
  if (burn->window_count == 0)
    printf ("No requests were counted.\n");
  if (partial)
    printf ("* An entry host has run for less than this window; its earlier"
            " counts are lost.\n");
  printf ("\n");
  table_print (&downtimes, stdout);
  printf ("Stranded accelerators: %.1f accelerator seconds\n",
          burn->stranded_ms / 1000);
  table_finish (&downtimes);
  table_finish (&table);
}

/* Adds the answers of every entry host. */
static enum result
collect (struct cli *cli, struct burn *burn, size_t *missing)
{
  struct http_answer answers[CLI_ENTRY_LIMIT];
  enum result result = RESULT_OK;

  entry_fetch_all (cli, "/burn", answers);
  *missing = entry_print_unreachable (cli, answers);
  for (size_t i = 0; i < cli->entry_count && result == RESULT_OK; i++)
    if (entry_json (&answers[i]) != NULL)
      result = burn_add (burn, entry_json (&answers[i]), time_wall_ms ());
  entry_finish_all (cli, answers);
  if (result != RESULT_OK)
    return result;
  entry_fetch_all (cli, "/metrics", answers);
  for (size_t i = 0; i < cli->entry_count && result == RESULT_OK; i++)
    if (answers[i].result == RESULT_OK && answers[i].status == 200)
      result = burn_add_metrics (burn, answers[i].text);
  entry_finish_all (cli, answers);
  return result;
}

enum cli_exit
cmd_report_burn (struct cli *cli)
{
  struct burn burn;
  size_t missing = 0;
  enum cli_exit status = CLI_GOOD;
  enum result result;

  burn_init (&burn);
  result = collect (cli, &burn, &missing);
  if (result != RESULT_OK)
    {
      cli_print_result (result, "an answer of /burn");
      status = cli_exit_for (result);
      goto finish;
    }
  burn_compute (&burn, cli->objective);
  if (missing < cli->entry_count)
    {
      if (cli->json)
        json_print (burn_to_json (&burn, cli->objective));
      else
        print_text (cli, &burn);
      if (cli->gnuplot[0] != '\0' && !write_plot (cli, &burn))
        status = CLI_REFUSED;
    }
  if (missing > 0)
    status = CLI_UNREACHABLE;

finish:
  burn_finish (&burn);
  return status;
}
