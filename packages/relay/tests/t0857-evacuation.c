#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "hash.h"
#include "relay-fixture.h"

/*
 * Evacuates the data centre of endpoints at different stages of a request.
 * Nothing new may be sent there, and nothing that was sent may be sent again.
 */

static struct evacuations evacuations;

static void
set_evacuated (bool is_evacuated)
{
  struct evacuation_set set = { .revision = evacuations.revision + 1 };

  if (is_evacuated)
    evacuation_set_add (&set, hash_string ("dc-0", 0));
  evacuations_update (&evacuations, &set, time_boot_ms (), time_boot_ms ());
}

/* Moves the endpoint to a data centre, which the fixture leaves out. */
static void
place_endpoint (unsigned index, const char *data_centre, bool is_usable)
{
  char id[8];
  struct endpoint *endpoint;

  snprintf (id, sizeof id, "e%u", index);
  endpoint = endpoints_find (&test.endpoints, id);
  endpoint->report.data_centre = data_centre;
  endpoint->report.leaving = !is_usable;
}

static void
setup_evacuation (const struct relay_case *c, bool has_other)
{
  setup (c);
  evacuations_init (&evacuations);
  test.relay.loads.evacuations = &evacuations;
  place_endpoint (0, "dc-0", true);
  place_endpoint (1, "dc-1", has_other);
}

static void
run_for (int64_t duration_ms)
{
  int64_t until_ms = time_boot_ms () + duration_ms;

  while (time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, 5000 };

      event_base_loopexit (test.base, &step);
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
    }
}

static const struct relay_case plain = {
  "", CATALOG_SAFE, false, 3, PLAIN, { { GOOD }, { GOOD } }, 200, "ok", 1
};

static void
test_new_request_is_refused (void **state)
{
  (void)state;
  setup_evacuation (&plain, false);
  set_evacuated (true);
  run_until_response ();
  /* Guards against: a request is sent to the only, evacuated endpoint. */
  assert_int_equal (test.status, 503);
  assert_int_equal (test.sends, 0);
  teardown ();
}

static void
test_retry_goes_elsewhere (void **state)
{
  static const struct relay_case c = {
    "a retry reaches an evacuated data centre", CATALOG_SAFE, false, 3, PLAIN,
    { { NULL, .close = true }, { GOOD } },      502,          NULL,  1
  };

  (void)state;
  setup_evacuation (&c, false);
  while (test.sends == 0)
    run_for (5);
  set_evacuated (true);
  run_until_response ();
  assert_case_result (&c);
  teardown ();
}

/* Runs until the request has a connection that is being established. */
static struct relay_request *
run_until_connecting (void)
{
  struct relay_request *request = NULL;

  while (request == NULL || request->upstream == NULL)
    {
      event_base_loop (test.base, EVLOOP_ONCE);
      request = TAILQ_FIRST (&test.relay.requests);
    }
  assert_false (request->upstream->has_written);
  return request;
}

static void
test_connecting_attempt_is_withdrawn (void **state)
{
  struct relay_request *request;

  (void)state;
  setup_evacuation (&plain, true);
  /* The other data centre comes up only after the choice. */
  place_endpoint (1, "dc-1", false);
  request = run_until_connecting ();
  assert_string_equal (request->upstream->load->id, "e0");
  place_endpoint (1, "dc-1", true);
  set_evacuated (true);
  relay_tick (&test.relay, time_boot_ms ());
  /* Guards against: an attempt is sent once its connection is established. */
  assert_string_equal (request->upstream->load->id, "e1");
  /* Guards against: what was never sent counts as a try. */
  assert_int_equal (request->sends, 1);
  assert_int_equal (request->tried_count, 0);
  run_until_response ();
  assert_case_result (&plain);
  assert_non_null (strstr (test.sent_requests[0].data, "X-Endpoint: e1"));
  teardown ();
}

static void
test_running_request_ends_by_itself (void **state)
{
  static const struct relay_case c
      = { "a request that was sent is withdrawn, and runs twice",
          CATALOG_SAFE,
          false,
          3,
          PLAIN,
          { { GOOD, .in_pieces = true } },
          200,
          "ok",
          1 };

  (void)state;
  setup_evacuation (&c, true);
  place_endpoint (1, "dc-1", false);
  while (test.sends == 0)
    {
      event_base_loop (test.base, EVLOOP_ONCE);
      relay_tick (&test.relay, time_boot_ms ());
    }
  place_endpoint (1, "dc-1", true);
  set_evacuated (true);
  run_until_response ();
  assert_case_result (&c);
  run_for (60);
  /* Guards against: the connection stays open for the next request. */
  assert_true (TAILQ_EMPTY (&test.relay.idle));
  teardown ();
}

static void
test_idle_connections_are_closed (void **state)
{
  (void)state;
  setup_evacuation (&plain, false);
  run_until_response ();
  assert_false (TAILQ_EMPTY (&test.relay.idle));
  set_evacuated (true);
  run_for (30);
  assert_true (TAILQ_EMPTY (&test.relay.idle));
  teardown ();
}

/* A data centre that does not respond is probed, but not while evacuated. */
static void
test_no_probes (void **state)
{
  struct endpoint_load *load;

  (void)state;
  for (int is_evacuated = 0; is_evacuated < 2; is_evacuated++)
    {
      bool was_probed = false;

      setup_evacuation (&plain, true);
      run_until_response ();
      run_for (20);
      place_endpoint (1, "dc-0", true);
      set_evacuated (is_evacuated != 0);
      run_for (20);
      for (unsigned i = 0; i < 4; i++)
        {
          char id[8];

          snprintf (id, sizeof id, "e%u", i % 2);
          load = load_table_get (&test.relay.loads,
                                 endpoints_find (&test.endpoints, id));
          balance_note_unreached (&test.relay.loads, load, time_boot_ms ());
        }
      while (!TAILQ_EMPTY (&test.relay.idle))
        {
          struct relay_upstream *upstream = TAILQ_FIRST (&test.relay.idle);

          upstream->idle_timeout_ms = 0;
          relay_tick (&test.relay, time_boot_ms ());
          was_probed = !TAILQ_EMPTY (&test.relay.idle);
          if (was_probed)
            break;
        }
      relay_tick (&test.relay, time_boot_ms ());
      was_probed = was_probed || !TAILQ_EMPTY (&test.relay.idle);
      assert_int_equal (was_probed, is_evacuated == 0);
      teardown ();
    }
}

/* Waiting requests get capacity of the data centre once it is withdrawn. */
static void
test_withdrawal (void **state)
{
  (void)state;
  setup_evacuation (&plain, false);
  set_evacuated (true);
  set_evacuated (false);
  run_until_response ();
  assert_case_result (&plain);
  teardown ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_request_is_refused),
    cmocka_unit_test (test_retry_goes_elsewhere),
    cmocka_unit_test (test_connecting_attempt_is_withdrawn),
    cmocka_unit_test (test_running_request_ends_by_itself),
    cmocka_unit_test (test_idle_connections_are_closed),
    cmocka_unit_test (test_no_probes),
    cmocka_unit_test (test_withdrawal),
  };

  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
