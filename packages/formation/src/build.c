#include "formation-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Spares that a domain keeps for its groups before another group is formed, as
 * a part of their members: a lost member is then replaced in the time of a
 * warm join and not of a load.  Small groups are better formed than kept back.
 */
#define SPARE_PART 0.1
/*
 * Before the first request loads take a tenth of their time.  Then so many
 * times the loads that the weight store runs at full speed are kept going, so
 * that it never idles between two groups.
 */
#define STARTUP_LOADS 4
/*
 * Before the first request nothing is formed while endpoints still appear: it
 * takes this long without a new one, or the limit, to know the domains.
 */
#define STARTUP_QUIET_MS 250
#define STARTUP_LIMIT_MS 2500
/* Weight of a spare against an endpoint that helps to complete a group. */
#define SPARE_VALUE 4.0
/* Loads that begin at once: the weight store allows 3 besides its rate. */
#define LOAD_BURST 2.0
#define LOAD_RATE_MARGIN 0.8
/* A stage order without effect is sent again after this time. */
#define STAGE_RETRY_MS 3000
/* A load may take this many times its nominal time when others run. */
#define LOAD_SLACK 3

struct choice
{
  unsigned picked[FORMATION_SIZE_LIMIT]; /* indices into the pool */
  unsigned cold; /* members that need a load from the weight store */
  unsigned cost;
  unsigned affinity; /* see domain_affinity */
  bool found;
};

enum formation_join_cost
formation_join_cost (const struct endpoint *endpoint, const char *model)
{
  if (strcmp (endpoint->report.model, model) == 0)
    return JOIN_HOT;
  return endpoint_has_staged (endpoint, model) ? JOIN_WARM : JOIN_COLD;
}

static void
collect_free (const struct formation_run *run,
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
          || !formation_concerns (run, endpoint)
          || !formation_usable (run, endpoint) || endpoint->deleted_ms != 0)
        continue;
      pool->usable++;
      member = formation_member (run->formation, endpoint);
      if (member == NULL || member->group != NULL
          || member->hold_ms > run->now_ms
          || pool->count == FORMATION_FREE_LIMIT
          || !formation_release (run, member, endpoint))
        continue;
      pool->endpoints[pool->count] = endpoint;
      pool->members[pool->count] = member;
      pool->used[pool->count] = false;
      pool->count++;
    }
}

static bool
is_free_in (const struct formation_pool *pool,
            unsigned index,
            const char *domain)
{
  return !pool->used[index]
         && strcmp (pool->endpoints[index]->report.domain, domain) == 0;
}

static unsigned
free_in_domain (const struct formation_pool *pool, const char *domain)
{
  unsigned count = 0;

  for (unsigned i = 0; i < pool->count; i++)
    count += is_free_in (pool, i, domain) ? 1 : 0;
  return count;
}

/* The cheapest members in the domain for one group of the model. */
static struct choice
choose_members (const struct formation_pool *pool,
                const struct catalog_model *model,
                const char *domain)
{
  struct choice choice = { .found = false };
  unsigned picked = 0;

  if (model->size > FORMATION_SIZE_LIMIT)
    return choice;
  for (int cost = JOIN_HOT; cost <= JOIN_COLD; cost++)
    for (unsigned i = 0; i < pool->count && picked < model->size; i++)
      if (is_free_in (pool, i, domain)
          && (int)formation_join_cost (pool->endpoints[i], model->name) == cost)
        {
          choice.picked[picked++] = i;
          choice.cost += (unsigned)cost;
          choice.cold += cost == JOIN_COLD ? 1 : 0;
        }
  choice.found = picked == model->size;
  return choice;
}

