#include "../packages/group/tests/fixture.h"
#include "history.h"
#include "lease.h"
#include "placement.h"
#include "plan.h"
#include "rng.h"

#include <time.h>

/*
 * Simulates one seeded history of host failures, returns, pauses, domain
 * outages and sheet changes in virtual time under three policies: "group" is
 * the decision code of package group, the baseline "rebuild" forms a group anew
 * as soon as a member is missing, and the baseline "never" changes no members.
 * All three form the first assignment and send orders to the engines in the
 * same way.  One process runs one seed.
 */

#define HOST_LIMIT 800
#define DATA_CENTRE_LIMIT 5
#define DOMAIN_LIMIT 4
#define WARM_UP_MS 400000
#define LOAD_MS 60000
#define CACHED_LOAD_MS 10000

enum policy
{
  POLICY_GROUP,
  POLICY_REBUILD,
  POLICY_NEVER
};
static const char *const policy_names[] = { "group", "rebuild", "never" };

struct fleet_size
{
  unsigned data_centres;
  unsigned hosts;   /* per data centre, at most */
  unsigned total;   /* hosts of all data centres */
  unsigned domains; /* per data centre */
  struct
  {
    unsigned span;
    unsigned count; /* over all data centres */
  } specs[3];
  int64_t length_ms; /* of a run, without the warm-up */
  int64_t tick_ms;
};

static const struct fleet_size small_fleet
    = { 3, 19, 55, 2, { { 4, 6 }, { 4, 6 } }, 7200000, 1000 };
static const struct fleet_size large_fleet
    = { 5, 158, 790, 4, { { 32, 15 }, { 8, 15 }, { 8, 5 } }, 3600000, 2000 };

struct host_state
{
  struct engine engine;
  struct fleet_host *host;
  bool unreachable;  /* it does not respond to probes */
  int64_t return_ms; /* end of unreachable */
  bool restarts;     /* its engine restarts when the host returns */
  int64_t leave_ms;  /* start of a planned restart; 0 = none */
};

/* Why a wanted group does not serve.  The first cause that applies counts. */
enum cause
{
  CAUSE_UNFORMED, /* it is not in the assignment */
  CAUSE_DRAINING, /* it finishes its work before a change */
  CAUSE_NO_SPARE, /* members are missing and its domain has too few spares */
  CAUSE_WAITING,  /* members are missing and nothing is ordered yet */
  CAUSE_FETCHING, /* a present member lacks the weights */
  CAUSE_LOADING, /* members have the weights and load them or await the order */
  CAUSE_COUNT
};
static const char *const cause_names[]
    = { "unformed", "draining", "no_spare", "waiting", "fetching", "loading" };

struct figures
{
  double down_s;            /* sum over wanted groups that do not serve */
  double stranded_s;        /* sum over usable hosts in no serving group */
  double stranded_groups_s; /* stranded_s divided by the mean span */
  unsigned orders;
  unsigned loads;
  unsigned prefetches;         /* loads of weights to a spare */
  double cause_s[CAUSE_COUNT]; /* down_s by cause */
  double bound_s; /* lower bound of down_s: loads and changes take no time */
};

struct run
{
  const struct fleet_size *size;
  enum policy policy;
  char data_centre[16];
  struct rng rng;
  struct sheet sheet;
  struct fleet fleet;
  struct history history;
  struct placement placement;
  struct placement_settings settings;
  struct plan plan;
  struct plan_steps steps;
  struct lease lease;
  struct host_state hosts[HOST_LIMIT];
  unsigned host_count;
  unsigned wanted;             /* groups of this data centre */
  unsigned wanted_per_spec[4]; /* index as in the sheet */
  double mean_span;
  struct figures figures;
  int64_t now_ms;
};

static double *tick_us;
static size_t tick_count;
static size_t tick_capacity;

static void
record_tick_us (double us)
{
  if (tick_count == tick_capacity)
    {
      tick_capacity = tick_capacity * 2 + 1024;
      tick_us = realloc (tick_us, tick_capacity * sizeof *tick_us);
      if (tick_us == NULL)
        abort ();
    }
  tick_us[tick_count++] = us;
}

