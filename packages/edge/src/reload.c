#include "edge.h"

#include "hash.h"
#include "log.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Every host refuses a revoked key within keys.revoke_ms, so a host accepts
 * keys only for that time less this margin after its configuration was last
 * current.  The margin covers a store that delays changes by a second.
 */
#define KEY_MARGIN_MS 1500
/* The file may change without SIGHUP; reading it takes three system calls. */
#define FILE_CHECK_INTERVAL_MS 2000
/* The settings package does not read longer files either. */
#define FILE_LIMIT_BYTES 65536

int64_t
edge_key_freshness_limit_ms (const struct edge_settings *settings)
{
  return settings->keys_revoke_ms - KEY_MARGIN_MS;
}

/* Returns 0 if the file cannot be read: a replacement may be in progress. */
static uint64_t
digest_file (const char *path)
{
  FILE *file = fopen (path, "re");
  char *text = NULL;
  uint64_t digest = 0;
  size_t size;

  if (file == NULL)
    goto out;
  text = malloc (FILE_LIMIT_BYTES + 1);
  if (text == NULL)
    goto out;
  size = fread (text, 1, FILE_LIMIT_BYTES, file);
  if (ferror (file) != 0)
    goto out;
  text[size] = '\0';
  digest = hash_string (text, 0);

out:
  free (text);
  if (file != NULL)
    fclose (file);
  return digest;
}

/* Applies what can change while the process runs: no addresses or names. */
static void
apply_settings (struct edge *edge, const struct edge_settings *settings)
{
  edge->settings.drain_limit_s = settings->drain_limit_s;
  edge->settings.keys_revoke_ms = settings->keys_revoke_ms;
  edge->settings.configuration_in_force_ms
      = settings->configuration_in_force_ms;
  edge->settings.endpoints_leave_ms = settings->endpoints_leave_ms;
  edge->relay.limits.key_freshness_limit_ms
      = edge_key_freshness_limit_ms (settings);
  log_set_level ((enum log_level)log_parse_level (settings->log_level));
}

static void
reload_settings (struct edge *edge, const char *reason)
{
  struct edge_settings *settings = malloc (sizeof *settings);
  struct settings_errors *errors = malloc (sizeof *errors);
  enum result result = RESULT_NO_MEMORY;

  if (settings != NULL && errors != NULL)
    result = settings_load_table (&edge_settings_table, settings,
                                  edge->settings_path, errors);
  if (result == RESULT_OK)
    apply_settings (edge, settings);
  LOG_EVENT (LOG_LEVEL_NOTICE, "settings-reloaded", LOG_INT ("code", result),
             LOG_STR ("reason", reason));
  free (settings);
  free (errors);
}

static void
on_hup (evutil_socket_t fd, short what, void *context)
{
  struct edge *edge = context;

  (void)fd;
  (void)what;
  edge->settings_digest = digest_file (edge->settings_path);
  reload_settings (edge, "signal");
}

enum result
edge_reload_init (struct edge *edge)
{
  edge->sighup_event = evsignal_new (edge->base, SIGHUP, on_hup, edge);
  if (edge->sighup_event == NULL)
    return RESULT_NO_MEMORY;
  return event_add (edge->sighup_event, NULL) == 0 ? RESULT_OK
                                                   : RESULT_NO_MEMORY;
}

void
edge_reload_tick (struct edge *edge)
{
  uint64_t digest;
  bool first = edge->settings_digest == 0;

  if (edge->now_ms < edge->next_settings_check_ms)
    return;
  edge->next_settings_check_ms = edge->now_ms + FILE_CHECK_INTERVAL_MS;
  digest = digest_file (edge->settings_path);
  if (digest == 0 || digest == edge->settings_digest)
    return;
  edge->settings_digest = digest;
  if (!first)
    reload_settings (edge, "file changed");
}

void
edge_reload_finish (struct edge *edge)
{
  event_free (edge->sighup_event);
}
