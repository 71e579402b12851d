#include "../packages/group/tests/fixture.h"
#include "history.h"
#include "lease.h"
#include "placement.h"
#include "plan.h"
#include "rng.h"

#include <time.h>

/*
 * Replays seeded histories of host failures, returns, pauses, domain outages
 * and sheet changes through the group decisions in virtual time, and through
 * two baselines: "rebuild" forms a group anew as soon as a member is missing,
 * "never" changes no members.  All three form the first assignment and order
 * the engines in the same way.  One process runs one seed.
 */

#define HOSTS_LIMIT 800
#define DCS_LIMIT 5
#define DOMAINS_LIMIT 4
#define WARM_UP_MS 400000
#define LOAD_MS 60000
#define WARM_LOAD_MS 10000

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
  unsigned hosts; /* of each data centre, at most */
  unsigned total;
  unsigned domains; /* per data centre */
  struct
  {
    unsigned span;
    unsigned count; /* over all data centres */
  } specs[3];
  int64_t length_ms;
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
  bool away;         /* it answers no probe */
  int64_t back_ms;   /* when it returns */
  bool restarts;     /* its engine starts anew when it returns */
  int64_t leaves_ms; /* planned restart: goes away at this moment; 0 = none */
};

/* Why a wanted group does not serve, the first that applies. */
enum cause
{
  CAUSE_UNFORMED, /* it is not in the assignment */
  CAUSE_DRAINING, /* it finishes its work before a change */
  CAUSE_NO_SPARE, /* members are gone and its domain has too few spares */
  CAUSE_WAITING,  /* members are gone and nothing is ordered yet */
  CAUSE_FETCHING, /* a present member lacks the weights */
  CAUSE_LOADING,  /* members load weights that they have, or await the order */
  CAUSE_COUNT
};
static const char *const cause_names[]
    = { "unformed", "draining", "no_spare", "waiting", "fetching", "loading" };

struct figures
{
  double down_s;            /* wanted groups that do not serve */
  double stranded_s;        /* hosts present in no serving group */
  double stranded_groups_s; /* the same, divided by the mean span */
  unsigned orders;
  unsigned loads;
  unsigned prefetches;         /* loads that give a spare weights */
  double cause_s[CAUSE_COUNT]; /* down_s by cause */
  double bound_s; /* down_s with loads and changes that take no time */
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
  struct host_state hosts[HOSTS_LIMIT];
  unsigned host_count;
  unsigned wanted;
  unsigned parts[4]; /* of wanted, by spec */
  double mean_span;
  struct figures figures;
  int64_t now_ms;
};

static double *tick_us;
static size_t tick_count;
static size_t tick_capacity;

static void
add_tick (double us)
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
clock_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
start_fleet (struct run *run)
{
  const struct fleet_size *size = run->size;
  unsigned made = 0;

  for (unsigned d = 0; d < size->data_centres; d++)
    for (unsigned i = 0; i < size->hosts && made < size->total; i++, made++)
      {
        char id[32];
        char data_centre[16];
        char domain[16];
        struct fleet_host *host;

        snprintf (data_centre, sizeof data_centre, "dc%u", d);
        snprintf (domain, sizeof domain, "f%u", i % size->domains);
        snprintf (id, sizeof id, "dc%u-%03u", d, i);
        host = fixture_host (&run->fleet, id, data_centre, domain);
        if (strcmp (data_centre, run->data_centre) != 0)
          continue;
        run->hosts[run->host_count].host = host;
        engine_boot (&run->hosts[run->host_count++].engine, id);
      }
}

static void
start_sheet (struct run *run)
{
  unsigned parts[4];
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
                               parts, unplaced)
      != RESULT_OK)
    abort ();
  for (size_t i = 0; i < run->sheet.group_count; i++)
    {
      run->wanted += parts[i];
      run->parts[i] = parts[i];
      hosts += parts[i] * run->sheet.groups[i].span;
    }
  run->mean_span = run->wanted > 0 ? (double)hosts / run->wanted : 1;
}

static void
go_away (struct host_state *state,
         int64_t now_ms,
         int64_t time_ms,
         bool restart)
{
  state->away = true;
  state->back_ms = now_ms + time_ms;
  state->restarts = restart;
}

static int64_t
between (struct rng *rng, int64_t low, int64_t high)
{
  return low + (int64_t)rng_below (rng, (uint64_t)(high - low));
}

