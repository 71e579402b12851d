#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "fleet.h"

#define NOW INT64_C (100000)

/* A group of three hosts that serves until a case changes one thing. */
static void
build_fleet (struct fleet *fleet)
{
  json_t *json = json_pack (
      "{s:i, s:i, s:[{s:s, s:s, s:s, s:i, s:i, s:[s, s, s]}]}", "fence", 1,
      "number", 1, "groups", "id", "g1", "spec", "s1", "model", "m1",
      "generation", 7, "span", 3, "members", "h0", "h1", "h2");

  fleet_init (fleet);
  assert_int_equal (fleet_apply_assignment (fleet, "dc1", json), RESULT_OK);
  json_decref (json);
  for (unsigned rank = 0; rank < 3; rank++)
    {
      char id[8];
      struct fleet_host *host;

      snprintf (id, sizeof id, "h%u", rank);
      host = fleet_add_host (fleet, id);
      assert_non_null (host);
      host->listed = true;
      host->attested = (struct fleet_attestation){
        .seen_ms = NOW - 100,
        .group = "g1",
        .generation = 7,
        .rank = rank,
        .span = 3,
        .state = FLEET_ENGINE_READY,
      };
    }
}

struct serving_case
{
  const char *name;
  void (*change) (struct fleet *fleet, struct fleet_host *host);
  enum fleet_serving expected;
};

static void
change_nothing (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  (void)host;
}

static void
age_attestation (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->attested.seen_ms = NOW - FLEET_ATTESTATION_AGE_LIMIT_MS - 1;
}

static void
clear_attestation (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->attested.seen_ms = FLEET_NEVER;
}

static void
remove_host (struct fleet *fleet, struct fleet_host *host)
{
  fleet_remove_host (fleet, host->id);
}

static void
change_generation (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->attested.generation = 6;
}

static void
change_group (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  snprintf (host->attested.group, sizeof host->attested.group, "g2");
}

static void
change_rank (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->attested.rank = 0;
}

static void
set_loading (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->attested.state = FLEET_ENGINE_LOADING;
}

static void
list_as_leaving (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->listed_leaving = true;
}

static void
drain_host (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->drained = true;
}

static void
refuse_as_leaving (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->refused_leaving = true;
}

static void
attest_leaving (struct fleet *fleet, struct fleet_host *host)
{
  (void)fleet;
  host->attested.leaving = true;
}

static void
remove_member (struct fleet *fleet, struct fleet_host *host)
{
  (void)host;
  fleet_find_group (fleet, "g1")->member_count = 2;
}

static void
drain_group (struct fleet *fleet, struct fleet_host *host)
{
  (void)host;
  fleet_find_group (fleet, "g1")->draining = true;
}

/* Guards against requests to a group with a missing, stale, mismatched or
 * leaving member (INV-1). */
static const struct serving_case serving_cases[] = {
  { "whole", change_nothing, FLEET_SERVING },
  { "old attestation", age_attestation, FLEET_MEMBER_ABSENT },
  { "no attestation", clear_attestation, FLEET_MEMBER_ABSENT },
  { "unknown host", remove_host, FLEET_MEMBER_ABSENT },
  { "other generation", change_generation, FLEET_MEMBER_DIFFERS },
  { "other group", change_group, FLEET_MEMBER_DIFFERS },
  { "other rank", change_rank, FLEET_MEMBER_DIFFERS },
  { "loading", set_loading, FLEET_MEMBER_LOADING },
  { "host list says leaving", list_as_leaving, FLEET_MEMBER_LEAVING },
  { "operator drains", drain_host, FLEET_MEMBER_LEAVING },
  { "refused as leaving", refuse_as_leaving, FLEET_MEMBER_LEAVING },
  { "attests leaving", attest_leaving, FLEET_MEMBER_LEAVING },
  { "member missing", remove_member, FLEET_INCOMPLETE },
  { "group draining", drain_group, FLEET_MEMBER_LEAVING },
};

static void
test_group_serving (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof serving_cases / sizeof serving_cases[0]; i++)
    {
      const struct serving_case *c = &serving_cases[i];
      struct fleet fleet;

      build_fleet (&fleet);
      c->change (&fleet, fleet_find_host (&fleet, "h1"));
      if (fleet_group_serving_state (&fleet, fleet_find_group (&fleet, "g1"),
                                     NOW)
          != c->expected)
        fail_msg ("case \"%s\" gave the wrong state", c->name);
      fleet_finish (&fleet);
    }
}

struct assignment_case
{
  const char *name;
  const char *json;
  enum result expected;
};

/* Guards against a host in two groups (INV-2) and against going back to an
 * older assignment. */
