#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim.h"

#define OBJECT "claims/28000000/3"
#define KEY "00000000000000000000000000000001"
#define OTHER_KEY "00000000000000000000000000000002"
#define PRINT "0000000000000000000000000000000a"
#define OTHER_PRINT "0000000000000000000000000000000b"
#define OTHER_TOKEN "017f22e2-79b0-7cc3-98c4-dc0c0c073999"

/* --- an object store and an entry host --- */

struct store
{
  json_t *objects; /* name -> {"version","value"} */
  uint64_t revision;
};

/* What becomes of an action. */
enum fate
{
  FATE_WORKS,
  FATE_LOST_AFTER,  /* takes effect, answer lost */
  FATE_LOST_BEFORE, /* no effect, answer lost */
  FATE_OUTAGE,
};

struct host
{
  struct claim_table table;
  int64_t now_ms;
  enum fate write_fate; /* of the next write only */
  enum fate fate;       /* of all actions */
};

struct caller
{
  struct claim_call call;
  int decided;
  enum claim_verdict verdict;
  enum result result;
  int status;
  size_t body_size;
  char body[64];
  int settled;
  bool durable;
};

static void
store_init (struct store *store)
{
  store->objects = json_object ();
  store->revision = 0;
}

static uint64_t
store_version (const struct store *store, const char *object)
{
  return (uint64_t)json_integer_value (
      json_object_get (json_object_get (store->objects, object), "version"));
}

static json_t *
store_value (const struct store *store, const char *object)
{
  return json_object_get (json_object_get (store->objects, object), "value");
}

/* Shares the value, which nobody changes any more. */
static void
store_put (struct store *store, const char *object, const json_t *value)
{
  json_object_set_new (store->objects, object,
                       json_pack ("{s:I, s:o}", "version",
                                  (json_int_t)++store->revision, "value",
                                  json_incref ((json_t *)value)));
}

/* Another entry host's write of one record. */
static void
store_record (struct store *store,
              const char *key,
              const char *fingerprint,
              const char *token,
              enum claim_state state)
{
  struct claim_record record = { .state = state, .host = "other" };
  json_t *value = json_deep_copy (store_value (store, OBJECT));

  snprintf (record.fingerprint, sizeof record.fingerprint, "%s", fingerprint);
  snprintf (record.token, sizeof record.token, "%s", token);
  record.answer.status = 201;
  record.answer.body = (char *)"first answer";
  record.answer.body_size = strlen ("first answer");
  if (value == NULL)
    value = json_pack ("{s:{}}", "records");
  json_object_set_new (json_object_get (value, "records"), key,
                       claim_record_encode (&record));
  store_put (store, OBJECT, value);
  json_decref (value);
}

static const char *
stored_state (const struct store *store, const char *key)
{
  const char *state = json_string_value (json_object_get (
      json_object_get (json_object_get (store_value (store, OBJECT), "records"),
                       key),
      "state"));

  return state != NULL ? state : "absent";
}

static void
host_init (struct host *host, const char *name)
{
  memset (host, 0, sizeof *host);
  claim_table_init (&host->table, name, 1);
  host->now_ms = 1000;
}

static void
perform_read (struct host *host,
              const struct store *store,
              const struct claim_action *action,
              enum fate fate)
{
  json_t *value = store_value (store, action->object);

  if (fate == FATE_WORKS)
    claim_read_done (&host->table, action->object,
                     value != NULL ? RESULT_OK : RESULT_PLATFORM_NOT_FOUND,
                     store_version (store, action->object), value,
                     host->now_ms);
  else
    claim_read_done (&host->table, action->object, RESULT_PLATFORM_UNREACHABLE,
                     0, NULL, host->now_ms);
}

static void
perform_write (struct host *host,
               struct store *store,
               const struct claim_action *action,
               enum fate fate)
{
  uint64_t version = store_version (store, action->object);
  enum result result = RESULT_PLATFORM_CONFLICT;

  if (fate == FATE_OUTAGE)
    result = RESULT_PLATFORM_OUTAGE;
  else if (fate == FATE_LOST_BEFORE)
    result = RESULT_PLATFORM_LOST_ANSWER;
  else if (action->version == version)
    {
      store_put (store, action->object, action->value);
      version = store->revision;
      result
          = fate == FATE_LOST_AFTER ? RESULT_PLATFORM_LOST_ANSWER : RESULT_OK;
    }
  claim_write_done (&host->table, action->object, result, version,
                    host->now_ms);
}

/* False when there is no action. */
static bool
step (struct host *host, struct store *store)
{
  struct claim_action action;
  enum fate fate = host->fate;

  if (!claim_next_action (&host->table, &action))
    return false;
  if (action.kind == CLAIM_ACTION_READ)
    perform_read (host, store, &action, fate);
  else
    {
      if (fate == FATE_WORKS)
        fate = host->write_fate;
      host->write_fate = FATE_WORKS;
      perform_write (host, store, &action, fate);
    }
  return true;
}

