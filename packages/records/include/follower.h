#ifndef RECORDS_FOLLOWER_H
#define RECORDS_FOLLOWER_H

#include "records.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Follows all records of one kind: lists them, then watches for changes.  It
 * lists them again when the store has dropped the history after the last known
 * revision, and when the response to the watch cannot be used: since a watch
 * returns all changes since that revision, the same response, or a longer one,
 * would come again.
 */

struct follower_hooks
{
  void *context;
  /* Called for each record of a list and each changed or deleted record. */
  void (*record) (void *context, const struct records_record *record);
  /*
   * Called before the first and after the last record of a list; records that
   * are not in the list were deleted.  May be NULL.
   */
  void (*list_begin) (void *context);
  void (*list_end) (void *context);
  /*
   * Called on the first success after a store failure; outage_ms is the time
   * since the first failure.  May be NULL.
   */
  void (*recovered) (void *context, int64_t outage_ms);
};

enum follower_state
{
  FOLLOWER_LISTING,
  FOLLOWER_WATCHING,
};

struct follower
{
  struct records *records;
  enum records_kind kind;
  const char *name; /* for the log */
  struct follower_hooks hooks;
  int wait_ms;          /* longest wait of one watch for a change */
  int call_interval_ms; /* least time between two calls, to batch changes */
  /* A response with a record whose value cannot be read is a failure. */
  bool needs_values;
  enum follower_state state;
  char *list_after;  /* last name of the previous page; NULL = first page */
  uint64_t revision; /* all changes up to it are known */
  uint64_t list_revision; /* becomes revision when the list is complete */
  bool has_full_list;     /* a complete list was read */
  unsigned list_skipped;  /* records skipped in the list being read */
  bool call_in_flight;
  /* Rises with each new list, and when a list is given up. */
  unsigned generation;
  /*
   * Responses in a row that arrived but could not be used; the present calls
   * make no progress.
   */
  unsigned unusable_responses;
  int64_t unusable_since_ms; /* 0 = the last response could be used */
  /* When a watch over the limit hid changes; 0 = no change is missing. */
  int64_t missed_since_ms;
  unsigned call_generation; /* in which the call was sent */
  int64_t sent_ms;          /* time of the last call */
  int64_t list_sent_ms;     /* time of the call for the first page */
  int64_t next_call_ms;     /* no call before this time */
  int64_t retry_delay_ms;   /* delay after the next failure */
  int64_t
      retry_delay_limit_ms; /* limit of that delay; may be set at any time */
  int64_t failing_since_ms; /* 0 = not failing */
  /* Current as of: all writes acknowledged before this time are known. */
  int64_t current_at_ms;
};

void follower_init (struct follower *follower,
                    struct records *records,
                    enum records_kind kind,
                    const char *name,
                    const struct follower_hooks *hooks,
                    int wait_ms,
                    int call_interval_ms);

void follower_finish (struct follower *follower);

/*
 * Skips the list and watches for changes after the revision: the owner already
 * knows all records up to it, current as of current_at_ms.
 */
void follower_resume (struct follower *follower,
                      uint64_t revision,
                      int64_t current_at_ms);

/*
 * Sets the least time between two calls.  It applies at once, also to the wait
 * after the last call.
 */
void follower_set_call_interval (struct follower *follower,
                                 int call_interval_ms);

/* Starts a new list; the response to a watch in flight is ignored. */
void follower_relist (struct follower *follower);

void follower_tick (struct follower *follower, int64_t now_ms);

#endif
