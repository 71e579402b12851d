#include "member.h"

#include <stdlib.h>
#include <string.h>

/*
 * An update is sent on TRANSMIT_FACTOR messages per doubling of the number of
 * members; 3 is SWIM's usual factor.
 */
#define TRANSMIT_FACTOR 3

static unsigned
compute_transmit_count (const struct member_table *table)
{
  unsigned doublings = 1;
  unsigned count = HASH_COUNT (table->members) + 1;

  while (count > 1)
    {
      doublings++;
      count /= 2;
    }
  return TRANSMIT_FACTOR * doublings;
}

/* SWIM's order: within one incarnation the worse state wins. */
static bool
update_supersedes (const struct member_update *update,
                   const struct member_update *known)
{
  if (update->incarnation != known->incarnation)
    return update->incarnation > known->incarnation;
  return update->state > known->state;
}

static void
refute_update (struct member_table *table, const struct member_update *update)
{
  if (update->incarnation < table->self.incarnation
      || update->state == MEMBER_ALIVE || table->self.state != MEMBER_ALIVE)
    return;
  table->self.incarnation = update->incarnation + 1;
  table->refutations++;
}

static struct member *
add_member (struct member_table *table, const struct member_update *update)
{
  struct member *member = calloc (1, sizeof *member);

  if (member == NULL)
    return NULL;
  member->info = *update;
  member->last_seen_ms = INT64_MIN;
  member->ping_order = table->round << 32 | (rng_next (&table->rng) >> 32);
  HASH_ADD (hh, table->members, info.host, strlen (member->info.host), member);
  return member;
}

static void
apply_update (struct member_table *table,
              const struct member_update *update,
              int64_t now_ms)
{
  struct member *member;

  if (strcmp (update->host, table->self.host) == 0)
    {
      refute_update (table, update);
      return;
    }
  member = member_find (table, update->host);
  if (member == NULL)
    {
      /* A dead or left member that is unknown here need not be added. */
      if (update->state == MEMBER_DEAD || update->state == MEMBER_LEFT)
        return;
      member = add_member (table, update);
      if (member == NULL)
        return;
    }
  else if (!update_supersedes (update, &member->info))
    return;
  if (member->info.state != update->state)
    member->state_changed_ms = now_ms;
  member->info = *update;
  member->pending_sends = compute_transmit_count (table);
}

void
member_on_message (struct member_table *table,
                   const struct member_update *sender,
                   const struct member_versions *versions,
                   const struct member_update *updates,
                   size_t count,
                   int64_t now_ms)
{
  struct member *member;

  if (strcmp (sender->host, table->self.host) == 0)
    return;
  apply_update (table, sender, now_ms);
  member = member_find (table, sender->host);
  /* A message of an earlier process of that host is outdated. */
  if (member != NULL && sender->incarnation >= member->info.incarnation)
    {
      member->last_seen_ms = now_ms;
      member->versions = *versions;
    }
  for (size_t i = 0; i < count; i++)
    apply_update (table, &updates[i], now_ms);
}

static bool
is_selected (const struct member **selected,
             size_t count,
             const struct member *member)
{
  for (size_t i = 0; i < count; i++)
    if (selected[i] == member)
      return true;
  return false;
}

static struct member *
find_most_pending (const struct member_table *table,
                   const struct member **selected,
                   size_t count)
{
  struct member *best = NULL;

  for (struct member *member = table->members; member != NULL;
       member = member->hh.next)
    if (!is_selected (selected, count, member) && member->pending_sends > 0
        && (best == NULL || member->pending_sends > best->pending_sends))
      best = member;
  return best;
}

size_t
member_collect_updates (struct member_table *table,
                        const char *host,
                        struct member_update *updates)
{
  const struct member *selected[MEMBER_UPDATES_LIMIT];
  struct member *receiver = host != NULL ? member_find (table, host) : NULL;
  size_t count = 0;

  if (receiver != NULL && receiver->info.state != MEMBER_ALIVE)
    {
      selected[count] = receiver;
      updates[count++] = receiver->info;
    }
  while (count < MEMBER_UPDATES_LIMIT)
    {
      struct member *member = find_most_pending (table, selected, count);

      if (member == NULL)
        break;
      member->pending_sends--;
      selected[count] = member;
      updates[count++] = member->info;
    }
  /*
   * Unused capacity carries random live members, so that a newly started host
   * soon learns of members whose state has not changed for a while.
   */
  for (unsigned tries = 0;
       tries < MEMBER_UPDATES_LIMIT && count < MEMBER_UPDATES_LIMIT
       && table->members != NULL;
       tries++)
    {
      size_t skip = rng_below (&table->rng, HASH_COUNT (table->members));
      struct member *member = table->members;

      while (skip-- > 0)
        member = member->hh.next;
      if (is_selected (selected, count, member) || !member_is_live (member))
        continue;
      selected[count] = member;
      updates[count++] = member->info;
    }
  return count;
}

void
member_leave (struct member_table *table)
{
  table->self.incarnation++;
  table->self.state = MEMBER_LEFT;
}
