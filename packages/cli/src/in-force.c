#include "in-force.h"

#include <stdlib.h>
#include <string.h>

/* What is known of one daemon. */
struct daemon
{
  const char *host;
  const char *data_centre;
  uint64_t number;
  bool direct; /* it answered itself */
  bool live;
  bool near;       /* seen by a daemon of its own data centre */
  bool has_number; /* the view tells its number */
};

struct daemons
{
  struct daemon *items;
  size_t count;
  size_t capacity;
};

void
in_force_init (struct in_force *in_force)
{
  in_force->places = NULL;
  in_force->count = 0;
}

void
in_force_finish (struct in_force *in_force)
{
  free (in_force->places);
  in_force_init (in_force);
}

const char *
in_force_state_name (enum in_force_state state)
{
  static const char *const names[] = { "in force", "pending", "unknown" };

  return names[state];
}

size_t
in_force_count (const struct in_force *in_force, enum in_force_state state)
{
  size_t count = 0;

  for (size_t i = 0; i < in_force->count; i++)
    if (in_force->places[i].state == state)
      count++;
  return count;
}

static struct in_force_place *
find_place (struct in_force *in_force, const char *data_centre)
{
  for (size_t i = 0; i < in_force->count; i++)
    if (strcmp (in_force->places[i].data_centre, data_centre) == 0)
      return &in_force->places[i];
  return NULL;
}

enum result
in_force_expect (struct in_force *in_force, const char *data_centre)
{
  size_t length = strlen (data_centre);
  struct in_force_place *place;

  if (length == 0 || length >= IN_FORCE_NAME_SIZE)
    return RESULT_INVALID;
  if (find_place (in_force, data_centre) != NULL)
    return RESULT_OK;
  place = reallocarray (in_force->places, in_force->count + 1, sizeof *place);
  if (place == NULL)
    return RESULT_NO_MEMORY;
  in_force->places = place;
  place = &in_force->places[in_force->count++];
  memset (place, 0, sizeof *place);
  memcpy (place->data_centre, data_centre, length + 1);
  place->state = IN_FORCE_UNKNOWN;
  return RESULT_OK;
}

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static struct daemon *
find_daemon (struct daemons *daemons, const char *host)
{
  for (size_t i = 0; i < daemons->count; i++)
    if (strcmp (daemons->items[i].host, host) == 0)
      return &daemons->items[i];
  return NULL;
}

/* There is room: daemons are counted beforehand. */
static struct daemon *
add_daemon (struct daemons *daemons, const char *host, const char *data_centre)
{
  struct daemon *daemon;

  if (daemons->count == daemons->capacity)
    return NULL;
  daemon = &daemons->items[daemons->count++];
  memset (daemon, 0, sizeof *daemon);
  daemon->host = host;
  daemon->data_centre = data_centre;
  return daemon;
}

static bool
read_number (const json_t *value, uint64_t *out)
{
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = (uint64_t)json_integer_value (value);
  return true;
}

/*
 * A view from the daemon's own data centre decides over one from elsewhere.
 * Nearby, a suspect daemon still counts as live; from afar, suspicion mostly
 * means that the link is cut.
 */
static void
take_peer (struct daemons *daemons,
           const json_t *peer,
           const char *number_key,
           const char *viewer_data_centre)
{
  const char *host = text_of (peer, "host");
  const char *data_centre = text_of (peer, "data_centre");
  const char *state = text_of (peer, "state");
  bool near = strcmp (data_centre, viewer_data_centre) == 0;
  bool live = strcmp (state, "alive") == 0
              || (near && strcmp (state, "suspect") == 0);
  struct daemon *daemon = find_daemon (daemons, host);
  uint64_t number = 0;
  bool has_number = read_number (json_object_get (peer, number_key), &number);

  if (*host == '\0' || *data_centre == '\0')
    return;
  if (daemon == NULL)
    daemon = add_daemon (daemons, host, data_centre);
  if (daemon == NULL || daemon->direct || (daemon->near && !near))
    return;
  if (near && !daemon->near)
    {
      daemon->live = false;
      daemon->near = true;
    }
  daemon->live = daemon->live || live;
  daemon->has_number = daemon->has_number || has_number;
  if (number > daemon->number)
    daemon->number = number;
}

