#ifndef BASE_JSONUTIL_H
#define BASE_JSONUTIL_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Readers for JSON of other processes, whose members may have any type. */

/*
 * Copies a string member into out.  False, with out set to "", if it is absent,
 * not a string or too long.
 */
bool json_read_string (const json_t *object,
                       const char *key,
                       char *out,
                       size_t size);

/* False, with *out = 0, unless the member is an integer of zero or more. */
bool json_read_u64 (const json_t *object, const char *key, uint64_t *out);

/* Returns the fallback unless the member is a boolean. */
bool json_read_bool (const json_t *object, const char *key, bool fallback);

/*
 * Return the fallback unless the member is a number.  json_read_integer drops a
 * fraction, and returns the fallback for magnitudes of 2^53 and more.
 */
double
json_read_number (const json_t *object, const char *key, double fallback);
int64_t
json_read_integer (const json_t *object, const char *key, int64_t fallback);

#endif
