#include "balance-internal.h"
#include "balance.h"

#include <string.h>

/* Requests per slot, queued ones included, of an endpoint that serves alone. */
#define STANDALONE_REQUESTS_PER_SLOT 3
/* Advantage of an endpoint in the own data centre, ms or shares of a slot. */
#define LOCAL_ADVANTAGE_MS 4.0
#define LOCAL_ADVANTAGE_SLOTS 0.04
/* Batch iterations that a request takes until its first event. */
#define FIRST_EVENT_ITERATIONS 2.3
/*
 * Share of the objective that an estimate may use; the rest allows for the
 * error of the estimate.
 */
#define OBJECTIVE_SHARE 0.9
/* The share for a late request, which gets only spare time. */
#define LATE_OBJECTIVE_SHARE 0.6
/* Weight of a new sample in the moving means. */
#define SAMPLE_WEIGHT 0.2
/* An event gap without samples for this long no longer counts. */
#define EVENT_GAP_VALID_MS 2000
/* Time after which a failure rate counts half. */
#define FAILURE_HALF_LIFE_MS 2000
/* Cost of a failure rate of 1: in ms, or in requests per slot. */
#define FAILURE_PENALTY_MS 400.0
#define FAILURE_PENALTY_SLOTS 2.0
/*
 * Endpoints whose event gap is at least this many times the shortest one are
 * penalised.  Smaller differences come from batches of different sizes.
 */
#define SLOWDOWN_MIN 2.0
/* Upper bound of the slowdown that is counted. */
#define SLOWDOWN_MAX 8.0
/*
 * Cost of an endpoint that is cold, in ms or in requests per slot: it is
 * slower, so a request goes to a warm one while that has room.
 */
#define COLD_PENALTY_MS 40.0
#define COLD_PENALTY_SLOTS 0.5
/* Random part of a cost, which spreads choices between similar endpoints. */
#define JITTER_MS 6.0
#define JITTER_SLOTS 0.02
/*
 * The same for requests that wait for a slot.  Loads are older than a request
 * runs, so a host knows next to nothing of the slots that others use now; with
 * the usual spread all hosts send to one endpoint until the next report
 * (t0474-shared-slots.c compares).
 */
#define SLOT_JITTER_SLOTS 2.0
/* Additional jitter per ms of unreported prefill, ms. */
#define JITTER_PER_UNREPORTED_MS 4.0
/* Assumed run time of a request, to estimate the arrival rate. */
#define TYPICAL_REQUEST_MS 1000.0

unsigned
balance_slots (const struct catalog_service *service,
               const struct endpoint *endpoint)
{
  unsigned slots = service->slots;

  if (slots == 0)
    slots = endpoint->report.slots;
  return slots > 0 ? slots : 1;
}

bool
balance_is_evacuated (const struct load_table *loads,
                      const struct endpoint *endpoint)
{
  return evacuations_includes (loads->evacuations,
                               endpoint->report.data_centre);
}

static bool
is_cold (const struct load_table *loads,
         const struct balance_request *request,
         const struct endpoint *endpoint,
         int64_t now_ms)
{
  return balance_cold_left_ms (loads, request->service, endpoint, now_ms) > 0;
}

static bool
is_candidate (const struct load_table *loads,
              const struct balance_request *request,
              const struct endpoint *endpoint)
{
  const struct endpoint_report *report = &endpoint->report;

  if (!endpoint_is_usable (endpoint)
      || strcmp (report->service, request->service->name) != 0
      || balance_is_evacuated (loads, endpoint))
    return false;
  if (request->service->model_count == 0)
    return true;
  return report->state == ENDPOINT_GROUP_OPEN && report->rank == 0
         && request->model != NULL
         && strcmp (report->model, request->model->name) == 0;
}

static bool
is_excluded (const struct balance_request *request,
             const struct endpoint_load *load)
{
  for (unsigned i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == load)
      return true;
  return false;
}

/* True if the endpoint leaves, backs off, or is in a partitioned place. */
static bool
is_ruled_out (const struct load_table *loads,
              const struct endpoint_load *load,
              int64_t now_ms)
{
  const struct remote_data_centre *remote;

  if (balance_is_unavailable (load, now_ms))
    return true;
  if (loads->remotes == NULL)
    return false;
  remote = balance_find_remote (loads, load->endpoint->report.data_centre);
  return remote != NULL && remote->is_partitioned;
}

static bool
is_avoided (const struct load_table *loads,
            const struct endpoint_load *load,
            int64_t now_ms)
{
  return load->avoid_until_ms > now_ms || is_ruled_out (loads, load, now_ms);
}

