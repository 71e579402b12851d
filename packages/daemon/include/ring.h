#ifndef DAEMON_RING_H
#define DAEMON_RING_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The latest log lines of this entry host, for `waxwinglink explain`.  Every
 * decision is one line with its inputs and rejected options, so the lines that
 * name a group, host or request explain what was done with it.
 */

#define RING_LINES 4096

struct ring_line
{
  int64_t wall_ms;
  char *text; /* malloc'd */
};

struct ring
{
  struct ring_line lines[RING_LINES];
  size_t next; /* position of the next line; the oldest is overwritten */
};

void ring_init (struct ring *ring);
void ring_finish (struct ring *ring);

/* Keeps a copy; without memory the line is only not kept. */
void ring_add (struct ring *ring, const char *line, int64_t wall_ms);

/*
 * The lines, oldest first, in which one of the fields of this kind ("group",
 * "host" or "request") has the value id: an array of {"time_ms","event",
 * "line"}.  A new reference, NULL without memory or for an unknown kind.
 */
json_t *ring_find (const struct ring *ring, const char *kind, const char *id);

#endif
