#include "placement-context.h"

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
compare_hosts (const void *a, const void *b)
{
  const struct context_host *x = a;
  const struct context_host *y = b;

  return strcmp (x->host->id, y->host->id);
}

static int
compare_domains (const void *a, const void *b)
{
  const struct context_domain *x = a;
  const struct context_domain *y = b;

  return strcmp (x->name, y->name);
}

static bool
is_host_in_data_centre (const struct placement_context *context,
                        const struct fleet_host *host)
{
  return !host->is_service
         && strcmp (host->data_centre, context->input->data_centre) == 0;
}

static void
set_up_host (struct placement_context *context,
             struct context_host *entry,
             const struct fleet_host *host)
{
  const struct placement_input *input = context->input;
  bool present = fleet_host_is_present (host, input->now_ms);

  entry->host = host;
  entry->usable
      = present && host->listed && !fleet_host_is_leaving (host)
        && !history_host_is_held (input->history, host->id, input->now_ms);
  if (present && host->attested.state == FLEET_ENGINE_LOADING)
    context->fetching_loads++;
}

static enum result
collect_hosts (struct placement_context *context)
{
  const struct fleet *fleet = context->input->fleet;
  const struct fleet_host *host;
  size_t count = HASH_COUNT (fleet->hosts);

  context->hosts = calloc (count + 1, sizeof *context->hosts);
  context->domains = calloc (count + 1, sizeof *context->domains);
  if (context->hosts == NULL || context->domains == NULL)
    return RESULT_NO_MEMORY;
  for (host = fleet->hosts; host != NULL; host = host->hh.next)
    if (is_host_in_data_centre (context, host))
      set_up_host (context, &context->hosts[context->host_count++], host);
  qsort (context->hosts, context->host_count, sizeof *context->hosts,
         compare_hosts);
  for (size_t i = 0; i < context->host_count; i++)
    context->domains[i].name = context->hosts[i].host->domain;
  qsort (context->domains, context->host_count, sizeof *context->domains,
         compare_domains);
  for (size_t i = 0; i < context->host_count; i++)
    if (context->domain_count == 0
        || strcmp (context->domains[context->domain_count - 1].name,
                   context->domains[i].name)
               != 0)
      context->domains[context->domain_count++] = context->domains[i];
  for (size_t i = 0; i < context->domain_count; i++)
    context->domains[i].held = history_domain_is_held (context->input->history,
                                                       context->domains[i].name,
                                                       context->input->now_ms);
  for (size_t i = 0; i < context->host_count; i++)
    {
      const struct context_domain key
          = { .name = context->hosts[i].host->domain };
      const struct context_domain *found
          = bsearch (&key, context->domains, context->domain_count,
                     sizeof *context->domains, compare_domains);

      if (found != NULL)
        context->hosts[i].domain = (unsigned)(found - context->domains);
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

/* An empty version or adapters cell of the sheet takes the value of the
   model. */
static void
set_up_spec (const struct placement_context *context,
             struct context_spec *spec,
             const struct sheet_group *row,
             unsigned target_count)
{
  const struct sheet_model *model
      = sheet_find_model (context->input->sheet, row->model);
  const struct sheet_list *adapters = &row->adapters;
  const char *version = row->version;

  if (model != NULL && adapters->count == 0)
    adapters = &model->adapters;
  if (model != NULL && version[0] == '\0')
    version = model->version;
  spec->row = row;
  spec->target_count = target_count;
  spec->permitted_here
      = sheet_list_has (&row->data_centres, context->input->data_centre);
  spec->valid = row->span > 0 && row->span <= FLEET_SPAN_LIMIT
                && join_names (adapters, spec->adapters, sizeof spec->adapters);
  snprintf (spec->version, sizeof spec->version, "%s", version);
}

static enum result
collect_specs (struct placement_context *context)
{
  const struct sheet *sheet = context->input->sheet;
  unsigned *target_counts
      = calloc (2 * sheet->group_count + 1, sizeof *target_counts);
  unsigned *unplaced_counts;
  enum result result = RESULT_NO_MEMORY;

  context->specs = calloc (sheet->group_count + 1, sizeof *context->specs);
  if (target_counts == NULL || context->specs == NULL)
    goto out;
  unplaced_counts = target_counts + sheet->group_count;
  result = placement_divide_groups (sheet, context->input->fleet,
                                    context->input->data_centre, target_counts,
                                    unplaced_counts);
  if (result != RESULT_OK)
    goto out;
  context->spec_count = sheet->group_count;
  for (size_t i = 0; i < context->spec_count; i++)
    {
      set_up_spec (context, &context->specs[i], &sheet->groups[i],
                   target_counts[i]);
      context->specs[i].unplaced_count = unplaced_counts[i];
    }

out:
  free (target_counts);
  return result;
}

/* Computes how many hosts of each number of hosts complete groups can use. */
static enum result
compute_packable_hosts (struct placement_context *context)
{
  context->packable_count = context->host_count + 1;
  context->packable_hosts
      = calloc (context->packable_count, sizeof *context->packable_hosts);
  if (context->packable_hosts == NULL)
    return RESULT_NO_MEMORY;
  for (unsigned n = 1; n < context->packable_count; n++)
    {
      context->packable_hosts[n] = context->packable_hosts[n - 1];
      for (size_t i = 0; i < context->spec_count; i++)
        {
          unsigned span = context->specs[i].row->span;

          if (context->specs[i].permitted_here && span > 0 && span <= n
              && context->packable_hosts[n - span] + span
                     > context->packable_hosts[n])
            context->packable_hosts[n]
                = context->packable_hosts[n - span] + span;
        }
    }
  return RESULT_OK;
}

bool
context_permits_host (const struct context_spec *spec,
                      const struct fleet_host *host)
{
  const struct sheet_group *row = spec->row;

  return spec->permitted_here
         && (row->domains.count == 0
             || sheet_list_has (&row->domains, host->domain))
         && (row->hosts.count == 0 || sheet_list_has (&row->hosts, host->id));
}

struct context_host *
context_find_host (const struct placement_context *context, const char *id)
{
  size_t low = 0;
  size_t high = context->host_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int order = strcmp (id, context->hosts[middle].host->id);

      if (order == 0)
        return &context->hosts[middle];
      if (order < 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}

static bool
is_member_ready (const struct fleet_group *group,
                 unsigned rank,
                 const struct fleet_host *host)
{
  const struct fleet_attestation *attested = &host->attested;

  return strcmp (attested->group, group->id) == 0
         && attested->generation == group->generation && attested->rank == rank
         && attested->state == FLEET_ENGINE_READY;
}

/* True if the member still needs an order for a load that fetches weights. */
static bool
needs_fetch (const struct placement_context *context,
             const struct fleet_group *group,
             unsigned rank,
             const struct fleet_host *host)
{
  return !is_member_ready (group, rank, host)
         && host->attested.state != FLEET_ENGINE_LOADING
         && !history_has_weights (context->input->history, host, group->model,
                                  group->version);
}

/* Counts the member as absent or leaving, and checks that it is in a permitted
   place. */
static void
record_member_state (struct placement_context *context,
                     struct context_group *entry,
                     unsigned rank)
{
  const struct fleet_group *group = &entry->group;
  const struct context_host *found
      = context_find_host (context, group->members[rank]);
  int64_t now_ms = context->input->now_ms;

  if (found == NULL || !fleet_host_is_present (found->host, now_ms))
    {
      int64_t absent_ms = history_absent_ms (context->input->history,
                                             group->members[rank], now_ms);

      entry->absent_count++;
      entry->all_ready = false;
      if (absent_ms > entry->absent_ms)
        entry->absent_ms = absent_ms;
    }
  else
    {
      if (fleet_host_is_leaving (found->host))
        entry->leaving_count++;
      if (!is_member_ready (group, rank, found->host))
        entry->all_ready = false;
      if (needs_fetch (context, group, rank, found->host))
        context->fetching_loads++;
    }
  if (found != NULL && entry->spec != NULL
      && (!context_permits_host (entry->spec, found->host)
          || strcmp (found->host->domain, group->domain) != 0))
    entry->conforms = false;
}

static void
add_assigned_group (struct placement_context *context,
                    const struct fleet_group *group)
{
  struct context_group *entry = &context->groups[context->group_count++];
  const char *dot = strrchr (group->id, '.');

  entry->group = *group;
  entry->assigned = group;
  entry->number = dot != NULL ? (unsigned)strtoul (dot + 1, NULL, 10) : 0;
  for (size_t i = 0; i < context->spec_count && entry->spec == NULL; i++)
    if (strcmp (context->specs[i].row->name, group->spec) == 0)
      entry->spec = &context->specs[i];
  entry->conforms = entry->spec != NULL && entry->spec->valid
                    && entry->spec->permitted_here
                    && strcmp (entry->spec->row->model, group->model) == 0
                    && entry->spec->row->span == group->span
                    && group->member_count == group->span;
  entry->all_ready = group->member_count == group->span;
  for (unsigned rank = 0; rank < group->member_count; rank++)
    record_member_state (context, entry, rank);
  entry->outdated
      = entry->conforms
        && (strcmp (entry->spec->version, group->version) != 0
            || strcmp (entry->spec->adapters, group->adapters) != 0);
  if (context->generation <= group->generation)
    context->generation = group->generation + 1;
  context_set_members_taken (context, entry, true);
}

/* Groups of one spec in the order of their numbers, specs in sheet order. */
static int
compare_groups (const void *a, const void *b)
{
  const struct context_group *x = a;
  const struct context_group *y = b;

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
collect_groups (struct placement_context *context)
{
  const struct fleet *fleet = context->input->fleet;
  const struct fleet_group *group;

  context->group_capacity = (size_t)HASH_COUNT (fleet->groups);
  for (size_t i = 0; i < context->spec_count; i++)
    context->group_capacity += context->specs[i].target_count;
  context->groups
      = calloc (context->group_capacity + 1, sizeof *context->groups);
  if (context->groups == NULL)
    return RESULT_NO_MEMORY;
  context->generation = fleet->assignment_number + 1;
  for (group = fleet->groups; group != NULL; group = group->hh.next)
    if (strcmp (group->data_centre, context->input->data_centre) == 0)
      add_assigned_group (context, group);
  qsort (context->groups, context->group_count, sizeof *context->groups,
         compare_groups);
  return RESULT_OK;
}

enum result
context_init (struct placement_context *context,
              struct placement *placement,
              const struct placement_input *input)
{
  enum result result;

  memset (context, 0, sizeof *context);
  context->input = input;
  context->placement = placement;
  result = collect_hosts (context);
  if (result == RESULT_OK)
    result = collect_specs (context);
  if (result == RESULT_OK)
    result = compute_packable_hosts (context);
  if (result == RESULT_OK)
    result = collect_groups (context);
  return result;
}

void
context_finish (struct placement_context *context)
{
  free (context->hosts);
  free (context->domains);
  free (context->specs);
  free (context->groups);
  free (context->packable_hosts);
}

bool
context_is_host_free (const struct placement_context *context,
                      const struct context_spec *spec,
                      const struct context_host *host)
{
  return host->usable && !host->taken && !context->domains[host->domain].held
         && context_permits_host (spec, host->host);
}

unsigned
context_count_free_hosts (const struct placement_context *context,
                          const struct context_spec *spec,
                          unsigned domain)
{
  unsigned count = 0;

  for (size_t i = 0; i < context->host_count; i++)
    if (context->hosts[i].domain == domain
        && context_is_host_free (context, spec, &context->hosts[i]))
      count++;
  return count;
}

bool
context_host_has_weights (const struct placement_context *context,
                          const struct context_spec *spec,
                          const struct context_host *host)
{
  return history_has_weights (context->input->history, host->host,
                              spec->row->model, spec->version);
}

double
context_estimate_load_ms (const struct placement_context *context,
                          unsigned fetches)
{
  const struct placement_settings *settings = context->input->settings;
  unsigned limit = settings->load_limit > 0 ? settings->load_limit : 1;

  if (fetches == 0)
    return (double)settings->cached_load_ms;
  return (double)settings->load_ms
         * ceil ((double)(context->fetching_loads + fetches) / limit);
}

void
context_set_members_taken (struct placement_context *context,
                           const struct context_group *group,
                           bool taken)
{
  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    {
      struct context_host *host
          = context_find_host (context, group->group.members[rank]);

      if (host != NULL)
        host->taken = taken;
    }
}

void
context_remove_group (struct placement_context *context,
                      struct context_group *group)
{
  group->removed = true;
  context_set_members_taken (context, group, false);
}

void
context_renew_group (struct placement_context *context,
                     struct context_group *group)
{
  const struct context_spec *spec = group->spec;

  memcpy (group->group.version, spec->version, sizeof group->group.version);
  memcpy (group->group.adapters, spec->adapters, sizeof group->group.adapters);
  group->group.generation = context->generation;
  group->group.draining = false;
  group->keep_draining = false;
  group->outdated = false;
  group->all_ready = false;
  group->absent_count = 0;
  group->leaving_count = 0;
}

static bool
has_work_in_flight (const struct placement_context *context,
                    const struct context_group *group)
{
  for (unsigned rank = 0; rank < group->group.member_count; rank++)
    {
      const struct context_host *host
          = context_find_host (context, group->group.members[rank]);

      if (host != NULL
          && host->host->attested.running + host->host->attested.queued > 0)
        return true;
    }
  return false;
}

/*
 * Entry hosts receive a drain within FLEET_ATTESTATION_AGE_LIMIT_MS, and
 * attested request counts are up to FLEET_ATTESTATION_AGE_LIMIT_MS old.  Until
 * both have passed, a count of 0 does not show that the group is idle.
 */
static const int64_t min_drain_ms
    = INT64_C (2) * FLEET_ATTESTATION_AGE_LIMIT_MS;

bool
context_drain_group (struct placement_context *context,
                     struct context_group *group,
                     const char *reason)
{
  const struct placement_input *input = context->input;
  int64_t drained_ms;

  if (!group->all_ready)
    return true; /* an incomplete group cannot finish its work */
  drained_ms
      = input->now_ms
        - history_draining_since (input->history, group->group.id,
                                  group->group.generation, input->now_ms);
  if (group->group.draining
      && (drained_ms >= input->settings->drain_timeout_ms
          || (drained_ms >= min_drain_ms
              && !has_work_in_flight (context, group))))
    return true;
  context_add_decision (context, PLACEMENT_DRAIN, !group->group.draining,
                        group->spec, group,
                        "%s; finishing the work in flight first", reason);
  group->group.draining = true;
  group->keep_draining = true;
  return false;
}

bool
context_pick_members (struct placement_context *context,
                      struct context_group *group,
                      unsigned domain,
                      const bool *ranks_to_fill,
                      unsigned *fetches)
{
  unsigned rank = 0;

  *fetches = 0;
  /* cold = 0: hosts that have the weights; cold = 1: hosts without them */
  for (int cold = 0; cold <= 1; cold++)
    for (size_t i = 0; i < context->host_count; i++)
      {
        struct context_host *host = &context->hosts[i];

        while (rank < group->group.span && !ranks_to_fill[rank])
          rank++;
        if (rank == group->group.span)
          return true;
        if (host->domain != domain
            || !context_is_host_free (context, group->spec, host)
            || context_host_has_weights (context, group->spec, host)
                   == (cold == 1))
          continue;
        memcpy (group->group.members[rank], host->host->id, FLEET_NAME_SIZE);
        host->taken = true;
        rank++;
        *fetches += (unsigned)cold;
      }
  while (rank < group->group.span && !ranks_to_fill[rank])
    rank++;
  return rank == group->group.span;
}

void
context_reserve_hosts (struct placement_context *context,
                       const struct context_spec *spec,
                       unsigned domain,
                       unsigned count)
{
  /* cold = 0: hosts that have the weights; cold = 1: hosts without them */
  for (int cold = 0; cold <= 1; cold++)
    for (size_t i = 0; i < context->host_count && count > 0; i++)
      {
        struct context_host *host = &context->hosts[i];

        if (host->domain != domain
            || !context_is_host_free (context, spec, host)
            || context_host_has_weights (context, spec, host) == (cold == 1))
          continue;
        host->taken = true;
        count--;
      }
}

struct placement_decision *
context_add_decision (struct placement_context *context,
                      enum placement_step step,
                      bool changes,
                      const struct context_spec *spec,
                      const struct context_group *group,
                      const char *format,
                      ...)
{
  struct placement *placement = context->placement;
  struct placement_decision *decision;
  va_list args;

  if (placement->decision_count == context->decision_capacity)
    {
      size_t capacity = context->decision_capacity * 2 + 16;
      struct placement_decision *grown = realloc (
          placement->decisions, capacity * sizeof *placement->decisions);

      if (grown == NULL)
        {
          context->result = RESULT_NO_MEMORY;
          return NULL;
        }
      placement->decisions = grown;
      context->decision_capacity = capacity;
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
context_add_rejected_option (struct placement_decision *decision,
                             const char *format,
                             ...)
{
  va_list args;
  unsigned i = 0;

  if (decision == NULL)
    return;
  while (i < PLACEMENT_REJECTED_LIMIT && decision->rejected[i][0] != '\0')
    i++;
  if (i == PLACEMENT_REJECTED_LIMIT)
    return;
  va_start (args, format);
  vsnprintf (decision->rejected[i], sizeof decision->rejected[i], format, args);
  va_end (args);
}
