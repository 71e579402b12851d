#ifndef BALANCE_BALANCE_H
#define BALANCE_BALANCE_H

#include "admission-order.h"
#include "catalog.h"
#include "cold-limit.h"
#include "endpoints.h"
#include "evacuations.h"
#include "request-limit.h"
#include "result.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/*
 * Chooses the endpoint for a request from the load that this entry host and
 * its peers put on each endpoint.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

#define BALANCE_EXCLUDE_LIMIT 4

/*
 * Load and health of one endpoint: one that serves alone, or the head of a
 * group.
 */
struct endpoint_load
{
  const char *id;
  uint64_t hash;             /* hash_string of the id */
  struct endpoint *endpoint; /* NULL once its entry is deleted */
  unsigned running;          /* requests of this entry host */
  unsigned peer_running;     /* requests of the other entry hosts */
  uint64_t prefill_tokens;   /* unprocessed prompt tokens of own requests */
  /* Unprocessed prompt tokens of requests of the other entry hosts. */
  uint64_t peer_prefill_tokens;
  int64_t progress_ms;      /* last activity of a request of this entry host */
  int64_t peer_progress_ms; /* last activity that other entry hosts reported */
  int64_t avoid_until_ms;   /* gets no request before this time */
  /* A stall is reported to the other entry hosts until this time. */
  int64_t stall_reported_until_ms;
  double event_gap_ms;           /* moving mean of the time between events */
  int64_t event_gap_sampled_ms;  /* time of the last sample of event_gap_ms */
  uint64_t epoch;                /* group epoch that health and gap refer to */
  int64_t started_ms;            /* start of the incarnation that signalled */
  int64_t leaving_since_ms;      /* time of its drain signal; 0 = none */
  int64_t back_off_until_ms;     /* end of the back-off that it requested */
  int64_t peer_leaving_until_ms; /* other hosts report its drain until then */
  double failure_rate;           /* moving mean of failures, 0 to 1 */
  int64_t last_failure_ms;
  struct request_limit request_limit;
  struct cold_limit cold_limit;
  int64_t limit_logged_ms; /* when a request was last logged as over it */
  int64_t cold_logged_ms;  /* the same for the limit of a cold endpoint */
  uint64_t passed_over;    /* choice in which its limit excluded it */
  unsigned references;     /* connections and requests that point here */
  UT_hash_handle hh;
};

/* Reachability of another data centre; created by the first failure. */
struct remote_data_centre
{
  const char *data_centre;
  unsigned unreached_in_a_row; /* endpoints that did not respond */
  const struct endpoint_load *last_unreached; /* endpoint that failed last */
  int64_t last_unreached_ms;
  bool is_partitioned; /* gets no request until an endpoint is reached */
  int64_t next_probe_ms;
  UT_hash_handle hh;
};

/* The interval of cold-limit.h for the bound and the rate it was computed for.
 */
struct cold_interval
{
  struct cold_bound bound;
  double per_s;
  double interval_ms;
};

/* Loads of all endpoints and the reachability of other data centres. */
struct load_table
{
  struct endpoint_load *table;        /* uthash by id */
  struct remote_data_centre *remotes; /* uthash by data centre */
  struct rng rng;
  struct request_limit_fleet fleet;   /* as of the reported loads */
  struct cold_bound cold_bound;       /* set by the owner */
  struct cold_interval cold_interval; /* private to cold.c */
  uint64_t choices;                   /* number of calls of balance_choose */
  const char *data_centre;            /* data centre of this entry host */
  /* Set by the owner; NULL = there are none. */
  const struct evacuations *evacuations;
};

/* data_centre has to live as long as the table. */
void load_table_init (struct load_table *loads,
                      const char *data_centre,
                      uint64_t seed);
void load_table_finish (struct load_table *loads);

/* Finds or adds the load of an endpoint; NULL if memory is short. */
struct endpoint_load *load_table_get (struct load_table *loads,
                                      struct endpoint *endpoint);

/* Clears the loads that the other entry hosts reported. */
void load_table_clear_peers (struct load_table *loads);

struct endpoint_load *load_table_find_hash (const struct load_table *loads,
                                            uint64_t hash);

/*
 * Detaches the load from a deleted endpoint.  Frees it with its last reference,
 * unless a drain or back-off signal must be retained.
 */
void load_table_detach (struct load_table *loads, struct endpoint_load *load);
void endpoint_load_ref (struct endpoint_load *load);
void load_table_unref (struct load_table *loads, struct endpoint_load *load);

/* Frees detached loads whose signals have expired; call periodically. */
void load_table_expire (struct load_table *loads, int64_t now_ms);

