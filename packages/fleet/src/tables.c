#include "fleet.h"

#include <stdlib.h>
#include <string.h>

void
fleet_init (struct fleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
}

void
fleet_finish (struct fleet *fleet)
{
  struct fleet_host *host = fleet->hosts;
  struct fleet_group *group = fleet->groups;

  HASH_CLEAR (hh, fleet->hosts);
  while (host != NULL)
    {
      struct fleet_host *next = host->hh.next;

      free (host);
      host = next;
    }
  HASH_CLEAR (hh, fleet->groups);
  while (group != NULL)
    {
      struct fleet_group *next = group->hh.next;

      free (group);
      group = next;
    }
}

struct fleet_host *
fleet_find_host (const struct fleet *fleet, const char *id)
{
  struct fleet_host *host;

  HASH_FIND_STR (fleet->hosts, id, host);
  return host;
}

struct fleet_host *
fleet_add_host (struct fleet *fleet, const char *id)
{
  struct fleet_host *host = fleet_find_host (fleet, id);

  if (host != NULL)
    return host;
  if (strlen (id) >= sizeof host->id)
    return NULL;
  host = calloc (1, sizeof *host);
  if (host == NULL)
    return NULL;
  memcpy (host->id, id, strlen (id) + 1);
  host->attested.seen_ms = FLEET_NEVER;
  HASH_ADD_STR (fleet->hosts, id, host);
  return host;
}

void
fleet_remove_host (struct fleet *fleet, const char *id)
{
  struct fleet_host *host = fleet_find_host (fleet, id);

  if (host == NULL)
    return;
  HASH_DEL (fleet->hosts, host);
  free (host);
}

struct fleet_group *
fleet_find_group (const struct fleet *fleet, const char *id)
{
  struct fleet_group *group;

  HASH_FIND_STR (fleet->groups, id, group);
  return group;
}

struct fleet_group *
fleet_add_group (struct fleet *fleet, const char *id)
{
  struct fleet_group *group = fleet_find_group (fleet, id);

  if (group != NULL)
    return group;
  if (strlen (id) >= sizeof group->id)
    return NULL;
  group = calloc (1, sizeof *group);
  if (group == NULL)
    return NULL;
  memcpy (group->id, id, strlen (id) + 1);
  HASH_ADD_STR (fleet->groups, id, group);
  return group;
}

void
fleet_remove_group (struct fleet *fleet, const char *id)
{
  struct fleet_group *group = fleet_find_group (fleet, id);

  if (group == NULL)
    return;
  HASH_DEL (fleet->groups, group);
  free (group);
}
