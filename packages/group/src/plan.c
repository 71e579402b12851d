#include "plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
plan_settings_init (struct plan_settings *settings)
{
  *settings = (struct plan_settings){
    .order_timeout_ms = 5000,
    .attestation_wait_ms = 2000,
    .retry_delay_ms = 1000,
    .retry_delay_limit_ms = 30000,
    .load_limit = 16,
    .prefetch_limit = 8,
  };
}

void
plan_init (struct plan *plan,
           const struct plan_settings *settings,
           const char *data_centre,
           const char *self)
{
  memset (plan, 0, sizeof *plan);
  plan->settings = *settings;
  snprintf (plan->data_centre, sizeof plan->data_centre, "%s", data_centre);
  snprintf (plan->self, sizeof plan->self, "%s", self);
  plan->write_not_before_ms = INT64_MIN;
}

static void
forget_orders (struct plan *plan)
{
  struct plan_host_state *host = plan->hosts;

  HASH_CLEAR (hh, plan->hosts);
  while (host != NULL)
    {
      struct plan_host_state *next = host->hh.next;

      free (host);
      host = next;
    }
}

void
plan_finish (struct plan *plan)
{
  forget_orders (plan);
}

void
plan_steps_init (struct plan_steps *steps)
{
  memset (steps, 0, sizeof *steps);
  fleet_init (&steps->assignment);
}

void
plan_steps_finish (struct plan_steps *steps)
{
  fleet_finish (&steps->assignment);
  free (steps->orders);
  memset (steps, 0, sizeof *steps);
}

/* Keeps the memory of the orders for the next tick. */
static void
clear_steps (struct plan_steps *steps)
{
  struct plan_order *orders = steps->orders;
  size_t capacity = steps->order_capacity;

  fleet_finish (&steps->assignment);
  memset (steps, 0, sizeof *steps);
  steps->orders = orders;
  steps->order_capacity = capacity;
}

/* Starts a new lease: earlier orders are forgotten, and the assignment must be
   read again. */
static void
start_lease_term (struct plan *plan, uint64_t fence, int64_t now_ms)
{
  forget_orders (plan);
  plan->fence = fence;
  plan->fence_since_ms = now_ms;
  plan->assignment_stale = true;
  plan->read_in_flight = false;
}

static struct plan_host_state *
get_or_add_host_state (struct plan *plan, const char *id)
{
  struct plan_host_state *host;

  HASH_FIND_STR (plan->hosts, id, host);
  if (host != NULL)
    return host;
  host = calloc (1, sizeof *host);
  if (host == NULL)
    return NULL;
  snprintf (host->id, sizeof host->id, "%s", id);
  host->not_before_ms = INT64_MIN;
  host->attested_after_ms = INT64_MIN;
  HASH_ADD_STR (plan->hosts, id, host);
  return host;
}

/*
 * The order may still take effect until its timeout has passed.  Only an
 * attestation after that moment shows whether it did.
 */
static void
mark_order_lost (const struct plan *plan, struct plan_host_state *host)
{
  host->in_flight = false;
  host->was_order_lost = true;
  host->is_fetch = false;
  host->not_before_ms = host->sent_ms + plan->settings.order_timeout_ms;
  host->attested_after_ms = host->not_before_ms;
}

static void
expire_orders (struct plan *plan, int64_t now_ms)
{
  struct plan_host_state *host;

  for (host = plan->hosts; host != NULL; host = host->hh.next)
    {
      host->assigned = false;
      if (host->in_flight
          && now_ms - host->sent_ms >= plan->settings.order_timeout_ms)
        mark_order_lost (plan, host);
    }
}

