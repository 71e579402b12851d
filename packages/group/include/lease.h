#ifndef GROUP_LEASE_H
#define GROUP_LEASE_H

#include "result.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The lease of one data centre (platform object lease/DC) as a state machine.
 *
 * All times are in milliseconds on one monotonic clock that counts suspension
 * (CLOCK_BOOTTIME in the daemon).  Clocks of two candidates are never
 * compared.  One request is in flight at a time: the caller carries out the
 * action that lease_tick returns and reports its result with lease_on_read or
 * lease_on_write, a timeout included (RESULT_PLATFORM_LOST_ANSWER).
 *
 * Nothing deletes the object, so a missing object was never created, and
 * the first candidate creates it without waiting.
 *
 * Safety: the holder acts until ttl - margin after the time that it read before
 * it sent its last successful write.  A candidate writes only at a version that
 * it has seen unchanged for ttl + takeover_wait.  That time ends after the
 * holder has stopped, whatever the two clocks read, as long as their rates
 * differ by less than (margin + takeover_wait) / ttl.
 */

#define LEASE_NAME_SIZE 64

struct lease_settings
{
  int64_t ttl_ms;            /* 8000 */
  int64_t renew_interval_ms; /* 2000: interval of renewals */
  int64_t margin_ms; /* 2000: the holder stops this long before the ttl */
  int64_t
      takeover_wait_ms; /* 2000: a candidate waits this long after the ttl */
  int64_t stagger_ms;   /* 1000: extra wait per rank of a candidate */
  int64_t poll_interval_ms; /* 2000: read interval of the first candidates */
  int64_t slow_poll_interval_ms; /* 10000: read interval of other candidates */
  unsigned poll_ranks;           /* 3: candidates with the shorter interval */
  int64_t retry_delay_ms;        /* 500: wait after a failed request */
};

void lease_settings_init (struct lease_settings *settings);

/* The platform object.  An empty holder means that it was released. */
struct lease_value
{
  char holder[LEASE_NAME_SIZE];
  uint64_t fence; /* fencing token, rises with each takeover */
  uint64_t ttl_ms;
  uint64_t seq; /* rises with each write; distinguishes two writes of one
                   holder */
};

/* Returns a new reference; NULL if memory is short. */
json_t *lease_value_to_json (const struct lease_value *value);
/* RESULT_PLATFORM_BAD_ANSWER if a member is missing or of the wrong type. */
enum result lease_value_from_json (struct lease_value *value,
                                   const json_t *json);

enum lease_action_kind
{
  LEASE_NO_ACTION,
  LEASE_READ,  /* GET lease/DC */
  LEASE_WRITE, /* PUT value at version; version 0 = If-None-Match: * */
};

struct lease_action
{
  enum lease_action_kind kind;
  struct lease_value value;
  uint64_t version;
};

enum lease_phase
{
  LEASE_FOLLOWING,
  LEASE_HOLDING, /* the last known value names this candidate */
  LEASE_RELEASED /* shut down; no further action */
};

struct lease
{
  struct lease_settings settings;
  char self[LEASE_NAME_SIZE];
  unsigned rank;
  enum lease_phase phase;
  bool releasing;
  struct lease_value value; /* last known */
  uint64_t version;         /* of value; 0 = the object does not exist */
  bool was_read;            /* the object was read or watched at least once */
  int64_t version_first_seen_ms; /* when this version was first seen */
  int64_t valid_until_ms;        /* the holder may act before this moment */
  uint64_t fence_floor;          /* highest token seen in the assignment */
  enum lease_action_kind request_in_flight; /* LEASE_NO_ACTION = none */
  struct lease_value last_sent; /* last value written, for the read-back */
  int64_t last_sent_ms;
  /* the last write had a conflict, or its response was lost */
  bool needs_read_back;
  uint64_t known_at_read; /* version known when the last read was requested */
  /*
   * The platform was restored from a copy, and nobody is known to have written
   * the lease since.  A holder of before may still act.
   */
  bool is_copy;
  /* Until this time only this candidate can have held the lease before. */
  int64_t reclaim_until_ms;
  uint64_t reclaim_fence;
  int64_t next_request_ms; /* time of the next renewal or read */
  int64_t not_before_ms;   /* no request before this moment */
};

/*
 * self names this run of the process (host name and boot id): a restarted
 * process must not mistake the lease of its predecessor for its own.
 */
void lease_init (struct lease *lease,
                 const struct lease_settings *settings,
                 const char *self,
                 unsigned rank);

/*
 * Rank among the live candidates of the data centre, 0 first; see
 * lease_rank.  May change at any time; it only delays a takeover.
 */
void lease_set_rank (struct lease *lease, unsigned rank);

/* Rendezvous rank of self among count names for the data centre. */
unsigned lease_rank (const char *self,
                     const char *const *names,
                     unsigned count,
                     const char *data_centre);

/*
 * Reports a fencing token seen in the assignment: a takeover uses a higher
 * token even if the lease object was lost.
 */
void lease_observe_fence (struct lease *lease, uint64_t fence);

/*
 * Reports a fencing token under which a group was formed, as an endpoint tells.
 * One far above all known ones is ignored: entries may be malformed.
 */
void lease_observe_reported_fence (struct lease *lease, uint64_t fence);

/*
 * The platform was restored from a copy: versions have gone back, and the lease
 * may be an older one or missing.  The last holder writes it again under its
 * token, if nobody else can have acquired the lease meanwhile; all others wait
 * as for a lease that was just renewed, and use a higher token.  A read that
 * shows an older version than was known when it was requested has the same
 * effect.
 */
void lease_on_restore (struct lease *lease);

/* Returns the next action.  LEASE_NO_ACTION while a request is in flight. */
struct lease_action lease_tick (struct lease *lease, int64_t now_ms);

/*
 * Response to a read: RESULT_OK with value and version, or
 * RESULT_PLATFORM_NOT_FOUND, or another code for a failure.  value is ignored
 * unless the result is RESULT_OK.
 */
void lease_on_read (struct lease *lease,
                    enum result result,
                    const struct lease_value *value,
                    uint64_t version,
                    int64_t now_ms);

/* A watch delivered the object; may be called at any time. */
void lease_on_watch (struct lease *lease,
                     const struct lease_value *value,
                     uint64_t version,
                     int64_t now_ms);

/*
 * Response to a write: RESULT_OK with the new version,
 * RESULT_PLATFORM_CONFLICT, RESULT_PLATFORM_LOST_ANSWER or
 * RESULT_PLATFORM_BAD_ANSWER (read back), or a code that says that nothing was
 * written.
 */
void lease_on_write (struct lease *lease,
                     enum result result,
                     uint64_t version,
                     int64_t now_ms);

/*
 * True while this candidate may write the assignment and send orders.  Check
 * it immediately before each write and each order.
 */
bool lease_may_act (const struct lease *lease, int64_t now_ms);

/* Fencing token of the lease held; meaningful while lease_may_act. */
uint64_t lease_fence (const struct lease *lease);

/*
 * Releases the lease on shutdown: lease_may_act is false at once, and
 * lease_tick returns the write that lets another candidate take over without
 * waiting for the ttl.  Finished when phase is LEASE_RELEASED.
 */
void lease_release (struct lease *lease);

#endif
