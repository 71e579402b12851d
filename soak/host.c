#include "host.h"

#include "http-connection.h"
#include "http-text.h"
#include "users-platform.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

/* As the platform checks: once a second, out of rotation after two failures. */
#define CHECK_INTERVAL_MS 1000
#define FAILED_CHECKS_LIMIT 2

bool
host_write_settings (const struct host *host,
                     const char *const *data_centres,
                     unsigned data_centre_count,
                     const char *seeds,
                     unsigned retry_slack,
                     int evacuation_ms)
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
           "retry:\n  ratio: %.2f\n  slack: %u\n  window_s: %d\n",
           host->address, HOST_CALLERS_PORT, host->address, HOST_READY_PORT,
           host->address, HOST_PEERS_PORT, seeds, host->store_proxy.port,
           HOST_GRACE_MS / 1000, HOST_RETRY_RATIO, retry_slack,
           HOST_RETRY_WINDOW_MS / 1000);
  if (evacuation_ms > 0)
    fprintf (file, "evacuation:\n  complete_ms: %d\n", evacuation_ms);
  return fclose (file) == 0;
}

/*
 * Starts the program without a copy of this process's memory, which would take
 * a large soak 25 ms for each host.
 */
static bool
spawn_daemon (const struct host *host, pid_t *pid)
{
  /* setpriv lets it end with the soak, also if the soak crashes. */
  const char *const arguments[]
      = { "setpriv",    "--pdeathsig",       "KILL", host->binary, "--platform",
          "--settings", host->settings_path, NULL };
  posix_spawn_file_actions_t files;
  int error;

  if (posix_spawn_file_actions_init (&files) != 0)
    return false;
  error
      = posix_spawn_file_actions_addopen (&files, STDOUT_FILENO, host->log_path,
                                          O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (error == 0)
    error = posix_spawn_file_actions_adddup2 (&files, STDOUT_FILENO,
                                              STDERR_FILENO);
  /* An open copy would keep a port listening, or a connection from its end. */
  if (error == 0)
    error
        = posix_spawn_file_actions_addclosefrom_np (&files, STDERR_FILENO + 1);
  if (error == 0)
    error = posix_spawnp (pid, arguments[0], &files, NULL,
                          (char *const *)arguments, environ);
  posix_spawn_file_actions_destroy (&files);
  errno = error;
  return error == 0;
}

bool
host_start (struct host *host)
{
  if (!spawn_daemon (host, &host->pid))
    {
      host->pid = 0;
      return false;
    }
  host->end_signal = HOST_NO_SIGNAL;
  host->has_answered = false;
  host->start_at_ms = 0;
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
  host->end_signal = HOST_SIGNAL_KILL;
  host->signalled_ms = now_ms;
  host->disturbed_ms = now_ms;
  host->start_at_ms = restart_ms;
  send_signal (host, SIGKILL);
}

void
host_term (struct host *host, int64_t now_ms, int64_t restart_ms)
{
  if (host->pid == 0 || host->end_signal != HOST_NO_SIGNAL)
    return;
  host->end_signal = HOST_SIGNAL_TERM;
  host->signalled_ms = now_ms;
  host->last_term_ms = now_ms;
  host->start_at_ms = restart_ms;
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

/* True if the status is right for a process that was told to stop. */
static bool
is_clean_stop (const struct host *host, int status)
{
  if (WIFEXITED (status))
    return WEXITSTATUS (status) == 0;
  /* It had not come to handle signals, nor to take requests. */
  return !host->has_answered && WTERMSIG (status) == SIGTERM;
}

static void
reap_process (struct host *host, int64_t now_ms)
{
  int status;

  if (host->pid == 0 || waitpid (host->pid, &status, WNOHANG) != host->pid)
    return;
  host->pid = 0;
  if (host->end_signal == HOST_NO_SIGNAL
      || (host->end_signal == HOST_SIGNAL_TERM
          && !is_clean_stop (host, status)))
    host->on_unexpected_end (host->context, host, status);
  if (host->start_at_ms == 0)
    host->start_at_ms = now_ms;
}

static void
free_check (struct host *host)
{
  if (host->check_call == NULL)
    return;
  http_call_finish (host->check_call);
  http_free_later (host->base, host->check_call);
  host->check_call = NULL;
}

static void
record_check_result (struct host *host, bool good)
{
  host->failed_checks = good ? 0 : host->failed_checks + 1;
  if (good)
    host->in_rotation = true;
  else if (host->failed_checks >= FAILED_CHECKS_LIMIT)
    host->in_rotation = false;
}

static void
on_check_done (void *context, bool answered, unsigned status)
{
  struct host *host = context;

  free_check (host);
  host->has_answered |= answered;
  record_check_result (host, answered && status == 200);
}

static void
start_due_check (struct host *host, int64_t now_ms)
{
  struct http_text request;

  if (now_ms < host->next_check_ms)
    return;
  host->next_check_ms = now_ms + CHECK_INTERVAL_MS;
  if (host->check_call != NULL)
    {
      free_check (host);
      record_check_result (host, false);
    }
  http_text_init (&request);
  http_text_format (&request,
                    "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
                    users_platform.ready_path, host->name);
  host->check_call = calloc (1, sizeof *host->check_call);
  if (host->check_call == NULL)
    abort ();
  if (http_call_start (host->check_call, host->base, host->address,
                       HOST_READY_PORT, CHECK_INTERVAL_MS, &request,
                       on_check_done, host)
      != RESULT_OK)
    {
      free (host->check_call);
      host->check_call = NULL;
      record_check_result (host, false);
    }
}

void
host_tick (struct host *host, int64_t now_ms)
{
  proxy_tick (&host->store_proxy, now_ms);
  reap_process (host, now_ms);
  if (host->pid == 0)
    {
      /* A host without a process is disturbed, except in a planned stop. */
      if (host->end_signal != HOST_SIGNAL_TERM)
        host->disturbed_ms = now_ms;
      if (host->start_at_ms != 0 && now_ms >= host->start_at_ms
          && !host_start (host))
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
  if (host->pid != 0 && host->end_signal == HOST_SIGNAL_TERM
      && now_ms - host->signalled_ms > HOST_GRACE_MS)
    {
      bool was_undisturbed = host->disturbed_ms < host->signalled_ms;

      host->end_signal = HOST_SIGNAL_KILL;
      host->disturbed_ms = now_ms;
      send_signal (host, SIGCONT);
      send_signal (host, SIGKILL);
      if (was_undisturbed)
        host->on_unexpected_end (host->context, host, -1);
    }
  start_due_check (host, now_ms);
}

void
host_finish (struct host *host)
{
  free_check (host);
  if (host->pid != 0)
    {
      send_signal (host, SIGKILL);
      while (waitpid (host->pid, NULL, 0) < 0 && errno == EINTR)
        ;
      host->pid = 0;
    }
  proxy_close (&host->store_proxy);
}

bool
host_was_undisturbed (const struct host *host, int64_t since_ms)
{
  return since_ms - host->disturbed_ms > HOST_STABLE_MS;
}
