#ifndef GROUP_PLACEMENT_CONTEXT_H
#define GROUP_PLACEMENT_CONTEXT_H

#include "placement.h"

/*
 * Working state of one placement_compute: tables of the hosts, fabric domains,
 * specs and groups of the data centre.  Private to the package.
 */

struct context_host
{
  const struct fleet_host *host;
  unsigned domain; /* index into domains */
  bool usable;     /* may join a group: present, listed, not leaving or held */
  bool taken;      /* member of a group that is kept, or reserved for one */
};

struct context_domain
{
  const char *name;
  bool held; /* outage: no repair and no new groups for now */
};

struct context_spec
{
  const struct sheet_group *row;
  bool valid;          /* its span and adapters fit into a group */
  bool permitted_here; /* the sheet permits this data centre */
  char version[FLEET_NAME_SIZE];
  char adapters[256];
  unsigned target_count;   /* groups that this data centre is to form */
  unsigned unplaced_count; /* groups that fit in no data centre */
  unsigned kept_count;     /* groups that this data centre has and keeps */
  unsigned next_number;    /* lowest group number that may be free */
  bool blocked;            /* its next group could not be formed */
};

struct context_group
{
  struct fleet_group group;           /* as wanted */
  const struct fleet_group *assigned; /* as assigned; NULL for a new group */
  struct context_spec *spec;          /* NULL if the sheet has none */
  unsigned number;                    /* last part of the group id */
  unsigned level; /* 1 for the first group of its spec, and so on; 0 = the
                     group is not kept */
  bool conforms;  /* the sheet permits it: model, span and place */
  bool removed;
  bool keep_draining;
  bool outdated;          /* its version or adapters differ from the spec's */
  bool all_ready;         /* every member is present, ready and in the group; it
                             may have work in flight */
  unsigned absent_count;  /* members without a recent attestation */
  unsigned leaving_count; /* members that are present and leaving */
  int64_t absent_ms;      /* longest absence of a member */
};

struct placement_context
{
  const struct placement_input *input;
  struct placement *placement;
  enum result result;
  struct context_host *hosts; /* sorted by id */
  size_t host_count;
  struct context_domain *domains; /* sorted by name */
  size_t domain_count;
  struct context_spec *specs; /* in sheet order */
  size_t spec_count;
  struct context_group *groups;
  size_t group_count;
  size_t group_capacity;
  unsigned *packable_hosts; /* packable_hosts[n]: the most hosts out of n that
                               complete groups can use */
  size_t packable_count;    /* entries of packable_hosts */
  unsigned fetching_loads;  /* loads that fetch weights: running or decided */
  uint64_t generation;      /* of the groups changed in this computation */
  size_t decision_capacity;
};

enum result context_init (struct placement_context *context,
                          struct placement *placement,
                          const struct placement_input *input);
void context_finish (struct placement_context *context);

struct context_host *context_find_host (const struct placement_context *context,
                                        const char *id);

/* True if the spec may use this host at all. */
bool context_permits_host (const struct context_spec *spec,
                           const struct fleet_host *host);

/* True if the host may join a group of the spec now. */
bool context_is_host_free (const struct placement_context *context,
                           const struct context_spec *spec,
                           const struct context_host *host);
unsigned context_count_free_hosts (const struct placement_context *context,
                                   const struct context_spec *spec,
                                   unsigned domain);
bool context_host_has_weights (const struct placement_context *context,
                               const struct context_spec *spec,
                               const struct context_host *host);

/*
 * Expected time of a load in ms, when fetches more hosts fetch the weights
 * besides the loads in progress or decided; 0 = the hosts have the weights.
 */
double context_estimate_load_ms (const struct placement_context *context,
                                 unsigned fetches);

/* Marks the members of the group as taken or as free. */
void context_set_members_taken (struct placement_context *context,
                                const struct context_group *group,
                                bool taken);

/* Removes the group from the wanted assignment and frees its hosts. */
void context_remove_group (struct placement_context *context,
                           struct context_group *group);

/* Gives the group the version and adapters of its spec and a new generation. */
void context_renew_group (struct placement_context *context,
                          struct context_group *group);

/*
 * True when a group may be changed without cutting off work.  Otherwise the
 * group is marked as draining, with a decision that says why.
 */
bool context_drain_group (struct placement_context *context,
                          struct context_group *group,
                          const char *reason);

/*
 * Fills the marked ranks of the group with free hosts of the domain, first
 * with hosts that have the weights.  fetches counts the picked hosts that do
 * not have them.  False if there are too few free hosts.
 */
bool context_pick_members (struct placement_context *context,
                           struct context_group *group,
                           unsigned domain,
                           const bool *ranks_to_fill,
                           unsigned *fetches);

/*
 * Reserves up to count free hosts of the domain for a group that first
 * finishes its work, so that no other group takes them in this computation.
 */
void context_reserve_hosts (struct placement_context *context,
                            const struct context_spec *spec,
                            unsigned domain,
                            unsigned count);

/* Adds a decision and returns it for further options; NULL if memory is short.
 */
struct placement_decision *
context_add_decision (struct placement_context *context,
                      enum placement_step step,
                      bool changes,
                      const struct context_spec *spec,
                      const struct context_group *group,
                      const char *format,
                      ...) __attribute__ ((format (printf, 6, 7)));
/* Adds an option that was rejected, up to PLACEMENT_REJECTED_LIMIT of them. */
void context_add_rejected_option (struct placement_decision *decision,
                                  const char *format,
                                  ...) __attribute__ ((format (printf, 2, 3)));

/*
 * Index of the best domain for a new group of the spec, or -1 when no domain
 * has enough free hosts.  time_ms is the expected time until the group serves;
 * largest_free is the highest number of free hosts in any one domain.
 */
int context_choose_domain (const struct placement_context *context,
                           const struct context_spec *spec,
                           double *time_ms,
                           unsigned *largest_free);

/* Forms a group in the domain; NULL if it cannot be formed. */
struct context_group *context_form_group (struct placement_context *context,
                                          struct context_spec *spec,
                                          unsigned domain);

void context_remove_unwanted_groups (struct placement_context *context);
void context_update_groups (struct placement_context *context);
void context_report_unplaced (struct placement_context *context);

/* Repairs the groups of one level. */
void context_repair_groups (struct placement_context *context, unsigned level);

/* Forms the missing groups of every spec up to the level. */
void context_form_missing_groups (struct placement_context *context,
                                  unsigned level);

#endif