static double
get_recent_event_gap_ms (const struct endpoint_load *load, int64_t now_ms)
{
  return now_ms - load->event_gap_sampled_ms < EVENT_GAP_VALID_MS
             ? load->event_gap_ms
             : 0;
}

/* Clears failures and event gap if the group has been formed anew. */
static void
reset_reformed_group (struct endpoint_load *load)
{
  uint64_t epoch = load->endpoint->report.epoch;

  if (load->epoch == epoch)
    return;
  load->epoch = epoch;
  load->failure_rate = 0;
  load->avoid_until_ms = 0;
  load->event_gap_sampled_ms = -EVENT_GAP_VALID_MS;
}

/*
 * Totals of all available candidates for a request.  Slots of endpoints with a
 * request limit, and of cold ones, are not counted: most of them cannot be
 * used.
 */
struct candidate_summary
{
  double shortest_gap_ms; /* shortest recent event gap; 0 = unknown */
  unsigned count;
  unsigned running; /* requests at all candidates */
  unsigned slots;   /* slots of all candidates */
  bool is_admitted; /* the request is admitted at this occupancy */
};

static bool
is_admitted (const struct balance_request *request,
             const struct candidate_summary *summary)
{
  static const struct admission_range usual
      = { ADMISSION_ALL_BELOW, ADMISSION_NONE_ABOVE, 0 };
  const struct admission_range *range
      = request->has_range ? &request->range : &usual;

  return request->admission_draw
         < admission_share (range, (double)summary->running / summary->slots);
}

static struct candidate_summary
summarise_candidates (struct load_table *loads,
                      const struct endpoints *endpoints,
                      const struct balance_request *request,
                      int64_t now_ms)
{
  struct candidate_summary summary = { .count = 0 };

  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      struct endpoint_load *load;
      double event_gap_ms;

      if (!is_candidate (loads, request, endpoint))
        continue;
      load = load_table_get (loads, endpoint);
      if (load == NULL)
        continue;
      reset_reformed_group (load);
      balance_note_restart (load, now_ms);
      if (is_avoided (loads, load, now_ms) || load->request_limit.per_s > 0
          || is_cold (loads, request, endpoint, now_ms))
        continue;
      summary.count++;
      summary.running += load->running + load->peer_running;
      summary.slots += balance_slots (request->service, endpoint);
      event_gap_ms = get_recent_event_gap_ms (load, now_ms);
      if (event_gap_ms > 0
          && (summary.shortest_gap_ms == 0
              || event_gap_ms < summary.shortest_gap_ms))
        summary.shortest_gap_ms = event_gap_ms;
    }
  summary.is_admitted = summary.count > 0 && is_admitted (request, &summary);
  return summary;
}

static double
compute_recent_failure_rate (const struct endpoint_load *load, int64_t now_ms)
{
  int64_t age_ms = now_ms - load->last_failure_ms;

  return age_ms > 4L * FAILURE_HALF_LIFE_MS
             ? 0
             : load->failure_rate
                   / (1.0 + (double)age_ms / FAILURE_HALF_LIFE_MS);
}

static double
compute_slowdown (const struct endpoint_load *load,
                  double shortest_gap_ms,
                  int64_t now_ms)
{
  double event_gap_ms = get_recent_event_gap_ms (load, now_ms);
  double ratio = shortest_gap_ms > 0 && event_gap_ms > 0
                     ? event_gap_ms / shortest_gap_ms
                     : 1;

  if (ratio < SLOWDOWN_MIN)
    return 1;
  return ratio < SLOWDOWN_MAX ? ratio : SLOWDOWN_MAX;
}

/* Time between two events of a stream in a batch of this size, ms. */
static double
estimate_batch_event_ms (const struct balance_request *request,
                         unsigned running)
{
  const struct catalog_service *service = request->service;

  return request->model->time_factor * service->tokens_per_event
         * (service->step_ms + service->step_per_request_ms * running);
}

static double
estimate_prefill_ms (const struct balance_request *request, uint64_t tokens)
{
  if (request->service->prefill_tokens_per_ms <= 0)
    return 0;
  return request->model->time_factor * (double)tokens
         / request->service->prefill_tokens_per_ms;
}

/*
 * Time to the first event: the rest of the current batch iteration, then an
 * iteration that processes all queued prompts and makes one event of each
 * request.  A prompt often just misses an iteration, so both count nearly
 * whole.
 */
static double
estimate_first_event_ms (const struct balance_request *request,
                         unsigned running,
                         uint64_t prefill_tokens)
{
  return FIRST_EVENT_ITERATIONS * estimate_batch_event_ms (request, running + 1)
         + estimate_prefill_ms (request,
                                prefill_tokens + request->prompt_tokens);
}

