#include "timeutil.h"

#include <time.h>

static int64_t
read_clock_ms (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
time_boot_ms (void)
{
  return read_clock_ms (CLOCK_BOOTTIME);
}

int64_t
time_wall_ms (void)
{
  return read_clock_ms (CLOCK_REALTIME);
}
