#include "daemon.h"

#include "log.h"
#include "netutil.h"
#include "timeutil.h"
#include "uuid.h"

#include <openssl/rand.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNTER_LIMIT 4096
#define STRIKE_LIMIT 4096

static void
on_health (void *context,
           const char *host,
           const struct fleet_attestation *attested)
{
  struct daemon *daemon = context;

  prober_merge_attestation (&daemon->prober, host, attested);
}

static void
on_fresh_entry (void *context, const struct peer_fresh_entry *entry)
{
  struct daemon *daemon = context;

  prober_merge_fresh_entry (&daemon->prober, entry);
}

static void
on_demand (void *context, const char *from, const char *name, unsigned demand)
{
  struct daemon *daemon = context;

  demand_table_record (&daemon->demand_table, from, name, demand,
                       time_boot_ms ());
}

static void
on_strike (void *context,
           const char *trait,
           const char *host,
           const char *boot_id,
           int64_t at_ms)
{
  struct daemon *daemon = context;
  const struct strike_report report = {
    .kind = strikes_get_kind (trait),
    .trait = trait,
    .crash = strikes_crash_id (host, boot_id),
    .at_ms = at_ms,
  };

  if (!strikes_add_report (&daemon->strikes, &report, time_boot_ms ()))
    return;
  strike_broadcast_remember (&daemon->strike_broadcast, trait, host, boot_id,
                             at_ms);
  LOG_EVENT (LOG_LEVEL_WARNING, "strike-received",
             LOG_STR ("fingerprint", trait), LOG_STR ("host", host));
}

static void
on_answer (void *context, const char *trait)
{
  struct daemon *daemon = context;

  strikes_clear (&daemon->strikes, trait, time_boot_ms (),
                 daemon->strikes.copies);
}

static void
on_strikes_told (void *context, const char *from)
{
  struct daemon *daemon = context;

  strike_broadcast_note_told (&daemon->strike_broadcast, from);
}

static const char *
get_object_text (void *context, enum peer_object_id id, uint64_t *number)
{
  struct daemon *daemon = context;

  return config_object_text (&daemon->config, id, number);
}

static void
on_sheet_changed (void *context, const struct sheet *sheet)
{
  struct daemon *daemon = context;

  gateway_set_sheet (&daemon->gateway, sheet);
  /* Divide at the next tick, by the limits and weights of the new sheet. */
  daemon->next_shares_ms = 0;
}

static void
on_quarantine_released (void *context, const char *fingerprint)
{
  struct daemon *daemon = context;

  strikes_release (&daemon->strikes, fingerprint, time_boot_ms ());
}

static void
on_log_line (void *context, enum log_level level, const char *line)
{
  struct daemon *daemon = context;

  if (level <= LOG_LEVEL_INFO)
    log_history_add (&daemon->log_history, line, time_wall_ms ());
}

static void
on_tick (evutil_socket_t fd, short events, void *context)
{
  (void)fd;
  (void)events;
  daemon_tick (context);
}

static void
on_stop_signal (evutil_socket_t fd, short events, void *context)
{
  (void)fd;
  (void)events;
  daemon_stop (context);
}

static void
on_reload_signal (evutil_socket_t fd, short events, void *context)
{
  (void)fd;
  (void)events;
  daemon_reload_settings (context);
}

static uint64_t
random_seed (void)
{
  uint64_t seed = 0;

  RAND_bytes ((unsigned char *)&seed, sizeof seed);
  return seed;
}

static void
init_tables (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct admission_limits limits = {
    .queue_per_customer = (size_t)settings->admission_queue_per_customer,
    .queue_total = (size_t)settings->admission_queue_total,
    .ageing_ms = (int)settings->admission_ageing_ms,
  };

  fleet_init (&daemon->fleet);
  admission_init (&daemon->admission, &limits);
  chooser_init (&daemon->chooser, random_seed ());
  strikes_init (&daemon->strikes, STRIKE_LIMIT);
  counter_set_init (&daemon->counters, COUNTER_LIMIT);
  demand_table_init (&daemon->demand_table);
  log_history_init (&daemon->log_history);
  error_budget_counts_init (&daemon->error_budget_counts, daemon->now_ms,
                            time_wall_ms ());
}

