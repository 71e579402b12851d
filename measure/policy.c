/*
 * Discrete-event simulation of one data centre: 21 entry hosts in front of 10
 * groups, with the decision code of package route in virtual time.  The
 * baseline policy admits requests first come first served, sends them to the
 * groups round robin, and retries at once without limit.
 */

#include "admission.h"
#include "budget.h"
#include "choose.h"
#include "histogram.h"
#include "rng.h"
#include "shares.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define ENTRY_HOSTS 21
#define GROUPS 10
#define CUSTOMERS 10
#define SLOTS 16        /* per group */
#define ENGINE_QUEUE 16 /* per group; a request beyond it gets 429 */
#define PREFIXES 4      /* per customer */
#define SEED_LIMIT 64

#define PREFILL_MS 100.0
#define TOKEN_MS 20.0
#define MAX_TOKENS_MEAN 150.0
/* A request takes at most 6.1 s of work, so its deadline can be met. */
#define MAX_TOKENS_LIMIT 300.0
/* The length of a response is uniform between this ratio of max_tokens and
   max_tokens. */
#define SHORTEST_RESPONSE_RATIO 0.3
#define DEADLINE_MS 8000
/* From the failure of an attempt until the entry host learns of it. */
#define FAILED_ATTEMPT_MS 2

#define START_MS 100000
#define WARM_UP_MS 10000
#define RUN_MS 70000 /* including the warm-up */
#define FAULT_MS 35000
#define OUTAGE_MS 15000
#define TICK_MS 50
#define REPORT_MS 1000

#define STRAGGLER_FACTOR 4.0
/* Load offered by the first customer, relative to each other customer. */
#define LARGE_FACTOR 10.0

enum policy
{
  POLICY_WAXWING,
  POLICY_BASELINE,
  POLICIES,
};

enum fault
{
  FAULT_NONE,
  FAULT_STRAGGLER_AND_DEATH,
  FAULT_HALF_DOWN,
};

struct scenario
{
  const char *name;
  double load; /* offered, as a ratio of the capacity without faults */
  enum fault fault;
};

static const struct scenario scenarios[] = {
  { "healthy", 0.7, FAULT_NONE },
  { "healthy", 1.0, FAULT_NONE },
  { "healthy", 1.5, FAULT_NONE },
  { "straggler-death", 0.7, FAULT_STRAGGLER_AND_DEATH },
  { "straggler-death", 1.0, FAULT_STRAGGLER_AND_DEATH },
  { "straggler-death", 1.5, FAULT_STRAGGLER_AND_DEATH },
  { "half-down", 0.7, FAULT_HALF_DOWN },
};
#define SCENARIOS (sizeof scenarios / sizeof scenarios[0])

enum request_state
{
  REQUEST_WAITING, /* for admission */
  REQUEST_BACKOFF, /* admitted, before a retry */
  REQUEST_AT_ENGINE,
  REQUEST_ENDED,
};

struct request
{
  struct admission_entry entry;
  enum request_state state;
  int host;
  int customer;
  int64_t arrived_ms;
  double work_ms; /* time to generate the tokens at normal engine speed */
  unsigned tokens;
  uint64_t prefix;
  char fingerprint[24];
  /* Choices of a group so far, plus attempts that ended early.  An event with
     an older number is void. */
  unsigned attempts;
  unsigned sent; /* attempts that reached the network */
  bool may_have_run;
  bool running;
  int group; /* of the current or last attempt */
  int tried[CHOOSE_EXCLUDE_LIMIT];
  int64_t sent_ms;
  bool has_first_token;
  TAILQ_ENTRY (request) link; /* in a baseline or engine queue */
};

TAILQ_HEAD (request_queue, request);

struct engine
{
  bool alive;
  double time_factor; /* 1 = normal speed, 4 = takes 4 times as long */
  unsigned running;
  unsigned queued;
  struct request_queue queue;
};

struct entry_host
{
  struct admission admission;
  struct chooser chooser;
  struct budget budget;
  struct budget customers[CUSTOMERS];
  unsigned reported_demand; /* in the last report to the peers */
  /* Used by the baseline only. */
  struct request_queue queue;
  unsigned running;
  unsigned slots;
  unsigned next_group;
};

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_RESPONSE_COMPLETE,
  EVENT_FIRST_TOKEN,
  EVENT_ATTEMPT_FAILED, /* the entry host learns that the attempt failed */
  EVENT_RETRY,
  EVENT_DEADLINE,
  EVENT_TICK,
  EVENT_REPORT,
  EVENT_FAULT,
  EVENT_REPAIR,
};

