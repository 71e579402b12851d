#include "balance-internal.h"
#include "balance.h"

#include <string.h>

/* Requests per slot at an endpoint that serves alone: wait for one other. */
#define ALONE_PER_SLOT 3
/* Advantage of an endpoint in the own data centre, ms or parts of a slot. */
#define NEAR_MS 4.0
#define NEAR_LOAD 0.04
/* Passes that a request lives through until its first event. */
#define PASSES 2.3
/* Part of the objective that an estimate may take up; the rest is its error. */
#define OBJECTIVE_PART 0.9
/* The same for requests that are late already: only spare time is theirs. */
#define LATE_PART 0.6
/* Weight of a new sample in the moving means. */
#define SAMPLE_WEIGHT 0.2
/* A pace without samples for this long is taken for the usual one again. */
#define PAUSE_FORGET_MS 2000
/* Failures count half after this time. */
#define FAILURE_HALF_MS 2000
/* Failing every time counts like this much longer a wait. */
#define FAILURE_MS 400.0
#define FAILURE_LOAD 2.0
/* Batches differ in size, so only a clear difference in pace counts. */
#define SLOWNESS_LEAST 2.0
/* An endpoint this many times slower than the usual counts no slower. */
#define SLOWNESS_LIMIT 8.0
/* Spreads choices between endpoints that are alike. */
#define DRAW_MS 6.0
#define DRAW_UNSEEN 4.0
/* A request runs about this long, for an estimate of how many arrive. */
#define REQUEST_MS 1000.0
#define DRAW_LOAD 0.02
/*
 * Parts of all slots that are taken between which fewer and fewer requests are
 * let in, from all to none.  Hosts know the loads as they were 0.2 s ago or
 * more; were all let in while a slot seems free, the groups would swing between
 * too many requests and free slots (t0471-slots.c compares).
 */
#define LET_IN_ALL 0.9
#define LET_IN_NONE 1.1

unsigned
balance_slots (const struct catalog_service *service,
               const struct endpoint *endpoint)
{
  unsigned slots = service->slots;

  if (slots == 0)
    slots = endpoint->report.slots;
  return slots > 0 ? slots : 1;
}

static bool
is_candidate (const struct balance_request *request,
              const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;

  if (!endpoint_is_usable (endpoint)
      || strcmp (report->service, request->service->name) != 0)
    return false;
  if (request->service->model_count == 0)
    return true;
  return report->state == ENDPOINT_GROUP_OPEN && report->rank == 0
         && request->model != NULL
         && strcmp (report->model, request->model->name) == 0;
}

static bool
is_excluded (const struct balance_request *request, const struct lane *lane)
{
  for (unsigned i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == lane)
      return true;
  return false;
}

static bool
is_avoided (const struct lanes *lanes, const struct lane *lane, int64_t now_ms)
{
  const struct lane_place *place;

  if (lane->avoid_ms > now_ms || balance_is_unavailable (lane, now_ms))
    return true;
  if (lanes->places == NULL)
    return false;
  place = balance_find_place (lanes, lane->endpoint->report.data_centre);
  return place != NULL && place->cut;
}

static double
recent_pause (const struct lane *lane, int64_t now_ms)
{
  return now_ms - lane->pause_seen_ms < PAUSE_FORGET_MS ? lane->pause_ms : 0;
}

/* A group that was formed anew does not answer for the former one. */
static void
note_epoch (struct lane *lane)
{
  uint64_t epoch = lane->endpoint->report.epoch;

  if (lane->epoch == epoch)
    return;
  lane->epoch = epoch;
  lane->failing = 0;
  lane->avoid_ms = 0;
  lane->pause_seen_ms = -PAUSE_FORGET_MS;
}

/* What the candidates have in common. */
struct survey
{
  double usual_pause_ms; /* the shortest recent one; 0 = unknown */
  unsigned count;
  unsigned running; /* at all of them */
  unsigned slots;   /* of all of them */
  bool is_let_in;   /* the request, as full as they are */
};

