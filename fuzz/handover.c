#include "formation.h"
#include "rng.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * fuzz-runs: 600
 *
 * Two hosts in turn hold the lease, and each has a table of the endpoints of
 * its own: complete and current, old, or with endpoints missing.  Holders are
 * killed, release the lease, or lose it and get it again.  Orders are lost, or
 * carried out up to LATE_LIMIT_MS later.  Endpoints crash, restart under their
 * id, leave, lose their entry, and report late.
 *
 * The oracle knows the actual state of each endpoint.  It checks that no
 * endpoint joins another group while the head of its group opens, is open,
 * closes or stands still, that a head opens only if each member was ready in
 * the group, and that groups serve again once nothing fails any more.
 *
 * The first bytes of the input are the seed; the next choose how often things
 * fail.
 */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define ENDPOINTS 18
#define HOSTS 2
#define SERVICE "llm"
#define TICK_MS 25
#define TROUBLE_MS 15000
#define QUIET_MS 30000
#define LATE_LIMIT_MS 8000
#define STALL_MS 1500
#define OPEN_MS 150
#define STATE_LAG_MS 200 /* age of the state that an endpoint tells */
#define RECHECK_MS 100
#define ORDER_TIMEOUT_MS 1500
#define FLIGHT_LIMIT 1024
#define READY_LIMIT 8192

struct actual_endpoint
{
  bool is_running;
  bool is_leaving;
  int64_t started_ms;
  uint64_t fence;                /* highest fencing token */
  uint64_t epoch;                /* highest epoch of a group that it joined */
  uint64_t orders;               /* accepted since the start */
  struct endpoint_report report; /* the group, and the models */
  const char *members[FORMATION_SIZE_LIMIT];
  unsigned member_count;
  const char *last_model; /* "" = none */
  int64_t ready_ms;       /* joining until then */
  int64_t open_ms;        /* opens then; 0 = no order to open */
  int64_t stalled_ms; /* open without all members since then; 0 = it has them */
  /* What the endpoint tells of itself: its state of a moment ago. */
  struct endpoint_report told;
  int64_t told_ms;
  /* Its entry in the platform's list. */
  struct endpoint_report entry;
  uint64_t revision; /* 0 = no entry */
  bool is_deleted;
  int64_t publish_ms; /* when the entry is written; 0 = it is up to date */
};

struct host
{
  struct endpoints endpoints;
  struct formation formation;
  uint64_t fence; /* 0 = it does not hold the lease */
  uint64_t known_revision;
};

enum flight_kind
{
  FLIGHT_READS_STATE,
  FLIGHT_ORDER,
};

struct flight
{
  enum flight_kind kind;
  unsigned host;
  unsigned endpoint;
  enum formation_op op;
  uint64_t fence;
  const char *group;
  uint64_t epoch;
  const char *model;
  const char *members[FORMATION_SIZE_LIMIT];
  unsigned member_count;
  struct formation_basis basis;
  bool has_condition;
  uint64_t expected_orders;
  int64_t sent_ms;
  int64_t due_ms;
  int64_t
      started_ms; /* an order in an endpoint's queue ends with its process */
};

struct world
{
  struct rng rng;
  struct catalog *catalog;
  struct text_pool texts; /* of orders, and so of what the endpoints report */
  struct actual_endpoint endpoints[ENDPOINTS];
  struct host hosts[HOSTS];
  unsigned holder;
  uint64_t fence;     /* last one given away */
  int64_t acquire_ms; /* the lease is free until then; 0 = it is held */
  bool keeps_fence;   /* the same host gets it again */
  bool is_quiet;      /* nothing fails any more */
  unsigned late_percent;
  unsigned lost_percent;
  unsigned fault_permille;  /* for each tick */
  unsigned change_permille; /* changes of holder for each tick */
  unsigned odd_table_percent;
  int64_t publish_lag_ms;
  uint64_t revision;
  int64_t now_ms;
  struct flight flights[FLIGHT_LIMIT];
  unsigned flight_count;
  struct
  {
    uint64_t epoch;
    unsigned endpoint;
  } ready[READY_LIMIT];
  unsigned ready_count;
};

