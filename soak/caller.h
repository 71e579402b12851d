#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "host.h"
#include "ledger.h"
#include "operator.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Callers: each sends one request at a time, usually over a connection that it
 * keeps open, reads the response, and retries as the platform's callers do.
 */

#define CALLER_KIND_COUNT 3 /* values of enum catalog_kind */

struct callers;
struct caller_connection;

struct caller
{
  struct callers *callers;
  const char *data_centre;
  struct caller_connection *connection; /* NULL = none */
  struct ledger_attempt *attempt;       /* NULL = between requests */
  struct host *host;                    /* to which the connection leads */
  int64_t next_attempt_ms;              /* start of the next request or retry */
  int64_t disconnect_at_ms; /* disconnects during the attempt; 0 = does not */
  /* The current request, kept over all its attempts. */
  bool is_active;            /* a request is not finished */
  bool needs_new_connection; /* for the next attempt */
  bool has_disconnected;     /* on purpose, at disconnect_at_ms */
  unsigned attempt_count;    /* failed attempts of the request */
  enum catalog_kind kind;
  bool resumable;
  char target[LEDGER_TEXT_SIZE];
  char body[LEDGER_TEXT_SIZE];
  const char *model;    /* NULL = none */
  unsigned customer;    /* index, below OPERATOR_CUSTOMERS */
  unsigned key;         /* index, below OPERATOR_KEYS */
  uint64_t next_event;  /* first event of the stream that is still needed */
  uint64_t event_count; /* of the whole stream; UINT64_MAX = no stream */
};

/* Finished requests of one kind. */
struct caller_count
{
  uint64_t ended; /* excludes those that the caller disconnected */
  uint64_t served;
};

struct callers
{
  struct event_base *base;
  struct ledger *ledger;
  const struct operator* operator;
  struct host *hosts;
  unsigned host_count;
  struct caller *list;
  unsigned count;
  struct rng rng;
  bool stopped; /* no new requests, no further retries */
  int64_t now_ms;
  /* Since the last callers_reset_counts, by kind. */
  struct caller_count counts[CALLER_KIND_COUNT];
};

void callers_init (struct callers *callers,
                   struct event_base *base,
                   struct ledger *ledger,
                   const struct
                   operator*
                   operator,
                   struct host * hosts,
                   unsigned host_count,
                   const char *const *data_centres,
                   unsigned data_centre_count,
                   unsigned count,
                   uint64_t seed);
void callers_finish (struct callers *callers);
void callers_tick (struct callers *callers, int64_t now_ms);
void callers_reset_counts (struct callers *callers);
/* True if no attempt is open. */
bool callers_are_idle (const struct callers *callers);

#endif
