#ifndef ROUTE_BUDGET_H
#define ROUTE_BUDGET_H

#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Retry budget: a token bucket that each first attempt fills by a tenth of a
 * retry, so that retries add at most 10% to the calls.  One per entry host and
 * one per customer; a retry needs both.
 */

#define BUDGET_RATIO 0.1
#define BUDGET_LIMIT 3.0 /* 20 let 21 entry hosts add 27% during an outage */

struct budget
{
  double tokens;
};

void budget_init (struct budget *budget);
void budget_note_attempt (struct budget *budget);

/* Takes one retry from both budgets, or from neither. */
bool budget_take (struct budget *entry_host, struct budget *customer);

/*
 * Exponential backoff with full jitter: uniform in [0, min (limit, base * 2 ^
 * attempt)], attempt counted from 0.
 */
int64_t budget_backoff_ms (struct rng *rng,
                           unsigned attempt,
                           int64_t base_ms,
                           int64_t limit_ms);

#endif
