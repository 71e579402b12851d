#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hub-sync.h"
#include "log.h"

/* How a host handles the responses of its hub, and a hub the requests. */

#define REQUEST_SENT_MS 10000
#define NEVER_MS (INT64_MIN / 2)

static struct mesh mesh;
static struct hub_sync sync;
static struct endpoints endpoints;

static int64_t
get_configuration (void *context)
{
  (void)context;
  return 7;
}

static bool is_hub_current;
static int64_t hub_current_at_ms; /* configuration and entries */
static int64_t patch_from;        /* version that the requesting host has */

static bool
get_own_freshness (void *context, struct hub_sync_freshness *freshness)
{
  (void)context;
  *freshness
      = (struct hub_sync_freshness){ hub_current_at_ms, hub_current_at_ms, 9 };
  return is_hub_current;
}

static bool
send_patch (void *context, struct mesh_host *to, int64_t from)
{
  (void)context;
  (void)to;
  patch_from = from;
  return true;
}

static void
on_removed (void *context, struct endpoint *endpoint)
{
  (void)context;
  hub_sync_add_tombstone (&sync, endpoint->id, endpoint->deleted_revision);
}

static void
setup (void)
{
  const struct hub_sync_hooks hooks
      = { NULL, get_configuration, get_own_freshness, send_patch };

  memset (&mesh, 0, sizeof mesh);
  mesh.socket = -1;
  endpoints_init (&endpoints, on_removed, NULL);
  hub_sync_init (&sync, &mesh, &endpoints, &hooks, 1000);
  sync.request_sent_ms = REQUEST_SENT_MS;
  sync.next_request_ms = REQUEST_SENT_MS + 300;
}

struct response_case
{
  const char *guards; /* failure that the case guards against */
  struct gossip_sync_response response;
  int64_t received_ms;
  int64_t configuration_current_at_ms;
  int64_t entries_current_at_ms;
  int64_t newest;
  unsigned hub_rank;
};

static const struct response_case cases[] = {
  { "a valid response does not count",
    { REQUEST_SENT_MS, 7, 200, 300, 5, 0 },
    10005,
    9800,
    9700,
    7,
    0 },
  { "the age counts from the response instead of the request",
    { REQUEST_SENT_MS, 7, 0, 0, 5, 0 },
    13000,
    REQUEST_SENT_MS,
    REQUEST_SENT_MS,
    7,
    0 },
  { "a response to an earlier request counts",
    { REQUEST_SENT_MS - 300, 7, 0, 0, 5, 0 },
    10005,
    NEVER_MS,
    NEVER_MS,
    0,
    0 },
  { "a newer version shows that the old one is current",
    { REQUEST_SENT_MS, 8, 0, 0, 5, 0 },
    10005,
    NEVER_MS,
    REQUEST_SENT_MS,
    8,
    0 },
  { "an older version shows that the present one is current",
    { REQUEST_SENT_MS, 6, 0, 0, 5, 0 },
    10005,
    NEVER_MS,
    REQUEST_SENT_MS,
    6,
    0 },
  { "entries that differ count as current",
    { REQUEST_SENT_MS, 7, 0, 0, 5, 99 },
    10005,
    REQUEST_SENT_MS,
    NEVER_MS,
    7,
    0 },
  { "a hub without data is polled again",
    { REQUEST_SENT_MS, 0, 0, 0, 0, 0 },
    10005,
    NEVER_MS,
    NEVER_MS,
    0,
    1 },
  { "a hub with old data is polled again",
    { REQUEST_SENT_MS, 7, 1500, 100, 5, 0 },
    10005,
    NEVER_MS,
    NEVER_MS,
    0,
    1 },
};