struct event
{
  int64_t at_ms;
  uint64_t order; /* events at the same time run in the order of addition */
  enum event_kind kind;
  unsigned attempt; /* attempts of the request when the event was added */
  struct request *request;
};

struct totals
{
  unsigned offered;
  unsigned good;          /* completed before the deadline */
  unsigned small_offered; /* by all customers but the first */
  unsigned small_good;    /* of all customers but the first */
  unsigned first_attempts;
  unsigned retries;
  unsigned outage_first_attempts;
  unsigned outage_retries;
  struct histogram first_token;
};

struct simulation
{
  enum policy policy;
  const struct scenario *scenario;
  struct rng rng;
  int64_t now_ms;
  int64_t end_ms;
  double arrivals_per_ms;
  struct engine engines[GROUPS];
  struct entry_host hosts[ENTRY_HOSTS];
  struct fleet fleet;
  struct request *requests;
  size_t request_count;
  size_t request_limit;
  struct event *heap;
  size_t heap_count;
  size_t heap_limit;
  uint64_t next_order;
  struct totals totals;
};

static void
fail (const char *message)
{
  fprintf (stderr, "measure-policy: %s\n", message);
  exit (1);
}

static bool
is_event_before (const struct event *a, const struct event *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
add_event (struct simulation *simulation,
           int64_t at_ms,
           enum event_kind kind,
           struct request *request)
{
  size_t i;

  if (simulation->heap_count == simulation->heap_limit)
    {
      simulation->heap_limit = simulation->heap_limit * 2 + 1024;
      simulation->heap = realloc (
          simulation->heap, simulation->heap_limit * sizeof *simulation->heap);
      if (simulation->heap == NULL)
        fail ("out of memory");
    }
  i = simulation->heap_count++;
  simulation->heap[i]
      = (struct event){ .at_ms = at_ms,
                        .order = simulation->next_order++,
                        .kind = kind,
                        .attempt = request ? request->attempts : 0,
                        .request = request };
  while (
      i > 0
      && is_event_before (&simulation->heap[i], &simulation->heap[(i - 1) / 2]))
    {
      struct event swap = simulation->heap[i];

      simulation->heap[i] = simulation->heap[(i - 1) / 2];
      simulation->heap[(i - 1) / 2] = swap;
      i = (i - 1) / 2;
    }
}

static struct event
pop_event (struct simulation *simulation)
{
  struct event first = simulation->heap[0];
  size_t i = 0;

  simulation->heap[0] = simulation->heap[--simulation->heap_count];
  for (;;)
    {
      size_t smallest = i;
      struct event swap;

      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < simulation->heap_count
            && is_event_before (&simulation->heap[child],
                                &simulation->heap[smallest]))
          smallest = child;
      if (smallest == i)
        return first;
      swap = simulation->heap[i];
      simulation->heap[i] = simulation->heap[smallest];
      simulation->heap[smallest] = swap;
      i = smallest;
    }
}

static double
draw_exponential (struct rng *rng, double mean)
{
  return -mean * log (1 - rng_real (rng));
}

static bool
is_measured (const struct simulation *simulation, const struct request *request)
{
  return request->arrived_ms >= START_MS + WARM_UP_MS
         && request->arrived_ms < simulation->end_ms - DEADLINE_MS;
}

static bool
is_in_outage (const struct simulation *simulation)
{
  return simulation->now_ms >= START_MS + FAULT_MS
         && simulation->now_ms < START_MS + FAULT_MS + OUTAGE_MS;
}

static struct fleet_host *
find_leader (struct simulation *simulation, int group)
{
  char id[FLEET_NAME_SIZE];

  snprintf (id, sizeof id, "h%d", group);
  return fleet_find_host (&simulation->fleet, id);
}

