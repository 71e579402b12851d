#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fixture.h"
#include "placement.h"

#define NOW 200000
#define TEXT_SIZE 4096

/*
 * Hosts of data centre dc are named DOMAIN-N.  The placement is computed at
 * NOW. Before, the history observes 100 s in which every host is present,
 * except as marks say: absent:MS (since MS before NOW), flaps, leaving,
 * drained, unlisted, loading, busy:REQUESTS, weights:VERSION (it has the
 * weights of VERSION).
 */
struct placement_case
{
  const char *guarded_failure;
  const char *domains;   /* "DOMAIN:HOSTS ..." */
  const char *specs[4];  /* "NAME SPAN COUNT DCS DOMAINS HOSTS VERSION" */
  const char *groups[4]; /* "N SPEC SPAN VERSION DOMAIN FIRST FLAG": members
                            are DOMAIN-FIRST on; FLAG is - or the time in ms
                            for which the group has been draining */
  const char *marks;     /* "HOST=MARK:NUMBER ..." */
  const char *decisions; /* "STEP GROUP-OR-SPEC;..." */
  const char *result;    /* "GROUP=MEMBERS;..." */
};

static const struct placement_case cases[] = {
  { "a group spreads over two domains",
    "a:2 b:2 c:3",
    { "s 3 1 dc * * 1" },
    { NULL },
    "",
    "form s.dc.0;",
    "s.dc.0=c-0,c-1,c-2;" },
  { "a large domain is broken up although a small one fits",
    "a:4 b:2",
    { "s 2 1 dc * * 1" },
    { NULL },
    "",
    "form s.dc.0;",
    "s.dc.0=b-0,b-1;" },
  { "a group takes hosts of the only domain that fits a later spec",
    "a:5 b:4",
    { "s 2 1 dc * * 1", "t 5 1 dc * * 1" },
    { NULL },
    "",
    "form s.dc.0;form t.dc.0;",
    "s.dc.0=b-0,b-1;t.dc.0=a-0,a-1,a-2,a-3,a-4;" },
  { "a spec gets its second group before another gets its first",
    "a:4",
    { "s 2 2 dc * * 1", "t 2 1 dc * * 1" },
    { NULL },
    "",
    "form s.dc.0;form t.dc.0;unplaced s;",
    "s.dc.0=a-0,a-1;t.dc.0=a-2,a-3;" },
  { "a host is given to two groups",
    "a:3",
    { "s 2 1 dc * * 1", "t 2 1 dc * * 1" },
    { NULL },
    "",
    "form s.dc.0;unplaced t;",
    "s.dc.0=a-0,a-1;" },
  { "a group is formed in a forbidden domain",
    "a:4 b:2",
    { "s 2 1 dc a * 1" },
    { NULL },
    "",
    "form s.dc.0;",
    "s.dc.0=a-0,a-1;" },
  { "a group gets a forbidden host",
    "a:4",
    { "s 2 1 dc * a-1;a-3 1" },
    { NULL },
    "",
    "form s.dc.0;",
    "s.dc.0=a-1,a-3;" },
  { "a group is formed in a forbidden data centre",
    "a:4",
    { "s 2 1 other * * 1" },
    { NULL },
    "",
    "",
    "" },
  { "a leaving, drained, unlisted or held host joins a group",
    "a:6",
    { "s 2 1 dc * * 1" },
    { NULL },
    "a-0=leaving:0 a-1=drained:0 a-2=unlisted:0 a-3=flaps:0",
    "form s.dc.0;",
    "s.dc.0=a-4,a-5;" },
  { "a host without the weights is preferred",
    "a:4",
    { "s 2 1 dc * * 1" },
    { NULL },
    "a-2=weights:1 a-3=weights:1",
    "form s.dc.0;",
    "s.dc.0=a-2,a-3;" },
  { "a complete group moves to a domain that fits better",
    "a:4 b:2",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 1 -" },
    "",
    "",
    "s.dc.0=a-1,a-2;" },
  { "a short pause of a host causes a reload",
    "a:4",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 -" },
    "a-1=absent:3000",
    "wait s.dc.0;",
    "s.dc.0=a-0,a-1;" },
  { "a group waits for a failed host although there is a spare",
    "a:4",
    { "s 3 1 dc * * 1" },
    { "0 s 3 1 a 0 -" },
    "a-1=absent:60000 a-3=weights:1",
    "replace s.dc.0;",
    "s.dc.0=a-0,a-3,a-2;" },
  { "a group is not formed elsewhere when its domain has no spare",
    "a:2 b:3",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 -" },
    "a-1=absent:90000 b-0=weights:1 b-1=weights:1 b-2=weights:1",
    "move s.dc.0;",
    "s.dc.0=b-0,b-1;" },
  { "a group is dissolved although no other domain has the capacity",
    "a:2 b:1",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 -" },
    "a-1=absent:90000",
    "wait s.dc.0;",
    "s.dc.0=a-0,a-1;" },
  { "two incomplete groups of a domain stay down although one could serve",
    "a:6",
    { "s 3 2 dc * * 1" },
    { "0 s 3 1 a 0 -", "1 s 3 1 a 3 -" },
    "a-1=absent:90000 a-4=absent:90000",
    "dissolve s.dc.1;replace s.dc.0;unplaced s;",
    "s.dc.0=a-0,a-3,a-2;" },
  { "a domain outage causes a reload storm",
    "a:6 b:6",
    { "s 3 2 dc * * 1" },
    { "0 s 3 1 a 0 -", "1 s 3 1 b 0 -" },
    "a-0=absent:15000 a-1=absent:15000 a-2=absent:15000 a-3=absent:15000 "
    "b-3=weights:1 b-4=weights:1 b-5=weights:1",
    "wait s.dc.0;",
    "s.dc.0=a-0,a-1,a-2;s.dc.1=b-0,b-1,b-2;" },
  { "repair still waits after outage_hold_ms of a domain outage has passed",
    "a:6 b:6",
    { "s 3 2 dc * * 1" },
    { "0 s 3 1 a 0 -", "1 s 3 1 b 0 -" },
    "a-0=absent:90000 a-1=absent:90000 a-2=absent:90000 a-3=absent:90000 "
    "b-3=weights:1 b-4=weights:1 b-5=weights:1",
    "move s.dc.0;",
    "s.dc.0=b-3,b-4,b-5;s.dc.1=b-0,b-1,b-2;" },
  { "work in flight is cut off when a member leaves",
    "a:4",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 -" },
    "a-1=leaving:0",
    "drain s.dc.0;",
    "s.dc.0~a-0,a-1;" },
  { "a leaving member is never replaced",
    "a:4",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 10000" },
    "a-1=leaving:0",
    "replace s.dc.0;",
    "s.dc.0=a-0,a-2;" },
  { "a leaving member is replaced while it has work",
    "a:4",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 10000" },
    "a-1=leaving:0 a-0=busy:3",
    "drain s.dc.0;",
    "s.dc.0~a-0,a-1;" },
  { "a request that never ends holds up a drain",
    "a:4",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 40000" },
    "a-1=leaving:0 a-0=busy:3",
    "replace s.dc.0;",
    "s.dc.0=a-0,a-2;" },
  { "a group keeps draining after the reason no longer holds",
    "a:4",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 10000" },
    "",
    "",
    "s.dc.0=a-0,a-1;" },
  { "a new version reaches all groups of a spec at once",
    "a:6",
    { "s 2 3 dc * * 2" },
    { "0 s 2 1 a 0 -", "1 s 2 1 a 2 -", "2 s 2 1 a 4 -" },
    "",
    "drain s.dc.0;",
    "s.dc.0~a-0,a-1;s.dc.1=a-2,a-3;s.dc.2=a-4,a-5;" },
  { "the second group is updated before the first serves",
    "a:6",
    { "s 2 3 dc * * 2" },
    { "0 s 2 2 a 0 -", "1 s 2 1 a 2 -", "2 s 2 1 a 4 -" },
    "a-0=loading:0",
    "wait s.dc.1;",
    "s.dc.0=a-0,a-1;s.dc.1=a-2,a-3;s.dc.2=a-4,a-5;" },
  { "a drained group is not updated",
    "a:4",
    { "s 2 2 dc * * 2" },
    { "0 s 2 1 a 0 -", "1 s 2 1 a 2 9000" },
    "",
    "update s.dc.1;",
    "s.dc.0=a-0,a-1;s.dc.1=a-2,a-3;" },
  { "a group stays after the sheet dropped it",
    "a:4",
    { "t 2 1 dc * * 1" },
    { "0 s 2 1 a 0 9000" },
    "",
    "dissolve s.dc.0;form t.dc.0;",
    "t.dc.0=a-0,a-1;" },
  { "a group stays in a place that became forbidden",
    "a:2 b:2",
    { "s 2 1 dc b * 1" },
    { "0 s 2 1 a 0 9000" },
    "",
    "dissolve s.dc.0;form s.dc.1;",
    "s.dc.1=b-0,b-1;" },
  { "a smaller count dissolves a complete group and keeps an incomplete one",
    "a:4",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 -", "1 s 2 1 a 2 -" },
    "a-0=absent:90000",
    "dissolve s.dc.0;",
    "s.dc.1=a-2,a-3;" },
  { "a spec without a group waits for one that has two",
    "a:4",
    { "s 2 1 dc * * 1", "t 2 1 dc * * 1" },
    { "0 t 2 1 a 0 -", "1 t 2 1 a 2 9000" },
    "",
    "dissolve t.dc.1;form s.dc.0;",
    "s.dc.0=a-2,a-3;t.dc.0=a-0,a-1;" },
  { "a missing sheet dissolves every group",
    "a:2",
    { NULL },
    { "0 s 2 1 a 0 -" },
    "",
    "",
    "s.dc.0=a-0,a-1;" },
  { "an empty host list dissolves every group",
    "a:2",
    { "s 2 1 dc * * 1" },
    { "0 s 2 1 a 0 -" },
    "a-0=unlisted:0 a-1=unlisted:0",
    "",
    "s.dc.0=a-0,a-1;" },
};

