#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include "http-text.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Start line and header fields of one HTTP/1.1 message.
 *
 * All text lies in one growing buffer; the strings that the functions return
 * are NUL-terminated and valid until the head changes.
 */

#define HTTP_FIELD_LIMIT 96

struct http_field
{
  uint32_t name; /* offset into text */
  uint32_t value;
};

struct http_head
{
  struct http_text text;
  struct http_field fields[HTTP_FIELD_LIMIT];
  unsigned field_count;
  uint32_t target;    /* offset of a request's target */
  const char *method; /* of a request; static text */
  unsigned status;    /* of a response */
  bool keep_alive;
  bool has_length; /* a Content-Length field */
};

void http_head_init (struct http_head *head);
void http_head_finish (struct http_head *head);

/* Empties the head and keeps its buffer. */
void http_head_reset (struct http_head *head);

/* Value of the first field of this name, NULL without one. */
const char *http_head_get (const struct http_head *head, const char *name);

const char *http_head_target (const struct http_head *head);
const char *http_field_name (const struct http_head *head, unsigned index);
const char *http_field_value (const struct http_head *head, unsigned index);

/*
 * True for fields that concern one connection only (RFC 9110, section 7.6.1),
 * including those that the message's Connection field names.
 */
bool http_field_is_hop_by_hop (const struct http_head *head, unsigned index);

/*
 * The time that a response's Retry-After names (RFC 9110, section 10.2.3), in
 * seconds, also with a fraction, or as a date, which is taken against the
 * response's own Date.  false without such a time.
 */
bool http_retry_after_ms (const struct http_head *head, int64_t *ms);

/* A non-negative decimal number; false if text is anything else. */
bool http_parse_number (const char *text, int64_t *number);

#endif
