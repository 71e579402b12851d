#include "schedule.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Range of the time between the starts of two faults. */
#define GAP_MIN_MS 150
#define GAP_MAX_MS 1100
/* Connections made silent affect a host or endpoint for at most this time. */
#define SILENCE_EFFECT_MS 4000
/* A store that is restored from a copy is away for this long before. */
#define RESTORE_AWAY_MS 600L
/* Strength of a fault whose single effect has happened. */
#define STRENGTH_SPENT (-1)

enum fault_target
{
  TARGET_NONE,
  TARGET_HOST,
  TARGET_ENDPOINT,
  TARGET_CROWD, /* a lease holder, or many hosts or endpoints at once */
};

struct fault_kind
{
  const char *name;
  enum fault_target target;
  unsigned weight; /* relative frequency */
  /* Duration and strength are drawn from these ranges. */
  int duration_min_ms;
  int duration_max_ms;
  int strength_min;
  int strength_max;
  /* Called once, when the fault starts; NULL = nothing to do. */
  void (*start) (struct schedule *schedule, struct fault *fault);
  /* Called on every tick of the fault; NULL = nothing to do. */
  void (*apply) (struct schedule *schedule, struct fault *fault);
  /* Only drawn if it is listed: it needs settings that other runs lack. */
  bool is_on_demand;
};

/* Faults of the store, seen by all hosts. */

static void
refuse_store_calls (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  schedule->world->store.faults.rejects_calls = true;
}

static void
silence_store (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  schedule->world->store.faults.silent = true;
}

static void
delay_store_responses (struct schedule *schedule, struct fault *fault)
{
  schedule->world->store.faults.delay_ms = fault->strength;
}

static void
lose_store_responses (struct schedule *schedule, struct fault *fault)
{
  schedule->world->store.faults.lost_response_percent
      = (unsigned)fault->strength;
}

static void
delay_store_writes (struct schedule *schedule, struct fault *fault)
{
  schedule->world->store.faults.late_percent = (unsigned)fault->strength;
  schedule->world->store.faults.late_delay_ms = 1000 + 40 * fault->strength;
}

static void
clear_store_history (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  standin_store_discard_history (&schedule->world->store);
}

/* Lets the entries of about half of the endpoints expire at once. */
static void
expire_endpoint_entries (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  (void)fault;
  for (unsigned i = 0; i < world->endpoint_count; i++)
    if (rng_below (&schedule->rng, 2) == 0)
      standin_expire_entry (world->endpoints[i].standin);
}

/* Faults of hosts. */

static void
kill_host (struct schedule *schedule, struct fault *fault)
{
  host_kill (fault->host, schedule->world->now_ms, fault->until_ms);
}

static void
kill_all_hosts (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->host_count; i++)
    host_kill (&world->hosts[i], world->now_ms, fault->until_ms);
}

static void
stop_host (struct schedule *schedule, struct fault *fault)
{
  host_term (fault->host, schedule->world->now_ms, fault->until_ms);
}

static void
pause_host (struct schedule *schedule, struct fault *fault)
{
  host_pause (fault->host, schedule->world->now_ms, fault->until_ms);
}

static void
reload_host (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  host_reload (fault->host);
}

/* Faults of the network path from a host to the store. */

static void
delay_store_link (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->host->store_proxy.delay_ms = fault->strength;
}

static void
partition_store_link (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->host->store_proxy.partitioned[PROXY_UP] = true;
  fault->host->store_proxy.partitioned[PROXY_DOWN] = true;
}

static void
partition_store_link_one_way (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->host->store_proxy.partitioned[fault->strength % PROXY_DIRECTIONS]
      = true;
}

static void
reset_store_link (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  proxy_reset_connections (&fault->host->store_proxy);
}

static void
silence_store_link (struct schedule *schedule, struct fault *fault)
{
  proxy_silence_connections (&fault->host->store_proxy);
  fault->until_ms = schedule->world->now_ms + SILENCE_EFFECT_MS;
}

/* Faults of endpoints and of the network paths to them. */

