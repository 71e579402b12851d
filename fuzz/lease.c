#include "lease.h"
#include "../packages/group/tests/fixture.h"

/*
 * Two or three candidates for one lease over a simulated platform with lost
 * answers, delayed writes and outages, and two engines: one that checks the
 * fencing token and one that ignores it.  The input chooses which candidate
 * runs, for how long the others are paused and what happens to each call.
 * Each candidate has its own clock with its own start, up to 10% fast.  The
 * holder acts by small steps like those of plan_compute_steps: it stamps the
 * token into the assignment, waits ORDER_MS, reads back what the engine runs
 * and orders its own value if that differs.  The oracle:
 * - no two candidates may act at the same time;
 * - the platform's token never falls and each holder has its own;
 * - after the first order of a newer holder, no order of an older one takes
 *   effect, when no pause between check and send is longer than 1.5 s;
 * - in the end both engines run what the last assignment says.
 */

#define REQUIRE(condition)                                                     \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        {                                                                      \
          fprintf (stderr, "violated at %lld ms: %s\n",                        \
                   (long long)world.now_ms, #condition);                       \
          abort ();                                                            \
        }                                                                      \
    }                                                                          \
  while (0)

#define CANDIDATES 3
#define CALLS 64
#define ORDERS 32
#define ORDER_MS 5000

/* A write on its way to the platform. */
struct call
{
  bool used;
  struct lease_value value;
  uint64_t version;
  int64_t lands_ms;
};

struct order
{
  bool used;
  unsigned engine;
  uint64_t fence;
  int64_t lands_ms;
};

struct candidate
{
  struct lease lease;
  char name[8];
  int64_t clock_offset_ms;
  int64_t clock_percent; /* 100 to 110: a clock that may run fast */
  int64_t paused_until_ms;
  uint64_t fence;
  int64_t fence_since_ms;
  int64_t ordered_ms[2];
};

static struct
{
  const uint8_t *data;
  size_t size;
  int64_t now_ms;
  struct candidate candidates[CANDIDATES];
  unsigned count;
  struct lease_value value;
  uint64_t version;
  bool outage;
  struct call calls[CALLS];
  struct order orders[ORDERS];
  uint64_t assignment_fence;
  uint64_t engine_runs[2]; /* the token of the order it carried out last */
  uint64_t engine_highest; /* seen by the engine that checks */
} world;

static unsigned
next_byte (void)
{
  if (world.size == 0)
    return 0;
  world.size--;
  return *world.data++;
}

static int64_t
clock_of (const struct candidate *candidate)
{
  return candidate->clock_offset_ms
         + world.now_ms * candidate->clock_percent / 100;
}

/* Conditional write: true if it took effect. */
static bool
platform_write (const struct lease_value *value, uint64_t version)
{
  if (version != world.version)
    return false;
  REQUIRE (value->fence >= world.value.fence);
  REQUIRE (value->fence > world.value.fence || value->holder[0] == '\0'
           || strcmp (value->holder, world.value.holder) == 0);
  world.value = *value;
  world.version++;
  return true;
}

static void
delay_write (const struct lease_action *action, int64_t delay_ms)
{
  for (unsigned i = 0; i < CALLS; i++)
    if (!world.calls[i].used)
      {
        world.calls[i] = (struct call){ true, action->value, action->version,
                                        world.now_ms + delay_ms };
        return;
      }
}

static void
answer_write (struct candidate *candidate, const struct lease_action *action)
{
  unsigned fate = next_byte () % 8;
  int64_t now_ms = clock_of (candidate);

  if (world.outage)
    lease_on_write (&candidate->lease, RESULT_PLATFORM_OUTAGE, 0, now_ms);
  else if (fate == 0)
    lease_on_write (&candidate->lease, RESULT_PLATFORM_LOST_ANSWER, 0, now_ms);
  else if (fate == 1)
    {
      platform_write (&action->value, action->version);
      lease_on_write (&candidate->lease, RESULT_PLATFORM_LOST_ANSWER, 0,
                      now_ms);
    }
  else if (fate == 2)
    {
      delay_write (action, (int64_t)next_byte () * 100);
      lease_on_write (&candidate->lease, RESULT_PLATFORM_LOST_ANSWER, 0,
                      now_ms);
    }
  else if (platform_write (&action->value, action->version))
    lease_on_write (&candidate->lease, RESULT_OK, world.version, now_ms);
  else
    lease_on_write (&candidate->lease, RESULT_PLATFORM_CONFLICT, 0, now_ms);
}

static void
answer_read (struct candidate *candidate)
{
  int64_t now_ms = clock_of (candidate);

  if (world.outage)
    lease_on_read (&candidate->lease, RESULT_PLATFORM_OUTAGE, NULL, 0, now_ms);
  else if (world.version == 0)
    lease_on_read (&candidate->lease, RESULT_PLATFORM_NOT_FOUND, NULL, 0,
                   now_ms);
  else
    lease_on_read (&candidate->lease, RESULT_OK, &world.value, world.version,
                   now_ms);
}

static void
send_order (struct candidate *candidate, unsigned engine, int64_t slip_ms)
{
  for (unsigned i = 0; i < ORDERS; i++)
    if (!world.orders[i].used)
      {
        int64_t flight_ms = (int64_t)(next_byte () % 50) * 100;

        world.orders[i] = (struct order){ true, engine, candidate->fence,
                                          world.now_ms + slip_ms + flight_ms };
        candidate->ordered_ms[engine] = world.now_ms;
        return;
      }
}

