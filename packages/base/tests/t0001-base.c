#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "hash.h"
#include "histogram.h"
#include "log.h"
#include "netutil.h"
#include "result.h"
#include "rng.h"
#include "uuid.h"

struct quote_case
{
  const char *value;
  const char *expected;
};

/* Guards against text of a caller that forges a field or a line. */
static const struct quote_case quote_cases[] = {
  { "plain", "value=plain" },
  { "", "value=\"\"" },
  { "two words", "value=\"two words\"" },
  { "a=b", "value=\"a=b\"" },
  { "line\nevent=forged", "value=\"line\\x0aevent=forged\"" },
  { "say \"hi\"", "value=\"say \\\"hi\\\"\"" },
};

static void
copy_line (void *context, enum log_level level, const char *line)
{
  (void)level;
  snprintf (context, 512, "%s", line);
}

static void
copy_long_line (void *context, enum log_level level, const char *line)
{
  (void)level;
  snprintf (context, 2049, "%s", line);
}

static void
test_log_quoting (void **state)
{
  char line[512];

  (void)state;
  log_set_sink (copy_line, line);
  for (size_t i = 0; i < sizeof quote_cases / sizeof quote_cases[0]; i++)
    {
      LOG_EVENT (LOG_LEVEL_INFO, "test",
                 LOG_STR ("value", quote_cases[i].value));
      assert_non_null (strstr (line, quote_cases[i].expected));
    }
  log_set_sink (NULL, NULL);
}

/*
 * Guards against long values that hide the fields behind them, and against two
 * of which the log shows the same.
 */
static void
test_long_log_values (void **state)
{
  static const size_t sizes[] = { 64, 192, 193, 16384 };
  char *values[2];
  char lines[2][512];

  (void)state;
  log_set_sink (copy_line, lines[0]);
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      for (unsigned j = 0; j < 2; j++)
        {
          values[j] = malloc (sizes[i] + 1);
          assert_non_null (values[j]);
          memset (values[j], 'v', sizes[i]);
          values[j][sizes[i] - 1] = (char)('a' + j);
          values[j][sizes[i]] = '\0';
          log_set_sink (copy_line, lines[j]);
          LOG_EVENT (LOG_LEVEL_INFO, "test", LOG_STR ("value", values[j]),
                     LOG_INT ("after", 7));
          assert_non_null (strstr (lines[j], " after=7"));
          if ((strstr (lines[j], values[j]) != NULL) != (sizes[i] <= 192))
            fail_msg ("%zu bytes: %s", sizes[i], lines[j]);
          if (sizes[i] > 192)
            assert_non_null (strstr (lines[j], "v..."));
        }
      assert_string_not_equal (strstr (lines[0], "value="),
                               strstr (lines[1], "value="));
      free (values[0]);
      free (values[1]);
    }
  log_set_sink (NULL, NULL);
}

/* Guards against a line that ends early and does not say so. */
static void
test_long_log_line (void **state)
{
  char value[193];
  char line[2049];

  (void)state;
  memset (value, 'v', sizeof value - 1);
  value[sizeof value - 1] = '\0';
  log_set_sink (copy_long_line, line);
  LOG_EVENT (LOG_LEVEL_INFO, "test", LOG_STR ("a", value), LOG_STR ("b", value),
             LOG_STR ("c", value), LOG_STR ("d", value), LOG_STR ("e", value),
             LOG_STR ("f", value), LOG_STR ("g", value), LOG_STR ("h", value),
             LOG_STR ("i", value), LOG_STR ("j", value), LOG_STR ("k", value));
  log_set_sink (NULL, NULL);
  assert_string_equal (line + strlen (line) - strlen (" cut=yes"), " cut=yes");
}

struct uuid_case
{
  const char *text;
  bool valid;
  int64_t unix_ms;
};

static const struct uuid_case uuid_cases[] = {
  /* The example of RFC 9562, appendix A.6. */
  { "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", true, 1645557742000 },
  { "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", true, 1645557742000 },
  { "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", false, 0 },
  { "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", false, 0 },
  { "017f22e279b07cc398c4dc0c0c07398f", false, 0 },
  { "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", false, 0 },
  { "", false, 0 },
};

static void
test_uuid_v7 (void **state)
{
  char text[UUID_SIZE];
  const uint64_t bits[2] = { 0x123456789abcdef0, 0x0fedcba987654321 };
  int64_t unix_ms;

  (void)state;
  for (size_t i = 0; i < sizeof uuid_cases / sizeof uuid_cases[0]; i++)
    {
      bool valid = uuid_parse_v7 (uuid_cases[i].text, &unix_ms);

      assert_int_equal (valid, uuid_cases[i].valid);
      if (valid)
        assert_int_equal (unix_ms, uuid_cases[i].unix_ms);
    }
  uuid_format_v7 (text, 1645557742000, bits);
  assert_true (uuid_parse_v7 (text, &unix_ms));
  assert_int_equal (unix_ms, 1645557742000);
}

