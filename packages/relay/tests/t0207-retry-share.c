#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "retry-budget.h"
#include "retry-share.h"

/*
 * Guards against repeats that exceed the fleet's budget while entry hosts
 * start, end and lose touch.  Each process repeats as often as its share
 * allows.  The bound is that of the users' rule, for each span of a window.
 */

#define HOSTS 12
#define DATA_CENTRES 3
#define LOCAL_HOSTS (HOSTS / DATA_CENTRES)
#define WINDOW_MS 10000
#define STEP_MS 100
#define RUN_MS 60000
#define STEPS (RUN_MS / STEP_MS)
#define RATIO 0.2
#define SLACK 260.0

enum trouble
{
  CALM,
  RESTARTS,      /* half of the hosts, every six seconds */
  ALL_RESTART,   /* all hosts at 20 s, and again at 25 s */
  LATE_START,    /* all hosts at 20 s; they hear of each other 15 s later */
  LOST_TOUCH,    /* from 20 s on no host hears of another */
  CUT_AND_START, /* so does a data centre, whose hosts start again then */
};

struct share_case
{
  const char *guards;
  enum trouble trouble;
  unsigned requests_per_s; /* of the fleet */
};

static const struct share_case cases[] = {
  { "hosts repeat more than the fleet may", CALM, 40 },
  { "hosts that start again bring a share each", RESTARTS, 40 },
  { "hosts that start again without requests bring a share each", RESTARTS, 0 },
  { "a fleet that starts again brings its slack twice", ALL_RESTART, 120 },
  { "a host that knows no other takes the whole slack", LATE_START, 40 },
  { "hosts that lose touch take the whole slack each", LOST_TOUCH, 40 },
  { "a data centre that starts again while it is cut off takes the whole slack",
    CUT_AND_START, 40 },
};

static struct
{
  const struct share_case *c;
  struct retry_budgets budgets[HOSTS];
  int64_t started_ms[HOSTS];
  unsigned most_hosts[HOSTS];
  unsigned local_hosts[HOSTS];
  unsigned repeats[STEPS];
  unsigned requests[STEPS];
} fleet;

static void
start_host (unsigned host, int64_t now_ms)
{
  retry_budgets_finish (&fleet.budgets[host]);
  retry_budgets_init (&fleet.budgets[host], RATIO * 0.8, 0, WINDOW_MS);
  fleet.started_ms[host] = now_ms;
  fleet.most_hosts[host] = 1;
  fleet.local_hosts[host] = 1;
}

static void
change_hosts (int64_t now_ms)
{
  for (unsigned host = 0; host < HOSTS; host++)
    {
      bool is_local = host < LOCAL_HOSTS;
      bool starts = false;
      unsigned heard = HOSTS;

      switch (fleet.c->trouble)
        {
        case CALM:
          break;
        case RESTARTS:
          starts = now_ms > 0 && now_ms % 6000 == 0 && host % 2 == 0;
          break;
        case ALL_RESTART:
          starts = now_ms == 20000 || now_ms == 25000;
          break;
        case LATE_START:
          starts = now_ms == 20000;
          if (now_ms >= 20000 && now_ms < 35000)
            heard = 1;
          break;
        case LOST_TOUCH:
          if (now_ms >= 20000)
            heard = 1;
          break;
        case CUT_AND_START:
          starts = now_ms == 20000 && is_local;
          if (now_ms >= 20000)
            heard = is_local ? LOCAL_HOSTS : HOSTS - LOCAL_HOSTS;
          break;
        }
      if (starts)
        start_host (host, now_ms);
      /* Hosts hear of each other half a second after they start. */
      if (now_ms - fleet.started_ms[host] < 500)
        continue;
      if (heard > fleet.most_hosts[host])
        fleet.most_hosts[host] = heard;
      if (heard > 1)
        fleet.local_hosts[host] = LOCAL_HOSTS;
    }
}

static void
run_step (unsigned step)
{
  int64_t now_ms = (int64_t)step * STEP_MS;

  change_hosts (now_ms);
  for (unsigned host = 0; host < HOSTS; host++)
    {
      const struct retry_share_view view = {
        .slack = SLACK,
        .window_ms = WINDOW_MS,
        .uptime_ms = now_ms - fleet.started_ms[host],
        .most_hosts = fleet.most_hosts[host],
        .local_hosts = fleet.local_hosts[host],
        .data_centres = DATA_CENTRES,
      };
      unsigned count
          = fleet.c->requests_per_s * (step + host) / 10 / HOSTS
            - fleet.c->requests_per_s * (step + host - 1) / 10 / HOSTS;

      if (step + host == 0)
        count = 0;
      fleet.budgets[host].slack = retry_share_compute (&view);
      fleet.requests[step] += count;
      while (count-- > 0)
        retry_budget_note_request (&fleet.budgets[host], "app", now_ms);
      while (retry_budget_acquire (&fleet.budgets[host], "app", now_ms))
        fleet.repeats[step]++;
    }
}

static unsigned
sum_window (const unsigned *counts, unsigned first)
{
  unsigned sum = 0;

  for (unsigned step = first; step < first + WINDOW_MS / STEP_MS; step++)
    sum += counts[step];
  return sum;
}

static void
test_fleet_budget (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      unsigned most = 0;

      memset (&fleet, 0, sizeof fleet);
      fleet.c = &cases[i];
      for (unsigned host = 0; host < HOSTS; host++)
        start_host (host, 0);
      for (unsigned step = 0; step < STEPS; step++)
        run_step (step);
      for (unsigned step = 0; step + WINDOW_MS / STEP_MS <= STEPS; step++)
        {
          unsigned repeats = sum_window (fleet.repeats, step);
          double bound = RATIO * sum_window (fleet.requests, step) + SLACK;

          most = repeats > most ? repeats : most;
          if (repeats > bound)
            fail_msg ("%s: %u repeats in the window from %u ms, allowed %.0f",
                      cases[i].guards, repeats, step * STEP_MS, bound);
        }
      print_message ("%s: at most %u repeats\n", cases[i].guards, most);
      for (unsigned host = 0; host < HOSTS; host++)
        retry_budgets_finish (&fleet.budgets[host]);
    }
}

struct view_case
{
  const char *guards;
  struct retry_share_view view;
  double share;
};

static const struct view_case view_cases[] = {
  { "a host does not get its share",
    { SLACK, WINDOW_MS, WINDOW_MS, 12, 4, 3, false },
    17.33 },
  { "a started host uses the share of the process before it",
    { SLACK, WINDOW_MS, WINDOW_MS - 1, 12, 4, 3, false },
    0 },
  { "a host that knows no other takes all",
    { SLACK, WINDOW_MS, WINDOW_MS, 1, 1, 3, false },
    0.52 },
  { "the only host of a fleet gets next to nothing",
    { SLACK, WINDOW_MS, WINDOW_MS, 1, 1, 1, true },
    208 },
  { "a host that hears only of its data centre takes too much",
    { SLACK, WINDOW_MS, WINDOW_MS, 4, 4, 3, false },
    17.33 },
};

static void
test_shares (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof view_cases / sizeof view_cases[0]; i++)
    {
      double share = retry_share_compute (&view_cases[i].view);

      if (share < view_cases[i].share - 0.01
          || share > view_cases[i].share + 0.01)
        fail_msg ("%s: %.2f", view_cases[i].guards, share);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fleet_budget),
    cmocka_unit_test (test_shares),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
