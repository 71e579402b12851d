#include "formation.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * fuzz-runs: 6000
 *
 * Endpoints crash, restart, stop responding, leave and report late; orders are
 * lost or executed late; the lease changes its holder.  The oracle keeps the
 * actual state of each endpoint and checks two rules: an endpoint that has not
 * left its group does not join another group while the head of its group is
 * open, and a head opens only if each member in its order was ready in the
 * order's epoch.
 */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define ENDPOINTS 14
#define GROUP_SIZE 4
#define DELAYED_ORDER_LIMIT 32
#define READY_RECORD_LIMIT 4096

/* Names here are shorter. */
#define NAME_SIZE 64

/* Actual state of an endpoint, which its reports may not show yet. */
struct actual_endpoint
{
  bool is_running;
  bool silent; /* does not receive orders */
  bool leaving;
  int64_t started_ms;
  uint64_t highest_epoch; /* of all joins executed */
  uint64_t orders;        /* accepted since the start */
  char group[NAME_SIZE];  /* "" = none */
  uint64_t epoch;
  unsigned rank;
  enum endpoint_group_state state;
};

/* An order that has been sent but not executed. */
struct delayed_order
{
  enum formation_op op;
  unsigned endpoint;
  char group[NAME_SIZE];
  uint64_t epoch;
  char members[GROUP_SIZE][NAME_SIZE];
  bool has_condition;
  uint64_t expected_orders; /* accepted by the endpoint when it was asked */
};

struct world
{
  struct actual_endpoint actual[ENDPOINTS];
  struct delayed_order delayed_orders[DELAYED_ORDER_LIMIT];
  unsigned delayed_order_count;
  bool delays_orders;
  struct
  {
    uint64_t epoch;
    unsigned endpoint;
  } ready[READY_RECORD_LIMIT]; /* endpoints that were ready in an epoch */
  unsigned ready_count;
  uint64_t store_revision;
  uint64_t fence;
  int64_t now_ms;
  struct endpoints endpoints;
  struct formation formation;
  struct catalog *catalog;
};

static struct world world;

static void
abort_for_order (const char *rule, const struct delayed_order *order)
{
  fprintf (stderr, "%s: op %s endpoint %u group %s\n", rule,
           formation_op_name (order->op), order->endpoint, order->group);
  abort ();
}

static unsigned
endpoint_index (const char *id)
{
  return (unsigned)strtoul (id + 1, NULL, 10);
}

static bool
was_ready (uint64_t epoch, unsigned endpoint)
{
  for (unsigned i = 0; i < world.ready_count; i++)
    if (world.ready[i].epoch == epoch && world.ready[i].endpoint == endpoint)
      return true;
  return false;
}

static bool
is_head_open (const struct actual_endpoint *member)
{
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      const struct actual_endpoint *head = &world.actual[i];

      if (head->is_running && head->rank == 0 && head->epoch == member->epoch
          && strcmp (head->group, member->group) == 0
          && (head->state == ENDPOINT_GROUP_OPEN
              || head->state == ENDPOINT_GROUP_CLOSING))
        return true;
    }
  return false;
}

static void
execute_join (struct actual_endpoint *actual, const struct delayed_order *order)
{
  if (order->epoch < actual->highest_epoch)
    return;
  if (actual->group[0] != '\0' && strcmp (actual->group, order->group) != 0
      && is_head_open (actual))
    abort_for_order ("joined while the head of its group is open", order);
  if (actual->epoch == order->epoch
      && strcmp (actual->group, order->group) == 0)
    return;
  actual->orders++;
  actual->highest_epoch = order->epoch;
  actual->epoch = order->epoch;
  memcpy (actual->group, order->group, sizeof actual->group);
  actual->state = ENDPOINT_GROUP_JOINING;
  for (unsigned rank = 0; rank < GROUP_SIZE; rank++)
    if (order->members[rank][0] != '\0'
        && endpoint_index (order->members[rank]) == order->endpoint)
      actual->rank = rank;
}

static void
execute_open (struct actual_endpoint *actual, const struct delayed_order *order)
{
  if (actual->state != ENDPOINT_GROUP_READY || actual->rank != 0)
    return;
  for (unsigned rank = 0; rank < GROUP_SIZE; rank++)
    if (order->members[rank][0] == '\0'
        || !was_ready (order->epoch, endpoint_index (order->members[rank])))
      abort_for_order ("opened before all members were ready", order);
  actual->orders++;
  actual->state = ENDPOINT_GROUP_OPEN;
}

