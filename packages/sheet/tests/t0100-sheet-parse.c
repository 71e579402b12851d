#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sheet-read.h"
#include "sheet-sample.h"

#define EXPECTED_LIMIT 4

/* Fields of struct sheet_error; a column or value that is NULL matches any. */
struct expected_error
{
  enum result code;
  unsigned row;
  const char *column;
  const char *value;
};

struct parse_case
{
  const char *name;
  const char *text;
  struct expected_error errors[EXPECTED_LIMIT]; /* none = the sheet is valid */
  unsigned previous_rows;                       /* rows of the accepted sheet */
  bool with_inventory;
  bool force;
};

static const struct parse_case parse_cases[] = {
  /* Variants of CSV that spreadsheet programs export. */
  { "plain", GOOD },
  { "byte-order mark", "\xef\xbb\xbf" GOOD },
  { "no line end after the end row", HEADER CUSTOMER "end,,,,,,1,,,,,,,,," },
  { "CRLF and blank lines",
    "kind,name,model,version,adapters,span,count,data_centres,domains,hosts,"
    "customers,credential_sha256,weight,rate,in_flight,non_idempotent\r\n"
    "\r\nmodel,m,,1,,,,,,,,,,,,\r\nend,,,,,,1,,,,,,,,,\r\n\r\n" },
  { "quoted cells and spaces in a list",
    HEADER "\"model\",\"m\",\"\",\"1\",\"x; y\",,,,,,,,,,,\"\"\n" END ("1") },
  { "other order of columns",
    "name,kind,model,version,adapters,span,data_centres,domains,hosts,"
    "customers,credential_sha256,weight,rate,in_flight,non_idempotent,count\n"
    "m,model,,1,,,,,,,,,,,,\n,end,,,,,,,,,,,,,,1\n" },
  { "UTF-8 name", HEADER "model,medici\xc3\xb3n,,1,,,,,,,,,,,,\n" END ("1") },

  /* CSV and encoding. */
  { "empty file", "", .errors = { { RESULT_SHEET_HEADER, 1, "" } } },
  { "UTF-16", "\xff\xfek", .errors = { { RESULT_SHEET_ENCODING, 1, "" } } },
  { "bad UTF-8 in two cells",
    HEADER "model,m\xff,,\xc3,,,,,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_ENCODING, 2, "name", "m\\xff" },
                { RESULT_SHEET_ENCODING, 2, "version", "\\xc3" } } },
  { "overlong UTF-8 and a surrogate",
    HEADER "model,\xc0\xaf,,\xed\xa0\x80,,,,,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_ENCODING, 2, "name" },
                { RESULT_SHEET_ENCODING, 2, "version" } } },
  { "line end inside a name",
    HEADER "model,\"m\nn\",,1,,,,,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "name", "m\\x0an" } } },
  { "quotation mark not closed", HEADER "model,\"m,,1,,,,,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_SYNTAX, 4 },
                { RESULT_SHEET_TRUNCATED, 4 },
                { RESULT_SHEET_SHRUNK, 0 } } },
  { "misplaced quotation mark",
    HEADER MODEL "model,a\"b,,1,,,,,,,,,,,,\n" END ("2"),
    .errors = { { RESULT_SHEET_SYNTAX, 3, "name" },
                { RESULT_SHEET_TRUNCATED, 3, "kind" } } },
  { "row with too few cells", HEADER MODEL "model,n,,1\n" END ("2"),
    .errors = { { RESULT_SHEET_SYNTAX, 3, "" } } },
  { "row with too many cells", HEADER "model,m,,1,,,,,,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_SYNTAX, 2, "" } } },

  /* Header. */
  { "header lacks a column, repeats one and has an unknown one",
    "kind,name,name,version,adapters,span,count,data_centres,domains,hosts,"
    "customers,credential_sha256,weight,rate,in_flight,colour\n" END ("0"),
    .errors = { { RESULT_SHEET_HEADER, 1, "", "name" },
                { RESULT_SHEET_HEADER, 1, "", "colour" },
                { RESULT_SHEET_HEADER, 1, "model" },
                { RESULT_SHEET_HEADER, 1, "non_idempotent" } } },

  /* Truncated exports. */
  { "no end row", HEADER MODEL CUSTOMER,
    .errors = { { RESULT_SHEET_TRUNCATED, 4, "kind" } } },
  { "end row counts more", HEADER MODEL END ("2"),
    .errors = { { RESULT_SHEET_TRUNCATED, 3, "count", "2" } } },
  { "end row counts fewer", HEADER MODEL CUSTOMER END ("1"),
    .errors = { { RESULT_SHEET_TRUNCATED, 4, "count", "1" } } },
  { "row after the end row", HEADER MODEL END ("1") CUSTOMER,
    .errors = { { RESULT_SHEET_TRUNCATED, 4, "", "customer" } } },
  { "end row with other cells", HEADER MODEL "end,x,,,,,1,,,,,,,,,\n",
    .errors = { { RESULT_SHEET_BAD_VALUE, 3, "name", "x" } } },
  { "leading zero in the end row", HEADER MODEL END ("01"),
    .errors = { { RESULT_SHEET_TRUNCATED, 3, "count", "01" } } },

  /* Invalid cells: each one is reported, also several of one row. */
  { "unknown kind and an empty row",
    HEADER "Model,m,,1,,,,,,,,,,,,\n,,,,,,,,,,,,,,,\n" END ("2"),
    .errors = { { RESULT_SHEET_UNKNOWN_KIND, 2, "kind", "Model" },
                { RESULT_SHEET_UNKNOWN_KIND, 3, "kind", "" } } },
  { "required cells are empty",
    HEADER "customer,,,,,,,casa-1,,,,,1,,0,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "name", "" },
                { RESULT_SHEET_BAD_VALUE, 2, "credential_sha256", "" },
                { RESULT_SHEET_BAD_VALUE, 2, "rate", "" } } },
  { "cell that the kind does not use",
    HEADER "model,m,,1,,,7,,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "count", "7" } } },
  { "numbers out of range or malformed",
    HEADER "customer,c,,,,,,casa-1,,,," SHA_A ",0,-1,1e3,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "weight", "0" },
                { RESULT_SHEET_BAD_VALUE, 2, "rate", "-1" },
                { RESULT_SHEET_BAD_VALUE, 2, "in_flight", "1e3" } } },
  { "weight 1001 and rate 4294967297",
    HEADER "customer,c,,,,,,casa-1,,,," SHA_A ",1001,4294967297,0,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "weight", "1001" },
                { RESULT_SHEET_BAD_VALUE, 2, "rate", "4294967297" } } },
  { "span 0 and span 65",
    HEADER MODEL "group,g,m,,,0,1,casa-1,,,,,,,,\n"
                 "group,h,m,,,65,1,casa-1,,,,,,,,\n" END ("3"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 3, "span", "0" },
                { RESULT_SHEET_BAD_VALUE, 4, "span", "65" } } },
  { "credential that is no SHA-256",
    HEADER "customer,c,,,,,,casa-1,,,,12ab,1,0,0,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "credential_sha256", "12ab" } } },
  { "spaces around a cell", HEADER "model, m,,1 ,,,,,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "name", " m" },
                { RESULT_SHEET_BAD_VALUE, 2, "version", "1 " } } },
  { "list with an empty entry and one with a repeated entry",
    HEADER "model,m,,1,x;;y,,,,,,,,,,,\nmodel,n,,1,x;x,,,,,,,,,,,\n" END ("2"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "adapters", "x;;y" },
                { RESULT_SHEET_DUPLICATE, 3, "adapters", "x" } } },
  { "data centre that cannot stand in an object key",
    HEADER "service,s,,,,,,casa/1;../x,,,,,,,,\n" END ("1"),
    .errors = { { RESULT_SHEET_BAD_VALUE, 2, "data_centres", "casa/1" },
                { RESULT_SHEET_BAD_VALUE, 2, "data_centres", "../x" } } },
  { "malformed non_idempotent entries",
    HEADER "service,s,,,,,,casa-1,,,,,,,,post /x;POST;POST /a%62;POST "
           "/a//b\n" END ("1"),
    .errors
    = { { RESULT_SHEET_BAD_VALUE, 2, "non_idempotent", "post /x" },
        { RESULT_SHEET_BAD_VALUE, 2, "non_idempotent", "POST" },
        { RESULT_SHEET_BAD_VALUE, 2, "non_idempotent", "POST /a%62" },
        { RESULT_SHEET_BAD_VALUE, 2, "non_idempotent", "POST /a//b" } } },

  /* Rows that contradict each other. */
  { "duplicate name and credential",
    HEADER CUSTOMER "customer,c,,,,,,casa-1,,,," SHA_A ",1,0,0,\n" END ("2"),
    .errors = { { RESULT_SHEET_DUPLICATE, 3, "name", "c" },
                { RESULT_SHEET_DUPLICATE, 3, "credential_sha256", SHA_A } } },
  { "the same name for two kinds",
    HEADER MODEL "service,m,,,,,,casa-1,,,,,,,,\n" END ("2") },
  { "unknown model and customers",
    HEADER CUSTOMER "group,g,n,,,1,1,casa-1,,,c;d;e,,,,,\n"
                    "service,s,,,,,,casa-1,,,f,,,,,\n" END ("3"),
    .errors = { { RESULT_SHEET_UNKNOWN_MODEL, 3, "model", "n" },
                { RESULT_SHEET_UNKNOWN_CUSTOMER, 3, "customers", "d" },
                { RESULT_SHEET_UNKNOWN_CUSTOMER, 3, "customers", "e" },
                { RESULT_SHEET_UNKNOWN_CUSTOMER, 4, "customers", "f" } } },
  { "group and service in a data centre that no customer permits",
    HEADER MODEL CUSTOMER "group,g,m,,,1,1,casa-3,,,c,,,,,\n"
                          "service,s,,,,,,casa-3,,,,,,,,\n" END ("4"),
    .errors
    = { { RESULT_SHEET_FORBIDDEN_PLACE, 4, "data_centres", "casa-3" },
        { RESULT_SHEET_FORBIDDEN_PLACE, 5, "data_centres", "casa-3" } } },
  { "fewer named hosts than wanted, without the host list",
    HEADER MODEL "group,g,m,,,2,2,casa-1,,a1;a2;a3,,,,,,\n" END ("2"),
    .errors = { { RESULT_SHEET_TOO_MANY_HOSTS, 3, "hosts" } } },

  { "errors of cells and of references are sorted by row",
    HEADER "group,g,n,,,1,1,casa-1,,,,,,,,\nmodel,m,,,,,,,,,,,,,,\n" END ("9"),
    .errors = { { RESULT_SHEET_UNKNOWN_MODEL, 2, "model", "n" },
                { RESULT_SHEET_BAD_VALUE, 3, "version", "" },
                { RESULT_SHEET_TRUNCATED, 4, "count", "9" } } },

  /* Validation against the host list. */
  { "fits the host list", GOOD, .with_inventory = true },
  { "unknown data centre, domain and host",
    HEADER MODEL "group,g,m,,,1,1,casa-1;casa-9,r9,a1;z1,,,,,,\n" END ("2"),
    .with_inventory = true,
    .errors = { { RESULT_SHEET_UNKNOWN_PLACE, 3, "data_centres", "casa-9" },
                { RESULT_SHEET_UNKNOWN_PLACE, 3, "domains", "r9" },
                { RESULT_SHEET_UNKNOWN_PLACE, 3, "hosts", "a1" },
                { RESULT_SHEET_UNKNOWN_PLACE, 3, "hosts", "z1" } } },
  { "data centres, domains and hosts are not checked without the host list",
    HEADER MODEL "group,g,m,,,1,1,casa-1;casa-9,r9,a1;z1,,,,,,\n" END ("2") },
  { "host of a service and host of another data centre",
    HEADER MODEL "group,g,m,,,1,1,casa-1,,a1;s1;c1,,,,,,\n" END ("2"),
    .with_inventory = true,
    .errors = { { RESULT_SHEET_UNKNOWN_PLACE, 3, "hosts", "s1" },
                { RESULT_SHEET_UNKNOWN_PLACE, 3, "hosts", "c1" } } },
  { "customer's and service's data centre is unknown",
    HEADER "customer,c,,,,,,casa-8,,,," SHA_A ",1,0,0,\n"
           "service,s,,,,,,casa-8,,,,,,,,\n" END ("2"),
    .with_inventory = true,
    .errors = { { RESULT_SHEET_UNKNOWN_PLACE, 2, "data_centres", "casa-8" },
                { RESULT_SHEET_UNKNOWN_PLACE, 3, "data_centres", "casa-8" } } },
  { "span fits the largest domain",
    HEADER MODEL "group,g,m,,,4,1,casa-1,,,,,,,,\n" END ("2"),
    .with_inventory = true },
  { "span is larger than any permitted domain",
    HEADER MODEL "group,g,m,,,5,1,casa-1;casa-2,,,,,,,,\n"
                 "group,h,m,,,3,1,casa-1,r2,,,,,,,\n" END ("3"),
    .with_inventory = true,
    .errors = { { RESULT_SHEET_SPAN_TOO_LARGE, 3, "span" },
                { RESULT_SHEET_SPAN_TOO_LARGE, 4, "span" } } },
  { "groups do not fit whole into their domains",
    HEADER MODEL "group,g,m,,,3,3,casa-1;casa-2,,,,,,,,\n" END ("2"),
    .with_inventory = true,
    .errors = { { RESULT_SHEET_TOO_MANY_HOSTS, 3, "count" } } },
  { "rows together want more hosts than exist",
    HEADER MODEL "group,g,m,,,1,5,casa-1;casa-2,,,,,,,,\n"
                 "group,h,m,,,1,5,casa-1;casa-2,,,,,,,,\n" END ("3"),
    .with_inventory = true,
    .errors = { { RESULT_SHEET_TOO_MANY_HOSTS, 4, "count" } } },
  { "rows of one data centre want more than it has",
    HEADER MODEL "group,g,m,,,1,3,casa-1,,,,,,,,\n"
                 "group,h,m,,,1,4,casa-1,,,,,,,,\n" END ("3"),
    .with_inventory = true,
    .errors = { { RESULT_SHEET_TOO_MANY_HOSTS, 4, "count" } } },

  /* An incomplete export must not remove most of the fleet. */
  { "empty sheet", HEADER END ("0"),
    .errors = { { RESULT_SHEET_SHRUNK, 0, "" } } },
  { "empty sheet, forced", HEADER END ("0"), .force = true },
  { "half of the rows", HEADER MODEL CUSTOMER END ("2"), .previous_rows = 4 },
  { "under half of the rows", HEADER MODEL CUSTOMER END ("2"),
    .previous_rows = 5, .errors = { { RESULT_SHEET_SHRUNK, 0, "" } } },
  { "under half of the rows, forced", HEADER MODEL CUSTOMER END ("2"),
    .previous_rows = 5, .force = true },
};

