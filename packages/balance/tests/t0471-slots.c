#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance.h"

/*
 * Guards against groups that oscillate between overload and idle slots when
 * nearly all slots are occupied, as on a larger deployment in a burst.  The
 * cause is that entry hosts know each other's loads only with a delay.  Checks
 * that requests get a slot soon enough to meet their objective.
 */

#define HOSTS 60
#define GROUP_LIMIT 20
#define SLOTS 30
/* Time between two exchanges of all loads. */
#define REPORT_INTERVAL_MS 100
/* Age of the loads that a host knows of its peers. */
#define PEER_LOAD_AGE_MS 200
/* Time between two tries of a host to dispatch a waiting request. */
#define DISPATCH_INTERVAL_MS 25
/* A host refuses a request that has waited for this long. */
#define WAIT_LIMIT_MS 30
/* Callers retry after this time and a random part of up to 700 ms. */
#define RETRY_AFTER_MS 500
#define RUN_MS 20000
#define WARM_UP_MS 5000
#define REQUESTS 40000

/* A model of the users' larger deployments. */
struct scenario
{
  const char *name;
  int groups;
  int event_ms;     /* between two events of a stream in a full batch */
  int events_limit; /* events of a request; the mean is half of it */
  int objective_ms;
  int first_event_ms; /* from getting a slot to the first event */
  uint64_t prompt_tokens;
};

static const struct scenario scenarios[] = {
  { "briefings on many small groups", 20, 42, 60, 200, 82, 674 },
  { "drafts on few large groups", 5, 150, 50, 300, 160, 1420 },
};

enum state
{
  WAITING, /* at a host, until a group admits it */
  QUEUED,  /* at a group, for a slot */
  RUNNING,
  RETRYING, /* refused; the caller waits before its retry */
  FINISHED,
};

struct request
{
  enum state state;
  int host;
  int group;
  int64_t arrived_ms; /* first arrival */
  int64_t since_ms;   /* start of the wait, or time of the retry */
  int64_t sent_ms;    /* time of the dispatch to a group */
  int64_t end_ms;
  bool was_refused;
  double admission_draw;
};

static struct catalog_model models[] = { { "m", 4, 0.5, 0.6, 12000, 1100 } };
static const struct catalog_service service = {
  .name = "llm",
  .slots = SLOTS,
  .models = models,
  .model_count = 1,
  .step_ms = 5.95,
  .step_per_request_ms = 0.0445,
  .prefill_tokens_per_ms = 50.7,
  .tokens_per_event = 7,
};

static struct
{
  const struct scenario *scenario;
  struct endpoints endpoints[HOSTS];
  struct load_table load_tables[HOSTS];
  struct endpoint_load *endpoint_loads[HOSTS][GROUP_LIMIT];
  unsigned reported_running[HOSTS][GROUP_LIMIT]; /* last exchange */
  struct request requests[REQUESTS];
  unsigned request_count;
  unsigned busy_slots[GROUP_LIMIT];
  struct rng rng;
} world;

static void
setup (const struct scenario *scenario, uint64_t seed)
{
  memset (&world, 0, sizeof world);
  world.scenario = scenario;
  rng_init (&world.rng, seed);
  for (int h = 0; h < HOSTS; h++)
    {
      endpoints_init (&world.endpoints[h], NULL, NULL);
      load_table_init (&world.load_tables[h], "casa-a",
                       seed * 1000 + (uint64_t)h);
      world.load_tables[h].fleet.report_age_ms = PEER_LOAD_AGE_MS;
      for (int g = 0; g < world.scenario->groups; g++)
        {
          struct endpoint_report report = { .port = 1,
                                            .state = ENDPOINT_GROUP_OPEN,
                                            .service = "llm",
                                            .model = "m",
                                            .data_centre = "casa-a" };
          char id[16];

          snprintf (id, sizeof id, "g%d", g);
          endpoints_report (&world.endpoints[h], id, &report, 1, 0);
          world.endpoint_loads[h][g] = load_table_get (
              &world.load_tables[h], endpoints_find (&world.endpoints[h], id));
        }
    }
}

static void
teardown (void)
{
  for (int h = 0; h < HOSTS; h++)
    {
      load_table_finish (&world.load_tables[h]);
      endpoints_finish (&world.endpoints[h]);
    }
}

/* Gives each host the loads of its peers as of the previous exchange. */
static void
exchange_loads (void)
{
  for (int g = 0; g < world.scenario->groups; g++)
    {
      unsigned total = 0;

      for (int h = 0; h < HOSTS; h++)
        total += world.reported_running[h][g];
      for (int h = 0; h < HOSTS; h++)
        {
          world.endpoint_loads[h][g]->peer_running
              = total - world.reported_running[h][g];
          world.reported_running[h][g] = world.endpoint_loads[h][g]->running;
        }
    }
}