static void
start_work (struct simulation *simulation, struct request *request)
{
  struct engine *engine = &simulation->engines[request->group];
  double first_ms = PREFILL_MS * engine->time_factor;

  engine->running++;
  request->running = true;
  add_event (simulation, simulation->now_ms + (int64_t)first_ms,
             EVENT_FIRST_TOKEN, request);
  add_event (simulation,
             simulation->now_ms
                 + (int64_t)(first_ms + request->work_ms * engine->time_factor),
             EVENT_RESPONSE_COMPLETE, request);
}

static void
start_queued (struct simulation *simulation, int group)
{
  struct engine *engine = &simulation->engines[group];

  while (engine->running < SLOTS && !TAILQ_EMPTY (&engine->queue))
    {
      struct request *request = TAILQ_FIRST (&engine->queue);

      TAILQ_REMOVE (&engine->queue, request, link);
      engine->queued--;
      start_work (simulation, request);
    }
}

/* Removes the request from its engine, which starts the next queued one. */
static void
remove_from_engine (struct simulation *simulation, struct request *request)
{
  struct engine *engine = &simulation->engines[request->group];

  if (request->running)
    engine->running--;
  else
    {
      TAILQ_REMOVE (&engine->queue, request, link);
      engine->queued--;
    }
  request->running = false;
  start_queued (simulation, request->group);
}

/* Returns false if the engine rejected the request or is dead. */
static bool
send_to_engine (struct simulation *simulation, struct request *request)
{
  struct engine *engine = &simulation->engines[request->group];

  if (!engine->alive)
    return false;
  if (engine->running < SLOTS)
    {
      start_work (simulation, request);
      return true;
    }
  if (engine->queued >= ENGINE_QUEUE)
    return false;
  TAILQ_INSERT_TAIL (&engine->queue, request, link);
  engine->queued++;
  return true;
}

static void
format_group_id (int group, char out[CHOOSE_KEY_SIZE])
{
  snprintf (out, CHOOSE_KEY_SIZE, "g%d", group);
}

static void dispatch_admitted (struct simulation *simulation, int index);

static void
end_request (struct simulation *simulation,
             struct request *request,
             bool is_completed)
{
  struct entry_host *host = &simulation->hosts[request->host];
  bool was_waiting = request->state == REQUEST_WAITING;

  request->state = REQUEST_ENDED;
  if (is_completed && is_measured (simulation, request))
    {
      simulation->totals.good++;
      simulation->totals.small_good += request->customer != 0;
    }
  if (simulation->policy == POLICY_WAXWING)
    admission_release (&host->admission, &request->entry, simulation->now_ms);
  else if (was_waiting)
    TAILQ_REMOVE (&host->queue, request, link);
  else
    host->running--;
}

static void
record_attempt_end (struct simulation *simulation,
                    struct request *request,
                    enum choose_end end)
{
  char key[CHOOSE_KEY_SIZE];

  if (simulation->policy != POLICY_WAXWING)
    return;
  format_group_id (request->group, key);
  choose_finished (&simulation->hosts[request->host].chooser, key, end,
                   simulation->now_ms - request->sent_ms, request->tokens,
                   simulation->now_ms);
}

static int
choose_group_waxwing (struct simulation *simulation, struct request *request)
{
  char keys[CHOOSE_EXCLUDE_LIMIT][CHOOSE_KEY_SIZE];
  struct choose_request criteria = { .model = "m",
                                     .prefix_hash = request->prefix,
                                     .fingerprint = request->fingerprint,
                                     .may_have_run = request->may_have_run };
  struct choose_result result;

  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    if (request->tried[i] >= 0)
      {
        format_group_id (request->tried[i], keys[i]);
        criteria.excluded[i] = keys[i];
      }
  if (choose_endpoint (&simulation->hosts[request->host].chooser,
                       &simulation->fleet, NULL, "dc1", &criteria,
                       simulation->now_ms, &result)
      != RESULT_OK)
    return -1;
  return atoi (result.key + 1);
}

/* Chooses round robin among the groups with a recent attestation.  The policy
   of Waxwinglink has the same attestations. */
static int
choose_group_baseline (struct simulation *simulation,
                       const struct request *request)
{
  struct entry_host *host = &simulation->hosts[request->host];

  for (int i = 0; i < GROUPS; i++)
    {
      int group = (int)(host->next_group++ % GROUPS);

      if (fleet_host_is_present (find_leader (simulation, group),
                                 simulation->now_ms))
        return group;
    }
  return -1;
}

