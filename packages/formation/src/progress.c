#include "formation-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An order without effect is sent again after this time. */
#define ORDER_RETRY_MS 1200
/* Join orders without effect before the endpoint is left out. */
#define JOIN_TRIES 4
/* An endpoint that ignores orders is left out for this long. */
#define JOIN_HOLD_MS 4000
/* A head that does not close in this time is left to its members' leaving. */
#define FAILED_LIMIT_MS 4000
/* An order to open has had its effect, and the report is there, by then. */
#define SHUT_WAIT_MS 1200
/* A new holder of the lease gives incomplete groups this long to show up. */
#define ADOPT_MS 1500
/* A closing group that still has work after this is cut off. */
#define RETIRE_LIMIT_MS 8000

void
formation_order (const struct formation_run *run,
                 const struct formation_group *group,
                 enum formation_op op,
                 const char *endpoint,
                 const char *reason)
{
  struct formation_order order = {
    .op = op,
    .endpoint = endpoint,
    .group = group->name,
    .epoch = group->epoch,
    .model = group->model,
    .members = (char (*)[CATALOG_NAME_SIZE])group->members,
    .member_count = group->size,
    .reason = reason,
  };

  run->hooks->order (run->hooks->context, &order);
}

/*
 * True if the head may yet be open, or open later: an order to do so may be
 * under way, by this holder of the lease or an earlier one, or the head's last
 * report is older than the phase.
 */
static bool
may_still_open (const struct formation_group *group,
                const struct endpoint *head)
{
  bool was_ordered = group->phase != FORMATION_JOINING || group->adopted;

  return group->opens > 0 || group->adopted
         || (was_ordered
             && (head == NULL || head->revision <= group->head_revision));
}

/* The members are free only once they themselves report that they have left. */
static void
require_leave (const struct formation_run *run,
               const struct formation_group *group)
{
  for (struct formation_member *member = run->formation->members;
       member != NULL; member = member->hh.next)
    if (member->group == group)
      member->must_leave = group->epoch;
}

void
formation_set_phase (const struct formation_run *run,
                     struct formation_group *group,
                     enum formation_phase phase,
                     const char *reason)
{
  const struct endpoint *head
      = endpoints_find (run->endpoints, group->members[0]);

  if (phase == FORMATION_SERVING && group->opens > 0)
    group->opens--;
  if (phase == FORMATION_GONE && may_still_open (group, head))
    require_leave (run, group);
  group->phase = phase;
  group->head_revision = head != NULL ? head->revision : 0;
  group->since_ms = run->now_ms;
  group->ordered_ms = 0;
  group->tries = 0;
  run->hooks->changed (run->hooks->context, group, reason);
}

static struct formation_group *
find_group (struct formation *formation, const char *name, uint64_t epoch)
{
  struct formation_group *group;

  TAILQ_FOREACH (group, &formation->groups, link)
    if (group->epoch == epoch && strcmp (group->name, name) == 0)
      return group;
  return NULL;
}

static struct formation_group *
adopt_group (const struct formation_run *run, const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;
  const struct catalog_service *service
      = catalog_find_service (run->catalog, report->service);
  const struct catalog_model *model
      = catalog_find_model (service, report->model);
  struct formation_group *group;

  if (report->state == ENDPOINT_GROUP_NONE || model == NULL
      || model->size > FORMATION_SIZE_LIMIT)
    return NULL;
  group = calloc (1, sizeof *group);
  if (group == NULL)
    return NULL;
  group->epoch = report->epoch;
  group->size = model->size;
  group->adopted = true;
  group->since_ms = run->now_ms;
  memcpy (group->name, report->group, sizeof group->name);
  memcpy (group->service, report->service, sizeof group->service);
  memcpy (group->model, model->name, sizeof group->model);
  memcpy (group->domain, report->domain, sizeof group->domain);
  TAILQ_INSERT_TAIL (&run->formation->groups, group, link);
  return group;
}

/* True for a group of this holder that is no longer among its records. */
static bool
was_given_up (const struct formation_run *run,
              const struct endpoint_report *report)
{
  return report->epoch >> FORMATION_EPOCH_SHIFT == run->formation->fence
         && run->now_ms - run->formation->held_since_ms > ADOPT_MS;
}

