#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission-order.h"
#include "balance.h"

/*
 * Runs the decision about scarce capacity in virtual time, with the policy
 * before it as the baseline: entry hosts with stale loads, groups with slots
 * and batch iterations, callers that come back once.
 */

/* A third of the users' deployment: 99 hosts and three times the rates. */
#define HOSTS 33
#define SMALL_GROUPS 12
#define LARGE_GROUPS 2
#define GROUPS (SMALL_GROUPS + LARGE_GROUPS)
#define SLOTS 20
#define REPORT_INTERVAL_MS 100
#define PEER_LOAD_AGE_MS 150
#define DISPATCH_INTERVAL_MS 25
#define COUNT_FROM_MS 2000
#define FAULT_FROM_MS 4000
#define COUNT_UNTIL_MS 16000
#define RUN_MS 24000
#define REQUESTS 8000
#define SEEDS 5
#define WAITING_LIMIT 400
#define GIVE_UP_MS 2000 /* without a first event */

#define KINDS 3
#define LEAST_URGENT 2 /* priority */

static const struct kind
{
  int model;
  double per_s;
  double prompt_tokens; /* means */
  double events;
  int64_t objective_ms;
  int64_t timeout_ms;
  unsigned priority;
} kinds[KINDS] = {
  { 1, 22.7 / 3, 1460, 28, 500, 8000, 1 },
  { 0, 444.0 / 3, 714, 28, 250, 6000, 0 },
  { 1, 20.0 / 3, 2000, 4, 1000, 6000, 2 },
};

static struct catalog_model models[]
    = { { "small", 2, 0.5, 0.6, 8000, 800 },
        { "large", 8, 0.5, 1.0, 16000, 1600 } };
static const struct catalog_service service = {
  .name = "llm",
  .slots = SLOTS,
  .models = models,
  .model_count = 2,
  .step_ms = 7.8,
  .step_per_request_ms = 0.0947,
  .prefill_tokens_per_ms = 45.9,
  .tokens_per_event = 6,
  .has_priorities = true,
};

static const struct condition
{
  const char *name;
  double factor; /* of the rate of a kind */
  int kind;
  bool endpoints_away; /* a third of the groups takes nothing new */
  bool hits[KINDS];    /* kinds that come too short */
  int64_t until_ms;
} conditions[] = {
  { "calm", 1, 1, .until_ms = FAULT_FROM_MS },
  { "burst of B", 2, 1, .hits = { false, true, false },
    .until_ms = FAULT_FROM_MS + 4000 },
  { "burst of A", 2.5, 0, .hits = { true, false, true },
    .until_ms = FAULT_FROM_MS + 4000 },
  { "a third away", 1, 1, .endpoints_away = true, .hits = { true, true, true },
    .until_ms = FAULT_FROM_MS + 8000 },
};

/* The guards of the policy; without all of them it is the one before. */
struct policy
{
  const char *name;
  bool is_ordered;
  bool counts_waited; /* the time before the caller came back */
  bool knows_priorities;
  bool waits_on_last_try;
};

static const struct policy before = { .name = "before" };
static const struct policy ordered = { "ordered", true, true, true, true };

enum place
{
  WAITING,
  SENT,
  AWAY, /* refused; the caller comes back */
  DONE,
};

struct request
{
  int kind;
  enum place place;
  int host;
  int group;
  uint64_t prompt_tokens;
  int events_left;
  int64_t first_ms;   /* first arrival */
  int64_t arrived_ms; /* at this host */
  int64_t next_ms;    /* next try */
  double draw;
  double precedence;
  bool came_back;
  bool is_prefilled;
  int64_t first_event_ms; /* 0 = none */
  int64_t end_ms;         /* of the response */
  int64_t told_ms;        /* of the last refusal */
};

struct host
{
  struct endpoints endpoints;
  struct load_table loads;
  struct endpoint_load *groups[GROUPS];
  unsigned reported_running[GROUPS];
  uint64_t reported_tokens[GROUPS];
  struct admission_history history;
  struct request *waiting[WAITING_LIMIT];
  unsigned waiting_count;
};

