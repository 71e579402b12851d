#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "peer.h"
#include "timeutil.h"

/* Nodes of one data centre on the loopback interface, in one event loop. */
#define NODE_COUNT 3
#define WAIT_LIMIT_MS 20000

struct peer_test
{
  struct event_base *base;
  struct member_table members[NODE_COUNT];
  struct peer_node nodes[NODE_COUNT];
  unsigned health_count[NODE_COUNT];
  unsigned fresh_count[NODE_COUNT];
  unsigned strike_count[NODE_COUNT];
  unsigned answer_count[NODE_COUNT];
  unsigned told_count[NODE_COUNT];
  int64_t strike_at_ms; /* of the last strike that arrived */
  unsigned demand_count[NODE_COUNT];
  char object[NODE_COUNT][64];
  uint64_t fetched_number;
  char fetched[64];
  enum result fetch_result;
  bool is_fetch_done;
  bool is_broadcast_done;
};

struct hook_context
{
  struct peer_test *test;
  size_t index;
};

static struct peer_test test;
static struct hook_context hook_contexts[NODE_COUNT];
static const char *name_suffix = ""; /* of hosts and data centres */

static void
on_health (void *context,
           const char *host,
           const struct fleet_attestation *attested)
{
  struct hook_context *hook = context;

  if (strcmp (host, "engine-1") == 0 && attested->generation == 9
      && attested->state == FLEET_ENGINE_READY)
    hook->test->health_count[hook->index]++;
}

static void
on_fresh (void *context, const struct peer_fresh_entry *entry)
{
  struct hook_context *hook = context;

  if (entry->host == peer_host_hash ("engine-1") && entry->running == 3)
    hook->test->fresh_count[hook->index]++;
}

static void
on_demand (void *context, const char *from, const char *name, unsigned demand)
{
  struct hook_context *hook = context;

  if (strcmp (from, "e0") == 0 && strcmp (name, "model/m") == 0 && demand == 12)
    hook->test->demand_count[hook->index]++;
}

static void
on_strike (void *context,
           const char *fingerprint,
           const char *host,
           const char *boot_id,
           int64_t at_ms)
{
  struct hook_context *hook = context;

  (void)host;
  hook->test->strike_at_ms = at_ms;
  (void)boot_id;
  if (strcmp (fingerprint, "f1") == 0)
    hook->test->strike_count[hook->index]++;
}

static void
on_answer (void *context, const char *trait)
{
  struct hook_context *hook = context;

  if (strcmp (trait, "f1") == 0)
    hook->test->answer_count[hook->index]++;
}

static void
on_told (void *context, const char *from)
{
  struct hook_context *hook = context;

  if (strcmp (from, "e0") == 0)
    hook->test->told_count[hook->index]++;
}

static const char *
on_object (void *context, enum peer_object_id id, uint64_t *number)
{
  struct hook_context *hook = context;

  if (id != PEER_SHEET || hook->test->object[hook->index][0] == '\0')
    return NULL;
  *number = 42;
  return hook->test->object[hook->index];
}

static void
on_fetched (void *context,
            enum result result,
            uint64_t number,
            const char *text)
{
  struct peer_test *t = context;

  t->is_fetch_done = true;
  t->fetch_result = result;
  t->fetched_number = number;
  snprintf (t->fetched, sizeof t->fetched, "%s", text != NULL ? text : "");
}

static void
on_broadcast (void *context)
{
  ((struct peer_test *)context)->is_broadcast_done = true;
}

static void
start_node (struct peer_test *t, size_t i, const struct peer_keys *keys)
{
  struct member_update self = { .address = "127.0.0.1", .incarnation = 1 };
  struct peer_hooks hooks = { .health_reported = on_health,
                              .fresh_reported = on_fresh,
                              .demand_reported = on_demand,
                              .strike_reported = on_strike,
                              .answer_reported = on_answer,
                              .strikes_told = on_told,
                              .find_object_text = on_object };

  snprintf (self.host, sizeof self.host, "e%zu%s", i, name_suffix);
  snprintf (self.data_centre, sizeof self.data_centre, "dc1%s", name_suffix);
  hook_contexts[i] = (struct hook_context){ .test = t, .index = i };
  hooks.context = &hook_contexts[i];
  member_init (&t->members[i], &self, i, time_boot_ms ());
  if (i > 0)
    member_add_seed (&t->members[i], "127.0.0.1", t->members[0].self.port);
  assert_int_equal (
      peer_init (&t->nodes[i], t->base, &t->members[i], &hooks, keys),
      RESULT_OK);
}

