#ifndef PEER_INTERNAL_H
#define PEER_INTERNAL_H

#include "peer.h"

#include "generated/peer_xdr.h"

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <sys/socket.h>

enum peer_call_kind
{
  PEER_CALL_PING,         /* its reply ends a membership probe */
  PEER_CALL_RELAYED_PING, /* a ping on behalf of another member */
  PEER_CALL_STRIKE,       /* a strike; its reply is an acknowledgement */
};

struct peer_call
{
  uint32_t xid;
  enum peer_call_kind kind;
  int64_t sent_ms;
  uint64_t probe_id; /* for PEER_CALL_PING */
  /* For PEER_CALL_RELAYED_PING: the member that sent the ping request. */
  struct sockaddr_storage requester;
  socklen_t requester_size;
  uint32_t requester_xid;
  struct peer_broadcast *broadcast; /* for PEER_CALL_STRIKE */
  char host[MEMBER_NAME_SIZE];      /* requester of PEER_CALL_RELAYED_PING */
  UT_hash_handle hh;
};

/* node.c */
bool peer_is_host_partitioned (const struct peer_node *node, const char *host);
void peer_fill_header (struct peer_node *node,
                       struct peer_header *header,
                       bool is_call,
                       uint32_t xid,
                       uint32_t procedure);
/* Counts a message that is dropped and logs it at a limited rate. */
void peer_record_bad_message (struct peer_node *node,
                              enum result reason,
                              const char *from);

/* ping.c: the membership part of messages.  wire points into updates. */
struct peer_ping_message
{
  peer_ping body;
  struct member_update updates[MEMBER_UPDATES_LIMIT];
  peer_update wire[MEMBER_UPDATES_LIMIT];
};
/* receiver is NULL if its name is unknown. */
void peer_fill_ping (struct peer_node *node,
                     struct peer_ping_message *ping,
                     const char *receiver);
void
peer_apply_ping (struct peer_node *node, const peer_ping *ping, int64_t now_ms);
bool peer_update_from_wire (struct member_update *out, const peer_update *wire);
void peer_update_to_wire (peer_update *wire,
                          const struct member_update *update);

/*
 * encoded-size.c: XDR sizes of texts and updates in bytes.  Senders use them to
 * fill a message only as far as it fits in a datagram, whatever the names.
 */
#define PEER_BODY_LIMIT_BYTES 1150 /* datagram less RPC header and verifier */
size_t peer_text_size (const char *text);
size_t peer_update_size (const struct member_update *update);

/* udp.c */
enum result peer_udp_open (struct peer_node *node);
void peer_udp_close (struct peer_node *node);
void peer_udp_send (struct peer_node *node,
                    const struct sockaddr_storage *to,
                    socklen_t to_size,
                    const struct peer_header *header,
                    xdrproc_t body,
                    void *arguments);
void peer_udp_send_member (struct peer_node *node,
                           const struct member *member,
                           const struct peer_header *header,
                           xdrproc_t body,
                           void *arguments);

/* calls.c */
struct peer_call *peer_call_add (struct peer_node *node,
                                 enum peer_call_kind kind,
                                 int64_t now_ms);
struct peer_call *peer_call_find (struct peer_node *node, uint32_t xid);
void peer_call_remove (struct peer_node *node, struct peer_call *call);

/* strike.c */
void peer_record_strike_ack (struct peer_broadcast *broadcast,
                             const char *host);
void peer_strikes_tick (struct peer_node *node, int64_t now_ms);
void peer_strikes_finish (struct peer_node *node);

/*
 * datagram.c: handles a call or reply received over UDP.  queue_delay_ms is the
 * time that it spent in the socket's queue.
 */
void peer_handle_datagram (struct peer_node *node,
                           char *buffer,
                           size_t size,
                           const struct sockaddr_storage *from,
                           socklen_t from_size,
                           int64_t now_ms,
                           int64_t queue_delay_ms);

/* stream.c */
enum result peer_stream_listen (struct peer_node *node);
void peer_streams_finish (struct peer_node *node);

#endif