static void
act (struct candidate *candidate)
{
  int64_t now_ms = clock_of (candidate);
  uint64_t fence = lease_fence (&candidate->lease);

  if (!lease_may_act (&candidate->lease, now_ms))
    return;
  if (fence != candidate->fence)
    {
      REQUIRE (fence > candidate->fence);
      candidate->fence = fence;
      candidate->fence_since_ms = now_ms;
      candidate->ordered_ms[0] = INT64_MIN / 2;
      candidate->ordered_ms[1] = INT64_MIN / 2;
    }
  if (world.assignment_fence > fence)
    return; /* the conditional write of the assignment would fail */
  if (world.assignment_fence < fence && world.outage)
    return;
  world.assignment_fence = fence;
  for (unsigned engine = 0; engine < 2; engine++)
    {
      int64_t wait_ms = engine == 0 ? 0 : ORDER_MS;

      if (world.engine_runs[engine] == fence
          || now_ms - candidate->fence_since_ms < wait_ms
          || world.now_ms - candidate->ordered_ms[engine] < ORDER_MS)
        continue;
      /* The pause between the check of the lease and the sending. */
      send_order (candidate, engine, (int64_t)(next_byte () % 16) * 100);
    }
}

static void
run_candidate (struct candidate *candidate)
{
  struct lease_action action;

  if (world.now_ms < candidate->paused_until_ms)
    return;
  action = lease_tick (&candidate->lease, clock_of (candidate));
  if (action.kind == LEASE_READ)
    answer_read (candidate);
  else if (action.kind == LEASE_WRITE)
    {
      /* A pause between the sending and the answer. */
      int64_t pause_ms = (int64_t)(next_byte () % 8) * 500;

      if (pause_ms > 2000)
        {
          candidate->paused_until_ms = world.now_ms + pause_ms;
          delay_write (&action, pause_ms / 2);
          lease_on_write (&candidate->lease, RESULT_PLATFORM_LOST_ANSWER, 0,
                          clock_of (candidate));
          return;
        }
      answer_write (candidate, &action);
    }
  act (candidate);
}

static void
land_calls (void)
{
  for (unsigned i = 0; i < CALLS; i++)
    if (world.calls[i].used && world.now_ms >= world.calls[i].lands_ms)
      {
        world.calls[i].used = false;
        platform_write (&world.calls[i].value, world.calls[i].version);
      }
}

static void
land_orders (void)
{
  for (unsigned i = 0; i < ORDERS; i++)
    {
      struct order *order = &world.orders[i];

      if (!order->used || world.now_ms < order->lands_ms)
        continue;
      order->used = false;
      if (order->engine == 0)
        {
          if (order->fence < world.engine_highest)
            continue;
          world.engine_highest = order->fence;
        }
      else
        REQUIRE (order->fence >= world.engine_runs[1]);
      world.engine_runs[order->engine] = order->fence;
    }
}

static void
check_one_holder (void)
{
  unsigned acting = 0;

  for (unsigned i = 0; i < world.count; i++)
    if (lease_may_act (&world.candidates[i].lease,
                       clock_of (&world.candidates[i])))
      acting++;
  REQUIRE (acting <= 1);
}

static void
advance (int64_t step_ms)
{
  world.now_ms += step_ms;
  land_calls ();
  land_orders ();
  check_one_holder ();
  for (unsigned i = 0; i < world.count; i++)
    {
      run_candidate (&world.candidates[i]);
      check_one_holder ();
    }
}

static void
event (void)
{
  unsigned kind = next_byte ();
  struct candidate *candidate = &world.candidates[next_byte () % world.count];

  switch (kind % 8)
    {
    case 0:
      candidate->paused_until_ms = world.now_ms + (int64_t)next_byte () * 200;
      break;
    case 1:
      world.outage = !world.outage;
      break;
    case 2:
      lease_set_rank (&candidate->lease, next_byte () % 3);
      break;
    case 3:
      if (world.version > 0 && !world.outage)
        lease_on_watch (&candidate->lease, &world.value, world.version,
                        clock_of (candidate));
      break;
    case 4:
      if (kind >= 240)
        lease_release (&candidate->lease);
      break;
    default:
      break;
    }
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct lease_settings settings;
  unsigned live = 0;

  memset (&world, 0, sizeof world);
  world.data = data;
  world.size = size;
  world.count = 2 + next_byte () % 2;
  lease_settings_init (&settings);
  for (unsigned i = 0; i < world.count; i++)
    {
      struct candidate *candidate = &world.candidates[i];

      snprintf (candidate->name, sizeof candidate->name, "c%u", i);
      candidate->clock_offset_ms = (int64_t)next_byte () * 100000;
      candidate->clock_percent = 100 + next_byte () % 11;
      lease_init (&candidate->lease, &settings, candidate->name, i);
    }
  while (world.size > 0)
    {
      unsigned ticks = 1 + next_byte () % 16;

      event ();
      for (unsigned i = 0; i < ticks; i++)
        advance (50 + (int64_t)(next_byte () % 20) * 50);
    }
  world.outage = false;
  for (unsigned i = 0; i < world.count; i++)
    if (!world.candidates[i].lease.releasing)
      live++;
  /* The input is used up: calls are lost no more, bytes read as 3. */
  for (unsigned i = 0; i < 600; i++)
    {
      static const uint8_t calm[8] = { 3, 3, 3, 3, 3, 3, 3, 3 };

      world.data = calm;
      world.size = sizeof calm;
      advance (250);
    }
  if (live > 0)
    {
      REQUIRE (world.value.holder[0] != '\0');
      REQUIRE (world.assignment_fence == world.value.fence);
      REQUIRE (world.engine_runs[0] == world.assignment_fence);
      REQUIRE (world.engine_runs[1] == world.assignment_fence);
    }
  return 0;
}

/* Each run plays a long history; fuzz-runs: 2000 */
