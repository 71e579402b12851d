#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mesh-fixture.h"
#include "strike-sync.h"

/*
 * Entry hosts of two data centres over loopback, on one virtual clock.  What
 * one host learns of crashes has to reach the others in time, also after
 * restarts and cuts between the data centres.
 */

#define HOSTS_PER_DATA_CENTRE 5
#define HOSTS (2 * HOSTS_PER_DATA_CENTRE)
#define STEP_MS 5
#define START_MS 100000
#define PORT 17341
/* The users' shortest time until which hosts have to know. */
#define KNOWN_WITHIN_MS 3000
/* A host repeats what it knows to another host at most once in this time. */
#define REPEAT_INTERVAL_MS 1000

struct host
{
  bool is_running;
  struct mesh mesh;
  struct strikes strikes;
  struct strike_sync sync;
  unsigned received[HOSTS]; /* messages of strikes, by their sender */
};

static struct event_base *base;
static struct records records;
static struct host hosts[HOSTS];

static void
ignore_loads (void *context, const struct gossip_load *list, unsigned count)
{
  (void)context;
  (void)list;
  (void)count;
}

static void
on_message (void *context,
            struct mesh_host *from,
            const struct gossip_message *message)
{
  struct host *host = context;

  if (message->kind != GOSSIP_STRIKES)
    return;
  for (unsigned i = 0; i < HOSTS; i++)
    if (hosts[i].is_running
        && strcmp (hosts[i].mesh.self.name, from->info.name) == 0)
      host->received[i]++;
  strike_sync_handle_message (&host->sync, from, &message->body.strikes,
                              clock_ms);
}

static void
on_host_started (void *context)
{
  struct host *host = context;

  strike_sync_host_started (&host->sync);
}

static void
ignore_lease (void *context, const struct lease_value *value, uint64_t version)
{
  (void)context;
  (void)value;
  (void)version;
}

static void
collect_no_loads (void *context, struct mesh_loads *own)
{
  (void)context;
  own->count = 0;
}

static void
start_host (unsigned index)
{
  struct host *host = &hosts[index];
  struct gossip_host self = { .port = PORT, .capacity = 100 };
  const struct mesh_hooks hooks
      = { host, ignore_loads, on_message, on_host_started, ignore_lease };

  snprintf (self.name, sizeof self.name, "host-%02u", index);
  snprintf (self.data_centre, sizeof self.data_centre, "dc-%u",
            index / HOSTS_PER_DATA_CENTRE);
  snprintf (self.address, sizeof self.address, "127.0.78.%u", index + 1);
  assert_int_equal (mesh_init (&host->mesh, base, &records, &hooks, &self,
                               (uint64_t)clock_ms + index),
                    RESULT_OK);
  mesh_add_seed (&host->mesh, "127.0.78.2:1");
  mesh_add_seed (&host->mesh, "127.0.78.7:1");
  strikes_init (&host->strikes, 100);
  strike_sync_init (&host->sync, &host->mesh, &host->strikes);
  host->is_running = true;
}

static void
stop_host (unsigned index)
{
  hosts[index].is_running = false;
  mesh_finish (&hosts[index].mesh);
  strikes_finish (&hosts[index].strikes);
}

static void
run_hosts (int64_t duration_ms)
{
  int64_t until_ms = clock_ms + duration_ms;

  for (; clock_ms < until_ms; clock_ms += STEP_MS)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      records_tick (&records, clock_ms);
      for (unsigned i = 0; i < HOSTS; i++)
        {
          struct host *host = &hosts[i];

          if (!host->is_running)
            continue;
          mesh_tick (&host->mesh, true, collect_no_loads, NULL, clock_ms);
          strike_sync_tick (&host->sync, clock_ms);
          strikes_tick (&host->strikes, clock_ms);
        }
    }
}

/* Hosts of different data centres send each other nothing while cut off. */
static void
set_cut (bool is_cut)
{
  for (unsigned i = 0; i < HOSTS; i++)
    for (struct mesh_host *other = hosts[i].mesh.hosts; other != NULL;
         other = other->hh.next)
      if (strcmp (other->info.data_centre, hosts[i].mesh.self.data_centre) != 0)
        other->socket_address.sin_port = htons (is_cut ? 0 : PORT);
}

static struct strikes_traits
make_traits (const char *part)
{
  struct strikes_traits traits = { .part_count = 1 };

  snprintf (traits.parts[0], sizeof traits.parts[0], "%s", part);
  return traits;
}

static void
crash (unsigned index, const char *part, uint64_t id)
{
  const struct strikes_traits traits = make_traits (part);

  strikes_add_crash (&hosts[index].strikes, &traits, id, clock_ms, clock_ms);
}

static void
answer (unsigned index, const char *part)
{
  const struct strikes_traits traits = make_traits (part);

  strikes_note_answer (&hosts[index].strikes, &traits, clock_ms);
}

static unsigned
count_refusing_hosts (const char *part)
{
  const struct strikes_traits traits = make_traits (part);
  unsigned count = 0;
  int64_t retry_after_ms;

  for (unsigned i = 0; i < HOSTS; i++)
    if (hosts[i].is_running
        && strikes_check_traits (&hosts[i].strikes, &traits, clock_ms,
                                 &retry_after_ms)
               == RESULT_QUARANTINED)
      count++;
  return count;
}