static enum result
prepare_assignment_write (struct plan *plan,
                          const struct fleet *fleet,
                          const struct fleet_group *groups,
                          size_t count,
                          struct plan_steps *steps)
{
  for (size_t i = 0; i < count; i++)
    {
      struct fleet_group *group
          = fleet_add_group (&steps->assignment, groups[i].id);
      UT_hash_handle hh;

      if (group == NULL)
        return RESULT_NO_MEMORY;
      hh = group->hh;
      *group = groups[i];
      group->hh = hh;
    }
  steps->assignment.assignment_fence = plan->fence;
  steps->assignment.assignment_number = fleet->assignment_number + 1;
  steps->write_assignment = true;
  plan->write_in_flight = true;
  return RESULT_OK;
}

/* Writes the unchanged assignment with the new fencing token.  A write of an
   older holder at the version that it read then fails. */
static enum result
prepare_fence_stamp (struct plan *plan,
                     const struct fleet *fleet,
                     struct plan_steps *steps)
{
  const struct fleet_group *group;
  enum result result = RESULT_OK;

  for (group = fleet->groups; group != NULL && result == RESULT_OK;
       group = group->hh.next)
    if (strcmp (group->data_centre, plan->data_centre) == 0)
      result = prepare_assignment_write (plan, fleet, group, 1, steps);
  if (result == RESULT_OK)
    result = prepare_assignment_write (plan, fleet, NULL, 0, steps);
  snprintf (steps->write_reason, sizeof steps->write_reason,
            "takeover: write fencing token %llu",
            (unsigned long long)plan->fence);
  return result;
}

static enum result
prepare_wanted_write (struct plan *plan,
                      const struct fleet *fleet,
                      const struct placement *wanted,
                      struct plan_steps *steps)
{
  for (size_t i = 0; i < wanted->decision_count; i++)
    if (wanted->decisions[i].changes)
      {
        snprintf (steps->write_reason, sizeof steps->write_reason,
                  "%s %.40s: %.100s",
                  placement_step_name (wanted->decisions[i].step),
                  wanted->decisions[i].group, wanted->decisions[i].reason);
        break;
      }
  return prepare_assignment_write (plan, fleet, wanted->groups,
                                   wanted->group_count, steps);
}

/* True if no order of the previous holder can take effect after the host's last
   attestation. */
static bool
are_earlier_orders_over (const struct plan *plan,
                         const struct fleet_host *host,
                         int64_t now_ms)
{
  int64_t clear_ms = plan->fence_since_ms + plan->settings.order_timeout_ms;

  return now_ms >= clear_ms && host->attested.seen_ms >= clear_ms;
}

/* An engine that does not check the fencing token may still execute an order of
   the previous holder for one order timeout after the takeover. */
static bool
is_fence_wait_over (const struct plan *plan,
                    const struct fleet_host *host,
                    int64_t now_ms)
{
  return host->checks_fence || are_earlier_orders_over (plan, host, now_ms);
}

static bool
can_order (const struct plan *plan,
           const struct plan_host_state *state,
           const struct fleet_host *host,
           int64_t now_ms)
{
  return !state->in_flight && now_ms >= state->not_before_ms
         && host->attested.seen_ms >= state->attested_after_ms
         && fleet_host_is_present (host, now_ms)
         && is_fence_wait_over (plan, host, now_ms);
}

/* Loads in progress that fetch weights: ordered by this plan or attested. */
static unsigned
count_fetches (const struct plan *plan,
               const struct fleet *fleet,
               const struct history *history,
               int64_t now_ms)
{
  const struct fleet_host *host;
  unsigned count = 0;

  for (host = fleet->hosts; host != NULL; host = host->hh.next)
    {
      const struct fleet_attestation *attested = &host->attested;
      const struct plan_host_state *state;

      if (strcmp (host->data_centre, plan->data_centre) != 0)
        continue;
      HASH_FIND_STR (plan->hosts, host->id, state);
      if ((state != NULL && state->is_fetch
           && (state->in_flight || now_ms < state->not_before_ms))
          || (fleet_host_is_present (host, now_ms)
              && attested->state == FLEET_ENGINE_LOADING
              && !history_has_weights (history, host, attested->model,
                                       attested->version)))
        count++;
    }
  return count;
}

