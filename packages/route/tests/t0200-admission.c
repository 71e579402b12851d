#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "admission.h"

#define NOW INT64_C (50000)
#define FAR INT64_C (1000000000)
#define MANY 400

static struct admission_entry pool[MANY];
static size_t pool_used;

static struct admission_entry *
make (const char *customer,
      enum admission_priority priority,
      unsigned cost,
      int64_t deadline_ms)
{
  struct admission_entry *entry = &pool[pool_used++];

  assert_true (pool_used <= MANY);
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

  pool_used = 0;
  admission_init (admission, &limits);
  assert_int_equal (admission_set_slots (admission, "model/m", slots),
                    RESULT_OK);
}

static struct admission_entry *
submit (struct admission *admission,
        const char *customer,
        enum admission_priority priority,
        unsigned cost,
        int64_t now_ms)
{
  struct admission_entry *entry = make (customer, priority, cost, FAR);
  int64_t retry_ms;

  assert_int_equal (admission_submit (admission, entry, now_ms, &retry_ms),
                    RESULT_OK);
  assert_int_equal (retry_ms, 0);
  return entry;
}

/* One entry runs for the given time, so that the release rate is known. */
static void
learn_duration (struct admission *admission, int64_t duration_ms)
{
  struct admission_entry *entry
      = submit (admission, "learn", ADMISSION_NORMAL, 1, NOW - duration_ms);

  assert_ptr_equal (admission_next (admission, NOW - duration_ms), entry);
  admission_release (admission, entry, NOW);
}

struct refusal_case
{
  const char *guards;
  unsigned per_customer;
  unsigned total;
  unsigned slots;
  float rate;
  unsigned in_flight;
  unsigned submitted; /* by the customer before, at the same time */
  unsigned others;    /* by another customer before */
  int left_ms;        /* deadline of the entry, from now */
  enum result expected;
  int retry_min_ms;
  int retry_max_ms;
};

/* Each request takes 100 ms. */
static const struct refusal_case refusal_cases[] = {
  { "entry is refused without a reason", 9, 9, 1, 0, 0, 1, 0, 5000, RESULT_OK,
    0, 0 },
  { "target without slots queues for ever", 9, 9, 0, 0, 0, 0, 0, 5000,
    RESULT_NO_CAPACITY, 1, 5000 },
  { "customer's queue grows without bound", 3, 99, 1, 0, 0, 4, 0, 5000,
    RESULT_QUEUE_FULL, 100, 1000 },
  { "total queue grows without bound", 99, 3, 1, 0, 0, 1, 3, 5000,
    RESULT_QUEUE_FULL, 100, 1000 },
  { "rate limit lets a burst by", 99, 99, 9, 2, 0, 2, 0, 5000,
    RESULT_RATE_LIMITED, 500, 500 },
  { "rate below one per second permits nothing", 99, 99, 9, 0.5F, 0, 0, 0, 5000,
    RESULT_OK, 0, 0 },
  { "retry time of a low rate is wrong", 99, 99, 9, 0.5F, 0, 1, 0, 5000,
    RESULT_RATE_LIMITED, 2000, 2000 },
  { "doomed entry is queued", 99, 99, 1, 0, 0, 5, 0, 400,
    RESULT_DEADLINE_UNREACHABLE, 200, 200 },
  { "entry that ends after its deadline is queued", 99, 99, 1, 0, 0, 5, 0, 599,
    RESULT_DEADLINE_UNREACHABLE, 1, 1 },
  { "entry that can make it is refused", 99, 99, 1, 0, 0, 5, 0, 600, RESULT_OK,
    0, 0 },
  { "short deadline is refused although slots are free", 99, 99, 9, 0, 0, 0, 0,
    50, RESULT_OK, 0, 0 },
  { "entry past its deadline is queued", 99, 99, 9, 0, 0, 0, 0, 0,
    RESULT_DEADLINE_UNREACHABLE, 0, 0 },
  { "another customer's queue counts as one's own", 99, 99, 1, 0, 0, 0, 50, 300,
    RESULT_OK, 0, 0 },
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
      learn_duration (&admission, 100);
      admission_set_slots (&admission, "model/m", test->slots);
      admission_set_customer (&admission, "c", 1, test->rate, test->in_flight);
      for (unsigned n = 0; n < test->others; n++)
        {
          submit (&admission, "other", ADMISSION_NORMAL, 1, NOW);
          admission_next (&admission, NOW);
        }
      for (unsigned n = 0; n < test->submitted; n++)
        {
          submit (&admission, "c", ADMISSION_NORMAL, 1, NOW);
          admission_next (&admission, NOW);
        }
      entry = make ("c", ADMISSION_NORMAL, 1, NOW + test->left_ms);
      result = admission_submit (&admission, entry, NOW, &retry_ms);
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
  unsigned weight[2];
  unsigned cost[2];
  unsigned count[2]; /* entries submitted, the first customer's first */
  unsigned in_flight_of_first;
  unsigned admitted; /* admissions observed, one slot released each time */
  unsigned at_least[2];
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
          held = submit (&admission, names[0], ADMISSION_NORMAL, 1, NOW);
          assert_ptr_equal (admission_next (&admission, NOW), held);
          admission_set_slots (&admission, "model/m", 2);
        }
      for (int c = 0; c < 2; c++)
        for (unsigned n = 0; n < test->count[c]; n++)
          submit (&admission, names[c], ADMISSION_NORMAL, test->cost[c], NOW);
      for (unsigned n = 0; n < test->admitted; n++)
        {
          struct admission_entry *entry = admission_next (&admission, NOW);

          assert_non_null (entry);
          got[strcmp (entry->customer, names[1]) == 0]++;
          assert_null (admission_next (&admission, NOW));
          admission_release (&admission, entry, NOW);
        }
      if (got[0] < test->at_least[0] || got[1] < test->at_least[1])
        print_error ("failure: %s (%u, %u)\n", test->guards, got[0], got[1]);
      assert_true (got[0] >= test->at_least[0]);
      assert_true (got[1] >= test->at_least[1]);
      admission_finish (&admission);
    }
}

