#ifndef ROUTE_ADMISSION_H
#define ROUTE_ADMISSION_H

#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <uthash.h>

/*
 * Admission control of one entry host.
 *
 * Requests wait in one queue per target (a model or a service), customer and
 * priority.  Customers of a target are served by deficit round robin over
 * their weights (Shreedhar and Varghese, "Efficient Fair Queuing Using
 * Deficit Round Robin", 1996); waiting raises a request's priority.  Queues
 * are bounded, and a request whose expected wait exceeds its deadline is
 * refused at once.  Memory of entries is the caller's; customers and targets
 * are allocated on first use.
 */

#define ADMISSION_NAME_SIZE 64

enum admission_priority
{
  ADMISSION_LOW,
  ADMISSION_NORMAL,
  ADMISSION_HIGH,
  ADMISSION_PRIORITIES,
};

struct admission_limits
{
  size_t queue_per_customer; /* entries per customer and target */
  size_t queue_total;        /* entries over all customers */
  int ageing_ms;             /* waiting this long raises priority by one */
};

struct admission_customer; /* private */
struct admission_target;   /* private */

/* One request; intrusive, memory of the caller. */
struct admission_entry
{
  char customer[ADMISSION_NAME_SIZE];
  char target[ADMISSION_NAME_SIZE]; /* "model/NAME" or "service/NAME" */
  enum admission_priority priority;
  unsigned cost;       /* expected work, e.g. tokens; at least 1 */
  int64_t deadline_ms; /* absolute, same clock as now_ms */

  /* Private to admission. */
  int64_t queued_ms;
  int64_t admitted_ms;
  bool queued;
  bool admitted;
  struct admission_customer *owner;
  struct admission_target *at;
  TAILQ_ENTRY (admission_entry) link;
};

struct admission
{
  struct admission_limits limits;
  struct admission_target *targets;     /* uthash by name */
  struct admission_customer *customers; /* uthash by name */
  size_t queued;                        /* over all targets */
};

void admission_init (struct admission *admission,
                     const struct admission_limits *limits);
void admission_finish (struct admission *admission);

/*
 * Concurrent requests that this entry host may have running at a target: its
 * share of the data centre's slots, from shares.h.
 */
enum result admission_set_slots (struct admission *admission,
                                 const char *target,
                                 unsigned slots);

/*
 * The customer's weight, requests per second (0 = no limit) and concurrent
 * requests (0 = no limit) on this entry host.
 */
enum result admission_set_customer (struct admission *admission,
                                    const char *customer,
                                    unsigned weight,
                                    double rate,
                                    unsigned in_flight);

/*
 * Queues the entry (RESULT_OK) or refuses it: RATE_LIMITED, QUEUE_FULL,
 * DEADLINE_UNREACHABLE, NO_CAPACITY (the target has no slots anywhere) or
 * NO_MEMORY.  A refusal sets *retry_after_ms (0 = a retry does not help).
 */
enum result admission_submit (struct admission *admission,
                              struct admission_entry *entry,
                              int64_t now_ms,
                              int64_t *retry_after_ms);

/*
 * The next entry to dispatch, or NULL.  Call until NULL after each submit,
 * release or tick.  The slot is taken until admission_release.
 */
struct admission_entry *admission_next (struct admission *admission,
                                        int64_t now_ms);

/*
 * The next queued entry that cannot meet its deadline any more, or NULL; it
 * is out of the queue and its caller is to be told DEADLINE_UNREACHABLE.
 */
struct admission_entry *admission_next_expired (struct admission *admission,
                                                int64_t now_ms);

/* Ends an admitted entry, or takes a queued one out (caller gone). */
void admission_release (struct admission *admission,
                        struct admission_entry *entry,
                        int64_t now_ms);

/* Expected wait of a new entry at the target, ms. */
int64_t admission_expected_wait_ms (const struct admission *admission,
                                    const char *target,
                                    int64_t now_ms);

/* Running plus queued entries of a target, for the shares told to peers. */
unsigned admission_demand (const struct admission *admission,
                           const char *target);

/* Running plus queued entries of a customer, over all targets. */
unsigned admission_customer_demand (const struct admission *admission,
                                    const char *customer_name);

#endif
