#include "claim-internal.h"

#include "jsonutil.h"

#include <stdlib.h>
#include <string.h>

/*
 * A conflict shows that other entry hosts write this shard too.  Before each of
 * the next CONTENDED_WRITE_COUNT writes the shard is read, unless the cached
 * copy is at most FRESH_COPY_AGE_MS old: a read costs the platform less than a
 * failed write.
 */
#define CONTENDED_WRITE_COUNT 8
#define FRESH_COPY_AGE_MS 5

#define RETRY_BASE_MS 20
#define RETRY_LIMIT_MS 1000
#define CONFLICT_DELAY_LIMIT_MS 64

/* What an operation needs before it can continue. */
enum transfer_need
{
  NEED_NOTHING,
  NEED_READ,
  NEED_WRITE,
};

/* The fields of a stored record that decisions depend on. */
struct stored_claim
{
  char fingerprint[HASH_HEX_SIZE];
  char token[UUID_SIZE];
  enum claim_state state;
};

int64_t
claim_retry_delay (struct claim_table *table, unsigned failures)
{
  int64_t limit = RETRY_LIMIT_MS;

  if (failures < 6 && RETRY_BASE_MS << failures < RETRY_LIMIT_MS)
    limit = RETRY_BASE_MS << failures;
  return 1 + (int64_t)rng_below (&table->rng, (uint64_t)limit);
}

struct claim_shard *
claim_shard_get (struct claim_table *table, const char *object)
{
  struct claim_shard *shard;

  HASH_FIND_STR (table->shards, object, shard);
  if (shard != NULL)
    return shard;
  shard = calloc (1, sizeof *shard);
  if (shard == NULL)
    return NULL;
  strncpy (shard->object, object, sizeof shard->object - 1);
  TAILQ_INIT (&shard->operations);
  HASH_ADD_STR (table->shards, object, shard);
  return shard;
}

void
claim_shard_free (struct claim_table *table, struct claim_shard *shard)
{
  HASH_DEL (table->shards, shard);
  json_decref (shard->records);
  json_decref (shard->written);
  free (shard);
}

static bool
decode_stored_claim (const json_t *value, struct stored_claim *stored)
{
  return json_read_string (value, "fingerprint", stored->fingerprint,
                           sizeof stored->fingerprint)
         && json_read_string (value, "token", stored->token,
                              sizeof stored->token)
         && claim_state_decode (value, &stored->state);
}

static enum transfer_need
replay_record (struct claim_table *table,
               struct claim_operation *operation,
               json_t *value,
               const char *token,
               int64_t now_ms)
{
  if (json_object_get (value, "body_at") == NULL)
    {
      claim_operation_replay (table, operation, value);
      return NEED_NOTHING;
    }
  if (claim_blob_fetch (table, operation, token) != RESULT_OK)
    {
      claim_operation_refuse (table, operation, RESULT_CLAIM_IN_PROGRESS);
      return NEED_NOTHING;
    }
  operation->replay = json_incref (value);
  claim_blob_start_transfer (table, operation->blob, now_ms);
  return NEED_NOTHING;
}

/* Handles a key whose record is in state claimed with another token. */
static enum transfer_need
wait_or_refuse (struct claim_table *table,
                struct claim_operation *operation,
                const char *token)
{
  const struct claim_operation *other = claim_operation_find (table, token);

  /* The other claim will become not_run; then this one may be written. */
  if (other != NULL && other->stage == STAGE_CLEANUP)
    return NEED_NOTHING;
  /* The cached copy may be older than the other host's outcome. */
  if (other == NULL
      && operation->shard->refresh_count < operation->min_refresh_count)
    return NEED_READ;
  claim_operation_refuse (table, operation, RESULT_CLAIM_IN_PROGRESS);
  return NEED_NOTHING;
}

