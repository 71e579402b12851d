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

/* True if the endpoint says that it is in the group. */
bool formation_reports (const struct endpoint *endpoint,
                        const struct formation_group *group);

#endif
