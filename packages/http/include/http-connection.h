#ifndef HTTP_CONNECTION_H
#define HTTP_CONNECTION_H

#include "http-head.h"

#include <event2/event.h>
#include <event2/event_struct.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evbuffer;

/*
 * One HTTP/1.1 connection over a non-blocking socket, either side, parsed by
 * http_parser.
 *
 * Parsing stops after each whole message until http_connection_next, and the
 * bytes that follow are kept, up to a limit.  The memory belongs to the caller
 * and has to outlive the callback that finishes the connection: free it with
 * http_free_later.
 */

enum http_end
{
  HTTP_END_CLOSED,   /* by the other side, in order */
  HTTP_END_RESET,    /* connection error, also while connecting */
  HTTP_END_PROTOCOL, /* not HTTP, or a message cut short by an orderly close */
  HTTP_END_LIMIT,    /* header or message over its limit */
};

struct http_connection;

/*
 * Every callback may finish the connection.  closed comes at most once, as the
 * last one, and leaves the connection to be finished by its owner (but see
 * http_connection_discard).
 */
struct http_events
{
  void (*connected) (void *context);
  void (*head) (void *context, const struct http_head *head);
  void (*body) (void *context, const char *data, size_t size);
  void (*complete) (void *context);
  void (*closed) (void *context, enum http_end end);
  void (*drained) (void *context); /* all output was written */
};

struct http_limits
{
  size_t header_bytes;  /* start line and fields of one message */
  size_t pending_bytes; /* received past the present message */
};

struct http_connection
{
  struct event_base *base;
  int fd; /* -1 once finished or closed */
  const struct http_events *events;
  void *context;
  struct http_limits limits;
  bool connecting;
  bool is_client;         /* parses responses */
  bool no_body;           /* the response has no body: its request was a HEAD */
  bool message_begun;     /* bytes of the present message have arrived */
  bool paused;            /* a whole message was given out */
  bool held;              /* reading is suspended by the owner */
  bool unwritten_seen;    /* a write is waiting for the socket */
  bool ended;             /* the other side has closed */
  bool head_done;         /* fields that follow are trailers */
  bool in_value;          /* the parser is in a header value */
  bool over_limit;        /* too many bytes, fields or interim responses */
  bool discarding;        /* what still arrives is dropped */
  unsigned interim_count; /* before the present response */
  struct http_head head;
  struct http_parser parser;
  struct event readable;
  struct event writable;
  struct evbuffer *output;
  struct evbuffer *pending;
};

/* Takes over an accepted socket.  RESULT_NO_MEMORY closes it. */
enum result http_connection_accept (struct http_connection *connection,
                                    struct event_base *base,
                                    int fd,
                                    const struct http_limits *limits,
                                    const struct http_events *events,
                                    void *context);

/*
 * Starts to connect.  RESULT_ENDPOINT_CONNECT if that fails at once;
 * otherwise connected or closed follows.  silence_ms bounds how long written
 * bytes and keep-alive probes may stay unacknowledged.
 */
enum result http_connection_connect (struct http_connection *connection,
                                     struct event_base *base,
                                     const char *address,
                                     uint16_t port,
                                     int silence_ms,
                                     const struct http_limits *limits,
                                     const struct http_events *events,
                                     void *context);

/* Closes the socket and releases what the connection holds.  Idempotent. */
void http_connection_finish (struct http_connection *connection);

/* Queues bytes and writes what the socket takes. */
void http_connection_write (struct http_connection *connection,
                            const void *data,
                            size_t size);

/* Bytes queued and not yet taken by the socket. */
size_t http_connection_unwritten (const struct http_connection *connection);

/* Bytes received after the present whole message. */
size_t http_connection_surplus (const struct http_connection *connection);

/* Goes on to the next message; kept bytes are parsed from the event loop. */
void http_connection_next (struct http_connection *connection, bool no_body);

/*
 * Ends this side of the connection once all is written, and drops what still
 * arrives: to close with unread input would reset the connection, and the
 * other side might lose the last answer.  closed follows, also a second time
 * after a limit or protocol error.
 */
void http_connection_discard (struct http_connection *connection);

/* Suspends or resumes reading. */
void http_connection_hold (struct http_connection *connection, bool hold);

/*
 * True if the connection can carry another message after the present whole
 * one: neither side ends it, and nothing is left over.
 */
bool http_connection_reusable (const struct http_connection *connection);

/* True if nothing of a next message has arrived and nothing is unwritten. */
bool http_connection_idle (const struct http_connection *connection);

/*
 * True if bytes wait in the socket that were not read yet: to close now would
 * reset the connection under a request that is already there.
 */
bool http_connection_has_input (const struct http_connection *connection);

/* Frees memory once the running callbacks have returned. */
void http_free_later (struct event_base *base, void *memory);

#endif
