#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "choose.h"
#include "tables.h"

#define NOW_MS TABLES_NOW_MS
#define GROUPS 6
#define POSITION_HOLD_MS 10000

static char list_dc1[][SHEET_NAME_SIZE] = { "dc1" };
static char list_dc2[][SHEET_NAME_SIZE] = { "dc2" };
static char list_other[][SHEET_NAME_SIZE] = { "someone-else" };

struct fixture
{
  struct fleet fleet;
  struct sheet sheet;
  struct sheet_group rows[1];
  struct sheet_service services[1];
  struct chooser chooser;
  struct choose_request request;
  char first[CHOOSE_KEY_SIZE];  /* first candidate while all are idle */
  char second[CHOOSE_KEY_SIZE]; /* second candidate */
};

static void
set_up (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  fleet_init (&fixture->fleet);
  for (int i = 0; i < GROUPS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "g%d", i);
      tables_add_group (&fixture->fleet, id, "spec", "m", "dc1");
      snprintf (id, sizeof id, "s%d", i);
      tables_add_service_host (&fixture->fleet, id, "booking", "dc1");
    }
  tables_add_group (&fixture->fleet, "elsewhere", "spec", "m", "dc2");
  tables_add_group (&fixture->fleet, "other-model", "spec", "n", "dc1");
  fixture->rows[0] = (struct sheet_group){
    .name = "spec", .model = "m", .data_centres = TABLES_LIST (list_dc1)
  };
  fixture->services[0]
      = (struct sheet_service){ .name = "booking",
                                .data_centres = TABLES_LIST (list_dc1) };
  fixture->sheet = (struct sheet){ .number = 1,
                                   .groups = fixture->rows,
                                   .group_count = 1,
                                   .services = fixture->services,
                                   .service_count = 1 };
  chooser_init (&fixture->chooser, 1);
  fixture->request = (struct choose_request){
    .customer = "c", .model = "m", .prefix_hash = 77, .fingerprint = "abc"
  };
}

static void
tear_down (struct fixture *fixture)
{
  chooser_finish (&fixture->chooser);
  fleet_finish (&fixture->fleet);
}

static enum result
run_choice (struct fixture *fixture,
            int64_t now_ms,
            struct choose_result *result)
{
  return choose_endpoint (&fixture->chooser, &fixture->fleet, &fixture->sheet,
                          "dc1", &fixture->request, now_ms, result);
}

/* Records both candidates while every endpoint serves and is idle. */
static void
record_candidates (struct fixture *fixture)
{
  struct choose_result result;

  choose_tick (&fixture->chooser, &fixture->fleet, NOW_MS);
  assert_int_equal (run_choice (fixture, NOW_MS, &result), RESULT_OK);
  assert_string_not_equal (result.rejected, "");
  assert_string_not_equal (result.key, result.rejected);
  memcpy (fixture->first, result.key, sizeof fixture->first);
  memcpy (fixture->second, result.rejected, sizeof fixture->second);
}

static void
end_attempt (struct fixture *fixture, const char *key, enum choose_end end)
{
  choose_started (&fixture->chooser, key, NOW_MS);
  choose_finished (&fixture->chooser, key, end, 100, 10, NOW_MS);
}

static void
fail_attempts (struct fixture *fixture, const char *key, int times)
{
  for (int i = 0; i < times; i++)
    end_attempt (fixture, key, CHOOSE_END_FAILURE);
}

static void
expire_member_attestation (struct fixture *f, const char *group)
{
  tables_member (&f->fleet, group, 1)->attested.seen_ms
      = NOW_MS - FLEET_ATTESTATION_AGE_LIMIT_MS - 1;
}

static void
change_nothing (struct fixture *f)
{
  (void)f;
}

static void
first_member_absent (struct fixture *f)
{
  expire_member_attestation (f, f->first);
}

static void
first_short_of_members (struct fixture *f)
{
  fleet_find_group (&f->fleet, f->first)->member_count = 1;
}

static void
first_other_generation (struct fixture *f)
{
  tables_member (&f->fleet, f->first, 1)->attested.generation = 4;
}

static void
first_loading (struct fixture *f)
{
  tables_member (&f->fleet, f->first, 1)->attested.state = FLEET_ENGINE_LOADING;
}

static void
first_listed_leaving (struct fixture *f)
{
  tables_member (&f->fleet, f->first, 1)->listed_leaving = true;
}

static void
first_drained (struct fixture *f)
{
  tables_member (&f->fleet, f->first, 1)->drained = true;
}

static void
first_refused (struct fixture *f)
{
  tables_member (&f->fleet, f->first, 0)->refused_leaving = true;
}