static void
crash_endpoint (struct schedule *schedule, struct fault *fault)
{
  if (!fault->endpoint->standin->up)
    return;
  standin_crash (fault->endpoint->standin);
  world_replace_endpoint (schedule->world, fault->endpoint);
}

static void
restart_endpoint (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  if (!fault->endpoint->standin->up)
    return;
  standin_crash (fault->endpoint->standin);
  if (!standin_restart (fault->endpoint->standin))
    {
      fprintf (stderr, "soak: cannot open the port of %s again\n",
               fault->endpoint->standin->id);
      exit (2);
    }
}

static void
make_endpoint_leave (struct schedule *schedule, struct fault *fault)
{
  if (!fault->endpoint->standin->up || fault->endpoint->standin->leaving)
    return;
  standin_leave (fault->endpoint->standin);
  world_replace_endpoint (schedule->world, fault->endpoint);
}

static void
lose_endpoint_responses (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->endpoint->standin->faults.lost_response_percent
      = (unsigned)fault->strength;
}

static void
fail_endpoint_requests (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->endpoint->standin->faults.error_percent = (unsigned)fault->strength;
}

static void
refuse_endpoint_requests (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->endpoint->standin->faults.busy_percent = (unsigned)fault->strength;
}

static void
slow_endpoint_down (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->endpoint->standin->faults.slow_factor = 1 + fault->strength / 10;
}

static void
delay_orders (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->endpoint_count; i++)
    {
      struct standin_endpoint_faults *faults
          = &world->endpoints[i].standin->faults;

      faults->late_percent = (unsigned)fault->strength;
      faults->late_delay_limit_ms = 2000 + 60 * fault->strength;
    }
}

static void
delay_endpoint_link (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->endpoint->proxy.delay_ms = fault->strength;
}

static void
partition_endpoint_link (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->endpoint->proxy.partitioned[PROXY_UP] = true;
  fault->endpoint->proxy.partitioned[PROXY_DOWN] = true;
}

static void
partition_endpoint_link_one_way (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->endpoint->proxy.partitioned[fault->strength % PROXY_DIRECTIONS] = true;
}

static void
reset_endpoint_link (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  proxy_reset_connections (&fault->endpoint->proxy);
}

static void
silence_endpoint_link (struct schedule *schedule, struct fault *fault)
{
  proxy_silence_connections (&fault->endpoint->proxy);
  fault->until_ms = schedule->world->now_ms + SILENCE_EFFECT_MS;
}

static void
copy_store (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  standin_store_take_copy (&schedule->world->store);
}

/* Restores the store after a while without it, at the end of the fault. */
static void
restore_store (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  if (fault->strength == STRENGTH_SPENT
      || fault->until_ms - world->now_ms > 2 * RESTORE_AWAY_MS)
    return;
  if (fault->until_ms - world->now_ms > RESTORE_AWAY_MS)
    {
      world->store.faults.rejects_calls = true;
      return;
    }
  fault->strength = STRENGTH_SPENT;
  world_log_event (world, "the store is restored from a copy");
  standin_store_restore (&world->store);
  operator_rewrite (&world->operator);
  standin_rewrite_entries (&world->fleet);
}

/* Every endpoint states a limit; the strength is requests in 10 s. */
static void
limit_endpoints (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->endpoint_count; i++)
    world->endpoints[i].standin->faults.limit_per_10_s
        = (unsigned)fault->strength;
}

/* The operator evacuates a data centre for the duration of the fault. */
static void
evacuate_data_centre (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;
  const char *data_centre = world_data_centres[rng_below (
      &schedule->rng, world->options.shape->data_centres)];

  if (!world->options.has_evacuations)
    return;
  world_log_event (world, "%s is evacuated", data_centre);
  operator_evacuate (&world->operator, data_centre, world->now_ms,
                     fault->until_ms);
}

/* Endpoints become cold again; the strength is their percentage. */
static void
cool_endpoints (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->endpoint_count; i++)
    if (!world->endpoints[i].replaced
        && rng_below (&schedule->rng, 100) < (uint64_t)fault->strength)
      standin_make_cold (world->endpoints[i].standin);
}

/* Faults of the lease holder of a data centre, and of many at once. */

