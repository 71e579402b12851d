#include "world.h"

#include "timeutil.h"
#include "users-platform.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_US 2000
#define READY_LIMIT_MS 15000
#define END_LIMIT_MS 3000
#define ENDPOINTS 3
#define MEMORY_NOTE_MS 1000
/* The machines and bounds of smes-gauge. */
#define DESCRIPTORS 2870
#define BODY_BYTES 4194304
#define GRACE_S 8
#define REVOKE_MS 5000
#define CONFIG_MS 2000
#define DRAIN_MS 2000

static void
write_line (FILE *file, const char *format, va_list arguments)
{
  vfprintf (file, format, arguments);
  fputc ('\n', file);
  fflush (file);
}

int64_t
world_now_ms (const struct world *world)
{
  return time_boot_ms () - world->started_ms;
}

void
world_note (struct world *world, const char *format, ...)
{
  va_list arguments;

  fprintf (world->record, "%6lld ", (long long)world_now_ms (world));
  va_start (arguments, format);
  write_line (world->record, format, arguments);
  va_end (arguments);
}

void
world_report (struct world *world, const char *format, ...)
{
  va_list arguments;

  fprintf (world->record, "%6lld ", (long long)world_now_ms (world));
  va_start (arguments, format);
  write_line (world->record, format, arguments);
  va_end (arguments);
  va_start (arguments, format);
  write_line (stdout, format, arguments);
  va_end (arguments);
}

static void
fail_setup (struct world *world, const char *reason)
{
  world_report (world, "the case cannot run: %s", reason);
  world_finish (world);
  exit (2);
}

static void
note_arrival (void *context, const struct standin_arrival *arrival)
{
  world_note (context, "endpoint %s received %s", arrival->endpoint->id,
              arrival->id);
}

static void
note_run (void *context, const struct standin_arrival *arrival, uint64_t run)
{
  world_note (context, "endpoint %s runs %s as run %llu", arrival->endpoint->id,
              arrival->id, (unsigned long long)run);
}

static void
note_response (void *context, uint64_t run, unsigned status, const char *body)
{
  (void)body;
  world_note (context, "run %llu answered %u", (unsigned long long)run, status);
}

static void
note_abort (void *context, uint64_t run)
{
  world_note (context, "run %llu ended without an answer",
              (unsigned long long)run);
}

static struct catalog *
make_catalog (void)
{
  struct catalog *catalog = catalog_new (1, 1, 1);
  struct catalog_route *route = &catalog->routes[0];

  catalog->version = 3;
  catalog->limits = (struct catalog_limits){ 16384, BODY_BYTES, 3000, 15000 };
  snprintf (route->name, sizeof route->name, "r-registry-read");
  snprintf (route->host, sizeof route->host, WORLD_HOST_HEADER);
  snprintf (route->prefix, sizeof route->prefix, "/registry/");
  route->kind = CATALOG_SAFE;
  route->timeout_ms = 4000;
  route->objective_ms = 300;
  route->attempts = 2;
  route->priority = 2;
  route->open = true;
  snprintf (route->targets[0].service, sizeof route->targets[0].service,
            "registry-app");
  route->targets[0].weight = 1;
  route->target_count = 1;
  catalog->route_count = 1;
  snprintf (catalog->services[0].name, sizeof catalog->services[0].name,
            "registry-app");
  catalog->services[0].connection_limit = 257;
  catalog->service_count = 1;
  return catalog;
}

static void
add_endpoint (struct world *world, unsigned index, unsigned slots)
{
  struct standin_endpoint *endpoint;
  char id[16];
  char address[32];

  snprintf (id, sizeof id, "i-%u", index);
  endpoint = standin_add_endpoint (&world->fleet, id, "registry-app",
                                   "cl-centro-a", "", slots);
  if (endpoint == NULL)
    fail_setup (world, "no endpoint");
  snprintf (address, sizeof address, "127.0.0.1:%u", endpoint->server.port);
  standin_register (endpoint, address);
}

