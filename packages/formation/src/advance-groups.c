#include "formation-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An order that had no effect is sent again after this time. */
#define ORDER_RETRY_MS 1200
/* Join orders without effect before the endpoint is excluded. */
#define JOIN_TRIES 4
/* An endpoint that ignores joins is excluded from new groups this long. */
#define JOIN_EXCLUDE_MS 4000
/*
 * If the head of a failed group does not close within this time, the members
 * are ordered to leave one by one.
 */
#define FAILED_LIMIT_MS 4000
/* Within this time an open order takes effect and the report arrives. */
#define OPEN_REPORT_MS 1200
/* A new holder of the lease waits this long for the members of a group. */
#define ADOPT_WAIT_MS 1500
/*
 * Members that a new holder has never seen count as present for this long:
 * entries that expired during a platform outage are back within 2 s of its end.
 */
#define UNKNOWN_MEMBER_WAIT_MS 2200
/* A retiring group that still has requests after this time is evicted. */
#define RETIRE_LIMIT_MS 8000

static struct formation_order
make_order (const struct formation_group *group,
            enum formation_op op,
            const char *endpoint,
            const char *reason)
{
  return (struct formation_order){
    .op = op,
    .endpoint = endpoint,
    .group = group->name,
    .epoch = group->epoch,
    .model = group->model,
    .members = group->members,
    .member_count = group->size,
    .reason = reason,
  };
}

static void
send_order (const struct formation_run *run,
            const struct formation_group *group,
            enum formation_op op,
            const char *endpoint,
            const char *reason)
{
  struct formation_order order = make_order (group, op, endpoint, reason);

  run->hooks->order (run->hooks->context, &order);
}

void
formation_join_member (const struct formation_run *run,
                       const struct formation_group *group,
                       struct formation_member *member,
                       const struct endpoint *endpoint,
                       const char *reason)
{
  struct formation_order order
      = make_order (group, FORMATION_JOIN, endpoint->id, reason);

  formation_send_join (run, &order, member, endpoint);
}

