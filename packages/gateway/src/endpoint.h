#ifndef GATEWAY_ENDPOINT_H
#define GATEWAY_ENDPOINT_H

#include "result.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * HTTP/1.1 client of endpoints.  A connection carries one call at a time.  It
 * is used again only after a call whose whole answer was read, and is closed
 * after any other end, so that a late answer can never reach another call.
 */

#define ENDPOINT_IDLE_MS 2000 /* an unused connection is kept so long */
#define ENDPOINT_IDLE_LIMIT 512
#define ENDPOINT_ID_SIZE 160  /* a caller's id and what makes it unique */
#define ENDPOINT_REST_MS 1000 /* wait for the end of an answer after [DONE] */

struct endpoint_header
{
  const char *name;
  const char *value; /* NULL = the header is left out */
};

struct endpoint_request
{
  const char *address;
  uint16_t port;
  enum evhttp_cmd_type method;
  const char *path;
  const struct endpoint_header *headers; /* ends with a NULL name */
  const void *body;
  size_t size;
  bool fresh; /* a connection of its own: for calls that may not be repeated */
  /* "" or the request's id: an answer that names another one is not its own. */
  const char *id;
};

struct endpoint_events
{
  /* Part of the answer's body; call->status is known by then. */
  void (*data) (void *context, const char *bytes, size_t size);
  /*
   * The call ended: RESULT_OK with the whole answer, ENDPOINT_CONNECT when no
   * byte of the request was written, UPSTREAM_UNKNOWN otherwise.  Called once
   * unless the call is closed first.
   */
  void (*ended) (void *context, enum result result);
};

struct endpoint_connection
{
  struct evhttp_connection *http;
  struct endpoint_call *call; /* NULL while it is idle */
  char address[48];
  uint16_t port;
  int64_t idle_since_ms;
  LIST_ENTRY (endpoint_connection) link;
};

LIST_HEAD (endpoint_connections, endpoint_connection);

struct endpoint_call
{
  struct endpoint_client *client;
  struct endpoint_connection *connection;
  struct evhttp_request *request; /* NULL once evhttp let go of it */
  const struct endpoint_events *events;
  void *context;
  int status;            /* 0 until the header arrived */
  char content_type[64]; /* "" until the header arrived, or if it has none */
  int64_t started_ms;
  int64_t resting_ms; /* since when it rests; 0 = not */
  bool written;       /* a byte of the request was handed to the socket */
  bool failed;
  bool closed; /* no event follows */
  bool whole;  /* the whole answer was read and the connection stays open */
  bool fresh;
  bool paused;
  bool foreign; /* the answer names another request */
  char id[ENDPOINT_ID_SIZE];
  void (*release) (void *context);
  LIST_ENTRY (endpoint_call) link;
};

LIST_HEAD (endpoint_calls, endpoint_call);

struct endpoint_client
{
  struct event_base *base;
  struct event *reaper;
  struct endpoint_calls calls;
  struct endpoint_calls resting; /* closed, but the answer's end is awaited */
  struct endpoint_calls closed;
  struct endpoint_connections idle; /* latest first */
  size_t idle_count;
};

struct endpoint_client *endpoint_client_new (struct event_base *base);
void endpoint_client_free (struct endpoint_client *client);

/* NULL if there is no memory; nothing was sent then. */
struct endpoint_call *endpoint_start (struct endpoint_client *client,
                                      const struct endpoint_request *request,
                                      const struct endpoint_events *events,
                                      void *context,
                                      int64_t now_ms);

/*
 * Ends the call in any state: no event follows.  The connection closes and
 * release (may be NULL) is called later, outside of every callback.
 */
void endpoint_close (struct endpoint_call *call,
                     void (*release) (void *context));

/*
 * The same for a call whose answer is complete but for the end of the body:
 * the connection may be used again once that has been read.
 */
void endpoint_rest (struct endpoint_call *call,
                    void (*release) (void *context));

/* Run each tick: closes connections that were idle or resting too long. */
void endpoint_client_tick (struct endpoint_client *client, int64_t now_ms);

/* Stops or continues reading the answer. */
void endpoint_pause (struct endpoint_call *call, bool paused);

/* Sends a request whose answer does not matter; gives up after limit_ms. */
void endpoint_send (struct endpoint_client *client,
                    const struct endpoint_request *request,
                    int limit_ms,
                    int64_t now_ms);

#endif
