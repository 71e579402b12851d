#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mesh.h"
#include "records.h"
#include "timeutil.h"

/*
 * The entry hosts of one data centre over loopback, while its first hub is
 * killed and starts again after a moment, as a restarted process does.
 */

#define HOSTS 12
#define NEWCOMER HOSTS /* index of a host that is added later */
#define STEP_MS 5
#define START_MS 100000
#define PORT 17340
#define LOAD 3 /* requests of each host */

/* The clock of all hosts, in the place of the library's. */
static int64_t clock_ms;

int64_t
time_boot_ms (void)
{
  return clock_ms;
}

int64_t
time_wall_ms (void)
{
  return clock_ms;
}

static struct event_base *base;
static struct records records;
static struct
{
  struct mesh *mesh; /* NULL = it does not run */
  int64_t busy_ms;   /* with other work, until then */
  int64_t heard_ms;  /* loads, last */
  unsigned others;   /* requests of the other hosts, as last heard */
} hosts[HOSTS + 1];

static void
encode (const struct records_request *request,
        const char **method,
        struct http_text *target,
        struct http_text *body)
{
  (void)request;
  (void)method;
  (void)body;
  http_text_add_string (target, "/");
}

static void
decode (enum records_verb verb,
        unsigned status,
        const json_t *json,
        void (*take) (void *context, const struct records_answer *answer),
        void *context)
{
  struct records_answer answer = { .result = RESULT_PLATFORM_OUTAGE };

  (void)verb;
  (void)status;
  (void)json;
  take (context, &answer);
}

static const struct records_codec codec = { encode, decode };

static void
on_loads (void *context, const struct gossip_load *list, unsigned count)
{
  unsigned index = *(unsigned *)context;

  hosts[index].others = 0;
  hosts[index].heard_ms = clock_ms;
  for (unsigned i = 0; i < count; i++)
    hosts[index].others += list[i].running;
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
collect (void *context, struct mesh_loads *own)
{
  (void)context;
  own->count = 1;
  own->list[0] = (struct gossip_load){ .endpoint = 7, .running = LOAD };
}

static unsigned indexes[HOSTS + 1];

static void
start_host (unsigned index)
{
  bool is_large = index < 3 || index == NEWCOMER;
  struct gossip_host self = { .port = PORT, .capacity = is_large ? 500 : 120 };
  const struct mesh_hooks hooks
      = { &indexes[index], on_loads, on_message, on_lease };

  indexes[index] = index;
  /* The newcomer comes between the second hub and the third host. */
  snprintf (self.name, sizeof self.name, "host-%02u%s",
            index == NEWCOMER ? 1 : index, index == NEWCOMER ? "a" : "");
  snprintf (self.data_centre, sizeof self.data_centre, "casa-a");
  snprintf (self.address, sizeof self.address, "127.0.77.%u", index + 1);
  hosts[index].mesh = calloc (1, sizeof *hosts[index].mesh);
  hosts[index].others = 0;
  hosts[index].busy_ms = 0;
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

  for (unsigned i = 0; i <= NEWCOMER; i++)
    if (hosts[i].mesh != NULL && mesh_is_reader (hosts[i].mesh))
      count++;
  return count;
}

/* Runs for so long; the most hosts that took themselves for readers at once. */
static unsigned
run (int64_t for_ms)
{
  int64_t until_ms = clock_ms + for_ms;
  unsigned most = 0;

  for (; clock_ms < until_ms; clock_ms += STEP_MS)
    {
      unsigned readers;

      /* Whatever was sent in the step before has arrived. */
      event_base_loop (base, EVLOOP_NONBLOCK);
      records_tick (&records, clock_ms);
      for (unsigned i = 0; i <= NEWCOMER; i++)
        if (hosts[i].mesh != NULL && clock_ms >= hosts[i].busy_ms)
          mesh_tick (hosts[i].mesh, true, collect, NULL, clock_ms);
      readers = count_readers ();
      if (readers > most)
        most = readers;
    }
  return most;
}

static unsigned
count_informed (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < HOSTS; i++)
    if (hosts[i].others == (HOSTS - 1) * LOAD)
      count++;
  return count;
}

/* How long the first hub is away; the others notice after half a second. */
static const int64_t away_ms[] = { 100, 500, 700, 1500 };

static void
test_restart (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof away_ms / sizeof away_ms[0]; i++)
    {
      unsigned most;
      unsigned most_after;

      clock_ms = START_MS;
      base = event_base_new ();
      records_init (&records, base, &codec, "127.0.77.200", 1);
      for (unsigned n = 0; n < HOSTS; n++)
        start_host (n);
      run (30000);
      assert_int_equal (count_readers (), 1);
      assert_int_equal (count_informed (), HOSTS);
      stop_host (0);
      /* The second hub notices a little later than the others. */
      hosts[1].busy_ms = clock_ms + 620;
      most = run (away_ms[i]);
      start_host (0);
      most_after = run (3000);
      /* The successor, and the host that starts; no other has to. */
      if (most > 1 || most_after > 2)
        fail_msg ("away for %d ms: %u readers, then %u", (int)away_ms[i], most,
                  most_after);
      assert_int_equal (count_readers (), 1);
      assert_int_equal (count_informed (), HOSTS);
      for (unsigned n = 0; n < HOSTS; n++)
        stop_host (n);
      records_finish (&records);
      event_base_loop (base, EVLOOP_NONBLOCK);
      event_base_free (base);
    }
}

/*
 * The first hub is gone for good and a host of as much processor comes in its
 * place, but after the second hub.  It knows nothing yet, and the second hub
 * goes on, whether it takes the first one for dead just then or tries it again.
 */
static void
test_replaced (void **state)
{
  (void)state;
  for (int64_t later_ms = 0; later_ms < 2600; later_ms += 100)
    {
      unsigned silenced = 0;

      clock_ms = START_MS;
      base = event_base_new ();
      records_init (&records, base, &codec, "127.0.77.200", 1);
      for (unsigned n = 0; n < HOSTS; n++)
        start_host (n);
      run (8000);
      stop_host (0);
      run (4000 + later_ms);
      start_host (NEWCOMER);
      /* Its first totals come before the second hub's next ones. */
      hosts[1].busy_ms = clock_ms + 150;
      for (int i = 0; i < 60; i++)
        {
          run (50);
          for (unsigned n = 1; n < HOSTS; n++)
            silenced += clock_ms - hosts[n].heard_ms > 300;
        }
      if (silenced > 0)
        fail_msg ("%d ms later: %u times a host heard no loads", (int)later_ms,
                  silenced);
      assert_int_equal (count_readers (), 1);
      for (unsigned n = 1; n <= NEWCOMER; n++)
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
    cmocka_unit_test (test_restart),
    cmocka_unit_test (test_replaced),
  };

  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
