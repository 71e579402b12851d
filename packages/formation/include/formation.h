#ifndef FORMATION_FORMATION_H
#define FORMATION_FORMATION_H

#include "catalog.h"
#include "endpoints.h"
#include "result.h"

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

/*
 * Formation and repair of the groups of one data centre, for services whose
 * models say how much of the work they get.
 *
 * The plan is derived from what the endpoints report; what is kept here are
 * the groups being worked on, the orders sent and the loads in progress.  A
 * new holder of the lease adopts the groups that it finds.
 *
 * Safety.  An endpoint is ordered into another group only when the head of its
 * present group reports that it cannot serve, or when the endpoint itself
 * reports that it has left that group.  Epochs rise with each
 * formation and with each holder of the lease, so a late order of an earlier
 * formation is refused by its endpoint.
 */

#define FORMATION_SIZE_LIMIT 32
#define FORMATION_NAME_SIZE CATALOG_NAME_SIZE

enum formation_op
{
  FORMATION_JOIN,
  FORMATION_OPEN,
  FORMATION_DRAIN, /* close once the running requests have ended */
  FORMATION_EVICT, /* close at once */
  FORMATION_LEAVE,
  FORMATION_STAGE, /* copy a model's weights to the endpoint's host */
};
const char *formation_op_name (enum formation_op op);

struct formation_order
{
  enum formation_op op;
  const char *endpoint;
  const char *group;
  uint64_t epoch;
  const char *model;
  char (*members)[CATALOG_NAME_SIZE]; /* of a join, the head first */
  unsigned member_count;
  const char *reason;
};

enum formation_phase
{
  FORMATION_JOINING, /* members are loading */
  FORMATION_OPENING, /* all were ready, the head is to open */
  FORMATION_SERVING,
  FORMATION_RETIRING, /* closes because a member is leaving */
  FORMATION_FAILED,   /* a member is lost; the rest is not free yet */
  FORMATION_GONE,     /* its members are free */
};
const char *formation_phase_name (enum formation_phase phase);

struct formation_group
{
  char name[FORMATION_NAME_SIZE];
  uint64_t epoch;
  char service[CATALOG_NAME_SIZE];
  char model[CATALOG_NAME_SIZE];
  char domain[CATALOG_NAME_SIZE];
  unsigned size;
  char members[FORMATION_SIZE_LIMIT][CATALOG_NAME_SIZE]; /* "" = unknown */
  enum formation_phase phase;
  int64_t since_ms;   /* of the phase */
  int64_t ordered_ms; /* last order of this phase */
  unsigned tries;
  bool adopted;           /* formed by an earlier holder of the lease */
  uint64_t head_revision; /* of the head's report when the phase began */
  unsigned opens;         /* orders to open that may not have had effect yet */
  TAILQ_ENTRY (formation_group) link;
};

/* What is remembered of an endpoint between ticks. */
struct formation_member
{
  char id[CATALOG_NAME_SIZE];
  struct formation_group *group;
  uint64_t given_up;   /* epoch of the last group that was given up */
  uint64_t must_leave; /* epoch of a group whose head may still open */
  int64_t joined_ms;   /* last join order */
  unsigned tries;      /* join orders without effect */
  int64_t hold_ms;     /* not used for a new group before this moment */
  int64_t released_ms; /* last order to leave its group */
  int64_t staged_ms;   /* last stage order; 0 = none */
  char staging[CATALOG_NAME_SIZE];
  int64_t activated_ms;   /* last join to a group of its own; 0 = none */
  int64_t loads_until_ms; /* a load that this order began counts until then */
  int64_t started_ms;     /* life of the endpoint that this is about */
  UT_hash_handle hh;
};

struct formation_settings
{
  char data_centre[CATALOG_NAME_SIZE];
  unsigned data_centres; /* that share the weight store */
};

struct formation
{
  struct formation_settings settings;
  uint64_t fence;      /* fencing token of the lease; 0 = not held */
  uint64_t last_fence; /* the highest one held */
  uint64_t formed;     /* groups under it */
  int64_t held_since_ms;
  unsigned most_usable; /* endpoints seen at once */
  int64_t grown_ms;     /* when there were last more of them */
  bool traffic;         /* requests were seen: loads take their full time */
  double load_tokens;   /* loads that may begin now */
  int64_t refilled_ms;
  TAILQ_HEAD (, formation_group) groups;
  struct formation_member *members; /* uthash by id */
};

struct formation_hooks
{
  void *context;
  void (*order) (void *context, const struct formation_order *order);
  /* A group changed its phase. */
  void (*changed) (void *context,
                   const struct formation_group *group,
                   const char *reason);
  /* True if the endpoint is known not to answer although it is listed. */
  bool (*is_silent) (void *context, const struct endpoint *endpoint);
};

void formation_init (struct formation *formation,
                     const struct formation_settings *settings);
void formation_finish (struct formation *formation);

/* The lease was won with this fencing token, or lost (0). */
void formation_set_fence (struct formation *formation,
                          uint64_t fence,
                          int64_t now_ms);

/* Keeps an endpoint out of new groups before this moment. */
void formation_hold (struct formation *formation,
                     const char *endpoint,
                     int64_t until_ms);

/* True if every group serves: nothing is awaited from the endpoints. */
bool formation_is_settled (const struct formation *formation);

/* One step; orders leave through the hooks.  Does nothing without a fence. */
void formation_tick (struct formation *formation,
                     const struct endpoints *endpoints,
                     const struct catalog *catalog,
                     const struct formation_hooks *hooks,
                     int64_t now_ms);

#endif