/* The host that the store names as holder; NULL if there is none. */
static struct host *
draw_lease_holder (struct schedule *schedule)
{
  struct world *world = schedule->world;
  const char *data_centre = world_data_centres[rng_below (
      &schedule->rng, world->options.shape->data_centres)];
  const char *holder = standin_store_get_text (&world->store, WORLD_LEASE_KIND,
                                               data_centre, "holder");
  size_t size;

  if (holder == NULL)
    return NULL;
  size = strcspn (holder, "/");
  for (unsigned i = 0; i < world->host_count; i++)
    if (strlen (world->hosts[i].name) == size
        && strncmp (world->hosts[i].name, holder, size) == 0)
      {
        world_log_event (world, "%s holds the lease of %s",
                         world->hosts[i].name, data_centre);
        return &world->hosts[i];
      }
  return NULL;
}

static void
kill_lease_holder (struct schedule *schedule, struct fault *fault)
{
  struct host *host = draw_lease_holder (schedule);

  if (host != NULL)
    host_kill (host, schedule->world->now_ms, fault->until_ms);
}

static void
stop_lease_holder (struct schedule *schedule, struct fault *fault)
{
  struct host *host = draw_lease_holder (schedule);

  if (host != NULL)
    host_term (host, schedule->world->now_ms, fault->until_ms);
}

static void
pause_lease_holder (struct schedule *schedule, struct fault *fault)
{
  struct host *host = draw_lease_holder (schedule);

  if (host != NULL)
    host_pause (host, schedule->world->now_ms, fault->until_ms);
}

/* The strength is the percentage of the hosts. */
static void
kill_many_hosts (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->host_count; i++)
    if (rng_below (&schedule->rng, 100) < (uint64_t)fault->strength)
      host_kill (&world->hosts[i], world->now_ms, fault->until_ms);
}

static void
stop_many_hosts (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->host_count; i++)
    if (rng_below (&schedule->rng, 100) < (uint64_t)fault->strength)
      host_term (&world->hosts[i], world->now_ms, fault->until_ms);
}

/* Restarts endpoints under their ids; the strength is their percentage. */
static void
restart_many_endpoints (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->endpoint_count; i++)
    if (!world->endpoints[i].replaced
        && rng_below (&schedule->rng, 100) < (uint64_t)fault->strength)
      {
        struct fault single = { .endpoint = &world->endpoints[i] };

        single.endpoint->standin->disturbed_until_ms = world->now_ms;
        restart_endpoint (schedule, &single);
      }
}

/* Changes by the operator. */

static void
move_route (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_move_route (&schedule->world->operator);
}

static void
change_extra_routes (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_change_extra_routes (&schedule->world->operator);
}

static void
revoke_key (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_revoke_key (&schedule->world->operator);
}

static void
restore_keys (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_restore_keys (&schedule->world->operator);
}

