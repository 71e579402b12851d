#include "config-internal.h"

#include "log.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

struct object_fetch
{
  struct config *config;
  enum peer_object_id id;
};

static uint64_t
get_object_number (const struct member_versions *versions,
                   enum peer_object_id id)
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
 * Assignments and host lists are fetched only inside our data centre: each data
 * centre has its own assignment, and its readers number its host lists.
 */
static bool
is_fetch_source (const struct config *config,
                 enum peer_object_id id,
                 uint64_t our_number,
                 const struct member *member)
{
  bool local = strcmp (member->info.data_centre, config->data_centre) == 0;

  return member_is_live (member)
         && get_object_number (&member->versions, id) > our_number
         && !peer_is_partitioned (config->peers, member->info.data_centre)
         && (local || (id != PEER_ASSIGNMENT && id != PEER_HOSTS));
}

/*
 * Picks one of the members with the highest number above ours.  Each attempt
 * picks the next one, since a paused member counts as live for some seconds.
 */
static const struct member *
pick_fetch_source (struct config *config, enum peer_object_id id)
{
  const struct member *found = NULL;
  uint64_t our_number = config->objects[id].number;
  uint64_t highest = 0;
  size_t count = 0;
  size_t skip;

  for (const struct member *member = config->members->members; member != NULL;
       member = member->hh.next)
    {
      uint64_t number = get_object_number (&member->versions, id);

      if (!is_fetch_source (config, id, our_number, member) || number < highest)
        continue;
      count = number > highest ? 1 : count + 1;
      highest = number;
    }
  if (count == 0)
    return NULL;
  skip = config->objects[id].fetch_count++ % count;
  for (const struct member *member = config->members->members;
       member != NULL && found == NULL; member = member->hh.next)
    if (is_fetch_source (config, id, our_number, member)
        && get_object_number (&member->versions, id) == highest && skip-- == 0)
      found = member;
  return found;
}

static void
on_object_fetched (void *context,
                   enum result result,
                   uint64_t number,
                   const char *text)
{
  struct object_fetch *fetch = context;
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
  /* Adoption uses the number inside the object, not the one of the reply. */
  if (json != NULL)
    config_adopt (config, id, json, 0, "peer");
  json_decref (json);
}

static void
fetch_object (struct config *config,
              enum peer_object_id id,
              const struct member *source)
{
  struct object_fetch *fetch = malloc (sizeof *fetch);

  if (fetch == NULL)
    return;
  fetch->config = config;
  fetch->id = id;
  config->objects[id].fetching = true;
  peer_fetch_object (config->peers, source->info.address, source->info.port, id,
                     on_object_fetched, fetch);
}

void
config_fetch_newer (struct config *config)
{
  for (enum peer_object_id id = PEER_SHEET; id <= PEER_HOSTS; id++)
    {
      const struct member *source;

      if (config->objects[id].fetching)
        continue;
      source = pick_fetch_source (config, id);
      if (source != NULL)
        fetch_object (config, id, source);
    }
}
