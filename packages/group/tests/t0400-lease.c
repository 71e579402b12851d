#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "lease.h"

/*
 * Each case plays a sequence of ticks, responses and watch events with the
 * times of one candidate "self"; it names the failure that it guards against.
 */
enum step_kind
{
  END,
  TICK,       /* lease_tick; expects an action, version, fence and holder */
  READ,       /* response to a read: result, version, fence, holder, seq */
  WRITE,      /* response to a write: result, version */
  WATCH,      /* like READ */
  CAN_ACT,    /* expects lease_may_act to be true */
  CANNOT_ACT, /* expects lease_may_act to be false */
  RELEASE,
  FENCE,       /* reports a fencing token seen in the assignment */
  RANK,        /* sets the rank of the candidate */
  GROUP_FENCE, /* reports a fencing token of a group */
  RESTORE,     /* the platform was restored from a copy */
};

struct step
{
  enum step_kind kind;
  int64_t time_ms;
  int code; /* a lease_action_kind, an enum result or a rank */
  uint64_t version;
  uint64_t fence;
  const char *holder;
  uint64_t seq; /* 0 = the seq of the last write requested */
};

struct lease_case
{
  const char *guarded_failure;
  struct step steps[24];
};

#define OK RESULT_OK
#define CONFLICT RESULT_PLATFORM_CONFLICT
#define LOST RESULT_PLATFORM_LOST_ANSWER
#define MISSING RESULT_PLATFORM_NOT_FOUND
#define OUTAGE RESULT_PLATFORM_OUTAGE

