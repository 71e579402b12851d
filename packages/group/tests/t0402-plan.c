#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fixture.h"
#include "history.h"
#include "lease.h"
#include "placement.h"
#include "plan.h"

#define TEXT_SIZE 2048

/*
 * Each case plays a sequence of ticks, responses and faults and compares the
 * steps of every tick with the expected ones; it names the failure that it
 * guards against.
 *
 * The data centre dc has one domain a with four hosts, and the sheet has the
 * spec s: one group of span 2.  Hosts answer every probe unless silent.
 */
enum step_kind
{
  END,
  NEXT,  /* one tick at time_ms; expects text: "read;", "write FENCE NUMBER;",
            "OP HOST;" */
  LEASE, /* number = fence, time_ms = end of validity */
  READ,  /* response to the read of the assignment */
  WRITE, /* response to the write; on RESULT_OK it is applied */
  WRITE_RESPONSE_LOST, /* the write took effect and its response was lost */
  ORDER,               /* response to the order to a host */
  EXECUTE,             /* the host executes the last order to it */
  SILENT,              /* the host stops answering probes */
  RESPONDS,            /* the host answers probes again */
  REBOOT,              /* the engine of the host restarts */
  IGNORE_FENCE,        /* the engines do not check the fencing token */
  ADAPTERS,            /* the sheet's adapters change to text */
  VERSION,             /* the sheet's version changes to text */
  DROP_SPEC,           /* the sheet drops the spec */
  NEW_PLAN,            /* another process takes over: empty plan, same inputs */
  LIMIT,               /* number = concurrent loads that fetch weights */
  OTHER_WRITES, /* another holder wrote the assignment with fence number */
  PREFETCH,     /* number = prefetch limit; 0 until this step */
  SPEC,        /* the sheet gets another spec: one group of span 1, version 2 */
  LEAVING,     /* the host list says that the host is leaving */
  LOSE_HISTORY /* the observed history is lost, as in a restart */
};

struct step
{
  enum step_kind kind;
  int64_t time_ms;
  const char *text;
  enum result result;
  uint64_t number;
};

struct plan_case
{
  const char *guarded_failure;
  struct step steps[48];
};

#define STARTED(fence)                                                         \
  { LEASE, 900000, NULL, RESULT_OK, fence }, { NEXT, 20000, "read;" },         \
  {                                                                            \
    READ, 20000, NULL, RESULT_PLATFORM_UNCHANGED                               \
  }
/* The group is formed, loaded and serves from time 21000 on. */
#define FORMED                                                                 \
  STARTED (1), { NEXT, 20000, "write 1 1;" }, { WRITE, 20000 },                \
      { NEXT, 20100, "write 1 2;" }, { WRITE, 20100 },                         \
      { NEXT, 20200, "load a-0;load a-1;" }, { EXECUTE, 20200, "a-0" },        \
      { EXECUTE, 20200, "a-1" }, { ORDER, 20300, "a-0" },                      \
      { ORDER, 20300, "a-1" },                                                 \
  {                                                                            \
    NEXT, 31000, ""                                                            \
  }