/* Takes up groups that an earlier holder of the lease has formed. */
void
formation_adopt (const struct formation_run *run)
{
  for (struct endpoint *endpoint = run->endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      const struct endpoint_report *report = &endpoint->report;
      struct formation_group *group;
      struct formation_member *member;

      if (report->state == ENDPOINT_GROUP_NONE
          || formation_is_spare_group (report->group)
          || !formation_concerns (run, endpoint))
        continue;
      group = find_group (run->formation, report->group, report->epoch);
      if (group == NULL)
        {
          member = formation_member (run->formation, endpoint);
          if (member == NULL || member->group != NULL
              || was_given_up (run, report)
              || member->given_up == report->epoch)
            continue;
          group = adopt_group (run, endpoint);
        }
      if (group == NULL || !group->adopted || report->rank >= group->size)
        continue;
      member = formation_member (run->formation, endpoint);
      if (member == NULL || member->group != NULL)
        continue;
      member->group = group;
      memcpy (group->members[report->rank], endpoint->id,
              sizeof group->members[0]);
      if (report->rank == 0 && report->state == ENDPOINT_GROUP_OPEN)
        group->phase = FORMATION_SERVING;
    }
}

/* The endpoint of a member, NULL if it is not there at all. */
static struct endpoint *
member_endpoint (const struct formation_run *run,
                 const struct formation_group *group,
                 unsigned rank)
{
  return endpoints_find (run->endpoints, group->members[rank]);
}

enum member_view
{
  MEMBER_READY,   /* reports the group, and is ready or serving */
  MEMBER_PENDING, /* is on its way */
  MEMBER_LEAVING,
  MEMBER_LOST,
};

static enum member_view
view_member (const struct formation_run *run,
             const struct formation_group *group,
             unsigned rank)
{
  const struct endpoint *endpoint = member_endpoint (run, group, rank);

  if (endpoint == NULL || run->hooks->is_silent (run->hooks->context, endpoint))
    return MEMBER_LOST;
  if (!endpoint_is_usable (endpoint))
    return MEMBER_LEAVING;
  if (!formation_reports (endpoint, group)
      || endpoint->report.state == ENDPOINT_GROUP_JOINING)
    return MEMBER_PENDING;
  return MEMBER_READY;
}

struct group_view
{
  unsigned ready;
  unsigned pending;
  unsigned leaving;
  unsigned lost;
};

static struct group_view
view_group (const struct formation_run *run,
            const struct formation_group *group)
{
  struct group_view view = { 0 };

  for (unsigned rank = 0; rank < group->size; rank++)
    switch (view_member (run, group, rank))
      {
      case MEMBER_READY:
        view.ready++;
        break;
      case MEMBER_PENDING:
        view.pending++;
        break;
      case MEMBER_LEAVING:
        view.leaving++;
        break;
      case MEMBER_LOST:
        view.lost++;
        break;
      }
  return view;
}

static bool
order_due (const struct formation_run *run, struct formation_group *group)
{
  if (group->ordered_ms != 0
      && run->now_ms - group->ordered_ms < ORDER_RETRY_MS)
    return false;
  group->ordered_ms = run->now_ms;
  group->tries++;
  return true;
}

/* Sends the join again to members that do not show it. */
static bool
repeat_joins (const struct formation_run *run, struct formation_group *group)
{
  for (unsigned rank = 0; rank < group->size; rank++)
    {
      struct endpoint *endpoint = member_endpoint (run, group, rank);
      struct formation_member *member;

      if (endpoint == NULL || formation_reports (endpoint, group))
        continue;
      member = formation_member (run->formation, endpoint);
      if (member == NULL || run->now_ms - member->joined_ms < ORDER_RETRY_MS)
        continue;
      if (member->tries >= JOIN_TRIES)
        {
          member->hold_ms = run->now_ms + JOIN_HOLD_MS;
          return false;
        }
      member->joined_ms = run->now_ms;
      member->tries++;
      formation_order (run, group, FORMATION_JOIN, endpoint->id,
                       "not reported yet");
    }
  return true;
}

static void
progress_joining (const struct formation_run *run,
                  struct formation_group *group)
{
  struct group_view view = view_group (run, group);
  const struct endpoint *head = member_endpoint (run, group, 0);

  if (group->adopted && view.lost > 0
      && run->now_ms - group->since_ms < ADOPT_MS)
    return;
  if (head != NULL && formation_reports (head, group)
      && head->report.state == ENDPOINT_GROUP_OPEN)
    formation_set_phase (run, group, FORMATION_SERVING, "head is open");
  else if (view.lost > 0 || view.leaving > 0)
    /* An earlier holder of the lease may have ordered the head to open. */
    formation_set_phase (run, group,
                         group->adopted ? FORMATION_FAILED : FORMATION_GONE,
                         "lost a member before it opened");
#ifdef BREAK_GUARD_EDGE_READY
  else if (view.ready > 0)
#else
  else if (view.ready == group->size)
#endif
    formation_set_phase (run, group, FORMATION_OPENING, "all members ready");
  else if (!repeat_joins (run, group))
    formation_set_phase (run, group, FORMATION_GONE, "a member ignores it");
}

