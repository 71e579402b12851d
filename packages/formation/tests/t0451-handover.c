#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fixture.h"

/* What a holder of the lease may order, with late orders and lost knowledge. */

#define OLD_GROUP "casa-a-1-1"
#define OLD_EPOCH ((UINT64_C (1) << 20) | 1)

static struct fixture fixture;

struct claim_case
{
  const char *guards; /* failure that the case guards against */
  enum endpoint_group_state state;
  unsigned rank;
  const char *group;
  bool is_abandoned;              /* by this holder */
  enum endpoint_group_state head; /* NONE = not known, or it does not respond */
  enum formation_claim claim;
};

/* clang-format off */
static const struct claim_case claim_cases[] = {
  { "an endpoint in no group is not used", ENDPOINT_GROUP_NONE, 0, "", false, ENDPOINT_GROUP_NONE, FORMATION_CLAIM_TAKE },
  { "a spare is ordered to leave first", ENDPOINT_GROUP_READY, 0, "a-1-1-spare", false, ENDPOINT_GROUP_READY, FORMATION_CLAIM_TAKE },
  { "a member of a joining group is taken", ENDPOINT_GROUP_JOINING, 2, OLD_GROUP, false, ENDPOINT_GROUP_JOINING, FORMATION_CLAIM_LEAVE },
  { "a member is taken while its head may be ordered to open", ENDPOINT_GROUP_READY, 2, OLD_GROUP, false, ENDPOINT_GROUP_READY, FORMATION_CLAIM_LEAVE },
  { "a member is taken from an open group", ENDPOINT_GROUP_READY, 2, OLD_GROUP, false, ENDPOINT_GROUP_OPEN, FORMATION_CLAIM_LEAVE },
  { "a member is taken whose head is not known", ENDPOINT_GROUP_READY, 2, OLD_GROUP, false, ENDPOINT_GROUP_NONE, FORMATION_CLAIM_LEAVE },
  { "a head that can still be ordered to open is taken", ENDPOINT_GROUP_READY, 0, OLD_GROUP, false, ENDPOINT_GROUP_READY, FORMATION_CLAIM_LEAVE },
  { "an open head is taken", ENDPOINT_GROUP_OPEN, 0, OLD_GROUP, false, ENDPOINT_GROUP_OPEN, FORMATION_CLAIM_EVICT },
  { "a closing head is taken", ENDPOINT_GROUP_CLOSING, 0, OLD_GROUP, true, ENDPOINT_GROUP_CLOSING, FORMATION_CLAIM_EVICT },
  { "a member of a group that was given up is taken from an open head", ENDPOINT_GROUP_READY, 2, OLD_GROUP, true, ENDPOINT_GROUP_OPEN, FORMATION_CLAIM_LEAVE },
  { "a member of a group that was given up is taken from a head out of reach", ENDPOINT_GROUP_READY, 2, OLD_GROUP, true, ENDPOINT_GROUP_NONE, FORMATION_CLAIM_LEAVE },
  { "a member of a group that was given up has to leave in an order of its own", ENDPOINT_GROUP_READY, 2, OLD_GROUP, true, ENDPOINT_GROUP_READY, FORMATION_CLAIM_TAKE },
  { "a broken group keeps its members", ENDPOINT_GROUP_READY, 2, OLD_GROUP, true, ENDPOINT_GROUP_BROKEN, FORMATION_CLAIM_TAKE },
};
/* clang-format on */

static void
test_claims (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof claim_cases / sizeof claim_cases[0]; i++)
    {
      const struct claim_case *c = &claim_cases[i];
      const struct endpoint_report head = { .state = c->head };
      struct endpoint_report report = { .state = c->state, .rank = c->rank };

      report.epoch = c->state != ENDPOINT_GROUP_NONE ? OLD_EPOCH : 0;
      report.group = c->group;
      if (formation_may_take (&report, c->is_abandoned ? OLD_EPOCH : 0,
                              c->head != ENDPOINT_GROUP_NONE ? &head : NULL)
          != c->claim)
        fail_msg ("%s", c->guards);
    }
}