static double
monotonic_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
create_fleet (struct run *run)
{
  const struct fleet_size *size = run->size;
  unsigned created = 0;

  for (unsigned d = 0; d < size->data_centres; d++)
    for (unsigned i = 0; i < size->hosts && created < size->total;
         i++, created++)
      {
        char id[32];
        char data_centre[16];
        char domain[16];
        struct fleet_host *host;

        snprintf (data_centre, sizeof data_centre, "dc%u", d);
        snprintf (domain, sizeof domain, "f%u", i % size->domains);
        snprintf (id, sizeof id, "dc%u-%03u", d, i);
        host = fixture_add_host (&run->fleet, id, data_centre, domain);
        if (strcmp (data_centre, run->data_centre) != 0)
          continue;
        run->hosts[run->host_count].host = host;
        engine_boot (&run->hosts[run->host_count++].engine, id);
      }
}

static void
create_sheet (struct run *run)
{
  unsigned group_counts[4];
  unsigned unplaced[4];
  unsigned hosts = 0;
  char data_centres[64] = "";

  for (unsigned d = 0; d < run->size->data_centres; d++)
    snprintf (data_centres + strlen (data_centres),
              sizeof data_centres - strlen (data_centres), "%sdc%u",
              d > 0 ? ";" : "", d);
  for (unsigned i = 0; i < 3 && run->size->specs[i].span > 0; i++)
    {
      char name[8];

      snprintf (name, sizeof name, "s%u", i);
      fixture_add_spec (&run->sheet, name, run->size->specs[i].span,
                        run->size->specs[i].count, data_centres, "", "", "1");
    }
  if (placement_divide_groups (&run->sheet, &run->fleet, run->data_centre,
                               group_counts, unplaced)
      != RESULT_OK)
    abort ();
  for (size_t i = 0; i < run->sheet.group_count; i++)
    {
      run->wanted += group_counts[i];
      run->wanted_per_spec[i] = group_counts[i];
      hosts += group_counts[i] * run->sheet.groups[i].span;
    }
  run->mean_span = run->wanted > 0 ? (double)hosts / run->wanted : 1;
}

static void
make_unreachable (struct host_state *state,
                  int64_t now_ms,
                  int64_t time_ms,
                  bool restart)
{
  state->unreachable = true;
  state->return_ms = now_ms + time_ms;
  state->restarts = restart;
}

static int64_t
draw_between (struct rng *rng, int64_t low, int64_t high)
{
  return low + (int64_t)rng_below (rng, (uint64_t)(high - low));
}

/*
 * Applies the events of a host.  Rates per host and hour: 0.15 pauses, 0.1
 * restarts (half of them planned) and 0.05 failures, about twenty times the
 * rates of the design page, so that one hour shows what otherwise takes a day.
 */
static void
apply_host_events (struct run *run, struct host_state *state)
{
  double tick_h = (double)run->size->tick_ms / 3600000;
  double draw = rng_real (&run->rng);
  int64_t time_ms = draw_between (&run->rng, 0, 1000000);

  if (state->leave_ms != 0 && run->now_ms >= state->leave_ms)
    {
      state->leave_ms = 0;
      make_unreachable (state, run->now_ms, 60000 + time_ms % 120000, true);
    }
  if (state->unreachable && run->now_ms >= state->return_ms)
    {
      state->unreachable = false;
      state->host->listed_leaving = false;
      if (state->restarts)
        engine_boot (&state->engine, state->host->id);
    }
  if (state->unreachable || state->leave_ms != 0)
    return;
  if (draw < 0.15 * tick_h)
    make_unreachable (state, run->now_ms, 3000 + time_ms % 25000, false);
  else if (draw < 0.20 * tick_h)
    make_unreachable (state, run->now_ms, 60000 + time_ms % 180000, true);
  else if (draw < 0.25 * tick_h)
    {
      state->host->listed_leaving = true;
      state->leave_ms = run->now_ms + 60000;
    }
  else if (draw < 0.30 * tick_h)
    make_unreachable (state, run->now_ms, 1800000 + 4 * time_ms, true);
}

