#ifndef EDGE_GOSSIP_H
#define EDGE_GOSSIP_H

#include "catalog.h"
#include "endpoints.h"
#include "evacuations.h"
#include "lease.h"
#include "result.h"
#include "strikes.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Datagrams between entry hosts, in XDR (RFC 4506).  mesh.h describes which
 * host sends which message.
 */

#define GOSSIP_VERSION 3
#define GOSSIP_DATAGRAM_LIMIT_BYTES                                            \
  1400 /* one datagram without fragments on Ethernet */
/* Limits of one message. */
#define GOSSIP_LOAD_LIMIT 40 /* fewer if some have a request limit */
#define GOSSIP_HOST_LIMIT 12
#define GOSSIP_PATCH_BYTES 1024
#define GOSSIP_ROUTED_LIMIT 120
#define GOSSIP_STRIKE_LIMIT 18
#define GOSSIP_COLD_LIMIT 90
/* Names of hosts and data centres; the settings allow no longer ones. */
#define GOSSIP_NAME_SIZE 64
/* An age that has no value, or does not fit. */
#define GOSSIP_NEVER_MS UINT32_MAX

enum gossip_kind
{
  GOSSIP_LOAD = 1,    /* loads of the sender */
  GOSSIP_SUM,         /* loads of the hosts of the sender's data centre */
  GOSSIP_TOTAL,       /* loads of all hosts */
  GOSSIP_HELLO,       /* requests the hosts that the receiver knows */
  GOSSIP_KNOWN_HOSTS, /* response to GOSSIP_HELLO */
  /* Requests the receiver's freshness and the entries that changed. */
  GOSSIP_SYNC_REQUEST,
  GOSSIP_SYNC_RESPONSE,
  GOSSIP_REPORT,  /* entry of an endpoint on the platform */
  GOSSIP_DELETED, /* an endpoint's entry was deleted */
  GOSSIP_PATCH,   /* chunk of a patch to a newer configuration, see
                     config-distribution.h */
  /* Requests the endpoints that the receiver routes to. */
  GOSSIP_ROUTED_REQUEST,
  GOSSIP_ROUTED_RESPONSE, /* chunk of the response, see routed-snapshot.h */
  GOSSIP_STRIKES,         /* crashes and answers, see strike-sync.h */
  /*
   * Evacuated data centres, see evacuation-sync.h.  Sent only where they are
   * followed; hosts of earlier versions drop it.
   */
  GOSSIP_EVACUATIONS,
  /* Routed endpoints that are cold, see cold-sync.h; dropped likewise. */
  GOSSIP_COLD,
  GOSSIP_KINDS, /* no message */
};

struct gossip_load
{
  uint64_t endpoint;       /* hash_string of its id */
  uint32_t running;        /* requests */
  uint32_t prefill_tokens; /* prompt tokens of requests without an event yet */
  uint32_t inactive_ms;    /* since the last activity of its requests */
  bool is_stalled;         /* its requests are stalled: the sender avoids it */
  bool is_leaving;         /* it reported to the sender that it leaves */
  /* The rest counts only if set; see request-limit.h. */
  bool has_limit;
  uint32_t limit_per_1000_s; /* 0 = its limit has ended */
  uint32_t limit_age_ms;     /* since the endpoint stated that */
  uint32_t sent_millionths;  /* requests, decaying */
  uint32_t wanted_millionths;
};

/* LOAD, SUM and TOTAL: entries from first on, of total. */
struct gossip_loads
{
  uint32_t hosts; /* number of hosts that the loads are summed over */
  uint32_t first;
  uint32_t total;
  uint32_t count;
  struct gossip_load list[GOSSIP_LOAD_LIMIT];
  /* Lease of the sender's data centre; version 0 = the sender knows none. */
  uint64_t lease_version;
  struct lease_value lease;
};

struct gossip_host
{
  char name[GOSSIP_NAME_SIZE];
  char data_centre[GOSSIP_NAME_SIZE];
  char address[16]; /* IPv4 */
  uint16_t port;
  uint32_t capacity; /* thousandths of a processor core */
};

struct gossip_hosts
{
  uint32_t known; /* number of hosts that the sender knows */
  uint32_t count;
  struct gossip_host list[GOSSIP_HOST_LIMIT];
};

