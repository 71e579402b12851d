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

#define LINES 20000 /* more than a pipe holds, and than the limit lets by */

/* Reads what the pipe holds; returns the number of lines. */
static unsigned
drain (int fd, char *last, size_t size)
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

/* Nobody reads: no line blocks, and the loss is told once there is room. */
static void
test_full_output (void **state)
{
  char last[65536] = "";
  int pipes[2];
  int saved;
  unsigned first;
  unsigned second;

  (void)state;
  assert_int_equal (pipe (pipes), 0);
  fflush (stdout);
  saved = dup (STDOUT_FILENO);
  dup2 (pipes[1], STDOUT_FILENO);
  log_setup ("test", "host", LOG_LEVEL_INFO);
  log_to_output ();
  for (int i = 0; i < LINES; i++)
    LOG_EVENT (LOG_LEVEL_INFO, "line", LOG_INT ("number", i));
  first = drain (pipes[0], last, sizeof last);
  /* The limit lets lines by again after some ms. */
  usleep (50000);
  LOG_EVENT (LOG_LEVEL_INFO, "after", LOG_INT ("number", 1));
  second = drain (pipes[0], last, sizeof last);
  dup2 (saved, STDOUT_FILENO);
  log_set_sink (NULL, NULL);
  assert_in_range (first, 1, LINES / 2);
  assert_int_equal (second, 2);
  assert_non_null (strstr (last, "event=log-lines-lost count="));
  assert_non_null (strstr (last, "event=after number=1"));
  close (saved);
  close (pipes[0]);
  close (pipes[1]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_full_output) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
