#include "formation-internal.h"

#include <stdlib.h>
#include <string.h>

/* An order to leave without effect is sent again after this time. */
#define RELEASE_RETRY_MS 1000

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

void
formation_hold (struct formation *formation,
                const char *endpoint,
                int64_t until_ms)
{
  struct formation_member *member;

  HASH_FIND_STR (formation->members, endpoint, member);
  if (member != NULL)
    member->hold_ms = until_ms;
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

bool
formation_reports (const struct endpoint *endpoint,
                   const struct formation_group *group)
{
  return endpoint->report.epoch == group->epoch
         && endpoint->report.state != ENDPOINT_GROUP_NONE
         && strcmp (endpoint->report.group, group->name) == 0;
}

static bool
is_forgotten (const struct formation_run *run, struct formation_member *member)
{
  const struct endpoint *endpoint = endpoints_find (run->endpoints, member->id);

  if (endpoint == NULL)
    return true;
  if (endpoint->report.started_ms == member->started_ms)
    return false;
  /* It restarted, and a join that was sent before this was known reached it. */
  if (member->group != NULL && formation_reports (endpoint, member->group))
    {
      member->started_ms = endpoint->report.started_ms;
      return false;
    }
  return true;
}

/* Forgets endpoints that are gone, and the former lives of those restarted. */
void
formation_forget_members (const struct formation_run *run)
{
  struct formation *formation = run->formation;
  struct formation_member *member = formation->members;
  struct formation_member *kept = NULL;

  while (member != NULL && !is_forgotten (run, member))
    member = member->hh.next;
  if (member == NULL)
    return;
  member = formation->members;
  /* The table is built anew, since entries may not be freed while walked. */
  HASH_CLEAR (hh, formation->members);
  while (member != NULL)
    {
      struct formation_member *next = member->hh.next;

      if (is_forgotten (run, member))
        free (member);
      else
        HASH_ADD_STR (kept, id, member);
      member = next;
    }
  formation->members = kept;
}

/* The head of the endpoint's group, if it is known and answers. */
static const struct endpoint *
reported_head (const struct formation_run *run, const struct endpoint *endpoint)
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

static bool
may_serve (const struct endpoint *head)
{
  return head->report.state == ENDPOINT_GROUP_OPEN
         || head->report.state == ENDPOINT_GROUP_CLOSING;
}

bool
formation_release (const struct formation_run *run,
                   struct formation_member *member,
                   const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;
  const struct endpoint *head;
  struct formation_order order = {
    .endpoint = endpoint->id,
    .group = report->group,
    .epoch = report->epoch,
    .model = report->model,
  };

#ifdef BREAK_GUARD_EDGE_RELEASE
  return true;
#endif
  if (report->state == ENDPOINT_GROUP_NONE)
    return true;
  head = report->rank == 0 ? endpoint : reported_head (run, endpoint);
  if (head != NULL && !may_serve (head) && report->epoch != member->must_leave)
    return true;
  if (run->now_ms - member->released_ms < RELEASE_RETRY_MS)
    return false;
  member->released_ms = run->now_ms;
  if (head == endpoint && may_serve (endpoint))
    {
      order.op = FORMATION_EVICT;
      order.reason = "serves in no known group";
    }
  else
    {
      order.op = FORMATION_LEAVE;
      order.reason = "its head may serve";
    }
  run->hooks->order (run->hooks->context, &order);
  return false;
}
