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

/* What a host makes of its hub's answers, without a network. */

#define ASKED_MS 10000
#define NEVER (INT64_MIN / 2)

static struct mesh mesh;
static struct hub_sync sync;
static struct endpoints endpoints;

static int64_t
configuration (void *context)
{
  (void)context;
  return 7;
}

static bool may_vouch;
static int64_t own_ms;      /* when all was last known to be current */
static int64_t handed_from; /* configuration that an asker has */

static bool
own (void *context, struct hub_sync_freshness *knowledge)
{
  (void)context;
  *knowledge = (struct hub_sync_freshness){ own_ms, own_ms, 9 };
  return may_vouch;
}

static bool
send_patch (void *context, struct mesh_host *to, int64_t from)
{
  (void)context;
  (void)to;
  handed_from = from;
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
  const struct hub_sync_hooks hooks = { NULL, configuration, own, send_patch };

  memset (&mesh, 0, sizeof mesh);
  mesh.socket = -1;
  endpoints_init (&endpoints, on_removed, NULL);
  hub_sync_init (&sync, &mesh, &endpoints, &hooks, 1000);
  sync.request_sent_ms = ASKED_MS;
  sync.next_request_ms = ASKED_MS + 300;
}

struct answer_case
{
  const char *guards;
  struct gossip_sync_response said;
  int64_t heard_ms;
  int64_t proof_ms;
  int64_t entries_ms;
  int64_t newest;
  unsigned choice;
};

static const struct answer_case cases[] = {
  { "a good answer proves nothing",
    { ASKED_MS, 7, 200, 300, 5, 0 },
    10005,
    9800,
    9700,
    7,
    0 },
  { "the age counts from the answer and not from the question",
    { ASKED_MS, 7, 0, 0, 5, 0 },
    13000,
    ASKED_MS,
    ASKED_MS,
    7,
    0 },
  { "an answer to an earlier question counts",
    { ASKED_MS - 300, 7, 0, 0, 5, 0 },
    10005,
    NEVER,
    NEVER,
    0,
    0 },
  { "a newer configuration proves the old one",
    { ASKED_MS, 8, 0, 0, 5, 0 },
    10005,
    NEVER,
    ASKED_MS,
    8,
    0 },
  { "an older configuration proves the present one",
    { ASKED_MS, 6, 0, 0, 5, 0 },
    10005,
    NEVER,
    ASKED_MS,
    6,
    0 },
  { "other entries are proven",
    { ASKED_MS, 7, 0, 0, 5, 99 },
    10005,
    ASKED_MS,
    NEVER,
    7,
    0 },
  { "a hub that reads nothing is asked again",
    { ASKED_MS, 0, 0, 0, 0, 0 },
    10005,
    NEVER,
    NEVER,
    0,
    1 },
  { "a hub without recent knowledge is asked again",
    { ASKED_MS, 7, 1500, 100, 5, 0 },
    10005,
    NEVER,
    NEVER,
    0,
    1 },
};

static void
test_answers (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct answer_case *c = &cases[i];
      struct gossip_message message = { .kind = GOSSIP_SYNC_RESPONSE };

      setup ();
      message.body.sync_response = c->said;
      hub_sync_handle_message (&sync, NULL, &message, c->heard_ms);
      if (sync.configuration_current_at_ms != c->proof_ms
          || sync.entries_current_at_ms != c->entries_ms
          || sync.newest != c->newest || sync.hub_rank != c->choice
          || sync.is_hub_stale != (c->newest == 0))
        fail_msg ("%s: proof %lld, entries %lld, newest %lld, choice %u",
                  c->guards, (long long)sync.configuration_current_at_ms,
                  (long long)sync.entries_current_at_ms, (long long)sync.newest,
                  sync.hub_rank);
      endpoints_finish (&endpoints);
    }
}

