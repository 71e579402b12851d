#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "strikes.h"

/*
 * Which requests are refused after crashes and answers of others.  A request is
 * written as its traits: "f1" is a fingerprint, "p9" a part.
 */

#define STEP_LIMIT 16
#define TABLE_LIMIT 100
#define S INT64_C (1000) /* ms */

enum event
{
  NONE,
  CRASH,   /* an endpoint crashes that has begun to run the request */
  ANSWER,  /* the request is answered */
  RELEASE, /* an operator releases the trait */
  REFUSED, /* such a request is refused */
  SENT,    /* such a request is sent */
};

struct step
{
  enum event event;
  int64_t at_ms;
  const char *request;
  uint64_t crash;
};

struct strikes_case
{
  const char *guards;
  struct step steps[STEP_LIMIT];
};

static const struct strikes_case cases[] = {
  { "requests that are not alike but for a harmful part are sent on",
    { { CRASH, 1 * S, "f1 p1 p9", 1 },
      { CRASH, 2 * S, "f2 p2 p9", 2 },
      { SENT, 2 * S, "f3 p3 p9" },
      { CRASH, 3 * S, "f3 p3 p9", 3 },
      { REFUSED, 3 * S, "f4 p4 p9" },
      { REFUSED, 4 * S, "f5 p9" },
      { SENT, 4 * S, "f6 p1" },
      { SENT, 4 * S, "f7 p3" } } },
  { "a part that is at all crashes, and is sound, is refused",
    { { CRASH, 1 * S, "f1 p1 p9", 1 },
      { CRASH, 2 * S, "f2 p1 p9", 2 },
      { CRASH, 3 * S, "f3 p1 p9", 3 },
      { REFUSED, 4 * S, "f4 p1 p9" },
      { SENT, 4 * S, "f5 p1" },
      { SENT, 4 * S, "f5 p2" } } },
  { "an answer does not tell the sound part from the harmful one",
    { { CRASH, 1 * S, "f1 p1 p9", 1 },
      { CRASH, 2 * S, "f2 p1 p9", 2 },
      { CRASH, 3 * S, "f3 p1 p9", 3 },
      { ANSWER, 4 * S, "f5 p1" },
      { REFUSED, 4 * S, "f6 p9" },
      { REFUSED, 4 * S, "f6 p2 p9" },
      { SENT, 4 * S, "f5 p1" } } },
  { "the harmful part is never told from its first companion",
    { { CRASH, 1 * S, "f1 p1 p9", 1 },
      { CRASH, 2 * S, "f2 p1 p9", 2 },
      { CRASH, 3 * S, "f3 p1 p9", 3 },
      { SENT, 4 * S, "f4 p2 p9" },
      { CRASH, 4 * S, "f4 p2 p9", 4 },
      { REFUSED, 5 * S, "f5 p3 p9" },
      { SENT, 5 * S, "f5 p1" },
      { SENT, 5 * S, "f5 p2" } } },
  { "a part answered between the crashes is refused",
    { { CRASH, 1 * S, "f1 p1", 1 },
      { ANSWER, 2 * S, "f2 p1" },
      { CRASH, 3 * S, "f3 p1", 2 },
      { ANSWER, 4 * S, "f4 p1" },
      { CRASH, 5 * S, "f5 p1", 3 },
      { SENT, 6 * S, "f6 p1" } } },
  { "three crashes by chance refuse a part that was answered before",
    { { ANSWER, 1 * S, "f1 p1" },
      { CRASH, 2 * S, "f2 p1", 1 },
      { CRASH, 3 * S, "f3 p1", 2 },
      { CRASH, 4 * S, "f4 p1", 3 },
      { CRASH, 5 * S, "f5 p1", 4 },
      { SENT, 6 * S, "f6 p1" } } },
  { "a part that becomes harmful is sent on, as it was answered before",
    { { ANSWER, 1 * S, "f1 p1" },
      { CRASH, 2 * S, "f2 p1", 1 },
      { CRASH, 3 * S, "f3 p1", 2 },
      { CRASH, 4 * S, "f4 p1", 3 },
      { CRASH, 5 * S, "f5 p1", 4 },
      { CRASH, 6 * S, "f6 p1", 5 },
      { REFUSED, 7 * S, "f7 p1" } } },
  { "a common part that was answered before hides the harmful one",
    { { ANSWER, 1 * S, "f1 p1" },
      { CRASH, 2 * S, "f2 p1 p9", 1 },
      { CRASH, 3 * S, "f3 p1 p9", 2 },
      { CRASH, 4 * S, "f4 p1 p9", 3 },
      { REFUSED, 5 * S, "f5 p9" },
      { REFUSED, 5 * S, "f5 p2 p9" },
      { SENT, 5 * S, "f6 p1" } } },
  { "a crash of other origin turns the blame to the common part",
    { { ANSWER, 1 * S, "f1 p1" },
      { CRASH, 2 * S, "f2 p1 p9", 1 },
      { CRASH, 3 * S, "f3 p1 p9", 2 },
      { CRASH, 4 * S, "f4 p1 p9", 3 },
      { CRASH, 5 * S, "f5 p1", 4 },
      { CRASH, 6 * S, "f6 p1", 5 },
      { REFUSED, 7 * S, "f7 p9" },
      { SENT, 7 * S, "f8 p1" } } },
  { "many endpoints failing at the same time count as many crashes",
    { { CRASH, 1 * S, "f1 p1", 1 },
      { CRASH, 1 * S + 10, "f2 p1", 2 },
      { CRASH, 1 * S + 20, "f3 p1", 3 },
      { CRASH, 1 * S + 30, "f4 p1", 4 },
      { SENT, 2 * S, "f5 p1" } } },
  { "all requests at one crash count as several",
    { { CRASH, 1 * S, "f1 p1", 1 },
      { CRASH, 1 * S, "f2 p1", 1 },
      { CRASH, 1 * S, "f3 p1", 1 },
      { SENT, 2 * S, "f4 p1" } } },
  { "one request that is repeated gets its parts refused to others",
    { { CRASH, 1 * S, "f1 p1", 1 },
      { CRASH, 2 * S, "f1 p1", 2 },
      { REFUSED, 3 * S, "f1 p1" },
      { CRASH, 3 * S, "f1 p1", 3 },
      { REFUSED, 4 * S, "f1 p1" },
      { SENT, 4 * S, "f2 p1" } } },
  { "a sound request that two crashes by a harmful part hit is refused",
    { { CRASH, 1 * S, "f1 p9", 1 },
      { CRASH, 2 * S, "f2 p9", 2 },
      { CRASH, 2 * S, "f7 p1", 2 },
      { CRASH, 3 * S, "f3 p9", 3 },
      { CRASH, 3 * S, "f7 p1", 3 },
      { REFUSED, 4 * S, "f4 p9" },
      { SENT, 4 * S, "f7 p1" },
      { CRASH, 5 * S, "f7 p1", 5 },
      { SENT, 6 * S, "f7 p1" },
      { CRASH, 6 * S, "f7 p1", 6 },
      { REFUSED, 7 * S, "f7 p1" } } },
  { "a released part stays refused, or is not refused again",
    { { CRASH, 1 * S, "f1 p9", 1 },
      { CRASH, 2 * S, "f2 p9", 2 },
      { CRASH, 3 * S, "f3 p9", 3 },
      { REFUSED, 4 * S, "f4 p9" },
      { RELEASE, 5 * S, "p9" },
      { SENT, 6 * S, "f4 p9" },
      { CRASH, 7 * S, "f4 p9", 4 },
      { CRASH, 8 * S, "f5 p9", 5 },
      { CRASH, 9 * S, "f6 p9", 6 },
      { CRASH, 10 * S, "f7 p9", 7 },
      { CRASH, 11 * S, "f8 p9", 8 },
      { REFUSED, 12 * S, "f9 p9" } } },
  { "a quarantine never ends, or ends early",
    { { CRASH, 1 * S, "f1 p9", 1 },
      { CRASH, 2 * S, "f2 p9", 2 },
      { CRASH, 3 * S, "f3 p9", 3 },
      { REFUSED, 3 * S + STRIKES_EXPIRY_MS - 1, "f4 p9" },
      { SENT, 3 * S + STRIKES_EXPIRY_MS, "f4 p9" } } },
  { "two harmful parts hide each other",
    { { CRASH, 1 * S, "f1 p8", 1 },
      { CRASH, 2 * S, "f2 p9", 2 },
      { CRASH, 3 * S, "f3 p8", 3 },
      { CRASH, 4 * S, "f4 p9", 4 },
      { CRASH, 5 * S, "f5 p8", 5 },
      { CRASH, 6 * S, "f6 p9", 6 },
      { REFUSED, 7 * S, "f7 p8" },
      { REFUSED, 7 * S, "f8 p9" } } },
  { "more crashes than are kept end the quarantine",
    { { CRASH, 1 * S, "f1 p1 p9", 1 },
      { CRASH, 2 * S, "f2 p2 p9", 2 },
      { CRASH, 3 * S, "f3 p3 p9", 3 },
      { CRASH, 4 * S, "f4 p1 p9", 4 },
      { CRASH, 5 * S, "f5 p2 p9", 5 },
      { CRASH, 6 * S, "f6 p3 p9", 6 },
      { CRASH, 7 * S, "f7 p1 p9", 7 },
      { CRASH, 8 * S, "f8 p2 p9", 8 },
      { CRASH, 9 * S, "f9 p3 p9", 9 },
      { CRASH, 10 * S, "fa p1 p9", 10 },
      { REFUSED, 11 * S, "fb p4 p9" },
      { SENT, 11 * S, "fc p1" },
      { SENT, 11 * S, "fc p2" } } },
};

