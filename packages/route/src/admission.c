#include "admission.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sums of quanta are rounded, so a deficit this small counts as none. */
#define DEFICIT_TOLERANCE 1e-3

/*
 * Work that a customer below its part may save up, in mean entries.  Demand at
 * one entry host comes in bursts, even of a customer whose total is small.
 */
#define CREDIT_ENTRIES 16.0

/* A rate limit saves up what one second permits, and at least one request. */
#define BURST_SECONDS 1.0

#define MEAN_WEIGHT 0.1 /* of a new sample in a moving mean */

/*
 * Releases are taken to have stalled once none came for this many mean gaps;
 * single gaps vary, so a shorter pause tells nothing.
 */
#define STALL_GAPS 4.0

/* Slots and shares are worked out anew each second. */
#define NO_CAPACITY_RETRY_MS 1000

TAILQ_HEAD (entry_queue, admission_entry);

/* The queues of one customer at one target. */
struct flow
{
  struct admission_customer *customer; /* hash key */
  struct entry_queue queues[ADMISSION_PRIORITIES];
  size_t queued;
  double deficit;          /* below zero: work done ahead of its turn */
  double left_at;          /* the target's rounds when its queue became empty */
  bool visited;            /* got its quantum for this turn */
  TAILQ_ENTRY (flow) link; /* in the ring, while queued > 0 */
  UT_hash_handle hh;
};

TAILQ_HEAD (flow_ring, flow);

struct admission_customer
{
  char name[ADMISSION_NAME_SIZE];
  unsigned weight;
  double rate;         /* requests per second; 0 = no limit */
  unsigned in_flight;  /* limit; 0 = none */
  unsigned running;    /* admitted and not released, over all targets */
  double tokens;       /* of the rate limit */
  int64_t refilled_ms; /* INT64_MIN = the bucket is full */
  UT_hash_handle hh;
};

struct admission_target
{
  char name[ADMISSION_NAME_SIZE];
  unsigned slots;
  unsigned running;
  size_t queued;
  struct flow *flows;    /* uthash by customer */
  struct flow_ring ring; /* flows with queued entries */
  size_t active;         /* flows in the ring */
  double rounds;         /* work done so far per weight */
  double mean_cost;      /* moving mean of the costs of released entries */
  double mean_ms;      /* moving mean from admission to release; 0 = unknown */
  int64_t progress_ms; /* last release, or when the target became full */
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
get_target (struct admission *admission, const char *name)
{
  struct admission_target *target = find_target (admission, name);

  if (target != NULL)
    return target;
  target = calloc (1, sizeof *target);
  if (target == NULL)
    return NULL;
  snprintf (target->name, sizeof target->name, "%s", name);
  TAILQ_INIT (&target->ring);
  HASH_ADD_STR (admission->targets, name, target);
  if (target->hh.tbl == NULL)
    {
      free (target);
      return NULL;
    }
  return target;
}

static struct admission_customer *
get_customer (struct admission *admission, const char *name)
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
get_flow (struct admission_target *target, struct admission_customer *customer)
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
  struct admission_target *target = get_target (admission, target_name);

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
                        unsigned in_flight)
{
  struct admission_customer *customer = get_customer (admission, customer_name);

  if (customer == NULL)
    return RESULT_NO_MEMORY;
  customer->weight = weight > 0 ? weight : 1;
  customer->rate = rate > 0 ? rate : 0;
  customer->in_flight = in_flight;
  return RESULT_OK;
}

static double
burst_of (const struct admission_customer *customer)
{
  double burst = customer->rate * BURST_SECONDS;

  return burst > 1 ? burst : 1;
}

static void
refill (struct admission_customer *customer, int64_t now_ms)
{
  double burst = burst_of (customer);

  if (customer->refilled_ms == INT64_MIN)
    customer->tokens = burst;
  else if (now_ms > customer->refilled_ms)
    customer->tokens
        += customer->rate * (double)(now_ms - customer->refilled_ms) / 1000;
  if (customer->tokens > burst)
    customer->tokens = burst;
  if (customer->refilled_ms < now_ms)
    customer->refilled_ms = now_ms;
}

static void
move_mean (double *mean, double sample)
{
  *mean = *mean > 0 ? *mean + MEAN_WEIGHT * (sample - *mean) : sample;
}