/* clang-format off */
static const struct fault_kind fault_kinds[] = {
  { "store-refuses", TARGET_NONE, 3, 300, 4000, 0, 0, NULL, refuse_store_calls },
  { "store-silent", TARGET_NONE, 3, 300, 4000, 0, 0, NULL, silence_store },
  { "store-silent-lapse", TARGET_NONE, 2, 1500, 4000, 0, 0, expire_endpoint_entries, silence_store },
  { "store-slow", TARGET_NONE, 2, 1000, 4000, 30, 700, NULL, delay_store_responses },
  { "store-lossy", TARGET_NONE, 3, 1000, 4000, 10, 60, NULL, lose_store_responses },
  { "store-late", TARGET_NONE, 3, 1000, 4000, 10, 60, NULL, delay_store_writes },
  { "store-forgets", TARGET_NONE, 3, 0, 0, 0, 0, clear_store_history, NULL },
  { "host-killed", TARGET_HOST, 6, 200, 2500, 0, 0, kill_host, NULL },
  { "all-hosts-killed", TARGET_NONE, 1, 200, 1500, 0, 0, kill_all_hosts, NULL },
  { "host-stopped", TARGET_HOST, 6, 100, 1000, 0, 0, stop_host, NULL },
  { "host-paused", TARGET_HOST, 6, 200, 4500, 0, 0, pause_host, NULL },
  { "host-reloaded", TARGET_HOST, 3, 0, 0, 0, 0, reload_host, NULL },
  { "store-link-slow", TARGET_HOST, 2, 500, 4000, 20, 500, NULL, delay_store_link },
  { "store-link-cut", TARGET_HOST, 4, 500, 12000, 0, 0, NULL, partition_store_link },
  { "store-link-cut-one-way", TARGET_HOST, 4, 500, 7000, 0, 1, NULL, partition_store_link_one_way },
  { "store-link-reset", TARGET_HOST, 3, 0, 0, 0, 0, reset_store_link, NULL },
  { "store-link-silent", TARGET_HOST, 3, 0, 0, 0, 0, silence_store_link, NULL },
  { "endpoint-crashes", TARGET_ENDPOINT, 6, 0, 0, 0, 0, crash_endpoint, NULL },
  { "endpoint-reborn", TARGET_ENDPOINT, 4, 0, 0, 0, 0, restart_endpoint, NULL },
  { "endpoint-leaves", TARGET_ENDPOINT, 8, 0, 0, 0, 0, make_endpoint_leave, NULL },
  { "endpoint-loses-answers", TARGET_ENDPOINT, 5, 500, 4000, 10, 60, NULL, lose_endpoint_responses },
  { "endpoint-fails", TARGET_ENDPOINT, 3, 500, 4000, 10, 60, NULL, fail_endpoint_requests },
  { "endpoint-busy", TARGET_ENDPOINT, 3, 500, 4000, 10, 100, NULL, refuse_endpoint_requests },
  { "endpoint-slow", TARGET_ENDPOINT, 3, 500, 4000, 20, 90, NULL, slow_endpoint_down },
  { "orders-late", TARGET_NONE, 4, 1000, 6000, 10, 60, NULL, delay_orders },
  { "endpoint-link-slow", TARGET_ENDPOINT, 2, 500, 4000, 10, 300, NULL, delay_endpoint_link },
  { "endpoint-link-cut", TARGET_ENDPOINT, 4, 300, 4000, 0, 0, NULL, partition_endpoint_link },
  { "endpoint-link-cut-one-way", TARGET_ENDPOINT, 4, 300, 4000, 0, 1, NULL, partition_endpoint_link_one_way },
  { "endpoint-link-reset", TARGET_ENDPOINT, 4, 0, 0, 0, 0, reset_endpoint_link, NULL },
  { "endpoint-link-silent", TARGET_ENDPOINT, 4, 0, 0, 0, 0, silence_endpoint_link, NULL },
  { "holder-killed", TARGET_CROWD, 6, 200, 2500, 0, 0, kill_lease_holder, NULL },
  { "holder-stopped", TARGET_CROWD, 6, 200, 2500, 0, 0, stop_lease_holder, NULL },
  { "holder-paused", TARGET_CROWD, 6, 1000, 6500, 0, 0, pause_lease_holder, NULL },
  { "hosts-killed", TARGET_CROWD, 3, 200, 2500, 10, 90, kill_many_hosts, NULL },
  { "hosts-stopped", TARGET_CROWD, 3, 200, 2500, 10, 90, stop_many_hosts, NULL },
  { "endpoints-reborn", TARGET_CROWD, 6, 0, 0, 1, 10, restart_many_endpoints, NULL },
  { "all-orders-late", TARGET_CROWD, 6, 1000, 4000, 80, 100, NULL, delay_orders },
  { "store-restored", TARGET_CROWD, 6, 2000, 9000, 0, 0, copy_store, restore_store },
  { "limits-stated", TARGET_CROWD, 6, 5000, 12000, 2, 60, NULL, limit_endpoints },
  { "evacuation", TARGET_CROWD, 6, 7000, 12000, 0, 0, evacuate_data_centre, NULL, true },
  { "endpoints-cold", TARGET_CROWD, 6, 0, 0, 10, 60, cool_endpoints, NULL, true },
  { "route-moves", TARGET_NONE, 5, 0, 0, 0, 0, move_route, NULL },
  { "routes-change", TARGET_NONE, 3, 0, 0, 0, 0, change_extra_routes, NULL },
  { "key-taken", TARGET_NONE, 8, 0, 0, 0, 0, revoke_key, NULL },
  { "keys-given-back", TARGET_NONE, 2, 0, 0, 0, 0, restore_keys, NULL },
};
/* clang-format on */
#define FAULT_KIND_COUNT (sizeof fault_kinds / sizeof fault_kinds[0])

