#include "edge.h"

#include "hash.h"
#include "log.h"
#include "netutil.h"
#include "retry-share.h"
#include "timeutil.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/*
 * A host whose configuration is no longer known to be current reports not ready
 * this long before it refuses keys: the platform stops sending it callers after
 * two checks a second apart.
 */
#define READY_MARGIN_MS 1000
/* A request is denied only if the configuration was current this recently. */
#define DENY_FRESHNESS_LIMIT_MS 2600
/* Share of the retry ratio that is used: windows differ between hosts. */
#define RETRY_RATIO_SHARE 0.8
#define MAX_COUNTERS 2000
/* Hosts that are assumed to exist while a host knows no other one. */
#define INITIAL_HOST_COUNT 400
/* A new host knows the hosts of the other data centres after this time. */
#define HOSTS_SETTLED_MS 5000
/* Interval of status lines. */
#define STATUS_INTERVAL_MS 10000

bool
edge_knows_endpoints (const struct edge *edge)
{
  return edge->entries.has_full_list || edge->hub_sync.has_synced;
}

bool
edge_is_ready (const struct edge *edge)
{
  return edge->phase == EDGE_RUNNING && !edge->relay.is_catalog_outdated
         && relay_has_fresh_keys (&edge->relay, READY_MARGIN_MS, edge->now_ms)
         && edge_knows_endpoints (edge)
         && evacuation_sync_is_ready (&edge->evacuation_sync);
}

unsigned
edge_count_possible_hosts (const struct edge *edge)
{
  const struct mesh *mesh = &edge->mesh;
  unsigned known = HASH_COUNT (mesh->hosts) + 1;
  unsigned count = mesh_known_hosts (mesh);
  unsigned estimate = mesh_count_local_hosts (mesh)
                      * (unsigned)edge->settings.data_centres.count;

  /* One that knows no other may be cut off, unless the store has no other. */
  if (known == 1 && !mesh->follower.has_full_list)
    return INITIAL_HOST_COUNT;
  if (known > count)
    count = known;
  if (edge->max_hosts_seen > count)
    count = edge->max_hosts_seen;
  /* A new host may have heard only of those in its own data centre. */
  if (known > 1 && estimate > count
      && edge->now_ms - mesh->started_ms < HOSTS_SETTLED_MS)
    count = estimate;
  return count;
}

/* Sets this host's share of the fleet's retry slack, and logs changes. */
static void
update_retry_slack (struct edge *edge)
{
  unsigned known = HASH_COUNT (edge->mesh.hosts) + 1;
  struct retry_share_view view = {
    .slack = (double)edge->settings.retry_slack,
    .window_ms = edge->settings.retry_window_s * 1000,
    .uptime_ms = edge->now_ms - edge->mesh.started_ms,
    .local_hosts = mesh_count_local_hosts (&edge->mesh),
    .data_centres = (unsigned)edge->settings.data_centres.count,
    .is_alone = known == 1 && edge->mesh.follower.has_full_list,
  };
  double share;

  /* Hosts that are cut off keep their shares, so the number never falls. */
  if (edge->mesh.live_hosts > edge->max_hosts_seen)
    edge->max_hosts_seen = edge->mesh.live_hosts;
  view.most_hosts = edge->max_hosts_seen;
  if (view.most_hosts > 1 && known > view.most_hosts)
    view.most_hosts = known;
  share = retry_share_compute (&view);
  if (share == edge->relay.budgets.slack)
    return;
  edge->relay.budgets.slack = share;
  LOG_EVENT (LOG_LEVEL_INFO, "retry-share",
             LOG_INT ("thousandths", (int64_t)(share * 1000)),
             LOG_U64 ("most_hosts", view.most_hosts),
             LOG_U64 ("local_hosts", view.local_hosts),
             LOG_INT ("uptime_ms", view.uptime_ms),
             LOG_STR ("alone", view.is_alone ? "yes" : "no"));
}