struct sparse_case
{
  const char *guards;
  unsigned cost;     /* of the small customer's entries */
  unsigned first_by; /* admission that takes its first entry, at the latest */
  unsigned at_least; /* of its entries among 100 admissions */
  unsigned at_most;
};

/*
 * A large customer with a backlog of cost 10 each, and a small one that has one
 * entry queued at any time.
 */
static const struct sparse_case sparse_cases[] = {
  { "a costly first entry waits until its cost is saved up", 300, 2, 3, 5 },
  { "a returning customer gets turns whatever its cost", 100, 2, 9, 11 },
  { "a returning customer gets less than its part", 10, 2, 49, 51 },
};

static void
test_sparse_customer (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof sparse_cases / sizeof sparse_cases[0]; i++)
    {
      const struct sparse_case *test = &sparse_cases[i];
      struct admission admission;
      unsigned got = 0;
      unsigned first = 0;

      set_up (&admission, 1000, 1000, 1);
      for (int n = 0; n < 110; n++)
        submit (&admission, "large", ADMISSION_NORMAL, 10, NOW);
      submit (&admission, "small", ADMISSION_NORMAL, test->cost, NOW);
      for (unsigned n = 1; n <= 100; n++)
        {
          struct admission_entry *entry = admission_next (&admission, NOW);

          assert_non_null (entry);
          admission_release (&admission, entry, NOW);
          if (strcmp (entry->customer, "small") != 0)
            continue;
          got++;
          first = first == 0 ? n : first;
          submit (&admission, "small", ADMISSION_NORMAL, test->cost, NOW);
        }
      if (first > test->first_by || got < test->at_least || got > test->at_most)
        print_error ("failure: %s (%u, %u)\n", test->guards, first, got);
      assert_in_range (first, 1, test->first_by);
      assert_in_range (got, test->at_least, test->at_most);
      admission_finish (&admission);
    }
}

struct ageing_case
{
  const char *guards;
  enum admission_priority older;
  enum admission_priority newer;
  int64_t waited_ms; /* by the older when the newer comes and one is taken */
  bool older_first;
};

static const struct ageing_case ageing_cases[] = {
  { "priority has no effect", ADMISSION_LOW, ADMISSION_HIGH, 0, false },
  { "priority has no effect", ADMISSION_NORMAL, ADMISSION_HIGH, 999, false },
  { "normal waits behind high for ever", ADMISSION_NORMAL, ADMISSION_HIGH, 1000,
    true },
  { "low is raised too early", ADMISSION_LOW, ADMISSION_HIGH, 1999, false },
  { "low waits behind high for ever", ADMISSION_LOW, ADMISSION_HIGH, 2000,
    true },
  { "equals are served out of order", ADMISSION_HIGH, ADMISSION_HIGH, 1, true },
  { "low passes a high that came first", ADMISSION_HIGH, ADMISSION_LOW, 5000,
    true },
};