/* A report that was under way when its endpoint was removed. */
static void
test_late_report (void **state)
{
  struct gossip_message message = { .kind = GOSSIP_REPORT };
  struct gossip_report *report = &message.body.report;

  (void)state;
  setup ();
  snprintf (report->endpoint, sizeof report->endpoint, "e");
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
  /* The same id may come back later. */
  report->revision = 10;
  hub_sync_handle_message (&sync, NULL, &message, 1300);
  assert_non_null (endpoints_find (&endpoints, "e"));
  endpoints_finish (&endpoints);
}

/*
 * An asker that matched the hub's entries between the deletion and the removal
 * knows them up to the removal's own revision; it has to be told all the same.
 */
static void
test_removal_is_told (void **state)
{
  struct gossip_message message = { .kind = GOSSIP_SYNC_REQUEST };
  struct mesh_host from = { .boot = 1 };

  (void)state;
  setup ();
  may_vouch = true;
  hub_sync_add_tombstone (&sync, "e", 9);
  message.body.sync_request.revision = 9;
  hub_sync_handle_message (&sync, &from, &message, 1000);
  /* The removal and the answer. */
  assert_int_equal (mesh.sequence, 2);
  message.body.sync_request.revision = 10;
  hub_sync_handle_message (&sync, &from, &message, 1100);
  assert_int_equal (mesh.sequence, 3);
  may_vouch = false;
  endpoints_finish (&endpoints);
}

/* How a host that learns of a newer configuration goes on. */
struct behind_case
{
  const char *guards;
  int64_t configuration; /* the hub's */
  bool is_patch_sent;
  int64_t behind_ms;
  int64_t ask_ms; /* next question */
};

static const struct behind_case behind_cases[] = {
  { "a host that is up to date waits for a patch", 7, false, 0, 10300 },
  { "a lost patch is not noticed", 8, true, 10005, 10105 },
  { "a host waits for a patch that was not sent", 8, false, 10005, 10105 },
};

static void
test_behind (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof behind_cases / sizeof behind_cases[0]; i++)
    {
      const struct behind_case *c = &behind_cases[i];
      struct gossip_message message = { .kind = GOSSIP_SYNC_RESPONSE };

      setup ();
      message.body.sync_response = (struct gossip_sync_response){
        .nonce = ASKED_MS,
        .configuration = c->configuration,
        .revision = 5,
        .is_patch_sent = c->is_patch_sent,
      };
      hub_sync_handle_message (&sync, NULL, &message, 10005);
      if (sync.outdated_since_ms != c->behind_ms
          || sync.next_request_ms != c->ask_ms
          || sync.is_patch_sent != c->is_patch_sent)
        fail_msg ("%s: behind %lld, ask %lld", c->guards,
                  (long long)sync.outdated_since_ms,
                  (long long)sync.next_request_ms);
      endpoints_finish (&endpoints);
    }
}

/* A hub that can vouch hands the asker what it lacks. */
static void
test_hands_over (void **state)
{
  struct gossip_message message = { .kind = GOSSIP_SYNC_REQUEST };
  struct mesh_host from = { .boot = 1 };

  (void)state;
  setup ();
  message.body.sync_request.configuration = 5;
  handed_from = 0;
  hub_sync_handle_message (&sync, &from, &message, 1000);
  assert_int_equal (handed_from, 0);
  may_vouch = true;
  hub_sync_handle_message (&sync, &from, &message, 1100);
  assert_int_equal (handed_from, 5);
  may_vouch = false;
  endpoints_finish (&endpoints);
}

/*
 * A hub that restarted lists the entries as they are.  It cannot say which
 * heads of groups ceased to be heads before, so an asker that still knows them
 * so compares what is routed to.
 */
#define HEADS 150 /* more than one message holds */

static struct endpoint_report
head_report (void)
{
  struct endpoint_report report = { .state = ENDPOINT_GROUP_OPEN };

  snprintf (report.domain, sizeof report.domain, "d");
  return report;
}