static void
finish_tables (struct daemon *daemon)
{
  error_budget_counts_finish (&daemon->error_budget_counts);
  log_history_finish (&daemon->log_history);
  demand_table_finish (&daemon->demand_table);
  counter_set_finish (&daemon->counters);
  strikes_finish (&daemon->strikes);
  chooser_finish (&daemon->chooser);
  admission_finish (&daemon->admission);
  fleet_finish (&daemon->fleet);
}

static enum result
init_members (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct member_update self = {
    .port = (uint16_t)settings->peers_port,
    .incarnation = (uint64_t)time_wall_ms (),
  };

  snprintf (self.host, sizeof self.host, "%.63s", settings->host);
  snprintf (self.data_centre, sizeof self.data_centre, "%.63s",
            settings->data_centre);
  snprintf (self.address, sizeof self.address, "%.47s",
            settings->peers_address);
  member_init (&daemon->members, &self, random_seed (), daemon->now_ms);
  for (size_t i = 0; i < settings->peers_seeds.count; i++)
    {
      char address[MEMBER_ADDRESS_SIZE];
      uint16_t port;

      if (!net_parse_address (settings->peers_seeds.items[i], address,
                              sizeof address, &port))
        return RESULT_SETTINGS_BAD_VALUE;
      member_add_seed (&daemon->members, address, port);
    }
  return RESULT_OK;
}

static enum result
init_peers (struct daemon *daemon)
{
  struct peer_hooks hooks = { .context = daemon,
                              .health_reported = on_health,
                              .fresh_reported = on_fresh_entry,
                              .demand_reported = on_demand,
                              .strike_reported = on_strike,
                              .answer_reported = on_answer,
                              .strikes_told = on_strikes_told,
                              .find_object_text = get_object_text };
  struct peer_keys keys = { .count = 0 };

  for (size_t i = 0; i < daemon->settings.peers_keys.count; i++)
    if (peer_keys_add (&keys, daemon->settings.peers_keys.items[i])
        != RESULT_OK)
      return RESULT_SETTINGS_BAD_VALUE;
  return peer_init (&daemon->peers, daemon->base, &daemon->members, &hooks,
                    &keys);
}

static enum result
init_control (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct config_hooks hooks = { .context = daemon,
                                .sheet_changed = on_sheet_changed,
                                .strikes_released = on_quarantine_released };
  struct placement_settings placement;

  platform_init (&daemon->platform, daemon->base, settings->platform_address,
                 (uint16_t)settings->platform_port,
                 (int)settings->platform_timeout_ms);
  snprintf (daemon->platform.host, sizeof daemon->platform.host, "%.31s/%.31s",
            settings->data_centre, settings->host);
  config_init (&daemon->config, daemon->base, &daemon->platform,
               &daemon->members, &daemon->peers, &daemon->fleet, &hooks,
               settings->platform_hosts_interval_ms);
  prober_init (&daemon->prober, daemon->base, &daemon->fleet, &daemon->members,
               &daemon->peers);
  placement_settings_init (&placement);
  placement.downtime_weight = settings->groups_downtime_weight;
  placement.stranded_weight = settings->groups_stranded_weight;
  placement.load_ms = settings->groups_load_ms;
  placement.cached_load_ms = settings->groups_reload_ms;
  placement.load_limit = (unsigned)settings->groups_max_loads;
  return controller_init (&daemon->controller, daemon->base, &daemon->platform,
                          &daemon->config, &daemon->fleet, &daemon->members,
                          &placement);
}

