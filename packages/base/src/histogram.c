#include "histogram.h"

#include <string.h>

#define STEPS (1U << HISTOGRAM_STEP_BITS)

static unsigned
get_bucket_index (uint64_t value)
{
  unsigned shift;

  if (value < STEPS)
    return (unsigned)value;
  shift = 63 - (unsigned)__builtin_clzll (value) - HISTOGRAM_STEP_BITS;
  return ((shift + 1) << HISTOGRAM_STEP_BITS)
         + (unsigned)((value >> shift) - STEPS);
}

static uint64_t
get_bucket_upper_bound (unsigned bucket)
{
  unsigned shift;

  if (bucket < STEPS)
    return bucket;
  shift = (bucket >> HISTOGRAM_STEP_BITS) - 1;
  return (((uint64_t)(bucket & (STEPS - 1)) + STEPS + 1) << shift) - 1;
}

void
histogram_init (struct histogram *histogram)
{
  memset (histogram, 0, sizeof *histogram);
}

void
histogram_add (struct histogram *histogram, uint64_t value)
{
  histogram->count++;
  histogram->sum += value;
  if (value > histogram->max)
    histogram->max = value;
  histogram->buckets[get_bucket_index (value)]++;
}

uint64_t
histogram_quantile (const struct histogram *histogram, double quantile)
{
  uint64_t target_count = (uint64_t)(quantile * (double)histogram->count + 0.5);
  uint64_t cumulative_count = 0;

  if (histogram->count == 0)
    return 0;
  if (target_count == 0)
    target_count = 1;
  for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      cumulative_count += histogram->buckets[i];
      if (cumulative_count >= target_count)
        {
          uint64_t upper_bound = get_bucket_upper_bound (i);

          return upper_bound < histogram->max ? upper_bound : histogram->max;
        }
    }
  return histogram->max;
}
