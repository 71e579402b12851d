#include "uuid.h"

#include "timeutil.h"

#include <ctype.h>
#include <inttypes.h>
#include <openssl/rand.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The time field of a UUID has 48 bits. */
#define TIME_MASK UINT64_C (0xffffffffffff)

void
uuid_format_v7 (char out[UUID_SIZE],
                int64_t unix_ms,
                const uint64_t random_bits[2])
{
  uint64_t time = (uint64_t)unix_ms & TIME_MASK;

  snprintf (
      out, UUID_SIZE,
      "%08" PRIx64 "-%04" PRIx64 "-7%03" PRIx64 "-%04" PRIx64 "-%012" PRIx64,
      time >> 16, time & 0xffff, random_bits[0] & 0xfff,
      0x8000 | (random_bits[0] >> 12 & 0x3fff), random_bits[1] & TIME_MASK);
}

bool
uuid_parse_v7 (const char *text, int64_t *unix_ms)
{
  char digits[13];

  if (strlen (text) != UUID_SIZE - 1)
    return false;
  for (int i = 0; i < UUID_SIZE - 1; i++)
    {
      bool is_dash_position = i == 8 || i == 13 || i == 18 || i == 23;

      if (is_dash_position ? text[i] != '-'
                           : !isxdigit ((unsigned char)text[i]))
        return false;
    }
  if (text[14] != '7' || strchr ("89abAB", text[19]) == NULL)
    return false;
  memcpy (digits, text, 8);
  memcpy (digits + 8, text + 9, 4);
  digits[12] = '\0';
  *unix_ms = (int64_t)strtoull (digits, NULL, 16);
  return true;
}

void
uuid_generate (char out[UUID_SIZE])
{
  uint64_t bits[2];

  RAND_bytes ((unsigned char *)bits, sizeof bits);
  uuid_format_v7 (out, time_wall_ms (), bits);
}
