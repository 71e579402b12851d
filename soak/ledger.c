#include "ledger.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* New work for a leaving endpoint ends this long after it said so. */
#define LEAVE_MS 2000
/* Work goes on for so long after its caller has left. */
#define GONE_MS 500
/* Time that may be passed on beyond what the caller has left. */
#define LEFT_SLACK_MS 500
/* A final answer comes this long after the time-out at the latest. */
#define HELD_MS 500
/* Planned work counts until this long after the time a process may take. */
#define TERM_AFTER_MS 1000
/* A request that crosses a closing connection, from its last byte on. */
#define CROSSED_MS 200
/* Requests broken off on sound hosts that are allowed in a whole run. */
#define LOST_LIMIT 3

void
ledger_init (struct ledger *ledger, const struct operator* operator)
{
  memset (ledger, 0, sizeof *ledger);
  ledger->operator= operator;
}

void
ledger_finish (struct ledger *ledger)
{
  struct ledger_attempt *attempt = ledger->attempts;
  struct ledger_run *run = ledger->runs;

  while (ledger->words != NULL)
    {
      struct ledger_word *next = ledger->words->next;

      free (ledger->words);
      ledger->words = next;
    }
  HASH_CLEAR (hh, ledger->attempts);
  HASH_CLEAR (hh, ledger->runs);
  while (attempt != NULL)
    {
      struct ledger_attempt *next = attempt->hh.next;

      free (attempt);
      attempt = next;
    }
  while (run != NULL)
    {
      struct ledger_run *next = run->hh.next;

      free (run);
      run = next;
    }
}

