#include "hash.h"
#include "log.h"
#include "relay-internal.h"

#include <stdio.h>

/* Interval between log lines on refused requests. */
#define SHED_LOG_INTERVAL_MS 1000

static const char *const state_names[ADMISSION_STATES] = {
  [ADMISSION_IN_TIME] = "in-time",
  [ADMISSION_LATE] = "late",
  [ADMISSION_LAST_TRY] = "last-try",
};

bool
relay_is_ordered (const struct relay_request *request)
{
  return request->service->has_priorities && request->sends == 0;
}

/*
 * Callers give up on a stream whose first event takes longer than the longest
 * of this time, this many latency objectives and this many event gap
 * objectives.
 */
#define GIVE_UP_MS 2000
#define GIVE_UP_OBJECTIVES 4
#define GIVE_UP_EVENT_GAPS 8

static int64_t
get_give_up_ms (const struct catalog_route *route)
{
  int64_t give_up_ms = GIVE_UP_MS;

  if (GIVE_UP_OBJECTIVES * route->objective_ms > give_up_ms)
    give_up_ms = GIVE_UP_OBJECTIVES * route->objective_ms;
  if (GIVE_UP_EVENT_GAPS * route->event_gap_objective_ms > give_up_ms)
    give_up_ms = GIVE_UP_EVENT_GAPS * route->event_gap_objective_ms;
  return give_up_ms;
}

/* Times left, as of now. */
static void
update_times (struct relay_request *request)
{
  const struct relay *relay = request->relay;
  int64_t now_ms = relay->now_ms;
  int64_t ends_at_ms = request->deadline_ms;

  /* The process ends all requests. */
  if (relay->leaving && relay->ends_at_ms < ends_at_ms)
    ends_at_ms = relay->ends_at_ms;
  request->admission.objective_left_ms
      = request->objective_deadline_ms - now_ms;
  request->admission.deadline_left_ms = ends_at_ms - now_ms;
  request->admission.first_event_left_ms = request->admission.deadline_left_ms;
  if (request->route->kind == CATALOG_STREAM)
    request->admission.first_event_left_ms
        = request->arrived_ms + get_give_up_ms (request->route) - now_ms;
}

static struct admission_model *
get_model (const struct relay_request *request)
{
  return admission_history_get (&request->relay->admission,
                                request->admission_key, request->relay->now_ms);
}

void
relay_admission_start (struct relay_request *request)
{
  const struct catalog_service *service = request->service;
  const struct balance_request estimate
      = { .service = service,
          .model = request->model,
          .prompt_tokens = request->prompt_tokens };
  struct admission_model *model;

  request->admission_key = hash_string (service->name, 0);
  if (request->model != NULL)
    request->admission_key
        = hash_string (request->model->name, request->admission_key);
  model = get_model (request);
  /* The objective counts from when the caller first sent the request. */
  request->objective_deadline_ms -= request->waited_before_ms;
  request->admission = (struct admission_request){
    .priority = relay_request_priority (request),
    .precedence
    = admission_model_note_request (model, relay_request_priority (request)),
    .top_precedence = model->top_precedence,
    .objective_ms = request->route->objective_ms,
    .waited_before_ms = request->waited_before_ms,
    .idle_first_event_ms = balance_min_first_event_ms (&estimate),
    .busy_first_event_ms = balance_busy_first_event_ms (&estimate),
    .run_ms = model->run_ms,
  };
  if (request->model != NULL && request->limit_tokens > 0)
    request->admission.run_ms = balance_run_ms (
        &estimate, admission_model_expect_events (model, request->limit_tokens,
                                                  service->tokens_per_event));
}

/*
 * Counts the late requests for the same model that are served before.  Of equal
 * ones those are that come first in the list.
 */
static unsigned
count_ahead (const struct relay_request *request)
{
  const struct relay_request *other;
  int highest_order = 0;
  unsigned count = 0;

  TAILQ_FOREACH (other, &request->relay->waiting, queue)
    {
      if (other == request)
        highest_order = -1;
      else if (relay_is_ordered (other)
               && other->admission_key == request->admission_key
               && admission_get_state (&other->admission) != ADMISSION_IN_TIME
               && admission_compare (&other->admission, &request->admission)
                      <= highest_order)
        count++;
    }
  return count;
}

static struct admission_outlook
get_outlook (const struct relay_request *request, bool counts_ahead)
{
  unsigned hosts = request->relay->loads.fleet.live_hosts;
  bool is_late = admission_get_state (&request->admission) != ADMISSION_IN_TIME;

  return (struct admission_outlook){
    .slots = get_model (request)->slots,
    .hosts = hosts > 0 ? hosts : 1,
    .ahead = counts_ahead && is_late ? count_ahead (request) : 0,
  };
}

bool
relay_admission_set_range (struct relay_request *request,
                           struct balance_request *wanted)
{
  struct admission_outlook outlook;