/* Lets the time pass and performs every action. */
static void
run (struct host *host, struct store *store, int64_t ms)
{
  int64_t end = host->now_ms + ms;

  while (step (host, store))
    ;
  while (host->now_ms < end)
    {
      host->now_ms += 10;
      claim_tick (&host->table, host->now_ms);
      while (step (host, store))
        ;
    }
}

static void
on_decided (void *context,
            enum claim_verdict verdict,
            enum result result,
            const struct claim_record *record)
{
  struct caller *caller = context;

  caller->decided++;
  caller->verdict = verdict;
  caller->result = result;
  assert_int_equal (record != NULL, verdict == CLAIM_VERDICT_REPLAY);
  if (record == NULL)
    return;
  caller->status = record->answer.status;
  caller->body_size = record->answer.body_size;
  snprintf (caller->body, sizeof caller->body, "%.*s",
            (int)record->answer.body_size, record->answer.body);
}

static void
on_settled (void *context, bool durable)
{
  struct caller *caller = context;

  caller->settled++;
  caller->durable = durable;
}

static void
submit_to (struct host *host,
           struct caller *caller,
           int bucket,
           const char *key,
           const char *fingerprint)
{
  static uint64_t count;
  const uint64_t bits[2] = { 0, ++count };

  memset (caller, 0, sizeof *caller);
  snprintf (caller->call.object, sizeof caller->call.object, "claims/%d/3",
            bucket);
  snprintf (caller->call.key, sizeof caller->call.key, "%s", key);
  snprintf (caller->call.fingerprint, sizeof caller->call.fingerprint, "%s",
            fingerprint);
  uuid_format_v7 (caller->call.token, 1680000000000, bits);
  caller->call.deadline_ms = host->now_ms + 2000;
  caller->call.decided = on_decided;
  caller->call.settled = on_settled;
  caller->call.context = caller;
  claim_submit (&host->table, &caller->call, host->now_ms);
}

static void
submit (struct host *host,
        struct caller *caller,
        const char *key,
        const char *fingerprint)
{
  submit_to (host, caller, 28000000, key, fingerprint);
}

static void
settle_done (struct host *host, struct caller *caller, size_t body_size)
{
  struct claim_answer answer = { .status = 200, .content_type = "text/plain" };

  answer.body = malloc (body_size + 1);
  assert_non_null (answer.body);
  memset (answer.body, 'x', body_size);
  answer.body_size = body_size;
  claim_settle (&host->table, &caller->call, CLAIM_DONE, &answer, host->now_ms);
}

static void
assert_decided (const struct caller *caller,
                enum claim_verdict verdict,
                enum result result)
{
  assert_int_equal (caller->decided, 1);
  assert_int_equal (caller->verdict, verdict);
  assert_int_equal (caller->result, result);
}

/* --- keys --- */

#define NOW INT64_C (1700000000000)

struct locate_case
{
  const char *what;
  int64_t key_age_ms;
  int64_t skew_ms;
  enum result result;
};

/* An accepted key whose record may be deleted could run twice. */
static const struct locate_case locate_cases[] = {
  { "fresh", 0, 0, RESULT_OK },
  { "oldest", CLAIM_RETENTION_MS, 0, RESULT_OK },
  { "too old", CLAIM_RETENTION_MS + 1, 0, RESULT_IDEMPOTENCY_KEY_EXPIRED },
  { "ahead", -CLAIM_FUTURE_MS, 0, RESULT_OK },
  { "too far ahead", -CLAIM_FUTURE_MS - 1, 0, RESULT_IDEMPOTENCY_KEY_FUTURE },
  { "skew at the limit", 0, CLAIM_SKEW_MS, RESULT_OK },
  { "our clock is ahead", 0, CLAIM_SKEW_MS + 1, RESULT_CLOCK_SKEW },
  { "our clock is behind", 0, -CLAIM_SKEW_MS - 1, RESULT_CLOCK_SKEW },
};

static void
test_locate (void **state)
{
  char object[CLAIM_OBJECT_SIZE];
  char key[HASH_HEX_SIZE];

  (void)state;
  for (size_t i = 0; i < sizeof locate_cases / sizeof locate_cases[0]; i++)
    {
      const struct locate_case *c = &locate_cases[i];
      const uint64_t bits[2] = { 1, 2 };
      char uuid[UUID_SIZE];
      char expected[CLAIM_OBJECT_SIZE];
      enum result result;

      uuid_format_v7 (uuid, NOW - c->key_age_ms, bits);
      result = claim_locate ("atlas", "booking-app", uuid, NOW, c->skew_ms,
                             object, key);
      if (result != c->result)
        fail_msg ("%s: %s", c->what, result_info (result)->name);
      snprintf (expected, sizeof expected, "claims/%lld/",
                (long long)((NOW - c->key_age_ms) / 60000));
      if (result == RESULT_OK)
        assert_int_equal (strncmp (object, expected, strlen (expected)), 0);
    }
}

struct key_case
{
  const char *customer;
  const char *service;
  const char *uuid;
  enum result result;
  bool same; /* as the first case */
};

