#ifndef DAEMON_BURN_H
#define DAEMON_BURN_H

#include "counter.h"

#include <jansson.h>
#include <stdint.h>

/*
 * Good and total requests per customer and target over several windows, from
 * the counters waxwing_slo_good_total and waxwing_slo_total.  Kept in memory:
 * a replaced entry host starts with none, which the report states.
 */

#define BURN_BUCKET_MS 60000U
#define BURN_BUCKETS 4320 /* three days */

struct burn_series; /* private */

struct burn
{
  struct burn_series *series; /* uthash by labels */
  uint64_t bucket;            /* number of the present bucket */
  int64_t started_wall_ms;
  int64_t started_ms;
};

void burn_init (struct burn *burn, int64_t now_ms, int64_t wall_ms);
void burn_finish (struct burn *burn);

/* Takes the counters' present values; call at least once per bucket. */
void burn_tick (struct burn *burn,
                const struct counter_set *counters,
                int64_t now_ms);

/* {"windows":[{"window_s","customer","target","good","total"}],...}. */
json_t *burn_to_json (const struct burn *burn);

#endif