static struct
{
  const struct policy *policy;
  struct host hosts[HOSTS];
  struct request requests[REQUESTS];
  unsigned request_count;
  struct request *at_group[GROUPS][REQUESTS];
  unsigned at_group_count[GROUPS];
  double iteration_end_ms[GROUPS];
  struct rng arrivals; /* the same under each policy */
  struct rng rng;
  int64_t now_ms;
} world;

struct tally
{
  unsigned offered;
  unsigned in_time;
  unsigned late;
  unsigned lost;
  unsigned missed; /* late although they were sent as in time */
  unsigned late_try;
  /* Of the prompts: the largest tenth, and the fifth below it. */
  unsigned large_offered[2];
  unsigned large_served[2];
  double told_ms; /* sum over the lost: time of the last refusal */
};

static double
get_share (unsigned part, unsigned whole)
{
  return whole > 0 ? (double)part / whole : 1;
}

static void
setup (const struct policy *policy, uint64_t seed)
{
  memset (&world, 0, sizeof world);
  world.policy = policy;
  rng_init (&world.arrivals, seed);
  rng_init (&world.rng, seed + 100);
  for (int h = 0; h < HOSTS; h++)
    {
      struct host *host = &world.hosts[h];

      endpoints_init (&host->endpoints, NULL, NULL);
      load_table_init (&host->loads, "casa-a", seed * 1000 + (uint64_t)h);
      host->loads.fleet.report_age_ms = PEER_LOAD_AGE_MS;
      host->loads.fleet.live_hosts = HOSTS;
      for (int g = 0; g < GROUPS; g++)
        {
          struct endpoint_report report = { .port = 1,
                                            .state = ENDPOINT_GROUP_OPEN,
                                            .service = "llm",
                                            .data_centre = "casa-a" };
          char id[16];

          report.model = g < SMALL_GROUPS ? "small" : "large";
          snprintf (id, sizeof id, "g%d", g);
          endpoints_report (&host->endpoints, id, &report, 1, 0);
          host->groups[g] = load_table_get (
              &host->loads, endpoints_find (&host->endpoints, id));
        }
    }
}

static void
teardown (void)
{
  for (int h = 0; h < HOSTS; h++)
    {
      load_table_finish (&world.hosts[h].loads);
      endpoints_finish (&world.hosts[h].endpoints);
    }
}

static void
exchange_loads (void)
{
  for (int g = 0; g < GROUPS; g++)
    {
      unsigned running = 0;
      uint64_t tokens = 0;

      for (int h = 0; h < HOSTS; h++)
        {
          running += world.hosts[h].reported_running[g];
          tokens += world.hosts[h].reported_tokens[g];
        }
      for (int h = 0; h < HOSTS; h++)
        {
          struct host *host = &world.hosts[h];
          struct endpoint_load *load = host->groups[g];

          load->peer_running = running - host->reported_running[g];
          load->peer_prefill_tokens = tokens - host->reported_tokens[g];
          host->reported_running[g] = load->running;
          host->reported_tokens[g] = load->prefill_tokens;
        }
    }
}

static void
set_away (bool away)
{
  for (int h = 0; h < HOSTS; h++)
    for (int g = 0; g < GROUPS; g += 3)
      world.hosts[h].groups[g]->endpoint->report.leaving = away;
}

static void
refuse (struct request *request, int64_t retry_after_ms)
{
  int64_t left_ms
      = request->first_ms + kinds[request->kind].timeout_ms - world.now_ms;

  request->told_ms = world.now_ms;
  request->place = request->came_back ? DONE : AWAY;
  request->next_ms
      = world.now_ms
        + (retry_after_ms < left_ms / 3 ? retry_after_ms : left_ms / 3);
}

