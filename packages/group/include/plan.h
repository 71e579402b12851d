#ifndef GROUP_PLAN_H
#define GROUP_PLAN_H

#include "fleet.h"
#include "history.h"
#include "lease.h"
#include "placement.h"
#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The next steps towards the wanted assignment: writes of the assignment and
 * orders to engines.  Steps are derived anew from the assignment and the
 * attestations; the plan itself keeps only the orders in flight, so a new
 * lease holder continues with an empty plan.
 *
 * Order of steps after a takeover: the fencing token is stamped into the
 * assignment, then the wanted assignment is written, then orders go out from
 * the assignment as written, never from one whose write is unanswered.
 */

#define PLAN_ORDER_ID_SIZE 128

struct plan_settings
{
  int64_t order_ms;        /* 5000: longest time an order is in flight */
  int64_t settle_ms;       /* 2000: wait for the attestation after an order was
                              accepted, before it is repeated */
  int64_t retry_ms;        /* 1000: wait after a refusal, doubles */
  int64_t retry_limit_ms;  /* 30000 */
  unsigned load_limit;     /* loads that fetch weights at the same time: 16 */
  unsigned prefetch_limit; /* spares get weights ahead of time only while fewer
                              loads than this are in progress: 8; 0 = never.
                              The rest of load_limit stays free for members,
                              at least one load. */
};

void plan_settings_init (struct plan_settings *settings);

enum plan_op
{
  PLAN_LOAD,
  PLAN_RELEASE,
  PLAN_ADAPTERS,
  PLAN_ROLE,
};
/* "load", "release", "adapters" or "role". */
const char *plan_op_name (enum plan_op op);

/* POST /v1/orders to one host. */
struct plan_order
{
  enum plan_op op;
  char host[FLEET_NAME_SIZE];
  char order_id[PLAN_ORDER_ID_SIZE];
  uint64_t fence;
  unsigned rank;
  /*
   * The group as assigned; for PLAN_RELEASE the id and generation that the
   * host attests, without members; for a PLAN_LOAD that gives a spare weights
   * ahead of time only model, version and adapters, with an empty id.
   */
  struct fleet_group group;
  char reason[PLACEMENT_TEXT_SIZE];
};

/* The order body of the design page.  A new reference, NULL on no memory. */
json_t *plan_order_to_json (const struct plan_order *order);

/* What is known of the last order to a host. */
struct plan_host
{
  char id[FLEET_NAME_SIZE];
  char order_id[PLAN_ORDER_ID_SIZE];
  enum plan_op op;
  bool in_flight;
  bool assigned; /* scratch: member of a group in this tick, assigned or (from
                    the prefetch step on) wanted */
  bool fetches;  /* a load that counts against the limit */
  int64_t sent_ms;
  int64_t not_before_ms; /* no order before this moment, */
  int64_t read_after_ms; /* nor before an attestation at or after this one */
  unsigned refusals;
  UT_hash_handle hh;
};

struct plan
{
  struct plan_settings settings;
  char data_centre[FLEET_NAME_SIZE];
  char self[LEASE_NAME_SIZE];
  struct plan_host *hosts;
  uint64_t fence; /* of the lease the plan works under; 0 = none */
  int64_t fence_since_ms;
  uint64_t order_count;
  bool write_in_flight;
  bool read_in_flight;
  int64_t write_not_before_ms;
  bool assignment_stale; /* read the assignment before any other step */
};

void plan_init (struct plan *plan,
                const struct plan_settings *settings,
                const char *data_centre,
                const char *self);
void plan_finish (struct plan *plan);

/* Steps of one tick.  Owned by the caller; reused between ticks. */
struct plan_steps
{
  bool write_assignment;   /* write assignment at the version it was read at */
  struct fleet assignment; /* only its groups, fence and number are filled;
                              encode with fleet_assignment_to_json */
  char write_reason[PLACEMENT_TEXT_SIZE];
  bool read_assignment; /* read the assignment and apply it to the fleet */
  struct plan_order *orders;
  size_t order_count;
  size_t order_capacity;
};

void plan_steps_init (struct plan_steps *steps);
void plan_steps_finish (struct plan_steps *steps);

/*
 * wanted was computed from the fleet as it is now; otherwise it is not written.
 * Fills steps; empty unless the lease may act.  Every step returned counts as
 * sent at now_ms.  Report each with plan_on_write, plan_on_read or
 * plan_on_order; an order that is never reported counts as lost after
 * order_ms.  Check lease_may_act again immediately before each send.
 */
enum result plan_next (struct plan *plan,
                       const struct lease *lease,
                       const struct fleet *fleet,
                       const struct placement *wanted,
                       const struct history *history,
                       int64_t now_ms,
                       struct plan_steps *steps);

/*
 * Answer of the assignment write.  On RESULT_OK the caller first applies the
 * written assignment to its fleet.  On any other result that may have been
 * written the plan asks for read_assignment before anything else.
 */
void plan_on_write (struct plan *plan, enum result result, int64_t now_ms);

/* The assignment was read and, if newer, applied to the fleet. */
void plan_on_read (struct plan *plan, enum result result, int64_t now_ms);

/*
 * Answer of an order: RESULT_OK, RESULT_ORDER_FENCED, RESULT_ORDER_FAILED,
 * RESULT_ENDPOINT_CONNECT (not sent) or RESULT_ORDER_LOST.
 */
void plan_on_order (struct plan *plan,
                    const char *host_id,
                    const char *order_id,
                    enum result result,
                    int64_t now_ms);

#endif
