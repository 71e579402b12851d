#include "placement.h"
#include "../packages/group/tests/fixture.h"
#include "history.h"
#include "lease.h"
#include "plan.h"

/*
 * Runs placement and plan on a small simulated data centre.  The input chooses
 * the hosts, the specs and then events: failures, returns, restarts, drains,
 * leaving and delisted hosts, domain outages, sheet changes, lost responses
 * and new lease holders.  The oracle:
 * - no host is in two groups, and every group has as many members as its span;
 * - a group that is new or changed has all its members in one permitted
 *   domain and on permitted hosts of this data centre, none leaving;
 * - a group on hosts that are no longer permitted is removed within
 *   FORBIDDEN_LIMIT_MS;
 * - placement computed again at the same moment keeps the groups of the first
 *   computation, and stops changing within RECOMPUTE_LIMIT rounds;
 * - the number of loads that fetch weights does not exceed the limit;
 * - when there are no more events, the number of writes is bounded, groups
 *   whose hosts are all present serve, and no spec lacks a group for which
 *   hosts are free.
 */

#define REQUIRE(condition)                                                     \
  do                                                                           \
    {                                                                          \
      if (!(condition))                                                        \
        {                                                                      \
          fprintf (stderr, "violated at %lld ms: %s\n",                        \
                   (long long)world.now_ms, #condition);                       \
          abort ();                                                            \
        }                                                                      \
    }                                                                          \
  while (0)

#define HOST_LIMIT 16
#define SPEC_LIMIT 3
#define EVENT_LIMIT 16
/* At the end of a run, these ticks follow without events. */
#define QUIET_TICKS 16
#define QUIET_TICK_MS 45000
/*
 * A new version is rolled out to the groups of a spec one after the other.
 * Each group takes a tick for its drain, the end of the drain and its order,
 * and two ticks for LOAD_MS.
 */
#define ROLLOUT_TICKS 5
/*
 * Time for the drain, for hosts to settle, and for ticks on which a response is
 * lost.  A long tick counts as TICK_CAP_MS, since a tick makes one step only.
 */
#define FORBIDDEN_LIMIT_MS 120000
#define TICK_CAP_MS 10000
/* Each group may need writes for a repair, a host's return that frees other
   hosts, a drain and the removal. */
#define QUIET_WRITE_LIMIT 24
/* Each group can free hosts for another group at most once. */
#define RECOMPUTE_LIMIT 16
#define LOAD_LIMIT 5
#define LOAD_MS 60000
#define CACHED_LOAD_MS 10000

struct tracked_group
{
  char id[FLEET_NAME_SIZE];
  int64_t forbidden_since_ms; /* in capped_ms; 0 = its hosts are permitted */
};

static struct
{
  const uint8_t *data;
  size_t size;
  struct sheet sheet;
  struct fleet fleet;
  struct history history;
  struct history_settings history_settings;
  struct placement placement;
  struct placement_settings settings;
  struct plan plan;
  struct plan_settings plan_settings;
  struct plan_steps steps;
  struct lease lease;
  char names[HOST_LIMIT][FLEET_NAME_SIZE];
  struct engine engines[HOST_LIMIT];
  bool silent[HOST_LIMIT]; /* no response to probes and orders */
  unsigned host_count;
  struct tracked_group tracked[64];
  unsigned tracked_count;
  bool lose_write_response;  /* the next write takes effect */
  bool lose_write_request;   /* the next write has no effect */
  bool lose_order_responses; /* the next orders are executed */
  int64_t now_ms;
  int64_t capped_ms; /* like now_ms, but a tick counts TICK_CAP_MS at most */
  int64_t observed_since_ms; /* start of the history; in capped_ms */
  unsigned writes;           /* of the assignment */
  unsigned order_total;
} world;

static unsigned
next_byte (void)
{
  if (world.size == 0)
    return 0;
  world.size--;
  return *world.data++;
}

static struct fleet_host *
get_host (unsigned i)
{
  return fleet_find_host (&world.fleet, world.names[i]);
}

static int
host_index (const char *id)
{
  for (unsigned i = 0; i < world.host_count; i++)
    if (strcmp (world.names[i], id) == 0)
      return (int)i;
  return -1;
}

static const struct sheet_group *
find_spec (const struct fleet_group *group)
{
  for (size_t i = 0; i < world.sheet.group_count; i++)
    if (strcmp (world.sheet.groups[i].name, group->spec) == 0)
      return &world.sheet.groups[i];
  return NULL;
}

static bool
list_permits (const struct sheet_list *list, const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcmp (list->names[i], name) == 0)
      return true;
  return list->count == 0;
}

