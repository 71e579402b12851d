#include "admission.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sums of quanta have rounding errors; a deficit this small counts as zero. */
#define DEFICIT_TOLERANCE 1e-3

/*
 * Unused share that a customer may accumulate, in entries of mean cost.  Even a
 * customer with a small total demand sends bursts to a single entry host.
 */
#define CREDIT_MEAN_ENTRIES 16.0

/* A rate limit permits a burst of one second's requests, and at least one. */
#define RATE_BURST_S 1.0

#define MEAN_SAMPLE_WEIGHT 0.1 /* of a new sample in a moving mean */

/*
 * Mean gaps without a release after which a target counts as stalled.
 * Single gaps vary, so a shorter time without a release proves nothing.
 */
#define STALL_MEAN_GAPS 4.0

/* Slots and shares are recomputed each second. */
#define NO_CAPACITY_RETRY_MS 1000

TAILQ_HEAD (entry_queue, admission_entry);

/* The queues of one customer at one target. */
struct flow
{
  struct admission_customer *customer; /* hash key */
  struct entry_queue queues[ADMISSION_PRIORITIES];
  size_t queued;
  double deficit;                 /* work it may do now; negative = debt */
  double idle_since_virtual_time; /* when its queues became empty */
  bool has_quantum;               /* received its quantum for this turn */
  TAILQ_ENTRY (flow) link;        /* in active_flows while queued > 0 */
  UT_hash_handle hh;
};

TAILQ_HEAD (flow_list, flow);

struct admission_customer
{
  char name[ADMISSION_NAME_SIZE];
  unsigned weight;
  double rate;              /* requests per second; 0 = no limit */
  unsigned in_flight_limit; /* 0 = no limit */
  unsigned running;         /* admitted and not released, over all targets */
  double rate_tokens;       /* token bucket of the rate limit, in requests */
  int64_t refilled_ms;      /* INT64_MIN = the bucket is full */
  UT_hash_handle hh;
};

struct admission_target
{
  char name[ADMISSION_NAME_SIZE];
  unsigned slots;
  unsigned running;
  size_t queued;
  struct flow *flows;            /* uthash by customer */
  struct flow_list active_flows; /* round-robin order of flows with entries */
  size_t active_count;           /* length of active_flows */
  double virtual_time;           /* work done so far per unit of weight */
  double mean_cost;   /* moving mean of the cost of released entries */
  double mean_run_ms; /* moving mean from admission to release; 0 = unknown */
  int64_t last_progress_ms; /* last release, or when the target became full */
  UT_hash_handle hh;
};

void
admission_init (struct admission *admission,
                const struct admission_limits *limits)
{
  memset (admission, 0, sizeof *admission);
  admission->limits = *limits;
}

static void
free_flows (struct admission_target *target)
{
  struct flow *flow = target->flows;

  HASH_CLEAR (hh, target->flows);
  while (flow != NULL)
    {
      struct flow *next = flow->hh.next;

      free (flow);
      flow = next;
    }
}

void
admission_finish (struct admission *admission)
{
  struct admission_target *target = admission->targets;
  struct admission_customer *customer = admission->customers;

  HASH_CLEAR (hh, admission->targets);
  while (target != NULL)
    {
      struct admission_target *next = target->hh.next;

      free_flows (target);
      free (target);
      target = next;
    }
  HASH_CLEAR (hh, admission->customers);
  while (customer != NULL)
    {
      struct admission_customer *next = customer->hh.next;

      free (customer);
      customer = next;
    }
  admission->queued = 0;
}

static struct admission_target *
find_target (const struct admission *admission, const char *name)
{
  struct admission_target *target;

  HASH_FIND_STR (admission->targets, name, target);
  return target;
}

static struct admission_target *
find_or_add_target (struct admission *admission, const char *name)
{
  struct admission_target *target = find_target (admission, name);

  if (target != NULL)
    return target;
  target = calloc (1, sizeof *target);
  if (target == NULL)
    return NULL;
  snprintf (target->name, sizeof target->name, "%s", name);
  TAILQ_INIT (&target->active_flows);
  HASH_ADD_STR (admission->targets, name, target);
  if (target->hh.tbl == NULL)
    {
      free (target);
      return NULL;
    }
  return target;
}

