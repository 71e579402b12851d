#include "formation-internal.h"

#include <stdlib.h>
#include <string.h>

struct formation_member *
formation_member (struct formation *formation, const struct endpoint *endpoint)
{
  struct formation_member *member;

  HASH_FIND_STR (formation->members, endpoint->id, member);
  if (member == NULL)
    {
      member = calloc (1, sizeof *member);
      if (member == NULL)
        return NULL;
      memcpy (member->id, endpoint->id, sizeof member->id);
      member->started_ms = endpoint->report.started_ms;
      HASH_ADD_STR (formation->members, id, member);
    }
  return member;
}

bool
formation_usable (const struct formation_run *run,
                  const struct endpoint *endpoint)
{
  return endpoint != NULL && endpoint_is_usable (endpoint)
         && !run->hooks->is_silent (run->hooks->context, endpoint);
}

bool
formation_concerns (const struct formation_run *run,
                    const struct endpoint *endpoint)
{
  const struct catalog_service *service;

  if (strcmp (endpoint->report.data_centre,
              run->formation->settings.data_centre)
      != 0)
    return false;
  service = catalog_find_service (run->catalog, endpoint->report.service);
  return service != NULL && service->model_count > 0;
}

/* Forgets endpoints that are gone, and the former lives of those restarted. */
void
formation_forget_members (const struct formation_run *run)
{
  struct formation_member *member = run->formation->members;

  while (member != NULL)
    {
      struct formation_member *next = member->hh.next;
      const struct endpoint *endpoint
          = endpoints_find (run->endpoints, member->id);

      if (endpoint == NULL
          || endpoint->report.started_ms != member->started_ms)
        {
          HASH_DELETE (hh, run->formation->members, member);
          free (member);
        }
      member = next;
    }
}
