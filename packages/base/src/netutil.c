#include "netutil.h"

#include <arpa/inet.h>
#include <stdlib.h>
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
  /* The port has the same offset in sockaddr_in and sockaddr_in6. */
  memcpy (&in, &address, sizeof in);
  return ntohs (in.sin_port);
}

bool
net_parse_address (const char *text, char *address, size_t size, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  char *end;
  long number;

  if (colon == NULL || (size_t)(colon - text) >= size)
    return false;
  /* strtol would skip white space and a sign. */
  if (colon[1] < '0' || colon[1] > '9')
    return false;
  number = strtol (colon + 1, &end, 10);
  if (end == colon + 1 || *end != '\0' || number <= 0 || number > UINT16_MAX)
    return false;
  memcpy (address, text, (size_t)(colon - text));
  address[colon - text] = '\0';
  *port = (uint16_t)number;
  return true;
}

bool
net_make_sockaddr (const char *address,
                   uint16_t port,
                   struct sockaddr_storage *out,
                   socklen_t *size)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)out;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

  memset (out, 0, sizeof *out);
  if (inet_pton (AF_INET, address, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      *size = sizeof *v4;
      return true;
    }
  if (inet_pton (AF_INET6, address, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      *size = sizeof *v6;
      return true;
    }
  return false;
}
