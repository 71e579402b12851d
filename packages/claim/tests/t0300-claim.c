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
#define FINGERPRINT "0000000000000000000000000000000a"
#define OTHER_FINGERPRINT "0000000000000000000000000000000b"
#define OTHER_TOKEN "017f22e2-79b0-7cc3-98c4-dc0c0c073999"

/* --- an object store and an entry host --- */

struct store
{
  json_t *objects; /* name -> {"version","value"} */
  uint64_t revision;
};

/* How the store treats an action. */
enum fault
{
  FAULT_NONE,
  FAULT_LOST_AFTER_EFFECT,  /* takes effect, response lost */
  FAULT_LOST_BEFORE_EFFECT, /* no effect, response lost */
  FAULT_OUTAGE,
};

struct host
{
  struct claim_table table;
  int64_t now_ms;
  enum fault next_write_fault; /* of the next write only */
  enum fault fault;            /* of all actions */
};

struct caller
{
  struct claim_call call;
  int decided; /* calls of the decided callback */
  enum claim_verdict verdict;
  enum result result;
  int status;
  size_t body_size;
  char body[64];
  int settled; /* calls of the settled callback */
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

/* Keeps a reference to the value, which must not be changed any more. */
static void
store_put (struct store *store, const char *object, const json_t *value)
{
  json_object_set_new (store->objects, object,
                       json_pack ("{s:I, s:o}", "version",
                                  (json_int_t)++store->revision, "value",
                                  json_incref ((json_t *)value)));
}

/* Writes one record as another entry host does. */
static void
store_other_host_record (struct store *store,
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
              enum fault fault)
{
  json_t *value = store_value (store, action->object);

  if (fault == FAULT_NONE)
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
               enum fault fault)
{
  uint64_t version = store_version (store, action->object);
  enum result result = RESULT_PLATFORM_CONFLICT;

