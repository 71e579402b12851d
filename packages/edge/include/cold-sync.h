#ifndef EDGE_COLD_SYNC_H
#define EDGE_COLD_SYNC_H

#include "endpoints.h"
#include "mesh.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Tells the hosts of the own data centre which endpoints are cold.  A reader
 * knows all entries, and passes on the cold times of groups, whose members
 * other hosts do not know.  Messages are repeated while an endpoint is cold,
 * since one may be lost; without a cold endpoint none is sent.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

struct cold_sync
{
  struct mesh *mesh;
  struct endpoints *endpoints;
  bool has_news; /* an endpoint has become cold since the last message */
  int64_t next_ms;
};

void cold_sync_init (struct cold_sync *sync,
                     struct mesh *mesh,
                     struct endpoints *endpoints);

/* An entry was read that says that its endpoint is cold. */
void cold_sync_note (struct cold_sync *sync);

/* sends: this host reads the platform for others. */
void cold_sync_tick (struct cold_sync *sync, bool sends, int64_t now_ms);

void cold_sync_handle_message (struct cold_sync *sync,
                               const struct gossip_cold *message,
                               int64_t now_ms);

#endif
