#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member.h"

/*
 * Simulates members in virtual time.  Messages arrive at once, unless the
 * sender or receiver is stopped or the link between them is partitioned.
 */
#define MEMBER_COUNT 24
#define TICK_MS 50

struct simulation
{
  struct member_table tables[MEMBER_COUNT];
  bool stopped[MEMBER_COUNT];
  int partition[MEMBER_COUNT]; /* members reach only their own partition */
  size_t count;
  int64_t now_ms;
};

static struct simulation simulation;

static void
start_member (struct simulation *sim, size_t i, uint64_t incarnation)
{
  struct member_update self
      = { .port = (uint16_t)(1000 + i), .incarnation = incarnation };

  snprintf (self.host, sizeof self.host, "e%zu", i);
  snprintf (self.data_centre, sizeof self.data_centre, "dc%zu", i % 3);
  snprintf (self.address, sizeof self.address, "127.0.0.1");
  member_init (&sim->tables[i], &self, 100 + i, sim->now_ms);
  member_add_seed (&sim->tables[i], "127.0.0.1", 1000);
  member_add_seed (&sim->tables[i], "127.0.0.1", 1001);
}

static void
simulation_start (struct simulation *sim, size_t count)
{
  memset (sim, 0, sizeof *sim);
  sim->count = count;
  sim->now_ms = 1000000;
  for (size_t i = 0; i < count; i++)
    start_member (sim, i, 1);
}

static void
simulation_finish (struct simulation *sim)
{
  for (size_t i = 0; i < sim->count; i++)
    member_finish (&sim->tables[i]);
}

static void
deliver_message (struct simulation *sim, size_t from, size_t to)
{
  struct member_update updates[MEMBER_UPDATES_LIMIT];
  struct member_table *sender = &sim->tables[from];
  size_t count
      = member_collect_updates (sender, sim->tables[to].self.host, updates);

  member_on_message (&sim->tables[to], &sender->self, &sender->versions,
                     updates, count, sim->now_ms);
}

static bool
is_reachable (const struct simulation *sim, size_t from, size_t to)
{
  return to < sim->count && !sim->stopped[from] && !sim->stopped[to]
         && sim->partition[from] == sim->partition[to];
}

static bool
exchange_messages (struct simulation *sim, size_t from, size_t to)
{
  if (!is_reachable (sim, from, to))
    return false;
  deliver_message (sim, from, to);
  deliver_message (sim, to, from);
  return true;
}

static void
perform_action (struct simulation *sim,
                size_t from,
                const struct member_action *action)
{
  size_t to = (size_t)action->port - 1000;

  if (!exchange_messages (sim, from, to))
    return;
  if (action->kind == MEMBER_SEND_PING
      || exchange_messages (sim, to, (size_t)action->target.port - 1000))
    member_on_ack (&sim->tables[from], action->probe_id);
}

static void
run_simulation (struct simulation *sim, int64_t ms)
{
  for (int64_t end = sim->now_ms + ms; sim->now_ms < end;
       sim->now_ms += TICK_MS)
    for (size_t i = 0; i < sim->count; i++)
      {
        struct member_action *action;

        if (sim->stopped[i])
          continue;
        member_tick (&sim->tables[i], sim->now_ms);
        while ((action = member_next_action (&sim->tables[i])) != NULL)
          {
            perform_action (sim, i, action);
            member_action_free (action);
          }
      }
}

static void
assert_live_count (const struct simulation *sim, size_t i, size_t expected)
{
  assert_int_equal (member_count_live (&sim->tables[i], NULL), expected);
}

static void
test_members_discover_each_other (void **state)
{
  (void)state;
  simulation_start (&simulation, MEMBER_COUNT);
  run_simulation (&simulation, 20000);
  for (size_t i = 0; i < MEMBER_COUNT; i++)
    assert_live_count (&simulation, i, MEMBER_COUNT);
  simulation_finish (&simulation);
}

/*
 * Guards against a failed entry host that keeps its share and its probes: all
 * other members must mark it dead within 10 s.
 */
static void
test_failure_is_detected (void **state)
{
  (void)state;
  simulation_start (&simulation, 12);
  run_simulation (&simulation, 20000);
  simulation.stopped[5] = true;
  run_simulation (&simulation, 10000);
  for (size_t i = 0; i < 12; i++)
    if (i != 5)
      {
        assert_live_count (&simulation, i, 11);
        assert_int_equal (member_find (&simulation.tables[i], "e5")->info.state,
                          MEMBER_DEAD);
      }
  simulation_finish (&simulation);
}