static void
retry_or_end (struct simulation *simulation, struct request *request)
{
  struct entry_host *host = &simulation->hosts[request->host];

  if (simulation->policy == POLICY_BASELINE)
    {
      request->state = REQUEST_BACKOFF;
      add_event (simulation, simulation->now_ms + 1, EVENT_RETRY, request);
      return;
    }
  if (!budget_spend_retry (&host->budget, &host->customers[request->customer]))
    {
      end_request (simulation, request, false);
      return;
    }
  request->state = REQUEST_BACKOFF;
  add_event (simulation,
             simulation->now_ms
                 + budget_draw_retry_delay_ms (&simulation->rng,
                                               request->attempts - 1, 50, 2000),
             EVENT_RETRY, request);
}

static void
count_attempt (struct simulation *simulation, const struct request *request)
{
  bool is_retry = request->sent > 1;

  if (!is_measured (simulation, request))
    return;
  simulation->totals.first_attempts += !is_retry;
  simulation->totals.retries += is_retry;
  if (is_in_outage (simulation))
    {
      simulation->totals.outage_first_attempts += !is_retry;
      simulation->totals.outage_retries += is_retry;
    }
}

static void
dispatch_request (struct simulation *simulation, struct request *request)
{
  struct entry_host *host = &simulation->hosts[request->host];
  int group = simulation->policy == POLICY_WAXWING
                  ? choose_group_waxwing (simulation, request)
                  : choose_group_baseline (simulation, request);

  if (group < 0)
    {
      /* No endpoint is usable and nothing was sent.  A retry may find one. */
      request->attempts++;
      retry_or_end (simulation, request);
      return;
    }
  if (request->sent == 0 && simulation->policy == POLICY_WAXWING)
    {
      budget_record_attempt (&host->budget);
      budget_record_attempt (&host->customers[request->customer]);
    }
  request->attempts++;
  request->sent++;
  count_attempt (simulation, request);
  request->group = group;
  request->sent_ms = simulation->now_ms;
  request->state = REQUEST_AT_ENGINE;
  request->running = false;
  if (simulation->policy == POLICY_WAXWING)
    {
      char key[CHOOSE_KEY_SIZE];

      format_group_id (group, key);
      choose_started (&host->chooser, key, simulation->now_ms);
    }
  if (send_to_engine (simulation, request))
    return;
  request->state = REQUEST_BACKOFF;
  add_event (simulation, simulation->now_ms + FAILED_ATTEMPT_MS,
             EVENT_ATTEMPT_FAILED, request);
}

static void
dispatch_admitted (struct simulation *simulation, int index)
{
  struct entry_host *host = &simulation->hosts[index];
  struct admission_entry *entry;

  if (simulation->policy == POLICY_BASELINE)
    {
      while (host->running < host->slots && !TAILQ_EMPTY (&host->queue))
        {
          struct request *request = TAILQ_FIRST (&host->queue);

          TAILQ_REMOVE (&host->queue, request, link);
          host->running++;
          dispatch_request (simulation, request);
        }
      return;
    }
  while ((entry = admission_next_expired (&host->admission, simulation->now_ms))
         != NULL)
    end_request (simulation, (struct request *)(void *)entry, false);
  while ((entry = admission_next (&host->admission, simulation->now_ms))
         != NULL)
    dispatch_request (simulation, (struct request *)(void *)entry);
}

