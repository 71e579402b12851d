#include "prober.h"

#include "timeutil.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BATCH_ENTRIES_LIMIT 256
#define STATE_SIZE_LIMIT 65536 /* bytes of the body of one response */
/* The head of a response, and bytes behind a whole response. */
#define HEADER_LIMIT_BYTES 16384

void
prober_init (struct prober *prober,
             struct event_base *base,
             struct fleet *fleet,
             struct member_table *members,
             struct peer_node *peers)
{
  memset (prober, 0, sizeof *prober);
  prober->base = base;
  prober->fleet = fleet;
  prober->members = members;
  prober->peers = peers;
}

static void
close_connection (struct prober_target *target)
{
  http_connection_finish (&target->connection);
  http_text_finish (&target->body);
  target->request_in_flight = false;
}

void
prober_finish (struct prober *prober)
{
  struct prober_target *target = prober->targets;

  HASH_CLEAR (hh, prober->targets);
  while (target != NULL)
    {
      struct prober_target *next = target->hh.next;

      close_connection (target);
      free (target);
      target = next;
    }
}

/* True for changes to report at once; load changes too often for that. */
static bool
has_state_change (const struct fleet_attestation *a,
                  const struct fleet_attestation *b)
{
  return a->seen_ms == FLEET_NEVER || strcmp (a->boot_id, b->boot_id) != 0
         || strcmp (a->group, b->group) != 0 || a->generation != b->generation
         || a->rank != b->rank || a->state != b->state
         || a->leaving != b->leaving;
}

static void
apply_attestation (struct fleet_host *host,
                   const struct fleet_attestation *attested)
{
  host->attested = *attested;
  /* An attestation that is not leaving clears an earlier refusal. */
  if (!attested->leaving)
    host->refused_leaving = false;
}

/* Records that a peer reported the attestation that we hold. */
static void
record_peer_report (struct prober *prober,
                    const struct fleet_host *host,
                    uint64_t digest)
{
  struct prober_target *target;

  HASH_FIND_STR (prober->targets, host->id, target);
  if (target != NULL && peer_attestation_digest (&host->attested) == digest)
    target->peer_reported_ms = time_boot_ms ();
}

void
prober_merge_attestation (struct prober *prober,
                          const char *host_id,
                          const struct fleet_attestation *attested)
{
  struct fleet_host *host = fleet_find_host (prober->fleet, host_id);

  if (host == NULL)
    return;
  if (attested->seen_ms > host->attested.seen_ms)
    apply_attestation (host, attested);
  record_peer_report (prober, host, peer_attestation_digest (attested));
}

/* Ends the probe, and the connection, without a valid response. */
static void
fail_probe (struct prober_target *target)
{
  if (target->request_in_flight)
    target->prober->failures++;
  close_connection (target);
}

/* Applies the state in a whole response; false if it has none. */
static bool
read_state (struct prober_target *target)
{
  struct prober *prober = target->prober;
  struct fleet_host *host = fleet_find_host (prober->fleet, target->id);
  const struct http_text *body = &target->body;
  struct fleet_attestation attested;
  json_t *json = NULL;
  bool is_valid;

  if (target->connection.head.status == 200 && body->size > 0)
    json = json_loadb (body->data, body->size, 0, NULL);
  is_valid
      = json != NULL && host != NULL
        && fleet_attestation_from_json (&attested, json, target->requested_ms)
               == RESULT_OK;
  json_decref (json);
  if (!is_valid)
    return false;
  if (has_state_change (&host->attested, &attested))
    target->pending_full_reports = PROBER_CHANGE_REPORTS;
  apply_attestation (host, &attested);
  target->probed_ms = attested.seen_ms;
  return true;
}

static void
on_connected (void *context)
{
  /* The request is queued and written next. */
  (void)context;
}

static void
on_head (void *context, const struct http_head *head)
{
  struct prober_target *target = context;

  (void)head;
  /* A response without a probe: the connection is in an unknown state. */
  if (!target->request_in_flight)
    close_connection (target);
}

static void
on_body (void *context, const char *data, size_t size)
{
  struct prober_target *target = context;

  http_text_add (&target->body, data, size);
  if (target->body.failed || target->body.size > STATE_SIZE_LIMIT)
    fail_probe (target);
}

