#include "prober.h"

#include "timeutil.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BATCH_LIMIT 256
#define STATE_LIMIT 65536 /* bytes of one answer */

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
close_target (struct prober_target *target)
{
  if (target->connection != NULL)
    evhttp_connection_free (target->connection);
  target->connection = NULL;
  target->waiting = false;
}

void
prober_finish (struct prober *prober)
{
  struct prober_target *target = prober->targets;

  HASH_CLEAR (hh, prober->targets);
  while (target != NULL)
    {
      struct prober_target *next = target->hh.next;

      close_target (target);
      free (target);
      target = next;
    }
}

/* What others must hear of at once, as against load that changes always. */
static bool
differs (const struct fleet_attestation *a, const struct fleet_attestation *b)
{
  return a->seen_ms == FLEET_NEVER || strcmp (a->boot_id, b->boot_id) != 0
         || strcmp (a->group, b->group) != 0 || a->generation != b->generation
         || a->rank != b->rank || a->state != b->state
         || a->leaving != b->leaving;
}

static void
take_attestation (struct fleet_host *host,
                  const struct fleet_attestation *attested)
{
  host->attested = *attested;
  /* The endpoint's own word ends a refusal that it gave before. */
  if (!attested->leaving)
    host->refused_leaving = false;
}

/* A peer told the contents that we know, too. */
static void
note_heard (struct prober *prober,
            const struct fleet_host *host,
            uint64_t digest)
{
  struct prober_target *target;

  HASH_FIND_STR (prober->targets, host->id, target);
  if (target != NULL && peer_attestation_digest (&host->attested) == digest)
    target->heard_ms = time_boot_ms ();
}

void
prober_take (struct prober *prober,
             const char *host_id,
             const struct fleet_attestation *attested)
{
  struct fleet_host *host = fleet_find_host (prober->fleet, host_id);

  if (host == NULL)
    return;
  if (attested->seen_ms > host->attested.seen_ms)
    take_attestation (host, attested);
  note_heard (prober, host, peer_attestation_digest (attested));
}

static json_t *
read_body (struct evhttp_request *request)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (body);

  if (size == 0 || size > STATE_LIMIT)
    return NULL;
  return json_loadb ((const char *)evbuffer_pullup (body, -1), size, 0, NULL);
}

static void
on_state (struct evhttp_request *request, void *context)
{
  struct prober_target *target = context;
  struct prober *prober = target->prober;
  struct fleet_host *host = fleet_find_host (prober->fleet, target->id);
  struct fleet_attestation attested;
  json_t *json = NULL;

  target->waiting = false;
  if (request != NULL && evhttp_request_get_response_code (request) == 200)
    json = read_body (request);
  if (json != NULL && host != NULL
      && fleet_attestation_from_json (&attested, json, target->started_ms)
             == RESULT_OK)
    {
      if (differs (&host->attested, &attested))
        target->to_send = PROBER_CHANGE_SENDS;
      take_attestation (host, &attested);
      target->probed_ms = attested.seen_ms;
    }
  else
    prober->failures++;
  json_decref (json);
}

static void
start_probe (struct prober_target *target)
{
  struct evhttp_request *request;
  char host[FLEET_ADDRESS_SIZE + 8];
  struct timeval timeout = { .tv_sec = PROBER_TIMEOUT_MS / 1000 };

  if (target->connection == NULL)
    {
      target->connection = evhttp_connection_base_new (
          target->prober->base, NULL, target->address, target->port);
      if (target->connection == NULL)
        return;
      evhttp_connection_set_timeout_tv (target->connection, &timeout);
      evhttp_connection_set_max_body_size (target->connection, STATE_LIMIT);
    }
  request = evhttp_request_new (on_state, target);
  if (request == NULL)
    return;
  snprintf (host, sizeof host, "%s:%u", target->address, target->port);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host", host);
  target->waiting = true;
  /* The answer may wait in the socket while we are paused, so the endpoint is
   * known to have been well only when it was asked. */
  target->started_ms = time_boot_ms ();
  target->prober->probes++;
  if (evhttp_make_request (target->connection, request, EVHTTP_REQ_GET,
                           "/v1/state")
      != 0)
    target->waiting = false;
}

