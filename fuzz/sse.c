/*
 * Compares the decoder of event streams and the check of the token order with
 * an oracle that has the whole input at once: it turns every line end into LF
 * and splits at LF.  The first byte sets the chunk size in which the decoder
 * receives the rest.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sse.h"

#define LIMIT 8192

struct transcript
{
  char text[2 * LIMIT];
  size_t used;
};

static void
require (bool condition, const char *message)
{
  if (!condition)
    {
      fprintf (stderr, "fuzz-sse: %s\n", message);
      abort ();
    }
}

static void
append_text (struct transcript *out, const char *bytes, size_t size)
{
  require (out->used + size <= sizeof out->text, "transcript is full");
  memcpy (out->text + out->used, bytes, size);
  out->used += size;
}

static bool
record_event (void *context, const struct sse_event *event)
{
  struct transcript *out = context;

  require (event->data[event->size] == '\0', "data does not end with NUL");
  append_text (out, event->name, strlen (event->name));
  append_text (out, "\1", 1);
  append_text (out, event->data, event->size);
  append_text (out, "\2", 1);
  return true;
}

static size_t
normalise_line_ends (const uint8_t *data, size_t size, char *out)
{
  size_t used = 0;

  for (size_t i = 0; i < size; i++)
    {
      if (data[i] == '\n' && i > 0 && data[i - 1] == '\r')
        continue;
      out[used++] = data[i] == '\r' ? '\n' : (char)data[i];
    }
  return used;
}

/* Returns the value if the line has this field, otherwise NULL. */
static const char *
field_value (const char *line,
             size_t size,
             const char *field,
             size_t *value_size)
{
  size_t length = strlen (field);

  if (size < length || memcmp (line, field, length) != 0)
    return NULL;
  if (size == length)
    {
      *value_size = 0;
      return line + size;
    }
  if (line[length] != ':')
    return NULL;
  length++;
  if (length < size && line[length] == ' ')
    length++;
  *value_size = size - length;
  return line + length;
}

static void
append_expected_events (const char *text, size_t size, struct transcript *out)
{
  char data[LIMIT];
  char name[SSE_NAME_SIZE] = "";
  size_t used = 0;
  size_t lines = 0;
  size_t start = 0;

  for (size_t i = 0; i < size; i++)
    {
      const char *line = text + start;
      size_t length = i - start;
      const char *value;
      size_t count;

      if (text[i] != '\n')
        continue;
      start = i + 1;
      if (length == 0)
        {
          if (lines > 0)
            {
              append_text (out, name, strlen (name));
              append_text (out, "\1", 1);
              append_text (out, data, used);
              append_text (out, "\2", 1);
            }
          used = 0;
          lines = 0;
          name[0] = '\0';
        }
      else if ((value = field_value (line, length, "data", &count)) != NULL)
        {
          if (lines++ > 0)
            data[used++] = '\n';
          memcpy (data + used, value, count);
          used += count;
        }
      else if ((value = field_value (line, length, "event", &count)) != NULL)
        snprintf (name, sizeof name, "%.*s", (int)count, value);
    }
}

static void
check_decoder (const uint8_t *data, size_t size, uint8_t chunk_byte)
{
  static struct transcript got;
  static struct transcript expected;
  static char text[LIMIT];
  struct sse_decoder decoder;
  size_t chunk_size = chunk_byte % 17 + 1;

  got.used = 0;
  expected.used = 0;
  sse_decoder_init (&decoder);
  for (size_t i = 0; i < size; i += chunk_size)
    require (sse_decode (&decoder, (const char *)data + i,
                         size - i < chunk_size ? size - i : chunk_size,
                         record_event, &got)
                 == RESULT_OK,
             "a short stream was rejected");
  sse_decoder_finish (&decoder);
  append_expected_events (text, normalise_line_ends (data, size, text),
                          &expected);
  require (got.used == expected.used
               && memcmp (got.text, expected.text, got.used) == 0,
           "events differ from the oracle's");
}

/* Checks that the tokens passed on are 0, 1, 2 ... without gap or duplicate. */
static void
check_token_order (const uint8_t *data, size_t size)
{
  uint64_t next = 0;
  size_t passed_count = 0;

  for (size_t i = 0; i < size; i++)
    {
      uint64_t index = data[i];
      enum token_verdict verdict = token_check_index (&next, index);
      enum token_verdict expected = index == passed_count  ? TOKEN_NEXT
                                    : index < passed_count ? TOKEN_DUPLICATE
                                                           : TOKEN_GAP;

      require (verdict == expected, "verdict differs from the oracle's");
      if (verdict == TOKEN_NEXT)
        passed_count++;
      require (next == passed_count,
               "the token count differs from the oracle's");
    }
}

static bool
check_token (void *context, const struct sse_event *event)
{
  struct token token;
  enum token_kind kind = token_parse (event, &token);

  (void)context;
  if (kind == TOKEN_TEXT)
    require (token.text != NULL, "a text token has no text");
  if (kind == TOKEN_END)
    require (strcmp (event->data, "[DONE]") == 0,
             "an event other than [DONE] is the end");
  free (token.text);
  return true;
}

static void
check_tokens (const uint8_t *data, size_t size)
{
  struct sse_decoder decoder;

  sse_decoder_init (&decoder);
  sse_decode (&decoder, (const char *)data, size, check_token, NULL);
  sse_decoder_finish (&decoder);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0 || size > LIMIT / 2)
    return 0;
  check_decoder (data + 1, size - 1, data[0]);
  check_token_order (data, size);
  check_tokens (data + 1, size - 1);
  return 0;
}
