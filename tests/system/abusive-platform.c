/*
 * Starts one entry host (waxwinglinkd --platform) with lowered limits against
 * stand-ins for the store and the endpoints, plays abusive clients to it, and
 * checks that
 *
 * - the process stays alive and within memory.limit_mb;
 * - it holds no more descriptors than it may;
 * - ordinary requests are answered while the crowd holds its connections, and
 *   afterwards;
 * - a body of full legal size is served before and after.
 *
 * Memory is the resident memory of the process, sampled from /proc, because
 * that is what the platform kills for.  Sanitizers multiply it, so the test
 * always starts the release build of the host, also in a build with
 * sanitizers.
 *
 * Arguments: HOST-BINARY CROWD-BINARY SHAPE LOAD[:SOURCES[:BODY-BYTES]]...
 *
 * For a trial with a host that does not know the setting, WITHOUT_LIMIT=1 in
 * the environment leaves memory.limit_mb out; the bounds stay.
 */

#include "http-call.h"
#include "standin-configuration.h"
#include "standin-endpoint.h"
#include "timeutil.h"
#include "users-platform.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_US 5000
#define READY_LIMIT_MS 10000
#define CALL_LIMIT_MS 9000
#define ORDINARY_INTERVAL_MS 100
#define ORDINARY_BYTES 600
#define HOLD_MS 3000
#define SETTLE_MS 5000
#define LOAD_LIMIT_MS 60000
/* Connections of the crowd may still be ending for the header timeout. */
#define RECOVERY_MS 3500
#define ENDPOINTS 2
/* So many that no request waits for a slot. */
#define SLOTS 512
#define KEY "key-of-a-customer"

/* A host and a crowd that are small enough for a test. */
struct shape
{
  const char *name;
  unsigned memory_mb;   /* memory.limit_mb, and the bound of resident memory */
  unsigned descriptors; /* RLIMIT_NOFILE of the host; 0 = as it is */
  int body_bytes;       /* limit of the configuration */
  int clients;
};

static const struct shape shapes[] = {
  /*
   * 64 MB is about half of the smallest host; bodies of a quarter of the usual
   * limit let 100 clients exceed it.  Under loads that hold nothing the host
   * takes 5 to 6 MB.
   */
  { "lowered", 64, 0, 1048576, 100 },
  /* So many that bodies which count as small fill half of the memory. */
  { "many", 64, 0, 1048576, 600 },
  /* The smallest host, with the usual limit of bodies. */
  { "smallest", 112, 0, 4194304, 40 },
  /* Fewer descriptors than clients. */
  { "descriptors", 64, 400, 1048576, 500 },
};

static struct
{
  struct event_base *base;
  struct standin_store store;
  struct standin_fleet fleet;
  const struct shape *shape;
  char *host_binary;
  char *crowd_binary;
  char address[32];
  char folder[64];
  pid_t host;
  pid_t crowd;
  int crowd_output; /* read end of the crowd's output; -1 = closed */
  char crowd_text[4096];
  size_t crowd_text_size;
  bool is_host_alive;
  long peak_bytes; /* resident memory */
  unsigned peak_descriptors;
  unsigned call_number;
  unsigned failures;
} test;

#define FRONT_PORT 8227
#define READY_PORT 8220
#define PEERS_PORT 7340

struct ordinary
{
  struct http_call call;
  bool done;
  bool answered;
  unsigned status;
};

static void __attribute__ ((format (printf, 1, 2)))
report (const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  printf ("\n");
  fflush (stdout);
}

static void
check (bool holds, const char *text)
{
  if (holds)
    return;
  test.failures++;
  report ("FAILED: %s", text);
}

static void
ignore_arrival (void *context, const struct standin_arrival *arrival)
{
  (void)context;
  (void)arrival;
}

static void
ignore_run (void *context, const struct standin_arrival *arrival, uint64_t run)
{
  (void)context;
  (void)arrival;
  (void)run;
}

static void
ignore_response (void *context, uint64_t run, unsigned status, const char *body)
{
  (void)context;
  (void)run;
  (void)status;
  (void)body;
}