static struct admission_customer *
find_or_add_customer (struct admission *admission, const char *name)
{
  struct admission_customer *customer;

  HASH_FIND_STR (admission->customers, name, customer);
  if (customer != NULL)
    return customer;
  customer = calloc (1, sizeof *customer);
  if (customer == NULL)
    return NULL;
  snprintf (customer->name, sizeof customer->name, "%s", name);
  customer->weight = 1;
  customer->refilled_ms = INT64_MIN;
  HASH_ADD_STR (admission->customers, name, customer);
  if (customer->hh.tbl == NULL)
    {
      free (customer);
      return NULL;
    }
  return customer;
}

static struct flow *
find_flow (const struct admission_target *target,
           const struct admission_customer *customer)
{
  struct flow *flow;

  HASH_FIND_PTR (target->flows, &customer, flow);
  return flow;
}

static struct flow *
find_or_add_flow (struct admission_target *target,
                  struct admission_customer *customer)
{
  struct flow *flow = find_flow (target, customer);

  if (flow != NULL)
    return flow;
  flow = calloc (1, sizeof *flow);
  if (flow == NULL)
    return NULL;
  flow->customer = customer;
  for (int i = 0; i < ADMISSION_PRIORITIES; i++)
    TAILQ_INIT (&flow->queues[i]);
  HASH_ADD_PTR (target->flows, customer, flow);
  if (flow->hh.tbl == NULL)
    {
      free (flow);
      return NULL;
    }
  return flow;
}

enum result
admission_set_slots (struct admission *admission,
                     const char *target_name,
                     unsigned slots)
{
  struct admission_target *target = find_or_add_target (admission, target_name);

  if (target == NULL)
    return RESULT_NO_MEMORY;
  target->slots = slots;
  return RESULT_OK;
}

enum result
admission_set_customer (struct admission *admission,
                        const char *customer_name,
                        unsigned weight,
                        double rate,
                        unsigned in_flight_limit)
{
  struct admission_customer *customer
      = find_or_add_customer (admission, customer_name);

  if (customer == NULL)
    return RESULT_NO_MEMORY;
  customer->weight = weight > 0 ? weight : 1;
  customer->rate = rate > 0 ? rate : 0;
  customer->in_flight_limit = in_flight_limit;
  return RESULT_OK;
}

static double
compute_burst (const struct admission_customer *customer)
{
  double burst = customer->rate * RATE_BURST_S;

  return burst > 1 ? burst : 1;
}

static void
refill_rate_tokens (struct admission_customer *customer, int64_t now_ms)
{
  double burst = compute_burst (customer);

  if (customer->refilled_ms == INT64_MIN)
    customer->rate_tokens = burst;
  else if (now_ms > customer->refilled_ms)
    customer->rate_tokens
        += customer->rate * (double)(now_ms - customer->refilled_ms) / 1000;
  if (customer->rate_tokens > burst)
    customer->rate_tokens = burst;
  if (customer->refilled_ms < now_ms)
    customer->refilled_ms = now_ms;
}

static void
update_mean (double *mean, double sample)
{
  *mean = *mean > 0 ? *mean + MEAN_SAMPLE_WEIGHT * (sample - *mean) : sample;
}

static bool
is_at_in_flight_limit (const struct admission_customer *customer)
{
  return customer->in_flight_limit > 0
         && customer->running >= customer->in_flight_limit;
}

/*
 * Mean time between releases while every slot is in use; 0 until the first
 * request has ended.  For a stalled target it grows with the time since the
 * last release.
 */
static double
estimate_release_gap_ms (const struct admission_target *target, int64_t now_ms)
{
  double gap_ms;
  double since_ms = (double)(now_ms - target->last_progress_ms);

  if (target->slots == 0)
    return 0;
  gap_ms = target->mean_run_ms / target->slots;
  if (target->running >= target->slots && since_ms > gap_ms * STALL_MEAN_GAPS
      && target->mean_run_ms > 0)
    gap_ms = since_ms / STALL_MEAN_GAPS;
  return gap_ms;
}

