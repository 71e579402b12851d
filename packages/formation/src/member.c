#include "formation-internal.h"

#include <stdlib.h>
#include <string.h>

/* A leave order that had no effect is sent again after this time. */
#define LEAVE_RETRY_MS 1000

struct formation_member *
formation_get_member (struct formation *formation,
                      const struct endpoint *endpoint)
{
  struct formation_member *member;

  HASH_FIND_STR (formation->members, endpoint->id, member);
  if (member == NULL)
    {
      const char *id;

      member = text_allocate_with (sizeof *member, endpoint->id, &id);
      if (member == NULL)
        return NULL;
      member->id = id;
      member->started_ms = endpoint->report.started_ms;
      HASH_ADD_KEYPTR (hh, formation->members, member->id, strlen (id), member);
    }
  return member;
}

void
formation_free_member (struct formation_member *member)
{
  free (member->loading_model);
  free (member);
}

bool
formation_is_loading (const struct formation_member *member, const char *model)
{
  return member->loading_model != NULL
         && strcmp (member->loading_model, model) == 0;
}

void
formation_exclude_endpoint (struct formation *formation,
                            const char *endpoint,
                            int64_t until_ms)
{
  struct formation_member *member;

  HASH_FIND_STR (formation->members, endpoint, member);
  if (member != NULL)
    member->excluded_until_ms = until_ms;
}

bool
formation_is_usable (const struct formation_run *run,
                     const struct endpoint *endpoint)
{
  return endpoint != NULL && endpoint_is_usable (endpoint)
         && !run->hooks->is_silent (run->hooks->context, endpoint);
}

bool
formation_is_managed (const struct formation_run *run,
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

bool
formation_is_reported_member (const struct endpoint *endpoint,
                              const struct formation_group *group)
{
  return endpoint->report.epoch == group->epoch
         && endpoint->report.state != ENDPOINT_GROUP_NONE
         && strcmp (endpoint->report.group, group->name) == 0;
}

/* Takes a member that is not listed any more out of its group. */
static void
remove_from_group (struct formation_member *member)
{
  struct formation_group *group = member->group;

  for (unsigned rank = 0; group != NULL && rank < FORMATION_SIZE_LIMIT; rank++)
    if (strcmp (group->members[rank], member->id) == 0)
      group->members[rank] = "";
}

/*
 * A new incarnation knows nothing of before.  It stays a member of its group,
 * so that it is not counted on by another one, until the group has ended or it
 * has joined again.
 */
static void
reset_restarted_member (const struct formation_run *run,
                        struct formation_member *member)
{
  const struct endpoint *endpoint = endpoints_find (run->endpoints, member->id);
  struct formation_member reset = { .id = member->id, .group = member->group };

  if (endpoint == NULL || endpoint->report.started_ms == member->started_ms)
    return;
  /* It may have received a join that was sent before the restart was known. */
  if (member->group != NULL
      && formation_is_reported_member (endpoint, member->group))
    {
      member->started_ms = endpoint->report.started_ms;
      return;
    }
  reset.started_ms = endpoint->report.started_ms;
  reset.hh = member->hh;
  free (member->loading_model);
  *member = reset;
  member->loading_model = NULL;
}

void
formation_remove_stale_members (const struct formation_run *run)
{
  struct formation *formation = run->formation;
  struct formation_member *member;
  struct formation_member *kept = NULL;
  bool has_deleted = false;

  for (member = formation->members; member != NULL; member = member->hh.next)
    {
      reset_restarted_member (run, member);
      if (endpoints_find (run->endpoints, member->id) == NULL)
        has_deleted = true;
    }
  if (!has_deleted)
    return;
  member = formation->members;
  /* Rebuilds the table, since entries cannot be freed during iteration. */
  HASH_CLEAR (hh, formation->members);
  while (member != NULL)
    {
      struct formation_member *next = member->hh.next;

      if (endpoints_find (run->endpoints, member->id) != NULL)
        HASH_ADD_KEYPTR (hh, kept, member->id, strlen (member->id), member);
      else
        {
          remove_from_group (member);
          formation_free_member (member);
        }
      member = next;
    }
  formation->members = kept;
}

/* The head of the endpoint's group, if it is known and responds. */
static const struct endpoint *
find_reachable_head (const struct formation_run *run,
                     const struct endpoint *endpoint)
{
  for (const struct endpoint *other = run->endpoints->table; other != NULL;
       other = other->hh.next)
    if (other->report.state != ENDPOINT_GROUP_NONE && other->report.rank == 0
        && other->report.epoch == endpoint->report.epoch
        && strcmp (other->report.group, endpoint->report.group) == 0)
      return run->hooks->is_silent (run->hooks->context, other)
                     || other->deleted_ms != 0
                 ? NULL
                 : other;
  return NULL;
}

static enum formation_claim
decide_claim (const struct formation_run *run,
              const struct formation_member *member,
              const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;
  const struct endpoint *head = NULL;

  if (report->rank == 0)
    head = endpoint;
  else if (member->abandoned_epoch == report->epoch)
    head = find_reachable_head (run, endpoint);
  return formation_may_take (report, member->abandoned_epoch,
                             head != NULL ? &head->report : NULL);
}

bool
formation_try_release (const struct formation_run *run,
                       struct formation_member *member,
                       const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;
  enum formation_claim claim = decide_claim (run, member, endpoint);
  struct formation_order order = {
    .endpoint = endpoint->id,
    .group = report->group,
    .epoch = report->epoch,
    .model = report->model,
  };

#ifdef BREAK_GUARD_EDGE_RELEASE
  return true;
#endif
  if (claim == FORMATION_CLAIM_TAKE)
    return true;
  if (run->now_ms - member->leave_ordered_ms < LEAVE_RETRY_MS)
    return false;
  member->leave_ordered_ms = run->now_ms;
  if (claim == FORMATION_CLAIM_EVICT)
    {
      order.op = FORMATION_EVICT;
      order.reason = "serves in an unknown group";
    }
  else
    {
      order.op = FORMATION_LEAVE;
      order.reason = "has to leave its group first";
    }
  run->hooks->order (run->hooks->context, &order);
  return false;
}

void
formation_send_join (const struct formation_run *run,
                     const struct formation_order *order,
                     struct formation_member *member,
                     const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;
  struct formation_basis basis
      = { .started_ms = report->started_ms, .group = "" };
  struct formation_order join = *order;

  if (report->state != ENDPOINT_GROUP_NONE)
    {
      basis.group = report->group;
      basis.epoch = report->epoch;
    }
  join.basis = &basis;
  member->joined_epoch = order->epoch;
  run->hooks->order (run->hooks->context, &join);
}
