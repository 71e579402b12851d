#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "admission.h"

#define NOW_MS INT64_C (50000)
#define FAR_DEADLINE_MS INT64_C (1000000000)
#define ENTRY_POOL_SIZE 400

static struct admission_entry entry_pool[ENTRY_POOL_SIZE];
static size_t entry_pool_used;

static struct admission_entry *
make_entry (const char *customer,
            enum admission_priority priority,
            unsigned cost,
            int64_t deadline_ms)
{
  struct admission_entry *entry = &entry_pool[entry_pool_used++];

  assert_true (entry_pool_used <= ENTRY_POOL_SIZE);
  memset (entry, 0, sizeof *entry);
  snprintf (entry->customer, sizeof entry->customer, "%s", customer);
  snprintf (entry->target, sizeof entry->target, "model/m");
  entry->priority = priority;
  entry->cost = cost;
  entry->deadline_ms = deadline_ms;
  return entry;
}

static void
set_up (struct admission *admission,
        size_t per_customer,
        size_t total,
        unsigned slots)
{
  const struct admission_limits limits = { .queue_per_customer = per_customer,
                                           .queue_total = total,
                                           .ageing_ms = 1000 };

  entry_pool_used = 0;
  admission_init (admission, &limits);
  assert_int_equal (admission_set_slots (admission, "model/m", slots),
                    RESULT_OK);
}

static struct admission_entry *
submit_entry (struct admission *admission,
              const char *customer,
              enum admission_priority priority,
              unsigned cost,
              int64_t now_ms)
{
  struct admission_entry *entry
      = make_entry (customer, priority, cost, FAR_DEADLINE_MS);
  int64_t retry_ms;

  assert_int_equal (admission_submit (admission, entry, now_ms, &retry_ms),
                    RESULT_OK);
  assert_int_equal (retry_ms, 0);
  return entry;
}

/* Runs one entry for the given time, so that the mean run time is known. */
static void
run_one_entry (struct admission *admission, int64_t duration_ms)
{
  struct admission_entry *entry = submit_entry (
      admission, "learn", ADMISSION_NORMAL, 1, NOW_MS - duration_ms);

  assert_ptr_equal (admission_next (admission, NOW_MS - duration_ms), entry);
  admission_release (admission, entry, NOW_MS);
}

struct refusal_case
{
  const char *guards;
  unsigned per_customer;
  unsigned total;
  unsigned slots;
  float rate;                  /* limit of the customer; 0 = none */
  unsigned in_flight;          /* limit of the customer; 0 = none */
  unsigned submitted;          /* queued entries of the customer */
  unsigned submitted_by_other; /* queued entries of another customer */
  int remaining_ms;            /* deadline of the entry, from now */
  enum result expected;
  int retry_min_ms;
  int retry_max_ms;
};

