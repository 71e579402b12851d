#include "sheet-inventory.h"

#include "jsonutil.h"

#include <stdlib.h>
#include <string.h>

void
sheet_inventory_init (struct sheet_inventory *inventory)
{
  inventory->hosts = NULL;
  inventory->count = 0;
}

void
sheet_inventory_finish (struct sheet_inventory *inventory)
{
  free (inventory->hosts);
  sheet_inventory_init (inventory);
}

static bool
copy_name (char out[SHEET_NAME_SIZE], const char *name)
{
  size_t length = strlen (name);

  if (length >= SHEET_NAME_SIZE)
    return false;
  memcpy (out, name, length + 1);
  return true;
}

enum result
sheet_inventory_add (struct sheet_inventory *inventory,
                     const char *id,
                     const char *data_centre,
                     const char *domain,
                     bool is_service)
{
  struct sheet_inventory_host host = { .is_service = is_service };
  size_t count = inventory->count;

  if (!copy_name (host.id, id) || !copy_name (host.data_centre, data_centre)
      || !copy_name (host.domain, domain))
    return RESULT_TOO_LARGE;
  /* The array grows to the next power of two. */
  if ((count & (count - 1)) == 0)
    {
      void *grown = reallocarray (inventory->hosts, count == 0 ? 1 : count * 2,
                                  sizeof host);

      if (grown == NULL)
        return RESULT_NO_MEMORY;
      inventory->hosts = grown;
    }
  inventory->hosts[inventory->count++] = host;
  return RESULT_OK;
}

enum result
sheet_inventory_from_hosts (struct sheet_inventory *inventory,
                            const json_t *json)
{
  const json_t *hosts = json_object_get (json, "hosts");
  size_t index;
  const json_t *host;

  if (!json_is_array (hosts))
    return RESULT_INVALID;
  json_array_foreach (hosts, index, host)
    {
      const char *id = json_string_value (json_object_get (host, "id"));
      const char *kind = json_string_value (json_object_get (host, "kind"));
      const char *data_centre
          = json_string_value (json_object_get (host, "data_centre"));
      const char *domain = json_string_value (json_object_get (host, "domain"));
      enum result result;

      if (id == NULL || data_centre == NULL)
        return RESULT_INVALID;
      result = sheet_inventory_add (
          inventory, id, data_centre, domain != NULL ? domain : "",
          kind != NULL && strcmp (kind, "service") == 0);
      if (result != RESULT_OK)
        return result;
    }
  return RESULT_OK;
}
