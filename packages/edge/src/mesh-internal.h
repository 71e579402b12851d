#ifndef EDGE_MESH_INTERNAL_H
#define EDGE_MESH_INTERNAL_H

#include "mesh.h"

/* mesh.c: adds the host, or updates it if it is known. */
struct mesh_host *mesh_add_host (struct mesh *mesh,
                                 const struct gossip_host *known);

/* Sends to the hosts whose is_receiver is set. */
void mesh_send_receivers (struct mesh *mesh, struct gossip_message *message);

/* mesh-load.c: choice of hubs, and loads that are exchanged through them. */
void mesh_handle_loads (struct mesh *mesh,
                        struct mesh_host *from,
                        const struct gossip_message *message);
void mesh_exchange_loads (struct mesh *mesh,
                          void (*collect) (void *context,
                                           struct mesh_loads *own),
                          void *context);

#endif
