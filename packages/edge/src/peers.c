#include "edge.h"
#include "hash.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

/*
 * What another host says of a leaving endpoint holds this long; it is repeated
 * with the loads, every 0.2 s at most.
 */
#define LEAVING_HEARD_MS 1000

static void
on_loads (void *context, const struct gossip_load *list, unsigned count)
{
  struct edge *edge = context;

  lanes_forget_peers (&edge->relay.lanes);
  for (unsigned i = 0; i < count; i++)
    {
      const struct gossip_load *load = &list[i];
      struct lane *lane = lanes_find_hash (&edge->relay.lanes, load->endpoint);

      if (lane == NULL)
        continue;
      lane->peer_running = load->running;
      lane->peer_reading = load->reading;
      if (load->silent_ms != GOSSIP_NEVER_MS)
        lane->peer_progress_ms = edge->mesh.now_ms - (int64_t)load->silent_ms;
      if (load->leaves)
        balance_note_peer_leaving (lane, edge->mesh.now_ms + LEAVING_HEARD_MS);
      if (load->stands_still)
        {
          relay_note_peer_stall (&edge->relay, lane);
          leader_suspect (&edge->leader, lane->id);
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
    edge_take_patch (edge, &message->body.patch);
  else
    vouch_take (&edge->vouch, from, message, edge->mesh.now_ms);
}

static void
on_lease (void *context, const struct lease_value *value, uint64_t version)
{
  struct edge *edge = context;

  leader_take_lease (&edge->leader, value, version, edge->mesh.now_ms);
}

static void
on_own_stall (void *context, struct lane *lane)
{
  struct edge *edge = context;

  leader_suspect (&edge->leader, lane->id);
}

static int64_t
own_configuration (void *context)
{
  const struct edge *edge = context;

  return relay_catalog_version (&edge->relay);
}

static bool
own_knowledge (void *context, struct vouch_knowledge *knowledge)
{
  const struct edge *edge = context;

  knowledge->configuration_ms = edge->configuration.proof_ms;
  knowledge->entries_ms = edge->entries.proof_ms;
  knowledge->revision = edge->entries.revision;
  /* What its own hub kept up to date serves as well as a list of its own. */
  return edge->direct && edge_knows_endpoints (edge)
         && edge->entries.state == FOLLOWER_WATCHING
         && edge->entries.failing_since_ms == 0
         && edge->configuration.failing_since_ms == 0;
}

static bool
hand_over (void *context, struct mesh_host *to, int64_t from)
{
  struct edge *edge = context;
  struct gossip_message *message = &edge->mesh.message;
  unsigned pieces = 0;

  while (handover_piece (&edge->handover, from, pieces, &message->body.patch))
    {
      message->kind = GOSSIP_PATCH;
      mesh_send (&edge->mesh, to, message);
      pieces++;
    }
  return pieces > 0;
}

enum result
edge_peers_init (struct edge *edge)
{
  const struct edge_settings *settings = &edge->settings;
  const struct mesh_hooks mesh_hooks = { edge, on_loads, on_message, on_lease };
  const struct vouch_hooks vouch_hooks
      = { edge, own_configuration, own_knowledge, hand_over };
  struct gossip_host self = {
    .port = (uint16_t)settings->peers_port,
    .capacity = (uint32_t)(settings->host_cores * 1000),
  };
  enum result result;

  snprintf (self.name, sizeof self.name, "%.63s", settings->host);
  snprintf (self.data_centre, sizeof self.data_centre, "%.63s",
            settings->data_centre);
  snprintf (self.address, sizeof self.address, "%.15s",
            settings->peers_address);
  edge->relay.stalled = on_own_stall;
  edge->relay.stalled_context = edge;
  result = mesh_init (&edge->mesh, edge->base, &edge->records, &mesh_hooks,
                      &self, hash_string (edge->boot_id, 0));
  if (result != RESULT_OK)
    return result;
  for (size_t i = 0; i < settings->peers_seeds.count; i++)
    mesh_add_seed (&edge->mesh, settings->peers_seeds.items[i]);
  vouch_init (&edge->vouch, &edge->mesh, &edge->endpoints, &vouch_hooks,
              edge_vouch_limit_ms (settings));
  return RESULT_OK;
}

/* What this host has running, for its hub. */
static void
collect_loads (void *context, struct mesh_loads *own)
{
  const struct edge *edge = context;
  int64_t now_ms = edge->now_ms;

  own->count = 0;
  for (const struct lane *lane = edge->relay.lanes.table;
       lane != NULL && own->count < MESH_LOAD_LIMIT; lane = lane->hh.next)
    {
      int64_t silent_ms = now_ms - lane->progress_ms;
      bool still = lane->stalled_ms > now_ms;

      bool leaves = balance_is_leaving (lane) && lane->endpoint != NULL;

      if (lane->running == 0 && !still && !leaves)
        continue;
      own->list[own->count++] = (struct gossip_load){
        .endpoint = lane->hash,
        .running = lane->running,
        .reading = (uint32_t)lane->reading,
        .silent_ms = lane->progress_ms != 0 && silent_ms < GOSSIP_NEVER_MS
                         ? (uint32_t)silent_ms
                         : GOSSIP_NEVER_MS,
        .stands_still = still,
        .leaves = leaves,
      };
    }
}

void
edge_peers_tick (struct edge *edge)
{
  if (edge->leader.lease.version != 0)
    mesh_set_lease (&edge->mesh, &edge->leader.lease.value,
                    edge->leader.lease.version);
  edge->relay.lanes.age_ms = mesh_load_age_ms (&edge->mesh);
  mesh_tick (&edge->mesh, edge->relay.saw_request, collect_loads, edge,
             edge->now_ms);
}
