#ifndef EDGE_ROUTED_H
#define EDGE_ROUTED_H

#include "endpoints.h"
#include "gossip.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Reconciliation of the routed endpoints with those of a hub.
 *
 * Hubs send changes since a revision.  A restarted hub has no record of heads
 * that were demoted before its start, so hosts would keep routing to them.
 */

/* 64 messages: 7,680 endpoints. */
#define ROUTED_PIECES 64

/* The list that is arriving. */
struct routed
{
  uint64_t nonce;
  uint64_t revision;
  uint32_t total;
  uint64_t pieces; /* a bit for each that has arrived */
  uint64_t *list;  /* room for total */
};

void routed_finish (struct routed *routed);

/* Fills in the piece from first on; false behind the last one. */
bool routed_piece (const struct endpoints *endpoints,
                   uint32_t first,
                   uint64_t revision,
                   struct gossip_routed *piece);

/* Takes a piece; true once all of its list have arrived. */
bool routed_take (struct routed *routed, const struct gossip_routed *piece);

/*
 * Deletes what is routed to here and not in the list, unless its entry changed
 * since the list.
 */
void routed_prune (struct routed *routed,
                   struct endpoints *endpoints,
                   int64_t now_ms);

#endif
