#ifndef DAEMON_LOG_HISTORY_H
#define DAEMON_LOG_HISTORY_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The latest log lines of this entry host, for `waxwinglink explain`.  Every
 * decision is logged as one line with its inputs and rejected options, so the
 * lines with the name of a group, host or request explain the decisions on it.
 */

#define LOG_HISTORY_LINES 4096

struct log_history_line
{
  int64_t wall_ms;
  char *text; /* malloc'd */
};

struct log_history
{
  struct log_history_line lines[LOG_HISTORY_LINES];
  size_t added_count; /* lines ever added; the next one overwrites the oldest,
                         at this number modulo LOG_HISTORY_LINES */
};

void log_history_init (struct log_history *history);
void log_history_finish (struct log_history *history);

/* Adds a copy of the line, or an empty entry if memory is short. */
void log_history_add (struct log_history *history,
                      const char *line,
                      int64_t wall_ms);

/*
 * Finds the lines in which one of the fields of this kind ("group", "host" or
 * "request") has the value id.  Returns a new reference to an array of
 * {"time_ms","event","line"}, oldest first; NULL if memory is short, the kind
 * is unknown or id is empty.
 */
json_t *log_history_find (const struct log_history *history,
                          const char *kind,
                          const char *id);

#endif
