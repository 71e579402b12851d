#ifndef CONTROL_PROBER_H
#define CONTROL_PROBER_H

#include "fleet.h"
#include "http-connection.h"
#include "member.h"
#include "peer.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Health of the endpoints of our data centre.  Rendezvous hashing selects two
 * live entry hosts per endpoint as its probers; they read GET /v1/state and
 * report the result to the other entry hosts.  When an entry host fails, the
 * next in rank takes over its endpoints without coordination.
 */

#define PROBER_RANKS 2 /* probers per endpoint */
#define PROBER_INTERVAL_MS 500
#define PROBER_TIMEOUT_MS 1000

/*
 * Intervals between refreshes, which report that only the load changed, and
 * between full reports.
 */
#define PROBER_REFRESH_INTERVAL_MS 900
#define PROBER_FULL_INTERVAL_MS 15000

#define PROBER_PEER_SILENCE_MS 1200    /* after it the next in rank reports */
#define PROBER_RANK_INTERVAL_MS 500    /* between computations of a rank */
#define PROBER_PROBE_AGE_LIMIT_MS 1200 /* an older probe is not reported */
/* Full reports per change, since a datagram may be lost. */
#define PROBER_CHANGE_REPORTS 2

struct prober_target
{
  char id[FLEET_NAME_SIZE];
  struct prober *prober;
  struct http_connection connection; /* closed until it is probed */
  struct http_text body;             /* of the response */
  char address[FLEET_ADDRESS_SIZE];
  uint16_t port;
  bool request_in_flight;        /* a request has no response yet */
  int64_t requested_ms;          /* time of the last request */
  int64_t next_probe_ms;         /* time of the next request */
  int64_t reported_ms;           /* last report, full or refresh */
  int64_t full_reported_ms;      /* last full report */
  unsigned pending_full_reports; /* full reports still to send after a change */
  size_t rank; /* of this entry host among the endpoint's probers */
  int64_t rank_computed_ms; /* when the rank was computed */
  int64_t probed_ms;        /* last successful probe by this entry host */
  int64_t peer_reported_ms; /* last report of a peer with the digest we hold */
  UT_hash_handle hh;
};

struct prober
{
  struct event_base *base;
  struct fleet *fleet;
  struct member_table *members;
  struct peer_node *peers;
  struct prober_target *targets; /* uthash by id */
  size_t live_count; /* live entry hosts of the data centre at the last tick */
  uint64_t probes;   /* requests started */
  uint64_t failures; /* requests without a valid response */
};

void prober_init (struct prober *prober,
                  struct event_base *base,
                  struct fleet *fleet,
                  struct member_table *members,
                  struct peer_node *peers);
void prober_finish (struct prober *prober);
void prober_tick (struct prober *prober, int64_t now_ms);

/* Applies an attestation that a peer reported, unless ours is newer. */
void prober_merge_attestation (struct prober *prober,
                               const char *host,
                               const struct fleet_attestation *attested);

/*
 * Applies a refresh from a peer: its probe returned the attestation with this
 * digest.  Ignored if the attestation that we hold has another digest.
 */
void prober_merge_fresh_entry (struct prober *prober,
                               const struct peer_fresh_entry *entry);

#endif
