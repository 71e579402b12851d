#ifndef PEER_INTERNAL_H
#define PEER_INTERNAL_H

#include "peer.h"

#include "generated/peer_xdr.h"

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <sys/socket.h>

enum peer_call_kind
{
  PEER_CALL_PING,    /* ends a probe of the membership */
  PEER_CALL_RELAYED, /* a ping made for another member */
  PEER_CALL_STRIKE,  /* a strike that wants an acknowledgement */
};

struct peer_call
{
  uint32_t xid;
  enum peer_call_kind kind;
  int64_t sent_ms;
  uint64_t probe; /* of PEER_CALL_PING */
  /* Who asked, for PEER_CALL_RELAYED. */
  struct sockaddr_storage asker;
  socklen_t asker_size;
  uint32_t asker_xid;
  /* For PEER_CALL_STRIKE. */
  struct peer_broadcast *broadcast;
  char host[MEMBER_NAME_SIZE];
  UT_hash_handle hh;
};

/* node.c */
bool peer_resolve (const char *address,
                   uint16_t port,
                   struct sockaddr_storage *out,
                   socklen_t *size);
bool peer_host_is_cut (const struct peer_node *node, const char *host);
void peer_fill_header (struct peer_node *node,
                       struct peer_header *header,
                       bool is_call,
                       uint32_t xid,
                       uint32_t procedure);
void peer_note_bad (struct peer_node *node, enum result why, const char *from);

/* ping.c: the membership part of messages. */
struct peer_ping_message
{
  peer_ping body;
  struct member_update updates[MEMBER_UPDATES_LIMIT];
  peer_update wire[MEMBER_UPDATES_LIMIT];
};
/* receiver may be NULL if its name is not known. */
void peer_ping_fill (struct peer_node *node,
                     struct peer_ping_message *ping,
                     const char *receiver);
void
peer_ping_apply (struct peer_node *node, const peer_ping *ping, int64_t now_ms);
bool peer_update_from_wire (struct member_update *out, const peer_update *wire);
void peer_update_to_wire (peer_update *wire,
                          const struct member_update *update);

/*
 * size.c: bytes that texts and updates take in XDR, so that a message is
 * filled only as far as a datagram allows, whatever the names.
 */
#define PEER_BODY_LIMIT 1150 /* a datagram less RPC header and verifier */
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
void peer_strike_acknowledged (struct peer_broadcast *broadcast,
                               const char *host);
void peer_strikes_tick (struct peer_node *node, int64_t now_ms);
void peer_strikes_finish (struct peer_node *node);

/* serve.c: calls and replies that came in over UDP. */
void peer_serve (struct peer_node *node,
                 char *buffer,
                 size_t size,
                 const struct sockaddr_storage *from,
                 socklen_t from_size,
                 int64_t now_ms,
                 int64_t waited_ms);

/* stream.c */
enum result peer_stream_listen (struct peer_node *node);
void peer_streams_finish (struct peer_node *node);

#endif
