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
#include "mesh.h"

/*
 * Entry hosts of one data centre over loopback.  Their first hub is killed, and
 * is restarted or replaced; meanwhile no host may be left without loads, and
 * few hosts may act as readers.
 */

#define HOSTS 12
#define REPLACEMENT HOSTS /* index of the host that replaces the first hub */
#define STEP_MS 5
#define START_MS 100000
#define PORT 17340
#define REQUESTS_PER_HOST 3
/* Each host counts one request to the endpoint, which states a limit. */
#define SENT_PER_HOST_MILLIONTHS 1000000U
#define LIMIT_PER_1000_S 5600

static struct event_base *base;
static struct records records;
static struct
{
  struct mesh *mesh;         /* NULL = not running */
  int64_t busy_until_ms;     /* does other work */
  int64_t loads_received_ms; /* last time */
  unsigned other_requests;   /* requests of the other hosts, as last received */
  uint32_t others_sent; /* the count of the other hosts, as last received */
  uint32_t limit_per_1000_s; /* as last received */
  uint32_t limit_age_ms;
} hosts[HOSTS + 1];

static unsigned indexes[HOSTS + 1];

static void
on_loads (void *context, const struct gossip_load *list, unsigned count)
{
  unsigned index = *(unsigned *)context;

  hosts[index].other_requests = 0;
  hosts[index].loads_received_ms = clock_ms;
  hosts[index].others_sent = 0;
  for (unsigned i = 0; i < count; i++)
    {
      hosts[index].other_requests += list[i].running;
      hosts[index].others_sent += list[i].sent_millionths;
      hosts[index].limit_per_1000_s = list[i].limit_per_1000_s;
      hosts[index].limit_age_ms = list[i].limit_age_ms;
    }
}

static void
on_message (void *context,
            struct mesh_host *from,
            const struct gossip_message *message)
{
  (void)context;
  (void)from;
  (void)message;
}

static void
on_lease (void *context, const struct lease_value *value, uint64_t version)
{
  (void)context;
  (void)value;
  (void)version;
}

static void
collect_loads (void *context, struct mesh_loads *own)
{
  const unsigned *index = context;

  own->count = 1;
  own->list[0] = (struct gossip_load){
    .endpoint = 7,
    .running = REQUESTS_PER_HOST,
    .has_limit = true,
    /* All hosts but the last one have heard an older limit. */
    .limit_per_1000_s = *index == HOSTS - 1 ? LIMIT_PER_1000_S : 9000,
    .limit_age_ms = *index == HOSTS - 1 ? 100 : 2000,
    .sent_millionths = SENT_PER_HOST_MILLIONTHS,
  };
}

static void
start_host (unsigned index)
{
  bool is_large = index < 3 || index == REPLACEMENT;
  struct gossip_host self = { .port = PORT, .capacity = is_large ? 500 : 120 };
  const struct mesh_hooks hooks
      = { &indexes[index], on_loads, on_message, NULL, on_lease };

  indexes[index] = index;
  /* The replacement ranks between the second hub and the third host. */
  snprintf (self.name, sizeof self.name, "host-%02u%s",
            index == REPLACEMENT ? 1 : index, index == REPLACEMENT ? "a" : "");
  snprintf (self.data_centre, sizeof self.data_centre, "casa-a");
  snprintf (self.address, sizeof self.address, "127.0.77.%u", index + 1);
  hosts[index].mesh = calloc (1, sizeof *hosts[index].mesh);
  hosts[index].other_requests = 0;
  hosts[index].busy_until_ms = 0;
  assert_non_null (hosts[index].mesh);
  assert_int_equal (mesh_init (hosts[index].mesh, base, &records, &hooks, &self,
                               (uint64_t)time_boot_ms () + index),
                    RESULT_OK);
  mesh_add_seed (hosts[index].mesh, "127.0.77.2:1");
  mesh_add_seed (hosts[index].mesh, "127.0.77.6:1");
}

static void
stop_host (unsigned index)
{
  mesh_finish (hosts[index].mesh);
  free (hosts[index].mesh);
  hosts[index].mesh = NULL;
}

static unsigned
count_readers (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i <= REPLACEMENT; i++)
    if (hosts[i].mesh != NULL && mesh_is_reader (hosts[i].mesh))
      count++;
  return count;
}

/* Runs the hosts; returns the largest number of readers at the same time. */
static unsigned
run_hosts (int64_t duration_ms)
{
  int64_t until_ms = clock_ms + duration_ms;
  unsigned max_readers = 0;

  for (; clock_ms < until_ms; clock_ms += STEP_MS)
    {
      unsigned readers;

      /* Delivers the messages of the previous step. */
      event_base_loop (base, EVLOOP_NONBLOCK);
      records_tick (&records, clock_ms);
      for (unsigned i = 0; i <= REPLACEMENT; i++)
        if (hosts[i].mesh != NULL && clock_ms >= hosts[i].busy_until_ms)
          mesh_tick (hosts[i].mesh, true, collect_loads, &indexes[i], clock_ms);
      readers = count_readers ();
      if (readers > max_readers)
        max_readers = readers;
    }
  return max_readers;
}

