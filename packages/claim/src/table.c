#include "claim-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
claim_table_init (struct claim_table *table, const char *host, uint64_t seed)
{
  memset (table, 0, sizeof *table);
  snprintf (table->host, sizeof table->host, "%s", host);
  rng_init (&table->rng, seed);
  TAILQ_INIT (&table->callbacks);
  TAILQ_INIT (&table->shard_actions);
  TAILQ_INIT (&table->blob_actions);
}

static void
abort_operation (struct claim_table *table, struct claim_operation *operation)
{
  operation->in_write = false;
  operation->has_lost_write = false;
  switch (operation->stage)
    {
    case STAGE_CLAIM:
    case STAGE_FETCH:
      claim_operation_refuse (table, operation, RESULT_CLAIM_UNAVAILABLE);
      break;
    case STAGE_STORE_ANSWER:
    case STAGE_SETTLE:
      claim_operation_end_settle (table, operation, false);
      break;
    case STAGE_GRANTED:
      operation->call->operation = NULL;
      claim_operation_finish (table, operation);
      break;
    case STAGE_CLEANUP:
    case STAGE_FINISHED:
      claim_operation_finish (table, operation);
      break;
    }
}

void
claim_table_finish (struct claim_table *table)
{
  struct claim_operation *operation = table->operations;
  struct claim_blob *blob;
  struct claim_shard *shard;

  while (operation != NULL)
    {
      struct claim_operation *next = operation->hh.next;

      abort_operation (table, operation);
      operation = next;
    }
  claim_run_callbacks (table);
  blob = table->blobs;
  while (blob != NULL)
    {
      struct claim_blob *next = blob->hh.next;

      claim_blob_free (table, blob);
      blob = next;
    }
  shard = table->shards;
  while (shard != NULL)
    {
      struct claim_shard *next = shard->hh.next;

      claim_shard_free (table, shard);
      shard = next;
    }
}

static struct claim_operation *
operation_create (struct claim_table *table,
                  struct claim_call *call,
                  int64_t now_ms)
{
  struct claim_operation *operation = calloc (1, sizeof *operation);
  struct claim_shard *shard
      = operation != NULL ? claim_shard_get (table, call->object) : NULL;

  if (shard == NULL)
    {
      free (operation);
      return NULL;
    }
  operation->stage = STAGE_CLAIM;
  operation->call = call;
  operation->shard = shard;
  memcpy (operation->key, call->key, sizeof operation->key);
  memcpy (operation->fingerprint, call->fingerprint,
          sizeof operation->fingerprint);
  memcpy (operation->token, call->token, sizeof operation->token);
  operation->started_ms = now_ms;
  operation->deadline_ms = call->deadline_ms;
  operation->min_refresh_count = shard->refresh_count + 1;
  TAILQ_INSERT_TAIL (&shard->operations, operation, shard_link);
  HASH_ADD_STR (table->operations, token, operation);
  table->operation_count++;
  return operation;
}

void
claim_submit (struct claim_table *table,
              struct claim_call *call,
              int64_t now_ms)
{
  enum result result = RESULT_CLAIM_UNAVAILABLE;

  call->operation = NULL;
  /* If a token were used twice, the same claim could be granted twice. */
  if (claim_operation_find (table, call->token) != NULL)
    result = RESULT_INVALID;
  else if (table->operation_count < CLAIM_OPERATION_LIMIT)
    {
      call->operation = operation_create (table, call, now_ms);
      result = RESULT_NO_MEMORY;
    }
  if (call->operation == NULL)
    {
      table->counts.refused++;
      call->decided (call->context, CLAIM_VERDICT_REFUSED, result, NULL);
      return;
    }
  claim_shard_advance (table, call->operation->shard, now_ms);
  claim_run_callbacks (table);
}

/* A large answer is written to its own object before the record. */
static void
start_settle (struct claim_table *table,
              struct claim_operation *operation,
              int64_t now_ms)
{
  operation->stage = STAGE_SETTLE;
  if (operation->outcome != CLAIM_DONE)
    return;
  if (claim_answer_stored_size (&operation->answer) > CLAIM_SHARD_LIMIT_BYTES)
    operation->outcome = CLAIM_UNKNOWN;
  else if (operation->answer.body_size > CLAIM_INLINE_BODY_LIMIT_BYTES)
    {
      if (claim_blob_store (table, operation) == RESULT_OK)
        claim_blob_start_transfer (table, operation->blob, now_ms);
      else
        operation->outcome = CLAIM_UNKNOWN;
    }
}

void
claim_settle (struct claim_table *table,
              struct claim_call *call,
              enum claim_state state,
              struct claim_answer *answer,
              int64_t now_ms)
{
  struct claim_operation *operation = call->operation;

  if (operation == NULL || operation->stage != STAGE_GRANTED
      || state == CLAIM_CLAIMED)
    {
      if (answer != NULL)
        claim_answer_finish (answer);
      if (call->settled != NULL)
        call->settled (call->context, false);
      return;
    }
  operation->outcome = state;
  if (answer != NULL)
    operation->answer = *answer;
  operation->started_ms = now_ms;
  operation->deadline_ms = now_ms + CLAIM_SETTLE_WAIT_MS;
  start_settle (table, operation, now_ms);
  claim_shard_advance (table, operation->shard, now_ms);
  claim_run_callbacks (table);
}

