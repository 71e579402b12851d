#ifndef GATEWAY_SSE_H
#define GATEWAY_SSE_H

#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Parser of the event streams that engines send (text/event-stream, WHATWG HTML
 * section 9.2), and check of the order of their tokens.  No I/O.
 */

#define SSE_EVENT_LIMIT_BYTES 65536 /* bytes of data of an event */
#define SSE_NAME_SIZE 32

struct sse_decoder
{
  char *line;       /* the unfinished line */
  size_t line_used; /* bytes */
  size_t line_size; /* bytes allocated */
  char *data;       /* data lines of the unfinished event, joined by newlines */
  size_t data_used;
  size_t data_size;
  bool has_data;
  bool after_cr; /* the last byte was CR: a following LF belongs to it */
  char name[SSE_NAME_SIZE]; /* event field, truncated to the size */
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
 * decoder is not accessed after that, so visit may free it.  Returns TOO_LARGE
 * for an event over SSE_EVENT_LIMIT_BYTES, NO_MEMORY, or RESULT_OK.
 */
enum result sse_decode (struct sse_decoder *decoder,
                        const char *bytes,
                        size_t size,
                        bool (*visit) (void *context,
                                       const struct sse_event *event),
                        void *context);

/* Position of a token in one generation, over all its attempts. */
enum token_verdict
{
  TOKEN_NEXT,      /* the expected token: relay it */
  TOKEN_DUPLICATE, /* already relayed: drop it */
  TOKEN_GAP,       /* tokens are missing: the stream is broken */
};

/* next is the number of tokens relayed so far; TOKEN_NEXT increments it. */
enum token_verdict token_check_index (uint64_t *next, uint64_t index);

/* Kind of an event in an engine's stream. */
enum token_kind
{
  TOKEN_TEXT,
  TOKEN_END,       /* [DONE] */
  TOKEN_MALFORMED, /* anything else */
};
struct token
{
  uint64_t index;
  char *text; /* malloc'd, valid UTF-8, NUL-terminated */
};

/* For TOKEN_TEXT the caller frees token->text; otherwise it is NULL. */
enum token_kind token_parse (const struct sse_event *event,
                             struct token *token);

#endif