void
ledger_violate (struct ledger *ledger,
                const char *rule,
                const char *format,
                ...)
{
  va_list args;

  ledger->violations++;
  printf ("BROKEN %s at %lld ms: ", rule,
          (long long)(ledger->now_ms - ledger->started_ms));
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

/* True if no fault acts on the endpoint, or the way to it, since a while. */
static bool
is_sound (const struct ledger *ledger, const struct standin_endpoint *endpoint)
{
  return endpoint->up
         && ledger->now_ms - endpoint->disturbed_until_ms > HOST_STABLE_MS;
}

bool
ledger_was_calm (const struct ledger *ledger,
                 const struct host *host,
                 int64_t since_ms)
{
  return host_was_calm (host, since_ms)
         && since_ms - ledger->store_disturbed_ms > HOST_STABLE_MS;
}

struct ledger_attempt *
ledger_add (struct ledger *ledger, const char *id)
{
  struct ledger_attempt *attempt = calloc (1, sizeof *attempt);

  if (attempt == NULL)
    abort ();
  snprintf (attempt->id, sizeof attempt->id, "%s", id);
  HASH_ADD_STR (ledger->attempts, id, attempt);
  return attempt;
}

static struct ledger_attempt *
find_attempt (const struct ledger *ledger, const char *id)
{
  struct ledger_attempt *attempt;

  HASH_FIND_STR (ledger->attempts, id, attempt);
  return attempt;
}

static struct ledger_run *
find_run (const struct ledger *ledger, uint64_t number)
{
  struct ledger_run *run;

  HASH_FIND (hh, ledger->runs, &number, sizeof number, run);
  return run;
}

bool
ledger_is_repeatable (enum catalog_kind kind, bool resumable)
{
  return kind == CATALOG_SAFE || (kind == CATALOG_STREAM && resumable);
}

bool
ledger_is_promise (unsigned status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Hooks of the endpoints. */

static void
on_told_leaving (void *context,
                 const struct standin_endpoint *endpoint,
                 const char *request)
{
  struct ledger *ledger = context;
  const struct ledger_attempt *attempt = find_attempt (ledger, request);
  struct ledger_word *word;

  if (attempt == NULL)
    return;
  word = calloc (1, sizeof *word);
  if (word == NULL)
    abort ();
  snprintf (word->endpoint, sizeof word->endpoint, "%s", endpoint->id);
  word->born_ms = endpoint->start_wall_ms;
  word->host = attempt->host;
  word->said_ms = ledger->now_ms;
  word->next = ledger->words;
  ledger->words = word;
}

/*
 * A host that was restarted or paused since, or whose way to the endpoint was
 * harmed so that it may not have got the answer, is excused.
 */
static void
check_words (struct ledger *ledger,
             const struct ledger_attempt *attempt,
             const struct standin_endpoint *endpoint)
{
  for (const struct ledger_word *word = ledger->words; word != NULL;
       word = word->next)
    if (word->host == attempt->host && word->born_ms == endpoint->start_wall_ms
        && strcmp (word->endpoint, endpoint->id) == 0
        && attempt->sent_ms - word->said_ms > LEAVE_MS
        && host_was_calm (attempt->host, word->said_ms)
        && is_sound (ledger, endpoint))
      ledger_violate (ledger, "DRAIN",
                      "%s got %s by %s %lld ms after it had told it",
                      endpoint->id, attempt->id, attempt->host->name,
                      (long long)(attempt->sent_ms - word->said_ms));
}

static void
on_arrived (void *context, const struct standin_arrival *arrival)
{
  struct ledger *ledger = context;
  struct ledger_attempt *attempt = find_attempt (ledger, arrival->id);
  const struct standin_endpoint *endpoint = arrival->endpoint;

  if (attempt == NULL)
    {
      ledger_violate (ledger, "UNASKED", "%s got %s, which nobody sent",
                      endpoint->id, arrival->id);
      return;
    }
  if (endpoint->leaving_reported_ms != 0
      && attempt->sent_ms - endpoint->leaving_reported_ms > LEAVE_MS
      && ledger_was_calm (ledger, attempt->host, endpoint->leaving_reported_ms))
    ledger_violate (
        ledger, "DRAIN", "%s got %s by %s %lld ms after it left", endpoint->id,
        attempt->id, attempt->host->name,
        (long long)(attempt->sent_ms - endpoint->leaving_reported_ms));
  check_words (ledger, attempt, endpoint);
  if (attempt->end != LEDGER_OPEN && ledger->now_ms - attempt->end_ms > GONE_MS
      && is_sound (ledger, endpoint)
      && ledger_was_calm (ledger, attempt->host, attempt->sent_ms))
    ledger_violate (ledger, "GONE", "%s got %s %lld ms after its end",
                    endpoint->id, attempt->id,
                    (long long)(ledger->now_ms - attempt->end_ms));
}

static void
check_unchanged (struct ledger *ledger,
                 const struct ledger_attempt *attempt,
                 const struct standin_arrival *arrival)
{
  const char *model = arrival->model != NULL ? arrival->model : "";

  if (strcmp (attempt->method, arrival->method) != 0
      || strcmp (attempt->target, arrival->target) != 0
      || strcmp (attempt->body, arrival->body) != 0
      || strcmp (attempt->model, model) != 0)
    ledger_violate (ledger, "UNASKED", "%s arrived changed: %s %s \"%s\" %s",
                    attempt->id, arrival->method, arrival->target,
                    arrival->body, model);
  if (arrival->has_credential || arrival->customer == NULL
      || strcmp (arrival->customer, attempt->customer) != 0)
    ledger_violate (ledger, "UNASKED", "%s of %s came as of %s%s", attempt->id,
                    attempt->customer,
                    arrival->customer != NULL ? arrival->customer : "nobody",
                    arrival->has_credential ? ", with its key" : "");
  if (attempt->kind == CATALOG_STREAM
      && arrival->resume_event_id + 1 < attempt->first_event)
    ledger_violate (ledger, "ORDER", "%s asks for events after %llu again",
                    attempt->id, (unsigned long long)arrival->resume_event_id);
}

static void
check_allowed (struct ledger *ledger,
               const struct ledger_attempt *attempt,
               const struct standin_arrival *arrival)
{
  const struct standin_endpoint *endpoint = arrival->endpoint;
  struct operator_asked asked
      = { .target = attempt->target, .service = endpoint->service };
  bool calm = ledger_was_calm (ledger, attempt->host, attempt->sent_ms);

  if (!operator_allows (ledger->operator, & asked, attempt->sent_ms,
                        calm ? CONFIGURATION_MS : INT64_MAX / 2))
    ledger_violate (ledger, calm ? "CONFIG" : "ROUTE",
                    "%s for %s ran at %s of %s by %s", attempt->id,
                    attempt->target, endpoint->id, endpoint->service,
                    attempt->host->name);
  asked.key = attempt->key;
  asked.customer = attempt->customer;
  asked.service = NULL;
  if (!operator_allows (ledger->operator, & asked, attempt->sent_ms, REVOKE_MS))
    ledger_violate (ledger, "CONFIG", "%s ran by %s with the key %s",
                    attempt->id, attempt->host->name, attempt->key);
}

static void
check_repeats (struct ledger *ledger, const struct ledger_attempt *attempt)
{
  unsigned sound = 0;

  if (attempt->promised)
    ledger_violate (ledger, "REFUSED", "%s runs after status %u", attempt->id,
                    attempt->status);
  if (!ledger_is_repeatable (attempt->kind, attempt->resumable)
      && attempt->run_count > 0)
    ledger_violate (ledger, "TWICE", "%s runs %u times", attempt->id,
                    attempt->run_count + 1);
  /* Endpoints that ended meanwhile do not count. */
  for (unsigned i = 0; i < attempt->run_count; i++)
    {
      const struct ledger_run *run = find_run (ledger, attempt->runs[i]);

      if (run != NULL && is_sound (ledger, run->endpoint))
        sound++;
    }
  if (sound >= 2)
    ledger_violate (ledger, "BUDGET", "%s runs at a third endpoint",
                    attempt->id);
}

static void
on_begins (void *context, const struct standin_arrival *arrival, uint64_t run)
{
  struct ledger *ledger = context;
  struct ledger_attempt *attempt = find_attempt (ledger, arrival->id);
  struct ledger_run *entry = calloc (1, sizeof *entry);
  int64_t left_ms;

  if (entry == NULL)
    abort ();
  entry->number = run;
  entry->attempt = attempt;
  entry->endpoint = arrival->endpoint;
  HASH_ADD (hh, ledger->runs, number, sizeof entry->number, entry);
  if (!arrival->has_complete_group)
    ledger_violate (ledger, "PARTIAL", "%s runs %s in group %s, not complete",
                    arrival->endpoint->id, arrival->id,
                    arrival->endpoint->group.name);
  if (attempt == NULL)
    return;
  check_unchanged (ledger, attempt, arrival);
  check_allowed (ledger, attempt, arrival);
  check_repeats (ledger, attempt);
  left_ms = attempt->deadline_ms - (ledger->now_ms - attempt->sent_ms);
  /* Bytes may have been held up on the way. */
  if ((arrival->remaining_ms < 0
       || arrival->remaining_ms > left_ms + LEFT_SLACK_MS)
      && is_sound (ledger, arrival->endpoint)
      && ledger_was_calm (ledger, attempt->host, attempt->sent_ms))
    ledger_violate (ledger, "BUDGET", "%s was given %lld ms of %lld",
                    attempt->id, (long long)arrival->remaining_ms,
                    (long long)left_ms);
  if (attempt->run_count < LEDGER_RUNS)
    attempt->runs[attempt->run_count++] = run;
}

static void
on_answered (void *context, uint64_t run, unsigned status, const char *body)
{
  struct ledger *ledger = context;
  struct ledger_run *entry = find_run (ledger, run);

  entry->status = status;
  snprintf (entry->body, sizeof entry->body, "%s", body);
}

static void
on_broke_off (void *context, uint64_t run)
{
  struct ledger *ledger = context;

  find_run (ledger, run)->broke_off = true;
}

static void
on_stolen (void *context,
           const struct standin_endpoint *endpoint,
           const char *from,
           const char *to)
{
  struct ledger *ledger = context;

  ledger_violate (ledger, "TWO", "%s joins %s while %s may serve", endpoint->id,
                  to, from);
}

const struct standin_hooks ledger_hooks = {
  .on_request_received = on_arrived,
  .on_run_started = on_begins,
  .on_response_made = on_answered,
  .on_run_aborted = on_broke_off,
  .on_leaving_reported = on_told_leaving,
  .on_member_taken = on_stolen,
};

/* What callers see. */

void
ledger_event (struct ledger *ledger,
              struct ledger_attempt *attempt,
              const char *text)
{
  const char *object = strrchr (attempt->target, '/') + 1;
  unsigned long long number = 0;
  unsigned long long run = 0;
  char name[LEDGER_TEXT];
  const struct ledger_run *entry;

  if (sscanf (text, "id: %llu\ndata: %95s %llu", &number, name, &run) != 3
      || strcmp (name, object) != 0)
    {
      ledger_violate (ledger, "MIXED", "%s for %s got the event \"%s\"",
                      attempt->id, object, text);
      return;
    }
  entry = find_run (ledger, run);
  if (entry == NULL || entry->attempt != attempt)
    ledger_violate (ledger, "MIXED", "%s got an event of run %llu", attempt->id,
                    run);
  if (number != attempt->next_event)
    ledger_violate (ledger, "ORDER", "%s got event %llu instead of %llu",
                    attempt->id, number,
                    (unsigned long long)attempt->next_event);
  if (!attempt->resumable && attempt->stream_run != 0
      && attempt->stream_run != run)
    ledger_violate (ledger, "ORDER", "%s joins runs %llu and %llu", attempt->id,
                    (unsigned long long)attempt->stream_run, run);
  attempt->stream_run = run;
  attempt->next_event = number + 1;
}

/* An answer that no endpoint made. */
static void
check_own_answer (struct ledger *ledger, struct ledger_attempt *attempt)
{
  const struct operator_asked asked = { .target = attempt->target,
                                        .key = attempt->key,
                                        .customer = attempt->customer };
  unsigned status = attempt->status;
  bool calm = ledger_was_calm (ledger, attempt->host, attempt->sent_ms);

  if (status < 300)
    ledger_violate (ledger, "MIXED", "%s got %u without a seal", attempt->id,
                    status);
  if (ledger_is_promise (status))
    {
      ledger->refused++;
      attempt->promised
          = !ledger_is_repeatable (attempt->kind, attempt->resumable);
      if (attempt->promised && attempt->run_count > 0)
        ledger_violate (ledger, "REFUSED", "%s got %u and had run", attempt->id,
                        status);
      return;
    }
  ledger->failed++;
  if (status >= 500)
    return;
  if (operator_always_allows (ledger->operator, & asked, attempt->sent_ms,
                              calm ? CONFIGURATION_MS : INT64_MAX / 2))
    ledger_violate (ledger, "DENIED", "%s for %s got %u by %s", attempt->id,
                    attempt->target, status, attempt->host->name);
}

static void
check_sealed_answer (struct ledger *ledger,
                     const struct ledger_attempt *attempt,
                     const char *seal,
                     const char *body)
{
  const struct ledger_run *run = find_run (ledger, strtoull (seal, NULL, 10));

  if (run == NULL || run->attempt != attempt)
    {
      ledger_violate (ledger, "MIXED", "%s got the answer of run %s",
                      attempt->id, seal);
      return;
    }
  if (attempt->kind == CATALOG_STREAM && attempt->status == 200)
    {
      if (attempt->next_event != attempt->events + 1)
        ledger_violate (ledger, "ORDER", "%s ended before event %llu of %llu",
                        attempt->id, (unsigned long long)attempt->next_event,
                        (unsigned long long)attempt->events);
      return;
    }
  if (run->status != attempt->status || strcmp (run->body, body) != 0)
    ledger_violate (ledger, "MIXED", "%s got %u \"%.40s\" for %u \"%.40s\"",
                    attempt->id, attempt->status, body, run->status, run->body);
}

void
ledger_answer (struct ledger *ledger,
               struct ledger_attempt *attempt,
               unsigned status,
               const char *seal,
               const char *body)
{
  attempt->status = status;
  if (seal == NULL)
    check_own_answer (ledger, attempt);
  else
    {
      check_sealed_answer (ledger, attempt, seal, body);
      if (status < 300)
        ledger->served++;
      else
        ledger->failed++;
    }
  ledger_end (ledger, attempt, LEDGER_ANSWERED);
}

/* True if the endpoints that ran it were sound all along. */
static bool
ran_soundly (const struct ledger *ledger, const struct ledger_attempt *attempt)
{
  for (unsigned i = 0; i < attempt->run_count; i++)
    {
      const struct ledger_run *run = find_run (ledger, attempt->runs[i]);

      if (run == NULL || !is_sound (ledger, run->endpoint)
          || run->endpoint->leaving || run->broke_off
          || run->endpoint->group.state == STANDIN_BROKEN)
        return false;
    }
  return true;
}

static void
check_lost (struct ledger *ledger, const struct ledger_attempt *attempt)
{
  const struct host *host = attempt->host;
  bool planned
      = host->term_ms != 0
        && ledger->now_ms - host->term_ms <= HOST_GRACE_MS + TERM_AFTER_MS
        && attempt->sent_ms + HOST_GRACE_MS > host->term_ms;

  if (ledger->now_ms - attempt->sent_ms >= attempt->deadline_ms
      || !ledger_was_calm (ledger, host, attempt->sent_ms)
      || !ledger_was_calm (ledger, host, ledger->now_ms)
      || !ran_soundly (ledger, attempt))
    return;
  if (planned
      && (attempt->run_count > 0
          || ledger->now_ms - attempt->sent_ms > CROSSED_MS))
    ledger_violate (ledger, "LOST", "%s, with %u runs, lost in the stop of %s",
                    attempt->id, attempt->run_count, host->name);
  else if (!planned && attempt->run_count > 0 && ++ledger->lost > LOST_LIMIT)
    ledger_violate (ledger, "LOST", "%s was cut off by %s", attempt->id,
                    host->name);
}

void
ledger_end (struct ledger *ledger,
            struct ledger_attempt *attempt,
            enum ledger_end end)
{
  attempt->end = end;
  attempt->end_ms = ledger->now_ms;
  if (end == LEDGER_ANSWERED)
    return;
  ledger->failed++;
  if (end == LEDGER_BROKEN)
    check_lost (ledger, attempt);
}

void
ledger_tick (struct ledger *ledger, int64_t now_ms)
{
  struct ledger_attempt *attempt;

  ledger->now_ms = now_ms;
  for (attempt = ledger->attempts; attempt != NULL; attempt = attempt->hh.next)
    if (attempt->end == LEDGER_OPEN && !attempt->held
        && now_ms - attempt->sent_ms > attempt->deadline_ms + HELD_MS)
      {
        if (ledger_was_calm (ledger, attempt->host, attempt->sent_ms)
            && ledger_was_calm (ledger, attempt->host, now_ms))
          ledger_violate (ledger, "HELD",
                          "%s has no answer by %s after %lld ms", attempt->id,
                          attempt->host->name,
                          (long long)(now_ms - attempt->sent_ms));
        attempt->held = true;
      }
}
