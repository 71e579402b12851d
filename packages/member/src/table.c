#include "member.h"

#include "hash.h"
#include "member-internal.h"

#include <stdlib.h>
#include <string.h>

void
member_init (struct member_table *table,
             const struct member_update *self,
             uint64_t seed,
             int64_t now_ms)
{
  memset (table, 0, sizeof *table);
  table->self = *self;
  table->self.state = MEMBER_ALIVE;
  TAILQ_INIT (&table->probes);
  TAILQ_INIT (&table->actions);
  rng_init (&table->rng, seed);
  table->next_probe_id = 1;
  table->next_ping_ms = now_ms;
  table->next_remote_ping_ms = now_ms;
  table->next_seed_ping_ms = now_ms;
  table->last_tick_ms = now_ms;
}

void
member_finish (struct member_table *table)
{
  struct member *member = table->members;
  struct member_probe *probe;
  struct member_action *action;

  HASH_CLEAR (hh, table->members);
  while (member != NULL)
    {
      struct member *next = member->hh.next;

      free (member);
      member = next;
    }
  while ((probe = TAILQ_FIRST (&table->probes)) != NULL)
    {
      TAILQ_REMOVE (&table->probes, probe, link);
      free (probe);
    }
  while ((action = TAILQ_FIRST (&table->actions)) != NULL)
    {
      TAILQ_REMOVE (&table->actions, action, link);
      free (action);
    }
}

enum result
member_add_seed (struct member_table *table, const char *address, uint16_t port)
{
  struct member_seed *seed;

  if (table->seed_count == MEMBER_SEEDS_LIMIT
      || strlen (address) >= sizeof seed->address)
    return RESULT_TOO_LARGE;
  seed = &table->seeds[table->seed_count++];
  memcpy (seed->address, address, strlen (address) + 1);
  seed->port = port;
  return RESULT_OK;
}

struct member *
member_find (const struct member_table *table, const char *host)
{
  struct member *member;

  HASH_FIND_STR (table->members, host, member);
  return member;
}

void
member_remove (struct member_table *table, struct member *member)
{
  HASH_DEL (table->members, member);
  free (member);
}

bool
member_is_live (const struct member *member)
{
  return member->info.state == MEMBER_ALIVE
         || member->info.state == MEMBER_SUSPECT;
}

static bool
is_in_data_centre (const struct member_update *info, const char *data_centre)
{
  return data_centre == NULL || strcmp (info->data_centre, data_centre) == 0;
}

size_t
member_count_live (const struct member_table *table, const char *data_centre)
{
  size_t count = is_in_data_centre (&table->self, data_centre) ? 1 : 0;

  for (const struct member *member = table->members; member != NULL;
       member = member->hh.next)
    if (member_is_live (member)
        && is_in_data_centre (&member->info, data_centre))
      count++;
  return count;
}

/* Equal scores are ordered by name, so that all members compute one order. */
static bool
is_ranked_before (uint64_t score,
                  const char *host,
                  uint64_t other_score,
                  const char *other)
{
  if (score != other_score)
    return score > other_score;
  return strcmp (host, other) < 0;
}

size_t
member_rank (const struct member_table *table,
             const char *data_centre,
             const char *host,
             const char *key)
{
  uint64_t score = hash_rendezvous (host, key);
  bool found = false;
  size_t rank = 0;

  if (is_in_data_centre (&table->self, data_centre))
    {
      if (strcmp (table->self.host, host) == 0)
        found = true;
      else if (is_ranked_before (hash_rendezvous (table->self.host, key),
                                 table->self.host, score, host))
        rank++;
    }
  for (const struct member *member = table->members; member != NULL;
       member = member->hh.next)
    {
      if (!member_is_live (member)
          || !is_in_data_centre (&member->info, data_centre))
        continue;
      if (strcmp (member->info.host, host) == 0)
        found = true;
      else if (is_ranked_before (hash_rendezvous (member->info.host, key),
                                 member->info.host, score, host))
        rank++;
    }
  return found ? rank : SIZE_MAX;
}

const char *
member_state_name (enum member_state state)
{
  switch (state)
    {
    case MEMBER_ALIVE:
      return "alive";
    case MEMBER_SUSPECT:
      return "suspect";
    case MEMBER_DEAD:
      return "dead";
    case MEMBER_LEFT:
      return "left";
    }
  return "unknown";
}
