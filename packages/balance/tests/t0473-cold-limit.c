#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "balance.h"
#include "hash.h"

/*
 * Entry hosts that all want one cold endpoint, in virtual time.  No second may
 * bring it more requests than the users' bound, from the moment at which it is
 * cold: also before all hosts have heard of it.
 */

#define HOST_LIMIT 99
#define STEP_MS 5
#define START_MS 100000
#define WARM_MS 3000 /* before the endpoint is cold */
#define COLD_MS 3000
#define RUN_MS 12000
#define WINDOW_MS 1000
#define REPEATS 25
#define COLD_PER_S 26.0
#define OVER 1.5
#define SLACK 5.0

static const struct catalog_service service = {
  .name = "app",
  .slots = 1000,
  .cold_ms = COLD_MS,
  .cold_requests_per_s = COLD_PER_S,
};

struct host
{
  struct endpoints endpoints;
  struct load_table loads;
  struct evacuations evacuations;
  int64_t hears_ms; /* that the endpoint is cold, or no longer evacuated */
  bool has_heard;
};

static struct host hosts[HOST_LIMIT];
static unsigned arrived[(WARM_MS + RUN_MS) / STEP_MS]; /* by time */

struct cold_case
{
  const char *guards;
  unsigned hosts;
  double demand_per_s; /* of all hosts */
  double warm_per_s;   /* requests to the endpoint before it is cold */
  /* The endpoint's data centre was evacuated until then. */
  bool is_evacuation;
  unsigned new_hosts;  /* know nothing of the other hosts */
  int64_t cold_ms;     /* 0 = COLD_MS */
  int64_t silent_ms;   /* no host wants to send for this long at first */
  int64_t heard_ms[2]; /* bounds of the time until a host hears of it */
  double least_per_s;  /* of the cold time, on average */
};

#define HEARD                                                                  \
  {                                                                            \
    200, 500                                                                   \
  }

static const struct cold_case cases[] = {
  { "one host exceeds the bound", 1, 444, 0, .heard_ms = HEARD,
    .least_per_s = 20 },
  { "26 hosts exceed the bound", 26, 444, 0, .heard_ms = HEARD,
    .least_per_s = 15 },
  { "99 hosts exceed the bound", 99, 444, 0, .heard_ms = HEARD,
    .least_per_s = 10 },
  { "99 hosts with few requests use little of the limit", 99, 60, 0,
    .heard_ms = HEARD, .least_per_s = 4 },
  { "requests before hosts have heard are not counted, 1 host", 1, 444, 25,
    .heard_ms = HEARD },
  { "requests before hosts have heard are not counted, 26 hosts", 26, 444, 25,
    .heard_ms = HEARD },
  { "requests before hosts have heard are not counted, 99 hosts", 99, 444, 25,
    .heard_ms = HEARD },
  { "what was sent in the last second is not counted, 1 host", 1, 444, 100,
    .heard_ms = { 250, 300 } },
  { "what was sent in the last second is not counted, 26 hosts", 26, 444, 100,
    .heard_ms = { 250, 300 } },
  { "the end of an evacuation releases all hosts at once, 1 host", 1, 444, 0,
    .is_evacuation = true, .heard_ms = { 0, 50 }, .least_per_s = 20 },
  { "the end of an evacuation releases all hosts at once, 26 hosts", 26, 444, 0,
    .is_evacuation = true, .heard_ms = { 0, 50 }, .least_per_s = 15 },
  { "the end of an evacuation releases all hosts at once, 99 hosts", 99, 444, 0,
    .is_evacuation = true, .heard_ms = { 0, 50 }, .least_per_s = 10 },
  { "hosts that know no other host take the whole limit", 99, 444, 0,
    .new_hosts = 30, .heard_ms = HEARD, .least_per_s = 8 },
  { "hosts save up requests and send them at once, 26 hosts", 26, 5000, 0,
    .cold_ms = 9000, .silent_ms = 5000, .heard_ms = HEARD },
  { "hosts save up requests and send them at once, 99 hosts", 99, 5000, 0,
    .cold_ms = 9000, .silent_ms = 5000, .heard_ms = HEARD },
};

static struct rng test_rng;

static struct endpoint *
get_endpoint (const struct host *host)
{
  return endpoints_find (&host->endpoints, "e0");
}

static void
report_endpoint (struct host *host, int64_t cold_ms, uint64_t revision)
{
  struct endpoint_report report = {
    .port = 1, .slots = 1000, .has_cold = cold_ms > 0, .cold_ms = cold_ms
  };

  report.service = "app";
  report.data_centre = "dc-0";
  endpoints_report (&host->endpoints, "e0", &report, revision, host->hears_ms);
}

static void
set_evacuated (struct host *host, bool is_evacuated, int64_t now_ms)
{
  struct evacuation_set set = { .revision = host->evacuations.revision + 1 };

  if (is_evacuated)
    evacuation_set_add (&set, hash_string ("dc-0", 0));
  evacuations_update (&host->evacuations, &set, now_ms, now_ms);
}

