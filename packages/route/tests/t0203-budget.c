#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "budget.h"

struct budget_case
{
  const char *guards;
  unsigned attempts;       /* first attempts, each of which fails */
  unsigned retry_interval; /* every n-th attempt requests a retry */
  unsigned at_most;        /* retries granted */
  unsigned at_least;
};

static const struct budget_case cases[] = {
  { "retries without bound in an outage", 10000, 1, 1003, 1002 },
  { "a short outage is not retried", 20, 1, 5, 4 },
  { "rare failures are not retried", 10000, 20, 500, 500 },
  { "a retry after every tenth attempt is refused", 1000, 10, 100, 100 },
};

static void
test_retries_stay_within_budget (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct budget_case *test = &cases[i];
      struct budget entry_host;
      struct budget customer;
      unsigned retries = 0;

      budget_init (&entry_host);
      budget_init (&customer);
      for (unsigned n = 1; n <= test->attempts; n++)
        {
          budget_record_attempt (&entry_host);
          budget_record_attempt (&customer);
          if (n % test->retry_interval == 0)
            retries += budget_spend_retry (&entry_host, &customer);
        }
      if (retries > test->at_most || retries < test->at_least)
        print_error ("failure: %s\n", test->guards);
      assert_in_range (retries, test->at_least, test->at_most);
    }
}

/* Ten first attempts must earn one whole retry, whatever the rounding. */
static void
test_ten_attempts_earn_one_retry (void **state)
{
  struct budget entry_host = { 0 };
  struct budget customer = { 0 };

  (void)state;
  for (int i = 0; i < 9; i++)
    {
      budget_record_attempt (&entry_host);
      budget_record_attempt (&customer);
    }
  assert_false (budget_spend_retry (&entry_host, &customer));
  budget_record_attempt (&entry_host);
  budget_record_attempt (&customer);
  assert_true (budget_spend_retry (&entry_host, &customer));
  assert_false (budget_spend_retry (&entry_host, &customer));
}

/* Guards against a customer without budget draining that of the entry host. */
static void
test_retry_spends_both_budgets_or_neither (void **state)
{
  struct budget full;
  struct budget empty = { 0 };

  (void)state;
  budget_init (&full);
  assert_false (budget_spend_retry (&full, &empty));
  assert_true (full.tokens == BUDGET_LIMIT);
  assert_false (budget_spend_retry (&empty, &full));
  assert_true (full.tokens == BUDGET_LIMIT);
}

struct backoff_case
{
  unsigned attempt;
  int64_t base_ms;
  int64_t limit_ms;
  int64_t ceiling_ms;
};

static const struct backoff_case backoff_cases[] = {
  { 0, 50, 2000, 50 },
  { 1, 50, 2000, 100 },
  { 5, 50, 2000, 1600 },
  { 6, 50, 2000, 2000 },
  { 4000000000U, 50, 2000, 2000 },
  { 0, 5000, 2000, 2000 },
  { 3, 0, 2000, 0 },
  { 200, 1, INT64_MAX / 4, INT64_MAX / 4 },
};

/* Guards against retries that come all at once, or later than the limit. */
static void
test_backoff_is_uniform_and_bounded (void **state)
{
  struct rng rng;

  (void)state;
  rng_init (&rng, 3);
  for (size_t i = 0; i < sizeof backoff_cases / sizeof backoff_cases[0]; i++)
    {
      const struct backoff_case *test = &backoff_cases[i];
      double sum = 0;
      const int samples = 4000;

      for (int n = 0; n < samples; n++)
        {
          int64_t wait_ms = budget_draw_retry_delay_ms (
              &rng, test->attempt, test->base_ms, test->limit_ms);

          assert_true (wait_ms >= 0 && wait_ms <= test->ceiling_ms);
          sum += (double)wait_ms / samples;
        }
      /* Full jitter: uniform, so the mean is half the ceiling. */
      assert_true (sum >= 0.45 * (double)test->ceiling_ms
                   && sum <= 0.55 * (double)test->ceiling_ms);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_retries_stay_within_budget),
    cmocka_unit_test (test_ten_attempts_earn_one_retry),
    cmocka_unit_test (test_retry_spends_both_budgets_or_neither),
    cmocka_unit_test (test_backoff_is_uniform_and_bounded),
  };

  return cmocka_run_group_tests_name ("budget", tests, NULL, NULL);
}
