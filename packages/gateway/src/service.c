#include "internal.h"

#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
send_response (struct gateway_request *request,
               const struct claim_answer *answer,
               bool replayed)
{
  struct evhttp_request *http = request->http;
  struct evkeyvalq *headers;
  struct evbuffer *body;

  if (http == NULL)
    return;
  headers = evhttp_request_get_output_headers (http);
  body = evbuffer_new ();
  if (answer->content_type != NULL && answer->content_type[0] != '\0')
    evhttp_add_header (headers, "Content-Type", answer->content_type);
  evhttp_add_header (headers, "X-Request-Id", request->id);
  if (replayed)
    evhttp_add_header (headers, "Idempotency-Replayed", "true");
  if (request->gateway->phase == GATEWAY_DRAINING)
    evhttp_add_header (headers, "Connection", "close");
  if (body != NULL && answer->body_size > 0)
    evbuffer_add (body, answer->body, answer->body_size);
  listener_unwatch_caller (request);
  request->http = NULL;
  evhttp_send_reply (http, answer->status, NULL, body);
  if (body != NULL)
    evbuffer_free (body);
}

void
service_send_reply (struct gateway_request *request)
{
  send_response (request, &request->answer, false);
  request_complete (request);
}

static void
on_claim_settled (void *context)
{
  struct gateway_request *request = context;

  request->settle_callback_pending = false;
  service_send_reply (request);
}

/*
 * Records the response in the claim before the caller receives it; the reply
 * waits at most settle_timeout_ms for that.
 */
static void
settle_with_response (struct gateway_request *request)
{
  const struct gateway_claim_hooks *claims
      = request->gateway->tables.claim_hooks;
  struct gateway_claim *claim = request->claim;

  request->claim = NULL;
  request->state = REQUEST_SETTLING;
  request->settle_callback_pending = true;
  request->wait_until_ms
      = time_boot_ms () + request->gateway->limits.settle_timeout_ms;
  claims->settle (claims->context, claim, CLAIM_DONE, &request->answer,
                  on_claim_settled, request);
}

void
service_settle_failure (struct gateway_request *request)
{
  const struct gateway_claim_hooks *claims
      = request->gateway->tables.claim_hooks;
  struct gateway_claim *claim = request->claim;

  request->claim = NULL;
  if (!request->claim_granted)
    claims->abandon (claims->context, claim);
  else
    claims->settle (claims->context, claim,
                    request->may_have_run ? CLAIM_UNKNOWN : CLAIM_NOT_RUN, NULL,
                    NULL, NULL);
}

static void
on_claim_decided (void *context,
                  struct gateway_claim *claim,
                  enum claim_verdict verdict,
                  enum result result,
                  const struct claim_answer *answer)
{
  struct gateway_request *request = context;

  if (request->decided_flag != NULL)
    *request->decided_flag = true;
  request->decided_flag = NULL;
  request->claim = NULL;
  switch (verdict)
    {
    case CLAIM_VERDICT_GRANTED:
      request->claim = claim;
      request->claim_granted = true;
      request_dispatch (request);
      break;
    case CLAIM_VERDICT_REPLAY:
      send_response (request, answer, true);
      request_complete (request);
      break;
    case CLAIM_VERDICT_REFUSED:
      request_refuse (request, result, 0);
      break;
    }
}

void
service_begin_claim (struct gateway_request *request)
{
  const struct gateway_claim_hooks *claims
      = request->gateway->tables.claim_hooks;
  const struct gateway_claim_request claim_request = {
    .customer = request->customer,
    .service = request->name,
    .idempotency_key = request->idempotency_key,
    .fingerprint = request->traits.fingerprint,
    .deadline_ms = request->deadline_ms,
  };
  struct gateway_claim *claim;
  bool decided = false;

#ifdef BREAK_GUARD_CLAIM
  request_dispatch (request);
  return;
#endif
  if (claims == NULL)
    {
      request_refuse (request, RESULT_CLAIM_UNAVAILABLE, 0);
      return;
    }
  request->state = REQUEST_CLAIMING;
  request->decided_flag = &decided;
  claim = claims->begin (claims->context, &claim_request, on_claim_decided,
                         request);
  /* The decision may have ended and freed the request. */
  if (decided)
    return;
  request->decided_flag = NULL;
  request->claim = claim;
}

