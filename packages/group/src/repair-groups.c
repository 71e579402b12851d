#include "placement-context.h"

#include <stdio.h>
#include <string.h>

/* Repair of groups with absent or leaving members. */

/* Limit of an expected wait when there is no alternative to waiting. */
#define MAX_EXPECTED_WAIT_MS 3600000.0

struct repair
{
  struct context_group *group;
  unsigned domain;
  bool missing_ranks[FLEET_SPAN_LIMIT]; /* ranks to fill */
  unsigned missing_count;
  unsigned spare_count; /* free hosts of the domain that the spec may use */
  /* Expected time until the group serves if it waits for its members, if the
     missing members are replaced, and if it moves to another domain;
     below 0 = not possible. */
  double wait_ms;
  double replace_ms;
  double move_ms;
  int move_domain; /* index into domains; -1 = none */
};

static bool
is_member_missing (const struct placement_context *context, const char *id)
{
  const struct context_host *host = context_find_host (context, id);

  return host == NULL
         || !fleet_host_is_present (host->host, context->input->now_ms)
         || fleet_host_is_leaving (host->host);
}

/* False if no host of the data centre is in a domain of that name. */
static bool
find_domain (const struct placement_context *context,
             const char *name,
             unsigned *domain)
{
  for (unsigned i = 0; i < context->domain_count; i++)
    if (strcmp (context->domains[i].name, name) == 0)
      {
        *domain = i;
        return true;
      }
  return false;
}

/* Cold loads needed to fill the missing ranks from the domain's spares. */
static unsigned
count_cold_loads (const struct placement_context *context,
                  const struct repair *repair)
{
  unsigned warm = 0;

  for (size_t i = 0; i < context->host_count; i++)
    if (context->hosts[i].domain == repair->domain
        && context_is_host_free (context, repair->group->spec,
                                 &context->hosts[i])
        && context_host_has_weights (context, repair->group->spec,
                                     &context->hosts[i]))
      warm++;
  return warm < repair->missing_count ? repair->missing_count - warm : 0;
}

/* Cost of the group being down for time_ms with its present members idle. */
static double
compute_downtime_cost (const struct placement_context *context,
                       const struct repair *repair,
                       double time_ms)
{
  const struct placement_settings *settings = context->input->settings;
  const struct context_group *group = repair->group;
  double idle
      = (double)(group->group.span - repair->missing_count) / group->group.span;

  return (settings->downtime_weight + settings->stranded_weight * idle)
         * time_ms / 1000;
}

static double
estimate_wait_ms (const struct placement_context *context,
                  const struct context_group *group,
                  double alternative_ms)
{
  if (group->leaving_count > 0)
    return alternative_ms;
  return history_expected_wait (context->input->history, group->absent_ms,
                                alternative_ms);
}

static bool
assess_repair (struct placement_context *context,
               struct context_group *group,
               struct repair *repair)
{
  unsigned largest_free;

  memset (repair, 0, sizeof *repair);
  repair->group = group;
  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    if (is_member_missing (context, group->group.members[rank]))
      {
        repair->missing_ranks[rank] = true;
        repair->missing_count++;
      }
  if (repair->missing_count == 0
      || !find_domain (context, group->group.domain, &repair->domain))
    return false;
  repair->spare_count
      = context_count_free_hosts (context, group->spec, repair->domain);
  repair->replace_ms = -1;
  if (repair->spare_count >= repair->missing_count)
    repair->replace_ms = context_estimate_load_ms (
        context, count_cold_loads (context, repair));
  repair->move_domain = context_choose_domain (context, group->spec,
                                               &repair->move_ms, &largest_free);
  if (repair->move_domain < 0)
    repair->move_ms = -1;
  return true;
}

