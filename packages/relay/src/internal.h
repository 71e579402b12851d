#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include "relay.h"

/* When to come back after a refusal for want of room. */
#define RELAY_RETRY_AFTER_MS 500

/* caller.c */
void relay_caller_accept (struct evconnlistener *listener,
                          evutil_socket_t fd,
                          struct sockaddr *address,
                          int size,
                          void *context);
void relay_caller_close (struct relay_caller *caller);
/* The answer is complete: on to the next request, or the end. */
void relay_caller_answered (struct relay_caller *caller);
/* True if a request has begun to arrive, or waits to be read. */
bool relay_caller_is_reading (const struct relay_caller *caller);
void relay_caller_tick (struct relay_caller *caller, int64_t now_ms);

/* request.c */
/* Reads the head; a refusal is sent at once and NULL returned. */
struct relay_request *relay_request_new (struct relay_caller *caller,
                                         const struct http_head *head);
/* The whole request is there. */
void relay_request_start (struct relay_request *request);
/* Ends the request without a word to its caller. */
void relay_request_free (struct relay_request *request);
void relay_request_queue (struct relay_request *request, bool wait);
void relay_request_tick (struct relay_request *request);

/* attempt.c */
/*
 * The attempt ended without an answer for the caller: tries elsewhere, or ends
 * the request.  may_have_run is false only if the request certainly did not.
 */
void relay_attempt_failed (struct relay_request *request,
                           bool may_have_run,
                           enum result why);
void relay_dispatch (struct relay_request *request);
/*
 * Whether the request could fail over to another endpoint: now (CHOSEN), once
 * there is room (FULL), or not at all (NONE).
 */
enum balance_verdict relay_check_failover (const struct relay_request *request);
/* When the caller of a refused request may come back; drawn anew each time. */
int64_t relay_retry_after_ms (struct relay *relay);

/* upstream.c */
struct relay_upstream *relay_upstream_get (struct relay_request *request,
                                           struct lane *load);
/* Connects without a request, to learn whether the endpoint is reached. */
void relay_upstream_probe (struct relay *relay, struct lane *load);
/* Closes the connection; its request, if any, is on its own. */
void relay_upstream_close (struct relay_upstream *upstream);
void relay_upstream_tick (struct relay_upstream *upstream);
/* Reads on after the caller was slow. */
void relay_upstream_resume (struct relay_upstream *upstream);
/* True if the connection is not established although it should be. */
bool relay_upstream_is_overdue (const struct relay_upstream *upstream);

/* answer.c */
void relay_refuse (struct relay_request *request,
                   enum result why,
                   int64_t retry_after_ms);
void relay_refuse_caller (struct relay_caller *caller,
                          const char *request_id,
                          enum result why,
                          int64_t retry_after_ms);
void relay_answer_collect_head (struct relay_upstream *upstream,
                                const struct http_head *head);
void relay_answer_plain (struct relay_request *request,
                         struct relay_upstream *upstream);
/* Whole events of a stream; false if they are not the expected ones. */
bool relay_answer_events (struct relay_request *request,
                          struct relay_upstream *upstream);
void relay_answer_stream_end (struct relay_request *request);

/* log.c */
void relay_log_end (const struct relay_request *request,
                    const char *outcome,
                    unsigned status,
                    enum result why);

#endif