static enum result
init_gateway (struct daemon *daemon)
{
  const struct settings *settings = &daemon->settings;
  struct gateway_tables tables = {
    .sheet = NULL,
    .fleet = &daemon->fleet,
    .chooser = &daemon->chooser,
    .admission = &daemon->admission,
    .strikes = &daemon->strikes,
    .counters = &daemon->counters,
    .strike_hooks = &daemon->strike_hooks,
    .claim_hooks = &daemon->claimio.hooks,
    .data_centre = daemon->members.self.data_centre,
  };
  struct gateway_limits limits;
  enum result result;

  strike_broadcast_init (&daemon->strike_broadcast, &daemon->peers,
                         settings->peers_seeds.count > 0, daemon->now_ms);
  claim_cleanup_init (&daemon->claim_cleanup, &daemon->platform,
                      &daemon->members, daemon->now_ms);
  claimio_init (&daemon->claimio, &daemon->platform, daemon->members.self.host,
                random_seed ());
  daemon->strike_hooks.context = &daemon->strike_broadcast;
  daemon->strike_hooks.broadcast = strike_broadcast_send;
  daemon->strike_hooks.acknowledged = strike_broadcast_is_finished;
  daemon->strike_hooks.cleared = strike_broadcast_send_answer;
  gateway_limits_set_defaults (&limits);
  limits.header_bytes = (size_t)settings->callers_max_header_bytes;
  limits.header_count = (unsigned)settings->callers_max_headers;
  limits.body_bytes = (size_t)settings->callers_max_body_bytes;
  limits.stream_buffer_bytes = (size_t)settings->callers_buffer_bytes;
  limits.caller_idle_timeout_ms = (int)settings->callers_idle_timeout_ms;
  limits.slow_caller_timeout_ms = (int)settings->callers_stall_timeout_ms;
  limits.default_deadline_ms = (int)settings->callers_default_deadline_ms;
  limits.max_deadline_ms = (int)settings->callers_max_deadline_ms;
  limits.max_connections = (size_t)settings->callers_max_connections;
  limits.memory_bytes = (size_t)settings->memory_limit_mb << 20;
  limits.memory_tight_share = settings->memory_tight_share;
  limits.memory_full_share = settings->memory_full_share;
  result = gateway_init (&daemon->gateway, daemon->base, &tables, &limits,
                         settings->callers_address,
                         (uint16_t)settings->callers_port, random_seed ());
  daemon->gateway.is_starting = !daemon->strike_broadcast.has_joined;
  return result;
}

static enum result
init_events (struct daemon *daemon)
{
  struct timeval interval
      = { .tv_usec = DAEMON_TICK_INTERVAL_MS * INT64_C (1000) };

  daemon->tick_event
      = event_new (daemon->base, -1, EV_PERSIST, on_tick, daemon);
  daemon->sigterm_event
      = evsignal_new (daemon->base, SIGTERM, on_stop_signal, daemon);
  daemon->sigint_event
      = evsignal_new (daemon->base, SIGINT, on_stop_signal, daemon);
  daemon->sighup_event
      = evsignal_new (daemon->base, SIGHUP, on_reload_signal, daemon);
  if (daemon->tick_event == NULL || daemon->sigterm_event == NULL
      || daemon->sigint_event == NULL || daemon->sighup_event == NULL
      || event_add (daemon->tick_event, &interval) != 0
      || event_add (daemon->sigterm_event, NULL) != 0
      || event_add (daemon->sigint_event, NULL) != 0
      || event_add (daemon->sighup_event, NULL) != 0)
    return RESULT_NO_MEMORY;
  return RESULT_OK;
}

/* Steps of daemon_init; each may depend on the earlier ones. */
enum
{
  STEP_TABLES,
  STEP_MEMBERS,
  STEP_PEERS,
  STEP_CONTROL,
  STEP_GATEWAY,
  STEP_ADMIN,
  STEP_EVENTS,
  STEP_COUNT,
};