static void
test_start (struct peer_test *t)
{
  struct peer_keys keys = { .count = 0 };

  memset (t, 0, sizeof *t);
  t->base = event_base_new ();
  assert_non_null (t->base);
  peer_keys_add (&keys, "1:00112233445566778899aabbccddeeff");
  for (size_t i = 0; i < NODE_COUNT; i++)
    start_node (t, i, &keys);
}

static void
test_finish (struct peer_test *t)
{
  for (size_t i = 0; i < NODE_COUNT; i++)
    {
      peer_finish (&t->nodes[i]);
      member_finish (&t->members[i]);
    }
  event_base_free (t->base);
}

/* Runs the event loop until the condition holds or WAIT_LIMIT_MS has passed. */
static bool
wait_for (struct peer_test *t, bool (*condition) (const struct peer_test *t))
{
  int64_t end = time_boot_ms () + WAIT_LIMIT_MS;

  while (!condition (t))
    {
      struct timeval step = { .tv_usec = 20000 };

      if (time_boot_ms () > end)
        return false;
      for (size_t i = 0; i < NODE_COUNT; i++)
        peer_tick (&t->nodes[i], time_boot_ms ());
      event_base_loopexit (t->base, &step);
      event_base_dispatch (t->base);
    }
  return true;
}

static bool
all_members_found (const struct peer_test *t)
{
  for (size_t i = 0; i < NODE_COUNT; i++)
    if (member_count_live (&t->members[i], NULL) != NODE_COUNT)
      return false;
  return true;
}

static bool
all_reports_received (const struct peer_test *t)
{
  return t->fresh_count[1] > 0 && t->fresh_count[2] > 0
         && t->health_count[1] > 0 && t->health_count[2] > 0
         && t->demand_count[1] > 0 && t->demand_count[2] > 0;
}

static bool
is_broadcast_done (const struct peer_test *t)
{
  return t->is_broadcast_done;
}

static bool
is_fetch_done (const struct peer_test *t)
{
  return t->is_fetch_done;
}

static bool
is_forgery_counted (const struct peer_test *t)
{
  return t->nodes[0].counts.bad_mac + t->nodes[0].counts.bad_message >= 2;
}

static bool
is_first_node_alone (const struct peer_test *t)
{
  return member_count_live (&t->members[0], NULL) == 1;
}

static bool
has_been_told (const struct peer_test *t)
{
  return t->told_count[2] > 0;
}

static bool
has_answer_arrived (const struct peer_test *t)
{
  return t->answer_count[1] > 0 && t->answer_count[2] > 0;
}

/* Every kind of message must reach the other nodes with its contents. */
static void
test_messages_reach_peers (void **state)
{
  struct fleet_attestation attested
      = { .generation = 9, .state = FLEET_ENGINE_READY };
  struct peer_health_entry health = { "engine-1", &attested };
  struct peer_demand_entry demand = { "model/m", 12 };
  struct peer_fresh_entry fresh
      = { .host = peer_host_hash ("engine-1"), .running = 3 };

  (void)state;
  test_start (&test);
  assert_true (wait_for (&test, all_members_found));
  attested.seen_ms = time_boot_ms ();
  peer_send_health (&test.nodes[0], &health, 1, time_boot_ms ());
  fresh.seen_ms = attested.seen_ms;
  peer_send_fresh (&test.nodes[0], &fresh, 1, time_boot_ms ());
  peer_send_demand (&test.nodes[0], &demand, 1);
  assert_true (wait_for (&test, all_reports_received));

  peer_send_strike (&test.nodes[0], "f1", "engine-1", "b1", time_boot_ms (),
                    on_broadcast, &test);
  assert_true (wait_for (&test, is_broadcast_done));
  assert_true (test.strike_count[1] > 0 && test.strike_count[2] > 0);
  assert_int_equal (test.answer_count[1] + test.answer_count[2], 0);
  peer_send_answer (&test.nodes[0], "f1", time_boot_ms ());
  assert_true (wait_for (&test, has_answer_arrived));

  /* A strike for one peer reaches no other, and keeps its age. */
  test.is_broadcast_done = false;
  test.strike_count[1] = 0;
  test.strike_count[2] = 0;
  peer_tell_strike (&test.nodes[0], "e2", "f1", "engine-1", "b2",
                    time_boot_ms () - WAIT_LIMIT_MS, time_boot_ms (),
                    on_broadcast, &test);
  assert_true (wait_for (&test, is_broadcast_done));
  assert_true (test.strike_count[1] == 0 && test.strike_count[2] > 0);
  assert_true (time_boot_ms () - test.strike_at_ms >= WAIT_LIMIT_MS);
  assert_int_equal (test.told_count[1] + test.told_count[2], 0);
  test.strike_count[2] = 0;
  peer_send_strikes_told (&test.nodes[0], "e2", time_boot_ms ());
  assert_true (wait_for (&test, has_been_told));
  assert_int_equal (test.told_count[1] + test.strike_count[2], 0);

  snprintf (test.object[0], sizeof test.object[0], "{\"number\":42}");
  peer_fetch_object (&test.nodes[1], "127.0.0.1", test.members[0].self.port,
                     PEER_SHEET, on_fetched, &test);
  assert_true (wait_for (&test, is_fetch_done));
  assert_int_equal (test.fetch_result, RESULT_OK);
  assert_int_equal (test.fetched_number, 42);
  assert_string_equal (test.fetched, "{\"number\":42}");

  test.is_fetch_done = false;
  peer_fetch_object (&test.nodes[1], "127.0.0.1", test.members[0].self.port,
                     PEER_CONTROL, on_fetched, &test);
  assert_true (wait_for (&test, is_fetch_done));
  assert_int_equal (test.fetch_result, RESULT_NOT_FOUND);
  test_finish (&test);
}