static bool
at_in_flight_limit (const struct admission_customer *customer)
{
  return customer->in_flight > 0 && customer->running >= customer->in_flight;
}

/*
 * Mean time between releases while every slot is taken; 0 while no request
 * has ended yet.  A target that stopped releasing is noticed by the time since
 * the last release.
 */
static double
release_gap_ms (const struct admission_target *target, int64_t now_ms)
{
  double gap_ms;
  double since_ms = (double)(now_ms - target->progress_ms);

  if (target->slots == 0)
    return 0;
  gap_ms = target->mean_ms / target->slots;
  if (target->running >= target->slots && since_ms > gap_ms * STALL_GAPS
      && target->mean_ms > 0)
    gap_ms = since_ms / STALL_GAPS;
  return gap_ms;
}

static double
active_weight (const struct admission_target *target, const struct flow *own)
{
  const struct flow *flow;
  double weight = own->queued == 0 ? own->customer->weight : 0;

  TAILQ_FOREACH (flow, &target->ring, link)
    {
      weight += flow->customer->weight;
    }
  return weight;
}

/*
 * Wait of a new entry of the flow.  Its customer gets its weight's part of the
 * releases, but never waits longer than for all that is queued.
 */
static double
flow_wait_ms (const struct admission_target *target,
              const struct flow *flow,
              int64_t now_ms)
{
  const struct admission_customer *customer = flow->customer;
  double gap_ms = release_gap_ms (target, now_ms);
  double wait_ms = 0;

  if (target->running + target->queued >= target->slots)
    {
      double turns = ((double)flow->queued + 1) * active_weight (target, flow)
                     / customer->weight;
      double all = (double)target->queued + 1;

      wait_ms = gap_ms * (turns < all ? turns : all);
    }
  if (customer->in_flight > 0
      && customer->running + flow->queued >= customer->in_flight)
    {
      double own_ms
          = target->mean_ms / customer->in_flight * ((double)flow->queued + 1);

      if (own_ms > wait_ms)
        wait_ms = own_ms;
    }
  return wait_ms;
}

static double
cost_of (const struct admission_entry *entry)
{
  return entry->cost > 0 ? entry->cost : 1;
}

/*
 * Time that the entry is expected to run: the mean, or less if it costs less
 * than the mean.  It is not scaled up, since a caller may ask for many tokens
 * and get few.  An entry that had less time than that from the start is not
 * held to the estimate.
 */
static double
service_ms (const struct admission_target *target,
            const struct admission_entry *entry,
            int64_t queued_ms)
{
  double expected_ms = target->mean_ms;

  if (cost_of (entry) < target->mean_cost)
    expected_ms *= cost_of (entry) / target->mean_cost;
  return expected_ms < (double)(entry->deadline_ms - queued_ms) ? expected_ms
                                                                : 0;
}

/*
 * An entry started too late to finish would take a slot for nothing, so the
 * time that it needs is left out of the time that it may wait.
 */
static bool
can_meet_deadline (const struct admission_entry *entry, int64_t now_ms)
{
  return (double)(entry->deadline_ms - now_ms)
         > service_ms (entry->at, entry, entry->queued_ms);
}

/* Why a new entry cannot be queued, apart from its rate; sets the retry. */
static enum result
check_queue (const struct admission *admission,
             const struct admission_target *target,
             const struct flow *flow,
             const struct admission_entry *entry,
             int64_t now_ms,
             int64_t *retry_after_ms)
{
  double wait_ms = flow_wait_ms (target, flow, now_ms);
  double left_ms = (double)(entry->deadline_ms - now_ms);

  if (flow->queued >= admission->limits.queue_per_customer
      || admission->queued >= admission->limits.queue_total)
    {
      /* When the present queue has been served. */
      *retry_after_ms = (int64_t)ceil (wait_ms);
      if (*retry_after_ms < 1)
        *retry_after_ms = 1;
      return RESULT_QUEUE_FULL;
    }
  if (left_ms <= 0)
    return RESULT_DEADLINE_UNREACHABLE;
  left_ms -= service_ms (target, entry, now_ms);
  if (wait_ms > left_ms)
    {
      /* When the wait has come down to the time that this entry had. */
      *retry_after_ms = (int64_t)ceil (wait_ms - left_ms);
      return RESULT_DEADLINE_UNREACHABLE;
    }
  return RESULT_OK;
}