/* Two texts of one key must meet in one record, and two customers not. */
static const struct key_case key_cases[] = {
  { "a", "s", "018bcfe5-6800-7001-8000-00000000abcd", RESULT_OK, true },
  { "a", "s", "018BCFE5-6800-7001-8000-00000000ABCD", RESULT_OK, true },
  { "b", "s", "018bcfe5-6800-7001-8000-00000000abcd", RESULT_OK, false },
  { "a", "t", "018bcfe5-6800-7001-8000-00000000abcd", RESULT_OK, false },
  { "a", "s", "018bcfe5-6800-7001-8000-00000000abce", RESULT_OK, false },
  { "a", "s", NULL, RESULT_IDEMPOTENCY_KEY_REQUIRED, false },
  { "a", "s", "", RESULT_IDEMPOTENCY_KEY_REQUIRED, false },
  { "a", "s", "018bcfe5-6800-4001-8000-00000000abcd",
    RESULT_IDEMPOTENCY_KEY_REQUIRED, false },
};

static void
test_keys (void **state)
{
  char first[HASH_HEX_SIZE];
  char object[CLAIM_OBJECT_SIZE];
  char key[HASH_HEX_SIZE];

  (void)state;
  assert_int_equal (
      claim_locate ("a", "s", key_cases[0].uuid, NOW, 0, object, first),
      RESULT_OK);
  for (size_t i = 0; i < sizeof key_cases / sizeof key_cases[0]; i++)
    {
      const struct key_case *c = &key_cases[i];

      assert_int_equal (
          claim_locate (c->customer, c->service, c->uuid, NOW, 0, object, key),
          c->result);
      assert_int_equal (strcmp (key, first) == 0, c->same);
    }
}

static void
test_shards_are_used_evenly (void **state)
{
  int counts[CLAIM_SHARDS] = { 0 };

  (void)state;
  for (uint64_t i = 0; i < UINT64_C (100) * CLAIM_SHARDS; i++)
    {
      const uint64_t bits[2] = { 0, i };
      char uuid[UUID_SIZE];
      char object[CLAIM_OBJECT_SIZE];
      char key[HASH_HEX_SIZE];
      long shard;

      uuid_format_v7 (uuid, NOW, bits);
      assert_int_equal (claim_locate ("a", "s", uuid, NOW, 0, object, key),
                        RESULT_OK);
      shard = strtol (strrchr (object, '/') + 1, NULL, 10);
      assert_in_range (shard, 0, CLAIM_SHARDS - 1);
      counts[shard]++;
    }
  for (int i = 0; i < CLAIM_SHARDS; i++)
    assert_in_range (counts[i], 50, 150);
}

struct expiry_case
{
  const char *object; /* %lld: the bucket or a token of the age */
  int64_t age_ms;     /* of the end of the bucket */
  bool expired;
};

#define EXPIRY_MS (CLAIM_RETENTION_MS + CLAIM_DELETE_MARGIN_MS)

/* A record that is deleted too early lets its call run twice. */
static const struct expiry_case expiry_cases[] = {
  { "claims/%lld/0", 0, false },
  { "claims/%lld/15", CLAIM_RETENTION_MS + 1, false },
  { "claims/%lld/0", EXPIRY_MS - 1, false },
  { "claims/%lld/0", EXPIRY_MS, true },
  { "claims/%lld/9", 2 * EXPIRY_MS, true },
  { "claims/%lld", 2 * EXPIRY_MS, false },
  { "lease/%lld/0", 2 * EXPIRY_MS, false },
  { "claims/x%lld/0", 2 * EXPIRY_MS, false },
};

static void
test_expiry (void **state)
{
  const int64_t bucket = NOW / CLAIM_BUCKET_MS;
  const int64_t end = (bucket + 1) * CLAIM_BUCKET_MS;
  const uint64_t bits[2] = { 0, 0 };
  char uuid[UUID_SIZE];
  char answer[CLAIM_OBJECT_SIZE];

  (void)state;
  for (size_t i = 0; i < sizeof expiry_cases / sizeof expiry_cases[0]; i++)
    {
      const struct expiry_case *c = &expiry_cases[i];
      char object[CLAIM_OBJECT_SIZE];

      /* The format comes from the table above. */
      snprintf (object, sizeof object, c->object, (long long)bucket);
      if (claim_object_expired (object, end + c->age_ms) != c->expired)
        fail_msg ("case %zu", i);
    }
  assert_int_equal (claim_expired_bucket (end + EXPIRY_MS), bucket);
  assert_int_equal (claim_expired_bucket (end + EXPIRY_MS - 1), bucket - 1);
  assert_int_equal (claim_expired_bucket (1000), -1);
  uuid_format_v7 (uuid, end - 1, bits);
  snprintf (answer, sizeof answer, "answers/%s", uuid);
  assert_false (claim_object_expired (answer, end + EXPIRY_MS - 1));
  assert_true (claim_object_expired (answer, end + EXPIRY_MS));
}

/* --- codec --- */

