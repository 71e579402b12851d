#ifndef GROUP_WORK_H
#define GROUP_WORK_H

#include "placement.h"

/*
 * Tables that one placement_compute works on.  Private to the package.
 */

struct work_host
{
  const struct fleet_host *host;
  unsigned domain; /* index into domains */
  bool usable;     /* may join a group: present, listed, not leaving or held */
  bool taken;      /* member of a group that is kept */
};

struct work_domain
{
  const char *name;
  bool held; /* outage: no repair and no new groups for now */
};

struct work_spec
{
  const struct sheet_group *row;
  bool valid; /* its contents fit into a group */
  bool here;  /* this data centre is permitted */
  char version[FLEET_NAME_SIZE];
  char adapters[256];
  unsigned part;        /* groups that this data centre is to form */
  unsigned unplaced;    /* groups that fit in no data centre */
  unsigned kept;        /* groups that it has and keeps */
  unsigned next_number; /* lowest group number that may be free */
  bool blocked;         /* no room was found for its next group */
};

struct work_group
{
  struct fleet_group group;          /* as wanted */
  const struct fleet_group *present; /* as assigned; NULL for a new group */
  struct work_spec *spec;            /* NULL if the sheet has none */
  unsigned number;                   /* in its id */
  unsigned level; /* 1 for the first group of its spec, and so on */
  bool legal;
  bool removed;
  bool keep_draining;
  bool outdated;     /* its version or adapters differ from the spec's */
  bool whole;        /* every member is present, ready and in the group; it
                        may have work in flight */
  unsigned absent;   /* members without a recent attestation */
  unsigned leaving;  /* members that are present and leaving */
  int64_t absent_ms; /* of the member that is absent longest */
};

struct work
{
  const struct placement_input *input;
  struct placement *placement;
  enum result result;
  struct work_host *hosts; /* sorted by id */
  size_t host_count;
  struct work_domain *domains; /* sorted by name */
  size_t domain_count;
  struct work_spec *specs; /* in sheet order */
  size_t spec_count;
  struct work_group *groups;
  size_t group_count;
  size_t group_capacity;
  unsigned *fill; /* fill[n]: most hosts of n that whole groups can use */
  size_t fill_count;
  unsigned fetching;   /* loads in progress or decided that fetch weights */
  uint64_t generation; /* of groups changed in this round */
  size_t decision_capacity;
};

enum result work_init (struct work *work,
                       struct placement *placement,
                       const struct placement_input *input);
void work_finish (struct work *work);

struct work_host *work_find_host (const struct work *work, const char *id);

/* True if the spec may use this host at all. */
bool work_permits (const struct work_spec *spec, const struct fleet_host *host);

/* True if the host may join a group of the spec now. */
bool work_is_free (const struct work *work,
                   const struct work_spec *spec,
                   const struct work_host *host);
unsigned work_count_free (const struct work *work,
                          const struct work_spec *spec,
                          unsigned domain);
bool work_has_weights (const struct work *work,
                       const struct work_spec *spec,
                       const struct work_host *host);

/* Time until a load is done if fetches more hosts fetch weights, in ms. */
double work_load_ms (const struct work *work, unsigned fetches);

void work_take (struct work *work, const struct work_group *group, bool taken);

/* Removes the group from the wanted assignment and frees its hosts. */
void work_remove (struct work *work, struct work_group *group);

/* Gives the group its spec's contents and a new generation. */
void work_renew (struct work *work, struct work_group *group);

/*
 * True when a group may be changed without cutting off work.  Otherwise the
 * group is marked as draining, with a decision that says why.
 */
bool
work_drained (struct work *work, struct work_group *group, const char *reason);

/*
 * Picks free hosts of the domain for the group's ranks from rank first on,
 * those with the weights before others.  fetches counts the others.
 */
bool work_pick (struct work *work,
                struct work_group *group,
                unsigned domain,
                const bool *wanted_ranks,
                unsigned *fetches);

/*
 * Keeps up to count free hosts of the domain for a group that first finishes
 * its work, so that nothing else takes them in this round.
 */
void work_reserve (struct work *work,
                   const struct work_spec *spec,
                   unsigned domain,
                   unsigned count);

/* A decision to fill in further; NULL on no memory. */
struct placement_decision *work_decide (struct work *work,
                                        enum placement_step step,
                                        bool changes,
                                        const struct work_spec *spec,
                                        const struct work_group *group,
                                        const char *format,
                                        ...)
    __attribute__ ((format (printf, 6, 7)));
void work_reject (struct placement_decision *decision, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/*
 * The best domain for a new group of the spec: index, or -1 when none has
 * room.  time_ms is that until the group serves; room is the number of free
 * hosts in the domain that has the most.
 */
int work_choose_domain (const struct work *work,
                        const struct work_spec *spec,
                        double *time_ms,
                        unsigned *room);

/* Forms a group; NULL on no memory. */
struct work_group *
work_form (struct work *work, struct work_spec *spec, unsigned domain);

void work_remove_unwanted (struct work *work);
void work_update (struct work *work);
void work_report_unplaced (struct work *work);

/* Repairs the groups of one level; forms the missing groups up to it. */
void work_repair (struct work *work, unsigned level);
void work_form_missing (struct work *work, unsigned level);

#endif
