#include "claim-internal.h"

#include <stdlib.h>
#include <string.h>

struct claim_operation *
claim_operation_find (const struct claim_table *table, const char *token)
{
  struct claim_operation *operation;

  HASH_FIND_STR (table->operations, token, operation);
  return operation;
}

static void
queue_callback (struct claim_table *table, struct claim_operation *operation)
{
  operation->has_queued_callback = true;
  TAILQ_INSERT_TAIL (&table->callbacks, operation, callback_link);
}

static void
operation_free (struct claim_operation *operation)
{
  claim_answer_finish (&operation->answer);
  json_decref (operation->replay);
  free (operation);
}

void
claim_operation_finish (struct claim_table *table,
                        struct claim_operation *operation)
{
  if (operation->blob != NULL)
    claim_blob_detach (table, operation);
  TAILQ_REMOVE (&operation->shard->operations, operation, shard_link);
  HASH_DEL (table->operations, operation);
  table->operation_count--;
  operation->stage = STAGE_FINISHED;
  if (!operation->has_queued_callback)
    operation_free (operation);
}

void
claim_operation_grant (struct claim_table *table,
                       struct claim_operation *operation)
{
  table->counts.granted++;
  operation->stage = STAGE_GRANTED;
  operation->verdict = CLAIM_VERDICT_GRANTED;
  operation->result = RESULT_OK;
  queue_callback (table, operation);
}

void
claim_operation_replay (struct claim_table *table,
                        struct claim_operation *operation,
                        json_t *record)
{
  table->counts.replayed++;
  json_incref (record);
  json_decref (operation->replay);
  operation->replay = record;
  operation->verdict = CLAIM_VERDICT_REPLAY;
  operation->result = RESULT_OK;
  queue_callback (table, operation);
  claim_operation_finish (table, operation);
}

static void
queue_refusal (struct claim_table *table,
               struct claim_operation *operation,
               enum result result)
{
  table->counts.refused++;
  if (operation->blob != NULL)
    claim_blob_detach (table, operation);
  operation->verdict = CLAIM_VERDICT_REFUSED;
  operation->result = result;
  queue_callback (table, operation);
}

void
claim_operation_abandon (struct claim_table *table,
                         struct claim_operation *operation)
{
  queue_refusal (table, operation, RESULT_CLAIM_UNAVAILABLE);
  operation->stage = STAGE_CLEANUP;
}

void
claim_operation_refuse (struct claim_table *table,
                        struct claim_operation *operation,
                        enum result result)
{
  queue_refusal (table, operation, result);
  if (operation->in_write || operation->has_lost_write)
    operation->stage = STAGE_CLEANUP;
  else
    claim_operation_finish (table, operation);
}

void
claim_operation_end_settle (struct claim_table *table,
                            struct claim_operation *operation,
                            bool durable)
{
  /* Without a call, the outcome was already reported as not durable. */
  if (operation->call != NULL && !operation->has_queued_callback)
    {
      operation->durable = durable;
      operation->callback_is_settled = true;
      queue_callback (table, operation);
    }
  claim_operation_finish (table, operation);
}

static void
run_decided_callback (struct claim_operation *operation,
                      struct claim_call *call)
{
  struct claim_record record = { 0 };
  const struct claim_record *replayed = NULL;
  enum claim_verdict verdict = operation->verdict;
  enum result result = operation->result;
  /* Read before the callback, which may finish the operation. */
  bool is_last = operation->stage == STAGE_FINISHED;

  if (verdict == CLAIM_VERDICT_REPLAY)
    {
      if (claim_record_decode (&record, operation->key, operation->replay)
          == RESULT_OK)
        replayed = &record;
      else
        {
          verdict = CLAIM_VERDICT_REFUSED;
          result = RESULT_CLAIM_IN_PROGRESS;
        }
    }
  if (verdict != CLAIM_VERDICT_GRANTED)
    {
      operation->call = NULL;
      call->operation = NULL;
    }
  call->decided (call->context, verdict, result, replayed);
  claim_record_finish (&record);
  if (is_last)
    operation_free (operation);
}

static void
run_settled_callback (struct claim_operation *operation,
                      struct claim_call *call)
{
  bool is_last = operation->stage == STAGE_FINISHED;
  bool durable = operation->durable;

  operation->call = NULL;
  call->operation = NULL;
  if (call->settled != NULL)
    call->settled (call->context, durable);
  if (is_last)
    operation_free (operation);
}

static void
run_callback_batch (struct claim_operation *operation)
{
  while (operation != NULL)
    {
      struct claim_operation *next = TAILQ_NEXT (operation, callback_link);
      struct claim_call *call = operation->call;

      operation->has_queued_callback = false;
      if (operation->callback_is_settled)
        run_settled_callback (operation, call);
      else
        run_decided_callback (operation, call);
      operation = next;
    }
}

void
claim_run_callbacks (struct claim_table *table)
{
  /* Callbacks queued by a callback are run by the loop below. */
  if (table->is_running_callbacks)
    return;
  table->is_running_callbacks = true;
  while (!TAILQ_EMPTY (&table->callbacks))
    {
      struct claim_operation *first = TAILQ_FIRST (&table->callbacks);

      TAILQ_INIT (&table->callbacks);
      run_callback_batch (first);
    }
  table->is_running_callbacks = false;
}