static void
add_arrival (struct simulation *simulation)
{
  double weights = CUSTOMERS - 1 + LARGE_FACTOR;
  double pick = rng_real (&simulation->rng) * weights;
  double max_tokens;
  struct request *request;
  struct entry_host *host;
  int64_t retry_ms;

  add_event (simulation,
             simulation->now_ms
                 + (int64_t)(draw_exponential (&simulation->rng,
                                               1 / simulation->arrivals_per_ms)
                             + rng_real (&simulation->rng)),
             EVENT_ARRIVAL, NULL);
  if (simulation->request_count == simulation->request_limit)
    fail ("more requests than expected");
  request = &simulation->requests[simulation->request_count++];
  memset (request, 0, sizeof *request);
  request->host = (int)rng_below (&simulation->rng, ENTRY_HOSTS);
  request->customer = pick < LARGE_FACTOR ? 0 : 1 + (int)(pick - LARGE_FACTOR);
  request->arrived_ms = simulation->now_ms;
  max_tokens
      = fmin (10 + draw_exponential (&simulation->rng, MAX_TOKENS_MEAN - 10),
              MAX_TOKENS_LIMIT);
  request->tokens = 1
                    + (unsigned)(max_tokens
                                 * (SHORTEST_RESPONSE_RATIO
                                    + (1 - SHORTEST_RESPONSE_RATIO)
                                          * rng_real (&simulation->rng)));
  request->work_ms = request->tokens * TOKEN_MS;
  request->prefix = 1 + (uint64_t)request->customer * PREFIXES
                    + rng_below (&simulation->rng, PREFIXES);
  snprintf (request->fingerprint, sizeof request->fingerprint, "r%zu",
            simulation->request_count);
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    request->tried[i] = -1;
  if (is_measured (simulation, request))
    {
      simulation->totals.offered++;
      simulation->totals.small_offered += request->customer != 0;
    }
  host = &simulation->hosts[request->host];
  add_event (simulation, simulation->now_ms + DEADLINE_MS, EVENT_DEADLINE,
             request);
  if (simulation->policy == POLICY_BASELINE)
    TAILQ_INSERT_TAIL (&host->queue, request, link);
  else
    {
      snprintf (request->entry.customer, sizeof request->entry.customer, "c%d",
                request->customer);
      snprintf (request->entry.target, sizeof request->entry.target, "model/m");
      request->entry.priority = ADMISSION_NORMAL;
      request->entry.cost = (unsigned)max_tokens;
      request->entry.deadline_ms = simulation->now_ms + DEADLINE_MS;
      if (admission_submit (&host->admission, &request->entry,
                            simulation->now_ms, &retry_ms)
          != RESULT_OK)
        {
          request->state = REQUEST_ENDED;
          return;
        }
    }
  dispatch_admitted (simulation, request->host);
}

static void
record_first_token (struct simulation *simulation, struct request *request)
{
  if (request->has_first_token)
    return;
  request->has_first_token = true;
  if (is_measured (simulation, request))
    histogram_add (&simulation->totals.first_token,
                   (uint64_t)(simulation->now_ms - request->arrived_ms));
}

static void
handle_failed_attempt (struct simulation *simulation, struct request *request)
{
  record_attempt_end (simulation, request, CHOOSE_END_FAILURE);
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    if (request->tried[i] < 0 || request->tried[i] == request->group)
      {
        request->tried[i] = request->group;
        break;
      }
  retry_or_end (simulation, request);
  dispatch_admitted (simulation, request->host);
}

static void
end_at_deadline (struct simulation *simulation, struct request *request)
{
  if (request->state == REQUEST_AT_ENGINE)
    {
      remove_from_engine (simulation, request);
      record_attempt_end (simulation, request, CHOOSE_END_CANCELLED);
    }
  end_request (simulation, request, false);
  /* Voids the events of the attempt. */
  request->attempts++;
  dispatch_admitted (simulation, request->host);
}

static void
kill_group (struct simulation *simulation, int group)
{
  struct engine *engine = &simulation->engines[group];

  engine->alive = false;
  for (size_t i = 0; i < simulation->request_count; i++)
    {
      struct request *request = &simulation->requests[i];

      if (request->state != REQUEST_AT_ENGINE || request->group != group)
        continue;
      request->state = REQUEST_BACKOFF;
      /* Voids the event of its response. */
      request->attempts++;
      request->may_have_run = true;
      add_event (simulation, simulation->now_ms + FAILED_ATTEMPT_MS,
                 EVENT_ATTEMPT_FAILED, request);
    }
  engine->running = 0;
  engine->queued = 0;
  TAILQ_INIT (&engine->queue);
}

static void
start_fault (struct simulation *simulation)
{
  if (simulation->scenario->fault == FAULT_STRAGGLER_AND_DEATH)
    kill_group (simulation, 1);
  else if (simulation->scenario->fault == FAULT_HALF_DOWN)
    {
      for (int g = 0; g < GROUPS / 2; g++)
        kill_group (simulation, g);
      add_event (simulation, simulation->now_ms + OUTAGE_MS, EVENT_REPAIR,
                 NULL);
    }
}

