#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge.h"

/* Which hosts may acquire the lease if there are two hubs of capacity 500. */

struct candidate_case
{
  const char *guards; /* failure that the case guards against */
  uint32_t capacity;
  bool reads_platform;
  bool configuration_fails;
  bool entries_fail;
  enum follower_state state;
  bool is_candidate;
};

static const struct candidate_case candidate_cases[] = {
  { "a hub is no candidate", 900, false, false, false, FOLLOWER_LISTING, true },
  { "a host that relies on a hub is a candidate", 84, false, false, false,
    FOLLOWER_WATCHING, false },
  { "no host is a candidate if the hubs are partitioned", 84, true, false,
    false, FOLLOWER_WATCHING, true },
  { "a host that cannot read the configuration is a candidate", 84, true, true,
    false, FOLLOWER_WATCHING, false },
  { "a host that cannot read the entries is a candidate", 84, true, false, true,
    FOLLOWER_WATCHING, false },
  { "a host that still lists the entries is a candidate", 84, true, false,
    false, FOLLOWER_LISTING, false },
};

static void
add_hub (struct mesh *mesh, const char *name)
{
  struct mesh_host *host = calloc (1, sizeof *host);

  assert_non_null (host);
  snprintf (host->info.name, sizeof host->info.name, "%s", name);
  snprintf (host->info.data_centre, sizeof host->info.data_centre, "a");
  host->info.capacity = 500;
  HASH_ADD (hh, mesh->hosts, info.name, strlen (host->info.name), host);
}

static void
test_candidates (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof candidate_cases / sizeof candidate_cases[0];
       i++)
    {
      const struct candidate_case *c = &candidate_cases[i];
      struct edge *edge = calloc (1, sizeof *edge);

      assert_non_null (edge);
      edge->mesh.socket = -1;
      edge->mesh.now_ms = 10000;
      edge->mesh.last_total_ms = 9950;
      snprintf (edge->mesh.self.name, sizeof edge->mesh.self.name, "self");
      snprintf (edge->mesh.self.data_centre, sizeof edge->mesh.self.data_centre,
                "a");
      edge->mesh.self.capacity = c->capacity;
      add_hub (&edge->mesh, "hub-1");
      add_hub (&edge->mesh, "hub-2");
      edge->reads_platform = c->reads_platform;
      edge->configuration.failing_since_ms = c->configuration_fails ? 9000 : 0;
      edge->entries.failing_since_ms = c->entries_fail ? 9000 : 0;
      edge->entries.state = c->state;
      if (edge_is_candidate (edge) != c->is_candidate)
        fail_msg ("%s", c->guards);
      /* No host is a candidate before it knows the other hosts. */
      edge->mesh.started_ms = edge->mesh.now_ms;
      assert_false (edge_is_candidate (edge));
      mesh_finish (&edge->mesh);
      free (edge);
    }
}

/*
 * A new holder of the lease does not form groups from a list older than the
 * lease (soak seed 92825: an endpoint in an open group still counted as free).
 */
static void
test_may_form (void **state)
{
  static const struct
  {
    bool acting;
    int64_t endpoints_current_at_ms;
    bool may_form;
  } form_cases[] = {
    { true, 4999, false }, /* the former holder may have sent orders since */
    { true, INT64_MIN, false }, { true, 5000, true },
    { true, 6000, true },       { false, 6000, false },
  };

  (void)state;
  for (size_t i = 0; i < sizeof form_cases / sizeof form_cases[0]; i++)
    {
      struct leader leader
          = { .acting = form_cases[i].acting, .acquired_ms = 5000 };

      assert_int_equal (
          leader_may_form (&leader, form_cases[i].endpoints_current_at_ms),
          form_cases[i].may_form);
    }
}

/*
 * A holder forms groups by a table that a hub has taken endpoints from.
 */
static void
test_hub_deletions_end_full_knowledge (void **state)
{
  static const struct
  {
    const char *guards;
    enum gossip_kind kind;
    bool relies_on_hub;
    enum endpoint_group_state reported;
    bool knows_all;
  } deletion_cases[] = {
    { "a removal that a hub tells of is taken for one of the platform",
      GOSSIP_DELETED, false, ENDPOINT_GROUP_NONE, false },
    { "an endpoint that a hub no longer routes to counts as gone",
      GOSSIP_REPORT, true, ENDPOINT_GROUP_READY, false },
    { "a report that a hub passes on ends the knowledge of all endpoints",
      GOSSIP_REPORT, true, ENDPOINT_GROUP_OPEN, true },
  };

  (void)state;
  for (size_t i = 0; i < sizeof deletion_cases / sizeof deletion_cases[0]; i++)
    {
      struct edge *edge = calloc (1, sizeof *edge);
      struct gossip_message *message = calloc (1, sizeof *message);
      struct endpoint_report *report;

      assert_non_null (edge);
      assert_non_null (message);
      report = &message->body.report.report;
      message->kind = deletion_cases[i].kind;
      message->body.report.revision = 9;
      message->body.report.endpoint = "e";
      report->domain = "d";
      report->state = deletion_cases[i].reported;
      endpoints_init (&edge->endpoints, NULL, NULL);
      endpoints_report (&edge->endpoints, "e", report, 5, 1000);
      edge->hub_sync.endpoints = &edge->endpoints;
      edge->hub_sync.relies_on_hub = deletion_cases[i].relies_on_hub;
      edge->knows_all_endpoints = true;
      hub_sync_handle_message (&edge->hub_sync, NULL, message, 1000);
      edge_note_hub_deletions (edge);
      if (edge->knows_all_endpoints != deletion_cases[i].knows_all)
        fail_msg ("%s", deletion_cases[i].guards);
      endpoints_finish (&edge->endpoints);
      free (message);
      free (edge);
    }
}

struct list_case
{
  const char *guards;
  bool hub_deletes;   /* between two pages */
  bool stops_reading; /* between two pages, for a moment */
  bool knows_all;
};

static const struct list_case list_cases[] = {
  { "a list is never complete", false, false, true },
  { "a list counts as complete that a hub has taken an endpoint from", true,
    false, false },
  { "a list counts as complete that went on while a hub was followed", false,
    true, false },
};

/* Knowledge of all endpoints after a list of two pages. */
static void
test_list_of_two_pages (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof list_cases / sizeof list_cases[0]; i++)
    {
      struct edge *edge = calloc (1, sizeof *edge);
      struct follower_hooks *hooks;

      assert_non_null (edge);
      endpoints_init (&edge->endpoints, NULL, NULL);
      edge_follow_init (edge);
      hooks = &edge->entries.hooks;
      edge->reads_platform = true;
      hooks->list_begin (hooks->context);
      edge->hub_sync.has_deleted = list_cases[i].hub_deletes;
      edge_note_hub_deletions (edge);
      if (list_cases[i].stops_reading)
        {
          edge_set_reads_platform (edge, false);
          edge_set_reads_platform (edge, true);
        }
      hooks->list_end (hooks->context);
      if (edge->knows_all_endpoints != list_cases[i].knows_all)
        fail_msg ("%s", list_cases[i].guards);
      endpoints_finish (&edge->endpoints);
      free (edge);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_candidates), cmocka_unit_test (test_may_form),
          cmocka_unit_test (test_list_of_two_pages),
          cmocka_unit_test (test_hub_deletions_end_full_knowledge) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
