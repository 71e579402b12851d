#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "admission.h"
#include "budget.h"
#include "choose.h"
#include "claim.h"
#include "counter.h"
#include "fleet.h"
#include "histogram.h"
#include "memory-account.h"
#include "result.h"
#include "sheet.h"
#include "strikes.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * HTTP server for callers and HTTP client of the endpoints, on one event base.
 *
 * The gateway processes a request in the steps of docs/design.md section 5:
 * limits, customer, place, target, quarantine, admission, claim, dispatch,
 * relay, retry.  Times are milliseconds of CLOCK_BOOTTIME.
 */

struct gateway_limits
{
  size_t header_bytes;
  unsigned header_count;
  size_t body_bytes;
  size_t response_bytes;      /* of a response that is not streamed */
  size_t stream_buffer_bytes; /* of a stream, not yet read by the caller */
  int send_buffer_bytes;      /* SO_SNDBUF towards callers; 0 = system's */
  unsigned max_tokens;        /* largest max_tokens of one generation */
  int caller_idle_timeout_ms; /* caller's connection without progress */
  int slow_caller_timeout_ms; /* caller that reads nothing of its reply */
  int default_deadline_ms;    /* for requests without X-Deadline-Ms */
  int max_deadline_ms;
  int connect_timeout_ms;    /* connecting to an endpoint */
  int stall_timeout_ms;      /* generation attempt without a new token */
  int capacity_timeout_ms;   /* wait of a retry for a serving endpoint */
  int strike_ack_timeout_ms; /* wait of a retry for acks of its strike */
  int settle_timeout_ms;     /* wait of a reply for the record of its claim */
  int first_retry_delay_ms;  /* first retry delay; doubles; with full jitter */
  int max_retry_delay_ms;    /* longest retry delay, before jitter */
  unsigned attempts;         /* attempts of one request, the first included */
  size_t memory_bytes;       /* limit of the process */
  double memory_tight_share; /* first watermark, as a share of the limit */
  double memory_full_share;  /* second watermark */
  /* Connections of callers; 0 = three quarters of the open file limit. */
  size_t max_connections;
};

/* Sets the defaults of the settings table. */
void gateway_limits_set_defaults (struct gateway_limits *limits);

/* A call that may run at most once. */
struct gateway_claim_request
{
  const char *customer;
  const char *service;
  const char *idempotency_key; /* "" if the caller sent none */
  const char *fingerprint;
  int64_t deadline_ms;
};

struct gateway_claim; /* defined by the implementation of the hooks */

/*
 * At-most-once execution, implemented over the claim table.  All functions
 * may call back before they return.  A handle is valid until settle or abandon
 * returns, or until decided is called with a verdict other than GRANTED.
 */
struct gateway_claim_hooks
{
  void *context;
  /*
   * Starts a claim and calls decided exactly once; answer is borrowed and NULL
   * unless the verdict is CLAIM_VERDICT_REPLAY.  If decided is called before
   * the return, the returned value is not used.
   */
  struct gateway_claim *(*begin) (
      void *context,
      const struct gateway_claim_request *request,
      void (*decided) (void *context,
                       struct gateway_claim *claim,
                       enum claim_verdict verdict,
                       enum result result,
                       const struct claim_answer *answer),
      void *decided_context);
  /*
   * Records how a granted call ended.  answer is copied; NULL unless the state
   * is CLAIM_DONE.  settled (may be NULL) is called once when the record is
   * durable or its wait timed out, unless cancel_settled is called first.  The
   * write is repeated until it succeeds.
   */
  void (*settle) (void *context,
                  struct gateway_claim *claim,
                  enum claim_state state,
                  const struct claim_answer *answer,
                  void (*settled) (void *context),
                  void *settled_context);
  /* Cancels the settled callback of this context. */
  void (*cancel_settled) (void *context, void *settled_context);
  /*
   * The caller disconnected before the decision: decided is not called any
   * more, and a claim that is granted later is settled as not run.
   */
  void (*abandon) (void *context, struct gateway_claim *claim);
};

