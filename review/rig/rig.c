#include "rig.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static FILE *record;
static int64_t started_ms;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;

static int64_t
get_clock_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
rig_fail (const char *reason)
{
  fprintf (stderr, "the case could not run: %s\n", reason);
  rig_exit (2);
}

void
rig_init (const char *folder)
{
  char path[512];

  started_ms = get_clock_ms ();
  signal (SIGPIPE, SIG_IGN);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record = fopen (path, "we");
  if (record == NULL)
    rig_fail ("record.txt cannot be written");
}

void
rig_exit (int status)
{
  host_end_all ();
  if (record != NULL)
    fflush (record);
  fflush (stdout);
  _exit (status);
}

bool
rig_has_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");

  return trouble == NULL || strcmp (trouble, "0") != 0;
}

int64_t
rig_now_ms (void)
{
  return get_clock_ms () - started_ms;
}

void
rig_sleep_ms (int64_t ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000 };

  if (ms > 0)
    nanosleep (&time, NULL);
}

void
rig_record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_mutex);
  if (record != NULL)
    {
      fprintf (record, "%8.3f ", (double)rig_now_ms () / 1000);
      va_start (args, format);
      vfprintf (record, format, args);
      va_end (args);
      fputc ('\n', record);
      fflush (record);
    }
  pthread_mutex_unlock (&record_mutex);
}

void
rig_start_thread (void *(*run) (void *context), void *context)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 262144);
  if (pthread_create (&thread, &attributes, run, context) != 0)
    rig_fail ("a thread cannot be started");
  pthread_attr_destroy (&attributes);
}
