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
 * How old the loads of the other hosts are when a request is placed.  On the
 * grown deployments three prompts reach a group of the large model each 250 ms,
 * and each adds 33 ms to the first event of the next one.
 */
struct age_case
{
  unsigned hosts;
  int64_t most_ms;
};

static const struct age_case cases[] = {
  { 12, 150 }, { 21, 150 }, { 96, 160 }, { 125, 160 }, { 380, 500 },
};

static void
test_age (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct age_case *c = &cases[i];
      struct mesh *mesh = calloc (1, sizeof *mesh);

      assert_non_null (mesh);
      mesh->socket = -1;
      for (unsigned n = 0; n < c->hosts; n++)
        {
          struct mesh_host *host = calloc (1, sizeof *host);

          assert_non_null (host);
          snprintf (host->self.name, sizeof host->self.name, "host-%u", n);
          HASH_ADD (hh, mesh->hosts, self.name, strlen (host->self.name), host);
        }
      if (mesh_load_age_ms (mesh) > c->most_ms)
        fail_msg ("%u hosts: %d ms", c->hosts, (int)mesh_load_age_ms (mesh));
      mesh_finish (mesh);
      free (mesh);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_age) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