static struct strikes_traits
parse_traits (const char *text)
{
  struct strikes_traits traits = { .part_count = 0 };
  char copy[64];
  char *rest = copy;
  const char *trait;

  snprintf (copy, sizeof copy, "%s", text);
  while ((trait = strsep (&rest, " ")) != NULL)
    snprintf (trait[0] == 'f' ? traits.fingerprint
                              : traits.parts[traits.part_count++],
              HASH_HEX_SIZE, "%s", trait);
  return traits;
}

static void
run_step (struct strikes *strikes,
          const struct step *step,
          const char *guards,
          size_t index)
{
  struct strikes_traits traits = parse_traits (step->request);
  int64_t retry_after_ms;
  bool is_refused;

  switch (step->event)
    {
    case CRASH:
      strikes_add_crash (strikes, &traits, step->crash, step->at_ms,
                         step->at_ms);
      return;
    case ANSWER:
      strikes_note_answer (strikes, &traits, step->at_ms);
      return;
    case RELEASE:
      strikes_release (strikes, traits.parts[0], step->at_ms);
      return;
    default:
      is_refused = strikes_check_traits (strikes, &traits, step->at_ms,
                                         &retry_after_ms)
                   == RESULT_QUARANTINED;
      if (is_refused != (step->event == REFUSED))
        fail_msg ("%s: step %zu", guards, index);
      assert_true (is_refused == (retry_after_ms > 0));
      return;
    }
}

