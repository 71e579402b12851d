#include "burn-report.h"

#include "jsonutil.h"
#include "prometheus.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

void
burn_report_init (struct burn_report *report)
{
  memset (report, 0, sizeof *report);
}

void
burn_report_finish (struct burn_report *report)
{
  free (report->windows);
  free (report->downtimes);
  burn_report_init (report);
}

static struct burn_window *
find_or_add_window (struct burn_report *report,
                    uint64_t window_s,
                    const char *customer,
                    const char *target)
{
  struct burn_window *window;

  for (size_t i = 0; i < report->window_count; i++)
    {
      window = &report->windows[i];
      if (window->window_s == window_s
          && strcmp (window->customer, customer) == 0
          && strcmp (window->target, target) == 0)
        return window;
    }
  window = reallocarray (report->windows, report->window_count + 1,
                         sizeof *window);
  if (window == NULL)
    return NULL;
  report->windows = window;
  window = &report->windows[report->window_count++];
  memset (window, 0, sizeof *window);
  window->window_s = window_s;
  memcpy (window->customer, customer, strlen (customer) + 1);
  memcpy (window->target, target, strlen (target) + 1);
  return window;
}

enum result
burn_report_add_daemon (struct burn_report *report,
                        const json_t *json,
                        int64_t wall_ms)
{
  const json_t *windows = json_object_get (json, "windows");
  uint64_t started_ms;
  size_t index;
  const json_t *item;

  if (!json_is_array (windows)
      || !json_read_u64 (json, "started_ms", &started_ms))
    return RESULT_INVALID;
  json_array_foreach (windows, index, item)
    {
      char customer[BURN_NAME_SIZE];
      char target[BURN_NAME_SIZE];
      uint64_t window_s;
      uint64_t good;
      uint64_t total;
      struct burn_window *window;

      if (!json_read_u64 (item, "window_s", &window_s)
          || !json_read_string (item, "customer", customer, sizeof customer)
          || !json_read_string (item, "target", target, sizeof target)
          || !json_read_u64 (item, "good", &good)
          || !json_read_u64 (item, "total", &total) || good > total)
        return RESULT_INVALID;
      window = find_or_add_window (report, window_s, customer, target);
      if (window == NULL)
        return RESULT_NO_MEMORY;
      window->good += good;
      window->total += total;
      if (wall_ms - (int64_t)started_ms < (int64_t)window_s * 1000)
        window->partial = true;
    }
  return RESULT_OK;
}

static void
add_downtime (void *context, const char *labels, double value)
{
  struct burn_report *report = context;
  struct burn_downtime *downtime;
  char spec[BURN_NAME_SIZE];

  if (!prometheus_get_label (labels, "spec", spec, sizeof spec))
    return;
  for (size_t i = 0; i < report->downtime_count; i++)
    if (strcmp (report->downtimes[i].spec, spec) == 0)
      {
        report->downtimes[i].downtime_ms += value;
        return;
      }
  downtime = reallocarray (report->downtimes, report->downtime_count + 1,
                           sizeof *downtime);
  if (downtime == NULL)
    return;
  report->downtimes = downtime;
  downtime = &report->downtimes[report->downtime_count++];
  memcpy (downtime->spec, spec, sizeof spec);
  downtime->downtime_ms = value;
}

static void
add_stranded_time (void *context, const char *labels, double value)
{
  struct burn_report *report = context;

  (void)labels;
  report->stranded_ms += value;
}

enum result
burn_report_add_metrics (struct burn_report *report, const char *text)
{
  prometheus_for_each_sample (text, "waxwing_group_downtime_ms_total",
                              add_downtime, report);
  prometheus_for_each_sample (text, "waxwing_stranded_accelerator_ms_total",
                              add_stranded_time, report);
  return RESULT_OK;
}

static int
compare_windows (const void *a, const void *b)
{
  const struct burn_window *first = a;
  const struct burn_window *second = b;
  int order = strcmp (first->customer, second->customer);

  if (order == 0)
    order = strcmp (first->target, second->target);
  if (order == 0)
    order = (first->window_s > second->window_s)
            - (first->window_s < second->window_s);
  return order;
}

/*
 * Returns the error budget of the window's customer and target: the bad
 * requests that the objective permits in their longest window.
 */
