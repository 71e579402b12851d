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
 * An assignment and a host list come only from our data centre: the assignment
 * is its own, and host lists are numbered by its readers.
 */
static bool
may_be_source (const struct config *config,
               enum peer_object_id id,
               uint64_t ours,
               const struct member *member)
{
  bool local = strcmp (member->info.data_centre, config->data_centre) == 0;

  return member_is_live (member) && number_of (&member->versions, id) > ours
         && !peer_is_cut (config->peers, member->info.data_centre)
         && (local || (id != PEER_ASSIGNMENT && id != PEER_HOSTS));
}

/*
 * One of the members with the highest number above ours.  Each try takes the
 * next of them, since one that is paused still counts as live for seconds.
 */
static const struct member *
find_source (struct config *config, enum peer_object_id id)
{
  const struct member *found = NULL;
  uint64_t ours = config->objects[id].number;
  uint64_t highest = 0;
  size_t count = 0;
  size_t skip;

  for (const struct member *member = config->members->members; member != NULL;
       member = member->hh.next)
    {
      uint64_t number = number_of (&member->versions, id);

      if (!may_be_source (config, id, ours, member) || number < highest)
        continue;
      count = number > highest ? 1 : count + 1;
      highest = number;
    }
  if (count == 0)
    return NULL;
  skip = config->objects[id].tries++ % count;
  for (const struct member *member = config->members->members;
       member != NULL && found == NULL; member = member->hh.next)
    if (may_be_source (config, id, ours, member)
        && number_of (&member->versions, id) == highest && skip-- == 0)
      found = member;
  return found;
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
