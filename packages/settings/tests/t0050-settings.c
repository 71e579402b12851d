#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "settings.h"

#define GOOD                                                                   \
  "host: entry-1\n"                                                            \
  "data_centre: casa-1\n"                                                      \
  "callers:\n"                                                                 \
  "  address: 127.0.0.1\n"                                                     \
  "  port: 8080\n"                                                             \
  "admin:\n"                                                                   \
  "  address: 127.0.0.1\n"                                                     \
  "  port: 8081\n"                                                             \
  "peers:\n"                                                                   \
  "  address: 127.0.0.1\n"                                                     \
  "  port: 8082\n"                                                             \
  "  seeds: [127.0.0.1:9000, 127.0.0.1:9001]\n"                                \
  "  keys: [\"1:00112233445566778899aabbccddeeff\"]\n"                         \
  "platform:\n"                                                                \
  "  address: 127.0.0.1\n"                                                     \
  "  port: 8083\n"

/* Static, since they are too large for the stack. */
static struct settings settings;
static struct settings_errors errors;

struct settings_case
{
  const char *name;
  const char *extra; /* appended to the valid file GOOD */
  /* The expected first error. */
  enum result code;
  unsigned line;
  const char *key;
};

/* An invalid setting must be rejected with its line and key. */
static const struct settings_case cases[] = {
  { "good", "", RESULT_OK, 0, "" },
  { "unknown key", "colour: red\n", RESULT_SETTINGS_UNKNOWN_KEY, 17, "colour" },
  { "unknown key in a section", "drain:\n  speed: 1\n",
    RESULT_SETTINGS_UNKNOWN_KEY, 18, "drain.speed" },
  { "duplicate key", "host: other\n", RESULT_SETTINGS_DUPLICATE_KEY, 17,
    "host" },
  { "not a number", "drain:\n  settle_ms: soon\n", RESULT_SETTINGS_BAD_VALUE,
    18, "drain.settle_ms" },
  { "out of range", "drain:\n  settle_ms: -1\n", RESULT_SETTINGS_OUT_OF_RANGE,
    18, "drain.settle_ms" },
  { "section as value", "drain: 5\n", RESULT_SETTINGS_BAD_VALUE, 17, "drain" },
  { "value as section", "log_level: {a: b}\n", RESULT_SETTINGS_BAD_VALUE, 17,
    "log_level" },
  { "not a finite number", "groups:\n  stranded_weight: nan\n",
    RESULT_SETTINGS_BAD_VALUE, 18, "groups.stranded_weight" },
  { "not a boolean", "test:\n  faults: maybe\n", RESULT_SETTINGS_BAD_VALUE, 18,
    "test.faults" },
  { "bad YAML", "a: [\n", RESULT_SETTINGS_SYNTAX, 18, "" },
};

static void
test_invalid_settings_are_rejected (void **state)
{

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char text[2048];
      enum result result;

      snprintf (text, sizeof text, "%s%s", GOOD, cases[i].extra);
      result = settings_parse (&settings, text, strlen (text), &errors);
      if (result != cases[i].code)
        fail_msg ("case \"%s\" gave %d", cases[i].name, (int)result);
      if (result == RESULT_OK)
        continue;
      assert_int_equal (errors.list[0].line, cases[i].line);
      assert_string_equal (errors.list[0].key, cases[i].key);
    }
}

/* Guards against a check that stops at the first error. */
static void
test_all_errors_are_reported (void **state)
{
  const char *text = "host: e\ncolour: red\ncallers: {port: 70000}\n";

  (void)state;
  settings_parse (&settings, text, strlen (text), &errors);
  /* The errors of colour and port, and the nine missing required keys. */
  assert_int_equal (errors.count, 11);
}

/* Guards against a value in the wrong member and against a missing default. */
static void
test_values_and_defaults (void **state)
{

  (void)state;
  assert_int_equal (settings_parse (&settings, GOOD, strlen (GOOD), &errors),
                    RESULT_OK);
  assert_string_equal (settings.host, "entry-1");
  assert_int_equal (settings.callers_port, 8080);
  assert_int_equal (settings.peers_seeds.count, 2);
  assert_string_equal (settings.peers_seeds.items[1], "127.0.0.1:9001");
  assert_int_equal (settings.drain_settle_ms, 2000);
  assert_true (settings.groups_downtime_weight == 1.0);
}

/* docs/settings.md must list the same keys and limits as settings_table. */
static void
test_documentation_lists_every_key (void **state)
{
  static char page[1 << 16];
  const struct settings_key *key;
  FILE *file = fopen ("docs/settings.md", "re");
  size_t size;

  (void)state;
  assert_non_null (file);
  size = fread (page, 1, sizeof page - 1, file);
  page[size] = '\0';
  fclose (file);
  for (unsigned i = 0; (key = settings_key_at (i)) != NULL; i++)
    {
      char row[512];

      if (key->kind == SETTINGS_INTEGER || key->kind == SETTINGS_REAL)
        snprintf (row, sizeof row, "| `%s` | %s | %s | %.10g to %.10g | %s |",
                  key->name, key->unit,
                  key->default_value != NULL ? key->default_value : "required",
                  key->min, key->max, key->meaning);
      else
        snprintf (row, sizeof row, "| `%s` | %s | %s |  | %s |", key->name,
                  key->unit,
                  key->default_value != NULL ? key->default_value : "required",
                  key->meaning);
      if (strstr (page, row) == NULL)
        fail_msg ("docs/settings.md lacks: %s", row);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_invalid_settings_are_rejected),
    cmocka_unit_test (test_all_errors_are_reported),
    cmocka_unit_test (test_values_and_defaults),
    cmocka_unit_test (test_documentation_lists_every_key),
  };

  return cmocka_run_group_tests_name ("settings", tests, NULL, NULL);
}