static struct world world;

static void
check (bool condition, const char *failure, const char *id)
{
  if (condition)
    return;
  fprintf (stderr, "%s: %s at %lld ms\n", failure, id, (long long)world.now_ms);
  abort ();
}

static bool
is_drawn (unsigned percent)
{
  return !world.is_quiet && rng_below (&world.rng, 100) < percent;
}

static int64_t
draw_ms (int64_t limit_ms)
{
  return 1 + (int64_t)rng_below (&world.rng, (uint64_t)limit_ms);
}

static unsigned
endpoint_index (const char *id)
{
  return (unsigned)strtoul (id + 1, NULL, 10);
}

static void
format_id (char *id, size_t size, unsigned index)
{
  snprintf (id, size, "e%u", index);
}

/* The endpoints and their entries. */

static struct endpoint_report
make_report (const struct actual_endpoint *actual)
{
  struct endpoint_report report = actual->report;

  report.started_ms = actual->started_ms;
  report.leaving = actual->is_leaving;
  report.orders = actual->orders;
  /* The weights are not loaded yet. */
  if (report.state == ENDPOINT_GROUP_JOINING)
    report.model = "";
  return report;
}

static void
change_endpoint (struct actual_endpoint *actual)
{
  if (actual->publish_ms == 0)
    actual->publish_ms
        = world.now_ms + draw_ms (world.is_quiet ? 50 : world.publish_lag_ms);
}

static void
start_endpoint (unsigned index)
{
  struct actual_endpoint *actual = &world.endpoints[index];
  uint64_t revision = actual->revision;
  struct endpoint_report entry = actual->entry;
  bool is_deleted = actual->is_deleted;

  memset (actual, 0, sizeof *actual);
  actual->revision = revision;
  actual->entry = entry;
  actual->is_deleted = is_deleted;
  actual->is_running = true;
  actual->started_ms = world.now_ms;
  actual->report.port = 1;
  actual->last_model = "";
  actual->report.service = SERVICE;
  actual->report.data_centre = "a";
  actual->report.domain = index % 2 == 0 ? "d0" : "d1";
  actual->report.cached_models[0] = "m";
  actual->report.cached_models[1] = "n";
  actual->report.cached_model_count = 2;
  actual->told = make_report (actual);
  change_endpoint (actual);
}

static const struct actual_endpoint *
find_head (const struct actual_endpoint *member)
{
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      const struct actual_endpoint *head = &world.endpoints[i];

      if (head->is_running && head->report.state != ENDPOINT_GROUP_NONE
          && head->report.rank == 0
          && head->report.epoch == member->report.epoch
          && strcmp (head->report.group, member->report.group) == 0)
        return head;
    }
  return NULL;
}

static bool
has_all_members (const struct actual_endpoint *head)
{
  for (unsigned i = 0; i < head->member_count; i++)
    {
      const struct actual_endpoint *member
          = &world.endpoints[endpoint_index (head->members[i])];

      if (!member->is_running || member->report.epoch != head->report.epoch
          || strcmp (member->report.group, head->report.group) != 0)
        return false;
    }
  return true;
}

static void
record_ready (unsigned index)
{
  if (world.ready_count == READY_LIMIT)
    abort ();
  world.ready[world.ready_count].epoch = world.endpoints[index].report.epoch;
  world.ready[world.ready_count++].endpoint = index;
}

static bool
was_ready (uint64_t epoch, unsigned index)
{
  for (unsigned i = 0; i < world.ready_count; i++)
    if (world.ready[i].epoch == epoch && world.ready[i].endpoint == index)
      return true;
  return false;
}

