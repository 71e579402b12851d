#ifndef GATEWAY_ENDPOINT_H
#define GATEWAY_ENDPOINT_H

#include "http-connection.h"
#include "memory-account.h"
#include "result.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * HTTP/1.1 client for endpoints.  A connection carries one call at a time.  It
 * is reused only if the response of the last call was read completely, was no
 * refusal and no bytes follow it, and is closed otherwise, so that a late
 * response can never reach another call.
 */

/* An idle connection is closed after this time. */
#define ENDPOINT_IDLE_TIMEOUT_MS 2000
#define ENDPOINT_IDLE_CONNECTION_LIMIT 512
/* The caller's request id and the suffix that makes an attempt's id unique. */
#define ENDPOINT_REQUEST_ID_SIZE 160
/* Wait for the end of a response body after [DONE]. */
#define ENDPOINT_RESPONSE_END_TIMEOUT_MS 1000

struct endpoint_header
{
  const char *name;
  const char *value; /* NULL = the header is left out */
};

struct endpoint_request
{
  const char *address;
  uint16_t port;
  const char *method;
  const char *path;
  const struct endpoint_header *headers; /* ends with a NULL name */
  const void *body;
  size_t size;
  /* Uses a new connection, for calls that may not be repeated. */
  bool own_connection;
  /*
   * Request id, or "".  A response with another X-Request-Id belongs to another
   * request and fails the call.
   */
  const char *id;
};

struct endpoint_events
{
  /* Receives a part of the response body; call->status is set by then. */
  void (*data) (void *context, const char *bytes, size_t size);
  /*
   * The call ended: RESULT_OK if the complete response was read,
   * ENDPOINT_CONNECT if no byte of the request was written, UPSTREAM_UNKNOWN
   * otherwise.  Called once unless the call is closed first.
   */
  void (*ended) (void *context, enum result result);
};

struct endpoint_connection
{
  struct endpoint_client *client;
  struct http_connection http;
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
  const struct endpoint_events *events;
  void *context;
  int status;         /* 0 until the header arrived */
  char *content_type; /* NULL until the header arrived, or if it has none */
  int64_t started_ms;
  /* When the call was closed before the end of its response; 0 = never. */
  int64_t awaiting_end_since_ms;
  bool written;   /* a byte of the request was handed to the socket */
  bool has_ended; /* the response is whole, or none will come */
  bool closed;    /* no event is reported any more */
  /* What came is no response: the endpoint has failed, but not crashed. */
  bool is_malformed;
  /* The response was read completely and the endpoint keeps the connection. */
  bool connection_reusable;
  bool own_connection;
  bool paused;      /* the response is not read at present */
  bool id_mismatch; /* the response carries the id of another request */
  /* The response has neither a length nor chunks: it ends with its connection.
   */
  bool ends_with_connection;
  char id[ENDPOINT_REQUEST_ID_SIZE];
  void (*release) (void *context);
  LIST_ENTRY (endpoint_call) link;
};

LIST_HEAD (endpoint_calls, endpoint_call);

struct endpoint_client
{
  struct event_base *base;
  struct memory_account *account; /* borrowed */
  struct event *free_closed_event;
  struct endpoint_calls calls;
  struct endpoint_calls awaiting_end; /* closed, but still reading the end */
  struct endpoint_calls closed;       /* freed by free_closed_event */
  struct endpoint_connections idle;   /* most recently used first */
  struct endpoint_connections ended;  /* freed by free_closed_event */
  size_t idle_count;
};

struct endpoint_client *endpoint_client_new (struct event_base *base,
                                             struct memory_account *account);
void endpoint_client_free (struct endpoint_client *client);

/* Returns NULL if memory is short; nothing was sent then. */
struct endpoint_call *
endpoint_start_call (struct endpoint_client *client,
                     const struct endpoint_request *request,
                     const struct endpoint_events *events,
                     void *context,
                     int64_t now_ms);

/*
 * Ends the call in any state; no event is reported any more.  The connection
 * is closed and release (may be NULL) is called later, outside any callback.
 */
void endpoint_close_call (struct endpoint_call *call,
                          void (*release) (void *context));

/*
 * Like endpoint_close_call, for a call whose response is complete except for
 * the end of the body: the connection may be reused once that end has been
 * read.
 */
void endpoint_close_and_reuse (struct endpoint_call *call,
                               void (*release) (void *context));

/* Run each tick: closes connections whose timeout has passed. */
void endpoint_client_tick (struct endpoint_client *client, int64_t now_ms);

/* Stops or resumes reading the response. */
void endpoint_set_paused (struct endpoint_call *call, bool paused);

/* Sends a request and ignores the response; gives up after timeout_ms. */
void endpoint_send_one_way (struct endpoint_client *client,
                            const struct endpoint_request *request,
                            int timeout_ms,
                            int64_t now_ms);

#endif