static bool
is_let_in (const struct balance_request *request, const struct survey *survey)
{
  double taken = (double)survey->running / survey->slots;

  return request->draw < (LET_IN_NONE - taken) / (LET_IN_NONE - LET_IN_ALL);
}

static struct survey
survey_candidates (struct lanes *lanes,
                   const struct endpoints *endpoints,
                   const struct balance_request *request,
                   int64_t now_ms)
{
  struct survey survey = { .count = 0 };

  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      struct lane *lane;
      double pause;

      if (!is_candidate (request, endpoint))
        continue;
      lane = lanes_get (lanes, endpoint);
      if (lane == NULL)
        continue;
      note_epoch (lane);
      balance_note_restart (lane);
      if (is_avoided (lanes, lane, now_ms))
        continue;
      survey.count++;
      survey.running += lane->running + lane->peer_running;
      survey.slots += balance_slots (request->service, endpoint);
      pause = recent_pause (lane, now_ms);
      if (pause > 0
          && (survey.usual_pause_ms == 0 || pause < survey.usual_pause_ms))
        survey.usual_pause_ms = pause;
    }
  survey.is_let_in = survey.count > 0 && is_let_in (request, &survey);
  return survey;
}

static double
recent_failing (const struct lane *lane, int64_t now_ms)
{
  int64_t age_ms = now_ms - lane->failed_ms;

  return age_ms > 4L * FAILURE_HALF_MS
             ? 0
             : lane->failing / (1.0 + (double)age_ms / FAILURE_HALF_MS);
}

static double
slowness (const struct lane *lane, double usual, int64_t now_ms)
{
  double pause = recent_pause (lane, now_ms);
  double ratio = usual > 0 && pause > 0 ? pause / usual : 1;

  if (ratio < SLOWNESS_LEAST)
    return 1;
  return ratio < SLOWNESS_LIMIT ? ratio : SLOWNESS_LIMIT;
}

/* Token steps between two events of a batch of this many requests, ms. */
static double
steps_ms (const struct balance_request *request, unsigned running)
{
  const struct catalog_service *service = request->service;

  return request->model->pace * service->tokens_per_event
         * (service->step_ms + service->step_per_request_ms * running);
}

static double
reading_ms (const struct balance_request *request, uint64_t tokens)
{
  if (request->service->read_per_ms <= 0)
    return 0;
  return request->model->pace * (double)tokens / request->service->read_per_ms;
}

/*
 * Time to the first event: the rest of the present pass, then a pass that
 * reads all prompts that wait and makes one event of each request.  A prompt
 * often just misses a pass, so both count nearly whole.
 */
static double
first_event_ms (const struct balance_request *request,
                unsigned running,
                uint64_t reading)
{
  return PASSES * steps_ms (request, running + 1)
         + reading_ms (request, reading + request->prompt_tokens);
}

double
balance_least_ms (const struct balance_request *request)
{
  return request->model != NULL ? first_event_ms (request, 0, 0) : 0;
}

static bool
is_near (const struct lanes *lanes, const struct lane *lane)
{
  return strcmp (lane->endpoint->report.data_centre, lanes->data_centre) == 0;
}

/*
 * Time that requests of other hosts, which this one has not heard of yet, add
 * at each candidate.  The choice is drawn from this range: hosts with the same
 * old knowledge would all choose the same group otherwise (Mitzenmacher, "How
 * Useful Is Old Information?", 2000).
 */
static double
unseen_ms (const struct lanes *lanes,
           const struct balance_request *request,
           const struct survey *survey)
{
  double unseen = (double)survey->running * (double)lanes->age_ms / REQUEST_MS
                  / survey->count;

  return unseen * reading_ms (request, request->prompt_tokens);
}

