#include "formation-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Minimum spares of a domain, as a fraction of its group members.  No group is
 * formed that would leave fewer: with a spare, a failed member is replaced in
 * the time of a warm join instead of a load.  The number is rounded down, since
 * forming a small group is better than keeping its endpoints as spares.
 */
#define SPARE_FRACTION 0.1
/*
 * Before the first request a load takes a tenth of its normal time.  Until then
 * the limit of concurrent loads (concurrent_loads of the service, which the
 * weight store runs at full speed) is multiplied by this factor, so that the
 * store is never idle between two groups.
 */
#define STARTUP_LOAD_FACTOR 4
/*
 * Before the first request no group is formed while endpoints still appear.
 * Formation starts once no new endpoint appeared for STARTUP_QUIET_MS, or
 * STARTUP_LIMIT_MS after the lease was acquired.
 */
#define STARTUP_QUIET_MS 250
#define STARTUP_LIMIT_MS 2500
/* Weight of a spare relative to an endpoint that helps to complete a group. */
#define SPARE_WEIGHT 4.0
/* Loads that may start at once; the store allows a burst of 3 over its rate. */
#define LOAD_BURST 2.0
#define LOAD_RATE_MARGIN 0.8 /* fraction of the store's rate that is used */
/* A prefetch order that had no effect is sent again after this time. */
#define PREFETCH_RETRY_MS 3000
/* Concurrent loads may slow a load down to this many times its nominal time. */
#define LOAD_TIME_FACTOR 3

/* Members chosen for a new group. */
struct member_choice
{
  unsigned picked[FORMATION_SIZE_LIMIT]; /* indices into the pool */
  unsigned cold_count; /* members that need a load from the weight store */
  unsigned cost;       /* sum of the members' enum formation_join_cost */
  unsigned affinity;   /* see rate_domain_affinity */
  bool found;
};

enum formation_join_cost
formation_join_cost (const struct endpoint *endpoint, const char *model)
{
  if (strcmp (endpoint->report.model, model) == 0)
    return JOIN_HOT;
  return endpoint_has_cached_model (endpoint, model) ? JOIN_WARM : JOIN_COLD;
}

static void
collect_free_endpoints (const struct formation_run *run,
                        const struct catalog_service *service,
                        struct formation_pool *pool)
{
  pool->count = 0;
  pool->usable = 0;
  for (struct endpoint *endpoint = run->endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      struct formation_member *member;

      if (strcmp (endpoint->report.service, service->name) != 0
          || !formation_is_managed (run, endpoint)
          || !formation_is_usable (run, endpoint) || endpoint->deleted_ms != 0)
        continue;
      pool->usable++;
      member = formation_get_member (run->formation, endpoint);
      if (member == NULL || member->group != NULL
          || member->excluded_until_ms > run->now_ms
          || pool->count == FORMATION_POOL_LIMIT
          || !formation_try_release (run, member, endpoint))
        continue;
      pool->endpoints[pool->count] = endpoint;
      pool->members[pool->count] = member;
      pool->used[pool->count] = false;
      pool->count++;
    }
}

static bool
is_free_in_domain (const struct formation_pool *pool,
                   unsigned index,
                   const char *domain)
{
  return !pool->used[index]
         && strcmp (pool->endpoints[index]->report.domain, domain) == 0;
}

static unsigned
count_free_in_domain (const struct formation_pool *pool, const char *domain)
{
  unsigned count = 0;

  for (unsigned i = 0; i < pool->count; i++)
    count += is_free_in_domain (pool, i, domain) ? 1 : 0;
  return count;
}

/* Chooses the free endpoints of the domain that join the model fastest. */
static struct member_choice
choose_members (const struct formation_pool *pool,
                const struct catalog_model *model,
                const char *domain)
{
  struct member_choice choice = { .found = false };
  unsigned picked = 0;

  if (model->size > FORMATION_SIZE_LIMIT)
    return choice;
  for (int cost = JOIN_HOT; cost <= JOIN_COLD; cost++)
    for (unsigned i = 0; i < pool->count && picked < model->size; i++)
      if (is_free_in_domain (pool, i, domain)
          && (int)formation_join_cost (pool->endpoints[i], model->name) == cost)
        {
          choice.picked[picked++] = i;
          choice.cost += (unsigned)cost;
          choice.cold_count += cost == JOIN_COLD ? 1 : 0;
        }
  choice.found = picked == model->size;
  return choice;
}

/* Counts groups of the model that serve or are being opened. */
static unsigned
count_groups_of_model (const struct formation_run *run,
                       const struct catalog_service *service,
                       const struct catalog_model *model)
{
  const struct formation_group *group;
  unsigned count = 0;

  TAILQ_FOREACH (group, &run->formation->groups, link)
    if (group->phase <= FORMATION_SERVING
        && strcmp (group->service, service->name) == 0
        && strcmp (group->model, model->name) == 0)
      count++;
  return count;
}

