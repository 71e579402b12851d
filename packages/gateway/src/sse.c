#include "sse.h"

#include "jsonutil.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

void
sse_decoder_init (struct sse_decoder *decoder)
{
  memset (decoder, 0, sizeof *decoder);
}

void
sse_decoder_finish (struct sse_decoder *decoder)
{
  free (decoder->line);
  free (decoder->data);
  sse_decoder_init (decoder);
}

/* Appends to a growing buffer and terminates it with a NUL. */
static enum result
append_bytes (char **buffer,
              size_t *used,
              size_t *size,
              const char *bytes,
              size_t count,
              size_t limit)
{
  if (count > limit || *used > limit - count)
    return RESULT_TOO_LARGE;
  if (*used + count + 1 > *size)
    {
      size_t larger = (*used + count + 1) * 2;
      char *grown = realloc (*buffer, larger);

      if (grown == NULL)
        return RESULT_NO_MEMORY;
      *buffer = grown;
      *size = larger;
    }
  memcpy (*buffer + *used, bytes, count);
  *used += count;
  (*buffer)[*used] = '\0';
  return RESULT_OK;
}

static bool
is_field (const char *line, size_t name_size, const char *name)
{
  return name_size == strlen (name) && memcmp (line, name, name_size) == 0;
}

static enum result
read_field (struct sse_decoder *decoder)
{
  const char *line = decoder->line;
  size_t size = decoder->line_used;
  const char *colon = memchr (line, ':', size);
  size_t name_size = colon != NULL ? (size_t)(colon - line) : size;
  size_t start = colon != NULL ? name_size + 1 : size;
  size_t count;

  if (start < size && line[start] == ' ')
    start++;
  count = size - start;
  if (is_field (line, name_size, "event"))
    {
      if (count >= SSE_NAME_SIZE)
        count = SSE_NAME_SIZE - 1;
      memcpy (decoder->name, line + start, count);
      decoder->name[count] = '\0';
      return RESULT_OK;
    }
  if (!is_field (line, name_size, "data"))
    return RESULT_OK; /* comments and unknown fields */
  if (decoder->has_data)
    {
      enum result result
          = append_bytes (&decoder->data, &decoder->data_used,
                          &decoder->data_size, "\n", 1, SSE_EVENT_LIMIT_BYTES);

      if (result != RESULT_OK)
        return result;
    }
  decoder->has_data = true;
  return append_bytes (&decoder->data, &decoder->data_used, &decoder->data_size,
                       line + start, count, SSE_EVENT_LIMIT_BYTES);
}

/* Sets *stopped if visit returned false; the decoder may be freed by then. */
static enum result
process_line (struct sse_decoder *decoder,
              bool (*visit) (void *context, const struct sse_event *event),
              void *context,
              bool *stopped)
{
  enum result result = RESULT_OK;

  if (decoder->line_used > 0)
    {
      result = read_field (decoder);
      decoder->line_used = 0;
    }
  else if (decoder->has_data)
    {
      struct sse_event event
          = { decoder->name, decoder->data, decoder->data_used };

      if (!visit (context, &event))
        {
          *stopped = true;
          return RESULT_OK;
        }
      decoder->data_used = 0;
      decoder->has_data = false;
      decoder->name[0] = '\0';
    }
  else
    decoder->name[0] = '\0';
  return result;
}

enum result
sse_decode (struct sse_decoder *decoder,
            const char *bytes,
            size_t size,
            bool (*visit) (void *context, const struct sse_event *event),
            void *context)
{
  const char *end = bytes + size;

  while (bytes < end)
    {
      const char *line_end = bytes;
      enum result result;
      bool stopped = false;

      if (decoder->after_cr && *bytes == '\n')
        {
          decoder->after_cr = false;
          bytes++;
          continue;
        }
      decoder->after_cr = false;
      while (line_end < end && *line_end != '\n' && *line_end != '\r')
        line_end++;
      /* The 16 bytes leave space for the field name before the data. */
      result = append_bytes (
          &decoder->line, &decoder->line_used, &decoder->line_size, bytes,
          (size_t)(line_end - bytes), SSE_EVENT_LIMIT_BYTES + 16);
      if (result != RESULT_OK)
        return result;
      if (line_end == end)
        return RESULT_OK;
      decoder->after_cr = *line_end == '\r';
      bytes = line_end + 1;
      result = process_line (decoder, visit, context, &stopped);
      if (result != RESULT_OK || stopped)
        return result;
    }
  return RESULT_OK;
}

enum token_verdict
token_check_index (uint64_t *next, uint64_t index)
{
#ifdef BREAK_GUARD_TOKEN_INDEX
  *next = index + 1;
  return TOKEN_NEXT;
#endif
  if (index < *next)
    return TOKEN_DUPLICATE;
  if (index > *next)
    return TOKEN_GAP;
  (*next)++;
  return TOKEN_NEXT;
}

enum token_kind
token_parse (const struct sse_event *event, struct token *token)
{
  enum token_kind kind = TOKEN_MALFORMED;
  json_t *json;
  const char *text;

  token->text = NULL;
  if (event->name[0] != '\0')
    return TOKEN_MALFORMED;
  if (event->size == 6 && memcmp (event->data, "[DONE]", 6) == 0)
    return TOKEN_END;
  json = json_loadb (event->data, event->size, JSON_REJECT_DUPLICATES, NULL);
  text = json_string_value (json_object_get (json, "text"));
  if (text != NULL && json_read_u64 (json, "index", &token->index))
    {
      token->text = strdup (text);
      if (token->text != NULL)
        kind = TOKEN_TEXT;
    }
  json_decref (json);
  return kind;
}
