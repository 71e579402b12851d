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

struct model
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
add_event (struct model *model,
           int64_t at_ms,
           enum event_kind kind,
           struct request *request)
{
  size_t i;

  if (model->heap_count == model->heap_limit)
    {
      model->heap_limit = model->heap_limit * 2 + 1024;
      model->heap
          = realloc (model->heap, model->heap_limit * sizeof *model->heap);
      if (model->heap == NULL)
        fail ("out of memory");
    }
  i = model->heap_count++;
  model->heap[i] = (struct event){ .at_ms = at_ms,
                                   .order = model->next_order++,
                                   .kind = kind,
                                   .attempt = request ? request->attempts : 0,
                                   .request = request };
  while (i > 0 && is_event_before (&model->heap[i], &model->heap[(i - 1) / 2]))
    {
      struct event swap = model->heap[i];

      model->heap[i] = model->heap[(i - 1) / 2];
      model->heap[(i - 1) / 2] = swap;
      i = (i - 1) / 2;
    }
}

static struct event
pop_event (struct model *model)
{
  struct event first = model->heap[0];
  size_t i = 0;

  model->heap[0] = model->heap[--model->heap_count];
  for (;;)
    {
      size_t smallest = i;
      struct event swap;

      for (size_t child = 2 * i + 1; child <= 2 * i + 2; child++)
        if (child < model->heap_count
            && is_event_before (&model->heap[child], &model->heap[smallest]))
          smallest = child;
      if (smallest == i)
        return first;
      swap = model->heap[i];
      model->heap[i] = model->heap[smallest];
      model->heap[smallest] = swap;
      i = smallest;
    }
}

static double
draw_exponential (struct rng *rng, double mean)
{
  return -mean * log (1 - rng_real (rng));
}

static bool
is_measured (const struct model *model, const struct request *request)
{
  return request->arrived_ms >= START_MS + WARM_UP_MS
         && request->arrived_ms < model->end_ms - DEADLINE_MS;
}

static bool
is_in_outage (const struct model *model)
{
  return model->now_ms >= START_MS + FAULT_MS
         && model->now_ms < START_MS + FAULT_MS + OUTAGE_MS;
}

static struct fleet_host *
find_leader (struct model *model, int group)
{
  char id[FLEET_NAME_SIZE];

  snprintf (id, sizeof id, "h%d", group);
  return fleet_find_host (&model->fleet, id);
}

static void
start_work (struct model *model, struct request *request)
{
  struct engine *engine = &model->engines[request->group];
  double first_ms = PREFILL_MS * engine->time_factor;

  engine->running++;
  request->running = true;
  add_event (model, model->now_ms + (int64_t)first_ms, EVENT_FIRST_TOKEN,
             request);
  add_event (model,
             model->now_ms
                 + (int64_t)(first_ms + request->work_ms * engine->time_factor),
             EVENT_RESPONSE_COMPLETE, request);
}

static void
start_queued (struct model *model, int group)
{
  struct engine *engine = &model->engines[group];

  while (engine->running < SLOTS && !TAILQ_EMPTY (&engine->queue))
    {
      struct request *request = TAILQ_FIRST (&engine->queue);

      TAILQ_REMOVE (&engine->queue, request, link);
      engine->queued--;
      start_work (model, request);
    }
}

/* Removes the request from its engine, which starts the next queued one. */
static void
remove_from_engine (struct model *model, struct request *request)
{
  struct engine *engine = &model->engines[request->group];

  if (request->running)
    engine->running--;
  else
    {
      TAILQ_REMOVE (&engine->queue, request, link);
      engine->queued--;
    }
  request->running = false;
  start_queued (model, request->group);
}