struct body_case
{
  const char *body;
  size_t size;
};

static const struct body_case body_cases[] = {
  { "", 0 },
  { "{\"id\":1}", 8 },
  { "a\0b", 3 },
  { "\xff\xfe\x00\x01", 4 },
  { "\x01\x02\x03", 3 },
  { "\xc3\xa9t\xc3\xa9", 5 },
};

static void
test_record_codec (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof body_cases / sizeof body_cases[0]; i++)
    for (int s = CLAIM_CLAIMED; s <= CLAIM_UNKNOWN; s++)
      {
        struct claim_record record = { .key = KEY,
                                       .fingerprint = PRINT,
                                       .token = OTHER_TOKEN,
                                       .host = "e1",
                                       .state = (enum claim_state)s };
        struct claim_record decoded;
        json_t *value;
        json_t *loaded;
        char *text;

        if (s == CLAIM_DONE)
          {
            record.answer.status = 409;
            snprintf (record.answer.content_type,
                      sizeof record.answer.content_type, "a/b; c=\"d\"");
            record.answer.body = (char *)body_cases[i].body;
            record.answer.body_size = body_cases[i].size;
          }
        value = claim_record_encode (&record);
        text = json_dumps (value, JSON_COMPACT);
        loaded = json_loads (text, 0, NULL);
        assert_int_equal (claim_record_decode (&decoded, KEY, loaded),
                          RESULT_OK);
        assert_int_equal (decoded.state, record.state);
        assert_string_equal (decoded.key, record.key);
        assert_string_equal (decoded.fingerprint, record.fingerprint);
        assert_string_equal (decoded.token, record.token);
        assert_string_equal (decoded.host, record.host);
        assert_int_equal (decoded.answer.status, record.answer.status);
        assert_string_equal (decoded.answer.content_type,
                             record.answer.content_type);
        assert_int_equal (decoded.answer.body_size, record.answer.body_size);
        if (record.answer.body_size > 0)
          assert_memory_equal (decoded.answer.body, record.answer.body,
                               record.answer.body_size);
        claim_record_finish (&decoded);
        json_decref (loaded);
        json_decref (value);
        free (text);
      }
}

#define GOOD                                                                   \
  "\"fingerprint\":\"" PRINT "\",\"token\":\"" OTHER_TOKEN "\",\"host\":\"e\""

/* Objects are written by other hosts, perhaps of another version. */
static const char *const bad_records[] = {
  "[]",
  "{}",
  "{" GOOD "}",
  "{" GOOD ",\"state\":\"odd\"}",
  "{" GOOD ",\"state\":1}",
  "{" GOOD ",\"state\":\"done\"}",
  "{" GOOD ",\"state\":\"done\",\"status\":7,\"content_type\":\"a\"}",
  "{" GOOD ",\"state\":\"done\",\"status\":200,\"content_type\":\"a\","
  "\"body\":1}",
  "{" GOOD ",\"state\":\"done\",\"status\":200,\"content_type\":\"a\","
  "\"body64\":\"???\"}",
  "{\"fingerprint\":\"" PRINT "\",\"token\":\"x\",\"host\":\"e\",\"state\":"
  "\"claimed\"}",
};

static void
test_bad_records (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof bad_records / sizeof bad_records[0]; i++)
    {
      json_t *value = json_loads (bad_records[i], 0, NULL);
      struct claim_record record;

      assert_non_null (value);
      if (claim_record_decode (&record, KEY, value) != RESULT_INVALID)
        fail_msg ("%s", bad_records[i]);
      assert_null (record.answer.body);
      json_decref (value);
    }
}

/* --- a call that meets a record --- */

struct repeat_case
{
  const char *what;
  enum claim_state state; /* of the record of another host */
  const char *fingerprint;
  enum claim_verdict verdict;
  enum result result;
};

static const struct repeat_case repeat_cases[] = {
  { "claimed", CLAIM_CLAIMED, PRINT, CLAIM_VERDICT_REFUSED,
    RESULT_CLAIM_IN_PROGRESS },
  { "done", CLAIM_DONE, PRINT, CLAIM_VERDICT_REPLAY, RESULT_OK },
  { "not run", CLAIM_NOT_RUN, PRINT, CLAIM_VERDICT_GRANTED, RESULT_OK },
  { "unknown", CLAIM_UNKNOWN, PRINT, CLAIM_VERDICT_REFUSED,
    RESULT_CLAIM_IN_PROGRESS },
  { "claimed, other request", CLAIM_CLAIMED, OTHER_PRINT, CLAIM_VERDICT_REFUSED,
    RESULT_IDEMPOTENCY_KEY_REUSED },
  { "done, other request", CLAIM_DONE, OTHER_PRINT, CLAIM_VERDICT_REFUSED,
    RESULT_IDEMPOTENCY_KEY_REUSED },
  { "not run, other request", CLAIM_NOT_RUN, OTHER_PRINT, CLAIM_VERDICT_REFUSED,
    RESULT_IDEMPOTENCY_KEY_REUSED },
  { "unknown, other request", CLAIM_UNKNOWN, OTHER_PRINT, CLAIM_VERDICT_REFUSED,
    RESULT_IDEMPOTENCY_KEY_REUSED },
};

