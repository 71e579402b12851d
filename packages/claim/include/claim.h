#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

#include "hash.h"
#include "result.h"
#include "rng.h"
#include "uuid.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * At-most-once execution by claims in the platform's object service.
 *
 * This package makes decisions only: the table is given events (a call to
 * claim, the end of a read or write, time) and returns actions (read or write
 * an object).  claimio.h of package gateway performs them.
 *
 * A claim is stored in object claims/BUCKET/SHARD.  The bucket is derived from
 * the time in the idempotency key, so that every entry host finds the same
 * object for a repeated call.  Shard and bucket sizes are part of the stored
 * format: changing them needs another object prefix.
 *
 * The value of such an object is {"records":{KEY:{"fingerprint","token",
 * "host","state","status","content_type","body"|"body64"|"body_at"}}}, the
 * last four only in state done.  "body_at" names the object that holds a
 * large answer, answers/TOKEN, {"body"|"body64"}.
 */

#define CLAIM_BUCKET_MS INT64_C (60000)
#define CLAIM_SHARDS 256
#define CLAIM_RETENTION_MS (INT64_C (24) * 3600 * 1000)
#define CLAIM_DELETE_MARGIN_MS (INT64_C (3600) * 1000)
/* How far the time in a key may be ahead of our clock. */
#define CLAIM_KEY_FUTURE_LIMIT_MS INT64_C (60000)
/* Largest clock difference to the platform. */
#define CLAIM_CLOCK_SKEW_LIMIT_MS INT64_C (30000)
/* Largest answer body that is stored in the record itself. */
#define CLAIM_INLINE_BODY_LIMIT_BYTES 16384
/* "claims/BUCKET/SHARD", "answers/TOKEN" */
#define CLAIM_OBJECT_SIZE 64
/* Longest time that a caller waits for its outcome to become durable. */
#define CLAIM_SETTLE_WAIT_MS INT64_C (500)

/* A shard of this size accepts no new claims; objects are limited to 1 MB. */
#define CLAIM_SHARD_LIMIT_BYTES 1000000
/* Size reserved for each record with its outcome, but without its body. */
#define CLAIM_RECORD_RESERVED_BYTES 512
/*
 * Answers are stored in the records up to this size of the shard and in
 * objects of their own beyond it, so that they leave space for new claims.
 */
#define CLAIM_SHARD_INLINE_LIMIT_BYTES 500000
/* Maximum number of operations of one table: calls and background work. */
#define CLAIM_OPERATION_LIMIT 20000
/* A shard without operations is dropped from the cache after this time. */
#define CLAIM_CACHE_IDLE_TIMEOUT_MS INT64_C (10000)

enum claim_state
{
  CLAIM_CLAIMED, /* may be running */
  CLAIM_DONE,    /* ran; the answer is stored */
  CLAIM_NOT_RUN, /* certainly did not run: may be claimed again */
  CLAIM_UNKNOWN, /* the endpoint failed after the call was sent */
};

/* The stored answer of a finished call. */
struct claim_answer
{
  int status;         /* HTTP status */
  char *content_type; /* malloc'd; NULL = none */
  char *body;         /* malloc'd; NULL when empty */
  size_t body_size;
};

void claim_answer_finish (struct claim_answer *answer);

struct claim_record
{
  char key[HASH_HEX_SIZE];         /* hash of customer, service and key */
  char fingerprint[HASH_HEX_SIZE]; /* of method, path and body */
  char token[UUID_SIZE];           /* unique per claim attempt */
  char host[64];                   /* entry host that made the claim */
  enum claim_state state;
  struct claim_answer answer; /* owned; empty unless state is CLAIM_DONE */
  bool body_in_own_object;    /* the body is in object answers/TOKEN */
};

/*
 * Checks the key's form and age against the wall clock:
 * IDEMPOTENCY_KEY_REQUIRED, _EXPIRED, _FUTURE, CLOCK_SKEW or RESULT_OK with
 * the object's name and the hashed key.  idempotency_key may be NULL.
 */
enum result claim_locate (const char *customer,
                          const char *service,
                          const char *idempotency_key,
                          int64_t wall_ms,
                          int64_t clock_skew_ms,
                          char object[CLAIM_OBJECT_SIZE],
                          char key[HASH_HEX_SIZE]);

/*
 * True if an object with prefix "claims/" or "answers/" is older than the
 * retention and the margin, so that it may be deleted.  False for other names.
 */
bool claim_object_is_expired (const char *object, int64_t wall_ms);

/*
 * The latest bucket whose objects may be deleted; -1 = none.  Their prefix is
 * "claims/BUCKET/".
 */
int64_t claim_latest_expired_bucket (int64_t wall_ms);

/*
 * Codec of one record.  Decoding fails with RESULT_INVALID and then leaves
 * the record empty.  Encoding returns NULL if memory is short.
 */
json_t *claim_record_encode (const struct claim_record *record);
enum result claim_record_decode (struct claim_record *record,
                                 const char *key,
                                 const json_t *value);