/* A run has two domain outages, one of seconds and one of minutes. */
static void
apply_domain_events (struct run *run)
{
  int64_t since_ms = run->now_ms - WARM_UP_MS;
  int64_t third_ms = run->size->length_ms / 3;
  unsigned domain = (unsigned)rng_below (&run->rng, run->size->domains);
  int64_t outage_ms = since_ms < third_ms + run->size->tick_ms ? 12000 : 240000;
  char name[16];

  if (since_ms % third_ms >= run->size->tick_ms || since_ms < third_ms)
    return;
  snprintf (name, sizeof name, "f%u", domain);
  for (unsigned i = 0; i < run->host_count; i++)
    if (strcmp (run->hosts[i].host->domain, name) == 0
        && !run->hosts[i].unreachable)
      make_unreachable (&run->hosts[i], run->now_ms, outage_ms,
                        outage_ms > 60000);
}

/* The first spec gets a new version in the middle of the run. */
static void
apply_sheet_change (struct run *run)
{
  int64_t since_ms = run->now_ms - WARM_UP_MS;

  if (since_ms < run->size->length_ms / 2
      || strcmp (run->sheet.groups[0].version, "2") == 0)
    return;
  run->sheet.number++;
  snprintf (run->sheet.groups[0].version, SHEET_NAME_SIZE, "2");
}

static const struct sheet_group *
find_spec (const struct run *run, const char *name)
{
  for (size_t i = 0; i < run->sheet.group_count; i++)
    if (strcmp (run->sheet.groups[i].name, name) == 0)
      return &run->sheet.groups[i];
  return NULL;
}

static struct host_state *
find_host_state (struct run *run, const char *id)
{
  for (unsigned i = 0; i < run->host_count; i++)
    if (strcmp (run->hosts[i].host->id, id) == 0)
      return &run->hosts[i];
  return NULL;
}

static bool
is_usable (const struct run *run, const struct fleet_host *host)
{
  return fleet_host_is_present (host, run->now_ms)
         && !fleet_host_is_leaving (host);
}

/* True if the host is in a group of the placement. */
static bool
is_in_placement (const struct placement *placement, const char *id)
{
  for (size_t i = 0; i < placement->group_count; i++)
    for (unsigned rank = 0; rank < placement->groups[i].member_count; rank++)
      if (strcmp (placement->groups[i].members[rank], id) == 0)
        return true;
  return false;
}

/*
 * Forms the group from free hosts of one domain: of the domains with enough
 * free hosts, the one with the fewest.  Returns false if no domain has enough.
 */
static bool
rebuild_group (struct run *run, struct fleet_group *group)
{
  unsigned best = UINT32_MAX;
  char best_domain[16] = "";
  unsigned rank = 0;

  group->member_count = 0;
  for (unsigned d = 0; d < run->size->domains; d++)
    {
      unsigned free = 0;
      char name[16];

      snprintf (name, sizeof name, "f%u", d);
      for (unsigned i = 0; i < run->host_count; i++)
        if (strcmp (run->hosts[i].host->domain, name) == 0
            && is_usable (run, run->hosts[i].host)
            && !is_in_placement (&run->placement, run->hosts[i].host->id))
          free++;
      if (free >= group->span && free < best)
        {
          best = free;
          memcpy (best_domain, name, sizeof best_domain);
        }
    }
  for (unsigned i = 0; i < run->host_count && rank < group->span; i++)
    if (best != UINT32_MAX
        && strcmp (run->hosts[i].host->domain, best_domain) == 0
        && is_usable (run, run->hosts[i].host)
        && !is_in_placement (&run->placement, run->hosts[i].host->id))
      memcpy (group->members[rank++], run->hosts[i].host->id, FLEET_NAME_SIZE);
  group->member_count = rank;
  memcpy (group->domain, best_domain, sizeof best_domain);
  return rank == group->span;
}

/*
 * Computes the placement of a baseline policy.  It keeps the existing groups.
 * With POLICY_REBUILD it forms a group that lacks a member anew, and tries
 * again at each tick if there were too few hosts.
 */
