#include "configuration-state.h"
#include "edge.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/* Least time between two calls for the configuration. */
#define CONFIGURATION_INTERVAL_MS 20
/* Longest wait of a watch of the endpoints. */
#define ENTRIES_WAIT_MS 500
/* Interval of the reads of the endpoints while orders take effect. */
#define ENTRIES_BUSY_INTERVAL_MS 200
/* Timeout of a read of the configuration, and least time between two. */
#define FETCH_TIMEOUT_MS 1200
#define FETCH_INTERVAL_MS 600
/*
 * A host whose hub is no longer current starts to read the platform this long
 * before changes must be in force: time for a list of several pages and a
 * watch.
 */
#define FRESHNESS_MARGIN_MS 400
/* A newly started host waits this long for the responses of a hub. */
#define HUB_WAIT_AT_START_MS 1500
/*
 * Entries that differ from a hub's are listed again this long before a change
 * must be in force; a list takes up to 0.2 s.
 */
#define DIFFERS_MARGIN_MS 500
/*
 * Longest retry intervals during a platform outage.  Other hosts learn from the
 * readers that it has ended, so they retry less often.
 */
#define READER_RETRY_MS 800
#define OTHER_RETRY_MS 3200
/*
 * A host waits this long for a patch that a hub reported as sent: time for
 * another request if a datagram is lost.
 */
#define PATCH_WAIT_MS 250
/*
 * While reads of both the configuration and the endpoints fail, the endpoints
 * are retried this many times less often than the configuration.
 */
#define ENTRIES_RETRY_FACTOR 4
/* A host reads the platform for this long after a request of another host. */
#define SERVE_AFTER_REQUEST_MS 2000

/* Logs when requests begin, or cease, to be refused for the configuration. */
static void
set_outdated (struct edge *edge, bool is_outdated)
{
  if (is_outdated == edge->relay.is_catalog_outdated)
    return;
  edge->relay.is_catalog_outdated = is_outdated;
  LOG_EVENT (is_outdated ? LOG_LEVEL_WARNING : LOG_LEVEL_NOTICE,
             is_outdated ? "configuration-outdated" : "configuration-regained",
             LOG_INT ("version", relay_catalog_version (&edge->relay)),
             LOG_INT ("newest", edge->hub_sync.newest_configuration),
             LOG_INT ("proof_age_ms",
                      edge->now_ms - edge->relay.catalog_current_at_ms));
}

/*
 * Notes the first configuration.  It may be that of a copy from which the store
 * was restored, and is not in force before that is known.
 */
static void
note_first (struct edge *edge, const struct catalog *catalog)
{
  edge->first_version = catalog->version;
  if (edge->records.era <= RECORDS_FIRST_ERA)
    return;
  edge->copy_read_ms = edge->now_ms;
  set_outdated (edge, true);
}

/*
 * Puts a configuration in force and keeps its text for other hosts; text is
 * NULL if memory is short.
 */
static void
set_configuration (struct edge *edge,
                   const json_t *value,
                   uint64_t revision,
                   char *text,
                   size_t size)
{
  struct catalog *catalog;
  enum result result = edge->adapter->decode_catalog (value, &catalog);

  if (result != RESULT_OK)
    {
      LOG_EVENT (LOG_LEVEL_ERROR, "configuration-refused",
                 LOG_INT ("code", result), LOG_U64 ("revision", revision));
      free (text);
      return;
    }
  if (edge->relay.catalog == NULL)
    note_first (edge, catalog);
  edge->distribution.serves_other_hosts = mesh_is_hub (&edge->mesh);
  if (text != NULL)
    config_distribution_add (&edge->distribution, catalog->version, revision,
                             text, size);
  relay_set_catalog (&edge->relay, catalog);
}

static void
on_configuration (void *context, const struct records_record *record)
{
  struct edge *edge = context;
  char *text;

  if (record->deleted
      || strcmp (record->name, edge->adapter->configuration_name) != 0)
    return;
  text = json_dumps (record->value, JSON_COMPACT);
  if (text == NULL)
    LOG_EVENT (LOG_LEVEL_WARNING, "configuration-not-kept",
               LOG_U64 ("revision", record->revision));
  set_configuration (edge, record->value, record->revision, text,
                     text != NULL ? strlen (text) : 0);
}

