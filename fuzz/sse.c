/*
 * Decoder of event streams and token order, against an oracle that has the
 * whole input at once: it turns every line end into LF and splits at LF.
 * The first byte says in which pieces the decoder gets the rest.
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
check (bool condition, const char *what)
{
  if (!condition)
    {
      fprintf (stderr, "fuzz-sse: %s\n", what);
      abort ();
    }
}

static void
add (struct transcript *out, const char *bytes, size_t size)
{
  check (out->used + size <= sizeof out->text, "transcript is full");
  memcpy (out->text + out->used, bytes, size);
  out->used += size;
}

static bool
note_event (void *context, const struct sse_event *event)
{
  struct transcript *out = context;

  check (event->data[event->size] == '\0', "data ends with NUL");
  add (out, event->name, strlen (event->name));
  add (out, "\1", 1);
  add (out, event->data, event->size);
  add (out, "\2", 1);
  return true;
}

static size_t
normalise (const uint8_t *data, size_t size, char *out)
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

/* The value of a line of this field, or NULL. */
static const char *
value_of (const char *line, size_t size, const char *field, size_t *value_size)
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
oracle (const char *text, size_t size, struct transcript *out)
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
              add (out, name, strlen (name));
              add (out, "\1", 1);
              add (out, data, used);
              add (out, "\2", 1);
            }
          used = 0;
          lines = 0;
          name[0] = '\0';
        }
      else if ((value = value_of (line, length, "data", &count)) != NULL)
        {
          if (lines++ > 0)
            data[used++] = '\n';
          memcpy (data + used, value, count);
          used += count;
        }
      else if ((value = value_of (line, length, "event", &count)) != NULL)
        snprintf (name, sizeof name, "%.*s", (int)count, value);
    }
}

static void
check_decoder (const uint8_t *data, size_t size, uint8_t pieces)
{
  static struct transcript got;
  static struct transcript expected;
  static char text[LIMIT];
  struct sse_decoder decoder;
  size_t step = pieces % 17 + 1;

  got.used = 0;
  expected.used = 0;
  sse_decoder_init (&decoder);
  for (size_t i = 0; i < size; i += step)
    check (sse_decode (&decoder, (const char *)data + i,
                       size - i < step ? size - i : step, note_event, &got)
               == RESULT_OK,
           "a short stream is accepted");
  sse_decoder_finish (&decoder);
  oracle (text, normalise (data, size, text), &expected);
  check (got.used == expected.used
             && memcmp (got.text, expected.text, got.used) == 0,
         "events differ from the oracle's");
}

/* Passed on is 0, 1, 2 ... with nothing twice and nothing left out. */
static void
check_order (const uint8_t *data, size_t size)
{
  uint64_t next = 0;
  size_t passed = 0;

  for (size_t i = 0; i < size; i++)
    {
      uint64_t index = data[i];
      enum token_verdict verdict = token_check_index (&next, index);
      enum token_verdict expected = index == passed  ? TOKEN_NEXT
                                    : index < passed ? TOKEN_DUPLICATE
                                                     : TOKEN_GAP;

      check (verdict == expected, "verdict differs from the oracle's");
      if (verdict == TOKEN_NEXT)
        passed++;
      check (next == passed, "the count differs from the oracle's");
    }
}

static bool
note_token (void *context, const struct sse_event *event)
{
  struct token token;
  enum token_kind kind = token_parse (event, &token);

  (void)context;
  if (kind == TOKEN_TEXT)
    check (token.text != NULL, "a token has its text");
  if (kind == TOKEN_END)
    check (strcmp (event->data, "[DONE]") == 0, "only [DONE] is the end");
  free (token.text);
  return true;
}

static void
check_tokens (const uint8_t *data, size_t size)
{
  struct sse_decoder decoder;

  sse_decoder_init (&decoder);
  sse_decode (&decoder, (const char *)data, size, note_token, NULL);
  sse_decoder_finish (&decoder);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0 || size > LIMIT / 2)
    return 0;
  check_decoder (data + 1, size - 1, data[0]);
  check_order (data, size);
  check_tokens (data + 1, size - 1);
  return 0;
}