/* Logs when the platform starts or stops sending callers here, and why. */
static void
log_readiness_change (struct edge *edge)
{
  bool ready = edge_is_ready (edge);

  if (ready == edge->ready)
    return;
  edge->ready = ready;
  LOG_EVENT (
      LOG_LEVEL_NOTICE, ready ? "ready" : "not-ready",
      LOG_STR ("stopping", edge->phase != EDGE_RUNNING ? "yes" : "no"),
      LOG_INT ("configuration", relay_catalog_version (&edge->relay)),
      LOG_INT ("proof_age_ms",
               edge->now_ms - edge->relay.catalog_current_at_ms),
      LOG_STR ("knows_endpoints", edge_knows_endpoints (edge) ? "yes" : "no"),
      LOG_STR ("others_serve", edge->relay.peers_can_serve ? "yes" : "no"));
}

/* Which endpoints the table holds: hosts that rely on a hub need few. */
static const char *
get_known_endpoints (const struct edge *edge)
{
  if (edge->knows_all_endpoints)
    return "all";
  return edge_knows_endpoints (edge) ? "routed" : "none";
}

unsigned
edge_count_running (const struct edge *edge, uint64_t data_centre)
{
  unsigned running = 0;

  for (const struct endpoint_load *load = edge->relay.loads.table; load != NULL;
       load = load->hh.next)
    if (load->endpoint != NULL
        && hash_string (load->endpoint->report.data_centre, 0) == data_centre)
      running += load->running;
  return running;
}

unsigned
edge_count_cold (const struct edge *edge)
{
  unsigned count = 0;

  for (const struct endpoint *endpoint = edge->endpoints.table;
       endpoint != NULL; endpoint = endpoint->hh.next)
    if (endpoint->cold_until_ms > edge->now_ms)
      count++;
  return count;
}

/* One line for each data centre that is evacuated. */
static void
log_evacuations (const struct edge *edge)
{
  const struct evacuation_sync *sync = &edge->evacuation_sync;

  for (unsigned i = 0; i < sync->table.count; i++)
    {
      const struct evacuation *entry = &sync->table.list[i];
      char name[EVACUATION_NAME_SIZE];

      if (entry->ended_ms != 0)
        continue;
      evacuation_sync_format_name (sync, entry->data_centre, name);
      LOG_EVENT (
          LOG_LEVEL_INFO, "status-evacuation", LOG_STR ("data_centre", name),
          LOG_INT ("since_ms", edge->now_ms - entry->since_ms),
          LOG_STR ("stored", entry->is_stored ? "yes" : "no"),
          LOG_U64 ("running", edge_count_running (edge, entry->data_centre)),
          LOG_INT ("age_ms", edge->now_ms - sync->table.current_at_ms));
    }
}

/* Logs the state at intervals, so that the log alone shows it over time. */
static void
log_status (struct edge *edge)
{
  if (edge->now_ms < edge->next_status_ms)
    return;
  edge->next_status_ms = edge->now_ms + STATUS_INTERVAL_MS;
  log_evacuations (edge);
  LOG_EVENT (
      LOG_LEVEL_INFO, "status",
      LOG_STR ("reads_platform", edge->reads_platform ? "yes" : "no"),
      LOG_STR ("lease", edge->leader.acting ? "held" : "not-held"),
      LOG_INT ("configuration", relay_catalog_version (&edge->relay)),
      LOG_U64 ("endpoints", HASH_COUNT (edge->endpoints.table)),
      LOG_STR ("knows", get_known_endpoints (edge)),
      LOG_INT ("endpoints_age_ms",
               edge->now_ms - edge_endpoints_current_at_ms (edge)),
      LOG_U64 ("endpoints_revision", edge->entries.revision),
      LOG_U64 ("live_hosts", edge->mesh.live_hosts),
      LOG_U64 ("in_flight", relay_in_flight (&edge->relay)),
      LOG_U64 ("callers", edge->relay.caller_count),
      LOG_U64 ("memory_held", edge->relay.memory.total),
      LOG_U64 ("memory_peak", edge->relay.memory.peak),
      LOG_U64 ("cold_endpoints", edge_count_cold (edge)),
      LOG_U64 ("configuration_calls",
               edge->records.calls[RECORDS_CONFIGURATION]),
      LOG_U64 ("endpoint_calls", edge->records.calls[RECORDS_ENDPOINTS]),
      LOG_U64 ("lease_calls", edge->records.calls[RECORDS_LEASES]),
      LOG_U64 ("host_calls", edge->records.calls[RECORDS_HOSTS]),
      LOG_U64 ("strike_calls", edge->records.calls[RECORDS_STRIKES]),
      LOG_U64 ("evacuation_calls", edge->records.calls[RECORDS_EVACUATIONS]),
      LOG_U64 ("platform_failures", edge->records.failures));
}

