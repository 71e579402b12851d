#include "edge.h"
#include "hash.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

/*
 * An endpoint that another host reports as leaving counts as leaving for this
 * long.  The report is repeated with the loads, at least every 0.2 s.
 */
#define PEER_LEAVING_HOLD_MS 1000

/* Takes over the request limit that other hosts report. */
static void
note_peer_limit (struct edge *edge,
                 struct endpoint_load *load,
                 const struct gossip_load *peer_load)
{
  int64_t now_ms = edge->mesh.now_ms;
  const struct request_limit_report report = {
    .per_s = peer_load->limit_per_1000_s / 1000.0,
    .stated_ms = now_ms - (int64_t)peer_load->limit_age_ms,
    .sent = peer_load->sent_millionths / 1e6,
    .wanted = peer_load->wanted_millionths / 1e6,
  };

  if (request_limit_note_peers (&load->request_limit, &report, now_ms))
    LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-limit-heard",
               LOG_STR ("endpoint", load->id),
               LOG_U64 ("limit_per_1000_s", peer_load->limit_per_1000_s),
               LOG_U64 ("age_ms", peer_load->limit_age_ms));
}

static void
on_loads (void *context, const struct gossip_load *list, unsigned count)
{
  struct edge *edge = context;

  load_table_clear_peers (&edge->relay.loads);
  edge->relay.loads.fleet.live_hosts = edge->mesh.live_hosts;
  edge->relay.loads.fleet.reported_ms = edge->mesh.now_ms;
  for (unsigned i = 0; i < count; i++)
    {
      const struct gossip_load *peer_load = &list[i];
      struct endpoint_load *load
          = load_table_find_hash (&edge->relay.loads, peer_load->endpoint);

      if (load == NULL)
        continue;
      load->peer_running = peer_load->running;
      load->peer_prefill_tokens = peer_load->prefill_tokens;
      if (peer_load->inactive_ms != GOSSIP_NEVER_MS)
        load->peer_progress_ms
            = edge->mesh.now_ms - (int64_t)peer_load->inactive_ms;
      if (peer_load->is_leaving)
        balance_note_peer_leaving (load,
                                   edge->mesh.now_ms + PEER_LEAVING_HOLD_MS);
      if (peer_load->has_limit)
        note_peer_limit (edge, load, peer_load);
      if (peer_load->is_stalled)
        {
          relay_note_peer_stall (&edge->relay, load);
          leader_suspect_group (&edge->leader, load->id);
        }
    }
}

static void
on_message (void *context,
            struct mesh_host *from,
            const struct gossip_message *message)
{
  struct edge *edge = context;

  if (message->kind == GOSSIP_PATCH)
    edge_handle_patch (edge, &message->body.patch);
  else if (message->kind == GOSSIP_EVACUATIONS)
    evacuation_sync_handle_message (
        &edge->evacuation_sync, &message->body.evacuations, edge->mesh.now_ms);
  else if (message->kind == GOSSIP_COLD)
    cold_sync_handle_message (&edge->cold_sync, &message->body.cold,
                              edge->mesh.now_ms);
  else if (message->kind == GOSSIP_STRIKES)
    strike_sync_handle_message (&edge->strike_sync, from,
                                &message->body.strikes, edge->mesh.now_ms);
  else
    hub_sync_handle_message (&edge->hub_sync, from, message, edge->mesh.now_ms);
}

static void
on_host_started (void *context)
{
  struct edge *edge = context;

  strike_sync_host_started (&edge->strike_sync);
  evacuation_sync_host_started (&edge->evacuation_sync);
}

static void
on_lease (void *context, const struct lease_value *value, uint64_t version)
{
  struct edge *edge = context;

  leader_observe_lease (&edge->leader, value, version, edge->mesh.now_ms);
}

static void
on_endpoint_stalled (void *context, struct endpoint_load *load)
{
  struct edge *edge = context;

  leader_suspect_group (&edge->leader, load->id);
}

static int64_t
get_configuration_version (void *context)
{
  const struct edge *edge = context;

  return relay_catalog_version (&edge->relay);
}

static bool
get_own_freshness (void *context, struct hub_sync_freshness *freshness)
{
  const struct edge *edge = context;

  freshness->configuration_current_at_ms = edge->configuration.current_at_ms;
  freshness->entries_current_at_ms = edge->entries.current_at_ms;
  freshness->revision = edge->entries.revision;
  /* Entries kept current by this host's hub are as good as its own list. */
  return edge->reads_platform && edge_knows_endpoints (edge)
         && !edge->relay.is_catalog_outdated
         && edge->entries.state == FOLLOWER_WATCHING
         && edge->entries.failing_since_ms == 0
         && edge->configuration.failing_since_ms == 0;
}

static bool
send_patch (void *context, struct mesh_host *to, int64_t from)
{
  struct edge *edge = context;
  struct gossip_message *message = &edge->mesh.message;
  unsigned chunks = 0;

  while (config_distribution_get_chunk (&edge->distribution, from, chunks,
                                        &message->body.patch))
    {
      message->kind = GOSSIP_PATCH;
      mesh_send (&edge->mesh, to, message);
      chunks++;
    }
  return chunks > 0;
}