static void
first_attests_leaving (struct fixture *f)
{
  tables_member (&f->fleet, f->first, 0)->attested.leaving = true;
}

static void
first_group_draining (struct fixture *f)
{
  fleet_find_group (&f->fleet, f->first)->draining = true;
}

static void
first_removed (struct fixture *f)
{
  fleet_remove_group (&f->fleet, f->first);
}

static void
both_absent (struct fixture *f)
{
  expire_member_attestation (f, f->first);
  expire_member_attestation (f, f->second);
}

static void
both_absent_with_strike (struct fixture *f)
{
  both_absent (f);
  f->request.has_strike = true;
}

static void
both_absent_after_run (struct fixture *f)
{
  both_absent (f);
  f->request.may_have_run = true;
}

static void
both_removed_with_strike (struct fixture *f)
{
  fleet_remove_group (&f->fleet, f->first);
  fleet_remove_group (&f->fleet, f->second);
  f->request.has_strike = true;
}

static void
first_tried (struct fixture *f)
{
  f->request.excluded[1] = f->first;
}

static void
both_tried (struct fixture *f)
{
  f->request.excluded[0] = f->first;
  f->request.excluded[3] = f->second;
}

static void
both_tried_after_run (struct fixture *f)
{
  both_tried (f);
  f->request.may_have_run = true;
}

static void
first_fails_4_times (struct fixture *f)
{
  fail_attempts (f, f->first, 4);
}

static void
first_fails_5_times (struct fixture *f)
{
  fail_attempts (f, f->first, 5);
}

static void
first_fails_4_times_twice (struct fixture *f)
{
  fail_attempts (f, f->first, 4);
  end_attempt (f, f->first, CHOOSE_END_SUCCESS);
  fail_attempts (f, f->first, 4);
}

static void
first_cancelled_often (struct fixture *f)
{
  for (int i = 0; i < 20; i++)
    end_attempt (f, f->first, CHOOSE_END_CANCELLED);
}

/* Busy: a request with a strike runs at the endpoint. */
static void
first_busy_with_strike (struct fixture *f)
{
  choose_started_with_strike (&f->chooser, f->first);
}

static void
request_with_strike_first_busy (struct fixture *f)
{
  choose_started_with_strike (&f->chooser, f->first);
  f->request.has_strike = true;
}

static void
request_with_strike_both_busy (struct fixture *f)
{
  choose_started_with_strike (&f->chooser, f->first);
  choose_started_with_strike (&f->chooser, f->second);
  f->request.has_strike = true;
}

static void
request_with_strike_first_idle_again (struct fixture *f)
{
  choose_started_with_strike (&f->chooser, f->first);
  choose_finished_with_strike (&f->chooser, f->first);
  f->request.has_strike = true;
}

static void
first_loaded_by_own (struct fixture *f)
{
  for (int i = 0; i < 4; i++)
    choose_started (&f->chooser, f->first, NOW_MS);
}

static void
first_loaded_by_others (struct fixture *f)
{
  tables_member (&f->fleet, f->first, 0)->attested.running = 6;
}

static void
first_loaded_long_ago (struct fixture *f)
{
  struct fleet_attestation *attested
      = &tables_member (&f->fleet, f->first, 0)->attested;

  attested->running = 6;
  attested->load_age_ms = 60000;
}

static void
row_excludes_customer (struct fixture *f)
{
  f->rows[0].customers = (struct sheet_list)TABLES_LIST (list_other);
}

static void
row_excludes_customer_but_is_unchecked (struct fixture *f)
{
  row_excludes_customer (f);
  f->request.customer = NULL;
}

static void
row_in_other_data_centre (struct fixture *f)
{
  f->rows[0].data_centres = (struct sheet_list)TABLES_LIST (list_dc2);
}

static void
row_deleted (struct fixture *f)
{
  f->sheet.group_count = 0;
}

static void
all_absent (struct fixture *f)
{
  for (int i = 0; i < GROUPS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "g%d", i);
      expire_member_attestation (f, id);
    }
}

static struct fleet_host *
first_host (struct fixture *f)
{
  return fleet_find_host (&f->fleet, f->first);
}

static void
host_leaving (struct fixture *f)
{
  first_host (f)->listed_leaving = true;
}

static void
host_unlisted (struct fixture *f)
{
  first_host (f)->listed = false;
}

static void
host_attestation_expired (struct fixture *f)
{
  first_host (f)->attested.seen_ms
      = NOW_MS - FLEET_ATTESTATION_AGE_LIMIT_MS - 1;
}

static void
service_excludes_customer (struct fixture *f)
{
  f->services[0].customers = (struct sheet_list)TABLES_LIST (list_other);
}

