#include "work.h"

#include <stdio.h>
#include <string.h>

/* Repair of groups with absent or leaving members. */

/* A host that is absent this long is treated as if it never returned. */
#define NO_ALTERNATIVE_MS 3600000.0

struct repair
{
  struct work_group *group;
  unsigned domain;
  bool missing[FLEET_SPAN_LIMIT]; /* ranks to fill */
  unsigned missing_count;
  unsigned spares; /* free hosts of the domain */
  double wait_ms;  /* expected time when waiting, each option in turn */
  double replace_ms;
  double elsewhere_ms; /* below 0 = not possible */
  int elsewhere;
};

static bool
is_missing (const struct work *work, const char *id)
{
  const struct work_host *host = work_find_host (work, id);

  return host == NULL || !fleet_host_present (host->host, work->input->now_ms)
         || fleet_host_leaving (host->host);
}

/* False if the domain's name is not known any more. */
static bool
find_domain (const struct work *work, const char *name, unsigned *domain)
{
  for (unsigned i = 0; i < work->domain_count; i++)
    if (strcmp (work->domains[i].name, name) == 0)
      {
        *domain = i;
        return true;
      }
  return false;
}

/* Cold loads needed to fill the missing ranks from the domain's spares. */
static unsigned
cold_loads (const struct work *work, const struct repair *repair)
{
  unsigned warm = 0;

  for (size_t i = 0; i < work->host_count; i++)
    if (work->hosts[i].domain == repair->domain
        && work_is_free (work, repair->group->spec, &work->hosts[i])
        && work_has_weights (work, repair->group->spec, &work->hosts[i]))
      warm++;
  return warm < repair->missing_count ? repair->missing_count - warm : 0;
}

/* Cost per second of the group being down with its members idle. */
static double
cost (const struct work *work, const struct repair *repair, double time_ms)
{
  const struct placement_settings *settings = work->input->settings;
  const struct work_group *group = repair->group;
  double idle
      = (double)(group->group.span - repair->missing_count) / group->group.span;

  return (settings->downtime_weight + settings->stranded_weight * idle)
         * time_ms / 1000;
}

static double
expected_wait (const struct work *work,
               const struct work_group *group,
               double alternative_ms)
{
  if (group->leaving > 0)
    return alternative_ms;
  return history_expected_wait (work->input->history, group->absent_ms,
                                alternative_ms);
}

static bool
inspect (struct work *work, struct work_group *group, struct repair *repair)
{
  unsigned room;

  memset (repair, 0, sizeof *repair);
  repair->group = group;
  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    if (is_missing (work, group->group.members[rank]))
      {
        repair->missing[rank] = true;
        repair->missing_count++;
      }
  if (repair->missing_count == 0
      || !find_domain (work, group->group.domain, &repair->domain))
    return false;
  repair->spares = work_count_free (work, group->spec, repair->domain);
  repair->replace_ms = -1;
  if (repair->spares >= repair->missing_count)
    repair->replace_ms = work_load_ms (work, cold_loads (work, repair));
  repair->elsewhere
      = work_choose_domain (work, group->spec, &repair->elsewhere_ms, &room);
  if (repair->elsewhere < 0)
    repair->elsewhere_ms = -1;
  return true;
}

static void
reject_replace (const struct work *work,
                const struct repair *repair,
                struct placement_decision *decision)
{
  if (repair->replace_ms >= 0)
    work_reject (decision, "replace: %.0f s, cost %.1f",
                 repair->replace_ms / 1000,
                 cost (work, repair, repair->replace_ms));
  else
    work_reject (decision, "replace: %u spares in %s, %u needed",
                 repair->spares, repair->group->group.domain,
                 repair->missing_count);
}

static void
reject_elsewhere (const struct work *work,
                  const struct repair *repair,
                  struct placement_decision *decision)
{
  if (repair->elsewhere_ms >= 0)
    work_reject (decision, "reform in %s: %.0f s, cost %.1f",
                 work->domains[repair->elsewhere].name,
                 repair->elsewhere_ms / 1000,
                 cost (work, repair, repair->elsewhere_ms));
  else
    work_reject (decision, "reform: no other domain has %u free hosts",
                 repair->group->group.span);
}

static void
replace_members (struct work *work, struct repair *repair)
{
  struct work_group *group = repair->group;
  struct placement_decision *decision;
  unsigned fetches;

  if (!work_drained (work, group, "a member leaves"))
    {
      work_reserve (work, group->spec, repair->domain, repair->missing_count);
      return;
    }
  decision = work_decide (work, PLACEMENT_REPLACE, true, group->spec, group,
                          "%u of %u members absent or leaving; spares in %s, "
                          "%.0f s, cost %.1f",
                          repair->missing_count, group->group.span,
                          group->group.domain, repair->replace_ms / 1000,
                          cost (work, repair, repair->replace_ms));
  work_reject (decision, "wait: absent %.0f s, expected %.0f s more",
               (double)group->absent_ms / 1000,
               expected_wait (work, group, NO_ALTERNATIVE_MS) / 1000);
  reject_elsewhere (work, repair, decision);
  work_pick (work, group, repair->domain, repair->missing, &fetches);
  work->fetching += fetches;
  work_renew (work, group);
}

