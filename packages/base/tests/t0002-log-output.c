#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "log.h"

#define LINES 20000 /* more than a pipe holds and the rate limit permits */

/* Reads all bytes in the pipe; returns the number of lines. */
static unsigned
drain_pipe (int fd, char *last, size_t size)
{
  char buffer[65536];
  unsigned lines = 0;
  ssize_t n;

  fcntl (fd, F_SETFL, O_NONBLOCK);
  while ((n = read (fd, buffer, sizeof buffer - 1)) > 0)
    {
      buffer[n] = '\0';
      for (ssize_t i = 0; i < n; i++)
        lines += buffer[i] == '\n';
      snprintf (last, size, "%s", buffer);
    }
  return lines;
}

/*
 * Guards against a log that blocks the process when nobody reads its output.
 * Lines are dropped, and their number is logged once the pipe has space.
 */
static void
test_full_pipe_drops_lines (void **state)
{
  char last[65536] = "";
  int pipes[2];
  int saved_stdout;
  unsigned first_line_count;
  unsigned second_line_count;

  (void)state;
  assert_int_equal (pipe (pipes), 0);
  fflush (stdout);
  saved_stdout = dup (STDOUT_FILENO);
  dup2 (pipes[1], STDOUT_FILENO);
  log_setup ("test", "host", LOG_LEVEL_INFO);
  log_to_stdout ();
  for (int i = 0; i < LINES; i++)
    LOG_EVENT (LOG_LEVEL_INFO, "line", LOG_INT ("number", i));
  first_line_count = drain_pipe (pipes[0], last, sizeof last);
  /* The rate limit permits lines again after some ms. */
  usleep (50000);
  LOG_EVENT (LOG_LEVEL_INFO, "after", LOG_INT ("number", 1));
  second_line_count = drain_pipe (pipes[0], last, sizeof last);
  dup2 (saved_stdout, STDOUT_FILENO);
  log_set_sink (NULL, NULL);
  assert_in_range (first_line_count, 1, LINES / 2);
  assert_int_equal (second_line_count, 2);
  assert_non_null (strstr (last, "event=log-lines-lost count="));
  assert_non_null (strstr (last, "event=after number=1"));
  close (saved_stdout);
  close (pipes[0]);
  close (pipes[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_full_pipe_drops_lines) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