static double
sum_active_weights (const struct admission_target *target,
                    const struct flow *own)
{
  const struct flow *flow;
  double weight = own->queued == 0 ? own->customer->weight : 0;

  TAILQ_FOREACH (flow, &target->active_flows, link)
    {
      weight += flow->customer->weight;
    }
  return weight;
}

/*
 * Expected wait of a new entry of the flow.  Its customer gets its weighted
 * share of the releases, and it waits at most for all queued entries.  At the
 * customer's in-flight limit it waits at least for its own earlier entries.
 */
static double
estimate_flow_wait_ms (const struct admission_target *target,
                       const struct flow *flow,
                       int64_t now_ms)
{
  const struct admission_customer *customer = flow->customer;
  double gap_ms = estimate_release_gap_ms (target, now_ms);
  double wait_ms = 0;

  if (target->running + target->queued >= target->slots)
    {
      double fair_share_turns = ((double)flow->queued + 1)
                                * sum_active_weights (target, flow)
                                / customer->weight;
      double total_turns = (double)target->queued + 1;

      wait_ms
          = gap_ms
            * (fair_share_turns < total_turns ? fair_share_turns : total_turns);
    }
  if (customer->in_flight_limit > 0
      && customer->running + flow->queued >= customer->in_flight_limit)
    {
      double own_ms = target->mean_run_ms / customer->in_flight_limit
                      * ((double)flow->queued + 1);

      if (own_ms > wait_ms)
        wait_ms = own_ms;
    }
  return wait_ms;
}

static double
get_cost (const struct admission_entry *entry)
{
  return entry->cost > 0 ? entry->cost : 1;
}

/*
 * Expected run time of the entry: the mean, scaled down if it costs less than
 * the mean.  It is not scaled up, since a caller may ask for many tokens and
 * get few.  0 if the deadline left less than the estimate when the entry was
 * queued; the estimate is then ignored.
 */
static double
estimate_run_ms (const struct admission_target *target,
                 const struct admission_entry *entry,
                 int64_t queued_ms)
{
  double expected_ms = target->mean_run_ms;

  if (get_cost (entry) < target->mean_cost)
    expected_ms *= get_cost (entry) / target->mean_cost;
  return expected_ms < (double)(entry->deadline_ms - queued_ms) ? expected_ms
                                                                : 0;
}

/*
 * An entry that starts too late to finish would waste a slot, so the time it
 * may wait excludes its expected run time.
 */
static bool
can_meet_deadline (const struct admission_entry *entry, int64_t now_ms)
{
  return (double)(entry->deadline_ms - now_ms)
         > estimate_run_ms (entry->target_state, entry, entry->queued_ms);
}

/* Checks queue limits and the deadline; a refusal sets *retry_after_ms. */
static enum result
check_queue_limits (const struct admission *admission,
                    const struct admission_target *target,
                    const struct flow *flow,
                    const struct admission_entry *entry,
                    int64_t now_ms,
                    int64_t *retry_after_ms)
{
  double wait_ms = estimate_flow_wait_ms (target, flow, now_ms);
  double remaining_ms = (double)(entry->deadline_ms - now_ms);

  if (flow->queued >= admission->limits.queue_per_customer
      || admission->queued >= admission->limits.queue_total)
    {
      /* Retry when the present queue has been served. */
      *retry_after_ms = (int64_t)ceil (wait_ms);
      if (*retry_after_ms < 1)
        *retry_after_ms = 1;
      return RESULT_QUEUE_FULL;
    }
  if (remaining_ms <= 0)
    return RESULT_DEADLINE_UNREACHABLE;
  remaining_ms -= estimate_run_ms (target, entry, now_ms);
  if (wait_ms > remaining_ms)
    {
      /* Retry when the wait has dropped to the time that this entry had. */
      *retry_after_ms = (int64_t)ceil (wait_ms - remaining_ms);
      return RESULT_DEADLINE_UNREACHABLE;
    }
  return RESULT_OK;
}

/*
 * Work that a flow may do per round: one unit for the customer of the highest
 * weight.  A round then never exceeds one cheap entry per flow, whatever the
 * scale of the weights; skip_empty_rounds skips rounds without an entry at
 * once.
 */
static double
compute_quantum (const struct flow *flow, double highest_weight)
{
  return flow->customer->weight / highest_weight;
}

