#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "balance.h"

/*
 * Guards against requests to an endpoint without a free slot, which refuses
 * them.  In virtual time, 99 hosts share three endpoints of six slots that
 * serve alone; their loads are older than most requests run.  The choice that
 * waits for a slot is compared with the usual one.
 */

#define HOSTS 99
#define ENDPOINTS 3
#define SLOTS 6
#define REPORT_INTERVAL_MS 150
#define DISPATCH_INTERVAL_MS 25
#define AVOID_MS 250 /* an endpoint that refused a request */
#define TIMEOUT_MS 800
#define RUN_MS 20000
#define REQUESTS 6000

static const struct slots_case
{
  const char *name;
  double per_s;
  double run_ms;
  int away; /* endpoints that take nothing */
} cases[] = {
  { "usual load", 54, 30, 0 },
  { "burst", 135, 30, 0 },
  { "burst, one endpoint away", 135, 30, 1 },
  { "slow endpoints", 54, 150, 0 },
};

static const struct catalog_service service = { .name = "app" };

struct request
{
  int host;
  int endpoint; /* -1 = waiting */
  int64_t arrived_ms;
  int64_t end_ms;
  bool is_done;
};

static struct
{
  struct endpoints endpoints[HOSTS];
  struct load_table tables[HOSTS];
  struct endpoint_load *loads[HOSTS][ENDPOINTS];
  unsigned reported[HOSTS][ENDPOINTS];
  struct request requests[REQUESTS];
  unsigned busy[ENDPOINTS];
  struct rng rng;
} world;

struct tally
{
  unsigned offered;
  unsigned refused; /* sends that an endpoint refused */
  unsigned lost;
};

static void
setup (const struct slots_case *c, uint64_t seed)
{
  memset (&world, 0, sizeof world);
  rng_init (&world.rng, seed);
  for (int h = 0; h < HOSTS; h++)
    {
      endpoints_init (&world.endpoints[h], NULL, NULL);
      load_table_init (&world.tables[h], "casa-a", seed * 1000 + (uint64_t)h);
      for (int e = 0; e < ENDPOINTS; e++)
        {
          struct endpoint_report report = {
            .port = 1, .slots = SLOTS, .service = "app", .data_centre = "casa-a"
          };
          char id[8];

          snprintf (id, sizeof id, "e%d", e);
          endpoints_report (&world.endpoints[h], id, &report, 1, 0);
          world.loads[h][e] = load_table_get (
              &world.tables[h], endpoints_find (&world.endpoints[h], id));
          world.loads[h][e]->endpoint->report.leaving = e < c->away;
        }
    }
}

static void
exchange_loads (void)
{
  for (int e = 0; e < ENDPOINTS; e++)
    {
      unsigned total = 0;

      for (int h = 0; h < HOSTS; h++)
        total += world.reported[h][e];
      for (int h = 0; h < HOSTS; h++)
        {
          world.loads[h][e]->peer_running = total - world.reported[h][e];
          world.reported[h][e] = world.loads[h][e]->running;
        }
    }
}

static void
dispatch (struct request *request,
          const struct slots_case *c,
          bool waits,
          int64_t now_ms,
          struct tally *tally)
{
  const struct balance_request wanted = { .service = &service,
                                          .objective_ms = TIMEOUT_MS,
                                          .remaining_ms = TIMEOUT_MS,
                                          .waits_for_slot = waits };
  struct balance_choice choice;

  if (balance_choose (&world.tables[request->host],
                      &world.endpoints[request->host], &wanted, now_ms, &choice)
      != BALANCE_CHOSEN)
    return;
  for (int e = 0; e < ENDPOINTS; e++)
    if (world.loads[request->host][e] == choice.load)
      request->endpoint = e;
  if (world.busy[request->endpoint] == SLOTS)
    {
      tally->refused++;
      balance_note_failure (choice.load, now_ms);
      balance_avoid (choice.load, now_ms + AVOID_MS);
      request->endpoint = -1;
      return;
    }
  world.busy[request->endpoint]++;
  choice.load->running++;
  request->end_ms
      = now_ms + (int64_t)(c->run_ms * (0.5 + rng_real (&world.rng)));
}

static void
advance (struct request *request,
         const struct slots_case *c,
         bool waits,
         int64_t now_ms,
         struct tally *tally)
{
  if (request->is_done)
    return;
  if (request->endpoint >= 0 && now_ms >= request->end_ms)
    {
      request->is_done = true;
      world.busy[request->endpoint]--;
      world.loads[request->host][request->endpoint]->running--;
    }
  else if (request->endpoint < 0 && now_ms - request->arrived_ms >= TIMEOUT_MS)
    {
      request->is_done = true;
      tally->lost++;
    }
  else if (request->endpoint < 0
           && (now_ms - request->arrived_ms) % DISPATCH_INTERVAL_MS == 0)
    dispatch (request, c, waits, now_ms, tally);
}

static struct tally
simulate (const struct slots_case *c, bool waits, uint64_t seed)
{
  struct tally tally = { 0 };
  double next_ms = 0;
  unsigned first = 0; /* that is not done */

  setup (c, seed);
  for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms++)
    {
      if (now_ms % REPORT_INTERVAL_MS == 0)
        exchange_loads ();
      while (next_ms <= (double)now_ms)
        {
          assert_in_range (tally.offered, 0, REQUESTS - 1);
          world.requests[tally.offered++]
              = (struct request){ .host = (int)rng_below (&world.rng, HOSTS),
                                  .endpoint = -1,
                                  .arrived_ms = now_ms };
          next_ms -= log (1 - rng_real (&world.rng)) * 1000 / c->per_s;
        }
      while (first < tally.offered && world.requests[first].is_done)
        first++;
      for (unsigned i = first; i < tally.offered; i++)
        advance (&world.requests[i], c, waits, now_ms, &tally);
    }
  for (int h = 0; h < HOSTS; h++)
    {
      load_table_finish (&world.tables[h]);
      endpoints_finish (&world.endpoints[h]);
    }
  return tally;
}

static void
test_refusals (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (uint64_t seed = 1; seed <= 3; seed++)
      {
        struct tally usual = simulate (&cases[i], false, seed);
        struct tally waiting = simulate (&cases[i], true, seed);

        print_message ("%s, seed %d: %u offered; refused %u, %u before; lost "
                       "%u, %u before\n",
                       cases[i].name, (int)seed, waiting.offered,
                       waiting.refused, usual.refused, waiting.lost,
                       usual.lost);
        if (waiting.refused > usual.refused || waiting.lost > usual.lost)
          fail_msg ("%s: more are refused or lost", cases[i].name);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_refusals) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
