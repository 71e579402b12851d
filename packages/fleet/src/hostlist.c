#include "fleet.h"
#include "jsonutil.h"

#include <string.h>

static bool
is_entry_valid (const json_t *entry)
{
  char id[FLEET_NAME_SIZE];
  char address[FLEET_ADDRESS_SIZE];
  uint64_t port;

  return json_read_string (entry, "id", id, sizeof id) && id[0] != '\0'
         && json_read_string (entry, "address", address, sizeof address)
         && json_read_u64 (entry, "port", &port) && port > 0
         && port <= UINT16_MAX;
}

static void
read_entry (struct fleet_host *host, const json_t *entry)
{
  char kind[16];
  char state[16];
  uint64_t number;

  json_read_string (entry, "data_centre", host->data_centre,
                    sizeof host->data_centre);
  json_read_string (entry, "domain", host->domain, sizeof host->domain);
  json_read_string (entry, "address", host->address, sizeof host->address);
  json_read_string (entry, "service", host->service, sizeof host->service);
  json_read_string (entry, "kind", kind, sizeof kind);
  json_read_string (entry, "state", state, sizeof state);
  json_read_u64 (entry, "port", &number);
  host->port = (uint16_t)number;
  json_read_u64 (entry, "accelerators", &number);
  host->accelerators = (unsigned)number;
  host->is_service = strcmp (kind, "service") == 0;
  /* An engine counts as not checking fencing tokens unless the list says so. */
  host->checks_fence = json_read_bool (entry, "fencing", false);
  host->listed = true;
  host->listed_leaving = strcmp (state, "leaving") == 0;
}

enum result
fleet_apply_host_list (struct fleet *fleet, const json_t *json)
{
  const json_t *list = json_object_get (json, "hosts");
  const json_t *entry;
  struct fleet_host *host;
  size_t i;

  if (!json_is_array (list))
    return RESULT_PLATFORM_BAD_ANSWER;
  for (host = fleet->hosts; host != NULL; host = host->hh.next)
    host->listed = false;
  json_array_foreach (list, i, entry)
    {
      if (!is_entry_valid (entry))
        continue;
      host = fleet_add_host (fleet,
                             json_string_value (json_object_get (entry, "id")));
      if (host == NULL)
        return RESULT_NO_MEMORY;
      read_entry (host, entry);
    }
  return RESULT_OK;
}
