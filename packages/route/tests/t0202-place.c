#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "place.h"
#include "tables.h"

#define NAMES_SIZE 256

static char list_dc1[][SHEET_NAME_SIZE] = { "dc1" };
static char list_dc2[][SHEET_NAME_SIZE] = { "dc2" };
static char list_dc1_dc2[][SHEET_NAME_SIZE] = { "dc1", "dc2" };
static char list_dc1_dc2_dc1[][SHEET_NAME_SIZE] = { "dc1", "dc2", "dc1" };
static char list_dc3[][SHEET_NAME_SIZE] = { "dc3" };
static char list_customer_a[][SHEET_NAME_SIZE] = { "a" };

static struct sheet_customer customers[] = {
  { .name = "a", .data_centres = TABLES_LIST (list_dc1_dc2_dc1) },
  { .name = "b", .data_centres = TABLES_LIST (list_dc2) },
  { .name = "nowhere" },
  { .name = "far", .data_centres = TABLES_LIST (list_dc3) },
};

static struct sheet_model models[]
    = { { .name = "m" }, { .name = "only-a" }, { .name = "unplaced" } };

static struct sheet_group groups[] = {
  { .name = "m-1", .model = "m", .data_centres = TABLES_LIST (list_dc1_dc2) },
  { .name = "a-1",
    .model = "only-a",
    .data_centres = TABLES_LIST (list_dc2),
    .customers = TABLES_LIST (list_customer_a) },
};

static struct sheet_service services[] = {
  { .name = "s", .data_centres = TABLES_LIST (list_dc1) },
  { .name = "s-a",
    .data_centres = TABLES_LIST (list_dc2),
    .customers = TABLES_LIST (list_customer_a) },
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
  const char *permitted; /* data centres that place_for_each_permitted visits */
};

static const struct place_case cases[] = {
  { "request handled without a sheet", &no_sheet, &customers[0], NULL, NULL,
    "dc1", RESULT_NO_CONFIGURATION, "dc1 dc2 " },
  { "request handled with a NULL sheet", NULL, &customers[0], NULL, NULL, "dc1",
    RESULT_NO_CONFIGURATION, "" },
  { "permitted request refused", &sheet, &customers[0], NULL, NULL, "dc1",
    RESULT_OK, "dc1 dc2 " },
  { "request handled in a forbidden data centre", &sheet, &customers[1], NULL,
    NULL, "dc1", RESULT_WRONG_DATA_CENTRE, "dc2 " },
  { "empty data centre list permits every data centre", &sheet, &customers[2],
    NULL, NULL, "dc1", RESULT_PLACE_UNKNOWN, "" },
  { "unknown customer is permitted in every data centre", &sheet, NULL, NULL,
    NULL, "dc1", RESULT_PLACE_UNKNOWN, "" },
  { "request handled while the own data centre is unknown", &sheet,
    &customers[0], NULL, NULL, NULL, RESULT_WRONG_DATA_CENTRE, "dc1 dc2 " },
  { "permitted model refused", &sheet, &customers[0], "m", NULL, "dc1",
    RESULT_OK, "dc1 dc2 " },
  { "model used in a forbidden data centre", &sheet, &customers[1], "m", NULL,
    "dc1", RESULT_WRONG_DATA_CENTRE, "dc2 " },
  { "caller not directed to the data centre of the model", &sheet,
    &customers[0], "only-a", NULL, "dc1", RESULT_WRONG_DATA_CENTRE, "dc2 " },
  { "model of another customer used", &sheet, &customers[1], "only-a", NULL,
    "dc2", RESULT_NOT_PERMITTED, "" },
  { "unknown model used", &sheet, &customers[0], "x", NULL, "dc1",
    RESULT_UNKNOWN_TARGET, "" },
  { "model without groups used", &sheet, &customers[0], "unplaced", NULL, "dc1",
    RESULT_UNKNOWN_TARGET, "" },
  { "caller directed to another data centre although none is permitted", &sheet,
    &customers[3], "m", NULL, "dc3", RESULT_PLACE_UNKNOWN, "" },
  { "permitted service refused", &sheet, &customers[0], NULL, "s", "dc1",
    RESULT_OK, "dc1 " },
  { "caller not directed to the data centre of the service", &sheet,
    &customers[0], NULL, "s", "dc2", RESULT_WRONG_DATA_CENTRE, "dc1 " },
  { "service of another customer used", &sheet, &customers[1], NULL, "s-a",
    "dc2", RESULT_NOT_PERMITTED, "" },
  { "unknown service used", &sheet, &customers[0], NULL, "x", "dc1",
    RESULT_UNKNOWN_TARGET, "" },
  { "service used in a forbidden data centre", &sheet, &customers[1], NULL, "s",
    "dc1", RESULT_WRONG_DATA_CENTRE, "" },
  { "unknown target reported to a customer of another data centre", &sheet,
    &customers[1], "x", NULL, "dc1", RESULT_WRONG_DATA_CENTRE, "" },
};

static void
add_name (void *context, const char *data_centre)
{
  char *names = context;
  size_t used = strlen (names);

  snprintf (names + used, NAMES_SIZE - used, "%s ", data_centre);
}

static void
test_place_checks (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct place_case *test = &cases[i];
      char names[NAMES_SIZE] = "";
      enum result result;

      if (test->model != NULL)
        result = place_check_model (test->sheet, test->customer, test->model,
                                    test->data_centre);
      else if (test->service != NULL)
        result = place_check_service (test->sheet, test->customer,
                                      test->service, test->data_centre);
      else
        result = place_check_customer (test->sheet, test->customer,
                                       test->data_centre);
      if (result != test->expected)
        print_error ("failure: %s\n", test->guards);
      assert_int_equal (result, test->expected);
      place_for_each_permitted (test->sheet, test->customer, test->model,
                                test->service, add_name, names);
      assert_string_equal (names, test->permitted);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_place_checks),
  };

  return cmocka_run_group_tests_name ("place", tests, NULL, NULL);
}