static struct plan_order *
add_order (struct plan *plan,
           struct plan_steps *steps,
           struct plan_host_state *state,
           enum plan_op op,
           int64_t now_ms)
{
  struct plan_order *order;

  if (steps->order_count == steps->order_capacity)
    {
      size_t capacity = steps->order_capacity * 2 + 16;

      order = realloc (steps->orders, capacity * sizeof *order);
      if (order == NULL)
        return NULL;
      steps->orders = order;
      steps->order_capacity = capacity;
    }
  order = &steps->orders[steps->order_count++];
  memset (order, 0, sizeof *order);
  order->op = op;
  order->fence = plan->fence;
  memcpy (order->host, state->id, sizeof order->host);
  snprintf (order->order_id, sizeof order->order_id, "%s.%llu.%llu", plan->self,
            (unsigned long long)plan->fence,
            (unsigned long long)++plan->order_count);
  memcpy (state->order_id, order->order_id, sizeof state->order_id);
  state->op = op;
  state->in_flight = true;
  state->sent_ms = now_ms;
  return order;
}

static bool
attests_model_version (const struct fleet_group *group,
                       const struct fleet_attestation *attested)
{
  return strcmp (group->model, attested->model) == 0
         && strcmp (group->version, attested->version) == 0;
}

static bool
attests_position (const struct fleet_group *group,
                  unsigned rank,
                  const struct fleet_attestation *attested)
{
  return strcmp (group->id, attested->group) == 0 && attested->rank == rank
         && attested->span == group->span;
}

/*
 * True if every member runs this group in its present position under one
 * older generation: then the members are the same, and the adapters or role
 * can change without a load.
 */
static bool
are_members_unchanged (const struct fleet *fleet,
                       const struct fleet_group *group,
                       int64_t now_ms)
{
  uint64_t generation = 0;

  for (unsigned rank = 0; rank < group->member_count; rank++)
    {
      const struct fleet_host *host
          = fleet_find_host (fleet, group->members[rank]);

      if (host == NULL || !fleet_host_is_present (host, now_ms)
          || !attests_position (group, rank, &host->attested)
          || !attests_model_version (group, &host->attested)
          || host->attested.state != FLEET_ENGINE_READY
          || host->attested.generation >= group->generation
          || (rank > 0 && host->attested.generation != generation))
        return false;
      generation = host->attested.generation;
    }
  return true;
}

/* Sets the order that the member needs and why; false if it needs none. */
static bool
needs_order (const struct fleet_group *group,
             unsigned rank,
             const struct fleet_attestation *attested,
             bool unchanged,
             enum plan_op *op,
             const char **reason)
{
  bool adapters = strcmp (group->adapters, attested->adapters) != 0;
  bool role
      = group->role[0] != '\0' && strcmp (group->role, attested->role) != 0;

  *op = PLAN_LOAD;
  if (!unchanged)
    {
      *reason = "it runs another group, generation or rank";
      if (!attests_position (group, rank, attested)
          || attested->generation != group->generation)
        return true;
      if (attested->state == FLEET_ENGINE_LOADING)
        return false;
      *reason = "it is in the group but not loaded";
      if (attested->state != FLEET_ENGINE_READY)
        return true;
      *reason = "it runs another model or version";
      if (!attests_model_version (group, attested))
        return true;
    }
  if (adapters && !role)
    {
      *op = PLAN_ADAPTERS;
      *reason = "its adapters change";
      return true;
    }
  if (role && !adapters)
    {
      *op = PLAN_ROLE;
      *reason = "its role changes";
      return true;
    }
  *reason = "its contents change";
  return unchanged || adapters;
}

/* Inputs and outputs of the orders of one tick. */
struct order_round
{
  struct plan *plan;
  const struct fleet *fleet;
  const struct history *history;
  struct plan_steps *steps;
  int64_t now_ms;
  unsigned fetch_count; /* loads in progress that fetch weights */
};

