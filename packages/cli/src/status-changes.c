#include "status-changes.h"

#include <stdio.h>
#include <string.h>

static const char *
get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static void
add_line (json_t *lines, json_t *line)
{
  if (line != NULL)
    json_array_append_new (lines, line);
}

static void
compare_numbers (json_t *lines,
                 const char *entry,
                 const char *section,
                 const json_t *before,
                 const json_t *after)
{
  json_int_t old = json_integer_value (
      json_object_get (json_object_get (before, section), "number"));
  json_int_t new = json_integer_value (
      json_object_get (json_object_get (after, section), "number"));

  if (old != new)
    add_line (lines, json_sprintf ("%s: %s %lld -> %lld", entry, section,
                                   (long long)old, (long long)new));
}

static void
compare_texts (json_t *lines,
               const char *subject,
               const char *label,
               const char *old,
               const char *new)
{
  if (strcmp (old, new) != 0)
    add_line (lines, json_sprintf ("%s: %s %s -> %s", subject, label,
                                   *old != '\0' ? old : "none",
                                   *new != '\0' ? new : "none"));
}

static const json_t *
find_by_text (const json_t *array, const char *key, const char *value)
{
  size_t index;
  const json_t *item;

  json_array_foreach (array, index, item)
    if (strcmp (get_text (item, key), value) == 0)
      return item;
  return NULL;
}

/*
 * Compares two arrays of objects, matched by their member key.  Reports a
 * changed string member of a matched object, or new objects if member is NULL,
 * and in both cases objects that were removed.
 */
static void
compare_arrays (json_t *lines,
                const char *kind,
                const char *key,
                const char *member,
                const json_t *before,
                const json_t *after)
{
  char subject[256];
  size_t index;
  const json_t *item;

  json_array_foreach (after, index, item)
    {
      const json_t *old = find_by_text (before, key, get_text (item, key));

      snprintf (subject, sizeof subject, "%s %s", kind, get_text (item, key));
      if (member != NULL)
        compare_texts (lines, subject, member, get_text (old, member),
                       get_text (item, member));
      else if (old == NULL)
        add_line (lines, json_sprintf ("%s: new", subject));
    }
  json_array_foreach (before, index, item)
    if (find_by_text (after, key, get_text (item, key)) == NULL)
      add_line (lines,
                json_sprintf ("%s %s: gone", kind, get_text (item, key)));
}

json_t *
status_changes_describe (const char *entry,
                         const json_t *before,
                         const json_t *after)
{
  json_t *lines = json_array ();

  if (after == NULL)
    {
      if (before != NULL)
        add_line (lines, json_sprintf ("%s: cannot be reached", entry));
      return lines;
    }
  if (before == NULL)
    add_line (lines, json_sprintf ("%s: %s in %s answers", entry,
                                   get_text (after, "host"),
                                   get_text (after, "data_centre")));
  else
    compare_texts (lines, entry, "boot", get_text (before, "boot_id"),
                   get_text (after, "boot_id"));
  compare_numbers (lines, entry, "sheet", before, after);
  compare_numbers (lines, entry, "control", before, after);
  compare_numbers (lines, entry, "assignment", before, after);
  compare_texts (lines, entry, "lease holder",
                 get_text (json_object_get (before, "lease"), "holder"),
                 get_text (json_object_get (after, "lease"), "holder"));
  compare_arrays (lines, "peer", "host", "state",
                  json_object_get (before, "peers"),
                  json_object_get (after, "peers"));
  compare_arrays (lines, "group", "id", "serving",
                  json_object_get (before, "groups"),
                  json_object_get (after, "groups"));
  compare_arrays (lines, "host", "id", "state",
                  json_object_get (before, "hosts"),
                  json_object_get (after, "hosts"));
  compare_arrays (lines, "quarantined request", "fingerprint", NULL,
                  json_object_get (before, "quarantine"),
                  json_object_get (after, "quarantine"));
  return lines;
}
