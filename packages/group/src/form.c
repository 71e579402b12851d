#include "hash.h"
#include "work.h"

#include <stdio.h>
#include <string.h>

/* Hosts that no whole group can use, were n of a domain left. */
static unsigned
waste (const struct work *work, unsigned n)
{
  return n < work->fill_count ? n - work->fill[n] : 0;
}

/*
 * Cost of forming the group in a domain: the time until it serves, and the
 * hosts that this leaves without use.
 */
static double
forming_cost (const struct work *work,
              const struct work_spec *spec,
              unsigned free,
              double time_ms)
{
  const struct placement_settings *settings = work->input->settings;
  unsigned span = spec->row->span;
  double wasted
      = (double)waste (work, free - span) - (double)waste (work, free);

  return settings->downtime_weight * time_ms
         + settings->stranded_weight * wasted / span
               * (double)settings->stranded_horizon_ms;
}

int
work_choose_domain (const struct work *work,
                    const struct work_spec *spec,
                    double *time_ms,
                    unsigned *room)
{
  unsigned span = spec->row->span;
  double best_cost = 0;
  unsigned best_free = 0;
  int best = -1;

  *time_ms = 0;
  *room = 0;
  for (unsigned domain = 0; domain < work->domain_count; domain++)
    {
      unsigned free = 0;
      unsigned warm = 0;
      double load_ms;
      double cost;

      for (size_t i = 0; i < work->host_count; i++)
        if (work->hosts[i].domain == domain
            && work_is_free (work, spec, &work->hosts[i]))
          {
            free++;
            if (work_has_weights (work, spec, &work->hosts[i]))
              warm++;
          }
      if (free > *room)
        *room = free;
      if (free < span)
        continue;
      load_ms = work_load_ms (work, warm < span ? span - warm : 0);
      cost = forming_cost (work, spec, free, load_ms);
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
number_in_use (const struct work *work,
               const struct work_spec *spec,
               unsigned number)
{
  for (size_t i = 0; i < work->group_count; i++)
    if (work->groups[i].spec == spec && work->groups[i].number == number)
      return true;
  return false;
}

/* Group ids are sent in a header, so they stay within one name. */
static void
format_id (char id[FLEET_NAME_SIZE],
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

struct work_group *
work_form (struct work *work, struct work_spec *spec, unsigned domain)
{
  bool all_ranks[FLEET_SPAN_LIMIT];
  struct work_group *entry;
  unsigned fetches;

  if (work->group_count == work->group_capacity)
    return NULL;
  entry = &work->groups[work->group_count];
  memset (entry, 0, sizeof *entry);
  memset (all_ranks, 1, sizeof all_ranks);
  while (number_in_use (work, spec, spec->next_number))
    spec->next_number++;
  entry->spec = spec;
  entry->number = spec->next_number;
  entry->legal = true;
  entry->group.span = spec->row->span;
  entry->group.member_count = spec->row->span;
  format_id (entry->group.id, spec->row->name, work->input->data_centre,
             entry->number);
  memcpy (entry->group.spec, spec->row->name, sizeof entry->group.spec);
  memcpy (entry->group.model, spec->row->model, sizeof entry->group.model);
  snprintf (entry->group.data_centre, sizeof entry->group.data_centre, "%s",
            work->input->data_centre);
  snprintf (entry->group.domain, sizeof entry->group.domain, "%s",
            work->domains[domain].name);
  if (!work_pick (work, entry, domain, all_ranks, &fetches))
    return NULL;
  work_renew (work, entry);
  work->fetching += fetches;
  work->group_count++;
  spec->kept++;
  entry->level = spec->kept;
  return entry;
}

/*
 * A group that may be dissolved so that a spec without any group gets its
 * first: a second or later group of another spec.
 */
static bool
may_yield (const struct work *work,
           const struct work_spec *spec,
           const struct work_group *group,
           unsigned domain)
{
  const struct work_host *host;

  if (group->removed || group->spec == spec || group->level < 2
      || group->group.generation == work->generation)
    return false;
  host = work_find_host (work, group->group.members[0]);
  return host != NULL && host->domain == domain;
}

/* Hosts of a group that the spec could use, were the group dissolved. */
static unsigned
yielded_hosts (const struct work *work,
               const struct work_spec *spec,
               const struct work_group *group)
{
  unsigned count = 0;

  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    {
      const struct work_host *host
          = work_find_host (work, group->group.members[rank]);

      if (host != NULL && host->usable && !work->domains[host->domain].held
          && work_permits (spec, host->host))
        count++;
    }
  return count;
}

/* A broken group goes first, then one that drains, then the least urgent. */
static bool
yields_before (const struct work_group *a, const struct work_group *b)
{
  bool a_broken = a->absent + a->leaving > 0;
  bool b_broken = b->absent + b->leaving > 0;

  if (a_broken != b_broken)
    return a_broken;
  if (a->group.draining != b->group.draining)
    return a->group.draining;
  if (a->level != b->level)
    return a->level > b->level;
  return a > b;
}

/*
 * Groups to dissolve in a domain so that the spec's first group fits; their
 * number, or 0 if that does not help.
 */
static unsigned
find_yielding (const struct work *work,
               const struct work_spec *spec,
               unsigned domain,
               struct work_group **found,
               unsigned limit)
{
  unsigned room = work_count_free (work, spec, domain);
  unsigned count = 0;

  while (room < spec->row->span && count < limit)
    {
      struct work_group *best = NULL;

      for (size_t i = 0; i < work->group_count; i++)
        {
          struct work_group *group = &work->groups[i];
          bool chosen = false;

          for (unsigned j = 0; j < count; j++)
            if (found[j] == group)
              chosen = true;
          if (!chosen && may_yield (work, spec, group, domain)
              && yielded_hosts (work, spec, group) > 0
              && (best == NULL || yields_before (group, best)))
            best = group;
        }
      if (best == NULL)
        return 0;
      room += yielded_hosts (work, spec, best);
      found[count++] = best;
    }
  return room >= spec->row->span ? count : 0;
}

#define YIELD_LIMIT 16

/* True once every group has drained and was removed. */
static bool
dissolve_for (struct work *work,
              const struct work_spec *spec,
              struct work_group **groups,
              unsigned count)
{
  bool ready = true;

  for (unsigned i = 0; i < count; i++)
    if (!work_drained (work, groups[i],
                       "another spec has no group and this one has several"))
      ready = false;
  if (!ready)
    return false;
  for (unsigned i = 0; i < count; i++)
    {
      work_decide (work, PLACEMENT_DISSOLVE, true, groups[i]->spec, groups[i],
                   "%s has no group, and %s has several", spec->row->name,
                   groups[i]->group.spec);
      groups[i]->spec->kept--;
      work_remove (work, groups[i]);
    }
  return true;
}

/* Makes room for the first group of a spec; -1 when there is none yet. */
static int
make_room (struct work *work, const struct work_spec *spec)
{
  struct work_group *best[YIELD_LIMIT];
  unsigned best_count = 0;
  int best_domain = -1;

  for (unsigned domain = 0; domain < work->domain_count; domain++)
    {
      struct work_group *found[YIELD_LIMIT];
      unsigned count;

      if (work->domains[domain].held)
        continue;
      count = find_yielding (work, spec, domain, found, YIELD_LIMIT);
      if (count == 0 || (best_domain >= 0 && count >= best_count))
        continue;
      best_domain = (int)domain;
      best_count = count;
      memcpy (best, found, sizeof best);
    }
  if (best_domain < 0)
    return -1;
  if (!dissolve_for (work, spec, best, best_count))
    {
      work_reserve (work, spec, (unsigned)best_domain, spec->row->span);
      return -1;
    }
  return best_domain;
}

static void
form_next (struct work *work, struct work_spec *spec)
{
  const char *data_centre = work->input->data_centre;
  struct placement_decision *decision;
  struct work_group *group;
  double time_ms;
  unsigned room;
  int domain = work_choose_domain (work, spec, &time_ms, &room);

  if (domain < 0 && spec->kept == 0)
    domain = make_room (work, spec);
  if (domain < 0)
    {
      spec->blocked = true;
      work_decide (work, PLACEMENT_UNPLACED, false, spec, NULL,
                   "has %u of %u groups; needs %u free hosts in one domain "
                   "of %s, the largest has %u",
                   spec->kept, spec->part, spec->row->span, data_centre, room);
      return;
    }
  group = work_form (work, spec, (unsigned)domain);
  if (group == NULL)
    {
      spec->blocked = true;
      return;
    }
  decision = work_decide (work, PLACEMENT_FORM, true, spec, group,
                          "has %u of %u groups; %s fits best", spec->kept - 1,
                          spec->part, work->domains[domain].name);
  for (unsigned other = 0; other < work->domain_count; other++)
    if ((int)other != domain)
      work_reject (decision, "%s: %u free hosts%s", work->domains[other].name,
                   work_count_free (work, spec, other),
                   work->domains[other].held ? ", outage" : "");
}

void
work_form_missing (struct work *work, unsigned level)
{
  for (size_t i = 0; i < work->spec_count; i++)
    {
      struct work_spec *spec = &work->specs[i];

      while (spec->valid && !spec->blocked && spec->part >= level
             && spec->kept < level)
        form_next (work, spec);
    }
}

void
work_report_unplaced (struct work *work)
{
  for (size_t i = 0; i < work->spec_count; i++)
    if (work->specs[i].unplaced > 0)
      work_decide (work, PLACEMENT_UNPLACED, false, &work->specs[i], NULL,
                   "%u of %u groups fit into no permitted data centre",
                   work->specs[i].unplaced, work->specs[i].row->count);
}