static void
execute_order (const struct delayed_order *order)
{
  struct actual_endpoint *actual = &world.actual[order->endpoint];

  if (!actual->is_running
      || (order->has_condition && order->expected_orders != actual->orders))
    return;
  if (order->op == FORMATION_JOIN)
    {
      execute_join (actual, order);
      return;
    }
  if (order->op == FORMATION_PREFETCH || actual->epoch != order->epoch
      || strcmp (actual->group, order->group) != 0)
    return;
  switch (order->op)
    {
    case FORMATION_OPEN:
      execute_open (actual, order);
      break;
    case FORMATION_LEAVE:
      actual->orders++;
      actual->group[0] = '\0';
      actual->state = ENDPOINT_GROUP_NONE;
      break;
    default:
      if (actual->state != ENDPOINT_GROUP_OPEN)
        break;
      actual->orders++;
      actual->state = ENDPOINT_GROUP_READY;
      break;
    }
}

static void
send_order (const struct delayed_order *order)
{
  if (world.actual[order->endpoint].silent)
    return;
  if (!world.delays_orders)
    execute_order (order);
  else if (world.delayed_order_count < DELAYED_ORDER_LIMIT)
    world.delayed_orders[world.delayed_order_count++] = *order;
}

/*
 * Asks the endpoint for its state, has it leave its group if the decision says
 * so, and has it join, as an entry host does.
 */
static void
send_join (const struct delayed_order *order,
           const struct formation_basis *basis)
{
  const struct actual_endpoint *actual = &world.actual[order->endpoint];
  struct endpoint_report report = { .started_ms = actual->started_ms };
  struct delayed_order conditional = *order;
  struct delayed_order leave = { .op = FORMATION_LEAVE };

  if (!actual->is_running || actual->silent)
    return;
  report.state = actual->state;
  report.epoch = actual->epoch;
  report.rank = actual->rank;
  report.group = actual->group;
  conditional.has_condition = true;
  conditional.expected_orders = actual->orders;
  switch (formation_check_join (basis, order->group, order->epoch, &report))
    {
    case FORMATION_JOIN_SEND:
      send_order (&conditional);
      break;
    case FORMATION_JOIN_LEAVE_FIRST:
      leave.endpoint = order->endpoint;
      leave.epoch = basis->epoch;
      leave.has_condition = true;
      leave.expected_orders = actual->orders;
      snprintf (leave.group, sizeof leave.group, "%s", basis->group);
      send_order (&leave);
      /* Without a response to the order to leave the join is not sent. */
      conditional.expected_orders++;
      if (!world.delays_orders)
        send_order (&conditional);
      break;
    case FORMATION_JOIN_RETRY:
    case FORMATION_JOIN_DROP:
      break;
    }
}

static void
on_order (void *context, const struct formation_order *order)
{
  struct delayed_order delayed = { .op = order->op, .epoch = order->epoch };

  (void)context;
  delayed.endpoint = endpoint_index (order->endpoint);
  memcpy (delayed.group, order->group, strlen (order->group) + 1);
  for (unsigned rank = 0; rank < GROUP_SIZE && rank < order->member_count;
       rank++)
    snprintf (delayed.members[rank], sizeof delayed.members[0], "%s",
              order->members[rank]);
  if (order->basis != NULL)
    send_join (&delayed, order->basis);
  else
    send_order (&delayed);
}

static void
on_group_changed (void *context,
                  const struct formation_group *group,
                  const char *reason)
{
  (void)context;
  (void)group;
  (void)reason;
}

static bool
is_silent (void *context, const struct endpoint *endpoint)
{
  const struct actual_endpoint *actual
      = &world.actual[endpoint_index (endpoint->id)];

  (void)context;
  return actual->silent || !actual->is_running;
}

static void
send_report (unsigned index)
{
  const struct actual_endpoint *actual = &world.actual[index];
  struct endpoint_report report = { .port = 1 };
  char domain[8];
  char id[8];

  if (!actual->is_running)
    return;
  snprintf (id, sizeof id, "e%u", index);
  snprintf (domain, sizeof domain, "d%u", index / 7);
  report.service = "llm";
  report.data_centre = "a";
  report.domain = domain;
  report.cached_models[0] = "m";
  report.cached_model_count = 1;
  report.started_ms = actual->started_ms;
  report.leaving = actual->leaving;
  report.state = actual->state;
  if (actual->state != ENDPOINT_GROUP_NONE)
    {
      report.group = actual->group;
      report.model = "m";
      report.epoch = actual->epoch;
      report.rank = actual->rank;
    }
  endpoints_report (&world.endpoints, id, &report, ++world.store_revision,
                    world.now_ms);
}