enum result
edge_peers_init (struct edge *edge)
{
  const struct edge_settings *settings = &edge->settings;
  const struct mesh_hooks mesh_hooks
      = { edge, on_loads, on_message, on_host_started, on_lease };
  const struct hub_sync_hooks hub_sync_hooks
      = { edge, get_configuration_version, get_own_freshness, send_patch };
  struct gossip_host self = {
    .port = (uint16_t)settings->peers_port,
    .capacity = (uint32_t)(settings->host_cores * 1000),
  };
  enum result result;

  if (strlen (settings->host) >= sizeof self.name
      || strlen (settings->data_centre) >= sizeof self.data_centre)
    return RESULT_SETTINGS_BAD_VALUE;
  memcpy (self.name, settings->host, strlen (settings->host) + 1);
  memcpy (self.data_centre, settings->data_centre,
          strlen (settings->data_centre) + 1);
  snprintf (self.address, sizeof self.address, "%.15s",
            settings->peers_address);
  edge->relay.on_stall = on_endpoint_stalled;
  edge->relay.stall_context = edge;
  result = mesh_init (&edge->mesh, edge->base, &edge->records, &mesh_hooks,
                      &self, hash_string (edge->boot_id, 0));
  if (result != RESULT_OK)
    return result;
  for (size_t i = 0; i < settings->peers_seeds.count; i++)
    mesh_add_seed (&edge->mesh, settings->peers_seeds.items[i]);
  hub_sync_init (&edge->hub_sync, &edge->mesh, &edge->endpoints,
                 &hub_sync_hooks, edge_freshness_limit_ms (settings));
  strike_sync_init (&edge->strike_sync, &edge->mesh, &edge->relay.strikes);
  evacuation_sync_init (&edge->evacuation_sync, &edge->mesh, &edge->records,
                        &edge->settings.data_centres,
                        settings->evacuation_complete_ms);
  cold_sync_init (&edge->cold_sync, &edge->mesh, &edge->endpoints);
  edge->relay.loads.cold_bound
      = (struct cold_bound){ settings->cold_over, settings->cold_slack, 0 };
  edge->relay.loads.evacuations = &edge->evacuation_sync.table;
  edge->leader.evacuations = &edge->evacuation_sync.table;
  return RESULT_OK;
}

/* Converts a count to millionths. */
static uint32_t
to_millionths (double count)
{
  return count < UINT32_MAX / 1e6 ? (uint32_t)(count * 1e6) : UINT32_MAX;
}

static void
add_request_limit (struct gossip_load *entry,
                   const struct request_limit_report *report,
                   int64_t now_ms)
{
  double per_1000_s = report->per_s * 1000;

  entry->has_limit = true;
  entry->limit_per_1000_s
      = per_1000_s < UINT32_MAX ? (uint32_t)per_1000_s : UINT32_MAX;
  entry->limit_age_ms = (uint32_t)(now_ms - report->stated_ms);
  entry->sent_millionths = to_millionths (report->sent);
  entry->wanted_millionths = to_millionths (report->wanted);
}

/* Fills in the loads of this host, for its hub. */
static void
collect_loads (void *context, struct mesh_loads *own)
{
  const struct edge *edge = context;
  int64_t now_ms = edge->now_ms;

  own->count = 0;
  for (const struct endpoint_load *load = edge->relay.loads.table;
       load != NULL && own->count < MESH_LOAD_LIMIT; load = load->hh.next)
    {
      int64_t inactive_ms = now_ms - load->progress_ms;
      bool is_stalled = load->stall_reported_until_ms > now_ms;

      bool is_leaving = balance_is_leaving (load) && load->endpoint != NULL;
      struct request_limit_report limit;
      bool has_limit
          = request_limit_get_report (&load->request_limit, &limit, now_ms);
      struct gossip_load *entry;

      if (load->running == 0 && !is_stalled && !is_leaving && !has_limit)
        continue;
      entry = &own->list[own->count++];
      *entry = (struct gossip_load){
        .endpoint = load->hash,
        .running = load->running,
        .prefill_tokens = (uint32_t)load->prefill_tokens,
        .inactive_ms = load->progress_ms != 0 && inactive_ms < GOSSIP_NEVER_MS
                           ? (uint32_t)inactive_ms
                           : GOSSIP_NEVER_MS,
        .is_stalled = is_stalled,
        .is_leaving = is_leaving,
      };
      if (has_limit)
        add_request_limit (entry, &limit, now_ms);
    }
}

void
edge_peers_tick (struct edge *edge)
{
  if (edge->leader.lease.version != 0)
    mesh_set_lease (&edge->mesh, &edge->leader.lease.value,
                    edge->leader.lease.version);
  edge->relay.loads.fleet.report_age_ms = mesh_load_age_ms (&edge->mesh);
  edge->relay.loads.fleet.known_hosts = mesh_known_hosts (&edge->mesh);
  edge->relay.loads.cold_bound.hosts = edge_count_possible_hosts (edge);
  mesh_tick (&edge->mesh, edge->relay.has_received_request, collect_loads, edge,
             edge->now_ms);
  strike_sync_tick (&edge->strike_sync, edge->now_ms);
}
