#ifndef GROUP_PLACEMENT_H
#define GROUP_PLACEMENT_H

#include "fleet.h"
#include "history.h"
#include "result.h"
#include "sheet.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Computes the wanted assignment of one data centre, anew on each tick, from
 * the sheet, the fleet, the current assignment (fleet->groups) and the history
 * of the hosts.  The same inputs give the same result, and applied to its own
 * result the computation changes nothing.
 *
 * Division of a spec's count over data centres.  Every data centre computes
 * the same division from the sheet and the host list alone (hosts listed, not
 * listed as leaving, not drained), never from attestation: data centres in
 * the order of their rendezvous rank for the spec get one group in turn; a data
 * centre without capacity is skipped.  Capacity is counted per fabric domain
 * over all specs: first groups of every spec in sheet order, then second
 * groups, and so on.  While two data centres see different host lists, a group
 * may be formed twice or not at all; this ends when their lists agree.
 *
 * A data centre that is down keeps its groups as long as its hosts are listed,
 * since it may be partitioned and still serve; other data centres get these
 * groups once the platform delists its hosts or an operator drains them.
 *
 * Group ids are SPEC.DATA_CENTRE.N, so they differ between data centres.  A
 * new generation is higher than every generation and the number of the current
 * assignment, so no generation of a data centre is ever used twice.
 */

struct placement_settings
{
  double downtime_weight; /* cost of a group's downtime, per second */
  /* cost per second of as many stranded hosts as the group has members:
     idle members of a group that is down, or free hosts that no complete group
     can use */
  double stranded_weight;
  int64_t load_ms;             /* 60000: load that fetches the weights */
  int64_t cached_load_ms;      /* 10000: load on a host that has the weights */
  unsigned load_limit;         /* 16: concurrent loads that fetch weights */
  int64_t drain_timeout_ms;    /* 30000: longest wait for work in flight */
  int64_t stranded_horizon_ms; /* 600000: expected time for which a bad fit
                                  strands hosts */
};

void placement_settings_init (struct placement_settings *settings);

struct placement_input
{
  const struct sheet *sheet;
  const struct fleet *fleet;
  const struct history *history; /* observed at now_ms */
  const struct placement_settings *settings;
  const char *data_centre;
  int64_t now_ms;
};

enum placement_step
{
  PLACEMENT_FORM,     /* new group */
  PLACEMENT_REPLACE,  /* members replaced by spares of the same domain */
  PLACEMENT_MOVE,     /* all members replaced, in another domain */
  PLACEMENT_DISSOLVE, /* group removed */
  PLACEMENT_UPDATE,   /* new version or adapters, same members */
  PLACEMENT_DRAIN,    /* gets no new work, until a later step */
  PLACEMENT_WAIT,     /* members are missing; waiting is cheapest or required */
  PLACEMENT_UNPLACED, /* wanted, but no domain has the capacity */
};
const char *placement_step_name (enum placement_step step);

#define PLACEMENT_TEXT_SIZE 160
#define PLACEMENT_REJECTED_LIMIT 3

/* One decision, for the log and for explain.  All text is for people. */
struct placement_decision
{
  enum placement_step step;
  bool changes;                /* the decision changes the assignment */
  char spec[FLEET_NAME_SIZE];  /* "" if the group has no spec in the sheet */
  char group[FLEET_NAME_SIZE]; /* "" for PLACEMENT_UNPLACED */
  char reason[PLACEMENT_TEXT_SIZE];
  char rejected[PLACEMENT_REJECTED_LIMIT]
               [PLACEMENT_TEXT_SIZE]; /* options that were rejected, with the
                                         reason; "" = none */
};

struct placement
{
  struct fleet_group *groups; /* wanted assignment, most urgent first */
  size_t group_count;
  struct placement_decision *decisions;
  size_t decision_count;
  bool changed;               /* differs from the current assignment */
  uint64_t assignment_number; /* assignment number that it was computed from */
};

void placement_init (struct placement *placement);
void placement_finish (struct placement *placement);

/*
 * Fills a placement that was initialised or computed before.
 * RESULT_NO_MEMORY and RESULT_ASSIGNMENT_INVALID (placement_check rejected the
 * result) leave it empty, with changed = false.
 */
enum result placement_compute (struct placement *placement,
                               const struct placement_input *input);

/*
 * Divides the groups of each spec over the data centres.  target_counts gets
 * the number that this data centre is to form, unplaced the number that fits in
 * no data centre; both have sheet->group_count entries.  unplaced is 0 except
 * in the data centre of the first rank for the spec, so that only one reports
 * it.
 */
enum result placement_divide_groups (const struct sheet *sheet,
                                     const struct fleet *fleet,
                                     const char *data_centre,
                                     unsigned *target_counts,
                                     unsigned *unplaced);

/*
 * Checks an assignment against the rules: no host in two groups, one domain per
 * group, permitted places, size equal to span.  RESULT_ASSIGNMENT_INVALID,
 * with the reason in text (PLACEMENT_TEXT_SIZE bytes).  placement_compute calls
 * it on every change.
 */
enum result placement_check (const struct placement *placement,
                             const struct sheet *sheet,
                             const struct fleet *fleet,
                             const char *data_centre,
                             char *text);

#endif
