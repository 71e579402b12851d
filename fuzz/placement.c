#include "placement.h"
#include "../packages/group/tests/fixture.h"
#include "history.h"
#include "lease.h"
#include "plan.h"

/*
 * Placement and plan over a small simulated data centre.  The input chooses
 * the hosts, the specs and then events: losses, returns, restarts, drains,
 * leaving and delisted hosts, domain outages, sheet changes, lost answers, new
 * lease holders.  The oracle:
 * - no host is in two groups, and every group has the size of its span;
 * - a group that is new or changed has all its members in one permitted
 *   domain and on permitted hosts of this data centre, none leaving;
 * - a group in a place that is no longer permitted goes within a bound;
 * - a decision is not undone by deciding again at the same moment, and
 *   deciding again comes to an end;
 * - no more loads fetch weights than the limit;
 * - when nothing happens any more, the number of writes is bounded, groups
 *   whose hosts are all present serve, and no spec lacks a group that fits.
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
#define QUIET_TICKS 16
#define QUIET_TICK_MS 45000
/*
 * A new version reaches the groups of a spec one after the other.  Each takes
 * a tick for: its drain, the end of the drain, its order, LOAD_MS (two).
 */
#define ROLL_TICKS 5
/*
 * Drain time, settling, and ticks on which an answer is lost.  A long tick
 * counts as TICK_CAP_MS, since it leaves time for one step only.
 */
#define FORBIDDEN_LIMIT_MS 120000
#define TICK_CAP_MS 10000
/* Per group: repair, a return that frees hosts, a drain and the removal. */
#define QUIET_WRITES 24
/* A decision frees hosts for another group at most once per group. */
#define STABLE_ROUNDS 16
#define LOAD_LIMIT 5
#define LOAD_MS 60000
#define WARM_LOAD_MS 10000

