#ifndef GROUP_HISTORY_H
#define GROUP_HISTORY_H

#include "fleet.h"
#include "result.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * What one observer has seen of the hosts of one data centre: failures, returns
 * and weights.  Kept in memory only.  A new lease holder starts with what it
 * observed itself; less history makes decisions worse, but never breaks a rule.
 */

#define HISTORY_FAILURE_LIMIT 8       /* most recent failures kept per host */
#define HISTORY_MODEL_VERSION_LIMIT 4 /* model versions kept per host */
/* classes of absences by duration, in powers of two seconds */
#define HISTORY_ABSENCE_BUCKETS 14

struct history_settings
{
  /* 1000: a longer time between two observations means that the observer itself
     was paused */
  int64_t observation_gap_limit_ms;
  /* 3000: absences are ignored for this time after the start or a pause of the
     observer */
  int64_t settle_ms;
  /* A domain has an outage when, within outage_window_ms, more hosts than
     outage_hosts fail, or at least two hosts and outage_share of its hosts. */
  unsigned outage_hosts;    /* 3 */
  double outage_share;      /* 1/3 */
  int64_t outage_window_ms; /* 10000 */
  int64_t outage_hold_ms;   /* 20000: no repair in the domain for this time */
  /* A host flaps when it fails flap_failures times within flap_window_ms. */
  unsigned flap_failures;     /* 3 */
  int64_t flap_window_ms;     /* 600000 */
  int64_t flap_hold_ms;       /* 60000: first hold-off, doubles per return */
  int64_t flap_hold_limit_ms; /* 3600000: longest hold-off */
};

void history_settings_init (struct history_settings *settings);

struct history_host
{
  char id[FLEET_NAME_SIZE];
  char domain[FLEET_NAME_SIZE];
  bool present;
  bool was_present; /* at least once */
  char boot_id[FLEET_NAME_SIZE];
  int64_t absent_since_ms;
  unsigned bucket; /* duration class of the current absence */
  int64_t failures_ms[HISTORY_FAILURE_LIMIT]; /* newest first */
  unsigned failure_count;                     /* entries in failures_ms */
  int64_t hold_until_ms; /* while flapping: joins no group before this moment */
  unsigned hold_doublings; /* returns while flapping */
  /* "MODEL VERSION" of weights that the host attested */
  char weights[HISTORY_MODEL_VERSION_LIMIT][2 * FLEET_NAME_SIZE];
  unsigned next_weight_slot;
  UT_hash_handle hh;
};

struct history_domain
{
  char name[FLEET_NAME_SIZE];
  unsigned host_count;
  /* hosts that failed within outage_window_ms and are still absent; recounted
     on each observation */
  unsigned recent_failures;
  int64_t hold_until_ms;
  UT_hash_handle hh;
};

struct history_draining_group
{
  char id[FLEET_NAME_SIZE];
  uint64_t generation;
  int64_t draining_since_ms; /* first observation; 0 = not draining */
  bool is_draining;          /* in the latest observation */
  UT_hash_handle hh;
};

struct history
{
  struct history_settings settings;
  char data_centre[FLEET_NAME_SIZE];
  struct history_host *hosts;
  struct history_domain *domains;
  struct history_draining_group *draining; /* groups that were seen draining */
  int64_t last_observed_ms;
  int64_t ready_ms;  /* absences are ignored before this moment */
  bool has_observed; /* at least one observation was made */
  /*
   * Absences that reached each bucket and absences that ended in it.  Their
   * ratio estimates the rate of returns; absences that still last do not bias
   * it.  Bucket 0 ends at 1 s, bucket i at 2^i s.
   */
  double bucket_entries[HISTORY_ABSENCE_BUCKETS];
  double bucket_returns[HISTORY_ABSENCE_BUCKETS];
};

void history_init (struct history *history,
                   const struct history_settings *settings,
                   const char *data_centre);
void history_finish (struct history *history);

/* Call on every tick, before placement_compute. */
enum result history_observe (struct history *history,
                             const struct fleet *fleet,
                             int64_t now_ms);

/* False until the observer has had time to receive from every host. */
bool history_is_ready (const struct history *history, int64_t now_ms);

/* NULL for a host that was never observed. */
const struct history_host *history_find_host (const struct history *history,
                                              const char *id);
/* True while a flapping host may not join a group. */
bool history_host_is_held (const struct history *history,
                           const char *id,
                           int64_t now_ms);
/* True while repair in the domain waits after an outage. */
bool history_domain_is_held (const struct history *history,
                             const char *name,
                             int64_t now_ms);

/*
 * True if the host has the weights of this model version: it attests them, or
 * attested them before, while idle or ready.  While the host is loading, the
 * weights are not complete yet.
 */
bool history_has_weights (const struct history *history,
                          const struct fleet_host *host,
                          const char *model,
                          const char *version);

/*
 * Time in ms that the host has been absent; 0 if it is present.  For a host
 * that was never observed: the time since the observer was ready.
 */
int64_t history_absent_ms (const struct history *history,
                           const char *id,
                           int64_t now_ms);

/*
 * Expected further time in ms until a group serves that waits for a host which
 * has been absent for absent_ms.  When the group stops waiting, it takes an
 * alternative that needs alternative_ms.  The result is the lowest expected
 * time over all moments to stop waiting, from the distribution of absences seen
 * so far.  At most alternative_ms; equal to it when stopping now is best.
 */
double history_expected_wait (const struct history *history,
                              int64_t absent_ms,
                              double alternative_ms);

/* When the group was first seen draining; now_ms if it was not. */
int64_t history_draining_since (const struct history *history,
                                const char *id,
                                uint64_t generation,
                                int64_t now_ms);

#endif
