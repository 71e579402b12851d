#include "log.h"
#include "relay-internal.h"
#include "timeutil.h"

#include <malloc.h>
#include <string.h>

/* The smallest host of a deployment has 112 MB. */
#define DEFAULT_LIMIT_MB 112
#define DEFAULT_TIGHT_SHARE 0.5
/*
 * The rest is for the process itself (6 MB with a small configuration),
 * for what is read before the account is asked again, and for freed memory that
 * the allocator has not returned.
 */
#define DEFAULT_FULL_SHARE 0.7
/* Above the first watermark, a stream waits for a caller that is this late. */
#define TIGHT_UNWRITTEN_BYTES 16384
/* Largest unfinished event above the second watermark; usual are 100 bytes. */
#define FULL_EVENT_BYTES 8192
/* Interval between log lines on the same watermark, and on ended requests. */
#define LOG_INTERVAL_MS 1000
/*
 * Blocks of this size get pages of their own, which return to the system when
 * they are freed.  Without this the allocator raises the threshold up to 32 MB
 * and keeps them.  The heap grows by less than that at a time, because a large
 * block would be taken from what it has left over.  Ordinary bodies (714
 * tokens, 3,600 bytes) are smaller.
 */
#define OWN_PAGES_BYTES 32768

void
relay_memory_init (struct relay *relay)
{
  const struct relay_limits *limits = &relay->limits;

  memory_account_init (
      &relay->memory,
      limits->memory_bytes > 0 ? limits->memory_bytes
                               : (size_t)DEFAULT_LIMIT_MB << 20,
      limits->memory_tight_share > 0 ? limits->memory_tight_share
                                     : DEFAULT_TIGHT_SHARE,
      limits->memory_full_share > 0 ? limits->memory_full_share
                                    : DEFAULT_FULL_SHARE);
  /* Rejected by an allocator other than that of glibc, as with sanitizers. */
  if (mallopt (M_MMAP_THRESHOLD, OWN_PAGES_BYTES) == 0
      || mallopt (M_TRIM_THRESHOLD, 2 * OWN_PAGES_BYTES) == 0
      || mallopt (M_TOP_PAD, OWN_PAGES_BYTES / 2) == 0)
    LOG_EVENT (LOG_LEVEL_INFO, "allocator-options-rejected",
               LOG_INT ("threshold", OWN_PAGES_BYTES));
}

void
relay_memory_charge_request (struct relay_request *request)
{
  memory_account_set (&request->relay->memory, MEMORY_BODIES,
                      &request->memory_charge,
                      sizeof *request + strlen (request->id)
                          + request->fields.size + request->body.size);
}

static struct memory_holder
describe_holder (const struct relay_request *request)
{
  size_t size = request->body.size;
  struct memory_holder holder = {
    .bytes = size,
    .progress_ms = request->body_progress_ms,
    .unread_since_ms = request->unread_since_ms,
    .is_admitted = request->is_admitted,
  };

  if (request->phase == RELAY_READING)
    {
      holder.stage = MEMORY_UNFINISHED;
      holder.rest_bytes
          = request->body_limit > size ? request->body_limit - size : 0;
    }
  else if (request->phase == RELAY_WAITING && request->upstream == NULL
           && request->runs == 0 && !request->head_sent)
    holder.stage = MEMORY_WHOLE;
  else
    holder.stage = MEMORY_RUNNING;
  return holder;
}

/* Space that is kept free for what all requests may still come to hold. */
static size_t
count_reserved (const struct relay *relay)
{
  const struct relay_request *request;
  size_t reserved = 0;

  TAILQ_FOREACH (request, &relay->requests, link)
    {
      struct memory_holder holder = describe_holder (request);

      reserved += memory_reserved_bytes (&holder, relay->now_ms);
    }
  return reserved;
}

static bool
may_log (struct relay *relay, int64_t *logged_ms)
{
  if (*logged_ms != 0 && relay->now_ms - *logged_ms < LOG_INTERVAL_MS)
    return false;
  *logged_ms = relay->now_ms;
  return true;
}

/* Refuses a request that did not run, because memory is short. */
static void
end_request (struct relay_request *request)
{
  struct relay *relay = request->relay;
  bool is_unfinished = request->phase == RELAY_READING;

  counter_add (relay->counters, "waxwing_memory_ended_total",
               is_unfinished ? "stage=\"unfinished\"" : "stage=\"whole\"", 1);
  if (may_log (relay, &relay->memory_end_logged_ms))
    LOG_EVENT (
        LOG_LEVEL_NOTICE, "memory-request-ended",
        LOG_STR ("request", request->id),
        LOG_STR ("stage", is_unfinished ? "unfinished" : "whole"),
        LOG_U64 ("bytes", request->body.size),
        LOG_INT ("silent_ms", relay->now_ms - request->body_progress_ms),
        LOG_INT ("unread_ms", request->unread_since_ms != 0
                                  ? relay->now_ms - request->unread_since_ms
                                  : 0),
        LOG_U64 ("held", relay->memory.total));
  if (is_unfinished)
    request->caller->close_after = true;
  relay_refuse (request, RESULT_SHED, relay_draw_retry_after_ms (relay));
}