static const struct plan_case cases[] = {
  { "the assignment changes before the fencing token is written",
    { STARTED (7),
      { NEXT, 20000, "write 7 1;" },
      { NEXT, 20050, "" },
      { WRITE, 20100 },
      { NEXT, 20100, "write 7 2;" },
      { NEXT, 20150, "" },
      { WRITE, 20200 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { NEXT, 20250, "" } } },
  { "a step is sent after the lease expired",
    { { LEASE, 20100, NULL, RESULT_OK, 1 },
      { NEXT, 20000, "read;" },
      { READ, 20000, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 20099, "write 1 1;" },
      { WRITE, 20100 },
      { NEXT, 20100, "" },
      { NEXT, 30000, "" } } },
  { "an order is sent while the assignment write has no response",
    { FORMED,
      { VERSION, 31000, "2" },
      { NEXT, 31000, "write 1 3;" }, /* draining */
      { REBOOT, 31000, "a-1" },
      { NEXT, 33000, "" } } },
  { "an order with a lost response is repeated while it may take effect",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { ORDER, 20300, "a-0", RESULT_ORDER_LOST },
      { NEXT, 25199, "" },
      { NEXT, 25200, "load a-0;load a-1;" } } },
  { "an order is repeated although the attestation shows its effect",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { EXECUTE, 20200, "a-0" },
      { ORDER, 20300, "a-0", RESULT_ORDER_LOST },
      { NEXT, 25200, "load a-1;" } } },
  { "an order follows an attestation older than the end of a lost order",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { ORDER, 20300, "a-0", RESULT_ORDER_LOST },
      { NEXT, 24500, "" },
      { SILENT, 24500, "a-0" },
      { NEXT, 25300, "load a-1;" },
      { RESPONDS, 25300, "a-0" },
      { NEXT, 25400, "load a-0;" } } },
  { "an engine that ignores tokens gets an order while an old one may act",
    { { IGNORE_FENCE },
      STARTED (3),
      { NEXT, 20000, "write 3 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 3 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "" },
      { NEXT, 24999, "" },
      { NEXT, 25000, "load a-0;load a-1;" } } },
  { "an engine that ignores tokens gets an order without a fresh attestation",
    { { IGNORE_FENCE },
      STARTED (3),
      { NEXT, 20000, "write 3 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 3 2;" },
      { WRITE, 20100 },
      { NEXT, 24500, "" },
      { SILENT, 24500, "a-0" },
      { NEXT, 25100, "load a-1;" },
      { RESPONDS, 25100, "a-0" },
      { NEXT, 25200, "load a-0;" } } },
  { "more loads than the limit fetch weights at the same time",
    { { LIMIT, 0, NULL, RESULT_OK, 1 },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;" },
      { EXECUTE, 20200, "a-0" },
      { ORDER, 20300, "a-0" },
      { NEXT, 23000, "" },
      { NEXT, 80000, "" },
      { NEXT, 80300, "load a-1;" } } },
  { "a write with a lost response is repeated although it took effect",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE_RESPONSE_LOST, 20000 },
      { NEXT, 20100, "read;" },
      { READ, 20100 },
      { NEXT, 20200, "write 1 2;" } } },
  { "a write with a lost response counts as done although it failed",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000, NULL, RESULT_PLATFORM_LOST_ANSWER },
      { NEXT, 20100, "read;" },
      { READ, 20100, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 20200, "write 1 1;" } } },
  { "a failed read counts as the current assignment",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000, NULL, RESULT_PLATFORM_CONFLICT },
      { NEXT, 20100, "read;" },
      { NEXT, 20150, "" },
      { READ, 20200, NULL, RESULT_PLATFORM_OUTAGE },
      { NEXT, 20300, "" },
      { NEXT, 21200, "read;" } } },
  { "each tick repeats a write during an outage of the platform",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000, NULL, RESULT_PLATFORM_OUTAGE },
      { NEXT, 20500, "" },
      { NEXT, 21000, "write 1 1;" } } },
  { "a holder acts after a newer holder has written its fencing token",
    { FORMED,
      { OTHER_WRITES, 31000, NULL, RESULT_OK, 2 },
      { REBOOT, 31000, "a-1" },
      { NEXT, 31000, "read;" },
      { READ, 31000, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 31100, "read;" } } },
  { "a refused order is repeated without a growing delay",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { ORDER, 20200, "a-0", RESULT_ORDER_FAILED },
      { NEXT, 21100, "" },
      { NEXT, 21200, "load a-0;" },
      { ORDER, 21200, "a-0", RESULT_ORDER_FAILED },
      { NEXT, 23100, "" },
      { NEXT, 23200, "load a-0;" } } },
  { "a holder whose order was fenced acts before it reads the assignment",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { ORDER, 20200, "a-0", RESULT_ORDER_FENCED },
      { NEXT, 20300, "read;" } } },
  { "a change of adapters loads the whole model again",
    { FORMED,
      { ADAPTERS, 31000, "x;y" },
      { NEXT, 31000, "write 1 3;" }, /* draining */
      { WRITE, 31000 },
      { NEXT, 33000, "" },
      { NEXT, 36000, "write 1 4;" },
      { WRITE, 36000 },
      { NEXT, 36100, "adapters a-0;adapters a-1;" },
      { EXECUTE, 36100, "a-0" },
      { EXECUTE, 36100, "a-1" },
      { ORDER, 36200, "a-0" },
      { ORDER, 36200, "a-1" },
      { NEXT, 39000, "" } } },
  { "a member that got no order for new adapters keeps the old ones",
    { FORMED,
      { ADAPTERS, 31000, "x" },
      { NEXT, 31000, "write 1 3;" },
      { WRITE, 31000 },
      { NEXT, 36000, "write 1 4;" },
      { WRITE, 36000 },
      { NEXT, 36100, "adapters a-0;adapters a-1;" },
      { EXECUTE, 36100, "a-0" },
      { ORDER, 36200, "a-0" },
      { ORDER, 36200, "a-1", RESULT_ORDER_FAILED },
      { NEXT, 40000, "load a-1;" } } },
  { "an order without a load follows a late load of the previous holder",
    { FORMED,
      { VERSION, 31000, "2" },
      { NEXT, 31000, "write 1 3;" }, /* draining */
      { WRITE, 31000 },
      { NEXT, 36000, "write 1 4;" },
      { WRITE, 36000 },
      { NEXT, 36100, "load a-0;load a-1;" },
      { NEW_PLAN },
      { LEASE, 900000, NULL, RESULT_OK, 2 },
      { VERSION, 36200, "1" },
      { ADAPTERS, 36200, "x" },
      { NEXT, 36200, "read;" },
      { READ, 36200, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 36200, "write 2 5;" },
      { WRITE, 36200 },
      { NEXT, 36300, "write 2 6;" },
      { WRITE, 36300 },
      { NEXT, 36400, "" },
      { EXECUTE, 36500, "a-1" },
      { NEXT, 37000, "load a-0;load a-1;" } } },
  { "after a takeover a change of adapters loads the whole model, or never "
    "ends",
    { FORMED,
      { ADAPTERS, 31000, "x" },
      { NEXT, 31000, "write 1 3;" }, /* draining */
      { WRITE, 31000 },
      { NEW_PLAN },
      { LEASE, 900000, NULL, RESULT_OK, 2 },
      { NEXT, 35500, "read;" },
      { READ, 35500, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 35500, "write 2 4;" },
      { WRITE, 35500 },
      { NEXT, 36000, "write 2 5;" },
      { WRITE, 36000 },
      { NEXT, 36100, "" },
      { NEXT, 40499, "" },
      { NEXT, 40500, "adapters a-0;adapters a-1;" } } },
  { "an order without a load follows a load whose answer was lost",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { EXECUTE, 20200, "a-0" },
      { ORDER, 20300, "a-0", RESULT_ORDER_LOST },
      { EXECUTE, 20200, "a-1" },
      { ORDER, 20300, "a-1" },
      { NEXT, 31000, "" },
      { ADAPTERS, 31000, "x" },
      { NEXT, 31000, "write 1 3;" }, /* draining */
      { WRITE, 31000 },
      { NEXT, 36000, "write 1 4;" },
      { WRITE, 36000 },
      { NEXT, 36100, "load a-0;adapters a-1;" } } },
  { "a host that belongs to no group gets no release order",
    { FORMED,
      { DROP_SPEC, 31000 },
      { NEXT, 31000, "write 1 3;" },
      { WRITE, 31000 },
      { NEXT, 36000, "write 1 4;" },
      { WRITE, 36000 },
      { NEXT, 36100, "release a-0;release a-1;" },
      { EXECUTE, 36100, "a-0" },
      { EXECUTE, 36100, "a-1" },
      { ORDER, 36200, "a-0" },
      { ORDER, 36200, "a-1" },
      { NEXT, 39000, "" } } },
  { "a restarted member is not loaded again, or all members are",
    { FORMED,
      { REBOOT, 31000, "a-1" },
      { NEXT, 31000, "load a-1;" },
      { EXECUTE, 31000, "a-1" },
      { ORDER, 31000, "a-1" },
      { NEXT, 35000, "" } } },
  { "a new holder repeats the loads of the old one",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { EXECUTE, 20200, "a-0" },
      { NEW_PLAN },
      { LEASE, 900000, NULL, RESULT_OK, 2 },
      { NEXT, 30000, "read;" },
      { READ, 30000, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 30000, "write 2 3;" },
      { WRITE, 30000 },
      { NEXT, 30100, "load a-1;" } } },
  { "an order that is never reported blocks its host for ever",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { NEXT, 25100, "" },
      { NEXT, 25200, "load a-0;load a-1;" } } },
  { "a spare gets no weights, or is ordered to load them a second time",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { EXECUTE, 31000, "a-2" },
      { ORDER, 31100, "a-2" },
      { EXECUTE, 31000, "a-3" },
      { ORDER, 31100, "a-3" },
      { NEXT, 35000, "" },
      { NEXT, 45000, "" } } },
  { "a new holder without history repeats the loads of spares",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { EXECUTE, 31000, "a-2" },
      { NEW_PLAN },
      { LOSE_HISTORY },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { LEASE, 900000, NULL, RESULT_OK, 2 },
      { NEXT, 36000, "read;" },
      { READ, 36000, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 36000, "write 2 3;" },
      { WRITE, 36000 },
      { NEXT, 36100, "load a-3;" },
      { EXECUTE, 36100, "a-3" },
      { ORDER, 36100, "a-3" },
      { NEXT, 60000, "" } } },
  { "prefetches use up the load limit that members need",
    { { LIMIT, 0, NULL, RESULT_OK, 2 },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { EXECUTE, 20200, "a-0" },
      { EXECUTE, 20200, "a-1" },
      { ORDER, 20300, "a-0" },
      { ORDER, 20300, "a-1" },
      { NEXT, 25000, "" },
      { NEXT, 31000, "load a-2;" },
      { EXECUTE, 31000, "a-2" },
      { ORDER, 31000, "a-2" },
      { NEXT, 35000, "" },
      { NEXT, 42000, "load a-3;" } } },
  { "more spares prefetch at the same time than prefetch_limit",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 1 },
      { NEXT, 31000, "load a-2;" },
      { NEXT, 31100, "" },
      { EXECUTE, 31100, "a-2" },
      { ORDER, 31100, "a-2" },
      { NEXT, 35000, "" },
      { NEXT, 42000, "load a-3;" } } },
  { "a host of a group that is not written yet counts as a spare",
    { { PREFETCH, 0, NULL, RESULT_OK, 8 },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100, NULL, RESULT_PLATFORM_OUTAGE },
      { NEXT, 20200, "load a-2;load a-3;" } } },
  { "a spare is ordered to alternate between two versions",
    { { SPEC, 0, "t" },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;load a-2;" },
      { EXECUTE, 20200, "a-0" },
      { EXECUTE, 20200, "a-1" },
      { EXECUTE, 20200, "a-2" },
      { ORDER, 20300, "a-0" },
      { ORDER, 20300, "a-1" },
      { ORDER, 20300, "a-2" },
      { NEXT, 85000, "" },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 85100, "load a-3;" },
      { EXECUTE, 85100, "a-3" },
      { ORDER, 85100, "a-3" },
      { NEXT, 90000, "" },
      { NEXT, 160000, "" } } },
  { "a leaving host gets weights",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { LEAVING, 31000, "a-2" },
      { NEXT, 31000, "load a-3;" } } },
  { "a flapping host gets weights during its hold-off, or never again",
    { FORMED,
      { SILENT, 31000, "a-2" },
      { NEXT, 35000, "" },
      { RESPONDS, 35000, "a-2" },
      { NEXT, 36000, "" },
      { SILENT, 36000, "a-2" },
      { NEXT, 40000, "" },
      { RESPONDS, 40000, "a-2" },
      { NEXT, 41000, "" },
      { SILENT, 41000, "a-2" },
      { NEXT, 45000, "" },
      { RESPONDS, 45000, "a-2" },
      { NEXT, 46000, "" },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 46100, "load a-3;" },
      { EXECUTE, 46100, "a-3" },
      { ORDER, 46100, "a-3" },
      { NEXT, 200000, "load a-2;" } } },
  { "a spare with weights cannot join a group or be released from one",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { EXECUTE, 31000, "a-2" },
      { ORDER, 31000, "a-2" },
      { EXECUTE, 31000, "a-3" },
      { ORDER, 31000, "a-3" },
      { NEXT, 42000, "" },
      { SILENT, 42000, "a-1" },
      { NEXT, 70000, "write 1 3;" },
      { WRITE, 70000 },
      { NEXT, 70100, "load a-0;load a-2;" },
      { EXECUTE, 70100, "a-0" },
      { ORDER, 70100, "a-0" },
      { EXECUTE, 70100, "a-2" },
      { ORDER, 70100, "a-2" },
      { NEXT, 85000, "" },
      { DROP_SPEC, 85000 },
      { NEXT, 85000, "write 1 4;" },
      { WRITE, 85000 },
      { NEXT, 92000, "write 1 5;" },
      { WRITE, 92000 },
      { NEXT, 92100, "release a-0;release a-2;" } } },
  { "spares keep the weights of a version that no group runs any more",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { EXECUTE, 31000, "a-2" },
      { ORDER, 31000, "a-2" },
      { EXECUTE, 31000, "a-3" },
      { ORDER, 31000, "a-3" },
      { NEXT, 42000, "" },
      { VERSION, 42000, "2" },
      { NEXT, 42000, "write 1 3;" },
      { WRITE, 42000 },
      { NEXT, 49000, "write 1 4;" },
      { WRITE, 49000 },
      { NEXT, 49100, "load a-0;load a-1;load a-2;load a-3;" } } },
};

