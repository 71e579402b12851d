#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include "relay.h"

/* Shortest Retry-After of a refusal for lack of capacity. */
#define RELAY_RETRY_AFTER_MS 500

/* caller.c */
void relay_caller_accept (struct evconnlistener *listener,
                          evutil_socket_t fd,
                          struct sockaddr *address,
                          int size,
                          void *context);
void relay_caller_close (struct relay_caller *caller);
/* The response is complete: reads the next request, or ends the connection. */
void relay_caller_finish_response (struct relay_caller *caller);
/* True if a request has begun to arrive, or is pending on the connection. */
bool relay_caller_is_receiving (const struct relay_caller *caller);
/* Most callers that the descriptors of the process allow. */
unsigned relay_caller_limit (void);
void relay_caller_tick (struct relay_caller *caller, int64_t now_ms);

/* request.c */
/*
 * Creates a request from its head.  NULL if it was refused, or if its
 * connection was closed because memory is short.
 */
struct relay_request *relay_request_new (struct relay_caller *caller,
                                         const struct http_head *head);
/* Dispatches a request that was received completely. */
void relay_request_start (struct relay_request *request);
/* Ends the request without a response to its caller. */
void relay_request_free (struct relay_request *request);
/* Adds the request to relay.waiting, or removes it. */
void relay_request_set_queued (struct relay_request *request, bool is_queued);
void relay_request_tick (struct relay_request *request);
/* The customer's priority, or else the route's. */
unsigned relay_request_priority (const struct relay_request *request);
/* Sets the urgency that is sent to the endpoint, as of now. */
void relay_request_set_urgency (struct relay_request *request);

/* attempt.c */
/*
 * The attempt ended without a response for the caller: tries another endpoint,
 * or ends the request.  may_have_run is false only if the request certainly did
 * not run.
 */
void relay_fail_attempt (struct relay_request *request,
                         bool may_have_run,
                         enum result result);
void relay_dispatch (struct relay_request *request);
/* Takes a quarantined request from its endpoint and ends it. */
void relay_withdraw (struct relay_request *request, int64_t retry_after_ms);
/*
 * Returns whether the request could fail over to another endpoint: now
 * (CHOSEN), once there is capacity (FULL), or not at all (NONE).
 */
enum balance_verdict relay_check_failover (struct relay_request *request);
/* Randomised time after which a refused caller may retry, ms. */
int64_t relay_draw_retry_after_ms (struct relay *relay);

/* admission.c */
/*
 * True if the admission order applies: the service has priorities, and the
 * request was not sent to an endpoint yet.
 */
bool relay_is_ordered (const struct relay_request *request);
/* Sets the request's place in the order; call once it has been received. */
void relay_admission_start (struct relay_request *request);
/*
 * Sets what the order asks of a choice of an endpoint.  False if the request is
 * admitted to none, however few slots are occupied.
 */
bool relay_admission_set_range (struct relay_request *request,
                                struct balance_request *wanted);
/* is_full: no endpoint takes the request now. */
struct admission_decision relay_admission_decide (struct relay_request *request,
                                                  bool is_full);
/* slots: see balance_choice. */
void relay_admission_note_slots (const struct relay_request *request,
                                 unsigned slots);
/* Records a whole response. */
void relay_admission_note_response (const struct relay_request *request);
/* Sorts relay.waiting; requests that are not ordered keep their order. */
void relay_admission_sort_waiting (struct relay *relay);

/* crash.c */
/* A stream that has been writing for this long does not crash its endpoint. */
#define RELAY_SOUND_AFTER_MS 500
/*
 * The endpoint closed the connection before the response was whole.  probes:
 * find out now whether it has crashed.
 */
void relay_suspect_crash (struct relay_request *request, bool probes);
/* Nothing listens at the endpoint's address. */
void relay_note_refused (struct relay *relay, const struct endpoint_load *load);
/* An endpoint has run the request without a crash. */
void relay_note_sound (struct relay_request *request);
/* Checks again whether endpoints have crashed; drops old suspects. */
void relay_crash_tick (struct relay *relay);
void relay_crash_finish (struct relay *relay);
/*
 * RESULT_QUARANTINED if the request must not be sent to an endpoint, with the
 * time until it may.
 */