void
schedule_print_kinds (void)
{
  for (size_t i = 0; i < FAULT_KIND_COUNT; i++)
    printf ("%s\n", fault_kinds[i].name);
}

void
schedule_init (struct schedule *schedule,
               struct world *world,
               uint64_t seed,
               const char *only_kinds)
{
  memset (schedule, 0, sizeof *schedule);
  schedule->world = world;
  schedule->only_kinds = only_kinds;
  rng_init (&schedule->rng, seed);
}

/* True if the comma-separated list begins with the name. */
static bool
is_name_at (const char *list, const char *name)
{
  size_t size = strcspn (list, ",");

  return strlen (name) == size && strncmp (list, name, size) == 0;
}

/* The part of a comma-separated list after its first name; NULL = none. */
static const char *
skip_name (const char *list)
{
  const char *comma = strchr (list, ',');

  return comma != NULL ? comma + 1 : NULL;
}

static bool
is_listed (const char *list, const char *name)
{
  for (; list != NULL; list = skip_name (list))
    if (is_name_at (list, name))
      return true;
  return false;
}

bool
schedule_lists_kind (const char *list, const char *name)
{
  return is_listed (list, name);
}

bool
schedule_are_kinds (const char *list)
{
  for (; list != NULL; list = skip_name (list))
    {
      size_t i = 0;

      while (i < FAULT_KIND_COUNT && !is_name_at (list, fault_kinds[i].name))
        i++;
      if (i == FAULT_KIND_COUNT)
        return false;
    }
  return true;
}

static unsigned
get_weight (const struct schedule *schedule, const struct fault_kind *kind)
{
  bool is_drawn = schedule->only_kinds != NULL
                      ? is_listed (schedule->only_kinds, kind->name)
                      : !kind->is_on_demand
                            && (kind->target != TARGET_CROWD
                                || schedule->world->options.shape->has_crowds);

  return is_drawn ? kind->weight : 0;
}

/* A choice of one kind takes no random number. */
static const struct fault_kind *
draw_kind (struct schedule *schedule)
{
  const struct fault_kind *kind = NULL;
  unsigned total = 0;
  unsigned draw;

  for (size_t i = 0; i < FAULT_KIND_COUNT; i++)
    {
      unsigned weight = get_weight (schedule, &fault_kinds[i]);

      if (weight > 0)
        kind = &fault_kinds[i];
      total += weight;
    }
  if (kind == NULL || total == kind->weight)
    return kind;
  draw = (unsigned)rng_below (&schedule->rng, total);
  for (kind = fault_kinds; draw >= get_weight (schedule, kind); kind++)
    draw -= get_weight (schedule, kind);
  return kind;
}

static int
draw_in_range (struct schedule *schedule, int min, int max)
{
  return min + (int)rng_below (&schedule->rng, (uint64_t)(max - min) + 1);
}

static struct proxied_endpoint *
draw_endpoint (struct schedule *schedule)
{
  struct world *world = schedule->world;
  struct proxied_endpoint *endpoint;

  do
    endpoint
        = &world->endpoints[rng_below (&schedule->rng, world->endpoint_count)];
  while (endpoint->replaced);
  return endpoint;
}

/*
 * Marks the target of a fault as disturbed: the ledger excuses it until the
 * stable time after the fault has passed.
 */
