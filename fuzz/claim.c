/*
 * Three entry hosts claim the same few keys in one object store, while
 * requests or responses are lost, writes take effect late, the platform has
 * outages and hosts crash.
 *
 * Input: pairs of bytes, a command and its argument.
 *
 * Oracle: each key is executed at most once.  A request that was reported to
 * its caller as not run is never executed, neither before nor after the report.
 * A replayed response is the response of the one execution.  A stored record
 * keeps its token, and its outcome once it has one, unless it is not_run.  Once
 * the platform works again, every call of a host that has not crashed is
 * decided, nothing is left to write, and no call that was reported as not run
 * still holds a claim.
 */

#include "claim.h"
#include "check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define HOSTS 3
#define KEYS 3
#define OBJECTS 2
#define ATTEMPT_LIMIT 48
#define MESSAGE_LIMIT 256
#define STORED_LIMIT 64
#define CALL_TIMEOUT_MS 100
#define LARGE_BODY_BYTES 20000
#define COMMAND_LIMIT 500 /* per run, so that a run is short */

struct attempt
{
  struct claim_call call;
  int host;
  int incarnation; /* of the host, when the attempt began */
  int key;
  int fingerprint;
  int decided_count; /* calls of on_decided */
  bool granted;
  bool reported_not_run;
  bool dispatched;
  int settle_count;  /* calls of claim_settle */
  int settled_count; /* calls of on_settled */
  enum claim_state outcome;
};