static const struct lease_case cases[] = {
  { "the first candidate never creates the object",
    { { TICK, 0, LEASE_READ },
      { READ, 10, MISSING },
      { TICK, 10, LEASE_WRITE, 0, 1, "self" },
      { CANNOT_ACT, 15 },
      { WRITE, 20, OK, 7 },
      { CAN_ACT, 20 } } },
  { "the holder acts later than the time of sending + ttl - margin",
    { { TICK, 0, LEASE_READ },
      { READ, 10, MISSING },
      { TICK, 1000, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 3000, OK, 7 },
      { CAN_ACT, 6999 },
      { CANNOT_ACT, 7000 },
      { CANNOT_ACT, 8500 } } },
  { "a renewal does not extend the validity, counted from its sending",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { TICK, 1999, LEASE_NO_ACTION },
      { TICK, 2000, LEASE_WRITE, 7, 1, "self" },
      { TICK, 2100, LEASE_NO_ACTION },
      { WRITE, 4000, OK, 9 },
      { CAN_ACT, 7999 },
      { CANNOT_ACT, 8000 } } },
  { "a candidate takes over before ttl + takeover_wait on its own clock",
    { { TICK, 0, LEASE_READ },
      { READ, 100, OK, 5, 3, "other", 8 },
      { TICK, 10000, LEASE_READ },
      { READ, 10050, OK, 5, 3, "other", 8 },
      { TICK, 10099, LEASE_NO_ACTION },
      { TICK, 10100, LEASE_WRITE, 5, 4, "self" },
      { WRITE, 10110, OK, 6 },
      { CAN_ACT, 10110 } } },
  { "a candidate that sees a renewal does not restart its wait",
    { { TICK, 0, LEASE_READ },
      { READ, 100, OK, 5, 3, "other", 8 },
      { TICK, 9000, LEASE_READ },
      { READ, 9000, OK, 6, 3, "other", 9 },
      { TICK, 10100, LEASE_NO_ACTION },
      { TICK, 18999, LEASE_READ },
      { READ, 18999, OK, 6, 3, "other", 9 },
      { TICK, 19000, LEASE_WRITE, 6, 4, "self" } } },
  { "candidates of every rank take over at the same moment",
    { { RANK, 0, 2 },
      { TICK, 0, LEASE_READ },
      { READ, 0, OK, 5, 3, "other", 8 },
      { TICK, 11999, LEASE_READ },
      { READ, 11999, OK, 5, 3, "other", 8 },
      { TICK, 12000, LEASE_WRITE, 5, 4, "self" } } },
  { "the lease is lost when a renewal took effect but its response was lost",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { TICK, 2000, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 3000, LOST },
      { TICK, 3500, LEASE_READ },
      { READ, 3600, OK, 8, 1, "self" },
      { CAN_ACT, 7999 },
      { CANNOT_ACT, 8000 },
      { TICK, 4000, LEASE_WRITE, 8, 1, "self" } } },
  { "a write that did not take effect, with a lost response, extends the lease",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { TICK, 2000, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 3000, LOST },
      { TICK, 3500, LEASE_READ },
      { READ, 3600, OK, 7, 1, "self", 1 },
      { CAN_ACT, 5999 },
      { CANNOT_ACT, 6000 } } },
  { "the holder loses a lease that was restored from a copy",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { TICK, 2000, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 2000, OK, 9 },
      { RESTORE, 3000 },
      { CANNOT_ACT, 3000 },
      { TICK, 3000, LEASE_READ },
      { READ, 3010, OK, 7, 1, "self", 1 },
      { CANNOT_ACT, 3010 },
      { TICK, 3010, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 3020, OK, 8 },
      { CAN_ACT, 3020 },
      { TICK, 5010, LEASE_WRITE, 8, 1, "self" } } },
  { "the holder loses a lease that the copy lacks",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { RESTORE, 9900 },
      { TICK, 9900, LEASE_READ },
      { READ, 9910, MISSING },
      { TICK, 9910, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 9920, OK, 3 },
      { CAN_ACT, 9920 } } },
  { "a holder that may have been replaced takes its restored lease at once",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { RESTORE, 10000 },
      { TICK, 10000, LEASE_READ },
      { READ, 10000, OK, 5, 1, "self", 1 },
      { CANNOT_ACT, 10000 },
      { TICK, 19999, LEASE_READ },
      { READ, 19999, OK, 5, 1, "self", 1 },
      { TICK, 20000, LEASE_WRITE, 5, 2, "self" } } },
  { "a candidate takes a lease that the copy lacks while its holder acts",
    { { TICK, 0, LEASE_READ },
      { READ, 0, OK, 5, 3, "other", 8 },
      { RESTORE, 1000 },
      { TICK, 2000, LEASE_READ },
      { READ, 2000, MISSING },
      { TICK, 11999, LEASE_READ },
      { READ, 11999, MISSING },
      { TICK, 12000, LEASE_WRITE, 0, 4, "self" } } },
  { "a candidate that starts on a copy without a lease takes it at once",
    { { RESTORE, 0 },
      { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { GROUP_FENCE, 0, 0, 0, 4 },
      { TICK, 9999, LEASE_READ },
      { READ, 9999, MISSING },
      { TICK, 10000, LEASE_WRITE, 0, 5, "self" } } },
  { "a candidate that starts on a copy takes the lease that it shows as free",
    { { RESTORE, 0 },
      { TICK, 0, LEASE_READ },
      { READ, 0, OK, 5, 3, "", 8 },
      { TICK, 9999, LEASE_READ },
      { READ, 9999, OK, 5, 3, "", 8 },
      { TICK, 10000, LEASE_WRITE, 5, 4, "self" } } },
  { "a lease that is released after the restoration is waited for",
    { { RESTORE, 0 },
      { TICK, 0, LEASE_READ },
      { READ, 0, OK, 5, 3, "other", 8 },
      { TICK, 2000, LEASE_READ },
      { READ, 2000, OK, 6, 3, "", 9 },
      { TICK, 2000, LEASE_WRITE, 6, 4, "self" } } },
  { "a candidate takes a restored lease that its holder has written again",
    { { TICK, 0, LEASE_READ },
      { READ, 0, OK, 5, 3, "other", 8 },
      { RESTORE, 1000 },
      { TICK, 1000, LEASE_READ },
      { READ, 1000, OK, 4, 3, "other", 7 },
      { TICK, 10999, LEASE_READ },
      { READ, 10999, OK, 6, 3, "other", 9 },
      { TICK, 20998, LEASE_READ } } },
  { "a token that was used before the restoration is used again",
    { { TICK, 0, LEASE_READ },
      { READ, 0, OK, 9, 5, "other", 8 },
      { RESTORE, 1000 },
      { TICK, 1000, LEASE_READ },
      { READ, 1000, OK, 4, 3, "third", 7 },
      { TICK, 11000, LEASE_WRITE, 4, 6, "self" } } },
  { "a holder goes on under a token that was exceeded",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { FENCE, 0, 0, 0, 2 },
      { RESTORE, 1000 },
      { TICK, 1000, LEASE_READ },
      { READ, 1000, OK, 5, 1, "self", 1 },
      { TICK, 1000, LEASE_NO_ACTION },
      { TICK, 11000, LEASE_WRITE, 5, 3, "self" } } },
  { "a token is used again that only groups tell",
    { { GROUP_FENCE, 0, 0, 0, 6 },
      { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 7, "self" } } },
  { "a malformed entry of an endpoint raises the token beyond all bounds",
    { { GROUP_FENCE, 0, 0, 0, UINT64_MAX >> 20 },
      { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" } } },
  { "a read that shows an older version is ignored for ever",
    { { TICK, 0, LEASE_READ },
      { READ, 0, OK, 9, 5, "other", 8 },
      { TICK, 5000, LEASE_READ },
      { READ, 5000, OK, 4, 4, "third", 7 },
      { TICK, 14999, LEASE_READ },
      { READ, 14999, OK, 4, 4, "third", 7 },
      { TICK, 15000, LEASE_WRITE, 4, 6, "self" } } },
  { "a read that was overtaken by a watch counts as a restoration",
    { { TICK, 0, LEASE_READ },
      { READ, 0, OK, 5, 3, "other", 8 },
      { TICK, 5000, LEASE_READ },
      { WATCH, 5010, OK, 7, 3, "other", 10 },
      { READ, 5020, OK, 6, 3, "other", 9 },
      { TICK, 15009, LEASE_READ },
      { READ, 15009, OK, 7, 3, "other", 10 },
      { TICK, 15010, LEASE_WRITE, 7, 4, "self" } } },
  { "an earlier lost write that takes effect late counts from a later send",
    { { TICK, 0, LEASE_READ },
      { READ, 0, OK, 5, 3, "other", 8 },
      { TICK, 10000, LEASE_WRITE, 5, 4, "self" }, /* seq 9 */
      { WRITE, 10100, LOST },
      { TICK, 10600, LEASE_READ },
      { READ, 10700, OK, 5, 3, "other", 8 },
      { TICK, 30000, LEASE_WRITE, 5, 4, "self" }, /* seq 10 */
      { WRITE, 30100, CONFLICT },
      { TICK, 30100, LEASE_READ },
      { READ, 30200, OK, 6, 4, "self", 9 },
      { CANNOT_ACT, 30200 },
      { TICK, 30200, LEASE_WRITE, 6, 4, "self" },
      { WRITE, 30300, OK, 7 },
      { CAN_ACT, 30300 } } },
  { "a paused holder acts after another candidate took over",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { TICK, 20000, LEASE_WRITE, 7, 1, "self" }, /* after a pause */
      { CANNOT_ACT, 20000 },
      { WRITE, 20010, CONFLICT },
      { TICK, 20010, LEASE_READ },
      { READ, 20020, OK, 9, 2, "other", 5 },
      { CANNOT_ACT, 20020 },
      { TICK, 20020, LEASE_NO_ACTION } } },
  { "a holder whose lease expired in an outage cannot renew it",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { TICK, 2000, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 2010, OUTAGE },
      { TICK, 2100, LEASE_NO_ACTION },
      { TICK, 2510, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 2520, OUTAGE },
      { CAN_ACT, 5999 },
      { CANNOT_ACT, 6000 },
      { TICK, 60000, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 60010, OK, 8 },
      { CAN_ACT, 60010 } } },
  { "a holder acts after a watch delivered a takeover",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { CAN_ACT, 1000 },
      { WATCH, 1000, OK, 8, 2, "other", 4 },
      { CANNOT_ACT, 1000 } } },
  { "a stale read response hides a takeover that a watch delivered",
    { { TICK, 0, LEASE_READ },
      { WATCH, 5, OK, 9, 2, "other", 4 },
      { READ, 10, OK, 7, 1, "self", 1 },
      { CANNOT_ACT, 10 } } },
  { "a stale read response restores the lease that a watch showed as lost",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { TICK, 2000, LEASE_WRITE, 7, 1, "self" },
      { WRITE, 3000, LOST },
      { TICK, 3500, LEASE_READ },
      { WATCH, 3550, OK, 9, 2, "other", 3 },
      { READ, 3600, OK, 8, 1, "self" },
      { CANNOT_ACT, 3600 },
      { TICK, 3600, LEASE_NO_ACTION } } },
  { "shutdown leaves the data centre without a holder for ttl + takeover_wait",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { CAN_ACT, 100 },
      { RELEASE, 100 },
      { CANNOT_ACT, 100 },
      { TICK, 100, LEASE_WRITE, 7, 1, "" },
      { WRITE, 110, OK, 8 },
      { TICK, 5000, LEASE_NO_ACTION },
      { CANNOT_ACT, 110 } } },
  { "a release that failed, with a lost response, is not repeated",
    { { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 1, "self" },
      { WRITE, 0, OK, 7 },
      { RELEASE, 100 },
      { TICK, 100, LEASE_WRITE, 7, 1, "" },
      { WRITE, 110, LOST },
      { TICK, 700, LEASE_READ },
      { READ, 710, OK, 7, 1, "self", 1 },
      { TICK, 710, LEASE_WRITE, 7, 1, "" },
      { WRITE, 720, OK, 8 },
      { TICK, 800, LEASE_NO_ACTION } } },
  { "a candidate waits for the ttl of a lease that was released",
    { { RANK, 0, 1 },
      { TICK, 0, LEASE_READ },
      { READ, 0, OK, 8, 3, "", 8 },
      { TICK, 999, LEASE_NO_ACTION },
      { TICK, 1000, LEASE_WRITE, 8, 4, "self" } } },
  { "a takeover reuses a fencing token that the assignment already has",
    { { FENCE, 0, 0, 0, 40 },
      { TICK, 0, LEASE_READ },
      { READ, 0, MISSING },
      { TICK, 0, LEASE_WRITE, 0, 41, "self" } } },
};

