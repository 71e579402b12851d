#include "fleet.h"
#include "jsonutil.h"

#include <stdlib.h>
#include <string.h>

static json_t *
group_to_json (const struct fleet_group *group)
{
  json_t *members = json_array ();
  json_t *json;

  if (members == NULL)
    return NULL;
  for (unsigned i = 0; i < group->member_count; i++)
    if (json_array_append_new (members, json_string (group->members[i])) != 0)
      {
        json_decref (members);
        return NULL;
      }
  json = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:b, s:o}",
                    "id", group->id, "spec", group->spec, "model", group->model,
                    "version", group->version, "role", group->role, "adapters",
                    group->adapters, "domain", group->domain, "generation",
                    (json_int_t)group->generation, "span", (int)group->span,
                    "draining", group->draining, "members", members);
  return json;
}

json_t *
fleet_assignment_to_json (const struct fleet *fleet, const char *data_centre)
{
  json_t *groups = json_array ();

  if (groups == NULL)
    return NULL;
  for (const struct fleet_group *group = fleet->groups; group != NULL;
       group = group->hh.next)
    {
      if (strcmp (group->data_centre, data_centre) != 0)
        continue;
      if (json_array_append_new (groups, group_to_json (group)) != 0)
        {
          json_decref (groups);
          return NULL;
        }
    }
  return json_pack ("{s:I, s:I, s:o}", "fence",
                    (json_int_t)fleet->assignment_fence, "number",
                    (json_int_t)fleet->assignment_number, "groups", groups);
}

static enum result
read_group (struct fleet_group *group,
            const json_t *json,
            const char *data_centre)
{
  const json_t *members = json_object_get (json, "members");
  uint64_t span;

  memset (group, 0, sizeof *group);
  if (!json_read_string (json, "id", group->id, sizeof group->id)
      || group->id[0] == '\0'
      || !json_read_string (json, "spec", group->spec, sizeof group->spec)
      || !json_read_string (json, "model", group->model, sizeof group->model)
      || !json_read_u64 (json, "generation", &group->generation)
      || !json_read_u64 (json, "span", &span) || span == 0
      || span > FLEET_SPAN_LIMIT || json_array_size (members) > span)
    return RESULT_ASSIGNMENT_INVALID;
  json_read_string (json, "version", group->version, sizeof group->version);
  json_read_string (json, "role", group->role, sizeof group->role);
  json_read_string (json, "adapters", group->adapters, sizeof group->adapters);
  json_read_string (json, "domain", group->domain, sizeof group->domain);
  memcpy (group->data_centre, data_centre, strlen (data_centre) + 1);
  group->span = (unsigned)span;
  group->draining = json_read_bool (json, "draining", false);
  group->member_count = (unsigned)json_array_size (members);
  for (unsigned i = 0; i < group->member_count; i++)
    {
      const char *name = json_string_value (json_array_get (members, i));

      if (name == NULL || name[0] == '\0'
          || strlen (name) >= sizeof group->members[i])
        return RESULT_ASSIGNMENT_INVALID;
      memcpy (group->members[i], name, strlen (name) + 1);
    }
  return RESULT_OK;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Sorts the names; true if one occurs more than once. */
static bool
has_duplicate_name (const char **names, size_t count)
{
  qsort (names, count, sizeof *names, compare_names);
  for (size_t i = 1; i < count; i++)
    if (strcmp (names[i - 1], names[i]) == 0)
      return true;
  return false;
}

/* Rejects a host in two groups and a group id that occurs twice. */
static enum result
check_unique_names (struct fleet_group *groups, size_t count)
{
  const char **names;
  size_t name_count = 0;
  size_t member_count = 0;
  enum result result = RESULT_OK;

  for (size_t i = 0; i < count; i++)
    member_count += groups[i].member_count;
  names = calloc (member_count + count + 1, sizeof *names);
  if (names == NULL)
    return RESULT_NO_MEMORY;
  for (size_t i = 0; i < count; i++)
    names[name_count++] = groups[i].id;
  if (has_duplicate_name (names, name_count))
    result = RESULT_ASSIGNMENT_INVALID;
  name_count = 0;
  for (size_t i = 0; i < count; i++)
    for (unsigned rank = 0; rank < groups[i].member_count; rank++)
      names[name_count++] = groups[i].members[rank];
  if (has_duplicate_name (names, name_count))
    result = RESULT_ASSIGNMENT_INVALID;
  free (names);
  return result;
}

static enum result
replace_groups (struct fleet *fleet,
                const char *data_centre,
                const struct fleet_group *groups,
                size_t count)
{
  struct fleet_group *old = fleet->groups;

  while (old != NULL)
    {
      struct fleet_group *next = old->hh.next;

      if (strcmp (old->data_centre, data_centre) == 0)
        fleet_remove_group (fleet, old->id);
      old = next;
    }
  for (size_t i = 0; i < count; i++)
    {
      struct fleet_group *group = fleet_add_group (fleet, groups[i].id);
      UT_hash_handle hh;

      if (group == NULL)
        return RESULT_NO_MEMORY;
      hh = group->hh;
      *group = groups[i];
      group->hh = hh;
    }
  return RESULT_OK;
}

enum result
fleet_apply_assignment (struct fleet *fleet,
                        const char *data_centre,
                        const json_t *json)
{
  const json_t *list = json_object_get (json, "groups");
  size_t count = json_array_size (list);
  struct fleet_group *groups = NULL;
  uint64_t number;
  uint64_t fence;
  enum result result = RESULT_ASSIGNMENT_INVALID;

  if (!json_is_array (list) || !json_read_u64 (json, "number", &number)
      || !json_read_u64 (json, "fence", &fence)
      || strlen (data_centre) >= FLEET_NAME_SIZE)
    goto out;
  result = RESULT_PLATFORM_UNCHANGED;
  if (number <= fleet->assignment_number)
    goto out;
  result = RESULT_NO_MEMORY;
  groups = calloc (count + 1, sizeof *groups);
  if (groups == NULL)
    goto out;
  for (size_t i = 0; i < count; i++)
    {
      result = read_group (&groups[i], json_array_get (list, i), data_centre);
      if (result != RESULT_OK)
        goto out;
    }
  result = check_unique_names (groups, count);
  if (result != RESULT_OK)
    goto out;
  result = replace_groups (fleet, data_centre, groups, count);
  if (result != RESULT_OK)
    goto out;
  fleet->assignment_number = number;
  fleet->assignment_fence = fence;

out:
  free (groups);
  return result;
}
