#include "hub-sync.h"

#include "log.h"

#include <stdlib.h>
#include <string.h>

/* A host polls its hub this often. */
#define REQUEST_INTERVAL_MS 300
/* Requests without a response, in a row, before another hub is polled. */
#define UNANSWERED_REQUEST_LIMIT 2
/* Hubs that are polled in turn until one is current. */
#define HUB_CANDIDATES 3
/* The first hub is polled again after this time with another one. */
#define FIRST_HUB_RETRY_MS 4000
/*
 * If the entries differ from the hub's for this long, the routed endpoints are
 * compared, since a restarted hub cannot report changes before its start.
 */
#define COMPARE_DELAY_MS 250
#define COMPARE_INTERVAL_MS 300
/*
 * A hub that is asked next may not have the newest version yet; it has it after
 * the time in which a change has to be in force.
 */
#define NEWEST_VALID_MS 2000
/* Interval after a response that did not confirm this host's data. */
#define REQUEST_RETRY_MS 100

void
hub_sync_init (struct hub_sync *sync,
               struct mesh *mesh,
               struct endpoints *endpoints,
               const struct hub_sync_hooks *hooks,
               int64_t freshness_limit_ms)
{
  memset (sync, 0, sizeof *sync);
  sync->freshness_limit_ms = freshness_limit_ms;
  sync->mesh = mesh;
  sync->endpoints = endpoints;
  sync->hooks = *hooks;
  sync->configuration_current_at_ms = INT64_MIN / 2;
  sync->entries_current_at_ms = INT64_MIN / 2;
  /* No hub has responded yet: other hosts may not be current either. */
  sync->is_hub_stale = true;
}

void
hub_sync_finish (struct hub_sync *sync)
{
  routed_snapshot_finish (&sync->routed_snapshot);
  for (unsigned i = 0; i < HUB_SYNC_TOMBSTONES; i++)
    free (sync->tombstones[i].endpoint);
}

void
hub_sync_add_tombstone (struct hub_sync *sync,
                        const char *endpoint,
                        uint64_t revision)
{
  struct hub_sync_tombstone *tombstone
      = &sync->tombstones[sync->tombstones_added++ % HUB_SYNC_TOMBSTONES];

  free (tombstone->endpoint);
  tombstone->endpoint = strdup (endpoint);
  tombstone->revision = revision;
}

/* True if the endpoint was removed at this revision or a later one. */
static bool
has_tombstone (const struct hub_sync *sync,
               const char *endpoint,
               uint64_t revision)
{
  uint64_t count = sync->tombstones_added < HUB_SYNC_TOMBSTONES
                       ? sync->tombstones_added
                       : HUB_SYNC_TOMBSTONES;

  for (uint64_t i = 0; i < count; i++)
    if (sync->tombstones[i].revision >= revision
        && sync->tombstones[i].endpoint != NULL
        && strcmp (sync->tombstones[i].endpoint, endpoint) == 0)
      return true;
  return false;
}

static void
send_report (struct hub_sync *sync,
             struct mesh_host *to,
             const struct endpoint *endpoint)
{
  struct gossip_message *message = &sync->mesh->message;
  struct gossip_report *report = &message->body.report;

  message->kind = GOSSIP_REPORT;
  report->endpoint = endpoint->id;
  report->revision = endpoint->revision;
  report->report = endpoint->report;
  report->report.cold_ms
      = sync->endpoints->tracks_cold && endpoint->cold_until_ms > sync->now_ms
            ? endpoint->cold_until_ms - sync->now_ms
            : 0;
  mesh_send (sync->mesh, to, message);
}

void
hub_sync_announce (struct hub_sync *sync, const struct endpoint *endpoint)
{
  send_report (sync, NULL, endpoint);
}

/* Age for a message; data that was never current exceeds all limits. */
static uint32_t
compute_age_ms (int64_t current_at_ms, int64_t now_ms)
{
  int64_t age_ms = now_ms - current_at_ms;

  if (age_ms < 0)
    return 0;
  return age_ms < GOSSIP_NEVER_MS ? (uint32_t)age_ms : GOSSIP_NEVER_MS;
}

/*
 * Sends the entries that changed since the revision in the request, then a
 * response that says how current they are.
 */
