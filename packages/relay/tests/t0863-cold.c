#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define ENDPOINTS 1
#include "relay-fixture.h"

/*
 * An endpoint that refuses connections is down.  Its next process is cold, also
 * for a host that does not hear of it.
 */

#define COLD_MS 3000
#define PER_S 4

static const struct relay_case plain
    = { "", CATALOG_SAFE, false, 1, PLAIN, { { GOOD } }, 503, NULL, 0 };

static void
test_refusal_means_cold (void **state)
{
  (void)state;
  for (int64_t cold_ms = 0; cold_ms <= COLD_MS; cold_ms += COLD_MS)
    {
      const struct endpoint *endpoint;
      struct endpoint_load *load;
      int64_t left_ms;

      setup (&plain);
      test.relay.catalog->services[0].cold_ms = cold_ms;
      test.relay.catalog->services[0].cold_requests_per_s = PER_S;
      test.relay.loads.cold_bound = (struct cold_bound){ 1.5, 5, 99 };
      /* A listening socket that was shut down refuses connections. */
      shutdown (evconnlistener_get_fd (test.fake_endpoints[0].listener),
                SHUT_RDWR);
      run_until_response ();
      assert_int_equal (test.status, 503);
      endpoint = endpoints_find (&test.endpoints, "e0");
      load = load_table_get (&test.relay.loads,
                             endpoints_find (&test.endpoints, "e0"));
      left_ms = balance_cold_left_ms (&test.relay.loads,
                                      &test.relay.catalog->services[0],
                                      load->endpoint, time_boot_ms ());
      if (cold_ms == 0)
        {
          assert_int_equal (endpoint->cold_until_ms, 0);
          assert_int_equal (left_ms, 0);
        }
      else
        assert_true (left_ms >= cold_ms);
      teardown ();
    }
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_refusal_means_cold) };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