static double
find_highest_weight (const struct admission_target *target)
{
  const struct flow *flow;
  double highest_weight = 1;

  TAILQ_FOREACH (flow, &target->active_flows, link)
    {
      if (flow->customer->weight > highest_weight)
        highest_weight = flow->customer->weight;
    }
  return highest_weight;
}

/*
 * Adds a flow that got its first queued entry to the round-robin list.
 *
 * A flow may send while it has no debt, and the cost is deducted afterwards
 * (surplus round robin: Adiseshu, Parulkar and Varghese, "A Reliable and
 * Scalable Striping Protocol", 1996), so that a costly first entry need not
 * wait until the flow has accumulated its cost.  A returning flow keeps its
 * debt, less the quanta of the rounds it missed; otherwise a customer that
 * always has one entry queued would get as many turns as others whatever its
 * entries cost.
 */
static void
activate_flow (struct admission_target *target, struct flow *flow)
{
  double credit = CREDIT_MEAN_ENTRIES * target->mean_cost;

  if (target->active_count == 0 && flow->deficit < 0)
    flow->deficit = 0;
  flow->deficit += (target->virtual_time - flow->idle_since_virtual_time)
                   * flow->customer->weight;
  if (flow->deficit > credit)
    flow->deficit = credit;
  flow->has_quantum = false;
  TAILQ_INSERT_TAIL (&target->active_flows, flow, link);
  target->active_count++;
}

static void
enqueue_entry (struct admission *admission,
               struct flow *flow,
               struct admission_entry *entry)
{
  TAILQ_INSERT_TAIL (&flow->queues[entry->priority], entry, link);
  if (flow->queued == 0)
    activate_flow (entry->target_state, flow);
  flow->queued++;
  entry->target_state->queued++;
  admission->queued++;
  entry->queued = true;
}

static void
dequeue_entry (struct admission *admission,
               struct flow *flow,
               struct admission_entry *entry)
{
  TAILQ_REMOVE (&flow->queues[entry->priority], entry, link);
  flow->queued--;
  entry->target_state->queued--;
  admission->queued--;
  entry->queued = false;
  if (flow->queued == 0)
    {
      TAILQ_REMOVE (&entry->target_state->active_flows, flow, link);
      entry->target_state->active_count--;
      flow->idle_since_virtual_time = entry->target_state->virtual_time;
    }
}

enum result
admission_submit (struct admission *admission,
                  struct admission_entry *entry,
                  int64_t now_ms,
                  int64_t *retry_after_ms)
{
  struct admission_target *target = find_target (admission, entry->target);
  struct admission_customer *customer;
  struct flow *flow;
  enum result result;

  entry->queued = false;
  entry->admitted = false;
  entry->customer_state = NULL;
  entry->target_state = NULL;
  *retry_after_ms = 0;
  if ((unsigned)entry->priority >= ADMISSION_PRIORITIES)
    return RESULT_INVALID;
  if (target == NULL || target->slots == 0)
    {
      *retry_after_ms = NO_CAPACITY_RETRY_MS;
      return RESULT_NO_CAPACITY;
    }
  customer = find_or_add_customer (admission, entry->customer);
  flow = customer != NULL ? find_or_add_flow (target, customer) : NULL;
  if (flow == NULL)
    {
      *retry_after_ms = NO_CAPACITY_RETRY_MS;
      return RESULT_NO_MEMORY;
    }
  refill_rate_tokens (customer, now_ms);
  if (customer->rate > 0 && customer->rate_tokens < 1)
    {
      *retry_after_ms
          = (int64_t)ceil ((1 - customer->rate_tokens) / customer->rate * 1000);
      return RESULT_RATE_LIMITED;
    }
  result = check_queue_limits (admission, target, flow, entry, now_ms,
                               retry_after_ms);
  if (result != RESULT_OK)
    return result;
  /* Only queued entries use the rate limit; refusals do not. */
  if (customer->rate > 0)
    customer->rate_tokens -= 1;
  entry->customer_state = customer;
  entry->target_state = target;
  entry->queued_ms = now_ms;
  enqueue_entry (admission, flow, entry);
  return RESULT_OK;
}

