#ifndef GROUP_HISTORY_H
#define GROUP_HISTORY_H

#include "fleet.h"
#include "result.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * What one observer saw of the hosts of one data centre: losses, returns,
 * weights.  Kept in memory only.  A new lease holder starts with whatever it
 * observed itself; less history makes worse decisions, never forbidden ones.
 */

#define HISTORY_LOSSES 8   /* losses remembered per host */
#define HISTORY_WEIGHTS 4  /* model versions remembered per host */
#define HISTORY_BUCKETS 14 /* absences by duration, powers of two seconds */

struct history_settings
{
  int64_t blind_gap_ms;       /* 1000: a longer gap between observations means
                                 that the observer itself was paused */
  int64_t settle_ms;          /* 3000: wait after start or such a gap */
  unsigned outage_hosts;      /* 3: more lost hosts than this, or */
  double outage_share;        /* 1/3: this share of a domain, */
  int64_t outage_window_ms;   /* 10000: within this time */
  int64_t outage_hold_ms;     /* 20000: hold repair in the domain this long */
  unsigned flap_losses;       /* 3: this many losses */
  int64_t flap_window_ms;     /* 600000: within this time */
  int64_t flap_hold_ms;       /* 60000: first hold-off, doubles per loss */
  int64_t flap_hold_limit_ms; /* 3600000 */
};

void history_settings_init (struct history_settings *settings);

struct history_host
{
  char id[FLEET_NAME_SIZE];
  char domain[FLEET_NAME_SIZE];
  bool present;
  bool seen; /* it was present at least once */
  char boot_id[FLEET_NAME_SIZE];
  int64_t absent_since_ms;
  unsigned bucket;                   /* of the present absence */
  int64_t losses_ms[HISTORY_LOSSES]; /* newest first */
  unsigned loss_count;               /* entries of losses_ms */
  int64_t hold_until_ms;             /* flapping: not used for new groups */
  unsigned hold_steps;
  char weights[HISTORY_WEIGHTS][2 * FLEET_NAME_SIZE]; /* "model version" */
  unsigned weight_next;
  UT_hash_handle hh;
};

struct history_domain
{
  char name[FLEET_NAME_SIZE];
  unsigned hosts;
  unsigned recent; /* losses in the window, recounted on each observation */
  int64_t hold_until_ms;
  UT_hash_handle hh;
};

struct history_group
{
  char id[FLEET_NAME_SIZE];
  uint64_t generation;
  int64_t draining_since_ms;
  bool marked;
  UT_hash_handle hh;
};

struct history
{
  struct history_settings settings;
  char data_centre[FLEET_NAME_SIZE];
  struct history_host *hosts;
  struct history_domain *domains;
  struct history_group *draining; /* groups seen draining, and since when */
  int64_t observed_ms;
  int64_t ready_ms; /* absences are not believed before this moment */
  bool started;
  /*
   * Absences that reached each bucket, and those that ended in it; together
   * they estimate the rate of returns without bias from absences that last.
   * Bucket 0 ends at 1 s, bucket i at 2^i s.
   */
  double entered[HISTORY_BUCKETS];
  double returned[HISTORY_BUCKETS];
};

void history_init (struct history *history,
                   const struct history_settings *settings,
                   const char *data_centre);
void history_finish (struct history *history);

/* Call on every tick, before placement_compute. */
enum result history_observe (struct history *history,
                             const struct fleet *fleet,
                             int64_t now_ms);

/* False until the observer has had time to hear from every host. */
bool history_ready (const struct history *history, int64_t now_ms);

const struct history_host *history_find (const struct history *history,
                                         const char *id);
bool
history_held (const struct history *history, const char *host, int64_t now_ms);
bool history_domain_held (const struct history *history,
                          const char *name,
                          int64_t now_ms);

/*
 * True if the host is known to have the weights of this model version: it
 * attests or has attested them, idle or ready.  While it is loading, they are
 * not there yet.
 */
bool history_has_weights (const struct history *history,
                          const struct fleet_host *host,
                          const char *model,
                          const char *version);

/* How long the host has been absent; 0 if it is present. */
int64_t history_absent_ms (const struct history *history,
                           const char *id,
                           int64_t now_ms);

/*
 * Expected further time in ms until service, for a group that waits for a
 * host absent since absent_ms and gives up for an alternative that takes
 * alternative_ms: the least, over all times to give up, of the expected time,
 * from the distribution of absences seen so far.  At most alternative_ms;
 * equal to it when giving up now is best.
 */
double history_expected_wait (const struct history *history,
                              int64_t absent_ms,
                              double alternative_ms);

/* Since when the group has been seen draining; now_ms if it was not. */
int64_t history_draining_since (const struct history *history,
                                const char *id,
                                uint64_t generation,
                                int64_t now_ms);

#endif
