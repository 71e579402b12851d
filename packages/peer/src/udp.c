#include "peer-internal.h"

#include "netutil.h"
#include "timeutil.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

/* Datagrams read per wake-up, so that a flood does not stall the loop. */
#define READ_BATCH 64

static void
on_readable (evutil_socket_t socket, short events, void *context)
{
  struct peer_node *node = context;
  int64_t now_ms = time_boot_ms ();
  char buffer[PEER_DATAGRAM_LIMIT + 1];

  (void)events;
  for (int i = 0; i < READ_BATCH; i++)
    {
      struct sockaddr_storage from;
      socklen_t from_size = sizeof from;
      ssize_t size = recvfrom (socket, buffer, sizeof buffer, 0,
                               (struct sockaddr *)&from, &from_size);

      if (size < 0)
        break;
      node->counts.received++;
      node->counts.bytes_received += (uint64_t)size;
      if (size > PEER_DATAGRAM_LIMIT)
        peer_note_bad (node, RESULT_PEER_TOO_LARGE, "-");
      else
        peer_serve (node, buffer, (size_t)size, &from, from_size, now_ms);
    }
}

enum result
peer_udp_open (struct peer_node *node)
{
  struct sockaddr_storage address = { 0 };
  socklen_t size = 0;

  if (!peer_resolve (node->members->self.address, node->members->self.port,
                     &address, &size))
    return RESULT_INVALID;
  node->socket = socket (((struct sockaddr *)&address)->sa_family,
                         SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (node->socket < 0
      || bind (node->socket, (struct sockaddr *)&address, size) != 0)
    return RESULT_PEER_UNREACHABLE;
  node->members->self.port = net_bound_port (node->socket);
  node->readable = event_new (node->base, node->socket, EV_READ | EV_PERSIST,
                              on_readable, node);
  if (node->readable == NULL || event_add (node->readable, NULL) != 0)
    return RESULT_NO_MEMORY;
  return RESULT_OK;
}

void
peer_udp_close (struct peer_node *node)
{
  if (node->readable != NULL)
    event_free (node->readable);
  if (node->socket >= 0)
    close (node->socket);
  node->readable = NULL;
  node->socket = -1;
}

void
peer_udp_send (struct peer_node *node,
               const struct sockaddr_storage *to,
               socklen_t to_size,
               const struct peer_header *header,
               xdrproc_t body,
               void *arguments)
{
  char buffer[PEER_DATAGRAM_LIMIT];
  size_t used;
  enum result result = peer_encode (&node->keys, header, body, arguments,
                                    buffer, sizeof buffer, &used);

  if (result != RESULT_OK)
    {
      peer_note_bad (node, result, "self");
      return;
    }
  /* A datagram that cannot be sent now counts as lost, like any other. */
  if (sendto (node->socket, buffer, used, 0, (const struct sockaddr *)to,
              to_size)
      < 0)
    return;
  node->counts.sent++;
  node->counts.bytes_sent += used;
}

void
peer_udp_send_member (struct peer_node *node,
                      const struct member *member,
                      const struct peer_header *header,
                      xdrproc_t body,
                      void *arguments)
{
  struct sockaddr_storage to;
  socklen_t to_size;

  if (peer_is_cut (node, member->info.data_centre)
      || !peer_resolve (member->info.address, member->info.port, &to, &to_size))
    return;
  peer_udp_send (node, &to, to_size, header, body, arguments);
}
