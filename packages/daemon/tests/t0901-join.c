#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "strike-broadcast.h"
#include "timeutil.h"

/*
 * Guards against an entry host that joins and takes requests before it knows
 * what its peers refuse.
 */

#define HOSTS 3 /* the last one joins */
#define JOINER (HOSTS - 1)
#define TRAITS 32
#define WAIT_LIMIT_MS 20000

struct test_host
{
  struct member_table members;
  struct peer_node peers;
  struct strikes strikes;
  struct strike_broadcast broadcast;
};

static struct
{
  struct event_base *base;
  struct test_host hosts[HOSTS];
} test;

static void
on_strike (void *context,
           const char *trait,
           const char *host,
           const char *boot_id,
           int64_t at_ms)
{
  struct test_host *self = context;
  const struct strike_report report = {
    .kind = strikes_get_kind (trait),
    .trait = trait,
    .crash = strikes_crash_id (host, boot_id),
    .at_ms = at_ms,
  };

  strikes_add_report (&self->strikes, &report, time_boot_ms ());
}

static void
on_told (void *context, const char *from)
{
  struct test_host *self = context;

  strike_broadcast_note_told (&self->broadcast, from);
}

static void
start_host (unsigned index, bool has_peers)
{
  struct test_host *self = &test.hosts[index];
  struct member_update info = { .address = "127.0.0.1", .incarnation = 1 };
  struct peer_hooks hooks = { .context = self,
                              .strike_reported = on_strike,
                              .strikes_told = on_told };
  struct peer_keys keys = { .count = 0 };

  snprintf (info.host, sizeof info.host, "e%u", index);
  snprintf (info.data_centre, sizeof info.data_centre, "dc1");
  peer_keys_add (&keys, "1:00112233445566778899aabbccddeeff");
  member_init (&self->members, &info, index, time_boot_ms ());
  if (index > 0)
    member_add_seed (&self->members, "127.0.0.1",
                     test.hosts[0].members.self.port);
  assert_int_equal (
      peer_init (&self->peers, test.base, &self->members, &hooks, &keys),
      RESULT_OK);
  strikes_init (&self->strikes, 1000);
  strike_broadcast_init (&self->broadcast, &self->peers, has_peers,
                         time_boot_ms ());
}

static void
finish_host (unsigned index)
{
  struct test_host *self = &test.hosts[index];

  strike_broadcast_finish (&self->broadcast);
  strikes_finish (&self->strikes);
  peer_finish (&self->peers);
  member_finish (&self->members);
}

static void
run_once (unsigned hosts, bool tells)
{
  struct timeval step = { .tv_usec = 10000 };

  for (unsigned i = 0; i < hosts; i++)
    {
      peer_tick (&test.hosts[i].peers, time_boot_ms ());
      if (tells)
        strike_broadcast_tick (&test.hosts[i].broadcast, &test.hosts[i].strikes,
                               time_boot_ms ());
    }
  event_base_loopexit (test.base, &step);
  event_base_dispatch (test.base);
}

/* Fingerprints, and last a part. */
static const char *
get_trait (unsigned index)
{
  static char trait[HASH_HEX_SIZE];

  snprintf (trait, sizeof trait, index < TRAITS ? "%032x" : "%x", index);
  return trait;
}

/* Adds crashes of requests and one of a part of their prompts. */
static void
add_strikes (struct test_host *self)
{
  for (unsigned i = 0; i <= TRAITS; i++)
    for (unsigned crash = 0; crash < STRIKES_TO_QUARANTINE_PART; crash++)
      {
        int64_t at_ms
            = time_boot_ms () - INT64_C (2) * (crash + 1) * STRIKES_SPACING_MS;
        const char *trait = get_trait (i);
        char boot_id[32];

        snprintf (boot_id, sizeof boot_id, "b%u-%u", i, crash);
        on_strike (self, trait, "engine-1", boot_id, at_ms);
        strike_broadcast_remember (&self->broadcast, trait, "engine-1", boot_id,
                                   at_ms);
      }
}