/* Implements the rules of the sheet without the checks of the placement
   package. */
static bool
is_permitted (const struct fleet_group *group)
{
  const struct sheet_group *spec = find_spec (group);

  if (spec == NULL || spec->span != group->span || spec->data_centres.count == 0
      || !list_permits (&spec->data_centres, "dc"))
    return false;
  for (unsigned rank = 0; rank < group->member_count; rank++)
    {
      const struct fleet_host *host
          = fleet_find_host (&world.fleet, group->members[rank]);
      const struct fleet_host *first
          = fleet_find_host (&world.fleet, group->members[0]);

      if (host == NULL || first == NULL || strcmp (host->data_centre, "dc") != 0
          || strcmp (host->domain, first->domain) != 0
          || !list_permits (&spec->domains, host->domain)
          || !list_permits (&spec->hosts, host->id))
        return false;
    }
  return true;
}

static void
check_changed_group (const struct fleet_group *group)
{
  const struct fleet_group *old = fleet_find_group (&world.fleet, group->id);

  if (old != NULL && old->generation == group->generation)
    {
      REQUIRE (memcmp (old->members, group->members, sizeof group->members)
               == 0);
      REQUIRE (strcmp (old->version, group->version) == 0);
      return;
    }
  REQUIRE (is_permitted (group));
  REQUIRE (!group->draining);
  REQUIRE (old == NULL || group->generation > old->generation);
  for (unsigned rank = 0; rank < group->member_count; rank++)
    {
      const struct fleet_host *host
          = fleet_find_host (&world.fleet, group->members[rank]);
      bool kept = false;

      for (unsigned i = 0; old != NULL && i < old->member_count; i++)
        if (strcmp (old->members[i], group->members[rank]) == 0)
          kept = true;
      if (!kept)
        REQUIRE (host->listed && !host->listed_leaving && !host->drained
                 && world.now_ms - host->attested.seen_ms <= 2000);
    }
}

static void
check_computed_groups (void)
{
  bool used[HOST_LIMIT] = { false };

  for (size_t i = 0; i < world.placement.group_count; i++)
    {
      const struct fleet_group *group = &world.placement.groups[i];

      REQUIRE (group->span > 0 && group->member_count == group->span);
      for (unsigned rank = 0; rank < group->member_count; rank++)
        {
          int host = host_index (group->members[rank]);

          REQUIRE (host >= 0 && !used[host]);
          used[host] = true;
        }
      check_changed_group (group);
    }
}

static void
print_decisions (const char *title, const struct placement *placement)
{
  fprintf (stderr, "%s at %lld ms:\n", title, (long long)world.now_ms);
  for (size_t i = 0; i < placement->decision_count; i++)
    fprintf (stderr, "  %s %s %s: %s\n",
             placement_step_name (placement->decisions[i].step),
             placement->decisions[i].spec, placement->decisions[i].group,
             placement->decisions[i].reason);
}

static struct tracked_group *
track_group (const char *id)
{
  for (unsigned i = 0; i < world.tracked_count; i++)
    if (strcmp (world.tracked[i].id, id) == 0)
      return &world.tracked[i];
  if (world.tracked_count == 64)
    return NULL;
  snprintf (world.tracked[world.tracked_count].id, FLEET_NAME_SIZE, "%s", id);
  return &world.tracked[world.tracked_count++];
}

/* Checks that groups on hosts that are not permitted are removed in time. */
static void
check_forbidden (void)
{
  const struct fleet_group *group;

  for (unsigned i = 0; i < world.tracked_count; i++)
    if (fleet_find_group (&world.fleet, world.tracked[i].id) == NULL)
      world.tracked[i].forbidden_since_ms = 0;
  for (group = world.fleet.groups; group != NULL; group = group->hh.next)
    {
      struct tracked_group *tracked = track_group (group->id);

      if (tracked == NULL)
        continue;
      if (is_permitted (group))
        tracked->forbidden_since_ms = 0;
      else if (tracked->forbidden_since_ms == 0)
        tracked->forbidden_since_ms = world.capped_ms;
      if (tracked->forbidden_since_ms < world.observed_since_ms
          && tracked->forbidden_since_ms != 0)
        tracked->forbidden_since_ms = world.observed_since_ms;
      if (tracked->forbidden_since_ms != 0
          && world.capped_ms - tracked->forbidden_since_ms > FORBIDDEN_LIMIT_MS)
        print_decisions ("not permitted", &world.placement);
      REQUIRE (tracked->forbidden_since_ms == 0
               || world.capped_ms - tracked->forbidden_since_ms
                      <= FORBIDDEN_LIMIT_MS);
    }
}

