#include "schedule.h"

#include <stdio.h>
#include <string.h>

/* Between two faults. */
#define GAP_LEAST_MS 150
#define GAP_SPREAD_MS 1100
/* What silent connections do to a host or endpoint is over after this. */
#define SILENT_MS 4000

enum fault_target
{
  ON_NOTHING,
  ON_HOST,
  ON_SITE,
};

struct fault_kind
{
  const char *name;
  enum fault_target target;
  unsigned weight;
  /* Length and strength are drawn from these ranges. */
  int least_ms;
  int most_ms;
  int weakest;
  int strongest;
  void (*begin) (struct schedule *schedule, struct fault *fault);
  void (*act) (struct schedule *schedule, struct fault *fault); /* each tick */
};

/* Of the store, for all hosts. */

static void
store_refuses (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  schedule->world->store.faults.rejects_calls = true;
}

static void
store_silent (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  schedule->world->store.faults.silent = true;
}

static void
store_slow (struct schedule *schedule, struct fault *fault)
{
  schedule->world->store.faults.delay_ms = fault->strength;
}

static void
store_lossy (struct schedule *schedule, struct fault *fault)
{
  schedule->world->store.faults.lost_response_percent
      = (unsigned)fault->strength;
}

static void
store_late (struct schedule *schedule, struct fault *fault)
{
  schedule->world->store.faults.late_percent = (unsigned)fault->strength;
  schedule->world->store.faults.late_delay_ms = 1000 + 40 * fault->strength;
}

static void
store_forgets (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  standin_store_discard_history (&schedule->world->store);
}

/* Entries lapse while the store is away. */
static void
store_lapses (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  (void)fault;
  for (unsigned i = 0; i < world->site_count; i++)
    if (rng_below (&schedule->rng, 2) == 0)
      standin_expire_entry (world->sites[i].endpoint);
}

/* Of hosts. */

static void
host_killed (struct schedule *schedule, struct fault *fault)
{
  host_kill (fault->host, schedule->world->now_ms, fault->until_ms);
}

static void
all_hosts_killed (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->host_count; i++)
    host_kill (&world->hosts[i], world->now_ms, fault->until_ms);
}

static void
host_stopped (struct schedule *schedule, struct fault *fault)
{
  host_term (fault->host, schedule->world->now_ms, fault->until_ms);
}

static void
host_paused (struct schedule *schedule, struct fault *fault)
{
  host_pause (fault->host, schedule->world->now_ms, fault->until_ms);
}

static void
host_reloaded (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  host_reload (fault->host);
}

/* Of the way from a host to the store. */

static void
store_link_slow (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->host->store.delay_ms = fault->strength;
}

static void
store_link_cut (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->host->store.cut[PROXY_UP] = true;
  fault->host->store.cut[PROXY_DOWN] = true;
}

static void
store_link_cut_one_way (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->host->store.cut[fault->strength % PROXY_WAYS] = true;
}

static void
store_link_reset (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  proxy_reset (&fault->host->store);
}

static void
store_link_silent (struct schedule *schedule, struct fault *fault)
{
  proxy_silence (&fault->host->store);
  fault->until_ms = schedule->world->now_ms + SILENT_MS;
}

/* Of endpoints, and the way to them. */

static void
endpoint_crashes (struct schedule *schedule, struct fault *fault)
{
  if (!fault->site->endpoint->up)
    return;
  standin_crash (fault->site->endpoint);
  world_replace (schedule->world, fault->site);
}

static void
endpoint_reborn (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  if (!fault->site->endpoint->up)
    return;
  standin_crash (fault->site->endpoint);
  if (!standin_restart (fault->site->endpoint))
    fault->site->replaced = true;
}

static void
endpoint_leaves (struct schedule *schedule, struct fault *fault)
{
  if (!fault->site->endpoint->up || fault->site->endpoint->leaving)
    return;
  standin_leave (fault->site->endpoint);
  world_replace (schedule->world, fault->site);
}

