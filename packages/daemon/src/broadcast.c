#include "broadcast.h"

#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
broadcast_init (struct broadcast *broadcast, struct peer_node *peers)
{
  broadcast->peers = peers;
  broadcast->entries = NULL;
}

void
broadcast_finish (struct broadcast *broadcast)
{
  struct broadcast_entry *entry = broadcast->entries;

  HASH_CLEAR (hh, broadcast->entries);
  while (entry != NULL)
    {
      struct broadcast_entry *next = entry->hh.next;

      free (entry);
      entry = next;
    }
}

static void
on_done (void *context)
{
  struct broadcast_entry *entry = context;
  struct broadcast *broadcast = entry->broadcast;

  if (--entry->waiting > 0)
    return;
  HASH_DEL (broadcast->entries, entry);
  free (entry);
}

static struct broadcast_entry *
find_or_add (struct broadcast *broadcast, const char *fingerprint)
{
  struct broadcast_entry *entry;

  HASH_FIND_STR (broadcast->entries, fingerprint, entry);
  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->broadcast = broadcast;
  snprintf (entry->fingerprint, sizeof entry->fingerprint, "%s", fingerprint);
  HASH_ADD_STR (broadcast->entries, fingerprint, entry);
  return entry;
}

void
broadcast_strike (void *context,
                  const char *fingerprint,
                  const char *host,
                  const char *boot_id)
{
  struct broadcast *broadcast = context;
  struct broadcast_entry *entry = find_or_add (broadcast, fingerprint);

  if (entry != NULL)
    entry->waiting++;
  peer_send_strike (broadcast->peers, fingerprint, host, boot_id,
                    time_boot_ms (), entry != NULL ? on_done : NULL, entry);
}

bool
broadcast_is_acknowledged (void *context, const char *fingerprint)
{
  struct broadcast *broadcast = context;
  struct broadcast_entry *entry;

  HASH_FIND_STR (broadcast->entries, fingerprint, entry);
  return entry == NULL;
}
