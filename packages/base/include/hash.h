#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stdint.h>

#define HASH_HEX_SIZE 33        /* 128 bits in hexadecimal and a NUL */
#define HASH_SHA256_HEX_SIZE 65 /* 256 bits in hexadecimal and a NUL */

/*
 * Writes the 128-bit XXH3 hash of several strings in lower-case hexadecimal.
 * The length of each string is hashed before it, so that ("ab", "c") and
 * ("a", "bc") differ.  parts ends with a part whose data is NULL.
 */
struct hash_part
{
  const void *data;
  uint64_t size;
};
void hash_hex (const struct hash_part *parts, char out[HASH_HEX_SIZE]);

/* 64-bit XXH3 of a NUL-terminated string. */
uint64_t hash_string (const char *text, uint64_t seed);

/* 64-bit XXH3 of a number. */
uint64_t hash_number (uint64_t number, uint64_t seed);

/*
 * Rendezvous (highest random weight) score of a node for a key: the node with
 * the highest score owns the key.  Thaler and Ravishankar, "A Name-Based
 * Mapping Scheme for Rendezvous", 1996.
 */
uint64_t hash_rendezvous (const char *node, const char *key);

/* Writes SHA-256 in lower-case hexadecimal.  Used for credentials. */
void hash_sha256_hex (const void *data,
                      uint64_t size,
                      char out[HASH_SHA256_HEX_SIZE]);

#endif
