#ifndef FORMATION_FORMATION_H
#define FORMATION_FORMATION_H

#include "catalog.h"
#include "endpoints.h"
#include "result.h"
#include "text-pool.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

/*
 * Forms and repairs the groups of one data centre, for services whose models
 * have a configured share of the endpoints.
 *
 * The plan is derived from the endpoints' reports.  This module stores only
 * the groups it manages, the orders sent and the weight loads in progress.  A
 * new holder of the lease adopts the groups that the endpoints report.
 *
 * Safety: orders of this and of former holders may be carried out late, and
 * reports may be old or missing.  An endpoint is therefore ordered into a group
 * only if it is in no group (or in one of its own, as a spare), and the order
 * is carried out only if that is still so: see struct formation_basis.  Members
 * of any other group leave it first, whatever its head reports.  Epochs rise
 * with each formed group and with each holder of the lease, so an endpoint
 * refuses a late order of an earlier formation.
 */

#define FORMATION_SIZE_LIMIT 32 /* endpoints per group */

enum formation_op
{
  FORMATION_JOIN,
  FORMATION_OPEN,
  FORMATION_DRAIN, /* close once the running requests have ended */
  FORMATION_EVICT, /* close at once */
  FORMATION_LEAVE,
  FORMATION_PREFETCH, /* copy a model's weights to the endpoint's host */
};
const char *formation_op_name (enum formation_op op);

/*
 * What an order to join a group is based on: this incarnation of the endpoint
 * is in no group, or in this one, which it leaves first.  The endpoint is asked
 * for its state (formation_check_join), and each order is sent on condition
 * that the endpoint has accepted no other one since.
 */
struct formation_basis
{
  int64_t started_ms; /* 0 = not known */
  const char *group;  /* "" = none */
  uint64_t epoch;
};

struct formation_order
{
  enum formation_op op;
  const char *endpoint;
  const char *group;
  uint64_t epoch;
  const char *model;
  const char *const *members; /* for a join; the head first */
  unsigned member_count;
  const char *reason;
  const struct formation_basis *basis; /* NULL unless a join */
};

/* What a holder of the lease may do with an endpoint that it wants to use. */
enum formation_claim
{
  FORMATION_CLAIM_TAKE,  /* may be ordered into another group */
  FORMATION_CLAIM_EVICT, /* an open or closing head: has to close first */
  FORMATION_CLAIM_LEAVE, /* has to leave its group first */
};

/*
 * abandoned_epoch is that of the group which this holder has given up last for
 * the endpoint; 0 = none.  head is the report of the head of the endpoint's
 * group; NULL if it is not known, or does not respond.
 */
enum formation_claim formation_may_take (const struct endpoint_report *report,
                                         uint64_t abandoned_epoch,
                                         const struct endpoint_report *head);

/* What to do with an order to join a group, once the endpoint was asked. */
enum formation_join_step
{
  FORMATION_JOIN_SEND,
  FORMATION_JOIN_LEAVE_FIRST, /* order it to leave the group of the basis */
  FORMATION_JOIN_RETRY, /* the endpoint may not show its latest state yet */
  FORMATION_JOIN_DROP,  /* the endpoint has restarted, or is in the group */
};

/* Decides on a join to the group by the state that the endpoint reports now. */
enum formation_join_step
formation_check_join (const struct formation_basis *basis,
                      const char *group,
                      uint64_t epoch,
                      const struct endpoint_report *report);

enum formation_phase
{
  FORMATION_JOINING, /* members join and load the weights */
  FORMATION_OPENING, /* all members were ready; the head is ordered to open */
  FORMATION_SERVING,
  FORMATION_RETIRING,  /* the head drains because a member is leaving */
  FORMATION_FAILED,    /* a member failed; the others are not free yet */
  FORMATION_DISSOLVED, /* its members are free */
};
const char *formation_phase_name (enum formation_phase phase);

/* The fencing token under which a group of this epoch was formed. */
uint64_t formation_get_fence (uint64_t epoch);

