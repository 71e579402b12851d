#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "catalog-check.h"

#define FINDING_LIMIT 32
#define FINDING_SIZE 512

struct findings
{
  struct catalog_finding list[FINDING_LIMIT];
  char found[FINDING_LIMIT][FINDING_SIZE];
  char allowed[FINDING_LIMIT][FINDING_SIZE];
  unsigned count;
};

static void
keep_finding (void *context, const struct catalog_finding *finding)
{
  struct findings *findings = context;
  struct catalog_finding *kept = &findings->list[findings->count];
  char *found = findings->found[findings->count];
  char *allowed = findings->allowed[findings->count];

  assert_true (findings->count < FINDING_LIMIT);
  findings->count++;
  *kept = *finding;
  snprintf (found, FINDING_SIZE, "%s", finding->found);
  snprintf (allowed, FINDING_SIZE, "%s", finding->allowed);
  kept->found = found;
  kept->allowed = allowed;
}

static const struct catalog_target sample_targets[2][2]
    = { { { "large", 1 } }, { { "web", 9 }, { "large", 1 } } };
static const struct catalog_model sample_models[2]
    = { { .name = "base", .load_ms = 16000, .cached_load_ms = 4 },
        { .name = "draft", .load_ms = 6000 } };

/* Two routes, two services of which one has models, two customers. */
static struct catalog *
make_catalog (void)
{
  static const struct catalog_route routes[]
      = { { .name = "chat",
            .host = "a.example",
            .prefix = "/v1/",
            .timeout_ms = 8000,
            .objective_ms = 500,
            .event_gap_objective_ms = 300,
            .attempts = 3,
            .target_count = 1 },
          { .name = "pages",
            .host = "b.example",
            .prefix = "/",
            .timeout_ms = 800,
            .objective_ms = 800,
            .event_gap_objective_ms = 800,
            .attempts = 2,
            .target_count = 2 } };
  static const struct catalog_service services[]
      = { { .name = "large",
            .step_ms = 7.8,
            .cold_ms = 3000,
            .cold_requests_per_s = 26,
            .model_count = 2 },
          { .name = "web" } };
  struct catalog *catalog = catalog_new (2, 2, 2);

  memcpy (catalog->routes, routes, sizeof routes);
  memcpy (catalog->services, services, sizeof services);
  for (unsigned i = 0; i < 2; i++)
    {
      catalog->routes[i].targets
          = text_pool_allocate (&catalog->texts, 1, sizeof sample_targets[i]);
      memcpy (catalog->routes[i].targets, sample_targets[i],
              sizeof sample_targets[i]);
    }
  catalog->services[0].models
      = text_pool_allocate (&catalog->texts, 1, sizeof sample_models);
  memcpy (catalog->services[0].models, sample_models, sizeof sample_models);
  catalog->route_count = catalog->service_count = catalog->customer_count = 2;
  catalog->customers[0].name = "acme";
  catalog->customers[1].name = "beta";
  assert_int_equal (catalog_add_key (catalog, "k1", 0), RESULT_OK);
  assert_int_equal (catalog_add_key (catalog, "k2", 1), RESULT_OK);
  return catalog;
}

static void
change_nothing (struct catalog *catalog)
{
  (void)catalog;
}

static void
repeat_route (struct catalog *catalog)
{
  catalog->routes[1].host = "A.Example:80";
  catalog->routes[1].prefix = "/v1/";
}

static void
end_prefix_without_slash (struct catalog *catalog)
{
  catalog->routes[0].prefix = "/v1";
}

static void
begin_prefix_without_slash (struct catalog *catalog)
{
  catalog->routes[0].prefix = "v1/";
}

static void
add_query_to_prefix (struct catalog *catalog)
{
  catalog->routes[0].prefix = "/?v/";
}

static void
clear_weight (struct catalog *catalog)
{
  catalog->routes[1].targets[1].weight = 0;
}

static void
name_unknown_service (struct catalog *catalog)
{
  catalog->routes[1].targets[1].service = "none";
}

static void
repeat_service (struct catalog *catalog)
{
  catalog->services[1].name = "large";
  catalog->routes[1].targets[0].service = "large";
}

static void
leave_service_unused (struct catalog *catalog)
{
  catalog->routes[1].targets[0].service = "large";
}

static void
repeat_model (struct catalog *catalog)
{
  catalog->services[0].models[1].name = "base";
}

static void
repeat_key (struct catalog *catalog)
{
  assert_int_equal (catalog_add_key (catalog, "k1", 1), RESULT_OK);
}

static void
raise_objective (struct catalog *catalog)
{
  catalog->routes[1].objective_ms = 900;
}

static void
raise_gap_objective (struct catalog *catalog)
{
  catalog->routes[0].event_gap_objective_ms = 8001;
}

static void
raise_attempts (struct catalog *catalog)
{
  catalog->routes[0].attempts = 17;
}

static void
clear_attempts (struct catalog *catalog)
{
  catalog->routes[0].attempts = 0;
}

