#ifndef CLI_HTTP_H
#define CLI_HTTP_H

#include "cli.h"

#include <event2/http.h>
#include <jansson.h>

/* Synchronous HTTP: runs the event loop until every answer or a timeout. */

struct http_call
{
  const struct cli_address *to;
  enum evhttp_cmd_type method;
  const char *path;
  const char *header_name; /* NULL = none */
  const char *header_value;
  const char *body; /* NULL = none */
};

struct http_answer
{
  /*
   * RESULT_OK when an answer of any status came.  Otherwise
   * RESULT_PLATFORM_UNREACHABLE if nothing was written to the connection and
   * RESULT_PLATFORM_LOST_ANSWER if the request may have been handled.
   */
  enum result result;
  int status;
  char *text;   /* NUL-terminated body */
  json_t *json; /* NULL unless the body is JSON */
};

/* Makes the calls at the same time; finish each answer afterwards. */
void http_fetch (struct event_base *base,
                 const struct http_call *calls,
                 size_t count,
                 int timeout_ms,
                 struct http_answer *answers);
void http_answer_finish (struct http_answer *answer);

/* Sleeps in the event loop. */
void http_pause (struct event_base *base, int ms);

#endif