/*
 * Work that a flow may do per round: one unit for the heaviest customer.  A
 * round is then never longer than one cheap entry of each, whatever the scale
 * of the weights; rounds in which nobody can send are skipped in one step.
 */
static double
quantum_of (const struct flow *flow, double heaviest)
{
  return flow->customer->weight / heaviest;
}

static double
heaviest_weight (const struct admission_target *target)
{
  const struct flow *flow;
  double heaviest = 1;

  TAILQ_FOREACH (flow, &target->ring, link)
    {
      if (flow->customer->weight > heaviest)
        heaviest = flow->customer->weight;
    }
  return heaviest;
}

/*
 * A flow sends as long as it has no debt, and pays for it afterwards (surplus
 * round robin: Adiseshu, Parulkar and Varghese, "A Reliable and Scalable
 * Striping Protocol", 1996), so that a first costly entry need not wait until
 * its cost is saved up.  A flow that returns keeps its debt, less what the
 * rounds since it left would have paid off; otherwise a customer that always
 * has one entry queued would get as many turns as others whatever its entries
 * cost.
 */
static void
join_ring (struct admission_target *target, struct flow *flow)
{
  double credit = CREDIT_ENTRIES * target->mean_cost;

  if (target->active == 0 && flow->deficit < 0)
    flow->deficit = 0;
  flow->deficit += (target->rounds - flow->left_at) * flow->customer->weight;
  if (flow->deficit > credit)
    flow->deficit = credit;
  flow->visited = false;
  TAILQ_INSERT_TAIL (&target->ring, flow, link);
  target->active++;
}

static void
enqueue (struct admission *admission,
         struct flow *flow,
         struct admission_entry *entry)
{
  TAILQ_INSERT_TAIL (&flow->queues[entry->priority], entry, link);
  if (flow->queued == 0)
    join_ring (entry->at, flow);
  flow->queued++;
  entry->at->queued++;
  admission->queued++;
  entry->queued = true;
}