static void
run_tick (struct simulation *simulation)
{
  add_event (simulation, simulation->now_ms + TICK_MS, EVENT_TICK, NULL);
  /* Each live member is probed every 500 ms, which updates its attestation. */
  for (int g = 0; g < GROUPS; g++)
    if (simulation->engines[g].alive
        && (simulation->now_ms - START_MS) % 500 == (g * TICK_MS) % 500)
      {
        struct fleet_attestation *attested
            = &find_leader (simulation, g)->attested;

        if (attested->seen_ms != FLEET_NEVER)
          attested->load_age_ms
              += (unsigned)(simulation->now_ms - attested->seen_ms);
        attested->seen_ms = simulation->now_ms;
      }
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      if (simulation->policy == POLICY_WAXWING)
        choose_tick (&simulation->hosts[h].chooser, &simulation->fleet,
                     simulation->now_ms);
      dispatch_admitted (simulation, h);
    }
}

/* Exchanges the load of the engines and the demand of the peers each second. */
static void
exchange_reports (struct simulation *simulation)
{
  unsigned demands[ENTRY_HOSTS];
  unsigned total = choose_total_slots (&simulation->fleet, NULL, "dc1", "m",
                                       NULL, simulation->now_ms);

  add_event (simulation, simulation->now_ms + REPORT_MS, EVENT_REPORT, NULL);
  for (int h = 0; h < ENTRY_HOSTS; h++)
    demands[h] = admission_demand (&simulation->hosts[h].admission, "model/m");
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      struct entry_host *host = &simulation->hosts[h];
      struct shares_peer peers[ENTRY_HOSTS];
      size_t count = 0;

      host->slots = (total + ENTRY_HOSTS - 1) / ENTRY_HOSTS;
      for (int p = 0; p < ENTRY_HOSTS; p++)
        if (p != h)
          peers[count++] = (struct shares_peer){
            .demand = simulation->hosts[p].reported_demand,
            .demand_received_ms = simulation->now_ms - REPORT_MS
          };
      admission_set_slots (&host->admission, "model/m",
                           shares_slots (total, demands[h], peers, count, count,
                                         simulation->now_ms));
    }
  for (int h = 0; h < ENTRY_HOSTS; h++)
    simulation->hosts[h].reported_demand = demands[h];
  for (int g = 0; g < GROUPS; g++)
    {
      struct fleet_attestation *attested
          = &find_leader (simulation, g)->attested;

      if (!simulation->engines[g].alive)
        continue;
      attested->running = simulation->engines[g].running;
      attested->queued = simulation->engines[g].queued;
      attested->load_age_ms
          = (unsigned)(simulation->now_ms - attested->seen_ms);
      attested->seen_ms = simulation->now_ms;
    }
}

static void
handle_request (struct simulation *simulation,
                enum event_kind kind,
                struct request *request)
{
  if (kind == EVENT_FIRST_TOKEN)
    record_first_token (simulation, request);
  else if (kind == EVENT_RESPONSE_COMPLETE)
    {
      remove_from_engine (simulation, request);
      record_attempt_end (simulation, request, CHOOSE_END_SUCCESS);
      end_request (simulation, request, true);
      dispatch_admitted (simulation, request->host);
    }
  else if (kind == EVENT_ATTEMPT_FAILED)
    handle_failed_attempt (simulation, request);
  else if (kind == EVENT_RETRY)
    dispatch_request (simulation, request);
  else if (kind == EVENT_DEADLINE)
    end_at_deadline (simulation, request);
}

static void
handle_event (struct simulation *simulation, const struct event *event)
{
  struct request *request = event->request;

  if (request != NULL)
    {
      if (request->state != REQUEST_ENDED
          && (event->kind == EVENT_DEADLINE
              || event->attempt == request->attempts))
        handle_request (simulation, event->kind, request);
    }
  else if (event->kind == EVENT_ARRIVAL)
    add_arrival (simulation);
  else if (event->kind == EVENT_TICK)
    run_tick (simulation);
  else if (event->kind == EVENT_REPORT)
    exchange_reports (simulation);
  else if (event->kind == EVENT_FAULT)
    start_fault (simulation);
  else if (event->kind == EVENT_REPAIR)
    for (int g = 0; g < GROUPS; g++)
      simulation->engines[g].alive = true;
}

