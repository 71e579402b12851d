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
 * Choice of the group or service endpoint that gets a request.
 *
 * Two candidates by rendezvous hash, one from the prompt's prefix and one from
 * the request's fingerprint; the one with the lower expected wait wins (two
 * choices: Mitzenmacher, "The Power of Two Choices in Randomized Load
 * Balancing", 2001).  Identical requests have the same two candidates on
 * every entry host, so that one that crashes its endpoint reaches at most two.
 */

#define CHOOSE_EXCLUDE_LIMIT 4
#define CHOOSE_KEY_SIZE FLEET_NAME_SIZE

/* Statistics of this entry host on one group or service endpoint. */
struct choose_stats
{
  char key[CHOOSE_KEY_SIZE]; /* group id or host id */
  unsigned in_flight;        /* own requests running there */
  unsigned struck_in_flight; /* those of them that have a strike */
  double service_ms;         /* moving mean of a request's time there */
  double token_ms;           /* moving mean of the time between tokens */
  unsigned failures_in_a_row;
  int64_t open_until_ms; /* circuit breaker; 0 = closed */
  int open_ms;           /* length of the present opening */
  bool trial_running;    /* the one call that a half-open breaker lets by */
  int64_t served_ms;     /* when it was last seen serving */
  char spec[FLEET_NAME_SIZE]; /* of a group, as it was when it last served */
  char model[FLEET_NAME_SIZE];
  char data_centre[FLEET_NAME_SIZE];
  uint64_t trickle; /* requests passed over while it is a straggler */
  UT_hash_handle hh;
};

struct chooser
{
  struct choose_stats *stats; /* uthash by key */
  struct rng rng;
};

struct choose_request
{
  const char *customer; /* may be NULL: no check against group rows */
  const char *model;    /* NULL for a service call */
  const char *service;  /* NULL for a generation */
  uint64_t prefix_hash; /* of the first 256 bytes of the prompt */
  const char *fingerprint;
  bool struck;       /* the request has a strike, see strikes.h */
  bool may_have_run; /* an earlier attempt may have reached an endpoint */
  const char *excluded[CHOOSE_EXCLUDE_LIMIT]; /* keys tried; NULL = none */
};

struct choose_result
{
  char key[CHOOSE_KEY_SIZE];  /* group id, or host id of a service */
  char host[FLEET_NAME_SIZE]; /* endpoint that takes the request */
  uint64_t generation;        /* 0 for a service */
  int64_t expected_wait_ms;
  /* For explain: the candidate that lost, "" if there was only one. */
  char rejected[CHOOSE_KEY_SIZE];
  int64_t rejected_wait_ms;
};

void chooser_init (struct chooser *chooser, uint64_t seed);
void chooser_finish (struct chooser *chooser);

/* RESULT_NO_CAPACITY if none may get the request now. */
enum result choose_endpoint (struct chooser *chooser,
                             const struct fleet *fleet,
                             const struct sheet *sheet,
                             const char *data_centre,
                             const struct choose_request *request,
                             int64_t now_ms,
                             struct choose_result *result);

/* Events of an attempt.  Each started ends with exactly one finished. */
enum choose_end
{
  CHOOSE_END_SUCCESS,
  CHOOSE_END_FAILURE,   /* counts for the circuit breaker */
  CHOOSE_END_CANCELLED, /* says nothing of the endpoint */
};
void choose_started (struct chooser *chooser, const char *key, int64_t now_ms);
void choose_finished (struct chooser *chooser,
                      const char *key,
                      enum choose_end end,
                      int64_t duration_ms,
                      unsigned tokens,
                      int64_t now_ms);

/*
 * Besides choose_started and choose_finished, for an attempt of a request that
 * has a strike: no other struck request is sent there meanwhile.  Also for an
 * attempt that runs when its request gets the strike.
 */
void choose_struck_started (struct chooser *chooser, const char *key);
void choose_struck_finished (struct chooser *chooser, const char *key);

/* Run each tick: notes which groups serve and forgets stale statistics. */
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