static void
crash_endpoint (unsigned index)
{
  struct actual_endpoint *actual = &world.actual[index];

  memset (actual, 0, sizeof *actual);
}

static void
delete_stopped_endpoint (unsigned index)
{
  char id[8];

  snprintf (id, sizeof id, "e%u", index);
  if (!world.actual[index].is_running)
    endpoints_delete (&world.endpoints, id, ++world.store_revision,
                      world.now_ms);
}

static void
complete_joins (void)
{
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      struct actual_endpoint *actual = &world.actual[i];

      if (actual->state != ENDPOINT_GROUP_JOINING)
        continue;
      actual->state = ENDPOINT_GROUP_READY;
      if (world.ready_count < READY_RECORD_LIMIT)
        {
          world.ready[world.ready_count].epoch = actual->epoch;
          world.ready[world.ready_count++].endpoint = i;
        }
    }
}

static void
run_ticks (unsigned count)
{
  const struct formation_hooks hooks
      = { NULL, on_order, on_group_changed, is_silent };

  for (unsigned i = 0; i < count; i++)
    {
      world.now_ms += 25;
      endpoints_tick (&world.endpoints, world.now_ms);
      formation_tick (&world.formation, &world.endpoints, world.catalog, &hooks,
                      world.now_ms);
    }
}

static void
change_lease (uint8_t what)
{
  if (what % 3 == 0)
    formation_set_fence (&world.formation, 0, world.now_ms);
  else
    {
      if (what % 3 == 1)
        world.fence++;
      formation_set_fence (&world.formation, world.fence, world.now_ms);
    }
}

static void
execute_delayed_order (uint8_t which)
{
  struct delayed_order order;

  if (world.delayed_order_count == 0)
    return;
  which %= world.delayed_order_count;
  order = world.delayed_orders[which];
  world.delayed_orders[which]
      = world.delayed_orders[--world.delayed_order_count];
  execute_order (&order);
}

static void
run_operation (uint8_t op, uint8_t argument)
{
  unsigned index = argument % ENDPOINTS;
  struct actual_endpoint *actual = &world.actual[index];

  switch (op % 12)
    {
    case 0:
      run_ticks (1 + argument % 16);
      break;
    case 1:
      send_report (index);
      break;
    case 2:
      for (unsigned i = 0; i < ENDPOINTS; i++)
        send_report (i);
      break;
    case 3:
      crash_endpoint (index);
      break;
    case 4:
      delete_stopped_endpoint (index);
      break;
    case 5:
      if (!actual->is_running)
        {
          actual->is_running = true;
          actual->started_ms = world.now_ms;
        }
      break;
    case 6:
      actual->silent = !actual->silent;
      break;
    case 7:
      world.delays_orders = !world.delays_orders;
      break;
    case 8:
      execute_delayed_order (argument);
      break;
    case 9:
      change_lease (argument);
      break;
    case 10:
      actual->leaving = true;
      break;
    case 11:
      complete_joins ();
      break;
    }
}

static void
init_world (void)
{
  static struct catalog_model model = { "m", GROUP_SIZE, 1, 1, 16000, 1600 };
  const struct formation_settings settings
      = { .data_centre = "a", .data_centres = 1 };

  memset (&world, 0, sizeof world);
  world.now_ms = 1000;
  world.fence = 1;
  world.catalog = catalog_new (0, 1, 0);
  if (world.catalog == NULL)
    abort ();
  world.catalog->services[0].name = "llm";
  world.catalog->services[0].models = &model;
  world.catalog->services[0].model_count = 1;
  world.catalog->service_count = 1;
  catalog_index_services (world.catalog);
  endpoints_init (&world.endpoints, NULL, NULL);
  formation_init (&world.formation, &settings);
  formation_set_fence (&world.formation, 1, world.now_ms);
  world.formation.has_traffic = true;
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      world.actual[i].is_running = true;
      world.actual[i].started_ms = 1;
      send_report (i);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  init_world ();
  for (size_t i = 0; i + 1 < size; i += 2)
    run_operation (data[i], data[i + 1]);
  formation_finish (&world.formation);
  endpoints_finish (&world.endpoints);
  catalog_unref (world.catalog);
  return 0;
}