static void
start_hosts (const struct cold_case *c, uint64_t seed)
{
  rng_init (&test_rng, seed);
  for (unsigned i = 0; i < c->hosts; i++)
    {
      struct host *host = &hosts[i];

      memset (host, 0, sizeof *host);
      endpoints_init (&host->endpoints, NULL, NULL);
      load_table_init (&host->loads, "casa-a", seed * 1000 + i);
      evacuations_init (&host->evacuations);
      host->loads.evacuations = &host->evacuations;
      host->loads.cold_bound
          = (struct cold_bound){ OVER, SLACK,
                                 i < c->new_hosts ? 400 : c->hosts };
      host->hears_ms
          = START_MS + c->heard_ms[0]
            + (int64_t)rng_below (&test_rng,
                                  (uint64_t)(c->heard_ms[1] - c->heard_ms[0]));
      if (c->is_evacuation)
        set_evacuated (host, true, START_MS - WARM_MS);
      if (c->is_evacuation || c->warm_per_s > 0)
        report_endpoint (host, 0, 1);
    }
}

static void
stop_hosts (const struct cold_case *c)
{
  for (unsigned i = 0; i < c->hosts; i++)
    {
      load_table_finish (&hosts[i].loads);
      endpoints_finish (&hosts[i].endpoints);
    }
}

static bool
sends (struct host *host, int64_t now_ms)
{
  const struct balance_request request
      = { .service = &service, .objective_ms = 1000, .remaining_ms = 1000 };
  struct balance_choice choice;

  if (balance_choose (&host->loads, &host->endpoints, &request, now_ms, &choice)
      != BALANCE_CHOSEN)
    return false;
  request_limit_note_sent (&choice.load->request_limit, now_ms);
  return true;
}

static void
hear (const struct cold_case *c, struct host *host, int64_t now_ms)
{
  if (host->has_heard || now_ms < host->hears_ms)
    return;
  host->has_heard = true;
  if (c->is_evacuation)
    set_evacuated (host, false, now_ms);
  else
    report_endpoint (host, c->cold_ms > 0 ? c->cold_ms : COLD_MS, 2);
}

/* Rounds at random, so that the mean is kept. */
static unsigned
draw_count (double mean)
{
  unsigned whole = (unsigned)mean;

  return whole + (rng_real (&test_rng) < mean - whole ? 1 : 0);
}

static void
run_case (const struct cold_case *c)
{
  int64_t cold_ms = c->cold_ms > 0 ? c->cold_ms : COLD_MS;

  memset (arrived, 0, sizeof arrived);
  for (int64_t now_ms = START_MS - WARM_MS; now_ms < START_MS + cold_ms;
       now_ms += STEP_MS)
    for (unsigned i = 0; i < c->hosts; i++)
      {
        struct host *host = &hosts[i];
        double per_s = c->demand_per_s;
        unsigned tries;

        hear (c, host, now_ms);
        if (!host->has_heard && !c->is_evacuation)
          per_s = c->warm_per_s;
        if (now_ms >= START_MS && now_ms < START_MS + c->silent_ms)
          per_s = 0;
        tries = draw_count (per_s * STEP_MS / 1000 / c->hosts);
        for (unsigned j = 0; j < tries; j++)
          if (get_endpoint (host) != NULL && sends (host, now_ms))
            arrived[(now_ms - START_MS + WARM_MS) / STEP_MS]++;
      }
}

/* The most requests in any second that begins while the endpoint is cold. */
static unsigned
find_fullest_window (void)
{
  unsigned most = 0;

  for (unsigned first = WARM_MS / STEP_MS;
       first + WINDOW_MS / STEP_MS <= sizeof arrived / sizeof arrived[0];
       first++)
    {
      unsigned sum = 0;

      for (unsigned i = 0; i < WINDOW_MS / STEP_MS; i++)
        sum += arrived[first + i];
      if (sum > most)
        most = sum;
    }
  return most;
}

static void
test_bound (void **state)
{
  const unsigned bound = (unsigned)(COLD_PER_S * OVER + SLACK);

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct cold_case *c = &cases[i];
      unsigned total = 0;
      unsigned most = 0;
      double per_s;

      for (unsigned repeat = 0; repeat < REPEATS; repeat++)
        {
          unsigned fullest;

          start_hosts (c, repeat + 1);
          run_case (c);
          fullest = find_fullest_window ();
          if (fullest > most)
            most = fullest;
          for (unsigned j = WARM_MS / STEP_MS;
               j < sizeof arrived / sizeof arrived[0]; j++)
            total += arrived[j];
          stop_hosts (c);
        }
      per_s = (double)total * 1000 / REPEATS / COLD_MS;
      print_message ("%s: fullest second %u of %u, %.1f/s\n", c->guards, most,
                     bound, per_s);
      if (most > bound)
        fail_msg ("%s: %u in a second, bound %u", c->guards, most, bound);
      if (per_s < c->least_per_s)
        fail_msg ("%s: only %.1f/s", c->guards, per_s);
    }
}