static void
send_sync_response (struct hub_sync *sync,
                    struct mesh_host *to,
                    const struct gossip_sync_request *request)
{
  struct gossip_message *message = &sync->mesh->message;
  uint64_t first = sync->tombstones_added > HUB_SYNC_TOMBSTONES
                       ? sync->tombstones_added - HUB_SYNC_TOMBSTONES
                       : 0;
  uint64_t nonce = request->nonce;
  struct hub_sync_freshness own;
  bool is_patch_sent;

  sync->last_request_received_ms = sync->now_ms;
  if (!sync->hooks.own_freshness (sync->hooks.context, &own))
    {
      message->kind = GOSSIP_SYNC_RESPONSE;
      message->body.sync_response
          = (struct gossip_sync_response){ .nonce = nonce };
      mesh_send (sync->mesh, to, message);
      return;
    }
  for (struct endpoint *endpoint = sync->endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    if (endpoint->routed_revision > request->revision)
      send_report (sync, to, endpoint);
  for (uint64_t i = first; i < sync->tombstones_added; i++)
    {
      const struct hub_sync_tombstone *tombstone
          = &sync->tombstones[i % HUB_SYNC_TOMBSTONES];

      /* Equal revisions are sent too: see hub_sync_add_tombstone. */
      if (tombstone->revision < request->revision || request->revision == 0
          || tombstone->endpoint == NULL)
        continue;
      message->kind = GOSSIP_DELETED;
      message->body.report.endpoint = tombstone->endpoint;
      message->body.report.revision = tombstone->revision;
      mesh_send (sync->mesh, to, message);
    }
  /*
   * The patch is sent first, so that the host has the new version when the
   * response says that this version is current.
   */
  is_patch_sent = sync->hooks.send_patch (sync->hooks.context, to,
                                          request->configuration_version);
  message->kind = GOSSIP_SYNC_RESPONSE;
  message->body.sync_response = (struct gossip_sync_response){
    .nonce = nonce,
    .is_patch_sent = is_patch_sent,
    .configuration_version
    = sync->hooks.configuration_version (sync->hooks.context),
    .configuration_age_ms
    = compute_age_ms (own.configuration_current_at_ms, sync->now_ms),
    .entries_age_ms = compute_age_ms (own.entries_current_at_ms, sync->now_ms),
    .revision = own.revision,
    .digest = sync->endpoints->digest,
  };
  mesh_send (sync->mesh, to, message);
}

/* Sends the routed endpoints, unless this host may not know them all. */
static void
send_routed_snapshot (struct hub_sync *sync,
                      struct mesh_host *to,
                      const struct gossip_sync_request *request)
{
  struct gossip_message *message = &sync->mesh->message;
  struct gossip_routed *chunk = &message->body.routed;
  uint64_t nonce = request->nonce;
  struct hub_sync_freshness own;

  if (!sync->hooks.own_freshness (sync->hooks.context, &own))
    return;
  for (uint32_t first = 0;
       routed_snapshot_fill_chunk (sync->endpoints, first, own.revision, chunk);
       first += GOSSIP_ROUTED_LIMIT)
    {
      message->kind = GOSSIP_ROUTED_RESPONSE;
      chunk->nonce = nonce;
      mesh_send (sync->mesh, to, message);
    }
}

static void
select_next_hub (struct hub_sync *sync)
{
  sync->hub_rank++;
  sync->hub_chosen_ms = sync->now_ms;
}

/* Records that the entries match the hub's. */
static void
record_match (struct hub_sync *sync,
              const struct gossip_sync_response *response)
{
  int64_t current_at_ms
      = sync->request_sent_ms - (int64_t)response->entries_age_ms;

  sync->has_synced = true;
  if (current_at_ms > sync->entries_current_at_ms)
    sync->entries_current_at_ms = current_at_ms;
  sync->differs_since_ms = 0;
  if (response->revision > sync->synced_revision)
    sync->synced_revision = response->revision;
}

/*
 * A version that no hub reports any more is forgotten: it may have been damaged
 * on the way, and the host would read the platform for it for ever.
 */
static void
note_newest (struct hub_sync *sync, int64_t version)
{
  if (version < sync->newest_configuration
      && sync->now_ms - sync->newest_at_ms <= NEWEST_VALID_MS)
    return;
  sync->newest_configuration = version;
  sync->newest_at_ms = sync->now_ms;
}

static void
handle_sync_response (struct hub_sync *sync,
                      const struct gossip_sync_response *response)
{
  int64_t own_version = sync->hooks.configuration_version (sync->hooks.context);
  int64_t current_at_ms
      = sync->request_sent_ms - (int64_t)response->configuration_age_ms;

  if ((int64_t)response->nonce != sync->request_sent_ms)
    return;
  sync->unanswered_requests = 0;
  if (response->revision == 0
      || response->configuration_age_ms > sync->freshness_limit_ms
      || response->entries_age_ms > sync->freshness_limit_ms)
    {
      /* The hub cannot reach the platform. */
      sync->is_hub_stale = true;
      select_next_hub (sync);
      sync->next_request_ms = sync->now_ms + REQUEST_RETRY_MS;
      return;
    }
  sync->is_hub_stale = false;
  note_newest (sync, response->configuration_version);
  sync->is_patch_sent = response->is_patch_sent;
  if (sync->newest_configuration <= own_version)
    sync->outdated_since_ms = 0;
  else
    {
      if (sync->outdated_since_ms == 0)
        sync->outdated_since_ms = sync->now_ms;
      sync->next_request_ms = sync->now_ms + REQUEST_RETRY_MS;
    }
  if (response->configuration_version <= own_version)
    {
      sync->newer_since_ms = 0;
      sync->is_confirmed = sync->is_confirmed || own_version != 0;
    }
  else
    {
      if (sync->newer_since_ms == 0)
        sync->newer_since_ms = sync->now_ms;
      sync->newer_at_ms = sync->now_ms;
    }
  if (response->configuration_version == own_version && own_version != 0
      && current_at_ms > sync->configuration_current_at_ms)
    sync->configuration_current_at_ms = current_at_ms;
  if (response->digest == sync->endpoints->digest)
    {
      record_match (sync, response);
      return;
    }
  if (sync->differs_since_ms == 0)
    sync->differs_since_ms = sync->now_ms;
  sync->next_request_ms = sync->now_ms + REQUEST_RETRY_MS;
}

static void
delete_endpoint (struct hub_sync *sync, const char *endpoint, uint64_t revision)
{
  sync->has_deleted = true;
  endpoints_delete (sync->endpoints, endpoint, revision, sync->now_ms);
}

/*
 * A host that relies on its hub stores routed endpoints only.  A host that
 * needs all endpoints lists them from the platform.
 */
static void
handle_report (struct hub_sync *sync, const struct gossip_report *report)
{
  bool is_known = endpoints_find (sync->endpoints, report->endpoint) != NULL;

  if (sync->relies_on_hub && !endpoint_report_is_routed (&report->report))
    delete_endpoint (sync, report->endpoint, report->revision);
  /* A report may arrive after its endpoint was removed. */
  else if (is_known
           || !has_tombstone (sync, report->endpoint, report->revision))
    endpoints_report (sync->endpoints, report->endpoint, &report->report,
                      report->revision, sync->now_ms);
}

void
hub_sync_handle_message (struct hub_sync *sync,
                         struct mesh_host *from,
                         const struct gossip_message *message,
                         int64_t now_ms)
{
  const struct gossip_report *report = &message->body.report;

  sync->now_ms = now_ms;
  switch (message->kind)
    {
    case GOSSIP_SYNC_REQUEST:
      send_sync_response (sync, from, &message->body.sync_request);
      break;
    case GOSSIP_SYNC_RESPONSE:
      handle_sync_response (sync, &message->body.sync_response);
      break;
    case GOSSIP_REPORT:
      handle_report (sync, report);
      break;
    case GOSSIP_ROUTED_REQUEST:
      send_routed_snapshot (sync, from, &message->body.sync_request);
      break;
    case GOSSIP_ROUTED_RESPONSE:
      if ((int64_t)message->body.routed.nonce == sync->request_sent_ms
          && routed_snapshot_receive_chunk (&sync->routed_snapshot,
                                            &message->body.routed))
        {
          sync->has_deleted = true;
          routed_snapshot_delete_missing (&sync->routed_snapshot,
                                          sync->endpoints, now_ms);
        }
      break;
    case GOSSIP_DELETED:
      delete_endpoint (sync, report->endpoint, report->revision);
      break;
    default:
      break;
    }
}

static bool
has_to_compare (const struct hub_sync *sync)
{
  return sync->differs_since_ms != 0
         && sync->now_ms - sync->differs_since_ms >= COMPARE_DELAY_MS
         && sync->now_ms >= sync->next_compare_ms;
}

void
hub_sync_tick (struct hub_sync *sync,
               bool sends_requests,
               bool compares_routed,
               int64_t now_ms)
{
  struct gossip_message *message = &sync->mesh->message;
  struct mesh_host *hub;

  sync->now_ms = now_ms;
  sync->relies_on_hub = sends_requests && compares_routed;
  if (!sends_requests || now_ms < sync->next_request_ms)
    return;
  if (sync->unanswered_requests >= UNANSWERED_REQUEST_LIMIT)
    {
      sync->unanswered_requests = 0;
      select_next_hub (sync);
    }
  if (sync->hub_rank > 0 && now_ms - sync->hub_chosen_ms > FIRST_HUB_RETRY_MS)
    sync->hub_rank = 0;
  hub = mesh_find_hub (sync->mesh, sync->hub_rank % HUB_CANDIDATES);
  if (hub == NULL)
    {
      /* This host itself may be the hub of this rank. */
      select_next_hub (sync);
      return;
    }
  sync->unanswered_requests++;
  sync->next_request_ms = now_ms + REQUEST_INTERVAL_MS;
  sync->request_sent_ms = now_ms;
  message->kind = GOSSIP_SYNC_REQUEST;
  message->body.sync_request.nonce = (uint64_t)now_ms;
  message->body.sync_request.revision = sync->synced_revision;
  message->body.sync_request.configuration_version
      = sync->hooks.configuration_version (sync->hooks.context);
  mesh_send (sync->mesh, hub, message);
  if (sync->relies_on_hub && has_to_compare (sync))
    {
      sync->next_compare_ms = now_ms + COMPARE_INTERVAL_MS;
      message->kind = GOSSIP_ROUTED_REQUEST;
      mesh_send (sync->mesh, hub, message);
    }
}
