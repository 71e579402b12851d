#include "error-budget-counts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define TOTAL_PREFIX "waxwing_slo_total{"
#define GOOD_NAME "waxwing_slo_good_total"
#define LABELS_SIZE 256
#define SERIES_LIMIT 512 /* about 18 MB with three days of buckets */

static const unsigned windows_s[] = { 300, 3600, 6 * 3600, 3 * 24 * 3600 };

struct error_budget_series
{
  char labels[LABELS_SIZE];
  double last_good;  /* value of the counter at the last update */
  double last_total; /* value of the counter at the last update */
  uint32_t good[ERROR_BUDGET_BUCKETS];  /* requests per bucket */
  uint32_t total[ERROR_BUDGET_BUCKETS]; /* requests per bucket */
  UT_hash_handle hh;
};

void
error_budget_counts_init (struct error_budget_counts *counts,
                          int64_t now_ms,
                          int64_t wall_ms)
{
  memset (counts, 0, sizeof *counts);
  counts->started_ms = now_ms;
  counts->started_wall_ms = wall_ms;
}

void
error_budget_counts_finish (struct error_budget_counts *counts)
{
  struct error_budget_series *series = counts->series;

  HASH_CLEAR (hh, counts->series);
  while (series != NULL)
    {
      struct error_budget_series *next = series->hh.next;

      free (series);
      series = next;
    }
}

static struct error_budget_series *
find_or_add_series (struct error_budget_counts *counts, const char *labels)
{
  struct error_budget_series *series;

  HASH_FIND_STR (counts->series, labels, series);
  if (series != NULL || HASH_COUNT (counts->series) >= SERIES_LIMIT
      || strlen (labels) >= LABELS_SIZE)
    return series;
  series = calloc (1, sizeof *series);
  if (series == NULL)
    return NULL;
  memcpy (series->labels, labels, strlen (labels) + 1);
  HASH_ADD_STR (counts->series, labels, series);
  return series;
}

/* Clears the buckets after the last one used, up to the current one. */
static void
advance_buckets (struct error_budget_counts *counts, uint64_t bucket)
{
  uint64_t steps = bucket - counts->bucket;

  if (steps > ERROR_BUDGET_BUCKETS)
    steps = ERROR_BUDGET_BUCKETS;
  for (struct error_budget_series *series = counts->series; series != NULL;
       series = series->hh.next)
    for (uint64_t i = 0; i < steps; i++)
      {
        series->good[(bucket - i) % ERROR_BUDGET_BUCKETS] = 0;
        series->total[(bucket - i) % ERROR_BUDGET_BUCKETS] = 0;
      }
  counts->bucket = bucket;
}

static void
update_series (struct error_budget_counts *counts,
               const struct counter_set *counters,
               const struct counter *counter)
{
  const char *start = counter->key + strlen (TOTAL_PREFIX);
  size_t size = strlen (start);
  char labels[LABELS_SIZE];
  struct error_budget_series *series;
  double good;

  if (size == 0 || size > sizeof labels)
    return;
  memcpy (labels, start, size - 1);
  labels[size - 1] = '\0';
  series = find_or_add_series (counts, labels);
  if (series == NULL)
    return;
  good = counter_read (counters, GOOD_NAME, labels);
  series->total[counts->bucket % ERROR_BUDGET_BUCKETS]
      += (uint32_t)(counter->value - series->last_total);
  series->good[counts->bucket % ERROR_BUDGET_BUCKETS]
      += (uint32_t)(good - series->last_good);
  series->last_total = counter->value;
  series->last_good = good;
}

void
error_budget_counts_update (struct error_budget_counts *counts,
                            const struct counter_set *counters,
                            int64_t now_ms)
{
  uint64_t bucket
      = (uint64_t)(now_ms - counts->started_ms) / ERROR_BUDGET_BUCKET_MS;

  if (bucket > counts->bucket)
    advance_buckets (counts, bucket);
  for (const struct counter *counter = counters->table; counter != NULL;
       counter = counter->hh.next)
    if (strncmp (counter->key, TOTAL_PREFIX, strlen (TOTAL_PREFIX)) == 0)
      update_series (counts, counters, counter);
}

/* Reads the value of customer="..." or target="..." from the labels. */
static void
read_label (const char *labels, const char *name, char *out, size_t size)
{
  const char *at = strstr (labels, name);

  out[0] = '\0';
  if (at == NULL)
    return;
  at += strlen (name);
  if (strncmp (at, "=\"", 2) != 0)
    return;
  at += 2;
  snprintf (out, size, "%.*s", (int)strcspn (at, "\""), at);
}

static json_t *
window_to_json (const struct error_budget_counts *counts,
                const struct error_budget_series *series,
                unsigned window_s)
{
  uint64_t buckets = window_s / (ERROR_BUDGET_BUCKET_MS / 1000);
  char customer[LABELS_SIZE];
  char target[LABELS_SIZE];
  uint64_t good = 0;
  uint64_t total = 0;

  for (uint64_t i = 0; i < buckets && i <= counts->bucket; i++)
    {
      good += series->good[(counts->bucket - i) % ERROR_BUDGET_BUCKETS];
      total += series->total[(counts->bucket - i) % ERROR_BUDGET_BUCKETS];
    }
  read_label (series->labels, "customer", customer, sizeof customer);
  read_label (series->labels, "target", target, sizeof target);
  return json_pack ("{s:i, s:s, s:s, s:I, s:I}", "window_s", (int)window_s,
                    "customer", customer, "target", target, "good",
                    (json_int_t)good, "total", (json_int_t)total);
}

json_t *
error_budget_counts_to_json (const struct error_budget_counts *counts)
{
  json_t *windows = json_array ();

  if (windows == NULL)
    return NULL;
  for (const struct error_budget_series *series = counts->series;
       series != NULL; series = series->hh.next)
    for (size_t i = 0; i < sizeof windows_s / sizeof windows_s[0]; i++)
      json_array_append_new (windows,
                             window_to_json (counts, series, windows_s[i]));
  return json_pack ("{s:o, s:I}", "windows", windows, "started_ms",
                    (json_int_t)counts->started_wall_ms);
}
