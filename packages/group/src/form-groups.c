#include "hash.h"
#include "placement-context.h"

#include <stdio.h>
#include <string.h>

/* How many of n hosts of one domain no complete group can use. */
static unsigned
count_stranded_hosts (const struct placement_context *context, unsigned n)
{
  return n < context->packable_count ? n - context->packable_hosts[n] : 0;
}

/*
 * Cost of forming a group in a domain: the time until it serves, and the change
 * in hosts of the domain that no complete group can use.
 */
static double
compute_forming_cost (const struct placement_context *context,
                      const struct context_spec *spec,
                      unsigned free,
                      double time_ms)
{
  const struct placement_settings *settings = context->input->settings;
  unsigned span = spec->row->span;
  double stranded_hosts = (double)count_stranded_hosts (context, free - span)
                          - (double)count_stranded_hosts (context, free);

  return settings->downtime_weight * time_ms
         + settings->stranded_weight * stranded_hosts / span
               * (double)settings->stranded_horizon_ms;
}

int
context_choose_domain (const struct placement_context *context,
                       const struct context_spec *spec,
                       double *time_ms,
                       unsigned *largest_free)
{
  unsigned span = spec->row->span;
  double best_cost = 0;
  unsigned best_free = 0;
  int best = -1;

  *time_ms = 0;
  *largest_free = 0;
  for (unsigned domain = 0; domain < context->domain_count; domain++)
    {
      unsigned free = 0;
      unsigned warm = 0;
      double load_ms;
      double cost;

      for (size_t i = 0; i < context->host_count; i++)
        if (context->hosts[i].domain == domain
            && context_is_host_free (context, spec, &context->hosts[i]))
          {
            free++;
            if (context_host_has_weights (context, spec, &context->hosts[i]))
              warm++;
          }
      if (free > *largest_free)
        *largest_free = free;
      if (free < span)
        continue;
      load_ms
          = context_estimate_load_ms (context, warm < span ? span - warm : 0);
      cost = compute_forming_cost (context, spec, free, load_ms);
      if (best >= 0
          && (cost > best_cost || (cost == best_cost && free >= best_free)))
        continue;
      best = (int)domain;
      best_cost = cost;
      best_free = free;
      *time_ms = load_ms;
    }
  return best;
}

static bool
is_number_in_use (const struct placement_context *context,
                  const struct context_spec *spec,
                  unsigned number)
{
  for (size_t i = 0; i < context->group_count; i++)
    if (context->groups[i].spec == spec && context->groups[i].number == number)
      return true;
  return false;
}

/* Group ids are sent in a header, so they must fit into FLEET_NAME_SIZE. */
static void
format_group_id (char id[FLEET_NAME_SIZE],
                 const char *spec,
                 const char *data_centre,
                 unsigned number)
{
  int length
      = snprintf (id, FLEET_NAME_SIZE, "%s.%s.%u", spec, data_centre, number);

  if (length >= FLEET_NAME_SIZE)
    snprintf (id, FLEET_NAME_SIZE, "%.24s~%016llx.%u", spec,
              (unsigned long long)hash_rendezvous (spec, data_centre), number);
}

struct context_group *
context_form_group (struct placement_context *context,
                    struct context_spec *spec,
                    unsigned domain)
{
  bool all_ranks[FLEET_SPAN_LIMIT];
  struct context_group *entry;
  unsigned fetches;

  if (context->group_count == context->group_capacity)
    return NULL;
  entry = &context->groups[context->group_count];
  memset (entry, 0, sizeof *entry);
  memset (all_ranks, 1, sizeof all_ranks);
  while (is_number_in_use (context, spec, spec->next_number))
    spec->next_number++;
  entry->spec = spec;
  entry->number = spec->next_number;
  entry->conforms = true;
  entry->group.span = spec->row->span;
  entry->group.member_count = spec->row->span;
  format_group_id (entry->group.id, spec->row->name,
                   context->input->data_centre, entry->number);
  memcpy (entry->group.spec, spec->row->name, sizeof entry->group.spec);
  memcpy (entry->group.model, spec->row->model, sizeof entry->group.model);
  snprintf (entry->group.data_centre, sizeof entry->group.data_centre, "%s",
            context->input->data_centre);
  snprintf (entry->group.domain, sizeof entry->group.domain, "%s",
            context->domains[domain].name);
  if (!context_pick_members (context, entry, domain, all_ranks, &fetches))
    return NULL;
  context_renew_group (context, entry);
  context->fetching_loads += fetches;
  context->group_count++;
  spec->kept_count++;
  entry->level = spec->kept_count;
  return entry;
}

/*
 * True if the group may be dissolved so that a spec without any group gets its
 * first one: it is a second or later group of another spec.
 */
static bool
can_be_dissolved_for_spec (const struct placement_context *context,
                           const struct context_spec *spec,
                           const struct context_group *group,
                           unsigned domain)
{
  const struct context_host *host;

  if (group->removed || group->spec == spec || group->level < 2
      || group->group.generation == context->generation)
    return false;
  host = context_find_host (context, group->group.members[0]);
  return host != NULL && host->domain == domain;
}

/* Members of the group that the spec could use after the group is dissolved. */
static unsigned
count_gained_hosts (const struct placement_context *context,
                    const struct context_spec *spec,
                    const struct context_group *group)
{
  unsigned count = 0;

  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    {
      const struct context_host *host
          = context_find_host (context, group->group.members[rank]);

      if (host != NULL && host->usable && !context->domains[host->domain].held
          && context_permits_host (spec, host->host))
        count++;
    }
  return count;
}

/* Groups with missing members come first, then draining groups, then the least
   urgent. */
