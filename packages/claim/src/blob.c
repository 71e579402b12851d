#include "claim-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct claim_blob *
find_or_add_blob (struct claim_table *table, const char *token)
{
  char object[CLAIM_OBJECT_SIZE];
  struct claim_blob *blob;

  snprintf (object, sizeof object, "answers/%s", token);
  HASH_FIND_STR (table->blobs, object, blob);
  if (blob != NULL)
    return blob;
  blob = calloc (1, sizeof *blob);
  if (blob == NULL)
    return NULL;
  memcpy (blob->object, object, sizeof object);
  blob->wanted = TRANSFER_READ;
  TAILQ_INIT (&blob->operations);
  HASH_ADD_STR (table->blobs, object, blob);
  return blob;
}

void
claim_blob_free (struct claim_table *table, struct claim_blob *blob)
{
  HASH_DEL (table->blobs, blob);
  json_decref (blob->value);
  free (blob);
}

static void
attach_operation (struct claim_blob *blob, struct claim_operation *operation)
{
  operation->blob = blob;
  TAILQ_INSERT_TAIL (&blob->operations, operation, blob_link);
}

enum result
claim_blob_fetch (struct claim_table *table,
                  struct claim_operation *operation,
                  const char *token)
{
  struct claim_blob *blob = find_or_add_blob (table, token);

  if (blob == NULL)
    return RESULT_NO_MEMORY;
  attach_operation (blob, operation);
  operation->stage = STAGE_FETCH;
  return RESULT_OK;
}

enum result
claim_blob_store (struct claim_table *table, struct claim_operation *operation)
{
  json_t *value = claim_body_encode (&operation->answer);
  struct claim_blob *blob
      = value != NULL ? find_or_add_blob (table, operation->token) : NULL;

  if (blob == NULL)
    {
      json_decref (value);
      return RESULT_NO_MEMORY;
    }
  blob->wanted = TRANSFER_WRITE;
  blob->value = value;
  attach_operation (blob, operation);
  operation->stage = STAGE_STORE_ANSWER;
  return RESULT_OK;
}

void
claim_blob_detach (struct claim_table *table, struct claim_operation *operation)
{
  struct claim_blob *blob = operation->blob;

  TAILQ_REMOVE (&blob->operations, operation, blob_link);
  operation->blob = NULL;
  if (TAILQ_EMPTY (&blob->operations) && !blob->in_flight)
    claim_blob_free (table, blob);
}

void
claim_blob_start_transfer (struct claim_table *table,
                           struct claim_blob *blob,
                           int64_t now_ms)
{
  if (blob->in_flight || now_ms < blob->not_before_ms)
    return;
  blob->in_flight = true;
  TAILQ_INSERT_TAIL (&table->blob_actions, blob, action_link);
  if (blob->wanted == TRANSFER_READ)
    table->counts.reads++;
  else
    table->counts.writes++;
}

static void
schedule_retry (struct claim_table *table,
                struct claim_blob *blob,
                int64_t now_ms)
{
  blob->not_before_ms = now_ms + claim_retry_delay (table, blob->failures++);
}

/* Copies the record and adds the body of its object; NULL if it is invalid. */
static json_t *
merge_body (const json_t *record, const json_t *value)
{
  const json_t *text = json_object_get (value, "body");
  const json_t *base64 = json_object_get (value, "body64");
  json_t *merged;

  if (!json_is_string (text) && !json_is_string (base64))
    return NULL;
  merged = json_copy ((json_t *)record);
  if (merged == NULL)
    return NULL;
  json_object_del (merged, "body_at");
  if (text != NULL)
    json_object_set (merged, "body", (json_t *)text);
  else
    json_object_set (merged, "body64", (json_t *)base64);
  return merged;
}

void
claim_blob_read_done (struct claim_table *table,
                      struct claim_blob *blob,
                      enum result result,
                      const json_t *value,
                      int64_t now_ms)
{
  struct claim_operation *operation = TAILQ_FIRST (&blob->operations);
  bool ended = result == RESULT_OK || result == RESULT_PLATFORM_NOT_FOUND;

  if (!ended)
    schedule_retry (table, blob, now_ms);
  while (ended && operation != NULL)
    {
      struct claim_operation *next = TAILQ_NEXT (operation, blob_link);
      json_t *record
          = result == RESULT_OK ? merge_body (operation->replay, value) : NULL;

      if (record != NULL)
        claim_operation_replay (table, operation, record);
      else
        claim_operation_refuse (table, operation, RESULT_CLAIM_IN_PROGRESS);
      json_decref (record);
      operation = next;
    }
  blob->in_flight = false;
  if (TAILQ_EMPTY (&blob->operations))
    claim_blob_free (table, blob);
}

void
claim_blob_write_done (struct claim_table *table,
                       struct claim_blob *blob,
                       enum result result,
                       int64_t now_ms)
{
  struct claim_operation *operation = TAILQ_FIRST (&blob->operations);

  blob->in_flight = false;
  if (operation == NULL)
    {
      claim_blob_free (table, blob);
      return;
    }
  switch (result)
    {
    case RESULT_OK:
    /* The name contains this claim's token: an earlier attempt wrote it. */
    case RESULT_PLATFORM_CONFLICT:
      operation->body_in_own_object = true;
      break;
    case RESULT_TOO_LARGE:
      operation->outcome = CLAIM_UNKNOWN;
      break;
    default:
      schedule_retry (table, blob, now_ms);
      return;
    }
  operation->stage = STAGE_SETTLE;
  free (operation->answer.body);
  operation->answer.body = NULL;
  operation->answer.body_size = 0;
  claim_blob_detach (table, operation);
  claim_shard_advance (table, operation->shard, now_ms);
}
