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
reserve_space (struct http_text *text, size_t size)
{
  size_t needed = text->size + size + 1;
  size_t new_capacity;
  char *new_data;

  if (text->failed)
    return false;
  if (needed <= text->capacity)
    return true;
  new_capacity = needed < 256 ? 256 : needed + needed / 2;
  new_data = realloc (text->data, new_capacity);
  if (new_data == NULL)
    {
      text->failed = true;
      return false;
    }
  text->data = new_data;
  text->capacity = new_capacity;
  return true;
}

void
http_text_reserve (struct http_text *text, size_t size)
{
  char *new_data;

  if (text->failed || size < text->capacity)
    return;
  new_data = realloc (text->data, size + 1);
  if (new_data == NULL)
    {
      text->failed = true;
      return;
    }
  text->data = new_data;
  text->capacity = size + 1;
}

void
http_text_add (struct http_text *text, const void *data, size_t size)
{
  if (size == 0 || !reserve_space (text, size))
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
http_text_add_percent_encoded (struct http_text *text, const char *string)
{
  static const char plain[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                              "abcdefghijklmnopqrstuvwxyz0123456789-._~";

  for (; *string != '\0'; string++)
    if (strchr (plain, *string) != NULL)
      http_text_add (text, string, 1);
    else
      http_text_format (text, "%%%02X", (unsigned char)*string);
}

void
http_text_format (struct http_text *text, const char *format, ...)
{
  va_list args;
  int size;

  va_start (args, format);
  size = vsnprintf (NULL, 0, format, args);
  va_end (args);
  if (size < 0)
    text->failed = true;
  if (size <= 0 || !reserve_space (text, (size_t)size))
    return;
  va_start (args, format);
  vsnprintf (text->data + text->size, (size_t)size + 1, format, args);
  va_end (args);
  text->size += (size_t)size;
}

void
http_text_remove_prefix (struct http_text *text, size_t size)
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

void
http_text_add_json_body (struct http_text *text, const char *body, size_t size)
{
  if (size > 0)
    http_text_format (text,
                      "Content-Type: application/json\r\n"
                      "Content-Length: %zu\r\n",
                      size);
  http_text_add (text, "\r\n", 2);
  http_text_add (text, body, size);
}