static struct balance_request
make_wanted (const struct request *request)
{
  const struct kind *kind = &kinds[request->kind];
  int64_t since_ms
      = world.policy->counts_waited ? request->first_ms : request->arrived_ms;

  return (struct balance_request){
    .service = &service,
    .model = &service.models[kind->model],
    .prompt_tokens = request->prompt_tokens,
    .objective_ms = kind->objective_ms,
    .remaining_ms = since_ms + kind->objective_ms - world.now_ms,
    .admission_draw = request->draw,
  };
}

/* As relay_admission_start does. */
static struct admission_request
describe (struct request *request, struct admission_model *model, bool is_new)
{
  const struct kind *kind = &kinds[request->kind];
  struct balance_request wanted = make_wanted (request);
  double events = admission_model_expect_events (
      model, (uint64_t)(kind->events * 2 * service.tokens_per_event),
      service.tokens_per_event);

  if (is_new)
    request->precedence = admission_model_note_request (model, kind->priority);
  return (struct admission_request){
    .priority = world.policy->knows_priorities ? kind->priority : 0,
    .precedence = world.policy->knows_priorities ? request->precedence : 0,
    .top_precedence
    = world.policy->knows_priorities ? model->top_precedence : 0,
    .objective_ms = kind->objective_ms,
    .objective_left_ms = wanted.remaining_ms,
    .deadline_left_ms = request->first_ms + kind->timeout_ms - world.now_ms,
    .first_event_left_ms = request->arrived_ms + GIVE_UP_MS - world.now_ms,
    .waited_before_ms
    = world.policy->counts_waited ? request->arrived_ms - request->first_ms : 0,
    .idle_first_event_ms = balance_min_first_event_ms (&wanted),
    .busy_first_event_ms = balance_busy_first_event_ms (&wanted),
    .run_ms = balance_run_ms (&wanted, events),
  };
}

static struct admission_model *
get_model (const struct request *request)
{
  return admission_history_get (&world.hosts[request->host].history,
                                (uint64_t)kinds[request->kind].model + 1,
                                world.now_ms + 1);
}

static unsigned
count_ahead (const struct request *request,
             const struct admission_request *described)
{
  const struct host *host = &world.hosts[request->host];
  unsigned count = 0;

  for (unsigned i = 0; i < host->waiting_count; i++)
    if (host->waiting[i] != request
        && kinds[host->waiting[i]->kind].model == kinds[request->kind].model)
      {
        struct admission_request other
            = describe (host->waiting[i], get_model (request), false);

        count += admission_get_state (&other) != ADMISSION_IN_TIME
                 && admission_compare (&other, described) < 0;
      }
  return count;
}

static void
dispatch (struct request *request, bool is_new)
{
  const struct policy *policy = world.policy;
  struct host *host = &world.hosts[request->host];
  struct balance_request wanted = make_wanted (request);
  struct balance_choice choice;
  struct admission_model *model = get_model (request);
  struct admission_request described = describe (request, model, is_new);
  struct admission_outlook outlook = { .hosts = HOSTS };
  struct admission_decision decision = { .action = ADMISSION_SEND };

  if (policy->is_ordered)
    {
      outlook.slots = model->slots;
      if (admission_get_state (&described) != ADMISSION_IN_TIME)
        {
          outlook.ahead = count_ahead (request, &described);
          outlook.late_share = 1;
          if (outlook.ahead == 0)
            outlook.late_share
                = admission_model_note_late_try (model, world.now_ms);
          if (admission_takes_spare_slots (&described))
            wanted.admission_draw = rng_real (&world.rng);
        }
      wanted.has_range = true;
      wanted.range = admission_get_range (&described, &outlook);
      decision
          = admission_decide (model, &described, &outlook, 0, world.now_ms);
    }
  if (decision.action == ADMISSION_SEND
      && balance_choose (&host->loads, &host->endpoints, &wanted, world.now_ms,
                         &choice)
             == BALANCE_CHOSEN)
    {
      for (int g = 0; g < GROUPS; g++)
        if (host->groups[g] == choice.load)
          request->group = g;
      choice.load->running++;
      choice.load->prefill_tokens += request->prompt_tokens;
      request->place = SENT;
      world.at_group[request->group][world.at_group_count[request->group]++]
          = request;
      return;
    }
  if (!policy->is_ordered)
    {
      request->next_ms = world.now_ms;
      if ((double)(world.now_ms - request->arrived_ms)
          >= 0.15 * (double)kinds[request->kind].objective_ms)
        refuse (request, 500 + (int64_t)rng_below (&world.rng, 700));
      return;
    }
  if (decision.action == ADMISSION_SEND)
    {
      outlook.is_full = true;
      model->slots = choice.slots;
      decision = admission_decide (model, &described, &outlook,
                                   rng_real (&world.rng), world.now_ms);
    }
  request->next_ms = decision.wait_until_ms;
  if (decision.action == ADMISSION_REFUSE
      || (!policy->waits_on_last_try
          && admission_get_state (&described) != ADMISSION_IN_TIME))
    refuse (request, decision.retry_after_ms);
}

