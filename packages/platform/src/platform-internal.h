#ifndef PLATFORM_INTERNAL_H
#define PLATFORM_INTERNAL_H

#include "platform.h"

#include <event2/http.h>

/* One connection carries one call at a time. */
struct platform_connection
{
  struct platform *platform;
  struct evhttp_connection *http;
  struct platform_call *call; /* NULL = idle */
  bool for_watch;
  bool broken; /* freed later, as evhttp may still use it */
  LIST_ENTRY (platform_connection) link;
};

struct platform_call
{
  struct platform *platform;
  enum platform_call_kind kind;
  enum evhttp_cmd_type command;
  char *uri;
  char *body; /* JSON; NULL unless an object is written */
  bool is_write;
  uint64_t version; /* expected by a write; 0 = must not exist */
  int timeout_ms;
  struct event timer;
  struct platform_connection *connection; /* NULL unless sent */
  struct platform_response response;
  json_t *value; /* owned; lent as response.value while the callback runs */
  void (*done) (void *context, const struct platform_response *response);
  void *context;
  TAILQ_ENTRY (platform_call) link;
};

/* Moves a waiting or sent call to the finished list; the callback runs later.
 */
void platform_call_end (struct platform_call *call, enum result result);

/* Sends a waiting call on an idle connection. */
void platform_connection_send (struct platform_connection *connection,
                               struct platform_call *call);

/* Returns an idle or new connection; NULL if all are busy or on error. */
struct platform_connection *
platform_connection_acquire (struct platform *platform, bool for_watch);

/* Must not be called from a callback of evhttp. */
void platform_connection_free (struct platform_connection *connection);

/* False if the connection was never established, so nothing was sent on it. */
bool platform_connection_may_have_sent (
    const struct platform_connection *connection);

/* Decodes status, headers and body into call->response. */
void platform_response_read (struct platform_call *call,
                             struct evhttp_request *request);

#endif
