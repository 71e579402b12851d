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
  bool broken; /* to be closed once evhttp no longer uses it */
  LIST_ENTRY (platform_connection) link;
};

struct platform_call
{
  struct platform *platform;
  enum platform_call_kind kind;
  enum evhttp_cmd_type command;
  char *uri;
  char *body; /* of a write; NULL otherwise */
  bool is_write;
  uint64_t version; /* condition of a write; 0 = must not exist */
  int timeout_ms;
  struct event timer;
  struct platform_connection *connection; /* NULL unless sent */
  struct platform_answer answer;
  json_t *value; /* owned; answer.value while the callback runs */
  void (*done) (void *context, const struct platform_answer *answer);
  void *context;
  TAILQ_ENTRY (platform_call) link;
};

/* Moves a call from waiting or sent to finished; its callback runs later. */
void platform_call_end (struct platform_call *call, enum result result);

/* Sends a waiting call on the connection, which is idle. */
void platform_connection_send (struct platform_connection *connection,
                               struct platform_call *call);

/* An idle connection, perhaps a new one; NULL when all are busy. */
struct platform_connection *platform_connection_take (struct platform *platform,
                                                      bool for_watch);

/* Not for use inside a callback of evhttp. */
void platform_connection_free (struct platform_connection *connection);

/* True unless no byte of the connection's call can have left this host. */
bool platform_connection_may_have_sent (
    const struct platform_connection *connection);

/* Reads status, headers and body into call->answer. */
void platform_answer_read (struct platform_call *call,
                           struct evhttp_request *request);

#endif
