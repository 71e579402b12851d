/*
 * Three entry hosts claim the same few keys in one object store, while
 * answers are lost before or after their effect, writes take effect late, the
 * platform is out of order and hosts crash.
 *
 * Input: pairs of bytes, a command and its argument.
 *
 * Oracle: each key is executed at most once; a caller that is told not-run
 * has no execution, then or later; a replayed answer is that of the one
 * execution; no stored claim passes to another token, and no stored outcome
 * but not_run changes.  Once the platform works again, every call of a live
 * host is decided, nothing is left to write, and no call that was told not-run
 * still holds a claim.
 */

#include "claim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

#define HOSTS 3
#define KEYS 3
#define OBJECTS 2
#define MAX_ATTEMPTS 48
#define MAX_MESSAGES 256
#define MAX_STORED 64
#define CALL_MS 100
#define LARGE_BODY 20000
#define MAX_COMMANDS 500 /* keeps a run short */

#define CHECK(condition)                                                       \
  do                                                                           \
    if (!(condition))                                                          \
      {                                                                        \
        fprintf (stderr, "fuzz claim: line %d: %s\n", __LINE__, #condition);   \
        abort ();                                                              \
      }                                                                        \
  while (0)

struct attempt
{
  struct claim_call call;
  int host;
  int life; /* of the host, when the attempt began */
  int key;
  int fingerprint;
  int decided;
  bool granted;
  bool told_not_run;
  bool dispatched;
  int settles;
  int settled;
  enum claim_state outcome;
};

struct stored
{
  char name[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
};

/* A read or write on its way. */
struct message
{
  int host;
  int life;
  enum claim_action_kind kind;
  char object[CLAIM_OBJECT_SIZE];
  uint64_t version;
  json_t *value;
  bool nobody_waits; /* its answer was lost; only the effect is left */
};

struct execution
{
  int count;
  int fingerprint;
  bool answered;
  size_t body_size;
  char fill; /* every byte of the answer's body */
};

struct world
{
  struct claim_table tables[HOSTS];
  int lives[HOSTS];
  struct attempt attempts[MAX_ATTEMPTS];
  int attempt_count;
  struct message messages[MAX_MESSAGES];
  int message_count;
  struct stored stored[MAX_STORED];
  int stored_count;
  uint64_t revision;
  struct execution executions[KEYS];
  int64_t now_ms;
  bool ending;
};

static struct world *world;

/* --- object store --- */

static struct stored *
find_stored (const char *name)
{
  for (int i = 0; i < world->stored_count; i++)
    if (strcmp (world->stored[i].name, name) == 0)
      return &world->stored[i];
  return NULL;
}

static const char *
member (const json_t *record, const char *name)
{
  const char *text = json_string_value (json_object_get (record, name));

  return text != NULL ? text : "";
}

static void
check_transition (const json_t *old, const json_t *new)
{
  const char *state = member (old, "state");

  if (old == NULL)
    return;
  CHECK (new != NULL);
  if (strcmp (state, "not_run") == 0)
    return;
  CHECK (strcmp (member (old, "token"), member (new, "token")) == 0);
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

/* Applies a conditional write. */
static enum result
apply (const struct message *message, uint64_t *version)
{
  struct stored *stored = find_stored (message->object);

  *version = stored != NULL ? stored->version : 0;
  if (message->version != *version)
    return RESULT_PLATFORM_CONFLICT;
  if (stored == NULL)
    {
      CHECK (world->stored_count < MAX_STORED);
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
collect (int host)
{
  struct claim_action action;

  while (world->message_count < MAX_MESSAGES
         && claim_next_action (&world->tables[host], &action))
    {
      struct message *message = &world->messages[world->message_count++];

      memset (message, 0, sizeof *message);
      message->host = host;
      message->life = world->lives[host];
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

enum fate
{
  FATE_WORKS,
  FATE_LOST_AFTER,
  FATE_LOST_BEFORE,
  FATE_LATE, /* the answer is lost now, the effect may come later */
  FATE_OUTAGE,
  FATE_UNREACHABLE,
  FATES,
};

static void
answer_read (const struct message *message, enum fate fate)
{
  const struct stored *stored = find_stored (message->object);
  enum result result = RESULT_PLATFORM_UNREACHABLE;

  if (fate == FATE_WORKS)
    result = stored != NULL ? RESULT_OK : RESULT_PLATFORM_NOT_FOUND;
  claim_read_done (&world->tables[message->host], message->object, result,
                   stored != NULL ? stored->version : 0,
                   result == RESULT_OK ? stored->value : NULL, world->now_ms);
}

static void
answer_write (const struct message *message, enum fate fate)
{
  uint64_t version = 0;
  enum result result = RESULT_PLATFORM_LOST_ANSWER;

  if (fate == FATE_WORKS)
    result = apply (message, &version);
  else if (fate == FATE_LOST_AFTER)
    apply (message, &version);
  else if (fate == FATE_OUTAGE)
    result = RESULT_PLATFORM_OUTAGE;
  else if (fate == FATE_UNREACHABLE)
    result = RESULT_PLATFORM_UNREACHABLE;
  claim_write_done (&world->tables[message->host], message->object, result,
                    version, world->now_ms);
}

static void
handle_message (int index, enum fate fate)
{
  struct message message = world->messages[index];
  uint64_t version;

  json_incref (message.value);
  if (message.nobody_waits || message.life != world->lives[message.host])
    {
      /* The host that sent it crashed or gave up; the effect may come. */
      if (message.kind == CLAIM_ACTION_WRITE
          && (fate == FATE_WORKS || fate == FATE_LOST_AFTER))
        apply (&message, &version);
      drop_message (index);
    }
  else
    {
      if (fate == FATE_LATE && message.kind == CLAIM_ACTION_WRITE)
        world->messages[index].nobody_waits = true;
      else
        drop_message (index);
      if (message.kind == CLAIM_ACTION_READ)
        answer_read (&message, fate);
      else
        answer_write (&message, fate);
      collect (message.host);
    }
  json_decref (message.value);
}

/* --- callers --- */

static void
check_replay (const struct attempt *attempt, const struct claim_record *record)
{
  const struct execution *execution = &world->executions[attempt->key];

  CHECK (record != NULL);
  CHECK (execution->count == 1 && execution->answered);
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

  CHECK (attempt->decided == 0);
  attempt->decided++;
  if (verdict == CLAIM_VERDICT_REPLAY)
    check_replay (attempt, record);
  else if (verdict == CLAIM_VERDICT_GRANTED)
    {
      CHECK (world->now_ms <= attempt->call.deadline_ms);
      attempt->granted = true;
    }
  else
    attempt->told_not_run = result_info (result)->outcome == OUTCOME_NOT_RUN;
}

static void
on_settled (void *context, bool durable)
{
  struct attempt *attempt = context;
  const struct stored *stored = find_stored (attempt->call.object);
  const json_t *record
      = stored != NULL ? json_object_get (
            json_object_get (stored->value, "records"), attempt->call.key)
                       : NULL;

  attempt->settled++;
  CHECK (attempt->settled == attempt->settles);
  if (!durable)
    return;
  if (attempt->outcome == CLAIM_NOT_RUN)
    CHECK (strcmp (member (record, "token"), attempt->call.token) != 0
           || strcmp (member (record, "state"), "not_run") == 0);
  else
    {
      CHECK (strcmp (member (record, "token"), attempt->call.token) == 0);
      CHECK (strcmp (member (record, "state"),
                     attempt->outcome == CLAIM_DONE ? "done" : "unknown")
             == 0);
    }
}

static void
submit (int host, uint8_t argument)
{
  struct attempt *attempt;
  const uint64_t bits[2] = { 0, (uint64_t)world->attempt_count };

  if (world->attempt_count >= MAX_ATTEMPTS)
    return;
  attempt = &world->attempts[world->attempt_count++];
  attempt->host = host;
  attempt->life = world->lives[host];
  attempt->key = argument % KEYS;
  /* Mostly the same request. */
  attempt->fingerprint = argument >= 224;
  snprintf (attempt->call.object, sizeof attempt->call.object, "claims/1/%d",
            attempt->key % OBJECTS);
  snprintf (attempt->call.key, sizeof attempt->call.key, "%032d", attempt->key);
  snprintf (attempt->call.fingerprint, sizeof attempt->call.fingerprint,
            "%032d", attempt->fingerprint);
  uuid_format_v7 (attempt->call.token, 1700000000000, bits);
  attempt->call.deadline_ms = world->now_ms + CALL_MS;
  attempt->call.decided = on_decided;
  attempt->call.settled = on_settled;
  attempt->call.context = attempt;
  claim_submit (&world->tables[host], &attempt->call, world->now_ms);
  collect (host);
}

static bool
is_live (const struct attempt *attempt)
{
  return attempt->life == world->lives[attempt->host];
}

static void
dispatch (struct attempt *attempt)
{
  struct execution *execution = &world->executions[attempt->key];

  if (!attempt->granted || attempt->dispatched || attempt->settles > 0
      || !is_live (attempt))
    return;
  CHECK (!attempt->told_not_run);
  attempt->dispatched = true;
  execution->count++;
  CHECK (execution->count == 1);
  execution->fingerprint = attempt->fingerprint;
}

static void
settle (struct attempt *attempt, uint8_t argument)
{
  struct execution *execution = &world->executions[attempt->key];
  struct claim_answer answer = { .status = 200, .content_type = "a/b" };
  bool answered = attempt->dispatched && argument % 4 != 0;

  if (!attempt->granted || attempt->settles > 0 || !is_live (attempt))
    return;
  attempt->settles++;
  attempt->outcome = !attempt->dispatched ? CLAIM_NOT_RUN
                     : answered           ? CLAIM_DONE
                                          : CLAIM_UNKNOWN;
  if (answered)
    {
      execution->answered = true;
      execution->body_size = argument % 4 == 1 ? LARGE_BODY : argument;
      execution->fill = (char)('a' + argument % 26);
      answer.body = malloc (execution->body_size + 1);
      CHECK (answer.body != NULL);
      memset (answer.body, execution->fill, execution->body_size);
      answer.body_size = execution->body_size;
    }
  claim_settle (&world->tables[attempt->host], &attempt->call, attempt->outcome,
                answered ? &answer : NULL, world->now_ms);
  collect (attempt->host);
}

/* --- hosts --- */

static void
pass_time (int64_t ms)
{
  world->now_ms += ms;
  for (int i = 0; i < HOSTS; i++)
    {
      claim_tick (&world->tables[i], world->now_ms);
      collect (i);
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

/* What the host had in memory is gone, and its callers learn nothing. */
static void
crash (int host)
{
  for (int i = 0; i < world->attempt_count; i++)
    if (world->attempts[i].host == host)
      {
        world->attempts[i].call.decided = ignore_decided;
        world->attempts[i].call.settled = ignore_settled;
      }
  claim_table_finish (&world->tables[host]);
  world->lives[host]++;
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
      submit (command % 16, argument);
      break;
    case 3:
      pass_time (argument % 32);
      break;
    case 4:
      pass_time (argument * 4);
      break;
    case 5:
      if (argument >= 192)
        crash (argument % HOSTS);
      else
        world->now_ms += argument; /* a late tick */
      break;
    case 6:
    case 7:
      if (attempt != NULL)
        dispatch (attempt);
      break;
    case 8:
    case 9:
      /* A call that nobody dispatched is given up only now and then. */
      if (attempt != NULL && (attempt->dispatched || command >= 128))
        settle (attempt, command);
      break;
    default:
      if (world->message_count > 0)
        handle_message (argument % world->message_count,
                        command % 16 < 13 ? FATE_WORKS
                                          : (enum fate) (command / 16 % FATES));
      break;
    }
}

/* The stored record says that the attempt may be running. */
static bool
holds_claim (const struct attempt *attempt)
{
  const struct stored *stored = find_stored (attempt->call.object);
  const json_t *record;

  if (stored == NULL)
    return false;
  record = json_object_get (json_object_get (stored->value, "records"),
                            attempt->call.key);
  return strcmp (member (record, "token"), attempt->call.token) == 0
         && strcmp (member (record, "state"), "claimed") == 0;
}

/* The platform works again: everything must come to its end. */
static void
end_well (void)
{
  for (int i = 0; i < 20000; i++)
    {
      size_t unwritten = 0;

      if (world->message_count > 0)
        handle_message (0, FATE_WORKS);
      else
        pass_time (50);
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
          CHECK (attempt->decided == 1);
          CHECK (attempt->settled == attempt->settles);
        }
      CHECK (!attempt->told_not_run || !attempt->dispatched);
      CHECK (!attempt->told_not_run || !is_live (attempt)
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
  for (size_t i = 0; i + 1 < size && i < 2 * MAX_COMMANDS; i += 2)
    run_command (data[i], data[i + 1]);
  end_well ();
  for (int i = 0; i < HOSTS; i++)
    crash (i);
  while (world->message_count > 0)
    drop_message (0);
  for (int i = 0; i < world->stored_count; i++)
    json_decref (world->stored[i].value);
  free (world);
  return 0;
}

/* Each run plays a long history; fuzz-runs: 8000 */