/* Number of groups that gives the model its share of the endpoints. */
static double
compute_wanted_groups (const struct formation_pool *pool,
                       const struct catalog_model *model)
{
  return model->share * pool->usable / model->size;
}

static unsigned
count_running_loads (const struct formation_run *run)
{
  unsigned count = 0;

  for (const struct formation_member *member = run->formation->members;
       member != NULL; member = member->hh.next)
    if (member->load_counted_until_ms > run->now_ms)
      {
        const struct endpoint *endpoint
            = endpoints_find (run->endpoints, member->id);

        if (endpoint != NULL
            && (member->loading_model == NULL
                || !endpoint_has_cached_model (endpoint,
                                               member->loading_model)))
          count++;
      }
  return count;
}

/* True if count more loads may start now. */
static bool
can_start_loads (const struct formation_run *run,
                 const struct catalog_service *service,
                 unsigned count)
{
  const struct formation *formation = run->formation;
  unsigned store_users = formation->settings.data_centres;
  unsigned limit
      = service->concurrent_loads / (store_users > 0 ? store_users : 1);

  if (count == 0)
    return true;
  if (limit == 0)
    limit = 1;
  /* With no load running, a whole group may load, whatever its size. */
  if (!formation->has_traffic)
    return count_running_loads (run) == 0
           || count_running_loads (run) + count <= STARTUP_LOAD_FACTOR * limit;
  return count_running_loads (run) + count <= limit
         && formation->load_tokens >= count;
}

static void
record_load (const struct formation_run *run,
             struct formation_member *member,
             const struct catalog_model *model)
{
  member->load_counted_until_ms
      = run->now_ms + LOAD_TIME_FACTOR * model->load_ms;
  free (member->loading_model);
  member->loading_model = strdup (model->name);
  if (run->formation->has_traffic)
    run->formation->load_tokens -= 1;
}

uint64_t
formation_name_next_group (struct formation *formation,
                           const char *suffix,
                           struct text_pool *texts,
                           const char **name)
{
  formation->formed_count++;
  *name = text_pool_format (
      texts, "%s-%llu-%llu%s", formation->settings.data_centre,
      (unsigned long long)formation->fence,
      (unsigned long long)formation->formed_count, suffix);
  return (formation->fence << FORMATION_EPOCH_SHIFT) | formation->formed_count;
}

static void
form_group (const struct formation_run *run,
            const struct catalog_service *service,
            const struct catalog_model *model,
            struct formation_pool *pool,
            const struct member_choice *choice)
{
  struct formation *formation = run->formation;
  struct formation_group *group = formation_new_group ();

  if (group == NULL)
    return;
  group->epoch
      = formation_name_next_group (formation, "", &group->texts, &group->name);
  group->size = model->size;
  group->service = text_pool_add (&group->texts, service->name);
  group->model = text_pool_add (&group->texts, model->name);
  group->domain = text_pool_add (
      &group->texts, pool->endpoints[choice->picked[0]]->report.domain);
  for (unsigned rank = 0; rank < model->size; rank++)
    group->members[rank] = text_pool_add (
        &group->texts, pool->endpoints[choice->picked[rank]]->id);
  if (group->texts.failed)
    {
      formation_free_group (group);
      return;
    }
  TAILQ_INSERT_TAIL (&formation->groups, group, link);
  formation_set_phase (run, group, FORMATION_JOINING, "formed");
  for (unsigned rank = 0; rank < model->size; rank++)
    {
      unsigned index = choice->picked[rank];
      struct formation_member *member = pool->members[index];

      if (formation_join_cost (pool->endpoints[index], model->name) == JOIN_COLD
          && !formation_is_loading (member, model->name))
        record_load (run, member, model);
      pool->used[index] = true;
      member->group = group;
      member->joined_ms = run->now_ms;
      member->join_tries = 1;
      formation_join_member (run, group, member, pool->endpoints[index],
                             "formed");
    }
}

/* Counts members of groups in the domain; model NULL counts all models. */
static unsigned
count_grouped_in_domain (const struct formation_run *run,
                         const struct catalog_model *model,
                         const char *domain)
{
  const struct formation_group *group;
  unsigned count = 0;

  TAILQ_FOREACH (group, &run->formation->groups, link)
    if (group->phase <= FORMATION_SERVING
        && (model == NULL || strcmp (group->model, model->name) == 0)
        && strcmp (group->domain, domain) == 0)
      count += group->size;
  return count;
}