/* Each request takes 100 ms. */
static const struct refusal_case refusal_cases[] = {
  { "entry is refused without a reason", 9, 9, 1, 0, 0, 1, 0, 5000, RESULT_OK,
    0, 0 },
  { "a target without slots queues entries", 9, 9, 0, 0, 0, 0, 0, 5000,
    RESULT_NO_CAPACITY, 1, 5000 },
  { "customer's queue grows without bound", 3, 99, 1, 0, 0, 4, 0, 5000,
    RESULT_QUEUE_FULL, 100, 1000 },
  { "total queue grows without bound", 99, 3, 1, 0, 0, 1, 3, 5000,
    RESULT_QUEUE_FULL, 100, 1000 },
  { "rate limit admits more than its burst", 99, 99, 9, 2, 0, 2, 0, 5000,
    RESULT_RATE_LIMITED, 500, 500 },
  { "rate below one per second permits nothing", 99, 99, 9, 0.5F, 0, 0, 0, 5000,
    RESULT_OK, 0, 0 },
  { "retry time of a low rate is wrong", 99, 99, 9, 0.5F, 0, 1, 0, 5000,
    RESULT_RATE_LIMITED, 2000, 2000 },
  { "entry whose wait exceeds its deadline is queued", 99, 99, 1, 0, 0, 5, 0,
    400, RESULT_DEADLINE_UNREACHABLE, 200, 200 },
  { "entry that ends after its deadline is queued", 99, 99, 1, 0, 0, 5, 0, 599,
    RESULT_DEADLINE_UNREACHABLE, 1, 1 },
  { "entry that can meet its deadline is refused", 99, 99, 1, 0, 0, 5, 0, 600,
    RESULT_OK, 0, 0 },
  { "short deadline is refused although slots are free", 99, 99, 9, 0, 0, 0, 0,
    50, RESULT_OK, 0, 0 },
  { "entry past its deadline is queued", 99, 99, 9, 0, 0, 0, 0, 0,
    RESULT_DEADLINE_UNREACHABLE, 0, 0 },
  { "another customer's queue counts as the customer's own", 99, 99, 1, 0, 0, 0,
    50, 300, RESULT_OK, 0, 0 },
  { "wait for the customer's own limit is not counted", 99, 99, 9, 0, 1, 5, 0,
    400, RESULT_DEADLINE_UNREACHABLE, 200, 200 },
};

static void
test_refusals (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof refusal_cases / sizeof refusal_cases[0]; i++)
    {
      const struct refusal_case *test = &refusal_cases[i];
      struct admission admission;
      struct admission_entry *entry;
      int64_t retry_ms;
      enum result result;

      set_up (&admission, test->per_customer, test->total, 1);
      run_one_entry (&admission, 100);
      admission_set_slots (&admission, "model/m", test->slots);
      admission_set_customer (&admission, "c", 1, test->rate, test->in_flight);
      for (unsigned n = 0; n < test->submitted_by_other; n++)
        {
          submit_entry (&admission, "other", ADMISSION_NORMAL, 1, NOW_MS);
          admission_next (&admission, NOW_MS);
        }
      for (unsigned n = 0; n < test->submitted; n++)
        {
          submit_entry (&admission, "c", ADMISSION_NORMAL, 1, NOW_MS);
          admission_next (&admission, NOW_MS);
        }
      entry
          = make_entry ("c", ADMISSION_NORMAL, 1, NOW_MS + test->remaining_ms);
      result = admission_submit (&admission, entry, NOW_MS, &retry_ms);
      if (result != test->expected)
        print_error ("failure: %s\n", test->guards);
      assert_int_equal (result, test->expected);
      assert_in_range (retry_ms, test->retry_min_ms, test->retry_max_ms);
      assert_int_equal (entry->queued, result == RESULT_OK);
      admission_finish (&admission);
    }
}

struct fairness_case
{
  const char *guards;
  unsigned weight[2]; /* of each customer */
  unsigned cost[2];   /* of each entry of the customer */
  unsigned count[2];  /* entries submitted, the first customer's first */
  unsigned in_flight_of_first; /* limit of the first customer; 0 = none */
  unsigned admitted;    /* admissions observed, one slot released each time */
  unsigned at_least[2]; /* admissions of each customer */
};

static const struct fairness_case fairness_cases[] = {
  { "first come first served lets a large customer starve a small one",
    { 1, 1 },
    { 1, 1 },
    { 200, 20 },
    0,
    40,
    { 19, 19 } },
  { "weights have no effect",
    { 3, 1 },
    { 100, 100 },
    { 90, 90 },
    0,
    40,
    { 28, 9 } },
  { "costly requests get as many turns as cheap ones",
    { 1, 1 },
    { 1000, 100 },
    { 90, 90 },
    0,
    44,
    { 3, 36 } },
  { "a weight far below the cost never sends",
    { 1, 1000 },
    { 100000, 1 },
    { 1, 200 },
    0,
    201,
    { 1, 200 } },
  { "a customer at its own limit blocks others",
    { 1, 1 },
    { 1, 1 },
    { 50, 50 },
    1,
    50,
    { 0, 50 } },
};