/* Checks what the hosts were told about the endpoint's request limit. */
static void
check_limit_sums (unsigned first, unsigned live_hosts)
{
  for (unsigned i = first; i < HOSTS; i++)
    {
      assert_int_equal (hosts[i].others_sent,
                        (live_hosts - 1) * SENT_PER_HOST_MILLIONTHS);
      assert_int_equal (hosts[i].limit_per_1000_s, LIMIT_PER_1000_S);
      /* Ages grow while reports wait at a hub. */
      assert_in_range (hosts[i].limit_age_ms, 100, 400);
      assert_int_equal (hosts[i].mesh->live_hosts, live_hosts);
      /* Lost hosts are remembered. */
      assert_int_equal (mesh_known_hosts (hosts[i].mesh), HOSTS);
    }
}

static unsigned
count_hosts_with_totals (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < HOSTS; i++)
    if (hosts[i].other_requests == (HOSTS - 1) * REQUESTS_PER_HOST)
      count++;
  return count;
}

/* How long the first hub is down; other hosts notice after 0.5 s. */
static const int64_t hub_down_ms[] = { 100, 500, 700, 1500 };

static void
test_hub_restart (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof hub_down_ms / sizeof hub_down_ms[0]; i++)
    {
      unsigned max_readers;
      unsigned max_readers_after;

      clock_ms = START_MS;
      base = event_base_new ();
      records_init (&records, base, &unreachable_store, "127.0.77.200", 1);
      for (unsigned n = 0; n < HOSTS; n++)
        start_host (n);
      run_hosts (30000);
      assert_int_equal (count_readers (), 1);
      assert_int_equal (count_hosts_with_totals (), HOSTS);
      check_limit_sums (0, HOSTS);
      stop_host (0);
      /* The second hub notices a little later than the other hosts. */
      hosts[1].busy_until_ms = clock_ms + 620;
      max_readers = run_hosts (hub_down_ms[i]);
      start_host (0);
      max_readers_after = run_hosts (3000);
      /* Readers may be the successor and the restarted host, but no other. */
      if (max_readers > 1 || max_readers_after > 2)
        fail_msg ("down for %d ms: %u readers, then %u", (int)hub_down_ms[i],
                  max_readers, max_readers_after);
      assert_int_equal (count_readers (), 1);
      assert_int_equal (count_hosts_with_totals (), HOSTS);
      for (unsigned n = 0; n < HOSTS; n++)
        stop_host (n);
      records_finish (&records);
      event_base_loop (base, EVLOOP_NONBLOCK);
      event_base_free (base);
    }
}

/*
 * The first hub fails for good, and a new host with the same capacity ranks
 * after the second hub.  The new host has no loads yet, so the second hub must
 * continue, whether it counts the first one as dead at that moment or tries it
 * again.
 */
static void
test_hub_replacement (void **state)
{
  (void)state;
  for (int64_t delay_ms = 0; delay_ms < 2600; delay_ms += 100)
    {
      unsigned hosts_without_loads = 0;

      clock_ms = START_MS;
      base = event_base_new ();
      records_init (&records, base, &unreachable_store, "127.0.77.200", 1);
      for (unsigned n = 0; n < HOSTS; n++)
        start_host (n);
      run_hosts (8000);
      stop_host (0);
      run_hosts (4000 + delay_ms);
      check_limit_sums (1, HOSTS - 1);
      start_host (REPLACEMENT);
      /* The replacement sends its first totals before the second hub's next. */
      hosts[1].busy_until_ms = clock_ms + 150;
      for (int i = 0; i < 60; i++)
        {
          run_hosts (50);
          for (unsigned n = 1; n < HOSTS; n++)
            hosts_without_loads += clock_ms - hosts[n].loads_received_ms > 300;
        }
      if (hosts_without_loads > 0)
        fail_msg ("%d ms later: %u times a host received no loads",
                  (int)delay_ms, hosts_without_loads);
      assert_int_equal (count_readers (), 1);
      for (unsigned n = 1; n <= REPLACEMENT; n++)
        stop_host (n);
      records_finish (&records);
      event_base_loop (base, EVLOOP_NONBLOCK);
      event_base_free (base);
    }
}

/* Numbers of the hosts' messages, before which they were heard. */
static const uint32_t old_sequences[] = { UINT32_MAX - 20, UINT32_MAX };

/* A process that has sent 2^32 messages must still be heard. */
static void
test_sequence_wrap (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof old_sequences / sizeof old_sequences[0]; i++)
    {
      clock_ms = START_MS;
      base = event_base_new ();
      records_init (&records, base, &unreachable_store, "127.0.77.200", 1);
      for (unsigned n = 0; n < HOSTS; n++)
        {
          start_host (n);
          hosts[n].mesh->sequence = old_sequences[i] - 1;
        }
      run_hosts (30000);
      for (unsigned n = 0; n < HOSTS; n++)
        assert_true (hosts[n].mesh->sequence < 1U << 31);
      assert_int_equal (count_readers (), 1);
      assert_int_equal (count_hosts_with_totals (), HOSTS);
      check_limit_sums (0, HOSTS);
      for (unsigned n = 0; n < HOSTS; n++)
        stop_host (n);
      records_finish (&records);
      event_base_loop (base, EVLOOP_NONBLOCK);
      event_base_free (base);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_hub_restart),
    cmocka_unit_test (test_hub_replacement),
    cmocka_unit_test (test_sequence_wrap),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