static void
add_rejected_replace (const struct placement_context *context,
                      const struct repair *repair,
                      struct placement_decision *decision)
{
  if (repair->replace_ms >= 0)
    context_add_rejected_option (
        decision, "replace: %.0f s, cost %.1f", repair->replace_ms / 1000,
        compute_downtime_cost (context, repair, repair->replace_ms));
  else
    context_add_rejected_option (
        decision, "replace: %u spares in %s, %u needed", repair->spare_count,
        repair->group->group.domain, repair->missing_count);
}

static void
add_rejected_move (const struct placement_context *context,
                   const struct repair *repair,
                   struct placement_decision *decision)
{
  if (repair->move_ms >= 0)
    context_add_rejected_option (
        decision, "move to %s: %.0f s, cost %.1f",
        context->domains[repair->move_domain].name, repair->move_ms / 1000,
        compute_downtime_cost (context, repair, repair->move_ms));
  else
    context_add_rejected_option (decision,
                                 "move: no other domain has %u free hosts",
                                 repair->group->group.span);
}

static void
replace_members (struct placement_context *context, struct repair *repair)
{
  struct context_group *group = repair->group;
  struct placement_decision *decision;
  unsigned fetches;

  if (!context_drain_group (context, group, "a member leaves"))
    {
      context_reserve_hosts (context, group->spec, repair->domain,
                             repair->missing_count);
      return;
    }
  decision = context_add_decision (
      context, PLACEMENT_REPLACE, true, group->spec, group,
      "%u of %u members absent or leaving; spares in %s, "
      "%.0f s, cost %.1f",
      repair->missing_count, group->group.span, group->group.domain,
      repair->replace_ms / 1000,
      compute_downtime_cost (context, repair, repair->replace_ms));
  context_add_rejected_option (
      decision, "wait: absent %.0f s, expected %.0f s more",
      (double)group->absent_ms / 1000,
      estimate_wait_ms (context, group, MAX_EXPECTED_WAIT_MS) / 1000);
  add_rejected_move (context, repair, decision);
  context_pick_members (context, group, repair->domain, repair->missing_ranks,
                        &fetches);
  context->fetching_loads += fetches;
  context_renew_group (context, group);
}

static void
move_group (struct placement_context *context, struct repair *repair)
{
  struct context_group *group = repair->group;
  struct placement_decision *decision;
  bool all_ranks[FLEET_SPAN_LIMIT];
  unsigned fetches;

  if (!context_drain_group (context, group, "a member leaves"))
    {
      context_reserve_hosts (context, group->spec,
                             (unsigned)repair->move_domain, group->group.span);
      return;
    }
  decision = context_add_decision (
      context, PLACEMENT_MOVE, true, group->spec, group,
      "%u of %u members absent or leaving; move to %s, "
      "%.0f s, cost %.1f",
      repair->missing_count, group->group.span,
      context->domains[repair->move_domain].name, repair->move_ms / 1000,
      compute_downtime_cost (context, repair, repair->move_ms));
  context_add_rejected_option (
      decision, "wait: absent %.0f s, expected %.0f s more",
      (double)group->absent_ms / 1000,
      estimate_wait_ms (context, group, MAX_EXPECTED_WAIT_MS) / 1000);
  add_rejected_replace (context, repair, decision);
  /* The group keeps its id, so its level stays the same. */
  memset (all_ranks, 1, sizeof all_ranks);
  context_set_members_taken (context, group, false);
  snprintf (group->group.domain, sizeof group->group.domain, "%s",
            context->domains[repair->move_domain].name);
  context_pick_members (context, group, (unsigned)repair->move_domain,
                        all_ranks, &fetches);
  context->fetching_loads += fetches;
  context_renew_group (context, group);
}

static void
wait_for_members (struct placement_context *context,
                  struct repair *repair,
                  const char *reason)
{
  struct placement_decision *decision;

  decision = context_add_decision (
      context, PLACEMENT_WAIT, false, repair->group->spec, repair->group,
      "%u of %u members absent; %s", repair->missing_count,
      repair->group->group.span, reason);
  add_rejected_replace (context, repair, decision);
  add_rejected_move (context, repair, decision);
}