static enum transfer_need
evaluate_claim (struct claim_table *table,
                struct claim_operation *operation,
                int64_t now_ms)
{
  json_t *value = json_object_get (operation->shard->records, operation->key);
  struct stored_claim stored;

  if (value == NULL)
    return NEED_WRITE;
  if (!decode_stored_claim (value, &stored))
    {
      claim_operation_refuse (table, operation, RESULT_CLAIM_IN_PROGRESS);
      return NEED_NOTHING;
    }
  if (strcmp (stored.token, operation->token) == 0)
    {
      if (stored.state != CLAIM_CLAIMED)
        {
          claim_operation_refuse (table, operation, RESULT_CLAIM_IN_PROGRESS);
          return NEED_NOTHING;
        }
      if (now_ms <= operation->deadline_ms)
        {
          claim_operation_grant (table, operation);
          return NEED_NOTHING;
        }
      claim_operation_abandon (table, operation);
      return NEED_WRITE;
    }
  if (strcmp (stored.fingerprint, operation->fingerprint) != 0)
    {
      claim_operation_refuse (table, operation, RESULT_IDEMPOTENCY_KEY_REUSED);
      return NEED_NOTHING;
    }
  switch (stored.state)
    {
    case CLAIM_NOT_RUN:
      return NEED_WRITE;
    case CLAIM_DONE:
#ifdef BREAK_GUARD_REPLAY
      return NEED_WRITE;
#endif
      return replay_record (table, operation, value, stored.token, now_ms);
    case CLAIM_UNKNOWN:
      claim_operation_refuse (table, operation, RESULT_CLAIM_IN_PROGRESS);
      return NEED_NOTHING;
    case CLAIM_CLAIMED:
      break;
    }
  return wait_or_refuse (table, operation, stored.token);
}

static enum transfer_need
evaluate_settle (struct claim_table *table, struct claim_operation *operation)
{
  const json_t *value
      = json_object_get (operation->shard->records, operation->key);
  struct stored_claim stored = { .token = "" };
  bool durable;

  if (decode_stored_claim (value, &stored)
      && strcmp (stored.token, operation->token) == 0
      && stored.state == CLAIM_CLAIMED)
    return NEED_WRITE;
  /*
   * Another token can only replace a record in state not_run, so in that case
   * not_run was written.  A missing record was deleted after its retention.
   */
  durable = value != NULL
            && (strcmp (stored.token, operation->token) == 0
                    ? stored.state == operation->outcome
                    : operation->outcome == CLAIM_NOT_RUN);
  claim_operation_end_settle (table, operation, durable);
  return NEED_NOTHING;
}

static enum transfer_need
evaluate_cleanup (struct claim_table *table, struct claim_operation *operation)
{
  const struct claim_shard *shard = operation->shard;
  const json_t *value = json_object_get (shard->records, operation->key);
  struct stored_claim stored = { .token = "" };
  bool is_valid = decode_stored_claim (value, &stored);
  bool is_own = is_valid && strcmp (stored.token, operation->token) == 0;

  if (is_own && stored.state == CLAIM_CLAIMED)
    return NEED_WRITE;
  /* If the version changes, the lost write can no longer take effect. */
  if (!is_own && operation->has_lost_write
      && shard->version == operation->lost_write_version
      && (value == NULL || (is_valid && stored.state == CLAIM_NOT_RUN)))
    return NEED_WRITE;
  table->counts.cleaned++;
  claim_operation_finish (table, operation);
  return NEED_NOTHING;
}

static enum transfer_need
evaluate_operation (struct claim_table *table,
                    struct claim_operation *operation,
                    int64_t now_ms)
{
  bool known = operation->shard->known;

  if (operation->in_write)
    return NEED_NOTHING;
  switch (operation->stage)
    {
    case STAGE_CLAIM:
      return known ? evaluate_claim (table, operation, now_ms) : NEED_READ;
    case STAGE_SETTLE:
      return known ? evaluate_settle (table, operation) : NEED_READ;
    case STAGE_CLEANUP:
      return known ? evaluate_cleanup (table, operation) : NEED_READ;
    case STAGE_FETCH:
    case STAGE_GRANTED:
    case STAGE_STORE_ANSWER:
    case STAGE_FINISHED:
      break;
    }
  return NEED_NOTHING;
}

static void
start_transfer (struct claim_table *table,
                struct claim_shard *shard,
                enum claim_transfer transfer)
{
  shard->transfer = transfer;
  TAILQ_INSERT_TAIL (&table->shard_actions, shard, action_link);
  if (transfer == TRANSFER_READ)
    table->counts.reads++;
  else
    table->counts.writes++;
}

/*
 * Encodes the record that the operation writes.  NULL if the operation has no
 * part in this write.
 */