static void
run_lease_case (const struct lease_case *test)
{
  struct lease_settings settings;
  struct lease lease;
  uint64_t seq = 0;

  lease_settings_init (&settings);
  lease_init (&lease, &settings, "self", 0);
  for (const struct step *step = test->steps; step->kind != END; step++)
    {
      struct lease_value value = { .fence = step->fence,
                                   .ttl_ms = 8000,
                                   .seq = step->seq != 0 ? step->seq : seq };
      struct lease_action action;

      if (step->holder != NULL)
        snprintf (value.holder, sizeof value.holder, "%s", step->holder);
      switch (step->kind)
        {
        case TICK:
          action = lease_tick (&lease, step->time_ms);
          assert_int_equal (action.kind, step->code);
          if (action.kind != LEASE_WRITE)
            break;
          assert_int_equal (action.version, step->version);
          assert_int_equal (action.value.fence, step->fence);
          assert_string_equal (action.value.holder, step->holder);
          assert_true (action.value.seq > seq);
          seq = action.value.seq;
          break;
        case READ:
          lease_on_read (&lease, (enum result)step->code, &value, step->version,
                         step->time_ms);
          break;
        case WRITE:
          lease_on_write (&lease, (enum result)step->code, step->version,
                          step->time_ms);
          break;
        case WATCH:
          lease_on_watch (&lease, &value, step->version, step->time_ms);
          break;
        case CAN_ACT:
          assert_true (lease_may_act (&lease, step->time_ms));
          break;
        case CANNOT_ACT:
          assert_false (lease_may_act (&lease, step->time_ms));
          break;
        case RELEASE:
          lease_release (&lease);
          break;
        case FENCE:
          lease_observe_fence (&lease, step->fence);
          break;
        case RANK:
          lease_set_rank (&lease, (unsigned)step->code);
          break;
        case GROUP_FENCE:
          lease_observe_reported_fence (&lease, step->fence);
          break;
        case RESTORE:
          lease_on_restore (&lease);
          break;
        case END:
          break;
        }
    }
}