/* The group cannot go on without a lost or leaving member. */
static void
progress_loss (const struct formation_run *run,
               struct formation_group *group,
               const struct group_view *view)
{
  if (view->lost > 0)
    formation_set_phase (run, group, FORMATION_FAILED, "lost a member");
  else
    formation_set_phase (run, group, FORMATION_RETIRING, "a member leaves");
}

static void
progress_opening (const struct formation_run *run,
                  struct formation_group *group)
{
  struct group_view view = view_group (run, group);
  const struct endpoint *head = member_endpoint (run, group, 0);

  if (view.lost > 0 || view.leaving > 0)
    progress_loss (run, group, &view);
  else if (head != NULL && head->report.state == ENDPOINT_GROUP_OPEN
           && formation_reports (head, group))
    formation_set_phase (run, group, FORMATION_SERVING, "head is open");
#ifndef BREAK_GUARD_EDGE_READY
  else if (view.pending > 0)
    formation_set_phase (run, group, FORMATION_FAILED, "a member changed");
#endif
  else if (head != NULL && order_due (run, group))
    {
      group->opens++;
      formation_order (run, group, FORMATION_OPEN, head->id, "all ready");
    }
}

static void
progress_serving (const struct formation_run *run,
                  struct formation_group *group)
{
  struct group_view view = view_group (run, group);
  const struct endpoint *head = member_endpoint (run, group, 0);

  if (head != NULL && formation_reports (head, group)
      && head->report.state == ENDPOINT_GROUP_BROKEN)
    formation_set_phase (run, group, FORMATION_GONE, "broken");
  else if (view.lost > 0 || view.leaving > 0)
    progress_loss (run, group, &view);
  else if (view.pending > 0)
    formation_set_phase (run, group, FORMATION_FAILED, "a member changed");
  else if (head != NULL && head->report.state == ENDPOINT_GROUP_READY)
    formation_set_phase (run, group, FORMATION_OPENING, "head had closed");
}

/*
 * True if the head reports that it cannot serve.  What it reported before the
 * phase began may be older than an order to open that it has got since.
 */
static bool
head_is_shut (const struct formation_run *run,
              const struct formation_group *group)
{
  const struct endpoint *head = member_endpoint (run, group, 0);

  if (head == NULL || run->hooks->is_silent (run->hooks->context, head))
    return false;
  if (head->revision <= group->head_revision
      && run->now_ms - group->since_ms < SHUT_WAIT_MS)
    return false;
  return !formation_reports (head, group)
         || head->report.state == ENDPOINT_GROUP_READY
         || head->report.state == ENDPOINT_GROUP_JOINING
         || head->report.state == ENDPOINT_GROUP_BROKEN;
}

static void
progress_failed (const struct formation_run *run, struct formation_group *group)
{
  const struct endpoint *head = member_endpoint (run, group, 0);

  if (head == NULL || run->hooks->is_silent (run->hooks->context, head))
    /* The members are ordered to leave one by one; see member.c. */
    formation_set_phase (run, group, FORMATION_GONE, "lost the head");
  else if (head_is_shut (run, group))
    formation_set_phase (run, group, FORMATION_GONE, "head is shut");
  else if (run->now_ms - group->since_ms >= FAILED_LIMIT_MS)
    formation_set_phase (run, group, FORMATION_GONE, "head stays open");
  else if (order_due (run, group))
    formation_order (run, group, FORMATION_EVICT, head->id, "lost a member");
}

static void
progress_retiring (const struct formation_run *run,
                   struct formation_group *group)
{
  struct group_view view = view_group (run, group);
  const struct endpoint *head = member_endpoint (run, group, 0);

  if (view.lost > 0)
    formation_set_phase (run, group, FORMATION_FAILED, "lost a member");
  else if (head_is_shut (run, group))
    formation_set_phase (run, group, FORMATION_GONE, "closed");
  else if (run->now_ms - group->since_ms > RETIRE_LIMIT_MS)
    formation_set_phase (run, group, FORMATION_FAILED, "closes too slowly");
  else if (head != NULL && order_due (run, group))
    formation_order (run, group, FORMATION_DRAIN, head->id, "a member leaves");
}

void
formation_progress (const struct formation_run *run)
{
  static void (*const steps[]) (const struct formation_run *run,
                                struct formation_group *group)
      = {
          [FORMATION_JOINING] = progress_joining,
          [FORMATION_OPENING] = progress_opening,
          [FORMATION_SERVING] = progress_serving,
          [FORMATION_RETIRING] = progress_retiring,
          [FORMATION_FAILED] = progress_failed,
        };
  struct formation_group *group;

  TAILQ_FOREACH (group, &run->formation->groups, link)
    {
      enum formation_phase before;

      /* Several steps may be possible at once, such as ready and open. */
      do
        {
          before = group->phase;
          steps[before](run, group);
        }
      while (group->phase != before && group->phase != FORMATION_GONE);
    }
}