static void
arrive (struct request *request)
{
  struct host *host;

  request->host = (int)rng_below (&world.rng, HOSTS);
  request->arrived_ms = world.now_ms;
  request->draw = rng_real (&world.rng);
  request->place = WAITING;
  dispatch (request, true);
  host = &world.hosts[request->host];
  if (request->place == WAITING)
    {
      assert_in_range (host->waiting_count, 0, WAITING_LIMIT - 1);
      host->waiting[host->waiting_count++] = request;
    }
}

static int
compare_waiting (const void *a, const void *b)
{
  struct request *const *requests[] = { a, b };
  struct admission_request described[2];

  for (int i = 0; i < 2; i++)
    described[i] = describe (*requests[i], get_model (*requests[i]), false);
  return admission_compare (&described[0], &described[1]);
}

static void
dispatch_waiting (struct host *host)
{
  unsigned kept = 0;

  if (world.policy->is_ordered)
    qsort (host->waiting, host->waiting_count, sizeof (struct request *),
           compare_waiting);
  for (unsigned i = 0; i < host->waiting_count; i++)
    if (host->waiting[i]->next_ms <= world.now_ms)
      dispatch (host->waiting[i], false);
  for (unsigned i = 0; i < host->waiting_count; i++)
    if (host->waiting[i]->place == WAITING)
      host->waiting[kept++] = host->waiting[i];
  host->waiting_count = kept;
}

/* The end of a request at a group, whole or at its deadline. */
static void
finish (struct request *request, struct endpoint_load *load)
{
  request->place = DONE;
  load->running--;
  if (!request->is_prefilled)
    load->prefill_tokens -= request->prompt_tokens;
  if (request->events_left > 0)
    return;
  request->end_ms = world.now_ms;
  admission_model_note_response (
      get_model (request),
      (uint64_t)(kinds[request->kind].events * 2 * service.tokens_per_event),
      (uint64_t)kinds[request->kind].events,
      world.now_ms - request->arrived_ms);
}

/* Ends a group's batch iteration and starts the next one. */
static void
iterate (int g)
{
  const struct catalog_model *model = &service.models[g < SMALL_GROUPS ? 0 : 1];
  double ms = 0;
  unsigned kept = 0;
  unsigned batch = 0;

  for (unsigned i = 0; i < world.at_group_count[g]; i++)
    {
      struct request *request = world.at_group[g][i];
      struct endpoint_load *load = world.hosts[request->host].groups[g];

      if (request->is_prefilled)
        {
          request->events_left--;
          if (request->first_event_ms == 0)
            request->first_event_ms = world.now_ms;
        }
      if (request->events_left == 0
          || world.now_ms
                 >= request->first_ms + kinds[request->kind].timeout_ms)
        finish (request, load);
      else
        world.at_group[g][kept++] = request;
    }
  world.at_group_count[g] = kept;
  for (; batch < kept && batch < SLOTS; batch++)
    {
      struct request *request = world.at_group[g][batch];

      if (request->is_prefilled)
        continue;
      request->is_prefilled = true;
      ms += (double)request->prompt_tokens / service.prefill_tokens_per_ms;
      world.hosts[request->host].groups[g]->prefill_tokens
          -= request->prompt_tokens;
    }
  ms += batch == 0
            ? 1
            : service.tokens_per_event
                  * (service.step_ms + service.step_per_request_ms * batch);
  world.iteration_end_ms[g] += model->time_factor * ms;
}

