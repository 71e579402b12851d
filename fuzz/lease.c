#include "lease.h"
#include "../packages/group/tests/fixture.h"

/*
 * Two or three candidates compete for one lease on a simulated platform with
 * lost responses, delayed writes and outages.  There are two engines: engine 0
 * checks the fencing token and engine 1 ignores it.  The input chooses which
 * candidate runs, how long the others are paused and what happens to each
 * call.  Each candidate has its own clock, with its own offset and up to 10%
 * fast.  The holder acts in small steps like those of plan_compute_steps: it
 * writes its fencing token into the assignment, waits ORDER_MS, reads back
 * which token the engine runs, and sends an order if it is not the holder's.
 * The oracle:
 * - no two candidates may act at the same time;
 * - the platform's fencing token never decreases and each holder has its own;
 * - after the first order of a newer holder, no order of an older one takes
 *   effect, when no pause between check and send is longer than 1.5 s;
 * - in the end both engines run the token of the last assignment.
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
#define DELAYED_WRITE_LIMIT 64
#define ORDER_LIMIT 32
#define ORDER_MS 5000

/* A write that was sent to the platform and arrives later. */
struct delayed_write
{
  bool used;
  struct lease_value value;
  uint64_t version;
  int64_t arrival_ms;
};

/* An order that was sent to an engine and arrives later. */
struct sent_order
{
  bool used;
  unsigned engine;
  uint64_t fence;
  int64_t arrival_ms;
};

struct candidate
{
  struct lease lease;
  char name[8];
  int64_t clock_offset_ms;
  int64_t clock_percent; /* rate of the clock, 100 to 110 */
  int64_t paused_until_ms;
  uint64_t fence;           /* fencing token with which it last acted */
  int64_t fence_since_ms;   /* when it got the fencing token, on its clock */
  int64_t last_order_ms[2]; /* per engine, not on its clock */
};

static struct
{
  const uint8_t *data;
  size_t size;
  int64_t now_ms;
  struct candidate candidates[CANDIDATES];
  unsigned candidate_count;
  struct lease_value value; /* the stored lease */
  uint64_t version;         /* of the stored lease; 0 = none */
  bool outage;              /* the platform rejects all calls */
  struct delayed_write delayed_writes[DELAYED_WRITE_LIMIT];
  struct sent_order orders[ORDER_LIMIT];
  uint64_t assignment_fence;
  uint64_t engine_fence[2];       /* token of the order last executed */
  uint64_t highest_checked_fence; /* highest token that engine 0 received */
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
candidate_clock_ms (const struct candidate *candidate)
{
  return candidate->clock_offset_ms
         + world.now_ms * candidate->clock_percent / 100;
}

/* Executes a conditional write.  Returns true if it took effect. */
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
  for (unsigned i = 0; i < DELAYED_WRITE_LIMIT; i++)
    if (!world.delayed_writes[i].used)
      {
        world.delayed_writes[i]
            = (struct delayed_write){ true, action->value, action->version,
                                      world.now_ms + delay_ms };
        return;
      }
}