static void
test_fairness (void **state)
{
  static const char *const names[2] = { "large", "small" };

  (void)state;
  for (size_t i = 0; i < sizeof fairness_cases / sizeof fairness_cases[0]; i++)
    {
      const struct fairness_case *test = &fairness_cases[i];
      struct admission admission;
      unsigned got[2] = { 0, 0 };
      struct admission_entry *held = NULL;

      set_up (&admission, 1000, 1000, 1);
      for (int c = 0; c < 2; c++)
        admission_set_customer (&admission, names[c], test->weight[c], 0,
                                c == 0 ? test->in_flight_of_first : 0);
      if (test->in_flight_of_first > 0)
        {
          /* The limit is used up by a request that runs throughout. */
          held = submit_entry (&admission, names[0], ADMISSION_NORMAL, 1,
                               NOW_MS);
          assert_ptr_equal (admission_next (&admission, NOW_MS), held);
          admission_set_slots (&admission, "model/m", 2);
        }
      for (int c = 0; c < 2; c++)
        for (unsigned n = 0; n < test->count[c]; n++)
          submit_entry (&admission, names[c], ADMISSION_NORMAL, test->cost[c],
                        NOW_MS);
      for (unsigned n = 0; n < test->admitted; n++)
        {
          struct admission_entry *entry = admission_next (&admission, NOW_MS);

          assert_non_null (entry);
          got[strcmp (entry->customer, names[1]) == 0]++;
          assert_null (admission_next (&admission, NOW_MS));
          admission_release (&admission, entry, NOW_MS);
        }
      if (got[0] < test->at_least[0] || got[1] < test->at_least[1])
        print_error ("failure: %s (%u, %u)\n", test->guards, got[0], got[1]);
      assert_true (got[0] >= test->at_least[0]);
      assert_true (got[1] >= test->at_least[1]);
      admission_finish (&admission);
    }
}

struct sparse_customer_case
{
  const char *guards;
  unsigned cost;                  /* of the small customer's entries */
  unsigned first_admission_limit; /* its first entry is admitted by then */
  unsigned at_least; /* entries of the small customer in 100 admissions */
  unsigned at_most;
};

/*
 * A large customer has a backlog of entries of cost 10 each; a small customer
 * always has exactly one entry queued.
 */
static const struct sparse_customer_case sparse_cases[] = {
  { "a costly first entry waits until its cost has accumulated", 300, 2, 3, 5 },
  { "a returning customer gets turns whatever its cost", 100, 2, 9, 11 },
  { "a returning customer gets less than its share", 10, 2, 49, 51 },
};

static void
test_customer_with_one_entry (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof sparse_cases / sizeof sparse_cases[0]; i++)
    {
      const struct sparse_customer_case *test = &sparse_cases[i];
      struct admission admission;
      unsigned got = 0;
      unsigned first = 0;

      set_up (&admission, 1000, 1000, 1);
      for (int n = 0; n < 110; n++)
        submit_entry (&admission, "large", ADMISSION_NORMAL, 10, NOW_MS);
      submit_entry (&admission, "small", ADMISSION_NORMAL, test->cost, NOW_MS);
      for (unsigned n = 1; n <= 100; n++)
        {
          struct admission_entry *entry = admission_next (&admission, NOW_MS);

          assert_non_null (entry);
          admission_release (&admission, entry, NOW_MS);
          if (strcmp (entry->customer, "small") != 0)
            continue;
          got++;
          first = first == 0 ? n : first;
          submit_entry (&admission, "small", ADMISSION_NORMAL, test->cost,
                        NOW_MS);
        }
      if (first > test->first_admission_limit || got < test->at_least
          || got > test->at_most)
        print_error ("failure: %s (%u, %u)\n", test->guards, first, got);
      assert_in_range (first, 1, test->first_admission_limit);
      assert_in_range (got, test->at_least, test->at_most);
      admission_finish (&admission);
    }
}

