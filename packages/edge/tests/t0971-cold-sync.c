#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cold-sync.h"
#include "log.h"
#include "mesh-fixture.h"

/*
 * A reader, another host of its data centre and one of another data centre,
 * over loopback on a virtual clock.  Only the reader knows the members of
 * groups.
 */

#define HOSTS 3
#define READER 0
#define LOCAL 1
#define REMOTE 2
#define STEP_MS 5
#define START_MS 100000
#define PORT 17343
#define COLD_MS 3000
/* A message at once, and one each 200 ms. */
#define SOON_MS 20
#define REPEATED_WITHIN_MS 250

struct host
{
  struct mesh mesh;
  struct endpoints endpoints;
  struct cold_sync sync;
  unsigned messages;
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

  (void)from;
  if (message->kind != GOSSIP_COLD)
    return;
  host->messages++;
  cold_sync_handle_message (&host->sync, &message->body.cold, clock_ms);
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
report (unsigned index, const char *id, unsigned rank, int64_t cold_ms)
{
  static uint64_t revision;
  struct endpoint_report report = { .service = "models",
                                    .port = 1,
                                    .group = "g",
                                    .epoch = 7,
                                    .rank = rank,
                                    .state = ENDPOINT_GROUP_OPEN,
                                    .has_cold = true,
                                    .cold_ms = cold_ms };

  endpoints_report (&hosts[index].endpoints, id, &report, ++revision, clock_ms);
  if (cold_ms > 0)
    cold_sync_note (&hosts[index].sync);
}

static int64_t
get_left_ms (unsigned index, const char *id)
{
  const struct endpoint *endpoint
      = endpoints_find (&hosts[index].endpoints, id);

  return endpoint->cold_until_ms > clock_ms ? endpoint->cold_until_ms - clock_ms
                                            : 0;
}

static void
run_for (int64_t duration_ms)
{
  int64_t until_ms = clock_ms + duration_ms;

  for (; clock_ms < until_ms; clock_ms += STEP_MS)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      records_tick (&records, clock_ms);
      for (unsigned i = 0; i < HOSTS; i++)
        {
          mesh_tick (&hosts[i].mesh, true, collect_no_loads, NULL, clock_ms);
          cold_sync_tick (&hosts[i].sync, i == READER, clock_ms);
        }
    }
}

static int
setup (void **state)
{
  (void)state;
  clock_ms = START_MS;
  base = event_base_new ();
  records_init (&records, base, &unreachable_store, "127.0.80.200", 1);
  memset (hosts, 0, sizeof hosts);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      struct host *host = &hosts[i];
      struct gossip_host self = { .port = PORT, .capacity = 100 };
      const struct mesh_hooks hooks
          = { host, ignore_loads, on_message, NULL, ignore_lease };

      snprintf (self.name, sizeof self.name, "host-%u", i);
      snprintf (self.data_centre, sizeof self.data_centre, "dc-%u", i / 2);
      snprintf (self.address, sizeof self.address, "127.0.80.%u", i + 1);
      assert_int_equal (
          mesh_init (&host->mesh, base, &records, &hooks, &self, 1 + i),
          RESULT_OK);
      mesh_add_seed (&host->mesh, "127.0.80.1:1");
      endpoints_init (&host->endpoints, NULL, NULL);
      host->endpoints.tracks_cold = true;
      cold_sync_init (&host->sync, &host->mesh, &host->endpoints);
      report (i, "head", 0, 0);
    }
  report (READER, "member", 1, 0);
  run_for (3000);
  return 0;
}

static int
teardown (void **state)
{
  (void)state;
  for (unsigned i = 0; i < HOSTS; i++)
    {
      mesh_finish (&hosts[i].mesh);
      endpoints_finish (&hosts[i].endpoints);
    }
  records_finish (&records);
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
  return 0;
}

/* Guards against: a host takes a group with a cold member for warm. */
static void
test_member_makes_group_cold (void **state)
{
  (void)state;
  report (READER, "member", 1, COLD_MS);
  run_for (SOON_MS);
  assert_in_range (get_left_ms (LOCAL, "head"), COLD_MS - 100, COLD_MS);
  /* The other data centre has a reader of its own. */
  assert_int_equal (hosts[REMOTE].messages, 0);
}

/* Guards against: one lost datagram hides that an endpoint is cold. */
static void
test_messages_are_repeated (void **state)
{
  (void)state;
  report (READER, "head", 0, COLD_MS);
  run_for (SOON_MS);
  endpoints_find (&hosts[LOCAL].endpoints, "head")->cold_until_ms = 0;
  run_for (REPEATED_WITHIN_MS);
  assert_in_range (get_left_ms (LOCAL, "head"), COLD_MS - 400, COLD_MS - 200);
}

/* Guards against: messages while nothing is cold, or no service asks for it. */
static void
test_silent_otherwise (void **state)
{
  unsigned messages;

  (void)state;
  assert_int_equal (hosts[LOCAL].messages, 0);
  report (READER, "head", 0, COLD_MS);
  run_for (COLD_MS + 300);
  messages = hosts[LOCAL].messages;
  /* Each 200 ms. */
  assert_in_range (messages, 10, 17);
  run_for (2000);
  assert_int_equal (hosts[LOCAL].messages, messages);
  assert_int_equal (get_left_ms (LOCAL, "head"), 0);
  hosts[READER].endpoints.tracks_cold = false;
  report (READER, "head", 0, COLD_MS);
  run_for (1000);
  assert_int_equal (hosts[LOCAL].messages, messages);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_member_makes_group_cold, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_messages_are_repeated, setup,
                                     teardown),
    cmocka_unit_test_setup_teardown (test_silent_otherwise, setup, teardown),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