static enum leader_role
find_leader_role (const struct edge *edge)
{
  if (mesh_is_reader (&edge->mesh))
    return LEADER_READER;
  return mesh_is_hub (&edge->mesh) ? LEADER_HUB : LEADER_OTHER;
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  struct edge *edge = context;

  (void)fd;
  (void)what;
  edge->now_ms = time_boot_ms ();
  records_tick (&edge->records, edge->now_ms);
  edge_peers_tick (edge);
  update_retry_slack (edge);
  edge_follow_tick (edge);
  evacuation_sync_tick (&edge->evacuation_sync, edge->now_ms);
  edge->endpoints.tracks_cold = edge->relay.catalog != NULL
                                && catalog_has_cold_times (edge->relay.catalog);
  cold_sync_tick (&edge->cold_sync, edge->reads_platform, edge->now_ms);
  endpoints_tick (&edge->endpoints, edge->now_ms);
  relay_tick (&edge->relay, edge->now_ms);
  leader_tick (&edge->leader, edge->relay.catalog, edge->mesh.has_traffic,
               edge_is_candidate (edge), find_leader_role (edge),
               edge->knows_all_endpoints ? edge->entries.current_at_ms
                                         : INT64_MIN,
               edge->now_ms);
  edge_stop_tick (edge);
  edge_reload_tick (edge);
  log_readiness_change (edge);
  log_status (edge);
}

static void
on_term (evutil_socket_t fd, short what, void *context)
{
  struct edge *edge = context;

  (void)fd;
  (void)what;
  edge->now_ms = time_boot_ms ();
  edge_stop (edge);
}

static void
on_endpoint_removed (void *context, struct endpoint *endpoint)
{
  struct edge *edge = context;

  /* Hosts that rely on this one know only routed endpoints. */
  if (endpoint->routed_revision != 0)
    hub_sync_add_tombstone (&edge->hub_sync, endpoint->id,
                            endpoint->deleted_revision > edge->entries.revision
                                ? endpoint->deleted_revision
                                : edge->entries.revision);
  relay_endpoint_removed (&edge->relay, endpoint);
}

static enum result
start_timers (struct edge *edge)
{
  const struct timeval interval = { 0, RELAY_TICK_INTERVAL_MS * 1000L };

  edge->tick_event = event_new (edge->base, -1, EV_PERSIST, on_tick, edge);
  edge->sigterm_event = evsignal_new (edge->base, SIGTERM, on_term, edge);
  if (edge->tick_event == NULL || edge->sigterm_event == NULL)
    return RESULT_NO_MEMORY;
  event_add (edge->tick_event, &interval);
  event_add (edge->sigterm_event, NULL);
  return edge_reload_init (edge);
}

static enum result
start_relay (struct edge *edge)
{
  const struct edge_settings *settings = &edge->settings;
  const struct relay_limits limits = {
    .key_freshness_limit_ms = edge_key_freshness_limit_ms (settings),
    .route_freshness_limit_ms = DENY_FRESHNESS_LIMIT_MS,
    .retry_ratio = settings->retry_ratio * RETRY_RATIO_SHARE,
    /* Set by update_retry_slack. */
    .retry_slack = 0,
    .retry_window_ms = settings->retry_window_s * 1000,
    .back_off_limit_ms = settings->endpoints_back_off_limit_s * 1000,
    .memory_bytes = (size_t)settings->memory_limit_mb << 20,
    .memory_tight_share = settings->memory_tight_share,
    .memory_full_share = settings->memory_full_share,
  };
  char address[SETTINGS_TEXT_SIZE];
  uint16_t port;
  enum result result;

  if (!net_parse_address (settings->callers_listen, address, sizeof address,
                          &port)
      || settings->memory_tight_share > settings->memory_full_share)
    return RESULT_SETTINGS_BAD_VALUE;
  result = relay_init (&edge->relay, edge->base, edge->adapter->header_names,
                       &limits, &edge->endpoints, &edge->counters,
                       settings->data_centre, hash_string (edge->boot_id, 0));
  if (result != RESULT_OK)
    return result;
  return relay_listen (&edge->relay, address, port);
}

