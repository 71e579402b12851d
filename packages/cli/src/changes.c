#include "changes.h"

#include <stdio.h>
#include <string.h>

static const char *
text_of (const json_t *object, const char *key)
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
               const char *what,
               const char *old,
               const char *new)
{
  if (strcmp (old, new) != 0)
    add_line (lines, json_sprintf ("%s: %s %s -> %s", subject, what,
                                   *old != '\0' ? old : "none",
                                   *new != '\0' ? new : "none"));
}

static const json_t *
find_by (const json_t *array, const char *key, const char *value)
{
  size_t index;
  const json_t *item;

  json_array_foreach (array, index, item)
    if (strcmp (text_of (item, key), value) == 0)
      return item;
  return NULL;
}

/*
 * Compares arrays of objects that key names, by one of their text members;
 * without a member only by which objects there are.
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
      const json_t *old = find_by (before, key, text_of (item, key));

      snprintf (subject, sizeof subject, "%s %s", kind, text_of (item, key));
      if (member != NULL)
        compare_texts (lines, subject, member, text_of (old, member),
                       text_of (item, member));
      else if (old == NULL)
        add_line (lines, json_sprintf ("%s: new", subject));
    }
  json_array_foreach (before, index, item)
    if (find_by (after, key, text_of (item, key)) == NULL)
      add_line (lines, json_sprintf ("%s %s: gone", kind, text_of (item, key)));
}

json_t *
changes_make (const char *entry, const json_t *before, const json_t *after)
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
                                   text_of (after, "host"),
                                   text_of (after, "data_centre")));
  else
    compare_texts (lines, entry, "boot", text_of (before, "boot_id"),
                   text_of (after, "boot_id"));
  compare_numbers (lines, entry, "sheet", before, after);
  compare_numbers (lines, entry, "control", before, after);
  compare_numbers (lines, entry, "assignment", before, after);
  compare_texts (lines, entry, "lease holder",
                 text_of (json_object_get (before, "lease"), "holder"),
                 text_of (json_object_get (after, "lease"), "holder"));
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
