#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

/*
 * Seeded random numbers for decisions: XXH3-64 over a counter.  The same seed
 * gives the same sequence on every machine.  Not for secrets; tokens and keys
 * are made with RAND_bytes of OpenSSL.
 */
struct rng
{
  uint64_t seed;
  uint64_t counter;
};

void rng_init (struct rng *rng, uint64_t seed);
uint64_t rng_next (struct rng *rng);

/* Uniform in [0, bound); bound must be above zero. */
uint64_t rng_below (struct rng *rng, uint64_t bound);

/* Uniform in [0, 1). */
double rng_real (struct rng *rng);

#endif
