#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include "http-connection.h"
#include "http-text.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * One request on a connection of its own, of whose answer only the status
 * counts.
 *
 * done comes once, from the event loop.  The memory is the caller's, who
 * finishes the call then or earlier and frees it with http_free_later.
 */
struct http_call
{
  struct http_connection connection;
  struct http_text request;
  unsigned status;
  size_t body_bytes; /* received */
  /*
   * Asked just before the request is written, which may be long after the call
   * began; NULL = always.  false ends the call.  Set it after the start.
   */
  bool (*may_send) (void *context);
  /* answered: a whole answer came; status is 0 otherwise. */
  void (*done) (void *context, bool answered, unsigned status);
  void *context;
};

/*
 * request is the whole text, head and body; it is taken over.  silence_ms: see
 * http_connection_connect.  RESULT_ENDPOINT_CONNECT or NO_MEMORY if the call
 * cannot begin; nothing is left to finish then.
 */
enum result
http_call_start (struct http_call *call,
                 struct event_base *base,
                 const char *address,
                 uint16_t port,
                 int silence_ms,
                 struct http_text *request,
                 void (*done) (void *context, bool answered, unsigned status),
                 void *context);

/* Idempotent. */
void http_call_finish (struct http_call *call);

#endif
