#ifndef BALANCE_ADMISSION_ORDER_H
#define BALANCE_ADMISSION_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides which requests are sent, wait or are refused while capacity is short.
 *
 * The load that this answers: 99 entry hosts with loads that are 0.15 s old or
 * more; groups of 20 slots that free a slot every 50 ms or less often; bursts
 * of 1.5 to 2.5 times one kind of request for 3 to 7 s; a third of the
 * endpoints away for 6 to 12 s; callers that come back once, at another host.
 * Counted as new, a caller that came back took a slot from a request that could
 * still be in time, and was lost if it was refused again.
 *
 * Requests are ordered by state, then by priority, then by time left.  Requests
 * that can be in time are admitted by the share of occupied slots, less urgent
 * ones up to a lower share.  Late requests get only slots that no request in
 * time would take: each host sends its part of these slots.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.  All functions work on tables of
 * the caller.
 */

/* Shares of occupied slots over which the admitted share of requests falls. */
struct admission_range
{
  double all_below;  /* all requests are admitted */
  double none_above; /* no request is admitted, but see least_share */
  /* At least this part of the most urgent requests' share is admitted. */
  double least_share;
  double top_shift; /* by which their range lies above that of all */
};

/*
 * The range of requests that are not ordered, and of the most urgent ones that
 * are.  Hosts know the loads as they were 0.2 s ago or more.  If every request
 * were admitted while a slot seems free, groups would oscillate between
 * overload and idle slots (t0471-slots.c compares).
 */
#define ADMISSION_ALL_BELOW 0.9
#define ADMISSION_NONE_ABOVE 1.1

double admission_share (const struct admission_range *range,
                        double occupied_share);

#define ADMISSION_PRIORITY_LIMIT 8
#define ADMISSION_MODEL_LIMIT 16

/* What is known of the requests for one model, or for a service without. */
struct admission_model
{
  uint64_t key; /* of service and model; 0 = unused */
  int64_t used_ms;
  /* Moving shares of the requests; the last priority includes lower ones. */
  double priority_weights[ADMISSION_PRIORITY_LIMIT];
  double top_precedence;         /* of the most urgent requests */
  double events_per_limit_token; /* moving mean; 0 = no response yet */
  double run_ms;                 /* moving mean of responses' times */
  unsigned slots;                /* of its endpoints at the last choice */
  double late_tries;             /* recent tries of late requests, decaying */
  int64_t late_tries_ms;         /* time of the last one */
  int64_t next_return_ms;        /* next place for a refused caller */
};

struct admission_history
{
  struct admission_model models[ADMISSION_MODEL_LIMIT];
};

/* Finds the model; replaces the one unused for longest if there is no space. */
struct admission_model *admission_history_get (
    struct admission_history *history, uint64_t key, int64_t now_ms);

/*
 * Records a request.  Returns by how much fewer of the last requests are more
 * urgent than it than on average, -1 to 1: positive if it is urgent.
 */
double admission_model_note_request (struct admission_model *model,
                                     unsigned priority);

/*
 * Records a whole response: its time, its events and the limit that was asked
 * for; 0 if it has none.
 */
void admission_model_note_response (struct admission_model *model,
                                    uint64_t limit_tokens,
                                    uint64_t events,
                                    int64_t run_ms);

/*
 * Records a try of the first late request of this host.  Returns the share of
 * recent time in which the host had one, which stands for the share of hosts
 * that have one now.
 */
double admission_model_note_late_try (struct admission_model *model,
                                      int64_t now_ms);

/* Events that a request is expected to get. */
double admission_model_expect_events (const struct admission_model *model,
                                      uint64_t limit_tokens,
                                      unsigned tokens_per_event);

enum admission_state
{
  ADMISSION_IN_TIME,  /* can meet its objective */
  ADMISSION_LATE,     /* cannot; its caller can come back */
  ADMISSION_LAST_TRY, /* cannot; its caller cannot come back */
  ADMISSION_STATES
};

/* A request as of now. */
struct admission_request
{
  unsigned priority; /* 0 = most urgent */
  double precedence; /* see admission_model_note_request */
  double top_precedence;
  int64_t objective_ms;
  int64_t objective_left_ms; /* negative = missed */
  int64_t deadline_left_ms;
  /* Until the caller gives up on the first event; the deadline for others. */
  int64_t first_event_left_ms;
  /* Time that the caller spent before this host received the request. */
  int64_t waited_before_ms;
  /* Expected times at an idle endpoint, and in a full one. */
  double idle_first_event_ms;
  double busy_first_event_ms;
  double run_ms; /* from dispatch to the end of the response */
};

enum admission_state
admission_get_state (const struct admission_request *request);

/* True if the request gets only slots that no request in time would take. */
bool admission_takes_spare_slots (const struct admission_request *request);

/* Below 0 if a is to be tried before b, above 0 if after it. */
int admission_compare (const struct admission_request *a,
                       const struct admission_request *b);

/* The capacity that a request finds. */
struct admission_outlook
{
  bool is_full;      /* no endpoint takes the request now */
  unsigned slots;    /* of all endpoints that could take it; 0 = unknown */
  unsigned hosts;    /* that share them */
  unsigned ahead;    /* late requests of this host that are served first */
  double late_share; /* of the hosts that have late requests */
};

/* Shares of occupied slots over which fewer and fewer of them are admitted. */
struct admission_range
admission_get_range (const struct admission_request *request,
                     const struct admission_outlook *outlook);

enum admission_action
{
  ADMISSION_SEND,
  ADMISSION_WAIT,
  ADMISSION_REFUSE,
};

struct admission_decision
{
  enum admission_action action;
  bool is_unreachable;    /* refused because the deadline cannot be met */
  int64_t wait_until_ms;  /* time of the next try */
  int64_t retry_after_ms; /* of a refusal */
};

/*
 * Decides about a request that has not been sent yet.  draw: uniform in [0, 1).
 * A refusal takes a place among the model's returns.
 */
struct admission_decision
admission_decide (struct admission_model *model,
                  const struct admission_request *request,
                  const struct admission_outlook *outlook,
                  double draw,
                  int64_t now_ms);

#endif
