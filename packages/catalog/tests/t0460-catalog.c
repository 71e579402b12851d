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
create_catalog (void)
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

      route->name = text_pool_format (&catalog->texts, "%s%s", routes[i].host,
                                      routes[i].prefix);
      route->host = routes[i].host;
      route->prefix = routes[i].prefix;
      catalog_index_route (catalog, i);
    }
  catalog->route_count = 4;
  catalog->customers[0].name = "atlas";
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
  /* Without its slash, the path must not complete the host to a known key. */
  { "a.exampl", "e/x/", NULL },
};

static void
test_route_lookup (void **state)
{
  struct catalog *catalog = create_catalog ();

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

/*
 * Whether a request may be repeated depends only on its route's kind and
 * whether its streams are resumable.
 */
static const struct kind_case kind_cases[] = {
  { CATALOG_SAFE, false, true },    { CATALOG_SAFE, true, true },
  { CATALOG_UNSAFE, false, false }, { CATALOG_UNSAFE, true, false },
  { CATALOG_STREAM, false, false }, { CATALOG_STREAM, true, true },
};

static void
test_repeatable_kinds (void **state)
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
test_targets_by_weight (void **state)
{
  struct catalog_target targets[] = { { "old", 90 }, { "new", 10 } };
  struct catalog_route route = { .targets = targets, .target_count = 2 };
  unsigned old = 0;

  (void)state;
  for (uint64_t draw = 0; draw < 1000; draw++)
    old += strcmp (catalog_pick_target (&route, draw), "old") == 0;
  assert_int_equal (old, 900);
}

enum step_kind
{
  STEP_END,
  STEP_REPORT, /* revision */
  STEP_DELETE, /* revision */
  STEP_OUTAGE_END,
  STEP_RESTORE,
  /* the store comes back from a copy */ /* the platform was unreachable until
                                            now */
  STEP_TICK,
  STEP_RELIST, /* a complete listing without the endpoint */
};

struct step
{
  enum step_kind kind;
  int64_t time_ms;
  uint64_t revision;
};

struct endpoint_case
{
  const char *guards; /* failure that the case guards against */
  struct step steps[8];
  bool expected; /* the endpoint is in the table after the steps */
};

static const struct endpoint_case endpoint_cases[] = {
  { "a deleted endpoint is kept without an outage",
    { { STEP_REPORT, 0, 5 }, { STEP_DELETE, 100, 6 }, { STEP_TICK, 125 } },
    false },
  { "entries that expired during an outage are dropped at once",
    { { STEP_REPORT, 0, 5 },
      { STEP_OUTAGE_END, 100 },
      { STEP_RELIST, 110, 9 },
      { STEP_TICK, 2000 } },
    true },
  { "an entry that is not registered again is kept for ever",
    { { STEP_REPORT, 0, 5 },
      { STEP_OUTAGE_END, 100 },
      { STEP_RELIST, 110, 9 },
      { STEP_TICK, 2400 } },
    false },
  { "an entry that is registered again is dropped all the same",
    { { STEP_REPORT, 0, 5 },
      { STEP_OUTAGE_END, 100 },
      { STEP_RELIST, 110, 9 },
      { STEP_REPORT, 1000, 10 },
      { STEP_TICK, 2400 } },
    true },
  { "a late report undoes a deletion",
    { { STEP_REPORT, 0, 5 },
      { STEP_OUTAGE_END, 50 },
      { STEP_DELETE, 100, 9 },
      { STEP_REPORT, 150, 8 },
      { STEP_TICK, 2400 } },
    false },
  { "an entry that the copy of a restored store lacks is dropped at once",
    { { STEP_REPORT, 0, 5 },
      { STEP_RESTORE, 100 },
      { STEP_RELIST, 110, 9 },
      { STEP_TICK, 2200 } },
    true },
  { "an entry that is not written again after a restoration is kept",
    { { STEP_REPORT, 0, 5 },
      { STEP_RESTORE, 100 },
      { STEP_RELIST, 110, 9 },
      { STEP_TICK, 2400 } },
    false },
  { "a late deletion undoes a newer report",
    { { STEP_REPORT, 0, 5 },
      { STEP_REPORT, 50, 9 },
      { STEP_DELETE, 100, 7 },
      { STEP_TICK, 125 } },
    true },
};

static void
test_endpoint_deletions (void **state)
{
  const struct endpoint_report report = { .service = "app", .port = 1 };

  (void)state;
  for (size_t i = 0; i < sizeof endpoint_cases / sizeof endpoint_cases[0]; i++)
    {
      const struct endpoint_case *c = &endpoint_cases[i];
      struct endpoints endpoints;

      endpoints_init (&endpoints, NULL, NULL);
      for (const struct step *step = c->steps; step->kind != STEP_END; step++)
        switch (step->kind)
          {
          case STEP_END:
            break;
          case STEP_REPORT:
            endpoints_report (&endpoints, "e", &report, step->revision,
                              step->time_ms);
            break;
          case STEP_DELETE:
            endpoints_delete (&endpoints, "e", step->revision, step->time_ms);
            break;
          case STEP_OUTAGE_END:
            endpoints_hold_deletions (&endpoints, step->time_ms);
            break;
          case STEP_RESTORE:
            endpoints_note_restore (&endpoints, step->time_ms);
            break;
          case STEP_TICK:
            endpoints_tick (&endpoints, step->time_ms);
            break;
          case STEP_RELIST:
            endpoints_relist_begin (&endpoints);
            endpoints_relist_end (&endpoints, step->revision, step->time_ms);
            break;
          }
      if ((endpoints_find (&endpoints, "e") != NULL) != c->expected)
        fail_msg ("%s", c->guards);
      /* An empty table has the digest of an empty table. */
      if (!c->expected)
        assert_int_equal (endpoints.digest, 0);
      endpoints_finish (&endpoints);
    }
}

/* An endpoint that leaves must get no request, whatever entry comes back. */
static void
test_leaving_is_kept (void **state)
{
  static const struct
  {
    const char *guards;
    bool leaves[2];
    int64_t started_ms[2];
    bool expected;
  } leaving_cases[] = {
    { "an endpoint that leaves is used after its older entry was restored",
      { true, false },
      { 7, 7 },
      true },
    { "an endpoint that started again is taken to leave",
      { true, false },
      { 7, 8 },
      false },
    { "an endpoint that begins to leave is used",
      { false, true },
      { 7, 7 },
      true },
    { "an endpoint of unknown start is taken to leave for ever",
      { true, false },
      { 0, 0 },
      false },
  };

  (void)state;
  for (size_t i = 0; i < sizeof leaving_cases / sizeof leaving_cases[0]; i++)
    {
      struct endpoints endpoints;

      endpoints_init (&endpoints, NULL, NULL);
      for (unsigned n = 0; n < 2; n++)
        {
          const struct endpoint_report report
              = { .service = "app",
                  .port = 1,
                  .leaving = leaving_cases[i].leaves[n],
                  .started_ms = leaving_cases[i].started_ms[n] };

          endpoints_report (&endpoints, "e", &report, n + 1, n);
        }
      if (endpoint_is_usable (endpoints_find (&endpoints, "e"))
          == leaving_cases[i].expected)
        fail_msg ("%s", leaving_cases[i].guards);
      endpoints_finish (&endpoints);
    }
}

/*
 * Deletions after the platform was unreachable from this host.  If it was
 * unreachable from the endpoints too, many entries expire and are registered
 * again within two seconds.  If not, a deleted endpoint has left, and requests
 * to it in these two seconds would fail.
 */
static const struct
{
  const char *guards; /* failure that the case guards against */
  unsigned known;     /* endpoints in the table */
  unsigned deleted;   /* endpoints whose entry was deleted */
  int64_t wait_ms;    /* after the deletion, which is 500 ms after the outage */
  bool expected;      /* the first deleted endpoint is still in the table */
} outage_cases[] = {
  { "an endpoint that left is still used", 51, 1, 400, false },
  { "five endpoints that left are still used", 51, 5, 400, false },
  { "the first of many entries to expire is dropped", 51, 1, 200, true },
  { "endpoints whose entries expired together are dropped", 51, 6, 400, true },
  { "all endpoints are dropped when all entries expired", 51, 51, 1600, true },
  { "entries that are not registered again are kept", 51, 51, 1800, false },
  { "the only endpoint is dropped", 1, 1, 400, true },
  { "endpoints of a failed fabric domain are still used", 1095, 73, 400,
    false },
  { "a tenth of a large fleet is dropped", 1095, 110, 400, true },
};

static void
test_deletions_after_outage (void **state)
{
  const struct endpoint_report report = { .service = "app", .port = 1 };

  (void)state;
  for (size_t i = 0; i < sizeof outage_cases / sizeof outage_cases[0]; i++)
    {
      struct endpoints endpoints;
      char id[16];

      endpoints_init (&endpoints, NULL, NULL);
      for (unsigned n = 0; n < outage_cases[i].known; n++)
        {
          snprintf (id, sizeof id, "e%u", n);
          endpoints_report (&endpoints, id, &report, 5, 1);
        }
      endpoints_hold_deletions (&endpoints, 1000);
      for (unsigned n = 0; n < outage_cases[i].deleted; n++)
        {
          snprintf (id, sizeof id, "e%u", n);
          endpoints_delete (&endpoints, id, 6, 1500);
        }
      for (int64_t now_ms = 1500; now_ms <= 1500 + outage_cases[i].wait_ms;
           now_ms += 25)
        endpoints_tick (&endpoints, now_ms);
      if ((endpoints_find (&endpoints, "e0") != NULL)
          != outage_cases[i].expected)
        fail_msg ("%s", outage_cases[i].guards);
      endpoints_finish (&endpoints);
    }
}

/*
 * Ids are sent in header fields: one with a line end would add fields, or a
 * request, to a caller's.
 */
static void
test_endpoint_ids (void **state)
{
  static const struct
  {
    const char *id;
    enum result result;
  } id_cases[] = { { "i-7f3a91c2", RESULT_OK },
                   { "~", RESULT_OK },
                   { "", RESULT_INVALID },
                   { "a b", RESULT_INVALID },
                   { "a\r\nx-tenant: b", RESULT_INVALID },
                   { "a\x7f", RESULT_INVALID },
                   { "caf\xc3\xa9", RESULT_INVALID } };
  char *long_id = malloc (ENDPOINTS_ID_LIMIT_BYTES + 2);
  struct endpoint_report report = { .port = 80 };
  struct endpoints endpoints;

  (void)state;
  endpoints_init (&endpoints, NULL, NULL);
  for (size_t i = 0; i < sizeof id_cases / sizeof id_cases[0]; i++)
    {
      const char *id = id_cases[i].id;
      enum result result = endpoints_report (&endpoints, id, &report, 1, 1);

      if (result != id_cases[i].result
          || (endpoints_find (&endpoints, id) != NULL) != (result == RESULT_OK))
        fail_msg ("\"%s\": result %d", id, (int)result);
    }
  assert_non_null (long_id);
  memset (long_id, '0', ENDPOINTS_ID_LIMIT_BYTES + 1);
  long_id[ENDPOINTS_ID_LIMIT_BYTES + 1] = '\0';
  assert_int_equal (endpoints_report (&endpoints, long_id, &report, 1, 1),
                    RESULT_TOO_LARGE);
  long_id[ENDPOINTS_ID_LIMIT_BYTES] = '\0';
  assert_int_equal (endpoints_report (&endpoints, long_id, &report, 1, 1),
                    RESULT_OK);
  assert_non_null (endpoints_find (&endpoints, long_id));
  /* One that begins like it is another one. */
  long_id[ENDPOINTS_ID_LIMIT_BYTES - 1] = '1';
  assert_null (endpoints_find (&endpoints, long_id));
  endpoints_finish (&endpoints);
  free (long_id);
}

/* Guards against services that are served in order of priority unasked. */
static void
test_priorities (void **state)
{
  static const struct
  {
    unsigned priorities[3];
    unsigned weights[3]; /* of the target "app" */
    bool has_priorities;
  } cases[] = {
    { { 0, 0, 0 }, { 1, 1, 1 }, false }, { { 2, 2, 2 }, { 1, 1, 1 }, false },
    { { 0, 0, 1 }, { 1, 1, 1 }, true },  { { 1, 0, 0 }, { 1, 5, 0 }, true },
    { { 0, 0, 1 }, { 1, 1, 0 }, false }, { { 0, 1, 2 }, { 0, 1, 0 }, false },
  };

  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct catalog *catalog = catalog_new (3, 2, 0);
      struct catalog_target targets[3][2];

      assert_non_null (catalog);
      for (unsigned j = 0; j < 3; j++)
        {
          struct catalog_route *route = &catalog->routes[j];

          route->priority = cases[i].priorities[j];
          targets[j][0] = (struct catalog_target){ "other", 1 };
          targets[j][1] = (struct catalog_target){ "app", cases[i].weights[j] };
          route->targets = targets[j];
          route->target_count = 2;
        }
      catalog->route_count = 3;
      catalog->services[0].name = "app";
      catalog->services[1].name = "unused";
      catalog->service_count = 2;
      catalog_index_services (catalog);
      if (catalog->services[0].has_priorities != cases[i].has_priorities)
        fail_msg ("case %d", (int)i);
      assert_false (catalog->services[1].has_priorities);
      catalog_unref (catalog);
    }
}