/* Whether the lane has room for the request, and how good a choice it is. */
static bool
rate_group (struct lanes *lanes,
            const struct balance_request *request,
            const struct lane *lane,
            const struct survey *survey,
            int64_t now_ms,
            double *expected_ms,
            double *value)
{
  unsigned running = lane->running + lane->peer_running;
  double limit_ms = OBJECTIVE_PART * (double)request->left_ms;

  *expected_ms
      = first_event_ms (request, running, lane->reading + lane->peer_reading)
        * slowness (lane, survey->usual_pause_ms, now_ms);
  if (balance_least_ms (request) > limit_ms)
    limit_ms = LATE_PART * (double)request->objective_ms;
  *value = *expected_ms + FAILURE_MS * recent_failing (lane, now_ms)
           - (is_near (lanes, lane) ? NEAR_MS : 0)
           + (DRAW_MS + DRAW_UNSEEN * unseen_ms (lanes, request, survey))
                 * rng_real (&lanes->rng);
  return survey->is_let_in
         && running < balance_slots (request->service, lane->endpoint)
         && *expected_ms <= limit_ms;
}

static bool
rate_alone (struct lanes *lanes,
            const struct balance_request *request,
            const struct lane *lane,
            int64_t now_ms,
            double *value)
{
  unsigned slots = balance_slots (request->service, lane->endpoint);
  unsigned running = lane->running + lane->peer_running;

  *value = (double)(running + 1) / slots
           + FAILURE_LOAD * recent_failing (lane, now_ms)
           - (is_near (lanes, lane) ? NEAR_LOAD : 0)
           + DRAW_LOAD * rng_real (&lanes->rng);
  return running < slots * ALONE_PER_SLOT;
}

/* Keeps the shortest back-off of the candidates. */
static void
note_back_off (struct balance_choice *choice,
               const struct lane *lane,
               int64_t now_ms)
{
  int64_t left_ms = lane->back_off_ms - now_ms;

  if (left_ms > 0
      && (choice->back_off_ms == 0 || left_ms < choice->back_off_ms))
    choice->back_off_ms = left_ms;
}

enum balance_verdict
balance_choose (struct lanes *lanes,
                const struct endpoints *endpoints,
                const struct balance_request *request,
                int64_t now_ms,
                struct balance_choice *choice)
{
  enum balance_verdict verdict = BALANCE_NONE;
  bool grouped = request->service->model_count > 0;
  struct survey survey = { .count = 0 };
  double least = 0;

  *choice = (struct balance_choice){ .lane = NULL };
  if (grouped)
    survey = survey_candidates (lanes, endpoints, request, now_ms);
  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      struct lane *lane;
      double expected_ms = 0;
      double value;
      bool room;

      if (!is_candidate (request, endpoint))
        continue;
      lane = lanes_get (lanes, endpoint);
      if (lane == NULL)
        continue;
      balance_note_restart (lane);
      note_back_off (choice, lane, now_ms);
      if (is_avoided (lanes, lane, now_ms) || is_excluded (request, lane))
        continue;
      room = grouped ? rate_group (lanes, request, lane, &survey, now_ms,
                                   &expected_ms, &value)
                     : rate_alone (lanes, request, lane, now_ms, &value);
      if (!room)
        {
          if (verdict == BALANCE_NONE)
            verdict = BALANCE_FULL;
          continue;
        }
      if (choice->lane == NULL || value < least)
        {
          choice->lane = lane;
          choice->expected_ms = expected_ms;
          least = value;
        }
      verdict = BALANCE_CHOSEN;
    }
  if (verdict != BALANCE_NONE)
    choice->back_off_ms = 0;
  return verdict;
}

void
balance_note_pause (struct lane *lane, int64_t pause_ms, int64_t now_ms)
{
  if (now_ms - lane->pause_seen_ms >= PAUSE_FORGET_MS)
    lane->pause_ms = (double)pause_ms;
  else
    lane->pause_ms += SAMPLE_WEIGHT * ((double)pause_ms - lane->pause_ms);
  lane->pause_seen_ms = now_ms;
}

void
balance_note_success (struct lane *lane)
{
  lane->failing *= 1 - SAMPLE_WEIGHT;
}

void
balance_note_failure (struct lane *lane, int64_t now_ms)
{
  lane->failing
      = recent_failing (lane, now_ms) * (1 - SAMPLE_WEIGHT) + SAMPLE_WEIGHT;
  lane->failed_ms = now_ms;
}

void
balance_avoid (struct lane *lane, int64_t until_ms)
{
  if (until_ms > lane->avoid_ms)
    lane->avoid_ms = until_ms;
}
