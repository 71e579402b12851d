#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "vouch.h"

/* What a host makes of its hub's answers, without a network. */

#define ASKED_MS 10000
#define NEVER (INT64_MIN / 2)

static struct mesh mesh;
static struct vouch vouch;
static struct endpoints endpoints;

static int64_t
configuration (void *context)
{
  (void)context;
  return 7;
}

static bool may_vouch;
static int64_t handed_from; /* configuration that an asker has */

static bool
own (void *context, struct vouch_knowledge *knowledge)
{
  (void)context;
  *knowledge = (struct vouch_knowledge){ .revision = 9 };
  return may_vouch;
}

static bool
hand_over (void *context, struct mesh_host *to, int64_t from)
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
  vouch_bury (&vouch, endpoint->id, endpoint->deleted_revision);
}

static void
setup (void)
{
  const struct vouch_hooks hooks = { NULL, configuration, own, hand_over };

  memset (&mesh, 0, sizeof mesh);
  mesh.socket = -1;
  endpoints_init (&endpoints, on_removed, NULL);
  vouch_init (&vouch, &mesh, &endpoints, &hooks);
  vouch.asked_ms = ASKED_MS;
  vouch.ask_ms = ASKED_MS + 300;
}

struct answer_case
{
  const char *guards;
  struct gossip_vouch said;
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
      struct gossip_message message = { .kind = GOSSIP_VOUCH };

      setup ();
      message.body.vouch = c->said;
      vouch_take (&vouch, NULL, &message, c->heard_ms);
      if (vouch.proof_ms != c->proof_ms || vouch.entries_ms != c->entries_ms
          || vouch.newest != c->newest || vouch.choice != c->choice
          || vouch.hub_blind != (c->newest == 0))
        fail_msg ("%s: proof %lld, entries %lld, newest %lld, choice %u",
                  c->guards, (long long)vouch.proof_ms,
                  (long long)vouch.entries_ms, (long long)vouch.newest,
                  vouch.choice);
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
  vouch_take (&vouch, NULL, &message, 1000);
  assert_non_null (endpoints_find (&endpoints, "e"));
  message.kind = GOSSIP_DELETED;
  report->revision = 9;
  vouch_take (&vouch, NULL, &message, 1100);
  endpoints_tick (&endpoints, 1100);
  assert_null (endpoints_find (&endpoints, "e"));
  message.kind = GOSSIP_REPORT;
  report->revision = 8;
  vouch_take (&vouch, NULL, &message, 1200);
  assert_null (endpoints_find (&endpoints, "e"));
  /* The same id may come back later. */
  report->revision = 10;
  vouch_take (&vouch, NULL, &message, 1300);
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
  struct gossip_message message = { .kind = GOSSIP_ASK };
  struct mesh_host from = { .boot = 1 };

  (void)state;
  setup ();
  may_vouch = true;
  vouch_bury (&vouch, "e", 9);
  message.body.ask.revision = 9;
  vouch_take (&vouch, &from, &message, 1000);
  /* The removal and the answer. */
  assert_int_equal (mesh.sequence, 2);
  message.body.ask.revision = 10;
  vouch_take (&vouch, &from, &message, 1100);
  assert_int_equal (mesh.sequence, 3);
  may_vouch = false;
  endpoints_finish (&endpoints);
}

/* How a host that learns of a newer configuration goes on. */
struct behind_case
{
  const char *guards;
  int64_t configuration; /* the hub's */
  bool patched;
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
      struct gossip_message message = { .kind = GOSSIP_VOUCH };

      setup ();
      message.body.vouch = (struct gossip_vouch){
        .nonce = ASKED_MS,
        .configuration = c->configuration,
        .revision = 5,
        .patched = c->patched,
      };
      vouch_take (&vouch, NULL, &message, 10005);
      if (vouch.behind_ms != c->behind_ms || vouch.ask_ms != c->ask_ms
          || vouch.patched != c->patched)
        fail_msg ("%s: behind %lld, ask %lld", c->guards,
                  (long long)vouch.behind_ms, (long long)vouch.ask_ms);
      endpoints_finish (&endpoints);
    }
}

/* A hub that can vouch hands the asker what it lacks. */
static void
test_hands_over (void **state)
{
  struct gossip_message message = { .kind = GOSSIP_ASK };
  struct mesh_host from = { .boot = 1 };

  (void)state;
  setup ();
  message.body.ask.configuration = 5;
  handed_from = 0;
  vouch_take (&vouch, &from, &message, 1000);
  assert_int_equal (handed_from, 0);
  may_vouch = true;
  vouch_take (&vouch, &from, &message, 1100);
  assert_int_equal (handed_from, 5);
  may_vouch = false;
  endpoints_finish (&endpoints);
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
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
