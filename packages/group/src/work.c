#include "work.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
compare_hosts (const void *a, const void *b)
{
  const struct work_host *x = a;
  const struct work_host *y = b;

  return strcmp (x->host->id, y->host->id);
}

static int
compare_domains (const void *a, const void *b)
{
  const struct work_domain *x = a;
  const struct work_domain *y = b;

  return strcmp (x->name, y->name);
}

static bool
in_data_centre (const struct work *work, const struct fleet_host *host)
{
  return !host->is_service
         && strcmp (host->data_centre, work->input->data_centre) == 0;
}

static void
fill_host (struct work *work,
           struct work_host *entry,
           const struct fleet_host *host)
{
  const struct placement_input *input = work->input;
  bool present = fleet_host_present (host, input->now_ms);

  entry->host = host;
  entry->usable = present && host->listed && !fleet_host_leaving (host)
                  && !history_held (input->history, host->id, input->now_ms);
  if (present && host->attested.state == FLEET_ENGINE_LOADING)
    work->fetching++;
}

static enum result
load_hosts (struct work *work)
{
  const struct fleet *fleet = work->input->fleet;
  const struct fleet_host *host;
  size_t count = HASH_COUNT (fleet->hosts);

  work->hosts = calloc (count + 1, sizeof *work->hosts);
  work->domains = calloc (count + 1, sizeof *work->domains);
  if (work->hosts == NULL || work->domains == NULL)
    return RESULT_NO_MEMORY;
  for (host = fleet->hosts; host != NULL; host = host->hh.next)
    if (in_data_centre (work, host))
      fill_host (work, &work->hosts[work->host_count++], host);
  qsort (work->hosts, work->host_count, sizeof *work->hosts, compare_hosts);
  for (size_t i = 0; i < work->host_count; i++)
    work->domains[i].name = work->hosts[i].host->domain;
  qsort (work->domains, work->host_count, sizeof *work->domains,
         compare_domains);
  for (size_t i = 0; i < work->host_count; i++)
    if (work->domain_count == 0
        || strcmp (work->domains[work->domain_count - 1].name,
                   work->domains[i].name)
               != 0)
      work->domains[work->domain_count++] = work->domains[i];
  for (size_t i = 0; i < work->domain_count; i++)
    work->domains[i].held = history_domain_held (
        work->input->history, work->domains[i].name, work->input->now_ms);
  for (size_t i = 0; i < work->host_count; i++)
    {
      const struct work_domain key = { .name = work->hosts[i].host->domain };
      const struct work_domain *found
          = bsearch (&key, work->domains, work->domain_count,
                     sizeof *work->domains, compare_domains);

      if (found != NULL)
        work->hosts[i].domain = (unsigned)(found - work->domains);
    }
  return RESULT_OK;
}

static bool
join_names (const struct sheet_list *list, char *out, size_t size)
{
  size_t used = 0;

  out[0] = '\0';
  for (size_t i = 0; i < list->count; i++)
    {
      size_t length = strlen (list->names[i]);

      if (used + length + 2 > size)
        return false;
      if (used > 0)
        out[used++] = ';';
      memcpy (out + used, list->names[i], length + 1);
      used += length;
    }
  return true;
}

/* An empty version or adapters cell takes those of the model. */
static void
load_spec (const struct work *work,
           struct work_spec *spec,
           const struct sheet_group *row,
           unsigned part)
{
  const struct sheet_model *model
      = sheet_find_model (work->input->sheet, row->model);
  const struct sheet_list *adapters = &row->adapters;
  const char *version = row->version;

  if (model != NULL && adapters->count == 0)
    adapters = &model->adapters;
  if (model != NULL && version[0] == '\0')
    version = model->version;
  spec->row = row;
  spec->part = part;
  spec->here = sheet_list_has (&row->data_centres, work->input->data_centre);
  spec->valid = row->span > 0 && row->span <= FLEET_SPAN_LIMIT
                && join_names (adapters, spec->adapters, sizeof spec->adapters);
  snprintf (spec->version, sizeof spec->version, "%s", version);
}

