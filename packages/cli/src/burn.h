#ifndef CLI_BURN_H
#define CLI_BURN_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Error budgets from the answers of GET /burn and GET /metrics.  The budget
 * of a customer and target is the share of bad requests that the objective
 * permits among all requests of the longest window.  No I/O but burn_plot.
 */

#define BURN_NAME_SIZE 64

struct burn_window
{
  char customer[BURN_NAME_SIZE];
  char target[BURN_NAME_SIZE];
  uint64_t window_s;
  uint64_t good;
  uint64_t total;
  double burn_rate;   /* 1 uses up the budget exactly by its period */
  double budget_used; /* part of the budget that this window's bad used */
  bool partial;       /* a daemon runs for less than the window */
};

struct burn_downtime
{
  char spec[BURN_NAME_SIZE];
  double ms;
};

struct burn
{
  struct burn_window *windows;
  size_t window_count;
  struct burn_downtime *downtimes;
  size_t downtime_count;
  double stranded_ms; /* accelerators times milliseconds */
};

void burn_init (struct burn *burn);
void burn_finish (struct burn *burn);

/* Adds what one daemon counted.  RESULT_INVALID if the JSON is malformed. */
enum result burn_add (struct burn *burn, const json_t *json, int64_t wall_ms);
enum result burn_add_metrics (struct burn *burn, const char *text);

/* Fills rates and budgets and sorts; objective in percent, 0 to 100. */
void burn_compute (struct burn *burn, double objective);

json_t *burn_to_json (const struct burn *burn, double objective);

/* Writes a gnuplot script with its data; the plot goes to output (SVG). */
void burn_plot (const struct burn *burn,
                double objective,
                const char *output,
                FILE *out);

/* "5 min", "1 h", "3 d" or "90 s". */
void burn_format_window (char out[24], uint64_t window_s);

#endif
