#include "controller-internal.h"

#include "hash.h"
#include "log.h"

static uint64_t
hash_decision (const struct placement_decision *decision, uint64_t seed)
{
  uint64_t hash = hash_string (decision->group, seed + decision->step);

  hash = hash_string (decision->spec, hash);
  return hash_string (decision->reason, hash);
}

static void
log_decision (const struct placement_decision *decision)
{
  LOG_EVENT (LOG_LEVEL_NOTICE, "placement",
             LOG_STR ("step", placement_step_name (decision->step)),
             LOG_STR ("spec", decision->spec),
             LOG_STR ("group", decision->group),
             LOG_STR ("reason", decision->reason),
             LOG_STR ("rejected", decision->rejected[0]),
             LOG_STR ("rejected2", decision->rejected[1]));
}

/* Decisions are computed on each tick; only a changed set is logged. */
void
controller_log_decisions (struct controller *controller)
{
  const struct placement *placement = &controller->placement;
  uint64_t hash = 1;

  for (size_t i = 0; i < placement->decision_count; i++)
    hash = hash_decision (&placement->decisions[i], hash);
  if (hash == controller->logged_hash)
    return;
  controller->logged_hash = hash;
  for (size_t i = 0; i < placement->decision_count; i++)
    log_decision (&placement->decisions[i]);
}