void
world_init (struct world *world, const char *record_path, unsigned slots)
{
  const struct standin_hooks hooks = {
    .context = world,
    .on_request_received = note_arrival,
    .on_run_started = note_run,
    .on_response_made = note_response,
    .on_run_aborted = note_abort,
  };
  struct catalog *catalog = make_catalog ();

  memset (world, 0, sizeof *world);
  signal (SIGPIPE, SIG_IGN);
  world->started_ms = time_boot_ms ();
  world->record = fopen (record_path, "we");
  if (world->record == NULL)
    exit (2);
  world->base = event_base_new ();
  snprintf (world->folder, sizeof world->folder, "%s/review-XXXXXX",
            getenv ("TMPDIR") != NULL ? getenv ("TMPDIR") : "/tmp");
  /* Of this process's own, so that cases can run side by side. */
  snprintf (world->address, sizeof world->address, "127.%u.%u.1",
            91 + (unsigned)getpid () / 250 % 100,
            1 + (unsigned)getpid () % 250);
  if (mkdtemp (world->folder) == NULL || world->base == NULL
      || !standin_store_init (&world->store, world->base, 1))
    fail_setup (world, "no folder or no store");
  standin_fleet_init (&world->fleet, world->base, &world->store, &hooks, 1);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    add_endpoint (world, i, slots);
  standin_store_put (&world->store, STANDIN_CONFIGURATION_KIND,
                     STANDIN_CONFIGURATION_NAME,
                     standin_encode_configuration (catalog));
  catalog_unref (catalog);
}

static void
write_settings (struct world *world, const char *path)
{
  FILE *file = fopen (path, "we");

  if (file == NULL)
    fail_setup (world, "no settings");
  fprintf (file,
           "host: \"edge-cl-centro-a-1\"\ndata_centre: \"cl-centro-a\"\n"
           "data_centres:\n  - \"cl-centro-a\"\n  - \"cl-centro-b\"\n"
           "  - \"cl-centro-c\"\ncallers:\n  listen: \"%s:%d\"\n"
           "readiness:\n  listen: \"%s:%d\"\npeers:\n  address: \"%s\"\n"
           "  port: %d\n  seeds:\n    - \"%s:8229\"\nprocessor:\n"
           "  cores: 0.17\nmemory:\n  limit_mb: %d\nplatform:\n"
           "  store: \"127.0.0.1:%u\"\ndrain:\n  limit_s: %d\nkeys:\n"
           "  revoke_ms: %d\nconfiguration:\n  in_force_ms: %d\nendpoints:\n"
           "  leave_ms: %d\nretry:\n  ratio: 0.2\n  slack: 317\n"
           "  window_s: 10\n",
           world->address, WORLD_FRONT_PORT, world->address, WORLD_READY_PORT,
           world->address, WORLD_PEERS_PORT, world->address, WORLD_MEMORY_MB,
           world->store.server.port, GRACE_S, REVOKE_MS, CONFIG_MS, DRAIN_MS);
  if (fclose (file) != 0)
    fail_setup (world, "no settings");
}

