#ifndef EDGE_GOSSIP_H
#define EDGE_GOSSIP_H

#include "catalog.h"
#include "endpoints.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Datagrams between entry hosts, in XDR (RFC 4506).
 *
 * A load message tells what the sender runs where; a report message repeats
 * what the platform's list says of endpoints, so that most hosts learn of a
 * change without a call to the platform.
 */

#define GOSSIP_VERSION 1
#define GOSSIP_BYTES 1400 /* one datagram without fragments on Ethernet */
#define GOSSIP_LOADS 48   /* entries of one message */
#define GOSSIP_NEVER_MS UINT32_MAX

enum gossip_kind
{
  GOSSIP_LOAD = 1,
  GOSSIP_REPORT = 2,
};

struct gossip_load
{
  uint64_t endpoint; /* hash_string of its id */
  uint32_t running;
  uint32_t reading;   /* prompt tokens of those that have not begun */
  uint32_t silent_ms; /* since the last sign of life of a request there */
  bool stands_still;  /* the sender avoids it for that reason */
};

struct gossip_message
{
  enum gossip_kind kind;
  char host[CATALOG_NAME_SIZE];
  char data_centre[CATALOG_NAME_SIZE];
  uint64_t boot;     /* of the process */
  uint32_t sequence; /* rises with each message */
  bool traffic;      /* the sender has seen requests */

  /* GOSSIP_LOAD: the part of the sender's entries from first on, of total. */
  uint32_t first;
  uint32_t total;
  uint32_t load_count;
  struct gossip_load loads[GOSSIP_LOADS];

  /* GOSSIP_REPORT */
  char endpoint[CATALOG_NAME_SIZE];
  uint64_t revision;
  struct endpoint_report report;
};

/* The size, or 0 if the message does not fit. */
size_t
gossip_encode (struct gossip_message *message, void *buffer, size_t size);

/* RESULT_PEER_BAD_MESSAGE unless the whole buffer is one message. */
enum result gossip_decode (struct gossip_message *message,
                           const void *buffer,
                           size_t size);

#endif