/*
 * Rates per host and hour: 0.15 pauses, 0.1 restarts (half of them planned)
 * and 0.05 failures, about twenty times those of the design page, so that an
 * hour shows what else takes a day.
 */
static void
host_events (struct run *run, struct host_state *state)
{
  double tick_h = (double)run->size->tick_ms / 3600000;
  double draw = rng_real (&run->rng);
  int64_t time_ms = between (&run->rng, 0, 1000000);

  if (state->leaves_ms != 0 && run->now_ms >= state->leaves_ms)
    {
      state->leaves_ms = 0;
      go_away (state, run->now_ms, 60000 + time_ms % 120000, true);
    }
  if (state->away && run->now_ms >= state->back_ms)
    {
      state->away = false;
      state->host->listed_leaving = false;
      if (state->restarts)
        engine_boot (&state->engine, state->host->id);
    }
  if (state->away || state->leaves_ms != 0)
    return;
  if (draw < 0.15 * tick_h)
    go_away (state, run->now_ms, 3000 + time_ms % 25000, false);
  else if (draw < 0.20 * tick_h)
    go_away (state, run->now_ms, 60000 + time_ms % 180000, true);
  else if (draw < 0.25 * tick_h)
    {
      state->host->listed_leaving = true;
      state->leaves_ms = run->now_ms + 60000;
    }
  else if (draw < 0.30 * tick_h)
    go_away (state, run->now_ms, 1800000 + 4 * time_ms, true);
}

/* A domain has two outages in a run, once for seconds, once for minutes. */
static void
domain_events (struct run *run)
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
    if (strcmp (run->hosts[i].host->domain, name) == 0 && !run->hosts[i].away)
      go_away (&run->hosts[i], run->now_ms, outage_ms, outage_ms > 60000);
}

/* The first spec gets a new version at half time. */
static void
sheet_events (struct run *run)
{
  int64_t since_ms = run->now_ms - WARM_UP_MS;

  if (since_ms < run->size->length_ms / 2
      || strcmp (run->sheet.groups[0].version, "2") == 0)
    return;
  run->sheet.number++;
  snprintf (run->sheet.groups[0].version, SHEET_NAME_SIZE, "2");
}

static const struct sheet_group *
find_row (const struct run *run, const char *name)
{
  for (size_t i = 0; i < run->sheet.group_count; i++)
    if (strcmp (run->sheet.groups[i].name, name) == 0)
      return &run->sheet.groups[i];
  return NULL;
}

static struct host_state *
find_state (struct run *run, const char *id)
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

/* Whether a placement uses the host. */
static bool
is_used (const struct placement *placement, const char *id)
{
  for (size_t i = 0; i < placement->group_count; i++)
    for (unsigned rank = 0; rank < placement->groups[i].member_count; rank++)
      if (strcmp (placement->groups[i].members[rank], id) == 0)
        return true;
  return false;
}

/* Fills the group from the domain with the fewest sufficient free hosts. */
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
            && !is_used (&run->placement, run->hosts[i].host->id))
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
        && !is_used (&run->placement, run->hosts[i].host->id))
      memcpy (group->members[rank++], run->hosts[i].host->id, FLEET_NAME_SIZE);
  group->member_count = rank;
  memcpy (group->domain, best_domain, sizeof best_domain);
  return rank == group->span;
}

/* Groups that the baseline could not form, to be tried again. */
static void
baseline (struct run *run)
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
      const struct sheet_group *row = find_row (run, entry->spec);
      struct fleet_group old = *entry;
      bool broken = entry->member_count != entry->span;

      for (unsigned rank = 0; rank < entry->member_count; rank++)
        {
          struct host_state *state = find_state (run, entry->members[rank]);

          if (state == NULL || !is_usable (run, state->host))
            broken = true;
        }
      if (run->policy == POLICY_REBUILD && broken)
        {
          if (!rebuild_group (run, entry) && old.member_count == 0)
            *entry = old;
          else
            entry->generation = generation;
        }
      if (strcmp (entry->version, row->version) != 0)
        {
          memcpy (entry->version, row->version, sizeof entry->version);
          entry->generation = generation;
        }
      if (entry->generation == generation)
        placement->changed = true;
    }
}