static void
fill_inventory (struct sheet_inventory *inventory)
{
  static const char *const hosts[][3] = {
    { "a1", "casa-1", "r1" }, { "a2", "casa-1", "r1" },
    { "a3", "casa-1", "r1" }, { "a4", "casa-1", "r1" },
    { "b1", "casa-1", "r2" }, { "b2", "casa-1", "r2" },
    { "c1", "casa-2", "r1" }, { "c2", "casa-2", "r1" },
    { "c3", "casa-2", "r1" },
  };

  sheet_inventory_init (inventory);
  for (size_t i = 0; i < sizeof hosts / sizeof hosts[0]; i++)
    assert_int_equal (sheet_inventory_add (inventory, hosts[i][0], hosts[i][1],
                                           hosts[i][2], false),
                      RESULT_OK);
  assert_int_equal (sheet_inventory_add (inventory, "s1", "casa-1", "", true),
                    RESULT_OK);
}

static void
print_report (const struct parse_case *parse_case,
              const struct sheet_report *report)
{
  print_message ("case: %s\n", parse_case->name);
  for (size_t i = 0; i < report->error_count; i++)
    print_message ("  %d row %u column '%s' value '%s': %s\n",
                   report->errors[i].code, report->errors[i].row,
                   report->errors[i].column, report->errors[i].value,
                   report->errors[i].detail);
}

