#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sheet-diff.h"
#include "sheet-read.h"
#include "sheet-sample.h"
#include "sheet-version.h"

static void
read_text (struct sheet *sheet, const char *text)
{
  const struct sheet_read_options options = { .force = true };
  struct sheet_report report;

  sheet_init (sheet);
  sheet_report_init (&report);
  assert_int_equal (sheet_read (sheet, text, strlen (text), &options, &report),
                    RESULT_OK);
  sheet_report_finish (&report);
}

/* A field that the JSON codec drops would never reach the daemons. */
static void
test_json_round_trip (void **state)
{
  struct sheet sheet;
  struct sheet copy;
  const struct sheet none = { .number = 6 };
  json_t *json;
  json_t *again;

  (void)state;
  read_text (&sheet, GOOD);
  assert_int_equal (sheet_make_next (&sheet, &none, "ana", "token", 1234),
                    RESULT_OK);
  json = sheet_to_json (&sheet);
  assert_non_null (json);
  sheet_init (&copy);
  assert_int_equal (sheet_from_json (&copy, json), RESULT_OK);
  again = sheet_to_json (&copy);
  assert_true (json_equal (json, again));
  assert_int_equal (copy.number, 7);
  assert_int_equal (copy.history_count, 1);
  assert_string_equal (copy.history[0].operator_name, "ana");
  assert_string_equal (copy.history[0].token, "token");
  assert_int_equal (copy.history[0].applied_wall_ms, 1234);
  json_decref (json);
  json_decref (again);
  sheet_finish (&copy);
  sheet_finish (&sheet);
}

struct json_case
{
  const char *name;
  const char *from; /* replaced by to in the JSON text of the sheet GOOD */
  const char *to;
};

static const struct json_case json_cases[] = {
  { "number is negative", "\"number\":0", "\"number\":-1" },
  { "no groups", "\"groups\"", "\"others\"" },
  { "no history", "\"history\"", "\"past\"" },
  { "span 0", "\"span\":2", "\"span\":0" },
  { "span over the limit", "\"span\":2", "\"span\":65" },
  { "weight 0 would divide by zero", "\"weight\":5", "\"weight\":0" },
  { "name is a number", "\"name\":\"g\"", "\"name\":3" },
  { "name is empty", "\"name\":\"g\"", "\"name\":\"\"" },
  { "list holds a number", "\"casa-1\"", "1" },
  { "list is a text", "[\"x\",\"y\"]", "\"x\"" },
  { "name does not fit", "\"name\":\"g\"",
    "\"name\":\"0123456789012345678901234567890123456789012345678901234567890"
    "123\"" },
};

/* A damaged platform object must be rejected rather than partly adopted. */
static void
test_damaged_json_is_rejected (void **state)
{
  struct sheet sheet;
  json_t *json;
  char *text;

  (void)state;
  read_text (&sheet, GOOD);
  json = sheet_to_json (&sheet);
  text = json_dumps (json, JSON_COMPACT);
  for (size_t i = 0; i < sizeof json_cases / sizeof json_cases[0]; i++)
    {
      const char *place = strstr (text, json_cases[i].from);
      struct sheet copy;
      json_t *changed;
      char buffer[4096];

      assert_non_null (place);
      snprintf (buffer, sizeof buffer, "%.*s%s%s", (int)(place - text), text,
                json_cases[i].to, place + strlen (json_cases[i].from));
      changed = json_loads (buffer, 0, NULL);
      assert_non_null (changed);
      sheet_init (&copy);
      if (sheet_from_json (&copy, changed) != RESULT_INVALID)
        fail_msg ("accepted: %s", json_cases[i].name);
      sheet_finish (&copy);
      json_decref (changed);
    }
  free (text);
  json_decref (json);
  sheet_finish (&sheet);
}

#define MODEL_N "model,n,,2,,,,,,,,,,,,\n"
#define GROUP_H "group,h,m,,,1,1,casa-2,,,c,,,,,\n"

struct diff_case
{
  const char *name;
  const char *before;
  const char *after;
  const char *expected; /* output of describe_diff */
  bool same_hash;
};

