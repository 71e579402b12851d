#ifndef CLI_BURN_REPORT_H
#define CLI_BURN_REPORT_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Burn rates of the error budgets, computed from the responses of GET /burn and
 * GET /metrics.  The error budget of a customer and target is the number of bad
 * requests that the objective permits among all requests of the longest window.
 * Only burn_report_write_plot does I/O.
 */

#define BURN_NAME_SIZE 64 /* bytes, with the NUL */

/* Requests of one customer to one target in one window of time. */
struct burn_window
{
  char customer[BURN_NAME_SIZE];
  char target[BURN_NAME_SIZE];
  uint64_t window_s;
  uint64_t good;      /* number of good requests */
  uint64_t total;     /* number of all requests */
  double burn_rate;   /* 1 = the budget lasts exactly for the longest window */
  double budget_used; /* share of the budget that the bad requests used */
  bool partial;       /* a daemon has run for less than the window */
};

/* Time in which groups of a spec could not serve. */
struct burn_downtime
{
  char spec[BURN_NAME_SIZE];
  double downtime_ms;
};

/* The sums over all daemons. */
struct burn_report
{
  struct burn_window *windows;
  size_t window_count;
  struct burn_downtime *downtimes;
  size_t downtime_count;
  double stranded_ms; /* accelerators times milliseconds stranded */
};

void burn_report_init (struct burn_report *report);
void burn_report_finish (struct burn_report *report);

/*
 * Adds the response of one daemon to GET /burn.  wall_ms is the present Unix
 * time, which tells whether the daemon has run for a whole window.  Returns
 * RESULT_INVALID if the JSON is malformed.
 */
enum result burn_report_add_daemon (struct burn_report *report,
                                    const json_t *json,
                                    int64_t wall_ms);

/* Adds the response of one daemon to GET /metrics. */
enum result burn_report_add_metrics (struct burn_report *report,
                                     const char *text);

/*
 * Computes burn_rate and budget_used of all windows and sorts the windows.
 * objective is in percent, between 0 and 100.
 */
void burn_report_compute (struct burn_report *report, double objective);

json_t *burn_report_to_json (const struct burn_report *report,
                             double objective);

/* Writes a gnuplot script with its data to out; it plots to the file output. */
void burn_report_write_plot (const struct burn_report *report,
                             double objective,
                             const char *output,
                             FILE *out);

/* Formats a window as "5 min", "1 h", "3 d" or "90 s". */
void burn_report_format_window (char out[24], uint64_t window_s);

#endif