/* Returns false if the engine rejected the request or is dead. */
static bool
send_to_engine (struct model *model, struct request *request)
{
  struct engine *engine = &model->engines[request->group];

  if (!engine->alive)
    return false;
  if (engine->running < SLOTS)
    {
      start_work (model, request);
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

static void dispatch_admitted (struct model *model, int index);

static void
end_request (struct model *model, struct request *request, bool is_completed)
{
  struct entry_host *host = &model->hosts[request->host];
  bool was_waiting = request->state == REQUEST_WAITING;

  request->state = REQUEST_ENDED;
  if (is_completed && is_measured (model, request))
    {
      model->totals.good++;
      model->totals.small_good += request->customer != 0;
    }
  if (model->policy == POLICY_WAXWING)
    admission_release (&host->admission, &request->entry, model->now_ms);
  else if (was_waiting)
    TAILQ_REMOVE (&host->queue, request, link);
  else
    host->running--;
}

static void
record_attempt_end (struct model *model,
                    struct request *request,
                    enum choose_end end)
{
  char key[CHOOSE_KEY_SIZE];

  if (model->policy != POLICY_WAXWING)
    return;
  format_group_id (request->group, key);
  choose_finished (&model->hosts[request->host].chooser, key, end,
                   model->now_ms - request->sent_ms, request->tokens,
                   model->now_ms);
}

static int
choose_group_waxwing (struct model *model, struct request *request)
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
  if (choose_endpoint (&model->hosts[request->host].chooser, &model->fleet,
                       NULL, "dc1", &criteria, model->now_ms, &result)
      != RESULT_OK)
    return -1;
  return atoi (result.key + 1);
}

/* Chooses round robin among the groups with a recent attestation.  The policy
   of Waxwinglink has the same attestations. */
static int
choose_group_baseline (struct model *model, const struct request *request)
{
  struct entry_host *host = &model->hosts[request->host];

  for (int i = 0; i < GROUPS; i++)
    {
      int group = (int)(host->next_group++ % GROUPS);

      if (fleet_host_is_present (find_leader (model, group), model->now_ms))
        return group;
    }
  return -1;
}

static void
retry_or_end (struct model *model, struct request *request)
{
  struct entry_host *host = &model->hosts[request->host];

  if (model->policy == POLICY_BASELINE)
    {
      request->state = REQUEST_BACKOFF;
      add_event (model, model->now_ms + 1, EVENT_RETRY, request);
      return;
    }
  if (!budget_spend_retry (&host->budget, &host->customers[request->customer]))
    {
      end_request (model, request, false);
      return;
    }
  request->state = REQUEST_BACKOFF;
  add_event (
      model,
      model->now_ms
          + budget_backoff_ms (&model->rng, request->attempts - 1, 50, 2000),
      EVENT_RETRY, request);
}

static void
count_attempt (struct model *model, const struct request *request)
{
  bool is_retry = request->sent > 1;

  if (!is_measured (model, request))
    return;
  model->totals.first_attempts += !is_retry;
  model->totals.retries += is_retry;
  if (is_in_outage (model))
    {
      model->totals.outage_first_attempts += !is_retry;
      model->totals.outage_retries += is_retry;
    }
}

static void
dispatch_request (struct model *model, struct request *request)
{
  struct entry_host *host = &model->hosts[request->host];
  int group = model->policy == POLICY_WAXWING
                  ? choose_group_waxwing (model, request)
                  : choose_group_baseline (model, request);

  if (group < 0)
    {
      /* No endpoint is usable and nothing was sent.  A retry may find one. */
      request->attempts++;
      retry_or_end (model, request);
      return;
    }
  if (request->sent == 0 && model->policy == POLICY_WAXWING)
    {
      budget_record_attempt (&host->budget);
      budget_record_attempt (&host->customers[request->customer]);
    }
  request->attempts++;
  request->sent++;
  count_attempt (model, request);
  request->group = group;
  request->sent_ms = model->now_ms;
  request->state = REQUEST_AT_ENGINE;
  request->running = false;
  if (model->policy == POLICY_WAXWING)
    {
      char key[CHOOSE_KEY_SIZE];

      format_group_id (group, key);
      choose_started (&host->chooser, key, model->now_ms);
    }
  if (send_to_engine (model, request))
    return;
  request->state = REQUEST_BACKOFF;
  add_event (model, model->now_ms + FAILED_ATTEMPT_MS, EVENT_ATTEMPT_FAILED,
             request);
}

static void
dispatch_admitted (struct model *model, int index)
{
  struct entry_host *host = &model->hosts[index];
  struct admission_entry *entry;

  if (model->policy == POLICY_BASELINE)
    {
      while (host->running < host->slots && !TAILQ_EMPTY (&host->queue))
        {
          struct request *request = TAILQ_FIRST (&host->queue);

          TAILQ_REMOVE (&host->queue, request, link);
          host->running++;
          dispatch_request (model, request);
        }
      return;
    }
  while ((entry = admission_next_expired (&host->admission, model->now_ms))
         != NULL)
    end_request (model, (struct request *)(void *)entry, false);
  while ((entry = admission_next (&host->admission, model->now_ms)) != NULL)
    dispatch_request (model, (struct request *)(void *)entry);
}

static void
add_arrival (struct model *model)
{
  double weights = CUSTOMERS - 1 + LARGE_FACTOR;
  double pick = rng_real (&model->rng) * weights;
  double max_tokens;
  struct request *request;
  struct entry_host *host;
  int64_t retry_ms;

  add_event (
      model,
      model->now_ms
          + (int64_t)(draw_exponential (&model->rng, 1 / model->arrivals_per_ms)
                      + rng_real (&model->rng)),
      EVENT_ARRIVAL, NULL);
  if (model->request_count == model->request_limit)
    fail ("more requests than expected");
  request = &model->requests[model->request_count++];
  memset (request, 0, sizeof *request);
  request->host = (int)rng_below (&model->rng, ENTRY_HOSTS);
  request->customer = pick < LARGE_FACTOR ? 0 : 1 + (int)(pick - LARGE_FACTOR);
  request->arrived_ms = model->now_ms;
  max_tokens = fmin (10 + draw_exponential (&model->rng, MAX_TOKENS_MEAN - 10),
                     MAX_TOKENS_LIMIT);
  request->tokens = 1
                    + (unsigned)(max_tokens
                                 * (SHORTEST_RESPONSE_RATIO
                                    + (1 - SHORTEST_RESPONSE_RATIO)
                                          * rng_real (&model->rng)));
  request->work_ms = request->tokens * TOKEN_MS;
  request->prefix = 1 + (uint64_t)request->customer * PREFIXES
                    + rng_below (&model->rng, PREFIXES);
  snprintf (request->fingerprint, sizeof request->fingerprint, "r%zu",
            model->request_count);
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    request->tried[i] = -1;
  if (is_measured (model, request))
    {
      model->totals.offered++;
      model->totals.small_offered += request->customer != 0;
    }
  host = &model->hosts[request->host];
  add_event (model, model->now_ms + DEADLINE_MS, EVENT_DEADLINE, request);
  if (model->policy == POLICY_BASELINE)
    TAILQ_INSERT_TAIL (&host->queue, request, link);
  else
    {
      snprintf (request->entry.customer, sizeof request->entry.customer, "c%d",
                request->customer);
      snprintf (request->entry.target, sizeof request->entry.target, "model/m");
      request->entry.priority = ADMISSION_NORMAL;
      request->entry.cost = (unsigned)max_tokens;
      request->entry.deadline_ms = model->now_ms + DEADLINE_MS;
      if (admission_submit (&host->admission, &request->entry, model->now_ms,
                            &retry_ms)
          != RESULT_OK)
        {
          request->state = REQUEST_ENDED;
          return;
        }
    }
  dispatch_admitted (model, request->host);
}

static void
record_first_token (struct model *model, struct request *request)
{
  if (request->has_first_token)
    return;
  request->has_first_token = true;
  if (is_measured (model, request))
    histogram_add (&model->totals.first_token,
                   (uint64_t)(model->now_ms - request->arrived_ms));
}

static void
handle_failed_attempt (struct model *model, struct request *request)
{
  record_attempt_end (model, request, CHOOSE_END_FAILURE);
  for (int i = 0; i < CHOOSE_EXCLUDE_LIMIT; i++)
    if (request->tried[i] < 0 || request->tried[i] == request->group)
      {
        request->tried[i] = request->group;
        break;
      }
  retry_or_end (model, request);
  dispatch_admitted (model, request->host);
}

static void
end_at_deadline (struct model *model, struct request *request)
{
  if (request->state == REQUEST_AT_ENGINE)
    {
      remove_from_engine (model, request);
      record_attempt_end (model, request, CHOOSE_END_CANCELLED);
    }
  end_request (model, request, false);
  /* Voids the events of the attempt. */
  request->attempts++;
  dispatch_admitted (model, request->host);
}

static void
kill_group (struct model *model, int group)
{
  struct engine *engine = &model->engines[group];

  engine->alive = false;
  for (size_t i = 0; i < model->request_count; i++)
    {
      struct request *request = &model->requests[i];

      if (request->state != REQUEST_AT_ENGINE || request->group != group)
        continue;
      request->state = REQUEST_BACKOFF;
      /* Voids the event of its response. */
      request->attempts++;
      request->may_have_run = true;
      add_event (model, model->now_ms + FAILED_ATTEMPT_MS, EVENT_ATTEMPT_FAILED,
                 request);
    }
  engine->running = 0;
  engine->queued = 0;
  TAILQ_INIT (&engine->queue);
}

static void
start_fault (struct model *model)
{
  if (model->scenario->fault == FAULT_STRAGGLER_AND_DEATH)
    kill_group (model, 1);
  else if (model->scenario->fault == FAULT_HALF_DOWN)
    {
      for (int g = 0; g < GROUPS / 2; g++)
        kill_group (model, g);
      add_event (model, model->now_ms + OUTAGE_MS, EVENT_REPAIR, NULL);
    }
}

static void
run_tick (struct model *model)
{
  add_event (model, model->now_ms + TICK_MS, EVENT_TICK, NULL);
  /* Each live member is probed every 500 ms, which updates its attestation. */
  for (int g = 0; g < GROUPS; g++)
    if (model->engines[g].alive
        && (model->now_ms - START_MS) % 500 == (g * TICK_MS) % 500)
      {
        struct fleet_attestation *attested = &find_leader (model, g)->attested;

        if (attested->seen_ms != FLEET_NEVER)
          attested->load_age_ms
              += (unsigned)(model->now_ms - attested->seen_ms);
        attested->seen_ms = model->now_ms;
      }
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      if (model->policy == POLICY_WAXWING)
        choose_tick (&model->hosts[h].chooser, &model->fleet, model->now_ms);
      dispatch_admitted (model, h);
    }
}

