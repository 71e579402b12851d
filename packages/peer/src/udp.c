#include "peer-internal.h"

#include "netutil.h"
#include "timeutil.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Datagrams read per event, so that a flood does not block the event loop. */
#define READ_BATCH_LIMIT 64

/*
 * Returns the time in ms that the datagram spent in the socket's queue, which
 * is long after a pause of the process.
 */
static int64_t
get_queue_delay_ms (struct msghdr *message)
{
  struct cmsghdr *part = CMSG_FIRSTHDR (message);
  struct timespec arrived;
  int64_t ms;

  if (part == NULL || part->cmsg_level != SOL_SOCKET
      || part->cmsg_type != SCM_TIMESTAMPNS)
    return 0;
  memcpy (&arrived, CMSG_DATA (part), sizeof arrived);
  ms = time_wall_ms () - (int64_t)arrived.tv_sec * 1000
       - arrived.tv_nsec / 1000000;
  return ms > 0 ? ms : 0;
}

static void
on_readable (evutil_socket_t socket, short events, void *context)
{
  struct peer_node *node = context;
  int64_t now_ms = time_boot_ms ();
  char buffer[PEER_DATAGRAM_LIMIT_BYTES + 1];

  (void)events;
  for (int i = 0; i < READ_BATCH_LIMIT; i++)
    {
      struct sockaddr_storage from;
      struct iovec part = { buffer, sizeof buffer };
      char control[CMSG_SPACE (sizeof (struct timespec))];
      struct msghdr message = {
        .msg_name = &from,
        .msg_namelen = sizeof from,
        .msg_iov = &part,
        .msg_iovlen = 1,
        .msg_control = control,
        .msg_controllen = sizeof control,
      };
      ssize_t size = recvmsg (socket, &message, 0);

      if (size < 0)
        break;
      node->counts.received++;
      node->counts.bytes_received += (uint64_t)size;
      if (size > PEER_DATAGRAM_LIMIT_BYTES)
        peer_record_bad_message (node, RESULT_PEER_TOO_LARGE, "-");
      else
        peer_handle_datagram (node, buffer, (size_t)size, &from,
                              message.msg_namelen, now_ms,
                              get_queue_delay_ms (&message));
    }
}

enum result
peer_udp_open (struct peer_node *node)
{
  struct sockaddr_storage address = { 0 };
  socklen_t size = 0;
  int on = 1;

  if (!net_make_sockaddr (node->members->self.address, node->members->self.port,
                          &address, &size))
    return RESULT_INVALID;
  node->socket = socket (((struct sockaddr *)&address)->sa_family,
                         SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (node->socket < 0
      || bind (node->socket, (struct sockaddr *)&address, size) != 0)
    return RESULT_PEER_UNREACHABLE;
  setsockopt (node->socket, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
  node->members->self.port = net_bound_port (node->socket);
  node->read_event = event_new (node->base, node->socket, EV_READ | EV_PERSIST,
                                on_readable, node);
  if (node->read_event == NULL || event_add (node->read_event, NULL) != 0)
    return RESULT_NO_MEMORY;
  return RESULT_OK;
}

void
peer_udp_close (struct peer_node *node)
{
  if (node->read_event != NULL)
    event_free (node->read_event);
  if (node->socket >= 0)
    close (node->socket);
  node->read_event = NULL;
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
  char buffer[PEER_DATAGRAM_LIMIT_BYTES];
  size_t used;
  enum result result = peer_encode (&node->keys, header, body, arguments,
                                    buffer, sizeof buffer, &used);

  if (result != RESULT_OK)
    {
      peer_record_bad_message (node, result, "self");
      return;
    }
  /* A datagram that cannot be sent counts as lost in the network. */
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

  if (peer_is_partitioned (node, member->info.data_centre)
      || !net_make_sockaddr (member->info.address, member->info.port, &to,
                             &to_size))
    return;
  peer_udp_send (node, &to, to_size, header, body, arguments);
}