static void
refuse_large_response (struct gateway_request *request)
{
  request->may_have_run = true;
  attempt_end (request, CHOOSE_END_FAILURE, true);
  request_refuse (request, RESULT_TOO_LARGE, 0);
}

static enum memory_level
get_memory_level (const struct gateway_request *request)
{
  return memory_account_level (&request->gateway->account);
}

/* A large response waits unread at its endpoint while memory is short. */
static void
on_response_data (void *context, const char *bytes, size_t size)
{
  struct attempt *attempt = context;
  struct gateway_request *request = attempt->request;

  attempt->progress_ms = time_boot_ms ();
  /* An endless body is refused at the limit, not only at the deadline. */
  if (!attempt_append_response (attempt, bytes, size,
                                request->gateway->limits.response_bytes))
    refuse_large_response (request);
  else if (evbuffer_get_length (attempt->response) > MEMORY_SMALL_BYTES
           && get_memory_level (request) == MEMORY_FULL)
    {
      if (attempt->unread_since_ms == 0)
        attempt->unread_since_ms = attempt->progress_ms;
      endpoint_set_paused (attempt->call, true);
    }
}

void
service_tick (struct gateway_request *request, int64_t now_ms)
{
  struct attempt *attempt = request->attempt;
  enum memory_level level = get_memory_level (request);

  if (attempt->unread_since_ms == 0)
    return;
  if (level == MEMORY_CALM)
    attempt->unread_since_ms = 0;
  if (level != MEMORY_FULL)
    endpoint_set_paused (attempt->call, false);
  else if (now_ms - attempt->unread_since_ms >= MEMORY_WAIT_MS)
    refuse_large_response (request);
}

static bool
copy_response (struct gateway_request *request, struct attempt *attempt)
{
  struct claim_answer *answer = &request->answer;

  answer->body_size = evbuffer_get_length (attempt->response);
  answer->body = malloc (answer->body_size + 1);
  if (answer->body == NULL)
    return false;
  evbuffer_copyout (attempt->response, answer->body, answer->body_size);
  evbuffer_drain (attempt->response, answer->body_size);
  request_account (request);
  answer->status = attempt->call->status;
  if (attempt->call->content_type == NULL)
    return true;
  answer->content_type = strdup (attempt->call->content_type);
  return answer->content_type != NULL;
}

static void
on_call_ended (void *context, enum result result)
{
  struct attempt *attempt = context;
  struct gateway_request *request = attempt->request;
  int status = attempt->call->status;

  if (result != RESULT_OK)
    attempt_fail (request, result,
                  result == RESULT_UPSTREAM_UNKNOWN
                      && !attempt->call->is_malformed);
  else if (attempt_has_leaving_response (attempt))
    attempt_fail (request, RESULT_ENDPOINT_LEAVING, false);
  else if (!copy_response (request, attempt))
    request_refuse (request, RESULT_NO_MEMORY, 0);
  else
    {
      if (status < 500 && !attempt->call->ends_with_connection)
        request_clear_strikes (request);
      attempt_end (request,
                   status < 500 ? CHOOSE_END_SUCCESS : CHOOSE_END_FAILURE,
                   false);
      if (request->claim != NULL)
        settle_with_response (request);
      else
        service_send_reply (request);
    }
}

bool
service_start (struct gateway_request *request, struct attempt *attempt)
{
  static const struct endpoint_events events
      = { .data = on_response_data, .ended = on_call_ended };
  int64_t now_ms = attempt->started_ms;
  char deadline[32];
  const char *key = request->idempotency_key;
  const struct endpoint_header headers[] = {
    { "Content-Type", request->content_type },
    { "Idempotency-Key", *key != '\0' ? key : NULL },
    { "X-Request-Id", attempt->id },
    { "X-Customer", request->customer },
    { "X-Deadline-Ms", deadline },
    { NULL, NULL },
  };
  const struct endpoint_request call_request = {
    .address = attempt->address,
    .port = attempt->port,
    .method = request_method_name (request->method),
    .path = request->path,
    .headers = headers,
    .body = request->body,
    .size = request->body_size,
    .own_connection = !request->repeatable,
    .id = attempt->id,
  };

  snprintf (deadline, sizeof deadline, "%" PRId64,
            request->deadline_ms - now_ms);
  attempt->call = endpoint_start_call (request->gateway->endpoints,
                                       &call_request, &events, attempt, now_ms);
  return attempt->call != NULL;
}
