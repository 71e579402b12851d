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
 * The entry hosts' own protocol (peer.x) over non-blocking sockets: carries
 * membership, health of the endpoints, demand, strikes and, over TCP, copies
 * of the objects that came from the platform.
 */

#define PEER_CALL_TIMEOUT_MS 1000
#define PEER_FETCH_TIMEOUT_MS 1000 /* leaves time for others within 3 s */
#define PEER_STRIKE_RETRY_MS 200
#define PEER_LOG_INTERVAL_MS 10000 /* one line per kind of bad message */

enum peer_object_id
{
  PEER_SHEET = 1,
  PEER_CONTROL = 2,
  PEER_ASSIGNMENT = 3,
  PEER_HOSTS = 4,
};

struct peer_fresh_entry
{
  uint32_t host;   /* see peer_host_hash */
  uint64_t digest; /* see peer_attestation_digest */
  int64_t seen_ms;
  unsigned running;
  unsigned queued;
};

/* What the owner of the node wants to hear.  All pointers are borrowed. */
struct peer_hooks
{
  void *context;
  void (*health) (void *context,
                  const char *host,
                  const struct fleet_attestation *attested);
  /* A prober saw the endpoint again, with only its load changed. */
  void (*fresh) (void *context, const struct peer_fresh_entry *entry);
  void (*demand) (void *context,
                  const char *from,
                  const char *name,
                  unsigned demand);
  void (*strike) (void *context,
                  const char *fingerprint,
                  const char *host,
                  const char *boot_id);
  /* The newest copy of an object as JSON text, or NULL. */
  const char *(*object) (void *context,
                         enum peer_object_id id,
                         uint64_t *number);
};

struct peer_counts
{
  uint64_t sent;
  uint64_t received;
  uint64_t bytes_sent; /* payload of UDP and TCP */
  uint64_t bytes_received;
  uint64_t bad_message;
  uint64_t bad_mac;
  uint64_t replayed;
  uint64_t too_large;
};

struct peer_call;      /* a call that waits for its reply; private */
struct peer_stream;    /* a TCP connection; private */
struct peer_broadcast; /* strikes that wait for acknowledgements; private */

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
  struct event *readable;
  struct evconnlistener *listener;
  struct peer_call *calls; /* uthash by xid */
  struct peer_stream *streams;
  struct peer_broadcast *broadcasts;
  int64_t logged_ms[4]; /* by kind of bad message */
  /*
   * Test setting: messages from and to this data centre are dropped; "*"
   * means every data centre but our own, "**" every peer.
   */
  char cut[MEMBER_NAME_SIZE];
};

/*
 * Opens UDP and TCP on members->self.address and port; with port 0 one is
 * picked and written back.  RESULT_PEER_UNREACHABLE if that fails.
 */
enum result peer_init (struct peer_node *node,
                       struct event_base *base,
                       struct member_table *members,
                       const struct peer_hooks *hooks,
                       const struct peer_keys *keys);
void peer_finish (struct peer_node *node);

/* True if the test setting cuts us off from this data centre. */
bool peer_is_cut (const struct peer_node *node, const char *data_centre);

/* Runs membership, sends what is due and ends calls without an answer. */
void peer_tick (struct peer_node *node, int64_t now_ms);

/* Tells every live member now, e.g. of a leave or of new versions. */
void peer_announce (struct peer_node *node, int64_t now_ms);

/* One-way, to every live member of our data centre. */
struct peer_health_entry
{
  const char *host;
  const struct fleet_attestation *attested;
};
void peer_send_health (struct peer_node *node,
                       const struct peer_health_entry *entries,
                       size_t count,
                       int64_t now_ms);

uint32_t peer_host_hash (const char *host);

/* Over everything that an endpoint attests but its load. */
uint64_t peer_attestation_digest (const struct fleet_attestation *attested);

/* One-way, to every live member of our data centre. */
void peer_send_fresh (struct peer_node *node,
                      const struct peer_fresh_entry *entries,
                      size_t count,
                      int64_t now_ms);

struct peer_demand_entry
{
  const char *name;
  unsigned demand;
};
void peer_send_demand (struct peer_node *node,
                       const struct peer_demand_entry *entries,
                       size_t count);

/*
 * Tells a strike to every live member of our data centre until all
 * acknowledged it or PEER_CALL_TIMEOUT_MS passed; then calls done, if any.
 */
void peer_send_strike (struct peer_node *node,
                       const char *fingerprint,
                       const char *host,
                       const char *boot_id,
                       int64_t now_ms,
                       void (*done) (void *context),
                       void *context);

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
