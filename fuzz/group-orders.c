#include "../packages/group/tests/fixture.h"
#include "check.h"
#include "history.h"
#include "lease.h"
#include "placement.h"
#include "plan.h"

/*
 * Entry hosts compete for the lease of a data centre and order its engines.
 * Orders are delayed, lost, executed without an answer, or twice; holders are
 * killed, paused and awake again, or release the lease; writes are lost or
 * come late; reports are missing or old; some engines ignore fencing tokens,
 * and the others forget the highest one when they restart.
 *
 * The oracle knows what each engine has loaded: the id, the members and the
 * version of a group.  Whenever an entry host takes a group for serving and its
 * head accepts a request for it, each member that the head has loaded was
 * ready with the same contents at most FLEET_ATTESTATION_AGE_LIMIT_MS ago.  So
 * no member is missing that was never ready, and none is in another group for
 * longer than reports may be old.  In the end all groups serve.
 *
 * Orders that change a group without a load rely on what the engine runs.  In
 * runs with such orders none of a former holder is later than the order
 * timeout; otherwise, and under one lease, orders are arbitrarily late.
 */

#define HOST_COUNT 5
#define VIEW_COUNT 3
#define ORDER_LIMIT 128
#define FORMATION_LIMIT 256
#define DELAYED_WRITE_LIMIT 16
#define TICK_MS 500
#define INPUT_LIMIT 256
#define LOAD_MS 1500
#define ORDER_TIMEOUT_MS 5000
#define START_TICKS 24 /* a holder forms the groups */
/* At the end of a run, without events. */
#define QUIET_TICKS 120
#define QUIET_TICK_MS 1000

/* What a load gave an engine: equal contents have an equal index. */
struct formation
{
  char group[FLEET_NAME_SIZE];
  char version[FLEET_NAME_SIZE];
  unsigned member_count;
  char members[FLEET_SPAN_LIMIT][FLEET_NAME_SIZE];
  int64_t ready_ms[HOST_COUNT]; /* when the host was last ready in it */
};

struct engine_state
{
  bool up;
  bool checks_fence;
  unsigned boots;
  uint64_t fence;
  char order_id[PLAN_ORDER_ID_SIZE];
  struct fleet_attestation report;
  int formation; /* -1 = none */
  int64_t load_end_ms;
};

struct sent_order
{
  bool used;
  unsigned host;
  int sender; /* view that waits for the answer; -1 = none */
  unsigned sender_starts;
  struct plan_order order;
  int64_t sent_ms;
  int64_t arrival_ms;
};

struct assignment
{
  uint64_t version;
  json_t *json; /* NULL = none */
};

/* What happens to orders. */
enum order_fate
{
  ANSWERED, /* arrives late, which may be at once, and is answered */
  UNANSWERED,
  LOST,     /* never arrives */
  REPEATED, /* arrives at once and late, without an answer */
  ORDER_FATES
};

/* What happens to the next write of a kind. */
enum write_fate
{
  WRITTEN,
  WRITE_LOST,
  WRITTEN_UNANSWERED,
  WRITE_DELAYED,
  WRITE_FATES
};

/* A write of the lease or of the assignment that arrives late. */
struct delayed_write
{
  bool used;
  int64_t arrival_ms;
  uint64_t version;
  struct lease_value lease;
  json_t *assignment; /* NULL = a write of the lease */
};

/* An entry host. */
struct view
{
  char name[LEASE_NAME_SIZE];
  unsigned starts;
  bool running;
  int64_t paused_until_ms;
  struct lease lease;
  struct fleet fleet;
  struct history history;
  struct placement placement;
  struct plan plan;
  struct plan_steps steps;
  uint64_t version; /* of the assignment that it has; 0 = none */
  unsigned unseen;  /* hosts whose reports do not arrive, a bit each */
  unsigned lagging; /* hosts whose reports arrive a tick late */
  bool watches;     /* gets changes of the assignment at once */
  struct fleet_attestation pending[HOST_COUNT];
};

