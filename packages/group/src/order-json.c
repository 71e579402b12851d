#include "plan.h"

#include <string.h>

const char *
plan_op_name (enum plan_op op)
{
  static const char *const names[] = {
    [PLAN_LOAD] = "load",
    [PLAN_RELEASE] = "release",
    [PLAN_ADAPTERS] = "adapters",
    [PLAN_ROLE] = "role",
  };

  return names[op];
}

/* Converts a list of names joined by ';' into a JSON array. */
static json_t *
split_names (const char *text)
{
  json_t *array = json_array ();

  while (array != NULL && *text != '\0')
    {
      size_t length = strcspn (text, ";");

      if (json_array_append_new (array, json_stringn (text, length)) != 0)
        {
          json_decref (array);
          return NULL;
        }
      text += length;
      if (*text == ';')
        text++;
    }
  return array;
}

static json_t *
members_to_json (const struct fleet_group *group)
{
  json_t *array = json_array ();

  for (unsigned i = 0; array != NULL && i < group->member_count; i++)
    if (json_array_append_new (array, json_string (group->members[i])) != 0)
      {
        json_decref (array);
        return NULL;
      }
  return array;
}

json_t *
plan_order_to_json (const struct plan_order *order)
{
  const struct fleet_group *group = &order->group;
  json_t *members = members_to_json (group);
  json_t *adapters = split_names (group->adapters);

  if (members == NULL || adapters == NULL)
    {
      json_decref (members);
      json_decref (adapters);
      return NULL;
    }
  return json_pack (
      "{s:I, s:s, s:s, s:s, s:I, s:i, s:i, s:o, s:s, s:s, s:o, s:s}", "fence",
      (json_int_t)order->fence, "order_id", order->order_id, "op",
      plan_op_name (order->op), "group", group->id, "generation",
      (json_int_t)group->generation, "rank", (int)order->rank, "span",
      (int)group->span, "members", members, "model", group->model, "version",
      group->version, "adapters", adapters, "role", group->role);
}
