#include "peer-internal.h"

#include "netutil.h"
#include "timeutil.h"

#include <stdio.h>
#include <string.h>

/* A received datagram whose header was decoded and verified. */
struct incoming_message
{
  struct peer_node *node;
  const struct peer_header *header;
  const char *buffer;
  size_t size;
  size_t offset; /* of the body in the buffer, bytes */
  const struct sockaddr_storage *from;
  socklen_t from_size;
  int64_t now_ms;
  int64_t arrived_ms; /* when it reached the socket */
};

static bool
decode_body (const struct incoming_message *in, xdrproc_t body, void *arguments)
{
  if (peer_decode_body (in->buffer, in->size, in->offset, body, arguments))
    return true;
  peer_record_bad_message (in->node, RESULT_PEER_BAD_MESSAGE,
                           in->header->sender);
  return false;
}

static void
reply_ping (struct peer_node *node,
            const struct sockaddr_storage *to,
            socklen_t to_size,
            uint32_t xid,
            const char *receiver)
{
  struct peer_ping_message ping;
  struct peer_header header;

  peer_fill_ping (node, &ping, receiver);
  peer_fill_header (node, &header, false, xid, 0);
  peer_udp_send (node, to, to_size, &header, (xdrproc_t)xdr_peer_ping,
                 &ping.body);
}

static void
handle_ping (const struct incoming_message *in)
{
  peer_ping ping = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_ping, &ping)
      && !peer_is_partitioned (in->node, ping.sender.data_centre))
    {
      peer_apply_ping (in->node, &ping, in->now_ms);
      reply_ping (in->node, in->from, in->from_size, in->header->xid,
                  in->header->sender);
    }
  xdr_free ((xdrproc_t)xdr_peer_ping, (char *)&ping);
}

static void
relay_ping (const struct incoming_message *in, const peer_update *wire)
{
  struct peer_node *node = in->node;
  struct member_update target;
  struct peer_ping_message ping;
  struct peer_header header;
  struct sockaddr_storage to;
  struct peer_call *call;
  socklen_t to_size;

  if (!peer_update_from_wire (&target, wire)
      || peer_is_partitioned (node, target.data_centre)
      || !net_make_sockaddr (target.address, target.port, &to, &to_size))
    return;
  call = peer_call_add (node, PEER_CALL_RELAYED_PING, in->now_ms);
  if (call == NULL)
    return;
  call->requester = *in->from;
  call->requester_size = in->from_size;
  call->requester_xid = in->header->xid;
  memcpy (call->host, in->header->sender, sizeof call->host);
  peer_fill_ping (node, &ping, target.host);
  peer_fill_header (node, &header, true, call->xid, PEER_PING);
  peer_udp_send (node, &to, to_size, &header, (xdrproc_t)xdr_peer_ping,
                 &ping.body);
}

static void
handle_ping_req (const struct incoming_message *in)
{
  peer_ping_req request = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_ping_req, &request)
      && !peer_is_partitioned (in->node, request.ping.sender.data_centre))
    {
      peer_apply_ping (in->node, &request.ping, in->now_ms);
      relay_ping (in, &request.target);
    }
  xdr_free ((xdrproc_t)xdr_peer_ping_req, (char *)&request);
}

static void
copy_text (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text);
}

static void
notify_health (const struct incoming_message *in,
               const struct peer_health *entry)
{
  struct fleet_attestation attested = {
    .seen_ms = in->arrived_ms - (int64_t)entry->seen_age_ms,
    .generation = entry->generation,
    .rank = entry->rank,
    .span = entry->span,
    .fence = entry->fence,
    .state = entry->state <= FLEET_ENGINE_READY
                 ? (enum fleet_engine_state)entry->state
                 : FLEET_ENGINE_UNKNOWN,
    .leaving = entry->leaving,
    .running = entry->running,
    .queued = entry->queued,
    .slots = entry->slots,
    .load_age_ms = entry->load_age_ms,
  };

  copy_text (attested.boot_id, sizeof attested.boot_id, entry->boot_id);
  copy_text (attested.group, sizeof attested.group, entry->group);
  copy_text (attested.model, sizeof attested.model, entry->model);
  copy_text (attested.version, sizeof attested.version, entry->model_version);
  copy_text (attested.role, sizeof attested.role, entry->role);
  copy_text (attested.adapters, sizeof attested.adapters, entry->adapters);
  in->node->hooks.health_reported (in->node->hooks.context, entry->host,
                                   &attested);
}

static void
handle_health (const struct incoming_message *in)
{
  peer_health_report report = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_health_report, &report))
    for (u_int i = 0; i < report.entries.entries_len; i++)
      notify_health (in, &report.entries.entries_val[i]);
  xdr_free ((xdrproc_t)xdr_peer_health_report, (char *)&report);
}

static void
handle_fresh (const struct incoming_message *in)
{
  peer_fresh_report report = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_fresh_report, &report))
    for (u_int i = 0; i < report.entries.entries_len; i++)
      {
        const peer_fresh *wire = &report.entries.entries_val[i];
        struct peer_fresh_entry entry = {
          .host = wire->host,
          .digest = wire->digest,
          .seen_ms = in->arrived_ms - (int64_t)wire->seen_age_ms,
          .running = wire->running,
          .queued = wire->queued,
        };

        in->node->hooks.fresh_reported (in->node->hooks.context, &entry);
      }
  xdr_free ((xdrproc_t)xdr_peer_fresh_report, (char *)&report);
}

