#ifndef EDGE_STRIKE_SYNC_H
#define EDGE_STRIKE_SYNC_H

#include "mesh.h"
#include "strikes.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells the other entry hosts of all data centres which traits of requests were
 * at crashes of endpoints, and which of them were answered.
 *
 * Changes go to the hubs of the data centre, which pass them on, twice each, as
 * datagrams are lost.  Traits with several strikes are repeated once a second,
 * and all of them when a host starts, so that hosts that were cut off, and
 * restarted hubs, learn them too.
 */
struct strike_sync
{
  struct mesh *mesh;
  struct strikes *strikes;
  int64_t next_send_ms;
  int64_t next_repeat_ms;
};

void strike_sync_init (struct strike_sync *sync,
                       struct mesh *mesh,
                       struct strikes *strikes);

void strike_sync_handle_message (struct strike_sync *sync,
                                 const struct mesh_host *from,
                                 const struct gossip_strikes *received,
                                 int64_t now_ms);

/* Another host has started and knows nothing yet. */
void strike_sync_host_started (struct strike_sync *sync);

void strike_sync_tick (struct strike_sync *sync, int64_t now_ms);

#endif
