#include "operator.h"

#include "standin-configuration.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTE_LIMIT 8
#define EXTRA_ROUTE_LIMIT 3
#define EVACUATION_KIND "evacuations"

static struct catalog_model models[]
    = { { .name = "large", .share = 0.5, .time_factor = 1 },
        { .name = "small", .share = 0.5, .time_factor = 1 } };

struct catalog_service operator_models = {
  .name = MODEL_SERVICE,
  .slots = 16,
  .cached_model_limit = 4,
  .step_ms = 6,
  .step_per_request_ms = 0.05,
  .prefill_tokens_per_ms = 50,
  .tokens_per_event = 1,
  .models = models,
  .model_count = 2,
};

void
operator_scale_models (const struct operator_scale *scale)
{
  operator_models.loads_per_s = scale->loads_per_s;
  operator_models.concurrent_loads = scale->concurrent_loads;
  operator_models.open_ms = scale->open_ms;
  operator_models.models[0].size = scale->large_group_size;
  operator_models.models[1].size = scale->small_group_size;
  for (unsigned i = 0; i < operator_models.model_count; i++)
    {
      /* The second model is smaller. */
      operator_models.models[i].load_ms = scale->load_ms * (4 - i) / 4;
      operator_models.models[i].cached_load_ms = scale->cached_load_ms;
    }
}

void
operator_format_key (char *text, size_t size, unsigned customer, unsigned key)
{
  snprintf (text, size, "key-%u-%u", customer, key);
}

static void
add_route (struct catalog *catalog,
           const char *prefix,
           enum catalog_kind kind,
           const char *service)
{
  struct catalog_route *route = &catalog->routes[catalog->route_count];

  route->targets
      = text_pool_allocate (&catalog->texts, 1, sizeof *route->targets);
  if (route->targets == NULL)
    abort ();
  route->name = text_pool_format (&catalog->texts, "r%u", catalog->route_count);
  route->host = ROUTE_HOST;
  route->prefix = text_pool_add (&catalog->texts, prefix);
  route->targets[0].service = service;
  route->targets[0].weight = 1;
  route->target_count = 1;
  route->kind = kind;
  route->timeout_ms = 5000;
  route->objective_ms = 400;
  route->event_gap_objective_ms = 400;
  route->priority = 1;
  route->attempts = 2;
  catalog_index_route (catalog, catalog->route_count++);
}

static void
add_customers (const struct operator* operator, struct catalog * catalog)
{
  catalog->needs_keys = true;
  for (unsigned i = 0; i < OPERATOR_CUSTOMERS; i++)
    {
      catalog->customers[i].name
          = text_pool_format (&catalog->texts, "customer-%u", i);
      for (unsigned j = 0; j < OPERATOR_KEYS; j++)
        {
          char key[32];

          operator_format_key (key, sizeof key, i, j);
          if (!operator->key_revoked[i][j] && catalog_add_key (catalog, key, i)
              != RESULT_OK)
            abort ();
        }
    }
  catalog->customer_count = OPERATOR_CUSTOMERS;
}

static struct catalog *
make_catalog (const struct operator* operator)
{
  struct catalog *catalog = catalog_new (ROUTE_LIMIT, 3, OPERATOR_CUSTOMERS);

  if (catalog == NULL)
    abort ();
  /* Version numbers increase in uneven steps. */
  catalog->version = 3
                     + (int64_t) operator->version_count * 2 + (
                         operator->version_count % 3 == 0 ? 1 : 0);
  catalog->limits = (struct catalog_limits){ 16384, 1 << 20, 3000, 15000 };
  catalog->services[0] = operator_models;
  catalog->services[1] = (struct catalog_service){ .name = PLAIN_SERVICE };
  catalog->services[2] = (struct catalog_service){ .name = OTHER_SERVICE };
  catalog->service_count = 3;
  for (unsigned i = 0; operator->has_cold_times && i<3; i++)
    {
      catalog->services[i].cold_ms = COLD_MS;
      catalog->services[i].cold_requests_per_s = COLD_PER_S;
    }
  add_route (catalog, "/resumed/", CATALOG_STREAM, MODEL_SERVICE);
  catalog->routes[0].resumable = true;
  add_route (catalog, "/stream/", CATALOG_STREAM, MODEL_SERVICE);
  add_route (catalog, "/unsafe/", CATALOG_UNSAFE, PLAIN_SERVICE);
  add_route (catalog, "/safe/", CATALOG_SAFE, PLAIN_SERVICE);
  add_route (
      catalog, "/moved/",
      CATALOG_SAFE, operator->route_moved ? OTHER_SERVICE : PLAIN_SERVICE);
  for (unsigned i = 0; i < operator->extra_route_count; i++)
    {
      char prefix[32];

      snprintf (prefix, sizeof prefix, "/extra%u/", i);
      add_route (catalog, prefix, CATALOG_SAFE, PLAIN_SERVICE);
    }
  add_customers (operator, catalog);
  return catalog;
}