static void
test_joining_host_knows_strikes (void **state)
{
  const struct test_host *joiner = &test.hosts[JOINER];
  int64_t end_ms;

  (void)state;
  test.base = event_base_new ();
  start_host (0, false);
  start_host (1, true);
  assert_true (test.hosts[0].broadcast.has_joined);
  end_ms = time_boot_ms () + WAIT_LIMIT_MS;
  while (!test.hosts[1].broadcast.has_joined && time_boot_ms () < end_ms)
    run_once (JOINER, true);
  add_strikes (&test.hosts[0]);
  start_host (JOINER, true);
  assert_false (joiner->broadcast.has_joined);
  end_ms = time_boot_ms () + WAIT_LIMIT_MS;
  while (!joiner->broadcast.has_joined && time_boot_ms () < end_ms)
    run_once (HOSTS, true);
  assert_true (joiner->broadcast.has_joined);
  for (unsigned i = 0; i <= TRAITS; i++)
    {
      struct strikes_traits traits = { .part_count = i == TRAITS ? 1 : 0 };
      int64_t retry_after_ms;

      snprintf (i == TRAITS ? traits.parts[0] : traits.fingerprint,
                HASH_HEX_SIZE, "%s", get_trait (i));
      if (strikes_check_traits (&test.hosts[JOINER].strikes, &traits,
                                time_boot_ms (), &retry_after_ms)
          != RESULT_QUARANTINED)
        fail_msg ("trait %u of %d", i, TRAITS);
    }
  for (unsigned i = 0; i < HOSTS; i++)
    finish_host (i);
  event_base_free (test.base);
}

/* A peer that has just joined itself may know less than another. */
static void
test_all_peers_are_awaited (void **state)
{
  struct test_host *joiner = &test.hosts[JOINER];
  int64_t end_ms = time_boot_ms () + WAIT_LIMIT_MS;

  (void)state;
  test.base = event_base_new ();
  for (unsigned i = 0; i < HOSTS; i++)
    start_host (i, true);
  while (member_count_live (&joiner->members, NULL) < HOSTS
         && time_boot_ms () < end_ms)
    run_once (HOSTS, false);
  strike_broadcast_note_told (&joiner->broadcast, "e1");
  strike_broadcast_tick (&joiner->broadcast, &joiner->strikes,
                         joiner->broadcast.started_ms);
  assert_false (joiner->broadcast.has_joined);
  strike_broadcast_note_told (&joiner->broadcast, "e0");
  strike_broadcast_tick (&joiner->broadcast, &joiner->strikes,
                         joiner->broadcast.started_ms);
  assert_true (joiner->broadcast.has_joined);
  for (unsigned i = 0; i < HOSTS; i++)
    finish_host (i);
  event_base_free (test.base);
}

/* Peers that do not reply do not keep a host from serving for good. */
static void
test_silent_peers (void **state)
{
  struct strike_broadcast *broadcast = &test.hosts[0].broadcast;
  int64_t started_ms;

  (void)state;
  test.base = event_base_new ();
  start_host (0, true);
  started_ms = broadcast->started_ms;
  strike_broadcast_tick (broadcast, &test.hosts[0].strikes,
                         started_ms + STRIKE_BROADCAST_JOIN_TIMEOUT_MS - 1);
  assert_false (broadcast->has_joined);
  strike_broadcast_tick (broadcast, &test.hosts[0].strikes,
                         started_ms + STRIKE_BROADCAST_JOIN_TIMEOUT_MS);
  assert_true (broadcast->has_joined);
  finish_host (0);
  event_base_free (test.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_joining_host_knows_strikes),
    cmocka_unit_test (test_all_peers_are_awaited),
    cmocka_unit_test (test_silent_peers),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests_name ("join", tests, NULL, NULL);
}