struct test_env
{
  struct sheet sheet;
  struct fleet fleet;
  struct history history;
  struct placement placement;
  struct placement_settings settings;
  struct plan plan;
  struct plan_settings plan_settings;
  struct plan_steps steps;
  json_t *written; /* the last assignment that the plan wrote */
  struct plan_order last_orders[4]; /* the last order to each host */
  struct engine engines[4];
  bool silent[4];
  struct lease lease;
  int64_t observed_ms;
};

static const char *const host_names[4] = { "a-0", "a-1", "a-2", "a-3" };

static int
host_index (const char *name)
{
  return name[2] - '0';
}

static void
start_history (struct test_env *env)
{
  struct history_settings settings;

  history_settings_init (&settings);
  history_init (&env->history, &settings, "dc");
}

static void
start_env (struct test_env *env)
{
  memset (env, 0, sizeof *env);
  sheet_init (&env->sheet);
  fleet_init (&env->fleet);
  placement_init (&env->placement);
  placement_settings_init (&env->settings);
  start_history (env);
  plan_settings_init (&env->plan_settings);
  /* Only cases with PREFETCH load weights on spares. */
  env->plan_settings.prefetch_limit = 0;
  plan_init (&env->plan, &env->plan_settings, "dc", "self");
  plan_steps_init (&env->steps);
  fixture_add_spec (&env->sheet, "s", 2, 1, "dc", "*", "*", "1");
  for (int i = 0; i < 4; i++)
    {
      fixture_add_host (&env->fleet, host_names[i], "dc", "a");
      engine_boot (&env->engines[i], host_names[i]);
    }
}