  if (fault == FAULT_OUTAGE)
    result = RESULT_PLATFORM_OUTAGE;
  else if (fault == FAULT_LOST_BEFORE_EFFECT)
    result = RESULT_PLATFORM_LOST_ANSWER;
  else if (action->version == version)
    {
      store_put (store, action->object, action->value);
      version = store->revision;
      result = fault == FAULT_LOST_AFTER_EFFECT ? RESULT_PLATFORM_LOST_ANSWER
                                                : RESULT_OK;
    }
  claim_write_done (&host->table, action->object, result, version,
                    host->now_ms);
}

/* Performs the next action; false if there is none. */
static bool
perform_next_action (struct host *host, struct store *store)
{
  struct claim_action action;
  enum fault fault = host->fault;

  if (!claim_next_action (&host->table, &action))
    return false;
  if (action.kind == CLAIM_ACTION_READ)
    perform_read (host, store, &action, fault);
  else
    {
      if (fault == FAULT_NONE)
        fault = host->next_write_fault;
      host->next_write_fault = FAULT_NONE;
      perform_write (host, store, &action, fault);
    }
  return true;
}

/* Advances the time by ms and performs all actions. */
static void
run_for (struct host *host, struct store *store, int64_t ms)
{
  int64_t end = host->now_ms + ms;

  while (perform_next_action (host, store))
    ;
  while (host->now_ms < end)
    {
      host->now_ms += 10;
      claim_tick (&host->table, host->now_ms);
      while (perform_next_action (host, store))
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
submit_to_bucket (struct host *host,
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
submit_call (struct host *host,
             struct caller *caller,
             const char *key,
             const char *fingerprint)
{
  submit_to_bucket (host, caller, 28000000, key, fingerprint);
}

static void
settle_done (struct host *host, struct caller *caller, size_t body_size)
{
  struct claim_answer answer
      = { .status = 200, .content_type = strdup ("text/plain") };

  assert_non_null (answer.content_type);
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

#define NOW_MS INT64_C (1700000000000)

struct locate_case
{
  const char *name;
  int64_t key_age_ms;
  int64_t skew_ms;
  enum result result;
};

/*
 * If a key were accepted after its record may be deleted, its call could run
 * twice.
 */
static const struct locate_case locate_cases[] = {
  { "fresh", 0, 0, RESULT_OK },
  { "oldest", CLAIM_RETENTION_MS, 0, RESULT_OK },
  { "too old", CLAIM_RETENTION_MS + 1, 0, RESULT_IDEMPOTENCY_KEY_EXPIRED },
  { "ahead", -CLAIM_KEY_FUTURE_LIMIT_MS, 0, RESULT_OK },
  { "too far ahead", -CLAIM_KEY_FUTURE_LIMIT_MS - 1, 0,
    RESULT_IDEMPOTENCY_KEY_FUTURE },
  { "skew at the limit", 0, CLAIM_CLOCK_SKEW_LIMIT_MS, RESULT_OK },
  { "our clock is ahead", 0, CLAIM_CLOCK_SKEW_LIMIT_MS + 1, RESULT_CLOCK_SKEW },
  { "our clock is behind", 0, -CLAIM_CLOCK_SKEW_LIMIT_MS - 1,
    RESULT_CLOCK_SKEW },
};

static void
test_key_age_and_clock_skew (void **state)
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

      uuid_format_v7 (uuid, NOW_MS - c->key_age_ms, bits);
      result = claim_locate ("atlas", "booking-app", uuid, NOW_MS, c->skew_ms,
                             object, key);
      if (result != c->result)
        fail_msg ("%s: %s", c->name, result_info (result)->name);
      snprintf (expected, sizeof expected, "claims/%lld/",
                (long long)((NOW_MS - c->key_age_ms) / 60000));
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
  bool same; /* has the same record as the first case */
};

/*
 * Two spellings of one key must have the same record; two customers, services
 * or keys must not.
 */
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
test_record_of_key (void **state)
{
  char first[HASH_HEX_SIZE];
  char object[CLAIM_OBJECT_SIZE];
  char key[HASH_HEX_SIZE];

  (void)state;
  assert_int_equal (
      claim_locate ("a", "s", key_cases[0].uuid, NOW_MS, 0, object, first),
      RESULT_OK);
  for (size_t i = 0; i < sizeof key_cases / sizeof key_cases[0]; i++)
    {
      const struct key_case *c = &key_cases[i];

      assert_int_equal (claim_locate (c->customer, c->service, c->uuid, NOW_MS,
                                      0, object, key),
                        c->result);
      assert_int_equal (strcmp (key, first) == 0, c->same);
    }
}

/* An uneven hash would fill some shards early and refuse claims there. */
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

      uuid_format_v7 (uuid, NOW_MS, bits);
      assert_int_equal (claim_locate ("a", "s", uuid, NOW_MS, 0, object, key),
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
  const char *object; /* format; %lld is the bucket */
  int64_t age_ms;     /* since the end of the bucket */
  bool expired;
};

#define EXPIRY_MS (CLAIM_RETENTION_MS + CLAIM_DELETE_MARGIN_MS)

/* If a record is deleted too early, its call can run twice. */
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
test_object_expiry (void **state)
{
  const int64_t bucket = NOW_MS / CLAIM_BUCKET_MS;
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
      if (claim_object_is_expired (object, end + c->age_ms) != c->expired)
        fail_msg ("case %zu", i);
    }
  assert_int_equal (claim_latest_expired_bucket (end + EXPIRY_MS), bucket);
  assert_int_equal (claim_latest_expired_bucket (end + EXPIRY_MS - 1),
                    bucket - 1);
  assert_int_equal (claim_latest_expired_bucket (1000), -1);
  uuid_format_v7 (uuid, end - 1, bits);
  snprintf (answer, sizeof answer, "answers/%s", uuid);
  assert_false (claim_object_is_expired (answer, end + EXPIRY_MS - 1));
  assert_true (claim_object_is_expired (answer, end + EXPIRY_MS));
}

/* --- codec --- */

/* Of 200 bytes, more than a record reserves. */
#define LONG_TYPE                                                              \
  "multipart/mixed; boundary=\"0123456789012345678901234567890123456789\"; "   \
  "start=\"0123456789012345678901234567890123456789\"; "                       \
  "type=\"01234567890123456789012345678901234567890123456789012345678\""

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
                                       .fingerprint = FINGERPRINT,
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
            record.answer.content_type
                = i % 2 == 0 ? "a/b; c=\"d\"" : LONG_TYPE;
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
        if (s == CLAIM_DONE)
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

#define VALID_FIELDS                                                           \
  "\"fingerprint\":\"" FINGERPRINT "\",\"token\":\"" OTHER_TOKEN               \
  "\",\"host\":\"e\""

/* Other hosts, perhaps with another version, write the objects. */
static const char *const bad_records[] = {
  "[]",
  "{}",
  "{" VALID_FIELDS "}",
  "{" VALID_FIELDS ",\"state\":\"odd\"}",
  "{" VALID_FIELDS ",\"state\":1}",
  "{" VALID_FIELDS ",\"state\":\"done\"}",
  "{" VALID_FIELDS ",\"state\":\"done\",\"status\":7,\"content_type\":\"a\"}",
  "{" VALID_FIELDS ",\"state\":\"done\",\"status\":200,\"content_type\":\"a\","
  "\"body\":1}",
  "{" VALID_FIELDS ",\"state\":\"done\",\"status\":200,\"content_type\":\"a\","
  "\"body64\":\"???\"}",
  "{\"fingerprint\":\"" FINGERPRINT
  "\",\"token\":\"x\",\"host\":\"e\",\"state\":"
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

/* --- calls whose key already has a record --- */

struct repeat_case
{
  const char *name;
  enum claim_state state; /* of the record that another host wrote */
  const char *fingerprint;
  enum claim_verdict verdict;
  enum result result;
};

static const struct repeat_case repeat_cases[] = {
  { "claimed", CLAIM_CLAIMED, FINGERPRINT, CLAIM_VERDICT_REFUSED,
    RESULT_CLAIM_IN_PROGRESS },
  { "done", CLAIM_DONE, FINGERPRINT, CLAIM_VERDICT_REPLAY, RESULT_OK },
  { "not run", CLAIM_NOT_RUN, FINGERPRINT, CLAIM_VERDICT_GRANTED, RESULT_OK },
  { "unknown", CLAIM_UNKNOWN, FINGERPRINT, CLAIM_VERDICT_REFUSED,
    RESULT_CLAIM_IN_PROGRESS },
  { "claimed, other request", CLAIM_CLAIMED, OTHER_FINGERPRINT,
    CLAIM_VERDICT_REFUSED, RESULT_IDEMPOTENCY_KEY_REUSED },
  { "done, other request", CLAIM_DONE, OTHER_FINGERPRINT, CLAIM_VERDICT_REFUSED,
    RESULT_IDEMPOTENCY_KEY_REUSED },
  { "not run, other request", CLAIM_NOT_RUN, OTHER_FINGERPRINT,
    CLAIM_VERDICT_REFUSED, RESULT_IDEMPOTENCY_KEY_REUSED },
  { "unknown, other request", CLAIM_UNKNOWN, OTHER_FINGERPRINT,
    CLAIM_VERDICT_REFUSED, RESULT_IDEMPOTENCY_KEY_REUSED },
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
      store_other_host_record (&store, KEY, c->fingerprint, OTHER_TOKEN,
                               c->state);
      submit_call (&host, &caller, KEY, FINGERPRINT);
      run_for (&host, &store, 0);
      if (caller.decided != 1 || caller.verdict != c->verdict
          || caller.result != c->result)
        fail_msg ("%s: %s", c->name, result_info (caller.result)->name);
      if (c->verdict == CLAIM_VERDICT_REPLAY)
        {
          assert_int_equal (caller.status, 201);
          assert_string_equal (caller.body, "first answer");
        }
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/*
 * The cached copy shows state claimed while another host has written the
 * outcome.  It must be read again, or repeats would be refused for ever.
 */
static void
test_stale_copy_is_read_again (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  store_other_host_record (&store, KEY, FINGERPRINT, OTHER_TOKEN,
                           CLAIM_CLAIMED);
  submit_call (&host, &caller, KEY, FINGERPRINT);
  run_for (&host, &store, 0);
  assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS);
  store_other_host_record (&store, KEY, FINGERPRINT, OTHER_TOKEN, CLAIM_DONE);
  submit_call (&host, &caller, KEY, FINGERPRINT);
  run_for (&host, &store, 0);
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
  submit_call (&host, &first, KEY, FINGERPRINT);
  submit_call (&host, &second, KEY, FINGERPRINT);
  run_for (&host, &store, 100);
  assert_decided (&first, CLAIM_VERDICT_GRANTED, RESULT_OK);
  assert_decided (&second, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS);
  settle_done (&host, &first, 10);
  run_for (&host, &store, 0);
  assert_int_equal (first.settled, 1);
  assert_true (first.durable);
  submit_call (&host, &third, KEY, FINGERPRINT);
  assert_decided (&third, CLAIM_VERDICT_REPLAY, RESULT_OK);
  assert_int_equal (third.body_size, 10);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* --- faults of the write of a claim --- */

enum competing_write
{
  COMPETING_WRITE_NONE,
  COMPETING_WRITE_OTHER_KEY, /* another host writes another key first */
  COMPETING_WRITE_SAME_KEY,  /* another host claims the same key first */
};

struct fault_case
{
  const char *name;
  enum fault fault;
  enum competing_write competing_write;
  enum claim_verdict verdict;
  enum result result;
  uint64_t writes;
};

static const struct fault_case fault_cases[] = {
  { "none", FAULT_NONE, COMPETING_WRITE_NONE, CLAIM_VERDICT_GRANTED, RESULT_OK,
    1 },
  { "lost after its effect", FAULT_LOST_AFTER_EFFECT, COMPETING_WRITE_NONE,
    CLAIM_VERDICT_GRANTED, RESULT_OK, 1 },
  { "lost before its effect", FAULT_LOST_BEFORE_EFFECT, COMPETING_WRITE_NONE,
    CLAIM_VERDICT_GRANTED, RESULT_OK, 2 },
  { "one refused write", FAULT_OUTAGE, COMPETING_WRITE_NONE,
    CLAIM_VERDICT_GRANTED, RESULT_OK, 2 },
  { "conflict on another key", FAULT_NONE, COMPETING_WRITE_OTHER_KEY,
    CLAIM_VERDICT_GRANTED, RESULT_OK, 2 },
  { "conflict on the key", FAULT_NONE, COMPETING_WRITE_SAME_KEY,
    CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS, 1 },
  { "lost, and another host writes another key", FAULT_LOST_BEFORE_EFFECT,
    COMPETING_WRITE_OTHER_KEY, CLAIM_VERDICT_GRANTED, RESULT_OK, 2 },
  { "lost, and another host claims the key", FAULT_LOST_BEFORE_EFFECT,
    COMPETING_WRITE_SAME_KEY, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS,
    1 },
};

static void
test_faults_of_claim_write (void **state)
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
      host.next_write_fault = c->fault;
      submit_call (&host, &caller, KEY, FINGERPRINT);
      assert_true (perform_next_action (&host, &store)); /* the read */
      if (c->competing_write != COMPETING_WRITE_NONE)
        store_other_host_record (
            &store,
            c->competing_write == COMPETING_WRITE_SAME_KEY ? KEY : OTHER_KEY,
            FINGERPRINT, OTHER_TOKEN, CLAIM_CLAIMED);
      run_for (&host, &store, 500);
      if (caller.decided != 1 || caller.verdict != c->verdict
          || caller.result != c->result
          || host.table.counts.writes != c->writes)
        fail_msg ("%s: %s after %d writes", c->name,
                  result_info (caller.result)->name,
                  (int)host.table.counts.writes);
      if (c->competing_write == COMPETING_WRITE_OTHER_KEY)
        assert_string_equal (stored_state (&store, OTHER_KEY), "claimed");
      assert_string_equal (stored_state (&store, KEY), "claimed");
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

struct deadline_case
{
  const char *name;
  enum fault next_write_fault; /* of the write of the claim */
  const char *final_state;     /* of the record, after the platform outage */
};

/*
 * A call that is refused at its deadline did not run, so its claim must not
 * block the key.
 */
static const struct deadline_case deadline_cases[] = {
  { "refused", FAULT_OUTAGE, "absent" },
  { "lost after its effect", FAULT_LOST_AFTER_EFFECT, "not_run" },
  { "lost before its effect", FAULT_LOST_BEFORE_EFFECT, "not_run" },
};

static void
test_claim_is_cleaned_up_after_deadline (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof deadline_cases / sizeof deadline_cases[0]; i++)
    {
      const struct deadline_case *c = &deadline_cases[i];
      struct store store;
      struct host host;
      struct caller caller;
      struct caller repeat;

      store_init (&store);
      host_init (&host, "e1");
      host.next_write_fault = c->next_write_fault;
      submit_call (&host, &caller, KEY, FINGERPRINT);
      assert_true (perform_next_action (&host, &store));
      assert_true (perform_next_action (&host, &store));
      host.fault = FAULT_OUTAGE;
      run_for (&host, &store, 1900);
      assert_int_equal (caller.decided, 0);
      run_for (&host, &store, 200);
      assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_UNAVAILABLE);
      host.fault = FAULT_NONE;
      run_for (&host, &store, 5000);
      if (strcmp (stored_state (&store, KEY), c->final_state) != 0)
        fail_msg ("%s: %s", c->name, stored_state (&store, KEY));
      assert_int_equal (claim_unwritten_count (&host.table), 0);
      assert_int_equal (caller.decided, 1);
      submit_call (&host, &repeat, KEY, FINGERPRINT);
      run_for (&host, &store, 100);
      assert_decided (&repeat, CLAIM_VERDICT_GRANTED, RESULT_OK);
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/*
 * A write whose response was lost may take effect after a read that did not
 * show it.  The claim of the refused call must still end as not_run.
 */
static void
test_lost_write_takes_effect_late (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;
  struct claim_action action;
  json_t *late;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  submit_call (&host, &caller, KEY, FINGERPRINT);
  assert_true (perform_next_action (&host, &store));
  assert_true (claim_next_action (&host.table, &action));
  assert_int_equal (action.kind, CLAIM_ACTION_WRITE);
  late = json_deep_copy (action.value);
  host.now_ms += 2100;
  claim_tick (&host.table, host.now_ms);
  assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_UNAVAILABLE);
  claim_write_done (&host.table, OBJECT, RESULT_PLATFORM_LOST_ANSWER, 0,
                    host.now_ms);
  /* The read does not show the write yet. */
  assert_true (perform_next_action (&host, &store));
  if (store_version (&store, OBJECT) == 0)
    store_put (&store, OBJECT, late);
  run_for (&host, &store, 1000);
  assert_string_equal (stored_state (&store, KEY), "not_run");
  assert_int_equal (claim_unwritten_count (&host.table), 0);
  json_decref (late);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* If the write succeeds after the deadline, the claim must not be granted. */
static void
test_write_completes_after_deadline (void **state)
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
      submit_call (&host, &caller, KEY, FINGERPRINT);
      assert_true (perform_next_action (&host, &store));
      assert_true (claim_next_action (&host.table, &action));
      host.now_ms += 2100;
      if (ticks != 0)
        claim_tick (&host.table, host.now_ms);
      perform_write (&host, &store, &action, FAULT_NONE);
      assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_UNAVAILABLE);
      assert_string_equal (stored_state (&store, KEY), "claimed");
      run_for (&host, &store, 100);
      assert_string_equal (stored_state (&store, KEY), "not_run");
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/* --- group commit: one write for all waiting claims or outcomes --- */

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
      submit_call (&host, &callers[i], key, FINGERPRINT);
      if (i == 0)
        assert_true (perform_next_action (&host, &store));
    }
  run_for (&host, &store, 100);
  for (int i = 0; i < 100; i++)
    assert_decided (&callers[i], CLAIM_VERDICT_GRANTED, RESULT_OK);
  assert_int_equal (host.table.counts.writes, 2);
  assert_int_equal (host.table.counts.reads, 1);
  for (int i = 0; i < 100; i++)
    settle_done (&host, &callers[i], 10);
  run_for (&host, &store, 100);
  assert_int_equal (host.table.counts.writes, 4);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* --- outcomes --- */

struct settle_case
{
  const char *name;
  const char *state; /* of the record at the end */
  size_t body_size;  /* of a done outcome */
  int64_t outage_ms; /* after claim_settle */
  enum fault fault;  /* of the first write of the outcome */
  enum claim_state outcome;
  bool durable;   /* as reported to the caller */
  bool in_object; /* the answer is in an object of its own */
};

static const struct settle_case settle_cases[] = {
  { "done", "done", 100, 0, FAULT_NONE, CLAIM_DONE, true, false },
  { "no body", "done", 0, 0, FAULT_NONE, CLAIM_DONE, true, false },
  { "not run", "not_run", 0, 0, FAULT_NONE, CLAIM_NOT_RUN, true, false },
  { "unknown", "unknown", 0, 0, FAULT_NONE, CLAIM_UNKNOWN, true, false },
  { "lost after its effect", "done", 100, 0, FAULT_LOST_AFTER_EFFECT,
    CLAIM_DONE, true, false },
  { "lost before its effect", "done", 100, 0, FAULT_LOST_BEFORE_EFFECT,
    CLAIM_DONE, true, false },
  { "inline limit", "done", 16384, 0, FAULT_NONE, CLAIM_DONE, true, false },
  { "large", "done", 16385, 0, FAULT_NONE, CLAIM_DONE, true, true },
  { "large, lost after its effect", "done", 50000, 0, FAULT_LOST_AFTER_EFFECT,
    CLAIM_DONE, true, true },
  { "large, lost before its effect", "done", 50000, 0, FAULT_LOST_BEFORE_EFFECT,
    CLAIM_DONE, true, true },
  { "too large", "unknown", 1100000, 0, FAULT_NONE, CLAIM_DONE, true, false },
  { "outage", "done", 100, 2000, FAULT_NONE, CLAIM_DONE, false, false },
  { "large, outage", "done", 50000, 2000, FAULT_NONE, CLAIM_DONE, false, true },
};

static void
assert_repeat (struct host *host,
               struct store *store,
               const struct settle_case *c)
{
  struct host other;
  struct caller repeat;

  for (int uses_other_host = 0; uses_other_host < 2; uses_other_host++)
    {
      struct host *submit_host = uses_other_host != 0 ? &other : host;

      host_init (&other, "e2");
      submit_call (submit_host, &repeat, KEY, FINGERPRINT);
      run_for (submit_host, store, 100);
      if (strcmp (c->state, "done") == 0)
        {
          assert_decided (&repeat, CLAIM_VERDICT_REPLAY, RESULT_OK);
          assert_int_equal (repeat.status, 200);
          assert_int_equal (repeat.body_size, c->body_size);
        }
      else if (strcmp (c->state, "unknown") == 0)
        assert_decided (&repeat, CLAIM_VERDICT_REFUSED,
                        RESULT_CLAIM_IN_PROGRESS);
      else if (uses_other_host == 0)
        assert_decided (&repeat, CLAIM_VERDICT_GRANTED, RESULT_OK);
      claim_table_finish (&other.table);
    }
}

static void
test_settle_outcomes (void **state)
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
      submit_call (&host, &caller, KEY, FINGERPRINT);
      snprintf (object, sizeof object, "answers/%s", caller.call.token);
      run_for (&host, &store, 0);
      assert_decided (&caller, CLAIM_VERDICT_GRANTED, RESULT_OK);
      host.next_write_fault = c->fault;
      host.fault = c->outage_ms > 0 ? FAULT_OUTAGE : FAULT_NONE;
      if (c->outcome == CLAIM_DONE)
        settle_done (&host, &caller, c->body_size);
      else
        claim_settle (&host.table, &caller.call, c->outcome, NULL, host.now_ms);
      run_for (&host, &store, 490);
      assert_int_equal (caller.settled, c->durable);
      run_for (&host, &store, 20);
      assert_int_equal (caller.settled, 1);
      assert_int_equal (caller.durable, c->durable);
      run_for (&host, &store, c->outage_ms);
      host.fault = FAULT_NONE;
      run_for (&host, &store, 2000);
      if (strcmp (stored_state (&store, KEY), c->state) != 0)
        fail_msg ("%s: %s", c->name, stored_state (&store, KEY));
      assert_int_equal (store_value (&store, object) != NULL, c->in_object);
      assert_int_equal (caller.settled, 1);
      assert_int_equal (claim_unwritten_count (&host.table), 0);
      assert_repeat (&host, &store, c);
      claim_table_finish (&host.table);
      json_decref (store.objects);
    }
}

/* If a token were used twice, two calls would take one claim for their own. */
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
  submit_call (&host, &first, KEY, FINGERPRINT);
  second = first;
  second.call.context = &second;
  claim_submit (&host.table, &second.call, host.now_ms);
  assert_decided (&second, CLAIM_VERDICT_REFUSED, RESULT_INVALID);
  run_for (&host, &store, 0);
  assert_decided (&first, CLAIM_VERDICT_GRANTED, RESULT_OK);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* claim_settle without a granted claim must not change a record. */
static void
test_settle_without_claim (void **state)
{
  struct store store;
  struct host host;
  struct caller caller;

  (void)state;
  store_init (&store);
  host_init (&host, "e1");
  store_other_host_record (&store, KEY, FINGERPRINT, OTHER_TOKEN,
                           CLAIM_CLAIMED);
  submit_call (&host, &caller, KEY, FINGERPRINT);
  run_for (&host, &store, 0);
  assert_decided (&caller, CLAIM_VERDICT_REFUSED, RESULT_CLAIM_IN_PROGRESS);
  settle_done (&host, &caller, 5);
  assert_int_equal (caller.settled, 1);
  assert_false (caller.durable);
  run_for (&host, &store, 100);
  assert_string_equal (stored_state (&store, KEY), "claimed");
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* --- limits --- */

/* A full shard must refuse new claims, stay within 1 MB and still replay. */
static void
test_full_shard_refuses_claims (void **state)
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
      submit_call (&host, &caller, key, FINGERPRINT);
      run_for (&host, &store, 0);
      assert_int_equal (caller.decided, 1);
      if (caller.verdict != CLAIM_VERDICT_GRANTED)
        {
          assert_int_equal (caller.result, RESULT_CLAIM_UNAVAILABLE);
          break;
        }
      granted++;
      settle_done (&host, &caller, 1000);
      run_for (&host, &store, 0);
      assert_true (caller.durable);
    }
  assert_int_equal (caller.verdict, CLAIM_VERDICT_REFUSED);
  assert_in_range (granted, 1000,
                   CLAIM_SHARD_LIMIT_BYTES / CLAIM_RECORD_RESERVED_BYTES);
  text = json_dumps (store_value (&store, OBJECT), JSON_COMPACT);
  assert_in_range (strlen (text), 1, 1048576);
  free (text);
  /* Repeats still get the stored answer. */
  submit_call (&host, &caller, "00000000000000000000000000000000", FINGERPRINT);
  run_for (&host, &store, 0);
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
  submit_call (&host, &caller, KEY, FINGERPRINT);
  run_for (&host, &store, CLAIM_CACHE_IDLE_TIMEOUT_MS + 100);
  assert_non_null (host.table.shards); /* a granted call needs its shard */
  settle_done (&host, &caller, 10);
  run_for (&host, &store, 100);
  assert_non_null (host.table.shards);
  run_for (&host, &store, CLAIM_CACHE_IDLE_TIMEOUT_MS + 100);
  assert_null (host.table.shards);
  claim_table_finish (&host.table);
  json_decref (store.objects);
}