static void
handle_shares (const struct incoming_message *in)
{
  peer_shares shares = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_shares, &shares))
    for (u_int i = 0; i < shares.entries.entries_len; i++)
      in->node->hooks.demand_reported (in->node->hooks.context,
                                       in->header->sender,
                                       shares.entries.entries_val[i].name,
                                       shares.entries.entries_val[i].demand);
  xdr_free ((xdrproc_t)xdr_peer_shares, (char *)&shares);
}

static void
acknowledge (const struct incoming_message *in)
{
  struct peer_header header;

  peer_fill_header (in->node, &header, false, in->header->xid, 0);
  peer_udp_send (in->node, in->from, in->from_size, &header, peer_xdr_void,
                 NULL);
}

static void
handle_strikes (const struct incoming_message *in)
{
  peer_strikes strikes = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_strikes, &strikes))
    {
      for (u_int i = 0; i < strikes.entries.entries_len; i++)
        {
          const struct peer_strike *strike = &strikes.entries.entries_val[i];

          if (in->header->procedure == PEER_ANSWERS)
            in->node->hooks.answer_reported (in->node->hooks.context,
                                             strike->fingerprint);
          else
            in->node->hooks.strike_reported (in->node->hooks.context,
                                             strike->fingerprint, strike->host,
                                             strike->boot_id, in->arrived_ms);
        }
      acknowledge (in);
    }
  xdr_free ((xdrproc_t)xdr_peer_strikes, (char *)&strikes);
}

static void
handle_told_strikes (const struct incoming_message *in)
{
  const struct peer_hooks *hooks = &in->node->hooks;
  peer_told_strikes strikes = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_told_strikes, &strikes))
    {
      for (u_int i = 0; i < strikes.entries.entries_len; i++)
        {
          const struct peer_told_strike *told = &strikes.entries.entries_val[i];

          hooks->strike_reported (hooks->context, told->strike.fingerprint,
                                  told->strike.host, told->strike.boot_id,
                                  in->arrived_ms - (int64_t)told->age_ms);
        }
      if (strikes.entries.entries_len == 0)
        hooks->strikes_told (hooks->context, in->header->sender);
      acknowledge (in);
    }
  xdr_free ((xdrproc_t)xdr_peer_told_strikes, (char *)&strikes);
}

static void
handle_call (const struct incoming_message *in)
{
  switch (in->header->procedure)
    {
    case PEER_PING:
      handle_ping (in);
      break;
    case PEER_PING_REQ:
      handle_ping_req (in);
      break;
    case PEER_HEALTH:
      handle_health (in);
      break;
    case PEER_FRESH:
      handle_fresh (in);
      break;
    case PEER_SHARES:
      handle_shares (in);
      break;
    case PEER_STRIKES:
    case PEER_ANSWERS:
      handle_strikes (in);
      break;
    case PEER_TOLD_STRIKES:
      handle_told_strikes (in);
      break;
    default:
      peer_record_bad_message (in->node, RESULT_PEER_BAD_MESSAGE,
                               in->header->sender);
      break;
    }
}

static void
handle_ping_reply (const struct incoming_message *in,
                   const struct peer_call *call)
{
  peer_ping ping = { 0 };

  if (decode_body (in, (xdrproc_t)xdr_peer_ping, &ping)
      && !peer_is_partitioned (in->node, ping.sender.data_centre))
    {
      peer_apply_ping (in->node, &ping, in->now_ms);
      if (call->kind == PEER_CALL_PING)
        member_on_ack (in->node->members, call->probe_id);
      else
        reply_ping (in->node, &call->requester, call->requester_size,
                    call->requester_xid, call->host);
    }
  xdr_free ((xdrproc_t)xdr_peer_ping, (char *)&ping);
}

static void
handle_reply (const struct incoming_message *in)
{
  struct peer_call *call = peer_call_find (in->node, in->header->xid);

  /* The call may have timed out or was answered by an earlier reply. */
  if (call == NULL)
    return;
  if (call->kind == PEER_CALL_STRIKE)
    peer_record_strike_ack (call->broadcast, in->header->sender);
  else
    handle_ping_reply (in, call);
  peer_call_remove (in->node, call);
}

void
peer_handle_datagram (struct peer_node *node,
                      char *buffer,
                      size_t size,
                      const struct sockaddr_storage *from,
                      socklen_t from_size,
                      int64_t now_ms,
                      int64_t queue_delay_ms)
{
  struct peer_header header;
  struct incoming_message in = {
    .node = node,
    .header = &header,
    .buffer = buffer,
    .size = size,
    .from = from,
    .from_size = from_size,
    .now_ms = now_ms,
    .arrived_ms = now_ms - queue_delay_ms,
  };
  enum result result
      = peer_decode (&node->keys, buffer, size, &header, &in.offset);

  if (result == RESULT_OK)
    result = peer_windows_accept (&node->windows, &header, time_wall_ms ());
  if (result != RESULT_OK)
    {
      peer_record_bad_message (node, result,
                               header.sender[0] != '\0' ? header.sender : "-");
      return;
    }
  if (peer_is_host_partitioned (node, header.sender))
    return;
  if (header.is_call)
    handle_call (&in);
  else
    handle_reply (&in);
}