void
formation_set_phase (const struct formation_run *run,
                     struct formation_group *group,
                     enum formation_phase phase,
                     const char *reason)
{
  const struct endpoint *head
      = endpoints_find (run->endpoints, group->members[0]);

  group->phase = phase;
  group->head_revision = head != NULL ? head->revision : 0;
  group->phase_since_ms = run->now_ms;
  group->last_order_ms = 0;
  group->order_tries = 0;
  run->hooks->phase_changed (run->hooks->context, group, reason);
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

/*
 * Sets the model of an adopted group from a member's report.  Members that are
 * joining report no model yet.  False if the report does not fit the group.
 */
static bool
learn_model (const struct formation_run *run,
             struct formation_group *group,
             const struct endpoint_report *report)
{
  const struct catalog_model *model;

  if (report->model[0] == '\0' || report->state == ENDPOINT_GROUP_JOINING)
    return report->rank < FORMATION_SIZE_LIMIT;
  if (group->size == 0)
    {
      model = catalog_find_model (
          catalog_find_service (run->catalog, report->service), report->model);
      if (model == NULL || model->size > FORMATION_SIZE_LIMIT)
        return false;
      group->model = text_pool_add (&group->texts, model->name);
      if (group->model[0] == '\0')
        return false;
      group->size = model->size;
    }
  return strcmp (group->model, report->model) == 0;
}

static struct formation_group *
adopt_group (const struct formation_run *run, const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;
  struct formation_group *group = formation_new_group ();

  if (group == NULL)
    return NULL;
  group->name = text_pool_add (&group->texts, report->group);
  group->service = text_pool_add (&group->texts, report->service);
  group->domain = text_pool_add (&group->texts, report->domain);
  if (!learn_model (run, group, report) || group->texts.failed)
    {
      formation_free_group (group);
      return NULL;
    }
  group->epoch = report->epoch;
  group->adopted = true;
  group->adopted_ms = run->now_ms;
  group->phase_since_ms = run->now_ms;
  TAILQ_INSERT_TAIL (&run->formation->groups, group, link);
  run->hooks->phase_changed (run->hooks->context, group, "adopted");
  return group;
}

/* True for a group that this holder formed and has abandoned. */
static bool
was_abandoned (const struct formation *formation,
               const struct endpoint_report *report)
{
  uint64_t number
      = report->epoch & ((UINT64_C (1) << FORMATION_EPOCH_SHIFT) - 1);

  return report->epoch >> FORMATION_EPOCH_SHIFT == formation->fence
         && number > formation->formed_before;
}

/* The group that the endpoint reports, which may be new; NULL if it has none.
 */
static struct formation_group *
find_or_adopt_group (const struct formation_run *run,
                     const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;
  struct formation_group *group
      = find_group (run->formation, report->group, report->epoch);
  const struct formation_member *member;

  if (group != NULL)
    return learn_model (run, group, report) ? group : NULL;
  member = formation_get_member (run->formation, endpoint);
  if (member == NULL || member->group != NULL
      || was_abandoned (run->formation, report)
      || member->abandoned_epoch == report->epoch)
    return NULL;
  return adopt_group (run, endpoint);
}

/* Adopts groups that an earlier holder of the lease has formed. */
void
formation_adopt_groups (const struct formation_run *run)
{
  for (struct endpoint *endpoint = run->endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      const struct endpoint_report *report = &endpoint->report;
      struct formation_group *group;
      struct formation_member *member;

      if (report->state == ENDPOINT_GROUP_NONE
          || formation_is_spare_group (report->group)
          || !formation_is_managed (run, endpoint))
        continue;
      group = find_or_adopt_group (run, endpoint);
      if (group == NULL || !group->adopted
          || (group->size != 0 && report->rank >= group->size))
        continue;
      member = formation_get_member (run->formation, endpoint);
      if (member == NULL || member->group != NULL)
        continue;
      member->group = group;
      group->members[report->rank]
          = text_pool_add (&group->texts, endpoint->id);
      if (report->rank == 0 && report->state == ENDPOINT_GROUP_OPEN)
        group->phase = FORMATION_SERVING;
    }
}

/* The endpoint of a member; NULL if it is not listed. */
static struct endpoint *
find_member_endpoint (const struct formation_run *run,
                      const struct formation_group *group,
                      unsigned rank)
{
  return endpoints_find (run->endpoints, group->members[rank]);
}

enum formation_member_state
{
  MEMBER_UNKNOWN, /* has not been seen yet by this holder */
  MEMBER_READY,   /* reports the group, and is ready or serving */
  MEMBER_PENDING, /* is joining, or does not report the group */
  MEMBER_LEAVING, /* is draining or leaving */
  MEMBER_FAILED,  /* is not listed, or does not respond */
};

static enum formation_member_state
classify_member (const struct formation_run *run,
                 const struct formation_group *group,
                 unsigned rank)
{
  const struct endpoint *endpoint = find_member_endpoint (run, group, rank);

  if (group->members[rank][0] == '\0' && group->adopted
      && run->now_ms - group->adopted_ms < UNKNOWN_MEMBER_WAIT_MS)
    return MEMBER_UNKNOWN;
  if (endpoint == NULL || run->hooks->is_silent (run->hooks->context, endpoint))
    return MEMBER_FAILED;
  if (!endpoint_is_usable (endpoint))
    return MEMBER_LEAVING;
  if (!formation_is_reported_member (endpoint, group)
      || endpoint->report.state == ENDPOINT_GROUP_JOINING)
    return MEMBER_PENDING;
  return MEMBER_READY;
}

/* The size of the group, at least: members that join have no model yet. */
static unsigned
get_known_size (const struct formation_group *group)
{
  unsigned size = FORMATION_SIZE_LIMIT;

  if (group->size != 0)
    return group->size;
  while (size > 0 && group->members[size - 1][0] == '\0')
    size--;
  return size;
}

/* Members of a group by enum formation_member_state. */
struct member_counts
{
  unsigned unknown;
  unsigned ready;
  unsigned pending;
  unsigned leaving;
  unsigned failed;
};

static struct member_counts
count_member_states (const struct formation_run *run,
                     const struct formation_group *group)
{
  struct member_counts counts = { 0 };

  for (unsigned rank = 0; rank < get_known_size (group); rank++)
    switch (classify_member (run, group, rank))
      {
      case MEMBER_UNKNOWN:
        counts.unknown++;
        break;
      case MEMBER_READY:
        counts.ready++;
        break;
      case MEMBER_PENDING:
        counts.pending++;
        break;
      case MEMBER_LEAVING:
        counts.leaving++;
        break;
      case MEMBER_FAILED:
        counts.failed++;
        break;
      }
  return counts;
}

/* True if an order is due in this phase; records it as sent. */
static bool
begin_order_if_due (const struct formation_run *run,
                    struct formation_group *group)
{
  if (group->last_order_ms != 0
      && run->now_ms - group->last_order_ms < ORDER_RETRY_MS)
    return false;
  group->last_order_ms = run->now_ms;
  group->order_tries++;
  return true;
}

/*
 * Sends the join again to members that do not report the group; false if one
 * of them has ignored JOIN_TRIES orders.
 */
static bool
resend_joins (const struct formation_run *run, struct formation_group *group)
{
  for (unsigned rank = 0; rank < group->size; rank++)
    {
      struct endpoint *endpoint = find_member_endpoint (run, group, rank);
      struct formation_member *member;

      if (endpoint == NULL || formation_is_reported_member (endpoint, group))
        continue;
      member = formation_get_member (run->formation, endpoint);
      if (member == NULL || member->group != group
          || run->now_ms - member->joined_ms < ORDER_RETRY_MS)
        continue;
      if (member->join_tries >= JOIN_TRIES)
        {
          member->excluded_until_ms = run->now_ms + JOIN_EXCLUDE_MS;
          return false;
        }
      member->joined_ms = run->now_ms;
      member->join_tries++;
      /* A late order may have taken it into another group meanwhile. */
      if (formation_try_release (run, member, endpoint))
        formation_join_member (run, group, member, endpoint,
                               "endpoint does not report the group yet");
    }
  return true;
}

static bool
is_head_broken (const struct formation_group *group,
                const struct endpoint *head)
{
  return head != NULL && formation_is_reported_member (head, group)
         && head->report.state == ENDPOINT_GROUP_BROKEN;
}

static bool
has_joining_member (const struct formation_run *run,
                    const struct formation_group *group)
{
  for (unsigned rank = 0; rank < FORMATION_SIZE_LIMIT; rank++)
    {
      const struct endpoint *endpoint = find_member_endpoint (run, group, rank);

      if (endpoint != NULL && formation_is_reported_member (endpoint, group)
          && endpoint->report.state == ENDPOINT_GROUP_JOINING)
        return true;
    }
  return false;
}

/* True if the size of an adopted group will not become known. */
static bool
is_size_lost (const struct formation_run *run,
              const struct formation_group *group,
              const struct member_counts *counts)
{
  return group->size == 0
         && run->now_ms - group->phase_since_ms >= ADOPT_WAIT_MS
         && (counts->ready > 0 || !has_joining_member (run, group));
}

static void
advance_joining (const struct formation_run *run, struct formation_group *group)
{
  struct member_counts counts = count_member_states (run, group);
  const struct endpoint *head = find_member_endpoint (run, group, 0);

  if (counts.unknown > 0
      || (group->adopted && counts.failed > 0
          && run->now_ms - group->phase_since_ms < ADOPT_WAIT_MS))
    return;
  if (head != NULL && formation_is_reported_member (head, group)
      && head->report.state == ENDPOINT_GROUP_OPEN)
    formation_set_phase (run, group, FORMATION_SERVING, "head is open");
  else if (is_head_broken (group, head))
    formation_set_phase (run, group, FORMATION_DISSOLVED, "broken");
  else if (is_size_lost (run, group, &counts))
    formation_set_phase (run, group, FORMATION_FAILED,
                         "its size cannot be learned");
  else if (counts.failed > 0 || counts.leaving > 0)
    /* An earlier holder of the lease may have ordered the head to open. */
    formation_set_phase (
        run, group, group->adopted ? FORMATION_FAILED : FORMATION_DISSOLVED,
        "a member failed or leaves before the head opened");
#ifdef BREAK_GUARD_EDGE_READY
  else if (counts.ready > 0)
#else
  else if (counts.ready == group->size && group->size != 0)
#endif
    formation_set_phase (run, group, FORMATION_OPENING, "all members ready");
  else if (!resend_joins (run, group))
    formation_set_phase (run, group, FORMATION_DISSOLVED,
                         "a member ignores its join orders");
}

/* Ends service of a group with a failed or leaving member. */
static void
fail_or_retire_group (const struct formation_run *run,
                      struct formation_group *group,
                      const struct member_counts *counts)
{
  if (counts->failed > 0)
    formation_set_phase (run, group, FORMATION_FAILED, "a member failed");
  else
    formation_set_phase (run, group, FORMATION_RETIRING, "a member leaves");
}

static void
advance_opening (const struct formation_run *run, struct formation_group *group)
{
  struct member_counts counts = count_member_states (run, group);
  const struct endpoint *head = find_member_endpoint (run, group, 0);

  if (is_head_broken (group, head))
    formation_set_phase (run, group, FORMATION_DISSOLVED, "broken");
  else if (counts.failed > 0 || counts.leaving > 0)
    fail_or_retire_group (run, group, &counts);
  else if (head != NULL && head->report.state == ENDPOINT_GROUP_OPEN
           && formation_is_reported_member (head, group))
    formation_set_phase (run, group, FORMATION_SERVING, "head is open");
#ifndef BREAK_GUARD_EDGE_READY
  else if (counts.pending > 0)
    formation_set_phase (run, group, FORMATION_FAILED,
                         "a member is no longer ready");
#endif
  else if (head != NULL && begin_order_if_due (run, group))
    send_order (run, group, FORMATION_OPEN, head->id, "all members ready");
}

static void
advance_serving (const struct formation_run *run, struct formation_group *group)
{
  struct member_counts counts = count_member_states (run, group);
  const struct endpoint *head = find_member_endpoint (run, group, 0);

  if (is_head_broken (group, head))
    formation_set_phase (run, group, FORMATION_DISSOLVED, "broken");
  else if (counts.failed > 0 || counts.leaving > 0)
    fail_or_retire_group (run, group, &counts);
  else if (counts.pending > 0)
    formation_set_phase (run, group, FORMATION_FAILED,
                         "a member is no longer ready");
  else if (head != NULL && head->report.state == ENDPOINT_GROUP_READY)
    formation_set_phase (run, group, FORMATION_OPENING,
                         "head is no longer open");
}

/*
 * True if the head reports that it cannot serve.  A report from before the
 * phase may be older than an open order that the head has received since.
 */
static bool
is_head_closed (const struct formation_run *run,
                const struct formation_group *group)
{
  const struct endpoint *head = find_member_endpoint (run, group, 0);

  if (head == NULL || run->hooks->is_silent (run->hooks->context, head))
    return false;
  if (head->revision <= group->head_revision
      && run->now_ms - group->phase_since_ms < OPEN_REPORT_MS)
    return false;
  return !formation_is_reported_member (head, group)
         || head->report.state == ENDPOINT_GROUP_READY
         || head->report.state == ENDPOINT_GROUP_JOINING
         || head->report.state == ENDPOINT_GROUP_BROKEN;
}

static void
advance_failed (const struct formation_run *run, struct formation_group *group)
{
  const struct endpoint *head = find_member_endpoint (run, group, 0);

  if (head == NULL || run->hooks->is_silent (run->hooks->context, head))
    /* The members are ordered to leave one by one; see member.c. */
    formation_set_phase (run, group, FORMATION_DISSOLVED, "the head failed");
  else if (is_head_closed (run, group))
    formation_set_phase (run, group, FORMATION_DISSOLVED, "head is closed");
  else if (run->now_ms - group->phase_since_ms >= FAILED_LIMIT_MS)
    formation_set_phase (run, group, FORMATION_DISSOLVED,
                         "head did not close in time");
  else if (begin_order_if_due (run, group))
    send_order (run, group, FORMATION_EVICT, head->id, "a member failed");
}

static void
advance_retiring (const struct formation_run *run,
                  struct formation_group *group)
{
  struct member_counts counts = count_member_states (run, group);
  const struct endpoint *head = find_member_endpoint (run, group, 0);

  if (counts.failed > 0)
    formation_set_phase (run, group, FORMATION_FAILED, "a member failed");
  else if (is_head_closed (run, group))
    formation_set_phase (run, group, FORMATION_DISSOLVED, "closed");
  else if (run->now_ms - group->phase_since_ms > RETIRE_LIMIT_MS)
    formation_set_phase (run, group, FORMATION_FAILED,
                         "head did not close in time");
  else if (head != NULL && begin_order_if_due (run, group))
    send_order (run, group, FORMATION_DRAIN, head->id, "a member leaves");
}

void
formation_advance_groups (const struct formation_run *run)
{
  static void (*const steps[]) (const struct formation_run *run,
                                struct formation_group *group)
      = {
          [FORMATION_JOINING] = advance_joining,
          [FORMATION_OPENING] = advance_opening,
          [FORMATION_SERVING] = advance_serving,
          [FORMATION_RETIRING] = advance_retiring,
          [FORMATION_FAILED] = advance_failed,
        };
  struct formation_group *group;

  TAILQ_FOREACH (group, &run->formation->groups, link)
    {
      enum formation_phase before;

      /* One tick can advance several phases, such as joining to serving. */
      do
        {
          before = group->phase;
          steps[before](run, group);
        }
      while (group->phase != before && group->phase != FORMATION_DISSOLVED);
    }
}
