#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "place.h"
#include "tables.h"

#define NAMES_SIZE 256

static char list_1[][SHEET_NAME_SIZE] = { "dc1" };
static char list_2[][SHEET_NAME_SIZE] = { "dc2" };
static char list_12[][SHEET_NAME_SIZE] = { "dc1", "dc2" };
static char list_121[][SHEET_NAME_SIZE] = { "dc1", "dc2", "dc1" };
static char list_3[][SHEET_NAME_SIZE] = { "dc3" };
static char list_a[][SHEET_NAME_SIZE] = { "a" };

static struct sheet_customer customers[] = {
  { .name = "a", .data_centres = TABLES_LIST (list_121) },
  { .name = "b", .data_centres = TABLES_LIST (list_2) },
  { .name = "nowhere" },
  { .name = "far", .data_centres = TABLES_LIST (list_3) },
};

static struct sheet_model models[]
    = { { .name = "m" }, { .name = "only-a" }, { .name = "unplaced" } };

static struct sheet_group groups[] = {
  { .name = "m-1", .model = "m", .data_centres = TABLES_LIST (list_12) },
  { .name = "a-1",
    .model = "only-a",
    .data_centres = TABLES_LIST (list_2),
    .customers = TABLES_LIST (list_a) },
};

static struct sheet_service services[] = {
  { .name = "s", .data_centres = TABLES_LIST (list_1) },
  { .name = "s-a",
    .data_centres = TABLES_LIST (list_2),
    .customers = TABLES_LIST (list_a) },
};

static const struct sheet sheet = {
  .number = 3,
  .models = models,
  .model_count = sizeof models / sizeof models[0],
  .customers = customers,
  .customer_count = sizeof customers / sizeof customers[0],
  .groups = groups,
  .group_count = sizeof groups / sizeof groups[0],
  .services = services,
  .service_count = sizeof services / sizeof services[0],
};
static const struct sheet no_sheet;

struct place_case
{
  const char *guards;
  const struct sheet *sheet;
  const struct sheet_customer *customer;
  const char *model;
  const char *service;
  const char *data_centre;
  enum result expected;
  const char *permitted; /* the data centres that place_permitted names */
};

static const struct place_case cases[] = {
  { "request handled without a sheet", &no_sheet, &customers[0], NULL, NULL,
    "dc1", RESULT_NO_CONFIGURATION, "dc1 dc2 " },
  { "request handled without a table", NULL, &customers[0], NULL, NULL, "dc1",
    RESULT_NO_CONFIGURATION, "" },
  { "permitted request refused", &sheet, &customers[0], NULL, NULL, "dc1",
    RESULT_OK, "dc1 dc2 " },
  { "request handled in a forbidden place", &sheet, &customers[1], NULL, NULL,
    "dc1", RESULT_WRONG_DATA_CENTRE, "dc2 " },
  { "empty list read as everywhere", &sheet, &customers[2], NULL, NULL, "dc1",
    RESULT_PLACE_UNKNOWN, "" },
  { "unknown customer read as everywhere", &sheet, NULL, NULL, NULL, "dc1",
    RESULT_PLACE_UNKNOWN, "" },
  { "own data centre unknown", &sheet, &customers[0], NULL, NULL, NULL,
    RESULT_WRONG_DATA_CENTRE, "dc1 dc2 " },
  { "permitted model refused", &sheet, &customers[0], "m", NULL, "dc1",
    RESULT_OK, "dc1 dc2 " },
  { "model used in a forbidden place", &sheet, &customers[1], "m", NULL, "dc1",
    RESULT_WRONG_DATA_CENTRE, "dc2 " },
  { "model that runs elsewhere not told", &sheet, &customers[0], "only-a", NULL,
    "dc1", RESULT_WRONG_DATA_CENTRE, "dc2 " },
  { "model of another customer used", &sheet, &customers[1], "only-a", NULL,
    "dc2", RESULT_NOT_PERMITTED, "" },
  { "unknown model used", &sheet, &customers[0], "x", NULL, "dc1",
    RESULT_UNKNOWN_TARGET, "" },
  { "model without groups used", &sheet, &customers[0], "unplaced", NULL, "dc1",
    RESULT_UNKNOWN_TARGET, "" },
  { "caller sent to no data centre", &sheet, &customers[3], "m", NULL, "dc3",
    RESULT_PLACE_UNKNOWN, "" },
  { "permitted service refused", &sheet, &customers[0], NULL, "s", "dc1",
    RESULT_OK, "dc1 " },
  { "service that runs elsewhere not told", &sheet, &customers[0], NULL, "s",
    "dc2", RESULT_WRONG_DATA_CENTRE, "dc1 " },
  { "service of another customer used", &sheet, &customers[1], NULL, "s-a",
    "dc2", RESULT_NOT_PERMITTED, "" },
  { "unknown service used", &sheet, &customers[0], NULL, "x", "dc1",
    RESULT_UNKNOWN_TARGET, "" },
  { "service used in a forbidden place", &sheet, &customers[1], NULL, "s",
    "dc1", RESULT_WRONG_DATA_CENTRE, "" },
  { "place told before the target is known", &sheet, &customers[1], "x", NULL,
    "dc1", RESULT_WRONG_DATA_CENTRE, "" },
};

static void
add_name (void *context, const char *data_centre)
{
  char *names = context;
  size_t used = strlen (names);

  snprintf (names + used, NAMES_SIZE - used, "%s ", data_centre);
}

static void
test_place (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct place_case *test = &cases[i];
      char names[NAMES_SIZE] = "";
      enum result got;

      if (test->model != NULL)
        got = place_check_model (test->sheet, test->customer, test->model,
                                 test->data_centre);
      else if (test->service != NULL)
        got = place_check_service (test->sheet, test->customer, test->service,
                                   test->data_centre);
      else
        got = place_check_customer (test->sheet, test->customer,
                                    test->data_centre);
      if (got != test->expected)
        print_error ("failure: %s\n", test->guards);
      assert_int_equal (got, test->expected);
      place_permitted (test->sheet, test->customer, test->model, test->service,
                       add_name, names);
      assert_string_equal (names, test->permitted);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_place),
  };

  return cmocka_run_group_tests_name ("place", tests, NULL, NULL);
}