static void
add_request (int kind)
{
  struct request *request = &world.requests[world.request_count++];
  double size = -log (1 - rng_real (&world.arrivals));

  assert_in_range (world.request_count, 1, REQUESTS - 1);
  request->kind = kind;
  request->first_ms = world.now_ms;
  request->prompt_tokens
      = (uint64_t)(kinds[kind].prompt_tokens * (size < 4 ? size : 4));
  request->events_left
      = (int)(kinds[kind].events * (0.5 + rng_real (&world.arrivals)));
  arrive (request);
}

static void
count_tallies (struct tally tallies[KINDS])
{
  memset (tallies, 0, KINDS * sizeof tallies[0]);
  for (unsigned i = 0; i < world.request_count; i++)
    {
      const struct request *request = &world.requests[i];
      const struct kind *kind = &kinds[request->kind];
      struct tally *tally = &tallies[request->kind];
      /* Sizes are exponential: a tenth is over 2.3 means, 0.3 over 1.2. */
      double size = (double)request->prompt_tokens / kind->prompt_tokens;
      int class = size > 2.3 ? 0 : 1;

      if (request->first_ms < COUNT_FROM_MS
          || request->first_ms >= COUNT_UNTIL_MS)
        continue;
      tally->offered++;
      tally->large_offered[class] += size > 1.2;
      if (request->end_ms == 0)
        {
          tally->lost++;
          tally->told_ms += (double)(request->told_ms - request->first_ms);
          continue;
        }
      tally->large_served[class] += size > 1.2;
      if (request->first_event_ms - request->first_ms <= kind->objective_ms)
        tally->in_time++;
      else
        tally->late++;
    }
}

static void
simulate (const struct policy *policy,
          const struct condition *condition,
          uint64_t seed,
          struct tally tallies[KINDS])
{
  double next_ms[KINDS] = { 0 };

  setup (policy, seed);
  for (world.now_ms = 0; world.now_ms < RUN_MS; world.now_ms++)
    {
      bool is_fault
          = world.now_ms >= FAULT_FROM_MS && world.now_ms < condition->until_ms;

      if (world.now_ms % REPORT_INTERVAL_MS == 0)
        exchange_loads ();
      if (condition->endpoints_away)
        set_away (is_fault);
      for (int k = 0; k < KINDS; k++)
        while (next_ms[k] <= (double)world.now_ms)
          {
            double factor
                = is_fault && condition->kind == k ? condition->factor : 1;

            if (world.now_ms > 0)
              add_request (k);
            next_ms[k] -= log (1 - rng_real (&world.arrivals)) * 1000
                          / (kinds[k].per_s * factor);
          }
      for (int h = 0; h < HOSTS; h++)
        if ((world.now_ms + h) % DISPATCH_INTERVAL_MS == 0)
          dispatch_waiting (&world.hosts[h]);
      for (unsigned i = 0; i < world.request_count; i++)
        if (world.requests[i].place == AWAY
            && world.requests[i].next_ms <= world.now_ms)
          {
            world.requests[i].came_back = true;
            arrive (&world.requests[i]);
          }
      for (int g = 0; g < GROUPS; g++)
        while (world.iteration_end_ms[g] <= (double)world.now_ms)
          iterate (g);
    }
  count_tallies (tallies);
  teardown ();
}

/* Sums the runs with all seeds. */
static void
simulate_seeds (const struct policy *policy,
                const struct condition *condition,
                struct tally sums[KINDS])
{
  memset (sums, 0, KINDS * sizeof sums[0]);
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct tally tallies[KINDS];