struct gossip_sync_request
{
  uint64_t nonce;    /* the sender's clock, returned in the response */
  uint64_t revision; /* up to which the sender knows the entries */
  int64_t configuration_version; /* version that the sender has; 0 = none */
};

struct gossip_sync_response
{
  uint64_t nonce;                /* of the request */
  int64_t configuration_version; /* version; 0 = none */
  uint32_t configuration_age_ms; /* since it was known to be current */
  uint32_t entries_age_ms;       /* since the entries were */
  uint64_t revision;             /* up to which the entries are known */
  uint64_t digest;               /* of the entries, see endpoints.h */
  /* A patch to that configuration was sent before this response. */
  bool is_patch_sent;
};

/* A chunk of a patch: count bytes from first on, of total. */
struct gossip_patch
{
  int64_t from; /* versions of the configuration */
  int64_t to;
  uint64_t revision; /* of the newer version's record on the platform */
  uint64_t digest;   /* hash_string of the newer version's text */
  uint32_t total;
  uint32_t first;
  uint32_t count;
  char bytes[GOSSIP_PATCH_BYTES];
};

/* A chunk of the routed endpoints: count entries from first on, of total. */
struct gossip_routed
{
  uint64_t nonce;    /* of the request */
  uint64_t revision; /* up to which the sender knows the entries */
  uint32_t total;
  uint32_t first;
  uint32_t count;
  uint64_t list[GOSSIP_ROUTED_LIMIT]; /* hash_string of the ids */
};

/* A crash at which the trait was, or an answer with it. */
struct gossip_strike
{
  char trait[HASH_HEX_SIZE];
  bool is_part;
  uint64_t crash; /* 0 = an answer */
  uint32_t age_ms;
};

struct gossip_strikes
{
  uint32_t count;
  struct gossip_strike list[GOSSIP_STRIKE_LIMIT];
};

/* The evacuations in the store. */
struct gossip_evacuations
{
  uint64_t revision; /* of the store */
  uint32_t age_ms;   /* since they were known to be current */
  uint32_t count;
  uint64_t list[EVACUATIONS_LIMIT]; /* hash_string of the names */
};

struct gossip_cold
{
  uint32_t count;
  struct
  {
    uint64_t endpoint; /* hash_string of its id */
    uint32_t left_ms;  /* when the message was sent */
  } list[GOSSIP_COLD_LIMIT];
};

struct gossip_report
{
  const char *endpoint;
  uint64_t revision;
  struct endpoint_report report; /* not for GOSSIP_DELETED */
  /* The texts of a message that was received. */
  size_t texts_size;
  char texts[GOSSIP_DATAGRAM_LIMIT_BYTES];
};

struct gossip_message
{
  enum gossip_kind kind;
  struct gossip_host sender; /* without address */
  uint64_t boot;             /* identifies the sender's process */
  uint32_t sequence;         /* grows with each message of a process, wraps */
  bool has_traffic;          /* some host has seen requests */
  union
  {
    struct gossip_loads loads;
    struct gossip_hosts hosts;
    struct gossip_sync_request sync_request;
    struct gossip_sync_response sync_response;
    struct gossip_report report;
    struct gossip_patch patch;
    struct gossip_routed routed;
    struct gossip_strikes strikes;
    struct gossip_evacuations evacuations;
    struct gossip_cold cold;
  } body;
};

/* Number of the loads, from the first one on, that fit one message. */
unsigned gossip_count_fitting_loads (const struct gossip_load *loads,
                                     unsigned count);

/* Returns the encoded size in bytes, or 0 if the message does not fit. */
size_t
gossip_encode (struct gossip_message *message, void *buffer, size_t size);

/* RESULT_PEER_BAD_MESSAGE unless the whole buffer is one message. */
enum result
gossip_decode (struct gossip_message *message, const void *buffer, size_t size);

/*
 * True if a message repeats another of the same process, or comes late, after
 * the newest one.  Sequence numbers wrap (RFC 1982): at 1,000 messages a
 * second, after 50 days.
 */
bool gossip_is_late (uint32_t newest, uint32_t sequence);

#endif
