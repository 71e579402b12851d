#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mesh.h"

/*
 * Guards against requests that are placed by outdated loads of other hosts.  On
 * the larger deployments three prompts reach a group of the large model every
 * 250 ms, and each adds 33 ms to the first event of the next one.
 */
struct age_case
{
  unsigned hosts;
  int64_t max_age_ms;
};

static const struct age_case age_cases[] = {
  { 12, 150 }, { 21, 150 }, { 96, 160 }, { 125, 160 }, { 380, 500 },
};

static void
test_load_age (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof age_cases / sizeof age_cases[0]; i++)
    {
      const struct age_case *c = &age_cases[i];
      struct mesh *mesh = calloc (1, sizeof *mesh);

      assert_non_null (mesh);
      mesh->socket = -1;
      for (unsigned n = 0; n < c->hosts; n++)
        {
          struct mesh_host *host = calloc (1, sizeof *host);

          assert_non_null (host);
          snprintf (host->info.name, sizeof host->info.name, "host-%u", n);
          HASH_ADD (hh, mesh->hosts, info.name, strlen (host->info.name), host);
        }
      if (mesh_load_age_ms (mesh) > c->max_age_ms)
        fail_msg ("%u hosts: %d ms", c->hosts, (int)mesh_load_age_ms (mesh));
      mesh_finish (mesh);
      free (mesh);
    }
}

#define START_MS 100000

static struct mesh_host *
add_host (struct mesh *mesh, const char *name, uint32_t capacity)
{
  struct mesh_host *host = calloc (1, sizeof *host);

  assert_non_null (host);
  snprintf (host->info.name, sizeof host->info.name, "%s", name);
  host->info.capacity = capacity;
  host->last_seen_ms = START_MS - 20000;
  HASH_ADD (hh, mesh->hosts, info.name, strlen (host->info.name), host);
  return host;
}

static void
collect_no_loads (void *context, struct mesh_loads *own)
{
  (void)context;
  own->count = 0;
}

static void
ignore_loads (void *context, const struct gossip_load *list, unsigned count)
{
  (void)context;
  (void)list;
  (void)count;
}

/*
 * Guards against hosts that choose different hubs when the first hub fails.
 * The second hub, which sent this host nothing so far, gets the whole timeout
 * to take over before the third one is chosen.  Otherwise each host of a large
 * data centre chooses another hub, and all of these hubs read the platform.
 */
static void
test_hub_succession (void **state)
{
  static const struct
  {
    int64_t silent_ms; /* since the last total */
    const char *hub;
  } moments[] = {
    { 400, "a" }, { 600, "b" }, { 700, "b" }, { 900, "b" }, { 1150, "c" }
  };
  struct mesh *mesh = calloc (1, sizeof *mesh);
  size_t next_moment = 0;

  (void)state;
  assert_non_null (mesh);
  mesh->socket = -1;
  mesh->hooks.loads = ignore_loads;
  mesh->started_ms = START_MS - 20000;
  mesh->next_hello_ms = INT64_MAX;
  snprintf (mesh->self.name, sizeof mesh->self.name, "z");
  add_host (mesh, "a", 500)->last_seen_ms = START_MS;
  add_host (mesh, "b", 500);
  add_host (mesh, "c", 500);
  add_host (mesh, "d", 500);
  mesh->last_total_ms = START_MS;
  for (int64_t silent_ms = 0; next_moment < sizeof moments / sizeof moments[0];
       silent_ms += 25)
    {
      mesh_tick (mesh, false, collect_no_loads, NULL, START_MS + silent_ms);
      if (silent_ms < moments[next_moment].silent_ms)
        continue;
      if (strcmp (mesh_find_hub (mesh, 0)->info.name, moments[next_moment].hub)
          != 0)
        fail_msg ("after %d ms: %s", (int)silent_ms,
                  mesh_find_hub (mesh, 0)->info.name);
      next_moment++;
    }
  mesh_finish (mesh);
  free (mesh);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_load_age),
    cmocka_unit_test (test_hub_succession),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
