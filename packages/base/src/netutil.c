#include "netutil.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

uint16_t
net_bound_port (int socket)
{
  struct sockaddr_storage address;
  struct sockaddr_in in;
  socklen_t size = sizeof address;

  memset (&address, 0, sizeof address);
  if (getsockname (socket, (struct sockaddr *)&address, &size) != 0)
    return 0;
  /* The port stands at the same place for IPv4 and IPv6. */
  memcpy (&in, &address, sizeof in);
  return ntohs (in.sin_port);
}
