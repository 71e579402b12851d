#ifndef DAEMON_STRIKE_BROADCAST_H
#define DAEMON_STRIKE_BROADCAST_H

#include "peer.h"
#include "strikes.h"

#include <stdbool.h>
#include <sys/queue.h>
#include <uthash.h>

/*
 * Strikes that are being sent to the peers of the data centre.  A request that
 * has a strike is retried only after the peers acknowledged it or the peer
 * protocol gave up.
 *
 * A peer that joins, or has restarted, knows no strikes.  It is sent the recent
 * strikes of traits that have several, with which it refuses what the others
 * refuse, and then that these were all.  It takes no requests until all live
 * peers have done so, or STRIKE_BROADCAST_JOIN_TIMEOUT_MS has passed.
 */

/* Peers reply within a second, or are found dead. */
#define STRIKE_BROADCAST_JOIN_TIMEOUT_MS 2000

#define STRIKE_BROADCAST_RECENT 128 /* strikes that are remembered */
#define STRIKE_BROADCAST_PEERS 128  /* entry hosts of one data centre */

/* A strike as it was sent or received. */
struct recent_strike
{
  char trait[HASH_HEX_SIZE];
  char host[MEMBER_NAME_SIZE];
  char boot_id[MEMBER_NAME_SIZE];
  int64_t at_ms;
};

/* A live peer that has been sent the recent strikes. */
struct informed_peer
{
  char host[MEMBER_NAME_SIZE];
  uint64_t incarnation;
};

/* The recent strikes on their way to a peer that has joined. */
struct strike_handover
{
  struct strike_broadcast *broadcast;
  char receiver[MEMBER_NAME_SIZE];
  unsigned pending_count; /* sends neither acknowledged nor given up */
  LIST_ENTRY (strike_handover) link;
};

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
  struct recent_strike recent[STRIKE_BROADCAST_RECENT]; /* ring buffer */
  unsigned recent_added;                                /* since the start */
  struct informed_peer informed[STRIKE_BROADCAST_PEERS];
  unsigned informed_count;
  int64_t next_check_ms; /* of the peers */
  LIST_HEAD (, strike_handover) handovers;
  /* Peers that have told all their strikes. */
  char told[STRIKE_BROADCAST_PEERS][MEMBER_NAME_SIZE];
  unsigned told_count;
  int64_t started_ms;
  bool has_joined; /* requests may be taken */
};

/* has_peers: false if there is nobody who could tell strikes. */
void strike_broadcast_init (struct strike_broadcast *broadcast,
                            struct peer_node *peers,
                            bool has_peers,
                            int64_t now_ms);
void strike_broadcast_finish (struct strike_broadcast *broadcast);

/* Hooks of the gateway; context is the struct strike_broadcast. */
void strike_broadcast_send (void *context,
                            const char *fingerprint,
                            const char *host,
                            const char *boot_id);
/* Hook of the gateway: tells the peers that a request was answered. */
void strike_broadcast_send_answer (void *context, const char *trait);
/* Keeps a strike that a peer reported, for peers that join. */
void strike_broadcast_remember (struct strike_broadcast *broadcast,
                                const char *trait,
                                const char *host,
                                const char *boot_id,
                                int64_t at_ms);
/* The peer has told all its strikes. */
void strike_broadcast_note_told (struct strike_broadcast *broadcast,
                                 const char *from);
/* Sends the recent strikes to peers that have joined. */
void strike_broadcast_tick (struct strike_broadcast *broadcast,
                            const struct strikes *strikes,
                            int64_t now_ms);
/* Returns true also after the peer protocol gave up. */
bool strike_broadcast_is_finished (void *context, const char *fingerprint);

#endif
