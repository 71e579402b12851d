#ifndef BASE_UUID_H
#define BASE_UUID_H

#include <stdbool.h>
#include <stdint.h>

#define UUID_SIZE 37 /* text form and a NUL */

/* UUID version 7 (RFC 9562, section 5.7): 48 bits of Unix time in ms. */

/* Uses 74 of the 128 bits in random_bits. */
void uuid_format_v7 (char out[UUID_SIZE],
                     int64_t unix_ms,
                     const uint64_t random_bits[2]);

/* Reads the time of a UUID; false unless text is a well-formed version 7 UUID.
 */
bool uuid_parse_v7 (const char *text, int64_t *unix_ms);

/* Makes a version 7 UUID of the current time with bits from RAND_bytes. */
void uuid_generate (char out[UUID_SIZE]);

#endif
