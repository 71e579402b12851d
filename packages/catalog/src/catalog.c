#include "catalog.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#define ROUTE_KEY_SIZE (2UL * CATALOG_PATH_SIZE)

struct catalog *
catalog_new (unsigned routes, unsigned services, unsigned customers)
{
  struct catalog *catalog = calloc (1, sizeof *catalog);

  if (catalog == NULL)
    return NULL;
  catalog->references = 1;
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
  key = catalog->keys;
  HASH_CLEAR (hh, catalog->keys);
  while (key != NULL)
    {
      struct catalog_key *next = key->hh.next;

      free (key->text);
      free (key);
      key = next;
    }
  free (catalog->routes);
  free (catalog->services);
  free (catalog->customers);
  free (catalog);
}

/*
 * Writes the host, without port and in lower case since host names are compared
 * without case (RFC 9110, section 4.2.3), and the path to key.  Returns the
 * size; 0 if they do not fit.
 */
static size_t
write_route_key (char *key,
                 const char *host,
                 const char *path,
                 size_t path_size)
{
  size_t size = strcspn (host, ":");

  if (size + path_size > ROUTE_KEY_SIZE)
    return 0;
  for (size_t i = 0; i < size; i++)
    key[i] = (char)tolower ((unsigned char)host[i]);
  memcpy (key + size, path, path_size);
  return size + path_size;
}

void
catalog_index_route (struct catalog *catalog, unsigned index)
{
  struct catalog_route *route = &catalog->routes[index];
  struct catalog_route *existing;
  size_t size = write_route_key (route->key, route->host, route->prefix,
                                 strlen (route->prefix));

  HASH_FIND (hh, catalog->route_index, route->key, size, existing);
  if (existing == NULL && size > 0)
    HASH_ADD_KEYPTR (hh, catalog->route_index, route->key, size, route);
}

enum result
catalog_add_key (struct catalog *catalog, const char *key, unsigned customer)
{
  struct catalog_key *entry = calloc (1, sizeof *entry);

  if (entry == NULL)
    return RESULT_NO_MEMORY;
  entry->text = strdup (key);
  if (entry->text == NULL)
    {
      free (entry);
      return RESULT_NO_MEMORY;
    }
  entry->customer = customer;
  HASH_ADD_KEYPTR (hh, catalog->keys, entry->text, strlen (key), entry);
  return RESULT_OK;
}

static bool
leads_to (const struct catalog_route *route,
          const struct catalog_service *service)
{
  for (unsigned i = 0; i < route->target_count; i++)
    if (route->targets[i].weight > 0
        && strcmp (route->targets[i].service, service->name) == 0)
      return true;
  return false;
}

void
catalog_index_priorities (struct catalog *catalog)
{
  for (unsigned i = 0; i < catalog->service_count; i++)
    {
      struct catalog_service *service = &catalog->services[i];
      const struct catalog_route *first = NULL;

      service->has_priorities = false;
      for (unsigned j = 0; j < catalog->route_count; j++)
        {
          const struct catalog_route *route = &catalog->routes[j];

          if (!leads_to (route, service))
            continue;
          if (first == NULL)
            first = route;
          else if (route->priority != first->priority)
            service->has_priorities = true;
        }
    }
}

const struct catalog_route *
catalog_find_route (const struct catalog *catalog,
                    const char *host,
                    const char *path)
{
  size_t size = strcspn (path, "?#");
  char key[ROUTE_KEY_SIZE];

  /* The key joins host and path; the slash marks where the path begins. */
  if (path[0] != '/')
    return NULL;
  for (; size > 0; size--)
    {
      struct catalog_route *route;
      size_t key_size;

      if (path[size - 1] != '/')
        continue;
      key_size = write_route_key (key, host, path, size);
      if (key_size == 0)
        continue;
      HASH_FIND (hh, catalog->route_index, key, key_size, route);
      if (route != NULL)
        return route;
    }
  return NULL;
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
  for (unsigned i = 0; i < catalog->service_count; i++)
    if (strcmp (catalog->services[i].name, name) == 0)
      return &catalog->services[i];
  return NULL;
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
