#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance.h"

/* Step and prefill times of the users' engines (site files, [engine]). */
static struct catalog_model models[] = { { "m0", 4, 0.57, 1.0, 16000, 1600 } };
static const struct catalog_service service = {
  .name = "draft-llm",
  .slots = 26,
  .models = models,
  .model_count = 1,
  .step_ms = 5.95,
  .step_per_request_ms = 0.0445,
  .prefill_tokens_per_ms = 50.7,
  .tokens_per_event = 7,
};
static const struct catalog_service standalone_service
    = { .name = "booking-app" };

static struct endpoints endpoints;
static struct load_table loads;

static struct endpoint_load *
add_endpoint (const char *id, const char *data_centre, const char *service_name)
{
  struct endpoint_report report
      = { .port = 1, .slots = 6, .state = ENDPOINT_GROUP_OPEN };

  report.service = service_name;
  report.data_centre = data_centre;
  report.model = "m0";
  endpoints_report (&endpoints, id, &report, 1, 0);
  return load_table_get (&loads, endpoints_find (&endpoints, id));
}

static void
setup (void)
{
  endpoints_init (&endpoints, NULL, NULL);
  load_table_init (&loads, "casa-a", 1);
}

static void
teardown (void)
{
  load_table_finish (&loads);
  endpoints_finish (&endpoints);
}

struct choose_case
{
  const char *guards; /* failure that the case guards against */
  const struct catalog_service *service;
  struct
  {
    unsigned running;
    unsigned peer_running;
    uint64_t prefill_tokens;
    int64_t avoid_until_ms;
    bool leaving;
    enum endpoint_group_state state; /* 0 = open */
  } local[2];                        /* two endpoints of the own data centre */
  int64_t left_ms;
  enum balance_verdict verdict;
  int chosen; /* -1 = any */
};

static const struct choose_case cases[] = {
  { "the idle group is not chosen",
    &service,
    { { 0 }, { 20 } },
    300,
    BALANCE_CHOSEN,
    0 },
  { "requests of other entry hosts are not counted",
    &service,
    { { 0, 20 }, { 4, 0 } },
    300,
    BALANCE_CHOSEN,
    1 },
  { "queued prompts are not counted",
    &service,
    { { 0, 0, 9000 }, { 12, 0, 0 } },
    300,
    BALANCE_CHOSEN,
    1 },
  { "a group gets more requests than it has slots",
    &service,
    { { 26 }, { 13, 13 } },
    300,
    BALANCE_FULL,
    -1 },
  { "a request goes to a group that would miss its objective",
    &service,
    { { 0, 0, 15000 }, { 0, 0, 15000 } },
    300,
    BALANCE_FULL,
    -1 },
  { "a late request delays requests at a busy group",
    &service,
    { { 10, 0, 6000 }, { 10, 0, 6000 } },
    -50,
    BALANCE_FULL,
    -1 },
  { "a late request is refused although a group has spare time",
    &service,
    { { 1 }, { 20, 0, 9000 } },
    -50,
    BALANCE_CHOSEN,
    0 },
  { "an avoided group is chosen",
    &service,
    { { 0, 0, 0, 500 }, { 10 } },
    300,
    BALANCE_CHOSEN,
    1 },
  { "a leaving endpoint is chosen",
    &service,
    { { .leaving = true }, { .leaving = true } },
    300,
    BALANCE_NONE,
    -1 },
  { "a group that is not open is chosen",
    &service,
    { { .state = ENDPOINT_GROUP_READY }, { .state = ENDPOINT_GROUP_CLOSING } },
    300,
    BALANCE_NONE,
    -1 },
  { "an endpoint that serves alone is overloaded",
    &standalone_service,
    { { 18 }, { 18 } },
    300,
    BALANCE_FULL,
    -1 },
  { "the less loaded endpoint is not chosen",
    &standalone_service,
    { { 5 }, { 1 } },
    300,
    BALANCE_CHOSEN,
    1 },
};

