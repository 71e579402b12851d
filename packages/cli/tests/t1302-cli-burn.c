#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "burn-report.h"
#include "prometheus.h"

struct metric_case
{
  const char *text;
  double sum; /* sum of the samples of x_total */
  int count;  /* number of these samples */
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

struct sample_sum
{
  double value;
  int count;
};

static void
sum_sample (void *context, const char *labels, double value)
{
  struct sample_sum *sum = context;

  (void)labels;
  sum->value += value;
  sum->count++;
}

/* A sample of another metric or a malformed line must not be counted. */
static void
test_only_samples_of_metric_are_read (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof metric_cases / sizeof metric_cases[0]; i++)
    {
      struct sample_sum sum = { 0, 0 };

      prometheus_for_each_sample (metric_cases[i].text, "x_total", sum_sample,
                                  &sum);
      if (sum.value != metric_cases[i].sum
          || sum.count != metric_cases[i].count)
        fail_msg ("%s: %f of %d", metric_cases[i].text, sum.value, sum.count);
    }
}

struct label_case
{
  const char *labels;
  const char *expected; /* value of the label spec; NULL = absent */
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

/* Guards against the value of another label, and against a truncated value. */
static void
test_label_is_unescaped (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof label_cases / sizeof label_cases[0]; i++)
    {
      char out[16] = "";
      bool found = prometheus_get_label (label_cases[i].labels, "spec", out,
                                         sizeof out);

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
add_daemon_response (struct burn_report *report,
                     const char *text,
                     enum result expected)
{
  json_t *json = json_loads (text, 0, NULL);

  assert_non_null (json);
  assert_int_equal (burn_report_add_daemon (report, json, 10000000), expected);
  json_decref (json);
}

/*
 * Sums the windows of two daemons with an objective of 99%.  In 300 s 4 of 200
 * requests are bad, twice what the objective permits.  In 3600 s 5 of 1000 are
 * bad, half of the budget of 10.
 */
static void
test_windows_are_summed (void **state)
{
  struct burn_report report;

  (void)state;
  burn_report_init (&report);
  add_daemon_response (
      &report,
      "{\"started_ms\":0,\"windows\":[" WINDOW (
          "3600", "496", "500") "," WINDOW ("300", "97", "100") "]}",
      RESULT_OK);
  add_daemon_response (
      &report,
      "{\"started_ms\":9000000,\"windows\":[" WINDOW (
          "300", "99", "100") "," WINDOW ("3600", "499", "500") "]}",
      RESULT_OK);
  burn_report_compute (&report, 99);
  assert_int_equal (report.window_count, 2);
  assert_int_equal (report.windows[0].window_s, 300);
  assert_int_equal (report.windows[0].total, 200);
  assert_true (fabs (report.windows[0].burn_rate - 2) < 1e-9);
  assert_true (fabs (report.windows[0].budget_used - 0.4) < 1e-9);
  assert_false (report.windows[0].partial);
  assert_true (fabs (report.windows[1].burn_rate - 0.5) < 1e-9);
  assert_true (fabs (report.windows[1].budget_used - 0.5) < 1e-9);
  /* The second daemon has run for 1000 s only. */
  assert_true (report.windows[1].partial);
  burn_report_finish (&report);
}

/*
 * A window without requests must have the burn rate 0.  Guards against a
 * division by zero.
 */
static void
test_window_without_requests (void **state)
{
  struct burn_report report;

  (void)state;
  burn_report_init (&report);
  add_daemon_response (
      &report, "{\"started_ms\":0,\"windows\":[" WINDOW ("300", "0", "0") "]}",
      RESULT_OK);
  burn_report_compute (&report, 99);
  assert_true (report.windows[0].burn_rate == 0);
  assert_true (report.windows[0].budget_used == 0);
  burn_report_finish (&report);
}

static const char *const malformed_burn_responses[] = {
  "{}",
  "{\"windows\":[]}",
  "{\"started_ms\":0,\"windows\":{}}",
  "{\"started_ms\":0,\"windows\":[" WINDOW ("300", "2", "1") "]}",
  "{\"started_ms\":0,\"windows\":[" WINDOW ("300", "-1", "1") "]}",
  "{\"started_ms\":0,\"windows\":[{}]}",
};

/*
 * A malformed response must be rejected.  More good requests than all requests
 * would give a negative burn rate.
 */
static void
test_malformed_burn_is_rejected (void **state)
{
  (void)state;
  for (size_t i = 0;
       i < sizeof malformed_burn_responses / sizeof malformed_burn_responses[0];
       i++)
    {
      struct burn_report report;

      burn_report_init (&report);
      add_daemon_response (&report, malformed_burn_responses[i],
                           RESULT_INVALID);
      burn_report_finish (&report);
    }
}

/* Guards against counting only one entry host, and against mixing specs. */
static void
test_metrics_are_summed (void **state)
{
  static const char text[] = "waxwing_group_downtime_ms_total{spec=\"a\"} 10\n"
                             "waxwing_group_downtime_ms_total{spec=\"b\"} 5\n"
                             "waxwing_stranded_accelerator_ms_total 7\n";
  struct burn_report report;

  (void)state;
  burn_report_init (&report);
  burn_report_add_metrics (&report, text);
  burn_report_add_metrics (&report, text);
  assert_int_equal (report.downtime_count, 2);
  assert_string_equal (report.downtimes[0].spec, "a");
  assert_true (report.downtimes[0].downtime_ms == 20);
  assert_true (report.stranded_ms == 14);
  burn_report_finish (&report);
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
test_window_is_formatted (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof window_cases / sizeof window_cases[0]; i++)
    {
      char out[24];

      burn_report_format_window (out, window_cases[i].seconds);
      assert_string_equal (out, window_cases[i].expected);
    }
}

/* A name with a quotation mark or newline must not become a gnuplot command. */
static void
test_plot_drops_control_characters (void **state)
{
  struct burn_report report;
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  json_t *json
      = json_pack ("{s:i, s:[{s:i, s:s, s:s, s:i, s:i}]}", "started_ms", 0,
                   "windows", "window_s", 300, "customer", "c\"\nsystem \"x\"",
                   "target", "m", "good", 1, "total", 1);

  (void)state;
  assert_non_null (out);
  burn_report_init (&report);
  assert_int_equal (burn_report_add_daemon (&report, json, 10000000),
                    RESULT_OK);
  burn_report_compute (&report, 99);
  burn_report_write_plot (&report, 99, "out.svg", out);
  fclose (out);
  assert_null (strstr (text, "\nsystem"));
  assert_non_null (strstr (text, "\n\"csystem x m, 5 min\" 0.000000\n"));
  free (text);
  json_decref (json);
  burn_report_finish (&report);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_only_samples_of_metric_are_read),
    cmocka_unit_test (test_label_is_unescaped),
    cmocka_unit_test (test_windows_are_summed),
    cmocka_unit_test (test_window_without_requests),
    cmocka_unit_test (test_malformed_burn_is_rejected),
    cmocka_unit_test (test_metrics_are_summed),
    cmocka_unit_test (test_window_is_formatted),
    cmocka_unit_test (test_plot_drops_control_characters),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