/*
 * Guards against forged datagrams that take effect: a message signed with
 * another key and random bytes must be counted and dropped, and the sender must
 * not become a member.
 */
static void
test_forged_messages_are_dropped (void **state)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct peer_keys other = { .count = 0 };
  struct peer_header header = {
    .is_call = true, .procedure = 1, .sender = "e9", .boot = 1, .sequence = 1
  };
  char buffer[512];
  size_t used;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  (void)state;
  test_start (&test);
  to.sin_port = htons (test.members[0].self.port);
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  peer_keys_add (&other, "1:ffffffffffffffffffffffffffffffff");
  assert_int_equal (peer_encode (&other, &header, peer_xdr_void, NULL, buffer,
                                 sizeof buffer, &used),
                    RESULT_OK);
  sendto (fd, buffer, used, 0, (struct sockaddr *)&to, sizeof to);
  sendto (fd, "rubbish", 7, 0, (struct sockaddr *)&to, sizeof to);
  assert_true (wait_for (&test, is_forgery_counted));
  assert_null (member_find (&test.members[0], "e9"));
  close (fd);
  test_finish (&test);
}

/*
 * Guards against a partition that outlasts its cause: the partitioned node must
 * see all others as dead, and all must find each other again afterwards.
 */
static void
test_partition_heals (void **state)
{
  (void)state;
  test_start (&test);
  assert_true (wait_for (&test, all_members_found));
  snprintf (test.nodes[0].partitioned_data_centre,
            sizeof test.nodes[0].partitioned_data_centre, "**");
  assert_true (wait_for (&test, is_first_node_alone));
  test.nodes[0].partitioned_data_centre[0] = '\0';
  assert_true (wait_for (&test, all_members_found));
  test_finish (&test);
}

static bool
is_long_health_received (const struct peer_test *t)
{
  return t->health_count[1] >= 8 && t->health_count[2] >= 8;
}

/*
 * Guards against messages too large for a datagram: names of the longest
 * permitted length must only reduce the number of entries per message.
 */
static void
test_long_names_fit_in_datagrams (void **state)
{
  struct fleet_attestation attested
      = { .generation = 9, .state = FLEET_ENGINE_READY };
  struct peer_health_entry health[8];
  char text[FLEET_NAME_SIZE];

  (void)state;
  memset (text, 'n', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  name_suffix = text + 4;
  test_start (&test);
  assert_true (wait_for (&test, all_members_found));
  memcpy (attested.boot_id, text, sizeof text);
  memcpy (attested.group, text, sizeof text);
  memcpy (attested.model, text, sizeof text);
  memcpy (attested.version, text, sizeof text);
  memcpy (attested.role, text, sizeof text);
  memset (attested.adapters, 'a', sizeof attested.adapters - 1);
  attested.seen_ms = time_boot_ms ();
  for (size_t i = 0; i < 8; i++)
    health[i] = (struct peer_health_entry){ "engine-1", &attested };
  peer_send_health (&test.nodes[0], health, 8, time_boot_ms ());
  assert_true (wait_for (&test, is_long_health_received));
  assert_int_equal (test.nodes[0].counts.too_large, 0);
  test_finish (&test);
  name_suffix = "";
}

static void
drop_line (void *context, enum log_level level, const char *line)
{
  (void)context;
  (void)level;
  (void)line;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_messages_reach_peers),
    cmocka_unit_test (test_forged_messages_are_dropped),
    cmocka_unit_test (test_partition_heals),
    cmocka_unit_test (test_long_names_fit_in_datagrams),
  };

  log_set_sink (drop_line, NULL);
  return cmocka_run_group_tests_name ("peer", tests, NULL, NULL);
}
