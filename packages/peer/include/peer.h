#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "fleet.h"
#include "member.h"
#include "peercodec.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The protocol between entry hosts (peer.x) over non-blocking sockets.  It
 * carries membership, health of endpoints, demand and strikes over UDP, and
 * copies of the platform's objects over TCP.
 */

#define PEER_CALL_TIMEOUT_MS 1000
#define PEER_STRIKE_RETRY_INTERVAL_MS 200

/* Leaves time to try other peers within 3 s. */
#define PEER_FETCH_TIMEOUT_MS 1000

/* Shortest interval between log lines about one kind of bad message. */
#define PEER_LOG_INTERVAL_MS 10000

enum peer_object_id
{
  PEER_SHEET = 1,
  PEER_CONTROL = 2,
  PEER_ASSIGNMENT = 3,
  PEER_HOSTS = 4,
};

/* Refresh of an attestation of which only the load has changed. */
struct peer_fresh_entry
{
  uint32_t host;    /* see peer_host_hash */
  uint64_t digest;  /* see peer_attestation_digest */
  int64_t seen_ms;  /* time of the probe */
  unsigned running; /* requests in progress on the endpoint */
  unsigned queued;  /* requests in its queue */
};

/* Called for received messages.  All pointers are borrowed. */
struct peer_hooks
{
  void *context;
  /* A prober reported the attestation of an endpoint. */
  void (*health_reported) (void *context,
                           const char *host,
                           const struct fleet_attestation *attested);
  /* A prober reported that only the load of an endpoint changed. */
  void (*fresh_reported) (void *context, const struct peer_fresh_entry *entry);
  /* The entry host "from" reported its demand; see peer_demand_entry. */
  void (*demand_reported) (void *context,
                           const char *from,
                           const char *name,
                           unsigned demand);
  /* A request with this trait (see strikes.h) crashed the endpoint on host. */
  void (*strike_reported) (void *context,
                           const char *trait,
                           const char *host,
                           const char *boot_id,
                           int64_t at_ms);
  /* A request with this trait was answered. */
  void (*answer_reported) (void *context, const char *trait);
  /* The sender has told all the strikes that a peer that joins has to know. */
  void (*strikes_told) (void *context, const char *from);
  /* Returns the newest copy of an object as JSON text; NULL = none. */
  const char *(*find_object_text) (void *context,
                                   enum peer_object_id id,
                                   uint64_t *number);
};

struct peer_counts
{
  uint64_t sent;       /* datagrams */
  uint64_t received;   /* datagrams */
  uint64_t bytes_sent; /* payload of UDP and TCP */
  uint64_t bytes_received;
  uint64_t bad_message;
  uint64_t bad_mac;
  uint64_t replayed;
  uint64_t too_large;
};

struct peer_call;      /* a call without a reply yet; private */
struct peer_stream;    /* a TCP connection; private */
struct peer_broadcast; /* a strike without all acknowledgements; private */

struct peer_node
{
  struct event_base *base;
  struct member_table *members;
  struct peer_hooks hooks;
  struct peer_keys keys;
  struct peer_windows windows;
  struct peer_counts counts;
  uint64_t boot;
  uint64_t sequence;
  uint32_t next_xid;
  int socket;
  struct event *read_event;
  struct evconnlistener *listener;
  struct peer_call *calls; /* uthash by xid */
  struct peer_stream *streams;
  struct peer_broadcast *broadcasts;
  int64_t last_logged_ms[4]; /* last log line on each kind of bad message */
  /*
   * Test setting: messages from and to this data centre are dropped; "*"
   * means every data centre but our own, "**" every peer, "" none.
   */
  char partitioned_data_centre[MEMBER_NAME_SIZE];
};

/*
 * Opens UDP and TCP on members->self.address and port.  With port 0 a free port
 * is picked and stored in members->self.  RESULT_PEER_UNREACHABLE if no port
 * can be opened.
 */
enum result peer_init (struct peer_node *node,
                       struct event_base *base,
                       struct member_table *members,
                       const struct peer_hooks *hooks,
                       const struct peer_keys *keys);
void peer_finish (struct peer_node *node);

/* True if the test setting drops messages from and to this data centre. */
bool peer_is_partitioned (const struct peer_node *node,
                          const char *data_centre);

/* Runs membership, sends messages that are due and expires calls. */
void peer_tick (struct peer_node *node, int64_t now_ms);

/* Pings every live member now, to announce a leave or new versions. */
void peer_announce (struct peer_node *node, int64_t now_ms);

struct peer_health_entry
{
  const char *host;
  const struct fleet_attestation *attested;
};

/* Sends attestations to every live member of our data centre, one-way. */
void peer_send_health (struct peer_node *node,
                       const struct peer_health_entry *entries,
                       size_t count,
                       int64_t now_ms);

/* Hash that stands for the name of a host in a peer_fresh_entry. */
uint32_t peer_host_hash (const char *host);

/* Digest of everything that an endpoint attests except its load. */
uint64_t peer_attestation_digest (const struct fleet_attestation *attested);

/* Sends refreshes to every live member of our data centre, one-way. */
void peer_send_fresh (struct peer_node *node,
                      const struct peer_fresh_entry *entries,
                      size_t count,
                      int64_t now_ms);

struct peer_demand_entry
{
  const char *name; /* "model/M", "service/S" or "customer/C" */
  unsigned demand;
};

/* Sends the demand to every live member of our data centre, one-way. */
void peer_send_demand (struct peer_node *node,
                       const struct peer_demand_entry *entries,
                       size_t count);

/*
 * Sends a new strike to every live member of our data centre, repeatedly until
 * all have acknowledged it or PEER_CALL_TIMEOUT_MS has passed; then calls done
 * unless it is NULL.
 */
void peer_send_strike (struct peer_node *node,
                       const char *trait,
                       const char *host,
                       const char *boot_id,
                       int64_t now_ms,
                       void (*done) (void *context),
                       void *context);

/*
 * Tells every live member of our data centre, in the same way, that a request
 * with this trait was answered.
 */
void
peer_send_answer (struct peer_node *node, const char *trait, int64_t now_ms);

/* Tells receiver, in the same way, a strike that was recorded at at_ms. */
void peer_tell_strike (struct peer_node *node,
                       const char *receiver,
                       const char *trait,
                       const char *host,
                       const char *boot_id,
                       int64_t at_ms,
                       int64_t now_ms,
                       void (*done) (void *context),
                       void *context);

/*
 * Tells receiver, in the same way, that it has been sent all strikes that it
 * has to know.
 */
void peer_send_strikes_told (struct peer_node *node,
                             const char *receiver,
                             int64_t now_ms);

/*
 * Fetches a peer's copy of an object over TCP.  done is called exactly once;
 * text (NUL-terminated) is NULL unless the result is RESULT_OK.
 */
void peer_fetch_object (struct peer_node *node,
                        const char *address,
                        uint16_t port,
                        enum peer_object_id id,
                        void (*done) (void *context,
                                      enum result result,
                                      uint64_t number,
                                      const char *text),
                        void *context);

#endif