static void
complete_write (struct candidate *candidate, const struct lease_action *action)
{
  unsigned outcome = next_byte () % 8;
  int64_t now_ms = candidate_clock_ms (candidate);

  if (world.outage)
    lease_on_write (&candidate->lease, RESULT_PLATFORM_OUTAGE, 0, now_ms);
  else if (outcome == 0)
    lease_on_write (&candidate->lease, RESULT_PLATFORM_LOST_ANSWER, 0, now_ms);
  else if (outcome == 1)
    {
      platform_write (&action->value, action->version);
      lease_on_write (&candidate->lease, RESULT_PLATFORM_LOST_ANSWER, 0,
                      now_ms);
    }
  else if (outcome == 2)
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
complete_read (struct candidate *candidate)
{
  int64_t now_ms = candidate_clock_ms (candidate);

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
send_order (struct candidate *candidate, unsigned engine, int64_t pause_ms)
{
  for (unsigned i = 0; i < ORDER_LIMIT; i++)
    if (!world.orders[i].used)
      {
        int64_t transit_ms = (int64_t)(next_byte () % 50) * 100;

        world.orders[i]
            = (struct sent_order){ true, engine, candidate->fence,
                                   world.now_ms + pause_ms + transit_ms };
        candidate->last_order_ms[engine] = world.now_ms;
        return;
      }
}

static void
act_as_holder (struct candidate *candidate)
{
  int64_t now_ms = candidate_clock_ms (candidate);
  uint64_t fence = lease_fence (&candidate->lease);

  if (!lease_may_act (&candidate->lease, now_ms))
    return;
  if (fence != candidate->fence)
    {
      REQUIRE (fence > candidate->fence);
      candidate->fence = fence;
      candidate->fence_since_ms = now_ms;
      candidate->last_order_ms[0] = INT64_MIN / 2;
      candidate->last_order_ms[1] = INT64_MIN / 2;
    }
  if (world.assignment_fence > fence)
    return; /* the conditional write of the assignment would fail */
  if (world.assignment_fence < fence && world.outage)
    return;
  world.assignment_fence = fence;
  for (unsigned engine = 0; engine < 2; engine++)
    {
      int64_t wait_ms = engine == 0 ? 0 : ORDER_MS;

      if (world.engine_fence[engine] == fence
          || now_ms - candidate->fence_since_ms < wait_ms
          || world.now_ms - candidate->last_order_ms[engine] < ORDER_MS)
        continue;
      /* The holder may be paused between its lease check and the send. */
      send_order (candidate, engine, (int64_t)(next_byte () % 16) * 100);
    }
}

static void
run_candidate (struct candidate *candidate)
{
  struct lease_action action;

  if (world.now_ms < candidate->paused_until_ms)
    return;
  action = lease_tick (&candidate->lease, candidate_clock_ms (candidate));
  if (action.kind == LEASE_READ)
    complete_read (candidate);
  else if (action.kind == LEASE_WRITE)
    {
      /* The candidate may be paused between the send and the response. */
      int64_t pause_ms = (int64_t)(next_byte () % 8) * 500;

      if (pause_ms > 2000)
        {
          candidate->paused_until_ms = world.now_ms + pause_ms;
          delay_write (&action, pause_ms / 2);
          lease_on_write (&candidate->lease, RESULT_PLATFORM_LOST_ANSWER, 0,
                          candidate_clock_ms (candidate));
          return;
        }
      complete_write (candidate, &action);
    }
  act_as_holder (candidate);
}

static void
apply_arrived_writes (void)
{
  for (unsigned i = 0; i < DELAYED_WRITE_LIMIT; i++)
    if (world.delayed_writes[i].used
        && world.now_ms >= world.delayed_writes[i].arrival_ms)
      {
        world.delayed_writes[i].used = false;
        platform_write (&world.delayed_writes[i].value,
                        world.delayed_writes[i].version);
      }
}

static void
apply_arrived_orders (void)
{
  for (unsigned i = 0; i < ORDER_LIMIT; i++)
    {
      struct sent_order *order = &world.orders[i];

      if (!order->used || world.now_ms < order->arrival_ms)
        continue;
      order->used = false;
      if (order->engine == 0)
        {
          if (order->fence < world.highest_checked_fence)
            continue;
          world.highest_checked_fence = order->fence;
        }
      else
        REQUIRE (order->fence >= world.engine_fence[1]);
      world.engine_fence[order->engine] = order->fence;
    }
}

static void
check_single_holder (void)
{
  unsigned holder_count = 0;

  for (unsigned i = 0; i < world.candidate_count; i++)
    if (lease_may_act (&world.candidates[i].lease,
                       candidate_clock_ms (&world.candidates[i])))
      holder_count++;
  REQUIRE (holder_count <= 1);
}

static void
advance_time (int64_t step_ms)
{
  world.now_ms += step_ms;
  apply_arrived_writes ();
  apply_arrived_orders ();
  check_single_holder ();
  for (unsigned i = 0; i < world.candidate_count; i++)
    {
      run_candidate (&world.candidates[i]);
      check_single_holder ();
    }
}

static void
run_event (void)
{
  unsigned kind = next_byte ();
  struct candidate *candidate
      = &world.candidates[next_byte () % world.candidate_count];

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
                        candidate_clock_ms (candidate));
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
  unsigned competing = 0;

  memset (&world, 0, sizeof world);
  world.data = data;
  world.size = size;
  world.candidate_count = 2 + next_byte () % 2;
  lease_settings_init (&settings);
  for (unsigned i = 0; i < world.candidate_count; i++)
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

      run_event ();
      for (unsigned i = 0; i < ticks; i++)
        advance_time (50 + (int64_t)(next_byte () % 20) * 50);
    }
  world.outage = false;
  for (unsigned i = 0; i < world.candidate_count; i++)
    if (!world.candidates[i].lease.releasing)
      competing++;
  /* The input is used up.  All bytes read as 3, so no call is lost any more. */
  for (unsigned i = 0; i < 600; i++)
    {
      static const uint8_t constant_bytes[8] = { 3, 3, 3, 3, 3, 3, 3, 3 };

      world.data = constant_bytes;
      world.size = sizeof constant_bytes;
      advance_time (250);
    }
  if (competing > 0)
    {
      REQUIRE (world.value.holder[0] != '\0');
      REQUIRE (world.assignment_fence == world.value.fence);
      REQUIRE (world.engine_fence[0] == world.assignment_fence);
      REQUIRE (world.engine_fence[1] == world.assignment_fence);
    }
  return 0;
}

/* One run executes a long sequence of operations; fuzz-runs: 2000 */
