#include "retry-budget.h"

#include <stdlib.h>
#include <string.h>

#define PARTS_KEPT (RETRY_BUDGET_PARTS + 1)

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

/* Empties the parts that begin between the last call and now. */
static void
advance (struct retry_budget *budget, int64_t part)
{
  int64_t steps = part - budget->part;

  if (steps <= 0)
    return;
  if (steps > PARTS_KEPT)
    steps = PARTS_KEPT;
  for (int64_t i = 0; i < steps; i++)
    {
      budget->requests[(part - i) % PARTS_KEPT] = 0;
      budget->retries[(part - i) % PARTS_KEPT] = 0;
    }
  budget->part = part;
}

static struct retry_budget *
find (struct retry_budgets *budgets, const char *service, int64_t now_ms)
{
  struct retry_budget *budget;

  HASH_FIND_STR (budgets->table, service, budget);
  if (budget == NULL)
    {
      size_t size = strnlen (service, sizeof budget->service - 1);

      budget = calloc (1, sizeof *budget);
      if (budget == NULL)
        return NULL;
      memcpy (budget->service, service, size);
      HASH_ADD_STR (budgets->table, service, budget);
    }
  advance (budget, now_ms * RETRY_BUDGET_PARTS / budgets->window_ms);
  return budget;
}

void
retry_budget_note_request (struct retry_budgets *budgets,
                           const char *service,
                           int64_t now_ms)
{
  struct retry_budget *budget = find (budgets, service, now_ms);

  if (budget != NULL)
    budget->requests[budget->part % PARTS_KEPT]++;
}

static bool
has_left (const struct retry_budgets *budgets,
          const struct retry_budget *budget)
{
  /* The part after the present one is the oldest. */
  size_t oldest = (size_t)((budget->part + 1) % PARTS_KEPT);
  unsigned requests = 0;
  unsigned retries = 0;

  for (size_t i = 0; i < PARTS_KEPT; i++)
    {
      retries += budget->retries[i];
      if (i != oldest)
        requests += budget->requests[i];
    }
  return retries + 1 <= budgets->slack + budgets->ratio * requests;
}

bool
retry_budget_has (struct retry_budgets *budgets,
                  const char *service,
                  int64_t now_ms)
{
  const struct retry_budget *budget = find (budgets, service, now_ms);

  return budget != NULL && has_left (budgets, budget);
}

bool
retry_budget_take (struct retry_budgets *budgets,
                   const char *service,
                   int64_t now_ms)
{
  struct retry_budget *budget = find (budgets, service, now_ms);

  if (budget == NULL || !has_left (budgets, budget))
    return false;
  budget->retries[budget->part % PARTS_KEPT]++;
  return true;
}
