#ifndef RELAY_RETRY_BUDGET_H
#define RELAY_RETRY_BUDGET_H

#include "catalog.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Retry budget per service: each request earns a part of a retry, and a fixed
 * number of retries comes back per window.  Shared out over the entry hosts,
 * each holds its part without asking the others.
 */

struct retry_budget
{
  char service[CATALOG_NAME_SIZE];
  double tokens;
  int64_t refilled_ms;
  UT_hash_handle hh;
};

struct retry_budgets
{
  struct retry_budget *table; /* uthash by service */
  double ratio;               /* retries earned by a request */
  double slack;               /* retries per window besides */
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
bool retry_budget_has (struct retry_budgets *budgets,
                       const char *service,
                       int64_t now_ms);

/* Takes a retry; false if none is left. */
bool retry_budget_take (struct retry_budgets *budgets,
                        const char *service,
                        int64_t now_ms);

#endif