static void
test_responses (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct response_case *c = &cases[i];
      struct gossip_message message = { .kind = GOSSIP_SYNC_RESPONSE };

      setup ();
      message.body.sync_response = c->response;
      hub_sync_handle_message (&sync, NULL, &message, c->received_ms);
      if (sync.configuration_current_at_ms != c->configuration_current_at_ms
          || sync.entries_current_at_ms != c->entries_current_at_ms
          || sync.newest_configuration != c->newest
          || sync.hub_rank != c->hub_rank
          || sync.is_hub_stale != (c->newest == 0))
        fail_msg ("%s: configuration %lld, entries %lld, newest %lld, hub %u",
                  c->guards, (long long)sync.configuration_current_at_ms,
                  (long long)sync.entries_current_at_ms,
                  (long long)sync.newest_configuration, sync.hub_rank);
      endpoints_finish (&endpoints);
      hub_sync_finish (&sync);
    }
}

/* A response of a hub, and what the host then takes for the newest version. */
struct newest_step
{
  int64_t at_ms;
  int64_t version;
  int64_t newest;
};

static const struct
{
  const char *guards; /* failure that the case guards against */
  struct newest_step steps[4];
} newest_cases[] = {
  { "a hub that lags hides the newest version",
    { { 10005, 9, 9 }, { 10305, 8, 9 }, { 12005, 8, 9 } } },
  { "a version that was damaged on the way is asked for for ever",
    { { 10005, INT64_MAX, INT64_MAX },
      { 11005, 8, INT64_MAX },
      { 12006, 8, 8 },
      { 12306, 9, 9 } } },
  { "a version that is reported on is forgotten",
    { { 10005, 9, 9 }, { 12000, 9, 9 }, { 13990, 8, 9 } } },
};

static void
test_newest_version (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof newest_cases / sizeof newest_cases[0]; i++)
    {
      setup ();
      for (unsigned n = 0; n < 4 && newest_cases[i].steps[n].at_ms != 0; n++)
        {
          const struct newest_step *step = &newest_cases[i].steps[n];
          struct gossip_message message = { .kind = GOSSIP_SYNC_RESPONSE };

          message.body.sync_response = (struct gossip_sync_response){
            .nonce = REQUEST_SENT_MS,
            .configuration_version = step->version,
            .revision = 5,
          };
          hub_sync_handle_message (&sync, NULL, &message, step->at_ms);
          if (sync.newest_configuration != step->newest)
            fail_msg ("%s: %lld at %lld ms", newest_cases[i].guards,
                      (long long)sync.newest_configuration,
                      (long long)step->at_ms);
        }
      endpoints_finish (&endpoints);
      hub_sync_finish (&sync);
    }
}

/* A report that arrives after the removal of its endpoint is ignored. */
static void
test_report_after_removal (void **state)
{
  struct gossip_message message = { .kind = GOSSIP_REPORT };
  struct gossip_report *report = &message.body.report;

  (void)state;
  setup ();
  report->endpoint = "e";
  report->revision = 5;
  hub_sync_handle_message (&sync, NULL, &message, 1000);
  assert_non_null (endpoints_find (&endpoints, "e"));
  message.kind = GOSSIP_DELETED;
  report->revision = 9;
  hub_sync_handle_message (&sync, NULL, &message, 1100);
  endpoints_tick (&endpoints, 1100);
  assert_null (endpoints_find (&endpoints, "e"));
  message.kind = GOSSIP_REPORT;
  report->revision = 8;
  hub_sync_handle_message (&sync, NULL, &message, 1200);
  assert_null (endpoints_find (&endpoints, "e"));
  /* A newer report of the same id adds the endpoint again. */
  report->revision = 10;
  hub_sync_handle_message (&sync, NULL, &message, 1300);
  assert_non_null (endpoints_find (&endpoints, "e"));
  endpoints_finish (&endpoints);
  hub_sync_finish (&sync);
}

/*
 * A host whose entries matched the hub's between the deletion and the removal
 * knows them up to the revision of the removal.  It still gets the removal.
 */