static void
advance_endpoint (unsigned index)
{
  struct actual_endpoint *actual = &world.endpoints[index];
  struct endpoint_report *report = &actual->report;
  enum endpoint_group_state before = report->state;

  if (!actual->is_running)
    return;
  if (report->state == ENDPOINT_GROUP_JOINING
      && world.now_ms >= actual->ready_ms)
    {
      report->state = ENDPOINT_GROUP_READY;
      record_ready (index);
    }
  if (actual->open_ms != 0 && world.now_ms >= actual->open_ms)
    {
      actual->open_ms = 0;
      report->state = ENDPOINT_GROUP_OPEN;
      for (unsigned i = 0; i < actual->member_count; i++)
        check (was_ready (report->epoch, endpoint_index (actual->members[i])),
               "a group opens though a member was never ready in it",
               actual->members[i]);
    }
  if (report->state == ENDPOINT_GROUP_CLOSING)
    report->state = ENDPOINT_GROUP_READY;
  if (report->state != ENDPOINT_GROUP_OPEN || has_all_members (actual))
    actual->stalled_ms = 0;
  else if (actual->stalled_ms == 0)
    actual->stalled_ms = world.now_ms;
  else if (world.now_ms - actual->stalled_ms > STALL_MS)
    report->state = ENDPOINT_GROUP_BROKEN;
  if (report->state != before)
    change_endpoint (actual);
  if (world.now_ms - actual->told_ms >= STATE_LAG_MS)
    {
      actual->told = make_report (actual);
      actual->told_ms = world.now_ms;
    }
  if (actual->publish_ms != 0 && world.now_ms >= actual->publish_ms)
    {
      actual->publish_ms = 0;
      actual->entry = make_report (actual);
      actual->is_deleted = false;
      actual->revision = ++world.revision;
    }
}

static void
delete_entry (unsigned index)
{
  struct actual_endpoint *actual = &world.endpoints[index];

  if (actual->revision == 0 || actual->is_deleted)
    return;
  actual->is_deleted = true;
  actual->revision = ++world.revision;
  /* A running endpoint writes it again with its next heartbeat. */
  if (actual->is_running)
    actual->publish_ms = world.now_ms + draw_ms (1500);
}

/* Orders. */

static void
execute_join (unsigned index, const struct flight *flight)
{
  struct actual_endpoint *actual = &world.endpoints[index];
  struct endpoint_report *report = &actual->report;
  const struct actual_endpoint *head = find_head (actual);
  bool is_same = report->state != ENDPOINT_GROUP_NONE
                 && report->epoch == flight->epoch
                 && strcmp (report->group, flight->group) == 0;

  if (is_same || flight->epoch < actual->epoch)
    return;
  if (report->state != ENDPOINT_GROUP_NONE && head != NULL)
    check (head->report.state != ENDPOINT_GROUP_OPEN
               && head->report.state != ENDPOINT_GROUP_CLOSING
               && head->open_ms == 0,
           "an endpoint is taken from a group that may serve", flight->group);
  actual->epoch = flight->epoch;
  actual->orders++;
  actual->open_ms = 0;
  actual->stalled_ms = 0;
  report->group = flight->group;
  report->model = flight->model;
  report->epoch = flight->epoch;
  report->state = ENDPOINT_GROUP_JOINING;
  memcpy (actual->members, flight->members, sizeof actual->members);
  actual->member_count = flight->member_count;
  for (unsigned rank = 0; rank < flight->member_count; rank++)
    if (endpoint_index (flight->members[rank]) == index)
      report->rank = rank;
  actual->ready_ms
      = world.now_ms
        + (strcmp (actual->last_model, flight->model) == 0 ? 200 : 1100);
  actual->last_model = flight->model;
}

/* True if the endpoint accepts the order. */
static bool
execute_order (const struct flight *flight)
{
  struct actual_endpoint *actual = &world.endpoints[flight->endpoint];
  struct endpoint_report *report = &actual->report;
  uint64_t orders = actual->orders;

  if (!actual->is_running || flight->started_ms != actual->started_ms
      || flight->fence < actual->fence)
    return false;
  actual->fence = flight->fence;
  if (flight->has_condition && flight->expected_orders != actual->orders)
    return false;
  if (flight->op == FORMATION_JOIN)
    execute_join (flight->endpoint, flight);
  else if (report->state == ENDPOINT_GROUP_NONE
           || report->epoch != flight->epoch
           || strcmp (report->group, flight->group) != 0)
    return false;
  else if (flight->op == FORMATION_LEAVE)
    {
      actual->orders++;
      actual->open_ms = 0;
      report->state = ENDPOINT_GROUP_NONE;
      report->group = "";
    }
  else if (report->rank != 0)
    return false;
  else if (flight->op == FORMATION_OPEN)
    {
      if (report->state != ENDPOINT_GROUP_READY || actual->open_ms != 0)
        return false;
      actual->orders++;
      actual->open_ms = world.now_ms + OPEN_MS;
    }
  else
    {
      actual->orders++;
      actual->open_ms = 0;
      if (report->state == ENDPOINT_GROUP_OPEN)
        report->state = ENDPOINT_GROUP_CLOSING;
    }
  change_endpoint (actual);
  return actual->orders != orders;
}

