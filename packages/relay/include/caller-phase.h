#ifndef RELAY_CALLER_PHASE_H
#define RELAY_CALLER_PHASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The phases of a caller's connection, and the timer of each.  A timer runs in
 * its own phase only, and starts with that phase.  docs/design/
 * caller-connection.md has the table.
 *
 * Load: callers on links of 10 Mbit/s that read responses of up to 8 MB, which
 * takes 7 s, also while the process stops; callers that send heads slowly or
 * not at all; and callers that never read, of which each holds the response.
 */

enum caller_phase
{
  CALLER_IDLE,      /* between requests; nothing of the next was received */
  CALLER_HEAD,      /* a head is arriving */
  CALLER_BODY,      /* a body is arriving */
  CALLER_SERVED,    /* the request waits or runs; it has its own deadline */
  CALLER_WRITING,   /* the response is complete, and a part is not written */
  CALLER_LINGERING, /* all is written; waits until the caller closes */
  CALLER_PHASES,
};

enum caller_action
{
  CALLER_KEEP,
  CALLER_REFUSE, /* with 408: the request has not run */
  CALLER_CLOSE,
};

/* What is seen of a connection. */
struct caller_view
{
  bool has_request;   /* from its head to its response */
  bool is_body_whole; /* of that request */
  bool message_begun; /* bytes of a request were received */
  bool head_done;
  bool close_after;       /* the connection ends with the current response */
  bool has_input;         /* unread bytes, checked while the process stops */
  size_t unwritten_bytes; /* of responses, not yet taken by the kernel */
  size_t sent_bytes_left; /* these, and those that the kernel has not sent */
};

struct caller_limits
{
  int64_t header_ms; /* for a head to arrive */
  int64_t idle_ms;   /* between requests, and without progress */
  bool stopping;     /* the process accepts no more requests */
};

/* The timer of a connection. */
struct caller_timer
{
  enum caller_phase phase;
  int64_t since_ms;       /* start of the phase, or its last progress */
  size_t sent_bytes_left; /* of the last tick */
};

enum caller_phase caller_find_phase (const struct caller_view *view);

/* Starts the timer of a new connection, or after a complete response. */
void caller_timer_init (struct caller_timer *timer, int64_t now_ms);

/* Starts the timer of the phase if it is a new one, and applies it. */
enum caller_action caller_timer_tick (struct caller_timer *timer,
                                      const struct caller_view *view,
                                      const struct caller_limits *limits,
                                      int64_t now_ms);

#endif
