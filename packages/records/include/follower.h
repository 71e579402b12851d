#ifndef RECORDS_FOLLOWER_H
#define RECORDS_FOLLOWER_H

#include "records.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Keeps up with all records of one kind: lists them, watches for changes, and
 * lists again when the store has dropped its history.
 */

struct follower_hooks
{
  void *context;
  void (*record) (void *context, const struct records_record *record);
  /* Around a list; records that it does not hold are gone.  NULL = not told. */
  void (*list_begin) (void *context);
  void (*list_end) (void *context);
  /* The store answers again after a failure. */
  void (*regained) (void *context, int64_t away_ms);
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
  int wait_ms; /* of one watch */
  int pace_ms; /* least time between two calls; changes gather meanwhile */
  enum follower_state state;
  char after[128];        /* last name of the page before */
  uint64_t revision;      /* everything up to it is known */
  uint64_t list_revision; /* the same once the present list is complete */
  bool listed;            /* a whole list was read */
  bool asked;
  enum follower_state asked_in; /* state that the call was made in */
  int64_t sent_ms;
  int64_t list_sent_ms;
  int64_t next_ms;
  int64_t retry_ms;         /* wait after the next failure */
  int64_t retry_limit_ms;   /* the longest such wait; may be set at any time */
  int64_t failing_since_ms; /* 0 = not failing */
  /* Everything that was acknowledged before this moment is known. */
  int64_t proof_ms;
};

void follower_init (struct follower *follower,
                    struct records *records,
                    enum records_kind kind,
                    const char *name,
                    const struct follower_hooks *hooks,
                    int wait_ms,
                    int pace_ms);
/*
 * Goes on from records that are known from elsewhere: all up to the revision,
 * and current at proof_ms.
 */
void follower_resume (struct follower *follower,
                      uint64_t revision,
                      int64_t proof_ms);

/* The least time between two calls from now on, the present one included. */
void follower_set_pace (struct follower *follower, int pace_ms);

/* Lists anew, whatever call is under way. */
void follower_relist (struct follower *follower);

void follower_tick (struct follower *follower, int64_t now_ms);

#endif
