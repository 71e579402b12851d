#ifndef DAEMON_ERROR_BUDGET_COUNTS_H
#define DAEMON_ERROR_BUDGET_COUNTS_H

#include "counter.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Good and total requests per customer and target over several windows, for the
 * burn rate of the error budget.  They come from the counters
 * waxwing_slo_good_total and waxwing_slo_total and are kept in memory only: a
 * replaced entry host starts at zero, and the JSON has the time at which
 * counting started.
 */

#define ERROR_BUDGET_BUCKET_MS 60000U
#define ERROR_BUDGET_BUCKETS 4320 /* buckets of three days */

struct error_budget_series; /* counts of one customer and target; private */

struct error_budget_counts
{
  struct error_budget_series *series; /* uthash by labels */
  uint64_t bucket;         /* number of the current bucket since the start */
  int64_t started_wall_ms; /* start of counting, in Unix time */
  int64_t started_ms;      /* start of counting, on the clock of now_ms */
};

void error_budget_counts_init (struct error_budget_counts *counts,
                               int64_t now_ms,
                               int64_t wall_ms);
void error_budget_counts_finish (struct error_budget_counts *counts);

/*
 * Adds the growth of the counters since the last update to the current bucket.
 * To be called at least once per bucket.
 */
void error_budget_counts_update (struct error_budget_counts *counts,
                                 const struct counter_set *counters,
                                 int64_t now_ms);

/*
 * Returns a new reference to
 * {"windows":[{"window_s","customer","target","good","total"}],"started_ms"},
 * or NULL if memory is short.
 */
json_t *error_budget_counts_to_json (const struct error_budget_counts *counts);

#endif
