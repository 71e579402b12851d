#ifndef CLAIM_INTERNAL_H
#define CLAIM_INTERNAL_H

#include "claim.h"

#include <uthash.h>

enum claim_stage
{
  STAGE_CLAIM,        /* wants a record with its token */
  STAGE_FETCH,        /* a replay that reads its answer's object */
  STAGE_GRANTED,      /* the call may run */
  STAGE_STORE_ANSWER, /* writes its answer's object */
  STAGE_SETTLE,       /* writes the outcome into its record */
  STAGE_CLEANUP,      /* refused: its claim must become not_run */
  STAGE_FINISHED,     /* only a callback is left */
};

/* One claim attempt, from claim_submit until nothing is left to write. */
struct claim_operation
{
  enum claim_stage stage;
  struct claim_call *call; /* NULL once the caller has its last answer */
  struct claim_shard *shard;
  struct claim_blob *blob; /* in STAGE_FETCH and STAGE_STORE_ANSWER */
  char key[HASH_HEX_SIZE];
  char fingerprint[HASH_HEX_SIZE];
  char token[UUID_SIZE];
  int64_t started_ms;
  int64_t deadline_ms;     /* of the callback that the call waits for */
  uint64_t refresh_wanted; /* see claim_shard.refreshes */

  enum claim_state outcome; /* in STAGE_STORE_ANSWER and STAGE_SETTLE */
  struct claim_answer answer;
  bool body_elsewhere;

  bool in_write; /* part of the write in flight */
  /*
   * A write that holds this claim may still take effect: its answer was lost
   * and its condition was lost_version.  Only a read of a later version
   * without the token shows that it never will.
   */
  bool lost;
  uint64_t lost_version;

  bool wants_write;

  bool is_due;      /* a callback is queued */
  bool due_settled; /* it is settled, not decided */
  enum claim_verdict verdict;
  enum result result;
  bool durable;
  json_t *replay; /* record of a replay; owned */

  TAILQ_ENTRY (claim_operation) shard_link;
  TAILQ_ENTRY (claim_operation) blob_link;
  TAILQ_ENTRY (claim_operation) due_link;
  UT_hash_handle hh;
};

enum claim_transfer
{
  TRANSFER_NONE,
  TRANSFER_READ,
  TRANSFER_WRITE,
};

/* The cached copy of one object claims/BUCKET/SHARD, and work on it. */
struct claim_shard
{
  char object[CLAIM_OBJECT_SIZE];
  bool known;         /* records and version hold what was last seen */
  uint64_t version;   /* 0 = the object does not exist */
  json_t *records;    /* object: key -> record */
  size_t size;        /* room that the records use, see claim_record_room */
  uint64_t refreshes; /* times that the copy was seen to be current */
  int64_t refreshed_ms;

  enum claim_transfer transfer; /* in flight or queued as an action */
  json_t *written;              /* value of the write in flight */
  size_t written_size;

  int64_t retry_ms;    /* no new read or write before this time */
  unsigned failures;   /* since the platform last answered */
  unsigned conflicts;  /* since the last write that took effect */
  unsigned contention; /* writes left that read first, see shard.c */
  int64_t used_ms;
  TAILQ_HEAD (, claim_operation) operations;
  TAILQ_ENTRY (claim_shard) action_link;
  UT_hash_handle hh;
};

/* An object answers/TOKEN that is being read or written. */
struct claim_blob
{
  char object[CLAIM_OBJECT_SIZE];
  enum claim_transfer wanted;
  bool in_flight;
  json_t *value; /* of a write */
  int64_t retry_ms;
  unsigned failures;
  TAILQ_HEAD (, claim_operation) operations;
  TAILQ_ENTRY (claim_blob) action_link;
  UT_hash_handle hh;
};

/* --- record.c --- */

/* Room of a record with this answer kept in it. */
size_t claim_answer_room (const struct claim_answer *answer);
size_t claim_record_room (const json_t *value);
bool claim_state_read (const json_t *value, enum claim_state *state);
json_t *claim_body_encode (const struct claim_answer *answer);
bool claim_body_decode (const json_t *value, struct claim_answer *answer);

/* --- operation.c --- */

struct claim_operation *claim_operation_find (const struct claim_table *table,
                                              const char *token);

/*
 * These queue the callback of a claim.  Refusing starts a cleanup when the
 * claim may have been written; abandoning always does.
 */
void claim_operation_grant (struct claim_table *table,
                            struct claim_operation *operation);
void claim_operation_replay (struct claim_table *table,
                             struct claim_operation *operation,
                             json_t *record);
void claim_operation_refuse (struct claim_table *table,
                             struct claim_operation *operation,
                             enum result result);

void claim_operation_abandon (struct claim_table *table,
                              struct claim_operation *operation);

/* The outcome is written, or can never be. */
void claim_operation_settled (struct claim_table *table,
                              struct claim_operation *operation,
                              bool durable);

/* Removes the operation; frees it once its callback ran. */
void claim_operation_finish (struct claim_table *table,
                             struct claim_operation *operation);

/* Runs the queued callbacks. */
void claim_deliver (struct claim_table *table);

/* --- shard.c --- */

struct claim_shard *claim_shard_get (struct claim_table *table,
                                     const char *object);
void claim_shard_free (struct claim_table *table, struct claim_shard *shard);

/* Decides what the cached copy allows and starts a read or write. */
void claim_shard_step (struct claim_table *table,
                       struct claim_shard *shard,
                       int64_t now_ms);
void claim_shard_read_done (struct claim_table *table,
                            struct claim_shard *shard,
                            enum result result,
                            uint64_t version,
                            json_t *value,
                            int64_t now_ms);
void claim_shard_write_done (struct claim_table *table,
                             struct claim_shard *shard,
                             enum result result,
                             uint64_t version,
                             int64_t now_ms);

/* --- blob.c --- */

/* Makes the operation wait for the object answers/TOKEN. */
enum result claim_blob_fetch (struct claim_table *table,
                              struct claim_operation *operation,
                              const char *token);
enum result claim_blob_store (struct claim_table *table,
                              struct claim_operation *operation);

/* Takes the operation off its object. */
void claim_blob_leave (struct claim_table *table,
                       struct claim_operation *operation);
void claim_blob_free (struct claim_table *table, struct claim_blob *blob);
void claim_blob_step (struct claim_table *table,
                      struct claim_blob *blob,
                      int64_t now_ms);
void claim_blob_read_done (struct claim_table *table,
                           struct claim_blob *blob,
                           enum result result,
                           const json_t *value,
                           int64_t now_ms);
void claim_blob_write_done (struct claim_table *table,
                            struct claim_blob *blob,
                            enum result result,
                            int64_t now_ms);

/* Delay before the next attempt: exponential, with full jitter. */
int64_t claim_retry_delay (struct claim_table *table, unsigned failures);

#endif