static struct
{
  const uint8_t *data;
  size_t size;
  int64_t now_ms;
  bool changes_adapters;
  bool outage;
  struct sheet sheet;
  struct placement_settings settings;
  struct engine_state engines[HOST_COUNT];
  struct view views[VIEW_COUNT];
  struct lease_value lease;
  uint64_t lease_version;
  struct assignment assignment;
  struct delayed_write writes[DELAYED_WRITE_LIMIT];
  struct sent_order orders[ORDER_LIMIT];
  struct formation formations[FORMATION_LIMIT];
  int formation_count;
  /* Of orders to hosts with even and odd numbers. */
  enum order_fate order_fates[2];
  int64_t order_delays_ms[2];
  enum write_fate lease_fate;
  enum write_fate assignment_fate;
  int64_t write_delay_ms;
} world;

static const char *const host_names[HOST_COUNT]
    = { "h0", "h1", "h2", "h3", "h4" };

static unsigned
next_byte (void)
{
  if (world.size == 0)
    return 0;
  world.size--;
  return *world.data++;
}

static unsigned
find_host (const char *name)
{
  return (unsigned)(name[1] - '0');
}

static void
boot_engine (unsigned host)
{
  struct engine_state *engine = &world.engines[host];

  memset (&engine->report, 0, sizeof engine->report);
  snprintf (engine->report.boot_id, sizeof engine->report.boot_id, "%u.%u",
            host, ++engine->boots);
  engine->report.state = FLEET_ENGINE_IDLE;
  engine->report.slots = 8;
  engine->order_id[0] = '\0';
  engine->fence = 0;
  engine->formation = -1;
  engine->up = true;
}

static int
find_formation (const struct fleet_group *group)
{
  struct formation *entry;

  for (int i = 0; i < world.formation_count; i++)
    {
      entry = &world.formations[i];
      if (strcmp (entry->group, group->id) == 0
          && strcmp (entry->version, group->version) == 0
          && entry->member_count == group->member_count
          && memcmp (entry->members, group->members, sizeof entry->members)
                 == 0)
        return i;
    }
  if (world.formation_count == FORMATION_LIMIT)
    return -1;
  entry = &world.formations[world.formation_count];
  memcpy (entry->group, group->id, sizeof entry->group);
  memcpy (entry->version, group->version, sizeof entry->version);
  memcpy (entry->members, group->members, sizeof entry->members);
  entry->member_count = group->member_count;
  for (unsigned i = 0; i < HOST_COUNT; i++)
    entry->ready_ms[i] = INT64_MIN / 2;
  return world.formation_count++;
}

static void
load (struct engine_state *engine, const struct plan_order *order)
{
  struct fleet_attestation *report = &engine->report;
  const struct fleet_group *group = &order->group;

  memcpy (report->group, group->id, sizeof report->group);
  memcpy (report->model, group->model, sizeof report->model);
  memcpy (report->version, group->version, sizeof report->version);
  memcpy (report->adapters, group->adapters, sizeof report->adapters);
  report->generation = group->generation;
  report->rank = order->rank;
  report->span = group->span;
  report->state = FLEET_ENGINE_LOADING;
  engine->load_end_ms = world.now_ms + LOAD_MS;
  engine->formation = group->id[0] != '\0' ? find_formation (group) : -1;
}

static void
release (struct engine_state *engine)
{
  struct fleet_attestation *report = &engine->report;

  report->group[0] = '\0';
  report->model[0] = '\0';
  report->version[0] = '\0';
  report->adapters[0] = '\0';
  report->generation = 0;
  report->rank = 0;
  report->span = 0;
  report->state = FLEET_ENGINE_IDLE;
  engine->formation = -1;
}