static void
service_row_deleted (struct fixture *f)
{
  f->sheet.service_count = 0;
}

enum expected
{
  FIRST,
  SECOND,
  THIRD, /* an endpoint other than the two candidates */
  NONE,  /* RESULT_NO_CAPACITY */
};

struct choose_case
{
  const char *guards; /* the failure that the case guards against */
  void (*apply_change) (struct fixture *fixture);
  enum expected expected;
};

static const struct choose_case group_cases[] = {
  { "no endpoint although all serve", change_nothing, FIRST },
  { "request to a group with an absent member", first_member_absent, SECOND },
  { "request to a group below its span", first_short_of_members, SECOND },
  { "request to another generation", first_other_generation, SECOND },
  { "request to a loading member", first_loading, SECOND },
  { "request to a host listed as leaving", first_listed_leaving, SECOND },
  { "request to a drained host", first_drained, SECOND },
  { "request to a host that refused as leaving", first_refused, SECOND },
  { "request to a host that attests leaving", first_attests_leaving, SECOND },
  { "request to a draining group", first_group_draining, SECOND },
  { "work of a removed group moves to a third group", first_removed, SECOND },
  { "failure of both candidates refuses a request that never ran", both_absent,
    THIRD },
  { "request with a strike reaches a third group", both_absent_with_strike,
    NONE },
  { "request that may have run reaches a third group", both_absent_after_run,
    NONE },
  { "removed candidates let a request with a strike reach a third group",
    both_removed_with_strike, NONE },
  { "retry at the endpoint that failed", first_tried, SECOND },
  { "retry of a request that did not run is refused", both_tried, THIRD },
  { "retry of a request that may have run reaches a third group",
    both_tried_after_run, NONE },
  { "breaker opens before the fifth failure", first_fails_4_times, FIRST },
  { "breaker does not open at the fifth failure", first_fails_5_times, SECOND },
  { "breaker counts failures with a success between", first_fails_4_times_twice,
    FIRST },
  { "cancelled requests open the breaker", first_cancelled_often, FIRST },
  { "request without a strike avoids a group that runs one with a strike",
    first_busy_with_strike, FIRST },
  { "two requests with a strike run at one endpoint",
    request_with_strike_first_busy, SECOND },
  { "request with a strike joins another at a busy candidate",
    request_with_strike_both_busy, NONE },
  { "a finished request with a strike blocks others",
    request_with_strike_first_idle_again, FIRST },
  { "own requests are not counted", first_loaded_by_own, SECOND },
  { "reported load is not counted", first_loaded_by_others, SECOND },
  { "old report weighs like a new one", first_loaded_long_ago, FIRST },
  { "group of other customers is used", row_excludes_customer, NONE },
  { "a caller that checks no row is refused",
    row_excludes_customer_but_is_unchecked, FIRST },
  { "row moved to another data centre is used", row_in_other_data_centre,
    NONE },
  { "group whose row was deleted is used", row_deleted, NONE },
  { "failure of all groups still gives an endpoint", all_absent, NONE },
};

static const struct choose_case service_cases[] = {
  { "no endpoint although all serve", change_nothing, FIRST },
  { "call to a host listed as leaving", host_leaving, SECOND },
  { "call to a host that is not listed", host_unlisted, SECOND },
  { "call to a host without a recent attestation", host_attestation_expired,
    SECOND },
  { "retry at the endpoint that failed", first_tried, SECOND },
  { "breaker does not open at the fifth failure", first_fails_5_times, SECOND },
  { "own calls are not counted", first_loaded_by_own, SECOND },
  { "service of other customers is used", service_excludes_customer, NONE },
  { "service whose row was deleted is used", service_row_deleted, NONE },
};

static void
run_case (const struct choose_case *test, bool is_service)
{
  struct fixture fixture;
  struct choose_result result;
  enum result status;
  enum expected chosen = THIRD;

  set_up (&fixture);
  if (is_service)
    {
      fixture.request.model = NULL;
      fixture.request.service = "booking";
    }
  record_candidates (&fixture);
  test->apply_change (&fixture);
  status = run_choice (&fixture, NOW_MS, &result);
  if (status != RESULT_OK)
    {
      assert_int_equal (status, RESULT_NO_CAPACITY);
      chosen = NONE;
    }
  else if (strcmp (result.key, fixture.first) == 0)
    chosen = FIRST;
  else if (strcmp (result.key, fixture.second) == 0)
    chosen = SECOND;
  if (chosen != test->expected)
    print_error ("failure: %s\n", test->guards);
  assert_int_equal (chosen, test->expected);
  if (chosen != NONE)
    {
      assert_int_equal (result.key[0], is_service ? 's' : 'g');
      assert_int_equal (result.generation, is_service ? 0 : 5);
      if (!is_service)
        assert_string_equal (result.host,
                             tables_member (&fixture.fleet, result.key, 0)->id);
    }
  tear_down (&fixture);
}