static void
test_ageing (void **state)
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
      older = submit (&admission, "c", test->older, 1, NOW);
      newer = submit (&admission, "c", test->newer, 1, NOW + test->waited_ms);
      got = admission_next (&admission, NOW + test->waited_ms);
      if (got != (test->older_first ? older : newer))
        print_error ("failure: %s\n", test->guards);
      assert_ptr_equal (got, test->older_first ? older : newer);
      admission_finish (&admission);
    }
}

/* A rate limit that is exceeded over time, or that lets less by. */
static void
test_rate_over_time (void **state)
{
  struct admission admission;
  unsigned accepted = 0;

  (void)state;
  set_up (&admission, 1000, 1000, 1000);
  admission_set_customer (&admission, "c", 1, 10, 0);
  for (int64_t now_ms = NOW; now_ms < NOW + 20000; now_ms += 25)
    {
      struct admission_entry entry = { .customer = "c",
                                       .target = "model/m",
                                       .priority = ADMISSION_NORMAL,
                                       .cost = 1,
                                       .deadline_ms = FAR };
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
  /* 20 s at 10 per second, and the burst of one second. */
  assert_in_range (accepted, 208, 210);
  admission_finish (&admission);
}

/* A slot that is lost, or given twice, when entries end in unusual ways. */
static void
test_slots_are_accounted (void **state)
{
  struct admission admission;
  struct admission_entry *a;
  struct admission_entry *b;
  struct admission_entry *c;

  (void)state;
  set_up (&admission, 9, 9, 2);
  a = submit (&admission, "c", ADMISSION_NORMAL, 1, NOW);
  b = submit (&admission, "c", ADMISSION_NORMAL, 1, NOW);
  c = submit (&admission, "d", ADMISSION_NORMAL, 1, NOW);
  assert_non_null (admission_next (&admission, NOW));
  assert_non_null (admission_next (&admission, NOW));
  assert_null (admission_next (&admission, NOW));
  assert_int_equal (admission_demand (&admission, "model/m"), 3);

  /* A queued caller goes away; releasing it twice changes nothing. */
  struct admission_entry *waiting = a->queued ? a : b->queued ? b : c;
  admission_release (&admission, waiting, NOW);
  admission_release (&admission, waiting, NOW);
  assert_int_equal (admission_demand (&admission, "model/m"), 2);
  assert_int_equal (admission.queued, 0);

  /* Fewer slots than running: nothing starts until enough ended. */
  submit (&admission, "c", ADMISSION_NORMAL, 1, NOW);
  admission_set_slots (&admission, "model/m", 1);
  assert_null (admission_next (&admission, NOW));
  admission_release (&admission, a->admitted ? a : b, NOW + 10);
  assert_null (admission_next (&admission, NOW + 10));
  admission_release (&admission, c->admitted ? c : b, NOW + 20);
  assert_non_null (admission_next (&admission, NOW + 20));
  assert_int_equal (admission_demand (&admission, "model/m"), 1);
  assert_int_equal (admission_demand (&admission, "unknown"), 0);
  admission_finish (&admission);
}

/* Work that nobody waits for any more takes a slot. */
static void
test_expired_entries (void **state)
{
  struct admission admission;
  struct admission_entry *late = make ("c", ADMISSION_HIGH, 1, NOW + 100);
  struct admission_entry *good;
  int64_t retry_ms;

  (void)state;
  set_up (&admission, 9, 9, 1);
  pool_used = 1;
  assert_int_equal (admission_submit (&admission, late, NOW, &retry_ms),
                    RESULT_OK);
  good = submit (&admission, "c", ADMISSION_LOW, 1, NOW);
  assert_null (admission_next_expired (&admission, NOW + 99));
  assert_ptr_equal (admission_next (&admission, NOW + 100), good);
  assert_ptr_equal (admission_next_expired (&admission, NOW + 100), late);
  assert_false (late->queued);
  assert_null (admission_next_expired (&admission, NOW + 100));
  assert_int_equal (admission.queued, 0);
  admission_finish (&admission);
}

struct late_case
{
  const char *guards;
  unsigned cost;
  int deadline_ms; /* of the entry, after NOW */
  int at_ms;       /* when a slot comes free, after NOW */
  bool starts;
};

/* Requests of cost 10 took 100 ms. */
static const struct late_case late_cases[] = {
  { "entry that can finish is dropped", 10, 500, 399, true },
  { "entry starts too late to finish", 10, 500, 400, false },
  { "cheap entry is held to the mean", 5, 500, 449, true },
  { "cheap entry starts too late", 5, 500, 450, false },
  { "estimate is scaled up with the cost asked for", 100, 500, 399, true },
  { "entry shorter than the estimate never starts", 10, 90, 89, true },
  { "entry past its deadline starts", 10, 90, 90, false },
};

static void
test_late_starts (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof late_cases / sizeof late_cases[0]; i++)
    {
      const struct late_case *test = &late_cases[i];
      int64_t at_ms = NOW + test->at_ms;
      struct admission admission;
      struct admission_entry *entry;
      int64_t retry_ms;

      set_up (&admission, 9, 9, 1);
      entry = submit (&admission, "c", ADMISSION_NORMAL, 10, NOW - 100);
      assert_ptr_equal (admission_next (&admission, NOW - 100), entry);
      admission_release (&admission, entry, NOW);
      entry = make ("c", ADMISSION_NORMAL, test->cost, NOW + test->deadline_ms);
      assert_int_equal (admission_submit (&admission, entry, NOW, &retry_ms),
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
  int64_t after_ms; /* since the last release, with every slot taken */
  int64_t min_ms;
  int64_t max_ms;
};

/* Each request took 100 ms. */
static const struct wait_case wait_cases[] = {
  { "free slots are said to need a wait", 4, 3, 0, 0, 0 },
  { "a full target is said to need none", 4, 4, 0, 25, 25 },
  { "the queue is not counted", 4, 8, 0, 125, 125 },
  { "a stalled target is said to be quick", 4, 8, 10000, 5000, 20000 },
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
      learn_duration (&admission, 100);
      for (unsigned n = 0; n < test->submitted; n++)
        {
          submit (&admission, "c", ADMISSION_NORMAL, 1, NOW);
          admission_next (&admission, NOW);
        }
      wait_ms = admission_expected_wait_ms (&admission, "model/m",
                                            NOW + test->after_ms);
      if (wait_ms < test->min_ms || wait_ms > test->max_ms)
        print_error ("failure: %s (%lld)\n", test->guards, (long long)wait_ms);
      assert_in_range (wait_ms, test->min_ms, test->max_ms);
      admission_finish (&admission);
    }
}

/* A busy target that takes the slots of another. */
static void
test_targets_are_apart (void **state)
{
  struct admission admission;
  struct admission_entry *entry;
  int64_t retry_ms;

  (void)state;
  set_up (&admission, 9, 99, 1);
  admission_set_slots (&admission, "service/s", 1);
  for (int i = 0; i < 5; i++)
    submit (&admission, "c", ADMISSION_NORMAL, 1, NOW);
  assert_non_null (admission_next (&admission, NOW));
  entry = make ("c", ADMISSION_LOW, 1, FAR);
  snprintf (entry->target, sizeof entry->target, "service/s");
  assert_int_equal (admission_submit (&admission, entry, NOW, &retry_ms),
                    RESULT_OK);
  assert_ptr_equal (admission_next (&admission, NOW), entry);
  assert_null (admission_next (&admission, NOW));
  entry = make ("c", (enum admission_priority)7, 1, FAR);
  assert_int_equal (admission_submit (&admission, entry, NOW, &retry_ms),
                    RESULT_INVALID);
  admission_finish (&admission);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refusals),
    cmocka_unit_test (test_fairness),
    cmocka_unit_test (test_sparse_customer),
    cmocka_unit_test (test_ageing),
    cmocka_unit_test (test_rate_over_time),
    cmocka_unit_test (test_slots_are_accounted),
    cmocka_unit_test (test_expired_entries),
    cmocka_unit_test (test_late_starts),
    cmocka_unit_test (test_expected_wait),
    cmocka_unit_test (test_targets_are_apart),
  };

  return cmocka_run_group_tests_name ("admission", tests, NULL, NULL);
}