struct test_env
{
  struct sheet sheet;
  struct fleet fleet;
  struct history history;
  struct placement placement;
  struct placement_settings settings;
};

static void
add_domains (struct test_env *env, const char *text)
{
  char domain[32];
  unsigned count;
  int used;

  while (sscanf (text, " %31[^:]:%u%n", domain, &count, &used) == 2)
    {
      for (unsigned i = 0; i < count; i++)
        {
          char id[FLEET_NAME_SIZE];

          snprintf (id, sizeof id, "%s-%u", domain, i);
          fixture_add_host (&env->fleet, id, "dc", domain)->attested.state
              = FLEET_ENGINE_IDLE;
        }
      text += used;
    }
}

static void
add_spec (struct test_env *env, const char *text)
{
  char name[32];
  char data_centres[32];
  char domains[32];
  char hosts[64];
  char version[8];
  unsigned span;
  unsigned count;

  assert_int_equal (sscanf (text, "%31s %u %u %31s %31s %63s %7s", name, &span,
                            &count, data_centres, domains, hosts, version),
                    7);
  fixture_add_spec (&env->sheet, name, span, count, data_centres, domains,
                    hosts, version);
}

static void
add_group (struct test_env *env, const char *text, int64_t *draining_ms)
{
  char spec[32];
  char version[8];
  char domain[32];
  char flag[16];
  char id[FLEET_NAME_SIZE];
  struct fleet_group *group;
  unsigned number;
  unsigned span;
  unsigned first;

  assert_int_equal (sscanf (text, "%u %31s %u %7s %31s %u %15s", &number, spec,
                            &span, version, domain, &first, flag),
                    7);
  snprintf (id, sizeof id, "%s.dc.%u", spec, number);
  group = fleet_add_group (&env->fleet, id);
  assert_non_null (group);
  snprintf (group->spec, sizeof group->spec, "%s", spec);
  snprintf (group->model, sizeof group->model, "model");
  snprintf (group->version, sizeof group->version, "%s", version);
  snprintf (group->data_centre, sizeof group->data_centre, "dc");
  snprintf (group->domain, sizeof group->domain, "%s", domain);
  group->generation = 1;
  group->span = span;
  group->member_count = span;
  group->draining = flag[0] != '-';
  if (group->draining)
    *draining_ms = strtol (flag, NULL, 10);
  for (unsigned rank = 0; rank < span; rank++)
    {
      struct fleet_host *host;

      snprintf (group->members[rank], FLEET_NAME_SIZE, "%s-%u", domain,
                first + rank);
      host = fleet_find_host (&env->fleet, group->members[rank]);
      assert_non_null (host);
      memcpy (host->attested.group, id, sizeof id);
      host->attested.generation = 1;
      host->attested.rank = rank;
      host->attested.span = span;
      memcpy (host->attested.model, group->model, sizeof group->model);
      memcpy (host->attested.version, group->version, sizeof group->version);
      host->attested.state = FLEET_ENGINE_READY;
    }
}

