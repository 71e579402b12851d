#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "retry-budget.h"

/*
 * Guards against retry storms.  21 entry hosts retry as often as their budgets
 * allow, at several loads; the fleet must stay within its ratio and slack in
 * every window of 10 s.
 */
#define HOSTS 21
#define WINDOW_S 10
#define SECONDS 60

struct budget_case
{
  unsigned requests_per_s; /* of the fleet */
  double ratio;
  double slack;
};

static const struct budget_case cases[] = {
  { 0, 0.2, 260 },
  { 10, 0.2, 260 },
  { 160, 0.2, 317 },
  { 4500, 0.2, 0 },
};

static void
test_fleet_limit (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct budget_case *c = &cases[i];
      static struct retry_budgets hosts[HOSTS];
      unsigned retries[SECONDS] = { 0 };

      for (int h = 0; h < HOSTS; h++)
        retry_budgets_init (&hosts[h], c->ratio, c->slack / HOSTS,
                            WINDOW_S * 1000L);
      for (int second = 0; second < SECONDS; second++)
        for (int ms = 0; ms < 1000; ms += 10)
          for (int h = 0; h < HOSTS; h++)
            {
              int64_t now_ms = second * 1000L + ms;
              unsigned n = c->requests_per_s / 100 / HOSTS
                           + (c->requests_per_s / 100 % HOSTS > (unsigned)h);

              for (unsigned r = 0; r < n; r++)
                retry_budget_note_request (&hosts[h], "app", now_ms);
              while (retry_budget_acquire (&hosts[h], "app", now_ms))
                retries[second]++;
            }
      for (int second = 0; second + WINDOW_S <= SECONDS; second++)
        {
          unsigned sum = 0;

          for (int s = 0; s < WINDOW_S; s++)
            sum += retries[second + s];
          if (sum > c->ratio * c->requests_per_s * WINDOW_S + c->slack)
            fail_msg ("%u requests a second: %u retries", c->requests_per_s,
                      sum);
        }
      for (int h = 0; h < HOSTS; h++)
        retry_budgets_finish (&hosts[h]);
    }
}

/*
 * Guards against retries that count requests of a window twice when the load
 * changes.  The hosts retry as often as they can.  The retries of a window may
 * be earned by the requests of the same window, of the window before it or of
 * the one half a window earlier, whichever has most.
 */
static const struct
{
  const char *guards;
  unsigned per_s[4]; /* in turn, each for for_s seconds */
  unsigned for_s;
} changing_loads[] = {
  { "requests of a burst earn retries twice", { 10, 400, 10, 10 }, 5 },
  { "requests earn retries long after the load has ended",
    { 400, 0, 0, 0 },
    15 },
  { "requests earn retries before the load begins", { 0, 0, 400, 400 }, 10 },
  { "requests of an oscillating load earn retries twice",
    { 300, 20, 300, 20 },
    3 },
};

static unsigned
sum_window (const unsigned *per_second, int first_second)
{
  unsigned sum = 0;

  for (int s = first_second; s < first_second + WINDOW_S; s++)
    if (s >= 0)
      sum += per_second[s];
  return sum;
}

static void
test_changing_load (void **state)
{
  const double ratio = 0.2;
  const double slack = 260;

  (void)state;
  for (size_t i = 0; i < sizeof changing_loads / sizeof changing_loads[0]; i++)
    {
      static struct retry_budgets hosts[HOSTS];
      unsigned requests[SECONDS] = { 0 };
      unsigned retries[SECONDS] = { 0 };

      for (int h = 0; h < HOSTS; h++)
        retry_budgets_init (&hosts[h], ratio, slack / HOSTS, WINDOW_S * 1000L);
      for (unsigned second = 0; second < SECONDS; second++)
        for (unsigned n = 0; n < HOSTS * 10; n++)
          {
            int64_t now_ms = 500000 + second * 1000L + n * 1000 / (HOSTS * 10);
            unsigned per_s
                = changing_loads[i].per_s[second / changing_loads[i].for_s % 4];
            struct retry_budgets *host = &hosts[n % HOSTS];

            for (unsigned r = 0; r < per_s / (HOSTS * 10) + 1; r++)
              {
                if (per_s == 0)
                  continue;
                retry_budget_note_request (host, "app", now_ms);
                requests[second]++;
              }
            while (retry_budget_acquire (host, "app", now_ms))
              retries[second]++;
          }
      for (int s = 0; s + WINDOW_S <= SECONDS; s++)
        {
          unsigned max_requests = sum_window (requests, s);

          if (sum_window (requests, s - WINDOW_S) > max_requests)
            max_requests = sum_window (requests, s - WINDOW_S);
          if (sum_window (requests, s - WINDOW_S / 2) > max_requests)
            max_requests = sum_window (requests, s - WINDOW_S / 2);
          if (sum_window (retries, s) > ratio * max_requests + slack)
            fail_msg ("%s: %u retries from %d s", changing_loads[i].guards,
                      sum_window (retries, s), s);
        }
      for (int h = 0; h < HOSTS; h++)
        retry_budgets_finish (&hosts[h]);
    }
}

/*
 * Guards against a budget that is too small for the failure of two groups of 22
 * streams in a fleet of 95 hosts with 950 requests a second.  Most hosts then
 * have one to three streams to retry, and some have six.
 */
static void
test_group_failure (void **state)
{
  struct retry_budgets host;
  int64_t now_ms = 100000;

  (void)state;
  retry_budgets_init (&host, 0.16, 296 * 0.8 / 95, WINDOW_S * 1000L);
  for (int i = 0; i < 100; i++, now_ms += 100)
    retry_budget_note_request (&host, "app", now_ms);
  for (int i = 0; i < 6; i++)
    assert_true (retry_budget_acquire (&host, "app", now_ms));
  retry_budgets_finish (&host);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fleet_limit),
    cmocka_unit_test (test_changing_load),
    cmocka_unit_test (test_group_failure),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
