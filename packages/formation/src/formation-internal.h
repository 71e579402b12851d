#ifndef FORMATION_INTERNAL_H
#define FORMATION_INTERNAL_H

#include "formation.h"

/*
 * An epoch is the fencing token of the holder that formed the group, and the
 * number of the formation under it: room for a million of them.
 */
#define FORMATION_EPOCH_SHIFT 20

/* One run of formation_tick. */
struct formation_run
{
  struct formation *formation;
  const struct endpoints *endpoints;
  const struct catalog *catalog;
  const struct formation_hooks *hooks;
  int64_t now_ms;
};

/* member.c */
struct formation_member *formation_member (struct formation *formation,
                                           const struct endpoint *endpoint);
void formation_forget_members (const struct formation_run *run);

/* True if the endpoint exists, may be used and answers. */
bool formation_usable (const struct formation_run *run,
                       const struct endpoint *endpoint);

/* True if the endpoint is of this data centre and may be in a group. */
bool formation_concerns (const struct formation_run *run,
                         const struct endpoint *endpoint);

/*
 * True if the endpoint may be ordered into a group: it is in none, or the head
 * of its group cannot serve.  Otherwise orders what is needed for that.
 */
bool formation_release (const struct formation_run *run,
                        struct formation_member *member,
                        const struct endpoint *endpoint);

/* progress.c: carries each group one step on. */
void formation_adopt (const struct formation_run *run);
void formation_progress (const struct formation_run *run);
void formation_order (const struct formation_run *run,
                      const struct formation_group *group,
                      enum formation_op op,
                      const char *endpoint,
                      const char *reason);
void formation_set_phase (const struct formation_run *run,
                          struct formation_group *group,
                          enum formation_phase phase,
                          const char *reason);

/* build.c: forms groups of free endpoints and stages weights on spares. */
void formation_build (const struct formation_run *run);

enum formation_join_cost
{
  JOIN_HOT,  /* the model was the last one it served */
  JOIN_WARM, /* from its own copy */
  JOIN_COLD, /* from the weight store */
};

enum formation_join_cost formation_join_cost (const struct endpoint *endpoint,
                                              const char *model);

/* Names a new group, with a suffix to its name; returns its epoch. */
uint64_t formation_next_group (struct formation *formation,
                               const char *suffix,
                               char *name,
                               size_t size);

#define FORMATION_FREE_LIMIT 512 /* looked at in one tick, per service */

/* Free endpoints of one service. */
struct formation_pool
{
  struct endpoint *endpoints[FORMATION_FREE_LIMIT];
  struct formation_member *members[FORMATION_FREE_LIMIT];
  bool used[FORMATION_FREE_LIMIT];
  unsigned count;
  unsigned usable; /* endpoints of the service, free or not */
};

/*
 * spare.c: activates the model of spares.  A member that loads its copy of the
 * weights holds up its whole group, so each spare joins a group of its own
 * ahead, which never opens; its next join is a hot one.
 */
void formation_activate_spares (const struct formation_run *run,
                                const struct catalog_service *service,
                                const struct formation_pool *pool);

/* True for the group of a single spare, which serves nobody. */
bool formation_is_spare_group (const char *group);

/* True if the endpoint says that it is in the group. */
bool formation_reports (const struct endpoint *endpoint,
                        const struct formation_group *group);

#endif