static void
compute_baseline (struct run *run)
{
  struct placement *placement = &run->placement;
  const struct fleet_group *group;
  size_t count = HASH_COUNT (run->fleet.groups);
  uint64_t generation = run->fleet.assignment_number + 1;

  placement_finish (placement);
  placement->groups = calloc (count + 1, sizeof *placement->groups);
  if (placement->groups == NULL)
    abort ();
  placement->assignment_number = run->fleet.assignment_number;
  for (group = run->fleet.groups; group != NULL; group = group->hh.next)
    placement->groups[placement->group_count++] = *group;
  for (size_t i = 0; i < placement->group_count; i++)
    {
      struct fleet_group *entry = &placement->groups[i];
      const struct sheet_group *spec = find_spec (run, entry->spec);
      struct fleet_group old = *entry;
      bool lacks_member = entry->member_count != entry->span;

      for (unsigned rank = 0; rank < entry->member_count; rank++)
        {
          struct host_state *state
              = find_host_state (run, entry->members[rank]);

          if (state == NULL || !is_usable (run, state->host))
            lacks_member = true;
        }
      if (run->policy == POLICY_REBUILD && lacks_member)
        {
          if (!rebuild_group (run, entry) && old.member_count == 0)
            *entry = old;
          else
            entry->generation = generation;
        }
      if (strcmp (entry->version, spec->version) != 0)
        {
          memcpy (entry->version, spec->version, sizeof entry->version);
          entry->generation = generation;
        }
      if (entry->generation == generation)
        placement->changed = true;
    }
}

static void
compute_placement (struct run *run)
{
  const struct placement_input input = { .sheet = &run->sheet,
                                         .fleet = &run->fleet,
                                         .history = &run->history,
                                         .settings = &run->settings,
                                         .data_centre = run->data_centre,
                                         .now_ms = run->now_ms };

  if (run->policy != POLICY_GROUP && run->now_ms >= WARM_UP_MS)
    compute_baseline (run);
  else if (placement_compute (&run->placement, &input) != RESULT_OK)
    abort ();
}

static void
execute_steps (struct run *run)
{
  if (run->steps.read_assignment)
    plan_on_read (&run->plan, RESULT_PLATFORM_UNCHANGED, run->now_ms);
  if (run->steps.write_assignment)
    {
      if (fixture_apply_assignment (&run->fleet, run->data_centre,
                                    &run->steps.assignment)
          != RESULT_OK)
        abort ();
      plan_on_write (&run->plan, RESULT_OK, run->now_ms);
    }
  for (size_t i = 0; i < run->steps.order_count; i++)
    {
      const struct plan_order *order = &run->steps.orders[i];
      struct host_state *state = find_host_state (run, order->host);
      enum result result = RESULT_ORDER_LOST;

      if (state == NULL)
        abort ();
      if (!state->unreachable)
        result = engine_handle_order (&state->engine, true, order, run->now_ms,
                                      LOAD_MS, CACHED_LOAD_MS);
      plan_on_order (&run->plan, order->host, order->order_id, result,
                     run->now_ms);
      if (run->now_ms < WARM_UP_MS)
        continue;
      run->figures.orders++;
      if (order->op == PLAN_LOAD)
        run->figures.loads++;
      if (order->op == PLAN_LOAD && order->group.id[0] == '\0')
        run->figures.prefetches++;
    }
}

/* Counts the hosts of the domain that could replace a member now. */
static unsigned
count_spares (const struct run *run, const char *domain)
{
  unsigned count = 0;

  for (unsigned i = 0; i < run->host_count; i++)
    {
      const struct fleet_host *host = run->hosts[i].host;
      bool assigned = false;

      for (const struct fleet_group *group = run->fleet.groups;
           group != NULL && !assigned; group = group->hh.next)
        for (unsigned rank = 0; rank < group->member_count; rank++)
          if (strcmp (group->members[rank], host->id) == 0)
            assigned = true;
      if (!assigned && strcmp (host->domain, domain) == 0
          && is_usable (run, host)
          && !history_host_is_held (&run->history, host->id, run->now_ms))
        count++;
    }
  return count;
}