struct join_case
{
  const char *guards;
  const char *basis;  /* group that the decision is based on; "" = none */
  int64_t started_ms; /* the decision is based on a start at 100 ms */
  enum endpoint_group_state state;
  const char *group; /* that the endpoint reports now */
  enum formation_join_step step;
};

/* clang-format off */
static const struct join_case join_cases[] = {
  { "no join is sent", "", 100, ENDPOINT_GROUP_NONE, "", FORMATION_JOIN_SEND },
  { "an endpoint that a late order took elsewhere is joined", "", 100, ENDPOINT_GROUP_JOINING, OLD_GROUP, FORMATION_JOIN_RETRY },
  { "an endpoint in an open group is joined", "", 100, ENDPOINT_GROUP_OPEN, OLD_GROUP, FORMATION_JOIN_RETRY },
  { "an endpoint joins while it is in its old group", OLD_GROUP, 100, ENDPOINT_GROUP_READY, OLD_GROUP, FORMATION_JOIN_LEAVE_FIRST },
  { "an endpoint that has left already is not joined", OLD_GROUP, 100, ENDPOINT_GROUP_NONE, "", FORMATION_JOIN_SEND },
  { "an endpoint leaves a group that the decision did not know", OLD_GROUP, 100, ENDPOINT_GROUP_READY, "other", FORMATION_JOIN_RETRY },
  { "a new incarnation is joined by a decision on the old one", "", 200, ENDPOINT_GROUP_NONE, "", FORMATION_JOIN_DROP },
  { "an endpoint that does not tell its start is never joined", "", 0, ENDPOINT_GROUP_NONE, "", FORMATION_JOIN_SEND },
  { "a join is repeated though it was carried out", "", 100, ENDPOINT_GROUP_JOINING, "new", FORMATION_JOIN_DROP },
  { "a spare has to leave first", "a-1-1-spare", 100, ENDPOINT_GROUP_READY, "a-1-1-spare", FORMATION_JOIN_SEND },
};
/* clang-format on */

static uint64_t
find_epoch (const char *group)
{
  if (group[0] == '\0')
    return 0;
  return strcmp (group, "new") == 0 ? OLD_EPOCH + 5 : OLD_EPOCH;
}

static void
test_joins (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof join_cases / sizeof join_cases[0]; i++)
    {
      const struct join_case *c = &join_cases[i];
      struct formation_basis basis = { .started_ms = 100 };
      struct endpoint_report report
          = { .started_ms = c->started_ms, .state = c->state };

      basis.group = c->basis;
      basis.epoch = find_epoch (c->basis);
      report.group = c->group;
      report.epoch = find_epoch (c->group);
      if (formation_check_join (&basis, "new", OLD_EPOCH + 5, &report)
          != c->step)
        fail_msg ("%s", c->guards);
    }
}

/* Puts endpoint "d0-RANK" into the group of an earlier holder. */
static void
report_member (unsigned rank, enum endpoint_group_state state)
{
  struct endpoint *endpoint;
  struct endpoint_report report;
  char id[FIXTURE_NAME_SIZE];

  snprintf (id, sizeof id, "d0-%u", rank);
  endpoint = endpoints_find (&fixture.endpoints, id);
  report = endpoint->report;
  report.state = state;
  report.rank = rank;
  report.epoch = OLD_EPOCH;
  report.group = OLD_GROUP;
  report.model = "";
  /* Members that are joining report no model. */
  if (state != ENDPOINT_GROUP_JOINING)
    report.model = "m0";
  fixture_report (&fixture, id, &report);
}

struct joining_case
{
  const char *guards;
  unsigned joined;  /* ranks that report the group; the group has four */
  unsigned missing; /* rank that does not; 9 = none */
  unsigned ready;   /* ranks below it are ready, the others are joining */
  bool is_kept;     /* the group opens once all are ready */
};