static void
mark_disturbed (struct schedule *schedule, const struct fault *fault)
{
  struct world *world = schedule->world;
  bool is_store = strncmp (fault->kind->name, "store-", 6) == 0
                  && fault->kind->target != TARGET_HOST;
  /* Planned work must not harm requests, so it does not count as a fault. */
  bool is_planned = strcmp (fault->kind->name, "host-stopped") == 0
                    || strcmp (fault->kind->name, "host-reloaded") == 0
                    || strcmp (fault->kind->name, "endpoint-leaves") == 0;

  if (is_planned)
    return;
  if (is_store)
    world->ledger.store_disturbed_ms = world->now_ms;
  if (fault->host != NULL && fault->host->disturbed_ms < world->now_ms)
    fault->host->disturbed_ms = world->now_ms;
  if (fault->endpoint != NULL)
    fault->endpoint->standin->disturbed_until_ms = world->now_ms;
}

static void
start_fault (struct schedule *schedule)
{
  struct world *world = schedule->world;
  struct fault *fault = &schedule->faults[schedule->active_count];
  const struct fault_kind *kind = draw_kind (schedule);

  memset (fault, 0, sizeof *fault);
  fault->kind = kind;
  if (kind->target == TARGET_HOST)
    fault->host = &world->hosts[rng_below (&schedule->rng, world->host_count)];
  if (kind->target == TARGET_ENDPOINT)
    fault->endpoint = draw_endpoint (schedule);
  fault->until_ms = world->now_ms
                    + draw_in_range (schedule, kind->duration_min_ms,
                                     kind->duration_max_ms);
  fault->strength
      = draw_in_range (schedule, kind->strength_min, kind->strength_max);
  world_log_event (world, "%s %s for %lld ms, strength %d", kind->name,
                   fault->host != NULL       ? fault->host->name
                   : fault->endpoint != NULL ? fault->endpoint->standin->id
                                             : "",
                   (long long)(fault->until_ms - world->now_ms),
                   fault->strength);
  schedule->active_count++;
  schedule->started_count++;
  mark_disturbed (schedule, fault);
  if (kind->start != NULL)
    kind->start (schedule, fault);
}

/*
 * Clears all effects; each tick sets those of the active faults again, so that
 * faults may overlap.
 */
static void
clear_faults (struct schedule *schedule)
{
  struct world *world = schedule->world;

  memset (&world->store.faults, 0, sizeof world->store.faults);
  for (unsigned i = 0; i < world->host_count; i++)
    {
      world->hosts[i].store_proxy.delay_ms = 0;
      memset (world->hosts[i].store_proxy.partitioned, 0,
              sizeof world->hosts[i].store_proxy.partitioned);
    }
  for (unsigned i = 0; i < world->endpoint_count; i++)
    {
      struct proxied_endpoint *endpoint = &world->endpoints[i];

      memset (&endpoint->standin->faults, 0, sizeof endpoint->standin->faults);
      endpoint->proxy.delay_ms = 0;
      memset (endpoint->proxy.partitioned, 0,
              sizeof endpoint->proxy.partitioned);
    }
}

void
schedule_tick (struct schedule *schedule)
{
  struct world *world = schedule->world;
  unsigned kept = 0;

  if (!schedule->stopped && world->now_ms >= schedule->next_fault_ms
      && schedule->active_count < SCHEDULE_FAULT_LIMIT)
    {
      start_fault (schedule);
      schedule->next_fault_ms
          = world->now_ms + draw_in_range (schedule, GAP_MIN_MS, GAP_MAX_MS);
    }
  clear_faults (schedule);
  for (unsigned i = 0; i < schedule->active_count; i++)
    {
      struct fault *fault = &schedule->faults[i];

      if (world->now_ms >= fault->until_ms)
        continue;
      mark_disturbed (schedule, fault);
      if (fault->kind->apply != NULL)
        fault->kind->apply (schedule, fault);
      schedule->faults[kept++] = *fault;
    }
  schedule->active_count = kept;
}

void
schedule_stop (struct schedule *schedule)
{
  world_log_event (schedule->world, "no more faults");
  schedule->stopped = true;
  for (unsigned i = 0; i < schedule->active_count; i++)
    schedule->faults[i].until_ms = schedule->world->now_ms;
  schedule_tick (schedule);
  operator_restore_keys (&schedule->world->operator);
  operator_end_evacuation (&schedule->world->operator);
}