struct seen_group
{
  char id[FLEET_NAME_SIZE];
  int64_t forbidden_since_ms; /* 0 = its place is permitted */
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
  bool silent[HOST_LIMIT];
  unsigned host_count;
  struct seen_group seen[64];
  unsigned seen_count;
  bool lose_write;
  bool drop_write;
  bool lose_orders;
  int64_t now_ms;
  int64_t capped_ms;      /* like now_ms, with long ticks cut short */
  int64_t blind_since_ms; /* the observer was new or paused; in capped_ms */
  unsigned writes;
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
host_at (unsigned i)
{
  return fleet_find_host (&world.fleet, world.names[i]);
}

static int
host_number (const char *id)
{
  for (unsigned i = 0; i < world.host_count; i++)
    if (strcmp (world.names[i], id) == 0)
      return (int)i;
  return -1;
}

static const struct sheet_group *
spec_of (const struct fleet_group *group)
{
  for (size_t i = 0; i < world.sheet.group_count; i++)
    if (strcmp (world.sheet.groups[i].name, group->spec) == 0)
      return &world.sheet.groups[i];
  return NULL;
}

static bool
listed_in (const struct sheet_list *list, const char *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (strcmp (list->names[i], name) == 0)
      return true;
  return list->count == 0;
}

/* Written out from the sheet's meaning, without the package's own checks. */
static bool
is_permitted (const struct fleet_group *group)
{
  const struct sheet_group *spec = spec_of (group);

  if (spec == NULL || spec->span != group->span || spec->data_centres.count == 0
      || !listed_in (&spec->data_centres, "dc"))
    return false;
  for (unsigned rank = 0; rank < group->member_count; rank++)
    {
      const struct fleet_host *host
          = fleet_find_host (&world.fleet, group->members[rank]);
      const struct fleet_host *first
          = fleet_find_host (&world.fleet, group->members[0]);

      if (host == NULL || first == NULL || strcmp (host->data_centre, "dc") != 0
          || strcmp (host->domain, first->domain) != 0
          || !listed_in (&spec->domains, host->domain)
          || !listed_in (&spec->hosts, host->id))
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
check_wanted (void)
{
  bool used[HOST_LIMIT] = { false };

  for (size_t i = 0; i < world.placement.group_count; i++)
    {
      const struct fleet_group *group = &world.placement.groups[i];

      REQUIRE (group->span > 0 && group->member_count == group->span);
      for (unsigned rank = 0; rank < group->member_count; rank++)
        {
          int host = host_number (group->members[rank]);

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

static struct seen_group *
seen_group (const char *id)
{
  for (unsigned i = 0; i < world.seen_count; i++)
    if (strcmp (world.seen[i].id, id) == 0)
      return &world.seen[i];
  if (world.seen_count == 64)
    return NULL;
  snprintf (world.seen[world.seen_count].id, FLEET_NAME_SIZE, "%s", id);
  return &world.seen[world.seen_count++];
}

/* Groups in a forbidden place may finish their work, and no more. */
static void
check_forbidden (void)
{
  const struct fleet_group *group;

  for (unsigned i = 0; i < world.seen_count; i++)
    if (fleet_find_group (&world.fleet, world.seen[i].id) == NULL)
      world.seen[i].forbidden_since_ms = 0;
  for (group = world.fleet.groups; group != NULL; group = group->hh.next)
    {
      struct seen_group *seen = seen_group (group->id);

      if (seen == NULL)
        continue;
      if (is_permitted (group))
        seen->forbidden_since_ms = 0;
      else if (seen->forbidden_since_ms == 0)
        seen->forbidden_since_ms = world.capped_ms;
      if (seen->forbidden_since_ms < world.blind_since_ms
          && seen->forbidden_since_ms != 0)
        seen->forbidden_since_ms = world.blind_since_ms;
      if (seen->forbidden_since_ms != 0
          && world.capped_ms - seen->forbidden_since_ms > FORBIDDEN_LIMIT_MS)
        print_decisions ("forbidden", &world.placement);
      REQUIRE (seen->forbidden_since_ms == 0
               || world.capped_ms - seen->forbidden_since_ms
                      <= FORBIDDEN_LIMIT_MS);
    }
}

static struct placement_input
input_now (void)
{
  return (struct placement_input){ .sheet = &world.sheet,
                                   .fleet = &world.fleet,
                                   .history = &world.history,
                                   .settings = &world.settings,
                                   .data_centre = "dc",
                                   .now_ms = world.now_ms };
}

/* The fleet with the assignment that a placement wants. */
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
 * What was just decided is not undone by deciding again at the same moment,
 * and deciding again comes to an end.  first was computed from before.
 */
static void
check_stable (const struct fleet *before, const struct placement *first)
{
  struct placement rounds[STABLE_ROUNDS];
  struct fleet fleets[STABLE_ROUNDS];
  unsigned count = 0;
  bool changed = true;

  while (changed)
    {
      struct placement_input input = input_now ();
      const struct placement *last = count > 0 ? &rounds[count - 1] : first;
      uint64_t since = before->assignment_number;

      REQUIRE (count < STABLE_ROUNDS);
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
          bool kept = group->generation <= since;

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
answer_write (void)
{
  bool landed = !world.drop_write;

  world.writes++;
  if (world.placement.changed
      && strncmp (world.steps.write_reason, "takeover", 8) != 0)
    check_stable (&world.fleet, &world.placement);
  if (landed)
    REQUIRE (
        fixture_apply_assignment (&world.fleet, "dc", &world.steps.assignment)
        == RESULT_OK);
  plan_on_write (&world.plan,
                 landed && !world.lose_write ? RESULT_OK
                                             : RESULT_PLATFORM_LOST_ANSWER,
                 world.now_ms);
  world.lose_write = false;
  world.drop_write = false;
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
answer_orders (void)
{
  unsigned before = count_fetching ();

  for (size_t i = 0; i < world.steps.order_count; i++)
    {
      const struct plan_order *order = &world.steps.orders[i];
      int host = host_number (order->host);
      enum result result;

      REQUIRE (host >= 0);
      REQUIRE (world.now_ms - host_at ((unsigned)host)->attested.seen_ms
               <= 2000);
      world.order_total++;
      if (order->op == PLAN_LOAD && order->group.id[0] == '\0')
        REQUIRE (!is_assigned (order->host));
      result = RESULT_ORDER_LOST;
      if (!world.silent[host])
        result = engine_handle_order (&world.engines[host], true, order,
                                      world.now_ms, LOAD_MS, WARM_LOAD_MS);
      plan_on_order (&world.plan, order->host, order->order_id,
                     world.lose_orders ? RESULT_ORDER_LOST : result,
                     world.now_ms);
    }
  world.lose_orders = false;
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
        engine_attest (&world.engines[i], host_at (i), world.now_ms);
    }
}

static void
tick (int64_t step_ms)
{
  struct placement_input input;

  world.now_ms += step_ms;
  world.capped_ms += step_ms < TICK_CAP_MS ? step_ms : TICK_CAP_MS;
  observe_hosts ();
  REQUIRE (history_observe (&world.history, &world.fleet, world.now_ms)
           == RESULT_OK);
  input = input_now ();
  REQUIRE (placement_compute (&world.placement, &input) == RESULT_OK);
  check_wanted ();
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
    answer_write ();
  answer_orders ();
}

static void
set_list (struct sheet_list *list, const char *names)
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
      set_list (&spec->domains, domains[value % 4]);
      break;
    case 4:
      set_list (&spec->hosts, hosts[value % 3]);
      break;
    default:
      set_list (&spec->data_centres, data_centres[value % 3]);
      break;
    }
}

static void
new_holder (void)
{
  history_finish (&world.history);
  history_init (&world.history, &world.history_settings, "dc");
  plan_finish (&world.plan);
  plan_init (&world.plan, &world.plan_settings, "dc", "holder");
  world.lease.value.fence++;
  world.blind_since_ms = world.capped_ms;
}

static void
domain_outage (const char *domain, bool outage)
{
  for (unsigned i = 0; i < world.host_count; i++)
    if (strcmp (host_at (i)->domain, domain) == 0)
      world.silent[i] = outage;
}

static void
event (void)
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
      host_at (i)->drained = !host_at (i)->drained;
      break;
    case 5:
      host_at (i)->listed_leaving = !host_at (i)->listed_leaving;
      break;
    case 6:
      host_at (i)->listed = !host_at (i)->listed;
      break;
    case 7:
      domain_outage (domains[value % 3], true);
      break;
    case 8:
      domain_outage (domains[value % 3], false);
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
      world.lose_write = (value & 1) != 0;
      world.drop_write = (value & 2) != 0;
      world.lose_orders = (value & 4) != 0;
      break;
    default:
      new_holder ();
      break;
    }
}

/* The largest number of hosts of one domain that the spec could have now. */
static unsigned
free_hosts (const struct sheet_group *spec)
{
  static const char *const domains[] = { "a", "b", "c" };
  unsigned most = 0;

  for (unsigned d = 0; d < 3; d++)
    {
      unsigned count = 0;

      for (unsigned i = 0; i < world.host_count; i++)
        {
          const struct fleet_host *host = host_at (i);
          const struct fleet_group *group;
          bool used = false;

          for (group = world.fleet.groups; group != NULL;
               group = group->hh.next)
            for (unsigned rank = 0; rank < group->member_count; rank++)
              if (strcmp (group->members[rank], host->id) == 0)
                used = true;
          if (!used && strcmp (host->domain, domains[d]) == 0 && host->listed
              && !host->listed_leaving && !host->drained && !world.silent[i]
              && listed_in (&spec->domains, host->domain)
              && listed_in (&spec->hosts, host->id))
            count++;
        }
      if (count > most)
        most = count;
    }
  return most;
}

/* The most groups of one spec that do not have its version yet. */
static unsigned
count_outdated (void)
{
  unsigned most = 0;

  for (size_t i = 0; i < world.sheet.group_count; i++)
    {
      const struct sheet_group *spec = &world.sheet.groups[i];
      const struct fleet_group *group;
      unsigned count = 0;

      for (group = world.fleet.groups; group != NULL; group = group->hh.next)
        if (strcmp (group->spec, spec->name) == 0
            && strcmp (group->version, spec->version) != 0)
          count++;
      if (count > most)
        most = count;
    }
  return most;
}

/*
 * What holds once nothing has happened for a long time.  Every hold-off has
 * passed by then.
 */
static void
check_converged (void)
{
  unsigned parts[SPEC_LIMIT];
  unsigned unplaced[SPEC_LIMIT];
  const struct fleet_group *group;
  bool any_listed = false;

  for (group = world.fleet.groups; group != NULL; group = group->hh.next)
    {
      bool present = true;

      for (unsigned rank = 0; rank < group->member_count; rank++)
        {
          int host = host_number (group->members[rank]);

          if (world.silent[host] || host_at ((unsigned)host)->drained
              || host_at ((unsigned)host)->listed_leaving)
            present = false;
        }
      if (present && !group->draining)
        REQUIRE (fleet_group_serving_state (&world.fleet, group, world.now_ms)
                 == FLEET_SERVING);
    }
  for (unsigned i = 0; i < world.host_count; i++)
    if (host_at (i)->listed)
      any_listed = true;
  if (!any_listed)
    return;
  REQUIRE (placement_divide_groups (&world.sheet, &world.fleet, "dc", parts,
                                    unplaced)
           == RESULT_OK);
  for (size_t i = 0; i < world.sheet.group_count; i++)
    {
      const struct sheet_group *spec = &world.sheet.groups[i];
      unsigned have = 0;
      unsigned outdated = 0;
      bool all_serve = true;

      for (group = world.fleet.groups; group != NULL; group = group->hh.next)
        if (strcmp (group->spec, spec->name) == 0)
          {
            have++;
            outdated += strcmp (group->version, spec->version) != 0;
            if (fleet_group_serving_state (&world.fleet, group, world.now_ms)
                != FLEET_SERVING)
              all_serve = false;
          }
      REQUIRE (have <= parts[i]);
      REQUIRE (!all_serve || outdated == 0);
      REQUIRE (have == parts[i] || free_hosts (spec) < spec->span);
    }
}

static void
start (void)
{
  static const char *const domains[] = { "a", "b", "c" };
  unsigned spec_count;

  sheet_init (&world.sheet);
  fleet_init (&world.fleet);
  history_settings_init (&world.history_settings);
  /* Quiet time passes in long steps. */
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
  world.blind_since_ms = world.capped_ms;
  world.host_count = 1 + next_byte () % HOST_LIMIT;
  for (unsigned i = 0; i < world.host_count; i++)
    {
      snprintf (world.names[i], FLEET_NAME_SIZE, "h%u", i);
      fixture_host (&world.fleet, world.names[i], "dc",
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
  start ();
  for (unsigned i = 0; i < EVENT_LIMIT && world.size > 0; i++)
    {
      unsigned ticks = 1 + next_byte () % 3;

      event ();
      for (unsigned j = 0; j < ticks; j++)
        tick (j % 2 == 0 ? 500 : 4000);
    }
  for (unsigned i = 0; i < world.host_count; i++)
    world.engines[i].attestation.running = 0;
  world.writes = 0;
  quiet_ticks = QUIET_TICKS + ROLL_TICKS * count_outdated ();
  for (unsigned i = 0; i < quiet_ticks; i++)
    tick (QUIET_TICK_MS);
  REQUIRE (world.writes <= QUIET_WRITES);
  check_converged ();
  plan_steps_finish (&world.steps);
  plan_finish (&world.plan);
  placement_finish (&world.placement);
  history_finish (&world.history);
  fleet_finish (&world.fleet);
  sheet_finish (&world.sheet);
  return 0;
}

/* Each run plays a long history; fuzz-runs: 2000 */
