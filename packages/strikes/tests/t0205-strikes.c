#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "strikes.h"

struct strike_step
{
  char event; /* a add, c clear, n answer, r release, t tick, ' ' none */
  const char *crash;
  int64_t at_ms;
  bool is_new;      /* result of strikes_add */
  unsigned count;   /* strikes after the event */
  int64_t retry_ms; /* of strikes_check; 0 = not quarantined */
};

struct strike_case
{
  const char *guards;
  struct strike_step steps[10];
};

#define EXPIRY_MS STRIKES_EXPIRY_MS

static const struct strike_case cases[] = {
  { "a request runs again after two crashes",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b2", 5, true, 2, EXPIRY_MS },
      { ' ', NULL, 5 + EXPIRY_MS - 1, false, 2, 1 },
      { ' ', NULL, 5 + EXPIRY_MS, false, 0, 0 } } },
  { "one crash reported by many peers counts twice",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b1", 1, false, 1, 0 },
      { 'a', "b1", 2, false, 1, 0 } } },
  { "strikes never expire",
    { { 'a', "b1", 0, true, 1, 0 }, { 't', NULL, EXPIRY_MS, false, 0, 0 } } },
  { "strikes expire early",
    { { 'a', "b1", 0, true, 1, 0 },
      { 't', NULL, EXPIRY_MS - 1, false, 1, 0 } } },
  { "a request that completed keeps its strike",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'c', NULL, 1, false, 0, 0 },
      { 'a', "b2", 2, true, 1, 0 } } },
  { "a late report undoes a clear",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'c', NULL, 1, false, 0, 0 },
      { 'a', "b1", 2, false, 0, 0 } } },
  { "a release has no effect, or a late report undoes it",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b2", 0, true, 2, EXPIRY_MS },
      { 'r', NULL, 10, false, 0, 0 },
      { 'a', "b2", 11, false, 0, 0 },
      { 'a', "b1", 11, false, 0, 0 },
      { 'a', "b3", 12, true, 1, 0 },
      { 'a', "b4", 13, true, 2, EXPIRY_MS } } },
  { "a full list of crashes ends the quarantine",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b2", 0, true, 2, EXPIRY_MS },
      { 'a', "b3", 0, true, 3, EXPIRY_MS },
      { 'a', "b4", 0, true, 4, EXPIRY_MS },
      { 'a', "b5", 0, true, 4, EXPIRY_MS },
      { 'r', NULL, 1, false, 0, 0 },
      { 'a', "b6", 2, true, 1, 0 },
      { 'a', "b7", 3, true, 2, EXPIRY_MS } } },
  { "expired strikes count together with new ones",
    { { 'a', "b1", 0, true, 1, 0 },
      { ' ', NULL, EXPIRY_MS, false, 0, 0 },
      { 'a', "b2", EXPIRY_MS, true, 1, 0 } } },
  { "an answer is forgotten, because the crash was not known yet",
    { { 'n', NULL, 10, false, 0, 0 },
      { 'a', "b1", 5, true, 0, 0 },
      { 'a', "b2", 20, true, 1, 0 },
      { 'a', "b3", 30, true, 2, EXPIRY_MS } } },
  { "an earlier answer clears a later crash",
    { { 'n', NULL, 10, false, 0, 0 },
      { 'a', "b1", 11, true, 1, 0 },
      { 'a', "b2", 12, true, 2, EXPIRY_MS } } },
  { "an answer after the first is forgotten",
    { { 'n', NULL, 10, false, 0, 0 },
      { 'n', NULL, 20, false, 0, 0 },
      { 'a', "b1", 15, true, 0, 0 } } },
  { "release or clear of an unknown request fails",
    { { 'r', NULL, 0, false, 0, 0 }, { 'c', NULL, 0, false, 0, 0 } } },
};

static void
run_step (struct strikes *strikes, const struct strike_step *step)
{
  int64_t retry_ms;
  enum result result;

  if (step->event == 'a')
    assert_int_equal (
        strikes_add (strikes, "f", "host", step->crash, step->at_ms),
        step->is_new);
  else if (step->event == 'c')
    strikes_clear (strikes, "f", step->at_ms, 0);
  else if (step->event == 'n')
    strikes_note_answered (strikes, "f", STRIKES_REQUEST, step->at_ms);
  else if (step->event == 'r')
    strikes_release (strikes, "f", step->at_ms);
  else if (step->event == 't')
    strikes_tick (strikes, step->at_ms);
  assert_int_equal (strikes_count (strikes, "f", step->at_ms), step->count);
  result = strikes_check (strikes, "f", step->at_ms, &retry_ms);
  assert_int_equal (result,
                    step->retry_ms > 0 ? RESULT_QUARANTINED : RESULT_OK);
  assert_int_equal (retry_ms, step->retry_ms);
}

static void
test_strike_sequences (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct strikes strikes;

      strikes_init (&strikes, 10);
      for (size_t j = 0; j < 10 && cases[i].steps[j].event != '\0'; j++)
        run_step (&strikes, &cases[i].steps[j]);
      strikes_finish (&strikes);
    }
}

/* Guards against invented fingerprints of an attacker filling the memory. */
static void
test_table_size_is_limited (void **state)
{
  struct strikes strikes;

  (void)state;
  strikes_init (&strikes, 3);
  for (int i = 0; i < 10; i++)
    {
      char fingerprint[16];

      snprintf (fingerprint, sizeof fingerprint, "f%d", i);
      assert_true (strikes_add (&strikes, fingerprint, "h", "b", 100 + i));
      assert_true (strikes.count <= 3);
    }
  assert_int_equal (strikes_count (&strikes, "f6", 110), 0);
  assert_int_equal (strikes_count (&strikes, "f7", 110), 1);
  assert_int_equal (strikes_count (&strikes, "f9", 110), 1);
  strikes_tick (&strikes, 109 + STRIKES_EXPIRY_MS);
  assert_int_equal (strikes.count, 0);
  strikes_finish (&strikes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_strike_sequences),
    cmocka_unit_test (test_table_size_is_limited),
  };

  return cmocka_run_group_tests_name ("strikes", tests, NULL, NULL);
}
