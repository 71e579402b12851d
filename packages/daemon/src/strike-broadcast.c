#include "strike-broadcast.h"

#include "log.h"
#include "timeutil.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHECK_INTERVAL_MS 250
/* Traits with fewer strikes are not sent to peers that join. */
#define SENT_STRIKES 2

void
strike_broadcast_init (struct strike_broadcast *broadcast,
                       struct peer_node *peers,
                       bool has_peers,
                       int64_t now_ms)
{
  memset (broadcast, 0, sizeof *broadcast);
  broadcast->peers = peers;
  broadcast->has_joined = !has_peers;
  broadcast->started_ms = now_ms;
  LIST_INIT (&broadcast->handovers);
}

void
strike_broadcast_finish (struct strike_broadcast *broadcast)
{
  struct strike_broadcast_entry *entry = broadcast->entries;
  struct strike_handover *handover;

  while ((handover = LIST_FIRST (&broadcast->handovers)) != NULL)
    {
      LIST_REMOVE (handover, link);
      free (handover);
    }
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
  int64_t now_ms = time_boot_ms ();

  strike_broadcast_remember (broadcast, fingerprint, host, boot_id, now_ms);
  if (entry != NULL)
    entry->pending_count++;
  peer_send_strike (broadcast->peers, fingerprint, host, boot_id, now_ms,
                    entry != NULL ? on_strike_send_done : NULL, entry);
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
                           const char *boot_id,
                           int64_t at_ms)
{
  struct recent_strike *strike
      = &broadcast->recent[broadcast->recent_added++ % STRIKE_BROADCAST_RECENT];

  strike->at_ms = at_ms;
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
on_handover_send_done (void *context)
{
  struct strike_handover *handover = context;

  if (--handover->pending_count > 0)
    return;
  peer_send_strikes_told (handover->broadcast->peers, handover->receiver,
                          time_boot_ms ());
  LIST_REMOVE (handover, link);
  free (handover);
}

static void
send_recent_strikes (struct strike_broadcast *broadcast,
                     const struct strikes *strikes,
                     const char *receiver,
                     int64_t now_ms)
{
  struct strike_handover *handover = calloc (1, sizeof *handover);

  /* Without memory the receiver waits for its timeout. */
  if (handover != NULL)
    {
      handover->broadcast = broadcast;
      snprintf (handover->receiver, sizeof handover->receiver, "%s", receiver);
      handover->pending_count = 1; /* until all are sent */
      LIST_INSERT_HEAD (&broadcast->handovers, handover, link);
    }
  for (unsigned i = 0; i < STRIKE_BROADCAST_RECENT; i++)
    {
      const struct recent_strike *strike = &broadcast->recent[i];

      if (strike->trait[0] != '\0'
          && strikes_count (strikes, strike->trait, now_ms) >= SENT_STRIKES)
        {
          if (handover != NULL)
            handover->pending_count++;
          peer_tell_strike (
              broadcast->peers, receiver, strike->trait, strike->host,
              strike->boot_id, strike->at_ms, now_ms,
              handover != NULL ? on_handover_send_done : NULL, handover);
        }
    }
  if (handover != NULL)
    on_handover_send_done (handover);
}

void
strike_broadcast_note_told (struct strike_broadcast *broadcast,
                            const char *from)
{
  for (unsigned i = 0; i < broadcast->told_count; i++)
    if (strcmp (broadcast->told[i], from) == 0)
      return;
  if (broadcast->told_count < STRIKE_BROADCAST_PEERS)
    snprintf (broadcast->told[broadcast->told_count++], MEMBER_NAME_SIZE, "%s",
              from);
}

static bool
has_told (const struct strike_broadcast *broadcast, const char *host)
{
  for (unsigned i = 0; i < broadcast->told_count; i++)
    if (strcmp (broadcast->told[i], host) == 0)
      return true;
  return false;
}

static bool
is_live_peer (const struct strike_broadcast *broadcast,
              const struct member *member)
{
  return member_is_live (member)
         && strcmp (member->info.data_centre,
                    broadcast->peers->members->self.data_centre)
                == 0;
}

/* True if there are live peers, and all have told their strikes. */
static bool
have_all_told (const struct strike_broadcast *broadcast)
{
  if (broadcast->told_count == 0)
    return false;
  for (const struct member *member = broadcast->peers->members->members;
       member != NULL; member = member->hh.next)
    if (is_live_peer (broadcast, member)
        && !has_told (broadcast, member->info.host))
      return false;
  return true;
}

static void
check_joined (struct strike_broadcast *broadcast, int64_t now_ms)
{
  int64_t waited_ms = now_ms - broadcast->started_ms;

  if (broadcast->has_joined
      || (!have_all_told (broadcast)
          && waited_ms < STRIKE_BROADCAST_JOIN_TIMEOUT_MS))
    return;
  broadcast->has_joined = true;
  LOG_EVENT (LOG_LEVEL_NOTICE, "strikes-known",
             LOG_U64 ("peers", broadcast->told_count),
             LOG_INT ("waited_ms", waited_ms));
}

void
strike_broadcast_tick (struct strike_broadcast *broadcast,
                       const struct strikes *strikes,
                       int64_t now_ms)
{
  const struct member_table *members = broadcast->peers->members;
  struct informed_peer informed[STRIKE_BROADCAST_PEERS];
  unsigned count = 0;

  check_joined (broadcast, now_ms);
  if (now_ms < broadcast->next_check_ms)
    return;
  broadcast->next_check_ms = now_ms + CHECK_INTERVAL_MS;
  for (const struct member *member = members->members;
       member != NULL && count < STRIKE_BROADCAST_PEERS;
       member = member->hh.next)
    {
      if (!is_live_peer (broadcast, member))
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
