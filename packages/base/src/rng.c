#include "rng.h"

#include <xxhash.h>

void
rng_init (struct rng *rng, uint64_t seed)
{
  rng->seed = seed;
  rng->counter = 0;
}

uint64_t
rng_next (struct rng *rng)
{
  uint64_t counter = rng->counter++;

  return XXH3_64bits_withSeed (&counter, sizeof counter, rng->seed);
}

uint64_t
rng_below (struct rng *rng, uint64_t bound)
{
  /* Rejects values of the incomplete last range, which would be biased. */
  uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
  uint64_t value;

  do
    value = rng_next (rng);
  while (value >= limit);
  return value % bound;
}

double
rng_real (struct rng *rng)
{
  return (double)(rng_next (rng) >> 11) * 0x1.0p-53;
}