/* Calls over the limit are refused; the others are refused at the finish. */
static void
test_operation_limit (void **state)
{
  struct host host;
  struct caller *callers = calloc (CLAIM_OPERATION_LIMIT + 1, sizeof *callers);

  (void)state;
  assert_non_null (callers);
  host_init (&host, "e1");
  for (int i = 0; i <= CLAIM_OPERATION_LIMIT; i++)
    submit_to_bucket (&host, &callers[i], 28000000 + i, KEY, FINGERPRINT);
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

/* A damaged object must not crash the host and must not let a call run. */
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
      submit_call (&host, &caller, KEY, FINGERPRINT);
      run_for (&host, &store, 3000);
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
    cmocka_unit_test (test_key_age_and_clock_skew),
    cmocka_unit_test (test_record_of_key),
    cmocka_unit_test (test_shards_are_used_evenly),
    cmocka_unit_test (test_object_expiry),
    cmocka_unit_test (test_record_codec),
    cmocka_unit_test (test_bad_records),
    cmocka_unit_test (test_repeat_through_another_host),
    cmocka_unit_test (test_stale_copy_is_read_again),
    cmocka_unit_test (test_repeat_through_the_same_host),
    cmocka_unit_test (test_faults_of_claim_write),
    cmocka_unit_test (test_claim_is_cleaned_up_after_deadline),
    cmocka_unit_test (test_lost_write_takes_effect_late),
    cmocka_unit_test (test_write_completes_after_deadline),
    cmocka_unit_test (test_group_commit),
    cmocka_unit_test (test_settle_outcomes),
    cmocka_unit_test (test_token_is_used_once),
    cmocka_unit_test (test_settle_without_claim),
    cmocka_unit_test (test_full_shard_refuses_claims),
    cmocka_unit_test (test_unused_shards_leave_the_cache),
    cmocka_unit_test (test_operation_limit),
    cmocka_unit_test (test_damaged_objects),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
