#include "rig.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* The program and arguments of the deploy file. */
#define PROGRAM "target/packages/daemon/waxwinglinkd"
#define HOST_LIMIT 12
#define SAMPLE_INTERVAL_MS 5
/* A process that ended is started again after a short delay. */
#define RESTART_DELAY_MS 500
#define READY_LIMIT_MS 15000

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static struct host *all[HOST_LIMIT];
static unsigned all_count;
static char work[64];
static bool ending;

static void
write_settings (struct host *host, const char *seed, uint16_t store_port)
{
  FILE *file = fopen (host->settings, "we");

  if (file == NULL)
    rig_fail ("the settings cannot be written");
  /* As deploy/settings.yaml.in is filled in for the small sites. */
  fprintf (file,
           "host: \"%s\"\ndata_centre: \"zone-a\"\ndata_centres:\n"
           "  - \"zone-a\"\ncallers:\n  listen: \"%s:%d\"\nreadiness:\n"
           "  listen: \"%s:%d\"\npeers:\n  address: \"%s\"\n  port: %d\n"
           "  seeds:\n    - \"%s:8229\"\nprocessor:\n  cores: 0.17\n"
           "platform:\n  store: \"127.0.0.1:%u\"\ndrain:\n  limit_s: 8\n"
           "keys:\n  revoke_ms: 5000\nconfiguration:\n  in_force_ms: 2000\n"
           "endpoints:\n  leave_ms: 2000\nretry:\n  ratio: 0.2\n"
           "  slack: 260\n  window_s: 10\n",
           host->name, host->address, FRONT_PORT, host->address, READY_PORT,
           host->address, PEERS_PORT, seed, store_port);
  fclose (file);
}

static void
start_process (struct host *host)
{
  char *arguments[]
      = { PROGRAM, "--platform", "--settings", host->settings, NULL };
  char *environment[] = { "PATH=/usr/bin:/bin", NULL };
  posix_spawn_file_actions_t files;
  char log[300];

  snprintf (log, sizeof log, "%s.log", host->settings);
  posix_spawn_file_actions_init (&files);
  posix_spawn_file_actions_addopen (&files, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&files, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn (&host->pid, PROGRAM, &files, NULL, arguments, environment)
      != 0)
    rig_fail (PROGRAM " cannot be started; run the deploy file's build");
  posix_spawn_file_actions_destroy (&files);
  rig_record ("host %s starts", host->name);
}

/* Resident memory; 0 if the process has ended. */
static long
read_memory_bytes (pid_t pid)
{
  char path[64];
  long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "re");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*d %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages * sysconf (_SC_PAGESIZE);
}

/* The platform's part: kills above the memory limit, and starts again. */
static void *
supervise (void *context)
{
  struct host *host = context;

  for (;;)
    {
      long bytes;
      int status;

      rig_sleep_ms (SAMPLE_INTERVAL_MS);
      pthread_mutex_lock (&mutex);
      bytes = ending ? 0 : read_memory_bytes (host->pid);
      if (bytes > host->memory_peak_bytes)
        host->memory_peak_bytes = bytes;
      if (!ending && host->memory_limit_bytes != 0
          && bytes > host->memory_limit_bytes)
        {
          kill (host->pid, SIGKILL);
          host->kills++;
          rig_record ("platform kills %s: %ld bytes of memory", host->name,
                      bytes);
        }
      if (!ending && waitpid (host->pid, &status, WNOHANG) == host->pid)
        {
          rig_record ("host %s ended with %d", host->name, status);
          rig_sleep_ms (RESTART_DELAY_MS);
          start_process (host);
        }
      pthread_mutex_unlock (&mutex);
    }
  return NULL;
}

bool
host_is_ready (const struct host *host)
{
  struct conn *conn = calloc (1, sizeof *conn);
  char head[HEAD_SIZE];
  char request[128];
  bool ready = false;

  if (conn == NULL)
    abort ();
  snprintf (request, sizeof request,
            "GET /v1/readyz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
            host->address);
  if (net_connect (conn, host->address, READY_PORT, 0))
    ready = net_send (conn, request, strlen (request))
            && net_read_head (conn, head) && strstr (head, " 200 ") != NULL;
  net_close (conn);
  free (conn);
  return ready;
}

static void
wait_until_ready (const struct host *hosts, unsigned count)
{
  int64_t until_ms = rig_now_ms () + READY_LIMIT_MS;

  for (unsigned i = 0; i < count; i++)
    while (!host_is_ready (&hosts[i]))
      {
        if (rig_now_ms () > until_ms)
          rig_fail ("the hosts do not become ready");
        rig_sleep_ms (100);
      }
}

void
host_start_all (struct host *hosts, unsigned count, uint16_t store_port)
{
  /* Addresses of this process's own, so that runs do not meet. */
  unsigned net = 1 + (unsigned)getpid () % 250;

  snprintf (work, sizeof work, "/tmp/review-XXXXXX");
  if (mkdtemp (work) == NULL || count > HOST_LIMIT)
    rig_fail ("the work directory cannot be made");
  for (unsigned i = 0; i < count; i++)
    {
      struct host *host = &hosts[i];

      snprintf (host->name, sizeof host->name, "edge-%u", i + 1);
      snprintf (host->address, sizeof host->address, "127.77.%u.%u", net,
                i + 1);
      snprintf (host->settings, sizeof host->settings, "%s/%s.yaml", work,
                host->name);
      write_settings (host, hosts[0].address, store_port);
      all[all_count++] = host;
      start_process (host);
      rig_start_thread (supervise, host);
    }
  wait_until_ready (hosts, count);
  rig_record ("all hosts are ready");
}

void
host_signal (struct host *host, int number)
{
  rig_record ("platform sends signal %d to %s", number, host->name);
  kill (host->pid, number);
}

void
host_end_all (void)
{
  char command[128];

  pthread_mutex_lock (&mutex);
  ending = true;
  for (unsigned i = 0; i < all_count; i++)
    if (all[i]->pid > 0)
      {
        kill (all[i]->pid, SIGKILL);
        waitpid (all[i]->pid, NULL, 0);
      }
  pthread_mutex_unlock (&mutex);
  if (work[0] == '\0' || getenv ("KEEP") != NULL)
    return;
  for (unsigned i = 0; i < all_count; i++)
    {
      unlink (all[i]->settings);
      snprintf (command, sizeof command, "%.100s.log", all[i]->settings);
      unlink (command);
    }
  rmdir (work);
}
