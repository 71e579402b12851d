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
 * A loop of members in virtual time.  Messages arrive at once, unless the
 * receiver is stopped or the link is cut.
 */
#define LIMIT 24
#define TICK_MS 50

struct loop
{
  struct member_table tables[LIMIT];
  bool stopped[LIMIT];
  int side[LIMIT]; /* links between different sides are cut */
  size_t count;
  int64_t now_ms;
};

static struct loop loop;

static void
start_member (struct loop *l, size_t i, uint64_t incarnation)
{
  struct member_update self
      = { .port = (uint16_t)(1000 + i), .incarnation = incarnation };

  snprintf (self.host, sizeof self.host, "e%zu", i);
  snprintf (self.data_centre, sizeof self.data_centre, "dc%zu", i % 3);
  snprintf (self.address, sizeof self.address, "127.0.0.1");
  member_init (&l->tables[i], &self, 100 + i, l->now_ms);
  member_add_seed (&l->tables[i], "127.0.0.1", 1000);
  member_add_seed (&l->tables[i], "127.0.0.1", 1001);
}

static void
loop_start (struct loop *l, size_t count)
{
  memset (l, 0, sizeof *l);
  l->count = count;
  l->now_ms = 1000000;
  for (size_t i = 0; i < count; i++)
    start_member (l, i, 1);
}

static void
loop_finish (struct loop *l)
{
  for (size_t i = 0; i < l->count; i++)
    member_finish (&l->tables[i]);
}

static void
deliver (struct loop *l, size_t from, size_t to)
{
  struct member_update updates[MEMBER_UPDATES_LIMIT];
  struct member_table *sender = &l->tables[from];
  size_t count = member_collect (sender, l->tables[to].self.host, updates);

  member_on_message (&l->tables[to], &sender->self, &sender->versions, updates,
                     count, l->now_ms);
}

static bool
is_reachable (const struct loop *l, size_t from, size_t to)
{
  return to < l->count && !l->stopped[from] && !l->stopped[to]
         && l->side[from] == l->side[to];
}

static bool
exchange (struct loop *l, size_t from, size_t to)
{
  if (!is_reachable (l, from, to))
    return false;
  deliver (l, from, to);
  deliver (l, to, from);
  return true;
}

static void
perform (struct loop *l, size_t from, const struct member_action *action)
{
  size_t to = (size_t)action->port - 1000;

  if (!exchange (l, from, to))
    return;
  if (action->kind == MEMBER_SEND_PING
      || exchange (l, to, (size_t)action->target.port - 1000))
    member_on_ack (&l->tables[from], action->probe);
}

static void
run (struct loop *l, int64_t ms)
{
  for (int64_t end = l->now_ms + ms; l->now_ms < end; l->now_ms += TICK_MS)
    for (size_t i = 0; i < l->count; i++)
      {
        struct member_action *action;

        if (l->stopped[i])
          continue;
        member_tick (&l->tables[i], l->now_ms);
        while ((action = member_next_action (&l->tables[i])) != NULL)
          {
            perform (l, i, action);
            member_action_free (action);
          }
      }
}

static void
assert_live (const struct loop *l, size_t i, size_t expected)
{
  assert_int_equal (member_count_live (&l->tables[i], NULL), expected);
}

static void
test_all_find_each_other (void **state)
{
  (void)state;
  loop_start (&loop, LIMIT);
  run (&loop, 20000);
  for (size_t i = 0; i < LIMIT; i++)
    assert_live (&loop, i, LIMIT);
  loop_finish (&loop);
}

/* A dead entry host must not keep its share and its probes for long. */
static void
test_death_is_seen (void **state)
{
  (void)state;
  loop_start (&loop, 12);
  run (&loop, 20000);
  loop.stopped[5] = true;
  run (&loop, 10000);
  for (size_t i = 0; i < 12; i++)
    if (i != 5)
      {
        assert_live (&loop, i, 11);
        assert_int_equal (member_find (&loop.tables[i], "e5")->info.state,
                          MEMBER_DEAD);
      }
  loop_finish (&loop);
}

/* A paused entry host must come back, and must not declare others dead. */
static void
test_pause_is_not_for_good (void **state)
{
  (void)state;
  loop_start (&loop, 12);
  run (&loop, 20000);
  loop.stopped[5] = true;
  run (&loop, 30000);
  loop.stopped[5] = false;
  member_tick (&loop.tables[5], loop.now_ms);
  assert_live (&loop, 5, 12);
  run (&loop, 15000);
  for (size_t i = 0; i < 12; i++)
    assert_live (&loop, i, 12);
  assert_true (loop.tables[5].refutations > 0);
  loop_finish (&loop);
}

/* Data centres that were cut off from each other must find back alone. */
static void
test_partition_heals (void **state)
{
  (void)state;
  loop_start (&loop, 12);
  run (&loop, 20000);
  for (size_t i = 0; i < 12; i += 3)
    loop.side[i] = 1;
  run (&loop, 60000);
  assert_live (&loop, 0, 4);
  assert_live (&loop, 1, 8);
  memset (loop.side, 0, sizeof loop.side);
  run (&loop, 40000);
  for (size_t i = 0; i < 12; i++)
    assert_live (&loop, i, 12);
  loop_finish (&loop);
}

/* A replaced process with the same name must win over the old one's death. */
static void
test_restart_with_higher_incarnation (void **state)
{
  (void)state;
  loop_start (&loop, 6);
  run (&loop, 20000);
  loop.stopped[2] = true;
  run (&loop, 10000);
  member_finish (&loop.tables[2]);
  start_member (&loop, 2, 50);
  loop.stopped[2] = false;
  run (&loop, 15000);
  for (size_t i = 0; i < 6; i++)
    assert_live (&loop, i, 6);
  loop_finish (&loop);
}

static void
test_leave_is_told (void **state)
{
  (void)state;
  loop_start (&loop, 6);
  run (&loop, 20000);
  member_leave (&loop.tables[4]);
  run (&loop, 4000);
  loop.stopped[4] = true;
  run (&loop, 1000);
  for (size_t i = 0; i < 6; i++)
    if (i != 4)
      assert_int_equal (member_find (&loop.tables[i], "e4")->info.state,
                        MEMBER_LEFT);
  loop_finish (&loop);
}

/* Two members must not both think that they own the same work. */
static void
test_ranks_agree (void **state)
{
  (void)state;
  loop_start (&loop, 12);
  run (&loop, 20000);
  for (int key = 0; key < 50; key++)
    {
      char name[16];
      unsigned seen = 0;

      snprintf (name, sizeof name, "key-%d", key);
      for (size_t i = 0; i < 12; i += 3)
        {
          char host[8];
          size_t rank;

          snprintf (host, sizeof host, "e%zu", i);
          rank = member_rank (&loop.tables[i], "dc0", host, name);
          assert_true (rank < 4);
          assert_int_equal (rank,
                            member_rank (&loop.tables[1], "dc0", host, name));
          seen |= 1U << rank;
        }
      assert_int_equal (seen, 15);
    }
  assert_true (member_rank (&loop.tables[0], "dc0", "e1", "k") == SIZE_MAX);
  loop_finish (&loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_find_each_other),
    cmocka_unit_test (test_death_is_seen),
    cmocka_unit_test (test_pause_is_not_for_good),
    cmocka_unit_test (test_partition_heals),
    cmocka_unit_test (test_restart_with_higher_incarnation),
    cmocka_unit_test (test_leave_is_told),
    cmocka_unit_test (test_ranks_agree),
  };

  return cmocka_run_group_tests_name ("member", tests, NULL, NULL);
}