/* The smaller of two limits holds. */
static void
test_smaller_limit (void **state)
{
  static const struct
  {
    const char *guards;
    double stated_per_s; /* that the endpoint names; 0 = none */
    double most_per_s;
  } limits[] = {
    { "a higher limit that the endpoint names ends the cold one", 1000, 34 },
    { "the limit that the endpoint names does not hold while cold", 3, 6 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof limits / sizeof limits[0]; i++)
    {
      const struct cold_case c = { "", 1, 444, 0, .heard_ms = { 0, 1 } };
      unsigned total = 0;

      start_hosts (&c, 1);
      hear (&c, &hosts[0], START_MS + 1);
      hosts[0].loads.fleet = (struct request_limit_fleet){ 1, 1, START_MS, 50 };
      if (limits[i].stated_per_s > 0)
        request_limit_state (
            &load_table_get (&hosts[0].loads, get_endpoint (&hosts[0]))
                 ->request_limit,
            limits[i].stated_per_s, START_MS);
      for (int64_t now_ms = START_MS + 1; now_ms < START_MS + 1001; now_ms += 2)
        if (sends (&hosts[0], now_ms))
          total++;
      if (total > limits[i].most_per_s)
        fail_msg ("%s: %u", limits[i].guards, total);
      stop_hosts (&c);
    }
}

/* Which endpoints count as cold, and for how long. */
static void
test_cold_time (void **state)
{
  static const struct catalog_service other = { .name = "app" };
  struct host *host = &hosts[0];
  const struct cold_case c = { "", 1, 444, 0, .heard_ms = { 0, 1 } };

  (void)state;
  start_hosts (&c, 1);
  host->hears_ms = 1000;
  report_endpoint (host, 700, 1);
  assert_int_equal (
      balance_cold_left_ms (&host->loads, &service, get_endpoint (host), 1200),
      500);
  /* Guards against: limits without a cold time in the configuration. */
  assert_int_equal (
      balance_cold_left_ms (&host->loads, &other, get_endpoint (host), 1200),
      0);
  assert_int_equal (
      balance_cold_left_ms (&host->loads, &service, get_endpoint (host), 1700),
      0);
  /* Guards against: an entry that is listed again makes it cold again. */
  host->hears_ms = 1600;
  report_endpoint (host, 700, 1);
  assert_int_equal (
      balance_cold_left_ms (&host->loads, &service, get_endpoint (host), 1700),
      0);
  set_evacuated (host, true, 2000);
  set_evacuated (host, false, 5000);
  assert_int_equal (
      balance_cold_left_ms (&host->loads, &service, get_endpoint (host), 6000),
      2000);
  /* The endpoint says otherwise. */
  host->hears_ms = 6000;
  report_endpoint (host, 100, 2);
  assert_int_equal (
      balance_cold_left_ms (&host->loads, &service, get_endpoint (host), 6000),
      100);
  stop_hosts (&c);
}

/* A warm endpoint is preferred, but a busy one is not filled up first. */
static void
test_warm_is_preferred (void **state)
{
  const struct cold_case c = { "", 1, 444, 0, .heard_ms = { 0, 1 } };
  struct endpoint_report report = { .port = 1, .slots = 6 };
  struct balance_choice choice;
  const struct balance_request request
      = { .service = &service, .objective_ms = 1000, .remaining_ms = 1000 };
  struct endpoint_load *warm;
  struct host *host = &hosts[0];

  (void)state;
  start_hosts (&c, 1);
  hear (&c, host, START_MS + 1);
  report.service = "app";
  report.data_centre = "dc-0";
  endpoints_report (&host->endpoints, "e1", &report, 1, START_MS);
  warm = load_table_get (&host->loads, endpoints_find (&host->endpoints, "e1"));
  assert_int_equal (balance_choose (&host->loads, &host->endpoints, &request,
                                    START_MS + 400, &choice),
                    BALANCE_CHOSEN);
  assert_ptr_equal (choice.load, warm);
  warm->running = 900;
  for (int64_t now_ms = START_MS + 400;
       choice.load == warm && now_ms < START_MS + 600; now_ms += STEP_MS)
    assert_int_equal (balance_choose (&host->loads, &host->endpoints, &request,
                                      now_ms, &choice),
                      BALANCE_CHOSEN);
  assert_ptr_not_equal (choice.load, warm);
  stop_hosts (&c);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_bound),
    cmocka_unit_test (test_smaller_limit),
    cmocka_unit_test (test_cold_time),
    cmocka_unit_test (test_warm_is_preferred),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
