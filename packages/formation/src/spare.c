#include "formation-internal.h"

#include <string.h>

/* Suffix of the name of a group that consists of a single spare. */
#define SPARE_SUFFIX "-spare"
/* A join order that had no effect is sent again after this time. */
#define ACTIVATE_RETRY_MS 3000

bool
formation_is_spare_group (const char *group)
{
  size_t length = strlen (group);
  size_t suffix = strlen (SPARE_SUFFIX);

  return length > suffix && strcmp (group + length - suffix, SPARE_SUFFIX) == 0;
}

/* The first model whose weights are in the spare's cache; NULL if none. */
static const struct catalog_model *
find_cached_model (const struct catalog_service *service,
                   const struct endpoint *endpoint)
{
  for (unsigned m = 0; m < service->model_count; m++)
    if (endpoint_has_cached_model (endpoint, service->models[m].name))
      return &service->models[m];
  return NULL;
}

static void
activate_spare (const struct formation_run *run,
                const struct catalog_model *model,
                struct formation_member *member,
                const struct endpoint *endpoint)
{
  struct formation_order order = {
    .op = FORMATION_JOIN,
    .endpoint = member->id,
    .model = model->name,
    .members = &member->id,
    .member_count = 1,
    .reason = "spare without an active model",
  };
  struct text_pool texts;

  text_pool_init (&texts);
  order.epoch = formation_name_next_group (run->formation, SPARE_SUFFIX, &texts,
                                           &order.group);
  member->activate_ordered_ms = run->now_ms;
  if (!texts.failed)
    formation_send_join (run, &order, member, endpoint);
  text_pool_finish (&texts);
}

void
formation_activate_spares (const struct formation_run *run,
                           const struct catalog_service *service,
                           const struct formation_pool *pool)
{
  for (unsigned i = 0; i < pool->count; i++)
    {
      const struct catalog_model *model
          = find_cached_model (service, pool->endpoints[i]);
      struct formation_member *member = pool->members[i];

      if (pool->used[i] || model == NULL
          || formation_join_cost (pool->endpoints[i], model->name) == JOIN_HOT
          || (member->activate_ordered_ms != 0
              && run->now_ms - member->activate_ordered_ms < ACTIVATE_RETRY_MS))
        continue;
      activate_spare (run, model, member, pool->endpoints[i]);
    }
}
