#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "table.h"

struct address_case
{
  const char *text;
  const char *host; /* NULL = rejected */
  unsigned port;
};

static const struct address_case address_cases[] = {
  { "127.0.0.1:80", "127.0.0.1", 80 },
  { "[::1]:8080", "::1", 8080 },
  { "127.0.0.1", NULL, 0 },
  { "127.0.0.1:0", NULL, 0 },
  { "127.0.0.1:65536", NULL, 0 },
  { "localhost:80", NULL, 0 },
  { ":80", NULL, 0 },
  { "", NULL, 0 },
};

/* Host names must be rejected, since the resolver would block. */
static void
test_only_numeric_addresses_are_parsed (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof address_cases / sizeof address_cases[0]; i++)
    {
      struct cli_address address;
      bool good = cli_parse_address (address_cases[i].text, &address);

      if (good != (address_cases[i].host != NULL))
        fail_msg ("%s", address_cases[i].text);
      if (good)
        {
          assert_string_equal (address.host, address_cases[i].host);
          assert_int_equal (address.port, address_cases[i].port);
        }
    }
}

struct usage_case
{
  const char *arguments[5];
  int status;
};

/* None of these cases opens a connection. */
static const struct usage_case usage_cases[] = {
  { { "--version" }, CLI_GOOD },
  { { "--help" }, CLI_GOOD },
  { { NULL }, CLI_USAGE },
  { { "sheet" }, CLI_USAGE },
  { { "sheet", "burn" }, CLI_USAGE },
  { { "sheet", "check" }, CLI_USAGE },
  { { "sheet", "check", "examples/atlas.csv" }, CLI_GOOD },
  { { "--json", "sheet", "check", "examples/atlas.csv" }, CLI_GOOD },
  { { "sheet", "check", "fuzz/corpus/sheet/bad.csv" }, CLI_REFUSED },
  { { "sheet", "check", "no-such-file" }, CLI_USAGE },
  { { "sheet", "check", "a", "b" }, CLI_USAGE },
  { { "config", "check" }, CLI_USAGE },
  { { "config", "check", "platform/tests/config-sound.json" }, CLI_GOOD },
  { { "config", "check", "platform/tests/config-sound.json", "--format",
      "json" },
    CLI_GOOD },
  { { "config", "check", "platform/tests/config-sound.json", "--format",
      "xml" },
    CLI_USAGE },
  { { "config", "check", "platform/tests/config-faults.json" }, CLI_REFUSED },
  { { "config", "check", "platform/tests/config-sound.json", "--against",
      "platform/tests/config-sound.json" },
    CLI_GOOD },
  /* Differences alone are no findings. */
  { { "config", "check", "platform/tests/config-sound.json", "--against",
      "platform/tests/config-faults.json" },
    CLI_GOOD },
  { { "config", "check", "platform/tests/config-sound.json", "--against",
      "no-such-file" },
    CLI_USAGE },
  { { "config", "check", "platform/tests/config-sound.json", "--against",
      "examples/atlas.csv" },
    CLI_USAGE },
  { { "config", "check", "platform/tests/config-sound.json", "--store",
      "nowhere" },
    CLI_USAGE },
  { { "config", "check", "examples/atlas.csv" }, CLI_USAGE },
  { { "config", "check", "examples" }, CLI_USAGE },
  { { "config", "check", "no-such-file" }, CLI_USAGE },
  { { "sheet", "apply", "examples/atlas.csv" }, CLI_USAGE },
  { { "sheet", "diff", "examples/atlas.csv" }, CLI_USAGE },
  { { "sheet", "diff", "examples/atlas.csv", "examples/atlas.csv" }, CLI_GOOD },
  { { "status" }, CLI_USAGE },
  { { "status", "--entry", "nowhere" }, CLI_USAGE },
  { { "status", "--colour" }, CLI_USAGE },
  { { "report", "burn", "--objective", "100" }, CLI_USAGE },
  { { "report", "burn", "--objective", "nan" }, CLI_USAGE },
  { { "status", "--timeout-ms", "0" }, CLI_USAGE },
  { { "sheet", "history", "--operator", "" }, CLI_USAGE },
  { { "sheet", "check", "examples/atlas.csv", "--operator", "\xff" },
    CLI_USAGE },
  { { "drain", "", "--force", "--platform", "127.0.0.1:1" }, CLI_USAGE },
  { { "release", "xyz", "--platform", "127.0.0.1:1" }, CLI_USAGE },
};

/* Scripts rely on the exit status of the command. */
static void
test_exit_statuses (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof usage_cases / sizeof usage_cases[0]; i++)
    {
      char *arguments[7] = { (char *)"waxwinglink" };
      int count = 1;
      int status;

      for (size_t j = 0; j < 5 && usage_cases[i].arguments[j] != NULL; j++)
        arguments[count++] = (char *)usage_cases[i].arguments[j];
      status = cli_run (count, arguments);
      if (status != usage_cases[i].status)
        fail_msg ("case %zu (%s): %d", i, arguments[1], status);
    }
}

/* Columns must be aligned, and escape sequences of values replaced. */
static void
test_table (void **state)
{
  struct table table;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);

  (void)state;
  table_init (&table, "A|LONG|C");
  table_add (&table, "%s", "medici\xc3\xb3n");
  table_add (&table, "%d", 1);
  table_add (&table, "\x1b[31m");
  table_add (&table, "x");
  table_add (&table, "%s", "");
  table_add (&table, "%s", "");
  table_print (&table, out);
  fclose (out);
  assert_string_equal (text, "A         LONG  C\n"
                             "medici\xc3\xb3n  1     ?[31m\n"
                             "x\n");
  free (text);
  table_finish (&table);
}

struct time_case
{
  int64_t wall_ms;
  const char *expected;
};

static const struct time_case time_cases[] = {
  { 0, "-" },
  { -1, "-" },
  { 1645557742999, "2022-02-22T19:22:22Z" },
  { INT64_MAX, "-" },
};

static void
test_time_is_formatted (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof time_cases / sizeof time_cases[0]; i++)
    {
      char out[TABLE_TIME_SIZE];

      table_format_time (out, time_cases[i].wall_ms);
      assert_string_equal (out, time_cases[i].expected);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_only_numeric_addresses_are_parsed),
    cmocka_unit_test (test_exit_statuses),
    cmocka_unit_test (test_table),
    cmocka_unit_test (test_time_is_formatted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
