#include "strike-broadcast.h"

#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
strike_broadcast_init (struct strike_broadcast *broadcast,
                       struct peer_node *peers)
{
  broadcast->peers = peers;
  broadcast->entries = NULL;
}

void
strike_broadcast_finish (struct strike_broadcast *broadcast)
{
  struct strike_broadcast_entry *entry = broadcast->entries;

  HASH_CLEAR (hh, broadcast->entries);
  while (entry != NULL)
    {
      struct strike_broadcast_entry *next = entry->hh.next;

      free (entry);
      entry = next;
    }
}

static void
on_strike_send_done (void *context)
{
  struct strike_broadcast_entry *entry = context;
  struct strike_broadcast *broadcast = entry->broadcast;

  if (--entry->pending_count > 0)
    return;
  HASH_DEL (broadcast->entries, entry);
  free (entry);
}

static struct strike_broadcast_entry *
find_or_add_entry (struct strike_broadcast *broadcast, const char *fingerprint)
{
  struct strike_broadcast_entry *entry;

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
strike_broadcast_send (void *context,
                       const char *fingerprint,
                       const char *host,
                       const char *boot_id)
{
  struct strike_broadcast *broadcast = context;
  struct strike_broadcast_entry *entry
      = find_or_add_entry (broadcast, fingerprint);

  if (entry != NULL)
    entry->pending_count++;
  peer_send_strike (broadcast->peers, fingerprint, host, boot_id,
                    time_boot_ms (), entry != NULL ? on_strike_send_done : NULL,
                    entry);
}

bool
strike_broadcast_is_finished (void *context, const char *fingerprint)
{
  struct strike_broadcast *broadcast = context;
  struct strike_broadcast_entry *entry;

  HASH_FIND_STR (broadcast->entries, fingerprint, entry);
  return entry == NULL;
}
