#include "admission-order.h"

#include <math.h>
#include <string.h>

/*
 * The range of a request is shifted by this much times its precedence.  If half
 * of the requests are more urgent, two slots of 20 are left to them.  With one
 * slot, a kind of request with twice the objective is served better than the
 * more urgent one (docs/design/load-shedding.md).  Shifts are relative to the
 * mean: if they only lowered ranges, slots would stay free in an overload.
 */
#define URGENT_SHARE_STEP 0.2
/*
 * Each kind and customer is to be served at least a quarter as often as all; a
 * third leaves room for what else delays a request.
 */
#define LEAST_SHARE 0.33
/*
 * A late request that has found no slot to spare until this long before its
 * last start is admitted like one in time from then on: it would be lost, while
 * a new request that is refused in its place can come back.
 */
#define LAST_CHANCE_MS 200
/*
 * Late requests are admitted up to the share of occupied slots from which on
 * requests in time are refused.
 */
#define LATE_NONE_ABOVE ADMISSION_ALL_BELOW
/*
 * Tries of a late request until its host hears of what the others sent.  All
 * hosts together fill no more than the free slots in this time.
 */
#define LATE_TRIES_UNHEARD 2.5
/* Share of the objective left that an estimate may use; see choose.c. */
#define OBJECTIVE_SHARE 0.9
/*
 * A request waits for this part of its objective to be in time.  First events
 * take longer than estimated while prompts queue, so after a longer wait it
 * would be sent and be late.
 */
#define WAIT_OBJECTIVE_SHARE 0.15
/* Callers come back after this time at the earliest. */
#define RETRY_AFTER_MS 500
/* Callers honour a return time up to this part of the time left to them. */
#define HONOURED_PART 3
/*
 * A caller that spent half of the shortest return time before this host got the
 * request has come back.  Connecting takes a few milliseconds.
 */
#define CAME_BACK_MS (RETRY_AFTER_MS / 2)
/*
 * Time between two tries of a late request.  Hosts exchange their loads about
 * as often, and each try costs the host a look at all endpoints.
 */
#define LATE_TRY_INTERVAL_MS 100
/*
 * Tries of late requests count for this time, on average.  With less, late
 * requests of few hosts are lost while slots are free; with more, hosts send
 * too many when a burst begins.
 */
#define LATE_TRIES_VALID_MS 3000.0
/* A host may serve twice its equal part of the requests. */
#define HOST_SHARE_LIMIT 2
/* Weight of a new sample in the moving means. */
#define SAMPLE_WEIGHT 0.1
/*
 * The same for priorities: about the last 50 requests count, 10 s to 2 minutes
 * of one host.
 */
#define PRIORITY_WEIGHT 0.02

static double
clamp_share (double share)
{
  if (share < 0)
    return 0;
  return share < 1 ? share : 1;
}

double
admission_share (const struct admission_range *range, double occupied_share)
{
  double share = (range->none_above - occupied_share)
                 / (range->none_above - range->all_below);
  double least_share
      = range->least_share
        * clamp_share (
            (ADMISSION_NONE_ABOVE + range->top_shift - occupied_share)
            / (ADMISSION_NONE_ABOVE - ADMISSION_ALL_BELOW));

  return share > least_share ? share : least_share;
}

struct admission_model *
admission_history_get (struct admission_history *history,
                       uint64_t key,
                       int64_t now_ms)
{
  struct admission_model *model = &history->models[0];

  if (key == 0)
    key = 1;
  for (unsigned i = 0; i < ADMISSION_MODEL_LIMIT; i++)
    {
      if (history->models[i].key == key)
        {
          history->models[i].used_ms = now_ms;
          return &history->models[i];
        }
      if (model->key != 0
          && (history->models[i].key == 0
              || history->models[i].used_ms < model->used_ms))
        model = &history->models[i];
    }
  memset (model, 0, sizeof *model);
  model->key = key;
  model->used_ms = now_ms;
  return model;
}