static int64_t
compute_aged_priority (const struct admission *admission,
                       const struct admission_entry *entry,
                       int64_t now_ms)
{
  int64_t steps = 0;

  if (admission->limits.ageing_ms > 0 && now_ms > entry->queued_ms)
    steps = (now_ms - entry->queued_ms) / admission->limits.ageing_ms;
  if (steps > ADMISSION_HIGH - (int64_t)entry->priority)
    return ADMISSION_HIGH;
  return (int64_t)entry->priority + steps;
}

/*
 * Finds the flow's entry with the highest aged priority, then the longest wait.
 * Each queue is in order of arrival, so only its first entry that can still
 * meet its deadline is considered.
 */
static struct admission_entry *
find_first_entry (const struct admission *admission,
                  const struct flow *flow,
                  int64_t now_ms)
{
  struct admission_entry *best = NULL;
  int64_t best_priority = 0;

  for (int i = ADMISSION_PRIORITIES - 1; i >= 0; i--)
    {
      struct admission_entry *entry;
      int64_t priority;

      TAILQ_FOREACH (entry, &flow->queues[i], link)
        {
          if (can_meet_deadline (entry, now_ms))
            break;
        }
      if (entry == NULL)
        continue;
      priority = compute_aged_priority (admission, entry, now_ms);
      if (best == NULL || priority > best_priority
          || (priority == best_priority && entry->queued_ms < best->queued_ms))
        {
          best = entry;
          best_priority = priority;
        }
    }
  return best;
}

static struct admission_entry *
find_eligible_entry (const struct admission *admission,
                     const struct flow *flow,
                     int64_t now_ms)
{
  if (is_at_in_flight_limit (flow->customer))
    return NULL;
  return find_first_entry (admission, flow, now_ms);
}

/*
 * Skips the rounds in which no eligible flow could send: credits each eligible
 * flow with its quanta of these rounds.  False if no flow is eligible.
 */
static bool
skip_empty_rounds (const struct admission *admission,
                   struct admission_target *target,
                   double highest_weight,
                   int64_t now_ms)
{
  struct flow *flow;
  double fewest_rounds = INFINITY;

  TAILQ_FOREACH (flow, &target->active_flows, link)
    {
      double rounds;

      if (find_eligible_entry (admission, flow, now_ms) == NULL)
        continue;
      rounds = ceil (-flow->deficit / compute_quantum (flow, highest_weight));
      if (rounds < fewest_rounds)
        fewest_rounds = rounds;
    }
  if (isinf (fewest_rounds))
    return false;
  /* The following visit adds the quantum of the last round. */
  if (fewest_rounds <= 1)
    return true;
  target->virtual_time += (fewest_rounds - 1) / highest_weight;
  TAILQ_FOREACH (flow, &target->active_flows, link)
    {
      if (find_eligible_entry (admission, flow, now_ms) != NULL)
        flow->deficit
            += (fewest_rounds - 1) * compute_quantum (flow, highest_weight);
    }
  return true;
}

/* Charges the cost to the flow, unless no other flow waits. */
static void
charge_flow (struct admission_target *target, struct flow *flow, double cost)
{
  if (target->active_count > 1)
    flow->deficit -= cost;
  else
    target->virtual_time += cost / flow->customer->weight;
}

/* Returns an entry if the flow may send; otherwise moves it to the list end. */
static struct admission_entry *
visit_flow (const struct admission *admission,
            struct admission_target *target,
            struct flow *flow,
            double highest_weight,
            int64_t now_ms)
{
  struct admission_entry *entry = find_eligible_entry (admission, flow, now_ms);

  if (entry != NULL && !flow->has_quantum)
    {
      flow->deficit += compute_quantum (flow, highest_weight);
      flow->has_quantum = true;
      target->virtual_time += 1 / highest_weight / (double)target->active_count;
    }
  if (entry != NULL && flow->deficit > -DEFICIT_TOLERANCE)
    {
      charge_flow (target, flow, get_cost (entry));
      return entry;
    }
  flow->has_quantum = false;
  TAILQ_REMOVE (&target->active_flows, flow, link);
  TAILQ_INSERT_TAIL (&target->active_flows, flow, link);
  return NULL;
}