static struct placement_input
make_placement_input (void)
{
  return (struct placement_input){ .sheet = &world.sheet,
                                   .fleet = &world.fleet,
                                   .history = &world.history,
                                   .settings = &world.settings,
                                   .data_centre = "dc",
                                   .now_ms = world.now_ms };
}

/* Copies the fleet's hosts, with the groups that a placement computed. */
static void
copy_fleet (struct fleet *copy,
            const struct fleet *fleet,
            const struct placement *placement)
{
  const struct fleet_host *host;

  fleet_init (copy);
  for (host = fleet->hosts; host != NULL; host = host->hh.next)
    {
      struct fleet_host *entry = fleet_add_host (copy, host->id);
      UT_hash_handle hh = entry->hh;

      *entry = *host;
      entry->hh = hh;
    }
  for (size_t i = 0; i < placement->group_count; i++)
    {
      struct fleet_group *entry
          = fleet_add_group (copy, placement->groups[i].id);
      UT_hash_handle hh = entry->hh;

      *entry = placement->groups[i];
      entry->hh = hh;
    }
  copy->assignment_number = fleet->assignment_number + 1;
}

/*
 * Computes the placement again at the same moment until nothing changes, and
 * checks that each round keeps the groups of the round before.  first was
 * computed from the fleet before.
 */
static void
check_recompute (const struct fleet *before, const struct placement *first)
{
  struct placement rounds[RECOMPUTE_LIMIT];
  struct fleet fleets[RECOMPUTE_LIMIT];
  unsigned count = 0;
  bool changed = true;

  while (changed)
    {
      struct placement_input input = make_placement_input ();
      const struct placement *last = count > 0 ? &rounds[count - 1] : first;
      uint64_t old_number = before->assignment_number;

      REQUIRE (count < RECOMPUTE_LIMIT);
      copy_fleet (&fleets[count], count > 0 ? &fleets[count - 1] : before,
                  last);
      input.fleet = &fleets[count];
      placement_init (&rounds[count]);
      REQUIRE (history_observe (&world.history, &fleets[count], world.now_ms)
               == RESULT_OK);
      REQUIRE (placement_compute (&rounds[count], &input) == RESULT_OK);
      changed = rounds[count].changed;
      for (size_t i = 0; changed && i < last->group_count; i++)
        {
          const struct fleet_group *group = &last->groups[i];
          bool kept = group->generation <= old_number;

          for (size_t j = 0; j < rounds[count].group_count; j++)
            if (strcmp (rounds[count].groups[j].id, group->id) == 0
                && rounds[count].groups[j].generation == group->generation
                && !rounds[count].groups[j].draining)
              kept = true;
          if (!kept)
            {
              print_decisions ("first", last);
              print_decisions ("again", &rounds[count]);
            }
          REQUIRE (kept);
        }
      count++;
    }
  for (unsigned i = 0; i < count; i++)
    {
      placement_finish (&rounds[i]);
      fleet_finish (&fleets[i]);
    }
  REQUIRE (history_observe (&world.history, &world.fleet, world.now_ms)
           == RESULT_OK);
}

static void
complete_write (void)
{
  bool applied = !world.lose_write_request;

  world.writes++;
  if (world.placement.changed
      && strncmp (world.steps.write_reason, "takeover", 8) != 0)
    check_recompute (&world.fleet, &world.placement);
  if (applied)
    REQUIRE (
        fixture_apply_assignment (&world.fleet, "dc", &world.steps.assignment)
        == RESULT_OK);
  plan_on_write (&world.plan,
                 applied && !world.lose_write_response
                     ? RESULT_OK
                     : RESULT_PLATFORM_LOST_ANSWER,
                 world.now_ms);
  world.lose_write_response = false;
  world.lose_write_request = false;
}

static bool
is_fetching (const struct engine *engine)
{
  struct fleet_group group = { .span = 0 };

  memcpy (group.model, engine->attestation.model, sizeof group.model);
  memcpy (group.version, engine->attestation.version, sizeof group.version);
  return engine->attestation.state == FLEET_ENGINE_LOADING
         && !engine_has_weights (engine, &group);
}

