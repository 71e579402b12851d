#ifndef CATALOG_CATALOG_H
#define CATALOG_CATALOG_H

#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/*
 * The operator's configuration as one immutable, counted table: routes,
 * services, customers and limits.  A request keeps the version it began with.
 */

#define CATALOG_NAME_SIZE 64
#define CATALOG_PATH_SIZE 192
#define CATALOG_TARGET_LIMIT 8
#define CATALOG_MODEL_LIMIT 8

/* What may be repeated. */
enum catalog_kind
{
  CATALOG_SAFE,   /* may run more than once */
  CATALOG_UNSAFE, /* runs at most once */
  CATALOG_STREAM, /* a stream of events; repeatable only if resumable */
};

struct catalog_target
{
  char service[CATALOG_NAME_SIZE];
  unsigned weight; /* share of the route's requests, against the others */
};

struct catalog_route
{
  char name[CATALOG_NAME_SIZE];
  char host[CATALOG_PATH_SIZE];
  char prefix[CATALOG_PATH_SIZE]; /* begins and ends with a slash */
  enum catalog_kind kind;
  int64_t timeout_ms;         /* longest time that a caller is kept waiting */
  int64_t objective_ms;       /* answer, or first event of a stream */
  int64_t pause_objective_ms; /* between two events of a stream */
  unsigned priority;          /* 0 = highest */
  unsigned attempts;          /* most endpoints that may get one request */
  bool open;                  /* needs no key */
  bool resumable;             /* a stream may go on at another endpoint */
  struct catalog_target targets[CATALOG_TARGET_LIMIT];
  unsigned target_count;

  /* Private to catalog. */
  char key[2 * CATALOG_PATH_SIZE]; /* host and prefix */
  UT_hash_handle hh;
};

/* A model whose replicas are groups of endpoints. */
struct catalog_model
{
  char name[CATALOG_NAME_SIZE];
  unsigned size;   /* endpoints per group */
  double share;    /* of the service's work */
  double pace;     /* factor on all of a group's times */
  int64_t load_ms; /* from the weight store, alone */
  int64_t warm_ms; /* from the endpoint's own copy */
};

struct catalog_service
{
  char name[CATALOG_NAME_SIZE];
  unsigned connection_limit; /* per endpoint, over all callers; 0 = none */
  unsigned slots;            /* requests of a group at once; 0 = see endpoint */
  struct catalog_model models[CATALOG_MODEL_LIMIT];
  unsigned model_count;       /* 0 = endpoints serve alone */
  double loads_per_s;         /* from the weight store, over all endpoints */
  unsigned loads_at_once;     /* more of them slow each other down */
  unsigned staged_limit;      /* models that an endpoint keeps a copy of */
  int64_t open_ms;            /* a ready group's time to start serving */
  double step_ms;             /* one token step of an empty batch */
  double step_per_request_ms; /* added by each request that is writing */
  double read_per_ms;         /* prompt tokens */
  unsigned tokens_per_event;
};

struct catalog_customer
{
  char name[CATALOG_NAME_SIZE];
  bool has_priority;
  unsigned priority; /* goes before a route's */
};

struct catalog_key
{
  char *text;
  unsigned customer; /* index */
  UT_hash_handle hh;
};

struct catalog_limits
{
  int64_t header_bytes;
  int64_t body_bytes;
  int64_t header_timeout_ms;
  int64_t idle_timeout_ms;
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
  bool needs_keys; /* requests carry a key unless their route is open */

  /* Private to catalog. */
  struct catalog_route *route_index;
  struct catalog_key *keys;
  unsigned references;
};

/* With one reference and room for the counts; NULL without memory. */
struct catalog *
catalog_new (unsigned routes, unsigned services, unsigned customers);
struct catalog *catalog_ref (struct catalog *catalog);
void catalog_unref (struct catalog *catalog);

/* Indexes routes[index]; of two with one host and prefix the first holds. */
void catalog_index_route (struct catalog *catalog, unsigned index);
enum result
catalog_add_key (struct catalog *catalog, const char *key, unsigned customer);

/*
 * The route of the host with the longest prefix of the path; NULL if none.
 * host may carry a port; path ends at a query.
 */
const struct catalog_route *catalog_find_route (const struct catalog *catalog,
                                                const char *host,
                                                const char *path);

/* The customer that holds the key; NULL if none does. */
const struct catalog_customer *catalog_find_key (const struct catalog *catalog,
                                                 const char *key);

const struct catalog_service *
catalog_find_service (const struct catalog *catalog, const char *name);

/* The target of a request by weight; draw is uniform over 64 bits. */
const char *catalog_pick_target (const struct catalog_route *route,
                                 uint64_t draw);

/* The model of this name; NULL if the service has none such. */
const struct catalog_model *
catalog_find_model (const struct catalog_service *service, const char *name);

/* True if a request of this route may run more than once. */
bool catalog_is_repeatable (const struct catalog_route *route);

#endif