static enum cause
find_cause (struct run *run, const struct fleet_group *group)
{
  unsigned missing_count = group->span - group->member_count;
  bool fetching = false;

  if (group->draining)
    return CAUSE_DRAINING;
  for (unsigned rank = 0; rank < group->member_count; rank++)
    {
      const struct host_state *state
          = find_host_state (run, group->members[rank]);

      if (state == NULL || !is_usable (run, state->host))
        missing_count++;
      else if (!engine_has_weights (&state->engine, group))
        fetching = true;
    }
  if (missing_count > 0)
    return count_spares (run, group->domain) < missing_count ? CAUSE_NO_SPARE
                                                             : CAUSE_WAITING;
  return fetching ? CAUSE_FETCHING : CAUSE_LOADING;
}

/*
 * Returns an upper bound of the wanted groups that can serve with the usable
 * hosts.  It fills the shortest spans first, lets each span use every domain
 * completely, and limits only the total number of hosts.
 */
static unsigned
max_serving_groups (const struct run *run)
{
  unsigned usable[DOMAIN_LIMIT] = { 0 };
  unsigned left = 0;
  unsigned groups = 0;
  unsigned next = 0;

  for (unsigned i = 0; i < run->host_count; i++)
    if (is_usable (run, run->hosts[i].host))
      {
        usable[strtoul (run->hosts[i].host->domain + 1, NULL, 10)]++;
        left++;
      }
  for (unsigned span = 1; span <= FLEET_SPAN_LIMIT; span = next)
    {
      unsigned wanted = 0;
      unsigned fit = 0;

      next = FLEET_SPAN_LIMIT + 1;
      for (size_t i = 0; i < run->sheet.group_count; i++)
        if (run->sheet.groups[i].span == span)
          wanted += run->wanted_per_spec[i];
        else if (run->sheet.groups[i].span > span
                 && run->sheet.groups[i].span < next)
          next = run->sheet.groups[i].span;
      for (unsigned d = 0; d < run->size->domains; d++)
        fit += usable[d] / span;
      if (fit > wanted)
        fit = wanted;
      if (fit > left / span)
        fit = left / span;
      left -= fit * span;
      groups += fit;
    }
  return groups;
}

static void
add_figures (struct run *run)
{
  double tick_s = (double)run->size->tick_ms / 1000;
  const struct fleet_group *group;
  unsigned serving = 0;
  unsigned serving_hosts = 0;
  unsigned usable_hosts = 0;

  for (group = run->fleet.groups; group != NULL; group = group->hh.next)
    if (fleet_group_serving_state (&run->fleet, group, run->now_ms)
        == FLEET_SERVING)
      {
        serving++;
        serving_hosts += group->span;
      }
    else
      run->figures.cause_s[find_cause (run, group)] += tick_s;
  for (unsigned i = 0; i < run->host_count; i++)
    if (is_usable (run, run->hosts[i].host))
      usable_hosts++;
  if (HASH_COUNT (run->fleet.groups) < run->wanted)
    run->figures.cause_s[CAUSE_UNFORMED]
        += (run->wanted - HASH_COUNT (run->fleet.groups)) * tick_s;
  run->figures.bound_s += (run->wanted - max_serving_groups (run)) * tick_s;
  if (serving < run->wanted)
    run->figures.down_s += (run->wanted - serving) * tick_s;
  run->figures.stranded_s += (usable_hosts - serving_hosts) * tick_s;
  run->figures.stranded_groups_s
      += (usable_hosts - serving_hosts) * tick_s / run->mean_span;
}

static void
run_tick (struct run *run)
{
  double started;

  run->now_ms += run->size->tick_ms;
  if (run->now_ms >= WARM_UP_MS)
    {
      apply_domain_events (run);
      apply_sheet_change (run);
      for (unsigned i = 0; i < run->host_count; i++)
        apply_host_events (run, &run->hosts[i]);
    }
  for (unsigned i = 0; i < run->host_count; i++)
    {
      engine_tick (&run->hosts[i].engine, run->now_ms);
      if (!run->hosts[i].unreachable)
        engine_attest (&run->hosts[i].engine, run->hosts[i].host, run->now_ms);
    }
  run->lease.valid_until_ms = run->now_ms + 1;
  started = monotonic_us ();
  if (history_observe (&run->history, &run->fleet, run->now_ms) != RESULT_OK)
    abort ();
  compute_placement (run);
  if (plan_compute_steps (&run->plan, &run->lease, &run->fleet, &run->placement,
                          &run->history, run->now_ms, &run->steps)
      != RESULT_OK)
    abort ();
  if (run->policy == POLICY_GROUP)
    record_tick_us (monotonic_us () - started);
  execute_steps (run);
  if (run->now_ms >= WARM_UP_MS)
    add_figures (run);
}