static bool
is_dissolved_before (const struct context_group *a,
                     const struct context_group *b)
{
  bool a_incomplete = a->absent_count + a->leaving_count > 0;
  bool b_incomplete = b->absent_count + b->leaving_count > 0;

  if (a_incomplete != b_incomplete)
    return a_incomplete;
  if (a->group.draining != b->group.draining)
    return a->group.draining;
  if (a->level != b->level)
    return a->level > b->level;
  return a > b;
}

/*
 * Finds groups to dissolve in the domain so that the spec's first group fits.
 * Returns their number, or 0 if dissolving groups does not help.
 */
static unsigned
find_groups_to_dissolve (const struct placement_context *context,
                         const struct context_spec *spec,
                         unsigned domain,
                         struct context_group **found,
                         unsigned limit)
{
  unsigned free_hosts = context_count_free_hosts (context, spec, domain);
  unsigned count = 0;

  while (free_hosts < spec->row->span && count < limit)
    {
      struct context_group *best = NULL;

      for (size_t i = 0; i < context->group_count; i++)
        {
          struct context_group *group = &context->groups[i];
          bool chosen = false;

          for (unsigned j = 0; j < count; j++)
            if (found[j] == group)
              chosen = true;
          if (!chosen
              && can_be_dissolved_for_spec (context, spec, group, domain)
              && count_gained_hosts (context, spec, group) > 0
              && (best == NULL || is_dissolved_before (group, best)))
            best = group;
        }
      if (best == NULL)
        return 0;
      free_hosts += count_gained_hosts (context, spec, best);
      found[count++] = best;
    }
  return free_hosts >= spec->row->span ? count : 0;
}

#define DISSOLVED_GROUPS_MAX 16

/* Drains the groups, then removes them; true once all are removed. */
static bool
dissolve_groups_for_spec (struct placement_context *context,
                          const struct context_spec *spec,
                          struct context_group **groups,
                          unsigned count)
{
  bool all_drained = true;

  for (unsigned i = 0; i < count; i++)
    if (!context_drain_group (
            context, groups[i],
            "another spec has no group and this one has several"))
      all_drained = false;
  if (!all_drained)
    return false;
  for (unsigned i = 0; i < count; i++)
    {
      context_add_decision (context, PLACEMENT_DISSOLVE, true, groups[i]->spec,
                            groups[i], "%s has no group, and %s has several",
                            spec->row->name, groups[i]->group.spec);
      groups[i]->spec->kept_count--;
      context_remove_group (context, groups[i]);
    }
  return true;
}

/* Dissolves groups of other specs so that the first group of this spec fits.
   Returns the index of the freed domain, or -1 if no domain is free yet. */
static int
free_domain_for_spec (struct placement_context *context,
                      const struct context_spec *spec)
{
  struct context_group *best[DISSOLVED_GROUPS_MAX];
  unsigned best_count = 0;
  int best_domain = -1;

  for (unsigned domain = 0; domain < context->domain_count; domain++)
    {
      struct context_group *found[DISSOLVED_GROUPS_MAX];
      unsigned count;

      if (context->domains[domain].held)
        continue;
      count = find_groups_to_dissolve (context, spec, domain, found,
                                       DISSOLVED_GROUPS_MAX);
      if (count == 0 || (best_domain >= 0 && count >= best_count))
        continue;
      best_domain = (int)domain;
      best_count = count;
      memcpy (best, found, sizeof best);
    }
  if (best_domain < 0)
    return -1;
  if (!dissolve_groups_for_spec (context, spec, best, best_count))
    {
      context_reserve_hosts (context, spec, (unsigned)best_domain,
                             spec->row->span);
      return -1;
    }
  return best_domain;
}

static void
form_next_group (struct placement_context *context, struct context_spec *spec)
{
  const char *data_centre = context->input->data_centre;
  struct placement_decision *decision;
  struct context_group *group;
  double time_ms;
  unsigned largest_free;
  int domain = context_choose_domain (context, spec, &time_ms, &largest_free);

  if (domain < 0 && spec->kept_count == 0)
    domain = free_domain_for_spec (context, spec);
  if (domain < 0)
    {
      spec->blocked = true;
      context_add_decision (
          context, PLACEMENT_UNPLACED, false, spec, NULL,
          "has %u of %u groups; needs %u free hosts in one domain "
          "of %s, the largest has %u",
          spec->kept_count, spec->target_count, spec->row->span, data_centre,
          largest_free);
      return;
    }
  group = context_form_group (context, spec, (unsigned)domain);
  if (group == NULL)
    {
      spec->blocked = true;
      return;
    }
  decision = context_add_decision (context, PLACEMENT_FORM, true, spec, group,
                                   "has %u of %u groups; %s fits best",
                                   spec->kept_count - 1, spec->target_count,
                                   context->domains[domain].name);
  for (unsigned other = 0; other < context->domain_count; other++)
    if ((int)other != domain)
      context_add_rejected_option (
          decision, "%s: %u free hosts%s", context->domains[other].name,
          context_count_free_hosts (context, spec, other),
          context->domains[other].held ? ", outage" : "");
}

void
context_form_missing_groups (struct placement_context *context, unsigned level)
{
  for (size_t i = 0; i < context->spec_count; i++)
    {
      struct context_spec *spec = &context->specs[i];

      while (spec->valid && !spec->blocked && spec->target_count >= level
             && spec->kept_count < level)
        form_next_group (context, spec);
    }
}

void
context_report_unplaced (struct placement_context *context)
{
  for (size_t i = 0; i < context->spec_count; i++)
    if (context->specs[i].unplaced_count > 0)
      context_add_decision (
          context, PLACEMENT_UNPLACED, false, &context->specs[i], NULL,
          "%u of %u groups fit into no permitted data centre",
          context->specs[i].unplaced_count, context->specs[i].row->count);
}
