#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "catalog.h"
#include "endpoints.h"

static struct catalog *
make_catalog (void)
{
  static const struct
  {
    const char *host;
    const char *prefix;
  } routes[] = { { "a.example", "/" },
                 { "a.example", "/x/" },
                 { "a.example", "/x/y/" },
                 { "b.example", "/x/" } };
  struct catalog *catalog = catalog_new (4, 0, 1);

  assert_non_null (catalog);
  for (unsigned i = 0; i < 4; i++)
    {
      struct catalog_route *route = &catalog->routes[i];

      snprintf (route->name, sizeof route->name, "%s%s", routes[i].host,
                routes[i].prefix);
      snprintf (route->host, sizeof route->host, "%s", routes[i].host);
      snprintf (route->prefix, sizeof route->prefix, "%s", routes[i].prefix);
      catalog_index_route (catalog, i);
    }
  catalog->route_count = 4;
  snprintf (catalog->customers[0].name, sizeof catalog->customers[0].name,
            "atlas");
  catalog->customer_count = 1;
  assert_int_equal (catalog_add_key (catalog, "secret", 0), RESULT_OK);
  return catalog;
}

struct route_case
{
  const char *host;
  const char *path;
  const char *route; /* NULL = none */
};

static const struct route_case route_cases[] = {
  { "a.example", "/", "a.example/" },
  { "a.example", "/x", "a.example/" },
  { "a.example", "/x/", "a.example/x/" },
  { "a.example", "/x/y", "a.example/x/" },
  { "a.example", "/x/y/z", "a.example/x/y/" },
  { "a.example", "/x?q=/y/", "a.example/" },
  { "A.Example:8080", "/x/1", "a.example/x/" },
  { "b.example", "/x/1", "b.example/x/" },
  { "b.example", "/1", NULL },
  { "c.example", "/x/", NULL },
  { "a.exampl", "e/x/", NULL },
};

static void
test_routes (void **state)
{
  struct catalog *catalog = make_catalog ();

  (void)state;
  for (size_t i = 0; i < sizeof route_cases / sizeof route_cases[0]; i++)
    {
      const struct route_case *c = &route_cases[i];
      const struct catalog_route *route
          = catalog_find_route (catalog, c->host, c->path);

      if ((route == NULL) != (c->route == NULL)
          || (route != NULL && strcmp (route->name, c->route) != 0))
        fail_msg ("%s%s gave %s", c->host, c->path,
                  route != NULL ? route->name : "no route");
    }
  assert_string_equal (catalog_find_key (catalog, "secret")->name, "atlas");
  assert_null (catalog_find_key (catalog, "secre"));
  assert_null (catalog_find_key (catalog, ""));
  catalog_unref (catalog);
}

struct kind_case
{
  enum catalog_kind kind;
  bool resumable;
  bool repeatable;
};

/* What may be repeated follows from the kind alone. */
static const struct kind_case kind_cases[] = {
  { CATALOG_SAFE, false, true },    { CATALOG_SAFE, true, true },
  { CATALOG_UNSAFE, false, false }, { CATALOG_UNSAFE, true, false },
  { CATALOG_STREAM, false, false }, { CATALOG_STREAM, true, true },
};

static void
test_kinds (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof kind_cases / sizeof kind_cases[0]; i++)
    {
      struct catalog_route route = { .kind = kind_cases[i].kind,
                                     .resumable = kind_cases[i].resumable };

      assert_int_equal (catalog_is_repeatable (&route),
                        kind_cases[i].repeatable);
    }
}

static void
test_split (void **state)
{
  struct catalog_route route
      = { .targets = { { "old", 90 }, { "new", 10 } }, .target_count = 2 };
  unsigned old = 0;

  (void)state;
  for (uint64_t draw = 0; draw < 1000; draw++)
    old += strcmp (catalog_pick_target (&route, draw), "old") == 0;
  assert_int_equal (old, 900);
}

enum step_kind
{
  END,
  REPORT,   /* revision */
  DELETE,   /* revision */
  DISTRUST, /* the platform was away until now */
  TICK,
  RELIST, /* without the endpoint */
};

struct step
{
  enum step_kind kind;
  int64_t at;
  uint64_t revision;
};

struct endpoint_case
{
  const char *guards;
  struct step steps[8];
  bool there; /* at the end */
};