static enum result
load_specs (struct work *work)
{
  const struct sheet *sheet = work->input->sheet;
  unsigned *parts = calloc (2 * sheet->group_count + 1, sizeof *parts);
  unsigned *unplaced;
  enum result result = RESULT_NO_MEMORY;

  work->specs = calloc (sheet->group_count + 1, sizeof *work->specs);
  if (parts == NULL || work->specs == NULL)
    goto out;
  unplaced = parts + sheet->group_count;
  result = placement_divide (sheet, work->input->fleet,
                             work->input->data_centre, parts, unplaced);
  if (result != RESULT_OK)
    goto out;
  work->spec_count = sheet->group_count;
  for (size_t i = 0; i < work->spec_count; i++)
    {
      load_spec (work, &work->specs[i], &sheet->groups[i], parts[i]);
      work->specs[i].unplaced = unplaced[i];
    }

out:
  free (parts);
  return result;
}

/* Which numbers of hosts can be used up by whole groups of the specs. */
static enum result
load_fill (struct work *work)
{
  work->fill_count = work->host_count + 1;
  work->fill = calloc (work->fill_count, sizeof *work->fill);
  if (work->fill == NULL)
    return RESULT_NO_MEMORY;
  for (unsigned n = 1; n < work->fill_count; n++)
    {
      work->fill[n] = work->fill[n - 1];
      for (size_t i = 0; i < work->spec_count; i++)
        {
          unsigned span = work->specs[i].row->span;

          if (work->specs[i].here && span > 0 && span <= n
              && work->fill[n - span] + span > work->fill[n])
            work->fill[n] = work->fill[n - span] + span;
        }
    }
  return RESULT_OK;
}

bool
work_permits (const struct work_spec *spec, const struct fleet_host *host)
{
  const struct sheet_group *row = spec->row;

  return spec->here
         && (row->domains.count == 0
             || sheet_list_has (&row->domains, host->domain))
         && (row->hosts.count == 0 || sheet_list_has (&row->hosts, host->id));
}

struct work_host *
work_find_host (const struct work *work, const char *id)
{
  size_t low = 0;
  size_t high = work->host_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int order = strcmp (id, work->hosts[middle].host->id);

      if (order == 0)
        return &work->hosts[middle];
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}

static bool
member_is_ready (const struct fleet_group *group,
                 unsigned rank,
                 const struct fleet_host *host)
{
  const struct fleet_attestation *attested = &host->attested;

  return strcmp (attested->group, group->id) == 0
         && attested->generation == group->generation && attested->rank == rank
         && attested->state == FLEET_ENGINE_READY;
}

/* A load that is still to be ordered and will fetch the weights. */
static bool
awaits_fetch (const struct work *work,
              const struct fleet_group *group,
              unsigned rank,
              const struct fleet_host *host)
{
  return !member_is_ready (group, rank, host)
         && host->attested.state != FLEET_ENGINE_LOADING
         && !history_has_weights (work->input->history, host, group->model,
                                  group->version);
}

/* Presence of the members, and whether they may still be where they are. */
static void
inspect_member (struct work *work, struct work_group *entry, unsigned rank)
{
  const struct fleet_group *group = &entry->group;
  const struct work_host *found = work_find_host (work, group->members[rank]);
  int64_t now_ms = work->input->now_ms;

  if (found == NULL || !fleet_host_present (found->host, now_ms))
    {
      int64_t absent_ms = history_absent_ms (work->input->history,
                                             group->members[rank], now_ms);

      entry->absent++;
      entry->whole = false;
      if (absent_ms > entry->absent_ms)
        entry->absent_ms = absent_ms;
    }
  else
    {
      if (fleet_host_leaving (found->host))
        entry->leaving++;
      if (!member_is_ready (group, rank, found->host))
        entry->whole = false;
      if (awaits_fetch (work, group, rank, found->host))
        work->fetching++;
    }
  if (found != NULL && entry->spec != NULL
      && (!work_permits (entry->spec, found->host)
          || strcmp (found->host->domain, group->domain) != 0))
    entry->legal = false;
}

static void
load_group (struct work *work, const struct fleet_group *group)
{
  struct work_group *entry = &work->groups[work->group_count++];
  const char *dot = strrchr (group->id, '.');

  entry->group = *group;
  entry->present = group;
  entry->number = dot != NULL ? (unsigned)strtoul (dot + 1, NULL, 10) : 0;
  for (size_t i = 0; i < work->spec_count && entry->spec == NULL; i++)
    if (strcmp (work->specs[i].row->name, group->spec) == 0)
      entry->spec = &work->specs[i];
  entry->legal = entry->spec != NULL && entry->spec->valid && entry->spec->here
                 && strcmp (entry->spec->row->model, group->model) == 0
                 && entry->spec->row->span == group->span
                 && group->member_count == group->span;
  entry->whole = group->member_count == group->span;
  for (unsigned rank = 0; rank < group->member_count; rank++)
    inspect_member (work, entry, rank);
  entry->outdated
      = entry->legal
        && (strcmp (entry->spec->version, group->version) != 0
            || strcmp (entry->spec->adapters, group->adapters) != 0);
  if (work->generation <= group->generation)
    work->generation = group->generation + 1;
  work_take (work, entry, true);
}

