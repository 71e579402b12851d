#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "retry-budget.h"

/*
 * 21 entry hosts that retry whatever they can, at any load: the fleet stays
 * within its ratio and slack in every window of 10 s.
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
test_fleet (void **state)
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
              while (retry_budget_take (&hosts[h], "app", now_ms))
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
 * Load that changes from one second to the next, and hosts that retry all they
 * can: the requests of a window are those in it, in the one before it or in the
 * one half a window before it, whichever has most.
 */
static const struct
{
  const char *guards;
  unsigned per_s[4]; /* in turn, each for so long */
  unsigned for_s;
} loads[] = {
  { "a burst is spent twice", { 10, 400, 10, 10 }, 5 },
  { "a load that ends is spent on", { 400, 0, 0, 0 }, 15 },
  { "a load that begins is spent before", { 0, 0, 400, 400 }, 10 },
  { "a load that swings is spent twice", { 300, 20, 300, 20 }, 3 },
};

static unsigned
sum_of (const unsigned *seconds, int from)
{
  unsigned sum = 0;

  for (int s = from; s < from + WINDOW_S; s++)
    if (s >= 0)
      sum += seconds[s];
  return sum;
}

static void
test_changing_load (void **state)
{
  const double ratio = 0.2;
  const double slack = 260;

  (void)state;
  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
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
            unsigned per_s = loads[i].per_s[second / loads[i].for_s % 4];
            struct retry_budgets *host = &hosts[n % HOSTS];

            for (unsigned r = 0; r < per_s / (HOSTS * 10) + 1; r++)
              {
                if (per_s == 0)
                  continue;
                retry_budget_note_request (host, "app", now_ms);
                requests[second]++;
              }
            while (retry_budget_take (host, "app", now_ms))
              retries[second]++;
          }
      for (int s = 0; s + WINDOW_S <= SECONDS; s++)
        {
          unsigned most = sum_of (requests, s);

          if (sum_of (requests, s - WINDOW_S) > most)
            most = sum_of (requests, s - WINDOW_S);
          if (sum_of (requests, s - WINDOW_S / 2) > most)
            most = sum_of (requests, s - WINDOW_S / 2);
          if (sum_of (retries, s) > ratio * most + slack)
            fail_msg ("%s: %u retries from %d s", loads[i].guards,
                      sum_of (retries, s), s);
        }
      for (int h = 0; h < HOSTS; h++)
        retry_budgets_finish (&hosts[h]);
    }
}

/*
 * Two groups of 22 streams are lost in a fleet of 95 hosts with 950 requests a
 * second: a host has one to three of them, and some have six.
 */
static void
test_lost_group (void **state)
{
  struct retry_budgets host;
  int64_t now_ms = 100000;

  (void)state;
  retry_budgets_init (&host, 0.16, 296 * 0.8 / 95, WINDOW_S * 1000L);
  for (int i = 0; i < 100; i++, now_ms += 100)
    retry_budget_note_request (&host, "app", now_ms);
  for (int i = 0; i < 6; i++)
    assert_true (retry_budget_take (&host, "app", now_ms));
  retry_budgets_finish (&host);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fleet),
    cmocka_unit_test (test_changing_load),
    cmocka_unit_test (test_lost_group),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