void claim_record_finish (struct claim_record *record);

/* How a claim attempt ended. */
enum claim_verdict
{
  CLAIM_VERDICT_GRANTED, /* this entry host may run the call, once */
  CLAIM_VERDICT_REPLAY,  /* the call ran; the record holds the answer */
  CLAIM_VERDICT_REFUSED, /* the result code says why */
};

struct claim_operation; /* see claim-internal.h */

/*
 * One call that needs a claim.  The caller owns the memory and keeps it from
 * claim_submit until decided reports a verdict other than GRANTED, or until
 * settled is called.
 */
struct claim_call
{
  char object[CLAIM_OBJECT_SIZE]; /* from claim_locate */
  char key[HASH_HEX_SIZE];        /* from claim_locate */
  char fingerprint[HASH_HEX_SIZE];
  char token[UUID_SIZE]; /* new for each claim_submit, from uuid_generate */
  int64_t deadline_ms;   /* stop waiting for the platform at this time */
  /*
   * Called exactly once per claim_submit, possibly before it returns.
   * record is borrowed and NULL unless the verdict is CLAIM_VERDICT_REPLAY.
   * Refusals: IDEMPOTENCY_KEY_REUSED, CLAIM_IN_PROGRESS, CLAIM_UNAVAILABLE,
   * NO_MEMORY, INVALID (a token used twice).
   */
  void (*decided) (void *context,
                   enum claim_verdict verdict,
                   enum result result,
                   const struct claim_record *record);
  /* Called exactly once per claim_settle, possibly before it returns. */
  void (*settled) (void *context, bool durable);
  void *context;

  struct claim_operation *operation; /* private */
};

enum claim_action_kind
{
  CLAIM_ACTION_READ,
  CLAIM_ACTION_WRITE,
};

/*
 * What the owner of the table has to perform.  Valid until claim_read_done or
 * claim_write_done ends it.
 */
struct claim_action
{
  enum claim_action_kind kind;
  const char *object;
  uint64_t version;    /* condition of a write; 0 = must not exist */
  const json_t *value; /* of a write */
};

struct claim_shard;
struct claim_blob;

/* Counters since claim_table_init. */
struct claim_counts
{
  uint64_t reads;
  uint64_t writes;
  uint64_t conflicts;
  uint64_t lost_responses; /* of writes, which may have taken effect */
  uint64_t granted;
  uint64_t replayed;
  uint64_t refused;
  uint64_t late_settles; /* not durable within CLAIM_SETTLE_WAIT_MS */
  uint64_t cleaned;      /* claims of refused calls that were cleaned up */
};

/* The claims of one entry host.  Times are those of one monotonic clock. */
struct claim_table
{
  char host[64];
  struct rng rng; /* for the jitter of retries */
  struct claim_counts counts;

  /* Private to claim. */
  struct claim_shard *shards;         /* hash table by object name */
  struct claim_blob *blobs;           /* hash table by object name */
  struct claim_operation *operations; /* hash table by token */
  size_t operation_count;
  TAILQ_HEAD (, claim_operation) callbacks; /* with a queued callback */
  TAILQ_HEAD (, claim_shard) shard_actions;
  TAILQ_HEAD (, claim_blob) blob_actions;
  bool is_running_callbacks;
};

void
claim_table_init (struct claim_table *table, const char *host, uint64_t seed);

/*
 * Refuses the calls that are not decided yet, and reports to the calls that
 * wait for their outcome that it is not durable.
 */
void claim_table_finish (struct claim_table *table);

void claim_submit (struct claim_table *table,
                   struct claim_call *call,
                   int64_t now_ms);

/*
 * Records how a granted call ended; state is DONE, NOT_RUN or UNKNOWN.  Takes
 * ownership of answer->body; answer is NULL unless the state is DONE.  The
 * state of an answer too large for one object is recorded as UNKNOWN.  The
 * table keeps trying to write the outcome after it reported it as not durable.
 */
void claim_settle (struct claim_table *table,
                   struct claim_call *call,
                   enum claim_state state,
                   struct claim_answer *answer,
                   int64_t now_ms);

/* Gets the next action to perform; false if there is none now. */
bool claim_next_action (struct claim_table *table, struct claim_action *action);

/*
 * Report the end of an action, with the result codes of platform.h.  value is
 * the content of the object.
 */
void claim_read_done (struct claim_table *table,
                      const char *object,
                      enum result result,
                      uint64_t version,
                      json_t *value,
                      int64_t now_ms);
void claim_write_done (struct claim_table *table,
                       const char *object,
                       enum result result,
                       uint64_t version,
                       int64_t now_ms);

/* Handles deadlines, retries and unused cache entries; call every tick. */
void claim_tick (struct claim_table *table, int64_t now_ms);

/* Number of claims and outcomes that a stop must wait for until written. */
size_t claim_unwritten_count (const struct claim_table *table);

#endif
