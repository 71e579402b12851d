#include "catalog.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
/* Exposes the state type, so that it can live on the stack. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

/* Bytes of a host that are put in lower case at a time. */
#define HOST_CHUNK_BYTES 64

struct catalog *
catalog_new (unsigned routes, unsigned services, unsigned customers)
{
  struct catalog *catalog = calloc (1, sizeof *catalog);

  if (catalog == NULL)
    return NULL;
  catalog->references = 1;
  text_pool_init (&catalog->texts);
  catalog->routes = calloc (routes + 1, sizeof *catalog->routes);
  catalog->services = calloc (services + 1, sizeof *catalog->services);
  catalog->customers = calloc (customers + 1, sizeof *catalog->customers);
  if (catalog->routes == NULL || catalog->services == NULL
      || catalog->customers == NULL)
    {
      catalog_unref (catalog);
      return NULL;
    }
  return catalog;
}

struct catalog *
catalog_ref (struct catalog *catalog)
{
  catalog->references++;
  return catalog;
}

void
catalog_unref (struct catalog *catalog)
{
  struct catalog_key *key;

  if (catalog == NULL || --catalog->references > 0)
    return;
  HASH_CLEAR (hh, catalog->route_index);
  HASH_CLEAR (hh, catalog->service_index);
  key = catalog->keys;
  HASH_CLEAR (hh, catalog->keys);
  while (key != NULL)
    {
      struct catalog_key *next = key->hh.next;

      free (key);
      key = next;
    }
  free (catalog->routes);
  free (catalog->services);
  free (catalog->customers);
  text_pool_finish (&catalog->texts);
  free (catalog);
}

/* Length of a host without its port. */
static size_t
host_size (const char *host)
{
  return strcspn (host, ":");
}

/*
 * Begins the key of a route with its host, in lower case since host names are
 * compared without case (RFC 9110, section 4.2.3).
 */
static void
begin_key (XXH3_state_t *state, const char *host)
{
  size_t size = host_size (host);
  char chunk[HOST_CHUNK_BYTES];

  XXH3_INITSTATE (state);
  XXH3_64bits_reset (state);
  while (size > 0)
    {
      size_t count = size < sizeof chunk ? size : sizeof chunk;

      for (size_t i = 0; i < count; i++)
        chunk[i] = (char)tolower ((unsigned char)host[i]);
      XXH3_64bits_update (state, chunk, count);
      host += count;
      size -= count;
    }
}

/* The route in use for this host and exactly this prefix. */
static struct catalog_route *
find_exact (const struct catalog *catalog,
            uint64_t key,
            const char *host,
            const char *prefix,
            size_t prefix_size)
{
  struct catalog_route *route;
  size_t size = host_size (host);

  HASH_FIND (hh, catalog->route_index, &key, sizeof key, route);
  for (; route != NULL; route = route->next_same_key)
    if (host_size (route->host) == size
        && strncasecmp (route->host, host, size) == 0
        && strncmp (route->prefix, prefix, prefix_size) == 0
        && route->prefix[prefix_size] == '\0')
      return route;
  return NULL;
}

void
catalog_index_route (struct catalog *catalog, unsigned index)
{
  struct catalog_route *route = &catalog->routes[index];
  struct catalog_route *first;
  size_t size = strlen (route->prefix);
  XXH3_state_t state;

  begin_key (&state, route->host);
  XXH3_64bits_update (&state, route->prefix, size);
  route->key = XXH3_64bits_digest (&state);
  route->next_same_key = NULL;
  if (find_exact (catalog, route->key, route->host, route->prefix, size)
      != NULL)
    return;
  HASH_FIND (hh, catalog->route_index, &route->key, sizeof route->key, first);
  if (first == NULL)
    HASH_ADD (hh, catalog->route_index, key, sizeof route->key, route);
  else
    {
      route->next_same_key = first->next_same_key;
      first->next_same_key = route;
    }
  if (size > catalog->longest_prefix)
    catalog->longest_prefix = size;
}

const struct catalog_route *
catalog_find_same_route (const struct catalog *catalog,
                         const struct catalog_route *route)
{
  return find_exact (catalog, route->key, route->host, route->prefix,
                     strlen (route->prefix));
}