struct ageing_case
{
  const char *guards;
  enum admission_priority older;
  enum admission_priority newer;
  int64_t older_waited_ms; /* wait of the older entry at admission */
  bool older_first;
};

static const struct ageing_case ageing_cases[] = {
  { "priority has no effect", ADMISSION_LOW, ADMISSION_HIGH, 0, false },
  { "priority has no effect", ADMISSION_NORMAL, ADMISSION_HIGH, 999, false },
  { "normal priority is starved by high", ADMISSION_NORMAL, ADMISSION_HIGH,
    1000, true },
  { "low priority is raised too early", ADMISSION_LOW, ADMISSION_HIGH, 1999,
    false },
  { "low priority is starved by high", ADMISSION_LOW, ADMISSION_HIGH, 2000,
    true },
  { "entries of equal priority are served out of order", ADMISSION_HIGH,
    ADMISSION_HIGH, 1, true },
  { "low priority overtakes an older entry of high priority", ADMISSION_HIGH,
    ADMISSION_LOW, 5000, true },
};

static void
test_priority_ageing (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof ageing_cases / sizeof ageing_cases[0]; i++)
    {
      const struct ageing_case *test = &ageing_cases[i];
      struct admission admission;
      struct admission_entry *older;
      struct admission_entry *newer;
      struct admission_entry *got;

      set_up (&admission, 9, 9, 1);
      older = submit_entry (&admission, "c", test->older, 1, NOW_MS);
      newer = submit_entry (&admission, "c", test->newer, 1,
                            NOW_MS + test->older_waited_ms);
      got = admission_next (&admission, NOW_MS + test->older_waited_ms);
      if (got != (test->older_first ? older : newer))
        print_error ("failure: %s\n", test->guards);
      assert_ptr_equal (got, test->older_first ? older : newer);
      admission_finish (&admission);
    }
}

/* Guards against a rate limit that admits more or less over time. */
static void
test_rate_over_time (void **state)
{
  struct admission admission;
  unsigned accepted = 0;

  (void)state;
  set_up (&admission, 1000, 1000, 1000);
  admission_set_customer (&admission, "c", 1, 10, 0);
  for (int64_t now_ms = NOW_MS; now_ms < NOW_MS + 20000; now_ms += 25)
    {
      struct admission_entry entry = { .customer = "c",
                                       .target = "model/m",
                                       .priority = ADMISSION_NORMAL,
                                       .cost = 1,
                                       .deadline_ms = FAR_DEADLINE_MS };
      int64_t retry_ms;

      if (admission_submit (&admission, &entry, now_ms, &retry_ms) != RESULT_OK)
        {
          assert_in_range (retry_ms, 1, 100);
          continue;
        }
      accepted++;
      assert_ptr_equal (admission_next (&admission, now_ms), &entry);
      admission_release (&admission, &entry, now_ms);
    }
  /* 20 s at 10 per second, plus the burst of one second. */
  assert_in_range (accepted, 208, 210);
  admission_finish (&admission);
}

/*
 * Guards against a slot that is leaked or assigned twice when a queued entry is
 * released, an entry is released twice, or the number of slots drops.
 */
