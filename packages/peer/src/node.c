#include "peer-internal.h"

#include "log.h"
#include "netutil.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

#define PORT_ATTEMPTS_LIMIT 20

bool
peer_is_partitioned (const struct peer_node *node, const char *data_centre)
{
  if (node->partitioned_data_centre[0] == '\0')
    return false;
  if (strcmp (node->partitioned_data_centre, "**") == 0)
    return true;
  if (strcmp (node->partitioned_data_centre, "*") == 0)
    return strcmp (data_centre, node->members->self.data_centre) != 0;
  return strcmp (node->partitioned_data_centre, data_centre) == 0;
}

bool
peer_is_host_partitioned (const struct peer_node *node, const char *host)
{
  const struct member *member = member_find (node->members, host);

  if (strcmp (node->partitioned_data_centre, "**") == 0)
    return true;
  return member != NULL && peer_is_partitioned (node, member->info.data_centre);
}

void
peer_fill_header (struct peer_node *node,
                  struct peer_header *header,
                  bool is_call,
                  uint32_t xid,
                  uint32_t procedure)
{
  memset (header, 0, sizeof *header);
  header->is_call = is_call;
  header->xid = xid;
  header->procedure = procedure;
  header->boot = node->boot;
  header->sequence = ++node->sequence;
  header->sent_wall_ms = time_wall_ms ();
  memcpy (header->sender, node->members->self.host, sizeof header->sender);
}

void
peer_record_bad_message (struct peer_node *node,
                         enum result reason,
                         const char *from)
{
  uint64_t *counts[] = { &node->counts.bad_message, &node->counts.bad_mac,
                         &node->counts.replayed, &node->counts.too_large };
  unsigned kind = (unsigned)(reason - RESULT_PEER_BAD_MESSAGE);
  int64_t now_ms = time_boot_ms ();

  if (kind >= sizeof counts / sizeof counts[0])
    return;
  (*counts[kind])++;
  /* A flood of forged messages must not become a flood of log lines. */
  if (now_ms - node->last_logged_ms[kind] < PEER_LOG_INTERVAL_MS)
    return;
  node->last_logged_ms[kind] = now_ms;
  LOG_EVENT (LOG_LEVEL_WARNING, "peer-message-dropped",
             LOG_INT ("code", reason),
             LOG_STR ("reason", result_info (reason)->name),
             LOG_STR ("from", from), LOG_U64 ("count", *counts[kind]));
}

/*
 * Opens the UDP and TCP sockets on one port.  A free UDP port may be in use for
 * TCP; if the port was picked by the system, another one is then tried.
 */
static enum result
open_sockets (struct peer_node *node)
{
  uint16_t configured_port = node->members->self.port;
  enum result result = RESULT_PEER_UNREACHABLE;

  for (int attempt = 0;
       attempt < (configured_port == 0 ? PORT_ATTEMPTS_LIMIT : 1); attempt++)
    {
      node->members->self.port = configured_port;
      result = peer_udp_open (node);
      if (result == RESULT_OK)
        result = peer_stream_listen (node);
      if (result != RESULT_PEER_UNREACHABLE)
        break;
      peer_udp_close (node);
    }
  return result;
}

enum result
peer_init (struct peer_node *node,
           struct event_base *base,
           struct member_table *members,
           const struct peer_hooks *hooks,
           const struct peer_keys *keys)
{
  enum result result;

  memset (node, 0, sizeof *node);
  node->base = base;
  node->members = members;
  node->hooks = *hooks;
  node->keys = *keys;
  node->boot = members->self.incarnation;
  node->next_xid = (uint32_t)rng_next (&members->rng);
  node->socket = -1;
  for (size_t i = 0;
       i < sizeof node->last_logged_ms / sizeof node->last_logged_ms[0]; i++)
    node->last_logged_ms[i] = INT64_MIN / 2;
  peer_windows_init (&node->windows);
  result = open_sockets (node);
  if (result != RESULT_OK)
    peer_finish (node);
  return result;
}

void
peer_finish (struct peer_node *node)
{
  struct peer_call *call = node->calls;

  peer_streams_finish (node);
  peer_strikes_finish (node);
  HASH_CLEAR (hh, node->calls);
  while (call != NULL)
    {
      struct peer_call *next = call->hh.next;

      free (call);
      call = next;
    }
  peer_udp_close (node);
  peer_windows_finish (&node->windows);
}

static void
send_ping (struct peer_node *node,
           const struct member_action *action,
           const char *receiver,
           int64_t now_ms)
{
  struct peer_call *call = peer_call_add (node, PEER_CALL_PING, now_ms);
  struct sockaddr_storage to;
  struct peer_ping_message ping;
  struct peer_ping_req request;
  struct peer_header header;
  socklen_t to_size;

  if (call == NULL
      || !net_make_sockaddr (action->address, action->port, &to, &to_size))
    return;
  call->probe_id = action->probe_id;
  peer_fill_ping (node, &ping, receiver);
  if (action->kind == MEMBER_SEND_PING)
    {
      peer_fill_header (node, &header, true, call->xid, PEER_PING);
      peer_udp_send (node, &to, to_size, &header, (xdrproc_t)xdr_peer_ping,
                     &ping.body);
      return;
    }
  request.ping = ping.body;
  peer_update_to_wire (&request.target, &action->target);
  peer_fill_header (node, &header, true, call->xid, PEER_PING_REQ);
  peer_udp_send (node, &to, to_size, &header, (xdrproc_t)xdr_peer_ping_req,
                 &request);
}

/* Finds the member that listens on an address; NULL = unknown. */
static const struct member *
find_member_at_address (const struct peer_node *node,
                        const char *address,
                        uint16_t port)
{
  for (const struct member *member = node->members->members; member != NULL;
       member = member->hh.next)
    if (member->info.port == port
        && strcmp (member->info.address, address) == 0)
      return member;
  return NULL;
}

static void
expire_calls (struct peer_node *node, int64_t now_ms)
{
  /* The hash table keeps the calls in the order in which they were added. */
  while (node->calls != NULL
         && now_ms - node->calls->sent_ms > PEER_CALL_TIMEOUT_MS)
    peer_call_remove (node, node->calls);
}

void
peer_tick (struct peer_node *node, int64_t now_ms)
{
  struct member_action *action;

  member_tick (node->members, now_ms);
  while ((action = member_next_action (node->members)) != NULL)
    {
      const struct member *to
          = find_member_at_address (node, action->address, action->port);

      if (to == NULL || !peer_is_partitioned (node, to->info.data_centre))
        send_ping (node, action, to != NULL ? to->info.host : NULL, now_ms);
      member_action_free (action);
    }
  peer_strikes_tick (node, now_ms);
  expire_calls (node, now_ms);
}

void
peer_announce (struct peer_node *node, int64_t now_ms)
{
  for (const struct member *member = node->members->members; member != NULL;
       member = member->hh.next)
    {
      struct member_action action = { .kind = MEMBER_SEND_PING };

      if (!member_is_live (member)
          || peer_is_partitioned (node, member->info.data_centre))
        continue;
      memcpy (action.address, member->info.address, sizeof action.address);
      action.port = member->info.port;
      send_ping (node, &action, member->info.host, now_ms);
    }
}