static enum result
run_init_step (struct daemon *daemon, unsigned step)
{
  switch (step)
    {
    case STEP_TABLES:
      init_tables (daemon);
      return RESULT_OK;
    case STEP_MEMBERS:
      return init_members (daemon);
    case STEP_PEERS:
      return init_peers (daemon);
    case STEP_CONTROL:
      return init_control (daemon);
    case STEP_GATEWAY:
      return init_gateway (daemon);
    case STEP_ADMIN:
      return daemon_admin_init (daemon);
    default:
      return init_events (daemon);
    }
}

static void
undo_init_step (struct daemon *daemon, unsigned step)
{
  switch (step)
    {
    case STEP_TABLES:
      finish_tables (daemon);
      break;
    case STEP_MEMBERS:
      member_finish (&daemon->members);
      break;
    case STEP_PEERS:
      peer_finish (&daemon->peers);
      break;
    case STEP_CONTROL:
      controller_finish (&daemon->controller);
      prober_finish (&daemon->prober);
      platform_finish (&daemon->platform);
      config_finish (&daemon->config);
      break;
    case STEP_GATEWAY:
      gateway_finish (&daemon->gateway);
      claimio_finish (&daemon->claimio);
      strike_broadcast_finish (&daemon->strike_broadcast);
      claim_cleanup_finish (&daemon->claim_cleanup);
      break;
    case STEP_ADMIN:
      evhttp_free (daemon->admin);
      break;
    default:
      event_free (daemon->tick_event);
      event_free (daemon->sigterm_event);
      event_free (daemon->sigint_event);
      event_free (daemon->sighup_event);
      break;
    }
}

/*
 * A short request changes the events of its two sockets about ten times.  With
 * the change list, only the net changes before each wait become system calls.
 * The list requires that no descriptor is duplicated, and none is here.
 */
static struct event_base *
create_event_base (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base = NULL;

  if (config == NULL)
    return NULL;
  if (event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST) == 0)
    base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

enum result
daemon_init (struct daemon *daemon,
             const struct settings *settings,
             const char *settings_path)
{
  enum result result = RESULT_OK;

  memset (daemon, 0, sizeof *daemon);
  daemon->settings = *settings;
  daemon->settings_path = settings_path;
  daemon->now_ms = time_boot_ms ();
  daemon->last_accounting_ms = daemon->now_ms;
  uuid_generate (daemon->boot_id);
  daemon->base = create_event_base ();
  if (daemon->base == NULL)
    return RESULT_NO_MEMORY;
  for (unsigned step = 0; step < STEP_COUNT; step++)
    {
      result = run_init_step (daemon, step);
      if (result != RESULT_OK)
        {
          LOG_EVENT (LOG_LEVEL_ERROR, "start-failed", LOG_U64 ("step", step),
                     LOG_INT ("code", result),
                     LOG_STR ("reason", result_info (result)->text));
          daemon_finish (daemon);
          return result;
        }
      daemon->init_steps_done = step + 1;
    }
  log_set_observer (on_log_line, daemon);
  LOG_EVENT (LOG_LEVEL_NOTICE, "started",
             LOG_STR ("entry_host", daemon->members.self.host),
             LOG_STR ("data_centre", daemon->members.self.data_centre),
             LOG_U64 ("callers_port", daemon->gateway.port),
             LOG_U64 ("admin_port", daemon->admin_port),
             LOG_U64 ("peers_port", daemon->members.self.port),
             LOG_STR ("version", WAXWINGLINK_VERSION));
  return RESULT_OK;
}

void
daemon_run (struct daemon *daemon)
{
  event_base_dispatch (daemon->base);
}

void
daemon_finish (struct daemon *daemon)
{
  log_set_observer (NULL, NULL);
  while (daemon->init_steps_done > 0)
    undo_init_step (daemon, --daemon->init_steps_done);
  event_base_free (daemon->base);
}
