#ifndef SOAK_OPERATOR_H
#define SOAK_OPERATOR_H

#include "catalog.h"
#include "rng.h"
#include "standin-store.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * The operator: writes versions of the configuration to the store and decides
 * which versions may be in force for a request.
 */

#define OPERATOR_VERSION_LIMIT 512
#define OPERATOR_CUSTOMERS 3
#define OPERATOR_KEYS 2 /* of each customer */

#define ROUTE_HOST "soak.example"
#define MODEL_SERVICE "models"
#define PLAIN_SERVICE "plain"
#define OTHER_SERVICE "other"

/*
 * A new configuration is in force everywhere at most this long after its write
 * is acknowledged; a revoked key is refused everywhere after the second limit.
 * Both are from the platform's sheets.
 */
#define CONFIGURATION_LIMIT_MS 2000
#define REVOCATION_LIMIT_MS 5000

/* The service whose models run in groups; all versions contain it unchanged. */
extern struct catalog_service operator_models;

/* What the service of the models needs in a fleet of some size. */
struct operator_scale
{
  unsigned large_group_size;
  unsigned small_group_size;
  /* Loads from the weight store, in all data centres. */
  unsigned loads_per_s;
  unsigned concurrent_loads;
  int64_t load_ms;
  int64_t cached_load_ms;
  int64_t open_ms;
};

/* To be called before operator_init. */
void operator_scale_models (const struct operator_scale *scale);

struct operator_version
{
  struct catalog *catalog;
  int64_t written_ms; /* when the store accepted it */
};

struct operator
{
  struct standin_store *store;
  bool has_cold_times; /* in all versions */
  struct rng rng;
  struct operator_version versions[OPERATOR_VERSION_LIMIT];
  unsigned version_count;
  /* Content of the next version. */
  bool key_revoked[OPERATOR_CUSTOMERS][OPERATOR_KEYS];
  bool route_moved;           /* "/moved/" goes to OTHER_SERVICE */
  unsigned extra_route_count; /* number of additional routes */
  bool write_pending;         /* a change is not written yet */
  /* The data centre that is evacuated; NULL = none. */
  const char *evacuated;
  int64_t evacuated_ms; /* when the store accepted that */
  int64_t withdraw_ms;  /* when it ends */
};

/* Nothing reaches an evacuated data centre this long after the order. */
#define EVACUATION_LIMIT_MS 5000
/* Cold times of all services, and what may reach a cold endpoint in a second.
 */
#define COLD_MS 3000
#define COLD_PER_S 10
#define COLD_BOUND (COLD_PER_S * 3 / 2 + 5)

void operator_init (struct operator* operator,
                    struct standin_store * store,
                    uint64_t seed);
void operator_finish (struct operator* operator);

/* Writes the next version once the store accepts writes. */
void operator_tick (struct operator* operator, int64_t now_ms);

/* Each makes one change, which the next operator_tick writes. */
void operator_move_route (struct operator* operator);
/* Writes the newest configuration, also after the store was restored. */
void operator_rewrite (struct operator* operator);
void operator_change_extra_routes (struct operator* operator);
void operator_revoke_key (struct operator* operator);
void operator_restore_keys (struct operator* operator);

void
operator_format_key (char *text, size_t size, unsigned customer, unsigned key);

/* Evacuates a data centre until then, unless one is evacuated. */
void operator_evacuate (struct operator* operator,
                        const char * data_centre,
                        int64_t now_ms,
                        int64_t until_ms);
void operator_end_evacuation (struct operator* operator);

/* What operator_allows checks of a request. */
struct operator_request
{
  const char *target;
  const char *key;      /* API key; NULL = not checked */
  const char *customer; /* owner of the key; NULL = any */
  const char *service;  /* service that ran it; NULL = any */
};

/*
 * True if at least one version that may be in force allows the request.  A
 * version may be in force for a request that was sent at most bound_ms after
 * the next version was written.  Versions written after the request was sent
 * count too.
 */
bool operator_allows (const struct operator* operator,
                      const struct operator_request * request,
                      int64_t sent_ms,
                      int64_t bound_ms);

/* True if all versions that may be in force allow the request. */
bool operator_always_allows (const struct operator* operator,
                             const struct operator_request * request,
                             int64_t sent_ms,
                             int64_t bound_ms);

#endif
