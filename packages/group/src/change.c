#include "work.h"

#include <string.h>

/* Removal and update of groups after a change of the sheet. */

static const char *
illegal_reason (const struct work_group *group)
{
  if (group->spec == NULL)
    return "the sheet has no such group";
  if (!group->spec->here)
    return "the sheet no longer permits this data centre";
  if (!group->spec->valid)
    return "the spec's span or adapters are out of range";
  if (strcmp (group->spec->row->model, group->group.model) != 0)
    return "the sheet names another model";
  if (group->spec->row->span != group->group.span)
    return "the sheet wants another span";
  return "a member is in a place that is not permitted";
}

static void
dissolve (struct work *work, struct work_group *group, const char *reason)
{
  if (!work_drained (work, group, reason))
    return;
  work_decide (work, PLACEMENT_DISSOLVE, true, group->spec, group, "%s",
               reason);
  work_remove (work, group);
}

/* Broken groups go before whole ones, the newest first. */
static bool
goes_before (const struct work_group *a, const struct work_group *b)
{
  if (a->group.draining != b->group.draining)
    return a->group.draining;
  if (a->absent + a->leaving != b->absent + b->leaving)
    return a->absent + a->leaving > b->absent + b->leaving;
  if (a->whole != b->whole)
    return !a->whole;
  return a->number > b->number;
}

static void
remove_surplus (struct work *work, struct work_spec *spec)
{
  while (spec->kept > spec->part)
    {
      struct work_group *last = NULL;

      for (size_t i = 0; i < work->group_count; i++)
        {
          struct work_group *group = &work->groups[i];

          if (group->spec == spec && group->legal && group->level > 0
              && (last == NULL || goes_before (group, last)))
            last = group;
        }
      if (last == NULL)
        return;
      last->level = 0;
      spec->kept--;
      dissolve (work, last, "this data centre is to have fewer of its groups");
    }
}

/* Groups that stay are numbered by level: 1 for the first of its spec. */
static void
set_levels (struct work *work)
{
  for (size_t i = 0; i < work->spec_count; i++)
    work->specs[i].kept = 0;
  for (size_t i = 0; i < work->group_count; i++)
    {
      struct work_group *group = &work->groups[i];

      if (group->legal && group->level > 0)
        group->level = ++group->spec->kept;
    }
}

void
work_remove_unwanted (struct work *work)
{
  for (size_t i = 0; i < work->group_count; i++)
    {
      struct work_group *group = &work->groups[i];

      if (group->legal)
        {
          group->level = 1;
          group->spec->kept++;
        }
      else
        dissolve (work, group, illegal_reason (group));
    }
  for (size_t i = 0; i < work->spec_count; i++)
    remove_surplus (work, &work->specs[i]);
  set_levels (work);
}

/* A group that waits for its members to load holds up the next update. */
static bool
is_changing (const struct work_group *group)
{
  return !group->outdated && !group->whole
         && group->absent + group->leaving == 0;
}

/* The next group of the spec to update: one out of service first. */
static struct work_group *
next_update (struct work *work, const struct work_spec *spec)
{
  struct work_group *next = NULL;

  for (size_t i = 0; i < work->group_count; i++)
    {
      struct work_group *group = &work->groups[i];

      /* A group with missing members takes the new contents when repaired. */
      if (group->spec != spec || group->level == 0 || !group->outdated
          || group->removed || group->absent + group->leaving > 0)
        continue;
      if (next == NULL || (group->group.draining && !next->group.draining)
          || (group->group.draining == next->group.draining && next->whole
              && !group->whole))
        next = group;
    }
  return next;
}

static void
update_spec (struct work *work, struct work_spec *spec)
{
  struct work_group *group = next_update (work, spec);
  struct placement_decision *decision;

  if (group == NULL)
    return;
  for (size_t i = 0; i < work->group_count; i++)
    if (work->groups[i].spec == spec && work->groups[i].level > 0
        && is_changing (&work->groups[i]))
      {
        work_decide (work, PLACEMENT_WAIT, false, spec, group,
                     "version %s waits until %s serves", spec->version,
                     work->groups[i].group.id);
        return;
      }
  if (!work_drained (work, group, "its version or adapters change"))
    return;
  decision = work_decide (work, PLACEMENT_UPDATE, true, spec, group,
                          "version %s to %s, adapters '%.30s' to '%.30s'",
                          group->group.version, spec->version,
                          group->group.adapters, spec->adapters);
  work_reject (decision, "all groups of the spec at once: none would serve");
  work_renew (work, group);
}

void
work_update (struct work *work)
{
  for (size_t i = 0; i < work->spec_count; i++)
    if (work->specs[i].valid)
      update_spec (work, &work->specs[i]);
}