double
admission_model_note_request (struct admission_model *model, unsigned priority)
{
  double more_urgent = 0;
  double mean_more_urgent = 0;
  double all = 0;

  if (priority >= ADMISSION_PRIORITY_LIMIT)
    priority = ADMISSION_PRIORITY_LIMIT - 1;
  for (unsigned i = 0; i < ADMISSION_PRIORITY_LIMIT; i++)
    {
      model->priority_weights[i]
          += PRIORITY_WEIGHT * ((i == priority) - model->priority_weights[i]);
      mean_more_urgent += model->priority_weights[i] * all;
      if (i < priority)
        more_urgent += model->priority_weights[i];
      all += model->priority_weights[i];
    }
  model->top_precedence = mean_more_urgent / all / all;
  return model->top_precedence - more_urgent / all;
}

static void
add_sample (double *mean, double sample)
{
  if (*mean == 0)
    *mean = sample;
  else
    *mean += SAMPLE_WEIGHT * (sample - *mean);
}

void
admission_model_note_response (struct admission_model *model,
                               uint64_t limit_tokens,
                               uint64_t events,
                               int64_t run_ms)
{
  add_sample (&model->run_ms, (double)run_ms);
  if (limit_tokens > 0 && events > 0)
    add_sample (&model->events_per_limit_token,
                (double)events / (double)limit_tokens);
}

double
admission_model_note_late_try (struct admission_model *model, int64_t now_ms)
{
  double age = (double)(now_ms - model->late_tries_ms) / LATE_TRIES_VALID_MS;
  double share;

  model->late_tries = model->late_tries * exp (-age) + 1;
  model->late_tries_ms = now_ms;
  share = model->late_tries * LATE_TRY_INTERVAL_MS / LATE_TRIES_VALID_MS;
  return share < 1 ? share : 1;
}

double
admission_model_expect_events (const struct admission_model *model,
                               uint64_t limit_tokens,
                               unsigned tokens_per_event)
{
  double ratio = model->events_per_limit_token;

  if (ratio == 0)
    ratio = 1.0 / (tokens_per_event > 0 ? tokens_per_event : 1);
  return ratio * (double)limit_tokens;
}

/* True if the caller will not come back, or too late for another try. */
static bool
is_last_try (const struct admission_request *request)
{
  return request->waited_before_ms >= CAME_BACK_MS
         || (double)request->deadline_left_ms
                < HONOURED_PART * RETRY_AFTER_MS + request->run_ms;
}

enum admission_state
admission_get_state (const struct admission_request *request)
{
  if (request->objective_left_ms > 0
      && request->idle_first_event_ms
             <= OBJECTIVE_SHARE * (double)request->objective_left_ms)
    return ADMISSION_IN_TIME;
  return is_last_try (request) ? ADMISSION_LAST_TRY : ADMISSION_LATE;
}

/*
 * The part of the free slots that this host may fill in one try goes to its
 * first late requests.
 */
static struct admission_range
get_late_range (const struct admission_outlook *outlook)
{
  double hosts = outlook->hosts * outlook->late_share;
  double slots_per_try
      = outlook->slots > 0
            ? outlook->slots / LATE_TRIES_UNHEARD / (hosts > 1 ? hosts : 1)
            : 1;
  double none_above = LATE_NONE_ABOVE - outlook->ahead / slots_per_try;

  return (struct admission_range){ .all_below = none_above - 1 / slots_per_try,
                                   .none_above = none_above };
}

/* Time within which the request has to be sent to be served whole. */
static double
get_last_start_ms (const struct admission_request *request)
{
  double whole_ms = (double)request->deadline_left_ms - request->run_ms;
  double first_event_ms
      = (double)request->first_event_left_ms - request->busy_first_event_ms;

  return whole_ms < first_event_ms ? whole_ms : first_event_ms;
}

bool
admission_takes_spare_slots (const struct admission_request *request)
{
  return admission_get_state (request) != ADMISSION_IN_TIME
         && get_last_start_ms (request) > LAST_CHANCE_MS;
}

struct admission_range
admission_get_range (const struct admission_request *request,
                     const struct admission_outlook *outlook)
{
  double shift = URGENT_SHARE_STEP * request->precedence;

  if (admission_takes_spare_slots (request))
    return get_late_range (outlook);
  return (struct admission_range){
    .all_below = ADMISSION_ALL_BELOW + shift,
    .none_above = ADMISSION_NONE_ABOVE + shift,
    .least_share = LEAST_SHARE,
    .top_shift = URGENT_SHARE_STEP * request->top_precedence,
  };
}

