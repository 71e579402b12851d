#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "choose.h"
#include "tables.h"

#define NOW TABLES_NOW
#define GROUPS 6
#define HOLD_MS 10000

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
  char first[CHOOSE_KEY_SIZE]; /* the candidates while all serve */
  char second[CHOOSE_KEY_SIZE];
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
choose (struct fixture *fixture, int64_t now_ms, struct choose_result *result)
{
  return choose_endpoint (&fixture->chooser, &fixture->fleet, &fixture->sheet,
                          "dc1", &fixture->request, now_ms, result);
}

/* Notes both candidates while every endpoint serves and is idle. */
static void
note_candidates (struct fixture *fixture)
{
  struct choose_result result;

  choose_tick (&fixture->chooser, &fixture->fleet, NOW);
  assert_int_equal (choose (fixture, NOW, &result), RESULT_OK);
  assert_string_not_equal (result.rejected, "");
  assert_string_not_equal (result.key, result.rejected);
  memcpy (fixture->first, result.key, sizeof fixture->first);
  memcpy (fixture->second, result.rejected, sizeof fixture->second);
}

static void
end_attempt (struct fixture *fixture, const char *key, enum choose_end end)
{
  choose_started (&fixture->chooser, key, NOW);
  choose_finished (&fixture->chooser, key, end, 100, 10, NOW);
}

static void
fail_often (struct fixture *fixture, const char *key, int times)
{
  for (int i = 0; i < times; i++)
    end_attempt (fixture, key, CHOOSE_END_FAILURE);
}

static void
member_gone (struct fixture *f, const char *group)
{
  tables_member (&f->fleet, group, 1)->attested.seen_ms
      = NOW - FLEET_ATTESTATION_MS - 1;
}

static void
none (struct fixture *f)
{
  (void)f;
}