static void
test_removal_is_reported (void **state)
{
  struct gossip_message message = { .kind = GOSSIP_SYNC_REQUEST };
  struct mesh_host from = { .boot = 1 };

  (void)state;
  setup ();
  is_hub_current = true;
  hub_sync_add_tombstone (&sync, "e", 9);
  message.body.sync_request.revision = 9;
  hub_sync_handle_message (&sync, &from, &message, 1000);
  /* Two messages: the removal and the response. */
  assert_int_equal (mesh.sequence, 2);
  message.body.sync_request.revision = 10;
  hub_sync_handle_message (&sync, &from, &message, 1100);
  assert_int_equal (mesh.sequence, 3);
  is_hub_current = false;
  endpoints_finish (&endpoints);
  hub_sync_finish (&sync);
}

/* A host that has an older configuration than its hub polls it again soon. */
struct update_case
{
  const char *guards;    /* failure that the case guards against */
  int64_t configuration; /* version of the hub */
  bool is_patch_sent;
  int64_t outdated_since_ms;
  int64_t next_request_ms;
};

static const struct update_case update_cases[] = {
  { "an up-to-date host waits for a patch", 7, false, 0, 10300 },
  { "a lost patch is not requested again", 8, true, 10005, 10105 },
  { "a host waits for a patch that was not sent", 8, false, 10005, 10105 },
};

static void
test_newer_configuration (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof update_cases / sizeof update_cases[0]; i++)
    {
      const struct update_case *c = &update_cases[i];
      struct gossip_message message = { .kind = GOSSIP_SYNC_RESPONSE };

      setup ();
      message.body.sync_response = (struct gossip_sync_response){
        .nonce = REQUEST_SENT_MS,
        .configuration_version = c->configuration,
        .revision = 5,
        .is_patch_sent = c->is_patch_sent,
      };
      hub_sync_handle_message (&sync, NULL, &message, 10005);
      if (sync.outdated_since_ms != c->outdated_since_ms
          || sync.next_request_ms != c->next_request_ms
          || sync.is_patch_sent != c->is_patch_sent
          || sync.newer_since_ms != c->outdated_since_ms
          || sync.is_confirmed != (c->outdated_since_ms == 0))
        fail_msg ("%s: outdated since %lld, next request %lld", c->guards,
                  (long long)sync.outdated_since_ms,
                  (long long)sync.next_request_ms);
      endpoints_finish (&endpoints);
      hub_sync_finish (&sync);
    }
}

/* A hub sends the patch from the requested version if its data is current. */
static void
test_patch_is_sent (void **state)
{
  struct gossip_message message = { .kind = GOSSIP_SYNC_REQUEST };
  struct mesh_host from = { .boot = 1 };

  (void)state;
  setup ();
  message.body.sync_request.configuration_version = 5;
  patch_from = 0;
  hub_sync_handle_message (&sync, &from, &message, 1000);
  assert_int_equal (patch_from, 0);
  is_hub_current = true;
  hub_sync_handle_message (&sync, &from, &message, 1100);
  assert_int_equal (patch_from, 5);
  is_hub_current = false;
  endpoints_finish (&endpoints);
  hub_sync_finish (&sync);
}

/*
 * A restarted hub lists the entries as they are and cannot report which heads
 * of groups were demoted before.  A host that still has them as heads finds out
 * by a snapshot of the routed endpoints.
 */
#define HEADS 150 /* two messages */

static struct endpoint_report
make_head_report (void)
{
  struct endpoint_report report = { .state = ENDPOINT_GROUP_OPEN };

  report.domain = "d";
  return report;
}

static void
add_heads (struct endpoints *table, unsigned count, uint64_t revision)
{
  const struct endpoint_report report = make_head_report ();
  char id[16];

  for (unsigned i = 0; i < count; i++)
    {
      snprintf (id, sizeof id, "h%u", i);
      endpoints_report (table, id, &report, revision, 1);
    }
}