static bool
report_matches (const struct parse_case *parse_case,
                const struct sheet_report *report)
{
  size_t expected = 0;

  while (expected < EXPECTED_LIMIT
         && parse_case->errors[expected].code != RESULT_OK)
    {
      const struct expected_error *wanted = &parse_case->errors[expected];
      const struct sheet_error *error = &report->errors[expected];

      if (expected >= report->error_count || error->code != wanted->code
          || error->row != wanted->row
          || (wanted->column != NULL
              && strcmp (error->column, wanted->column) != 0)
          || (wanted->value != NULL
              && strcmp (error->value, wanted->value) != 0))
        return false;
      expected++;
    }
  return report->error_total == expected
         && report->places_checked == parse_case->with_inventory;
}

/* Guards against accepting an invalid sheet and against unreported errors. */
static void
test_parse_cases (void **state)
{
  struct sheet_inventory inventory;

  (void)state;
  fill_inventory (&inventory);
  for (size_t i = 0; i < sizeof parse_cases / sizeof parse_cases[0]; i++)
    {
      const struct parse_case *parse_case = &parse_cases[i];
      struct sheet previous = { .customer_count = parse_case->previous_rows };
      struct sheet_read_options options
          = { .inventory = parse_case->with_inventory ? &inventory : NULL,
              .previous = &previous,
              .force = parse_case->force };
      struct sheet sheet;
      struct sheet_report report;
      enum result result;

      sheet_init (&sheet);
      sheet_report_init (&report);
      result = sheet_read (&sheet, parse_case->text, strlen (parse_case->text),
                           &options, &report);
      if (!report_matches (parse_case, &report))
        {
          print_report (parse_case, &report);
          fail ();
        }
      assert_int_equal (result, parse_case->errors[0].code);
      sheet_report_finish (&report);
      sheet_finish (&sheet);
    }
  sheet_inventory_finish (&inventory);
}

