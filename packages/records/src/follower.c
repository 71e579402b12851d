#include "follower.h"

#include "log.h"
#include "timeutil.h"

#include <stdio.h>
#include <string.h>

/* An answer that takes this much longer than the watch was to wait is lost. */
#define ANSWER_MS 1200
/* A list is several pages of at most 1 MB. */
#define LIST_MS 2000
/* Wait after a failed call; doubles up to the follower's limit. */
#define RETRY_MS 200
#define RETRY_LIMIT_MS 800

void
follower_init (struct follower *follower,
               struct records *records,
               enum records_kind kind,
               const char *name,
               const struct follower_hooks *hooks,
               int wait_ms,
               int pace_ms)
{
  memset (follower, 0, sizeof *follower);
  follower->records = records;
  follower->kind = kind;
  follower->name = name;
  follower->hooks = *hooks;
  follower->wait_ms = wait_ms;
  follower->pace_ms = pace_ms;
  follower->proof_ms = INT64_MIN / 2;
  follower->retry_ms = RETRY_MS;
  follower->retry_limit_ms = RETRY_LIMIT_MS;
}

static void
note_failure (struct follower *follower, enum result why, int64_t now_ms)
{
  follower->next_ms = now_ms + follower->retry_ms;
  follower->retry_ms *= 2;
  if (follower->retry_ms > follower->retry_limit_ms)
    follower->retry_ms = follower->retry_limit_ms;
  if (follower->failing_since_ms != 0 || !records_is_trouble (why))
    return;
  follower->failing_since_ms = now_ms;
  LOG_EVENT (LOG_LEVEL_WARNING, "platform-lost",
             LOG_STR ("records", follower->name), LOG_INT ("code", why),
             LOG_U64 ("revision", follower->revision),
             LOG_INT ("proof_age_ms", now_ms - follower->proof_ms));
}

static void
note_success (struct follower *follower, int64_t now_ms)
{
  int64_t away_ms;

  follower->retry_ms = RETRY_MS;
  if (follower->failing_since_ms == 0)
    return;
  away_ms = now_ms - follower->failing_since_ms;
  follower->failing_since_ms = 0;
  LOG_EVENT (LOG_LEVEL_NOTICE, "platform-regained",
             LOG_STR ("records", follower->name), LOG_INT ("away_ms", away_ms));
  if (follower->hooks.regained != NULL)
    follower->hooks.regained (follower->hooks.context, away_ms);
}

static void
take_records (struct follower *follower, const struct records_answer *answer)
{
  for (unsigned i = 0; i < answer->count; i++)
    follower->hooks.record (follower->hooks.context, &answer->list[i]);
}

static void
take_list (struct follower *follower,
           const struct records_answer *answer,
           int64_t now_ms)
{
  if (follower->after[0] == '\0')
    {
      follower->list_sent_ms = follower->sent_ms;
      follower->list_revision = answer->revision;
      if (follower->hooks.list_begin != NULL)
        follower->hooks.list_begin (follower->hooks.context);
    }
  take_records (follower, answer);
  if (answer->more && answer->count > 0)
    {
      snprintf (follower->after, sizeof follower->after, "%s",
                answer->list[answer->count - 1].name);
      /* Nothing gathers between two pages, and without all nothing is known. */
      follower->next_ms = now_ms;
      return;
    }
  follower->after[0] = '\0';
  follower->revision = follower->list_revision;
  follower->listed = true;
  follower->state = FOLLOWER_WATCHING;
  follower->proof_ms = follower->list_sent_ms;
  if (follower->hooks.list_end != NULL)
    follower->hooks.list_end (follower->hooks.context);
}

static void
take_changes (struct follower *follower,
              const struct records_answer *answer,
              int64_t now_ms)
{
  int64_t waited_until_ms = follower->sent_ms + follower->wait_ms;

  if (answer->revision > follower->revision)
    follower->revision = answer->revision;
  take_records (follower, answer);
  /* Without a change the store has looked until the wait was over. */
  follower->proof_ms = answer->count == 0 && now_ms >= waited_until_ms
                           ? waited_until_ms
                           : follower->sent_ms;
}

static void
on_answer (void *context, const struct records_answer *answer)
{
  struct follower *follower = context;
  int64_t now_ms = time_boot_ms ();

  follower->asked = false;
  /* A list was asked for meanwhile; this answer is of a watch. */
  if (follower->asked_in != follower->state)
    return;
  if (answer->result == RESULT_OK)
    {
      note_success (follower, now_ms);
      if (follower->state == FOLLOWER_LISTING)
        take_list (follower, answer, now_ms);
      else
        take_changes (follower, answer, now_ms);
      if (follower->after[0] != '\0')
        follower_tick (follower, now_ms);
      return;
    }
  if (answer->result == RESULT_PLATFORM_HISTORY_GONE)
    {
      follower_relist (follower);
      LOG_EVENT (LOG_LEVEL_NOTICE, "platform-history-gone",
                 LOG_STR ("records", follower->name),
                 LOG_U64 ("revision", follower->revision));
      return;
    }
  /* An unfinished list starts over: the store may have moved on. */
  follower->after[0] = '\0';
  note_failure (follower, answer->result, now_ms);
}

void
follower_resume (struct follower *follower, uint64_t revision, int64_t proof_ms)
{
  follower->revision = revision;
  follower->state = FOLLOWER_WATCHING;
  if (proof_ms > follower->proof_ms)
    follower->proof_ms = proof_ms;
}

void
follower_set_pace (struct follower *follower, int pace_ms)
{
  if (pace_ms == follower->pace_ms)
    return;
  follower->pace_ms = pace_ms;
  if (follower->failing_since_ms == 0
      && follower->next_ms > follower->sent_ms + pace_ms)
    follower->next_ms = follower->sent_ms + pace_ms;
}

void
follower_relist (struct follower *follower)
{
  follower->state = FOLLOWER_LISTING;
  follower->after[0] = '\0';
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
  int timeout_ms = LIST_MS;

  if (follower->asked || now_ms < follower->next_ms)
    return;
  if (follower->state == FOLLOWER_WATCHING)
    {
      request.verb = RECORDS_WATCH;
      timeout_ms = follower->wait_ms + ANSWER_MS;
    }
  else if (follower->after[0] != '\0')
    request.after = follower->after;
  follower->asked = true;
  follower->asked_in = follower->state;
  follower->sent_ms = now_ms;
  follower->next_ms = now_ms + follower->pace_ms;
  records_call (follower->records, &request, timeout_ms, on_answer, follower);
}
