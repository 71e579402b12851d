#include "budget.h"

/* Ten additions of 0.1 give slightly less than 1 in binary. */
#define ROUNDING_TOLERANCE 1e-9

void
budget_init (struct budget *budget)
{
  /* Starts full, so that a new entry host can retry its first requests. */
  budget->tokens = BUDGET_LIMIT;
}

void
budget_record_attempt (struct budget *budget)
{
  budget->tokens += BUDGET_RATIO;
  if (budget->tokens > BUDGET_LIMIT)
    budget->tokens = BUDGET_LIMIT;
}

static void
spend_one_retry (struct budget *budget)
{
  budget->tokens -= 1;
  if (budget->tokens < 0)
    budget->tokens = 0;
}

bool
budget_spend_retry (struct budget *entry_host, struct budget *customer)
{
  if (entry_host->tokens < 1 - ROUNDING_TOLERANCE
      || customer->tokens < 1 - ROUNDING_TOLERANCE)
    return false;
  spend_one_retry (entry_host);
  spend_one_retry (customer);
  return true;
}

int64_t
budget_draw_retry_delay_ms (struct rng *rng,
                            unsigned attempt,
                            int64_t base_ms,
                            int64_t limit_ms)
{
  int64_t ceiling_ms = base_ms;

  for (unsigned i = 0; i < attempt && ceiling_ms < limit_ms; i++)
    ceiling_ms = ceiling_ms > limit_ms / 2 ? limit_ms : ceiling_ms * 2;
  if (ceiling_ms > limit_ms)
    ceiling_ms = limit_ms;
  if (ceiling_ms <= 0)
    return 0;
  return (int64_t)rng_below (rng, (uint64_t)ceiling_ms + 1);
}
