#include "spread.h"

#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
spread_init (struct spread *spread, struct peer_node *peers)
{
  spread->peers = peers;
  spread->entries = NULL;
}

void
spread_finish (struct spread *spread)
{
  struct spread_entry *entry = spread->entries;

  HASH_CLEAR (hh, spread->entries);
  while (entry != NULL)
    {
      struct spread_entry *next = entry->hh.next;

      free (entry);
      entry = next;
    }
}

static void
on_done (void *context)
{
  struct spread_entry *entry = context;
  struct spread *spread = entry->spread;

  if (--entry->waiting > 0)
    return;
  HASH_DEL (spread->entries, entry);
  free (entry);
}

static struct spread_entry *
find_or_add (struct spread *spread, const char *fingerprint)
{
  struct spread_entry *entry;

  HASH_FIND_STR (spread->entries, fingerprint, entry);
  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->spread = spread;
  snprintf (entry->fingerprint, sizeof entry->fingerprint, "%s", fingerprint);
  HASH_ADD_STR (spread->entries, fingerprint, entry);
  return entry;
}

void
spread_strike (void *context,
               const char *fingerprint,
               const char *host,
               const char *boot_id)
{
  struct spread *spread = context;
  struct spread_entry *entry = find_or_add (spread, fingerprint);

  if (entry != NULL)
    entry->waiting++;
  peer_send_strike (spread->peers, fingerprint, host, boot_id, time_boot_ms (),
                    entry != NULL ? on_done : NULL, entry);
}

bool
spread_is_acknowledged (void *context, const char *fingerprint)
{
  struct spread *spread = context;
  struct spread_entry *entry;

  HASH_FIND_STR (spread->entries, fingerprint, entry);
  return entry == NULL;
}