static void
reform (struct work *work, struct repair *repair)
{
  struct work_group *group = repair->group;
  struct placement_decision *decision;
  bool all_ranks[FLEET_SPAN_LIMIT];
  unsigned fetches;

  if (!work_drained (work, group, "a member leaves"))
    {
      work_reserve (work, group->spec, (unsigned)repair->elsewhere,
                    group->group.span);
      return;
    }
  decision = work_decide (work, PLACEMENT_MOVE, true, group->spec, group,
                          "%u of %u members absent or leaving; reform in %s, "
                          "%.0f s, cost %.1f",
                          repair->missing_count, group->group.span,
                          work->domains[repair->elsewhere].name,
                          repair->elsewhere_ms / 1000,
                          cost (work, repair, repair->elsewhere_ms));
  work_reject (decision, "wait: absent %.0f s, expected %.0f s more",
               (double)group->absent_ms / 1000,
               expected_wait (work, group, NO_ALTERNATIVE_MS) / 1000);
  reject_replace (work, repair, decision);
  /* Under the same id, so that its level stays the same. */
  memset (all_ranks, 1, sizeof all_ranks);
  work_take (work, group, false);
  snprintf (group->group.domain, sizeof group->group.domain, "%s",
            work->domains[repair->elsewhere].name);
  work_pick (work, group, (unsigned)repair->elsewhere, all_ranks, &fetches);
  work->fetching += fetches;
  work_renew (work, group);
}

static void
wait_for_members (struct work *work, struct repair *repair, const char *reason)
{
  struct placement_decision *decision;

  decision
      = work_decide (work, PLACEMENT_WAIT, false, repair->group->spec,
                     repair->group, "%u of %u members absent; %s",
                     repair->missing_count, repair->group->group.span, reason);
  reject_replace (work, repair, decision);
  reject_elsewhere (work, repair, decision);
}

/*
 * Another broken group of the domain, less urgent, whose members let this one
 * serve sooner than either group's absent members are expected back.
 */
static struct work_group *
find_donor (struct work *work, const struct repair *repair)
{
  double load_ms = work_load_ms (work, 0);

  if (expected_wait (work, repair->group, NO_ALTERNATIVE_MS) <= load_ms)
    return NULL;
  for (size_t i = work->group_count; i-- > 0;)
    {
      struct work_group *group = &work->groups[i];
      unsigned usable = 0;

      if (group == repair->group || group->removed || group->level == 0
          || group->present == NULL || group->absent == 0
          || group->level < repair->group->level
          || (group->level == repair->group->level
              && group->spec < repair->group->spec)
          || strcmp (group->group.domain, repair->group->group.domain) != 0
          || expected_wait (work, group, NO_ALTERNATIVE_MS) <= load_ms)
        continue;
      for (unsigned rank = 0; rank < group->group.member_count; rank++)
        {
          struct work_host *host
              = work_find_host (work, group->group.members[rank]);

          if (host != NULL && host->usable
              && work_permits (repair->group->spec, host->host))
            usable++;
        }
      if (repair->spares + usable >= repair->missing_count)
        return group;
    }
  return NULL;
}

/* Two broken groups of a domain become one whole group. */
static bool
merge (struct work *work, struct repair *repair)
{
  struct work_group *donor = find_donor (work, repair);

  if (donor == NULL)
    return false;
  work_decide (work, PLACEMENT_DISSOLVE, true, donor->spec, donor,
               "broken too; its members let %s serve again",
               repair->group->group.id);
  donor->spec->kept--;
  work_remove (work, donor);
  repair->spares = work_count_free (work, repair->group->spec, repair->domain);
  repair->replace_ms = work_load_ms (work, cold_loads (work, repair));
  replace_members (work, repair);
  return true;
}

static void
repair_group (struct work *work, struct work_group *group)
{
  struct repair repair;
  double best_ms;

  if (!inspect (work, group, &repair))
    return;
  if (work->domains[repair.domain].held && group->leaving == 0)
    {
      wait_for_members (work, &repair,
                        "an outage of its domain was seen a moment ago");
      return;
    }
  best_ms = repair.replace_ms;
  if (best_ms < 0
      || (repair.elsewhere_ms >= 0 && repair.elsewhere_ms < best_ms))
    best_ms = repair.elsewhere_ms;
  if (best_ms < 0)
    {
      if (!merge (work, &repair))
        wait_for_members (work, &repair, "there is no other option");
      return;
    }
  repair.wait_ms = expected_wait (work, group, best_ms);
  if (cost (work, &repair, repair.wait_ms) < cost (work, &repair, best_ms))
    {
      char reason[PLACEMENT_TEXT_SIZE];

      snprintf (reason, sizeof reason, "waiting: %.0f s, cost %.1f",
                repair.wait_ms / 1000, cost (work, &repair, repair.wait_ms));
      wait_for_members (work, &repair, reason);
    }
  else if (best_ms == repair.replace_ms)
    replace_members (work, &repair);
  else
    reform (work, &repair);
}

void
work_repair (struct work *work, unsigned level)
{
  size_t count = work->group_count; /* groups formed here need no repair */

  for (size_t i = 0; i < count; i++)
    {
      struct work_group *group = &work->groups[i];

      if (group->level == level && !group->removed && group->legal
          && group->absent + group->leaving > 0)
        repair_group (work, group);
    }
}