double
balance_min_first_event_ms (const struct balance_request *request)
{
  return request->model != NULL ? estimate_first_event_ms (request, 0, 0) : 0;
}

double
balance_busy_first_event_ms (const struct balance_request *request)
{
  unsigned slots = request->service->slots;

  if (request->model == NULL)
    return 0;
  return estimate_first_event_ms (request, slots > 0 ? slots - 1 : 0, 0);
}

double
balance_run_ms (const struct balance_request *request, double events)
{
  if (request->model == NULL)
    return 0;
  return balance_busy_first_event_ms (request)
         + events * estimate_batch_event_ms (request, request->service->slots);
}

static bool
is_local (const struct load_table *loads, const struct endpoint_load *load)
{
  return strcmp (load->endpoint->report.data_centre, loads->data_centre) == 0;
}

/*
 * Prefill time that requests of other hosts, not yet reported to this host, add
 * at each candidate, ms.  Costs are randomised over this range: otherwise hosts
 * with the same stale loads would all choose the same group (Mitzenmacher, "How
 * Useful Is Old Information?", 2000).
 */
static double
estimate_unreported_prefill_ms (const struct load_table *loads,
                                const struct balance_request *request,
                                const struct candidate_summary *summary)
{
  double unreported;

  if (summary->count == 0)
    return 0;
  unreported = (double)summary->running * (double)loads->fleet.report_age_ms
               / TYPICAL_REQUEST_MS / summary->count;
  return unreported * estimate_prefill_ms (request, request->prompt_tokens);
}

/* True if the group has capacity for the request; sets the cost of a choice. */
static bool
score_group (struct load_table *loads,
             const struct balance_request *request,
             const struct endpoint_load *load,
             const struct candidate_summary *summary,
             bool is_cold_endpoint,
             int64_t now_ms,
             double *expected_ms,
             double *cost)
{
  unsigned running = load->running + load->peer_running;
  double limit_ms = OBJECTIVE_SHARE * (double)request->remaining_ms;
  bool is_limited = is_cold_endpoint || load->request_limit.per_s > 0;

  *expected_ms
      = estimate_first_event_ms (
            request, running, load->prefill_tokens + load->peer_prefill_tokens)
        * compute_slowdown (load, summary->shortest_gap_ms, now_ms);
  if (balance_min_first_event_ms (request) > limit_ms)
    limit_ms = LATE_OBJECTIVE_SHARE * (double)request->objective_ms;
  *cost = *expected_ms
          + FAILURE_PENALTY_MS * compute_recent_failure_rate (load, now_ms)
          - (is_local (loads, load) ? LOCAL_ADVANTAGE_MS : 0)
          + (is_cold_endpoint ? COLD_PENALTY_MS : 0)
          + (JITTER_MS
             + JITTER_PER_UNREPORTED_MS
                   * estimate_unreported_prefill_ms (loads, request, summary))
                * rng_real (&loads->rng);
  return (summary->is_admitted || is_limited)
         && running < balance_slots (request->service, load->endpoint)
         && *expected_ms <= limit_ms;
}

static bool
score_standalone (struct load_table *loads,
                  const struct balance_request *request,
                  const struct endpoint_load *load,
                  bool is_cold_endpoint,
                  int64_t now_ms,
                  double *cost)
{
  unsigned slots = balance_slots (request->service, load->endpoint);
  unsigned running = load->running + load->peer_running;

  *cost = (double)(running + 1) / slots
          + FAILURE_PENALTY_SLOTS * compute_recent_failure_rate (load, now_ms)
          - (is_local (loads, load) ? LOCAL_ADVANTAGE_SLOTS : 0)
          + (is_cold_endpoint ? COLD_PENALTY_SLOTS : 0)
          + (request->waits_for_slot ? SLOT_JITTER_SLOTS : JITTER_SLOTS)
                * rng_real (&loads->rng);
  return running
         < slots * (request->waits_for_slot ? 1 : STANDALONE_REQUESTS_PER_SLOT);
}

/* Keeps the shortest back-off of all candidates. */
static void
note_shortest_back_off (struct balance_choice *choice,
                        const struct endpoint_load *load,
                        int64_t now_ms)
{
  int64_t left_ms = load->back_off_until_ms - now_ms;

  if (left_ms > 0
      && (choice->back_off_ms == 0 || left_ms < choice->back_off_ms))
    choice->back_off_ms = left_ms;
}

/* Chooses among the endpoints that were not passed over in this choice. */
static enum balance_verdict
choose_by_cost (struct load_table *loads,
                const struct endpoints *endpoints,
                const struct balance_request *request,
                const struct candidate_summary *summary,
                int64_t now_ms,
                struct balance_choice *choice)
{
  enum balance_verdict verdict = BALANCE_NONE;
  bool is_grouped = request->service->model_count > 0;
  double lowest_cost = 0;