static const struct joining_case joining_cases[] = {
  { "a group whose members are all joining is taken apart", 4, 9, 0, true },
  { "members that still join are taken from a group", 4, 9, 2, true },
  { "a group that is ready is formed again", 4, 9, 4, true },
  { "a group without its head waits for ever", 4, 0, 0, false },
  { "a group with a gap waits for ever", 4, 2, 0, false },
  { "an incomplete group is opened", 3, 9, 3, false },
};

/* A group that is joining when the lease changes hands. */
static void
test_joining_groups_are_adopted (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof joining_cases / sizeof joining_cases[0]; i++)
    {
      const struct joining_case *c = &joining_cases[i];
      unsigned joins;

      fixture_init (&fixture);
      formation_set_fence (&fixture.formation, 2, fixture.now_ms);
      fixture.formation.has_traffic = true;
      fixture_add_endpoints (&fixture, "d0", 8, "m0");
      for (unsigned rank = 0; rank < c->joined; rank++)
        if (rank != c->missing)
          report_member (rank, rank < c->ready ? ENDPOINT_GROUP_READY
                                               : ENDPOINT_GROUP_JOINING);
      fixture_tick (&fixture, 1000);
      joins = fixture_count_orders (&fixture, FORMATION_JOIN);
      for (unsigned j = 0; j < fixture.order_count; j++)
        if (fixture.orders[j].op == FORMATION_JOIN && c->is_kept
            && fixture.orders[j].endpoint[3] < '4')
          fail_msg ("%s: %s", c->guards, fixture.orders[j].endpoint);
      fixture_tick (&fixture, 3000);
      for (unsigned rank = 0; rank < c->joined; rank++)
        if (c->is_kept)
          report_member (rank, ENDPOINT_GROUP_READY);
      fixture_tick (&fixture, 3000);
      if (fixture_is_head_open (&fixture, OLD_GROUP, OLD_EPOCH) != c->is_kept)
        fail_msg ("%s", c->guards);
      if (fixture_count_open_groups (&fixture, "m0") != 2)
        fail_msg ("%s: %u open after %u joins", c->guards,
                  fixture_count_open_groups (&fixture, "m0"), joins);
      assert_int_equal (fixture.joined_while_open, 0);
      fixture_finish (&fixture);
    }
}

/* Endpoint "d0-RANK" starts again, in no group. */
static void
restart_member (unsigned rank)
{
  struct endpoint_report report;
  char id[FIXTURE_NAME_SIZE];

  snprintf (id, sizeof id, "d0-%u", rank);
  report = endpoints_find (&fixture.endpoints, id)->report;
  report.state = ENDPOINT_GROUP_NONE;
  report.group = "";
  report.epoch = 0;
  report.rank = 0;
  report.started_ms = fixture.now_ms;
  fixture_report (&fixture, id, &report);
}

enum late_event
{
  MEMBERS_RESTART,
  MODEL_IS_UNKNOWN,
  HEAD_BREAKS,
};

struct stuck_case
{
  const char *guards;
  unsigned joined; /* ranks that report the group */
  enum endpoint_group_state state;
  enum late_event event;
};

static const struct stuck_case stuck_cases[] = {
  { "a group whose only known member restarts is never ended", 1,
    ENDPOINT_GROUP_JOINING, MEMBERS_RESTART },
  { "a group that all members have left is never ended", 4,
    ENDPOINT_GROUP_JOINING, MEMBERS_RESTART },
  { "a group of a model that is not configured is never ended", 4,
    ENDPOINT_GROUP_JOINING, MODEL_IS_UNKNOWN },
  { "a broken head is ordered to open for ever", 4, ENDPOINT_GROUP_READY,
    HEAD_BREAKS },
};

