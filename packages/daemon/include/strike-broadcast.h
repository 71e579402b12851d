#ifndef DAEMON_STRIKE_BROADCAST_H
#define DAEMON_STRIKE_BROADCAST_H

#include "peer.h"
#include "strikes.h"

#include <stdbool.h>
#include <uthash.h>

/*
 * Strikes that are being sent to the peers of the data centre.  A request that
 * has a strike is retried only after the peers acknowledged it or the peer
 * protocol gave up.
 */

struct strike_broadcast_entry
{
  struct strike_broadcast *broadcast;
  char fingerprint[HASH_HEX_SIZE];
  unsigned pending_count; /* sends neither acknowledged nor given up */
  UT_hash_handle hh;
};

struct strike_broadcast
{
  struct peer_node *peers;
  struct strike_broadcast_entry *entries; /* uthash by fingerprint */
};

void strike_broadcast_init (struct strike_broadcast *broadcast,
                            struct peer_node *peers);
void strike_broadcast_finish (struct strike_broadcast *broadcast);

/* Hooks of the gateway; context is the struct strike_broadcast. */
void strike_broadcast_send (void *context,
                            const char *fingerprint,
                            const char *host,
                            const char *boot_id);
/* Returns true also after the peer protocol gave up. */
bool strike_broadcast_is_finished (void *context, const char *fingerprint);

#endif