      simulate (policy, condition, seed, tallies);
      for (int k = 0; k < KINDS; k++)
        {
          sums[k].offered += tallies[k].offered;
          sums[k].in_time += tallies[k].in_time;
          sums[k].late += tallies[k].late;
          sums[k].lost += tallies[k].lost;
          for (int i = 0; i < 2; i++)
            {
              sums[k].large_offered[i] += tallies[k].large_offered[i];
              sums[k].large_served[i] += tallies[k].large_served[i];
            }
          sums[k].told_ms += tallies[k].told_ms;
        }
    }
  for (int k = 0; k < KINDS; k++)
    print_message (
        "%-12s %-20s %c: %5u offered, %.3f in time, %.3f late, %.3f "
        "lost and told after %4.0f ms, large served %.3f\n",
        condition->name, policy->name, 'A' + k, sums[k].offered,
        get_share (sums[k].in_time, sums[k].offered),
        get_share (sums[k].late, sums[k].offered),
        get_share (sums[k].lost, sums[k].offered),
        sums[k].lost > 0 ? sums[k].told_ms / sums[k].lost : 0,
        get_share (sums[k].large_served[0], sums[k].large_offered[0]));
}

/*
 * The kinds that a condition hits are served better than before, in sum and
 * each but the least urgent one, which may give way to the others.
 */
static void
check_improvement (const struct condition *condition,
                   const struct tally old[KINDS],
                   const struct tally new[KINDS])
{
  unsigned in_time = 0;
  unsigned lost = 0;
  unsigned old_in_time = 0;
  unsigned old_lost = 0;

  for (int k = 0; k < KINDS; k++)
    {
      if (!condition->hits[k])
        continue;
      in_time += new[k].in_time;
      lost += new[k].lost;
      old_in_time += old[k].in_time;
      old_lost += old[k].lost;
      if (kinds[k].priority < LEAST_URGENT
          && (new[k].in_time <= old[k].in_time || new[k].lost >= old[k].lost))
        fail_msg ("%s, %c: %u in time, %u before; %u lost, %u before",
                  condition->name, 'A' + k, new[k].in_time, old[k].in_time,
                  new[k].lost, old[k].lost);
    }
  assert_true (in_time > old_in_time && lost < old_lost);
}

/* The users' bounds for what load shedding may do to kinds and sizes. */
static void
check_shares (const struct condition *condition,
              const struct tally tallies[KINDS])
{
  double served[KINDS];
  unsigned all_lost = 0;
  unsigned all_offered = 0;

  for (int k = 0; k < KINDS; k++)
    {
      served[k] = 1 - get_share (tallies[k].lost, tallies[k].offered);
      all_lost += tallies[k].lost;
      all_offered += tallies[k].offered;
    }
  for (int k = 0; k < KINDS; k++)
    {
      const struct tally *tally = &tallies[k];

      if (served[k] < (1 - get_share (all_lost, all_offered)) / 4
          || get_share (tally->large_served[0], tally->large_offered[0])
                 < served[k] / 2
          || get_share (tally->large_served[1], tally->large_offered[1])
                 < served[k] / 2)
        fail_msg ("%s, %c: starved", condition->name, 'A' + k);
    }
  /* A is more urgent than C, at the same groups. */
  if (served[0] < served[2] - 0.05
      || get_share (tallies[0].in_time, tallies[0].offered)
             < get_share (tallies[2].in_time, tallies[2].offered) - 0.15)
    fail_msg ("%s: A is served less than C", condition->name);
}

/* Guards against requests that are late or lost because others took a slot. */
static void
test_conditions (void **state)
{
  (void)state;
  for (size_t c = 0; c < sizeof conditions / sizeof conditions[0]; c++)
    {
      const struct condition *condition = &conditions[c];
      struct tally old[KINDS];
      struct tally new[KINDS];

      simulate_seeds (&before, condition, old);
      simulate_seeds (&ordered, condition, new);
      check_shares (condition, new);
      if (c > 0)
        check_improvement (condition, old, new);
      /* Nothing is short: no difference beyond noise. */
      for (int k = 0; k < KINDS && c == 0; k++)
        if (abs ((int)new[k].in_time - (int)old[k].in_time)
            > (int)old[k].offered / 100)
          fail_msg ("calm, %c: %u in time, %u before", 'A' + k, new[k].in_time,
                    old[k].in_time);
    }
}

