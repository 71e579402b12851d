#include "world.h"

#include "timeutil.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define TICK_US 5000
/* Age of what endpoints report when they are asked, as on the platform. */
#define REPORT_LAG_MS 200
/* Without a tick for this time, the process stood still. */
#define STANDSTILL_MS 50
#define SLOTS_PER_MODEL_ENDPOINT 16
#define SLOTS_PER_PLAIN_ENDPOINT 12
#define SEEDS_PER_HOST 3

const char *const world_data_centres[WORLD_DATA_CENTRE_LIMIT]
    = { "casa-a", "casa-b", "casa-c", "casa-d", "casa-e" };

/*
 * In the small shape each model has a fabric domain, with endpoints to spare.
 * In the others the list of endpoints takes many pages.
 */
/* clang-format off */
static const struct world_shape shapes[] = {
  { "small", .data_centres = 2, .domains = 2, .endpoints_per_domain = 4,
    .plain_endpoints = 3, .other_endpoints = 2,
    .scale = { 3, 2, 10, 6, 800, 200, 80 },
    .hosts = 3, .callers = 30, .faults_s = 20 },
  { "middle", .data_centres = 2, .domains = 2, .endpoints_per_domain = 73,
    .plain_endpoints = 2, .other_endpoints = 1,
    .scale = { 32, 8, 30, 120, 4000, 1500, 400 },
    .has_crowds = true, .hosts = 5, .callers = 10, .faults_s = 40 },
  { "large", .data_centres = 5, .domains = 3, .endpoints_per_domain = 73,
    .plain_endpoints = 1, .other_endpoints = 1,
    .scale = { 32, 8, 75, 300, 4000, 1500, 400 },
    .has_crowds = true, .hosts = 6, .callers = 10, .faults_s = 60 },
};
/* clang-format on */

const struct world_shape *
world_find_shape (const char *name)
{
  for (size_t i = 0; i < sizeof shapes / sizeof shapes[0]; i++)
    if (strcmp (shapes[i].name, name) == 0)
      return &shapes[i];
  return NULL;
}

void
world_log_event (struct world *world, const char *format, ...)
{
  va_list args;

  fprintf (world->event_log,
           "%6lld ms: ", (long long)(world->now_ms - world->started_ms));
  va_start (args, format);
  vfprintf (world->event_log, format, args);
  va_end (args);
  fprintf (world->event_log, "\n");
  fflush (world->event_log);
}

static void
add_endpoint (struct world *world,
              const char *service,
              const char *data_centre,
              const char *domain,
              unsigned slots)
{
  struct proxied_endpoint *endpoint = &world->endpoints[world->endpoint_count];
  char id[STANDIN_NAME_SIZE];
  char address[64];

  if (world->endpoint_count == WORLD_ENDPOINT_LIMIT)
    return;
  /* Long ids differ in their last bytes only. */
  snprintf (id, sizeof id, "e%0*u", (int)world->options.id_bytes - 1,
            world->endpoint_count);
  endpoint->standin = standin_add_endpoint (&world->fleet, id, service,
                                            data_centre, domain, slots);
  if (endpoint->standin == NULL
      || !proxy_open (&endpoint->proxy, world->base,
                      endpoint->standin->server.port))
    {
      fprintf (stderr, "soak: cannot open a port for an endpoint\n");
      exit (2);
    }
  snprintf (address, sizeof address, "127.0.0.1:%u", endpoint->proxy.port);
  standin_register (endpoint->standin, address);
  world->endpoint_count++;
}

void
world_replace_endpoint (struct world *world, struct proxied_endpoint *endpoint)
{
  const struct standin_endpoint *old = endpoint->standin;

  endpoint->replaced = true;
  add_endpoint (world, old->service, old->data_centre, old->domain, old->slots);
}