static void
add_flight (const struct flight *flight)
{
  if (world.flight_count < FLIGHT_LIMIT)
    world.flights[world.flight_count++] = *flight;
}

/* True if it was carried out at once, so that its sender gets a response. */
static bool
send_order (const struct flight *order)
{
  struct flight flight = *order;

  flight.kind = FLIGHT_ORDER;
  flight.started_ms = world.endpoints[flight.endpoint].started_ms;
  if (is_drawn (world.lost_percent))
    return false;
  if (!is_drawn (world.late_percent))
    return execute_order (&flight);
  flight.due_ms = world.now_ms + draw_ms (LATE_LIMIT_MS);
  add_flight (&flight);
  return false;
}

static void
leave_and_join (const struct flight *join)
{
  struct flight flight = *join;

  flight.op = FORMATION_LEAVE;
  flight.epoch = join->basis.epoch;
  flight.group = join->basis.group;
  if (!send_order (&flight))
    return;
  flight = *join;
  flight.expected_orders++;
  send_order (&flight);
}

static void
read_state (const struct flight *read)
{
  const struct actual_endpoint *actual = &world.endpoints[read->endpoint];
  struct flight flight = *read;

  if (!actual->is_running)
    return;
  flight.has_condition = true;
  flight.expected_orders = actual->told.orders;
  switch (formation_check_join (&read->basis, read->group, read->epoch,
                                &actual->told))
    {
    case FORMATION_JOIN_SEND:
      send_order (&flight);
      break;
    case FORMATION_JOIN_LEAVE_FIRST:
      leave_and_join (&flight);
      break;
    case FORMATION_JOIN_RETRY:
      flight.due_ms = world.now_ms + RECHECK_MS;
      if (flight.due_ms - flight.sent_ms < ORDER_TIMEOUT_MS)
        add_flight (&flight);
      break;
    case FORMATION_JOIN_DROP:
      break;
    }
}

static void
advance_flights (void)
{
  unsigned count = world.flight_count;
  unsigned kept = 0;

  for (unsigned i = 0; i < count; i++)
    {
      const struct flight flight = world.flights[i];
      const struct host *host = &world.hosts[flight.host];
      char id[16];

      format_id (id, sizeof id, flight.endpoint);
      if (world.now_ms < flight.due_ms)
        world.flights[kept++] = flight;
      else if (flight.kind == FLIGHT_ORDER)
        execute_order (&flight);
      else if (host->fence == flight.fence
               && formation_is_order_current (&host->formation, flight.op, id,
                                              flight.group, flight.epoch))
        read_state (&flight);
    }
  /* Those that were added meanwhile. */
  memmove (&world.flights[kept], &world.flights[count],
           (world.flight_count - count) * sizeof world.flights[0]);
  world.flight_count = kept + world.flight_count - count;
}

static void
on_order (void *context, const struct formation_order *order)
{
  struct host *host = context;
  struct flight flight = { .op = order->op, .epoch = order->epoch };

  flight.host = (unsigned)(host - world.hosts);
  flight.endpoint = endpoint_index (order->endpoint);
  flight.fence = host->fence;
  flight.sent_ms = world.now_ms;
  flight.group = text_pool_add (&world.texts, order->group);
  flight.model = text_pool_add (&world.texts, order->model);
  flight.member_count = order->member_count;
  for (unsigned i = 0; order->members != NULL && i < order->member_count; i++)
    flight.members[i] = text_pool_add (&world.texts, order->members[i]);
  if (order->basis == NULL)
    {
      send_order (&flight);
      return;
    }
  flight.kind = FLIGHT_READS_STATE;
  flight.basis = *order->basis;
  flight.basis.group = text_pool_add (&world.texts, order->basis->group);
  flight.due_ms = world.now_ms + draw_ms (20);
  add_flight (&flight);
}

