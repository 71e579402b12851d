#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "config.h"
#include "log.h"

/* A config without platform and peers, to test the adoption of objects. */
struct config_test
{
  struct fleet fleet;
  struct member_table members;
  struct config config;
  unsigned sheet_changes;
  char released[256]; /* fingerprints in order, each followed by ';' */
};

static struct config_test test;

static void
on_sheet (void *context, const struct sheet *sheet)
{
  (void)sheet;
  ((struct config_test *)context)->sheet_changes++;
}

static void
on_released (void *context, const char *fingerprint)
{
  struct config_test *t = context;
  size_t used = strlen (t->released);

  snprintf (t->released + used, sizeof t->released - used, "%s;", fingerprint);
}

static void
drop_line (void *context, enum log_level level, const char *line)
{
  (void)context;
  (void)level;
  (void)line;
}

static void
test_start (void)
{
  struct member_update self = { .host = "e1", .data_centre = "dc1" };
  struct config_hooks hooks = { .context = &test,
                                .sheet_changed = on_sheet,
                                .strikes_released = on_released };

  memset (&test, 0, sizeof test);
  fleet_init (&test.fleet);
  member_init (&test.members, &self, 1, 0);
  config_init (&test.config, NULL, NULL, &test.members, NULL, &test.fleet,
               &hooks, 1000);
}

static void
test_finish (void)
{
  config_finish (&test.config);
  member_finish (&test.members);
  fleet_finish (&test.fleet);
}

static enum result
adopt_text (enum peer_object_id id, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  enum result result;

  assert_non_null (json);
  result = config_adopt (&test.config, id, json, 0, "peer");
  json_decref (json);
  return result;
}

struct number_case
{
  const char *name;
  uint64_t number;
  enum result expected;
  uint64_t in_force;
};

/*
 * Guards against a sheet that reverts: a late watch response, a stale peer or a
 * repeated message must not replace a sheet of the same or a higher number.
 */
static const struct number_case number_cases[] = {
  { "first sheet", 5, RESULT_OK, 5 },
  { "same number again", 5, RESULT_PLATFORM_UNCHANGED, 5 },
  { "lower number", 4, RESULT_PLATFORM_UNCHANGED, 5 },
  { "number zero", 0, RESULT_PLATFORM_UNCHANGED, 5 },
  { "higher number", 6, RESULT_OK, 6 },
  { "lower number after an update", 5, RESULT_PLATFORM_UNCHANGED, 6 },
  { "number with a gap", 900, RESULT_OK, 900 },
};

static void
test_sheet_never_reverts (void **state)
{
  unsigned changes = 0;

  (void)state;
  test_start ();
  for (size_t i = 0; i < sizeof number_cases / sizeof number_cases[0]; i++)
    {
      const struct number_case *c = &number_cases[i];
      struct sheet sheet;
      json_t *json;

      sheet_init (&sheet);
      sheet.number = c->number;
      json = sheet_to_json (&sheet);
      assert_non_null (json);
      if (config_adopt (&test.config, PEER_SHEET, json, 0, "peer")
          != c->expected)
        fail_msg ("case \"%s\"", c->name);
      changes += c->expected == RESULT_OK;
      assert_int_equal (test.config.sheet.number, c->in_force);
      assert_int_equal (test.members.versions.sheet, c->in_force);
      assert_int_equal (test.sheet_changes, changes);
      json_decref (json);
      sheet_finish (&sheet);
    }
  assert_int_not_equal (adopt_text (PEER_SHEET, "{\"number\":901}"), RESULT_OK);
  assert_int_equal (test.config.sheet.number, 900);
  test_finish ();
}

struct release_case
{
  const char *control;
  const char *released;
};

/*
 * Guards against a release that takes effect twice: a control object that still
 * lists it must not release a request that crashed endpoints since.
 */
static const struct release_case release_cases[] = {
  { "{\"number\":1,\"drains\":[],\"releases\":[\"a\",\"b\"]}", "a;b;" },
  { "{\"number\":2,\"drains\":[\"h\"],\"releases\":[\"a\",\"b\"]}", "" },
  { "{\"number\":3,\"drains\":[],\"releases\":[\"a\",\"b\",\"c\"]}", "c;" },
  { "{\"number\":4,\"drains\":[],\"releases\":[\"b\",\"c\",\"a\"]}", "a;" },
  { "{\"number\":5,\"drains\":[],\"releases\":[\"c\",\"a\",\"d\"]}", "d;" },
  { "{\"number\":5,\"drains\":[],\"releases\":[\"z\"]}", "" },
};

static void
test_release_acts_once (void **state)
{
  (void)state;
  test_start ();
  for (size_t i = 0; i < sizeof release_cases / sizeof release_cases[0]; i++)
    {
      test.released[0] = '\0';
      adopt_text (PEER_CONTROL, release_cases[i].control);
      assert_string_equal (test.released, release_cases[i].released);
    }
  test_finish ();
}

/*
 * Guards against a lost drain: it must also apply to hosts that the host list
 * names only after the control object was adopted.
 */
static void
test_drain_outlives_host_list (void **state)
{
  (void)state;
  test_start ();
  assert_int_equal (
      adopt_text (PEER_CONTROL,
                  "{\"number\":1,\"drains\":[\"h1\"],\"releases\":[]}"),
      RESULT_OK);
  assert_int_equal (
      adopt_text (PEER_HOSTS,
                  "{\"number\":1,\"hosts\":[{\"id\":\"h1\",\"address\":"
                  "\"127.0.0.1\",\"port\":1,\"data_centre\":\"dc1\"}]}"),
      RESULT_OK);
  assert_true (fleet_find_host (&test.fleet, "h1")->drained);
  assert_int_equal (
      adopt_text (PEER_CONTROL, "{\"number\":2,\"drains\":[],\"releases\":[]}"),
      RESULT_OK);
  assert_false (fleet_find_host (&test.fleet, "h1")->drained);
  test_finish ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_sheet_never_reverts),
    cmocka_unit_test (test_release_acts_once),
    cmocka_unit_test (test_drain_outlives_host_list),
  };

  log_set_sink (drop_line, NULL);
  return cmocka_run_group_tests_name ("config", tests, NULL, NULL);
}