static json_t *
encode_operation_record (struct claim_table *table,
                         struct claim_operation *operation,
                         bool is_new,
                         size_t size,
                         int64_t now_ms)
{
  struct claim_record record = { .state = CLAIM_CLAIMED };

  if (operation->stage == STAGE_CLAIM && is_new
      && size + CLAIM_RECORD_RESERVED_BYTES > CLAIM_SHARD_LIMIT_BYTES)
    {
      claim_operation_refuse (table, operation, RESULT_CLAIM_UNAVAILABLE);
      return NULL;
    }
  if (operation->stage == STAGE_SETTLE)
    {
      bool has_body = operation->answer.body_size > 0;

      record.state = operation->outcome;
      if (record.state == CLAIM_DONE && has_body
          && size + claim_answer_stored_size (&operation->answer)
                 > CLAIM_SHARD_INLINE_LIMIT_BYTES)
        {
          if (claim_blob_store (table, operation) == RESULT_OK)
            claim_blob_start_transfer (table, operation->blob, now_ms);
          return NULL;
        }
      record.answer = operation->answer;
      record.body_in_own_object = operation->body_in_own_object;
    }
  else if (operation->stage == STAGE_CLEANUP)
    record.state = CLAIM_NOT_RUN;
  memcpy (record.key, operation->key, sizeof record.key);
  memcpy (record.fingerprint, operation->fingerprint,
          sizeof record.fingerprint);
  memcpy (record.token, operation->token, sizeof record.token);
  memcpy (record.host, table->host, sizeof record.host);
  return claim_record_encode (&record);
}

/*
 * Starts one write with the records of all operations that need one.  A record
 * that could not be added because memory is short is tried again on the next
 * tick.
 */
static void
start_write (struct claim_table *table,
             struct claim_shard *shard,
             int64_t now_ms)
{
  struct claim_operation *operation = TAILQ_FIRST (&shard->operations);
  json_t *records = json_copy (shard->records);
  size_t size = shard->size;
  int count = 0;

  while (records != NULL && operation != NULL)
    {
      struct claim_operation *next = TAILQ_NEXT (operation, shard_link);
      const json_t *old = json_object_get (shard->records, operation->key);
      json_t *value = NULL;

      /* A write changes each key once, so that no state of a key is skipped. */
      if (operation->wants_write
          && json_object_get (records, operation->key) == old)
        value = encode_operation_record (table, operation, old == NULL, size,
                                         now_ms);
      if (value != NULL)
        {
          size += claim_record_stored_size (value);
          size -= old != NULL ? claim_record_stored_size (old) : 0;
          if (json_object_set_new (records, operation->key, value) == 0)
            {
              operation->in_write = true;
              count++;
            }
        }
      operation = next;
    }
  if (count == 0)
    {
      json_decref (records);
      return;
    }
  shard->written = json_pack ("{s:o}", "records", records);
  shard->written_size = size;
  start_transfer (table, shard, TRANSFER_WRITE);
}

void
claim_shard_advance (struct claim_table *table,
                     struct claim_shard *shard,
                     int64_t now_ms)
{
  struct claim_operation *operation = TAILQ_FIRST (&shard->operations);
  bool reads = false;
  bool writes = false;

  if (operation != NULL)
    shard->used_ms = now_ms;
  while (operation != NULL)
    {
      struct claim_operation *next = TAILQ_NEXT (operation, shard_link);
      enum transfer_need need;

      operation->wants_write = false;
      need = evaluate_operation (table, operation, now_ms);
      /* If it needs nothing, the operation may have been freed. */
      if (need == NEED_WRITE)
        operation->wants_write = true;
      reads = reads || need == NEED_READ;
      writes = writes || need == NEED_WRITE;
      operation = next;
    }
  if (shard->transfer != TRANSFER_NONE || now_ms < shard->not_before_ms)
    return;
  if (reads
      || (writes && shard->contended_writes_left > 0
          && now_ms - shard->refreshed_ms > FRESH_COPY_AGE_MS))
    start_transfer (table, shard, TRANSFER_READ);
  else if (writes)
    start_write (table, shard, now_ms);
}

/* Replaces the cached copy; takes ownership of records. */
static void
update_cached_copy (struct claim_shard *shard,
                    uint64_t version,
                    json_t *records,
                    size_t size,
                    int64_t now_ms)
{
  struct claim_operation *operation;

  json_decref (shard->records);
  shard->records = records;
  shard->version = version;
  shard->size = size;
  shard->known = true;
  shard->refresh_count++;
  shard->refreshed_ms = now_ms;
  shard->failures = 0;
  /* A lost write with an outdated condition can no longer take effect. */
  TAILQ_FOREACH (operation, &shard->operations, shard_link)
    {
      if (operation->has_lost_write && version != operation->lost_write_version)
        operation->has_lost_write = false;
    }
}

