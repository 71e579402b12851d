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
  operation->is_due = true;
  TAILQ_INSERT_TAIL (&table->due, operation, due_link);
}

static void
operation_free (struct claim_operation *operation)
{
  free (operation->answer.body);
  json_decref (operation->replay);
  free (operation);
}

void
claim_operation_finish (struct claim_table *table,
                        struct claim_operation *operation)
{
  if (operation->blob != NULL)
    claim_blob_leave (table, operation);
  TAILQ_REMOVE (&operation->shard->operations, operation, shard_link);
  HASH_DEL (table->operations, operation);
  table->operation_count--;
  operation->stage = STAGE_FINISHED;
  if (!operation->is_due)
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
    claim_blob_leave (table, operation);
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
  if (operation->in_write || operation->lost)
    operation->stage = STAGE_CLEANUP;
  else
    claim_operation_finish (table, operation);
}

void
claim_operation_settled (struct claim_table *table,
                         struct claim_operation *operation,
                         bool durable)
{
  /* Without a call, the caller was told that it is not durable yet. */
  if (operation->call != NULL && !operation->is_due)
    {
      operation->durable = durable;
      operation->due_settled = true;
      queue_callback (table, operation);
    }
  claim_operation_finish (table, operation);
}

static void
deliver_decided (struct claim_operation *operation, struct claim_call *call)
{
  struct claim_record record = { 0 };
  const struct claim_record *shown = NULL;
  enum claim_verdict verdict = operation->verdict;
  enum result result = operation->result;
  /* Decided here, since the callback may end the operation. */
  bool is_last = operation->stage == STAGE_FINISHED;

  if (verdict == CLAIM_VERDICT_REPLAY)
    {
      if (claim_record_decode (&record, operation->key, operation->replay)
          == RESULT_OK)
        shown = &record;
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
  call->decided (call->context, verdict, result, shown);
  claim_record_finish (&record);
  if (is_last)
    operation_free (operation);
}

static void
deliver_settled (struct claim_operation *operation, struct claim_call *call)
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
deliver_batch (struct claim_operation *operation)
{
  while (operation != NULL)
    {
      struct claim_operation *next = TAILQ_NEXT (operation, due_link);
      struct claim_call *call = operation->call;

      operation->is_due = false;
      if (operation->due_settled)
        deliver_settled (operation, call);
      else
        deliver_decided (operation, call);
      operation = next;
    }
}

void
claim_deliver (struct claim_table *table)
{
  /* A callback that calls into the table leaves its effects to this loop. */
  if (table->delivering)
    return;
  table->delivering = true;
  while (!TAILQ_EMPTY (&table->due))
    {
      struct claim_operation *first = TAILQ_FIRST (&table->due);

      TAILQ_INIT (&table->due);
      deliver_batch (first);
    }
  table->delivering = false;
}
