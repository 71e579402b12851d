#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include "http-connection.h"
#include "http-text.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Sends one request on a connection of its own and reports the status of the
 * response.
 *
 * done is called once, from the event loop.  The caller owns the memory,
 * finishes the call in done or earlier, and frees it with http_free_later.
 */
struct http_call
{
  struct http_connection connection;
  struct http_text request;
  unsigned status;   /* of the response; 0 before its head has arrived */
  size_t body_bytes; /* received bytes of the response's body */
  /*
   * Receives the body of the response, at most 64 KB; NULL = it is ignored.
   * Set it after http_call_start, which clears it.
   */
  struct http_text *body;
  /*
   * Called just before the request is written, which may be long after
   * http_call_start; false ends the call.  NULL = always send.  Set it after
   * http_call_start, which clears it.
   */
  bool (*may_send) (void *context);
  /* has_response: a whole response was received; if false, status is 0. */
  void (*done) (void *context, bool has_response, unsigned status);
  void *context;
};

/*
 * request is the whole message, head and body; the call takes ownership of it.
 * ack_timeout_ms: see http_connection_connect.  RESULT_ENDPOINT_CONNECT or
 * RESULT_NO_MEMORY if the call cannot start; it need not be finished then.
 */
enum result http_call_start (struct http_call *call,
                             struct event_base *base,
                             const char *address,
                             uint16_t port,
                             int ack_timeout_ms,
                             struct http_text *request,
                             void (*done) (void *context,
                                           bool has_response,
                                           unsigned status),
                             void *context);

/* Idempotent. */
void http_call_finish (struct http_call *call);

#endif