static void
add_endpoints (struct world *world, const char *data_centre)
{
  const struct world_shape *shape = world->options.shape;
  char domain[64];

  for (unsigned i = 0; i < shape->domains; i++)
    {
      snprintf (domain, sizeof domain, "%s-f%u", data_centre, i);
      for (unsigned j = 0; j < shape->endpoints_per_domain; j++)
        add_endpoint (world, MODEL_SERVICE, data_centre, domain,
                      SLOTS_PER_MODEL_ENDPOINT);
    }
  for (unsigned i = 0; i < shape->plain_endpoints; i++)
    add_endpoint (world, PLAIN_SERVICE, data_centre, "",
                  SLOTS_PER_PLAIN_ENDPOINT);
  for (unsigned i = 0; i < shape->other_endpoints; i++)
    add_endpoint (world, OTHER_SERVICE, data_centre, "",
                  SLOTS_PER_PLAIN_ENDPOINT);
}

static void
on_host_unexpected_end (void *context, struct host *host, int status)
{
  struct world *world = context;

  if (status == -1)
    ledger_report_violation (&world->ledger, "STOP",
                             "%s still runs %d ms after SIGTERM", host->name,
                             HOST_GRACE_MS);
  else
    ledger_report_violation (&world->ledger, "DIED", "%s ended with status %d",
                             host->name, status);
}

/* Uses a subnet of 127.0.0.0/8 per process, so that runs share no ports. */
static void
format_host_address (char *text, size_t size, unsigned index)
{
  unsigned pid = (unsigned)getpid ();

  snprintf (text, size, "127.%u.%u.%u", 1 + pid % 250, pid / 250 % 250,
            1 + index);
}

/*
 * Formats SEEDS_PER_HOST random peer addresses; some belong to no host, and
 * some may repeat.
 */
static void
format_seeds (struct world *world, char *text, size_t size)
{
  size_t used = 0;

  text[0] = '\0';
  for (unsigned i = 0; i < SEEDS_PER_HOST; i++)
    {
      char address[64];
      unsigned index = (unsigned)rng_below (&world->rng, world->host_count + 1);

      format_host_address (address, sizeof address, index);
      used += (size_t)snprintf (text + used, size - used, "    - \"%s:%d\"\n",
                                address, HOST_PEERS_PORT);
    }
}

static bool
init_host (struct world *world, unsigned index)
{
  struct host *host = &world->hosts[index];
  char seeds[512];

  host->base = world->base;
  host->binary = world->options.binary;
  host->log_level = world->options.log_level;
  host->on_unexpected_end = on_host_unexpected_end;
  host->context = world;
  host->disturbed_ms = INT64_MIN / 2;
  snprintf (host->name, sizeof host->name, "host-%u", index);
  snprintf (host->data_centre, sizeof host->data_centre, "%s",
            world_data_centres[index % world->options.shape->data_centres]);
  format_host_address (host->address, sizeof host->address, index);
  snprintf (host->settings_path, sizeof host->settings_path, "%s/%s.yaml",
            world->options.directory, host->name);
  snprintf (host->log_path, sizeof host->log_path, "%s/%s.log",
            world->options.directory, host->name);
  format_seeds (world, seeds, sizeof seeds);
  return proxy_open (&host->store_proxy, world->base, world->store.server.port)
         && host_write_settings (
             host, world_data_centres, world->options.shape->data_centres,
             seeds, world->options.retry_slack,
             world->options.has_evacuations ? EVACUATION_LIMIT_MS : 0);
}

static bool
open_event_log (struct world *world)
{
  char path[WORLD_PATH_SIZE];

  if (mkdir (world->options.directory, 0755) != 0)
    return false;
  snprintf (path, sizeof path, "%s/events", world->options.directory);
  world->event_log = fopen (path, "we");
  return world->event_log != NULL;
}

