#include "catalog-check.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Looks up services by name: a file of 4 MB may hold tens of thousands. */
struct name_entry
{
  const char *name;
  unsigned index;
  bool is_target;
  UT_hash_handle hh;
};

struct check
{
  const struct catalog *catalog;
  struct name_entry *entries; /* one for each service */
  struct name_entry *names;   /* hash table of the first of each name */
  void (*report) (void *context, const struct catalog_finding *finding);
  void *context;
  bool failed; /* memory is short */
};

static void __attribute__ ((format (printf, 6, 7)))
add_finding (struct check *check,
             enum catalog_fault fault,
             enum catalog_part part,
             unsigned index,
             const char *allowed,
             const char *format,
             ...)
{
  struct catalog_finding finding
      = { .fault = fault, .part = part, .index = index };
  char *found;
  va_list arguments;
  int size;

  va_start (arguments, format);
  size = vasprintf (&found, format, arguments);
  va_end (arguments);
  if (size < 0)
    {
      check->failed = true;
      return;
    }
  finding.found = found;
  finding.allowed = allowed;
  check->report (check->context, &finding);
  free (found);
}

static struct name_entry *
find_service (struct check *check, const char *name)
{
  struct name_entry *entry;

  HASH_FIND_STR (check->names, name, entry);
  return entry;
}

static enum result
index_services (struct check *check)
{
  const struct catalog *catalog = check->catalog;

  check->entries = calloc (catalog->service_count + 1, sizeof *check->entries);
  if (check->entries == NULL)
    return RESULT_NO_MEMORY;
  for (unsigned i = 0; i < catalog->service_count; i++)
    {
      struct name_entry *entry = &check->entries[i];

      entry->name = catalog->services[i].name;
      entry->index = i;
      if (find_service (check, entry->name) == NULL)
        HASH_ADD_KEYPTR (hh, check->names, entry->name, strlen (entry->name),
                         entry);
    }
  return RESULT_OK;
}

static void
check_route_match (struct check *check, unsigned index)
{
  const struct catalog_route *route = &check->catalog->routes[index];
  const struct catalog_route *used;
  size_t size = strlen (route->prefix);

  /* The same rules as catalog_find_route. */
  if (size == 0 || route->prefix[0] != '/' || route->prefix[size - 1] != '/'
      || strpbrk (route->prefix, "?#") != NULL)
    {
      add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_ROUTE, index,
                   "begins and ends with a slash, without ? and #",
                   "path prefix %s", route->prefix);
      return;
    }
  used = catalog_find_route (check->catalog, route->host, route->prefix);
  if (used != NULL && used != route)
    add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_ROUTE, index,
                 "one route for each host and path prefix",
                 "host %s, path prefix %s: route %s matches first", route->host,
                 route->prefix, used->name);
}

static void
check_targets (struct check *check, unsigned index)
{
  const struct catalog_route *route = &check->catalog->routes[index];

  for (unsigned i = 0; i < route->target_count; i++)
    {
      const struct catalog_target *target = &route->targets[i];
      struct name_entry *entry = find_service (check, target->service);

      if (entry == NULL)
        add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_ROUTE, index,
                     "a service of this configuration", "service %s",
                     target->service);
      else if (target->weight > 0)
        entry->is_target = true;
      if (target->weight == 0)
        add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_ROUTE, index,
                     "a weight of 1 or more", "service %s with weight 0",
                     target->service);
    }
}