/*
 * Reports strikes to the peers of the data centre; members may be NULL.  A
 * trait is a fingerprint or the id of a part of a prompt, see strikes.h.
 */
struct gateway_strike_hooks
{
  void *context;
  void (*broadcast) (void *context,
                     const char *trait,
                     const char *host,
                     const char *boot_id);
  /* True if every live peer acknowledged the strikes of the fingerprint. */
  bool (*acknowledged) (void *context, const char *fingerprint);
  /* A request was answered, so the strikes of this trait were cleared here. */
  void (*cleared) (void *context, const char *trait);
};

/* Borrowed; all must outlive the gateway.  sheet may change at any time. */
struct gateway_tables
{
  const struct sheet *sheet; /* NULL or number 0: no sheet accepted yet */
  struct fleet *fleet;
  struct chooser *chooser;
  struct admission *admission; /* the owner sets slots and customers */
  struct strikes *strikes;
  struct counter_set *counters;
  const struct gateway_claim_hooks
      *claim_hooks; /* NULL: refuses at-most-once calls */
  const struct gateway_strike_hooks *strike_hooks; /* may be NULL */
  const char *data_centre;
};

enum gateway_phase
{
  GATEWAY_SERVING,
  GATEWAY_SETTLING, /* /healthz returns 503, requests are still served */
  GATEWAY_DRAINING, /* new requests are refused with DRAINING */
};

struct gateway_request; /* private, see internal.h */
struct gateway_customer;
struct caller;
struct endpoint_client;
struct evconnlistener;
struct evhttp;
TAILQ_HEAD (gateway_requests, gateway_request);
TAILQ_HEAD (gateway_callers, caller);

struct gateway
{
  struct event_base *base;
  struct gateway_tables tables;
  struct gateway_limits limits;
  enum gateway_phase phase;
  bool is_starting; /* requests are refused with STARTING; set by the owner */
  uint16_t port;    /* of the listener */

  /* Private. */
  struct evhttp *http;
  struct evconnlistener *listener; /* of http */
  bool accepting_paused;           /* max_connections was reached */
  struct memory_account account;
  struct gateway_callers callers; /* connections, the newest first */
  struct caller *callers_by_http; /* uthash by evhttp_connection */
  size_t caller_count;
  struct event *check_event; /* runs callers_check */
  enum memory_level logged_level;
  int64_t level_log_ms;
  int64_t ended_log_ms;
  size_t ended_since_log;
  size_t ended_bytes_since_log;
  struct endpoint_client *endpoints;
  struct event *queue_event; /* runs admit_process_queue */
  struct gateway_requests requests;
  size_t request_count;
  struct budget budget;
  struct gateway_customer *customers; /* uthash by name */
  struct rng rng;
  struct histogram first_token_ms;
  int64_t metrics_ms;    /* when the summary was last computed */
  bool processing_queue; /* admit_process_queue is running */
};

/* Port 0 binds any free port; gateway->port holds the bound one. */
enum result gateway_init (struct gateway *gateway,
                          struct event_base *base,
                          const struct gateway_tables *tables,
                          const struct gateway_limits *limits,
                          const char *address,
                          uint16_t port,
                          uint64_t seed);

/* Ends requests in flight with DRAINING; drain first to let them complete. */
void gateway_finish (struct gateway *gateway);

/* Sets the accepted sheet; NULL means none. */
void gateway_set_sheet (struct gateway *gateway, const struct sheet *sheet);

/*
 * Run each tick (50 ms): deadlines, slow callers, stalled endpoints, queued
 * requests.  The owner runs choose_tick and strikes_tick.
 */
void gateway_tick (struct gateway *gateway, int64_t now_ms);

/* Makes /healthz return 503; requests are still accepted. */
void gateway_settle (struct gateway *gateway);

/* Refuses new requests from now on. */
void gateway_drain (struct gateway *gateway);

/* True when no request is in flight or queued. */
bool gateway_is_empty (const struct gateway *gateway);

#endif