static void
set_unread (struct relay_request *request, bool unread)
{
  struct relay *relay = request->relay;

  if (unread == (request->unread_since_ms != 0))
    return;
  request->unread_since_ms = unread ? relay->now_ms : 0;
  /* The client could not send meanwhile. */
  if (!unread)
    request->body_progress_ms = relay->now_ms;
  else
    {
      counter_add (relay->counters, "waxwing_memory_waits_total", NULL, 1);
      relay->has_unread_bodies = true;
    }
  http_connection_set_reading_suspended (&request->caller->connection, unread);
}

/* Carries out everything but MEMORY_END. */
static void
apply_action (struct relay_request *request, enum memory_action action)
{
  if (action == MEMORY_ADMIT)
    request->is_admitted = true;
  else if (memory_account_level (&request->relay->memory) == MEMORY_CALM)
    request->is_admitted = false;
  set_unread (request, action == MEMORY_WAIT);
}

/* Ends requests that did not run until the second watermark is kept. */
static void
shed (struct relay *relay)
{
  while (memory_account_level (&relay->memory) == MEMORY_FULL)
    {
      struct relay_request *victim = NULL;
      struct memory_holder worst;
      struct relay_request *request;

      TAILQ_FOREACH (request, &relay->requests, link)
        {
          struct memory_holder holder = describe_holder (request);

          if (holder.stage == MEMORY_RUNNING || holder.bytes == 0)
            continue;
          if (victim == NULL
              || memory_ends_before (&holder, &worst, relay->now_ms))
            {
              victim = request;
              worst = holder;
            }
        }
      if (victim == NULL)
        return;
      end_request (victim);
    }
}

void
relay_memory_reserve_body (struct relay_request *request, size_t size)
{
  struct http_text *body = &request->body;

  if (body->size + size < body->capacity)
    return;
  if (request->body_limit <= MEMORY_SMALL_BYTES
      || body->size + size > MEMORY_SMALL_BYTES)
    http_text_reserve (body, request->body_limit);
  else
    http_text_reserve (body, MEMORY_SMALL_BYTES);
}

void
relay_memory_note_body (struct relay_request *request)
{
  struct relay *relay = request->relay;
  struct memory_holder holder;
  enum memory_action action;

  request->body_progress_ms = relay->now_ms;
  relay_memory_charge_request (request);
  if (memory_account_level (&relay->memory) == MEMORY_CALM)
    return;
  holder = describe_holder (request);
  action = memory_account_decide (
      &relay->memory, &holder,
      count_reserved (relay) - memory_reserved_bytes (&holder, relay->now_ms),
      relay->now_ms);
  if (action == MEMORY_END)
    end_request (request);
  else
    apply_action (request, action);
}

void
relay_memory_charge_response (struct relay_upstream *upstream)
{
  memory_account_set (&upstream->relay->memory, MEMORY_RESPONSES,
                      &upstream->memory_charge,
                      upstream->head.size + upstream->body.size);
}

/*
 * Above the second watermark a large response waits unread at its endpoint, as
 * the request has run and must not be lost.  One that can be repeated elsewhere
 * holds no memory meanwhile.
 */
bool
relay_memory_note_response (struct relay_upstream *upstream)
{
  struct relay *relay = upstream->relay;

  relay_memory_charge_response (upstream);
  if (upstream->is_stream || upstream->body.size <= MEMORY_SMALL_BYTES
      || memory_account_level (&relay->memory) != MEMORY_FULL
      || upstream->unread_since_ms != 0)
    return true;
  if (relay_check_failover (upstream->request) == BALANCE_CHOSEN)
    return false;
  upstream->unread_since_ms = relay->now_ms;
  http_connection_set_reading_suspended (&upstream->connection, true);
  return true;
}

void
relay_memory_note_events (struct relay_upstream *upstream)
{
  relay_memory_charge_response (upstream);
  if (memory_account_level (&upstream->relay->memory) != MEMORY_CALM
      && http_connection_unwritten_bytes (
             &upstream->request->caller->connection)
             > TIGHT_UNWRITTEN_BYTES)
    http_connection_set_reading_suspended (&upstream->connection, true);
}

bool
relay_memory_can_hold_event (const struct relay_upstream *upstream)
{
  return upstream->body.size <= FULL_EVENT_BYTES
         || memory_account_level (&upstream->relay->memory) != MEMORY_FULL;
}

/* Lets responses that wait unread go on, or fails those that waited too long.
 */