static void
check_route_limits (struct check *check, unsigned index)
{
  const struct catalog_route *route = &check->catalog->routes[index];
  char limit[64];

  snprintf (limit, sizeof limit, "timeout %" PRId64 " ms", route->timeout_ms);
  if (route->objective_ms > route->timeout_ms)
    add_finding (check, CATALOG_CONTRADICTION, CATALOG_ROUTE, index, limit,
                 "objective %" PRId64 " ms", route->objective_ms);
  if (route->event_gap_objective_ms > route->timeout_ms
      && route->event_gap_objective_ms != route->objective_ms)
    add_finding (check, CATALOG_CONTRADICTION, CATALOG_ROUTE, index, limit,
                 "objective for the gap between events %" PRId64 " ms",
                 route->event_gap_objective_ms);
  /* Without an objective of its own, the decoder sets it to the timeout. */
  if (route->attempts > 1 && route->objective_ms > 0
      && route->objective_ms < route->timeout_ms
      && route->attempts > route->timeout_ms / route->objective_ms)
    add_finding (check, CATALOG_CONTRADICTION, CATALOG_ROUTE, index, limit,
                 "%u attempts of %" PRId64 " ms (objective)", route->attempts,
                 route->objective_ms);
  if (route->attempts == 0)
    add_finding (check, CATALOG_CONTRADICTION, CATALOG_ROUTE, index,
                 "1 attempt or more; hosts send each request once",
                 "0 attempts");
  snprintf (limit, sizeof limit, "objective %" PRId64 " ms",
            route->objective_ms);
  for (unsigned i = 0; i < route->target_count; i++)
    {
      const struct name_entry *entry
          = find_service (check, route->targets[i].service);
      const struct catalog_service *service
          = entry != NULL ? &check->catalog->services[entry->index] : NULL;

      if (service != NULL && service->step_ms > (double)route->objective_ms)
        add_finding (check, CATALOG_CONTRADICTION, CATALOG_ROUTE, index, limit,
                     "one step of service %s takes %g ms", service->name,
                     service->step_ms);
    }
}

static void
check_service (struct check *check, unsigned index)
{
  const struct catalog_service *service = &check->catalog->services[index];
  const struct name_entry *first = find_service (check, service->name);
  char limit[64];

  if (first != &check->entries[index])
    add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_SERVICE, index,
                 "one service of each name",
                 "service %s: an earlier entry of this name is used",
                 service->name);
  else if (!first->is_target)
    add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_SERVICE, index,
                 "a service that some route sends requests to",
                 "service %s: no route names it with a weight over 0",
                 service->name);
  if (service->cold_ms > 0 && service->cold_requests_per_s < 1)
    add_finding (check, CATALOG_CONTRADICTION, CATALOG_SERVICE, index,
                 "1 request per second or more",
                 "a cold endpoint takes %g requests per second",
                 service->cold_requests_per_s);
  for (unsigned i = 0; i < service->model_count; i++)
    {
      const struct catalog_model *model = &service->models[i];

      if (catalog_find_model (service, model->name) != model)
        add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_SERVICE, index,
                     "one model of each name in a service",
                     "model %s: an earlier entry of this name is used",
                     model->name);
      snprintf (limit, sizeof limit, "%" PRId64 " ms from the weight store",
                model->load_ms);
      if (model->cached_load_ms > model->load_ms)
        add_finding (check, CATALOG_CONTRADICTION, CATALOG_SERVICE, index,
                     limit, "model %s loads in %" PRId64 " ms from the cache",
                     model->name, model->cached_load_ms);
    }
}

/* The key itself is a secret and is not reported. */
static void
check_keys (struct check *check)
{
  const struct catalog *catalog = check->catalog;

  for (struct catalog_key *key = catalog->keys; key != NULL; key = key->hh.next)
    {
      struct catalog_key *used;

      HASH_FIND_STR (catalog->keys, key->text, used);
      if (used != NULL && used != key)
        add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_CUSTOMER,
                     key->customer, "each API key once",
                     "an API key of customer %s is held twice; requests with "
                     "it count for customer %s",
                     catalog->customers[key->customer].name,
                     catalog->customers[used->customer].name);
    }
}

enum result
catalog_check (const struct catalog *catalog,
               void (*report) (void *context,
                               const struct catalog_finding *finding),
               void *context)
{
  struct check check
      = { .catalog = catalog, .report = report, .context = context };
  enum result result = index_services (&check);

  if (result != RESULT_OK)
    return result;
  for (unsigned i = 0; i < catalog->route_count; i++)
    {
      check_route_match (&check, i);
      check_targets (&check, i);
      check_route_limits (&check, i);
    }
  for (unsigned i = 0; i < catalog->service_count; i++)
    check_service (&check, i);
  check_keys (&check);
  HASH_CLEAR (hh, check.names);
  free (check.entries);
  return check.failed ? RESULT_NO_MEMORY : RESULT_OK;
}

