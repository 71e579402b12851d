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
field_size (enum settings_kind kind)
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

/* Keys that take effect without a restart. */
static bool
is_reloadable (const char *name)
{
  return strcmp (name, "log_level") == 0 || strcmp (name, "peers.keys") == 0
         || strncmp (name, "groups.", strlen ("groups.")) == 0
         || strncmp (name, "drain.", strlen ("drain.")) == 0;
}

static void
apply (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct placement_settings *placement = &daemon->controller.placement_settings;
  int level = log_parse_level (settings->log_level);

  if (level >= 0)
    log_set_level ((enum log_level)level);
  placement->downtime_weight = settings->groups_downtime_weight;
  placement->stranded_weight = settings->groups_stranded_weight;
  placement->load_ms = settings->groups_load_ms;
  placement->warm_load_ms = settings->groups_reload_ms;
  placement->load_limit = (unsigned)settings->groups_max_loads;
}

static enum result
apply_keys (struct daemon *daemon, const struct settings *fresh)
{
  struct peer_keys keys = { .count = 0 };

  for (size_t i = 0; i < fresh->peers_keys.count; i++)
    if (peer_keys_add (&keys, fresh->peers_keys.items[i]) != RESULT_OK)
      return RESULT_SETTINGS_BAD_VALUE;
  if (keys.count == 0)
    return RESULT_SETTINGS_BAD_VALUE;
  daemon->peers.keys = keys;
  return RESULT_OK;
}

static void
take_changes (struct daemon *daemon, const struct settings *fresh)
{
  const struct settings_key *key;

  for (unsigned i = 0; (key = settings_key_at (i)) != NULL; i++)
    {
      char *present = (char *)&daemon->settings + key->offset;
      const char *wanted = (const char *)fresh + key->offset;
      size_t size = field_size (key->kind);

      if (memcmp (present, wanted, size) == 0)
        continue;
      LOG_EVENT (LOG_LEVEL_NOTICE, "setting-changed",
                 LOG_STR ("key", key->name),
                 LOG_STR ("effect",
                          is_reloadable (key->name) ? "now" : "after-restart"));
      if (is_reloadable (key->name))
        memcpy (present, wanted, size);
    }
}

void
daemon_reload (struct daemon *daemon)
{
  struct settings *fresh = malloc (sizeof *fresh);
  struct settings_errors *errors = malloc (sizeof *errors);
  enum result result = RESULT_NO_MEMORY;

  if (fresh == NULL || errors == NULL)
    goto out;
  result = settings_load (fresh, daemon->settings_path, errors);
  if (result != RESULT_OK)
    {
      daemon_log_settings_errors (errors);
      goto out;
    }
  result = apply_keys (daemon, fresh);
  if (result != RESULT_OK)
    goto out;
  take_changes (daemon, fresh);
  apply (daemon);

out:
  /* A file with any error changes nothing. */
  LOG_EVENT (result == RESULT_OK ? LOG_LEVEL_NOTICE : LOG_LEVEL_ERROR, "reload",
             LOG_INT ("code", result),
             LOG_STR ("result", result_info (result)->name));
  free (fresh);
  free (errors);
}
