#include "strike-sync.h"

#include <stdio.h>
#include <string.h>

/* Copies of each change that are sent. */
#define COPIES 2
/*
 * Interval between two messages: a hub of 40 hosts sends each of them 1 KB.
 */
#define SEND_INTERVAL_MS 50
/* Interval at which traits with several strikes are repeated. */
#define REPEAT_INTERVAL_MS 1000
#define REPEATED_STRIKES 2

void
strike_sync_init (struct strike_sync *sync,
                  struct mesh *mesh,
                  struct strikes *strikes)
{
  memset (sync, 0, sizeof *sync);
  sync->mesh = mesh;
  sync->strikes = strikes;
  strikes->copies = COPIES;
}

static void
merge_strike (struct strikes *strikes,
              const struct gossip_strike *received,
              unsigned copies,
              int64_t now_ms)
{
  const struct strike_report report = {
    .kind = received->is_part ? STRIKES_PART : STRIKES_REQUEST,
    .trait = received->trait,
    .crash = received->crash,
    .at_ms = now_ms - (int64_t)received->age_ms,
    .copies = copies,
  };

  if (received->crash == 0)
    strikes_clear (strikes, received->trait, report.at_ms, copies);
  else
    strikes_add_report (strikes, &report, now_ms);
}

void
strike_sync_handle_message (struct strike_sync *sync,
                            const struct mesh_host *from,
                            const struct gossip_strikes *received,
                            int64_t now_ms)
{
  /* What a hub sends to its hosts, they need not send back to it. */
  bool is_passed_on
      = mesh_is_hub (sync->mesh) || !mesh_is_own_hub (sync->mesh, from);

  for (unsigned i = 0; i < received->count; i++)
    merge_strike (sync->strikes, &received->list[i], is_passed_on ? COPIES : 0,
                  now_ms);
}

static void
add_record (struct gossip_strikes *message,
            const struct strike_entry *entry,
            uint64_t crash,
            int64_t age_ms)
{
  struct gossip_strike *strike = &message->list[message->count++];

  snprintf (strike->trait, sizeof strike->trait, "%s", entry->trait);
  strike->is_part = entry->kind == STRIKES_PART;
  strike->crash = crash;
  strike->age_ms = age_ms > 0 ? (uint32_t)age_ms : 0;
}

/* Adds all that is known of the trait; false if it does not fit. */
static bool
add_entry (struct gossip_strikes *message,
           const struct strike_entry *entry,
           int64_t now_ms)
{
  bool is_answered = entry->answered_ms != STRIKES_NEVER;

  if (message->count + entry->strike_count + (is_answered ? 1 : 0)
      > GOSSIP_STRIKE_LIMIT)
    return false;
  /* Strikes come first: an answer for an unknown trait is ignored. */
  for (unsigned i = 0; i < entry->strike_count; i++)
    add_record (message, entry, entry->strikes[i].crash,
                now_ms - entry->strikes[i].at_ms);
  if (is_answered)
    add_record (message, entry, 0, now_ms - entry->answered_ms);
  return true;
}

static void
add_unsent (struct strike_sync *sync,
            struct gossip_strikes *message,
            enum strikes_kind kind,
            int64_t now_ms)
{
  for (struct strike_entry *entry = sync->strikes->entries; entry != NULL;
       entry = entry->hh.next)
    {
      if (entry->unsent == 0 || entry->kind != kind)
        continue;
      if (!add_entry (message, entry, now_ms))
        return;
      entry->unsent--;
    }
}

void
strike_sync_host_started (struct strike_sync *sync)
{
  for (struct strike_entry *entry = sync->strikes->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->unsent == 0)
      entry->unsent = 1;
}

static void
repeat_strikes (struct strike_sync *sync, int64_t now_ms)
{
  if (now_ms < sync->next_repeat_ms)
    return;
  sync->next_repeat_ms = now_ms + REPEAT_INTERVAL_MS;
  for (struct strike_entry *entry = sync->strikes->entries; entry != NULL;
       entry = entry->hh.next)
    if (entry->unsent == 0
        && strikes_count (sync->strikes, entry->trait, now_ms)
               >= REPEATED_STRIKES)
      entry->unsent = 1;
}

void
strike_sync_tick (struct strike_sync *sync, int64_t now_ms)
{
  struct gossip_message *message = &sync->mesh->message;

  if (sync->strikes->entries == NULL || now_ms < sync->next_send_ms)
    return;
  repeat_strikes (sync, now_ms);
  message->kind = GOSSIP_STRIKES;
  message->body.strikes.count = 0;
  add_unsent (sync, &message->body.strikes, STRIKES_PART, now_ms);
  add_unsent (sync, &message->body.strikes, STRIKES_REQUEST, now_ms);
  if (message->body.strikes.count == 0)
    return;
  sync->next_send_ms = now_ms + SEND_INTERVAL_MS;
  mesh_distribute (sync->mesh, message);
}