/* Returns the number of the mark of the host, or -1 if it has no such mark. */
static long
find_mark (const char *marks, const char *host, const char *mark)
{
  char name[64];
  char word[32];
  long number;
  int used;

  while (sscanf (marks, " %63[^=]=%31[^:]:%ld%n", name, word, &number, &used)
         == 3)
    {
      if (strcmp (name, host) == 0 && strcmp (word, mark) == 0)
        return number;
      marks += used;
    }
  return -1;
}

static void
mark_host (struct fleet_host *host, const char *marks)
{
  host->listed_leaving = find_mark (marks, host->id, "leaving") >= 0;
  host->drained = find_mark (marks, host->id, "drained") >= 0;
  host->listed = find_mark (marks, host->id, "unlisted") < 0;
  if (find_mark (marks, host->id, "busy") > 0)
    host->attested.running = (unsigned)find_mark (marks, host->id, "busy");
  if (find_mark (marks, host->id, "loading") >= 0)
    host->attested.state = FLEET_ENGINE_LOADING;
}

/* True if marks say that the host is absent at a time.  "flaps" gives
   three absences of 4 s, the last 34 s before NOW. */
static bool
is_absent (const struct fleet_host *host, const char *marks, int64_t time_ms)
{
  int64_t start = time_ms - (NOW - 100000);
  long absent = find_mark (marks, host->id, "absent");

  if (absent >= 0 && time_ms > NOW - absent)
    return true;
  return find_mark (marks, host->id, "flaps") >= 0 && start > 40000
         && start < 70000 && start % 10000 < 4000;
}