static void
endpoint_loses_answers (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->site->endpoint->faults.lost_response_percent
      = (unsigned)fault->strength;
}

static void
endpoint_fails (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->site->endpoint->faults.error_percent = (unsigned)fault->strength;
}

static void
endpoint_busy (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->site->endpoint->faults.busy_percent = (unsigned)fault->strength;
}

static void
endpoint_slow (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->site->endpoint->faults.slow_factor = 1 + fault->strength / 10;
}

static void
orders_late (struct schedule *schedule, struct fault *fault)
{
  struct world *world = schedule->world;

  for (unsigned i = 0; i < world->site_count; i++)
    {
      struct standin_endpoint_faults *faults
          = &world->sites[i].endpoint->faults;

      faults->late_percent = (unsigned)fault->strength;
      faults->late_delay_ms = 1000 + 60 * fault->strength;
    }
}

static void
endpoint_link_slow (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->site->proxy.delay_ms = fault->strength;
}

static void
endpoint_link_cut (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->site->proxy.cut[PROXY_UP] = true;
  fault->site->proxy.cut[PROXY_DOWN] = true;
}

static void
endpoint_link_cut_one_way (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  fault->site->proxy.cut[fault->strength % PROXY_WAYS] = true;
}

static void
endpoint_link_reset (struct schedule *schedule, struct fault *fault)
{
  (void)schedule;
  proxy_reset (&fault->site->proxy);
}

static void
endpoint_link_silent (struct schedule *schedule, struct fault *fault)
{
  proxy_silence (&fault->site->proxy);
  fault->until_ms = schedule->world->now_ms + SILENT_MS;
}

/* Of the operator. */

static void
route_moves (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_move_route (&schedule->world->operator);
}

static void
routes_change (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_change_extras (&schedule->world->operator);
}

static void
key_taken (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_take_key (&schedule->world->operator);
}

static void
keys_given_back (struct schedule *schedule, struct fault *fault)
{
  (void)fault;
  operator_give_keys_back (&schedule->world->operator);
}

