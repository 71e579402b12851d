#ifndef EDGE_GOSSIP_H
#define EDGE_GOSSIP_H

#include "catalog.h"
#include "endpoints.h"
#include "lease.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Datagrams between entry hosts, in XDR (RFC 4506).  mesh.h says who sends
 * what to whom.
 */

#define GOSSIP_VERSION 2
#define GOSSIP_BYTES 1400 /* one datagram without fragments on Ethernet */
#define GOSSIP_LOADS 40   /* entries of one message */
#define GOSSIP_HOSTS 12
#define GOSSIP_PATCH_BYTES 1024 /* of a patch in one message */
#define GOSSIP_ROUTED_COUNT 120 /* endpoints in one message */
#define GOSSIP_NEVER_MS UINT32_MAX

enum gossip_kind
{
  GOSSIP_LOAD = 1,   /* what the sender runs */
  GOSSIP_SUM,        /* what the hosts of its data centre run */
  GOSSIP_TOTAL,      /* what all hosts run */
  GOSSIP_HELLO,      /* the sender wants to know the hosts */
  GOSSIP_KNOWN,      /* hosts that the sender knows */
  GOSSIP_ASK,        /* how current is what the receiver knows? */
  GOSSIP_VOUCH,      /* the answer */
  GOSSIP_REPORT,     /* an endpoint's entry on the platform */
  GOSSIP_DELETED,    /* such an entry is gone */
  GOSSIP_PATCH,      /* a piece of a newer configuration, see handover.h */
  GOSSIP_ASK_ROUTED, /* an ASK for the endpoints that are routed to */
  GOSSIP_ROUTED,     /* the answer, see routed.h */
};

struct gossip_load
{
  uint64_t endpoint; /* hash_string of its id */
  uint32_t running;
  uint32_t reading;   /* prompt tokens of those that have not begun */
  uint32_t silent_ms; /* since the last sign of life of a request there */
  bool stands_still;  /* the sender avoids it for that reason */
  bool leaves;        /* it said so to the sender */
};

/* LOAD, SUM and TOTAL: entries from first on, of total. */
struct gossip_loads
{
  uint32_t hosts; /* that the entries are of */
  uint32_t first;
  uint32_t total;
  uint32_t count;
  struct gossip_load list[GOSSIP_LOADS];
  /* Lease of the sender's data centre as it knows it; version 0 = not. */
  uint64_t lease_version;
  struct lease_value lease;
};

struct gossip_host
{
  char name[CATALOG_NAME_SIZE];
  char data_centre[CATALOG_NAME_SIZE];
  char address[16]; /* IPv4 */
  uint16_t port;
  uint32_t capacity; /* thousandths of a processor core */
};

struct gossip_hosts
{
  uint32_t known; /* by the sender, in all */
  uint32_t count;
  struct gossip_host list[GOSSIP_HOSTS];
};

struct gossip_ask
{
  uint64_t nonce;        /* the asker's clock, returned with the answer */
  uint64_t revision;     /* up to which the asker knows the entries */
  int64_t configuration; /* version that the asker has; 0 = none */
};

struct gossip_vouch
{
  uint64_t nonce;
  int64_t configuration;         /* version; 0 = none */
  uint32_t configuration_age_ms; /* since it was known to be current */
  uint32_t entries_age_ms;       /* the same of the entries */
  uint64_t revision;             /* up to which the entries are known */
  uint64_t digest;               /* see endpoints.h */
  bool patched; /* a patch to that configuration was sent before this */
};

/* Bytes of the patch from first on, of total. */
struct gossip_patch
{
  int64_t from; /* versions of the configuration */
  int64_t to;
  uint64_t revision; /* of the newer one's record on the platform */
  uint64_t digest;   /* hash_string of the newer one's text */
  uint32_t total;
  uint32_t first;
  uint32_t count;
  char bytes[GOSSIP_PATCH_BYTES];
};

/* Endpoints that are routed to, from first on, of total. */
struct gossip_routed
{
  uint64_t nonce;    /* of the question */
  uint64_t revision; /* up to which the sender knows the entries */
  uint32_t total;
  uint32_t first;
  uint32_t count;
  uint64_t list[GOSSIP_ROUTED_COUNT]; /* hash_string of their ids */
};

struct gossip_report
{
  char endpoint[CATALOG_NAME_SIZE];
  uint64_t revision;
  struct endpoint_report report; /* not for GOSSIP_DELETED */
};

struct gossip_message
{
  enum gossip_kind kind;
  struct gossip_host sender; /* without address */
  uint64_t boot;             /* of the process */
  uint32_t sequence;         /* rises with each message */
  bool traffic;              /* the sender knows of requests */
  union
  {
    struct gossip_loads loads;
    struct gossip_hosts hosts;
    struct gossip_ask ask;
    struct gossip_vouch vouch;
    struct gossip_report report;
    struct gossip_patch patch;
    struct gossip_routed routed;
  } body;
};

/* The size, or 0 if the message does not fit. */
size_t
gossip_encode (struct gossip_message *message, void *buffer, size_t size);

/* RESULT_PEER_BAD_MESSAGE unless the whole buffer is one message. */
enum result
gossip_decode (struct gossip_message *message, const void *buffer, size_t size);

#endif
