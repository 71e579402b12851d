#include "http-text.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
http_text_init (struct http_text *text)
{
  memset (text, 0, sizeof *text);
}

void
http_text_finish (struct http_text *text)
{
  free (text->data);
  http_text_init (text);
}

void
http_text_reset (struct http_text *text)
{
  text->size = 0;
  text->failed = false;
}

static bool
reserve (struct http_text *text, size_t size)
{
  size_t wanted = text->size + size + 1;
  size_t larger;
  char *grown;

  if (text->failed)
    return false;
  if (wanted <= text->capacity)
    return true;
  larger = wanted < 256 ? 256 : wanted + wanted / 2;
  grown = realloc (text->data, larger);
  if (grown == NULL)
    {
      text->failed = true;
      return false;
    }
  text->data = grown;
  text->capacity = larger;
  return true;
}

void
http_text_add (struct http_text *text, const void *data, size_t size)
{
  if (size == 0 || !reserve (text, size))
    return;
  memcpy (text->data + text->size, data, size);
  text->size += size;
  text->data[text->size] = '\0';
}

void
http_text_add_string (struct http_text *text, const char *string)
{
  http_text_add (text, string, strlen (string));
}

void
http_text_format (struct http_text *text, const char *format, ...)
{
  char line[512];
  va_list args;
  int size;

  va_start (args, format);
  size = vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (size < 0 || (size_t)size >= sizeof line)
    text->failed = true;
  else
    http_text_add (text, line, (size_t)size);
}

void
http_text_drop (struct http_text *text, size_t size)
{
  memmove (text->data, text->data + size, text->size - size);
  text->size -= size;
}

void
http_text_add_field (struct http_text *text,
                     const char *name,
                     const char *value)
{
  http_text_add_string (text, name);
  http_text_add (text, ": ", 2);
  http_text_add_string (text, value);
  http_text_add (text, "\r\n", 2);
}