/* Without a guard, the requests that it protects are served less. */
static void
test_guards (void **state)
{
  static const struct
  {
    struct policy policy;
    int condition;
    int kind;
    bool loses; /* more are lost; otherwise fewer are in time */
  } guards[] = {
    { { "does not count waits", true, false, true, true }, 1, 1, false },
    { { "no wait on last try", true, true, true, false }, 1, 1, true },
    { { "without priorities", true, true, false, true }, 3, 0, true },
  };

  (void)state;
  for (size_t i = 0; i < sizeof guards / sizeof guards[0]; i++)
    {
      const struct condition *condition = &conditions[guards[i].condition];
      int k = guards[i].kind;
      struct tally with[KINDS];
      struct tally without[KINDS];

      simulate_seeds (&ordered, condition, with);
      simulate_seeds (&guards[i].policy, condition, without);
      if (guards[i].loses ? without[k].lost <= with[k].lost
                          : without[k].in_time >= with[k].in_time)
        fail_msg ("%s: no difference", guards[i].policy.name);
    }
}

static const struct decision_case
{
  const char *guards; /* failure that the case guards against */
  struct admission_request request;
  struct admission_outlook outlook;
  enum admission_action action;
  bool is_unreachable;
} decision_cases[] = {
  { "a request that can be sent waits",
    { .objective_ms = 250, .objective_left_ms = 250, .deadline_left_ms = 6000 },
    { .hosts = 1 },
    ADMISSION_SEND },
  { "a request that cannot be served in its time is sent",
    { .deadline_left_ms = 60, .idle_first_event_ms = 75 },
    { .hosts = 1 },
    ADMISSION_REFUSE,
    true },
  { "a request is refused although it can still be in time",
    { .objective_ms = 250,
      .objective_left_ms = 220,
      .deadline_left_ms = 5950,
      .busy_first_event_ms = 95 },
    { .is_full = true, .hosts = 1 },
    ADMISSION_WAIT },
  { "a request waits until its response is late",
    { .objective_ms = 250,
      .objective_left_ms = 180,
      .deadline_left_ms = 5930,
      .busy_first_event_ms = 95 },
    { .is_full = true, .hosts = 1 },
    ADMISSION_REFUSE },
  { "a large prompt is never waited for",
    { .objective_ms = 250,
      .objective_left_ms = 230,
      .deadline_left_ms = 5980,
      .busy_first_event_ms = 150 },
    { .is_full = true, .hosts = 1 },
    ADMISSION_WAIT },
  { "a request whose caller came back is lost",
    { .objective_ms = 250,
      .objective_left_ms = -700,
      .deadline_left_ms = 5000,
      .first_event_left_ms = 2000,
      .waited_before_ms = 1000,
      .run_ms = 1000 },
    { .is_full = true, .slots = 800, .hosts = 99, .ahead = 10 },
    ADMISSION_WAIT },
  { "a request without time for another try is lost",
    { .objective_ms = 300,
      .objective_left_ms = -10,
      .deadline_left_ms = 490,
      .first_event_left_ms = 490 },
    { .is_full = true, .slots = 18, .hosts = 99 },
    ADMISSION_WAIT },
  { "a request waits behind more than can be served before its end",
    { .objective_ms = 250,
      .objective_left_ms = -700,
      .deadline_left_ms = 5000,
      .first_event_left_ms = 2000,
      .waited_before_ms = 1000,
      .run_ms = 1000 },
    { .is_full = true, .slots = 800, .hosts = 99, .ahead = 70 },
    ADMISSION_REFUSE },
  { "a request waits after its caller has given up on the first event",
    { .objective_ms = 250,
      .objective_left_ms = -2700,
      .deadline_left_ms = 3000,
      .first_event_left_ms = 90,
      .waited_before_ms = 1000,
      .busy_first_event_ms = 95,
      .run_ms = 1000 },
    { .is_full = true, .slots = 800, .hosts = 99 },
    ADMISSION_REFUSE },
  { "a request waits although its response would be cut off",
    { .objective_ms = 250,
      .objective_left_ms = -4700,
      .deadline_left_ms = 950,
      .first_event_left_ms = 2000,
      .waited_before_ms = 5050,
      .run_ms = 1000 },
    { .is_full = true, .slots = 800, .hosts = 99 },
    ADMISSION_REFUSE },
};

