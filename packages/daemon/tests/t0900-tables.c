#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "demand-table.h"
#include "error-budget-counts.h"
#include "log-history.h"

struct log_history_case
{
  const char *kind;
  const char *id;
  size_t match_count; /* number of lines; SIZE_MAX = the query is rejected */
};

static const char *const lines[] = {
  "<30>T h d[1]: event=request-end request_id=r1 endpoint=e1 code=0",
  "<30>T h d[1]: event=request-end request_id=r11 endpoint=e2 code=0",
  "<29>T h d[1]: event=placement step=form group=g1 reason=\"r1 and e1\"",
  "<29>T h d[1]: event=order-sent host=e1 op=load group=g1",
  "<29>T h d[1]: event=quoted host=\"e 1\" group=g2",
};

/* Guards against explanations that lack lines of their group, host or request,
 * or that show lines of another one. */
static const struct log_history_case log_history_cases[] = {
  { "request", "r1", 1 },   { "request", "r11", 1 },      { "request", "r", 0 },
  { "group", "g1", 2 },     { "host", "e1", 2 },          { "host", "e 1", 1 },
  { "host", "", SIZE_MAX }, { "colour", "g1", SIZE_MAX },
};

static void
test_log_history (void **state)
{
  static struct log_history history;

  (void)state;
  log_history_init (&history);
  for (size_t i = 0; i < sizeof lines / sizeof lines[0]; i++)
    log_history_add (&history, lines[i], 1000);
  for (size_t i = 0; i < sizeof log_history_cases / sizeof log_history_cases[0];
       i++)
    {
      const struct log_history_case *c = &log_history_cases[i];
      json_t *matches = log_history_find (&history, c->kind, c->id);

      if ((matches == NULL ? SIZE_MAX : json_array_size (matches))
          != c->match_count)
        fail_msg ("case %s \"%s\"", c->kind, c->id);
      json_decref (matches);
    }
  /* A line is overwritten only after LOG_HISTORY_LINES newer ones. */
  for (size_t i = 0; i < LOG_HISTORY_LINES - 1; i++)
    log_history_add (&history, "x event=filler host=f", 2000);
  json_t *matches = log_history_find (&history, "host", "e 1");
  assert_int_equal (json_array_size (matches), 1);
  json_decref (matches);
  log_history_add (&history, "x event=filler host=f", 2000);
  matches = log_history_find (&history, "host", "e 1");
  assert_int_equal (json_array_size (matches), 0);
  json_decref (matches);
  log_history_finish (&history);
}

static json_int_t
get_window_value (const struct error_budget_counts *counts,
                  int window_s,
                  const char *name)
{
  json_t *json = error_budget_counts_to_json (counts);
  json_t *entry;
  json_int_t value = -1;
  size_t i;

  json_array_foreach (json_object_get (json, "windows"), i, entry)
    if (json_integer_value (json_object_get (entry, "window_s")) == window_s)
      value = json_integer_value (json_object_get (entry, name));
  json_decref (json);
  return value;
}

/* Guards against bad requests that stay in a window after they are too old for
 * it, or that leave it too early. */
static void
test_error_budget_windows (void **state)
{
  const char *labels = "customer=\"c\",target=\"model/m\"";
  struct counter_set counters;
  struct error_budget_counts counts;
  int64_t now_ms = 0;

  (void)state;
  counter_set_init (&counters, 100);
  error_budget_counts_init (&counts, 0, 5000);
  counter_add (&counters, "waxwing_slo_total", labels, 10);
  counter_add (&counters, "waxwing_slo_good_total", labels, 4);
  error_budget_counts_update (&counts, &counters, now_ms);
  assert_int_equal (get_window_value (&counts, 300, "total"), 10);
  assert_int_equal (get_window_value (&counts, 300, "good"), 4);
  for (int minute = 1; minute <= 10; minute++)
    {
      now_ms += 60000;
      counter_add (&counters, "waxwing_slo_total", labels, 1);
      counter_add (&counters, "waxwing_slo_good_total", labels, 1);
      error_budget_counts_update (&counts, &counters, now_ms);
    }
  assert_int_equal (get_window_value (&counts, 300, "total"), 5);
  assert_int_equal (get_window_value (&counts, 300, "good"), 5);
  assert_int_equal (get_window_value (&counts, 3600, "total"), 20);
  assert_int_equal (get_window_value (&counts, 3600, "good"), 14);
  /* After a time step longer than the longest window, all windows are empty. */
  now_ms += INT64_C (10) * 24 * 3600 * 1000;
  error_budget_counts_update (&counts, &counters, now_ms);
  assert_int_equal (get_window_value (&counts, 3 * 24 * 3600, "total"), 0);
  error_budget_counts_finish (&counts);
  counter_set_finish (&counters);
}

/*
 * Guards against an old report that is counted beside the new one of the same
 * host, and against demand of another target whose name starts the same.
 */
static void
test_demand_table (void **state)
{
  struct shares_peer peers[DEMAND_PEERS_LIMIT];
  struct demand_table table;

  (void)state;
  demand_table_init (&table);
  demand_table_record (&table, "e1", "model/m", 3, 100);
  demand_table_record (&table, "e2", "model/m", 4, 200);
  demand_table_record (&table, "e1", "model/m2", 9, 100);
  demand_table_record (&table, "e1", "model/m", 5, 300);
  assert_int_equal (demand_table_find_peers (&table, "model/m", peers), 2);
  assert_int_equal (peers[0].demand + peers[1].demand, 9);
  assert_int_equal (demand_table_find_peers (&table, "model", peers), 0);
  demand_table_finish (&table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_log_history),
    cmocka_unit_test (test_error_budget_windows),
    cmocka_unit_test (test_demand_table),
  };

  return cmocka_run_group_tests_name ("daemon-tables", tests, NULL, NULL);
}
