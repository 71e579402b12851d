#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "memory-account.h"

#define MB ((size_t)1 << 20)
#define NOW_MS INT64_C (100000)
/* Watermarks at 50 and 70 MB. */
#define LIMIT (100 * MB)

struct decide_case
{
  const char *guards;
  size_t total;
  struct memory_holder holder;
  size_t reserved;
  enum memory_action action;
};

static const struct decide_case decide_cases[] = {
  { "a body waits although memory is free",
    10 * MB,
    { MEMORY_UNFINISHED, 4 * MB, MB, NOW_MS, 0, false },
    0,
    MEMORY_READ },
  { "a body that waited is not read again once memory is free",
    10 * MB,
    { MEMORY_UNFINISHED, 4 * MB, MB, 0, NOW_MS - 9000, false },
    0,
    MEMORY_READ },
  { "a stalled body is ended although memory is free",
    10 * MB,
    { MEMORY_UNFINISHED, 4 * MB, MB, NOW_MS - 9000, 0, false },
    0,
    MEMORY_READ },
  { "an ordinary request waits because others hold large bodies",
    60 * MB,
    { MEMORY_UNFINISHED, 600, 3000, NOW_MS, 0, false },
    20 * MB,
    MEMORY_READ },
  { "a small body is read above the second watermark",
    71 * MB,
    { MEMORY_UNFINISHED, 600, 3000, NOW_MS, 0, false },
    0,
    MEMORY_WAIT },
  { "no body is completed above the first watermark",
    60 * MB,
    { MEMORY_UNFINISHED, MB, 3 * MB, NOW_MS, 0, false },
    0,
    MEMORY_ADMIT },
  { "more bodies are admitted than can be completed",
    60 * MB,
    { MEMORY_UNFINISHED, MB, 3 * MB, NOW_MS, 0, false },
    7 * MB,
    MEMORY_WAIT },
  { "an admitted body is stopped again",
    69 * MB,
    { MEMORY_UNFINISHED, MB, 3 * MB, NOW_MS, 0, true },
    3 * MB,
    MEMORY_READ },
  { "an admitted body keeps its space without using it",
    60 * MB,
    { MEMORY_UNFINISHED, MB, 3 * MB, NOW_MS - MEMORY_STALL_MS, 0, true },
    3 * MB,
    MEMORY_END },
  { "a link that loses two segments ends a body",
    60 * MB,
    { MEMORY_UNFINISHED, MB, 3 * MB, NOW_MS - 600, 0, true },
    3 * MB,
    MEMORY_READ },
  { "a body that the host does not read counts as stalled",
    60 * MB,
    { MEMORY_UNFINISHED, MB, 3 * MB, NOW_MS - 2900, NOW_MS - 2900, false },
    9 * MB,
    MEMORY_WAIT },
  { "a body waits for ever",
    60 * MB,
    { MEMORY_UNFINISHED, MB, 3 * MB, 0, NOW_MS - MEMORY_WAIT_MS, false },
    9 * MB,
    MEMORY_END },
  { "a running request is ended",
    99 * MB,
    { MEMORY_RUNNING, 4 * MB, 0, 0, 0, false },
    0,
    MEMORY_READ },
};

static void
test_decides_per_holder (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof decide_cases / sizeof decide_cases[0]; i++)
    {
      const struct decide_case *item = &decide_cases[i];
      struct memory_account account;
      struct memory_charge charge = { 0 };

      memory_account_init (&account, LIMIT, 0.5, 0.7);
      memory_account_set (&account, MEMORY_BODIES, &charge, item->total);
      if (memory_account_decide (&account, &item->holder, item->reserved,
                                 NOW_MS)
          != item->action)
        fail_msg ("%s", item->guards);
    }
}

struct order_case
{
  const char *guards;
  struct memory_holder first;
  struct memory_holder second;
};

static const struct order_case order_cases[] = {
  { "a whole request is ended before an unfinished one",
    { MEMORY_UNFINISHED, 1, MB, NOW_MS, 0, true },
    { MEMORY_WHOLE, MB, 0, 0, 0, false } },
  { "a running request is ended before a whole one",
    { MEMORY_WHOLE, 1, 0, 0, 0, false },
    { MEMORY_RUNNING, MB, 0, 0, 0, false } },
  { "a body with progress is ended before a stalled one",
    { MEMORY_UNFINISHED, 1, 1, NOW_MS - 1000, 0, true },
    { MEMORY_UNFINISHED, MB, MB, NOW_MS, 0, false } },
  { "an admitted body is ended before one that waits",
    { MEMORY_UNFINISHED, 1, 1, 0, NOW_MS - 5, false },
    { MEMORY_UNFINISHED, MB, MB, NOW_MS, 0, true } },
  { "many small bodies are ended instead of a large one",
    { MEMORY_UNFINISHED, MB, 1, NOW_MS, 0, false },
    { MEMORY_UNFINISHED, 600, 1, NOW_MS, 0, false } },
};

static void
test_orders_ends (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof order_cases / sizeof order_cases[0]; i++)
    {
      const struct order_case *item = &order_cases[i];

      if (!memory_ends_before (&item->first, &item->second, NOW_MS)
          || memory_ends_before (&item->second, &item->first, NOW_MS))
        fail_msg ("%s", item->guards);
    }
}