/* clang-format off */
static const struct fault_kind kinds[] = {
  { "store-refuses", ON_NOTHING, 3, 300, 4000, 0, 0, NULL, store_refuses },
  { "store-silent", ON_NOTHING, 3, 300, 4000, 0, 0, NULL, store_silent },
  { "store-silent-lapse", ON_NOTHING, 2, 1500, 4000, 0, 0, store_lapses, store_silent },
  { "store-slow", ON_NOTHING, 2, 1000, 4000, 30, 700, NULL, store_slow },
  { "store-lossy", ON_NOTHING, 3, 1000, 4000, 10, 60, NULL, store_lossy },
  { "store-late", ON_NOTHING, 3, 1000, 4000, 10, 60, NULL, store_late },
  { "store-forgets", ON_NOTHING, 3, 0, 0, 0, 0, store_forgets, NULL },
  { "host-killed", ON_HOST, 6, 200, 2500, 0, 0, host_killed, NULL },
  { "all-hosts-killed", ON_NOTHING, 1, 200, 1500, 0, 0, all_hosts_killed, NULL },
  { "host-stopped", ON_HOST, 6, 100, 1000, 0, 0, host_stopped, NULL },
  { "host-paused", ON_HOST, 6, 200, 4500, 0, 0, host_paused, NULL },
  { "host-reloaded", ON_HOST, 3, 0, 0, 0, 0, host_reloaded, NULL },
  { "store-link-slow", ON_HOST, 2, 500, 4000, 20, 500, NULL, store_link_slow },
  { "store-link-cut", ON_HOST, 4, 500, 12000, 0, 0, NULL, store_link_cut },
  { "store-link-cut-one-way", ON_HOST, 4, 500, 7000, 0, 1, NULL, store_link_cut_one_way },
  { "store-link-reset", ON_HOST, 3, 0, 0, 0, 0, store_link_reset, NULL },
  { "store-link-silent", ON_HOST, 3, 0, 0, 0, 0, store_link_silent, NULL },
  { "endpoint-crashes", ON_SITE, 6, 0, 0, 0, 0, endpoint_crashes, NULL },
  { "endpoint-reborn", ON_SITE, 4, 0, 0, 0, 0, endpoint_reborn, NULL },
  { "endpoint-leaves", ON_SITE, 8, 0, 0, 0, 0, endpoint_leaves, NULL },
  { "endpoint-loses-answers", ON_SITE, 5, 500, 4000, 10, 60, NULL, endpoint_loses_answers },
  { "endpoint-fails", ON_SITE, 3, 500, 4000, 10, 60, NULL, endpoint_fails },
  { "endpoint-busy", ON_SITE, 3, 500, 4000, 10, 100, NULL, endpoint_busy },
  { "endpoint-slow", ON_SITE, 3, 500, 4000, 20, 90, NULL, endpoint_slow },
  { "orders-late", ON_NOTHING, 4, 1000, 6000, 10, 60, NULL, orders_late },
  { "endpoint-link-slow", ON_SITE, 2, 500, 4000, 10, 300, NULL, endpoint_link_slow },
  { "endpoint-link-cut", ON_SITE, 4, 300, 4000, 0, 0, NULL, endpoint_link_cut },
  { "endpoint-link-cut-one-way", ON_SITE, 4, 300, 4000, 0, 1, NULL, endpoint_link_cut_one_way },
  { "endpoint-link-reset", ON_SITE, 4, 0, 0, 0, 0, endpoint_link_reset, NULL },
  { "endpoint-link-silent", ON_SITE, 4, 0, 0, 0, 0, endpoint_link_silent, NULL },
  { "route-moves", ON_NOTHING, 5, 0, 0, 0, 0, route_moves, NULL },
  { "routes-change", ON_NOTHING, 3, 0, 0, 0, 0, routes_change, NULL },
  { "key-taken", ON_NOTHING, 8, 0, 0, 0, 0, key_taken, NULL },
  { "keys-given-back", ON_NOTHING, 2, 0, 0, 0, 0, keys_given_back, NULL },
};
/* clang-format on */
#define KINDS (sizeof kinds / sizeof kinds[0])

void
schedule_print_kinds (void)
{
  for (size_t i = 0; i < KINDS; i++)
    printf ("%s\n", kinds[i].name);
}

void
schedule_init (struct schedule *schedule,
               struct world *world,
               uint64_t seed,
               const char *only)
{
  memset (schedule, 0, sizeof *schedule);
  schedule->world = world;
  schedule->only = only;
  rng_init (&schedule->rng, seed);
}

static const struct fault_kind *
draw_kind (struct schedule *schedule)
{
  unsigned total = 0;
  unsigned draw;

  for (size_t i = 0; i < KINDS; i++)
    if (schedule->only != NULL && strcmp (schedule->only, kinds[i].name) == 0)
      return &kinds[i];
  for (size_t i = 0; i < KINDS; i++)
    total += kinds[i].weight;
  draw = (unsigned)rng_below (&schedule->rng, total);
  for (size_t i = 0; i < KINDS; i++)
    {
      if (draw < kinds[i].weight)
        return &kinds[i];
      draw -= kinds[i].weight;
    }
  return &kinds[0];
}

static int
draw_between (struct schedule *schedule, int least, int most)
{
  return least + (int)rng_below (&schedule->rng, (uint64_t)(most - least) + 1);
}

static struct site *
draw_site (struct schedule *schedule)
{
  struct world *world = schedule->world;
  struct site *site;

  do
    site = &world->sites[rng_below (&schedule->rng, world->site_count)];
  while (site->replaced);
  return site;
}

