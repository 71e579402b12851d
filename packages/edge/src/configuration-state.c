#include "configuration-state.h"

/*
 * A report of a hub counts for this long.  Hubs are polled each 300 ms; three
 * polls may be lost.
 */
#define REPORT_VALID_MS 1200

static bool
is_overdue (int64_t since_ms, const struct configuration_facts *facts)
{
  return since_ms != 0 && facts->now_ms - since_ms > facts->in_force_ms;
}

struct configuration_action
configuration_decide (const struct configuration_facts *facts)
{
  bool is_behind = facts->newest_version > facts->own_version;
  bool has_report = is_behind && facts->newer_since_ms != 0
                    && facts->now_ms - facts->newer_at_ms <= REPORT_VALID_MS;

  return (struct configuration_action){
    .reads_record = facts->reads_platform
                        ? facts->unusable_since_ms != 0
                        : is_behind && !facts->is_patch_awaited,
    .is_outdated = (has_report && is_overdue (facts->newer_since_ms, facts))
                   || is_overdue (facts->missed_since_ms, facts),
  };
}
