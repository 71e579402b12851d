#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

#include "hash.h"
#include "result.h"
#include "uuid.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

/*
 * At-most-once execution by claims in the platform's object service.
 *
 * Decisions only: the table takes events (a call to claim, the answer of a
 * read or write, time) and gives actions (read or write a shard object, tell
 * the owner of a call how its claim went).  claim-io.h of package gateway
 * performs them.
 *
 * A claim lives in object claims/BUCKET/SHARD, where the bucket follows from
 * the time in the idempotency key, so that every repeat finds the same object
 * through any entry host.  Shard and bucket sizes are part of the stored
 * format: changing them needs another object prefix.
 */

#define CLAIM_BUCKET_MS 60000
#define CLAIM_SHARDS 16
#define CLAIM_RETENTION_MS (24 * 3600 * INT64_C (1000))
#define CLAIM_DELETE_MARGIN_MS (3600 * INT64_C (1000))
#define CLAIM_FUTURE_MS 60000    /* a key may be this far ahead of our clock */
#define CLAIM_SKEW_MS 30000      /* largest clock difference to the platform */
#define CLAIM_INLINE_LIMIT 16384 /* bytes of an answer kept in the record */
#define CLAIM_OBJECT_SIZE 64     /* "claims/BUCKET/SHARD" */

enum claim_state
{
  CLAIM_CLAIMED, /* may be running */
  CLAIM_DONE,    /* ran; the answer is kept */
  CLAIM_NOT_RUN, /* certainly did not run: may be claimed again */
  CLAIM_UNKNOWN, /* the endpoint failed after it was sent */
};

/* The stored answer of a finished call. */
struct claim_answer
{
  int status; /* HTTP status */
  char content_type[64];
  char *body; /* malloc'd; owned by the record */
  size_t body_size;
};

struct claim_record
{
  char key[HASH_HEX_SIZE];         /* hash of customer, service and key */
  char fingerprint[HASH_HEX_SIZE]; /* of method, path and body */
  char token[UUID_SIZE];           /* unique per claim attempt */
  char host[64];                   /* entry host that claimed */
  enum claim_state state;
  struct claim_answer answer;
  UT_hash_handle hh;
};

/*
 * Checks the key's form and age against the wall clock:
 * IDEMPOTENCY_KEY_REQUIRED, _EXPIRED, _FUTURE, CLOCK_SKEW or RESULT_OK with
 * the object's name and the hashed key.
 */
enum result claim_locate (const char *customer,
                          const char *service,
                          const char *idempotency_key,
                          int64_t wall_ms,
                          int64_t clock_skew_ms,
                          char object[CLAIM_OBJECT_SIZE],
                          char key[HASH_HEX_SIZE]);

/* How a claim attempt ended. */
enum claim_verdict
{
  CLAIM_VERDICT_GRANTED, /* this entry host may run the call, once */
  CLAIM_VERDICT_REPLAY,  /* it ran; the record holds the answer */
  CLAIM_VERDICT_REFUSED, /* see the result code */
};

/* One call that wants a claim; intrusive, memory of the caller. */
struct claim_call
{
  char object[CLAIM_OBJECT_SIZE];
  char key[HASH_HEX_SIZE];
  char fingerprint[HASH_HEX_SIZE];
  char token[UUID_SIZE];
  int64_t deadline_ms; /* give up waiting for the platform at this time */
  /*
   * Called exactly once per claim_submit.  record is borrowed and NULL unless
   * the verdict is CLAIM_VERDICT_REPLAY.
   */
  void (*decided) (void *context,
                   enum claim_verdict verdict,
                   enum result result,
                   const struct claim_record *record);
  void *context;

  /* Private to claim. */
  enum claim_state wanted;
  bool has_answer;
  struct claim_answer answer;
  void (*settled) (void *context, bool durable);
  TAILQ_ENTRY (claim_call) link;
};

#endif