static void
test_choose (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct choose_case *c = &cases[i];
      struct endpoint_load *candidates[2];
      struct balance_choice choice;
      struct balance_request request = {
        .service = c->service,
        .model = c->service->model_count > 0 ? &c->service->models[0] : NULL,
        .prompt_tokens = 1400,
        .objective_ms = 300,
        .remaining_ms = c->left_ms,
      };
      enum balance_verdict verdict;

      setup ();
      for (int index = 0; index < 2; index++)
        {
          candidates[index] = add_endpoint (index == 0 ? "e0" : "e1", "casa-a",
                                            c->service->name);
          candidates[index]->running = c->local[index].running;
          candidates[index]->peer_running = c->local[index].peer_running;
          candidates[index]->prefill_tokens = c->local[index].prefill_tokens;
          candidates[index]->avoid_until_ms = c->local[index].avoid_until_ms;
          candidates[index]->endpoint->report.leaving = c->local[index].leaving;
          if (c->local[index].state != ENDPOINT_GROUP_NONE)
            candidates[index]->endpoint->report.state = c->local[index].state;
        }
      verdict = balance_choose (&loads, &endpoints, &request, 100, &choice);
      if (verdict != c->verdict
          || (c->chosen >= 0 && choice.load != candidates[c->chosen]))
        fail_msg ("%s: verdict %d, %s", c->guards, verdict,
                  choice.load != NULL ? choice.load->id : "none");
      teardown ();
    }
}

/*
 * Guards against requests to a partitioned data centre.  After three endpoints
 * of another data centre did not respond, requests go to the own data centre at
 * once, until one of the endpoints responds.  Probes carry no request.
 */
static void
test_partition (void **state)
{
  struct balance_request request = { .service = &standalone_service,
                                     .objective_ms = 300,
                                     .remaining_ms = 300 };
  struct endpoint_load *remote_loads[4];
  struct endpoint_load *local_load;
  struct balance_choice choice;

  (void)state;
  setup ();
  local_load = add_endpoint ("near", "casa-a", "booking-app");
  local_load->running = 10;
  for (int i = 0; i < 4; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "far%d", i);
      remote_loads[i] = add_endpoint (id, "casa-b", "booking-app");
    }
  balance_note_unreached (&loads, remote_loads[0], 1000);
  balance_note_unreached (&loads, remote_loads[1], 1010);
  balance_choose (&loads, &endpoints, &request, 1020, &choice);
  assert_ptr_not_equal (choice.load, local_load);
  balance_note_unreached (&loads, remote_loads[2], 1030);
  balance_choose (&loads, &endpoints, &request, 1040, &choice);
  assert_ptr_equal (choice.load, local_load);
  for (int64_t now_ms = 1050; now_ms < 20000; now_ms += 1000)
    {
      struct endpoint_load *probe
          = balance_next_probe (&loads, &endpoints, now_ms);

      assert_non_null (probe);
      assert_ptr_not_equal (probe, local_load);
      assert_null (balance_next_probe (&loads, &endpoints, now_ms + 10));
      balance_choose (&loads, &endpoints, &request, now_ms + 20, &choice);
      assert_ptr_equal (choice.load, local_load);
    }
  balance_note_reached (&loads, remote_loads[3]);
  balance_choose (&loads, &endpoints, &request, 1050, &choice);
  assert_ptr_not_equal (choice.load, local_load);
  teardown ();
}

/*
 * Guards against avoiding a healthy group.  The head of a group that failed is
 * avoided for a while, but not once it heads a newly formed group.
 */
static void
test_reformed_group (void **state)
{
  struct balance_request request = { .service = &service,
                                     .model = &service.models[0],
                                     .prompt_tokens = 1400,
                                     .objective_ms = 300,
                                     .remaining_ms = 300 };
  struct endpoint_load *failed_head;
  struct endpoint_load *other;
  struct balance_choice choice;

  (void)state;
  setup ();
  failed_head = add_endpoint ("broken", "casa-a", service.name);
  other = add_endpoint ("other", "casa-a", service.name);
  other->prefill_tokens = 3000;
  balance_choose (&loads, &endpoints, &request, 900, &choice);
  assert_ptr_equal (choice.load, failed_head);
  for (int i = 0; i < 5; i++)
    balance_note_failure (failed_head, 1000);
  balance_avoid (failed_head, 2500);
  balance_choose (&loads, &endpoints, &request, 1100, &choice);
  assert_ptr_equal (choice.load, other);
  failed_head->endpoint->report.epoch++;
  balance_choose (&loads, &endpoints, &request, 1200, &choice);
  assert_ptr_equal (choice.load, failed_head);
  teardown ();
}

/*
 * Guards against late responses in a burst.  Prompts of 40 to 4,000 tokens
 * arrive at 93 a second, 1.5 times the rate on the users' sheet, while four
 * of six groups are left.  Simulates the engines' batch iterations.  Four in
 * five of the admitted requests must meet their objective, and admission by
 * expected time must meet it more often than filling every slot.
 */
