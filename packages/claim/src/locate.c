#include "claim.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
hash_key (const char *customer,
          const char *service,
          const char *idempotency_key,
          char key[HASH_HEX_SIZE])
{
  char lower[UUID_SIZE] = "";

  /* The text of a UUID may be in upper or lower case (RFC 9562, section 4). */
  for (size_t i = 0; i + 1 < sizeof lower && idempotency_key[i] != '\0'; i++)
    lower[i] = (char)tolower ((unsigned char)idempotency_key[i]);
  hash_hex (
      (const struct hash_part[]){
          { customer, strlen (customer) },
          { service, strlen (service) },
          { lower, strlen (lower) },
          { NULL, 0 },
      },
      key);
}

static unsigned
compute_shard (const char key[HASH_HEX_SIZE])
{
  return (unsigned)(strtoul (key + HASH_HEX_SIZE - 1 - 8, NULL, 16)
                    % CLAIM_SHARDS);
}

enum result
claim_locate (const char *customer,
              const char *service,
              const char *idempotency_key,
              int64_t wall_ms,
              int64_t clock_skew_ms,
              char object[CLAIM_OBJECT_SIZE],
              char key[HASH_HEX_SIZE])
{
  int64_t key_ms;

  object[0] = '\0';
  key[0] = '\0';
  if (idempotency_key == NULL || !uuid_parse_v7 (idempotency_key, &key_ms))
    return RESULT_IDEMPOTENCY_KEY_REQUIRED;
  if (clock_skew_ms > CLAIM_CLOCK_SKEW_LIMIT_MS
      || clock_skew_ms < -CLAIM_CLOCK_SKEW_LIMIT_MS)
    return RESULT_CLOCK_SKEW;
  if (wall_ms - key_ms > CLAIM_RETENTION_MS)
    return RESULT_IDEMPOTENCY_KEY_EXPIRED;
  if (key_ms - wall_ms > CLAIM_KEY_FUTURE_LIMIT_MS)
    return RESULT_IDEMPOTENCY_KEY_FUTURE;
  hash_key (customer, service, idempotency_key, key);
  snprintf (object, CLAIM_OBJECT_SIZE, "claims/%" PRId64 "/%u",
            key_ms / CLAIM_BUCKET_MS, compute_shard (key));
  return RESULT_OK;
}

int64_t
claim_latest_expired_bucket (int64_t wall_ms)
{
  int64_t end_ms = wall_ms - CLAIM_RETENTION_MS - CLAIM_DELETE_MARGIN_MS;

  /* Bucket b ends at (b + 1) * CLAIM_BUCKET_MS. */
  return end_ms < CLAIM_BUCKET_MS ? -1 : end_ms / CLAIM_BUCKET_MS - 1;
}

bool
claim_object_is_expired (const char *object, int64_t wall_ms)
{
  int64_t token_ms;
  char *end;

  if (strncmp (object, "claims/", 7) == 0 && isdigit ((unsigned char)object[7]))
    {
      int64_t bucket = strtoll (object + 7, &end, 10);

      return *end == '/' && bucket <= claim_latest_expired_bucket (wall_ms);
    }
  /*
   * The token is created when the call is received, which is after the start of
   * its key's bucket.
   */
  if (strncmp (object, "answers/", 8) == 0
      && uuid_parse_v7 (object + 8, &token_ms))
    return token_ms / CLAIM_BUCKET_MS <= claim_latest_expired_bucket (wall_ms);
  return false;
}