/* The endpoints of a service in a domain. */
struct domain_supply
{
  const char *domain;
  unsigned count;
  UT_hash_handle hh;
};

struct service_supply
{
  const char *service;
  struct domain_supply *domains;
  unsigned total;
  unsigned largest; /* endpoints of the largest domain */
  UT_hash_handle hh;
};

struct supplies
{
  struct service_supply *services;
};

static struct service_supply *
get_service (struct supplies *supplies, const char *name)
{
  struct service_supply *service;

  HASH_FIND_STR (supplies->services, name, service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->service = name;
  HASH_ADD_KEYPTR (hh, supplies->services, name, strlen (name), service);
  return service;
}

static struct domain_supply *
get_domain (struct service_supply *service, const char *name)
{
  struct domain_supply *domain;

  HASH_FIND_STR (service->domains, name, domain);
  if (domain != NULL)
    return domain;
  domain = calloc (1, sizeof *domain);
  if (domain == NULL)
    return NULL;
  domain->domain = name;
  HASH_ADD_KEYPTR (hh, service->domains, name, strlen (name), domain);
  return domain;
}

static enum result
add_endpoint (struct supplies *supplies, const struct endpoint_report *report)
{
  struct service_supply *service = get_service (supplies, report->service);
  struct domain_supply *domain
      = service != NULL ? get_domain (service, report->domain) : NULL;

  if (domain == NULL)
    return RESULT_NO_MEMORY;
  service->total++;
  domain->count++;
  if (domain->count > service->largest)
    service->largest = domain->count;
  return RESULT_OK;
}

static void
supplies_finish (struct supplies *supplies)
{
  struct service_supply *service = supplies->services;

  HASH_CLEAR (hh, supplies->services);
  while (service != NULL)
    {
      struct service_supply *next = service->hh.next;
      struct domain_supply *domain = service->domains;

      HASH_CLEAR (hh, service->domains);
      while (domain != NULL)
        {
          struct domain_supply *next_domain = domain->hh.next;

          free (domain);
          domain = next_domain;
        }
      free (service);
      service = next;
    }
}

static void
check_supply (struct check *check,
              const struct supplies *supplies,
              unsigned index)
{
  const struct catalog_service *service = &check->catalog->services[index];
  struct service_supply *supply;
  uint64_t needed = 0;
  char limit[64];

  HASH_FIND_STR (supplies->services, service->name, supply);
  if (supply == NULL)
    {
      add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_SERVICE, index,
                   "one endpoint or more in the store",
                   "service %s: 0 endpoints", service->name);
      return;
    }
  for (unsigned i = 0; i < service->model_count; i++)
    {
      const struct catalog_model *model = &service->models[i];

      if (catalog_find_model (service, model->name) != model)
        continue;
      needed += model->size;
      snprintf (limit, sizeof limit, "%u endpoints in the largest domain",
                supply->largest);
      if (model->size > supply->largest)
        add_finding (check, CATALOG_NEVER_MATCHES, CATALOG_SERVICE, index,
                     limit, "model %s: %u endpoints per group", model->name,
                     model->size);
    }
  snprintf (limit, sizeof limit, "%u endpoints of the service", supply->total);
  if (needed > supply->total)
    add_finding (check, CATALOG_CONTRADICTION, CATALOG_SERVICE, index, limit,
                 "one group of each model takes %" PRIu64 " endpoints", needed);
}

enum result
catalog_check_endpoints (const struct catalog *catalog,
                         const struct endpoint_report *endpoints,
                         size_t endpoint_count,
                         void (*report) (void *context,
                                         const struct catalog_finding *finding),
                         void *context)
{
  struct check check
      = { .catalog = catalog, .report = report, .context = context };
  struct supplies supplies = { .services = NULL };
  enum result result = RESULT_OK;

  for (size_t i = 0; i < endpoint_count && result == RESULT_OK; i++)
    result = add_endpoint (&supplies, &endpoints[i]);
  for (unsigned i = 0; i < catalog->service_count && result == RESULT_OK; i++)
    check_supply (&check, &supplies, i);
  supplies_finish (&supplies);
  return check.failed ? RESULT_NO_MEMORY : result;
}