static void
add_heads (struct endpoints *table, unsigned count, uint64_t revision)
{
  const struct endpoint_report report = head_report ();
  char id[16];

  for (unsigned i = 0; i < count; i++)
    {
      snprintf (id, sizeof id, "h%u", i);
      endpoints_report (table, id, &report, revision, 1);
    }
}

static const struct
{
  const char *guards;
  unsigned hub_heads;
  uint64_t own_revision; /* of the asker's entries */
  unsigned lost;         /* piece that does not arrive; 0 = none */
  unsigned left;         /* heads that the asker knows afterwards */
} comparisons[] = {
  { "heads that are none any more are kept", 149, 5, 0, 149 },
  { "all but one are kept", 1, 5, 0, 1 },
  { "heads are dropped", HEADS, 5, 0, HEADS },
  { "a part of the list counts as all", 149, 5, 1, HEADS },
  { "the other part does", 149, 5, 2, HEADS },
  { "what changed since the list is dropped", 149, 4201, 0, HEADS },
};

static void
test_compare (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof comparisons / sizeof comparisons[0]; i++)
    {
      struct gossip_message piece = { .kind = GOSSIP_ROUTED_RESPONSE };
      struct endpoints hub;

      setup ();
      endpoints_init (&hub, NULL, NULL);
      add_heads (&endpoints, HEADS, comparisons[i].own_revision);
      add_heads (&hub, comparisons[i].hub_heads, 5);
      for (uint32_t first = 0;
           routed_snapshot_fill_chunk (&hub, first, 4200, &piece.body.routed);
           first += GOSSIP_MAX_ROUTED)
        {
          piece.body.routed.nonce = ASKED_MS;
          if (first / GOSSIP_MAX_ROUTED + 1 != comparisons[i].lost)
            hub_sync_handle_message (&sync, NULL, &piece, ASKED_MS + 5);
        }
      endpoints_tick (&endpoints, ASKED_MS + 10);
      if (HASH_COUNT (endpoints.table) != comparisons[i].left)
        fail_msg ("%s: %u left", comparisons[i].guards,
                  HASH_COUNT (endpoints.table));
      endpoints_finish (&hub);
      hub_sync_finish (&sync);
      endpoints_finish (&endpoints);
    }
}

/* Pieces that fit no list are left out. */
static void
test_bad_pieces (void **state)
{
  static const struct
  {
    uint32_t total;
    uint32_t first;
    uint32_t count;
  } pieces[] = {
    { 0, 0, 0 },     { 1, 0, 0 },       { 200, 7, 120 },
    { 200, 0, 100 }, { 7681, 7680, 1 }, { 4000000000U, 0, 120 },
  };

  (void)state;
  for (size_t i = 0; i < sizeof pieces / sizeof pieces[0]; i++)
    {
      const struct gossip_routed piece = { .nonce = 1,
                                           .total = pieces[i].total,
                                           .first = pieces[i].first,
                                           .count = pieces[i].count };
      struct routed_snapshot routed = { .nonce = 0 };

      assert_false (routed_snapshot_receive_chunk (&routed, &piece));
      assert_null (routed.list);
      routed_snapshot_finish (&routed);
    }
}

/* A host that relies on its hub keeps what is routed to, and nothing else. */
static void
test_unrouted (void **state)
{
  static const struct
  {
    bool relies;
    bool known;
    unsigned left;
  } hosts[] = { { true, false, 0 }, { true, true, 0 }, { false, true, 1 } };

  (void)state;
  for (size_t i = 0; i < sizeof hosts / sizeof hosts[0]; i++)
    {
      struct gossip_message message = { .kind = GOSSIP_REPORT };
      struct gossip_report *report = &message.body.report;

      setup ();
      sync.relies_on_hub = hosts[i].relies;
      if (hosts[i].known)
        add_heads (&endpoints, 1, 5);
      snprintf (report->endpoint, sizeof report->endpoint, "h0");
      report->revision = 6;
      report->report = head_report ();
      report->report.rank = 1;
      hub_sync_handle_message (&sync, NULL, &message, 1000);
      endpoints_tick (&endpoints, 1010);
      assert_int_equal (HASH_COUNT (endpoints.table), hosts[i].left);
      /* It may be a head again. */
      report->revision = 7;
      report->report.rank = 0;
      hub_sync_handle_message (&sync, NULL, &message, 1020);
      assert_int_equal (HASH_COUNT (endpoints.table), 1);
      endpoints_finish (&endpoints);
    }
}

