#include "strike-record.h"

#include "hash.h"
#include "jsonutil.h"
#include "log.h"
#include "timeutil.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Records change rarely; a watch that waits costs one call. */
#define WATCH_WAIT_MS 25000
#define WATCH_INTERVAL_MS 1000
#define WRITE_INTERVAL_MS 500
#define WRITE_TIMEOUT_MS 1000
/* Traits with fewer strikes that count are not kept. */
#define KEPT_STRIKES 2

static bool
has_quarantine (const struct strike_record *record)
{
  for (const struct strike_entry *entry = record->strikes->entries;
       entry != NULL; entry = entry->hh.next)
    if (strikes_is_quarantined (entry, record->now_ms))
      return true;
  return false;
}

/* The same for the same strikes in any order; never 0. */
static uint64_t
compute_digest (const char *trait, uint64_t crash)
{
  return hash_string (trait, crash) | 1;
}

static void
add_strikes (json_t *list,
             const struct strike_entry *entry,
             int64_t now_ms,
             uint64_t *digest)
{
  for (unsigned i = 0; i < entry->strike_count; i++)
    {
      const struct strike *strike = &entry->strikes[i];
      char crash[24];

      if (strike->at_ms <= entry->answered_ms
          || json_array_size (list) == STRIKE_RECORD_LIMIT)
        continue;
      snprintf (crash, sizeof crash, "%" PRIx64, strike->crash);
      json_array_append_new (
          list, json_pack ("{s:s, s:b, s:s, s:I}", "trait", entry->trait,
                           "part", entry->kind == STRIKES_PART, "crash", crash,
                           "age_ms", (json_int_t)(now_ms - strike->at_ms)));
      *digest += compute_digest (entry->trait, strike->crash);
    }
}

/* Returns the strikes to keep; the caller owns the JSON. */
static json_t *
encode_strikes (const struct strike_record *record, uint64_t *digest)
{
  json_t *list = json_array ();

  *digest = 0;
  if (!has_quarantine (record))
    return list;
  for (const struct strike_entry *entry = record->strikes->entries;
       entry != NULL; entry = entry->hh.next)
    if (strikes_count (record->strikes, entry->trait, record->now_ms)
        >= KEPT_STRIKES)
      add_strikes (list, entry, record->now_ms, digest);
  return list;
}

/* Merges one strike of a record; false if it is malformed. */
static bool
read_strike (struct strike_record *record, const json_t *json, uint64_t *digest)
{
  char trait[HASH_HEX_SIZE];
  char crash[24];
  uint64_t age_ms;
  /* Other hosts of the data centre learn of the record from this one. */
  struct strike_report report
      = { .trait = trait, .copies = record->strikes->copies };

  if (!json_read_string (json, "trait", trait, sizeof trait) || trait[0] == '\0'
      || !json_read_string (json, "crash", crash, sizeof crash)
      || !json_read_u64 (json, "age_ms", &age_ms) || age_ms > STRIKES_EXPIRY_MS)
    return false;
  report.kind
      = json_read_bool (json, "part", false) ? STRIKES_PART : STRIKES_REQUEST;
  report.crash = strtoull (crash, NULL, 16);
  report.at_ms = record->now_ms - (int64_t)age_ms;
  strikes_add_report (record->strikes, &report, record->now_ms);
  *digest += compute_digest (trait, report.crash);
  return true;
}

static void
read_record (struct strike_record *record, const struct records_record *read)
{
  const json_t *list = json_object_get (read->value, "strikes");
  uint64_t digest = 0;
  size_t malformed = 0;
  const json_t *item;
  size_t index;

  record->now_ms = time_boot_ms ();
  json_array_foreach (list, index, item)
    if (index >= STRIKE_RECORD_LIMIT || !read_strike (record, item, &digest))
      malformed++;
  if (malformed > 0)
    LOG_EVENT (LOG_LEVEL_WARNING, "strike-record-malformed",
               LOG_STR ("record", read->name), LOG_U64 ("skipped", malformed),
               LOG_U64 ("revision", read->revision));
  if (strcmp (read->name, record->name) != 0
      || read->revision < record->revision)
    return;
  record->revision = read->revision;
  record->written_digest = digest;
}

/* Nothing is known of the record any more, not even that it exists. */
static void
forget_record (struct strike_record *record)
{
  record->revision = 0;
  record->written_digest = 0;
}

static void
on_record (void *context, const struct records_record *read)
{
  struct strike_record *record = context;

  if (!read->deleted)
    read_record (record, read);
  else if (strcmp (read->name, record->name) == 0)
    forget_record (record);
}

static void
on_written (void *context, const struct records_response *response)
{
  struct strike_record *record = context;

  record->is_writing = false;
  if (response->result == RESULT_OK)
    {
      record->revision = response->revision;
      record->written_digest = record->digest;
    }
  else if (response->result == RESULT_PLATFORM_CONFLICT
           && response->record != NULL)
    read_record (record, response->record);
  /* The record known was lost with an earlier era of the store. */
  else if (response->result == RESULT_PLATFORM_CONFLICT
           || response->result == RESULT_PLATFORM_NOT_FOUND)
    forget_record (record);
  LOG_EVENT (LOG_LEVEL_NOTICE, "strike-record-written",
             LOG_STR ("record", record->name),
             LOG_INT ("code", response->result),
             LOG_U64 ("revision", record->revision));
}

static void
write_record (struct strike_record *record)
{
  struct records_request request = {
    .verb = record->revision == 0 ? RECORDS_CREATE : RECORDS_REPLACE,
    .kind = RECORDS_STRIKES,
    .name = record->name,
    .revision = record->revision,
  };
  json_t *list = encode_strikes (record, &record->digest);
  json_t *value;

  if (record->digest == record->written_digest)
    {
      json_decref (list);
      return;
    }
  value = json_pack ("{s:o}", "strikes", list);
  request.value = value;
  record->is_writing = true;
  record->next_write_ms = record->now_ms + WRITE_INTERVAL_MS;
  records_call (record->records, &request, WRITE_TIMEOUT_MS, on_written,
                record);
  json_decref (value);
}

void
strike_record_init (struct strike_record *record,
                    struct records *records,
                    struct strikes *strikes,
                    const char *data_centre)
{
  const struct follower_hooks hooks
      = { .context = record, .record = on_record };

  memset (record, 0, sizeof *record);
  record->records = records;
  record->strikes = strikes;
  snprintf (record->name, sizeof record->name, "%s", data_centre);
  follower_init (&record->follower, records, RECORDS_STRIKES, "strikes", &hooks,
                 WATCH_WAIT_MS, WATCH_INTERVAL_MS);
}

void
strike_record_tick (struct strike_record *record, int64_t now_ms)
{
  record->now_ms = now_ms;
  /* The store was restored from a copy, which may lack the record. */
  if (record->revision != 0
      && records_get_era (record->revision) < record->records->era)
    forget_record (record);
  follower_tick (&record->follower, now_ms);
  /* Without a list it is not known whether there is a record. */
  if (record->follower.state != FOLLOWER_WATCHING || record->is_writing
      || now_ms < record->next_write_ms)
    return;
  record->next_write_ms = now_ms + WRITE_INTERVAL_MS;
  strikes_refresh (record->strikes, now_ms);
  write_record (record);
}