static enum result
start_platform (struct edge *edge)
{
  const struct edge_settings *settings = &edge->settings;
  struct formation_settings formation = {
    .data_centre = settings->data_centre,
    .data_centres = (unsigned)settings->data_centres.count,
  };
  char address[SETTINGS_TEXT_SIZE];
  char self[LEASE_NAME_SIZE];
  uint16_t port;

  if (!net_parse_address (settings->platform_store, address, sizeof address,
                          &port))
    return RESULT_SETTINGS_BAD_VALUE;
  snprintf (self, sizeof self, "%.40s/%.20s", settings->host, edge->boot_id);
  records_init (&edge->records, edge->base, edge->adapter->records, address,
                port);
  config_distribution_init (&edge->distribution);
  edge_follow_init (edge);
  leader_init (&edge->leader, edge->base, edge->adapter, &edge->records,
               &edge->endpoints, &formation, self);
  return edge_peers_init (edge);
}

enum result
edge_init (struct edge *edge,
           const struct platform_adapter *adapter,
           const struct edge_settings *settings,
           const char *settings_path)
{
  enum result result;

  memset (edge, 0, sizeof *edge);
  edge->settings = *settings;
  edge->settings_path = settings_path;
  edge->adapter = adapter;
  edge->now_ms = time_boot_ms ();
  snprintf (edge->boot_id, sizeof edge->boot_id, "%016llx",
            (unsigned long long)hash_number (
                (uint64_t)time_wall_ms (),
                hash_string (settings->host, (uint64_t)edge->now_ms)));
  counter_set_init (&edge->counters, MAX_COUNTERS);
  endpoints_init (&edge->endpoints, on_endpoint_removed, edge);
  edge->base = event_base_new ();
  if (edge->base == NULL)
    return RESULT_NO_MEMORY;
  result = start_relay (edge);
  if (result == RESULT_OK)
    result = edge_readiness_init (edge);
  if (result == RESULT_OK)
    result = start_platform (edge);
  if (result == RESULT_OK)
    result = start_timers (edge);
  LOG_EVENT (LOG_LEVEL_NOTICE, "started", LOG_INT ("code", result),
             LOG_STR ("data_centre", settings->data_centre),
             LOG_STR ("boot_id", edge->boot_id));
  return result;
}

void
edge_run (struct edge *edge)
{
  event_base_dispatch (edge->base);
}

void
edge_finish (struct edge *edge)
{
  LOG_EVENT (LOG_LEVEL_NOTICE, "stopped",
             LOG_U64 ("in_flight", relay_in_flight (&edge->relay)));
  leader_finish (&edge->leader);
  mesh_finish (&edge->mesh);
  records_finish (&edge->records);
  relay_finish (&edge->relay);
  config_distribution_finish (&edge->distribution);
  endpoints_finish (&edge->endpoints);
  /* Last, since it notes each endpoint that is removed. */
  hub_sync_finish (&edge->hub_sync);
  follower_finish (&edge->configuration);
  follower_finish (&edge->entries);
  follower_finish (&edge->strike_record.follower);
  follower_finish (&edge->evacuation_sync.follower);
  if (edge->readiness != NULL)
    evhttp_free (edge->readiness);
  event_free (edge->tick_event);
  event_free (edge->sigterm_event);
  edge_reload_finish (edge);
  /* Runs the pending callbacks of http_free_later. */
  event_base_loop (edge->base, EVLOOP_NONBLOCK);
  event_base_free (edge->base);
  counter_set_finish (&edge->counters);
}
