#include "checker.h"

#include "http-call.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/*
 * An endpoint responds with its report in 7 ms, without using a slot; an
 * endpoint that is 12 times slower responds in 90 ms.
 */
#define CHECK_TIMEOUT_MS 200
/* Checks without a response, in a row, that make an endpoint silent. */
#define SILENT_AFTER_FAILURES 2
/* Interval of the checks of a suspected and of a silent endpoint. */
#define SUSPECT_CHECK_INTERVAL_MS 25
#define SILENT_CHECK_INTERVAL_MS 600
/* Responses in a row that clear an endpoint: a partition may come and go. */
#define CLEARED_AFTER_RESPONSES 2

struct endpoint_check
{
  const char *endpoint;
  struct checker *checker;
  struct http_call *call; /* NULL = no request in flight */
  unsigned consecutive_failures;
  unsigned consecutive_responses;
  bool is_silent;
  bool is_cleared;
  int64_t sent_ms;
  int64_t next_ms;
  UT_hash_handle hh;
};

void
checker_init (struct checker *checker,
              struct event_base *base,
              const struct platform_adapter *adapter,
              const struct endpoints *endpoints)
{
  memset (checker, 0, sizeof *checker);
  checker->base = base;
  checker->adapter = adapter;
  checker->endpoints = endpoints;
}

static void
close_call (struct endpoint_check *check)
{
  if (check->call == NULL)
    return;
  http_call_finish (check->call);
  http_free_later (check->checker->base, check->call);
  check->call = NULL;
}

static void
remove_check (struct endpoint_check *check)
{
  close_call (check);
  HASH_DELETE (hh, check->checker->checks, check);
  http_free_later (check->checker->base, check);
}

void
checker_finish (struct checker *checker)
{
  while (checker->checks != NULL)
    remove_check (checker->checks);
}

static void
record_failure (struct endpoint_check *check)
{
  close_call (check);
  check->consecutive_responses = 0;
  check->consecutive_failures++;
  if (check->consecutive_failures >= SILENT_AFTER_FAILURES && !check->is_silent)
    {
      check->is_silent = true;
      LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-silent",
                 LOG_STR ("endpoint", check->endpoint),
                 LOG_U64 ("checks", check->consecutive_failures));
    }
  check->next_ms = check->checker->now_ms
                   + (check->is_silent ? SILENT_CHECK_INTERVAL_MS
                                       : SUSPECT_CHECK_INTERVAL_MS);
}

static void
record_response (struct endpoint_check *check)
{
  close_call (check);
  check->consecutive_failures = 0;
  check->consecutive_responses++;
  if (check->is_silent)
    LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-answers",
               LOG_STR ("endpoint", check->endpoint));
  check->is_silent = false;
  check->is_cleared = check->consecutive_responses >= CLEARED_AFTER_RESPONSES;
  check->next_ms = check->checker->now_ms + SILENT_CHECK_INTERVAL_MS;
}

static void
on_check_done (void *context, bool has_response, unsigned status)
{
  (void)status;
  if (has_response)
    record_response (context);
  else
    record_failure (context);
}

static void
start_check (struct endpoint_check *check, const struct endpoint *endpoint)
{
  struct checker *checker = check->checker;
  struct http_text request;

  check->call = calloc (1, sizeof *check->call);
  if (check->call == NULL)
    return;
  checker->checks_sent++;
  check->sent_ms = checker->now_ms;
  http_text_init (&request);
  http_text_format (&request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                    checker->adapter->endpoint_report_target, check->endpoint);
  if (http_call_start (check->call, checker->base, endpoint->report.address,
                       endpoint->report.port, CHECK_TIMEOUT_MS, &request,
                       on_check_done, check)
      != RESULT_OK)
    {
      free (check->call);
      check->call = NULL;
      record_failure (check);
    }
}

void
checker_suspect (struct checker *checker, const char *endpoint, int64_t now_ms)
{
  struct endpoint_check *check;
  const char *id;

  if (checker->is_paused)
    return;
  HASH_FIND_STR (checker->checks, endpoint, check);
  if (check != NULL)
    {
      check->is_cleared = false;
      return;
    }
  check = text_allocate_with (sizeof *check, endpoint, &id);
  if (check == NULL)
    return;
  check->endpoint = id;
  check->checker = checker;
  check->next_ms = now_ms;
  HASH_ADD_KEYPTR (hh, checker->checks, check->endpoint, strlen (id), check);
}

void
checker_set_paused (struct checker *checker, bool is_paused)
{
  checker->is_paused = is_paused;
  if (is_paused)
    checker_finish (checker);
}

bool
checker_is_silent (const struct checker *checker, const char *endpoint)
{
  struct endpoint_check *check;

  HASH_FIND_STR (checker->checks, endpoint, check);
  return check != NULL && check->is_silent;
}

void
checker_tick (struct checker *checker, int64_t now_ms)
{
  struct endpoint_check *check = checker->checks;

  checker->now_ms = now_ms;
  while (check != NULL)
    {
      struct endpoint_check *next = check->hh.next;
      const struct endpoint *endpoint
          = endpoints_find (checker->endpoints, check->endpoint);

      if (endpoint == NULL)
        remove_check (check);
      else if (check->call != NULL)
        {
          if (now_ms - check->sent_ms >= CHECK_TIMEOUT_MS)
            record_failure (check);
        }
      else if (now_ms >= check->next_ms)
        {
          if (check->is_cleared)
            remove_check (check);
          else
            start_check (check, endpoint);
        }
      check = next;
    }
}