static void
run_data_centre (const struct fleet_size *size,
                 enum policy policy,
                 unsigned data_centre,
                 uint64_t seed,
                 double stranded_weight,
                 struct figures *sum)
{
  struct run *run = calloc (1, sizeof *run);
  struct history_settings history_settings;
  struct plan_settings plan_settings;

  if (run == NULL)
    abort ();
  run->size = size;
  run->policy = policy;
  snprintf (run->data_centre, sizeof run->data_centre, "dc%u", data_centre);
  rng_init (&run->rng, seed * 16 + data_centre);
  sheet_init (&run->sheet);
  fleet_init (&run->fleet);
  history_settings_init (&history_settings);
  history_settings.observation_gap_limit_ms = 2 * size->tick_ms;
  history_init (&run->history, &history_settings, run->data_centre);
  placement_init (&run->placement);
  placement_settings_init (&run->settings);
  run->settings.stranded_weight = stranded_weight;
  plan_settings_init (&plan_settings);
  if (policy != POLICY_GROUP)
    plan_settings.prefetch_limit = 0;
  plan_init (&run->plan, &plan_settings, run->data_centre, "holder");
  plan_steps_init (&run->steps);
  run->lease.phase = LEASE_HOLDING;
  run->lease.value.fence = 1;
  create_fleet (run);
  create_sheet (run);
  while (run->now_ms < WARM_UP_MS + size->length_ms)
    run_tick (run);
  sum->down_s += run->figures.down_s;
  sum->stranded_s += run->figures.stranded_s;
  sum->stranded_groups_s += run->figures.stranded_groups_s;
  sum->orders += run->figures.orders;
  sum->loads += run->figures.loads;
  sum->bound_s += run->figures.bound_s;
  sum->prefetches += run->figures.prefetches;
  for (int cause = 0; cause < CAUSE_COUNT; cause++)
    sum->cause_s[cause] += run->figures.cause_s[cause];
  plan_steps_finish (&run->steps);
  plan_finish (&run->plan);
  placement_finish (&run->placement);
  history_finish (&run->history);
  fleet_finish (&run->fleet);
  sheet_finish (&run->sheet);
  free (run);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

int
main (int argc, char **argv)
{
  const struct fleet_size *size;
  uint64_t seed;

  if (argc != 4)
    {
      fprintf (stderr, "usage: measure-repair small|large WEIGHT SEED\n");
      return 2;
    }
  size = strcmp (argv[1], "large") == 0 ? &large_fleet : &small_fleet;
  seed = strtoull (argv[3], NULL, 10);
  for (int policy = POLICY_GROUP; policy <= POLICY_NEVER; policy++)
    {
      struct figures sum = { 0 };
      double weight = strtod (argv[2], NULL);

      for (unsigned d = 0; d < size->data_centres; d++)
        run_data_centre (size, (enum policy)policy, d, seed, weight, &sum);
      printf ("fleet=%s stranded_weight=%s seed=%s policy=%s down_s=%.0f "
              "stranded_accelerator_h=%.1f weighted=%.0f orders=%u loads=%u "
              "prefetches=%u",
              argv[1], argv[2], argv[3], policy_names[policy], sum.down_s,
              sum.stranded_s * 8 / 3600,
              sum.down_s + weight * sum.stranded_groups_s, sum.orders,
              sum.loads, sum.prefetches);
      for (int cause = 0; cause < CAUSE_COUNT; cause++)
        printf (" %s_s=%.0f", cause_names[cause], sum.cause_s[cause]);
      printf (" bound_s=%.0f\n", sum.bound_s);
    }
  qsort (tick_us, tick_count, sizeof *tick_us, compare_doubles);
  printf ("fleet=%s seed=%s tick_us_median=%.0f tick_us_worst=%.0f\n", argv[1],
          argv[3], tick_us[tick_count / 2], tick_us[tick_count - 1]);
  free (tick_us);
  return 0;
}
