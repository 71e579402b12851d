#include "formation.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * fuzz-runs: 6000
 *
 * Endpoints crash, restart, fall silent, leave and report late; orders get
 * lost or are carried out late; the lease changes hands.  The oracle knows
 * what each endpoint really is and has two rules: an endpoint that has not
 * left its group is not joined to another while the head of its group is open,
 * and a head opens only if each member of its list was ready for it.
 */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define ENDPOINTS 14
#define SIZE 4
#define LATE_LIMIT 32
#define READY_LIMIT 4096

struct truth
{
  bool up;
  bool silent;
  bool leaving;
  int64_t started_ms;
  uint64_t seen_epoch;
  char group[CATALOG_NAME_SIZE]; /* "" = none */
  uint64_t epoch;
  unsigned rank;
  enum endpoint_group_state state;
};

struct late_order
{
  enum formation_op op;
  unsigned endpoint;
  char group[CATALOG_NAME_SIZE];
  uint64_t epoch;
  char members[SIZE][CATALOG_NAME_SIZE];
};

struct world
{
  struct truth truth[ENDPOINTS];
  struct late_order late[LATE_LIMIT];
  unsigned late_count;
  bool orders_late;
  struct
  {
    uint64_t epoch;
    unsigned endpoint;
  } ready[READY_LIMIT]; /* who has been ready in which epoch */
  unsigned ready_count;
  uint64_t revision;
  uint64_t fence;
  int64_t now_ms;
  struct endpoints endpoints;
  struct formation formation;
  struct catalog *catalog;
};

static struct world world;

static void
violation (const char *rule, const struct late_order *order)
{
  fprintf (stderr, "%s: op %s endpoint %u group %s\n", rule,
           formation_op_name (order->op), order->endpoint, order->group);
  abort ();
}

static unsigned
index_of (const char *id)
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
head_is_open (const struct truth *member)
{
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      const struct truth *head = &world.truth[i];

      if (head->up && head->rank == 0 && head->epoch == member->epoch
          && strcmp (head->group, member->group) == 0
          && (head->state == ENDPOINT_GROUP_OPEN
              || head->state == ENDPOINT_GROUP_CLOSING))
        return true;
    }
  return false;
}

static void
carry_out_join (struct truth *truth, const struct late_order *order)
{
  if (order->epoch < truth->seen_epoch)
    return;
  if (truth->group[0] != '\0' && strcmp (truth->group, order->group) != 0
      && head_is_open (truth))
    violation ("joined while the head of its group is open", order);
  if (truth->epoch == order->epoch && strcmp (truth->group, order->group) == 0)
    return;
  truth->seen_epoch = order->epoch;
  truth->epoch = order->epoch;
  memcpy (truth->group, order->group, sizeof truth->group);
  truth->state = ENDPOINT_GROUP_JOINING;
  for (unsigned rank = 0; rank < SIZE; rank++)
    if (order->members[rank][0] != '\0'
        && index_of (order->members[rank]) == order->endpoint)
      truth->rank = rank;
}

static void
carry_out_open (struct truth *truth, const struct late_order *order)
{
  if (truth->state != ENDPOINT_GROUP_READY || truth->rank != 0)
    return;
  for (unsigned rank = 0; rank < SIZE; rank++)
    if (order->members[rank][0] == '\0'
        || !was_ready (order->epoch, index_of (order->members[rank])))
      violation ("opened without a member that was ready", order);
  truth->state = ENDPOINT_GROUP_OPEN;
}

static void
carry_out (const struct late_order *order)
{
  struct truth *truth = &world.truth[order->endpoint];

  if (!truth->up)
    return;
  if (order->op == FORMATION_JOIN)
    {
      carry_out_join (truth, order);
      return;
    }
  if (order->op == FORMATION_PREFETCH || truth->epoch != order->epoch
      || strcmp (truth->group, order->group) != 0)
    return;
  switch (order->op)
    {
    case FORMATION_OPEN:
      carry_out_open (truth, order);
      break;
    case FORMATION_LEAVE:
      truth->group[0] = '\0';
      truth->state = ENDPOINT_GROUP_NONE;
      break;
    default:
      if (truth->state == ENDPOINT_GROUP_OPEN)
        truth->state = ENDPOINT_GROUP_READY;
      break;
    }
}

static void
on_order (void *context, const struct formation_order *order)
{
  struct late_order late = { .op = order->op, .epoch = order->epoch };

  (void)context;
  late.endpoint = index_of (order->endpoint);
  memcpy (late.group, order->group, strlen (order->group) + 1);
  for (unsigned rank = 0; rank < SIZE && rank < order->member_count; rank++)
    memcpy (late.members[rank], order->members[rank], sizeof late.members[0]);
  if (world.truth[late.endpoint].silent)
    return;
  if (!world.orders_late)
    carry_out (&late);
  else if (world.late_count < LATE_LIMIT)
    world.late[world.late_count++] = late;
}