  *choice = (struct balance_choice){ .load = NULL };
  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      struct endpoint_load *load;
      double expected_ms = 0;
      double cost;
      bool is_cold_endpoint;
      bool has_capacity;

      if (!is_candidate (loads, request, endpoint))
        continue;
      load = load_table_get (loads, endpoint);
      if (load == NULL)
        continue;
      balance_note_restart (load, now_ms);
      note_shortest_back_off (choice, load, now_ms);
      if (is_excluded (request, load))
        continue;
      if (is_avoided (loads, load, now_ms))
        {
          /* Only a failure shortly before speaks against it. */
          if (verdict == BALANCE_NONE && request->waits_for_slot
              && !is_ruled_out (loads, load, now_ms))
            verdict = BALANCE_FULL;
          continue;
        }
      choice->slots += balance_slots (request->service, endpoint);
      is_cold_endpoint = is_cold (loads, request, endpoint, now_ms);
      has_capacity
          = is_grouped
                ? score_group (loads, request, load, summary, is_cold_endpoint,
                               now_ms, &expected_ms, &cost)
                : score_standalone (loads, request, load, is_cold_endpoint,
                                    now_ms, &cost);
      has_capacity = has_capacity && load->passed_over != loads->choices;
      if (has_capacity && is_cold_endpoint
          && !balance_is_cold_due (loads, request->service, load, now_ms))
        {
          has_capacity = false;
          choice->cold = load;
        }
      if (!has_capacity)
        {
          if (verdict == BALANCE_NONE)
            verdict = BALANCE_FULL;
          continue;
        }
      if (choice->load == NULL || cost < lowest_cost)
        {
          choice->load = load;
          choice->expected_ms = expected_ms;
          lowest_cost = cost;
        }
      verdict = BALANCE_CHOSEN;
    }
  if (verdict != BALANCE_NONE)
    choice->back_off_ms = 0;
  return verdict;
}

/*
 * True if the limits of the endpoint leave room for the request.  The smaller
 * of the one that it names and that of a cold endpoint holds; choose_by_cost
 * has found a request due at a cold one.
 */
static bool
is_within_limits (struct load_table *loads,
                  const struct balance_request *request,
                  struct endpoint_load *load,
                  int64_t now_ms)
{
  if (load->request_limit.per_s > 0
      && !request_limit_admit (&load->request_limit, &loads->fleet,
                               rng_real (&loads->rng), now_ms))
    return false;
  if (is_cold (loads, request, load->endpoint, now_ms))
    cold_limit_take (&load->cold_limit);
  return true;
}

enum balance_verdict
balance_choose (struct load_table *loads,
                const struct endpoints *endpoints,
                const struct balance_request *request,
                int64_t now_ms,
                struct balance_choice *choice)
{
  struct candidate_summary summary = { .count = 0 };
  struct endpoint_load *at_limit = NULL;
  enum balance_verdict verdict;

  if (request->service->model_count > 0)
    summary = summarise_candidates (loads, endpoints, request, now_ms);
  loads->choices++;
  /* Each round but the last one passes over one more endpoint. */
  for (;;)
    {
      verdict = choose_by_cost (loads, endpoints, request, &summary, now_ms,
                                choice);
      choice->at_limit = at_limit;
      if (choice->load == NULL
          || is_within_limits (loads, request, choice->load, now_ms))
        return verdict;
      at_limit = choice->load;
      at_limit->passed_over = loads->choices;
    }
}

void
balance_note_event_gap (struct endpoint_load *load,
                        int64_t event_gap_ms,
                        int64_t now_ms)
{
  if (now_ms - load->event_gap_sampled_ms >= EVENT_GAP_VALID_MS)
    load->event_gap_ms = (double)event_gap_ms;
  else
    load->event_gap_ms
        += SAMPLE_WEIGHT * ((double)event_gap_ms - load->event_gap_ms);
  load->event_gap_sampled_ms = now_ms;
}

void
balance_note_success (struct endpoint_load *load)
{
  load->failure_rate *= 1 - SAMPLE_WEIGHT;
}

void
balance_note_failure (struct endpoint_load *load, int64_t now_ms)
{
  load->failure_rate
      = compute_recent_failure_rate (load, now_ms) * (1 - SAMPLE_WEIGHT)
        + SAMPLE_WEIGHT;
  load->last_failure_ms = now_ms;
}

void
balance_avoid (struct endpoint_load *load, int64_t until_ms)
{
  if (until_ms > load->avoid_until_ms)
    load->avoid_until_ms = until_ms;
}
