#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include "balance.h"
#include "catalog.h"
#include "counter.h"
#include "endpoints.h"
#include "histogram.h"
#include "http-connection.h"
#include "http-text.h"
#include "result.h"
#include "retry-budget.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * Forwards callers' requests to the endpoints of the services that the
 * catalog names, unchanged but for the fields that the system sets.
 *
 * Times are milliseconds on CLOCK_BOOTTIME.
 */

#define RELAY_ID_SIZE 64

/*
 * Names of header fields on the wire, for one platform.  Fields marked "set"
 * are the system's: what a caller sends under these names is dropped.
 */
struct relay_names
{
  const char *request_id;
  const char *deadline; /* ms that the caller still waits; set */
  const char *model;
  const char *token_counts;      /* "PROMPT,MOST-ANSWERED" */
  const char *last_event_id;     /* resume after this event */
  const char *seal;              /* the endpoint's signature of its answer */
  const char *customer;          /* set */
  const char *expected_endpoint; /* set */
  const char *expected_version;  /* set */
  const char *urgency;           /* 0 = first; set */
  const char *not_run;           /* on an answer: the request did not run */
  const char *leaving;           /* on an answer: "1" if the endpoint leaves */
  const char *endpoint_at_fault; /* on a refusal */
  const char *credential;        /* never passed on */
  const char *credential_scheme;
};

/* Where the catalog and the proof that it is current come from. */
struct relay_limits
{
  int64_t key_proof_ms; /* keys hold this long after the catalog was current */
  int64_t route_proof_ms; /* older than this, a missing route is not denied */
  double retry_ratio;     /* of the requests for a service */
  double retry_slack;     /* retries besides, per window, of this entry host */
  int64_t retry_window_ms;
  int64_t back_off_limit_ms; /* an endpoint is left alone no longer */
};

struct relay;
struct relay_request;

struct relay_caller
{
  struct relay *relay;
  struct http_connection connection;
  struct relay_request *request; /* being served; NULL between requests */
  int64_t since_ms; /* connected, last answered, or first byte of a request */
  bool reading;     /* a request has begun to arrive */
  bool close_after; /* the present answer is the last one */
  TAILQ_ENTRY (relay_caller) link;
};

enum relay_phase
{
  RELAY_READING, /* the body is arriving */
  RELAY_WAITING, /* for room at an endpoint */
  RELAY_RUNNING, /* at an endpoint */
};

/* One connection to an endpoint, idle or with an attempt. */
struct relay_upstream
{
  struct relay *relay;
  struct http_connection connection;
  struct lane *load;
  struct relay_request *request; /* NULL = idle or connecting */
  bool established;
  bool written; /* bytes of the request have left */
  bool reading; /* its prompt counts in the lane's reading */
  bool head_seen;
  bool is_stream;
  bool foreign;       /* the present answer belongs to an earlier request */
  bool reused;        /* carried other requests before */
  size_t stray_bytes; /* received since the last event, or of another answer */
  unsigned status;
  int64_t started_ms;  /* of the attempt, or of being idle */
  int64_t progress_ms; /* last head, event or, of a plain answer, bytes */
  int64_t idle_limit_ms;
  struct http_text head; /* field lines for the caller */
  struct http_text body; /* plain answer, or the unfinished event */
  size_t line;           /* offset of its unfinished line */
  size_t scanned;        /* bytes of it that hold no end of that line */
  TAILQ_ENTRY (relay_upstream) link;
};

struct relay_request
{
  struct relay *relay;
  struct relay_caller *caller;
  struct catalog *catalog; /* counted */
  const struct catalog_route *route;
  const struct catalog_service *service;
  const struct catalog_model *model;
  const struct catalog_customer *customer;
  enum relay_phase phase;
  char id[RELAY_ID_SIZE];
  bool is_head_method;
  int64_t arrived_ms;
  int64_t deadline_ms; /* the caller's, or the route's if that is earlier */
  int64_t objective_by_ms;
  int64_t waiting_since_ms; /* for an endpoint, for the first or next time */
  unsigned urgency;
  double draw; /* see balance_request */
  uint64_t prompt_tokens;
  double expected_ms; /* to the first event, when the endpoint was chosen */
  struct http_text fields; /* request line and field lines to pass on */
  struct http_text body;
  uint64_t last_event;
  bool has_last_event;
  struct relay_upstream *upstream;
  struct lane *tried[BALANCE_EXCLUDE_LIMIT]; /* referenced */
  unsigned tried_count;
  unsigned sends; /* to any endpoint */
  unsigned runs;  /* sends that may have run */
  bool head_sent; /* the caller has got the start of its answer */
  uint64_t events_sent;
  int64_t first_event_ms; /* when it was passed on; 0 = not yet */
  int64_t last_event_ms;
  int64_t longest_pause_ms;          /* between two events */
  TAILQ_ENTRY (relay_request) link;  /* all */
  TAILQ_ENTRY (relay_request) queue; /* waiting */
  bool queued;
};

TAILQ_HEAD (relay_request_list, relay_request);

struct relay
{
  struct event_base *base;
  const struct relay_names *names;
  struct relay_limits limits;
  struct catalog *catalog; /* newest; NULL before the first */
  int64_t catalog_proof_ms;
  struct endpoints *endpoints;
  struct lanes lanes;
  struct retry_budgets budgets;
  struct counter_set *counters;
  struct histogram first_event_ms;
  struct histogram answer_ms;
  struct evconnlistener *listener;
  TAILQ_HEAD (, relay_caller) callers;
  TAILQ_HEAD (, relay_upstream) idle;
  TAILQ_HEAD (, relay_upstream) busy;
  struct relay_request_list requests;
  struct relay_request_list waiting;
  size_t body_bytes;   /* of all requests held */
  size_t answer_bytes; /* of all plain answers and unfinished events held */
  unsigned caller_count;
  /* Requests at an endpoint stand still. */
  void (*stalled) (void *context, struct lane *load);
  void *stalled_context;
  /*
   * Other entry hosts may serve what this one cannot for want of a current
   * configuration; set by the owner.
   */
  bool others_serve;
  bool leaving; /* shutting down: connections end with their answer */
  bool closing; /* nothing new is taken any more */
  bool saw_request;
  int64_t expired_ms; /* last look for lanes that are not needed any more */
  int64_t now_ms;     /* of the present callback */
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

/* Takes over a reference.  Older versions than the present are ignored. */
void relay_set_catalog (struct relay *relay, struct catalog *catalog);

/* Version of the catalog in force; 0 = none. */
int64_t relay_catalog_version (const struct relay *relay);

/* True if the configuration vouches for keys now and for so long still. */
bool
relay_keys_hold (const struct relay *relay, int64_t for_ms, int64_t now_ms);

/* The endpoint is gone. */
void relay_endpoint_removed (struct relay *relay, struct endpoint *endpoint);

/* Room may have come free at an endpoint. */
void relay_dispatch_waiting (struct relay *relay);

/* Another entry host sees requests at this endpoint stand still. */
void relay_note_peer_stall (struct relay *relay, struct lane *load);

/* Time-outs; call every RELAY_TICK_MS. */
#define RELAY_TICK_MS 25
void relay_tick (struct relay *relay, int64_t now_ms);

/* Answers go on, idle connections are closed. */
void relay_leave (struct relay *relay);

/*
 * No new connections; idle ones are closed, and a request that still comes is
 * refused as not run: it could not be ended before the process is.
 */
void relay_close (struct relay *relay);

/* Requests whose answers have not left this host yet. */
unsigned relay_in_flight (const struct relay *relay);

#endif