/* Groups of one spec in the order of their numbers, specs in sheet order. */
static int
compare_groups (const void *a, const void *b)
{
  const struct work_group *x = a;
  const struct work_group *y = b;

  if (x->spec != y->spec)
    {
      if (x->spec == NULL || y->spec == NULL)
        return x->spec == NULL ? 1 : -1;
      return x->spec < y->spec ? -1 : 1;
    }
  if (x->number != y->number)
    return x->number < y->number ? -1 : 1;
  return strcmp (x->group.id, y->group.id);
}

static enum result
load_groups (struct work *work)
{
  const struct fleet *fleet = work->input->fleet;
  const struct fleet_group *group;

  work->group_capacity = (size_t)HASH_COUNT (fleet->groups);
  for (size_t i = 0; i < work->spec_count; i++)
    work->group_capacity += work->specs[i].part;
  work->groups = calloc (work->group_capacity + 1, sizeof *work->groups);
  if (work->groups == NULL)
    return RESULT_NO_MEMORY;
  work->generation = fleet->assignment_number + 1;
  for (group = fleet->groups; group != NULL; group = group->hh.next)
    if (strcmp (group->data_centre, work->input->data_centre) == 0)
      load_group (work, group);
  qsort (work->groups, work->group_count, sizeof *work->groups, compare_groups);
  return RESULT_OK;
}

enum result
work_init (struct work *work,
           struct placement *placement,
           const struct placement_input *input)
{
  enum result result;

  memset (work, 0, sizeof *work);
  work->input = input;
  work->placement = placement;
  result = load_hosts (work);
  if (result == RESULT_OK)
    result = load_specs (work);
  if (result == RESULT_OK)
    result = load_fill (work);
  if (result == RESULT_OK)
    result = load_groups (work);
  return result;
}

void
work_finish (struct work *work)
{
  free (work->hosts);
  free (work->domains);
  free (work->specs);
  free (work->groups);
  free (work->fill);
}

bool
work_is_free (const struct work *work,
              const struct work_spec *spec,
              const struct work_host *host)
{
  return host->usable && !host->taken && !work->domains[host->domain].held
         && work_permits (spec, host->host);
}

unsigned
work_count_free (const struct work *work,
                 const struct work_spec *spec,
                 unsigned domain)
{
  unsigned count = 0;

  for (size_t i = 0; i < work->host_count; i++)
    if (work->hosts[i].domain == domain
        && work_is_free (work, spec, &work->hosts[i]))
      count++;
  return count;
}

bool
work_has_weights (const struct work *work,
                  const struct work_spec *spec,
                  const struct work_host *host)
{
  return history_has_weights (work->input->history, host->host,
                              spec->row->model, spec->version);
}

double
work_load_ms (const struct work *work, unsigned fetches)
{
  const struct placement_settings *settings = work->input->settings;
  unsigned limit = settings->load_limit > 0 ? settings->load_limit : 1;

  if (fetches == 0)
    return (double)settings->warm_load_ms;
  return (double)settings->load_ms
         * ceil ((double)(work->fetching + fetches) / limit);
}

void
work_take (struct work *work, const struct work_group *group, bool taken)
{
  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    {
      struct work_host *host
          = work_find_host (work, group->group.members[rank]);

      if (host != NULL)
        host->taken = taken;
    }
}

void
work_remove (struct work *work, struct work_group *group)
{
  group->removed = true;
  work_take (work, group, false);
}

void
work_renew (struct work *work, struct work_group *group)
{
  const struct work_spec *spec = group->spec;

  memcpy (group->group.version, spec->version, sizeof group->group.version);
  memcpy (group->group.adapters, spec->adapters, sizeof group->group.adapters);
  group->group.generation = work->generation;
  group->group.draining = false;
  group->keep_draining = false;
  group->outdated = false;
  group->whole = false;
  group->absent = 0;
  group->leaving = 0;
}