/* Nothing is expected of what a fault acts on until it has passed. */
static void
disturb (struct schedule *schedule, const struct fault *fault)
{
  struct world *world = schedule->world;
  bool is_store = strncmp (fault->kind->name, "store-", 6) == 0
                  && fault->kind->target == ON_NOTHING;
  /* Planned work is no disturbance. */
  bool planned = strcmp (fault->kind->name, "host-stopped") == 0
                 || strcmp (fault->kind->name, "host-reloaded") == 0
                 || strcmp (fault->kind->name, "endpoint-leaves") == 0;

  if (planned)
    return;
  if (is_store)
    world->ledger.store_disturbed_ms = world->now_ms;
  if (fault->host != NULL && fault->host->disturbed_ms < world->now_ms)
    fault->host->disturbed_ms = world->now_ms;
  if (fault->site != NULL)
    fault->site->endpoint->disturbed_until_ms = world->now_ms;
}

static void
begin (struct schedule *schedule)
{
  struct world *world = schedule->world;
  struct fault *fault = &schedule->faults[schedule->count];
  const struct fault_kind *kind = draw_kind (schedule);

  memset (fault, 0, sizeof *fault);
  fault->kind = kind;
  if (kind->target == ON_HOST)
    fault->host = &world->hosts[rng_below (&schedule->rng, world->host_count)];
  if (kind->target == ON_SITE)
    fault->site = draw_site (schedule);
  fault->until_ms
      = world->now_ms + draw_between (schedule, kind->least_ms, kind->most_ms);
  fault->strength = draw_between (schedule, kind->weakest, kind->strongest);
  world_note (world, "%s %s for %lld ms, strength %d", kind->name,
              fault->host != NULL   ? fault->host->name
              : fault->site != NULL ? fault->site->endpoint->id
                                    : "",
              (long long)(fault->until_ms - world->now_ms), fault->strength);
  schedule->count++;
  schedule->begun++;
  disturb (schedule, fault);
  if (kind->begin != NULL)
    kind->begin (schedule, fault);
}

/* What acts is set anew on each tick, so that faults may overlap. */
static void
clear_all (struct schedule *schedule)
{
  struct world *world = schedule->world;

  memset (&world->store.faults, 0, sizeof world->store.faults);
  for (unsigned i = 0; i < world->host_count; i++)
    {
      world->hosts[i].store.delay_ms = 0;
      memset (world->hosts[i].store.cut, 0, sizeof world->hosts[i].store.cut);
    }
  for (unsigned i = 0; i < world->site_count; i++)
    {
      struct site *site = &world->sites[i];

      memset (&site->endpoint->faults, 0, sizeof site->endpoint->faults);
      site->proxy.delay_ms = 0;
      memset (site->proxy.cut, 0, sizeof site->proxy.cut);
    }
}

void
schedule_tick (struct schedule *schedule)
{
  struct world *world = schedule->world;
  unsigned kept = 0;

  if (!schedule->stopped && world->now_ms >= schedule->next_ms
      && schedule->count < SCHEDULE_FAULTS)
    {
      begin (schedule);
      schedule->next_ms
          = world->now_ms
            + draw_between (schedule, GAP_LEAST_MS, GAP_SPREAD_MS);
    }
  clear_all (schedule);
  for (unsigned i = 0; i < schedule->count; i++)
    {
      struct fault *fault = &schedule->faults[i];

      if (world->now_ms >= fault->until_ms)
        continue;
      disturb (schedule, fault);
      if (fault->kind->act != NULL)
        fault->kind->act (schedule, fault);
      schedule->faults[kept++] = *fault;
    }
  schedule->count = kept;
}

void
schedule_stop (struct schedule *schedule)
{
  world_note (schedule->world, "no more faults");
  schedule->stopped = true;
  for (unsigned i = 0; i < schedule->count; i++)
    schedule->faults[i].until_ms = schedule->world->now_ms;
  schedule_tick (schedule);
  operator_give_keys_back (&schedule->world->operator);
}