/* A group is cold if its head or any member is, and no other group is. */
static void
test_cold_groups (void **state)
{
  static const struct
  {
    const char *id;
    const char *group;
    uint64_t epoch;
    unsigned rank;
    int64_t cold_ms;
    int64_t spread_ms; /* expected cold time left */
  } members[] = {
    { "a0", "a", 1, 0, 0, 700 },   { "a1", "a", 1, 1, 300, 300 },
    { "a2", "a", 1, 2, 700, 700 }, { "b0", "b", 1, 0, 500, 500 },
    { "b1", "b", 1, 1, 400, 400 }, { "a-old", "a", 0, 0, 0, 0 },
    { "lone", "", 0, 0, 0, 0 },    { "lone-2", "", 0, 0, 900, 900 },
  };
  struct endpoints endpoints;

  (void)state;
  endpoints_init (&endpoints, NULL, NULL);
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    {
      struct endpoint_report report = { .service = "app",
                                        .port = 1,
                                        .group = members[i].group,
                                        .epoch = members[i].epoch,
                                        .rank = members[i].rank,
                                        .has_cold = true,
                                        .cold_ms = members[i].cold_ms };

      endpoints_report (&endpoints, members[i].id, &report, 1, 1000);
    }
  assert_true (endpoints_spread_cold (&endpoints, 1000));
  for (size_t i = 0; i < sizeof members / sizeof members[0]; i++)
    {
      int64_t until_ms
          = endpoints_find (&endpoints, members[i].id)->cold_until_ms;

      if (until_ms
          != (members[i].spread_ms > 0 ? 1000 + members[i].spread_ms : 0))
        fail_msg ("%s: %d", members[i].id, (int)until_ms);
    }
  /* Guards against: a head that says it is warm makes its group warm. */
  endpoints_report (&endpoints, "a0",
                    &(struct endpoint_report){ .service = "app",
                                               .port = 1,
                                               .group = "a",
                                               .epoch = 1,
                                               .has_cold = true },
                    2, 1100);
  assert_int_equal (endpoints_find (&endpoints, "a0")->cold_until_ms, 1700);
  assert_false (endpoints_spread_cold (&endpoints, 1900));
  endpoints_finish (&endpoints);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_route_lookup),
    cmocka_unit_test (test_repeatable_kinds),
    cmocka_unit_test (test_targets_by_weight),
    cmocka_unit_test (test_endpoint_ids),
    cmocka_unit_test (test_cold_groups),
    cmocka_unit_test (test_leaving_is_kept),
    cmocka_unit_test (test_endpoint_deletions),
    cmocka_unit_test (test_deletions_after_outage),
    cmocka_unit_test (test_priorities),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
