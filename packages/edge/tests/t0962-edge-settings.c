#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "edge-settings.h"

#define VALID_SETTINGS                                                         \
  "host: edge-1\n"                                                             \
  "data_centre: casa-a\n"                                                      \
  "data_centres: [casa-a, casa-b]\n"                                           \
  "callers: {listen: 10.0.0.1:80}\n"                                           \
  "readiness: {listen: 10.0.0.1:81}\n"                                         \
  "peers: {address: 10.0.0.1, port: 7340, seeds: [10.0.0.2:9]}\n"              \
  "platform: {store: 10.0.0.9:8223}\n"

static struct edge_settings settings;
static struct settings_errors errors;

struct settings_case
{
  const char *extra; /* appended to the valid settings */
  enum result result;
};

static const struct settings_case settings_cases[] = {
  { "", RESULT_OK },
  { "drain: {limit_s: 7.5}\n", RESULT_OK },
  { "drain: {limit_s: 0}\n", RESULT_SETTINGS_OUT_OF_RANGE },
  { "keys: {revoke_ms: soon}\n", RESULT_SETTINGS_BAD_VALUE },
  { "configuration: {in_force_ms: 3000}\n", RESULT_OK },
  { "configuration: {in_force_ms: 100}\n", RESULT_SETTINGS_OUT_OF_RANGE },
  { "endpoints: {leave_ms: 0}\n", RESULT_SETTINGS_OUT_OF_RANGE },
  { "evacuation: {complete_ms: 5000}\n", RESULT_OK },
  { "evacuation: {complete_ms: -1}\n", RESULT_SETTINGS_OUT_OF_RANGE },
  { "cold: {over: 1.5, slack: 5}\n", RESULT_OK },
  { "cold: {over: 0}\n", RESULT_SETTINGS_OUT_OF_RANGE },
  { "colour: red\n", RESULT_SETTINGS_UNKNOWN_KEY },
  { "host: again\n", RESULT_SETTINGS_DUPLICATE_KEY },
};

static void
test_parsing (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof settings_cases / sizeof settings_cases[0]; i++)
    {
      char text[1024];

      snprintf (text, sizeof text, "%s%s", VALID_SETTINGS,
                settings_cases[i].extra);
      assert_int_equal (settings_parse_table (&edge_settings_table, &settings,
                                              text, strlen (text), &errors),
                        settings_cases[i].result);
    }
}

/*
 * Timing of the reads of the platform that follows from the bounds in the
 * settings.  The bounds cover a change from the platform to the last host.
 */
struct timing_case
{
  int64_t in_force_ms;
  int64_t revoke_ms;
  int64_t leave_ms;
  int configuration_wait_ms;
  int entries_interval_ms;
};

static const struct timing_case timing_cases[] = {
  { 2000, 5000, 2000, 600, 200 },
  { 3000, 5000, 3000, 850, 300 },
  { 4000, 5000, 4000, 850, 400 },
  { 4000, 60000, 4000, 1200, 400 },
  { 500, 500, 500, 600, 200 },
  { 60000, 60000, 60000, 1200, 600 },
  { 3600000, 3600000, 3600000, 1200, 600 },
};

static void
test_platform_timing (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof timing_cases / sizeof timing_cases[0]; i++)
    {
      const struct timing_case *c = &timing_cases[i];
      const struct edge_settings s
          = { .configuration_in_force_ms = c->in_force_ms,
              .keys_revoke_ms = c->revoke_ms,
              .endpoints_leave_ms = c->leave_ms };

      assert_int_equal (edge_configuration_wait_ms (&s),
                        c->configuration_wait_ms);
      assert_int_equal (edge_entries_interval_ms (&s), c->entries_interval_ms);
      /* A hub's data is within the limit right after a watch has ended. */
      assert_true (edge_freshness_limit_ms (&s)
                   > c->configuration_wait_ms + 100);
      assert_true (edge_freshness_limit_ms (&s) > c->entries_interval_ms + 100);
    }
}

/* The operators' page has the same keys as the table. */
static void
test_documentation (void **state)
{
  static char page[1 << 16];
  FILE *file = fopen ("docs/settings.md", "re");
  size_t size;

  (void)state;
  assert_non_null (file);
  size = fread (page, 1, sizeof page - 1, file);
  page[size] = '\0';
  fclose (file);
  for (unsigned i = 0; i < edge_settings_table.count; i++)
    {
      const struct settings_key *key = &edge_settings_table.keys[i];
      char row[512];

      snprintf (row, sizeof row, "| `%s` | %s | %s | ", key->name, key->unit,
                key->default_value != NULL ? key->default_value : "required");
      if (strstr (page, row) == NULL || strstr (page, key->meaning) == NULL)
        fail_msg ("docs/settings.md lacks: %s", row);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parsing),
    cmocka_unit_test (test_platform_timing),
    cmocka_unit_test (test_documentation),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