static unsigned
count_fetching (void)
{
  unsigned count = 0;

  for (unsigned i = 0; i < world.host_count; i++)
    if (!world.silent[i] && world.engines[i].up
        && is_fetching (&world.engines[i]))
      count++;
  return count;
}

static bool
is_assigned (const char *id)
{
  const struct fleet_group *group;

  for (group = world.fleet.groups; group != NULL; group = group->hh.next)
    for (unsigned rank = 0; rank < group->member_count; rank++)
      if (strcmp (group->members[rank], id) == 0)
        return true;
  return false;
}

static void
execute_orders (void)
{
  unsigned before = count_fetching ();

  for (size_t i = 0; i < world.steps.order_count; i++)
    {
      const struct plan_order *order = &world.steps.orders[i];
      int host = host_index (order->host);
      enum result result;

      REQUIRE (host >= 0);
      REQUIRE (world.now_ms - get_host ((unsigned)host)->attested.seen_ms
               <= 2000);
      world.order_total++;
      if (order->op == PLAN_LOAD && order->group.id[0] == '\0')
        REQUIRE (!is_assigned (order->host));
      result = RESULT_ORDER_LOST;
      if (!world.silent[host])
        result = engine_handle_order (&world.engines[host], true, order,
                                      world.now_ms, LOAD_MS, CACHED_LOAD_MS);
      plan_on_order (&world.plan, order->host, order->order_id,
                     world.lose_order_responses ? RESULT_ORDER_LOST : result,
                     world.now_ms);
    }
  world.lose_order_responses = false;
  REQUIRE (count_fetching () <= LOAD_LIMIT || count_fetching () <= before);
}

static void
observe_hosts (void)
{
  for (unsigned i = 0; i < world.host_count; i++)
    {
      if (!world.engines[i].up)
        continue;
      engine_tick (&world.engines[i], world.now_ms);
      if (!world.silent[i])
        engine_attest (&world.engines[i], get_host (i), world.now_ms);
    }
}

static void
run_tick (int64_t step_ms)
{
  struct placement_input input;

  world.now_ms += step_ms;
  world.capped_ms += step_ms < TICK_CAP_MS ? step_ms : TICK_CAP_MS;
  observe_hosts ();
  REQUIRE (history_observe (&world.history, &world.fleet, world.now_ms)
           == RESULT_OK);
  input = make_placement_input ();
  REQUIRE (placement_compute (&world.placement, &input) == RESULT_OK);
  check_computed_groups ();
  check_forbidden ();
  world.lease.valid_until_ms = world.now_ms + 1;
  REQUIRE (plan_compute_steps (&world.plan, &world.lease, &world.fleet,
                               &world.placement, &world.history, world.now_ms,
                               &world.steps)
           == RESULT_OK);
  REQUIRE (!(world.steps.write_assignment && world.steps.order_count > 0));
  if (world.steps.read_assignment)
    plan_on_read (&world.plan, RESULT_PLATFORM_UNCHANGED, world.now_ms);
  if (world.steps.write_assignment)
    complete_write ();
  execute_orders ();
}

static void
replace_list (struct sheet_list *list, const char *names)
{
  fixture_clear_list (list);
  fixture_append_names (list, names);
}

static void
change_spec (struct sheet_group *spec, unsigned choice, unsigned value)
{
  static const char *const domains[] = { "", "a", "b", "a;c" };
  static const char *const hosts[] = { "", "h0;h1;h2;h3;h4", "h2;h3;h8;h9" };
  static const char *const data_centres[] = { "dc", "dc;other", "other" };

  world.sheet.number++;
  switch (choice % 6)
    {
    case 0:
      spec->span = 1 + value % 5;
      break;
    case 1:
      spec->count = value % 5;
      break;
    case 2:
      snprintf (spec->version, sizeof spec->version, "%u", value % 3);
      break;
    case 3:
      replace_list (&spec->domains, domains[value % 4]);
      break;
    case 4:
      replace_list (&spec->hosts, hosts[value % 3]);
      break;
    default:
      replace_list (&spec->data_centres, data_centres[value % 3]);
      break;
    }
}

