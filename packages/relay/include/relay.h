#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include "admission-order.h"
#include "balance.h"
#include "caller-phase.h"
#include "catalog.h"
#include "counter.h"
#include "endpoints.h"
#include "histogram.h"
#include "http-connection.h"
#include "http-text.h"
#include "memory-account.h"
#include "result.h"
#include "retry-budget.h"
#include "strikes.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Forwards callers' requests to the endpoints of the services that the catalog
 * names, unchanged except for the fields that the system sets.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

/*
 * Names of header fields on the wire, for one platform.  The system sets the
 * fields marked "set" itself and drops them from callers' requests.
 */
struct relay_names
{
  const char *request_id;
  const char *deadline; /* ms that the caller will still wait; set */
  const char *model;
  /* "PROMPT,LIMIT": prompt tokens and the most response tokens. */
  const char *token_counts;
  const char *prompt_parts;
  /*
   * Reads the ids of the parts that other requests may share from the value of
   * prompt_parts.  Returns their number, at most limit.
   */
  unsigned (*decode_shared_parts) (const char *text,
                                   uint64_t *ids,
                                   unsigned limit);
  const char *last_event_id;     /* resume after this event */
  const char *seal;              /* the endpoint's signature of its response */
  const char *customer;          /* set */
  const char *expected_endpoint; /* set */
  const char *expected_version;  /* set */
  const char *urgency;           /* 0 = first; set */
  const char *not_run;           /* on a response: the request did not run */
  const char *leaving;           /* on a response: "1" if the endpoint drains */
  /* On a response: requests a second that it accepts from all hosts. */
  const char *request_limit;
  const char *endpoint_at_fault; /* on a refusal */
  const char *credential;        /* never forwarded */
  const char *credential_scheme;
};

/* Limits of freshness, retries and back-off. */
struct relay_limits
{
  /* Staleness of the catalog up to which keys are valid. */
  int64_t key_freshness_limit_ms;
  /* Staleness of the catalog up to which a missing route is denied. */
  int64_t route_freshness_limit_ms;
  double retry_ratio; /* retries per request for a service */
  double retry_slack; /* additional retries of this entry host per window */
  int64_t retry_window_ms;
  int64_t back_off_limit_ms; /* upper bound of an endpoint's back-off */
  /* Memory of the process, and watermarks as shares of it; 0 = default. */
  size_t memory_bytes;
  double memory_tight_share;
  double memory_full_share;
};

struct relay;
struct relay_request;

struct relay_caller
{
  struct relay *relay;
  struct http_connection connection;
  struct relay_request *request; /* being served; NULL between requests */
  struct caller_timer timer;
  bool close_after;       /* the connection ends with the current response */
  size_t unwritten_bytes; /* output at unwritten_since_ms */
  int64_t unwritten_since_ms; /* the client has read nothing since then */
  TAILQ_ENTRY (relay_caller) link;
};

enum relay_phase
{
  RELAY_READING, /* the body is arriving */
  RELAY_WAITING, /* for capacity at an endpoint */
  RELAY_RUNNING, /* at an endpoint */
};

/* One connection to an endpoint, idle or with an attempt. */
struct relay_upstream
{
  struct relay *relay;
  struct http_connection connection;
  struct endpoint_load *load;
  struct relay_request *request; /* NULL = idle or connecting */
  bool established;
  bool has_written;    /* bytes of the request were written */
  bool counts_prefill; /* the prompt counts in the endpoint load's prefill */
  bool is_sound;       /* it has written for long enough, see crash.c */
  bool head_seen;
  bool is_stream;
  bool must_continue; /* the next event has to be the caller's next one */
  bool is_foreign;    /* the current response belongs to an earlier request */
  bool was_reused;    /* the connection has carried other requests */
  size_t stray_bytes; /* bytes since the last event, or of another response */
  unsigned status;
  int64_t started_ms;      /* start of the attempt, or of the idle time */
  int64_t progress_ms;     /* time of the send, or of the last head or event */
  int64_t first_event_ms;  /* of this attempt; 0 = none yet */
  int64_t idle_timeout_ms; /* idle time after which it is closed */
  struct http_text head;   /* field lines for the caller */
  struct http_text body;   /* plain response, or incomplete event of a stream */
  size_t line_start;       /* offset of the incomplete line in the body */
  size_t scanned_to; /* offset up to which that line was searched for its end */
  int64_t unread_since_ms; /* its response waits for memory; 0 = it is read */
  struct memory_charge memory_charge;
  TAILQ_ENTRY (relay_upstream) link;
};

