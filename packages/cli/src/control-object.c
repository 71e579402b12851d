#include "control-object.h"

#include "jsonutil.h"

#include <string.h>

const char *
control_action_name (enum control_action action)
{
  static const char *const names[] = { "drain", "undrain", "release" };

  return names[action];
}

/* Returns the index of a string in an array, or the size of the array. */
static size_t
find_text (const json_t *array, const char *text)
{
  size_t index;
  const json_t *item;

  json_array_foreach (array, index, item)
    if (json_is_string (item) && strcmp (json_string_value (item), text) == 0)
      return index;
  return json_array_size (array);
}

static json_t *
copy_array (const json_t *object, const char *key)
{
  const json_t *array = json_object_get (object, key);

  return array != NULL ? json_deep_copy (array) : json_array ();
}

static void
remove_oldest (json_t *array, size_t limit)
{
  while (json_array_size (array) > limit)
    json_array_remove (array, 0);
}

bool
control_has_token (const json_t *object, const char *token)
{
  size_t index;
  const json_t *change;

  json_array_foreach (json_object_get (object, "recent"), index, change)
    {
      const char *text = json_string_value (json_object_get (change, "token"));

      if (text != NULL && strcmp (text, token) == 0)
        return true;
    }
  return false;
}

enum result
control_make_next (const json_t *current,
                   enum control_action action,
                   const char *subject,
                   const char *operator_name,
                   const char *token,
                   int64_t wall_ms,
                   json_t **next)
{
  json_t *drains = copy_array (current, "drains");
  json_t *releases = copy_array (current, "releases");
  json_t *recent = copy_array (current, "recent");
  json_t *change = NULL;
  uint64_t number = 0;
  size_t index = find_text (drains, subject);
  bool is_drained = index < json_array_size (drains);
  enum result result = RESULT_INVALID;

  *next = NULL;
  if (!json_is_array (drains) || !json_is_array (releases)
      || !json_is_array (recent))
    goto finish;
  if (current != NULL && !json_read_u64 (current, "number", &number))
    goto finish;
  result = RESULT_OK;
  switch (action)
    {
    case CONTROL_DRAIN:
      if (is_drained)
        goto finish;
      json_array_append_new (drains, json_string (subject));
      break;
    case CONTROL_UNDRAIN:
      if (!is_drained)
        goto finish;
      json_array_remove (drains, index);
      break;
    case CONTROL_RELEASE:
      /*
       * A repeated release is a change too, since the request may have been
       * quarantined again.
       */
      index = find_text (releases, subject);
      if (index < json_array_size (releases))
        json_array_remove (releases, index);
      json_array_append_new (releases, json_string (subject));
      remove_oldest (releases, CONTROL_RELEASE_LIMIT);
      break;
    }
  number++;
  change = json_pack ("{s:s, s:I, s:s, s:s, s:s, s:I}", "token", token,
                      "number", (json_int_t)number, "operator", operator_name,
                      "action", control_action_name (action), "subject",
                      subject, "applied_wall_ms", (json_int_t)wall_ms);
  if (json_array_insert_new (recent, 0, change) != 0)
    {
      result = RESULT_NO_MEMORY;
      goto finish;
    }
  while (json_array_size (recent) > CONTROL_RECENT_LIMIT)
    json_array_remove (recent, json_array_size (recent) - 1);
  *next = json_pack ("{s:I, s:s, s:O, s:O, s:O}", "number", (json_int_t)number,
                     "token", token, "drains", drains, "releases", releases,
                     "recent", recent);
  if (*next == NULL)
    result = RESULT_NO_MEMORY;

finish:
  json_decref (drains);
  json_decref (releases);
  json_decref (recent);
  return result;
}