enum result
catalog_add_key (struct catalog *catalog, const char *key, unsigned customer)
{
  struct catalog_key *entry = calloc (1, sizeof *entry);

  if (entry == NULL)
    return RESULT_NO_MEMORY;
  entry->text = text_pool_add (&catalog->texts, key);
  if (catalog->texts.failed)
    {
      free (entry);
      return RESULT_NO_MEMORY;
    }
  entry->customer = customer;
  HASH_ADD_KEYPTR (hh, catalog->keys, entry->text, strlen (key), entry);
  return RESULT_OK;
}

/* Notes the priority of a route at the services that it leads to. */
static void
note_priority (const struct catalog *catalog, const struct catalog_route *route)
{
  for (unsigned i = 0; i < route->target_count; i++)
    {
      struct catalog_service *service;

      if (route->targets[i].weight == 0)
        continue;
      HASH_FIND_STR (catalog->service_index, route->targets[i].service,
                     service);
      if (service == NULL)
        continue;
      if (!service->has_route)
        service->first_priority = route->priority;
      else if (service->first_priority != route->priority)
        service->has_priorities = true;
      service->has_route = true;
    }
}

void
catalog_index_services (struct catalog *catalog)
{
  HASH_CLEAR (hh, catalog->service_index);
  for (unsigned i = 0; i < catalog->service_count; i++)
    {
      struct catalog_service *service = &catalog->services[i];
      struct catalog_service *first;

      service->has_priorities = false;
      service->has_route = false;
      HASH_FIND_STR (catalog->service_index, service->name, first);
      if (first == NULL)
        HASH_ADD_KEYPTR (hh, catalog->service_index, service->name,
                         strlen (service->name), service);
    }
  for (unsigned i = 0; i < catalog->route_count; i++)
    note_priority (catalog, &catalog->routes[i]);
}

const struct catalog_route *
catalog_find_route (const struct catalog *catalog,
                    const char *host,
                    const char *path)
{
  const struct catalog_route *longest = NULL;
  size_t size = strcspn (path, "?#");
  XXH3_state_t state;
  size_t start = 0;

  /* The key joins host and path; the slash marks where the path begins. */
  if (path[0] != '/')
    return NULL;
  if (size > catalog->longest_prefix)
    size = catalog->longest_prefix;
  begin_key (&state, host);
  /* One pass, since a path may consist of thousands of slashes. */
  for (size_t end = 1; end <= size; end++)
    {
      const struct catalog_route *route;

      if (path[end - 1] != '/')
        continue;
      XXH3_64bits_update (&state, path + start, end - start);
      start = end;
      route
          = find_exact (catalog, XXH3_64bits_digest (&state), host, path, end);
      if (route != NULL)
        longest = route;
    }
  return longest;
}

const struct catalog_customer *
catalog_find_key (const struct catalog *catalog, const char *key)
{
  struct catalog_key *entry;

  HASH_FIND_STR (catalog->keys, key, entry);
  return entry != NULL ? &catalog->customers[entry->customer] : NULL;
}

const struct catalog_service *
catalog_find_service (const struct catalog *catalog, const char *name)
{
  const struct catalog_service *service;

  HASH_FIND_STR (catalog->service_index, name, service);
  return service;
}

bool
catalog_has_cold_times (const struct catalog *catalog)
{
  for (unsigned i = 0; i < catalog->service_count; i++)
    if (catalog->services[i].cold_ms > 0)
      return true;
  return false;
}

const char *
catalog_pick_target (const struct catalog_route *route, uint64_t draw)
{
  uint64_t total = 0;

  for (unsigned i = 0; i < route->target_count; i++)
    total += route->targets[i].weight;
  if (total == 0)
    return route->targets[0].service;
  draw %= total;
  for (unsigned i = 0; i < route->target_count; i++)
    {
      if (draw < route->targets[i].weight)
        return route->targets[i].service;
      draw -= route->targets[i].weight;
    }
  return route->targets[0].service;
}

const struct catalog_model *
catalog_find_model (const struct catalog_service *service, const char *name)
{
  for (unsigned i = 0; i < service->model_count; i++)
    if (strcmp (service->models[i].name, name) == 0)
      return &service->models[i];
  return NULL;
}

bool
catalog_is_repeatable (const struct catalog_route *route)
{
#ifdef BREAK_GUARD_EDGE_RETRY
  return true;
#endif
  return route->kind == CATALOG_SAFE
         || (route->kind == CATALOG_STREAM && route->resumable);
}
