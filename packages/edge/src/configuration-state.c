#include "configuration-state.h"

/*
 * A report of a hub counts for this long.  Hubs are polled each 300 ms; three
 * polls may be lost.
 */
#define REPORT_VALID_MS 1200

/*
 * The operator writes again within about 2 s what a restored store lacks; the
 * rest is for a watch to return.
 */
#define COPY_SETTLES_MS 2500

/* True if the configuration may be one that the operator has replaced. */
static bool
is_copy (const struct configuration_facts *facts)
{
  return facts->copy_read_ms != 0 && !facts->is_confirmed
         && facts->now_ms - facts->copy_read_ms < COPY_SETTLES_MS;
}

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
                   || is_overdue (facts->missed_since_ms, facts)
                   || is_copy (facts),
  };
}
