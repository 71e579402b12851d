#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "catalog-diff.h"

#define DIFFERENCE_LIMIT 32
#define DIFFERENCE_SIZE 256

struct differences
{
  struct catalog_difference list[DIFFERENCE_LIMIT];
  /* The name, and the values before and after. */
  char texts[DIFFERENCE_LIMIT][3][DIFFERENCE_SIZE];
  unsigned count;
};

static void
keep_difference (void *context, const struct catalog_difference *difference)
{
  struct differences *differences = context;
  struct catalog_difference *kept = &differences->list[differences->count];
  char (*texts)[DIFFERENCE_SIZE] = differences->texts[differences->count];

  assert_true (differences->count < DIFFERENCE_LIMIT);
  differences->count++;
  *kept = *difference;
  snprintf (texts[0], DIFFERENCE_SIZE, "%s", difference->name);
  snprintf (texts[1], DIFFERENCE_SIZE, "%s", difference->before);
  snprintf (texts[2], DIFFERENCE_SIZE, "%s", difference->after);
  kept->name = texts[0];
  kept->before = texts[1];
  kept->after = texts[2];
}

/* What a row changes in the newer catalog. */
enum edit
{
  EDIT_NOTHING,
  EDIT_VERSION,
  EDIT_NO_ROUTE,
  EDIT_ROUTE_HOST_CASE,
  EDIT_ROUTE_CLOSED,
  EDIT_ROUTE_UNSAFE,
  EDIT_ROUTE_SHORT_TIMEOUT,
  EDIT_ROUTE_LONG_TIMEOUT,
  EDIT_ROUTE_SHORT_OBJECTIVE,
  EDIT_ROUTE_LONG_OBJECTIVE,
  EDIT_ROUTE_LESS_URGENT,
  EDIT_ROUTE_WEIGHT,
  EDIT_NO_CUSTOMER,
  EDIT_CUSTOMER_PRIORITY,
  EDIT_NO_KEY,
  EDIT_NEW_KEY,
  EDIT_KEY_MOVED,
  EDIT_NO_SERVICE,
  EDIT_SERVICE_LIMIT,
  EDIT_SERVICE_NO_LIMIT,
  EDIT_SERVICE_SLOTS,
  EDIT_NO_MODEL,
  EDIT_MODEL_SHARE,
  EDIT_LOWER_BODY,
  EDIT_HIGHER_BODY,
  EDIT_NO_KEYS_NEEDED,
};

#define LONG_KEY "a-long-secret-key-9876"