static void
decide (struct run *run)
{
  const struct placement_input input = { .sheet = &run->sheet,
                                         .fleet = &run->fleet,
                                         .history = &run->history,
                                         .settings = &run->settings,
                                         .data_centre = run->data_centre,
                                         .now_ms = run->now_ms };

  if (run->policy != POLICY_GROUP && run->now_ms >= WARM_UP_MS)
    baseline (run);
  else if (placement_compute (&run->placement, &input) != RESULT_OK)
    abort ();
}

static void
carry_out (struct run *run)
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
      struct host_state *state = find_state (run, order->host);
      enum result result = RESULT_ORDER_LOST;

      if (state == NULL)
        abort ();
      if (!state->away)
        result = engine_handle_order (&state->engine, true, order, run->now_ms,
                                      LOAD_MS, WARM_LOAD_MS);
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

/* Hosts of the domain that could replace a member now. */
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
  unsigned gone = group->span - group->member_count;
  bool fetching = false;

  if (group->draining)
    return CAUSE_DRAINING;
  for (unsigned rank = 0; rank < group->member_count; rank++)
    {
      const struct host_state *state = find_state (run, group->members[rank]);

      if (state == NULL || !is_usable (run, state->host))
        gone++;
      else if (!engine_has_weights (&state->engine, group))
        fetching = true;
    }
  if (gone > 0)
    return count_spares (run, group->domain) < gone ? CAUSE_NO_SPARE
                                                    : CAUSE_WAITING;
  return fetching ? CAUSE_FETCHING : CAUSE_LOADING;
}

/*
 * At most so many wanted groups can serve with the usable hosts: shorter spans
 * first, each span as if it had every domain to itself, and no more hosts in
 * all than there are.
 */
static unsigned
most_serving (const struct run *run)
{
  unsigned usable[DOMAINS_LIMIT] = { 0 };
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
          wanted += run->parts[i];
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
count_figures (struct run *run)
{
  double tick_s = (double)run->size->tick_ms / 1000;
  const struct fleet_group *group;
  unsigned serving = 0;
  unsigned busy = 0;
  unsigned present = 0;

  for (group = run->fleet.groups; group != NULL; group = group->hh.next)
    if (fleet_group_serving_state (&run->fleet, group, run->now_ms)
        == FLEET_SERVING)
      {
        serving++;
        busy += group->span;
      }
    else
      run->figures.cause_s[find_cause (run, group)] += tick_s;
  for (unsigned i = 0; i < run->host_count; i++)
    if (is_usable (run, run->hosts[i].host))
      present++;
  if (HASH_COUNT (run->fleet.groups) < run->wanted)
    run->figures.cause_s[CAUSE_UNFORMED]
        += (run->wanted - HASH_COUNT (run->fleet.groups)) * tick_s;
  run->figures.bound_s += (run->wanted - most_serving (run)) * tick_s;
  if (serving < run->wanted)
    run->figures.down_s += (run->wanted - serving) * tick_s;
  run->figures.stranded_s += (present - busy) * tick_s;
  run->figures.stranded_groups_s += (present - busy) * tick_s / run->mean_span;
}

static void
tick (struct run *run)
{
  double started;

  run->now_ms += run->size->tick_ms;
  if (run->now_ms >= WARM_UP_MS)
    {
      domain_events (run);
      sheet_events (run);
      for (unsigned i = 0; i < run->host_count; i++)
        host_events (run, &run->hosts[i]);
    }
  for (unsigned i = 0; i < run->host_count; i++)
    {
      engine_tick (&run->hosts[i].engine, run->now_ms);
      if (!run->hosts[i].away)
        engine_attest (&run->hosts[i].engine, run->hosts[i].host, run->now_ms);
    }
  run->lease.valid_until_ms = run->now_ms + 1;
  started = clock_us ();
  if (history_observe (&run->history, &run->fleet, run->now_ms) != RESULT_OK)
    abort ();
  decide (run);
  if (plan_compute_steps (&run->plan, &run->lease, &run->fleet, &run->placement,
                          &run->history, run->now_ms, &run->steps)
      != RESULT_OK)
    abort ();
  if (run->policy == POLICY_GROUP)
    add_tick (clock_us () - started);
  carry_out (run);
  if (run->now_ms >= WARM_UP_MS)
    count_figures (run);
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
  start_fleet (run);
  start_sheet (run);
  while (run->now_ms < WARM_UP_MS + size->length_ms)
    tick (run);
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
