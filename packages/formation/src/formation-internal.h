#ifndef FORMATION_INTERNAL_H
#define FORMATION_INTERNAL_H

#include "formation.h"

/*
 * An epoch combines the fencing token of the holder that formed the group with
 * the number of the group under that token, up to a million.
 */
#define FORMATION_EPOCH_SHIFT 20

/* Arguments of one call of formation_tick. */
struct formation_run
{
  struct formation *formation;
  const struct endpoints *endpoints;
  const struct catalog *catalog;
  const struct formation_hooks *hooks;
  int64_t now_ms;
};

/* member.c: state of single endpoints. */

/* Finds or creates the state of an endpoint; NULL if memory is short. */
struct formation_member *formation_get_member (struct formation *formation,
                                               const struct endpoint *endpoint);

void formation_free_member (struct formation_member *member);

/* True if its last load was of this model. */
bool formation_is_loading (const struct formation_member *member,
                           const char *model);

/* Removes members that were deleted and resets those that have restarted. */
void formation_remove_stale_members (const struct formation_run *run);

/* True if the endpoint exists, may be used and responds. */
bool formation_is_usable (const struct formation_run *run,
                          const struct endpoint *endpoint);

/* True if the endpoint is in this data centre and its service forms groups. */
bool formation_is_managed (const struct formation_run *run,
                           const struct endpoint *endpoint);

/*
 * True if the endpoint may be ordered into a group.  Otherwise orders it to
 * leave its group or to close it, at most once within LEAVE_RETRY_MS.
 */
bool formation_try_release (const struct formation_run *run,
                            struct formation_member *member,
                            const struct endpoint *endpoint);

/* Creates a group without members; NULL if memory is short. */
struct formation_group *formation_new_group (void);
void formation_free_group (struct formation_group *group);

/* advance-groups.c: adopts groups and advances them through their phases. */
void formation_adopt_groups (const struct formation_run *run);
void formation_advance_groups (const struct formation_run *run);
/* Orders the endpoint to join the group. */
void formation_join_member (const struct formation_run *run,
                            const struct formation_group *group,
                            struct formation_member *member,
                            const struct endpoint *endpoint,
                            const char *reason);
void formation_set_phase (const struct formation_run *run,
                          struct formation_group *group,
                          enum formation_phase phase,
                          const char *reason);

/* form-groups.c: forms groups and prefetches weights to spares. */
void formation_form_groups (const struct formation_run *run);

enum formation_join_cost
{
  JOIN_HOT,  /* the endpoint still has the model active */
  JOIN_WARM, /* loads weights from its host's cache */
  JOIN_COLD, /* loads weights from the weight store */
};

enum formation_join_cost formation_join_cost (const struct endpoint *endpoint,
                                              const char *model);

/*
 * Adds the name of a new group, ending in suffix, to the texts; returns its
 * epoch.
 */
uint64_t formation_name_next_group (struct formation *formation,
                                    const char *suffix,
                                    struct text_pool *texts,
                                    const char **name);

#define FORMATION_POOL_LIMIT 512 /* free endpoints per service and tick */

/* Free endpoints of one service. */
struct formation_pool
{
  struct endpoint *endpoints[FORMATION_POOL_LIMIT];
  struct formation_member *members[FORMATION_POOL_LIMIT];
  bool used[FORMATION_POOL_LIMIT]; /* assigned to a group in this tick */
  unsigned count;
  unsigned usable; /* usable endpoints of the service, free or not */
};

/*
 * spare.c: activates models on spares.  A member that loads weights from its
 * host's cache delays its whole group.  Each spare therefore joins a group of
 * its own in advance, which never opens; its next join is then JOIN_HOT.
 */
void formation_activate_spares (const struct formation_run *run,
                                const struct catalog_service *service,
                                const struct formation_pool *pool);

/* True for the group of a single spare, which never opens. */
bool formation_is_spare_group (const char *group);

/* Sends an order to join a group, with the state that it is based on. */
void formation_send_join (const struct formation_run *run,
                          const struct formation_order *order,
                          struct formation_member *member,
                          const struct endpoint *endpoint);

/* True if the endpoint reports that it is in the group. */
bool formation_is_reported_member (const struct endpoint *endpoint,
                                   const struct formation_group *group);

#endif