/* The hub is asked for its list once the entries have differed for a while. */
static void
test_asks_to_compare (void **state)
{
  static const struct
  {
    int64_t differs_ms;
    bool compares;
    enum gossip_kind kind; /* of the last message */
  } askers[] = {
    { 0, true, GOSSIP_SYNC_REQUEST },
    { ASKED_MS + 200, true, GOSSIP_SYNC_REQUEST },
    { ASKED_MS + 5, true, GOSSIP_ROUTED_REQUEST },
    { ASKED_MS + 5, false, GOSSIP_SYNC_REQUEST },
  };

  (void)state;
  for (size_t i = 0; i < sizeof askers / sizeof askers[0]; i++)
    {
      struct mesh_host *host = calloc (1, sizeof *host);

      assert_non_null (host);
      setup ();
      mesh.now_ms = ASKED_MS;
      snprintf (host->self.name, sizeof host->self.name, "hub");
      HASH_ADD (hh, mesh.hosts, self.name, strlen (host->self.name), host);
      sync.differs_since_ms = askers[i].differs_ms;
      hub_sync_tick (&sync, true, askers[i].compares, ASKED_MS + 300);
      assert_int_equal (mesh.message.kind, askers[i].kind);
      HASH_CLEAR (hh, mesh.hosts);
      free (host);
      endpoints_finish (&endpoints);
    }
}

/*
 * An age that does not fit the message.  Cut off, that of a hub that has proven
 * nothing yet would pass for a small one, and a key that was taken away
 * for one that still holds.
 */
static void
test_old_knowledge (void **state)
{
  static const struct
  {
    int64_t proof_ms;
    int64_t now_ms;
    uint32_t age_ms;
  } ages[] = {
    { 900, 1000, 100 },
    { 1000, 900, 0 },
    { NEVER, 500, GOSSIP_NEVER_MS },
    { 0, (1LL << 32) + 100, GOSSIP_NEVER_MS },
  };

  (void)state;
  may_vouch = true;
  for (size_t i = 0; i < sizeof ages / sizeof ages[0]; i++)
    {
      struct gossip_message message = { .kind = GOSSIP_SYNC_REQUEST };
      struct mesh_host from = { .boot = 1 };

      setup ();
      own_ms = ages[i].proof_ms;
      hub_sync_handle_message (&sync, &from, &message, ages[i].now_ms);
      assert_int_equal (mesh.message.kind, GOSSIP_SYNC_RESPONSE);
      assert_int_equal (mesh.message.body.sync_response.configuration_age_ms,
                        ages[i].age_ms);
      assert_int_equal (mesh.message.body.sync_response.entries_age_ms,
                        ages[i].age_ms);
      endpoints_finish (&endpoints);
    }
  may_vouch = false;
  own_ms = 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_answers),
    cmocka_unit_test (test_late_report),
    cmocka_unit_test (test_removal_is_told),
    cmocka_unit_test (test_behind),
    cmocka_unit_test (test_hands_over),
    cmocka_unit_test (test_compare),
    cmocka_unit_test (test_bad_pieces),
    cmocka_unit_test (test_unrouted),
    cmocka_unit_test (test_asks_to_compare),
    cmocka_unit_test (test_old_knowledge),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
