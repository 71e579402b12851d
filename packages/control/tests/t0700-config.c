#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "config.h"
#include "log.h"

/* Adoption of objects, with no platform and no peers behind it. */
struct site
{
  struct fleet fleet;
  struct member_table members;
  struct config config;
  unsigned sheet_changes;
  char released[256]; /* fingerprints in order, each followed by ';' */
};

static struct site site;

static void
on_sheet (void *context, const struct sheet *sheet)
{
  (void)sheet;
  ((struct site *)context)->sheet_changes++;
}

static void
on_released (void *context, const char *fingerprint)
{
  struct site *s = context;
  size_t used = strlen (s->released);

  snprintf (s->released + used, sizeof s->released - used, "%s;", fingerprint);
}

static void
drop_line (void *context, enum log_level level, const char *line)
{
  (void)context;
  (void)level;
  (void)line;
}

static void
site_start (void)
{
  struct member_update self = { .host = "e1", .data_centre = "dc1" };
  struct config_hooks hooks = { .context = &site,
                                .sheet_changed = on_sheet,
                                .released = on_released };

  memset (&site, 0, sizeof site);
  fleet_init (&site.fleet);
  member_init (&site.members, &self, 1, 0);
  config_init (&site.config, NULL, NULL, &site.members, NULL, &site.fleet,
               &hooks, 1000);
}

static void
site_finish (void)
{
  config_finish (&site.config);
  member_finish (&site.members);
  fleet_finish (&site.fleet);
}

static enum result
adopt (enum peer_object_id id, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  enum result result;

  assert_non_null (json);
  result = config_adopt (&site.config, id, json, 0, "peer");
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

/* A late watch, a stale peer or a repeat must not turn the sheet back. */
static const struct number_case number_cases[] = {
  { "first", 5, RESULT_OK, 5 },
  { "repeat", 5, RESULT_PLATFORM_UNCHANGED, 5 },
  { "older", 4, RESULT_PLATFORM_UNCHANGED, 5 },
  { "zero", 0, RESULT_PLATFORM_UNCHANGED, 5 },
  { "newer", 6, RESULT_OK, 6 },
  { "older again", 5, RESULT_PLATFORM_UNCHANGED, 6 },
  { "far newer", 900, RESULT_OK, 900 },
};

static void
test_sheet_never_reverts (void **state)
{
  unsigned changes = 0;

  (void)state;
  site_start ();
  for (size_t i = 0; i < sizeof number_cases / sizeof number_cases[0]; i++)
    {
      const struct number_case *c = &number_cases[i];
      struct sheet sheet;
      json_t *json;

      sheet_init (&sheet);
      sheet.number = c->number;
      json = sheet_to_json (&sheet);
      assert_non_null (json);
      if (config_adopt (&site.config, PEER_SHEET, json, 0, "peer")
          != c->expected)
        fail_msg ("case \"%s\"", c->name);
      changes += c->expected == RESULT_OK;
      assert_int_equal (site.config.sheet.number, c->in_force);
      assert_int_equal (site.members.versions.sheet, c->in_force);
      assert_int_equal (site.sheet_changes, changes);
      json_decref (json);
      sheet_finish (&sheet);
    }
  assert_int_not_equal (adopt (PEER_SHEET, "{\"number\":901}"), RESULT_OK);
  assert_int_equal (site.config.sheet.number, 900);
  site_finish ();
}

struct release_case
{
  const char *control;
  const char *released;
};

/* An old release must not free a request that crashed endpoints since. */
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
  site_start ();
  for (size_t i = 0; i < sizeof release_cases / sizeof release_cases[0]; i++)
    {
      site.released[0] = '\0';
      adopt (PEER_CONTROL, release_cases[i].control);
      assert_string_equal (site.released, release_cases[i].released);
    }
  site_finish ();
}

/* A drain must reach hosts that the host list names later. */
static void
test_drain_outlives_host_list (void **state)
{
  (void)state;
  site_start ();
  assert_int_equal (
      adopt (PEER_CONTROL,
             "{\"number\":1,\"drains\":[\"h1\"],\"releases\":[]}"),
      RESULT_OK);
  assert_int_equal (
      adopt (PEER_HOSTS, "{\"number\":1,\"hosts\":[{\"id\":\"h1\",\"address\":"
                         "\"127.0.0.1\",\"port\":1,\"data_centre\":\"dc1\"}]}"),
      RESULT_OK);
  assert_true (fleet_find_host (&site.fleet, "h1")->drained);
  assert_int_equal (
      adopt (PEER_CONTROL, "{\"number\":2,\"drains\":[],\"releases\":[]}"),
      RESULT_OK);
  assert_false (fleet_find_host (&site.fleet, "h1")->drained);
  site_finish ();
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