/* Guards against bytes that are charged twice, or released twice. */
static void
test_charges_once (void **state)
{
  struct memory_account account;
  struct memory_charge body = { 0 };
  struct memory_charge output = { 0 };

  (void)state;
  memory_account_init (&account, LIMIT, 0.5, 0.7);
  memory_account_set (&account, MEMORY_BODIES, &body, 100);
  memory_account_set (&account, MEMORY_BODIES, &body, 100);
  memory_account_set (&account, MEMORY_TO_CLIENTS, &output, 7);
  assert_int_equal (account.total, 107);
  memory_account_set (&account, MEMORY_BODIES, &body, 40);
  assert_int_equal (account.held[MEMORY_BODIES], 40);
  assert_int_equal (account.held[MEMORY_TO_CLIENTS], 7);
  memory_account_set (&account, MEMORY_BODIES, &body, 0);
  memory_account_set (&account, MEMORY_BODIES, &body, 0);
  memory_account_set (&account, MEMORY_TO_CLIENTS, &output, 0);
  assert_int_equal (account.total, 0);
  assert_int_equal (account.peak, 107);
}

/* Guards against a watermark that is passed without being counted. */
static void
test_counts_watermarks (void **state)
{
  struct memory_account account;
  struct memory_charge charge = { 0 };
  static const struct
  {
    size_t bytes;
    enum memory_level level;
    unsigned tight_count;
    unsigned full_count;
  } steps[] = {
    { 50 * MB - 1, MEMORY_CALM, 0, 0 },  { 50 * MB, MEMORY_TIGHT, 1, 0 },
    { 70 * MB - 1, MEMORY_TIGHT, 1, 0 }, { 90 * MB, MEMORY_FULL, 1, 1 },
    { 60 * MB, MEMORY_TIGHT, 1, 1 },     { 0, MEMORY_CALM, 1, 1 },
    { 99 * MB, MEMORY_FULL, 2, 2 },
  };

  (void)state;
  memory_account_init (&account, LIMIT, 0.5, 0.7);
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      memory_account_set (&account, MEMORY_RESPONSES, &charge, steps[i].bytes);
      assert_int_equal (memory_account_level (&account), steps[i].level);
      assert_int_equal (account.tight_count, steps[i].tight_count);
      assert_int_equal (account.full_count, steps[i].full_count);
    }
}

/*
 * Guards against the load of the design: many clients that send all but the
 * last byte of bodies at once.  Each step of 25 ms every client that is read
 * gets 64 KB on.  The sum must stay below the limit, bodies that come whole
 * must go on being served, and ordinary requests must never wait.
 */
static void
test_bounds_a_crowd (void **state)
{
  enum
  {
    CLIENTS = 200,
    BODY = 4 << 20,
    PART = 64 << 10,
  };
  static struct memory_holder holders[CLIENTS];
  static struct memory_charge charges[CLIENTS];
  struct memory_account account;
  unsigned served = 0;
  unsigned ended = 0;

  (void)state;
  memory_account_init (&account, LIMIT, 0.5, 0.7);
  for (unsigned i = 0; i < CLIENTS; i++)
    holders[i] = (struct memory_holder){ .rest_bytes = BODY };
  for (int64_t now_ms = 25; now_ms < 60000 && served + ended < CLIENTS;
       now_ms += 25)
    {
      const struct memory_holder ordinary
          = { MEMORY_UNFINISHED, 600, 3000, now_ms, 0, false };

      for (unsigned i = 0; i < CLIENTS; i++)
        {
          struct memory_holder *holder = &holders[i];
          size_t reserved = 0;
          /* One in eight completes its body. */
          size_t stop = i % 8 == 7 ? 0 : 1;
          size_t part;

          if (holder->stage != MEMORY_UNFINISHED)
            continue;
          for (unsigned j = 0; j < CLIENTS; j++)
            if (holders[j].is_admitted && holders[j].stage == MEMORY_UNFINISHED)
              reserved += holders[j].rest_bytes;
          switch (memory_account_decide (&account, holder, reserved, now_ms))
            {
            case MEMORY_ADMIT:
              holder->is_admitted = true;
              /* fall through */
            case MEMORY_READ:
              if (holder->unread_since_ms != 0)
                holder->progress_ms = now_ms;
              holder->unread_since_ms = 0;
              part = holder->rest_bytes > stop ? holder->rest_bytes - stop : 0;
              if (part > PART)
                part = PART;
              if (part > 0)
                holder->progress_ms = now_ms;
              holder->rest_bytes -= part;
              holder->bytes += part;
              memory_account_set (&account, MEMORY_BODIES, &charges[i],
                                  holder->bytes);
              if (holder->rest_bytes == 0)
                {
                  served++;
                  holder->stage = MEMORY_RUNNING;
                  memory_account_set (&account, MEMORY_BODIES, &charges[i], 0);
                }
              break;
            case MEMORY_WAIT:
              if (holder->unread_since_ms == 0)
                holder->unread_since_ms = now_ms;
              break;
            case MEMORY_END:
              ended++;
              holder->stage = MEMORY_RUNNING;
              memory_account_set (&account, MEMORY_BODIES, &charges[i], 0);
              break;
            }
        }
      assert_true (account.total < account.full_bytes);
      assert_int_equal (memory_account_decide (&account, &ordinary, 0, now_ms),
                        MEMORY_READ);
    }
  assert_true (served > 0);
  assert_true (ended > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_decides_per_holder),
    cmocka_unit_test (test_orders_ends),
    cmocka_unit_test (test_charges_once),
    cmocka_unit_test (test_counts_watermarks),
    cmocka_unit_test (test_bounds_a_crowd),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
