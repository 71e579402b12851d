#include "member-internal.h"
#include "member.h"

#include <stdlib.h>
#include <string.h>

/*
 * A longer gap between two ticks means that this process was paused; that it
 * received nothing in the gap does not count against other members.
 */
#define PAUSE_THRESHOLD_MS 1000

struct member_action *
member_next_action (struct member_table *table)
{
  struct member_action *action = TAILQ_FIRST (&table->actions);

  if (action != NULL)
    TAILQ_REMOVE (&table->actions, action, link);
  return action;
}

void
member_action_free (struct member_action *action)
{
  free (action);
}

static void
push_action (struct member_table *table,
             enum member_action_kind kind,
             const char *address,
             uint16_t port,
             uint64_t probe_id,
             const struct member_update *target)
{
  struct member_action *action = calloc (1, sizeof *action);

  if (action == NULL)
    return;
  action->kind = kind;
  memcpy (action->address, address, strlen (address) + 1);
  action->port = port;
  action->probe_id = probe_id;
  if (target != NULL)
    action->target = *target;
  TAILQ_INSERT_TAIL (&table->actions, action, link);
}

static void
start_probe (struct member_table *table,
             const char *host,
             const char *address,
             uint16_t port,
             int64_t now_ms)
{
  struct member_probe *probe = calloc (1, sizeof *probe);

  if (probe == NULL)
    return;
  probe->id = table->next_probe_id++;
  probe->started_ms = now_ms;
  memcpy (probe->host, host, strlen (host) + 1);
  TAILQ_INSERT_TAIL (&table->probes, probe, link);
  push_action (table, MEMBER_SEND_PING, address, port, probe->id, NULL);
}

static bool
is_local (const struct member_table *table, const struct member *member)
{
  return strcmp (member->info.data_centre, table->self.data_centre) == 0;
}

/*
 * Picks the next live member in the random order of the ping round.  Each round
 * reaches every member once, which bounds the time until a failure is detected.
 */
static struct member *
pick_next_in_round (struct member_table *table, bool local)
{
  struct member *best = NULL;

  for (struct member *member = table->members; member != NULL;
       member = member->hh.next)
    if (member_is_live (member) && is_local (table, member) == local
        && (best == NULL || member->ping_order < best->ping_order))
      best = member;
  if (best != NULL)
    {
      /* The high half counts rounds, the low half is random within a round. */
      uint64_t round = (best->ping_order >> 32) + 1;

      table->round = round - 1;
      best->ping_order = round << 32 | (rng_next (&table->rng) >> 32);
    }
  return best;
}

static void
ping_next_member (struct member_table *table, bool local, int64_t now_ms)
{
  const struct member *member = pick_next_in_round (table, local);

  if (member != NULL)
    start_probe (table, member->info.host, member->info.address,
                 member->info.port, now_ms);
}

static bool
is_seed_alive (const struct member_table *table, const struct member_seed *seed)
{
  if (seed->port == table->self.port
      && strcmp (seed->address, table->self.address) == 0)
    return true;
  for (const struct member *member = table->members; member != NULL;
       member = member->hh.next)
    if (member->info.port == seed->port
        && strcmp (member->info.address, seed->address) == 0
        && member->info.state == MEMBER_ALIVE)
      return true;
  return false;
}

static void
ping_dead_member (struct member_table *table, int64_t now_ms)
{
  size_t dead = 0;
  size_t skip;

  for (const struct member *member = table->members; member != NULL;
       member = member->hh.next)
    dead += member->info.state == MEMBER_DEAD;
  if (dead == 0)
    return;
  skip = rng_below (&table->rng, dead);
  for (const struct member *member = table->members; member != NULL;
       member = member->hh.next)
    if (member->info.state == MEMBER_DEAD && skip-- == 0)
      {
        start_probe (table, member->info.host, member->info.address,
                     member->info.port, now_ms);
        return;
      }
}

/* Seeds and dead members are pinged without end, so that partitions heal. */
static void
ping_seed_and_dead_member (struct member_table *table, int64_t now_ms)
{
  ping_dead_member (table, now_ms);
  for (size_t tries = 0; tries < table->seed_count; tries++)
    {
      const struct member_seed *seed
          = &table->seeds[table->next_seed++ % table->seed_count];

      if (is_seed_alive (table, seed))
        continue;
      start_probe (table, "", seed->address, seed->port, now_ms);
      return;
    }
}