/*
 * Finds a less urgent group of the same domain that also has absent members and
 * whose present members complete this group.  NULL if either group's absent
 * members are expected back before such a repair is done.
 */
static struct context_group *
find_donor (struct placement_context *context, const struct repair *repair)
{
  double load_ms = context_estimate_load_ms (context, 0);

  if (estimate_wait_ms (context, repair->group, MAX_EXPECTED_WAIT_MS)
      <= load_ms)
    return NULL;
  for (size_t i = context->group_count; i-- > 0;)
    {
      struct context_group *group = &context->groups[i];
      unsigned usable = 0;

      if (group == repair->group || group->removed || group->level == 0
          || group->assigned == NULL || group->absent_count == 0
          || group->level < repair->group->level
          || (group->level == repair->group->level
              && group->spec < repair->group->spec)
          || strcmp (group->group.domain, repair->group->group.domain) != 0
          || estimate_wait_ms (context, group, MAX_EXPECTED_WAIT_MS) <= load_ms)
        continue;
      for (unsigned rank = 0; rank < group->group.member_count; rank++)
        {
          struct context_host *host
              = context_find_host (context, group->group.members[rank]);

          if (host != NULL && host->usable
              && context_permits_host (repair->group->spec, host->host))
            usable++;
        }
      if (repair->spare_count + usable >= repair->missing_count)
        return group;
    }
  return NULL;
}

/* Dissolves one of two incomplete groups of a domain to complete the other. */
static bool
merge_incomplete_groups (struct placement_context *context,
                         struct repair *repair)
{
  struct context_group *donor = find_donor (context, repair);

  if (donor == NULL)
    return false;
  context_add_decision (context, PLACEMENT_DISSOLVE, true, donor->spec, donor,
                        "group is incomplete too; its members complete %s",
                        repair->group->group.id);
  donor->spec->kept_count--;
  context_remove_group (context, donor);
  repair->spare_count
      = context_count_free_hosts (context, repair->group->spec, repair->domain);
  repair->replace_ms
      = context_estimate_load_ms (context, count_cold_loads (context, repair));
  replace_members (context, repair);
  return true;
}

static void
repair_group (struct placement_context *context, struct context_group *group)
{
  struct repair repair;
  double best_ms;

  if (!assess_repair (context, group, &repair))
    return;
  if (context->domains[repair.domain].held && group->leaving_count == 0)
    {
      wait_for_members (context, &repair,
                        "its domain has had an outage, repair is on hold");
      return;
    }
  best_ms = repair.replace_ms;
  if (best_ms < 0 || (repair.move_ms >= 0 && repair.move_ms < best_ms))
    best_ms = repair.move_ms;
  if (best_ms < 0)
    {
      if (!merge_incomplete_groups (context, &repair))
        wait_for_members (context, &repair, "there is no other option");
      return;
    }
  repair.wait_ms = estimate_wait_ms (context, group, best_ms);
  if (compute_downtime_cost (context, &repair, repair.wait_ms)
      < compute_downtime_cost (context, &repair, best_ms))
    {
      char reason[PLACEMENT_TEXT_SIZE];

      snprintf (reason, sizeof reason, "waiting: %.0f s, cost %.1f",
                repair.wait_ms / 1000,
                compute_downtime_cost (context, &repair, repair.wait_ms));
      wait_for_members (context, &repair, reason);
    }
  else if (best_ms == repair.replace_ms)
    replace_members (context, &repair);
  else
    move_group (context, &repair);
}

void
context_repair_groups (struct placement_context *context, unsigned level)
{
  size_t count = context->group_count; /* groups formed here need no repair */

  for (size_t i = 0; i < count; i++)
    {
      struct context_group *group = &context->groups[i];

      if (group->level == level && !group->removed && group->conforms
          && group->absent_count + group->leaving_count > 0)
        repair_group (context, group);
    }
}
