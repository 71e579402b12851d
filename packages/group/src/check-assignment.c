#include "placement.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Checks a computed assignment; shares no code with the computation, so that a
   fault of the computation is found. */

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static enum result
check_hosts_are_unique (const struct placement *placement, char *text)
{
  const char **names = calloc (placement->group_count * FLEET_SPAN_LIMIT + 1,
                               sizeof (const char *));
  size_t count = 0;
  enum result result = RESULT_OK;

  if (names == NULL)
    return RESULT_NO_MEMORY;
  for (size_t i = 0; i < placement->group_count; i++)
    for (unsigned rank = 0; rank < placement->groups[i].member_count; rank++)
      names[count++] = placement->groups[i].members[rank];
  qsort ((void *)names, count, sizeof (const char *), compare_names);
  for (size_t i = 1; i < count && result == RESULT_OK; i++)
    if (strcmp (names[i - 1], names[i]) == 0)
      {
        snprintf (text, PLACEMENT_TEXT_SIZE, "host %s is in two groups",
                  names[i]);
        result = RESULT_ASSIGNMENT_INVALID;
      }
  free ((void *)names);
  return result;
}

static const struct sheet_group *
find_spec (const struct sheet *sheet, const char *name)
{
  for (size_t i = 0; i < sheet->group_count; i++)
    if (strcmp (sheet->groups[i].name, name) == 0)
      return &sheet->groups[i];
  return NULL;
}

static const char *
check_member (const struct fleet_group *group,
              const struct sheet_group *spec,
              const struct fleet_host *host,
              const char *data_centre)
{
  if (host == NULL)
    return NULL; /* its entry was removed from the fleet */
  if (host->is_service)
    return "is not an engine";
  if (strcmp (host->data_centre, data_centre) != 0)
    return "is in another data centre";
  if (strcmp (host->domain, group->domain) != 0)
    return "is in another fabric domain";
  if (spec->hosts.count > 0 && !sheet_list_has (&spec->hosts, host->id))
    return "is not permitted for the spec";
  return NULL;
}

static enum result
check_group (const struct fleet_group *group,
             const struct sheet *sheet,
             const struct fleet *fleet,
             const char *data_centre,
             char *text)
{
  const struct sheet_group *spec = find_spec (sheet, group->spec);
  const char *fault = NULL;
  const char *subject = group->id;

  if (group->span == 0 || group->member_count != group->span)
    fault = "does not have the size of its span";
  else if (group->draining)
    return RESULT_OK; /* it may be draining because its place is forbidden */
  else if (spec == NULL)
    fault = "is not in the sheet";
  else if (spec->span != group->span)
    fault = "has another span than the sheet";
  else if (!sheet_list_has (&spec->data_centres, data_centre))
    fault = "may not be in this data centre";
  else if (spec->domains.count > 0
           && !sheet_list_has (&spec->domains, group->domain))
    fault = "may not be in its fabric domain";
  for (unsigned rank = 0; fault == NULL && rank < group->member_count; rank++)
    {
      subject = group->members[rank];
      fault = check_member (group, spec, fleet_find_host (fleet, subject),
                            data_centre);
    }
  if (fault == NULL)
    return RESULT_OK;
  snprintf (text, PLACEMENT_TEXT_SIZE, "%s %s", subject, fault);
  return RESULT_ASSIGNMENT_INVALID;
}

enum result
placement_check (const struct placement *placement,
                 const struct sheet *sheet,
                 const struct fleet *fleet,
                 const char *data_centre,
                 char *text)
{
  enum result result = check_hosts_are_unique (placement, text);

  for (size_t i = 0; i < placement->group_count && result == RESULT_OK; i++)
    result
        = check_group (&placement->groups[i], sheet, fleet, data_centre, text);
  return result;
}
