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
 * The wanted assignment of one data centre, computed anew on each tick from
 * the sheet, the fleet, the present assignment (fleet->groups) and the history
 * of the hosts.  Computing it again with the same inputs gives the same
 * result, and on its own result it changes nothing.
 *
 * Division of a spec's count over data centres.  Every data centre computes
 * the same division from the sheet and the host list alone (hosts listed, not
 * listed as leaving, not drained), never from attestation: data centres in
 * the order of their rendezvous rank for the spec get one group in turn, those
 * without room are passed over.  Room is counted per fabric domain over all
 * specs: first groups of every spec in sheet order, then second groups, and so
 * on.  While two data centres see different host lists, a group may be formed
 * twice or not at all; this ends when their lists agree.
 *
 * A data centre that is down keeps its part as long as its hosts are listed,
 * since it may be cut off and still serve; others take its part over once the
 * platform delists its hosts or an operator drains them.
 *
 * Group ids are SPEC.DATA_CENTRE.N, so they differ between data centres.  A
 * new generation is higher than every generation and the number of the present
 * assignment, so no generation of a data centre is ever used twice.
 */

struct placement_settings
{
  double downtime_weight;      /* cost of a group's downtime, per second */
  double stranded_weight;      /* cost of a stranded host, per second and
                                  divided by the span: one idle group's worth
                                  of hosts costs this much */
  int64_t load_ms;             /* load that fetches the weights: 60000 */
  int64_t warm_load_ms;        /* load on a host that has them: 10000 */
  unsigned load_limit;         /* fetching loads at the same time: 16 */
  int64_t drain_ms;            /* longest wait for work in flight: 30000 */
  int64_t stranded_horizon_ms; /* a bad fit strands hosts about this long:
                                  600000 */
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
  PLACEMENT_DRAIN,    /* gets no new work; a later step changes it */
  PLACEMENT_WAIT,     /* not whole, and waiting is cheapest or required */
  PLACEMENT_UNPLACED, /* wanted, but there is no room */
};
const char *placement_step_name (enum placement_step step);

#define PLACEMENT_TEXT_SIZE 160
#define PLACEMENT_OPTIONS 3

/* One decision, for the log and for explain.  All text is for people. */
struct placement_decision
{
  enum placement_step step;
  bool changes;                /* it changes the assignment */
  char spec[FLEET_NAME_SIZE];  /* "" if the sheet has none */
  char group[FLEET_NAME_SIZE]; /* "" for PLACEMENT_UNPLACED */
  char reason[PLACEMENT_TEXT_SIZE];
  char rejected[PLACEMENT_OPTIONS][PLACEMENT_TEXT_SIZE]; /* "" = none */
};

struct placement
{
  struct fleet_group *groups; /* wanted assignment, most urgent first */
  size_t group_count;
  struct placement_decision *decisions;
  size_t decision_count;
  bool changed;    /* differs from the present assignment */
  uint64_t number; /* of the assignment that it was computed from */
};

void placement_init (struct placement *placement);
void placement_finish (struct placement *placement);

/*
 * Fills a placement that was initialised or computed before.
 * RESULT_NO_MEMORY and RESULT_ASSIGNMENT_INVALID (placement_check refused the
 * result) leave it empty, with changed = false.
 */
enum result placement_compute (struct placement *placement,
                               const struct placement_input *input);

/*
 * How many groups of each spec this data centre is to form, and how many fit
 * in no data centre: parts and unplaced have sheet->group_count entries.
 * unplaced is counted in the data centre of the first rank for the spec only,
 * so that one of them reports it.
 */
enum result placement_divide (const struct sheet *sheet,
                              const struct fleet *fleet,
                              const char *data_centre,
                              unsigned *parts,
                              unsigned *unplaced);

/*
 * Checks an assignment against the rules: no host twice, one domain per
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
