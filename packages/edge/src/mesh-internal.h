#ifndef EDGE_MESH_INTERNAL_H
#define EDGE_MESH_INTERNAL_H

#include "mesh.h"

/* mesh.c */
struct mesh_host *mesh_add_host (struct mesh *mesh,
                                 const struct gossip_host *known);

/* Sends to the hosts that are marked as receivers. */
void mesh_send_receivers (struct mesh *mesh, struct gossip_message *message);

/* mesh-load.c: hubs, and the loads that go through them. */
void mesh_take_loads (struct mesh *mesh,
                      struct mesh_host *from,
                      const struct gossip_message *message);
void mesh_exchange_loads (struct mesh *mesh,
                          void (*collect) (void *context,
                                           struct mesh_loads *own),
                          void *context);

#endif
