#ifndef DAEMON_BURN_REPORT_H
#define DAEMON_BURN_REPORT_H

#include "counter.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Good and total requests per customer and target over several windows, for the
 * burn rate of the error budget.  They come from the counters
 * waxwing_slo_good_total and waxwing_slo_total and are kept in memory only: a
 * replaced entry host starts at zero, and the report states since when it
 * counts.
 */

#define BURN_REPORT_BUCKET_MS 60000U
#define BURN_REPORT_BUCKETS 4320 /* three days */

struct burn_report_series; /* private */

struct burn_report
{
  struct burn_report_series *series; /* uthash by labels */
  uint64_t bucket;         /* number of the current bucket since the start */
  int64_t started_wall_ms; /* start of counting, in Unix time */
  int64_t started_ms;      /* the same moment on the clock of now_ms */
};

void
burn_report_init (struct burn_report *report, int64_t now_ms, int64_t wall_ms);
void burn_report_finish (struct burn_report *report);

/* Adds the growth of the counters; to be called at least once per bucket. */
void burn_report_update (struct burn_report *report,
                         const struct counter_set *counters,
                         int64_t now_ms);

/* {"windows":[{"window_s","customer","target","good","total"}],"started_ms"}.
 */
json_t *burn_report_to_json (const struct burn_report *report);

#endif
