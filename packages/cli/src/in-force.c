#include "in-force.h"

#include <stdlib.h>
#include <string.h>

/* What the responses report of one daemon. */
struct daemon_report
{
  const char *host;
  const char *data_centre;
  uint64_t number;
  bool has_responded; /* the daemon itself responded */
  bool live;
  bool reported_locally; /* reported by a daemon of its own data centre */
  bool has_number;       /* its number was reported */
};

struct daemon_report_list
{
  struct daemon_report *items;
  size_t count;
  size_t capacity;
};

void
in_force_init (struct in_force *in_force)
{
  in_force->data_centres = NULL;
  in_force->count = 0;
}

void
in_force_finish (struct in_force *in_force)
{
  free (in_force->data_centres);
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
    if (in_force->data_centres[i].state == state)
      count++;
  return count;
}

static struct in_force_data_centre *
find_data_centre (struct in_force *in_force, const char *data_centre)
{
  for (size_t i = 0; i < in_force->count; i++)
    if (strcmp (in_force->data_centres[i].data_centre, data_centre) == 0)
      return &in_force->data_centres[i];
  return NULL;
}

enum result
in_force_expect (struct in_force *in_force, const char *data_centre)
{
  size_t length = strlen (data_centre);
  struct in_force_data_centre *centre;

  if (length == 0 || length >= IN_FORCE_NAME_SIZE)
    return RESULT_INVALID;
  if (find_data_centre (in_force, data_centre) != NULL)
    return RESULT_OK;
  centre = reallocarray (in_force->data_centres, in_force->count + 1,
                         sizeof *centre);
  if (centre == NULL)
    return RESULT_NO_MEMORY;
  in_force->data_centres = centre;
  centre = &in_force->data_centres[in_force->count++];
  memset (centre, 0, sizeof *centre);
  memcpy (centre->data_centre, data_centre, length + 1);
  centre->state = IN_FORCE_UNKNOWN;
  return RESULT_OK;
}

static const char *
get_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text != NULL ? text : "";
}

static struct daemon_report *
find_daemon (struct daemon_report_list *daemons, const char *host)
{
  for (size_t i = 0; i < daemons->count; i++)
    if (strcmp (daemons->items[i].host, host) == 0)
      return &daemons->items[i];
  return NULL;
}

