#ifndef SOAK_OPERATOR_H
#define SOAK_OPERATOR_H

#include "catalog.h"
#include "rng.h"
#include "standin-store.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * The operator: writes versions of the configuration, and knows which of them
 * may be in force for a request.
 */

#define OPERATOR_VERSIONS 512
#define OPERATOR_CUSTOMERS 3
#define OPERATOR_KEYS 2 /* of each customer */

#define ROUTE_HOST "soak.example"
#define MODEL_SERVICE "models"
#define PLAIN_SERVICE "plain"
#define OTHER_SERVICE "other"

/* Bounds of the platform's sheets, in ms from the acknowledgement. */
#define CONFIGURATION_MS 2000
#define REVOKE_MS 5000

/* The service whose models run in groups, as each version names it. */
extern const struct catalog_service operator_models;

struct operator_version
{
  struct catalog *catalog;
  int64_t written_ms;
};

struct operator
{
  struct standin_store *store;
  struct rng rng;
  struct operator_version versions[OPERATOR_VERSIONS];
  unsigned count;
  /* What the next version says. */
  bool key_taken[OPERATOR_CUSTOMERS][OPERATOR_KEYS];
  bool moved;      /* the safe route goes to the other service */
  unsigned extras; /* routes that are added and dropped */
  bool waiting;    /* a change could not be written yet */
};

void operator_init (struct operator* operator,
                    struct standin_store * store,
                    uint64_t seed);
void operator_finish (struct operator* operator);

/* Writes the next version, once the store takes it. */
void operator_tick (struct operator* operator, int64_t now_ms);

/* Each changes one thing and has it written. */
void operator_move_route (struct operator* operator);
void operator_change_extras (struct operator* operator);
void operator_take_key (struct operator* operator);
void operator_give_keys_back (struct operator* operator);

void operator_key (char *text, size_t size, unsigned customer, unsigned key);

struct operator_asked
{
  const char *target;
  const char *key;      /* NULL = none is needed */
  const char *customer; /* of the key; NULL = any */
  const char *service;  /* that ran it; NULL = any */
};

/*
 * True if some version allows it that was not replaced for longer than
 * bound_ms when the request was sent.
 */
bool operator_allows (const struct operator* operator,
                      const struct operator_asked * asked,
                      int64_t sent_ms,
                      int64_t bound_ms);

/* True if each such version allows it, up to now. */
bool operator_always_allows (const struct operator* operator,
                             const struct operator_asked * asked,
                             int64_t sent_ms,
                             int64_t bound_ms);

#endif