struct balance_request
{
  const struct catalog_service *service;
  const struct catalog_model *model; /* NULL if endpoints serve alone */
  uint64_t prompt_tokens;
  /*
   * Uniform in [0, 1), the same at each try.  Nearly full groups admit only
   * requests with a low value; 0 is admitted first.
   */
  double admission_draw;
  bool has_range; /* false = ADMISSION_ALL_BELOW to ADMISSION_NONE_ABOVE */
  struct admission_range range;
  /*
   * An endpoint that serves alone gets no more requests than it has slots, and
   * one that is avoided after a failure counts as full.
   */
  bool waits_for_slot;
  int64_t objective_ms; /* latency objective, to the first event or response */
  int64_t remaining_ms; /* time left of the objective; negative = missed */
  const struct endpoint_load *excluded[BALANCE_EXCLUDE_LIMIT];
  unsigned excluded_count;
};

enum balance_verdict
{
  BALANCE_CHOSEN,
  BALANCE_FULL, /* no endpoint that serves it has capacity now */
  BALANCE_NONE, /* no available endpoint serves it */
};

struct balance_choice
{
  struct endpoint_load *load;
  double expected_ms; /* to the first event; 0 if endpoints serve alone */
  /* The last endpoint that its request limit excluded; NULL = none. */
  struct endpoint_load *at_limit;
  /* The last cold endpoint at which no request was due; NULL = none. */
  struct endpoint_load *cold;
  /*
   * Set with BALANCE_NONE if endpoints back off: the time until the first
   * endpoint accepts requests again, ms.  0 otherwise.
   */
  int64_t back_off_ms;
  unsigned slots; /* of the available candidates */
};

/*
 * Chooses the endpoint with the earliest expected response.  A request that can
 * still meet its objective goes only to an endpoint that is expected to meet
 * it.  A late request goes only to an endpoint with spare time, so that it does
 * not make other requests late.
 */
enum balance_verdict balance_choose (struct load_table *loads,
                                     const struct endpoints *endpoints,
                                     const struct balance_request *request,
                                     int64_t now_ms,
                                     struct balance_choice *choice);

/*
 * Expected time to the first event at an idle group, ms; 0 for services whose
 * endpoints serve alone.
 */
double balance_min_first_event_ms (const struct balance_request *request);

/* The same at a group with one free slot and no prompts to process. */
double balance_busy_first_event_ms (const struct balance_request *request);

/*
 * Expected time to the last event at a group with one free slot, ms; 0 for
 * services whose endpoints serve alone.
 */
double balance_run_ms (const struct balance_request *request, double events);

/* Number of requests that an endpoint of the service runs at once. */
unsigned balance_slots (const struct catalog_service *service,
                        const struct endpoint *endpoint);

/* Outcomes of an attempt, and the gap between two events of its stream. */
void balance_note_event_gap (struct endpoint_load *load,
                             int64_t event_gap_ms,
                             int64_t now_ms);
void balance_note_success (struct endpoint_load *load);
void balance_note_failure (struct endpoint_load *load, int64_t now_ms);

/*
 * The endpoint did not respond at all.  If several endpoints of another data
 * centre in a row do not respond, that data centre is taken to be partitioned:
 * it gets no request until one of its endpoints was reached.
 */
void balance_note_unreached (struct load_table *loads,
                             const struct endpoint_load *load,
                             int64_t now_ms);

/* The endpoint responded, so its data centre is reachable. */
void balance_note_reached (struct load_table *loads,
                           const struct endpoint_load *load);

/*
 * Returns an endpoint of a partitioned data centre that is to be probed now,
 * without a request; NULL if no probe is due.
 */
struct endpoint_load *balance_next_probe (struct load_table *loads,
                                          const struct endpoints *endpoints,
                                          int64_t now_ms);

/* True if nothing may be sent to the endpoint's data centre. */
bool balance_is_evacuated (const struct load_table *loads,
                           const struct endpoint *endpoint);

/*
 * How long the endpoint is still cold, ms; 0 = it is not, or the service has no
 * cold time.  After an evacuation it counts as cold unless it says otherwise.
 */
int64_t balance_cold_left_ms (const struct load_table *loads,
                              const struct catalog_service *service,
                              const struct endpoint *endpoint,
                              int64_t now_ms);

/* Sends the endpoint no request until the given time. */
void balance_avoid (struct endpoint_load *load, int64_t until_ms);

/*
 * Records a drain or back-off signal from a response of the endpoint.  Signals
 * hold until it restarts, whatever its platform entry says.
 */
void balance_note_leaving (struct endpoint_load *load, int64_t now_ms);
void balance_note_back_off (struct endpoint_load *load, int64_t until_ms);

/* Records a drain that another entry host reports, valid until until_ms. */
void balance_note_peer_leaving (struct endpoint_load *load, int64_t until_ms);

/* True if the endpoint signalled a drain to this entry host. */
bool balance_is_leaving (const struct endpoint_load *load);

#endif
