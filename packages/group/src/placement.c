#include "placement.h"
#include "placement-context.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
placement_settings_init (struct placement_settings *settings)
{
  *settings = (struct placement_settings){
    .downtime_weight = 1.0,
    .stranded_weight = 0.2,
    .load_ms = 60000,
    .cached_load_ms = 10000,
    .load_limit = 16,
    .drain_timeout_ms = 30000,
    .stranded_horizon_ms = 600000,
  };
}

const char *
placement_step_name (enum placement_step step)
{
  static const char *const names[] = {
    [PLACEMENT_FORM] = "form",     [PLACEMENT_REPLACE] = "replace",
    [PLACEMENT_MOVE] = "move",     [PLACEMENT_DISSOLVE] = "dissolve",
    [PLACEMENT_UPDATE] = "update", [PLACEMENT_DRAIN] = "drain",
    [PLACEMENT_WAIT] = "wait",     [PLACEMENT_UNPLACED] = "unplaced",
  };

  return names[step];
}

void
placement_init (struct placement *placement)
{
  memset (placement, 0, sizeof *placement);
}

void
placement_finish (struct placement *placement)
{
  free (placement->groups);
  free (placement->decisions);
  memset (placement, 0, sizeof *placement);
}

static bool
is_group_changed (const struct context_group *group)
{
  return group->removed || group->assigned == NULL
         || group->assigned->generation != group->group.generation
         || group->assigned->draining != group->group.draining;
}

/* Orders first groups of every spec before second ones; groups that are to be
   dissolved (level 0) come last. */
static int
compare_urgency (const void *a, const void *b)
{
  const struct context_group *x = a;
  const struct context_group *y = b;
  unsigned left = x->level > 0 ? x->level : UINT32_MAX;
  unsigned right = y->level > 0 ? y->level : UINT32_MAX;

  if (left != right)
    return left < right ? -1 : 1;
  if (x->spec != y->spec)
    {
      if (x->spec == NULL || y->spec == NULL)
        return x->spec == NULL ? 1 : -1;
      return x->spec < y->spec ? -1 : 1;
    }
  return strcmp (x->group.id, y->group.id);
}

static enum result
fill_placement (struct placement_context *context)
{
  struct placement *placement = context->placement;

  placement->groups
      = calloc (context->group_count + 1, sizeof *placement->groups);
  if (placement->groups == NULL)
    return RESULT_NO_MEMORY;
  qsort (context->groups, context->group_count, sizeof *context->groups,
         compare_urgency);
  for (size_t i = 0; i < context->group_count; i++)
    {
      struct context_group *group = &context->groups[i];

      if (group->group.draining && !group->keep_draining)
        group->group.draining = false; /* no longer has a reason to drain */
      if (is_group_changed (group))
        placement->changed = true;
      if (!group->removed)
        placement->groups[placement->group_count++] = group->group;
    }
  return RESULT_OK;
}

/*
 * False without a sheet, without a host list, or before the observer had time
 * to see every host: a spec or a host that is missing may then still exist.
 */
static bool
can_decide (const struct placement_input *input)
{
  const struct fleet_host *host;

  if (input->sheet->number == 0
      || !history_is_ready (input->history, input->now_ms))
    return false;
  for (host = input->fleet->hosts; host != NULL; host = host->hh.next)
    if (host->listed && !host->is_service)
      return true;
  return false;
}

static unsigned
find_highest_level (const struct placement_context *context)
{
  unsigned highest = 0;

  for (size_t i = 0; i < context->spec_count; i++)
    {
      if (context->specs[i].target_count > highest)
        highest = context->specs[i].target_count;
      if (context->specs[i].kept_count > highest)
        highest = context->specs[i].kept_count;
    }
  return highest;
}

enum result
placement_compute (struct placement *placement,
                   const struct placement_input *input)
{
  struct placement_context context;
  char text[PLACEMENT_TEXT_SIZE];
  enum result result;

  placement_finish (placement);
  result = context_init (&context, placement, input);
  if (result != RESULT_OK)
    goto out;
  if (can_decide (input))
    {
      context_remove_unwanted_groups (&context);
      for (unsigned level = 1; level <= find_highest_level (&context); level++)
        {
          context_repair_groups (&context, level);
          context_form_missing_groups (&context, level);
        }
      context_update_groups (&context);
      context_report_unplaced (&context);
    }
  else
    for (size_t i = 0; i < context.group_count; i++)
      context.groups[i].keep_draining = true;
  result = context.result;
  if (result == RESULT_OK)
    result = fill_placement (&context);
  if (result == RESULT_OK && placement->changed)
    result = placement_check (placement, input->sheet, input->fleet,
                              input->data_centre, text);
  placement->assignment_number = input->fleet->assignment_number;

out:
  if (result != RESULT_OK)
    placement_finish (placement);
  context_finish (&context);
  return result;
}
