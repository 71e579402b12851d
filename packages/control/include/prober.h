#ifndef CONTROL_PROBER_H
#define CONTROL_PROBER_H

#include "fleet.h"
#include "member.h"
#include "peer.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Health of the endpoints of our data centre.  Each endpoint has two probers
 * among the live entry hosts, by rendezvous hash, which read GET /v1/state and
 * tell the others.  When an entry host dies its endpoints move to the next in
 * rank by themselves.
 */

#define PROBER_RANKS 2
#define PROBER_INTERVAL_MS 500
#define PROBER_TIMEOUT_MS 1000
#define PROBER_REFRESH_MS 900  /* a short entry tells that nothing changed */
#define PROBER_FULL_MS 15000   /* the whole result is told again after this */
#define PROBER_SILENCE_MS 1200 /* then the next prober tells */
#define PROBER_RANK_MS 500     /* ranks are computed anew */
#define PROBER_OWN_MS 1200     /* an older probe of ours is not told */
#define PROBER_CHANGE_SENDS 2  /* a change is told so often, against loss */

struct prober_target
{
  char id[FLEET_NAME_SIZE];
  struct prober *prober;
  struct evhttp_connection *connection;
  char address[FLEET_ADDRESS_SIZE];
  uint16_t port;
  bool waiting;
  int64_t started_ms; /* when the probe that is waited for was sent */
  int64_t next_ms;
  int64_t sent_ms; /* whole or short */
  int64_t sent_full_ms;
  unsigned to_send;  /* how often the whole result is still to be told */
  size_t rank;       /* ours among the probers of this endpoint */
  int64_t ranked_ms; /* when it was computed */
  int64_t probed_ms; /* last success of our own probe */
  int64_t heard_ms;  /* when a peer told the same of it */
  UT_hash_handle hh;
};

struct prober
{
  struct event_base *base;
  struct fleet *fleet;
  struct member_table *members;
  struct peer_node *peers;
  struct prober_target *targets; /* uthash by id */
  size_t live; /* entry hosts of the data centre at the last tick */
  uint64_t probes;
  uint64_t failures;
};

void prober_init (struct prober *prober,
                  struct event_base *base,
                  struct fleet *fleet,
                  struct member_table *members,
                  struct peer_node *peers);
void prober_finish (struct prober *prober);
void prober_tick (struct prober *prober, int64_t now_ms);

/* Takes over what a peer saw, unless ours is newer. */
void prober_take (struct prober *prober,
                  const char *host,
                  const struct fleet_attestation *attested);

/* A peer saw an endpoint again with the contents that the digest names. */
void prober_take_fresh (struct prober *prober,
                        const struct peer_fresh_entry *entry);

#endif
