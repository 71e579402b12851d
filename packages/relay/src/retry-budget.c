#include "retry-budget.h"

#include <stdlib.h>
#include <string.h>

/* Part of the slack that stands by for a sudden need, such as a lost group. */
#define STANDBY_PART 0.7

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

static struct retry_budget *
find (struct retry_budgets *budgets, const char *service, int64_t now_ms)
{
  struct retry_budget *budget;
  double limit = budgets->slack;

  HASH_FIND_STR (budgets->table, service, budget);
  if (budget == NULL)
    {
      size_t size = strnlen (service, sizeof budget->service - 1);

      budget = calloc (1, sizeof *budget);
      if (budget == NULL)
        return NULL;
      memcpy (budget->service, service, size);
      budget->tokens = limit * STANDBY_PART;
      budget->refilled_ms = now_ms;
      HASH_ADD_STR (budgets->table, service, budget);
    }
  /* What stands by and what comes back in a window make up the slack. */
  budget->tokens += (double)(now_ms - budget->refilled_ms)
                    / (double)budgets->window_ms * limit * (1 - STANDBY_PART);
  budget->refilled_ms = now_ms;
  if (budget->tokens > limit * STANDBY_PART)
    budget->tokens = limit * STANDBY_PART;
  return budget;
}

void
retry_budget_note_request (struct retry_budgets *budgets,
                           const char *service,
                           int64_t now_ms)
{
  struct retry_budget *budget = find (budgets, service, now_ms);

  if (budget != NULL)
    budget->tokens += budgets->ratio;
}

bool
retry_budget_has (struct retry_budgets *budgets,
                  const char *service,
                  int64_t now_ms)
{
  const struct retry_budget *budget = find (budgets, service, now_ms);

  return budget != NULL && budget->tokens >= 1;
}

bool
retry_budget_take (struct retry_budgets *budgets,
                   const char *service,
                   int64_t now_ms)
{
  if (!retry_budget_has (budgets, service, now_ms))
    return false;
  find (budgets, service, now_ms)->tokens -= 1;
  return true;
}