static void
dispatch (struct request *request, int64_t now_ms)
{
  struct balance_request wanted = {
    .service = &service,
    .model = &service.models[0],
    .prompt_tokens = world.scenario->prompt_tokens,
    .objective_ms = world.scenario->objective_ms,
    .remaining_ms = request->arrived_ms + world.scenario->objective_ms - now_ms,
    .admission_draw = request->admission_draw,
  };
  struct balance_choice choice;
  int h = request->host;

  if (balance_choose (&world.load_tables[h], &world.endpoints[h], &wanted,
                      now_ms, &choice)
      != BALANCE_CHOSEN)
    {
      if (now_ms - request->since_ms < WAIT_LIMIT_MS)
        return;
      request->state = request->was_refused ? FINISHED : RETRYING;
      request->was_refused = true;
      request->since_ms
          = now_ms + RETRY_AFTER_MS + (int64_t)rng_below (&world.rng, 700);
      return;
    }
  for (int g = 0; g < world.scenario->groups; g++)
    if (world.endpoint_loads[h][g] == choice.load)
      request->group = g;
  choice.load->running++;
  request->state = QUEUED;
}

static void
add_request (int64_t now_ms)
{
  struct request *request = &world.requests[world.request_count++];

  assert_in_range (world.request_count, 1, REQUESTS - 1);
  request->host = (int)rng_below (&world.rng, HOSTS);
  request->arrived_ms = now_ms;
  request->since_ms = now_ms;
  request->admission_draw = rng_real (&world.rng);
  dispatch (request, now_ms);
}

struct simulation_result
{
  unsigned offered;
  unsigned in_time;
  unsigned refused; /* refused at least once */
};

/* offered_load: share of all slots in use if every request began at once. */
static struct simulation_result
simulate (const struct scenario *scenario, double offered_load, uint64_t seed)
{
  const double requests_per_ms
      = offered_load * scenario->groups * SLOTS
        / (scenario->event_ms * (scenario->events_limit + 1) / 2.0);
  struct simulation_result result = { 0 };
  double next_ms = 0;
  unsigned first_unfinished = 0; /* index into the requests */

  setup (scenario, seed);
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms++)
    {
      if (now_ms % REPORT_INTERVAL_MS == 0)
        exchange_loads ();
      while (next_ms <= (double)now_ms)
        {
          add_request (now_ms);
          next_ms += 2 * rng_real (&world.rng) / requests_per_ms;
        }
      while (first_unfinished < world.request_count
             && world.requests[first_unfinished].state == FINISHED)
        first_unfinished++;
      for (unsigned i = first_unfinished; i < world.request_count; i++)
        {
          struct request *request = &world.requests[i];

          if (request->state == RUNNING && now_ms >= request->end_ms)
            {
              request->state = FINISHED;
              world.busy_slots[request->group]--;
              world.endpoint_loads[request->host][request->group]->running--;
            }
          else if (request->state == WAITING
                   && (now_ms - request->since_ms) % DISPATCH_INTERVAL_MS == 0
                   && now_ms > request->since_ms)
            dispatch (request, now_ms);
          else if (request->state == RETRYING && now_ms >= request->since_ms)
            {
              request->state = WAITING;
              request->host = (int)rng_below (&world.rng, HOSTS);
              request->since_ms = now_ms;
              dispatch (request, now_ms);
            }
          if (request->state == QUEUED
              && world.busy_slots[request->group] < SLOTS)
            {
              request->state = RUNNING;
              world.busy_slots[request->group]++;
              request->end_ms
                  = now_ms
                    + scenario->event_ms
                          * (1
                             + (int64_t)rng_below (
                                 &world.rng, (uint64_t)scenario->events_limit));
              if (request->arrived_ms < WARM_UP_MS
                  || request->arrived_ms >= RUN_MS - scenario->objective_ms)
                continue;
              result.in_time
                  += now_ms - request->arrived_ms + scenario->first_event_ms
                     <= scenario->objective_ms;
            }
        }
    }
  for (unsigned i = 0; i < world.request_count; i++)
    if (world.requests[i].arrived_ms >= WARM_UP_MS
        && world.requests[i].arrived_ms < RUN_MS - scenario->objective_ms)
      {
        result.offered++;
        result.refused += world.requests[i].was_refused;
      }
  teardown ();
  return result;
}

/*
 * Lowest share of requests in time per offered load.  Nearly all requests must
 * be in time while slots are free.  At full load and beyond, the share is the
 * users' target for worth (0.74) of the requests that the slots can carry.
 */
static void
test_full_groups (void **state)
{
  static const struct
  {
    double offered_load;
    double in_time;
  } loads[] = { { 0.75, 0.98 }, { 0.9, 0.9 }, { 1.0, 0.74 }, { 1.15, 0.643 } };

  (void)state;
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    for (size_t j = 0; j < sizeof scenarios / sizeof scenarios[0]; j++)
      for (uint64_t seed = 1; seed <= 2; seed++)
        {
          struct simulation_result result
              = simulate (&scenarios[j], loads[i].offered_load, seed);

          print_message (
              "%s, load %.2f: %u offered, %.3f in time, %.3f refused\n",
              scenarios[j].name, loads[i].offered_load, result.offered,
              (double)result.in_time / result.offered,
              (double)result.refused / result.offered);
          if ((double)result.in_time < loads[i].in_time * result.offered)
            fail_msg ("%s, load %.2f, seed %d: %u of %u in time, %u refused",
                      scenarios[j].name, loads[i].offered_load, (int)seed,
                      result.in_time, result.offered, result.refused);
        }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_full_groups) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
