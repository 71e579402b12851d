#include "config-internal.h"

#include "log.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

struct follow_fetch
{
  struct config *config;
  enum peer_object_id id;
};

static uint64_t
number_of (const struct member_versions *versions, enum peer_object_id id)
{
  switch (id)
    {
    case PEER_SHEET:
      return versions->sheet;
    case PEER_CONTROL:
      return versions->control;
    case PEER_ASSIGNMENT:
      return versions->assignment;
    case PEER_HOSTS:
      return versions->hosts;
    }
  return 0;
}

/*
 * The member with the highest number above ours, one of our data centre
 * first.  An assignment and a host list come only from our data centre: the
 * assignment is its own, and host lists are numbered by its readers.
 */
static const struct member *
find_source (const struct config *config, enum peer_object_id id)
{
  uint64_t ours = config->objects[id].number;
  const struct member *best = NULL;
  bool best_local = false;

  for (const struct member *member = config->members->members; member != NULL;
       member = member->hh.next)
    {
      bool local = strcmp (member->info.data_centre, config->data_centre) == 0;
      uint64_t number = number_of (&member->versions, id);

      if (!member_is_live (member) || number <= ours
          || peer_is_cut (config->peers, member->info.data_centre)
          || (!local && (id == PEER_ASSIGNMENT || id == PEER_HOSTS)))
        continue;
      if (best == NULL || number > number_of (&best->versions, id)
          || (number == number_of (&best->versions, id) && local
              && !best_local))
        {
          best = member;
          best_local = local;
        }
    }
  return best;
}

static void
on_object (void *context, enum result result, uint64_t number, const char *text)
{
  struct follow_fetch *fetch = context;
  struct config *config = fetch->config;
  enum peer_object_id id = fetch->id;
  json_t *json;

  (void)number;
  free (fetch);
  config->objects[id].fetching = false;
  config->now_ms = time_boot_ms ();
  if (result != RESULT_OK)
    return;
  json = json_loads (text, 0, NULL);
  /* The number inside the object decides, not the one the peer claims. */
  if (json != NULL)
    config_adopt (config, id, json, 0, "peer");
  json_decref (json);
}

static void
fetch_object (struct config *config,
              enum peer_object_id id,
              const struct member *source)
{
  struct follow_fetch *fetch = malloc (sizeof *fetch);

  if (fetch == NULL)
    return;
  fetch->config = config;
  fetch->id = id;
  config->objects[id].fetching = true;
  peer_fetch_object (config->peers, source->info.address, source->info.port, id,
                     on_object, fetch);
}

void
config_follow (struct config *config)
{
  for (enum peer_object_id id = PEER_SHEET; id <= PEER_HOSTS; id++)
    {
      const struct member *source;

      if (config->objects[id].fetching)
        continue;
      source = find_source (config, id);
      if (source != NULL)
        fetch_object (config, id, source);
    }
}