static enum result
collect (struct daemons *daemons,
         enum in_force_subject subject,
         const json_t *const *statuses,
         size_t count)
{
  const char *section = subject == IN_FORCE_SHEET ? "sheet" : "control";
  const char *number_key
      = subject == IN_FORCE_SHEET ? "sheet_number" : "control_number";

  for (size_t i = 0; i < count; i++)
    daemons->capacity
        += 1 + json_array_size (json_object_get (statuses[i], "peers"));
  daemons->items = calloc (daemons->capacity + 1, sizeof *daemons->items);
  if (daemons->items == NULL)
    return RESULT_NO_MEMORY;
  for (size_t i = 0; i < count; i++)
    {
      struct daemon *daemon;

      if (*text_of (statuses[i], "host") == '\0')
        continue;
      daemon = find_daemon (daemons, text_of (statuses[i], "host"));
      if (daemon == NULL)
        daemon = add_daemon (daemons, text_of (statuses[i], "host"),
                             text_of (statuses[i], "data_centre"));
      if (daemon == NULL)
        continue;
      daemon->direct = true;
      daemon->live = true;
      daemon->near = true;
      daemon->has_number = true;
      read_number (
          json_object_get (json_object_get (statuses[i], section), "number"),
          &daemon->number);
    }
  for (size_t i = 0; i < count; i++)
    {
      const char *viewer = text_of (statuses[i], "data_centre");
      size_t index;
      const json_t *peer;

      json_array_foreach (json_object_get (statuses[i], "peers"), index, peer)
        take_peer (daemons, peer, number_key, viewer);
    }
  return RESULT_OK;
}

static void
append_name (char *out, size_t size, const char *name)
{
  size_t used = strlen (out);

  if (used + strlen (name) + 2 >= size)
    return;
  if (used > 0)
    out[used++] = ' ';
  memcpy (out + used, name, strlen (name) + 1);
}

static void
judge (struct in_force_place *place,
       const struct daemons *daemons,
       uint64_t number)
{
  char name[IN_FORCE_NAME_SIZE];

  memcpy (name, place->data_centre, sizeof name);
  memset (place, 0, sizeof *place);
  memcpy (place->data_centre, name, sizeof name);
  place->by_peers = true;
  for (size_t i = 0; i < daemons->count; i++)
    {
      const struct daemon *daemon = &daemons->items[i];

      if (!daemon->live || !daemon->has_number
          || strcmp (daemon->data_centre, place->data_centre) != 0)
        continue;
      if (daemon->near)
        place->by_peers = false;
      if (place->live == 0 || daemon->number < place->lowest)
        place->lowest = daemon->number;
      place->live++;
      if (daemon->number >= number)
        place->have++;
      else
        append_name (place->lagging, sizeof place->lagging, daemon->host);
    }
  if (place->live == 0)
    place->state = IN_FORCE_UNKNOWN;
  else
    place->state = place->have == place->live ? IN_FORCE_YES : IN_FORCE_PENDING;
}

enum result
in_force_update (struct in_force *in_force,
                 enum in_force_subject subject,
                 uint64_t number,
                 const json_t *const *statuses,
                 size_t count)
{
  struct daemons daemons = { NULL, 0, 0 };
  enum result result = collect (&daemons, subject, statuses, count);

  for (size_t i = 0; i < daemons.count && result == RESULT_OK; i++)
    if (*daemons.items[i].data_centre != '\0'
        && in_force_expect (in_force, daemons.items[i].data_centre)
               == RESULT_NO_MEMORY)
      result = RESULT_NO_MEMORY;
  if (result == RESULT_OK)
    for (size_t i = 0; i < in_force->count; i++)
      judge (&in_force->places[i], &daemons, number);
  free (daemons.items);
  return result;
}