/* Exchanges the load of the engines and the demand of the peers each second. */
static void
exchange_reports (struct model *model)
{
  unsigned demands[ENTRY_HOSTS];
  unsigned total = choose_total_slots (&model->fleet, NULL, "dc1", "m", NULL,
                                       model->now_ms);

  add_event (model, model->now_ms + REPORT_MS, EVENT_REPORT, NULL);
  for (int h = 0; h < ENTRY_HOSTS; h++)
    demands[h] = admission_demand (&model->hosts[h].admission, "model/m");
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      struct entry_host *host = &model->hosts[h];
      struct shares_peer peers[ENTRY_HOSTS];
      size_t count = 0;

      host->slots = (total + ENTRY_HOSTS - 1) / ENTRY_HOSTS;
      for (int p = 0; p < ENTRY_HOSTS; p++)
        if (p != h)
          peers[count++]
              = (struct shares_peer){ .demand = model->hosts[p].reported_demand,
                                      .demand_received_ms
                                      = model->now_ms - REPORT_MS };
      admission_set_slots (
          &host->admission, "model/m",
          shares_slots (total, demands[h], peers, count, count, model->now_ms));
    }
  for (int h = 0; h < ENTRY_HOSTS; h++)
    model->hosts[h].reported_demand = demands[h];
  for (int g = 0; g < GROUPS; g++)
    {
      struct fleet_attestation *attested = &find_leader (model, g)->attested;

      if (!model->engines[g].alive)
        continue;
      attested->running = model->engines[g].running;
      attested->queued = model->engines[g].queued;
      attested->load_age_ms = (unsigned)(model->now_ms - attested->seen_ms);
      attested->seen_ms = model->now_ms;
    }
}