struct relay_request
{
  struct relay *relay;
  struct relay_caller *caller;
  struct catalog *catalog; /* holds a reference */
  const struct catalog_route *route;
  const struct catalog_service *service;
  const struct catalog_model *model;
  const struct catalog_customer *customer;
  enum relay_phase phase;
  const char *id; /* "" = none */
  bool is_head_method;
  int64_t arrived_ms;
  int64_t deadline_ms; /* the caller's, or the route's if that is earlier */
  int64_t objective_deadline_ms; /* end of the latency objective */
  int64_t waiting_since_ms;      /* start of the current wait for an endpoint */
  unsigned urgency;
  double admission_draw; /* see balance_request */
  /* Of the admission order, if the service has priorities. */
  struct admission_request admission;
  uint64_t admission_key; /* of its model in relay.admission */
  int64_t next_try_ms;    /* of a waiting request; 0 = whenever possible */
  /* Route timeout less the time that the caller says is left; 0 = none. */
  int64_t waited_before_ms;
  uint64_t limit_tokens; /* most response tokens; 0 = unknown */
  uint64_t prompt_tokens;
  uint64_t prompt_hash;                      /* of the list of all parts */
  uint64_t shared_parts[STRIKES_PART_LIMIT]; /* ids of parts of the prompt */
  unsigned shared_part_count;
  uint64_t checked_changes; /* strikes.changes when it was found sound */
  double expected_ms;       /* estimated time from dispatch to first event */
  struct http_text fields;  /* request line and field lines to forward */
  struct http_text body;
  size_t body_limit;        /* most bytes that the body may still come to */
  int64_t body_progress_ms; /* time of the last part of the body */
  int64_t unread_since_ms;  /* the body waits for memory; 0 = it is read */
  bool is_admitted;         /* memory is kept free for the rest of the body */
  struct memory_charge memory_charge;
  uint64_t last_event;
  bool has_last_event;
  struct relay_upstream *upstream;
  struct endpoint_load *tried[BALANCE_EXCLUDE_LIMIT]; /* referenced */
  unsigned tried_count;
  unsigned sends; /* number of times it was sent to an endpoint */
  unsigned runs;  /* sends after which it may have run */
  bool head_sent; /* the head of the response was sent to the caller */
  uint64_t events_sent;
  int64_t first_event_ms; /* time at which it was forwarded; 0 = not yet */
  int64_t last_event_ms;
  int64_t longest_event_gap_ms;      /* between two events */
  TAILQ_ENTRY (relay_request) link;  /* in relay.requests */
  TAILQ_ENTRY (relay_request) queue; /* in relay.waiting */
  bool is_queued;
};

TAILQ_HEAD (relay_request_list, relay_request);

/*
 * A request that an endpoint had begun to run when its connection ended.  It
 * gets a strike if it turns out that the endpoint has crashed.
 */
struct relay_suspect
{
  const char *id;             /* of the request */
  struct endpoint_load *load; /* referenced */
  int64_t started_ms;         /* incarnation of the endpoint */
  int64_t at_ms;              /* when the connection ended */
  int64_t next_probe_ms;
  struct strikes_traits traits;
  TAILQ_ENTRY (relay_suspect) link;
};

