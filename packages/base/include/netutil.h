#ifndef BASE_NETUTIL_H
#define BASE_NETUTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

/* The local port of a bound socket, 0 if there is none.  For I/O packages. */
uint16_t net_bound_port (int socket);

/*
 * Splits "IP:PORT" at its last colon; false unless the address fits and the
 * port is a decimal number from 1 to 65535.  The IP itself is not checked.
 */
bool net_parse_address (const char *text,
                        char *address,
                        size_t size,
                        uint16_t *port);

/* Converts a numeric IPv4 or IPv6 address; false for any other text. */
bool net_make_sockaddr (const char *address,
                        uint16_t port,
                        struct sockaddr_storage *out,
                        socklen_t *size);

#endif