static void
test_parts (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct strikes strikes;

      strikes_init (&strikes, TABLE_LIMIT);
      for (size_t j = 0; j < STEP_LIMIT && cases[i].steps[j].event != NONE; j++)
        run_step (&strikes, &cases[i].steps[j], cases[i].guards, j);
      strikes_finish (&strikes);
    }
}

/* Reports of strikes, as they arrive at one host. */
struct merge_case
{
  const char *guards;
  struct
  {
    uint64_t crash; /* 0 = the part was answered */
    int64_t at_ms;
  } reports[STEP_LIMIT];
  unsigned count; /* strikes that count at the end */
};

static const struct merge_case merges[] = {
  { "a report that arrives twice counts twice",
    { { 1, 1 * S }, { 2, 2 * S }, { 1, 1 * S }, { 2, 2 * S } },
    2 },
  { "a delayed report makes a strike newer than the answer after it",
    { { 1, 5 * S }, { 0, 3 * S }, { 1, 1 * S } },
    0 },
  { "a delayed report undoes an answer",
    { { 1, 1 * S }, { 0, 3 * S }, { 1, 5 * S } },
    0 },
  { "an older answer undoes a newer one",
    { { 1, 4 * S }, { 0, 5 * S }, { 0, 3 * S } },
    0 },
  { "strikes in another order count otherwise",
    { { 3, 3 * S }, { 1, 1 * S }, { 0, 2 * S }, { 2, 4 * S } },
    2 },
};