#define GROUPS 4
#define ARRIVALS_PER_S 93
#define REQUESTS 1200

struct simulated_request
{
  int64_t arrived_ms;
  uint64_t prompt_tokens;
  unsigned events_left; /* 0 = finished or not admitted */
  bool is_prefilling;
  int group;
};

struct simulation_result
{
  unsigned admitted;
  unsigned in_time;
};

static struct simulation_result
simulate (bool by_expected_time, uint64_t seed)
{
  static struct simulated_request requests[REQUESTS];
  struct simulation_result result = { 0 };
  struct endpoint_load *group_loads[GROUPS];
  double iteration_end_ms[GROUPS] = { 0 };
  double next_ms = 0;
  unsigned arrived = 0;
  struct rng rng;

  setup ();
  rng_init (&rng, seed);
  memset (requests, 0, sizeof requests);
  for (int g = 0; g < GROUPS; g++)
    {
      char id[8];

      snprintf (id, sizeof id, "g%d", g);
      group_loads[g] = add_endpoint (id, "casa-a", "draft-llm");
    }
  for (int64_t now_ms = 0; now_ms < 40000; now_ms++)
    {
      while (arrived < REQUESTS && next_ms <= (double)now_ms)
        {
          struct simulated_request *arrival = &requests[arrived++];
          struct balance_request wanted
              = { .service = &service, .model = &service.models[0] };
          struct balance_choice choice;

          next_ms += 1000.0 / ARRIVALS_PER_S * 2 * rng_real (&rng);
          arrival->arrived_ms = now_ms;
          arrival->prompt_tokens = 40 + rng_below (&rng, 4000);
          wanted.prompt_tokens = arrival->prompt_tokens;
          wanted.objective_ms = by_expected_time ? 300 : 1000000;
          wanted.remaining_ms = wanted.objective_ms;
          if (balance_choose (&loads, &endpoints, &wanted, now_ms, &choice)
              != BALANCE_CHOSEN)
            continue;
          for (int g = 0; g < GROUPS; g++)
            if (group_loads[g] == choice.load)
              arrival->group = g;
          choice.load->running++;
          choice.load->prefill_tokens += arrival->prompt_tokens;
          arrival->events_left = 1 + (unsigned)rng_below (&rng, 45);
          arrival->is_prefilling = true;
          result.admitted++;
        }
      for (int g = 0; g < GROUPS; g++)
        {
          double iteration_ms = 0;
          unsigned batch_size = 0;

          if (iteration_end_ms[g] > (double)now_ms)
            continue;
          for (unsigned i = 0; i < arrived; i++)
            {
              struct simulated_request *request = &requests[i];

              if (request->events_left == 0 || request->group != g
                  || request->arrived_ms == now_ms)
                continue;
              batch_size++;
              if (request->is_prefilling)
                {
                  /* Prefilled in this iteration; its first event ends it. */
                  iteration_ms += (double)request->prompt_tokens / 50.7;
                  request->is_prefilling = false;
                  group_loads[g]->prefill_tokens -= request->prompt_tokens;
                  request->events_left++;
                }
            }
          iteration_ms += batch_size > 0 ? 7 * (5.95 + 0.0445 * batch_size) : 1;
          iteration_end_ms[g] = (double)now_ms + iteration_ms;
          for (unsigned i = 0; i < arrived; i++)
            {
              struct simulated_request *request = &requests[i];

              if (request->events_left == 0 || request->group != g
                  || request->is_prefilling || request->arrived_ms == now_ms)
                continue;
              if (request->prompt_tokens != 0)
                {
                  if (iteration_end_ms[g] - (double)request->arrived_ms <= 300)
                    result.in_time++;
                  request->prompt_tokens = 0;
                }
              if (--request->events_left == 0)
                group_loads[g]->running--;
            }
        }
    }
  teardown ();
  return result;
}

static void
test_burst (void **state)
{
  unsigned better_runs = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation_result chosen = simulate (true, seed);
      struct simulation_result filled = simulate (false, seed);

      if (chosen.in_time * 5 < chosen.admitted * 4)
        fail_msg ("seed %d: %u of %u in time", (int)seed, chosen.in_time,
                  chosen.admitted);
      better_runs += chosen.in_time > filled.in_time;
    }
  assert_int_equal (better_runs, 5);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_choose),
    cmocka_unit_test (test_partition),
    cmocka_unit_test (test_reformed_group),
    cmocka_unit_test (test_burst),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