static void
tick_responses (struct relay *relay)
{
  bool is_full = memory_account_level (&relay->memory) == MEMORY_FULL;
  struct relay_upstream *upstream = TAILQ_FIRST (&relay->busy);

  while (upstream != NULL)
    {
      struct relay_upstream *next = TAILQ_NEXT (upstream, link);

      if (upstream->unread_since_ms != 0 && !is_full)
        {
          upstream->unread_since_ms = 0;
          relay_upstream_resume (upstream);
        }
      else if (upstream->unread_since_ms != 0
               && relay->now_ms - upstream->unread_since_ms >= MEMORY_WAIT_MS)
        {
          relay_fail_attempt (upstream->request, true, RESULT_TOO_LARGE);
          /* Other attempts may have ended with it. */
          return;
        }
      upstream = next;
    }
}

static void
note_output (struct relay_caller *caller, int64_t now_ms)
{
  size_t unwritten = http_connection_unwritten_bytes (&caller->connection);

  if (unwritten != 0 && unwritten == caller->unwritten_bytes)
    return;
  caller->unwritten_bytes = unwritten;
  caller->unwritten_since_ms = now_ms;
}

/*
 * The last resort: closes the connection with the most bytes that its client
 * has stopped to read.
 */
static void
close_unread_caller (struct relay *relay)
{
  struct relay_caller *victim = NULL;
  struct relay_caller *caller;

  TAILQ_FOREACH (caller, &relay->callers, link)
    {
      note_output (caller, relay->now_ms);
      if (caller->unwritten_bytes > 0
          && relay->now_ms - caller->unwritten_since_ms >= MEMORY_STALL_MS
          && (victim == NULL
              || caller->unwritten_bytes > victim->unwritten_bytes))
        victim = caller;
    }
  if (victim == NULL || memory_account_level (&relay->memory) != MEMORY_FULL)
    return;
  counter_add (relay->counters, "waxwing_memory_ended_total",
               "stage=\"unread\"", 1);
  if (may_log (relay, &relay->memory_end_logged_ms))
    LOG_EVENT (
        LOG_LEVEL_NOTICE, "memory-caller-closed",
        LOG_U64 ("unwritten", victim->unwritten_bytes),
        LOG_INT ("silent_ms", relay->now_ms - victim->unwritten_since_ms),
        LOG_U64 ("held", relay->memory.total));
  if (victim->request != NULL && victim->request->phase != RELAY_READING)
    relay_log_request_end (victim->request, "caller-gone", 0,
                           RESULT_CALLER_GONE);
  relay_caller_close (victim);
}

/* Asks again for each unfinished body; only ends change the list. */
static void
tick_bodies (struct relay *relay)
{
  struct relay_request *request;
  struct relay_request *victim;
  enum memory_action action;

  do
    {
      size_t reserved = count_reserved (relay);

      victim = NULL;
      TAILQ_FOREACH (request, &relay->requests, link)
        {
          struct memory_holder holder;
          size_t own;

          if (request->phase != RELAY_READING)
            continue;
          holder = describe_holder (request);
          own = memory_reserved_bytes (&holder, relay->now_ms);
          action = memory_account_decide (&relay->memory, &holder,
                                          reserved - own, relay->now_ms);
          if (action == MEMORY_END)
            {
              victim = request;
              break;
            }
          if (action == MEMORY_ADMIT)
            reserved += holder.rest_bytes - own;
          apply_action (request, action);
        }
      if (victim != NULL)
        end_request (victim);
    }
  while (victim != NULL);
}

static void
log_level (struct relay *relay)
{
  static const char *const names[] = {
    [MEMORY_CALM] = "calm",
    [MEMORY_TIGHT] = "tight",
    [MEMORY_FULL] = "full",
  };
  const struct memory_account *account = &relay->memory;
  enum memory_level level = memory_account_level (account);

  if (level == relay->memory_level
      || !may_log (relay, &relay->memory_level_logged_ms))
    return;
  relay->memory_level = level;
  LOG_EVENT (level == MEMORY_CALM ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
             "memory-level", LOG_STR ("level", names[level]),
             LOG_U64 ("held", account->total), LOG_U64 ("peak", account->peak),
             LOG_U64 ("limit", account->limit_bytes),
             LOG_U64 ("bodies", account->held[MEMORY_BODIES]),
             LOG_U64 ("responses", account->held[MEMORY_RESPONSES]),
             LOG_U64 ("to_clients", account->held[MEMORY_TO_CLIENTS]),
             LOG_U64 ("connections", account->held[MEMORY_CONNECTIONS]),
             LOG_U64 ("tight_count", account->tight_count),
             LOG_U64 ("full_count", account->full_count));
}

void
relay_memory_tick (struct relay *relay)
{
  if (memory_account_level (&relay->memory) != MEMORY_CALM
      || relay->has_unread_bodies)
    {
      tick_bodies (relay);
      shed (relay);
      close_unread_caller (relay);
      relay->has_unread_bodies
          = memory_account_level (&relay->memory) != MEMORY_CALM;
    }
  tick_responses (relay);
  log_level (relay);
}