/* Returns NULL if the list is full. */
static struct daemon_report *
add_daemon (struct daemon_report_list *daemons,
            const char *host,
            const char *data_centre)
{
  struct daemon_report *daemon;

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
 * Merges what the status of another daemon, the viewer, reports of a peer.  A
 * viewer in the data centre of the peer takes precedence over viewers in other
 * data centres.  A peer that the former suspects is still live; suspicion in
 * another data centre mostly means that the network is partitioned.
 */
static void
merge_peer (struct daemon_report_list *daemons,
            const json_t *peer,
            const char *number_key,
            const char *viewer_data_centre)
{
  const char *host = get_text (peer, "host");
  const char *data_centre = get_text (peer, "data_centre");
  const char *state = get_text (peer, "state");
  bool same_data_centre = strcmp (data_centre, viewer_data_centre) == 0;
  bool live = strcmp (state, "alive") == 0
              || (same_data_centre && strcmp (state, "suspect") == 0);
  struct daemon_report *daemon = find_daemon (daemons, host);
  uint64_t number = 0;
  bool has_number = read_number (json_object_get (peer, number_key), &number);

  if (*host == '\0' || *data_centre == '\0')
    return;
  if (daemon == NULL)
    daemon = add_daemon (daemons, host, data_centre);
  if (daemon == NULL || daemon->has_responded
      || (daemon->reported_locally && !same_data_centre))
    return;
  if (same_data_centre && !daemon->reported_locally)
    {
      daemon->live = false;
      daemon->reported_locally = true;
    }
  daemon->live = daemon->live || live;
  daemon->has_number = daemon->has_number || has_number;
  if (number > daemon->number)
    daemon->number = number;
}

static enum result
collect_daemons (struct daemon_report_list *daemons,
                 enum in_force_object object,
                 const json_t *const *statuses,
                 size_t count)
{
  const char *section = object == IN_FORCE_SHEET ? "sheet" : "control";
  const char *number_key
      = object == IN_FORCE_SHEET ? "sheet_number" : "control_number";

  for (size_t i = 0; i < count; i++)
    daemons->capacity
        += 1 + json_array_size (json_object_get (statuses[i], "peers"));
  daemons->items = calloc (daemons->capacity + 1, sizeof *daemons->items);
  if (daemons->items == NULL)
    return RESULT_NO_MEMORY;
  for (size_t i = 0; i < count; i++)
    {
      struct daemon_report *daemon;

      if (*get_text (statuses[i], "host") == '\0')
        continue;
      daemon = find_daemon (daemons, get_text (statuses[i], "host"));
      if (daemon == NULL)
        daemon = add_daemon (daemons, get_text (statuses[i], "host"),
                             get_text (statuses[i], "data_centre"));
      if (daemon == NULL)
        continue;
      daemon->has_responded = true;
      daemon->live = true;
      daemon->reported_locally = true;
      daemon->has_number = true;
      read_number (
          json_object_get (json_object_get (statuses[i], section), "number"),
          &daemon->number);
    }
  for (size_t i = 0; i < count; i++)
    {
      const char *viewer = get_text (statuses[i], "data_centre");
      size_t index;
      const json_t *peer;

      json_array_foreach (json_object_get (statuses[i], "peers"), index, peer)
        merge_peer (daemons, peer, number_key, viewer);
    }
  return RESULT_OK;
}

/* Ends the list with a mark if it has no room for the name. */
static void
append_name (char *out, size_t size, const char *name)
{
  static const char mark[] = " ...";
  size_t used = strlen (out);
  bool is_marked
      = used >= strlen (mark) && strcmp (out + used - strlen (mark), mark) == 0;

  if (is_marked)
    return;
  if (used + strlen (name) + 1 + sizeof mark > size)
    {
      memcpy (out + used, mark, sizeof mark);
      return;
    }
  if (used > 0)
    out[used++] = ' ';
  memcpy (out + used, name, strlen (name) + 1);
}

/* Computes the state of one data centre from its daemons. */
static void
compute_state (struct in_force_data_centre *centre,
               const struct daemon_report_list *daemons,
               uint64_t number)
{
  char name[IN_FORCE_NAME_SIZE];

  memcpy (name, centre->data_centre, sizeof name);
  memset (centre, 0, sizeof *centre);
  memcpy (centre->data_centre, name, sizeof name);
  centre->reported_by_peers = true;
  for (size_t i = 0; i < daemons->count; i++)
    {
      const struct daemon_report *daemon = &daemons->items[i];

      if (!daemon->live || !daemon->has_number
          || strcmp (daemon->data_centre, centre->data_centre) != 0)
        continue;
      if (daemon->reported_locally)
        centre->reported_by_peers = false;
      if (centre->live_count == 0 || daemon->number < centre->lowest_number)
        centre->lowest_number = daemon->number;
      centre->live_count++;
      if (daemon->number >= number)
        centre->current_count++;
      else
        append_name (centre->lagging_hosts, sizeof centre->lagging_hosts,
                     daemon->host);
    }
  if (centre->live_count == 0)
    centre->state = IN_FORCE_UNKNOWN;
  else
    centre->state = centre->current_count == centre->live_count
                        ? IN_FORCE_YES
                        : IN_FORCE_PENDING;
}

enum result
in_force_update (struct in_force *in_force,
                 enum in_force_object object,
                 uint64_t number,
                 const json_t *const *statuses,
                 size_t count)
{
  struct daemon_report_list daemons = { NULL, 0, 0 };
  enum result result = collect_daemons (&daemons, object, statuses, count);

  for (size_t i = 0; i < daemons.count && result == RESULT_OK; i++)
    if (*daemons.items[i].data_centre != '\0'
        && in_force_expect (in_force, daemons.items[i].data_centre)
               == RESULT_NO_MEMORY)
      result = RESULT_NO_MEMORY;
  if (result == RESULT_OK)
    for (size_t i = 0; i < in_force->count; i++)
      compute_state (&in_force->data_centres[i], &daemons, number);
  free (daemons.items);
  return result;
}