static void
observe_hosts (struct test_env *env, const char *marks)
{
  struct fleet_host *host;

  for (int64_t time_ms = NOW - 100000; time_ms <= NOW; time_ms += 500)
    {
      for (host = env->fleet.hosts; host != NULL; host = host->hh.next)
        {
          if (is_absent (host, marks, time_ms))
            continue;
          host->attested.seen_ms = time_ms;
          if (find_mark (marks, host->id, "weights") >= 0
              && time_ms < NOW - 99000)
            {
              snprintf (host->attested.model, FLEET_NAME_SIZE, "model");
              snprintf (host->attested.version, FLEET_NAME_SIZE, "%ld",
                        find_mark (marks, host->id, "weights"));
              host->attested.state = FLEET_ENGINE_READY;
            }
        }
      assert_int_equal (history_observe (&env->history, &env->fleet, time_ms),
                        RESULT_OK);
      for (host = env->fleet.hosts; host != NULL; host = host->hh.next)
        if (host->attested.group[0] == '\0'
            && host->attested.state == FLEET_ENGINE_READY)
          host->attested.state = FLEET_ENGINE_IDLE;
    }
}

/* Sets how long every draining group has been draining; only times within the
   last 100 s matter. */
static void
set_draining_since (struct test_env *env, int64_t draining_ms)
{
  struct history_draining_group *group;

  for (group = env->history.draining; group != NULL; group = group->hh.next)
    group->draining_since_ms = NOW - draining_ms;
}