static void
test_histogram_quantiles (void **state)
{
  struct histogram *histogram = malloc (sizeof *histogram);

  (void)state;
  assert_non_null (histogram);
  histogram_init (histogram);
  assert_int_equal (histogram_quantile (histogram, 0.5), 0);
  for (uint64_t value = 1; value <= 100000; value++)
    histogram_add (histogram, value);
  for (int percent = 1; percent <= 100; percent++)
    {
      double exact = percent * 1000.0;
      double estimate = (double)histogram_quantile (histogram, percent / 100.0);

      assert_true (estimate >= exact * 0.999 && estimate <= exact * 1.033);
    }
  histogram_add (histogram, UINT64_MAX);
  assert_true (histogram_quantile (histogram, 1.0) == UINT64_MAX);
  free (histogram);
}

/* Guards against label values of callers that use up memory. */
static void
test_counter_limit (void **state)
{
  struct counter_set set;

  (void)state;
  counter_set_init (&set, 2);
  counter_add (&set, "a_total", NULL, 1);
  counter_add (&set, "a_total", "customer=\"x\"", 2);
  counter_add (&set, "a_total", "customer=\"y\"", 4);
  counter_add (&set, "a_total", NULL, 1);
  assert_true (counter_read (&set, "a_total", NULL) == 2);
  assert_true (counter_read (&set, "a_total", "customer=\"x\"") == 2);
  assert_true (set.overflow.value == 4);
  counter_set_finish (&set);
}

/* Guards against two codes with one number: callers act on the number. */
static void
test_result_numbers_are_unique (void **state)
{
  (void)state;
  for (unsigned i = 0; result_entry_at (i) != NULL; i++)
    for (unsigned j = i + 1; result_entry_at (j) != NULL; j++)
      assert_int_not_equal (result_entry_at (i)->number,
                            result_entry_at (j)->number);
  assert_int_equal (result_info ((enum result)99999)->number, RESULT_INTERNAL);
}

/* Guards against docs/errors.md differing from the table of codes. */
static void
test_documentation_lists_every_code (void **state)
{
  static char page[1 << 16];
  const struct result_info *info;
  FILE *file = fopen ("docs/errors.md", "re");
  size_t size;

  (void)state;
  assert_non_null (file);
  size = fread (page, 1, sizeof page - 1, file);
  page[size] = '\0';
  fclose (file);
  for (unsigned i = 0; (info = result_entry_at (i)) != NULL; i++)
    {
      char status[8] = "";
      char row[512];

      if (info->http_status != 0)
        snprintf (status, sizeof status, "%d", info->http_status);
      snprintf (row, sizeof row, "| %d | %s | %s | %s | %s |", info->number,
                info->name, status, outcome_name (info->outcome), info->text);
      if (strstr (page, row) == NULL)
        fail_msg ("docs/errors.md lacks: %s", row);
    }
}

static void
test_rng_repeats_and_hash_separates_parts (void **state)
{
  struct rng a;
  struct rng b;
  char one[HASH_HEX_SIZE];
  char two[HASH_HEX_SIZE];
  const struct hash_part left[] = { { "ab", 2 }, { "c", 1 }, { NULL, 0 } };
  const struct hash_part right[] = { { "a", 1 }, { "bc", 2 }, { NULL, 0 } };

  (void)state;
  rng_init (&a, 7);
  rng_init (&b, 7);
  for (int i = 0; i < 1000; i++)
    {
      uint64_t value = rng_below (&a, 10);

      assert_int_equal (value, rng_below (&b, 10));
      assert_true (value < 10);
    }
  hash_hex (left, one);
  hash_hex (right, two);
  assert_string_not_equal (one, two);
}

struct address_case
{
  const char *text;
  bool is_valid;
};

static const struct address_case address_cases[] = {
  { "10.0.0.1:80", true },     { "10.0.0.1", false },
  { "10.0.0.1:", false },      { "10.0.0.1:0", false },
  { "10.0.0.1:8x", false },    { "10.0.0.1:70000", false },
  { "10.0.0.1:+80", false },   { "10.0.0.1: 80", false },
  { "10.0.0.1:-80", false },   { "10.0.0.1:65535", true },
  { "10.0.0.1:65536", false }, { "10.0.0.1:99999999999999999999", false },
};

static void
test_parse_address (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof address_cases / sizeof address_cases[0]; i++)
    {
      char address[64];
      uint16_t port;

      assert_int_equal (net_parse_address (address_cases[i].text, address,
                                           sizeof address, &port),
                        address_cases[i].is_valid);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parse_address),
    cmocka_unit_test (test_log_quoting),
    cmocka_unit_test (test_long_log_values),
    cmocka_unit_test (test_long_log_line),
    cmocka_unit_test (test_uuid_v7),
    cmocka_unit_test (test_histogram_quantiles),
    cmocka_unit_test (test_counter_limit),
    cmocka_unit_test (test_result_numbers_are_unique),
    cmocka_unit_test (test_documentation_lists_every_code),
    cmocka_unit_test (test_rng_repeats_and_hash_separates_parts),
  };

  return cmocka_run_group_tests_name ("base", tests, NULL, NULL);
}