static void
replace_lease_holder (void)
{
  history_finish (&world.history);
  history_init (&world.history, &world.history_settings, "dc");
  plan_finish (&world.plan);
  plan_init (&world.plan, &world.plan_settings, "dc", "holder");
  world.lease.value.fence++;
  world.observed_since_ms = world.capped_ms;
}

static void
set_domain_silent (const char *domain, bool silent)
{
  for (unsigned i = 0; i < world.host_count; i++)
    if (strcmp (get_host (i)->domain, domain) == 0)
      world.silent[i] = silent;
}

static void
run_event (void)
{
  static const char *const domains[] = { "a", "b", "c" };
  unsigned kind = next_byte ();
  unsigned value = next_byte ();
  unsigned i = value % world.host_count;

  switch (kind % 14)
    {
    case 0:
      world.engines[i].up = false;
      world.silent[i] = true;
      break;
    case 1:
      if (!world.engines[i].up)
        engine_boot (&world.engines[i], world.names[i]);
      world.silent[i] = false;
      break;
    case 2:
      world.silent[i] = true;
      break;
    case 3:
      if (world.engines[i].up)
        engine_boot (&world.engines[i], world.names[i]);
      break;
    case 4:
      get_host (i)->drained = !get_host (i)->drained;
      break;
    case 5:
      get_host (i)->listed_leaving = !get_host (i)->listed_leaving;
      break;
    case 6:
      get_host (i)->listed = !get_host (i)->listed;
      break;
    case 7:
      set_domain_silent (domains[value % 3], true);
      break;
    case 8:
      set_domain_silent (domains[value % 3], false);
      for (unsigned j = 0; j < world.host_count; j++)
        if (!world.engines[j].up && !world.silent[j])
          engine_boot (&world.engines[j], world.names[j]);
      break;
    case 9:
    case 10:
      change_spec (&world.sheet.groups[value % world.sheet.group_count],
                   next_byte (), next_byte ());
      break;
    case 11:
      world.engines[i].attestation.running
          = world.engines[i].attestation.running ? 0 : 3;
      break;
    case 12:
      world.lose_write_response = (value & 1) != 0;
      world.lose_write_request = (value & 2) != 0;
      world.lose_order_responses = (value & 4) != 0;
      break;
    default:
      replace_lease_holder ();
      break;
    }
}

/* Returns the largest number of free hosts in one domain for the spec. */
static unsigned
max_free_hosts (const struct sheet_group *spec)
{
  static const char *const domains[] = { "a", "b", "c" };
  unsigned max_count = 0;

  for (unsigned d = 0; d < 3; d++)
    {
      unsigned count = 0;

      for (unsigned i = 0; i < world.host_count; i++)
        {
          const struct fleet_host *host = get_host (i);
          const struct fleet_group *group;
          bool used = false;

          for (group = world.fleet.groups; group != NULL;
               group = group->hh.next)
            for (unsigned rank = 0; rank < group->member_count; rank++)
              if (strcmp (group->members[rank], host->id) == 0)
                used = true;
          if (!used && strcmp (host->domain, domains[d]) == 0 && host->listed
              && !host->listed_leaving && !host->drained && !world.silent[i]
              && list_permits (&spec->domains, host->domain)
              && list_permits (&spec->hosts, host->id))
            count++;
        }
      if (count > max_count)
        max_count = count;
    }
  return max_count;
}

/* Returns the largest number of groups of one spec that lack its version. */
static unsigned
max_outdated_groups (void)
{
  unsigned max_count = 0;

  for (size_t i = 0; i < world.sheet.group_count; i++)
    {
      const struct sheet_group *spec = &world.sheet.groups[i];
      const struct fleet_group *group;
      unsigned count = 0;

      for (group = world.fleet.groups; group != NULL; group = group->hh.next)
        if (strcmp (group->spec, spec->name) == 0
            && strcmp (group->version, spec->version) != 0)
          count++;
      if (count > max_count)
        max_count = count;
    }
  return max_count;
}

/*
 * Checks the state after a long time without events, when every hold-off has
 * expired.
 */