static void
describe_placement (const struct placement *placement,
                    char *decisions,
                    char *groups)
{
  size_t used = 0;

  decisions[0] = '\0';
  groups[0] = '\0';
  for (size_t i = 0; i < placement->decision_count; i++)
    {
      const struct placement_decision *decision = &placement->decisions[i];

      assert_true (decision->reason[0] != '\0');
      used += (size_t)snprintf (decisions + used, TEXT_SIZE - used, "%s %s;",
                                placement_step_name (decision->step),
                                decision->group[0] != '\0' ? decision->group
                                                           : decision->spec);
    }
  used = 0;
  for (size_t i = 0; i < placement->group_count; i++)
    {
      const struct fleet_group *group = &placement->groups[i];

      used += (size_t)snprintf (groups + used, TEXT_SIZE - used, "%s%c",
                                group->id, group->draining ? '~' : '=');
      for (unsigned rank = 0; rank < group->member_count; rank++)
        used += (size_t)snprintf (groups + used, TEXT_SIZE - used, "%s%c",
                                  group->members[rank],
                                  rank + 1 < group->member_count ? ',' : ';');
    }
}

/* Groups are computed in order of urgency; the expected text has them by id. */
static int
compare_ids (const void *a, const void *b)
{
  const struct fleet_group *x = a;
  const struct fleet_group *y = b;

  return strcmp (x->id, y->id);
}

/* Applies the result and computes again: nothing may change, or hosts
   would change groups on every tick. */
static void
check_recompute_changes_nothing (struct test_env *env,
                                 const struct placement_input *input)
{
  struct plan_steps steps;
  struct placement recomputed;

  if (!env->placement.changed)
    return;
  plan_steps_init (&steps);
  for (size_t i = 0; i < env->placement.group_count; i++)
    {
      struct fleet_group *group
          = fleet_add_group (&steps.assignment, env->placement.groups[i].id);
      UT_hash_handle hh = group->hh;

      *group = env->placement.groups[i];
      group->hh = hh;
    }
  steps.assignment.assignment_number = env->fleet.assignment_number + 1;
  assert_int_equal (
      fixture_apply_assignment (&env->fleet, "dc", &steps.assignment),
      RESULT_OK);
  placement_init (&recomputed);
  assert_int_equal (history_observe (&env->history, &env->fleet, NOW),
                    RESULT_OK);
  assert_int_equal (placement_compute (&recomputed, input), RESULT_OK);
  assert_false (recomputed.changed);
  placement_finish (&recomputed);
  plan_steps_finish (&steps);
}

static void
run_placement_case (const struct placement_case *test)
{
  static char decisions[TEXT_SIZE];
  static char groups[TEXT_SIZE];
  struct history_settings history_settings;
  struct fleet_host *host;
  struct test_env env;
  int64_t draining_ms = -1;
  struct placement_input input = { .sheet = &env.sheet,
                                   .fleet = &env.fleet,
                                   .history = &env.history,
                                   .settings = &env.settings,
                                   .data_centre = "dc",
                                   .now_ms = NOW };

  sheet_init (&env.sheet);
  fleet_init (&env.fleet);
  placement_init (&env.placement);
  placement_settings_init (&env.settings);
  history_settings_init (&history_settings);
  history_init (&env.history, &history_settings, "dc");
  add_domains (&env, test->domains);
  for (size_t i = 0; i < 4 && test->specs[i] != NULL; i++)
    add_spec (&env, test->specs[i]);
  for (size_t i = 0; i < 4 && test->groups[i] != NULL; i++)
    add_group (&env, test->groups[i], &draining_ms);
  env.fleet.assignment_number = 1;
  for (host = env.fleet.hosts; host != NULL; host = host->hh.next)
    mark_host (host, test->marks);
  observe_hosts (&env, test->marks);
  set_draining_since (&env, draining_ms);
  assert_int_equal (placement_compute (&env.placement, &input), RESULT_OK);
  qsort (env.placement.groups, env.placement.group_count,
         sizeof *env.placement.groups, compare_ids);
  describe_placement (&env.placement, decisions, groups);
  assert_string_equal (decisions, test->decisions);
  assert_string_equal (groups, test->result);
  check_recompute_changes_nothing (&env, &input);
  placement_finish (&env.placement);
  history_finish (&env.history);
  fleet_finish (&env.fleet);
  sheet_finish (&env.sheet);
}

