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
 * One data centre dc with the domain a of four hosts and the spec s, one
 * group of span 2.  Hosts answer probes all the time unless silent.
 */
enum step_kind
{
  END,
  NEXT,     /* time: one tick; expects text: "read;", "write FENCE NUMBER;",
               "OP HOST;" */
  LEASE,    /* number = fence, time = valid until */
  READ,     /* answer of the read of the assignment */
  WRITE,    /* answer of the write; on RESULT_OK it is applied */
  LANDED,   /* the write took effect and its answer was lost */
  ORDER,    /* answer of the order to a host */
  RUN,      /* the host carries the last order to it out, at a time */
  SILENT,   /* the host stops answering */
  TALKS,    /* it answers again */
  REBOOT,   /* the engine of the host restarts */
  UNFENCED, /* the engines do not check the fencing token */
  ADAPTERS, /* the sheet's adapters change to text */
  VERSION,  /* the sheet's version changes to text */
  NO_SPEC,  /* the sheet drops the spec */
  NEW_PLAN, /* another process takes over: empty plan, same inputs */
  LIMIT,    /* number = loads at the same time */
  BY_OTHER, /* another holder wrote the assignment with fence number */
  PREFETCH, /* number = prefetch limit; it is 0 before */
  SPEC,     /* the sheet gets another spec: one group of span 1, version 2 */
  LEAVING,  /* the host list says that the host is leaving */
  FORGET    /* the observed history is lost, as in a process that starts */
};

struct step
{
  enum step_kind kind;
  int64_t time;
  const char *text;
  enum result result;
  uint64_t number;
};

