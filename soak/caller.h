#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include "host.h"
#include "ledger.h"
#include "operator.h"
#include "rng.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Callers: each sends one request after the other over a connection that it
 * keeps as long as the host does, reads the answer, and retries as the
 * platform's callers do.
 */

#define CALLER_KINDS 3 /* of enum catalog_kind */

struct callers;
struct caller_connection;

struct caller
{
  struct callers *callers;
  const char *data_centre;
  struct caller_connection *connection; /* NULL = none */
  struct ledger_attempt *attempt;       /* NULL = between requests */
  struct host *host;                    /* of the connection */
  int64_t next_ms;  /* the next request, or retry, begins then */
  int64_t leave_ms; /* leaves in the middle of the request then; 0 = not */
  /* The request that is under way, over its attempts. */
  bool under_way;
  bool stay_away; /* the next attempt takes a new connection */
  bool left;      /* it left in the middle, of its own will */
  unsigned tries;
  enum catalog_kind kind;
  bool resumable;
  char target[LEDGER_TEXT];
  char body[LEDGER_TEXT];
  const char *model;
  unsigned customer;
  unsigned key;
  uint64_t next_event;
  uint64_t events;
};

struct caller_count
{
  uint64_t asked;
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
  bool stopped; /* no new requests */
  int64_t now_ms;
  /* Requests that ended since the last reset, by kind. */
  struct caller_count counts[CALLER_KINDS];
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
/* True if no request is under way. */
bool callers_are_idle (const struct callers *callers);

#endif