static const struct diff_case diff_cases[] = {
  { "same", GOOD, GOOD, "", true },
  { "added and removed", HEADER MODEL CUSTOMER END ("2"),
    HEADER MODEL MODEL_N END ("2"), "added model n, removed customer c, ",
    false },
  { "changed fields", GOOD,
    HEADER MODEL CUSTOMER
    "group,g,m,2,,2,3,casa-1,,,c,,,,,\n" SERVICE END ("4"),
    "changed group g version 1.0>2 count 2>3, ", false },
  { "groups inherit the version of their model",
    HEADER MODEL CUSTOMER GROUP END ("3"),
    HEADER "model,m,,2,x;y,,,,,,,,,,,\n" CUSTOMER GROUP END ("3"),
    "changed model m version 1.0>2, changed group g version 1.0>2, ", false },
  { "order of list entries is ignored",
    HEADER "model,m,,1,x;y,,,,,,,,,,,\n" END ("1"),
    HEADER "model,m,,1,y;x,,,,,,,,,,,\n" END ("1"), "", true },
  { "order of models is ignored", HEADER MODEL MODEL_N END ("2"),
    HEADER MODEL_N MODEL END ("2"), "", true },
  { "order of groups is their priority",
    HEADER MODEL CUSTOMER GROUP GROUP_H END ("4"),
    HEADER MODEL CUSTOMER GROUP_H GROUP END ("4"), "order", false },
};

static void
describe_diff (const struct sheet_diff *diff, char *out, size_t size)
{
  FILE *stream = fmemopen (out, size, "w");

  assert_non_null (stream);
  for (size_t i = 0; i < diff->row_count; i++)
    {
      const struct sheet_diff_row *row = &diff->rows[i];

      fprintf (stream, "%s %s %s", sheet_difference_name (row->difference),
               sheet_kind_name (row->kind), row->name);
      for (size_t j = 0; j < row->field_count; j++)
        fprintf (stream, " %s %s>%s", sheet_column_name (row->fields[j].column),
                 row->fields[j].before, row->fields[j].after);
      fputs (", ", stream);
    }
  if (diff->group_order_changed)
    fputs ("order", stream);
  fclose (stream);
}

/* Guards against a missing or a false difference shown to the operator. */
static void
test_diff_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof diff_cases / sizeof diff_cases[0]; i++)
    {
      const struct diff_case *diff_case = &diff_cases[i];
      struct sheet before;
      struct sheet after;
      struct sheet_diff diff;
      char before_hash[HASH_HEX_SIZE];
      char after_hash[HASH_HEX_SIZE];
      char text[512] = "";

      read_text (&before, diff_case->before);
      read_text (&after, diff_case->after);
      sheet_diff_init (&diff);
      assert_int_equal (sheet_diff_make (&diff, &before, &after), RESULT_OK);
      describe_diff (&diff, text, sizeof text);
      assert_string_equal (text, diff_case->expected);
      assert_int_equal (sheet_diff_is_empty (&diff),
                        *diff_case->expected == '\0');
      assert_int_equal (sheet_hash (&before, before_hash), RESULT_OK);
      assert_int_equal (sheet_hash (&after, after_hash), RESULT_OK);
      assert_int_equal (strcmp (before_hash, after_hash) == 0,
                        diff_case->same_hash);
      sheet_diff_finish (&diff);
      sheet_finish (&before);
      sheet_finish (&after);
    }
}

/* Guards against an unbounded history and against losing its newest entry. */
static void
test_history_is_limited (void **state)
{
  struct sheet previous;
  struct sheet next;
  char token[SHEET_TOKEN_SIZE];

  (void)state;
  sheet_init (&previous);
  for (int i = 1; i <= SHEET_HISTORY_LIMIT + 5; i++)
    {
      read_text (&next, GOOD);
      snprintf (token, sizeof token, "token-%d", i);
      assert_int_equal (sheet_make_next (&next, &previous, "ana", token, i),
                        RESULT_OK);
      sheet_finish (&previous);
      previous = next;
      assert_int_equal (previous.number, i);
      assert_string_equal (previous.history[0].token, token);
      assert_int_equal (previous.history[0].number, i);
    }
  assert_int_equal (previous.history_count, SHEET_HISTORY_LIMIT);
  assert_int_equal (previous.history[SHEET_HISTORY_LIMIT - 1].number, 6);
  sheet_finish (&previous);
}