enum result relay_check_strikes (struct relay_request *request,
                                 int64_t *retry_after_ms);
/* Logs which traits have been quarantined or released since the last call. */
void relay_log_quarantines (struct relay *relay);
/*
 * Takes requests that have been quarantined since from their endpoints, unless
 * they run there already.
 */
void relay_enforce_quarantine (struct relay *relay);

/* evacuation.c */
/* True if nothing may be sent to the endpoint: see evacuations.h. */
bool relay_is_evacuated (const struct relay *relay,
                         const struct endpoint_load *load);
/*
 * Sends requests elsewhere that wait for a connection to an endpoint of a data
 * centre that is evacuated.  Those that were sent there run to their end.
 */
void relay_enforce_evacuations (struct relay *relay);

/* cold.c */
/* Counts and logs that the limit of a cold endpoint kept a request away. */
void relay_log_cold (const struct relay_request *request,
                     struct endpoint_load *load);

/* memory.c */
void relay_memory_init (struct relay *relay);
/* To be called when the request's fields or body have changed. */
void relay_memory_charge_request (struct relay_request *request);
/*
 * Makes room for an announced body, or for its first part if it is large, so
 * that it need not be moved again and again.  Pages without bytes cost nothing.
 */
void relay_memory_reserve_body (struct relay_request *request, size_t size);
/* A part of the body has arrived.  May end this request and others. */
void relay_memory_note_body (struct relay_request *request);
/* To be called when the response's head or body have changed. */
void relay_memory_charge_response (struct relay_upstream *upstream);
/*
 * A part of a response has arrived; may suspend reading it.  False if it should
 * rather come from another endpoint.
 */
bool relay_memory_note_response (struct relay_upstream *upstream);
/*
 * False if memory is short and the bytes behind the last whole event are too
 * many for an event.
 */
bool relay_memory_can_hold_event (const struct relay_upstream *upstream);
/* Events of a stream were forwarded; may suspend reading it. */
void relay_memory_note_events (struct relay_upstream *upstream);
void relay_memory_tick (struct relay *relay);

/* upstream.c */
/*
 * Attaches the request to an idle connection of the endpoint, or to a new one;
 * NULL if memory is short or no socket is available.
 */
struct relay_upstream *relay_upstream_get (struct relay_request *request,
                                           struct endpoint_load *load);
/* Connects without a request, to find out whether the endpoint is reachable. */
void relay_upstream_probe (struct relay *relay, struct endpoint_load *load);
/* Closes the connection and detaches its request, if any. */
void relay_upstream_close (struct relay_upstream *upstream);
void relay_upstream_tick (struct relay_upstream *upstream);
/* Resumes reading, once a slow caller has caught up. */
void relay_upstream_resume (struct relay_upstream *upstream);
/* True if no connection was established within the connect timeout. */
bool relay_upstream_is_overdue (const struct relay_upstream *upstream);

/* response.c */
/* Sends the error to the caller and ends the request. */
void relay_refuse (struct relay_request *request,
                   enum result result,
                   int64_t retry_after_ms);
/* Sends the error only; request_id is "" if the request's id is unknown. */
void relay_refuse_caller (struct relay_caller *caller,
                          const char *request_id,
                          enum result result,
                          int64_t retry_after_ms);
void relay_response_collect_head (struct relay_upstream *upstream,
                                  const struct http_head *head);
void relay_response_send_plain (struct relay_request *request,
                                struct relay_upstream *upstream);
/*
 * Forwards the whole events of a stream; false if they do not continue what the
 * caller has.
 */
bool relay_response_send_events (struct relay_request *request,
                                 struct relay_upstream *upstream);
void relay_response_end_stream (struct relay_request *request);

/* request-log.c */
/* The ids of the shared parts as hexadecimal, separated by commas. */
#define RELAY_PARTS_TEXT_SIZE 256
void relay_format_parts (const struct relay_request *request,
                         char text[RELAY_PARTS_TEXT_SIZE]);
void relay_log_request_end (const struct relay_request *request,
                            const char *outcome,
                            unsigned status,
                            enum result result);

#endif
