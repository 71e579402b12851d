#include "log-history.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The log fields whose values are ids of each kind. */
static const struct
{
  const char *kind;
  const char *fields[5];
} kinds[] = {
  { "group", { "group", "endpoint", "rejected", "key", NULL } },
  { "host", { "host", "endpoint", "leader", "member", NULL } },
  { "request", { "request_id", "fingerprint", NULL } },
};

void
log_history_init (struct log_history *history)
{
  memset (history, 0, sizeof *history);
}

void
log_history_finish (struct log_history *history)
{
  for (size_t i = 0; i < LOG_HISTORY_LINES; i++)
    free (history->lines[i].text);
}

void
log_history_add (struct log_history *history, const char *line, int64_t wall_ms)
{
  struct log_history_line *slot
      = &history->lines[history->added_count++ % LOG_HISTORY_LINES];

  free (slot->text);
  slot->text = strdup (line);
  slot->wall_ms = wall_ms;
}

/* True if the line has the field with exactly this value, quoted or not. */
static bool
has_field (const char *line, const char *field, const char *id)
{
  size_t field_size = strlen (field);
  size_t id_size = strlen (id);

  for (const char *at = strstr (line, field); at != NULL;
       at = strstr (at + 1, field))
    {
      const char *value = at + field_size + 1;

      if (at == line || at[-1] != ' ' || at[field_size] != '=')
        continue;
      if (*value == '"')
        value++;
      if (strncmp (value, id, id_size) == 0
          && strchr (" \"", value[id_size]) != NULL)
        return true;
    }
  return false;
}

static bool
has_any_field (const char *line, const char *const *fields, const char *id)
{
  for (; *fields != NULL; fields++)
    if (has_field (line, *fields, id))
      return true;
  return false;
}

static json_t *
line_to_json (const struct log_history_line *line)
{
  const char *event = strstr (line->text, "event=");
  size_t size;

  event = event != NULL ? event + strlen ("event=") : "";
  size = strcspn (event, " ");
  return json_pack ("{s:I, s:s%, s:s}", "time_ms", (json_int_t)line->wall_ms,
                    "event", event, size, "line", line->text);
}

static const char *const *
get_fields_of_kind (const char *kind)
{
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    if (strcmp (kinds[i].kind, kind) == 0)
      return kinds[i].fields;
  return NULL;
}

json_t *
log_history_find (const struct log_history *history,
                  const char *kind,
                  const char *id)
{
  const char *const *fields = get_fields_of_kind (kind);
  json_t *matches;

  if (fields == NULL || id[0] == '\0')
    return NULL;
  matches = json_array ();
  for (size_t i = 0; matches != NULL && i < LOG_HISTORY_LINES; i++)
    {
      const struct log_history_line *line
          = &history->lines[(history->added_count + i) % LOG_HISTORY_LINES];

      if (line->text != NULL && has_any_field (line->text, fields, id))
        json_array_append_new (matches, line_to_json (line));
    }
  return matches;
}