static int
setup (void **state)
{
  (void)state;
  clock_ms = START_MS;
  base = event_base_new ();
  records_init (&records, base, &unreachable_store, "127.0.78.200", 1);
  for (unsigned i = 0; i < HOSTS; i++)
    start_host (i);
  run_hosts (5000);
  return 0;
}

static int
teardown (void **state)
{
  (void)state;
  for (unsigned i = 0; i < HOSTS; i++)
    if (hosts[i].is_running)
      stop_host (i);
  records_finish (&records);
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
  return 0;
}

/* Three crashes, each seen by another host, some in another data centre. */
static void
crash_three_times (const char *part)
{
  crash (3, part, 1);
  run_hosts (500);
  crash (8, part, 2);
  run_hosts (500);
  assert_int_equal (count_refusing_hosts (part), 0);
  crash (4, part, 3);
}

static void
test_crashes_of_all_hosts_count (void **state)
{
  (void)state;
  crash_three_times ("9");
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("9"), HOSTS);
}

static void
test_restarted_host_learns (void **state)
{
  static const unsigned restarted[] = { 9, 0, 5 }; /* two are first hubs */

  (void)state;
  crash_three_times ("9");
  run_hosts (KNOWN_WITHIN_MS);
  for (size_t i = 0; i < sizeof restarted / sizeof restarted[0]; i++)
    {
      stop_host (restarted[i]);
      run_hosts (700);
      start_host (restarted[i]);
      run_hosts (KNOWN_WITHIN_MS);
      assert_int_equal (count_refusing_hosts ("9"), HOSTS);
    }
}

/* A host must not take down an endpoint just because it has restarted. */
static void
test_restarted_host_learns_at_once (void **state)
{
  (void)state;
  crash_three_times ("9");
  run_hosts (KNOWN_WITHIN_MS);
  for (unsigned i = 0; i < 5; i++)
    {
      stop_host (4);
      run_hosts (700 + i * 130);
      start_host (4);
      while (!mesh_is_settled (&hosts[4].mesh))
        run_hosts (STEP_MS);
      assert_int_equal (count_refusing_hosts ("9"), HOSTS);
    }
}

static void
test_both_hubs_restart (void **state)
{
  (void)state;
  crash_three_times ("9");
  run_hosts (KNOWN_WITHIN_MS);
  stop_host (0);
  stop_host (1);
  run_hosts (300);
  start_host (0);
  start_host (1);
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("9"), HOSTS);
}

static void
test_cut_data_centre_learns_afterwards (void **state)
{
  (void)state;
  set_cut (true);
  crash (3, "9", 1);
  run_hosts (500);
  crash (2, "9", 2);
  run_hosts (500);
  crash (4, "9", 3);
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("9"), HOSTS_PER_DATA_CENTRE);
  set_cut (false);
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("9"), HOSTS);
}

static void
test_answer_elsewhere_ends_quarantine (void **state)
{
  (void)state;
  crash_three_times ("1");
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("1"), HOSTS);
  answer (7, "1");
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("1"), 0);
  /* Later repetitions of the strikes do not restore it. */
  run_hosts (5000);
  assert_int_equal (count_refusing_hosts ("1"), 0);
}

/* A part that one host has answered before needs more crashes everywhere. */
static void
test_answer_before_the_crashes_counts (void **state)
{
  (void)state;
  answer (7, "1");
  run_hosts (1000);
  crash_three_times ("1");
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("1"), 0);
}

static unsigned
find_most_messages (void)
{
  unsigned most = 0;

  for (unsigned i = 0; i < HOSTS; i++)
    for (unsigned j = 0; j < HOSTS; j++)
      if (hosts[i].received[j] > most)
        most = hosts[i].received[j];
  return most;
}

/* Known strikes are repeated, but without end they must cost little. */
static void
test_repeats_are_rare (void **state)
{
  const unsigned intervals = 10;

  (void)state;
  crash_three_times ("9");
  run_hosts (KNOWN_WITHIN_MS);
  for (unsigned i = 0; i < HOSTS; i++)
    memset (hosts[i].received, 0, sizeof hosts[i].received);
  run_hosts ((int64_t)intervals * REPEAT_INTERVAL_MS);
  assert_in_range (find_most_messages (), intervals / 2, intervals + 1);
}

/* All traits of a burst of crashes arrive, those of the burst's end included.
 */
static void
test_burst_of_crashes (void **state)
{
  (void)state;
  for (unsigned i = 0; i < 60; i++)
    {
      char part[8];

      snprintf (part, sizeof part, "b%u", i);
      crash (3 + i % 2, part, 100 + i);
    }
  crash_three_times ("9");
  run_hosts (KNOWN_WITHIN_MS);
  assert_int_equal (count_refusing_hosts ("9"), HOSTS);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_crashes_of_all_hosts_count, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_restarted_host_learns, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_restarted_host_learns_at_once, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_both_hubs_restart, setup, teardown),
    cmocka_unit_test_setup_teardown (test_cut_data_centre_learns_afterwards,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (test_answer_elsewhere_ends_quarantine,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (test_answer_before_the_crashes_counts,
                                     setup, teardown),
    cmocka_unit_test_setup_teardown (test_repeats_are_rare, setup, teardown),
    cmocka_unit_test_setup_teardown (test_burst_of_crashes, setup, teardown),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
