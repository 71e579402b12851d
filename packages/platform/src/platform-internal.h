#ifndef PLATFORM_INTERNAL_H
#define PLATFORM_INTERNAL_H

#include "http-connection.h"
#include "platform.h"

/* One connection carries one call at a time. */
struct platform_connection
{
  struct platform *platform;
  struct http_connection http; /* closed until a call is sent, or it failed */
  struct http_text body;       /* of the response */
  struct platform_call *call;  /* NULL = idle */
  bool for_watch;
  bool established;
  LIST_ENTRY (platform_connection) link;
};

struct platform_call
{
  struct platform *platform;
  enum platform_call_kind kind;
  const char *method;
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

/* Must not be called from an event of the connection. */
void platform_connection_free (struct platform_connection *connection);

/* Bytes of responses that are not whole yet, of all calls together. */
size_t platform_held_bytes (const struct platform *platform);

/* False if the connection was never established, so nothing was sent on it. */
bool platform_connection_may_have_sent (
    const struct platform_connection *connection);

/* Decodes status, headers and body into call->response. */
void platform_response_read (struct platform_call *call,
                             const struct http_head *head,
                             const struct http_text *body);

#endif
