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

/* Takes the entry out of the table; the caller owns it then. */
static void
take_out (struct strikes *strikes, struct strike_entry *entry)
{
  HASH_DEL (strikes->entries, entry);
  strikes->count--;
}

static struct strike_entry *
take_out_oldest (struct strikes *strikes)
{
  struct strike_entry *oldest = strikes->entries;

  for (struct strike_entry *entry = strikes->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->last_ms < oldest->last_ms)
      oldest = entry;
  if (oldest != NULL)
    take_out (strikes, oldest);
  return oldest;
}

/* Reuses the oldest entry when the table is full or memory is short. */
struct strike_entry *
strikes_create (struct strikes *strikes, const char *fingerprint)
{
  struct strike_entry *entry = NULL;

  if (strikes->count < strikes->limit)
    entry = malloc (sizeof *entry);
  if (entry == NULL)
    entry = take_out_oldest (strikes);
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
  take_out (strikes, entry);
  free (entry);
}