/* Executes an order as the design page describes it. */
static enum result
execute (struct engine_state *engine, const struct plan_order *order)
{
  struct fleet_attestation *report = &engine->report;

  if (engine->checks_fence && order->fence < engine->fence)
    return RESULT_ORDER_FENCED;
  if (order->fence > engine->fence || !engine->checks_fence)
    engine->fence = order->fence;
  report->fence = engine->fence;
  if (strcmp (engine->order_id, order->order_id) == 0)
    return RESULT_OK;
  memcpy (engine->order_id, order->order_id, sizeof engine->order_id);
  switch (order->op)
    {
    case PLAN_LOAD:
      load (engine, order);
      return RESULT_OK;
    case PLAN_RELEASE:
      release (engine);
      return RESULT_OK;
    case PLAN_ADAPTERS:
    case PLAN_ROLE:
      if (strcmp (report->group, order->group.id) != 0)
        return RESULT_ORDER_FENCED; /* 409, like an old token */
      if (order->op == PLAN_ADAPTERS)
        memcpy (report->adapters, order->group.adapters,
                sizeof report->adapters);
      report->generation = order->group.generation;
      return RESULT_OK;
    }
  return RESULT_ORDER_FAILED;
}

static void
start_view (struct view *view)
{
  struct lease_settings lease_settings;
  struct history_settings history_settings;
  struct plan_settings plan_settings;

  lease_settings_init (&lease_settings);
  history_settings_init (&history_settings);
  plan_settings_init (&plan_settings);
  snprintf (view->name, sizeof view->name, "v%u@%u",
            (unsigned)(view - world.views), ++view->starts);
  lease_init (&view->lease, &lease_settings, view->name,
              (unsigned)(view - world.views));
  fleet_init (&view->fleet);
  for (unsigned i = 0; i < HOST_COUNT; i++)
    fixture_add_host (&view->fleet, host_names[i], "dc", "a")->checks_fence
        = world.engines[i].checks_fence;
  history_init (&view->history, &history_settings, "dc");
  placement_init (&view->placement);
  plan_init (&view->plan, &plan_settings, "dc", view->name);
  plan_steps_init (&view->steps);
  view->version = 0;
  view->paused_until_ms = 0;
  view->unseen = 0;
  view->lagging = 0;
  view->watches = true;
  memset (view->pending, 0, sizeof view->pending);
  view->running = true;
}

static void
stop_view (struct view *view)
{
  if (!view->running)
    return;
  plan_steps_finish (&view->steps);
  plan_finish (&view->plan);
  placement_finish (&view->placement);
  history_finish (&view->history);
  fleet_finish (&view->fleet);
  view->running = false;
}

static bool
is_awake (const struct view *view)
{
  return view->running && world.now_ms >= view->paused_until_ms;
}

static bool
write_lease (const struct lease_value *value, uint64_t version)
{
  if (version != world.lease_version)
    return false;
  world.lease = *value;
  world.lease_version++;
  return true;
}

static bool
write_assignment (json_t *json, uint64_t version)
{
  if (version != world.assignment.version)
    return false;
  json_decref (world.assignment.json);
  world.assignment.json = json_incref (json);
  world.assignment.version++;
  return true;
}

static void
delay_write (const struct lease_value *lease,
             json_t *assignment,
             uint64_t version)
{
  for (unsigned i = 0; i < DELAYED_WRITE_LIMIT; i++)
    if (!world.writes[i].used)
      {
        struct delayed_write *write = &world.writes[i];

        write->used = true;
        write->arrival_ms = world.now_ms + world.write_delay_ms;
        write->version = version;
        write->assignment = json_incref (assignment);
        if (lease != NULL)
          write->lease = *lease;
        return;
      }
}

static void
apply_delayed_writes (void)
{
  for (unsigned i = 0; i < DELAYED_WRITE_LIMIT; i++)
    {
      struct delayed_write *write = &world.writes[i];

      if (!write->used || world.now_ms < write->arrival_ms)
        continue;
      write->used = false;
      if (write->assignment != NULL)
        write_assignment (write->assignment, write->version);
      else
        write_lease (&write->lease, write->version);
      json_decref (write->assignment);
      write->assignment = NULL;
    }
}