/* Groups of the model that serve or are about to. */
static unsigned
groups_of_model (const struct formation_run *run,
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

/* The number of groups that gives the model its share of the endpoints. */
static double
wanted_groups (const struct formation_pool *pool,
               const struct catalog_model *model)
{
  return model->share * pool->usable / model->size;
}

static unsigned
loads_running (const struct formation_run *run)
{
  unsigned count = 0;

  for (const struct formation_member *member = run->formation->members;
       member != NULL; member = member->hh.next)
    if (member->loads_until_ms > run->now_ms)
      {
        const struct endpoint *endpoint
            = endpoints_find (run->endpoints, member->id);

        if (endpoint != NULL
            && !endpoint_has_staged (endpoint, member->staging))
          count++;
      }
  return count;
}

/* Whether so many more loads may begin now. */
static bool
loads_allowed (const struct formation_run *run,
               const struct catalog_service *service,
               unsigned count)
{
  const struct formation *formation = run->formation;
  unsigned parts = formation->settings.data_centres;
  unsigned limit = service->loads_at_once / (parts > 0 ? parts : 1);

  if (count == 0)
    return true;
  if (limit == 0)
    limit = 1;
  /* A whole group is loaded at once, whatever its size. */
  if (!formation->traffic)
    return loads_running (run) == 0
           || loads_running (run) + count <= STARTUP_LOADS * limit;
  return loads_running (run) + count <= limit
         && formation->load_tokens >= count;
}

static void
note_load (const struct formation_run *run,
           struct formation_member *member,
           const struct catalog_model *model)
{
  member->loads_until_ms = run->now_ms + LOAD_SLACK * model->load_ms;
  memcpy (member->staging, model->name, sizeof member->staging);
  if (run->formation->traffic)
    run->formation->load_tokens -= 1;
}

uint64_t
formation_next_group (struct formation *formation,
                      const char *suffix,
                      char *name,
                      size_t size)
{
  formation->formed++;
  snprintf (name, size, "%.40s-%llu-%llu%s", formation->settings.data_centre,
            (unsigned long long)formation->fence,
            (unsigned long long)formation->formed, suffix);
  return (formation->fence << FORMATION_EPOCH_SHIFT) | formation->formed;
}

static void
form (const struct formation_run *run,
      const struct catalog_service *service,
      const struct catalog_model *model,
      struct formation_pool *pool,
      const struct choice *choice)
{
  struct formation *formation = run->formation;
  struct formation_group *group = calloc (1, sizeof *group);

  if (group == NULL)
    return;
  group->epoch
      = formation_next_group (formation, "", group->name, sizeof group->name);
  group->size = model->size;
  memcpy (group->service, service->name, sizeof group->service);
  memcpy (group->model, model->name, sizeof group->model);
  memcpy (group->domain, pool->endpoints[choice->picked[0]]->report.domain,
          sizeof group->domain);
  TAILQ_INSERT_TAIL (&formation->groups, group, link);
  for (unsigned rank = 0; rank < model->size; rank++)
    memcpy (group->members[rank], pool->endpoints[choice->picked[rank]]->id,
            sizeof group->members[0]);
  formation_set_phase (run, group, FORMATION_JOINING, "formed");
  for (unsigned rank = 0; rank < model->size; rank++)
    {
      unsigned index = choice->picked[rank];
      struct formation_member *member = pool->members[index];

      if (formation_join_cost (pool->endpoints[index], model->name) == JOIN_COLD
          && strcmp (member->staging, model->name) != 0)
        note_load (run, member, model);
      pool->used[index] = true;
      member->group = group;
      member->joined_ms = run->now_ms;
      member->tries = 1;
      formation_order (run, group, FORMATION_JOIN, member->id, "formed");
    }
}

/* Members of groups in the domain, of one model or (NULL) of any. */
static unsigned
grouped_in_domain (const struct formation_run *run,
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
 * How well the domain suits the model: spares serve any group of their model
 * in the domain, so domains with one model lose the fewest groups.
 */
static unsigned
domain_affinity (const struct formation_run *run,
                 const struct catalog_model *model,
                 const char *domain)
{
  if (grouped_in_domain (run, model, domain) > 0)
    return 2;
  return grouped_in_domain (run, NULL, domain) == 0 ? 1 : 0;
}

static bool
leaves_spares (const struct formation_run *run,
               const struct formation_pool *pool,
               const struct catalog_model *model,
               const char *domain)
{
  unsigned grouped = grouped_in_domain (run, NULL, domain);
  unsigned left = free_in_domain (pool, domain) - model->size;

  return left >= (unsigned)(SPARE_PART * grouped);
}

static bool
is_better (const struct choice *choice, const struct choice *best)
{
  if (!best->found)
    return true;
  if (choice->cold != best->cold)
    return choice->cold < best->cold;
  if (choice->affinity != best->affinity)
    return choice->affinity > best->affinity;
  return choice->cost < best->cost;
}

/*
 * Forms one group of the model where that is best.  Once there is traffic only
 * of endpoints that have the weights: an endpoint that loads would hold up
 * those that could serve.
 */
static bool
form_one (const struct formation_run *run,
          const struct catalog_service *service,
          const struct catalog_model *model,
          struct formation_pool *pool)
{
  struct choice best = { .found = false };

  for (unsigned i = 0; i < pool->count; i++)
    {
      const char *domain = pool->endpoints[i]->report.domain;
      struct choice choice;

      if (pool->used[i])
        continue;
      choice = choose_members (pool, model, domain);
      if (!choice.found || (run->formation->traffic && choice.cold > 0)
          || !leaves_spares (run, pool, model, domain))
        continue;
      choice.affinity = domain_affinity (run, model, domain);
      if (is_better (&choice, &best))
        best = choice;
    }
  if (!best.found || !loads_allowed (run, service, best.cold))
    return false;
  form (run, service, model, pool, &best);
  return true;
}

/* The model that lacks the largest part of its share, of those not tried. */
static int
poorest_model (const struct formation_run *run,
               const struct catalog_service *service,
               const struct formation_pool *pool,
               const bool *tried,
               double *filled)
{
  int poorest = -1;

  for (unsigned m = 0; m < service->model_count; m++)
    {
      const struct catalog_model *model = &service->models[m];
      double wanted = wanted_groups (pool, model);
      double part
          = wanted > 0 ? groups_of_model (run, service, model) / wanted : 1;

      if (tried[m] || (poorest >= 0 && part >= *filled))
        continue;
      poorest = (int)m;
      *filled = part;
    }
  return poorest;
}

/* False if a group that is due has to wait for the loads that are running. */
static bool
form_groups (const struct formation_run *run,
             const struct catalog_service *service,
             struct formation_pool *pool)
{
  bool tried[CATALOG_MODEL_LIMIT] = { false };
  double filled = 0;
  int index;

  while ((index = poorest_model (run, service, pool, tried, &filled)) >= 0)
    {
      const struct catalog_model *model = &service->models[index];

      tried[index] = true;
      if (form_one (run, service, model, pool))
        memset (tried, 0, sizeof tried);
      else if (!run->formation->traffic && filled < 1
               && loads_running (run) > 0)
        /* At the start loads are quick: the model that is due waits. */
        return false;
    }
  return true;
}

/* Free endpoints of the domain that have the model's weights or get them. */
static unsigned
staged_free (const struct formation_pool *pool,
             const char *domain,
             const char *model)
{
  unsigned count = 0;

  for (unsigned i = 0; i < pool->count; i++)
    if (is_free_in (pool, i, domain)
        && (formation_join_cost (pool->endpoints[i], model) != JOIN_COLD
            || strcmp (pool->members[i]->staging, model) == 0))
      count++;
  return count;
}

/*
 * How much one more endpoint with the model's weights is worth in the domain:
 * most if it completes a group that the model lacks, then if groups of the
 * model have no spare there.
 */
static double
stage_value (const struct formation_run *run,
             const struct catalog_service *service,
             const struct catalog_model *model,
             const struct formation_pool *pool,
             const char *domain)
{
  unsigned have = staged_free (pool, domain, model->name);
  unsigned members = grouped_in_domain (run, model, domain);
  double lacking
      = wanted_groups (pool, model) - groups_of_model (run, service, model);
  unsigned missing = model->size - have % model->size;
  double value = 0;

  if (lacking > 0.5)
    value += 2.0 * lacking / missing;
  /* A member lost without a spare stops all members of its group. */
  value += SPARE_VALUE * (members + 0.5) * model->size / (1.0 + have)
           / (pool->usable + 1);
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
stage_one (const struct formation_run *run,
           const struct catalog_service *service,
           struct formation_pool *pool,
           unsigned index)
{
  struct endpoint *endpoint = pool->endpoints[index];
  struct formation_member *member = pool->members[index];
  const struct catalog_model *best = NULL;
  double most = 0;

  for (unsigned m = 0; m < service->model_count; m++)
    {
      const struct catalog_model *model = &service->models[m];
      double value
          = stage_value (run, service, model, pool, endpoint->report.domain);

      if (best == NULL || value > most)
        {
          best = model;
          most = value;
        }
    }
  if (best == NULL
      || (member->staging[0] == '\0' && !loads_allowed (run, service, 1)))
    return;
  if (member->staging[0] == '\0')
    note_load (run, member, best);
  member->staged_ms = run->now_ms;
  run->hooks->order (run->hooks->context, &(struct formation_order){
                                              .op = FORMATION_STAGE,
                                              .endpoint = endpoint->id,
                                              .group = "",
                                              .model = member->staging,
                                              .reason = "spare without weights",
                                          });
}

/* Spares without weights get those that are worth most where they stand. */
static void
stage_spares (const struct formation_run *run,
              const struct catalog_service *service,
              struct formation_pool *pool)
{
  for (unsigned i = 0; i < pool->count; i++)
    if (!pool->used[i] && !has_any_weights (service, pool->endpoints[i])
        && (pool->members[i]->staged_ms == 0
            || run->now_ms - pool->members[i]->staged_ms >= STAGE_RETRY_MS))
      stage_one (run, service, pool, i);
}

static void
refill_loads (const struct formation_run *run,
              const struct catalog_service *service)
{
  struct formation *formation = run->formation;
  double elapsed_s = (double)(run->now_ms - formation->refilled_ms) / 1000;
  unsigned parts = formation->settings.data_centres;

  formation->load_tokens += elapsed_s * service->loads_per_s * LOAD_RATE_MARGIN
                            / (parts > 0 ? parts : 1);
  if (formation->load_tokens > LOAD_BURST)
    formation->load_tokens = LOAD_BURST;
  formation->refilled_ms = run->now_ms;
}

static bool
knows_endpoints (const struct formation_run *run,
                 const struct formation_pool *pool)
{
  struct formation *formation = run->formation;

  if (pool->usable > formation->most_usable)
    {
      formation->most_usable = pool->usable;
      formation->grown_ms = run->now_ms;
    }
  return formation->traffic
         || run->now_ms - formation->grown_ms >= STARTUP_QUIET_MS
         || run->now_ms - formation->held_since_ms >= STARTUP_LIMIT_MS;
}

void
formation_build (const struct formation_run *run)
{
  struct formation_pool *pool = malloc (sizeof *pool);

  if (pool == NULL)
    return;
  for (unsigned s = 0; s < run->catalog->service_count; s++)
    {
      const struct catalog_service *service = &run->catalog->services[s];

      if (service->model_count == 0)
        continue;
      refill_loads (run, service);
      collect_free (run, service, pool);
      if (knows_endpoints (run, pool) && form_groups (run, service, pool))
        {
          stage_spares (run, service, pool);
          formation_activate_spares (run, service, pool);
        }
    }
  free (pool);
}
