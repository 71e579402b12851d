#include "daemon.h"

#include "log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
daemon_log_settings_errors (const struct settings_errors *errors)
{
  for (size_t i = 0; i < errors->count && i < SETTINGS_ERROR_LIMIT; i++)
    {
      const struct settings_error *error = &errors->list[i];

      LOG_EVENT (LOG_LEVEL_ERROR, "settings-error",
                 LOG_INT ("code", error->code),
                 LOG_STR ("name", result_info (error->code)->name),
                 LOG_U64 ("line", error->line), LOG_STR ("key", error->key),
                 LOG_STR ("text", error->text));
    }
}

static size_t
get_setting_size (enum settings_kind kind)
{
  switch (kind)
    {
    case SETTINGS_STRING:
    case SETTINGS_ADDRESS:
      return SETTINGS_TEXT_SIZE;
    case SETTINGS_INTEGER:
      return sizeof (int64_t);
    case SETTINGS_REAL:
      return sizeof (double);
    case SETTINGS_BOOLEAN:
      return sizeof (bool);
    case SETTINGS_LIST:
      return sizeof (struct settings_list);
    }
  return 0;
}

/* True for keys whose changes take effect without a restart. */
static bool
is_reloadable (const char *name)
{
  return strcmp (name, "log_level") == 0 || strcmp (name, "peers.keys") == 0
         || strncmp (name, "groups.", strlen ("groups.")) == 0
         || strncmp (name, "drain.", strlen ("drain.")) == 0;
}

static void
apply_settings (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct placement_settings *placement = &daemon->controller.placement_settings;
  int level = log_parse_level (settings->log_level);

  if (level >= 0)
    log_set_level ((enum log_level)level);
  placement->downtime_weight = settings->groups_downtime_weight;
  placement->stranded_weight = settings->groups_stranded_weight;
  placement->load_ms = settings->groups_load_ms;
  placement->cached_load_ms = settings->groups_reload_ms;
  placement->load_limit = (unsigned)settings->groups_max_loads;
}

static enum result
apply_peer_keys (struct daemon *daemon, const struct settings *new_settings)
{
  struct peer_keys keys = { .count = 0 };

  for (size_t i = 0; i < new_settings->peers_keys.count; i++)
    if (peer_keys_add (&keys, new_settings->peers_keys.items[i]) != RESULT_OK)
      return RESULT_SETTINGS_BAD_VALUE;
  if (keys.count == 0)
    return RESULT_SETTINGS_BAD_VALUE;
  daemon->peers.keys = keys;
  return RESULT_OK;
}

static void
copy_reloadable_settings (struct daemon *daemon,
                          const struct settings *new_settings)
{
  const struct settings_key *key;

  for (unsigned i = 0; (key = settings_key_at (i)) != NULL; i++)
    {
      char *current_value = (char *)&daemon->settings + key->offset;
      const char *new_value = (const char *)new_settings + key->offset;
      size_t size = get_setting_size (key->kind);

      if (memcmp (current_value, new_value, size) == 0)
        continue;
      LOG_EVENT (LOG_LEVEL_NOTICE, "setting-changed",
                 LOG_STR ("key", key->name),
                 LOG_STR ("effect",
                          is_reloadable (key->name) ? "now" : "after-restart"));
      if (is_reloadable (key->name))
        memcpy (current_value, new_value, size);
    }
}

void
daemon_reload_settings (struct daemon *daemon)
{
  struct settings *new_settings = malloc (sizeof *new_settings);
  struct settings_errors *errors = malloc (sizeof *errors);
  enum result result = RESULT_NO_MEMORY;

  if (new_settings == NULL || errors == NULL)
    goto out;
  result = settings_load (new_settings, daemon->settings_path, errors);
  if (result != RESULT_OK)
    {
      daemon_log_settings_errors (errors);
      goto out;
    }
  result = apply_peer_keys (daemon, new_settings);
  if (result != RESULT_OK)
    goto out;
  copy_reloadable_settings (daemon, new_settings);
  apply_settings (daemon);

out:
  /* After any error, the running settings are unchanged. */
  LOG_EVENT (result == RESULT_OK ? LOG_LEVEL_NOTICE : LOG_LEVEL_ERROR, "reload",
             LOG_INT ("code", result),
             LOG_STR ("result", result_info (result)->name));
  free (new_settings);
  free (errors);
}