/*
 * Rates how well the domain suits the model; higher is better.  A spare can
 * replace a member of any group of its model in the domain, so a domain with a
 * single model loses the fewest groups.
 */
static unsigned
rate_domain_affinity (const struct formation_run *run,
                      const struct catalog_model *model,
                      const char *domain)
{
  if (count_grouped_in_domain (run, model, domain) > 0)
    return 2;
  return count_grouped_in_domain (run, NULL, domain) == 0 ? 1 : 0;
}

static bool
has_spares_left (const struct formation_run *run,
                 const struct formation_pool *pool,
                 const struct catalog_model *model,
                 const char *domain)
{
  unsigned grouped = count_grouped_in_domain (run, NULL, domain);
  unsigned left = count_free_in_domain (pool, domain) - model->size;

  return left >= (unsigned)(SPARE_FRACTION * grouped);
}

static bool
is_better_choice (const struct member_choice *choice,
                  const struct member_choice *best)
{
  if (!best->found)
    return true;
  if (choice->cold_count != best->cold_count)
    return choice->cold_count < best->cold_count;
  if (choice->affinity != best->affinity)
    return choice->affinity > best->affinity;
  return choice->cost < best->cost;
}

/*
 * Forms one group of the model in the best domain.  Once there is traffic only
 * endpoints that have the weights are used: one that has to load them would
 * delay the others, which could serve.
 */
static bool
form_group_of_model (const struct formation_run *run,
                     const struct catalog_service *service,
                     const struct catalog_model *model,
                     struct formation_pool *pool)
{
  struct member_choice best = { .found = false };

  for (unsigned i = 0; i < pool->count; i++)
    {
      const char *domain = pool->endpoints[i]->report.domain;
      struct member_choice choice;

      if (pool->used[i])
        continue;
      choice = choose_members (pool, model, domain);
      if (!choice.found
          || (run->formation->has_traffic && choice.cold_count > 0)
          || !has_spares_left (run, pool, model, domain))
        continue;
      choice.affinity = rate_domain_affinity (run, model, domain);
      if (is_better_choice (&choice, &best))
        best = choice;
    }
  if (!best.found || !can_start_loads (run, service, best.cold_count))
    return false;
  form_group (run, service, model, pool, &best);
  return true;
}

/* Finds the untried model that has the smallest fraction of its share. */
static int
find_most_underserved_model (const struct formation_run *run,
                             const struct catalog_service *service,
                             const struct formation_pool *pool,
                             const bool *tried,
                             double *share_filled)
{
  int most_underserved = -1;

  for (unsigned m = 0; m < service->model_count; m++)
    {
      const struct catalog_model *model = &service->models[m];
      double wanted = compute_wanted_groups (pool, model);
      double filled = wanted > 0
                          ? count_groups_of_model (run, service, model) / wanted
                          : 1;

      if (tried[m] || (most_underserved >= 0 && filled >= *share_filled))
        continue;
      most_underserved = (int)m;
      *share_filled = filled;
    }
  return most_underserved;
}

/* Forms groups; false if a due group has to wait for running loads. */
static bool
form_groups (const struct formation_run *run,
             const struct catalog_service *service,
             struct formation_pool *pool)
{
  size_t tried_size = service->model_count * sizeof (bool);
  bool *tried = calloc (service->model_count, sizeof *tried);
  double share_filled = 0;
  bool is_complete = false;
  int index;

  if (tried == NULL)
    return false;
  while ((index = find_most_underserved_model (run, service, pool, tried,
                                               &share_filled))
         >= 0)
    {
      const struct catalog_model *model = &service->models[index];

      tried[index] = true;
      if (form_group_of_model (run, service, model, pool))
        memset (tried, 0, tried_size);
      else if (!run->formation->has_traffic && share_filled < 1
               && count_running_loads (run) > 0)
        /* Loads are fast during startup, so the due model waits for them. */
        goto out;
    }
  is_complete = true;

out:
  free (tried);
  return is_complete;
}

/* Counts free endpoints of the domain that have or load the model's weights. */
static unsigned
count_free_with_weights (const struct formation_pool *pool,
                         const char *domain,
                         const char *model)
{
  unsigned count = 0;

  for (unsigned i = 0; i < pool->count; i++)
    if (is_free_in_domain (pool, i, domain)
        && (formation_join_cost (pool->endpoints[i], model) != JOIN_COLD
            || formation_is_loading (pool->members[i], model)))
      count++;
  return count;
}

/*
 * Value of one more endpoint with the model's weights in the domain: highest
 * if it completes a missing group of the model, next if the model's groups in
 * the domain have no spare.
 */