static const struct
{
  const char *guards; /* failure that the case guards against */
  unsigned hub_heads;
  uint64_t entry_revision; /* of the requesting host's entries */
  unsigned lost_chunk;     /* chunk that does not arrive; 0 = none */
  unsigned heads_left;     /* heads of that host afterwards */
} snapshot_cases[] = {
  { "a demoted head is kept", 149, 5, 0, 149 },
  { "many demoted heads are kept", 1, 5, 0, 1 },
  { "present heads are deleted", HEADS, 5, 0, HEADS },
  { "a snapshot without its first chunk counts as complete", 149, 5, 1, HEADS },
  { "a snapshot without its last chunk counts as complete", 149, 5, 2, HEADS },
  { "an entry that changed since the snapshot is deleted", 149, 4201, 0,
    HEADS },
};

static void
test_routed_snapshot (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof snapshot_cases / sizeof snapshot_cases[0]; i++)
    {
      struct gossip_message chunk = { .kind = GOSSIP_ROUTED_RESPONSE };
      struct endpoints hub;

      setup ();
      endpoints_init (&hub, NULL, NULL);
      add_heads (&endpoints, HEADS, snapshot_cases[i].entry_revision);
      add_heads (&hub, snapshot_cases[i].hub_heads, 5);
      for (uint32_t first = 0;
           routed_snapshot_fill_chunk (&hub, first, 4200, &chunk.body.routed);
           first += GOSSIP_ROUTED_LIMIT)
        {
          chunk.body.routed.nonce = REQUEST_SENT_MS;
          if (first / GOSSIP_ROUTED_LIMIT + 1 != snapshot_cases[i].lost_chunk)
            hub_sync_handle_message (&sync, NULL, &chunk, REQUEST_SENT_MS + 5);
        }
      endpoints_tick (&endpoints, REQUEST_SENT_MS + 10);
      if (HASH_COUNT (endpoints.table) != snapshot_cases[i].heads_left)
        fail_msg ("%s: %u heads left", snapshot_cases[i].guards,
                  HASH_COUNT (endpoints.table));
      endpoints_finish (&hub);
      endpoints_finish (&endpoints);
      hub_sync_finish (&sync);
    }
}

