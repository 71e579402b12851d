#include "formation-internal.h"

#include <string.h>

static bool
can_serve (const struct endpoint_report *head)
{
  return head->state == ENDPOINT_GROUP_OPEN
         || head->state == ENDPOINT_GROUP_CLOSING;
}

enum formation_claim
formation_may_take (const struct endpoint_report *report,
                    uint64_t abandoned_epoch,
                    const struct endpoint_report *head)
{
  if (report->state == ENDPOINT_GROUP_NONE)
    return FORMATION_CLAIM_TAKE;
  if (report->rank == 0 && can_serve (report))
    return FORMATION_CLAIM_EVICT;
  /* Nobody orders the group of a spare to open. */
  if (formation_is_spare_group (report->group))
    return FORMATION_CLAIM_TAKE;
  return abandoned_epoch != 0 && abandoned_epoch == report->epoch
                 && head != NULL && !can_serve (head)
             ? FORMATION_CLAIM_TAKE
             : FORMATION_CLAIM_LEAVE;
}

enum formation_join_step
formation_check_join (const struct formation_basis *basis,
                      const char *group,
                      uint64_t epoch,
                      const struct endpoint_report *report)
{
  if (report->started_ms != basis->started_ms && report->started_ms != 0
      && basis->started_ms != 0)
    return FORMATION_JOIN_DROP;
  if (report->state == ENDPOINT_GROUP_NONE)
    return FORMATION_JOIN_SEND;
  if (report->epoch == epoch && strcmp (report->group, group) == 0)
    return FORMATION_JOIN_DROP;
  if (formation_is_spare_group (report->group))
    return FORMATION_JOIN_SEND;
  return report->epoch == basis->epoch
                 && strcmp (report->group, basis->group) == 0
             ? FORMATION_JOIN_LEAVE_FIRST
             : FORMATION_JOIN_RETRY;
}
