#include "strikes-table.h"

#include <string.h>

/* Limit of crashes that quarantined parts explain, kept while deciding. */
#define EXPLAINED_LIMIT 256

struct strikes_explained
{
  uint64_t list[EXPLAINED_LIMIT];
  unsigned count;
};

static bool
is_explained (const struct strikes_explained *explained, uint64_t crash)
{
  for (unsigned i = 0; i < explained->count; i++)
    if (explained->list[i] == crash)
      return true;
  return false;
}

static bool
was_answered (const struct strike_entry *entry)
{
  return entry->answered_ms != STRIKES_NEVER;
}

unsigned
strikes_count_unexplained (const struct strikes *strikes,
                           const struct strike_entry *entry,
                           const struct strikes_explained *explained,
                           unsigned limit,
                           int64_t *reached_ms)
{
  int64_t spacing_ms = entry->kind == STRIKES_PART
                           ? STRIKES_SPACING_MS
                           : strikes->request_spacing_ms;
  int64_t counted_ms = STRIKES_NEVER;
  unsigned count = 0;

  for (unsigned i = strikes_first_live (entry); i < entry->strike_count; i++)
    {
      const struct strike *strike = &entry->strikes[i];

      if ((explained != NULL && is_explained (explained, strike->crash))
          || strike->at_ms - counted_ms < spacing_ms)
        continue;
      counted_ms = strike->at_ms;
      if (++count == limit)
        *reached_ms = counted_ms;
    }
  return count;
}

/* A part that could be quarantined. */
struct suspect
{
  struct strike_entry *entry;
  unsigned strikes;   /* that no part quarantined so far explains */
  int64_t reached_ms; /* when it had the strikes for a quarantine */
};

/*
 * Parts that were in no answer go first: a part that is in most requests is at
 * most crashes too.  Then the part that had enough strikes first, as later ones
 * share its crashes by chance, then the one that explains most.
 */
static bool
is_better_suspect (const struct suspect *a, const struct suspect *b)
{
  int64_t later_ms = a->reached_ms - b->reached_ms;

  if (b->entry == NULL)
    return true;
  if (was_answered (a->entry) != was_answered (b->entry))
    return was_answered (b->entry);
  if (later_ms >= STRIKES_SPACING_MS || -later_ms >= STRIKES_SPACING_MS)
    return later_ms < 0;
  if (a->strikes != b->strikes)
    return a->strikes > b->strikes;
  return strcmp (a->entry->trait, b->entry->trait) < 0;
}

static struct strike_entry *
find_best_suspect (const struct strikes *strikes,
                   const struct strikes_explained *explained,
                   int64_t now_ms)
{
  struct suspect best = { .entry = NULL };

  for (struct strike_entry *entry = strikes->entries; entry != NULL;
       entry = entry->hh.next)
    {
      unsigned limit = was_answered (entry)
                           ? STRIKES_TO_QUARANTINE_ANSWERED_PART
                           : STRIKES_TO_QUARANTINE_PART;
      struct suspect suspect = { .entry = entry };

      if (entry->kind != STRIKES_PART || entry->is_quarantined
          || strikes_is_expired (entry, now_ms))
        continue;
      suspect.strikes = strikes_count_unexplained (strikes, entry, explained,
                                                   limit, &suspect.reached_ms);
      if (suspect.strikes >= limit && is_better_suspect (&suspect, &best))
        best = suspect;
    }
  return best.entry;
}

/* True if the trait was at all crashes that count against the part. */
static bool
is_companion (const struct strike_entry *entry, const struct strike_entry *part)
{
  unsigned first = strikes_first_live (entry);

  if (entry == part || (was_answered (entry) && !was_answered (part)))
    return false;
  for (unsigned i = strikes_first_live (part); i < part->strike_count; i++)
    {
      unsigned j = first;

      while (j < entry->strike_count
             && entry->strikes[j].crash != part->strikes[i].crash)
        j++;
      if (j == entry->strike_count)
        return false;
    }
  return true;
}

static void
quarantine_part (struct strikes *strikes,
                 struct strike_entry *part,
                 struct strikes_explained *explained)
{
  part->is_quarantined = true;
  for (const struct strike_entry *entry = strikes->entries;
       entry != NULL && part->companion_count < STRIKES_COMPANION_LIMIT;
       entry = entry->hh.next)
    if (is_companion (entry, part))
      part->companions[part->companion_count++] = hash_string (entry->trait, 0);
  for (unsigned i = strikes_first_live (part);
       i < part->strike_count && explained->count < EXPLAINED_LIMIT; i++)
    explained->list[explained->count++] = part->strikes[i].crash;
}

void
strikes_refresh (struct strikes *strikes, int64_t now_ms)
{
  struct strikes_explained explained = { .count = 0 };
  struct strike_entry *part;

  if (strikes->refreshed_changes == strikes->changes)
    return;
  strikes->refreshed_changes = strikes->changes;
  for (struct strike_entry *entry = strikes->entries; entry != NULL;
       entry = entry->hh.next)
    {
      entry->is_quarantined = false;
      entry->companion_count = 0;
    }
  while ((part = find_best_suspect (strikes, &explained, now_ms)) != NULL)
    quarantine_part (strikes, part, &explained);
  for (struct strike_entry *entry = strikes->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->kind == STRIKES_REQUEST)
      entry->is_quarantined
          = strikes_count_unexplained (strikes, entry, &explained, 0, NULL)
            >= STRIKES_TO_QUARANTINE;
}

static bool
has_trait (const struct strikes_traits *traits, uint64_t hash)
{
  if (hash_string (traits->fingerprint, 0) == hash)
    return true;
  for (unsigned i = 0; i < traits->part_count; i++)
    if (hash_string (traits->parts[i], 0) == hash)
      return true;
  return false;
}

static bool
has_companions (const struct strikes_traits *traits,
                const struct strike_entry *part)
{
  for (unsigned i = 0; i < part->companion_count; i++)
    if (!has_trait (traits, part->companions[i]))
      return false;
  return true;
}

const struct strike_entry *
strikes_find_refused_part (const struct strikes *strikes,
                           const struct strikes_traits *traits,
                           int64_t now_ms)
{
  for (unsigned i = 0; i < traits->part_count; i++)
    {
      const struct strike_entry *entry
          = strikes_find (strikes, traits->parts[i]);

      if (entry != NULL && strikes_is_quarantined (entry, now_ms)
          && has_companions (traits, entry))
        return entry;
    }
  return NULL;
}