static void
run_lease (struct view *view)
{
  struct lease_action action = lease_tick (&view->lease, world.now_ms);
  enum result result = RESULT_PLATFORM_LOST_ANSWER;

  if (action.kind == LEASE_READ)
    lease_on_read (&view->lease,
                   world.outage               ? RESULT_PLATFORM_OUTAGE
                   : world.lease_version == 0 ? RESULT_PLATFORM_NOT_FOUND
                                              : RESULT_OK,
                   &world.lease, world.lease_version, world.now_ms);
  if (action.kind != LEASE_WRITE)
    return;
  if (world.outage)
    result = RESULT_PLATFORM_OUTAGE;
  else if (world.lease_fate == WRITTEN_UNANSWERED)
    write_lease (&action.value, action.version);
  else if (world.lease_fate == WRITE_DELAYED)
    delay_write (&action.value, NULL, action.version);
  else if (world.lease_fate == WRITTEN)
    result = write_lease (&action.value, action.version)
                 ? RESULT_OK
                 : RESULT_PLATFORM_CONFLICT;
  world.lease_fate = WRITTEN;
  lease_on_write (&view->lease, result, world.lease_version, world.now_ms);
}

static enum result
adopt_assignment (struct view *view)
{
  if (world.assignment.json == NULL)
    return RESULT_PLATFORM_NOT_FOUND;
  if (world.assignment.version == view->version)
    return RESULT_PLATFORM_UNCHANGED;
  view->version = world.assignment.version;
  return fleet_apply_assignment (&view->fleet, "dc", world.assignment.json);
}

static void
send_write (struct view *view)
{
  json_t *json = fleet_assignment_to_json (&view->steps.assignment, "dc");
  enum result result = RESULT_PLATFORM_LOST_ANSWER;

  CHECK (json != NULL);
  if (world.outage)
    result = RESULT_PLATFORM_OUTAGE;
  else if (world.assignment_fate == WRITTEN_UNANSWERED)
    write_assignment (json, view->version);
  else if (world.assignment_fate == WRITE_DELAYED)
    delay_write (NULL, json, view->version);
  else if (world.assignment_fate == WRITTEN)
    result = write_assignment (json, view->version) ? RESULT_OK
                                                    : RESULT_PLATFORM_CONFLICT;
  world.assignment_fate = WRITTEN;
  if (result == RESULT_OK)
    adopt_assignment (view);
  plan_on_write (&view->plan, result, world.now_ms);
  json_decref (json);
}

static struct sent_order *
add_order (unsigned host, const struct plan_order *order, int64_t delay_ms)
{
  for (unsigned i = 0; i < ORDER_LIMIT; i++)
    if (!world.orders[i].used)
      {
        world.orders[i]
            = (struct sent_order){ .used = true,
                                   .host = host,
                                   .sender = -1,
                                   .order = *order,
                                   .sent_ms = world.now_ms,
                                   .arrival_ms = world.now_ms + delay_ms };
        return &world.orders[i];
      }
  return NULL;
}

static void
send_order (struct view *view, const struct plan_order *order)
{
  unsigned host = find_host (order->host);
  int64_t delay_ms = world.order_delays_ms[host % 2];
  enum order_fate fate = world.order_fates[host % 2];
  struct sent_order *sent;

  if (fate == LOST)
    return;
  sent = add_order (host, order, delay_ms);
  if (fate == REPEATED)
    add_order (host, order, 0);
  if (fate == ANSWERED && sent != NULL)
    {
      sent->sender = (int)(view - world.views);
      sent->sender_starts = view->starts;
    }
}

