#ifndef SOAK_LEDGER_H
#define SOAK_LEDGER_H

#include "catalog.h"
#include "host.h"
#include "operator.h"
#include "standin-endpoint.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <uthash.h>

/*
 * Records every attempt of a caller, the runs at endpoints and the response
 * that the caller got, and checks them against the rules that the system
 * guarantees.  A violation is printed and counted.
 */

#define LEDGER_TEXT_SIZE 96
#define LEDGER_RUN_LIMIT 8
/* More than fit into the life of an attempt. */
#define LEDGER_STANDSTILL_LIMIT 256

/* How an attempt ended for its caller. */
enum ledger_outcome
{
  LEDGER_OPEN,         /* not ended yet */
  LEDGER_COMPLETE,     /* a complete response arrived */
  LEDGER_DISCONNECTED, /* the connection closed before a complete response */
  LEDGER_ABANDONED,    /* the caller gave up, or no connection was made */
};

/* One attempt of a caller to have a request served. */
struct ledger_attempt
{
  char id[LEDGER_TEXT_SIZE];
  enum catalog_kind kind;
  bool resumable;
  char method[8];
  char target[LEDGER_TEXT_SIZE];
  char body[LEDGER_TEXT_SIZE];
  char model[LEDGER_TEXT_SIZE]; /* "" = none */
  char key[LEDGER_TEXT_SIZE];
  char customer[LEDGER_TEXT_SIZE];
  uint64_t first_event; /* first event that the caller needs; 0 = no stream */
  uint64_t event_count; /* events of the whole stream */
  int64_t timeout_ms;   /* from sent_ms to the deadline of the request */
  int64_t sent_ms;
  struct host *host; /* to which it was sent */

  enum ledger_outcome outcome;
  int64_t ended_ms;
  unsigned status; /* of the response; 0 = none */
  /* The response says that it did not run; not set for repeatable requests. */
  bool reported_not_run;
  bool is_overdue;        /* no response in time; rule HELD was applied */
  unsigned arrival_count; /* at endpoints */
  unsigned run_count;
  uint64_t runs[LEDGER_RUN_LIMIT];
  uint64_t next_event;     /* next event that the caller expects */
  uint64_t last_event_run; /* run that sent the last event; 0 = none */
  UT_hash_handle hh;
};

/* One run of a request at an endpoint. */
struct ledger_run
{
  uint64_t number;
  struct ledger_attempt *attempt; /* NULL = no caller sent it */
  struct standin_endpoint *endpoint;
  unsigned status; /* of its response; 0 = none yet */
  bool aborted;    /* the endpoint ended it without a complete response */
  char body[512];  /* of its response */
  UT_hash_handle hh;
};

/* A drain signal: an endpoint reported to a host, in a response, that it
   leaves. */
struct ledger_drain_signal
{
  char endpoint[STANDIN_NAME_SIZE];
  int64_t incarnation_start_ms; /* start of the endpoint's incarnation */
  const struct host *host;
  int64_t signalled_ms;
  struct ledger_drain_signal *next;
};

/* An endpoint states a request limit; what it got since then. */
#define LEDGER_TOLD_HOST_LIMIT 64
#define LEDGER_LIMITED_REQUEST_LIMIT 256
struct ledger_limit
{
  char endpoint[STANDIN_NAME_SIZE];
  int64_t incarnation_start_ms;
  unsigned per_10_s;
  int64_t since_ms;  /* first stated as it is now */
  int64_t stated_ms; /* last stated */
  struct
  {
    const struct host *host;
    int64_t told_ms;
  } told[LEDGER_TOLD_HOST_LIMIT];
  unsigned told_count;
  /* Times of requests by hosts that had been told, in a ring. */
  int64_t received_ms[LEDGER_LIMITED_REQUEST_LIMIT];
  unsigned received_count;
  struct ledger_limit *next;
};

/* Requests for a service, and arrivals beyond the first of each, by time. */
#define LEDGER_BUDGET_STEP_MS 500
#define LEDGER_BUDGET_STEPS 1024
struct ledger_budget
{
  unsigned requests[LEDGER_BUDGET_STEPS];
  unsigned repeats[LEDGER_BUDGET_STEPS];
  int64_t reported_ms; /* when a violation was last reported; 0 = never */
};

/* A time for which the process of the callers and endpoints did not run. */
struct ledger_standstill
{
  int64_t started_ms;
  int64_t ended_ms;
};

struct ledger
{
  const struct operator* operator;
  struct ledger_attempt *attempts; /* uthash by id */
  struct ledger_run *runs;         /* uthash by number */
  struct ledger_drain_signal *drain_signals;
  struct ledger_limit *limits;
  /* Of the service of the models, and of all plain ones. */
  struct ledger_budget budgets[2];
  unsigned retry_slack; /* of the fleet, per service */
  int64_t now_ms;
  int64_t started_ms;
  int64_t store_disturbed_ms; /* last moment of a fault of the store */
  FILE *event_log;            /* orders are noted here */
  /* The latest standstills, in a ring. */
  struct ledger_standstill standstills[LEDGER_STANDSTILL_LIMIT];
  unsigned standstill_count;
  uint64_t violations;
  /* Numbers of ended attempts. */
  uint64_t served;
  uint64_t refused; /* the response says that it did not run */
  uint64_t failed;
  uint64_t lost; /* disconnected, and no fault or stop explains it */
};

void ledger_init (struct ledger *ledger, const struct operator* operator);
void ledger_finish (struct ledger *ledger);

/* Prints and counts a violation; rule is the short name of the rule. */
void ledger_report_violation (struct ledger *ledger,
                              const char *rule,
                              const char *format,
                              ...) __attribute__ ((format (printf, 3, 4)));

/* Adds an attempt with this id; all its other fields are zero. */
struct ledger_attempt *ledger_add_attempt (struct ledger *ledger,
                                           const char *id);

/*
 * True if a request may run more than once.  Implements the sheets on its own,
 * so that the product is not checked with its own code.
 */
bool ledger_is_repeatable (enum catalog_kind kind, bool resumable);

/*
 * True if this status, in a response that the host itself made, says that the
 * request did not run.
 */
bool ledger_is_not_run_status (unsigned status);

/* Counts a request that was sent to a host for its service's budget. */
void ledger_note_sent (struct ledger *ledger,
                       const struct ledger_attempt *attempt);

/* Hooks of the stand-in endpoints; context is the ledger. */
extern const struct standin_hooks ledger_hooks;

/*
 * What the caller sees: an event of a stream, a complete response, the end of
 * an attempt.  seal is the number of the run that made the response; NULL = the
 * host made it.
 */
void ledger_record_event (struct ledger *ledger,
                          struct ledger_attempt *attempt,
                          const char *text);
void ledger_record_response (struct ledger *ledger,
                             struct ledger_attempt *attempt,
                             unsigned status,
                             const char *seal,
                             const char *body);
void ledger_end_attempt (struct ledger *ledger,
                         struct ledger_attempt *attempt,
                         enum ledger_outcome outcome);

/* Notes that no caller or endpoint could read or send in this time. */
void ledger_note_standstill (struct ledger *ledger,
                             int64_t started_ms,
                             int64_t ended_ms);

/* Reports attempts that have no response some time after their deadline. */
void ledger_tick (struct ledger *ledger, int64_t now_ms);

/*
 * True if no fault has acted on the host or the store since HOST_STABLE_MS
 * before since_ms.
 */
bool ledger_was_undisturbed (const struct ledger *ledger,
                             const struct host *host,
                             int64_t since_ms);

#endif
