#include "fleet.h"

#include <string.h>

bool
fleet_host_is_leaving (const struct fleet_host *host)
{
#ifdef BREAK_GUARD_LEAVING
  return false;
#endif
  return host->listed_leaving || host->drained || host->refused_leaving
         || host->attested.leaving;
}

bool
fleet_host_is_present (const struct fleet_host *host, int64_t now_ms)
{
  return host->attested.seen_ms != FLEET_NEVER
         && now_ms - host->attested.seen_ms <= FLEET_ATTESTATION_AGE_LIMIT_MS;
}

static enum fleet_serving
get_member_serving (const struct fleet *fleet,
                    const struct fleet_group *group,
                    unsigned rank,
                    int64_t now_ms)
{
  const struct fleet_host *host = fleet_find_host (fleet, group->members[rank]);
  const struct fleet_attestation *attested;

#ifdef BREAK_GUARD_ATTESTATION
  if (host != NULL && !fleet_host_is_present (host, now_ms))
    return FLEET_SERVING;
#endif
  if (host == NULL || !fleet_host_is_present (host, now_ms))
    return FLEET_MEMBER_ABSENT;
  if (fleet_host_is_leaving (host))
    return FLEET_MEMBER_LEAVING;
  attested = &host->attested;
  if (strcmp (attested->group, group->id) != 0
      || attested->generation != group->generation || attested->rank != rank
      || attested->span != group->span)
    return FLEET_MEMBER_DIFFERS;
  if (attested->state != FLEET_ENGINE_READY)
    return FLEET_MEMBER_LOADING;
  return FLEET_SERVING;
}

enum fleet_serving
fleet_group_serving_state (const struct fleet *fleet,
                           const struct fleet_group *group,
                           int64_t now_ms)
{
  if (group->span == 0 || group->member_count != group->span)
    return FLEET_INCOMPLETE;
  if (group->draining)
    return FLEET_MEMBER_LEAVING;
  for (unsigned rank = 0; rank < group->member_count; rank++)
    {
      enum fleet_serving serving
          = get_member_serving (fleet, group, rank, now_ms);

      if (serving != FLEET_SERVING)
        return serving;
    }
  return FLEET_SERVING;
}

const char *
fleet_serving_name (enum fleet_serving serving)
{
  switch (serving)
    {
    case FLEET_SERVING:
      return "serving";
    case FLEET_INCOMPLETE:
      return "incomplete";
    case FLEET_MEMBER_ABSENT:
      return "member-absent";
    case FLEET_MEMBER_DIFFERS:
      return "member-differs";
    case FLEET_MEMBER_LOADING:
      return "member-loading";
    case FLEET_MEMBER_LEAVING:
      return "member-leaving";
    }
  return "unknown";
}

const struct fleet_host *
fleet_group_head (const struct fleet *fleet, const struct fleet_group *group)
{
  if (group->member_count == 0)
    return NULL;
  return fleet_find_host (fleet, group->members[0]);
}