static void
on_complete (void *context)
{
  struct prober_target *target = context;

  if (!read_state (target))
    target->prober->failures++;
  target->request_in_flight = false;
  http_text_finish (&target->body);
  if (http_connection_is_reusable (&target->connection))
    http_connection_next_message (&target->connection, false);
  else
    close_connection (target);
}

static void
on_closed (void *context, enum http_end end)
{
  (void)end;
  fail_probe (context);
}

static const struct http_events connection_events = {
  .connected = on_connected,
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
};

/* True if the connection is idle or being established. */
static bool
connect_to_target (struct prober_target *target)
{
  const struct http_limits limits = { HEADER_LIMIT_BYTES, HEADER_LIMIT_BYTES };

  if (http_connection_is_idle (&target->connection))
    return true;
  close_connection (target);
  return http_connection_connect (&target->connection, target->prober->base,
                                  target->address, target->port,
                                  PROBER_TIMEOUT_MS, &limits,
                                  &connection_events, target)
         == RESULT_OK;
}

static void
start_probe (struct prober_target *target)
{
  struct http_text request;

  http_text_init (&request);
  http_text_format (&request, "GET /v1/state HTTP/1.1\r\nHost: %s:%u\r\n\r\n",
                    target->address, target->port);
  if (!request.failed && connect_to_target (target))
    {
      target->request_in_flight = true;
      /* The response may wait in the socket while this process is paused, so
       * the attestation counts from the time of the request. */
      target->requested_ms = time_boot_ms ();
      target->prober->probes++;
      http_connection_write_text (&target->connection, &request);
    }
  http_text_finish (&request);
}

static struct prober_target *
find_or_add_target (struct prober *prober, const struct fleet_host *host)
{
  struct prober_target *target;

  HASH_FIND_STR (prober->targets, host->id, target);
  if (target == NULL)
    {
      target = calloc (1, sizeof *target);
      if (target == NULL)
        return NULL;
      memcpy (target->id, host->id, sizeof target->id);
      target->prober = prober;
      target->connection.fd = -1;
      http_text_init (&target->body);
      target->rank_computed_ms = INT64_MIN / 2;
      target->probed_ms = INT64_MIN / 2;
      target->peer_reported_ms = INT64_MIN / 2;
      HASH_ADD_STR (prober->targets, id, target);
    }
  if (target->port != host->port
      || strcmp (target->address, host->address) != 0)
    {
      close_connection (target);
      memcpy (target->address, host->address, sizeof target->address);
      target->port = host->port;
    }
  return target;
}

static bool
is_local (const struct prober *prober, const struct fleet_host *host)
{
  return host->port != 0
         && strcmp (host->data_centre, prober->members->self.data_centre) == 0;
}

/* Ranks change only with the membership; hashing each tick costs too much. */
static void
update_rank (struct prober_target *target, int64_t now_ms)
{
  const struct member_table *members = target->prober->members;

  if (now_ms - target->rank_computed_ms < PROBER_RANK_INTERVAL_MS)
    return;
  target->rank_computed_ms = now_ms;
  target->rank = member_rank (members, members->self.data_centre,
                              members->self.host, target->id);
}

static void
probe_host (struct prober *prober,
            const struct fleet_host *host,
            int64_t now_ms)
{
  struct prober_target *target = find_or_add_target (prober, host);

  if (target == NULL)
    return;
  update_rank (target, now_ms);
  if (target->request_in_flight
      && now_ms - target->requested_ms >= PROBER_TIMEOUT_MS)
    fail_probe (target);
  if (target->rank >= PROBER_RANKS || target->request_in_flight
      || now_ms < target->next_probe_ms)
    return;
  /* Counted from now, so that no burst of probes follows a late tick. */
  target->next_probe_ms = now_ms + PROBER_INTERVAL_MS;
  start_probe (target);
}