struct relay
{
  struct event_base *base;
  const struct relay_names *names;
  struct relay_limits limits;
  struct catalog *catalog; /* newest; NULL before the first */
  int64_t catalog_current_at_ms;
  /* A newer one had to be in force already: requests are not handled by it. */
  bool is_catalog_outdated;
  struct endpoints *endpoints;
  struct load_table loads;
  struct retry_budgets budgets;
  struct strikes strikes;
  struct admission_history admission;
  int64_t shed_logged_ms;  /* when a refusal was last logged */
  unsigned shed_since_log; /* refusals since then */
  TAILQ_HEAD (, relay_suspect) suspects;
  unsigned suspect_count;
  uint64_t enforced_changes; /* strikes.changes that relay_tick has seen */
  struct counter_set *counters;
  struct histogram first_event_ms; /* from arrival to a stream's first event */
  struct histogram response_ms;    /* from arrival to a complete response */
  struct evconnlistener *listener;
  TAILQ_HEAD (, relay_caller) callers;
  TAILQ_HEAD (, relay_upstream) idle;
  TAILQ_HEAD (, relay_upstream) busy;
  struct relay_request_list requests;
  struct relay_request_list waiting;
  struct memory_account memory;
  enum memory_level memory_level; /* as last logged */
  bool has_unread_bodies;         /* bodies wait for memory */
  int64_t memory_level_logged_ms;
  int64_t memory_end_logged_ms;
  unsigned caller_count;
  unsigned caller_limit;
  /* Called when requests at an endpoint are stalled. */
  void (*on_stall) (void *context, struct endpoint_load *load);
  void *stall_context;
  /*
   * Other entry hosts may serve requests that this one refuses because its
   * configuration is stale; set by the owner.
   */
  bool peers_can_serve;
  bool leaving;       /* shutting down: connections end after their response */
  int64_t ends_at_ms; /* when the process ends at the latest, if leaving */
  bool closing;       /* new requests are refused */
  bool has_received_request;
  int64_t last_expiry_ms; /* time of the last call of load_table_expire */
  int64_t now_ms;         /* time of the current callback */
};

enum result relay_init (struct relay *relay,
                        struct event_base *base,
                        const struct relay_names *names,
                        const struct relay_limits *limits,
                        struct endpoints *endpoints,
                        struct counter_set *counters,
                        const char *data_centre,
                        uint64_t seed);
void relay_finish (struct relay *relay);

/* RESULT_INVALID if the address cannot be bound. */
enum result
relay_listen (struct relay *relay, const char *address, uint16_t port);

/* Takes over a reference.  Versions older than the current are ignored. */
void relay_set_catalog (struct relay *relay, struct catalog *catalog);

/* Version of the catalog in force; 0 = none. */
int64_t relay_catalog_version (const struct relay *relay);

/* True if the configuration is fresh enough for keys, now and for_ms later. */
bool relay_has_fresh_keys (const struct relay *relay,
                           int64_t for_ms,
                           int64_t now_ms);

/* Closes the idle connections of a deleted endpoint and detaches its load. */
void relay_endpoint_removed (struct relay *relay, struct endpoint *endpoint);

/* Retries waiting requests; call when capacity may have become free. */
void relay_dispatch_waiting (struct relay *relay);

/* Another entry host reports stalled requests at this endpoint. */
void relay_note_peer_stall (struct relay *relay, struct endpoint_load *load);

/* Handles timeouts; call every RELAY_TICK_INTERVAL_MS. */
#define RELAY_TICK_INTERVAL_MS 25
void relay_tick (struct relay *relay, int64_t now_ms);

/*
 * Starts a shutdown: each connection ends after its next response.  A new
 * request that must not be repeated is refused as not run if its deadline is
 * after ends_at_ms, when the process ends.
 */
void relay_leave (struct relay *relay, int64_t ends_at_ms);

/*
 * Accepts no new connections and closes idle ones.  A request that still
 * arrives is refused as not run, because it might not finish before the process
 * ends.
 */
void relay_close (struct relay *relay);

/* Number of requests whose responses were not written completely yet. */
unsigned relay_in_flight (const struct relay *relay);

#endif