static void
dequeue (struct admission *admission,
         struct flow *flow,
         struct admission_entry *entry)
{
  TAILQ_REMOVE (&flow->queues[entry->priority], entry, link);
  flow->queued--;
  entry->at->queued--;
  admission->queued--;
  entry->queued = false;
  if (flow->queued == 0)
    {
      TAILQ_REMOVE (&entry->at->ring, flow, link);
      entry->at->active--;
      flow->left_at = entry->at->rounds;
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
  entry->owner = NULL;
  entry->at = NULL;
  *retry_after_ms = 0;
  if ((unsigned)entry->priority >= ADMISSION_PRIORITIES)
    return RESULT_INVALID;
  if (target == NULL || target->slots == 0)
    {
      *retry_after_ms = NO_CAPACITY_RETRY_MS;
      return RESULT_NO_CAPACITY;
    }
  customer = get_customer (admission, entry->customer);
  flow = customer != NULL ? get_flow (target, customer) : NULL;
  if (flow == NULL)
    {
      *retry_after_ms = NO_CAPACITY_RETRY_MS;
      return RESULT_NO_MEMORY;
    }
  refill (customer, now_ms);
  if (customer->rate > 0 && customer->tokens < 1)
    {
      *retry_after_ms
          = (int64_t)ceil ((1 - customer->tokens) / customer->rate * 1000);
      return RESULT_RATE_LIMITED;
    }
  result = check_queue (admission, target, flow, entry, now_ms, retry_after_ms);
  if (result != RESULT_OK)
    return result;
  /* Only what is queued uses the rate; refusals cost the customer nothing. */
  if (customer->rate > 0)
    customer->tokens -= 1;
  entry->owner = customer;
  entry->at = target;
  entry->queued_ms = now_ms;
  enqueue (admission, flow, entry);
  return RESULT_OK;
}

static int64_t
aged_priority (const struct admission *admission,
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
 * The flow's entry that is due first: highest priority with ageing, then
 * longest wait.  Each queue is in order of arrival, so only the first of each
 * that can still meet its deadline matters.
 */
static struct admission_entry *
first_of (const struct admission *admission,
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
      priority = aged_priority (admission, entry, now_ms);
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
eligible_entry (const struct admission *admission,
                const struct flow *flow,
                int64_t now_ms)
{
  if (at_in_flight_limit (flow->customer))
    return NULL;
  return first_of (admission, flow, now_ms);
}

/*
 * Gives every eligible flow the rounds after which the first of them can send,
 * which is what visiting the ring that often would do.
 */
static bool
skip_empty_rounds (const struct admission *admission,
                   struct admission_target *target,
                   double heaviest,
                   int64_t now_ms)
{
  struct flow *flow;
  double fewest = INFINITY;

  TAILQ_FOREACH (flow, &target->ring, link)
    {
      double rounds;

      if (eligible_entry (admission, flow, now_ms) == NULL)
        continue;
      rounds = ceil (-flow->deficit / quantum_of (flow, heaviest));
      if (rounds < fewest)
        fewest = rounds;
    }
  if (isinf (fewest))
    return false;
  /* The visit that follows gives the last round. */
  if (fewest <= 1)
    return true;
  target->rounds += (fewest - 1) / heaviest;
  TAILQ_FOREACH (flow, &target->ring, link)
    {
      if (eligible_entry (admission, flow, now_ms) != NULL)
        flow->deficit += (fewest - 1) * quantum_of (flow, heaviest);
    }
  return true;
}

/* Nothing is charged while nobody else waits. */
static void
charge (struct admission_target *target, struct flow *flow, double cost)
{
  if (target->active > 1)
    flow->deficit -= cost;
  else
    target->rounds += cost / flow->customer->weight;
}

static struct admission_entry *
visit (const struct admission *admission,
       struct admission_target *target,
       struct flow *flow,
       double heaviest,
       int64_t now_ms)
{
  struct admission_entry *entry = eligible_entry (admission, flow, now_ms);

  if (entry != NULL && !flow->visited)
    {
      flow->deficit += quantum_of (flow, heaviest);
      flow->visited = true;
      target->rounds += 1 / heaviest / (double)target->active;
    }
  if (entry != NULL && flow->deficit > -DEFICIT_TOLERANCE)
    {
      charge (target, flow, cost_of (entry));
      return entry;
    }
  flow->visited = false;
  TAILQ_REMOVE (&target->ring, flow, link);
  TAILQ_INSERT_TAIL (&target->ring, flow, link);
  return NULL;
}

static struct admission_entry *
next_of_target (struct admission *admission,
                struct admission_target *target,
                int64_t now_ms)
{
  double heaviest;

  if (target->running >= target->slots || target->queued == 0)
    return NULL;
  heaviest = heaviest_weight (target);
  /* One turn of the ring as it stands, then one after the empty rounds. */
  for (int turn = 0; turn < 2; turn++)
    {
      for (size_t i = 0; i < target->active; i++)
        {
          struct flow *flow = TAILQ_FIRST (&target->ring);
          struct admission_entry *entry
              = visit (admission, target, flow, heaviest, now_ms);

          if (entry != NULL)
            {
              dequeue (admission, flow, entry);
              return entry;
            }
        }
      if (!skip_empty_rounds (admission, target, heaviest, now_ms))
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
          = next_of_target (admission, target, now_ms);

      if (entry == NULL)
        continue;
      entry->admitted = true;
      entry->admitted_ms = now_ms;
      entry->owner->running++;
      target->running++;
      if (target->running == target->slots)
        target->progress_ms = now_ms;
      return entry;
    }
  return NULL;
}

static struct admission_entry *
expired_of_flow (const struct flow *flow, int64_t now_ms)
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

      TAILQ_FOREACH (flow, &target->ring, link)
        {
          struct admission_entry *entry = expired_of_flow (flow, now_ms);

          if (entry != NULL)
            {
              dequeue (admission, flow, entry);
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
  struct admission_target *target = entry->at;

  if (entry->queued)
    dequeue (admission, find_flow (target, entry->owner), entry);
  if (!entry->admitted)
    return;
  entry->admitted = false;
  entry->owner->running--;
  target->running--;
  target->progress_ms = now_ms;
  if (now_ms >= entry->admitted_ms)
    {
      move_mean (&target->mean_ms, (double)(now_ms - entry->admitted_ms));
      move_mean (&target->mean_cost, cost_of (entry));
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
                        * release_gap_ms (target, now_ms));
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