static void
ignore_abort (void *context, uint64_t run)
{
  (void)context;
  (void)run;
}

static void
sample_host (void)
{
  char path[64];
  long pages = 0;
  FILE *file;
  DIR *folder;
  unsigned descriptors = 0;
  int status;

  if (!test.is_host_alive)
    return;
  if (waitpid (test.host, &status, WNOHANG) == test.host)
    {
      test.is_host_alive = false;
      report ("the host ended with status %d", status);
      return;
    }
  snprintf (path, sizeof path, "/proc/%d/statm", (int)test.host);
  file = fopen (path, "re");
  if (file != NULL)
    {
      if (fscanf (file, "%*d %ld", &pages) != 1)
        pages = 0;
      fclose (file);
    }
  if (pages * sysconf (_SC_PAGESIZE) > test.peak_bytes)
    test.peak_bytes = pages * sysconf (_SC_PAGESIZE);
  snprintf (path, sizeof path, "/proc/%d/fd", (int)test.host);
  folder = opendir (path);
  if (folder == NULL)
    return;
  while (readdir (folder) != NULL)
    descriptors++;
  closedir (folder);
  descriptors -= 2; /* "." and ".." */
  if (descriptors > test.peak_descriptors)
    test.peak_descriptors = descriptors;
}

static void
read_crowd (void)
{
  ssize_t size;

  if (test.crowd_output < 0)
    return;
  size = read (test.crowd_output, test.crowd_text + test.crowd_text_size,
               sizeof test.crowd_text - 1 - test.crowd_text_size);
  if (size > 0)
    {
      test.crowd_text_size += (size_t)size;
      test.crowd_text[test.crowd_text_size] = '\0';
    }
  else if (size == 0)
    {
      close (test.crowd_output);
      test.crowd_output = -1;
    }
}

static void
run_once (void)
{
  const struct timeval duration = { 0, STEP_US };

  event_base_loopexit (test.base, &duration);
  event_base_loop (test.base, 0);
  standin_store_tick (&test.store, time_boot_ms ());
  standin_fleet_tick (&test.fleet, time_boot_ms ());
  sample_host ();
  read_crowd ();
}

static void
on_done (void *context, bool has_response, unsigned status)
{
  struct ordinary *ordinary = context;

  ordinary->done = true;
  ordinary->answered = has_response;
  ordinary->status = status;
  http_call_finish (&ordinary->call);
}