static void
test_group_choice (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof group_cases / sizeof group_cases[0]; i++)
    run_case (&group_cases[i], false);
}

static void
test_service_choice (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof service_cases / sizeof service_cases[0]; i++)
    run_case (&service_cases[i], true);
}

struct position_case
{
  int64_t after_ms; /* since the first candidate was last seen serving */
  bool held;
};

/* Guards against work of a group that just failed moving to a third group. */
static const struct position_case position_cases[] = {
  { 0, true },
  { 5000, true },
  { POSITION_HOLD_MS - 1, true },
  { POSITION_HOLD_MS, false },
};

static void
test_stopped_group_keeps_position (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof position_cases / sizeof position_cases[0]; i++)
    {
      const struct position_case *test = &position_cases[i];
      int64_t now_ms = NOW_MS + test->after_ms;
      struct choose_result result;
      struct fixture fixture;

      set_up (&fixture);
      record_candidates (&fixture);
      tables_attest_all (&fixture.fleet, now_ms);
      expire_member_attestation (&fixture, fixture.first);
      choose_tick (&fixture.chooser, &fixture.fleet, now_ms);
      assert_int_equal (run_choice (&fixture, now_ms, &result), RESULT_OK);
      if (test->held)
        {
          assert_string_equal (result.key, fixture.second);
          assert_string_equal (result.rejected, "");
        }
      else
        assert_string_not_equal (result.rejected, "");
      tear_down (&fixture);
    }
}

/*
 * Guards against entry hosts that choose different candidates for identical
 * requests: a request that crashes endpoints could then reach four groups
 * before any strike is reported.
 */
static void
test_entry_hosts_choose_same_candidates (void **state)
{
  struct fixture a;
  struct fixture b;

  (void)state;
  set_up (&a);
  set_up (&b);
  chooser_init (&b.chooser, 99);
  for (int i = 0; i < 200; i++)
    {
      char fingerprint[16];
      struct choose_result x;
      struct choose_result y;

      snprintf (fingerprint, sizeof fingerprint, "f%d", i);
      a.request.fingerprint = fingerprint;
      a.request.prefix_hash = (uint64_t)i + 1;
      b.request = a.request;
      assert_int_equal (run_choice (&a, NOW_MS, &x), RESULT_OK);
      assert_int_equal (run_choice (&b, NOW_MS, &y), RESULT_OK);
      assert_true (
          (strcmp (x.key, y.key) == 0 && strcmp (x.rejected, y.rejected) == 0)
          || (strcmp (x.key, y.rejected) == 0
              && strcmp (x.rejected, y.key) == 0));
      choose_started (&a.chooser, x.key, NOW_MS);
    }
  tear_down (&a);
  tear_down (&b);
}

/* Guards against a straggler that gets as many requests as others, or none. */
static void
test_straggler_gets_few_requests (void **state)
{
  struct fixture fixture;
  unsigned slow_chosen = 0;
  const unsigned requests = 1000;

  (void)state;
  set_up (&fixture);
  record_candidates (&fixture);
  for (int i = 0; i < GROUPS; i++)
    {
      char id[16];
      bool slow;

      snprintf (id, sizeof id, "g%d", i);
      slow = strcmp (id, fixture.first) == 0;
      choose_started (&fixture.chooser, id, NOW_MS);
      choose_finished (&fixture.chooser, id, CHOOSE_END_SUCCESS,
                       slow ? 4000 : 1000, 100, NOW_MS);
    }
  for (unsigned i = 0; i < requests; i++)
    {
      struct choose_result result;

      assert_int_equal (run_choice (&fixture, NOW_MS, &result), RESULT_OK);
      slow_chosen += strcmp (result.key, fixture.first) == 0;
    }
  assert_in_range (slow_chosen, 1, requests / 10);
  tear_down (&fixture);
}

struct breaker_step
{
  int64_t at_ms; /* after NOW_MS */
  char event;    /* S start, f end in failure, s success, c cancelled */
  bool permits;  /* the breaker permits a call after the event */
};