static void
test_merging (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof merges / sizeof merges[0]; i++)
    {
      const struct merge_case *c = &merges[i];
      struct strikes strikes;

      strikes_init (&strikes, TABLE_LIMIT);
      for (size_t j = 0; j < STEP_LIMIT && c->reports[j].at_ms != 0; j++)
        {
          const struct strike_report report
              = { STRIKES_PART, "p1", c->reports[j].crash,
                  c->reports[j].at_ms };

          if (report.crash == 0)
            strikes_clear (&strikes, "p1", report.at_ms, 0);
          else
            strikes_add_report (&strikes, &report, 10 * S);
        }
      if (strikes_count (&strikes, "p1", 10 * S) != c->count)
        fail_msg ("%s", c->guards);
      strikes_finish (&strikes);
    }
}

/*
 * Changes have to be sent to other hosts.  Repeated reports must not be, and
 * must not have all requests checked again.
 */
static void
test_unsent_copies (void **state)
{
  const struct strike_report report = { STRIKES_PART, "p1", 1, 1 * S, 3 };
  const struct strike_report earlier = { STRIKES_PART, "p1", 1, 1, 3 };
  struct strikes strikes;
  struct strike_entry *entry;
  uint64_t changes;

  (void)state;
  strikes_init (&strikes, TABLE_LIMIT);
  strikes_add_report (&strikes, &report, 2 * S);
  entry = strikes.entries;
  assert_int_equal (entry->unsent, 3);
  entry->unsent = 0;
  changes = strikes.changes;
  strikes_add_report (&strikes, &report, 2 * S);
  assert_int_equal (entry->unsent, 0);
  assert_int_equal (strikes.changes, changes);
  strikes_add_report (&strikes, &earlier, 2 * S);
  assert_int_equal (entry->unsent, 3);
  entry->unsent = 0;
  assert_true (strikes_clear (&strikes, "p1", 3 * S, 3));
  assert_int_equal (entry->unsent, 3);
  entry->unsent = 0;
  changes = strikes.changes;
  assert_false (strikes_clear (&strikes, "p1", 4 * S, 3));
  assert_int_equal (entry->unsent, 0);
  assert_int_equal (strikes.changes, changes);
  strikes_finish (&strikes);
}

/*
 * Parts with one strike, as any crash leaves them, must not push out the parts
 * that are quarantined.
 */
static void
test_quarantined_part_is_kept (void **state)
{
  const struct strikes_traits harmful = parse_traits ("p9");
  struct strikes strikes;
  int64_t retry_after_ms;

  (void)state;
  strikes_init (&strikes, 8);
  for (unsigned crash = 1; crash <= 3; crash++)
    strikes_add_crash (&strikes, &harmful, crash, crash * S, crash * S);
  for (unsigned i = 0; i < 50; i++)
    {
      struct strikes_traits other = { .part_count = 1 };

      snprintf (other.parts[0], sizeof other.parts[0], "x%u", i);
      strikes_add_crash (&strikes, &other, 100 + i, 10 * S + i, 10 * S + i);
    }
  assert_true (strikes.count <= 8);
  assert_int_equal (
      strikes_check_traits (&strikes, &harmful, 20 * S, &retry_after_ms),
      RESULT_QUARANTINED);
  strikes_finish (&strikes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_parts),
    cmocka_unit_test (test_merging),
    cmocka_unit_test (test_unsent_copies),
    cmocka_unit_test (test_quarantined_part_is_kept),
  };

  return cmocka_run_group_tests_name ("strike-parts", tests, NULL, NULL);
}