static void
start_call (struct ordinary *ordinary,
            uint16_t port,
            const char *path,
            size_t body_bytes)
{
  struct http_text text;

  ordinary->done = false;
  ordinary->answered = false;
  ordinary->status = 0;
  http_text_init (&text);
  http_text_format (&text,
                    "POST %s HTTP/1.1\r\nHost: h.example\r\n"
                    "X-Attempt-Id: 0000%08x\r\nX-Deadline-Ms: 8000\r\n"
                    "Authorization: Bearer " KEY "\r\nConnection: close\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    path, ++test.call_number, body_bytes);
  for (size_t i = 0; i < body_bytes; i++)
    http_text_add (&text, "b", 1);
  if (http_call_start (&ordinary->call, test.base, test.address, port,
                       CALL_LIMIT_MS, &text, on_done, ordinary)
      != RESULT_OK)
    ordinary->done = true;
}

/* Returns the status; 0 without a response. */
static unsigned
call_host (uint16_t port, const char *path, size_t body_bytes)
{
  static struct ordinary ordinary;
  int64_t until_ms = time_boot_ms () + CALL_LIMIT_MS;

  start_call (&ordinary, port, path, body_bytes);
  while (!ordinary.done && time_boot_ms () < until_ms)
    run_once ();
  if (!ordinary.done)
    http_call_finish (&ordinary.call);
  return ordinary.status;
}

static void
fail_setup (const char *reason)
{
  report ("the test cannot run: %s", reason);
  if (test.host > 0)
    kill (test.host, SIGKILL);
  exit (2);
}

static struct catalog *
make_catalog (void)
{
  static struct catalog_target target = { .service = "app", .weight = 1 };
  struct catalog *catalog = catalog_new (1, 1, 1);
  struct catalog_route *route = &catalog->routes[0];

  catalog->version = 3;
  catalog->limits
      = (struct catalog_limits){ 16384, test.shape->body_bytes, 3000, 15000 };
  route->name = "r-any";
  route->host = "h.example";
  route->prefix = "/any/";
  route->kind = CATALOG_UNSAFE;
  route->timeout_ms = 8000;
  route->objective_ms = 1000;
  route->attempts = 1;
  route->open = true;
  route->targets = &target;
  route->target_count = 1;
  catalog->route_count = 1;
  catalog->services[0].name = "app";
  catalog->services[0].connection_limit = SLOTS;
  catalog->service_count = 1;
  return catalog;
}

static void
start_standins (void)
{
  const struct standin_hooks hooks = {
    .on_request_received = ignore_arrival,
    .on_run_started = ignore_run,
    .on_response_made = ignore_response,
    .on_run_aborted = ignore_abort,
  };
  struct catalog *catalog = make_catalog ();

  test.base = event_base_new ();
  if (test.base == NULL || !standin_store_init (&test.store, test.base, 1))
    fail_setup ("no store");
  standin_fleet_init (&test.fleet, test.base, &test.store, &hooks, 1);
  for (unsigned i = 0; i < ENDPOINTS; i++)
    {
      char id[16];
      char address[32];
      struct standin_endpoint *endpoint;

      snprintf (id, sizeof id, "e%u", i);
      endpoint
          = standin_add_endpoint (&test.fleet, id, "app", "casa-a", "", SLOTS);
      if (endpoint == NULL)
        fail_setup ("no endpoint");
      snprintf (address, sizeof address, "127.0.0.1:%u", endpoint->server.port);
      standin_register (endpoint, address);
    }
  standin_store_put (&test.store, STANDIN_CONFIGURATION_KIND,
                     STANDIN_CONFIGURATION_NAME,
                     standin_encode_configuration (catalog));
  catalog_unref (catalog);
}

static void
write_settings (const char *path)
{
  FILE *file = fopen (path, "we");

  if (file == NULL)
    fail_setup ("no settings");
  fprintf (file,
           "host: \"edge-1\"\ndata_centre: \"casa-a\"\nlog_level: \"info\"\n"
           "data_centres:\n  - \"casa-a\"\ncallers:\n  listen: \"%s:%d\"\n"
           "readiness:\n  listen: \"%s:%d\"\npeers:\n  address: \"%s\"\n"
           "  port: %d\n  seeds:\n    - \"%s:8229\"\nprocessor:\n"
           "  cores: 0.5\nplatform:\n  store: \"127.0.0.1:%u\"\ndrain:\n"
           "  limit_s: 8\n",
           test.address, FRONT_PORT, test.address, READY_PORT, test.address,
           PEERS_PORT, test.address, test.store.server.port);
  if (getenv ("WITHOUT_LIMIT") == NULL)
    fprintf (file, "memory:\n  limit_mb: %u\n", test.shape->memory_mb);
  if (fclose (file) != 0)
    fail_setup ("no settings");
}

static void
start_host (void)
{
  char settings[96];
  char log[96];
  char *arguments[] = { "setpriv",    "--pdeathsig", "KILL",   test.host_binary,
                        "--platform", "--settings",  settings, NULL };
  posix_spawn_file_actions_t files;
  struct rlimit previous;
  struct rlimit lowered;
  int64_t until_ms = time_boot_ms () + READY_LIMIT_MS;

  snprintf (test.folder, sizeof test.folder, "/tmp/abusive-XXXXXX");
  /* Addresses of this process's own, so that runs do not meet. */
  snprintf (test.address, sizeof test.address, "127.78.%u.1",
            1 + (unsigned)getpid () % 250);
  if (mkdtemp (test.folder) == NULL)
    fail_setup ("no folder");
  snprintf (settings, sizeof settings, "%s/host.yaml", test.folder);
  snprintf (log, sizeof log, "%s/host.log", test.folder);
  write_settings (settings);
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_addopen (&files, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np (&files, STDERR_FILENO + 1);
  getrlimit (RLIMIT_NOFILE, &previous);
  lowered = previous;
  if (test.shape->descriptors > 0)
    lowered.rlim_cur = test.shape->descriptors;
  setrlimit (RLIMIT_NOFILE, &lowered);
  if (posix_spawnp (&test.host, arguments[0], &files, NULL, arguments, environ)
      != 0)
    fail_setup ("the host cannot be started");
  setrlimit (RLIMIT_NOFILE, &previous);
  posix_spawn_file_actions_destroy (&files);
  test.is_host_alive = true;
  while (call_host (FRONT_PORT, "/any/first", ORDINARY_BYTES) != 200)
    {
      run_once ();
      if (!test.is_host_alive || time_boot_ms () > until_ms)
        {
          check (false, "the host starts and serves");
          return;
        }
    }
}

static void
start_crowd (const char *load)
{
  char name[64];
  char clients[16];
  char sources[16];
  char body[16];
  char hold[16];
  char settle[16];
  char credential[] = "Authorization: Bearer " KEY;
  char *arguments[] = { test.crowd_binary,
                        "--address",
                        test.address,
                        "--port",
                        "8227",
                        "--path",
                        "/any/crowd",
                        "--clients",
                        clients,
                        "--sources",
                        sources,
                        "--body-bytes",
                        body,
                        "--hold-ms",
                        hold,
                        "--settle-ms",
                        settle,
                        "--field",
                        "Host: h.example",
                        "--field",
                        "X-Attempt-Id: fff{n}",
                        "--field",
                        credential,
                        name,
                        NULL };
  posix_spawn_file_actions_t files;
  const char *colon = strchr (load, ':');
  const char *second = colon != NULL ? strchr (colon + 1, ':') : NULL;
  int pipe_ends[2];

  snprintf (name, sizeof name, "%.*s", (int)strcspn (load, ":"), load);
  snprintf (clients, sizeof clients, "%d", test.shape->clients);
  snprintf (sources, sizeof sources, "%.*s",
            colon != NULL ? (int)strcspn (colon + 1, ":") : 1,
            colon != NULL ? colon + 1 : "1");
  if (second != NULL)
    snprintf (body, sizeof body, "%s", second + 1);
  else
    snprintf (body, sizeof body, "%d", test.shape->body_bytes);
  snprintf (hold, sizeof hold, "%d", HOLD_MS);
  snprintf (settle, sizeof settle, "%d", SETTLE_MS);
  if (pipe2 (pipe_ends, O_CLOEXEC) != 0)
    fail_setup ("no pipe");
  fcntl (pipe_ends[0], F_SETFL, O_NONBLOCK);
  test.crowd_output = pipe_ends[0];
  test.crowd_text_size = 0;
  test.crowd_text[0] = '\0';
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_adddup2 (&files, pipe_ends[1], STDOUT_FILENO);
  if (posix_spawn (&test.crowd, arguments[0], &files, NULL, arguments, environ)
      != 0)
    fail_setup ("the crowd cannot be started");
  posix_spawn_file_actions_destroy (&files);
  close (pipe_ends[1]);
}

/* Sends ordinary requests while the crowd holds its connections. */
static void
play_load (const char *load)
{
  static struct ordinary ordinary;
  int64_t until_ms = time_boot_ms () + LOAD_LIMIT_MS;
  int64_t next_ms = 0;
  unsigned answered = 0;
  unsigned refused = 0;
  unsigned lost = 0;
  bool is_open = false;

  test.peak_bytes = 0;
  test.peak_descriptors = 0;
  start_crowd (load);
  while (test.crowd_output >= 0 && time_boot_ms () < until_ms)
    {
      run_once ();
      if (is_open && ordinary.done)
        {
          is_open = false;
          answered += ordinary.status == 200 ? 1 : 0;
          refused += ordinary.answered && ordinary.status != 200 ? 1 : 0;
          lost += ordinary.answered ? 0 : 1;
        }
      if (!is_open && strstr (test.crowd_text, "holding") != NULL
          && strstr (test.crowd_text, "ended") == NULL
          && time_boot_ms () >= next_ms)
        {
          next_ms = time_boot_ms () + ORDINARY_INTERVAL_MS;
          is_open = true;
          start_call (&ordinary, FRONT_PORT, "/any/small", ORDINARY_BYTES);
        }
    }
  if (is_open && !ordinary.done)
    http_call_finish (&ordinary.call);
  check (test.crowd_output < 0, "the crowd ends by itself");
  if (test.crowd_output >= 0)
    {
      kill (test.crowd, SIGKILL);
      close (test.crowd_output);
    }
  waitpid (test.crowd, NULL, 0);
  report ("%s: host at most %ld MB and %u descriptors; ordinary requests: %u "
          "answered, %u refused, %u without a response\n%s",
          load, test.peak_bytes >> 20, test.peak_descriptors, answered, refused,
          lost, test.crowd_text);
  check (test.is_host_alive, "the host stays alive");
  check (test.peak_bytes <= (long)test.shape->memory_mb << 20,
         "resident memory stays within memory.limit_mb");
  if (test.shape->descriptors > 0)
    check (test.peak_descriptors <= test.shape->descriptors,
           "descriptors stay within their limit");
  check (answered > 0, "ordinary requests are answered meanwhile");
  check (refused == 0, "ordinary requests are not refused meanwhile");
  check (lost == 0, "ordinary requests get a response meanwhile");
}

static void
run_for (int64_t for_ms)
{
  int64_t until_ms = time_boot_ms () + for_ms;

  while (time_boot_ms () < until_ms)
    run_once ();
}

static void
check_calm (const char *when)
{
  report ("%s:", when);
  check (call_host (FRONT_PORT, "/any/small", ORDINARY_BYTES) == 200,
         "an ordinary request is answered");
  check (call_host (FRONT_PORT, "/any/large", (size_t)test.shape->body_bytes)
             == 200,
         "a body of full legal size is served");
}

static void
finish (void)
{
  char path[96];

  if (test.is_host_alive)
    {
      kill (test.host, SIGKILL);
      waitpid (test.host, NULL, 0);
    }
  if (test.failures > 0)
    report ("the host's log is in %s", test.folder);
  else
    {
      snprintf (path, sizeof path, "%s/host.log", test.folder);
      unlink (path);
      snprintf (path, sizeof path, "%s/host.yaml", test.folder);
      unlink (path);
      rmdir (test.folder);
    }
  standin_fleet_finish (&test.fleet);
  standin_store_finish (&test.store);
  event_base_loop (test.base, EVLOOP_NONBLOCK);
  event_base_free (test.base);
}

int
main (int argc, char **argv)
{
  if (argc < 5)
    {
      fprintf (stderr,
               "usage: %s HOST CROWD SHAPE LOAD[:SOURCES[:BODY-BYTES]]...\n",
               argv[0]);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  test.host_binary = argv[1];
  test.crowd_binary = argv[2];
  for (size_t i = 0; i < sizeof shapes / sizeof shapes[0]; i++)
    if (strcmp (shapes[i].name, argv[3]) == 0)
      test.shape = &shapes[i];
  if (test.shape == NULL || access (test.host_binary, X_OK) != 0
      || access (test.crowd_binary, X_OK) != 0)
    fail_setup ("no such shape, or a program is missing; build the release");
  start_standins ();
  start_host ();
  if (test.is_host_alive)
    check_calm ("before");
  for (int i = 4; i < argc && test.is_host_alive; i++)
    {
      play_load (argv[i]);
      if (!test.is_host_alive)
        break;
      run_for (RECOVERY_MS);
      check_calm ("afterwards");
    }
  report ("%u checks failed", test.failures);
  finish ();
  return test.failures > 0 ? 1 : 0;
}