void
edge_handle_patch (struct edge *edge, const struct gossip_patch *chunk)
{
  int64_t old_version = relay_catalog_version (&edge->relay);
  json_t *value;
  char *text;
  size_t size;

  if (chunk->from != old_version
      || config_distribution_receive_chunk (&edge->distribution, chunk, &text,
                                            &size)
             != RESULT_OK
      || text == NULL)
    return;
  value = json_loadb (text, size, 0, NULL);
  set_configuration (edge, value, chunk->revision, text, size);
  json_decref (value);
  /* If this host becomes a reader, it continues at this revision. */
  if (relay_catalog_version (&edge->relay) > old_version
      && !edge->reads_platform)
    follower_resume (&edge->configuration, chunk->revision,
                     edge->configuration.current_at_ms);
}

static void
log_entry (const char *id,
           const struct endpoint_report *report,
           uint64_t revision)
{
  LOG_EVENT (LOG_LEVEL_DEBUG, "endpoint", LOG_STR ("endpoint", id),
             LOG_STR ("service", report->service),
             LOG_STR ("domain", report->domain),
             LOG_STR ("model", report->model),
             LOG_STR ("staged", report->cached_models[0]),
             LOG_STR ("group", report->group), LOG_U64 ("epoch", report->epoch),
             LOG_U64 ("rank", report->rank),
             LOG_STR ("state", endpoint_group_state_name (report->state)),
             LOG_STR ("leaving", report->leaving ? "yes" : "no"),
             LOG_U64 ("revision", revision));
}

/*
 * The holder of the lease is the first to read changes in its data centre.  It
 * sends other hosts those that matter for routing at once: heads of groups, and
 * endpoints that leave.
 */
static void
announce_entry (struct edge *edge,
                const char *id,
                const struct endpoint_report *report)
{
  const struct endpoint *endpoint = endpoints_find (&edge->endpoints, id);

  if (endpoint != NULL && edge->leader.acting
      && strcmp (report->data_centre, edge->settings.data_centre) == 0
      && (report->leaving
          || (report->rank == 0 && report->state >= ENDPOINT_GROUP_OPEN)))
    hub_sync_announce (&edge->hub_sync, endpoint);
}

static void
on_entry (void *context, const struct records_record *record)
{
  struct edge *edge = context;
  struct endpoint_report report;
  enum result result;

  if (record->deleted)
    {
      LOG_EVENT (LOG_LEVEL_INFO, "endpoint-deleted",
                 LOG_STR ("endpoint", record->name),
                 LOG_U64 ("revision", record->revision));
      /*
       * The record has the revision of its last change before the deletion.
       * The same response may continue with the entry's re-creation.
       */
      endpoints_delete (&edge->endpoints, record->name, record->revision,
                        edge->now_ms);
      return;
    }
  result = edge->adapter->decode_endpoint (record->value, &report);
  if (result == RESULT_OK)
    result = endpoints_report (&edge->endpoints, record->name, &report,
                               record->revision, edge->now_ms);
  if (result != RESULT_OK)
    {
      LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-entry-skipped",
                 LOG_STR ("endpoint", record->name), LOG_INT ("code", result),
                 LOG_STR ("reason", result_info (result)->text),
                 LOG_U64 ("revision", record->revision));
      /* It names no endpoint to use, whatever it said before. */
      endpoints_delete (&edge->endpoints, record->name, record->revision,
                        edge->now_ms);
      return;
    }
  log_entry (record->name, &report, record->revision);
  /* Other hosts learn first that it is cold, then that it serves. */
  if (report.cold_ms > 0)
    {
      cold_sync_note (&edge->cold_sync);
      cold_sync_tick (&edge->cold_sync, edge->reads_platform, edge->now_ms);
    }
  announce_entry (edge, record->name, &report);
}