static void
test_lease_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      print_message ("guards against: %s\n", cases[i].guarded_failure);
      run_lease_case (&cases[i]);
    }
}

struct value_case
{
  const char *json;
  enum result result;
};

static const struct value_case value_cases[] = {
  { "{\"holder\":\"a\",\"fence\":1,\"ttl_ms\":8000,\"seq\":3}", RESULT_OK },
  { "{\"holder\":\"\",\"fence\":1,\"ttl_ms\":8000,\"seq\":3}", RESULT_OK },
  { "{\"holder\":\"a\",\"fence\":-1,\"ttl_ms\":8000,\"seq\":3}",
    RESULT_PLATFORM_BAD_ANSWER },
  { "{\"holder\":\"a\",\"fence\":\"1\",\"ttl_ms\":8000,\"seq\":3}",
    RESULT_PLATFORM_BAD_ANSWER },
  { "{\"holder\":7,\"fence\":1,\"ttl_ms\":8000,\"seq\":3}",
    RESULT_PLATFORM_BAD_ANSWER },
  { "{\"fence\":1}", RESULT_PLATFORM_BAD_ANSWER },
  { "[]", RESULT_PLATFORM_BAD_ANSWER },
};

/* A malformed object must not be read as a lease without a holder. */
static void
test_lease_value (void **state)
{
  struct lease_value value
      = { .holder = "h", .fence = 4, .ttl_ms = 8000, .seq = 9 };
  struct lease_value copy;
  json_t *json = lease_value_to_json (&value);

  (void)state;
  assert_int_equal (lease_value_from_json (&copy, json), RESULT_OK);
  assert_string_equal (copy.holder, "h");
  assert_int_equal (copy.fence, 4);
  assert_int_equal (copy.seq, 9);
  json_decref (json);
  for (size_t i = 0; i < sizeof value_cases / sizeof value_cases[0]; i++)
    {
      json = json_loads (value_cases[i].json, 0, NULL);
      assert_non_null (json);
      assert_int_equal (lease_value_from_json (&copy, json),
                        value_cases[i].result);
      json_decref (json);
    }
}

/* Two candidates of the same rank would write at the same moment. */
static void
test_ranks_differ (void **state)
{
  const char *const names[] = { "a", "b", "c", "d" };
  unsigned ranks_seen = 0;

  (void)state;
  for (unsigned i = 0; i < 4; i++)
    ranks_seen |= 1U << lease_rank (names[i], names, 4, "dc1");
  assert_int_equal (ranks_seen, 15);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lease_cases),
    cmocka_unit_test (test_lease_value),
    cmocka_unit_test (test_ranks_differ),
  };

  return cmocka_run_group_tests_name ("lease", tests, NULL, NULL);
}
