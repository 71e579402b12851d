#ifndef EDGE_ROUTED_H
#define EDGE_ROUTED_H

#include "endpoints.h"
#include "gossip.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Comparison of the endpoints that requests are routed to with those that a hub
 * routes to.
 *
 * A hub tells changes since a revision.  One that has restarted lists the
 * entries as they are, and cannot tell which ceased to be routed to before; an
 * asker that still knows those would route to them on.
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
