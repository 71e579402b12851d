#include "rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

int
net_listen (const char *address, uint16_t *port)
{
  struct sockaddr_in own = { .sin_family = AF_INET, .sin_port = htons (*port) };
  socklen_t size = sizeof own;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, address, &own.sin_addr);
  if (fd < 0 || bind (fd, (struct sockaddr *)&own, size) != 0
      || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *)&own, &size) != 0)
    rig_fail ("a port cannot be opened");
  *port = ntohs (own.sin_port);
  return fd;
}

bool
net_connect (struct conn *conn,
             const char *address,
             uint16_t port,
             int receive_bytes)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  int on = 1;

  conn->have = 0;
  inet_pton (AF_INET, address, &to.sin_addr);
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (conn->fd < 0)
    return false;
  if (receive_bytes > 0)
    setsockopt (conn->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  setsockopt (conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (conn->fd, (struct sockaddr *)&to, sizeof to) == 0)
    return true;
  net_close (conn);
  return false;
}

void
net_close (struct conn *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  conn->have = 0;
}

bool
net_send (struct conn *conn, const void *data, size_t size)
{
  const char *rest = data;

  while (size > 0)
    {
      ssize_t sent = send (conn->fd, rest, size, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      rest += sent;
      size -= (size_t)sent;
    }
  return true;
}

static bool
fill (struct conn *conn)
{
  ssize_t size = recv (conn->fd, conn->buffer + conn->have,
                       sizeof conn->buffer - conn->have, 0);

  if (size <= 0)
    return false;
  conn->have += (size_t)size;
  return true;
}

static void
consume (struct conn *conn, size_t size)
{
  conn->have -= size;
  memmove (conn->buffer, conn->buffer + size, conn->have);
}

bool
net_read_head (struct conn *conn, char head[HEAD_SIZE])
{
  for (;;)
    {
      const char *end = memmem (conn->buffer, conn->have, "\r\n\r\n", 4);
      size_t size;

      if (end != NULL)
        {
          size = (size_t)(end - conn->buffer) + 4;
          memcpy (head, conn->buffer, size - 2);
          head[size - 2] = '\0';
          consume (conn, size);
          return true;
        }
      if (conn->have == sizeof conn->buffer || !fill (conn))
        return false;
    }
}

bool
net_read (struct conn *conn, char *data, size_t size)
{
  while (size > 0)
    {
      size_t part = conn->have < size ? conn->have : size;

      if (data != NULL)
        {
          memcpy (data, conn->buffer, part);
          data += part;
        }
      consume (conn, part);
      size -= part;
      if (size > 0 && !fill (conn))
        return false;
    }
  return true;
}

bool
net_get_field (const char *head, const char *name, char *value, size_t size)
{
  size_t length = strlen (name);

  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          line += length + 1;
          line += strspn (line, " ");
          snprintf (value, size, "%.*s", (int)strcspn (line, "\r"), line);
          return true;
        }
    }
  return false;
}

size_t
net_content_length (const char *head)
{
  char value[32];

  return net_get_field (head, "Content-Length", value, sizeof value)
             ? strtoul (value, NULL, 10)
             : 0;
}
