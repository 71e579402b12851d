#ifndef HTTP_CONNECTION_H
#define HTTP_CONNECTION_H

#include "http-head.h"
#include "memory-account.h"

#include <event2/event.h>
#include <event2/event_struct.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct evbuffer;

/*
 * One HTTP/1.1 connection over a non-blocking socket, as client or server.
 * Messages are parsed by http_parser.
 *
 * Parsing pauses after each whole message until http_connection_next_message is
 * called; received bytes are buffered meanwhile, up to a limit.  A server then
 * stops reading; a client's connection ends.  The owner's memory has to outlive
 * the callback that finishes the connection: free it with http_free_later.
 */

enum http_end
{
  HTTP_END_CLOSED,    /* orderly, by the other side */
  HTTP_END_RESET,     /* read or write error, or the connect attempt failed */
  HTTP_END_REFUSED,   /* nothing listens at the address */
  HTTP_END_TRUNCATED, /* orderly, by the other side, within a message */
  HTTP_END_PROTOCOL,  /* malformed message */
  HTTP_END_LIMIT,     /* header or buffered bytes over their limit */
};

struct http_connection;

/*
 * Every callback may finish the connection.  closed is the last callback and is
 * called at most once (but see http_connection_half_close); the owner then has
 * to finish the connection.
 */
struct http_events
{
  void (*connected) (void *context);
  void (*head) (void *context, const struct http_head *head);
  void (*body) (void *context, const char *data, size_t size);
  void (*complete) (void *context);
  void (*closed) (void *context, enum http_end end);
  void (*drained) (void *context); /* all queued output was written */
};

struct http_limits
{
  size_t header_bytes;  /* start line and header fields of one message */
  size_t pending_bytes; /* received after the current message */
};

struct http_connection
{
  struct event_base *base;
  int fd; /* -1 once finished or closed */
  const struct http_events *events;
  void *context;
  struct http_limits limits;
  bool connecting;
  bool was_refused;   /* connecting was refused at once */
  bool is_client;     /* parses responses */
  bool no_body;       /* the response has no body, as the request was a HEAD */
  bool message_begun; /* bytes of the current message were received */
  bool has_whole_message; /* a whole message was reported; parsing is paused */
  bool is_reading_suspended; /* reading is suspended by the owner */
  bool has_unwritten;        /* output is queued until the socket is writable */
  bool write_failed;         /* the connection has failed, and output is lost */
  bool ended;                /* the other side closed, or closed was reported */
  bool head_done;            /* further fields are trailers */
  bool is_paused_at_head;    /* parsing is paused; the head is not reported */
  bool in_value;             /* the parser is in a header value */
  bool over_limit;     /* too many header bytes, fields or interim responses */
  bool discarding;     /* received bytes are discarded */
  bool is_input_full;  /* reading is suspended until pending bytes are parsed */
  bool parses_pending; /* pending messages are being parsed */
  unsigned interim_count; /* interim responses before the final one */
  const char *input;      /* that is being parsed */
  char previous_byte;     /* last byte before input that is not a blank */
  struct http_head head;
  struct http_parser parser;
  struct event readable;
  struct event writable;
  struct event resumed;     /* goes on with pending messages */
  struct evbuffer *output;  /* not yet written */
  struct evbuffer *pending; /* received after the current message */
  size_t borrowed_bytes;    /* at the end of output; memory of the owner */
  struct memory_account *account; /* NULL = the connection is not charged */
  enum memory_kind output_kind;
  struct memory_charge state_charge; /* the head, and pending bytes */
  struct memory_charge output_charge;
};

/* Takes ownership of an accepted socket.  RESULT_NO_MEMORY closes it. */
enum result http_connection_accept (struct http_connection *connection,
                                    struct event_base *base,
                                    int fd,
                                    const struct http_limits *limits,
                                    const struct http_events *events,
                                    void *context);

/*
 * Starts to connect.  RESULT_ENDPOINT_CONNECT if connecting fails at once,
 * other than by a refusal; otherwise connected or closed is called later.
 * ack_timeout_ms is the time limit for written bytes and keep-alive probes to
 * be acknowledged.
 */
enum result http_connection_connect (struct http_connection *connection,
                                     struct event_base *base,
                                     const char *address,
                                     uint16_t port,
                                     int ack_timeout_ms,
                                     const struct http_limits *limits,
                                     const struct http_events *events,
                                     void *context);

/* Closes the socket and frees the buffers of the connection.  Idempotent. */
void http_connection_finish (struct http_connection *connection);

/* Writes bytes to the socket and queues those that it does not accept. */
void http_connection_write (struct http_connection *connection,
                            const void *data,
                            size_t size);

/*
 * Like http_connection_write, but queues the bytes without a copy.  They must
 * stay until they are written or the connection is finished.
 */
void http_connection_write_borrowed (struct http_connection *connection,
                                     const void *data,
                                     size_t size);

/* Like http_connection_write; takes over the text's memory and empties it. */
void http_connection_write_text (struct http_connection *connection,
                                 struct http_text *text);

/*
 * Charges the account for the bytes that the connection holds from now on:
 * output as output_kind, everything else as MEMORY_CONNECTIONS.  While the
 * account is above its first watermark, a server reads nothing behind a message
 * that is being served.
 */
void http_connection_set_account (struct http_connection *connection,
                                  struct memory_account *account,
                                  enum memory_kind output_kind);

/* Number of queued bytes that are not yet written to the socket. */
size_t
http_connection_unwritten_bytes (const struct http_connection *connection);

/*
 * As http_connection_unwritten_bytes, and the bytes that the other side has not
 * acknowledged to the socket.  It falls while a slow link is read.
 */
size_t http_connection_unsent_bytes (const struct http_connection *connection);

/* Number of bytes received after the current whole message. */
size_t http_connection_pending_bytes (const struct http_connection *connection);

/*
 * Resumes parsing with the next message, at once if bytes of it are buffered.
 * no_body: the message is the response to a HEAD request.
 */
void http_connection_next_message (struct http_connection *connection,
                                   bool no_body);

/*
 * To be called once all output is written: shuts down the sending side and
 * discards received bytes until the other side closes.  Closing a socket with
 * unread input would reset the connection, and the other side might lose the
 * last response.  closed is called at the end, even if it was called before for
 * a limit or protocol error.
 */
void http_connection_half_close (struct http_connection *connection);

/* Suspends or resumes reading. */
void http_connection_set_reading_suspended (struct http_connection *connection,
                                            bool suspended);

/*
 * True if the connection can carry another message after the current whole
 * one: neither side closes it, and no bytes are unwritten or unparsed.
 */
bool http_connection_is_reusable (const struct http_connection *connection);

/* True if no byte of the next message was received and none is unwritten. */
bool http_connection_is_idle (const struct http_connection *connection);

/*
 * True if the socket has unread bytes.  Closing would reset the connection and
 * lose the request that they may belong to.
 */
bool http_connection_has_input (const struct http_connection *connection);

/* Frees memory from the event loop, after the running callbacks. */
void http_free_later (struct event_base *base, void *memory);

#endif