static void
finish_env (struct test_env *env)
{
  json_decref (env->written);
  plan_steps_finish (&env->steps);
  plan_finish (&env->plan);
  placement_finish (&env->placement);
  history_finish (&env->history);
  fleet_finish (&env->fleet);
  sheet_finish (&env->sheet);
}

/* Runs the engines, probes the hosts and observes them up to a moment. */
static void
advance_time (struct test_env *env, int64_t to_ms)
{
  while (env->observed_ms < to_ms)
    {
      env->observed_ms += 500;
      if (env->observed_ms > to_ms)
        env->observed_ms = to_ms;
      for (int i = 0; i < 4; i++)
        {
          engine_tick (&env->engines[i], env->observed_ms);
          if (!env->silent[i])
            engine_attest (&env->engines[i],
                           fleet_find_host (&env->fleet, host_names[i]),
                           env->observed_ms);
        }
      assert_int_equal (
          history_observe (&env->history, &env->fleet, env->observed_ms),
          RESULT_OK);
    }
}

static void
check_next (struct test_env *env, const struct step *step)
{
  struct placement_input input = { .sheet = &env->sheet,
                                   .fleet = &env->fleet,
                                   .history = &env->history,
                                   .settings = &env->settings,
                                   .data_centre = "dc",
                                   .now_ms = step->time_ms };
  char text[TEXT_SIZE] = "";
  size_t used = 0;

  advance_time (env, step->time_ms);
  assert_int_equal (placement_compute (&env->placement, &input), RESULT_OK);
  assert_int_equal (plan_compute_steps (&env->plan, &env->lease, &env->fleet,
                                        &env->placement, &env->history,
                                        step->time_ms, &env->steps),
                    RESULT_OK);
  if (env->steps.read_assignment)
    used += (size_t)snprintf (text + used, TEXT_SIZE - used, "read;");
  if (env->steps.write_assignment)
    {
      json_decref (env->written);
      env->written = fleet_assignment_to_json (&env->steps.assignment, "dc");
      used += (size_t)snprintf (
          text + used, TEXT_SIZE - used, "write %llu %llu;",
          (unsigned long long)env->steps.assignment.assignment_fence,
          (unsigned long long)env->steps.assignment.assignment_number);
    }
  for (size_t i = 0; i < env->steps.order_count; i++)
    {
      const struct plan_order *order = &env->steps.orders[i];

      assert_int_equal (order->fence, env->lease.value.fence);
      /* A prefetch order must not name a group. */
      if (order->op == PLAN_LOAD && order->group.id[0] == '\0')
        {
          assert_int_equal (order->group.generation, 0);
          assert_int_equal (order->group.member_count, 0);
          assert_string_equal (order->group.model, "model");
          assert_string_equal (order->group.version,
                               env->sheet.groups[0].version);
        }
      env->last_orders[host_index (order->host)] = *order;
      used += (size_t)snprintf (text + used, TEXT_SIZE - used, "%s %s;",
                                plan_op_name (order->op), order->host);
    }
  assert_string_equal (text, step->text);
}

