#ifndef EDGE_ROUTED_SNAPSHOT_H
#define EDGE_ROUTED_SNAPSHOT_H

#include "endpoints.h"
#include "gossip.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Reconciliation of the routed endpoints with a snapshot of those of a hub.
 *
 * Hubs send changes since a revision.  A restarted hub has no record of heads
 * that were demoted before its start, so hosts would keep routing to them.
 */

/* 64 messages: 7,680 endpoints. */
#define ROUTED_SNAPSHOT_CHUNKS 64

/* A snapshot that is being received. */
struct routed_snapshot
{
  uint64_t nonce; /* of the request */
  uint64_t revision;
  uint32_t total;           /* endpoints */
  uint64_t received_chunks; /* one bit per received chunk */
  uint64_t *list;           /* hash_string of the ids; total entries */
};

void routed_snapshot_finish (struct routed_snapshot *snapshot);

/* Fills in the chunk that starts at first; false if first is past the end. */
bool routed_snapshot_fill_chunk (const struct endpoints *endpoints,
                                 uint32_t first,
                                 uint64_t revision,
                                 struct gossip_routed *chunk);

/* Adds a received chunk; true once the snapshot is complete. */
bool routed_snapshot_receive_chunk (struct routed_snapshot *snapshot,
                                    const struct gossip_routed *chunk);

/*
 * Deletes endpoints that are routed to here and missing from the snapshot,
 * unless their entry has changed since the snapshot was taken.
 */
void routed_snapshot_delete_missing (struct routed_snapshot *snapshot,
                                     struct endpoints *endpoints,
                                     int64_t now_ms);

#endif