static enum result
order_member (struct order_round *round,
              const struct fleet_group *group,
              unsigned rank,
              bool unchanged)
{
  const struct fleet_host *host
      = fleet_find_host (round->fleet, group->members[rank]);
  struct plan_host_state *state
      = get_or_add_host_state (round->plan, group->members[rank]);
  struct plan_order *order;
  const char *reason;
  enum plan_op op;
  bool is_fetch;

  if (state == NULL)
    return RESULT_NO_MEMORY;
  state->assigned = true;
  if (host == NULL || group->draining || fleet_host_is_leaving (host)
      || !can_order (round->plan, state, host, round->now_ms)
      || !needs_order (group, rank, &host->attested, unchanged, &op, &reason))
    return RESULT_OK;
  /*
   * Other orders than loads rely on what the host attested.  An engine that
   * checks the fencing token executes earlier orders until it sees a new one.
   */
  if (state->was_order_lost)
    op = PLAN_LOAD;
  if (op != PLAN_LOAD
      && !are_earlier_orders_over (round->plan, host, round->now_ms))
    return RESULT_OK;
  is_fetch = op == PLAN_LOAD
             && !history_has_weights (round->history, host, group->model,
                                      group->version);
  if (is_fetch && round->fetch_count >= round->plan->settings.load_limit)
    return RESULT_OK;
  order = add_order (round->plan, round->steps, state, op, round->now_ms);
  if (order == NULL)
    return RESULT_NO_MEMORY;
  state->is_fetch = is_fetch;
  round->fetch_count += is_fetch ? 1 : 0;
  order->group = *group;
  memset (&order->group.hh, 0, sizeof order->group.hh);
  order->rank = rank;
  snprintf (order->reason, sizeof order->reason, "%s", reason);
  return RESULT_OK;
}

static enum result
order_group (struct order_round *round, const struct fleet_group *group)
{
  bool unchanged = are_members_unchanged (round->fleet, group, round->now_ms);
  enum result result = RESULT_OK;

  for (unsigned rank = 0; rank < group->member_count && result == RESULT_OK;
       rank++)
    result = order_member (round, group, rank, unchanged);
  return result;
}

/* Orders a host that belongs to no group to stop what it runs. */
static enum result
order_release (struct order_round *round, const struct fleet_host *host)
{
  struct plan_host_state *state = get_or_add_host_state (round->plan, host->id);
  struct plan_order *order;

  if (state == NULL)
    return RESULT_NO_MEMORY;
  if (state->assigned || host->attested.group[0] == '\0'
      || host->attested.leaving
      || !can_order (round->plan, state, host, round->now_ms))
    return RESULT_OK;
  order = add_order (round->plan, round->steps, state, PLAN_RELEASE,
                     round->now_ms);
  if (order == NULL)
    return RESULT_NO_MEMORY;
  state->is_fetch = false;
  memcpy (order->group.id, host->attested.group, sizeof order->group.id);
  order->group.generation = host->attested.generation;
  order->group.span = host->attested.span;
  order->rank = host->attested.rank;
  snprintf (order->reason, sizeof order->reason, "it belongs to no group");
  return RESULT_OK;
}

/* A model version that groups of one fabric domain run. */
struct model_use
{
  const struct fleet_group *group; /* any group that runs it */
  unsigned member_count;           /* members of all groups that run it */
  unsigned spare_count; /* spares that have the weights or load them */
};

/* Spares do not prefetch further model versions of the domain. */
#define MODEL_VERSIONS_PER_DOMAIN_MAX 16

static bool
is_same_model_version (const struct fleet_group *a, const struct fleet_group *b)
{
  return strcmp (a->model, b->model) == 0
         && strcmp (a->version, b->version) == 0;
}

static size_t
list_models_in_use (const struct placement *wanted,
                    const char *domain,
                    struct model_use *uses)
{
  size_t count = 0;

