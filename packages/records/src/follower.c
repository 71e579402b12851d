#include "follower.h"

#include "log.h"
#include "timeutil.h"

#include <stdlib.h>
#include <string.h>

/* A watch fails when no response arrives this long after its wait. */
#define WATCH_RESPONSE_TIMEOUT_MS 1200
/* Timeout of one page of a list; pages have at most 1 MB. */
#define LIST_TIMEOUT_MS 2000
/* Delay after a failed call; doubles up to the follower's limit. */
#define FIRST_RETRY_MS 200
#define DEFAULT_RETRY_LIMIT_MS 800
/*
 * Unreadable responses to a watch in a row before the records are listed again.
 * One may be damaged on the way; the call after it costs less than a list.
 */
#define UNREADABLE_WATCH_LIMIT 2

void
follower_init (struct follower *follower,
               struct records *records,
               enum records_kind kind,
               const char *name,
               const struct follower_hooks *hooks,
               int wait_ms,
               int call_interval_ms)
{
  memset (follower, 0, sizeof *follower);
  follower->records = records;
  follower->kind = kind;
  follower->name = name;
  follower->hooks = *hooks;
  follower->wait_ms = wait_ms;
  follower->call_interval_ms = call_interval_ms;
  follower->current_at_ms = INT64_MIN / 2;
  follower->retry_delay_ms = FIRST_RETRY_MS;
  follower->retry_delay_limit_ms = DEFAULT_RETRY_LIMIT_MS;
}

void
follower_finish (struct follower *follower)
{
  free (follower->list_after);
  follower->list_after = NULL;
}

/* False if memory is short; the list then starts over. */
static bool
set_list_after (struct follower *follower, const char *name)
{
  free (follower->list_after);
  follower->list_after = name != NULL ? strdup (name) : NULL;
  return name == NULL || follower->list_after != NULL;
}

static void
record_failure (struct follower *follower, enum result result, int64_t now_ms)
{
  follower->next_call_ms = now_ms + follower->retry_delay_ms;
  follower->retry_delay_ms *= 2;
  if (follower->retry_delay_ms > follower->retry_delay_limit_ms)
    follower->retry_delay_ms = follower->retry_delay_limit_ms;
  if (follower->failing_since_ms != 0 || !records_is_store_failure (result))
    return;
  follower->failing_since_ms = now_ms;
  LOG_EVENT (LOG_LEVEL_WARNING, "platform-lost",
             LOG_STR ("records", follower->name), LOG_INT ("code", result),
             LOG_U64 ("revision", follower->revision),
             LOG_INT ("proof_age_ms", now_ms - follower->current_at_ms));
}

/*
 * Notes a response that arrived and cannot be used.  True if the call must not
 * be sent again as it is, but the records are listed instead.
 */
static bool
has_to_relist (struct follower *follower, enum result result, int64_t now_ms)
{
  if (result != RESULT_PLATFORM_OVER_LIMIT
      && result != RESULT_PLATFORM_BAD_ANSWER)
    return false;
  if (follower->unusable_responses == 0)
    follower->unusable_since_ms = now_ms;
  follower->unusable_responses++;
  if (follower->state == FOLLOWER_WATCHING
      && result == RESULT_PLATFORM_OVER_LIMIT && follower->missed_since_ms == 0)
    follower->missed_since_ms = now_ms;
  return follower->state == FOLLOWER_WATCHING
         && (result == RESULT_PLATFORM_OVER_LIMIT
             || follower->unusable_responses >= UNREADABLE_WATCH_LIMIT);
}

