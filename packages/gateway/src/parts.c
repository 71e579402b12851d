#include "internal.h"

#include "hash.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * Hash of the bytes as 16 hexadecimal digits: half as many as a fingerprint,
 * so that the two are told apart where operators and peers see them.
 */
static void
add_part (struct strikes_traits *traits, const char *bytes, size_t size)
{
  const struct hash_part parts[] = { { bytes, size }, { NULL, 0 } };
  char digits[HASH_HEX_SIZE];

  if (traits->part_count == STRIKES_PART_LIMIT || size == 0)
    return;
  hash_hex (parts, digits);
  snprintf (traits->parts[traits->part_count++], HASH_HEX_SIZE, "%.*s",
            STRIKES_PART_DIGITS, digits);
}

void
parts_read_messages (struct strikes_traits *traits, const json_t *messages)
{
  size_t count = json_array_size (messages);
  const json_t *message;
  size_t i;

  traits->part_count = 0;
  json_array_foreach (messages, i, message)
    {
      const json_t *content = json_object_get (message, "content");

      if (i + 1 < count && json_is_string (content))
        add_part (traits, json_string_value (content),
                  json_string_length (content));
    }
}

void
parts_read_text (struct strikes_traits *traits, const char *prompt)
{
  const char *end;

  traits->part_count = 0;
  while ((end = strstr (prompt, "\n\n")) != NULL)
    {
      add_part (traits, prompt, (size_t)(end - prompt));
      prompt = end + 2;
    }
}