void
prober_merge_fresh_entry (struct prober *prober,
                          const struct peer_fresh_entry *entry)
{
  for (struct fleet_host *host = prober->fleet->hosts; host != NULL;
       host = host->hh.next)
    {
      if (peer_host_hash (host->id) != entry->host)
        continue;
      if (entry->seen_ms > host->attested.seen_ms
          && peer_attestation_digest (&host->attested) == entry->digest)
        {
          host->attested.seen_ms = entry->seen_ms;
          host->attested.running = entry->running;
          host->attested.queued = entry->queued;
        }
      record_peer_report (prober, host, entry->digest);
      return;
    }
}

struct health_batch
{
  struct peer_health_entry full[BATCH_ENTRIES_LIMIT];
  struct peer_fresh_entry fresh[BATCH_ENTRIES_LIMIT];
  size_t full_count;
  size_t fresh_count;
};

static void
add_full_entry (struct health_batch *batch,
                struct prober_target *target,
                const struct fleet_host *host,
                int64_t now_ms)
{
  if (target->pending_full_reports > 0)
    target->pending_full_reports--;
  target->reported_ms = now_ms;
  target->full_reported_ms = now_ms;
  batch->full[batch->full_count].host = host->id;
  batch->full[batch->full_count++].attested = &host->attested;
}

static void
add_fresh_entry (struct health_batch *batch,
                 struct prober_target *target,
                 const struct fleet_host *host,
                 int64_t now_ms)
{
  struct peer_fresh_entry *entry = &batch->fresh[batch->fresh_count++];

  target->reported_ms = now_ms;
  entry->host = peer_host_hash (host->id);
  entry->digest = peer_attestation_digest (&host->attested);
  entry->seen_ms = host->attested.seen_ms;
  entry->running = host->attested.running;
  entry->queued = host->attested.queued;
}

/*
 * True if more entry hosts are live than at the last call.  A newly started one
 * needs full reports: it holds no attestation that a refresh could match.
 */
static bool
has_new_entry_host (struct prober *prober)
{
  size_t live_count
      = member_count_live (prober->members, prober->members->self.data_centre);
  bool has_more = live_count > prober->live_count;

  prober->live_count = live_count;
  return has_more;
}

/*
 * True if another prober reports this endpoint.  The first in rank reports; the
 * others report only after it has been silent, so that its failure costs one
 * refresh and not the attestation.
 */
static bool
is_reported_by_peer (const struct prober_target *target, int64_t now_ms)
{
  return target->rank > 0
         && now_ms - target->peer_reported_ms < PROBER_PEER_SILENCE_MS;
}

static void
report_health (struct prober *prober, int64_t now_ms)
{
  bool has_new_host = has_new_entry_host (prober);
  struct health_batch batch;

  batch.full_count = 0;
  batch.fresh_count = 0;
  for (struct prober_target *target = prober->targets;
       target != NULL
       && batch.full_count + batch.fresh_count < BATCH_ENTRIES_LIMIT;
       target = target->hh.next)
    {
      const struct fleet_host *host
          = fleet_find_host (prober->fleet, target->id);

      /* Only our own probes are reported: a peer's report that is passed on
       * would never age. */
      if (host == NULL || target->rank >= PROBER_RANKS
          || now_ms - target->probed_ms > PROBER_PROBE_AGE_LIMIT_MS)
        continue;
      if (has_new_host)
        target->pending_full_reports = PROBER_CHANGE_REPORTS;
      if (target->pending_full_reports > 0
          || (!is_reported_by_peer (target, now_ms)
              && now_ms - target->full_reported_ms >= PROBER_FULL_INTERVAL_MS))
        add_full_entry (&batch, target, host, now_ms);
      else if (!is_reported_by_peer (target, now_ms)
               && now_ms - target->reported_ms >= PROBER_REFRESH_INTERVAL_MS)
        add_fresh_entry (&batch, target, host, now_ms);
    }
  if (batch.full_count > 0)
    peer_send_health (prober->peers, batch.full, batch.full_count, now_ms);
  if (batch.fresh_count > 0)
    peer_send_fresh (prober->peers, batch.fresh, batch.fresh_count, now_ms);
}

void
prober_tick (struct prober *prober, int64_t now_ms)
{
  for (const struct fleet_host *host = prober->fleet->hosts; host != NULL;
       host = host->hh.next)
    if (is_local (prober, host))
      probe_host (prober, host, now_ms);
  report_health (prober, now_ms);
}
