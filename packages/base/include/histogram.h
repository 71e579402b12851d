#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdint.h>

/*
 * Log-linear histogram of non-negative integers: 32 linear steps per power of
 * two, so the error of a quantile is at most 3.2%.  Fixed size, no allocation.
 */
#define HISTOGRAM_STEP_BITS 5
#define HISTOGRAM_BUCKETS                                                      \
  ((64 - HISTOGRAM_STEP_BITS + 1) << HISTOGRAM_STEP_BITS)

struct histogram
{
  uint64_t count;
  uint64_t sum;
  uint64_t max;
  uint32_t buckets[HISTOGRAM_BUCKETS];
};

void histogram_init (struct histogram *histogram);
void histogram_add (struct histogram *histogram, uint64_t value);

/*
 * Returns the upper bound of the bucket that holds the quantile, at most max;
 * 0 if the histogram is empty.  quantile is in [0, 1].
 */
uint64_t histogram_quantile (const struct histogram *histogram,
                             double quantile);

#endif
