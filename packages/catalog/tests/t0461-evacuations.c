#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "evacuations.h"
#include "hash.h"

/* Sets are texts of one letter per data centre. */

static struct evacuations table;

static struct evacuation_set
make_set (uint64_t era, uint64_t revision, const char *letters)
{
  struct evacuation_set set = { .revision = era * 1000 + revision, .era = era };

  for (; *letters != '\0'; letters++)
    {
      const char name[2] = { *letters, '\0' };

      evacuation_set_add (&set, hash_string (name, 0));
    }
  return set;
}

/* A message or a read, then the data centres that must be in effect. */
struct step
{
  int64_t at_ms;
  uint64_t era;
  uint64_t revision; /* 0 = only time passes */
  const char *set;
  const char *active;
};

struct update_case
{
  const char *guards;
  struct step steps[6];
};

static const struct update_case update_cases[] = {
  { "an evacuation is not taken over",
    { { 1000, 1, 5, "a", "a" }, { 1100, 1, 6, "ab", "ab" } } },
  { "an evacuation is not withdrawn",
    { { 1000, 1, 5, "ab", "ab" }, { 1100, 1, 6, "b", "b" } } },
  { "a late message withdraws an evacuation",
    { { 1000, 1, 5, "", "" },
      { 1100, 1, 7, "a", "a" },
      { 1200, 1, 6, "", "a" } } },
  { "a late message brings an evacuation back",
    { { 1000, 1, 5, "a", "a" },
      { 1100, 1, 7, "", "" },
      { 1200, 1, 6, "a", "" } } },
  { "a restored store that lacks an evacuation withdraws it",
    { { 1000, 1, 900, "a", "a" },
      { 1100, 2, 5, "", "a" },
      { 3500, 2, 6, "a", "a" },
      { 9000, 2, 7, "ab", "ab" } } },
  { "an evacuation that is not repeated after a restore never ends",
    { { 1000, 1, 900, "ab", "ab" },
      { 1100, 2, 5, "", "ab" },
      { 3500, 2, 6, "b", "ab" },
      { 4200, 0, 0, "", "b" } } },
  { "an evacuation of a restored store is not taken over at once",
    { { 1000, 1, 900, "", "" }, { 1100, 2, 5, "a", "a" } } },
  { "the first set that a host hears counts as a restore",
    { { 1000, 3, 5, "ab", "ab" }, { 1100, 3, 6, "", "" } } },
  { "an evacuation that comes back counts as ended",
    { { 1000, 1, 5, "a", "a" },
      { 1100, 1, 6, "", "" },
      { 1200, 1, 7, "a", "a" } } },
};

static void
test_updates (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof update_cases / sizeof update_cases[0]; i++)
    {
      const struct update_case *c = &update_cases[i];

      evacuations_init (&table);
      for (const struct step *step = c->steps; step->at_ms != 0; step++)
        {
          const struct evacuation_set set
              = make_set (step->era, step->revision, step->set);

          if (step->revision != 0)
            evacuations_update (&table, &set, step->at_ms, step->at_ms);
          evacuations_tick (&table, step->at_ms);
          for (const char *letter = "ab"; *letter != '\0'; letter++)
            {
              const char name[2] = { *letter, '\0' };

              if (evacuations_includes (&table, name)
                  != (strchr (step->active, *letter) != NULL))
                fail_msg ("%s: %s at %d", c->guards, name, (int)step->at_ms);
            }
        }
    }
}

/* Endpoints count as cold from the moment at which an evacuation ended. */
static void
test_end_is_remembered (void **state)
{
  const struct evacuation_set none = make_set (1, 6, "");
  const struct evacuation_set one = make_set (1, 5, "a");

  (void)state;
  evacuations_init (&table);
  evacuations_update (&table, &one, 1000, 1000);
  assert_int_equal (evacuations_ended_ms (&table, "a"), 0);
  evacuations_update (&table, &none, 2000, 2500);
  assert_int_equal (evacuations_ended_ms (&table, "a"), 2500);
  assert_int_equal (evacuations_ended_ms (&table, "b"), 0);
  evacuations_tick (&table, 2500 + 3600000);
  assert_int_equal (evacuations_ended_ms (&table, "a"), 0);
}

/*
 * A host without recent knowledge reads the store, so the age must neither fall
 * behind (needless reads) nor run ahead (a missed evacuation).
 */
static void
test_current_at (void **state)
{
  const struct evacuation_set one = make_set (1, 5, "a");
  const struct evacuation_set other = make_set (1, 4, "b");
  const struct evacuation_set same = make_set (1, 4, "a");

  (void)state;
  evacuations_init (&table);
  evacuations_update (&table, &one, 1000, 1010);
  assert_int_equal (table.current_at_ms, 1000);
  evacuations_update (&table, &one, 1500, 1510);
  assert_int_equal (table.current_at_ms, 1500);
  /* An older message says nothing about now, unless it says the same. */
  evacuations_update (&table, &other, 1700, 1710);
  assert_int_equal (table.current_at_ms, 1500);
  evacuations_update (&table, &same, 1800, 1810);
  assert_int_equal (table.current_at_ms, 1800);
  evacuations_update (&table, &one, 1600, 1910);
  assert_int_equal (table.current_at_ms, 1800);
}

/* Too many entries, also held ones of a restored store, lose no other state. */
static void
test_limits (void **state)
{
  struct evacuation_set set = { .revision = 1, .era = 1 };

  (void)state;
  evacuations_init (&table);
  for (uint64_t round = 0; round < 5; round++)
    {
      set = (struct evacuation_set){ .revision = round + 1, .era = round + 1 };
      for (uint64_t i = 0; i < EVACUATIONS_LIMIT; i++)
        assert_true (evacuation_set_add (&set, round * 1000 + i));
      assert_false (evacuation_set_add (&set, UINT64_MAX));
      evacuations_update (&table, &set, 1000, 1000);
      evacuations_get_set (&table, &set);
      assert_int_equal (set.count, EVACUATIONS_LIMIT);
      for (uint64_t i = 0; i < EVACUATIONS_LIMIT; i++)
        assert_true (evacuation_set_has (&set, round * 1000 + i));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_updates),
    cmocka_unit_test (test_end_is_remembered),
    cmocka_unit_test (test_current_at),
    cmocka_unit_test (test_limits),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