static void
test_slots_are_accounted (void **state)
{
  struct admission admission;
  struct admission_entry *a;
  struct admission_entry *b;
  struct admission_entry *c;

  (void)state;
  set_up (&admission, 9, 9, 2);
  a = submit_entry (&admission, "c", ADMISSION_NORMAL, 1, NOW_MS);
  b = submit_entry (&admission, "c", ADMISSION_NORMAL, 1, NOW_MS);
  c = submit_entry (&admission, "d", ADMISSION_NORMAL, 1, NOW_MS);
  assert_non_null (admission_next (&admission, NOW_MS));
  assert_non_null (admission_next (&admission, NOW_MS));
  assert_null (admission_next (&admission, NOW_MS));
  assert_int_equal (admission_demand (&admission, "model/m"), 3);

  /* A queued caller disconnects; a second release changes nothing. */
  struct admission_entry *waiting = a->queued ? a : b->queued ? b : c;
  admission_release (&admission, waiting, NOW_MS);
  admission_release (&admission, waiting, NOW_MS);
  assert_int_equal (admission_demand (&admission, "model/m"), 2);
  assert_int_equal (admission.queued, 0);

  /* With fewer slots than running entries, none starts until enough ended. */
  submit_entry (&admission, "c", ADMISSION_NORMAL, 1, NOW_MS);
  admission_set_slots (&admission, "model/m", 1);
  assert_null (admission_next (&admission, NOW_MS));
  admission_release (&admission, a->admitted ? a : b, NOW_MS + 10);
  assert_null (admission_next (&admission, NOW_MS + 10));
  admission_release (&admission, c->admitted ? c : b, NOW_MS + 20);
  assert_non_null (admission_next (&admission, NOW_MS + 20));
  assert_int_equal (admission_demand (&admission, "model/m"), 1);
  assert_int_equal (admission_demand (&admission, "unknown"), 0);
  admission_finish (&admission);
}

/* Guards against entries past their deadline taking a slot. */
static void
test_expired_entries (void **state)
{
  struct admission admission;
  struct admission_entry *late_entry
      = make_entry ("c", ADMISSION_HIGH, 1, NOW_MS + 100);
  struct admission_entry *good_entry;
  int64_t retry_ms;

  (void)state;
  set_up (&admission, 9, 9, 1);
  entry_pool_used = 1;
  assert_int_equal (
      admission_submit (&admission, late_entry, NOW_MS, &retry_ms), RESULT_OK);
  good_entry = submit_entry (&admission, "c", ADMISSION_LOW, 1, NOW_MS);
  assert_null (admission_next_expired (&admission, NOW_MS + 99));
  assert_ptr_equal (admission_next (&admission, NOW_MS + 100), good_entry);
  assert_ptr_equal (admission_next_expired (&admission, NOW_MS + 100),
                    late_entry);
  assert_false (late_entry->queued);
  assert_null (admission_next_expired (&admission, NOW_MS + 100));
  assert_int_equal (admission.queued, 0);
  admission_finish (&admission);
}

struct late_start_case
{
  const char *guards;
  unsigned cost;
  int deadline_ms; /* deadline of the entry, after NOW_MS */
  int at_ms;       /* when a slot becomes free, after NOW_MS */
  bool starts;
};

/* An entry of cost 10 ran for 100 ms before. */
static const struct late_start_case late_cases[] = {
  { "entry that can finish is dropped", 10, 500, 399, true },
  { "entry starts too late to finish", 10, 500, 400, false },
  { "cheap entry is estimated at the mean", 5, 500, 449, true },
  { "cheap entry starts too late", 5, 500, 450, false },
  { "estimate is scaled up with the requested cost", 100, 500, 399, true },
  { "entry shorter than the estimate never starts", 10, 90, 89, true },
  { "entry past its deadline starts", 10, 90, 90, false },
};

static void
test_late_entries_do_not_start (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof late_cases / sizeof late_cases[0]; i++)
    {
      const struct late_start_case *test = &late_cases[i];
      int64_t at_ms = NOW_MS + test->at_ms;
      struct admission admission;
      struct admission_entry *entry;
      int64_t retry_ms;

      set_up (&admission, 9, 9, 1);
      entry
          = submit_entry (&admission, "c", ADMISSION_NORMAL, 10, NOW_MS - 100);
      assert_ptr_equal (admission_next (&admission, NOW_MS - 100), entry);
      admission_release (&admission, entry, NOW_MS);
      entry = make_entry ("c", ADMISSION_NORMAL, test->cost,
                          NOW_MS + test->deadline_ms);
      assert_int_equal (admission_submit (&admission, entry, NOW_MS, &retry_ms),
                        RESULT_OK);
      if ((admission_next (&admission, at_ms) == entry) != test->starts)
        print_error ("failure: %s\n", test->guards);
      assert_int_equal (entry->admitted, test->starts);
      assert_int_equal (admission_next_expired (&admission, at_ms) == entry,
                        !test->starts);
      admission_finish (&admission);
    }
}

