#ifndef ROUTE_CHOOSE_H
#define ROUTE_CHOOSE_H

#include "fleet.h"
#include "result.h"
#include "rng.h"
#include "sheet.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Chooses the group or service endpoint for a request.
 *
 * Rendezvous hashing selects two candidates, one by the prompt's prefix and one
 * by the request's fingerprint.  The candidate with the lower expected wait is
 * chosen (Mitzenmacher, "The Power of Two Choices in Randomized Load
 * Balancing", 2001).  Identical requests have the same two candidates on
 * every entry host, so a request that crashes its endpoint reaches at most two.
 */

#define CHOOSE_EXCLUDE_LIMIT 4
#define CHOOSE_KEY_SIZE FLEET_NAME_SIZE

/* Statistics of this entry host on one group or service endpoint. */
struct choose_stats
{
  char key[CHOOSE_KEY_SIZE];      /* group id or host id */
  unsigned in_flight;             /* this entry host's running requests */
  unsigned in_flight_with_strike; /* running requests with a strike */
  double service_ms;              /* moving mean of the duration of a request */
  double token_ms;                /* moving mean of the time per token */
  unsigned consecutive_failures;
  int64_t breaker_open_until_ms; /* 0 = the circuit breaker is closed */
  int breaker_open_ms;           /* length of the present open period */
  bool probe_running;     /* the one call that a half-open breaker permits */
  int64_t last_served_ms; /* FLEET_NEVER = never */
  char spec[FLEET_NAME_SIZE]; /* of a group, when it last served */
  char model[FLEET_NAME_SIZE];
  char data_centre[FLEET_NAME_SIZE];
  uint64_t straggler_requests; /* choices in which it alone was a straggler */
  UT_hash_handle hh;
};

struct chooser
{
  struct choose_stats *stats; /* uthash by key */
  struct rng rng;
};

struct choose_request
{
  const char *customer; /* NULL: rows of the sheet are not checked */
  const char *model;    /* NULL for a service call */
  const char *service;  /* NULL for a generation */
  uint64_t prefix_hash; /* of the first 256 bytes of the prompt */
  const char *fingerprint;
  bool has_strike;   /* the request has a strike, see strikes.h */
  bool may_have_run; /* an earlier attempt may have reached an endpoint */
  const char *excluded[CHOOSE_EXCLUDE_LIMIT]; /* tried keys; NULL = unused */
};

struct choose_result
{
  char key[CHOOSE_KEY_SIZE];  /* group id, or host id of a service */
  char host[FLEET_NAME_SIZE]; /* host that receives the request */
  uint64_t generation;        /* 0 for a service */
  int64_t expected_wait_ms;
  /* The usable candidate that was not chosen, for explain; "" = none. */
  char rejected[CHOOSE_KEY_SIZE];
  int64_t rejected_wait_ms;
};

void chooser_init (struct chooser *chooser, uint64_t seed);
void chooser_finish (struct chooser *chooser);

/* RESULT_NO_CAPACITY if no endpoint may receive the request now. */
enum result choose_endpoint (struct chooser *chooser,
                             const struct fleet *fleet,
                             const struct sheet *sheet,
                             const char *data_centre,
                             const struct choose_request *request,
                             int64_t now_ms,
                             struct choose_result *result);

/* Outcome of an attempt.  Each choose_started needs one choose_finished. */
enum choose_end
{
  CHOOSE_END_SUCCESS,
  CHOOSE_END_FAILURE,   /* counts for the circuit breaker */
  CHOOSE_END_CANCELLED, /* does not affect the circuit breaker */
};
void choose_started (struct chooser *chooser, const char *key, int64_t now_ms);
void choose_finished (struct chooser *chooser,
                      const char *key,
                      enum choose_end end,
                      int64_t duration_ms,
                      unsigned tokens,
                      int64_t now_ms);

/*
 * Called in addition to choose_started and choose_finished for an attempt whose
 * request has a strike, also when it gets the strike during the attempt.  No
 * other request with a strike is sent to the endpoint until the attempt ends.
 */
void choose_started_with_strike (struct chooser *chooser, const char *key);
void choose_finished_with_strike (struct chooser *chooser, const char *key);

/* Called each tick: records which endpoints serve, frees stale statistics. */
void choose_tick (struct chooser *chooser,
                  const struct fleet *fleet,
                  int64_t now_ms);

/* Slots of the serving groups (or live endpoints) of a target. */
unsigned choose_total_slots (const struct fleet *fleet,
                             const struct sheet *sheet,
                             const char *data_centre,
                             const char *model,
                             const char *service,
                             int64_t now_ms);

#endif
