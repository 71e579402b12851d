#ifndef SOAK_SCHEDULE_H
#define SOAK_SCHEDULE_H

#include "world.h"

/*
 * Faults and planned changes, drawn from a seed: they come in series, last
 * for a while, and overlap.
 */

#define SCHEDULE_FAULTS 64

struct fault
{
  const struct fault_kind *kind;
  struct host *host; /* that it acts on, if the kind acts on hosts */
  struct site *site; /* the same for endpoints */
  int64_t until_ms;
  int strength;
};

struct schedule
{
  struct world *world;
  struct rng rng;
  struct fault faults[SCHEDULE_FAULTS]; /* that act now */
  unsigned count;
  unsigned begun;
  int64_t next_ms;
  bool stopped;     /* no new ones */
  const char *only; /* name of the one kind to be drawn; NULL = any */
};

void schedule_init (struct schedule *schedule,
                    struct world *world,
                    uint64_t seed,
                    const char *only);

/* Begins what is due, applies what acts, ends what is over. */
void schedule_tick (struct schedule *schedule);

/* Ends all, and undoes what would not end by itself. */
void schedule_stop (struct schedule *schedule);

/* Prints the kinds of faults. */
void schedule_print_kinds (void);

#endif