bool
claim_next_action (struct claim_table *table, struct claim_action *action)
{
  struct claim_shard *shard = TAILQ_FIRST (&table->shard_actions);
  struct claim_blob *blob = TAILQ_FIRST (&table->blob_actions);

  memset (action, 0, sizeof *action);
  if (shard != NULL)
    {
      TAILQ_REMOVE (&table->shard_actions, shard, action_link);
      action->object = shard->object;
      if (shard->transfer == TRANSFER_WRITE)
        {
          action->kind = CLAIM_ACTION_WRITE;
          action->version = shard->version;
          action->value = shard->written;
        }
      return true;
    }
  if (blob != NULL)
    {
      TAILQ_REMOVE (&table->blob_actions, blob, action_link);
      action->object = blob->object;
      if (blob->wanted == TRANSFER_WRITE)
        {
          action->kind = CLAIM_ACTION_WRITE;
          action->value = blob->value;
        }
      return true;
    }
  return false;
}

void
claim_read_done (struct claim_table *table,
                 const char *object,
                 enum result result,
                 uint64_t version,
                 json_t *value,
                 int64_t now_ms)
{
  struct claim_shard *shard;
  struct claim_blob *blob;

  HASH_FIND_STR (table->shards, object, shard);
  HASH_FIND_STR (table->blobs, object, blob);
  if (shard != NULL && shard->transfer == TRANSFER_READ)
    claim_shard_read_done (table, shard, result, version, value, now_ms);
  else if (blob != NULL && blob->in_flight)
    claim_blob_read_done (table, blob, result, value, now_ms);
  claim_run_callbacks (table);
}

void
claim_write_done (struct claim_table *table,
                  const char *object,
                  enum result result,
                  uint64_t version,
                  int64_t now_ms)
{
  struct claim_shard *shard;
  struct claim_blob *blob;

  HASH_FIND_STR (table->shards, object, shard);
  HASH_FIND_STR (table->blobs, object, blob);
  if (shard != NULL && shard->transfer == TRANSFER_WRITE)
    claim_shard_write_done (table, shard, result, version, now_ms);
  else if (blob != NULL && blob->in_flight)
    claim_blob_write_done (table, blob, result, now_ms);
  claim_run_callbacks (table);
}

/* True if the key's record has another token and a state other than not_run. */
static bool
is_claimed_by_other_token (const struct claim_operation *operation)
{
  const json_t *value
      = json_object_get (operation->shard->records, operation->key);
  const char *token = json_string_value (json_object_get (value, "token"));
  enum claim_state state;

  return token != NULL && strcmp (token, operation->token) != 0
         && claim_state_decode (value, &state) && state != CLAIM_NOT_RUN;
}

static void
handle_deadline (struct claim_table *table,
                 struct claim_operation *operation,
                 int64_t now_ms)
{
  switch (operation->stage)
    {
    case STAGE_CLAIM:
      if (now_ms > operation->deadline_ms)
        claim_operation_refuse (table, operation,
                                is_claimed_by_other_token (operation)
                                    ? RESULT_CLAIM_IN_PROGRESS
                                    : RESULT_CLAIM_UNAVAILABLE);
      break;
    case STAGE_FETCH:
      if (now_ms > operation->deadline_ms)
        claim_operation_refuse (table, operation, RESULT_CLAIM_IN_PROGRESS);
      break;
    case STAGE_STORE_ANSWER:
    case STAGE_SETTLE:
    case STAGE_CLEANUP:
      /* After the retention no caller can use the record any more. */
      if (now_ms - operation->started_ms > CLAIM_RETENTION_MS
          && !operation->in_write)
        claim_operation_finish (table, operation);
      else if (operation->call != NULL && !operation->has_queued_callback
               && now_ms >= operation->deadline_ms)
        {
          table->counts.late_settles++;
          operation->durable = false;
          operation->callback_is_settled = true;
          operation->has_queued_callback = true;
          TAILQ_INSERT_TAIL (&table->callbacks, operation, callback_link);
        }
      break;
    case STAGE_GRANTED:
    case STAGE_FINISHED:
      break;
    }
}

static void
tick_shard (struct claim_table *table,
            struct claim_shard *shard,
            int64_t now_ms)
{
  struct claim_operation *operation = TAILQ_FIRST (&shard->operations);

  while (operation != NULL)
    {
      struct claim_operation *next = TAILQ_NEXT (operation, shard_link);

      handle_deadline (table, operation, now_ms);
      operation = next;
    }
  if (!TAILQ_EMPTY (&shard->operations))
    claim_shard_advance (table, shard, now_ms);
  else if (shard->transfer == TRANSFER_NONE
           && now_ms - shard->used_ms > CLAIM_CACHE_IDLE_TIMEOUT_MS)
    claim_shard_free (table, shard);
}

void
claim_tick (struct claim_table *table, int64_t now_ms)
{
  struct claim_shard *shard = table->shards;
  struct claim_blob *blob;

  while (shard != NULL)
    {
      struct claim_shard *next = shard->hh.next;

      tick_shard (table, shard, now_ms);
      shard = next;
    }
  blob = table->blobs;
  while (blob != NULL)
    {
      struct claim_blob *next = blob->hh.next;

      claim_blob_start_transfer (table, blob, now_ms);
      blob = next;
    }
  claim_run_callbacks (table);
}

size_t
claim_unwritten_count (const struct claim_table *table)
{
  const struct claim_operation *operation;
  size_t count = 0;

  for (operation = table->operations; operation != NULL;
       operation = operation->hh.next)
    count
        += operation->stage != STAGE_GRANTED && operation->stage != STAGE_FETCH;
  return count;
}