static void
add_groups (struct simulation *simulation)
{
  for (int g = 0; g < GROUPS; g++)
    {
      char id[FLEET_NAME_SIZE];
      struct fleet_group *group;
      struct fleet_host *host;

      TAILQ_INIT (&simulation->engines[g].queue);
      simulation->engines[g].alive = true;
      simulation->engines[g].time_factor = 1;
      if (g == 0 && simulation->scenario->fault == FAULT_STRAGGLER_AND_DEATH)
        simulation->engines[g].time_factor = STRAGGLER_FACTOR;
      format_group_id (g, id);
      group = fleet_add_group (&simulation->fleet, id);
      snprintf (id, sizeof id, "h%d", g);
      host = fleet_add_host (&simulation->fleet, id);
      if (group == NULL || host == NULL)
        {
          fail ("out of memory");
          return;
        }
      snprintf (group->model, sizeof group->model, "m");
      snprintf (group->data_centre, sizeof group->data_centre, "dc1");
      snprintf (group->members[0], sizeof group->members[0], "%s", host->id);
      group->generation = 1;
      group->span = 1;
      group->member_count = 1;
      host->listed = true;
      host->attested = (struct fleet_attestation){ .seen_ms = START_MS,
                                                   .generation = 1,
                                                   .span = 1,
                                                   .state = FLEET_ENGINE_READY,
                                                   .slots = SLOTS };
      snprintf (host->attested.group, sizeof host->attested.group, "%s",
                group->id);
    }
}

static double
estimate_capacity_per_ms (void)
{
  /* Samples the mean number of tokens that add_arrival draws. */
  struct rng rng;
  double sum = 0;
  const int samples = 200000;

  rng_init (&rng, 12345);
  for (int i = 0; i < samples; i++)
    sum += 1
           + fmin (10 + draw_exponential (&rng, MAX_TOKENS_MEAN - 10),
                   MAX_TOKENS_LIMIT)
                 * (SHORTEST_RESPONSE_RATIO
                    + (1 - SHORTEST_RESPONSE_RATIO) * rng_real (&rng));
  return GROUPS * SLOTS / (PREFILL_MS + TOKEN_MS * sum / samples);
}

static void
run_scenario (struct simulation *simulation,
              enum policy policy,
              const struct scenario *scenario,
              uint64_t seed)
{
  const struct admission_limits limits
      = { .queue_per_customer = 64, .queue_total = 512, .ageing_ms = 2000 };

  memset (simulation, 0, sizeof *simulation);
  simulation->policy = policy;
  simulation->scenario = scenario;
  simulation->now_ms = START_MS;
  simulation->end_ms = START_MS + RUN_MS;
  simulation->arrivals_per_ms = scenario->load * estimate_capacity_per_ms ();
  simulation->request_limit
      = (size_t)(simulation->arrivals_per_ms * RUN_MS * 1.5) + 100;
  simulation->requests
      = calloc (simulation->request_limit, sizeof *simulation->requests);
  if (simulation->requests == NULL)
    fail ("out of memory");
  rng_init (&simulation->rng, seed);
  histogram_init (&simulation->totals.first_token);
  fleet_init (&simulation->fleet);
  add_groups (simulation);
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      struct entry_host *host = &simulation->hosts[h];

      admission_init (&host->admission, &limits);
      chooser_init (&host->chooser, seed + (uint64_t)h);
      budget_init (&host->budget);
      for (int c = 0; c < CUSTOMERS; c++)
        budget_init (&host->customers[c]);
      TAILQ_INIT (&host->queue);
    }
  add_event (simulation, START_MS, EVENT_REPORT, NULL);
  add_event (simulation, START_MS, EVENT_TICK, NULL);
  add_event (simulation, START_MS, EVENT_ARRIVAL, NULL);
  add_event (simulation, START_MS + FAULT_MS, EVENT_FAULT, NULL);
  while (simulation->heap_count > 0)
    {
      struct event event = pop_event (simulation);

      if (event.at_ms >= simulation->end_ms)
        break;
      simulation->now_ms = event.at_ms;
      handle_event (simulation, &event);
    }
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      admission_finish (&simulation->hosts[h].admission);
      chooser_finish (&simulation->hosts[h].chooser);
    }
  fleet_finish (&simulation->fleet);
  free (simulation->requests);
  free (simulation->heap);
}

