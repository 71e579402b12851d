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
strikes_find (const struct strikes *strikes, const char *fingerprint)
{
  struct strike_entry *entry;

  HASH_FIND_STR (strikes->entries, fingerprint, entry);
  return entry;
}

/* Removes the entry from the table; the caller then owns it. */
static void
unlink_entry (struct strikes *strikes, struct strike_entry *entry)
{
  HASH_DEL (strikes->entries, entry);
  strikes->count--;
}

static struct strike_entry *
unlink_oldest_entry (struct strikes *strikes)
{
  struct strike_entry *oldest = strikes->entries;

  for (struct strike_entry *entry = strikes->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->last_crash_ms < oldest->last_crash_ms)
      oldest = entry;
  if (oldest != NULL)
    unlink_entry (strikes, oldest);
  return oldest;
}

struct strike_entry *
strikes_create (struct strikes *strikes, const char *fingerprint)
{
  struct strike_entry *entry = NULL;

  if (strikes->count < strikes->limit)
    entry = malloc (sizeof *entry);
  if (entry == NULL)
    entry = unlink_oldest_entry (strikes);
  if (entry == NULL)
    return NULL;
  memset (entry, 0, sizeof *entry);
  snprintf (entry->fingerprint, sizeof entry->fingerprint, "%s", fingerprint);
  HASH_ADD_STR (strikes->entries, fingerprint, entry);
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
