#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

#include "catalog.h"
#include "endpoints.h"
#include "result.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Choice of the endpoint that gets a request, from what this entry host and
 * its peers have running there.
 *
 * A lane is what is known of the work at one endpoint: an endpoint that serves
 * alone, or the head of a group.  Times are milliseconds on CLOCK_BOOTTIME.
 */

#define BALANCE_EXCLUDE_LIMIT 4

struct lane
{
  char id[CATALOG_NAME_SIZE];
  uint64_t hash;             /* hash_string of the id */
  struct endpoint *endpoint; /* NULL once it is gone */
  unsigned running;          /* own requests there */
  unsigned peer_running;     /* those of the other entry hosts */
  uint64_t reading;          /* prompt tokens of own requests not begun */
  uint64_t peer_reading;
  int64_t progress_ms;      /* last sign of life of an own request */
  int64_t peer_progress_ms; /* the same of the other entry hosts */
  int64_t avoid_ms;         /* gets no request before this moment */
  int64_t stalled_ms;       /* seen standing still; tell peers until then */
  double pause_ms;          /* moving mean of the time between events */
  int64_t pause_seen_ms;    /* when that was last fed */
  uint64_t epoch;           /* of the group that the rest is known of */
  int64_t started_ms;       /* start of the endpoint that signalled */
  int64_t leaving_ms;       /* when it signalled a drain; 0 = it has not */
  int64_t back_off_ms;      /* end of the back-off that it asked for */
  int64_t peer_leaving_ms;  /* other hosts report its drain until then */
  double failing;           /* moving mean of failures, 0 to 1 */
  int64_t failed_ms;        /* last failure */
  unsigned references;      /* connections and attempts that point here */
  UT_hash_handle hh;
};

/* What is known of the way to another data centre. */
struct lane_place
{
  char data_centre[CATALOG_NAME_SIZE];
  unsigned unreached;      /* endpoints there in a row that did not answer */
  const struct lane *last; /* of them */
  int64_t unreached_ms;
  bool cut;         /* gets no request until one of its endpoints was reached */
  int64_t probe_ms; /* next try to reach one */
  UT_hash_handle hh;
};

struct lanes
{
  struct lane *table;        /* uthash by id */
  struct lane_place *places; /* uthash by data centre */
  struct rng rng;
  int64_t age_ms; /* of what is known of the other hosts' requests */
  char data_centre[CATALOG_NAME_SIZE]; /* of this entry host */
};

void lanes_init (struct lanes *lanes, const char *data_centre, uint64_t seed);
void lanes_finish (struct lanes *lanes);

/* Finds or adds the lane of an endpoint; NULL without memory. */
struct lane *lanes_get (struct lanes *lanes, struct endpoint *endpoint);

/* What the other entry hosts run is to be told anew. */
void lanes_forget_peers (struct lanes *lanes);

struct lane *lanes_find_hash (const struct lanes *lanes, uint64_t hash);

/*
 * Detaches the lane from a deleted endpoint.  Frees it with its last reference,
 * unless a drain or back-off signal must be retained.
 */
void lanes_detach (struct lanes *lanes, struct lane *lane);
void lanes_ref (struct lane *lane);
void lanes_unref (struct lanes *lanes, struct lane *lane);

/* Frees detached lanes whose signals have expired; call periodically. */
void lanes_expire (struct lanes *lanes, int64_t now_ms);

struct balance_request
{
  const struct catalog_service *service;
  const struct catalog_model *model; /* NULL if endpoints serve alone */
  uint64_t prompt_tokens;
  double draw; /* uniform in [0, 1), the same at each try; 0 = goes first */
  int64_t objective_ms; /* of a new request, to the first event or answer */
  int64_t left_ms;      /* of it; negative = it is over */
  const struct lane *excluded[BALANCE_EXCLUDE_LIMIT];
  unsigned excluded_count;
};

enum balance_verdict
{
  BALANCE_CHOSEN,
  BALANCE_FULL, /* all that could serve it have no room now */
  BALANCE_NONE, /* nothing serves it */
};

struct balance_choice
{
  struct lane *lane;
  double expected_ms; /* to the first event; 0 if endpoints serve alone */
  /*
   * Set with BALANCE_NONE if endpoints back off: the time until the first of
   * them accepts requests again, ms.  0 otherwise.
   */
  int64_t back_off_ms;
};

/*
 * The endpoint that answers soonest.  A request that can meet its objective is
 * given only to an endpoint where it will; one that cannot, only to an
 * endpoint with so little to do that others are not made late by it.
 */
enum balance_verdict balance_choose (struct lanes *lanes,
                                     const struct endpoints *endpoints,
                                     const struct balance_request *request,
                                     int64_t now_ms,
                                     struct balance_choice *choice);

/*
 * Expected time to the first event at a group that does nothing else, ms; 0
 * for services whose endpoints serve alone.
 */
double balance_least_ms (const struct balance_request *request);

/* Requests that an endpoint of the service runs at once. */
unsigned balance_slots (const struct catalog_service *service,
                        const struct endpoint *endpoint);

/* What became of an attempt. */
void balance_note_pause (struct lane *lane, int64_t pause_ms, int64_t now_ms);
void balance_note_success (struct lane *lane);
void balance_note_failure (struct lane *lane, int64_t now_ms);

/*
 * The endpoint did not answer at all.  If several of another data centre do
 * not and none does, the way there is cut, and no request goes there until one
 * of its endpoints was reached.
 */
void balance_note_unreached (struct lanes *lanes,
                             const struct lane *lane,
                             int64_t now_ms);

/* An endpoint of its data centre answered. */
void balance_note_reached (struct lanes *lanes, const struct lane *lane);

/*
 * An endpoint of a cut data centre that is to be tried now, without a request;
 * NULL if none is due.
 */
struct lane *balance_probe (struct lanes *lanes,
                            const struct endpoints *endpoints,
                            int64_t now_ms);

/* The endpoint refused, or cannot be reached: avoided for this long. */
void balance_avoid (struct lane *lane, int64_t until_ms);

/*
 * Records a drain or back-off signal from a response of the endpoint.  Signals
 * hold until it restarts, whatever its entry on the platform says.
 */
void balance_note_leaving (struct lane *lane, int64_t now_ms);
void balance_note_back_off (struct lane *lane, int64_t until_ms);

/* Records a drain that another entry host reports, valid until until_ms. */
void balance_note_peer_leaving (struct lane *lane, int64_t until_ms);

/* True if the endpoint signalled a drain to this entry host. */
bool balance_is_leaving (const struct lane *lane);

#endif
