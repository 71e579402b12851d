#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "admission.h"
#include "budget.h"
#include "choose.h"
#include "claim.h"
#include "counter.h"
#include "fleet.h"
#include "histogram.h"
#include "result.h"
#include "sheet.h"
#include "strikes.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/*
 * HTTP interface for callers and client of the endpoints, on one event base.
 *
 * The gateway takes a request through the steps of docs/design.md section 5:
 * limits, customer, place, target, quarantine, admission, claim, dispatch,
 * relay, retry.  Times are milliseconds of CLOCK_BOOTTIME.
 */

struct gateway_limits
{
  size_t header_bytes;
  unsigned header_count;
  size_t body_bytes;
  size_t answer_bytes;        /* collected answers: unstreamed, services */
  size_t stream_buffer_bytes; /* unread by the caller; then reading pauses */
  int send_buffer_bytes;      /* SO_SNDBUF towards callers; 0 = system's */
  unsigned max_tokens;        /* largest max_tokens of one generation */
  int idle_ms;                /* caller's connection without progress */
  int slow_caller_ms;         /* stream without progress towards the caller */
  int default_deadline_ms;    /* without X-Deadline-Ms */
  int max_deadline_ms;
  int connect_ms;  /* connection to an endpoint */
  int stall_ms;    /* an endpoint that sends nothing for so long failed */
  int capacity_ms; /* a retry waits this long for a serving endpoint */
  int strike_ms;   /* a retry waits this long for the peers' receipts */
  int settle_ms;   /* a done call's reply waits this long for its record */
  int backoff_ms;  /* first retry delay, doubles, full jitter */
  int backoff_limit_ms;
  unsigned attempts; /* attempts of one request, the first included */
};

/* The defaults of the settings table. */
void gateway_limits_default (struct gateway_limits *limits);

/* One call that may run at most once. */
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
 * may call back before they return.  A handle is valid until settle's or
 * abandon's return, or until decided is called with another verdict than
 * GRANTED.
 */
struct gateway_claims
{
  void *context;
  /*
   * Starts a claim and calls decided exactly once; answer is borrowed and NULL
   * unless the verdict is CLAIM_VERDICT_REPLAY.  NULL if it was decided with
   * a refusal or replay already.
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
   * durable or was not for too long, unless forget is called first.  The write
   * is repeated until it succeeds.
   */
  void (*settle) (void *context,
                  struct gateway_claim *claim,
                  enum claim_state state,
                  const struct claim_answer *answer,
                  void (*settled) (void *context),
                  void *settled_context);
  /* The settled callback of this context is not wanted any more. */
  void (*forget) (void *context, void *settled_context);
  /*
   * The caller went away before the decision: decided is not called any more,
   * and a claim that is granted later is settled as not run.
   */
  void (*abandon) (void *context, struct gateway_claim *claim);
};

/* Strikes told to the peers of the data centre; members may be NULL. */
struct gateway_strike_hooks
{
  void *context;
  void (*broadcast) (void *context,
                     const char *fingerprint,
                     const char *host,
                     const char *boot_id);
  /* True when every live peer acknowledged the strikes of a fingerprint. */
  bool (*acknowledged) (void *context, const char *fingerprint);
  /* A struck request completed, so that its strikes were cleared here. */
  void (*cleared) (void *context, const char *fingerprint);
};

/* Borrowed; all must outlive the gateway.  sheet may change at any time. */
struct gateway_tables
{
  const struct sheet *sheet; /* NULL or number 0: none accepted yet */
  struct fleet *fleet;
  struct chooser *chooser;
  struct admission *admission; /* the owner sets slots and customers */
  struct strikes *strikes;
  struct counter_set *counters;
  const struct gateway_claims *claims; /* NULL: such calls are refused */
  const struct gateway_strike_hooks *strike_hooks; /* may be NULL */
  const char *data_centre;
};

enum gateway_phase
{
  GATEWAY_SERVING,
  GATEWAY_SETTLING, /* /healthz answers 503, requests are still served */
  GATEWAY_DRAINING, /* new requests are refused with DRAINING */
};

struct gateway_request; /* private, see internal.h */
struct gateway_customer;
struct endpoint_client;
struct evhttp;
TAILQ_HEAD (gateway_requests, gateway_request);

struct gateway
{
  struct event_base *base;
  struct gateway_tables tables;
  struct gateway_limits limits;
  enum gateway_phase phase;
  uint16_t port; /* of the listener */

  /* Private. */
  struct evhttp *http;
  struct endpoint_client *endpoints;
  struct event *pump;
  struct gateway_requests requests;
  size_t request_count;
  struct budget budget;
  struct gateway_customer *customers; /* uthash by name */
  struct rng rng;
  struct histogram first_token_ms;
  int64_t metrics_ms;
  bool pumping;
};

/* Zero or the number of a free port in port means any; see gateway->port. */
enum result gateway_init (struct gateway *gateway,
                          struct event_base *base,
                          const struct gateway_tables *tables,
                          const struct gateway_limits *limits,
                          const char *address,
                          uint16_t port,
                          uint64_t seed);

/* Cuts off what is still in flight: drain first. */
void gateway_finish (struct gateway *gateway);

/* The accepted sheet changed; it may be NULL. */
void gateway_set_sheet (struct gateway *gateway, const struct sheet *sheet);

/*
 * Run each tick (50 ms): deadlines, slow callers, stalled endpoints, queued
 * requests.  The owner runs choose_tick and strikes_tick.
 */
void gateway_tick (struct gateway *gateway, int64_t now_ms);

/* /healthz turns to 503; requests are still taken. */
void gateway_settle (struct gateway *gateway);

/* Takes nothing new from now on. */
void gateway_drain (struct gateway *gateway);

/* True when no request is in flight or queued. */
bool gateway_is_empty (const struct gateway *gateway);

#endif