  for (size_t i = 0; i < wanted->group_count; i++)
    {
      const struct fleet_group *group = &wanted->groups[i];
      size_t index = 0;

      if (strcmp (group->domain, domain) != 0)
        continue;
      while (index < count && !is_same_model_version (uses[index].group, group))
        index++;
      if (index == MODEL_VERSIONS_PER_DOMAIN_MAX)
        continue;
      if (index == count)
        uses[count++] = (struct model_use){ .group = group };
      uses[index].member_count += group->member_count;
    }
  return count;
}

/* True if the host is in no assigned or wanted group and may join one. */
static bool
is_spare (const struct order_round *round, const struct fleet_host *host)
{
  const struct plan_host_state *state;

  if (host->is_service || !host->listed || fleet_host_is_leaving (host)
      || strcmp (host->data_centre, round->plan->data_centre) != 0
      || !fleet_host_is_present (host, round->now_ms)
      || host->attested.group[0] != '\0'
      || history_host_is_held (round->history, host->id, round->now_ms))
    return false;
  HASH_FIND_STR (round->plan->hosts, host->id, state);
  return state != NULL && !state->assigned;
}

/*
 * True if the spare has the weights or loads them.  A load that was ordered
 * and is not attested yet is not counted here: the spare gets no other order,
 * since can_order is false, and the count of its model version is one too low.
 */
static bool
has_or_loads_weights (const struct order_round *round,
                      const struct fleet_host *host,
                      const struct fleet_group *group)
{
  return history_has_weights (round->history, host, group->model,
                              group->version)
         || (host->attested.state == FLEET_ENGINE_LOADING
             && attests_model_version (group, &host->attested));
}

static void
count_spares_with_weights (const struct order_round *round,
                           const char *domain,
                           struct model_use *uses,
                           size_t count)
{
  const struct fleet_host *host;

  for (host = round->fleet->hosts; host != NULL; host = host->hh.next)
    if (strcmp (host->domain, domain) == 0 && is_spare (round, host))
      for (size_t i = 0; i < count; i++)
        if (has_or_loads_weights (round, host, uses[i].group))
          uses[i].spare_count++;
}

/*
 * Chooses the model version that the spare is to load: the one with the fewest
 * spares per member.  NULL if the spare has a version that the domain needs.  A
 * spare is never ordered from one needed version to another, so that spares
 * keep their weights when the lease changes its holder.
 */
static struct model_use *
choose_model_to_prefetch (const struct order_round *round,
                          const struct fleet_host *host,
                          struct model_use *uses,
                          size_t count)
{
  struct model_use *best = NULL;

  for (size_t i = 0; i < count; i++)
    {
      if (has_or_loads_weights (round, host, uses[i].group))
        return NULL;
      if (best == NULL
          || (uint64_t)uses[i].member_count * (best->spare_count + 1)
                 > (uint64_t)best->member_count * (uses[i].spare_count + 1))
        best = &uses[i];
    }
  return best;
}

static enum result
order_prefetch (struct order_round *round,
                struct plan_host_state *state,
                const struct fleet_group *group)
{
  struct plan_order *order
      = add_order (round->plan, round->steps, state, PLAN_LOAD, round->now_ms);

  if (order == NULL)
    return RESULT_NO_MEMORY;
  state->is_fetch = true;
  round->fetch_count++;
  memcpy (order->group.model, group->model, sizeof order->group.model);
  memcpy (order->group.version, group->version, sizeof order->group.version);
  memcpy (order->group.adapters, group->adapters, sizeof order->group.adapters);
  snprintf (order->reason, sizeof order->reason,
            "it is a spare without weights that %.40s uses", group->domain);
  return RESULT_OK;
}

/* True if a spare may load now without delaying the load of a member. */
static bool
can_prefetch (const struct order_round *round)
{
  const struct plan_settings *settings = &round->plan->settings;

  return round->fetch_count < settings->prefetch_limit
         && round->fetch_count + 1 < settings->load_limit;
}

