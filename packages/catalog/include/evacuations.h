#ifndef CATALOG_EVACUATIONS_H
#define CATALOG_EVACUATIONS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Table of the data centres to whose endpoints nothing may be sent, because the
 * operator evacuates them.
 *
 * The load that it answers: a data centre is about to lose power or its links,
 * and all entry hosts have to stop sending there within seconds, also those
 * whose path to the store is broken.  A data centre that was withdrawn by
 * mistake costs the requests that are sent there, one that stays by mistake
 * only capacity, so whatever is doubtful stays.
 *
 * A data centre is known by hash_string of its name.  Times are milliseconds on
 * CLOCK_BOOTTIME.
 */

/* The data centres of the longest settings list (64), and 16 others. */
#define EVACUATIONS_LIMIT 80

/* The evacuations in the store as of one revision. */
struct evacuation_set
{
  uint64_t revision; /* of the store; rises also when it is restored */
  uint64_t era;      /* of the store, counts its restores */
  unsigned count;
  uint64_t list[EVACUATIONS_LIMIT];
};

bool evacuation_set_has (const struct evacuation_set *set, uint64_t hash);
/* False if the set is full. */
bool evacuation_set_add (struct evacuation_set *set, uint64_t hash);
void evacuation_set_remove (struct evacuation_set *set, uint64_t hash);

struct evacuation
{
  uint64_t data_centre;
  int64_t since_ms; /* when this host heard of it */
  int64_t ended_ms; /* when this host ended it; 0 = it is in effect */
  bool is_stored;   /* the store has it, as far as is known */
};

struct evacuations
{
  bool is_known;         /* a set was taken over */
  uint64_t revision;     /* of the newest set */
  uint64_t era;          /* of that set */
  int64_t current_at_ms; /* all writes acknowledged before are known */
  int64_t hold_until_ms; /* none ends before; see evacuations_update */
  uint64_t changes;      /* rises with each change, also of the revision */
  unsigned active;       /* evacuations in effect */
  unsigned count;
  struct evacuation list[2 * EVACUATIONS_LIMIT];
};

void evacuations_init (struct evacuations *evacuations);

/*
 * Takes over a set, unless it is older than the newest.  A store that was
 * restored from a copy lacks the writes after the copy until the operator
 * repeats them, so no evacuation ends for a while after its era has risen.
 */
void evacuations_update (struct evacuations *evacuations,
                         const struct evacuation_set *set,
                         int64_t current_at_ms,
                         int64_t now_ms);

/* Ends evacuations that the store no longer has. */
void evacuations_tick (struct evacuations *evacuations, int64_t now_ms);

/* The stored evacuations as a set, for other hosts. */
void evacuations_get_set (const struct evacuations *evacuations,
                          struct evacuation_set *set);

/* True if nothing may be sent to the data centre; evacuations may be NULL. */
bool evacuations_includes (const struct evacuations *evacuations,
                           const char *data_centre);

/* When the data centre's last evacuation ended here; 0 = not recently. */
int64_t evacuations_ended_ms (const struct evacuations *evacuations,
                              const char *data_centre);

#endif
