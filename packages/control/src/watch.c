#include "config-internal.h"

#include "jsonutil.h"
#include "log.h"
#include "timeutil.h"

#include <stdio.h>
#include <string.h>

static bool
object_id (const struct config *config,
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
take_objects (struct config *config, const json_t *value)
{
  const json_t *entry;
  uint64_t revision;
  size_t i;

  json_array_foreach (json_object_get (value, "objects"), i, entry)
    {
      const char *key = json_string_value (json_object_get (entry, "key"));
      enum peer_object_id id;
      uint64_t version;

      if (key != NULL && object_id (config, key, &id)
          && json_read_u64 (entry, "version", &version))
        config_adopt (config, id, json_object_get (entry, "value"), version,
                      "platform");
    }
  if (json_read_u64 (value, "revision", &revision)
      && revision > config->revision)
    config->revision = revision;
}

static void
on_watch (void *context, const struct platform_answer *answer)
{
  struct config *config = context;

  config->watching = false;
  config->now_ms = time_boot_ms ();
  if (answer->result == RESULT_OK)
    take_objects (config, answer->value);
  else if (answer->result != RESULT_PLATFORM_UNCHANGED)
    config->next_watch_ms = config->now_ms + CONFIG_RETRY_MS;
  /* The next call starts at once, so that no change waits for a tick. */
  if (answer->result != RESULT_CANCELLED && config_is_watcher (config))
    config_watch (config);
}

void
config_watch (struct config *config)
{
  char keys[FLEET_NAME_SIZE + 64];

  if (config->watching || config->now_ms < config->next_watch_ms)
    return;
  config->watching = true;
  snprintf (keys, sizeof keys, "sheet/current,control/current,assignment/%s",
            config->data_centre);
  platform_watch (config->platform, keys, config->revision, CONFIG_WATCH_MS,
                  on_watch, config);
}

/*
 * The platform gives the host list no number.  Its reader makes one from the
 * wall clock whenever the contents change; a reader that starts later goes on
 * above the number that peers have.
 */
static void
number_hosts (struct config *config, json_t *list)
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
on_hosts (void *context, const struct platform_answer *answer)
{
  struct config *config = context;
  json_t *list;

  config->reading_hosts = false;
  config->now_ms = time_boot_ms ();
  if (answer->result != RESULT_OK)
    return;
  list = json_copy (answer->value);
  if (list == NULL)
    return;
  number_hosts (config, list);
  config_adopt (config, PEER_HOSTS, list, 0, "platform");
  json_decref (list);
}

void
config_read_hosts (struct config *config)
{
  if (config->reading_hosts || config->now_ms < config->next_hosts_ms)
    return;
  config->reading_hosts = true;
  config->next_hosts_ms = config->now_ms + config->hosts_interval_ms;
  platform_hosts (config->platform, on_hosts, config);
}