void
edge_note_hub_deletions (struct edge *edge)
{
  if (edge->hub_sync.has_deleted)
    {
      edge->knows_all_endpoints = false;
      edge->list_is_whole = false;
    }
  edge->hub_sync.has_deleted = false;
}

static void
on_entries_list_begin (void *context)
{
  struct edge *edge = context;

  if (edge->entries_era != 0 && edge->entries_era != edge->records.era)
    endpoints_note_restore (&edge->endpoints, edge->now_ms);
  edge->entries_era = edge->records.era;
  edge->hub_sync.has_deleted = false;
  edge->list_is_whole = edge->reads_platform;
  endpoints_relist_begin (&edge->endpoints);
}

static void
on_entries_list_end (void *context)
{
  struct edge *edge = context;

  endpoints_relist_end (&edge->endpoints, edge->entries.revision, edge->now_ms);
  edge_note_hub_deletions (edge);
  edge->knows_all_endpoints = edge->reads_platform && edge->list_is_whole;
  edge->relisting = false;
}

static void
on_entries_recovered (void *context, int64_t outage_ms)
{
  struct edge *edge = context;

  (void)outage_ms;
  endpoints_hold_deletions (&edge->endpoints, edge->now_ms);
}

static void
on_configuration_recovered (void *context, int64_t outage_ms)
{
  struct edge *edge = context;

  (void)outage_ms;
  /* The outage has ended, also for reads of the endpoints. */
  if (edge->entries.failing_since_ms != 0)
    edge->entries.next_call_ms = edge->now_ms;
}

void
edge_follow_init (struct edge *edge)
{
  const struct follower_hooks configuration = {
    .context = edge,
    .record = on_configuration,
    .recovered = on_configuration_recovered,
  };
  const struct follower_hooks entries = {
    .context = edge,
    .record = on_entry,
    .list_begin = on_entries_list_begin,
    .list_end = on_entries_list_end,
    .recovered = on_entries_recovered,
  };

  follower_init (&edge->configuration, &edge->records, RECORDS_CONFIGURATION,
                 "configuration", &configuration,
                 edge_configuration_wait_ms (&edge->settings),
                 CONFIGURATION_INTERVAL_MS);
  /* What cannot be read may take keys away. */
  edge->configuration.needs_values = true;
  follower_init (&edge->entries, &edge->records, RECORDS_ENDPOINTS, "endpoints",
                 &entries, ENTRIES_WAIT_MS,
                 edge_entries_interval_ms (&edge->settings));
  strike_record_init (&edge->strike_record, &edge->records,
                      &edge->relay.strikes, edge->settings.data_centre);
}

static void
on_fetched (void *context, const struct records_response *response)
{
  struct edge *edge = context;

  edge->fetching = false;
  if (response->result != RESULT_OK || response->record == NULL
      || json_is_null (response->record->value))
    return;
  on_configuration (edge, response->record);
  if (edge->fetch_sent_ms > edge->hub_sync.configuration_current_at_ms)
    edge->hub_sync.configuration_current_at_ms = edge->fetch_sent_ms;
  /* If this host becomes a reader, it continues here without another read. */
  if (!edge->reads_platform || edge->configuration.state == FOLLOWER_LISTING
      || edge->configuration.unusable_responses > 0)
    follower_resume (&edge->configuration, response->revision,
                     edge->fetch_sent_ms);
}

/*
 * Reads the configuration once: at the start, when no hub is known yet, after a
 * hub reported a newer version, and while responses with more than this record
 * cannot be used.
 */
static void
fetch_configuration (struct edge *edge)
{
  const struct records_request request = {
    .verb = RECORDS_READ,
    .kind = RECORDS_CONFIGURATION,
    .name = edge->adapter->configuration_name,
  };

  if (edge->fetching || edge->now_ms < edge->next_fetch_ms)
    return;
  edge->fetching = true;
  edge->fetch_sent_ms = edge->now_ms;
  edge->next_fetch_ms = edge->now_ms + FETCH_INTERVAL_MS;
  records_call (&edge->records, &request, FETCH_TIMEOUT_MS, on_fetched, edge);
}