static void
answer_order (const struct sent_order *sent, enum result result)
{
  struct view *view;

  if (sent->sender < 0)
    return;
  view = &world.views[sent->sender];
  if (is_awake (view) && view->starts == sent->sender_starts)
    plan_on_order (&view->plan, sent->order.host, sent->order.order_id, result,
                   world.now_ms);
}

/* True if it comes later than a new holder has to allow for. */
static bool
is_beyond_bound (const struct sent_order *sent)
{
  return world.changes_adapters && sent->order.fence != world.lease.fence
         && sent->arrival_ms - sent->sent_ms >= ORDER_TIMEOUT_MS;
}

static void
execute_arrived_orders (void)
{
  for (unsigned i = 0; i < ORDER_LIMIT; i++)
    {
      struct sent_order *sent = &world.orders[i];
      struct engine_state *engine = &world.engines[sent->host];

      if (!sent->used || world.now_ms < sent->arrival_ms)
        continue;
      sent->used = false;
      if (engine->up && !is_beyond_bound (sent))
        answer_order (sent, execute (engine, &sent->order));
    }
}

static void
act_as_holder (struct view *view)
{
  struct placement_input input = { .sheet = &world.sheet,
                                   .fleet = &view->fleet,
                                   .history = &view->history,
                                   .settings = &world.settings,
                                   .data_centre = "dc",
                                   .now_ms = world.now_ms };

  if (!lease_may_act (&view->lease, world.now_ms))
    return;
  CHECK (placement_compute (&view->placement, &input) == RESULT_OK);
  CHECK (plan_compute_steps (&view->plan, &view->lease, &view->fleet,
                             &view->placement, &view->history, world.now_ms,
                             &view->steps)
         == RESULT_OK);
  if (view->steps.read_assignment)
    plan_on_read (&view->plan,
                  world.outage ? RESULT_PLATFORM_OUTAGE
                               : adopt_assignment (view),
                  world.now_ms);
  if (view->steps.write_assignment)
    send_write (view);
  for (size_t i = 0; i < view->steps.order_count; i++)
    send_order (view, &view->steps.orders[i]);
}

static void
collect_reports (struct view *view)
{
  for (unsigned i = 0; i < HOST_COUNT; i++)
    {
      struct fleet_host *host = fleet_find_host (&view->fleet, host_names[i]);
      const struct engine_state *engine = &world.engines[i];

      if (view->pending[i].seen_ms > host->attested.seen_ms)
        host->attested = view->pending[i];
      view->pending[i].seen_ms = 0;
      if (!engine->up || (view->unseen >> i & 1) != 0)
        continue;
      view->pending[i] = engine->report;
      view->pending[i].seen_ms = world.now_ms;
      if ((view->lagging >> i & 1) == 0)
        host->attested = view->pending[i];
    }
}

static void
run_view (struct view *view)
{
  if (!is_awake (view))
    return;
  collect_reports (view);
  if (view->watches && !world.outage)
    adopt_assignment (view);
  lease_observe_fence (&view->lease, view->fleet.assignment_fence);
  run_lease (view);
  CHECK (history_observe (&view->history, &view->fleet, world.now_ms)
         == RESULT_OK);
  act_as_holder (view);
}

static void
run_engines (void)
{
  for (unsigned i = 0; i < HOST_COUNT; i++)
    {
      struct engine_state *engine = &world.engines[i];

      if (!engine->up)
        continue;
      if (engine->report.state == FLEET_ENGINE_LOADING
          && world.now_ms >= engine->load_end_ms)
        engine->report.state = engine->report.group[0] != '\0'
                                   ? FLEET_ENGINE_READY
                                   : FLEET_ENGINE_IDLE;
      if (engine->report.state == FLEET_ENGINE_READY && engine->formation >= 0)
        world.formations[engine->formation].ready_ms[i] = world.now_ms;
    }
}

