#include "jsonutil.h"

#include <string.h>

bool
json_read_string (const json_t *object, const char *key, char *out, size_t size)
{
  const char *value = json_string_value (json_object_get (object, key));

  out[0] = '\0';
  if (value == NULL || strlen (value) >= size)
    return false;
  memcpy (out, value, strlen (value) + 1);
  return true;
}

bool
json_read_u64 (const json_t *object, const char *key, uint64_t *out)
{
  const json_t *value = json_object_get (object, key);

  *out = 0;
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *out = (uint64_t)json_integer_value (value);
  return true;
}

bool
json_read_bool (const json_t *object, const char *key, bool fallback)
{
  const json_t *value = json_object_get (object, key);

  return json_is_boolean (value) ? json_is_true (value) : fallback;
}

double
json_read_number (const json_t *object, const char *key, double fallback)
{
  const json_t *value = json_object_get (object, key);

  return json_is_number (value) ? json_number_value (value) : fallback;
}

/* 2^53: a double represents every integer below exactly. */
#define EXACT_INTEGER_LIMIT 9007199254740992.0

int64_t
json_read_integer (const json_t *object, const char *key, int64_t fallback)
{
  double number = json_read_number (object, key, (double)fallback);

  /* Larger values might not fit int64_t.  The negation also rejects NaN. */
  if (!(number > -EXACT_INTEGER_LIMIT && number < EXACT_INTEGER_LIMIT))
    return fallback;
  return (int64_t)number;
}