static struct catalog *
make_catalog (enum edit edit)
{
  struct catalog *catalog = catalog_new (2, 2, 2);
  struct catalog_route *route = &catalog->routes[0];
  struct catalog_service *service = &catalog->services[0];
  struct catalog_customer *customer = &catalog->customers[0];
  unsigned last_owner = edit == EDIT_KEY_MOVED ? 0 : 1;

  catalog->version = edit == EDIT_VERSION ? 8 : 7;
  catalog->needs_keys = edit != EDIT_NO_KEYS_NEEDED;
  catalog->limits.body_bytes = edit == EDIT_LOWER_BODY    ? 50
                               : edit == EDIT_HIGHER_BODY ? 200
                                                          : 100;
  *route = (struct catalog_route){
    .name = "chat",
    .host = "a.example",
    .prefix = "/v1/",
    .timeout_ms = edit == EDIT_ROUTE_SHORT_TIMEOUT  ? 700
                  : edit == EDIT_ROUTE_LONG_TIMEOUT ? 900
                                                    : 800,
    .objective_ms = edit == EDIT_ROUTE_SHORT_OBJECTIVE  ? 200
                    : edit == EDIT_ROUTE_LONG_OBJECTIVE ? 400
                                                        : 300,
    .kind = edit == EDIT_ROUTE_UNSAFE ? CATALOG_UNSAFE : CATALOG_SAFE,
    .priority = edit == EDIT_ROUTE_LESS_URGENT ? 2 : 1,
    .open = edit != EDIT_ROUTE_CLOSED,
    .targets = text_pool_allocate (&catalog->texts, 2, sizeof *route->targets),
    .target_count = 2,
  };
  route->targets[0]
      = (struct catalog_target){ "llm", edit == EDIT_ROUTE_WEIGHT ? 2 : 1 };
  route->targets[1] = (struct catalog_target){ "web", 1 };
  if (edit == EDIT_ROUTE_HOST_CASE)
    route->host = "A.example:80";
  catalog->routes[1] = (struct catalog_route){ .name = "",
                                               .host = "b.example",
                                               .prefix = "/" };
  catalog->route_count = edit == EDIT_NO_ROUTE ? 1 : 2;
  for (unsigned i = 0; i < catalog->route_count; i++)
    catalog_index_route (catalog, i);
  *service = (struct catalog_service){
    .name = "llm",
    .connection_limit = edit == EDIT_SERVICE_LIMIT      ? 5
                        : edit == EDIT_SERVICE_NO_LIMIT ? 0
                                                        : 10,
    .slots = edit == EDIT_SERVICE_SLOTS ? 30 : 20,
    .models = text_pool_allocate (&catalog->texts, 2, sizeof *service->models),
    .model_count = edit == EDIT_NO_MODEL ? 1 : 2,
  };
  service->models[0]
      = (struct catalog_model){ .name = "base",
                                .share = edit == EDIT_MODEL_SHARE ? 0.4 : 0.5 };
  service->models[1] = (struct catalog_model){ .name = "draft", .share = 0.5 };
  catalog->services[1].name = "web";
  catalog->service_count = edit == EDIT_NO_SERVICE ? 1 : 2;
  customer->name = "acme";
  customer->has_priority = true;
  customer->priority = edit == EDIT_CUSTOMER_PRIORITY ? 3 : 0;
  catalog->customers[1].name = "beta";
  catalog->customer_count = edit == EDIT_NO_CUSTOMER ? 1 : 2;
  assert_int_equal (catalog_add_key (catalog, "k1", 0), RESULT_OK);
  if (edit != EDIT_NO_KEY && edit != EDIT_NO_CUSTOMER)
    assert_int_equal (catalog_add_key (catalog, LONG_KEY, last_owner),
                      RESULT_OK);
  if (edit == EDIT_NEW_KEY)
    assert_int_equal (catalog_add_key (catalog, "k3", 0), RESULT_OK);
  return catalog;
}

static const struct
{
  enum edit edit;
  enum catalog_effect effect;
  enum catalog_change change;
  const char *kind; /* NULL = no difference */
  const char *name;
  const char *field;
  const char *before;
  const char *after;
} diff_cases[] = {
  { EDIT_NOTHING, 0, 0, NULL, NULL, NULL, NULL, NULL },
  /* Host names are compared without case and port, as in use. */
  { EDIT_ROUTE_HOST_CASE, 0, 0, NULL, NULL, NULL, NULL, NULL },
  { EDIT_VERSION, CATALOG_OTHER, CATALOG_CHANGED, "configuration", "",
    "version", "7", "8" },
  { EDIT_NO_ROUTE, CATALOG_REFUSES, CATALOG_DROPPED, "route", "b.example/", "",
    "", "" },
  { EDIT_ROUTE_CLOSED, CATALOG_REFUSES, CATALOG_CHANGED, "route",
    "a.example/v1/", "needs a key", "no", "yes" },
  { EDIT_ROUTE_UNSAFE, CATALOG_TIGHTENS, CATALOG_CHANGED, "route",
    "a.example/v1/", "kind", "safe", "unsafe" },
  { EDIT_ROUTE_SHORT_TIMEOUT, CATALOG_TIGHTENS, CATALOG_CHANGED, "route",
    "a.example/v1/", "timeout ms", "800", "700" },
  { EDIT_ROUTE_LONG_TIMEOUT, CATALOG_OTHER, CATALOG_CHANGED, "route",
    "a.example/v1/", "timeout ms", "800", "900" },
  { EDIT_ROUTE_SHORT_OBJECTIVE, CATALOG_OTHER, CATALOG_CHANGED, "route",
    "a.example/v1/", "objective ms", "300", "200" },
  { EDIT_ROUTE_LONG_OBJECTIVE, CATALOG_TIGHTENS, CATALOG_CHANGED, "route",
    "a.example/v1/", "objective ms", "300", "400" },
  { EDIT_ROUTE_LESS_URGENT, CATALOG_TIGHTENS, CATALOG_CHANGED, "route",
    "a.example/v1/", "priority", "1", "2" },
  { EDIT_ROUTE_WEIGHT, CATALOG_OTHER, CATALOG_CHANGED, "route", "a.example/v1/",
    "services (weight)", "llm (1), web (1)", "llm (2), web (1)" },
  { EDIT_CUSTOMER_PRIORITY, CATALOG_TIGHTENS, CATALOG_CHANGED, "customer",
    "acme", "priority", "0", "3" },
  { EDIT_NO_KEY, CATALOG_REFUSES, CATALOG_DROPPED, "API key", "beta ...9876",
    "", "", "" },
  { EDIT_NEW_KEY, CATALOG_OTHER, CATALOG_ADDED, "API key", "acme", "", "", "" },
  { EDIT_KEY_MOVED, CATALOG_TIGHTENS, CATALOG_CHANGED, "API key",
    "beta ...9876", "customer", "beta", "acme" },
  { EDIT_NO_SERVICE, CATALOG_REFUSES, CATALOG_DROPPED, "service", "web", "", "",
    "" },
  { EDIT_SERVICE_LIMIT, CATALOG_TIGHTENS, CATALOG_CHANGED, "service", "llm",
    "connections per endpoint", "10", "5" },
  { EDIT_SERVICE_NO_LIMIT, CATALOG_OTHER, CATALOG_CHANGED, "service", "llm",
    "connections per endpoint", "10", "0" },
  { EDIT_SERVICE_SLOTS, CATALOG_OTHER, CATALOG_CHANGED, "service", "llm",
    "slots", "20", "30" },
  { EDIT_NO_MODEL, CATALOG_REFUSES, CATALOG_DROPPED, "model", "draft of llm",
    "", "", "" },
  { EDIT_MODEL_SHARE, CATALOG_TIGHTENS, CATALOG_CHANGED, "model", "base of llm",
    "share", "0.5", "0.40000000000000002" },
  { EDIT_LOWER_BODY, CATALOG_TIGHTENS, CATALOG_CHANGED, "limit", "all routes",
    "body bytes", "100", "50" },
  { EDIT_HIGHER_BODY, CATALOG_OTHER, CATALOG_CHANGED, "limit", "all routes",
    "body bytes", "100", "200" },
  { EDIT_NO_KEYS_NEEDED, CATALOG_OTHER, CATALOG_CHANGED, "limit", "all routes",
    "needs a key", "yes", "no" },
};