/* Groups of an earlier holder that can never serve. */
static void
test_groups_without_a_future_end (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof stuck_cases / sizeof stuck_cases[0]; i++)
    {
      const struct stuck_case *c = &stuck_cases[i];

      fixture_init (&fixture);
      formation_set_fence (&fixture.formation, 2, fixture.now_ms);
      fixture.formation.has_traffic = true;
      fixture_add_endpoints (&fixture, "d0", 4, "m0");
      for (unsigned rank = 0; rank < c->joined; rank++)
        report_member (rank, c->state);
      if (c->event == HEAD_BREAKS)
        report_member (0, ENDPOINT_GROUP_BROKEN);
      fixture_tick (&fixture, 200);
      for (unsigned rank = 0; rank < c->joined; rank++)
        if (c->event == MEMBERS_RESTART)
          restart_member (rank);
        else if (c->event == MODEL_IS_UNKNOWN)
          {
            struct endpoint_report report;
            char id[FIXTURE_NAME_SIZE];

            report_member (rank, ENDPOINT_GROUP_READY);
            snprintf (id, sizeof id, "d0-%u", rank);
            report = endpoints_find (&fixture.endpoints, id)->report;
            report.model = "withdrawn";
            fixture_report (&fixture, id, &report);
          }
      fixture_tick (&fixture, 12000);
      if (fixture_count_open_groups (&fixture, "m0") != 1
          || fixture_is_head_open (&fixture, OLD_GROUP, OLD_EPOCH))
        fail_msg ("%s", c->guards);
      fixture_finish (&fixture);
    }
}

struct missing_case
{
  const char *guards;
  int64_t missing_ms; /* since the new holder began to act */
  bool is_kept;
};

static const struct missing_case missing_cases[] = {
  { "a group is evicted for an entry that is back at once", 100, true },
  { "a group is evicted for an entry that the platform's outage ended", 2000,
    true },
  { "a group without one of its members is kept", 9000, false },
};

/* A new holder does not find the entry of a member of a group that serves. */
static void
test_missing_entry_of_serving_group (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof missing_cases / sizeof missing_cases[0]; i++)
    {
      const struct missing_case *c = &missing_cases[i];

      fixture_init (&fixture);
      formation_set_fence (&fixture.formation, 2, fixture.now_ms);
      fixture.formation.has_traffic = true;
      fixture_add_endpoints (&fixture, "d0", 3, "m0");
      report_member (0, ENDPOINT_GROUP_OPEN);
      report_member (1, ENDPOINT_GROUP_READY);
      report_member (2, ENDPOINT_GROUP_READY);
      fixture_tick (&fixture, c->missing_ms);
      fixture_add_endpoint (&fixture, "d0", "d0-3", "m0");
      report_member (3, ENDPOINT_GROUP_READY);
      fixture_tick (&fixture, 3000);
      if ((fixture_count_orders (&fixture, FORMATION_EVICT) == 0) != c->is_kept)
        fail_msg ("%s", c->guards);
      assert_int_equal (fixture.joined_while_open, 0);
      fixture_finish (&fixture);
    }
}

static bool
is_in_two_groups (const char *id)
{
  const struct formation_group *group;
  unsigned count = 0;

  TAILQ_FOREACH (group, &fixture.formation.groups, link)
    for (unsigned rank = 0; rank < group->size; rank++)
      if (strcmp (group->members[rank], id) == 0)
        count++;
  return count > 1;
}

/* A member that restarts while its group forms counts as free for another. */
static void
test_restarted_member_is_in_one_group (void **state)
{
  struct endpoint_report report;

  (void)state;
  fixture_init (&fixture);
  fixture.formation.has_traffic = true;
  fixture.ignores_orders = true;
  fixture_add_endpoints (&fixture, "d0", 4, "m0");
  fixture_tick (&fixture, 500);
  assert_int_equal (fixture_count_orders (&fixture, FORMATION_JOIN), 4);
  fixture_add_endpoints (&fixture, "d0", 7, "m0");
  report = endpoints_find (&fixture.endpoints, "d0-2")->report;
  report.started_ms = fixture.now_ms;
  fixture_report (&fixture, "d0-2", &report);
  fixture_tick (&fixture, 100);
  assert_false (is_in_two_groups ("d0-2"));
  fixture_finish (&fixture);
}