int64_t
edge_endpoints_current_at_ms (const struct edge *edge)
{
  return edge->entries.current_at_ms > edge->hub_sync.entries_current_at_ms
             ? edge->entries.current_at_ms
             : edge->hub_sync.entries_current_at_ms;
}

bool
edge_is_candidate (const struct edge *edge)
{
  if (!mesh_is_settled (&edge->mesh))
    return false;
  return mesh_is_hub (&edge->mesh)
         || (edge->reads_platform && edge->configuration.failing_since_ms == 0
             && edge->entries.failing_since_ms == 0
             && edge->entries.state == FOLLOWER_WATCHING);
}

static bool
has_to_relist (const struct edge *edge)
{
  return edge->hub_sync.differs_since_ms != 0
         && edge->now_ms - edge->hub_sync.differs_since_ms
                > edge->settings.endpoints_leave_ms - DIFFERS_MARGIN_MS;
}

/* True if this host has to read the platform itself. */
static bool
has_to_read_platform (const struct edge *edge)
{
  const struct hub_sync *sync = &edge->hub_sync;
  const struct edge_settings *settings = &edge->settings;

  if (edge->leader.acting)
    return true;
  if (!mesh_is_settled (&edge->mesh))
    return false;
  /* A list that was started because entries differ is read to its end. */
  if (mesh_is_reader (&edge->mesh) || edge->relisting
      || edge->now_ms - sync->last_request_received_ms < SERVE_AFTER_REQUEST_MS)
    return true;
  if (edge->now_ms - edge->mesh.started_ms < HUB_WAIT_AT_START_MS)
    return false;
  return edge->now_ms - edge->relay.catalog_current_at_ms
             > settings->configuration_in_force_ms - FRESHNESS_MARGIN_MS
         || edge->now_ms - edge_endpoints_current_at_ms (edge)
                > settings->endpoints_leave_ms - FRESHNESS_MARGIN_MS
         || has_to_relist (edge);
}

void
edge_set_reads_platform (struct edge *edge, bool must_read)
{
  struct follower *entries = &edge->entries;

  if (must_read == edge->reads_platform)
    return;
  edge->reads_platform = must_read;
  LOG_EVENT (LOG_LEVEL_INFO, must_read ? "reads-platform" : "relies-on-hub",
             LOG_INT ("proof_age_ms",
                      edge->now_ms - edge->relay.catalog_current_at_ms),
             LOG_INT ("entries_age_ms",
                      edge->now_ms - edge_endpoints_current_at_ms (edge)),
             LOG_INT ("differs_ms",
                      edge->hub_sync.differs_since_ms != 0
                          ? edge->now_ms - edge->hub_sync.differs_since_ms
                          : 0),
             LOG_U64 ("revision", edge->hub_sync.synced_revision));
  if (!must_read)
    {
      /* From now on only routed endpoints are kept up to date. */
      edge->knows_all_endpoints = false;
      edge->list_is_whole = false;
      return;
    }
  /* Continues from the revision that this host has synced from its hub. */
  if (edge->hub_sync.has_synced
      && edge->hub_sync.synced_revision > entries->revision)
    follower_resume (entries, edge->hub_sync.synced_revision,
                     edge->hub_sync.entries_current_at_ms);
  if (has_to_relist (edge))
    {
      follower_relist (entries);
      edge->relisting = true;
      edge->hub_sync.differs_since_ms = 0;
    }
}

/* Lists all endpoints if this host holds the lease and lacks some. */
static void
relist_all_endpoints (struct edge *edge)
{
  if (!edge->leader.acting || edge->knows_all_endpoints
      || edge->entries.state == FOLLOWER_LISTING)
    return;
  follower_relist (&edge->entries);
}