/* Guards against a breaker that never closes, or floods a failing endpoint. */
static const struct breaker_step breaker_steps[] = {
  { 0, 'f', false }, /* the fifth failure opens it for 1 s */
  { 999, ' ', false },   { 1000, ' ', true },
  { 1000, 'S', false }, /* one probe runs */
  { 1000, 'f', false }, /* it failed: 2 s */
  { 2999, ' ', false },  { 3000, ' ', true },
  { 3000, 'S', false },  { 3000, 'c', true },   /* cancelled: another probe */
  { 3000, 'S', false },  { 3000, 'f', false },  /* 4 s */
  { 7000, 'S', false },  { 7000, 'f', false },  /* 8 s */
  { 15000, 'S', false }, { 15000, 'f', false }, /* 16 s */
  { 31000, 'S', false }, { 31000, 'f', false }, /* 30 s, the longest */
  { 60999, ' ', false }, { 61000, 'S', false },
  { 61000, 'f', false }, { 90999, ' ', false },
  { 91000, 'S', false }, { 91000, 's', true }, /* closed */
  { 91000, 'S', true },  { 91000, 'S', true },
  { 91000, 'f', true },  { 91000, 'f', true },
};

static void
test_breaker_opens_and_closes (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture);
  record_candidates (&fixture);
  fail_attempts (&fixture, fixture.first, 4);
  choose_started (&fixture.chooser, fixture.first, NOW_MS);
  fixture.request.excluded[0] = fixture.second;
  fixture.request.may_have_run = true; /* no third group */
  for (size_t i = 0; i < sizeof breaker_steps / sizeof breaker_steps[0]; i++)
    {
      const struct breaker_step *step = &breaker_steps[i];
      int64_t now_ms = NOW_MS + step->at_ms;
      enum choose_end end = step->event == 'f'   ? CHOOSE_END_FAILURE
                            : step->event == 's' ? CHOOSE_END_SUCCESS
                                                 : CHOOSE_END_CANCELLED;
      struct choose_result result;

      tables_attest_all (&fixture.fleet, now_ms);
      choose_tick (&fixture.chooser, &fixture.fleet, now_ms);
      if (step->event == 'S')
        choose_started (&fixture.chooser, fixture.first, now_ms);
      else if (step->event != ' ')
        choose_finished (&fixture.chooser, fixture.first, end, 10, 1, now_ms);
      assert_int_equal (run_choice (&fixture, now_ms, &result) == RESULT_OK,
                        step->permits);
    }
  tear_down (&fixture);
}

/* Guards against statistics of deleted endpoints filling the memory. */
static void
test_stale_statistics_are_freed (void **state)
{
  struct fixture fixture;
  int64_t later_ms = NOW_MS + 120000;

  (void)state;
  set_up (&fixture);
  choose_tick (&fixture.chooser, &fixture.fleet, NOW_MS);
  assert_int_equal (HASH_COUNT (fixture.chooser.stats), 2 * GROUPS + 2);
  choose_started (&fixture.chooser, "g0", NOW_MS);
  choose_tick (&fixture.chooser, &fixture.fleet, later_ms);
  /* Statistics with a request in flight stay until the request ends. */
  assert_int_equal (HASH_COUNT (fixture.chooser.stats), 1);
  choose_finished (&fixture.chooser, "g0", CHOOSE_END_SUCCESS, 10, 1, later_ms);
  choose_tick (&fixture.chooser, &fixture.fleet, later_ms);
  assert_int_equal (HASH_COUNT (fixture.chooser.stats), 0);
  /* The end of an attempt without statistics is ignored. */
  choose_finished (&fixture.chooser, "g0", CHOOSE_END_SUCCESS, 10, 1, later_ms);
  tear_down (&fixture);
}

/* Guards against counting slots of groups that do not serve. */
static void
test_total_slots (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        "m", NULL, NOW_MS),
                    GROUPS * TABLES_SLOTS);
  expire_member_attestation (&fixture, "g0");
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        "m", NULL, NOW_MS),
                    (GROUPS - 1) * TABLES_SLOTS);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc2",
                                        "m", NULL, NOW_MS),
                    TABLES_SLOTS);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        NULL, "booking", NOW_MS),
                    GROUPS * TABLES_SLOTS);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        "unknown", NULL, NOW_MS),
                    0);
  tear_down (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_group_choice),
    cmocka_unit_test (test_service_choice),
    cmocka_unit_test (test_stopped_group_keeps_position),
    cmocka_unit_test (test_entry_hosts_choose_same_candidates),
    cmocka_unit_test (test_straggler_gets_few_requests),
    cmocka_unit_test (test_breaker_opens_and_closes),
    cmocka_unit_test (test_stale_statistics_are_freed),
    cmocka_unit_test (test_total_slots),
  };

  return cmocka_run_group_tests_name ("choose", tests, NULL, NULL);
}
