#include "burn.h"

#include "jsonutil.h"
#include "prometheus.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

void
burn_init (struct burn *burn)
{
  memset (burn, 0, sizeof *burn);
}

void
burn_finish (struct burn *burn)
{
  free (burn->windows);
  free (burn->downtimes);
  burn_init (burn);
}

static struct burn_window *
find_window (struct burn *burn,
             uint64_t window_s,
             const char *customer,
             const char *target)
{
  struct burn_window *window;

  for (size_t i = 0; i < burn->window_count; i++)
    {
      window = &burn->windows[i];
      if (window->window_s == window_s
          && strcmp (window->customer, customer) == 0
          && strcmp (window->target, target) == 0)
        return window;
    }
  window = reallocarray (burn->windows, burn->window_count + 1, sizeof *window);
  if (window == NULL)
    return NULL;
  burn->windows = window;
  window = &burn->windows[burn->window_count++];
  memset (window, 0, sizeof *window);
  window->window_s = window_s;
  memcpy (window->customer, customer, strlen (customer) + 1);
  memcpy (window->target, target, strlen (target) + 1);
  return window;
}

enum result
burn_add (struct burn *burn, const json_t *json, int64_t wall_ms)
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
      window = find_window (burn, window_s, customer, target);
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
take_downtime (void *context, const char *labels, double value)
{
  struct burn *burn = context;
  struct burn_downtime *downtime;
  char spec[BURN_NAME_SIZE];

  if (!prometheus_label (labels, "spec", spec, sizeof spec))
    return;
  for (size_t i = 0; i < burn->downtime_count; i++)
    if (strcmp (burn->downtimes[i].spec, spec) == 0)
      {
        burn->downtimes[i].ms += value;
        return;
      }
  downtime = reallocarray (burn->downtimes, burn->downtime_count + 1,
                           sizeof *downtime);
  if (downtime == NULL)
    return;
  burn->downtimes = downtime;
  downtime = &burn->downtimes[burn->downtime_count++];
  memcpy (downtime->spec, spec, sizeof spec);
  downtime->ms = value;
}

static void
take_stranded (void *context, const char *labels, double value)
{
  struct burn *burn = context;

  (void)labels;
  burn->stranded_ms += value;
}

enum result
burn_add_metrics (struct burn *burn, const char *text)
{
  prometheus_each (text, "waxwing_group_downtime_ms_total", take_downtime,
                   burn);
  prometheus_each (text, "waxwing_stranded_accelerator_ms_total", take_stranded,
                   burn);
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

/* Bad requests that the objective permits in the longest window. */
static double
allowed_bad (const struct burn *burn,
             const struct burn_window *window,
             double permitted)
{
  const struct burn_window *longest = window;

  for (size_t i = 0; i < burn->window_count; i++)
    {
      const struct burn_window *other = &burn->windows[i];

      if (strcmp (other->customer, window->customer) == 0
          && strcmp (other->target, window->target) == 0
          && other->window_s > longest->window_s)
        longest = other;
    }
  return permitted * (double)longest->total;
}

void
burn_compute (struct burn *burn, double objective)
{
  double permitted = 1 - objective / 100;

  for (size_t i = 0; i < burn->window_count; i++)
    {
      struct burn_window *window = &burn->windows[i];
      double bad = (double)(window->total - window->good);
      double allowed = allowed_bad (burn, window, permitted);

      window->burn_rate = 0;
      window->budget_used = 0;
      if (window->total > 0)
        window->burn_rate = bad / (double)window->total / permitted;
      if (allowed > 0)
        window->budget_used = bad / allowed;
    }
  if (burn->window_count > 0)
    qsort (burn->windows, burn->window_count, sizeof *burn->windows,
           compare_windows);
}

json_t *
burn_to_json (const struct burn *burn, double objective)
{
  json_t *windows = json_array ();
  json_t *downtimes = json_object ();

  for (size_t i = 0; i < burn->window_count; i++)
    {
      const struct burn_window *window = &burn->windows[i];

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
  for (size_t i = 0; i < burn->downtime_count; i++)
    json_object_set_new (downtimes, burn->downtimes[i].spec,
                         json_real (burn->downtimes[i].ms));
  return json_pack ("{s:f, s:o, s:o, s:f}", "objective", objective, "windows",
                    windows, "group_downtime_ms", downtimes,
                    "stranded_accelerator_ms", burn->stranded_ms);
}

void
burn_format_window (char out[24], uint64_t window_s)
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

/* Names may hold any UTF-8; quotes and backslashes are kept out of sheets. */
static void
write_quoted (const char *text, FILE *out)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text >= 0x20 && *text != 0x7f
        && strchr ("\"\\'`", *text) == NULL)
      fputc (*text, out);
}

void
burn_plot (const struct burn *burn,
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
  for (size_t i = 0; i < burn->window_count; i++)
    {
      const struct burn_window *window = &burn->windows[i];
      char period[24];

      burn_format_window (period, window->window_s);
      fputc ('"', out);
      write_quoted (window->customer, out);
      fputc (' ', out);
      write_quoted (window->target, out);
      fprintf (out, ", %s\" %.6f\n", period, window->burn_rate);
    }
  if (burn->window_count == 0)
    fprintf (out, "\"no requests\" 0\n");
  fprintf (out, "EOD\nplot $burn using 2:xtic(1), 1 with lines lw 2\n");
}
