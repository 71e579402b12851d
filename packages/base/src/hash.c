#include "hash.h"

#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>
/* Exposes the state type, so that it can live on the stack. */
#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

void
hash_hex (const struct hash_part *parts, char out[HASH_HEX_SIZE])
{
  XXH3_state_t state;
  XXH128_hash_t hash;

  XXH3_INITSTATE (&state);
  XXH3_128bits_reset (&state);
  for (; parts->data != NULL; parts++)
    {
      XXH3_128bits_update (&state, &parts->size, sizeof parts->size);
      XXH3_128bits_update (&state, parts->data, parts->size);
    }
  hash = XXH3_128bits_digest (&state);
  snprintf (out, HASH_HEX_SIZE, "%016llx%016llx",
            (unsigned long long)hash.high64, (unsigned long long)hash.low64);
}

uint64_t
hash_string (const char *text, uint64_t seed)
{
  return XXH3_64bits_withSeed (text, strlen (text), seed);
}

uint64_t
hash_number (uint64_t number, uint64_t seed)
{
  return XXH3_64bits_withSeed (&number, sizeof number, seed);
}

uint64_t
hash_rendezvous (const char *node, const char *key)
{
  return hash_string (node, hash_string (key, 0));
}

void
hash_sha256_hex (const void *data,
                 uint64_t size,
                 char out[HASH_SHA256_HEX_SIZE])
{
  unsigned char digest[SHA256_DIGEST_LENGTH];

  SHA256 (data, size, digest);
  for (int i = 0; i < SHA256_DIGEST_LENGTH; i++)
    snprintf (out + (size_t)i * 2, 3, "%02x", digest[i]);
}
