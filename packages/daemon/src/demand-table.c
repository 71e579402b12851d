#include "demand-table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENTRIES_LIMIT 16384

void
demand_table_init (struct demand_table *table)
{
  table->entries = NULL;
}

void
demand_table_finish (struct demand_table *table)
{
  struct demand_entry *entry = table->entries;

  HASH_CLEAR (hh, table->entries);
  while (entry != NULL)
    {
      struct demand_entry *next = entry->hh.next;

      free (entry);
      entry = next;
    }
}

void
demand_table_record (struct demand_table *table,
                     const char *from,
                     const char *name,
                     unsigned demand,
                     int64_t now_ms)
{
  char key[DEMAND_KEY_SIZE];
  struct demand_entry *entry;

  if (snprintf (key, sizeof key, "%s\n%s", name, from) >= (int)sizeof key)
    return;
  HASH_FIND_STR (table->entries, key, entry);
  if (entry == NULL)
    {
      if (HASH_COUNT (table->entries) >= ENTRIES_LIMIT)
        return;
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return;
      memcpy (entry->key, key, sizeof key);
      HASH_ADD_STR (table->entries, key, entry);
    }
  entry->demand = demand;
  entry->received_ms = now_ms;
}

size_t
demand_table_find_peers (const struct demand_table *table,
                         const char *name,
                         struct shares_peer *peers)
{
  size_t length = strlen (name);
  size_t count = 0;

  for (const struct demand_entry *entry = table->entries;
       entry != NULL && count < DEMAND_PEERS_LIMIT; entry = entry->hh.next)
    if (strncmp (entry->key, name, length) == 0 && entry->key[length] == '\n')
      {
        peers[count].demand = entry->demand;
        peers[count++].demand_received_ms = entry->received_ms;
      }
  return count;
}
