#ifndef SOAK_SCHEDULE_H
#define SOAK_SCHEDULE_H

#include "world.h"

/*
 * Starts faults and planned changes at random times drawn from a seed.  Each
 * lasts for a random time, so that several may overlap.
 */

#define SCHEDULE_FAULT_LIMIT 64

struct fault
{
  const struct fault_kind *kind;
  struct host *host; /* target host; NULL unless the kind acts on hosts */
  /* Target endpoint; NULL unless the kind acts on endpoints. */
  struct proxied_endpoint *endpoint;
  int64_t until_ms; /* end of the fault */
  int strength;     /* drawn; its meaning depends on the kind */
};

struct schedule
{
  struct world *world;
  struct rng rng;
  struct fault faults[SCHEDULE_FAULT_LIMIT]; /* the active faults */
  unsigned active_count;
  unsigned started_count; /* since the start of the run */
  int64_t next_fault_ms;  /* start of the next fault */
  bool stopped;           /* starts no new faults */
  const char *only_kinds; /* names, separated by commas; NULL = any kind */
};

void schedule_init (struct schedule *schedule,
                    struct world *world,
                    uint64_t seed,
                    const char *only_kinds);

/* Starts a fault when one is due, applies active faults, ends expired ones. */
void schedule_tick (struct schedule *schedule);

/* Ends all faults and restores revoked keys; starts no more faults. */
void schedule_stop (struct schedule *schedule);

/* True if all names of a comma-separated list are kinds of faults. */
bool schedule_are_kinds (const char *list);

/* True if the comma-separated list names the kind. */
bool schedule_lists_kind (const char *list, const char *name);

/* Prints the names of all kinds of faults, one per line. */
void schedule_print_kinds (void);

#endif
