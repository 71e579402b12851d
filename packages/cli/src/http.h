#ifndef CLI_HTTP_H
#define CLI_HTTP_H

#include "cli.h"

#include <event2/event.h>
#include <jansson.h>

/* HTTP client with synchronous calls, which run the event loop. */

struct http_request
{
  const struct cli_address *to;
  const char *method;
  const char *path;
  const char *header_name; /* name of an additional header; NULL = none */
  const char *header_value;
  const char *body; /* JSON; NULL = none */
};

struct http_response
{
  /*
   * RESULT_OK if a response with any status was received.  Otherwise
   * RESULT_PLATFORM_UNREACHABLE if nothing was written to the connection, and
   * RESULT_PLATFORM_LOST_ANSWER if the request may have been handled.
   */
  enum result result;
  int status;
  char *body;   /* NUL-terminated */
  json_t *json; /* NULL unless the body is JSON */
};

/*
 * Makes all calls in parallel and returns after the last response or the
 * timeout.  Each response must be finished afterwards.
 */
void http_fetch (struct event_base *base,
                 const struct http_request *calls,
                 size_t count,
                 int timeout_ms,
                 struct http_response *responses);
void http_response_finish (struct http_response *response);

/* Waits in the event loop. */
void http_wait (struct event_base *base, int ms);

#endif