static void
first_member_gone (struct fixture *f)
{
  member_gone (f, f->first);
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
both_gone (struct fixture *f)
{
  member_gone (f, f->first);
  member_gone (f, f->second);
}

static void
both_gone_struck (struct fixture *f)
{
  both_gone (f);
  f->request.struck = true;
}

static void
both_gone_ran (struct fixture *f)
{
  both_gone (f);
  f->request.may_have_run = true;
}

static void
both_removed_struck (struct fixture *f)
{
  fleet_remove_group (&f->fleet, f->first);
  fleet_remove_group (&f->fleet, f->second);
  f->request.struck = true;
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
both_tried_ran (struct fixture *f)
{
  both_tried (f);
  f->request.may_have_run = true;
}

static void
first_fails_4_times (struct fixture *f)
{
  fail_often (f, f->first, 4);
}

static void
first_fails_5_times (struct fixture *f)
{
  fail_often (f, f->first, 5);
}

static void
first_fails_4_times_twice (struct fixture *f)
{
  fail_often (f, f->first, 4);
  end_attempt (f, f->first, CHOOSE_END_SUCCESS);
  fail_often (f, f->first, 4);
}

static void
first_cancelled_often (struct fixture *f)
{
  for (int i = 0; i < 20; i++)
    end_attempt (f, f->first, CHOOSE_END_CANCELLED);
}

static void
first_has_struck (struct fixture *f)
{
  choose_struck_started (&f->chooser, f->first);
}

static void
struck_first_has_struck (struct fixture *f)
{
  choose_struck_started (&f->chooser, f->first);
  f->request.struck = true;
}

static void
struck_both_have_struck (struct fixture *f)
{
  choose_struck_started (&f->chooser, f->first);
  choose_struck_started (&f->chooser, f->second);
  f->request.struck = true;
}

static void
struck_first_had_struck (struct fixture *f)
{
  choose_struck_started (&f->chooser, f->first);
  choose_struck_finished (&f->chooser, f->first);
  f->request.struck = true;
}

static void
first_loaded_by_own (struct fixture *f)
{
  for (int i = 0; i < 4; i++)
    choose_started (&f->chooser, f->first, NOW);
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
row_excludes_but_unchecked (struct fixture *f)
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
row_gone (struct fixture *f)
{
  f->sheet.group_count = 0;
}

static void
all_gone (struct fixture *f)
{
  for (int i = 0; i < GROUPS; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "g%d", i);
      member_gone (f, id);
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
host_silent (struct fixture *f)
{
  first_host (f)->attested.seen_ms = NOW - FLEET_ATTESTATION_MS - 1;
}

static void
service_excludes_customer (struct fixture *f)
{
  f->services[0].customers = (struct sheet_list)TABLES_LIST (list_other);
}

static void
service_gone (struct fixture *f)
{
  f->sheet.service_count = 0;
}

enum expected
{
  FIRST,
  SECOND,
  THIRD, /* any other than the two candidates */
  NONE,  /* RESULT_NO_CAPACITY */
};

struct choose_case
{
  const char *guards; /* the failure that the case guards against */
  void (*change) (struct fixture *fixture);
  enum expected expected;
};

static const struct choose_case group_cases[] = {
  { "no endpoint although all serve", none, FIRST },
  { "request to a group with an absent member", first_member_gone, SECOND },
  { "request to a group below its span", first_short_of_members, SECOND },
  { "request to another generation", first_other_generation, SECOND },
  { "request to a loading member", first_loading, SECOND },
  { "request to a host listed as leaving", first_listed_leaving, SECOND },
  { "request to a drained host", first_drained, SECOND },
  { "request to a host that refused as leaving", first_refused, SECOND },
  { "request to a host that says it leaves", first_attests_leaving, SECOND },
  { "request to a group that is taken down", first_group_draining, SECOND },
  { "a removed group's work moves to a third", first_removed, SECOND },
  { "outage of both candidates refuses all", both_gone, THIRD },
  { "struck request reaches a third group", both_gone_struck, NONE },
  { "request that may have run reaches a third", both_gone_ran, NONE },
  { "removal lets a struck request go on", both_removed_struck, NONE },
  { "retry at the endpoint that failed", first_tried, SECOND },
  { "retry of what ran nowhere is refused", both_tried, THIRD },
  { "retry of what ran reaches a third group", both_tried_ran, NONE },
  { "breaker opens early", first_fails_4_times, FIRST },
  { "breaker does not open", first_fails_5_times, SECOND },
  { "breaker counts failures with a success between", first_fails_4_times_twice,
    FIRST },
  { "callers that go away open the breaker", first_cancelled_often, FIRST },
  { "unstruck requests avoid a group for a struck one", first_has_struck,
    FIRST },
  { "two struck requests at one endpoint", struck_first_has_struck, SECOND },
  { "struck request has nowhere to go but goes", struck_both_have_struck,
    NONE },
  { "a finished struck request blocks others", struck_first_had_struck, FIRST },
  { "own requests are not counted", first_loaded_by_own, SECOND },
  { "reported load is not counted", first_loaded_by_others, SECOND },
  { "old report weighs like a new one", first_loaded_long_ago, FIRST },
  { "group of other customers is used", row_excludes_customer, NONE },
  { "a caller that checks no row is refused", row_excludes_but_unchecked,
    FIRST },
  { "row moved to another data centre is used", row_in_other_data_centre,
    NONE },
  { "group whose row is gone is used", row_gone, NONE },
  { "total outage gives an endpoint", all_gone, NONE },
};

static const struct choose_case service_cases[] = {
  { "no endpoint although all serve", none, FIRST },
  { "call to a host that leaves", host_leaving, SECOND },
  { "call to a host that is not listed", host_unlisted, SECOND },
  { "call to a host that is silent", host_silent, SECOND },
  { "retry at the endpoint that failed", first_tried, SECOND },
  { "breaker does not open", first_fails_5_times, SECOND },
  { "own calls are not counted", first_loaded_by_own, SECOND },
  { "service of other customers is used", service_excludes_customer, NONE },
  { "service whose row is gone is used", service_gone, NONE },
};

static void
run_case (const struct choose_case *test, bool is_service)
{
  struct fixture fixture;
  struct choose_result result;
  enum result status;
  enum expected got = THIRD;

  set_up (&fixture);
  if (is_service)
    {
      fixture.request.model = NULL;
      fixture.request.service = "booking";
    }
  note_candidates (&fixture);
  test->change (&fixture);
  status = choose (&fixture, NOW, &result);
  if (status != RESULT_OK)
    {
      assert_int_equal (status, RESULT_NO_CAPACITY);
      got = NONE;
    }
  else if (strcmp (result.key, fixture.first) == 0)
    got = FIRST;
  else if (strcmp (result.key, fixture.second) == 0)
    got = SECOND;
  if (got != test->expected)
    print_error ("failure: %s\n", test->guards);
  assert_int_equal (got, test->expected);
  if (got != NONE)
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
test_groups (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof group_cases / sizeof group_cases[0]; i++)
    run_case (&group_cases[i], false);
}

static void
test_services (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof service_cases / sizeof service_cases[0]; i++)
    run_case (&service_cases[i], true);
}

struct position_case
{
  int64_t after_ms; /* since the first candidate stopped serving */
  bool held;
};

/* The work of a group that just died moving on to a third group. */
static const struct position_case position_cases[] = {
  { 0, true },
  { 5000, true },
  { HOLD_MS - 1, true },
  { HOLD_MS, false },
};

static void
test_position_is_held (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof position_cases / sizeof position_cases[0]; i++)
    {
      const struct position_case *test = &position_cases[i];
      int64_t now_ms = NOW + test->after_ms;
      struct choose_result result;
      struct fixture fixture;

      set_up (&fixture);
      note_candidates (&fixture);
      tables_attest_all (&fixture.fleet, now_ms);
      member_gone (&fixture, fixture.first);
      choose_tick (&fixture.chooser, &fixture.fleet, now_ms);
      assert_int_equal (choose (&fixture, now_ms, &result), RESULT_OK);
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
 * Two entry hosts that choose other candidates for identical requests: a crash
 * request could reach four groups before any strike is told.
 */
static void
test_entry_hosts_agree (void **state)
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
      assert_int_equal (choose (&a, NOW, &x), RESULT_OK);
      assert_int_equal (choose (&b, NOW, &y), RESULT_OK);
      assert_true (
          (strcmp (x.key, y.key) == 0 && strcmp (x.rejected, y.rejected) == 0)
          || (strcmp (x.key, y.rejected) == 0
              && strcmp (x.rejected, y.key) == 0));
      choose_started (&a.chooser, x.key, NOW);
    }
  tear_down (&a);
  tear_down (&b);
}

/* A straggler that gets as many requests as others, or none for ever. */
static void
test_straggler_gets_a_trickle (void **state)
{
  struct fixture fixture;
  unsigned slow_chosen = 0;
  const unsigned requests = 1000;

  (void)state;
  set_up (&fixture);
  note_candidates (&fixture);
  for (int i = 0; i < GROUPS; i++)
    {
      char id[16];
      bool slow;

      snprintf (id, sizeof id, "g%d", i);
      slow = strcmp (id, fixture.first) == 0;
      choose_started (&fixture.chooser, id, NOW);
      choose_finished (&fixture.chooser, id, CHOOSE_END_SUCCESS,
                       slow ? 4000 : 1000, 100, NOW);
    }
  for (unsigned i = 0; i < requests; i++)
    {
      struct choose_result result;

      assert_int_equal (choose (&fixture, NOW, &result), RESULT_OK);
      slow_chosen += strcmp (result.key, fixture.first) == 0;
    }
  assert_in_range (slow_chosen, 1, requests / 10);
  tear_down (&fixture);
}

struct breaker_step
{
  int64_t at_ms; /* after NOW */
  char event;    /* S start, f end in failure, s success, c cancelled */
  bool permits;  /* the breaker lets a call by after the event */
};

/* An open breaker that never closes, or that floods a failing endpoint. */
static const struct breaker_step breaker_steps[] = {
  { 0, 'f', false }, /* the fifth failure opens it for 1 s */
  { 999, ' ', false },   { 1000, ' ', true },
  { 1000, 'S', false }, /* one trial runs */
  { 1000, 'f', false }, /* it failed: 2 s */
  { 2999, ' ', false },  { 3000, ' ', true },
  { 3000, 'S', false },  { 3000, 'c', true },   /* no verdict: another trial */
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
test_breaker (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture);
  note_candidates (&fixture);
  fail_often (&fixture, fixture.first, 4);
  choose_started (&fixture.chooser, fixture.first, NOW);
  fixture.request.excluded[0] = fixture.second;
  fixture.request.may_have_run = true; /* no third group */
  for (size_t i = 0; i < sizeof breaker_steps / sizeof breaker_steps[0]; i++)
    {
      const struct breaker_step *step = &breaker_steps[i];
      int64_t now_ms = NOW + step->at_ms;
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
      assert_int_equal (choose (&fixture, now_ms, &result) == RESULT_OK,
                        step->permits);
    }
  tear_down (&fixture);
}

/* Statistics of endpoints that are gone filling the memory. */
static void
test_stale_statistics_go (void **state)
{
  struct fixture fixture;
  int64_t later_ms = NOW + 120000;

  (void)state;
  set_up (&fixture);
  choose_tick (&fixture.chooser, &fixture.fleet, NOW);
  assert_int_equal (HASH_COUNT (fixture.chooser.stats), 2 * GROUPS + 2);
  choose_started (&fixture.chooser, "g0", NOW);
  choose_tick (&fixture.chooser, &fixture.fleet, later_ms);
  /* The one with a request in flight stays until that ends. */
  assert_int_equal (HASH_COUNT (fixture.chooser.stats), 1);
  choose_finished (&fixture.chooser, "g0", CHOOSE_END_SUCCESS, 10, 1, later_ms);
  choose_tick (&fixture.chooser, &fixture.fleet, later_ms);
  assert_int_equal (HASH_COUNT (fixture.chooser.stats), 0);
  /* An end without statistics is ignored. */
  choose_finished (&fixture.chooser, "g0", CHOOSE_END_SUCCESS, 10, 1, later_ms);
  tear_down (&fixture);
}

/* Admission that hands out slots of groups that do not serve. */
static void
test_total_slots (void **state)
{
  struct fixture fixture;

  (void)state;
  set_up (&fixture);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        "m", NULL, NOW),
                    GROUPS * TABLES_SLOTS);
  member_gone (&fixture, "g0");
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        "m", NULL, NOW),
                    (GROUPS - 1) * TABLES_SLOTS);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc2",
                                        "m", NULL, NOW),
                    TABLES_SLOTS);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        NULL, "booking", NOW),
                    GROUPS * TABLES_SLOTS);
  assert_int_equal (choose_total_slots (&fixture.fleet, &fixture.sheet, "dc1",
                                        "unknown", NULL, NOW),
                    0);
  tear_down (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_groups),
    cmocka_unit_test (test_services),
    cmocka_unit_test (test_position_is_held),
    cmocka_unit_test (test_entry_hosts_agree),
    cmocka_unit_test (test_straggler_gets_a_trickle),
    cmocka_unit_test (test_breaker),
    cmocka_unit_test (test_stale_statistics_go),
    cmocka_unit_test (test_total_slots),
  };

  return cmocka_run_group_tests_name ("choose", tests, NULL, NULL);
}
