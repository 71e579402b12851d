#include "placement.h"
#include "work.h"

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
    .warm_load_ms = 10000,
    .load_limit = 16,
    .drain_ms = 30000,
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
differs (const struct work_group *group)
{
  return group->removed || group->present == NULL
         || group->present->generation != group->group.generation
         || group->present->draining != group->group.draining;
}

/* First groups of every spec before second ones, those that go last. */
static int
compare_urgency (const void *a, const void *b)
{
  const struct work_group *x = a;
  const struct work_group *y = b;
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
emit (struct work *work)
{
  struct placement *placement = work->placement;

  placement->groups = calloc (work->group_count + 1, sizeof *placement->groups);
  if (placement->groups == NULL)
    return RESULT_NO_MEMORY;
  qsort (work->groups, work->group_count, sizeof *work->groups,
         compare_urgency);
  for (size_t i = 0; i < work->group_count; i++)
    {
      struct work_group *group = &work->groups[i];

      if (group->group.draining && !group->keep_draining)
        group->group.draining = false; /* the reason to drain is gone */
      if (differs (group))
        placement->changed = true;
      if (!group->removed)
        placement->groups[placement->group_count++] = group->group;
    }
  return RESULT_OK;
}

/*
 * Without a sheet, a host list or a settled view of the hosts nothing may be
 * concluded from what is missing.
 */
static bool
may_decide (const struct placement_input *input)
{
  const struct fleet_host *host;

  if (input->sheet->number == 0
      || !history_ready (input->history, input->now_ms))
    return false;
  for (host = input->fleet->hosts; host != NULL; host = host->hh.next)
    if (host->listed && !host->is_service)
      return true;
  return false;
}

static unsigned
highest_level (const struct work *work)
{
  unsigned highest = 0;

  for (size_t i = 0; i < work->spec_count; i++)
    {
      if (work->specs[i].part > highest)
        highest = work->specs[i].part;
      if (work->specs[i].kept > highest)
        highest = work->specs[i].kept;
    }
  return highest;
}

enum result
placement_compute (struct placement *placement,
                   const struct placement_input *input)
{
  struct work work;
  char text[PLACEMENT_TEXT_SIZE];
  enum result result;

  placement_finish (placement);
  result = work_init (&work, placement, input);
  if (result != RESULT_OK)
    goto out;
  if (may_decide (input))
    {
      work_remove_unwanted (&work);
      for (unsigned level = 1; level <= highest_level (&work); level++)
        {
          work_repair (&work, level);
          work_form_missing (&work, level);
        }
      work_update (&work);
      work_report_unplaced (&work);
    }
  else
    for (size_t i = 0; i < work.group_count; i++)
      work.groups[i].keep_draining = true;
  result = work.result;
  if (result == RESULT_OK)
    result = emit (&work);
  if (result == RESULT_OK && placement->changed)
    result = placement_check (placement, input->sheet, input->fleet,
                              input->data_centre, text);
  placement->number = input->fleet->assignment_number;

out:
  if (result != RESULT_OK)
    placement_finish (placement);
  work_finish (&work);
  return result;
}
