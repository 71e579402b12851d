#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burn.h"
#include "prometheus.h"

struct metric_case
{
  const char *text;
  double sum; /* of x_total */
  int count;
};

static const struct metric_case metric_cases[] = {
  { "", 0, 0 },
  { "x_total 3\n", 3, 1 },
  { "x_total{a=\"1\"} 3\nx_total{a=\"2\"} 4", 7, 2 },
  { "x_total_more 3\nmy_x_total 4\n", 0, 0 },
  { "# TYPE x_total counter\nx_total 1e3 1700000000000\r\n", 1000, 1 },
  { "x_total{a=\"}\\\"\"} 5\n", 5, 1 },
  { "x_total{a=\"1\" 5\nx_total 2\n", 2, 1 },
  { "x_total{a=\"1\"}5\n", 0, 0 },
  { "x_total NaN\nx_total +Inf\nx_total 3x\nx_total\n", 0, 0 },
};

struct sum
{
  double value;
  int count;
};

static void
add_sample (void *context, const char *labels, double value)
{
  struct sum *sum = context;

  (void)labels;
  sum->value += value;
  sum->count++;
}

/* A sample of another metric, or a broken line, must not be counted. */
static void
test_metric_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof metric_cases / sizeof metric_cases[0]; i++)
    {
      struct sum sum = { 0, 0 };

      prometheus_each (metric_cases[i].text, "x_total", add_sample, &sum);
      if (sum.value != metric_cases[i].sum
          || sum.count != metric_cases[i].count)
        fail_msg ("%s: %f of %d", metric_cases[i].text, sum.value, sum.count);
    }
}

struct label_case
{
  const char *labels;
  const char *expected; /* of label spec; NULL = absent */
};

static const struct label_case label_cases[] = {
  { "", NULL },
  { "spec=\"a\"", "a" },
  { "x=\"spec=\",spec=\"b\"", "b" },
  { "myspec=\"a\"", NULL },
  { "spec=\"a\\\"b\\\\c\"", "a\"b\\c" },
  { "spec=\"open", NULL },
  { "spec=a", NULL },
  { "spec=\"0123456789abcdef\"", NULL },
};

static void
test_label_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof label_cases / sizeof label_cases[0]; i++)
    {
      char out[16] = "";
      bool found
          = prometheus_label (label_cases[i].labels, "spec", out, sizeof out);

      assert_int_equal (found, label_cases[i].expected != NULL);
      if (found)
        assert_string_equal (out, label_cases[i].expected);
    }
}

#define WINDOW(seconds, good, total)                                           \
  "{\"window_s\":" seconds                                                     \
  ",\"customer\":\"c\",\"target\":\"m\",\"good\":" good ",\"total\":" total    \
  "}"

static void
add_text (struct burn *burn, const char *text, enum result expected)
{
  json_t *json = json_loads (text, 0, NULL);

  assert_non_null (json);
  assert_int_equal (burn_add (burn, json, 10000000), expected);
  json_decref (json);
}

/*
 * Two daemons, objective 99%: in 300 s 4 of 200 are bad, twice what the
 * objective permits; in 3600 s 5 of 1000, half of the budget of 10.
 */
static void
test_burn (void **state)
{
  struct burn burn;

  (void)state;
  burn_init (&burn);
  add_text (&burn,
            "{\"started_ms\":0,\"windows\":[" WINDOW (
                "3600", "496", "500") "," WINDOW ("300", "97", "100") "]}",
            RESULT_OK);
  add_text (&burn,
            "{\"started_ms\":9000000,\"windows\":[" WINDOW (
                "300", "99", "100") "," WINDOW ("3600", "499", "500") "]}",
            RESULT_OK);
  burn_compute (&burn, 99);
  assert_int_equal (burn.window_count, 2);
  assert_int_equal (burn.windows[0].window_s, 300);
  assert_int_equal (burn.windows[0].total, 200);
  assert_true (fabs (burn.windows[0].burn_rate - 2) < 1e-9);
  assert_true (fabs (burn.windows[0].budget_used - 0.4) < 1e-9);
  assert_false (burn.windows[0].partial);
  assert_true (fabs (burn.windows[1].burn_rate - 0.5) < 1e-9);
  assert_true (fabs (burn.windows[1].budget_used - 0.5) < 1e-9);
  /* The second daemon started 1000 s ago. */
  assert_true (burn.windows[1].partial);
  burn_finish (&burn);
}