struct plan_case
{
  const char *guards; /* the failure that the case guards against */
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
      { NEXT, 20200, "load a-0;load a-1;" }, { RUN, 20200, "a-0" },            \
      { RUN, 20200, "a-1" }, { ORDER, 20300, "a-0" }, { ORDER, 20300, "a-1" }, \
  {                                                                            \
    NEXT, 31000, ""                                                            \
  }

static const struct plan_case cases[] = {
  { "the token is not stamped before the assignment changes",
    { STARTED (7),
      { NEXT, 20000, "write 7 1;" },
      { NEXT, 20050, "" },
      { WRITE, 20100 },
      { NEXT, 20100, "write 7 2;" },
      { NEXT, 20150, "" },
      { WRITE, 20200 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { NEXT, 20250, "" } } },
  { "a step is taken after the lease ran out",
    { { LEASE, 20100, NULL, RESULT_OK, 1 },
      { NEXT, 20000, "read;" },
      { READ, 20000, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 20099, "write 1 1;" },
      { WRITE, 20100 },
      { NEXT, 20100, "" },
      { NEXT, 30000, "" } } },
  { "an order goes out while the write of the assignment is unanswered",
    { FORMED,
      { VERSION, 31000, "2" },
      { NEXT, 31000, "write 1 3;" }, /* draining */
      { REBOOT, 31000, "a-1" },
      { NEXT, 33000, "" } } },
  { "an order whose answer was lost is repeated while it may still land",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { ORDER, 20300, "a-0", RESULT_ORDER_LOST },
      { NEXT, 25199, "" },
      { NEXT, 25200, "load a-0;load a-1;" } } },
  { "an order is repeated although the attestation shows that it landed",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { RUN, 20200, "a-0" },
      { ORDER, 20300, "a-0", RESULT_ORDER_LOST },
      { NEXT, 25200, "load a-1;" } } },
  { "an order follows an attestation from before the order was settled",
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
      { TALKS, 25300, "a-0" },
      { NEXT, 25400, "load a-0;" } } },
  { "an engine that ignores tokens gets an order while an old one may land",
    { { UNFENCED },
      STARTED (3),
      { NEXT, 20000, "write 3 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 3 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "" },
      { NEXT, 24999, "" },
      { NEXT, 25000, "load a-0;load a-1;" } } },
  { "an engine that ignores tokens gets an order without a fresh attestation",
    { { UNFENCED },
      STARTED (3),
      { NEXT, 20000, "write 3 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 3 2;" },
      { WRITE, 20100 },
      { NEXT, 24500, "" },
      { SILENT, 24500, "a-0" },
      { NEXT, 25100, "load a-1;" },
      { TALKS, 25100, "a-0" },
      { NEXT, 25200, "load a-0;" } } },
  { "more weights are fetched at the same time than the limit",
    { { LIMIT, 0, NULL, RESULT_OK, 1 },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;" },
      { RUN, 20200, "a-0" },
      { ORDER, 20300, "a-0" },
      { NEXT, 23000, "" },
      { NEXT, 80000, "" },
      { NEXT, 80300, "load a-1;" } } },
  { "a write whose answer was lost is repeated although it took effect",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { LANDED, 20000 },
      { NEXT, 20100, "read;" },
      { READ, 20100 },
      { NEXT, 20200, "write 1 2;" } } },
  { "a write whose answer was lost is taken as done although it was not",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000, NULL, RESULT_PLATFORM_LOST_ANSWER },
      { NEXT, 20100, "read;" },
      { READ, 20100, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 20200, "write 1 1;" } } },
  { "a failed read is taken for an answer",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000, NULL, RESULT_PLATFORM_CONFLICT },
      { NEXT, 20100, "read;" },
      { NEXT, 20150, "" },
      { READ, 20200, NULL, RESULT_PLATFORM_OUTAGE },
      { NEXT, 20300, "" },
      { NEXT, 21200, "read;" } } },
  { "an outage of the platform is met with a write per tick",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000, NULL, RESULT_PLATFORM_OUTAGE },
      { NEXT, 20500, "" },
      { NEXT, 21000, "write 1 1;" } } },
  { "a holder goes on when a newer one has stamped its token",
    { FORMED,
      { BY_OTHER, 31000, NULL, RESULT_OK, 2 },
      { REBOOT, 31000, "a-1" },
      { NEXT, 31000, "read;" },
      { READ, 31000, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 31100, "read;" } } },
  { "a refused order is repeated at once and for ever",
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
  { "a holder whose order was fenced goes on without reading",
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
      { RUN, 36100, "a-0" },
      { RUN, 36100, "a-1" },
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
      { RUN, 36100, "a-0" },
      { ORDER, 36200, "a-0" },
      { ORDER, 36200, "a-1", RESULT_ORDER_FAILED },
      { NEXT, 40000, "load a-1;" } } },
  { "a host that belongs to no group keeps what it runs",
    { FORMED,
      { NO_SPEC, 31000 },
      { NEXT, 31000, "write 1 3;" },
      { WRITE, 31000 },
      { NEXT, 36000, "write 1 4;" },
      { WRITE, 36000 },
      { NEXT, 36100, "release a-0;release a-1;" },
      { RUN, 36100, "a-0" },
      { RUN, 36100, "a-1" },
      { ORDER, 36200, "a-0" },
      { ORDER, 36200, "a-1" },
      { NEXT, 39000, "" } } },
  { "a member that restarted is not loaded again, or the whole group is",
    { FORMED,
      { REBOOT, 31000, "a-1" },
      { NEXT, 31000, "load a-1;" },
      { RUN, 31000, "a-1" },
      { ORDER, 31000, "a-1" },
      { NEXT, 35000, "" } } },
  { "a new holder repeats the loads of the old one",
    { STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { RUN, 20200, "a-0" },
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
  { "a spare gets no weights, or the load again while it runs or is done",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { RUN, 31000, "a-2" },
      { ORDER, 31100, "a-2" },
      { RUN, 31000, "a-3" },
      { ORDER, 31100, "a-3" },
      { NEXT, 35000, "" },
      { NEXT, 45000, "" } } },
  { "a new holder without history repeats the loads of spares",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { RUN, 31000, "a-2" },
      { NEW_PLAN },
      { FORGET },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { LEASE, 900000, NULL, RESULT_OK, 2 },
      { NEXT, 36000, "read;" },
      { READ, 36000, NULL, RESULT_PLATFORM_UNCHANGED },
      { NEXT, 36000, "write 2 3;" },
      { WRITE, 36000 },
      { NEXT, 36100, "load a-3;" },
      { RUN, 36100, "a-3" },
      { ORDER, 36100, "a-3" },
      { NEXT, 60000, "" } } },
  { "spares take the loads that members need",
    { { LIMIT, 0, NULL, RESULT_OK, 2 },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;" },
      { RUN, 20200, "a-0" },
      { RUN, 20200, "a-1" },
      { ORDER, 20300, "a-0" },
      { ORDER, 20300, "a-1" },
      { NEXT, 25000, "" },
      { NEXT, 31000, "load a-2;" },
      { RUN, 31000, "a-2" },
      { ORDER, 31000, "a-2" },
      { NEXT, 35000, "" },
      { NEXT, 42000, "load a-3;" } } },
  { "spares take more loads than their limit",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 1 },
      { NEXT, 31000, "load a-2;" },
      { NEXT, 31100, "" },
      { RUN, 31100, "a-2" },
      { ORDER, 31100, "a-2" },
      { NEXT, 35000, "" },
      { NEXT, 42000, "load a-3;" } } },
  { "a host of a group that is not written yet is taken for a spare",
    { { PREFETCH, 0, NULL, RESULT_OK, 8 },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100, NULL, RESULT_PLATFORM_OUTAGE },
      { NEXT, 20200, "load a-2;load a-3;" } } },
  { "a spare is ordered back and forth between two versions",
    { { SPEC, 0, "t" },
      STARTED (1),
      { NEXT, 20000, "write 1 1;" },
      { WRITE, 20000 },
      { NEXT, 20100, "write 1 2;" },
      { WRITE, 20100 },
      { NEXT, 20200, "load a-0;load a-1;load a-2;" },
      { RUN, 20200, "a-0" },
      { RUN, 20200, "a-1" },
      { RUN, 20200, "a-2" },
      { ORDER, 20300, "a-0" },
      { ORDER, 20300, "a-1" },
      { ORDER, 20300, "a-2" },
      { NEXT, 85000, "" },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 85100, "load a-3;" },
      { RUN, 85100, "a-3" },
      { ORDER, 85100, "a-3" },
      { NEXT, 90000, "" },
      { NEXT, 160000, "" } } },
  { "a leaving host gets weights",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { LEAVING, 31000, "a-2" },
      { NEXT, 31000, "load a-3;" } } },
  { "a flapping host gets weights while it is held, or never again",
    { FORMED,
      { SILENT, 31000, "a-2" },
      { NEXT, 35000, "" },
      { TALKS, 35000, "a-2" },
      { NEXT, 36000, "" },
      { SILENT, 36000, "a-2" },
      { NEXT, 40000, "" },
      { TALKS, 40000, "a-2" },
      { NEXT, 41000, "" },
      { SILENT, 41000, "a-2" },
      { NEXT, 45000, "" },
      { TALKS, 45000, "a-2" },
      { NEXT, 46000, "" },
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 46100, "load a-3;" },
      { RUN, 46100, "a-3" },
      { ORDER, 46100, "a-3" },
      { NEXT, 200000, "load a-2;" } } },
  { "a spare with weights cannot join a group or be released from one",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { RUN, 31000, "a-2" },
      { ORDER, 31000, "a-2" },
      { RUN, 31000, "a-3" },
      { ORDER, 31000, "a-3" },
      { NEXT, 42000, "" },
      { SILENT, 42000, "a-1" },
      { NEXT, 70000, "write 1 3;" },
      { WRITE, 70000 },
      { NEXT, 70100, "load a-0;load a-2;" },
      { RUN, 70100, "a-0" },
      { ORDER, 70100, "a-0" },
      { RUN, 70100, "a-2" },
      { ORDER, 70100, "a-2" },
      { NEXT, 85000, "" },
      { NO_SPEC, 85000 },
      { NEXT, 85000, "write 1 4;" },
      { WRITE, 85000 },
      { NEXT, 92000, "write 1 5;" },
      { WRITE, 92000 },
      { NEXT, 92100, "release a-0;release a-2;" } } },
  { "spares keep the weights of a version that no group runs any more",
    { FORMED,
      { PREFETCH, 0, NULL, RESULT_OK, 8 },
      { NEXT, 31000, "load a-2;load a-3;" },
      { RUN, 31000, "a-2" },
      { ORDER, 31000, "a-2" },
      { RUN, 31000, "a-3" },
      { ORDER, 31000, "a-3" },
      { NEXT, 42000, "" },
      { VERSION, 42000, "2" },
      { NEXT, 42000, "write 1 3;" },
      { WRITE, 42000 },
      { NEXT, 49000, "write 1 4;" },
      { WRITE, 49000 },
      { NEXT, 49100, "load a-0;load a-1;load a-2;load a-3;" } } },
};