static void
on_changed (void *context,
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
  const struct truth *truth = &world.truth[index_of (endpoint->id)];

  (void)context;
  return truth->silent || !truth->up;
}

static void
deliver (unsigned index)
{
  const struct truth *truth = &world.truth[index];
  struct endpoint_report report = { .port = 1 };
  char id[8];

  if (!truth->up)
    return;
  snprintf (id, sizeof id, "e%u", index);
  memcpy (report.service, "llm", 4);
  memcpy (report.data_centre, "a", 2);
  snprintf (report.domain, sizeof report.domain, "d%u", index / 7);
  memcpy (report.cached_models[0], "m", 2);
  report.cached_model_count = 1;
  report.started_ms = truth->started_ms;
  report.leaving = truth->leaving;
  report.state = truth->state;
  if (truth->state != ENDPOINT_GROUP_NONE)
    {
      memcpy (report.group, truth->group, sizeof report.group);
      memcpy (report.model, "m", 2);
      report.epoch = truth->epoch;
      report.rank = truth->rank;
    }
  endpoints_report (&world.endpoints, id, &report, ++world.revision,
                    world.now_ms);
}

static void
crash (unsigned index)
{
  struct truth *truth = &world.truth[index];

  memset (truth, 0, sizeof *truth);
}

static void
lapse (unsigned index)
{
  char id[8];

  snprintf (id, sizeof id, "e%u", index);
  if (!world.truth[index].up)
    endpoints_delete (&world.endpoints, id, ++world.revision, world.now_ms);
}

static void
finish_joins (void)
{
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      struct truth *truth = &world.truth[i];

      if (truth->state != ENDPOINT_GROUP_JOINING)
        continue;
      truth->state = ENDPOINT_GROUP_READY;
      if (world.ready_count < READY_LIMIT)
        {
          world.ready[world.ready_count].epoch = truth->epoch;
          world.ready[world.ready_count++].endpoint = i;
        }
    }
}

static void
tick (unsigned count)
{
  const struct formation_hooks hooks
      = { NULL, on_order, on_changed, is_silent };

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
carry_out_late (uint8_t which)
{
  struct late_order order;

  if (world.late_count == 0)
    return;
  which %= world.late_count;
  order = world.late[which];
  world.late[which] = world.late[--world.late_count];
  carry_out (&order);
}

static void
play (uint8_t op, uint8_t argument)
{
  unsigned index = argument % ENDPOINTS;
  struct truth *truth = &world.truth[index];

  switch (op % 12)
    {
    case 0:
      tick (1 + argument % 16);
      break;
    case 1:
      deliver (index);
      break;
    case 2:
      for (unsigned i = 0; i < ENDPOINTS; i++)
        deliver (i);
      break;
    case 3:
      crash (index);
      break;
    case 4:
      lapse (index);
      break;
    case 5:
      if (!truth->up)
        {
          truth->up = true;
          truth->started_ms = world.now_ms;
        }
      break;
    case 6:
      truth->silent = !truth->silent;
      break;
    case 7:
      world.orders_late = !world.orders_late;
      break;
    case 8:
      carry_out_late (argument);
      break;
    case 9:
      change_lease (argument);
      break;
    case 10:
      truth->leaving = true;
      break;
    case 11:
      finish_joins ();
      break;
    }
}

static void
init (void)
{
  static const struct catalog_model model = { "m", SIZE, 1, 1, 16000, 1600 };
  const struct formation_settings settings
      = { .data_centre = "a", .data_centres = 1 };

  memset (&world, 0, sizeof world);
  world.now_ms = 1000;
  world.fence = 1;
  world.catalog = catalog_new (0, 1, 0);
  if (world.catalog == NULL)
    abort ();
  memcpy (world.catalog->services[0].name, "llm", 4);
  world.catalog->services[0].models[0] = model;
  world.catalog->services[0].model_count = 1;
  world.catalog->service_count = 1;
  endpoints_init (&world.endpoints, NULL, NULL);
  formation_init (&world.formation, &settings);
  formation_set_fence (&world.formation, 1, world.now_ms);
  world.formation.has_traffic = true;
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      world.truth[i].up = true;
      world.truth[i].started_ms = 1;
      deliver (i);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  init ();
  for (size_t i = 0; i + 1 < size; i += 2)
    play (data[i], data[i + 1]);
  formation_finish (&world.formation);
  endpoints_finish (&world.endpoints);
  catalog_unref (world.catalog);
  return 0;
}