/* Guards against a cell that is stored in the wrong field. */
static void
test_cells_fill_their_fields (void **state)
{
  const struct sheet_read_options options = { 0 };
  struct sheet sheet;
  struct sheet_report report;

  (void)state;
  sheet_init (&sheet);
  sheet_report_init (&report);
  assert_int_equal (sheet_read (&sheet, GOOD, strlen (GOOD), &options, &report),
                    RESULT_OK);
  assert_int_equal (report.rows, 4);
  assert_int_equal (sheet.model_count, 1);
  assert_string_equal (sheet.models[0].version, "1.0");
  assert_int_equal (sheet.customer_count, 1);
  assert_string_equal (sheet.customers[0].credential_sha256, SHA_A);
  assert_int_equal (sheet.customers[0].weight, 5);
  assert_int_equal (sheet.customers[0].rate, 100);
  assert_int_equal (sheet.customers[0].in_flight, 20);
  assert_true (sheet_list_has (&sheet.customers[0].data_centres, "casa-2"));
  assert_int_equal (sheet.group_count, 1);
  assert_int_equal (sheet.groups[0].span, 2);
  assert_int_equal (sheet.groups[0].count, 2);
  assert_string_equal (sheet.groups[0].model, "m");
  /* Inherited from the model. */
  assert_string_equal (sheet.groups[0].version, "1.0");
  assert_int_equal (sheet.groups[0].adapters.count, 2);
  assert_string_equal (sheet.groups[0].adapters.names[1], "y");
  assert_int_equal (sheet.service_count, 1);
  assert_string_equal (sheet.services[0].non_idempotent.names[0], "POST /book");
  assert_ptr_equal (sheet_find_credential (&sheet, SHA_A), sheet.customers);
  assert_null (sheet_find_credential (&sheet, SHA_B));
  assert_non_null (sheet_find_service (&sheet, "s"));
  assert_null (sheet_find_service (&sheet, "m"));
  sheet_report_finish (&report);
  sheet_finish (&sheet);
}