static void
run_step (struct test_env *env, const struct step *step)
{
  int host = step->text != NULL && step->text[0] == 'a' && step->text[1] == '-'
                 ? host_index (step->text)
                 : 0;

  switch (step->kind)
    {
    case NEXT:
      check_next (env, step);
      break;
    case LEASE:
      env->lease.phase = LEASE_HOLDING;
      env->lease.value.fence = step->number;
      env->lease.valid_until_ms = step->time_ms;
      break;
    case READ:
      plan_on_read (&env->plan, step->result, step->time_ms);
      break;
    case WRITE:
      if (step->result == RESULT_OK)
        assert_int_equal (
            fleet_apply_assignment (&env->fleet, "dc", env->written),
            RESULT_OK);
      plan_on_write (&env->plan, step->result, step->time_ms);
      break;
    case WRITE_RESPONSE_LOST:
      assert_int_equal (
          fleet_apply_assignment (&env->fleet, "dc", env->written), RESULT_OK);
      plan_on_write (&env->plan, RESULT_PLATFORM_LOST_ANSWER, step->time_ms);
      break;
    case ORDER:
      plan_on_order (&env->plan, step->text, env->last_orders[host].order_id,
                     step->result, step->time_ms);
      break;
    case EXECUTE:
      engine_handle_order (&env->engines[host], true, &env->last_orders[host],
                           step->time_ms, 60000, 10000);
      if (strcmp (env->last_orders[host].group.version, "1") == 0
          && env->plan_settings.load_limit != 1
          && env->engines[host].attestation.state == FLEET_ENGINE_LOADING)
        env->engines[host].ready_ms = step->time_ms + 10000;
      break;
    case SILENT:
    case RESPONDS:
      env->silent[host] = step->kind == SILENT;
      break;
    case REBOOT:
      engine_boot (&env->engines[host], step->text);
      engine_attest (&env->engines[host],
                     fleet_find_host (&env->fleet, step->text), step->time_ms);
      break;
    case IGNORE_FENCE:
      for (int i = 0; i < 4; i++)
        fleet_find_host (&env->fleet, host_names[i])->checks_fence = false;
      break;
    case ADAPTERS:
      fixture_append_names (&env->sheet.groups[0].adapters, step->text);
      break;
    case VERSION:
      snprintf (env->sheet.groups[0].version, SHEET_NAME_SIZE, "%s",
                step->text);
      break;
    case DROP_SPEC:
      env->sheet.groups[0].count = 0;
      break;
    case NEW_PLAN:
      plan_finish (&env->plan);
      plan_init (&env->plan, &env->plan_settings, "dc", "other");
      break;
    case LIMIT:
      env->plan_settings.load_limit = (unsigned)step->number;
      plan_finish (&env->plan);
      plan_init (&env->plan, &env->plan_settings, "dc", "self");
      break;
    case OTHER_WRITES:
      env->fleet.assignment_fence = step->number;
      env->fleet.assignment_number++;
      break;
    case PREFETCH:
      env->plan_settings.prefetch_limit = (unsigned)step->number;
      env->plan.settings.prefetch_limit = (unsigned)step->number;
      break;
    case SPEC:
      fixture_add_spec (&env->sheet, step->text, 1, 1, "dc", "*", "*", "2");
      break;
    case LEAVING:
      fleet_find_host (&env->fleet, step->text)->listed_leaving = true;
      break;
    case LOSE_HISTORY:
      history_finish (&env->history);
      start_history (env);
      break;
    case END:
      break;
    }
}

