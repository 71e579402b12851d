#include "formation.h"

#include "formation-internal.h"

#include <stdlib.h>
#include <string.h>

const char *
formation_op_name (enum formation_op op)
{
  static const char *const names[] = {
    [FORMATION_JOIN] = "join",   [FORMATION_OPEN] = "open",
    [FORMATION_DRAIN] = "drain", [FORMATION_EVICT] = "evict",
    [FORMATION_LEAVE] = "leave", [FORMATION_PREFETCH] = "stage",
  };

  return names[op];
}

const char *
formation_phase_name (enum formation_phase phase)
{
  static const char *const names[] = {
    [FORMATION_JOINING] = "joining", [FORMATION_OPENING] = "opening",
    [FORMATION_SERVING] = "serving", [FORMATION_RETIRING] = "retiring",
    [FORMATION_FAILED] = "failed",   [FORMATION_DISSOLVED] = "gone",
  };

  return names[phase];
}

void
formation_init (struct formation *formation,
                const struct formation_settings *settings)
{
  memset (formation, 0, sizeof *formation);
  formation->settings = *settings;
  TAILQ_INIT (&formation->groups);
}

struct formation_group *
formation_new_group (void)
{
  struct formation_group *group = calloc (1, sizeof *group);

  if (group == NULL)
    return NULL;
  text_pool_init (&group->texts);
  group->name = group->service = group->model = group->domain = "";
  for (unsigned rank = 0; rank < FORMATION_SIZE_LIMIT; rank++)
    group->members[rank] = "";
  return group;
}

void
formation_free_group (struct formation_group *group)
{
  text_pool_finish (&group->texts);
  free (group);
}

static void
clear_state (struct formation *formation)
{
  struct formation_member *member = formation->members;
  struct formation_group *group;

  HASH_CLEAR (hh, formation->members);
  while (member != NULL)
    {
      struct formation_member *next = member->hh.next;

      formation_free_member (member);
      member = next;
    }
  while ((group = TAILQ_FIRST (&formation->groups)) != NULL)
    {
      TAILQ_REMOVE (&formation->groups, group, link);
      formation_free_group (group);
    }
}

void
formation_finish (struct formation *formation)
{
  clear_state (formation);
}

uint64_t
formation_get_fence (uint64_t epoch)
{
  return epoch >> FORMATION_EPOCH_SHIFT;
}

void
formation_set_fence (struct formation *formation,
                     uint64_t fence,
                     int64_t now_ms)
{
  if (formation->fence == fence)
    return;
  formation->fence = fence;
  if (fence == 0)
    return;
  clear_state (formation);
  /* Restarts the count only under a new fencing token: names never repeat. */
  if (fence > formation->last_fence)
    formation->formed_count = 0;
  formation->formed_before = formation->formed_count;
  formation->last_fence = fence;
  formation->held_since_ms = now_ms;
  formation->max_usable = 0;
  formation->max_usable_ms = now_ms;
  formation->refilled_ms = now_ms;
  formation->load_tokens = 0;
}

static const struct formation_group *
find_group_of_epoch (const struct formation *formation, uint64_t epoch)
{
  const struct formation_group *group;

  TAILQ_FOREACH (group, &formation->groups, link)
    if (group->epoch == epoch)
      return group;
  return NULL;
}

bool
formation_is_order_current (const struct formation *formation,
                            enum formation_op op,
                            const char *endpoint,
                            const char *group,
                            uint64_t epoch)
{
  const struct formation_group *found;
  const struct formation_member *member;

  switch (op)
    {
    case FORMATION_JOIN:
      HASH_FIND_STR (formation->members, endpoint, member);
      if (member == NULL || member->joined_epoch != epoch)
        return false;
      if (formation_is_spare_group (group))
        return member->group == NULL;
      return member->group != NULL && member->group->epoch == epoch
             && member->group->phase == FORMATION_JOINING;
    case FORMATION_OPEN:
      found = find_group_of_epoch (formation, epoch);
      return found != NULL && found->phase == FORMATION_OPENING;
    case FORMATION_DRAIN:
    case FORMATION_EVICT:
    case FORMATION_LEAVE:
    case FORMATION_PREFETCH:
      return true;
    }
  return false;
}

bool
formation_is_settled (const struct formation *formation)
{
  const struct formation_group *group;

  TAILQ_FOREACH (group, &formation->groups, link)
    if (group->phase != FORMATION_SERVING)
      return false;
  return true;
}

/* Removes dissolved groups and unlinks their members. */
static void
remove_dissolved_groups (struct formation *formation)
{
  struct formation_group *group = TAILQ_FIRST (&formation->groups);

  while (group != NULL)
    {
      struct formation_group *next = TAILQ_NEXT (group, link);

      if (group->phase == FORMATION_DISSOLVED)
        {
          for (struct formation_member *member = formation->members;
               member != NULL; member = member->hh.next)
            if (member->group == group)
              {
                member->group = NULL;
                member->abandoned_epoch = group->epoch;
              }
          TAILQ_REMOVE (&formation->groups, group, link);
          formation_free_group (group);
        }
      group = next;
    }
}

void
formation_tick (struct formation *formation,
                const struct endpoints *endpoints,
                const struct catalog *catalog,
                const struct formation_hooks *hooks,
                int64_t now_ms)
{
  struct formation_run run = { formation, endpoints, catalog, hooks, now_ms };

  if (formation->fence == 0 || catalog == NULL)
    return;
  formation_remove_stale_members (&run);
  formation_adopt_groups (&run);
  formation_advance_groups (&run);
  remove_dissolved_groups (formation);
  formation_form_groups (&run);
}
