#include "peer-internal.h"

#include "netutil.h"

#include <stdio.h>
#include <string.h>

void
peer_update_to_wire (peer_update *wire, const struct member_update *update)
{
  /* XDR encodes from plain pointers but does not write through them. */
  wire->host = (char *)update->host;
  wire->data_centre = (char *)update->data_centre;
  wire->address = (char *)update->address;
  wire->port = update->port;
  wire->incarnation = update->incarnation;
  wire->state = update->state;
}

bool
peer_update_from_wire (struct member_update *out, const peer_update *wire)
{
  struct sockaddr_storage address;
  socklen_t size;

  if (wire->host[0] == '\0' || wire->port == 0 || wire->port > UINT16_MAX
      || wire->state > MEMBER_LEFT
      || !net_make_sockaddr (wire->address, (uint16_t)wire->port, &address,
                             &size))
    return false;
  memset (out, 0, sizeof *out);
  snprintf (out->host, sizeof out->host, "%s", wire->host);
  snprintf (out->data_centre, sizeof out->data_centre, "%s", wire->data_centre);
  snprintf (out->address, sizeof out->address, "%s", wire->address);
  out->port = (uint16_t)wire->port;
  out->incarnation = wire->incarnation;
  out->state = (enum member_state)wire->state;
  return true;
}

void
peer_fill_ping (struct peer_node *node,
                struct peer_ping_message *ping,
                const char *receiver)
{
  const struct member_table *members = node->members;
  size_t count
      = member_collect_updates (node->members, receiver, ping->updates);
  /* Bounds the sender, the versions, a ping request's target and the count. */
  size_t size = 3 * peer_update_size (&members->self) + 64;
  size_t fitting_count = 0;

  peer_update_to_wire (&ping->body.sender, &members->self);
  ping->body.versions.sheet = members->versions.sheet;
  ping->body.versions.control = members->versions.control;
  ping->body.versions.assignment = members->versions.assignment;
  ping->body.versions.hosts = members->versions.hosts;
  /* Updates that do not fit are sent later; each message carries others. */
  for (; fitting_count < count; fitting_count++)
    {
      size += peer_update_size (&ping->updates[fitting_count]);
      if (size > PEER_BODY_LIMIT_BYTES)
        break;
      peer_update_to_wire (&ping->wire[fitting_count],
                           &ping->updates[fitting_count]);
    }
  ping->body.updates.updates_val = ping->wire;
  ping->body.updates.updates_len = (u_int)fitting_count;
}

void
peer_apply_ping (struct peer_node *node, const peer_ping *ping, int64_t now_ms)
{
  struct member_update updates[MEMBER_UPDATES_LIMIT];
  struct member_update sender;
  struct member_versions versions = {
    .sheet = ping->versions.sheet,
    .control = ping->versions.control,
    .assignment = ping->versions.assignment,
    .hosts = ping->versions.hosts,
  };
  size_t count = 0;

  if (!peer_update_from_wire (&sender, &ping->sender))
    return;
  for (u_int i = 0; i < ping->updates.updates_len; i++)
    if (peer_update_from_wire (&updates[count], &ping->updates.updates_val[i]))
      count++;
  member_on_message (node->members, &sender, &versions, updates, count, now_ms);
}
