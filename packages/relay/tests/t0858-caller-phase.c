#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "caller-phase.h"

/* The phases of a caller's connection, and the timer of each. */

#define HEADER_MS 3000
#define IDLE_MS 15000
#define LONG_MS INT64_C (1500000)

struct phase_case
{
  const char *name;
  struct caller_view view;
  enum caller_phase phase;
  int64_t kept_ms; /* longest time without progress; 0 = no timer */
  enum caller_action end;
  bool counts_progress; /* of bytes sent */
};

static const struct phase_case phase_cases[] = {
  { "a new connection", { 0 }, CALLER_IDLE, IDLE_MS, CALLER_CLOSE },
  { "after a head without its request's end",
    { .message_begun = true, .head_done = true },
    CALLER_IDLE,
    IDLE_MS,
    CALLER_CLOSE },
  { "a head",
    { .message_begun = true },
    CALLER_HEAD,
    HEADER_MS,
    CALLER_REFUSE },
  { "a head behind a response that is being read",
    { .message_begun = true, .unwritten_bytes = 9 },
    CALLER_HEAD,
    HEADER_MS,
    CALLER_REFUSE },
  { "a body",
    { .has_request = true, .message_begun = true, .head_done = true },
    CALLER_BODY,
    IDLE_MS,
    CALLER_CLOSE },
  { "a body of a caller that asks to close",
    { .has_request = true,
      .message_begun = true,
      .head_done = true,
      .close_after = true },
    CALLER_BODY,
    IDLE_MS,
    CALLER_CLOSE },
  { "a request that is served",
    { .has_request = true, .is_body_whole = true, .message_begun = true },
    CALLER_SERVED,
    0,
    CALLER_KEEP },
  { "a request of a caller that asks to close",
    { .has_request = true, .is_body_whole = true, .close_after = true },
    CALLER_SERVED,
    0,
    CALLER_KEEP },
  { "a stream to a slow link",
    { .has_request = true, .is_body_whole = true, .unwritten_bytes = 9 },
    CALLER_SERVED,
    0,
    CALLER_KEEP },
  { "a response that is being read",
    { .unwritten_bytes = 9 },
    CALLER_WRITING,
    IDLE_MS,
    CALLER_CLOSE,
    true },
  { "the last response, while it is being read",
    { .unwritten_bytes = 9, .close_after = true },
    CALLER_WRITING,
    IDLE_MS,
    CALLER_CLOSE,
    true },
  { "a refusal before the body's end, while it is being read",
    { .message_begun = true,
      .head_done = true,
      .unwritten_bytes = 9,
      .close_after = true },
    CALLER_WRITING,
    IDLE_MS,
    CALLER_CLOSE,
    true },
  { "the last response, taken by the kernel",
    { .close_after = true },
    CALLER_LINGERING,
    HEADER_MS,
    CALLER_CLOSE,
    true },
  { "a refused head, taken by the kernel",
    { .message_begun = true, .close_after = true },
    CALLER_LINGERING,
    HEADER_MS,
    CALLER_CLOSE,
    true },
};

static const struct caller_limits limits = { HEADER_MS, IDLE_MS, false };
static const struct caller_limits stopping = { HEADER_MS, IDLE_MS, true };

static void
check_action (const struct phase_case *c,
              const char *when,
              enum caller_action action,
              enum caller_action expected)
{
  if (action != expected)
    fail_msg ("%s, %s: action %d, not %d", c->name, when, action, expected);
}

/* A timer that runs in another phase than its own cuts what is still wanted. */
static void
test_phases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof phase_cases / sizeof phase_cases[0]; i++)
    {
      const struct phase_case *c = &phase_cases[i];
      struct caller_view view = c->view;
      struct caller_timer timer;
      int64_t kept_ms = c->kept_ms > 0 ? c->kept_ms : LONG_MS;
      int64_t now_ms = 100000;

      if (caller_find_phase (&view) != c->phase)
        fail_msg ("%s: phase %d", c->name, caller_find_phase (&view));
      view.sent_bytes_left = 1000;
      caller_timer_init (&timer, now_ms);
      if (c->phase != CALLER_IDLE)
        /* The time before the phase does not count. */
        now_ms += LONG_MS;
      check_action (c, "at its start",
                    caller_timer_tick (&timer, &view, &limits, now_ms),
                    CALLER_KEEP);
      check_action (
          c, "at its limit",
          caller_timer_tick (&timer, &view, &limits, now_ms + kept_ms),
          CALLER_KEEP);
      check_action (
          c, "after its limit",
          caller_timer_tick (&timer, &view, &limits, now_ms + kept_ms + 1),
          c->end);
    }
}

/* Bytes sent count as progress where the caller reads, and nowhere else. */
static void
test_progress (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof phase_cases / sizeof phase_cases[0]; i++)
    {
      const struct phase_case *c = &phase_cases[i];
      struct caller_view view = c->view;
      struct caller_timer timer;
      int64_t now_ms = 100000;

      if (c->kept_ms == 0)
        continue;
      view.sent_bytes_left = 1000;
      caller_timer_init (&timer, now_ms);
      check_action (c, "at its start",
                    caller_timer_tick (&timer, &view, &limits, now_ms),
                    CALLER_KEEP);
      now_ms += c->kept_ms;
      view.sent_bytes_left = 999;
      check_action (c, "at its limit",
                    caller_timer_tick (&timer, &view, &limits, now_ms),
                    CALLER_KEEP);
      check_action (c, "after progress",
                    caller_timer_tick (&timer, &view, &limits, now_ms + 1),
                    c->counts_progress ? CALLER_KEEP : c->end);
      /* More to send is no progress. */
      view.sent_bytes_left = 5000;
      check_action (
          c, "after its limit",
          caller_timer_tick (&timer, &view, &limits, now_ms + c->kept_ms + 1),
          c->end);
    }
}

/* A stop closes idle connections only, and none that has sent something. */
static void
test_stop (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof phase_cases / sizeof phase_cases[0]; i++)
    {
      const struct phase_case *c = &phase_cases[i];
      struct caller_view view = c->view;
      struct caller_timer timer;

      caller_timer_init (&timer, 100000);
      view.has_input = true;
      check_action (c, "with input at a stop",
                    caller_timer_tick (&timer, &view, &stopping, 100000),
                    CALLER_KEEP);
      view.has_input = false;
      check_action (c, "at a stop",
                    caller_timer_tick (&timer, &view, &stopping, 100000),
                    c->phase == CALLER_IDLE ? CALLER_CLOSE : CALLER_KEEP);
    }
}

/* The time of a request must not count for the idle time after it. */
static void
test_next_request (void **state)
{
  const struct caller_view idle = { 0 };
  struct caller_timer timer;

  (void)state;
  caller_timer_init (&timer, 1000);
  assert_int_equal (caller_timer_tick (&timer, &idle, &limits, 1000 + IDLE_MS),
                    CALLER_KEEP);
  /* A request was served between two ticks. */
  caller_timer_init (&timer, 1000 + IDLE_MS);
  assert_int_equal (
      caller_timer_tick (&timer, &idle, &limits, 1000 + 2 * IDLE_MS),
      CALLER_KEEP);
  assert_int_equal (
      caller_timer_tick (&timer, &idle, &limits, 1001 + 2 * IDLE_MS),
      CALLER_CLOSE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_phases),
    cmocka_unit_test (test_progress),
    cmocka_unit_test (test_stop),
    cmocka_unit_test (test_next_request),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
