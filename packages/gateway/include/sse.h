#ifndef GATEWAY_SSE_H
#define GATEWAY_SSE_H

#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Event streams (text/event-stream, WHATWG HTML section 9.2) as engines send
 * them, and the order of their tokens.  No I/O.
 */

#define SSE_EVENT_LIMIT 65536 /* bytes of the data of one event */
#define SSE_NAME_SIZE 32

struct sse_decoder
{
  char *line; /* the unfinished line */
  size_t line_used;
  size_t line_size;
  char *data; /* data lines of the unfinished event, joined by newlines */
  size_t data_used;
  size_t data_size;
  bool has_data;
  bool after_cr; /* the last byte was CR: a following LF belongs to it */
  char name[SSE_NAME_SIZE]; /* event field, cut to the size */
};

struct sse_event
{
  const char *name; /* "" if the event has none */
  const char *data; /* NUL-terminated, may hold further NULs */
  size_t size;
};

void sse_decoder_init (struct sse_decoder *decoder);
void sse_decoder_finish (struct sse_decoder *decoder);

/*
 * Calls visit for each complete event.  visit returns false to stop; the
 * decoder is then not touched again and must not be fed any more.
 * TOO_LARGE for an event over SSE_EVENT_LIMIT, NO_MEMORY, or RESULT_OK.
 */
enum result sse_decode (struct sse_decoder *decoder,
                        const char *bytes,
                        size_t size,
                        bool (*visit) (void *context,
                                       const struct sse_event *event),
                        void *context);

/* Order of the tokens of one generation over all its attempts. */
enum token_verdict
{
  TOKEN_NEXT,      /* the expected one: pass it on */
  TOKEN_DUPLICATE, /* passed on before: drop it */
  TOKEN_GAP,       /* tokens are missing: the stream is broken */
};

/* next is the number of tokens passed on so far; rises on TOKEN_NEXT. */
enum token_verdict token_check (uint64_t *next, uint64_t index);

/* One event of an engine's stream. */
enum token_kind
{
  TOKEN_TEXT,
  TOKEN_END, /* [DONE] */
  TOKEN_BAD, /* anything else */
};
struct token
{
  uint64_t index;
  char *text; /* malloc'd, valid UTF-8, NUL-terminated */
};

/* text is set and to be freed by the caller if the kind is TOKEN_TEXT. */
enum token_kind token_parse (const struct sse_event *event,
                             struct token *token);

#endif
