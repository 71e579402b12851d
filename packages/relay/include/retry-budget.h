#ifndef RELAY_RETRY_BUDGET_H
#define RELAY_RETRY_BUDGET_H

#include "catalog.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Sliding-window retry budget per service: in any window, retries are limited
 * to a ratio of the requests plus a fixed slack.  The slack is divided among
 * the entry hosts, so that each enforces its share locally.
 *
 * The design load is the failure of a group of endpoints, when all of its
 * streams fail over at the same moment.  A token bucket would cap that burst.
 */

/*
 * Buckets per window.  Retries are summed over the window and the current
 * bucket, requests over at most one window, so that the limit holds for every
 * span of the window's length.
 */
#define RETRY_BUDGET_BUCKETS 10

struct retry_budget
{
  const char *service;
  int64_t current_bucket; /* number since the epoch of the clock */
  unsigned requests[RETRY_BUDGET_BUCKETS + 1];
  unsigned retries[RETRY_BUDGET_BUCKETS + 1];
  UT_hash_handle hh;
};

struct retry_budgets
{
  struct retry_budget *table; /* uthash by service */
  double ratio;               /* retries allowed per request */
  double slack;               /* additional retries per window */
  int64_t window_ms;
};

void retry_budgets_init (struct retry_budgets *budgets,
                         double ratio,
                         double slack,
                         int64_t window_ms);
void retry_budgets_finish (struct retry_budgets *budgets);

void retry_budget_note_request (struct retry_budgets *budgets,
                                const char *service,
                                int64_t now_ms);

/* True if a retry is left. */
bool retry_budget_is_available (struct retry_budgets *budgets,
                                const char *service,
                                int64_t now_ms);

/* Counts a retry against the budget; false if none is left. */
bool retry_budget_acquire (struct retry_budgets *budgets,
                           const char *service,
                           int64_t now_ms);

#endif
