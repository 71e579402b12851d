#include "checker.h"

#include "http-call.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/*
 * A report is answered in 7 ms, without a slot, and in 90 ms by an endpoint
 * that is 12 times slower.
 */
#define CHECK_MS 200
/* Checks without an answer, in a row, after which an endpoint is silent. */
#define CHECK_FAILURES 2
/* Between two checks of a suspect, and of an endpoint that is silent. */
#define CHECK_PAUSE_MS 25
#define SILENT_PAUSE_MS 600
/* Answers in a row that clear a suspect: a partition may come and go. */
#define CHECK_ANSWERS 2

struct check
{
  char endpoint[CATALOG_NAME_SIZE];
  struct checker *checker;
  struct http_call *call; /* NULL = no check under way */
  unsigned failures;
  unsigned answers;
  bool silent;
  bool done;
  int64_t sent_ms;
  int64_t next_ms;
  UT_hash_handle hh;
};

void
checker_init (struct checker *checker,
              struct event_base *base,
              const struct adapter *adapter,
              const struct endpoints *endpoints)
{
  memset (checker, 0, sizeof *checker);
  checker->base = base;
  checker->adapter = adapter;
  checker->endpoints = endpoints;
}

static void
end_call (struct check *check)
{
  if (check->call == NULL)
    return;
  http_call_finish (check->call);
  http_free_later (check->checker->base, check->call);
  check->call = NULL;
}

static void
drop (struct check *check)
{
  end_call (check);
  HASH_DELETE (hh, check->checker->checks, check);
  http_free_later (check->checker->base, check);
}

void
checker_finish (struct checker *checker)
{
  while (checker->checks != NULL)
    drop (checker->checks);
}

static void
note_failure (struct check *check)
{
  end_call (check);
  check->answers = 0;
  check->failures++;
  if (check->failures >= CHECK_FAILURES && !check->silent)
    {
      check->silent = true;
      LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-silent",
                 LOG_STR ("endpoint", check->endpoint),
                 LOG_U64 ("checks", check->failures));
    }
  check->next_ms = check->checker->now_ms
                   + (check->silent ? SILENT_PAUSE_MS : CHECK_PAUSE_MS);
}

static void
note_answer (struct check *check)
{
  end_call (check);
  check->failures = 0;
  check->answers++;
  if (check->silent)
    LOG_EVENT (LOG_LEVEL_NOTICE, "endpoint-answers",
               LOG_STR ("endpoint", check->endpoint));
  check->silent = false;
  check->done = check->answers >= CHECK_ANSWERS;
  check->next_ms = check->checker->now_ms + SILENT_PAUSE_MS;
}

static void
on_done (void *context, bool answered, unsigned status)
{
  (void)status;
  if (answered)
    note_answer (context);
  else
    note_failure (context);
}

static void
start (struct check *check, const struct endpoint *endpoint)
{
  struct checker *checker = check->checker;
  struct http_text request;

  check->call = calloc (1, sizeof *check->call);
  if (check->call == NULL)
    return;
  checker->sent++;
  check->sent_ms = checker->now_ms;
  http_text_init (&request);
  http_text_format (&request, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                    checker->adapter->endpoint_report_target, check->endpoint);
  if (http_call_start (check->call, checker->base, endpoint->report.address,
                       endpoint->report.port, CHECK_MS, &request, on_done,
                       check)
      != RESULT_OK)
    {
      free (check->call);
      check->call = NULL;
      note_failure (check);
    }
}

void
checker_suspect (struct checker *checker, const char *endpoint, int64_t now_ms)
{
  struct check *check;

  HASH_FIND_STR (checker->checks, endpoint, check);
  if (check != NULL)
    {
      check->done = false;
      return;
    }
  check = calloc (1, sizeof *check);
  if (check == NULL)
    return;
  memcpy (check->endpoint, endpoint,
          strnlen (endpoint, sizeof check->endpoint - 1));
  check->checker = checker;
  check->next_ms = now_ms;
  HASH_ADD_STR (checker->checks, endpoint, check);
}

bool
checker_is_silent (const struct checker *checker, const char *endpoint)
{
  struct check *check;

  HASH_FIND_STR (checker->checks, endpoint, check);
  return check != NULL && check->silent;
}

void
checker_tick (struct checker *checker, int64_t now_ms)
{
  struct check *check = checker->checks;

  checker->now_ms = now_ms;
  while (check != NULL)
    {
      struct check *next = check->hh.next;
      const struct endpoint *endpoint
          = endpoints_find (checker->endpoints, check->endpoint);

      if (endpoint == NULL)
        drop (check);
      else if (check->call != NULL)
        {
          if (now_ms - check->sent_ms >= CHECK_MS)
            note_failure (check);
        }
      else if (now_ms >= check->next_ms)
        {
          if (check->done)
            drop (check);
          else
            start (check, endpoint);
        }
      check = next;
    }
}
