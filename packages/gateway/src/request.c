#include "internal.h"

#include "timeutil.h"
#include "uuid.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
on_timer (evutil_socket_t fd, short what, void *context)
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
  request->timer = evtimer_new (gateway->base, on_timer, request);
  if (request->timer == NULL)
    {
      free (request);
      return NULL;
    }
  request->gateway = gateway;
  request->http = http;
  request->started_ms = now_ms;
  request->deadline_ms = now_ms + gateway->limits.default_deadline_ms;
  request->drained_ms = now_ms;
  snprintf (request->unique, sizeof request->unique, "%016" PRIx64,
            rng_next (&gateway->rng));
  uuid_generate (request->id);
  TAILQ_INSERT_TAIL (&gateway->requests, request, link);
  gateway->request_count++;
  return request;
}

static void
request_free (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;

  if (request->settling)
    gateway->tables.claims->forget (gateway->tables.claims->context, request);
  if (request->submitted)
    admission_release (gateway->tables.admission, &request->admission,
                       time_boot_ms ());
  TAILQ_REMOVE (&gateway->requests, request, link);
  gateway->request_count--;
  event_free (request->timer);
  if (request->text != NULL)
    evbuffer_free (request->text);
  free (request->prompt);
  free (request->chunk_head);
  free (request->path);
  free (request->body);
  free (request->answer.body);
  free (request);
  admit_pump_later (gateway);
}

/* What is known of the request when it ends with an error. */
static enum outcome
outcome_of (const struct gateway_request *request, enum result result)
{
  enum outcome outcome = result_info (result)->outcome;

  if (request->may_have_run && outcome == OUTCOME_NOT_RUN)
    return OUTCOME_UNKNOWN;
  /* These codes say nothing of the outcome, but nothing was sent. */
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
  metrics_request_end (request, result, outcome, time_boot_ms ());
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
  outcome = outcome_of (request, result);
  if (request->claim != NULL)
    service_settle_failure (request);
  refusal_send (request, result, outcome, retry_after_ms);
  request_end (request, result, outcome);
}

void
request_done (struct gateway_request *request)
{
  request_end (request, RESULT_OK, OUTCOME_DONE);
}

void
request_caller_gone (struct gateway_request *request)
{
  /*
   * A call that may not be repeated runs on, so that its record tells a later
   * repeat how it ended.
   */
  if (request->claim_granted && request->state != REQUEST_WAITING)
    return;
  request_refuse (request, RESULT_CALLER_GONE, 0);
}

void
request_wait (struct gateway_request *request, int64_t delay_ms)
{
  struct timeval delay
      = { (time_t)(delay_ms / 1000), (suseconds_t)(delay_ms % 1000 * 1000) };

  request->state = REQUEST_WAITING;
  evtimer_add (request->timer, &delay);
}

/* False if the request ended. */
static bool
check_slow_caller (struct gateway_request *request, int64_t now_ms)
{
  struct evhttp_request *http = request->http;
  struct evhttp_connection *connection;

  if (http == NULL || !request->reply_started)
    return true;
  generate_backpressure (request, now_ms);
  if (request->drained_bytes == request->sent_bytes
      || now_ms - request->drained_ms < request->gateway->limits.slow_caller_ms)
    return true;
  connection = evhttp_request_get_connection (http);
  evhttp_connection_set_closecb (connection, NULL, NULL);
  request->http = NULL;
  /* Frees the request, too, since its reply is not complete. */
  evhttp_connection_free (connection);
  request_refuse (request, RESULT_SLOW_CALLER, 0);
  return false;
}

void
request_tick (struct gateway_request *request, int64_t now_ms)
{
  if (!check_slow_caller (request, now_ms))
    return;
  if (request->state == REQUEST_SETTLING)
    {
      if (now_ms >= request->capacity_until_ms)
        service_reply (request);
      return;
    }
  /* Admission ends queued requests, and a claim ends by its own deadline. */
  if (now_ms >= request->deadline_ms && request->state != REQUEST_QUEUED
      && request->state != REQUEST_CLAIMING)
    {
      bool ran
          = request->may_have_run
            || (request->attempt != NULL && request->attempt->call->written);

      request_refuse (
          request, ran ? RESULT_DEADLINE_EXCEEDED : RESULT_DEADLINE_UNREACHABLE,
          0);
      return;
    }
  if (request->attempt != NULL)
    attempt_tick (request, now_ms);
}