static void
test_repeat_through_another_host (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof repeat_cases / sizeof repeat_cases[0]; i++)
    {
      const struct repeat_case *c = &repeat_cases[i];
      struct store store;
      struct host host;
      struct caller caller;

      store_init (&store);
      host_init (&host, "e1");
      store_record (&store, KEY, c->fingerprint, OTHER_TOKEN, c->state);
      submit (&host, &caller, KEY, PRINT);
      run (&host, &store, 0);
      if (caller.decided != 1 || caller.verdict != c->verdict
          || caller.result != c->result)
        fail_msg ("%s: %s", c->what, result_info (caller.result)->name);
      if (c->verdict == CLAIM_VERDICT_REPLAY)
        {
          assert_int_equal (caller.status, 201);
          assert_string_equal (caller.body, "first answer");
        }
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/* A copy that shows "claimed" must not hide a later outcome for ever. */
static void
test_stale_copy_is_read_again (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  store_record (&store, KEY, PRINT, OTHER_TOKEN, CLAIM_CLAIMED);
  submit (&host, &caller, KEY, PRINT);
  run (&host, &store, 0);
  assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS);
  store_record (&store, KEY, PRINT, OTHER_TOKEN, CLAIM_DONE);
  submit (&host, &caller, KEY, PRINT);
  run (&host, &store, 0);
  assert_decided (&caller, CLAIM_VERDICT_REPLAY, RESULT_OK);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

static void
test_repeat_through_the_same_host (void **state)
{
  struct store store;
  struct host host;
  struct caller first;
  struct caller second;
  struct caller third;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  submit (&host, &first, KEY, PRINT);
  submit (&host, &second, KEY, PRINT);
  run (&host, &store, 100);
  assert_decided (&first, CLAIM_VERDICT_GRANTED, RESULT_OK);
  assert_decided (&second, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS);
  settle_done (&host, &first, 10);
  run (&host, &store, 0);
  assert_int_equal (first.settled, 1);
  assert_true (first.durable);
  submit (&host, &third, KEY, PRINT);
  assert_decided (&third, CLAIM_VERDICT_REPLAY, RESULT_OK);
  assert_int_equal (third.body_size, 10);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* --- faults of the claim's write --- */

enum rival
{
  RIVAL_NONE,
  RIVAL_OTHER_KEY, /* another host writes another key just before */
  RIVAL_SAME_KEY,
};

struct fault_case
{
  const char *what;
  enum fate fate;
  enum rival rival;
  enum claim_verdict verdict;
  enum result result;
  uint64_t writes;
};

static const struct fault_case fault_cases[] = {
  { "none", FATE_WORKS, RIVAL_NONE, CLAIM_VERDICT_GRANTED, RESULT_OK, 1 },
  { "lost after its effect", FATE_LOST_AFTER, RIVAL_NONE, CLAIM_VERDICT_GRANTED,
    RESULT_OK, 1 },
  { "lost before its effect", FATE_LOST_BEFORE, RIVAL_NONE,
    CLAIM_VERDICT_GRANTED, RESULT_OK, 2 },
  { "one refused write", FATE_OUTAGE, RIVAL_NONE, CLAIM_VERDICT_GRANTED,
    RESULT_OK, 2 },
  { "conflict on another key", FATE_WORKS, RIVAL_OTHER_KEY,
    CLAIM_VERDICT_GRANTED, RESULT_OK, 2 },
  { "conflict on the key", FATE_WORKS, RIVAL_SAME_KEY, CLAIM_VERDICT_REFUSED,
    RESULT_CLAIM_IN_PROGRESS, 1 },
  { "lost, and a rival on another key", FATE_LOST_BEFORE, RIVAL_OTHER_KEY,
    CLAIM_VERDICT_GRANTED, RESULT_OK, 2 },
  { "lost, and a rival on the key", FATE_LOST_BEFORE, RIVAL_SAME_KEY,
    CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS, 1 },
};

static void
test_faults_of_the_claim (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fault_cases / sizeof fault_cases[0]; i++)
    {
      const struct fault_case *c = &fault_cases[i];
      struct store store;
      struct host host;
      struct caller caller;

      store_init (&store);
      host_init (&host, "e1");
      host.write_fate = c->fate;
      submit (&host, &caller, KEY, PRINT);
      assert_true (step (&host, &store)); /* the read */
      if (c->rival != RIVAL_NONE)
        store_record (&store, c->rival == RIVAL_SAME_KEY ? KEY : OTHER_KEY,
                      PRINT, OTHER_TOKEN, CLAIM_CLAIMED);
      run (&host, &store, 500);
      if (caller.decided != 1 || caller.verdict != c->verdict
          || caller.result != c->result
          || host.table.counts.writes != c->writes)
        fail_msg ("%s: %s after %d writes", c->what,
                  result_info (caller.result)->name,
                  (int)host.table.counts.writes);
      if (c->rival == RIVAL_OTHER_KEY)
        assert_string_equal (stored_state (&store, OTHER_KEY), "claimed");
      assert_string_equal (stored_state (&store, KEY), "claimed");
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

struct deadline_case
{
  const char *what;
  enum fate first;  /* of the write of the claim */
  const char *then; /* state once the platform is back */
};

/* A call refused as not run must not leave a claim that blocks its key. */
static const struct deadline_case deadline_cases[] = {
  { "refused", FATE_OUTAGE, "absent" },
  { "lost after its effect", FATE_LOST_AFTER, "not_run" },
  { "lost before its effect", FATE_LOST_BEFORE, "not_run" },
};

static void
test_deadline (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof deadline_cases / sizeof deadline_cases[0]; i++)
    {
      const struct deadline_case *c = &deadline_cases[i];
      struct store store;
      struct host host;
      struct caller caller;
      struct caller again;

      store_init (&store);
      host_init (&host, "e1");
      host.write_fate = c->first;
      submit (&host, &caller, KEY, PRINT);
      assert_true (step (&host, &store));
      assert_true (step (&host, &store));
      host.fate = FATE_OUTAGE;
      run (&host, &store, 1900);
      assert_int_equal (caller.decided, 0);
      run (&host, &store, 200);
      assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_UNAVAILABLE);
      host.fate = FATE_WORKS;
      run (&host, &store, 5000);
      if (strcmp (stored_state (&store, KEY), c->then) != 0)
        fail_msg ("%s: %s", c->what, stored_state (&store, KEY));
      assert_int_equal (claim_unwritten (&host.table), 0);
      assert_int_equal (caller.decided, 1);
      submit (&host, &again, KEY, PRINT);
      run (&host, &store, 100);
      assert_decided (&again, CLAIM_VERDICT_GRANTED, RESULT_OK);
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/*
 * A write whose answer was lost may take effect after the read that did not
 * show it.  The refused call's claim must end as not_run all the same.
 */
static void
test_lost_write_that_lands_late (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;
  struct claim_action action;
  json_t *late;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  submit (&host, &caller, KEY, PRINT);
  assert_true (step (&host, &store));
  assert_true (claim_next_action (&host.table, &action));
  assert_int_equal (action.kind, CLAIM_ACTION_WRITE);
  late = json_deep_copy (action.value);
  host.now_ms += 2100;
  claim_tick (&host.table, host.now_ms);
  assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_UNAVAILABLE);
  claim_write_done (&host.table, OBJECT, RESULT_PLATFORM_LOST_ANSWER, 0,
                    host.now_ms);
  assert_true (step (&host, &store)); /* reads: not there yet */
  if (store_version (&store, OBJECT) == 0)
    store_put (&store, OBJECT, late);
  run (&host, &store, 1000);
  assert_string_equal (stored_state (&store, KEY), "not_run");
  assert_int_equal (claim_unwritten (&host.table), 0);
  json_decref (late);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* The write succeeds after the call was refused: it must not be granted. */
static void
test_write_answered_after_the_deadline (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;
  struct claim_action action;

  (void)state;
  for (int ticks = 0; ticks < 2; ticks++)
    {
      store_init (&store);
      host_init (&host, "e1");
      submit (&host, &caller, KEY, PRINT);
      assert_true (step (&host, &store));
      assert_true (claim_next_action (&host.table, &action));
      host.now_ms += 2100;
      if (ticks != 0)
        claim_tick (&host.table, host.now_ms);
      perform_write (&host, &store, &action, FATE_WORKS);
      assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_UNAVAILABLE);
      assert_string_equal (stored_state (&store, KEY), "claimed");
      run (&host, &store, 100);
      assert_string_equal (stored_state (&store, KEY), "not_run");
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/* --- group commit --- */

static void
test_group_commit (void **state)
{
  struct store store;
  struct host host;
  static struct caller callers[100];

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  for (int i = 0; i < 100; i++)
    {
      char key[HASH_HEX_SIZE];

      snprintf (key, sizeof key, "%032d", i);
      submit (&host, &callers[i], key, PRINT);
      if (i == 0)
        assert_true (step (&host, &store));
    }
  run (&host, &store, 100);
  for (int i = 0; i < 100; i++)
    assert_decided (&callers[i], CLAIM_VERDICT_GRANTED, RESULT_OK);
  assert_int_equal (host.table.counts.writes, 2);
  assert_int_equal (host.table.counts.reads, 1);
  for (int i = 0; i < 100; i++)
    settle_done (&host, &callers[i], 10);
  run (&host, &store, 100);
  assert_int_equal (host.table.counts.writes, 4);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* --- outcomes --- */

struct settle_case
{
  const char *what;
  const char *state; /* at the end */
  size_t body_size;  /* of a done outcome */
  int64_t outage_ms; /* from the settling on */
  enum fate fate;    /* of the first write of the outcome */
  enum claim_state outcome;
  bool durable;   /* as told to the caller */
  bool in_object; /* the answer is in an object of its own */
};

static const struct settle_case settle_cases[] = {
  { "done", "done", 100, 0, FATE_WORKS, CLAIM_DONE, true, false },
  { "no body", "done", 0, 0, FATE_WORKS, CLAIM_DONE, true, false },
  { "not run", "not_run", 0, 0, FATE_WORKS, CLAIM_NOT_RUN, true, false },
  { "unknown", "unknown", 0, 0, FATE_WORKS, CLAIM_UNKNOWN, true, false },
  { "lost after", "done", 100, 0, FATE_LOST_AFTER, CLAIM_DONE, true, false },
  { "lost before", "done", 100, 0, FATE_LOST_BEFORE, CLAIM_DONE, true, false },
  { "inline limit", "done", 16384, 0, FATE_WORKS, CLAIM_DONE, true, false },
  { "large", "done", 16385, 0, FATE_WORKS, CLAIM_DONE, true, true },
  { "large, lost after", "done", 50000, 0, FATE_LOST_AFTER, CLAIM_DONE, true,
    true },
  { "large, lost before", "done", 50000, 0, FATE_LOST_BEFORE, CLAIM_DONE, true,
    true },
  { "too large", "unknown", 1100000, 0, FATE_WORKS, CLAIM_DONE, true, false },
  { "outage", "done", 100, 2000, FATE_WORKS, CLAIM_DONE, false, false },
  { "large, outage", "done", 50000, 2000, FATE_WORKS, CLAIM_DONE, false, true },
};

static void
check_replay (struct host *host,
              struct store *store,
              const struct settle_case *c)
{
  struct host other;
  struct caller repeat;

  for (int through_other = 0; through_other < 2; through_other++)
    {
      struct host *via = through_other != 0 ? &other : host;

      host_init (&other, "e2");
      submit (via, &repeat, KEY, PRINT);
      run (via, store, 100);
      if (strcmp (c->state, "done") == 0)
        {
          assert_decided (&repeat, CLAIM_VERDICT_REPLAY, RESULT_OK);
          assert_int_equal (repeat.status, 200);
          assert_int_equal (repeat.body_size, c->body_size);
        }
      else if (strcmp (c->state, "unknown") == 0)
        assert_decided (&repeat, CLAIM_VERDICT_REFUSED,
                        RESULT_CLAIM_IN_PROGRESS);
      else if (through_other == 0)
        assert_decided (&repeat, CLAIM_VERDICT_GRANTED, RESULT_OK);
      claim_table_finish (&other.table);
    }
}

static void
test_settle (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof settle_cases / sizeof settle_cases[0]; i++)
    {
      const struct settle_case *c = &settle_cases[i];
      struct store store;
      struct host host;
      struct caller caller;
      char object[CLAIM_OBJECT_SIZE];

      store_init (&store);
      host_init (&host, "e1");
      submit (&host, &caller, KEY, PRINT);
      snprintf (object, sizeof object, "answers/%s", caller.call.token);
      run (&host, &store, 0);
      assert_decided (&caller, CLAIM_VERDICT_GRANTED, RESULT_OK);
      host.write_fate = c->fate;
      host.fate = c->outage_ms > 0 ? FATE_OUTAGE : FATE_WORKS;
      if (c->outcome == CLAIM_DONE)
        settle_done (&host, &caller, c->body_size);
      else
        claim_settle (&host.table, &caller.call, c->outcome, NULL, host.now_ms);
      run (&host, &store, 490);
      assert_int_equal (caller.settled, c->durable);
      run (&host, &store, 20);
      assert_int_equal (caller.settled, 1);
      assert_int_equal (caller.durable, c->durable);
      run (&host, &store, c->outage_ms);
      host.fate = FATE_WORKS;
      run (&host, &store, 2000);
      if (strcmp (stored_state (&store, KEY), c->state) != 0)
        fail_msg ("%s: %s", c->what, stored_state (&store, KEY));
      assert_int_equal (store_value (&store, object) != NULL, c->in_object);
      assert_int_equal (caller.settled, 1);
      assert_int_equal (claim_unwritten (&host.table), 0);
      check_replay (&host, &store, c);
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/* A token used twice would make two calls see one claim as their own. */
static void
test_token_is_used_once (void **state)
{
  struct store store;
  struct host host;
  struct caller first;
  struct caller second;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  submit (&host, &first, KEY, PRINT);
  second = first;
  second.call.context = &second;
  claim_submit (&host.table, &second.call, host.now_ms);
  assert_decided (&second, CLAIM_VERDICT_REFUSED, RESULT_INVALID);
  run (&host, &store, 0);
  assert_decided (&first, CLAIM_VERDICT_GRANTED, RESULT_OK);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* A settle without a granted claim must not change a record. */
static void
test_settle_without_claim (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  store_record (&store, KEY, PRINT, OTHER_TOKEN, CLAIM_CLAIMED);
  submit (&host, &caller, KEY, PRINT);
  run (&host, &store, 0);
  assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS);
  settle_done (&host, &caller, 5);
  assert_int_equal (caller.settled, 1);
  assert_false (caller.durable);
  run (&host, &store, 100);
  assert_string_equal (stored_state (&store, KEY), "claimed");
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* --- bounds --- */

static void
test_full_shard (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;
  int granted = 0;
  char *text;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  for (int i = 0; i < 2100; i++)
    {
      char key[HASH_HEX_SIZE];

      snprintf (key, sizeof key, "%032d", i);
      submit (&host, &caller, key, PRINT);
      run (&host, &store, 0);
      assert_int_equal (caller.decided, 1);
      if (caller.verdict != CLAIM_VERDICT_GRANTED)
        {
          assert_int_equal (caller.result, RESULT_CLAIM_UNAVAILABLE);
          break;
        }
      granted++;
      settle_done (&host, &caller, 1000);
      run (&host, &store, 0);
      assert_true (caller.durable);
    }
  assert_int_equal (caller.verdict, CLAIM_VERDICT_REFUSED);
  assert_in_range (granted, 1000, CLAIM_OBJECT_LIMIT / CLAIM_RECORD_ROOM);
  text = json_dumps (store_value (&store, OBJECT), JSON_COMPACT);
  assert_in_range (strlen (text), 1, 1048576);
  free (text);
  /* Repeats are still answered. */
  submit (&host, &caller, "00000000000000000000000000000000", PRINT);
  run (&host, &store, 0);
  assert_decided (&caller, CLAIM_VERDICT_REPLAY, RESULT_OK);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

static void
test_unused_shards_leave_the_cache (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  submit (&host, &caller, KEY, PRINT);
  run (&host, &store, CLAIM_CACHE_MS + 100);
  assert_non_null (host.table.shards); /* a granted call needs it */
  settle_done (&host, &caller, 10);
  run (&host, &store, 100);
  assert_non_null (host.table.shards);
  run (&host, &store, CLAIM_CACHE_MS + 100);
  assert_null (host.table.shards);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

static void
test_operation_limit (void **state)
{
  struct host host;
  struct caller *callers = calloc (CLAIM_OPERATION_LIMIT + 1, sizeof *callers);

  (void)state;
  assert_non_null (callers);
  host_init (&host, "e1");
  for (int i = 0; i <= CLAIM_OPERATION_LIMIT; i++)
    submit_to (&host, &callers[i], 28000000 + i, KEY, PRINT);
  for (int i = 0; i < CLAIM_OPERATION_LIMIT; i++)
    assert_int_equal (callers[i].decided, 0);
  assert_decided (&callers[CLAIM_OPERATION_LIMIT], CLAIM_VERDICT_REFUSED,
                  RESULT_CLAIM_UNAVAILABLE);
  claim_table_finish (&host.table);
  for (int i = 0; i < CLAIM_OPERATION_LIMIT; i++)
    assert_decided (&callers[i], CLAIM_VERDICT_REFUSED,
                    RESULT_CLAIM_UNAVAILABLE);
  free (callers);
}

/* A damaged object must neither crash the host nor let a call run. */
static void
test_damaged_objects (void **state)
{
  static const char *const values[] = {
    "[]",
    "{}",
    "{\"records\":[]}",
    "{\"records\":{\"" KEY "\":5}}",
    "{\"records\":{\"" KEY "\":{\"state\":\"claimed\"}}}",
  };

  (void)state;
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      struct store store;
      struct host host;
      struct caller caller;
      json_t *value = json_loads (values[i], 0, NULL);

      store_init (&store);
      host_init (&host, "e1");
      store_put (&store, OBJECT, value);
      submit (&host, &caller, KEY, PRINT);
      run (&host, &store, 3000);
      assert_int_equal (caller.decided, 1);
      assert_int_equal (caller.verdict, CLAIM_VERDICT_REFUSED);
      assert_true (json_equal (store_value (&store, OBJECT), value));
      json_decref (value);
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_locate),
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_shards_are_used_evenly),
    cmocka_unit_test (test_expiry),
    cmocka_unit_test (test_record_codec),
    cmocka_unit_test (test_bad_records),
    cmocka_unit_test (test_repeat_through_another_host),
    cmocka_unit_test (test_stale_copy_is_read_again),
    cmocka_unit_test (test_repeat_through_the_same_host),
    cmocka_unit_test (test_faults_of_the_claim),
    cmocka_unit_test (test_deadline),
    cmocka_unit_test (test_lost_write_that_lands_late),
    cmocka_unit_test (test_write_answered_after_the_deadline),
    cmocka_unit_test (test_group_commit),
    cmocka_unit_test (test_settle),
    cmocka_unit_test (test_token_is_used_once),
    cmocka_unit_test (test_settle_without_claim),
    cmocka_unit_test (test_full_shard),
    cmocka_unit_test (test_unused_shards_leave_the_cache),
    cmocka_unit_test (test_operation_limit),
    cmocka_unit_test (test_damaged_objects),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