bool
world_init (struct world *world, const struct world_options *options)
{
  const struct world_shape *shape = options->shape;
  struct standin_hooks hooks = ledger_hooks;

  memset (world, 0, sizeof *world);
  world->options = *options;
  world->base = event_base_new ();
  world->started_ms = time_boot_ms ();
  world->now_ms = world->started_ms;
  rng_init (&world->rng, options->seed);
  world->host_count = options->hosts * shape->data_centres;
  world->hosts = calloc (world->host_count, sizeof *world->hosts);
  if (world->base == NULL || world->hosts == NULL || !open_event_log (world)
      || !standin_store_init (&world->store, world->base,
                              rng_next (&world->rng)))
    return false;
  operator_scale_models (&shape->scale);
  operator_init (&world->operator, & world->store, rng_next (&world->rng));
  world->operator.has_cold_times = options->has_cold_times;
  ledger_init (&world->ledger, &world->operator);
  world->ledger.retry_slack = options->retry_slack;
  world->ledger.started_ms = world->started_ms;
  world->ledger.event_log = world->event_log;
  world->ledger.store_disturbed_ms = INT64_MIN / 2;
  hooks.context = &world->ledger;
  standin_fleet_init (&world->fleet, world->base, &world->store, &hooks,
                      rng_next (&world->rng));
  world->fleet.model_service = &operator_models;
  world->fleet.report_lag_ms = REPORT_LAG_MS;
  world->fleet.cold_ms = COLD_MS;
  world->fleet.cold_bound = options->has_cold_times ? COLD_BOUND : 0;
  for (unsigned i = 0; i < shape->data_centres; i++)
    add_endpoints (world, world_data_centres[i]);
  for (unsigned i = 0; i < world->host_count; i++)
    if (!init_host (world, i))
      return false;
  callers_init (&world->callers, world->base, &world->ledger, &world->operator,
                world->hosts, world->host_count, world_data_centres,
                shape->data_centres, options->callers, rng_next (&world->rng));
  world->callers.stopped = true;
  world->now_ms = time_boot_ms ();
  return true;
}

void
world_finish (struct world *world)
{
  callers_finish (&world->callers);
  for (unsigned i = 0; i < world->host_count; i++)
    host_finish (&world->hosts[i]);
  for (unsigned i = 0; i < world->endpoint_count; i++)
    proxy_close (&world->endpoints[i].proxy);
  standin_fleet_finish (&world->fleet);
  standin_store_finish (&world->store);
  event_base_loop (world->base, EVLOOP_NONBLOCK);
  event_base_free (world->base);
  ledger_finish (&world->ledger);
  operator_finish (&world->operator);
  free (world->hosts);
  fclose (world->event_log);
}

/*
 * This process serves all callers and endpoints; while it does not run, none of
 * them sends or reads anything.
 */
static void
note_standstill (struct world *world, int64_t now_ms)
{
  int64_t gap_ms = now_ms - world->now_ms;

  if (gap_ms > world->longest_gap_ms)
    world->longest_gap_ms = gap_ms;
  if (gap_ms < STANDSTILL_MS)
    return;
  ledger_note_standstill (&world->ledger, world->now_ms, now_ms);
  world_log_event (world, "the soak stands still for %lld ms",
                   (long long)gap_ms);
}

static void
tick_all (struct world *world)
{
  int64_t now_ms = time_boot_ms ();

  note_standstill (world, now_ms);
  world->now_ms = now_ms;
  ledger_tick (&world->ledger, now_ms);
  operator_tick (&world->operator, now_ms);
  standin_store_tick (&world->store, now_ms);
  standin_fleet_tick (&world->fleet, now_ms);
  for (unsigned i = 0; i < world->endpoint_count; i++)
    proxy_tick (&world->endpoints[i].proxy, now_ms);
  for (unsigned i = 0; i < world->host_count; i++)
    host_tick (&world->hosts[i], now_ms);
  callers_tick (&world->callers, now_ms);
}

void
world_run (struct world *world,
           int64_t duration_ms,
           bool (*is_done) (void *context),
           void (*tick) (void *context),
           void *context)
{
  int64_t until_ms = time_boot_ms () + duration_ms;

  while (time_boot_ms () < until_ms)
    {
      const struct timeval step = { 0, TICK_US };

      event_base_loopexit (world->base, &step);
      event_base_loop (world->base, 0);
      tick_all (world);
      if (tick != NULL)
        tick (context);
      if (is_done != NULL && is_done (context))
        return;
    }
}

bool
world_serves_all_models (struct world *world)
{
  for (unsigned i = 0; i < world->options.shape->data_centres; i++)
    for (unsigned j = 0; j < operator_models.model_count; j++)
      if (!standin_is_model_served (&world->fleet, world_data_centres[i],
                                    operator_models.models[j].name))
        return false;
  return true;
}
