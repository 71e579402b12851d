#ifndef RELAY_RETRY_BUDGET_H
#define RELAY_RETRY_BUDGET_H

#include "catalog.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Retry budget per service: in any window, retries are at most a part of the
 * requests and a fixed number besides.  Shared out over the entry hosts, each
 * holds its part without asking the others.
 *
 * The load that it answers is a group of endpoints that is lost at once: all of
 * its streams are to go on elsewhere in the same moment, so that what a window
 * allows has to be there then.
 */

/*
 * Parts of a window.  Retries count for a window and the present part, requests
 * for a window at most, so that no span of the window's length has more.
 */
#define RETRY_BUDGET_PARTS 10

struct retry_budget
{
  char service[CATALOG_NAME_SIZE];
  int64_t part; /* the present one, by number since the epoch of the clock */
  unsigned requests[RETRY_BUDGET_PARTS + 1];
  unsigned retries[RETRY_BUDGET_PARTS + 1];
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
