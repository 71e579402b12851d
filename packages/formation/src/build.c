#include "formation-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FREE_LIMIT 512 /* free endpoints of a service looked at in one tick */

/*
 * Loads of this data centre that may run at once before the first request;
 * they take a tenth of their time then, and many groups wait.
 */
#define STARTUP_LOADS 6
/* Loads that may run at once later, so that a whole group can be loaded. */
#define STEADY_LOADS 4
/* Window and margin of the weight store's limit on loads that begin. */
#define LOAD_BURST 3.0
#define LOAD_RATE_MARGIN 0.8
/* A stage order without effect is sent again after this time. */
#define STAGE_RETRY_MS 3000
/* A load may take this many times its nominal time when others run. */
#define LOAD_SLACK 2

struct pool
{
  struct endpoint *endpoints[FREE_LIMIT];
  struct formation_member *members[FREE_LIMIT];
  bool used[FREE_LIMIT];
  unsigned count;
};

struct choice
{
  unsigned picked[FORMATION_SIZE_LIMIT]; /* indices into the pool */
  unsigned cold; /* members that need a load from the weight store */
  unsigned cost;
  bool found;
};

static bool
was_last_model (const struct endpoint *endpoint, const char *model)
{
  return strcmp (endpoint->report.model, model) == 0;
}

/* 0 = takes part at once, 1 = from its own copy, 2 = from the weight store. */
static unsigned
join_cost (const struct pool *pool, unsigned index, const char *model)
{
  const struct endpoint *endpoint = pool->endpoints[index];

  if (was_last_model (endpoint, model))
    return 0;
  if (endpoint_has_staged (endpoint, model))
    return 1;
  return 2;
}

static void
collect_free (const struct formation_run *run,
              const struct catalog_service *service,
              struct pool *pool)
{
  pool->count = 0;
  for (struct endpoint *endpoint = run->endpoints->table;
       endpoint != NULL && pool->count < FREE_LIMIT;
       endpoint = endpoint->hh.next)
    {
      struct formation_member *member;

      if (strcmp (endpoint->report.service, service->name) != 0
          || !formation_concerns (run, endpoint)
          || !formation_usable (run, endpoint) || endpoint->deleted_ms != 0)
        continue;
      member = formation_member (run->formation, endpoint);
      if (member == NULL || member->group != NULL
          || member->hold_ms > run->now_ms)
        continue;
      pool->endpoints[pool->count] = endpoint;
      pool->members[pool->count] = member;
      pool->used[pool->count] = false;
      pool->count++;
    }
}

static unsigned
free_in_domain (const struct pool *pool, const char *domain)
{
  unsigned count = 0;

  for (unsigned i = 0; i < pool->count; i++)
    if (!pool->used[i]
        && strcmp (pool->endpoints[i]->report.domain, domain) == 0)
      count++;
  return count;
}

/* The cheapest members in the domain for one group of the model. */
static struct choice
choose_members (const struct pool *pool,
                const struct catalog_model *model,
                const char *domain)
{
  struct choice choice = { .found = false };
  unsigned picked = 0;

  for (unsigned cost = 0; cost <= 2; cost++)
    for (unsigned i = 0; i < pool->count && picked < model->size; i++)
      if (!pool->used[i]
          && strcmp (pool->endpoints[i]->report.domain, domain) == 0
          && join_cost (pool, i, model->name) == cost)
        {
          choice.picked[picked++] = i;
          choice.cost += cost == 2 ? 100 : cost;
          choice.cold += cost == 2 ? 1 : 0;
        }
  choice.found = picked == model->size;
  return choice;
}

/* Endpoints in groups of the model that serve or are about to. */
static unsigned
endpoints_of_model (const struct formation_run *run,
                    const struct catalog_service *service,
                    const struct catalog_model *model)
{
  const struct formation_group *group;
  unsigned count = 0;

  TAILQ_FOREACH (group, &run->formation->groups, link)
  if (group->phase <= FORMATION_SERVING
      && strcmp (group->service, service->name) == 0
      && strcmp (group->model, model->name) == 0)
    count += group->size;
  return count;
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

        if (endpoint != NULL && endpoint_has_staged (endpoint, member->staging))
          continue;
        count++;
      }
  return count;
}

static bool
loads_allowed (const struct formation_run *run, unsigned count)
{
  unsigned limit = run->formation->traffic ? STEADY_LOADS : STARTUP_LOADS;

  if (count == 0)
    return true;
  if (loads_running (run) + count > limit)
    return false;
  return !run->formation->traffic || run->formation->load_tokens >= count;
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

static void
form (const struct formation_run *run,
      const struct catalog_service *service,
      const struct catalog_model *model,
      struct pool *pool,
      const struct choice *choice)
{
  struct formation *formation = run->formation;
  struct formation_group *group = calloc (1, sizeof *group);

  if (group == NULL)
    return;
  formation->formed++;
  snprintf (group->name, sizeof group->name, "%.40s-%llu-%llu",
            formation->settings.data_centre,
            (unsigned long long)formation->fence,
            (unsigned long long)formation->formed);
  /* Room for a million formations under one holder of the lease. */
  group->epoch = (formation->fence << 20) | formation->formed;
  group->size = model->size;
  group->since_ms = run->now_ms;
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

      if (join_cost (pool, index, model->name) == 2
          && strcmp (member->staging, model->name) != 0)
        note_load (run, member, model);
      pool->used[index] = true;
      member->group = group;
      member->joined_ms = run->now_ms;
      member->tries = 1;
      formation_order (run, group, FORMATION_JOIN, member->id, "formed");
    }
}

