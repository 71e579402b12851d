#include "histogram.h"

#include <string.h>

#define STEPS (1U << HISTOGRAM_STEP_BITS)

static unsigned
bucket_of (uint64_t value)
{
  unsigned shift;

  if (value < STEPS)
    return (unsigned)value;
  shift = 63 - (unsigned)__builtin_clzll (value) - HISTOGRAM_STEP_BITS;
  return ((shift + 1) << HISTOGRAM_STEP_BITS)
         + (unsigned)((value >> shift) - STEPS);
}

static uint64_t
bucket_upper (unsigned bucket)
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
  histogram->buckets[bucket_of (value)]++;
}

uint64_t
histogram_quantile (const struct histogram *histogram, double quantile)
{
  uint64_t wanted = (uint64_t)(quantile * (double)histogram->count + 0.5);
  uint64_t seen = 0;

  if (histogram->count == 0)
    return 0;
  if (wanted == 0)
    wanted = 1;
  for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen >= wanted)
        {
          uint64_t upper = bucket_upper (i);

          return upper < histogram->max ? upper : histogram->max;
        }
    }
  return histogram->max;
}