/* A change must be reported once, with the effect that clients notice. */
static void
test_one_change_each (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof diff_cases / sizeof diff_cases[0]; i++)
    {
      struct catalog *before = make_catalog (EDIT_NOTHING);
      struct catalog *after = make_catalog (diff_cases[i].edit);
      struct differences differences = { .count = 0 };
      const struct catalog_difference *difference = &differences.list[0];

      assert_int_equal (
          catalog_diff (before, after, keep_difference, &differences),
          RESULT_OK);
      catalog_unref (before);
      catalog_unref (after);
      if (differences.count != (diff_cases[i].kind != NULL))
        fail_msg ("%zu: %u differences, first: %s %s", i, differences.count,
                  difference->name, difference->field);
      if (diff_cases[i].kind != NULL
          && (difference->effect != diff_cases[i].effect
              || difference->change != diff_cases[i].change
              || strcmp (difference->kind, diff_cases[i].kind) != 0
              || strcmp (difference->name, diff_cases[i].name) != 0
              || strcmp (difference->field, diff_cases[i].field) != 0
              || strcmp (difference->before, diff_cases[i].before) != 0
              || strcmp (difference->after, diff_cases[i].after) != 0))
        fail_msg ("%zu: %s %s %s %s %s: %s, %s", i,
                  catalog_effect_name (difference->effect),
                  catalog_change_name (difference->change), difference->kind,
                  difference->name, difference->field, difference->before,
                  difference->after);
    }
}

/* What clients notice must not stand behind what they do not. */
static void
test_order (void **state)
{
  struct catalog *before = make_catalog (EDIT_NOTHING);
  struct catalog *after = make_catalog (EDIT_NO_CUSTOMER);
  struct differences differences = { .count = 0 };

  (void)state;
  after->routes[0].timeout_ms = 900;
  after->limits.body_bytes = 50;
  assert_int_equal (catalog_diff (before, after, keep_difference, &differences),
                    RESULT_OK);
  assert_int_equal (differences.count, 4);
  assert_string_equal (differences.list[0].kind, "API key");
  assert_string_equal (differences.list[1].kind, "customer");
  assert_string_equal (differences.list[2].field, "body bytes");
  assert_string_equal (differences.list[3].field, "timeout ms");
  catalog_unref (before);
  catalog_unref (after);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_change_each),
    cmocka_unit_test (test_order),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
