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
 * Computes the next steps towards the wanted assignment: writes of the
 * assignment and orders to engines.  Steps are derived anew on each tick from
 * the assignment and the attestations; the plan keeps only the orders in
 * flight, so a new lease holder continues with an empty plan.
 *
 * Sequence after a takeover: the fencing token is written into the assignment,
 * then the wanted assignment is written, then orders are sent.  Orders follow
 * the assignment as written, never one whose write has no response yet.
 */

#define PLAN_ORDER_ID_SIZE 128

struct plan_settings
{
  int64_t order_timeout_ms; /* 5000: an order without a response counts as lost
                       after this time */
  int64_t attestation_wait_ms; /* 2000: wait for the attestation after an order
                        was accepted, before another order */
  int64_t retry_delay_ms; /* 1000: wait after a refusal, doubles each time */
  int64_t retry_delay_limit_ms; /* 30000: longest wait after a refusal */
  unsigned load_limit;          /* 16: concurrent loads that fetch weights */
  unsigned prefetch_limit;      /* 8: spares prefetch weights only while fewer
                                   loads than this are in progress; 0 = never.
                                   The rest of load_limit is reserved for members,
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
   * The group as assigned.  For PLAN_RELEASE: the id and generation that the
   * host attests, without members.  For a PLAN_LOAD that prefetches weights on
   * a spare: only model, version and adapters, with an empty id.
   */
  struct fleet_group group;
  char reason[PLACEMENT_TEXT_SIZE];
};

/* Builds the order body of the design page.  Returns a new reference; NULL if
   memory is short. */
json_t *plan_order_to_json (const struct plan_order *order);

/* The last order to a host and the earliest time of the next one. */
struct plan_host_state
{
  char id[FLEET_NAME_SIZE];
  char order_id[PLAN_ORDER_ID_SIZE];
  enum plan_op op;
  bool in_flight;
  bool was_order_lost; /* one to it was lost under this lease */
  /* member of an assigned group or, from the prefetch step on, of a wanted
     group; recomputed on each tick */
  bool assigned;
  bool is_fetch; /* a load that fetches weights; counts against load_limit */
  int64_t sent_ms;
  int64_t not_before_ms; /* no order before this moment */
  /* no order without an attestation from this moment or later */
  int64_t attested_after_ms;
  unsigned refusal_count;
  UT_hash_handle hh;
};

struct plan
{
  struct plan_settings settings;
  char data_centre[FLEET_NAME_SIZE];
  char self[LEASE_NAME_SIZE];
  struct plan_host_state *hosts;
  uint64_t fence; /* fencing token of the current lease; 0 = none */
  int64_t fence_since_ms;
  uint64_t order_count; /* orders made so far; part of their ids */
  bool write_in_flight;
  bool read_in_flight;
  int64_t write_not_before_ms;
  bool assignment_stale; /* the assignment must be read before any other step */
};

void plan_init (struct plan *plan,
                const struct plan_settings *settings,
                const char *data_centre,
                const char *self);
void plan_finish (struct plan *plan);

/* Steps of one tick.  Owned by the caller and reused on the next tick. */
struct plan_steps
{
  bool write_assignment;   /* write assignment at the version that was read */
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
 * Fills steps, which stay empty unless the lease may act.  wanted must have
 * been computed from the fleet as it is now, otherwise it is not written.
 * Every step returned counts as sent at now_ms.  Report each with
 * plan_on_write, plan_on_read or plan_on_order; an order that is never reported
 * counts as lost after the order timeout.  Check lease_may_act again
 * immediately before each send.
 */
enum result plan_compute_steps (struct plan *plan,
                                const struct lease *lease,
                                const struct fleet *fleet,
                                const struct placement *wanted,
                                const struct history *history,
                                int64_t now_ms,
                                struct plan_steps *steps);

/*
 * Response to the assignment write.  On RESULT_OK the caller first applies the
 * written assignment to its fleet.  On a result that leaves open whether
 * the write took effect, the next step is read_assignment.
 */
void plan_on_write (struct plan *plan, enum result result, int64_t now_ms);

/* The assignment was read and, if newer, applied to the fleet. */
void plan_on_read (struct plan *plan, enum result result, int64_t now_ms);

/*
 * Response to an order: RESULT_OK, RESULT_ORDER_FENCED, RESULT_ORDER_FAILED,
 * RESULT_ENDPOINT_CONNECT (not sent) or RESULT_ORDER_LOST.
 */
void plan_on_order (struct plan *plan,
                    const char *host_id,
                    const char *order_id,
                    enum result result,
                    int64_t now_ms);

#endif