static void
record_success (struct follower *follower, int64_t now_ms)
{
  int64_t outage_ms;

  if (follower->unusable_responses > 0)
    LOG_EVENT (LOG_LEVEL_NOTICE, "platform-readable",
               LOG_STR ("records", follower->name),
               LOG_U64 ("unusable", follower->unusable_responses),
               LOG_INT ("for_ms", now_ms - follower->unusable_since_ms));
  follower->unusable_responses = 0;
  follower->unusable_since_ms = 0;
  follower->retry_delay_ms = FIRST_RETRY_MS;
  if (follower->failing_since_ms == 0)
    return;
  outage_ms = now_ms - follower->failing_since_ms;
  follower->failing_since_ms = 0;
  LOG_EVENT (LOG_LEVEL_NOTICE, "platform-regained",
             LOG_STR ("records", follower->name),
             LOG_INT ("away_ms", outage_ms));
  if (follower->hooks.recovered != NULL)
    follower->hooks.recovered (follower->hooks.context, outage_ms);
}

static void
report_records (struct follower *follower,
                const struct records_response *response)
{
  for (unsigned i = 0; i < response->count; i++)
    follower->hooks.record (follower->hooks.context, &response->list[i]);
  if (response->skipped > 0)
    LOG_EVENT (LOG_LEVEL_NOTICE, "records-skipped",
               LOG_STR ("records", follower->name),
               LOG_U64 ("count", response->skipped),
               LOG_U64 ("revision", response->revision));
}

/*
 * True if the response is the last page of a list, or the list can go on after
 * it.  What is not listed counts as deleted, so a list must not end early.
 */
static bool
is_page_complete (const struct follower *follower,
                  const struct records_response *response)
{
  return !response->more
         || (response->last_name != NULL
             && (follower->list_after == NULL
                 || strcmp (response->last_name, follower->list_after) != 0));
}

/* True if the record has a value that cannot be read, and no later one. */
static bool
lacks_value (const struct records_response *response, unsigned index)
{
  const struct records_record *record = &response->list[index];

  if (record->deleted || !json_is_null (record->value))
    return false;
  for (unsigned i = index + 1; i < response->count; i++)
    if (strcmp (response->list[i].name, record->name) == 0)
      return false;
  return true;
}

/* True if the owner gets what it needs from the response. */
static bool
is_sufficient (const struct follower *follower,
               const struct records_response *response)
{
  if (follower->needs_values)
    for (unsigned i = 0; i < response->count; i++)
      if (lacks_value (response, i))
        return false;
  return follower->state != FOLLOWER_LISTING
         || is_page_complete (follower, response);
}

static void
handle_list (struct follower *follower,
             const struct records_response *response,
             int64_t now_ms)
{
  if (follower->list_after == NULL)
    {
      follower->list_sent_ms = follower->sent_ms;
      follower->list_revision = response->revision;
      follower->list_skipped = 0;
      if (follower->hooks.list_begin != NULL)
        follower->hooks.list_begin (follower->hooks.context);
    }
  report_records (follower, response);
  follower->list_skipped += response->skipped;
  if (response->more)
    {
      /*
       * The next page is requested at once: waiting batches no changes, and the
       * list is of no use before its last page.
       */
      if (set_list_after (follower, response->last_name))
        follower->next_call_ms = now_ms;
      return;
    }
  set_list_after (follower, NULL);
  follower->revision = follower->list_revision;
  follower->has_full_list = true;
  follower->missed_since_ms = 0;
  follower->state = FOLLOWER_WATCHING;
  follower->current_at_ms = follower->list_sent_ms;
  if (follower->hooks.list_end != NULL)
    follower->hooks.list_end (follower->hooks.context);
}

static void
handle_changes (struct follower *follower,
                const struct records_response *response,
                int64_t now_ms)
{
  int64_t waited_until_ms = follower->sent_ms + follower->wait_ms;

  if (response->revision > follower->revision)
    follower->revision = response->revision;
  report_records (follower, response);
  /* An empty response after the full wait: nothing changed until its end. */
  follower->current_at_ms = response->count == 0 && now_ms >= waited_until_ms
                                ? waited_until_ms
                                : follower->sent_ms;
}