static bool
spawn_program (pid_t *pid, char *const *arguments, const char *log_path)
{
  posix_spawn_file_actions_t files;
  int error = posix_spawn_file_actions_init (&files);

  if (error == 0)
    error = posix_spawn_file_actions_addopen (
        &files, STDOUT_FILENO, log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (error == 0)
    error = posix_spawn_file_actions_adddup2 (&files, STDOUT_FILENO,
                                              STDERR_FILENO);
  if (error == 0)
    error
        = posix_spawn_file_actions_addclosefrom_np (&files, STDERR_FILENO + 1);
  if (error == 0)
    error = posix_spawn (pid, arguments[0], &files, NULL, arguments, environ);
  posix_spawn_file_actions_destroy (&files);
  return error == 0;
}

static void
on_probe_done (void *context, bool has_response, unsigned status)
{
  unsigned *result = context;

  /* The connection also reports its end after a response. */
  if (*result == 0)
    *result = has_response ? status : 1;
}

static unsigned
probe_readiness (struct world *world)
{
  struct http_call call;
  struct http_text text;
  unsigned status = 0;
  int64_t until_ms = time_boot_ms () + 1000;

  http_text_init (&text);
  http_text_format (&text,
                    "GET /v1/readyz HTTP/1.1\r\nHost: %s\r\n"
                    "Connection: close\r\n\r\n",
                    world->address);
  if (http_call_start (&call, world->base, world->address, WORLD_READY_PORT,
                       1000, &text, on_probe_done, &status)
      != RESULT_OK)
    return 0;
  while (status == 0 && time_boot_ms () < until_ms)
    world_step (world);
  http_call_finish (&call);
  return status;
}

void
world_start_host (struct world *world, const char *program)
{
  char settings[96];
  char log[96];
  char binary[512];
  char platform_option[] = "--platform";
  char settings_option[] = "--settings";
  char *arguments[]
      = { binary, platform_option, settings_option, settings, NULL };
  int64_t until_ms = time_boot_ms () + READY_LIMIT_MS;
  struct rlimit usual;
  struct rlimit lowered;

  snprintf (binary, sizeof binary, "%s", program);
  snprintf (settings, sizeof settings, "%s/settings.yaml", world->folder);
  snprintf (log, sizeof log, "%s/host.log", world->folder);
  write_settings (world, settings);
  /* The host alone has as few descriptors as on its machine. */
  if (getrlimit (RLIMIT_NOFILE, &usual) != 0)
    fail_setup (world, "no limit of descriptors");
  lowered = usual;
  if (lowered.rlim_cur > DESCRIPTORS)
    lowered.rlim_cur = DESCRIPTORS;
  setrlimit (RLIMIT_NOFILE, &lowered);
  if (!spawn_program (&world->host, arguments, log))
    fail_setup (world, "the host cannot be started");
  setrlimit (RLIMIT_NOFILE, &usual);
  world->is_host_alive = true;
  while (probe_readiness (world) != 200)
    if (!world->is_host_alive || time_boot_ms () > until_ms)
      fail_setup (world, "the host is not ready");
}

void
world_adopt (struct world *world, pid_t pid)
{
  if (pid <= 0 || world->other_count == WORLD_PROCESS_LIMIT)
    fail_setup (world, "a process cannot be started");
  world->others[world->other_count++] = pid;
}

static void
sample_host (struct world *world)
{
  char path[64];
  long pages = 0;
  FILE *file;
  int status;

  if (!world->is_host_alive)
    return;
  if (waitpid (world->host, &status, WNOHANG) == world->host)
    {
      world->is_host_alive = false;
      world_report (world, "the host ended with status %d", status);
      return;
    }
  snprintf (path, sizeof path, "/proc/%d/statm", (int)world->host);
  file = fopen (path, "re");
  if (file == NULL)
    return;
  if (fscanf (file, "%*d %ld", &pages) == 1
      && pages * sysconf (_SC_PAGESIZE) > world->peak_bytes)
    world->peak_bytes = pages * sysconf (_SC_PAGESIZE);
  fclose (file);
  if (time_boot_ms () - world->noted_ms < MEMORY_NOTE_MS)
    return;
  world->noted_ms = time_boot_ms ();
  world_note (world, "host: %ld MB resident",
              pages * sysconf (_SC_PAGESIZE) >> 20);
}

void
world_step (struct world *world)
{
  const struct timeval duration = { 0, STEP_US };

  event_base_loopexit (world->base, &duration);
  event_base_loop (world->base, 0);
  standin_store_tick (&world->store, time_boot_ms ());
  standin_fleet_tick (&world->fleet, time_boot_ms ());
  sample_host (world);
}

void
world_run_for (struct world *world, int64_t for_ms)
{
  int64_t until_ms = time_boot_ms () + for_ms;

  while (time_boot_ms () < until_ms)
    world_step (world);
}

static void
end_process (pid_t pid)
{
  if (pid <= 0)
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

void
world_finish (struct world *world)
{
  for (unsigned i = 0; i < world->other_count; i++)
    end_process (world->others[i]);
  world->other_count = 0;
  if (world->is_host_alive)
    end_process (world->host);
  world->is_host_alive = false;
  fflush (world->record);
}