struct world
{
  struct sheet sheet;
  struct fleet fleet;
  struct history history;
  struct placement placement;
  struct placement_settings settings;
  struct plan plan;
  struct plan_settings plan_settings;
  struct plan_steps steps;
  json_t *written;           /* the last assignment to write */
  struct plan_order last[4]; /* to each host */
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
start_history (struct world *world)
{
  struct history_settings settings;

  history_settings_init (&settings);
  history_init (&world->history, &settings, "dc");
}

static void
start_world (struct world *world)
{
  memset (world, 0, sizeof *world);
  sheet_init (&world->sheet);
  fleet_init (&world->fleet);
  placement_init (&world->placement);
  placement_settings_init (&world->settings);
  start_history (world);
  plan_settings_init (&world->plan_settings);
  /* Cases about other steps leave the spares alone. */
  world->plan_settings.prefetch_limit = 0;
  plan_init (&world->plan, &world->plan_settings, "dc", "self");
  plan_steps_init (&world->steps);
  fixture_spec (&world->sheet, "s", 2, 1, "dc", "*", "*", "1");
  for (int i = 0; i < 4; i++)
    {
      fixture_host (&world->fleet, host_names[i], "dc", "a");
      engine_boot (&world->engines[i], host_names[i]);
    }
}

static void
finish_world (struct world *world)
{
  json_decref (world->written);
  plan_steps_finish (&world->steps);
  plan_finish (&world->plan);
  placement_finish (&world->placement);
  history_finish (&world->history);
  fleet_finish (&world->fleet);
  sheet_finish (&world->sheet);
}

/* Probes and observes up to a moment. */
static void
advance (struct world *world, int64_t to_ms)
{
  while (world->observed_ms < to_ms)
    {
      world->observed_ms += 500;
      if (world->observed_ms > to_ms)
        world->observed_ms = to_ms;
      for (int i = 0; i < 4; i++)
        {
          engine_tick (&world->engines[i], world->observed_ms);
          if (!world->silent[i])
            engine_attest (&world->engines[i],
                           fleet_find_host (&world->fleet, host_names[i]),
                           world->observed_ms);
        }
      assert_int_equal (
          history_observe (&world->history, &world->fleet, world->observed_ms),
          RESULT_OK);
    }
}

static void
check_next (struct world *world, const struct step *step)
{
  struct placement_input input = { .sheet = &world->sheet,
                                   .fleet = &world->fleet,
                                   .history = &world->history,
                                   .settings = &world->settings,
                                   .data_centre = "dc",
                                   .now_ms = step->time };
  char text[TEXT_SIZE] = "";
  size_t used = 0;

  advance (world, step->time);
  assert_int_equal (placement_compute (&world->placement, &input), RESULT_OK);
  assert_int_equal (plan_next (&world->plan, &world->lease, &world->fleet,
                               &world->placement, &world->history, step->time,
                               &world->steps),
                    RESULT_OK);
  if (world->steps.read_assignment)
    used += (size_t)snprintf (text + used, TEXT_SIZE - used, "read;");
  if (world->steps.write_assignment)
    {
      json_decref (world->written);
      world->written
          = fleet_assignment_to_json (&world->steps.assignment, "dc");
      used += (size_t)snprintf (
          text + used, TEXT_SIZE - used, "write %llu %llu;",
          (unsigned long long)world->steps.assignment.assignment_fence,
          (unsigned long long)world->steps.assignment.assignment_number);
    }
  for (size_t i = 0; i < world->steps.order_count; i++)
    {
      const struct plan_order *order = &world->steps.orders[i];

      assert_int_equal (order->fence, world->lease.value.fence);
      /* Without a group nothing of the order may name one. */
      if (order->op == PLAN_LOAD && order->group.id[0] == '\0')
        {
          assert_int_equal (order->group.generation, 0);
          assert_int_equal (order->group.member_count, 0);
          assert_string_equal (order->group.model, "model");
          assert_string_equal (order->group.version,
                               world->sheet.groups[0].version);
        }
      world->last[host_index (order->host)] = *order;
      used += (size_t)snprintf (text + used, TEXT_SIZE - used, "%s %s;",
                                plan_op_name (order->op), order->host);
    }
  assert_string_equal (text, step->text);
}

static void
run_step (struct world *world, const struct step *step)
{
  int host = step->text != NULL && step->text[0] == 'a' && step->text[1] == '-'
                 ? host_index (step->text)
                 : 0;

  switch (step->kind)
    {
    case NEXT:
      check_next (world, step);
      break;
    case LEASE:
      world->lease.phase = LEASE_HOLDING;
      world->lease.value.fence = step->number;
      world->lease.valid_until_ms = step->time;
      break;
    case READ:
      plan_on_read (&world->plan, step->result, step->time);
      break;
    case WRITE:
      if (step->result == RESULT_OK)
        assert_int_equal (
            fleet_apply_assignment (&world->fleet, "dc", world->written),
            RESULT_OK);
      plan_on_write (&world->plan, step->result, step->time);
      break;
    case LANDED:
      assert_int_equal (
          fleet_apply_assignment (&world->fleet, "dc", world->written),
          RESULT_OK);
      plan_on_write (&world->plan, RESULT_PLATFORM_LOST_ANSWER, step->time);
      break;
    case ORDER:
      plan_on_order (&world->plan, step->text, world->last[host].order_id,
                     step->result, step->time);
      break;
    case RUN:
      engine_order (&world->engines[host], true, &world->last[host], step->time,
                    60000, 10000);
      if (strcmp (world->last[host].group.version, "1") == 0
          && world->plan_settings.load_limit != 1
          && world->engines[host].says.state == FLEET_ENGINE_LOADING)
        world->engines[host].ready_ms = step->time + 10000;
      break;
    case SILENT:
    case TALKS:
      world->silent[host] = step->kind == SILENT;
      break;
    case REBOOT:
      engine_boot (&world->engines[host], step->text);
      engine_attest (&world->engines[host],
                     fleet_find_host (&world->fleet, step->text), step->time);
      break;
    case UNFENCED:
      for (int i = 0; i < 4; i++)
        fleet_find_host (&world->fleet, host_names[i])->checks_fence = false;
      break;
    case ADAPTERS:
      fixture_list (&world->sheet.groups[0].adapters, step->text);
      break;
    case VERSION:
      snprintf (world->sheet.groups[0].version, SHEET_NAME_SIZE, "%s",
                step->text);
      break;
    case NO_SPEC:
      world->sheet.groups[0].count = 0;
      break;
    case NEW_PLAN:
      plan_finish (&world->plan);
      plan_init (&world->plan, &world->plan_settings, "dc", "other");
      break;
    case LIMIT:
      world->plan_settings.load_limit = (unsigned)step->number;
      plan_finish (&world->plan);
      plan_init (&world->plan, &world->plan_settings, "dc", "self");
      break;
    case BY_OTHER:
      world->fleet.assignment_fence = step->number;
      world->fleet.assignment_number++;
      break;
    case PREFETCH:
      world->plan_settings.prefetch_limit = (unsigned)step->number;
      world->plan.settings.prefetch_limit = (unsigned)step->number;
      break;
    case SPEC:
      fixture_spec (&world->sheet, step->text, 1, 1, "dc", "*", "*", "2");
      break;
    case LEAVING:
      fleet_find_host (&world->fleet, step->text)->listed_leaving = true;
      break;
    case FORGET:
      history_finish (&world->history);
      start_history (world);
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
      struct world *world = calloc (1, sizeof *world);

      assert_non_null (world);
      print_message ("guards against: %s\n", cases[i].guards);
      start_world (world);
      for (const struct step *step = cases[i].steps; step->kind != END; step++)
        run_step (world, step);
      finish_world (world);
      free (world);
    }
}

/* The engine's protocol names every member of the order's body. */
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
