#include "placement-context.h"

#include <string.h>

/* Removal and update of groups after a change of the sheet. */

static const char *
get_violation_reason (const struct context_group *group)
{
  if (group->spec == NULL)
    return "the sheet has no such group";
  if (!group->spec->permitted_here)
    return "the sheet no longer permits this data centre";
  if (!group->spec->valid)
    return "the spec's span or adapters are out of range";
  if (strcmp (group->spec->row->model, group->group.model) != 0)
    return "the sheet names another model";
  if (group->spec->row->span != group->group.span)
    return "the sheet has another span";
  return "a member is in a place that is not permitted";
}

static void
dissolve_group (struct placement_context *context,
                struct context_group *group,
                const char *reason)
{
  if (!context_drain_group (context, group, reason))
    return;
  context_add_decision (context, PLACEMENT_DISSOLVE, true, group->spec, group,
                        "%s", reason);
  context_remove_group (context, group);
}

/* Draining groups come first, then groups with missing or unready members, then
   the newest. */
static bool
is_removed_before (const struct context_group *a, const struct context_group *b)
{
  if (a->group.draining != b->group.draining)
    return a->group.draining;
  if (a->absent_count + a->leaving_count != b->absent_count + b->leaving_count)
    return a->absent_count + a->leaving_count
           > b->absent_count + b->leaving_count;
  if (a->all_ready != b->all_ready)
    return !a->all_ready;
  return a->number > b->number;
}

static void
remove_surplus_groups (struct placement_context *context,
                       struct context_spec *spec)
{
  while (spec->kept_count > spec->target_count)
    {
      struct context_group *surplus = NULL;

      for (size_t i = 0; i < context->group_count; i++)
        {
          struct context_group *group = &context->groups[i];

          if (group->spec == spec && group->conforms && group->level > 0
              && (surplus == NULL || is_removed_before (group, surplus)))
            surplus = group;
        }
      if (surplus == NULL)
        return;
      surplus->level = 0;
      spec->kept_count--;
      dissolve_group (context, surplus,
                      "this data centre is to have fewer of its groups");
    }
}

/* Numbers the groups that are kept: level 1 is the first group of its spec. */
static void
set_levels (struct placement_context *context)
{
  for (size_t i = 0; i < context->spec_count; i++)
    context->specs[i].kept_count = 0;
  for (size_t i = 0; i < context->group_count; i++)
    {
      struct context_group *group = &context->groups[i];

      if (group->conforms && group->level > 0)
        group->level = ++group->spec->kept_count;
    }
}

void
context_remove_unwanted_groups (struct placement_context *context)
{
  for (size_t i = 0; i < context->group_count; i++)
    {
      struct context_group *group = &context->groups[i];

      if (group->conforms)
        {
          group->level = 1;
          group->spec->kept_count++;
        }
      else
        dissolve_group (context, group, get_violation_reason (group));
    }
  for (size_t i = 0; i < context->spec_count; i++)
    remove_surplus_groups (context, &context->specs[i]);
  set_levels (context);
}

/* True if the group still waits for its members to load; the next update of its
   spec waits until the group serves. */
static bool
is_becoming_ready (const struct context_group *group)
{
  return !group->outdated && !group->all_ready
         && group->absent_count + group->leaving_count == 0;
}

/* Finds the next group of the spec to update, first one that does not serve. */
static struct context_group *
find_next_update (struct placement_context *context,
                  const struct context_spec *spec)
{
  struct context_group *next = NULL;

  for (size_t i = 0; i < context->group_count; i++)
    {
      struct context_group *group = &context->groups[i];

      /* A group with missing members gets the new version when it is repaired.
       */
      if (group->spec != spec || group->level == 0 || !group->outdated
          || group->removed || group->absent_count + group->leaving_count > 0)
        continue;
      if (next == NULL || (group->group.draining && !next->group.draining)
          || (group->group.draining == next->group.draining && next->all_ready
              && !group->all_ready))
        next = group;
    }
  return next;
}

static void
update_spec (struct placement_context *context, struct context_spec *spec)
{
  struct context_group *group = find_next_update (context, spec);
  struct placement_decision *decision;

  if (group == NULL)
    return;
  for (size_t i = 0; i < context->group_count; i++)
    if (context->groups[i].spec == spec && context->groups[i].level > 0
        && is_becoming_ready (&context->groups[i]))
      {
        context_add_decision (context, PLACEMENT_WAIT, false, spec, group,
                              "version %s waits until %s serves", spec->version,
                              context->groups[i].group.id);
        return;
      }
  if (!context_drain_group (context, group, "its version or adapters change"))
    return;
  decision = context_add_decision (
      context, PLACEMENT_UPDATE, true, spec, group,
      "version %s to %s, adapters '%.30s' to '%.30s'", group->group.version,
      spec->version, group->group.adapters, spec->adapters);
  context_add_rejected_option (
      decision, "all groups of the spec at once: none would serve");
  context_renew_group (context, group);
}

void
context_update_groups (struct placement_context *context)
{
  for (size_t i = 0; i < context->spec_count; i++)
    if (context->specs[i].valid)
      update_spec (context, &context->specs[i]);
}