/*
 * An upper-case SHA-256 must be stored in lower case, else it never matches the
 * hash of a credential.
 */
static void
test_credential_is_lower_cased (void **state)
{
  const struct sheet_read_options options = { 0 };
  static const char text[] = HEADER
      "customer,c,,,,,,casa-1,,,,"
      "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
      ",1,0,0,\n" END ("1");
  struct sheet sheet;
  struct sheet_report report;

  (void)state;
  sheet_init (&sheet);
  sheet_report_init (&report);
  assert_int_equal (
      sheet_read (&sheet, text, sizeof text - 1, &options, &report), RESULT_OK);
  assert_non_null (sheet_find_credential (&sheet, SHA_A));
  sheet_report_finish (&report);
  sheet_finish (&sheet);
}

/* A report of an error in every row must not use unbounded memory. */
static void
test_reported_errors_are_limited (void **state)
{
  const struct sheet_read_options options = { 0 };
  size_t rows = SHEET_ERROR_LIMIT + 500;
  char *text = malloc (rows * 24 + 1024);
  struct sheet sheet;
  struct sheet_report report;
  char *end;

  (void)state;
  assert_non_null (text);
  end = stpcpy (text, HEADER);
  for (size_t i = 0; i < rows; i++)
    end = stpcpy (end, "x,,,,,,,,,,,,,,,\n");
  sprintf (end, END ("%zu"), rows);
  sheet_init (&sheet);
  sheet_report_init (&report);
  assert_int_equal (sheet_read (&sheet, text, strlen (text), &options, &report),
                    RESULT_SHEET_UNKNOWN_KIND);
  assert_int_equal (report.error_count, SHEET_ERROR_LIMIT);
  assert_int_equal (report.error_total, rows);
  sheet_report_finish (&report);
  sheet_finish (&sheet);
  free (text);
}