static void
test_placement_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      print_message ("guards against: %s\n", cases[i].guarded_failure);
      run_placement_case (&cases[i]);
    }
}

struct divide_case
{
  const char *guarded_failure;
  const char *hosts;    /* "DC:DOMAIN:COUNT ..." */
  const char *specs[3]; /* "NAME SPAN COUNT DCS" */
  unsigned totals[3];   /* groups of each spec over all data centres */
  unsigned unplaced[3];
  const char *delisted; /* data centre whose hosts are not listed, or NULL */
};

static const struct divide_case divide_cases[] = {
  { "the shares of the data centres do not add up to the count",
    "x:a:8 y:b:8 z:c:8",
    { "s 4 5 x;y;z" },
    { 5 },
    { 0 },
    NULL },
  { "a data centre without capacity keeps its share of the groups",
    "x:a:3 y:b:12 z:c:3",
    { "s 4 3 x;y;z" },
    { 3 },
    { 0 },
    NULL },
  { "capacity is counted twice for two specs",
    "x:a:4 y:b:4",
    { "s 4 2 x;y", "t 4 1 x;y" },
    { 1, 1 },
    { 1, 0 },
    NULL },
  { "hosts of two domains are counted as one capacity",
    "x:a:3 x:b:3",
    { "s 4 1 x" },
    { 0 },
    { 1 },
    NULL },
  { "a forbidden data centre gets a share of the groups",
    "x:a:4 y:b:8",
    { "s 4 2 x" },
    { 1 },
    { 1 },
    NULL },
  { "the share of a delisted data centre is lost",
    "x:a:8 y:b:8 z:c:8",
    { "s 4 4 x;y;z" },
    { 4 },
    { 0 },
    "y" },
};

static void
run_divide_case (const struct divide_case *test)
{
  static const char *const data_centres[] = { "x", "y", "z" };
  unsigned totals[3] = { 0 };
  unsigned unplaced[3] = { 0 };
  struct fleet_host *host;
  struct sheet sheet;
  struct fleet fleet;
  const char *text = test->hosts;
  char data_centre[8];
  char domain[8];
  unsigned count;
  int used;

  sheet_init (&sheet);
  fleet_init (&fleet);
  for (;
       sscanf (text, " %7[^:]:%7[^:]:%u%n", data_centre, domain, &count, &used)
       == 3;
       text += used)
    for (unsigned i = 0; i < count; i++)
      {
        char id[FLEET_NAME_SIZE];

        snprintf (id, sizeof id, "%s-%s-%u", data_centre, domain, i);
        fixture_add_host (&fleet, id, data_centre, domain);
      }
  for (size_t i = 0; i < 3 && test->specs[i] != NULL; i++)
    {
      char name[8];
      char list[16];
      unsigned span;

      assert_int_equal (
          sscanf (test->specs[i], "%7s %u %u %15s", name, &span, &count, list),
          4);
      fixture_add_spec (&sheet, name, span, count, list, "*", "*", "1");
    }
  for (host = fleet.hosts; host != NULL; host = host->hh.next)
    if (test->delisted != NULL
        && strcmp (host->data_centre, test->delisted) == 0)
      host->listed = false;
  for (size_t i = 0; i < 3; i++)
    {
      unsigned target_counts[3];
      unsigned unplaced_counts[3];

      assert_int_equal (placement_divide_groups (&sheet, &fleet,
                                                 data_centres[i], target_counts,
                                                 unplaced_counts),
                        RESULT_OK);
      for (size_t j = 0; j < sheet.group_count; j++)
        {
          totals[j] += target_counts[j];
          unplaced[j] += unplaced_counts[j];
        }
    }
  for (size_t i = 0; i < 3; i++)
    {
      assert_int_equal (totals[i], test->totals[i]);
      assert_int_equal (unplaced[i], test->unplaced[i]);
    }
  fleet_finish (&fleet);
  sheet_finish (&sheet);
}

