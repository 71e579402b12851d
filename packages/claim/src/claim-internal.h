#ifndef CLAIM_INTERNAL_H
#define CLAIM_INTERNAL_H

#include "claim.h"

#include <uthash.h>

enum claim_stage
{
  STAGE_CLAIM,        /* needs a record with its token */
  STAGE_FETCH,        /* replay: reads the object answers/TOKEN */
  STAGE_GRANTED,      /* the call may run */
  STAGE_STORE_ANSWER, /* writes the object answers/TOKEN */
  STAGE_SETTLE,       /* writes the outcome to its record */
  STAGE_CLEANUP,      /* refused: its claim must be written as not_run */
  STAGE_FINISHED,     /* only its callback is still to run */
};

/* One claim attempt, from claim_submit until nothing is left to write. */
struct claim_operation
{
  enum claim_stage stage;
  struct claim_call *call; /* NULL after the last callback of the call */
  struct claim_shard *shard;
  struct claim_blob *blob; /* in STAGE_FETCH and STAGE_STORE_ANSWER */
  char key[HASH_HEX_SIZE];
  char fingerprint[HASH_HEX_SIZE];
  char token[UUID_SIZE];
  int64_t started_ms;
  int64_t deadline_ms; /* when the callback that the call waits for is due */
  uint64_t min_refresh_count; /* a copy with a lower refresh_count is too old */

  enum claim_state outcome; /* in STAGE_STORE_ANSWER and STAGE_SETTLE */
  struct claim_answer answer;
  bool body_in_own_object;

  bool in_write; /* part of the write in flight */
  /*
   * A write with this claim may still take effect: its response was lost, and
   * its condition was lost_write_version.  Only a read of a later version
   * without the token shows that it never will.
   */
  bool has_lost_write;
  uint64_t lost_write_version;

  bool wants_write; /* its record belongs in the next write */

  bool has_queued_callback; /* the operation is in claim_table.callbacks */
  bool callback_is_settled; /* the callback is settled, not decided */
  enum claim_verdict verdict;
  enum result result;
  bool durable;
  json_t *replay; /* record of a replay; owned */

  TAILQ_ENTRY (claim_operation) shard_link;
  TAILQ_ENTRY (claim_operation) blob_link;
  TAILQ_ENTRY (claim_operation) callback_link;
  UT_hash_handle hh;
};

enum claim_transfer
{
  TRANSFER_NONE,
  TRANSFER_READ,
  TRANSFER_WRITE,
};

/* The cached copy of one object claims/BUCKET/SHARD, and its operations. */
struct claim_shard
{
  char object[CLAIM_OBJECT_SIZE];
  bool known;             /* records and version hold the last known content */
  uint64_t version;       /* 0 = the object does not exist */
  json_t *records;        /* object: key -> record */
  size_t size;            /* sum of claim_record_stored_size of the records */
  uint64_t refresh_count; /* reads and writes that updated the copy */
  int64_t refreshed_ms;

  enum claim_transfer transfer; /* in flight or queued as an action */
  json_t *written;              /* value of the write in flight */
  size_t written_size;

  int64_t not_before_ms; /* no new read or write before this time */
  unsigned failures;     /* failed transfers since the last successful one */
  unsigned conflicts;    /* since the last successful write */
  unsigned contended_writes_left; /* next writes that read first, see shard.c */
  int64_t used_ms;                /* last time with an operation */
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
  json_t *value;         /* of a write */
  int64_t not_before_ms; /* no new read or write before this time */
  unsigned failures;     /* failed transfers */
  TAILQ_HEAD (, claim_operation) operations;
  TAILQ_ENTRY (claim_blob) action_link;
  UT_hash_handle hh;
};

/* --- record.c --- */

/* Bytes counted for a record that stores this answer, or has this value. */
size_t claim_answer_stored_size (const struct claim_answer *answer);
size_t claim_record_stored_size (const json_t *value);
bool claim_state_decode (const json_t *value, enum claim_state *state);
json_t *claim_body_encode (const struct claim_answer *answer);
bool claim_body_decode (const json_t *value, struct claim_answer *answer);

/* --- operation.c --- */

struct claim_operation *claim_operation_find (const struct claim_table *table,
                                              const char *token);

/*
 * Each of these functions queues the decided callback.  A refused operation
 * starts a cleanup if its claim may have been written; an abandoned one always
 * does.
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

/* Ends an operation whose outcome is written, or can never be written. */
void claim_operation_end_settle (struct claim_table *table,
                                 struct claim_operation *operation,
                                 bool durable);

/* Removes the operation; it is freed after its callback has run. */
void claim_operation_finish (struct claim_table *table,
                             struct claim_operation *operation);

/* Runs the queued callbacks. */
void claim_run_callbacks (struct claim_table *table);

/* --- shard.c --- */

struct claim_shard *claim_shard_get (struct claim_table *table,
                                     const char *object);
void claim_shard_free (struct claim_table *table, struct claim_shard *shard);

/*
 * Advances all operations as far as the cached copy permits, then starts the
 * read or write that they need.
 */
void claim_shard_advance (struct claim_table *table,
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

/* Attaches the operation to the object answers/TOKEN, to read or write it. */
enum result claim_blob_fetch (struct claim_table *table,
                              struct claim_operation *operation,
                              const char *token);
enum result claim_blob_store (struct claim_table *table,
                              struct claim_operation *operation);

/* Detaches the operation from its object. */
void claim_blob_detach (struct claim_table *table,
                        struct claim_operation *operation);
void claim_blob_free (struct claim_table *table, struct claim_blob *blob);
void claim_blob_start_transfer (struct claim_table *table,
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

/* Delay in ms before the next attempt: exponential, with full jitter. */
int64_t claim_retry_delay (struct claim_table *table, unsigned failures);

#endif
