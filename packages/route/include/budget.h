#ifndef ROUTE_BUDGET_H
#define ROUTE_BUDGET_H

#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget: a token bucket to which each first attempt adds a tenth of a
 * retry, so that retries add at most 10% to the calls.  Each entry host and
 * each customer has one; a retry needs a token of both.
 */

#define BUDGET_RATIO 0.1 /* tokens per first attempt */
/* With a limit of 20, 21 entry hosts added 27% to the calls in an outage. */
#define BUDGET_LIMIT 3.0

struct budget
{
  double tokens; /* retries available now */
};

void budget_init (struct budget *budget);
void budget_record_attempt (struct budget *budget);

/* Spends one retry from both budgets; false, and none, if either is empty. */
bool budget_spend_retry (struct budget *entry_host, struct budget *customer);

/*
 * Draws the delay of a retry, ms, which grows exponentially and has full
 * jitter: uniform in [0, min (limit, base * 2 ^ attempt)], with attempts
 * counted from 0.
 */
int64_t budget_draw_retry_delay_ms (struct rng *rng,
                                    unsigned attempt,
                                    int64_t base_ms,
                                    int64_t limit_ms);

#endif