void
operator_init (struct operator* operator,
               struct standin_store * store,
               uint64_t seed)
{
  memset (operator, 0, sizeof *operator);
  operator->store = store;
  operator->write_pending = true;
  rng_init (&operator->rng, seed);
}

void operator_finish (struct operator* operator)
{
  for (unsigned i = 0; i < operator->version_count; i++)
    catalog_unref (operator->versions[i].catalog);
}

void
operator_tick (struct operator* operator, int64_t now_ms)
{
  struct operator_version *version
      = &operator->versions[operator->version_count];

  if (operator->evacuated != NULL && now_ms >= operator->withdraw_ms)
    operator_end_evacuation (operator);
  if (!operator->write_pending ||
       operator->version_count == OPERATOR_VERSION_LIMIT ||
       operator->store->faults.silent ||
       operator->store->faults.rejects_calls)
    return;
  operator->write_pending = false;
  version->catalog = make_catalog (operator);
  version->written_ms = now_ms;
  operator->version_count++;
  operator_rewrite (operator);
}

void operator_rewrite (struct operator* operator)
{
  unsigned count = operator->version_count;

  if (operator->evacuated != NULL)
    standin_store_put (operator->store, EVACUATION_KIND, operator->evacuated,
                       json_object ());
  if (count == 0)
    return;
  standin_store_put (
      operator->store, STANDIN_CONFIGURATION_KIND, STANDIN_CONFIGURATION_NAME,
      standin_encode_configuration (operator->versions[count - 1].catalog));
}

void
operator_evacuate (struct operator* operator,
                   const char * data_centre,
                   int64_t now_ms,
                   int64_t until_ms)
{
  if (operator->evacuated != NULL)
    return;
  operator->evacuated = data_centre;
  operator->evacuated_ms = now_ms;
  operator->withdraw_ms = until_ms;
  standin_store_put (operator->store, EVACUATION_KIND, data_centre,
                     json_object ());
}

void operator_end_evacuation (struct operator* operator)
{
  if (operator->evacuated == NULL)
    return;
  standin_store_delete (operator->store, EVACUATION_KIND, operator->evacuated);
  operator->evacuated = NULL;
}

void operator_move_route (struct operator* operator)
{
  operator->route_moved = !operator->route_moved;
  operator->write_pending = true;
}

void operator_change_extra_routes (struct operator* operator)
{
  operator->extra_route_count = (unsigned)
      rng_below (&operator->rng, EXTRA_ROUTE_LIMIT + 1);
  operator->write_pending = true;
}

void operator_revoke_key (struct operator* operator)
{
  unsigned customer = (unsigned)rng_below (&operator->rng, OPERATOR_CUSTOMERS);
  unsigned key = (unsigned)rng_below (&operator->rng, OPERATOR_KEYS);

  operator->key_revoked[customer][key] = true;
  operator->write_pending = true;
}

void operator_restore_keys (struct operator* operator)
{
  memset (operator->key_revoked, 0, sizeof operator->key_revoked);
  operator->write_pending = true;
}

static bool
version_allows (const struct catalog *catalog,
                const struct operator_request *request)
{
  const struct catalog_route *route
      = catalog_find_route (catalog, ROUTE_HOST, request->target);
  const struct catalog_customer *customer;

  if (route == NULL
      || (request->service != NULL
          && strcmp (route->targets[0].service, request->service) != 0))
    return false;
  if (request->key == NULL)
    return true;
  customer = catalog_find_key (catalog, request->key);
  return customer != NULL
         && (request->customer == NULL
             || strcmp (customer->name, request->customer) == 0);
}

/* True if version index may still be in force for a request sent at sent_ms. */
static bool
may_be_in_force (const struct operator* operator,
                 unsigned index,
                 int64_t sent_ms,
                 int64_t bound_ms)
{
  return index + 1
         == operator->version_count || sent_ms - operator->versions[index + 1]
                .written_ms <= bound_ms;
}

bool
operator_allows (const struct operator* operator,
                 const struct operator_request * request,
                 int64_t sent_ms,
                 int64_t bound_ms)
{
  for (unsigned i = 0; i < operator->version_count; i++)
    if (may_be_in_force (operator, i, sent_ms, bound_ms)
        && version_allows (operator->versions[i].catalog, request))
      return true;
  return false;
}

bool
operator_always_allows (const struct operator* operator,
                        const struct operator_request * request,
                        int64_t sent_ms,
                        int64_t bound_ms)
{
  for (unsigned i = 0; i < operator->version_count; i++)
    if (may_be_in_force (operator, i, sent_ms, bound_ms)
        && !version_allows (operator->versions[i].catalog, request))
      return false;
  return true;
}