/* The view sends a request for the group; its head runs it or refuses it. */
static void
check_request (const struct view *view, const struct fleet_group *group)
{
  const struct engine_state *head;
  const struct formation *formation;

  if (fleet_group_serving_state (&view->fleet, group, world.now_ms)
      != FLEET_SERVING)
    return;
  head = &world.engines[find_host (group->members[0])];
  if (!head->up || head->report.state != FLEET_ENGINE_READY
      || head->report.rank != 0 || strcmp (head->report.group, group->id) != 0
      || head->report.generation != group->generation || head->formation < 0)
    return;
  formation = &world.formations[head->formation];
  for (unsigned rank = 0; rank < formation->member_count; rank++)
    CHECK (world.now_ms
               - formation->ready_ms[find_host (formation->members[rank])]
           <= FLEET_ATTESTATION_AGE_LIMIT_MS);
}

static void
check_requests (void)
{
  for (unsigned i = 0; i < VIEW_COUNT; i++)
    if (is_awake (&world.views[i]))
      for (const struct fleet_group *group = world.views[i].fleet.groups;
           group != NULL; group = group->hh.next)
        check_request (&world.views[i], group);
}

static void
run_tick (int64_t step_ms)
{
  world.now_ms += step_ms;
  apply_delayed_writes ();
  execute_arrived_orders ();
  run_engines ();
  for (unsigned i = 0; i < VIEW_COUNT; i++)
    {
      run_view (&world.views[i]);
      execute_arrived_orders ();
    }
  check_requests ();
}

/* Several columns of one row may change at once. */
static void
change_sheet (unsigned value)
{
  struct sheet_group *spec
      = &world.sheet.groups[value % 2 % world.sheet.group_count];

  world.sheet.number++;
  if (world.changes_adapters && (value & 4) != 0)
    {
      fixture_clear_list (&spec->adapters);
      fixture_append_names (&spec->adapters, (value & 8) != 0 ? "x" : "y");
    }
  if ((value & 16) != 0)
    snprintf (spec->version, sizeof spec->version, "%u", value >> 5 & 1);
  if ((value & 64) != 0)
    spec->count = value >> 7;
}

static void
replace_holder (struct view *view, bool releases)
{
  if (!view->running)
    {
      start_view (view);
      return;
    }
  if (releases && is_awake (view) && view->lease.phase == LEASE_HOLDING)
    {
      lease_release (&view->lease);
      for (unsigned i = 0; i < 3; i++)
        run_lease (view);
    }
  stop_view (view);
}

static void
change_order_fate (unsigned value, unsigned extra)
{
  world.order_fates[value % 2] = value / 2 % ORDER_FATES;
  world.order_delays_ms[value % 2]
      = extra % 4 != 0 ? extra / 4 % 20 * ORDER_TIMEOUT_MS / 20
                       : (int64_t)extra * 100;
}

static void
change_write_fate (unsigned value, unsigned extra)
{
  if (value % 2 == 0)
    world.lease_fate = value / 2 % WRITE_FATES;
  else
    world.assignment_fate = value / 2 % WRITE_FATES;
  world.write_delay_ms = (int64_t)extra * 50;
}

static void
run_event (void)
{
  unsigned kind = next_byte ();
  unsigned value = next_byte ();
  unsigned extra = next_byte ();
  struct view *view = &world.views[value % VIEW_COUNT];
  unsigned host = value % HOST_COUNT;
  struct fleet_host *entry;

  switch (kind % 16)
    {
    case 0:
    case 1:
    case 2:
      change_order_fate (value, extra);
      break;
    case 3:
      change_write_fate (value, extra);
      break;
    case 4:
    case 5:
      replace_holder (view, kind % 16 == 5);
      break;
    case 6:
      view->paused_until_ms = world.now_ms + (int64_t)extra * 100;
      break;
    case 7:
      if (world.engines[host].up)
        world.engines[host].up = false;
      else
        boot_engine (host);
      break;
    case 8:
      boot_engine (host);
      break;
    case 9:
      view->unseen = extra;
      break;
    case 10:
      for (unsigned i = 0; i < VIEW_COUNT; i++)
        world.views[i].unseen ^= 1U << host;
      break;
    case 11:
      view->lagging = extra;
      break;
    case 12:
      view->watches = !view->watches;
      break;
    case 13:
      world.outage = !world.outage;
      break;
    case 14:
      if (!view->running)
        break;
      entry = fleet_find_host (&view->fleet, host_names[extra % HOST_COUNT]);
      entry->listed = !entry->listed;
      break;
    default:
      change_sheet (value);
      break;
    }
}

