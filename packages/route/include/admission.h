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
 * refused at once.  The caller owns the memory of entries; customers and
 * targets are allocated on first use.
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
  int ageing_ms;             /* wait that raises the priority by one step */
};

struct admission_customer; /* private */
struct admission_target;   /* private */

/* One request.  An intrusive list node; the caller owns its memory. */
struct admission_entry
{
  char customer[ADMISSION_NAME_SIZE];
  char target[ADMISSION_NAME_SIZE]; /* "model/NAME" or "service/NAME" */
  enum admission_priority priority;
  unsigned cost;       /* expected work, for example in tokens; at least 1 */
  int64_t deadline_ms; /* absolute, same clock as now_ms */

  /* Private to admission. */
  int64_t queued_ms;
  int64_t admitted_ms;
  bool queued;
  bool admitted;
  struct admission_customer *customer_state;
  struct admission_target *target_state;
  TAILQ_ENTRY (admission_entry) link;
};

struct admission
{
  struct admission_limits limits;
  struct admission_target *targets;     /* uthash by name */
  struct admission_customer *customers; /* uthash by name */
  size_t queued;                        /* entries queued at all targets */
};

void admission_init (struct admission *admission,
                     const struct admission_limits *limits);
void admission_finish (struct admission *admission);

/*
 * Sets how many concurrent requests this entry host may run at a target: its
 * share of the data centre's slots, see shares.h.
 */
enum result admission_set_slots (struct admission *admission,
                                 const char *target,
                                 unsigned slots);

/*
 * Sets the customer's weight and its limits on this entry host: requests per
 * second and concurrent requests (0 = no limit for both).
 */
enum result admission_set_customer (struct admission *admission,
                                    const char *customer,
                                    unsigned weight,
                                    double rate,
                                    unsigned in_flight_limit);

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
 * Returns the next entry to dispatch, or NULL.  Call it until it returns NULL
 * after each submit, release or tick.  The entry holds a slot until
 * admission_release.
 */
struct admission_entry *admission_next (struct admission *admission,
                                        int64_t now_ms);

/*
 * Removes and returns the next queued entry that can no longer meet its
 * deadline, or NULL; its caller must receive DEADLINE_UNREACHABLE.
 */
struct admission_entry *admission_next_expired (struct admission *admission,
                                                int64_t now_ms);

/* Ends an admitted entry, or dequeues one whose caller disconnected. */
void admission_release (struct admission *admission,
                        struct admission_entry *entry,
                        int64_t now_ms);

/* Expected wait of a new entry at the target, ms. */
int64_t admission_expected_wait_ms (const struct admission *admission,
                                    const char *target,
                                    int64_t now_ms);

/* Running plus queued entries of a target: the demand reported to peers. */
unsigned admission_demand (const struct admission *admission,
                           const char *target);

/* Running plus queued entries of a customer, over all targets. */
unsigned admission_customer_demand (const struct admission *admission,
                                    const char *customer_name);

#endif