/* Only a lease holder that waits for the effect of orders reads often. */
static void
update_entries_interval (struct edge *edge)
{
  bool waits_for_orders = edge->leader.acting && !edge->leader.is_paused
                          && !formation_is_settled (&edge->leader.formation);

  follower_set_call_interval (&edge->entries,
                              waits_for_orders
                                  ? ENTRIES_BUSY_INTERVAL_MS
                                  : edge_entries_interval_ms (&edge->settings));
}

static bool
can_read_entries (const struct edge *edge, int64_t retry_ms)
{
  return edge->configuration.failing_since_ms == 0
         || edge->entries.failing_since_ms == 0
         || edge->now_ms - edge->entries.sent_ms
                >= ENTRIES_RETRY_FACTOR * retry_ms;
}

/* True if the first configuration was not that of an old copy. */
static bool
is_confirmed (const struct edge *edge)
{
  return edge->hub_sync.is_confirmed
         || relay_catalog_version (&edge->relay) > edge->first_version;
}

/* Acts on a configuration that may not be the newest. */
static void
update_configuration_state (struct edge *edge)
{
  const struct hub_sync *sync = &edge->hub_sync;
  const struct configuration_facts facts = {
    .now_ms = edge->now_ms,
    .in_force_ms = edge->settings.configuration_in_force_ms,
    .reads_platform = edge->reads_platform,
    .own_version = relay_catalog_version (&edge->relay),
    .newest_version = sync->newest_configuration,
    .is_patch_awaited
    = sync->is_patch_sent
      && edge->now_ms - sync->outdated_since_ms <= PATCH_WAIT_MS,
    .newer_since_ms = sync->newer_since_ms,
    .newer_at_ms = sync->newer_at_ms,
    .unusable_since_ms = edge->configuration.unusable_since_ms,
    .copy_read_ms = edge->copy_read_ms,
    .is_confirmed = is_confirmed (edge),
    .missed_since_ms = edge->configuration.missed_since_ms,
  };
  const struct configuration_action action = configuration_decide (&facts);

  set_outdated (edge, action.is_outdated);
  if (action.reads_record)
    fetch_configuration (edge);
}

void
edge_follow_tick (struct edge *edge)
{
  int64_t retry_ms = mesh_is_reader (&edge->mesh) || edge->leader.acting
                         ? READER_RETRY_MS
                         : OTHER_RETRY_MS;

  edge->configuration.retry_delay_limit_ms = retry_ms;
  edge->entries.retry_delay_limit_ms = retry_ms;
  if (edge->entries.failing_since_ms != 0)
    edge->relisting = false;
  edge_note_hub_deletions (edge);
  edge_set_reads_platform (edge, has_to_read_platform (edge));
  relist_all_endpoints (edge);
  update_entries_interval (edge);
  if (edge->next_fetch_ms == 0)
    fetch_configuration (edge);
  if (edge->reads_platform)
    {
      /*
       * The first read of the configuration saves a list, so the follower waits
       * for it.  It does not wait for later ones, which may hang.
       */
      if (!edge->fetching || edge->relay.catalog != NULL)
        follower_tick (&edge->configuration, edge->now_ms);
      if (can_read_entries (edge, retry_ms))
        follower_tick (&edge->entries, edge->now_ms);
      if (edge->configuration.failing_since_ms == 0)
        strike_record_tick (&edge->strike_record, edge->now_ms);
    }
  update_configuration_state (edge);
  /*
   * A host that fails to read the platform still polls other hosts, and so does
   * one that started on a copy.
   */
  hub_sync_tick (&edge->hub_sync,
                 !edge->reads_platform || edge->relay.is_catalog_outdated
                     || edge->configuration.failing_since_ms != 0
                     || edge->entries.failing_since_ms != 0,
                 !edge->reads_platform || edge->entries.failing_since_ms != 0,
                 edge->now_ms);
  edge->relay.peers_can_serve = !edge->hub_sync.is_hub_stale;
  edge->relay.catalog_current_at_ms
      = edge->configuration.current_at_ms
                > edge->hub_sync.configuration_current_at_ms
            ? edge->configuration.current_at_ms
            : edge->hub_sync.configuration_current_at_ms;
}