  update_times (request);
  outlook = get_outlook (request, true);
  outlook.late_share = 1;
  if (outlook.ahead == 0
      && admission_get_state (&request->admission) != ADMISSION_IN_TIME)
    outlook.late_share = admission_model_note_late_try (get_model (request),
                                                        request->relay->now_ms);
  wanted->has_range = true;
  wanted->range = admission_get_range (&request->admission, &outlook);
  /* The range for slots to spare follows from the chance of each try. */
  if (admission_takes_spare_slots (&request->admission))
    wanted->admission_draw = rng_real (&request->relay->loads.rng);
  return request->model == NULL || wanted->range.none_above > 0;
}

static void
log_shed (const struct relay_request *request,
          const struct admission_outlook *outlook,
          const struct admission_decision *decision)
{
  struct relay *relay = request->relay;
  const struct admission_request *admission = &request->admission;

  relay->shed_since_log++;
  if (relay->now_ms - relay->shed_logged_ms < SHED_LOG_INTERVAL_MS)
    return;
  LOG_EVENT (
      LOG_LEVEL_NOTICE, "request-shed", LOG_STR ("request", request->id),
      LOG_STR ("service", request->service->name),
      LOG_STR ("model", request->model != NULL ? request->model->name : ""),
      LOG_U64 ("priority", relay_request_priority (request)),
      LOG_STR ("state", state_names[admission_get_state (admission)]),
      LOG_INT ("waited_before_ms", admission->waited_before_ms),
      LOG_INT ("objective_left_ms", admission->objective_left_ms),
      LOG_INT ("left_ms", admission->deadline_left_ms),
      LOG_INT ("run_ms", (int64_t)admission->run_ms),
      LOG_U64 ("ahead", outlook->ahead),
      LOG_INT ("retry_after_ms", decision->retry_after_ms),
      LOG_U64 ("refused", relay->shed_since_log));
  relay->shed_logged_ms = relay->now_ms;
  relay->shed_since_log = 0;
}

/* Counts a wait when it begins, and each refusal. */
static void
count_decision (const struct relay_request *request,
                const struct admission_decision *decision)
{
  unsigned priority = relay_request_priority (request);
  char labels[64];

  if (decision->action == ADMISSION_SEND
      || (decision->action == ADMISSION_WAIT && request->is_queued))
    return;
  /* The last label stands for all lower priorities. */
  if (priority >= ADMISSION_PRIORITY_LIMIT)
    priority = ADMISSION_PRIORITY_LIMIT - 1;
  snprintf (labels, sizeof labels, "priority=\"%u\",state=\"%s\",action=\"%s\"",
            priority, state_names[admission_get_state (&request->admission)],
            decision->action == ADMISSION_WAIT ? "wait" : "refuse");
  counter_add (request->relay->counters, "waxwing_admission_total", labels, 1);
}

struct admission_decision
relay_admission_decide (struct relay_request *request, bool is_full)
{
  struct relay *relay = request->relay;
  struct admission_outlook outlook;
  struct admission_decision decision;

  update_times (request);
  outlook = get_outlook (request, is_full);
  outlook.is_full = is_full;
  decision
      = admission_decide (get_model (request), &request->admission, &outlook,
                          rng_real (&relay->loads.rng), relay->now_ms);
  if (decision.action == ADMISSION_REFUSE)
    log_shed (request, &outlook, &decision);
  count_decision (request, &decision);
  return decision;
}

void
relay_admission_note_slots (const struct relay_request *request, unsigned slots)
{
  get_model (request)->slots = slots;
}

void
relay_admission_note_response (const struct relay_request *request)
{
  if (!request->service->has_priorities || request->sends > 1)
    return;
  admission_model_note_response (
      get_model (request), request->limit_tokens, request->events_sent,
      request->relay->now_ms - request->upstream->started_ms);
}

/* True if a is to be tried before b. */
static bool
is_before (const struct relay_request *a, const struct relay_request *b)
{
  if (!relay_is_ordered (a) || !relay_is_ordered (b))
    return !relay_is_ordered (a) && relay_is_ordered (b);
  return admission_compare (&a->admission, &b->admission) < 0;
}

void
relay_admission_sort_waiting (struct relay *relay)
{
  struct relay_request *request = TAILQ_FIRST (&relay->waiting);

  /* Insertion, because the list is nearly sorted since the last call. */
  while (request != NULL)
    {
      struct relay_request *next = TAILQ_NEXT (request, queue);
      struct relay_request *previous
          = TAILQ_PREV (request, relay_request_list, queue);

      if (relay_is_ordered (request))
        update_times (request);
      if (previous != NULL && is_before (request, previous))
        {
          TAILQ_REMOVE (&relay->waiting, request, queue);
          while (TAILQ_PREV (previous, relay_request_list, queue) != NULL
                 && is_before (
                     request, TAILQ_PREV (previous, relay_request_list, queue)))
            previous = TAILQ_PREV (previous, relay_request_list, queue);
          TAILQ_INSERT_BEFORE (previous, request, queue);
        }
      request = next;
    }
}
