#ifndef DAEMON_BROADCAST_H
#define DAEMON_BROADCAST_H

#include "peer.h"
#include "strikes.h"

#include <stdbool.h>
#include <uthash.h>

/*
 * Strikes on their way to the peers of the data centre.  A retry of a struck
 * request waits until they acknowledged or the peer protocol gave up.
 */

struct broadcast_entry
{
  struct broadcast *broadcast;
  char fingerprint[HASH_HEX_SIZE];
  unsigned waiting; /* strikes that are not acknowledged yet */
  UT_hash_handle hh;
};

struct broadcast
{
  struct peer_node *peers;
  struct broadcast_entry *entries; /* uthash by fingerprint */
};

void broadcast_init (struct broadcast *broadcast, struct peer_node *peers);
void broadcast_finish (struct broadcast *broadcast);

/* The gateway's strike hooks; context is the struct broadcast. */
void broadcast_strike (void *context,
                       const char *fingerprint,
                       const char *host,
                       const char *boot_id);
bool broadcast_is_acknowledged (void *context, const char *fingerprint);

#endif
