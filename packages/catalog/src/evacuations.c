#include "evacuations.h"

#include "hash.h"

#include <string.h>

/*
 * The operator's writes are repeated within about 2 s of a restore; the rest is
 * for a watch that brings them late.
 */
#define RESTORE_HOLD_MS 3000
/* Ended evacuations are remembered for this long; cold times are seconds. */
#define ENDED_RETENTION_MS 600000

bool
evacuation_set_has (const struct evacuation_set *set, uint64_t hash)
{
  for (unsigned i = 0; i < set->count; i++)
    if (set->list[i] == hash)
      return true;
  return false;
}

bool
evacuation_set_add (struct evacuation_set *set, uint64_t hash)
{
  if (evacuation_set_has (set, hash))
    return true;
  if (set->count == EVACUATIONS_LIMIT)
    return false;
  set->list[set->count++] = hash;
  return true;
}

void
evacuation_set_remove (struct evacuation_set *set, uint64_t hash)
{
  for (unsigned i = 0; i < set->count; i++)
    if (set->list[i] == hash)
      {
        set->list[i] = set->list[--set->count];
        return;
      }
}

void
evacuations_init (struct evacuations *evacuations)
{
  memset (evacuations, 0, sizeof *evacuations);
  evacuations->current_at_ms = INT64_MIN / 2;
}

static struct evacuation *
find_evacuation (struct evacuations *evacuations, uint64_t data_centre)
{
  for (unsigned i = 0; i < evacuations->count; i++)
    if (evacuations->list[i].data_centre == data_centre)
      return &evacuations->list[i];
  return NULL;
}

/* Returns the entry of an evacuation that has ended, the longest ago. */
static struct evacuation *
find_oldest_ended (struct evacuations *evacuations)
{
  struct evacuation *oldest = NULL;

  for (unsigned i = 0; i < evacuations->count; i++)
    {
      struct evacuation *entry = &evacuations->list[i];

      if (entry->ended_ms != 0
          && (oldest == NULL || entry->ended_ms < oldest->ended_ms))
        oldest = entry;
    }
  return oldest;
}

/*
 * Finds room for a new entry.  Without room for one in the store, one that is
 * only held for a restored store makes way.
 */
static struct evacuation *
find_room (struct evacuations *evacuations)
{
  struct evacuation *ended;

  if (evacuations->count < 2 * EVACUATIONS_LIMIT)
    return &evacuations->list[evacuations->count++];
  ended = find_oldest_ended (evacuations);
  if (ended != NULL)
    return ended;
  for (unsigned i = 0; i < evacuations->count; i++)
    if (!evacuations->list[i].is_stored)
      return &evacuations->list[i];
  return NULL;
}

static void
begin_evacuation (struct evacuations *evacuations,
                  uint64_t data_centre,
                  int64_t now_ms)
{
  struct evacuation *entry = find_evacuation (evacuations, data_centre);

  if (entry != NULL && entry->ended_ms == 0)
    {
      entry->is_stored = true;
      return;
    }
  if (entry == NULL)
    entry = find_room (evacuations);
  if (entry == NULL)
    return;
  *entry = (struct evacuation){
    .data_centre = data_centre,
    .since_ms = now_ms,
    .is_stored = true,
  };
}

static void
count_active (struct evacuations *evacuations)
{
  evacuations->active = 0;
  for (unsigned i = 0; i < evacuations->count; i++)
    if (evacuations->list[i].ended_ms == 0)
      evacuations->active++;
}

static bool
has_same_entries (const struct evacuations *evacuations,
                  const struct evacuation_set *set)
{
  unsigned stored = 0;

  for (unsigned i = 0; i < evacuations->count; i++)
    {
      const struct evacuation *entry = &evacuations->list[i];

      if (entry->ended_ms != 0 || !entry->is_stored)
        continue;
      stored++;
      if (!evacuation_set_has (set, entry->data_centre))
        return false;
    }
  return stored == set->count;
}

void
evacuations_update (struct evacuations *evacuations,
                    const struct evacuation_set *set,
                    int64_t current_at_ms,
                    int64_t now_ms)
{
  bool is_newer
      = !evacuations->is_known || set->revision > evacuations->revision;

  if (!is_newer && !has_same_entries (evacuations, set))
    return;
  if (current_at_ms > evacuations->current_at_ms)
    evacuations->current_at_ms = current_at_ms;
  if (!is_newer)
    return;
  if (evacuations->is_known && set->era > evacuations->era)
    evacuations->hold_until_ms = now_ms + RESTORE_HOLD_MS;
  evacuations->is_known = true;
  evacuations->revision = set->revision;
  evacuations->era = set->era;
  evacuations->changes++;
  for (unsigned i = 0; i < evacuations->count; i++)
    evacuations->list[i].is_stored = false;
  for (unsigned i = 0; i < set->count; i++)
    begin_evacuation (evacuations, set->list[i], now_ms);
  count_active (evacuations);
  evacuations_tick (evacuations, now_ms);
}

void
evacuations_tick (struct evacuations *evacuations, int64_t now_ms)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < evacuations->count; i++)
    {
      struct evacuation *entry = &evacuations->list[i];

      if (entry->ended_ms == 0 && !entry->is_stored
          && now_ms >= evacuations->hold_until_ms)
        {
          entry->ended_ms = now_ms;
          evacuations->changes++;
        }
      if (entry->ended_ms == 0 || now_ms - entry->ended_ms < ENDED_RETENTION_MS)
        evacuations->list[kept++] = *entry;
    }
  evacuations->count = kept;
  count_active (evacuations);
}

void
evacuations_get_set (const struct evacuations *evacuations,
                     struct evacuation_set *set)
{
  set->revision = evacuations->revision;
  set->era = evacuations->era;
  set->count = 0;
  for (unsigned i = 0; i < evacuations->count; i++)
    if (evacuations->list[i].ended_ms == 0 && evacuations->list[i].is_stored)
      evacuation_set_add (set, evacuations->list[i].data_centre);
}

bool
evacuations_includes (const struct evacuations *evacuations,
                      const char *data_centre)
{
  uint64_t hash;

  if (evacuations == NULL || evacuations->active == 0)
    return false;
  hash = hash_string (data_centre, 0);
  for (unsigned i = 0; i < evacuations->count; i++)
    if (evacuations->list[i].data_centre == hash)
      return evacuations->list[i].ended_ms == 0;
  return false;
}

int64_t
evacuations_ended_ms (const struct evacuations *evacuations,
                      const char *data_centre)
{
  uint64_t hash;

  if (evacuations == NULL || evacuations->count == evacuations->active)
    return 0;
  hash = hash_string (data_centre, 0);
  for (unsigned i = 0; i < evacuations->count; i++)
    if (evacuations->list[i].data_centre == hash)
      return evacuations->list[i].ended_ms;
  return 0;
}