/* A member that a late order took into a group that serves is joined again. */
static void
test_join_is_not_repeated_into_open_group (void **state)
{
  struct endpoint_report report;

  (void)state;
  fixture_init (&fixture);
  formation_set_fence (&fixture.formation, 2, fixture.now_ms);
  fixture.formation.has_traffic = true;
  fixture.ignores_orders = true;
  fixture_add_endpoints (&fixture, "d0", 4, "m0");
  fixture_tick (&fixture, 100);
  assert_int_equal (fixture_count_orders (&fixture, FORMATION_JOIN), 4);
  report = endpoints_find (&fixture.endpoints, "d0-0")->report;
  fixture_add_endpoint (&fixture, "d1", "head", "m0");
  report.state = ENDPOINT_GROUP_OPEN;
  report.epoch = OLD_EPOCH;
  report.group = OLD_GROUP;
  report.model = "m0";
  fixture_report (&fixture, "head", &report);
  report_member (2, ENDPOINT_GROUP_READY);
  fixture_tick (&fixture, 1500);
  assert_int_equal (fixture.joined_while_open, 0);
  fixture_finish (&fixture);
}

/* A host that gets its lease again after a gap ends the groups that it formed.
 */
static void
test_own_groups_are_adopted_after_a_gap (void **state)
{
  static const int64_t gaps_ms[] = { 200, 1000, 4000 };

  (void)state;
  for (size_t i = 0; i < sizeof gaps_ms / sizeof gaps_ms[0]; i++)
    {
      fixture_init (&fixture);
      fixture.formation.has_traffic = true;
      fixture_add_endpoints (&fixture, "d0", 8, "m0");
      fixture_tick (&fixture, 3000);
      assert_int_equal (fixture_count_open_groups (&fixture, "m0"), 2);
      formation_set_fence (&fixture.formation, 0, fixture.now_ms);
      formation_set_fence (&fixture.formation, 1, fixture.now_ms);
      /* No decision before the list of endpoints is current again. */
      fixture.now_ms += gaps_ms[i];
      fixture_tick (&fixture, 3000);
      assert_int_equal (fixture_count_orders (&fixture, FORMATION_EVICT), 0);
      assert_int_equal (fixture_count_orders (&fixture, FORMATION_LEAVE), 0);
      assert_int_equal (fixture_count_open_groups (&fixture, "m0"), 2);
      fixture_finish (&fixture);
    }
}

/* An order that waited for its connection is sent though it is not wanted. */
static void
test_orders_end_with_their_group (void **state)
{
  const struct formation_group *group;
  uint64_t epoch;

  (void)state;
  fixture_init (&fixture);
  fixture.formation.has_traffic = true;
  fixture.ignores_orders = true;
  fixture_add_endpoints (&fixture, "d0", 4, "m0");
  fixture_tick (&fixture, 100);
  group = TAILQ_FIRST (&fixture.formation.groups);
  assert_non_null (group);
  epoch = group->epoch;
  assert_true (formation_is_order_current (&fixture.formation, FORMATION_JOIN,
                                           "d0-1", group->name, epoch));
  assert_false (formation_is_order_current (&fixture.formation, FORMATION_JOIN,
                                            "d0-1", group->name, epoch - 1));
  assert_false (formation_is_order_current (&fixture.formation, FORMATION_OPEN,
                                            "d0-0", group->name, epoch));
  endpoints_delete (&fixture.endpoints, "d0-3", ++fixture.revision,
                    fixture.now_ms);
  fixture_tick (&fixture, 100);
  assert_false (formation_is_order_current (&fixture.formation, FORMATION_JOIN,
                                            "d0-1", "casa-a-1-1", epoch));
  fixture_finish (&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_claims),
    cmocka_unit_test (test_joins),
    cmocka_unit_test (test_joining_groups_are_adopted),
    cmocka_unit_test (test_groups_without_a_future_end),
    cmocka_unit_test (test_missing_entry_of_serving_group),
    cmocka_unit_test (test_restarted_member_is_in_one_group),
    cmocka_unit_test (test_join_is_not_repeated_into_open_group),
    cmocka_unit_test (test_own_groups_are_adopted_after_a_gap),
    cmocka_unit_test (test_orders_end_with_their_group),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