/* The hosts. */

static void
on_phase_changed (void *context,
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
  (void)context;
  return !world.endpoints[endpoint_index (endpoint->id)].is_running;
}

/* Tells the host of the entries that changed after the revision it knows. */
static void
update_table (struct host *host)
{
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      const struct actual_endpoint *actual = &world.endpoints[i];
      char id[8];

      if (actual->revision <= host->known_revision)
        continue;
      format_id (id, sizeof id, i);
      if (actual->is_deleted)
        endpoints_delete (&host->endpoints, id, actual->revision, world.now_ms);
      else
        endpoints_report (&host->endpoints, id, &actual->entry,
                          actual->revision, world.now_ms);
    }
  host->known_revision = world.revision;
}

/* Lists the entries; a page of them may be missing. */
static void
list_endpoints (struct host *host, unsigned missing_percent)
{
  endpoints_relist_begin (&host->endpoints);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      const struct actual_endpoint *actual = &world.endpoints[i];
      char id[8];

      format_id (id, sizeof id, i);
      if (actual->revision != 0 && !actual->is_deleted
          && !is_drawn (missing_percent))
        endpoints_report (&host->endpoints, id, &actual->entry,
                          actual->revision, world.now_ms);
    }
  endpoints_relist_end (&host->endpoints, world.revision, world.now_ms);
  host->known_revision = world.revision;
}

static void
start_host (struct host *host)
{
  const struct formation_settings settings
      = { .data_centre = "a", .data_centres = 1 };

  memset (host, 0, sizeof *host);
  endpoints_init (&host->endpoints, NULL, NULL);
  formation_init (&host->formation, &settings);
  host->formation.has_traffic = true;
}

static void
finish_host (struct host *host)
{
  formation_finish (&host->formation);
  endpoints_finish (&host->endpoints);
}

static void
take_lease (void)
{
  struct host *host = &world.hosts[world.holder];
  bool keeps_table = host->known_revision != 0 && is_drawn (50);

  world.acquire_ms = 0;
  if (!world.keeps_fence)
    world.fence++;
  host->fence = world.fence;
  formation_set_fence (&host->formation, world.fence, world.now_ms);
  if (!is_drawn (world.odd_table_percent))
    list_endpoints (host, 0);
  else if (!keeps_table)
    list_endpoints (host, 50);
}

static void
lose_lease (void)
{
  struct host *host = &world.hosts[world.holder];
  unsigned kind = (unsigned)rng_below (&world.rng, 4);

  host->fence = 0;
  formation_set_fence (&host->formation, 0, world.now_ms);
  world.keeps_fence = false;
  world.acquire_ms = world.now_ms + draw_ms (200);
  if (kind == 0) /* killed */
    {
      finish_host (host);
      start_host (host);
      world.acquire_ms = world.now_ms + 3400;
    }
  else if (kind == 1) /* its renewal was late */
    world.keeps_fence = true;
  if (kind != 1 && is_drawn (70))
    world.holder = (world.holder + 1) % HOSTS;
}

static void
run_host (struct host *host)
{
  const struct formation_hooks hooks
      = { host, on_order, on_phase_changed, is_silent };

  if (world.is_quiet || is_drawn (50))
    update_table (host);
  endpoints_tick (&host->endpoints, world.now_ms);
  if (host->fence != 0)
    formation_tick (&host->formation, &host->endpoints, world.catalog, &hooks,
                    world.now_ms);
}

/* Faults. */

