#include "burn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define TOTAL_PREFIX "waxwing_slo_total{"
#define GOOD_NAME "waxwing_slo_good_total"
#define LABELS_SIZE 256
#define SERIES_LIMIT 512 /* about 18 MB with three days of buckets */

static const unsigned windows_s[] = { 300, 3600, 6 * 3600, 3 * 24 * 3600 };

struct burn_series
{
  char labels[LABELS_SIZE];
  double good_seen; /* the counters at the last tick */
  double total_seen;
  uint32_t good[BURN_BUCKETS];
  uint32_t total[BURN_BUCKETS];
  UT_hash_handle hh;
};

void
burn_init (struct burn *burn, int64_t now_ms, int64_t wall_ms)
{
  memset (burn, 0, sizeof *burn);
  burn->started_ms = now_ms;
  burn->started_wall_ms = wall_ms;
}

void
burn_finish (struct burn *burn)
{
  struct burn_series *series = burn->series;

  HASH_CLEAR (hh, burn->series);
  while (series != NULL)
    {
      struct burn_series *next = series->hh.next;

      free (series);
      series = next;
    }
}

static struct burn_series *
find_or_add (struct burn *burn, const char *labels)
{
  struct burn_series *series;

  HASH_FIND_STR (burn->series, labels, series);
  if (series != NULL || HASH_COUNT (burn->series) >= SERIES_LIMIT
      || strlen (labels) >= LABELS_SIZE)
    return series;
  series = calloc (1, sizeof *series);
  if (series == NULL)
    return NULL;
  memcpy (series->labels, labels, strlen (labels) + 1);
  HASH_ADD_STR (burn->series, labels, series);
  return series;
}

/* Empties the buckets between the last one used and the present one. */
static void
advance (struct burn *burn, uint64_t bucket)
{
  uint64_t steps = bucket - burn->bucket;

  if (steps > BURN_BUCKETS)
    steps = BURN_BUCKETS;
  for (struct burn_series *series = burn->series; series != NULL;
       series = series->hh.next)
    for (uint64_t i = 0; i < steps; i++)
      {
        series->good[(bucket - i) % BURN_BUCKETS] = 0;
        series->total[(bucket - i) % BURN_BUCKETS] = 0;
      }
  burn->bucket = bucket;
}

static void
take_counter (struct burn *burn,
              const struct counter_set *counters,
              const struct counter *counter)
{
  const char *start = counter->key + strlen (TOTAL_PREFIX);
  size_t size = strlen (start);
  char labels[LABELS_SIZE];
  struct burn_series *series;
  double good;

  if (size == 0 || size > sizeof labels)
    return;
  memcpy (labels, start, size - 1);
  labels[size - 1] = '\0';
  series = find_or_add (burn, labels);
  if (series == NULL)
    return;
  good = counter_read (counters, GOOD_NAME, labels);
  series->total[burn->bucket % BURN_BUCKETS]
      += (uint32_t)(counter->value - series->total_seen);
  series->good[burn->bucket % BURN_BUCKETS]
      += (uint32_t)(good - series->good_seen);
  series->total_seen = counter->value;
  series->good_seen = good;
}

void
burn_tick (struct burn *burn,
           const struct counter_set *counters,
           int64_t now_ms)
{
  uint64_t bucket = (uint64_t)(now_ms - burn->started_ms) / BURN_BUCKET_MS;

  if (bucket > burn->bucket)
    advance (burn, bucket);
  for (const struct counter *counter = counters->table; counter != NULL;
       counter = counter->hh.next)
    if (strncmp (counter->key, TOTAL_PREFIX, strlen (TOTAL_PREFIX)) == 0)
      take_counter (burn, counters, counter);
}

/* Reads customer="..." or target="..." out of the labels. */
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
window_to_json (const struct burn *burn,
                const struct burn_series *series,
                unsigned window_s)
{
  uint64_t buckets = window_s / (BURN_BUCKET_MS / 1000);
  char customer[LABELS_SIZE];
  char target[LABELS_SIZE];
  uint64_t good = 0;
  uint64_t total = 0;

  for (uint64_t i = 0; i < buckets && i <= burn->bucket; i++)
    {
      good += series->good[(burn->bucket - i) % BURN_BUCKETS];
      total += series->total[(burn->bucket - i) % BURN_BUCKETS];
    }
  read_label (series->labels, "customer", customer, sizeof customer);
  read_label (series->labels, "target", target, sizeof target);
  return json_pack ("{s:i, s:s, s:s, s:I, s:I}", "window_s", (int)window_s,
                    "customer", customer, "target", target, "good",
                    (json_int_t)good, "total", (json_int_t)total);
}

json_t *
burn_to_json (const struct burn *burn)
{
  json_t *windows = json_array ();

  if (windows == NULL)
    return NULL;
  for (const struct burn_series *series = burn->series; series != NULL;
       series = series->hh.next)
    for (size_t i = 0; i < sizeof windows_s / sizeof windows_s[0]; i++)
      json_array_append_new (windows,
                             window_to_json (burn, series, windows_s[i]));
  return json_pack ("{s:o, s:I}", "windows", windows, "started_ms",
                    (json_int_t)burn->started_wall_ms);
}