struct stored_object
{
  char name[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
};

/* A read or write that a host has sent to the object store. */
struct message
{
  int host;
  int incarnation; /* of the host, when it sent the message */
  enum claim_action_kind kind;
  char object[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
  /* Reported to the host as lost; a write may still take effect. */
  bool response_lost;
};

/* What was executed for one key. */
struct execution
{
  int count;
  int fingerprint;
  bool has_response;
  size_t body_size;
  char fill; /* every byte of the response body */
};

struct world
{
  struct claim_table tables[HOSTS];
  int incarnations[HOSTS];
  struct attempt attempts[ATTEMPT_LIMIT];
  int attempt_count;
  struct message messages[MESSAGE_LIMIT];
  int message_count;
  struct stored_object stored[STORED_LIMIT];
  int stored_count;
  uint64_t revision; /* version of the last write to the store */
  struct execution executions[KEYS];
  int64_t now_ms;
  bool ending;
};

static struct world *world;

/* --- object store --- */

static struct stored_object *
find_stored_object (const char *name)
{
  for (int i = 0; i < world->stored_count; i++)
    if (strcmp (world->stored[i].name, name) == 0)
      return &world->stored[i];
  return NULL;
}

static const char *
string_member (const json_t *record, const char *name)
{
  const char *text = json_string_value (json_object_get (record, name));

  return text != NULL ? text : "";
}

static void
check_transition (const json_t *old, const json_t *new)
{
  const char *state = string_member (old, "state");

  if (old == NULL)
    return;
  CHECK (new != NULL);
  if (strcmp (state, "not_run") == 0)
    return;
  CHECK (strcmp (string_member (old, "token"), string_member (new, "token"))
         == 0);
  if (strcmp (state, "claimed") != 0)
    CHECK (json_equal (old, new));
}

static void
check_write (const json_t *old, const json_t *new)
{
  const char *key;
  json_t *record;

  json_object_foreach (json_object_get (old, "records"), key, record)
    {
      check_transition (
          record, json_object_get (json_object_get (new, "records"), key));
    }
}

/* Applies a conditional write to the store and sets the object's version. */
static enum result
apply_write (const struct message *message, uint64_t *version)
{
  struct stored_object *stored = find_stored_object (message->object);

  *version = stored != NULL ? stored->version : 0;
  if (message->version != *version)
    return RESULT_PLATFORM_CONFLICT;
  if (stored == NULL)
    {
      CHECK (world->stored_count < STORED_LIMIT);
      stored = &world->stored[world->stored_count++];
      memcpy (stored->name, message->object, sizeof stored->name);
      stored->value = NULL;
    }
  check_write (stored->value, message->value);
  json_decref (stored->value);
  stored->value = json_incref (message->value);
  stored->version = ++world->revision;
  *version = stored->version;
  return RESULT_OK;
}

/* --- messages --- */

static void
start_claim_actions (int host)
{
  struct claim_action action;

  while (world->message_count < MESSAGE_LIMIT
         && claim_next_action (&world->tables[host], &action))
    {
      struct message *message = &world->messages[world->message_count++];

      memset (message, 0, sizeof *message);
      message->host = host;
      message->incarnation = world->incarnations[host];
      message->kind = action.kind;
      snprintf (message->object, sizeof message->object, "%s", action.object);
      message->version = action.version;
      message->value = json_incref ((json_t *)action.value);
    }
}

static void
drop_message (int index)
{
  json_decref (world->messages[index].value);
  world->messages[index] = world->messages[--world->message_count];
}

/* What happens to a message and its response. */
enum delivery
{
  DELIVERY_SUCCESS,
  DELIVERY_RESPONSE_LOST,
  DELIVERY_REQUEST_LOST,
  DELIVERY_DELAYED, /* reported as lost; the write may take effect later */
  DELIVERY_OUTAGE,
  DELIVERY_UNREACHABLE,
  DELIVERY_COUNT,
};

static void
complete_read (const struct message *message, enum delivery delivery)
{
  const struct stored_object *stored = find_stored_object (message->object);
  enum result result = RESULT_PLATFORM_UNREACHABLE;

  if (delivery == DELIVERY_SUCCESS)
    result = stored != NULL ? RESULT_OK : RESULT_PLATFORM_NOT_FOUND;
  claim_read_done (&world->tables[message->host], message->object, result,
                   stored != NULL ? stored->version : 0,
                   result == RESULT_OK ? stored->value : NULL, world->now_ms);
}

static void
complete_write (const struct message *message, enum delivery delivery)
{
  uint64_t version = 0;
  enum result result = RESULT_PLATFORM_LOST_ANSWER;

  if (delivery == DELIVERY_SUCCESS)
    result = apply_write (message, &version);
  else if (delivery == DELIVERY_RESPONSE_LOST)
    apply_write (message, &version);
  else if (delivery == DELIVERY_OUTAGE)
    result = RESULT_PLATFORM_OUTAGE;
  else if (delivery == DELIVERY_UNREACHABLE)
    result = RESULT_PLATFORM_UNREACHABLE;
  claim_write_done (&world->tables[message->host], message->object, result,
                    version, world->now_ms);
}

static void
handle_message (int index, enum delivery delivery)
{
  struct message message = world->messages[index];
  uint64_t version;

  json_incref (message.value);
  if (message.response_lost
      || message.incarnation != world->incarnations[message.host])
    {
      /* The sender has crashed or given up, but the write may still take
         effect. */
      if (message.kind == CLAIM_ACTION_WRITE
          && (delivery == DELIVERY_SUCCESS
              || delivery == DELIVERY_RESPONSE_LOST))
        apply_write (&message, &version);
      drop_message (index);
    }
  else
    {
      if (delivery == DELIVERY_DELAYED && message.kind == CLAIM_ACTION_WRITE)
        world->messages[index].response_lost = true;
      else
        drop_message (index);
      if (message.kind == CLAIM_ACTION_READ)
        complete_read (&message, delivery);
      else
        complete_write (&message, delivery);
      start_claim_actions (message.host);
    }
  json_decref (message.value);
}

/* --- callers --- */

static void
check_replay (const struct attempt *attempt, const struct claim_record *record)
{
  const struct execution *execution = &world->executions[attempt->key];

  CHECK (record != NULL);
  CHECK (execution->count == 1 && execution->has_response);
  CHECK (execution->fingerprint == attempt->fingerprint);
  CHECK (record->answer.status == 200);
  CHECK (record->answer.body_size == execution->body_size);
  for (size_t i = 0; i < execution->body_size; i++)
    CHECK (record->answer.body[i] == execution->fill);
}

static void
on_decided (void *context,
            enum claim_verdict verdict,
            enum result result,
            const struct claim_record *record)
{
  struct attempt *attempt = context;

  CHECK (attempt->decided_count == 0);
  attempt->decided_count++;
  if (verdict == CLAIM_VERDICT_REPLAY)
    check_replay (attempt, record);
  else if (verdict == CLAIM_VERDICT_GRANTED)
    {
      CHECK (world->now_ms <= attempt->call.deadline_ms);
      attempt->granted = true;
    }
  else
    attempt->reported_not_run
        = result_info (result)->outcome == OUTCOME_NOT_RUN;
}

static void
on_settled (void *context, bool durable)
{
  struct attempt *attempt = context;
  const struct stored_object *stored
      = find_stored_object (attempt->call.object);
  const json_t *record
      = stored != NULL ? json_object_get (
            json_object_get (stored->value, "records"), attempt->call.key)
                       : NULL;

  attempt->settled_count++;
  CHECK (attempt->settled_count == attempt->settle_count);
  if (!durable)
    return;
  if (attempt->outcome == CLAIM_NOT_RUN)
    CHECK (strcmp (string_member (record, "token"), attempt->call.token) != 0
           || strcmp (string_member (record, "state"), "not_run") == 0);
  else
    {
      CHECK (strcmp (string_member (record, "token"), attempt->call.token)
             == 0);
      CHECK (strcmp (string_member (record, "state"),
                     attempt->outcome == CLAIM_DONE ? "done" : "unknown")
             == 0);
    }
}

static void
submit_attempt (int host, uint8_t argument)
{
  struct attempt *attempt;
  const uint64_t bits[2] = { 0, (uint64_t)world->attempt_count };

  if (world->attempt_count >= ATTEMPT_LIMIT)
    return;
  attempt = &world->attempts[world->attempt_count++];
  attempt->host = host;
  attempt->incarnation = world->incarnations[host];
  attempt->key = argument % KEYS;
  /* Most attempts of a key have the same fingerprint. */
  attempt->fingerprint = argument >= 224;
  snprintf (attempt->call.object, sizeof attempt->call.object, "claims/1/%d",
            attempt->key % OBJECTS);
  snprintf (attempt->call.key, sizeof attempt->call.key, "%032d", attempt->key);
  snprintf (attempt->call.fingerprint, sizeof attempt->call.fingerprint,
            "%032d", attempt->fingerprint);
  uuid_format_v7 (attempt->call.token, 1700000000000, bits);
  attempt->call.deadline_ms = world->now_ms + CALL_TIMEOUT_MS;
  attempt->call.decided = on_decided;
  attempt->call.settled = on_settled;
  attempt->call.context = attempt;
  claim_submit (&world->tables[host], &attempt->call, world->now_ms);
  start_claim_actions (host);
}

static bool
is_live (const struct attempt *attempt)
{
  return attempt->incarnation == world->incarnations[attempt->host];
}

static void
dispatch_attempt (struct attempt *attempt)
{
  struct execution *execution = &world->executions[attempt->key];

  if (!attempt->granted || attempt->dispatched || attempt->settle_count > 0
      || !is_live (attempt))
    return;
  CHECK (!attempt->reported_not_run);
  attempt->dispatched = true;
  execution->count++;
  CHECK (execution->count == 1);
  execution->fingerprint = attempt->fingerprint;
}

static void
settle_attempt (struct attempt *attempt, uint8_t argument)
{
  struct execution *execution = &world->executions[attempt->key];
  struct claim_answer response = { .status = 200 };
  bool has_response = attempt->dispatched && argument % 4 != 0;

  if (!attempt->granted || attempt->settle_count > 0 || !is_live (attempt))
    return;
  attempt->settle_count++;
  attempt->outcome = !attempt->dispatched ? CLAIM_NOT_RUN
                     : has_response       ? CLAIM_DONE
                                          : CLAIM_UNKNOWN;
  if (has_response)
    {
      execution->has_response = true;
      execution->body_size = argument % 4 == 1 ? LARGE_BODY_BYTES : argument;
      execution->fill = (char)('a' + argument % 26);
      response.body = malloc (execution->body_size + 1);
      response.content_type = strdup ("a/b");
      CHECK (response.body != NULL && response.content_type != NULL);
      memset (response.body, execution->fill, execution->body_size);
      response.body_size = execution->body_size;
    }
  claim_settle (&world->tables[attempt->host], &attempt->call, attempt->outcome,
                has_response ? &response : NULL, world->now_ms);
  start_claim_actions (attempt->host);
}

/* --- hosts --- */

static void
advance_time (int64_t ms)
{
  world->now_ms += ms;
  for (int i = 0; i < HOSTS; i++)
    {
      claim_tick (&world->tables[i], world->now_ms);
      start_claim_actions (i);
    }
}

static void
ignore_decided (void *context,
                enum claim_verdict verdict,
                enum result result,
                const struct claim_record *record)
{
  (void)context;
  (void)verdict;
  (void)result;
  (void)record;
}

static void
ignore_settled (void *context, bool durable)
{
  (void)context;
  (void)durable;
}

/* Deletes what the host had in memory without notifying its callers. */
static void
crash_host (int host)
{
  for (int i = 0; i < world->attempt_count; i++)
    if (world->attempts[i].host == host)
      {
        world->attempts[i].call.decided = ignore_decided;
        world->attempts[i].call.settled = ignore_settled;
      }
  claim_table_finish (&world->tables[host]);
  world->incarnations[host]++;
  claim_table_init (&world->tables[host], "e", (uint64_t)host);
}

static void
run_command (uint8_t command, uint8_t argument)
{
  struct attempt *attempt
      = world->attempt_count > 0
            ? &world->attempts[argument % world->attempt_count]
            : NULL;

  switch (command % 16)
    {
    case 0:
    case 1:
    case 2:
      submit_attempt (command % 16, argument);
      break;
    case 3:
      advance_time (argument % 32);
      break;
    case 4:
      advance_time (argument * 4);
      break;
    case 5:
      if (argument >= 192)
        crash_host (argument % HOSTS);
      else
        world->now_ms += argument; /* the next tick is late */
      break;
    case 6:
    case 7:
      if (attempt != NULL)
        dispatch_attempt (attempt);
      break;
    case 8:
    case 9:
      /* A call that was not dispatched is settled (as not run) less often. */
      if (attempt != NULL && (attempt->dispatched || command >= 128))
        settle_attempt (attempt, command);
      break;
    default:
      if (world->message_count > 0)
        handle_message (argument % world->message_count,
                        command % 16 < 13
                            ? DELIVERY_SUCCESS
                            : (enum delivery) (command / 16 % DELIVERY_COUNT));
      break;
    }
}

/* True if the stored record says that the attempt may be running. */
static bool
holds_claim (const struct attempt *attempt)
{
  const struct stored_object *stored
      = find_stored_object (attempt->call.object);
  const json_t *record;

  if (stored == NULL)
    return false;
  record = json_object_get (json_object_get (stored->value, "records"),
                            attempt->call.key);
  return strcmp (string_member (record, "token"), attempt->call.token) == 0
         && strcmp (string_member (record, "state"), "claimed") == 0;
}

/* Completes all calls without further platform faults, and checks them. */
static void
run_to_completion (void)
{
  for (int i = 0; i < 20000; i++)
    {
      size_t unwritten = 0;

      if (world->message_count > 0)
        handle_message (0, DELIVERY_SUCCESS);
      else
        advance_time (50);
      for (int host = 0; host < HOSTS; host++)
        unwritten += claim_unwritten_count (&world->tables[host]);
      if (unwritten == 0 && world->message_count == 0 && i > 100)
        break;
      CHECK (i < 19999);
    }
  for (int i = 0; i < world->attempt_count; i++)
    {
      const struct attempt *attempt = &world->attempts[i];

      if (is_live (attempt))
        {
          CHECK (attempt->decided_count == 1);
          CHECK (attempt->settled_count == attempt->settle_count);
        }
      CHECK (!attempt->reported_not_run || !attempt->dispatched);
      CHECK (!attempt->reported_not_run || !is_live (attempt)
             || !holds_claim (attempt));
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  world = calloc (1, sizeof *world);
  CHECK (world != NULL);
  world->now_ms = 1000;
  for (int i = 0; i < HOSTS; i++)
    claim_table_init (&world->tables[i], "e", (uint64_t)i);
  for (size_t i = 0; i + 1 < size && i < 2 * COMMAND_LIMIT; i += 2)
    run_command (data[i], data[i + 1]);
  run_to_completion ();
  for (int i = 0; i < HOSTS; i++)
    crash_host (i);
  while (world->message_count > 0)
    drop_message (0);
  for (int i = 0; i < world->stored_count; i++)
    json_decref (world->stored[i].value);
  free (world);
  return 0;
}

/* One run executes a long sequence of operations; fuzz-runs: 8000 */