static const struct endpoint_case endpoint_cases[] = {
  { "a deletion is not believed",
    { { REPORT, 0, 5 }, { DELETE, 100, 6 }, { TICK, 125 } },
    false },
  { "entries that lapsed while the platform was away are dropped at once",
    { { REPORT, 0, 5 }, { DISTRUST, 100 }, { RELIST, 110, 9 }, { TICK, 2000 } },
    true },
  { "an entry that does not come back is kept for ever",
    { { REPORT, 0, 5 }, { DISTRUST, 100 }, { RELIST, 110, 9 }, { TICK, 2400 } },
    false },
  { "an entry that comes back is dropped all the same",
    { { REPORT, 0, 5 },
      { DISTRUST, 100 },
      { RELIST, 110, 9 },
      { REPORT, 1000, 10 },
      { TICK, 2400 } },
    true },
  { "a late report undoes a deletion",
    { { REPORT, 0, 5 },
      { DISTRUST, 50 },
      { DELETE, 100, 9 },
      { REPORT, 150, 8 },
      { TICK, 2400 } },
    false },
  { "a late deletion undoes a newer report",
    { { REPORT, 0, 5 }, { REPORT, 50, 9 }, { DELETE, 100, 7 }, { TICK, 125 } },
    true },
};

static void
test_endpoints (void **state)
{
  const struct endpoint_report report = { .service = "app", .port = 1 };

  (void)state;
  for (size_t i = 0; i < sizeof endpoint_cases / sizeof endpoint_cases[0]; i++)
    {
      const struct endpoint_case *c = &endpoint_cases[i];
      struct endpoints endpoints;

      endpoints_init (&endpoints, NULL, NULL);
      for (const struct step *step = c->steps; step->kind != END; step++)
        switch (step->kind)
          {
          case END:
            break;
          case REPORT:
            endpoints_report (&endpoints, "e", &report, step->revision,
                              step->at);
            break;
          case DELETE:
            endpoints_delete (&endpoints, "e", step->revision, step->at);
            break;
          case DISTRUST:
            endpoints_distrust (&endpoints, step->at);
            break;
          case TICK:
            endpoints_tick (&endpoints, step->at);
            break;
          case RELIST:
            endpoints_relist_begin (&endpoints);
            endpoints_relist_end (&endpoints, step->revision, step->at);
            break;
          }
      if ((endpoints_find (&endpoints, "e") != NULL) != c->there)
        fail_msg ("%s", c->guards);
      /* An empty table has the digest of an empty table. */
      if (!c->there)
        assert_int_equal (endpoints.digest, 0);
      endpoints_finish (&endpoints);
    }
}

/*
 * Deletions after the platform was away for this host.  If it was away for the
 * endpoints too, many lapse and are back within two seconds.  If not, one that
 * is gone has left, and must get no request for as long again.
 */
static const struct
{
  const char *guards;
  unsigned known;
  unsigned deleted;
  int64_t after_ms; /* the deletion, half a second after the return */
  bool there;
} lapses[] = {
  { "an endpoint that left is used on", 51, 1, 400, false },
  { "five of them are", 51, 5, 400, false },
  { "the first of many to lapse is dropped", 51, 1, 200, true },
  { "endpoints that lapsed together are dropped", 51, 6, 400, true },
  { "all of them are", 51, 51, 1600, true },
  { "what does not return is kept", 51, 51, 1800, false },
  { "the only endpoint is dropped", 1, 1, 400, true },
  { "a dark fabric domain is waited for", 1095, 73, 400, false },
  { "a tenth of a large fleet is dropped", 1095, 110, 400, true },
};

static void
test_lapses (void **state)
{
  const struct endpoint_report report = { .service = "app", .port = 1 };

  (void)state;
  for (size_t i = 0; i < sizeof lapses / sizeof lapses[0]; i++)
    {
      struct endpoints endpoints;
      char id[16];

      endpoints_init (&endpoints, NULL, NULL);
      for (unsigned n = 0; n < lapses[i].known; n++)
        {
          snprintf (id, sizeof id, "e%u", n);
          endpoints_report (&endpoints, id, &report, 5, 1);
        }
      endpoints_distrust (&endpoints, 1000);
      for (unsigned n = 0; n < lapses[i].deleted; n++)
        {
          snprintf (id, sizeof id, "e%u", n);
          endpoints_delete (&endpoints, id, 6, 1500);
        }
      for (int64_t now_ms = 1500; now_ms <= 1500 + lapses[i].after_ms;
           now_ms += 25)
        endpoints_tick (&endpoints, now_ms);
      if ((endpoints_find (&endpoints, "e0") != NULL) != lapses[i].there)
        fail_msg ("%s", lapses[i].guards);
      endpoints_finish (&endpoints);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_routes), cmocka_unit_test (test_kinds),
    cmocka_unit_test (test_split),  cmocka_unit_test (test_endpoints),
    cmocka_unit_test (test_lapses),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
