#include "internal.h"

#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
on_dispatch_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  request_dispatch (context);
}

struct gateway_request *
request_new (struct gateway *gateway,
             struct evhttp_request *http,
             int64_t now_ms)
{
  struct gateway_request *request = calloc (1, sizeof *request);

  if (request == NULL)
    return NULL;
  request->timer = evtimer_new (gateway->base, on_dispatch_timer, request);
  if (request->timer == NULL)
    {
      free (request);
      return NULL;
    }
  request->gateway = gateway;
  request->http = http;
  request->started_ms = now_ms;
  request->deadline_ms = now_ms + gateway->limits.default_deadline_ms;
  request->delivered_ms = now_ms;
  snprintf (request->attempt_id_nonce, sizeof request->attempt_id_nonce,
            "%016" PRIx64, rng_next (&gateway->rng));
  TAILQ_INSERT_TAIL (&gateway->requests, request, link);
  gateway->request_count++;
  return request;
}

static void
request_free (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;

  if (request->settle_callback_pending)
    gateway->tables.claim_hooks->cancel_settled (
        gateway->tables.claim_hooks->context, request);
  if (request->in_admission)
    admission_release (gateway->tables.admission, &request->admission,
                       time_boot_ms ());
  if (request->caller != NULL)
    caller_request_ended (request->caller);
  memory_account_set (&gateway->account, MEMORY_BODIES, &request->charge, 0);
  memory_account_set (&gateway->account, MEMORY_RESPONSES,
                      &request->response_charge, 0);
  TAILQ_REMOVE (&gateway->requests, request, link);
  gateway->request_count--;
  event_free (request->timer);
  if (request->collected_text != NULL)
    evbuffer_free (request->collected_text);
  if (request->backlog != NULL)
    evbuffer_free (request->backlog);
  free (request->prompt);
  free (request->event_prefix);
  free (request->path);
  free (request->body);
  free (request->content_type);
  claim_answer_finish (&request->answer);
  free (request);
  admit_process_queue_later (gateway);
}

void
request_account (struct gateway_request *request)
{
  struct memory_account *account = &request->gateway->account;
  size_t held = sizeof *request + request->prompt_size + request->body_size;
  size_t answered = request->answer.body_size;

  if (request->http != NULL)
    held += evbuffer_get_length (
        evhttp_request_get_input_buffer (request->http));
  if (request->collected_text != NULL)
    answered += evbuffer_get_length (request->collected_text);
  if (request->backlog != NULL)
    answered += evbuffer_get_length (request->backlog);
  if (request->attempt != NULL)
    answered += evbuffer_get_length (request->attempt->response);
  memory_account_set (account, MEMORY_BODIES, &request->charge, held);
  memory_account_set (account, MEMORY_RESPONSES, &request->response_charge,
                      answered);
}

/* Returns whether a request that ends with an error may have run. */
static enum outcome
determine_error_outcome (const struct gateway_request *request,
                         enum result result)
{
  enum outcome outcome = result_info (result)->outcome;

  if (request->may_have_run && outcome == OUTCOME_NOT_RUN)
    return OUTCOME_UNKNOWN;
  /* These codes leave the outcome open, but here nothing was sent. */
  if (!request->may_have_run
      && (result == RESULT_QUARANTINED || result == RESULT_CALLER_GONE))
    return OUTCOME_NOT_RUN;
  return outcome;
}

static void
request_end (struct gateway_request *request,
             enum result result,
             enum outcome outcome)
{
  metrics_record_request_end (request, result, outcome, time_boot_ms ());
  request_free (request);
}

void
request_refuse (struct gateway_request *request,
                enum result result,
                int64_t retry_after_ms)
{
  enum outcome outcome;

  if (request->attempt != NULL)
    {
      request->may_have_run |= request->attempt->call->written;
      attempt_end (request, CHOOSE_END_CANCELLED, true);
    }
  outcome = determine_error_outcome (request, result);
  if (request->claim != NULL)
    service_settle_failure (request);
  refusal_send (request, result, outcome, retry_after_ms);
  request_end (request, result, outcome);
}

void
request_complete (struct gateway_request *request)
{
  request_end (request, RESULT_OK, OUTCOME_DONE);
}

void
request_caller_disconnected (struct gateway_request *request)
{
  /*
   * A call that may not be repeated continues, so that a repeat by the caller
   * finds the outcome in its claim record.
   */
  if (request->claim_granted && request->state != REQUEST_WAITING)
    return;
  request_refuse (request, RESULT_CALLER_GONE, 0);
}

void
request_dispatch_later (struct gateway_request *request, int64_t delay_ms)
{
  struct timeval delay
      = { (time_t)(delay_ms / 1000), (suseconds_t)(delay_ms % 1000 * 1000) };

  request->state = REQUEST_WAITING;
  evtimer_add (request->timer, &delay);
}

/*
 * Disconnects a caller that reads nothing for too long.  Returns false if that
 * ended the request.
 */
static bool
disconnect_slow_caller (struct gateway_request *request, int64_t now_ms)
{
  struct evhttp_request *http = request->http;
  struct evhttp_connection *connection;

  if (http == NULL || !request->reply_started)
    return true;
  generate_update_backpressure (request, now_ms);
  if (request->delivered_bytes == request->output_bytes
      || now_ms - request->delivered_ms
             < request->gateway->limits.slow_caller_timeout_ms)
    return true;
  connection = evhttp_request_get_connection (http);
  request->caller->watched = NULL;
  request->http = NULL;
  /* Also frees the evhttp request, since its reply is not complete. */
  evhttp_connection_free (connection);
  request_refuse (request, RESULT_SLOW_CALLER, 0);
  return false;
}

void
request_tick (struct gateway_request *request, int64_t now_ms)
{
  if (!disconnect_slow_caller (request, now_ms))
    return;
  if (request->state == REQUEST_SETTLING)
    {
      if (now_ms >= request->wait_until_ms)
        service_send_reply (request);
      return;
    }
  /* Admission expires queued requests, and a claim has its own deadline. */
  if (now_ms >= request->deadline_ms && request->state != REQUEST_QUEUED
      && request->state != REQUEST_CLAIMING)
    {
      bool may_have_run
          = request->may_have_run
            || (request->attempt != NULL && request->attempt->call->written);

      request_refuse (request,
                      may_have_run ? RESULT_DEADLINE_EXCEEDED
                                   : RESULT_DEADLINE_UNREACHABLE,
                      0);
      return;
    }
  if (request->attempt != NULL)
    attempt_tick (request, now_ms);
}