/* Guards against a valid sheet that is too large for a platform object. */
static void
test_too_large_object_is_rejected (void **state)
{
  const struct sheet_read_options options = { 0 };
  size_t rows = 16000;
  char *text = malloc (rows * 64 + 1024);
  struct sheet sheet;
  struct sheet_report report;
  char *end;

  (void)state;
  assert_non_null (text);
  end = stpcpy (text, HEADER);
  for (size_t i = 0; i < rows; i++)
    end += sprintf (end, "model,model-number-%zu,,1.0,adapter,,,,,,,,,,,\n", i);
  sprintf (end, END ("%zu"), rows);
  sheet_init (&sheet);
  sheet_report_init (&report);
  assert_int_equal (sheet_read (&sheet, text, strlen (text), &options, &report),
                    RESULT_SHEET_TOO_LARGE);
  sheet_report_finish (&report);
  sheet_finish (&sheet);
  free (text);
}

/*
 * An accepted truncated file would drop rows, so a file truncated at any byte
 * must be rejected.
 */
static void
test_truncated_file_is_rejected (void **state)
{
  const struct sheet_read_options options = { 0 };
  size_t full_size = strlen (GOOD);

  (void)state;
  for (size_t size = 0; size + 1 < full_size; size++)
    {
      struct sheet sheet;
      struct sheet_report report;

      sheet_init (&sheet);
      sheet_report_init (&report);
      assert_int_not_equal (sheet_read (&sheet, GOOD, size, &options, &report),
                            RESULT_OK);
      sheet_report_finish (&report);
      sheet_finish (&sheet);
    }
}

/*
 * Guards against a lost domain or kind of a host, and against rejecting a host
 * that is leaving.  The host list has the format of design section 2.
 */
static void
test_inventory_from_hosts (void **state)
{
  json_t *json
      = json_pack ("{s:[{s:s,s:s,s:s,s:s},{s:s,s:s,s:s,s:s,s:s}]}", "hosts",
                   "id", "a1", "data_centre", "casa-1", "domain", "r1", "kind",
                   "engine", "id", "s1", "data_centre", "casa-2", "domain",
                   "r1", "kind", "service", "state", "leaving");
  struct sheet_inventory inventory;

  (void)state;
  sheet_inventory_init (&inventory);
  assert_int_equal (sheet_inventory_from_hosts (&inventory, json), RESULT_OK);
  assert_int_equal (inventory.count, 2);
  assert_string_equal (inventory.hosts[0].domain, "r1");
  assert_false (inventory.hosts[0].is_service);
  assert_true (inventory.hosts[1].is_service);
  json_object_clear (json);
  assert_int_equal (sheet_inventory_from_hosts (&inventory, json),
                    RESULT_INVALID);
  json_decref (json);
  sheet_inventory_finish (&inventory);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parse_cases),
    cmocka_unit_test (test_cells_fill_their_fields),
    cmocka_unit_test (test_credential_is_lower_cased),
    cmocka_unit_test (test_reported_errors_are_limited),
    cmocka_unit_test (test_too_large_object_is_rejected),
    cmocka_unit_test (test_truncated_file_is_rejected),
    cmocka_unit_test (test_inventory_from_hosts),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