/* A history entry that sheet_from_json rejects must not be written. */
static void
test_make_next_rejects_bad_names (void **state)
{
  struct sheet previous;
  struct sheet next;
  char text[SHEET_NAME_SIZE + 1];

  (void)state;
  sheet_init (&previous);
  read_text (&next, GOOD);
  memset (text, 'x', SHEET_NAME_SIZE);
  text[SHEET_NAME_SIZE] = '\0';
  assert_int_equal (sheet_make_next (&next, &previous, text, "t", 1),
                    RESULT_INVALID);
  assert_int_equal (sheet_make_next (&next, &previous, "ana", text, 1),
                    RESULT_INVALID);
  assert_int_equal (sheet_make_next (&next, &previous, "", "t", 1),
                    RESULT_INVALID);
  assert_int_equal (next.number, 0);
  sheet_finish (&next);
}

struct call_case
{
  const char *entries[2]; /* non_idempotent of the service */
  const char *method;
  const char *path;
  bool expected;
};

static const struct call_case call_cases[] = {
  { { NULL }, "POST", "/book", false },
  { { "*" }, "POST", "/book", true },
  { { "*" }, "DELETE", "/", true },
  { { "*" }, "GET", "/book", false },
  { { "*" }, "HEAD", "/book", false },
  { { "*" }, "OPTIONS", "/book", true },
  { { "POST /book" }, "POST", "/book", true },
  { { "POST /book" }, "POST", "/bookings/7?x=1", true },
  { { "POST /book" }, "PUT", "/book", false },
  { { "POST /book" }, "POST", "/quote", false },
  { { "POST /book" }, "POST", "/quote?next=/book", false },
  { { "PUT /a", "POST /book" }, "POST", "/book", true },
  /* Other spellings of the path must not bypass the entry. */
  { { "POST /book" }, "post", "/book", true },
  { { "POST /book" }, "POST", "book", true },
  { { "POST /book" }, "POST", "//book", true },
  { { "POST /book" }, "POST", "/%62ook", true },
  { { "POST /book" }, "POST", "/%2Fbook", true },
  { { "POST /book" }, "POST", "/./book", true },
  { { "POST /book" }, "POST", "/quote/../book", true },
  { { "POST /book" }, "POST", "/../book", true },
  { { "POST /book" }, "POST", "/quote/%2e%2e/book", true },
  { { "POST /book" }, "POST", "/book/../quote", true },
  { { "POST /book" }, "POST", "/x%00", true },
};

/*
 * Guards against repeating a non-idempotent call, such as a booking, because
 * its path is spelt differently.
 */
static void
test_call_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof call_cases / sizeof call_cases[0]; i++)
    {
      const struct call_case *call_case = &call_cases[i];
      char entries[2][SHEET_NAME_SIZE] = { "", "" };
      struct sheet_service service = { .non_idempotent = { entries, 0 } };

      for (size_t j = 0; j < 2 && call_case->entries[j] != NULL; j++)
        {
          snprintf (entries[j], SHEET_NAME_SIZE, "%s", call_case->entries[j]);
          service.non_idempotent.count++;
        }
      if (sheet_call_is_non_idempotent (&service, call_case->method,
                                        call_case->path)
          != call_case->expected)
        fail_msg ("%s %s %s", call_case->entries[0], call_case->method,
                  call_case->path);
    }
}

/* The example files that docs/sheet.md refers to must be valid sheets. */
static void
test_example_files_are_valid (void **state)
{
  static const struct
  {
    const char *path;
    const char *model;
    const char *service;
  } examples[] = {
    { "examples/atlas.csv", "draft-llm", "booking-app" },
    { "examples/superintendencia.csv", "gauge-llm", "registry-app" },
  };

  (void)state;
  for (size_t i = 0; i < sizeof examples / sizeof examples[0]; i++)
    {
      static char text[65536];
      FILE *file = fopen (examples[i].path, "r");
      struct sheet sheet;

      assert_non_null (file);
      text[fread (text, 1, sizeof text - 1, file)] = '\0';
      fclose (file);
      read_text (&sheet, text);
      assert_non_null (sheet_find_model (&sheet, examples[i].model));
      assert_non_null (sheet_find_service (&sheet, examples[i].service));
      assert_int_equal (sheet.customer_count, 10);
      sheet_finish (&sheet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_json_round_trip),
    cmocka_unit_test (test_damaged_json_is_rejected),
    cmocka_unit_test (test_diff_cases),
    cmocka_unit_test (test_history_is_limited),
    cmocka_unit_test (test_make_next_rejects_bad_names),
    cmocka_unit_test (test_call_cases),
    cmocka_unit_test (test_example_files_are_valid),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
