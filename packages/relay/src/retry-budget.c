#include "retry-budget.h"

#include <stdlib.h>
#include <string.h>

#define BUCKETS_KEPT (RETRY_BUDGET_BUCKETS + 1)

void
retry_budgets_init (struct retry_budgets *budgets,
                    double ratio,
                    double slack,
                    int64_t window_ms)
{
  memset (budgets, 0, sizeof *budgets);
  budgets->ratio = ratio;
  budgets->slack = slack;
  budgets->window_ms = window_ms;
}

void
retry_budgets_finish (struct retry_budgets *budgets)
{
  struct retry_budget *budget = budgets->table;

  HASH_CLEAR (hh, budgets->table);
  while (budget != NULL)
    {
      struct retry_budget *next = budget->hh.next;

      free (budget);
      budget = next;
    }
}

/* Clears the buckets that began since the last call. */
static void
clear_passed_buckets (struct retry_budget *budget, int64_t current_bucket)
{
  int64_t steps = current_bucket - budget->current_bucket;

  if (steps <= 0)
    return;
  if (steps > BUCKETS_KEPT)
    steps = BUCKETS_KEPT;
  for (int64_t i = 0; i < steps; i++)
    {
      budget->requests[(current_bucket - i) % BUCKETS_KEPT] = 0;
      budget->retries[(current_bucket - i) % BUCKETS_KEPT] = 0;
    }
  budget->current_bucket = current_bucket;
}

static struct retry_budget *
get_budget (struct retry_budgets *budgets, const char *service, int64_t now_ms)
{
  struct retry_budget *budget;

  HASH_FIND_STR (budgets->table, service, budget);
  if (budget == NULL)
    {
      const char *name;

      budget = text_allocate_with (sizeof *budget, service, &name);
      if (budget == NULL)
        return NULL;
      budget->service = name;
      HASH_ADD_KEYPTR (hh, budgets->table, budget->service, strlen (name),
                       budget);
    }
  clear_passed_buckets (budget,
                        now_ms * RETRY_BUDGET_BUCKETS / budgets->window_ms);
  return budget;
}

void
retry_budget_note_request (struct retry_budgets *budgets,
                           const char *service,
                           int64_t now_ms)
{
  struct retry_budget *budget = get_budget (budgets, service, now_ms);

  if (budget != NULL)
    budget->requests[budget->current_bucket % BUCKETS_KEPT]++;
}

static bool
has_retry_left (const struct retry_budgets *budgets,
                const struct retry_budget *budget)
{
  /* The bucket after the current one is the oldest. */
  size_t oldest = (size_t)((budget->current_bucket + 1) % BUCKETS_KEPT);
  unsigned requests = 0;
  unsigned retries = 0;

  for (size_t i = 0; i < BUCKETS_KEPT; i++)
    {
      retries += budget->retries[i];
      if (i != oldest)
        requests += budget->requests[i];
    }
  return retries + 1 <= budgets->slack + budgets->ratio * requests;
}

bool
retry_budget_is_available (struct retry_budgets *budgets,
                           const char *service,
                           int64_t now_ms)
{
  const struct retry_budget *budget = get_budget (budgets, service, now_ms);

  return budget != NULL && has_retry_left (budgets, budget);
}

bool
retry_budget_acquire (struct retry_budgets *budgets,
                      const char *service,
                      int64_t now_ms)
{
  struct retry_budget *budget = get_budget (budgets, service, now_ms);

  if (budget == NULL || !has_retry_left (budgets, budget))
    return false;
  budget->retries[budget->current_bucket % BUCKETS_KEPT]++;
  return true;
}
