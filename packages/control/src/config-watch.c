#include "config-internal.h"

#include "jsonutil.h"
#include "log.h"
#include "timeutil.h"

#include <stdio.h>
#include <string.h>

static bool
parse_object_key (const struct config *config,
                  const char *key,
                  enum peer_object_id *id)
{
  char assignment[FLEET_NAME_SIZE + 16];

  snprintf (assignment, sizeof assignment, "assignment/%s",
            config->data_centre);
  if (strcmp (key, "sheet/current") == 0)
    *id = PEER_SHEET;
  else if (strcmp (key, "control/current") == 0)
    *id = PEER_CONTROL;
  else if (strcmp (key, assignment) == 0)
    *id = PEER_ASSIGNMENT;
  else
    return false;
  return true;
}

static void
adopt_objects (struct config *config, const json_t *value)
{
  const json_t *entry;
  uint64_t revision;
  size_t i;

  json_array_foreach (json_object_get (value, "objects"), i, entry)
    {
      const char *key = json_string_value (json_object_get (entry, "key"));
      enum peer_object_id id;
      uint64_t version;

      if (key != NULL && parse_object_key (config, key, &id)
          && json_read_u64 (entry, "version", &version))
        config_adopt (config, id, json_object_get (entry, "value"), version,
                      "platform");
    }
  if (json_read_u64 (value, "revision", &revision)
      && revision > config->revision)
    config->revision = revision;
}

static void
on_watch_response (void *context, const struct platform_response *response)
{
  struct config *config = context;

  config->watch_in_flight = false;
  config->now_ms = time_boot_ms ();
  if (response->result == RESULT_OK)
    adopt_objects (config, response->value);
  else if (response->result != RESULT_PLATFORM_UNCHANGED)
    config->next_watch_ms = config->now_ms + CONFIG_RETRY_DELAY_MS;
  /* The next call starts at once, so that no change is delayed by a tick. */
  if (response->result != RESULT_CANCELLED && config_is_watcher (config))
    config_start_watch (config);
}

void
config_start_watch (struct config *config)
{
  char keys[FLEET_NAME_SIZE + 64];

  if (config->watch_in_flight || config->now_ms < config->next_watch_ms)
    return;
  config->watch_in_flight = true;
  snprintf (keys, sizeof keys, "sheet/current,control/current,assignment/%s",
            config->data_centre);
  platform_watch (config->platform, keys, config->revision,
                  CONFIG_WATCH_TIMEOUT_MS, on_watch_response, config);
}

/*
 * Numbers the host list, which has no number on the platform.  When the
 * contents change, the number is the wall clock in ms, or one more than the
 * number in force if that is higher, as after a change of the reader.
 */
static void
assign_host_list_number (struct config *config, json_t *list)
{
  struct config_object *object = &config->objects[PEER_HOSTS];
  json_t *old
      = object->text != NULL ? json_loads (object->text, 0, NULL) : NULL;
  uint64_t number = (uint64_t)time_wall_ms ();

  if (old != NULL
      && json_equal (json_object_get (old, "hosts"),
                     json_object_get (list, "hosts")))
    number = object->number;
  else if (number <= object->number)
    number = object->number + 1;
  json_decref (old);
  json_object_set_new (list, "number", json_integer ((json_int_t)number));
}

static void
on_hosts_response (void *context, const struct platform_response *response)
{
  struct config *config = context;
  json_t *list;

  config->hosts_read_in_flight = false;
  config->now_ms = time_boot_ms ();
  if (response->result != RESULT_OK)
    return;
  list = json_copy (response->value);
  if (list == NULL)
    return;
  assign_host_list_number (config, list);
  config_adopt (config, PEER_HOSTS, list, 0, "platform");
  json_decref (list);
}

void
config_read_hosts (struct config *config)
{
  if (config->hosts_read_in_flight
      || config->now_ms < config->next_hosts_read_ms)
    return;
  config->hosts_read_in_flight = true;
  config->next_hosts_read_ms = config->now_ms + config->hosts_interval_ms;
  platform_hosts (config->platform, on_hosts_response, config);
}
