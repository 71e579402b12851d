#include "ring.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Fields that name an entity of each kind. */
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
ring_init (struct ring *ring)
{
  memset (ring, 0, sizeof *ring);
}

void
ring_finish (struct ring *ring)
{
  for (size_t i = 0; i < RING_LINES; i++)
    free (ring->lines[i].text);
}

void
ring_add (struct ring *ring, const char *line, int64_t wall_ms)
{
  struct ring_line *slot = &ring->lines[ring->next++ % RING_LINES];

  free (slot->text);
  slot->text = strdup (line);
  slot->wall_ms = wall_ms;
}

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
names_entity (const char *line, const char *const *fields, const char *id)
{
  for (; *fields != NULL; fields++)
    if (has_field (line, *fields, id))
      return true;
  return false;
}

static json_t *
describe (const struct ring_line *line)
{
  const char *event = strstr (line->text, "event=");
  size_t size;

  event = event != NULL ? event + strlen ("event=") : "";
  size = strcspn (event, " ");
  return json_pack ("{s:I, s:s%, s:s}", "time_ms", (json_int_t)line->wall_ms,
                    "event", event, size, "line", line->text);
}

static const char *const *
fields_of (const char *kind)
{
  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    if (strcmp (kinds[i].kind, kind) == 0)
      return kinds[i].fields;
  return NULL;
}

json_t *
ring_find (const struct ring *ring, const char *kind, const char *id)
{
  const char *const *fields = fields_of (kind);
  json_t *found;

  if (fields == NULL || id[0] == '\0')
    return NULL;
  found = json_array ();
  for (size_t i = 0; found != NULL && i < RING_LINES; i++)
    {
      const struct ring_line *line
          = &ring->lines[(ring->next + i) % RING_LINES];

      if (line->text != NULL && names_entity (line->text, fields, id))
        json_array_append_new (found, describe (line));
    }
  return found;
}