static void
handle_request (struct model *model,
                enum event_kind kind,
                struct request *request)
{
  if (kind == EVENT_FIRST_TOKEN)
    record_first_token (model, request);
  else if (kind == EVENT_RESPONSE_COMPLETE)
    {
      remove_from_engine (model, request);
      record_attempt_end (model, request, CHOOSE_END_SUCCESS);
      end_request (model, request, true);
      dispatch_admitted (model, request->host);
    }
  else if (kind == EVENT_ATTEMPT_FAILED)
    handle_failed_attempt (model, request);
  else if (kind == EVENT_RETRY)
    dispatch_request (model, request);
  else if (kind == EVENT_DEADLINE)
    end_at_deadline (model, request);
}

static void
handle_event (struct model *model, const struct event *event)
{
  struct request *request = event->request;

  if (request != NULL)
    {
      if (request->state != REQUEST_ENDED
          && (event->kind == EVENT_DEADLINE
              || event->attempt == request->attempts))
        handle_request (model, event->kind, request);
    }
  else if (event->kind == EVENT_ARRIVAL)
    add_arrival (model);
  else if (event->kind == EVENT_TICK)
    run_tick (model);
  else if (event->kind == EVENT_REPORT)
    exchange_reports (model);
  else if (event->kind == EVENT_FAULT)
    start_fault (model);
  else if (event->kind == EVENT_REPAIR)
    for (int g = 0; g < GROUPS; g++)
      model->engines[g].alive = true;
}

