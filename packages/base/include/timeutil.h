#ifndef BASE_TIMEUTIL_H
#define BASE_TIMEUTIL_H

#include <stdint.h>

/*
 * Clocks for I/O packages; decision packages receive the time as an argument.
 */

/* Milliseconds on CLOCK_BOOTTIME, which counts time spent suspended. */
int64_t time_boot_ms (void);

/* Milliseconds since 1970 on CLOCK_REALTIME. */
int64_t time_wall_ms (void);

#endif
