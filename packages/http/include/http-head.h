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
 * All text is stored in one growing buffer.  The functions return
 * NUL-terminated strings that are valid until the head changes.
 */

struct http_field
{
  uint32_t name;  /* offset into the head's text */
  uint32_t value; /* offset into the head's text */
};

struct http_head
{
  struct http_text text;
  /*
   * Grows with the fields, whose number is bounded by the limit for the bytes
   * of the head: each has 4 bytes or more.
   */
  struct http_field *fields;
  unsigned field_count;
  unsigned field_capacity;
  /* Offset of the options of all Connection fields in text; 0 = none. */
  uint32_t connection_options;
  uint32_t target;    /* offset of a request's target in text */
  const char *method; /* of a request; static text */
  unsigned status;    /* of a response */
  bool keep_alive;
  bool has_length; /* has a Content-Length field */
};

void http_head_init (struct http_head *head);
void http_head_finish (struct http_head *head);

/* Empties the head and keeps its buffers. */
void http_head_reset (struct http_head *head);

/* Adds a field whose name starts at an offset; false if memory is short. */
bool http_head_add_field (struct http_head *head, uint32_t name);

/* All fields were added; false if memory is short. */
bool http_head_complete (struct http_head *head);

/* True if the text is the name of a field (RFC 9110, section 5.6.2). */
bool http_is_field_name (const char *text);

/* Value of the first field with this name; NULL if there is none. */
const char *http_head_get (const struct http_head *head, const char *name);

const char *http_head_target (const struct http_head *head);
const char *http_field_name (const struct http_head *head, unsigned index);
const char *http_field_value (const struct http_head *head, unsigned index);

/*
 * True for fields that apply to one connection only (RFC 9110, section 7.6.1),
 * including those that are listed in the message's Connection field.
 */
bool http_field_is_hop_by_hop (const struct http_head *head, unsigned index);

/*
 * Reads the delay of a response's Retry-After field (RFC 9110, section 10.2.3):
 * seconds, fractions included, or a date, which is compared with the response's
 * own Date.  False if there is no positive delay.
 */
bool http_retry_after_ms (const struct http_head *head, int64_t *ms);

/* Parses a non-negative decimal number; false if text is anything else. */
bool http_parse_number (const char *text, int64_t *number);

/* Parses a decimal number without sign or exponent, such as "5.25". */
bool http_parse_decimal (const char *text, double *number);

#endif
