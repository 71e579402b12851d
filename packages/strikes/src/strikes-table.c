#include "strikes-table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
strikes_init (struct strikes *strikes, size_t limit)
{
  memset (strikes, 0, sizeof *strikes);
  strikes->limit = limit > 0 ? limit : 1;
}

void
strikes_finish (struct strikes *strikes)
{
  struct strike_entry *entry = strikes->entries;

  HASH_CLEAR (hh, strikes->entries);
  while (entry != NULL)
    {
      struct strike_entry *next = entry->hh.next;

      free (entry);
      entry = next;
    }
  strikes->count = 0;
}

struct strike_entry *
strikes_find (const struct strikes *strikes, const char *trait)
{
  struct strike_entry *entry;

  HASH_FIND_STR (strikes->entries, trait, entry);
  return entry;
}

/* Removes the entry from the table; the caller then owns it. */
static void
unlink_entry (struct strikes *strikes, struct strike_entry *entry)
{
  HASH_DEL (strikes->entries, entry);
  strikes->count--;
}

/*
 * Fingerprints with fewer strikes are replaced first, then older ones.  Parts
 * are few, and what is known of their answers protects sound requests.
 */
static bool
is_less_important (const struct strike_entry *a, const struct strike_entry *b)
{
  unsigned live_a = a->strike_count - strikes_first_live (a);
  unsigned live_b = b->strike_count - strikes_first_live (b);

  if (a->kind != b->kind)
    return a->kind == STRIKES_REQUEST;
  if (live_a != live_b)
    return live_a < live_b;
  return a->changed_ms < b->changed_ms;
}

static struct strike_entry *
unlink_least_important (struct strikes *strikes)
{
  struct strike_entry *least = strikes->entries;

  for (struct strike_entry *entry = strikes->entries; entry != NULL;
       entry = entry->hh.next)
    if (is_less_important (entry, least))
      least = entry;
  if (least != NULL)
    unlink_entry (strikes, least);
  return least;
}

struct strike_entry *
strikes_create (struct strikes *strikes,
                const char *trait,
                enum strikes_kind kind)
{
  struct strike_entry *entry = NULL;

  if (strikes->count < strikes->limit)
    entry = malloc (sizeof *entry);
  if (entry == NULL)
    entry = unlink_least_important (strikes);
  if (entry == NULL)
    return NULL;
  memset (entry, 0, sizeof *entry);
  snprintf (entry->trait, sizeof entry->trait, "%s", trait);
  entry->kind = kind;
  entry->answered_ms = STRIKES_NEVER;
  HASH_ADD_STR (strikes->entries, trait, entry);
  if (entry->hh.tbl == NULL)
    {
      free (entry);
      return NULL;
    }
  strikes->count++;
  return entry;
}

void
strikes_remove (struct strikes *strikes, struct strike_entry *entry)
{
  unlink_entry (strikes, entry);
  free (entry);
}
