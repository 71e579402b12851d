#include "log.h"
#include "schedule.h"
#include "world.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * The fault soak: runs real entry hosts, injects faults from outside, and
 * checks a ledger of what callers and endpoints saw.
 */

#define EXIT_BROKEN 1
#define EXIT_USAGE 2

/* All hosts must be ready and all groups formed within this time. */
#define START_LIMIT_MS 20000
/*
 * Time with traffic but without faults, in which hosts discover each other and
 * report that they are ready.
 */
#define SETTLE_MS 2000
/*
 * A window in which all kinds of requests are served must start within this
 * time after the last fault.
 */
#define RECOVERY_LIMIT_MS 12000
#define RECOVERY_WINDOW_MS 3000
/* Least ratio of served requests of each kind in the window. */
#define SERVED_RATIO_MIN 0.9
/* Fewer ended requests of one kind make its ratio meaningless. */
#define REQUESTS_PER_KIND_MIN 5

struct soak_run
{
  struct world world;
  struct schedule schedule;
};

static bool
is_serving (void *context)
{
  struct soak_run *run = context;

  for (unsigned i = 0; i < run->world.host_count; i++)
    if (!run->world.hosts[i].in_rotation)
      return false;
  return world_serves_all_models (&run->world);
}

static void
tick_schedule (void *context)
{
  struct soak_run *run = context;

  schedule_tick (&run->schedule);
}

static bool
is_idle (void *context)
{
  struct soak_run *run = context;

  return callers_are_idle (&run->world.callers);
}

static bool
are_hosts_stopped (void *context)
{
  struct soak_run *run = context;

  for (unsigned i = 0; i < run->world.host_count; i++)
    if (run->world.hosts[i].pid != 0)
      return false;
  return true;
}

static bool
are_all_kinds_served (const struct callers *callers)
{
  for (unsigned i = 0; i < CALLER_KIND_COUNT; i++)
    if (callers->counts[i].ended < REQUESTS_PER_KIND_MIN
        || (double)callers->counts[i].served
               < SERVED_RATIO_MIN * (double)callers->counts[i].ended)
      return false;
  return true;
}

static void
get_lease_revisions (struct world *world, uint64_t *revisions)
{
  for (unsigned i = 0; i < world->options.shape->data_centres; i++)
    revisions[i] = standin_store_get_revision (&world->store, WORLD_LEASE_KIND,
                                               world_data_centres[i]);
}

/* True if each data centre's lease was written since; holders renew them. */
static bool
are_leases_renewed (struct world *world, const uint64_t *since)
{
  uint64_t revisions[WORLD_DATA_CENTRE_LIMIT] = { 0 };

  get_lease_revisions (world, revisions);
  for (unsigned i = 0; i < world->options.shape->data_centres; i++)
    if (revisions[i] == since[i])
      return false;
  return true;
}

static void
check_recovery (struct soak_run *run)
{
  struct world *world = &run->world;
  int64_t until_ms = world->now_ms + RECOVERY_LIMIT_MS;
  uint64_t revisions[WORLD_DATA_CENTRE_LIMIT] = { 0 };
  bool served;
  bool renewed;

  do
    {
      callers_reset_counts (&world->callers);
      get_lease_revisions (world, revisions);
      world_run (world, RECOVERY_WINDOW_MS, NULL, NULL, run);
      served = are_all_kinds_served (&world->callers);
      renewed = are_leases_renewed (world, revisions);
      for (unsigned i = 0; i < CALLER_KIND_COUNT; i++)
        world_log_event (world, "kind %u: %llu of %llu served", i,
                         (unsigned long long)world->callers.counts[i].served,
                         (unsigned long long)world->callers.counts[i].ended);
    }
  while ((!served || !renewed) && world->now_ms < until_ms);
  if (!renewed)
    ledger_report_violation (&world->ledger, "RECOVER",
                             "a lease is not renewed after the last fault");
  if (!served)
    ledger_report_violation (
        &world->ledger, "RECOVER",
        "not every kind of request is served after the last fault");
}

static void
stop_hosts (struct soak_run *run)
{
  struct world *world = &run->world;

  world->callers.stopped = true;
  world_run (world, RECOVERY_LIMIT_MS, is_idle, NULL, run);
  for (unsigned i = 0; i < world->host_count; i++)
    host_term (&world->hosts[i], world->now_ms, world->now_ms + INT32_MAX);
  world_run (world, HOST_GRACE_MS + 1000, are_hosts_stopped, NULL, run);
}

static void
start_hosts (struct soak_run *run)
{
  struct world *world = &run->world;

  for (unsigned i = 0; i < world->host_count; i++)
    world->hosts[i].start_at_ms
        = world->now_ms + 1 + (int64_t)rng_below (&world->rng, 300);
  world_run (world, START_LIMIT_MS, is_serving, NULL, run);
  if (!is_serving (run))
    ledger_report_violation (&world->ledger, "RECOVER",
                             "no service after the start");
  world->callers.stopped = false;
  world_run (world, SETTLE_MS, NULL, NULL, run);
}