static bool
has_work (const struct work *work, const struct work_group *group)
{
  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    {
      const struct work_host *host
          = work_find_host (work, group->group.members[rank]);

      if (host != NULL
          && host->host->attested.running + host->host->attested.queued > 0)
        return true;
    }
  return false;
}

/*
 * Entry hosts learn of a drain within FLEET_ATTESTATION_MS, and reports of
 * work are that old again, so an earlier report of no work proves nothing.
 */
static const int64_t drain_least_ms = INT64_C (2) * FLEET_ATTESTATION_MS;

bool
work_drained (struct work *work, struct work_group *group, const char *reason)
{
  const struct placement_input *input = work->input;
  int64_t drained_ms;

  if (!group->whole)
    return true; /* a group with a missing member cannot finish its work */
  drained_ms
      = input->now_ms
        - history_draining_since (input->history, group->group.id,
                                  group->group.generation, input->now_ms);
  if (group->group.draining
      && (drained_ms >= input->settings->drain_ms
          || (drained_ms >= drain_least_ms && !has_work (work, group))))
    return true;
  work_decide (work, PLACEMENT_DRAIN, !group->group.draining, group->spec,
               group, "%s; finishing the work in flight first", reason);
  group->group.draining = true;
  group->keep_draining = true;
  return false;
}

bool
work_pick (struct work *work,
           struct work_group *group,
           unsigned domain,
           const bool *wanted_ranks,
           unsigned *fetches)
{
  unsigned rank = 0;

  *fetches = 0;
  for (int cold = 0; cold <= 1; cold++)
    for (size_t i = 0; i < work->host_count; i++)
      {
        struct work_host *host = &work->hosts[i];

        while (rank < group->group.span && !wanted_ranks[rank])
          rank++;
        if (rank == group->group.span)
          return true;
        if (host->domain != domain || !work_is_free (work, group->spec, host)
            || work_has_weights (work, group->spec, host) == (cold == 1))
          continue;
        memcpy (group->group.members[rank], host->host->id, FLEET_NAME_SIZE);
        host->taken = true;
        rank++;
        *fetches += (unsigned)cold;
      }
  while (rank < group->group.span && !wanted_ranks[rank])
    rank++;
  return rank == group->group.span;
}

void
work_reserve (struct work *work,
              const struct work_spec *spec,
              unsigned domain,
              unsigned count)
{
  for (int cold = 0; cold <= 1; cold++)
    for (size_t i = 0; i < work->host_count && count > 0; i++)
      {
        struct work_host *host = &work->hosts[i];

        if (host->domain != domain || !work_is_free (work, spec, host)
            || work_has_weights (work, spec, host) == (cold == 1))
          continue;
        host->taken = true;
        count--;
      }
}

struct placement_decision *
work_decide (struct work *work,
             enum placement_step step,
             bool changes,
             const struct work_spec *spec,
             const struct work_group *group,
             const char *format,
             ...)
{
  struct placement *placement = work->placement;
  struct placement_decision *decision;
  va_list args;

  if (placement->decision_count == work->decision_capacity)
    {
      size_t capacity = work->decision_capacity * 2 + 16;
      struct placement_decision *grown = realloc (
          placement->decisions, capacity * sizeof *placement->decisions);

      if (grown == NULL)
        {
          work->result = RESULT_NO_MEMORY;
          return NULL;
        }
      placement->decisions = grown;
      work->decision_capacity = capacity;
    }
  decision = &placement->decisions[placement->decision_count++];
  memset (decision, 0, sizeof *decision);
  decision->step = step;
  decision->changes = changes;
  if (spec != NULL)
    memcpy (decision->spec, spec->row->name, sizeof decision->spec);
  if (group != NULL)
    memcpy (decision->group, group->group.id, sizeof decision->group);
  va_start (args, format);
  vsnprintf (decision->reason, sizeof decision->reason, format, args);
  va_end (args);
  return decision;
}

void
work_reject (struct placement_decision *decision, const char *format, ...)
{
  va_list args;
  unsigned i = 0;

  if (decision == NULL)
    return;
  while (i < PLACEMENT_OPTIONS && decision->rejected[i][0] != '\0')
    i++;
  if (i == PLACEMENT_OPTIONS)
    return;
  va_start (args, format);
  vsnprintf (decision->rejected[i], sizeof decision->rejected[i], format, args);
  va_end (args);
}