static void
test_plan_cases (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct test_env *env = calloc (1, sizeof *env);

      assert_non_null (env);
      print_message ("guards against: %s\n", cases[i].guarded_failure);
      start_env (env);
      for (const struct step *step = cases[i].steps; step->kind != END; step++)
        run_step (env, step);
      finish_env (env);
      free (env);
    }
}

/* An engine must find every field of the order in the body. */
static void
test_order_body (void **state)
{
  struct plan_order order = { .op = PLAN_LOAD, .fence = 3, .rank = 1 };
  json_t *json;
  json_t *expected;

  (void)state;
  snprintf (order.order_id, sizeof order.order_id, "x.3.1");
  snprintf (order.group.id, sizeof order.group.id, "s.dc.0");
  snprintf (order.group.model, sizeof order.group.model, "m");
  snprintf (order.group.version, sizeof order.group.version, "1");
  snprintf (order.group.adapters, sizeof order.group.adapters, "p;q");
  order.group.generation = 9;
  order.group.span = 2;
  order.group.member_count = 2;
  snprintf (order.group.members[0], FLEET_NAME_SIZE, "a-0");
  snprintf (order.group.members[1], FLEET_NAME_SIZE, "a-1");
  json = plan_order_to_json (&order);
  expected = json_loads (
      "{\"fence\":3,\"order_id\":\"x.3.1\",\"op\":\"load\",\"group\":"
      "\"s.dc.0\",\"generation\":9,\"rank\":1,\"span\":2,\"members\":"
      "[\"a-0\",\"a-1\"],\"model\":\"m\",\"version\":\"1\",\"adapters\":"
      "[\"p\",\"q\"],\"role\":\"\"}",
      0, NULL);
  assert_true (json_equal (json, expected));
  json_decref (json);
  json_decref (expected);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plan_cases),
    cmocka_unit_test (test_order_body),
  };

  return cmocka_run_group_tests_name ("plan", tests, NULL, NULL);
}