/* Runs the soak once and returns the number of violations. */
static uint64_t
run_seed (const struct world_options *options,
          int faults_s,
          const char *only_kinds)
{
  struct soak_run *run = calloc (1, sizeof *run);
  struct world *world;
  const struct ledger *ledger;
  uint64_t violations = 1;

  if (run == NULL)
    return violations;
  world = &run->world;
  ledger = &world->ledger;
  if (!world_init (world, options))
    {
      perror (options->directory);
      goto out;
    }
  schedule_init (&run->schedule, world, options->seed ^ 1, only_kinds);
  start_hosts (run);
  world_run (world, (int64_t)faults_s * 1000, NULL, tick_schedule, run);
  schedule_stop (&run->schedule);
  check_recovery (run);
  stop_hosts (run);
  violations = ledger->violations;
  printf (
      "seed %llu: %u faults, %u requests, %llu served, %llu refused, "
      "%llu failed, %llu reads and %llu writes of the store, %llu broken\n",
      (unsigned long long)options->seed, run->schedule.started_count,
      HASH_COUNT (ledger->attempts), (unsigned long long)ledger->served,
      (unsigned long long)ledger->refused, (unsigned long long)ledger->failed,
      (unsigned long long)world->store.reads,
      (unsigned long long)world->store.writes, (unsigned long long)violations);
  printf ("seed %llu: %lld ms between two ticks at most\n",
          (unsigned long long)options->seed, (long long)world->longest_gap_ms);
  if (violations > 0)
    printf ("seed %llu: settings, logs and events are in %s\n",
            (unsigned long long)options->seed, options->directory);
  fflush (stdout);
  world_finish (world);

out:
  free (run);
  return violations;
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed (1)");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "runs (1)");
  struct arg_int *faults
      = arg_int0 (NULL, "faults-s", "S", "time with faults, in s");
  struct arg_int *hosts
      = arg_int0 (NULL, "hosts", "N", "hosts of each data centre");
  struct arg_int *callers = arg_int0 (NULL, "callers", "N", "callers");
  struct arg_int *retry_slack = arg_int0 (
      NULL, "retry-slack", "N", "retries of the fleet beyond its ratio (260)");
  struct arg_int *id_bytes
      = arg_int0 (NULL, "id-bytes", "N", "least size of endpoints' ids (2)");
  struct arg_str *shape
      = arg_str0 (NULL, "shape", "NAME", "small, middle or large (small)");
  struct arg_str *only
      = arg_str0 (NULL, "only", "KIND,...", "draw faults of these kinds only");
  struct arg_file *work = arg_file0 (NULL, "work", "DIR",
                                     "directory for settings and logs (/tmp)");
  struct arg_str *log_level
      = arg_str0 (NULL, "log-level", "LEVEL", "log level of the hosts (info)");
  struct arg_lit *kinds = arg_lit0 (NULL, "kinds", "print the kinds of faults");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help and exit");
  struct arg_file *binary
      = arg_file0 (NULL, NULL, "WAXWINGLINKD", "program to be tested");
  struct arg_end *end = arg_end (10);
  void *table[]
      = { seed,  seeds, faults,    hosts, callers, retry_slack, id_bytes, only,
          shape, work,  log_level, kinds, help,    binary,      end };
  const struct world_shape *chosen_shape;
  int status = EXIT_USAGE;
  uint64_t violations = 0;
  int error_count;

  if (arg_nullcheck (table) != 0)
    goto out;
  seed->ival[0] = 1;
  seeds->ival[0] = 1;
  retry_slack->ival[0] = 260;
  id_bytes->ival[0] = 2;
  work->filename[0] = "/tmp";
  shape->sval[0] = "small";
  log_level->sval[0] = "info";
  error_count = arg_parse (argc, argv, table);
  if (help->count > 0 || error_count > 0
      || world_find_shape (shape->sval[0]) == NULL || id_bytes->ival[0] < 2
      || id_bytes->ival[0] >= STANDIN_NAME_SIZE
      || (only->count > 0 && !schedule_are_kinds (only->sval[0]))
      || (binary->count == 0 && kinds->count == 0))
    {
      printf ("Usage: soak");
      arg_print_syntax (stdout, table, "\n\n");
      arg_print_glossary (stdout, table, "  %-20s %s\n");
      if (error_count > 0)
        arg_print_errors (stderr, end, "soak");
      status = help->count > 0 ? EXIT_SUCCESS : EXIT_USAGE;
      goto out;
    }
  if (kinds->count > 0)
    {
      schedule_print_kinds ();
      status = EXIT_SUCCESS;
      goto out;
    }
  signal (SIGPIPE, SIG_IGN);
  log_set_level (LOG_LEVEL_ERROR);
  chosen_shape = world_find_shape (shape->sval[0]);
  for (int i = 0; i < seeds->ival[0]; i++)
    {
      char directory[WORLD_PATH_SIZE];
      struct world_options options
          = { .shape = chosen_shape,
              .binary = binary->filename[0],
              .directory = directory,
              .log_level = log_level->sval[0],
              .hosts = hosts->count > 0 ? (unsigned)hosts->ival[0]
                                        : chosen_shape->hosts,
              .callers = callers->count > 0 ? (unsigned)callers->ival[0]
                                            : chosen_shape->callers,
              .retry_slack = (unsigned)retry_slack->ival[0],
              .id_bytes = (unsigned)id_bytes->ival[0],
              .has_evacuations
              = only->count > 0
                && schedule_lists_kind (only->sval[0], "evacuation"),
              .has_cold_times
              = only->count > 0
                && schedule_lists_kind (only->sval[0], "endpoints-cold"),
              .seed = (uint64_t)(seed->ival[0] + i) };

      snprintf (directory, sizeof directory, "%s/soak-%llu-%d",
                work->filename[0], (unsigned long long)options.seed,
                (int)getpid ());
      violations += run_seed (&options,
                              faults->count > 0 ? faults->ival[0]
                                                : chosen_shape->faults_s,
                              only->count > 0 ? only->sval[0] : NULL);
    }
  status = violations > 0 ? EXIT_BROKEN : EXIT_SUCCESS;

out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