struct wait_case
{
  const char *guards;
  unsigned slots;
  unsigned submitted;
  int64_t after_ms; /* since the last release */
  int64_t min_ms;
  int64_t max_ms;
};

/* Each request ran for 100 ms. */
static const struct wait_case wait_cases[] = {
  { "a wait is expected although slots are free", 4, 3, 0, 0, 0 },
  { "no wait is expected although the target is full", 4, 4, 0, 25, 25 },
  { "the queue is not counted", 4, 8, 0, 125, 125 },
  { "a short wait is expected for a stalled target", 4, 8, 10000, 5000, 20000 },
};

static void
test_expected_wait (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof wait_cases / sizeof wait_cases[0]; i++)
    {
      const struct wait_case *test = &wait_cases[i];
      struct admission admission;
      int64_t wait_ms;

      set_up (&admission, 99, 99, test->slots);
      run_one_entry (&admission, 100);
      for (unsigned n = 0; n < test->submitted; n++)
        {
          submit_entry (&admission, "c", ADMISSION_NORMAL, 1, NOW_MS);
          admission_next (&admission, NOW_MS);
        }
      wait_ms = admission_expected_wait_ms (&admission, "model/m",
                                            NOW_MS + test->after_ms);
      if (wait_ms < test->min_ms || wait_ms > test->max_ms)
        print_error ("failure: %s (%lld)\n", test->guards, (long long)wait_ms);
      assert_in_range (wait_ms, test->min_ms, test->max_ms);
      admission_finish (&admission);
    }
}

/* Guards against a busy target using the slots of another. */
static void
test_targets_are_independent (void **state)
{
  struct admission admission;
  struct admission_entry *entry;
  int64_t retry_ms;

  (void)state;
  set_up (&admission, 9, 99, 1);
  admission_set_slots (&admission, "service/s", 1);
  for (int i = 0; i < 5; i++)
    submit_entry (&admission, "c", ADMISSION_NORMAL, 1, NOW_MS);
  assert_non_null (admission_next (&admission, NOW_MS));
  entry = make_entry ("c", ADMISSION_LOW, 1, FAR_DEADLINE_MS);
  snprintf (entry->target, sizeof entry->target, "service/s");
  assert_int_equal (admission_submit (&admission, entry, NOW_MS, &retry_ms),
                    RESULT_OK);
  assert_ptr_equal (admission_next (&admission, NOW_MS), entry);
  assert_null (admission_next (&admission, NOW_MS));
  entry = make_entry ("c", (enum admission_priority)7, 1, FAR_DEADLINE_MS);
  assert_int_equal (admission_submit (&admission, entry, NOW_MS, &retry_ms),
                    RESULT_INVALID);
  admission_finish (&admission);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refusals),
    cmocka_unit_test (test_fairness),
    cmocka_unit_test (test_customer_with_one_entry),
    cmocka_unit_test (test_priority_ageing),
    cmocka_unit_test (test_rate_over_time),
    cmocka_unit_test (test_slots_are_accounted),
    cmocka_unit_test (test_expired_entries),
    cmocka_unit_test (test_late_entries_do_not_start),
    cmocka_unit_test (test_expected_wait),
    cmocka_unit_test (test_targets_are_independent),
  };

  return cmocka_run_group_tests_name ("admission", tests, NULL, NULL);
}