static enum result
prefetch_domain (struct order_round *round,
                 const struct placement *wanted,
                 const char *domain)
{
  struct model_use uses[MODEL_VERSIONS_PER_DOMAIN_MAX];
  size_t count = list_models_in_use (wanted, domain, uses);
  const struct fleet_host *host;
  enum result result = RESULT_OK;

  count_spares_with_weights (round, domain, uses, count);
  for (host = round->fleet->hosts;
       host != NULL && result == RESULT_OK && count > 0 && can_prefetch (round);
       host = host->hh.next)
    {
      struct model_use *chosen;
      struct plan_host_state *state;

      if (strcmp (host->domain, domain) != 0 || !is_spare (round, host)
          || host->attested.state != FLEET_ENGINE_IDLE)
        continue;
      HASH_FIND_STR (round->plan->hosts, host->id, state);
      chosen = choose_model_to_prefetch (round, host, uses, count);
      if (state == NULL || chosen == NULL
          || !can_order (round->plan, state, host, round->now_ms))
        continue;
      result = order_prefetch (round, state, chosen->group);
      chosen->spare_count++;
    }
  return result;
}

/*
 * Prefetches weights on spares, for the domains in the order of their most
 * urgent group.  The wanted groups may be written next, so their members do not
 * count as spares either.
 */
static enum result
prefetch_weights (struct order_round *round, const struct placement *wanted)
{
  enum result result = RESULT_OK;

  if (!can_prefetch (round))
    return RESULT_OK;
  for (size_t i = 0; i < wanted->group_count; i++)
    for (unsigned rank = 0; rank < wanted->groups[i].member_count; rank++)
      {
        struct plan_host_state *state = get_or_add_host_state (
            round->plan, wanted->groups[i].members[rank]);

        if (state == NULL)
          return RESULT_NO_MEMORY;
        state->assigned = true;
      }
  for (size_t i = 0;
       i < wanted->group_count && result == RESULT_OK && can_prefetch (round);
       i++)
    {
      const char *domain = wanted->groups[i].domain;
      bool done = false;

      for (size_t j = 0; j < i && !done; j++)
        done = strcmp (wanted->groups[j].domain, domain) == 0;
      if (!done)
        result = prefetch_domain (round, wanted, domain);
    }
  return result;
}

/* Adds the orders for the written assignment, the most urgent group first. */
static enum result
order_hosts (struct order_round *round, const struct placement *wanted)
{
  const struct plan *plan = round->plan;
  const struct fleet_group *group;
  const struct fleet_host *host;
  enum result result = RESULT_OK;

  for (size_t i = 0; i < wanted->group_count && result == RESULT_OK; i++)
    {
      group = fleet_find_group (round->fleet, wanted->groups[i].id);
      if (group != NULL)
        result = order_group (round, group);
    }
  /* Groups that are to be dissolved are in the assignment only.  Their members
     get no orders, but must not count as free. */
  for (group = round->fleet->groups; group != NULL && result == RESULT_OK;
       group = group->hh.next)
    for (unsigned rank = 0; rank < group->member_count; rank++)
      {
        struct plan_host_state *state
            = get_or_add_host_state (round->plan, group->members[rank]);

        if (state == NULL)
          result = RESULT_NO_MEMORY;
        else
          state->assigned = true;
      }
  for (host = round->fleet->hosts; host != NULL && result == RESULT_OK;
       host = host->hh.next)
    if (!host->is_service && strcmp (host->data_centre, plan->data_centre) == 0)
      result = order_release (round, host);
  if (result == RESULT_OK)
    result = prefetch_weights (round, wanted);
  return result;
}

static bool
can_write (const struct plan *plan, int64_t now_ms)
{
  return now_ms >= plan->write_not_before_ms;
}

enum result
plan_compute_steps (struct plan *plan,
                    const struct lease *lease,
                    const struct fleet *fleet,
                    const struct placement *wanted,
                    const struct history *history,
                    int64_t now_ms,
                    struct plan_steps *steps)
{
  struct order_round round = { .plan = plan,
                               .fleet = fleet,
                               .history = history,
                               .steps = steps,
                               .now_ms = now_ms };

