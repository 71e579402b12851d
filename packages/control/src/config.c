#include "config.h"

#include "config-internal.h"
#include "jsonutil.h"
#include "log.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const object_names[] = {
  [PEER_SHEET] = "sheet",
  [PEER_CONTROL] = "control",
  [PEER_ASSIGNMENT] = "assignment",
  [PEER_HOSTS] = "hosts",
};

void
config_init (struct config *config,
             struct event_base *base,
             struct platform *platform,
             struct member_table *members,
             struct peer_node *peers,
             struct fleet *fleet,
             const struct config_hooks *hooks,
             int64_t hosts_interval_ms)
{
  memset (config, 0, sizeof *config);
  config->base = base;
  config->platform = platform;
  config->members = members;
  config->peers = peers;
  config->fleet = fleet;
  config->hooks = *hooks;
  config->hosts_interval_ms = hosts_interval_ms;
  snprintf (config->data_centre, sizeof config->data_centre, "%s",
            members->self.data_centre);
  snprintf (config->host, sizeof config->host, "%s", members->self.host);
  sheet_init (&config->sheet);
}

void
config_finish (struct config *config)
{
  for (size_t i = 0; i <= PEER_HOSTS; i++)
    free (config->objects[i].text);
  json_decref (config->drains);
  json_decref (config->releases);
  sheet_finish (&config->sheet);
}

const char *
config_object_text (void *context, enum peer_object_id id, uint64_t *number)
{
  struct config *config = context;

  if (id < PEER_SHEET || id > PEER_HOSTS)
    return NULL;
  *number = config->objects[id].number;
  return config->objects[id].text;
}

static enum result
adopt_sheet (struct config *config, const json_t *json)
{
  struct sheet sheet;
  struct sheet old;
  enum result result;

  sheet_init (&sheet);
  result = sheet_from_json (&sheet, json);
  if (result != RESULT_OK)
    {
      sheet_finish (&sheet);
      return result;
    }
  old = config->sheet;
  config->sheet = sheet;
  config->hooks.sheet_changed (config->hooks.context, &config->sheet);
  sheet_finish (&old);
  return RESULT_OK;
}

static bool
array_contains (const json_t *array, const char *text)
{
  const json_t *entry;
  size_t i;

  json_array_foreach (array, i, entry)
    if (json_is_string (entry) && strcmp (json_string_value (entry), text) == 0)
      return true;
  return false;
}

void
config_apply_drains (struct config *config)
{
  for (struct fleet_host *host = config->fleet->hosts; host != NULL;
       host = host->hh.next)
    host->drained = array_contains (config->drains, host->id);
}

/*
 * Calls the hook for each release that is new in the control object.  New
 * entries are appended and a repeated release moves its entry to the end, so
 * every entry that does not match the old list in order is new.  A release must
 * take effect only once: the request may have crashed endpoints since.
 */
static void
report_new_releases (struct config *config, const json_t *releases)
{
  size_t old_count = json_array_size (config->releases);
  size_t matched = 0;
  const json_t *entry;
  size_t i;

  json_array_foreach (releases, i, entry)
    {
      size_t position = matched;

      while (
          position < old_count
          && !json_equal (json_array_get (config->releases, position), entry))
        position++;
      if (position < old_count)
        matched = position + 1;
      else if (json_is_string (entry))
        config->hooks.strikes_released (config->hooks.context,
                                        json_string_value (entry));
    }
}

static enum result
adopt_control (struct config *config, const json_t *json)
{
  json_t *releases = json_object_get (json, "releases");
  json_t *drains = json_object_get (json, "drains");

  if (!json_is_array (drains) || !json_is_array (releases))
    return RESULT_PLATFORM_BAD_ANSWER;
  json_decref (config->drains);
  config->drains = json_incref (drains);
  config_apply_drains (config);
  report_new_releases (config, releases);
  json_decref (config->releases);
  config->releases = json_incref (releases);
  return RESULT_OK;
}

static enum result
adopt_hosts (struct config *config, const json_t *json)
{
  enum result result = fleet_apply_host_list (config->fleet, json);

  if (result == RESULT_OK)
    config_apply_drains (config);
  return result;
}

static enum result
apply_object (struct config *config, enum peer_object_id id, const json_t *json)
{
  switch (id)
    {
    case PEER_SHEET:
      return adopt_sheet (config, json);
    case PEER_CONTROL:
      return adopt_control (config, json);
    case PEER_ASSIGNMENT:
      return fleet_apply_assignment (config->fleet, config->data_centre, json);
    case PEER_HOSTS:
      return adopt_hosts (config, json);
    }
  return RESULT_INVALID;
}

static void
publish_object_numbers (struct config *config)
{
  struct member_versions *versions = &config->members->versions;

  versions->sheet = config->objects[PEER_SHEET].number;
  versions->control = config->objects[PEER_CONTROL].number;
  versions->assignment = config->objects[PEER_ASSIGNMENT].number;
  versions->hosts = config->objects[PEER_HOSTS].number;
}

enum result
config_adopt (struct config *config,
              enum peer_object_id id,
              const json_t *json,
              uint64_t version,
              const char *source)
{
  struct config_object *object = &config->objects[id];
  enum result result;
  uint64_t number;
  char *text;

  if (!json_read_u64 (json, "number", &number))
    return RESULT_PLATFORM_BAD_ANSWER;
  /* The next conditional write needs the platform's version, also if the
   * contents came from a peer before. */
  if (number == object->number && version > object->version)
    object->version = version;
  if (number <= object->number)
    return RESULT_PLATFORM_UNCHANGED;
  text = json_dumps (json, JSON_COMPACT);
  if (text == NULL)
    return RESULT_NO_MEMORY;
  result = apply_object (config, id, json);
  if (result != RESULT_OK)
    {
      free (text);
      LOG_EVENT (LOG_LEVEL_WARNING, "config-refused",
                 LOG_STR ("object", object_names[id]),
                 LOG_U64 ("number", number), LOG_STR ("source", source),
                 LOG_INT ("code", result));
      return result;
    }
  free (object->text);
  object->text = text;
  object->number = number;
  object->version = version;
  publish_object_numbers (config);
  LOG_EVENT (id == PEER_HOSTS ? LOG_LEVEL_DEBUG : LOG_LEVEL_NOTICE,
             "config-adopted", LOG_STR ("object", object_names[id]),
             LOG_U64 ("number", number), LOG_STR ("source", source));
  /* Peers must fetch the object within 3 s; the announcement triggers that. */
  if (strcmp (source, "platform") == 0)
    peer_announce (config->peers, config->now_ms);
  return RESULT_OK;
}

bool
config_is_watcher (const struct config *config)
{
  return member_rank (config->members, config->data_centre, config->host,
                      "watch")
         < CONFIG_WATCHERS;
}

void
config_tick (struct config *config, int64_t now_ms)
{
  config->now_ms = now_ms;
  if (config_is_watcher (config))
    {
      config_start_watch (config);
      config_read_hosts (config);
    }
  config_fetch_newer (config);
}