static struct prober_target *
find_or_add (struct prober *prober, const struct fleet_host *host)
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
      target->ranked_ms = INT64_MIN / 2;
      target->probed_ms = INT64_MIN / 2;
      target->heard_ms = INT64_MIN / 2;
      HASH_ADD_STR (prober->targets, id, target);
    }
  if (target->port != host->port
      || strcmp (target->address, host->address) != 0)
    {
      close_target (target);
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

  if (now_ms - target->ranked_ms < PROBER_RANK_MS)
    return;
  target->ranked_ms = now_ms;
  target->rank = member_rank (members, members->self.data_centre,
                              members->self.host, target->id);
}

static void
probe_host (struct prober *prober,
            const struct fleet_host *host,
            int64_t now_ms)
{
  struct prober_target *target = find_or_add (prober, host);

  if (target == NULL)
    return;
  update_rank (target, now_ms);
  if (target->rank >= PROBER_RANKS || target->waiting
      || now_ms < target->next_ms)
    return;
  /* A late tick must not be followed by a burst. */
  target->next_ms = now_ms + PROBER_INTERVAL_MS;
  start_probe (target);
}

void
prober_take_fresh (struct prober *prober, const struct peer_fresh_entry *entry)
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
      note_heard (prober, host, entry->digest);
      return;
    }
}

struct health_batch
{
  struct peer_health_entry full[BATCH_LIMIT];
  struct peer_fresh_entry fresh[BATCH_LIMIT];
  size_t full_count;
  size_t fresh_count;
};

static void
add_full (struct health_batch *batch,
          struct prober_target *target,
          const struct fleet_host *host,
          int64_t now_ms)
{
  if (target->to_send > 0)
    target->to_send--;
  target->sent_ms = now_ms;
  target->sent_full_ms = now_ms;
  batch->full[batch->full_count].host = host->id;
  batch->full[batch->full_count++].attested = &host->attested;
}

static void
add_fresh (struct health_batch *batch,
           struct prober_target *target,
           const struct fleet_host *host,
           int64_t now_ms)
{
  struct peer_fresh_entry *entry = &batch->fresh[batch->fresh_count++];

  target->sent_ms = now_ms;
  entry->host = peer_host_hash (host->id);
  entry->digest = peer_attestation_digest (&host->attested);
  entry->seen_ms = host->attested.seen_ms;
  entry->running = host->attested.running;
  entry->queued = host->attested.queued;
}

/* A newcomer knows no contents that a digest could stand for. */
static bool
has_newcomer (struct prober *prober)
{
  size_t live
      = member_count_live (prober->members, prober->members->self.data_centre);
  bool more = live > prober->live;

  prober->live = live;
  return more;
}

/*
 * The first prober tells; the others only when it has been silent, so that
 * its death costs one refresh and not the attestation.
 */
static bool
is_reported_by_peer (const struct prober_target *target, int64_t now_ms)
{
  return target->rank > 0 && now_ms - target->heard_ms < PROBER_SILENCE_MS;
}

static void
report_health (struct prober *prober, int64_t now_ms)
{
  bool newcomer = has_newcomer (prober);
  struct health_batch batch;

  batch.full_count = 0;
  batch.fresh_count = 0;
  for (struct prober_target *target = prober->targets;
       target != NULL && batch.full_count + batch.fresh_count < BATCH_LIMIT;
       target = target->hh.next)
    {
      const struct fleet_host *host
          = fleet_find_host (prober->fleet, target->id);

      /* Only what we saw ourselves: told on, a peer's word would never age. */
      if (host == NULL || target->rank >= PROBER_RANKS
          || now_ms - target->probed_ms > PROBER_OWN_MS)
        continue;
      if (newcomer)
        target->to_send = PROBER_CHANGE_SENDS;
      if (target->to_send > 0
          || (!is_reported_by_peer (target, now_ms)
              && now_ms - target->sent_full_ms >= PROBER_FULL_MS))
        add_full (&batch, target, host, now_ms);
      else if (!is_reported_by_peer (target, now_ms)
               && now_ms - target->sent_ms >= PROBER_REFRESH_MS)
        add_fresh (&batch, target, host, now_ms);
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