static void
raise_step (struct catalog *catalog)
{
  catalog->services[0].step_ms = 600;
}

static void
lower_cold_rate (struct catalog *catalog)
{
  catalog->services[0].cold_requests_per_s = 0.5;
}

static void
raise_cached_load (struct catalog *catalog)
{
  catalog->services[0].models[1].cached_load_ms = 6001;
}

/* Each row has one fault, which must be the only finding. */
static const struct
{
  const char *guards;
  void (*change) (struct catalog *catalog);
  enum catalog_fault fault;
  enum catalog_part part;
  unsigned index;
  const char *found; /* NULL = no finding; parts of the texts */
  const char *allowed;
} check_cases[] = {
  { "a sound configuration is reported", change_nothing, 0, 0, 0, NULL, NULL },
  { "a route behind one of the same host and prefix", repeat_route,
    CATALOG_NEVER_MATCHES, CATALOG_ROUTE, 1, "route chat matches first",
    "one route" },
  { "a prefix that does not end in a slash", end_prefix_without_slash,
    CATALOG_NEVER_MATCHES, CATALOG_ROUTE, 0, "/v1", "slash" },
  { "a prefix that does not begin with a slash", begin_prefix_without_slash,
    CATALOG_NEVER_MATCHES, CATALOG_ROUTE, 0, "v1/", "slash" },
  { "a prefix with the mark of a query", add_query_to_prefix,
    CATALOG_NEVER_MATCHES, CATALOG_ROUTE, 0, "/?v/", "without ?" },
  { "a share of weight 0", clear_weight, CATALOG_NEVER_MATCHES, CATALOG_ROUTE,
    1, "service large with weight 0", "1 or more" },
  { "a service that is not defined", name_unknown_service,
    CATALOG_NEVER_MATCHES, CATALOG_ROUTE, 1, "service none", "a service" },
  { "a second service of the same name", repeat_service, CATALOG_NEVER_MATCHES,
    CATALOG_SERVICE, 1, "service large", "one service" },
  { "a service that no route names", leave_service_unused,
    CATALOG_NEVER_MATCHES, CATALOG_SERVICE, 1, "service web", "some route" },
  { "a second model of the same name", repeat_model, CATALOG_NEVER_MATCHES,
    CATALOG_SERVICE, 0, "model base", "one model" },
  { "an objective over the timeout", raise_objective, CATALOG_CONTRADICTION,
    CATALOG_ROUTE, 1, "objective 900 ms", "timeout 800 ms" },
  { "an objective for gaps over the timeout", raise_gap_objective,
    CATALOG_CONTRADICTION, CATALOG_ROUTE, 0, "8001 ms", "timeout 8000 ms" },
  { "attempts whose times do not fit", raise_attempts, CATALOG_CONTRADICTION,
    CATALOG_ROUTE, 0, "17 attempts of 500 ms", "timeout 8000 ms" },
  { "no attempt", clear_attempts, CATALOG_CONTRADICTION, CATALOG_ROUTE, 0,
    "0 attempts", "1 attempt" },
  { "a step that is longer than the objective", raise_step,
    CATALOG_CONTRADICTION, CATALOG_ROUTE, 0, "service large takes 600 ms",
    "objective 500 ms" },
  { "a cold rate below one request", lower_cold_rate, CATALOG_CONTRADICTION,
    CATALOG_SERVICE, 0, "0.5 requests", "1 request" },
  { "a load from the cache that is slower than from the store",
    raise_cached_load, CATALOG_CONTRADICTION, CATALOG_SERVICE, 0, "6001 ms",
    "6000 ms" },
};

static void
test_one_fault_each (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof check_cases / sizeof check_cases[0]; i++)
    {
      struct catalog *catalog = make_catalog ();
      struct findings findings = { .count = 0 };
      const struct catalog_finding *finding = &findings.list[0];

      check_cases[i].change (catalog);
      for (unsigned j = 0; j < catalog->route_count; j++)
        catalog_index_route (catalog, j);
      assert_int_equal (catalog_check (catalog, keep_finding, &findings),
                        RESULT_OK);
      catalog_unref (catalog);
      if (findings.count != (check_cases[i].found != NULL))
        fail_msg ("%s: %u findings, first: %s", check_cases[i].guards,
                  findings.count, finding->found);
      if (check_cases[i].found != NULL
          && (finding->fault != check_cases[i].fault
              || finding->part != check_cases[i].part
              || finding->index != check_cases[i].index
              || strstr (finding->found, check_cases[i].found) == NULL
              || strstr (finding->allowed, check_cases[i].allowed) == NULL))
        fail_msg ("%s: %s, allowed %s", check_cases[i].guards, finding->found,
                  finding->allowed);
    }
}

/*
 * Guards against a key that two customers hold: requests with it count for the
 * customer that hosts find.  Which of the two is skipped is not specified.
 */