/* Chunks with an impossible range are ignored. */
static void
test_invalid_chunks (void **state)
{
  static const struct
  {
    uint32_t total;
    uint32_t first;
    uint32_t count;
  } chunks[] = {
    { 0, 0, 0 },     { 1, 0, 0 },       { 200, 7, 120 },
    { 200, 0, 100 }, { 7681, 7680, 1 }, { 4000000000U, 0, 120 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof chunks / sizeof chunks[0]; i++)
    {
      const struct gossip_routed chunk = { .nonce = 1,
                                           .total = chunks[i].total,
                                           .first = chunks[i].first,
                                           .count = chunks[i].count };
      struct routed_snapshot snapshot = { .nonce = 0 };

      assert_false (routed_snapshot_receive_chunk (&snapshot, &chunk));
      assert_null (snapshot.list);
      routed_snapshot_finish (&snapshot);
    }
}

/* A host that relies on its hub keeps routed endpoints only. */
static void
test_unrouted_reports (void **state)
{
  static const struct
  {
    bool relies_on_hub;
    bool known;
    unsigned heads_left;
  } hosts[] = { { true, false, 0 }, { true, true, 0 }, { false, true, 1 } };

  (void)state;
  for (size_t i = 0; i < sizeof hosts / sizeof hosts[0]; i++)
    {
      struct gossip_message message = { .kind = GOSSIP_REPORT };
      struct gossip_report *report = &message.body.report;

      setup ();
      sync.relies_on_hub = hosts[i].relies_on_hub;
      if (hosts[i].known)
        add_heads (&endpoints, 1, 5);
      report->endpoint = "h0";
      report->revision = 6;
      report->report = make_head_report ();
      report->report.rank = 1;
      hub_sync_handle_message (&sync, NULL, &message, 1000);
      endpoints_tick (&endpoints, 1010);
      assert_int_equal (HASH_COUNT (endpoints.table), hosts[i].heads_left);
      /* The endpoint becomes a head again. */
      report->revision = 7;
      report->report.rank = 0;
      hub_sync_handle_message (&sync, NULL, &message, 1020);
      assert_int_equal (HASH_COUNT (endpoints.table), 1);
      endpoints_finish (&endpoints);
      hub_sync_finish (&sync);
    }
}

/* A host requests a snapshot once the entries have differed for a while. */
static void
test_routed_request (void **state)
{
  static const struct
  {
    int64_t differs_since_ms;
    bool compares_routed;
    enum gossip_kind kind; /* of the last message */
  } requesters[] = {
    { 0, true, GOSSIP_SYNC_REQUEST },
    { REQUEST_SENT_MS + 200, true, GOSSIP_SYNC_REQUEST },
    { REQUEST_SENT_MS + 5, true, GOSSIP_ROUTED_REQUEST },
    { REQUEST_SENT_MS + 5, false, GOSSIP_SYNC_REQUEST },
  };

  (void)state;
  for (size_t i = 0; i < sizeof requesters / sizeof requesters[0]; i++)
    {
      struct mesh_host *host = calloc (1, sizeof *host);

      assert_non_null (host);
      setup ();
      mesh.now_ms = REQUEST_SENT_MS;
      snprintf (host->info.name, sizeof host->info.name, "hub");
      HASH_ADD (hh, mesh.hosts, info.name, strlen (host->info.name), host);
      sync.differs_since_ms = requesters[i].differs_since_ms;
      hub_sync_tick (&sync, true, requesters[i].compares_routed,
                     REQUEST_SENT_MS + 300);
      assert_int_equal (mesh.message.kind, requesters[i].kind);
      HASH_CLEAR (hh, mesh.hosts);
      free (host);
      endpoints_finish (&endpoints);
      hub_sync_finish (&sync);
    }
}

/*
 * Ages that do not fit the message become GOSSIP_NEVER_MS.  Truncated to 32
 * bits, the age at a hub whose data was never current would look small, and a
 * revoked key would be accepted.
 */
static void
test_ages (void **state)
{
  static const struct
  {
    int64_t current_at_ms;
    int64_t now_ms;
    uint32_t age_ms;
  } ages[] = {
    { 900, 1000, 100 },
    { 1000, 900, 0 },
    { NEVER_MS, 500, GOSSIP_NEVER_MS },
    { 0, (1LL << 32) + 100, GOSSIP_NEVER_MS },
  };

  (void)state;
  is_hub_current = true;
  for (size_t i = 0; i < sizeof ages / sizeof ages[0]; i++)
    {
      struct gossip_message message = { .kind = GOSSIP_SYNC_REQUEST };
      struct mesh_host from = { .boot = 1 };

      setup ();
      hub_current_at_ms = ages[i].current_at_ms;
      hub_sync_handle_message (&sync, &from, &message, ages[i].now_ms);
      assert_int_equal (mesh.message.kind, GOSSIP_SYNC_RESPONSE);
      assert_int_equal (mesh.message.body.sync_response.configuration_age_ms,
                        ages[i].age_ms);
      assert_int_equal (mesh.message.body.sync_response.entries_age_ms,
                        ages[i].age_ms);
      endpoints_finish (&endpoints);
      hub_sync_finish (&sync);
    }
  is_hub_current = false;
  hub_current_at_ms = 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_responses),
    cmocka_unit_test (test_newest_version),
    cmocka_unit_test (test_report_after_removal),
    cmocka_unit_test (test_removal_is_reported),
    cmocka_unit_test (test_newer_configuration),
    cmocka_unit_test (test_patch_is_sent),
    cmocka_unit_test (test_routed_snapshot),
    cmocka_unit_test (test_invalid_chunks),
    cmocka_unit_test (test_unrouted_reports),
    cmocka_unit_test (test_routed_request),
    cmocka_unit_test (test_ages),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
