#include "host.h"

#include "http-connection.h"
#include "http-text.h"
#include "users-platform.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* As the platform asks: once a second, out after two misses. */
#define CHECK_MS 1000
#define CHECK_MISSES 2

bool
host_write_settings (const struct host *host,
                     const char *const *data_centres,
                     unsigned data_centre_count,
                     const char *seeds)
{
  FILE *file = fopen (host->settings_path, "we");

  if (file == NULL)
    return false;
  fprintf (file,
           "host: \"%s\"\ndata_centre: \"%s\"\nlog_level: \"%s\"\n"
           "data_centres:\n",
           host->name, host->data_centre, host->log_level);
  for (unsigned i = 0; i < data_centre_count; i++)
    fprintf (file, "  - \"%s\"\n", data_centres[i]);
  fprintf (file,
           "callers:\n  listen: \"%s:%d\"\n"
           "readiness:\n  listen: \"%s:%d\"\n"
           "peers:\n  address: \"%s\"\n  port: %d\n  seeds:\n%s"
           "processor:\n  cores: 0.5\n"
           "platform:\n  store: \"127.0.0.1:%u\"\n"
           "drain:\n  limit_s: %d\n"
           "keys:\n  revoke_ms: 5000\n"
           "retry:\n  ratio: 0.2\n  slack: 260\n  window_s: 10\n",
           host->address, HOST_CALLERS_PORT, host->address, HOST_READY_PORT,
           host->address, HOST_PEERS_PORT, seeds, host->store.port,
           HOST_GRACE_MS / 1000);
  return fclose (file) == 0;
}

static void
run_child (const struct host *host)
{
  int log = open (host->log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);

  /* Ends with the soak, however that ends. */
  if (prctl (PR_SET_PDEATHSIG, SIGKILL) != 0 || log < 0
      || dup2 (log, STDOUT_FILENO) < 0 || dup2 (log, STDERR_FILENO) < 0)
    _exit (126);
  execl (host->binary, host->binary, "--platform", "--settings",
         host->settings_path, (char *)NULL);
  _exit (127);
}

bool
host_start (struct host *host)
{
  pid_t pid = fork ();

  if (pid < 0)
    return false;
  if (pid == 0)
    run_child (host);
  host->pid = pid;
  host->end = HOST_NO_END;
  host->start_ms = 0;
  host->paused_until_ms = 0;
  return true;
}

static void
send_signal (const struct host *host, int number)
{
  if (host->pid != 0 && kill (host->pid, number) != 0)
    perror (host->name);
}

void
host_kill (struct host *host, int64_t now_ms, int64_t restart_ms)
{
  if (host->pid == 0)
    return;
  host->end = HOST_END_KILL;
  host->ended_ms = now_ms;
  host->disturbed_ms = now_ms;
  host->start_ms = restart_ms;
  send_signal (host, SIGKILL);
}

void
host_term (struct host *host, int64_t now_ms, int64_t restart_ms)
{
  if (host->pid == 0 || host->end != HOST_NO_END)
    return;
  host->end = HOST_END_TERM;
  host->ended_ms = now_ms;
  host->term_ms = now_ms;
  host->start_ms = restart_ms;
  send_signal (host, SIGTERM);
}

void
host_pause (struct host *host, int64_t now_ms, int64_t until_ms)
{
  if (host->pid == 0)
    return;
  host->disturbed_ms = now_ms;
  host->paused_until_ms = until_ms;
  send_signal (host, SIGSTOP);
}

void
host_reload (struct host *host)
{
  send_signal (host, SIGHUP);
}

static void
reap (struct host *host, int64_t now_ms)
{
  int status;

  if (host->pid == 0 || waitpid (host->pid, &status, WNOHANG) != host->pid)
    return;
  host->pid = 0;
  if (host->end == HOST_NO_END
      || (host->end == HOST_END_TERM
          && (!WIFEXITED (status) || WEXITSTATUS (status) != 0)))
    host->died (host->context, host, status);
  if (host->start_ms == 0)
    host->start_ms = now_ms;
}

static void
end_check (struct host *host)
{
  if (host->check == NULL)
    return;
  http_call_finish (host->check);
  http_free_later (host->base, host->check);
  host->check = NULL;
}

static void
take_check (struct host *host, bool good)
{
  host->misses = good ? 0 : host->misses + 1;
  if (good)
    host->in_rotation = true;
  else if (host->misses >= CHECK_MISSES)
    host->in_rotation = false;
}

static void
on_checked (void *context, bool answered, unsigned status)
{
  struct host *host = context;

  end_check (host);
  take_check (host, answered && status == 200);
}

static void
check_ready (struct host *host, int64_t now_ms)
{
  struct http_text request;

  if (now_ms < host->check_ms)
    return;
  host->check_ms = now_ms + CHECK_MS;
  if (host->check != NULL)
    {
      end_check (host);
      take_check (host, false);
    }
  http_text_init (&request);
  http_text_format (&request,
                    "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
                    users_platform.ready_path, host->name);
  host->check = calloc (1, sizeof *host->check);
  if (host->check == NULL)
    abort ();
  if (http_call_start (host->check, host->base, host->address, HOST_READY_PORT,
                       CHECK_MS, &request, on_checked, host)
      != RESULT_OK)
    {
      free (host->check);
      host->check = NULL;
      take_check (host, false);
    }
}

void
host_tick (struct host *host, int64_t now_ms)
{
  proxy_tick (&host->store, now_ms);
  reap (host, now_ms);
  if (host->pid == 0)
    {
      /* A process that was ended on purpose is away until it is ready. */
      if (host->end != HOST_END_TERM)
        host->disturbed_ms = now_ms;
      if (host->start_ms != 0 && now_ms >= host->start_ms && !host_start (host))
        perror (host->name);
    }
  else if (host->paused_until_ms != 0)
    {
      host->disturbed_ms = now_ms;
      if (now_ms >= host->paused_until_ms)
        {
          host->paused_until_ms = 0;
          send_signal (host, SIGCONT);
        }
    }
  if (host->pid != 0 && host->end == HOST_END_TERM
      && now_ms - host->ended_ms > HOST_GRACE_MS)
    {
      bool was_free = host->disturbed_ms < host->ended_ms;

      host->end = HOST_END_KILL;
      host->disturbed_ms = now_ms;
      send_signal (host, SIGCONT);
      send_signal (host, SIGKILL);
      if (was_free)
        host->died (host->context, host, -1);
    }
  check_ready (host, now_ms);
}

void
host_finish (struct host *host)
{
  end_check (host);
  if (host->pid != 0)
    {
      send_signal (host, SIGKILL);
      while (waitpid (host->pid, NULL, 0) < 0 && errno == EINTR)
        ;
      host->pid = 0;
    }
  proxy_close (&host->store);
}

bool
host_was_calm (const struct host *host, int64_t since_ms)
{
  return since_ms - host->disturbed_ms > HOST_STABLE_MS;
}