static void
test_key_held_twice (void **state)
{
  struct catalog *catalog = make_catalog ();
  struct findings findings = { .count = 0 };
  char used[128];

  (void)state;
  repeat_key (catalog);
  for (unsigned j = 0; j < catalog->route_count; j++)
    catalog_index_route (catalog, j);
  assert_int_equal (catalog_check (catalog, keep_finding, &findings),
                    RESULT_OK);
  assert_int_equal (findings.count, 1);
  assert_int_equal (findings.list[0].part, CATALOG_CUSTOMER);
  snprintf (used, sizeof used, "count for customer %s",
            catalog_find_key (catalog, "k1")->name);
  assert_non_null (strstr (findings.list[0].found, used));
  /* The key is a secret. */
  assert_null (strstr (findings.list[0].found, "k1"));
  catalog_unref (catalog);
}

/* Endpoints of a service in a domain. */
struct supply_case
{
  const char *guards;
  struct
  {
    const char *service;
    const char *domain;
    unsigned count;
  } supply[4];
  unsigned sizes[2]; /* endpoints per group of the two models of "large" */
  enum catalog_fault fault;
  unsigned index;
  const char *found; /* NULL = no finding */
  const char *allowed;
};

static const struct supply_case supply_cases[] = {
  { "a sufficient supply is reported",
    { { "large", "d1", 8 }, { "large", "d2", 2 }, { "web", "", 1 } },
    { 8, 2 },
    0,
    0,
    NULL,
    NULL },
  { "a service without endpoints",
    { { "large", "d1", 8 }, { "large", "d2", 2 } },
    { 8, 2 },
    CATALOG_NEVER_MATCHES,
    1,
    "service web: 0 endpoints",
    "one endpoint" },
  { "a group that no domain has room for",
    { { "large", "d1", 7 }, { "large", "d2", 7 }, { "web", "", 1 } },
    { 8, 2 },
    CATALOG_NEVER_MATCHES,
    0,
    "model base: 8 endpoints",
    "7 endpoints in the largest" },
  { "endpoints of another service in the domain are counted",
    { { "large", "d1", 7 }, { "web", "d1", 7 }, { "large", "d2", 7 } },
    { 8, 2 },
    CATALOG_NEVER_MATCHES,
    0,
    "model base: 8 endpoints",
    "7 endpoints in the largest" },
  { "more groups than endpoints",
    { { "large", "d1", 8 }, { "large", "d2", 1 }, { "web", "", 1 } },
    { 8, 2 },
    CATALOG_CONTRADICTION,
    0,
    "takes 10 endpoints",
    "9 endpoints of the service" },
};

static void
test_endpoints (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof supply_cases / sizeof supply_cases[0]; i++)
    {
      const struct supply_case *c = &supply_cases[i];
      struct catalog *catalog = make_catalog ();
      struct findings findings = { .count = 0 };
      const struct catalog_finding *finding = &findings.list[0];
      struct endpoint_report endpoints[32];
      size_t count = 0;

      memset (endpoints, 0, sizeof endpoints);
      for (unsigned j = 0; j < 4 && c->supply[j].service != NULL; j++)
        for (unsigned k = 0; k < c->supply[j].count; k++, count++)
          {
            endpoints[count].service = c->supply[j].service;
            endpoints[count].domain = c->supply[j].domain;
          }
      catalog->services[0].models[0].size = c->sizes[0];
      catalog->services[0].models[1].size = c->sizes[1];
      assert_int_equal (catalog_check_endpoints (catalog, endpoints, count,
                                                 keep_finding, &findings),
                        RESULT_OK);
      catalog_unref (catalog);
      if (findings.count != (c->found != NULL))
        fail_msg ("%s: %u findings, first: %s", c->guards, findings.count,
                  finding->found);
      if (c->found != NULL
          && (finding->fault != c->fault || finding->part != CATALOG_SERVICE
              || finding->index != c->index
              || strstr (finding->found, c->found) == NULL
              || strstr (finding->allowed, c->allowed) == NULL))
        fail_msg ("%s: %s, allowed %s", c->guards, finding->found,
                  finding->allowed);
    }
}

/* A finding must not hide another one. */
static void
test_all_faults_at_once (void **state)
{
  struct catalog *catalog = make_catalog ();
  struct findings findings = { .count = 0 };

  (void)state;
  repeat_route (catalog);
  name_unknown_service (catalog);
  repeat_model (catalog);
  repeat_key (catalog);
  raise_objective (catalog);
  raise_attempts (catalog);
  lower_cold_rate (catalog);
  for (unsigned j = 0; j < catalog->route_count; j++)
    catalog_index_route (catalog, j);
  assert_int_equal (catalog_check (catalog, keep_finding, &findings),
                    RESULT_OK);
  assert_int_equal (findings.count, 7);
  catalog_unref (catalog);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_fault_each),
    cmocka_unit_test (test_key_held_twice),
    cmocka_unit_test (test_endpoints),
    cmocka_unit_test (test_all_faults_at_once),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