/*
 * Guards against a pause of an entry host with lasting effect: after it, the
 * host must not declare others dead, and must refute its own death.
 */
static void
test_recovery_after_pause (void **state)
{
  (void)state;
  simulation_start (&simulation, 12);
  run_simulation (&simulation, 20000);
  simulation.stopped[5] = true;
  run_simulation (&simulation, 30000);
  simulation.stopped[5] = false;
  member_tick (&simulation.tables[5], simulation.now_ms);
  assert_live_count (&simulation, 5, 12);
  run_simulation (&simulation, 15000);
  for (size_t i = 0; i < 12; i++)
    assert_live_count (&simulation, i, 12);
  assert_true (simulation.tables[5].refutations > 0);
  simulation_finish (&simulation);
}

/*
 * Guards against a partition between data centres that outlasts its cause: the
 * members must find each other again without an operator.
 */
static void
test_partition_heals (void **state)
{
  (void)state;
  simulation_start (&simulation, 12);
  run_simulation (&simulation, 20000);
  for (size_t i = 0; i < 12; i += 3)
    simulation.partition[i] = 1;
  run_simulation (&simulation, 60000);
  assert_live_count (&simulation, 0, 4);
  assert_live_count (&simulation, 1, 8);
  memset (simulation.partition, 0, sizeof simulation.partition);
  run_simulation (&simulation, 40000);
  for (size_t i = 0; i < 12; i++)
    assert_live_count (&simulation, i, 12);
  simulation_finish (&simulation);
}

/*
 * Guards against a restarted process that stays dead because its predecessor
 * of the same name died: its higher incarnation must win.
 */
static void
test_restart_with_higher_incarnation (void **state)
{
  (void)state;
  simulation_start (&simulation, 6);
  run_simulation (&simulation, 20000);
  simulation.stopped[2] = true;
  run_simulation (&simulation, 10000);
  member_finish (&simulation.tables[2]);
  start_member (&simulation, 2, 50);
  simulation.stopped[2] = false;
  run_simulation (&simulation, 15000);
  for (size_t i = 0; i < 6; i++)
    assert_live_count (&simulation, i, 6);
  simulation_finish (&simulation);
}

/* A member that stops must be known to have left, not be taken for dead. */
static void
test_leave_is_announced (void **state)
{
  (void)state;
  simulation_start (&simulation, 6);
  run_simulation (&simulation, 20000);
  member_leave (&simulation.tables[4]);
  run_simulation (&simulation, 4000);
  simulation.stopped[4] = true;
  run_simulation (&simulation, 1000);
  for (size_t i = 0; i < 6; i++)
    if (i != 4)
      assert_int_equal (member_find (&simulation.tables[i], "e4")->info.state,
                        MEMBER_LEFT);
  simulation_finish (&simulation);
}

/*
 * Guards against two members that both own the same work: all members must
 * compute the same rank of a host for a key.
 */
static void
test_members_compute_same_ranks (void **state)
{
  (void)state;
  simulation_start (&simulation, 12);
  run_simulation (&simulation, 20000);
  for (int key = 0; key < 50; key++)
    {
      char name[16];
      unsigned ranks_seen = 0;

      snprintf (name, sizeof name, "key-%d", key);
      for (size_t i = 0; i < 12; i += 3)
        {
          char host[8];
          size_t rank;

          snprintf (host, sizeof host, "e%zu", i);
          rank = member_rank (&simulation.tables[i], "dc0", host, name);
          assert_true (rank < 4);
          assert_int_equal (
              rank, member_rank (&simulation.tables[1], "dc0", host, name));
          ranks_seen |= 1U << rank;
        }
      assert_int_equal (ranks_seen, 15);
    }
  assert_true (member_rank (&simulation.tables[0], "dc0", "e1", "k")
               == SIZE_MAX);
  simulation_finish (&simulation);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_members_discover_each_other),
    cmocka_unit_test (test_failure_is_detected),
    cmocka_unit_test (test_recovery_after_pause),
    cmocka_unit_test (test_partition_heals),
    cmocka_unit_test (test_restart_with_higher_incarnation),
    cmocka_unit_test (test_leave_is_announced),
    cmocka_unit_test (test_members_compute_same_ranks),
  };

  return cmocka_run_group_tests_name ("member", tests, NULL, NULL);
}
