#include "peer-internal.h"

#include "hash.h"

/* Most entries per datagram; long names reduce the number. */
#define HEALTH_ENTRIES_LIMIT 6
#define DEMAND_ENTRIES_LIMIT 16

static void
send_to_data_centre (struct peer_node *node,
                     uint32_t procedure,
                     xdrproc_t body,
                     void *arguments)
{
  for (const struct member *member = node->members->members; member != NULL;
       member = member->hh.next)
    {
      struct peer_header header;

      if (!member_is_live (member)
          || strcmp (member->info.data_centre, node->members->self.data_centre)
                 != 0)
        continue;
      peer_fill_header (node, &header, true, ++node->next_xid, procedure);
      peer_udp_send_member (node, member, &header, body, arguments);
    }
}

static void
fill_health (struct peer_health *wire,
             const struct peer_health_entry *entry,
             int64_t now_ms)
{
  const struct fleet_attestation *attested = entry->attested;

  wire->host = (char *)entry->host;
  wire->boot_id = (char *)attested->boot_id;
  wire->group = (char *)attested->group;
  wire->generation = attested->generation;
  wire->rank = attested->rank;
  wire->span = attested->span;
  wire->model = (char *)attested->model;
  wire->model_version = (char *)attested->version;
  wire->role = (char *)attested->role;
  wire->adapters = (char *)attested->adapters;
  wire->fence = attested->fence;
  wire->state = attested->state;
  wire->leaving = attested->leaving;
  wire->running = attested->running;
  wire->queued = attested->queued;
  wire->slots = attested->slots;
  wire->load_age_ms = attested->load_age_ms;
  wire->seen_age_ms = (u_int)(now_ms - attested->seen_ms);
}

static size_t
compute_health_size (const struct peer_health *wire)
{
  return peer_text_size (wire->host) + peer_text_size (wire->boot_id)
         + peer_text_size (wire->group) + peer_text_size (wire->model)
         + peer_text_size (wire->model_version) + peer_text_size (wire->role)
         + peer_text_size (wire->adapters) + 56;
}

static void
flush_health (struct peer_node *node, struct peer_health *wire, u_int *used)
{
  peer_health_report report
      = { .entries = { .entries_len = *used, .entries_val = wire } };

  if (*used > 0)
    send_to_data_centre (node, PEER_HEALTH, (xdrproc_t)xdr_peer_health_report,
                         &report);
  *used = 0;
}

void
peer_send_health (struct peer_node *node,
                  const struct peer_health_entry *entries,
                  size_t count,
                  int64_t now_ms)
{
  struct peer_health wire[HEALTH_ENTRIES_LIMIT];
  size_t size = 0;
  u_int used = 0;

  for (size_t i = 0; i < count; i++)
    {
      struct peer_health next;

      /* An attestation that was never received has no age to report. */
      if (entries[i].attested->seen_ms == FLEET_NEVER)
        continue;
      fill_health (&next, &entries[i], now_ms);
      if (used == HEALTH_ENTRIES_LIMIT
          || size + compute_health_size (&next) > PEER_BODY_LIMIT_BYTES)
        {
          flush_health (node, wire, &used);
          size = 0;
        }
      size += compute_health_size (&next);
      wire[used++] = next;
    }
  flush_health (node, wire, &used);
}

uint32_t
peer_host_hash (const char *host)
{
  return (uint32_t)hash_string (host, 0);
}

uint64_t
peer_attestation_digest (const struct fleet_attestation *attested)
{
  const uint64_t numbers[]
      = { attested->generation, attested->rank,  attested->span,
          attested->fence,      attested->state, attested->leaving,
          attested->slots };
  const char *const texts[]
      = { attested->boot_id, attested->group, attested->model,
          attested->version, attested->role,  attested->adapters };
  uint64_t digest = 0;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    digest = hash_string (texts[i], digest);
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    digest = hash_number (numbers[i], digest);
  return digest;
}

void
peer_send_fresh (struct peer_node *node,
                 const struct peer_fresh_entry *entries,
                 size_t count,
                 int64_t now_ms)
{
  for (size_t start = 0; start < count; start += PEER_FRESH_ENTRIES)
    {
      peer_fresh wire[PEER_FRESH_ENTRIES];
      size_t used = count - start < PEER_FRESH_ENTRIES ? count - start
                                                       : PEER_FRESH_ENTRIES;
      peer_fresh_report report
          = { .entries = { .entries_len = (u_int)used, .entries_val = wire } };

      for (size_t i = 0; i < used; i++)
        {
          const struct peer_fresh_entry *entry = &entries[start + i];

          wire[i].host = entry->host;
          wire[i].digest = entry->digest;
          wire[i].seen_age_ms = (u_int)(now_ms - entry->seen_ms);
          wire[i].running = entry->running;
          wire[i].queued = entry->queued;
        }
      send_to_data_centre (node, PEER_FRESH, (xdrproc_t)xdr_peer_fresh_report,
                           &report);
    }
}

static void
flush_demand (struct peer_node *node, peer_demand *wire, u_int *used)
{
  peer_shares shares
      = { .entries = { .entries_len = *used, .entries_val = wire } };

  if (*used > 0)
    send_to_data_centre (node, PEER_SHARES, (xdrproc_t)xdr_peer_shares,
                         &shares);
  *used = 0;
}

void
peer_send_demand (struct peer_node *node,
                  const struct peer_demand_entry *entries,
                  size_t count)
{
  peer_demand wire[DEMAND_ENTRIES_LIMIT];
  size_t size = 0;
  u_int used = 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t next = peer_text_size (entries[i].name) + 4;

      if (used == DEMAND_ENTRIES_LIMIT || size + next > PEER_BODY_LIMIT_BYTES)
        {
          flush_demand (node, wire, &used);
          size = 0;
        }
      size += next;
      wire[used].name = (char *)entries[i].name;
      wire[used++].demand = entries[i].demand;
    }
  flush_demand (node, wire, &used);
}