/*
 * Whether one more group is worth its endpoints: below its share a model gets
 * it in any case; above, only if its domain keeps a spare for repairs.
 */
static bool
is_wanted (const struct pool *pool,
           const struct catalog_model *model,
           double filled,
           const char *domain)
{
  unsigned left = free_in_domain (pool, domain) - model->size;

  return filled < 0.6 || left > 0;
}

/* Forms one group of the model where that is cheapest. */
static bool
form_one (const struct formation_run *run,
          const struct catalog_service *service,
          const struct catalog_model *model,
          double filled,
          struct pool *pool)
{
  struct choice best = { .found = false };

  for (unsigned i = 0; i < pool->count; i++)
    {
      const char *domain = pool->endpoints[i]->report.domain;
      struct choice choice;

      if (pool->used[i])
        continue;
      choice = choose_members (pool, model, domain);
      if (!choice.found || (best.found && choice.cost >= best.cost)
          || !is_wanted (pool, model, filled, domain))
        continue;
      best = choice;
    }
  if (!best.found || !loads_allowed (run, best.cold))
    return false;
  form (run, service, model, pool, &best);
  return true;
}

static void
form_groups (const struct formation_run *run,
             const struct catalog_service *service,
             struct pool *pool,
             unsigned usable)
{
  for (;;)
    {
      bool tried[CATALOG_MODEL_LIMIT] = { false };
      bool formed = false;

      /* The model that lacks the largest part of its share comes first. */
      for (unsigned round = 0; round < service->model_count && !formed; round++)
        {
          int poorest = -1;
          double least = 0;

          for (unsigned m = 0; m < service->model_count; m++)
            {
              const struct catalog_model *model = &service->models[m];
              double target = model->share * usable;
              double filled
                  = target > 0
                        ? endpoints_of_model (run, service, model) / target
                        : 1;

              if (!tried[m] && (poorest < 0 || filled < least))
                {
                  poorest = (int)m;
                  least = filled;
                }
            }
          tried[poorest] = true;
          formed = form_one (run, service, &service->models[poorest], least,
                             pool);
        }
      if (!formed)
        return;
    }
}

static unsigned
staged_spares (const struct pool *pool, const char *domain, const char *model)
{
  unsigned count = 0;

  for (unsigned i = 0; i < pool->count; i++)
    if (!pool->used[i]
        && strcmp (pool->endpoints[i]->report.domain, domain) == 0
        && (endpoint_has_staged (pool->endpoints[i], model)
            || strcmp (pool->members[i]->staging, model) == 0))
      count++;
  return count;
}

static bool
has_any_staged (const struct catalog_service *service,
                const struct endpoint *endpoint)
{
  for (unsigned m = 0; m < service->model_count; m++)
    if (endpoint_has_staged (endpoint, service->models[m].name))
      return true;
  return false;
}

/* Spares get the weights of the model that has fewest spares in the domain. */
static void
stage_spares (const struct formation_run *run,
              const struct catalog_service *service,
              struct pool *pool)
{
  for (unsigned i = 0; i < pool->count; i++)
    {
      struct endpoint *endpoint = pool->endpoints[i];
      struct formation_member *member = pool->members[i];
      const struct catalog_model *best = NULL;
      double least = 0;

      if (pool->used[i] || has_any_staged (service, endpoint)
          || (member->staged_ms != 0
              && run->now_ms - member->staged_ms < STAGE_RETRY_MS))
        continue;
      for (unsigned m = 0; m < service->model_count; m++)
        {
          const struct catalog_model *model = &service->models[m];
          double spares
              = staged_spares (pool, endpoint->report.domain, model->name)
                / (model->share > 0 ? model->share : 1);

          if (best == NULL || spares < least)
            {
              best = model;
              least = spares;
            }
        }
      if (best == NULL
          || (member->staging[0] == '\0' && !loads_allowed (run, 1)))
        continue;
      if (member->staging[0] == '\0')
        note_load (run, member, best);
      member->staged_ms = run->now_ms;
      run->hooks->order (run->hooks->context,
                         &(struct formation_order){
                             .op = FORMATION_STAGE,
                             .endpoint = endpoint->id,
                             .group = "",
                             .model = member->staging,
                             .reason = "spare without weights",
                         });
    }
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

void
formation_build (const struct formation_run *run)
{
  struct pool *pool = malloc (sizeof *pool);

  if (pool == NULL)
    return;
  for (unsigned s = 0; s < run->catalog->service_count; s++)
    {
      const struct catalog_service *service = &run->catalog->services[s];
      unsigned usable = 0;

      if (service->model_count == 0)
        continue;
      for (struct endpoint *endpoint = run->endpoints->table;
           endpoint != NULL; endpoint = endpoint->hh.next)
        if (formation_concerns (run, endpoint)
            && strcmp (endpoint->report.service, service->name) == 0
            && formation_usable (run, endpoint))
          usable++;
      refill_loads (run, service);
      collect_free (run, service, pool);
      form_groups (run, service, pool, usable);
      stage_spares (run, service, pool);
    }
  free (pool);
}