int
admission_compare (const struct admission_request *a,
                   const struct admission_request *b)
{
  bool a_is_late = admission_get_state (a) != ADMISSION_IN_TIME;
  bool b_is_late = admission_get_state (b) != ADMISSION_IN_TIME;
  double a_left_ms;
  double b_left_ms;

  if (a_is_late != b_is_late)
    return a_is_late ? 1 : -1;
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  a_left_ms = a_is_late ? get_last_start_ms (a) : (double)a->objective_left_ms;
  b_left_ms = b_is_late ? get_last_start_ms (b) : (double)b->objective_left_ms;
  if (a_left_ms != b_left_ms)
    return a_left_ms < b_left_ms ? -1 : 1;
  return 0;
}

/* Time in which one of the slots becomes free for this host. */
static double
get_slot_interval_ms (const struct admission_request *request,
                      const struct admission_outlook *outlook)
{
  return outlook->slots > 0 ? request->run_ms * outlook->hosts / outlook->slots
                            : 0;
}

/*
 * Takes the next place for a caller that comes back.  Places are as far apart
 * as slots become free.  Those beyond what the caller honours are spread over
 * that time, as its answer is late in any case and a burst may end meanwhile.
 */
static int64_t
take_return_place (struct admission_model *model,
                   const struct admission_request *request,
                   const struct admission_outlook *outlook,
                   double draw,
                   int64_t now_ms)
{
  double interval_ms = get_slot_interval_ms (request, outlook);
  double limit_ms = (double)request->deadline_left_ms / HONOURED_PART;
  double place_ms;

  if (limit_ms <= RETRY_AFTER_MS)
    return RETRY_AFTER_MS;
  if (model->next_return_ms < now_ms + RETRY_AFTER_MS)
    model->next_return_ms = now_ms + RETRY_AFTER_MS;
  place_ms = (double)(model->next_return_ms - now_ms) + draw * interval_ms;
  if (interval_ms <= 0 || place_ms > limit_ms)
    place_ms = RETRY_AFTER_MS + draw * (limit_ms - RETRY_AFTER_MS);
  else
    model->next_return_ms += (int64_t)interval_ms;
  return (int64_t)place_ms;
}

/* Wait of a request whose caller cannot come back, for a slot to spare. */
static bool
can_wait_for_spare (const struct admission_request *request,
                    const struct admission_outlook *outlook)
{
  double last_start_ms = get_last_start_ms (request);
  double ahead_ms = get_slot_interval_ms (request, outlook) * outlook->ahead
                    / HOST_SHARE_LIMIT;

  return last_start_ms > 0 && ahead_ms < last_start_ms;
}

/* True if the request can still be in time if it waits for a slot. */
static bool
can_wait_in_time (const struct admission_request *request)
{
  double left_ms = (double)request->objective_left_ms;

  /* An endpoint that serves alone responds as soon as it has a slot. */
  if (request->busy_first_event_ms == 0)
    return left_ms > 0;
  return left_ms > (1 - WAIT_OBJECTIVE_SHARE) * (double)request->objective_ms;
}

struct admission_decision
admission_decide (struct admission_model *model,
                  const struct admission_request *request,
                  const struct admission_outlook *outlook,
                  double draw,
                  int64_t now_ms)
{
  struct admission_decision decision = { .action = ADMISSION_SEND };

  if ((double)request->deadline_left_ms <= request->idle_first_event_ms)
    {
      decision.action = ADMISSION_REFUSE;
      decision.is_unreachable = true;
      decision.retry_after_ms = RETRY_AFTER_MS;
      return decision;
    }
  if (!outlook->is_full)
    return decision;
  decision.action = ADMISSION_WAIT;
  decision.wait_until_ms = now_ms;
  if (can_wait_in_time (request))
    return decision;
  if (is_last_try (request) && can_wait_for_spare (request, outlook))
    {
      decision.wait_until_ms = now_ms + LATE_TRY_INTERVAL_MS;
      return decision;
    }
  decision.action = ADMISSION_REFUSE;
  decision.retry_after_ms
      = take_return_place (model, request, outlook, draw, now_ms);
  return decision;
}