enum figure
{
  FIGURE_GOODPUT,
  FIGURE_SMALL_LOST,
  FIGURE_TTFT_P50,
  FIGURE_TTFT_P95,
  FIGURE_TTFT_P99,
  FIGURE_RETRIES,
  FIGURE_OUTAGE_RETRIES,
  FIGURES,
};

static const char *const figure_names[FIGURES] = { "goodput_per_s",
                                                   "small_lost_percent",
                                                   "ttft_p50_ms",
                                                   "ttft_p95_ms",
                                                   "ttft_p99_ms",
                                                   "retries_percent",
                                                   "retries_percent_in_fault" };

static double
compute_percent (unsigned part, unsigned whole)
{
  return whole > 0 ? 100.0 * part / whole : 0;
}

static void
compute_figures (const struct totals *totals, double figures[FIGURES])
{
  const double measured_s = (RUN_MS - WARM_UP_MS - DEADLINE_MS) / 1000.0;

  figures[FIGURE_GOODPUT] = totals->good / measured_s;
  figures[FIGURE_SMALL_LOST] = compute_percent (
      totals->small_offered - totals->small_good, totals->small_offered);
  figures[FIGURE_TTFT_P50]
      = (double)histogram_quantile (&totals->first_token, 0.50);
  figures[FIGURE_TTFT_P95]
      = (double)histogram_quantile (&totals->first_token, 0.95);
  figures[FIGURE_TTFT_P99]
      = (double)histogram_quantile (&totals->first_token, 0.99);
  figures[FIGURE_RETRIES]
      = compute_percent (totals->retries, totals->first_attempts);
  figures[FIGURE_OUTAGE_RETRIES]
      = compute_percent (totals->outage_retries, totals->outage_first_attempts);
}

static int
compare_reals (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

int
main (int argc, char **argv)
{
  static const char *const policy_names[POLICIES] = { "waxwing", "baseline" };
  static struct simulation simulation;
  static double goodput[POLICIES][SCENARIOS][SEED_LIMIT];
  long seeds = argc > 1 ? strtol (argv[1], NULL, 10) : 5;

  if (seeds < 1 || seeds > SEED_LIMIT)
    fail ("usage: measure-policy [SEEDS], 1 to 64");
  printf ("seeds=%ld capacity_per_s=%.1f\n", seeds,
          estimate_capacity_per_ms () * 1000);
  for (size_t s = 0; s < SCENARIOS; s++)
    for (int p = 0; p < POLICIES; p++)
      {
        double all[FIGURES][SEED_LIMIT];

        for (long seed = 0; seed < seeds; seed++)
          {
            double figures[FIGURES];

            run_scenario (&simulation, (enum policy)p, &scenarios[s],
                          (uint64_t)seed + 1);
            compute_figures (&simulation.totals, figures);
            for (int f = 0; f < FIGURES; f++)
              all[f][seed] = figures[f];
            goodput[p][s][seed] = figures[FIGURE_GOODPUT];
          }
        printf ("scenario=%s load=%.1f policy=%s", scenarios[s].name,
                scenarios[s].load, policy_names[p]);
        for (int f = 0; f < FIGURES; f++)
          {
            qsort (all[f], (size_t)seeds, sizeof all[f][0], compare_reals);
            printf (" %s=%.1f[%.1f..%.1f]", figure_names[f],
                    all[f][(seeds - 1) / 2], all[f][0], all[f][seeds - 1]);
          }
        printf ("\n");
      }
  /* Scenarios 1 and 2 differ only in the load (1.0 and 1.5), as do 4 and 5. */
  for (size_t s = 1; s < 5; s += 3)
    for (int p = 0; p < POLICIES; p++)
      {
        double ratios[SEED_LIMIT];

        for (long seed = 0; seed < seeds; seed++)
          ratios[seed] = goodput[p][s + 1][seed] / goodput[p][s][seed];
        qsort (ratios, (size_t)seeds, sizeof ratios[0], compare_reals);
        printf ("scenario=%s policy=%s goodput_ratio_1.5_to_1.0=%.3f"
                "[%.3f..%.3f]\n",
                scenarios[s].name, policy_names[p], ratios[(seeds - 1) / 2],
                ratios[0], ratios[seeds - 1]);
      }
  return 0;
}