static void
test_decisions (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof decision_cases / sizeof decision_cases[0]; i++)
    {
      const struct decision_case *c = &decision_cases[i];
      struct admission_model model = { .key = 1 };
      struct admission_decision decision
          = admission_decide (&model, &c->request, &c->outlook, 0.5, 1000);

      if (decision.action != c->action
          || decision.is_unreachable != c->is_unreachable
          || (c->action == ADMISSION_REFUSE && decision.retry_after_ms < 500))
        fail_msg ("%s: action %d, return after %d ms", c->guards,
                  (int)decision.action, (int)decision.retry_after_ms);
    }
}

/*
 * Guards against callers that come back together, or later than they honour.
 */
static void
test_return_times (void **state)
{
  const struct admission_request request = { .objective_ms = 250,
                                             .objective_left_ms = -1,
                                             .deadline_left_ms = 5700,
                                             .run_ms = 1000 };
  const struct admission_outlook outlook
      = { .is_full = true, .slots = 800, .hosts = 99 };
  struct admission_model model = { .key = 1 };
  struct rng rng;
  unsigned counts[19] = { 0 }; /* in 100 ms each */

  (void)state;
  rng_init (&rng, 1);
  /* One host refuses the callers that 800 slots leave over in a second. */
  for (int64_t now_ms = 0; now_ms < 1000; now_ms += 100)
    {
      struct admission_decision decision = admission_decide (
          &model, &request, &outlook, rng_real (&rng), now_ms);

      /* A third of the time left, as in admission_decide. */
      assert_in_range (decision.retry_after_ms, 500, 5700 / 3 - 1);
      counts[decision.retry_after_ms / 100]++;
    }
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    assert_in_range (counts[i], 0, 4);
}

/* Guards against starvation of less urgent kinds, and against late requests
 * that take more than the free slots. */
static void
test_shares (void **state)
{
  const struct admission_outlook outlook
      = { .slots = 720, .hosts = 99, .late_share = 1 };

  (void)state;
  for (int tenths = 1; tenths <= 10; tenths++)
    for (int percent = 0; percent < 110; percent++)
      {
        double occupied = percent / 100.0;
        struct admission_request request = { .objective_left_ms = 250,
                                             .deadline_left_ms = 6000,
                                             .precedence = 0.5,
                                             .top_precedence = 0.5 };
        struct admission_range first = admission_get_range (&request, &outlook);
        struct admission_range range;

        request.precedence -= tenths / 10.0;
        range = admission_get_range (&request, &outlook);
        assert_true (fmin (1, admission_share (&range, occupied))
                     >= 0.25 * fmin (1, admission_share (&first, occupied)));
      }
  for (int percent = 50; percent < 110; percent++)
    {
      double occupied = percent / 100.0;
      double sent = 0;

      for (unsigned ahead = 0; ahead < 10; ahead++)
        {
          const struct admission_request request
              = { .deadline_left_ms = 5000, .first_event_left_ms = 2000 };
          struct admission_outlook behind = outlook;
          struct admission_range range;

          behind.ahead = ahead;
          range = admission_get_range (&request, &behind);
          sent += fmax (0, fmin (1, admission_share (&range, occupied)));
        }
      assert_true (sent * outlook.hosts
                   <= fmax (0, 0.9 - occupied) * outlook.slots + 0.001);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_decisions), cmocka_unit_test (test_return_times),
    cmocka_unit_test (test_shares),    cmocka_unit_test (test_conditions),
    cmocka_unit_test (test_guards),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