static size_t
compute_records_size (const json_t *records)
{
  size_t size = 0;
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)records, key, value)
    {
      size += claim_record_stored_size (value);
    }
  return size;
}

void
claim_shard_read_done (struct claim_table *table,
                       struct claim_shard *shard,
                       enum result result,
                       uint64_t version,
                       json_t *value,
                       int64_t now_ms)
{
  json_t *records = json_object_get (value, "records");

  shard->transfer = TRANSFER_NONE;
  if (result == RESULT_OK && json_is_object (records))
    update_cached_copy (shard, version, json_incref (records),
                        compute_records_size (records), now_ms);
  else if (result == RESULT_PLATFORM_NOT_FOUND)
    update_cached_copy (shard, 0, json_object (), 0, now_ms);
  else
    {
      shard->known = false;
      shard->not_before_ms
          = now_ms + claim_retry_delay (table, shard->failures++);
    }
  claim_shard_advance (table, shard, now_ms);
}

/* True if a write with this result certainly had no effect. */
static bool
has_no_effect (enum result result)
{
  switch (result)
    {
    case RESULT_PLATFORM_CONFLICT:
    case RESULT_PLATFORM_UNREACHABLE:
    case RESULT_PLATFORM_NOT_FOUND:
    case RESULT_PLATFORM_OVERLOADED:
    case RESULT_PLATFORM_BAD_ANSWER:
    case RESULT_PLATFORM_OUTAGE:
    case RESULT_TOO_LARGE:
    case RESULT_NO_MEMORY:
      return true;
    default:
      return false;
    }
}

/* Marks the operations in a write that may still take effect. */
static void
mark_lost_write (struct claim_shard *shard)
{
  struct claim_operation *operation;

  TAILQ_FOREACH (operation, &shard->operations, shard_link)
    {
      if (operation->in_write)
        {
          operation->has_lost_write = true;
          operation->lost_write_version = shard->version;
        }
    }
}

static void
delay_after_conflict (struct claim_table *table,
                      struct claim_shard *shard,
                      int64_t now_ms)
{
  unsigned conflicts = shard->conflicts++;
  int64_t limit
      = conflicts < 5 ? INT64_C (2) << conflicts : CONFLICT_DELAY_LIMIT_MS;

  shard->contended_writes_left = CONTENDED_WRITE_COUNT;
  /* The first retry is immediate; later ones are spread over time. */
  if (conflicts > 0)
    shard->not_before_ms
        = now_ms + (int64_t)rng_below (&table->rng, (uint64_t)limit);
}

void
claim_shard_write_done (struct claim_table *table,
                        struct claim_shard *shard,
                        enum result result,
                        uint64_t version,
                        int64_t now_ms)
{
  struct claim_operation *operation;
  json_t *written = shard->written;

#ifdef BREAK_GUARD_CLAIM_VERSION
  if (result == RESULT_PLATFORM_CONFLICT)
    result = RESULT_OK;
#endif
  shard->transfer = TRANSFER_NONE;
  shard->written = NULL;
  if (!has_no_effect (result) && result != RESULT_OK)
    {
      table->counts.lost_responses++;
      mark_lost_write (shard);
    }
  TAILQ_FOREACH (operation, &shard->operations, shard_link)
    {
      operation->in_write = false;
    }
  if (result == RESULT_OK)
    {
      update_cached_copy (shard, version,
                          json_incref (json_object_get (written, "records")),
                          shard->written_size, now_ms);
      shard->conflicts = 0;
      if (shard->contended_writes_left > 0)
        shard->contended_writes_left--;
    }
  else if (result == RESULT_PLATFORM_CONFLICT)
    {
      table->counts.conflicts++;
      shard->known = false;
      delay_after_conflict (table, shard, now_ms);
    }
  else if (has_no_effect (result))
    {
      shard->known = shard->known && result != RESULT_PLATFORM_NOT_FOUND;
      shard->not_before_ms
          = now_ms + claim_retry_delay (table, shard->failures++);
    }
  else
    shard->known = false;
  json_decref (written);
  claim_shard_advance (table, shard, now_ms);
}
