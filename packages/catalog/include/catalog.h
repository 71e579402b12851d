#ifndef CATALOG_CATALOG_H
#define CATALOG_CATALOG_H

#include "result.h"
#include "text-pool.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The operator's configuration as one immutable, reference-counted table of
 * routes, services, customers and limits.  A request keeps a reference to the
 * version that was in force when it began.
 *
 * Texts have any length, "" if absent, and live as long as the catalog.
 */

/* Whether a request of a route may be sent to an endpoint again. */
enum catalog_kind
{
  CATALOG_SAFE,   /* may run more than once */
  CATALOG_UNSAFE, /* runs at most once */
  CATALOG_STREAM, /* event stream; may be repeated only if resumable */
};

struct catalog_target
{
  const char *service;
  unsigned weight; /* relative to the weights of the route's other targets */
};

struct catalog_route
{
  const char *name;
  const char *host;
  const char *prefix; /* begins and ends with a slash */
  enum catalog_kind kind;
  int64_t timeout_ms;   /* longest time that a caller waits */
  int64_t objective_ms; /* for the response, or the first event of a stream */
  int64_t event_gap_objective_ms; /* for the gap between two events */
  unsigned priority;              /* 0 = highest */
  unsigned attempts; /* most endpoints that one request is sent to */
  bool open;         /* callers need no key */
  bool resumable;    /* another endpoint can continue a stream */
  struct catalog_target *targets;
  unsigned target_count;

  /* Private to catalog. */
  uint64_t key; /* hash of host and prefix */
  struct catalog_route *next_same_key;
  UT_hash_handle hh;
};

/* A model whose replicas are groups of endpoints. */
struct catalog_model
{
  const char *name;
  unsigned size;          /* endpoints per group */
  double share;           /* share of the service's work */
  double time_factor;     /* multiplies all times of a group */
  int64_t load_ms;        /* load from the weight store, with no other load */
  int64_t cached_load_ms; /* load from the endpoint's weight cache */
};

struct catalog_service
{
  const char *name;
  unsigned connection_limit; /* per endpoint, over all callers; 0 = no limit */
  unsigned slots; /* concurrent requests of a group; 0 = see endpoint */
  struct catalog_model *models;
  unsigned model_count;        /* 0 = endpoints form no groups */
  double loads_per_s;          /* model loads that the weight store can serve */
  unsigned concurrent_loads;   /* more concurrent loads slow each other down */
  unsigned cached_model_limit; /* models in an endpoint's weight cache */
  int64_t open_ms;             /* time that a ready group takes to open */
  double step_ms;              /* one token step with an empty batch */
  double step_per_request_ms;  /* added by each request that generates tokens */
  double prefill_tokens_per_ms; /* prefill rate in prompt tokens per ms */
  unsigned tokens_per_event;
  /* Routes of different priorities lead to it; see catalog_index_priorities. */
  bool has_priorities;
  /* How long an endpoint is cold after a start; 0 = never. */
  int64_t cold_ms;
  double cold_requests_per_s; /* that a cold endpoint can take */

  /* Private to catalog. */
  unsigned first_priority; /* of the routes that lead to it */
  bool has_route;
  UT_hash_handle hh;
};

struct catalog_customer
{
  const char *name;
  bool has_priority;
  unsigned priority; /* overrides the route's priority */
};

struct catalog_key
{
  const char *text;
  unsigned customer; /* index into catalog.customers */
  UT_hash_handle hh;
};

struct catalog_limits
{
  int64_t header_bytes;      /* request line and header fields */
  int64_t body_bytes;        /* of a request */
  int64_t header_timeout_ms; /* for a request's head to arrive */
  int64_t idle_timeout_ms;   /* between requests, or while a body arrives */
};

struct catalog
{
  int64_t version;
  struct catalog_route *routes;
  unsigned route_count;
  struct catalog_service *services;
  unsigned service_count;
  struct catalog_customer *customers;
  unsigned customer_count;
  struct catalog_limits limits;
  bool needs_keys; /* requests need a key unless their route is open */

  struct text_pool texts; /* of all entries, and their arrays */

  /* Private to catalog. */
  struct catalog_route *route_index;
  size_t longest_prefix; /* of an indexed route, in bytes */
  struct catalog_service *service_index;
  struct catalog_key *keys;
  unsigned references;
};

/*
 * Creates a catalog with one reference and space for the given numbers of
 * entries.  NULL if memory is short.
 */
struct catalog *
catalog_new (unsigned routes, unsigned services, unsigned customers);
struct catalog *catalog_ref (struct catalog *catalog);
void catalog_unref (struct catalog *catalog);

/*
 * Indexes routes[index].  If two routes have the same host and prefix, the one
 * that was indexed first is used.
 */
void catalog_index_route (struct catalog *catalog, unsigned index);
enum result
catalog_add_key (struct catalog *catalog, const char *key, unsigned customer);

/*
 * Indexes the services and sets their has_priorities; call when all entries are
 * known.  If two services have the same name, the first one is used.
 */
void catalog_index_services (struct catalog *catalog);

/*
 * The route of the same host and prefix that is in use; NULL if there is none.
 */
const struct catalog_route *
catalog_find_same_route (const struct catalog *catalog,
                         const struct catalog_route *route);

/*
 * Returns the host's route with the longest matching prefix of the path; NULL
 * if none matches.  A port in host and a query in path are ignored.
 */
const struct catalog_route *catalog_find_route (const struct catalog *catalog,
                                                const char *host,
                                                const char *path);

/* Returns the customer that owns the key; NULL if there is none. */
const struct catalog_customer *catalog_find_key (const struct catalog *catalog,
                                                 const char *key);

const struct catalog_service *
catalog_find_service (const struct catalog *catalog, const char *name);

/* True if endpoints of some service are cold after a start. */
bool catalog_has_cold_times (const struct catalog *catalog);

/* Picks a target by weight; draw is a uniform random number of 64 bits. */
const char *catalog_pick_target (const struct catalog_route *route,
                                 uint64_t draw);

/* Returns the service's model of this name; NULL if there is none. */
const struct catalog_model *
catalog_find_model (const struct catalog_service *service, const char *name);

/* True if a request of this route may be executed more than once. */
bool catalog_is_repeatable (const struct catalog_route *route);

#endif
