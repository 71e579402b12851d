#include "caller-phase.h"

/* What ends a phase that lasts too long. */
enum phase_limit
{
  LIMIT_NONE,
  LIMIT_HEADER,
  LIMIT_IDLE,
};

static const struct
{
  enum phase_limit limit;
  bool counts_progress; /* the limit applies since the last byte was sent */
  enum caller_action action;
} phases[CALLER_PHASES] = {
  [CALLER_IDLE] = { LIMIT_IDLE, false, CALLER_CLOSE },
  [CALLER_HEAD] = { LIMIT_HEADER, false, CALLER_REFUSE },
  /* In total: one byte at a time would hold the others for ever. */
  [CALLER_BODY] = { LIMIT_IDLE, false, CALLER_CLOSE },
  [CALLER_SERVED] = { LIMIT_NONE, false, CALLER_KEEP },
  /* A link may be slow; a caller that reads nothing is not waited for. */
  [CALLER_WRITING] = { LIMIT_IDLE, true, CALLER_CLOSE },
  [CALLER_LINGERING] = { LIMIT_HEADER, true, CALLER_CLOSE },
};

enum caller_phase
caller_find_phase (const struct caller_view *view)
{
  if (view->has_request)
    return view->is_body_whole ? CALLER_SERVED : CALLER_BODY;
  if (view->close_after)
    return view->unwritten_bytes > 0 ? CALLER_WRITING : CALLER_LINGERING;
  if (view->message_begun && !view->head_done)
    return CALLER_HEAD;
  return view->unwritten_bytes > 0 ? CALLER_WRITING : CALLER_IDLE;
}

void
caller_timer_init (struct caller_timer *timer, int64_t now_ms)
{
  *timer = (struct caller_timer){ .phase = CALLER_IDLE, .since_ms = now_ms };
}

static void
update_timer (struct caller_timer *timer,
              const struct caller_view *view,
              int64_t now_ms)
{
  enum caller_phase phase = caller_find_phase (view);

  if (phase != timer->phase
      || (phases[phase].counts_progress
          && view->sent_bytes_left < timer->sent_bytes_left))
    timer->since_ms = now_ms;
  timer->phase = phase;
  timer->sent_bytes_left = view->sent_bytes_left;
}

enum caller_action
caller_timer_tick (struct caller_timer *timer,
                   const struct caller_view *view,
                   const struct caller_limits *limits,
                   int64_t now_ms)
{
  int64_t limit_ms;

  update_timer (timer, view, now_ms);
  if (limits->stopping && timer->phase == CALLER_IDLE && !view->has_input)
    return CALLER_CLOSE;
  if (phases[timer->phase].limit == LIMIT_NONE)
    return CALLER_KEEP;
  limit_ms = phases[timer->phase].limit == LIMIT_HEADER ? limits->header_ms
                                                        : limits->idle_ms;
  return now_ms - timer->since_ms > limit_ms ? phases[timer->phase].action
                                             : CALLER_KEEP;
}
