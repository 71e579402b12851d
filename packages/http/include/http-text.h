#ifndef HTTP_TEXT_H
#define HTTP_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/*
 * A growing byte buffer, NUL-terminated once it holds data.  After a failed
 * allocation, failed stays set and no bytes are added until a reset.
 */
struct http_text
{
  char *data;
  size_t size;
  size_t capacity;
  bool failed;
};

void http_text_init (struct http_text *text);
void http_text_finish (struct http_text *text);
void http_text_reset (struct http_text *text);
/* Makes room for size bytes in all, so that they are not moved as they come. */
void http_text_reserve (struct http_text *text, size_t size);
void http_text_add (struct http_text *text, const void *data, size_t size);
void http_text_add_string (struct http_text *text, const char *string);
/* Encodes all bytes but unreserved characters (RFC 3986) as %XX. */
void http_text_add_percent_encoded (struct http_text *text, const char *string);
/* Adds up to 511 bytes of formatted text; a longer one sets failed. */
void http_text_format (struct http_text *text, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Removes size bytes from the front. */
void http_text_remove_prefix (struct http_text *text, size_t size);

/* Adds "Name: value\r\n". */
void http_text_add_field (struct http_text *text,
                          const char *name,
                          const char *value);

/*
 * Ends the head of a request and adds its JSON body with the fields that
 * describe it; size 0 = it has none.
 */
void
http_text_add_json_body (struct http_text *text, const char *body, size_t size);

#endif