static void
send_ping_requests (struct member_table *table, struct member_probe *probe)
{
  const struct member *target = member_find (table, probe->host);
  unsigned requested = 0;

  probe->indirect = true;
  if (target == NULL)
    return;
  for (unsigned tries = 0; tries < 4 * MEMBER_INDIRECT_PINGS; tries++)
    {
      size_t skip = rng_below (&table->rng, HASH_COUNT (table->members));
      const struct member *via = table->members;

      while (skip-- > 0)
        via = via->hh.next;
      if (via == target || via->info.state != MEMBER_ALIVE)
        continue;
      push_action (table, MEMBER_SEND_PING_REQ, via->info.address,
                   via->info.port, probe->id, &target->info);
      if (++requested == MEMBER_INDIRECT_PINGS)
        return;
    }
}

static void
set_state (struct member *member, enum member_state state, int64_t now_ms)
{
  member->info.state = state;
  member->state_changed_ms = now_ms;
  member->pending_sends = 16;
}

/*
 * Notifies the member at once that it is suspect, so that it can refute in time
 * (the buddy system of Dadgar, Phillips and Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", 2017).
 */
static void
mark_suspect (struct member_table *table, struct member *member, int64_t now_ms)
{
  set_state (member, MEMBER_SUSPECT, now_ms);
  push_action (table, MEMBER_SEND_PING, member->info.address, member->info.port,
               0, NULL);
}

static void
expire_probes (struct member_table *table, int64_t now_ms)
{
  struct member_probe *probe = TAILQ_FIRST (&table->probes);

  while (probe != NULL)
    {
      struct member_probe *next = TAILQ_NEXT (probe, link);
      int64_t age = now_ms - probe->started_ms;

      if (age >= MEMBER_ACK_TIMEOUT_MS && !probe->indirect)
        send_ping_requests (table, probe);
      if (age >= MEMBER_PROBE_TIMEOUT_MS)
        {
          struct member *member = member_find (table, probe->host);

          TAILQ_REMOVE (&table->probes, probe, link);
          free (probe);
          if (member != NULL && member->info.state == MEMBER_ALIVE)
            mark_suspect (table, member, now_ms);
        }
      probe = next;
    }
}

static void
expire_members (struct member_table *table, int64_t now_ms)
{
  struct member *expired = NULL;

  for (struct member *member = table->members; member != NULL;
       member = member->hh.next)
    {
      int64_t age = now_ms - member->state_changed_ms;

      if (member->info.state == MEMBER_SUSPECT
          && age >= MEMBER_SUSPICION_TIMEOUT_MS)
        set_state (member, MEMBER_DEAD, now_ms);
      else if (!member_is_live (member) && age >= MEMBER_RETENTION_MS)
        expired = member;
    }
  /* Removing one per tick keeps up with any rate of failures. */
  if (expired != NULL)
    member_remove (table, expired);
}

/* Extends all timeouts by the time that this process was paused. */
static void
extend_timeouts (struct member_table *table, int64_t paused_ms)
{
  struct member_probe *probe;

  TAILQ_FOREACH (probe, &table->probes, link)
    probe->started_ms += paused_ms;
  for (struct member *member = table->members; member != NULL;
       member = member->hh.next)
    if (member->info.state == MEMBER_SUSPECT)
      member->state_changed_ms += paused_ms;
}

void
member_tick (struct member_table *table, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - table->last_tick_ms;

  table->last_tick_ms = now_ms;
  if (elapsed_ms > PAUSE_THRESHOLD_MS)
    extend_timeouts (table, elapsed_ms);
  expire_probes (table, now_ms);
  expire_members (table, now_ms);
  if (now_ms >= table->next_ping_ms)
    {
      table->next_ping_ms = now_ms + MEMBER_PING_INTERVAL_MS;
      ping_next_member (table, true, now_ms);
    }
  if (now_ms >= table->next_remote_ping_ms)
    {
      table->next_remote_ping_ms = now_ms + MEMBER_REMOTE_PING_INTERVAL_MS;
      ping_next_member (table, false, now_ms);
    }
  if (now_ms >= table->next_seed_ping_ms)
    {
      table->next_seed_ping_ms = now_ms + MEMBER_SEED_PING_INTERVAL_MS;
      ping_seed_and_dead_member (table, now_ms);
    }
}

void
member_on_ack (struct member_table *table, uint64_t probe_id)
{
  struct member_probe *probe;

  TAILQ_FOREACH (probe, &table->probes, link)
    if (probe->id == probe_id)
      {
        TAILQ_REMOVE (&table->probes, probe, link);
        free (probe);
        return;
      }
}
