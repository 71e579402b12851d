#ifndef PEER_PEERCODEC_H
#define PEER_PEERCODEC_H

#include "result.h"

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * ONC RPC messages between entry hosts: encoding, authentication and replay
 * protection, without I/O.  The verifier of each message carries the sender,
 * its boot and sequence numbers, and an HMAC-SHA-256 over the whole message.
 */

#define PEER_KEYS_LIMIT 8
#define PEER_KEY_SIZE_MIN 16 /* bytes */
#define PEER_KEY_SIZE_MAX 64
#define PEER_SENDER_SIZE 64
#define PEER_DATAGRAM_LIMIT_BYTES 1400 /* bytes; fits an Ethernet frame */
#define PEER_AUTH_FLAVOR 0x20577801

/*
 * Largest difference between the send time of a message and the receiver's wall
 * clock; beyond it the message counts as a replay.  Kerberos uses this limit.
 */
#define PEER_CLOCK_TOLERANCE_MS INT64_C (300000)

struct peer_key
{
  uint32_t id;
  unsigned char secret[PEER_KEY_SIZE_MAX];
  size_t size;
};

/* The first key signs and all keys verify, so that keys can be rotated. */
struct peer_keys
{
  struct peer_key list[PEER_KEYS_LIMIT];
  size_t count;
};

/*
 * Adds a key from "ID:HEX".  RESULT_INVALID if the text is malformed,
 * RESULT_TOO_LARGE if PEER_KEYS_LIMIT keys are present.
 */
enum result peer_keys_add (struct peer_keys *keys, const char *text);

struct peer_header
{
  bool is_call;
  uint32_t xid;
  uint32_t procedure; /* of a call */
  char sender[PEER_SENDER_SIZE];
  uint64_t boot;        /* incarnation at the sender's start */
  uint64_t sequence;    /* rises with each message of one boot */
  int64_t sent_wall_ms; /* the sender's wall clock */
};

/* XDR routine for a message without arguments; has the type of xdrproc_t. */
bool_t peer_xdr_void (XDR *xdr, ...);

/* RESULT_PEER_TOO_LARGE if the message does not fit. */
enum result peer_encode (const struct peer_keys *keys,
                         const struct peer_header *header,
                         xdrproc_t body,
                         void *arguments,
                         char *buffer,
                         size_t size,
                         size_t *used);

/*
 * Decodes the header and verifies the authentication.  RESULT_PEER_BAD_MESSAGE,
 * RESULT_PEER_BAD_MAC, or RESULT_OK with the offset of the body.  The buffer is
 * modified and restored during the call.
 */
enum result peer_decode (const struct peer_keys *keys,
                         char *buffer,
                         size_t size,
                         struct peer_header *header,
                         size_t *body_offset);

/*
 * Decodes the body into arguments, which must be zeroed; the caller releases it
 * with xdr_free in any case.  False if the body is malformed or bytes follow
 * it.
 */
bool peer_decode_body (const char *buffer,
                       size_t size,
                       size_t offset,
                       xdrproc_t body,
                       void *arguments);

/*
 * Sliding windows of received sequence numbers, one per sender for its newest
 * boot.  A newly started receiver has no windows, so a message captured less
 * than PEER_CLOCK_TOLERANCE_MS ago can be replayed to it once.
 */
#define PEER_WINDOW_BITS 64
#define PEER_WINDOW_SENDERS_LIMIT 1024 /* further senders are refused */

struct peer_window
{
  char sender[PEER_SENDER_SIZE];
  uint64_t boot;
  uint64_t highest; /* highest sequence number received */
  uint64_t seen;    /* bit n: sequence number highest - n was received */
  UT_hash_handle hh;
};

struct peer_windows
{
  struct peer_window *table; /* uthash by sender */
};

void peer_windows_init (struct peer_windows *windows);
void peer_windows_finish (struct peer_windows *windows);

/*
 * Records a message in the window of its sender.  RESULT_OK the first time,
 * else RESULT_PEER_REPLAY, also for an older boot, a sequence number behind the
 * window, a send time beyond the tolerance or a sender without a window.
 */
enum result peer_windows_accept (struct peer_windows *windows,
                                 const struct peer_header *header,
                                 int64_t wall_ms);

#endif
