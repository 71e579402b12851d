#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "strikes.h"

struct strike_step
{
  char event; /* a add, c clear, r release, t tick, ' ' nothing */
  const char *death;
  int64_t at_ms;
  bool was_new;     /* result of add */
  unsigned count;   /* afterwards */
  int64_t retry_ms; /* of the check; 0 = not quarantined */
};

struct strike_case
{
  const char *guards;
  struct strike_step steps[10];
};

#define HOLD STRIKES_HOLD_MS

static const struct strike_case cases[] = {
  { "a crash request goes on after two deaths",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b2", 5, true, 2, HOLD },
      { ' ', NULL, 5 + HOLD - 1, false, 2, 1 },
      { ' ', NULL, 5 + HOLD, false, 0, 0 } } },
  { "one death told by many peers counts twice",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b1", 1, false, 1, 0 },
      { 'a', "b1", 2, false, 1, 0 } } },
  { "strikes are kept for ever",
    { { 'a', "b1", 0, true, 1, 0 }, { 't', NULL, HOLD, false, 0, 0 } } },
  { "strikes are forgotten early",
    { { 'a', "b1", 0, true, 1, 0 }, { 't', NULL, HOLD - 1, false, 1, 0 } } },
  { "an innocent request stays struck",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'c', NULL, 1, false, 0, 0 },
      { 'a', "b2", 2, true, 1, 0 } } },
  { "a late peer undoes a clear",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'c', NULL, 1, false, 0, 0 },
      { 'a', "b1", 2, false, 0, 0 } } },
  { "a release has no effect, or a late peer undoes it",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b2", 0, true, 2, HOLD },
      { 'r', NULL, 10, false, 0, 0 },
      { 'a', "b2", 11, false, 0, 0 },
      { 'a', "b1", 11, false, 0, 0 },
      { 'a', "b3", 12, true, 1, 0 },
      { 'a', "b4", 13, true, 2, HOLD } } },
  { "a full list of deaths frees the request",
    { { 'a', "b1", 0, true, 1, 0 },
      { 'a', "b2", 0, true, 2, HOLD },
      { 'a', "b3", 0, true, 3, HOLD },
      { 'a', "b4", 0, true, 4, HOLD },
      { 'a', "b5", 0, true, 4, HOLD },
      { 'r', NULL, 1, false, 0, 0 },
      { 'a', "b6", 2, true, 1, 0 },
      { 'a', "b7", 3, true, 2, HOLD } } },
  { "old strikes count with new ones",
    { { 'a', "b1", 0, true, 1, 0 },
      { ' ', NULL, HOLD, false, 0, 0 },
      { 'a', "b2", HOLD, true, 1, 0 } } },
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
        strikes_add (strikes, "f", "host", step->death, step->at_ms),
        step->was_new);
  else if (step->event == 'c')
    strikes_clear (strikes, "f");
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
test_strikes (void **state)
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

/* Fingerprints that an attacker makes up filling the memory. */
static void
test_limit (void **state)
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
  strikes_tick (&strikes, 109 + STRIKES_HOLD_MS);
  assert_int_equal (strikes.count, 0);
  strikes_finish (&strikes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_strikes),
    cmocka_unit_test (test_limit),
  };

  return cmocka_run_group_tests_name ("strikes", tests, NULL, NULL);
}
