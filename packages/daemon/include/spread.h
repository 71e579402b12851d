#ifndef DAEMON_SPREAD_H
#define DAEMON_SPREAD_H

#include "peer.h"
#include "strikes.h"

#include <stdbool.h>
#include <uthash.h>

/*
 * Strikes on their way to the peers of the data centre.  A retry of a struck
 * request waits until they acknowledged or the peer protocol gave up.
 */

struct spread_entry
{
  struct spread *spread;
  char fingerprint[HASH_HEX_SIZE];
  unsigned waiting; /* strikes that are not acknowledged yet */
  UT_hash_handle hh;
};

struct spread
{
  struct peer_node *peers;
  struct spread_entry *entries; /* uthash by fingerprint */
};

void spread_init (struct spread *spread, struct peer_node *peers);
void spread_finish (struct spread *spread);

/* The gateway's strike hooks; context is the struct spread. */
void spread_strike (void *context,
                    const char *fingerprint,
                    const char *host,
                    const char *boot_id);
bool spread_is_acknowledged (void *context, const char *fingerprint);

#endif
