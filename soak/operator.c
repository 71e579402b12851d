#include "operator.h"

#include "standin-configuration.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTES 8
#define EXTRA_ROUTES 3

const struct catalog_service operator_models = {
  .name = MODEL_SERVICE,
  .slots = 16,
  .loads_per_s = 10,
  .concurrent_loads = 6,
  .cached_model_limit = 4,
  .open_ms = 80,
  .step_ms = 6,
  .step_per_request_ms = 0.05,
  .prefill_tokens_per_ms = 50,
  .tokens_per_event = 1,
  .models = { { .name = "large",
                .size = 3,
                .share = 0.5,
                .time_factor = 1,
                .load_ms = 800,
                .cached_load_ms = 200 },
              { .name = "small",
                .size = 2,
                .share = 0.5,
                .time_factor = 1,
                .load_ms = 600,
                .cached_load_ms = 200 } },
  .model_count = 2,
};

void
operator_key (char *text, size_t size, unsigned customer, unsigned key)
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

  snprintf (route->name, sizeof route->name, "r%u", catalog->route_count);
  snprintf (route->host, sizeof route->host, "%s", ROUTE_HOST);
  snprintf (route->prefix, sizeof route->prefix, "%s", prefix);
  snprintf (route->targets[0].service, sizeof route->targets[0].service, "%s",
            service);
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
      snprintf (catalog->customers[i].name, sizeof catalog->customers[i].name,
                "customer-%u", i);
      for (unsigned j = 0; j < OPERATOR_KEYS; j++)
        {
          char key[32];

          operator_key (key, sizeof key, i, j);
          if (!operator->key_taken[i][j] && catalog_add_key (catalog, key, i)
              != RESULT_OK)
            abort ();
        }
    }
  catalog->customer_count = OPERATOR_CUSTOMERS;
}

static struct catalog *
make_catalog (const struct operator* operator)
{
  struct catalog *catalog = catalog_new (ROUTES, 3, OPERATOR_CUSTOMERS);

  if (catalog == NULL)
    abort ();
  /* Versions increase in uneven steps. */
  catalog->version
      = 3 + (int64_t) operator->count * 2 + (operator->count % 3 == 0 ? 1 : 0);
  catalog->limits = (struct catalog_limits){ 16384, 1 << 20, 3000, 15000 };
  catalog->services[0] = operator_models;
  catalog->services[1] = (struct catalog_service){ .name = PLAIN_SERVICE };
  catalog->services[2] = (struct catalog_service){ .name = OTHER_SERVICE };
  catalog->service_count = 3;
  add_route (catalog, "/resumed/", CATALOG_STREAM, MODEL_SERVICE);
  catalog->routes[0].resumable = true;
  add_route (catalog, "/stream/", CATALOG_STREAM, MODEL_SERVICE);
  add_route (catalog, "/unsafe/", CATALOG_UNSAFE, PLAIN_SERVICE);
  add_route (catalog, "/safe/", CATALOG_SAFE, PLAIN_SERVICE);
  add_route (catalog, "/moved/",
             CATALOG_SAFE, operator->moved ? OTHER_SERVICE : PLAIN_SERVICE);
  for (unsigned i = 0; i < operator->extras; i++)
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
  operator->waiting = true;
  rng_init (&operator->rng, seed);
}

void operator_finish (struct operator* operator)
{
  for (unsigned i = 0; i < operator->count; i++)
    catalog_unref (operator->versions[i].catalog);
}

void
operator_tick (struct operator* operator, int64_t now_ms)
{
  struct operator_version *version = &operator->versions[operator->count];

  if (!operator->waiting || operator->count == OPERATOR_VERSIONS ||
       operator->store->faults.silent ||
       operator->store->faults.rejects_calls)
    return;
  operator->waiting = false;
  version->catalog = make_catalog (operator);
  version->written_ms = now_ms;
  operator->count++;
  standin_store_put (operator->store, STANDIN_CONFIGURATION_KIND,
                     STANDIN_CONFIGURATION_NAME,
                     standin_encode_configuration (version->catalog));
}

void operator_move_route (struct operator* operator)
{
  operator->moved = !operator->moved;
  operator->waiting = true;
}

void operator_change_extras (struct operator* operator)
{
  operator->extras = (unsigned) rng_below (&operator->rng, EXTRA_ROUTES + 1);
  operator->waiting = true;
}

void operator_take_key (struct operator* operator)
{
  unsigned customer = (unsigned)rng_below (&operator->rng, OPERATOR_CUSTOMERS);
  unsigned key = (unsigned)rng_below (&operator->rng, OPERATOR_KEYS);

  operator->key_taken[customer][key] = true;
  operator->waiting = true;
}

void operator_give_keys_back (struct operator* operator)
{
  memset (operator->key_taken, 0, sizeof operator->key_taken);
  operator->waiting = true;
}

static bool
allows (const struct catalog *catalog, const struct operator_asked *asked)
{
  const struct catalog_route *route
      = catalog_find_route (catalog, ROUTE_HOST, asked->target);
  const struct catalog_customer *customer;

  if (route == NULL
      || (asked->service != NULL
          && strcmp (route->targets[0].service, asked->service) != 0))
    return false;
  if (asked->key == NULL)
    return true;
  customer = catalog_find_key (catalog, asked->key);
  return customer != NULL
         && (asked->customer == NULL
             || strcmp (customer->name, asked->customer) == 0);
}

/* True if the version may still be in force for a request sent then. */
static bool
may_hold (const struct operator* operator,
          unsigned index,
          int64_t sent_ms,
          int64_t bound_ms)
{
  return index + 1
         == operator->count || sent_ms - operator->versions[index + 1]
                .written_ms <= bound_ms;
}

bool
operator_allows (const struct operator* operator,
                 const struct operator_asked * asked,
                 int64_t sent_ms,
                 int64_t bound_ms)
{
  for (unsigned i = 0; i < operator->count; i++)
    if (may_hold (operator, i, sent_ms, bound_ms)
        && allows (operator->versions[i].catalog, asked))
      return true;
  return false;
}

bool
operator_always_allows (const struct operator* operator,
                        const struct operator_asked * asked,
                        int64_t sent_ms,
                        int64_t bound_ms)
{
  for (unsigned i = 0; i < operator->count; i++)
    if (may_hold (operator, i, sent_ms, bound_ms)
        && !allows (operator->versions[i].catalog, asked))
      return false;
  return true;
}