static struct admission_entry *
dequeue_next_of_target (struct admission *admission,
                        struct admission_target *target,
                        int64_t now_ms)
{
  double highest_weight;

  if (target->running >= target->slots || target->queued == 0)
    return NULL;
  highest_weight = find_highest_weight (target);
  /* Visits all flows once, skips empty rounds, and visits them once more. */
  for (int turn = 0; turn < 2; turn++)
    {
      for (size_t i = 0; i < target->active_count; i++)
        {
          struct flow *flow = TAILQ_FIRST (&target->active_flows);
          struct admission_entry *entry
              = visit_flow (admission, target, flow, highest_weight, now_ms);

          if (entry != NULL)
            {
              dequeue_entry (admission, flow, entry);
              return entry;
            }
        }
      if (!skip_empty_rounds (admission, target, highest_weight, now_ms))
        return NULL;
    }
  return NULL;
}

struct admission_entry *
admission_next (struct admission *admission, int64_t now_ms)
{
  for (struct admission_target *target = admission->targets; target != NULL;
       target = target->hh.next)
    {
      struct admission_entry *entry
          = dequeue_next_of_target (admission, target, now_ms);

      if (entry == NULL)
        continue;
      entry->admitted = true;
      entry->admitted_ms = now_ms;
      entry->customer_state->running++;
      target->running++;
      if (target->running == target->slots)
        target->last_progress_ms = now_ms;
      return entry;
    }
  return NULL;
}

static struct admission_entry *
find_expired_entry (const struct flow *flow, int64_t now_ms)
{
  for (int i = 0; i < ADMISSION_PRIORITIES; i++)
    {
      struct admission_entry *entry;

      TAILQ_FOREACH (entry, &flow->queues[i], link)
        {
          if (!can_meet_deadline (entry, now_ms))
            return entry;
        }
    }
  return NULL;
}

struct admission_entry *
admission_next_expired (struct admission *admission, int64_t now_ms)
{
  for (struct admission_target *target = admission->targets; target != NULL;
       target = target->hh.next)
    {
      struct flow *flow;

      TAILQ_FOREACH (flow, &target->active_flows, link)
        {
          struct admission_entry *entry = find_expired_entry (flow, now_ms);

          if (entry != NULL)
            {
              dequeue_entry (admission, flow, entry);
              return entry;
            }
        }
    }
  return NULL;
}

void
admission_release (struct admission *admission,
                   struct admission_entry *entry,
                   int64_t now_ms)
{
  struct admission_target *target = entry->target_state;

  if (entry->queued)
    dequeue_entry (admission, find_flow (target, entry->customer_state), entry);
  if (!entry->admitted)
    return;
  entry->admitted = false;
  entry->customer_state->running--;
  target->running--;
  target->last_progress_ms = now_ms;
  if (now_ms >= entry->admitted_ms)
    {
      update_mean (&target->mean_run_ms, (double)(now_ms - entry->admitted_ms));
      update_mean (&target->mean_cost, get_cost (entry));
    }
}

int64_t
admission_expected_wait_ms (const struct admission *admission,
                            const char *target_name,
                            int64_t now_ms)
{
  const struct admission_target *target = find_target (admission, target_name);

  if (target == NULL || target->running + target->queued < target->slots)
    return 0;
  return (int64_t)ceil (((double)target->queued + 1)
                        * estimate_release_gap_ms (target, now_ms));
}

unsigned
admission_demand (const struct admission *admission, const char *target_name)
{
  const struct admission_target *target = find_target (admission, target_name);

  if (target == NULL)
    return 0;
  return target->running + (unsigned)target->queued;
}

unsigned
admission_customer_demand (const struct admission *admission,
                           const char *customer_name)
{
  const struct admission_customer *customer;
  unsigned demand;

  HASH_FIND_STR (admission->customers, customer_name, customer);
  if (customer == NULL)
    return 0;
  demand = customer->running;
  for (const struct admission_target *target = admission->targets;
       target != NULL; target = target->hh.next)
    {
      const struct flow *flow;

      HASH_FIND_PTR (target->flows, &customer, flow);
      if (flow != NULL)
        demand += (unsigned)flow->queued;
    }
  return demand;
}
