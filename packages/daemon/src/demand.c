#include "demand.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES_LIMIT 16384

void
demand_init (struct demand *demand)
{
  demand->entries = NULL;
}

void
demand_finish (struct demand *demand)
{
  struct demand_entry *entry = demand->entries;

  HASH_CLEAR (hh, demand->entries);
  while (entry != NULL)
    {
      struct demand_entry *next = entry->hh.next;

      free (entry);
      entry = next;
    }
}

void
demand_take (struct demand *demand,
             const char *from,
             const char *name,
             unsigned value,
             int64_t now_ms)
{
  char key[DEMAND_KEY_SIZE];
  struct demand_entry *entry;

  if (snprintf (key, sizeof key, "%s\n%s", name, from) >= (int)sizeof key)
    return;
  HASH_FIND_STR (demand->entries, key, entry);
  if (entry == NULL)
    {
      if (HASH_COUNT (demand->entries) >= ENTRIES_LIMIT)
        return;
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return;
      memcpy (entry->key, key, sizeof key);
      HASH_ADD_STR (demand->entries, key, entry);
    }
  entry->demand = value;
  entry->heard_ms = now_ms;
}

size_t
demand_peers (const struct demand *demand,
              const char *name,
              struct shares_peer *peers)
{
  size_t length = strlen (name);
  size_t count = 0;

  for (const struct demand_entry *entry = demand->entries;
       entry != NULL && count < DEMAND_PEERS_LIMIT; entry = entry->hh.next)
    if (strncmp (entry->key, name, length) == 0 && entry->key[length] == '\n')
      {
        peers[count].demand = entry->demand;
        peers[count++].demand_received_ms = entry->heard_ms;
      }
  return count;
}