static void
end_trouble (void)
{
  world.outage = false;
  for (unsigned i = 0; i < 2; i++)
    change_order_fate (i, 0);
  for (unsigned i = 0; i < HOST_COUNT; i++)
    if (!world.engines[i].up)
      boot_engine (i);
  for (unsigned i = 0; i < VIEW_COUNT; i++)
    {
      struct view *view = &world.views[i];

      if (!view->running)
        start_view (view);
      view->paused_until_ms = 0;
      view->unseen = 0;
      view->lagging = 0;
      view->watches = true;
      for (struct fleet_host *host = view->fleet.hosts; host != NULL;
           host = host->hh.next)
        host->listed = true;
    }
}

static void
check_all_groups_serve (void)
{
  const struct fleet *fleet = &world.views[0].fleet;

  for (const struct fleet_group *group = fleet->groups; group != NULL;
       group = group->hh.next)
    {
      CHECK (fleet_group_serving_state (fleet, group, world.now_ms)
             == FLEET_SERVING);
      for (unsigned rank = 0; rank < group->member_count; rank++)
        CHECK (
            strcmp (
                world.engines[find_host (group->members[rank])].report.adapters,
                group->adapters)
            == 0);
    }
}

static void
start_world (void)
{
  unsigned kind = next_byte ();

  world.now_ms = 100000;
  world.changes_adapters = (kind & 1) != 0;
  sheet_init (&world.sheet);
  placement_settings_init (&world.settings);
  world.settings.load_ms = LOAD_MS;
  world.settings.cached_load_ms = LOAD_MS;
  fixture_add_spec (&world.sheet, "s", 2, 1 + (kind >> 1 & 1), "dc", "", "",
                    "0");
  if ((kind & 4) != 0)
    fixture_add_spec (&world.sheet, "t", 2 + (kind >> 3 & 1), 1, "dc", "", "",
                      "0");
  for (unsigned i = 0; i < HOST_COUNT; i++)
    {
      world.engines[i].checks_fence
          = (kind & 16) != 0 || ((kind & 32) == 0 && i % 2 == 0);
      boot_engine (i);
    }
  for (unsigned i = 0; i < VIEW_COUNT; i++)
    start_view (&world.views[i]);
}

static void
finish_world (void)
{
  for (unsigned i = 0; i < VIEW_COUNT; i++)
    stop_view (&world.views[i]);
  for (unsigned i = 0; i < DELAYED_WRITE_LIMIT; i++)
    json_decref (world.writes[i].assignment);
  json_decref (world.assignment.json);
  sheet_finish (&world.sheet);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  memset (&world, 0, sizeof world);
  world.data = data;
  world.size = size < INPUT_LIMIT ? size : INPUT_LIMIT;
  start_world ();
  for (unsigned i = 0; i < START_TICKS; i++)
    run_tick (TICK_MS);
  while (world.size > 0)
    {
      unsigned ticks = next_byte () % 16;

      run_event ();
      for (unsigned i = 0; i <= ticks; i++)
        run_tick (TICK_MS);
    }
  end_trouble ();
  for (unsigned i = 0; i < QUIET_TICKS; i++)
    run_tick (QUIET_TICK_MS);
  check_all_groups_serve ();
  finish_world ();
  return 0;
}

/* One run executes a long sequence of operations; fuzz-runs: 600 */