static void
on_response (void *context, const struct records_response *response)
{
  struct follower *follower = context;
  int64_t now_ms = time_boot_ms ();
  enum result result = response->result;

  follower->call_in_flight = false;
  /* The response to a watch, or to a page of a list that was given up. */
  if (follower->call_generation != follower->generation)
    return;
  /* The pages of a list must be of one era. */
  if (result == RESULT_OK && follower->list_after != NULL
      && records_get_era (response->revision)
             != records_get_era (follower->list_revision))
    result = RESULT_PLATFORM_HISTORY_GONE;
  if (result == RESULT_OK && !is_sufficient (follower, response))
    result = RESULT_PLATFORM_BAD_ANSWER;
  if (result == RESULT_OK)
    {
      record_success (follower, now_ms);
      if (follower->state == FOLLOWER_LISTING)
        handle_list (follower, response, now_ms);
      else
        handle_changes (follower, response, now_ms);
      if (follower->list_after != NULL)
        follower_tick (follower, now_ms);
      return;
    }
  if (result == RESULT_PLATFORM_HISTORY_GONE)
    {
      follower_relist (follower);
      LOG_EVENT (LOG_LEVEL_NOTICE, "platform-history-gone",
                 LOG_STR ("records", follower->name),
                 LOG_U64 ("revision", follower->revision));
      return;
    }
  if (has_to_relist (follower, result, now_ms))
    {
      LOG_EVENT (LOG_LEVEL_WARNING, "platform-watch-unusable",
                 LOG_STR ("records", follower->name), LOG_INT ("code", result),
                 LOG_U64 ("revision", follower->revision),
                 LOG_U64 ("responses", follower->unusable_responses),
                 LOG_INT ("proof_age_ms", now_ms - follower->current_at_ms));
      follower_relist (follower);
      return;
    }
  /* An incomplete list starts over, since the store may have changed. */
  set_list_after (follower, NULL);
  record_failure (follower, result, now_ms);
}

void
follower_resume (struct follower *follower,
                 uint64_t revision,
                 int64_t current_at_ms)
{
  if (follower->state == FOLLOWER_LISTING)
    follower->generation++;
  follower->revision = revision;
  follower->state = FOLLOWER_WATCHING;
  set_list_after (follower, NULL);
  if (current_at_ms > follower->current_at_ms)
    follower->current_at_ms = current_at_ms;
  follower->missed_since_ms = 0;
  /* Unusable responses were those to calls from another revision. */
  follower->unusable_responses = 0;
  follower->unusable_since_ms = 0;
}

void
follower_set_call_interval (struct follower *follower, int call_interval_ms)
{
  if (call_interval_ms == follower->call_interval_ms)
    return;
  follower->call_interval_ms = call_interval_ms;
  if (follower->failing_since_ms == 0
      && follower->next_call_ms > follower->sent_ms + call_interval_ms)
    follower->next_call_ms = follower->sent_ms + call_interval_ms;
}

void
follower_relist (struct follower *follower)
{
  follower->generation++;
  follower->state = FOLLOWER_LISTING;
  set_list_after (follower, NULL);
}

void
follower_tick (struct follower *follower, int64_t now_ms)
{
  struct records_request request = {
    .kind = follower->kind,
    .verb = RECORDS_LIST,
    .revision = follower->revision,
    .wait_ms = follower->wait_ms,
  };
  int timeout_ms = LIST_TIMEOUT_MS;

  if (follower->call_in_flight || now_ms < follower->next_call_ms)
    return;
  if (follower->state == FOLLOWER_WATCHING)
    {
      request.verb = RECORDS_WATCH;
      timeout_ms = follower->wait_ms + WATCH_RESPONSE_TIMEOUT_MS;
    }
  else if (follower->list_after != NULL)
    request.after = follower->list_after;
  follower->call_in_flight = true;
  follower->call_generation = follower->generation;
  follower->sent_ms = now_ms;
  follower->next_call_ms = now_ms + follower->call_interval_ms;
  records_call (follower->records, &request, timeout_ms, on_response, follower);
}