static void
test_divide_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof divide_cases / sizeof divide_cases[0]; i++)
    {
      print_message ("guards against: %s\n", divide_cases[i].guarded_failure);
      run_divide_case (&divide_cases[i]);
    }
}

struct check_case
{
  const char *members[2]; /* of each of two groups: "HOST HOST" */
  const char *domains;    /* of the spec */
  const char *hosts;
  const char *data_centres;
  const char *text; /* expected part of the reason; NULL = valid */
};

static const struct check_case check_cases[] = {
  { { "a-0 a-1", "a-2 a-3" }, "*", "*", "dc", NULL },
  { { "a-0 a-1", "a-1 a-2" }, "*", "*", "dc", "two groups" },
  { { "a-0 a-0", "a-1 a-2" }, "*", "*", "dc", "two groups" },
  { { "a-0 b-0", "a-1 a-2" }, "*", "*", "dc", "another fabric domain" },
  { { "a-0 e-0", "a-1 a-2" }, "*", "*", "dc", "another data centre" },
  { { "a-0", "a-1 a-2" }, "*", "*", "dc", "size of its span" },
  { { "a-0 a-1", "a-2 a-3" }, "b", "*", "dc", "fabric domain" },
  { { "a-0 a-1", "a-2 a-3" }, "*", "a-0;a-1;a-2", "dc", "not permitted" },
  { { "a-0 a-1", "a-2 a-3" }, "*", "*", "other", "this data centre" },
};

/* placement_check, the last check before a write, finds each kind of fault
   without the help of the computation. */
static void
test_check_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof check_cases / sizeof check_cases[0]; i++)
    {
      const struct check_case *test = &check_cases[i];
      struct fleet_group groups[2];
      struct placement placement = { .groups = groups, .group_count = 2 };
      char text[PLACEMENT_TEXT_SIZE] = "";
      struct sheet sheet;
      struct test_env env;

      sheet_init (&sheet);
      fleet_init (&env.fleet);
      add_domains (&env, "a:4 b:4");
      fixture_add_host (&env.fleet, "e-0", "other", "a");
      fixture_add_spec (&sheet, "s", 2, 2, test->data_centres, test->domains,
                        test->hosts, "1");
      memset (groups, 0, sizeof groups);
      for (int j = 0; j < 2; j++)
        {
          snprintf (groups[j].id, sizeof groups[j].id, "s.dc.%d", j);
          snprintf (groups[j].spec, sizeof groups[j].spec, "s");
          snprintf (groups[j].domain, sizeof groups[j].domain, "a");
          groups[j].span = 2;
          groups[j].member_count
              = (unsigned)sscanf (test->members[j], "%63s %63s",
                                  groups[j].members[0], groups[j].members[1]);
        }
      if (test->text == NULL)
        assert_int_equal (
            placement_check (&placement, &sheet, &env.fleet, "dc", text),
            RESULT_OK);
      else
        {
          assert_int_equal (
              placement_check (&placement, &sheet, &env.fleet, "dc", text),
              RESULT_ASSIGNMENT_INVALID);
          assert_non_null (strstr (text, test->text));
        }
      fleet_finish (&env.fleet);
      sheet_finish (&sheet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_placement_cases),
    cmocka_unit_test (test_divide_cases),
    cmocka_unit_test (test_check_cases),
  };

  return cmocka_run_group_tests_name ("placement", tests, NULL, NULL);
}