struct formation_group
{
  struct text_pool texts; /* of the group */
  const char *name;
  uint64_t epoch;
  const char *service;
  const char *model; /* "" = unknown */
  const char *domain;
  unsigned size; /* 0 = unknown: no member has reported its model yet */
  const char *members[FORMATION_SIZE_LIMIT]; /* "" = unknown */
  enum formation_phase phase;
  int64_t phase_since_ms; /* start of the present phase */
  int64_t last_order_ms;  /* last order in this phase; 0 = none */
  unsigned order_tries;   /* orders sent in this phase */
  bool adopted;           /* formed by an earlier holder of the lease */
  int64_t adopted_ms;
  uint64_t head_revision; /* revision of the head's report at phase start */
  TAILQ_ENTRY (formation_group) link;
};

/* State of an endpoint that is kept between ticks. */
struct formation_member
{
  const char *id;
  struct formation_group *group;
  uint64_t abandoned_epoch;    /* epoch of its last abandoned group */
  uint64_t joined_epoch;       /* epoch of the last join order; 0 = none */
  int64_t joined_ms;           /* last join order */
  unsigned join_tries;         /* join orders without effect */
  int64_t excluded_until_ms;   /* not used for a new group before this time */
  int64_t leave_ordered_ms;    /* last order to leave or close its group */
  int64_t prefetch_ordered_ms; /* last prefetch order; 0 = none */
  char *loading_model;         /* of its last load; NULL = none */
  int64_t activate_ordered_ms; /* last join order to a spare group; 0 = none */
  int64_t load_counted_until_ms; /* its load counts as running until then */
  int64_t started_ms;            /* incarnation of the endpoint (start time) */
  UT_hash_handle hh;
};

struct formation_settings
{
  const char *data_centre; /* lives as long as the formation */
  unsigned data_centres;   /* data centres that share the weight store */
};

struct formation
{
  struct formation_settings settings;
  uint64_t fence;        /* fencing token of the lease; 0 = not held */
  uint64_t last_fence;   /* highest fencing token held so far */
  uint64_t formed_count; /* groups formed under the fencing token */
  /* Of those, the groups formed before the lease was lost and acquired again.
   */
  uint64_t formed_before;
  int64_t held_since_ms; /* when the fencing token was last set */
  /* Highest number of usable endpoints of one service so far. */
  unsigned max_usable;
  int64_t max_usable_ms; /* when max_usable last rose */
  bool has_traffic;   /* requests were seen; weights now load at normal speed */
  double load_tokens; /* weight loads that may start now */
  int64_t refilled_ms; /* when load_tokens was last refilled */
  TAILQ_HEAD (, formation_group) groups;
  struct formation_member *members; /* uthash by id */
};

struct formation_hooks
{
  void *context;
  void (*order) (void *context, const struct formation_order *order);
  /* Called when a group is formed, adopted, or enters another phase. */
  void (*phase_changed) (void *context,
                         const struct formation_group *group,
                         const char *reason);
  /* True if the endpoint is listed but known not to respond. */
  bool (*is_silent) (void *context, const struct endpoint *endpoint);
};

void formation_init (struct formation *formation,
                     const struct formation_settings *settings);
void formation_finish (struct formation *formation);

/* Sets the fencing token of the lease; 0 = the lease is not held. */
void formation_set_fence (struct formation *formation,
                          uint64_t fence,
                          int64_t now_ms);

/* Excludes an endpoint from new groups until until_ms. */
void formation_exclude_endpoint (struct formation *formation,
                                 const char *endpoint,
                                 int64_t until_ms);

/*
 * False if the order is no longer wanted: its group was given up or has moved
 * on, or the endpoint was ordered into another group since.  An order waits for
 * its connection, so this is to be asked again just before it is sent.
 */
bool formation_is_order_current (const struct formation *formation,
                                 enum formation_op op,
                                 const char *endpoint,
                                 const char *group,
                                 uint64_t epoch);

/* True if every group serves, so that no order is outstanding. */
bool formation_is_settled (const struct formation *formation);

/*
 * Runs one step and sends orders through the hooks.  Does nothing without a
 * fencing token.
 */
void formation_tick (struct formation *formation,
                     const struct endpoints *endpoints,
                     const struct catalog *catalog,
                     const struct formation_hooks *hooks,
                     int64_t now_ms);

#endif