static double
compute_prefetch_value (const struct formation_run *run,
                        const struct catalog_service *service,
                        const struct catalog_model *model,
                        const struct formation_pool *pool,
                        const char *domain)
{
  unsigned spare_count = count_free_with_weights (pool, domain, model->name);
  unsigned member_count = count_grouped_in_domain (run, model, domain);
  double missing_groups = compute_wanted_groups (pool, model)
                          - count_groups_of_model (run, service, model);
  unsigned missing_spares = model->size - spare_count % model->size;
  double value = 0;

  if (missing_groups > 0.5)
    value += 2.0 * missing_groups / missing_spares;
  /* Without a spare, one failed member stops its whole group. */
  value += SPARE_WEIGHT * (member_count + 0.5) * model->size
           / (1.0 + spare_count) / (pool->usable + 1);
  return value;
}

static bool
has_any_weights (const struct catalog_service *service,
                 const struct endpoint *endpoint)
{
  for (unsigned m = 0; m < service->model_count; m++)
    if (formation_join_cost (endpoint, service->models[m].name) != JOIN_COLD)
      return true;
  return false;
}

static void
prefetch_for_spare (const struct formation_run *run,
                    const struct catalog_service *service,
                    struct formation_pool *pool,
                    unsigned index)
{
  struct endpoint *endpoint = pool->endpoints[index];
  struct formation_member *member = pool->members[index];
  const struct catalog_model *best = NULL;
  double best_value = 0;

  for (unsigned m = 0; m < service->model_count; m++)
    {
      const struct catalog_model *model = &service->models[m];
      double value = compute_prefetch_value (run, service, model, pool,
                                             endpoint->report.domain);

      if (best == NULL || value > best_value)
        {
          best = model;
          best_value = value;
        }
    }
  if (best == NULL
      || (member->loading_model == NULL && !can_start_loads (run, service, 1)))
    return;
  if (member->loading_model == NULL)
    record_load (run, member, best);
  if (member->loading_model == NULL)
    return;
  member->prefetch_ordered_ms = run->now_ms;
  run->hooks->order (run->hooks->context, &(struct formation_order){
                                              .op = FORMATION_PREFETCH,
                                              .endpoint = endpoint->id,
                                              .group = "",
                                              .model = member->loading_model,
                                              .reason = "spare without weights",
                                          });
}

/* Prefetches the model of highest value to each spare without weights. */
static void
prefetch_for_spares (const struct formation_run *run,
                     const struct catalog_service *service,
                     struct formation_pool *pool)
{
  for (unsigned i = 0; i < pool->count; i++)
    if (!pool->used[i] && !has_any_weights (service, pool->endpoints[i])
        && (pool->members[i]->prefetch_ordered_ms == 0
            || run->now_ms - pool->members[i]->prefetch_ordered_ms
                   >= PREFETCH_RETRY_MS))
      prefetch_for_spare (run, service, pool, i);
}

static void
refill_load_tokens (const struct formation_run *run,
                    const struct catalog_service *service)
{
  struct formation *formation = run->formation;
  double elapsed_s = (double)(run->now_ms - formation->refilled_ms) / 1000;
  unsigned store_users = formation->settings.data_centres;

  formation->load_tokens += elapsed_s * service->loads_per_s * LOAD_RATE_MARGIN
                            / (store_users > 0 ? store_users : 1);
  if (formation->load_tokens > LOAD_BURST)
    formation->load_tokens = LOAD_BURST;
  formation->refilled_ms = run->now_ms;
}

/*
 * Records the highest number of usable endpoints; false while more endpoints
 * are expected to appear before the first request.
 */
static bool
is_inventory_complete (const struct formation_run *run,
                       const struct formation_pool *pool)
{
  struct formation *formation = run->formation;

  if (pool->usable > formation->max_usable)
    {
      formation->max_usable = pool->usable;
      formation->max_usable_ms = run->now_ms;
    }
  return formation->has_traffic
         || run->now_ms - formation->max_usable_ms >= STARTUP_QUIET_MS
         || run->now_ms - formation->held_since_ms >= STARTUP_LIMIT_MS;
}

void
formation_form_groups (const struct formation_run *run)
{
  struct formation_pool *pool = malloc (sizeof *pool);

  if (pool == NULL)
    return;
  for (unsigned s = 0; s < run->catalog->service_count; s++)
    {
      const struct catalog_service *service = &run->catalog->services[s];

      if (service->model_count == 0)
        continue;
      refill_load_tokens (run, service);
      collect_free_endpoints (run, service, pool);
      if (is_inventory_complete (run, pool) && form_groups (run, service, pool))
        {
          prefetch_for_spares (run, service, pool);
          formation_activate_spares (run, service, pool);
        }
    }
  free (pool);
}