static const struct assignment_case assignment_cases[] = {
  { "newer", "{\"fence\":2,\"number\":2,\"groups\":[]}", RESULT_OK },
  { "same number", "{\"fence\":2,\"number\":1,\"groups\":[]}",
    RESULT_PLATFORM_UNCHANGED },
  { "older", "{\"fence\":2,\"number\":0,\"groups\":[]}",
    RESULT_PLATFORM_UNCHANGED },
  { "no groups", "{\"fence\":2,\"number\":2}", RESULT_ASSIGNMENT_INVALID },
  { "host in two groups",
    "{\"fence\":2,\"number\":2,\"groups\":["
    "{\"id\":\"a\",\"spec\":\"s\",\"model\":\"m\",\"generation\":1,"
    "\"span\":2,\"members\":[\"x\",\"y\"]},"
    "{\"id\":\"b\",\"spec\":\"s\",\"model\":\"m\",\"generation\":1,"
    "\"span\":2,\"members\":[\"y\",\"z\"]}]}",
    RESULT_ASSIGNMENT_INVALID },
  { "host twice in one group",
    "{\"fence\":2,\"number\":2,\"groups\":["
    "{\"id\":\"a\",\"spec\":\"s\",\"model\":\"m\",\"generation\":1,"
    "\"span\":2,\"members\":[\"x\",\"x\"]}]}",
    RESULT_ASSIGNMENT_INVALID },
  { "group twice",
    "{\"fence\":2,\"number\":2,\"groups\":["
    "{\"id\":\"a\",\"spec\":\"s\",\"model\":\"m\",\"generation\":1,"
    "\"span\":1,\"members\":[\"x\"]},"
    "{\"id\":\"a\",\"spec\":\"s\",\"model\":\"m\",\"generation\":1,"
    "\"span\":1,\"members\":[\"z\"]}]}",
    RESULT_ASSIGNMENT_INVALID },
  { "more members than span",
    "{\"fence\":2,\"number\":2,\"groups\":["
    "{\"id\":\"a\",\"spec\":\"s\",\"model\":\"m\",\"generation\":1,"
    "\"span\":1,\"members\":[\"x\",\"y\"]}]}",
    RESULT_ASSIGNMENT_INVALID },
};

static void
test_apply_assignment (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof assignment_cases / sizeof assignment_cases[0];
       i++)
    {
      const struct assignment_case *c = &assignment_cases[i];
      json_t *json = json_loads (c->json, 0, NULL);
      struct fleet fleet;

      assert_non_null (json);
      build_fleet (&fleet);
      if (fleet_apply_assignment (&fleet, "dc1", json) != c->expected)
        fail_msg ("case \"%s\" gave the wrong result", c->name);
      /* A rejected object must not change the table. */
      assert_int_equal (fleet_find_group (&fleet, "g1") != NULL,
                        c->expected != RESULT_OK);
      fleet_finish (&fleet);
      json_decref (json);
    }
}

static void
test_assignment_round_trip (void **state)
{
  struct fleet fleet;
  struct fleet copy;
  json_t *json;

  (void)state;
  build_fleet (&fleet);
  json = fleet_assignment_to_json (&fleet, "dc1");
  assert_non_null (json);
  fleet_init (&copy);
  assert_int_equal (fleet_apply_assignment (&copy, "dc1", json), RESULT_OK);
  assert_int_equal (fleet_find_group (&copy, "g1")->generation, 7);
  assert_string_equal (fleet_find_group (&copy, "g1")->members[2], "h2");
  json_decref (json);
  fleet_finish (&fleet);
  fleet_finish (&copy);
}

static void
test_apply_host_list (void **state)
{
  json_t *json = json_loads (
      "{\"hosts\":[{\"id\":\"h1\",\"data_centre\":\"dc1\",\"domain\":\"f1\","
      "\"address\":\"127.0.0.1\",\"port\":80,\"kind\":\"engine\","
      "\"accelerators\":8,\"state\":\"leaving\",\"fencing\":true},"
      "{\"id\":\"bad\",\"address\":\"127.0.0.1\",\"port\":0},"
      "{\"id\":\"s1\",\"data_centre\":\"dc1\",\"address\":\"127.0.0.1\","
      "\"port\":81,\"kind\":\"service\",\"service\":\"booking-app\","
      "\"state\":\"live\"}]}",
      0, NULL);
  struct fleet fleet;

  (void)state;
  build_fleet (&fleet);
  assert_int_equal (fleet_apply_host_list (&fleet, json), RESULT_OK);
  assert_true (fleet_find_host (&fleet, "h1")->listed_leaving);
  assert_true (fleet_find_host (&fleet, "h1")->checks_fence);
  /* A host that is missing from the list stays in the table, since the list
   * lags behind and the host may be alive. */
  assert_non_null (fleet_find_host (&fleet, "h0"));
  assert_false (fleet_find_host (&fleet, "h0")->listed);
  assert_null (fleet_find_host (&fleet, "bad"));
  assert_true (fleet_find_host (&fleet, "s1")->is_service);
  json_decref (json);
  fleet_finish (&fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_group_serving),
    cmocka_unit_test (test_apply_assignment),
    cmocka_unit_test (test_assignment_round_trip),
    cmocka_unit_test (test_apply_host_list),
  };

  return cmocka_run_group_tests_name ("fleet", tests, NULL, NULL);
}