static void
check_converged (void)
{
  unsigned target_counts[SPEC_LIMIT];
  unsigned unplaced[SPEC_LIMIT];
  const struct fleet_group *group;
  bool any_listed = false;

  for (group = world.fleet.groups; group != NULL; group = group->hh.next)
    {
      bool present = true;

      for (unsigned rank = 0; rank < group->member_count; rank++)
        {
          int host = host_index (group->members[rank]);

          if (world.silent[host] || get_host ((unsigned)host)->drained
              || get_host ((unsigned)host)->listed_leaving)
            present = false;
        }
      if (present && !group->draining)
        REQUIRE (fleet_group_serving_state (&world.fleet, group, world.now_ms)
                 == FLEET_SERVING);
    }
  for (unsigned i = 0; i < world.host_count; i++)
    if (get_host (i)->listed)
      any_listed = true;
  if (!any_listed)
    return;
  REQUIRE (placement_divide_groups (&world.sheet, &world.fleet, "dc",
                                    target_counts, unplaced)
           == RESULT_OK);
  for (size_t i = 0; i < world.sheet.group_count; i++)
    {
      const struct sheet_group *spec = &world.sheet.groups[i];
      unsigned placed = 0;
      unsigned outdated = 0;
      bool all_serve = true;

      for (group = world.fleet.groups; group != NULL; group = group->hh.next)
        if (strcmp (group->spec, spec->name) == 0)
          {
            placed++;
            outdated += strcmp (group->version, spec->version) != 0;
            if (fleet_group_serving_state (&world.fleet, group, world.now_ms)
                != FLEET_SERVING)
              all_serve = false;
          }
      REQUIRE (placed <= target_counts[i]);
      REQUIRE (!all_serve || outdated == 0);
      REQUIRE (placed == target_counts[i]
               || max_free_hosts (spec) < spec->span);
    }
}

static void
init_world (void)
{
  static const char *const domains[] = { "a", "b", "c" };
  unsigned spec_count;

  sheet_init (&world.sheet);
  fleet_init (&world.fleet);
  history_settings_init (&world.history_settings);
  /* The time without events is simulated in long ticks. */
  world.history_settings.observation_gap_limit_ms = QUIET_TICK_MS;
  world.history_settings.flap_hold_limit_ms = 120000;
  history_init (&world.history, &world.history_settings, "dc");
  placement_init (&world.placement);
  placement_settings_init (&world.settings);
  world.settings.load_limit = LOAD_LIMIT;
  plan_settings_init (&world.plan_settings);
  world.plan_settings.load_limit = LOAD_LIMIT;
  plan_init (&world.plan, &world.plan_settings, "dc", "holder");
  plan_steps_init (&world.steps);
  world.lease.phase = LEASE_HOLDING;
  world.lease.value.fence = 1;
  world.now_ms = 100000;
  world.capped_ms = 100000;
  world.observed_since_ms = world.capped_ms;
  world.host_count = 1 + next_byte () % HOST_LIMIT;
  for (unsigned i = 0; i < world.host_count; i++)
    {
      snprintf (world.names[i], FLEET_NAME_SIZE, "h%u", i);
      fixture_add_host (&world.fleet, world.names[i], "dc",
                        domains[next_byte () % 3]);
      engine_boot (&world.engines[i], world.names[i]);
    }
  spec_count = 1 + next_byte () % SPEC_LIMIT;
  for (unsigned i = 0; i < spec_count; i++)
    {
      char name[8];
      unsigned size = next_byte ();

      snprintf (name, sizeof name, "s%u", i);
      fixture_add_spec (&world.sheet, name, 1 + size % 5, size / 8 % 5, "dc",
                        "", "", "0");
    }
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  unsigned quiet_ticks;

  memset (&world, 0, sizeof world);
  world.data = data;
  world.size = size;
  init_world ();
  for (unsigned i = 0; i < EVENT_LIMIT && world.size > 0; i++)
    {
      unsigned ticks = 1 + next_byte () % 3;

      run_event ();
      for (unsigned j = 0; j < ticks; j++)
        run_tick (j % 2 == 0 ? 500 : 4000);
    }
  for (unsigned i = 0; i < world.host_count; i++)
    world.engines[i].attestation.running = 0;
  world.writes = 0;
  quiet_ticks = QUIET_TICKS + ROLLOUT_TICKS * max_outdated_groups ();
  for (unsigned i = 0; i < quiet_ticks; i++)
    run_tick (QUIET_TICK_MS);
  REQUIRE (world.writes <= QUIET_WRITE_LIMIT);
  check_converged ();
  plan_steps_finish (&world.steps);
  plan_finish (&world.plan);
  placement_finish (&world.placement);
  history_finish (&world.history);
  fleet_finish (&world.fleet);
  sheet_finish (&world.sheet);
  return 0;
}

/* One run executes a long sequence of operations; fuzz-runs: 2000 */