static void
add_groups (struct model *model)
{
  for (int g = 0; g < GROUPS; g++)
    {
      char id[FLEET_NAME_SIZE];
      struct fleet_group *group;
      struct fleet_host *host;

      TAILQ_INIT (&model->engines[g].queue);
      model->engines[g].alive = true;
      model->engines[g].time_factor = 1;
      if (g == 0 && model->scenario->fault == FAULT_STRAGGLER_AND_DEATH)
        model->engines[g].time_factor = STRAGGLER_FACTOR;
      format_group_id (g, id);
      group = fleet_add_group (&model->fleet, id);
      snprintf (id, sizeof id, "h%d", g);
      host = fleet_add_host (&model->fleet, id);
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
run_scenario (struct model *model,
              enum policy policy,
              const struct scenario *scenario,
              uint64_t seed)
{
  const struct admission_limits limits
      = { .queue_per_customer = 64, .queue_total = 512, .ageing_ms = 2000 };

  memset (model, 0, sizeof *model);
  model->policy = policy;
  model->scenario = scenario;
  model->now_ms = START_MS;
  model->end_ms = START_MS + RUN_MS;
  model->arrivals_per_ms = scenario->load * estimate_capacity_per_ms ();
  model->request_limit = (size_t)(model->arrivals_per_ms * RUN_MS * 1.5) + 100;
  model->requests = calloc (model->request_limit, sizeof *model->requests);
  if (model->requests == NULL)
    fail ("out of memory");
  rng_init (&model->rng, seed);
  histogram_init (&model->totals.first_token);
  fleet_init (&model->fleet);
  add_groups (model);
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      struct entry_host *host = &model->hosts[h];

      admission_init (&host->admission, &limits);
      chooser_init (&host->chooser, seed + (uint64_t)h);
      budget_init (&host->budget);
      for (int c = 0; c < CUSTOMERS; c++)
        budget_init (&host->customers[c]);
      TAILQ_INIT (&host->queue);
    }
  add_event (model, START_MS, EVENT_REPORT, NULL);
  add_event (model, START_MS, EVENT_TICK, NULL);
  add_event (model, START_MS, EVENT_ARRIVAL, NULL);
  add_event (model, START_MS + FAULT_MS, EVENT_FAULT, NULL);
  while (model->heap_count > 0)
    {
      struct event event = pop_event (model);

      if (event.at_ms >= model->end_ms)
        break;
      model->now_ms = event.at_ms;
      handle_event (model, &event);
    }
  for (int h = 0; h < ENTRY_HOSTS; h++)
    {
      admission_finish (&model->hosts[h].admission);
      chooser_finish (&model->hosts[h].chooser);
    }
  fleet_finish (&model->fleet);
  free (model->requests);
  free (model->heap);
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
  static struct model model;
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

            run_scenario (&model, (enum policy)p, &scenarios[s],
                          (uint64_t)seed + 1);
            compute_figures (&model.totals, figures);
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
