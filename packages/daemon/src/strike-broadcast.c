#include "strike-broadcast.h"

#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHECK_INTERVAL_MS 250
/* Traits with fewer strikes are not sent to peers that join. */
#define SENT_STRIKES 2

void
strike_broadcast_init (struct strike_broadcast *broadcast,
                       struct peer_node *peers)
{
  memset (broadcast, 0, sizeof *broadcast);
  broadcast->peers = peers;
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

  strike_broadcast_remember (broadcast, fingerprint, host, boot_id);
  if (entry != NULL)
    entry->pending_count++;
  peer_send_strike (broadcast->peers, NULL, fingerprint, host, boot_id,
                    time_boot_ms (), entry != NULL ? on_strike_send_done : NULL,
                    entry);
}

void
strike_broadcast_send_answer (void *context, const char *trait)
{
  struct strike_broadcast *broadcast = context;

  peer_send_answer (broadcast->peers, trait, time_boot_ms ());
}

void
strike_broadcast_remember (struct strike_broadcast *broadcast,
                           const char *trait,
                           const char *host,
                           const char *boot_id)
{
  struct recent_strike *strike
      = &broadcast->recent[broadcast->recent_added++ % STRIKE_BROADCAST_RECENT];

  snprintf (strike->trait, sizeof strike->trait, "%s", trait);
  snprintf (strike->host, sizeof strike->host, "%s", host);
  snprintf (strike->boot_id, sizeof strike->boot_id, "%s", boot_id);
}

static bool
is_informed (const struct strike_broadcast *broadcast,
             const struct member *member)
{
  for (unsigned i = 0; i < broadcast->informed_count; i++)
    if (broadcast->informed[i].incarnation == member->info.incarnation
        && strcmp (broadcast->informed[i].host, member->info.host) == 0)
      return true;
  return false;
}

static void
send_recent_strikes (struct strike_broadcast *broadcast,
                     const struct strikes *strikes,
                     const char *receiver,
                     int64_t now_ms)
{
  for (unsigned i = 0; i < STRIKE_BROADCAST_RECENT; i++)
    {
      const struct recent_strike *strike = &broadcast->recent[i];

      if (strike->trait[0] != '\0'
          && strikes_count (strikes, strike->trait, now_ms) >= SENT_STRIKES)
        peer_send_strike (broadcast->peers, receiver, strike->trait,
                          strike->host, strike->boot_id, now_ms, NULL, NULL);
    }
}

void
strike_broadcast_tick (struct strike_broadcast *broadcast,
                       const struct strikes *strikes,
                       int64_t now_ms)
{
  const struct member_table *members = broadcast->peers->members;
  struct informed_peer informed[STRIKE_BROADCAST_PEERS];
  unsigned count = 0;

  if (now_ms < broadcast->next_check_ms)
    return;
  broadcast->next_check_ms = now_ms + CHECK_INTERVAL_MS;
  for (const struct member *member = members->members;
       member != NULL && count < STRIKE_BROADCAST_PEERS;
       member = member->hh.next)
    {
      if (!member_is_live (member)
          || strcmp (member->info.data_centre, members->self.data_centre) != 0)
        continue;
      if (!is_informed (broadcast, member))
        send_recent_strikes (broadcast, strikes, member->info.host, now_ms);
      informed[count].incarnation = member->info.incarnation;
      snprintf (informed[count++].host, MEMBER_NAME_SIZE, "%s",
                member->info.host);
    }
  memcpy (broadcast->informed, informed, count * sizeof informed[0]);
  broadcast->informed_count = count;
}

bool
strike_broadcast_is_finished (void *context, const char *fingerprint)
{
  struct strike_broadcast *broadcast = context;
  struct strike_broadcast_entry *entry;

  HASH_FIND_STR (broadcast->entries, fingerprint, entry);
  return entry == NULL;
}