static void
inject_fault (void)
{
  unsigned index = (unsigned)rng_below (&world.rng, ENDPOINTS);
  struct actual_endpoint *actual = &world.endpoints[index];

  switch (rng_below (&world.rng, 6))
    {
    case 0: /* crashes; its entry expires */
      actual->is_running = false;
      delete_entry (index);
      break;
    case 1: /* starts again under its id */
      start_endpoint (index);
      break;
    case 2: /* its entry expires though it runs */
    case 3:
      delete_entry (index);
      break;
    case 4:
      actual->is_leaving = actual->is_running;
      change_endpoint (actual);
      break;
    default:
      for (unsigned i = 0; i < ENDPOINTS; i++)
        if (!world.endpoints[i].is_running)
          start_endpoint (i);
      break;
    }
}

static void
run_tick (void)
{
  world.now_ms += TICK_MS;
  advance_flights ();
  for (unsigned i = 0; i < ENDPOINTS; i++)
    advance_endpoint (i);
  if (!world.is_quiet && rng_below (&world.rng, 1000) < world.fault_permille)
    inject_fault ();
  if (world.acquire_ms != 0 && world.now_ms >= world.acquire_ms)
    take_lease ();
  else if (world.acquire_ms == 0 && !world.is_quiet
           && rng_below (&world.rng, 1000) < world.change_permille)
    lose_lease ();
  for (unsigned i = 0; i < HOSTS; i++)
    run_host (&world.hosts[i]);
}

static void
init_world (uint64_t seed)
{
  static struct catalog_model models[]
      = { { "m", 6, 0.6, 1, 16000, 1100 }, { "n", 3, 0.4, 1, 12000, 1100 } };

  memset (&world, 0, sizeof world);
  rng_init (&world.rng, seed);
  world.now_ms = 1000;
  world.acquire_ms = 1;
  world.publish_lag_ms = 100;
  world.catalog = catalog_new (0, 1, 0);
  if (world.catalog == NULL)
    abort ();
  world.catalog->services[0].name = SERVICE;
  world.catalog->services[0].models = models;
  world.catalog->services[0].model_count = 2;
  world.catalog->services[0].concurrent_loads = 8;
  world.catalog->services[0].loads_per_s = 10;
  world.catalog->service_count = 1;
  catalog_index_services (world.catalog);
  for (unsigned i = 0; i < HOSTS; i++)
    start_host (&world.hosts[i]);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    start_endpoint (i);
}

static unsigned
count_open_groups (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < ENDPOINTS; i++)
    if (world.endpoints[i].is_running
        && world.endpoints[i].report.state == ENDPOINT_GROUP_OPEN)
      count++;
  return count;
}

/* Once all endpoints are sound again, half of them serve in groups at least. */
static void
check_recovery (void)
{
  int64_t until_ms = world.now_ms + QUIET_MS;

  world.is_quiet = true;
  for (unsigned i = 0; i < ENDPOINTS; i++)
    if (!world.endpoints[i].is_running || world.endpoints[i].is_leaving)
      start_endpoint (i);
  for (unsigned i = 0; i < HOSTS; i++)
    list_endpoints (&world.hosts[i], 0);
  while (world.now_ms < until_ms && count_open_groups () < 2)
    run_tick ();
  check (count_open_groups () >= 2, "no groups serve after the last fault", "");
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  uint64_t seed = 0;
  uint8_t choices[6] = { 0 };
  int64_t until_ms;

  if (size > 0)
    memcpy (&seed, data, size < sizeof seed ? size : sizeof seed);
  if (size > sizeof seed)
    memcpy (choices, data + sizeof seed,
            size - sizeof seed < sizeof choices ? size - sizeof seed
                                                : sizeof choices);
  init_world (seed);
  world.late_percent = choices[0] % 60;
  world.lost_percent = choices[1] % 30;
  world.fault_permille = choices[2] % 40;
  world.change_permille = choices[3] % 30;
  world.odd_table_percent = choices[4] % 100;
  world.publish_lag_ms = 20 + choices[5] * 4;
  until_ms = world.now_ms + TROUBLE_MS;
  while (world.now_ms < until_ms)
    run_tick ();
  check_recovery ();
  for (unsigned i = 0; i < HOSTS; i++)
    finish_host (&world.hosts[i]);
  catalog_unref (world.catalog);
  text_pool_finish (&world.texts);
  return 0;
}