  clear_steps (steps);
  if (!lease_may_act (lease, now_ms))
    return RESULT_OK;
  if (lease_fence (lease) != plan->fence)
    start_lease_term (plan, lease_fence (lease), now_ms);
  expire_orders (plan, now_ms);
  if (plan->write_in_flight || plan->read_in_flight)
    return RESULT_OK;
  if (plan->assignment_stale || fleet->assignment_fence > plan->fence)
    {
      if (!can_write (plan, now_ms))
        return RESULT_OK;
      steps->read_assignment = true;
      plan->read_in_flight = true;
      return RESULT_OK;
    }
  if (fleet->assignment_fence < plan->fence)
    return can_write (plan, now_ms) ? prepare_fence_stamp (plan, fleet, steps)
                                    : RESULT_OK;
  if (wanted->changed && wanted->assignment_number == fleet->assignment_number
      && can_write (plan, now_ms))
    return prepare_wanted_write (plan, fleet, wanted, steps);
  round.fetch_count = count_fetches (plan, fleet, history, now_ms);
  return order_hosts (&round, wanted);
}

void
plan_on_write (struct plan *plan, enum result result, int64_t now_ms)
{
  plan->write_in_flight = false;
  switch (result)
    {
    case RESULT_OK:
      break;
    case RESULT_PLATFORM_UNREACHABLE:
    case RESULT_PLATFORM_OVERLOADED:
    case RESULT_PLATFORM_OUTAGE:
      plan->write_not_before_ms = now_ms + plan->settings.retry_delay_ms;
      break;
    default:
      plan->assignment_stale = true;
      break;
    }
}

void
plan_on_read (struct plan *plan, enum result result, int64_t now_ms)
{
  plan->read_in_flight = false;
  if (result == RESULT_OK || result == RESULT_PLATFORM_UNCHANGED
      || result == RESULT_PLATFORM_NOT_FOUND)
    plan->assignment_stale = false;
  else
    plan->write_not_before_ms = now_ms + plan->settings.retry_delay_ms;
}

/* Delays the next order to a host that refused one. */
static void
delay_after_refusal (struct plan *plan,
                     struct plan_host_state *host,
                     int64_t now_ms)
{
  int64_t wait_ms = plan->settings.retry_delay_ms;

  for (unsigned i = 0; i < host->refusal_count; i++)
    if (wait_ms < plan->settings.retry_delay_limit_ms)
      wait_ms *= 2;
  if (wait_ms > plan->settings.retry_delay_limit_ms)
    wait_ms = plan->settings.retry_delay_limit_ms;
  host->refusal_count++;
  host->is_fetch = false;
  host->not_before_ms = now_ms + wait_ms;
  host->attested_after_ms = now_ms;
}

void
plan_on_order (struct plan *plan,
               const char *host_id,
               const char *order_id,
               enum result result,
               int64_t now_ms)
{
  struct plan_host_state *host;

  HASH_FIND_STR (plan->hosts, host_id, host);
  if (host == NULL || !host->in_flight
      || strcmp (host->order_id, order_id) != 0)
    return; /* sent under an earlier lease, or already counted as lost */
  switch (result)
    {
    case RESULT_OK:
      host->in_flight = false;
      host->refusal_count = 0;
      host->not_before_ms = now_ms + plan->settings.attestation_wait_ms;
      host->attested_after_ms = now_ms;
      break;
    case RESULT_ORDER_FENCED:
      /* The engine has seen a higher fencing token: another candidate holds
         the lease. */
      host->in_flight = false;
      plan->assignment_stale = true;
      delay_after_refusal (plan, host, now_ms);
      break;
    case RESULT_ORDER_FAILED:
    case RESULT_ENDPOINT_CONNECT:
      host->in_flight = false;
      delay_after_refusal (plan, host, now_ms);
      break;
    default:
      mark_order_lost (plan, host);
      break;
    }
}