/* No request is no failure, and no division by zero. */
static void
test_burn_without_requests (void **state)
{
  struct burn burn;

  (void)state;
  burn_init (&burn);
  add_text (&burn,
            "{\"started_ms\":0,\"windows\":[" WINDOW ("300", "0", "0") "]}",
            RESULT_OK);
  burn_compute (&burn, 99);
  assert_true (burn.windows[0].burn_rate == 0);
  assert_true (burn.windows[0].budget_used == 0);
  burn_finish (&burn);
}

static const char *const bad_burns[] = {
  "{}",
  "{\"windows\":[]}",
  "{\"started_ms\":0,\"windows\":{}}",
  "{\"started_ms\":0,\"windows\":[" WINDOW ("300", "2", "1") "]}",
  "{\"started_ms\":0,\"windows\":[" WINDOW ("300", "-1", "1") "]}",
  "{\"started_ms\":0,\"windows\":[{}]}",
};

/* More good than all requests would give a negative burn rate. */
static void
test_burn_is_checked (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof bad_burns / sizeof bad_burns[0]; i++)
    {
      struct burn burn;

      burn_init (&burn);
      add_text (&burn, bad_burns[i], RESULT_INVALID);
      burn_finish (&burn);
    }
}

static void
test_metrics_are_summed (void **state)
{
  static const char text[] = "waxwing_group_downtime_ms_total{spec=\"a\"} 10\n"
                             "waxwing_group_downtime_ms_total{spec=\"b\"} 5\n"
                             "waxwing_stranded_accelerator_ms_total 7\n";
  struct burn burn;

  (void)state;
  burn_init (&burn);
  burn_add_metrics (&burn, text);
  burn_add_metrics (&burn, text);
  assert_int_equal (burn.downtime_count, 2);
  assert_string_equal (burn.downtimes[0].spec, "a");
  assert_true (burn.downtimes[0].ms == 20);
  assert_true (burn.stranded_ms == 14);
  burn_finish (&burn);
}

struct window_case
{
  uint64_t seconds;
  const char *expected;
};

static const struct window_case window_cases[] = {
  { 300, "5 min" },  { 3600, "1 h" }, { 21600, "6 h" },
  { 259200, "3 d" }, { 90, "90 s" },  { 0, "0 s" },
};

static void
test_window_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof window_cases / sizeof window_cases[0]; i++)
    {
      char out[24];

      burn_format_window (out, window_cases[i].seconds);
      assert_string_equal (out, window_cases[i].expected);
    }
}

/* A name with a quotation mark or line end must not become a command. */
static void
test_plot_is_quoted (void **state)
{
  struct burn burn;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  json_t *json
      = json_pack ("{s:i, s:[{s:i, s:s, s:s, s:i, s:i}]}", "started_ms", 0,
                   "windows", "window_s", 300, "customer", "c\"\nsystem \"x\"",
                   "target", "m", "good", 1, "total", 1);

  (void)state;
  assert_non_null (out);
  burn_init (&burn);
  assert_int_equal (burn_add (&burn, json, 10000000), RESULT_OK);
  burn_compute (&burn, 99);
  burn_plot (&burn, 99, "out.svg", out);
  fclose (out);
  assert_null (strstr (text, "\nsystem"));
  assert_non_null (strstr (text, "\n\"csystem x m, 5 min\" 0.000000\n"));
  free (text);
  json_decref (json);
  burn_finish (&burn);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_metric_cases),
    cmocka_unit_test (test_label_cases),
    cmocka_unit_test (test_burn),
    cmocka_unit_test (test_burn_without_requests),
    cmocka_unit_test (test_burn_is_checked),
    cmocka_unit_test (test_metrics_are_summed),
    cmocka_unit_test (test_window_cases),
    cmocka_unit_test (test_plot_is_quoted),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
