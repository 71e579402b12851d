#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <math.h>

#include "rng.h"
#include "shares.h"

#define NOW_MS INT64_C (100000)
#define EXPIRED_MS (NOW_MS - SHARES_PEER_TIMEOUT_MS - 1)

struct shares_case
{
  const char *guards;
  unsigned total;
  unsigned own_demand;
  struct shares_peer peers[3];
  size_t peer_count;
  size_t live_peers;
  unsigned slots;
};

static const struct shares_case cases[] = {
  { "slots are assigned although there are none", 0, 9, { { 0 } }, 0, 3, 0 },
  { "a single entry host leaves slots unused", 80, 0, { { 0 } }, 0, 0, 80 },
  { "unequal share although no peer has reported", 80, 7, { { 0 } }, 0, 3, 20 },
  { "an idle entry host has no slots for a burst",
    80,
    0,
    { { 30, NOW_MS }, { 30, NOW_MS }, { 30, NOW_MS } },
    3,
    3,
    10 },
  { "the share does not follow demand",
    80,
    30,
    { { 10, NOW_MS }, { 0, NOW_MS }, { 0, NOW_MS } },
    3,
    3,
    40 },
  { "an expired report counts", 80, 10, { { 70, EXPIRED_MS } }, 1, 0, 80 },
  { "a peer that never reported counts",
    80,
    10,
    { { 70, INT64_MIN } },
    1,
    0,
    80 },
  { "a live peer without a report counts as idle",
    80,
    10,
    { { 10, NOW_MS } },
    1,
    3,
    20 },
  { "an entry host with a tiny share gets no slot",
    4,
    0,
    { { 50, NOW_MS } },
    1,
    20,
    1 },
  { "unequal shares although no entry host has demand",
    80,
    0,
    { { 0, NOW_MS }, { 0, NOW_MS }, { 0, NOW_MS } },
    3,
    3,
    20 },
};

static void
test_own_share (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct shares_case *test = &cases[i];
      unsigned slots
          = shares_slots (test->total, test->own_demand, test->peers,
                          test->peer_count, test->live_peers, NOW_MS);

      if (slots != test->slots)
        print_error ("failure: %s\n", test->guards);
      assert_int_equal (slots, test->slots);
    }
}

/*
 * Guards against shares whose sum exceeds the total or leaves a part unused
 * although all entry hosts have the same reports.
 */
static void
test_shares_add_up_to_total (void **state)
{
  struct rng rng;

  (void)state;
  rng_init (&rng, 11);
  for (int round = 0; round < 200; round++)
    {
      unsigned demand[21];
      size_t hosts = 1 + rng_below (&rng, 21);
      unsigned total = 200 + (unsigned)rng_below (&rng, 1000);
      double rate_sum = 0;
      unsigned slot_sum = 0;

      for (size_t i = 0; i < hosts; i++)
        demand[i] = (unsigned)rng_below (&rng, 40);
      for (size_t i = 0; i < hosts; i++)
        {
          struct shares_peer peers[20];
          size_t count = 0;

          for (size_t j = 0; j < hosts; j++)
            if (j != i)
              peers[count++]
                  = (struct shares_peer){ .demand = demand[j],
                                          .demand_received_ms = NOW_MS };
          rate_sum += shares_rate (50, demand[i], peers, count, count, NOW_MS);
          slot_sum
              += shares_slots (total, demand[i], peers, count, count, NOW_MS);
        }
      assert_true (fabs (rate_sum - 50) < 1e-6);
      /* Each entry host rounds by less than one slot. */
      assert_in_range (slot_sum, total - hosts, total + hosts);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_own_share),
    cmocka_unit_test (test_shares_add_up_to_total),
  };

  return cmocka_run_group_tests_name ("shares", tests, NULL, NULL);
}
