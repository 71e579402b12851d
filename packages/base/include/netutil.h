#ifndef BASE_NETUTIL_H
#define BASE_NETUTIL_H

#include <stdint.h>

/* The local port of a bound socket, 0 if it has none.  For I/O packages. */
uint16_t net_bound_port (int socket);

#endif