static double
compute_allowed_bad (const struct burn_report *report,
                     const struct burn_window *window,
                     double permitted_share)
{
  const struct burn_window *longest = window;

  for (size_t i = 0; i < report->window_count; i++)
    {
      const struct burn_window *other = &report->windows[i];

      if (strcmp (other->customer, window->customer) == 0
          && strcmp (other->target, window->target) == 0
          && other->window_s > longest->window_s)
        longest = other;
    }
  return permitted_share * (double)longest->total;
}

void
burn_report_compute (struct burn_report *report, double objective)
{
  double permitted_share = 1 - objective / 100;

  for (size_t i = 0; i < report->window_count; i++)
    {
      struct burn_window *window = &report->windows[i];
      double bad = (double)(window->total - window->good);
      double allowed_bad
          = compute_allowed_bad (report, window, permitted_share);

      window->burn_rate = 0;
      window->budget_used = 0;
      if (window->total > 0)
        window->burn_rate = bad / (double)window->total / permitted_share;
      if (allowed_bad > 0)
        window->budget_used = bad / allowed_bad;
    }
  if (report->window_count > 0)
    qsort (report->windows, report->window_count, sizeof *report->windows,
           compare_windows);
}

json_t *
burn_report_to_json (const struct burn_report *report, double objective)
{
  json_t *windows = json_array ();
  json_t *downtimes = json_object ();

  for (size_t i = 0; i < report->window_count; i++)
    {
      const struct burn_window *window = &report->windows[i];

      json_array_append_new (
          windows,
          json_pack ("{s:s, s:s, s:I, s:I, s:I, s:f, s:f, s:b}", "customer",
                     window->customer, "target", window->target, "window_s",
                     (json_int_t)window->window_s, "good",
                     (json_int_t)window->good, "total",
                     (json_int_t)window->total, "burn_rate", window->burn_rate,
                     "budget_used", window->budget_used, "partial",
                     (int)window->partial));
    }
  for (size_t i = 0; i < report->downtime_count; i++)
    json_object_set_new (downtimes, report->downtimes[i].spec,
                         json_real (report->downtimes[i].downtime_ms));
  return json_pack ("{s:f, s:o, s:o, s:f}", "objective", objective, "windows",
                    windows, "group_downtime_ms", downtimes,
                    "stranded_accelerator_ms", report->stranded_ms);
}

void
burn_report_format_window (char out[24], uint64_t window_s)
{
  static const struct
  {
    uint64_t seconds;
    const char *unit;
  } units[] = { { 86400, "d" }, { 3600, "h" }, { 60, "min" }, { 1, "s" } };
  size_t i = 0;

  while (i < 3 && (window_s == 0 || window_s % units[i].seconds != 0))
    i++;
  snprintf (out, 24, "%" PRIu64 " %s", window_s / units[i].seconds,
            units[i].unit);
}

/*
 * Writes a name without control characters, quotes and backslashes, which could
 * become gnuplot commands.  Sheets do not accept quotes and backslashes in
 * names anyway.
 */
static void
write_quoted (const char *text, FILE *out)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text >= 0x20 && *text != 0x7f
        && strchr ("\"\\'`", *text) == NULL)
      fputc (*text, out);
}

void
burn_report_write_plot (const struct burn_report *report,
                        double objective,
                        const char *output,
                        FILE *out)
{
  fprintf (out, "set terminal svg size 1000,600 noenhanced\nset output \"");
  write_quoted (output, out);
  fprintf (out,
           "\"\nset title \"Burn rate per window, objective %g%%\"\n"
           "set ylabel \"burn rate (1 = budget used up exactly)\"\n"
           "set style data histograms\nset style fill solid 0.8\n"
           "set boxwidth 0.8\nset xtics rotate by -45\nset yrange [0:*]\n"
           "set key off\nset grid ytics\n$burn << EOD\n",
           objective);
  for (size_t i = 0; i < report->window_count; i++)
    {
      const struct burn_window *window = &report->windows[i];
      char period[24];

      burn_report_format_window (period, window->window_s);
      fputc ('"', out);
      write_quoted (window->customer, out);
      fputc (' ', out);
      write_quoted (window->target, out);
      fprintf (out, ", %s\" %.6f\n", period, window->burn_rate);
    }
  if (report->window_count == 0)
    fprintf (out, "\"no requests\" 0\n");
  fprintf (out, "EOD\nplot $burn using 2:xtic(1), 1 with lines lw 2\n");
}
