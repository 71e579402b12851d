#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include "caller.h"
#include "host.h"
#include "ledger.h"
#include "operator.h"
#include "proxy.h"
#include "rng.h"
#include "standin-endpoint.h"
#include "standin-store.h"

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * The environment of one soak run: real entry hosts as processes; the platform,
 * the endpoints and the callers as stand-ins in this process.
 */

#define WORLD_ENDPOINT_LIMIT 2048
#define WORLD_DATA_CENTRE_LIMIT 5
#define WORLD_PATH_SIZE 256
/* Kind of the store's objects that name the lease holders. */
#define WORLD_LEASE_KIND "waxwinglink-leases"

/* An endpoint and the proxy through which hosts reach it. */
struct proxied_endpoint
{
  struct standin_endpoint *standin;
  struct proxy proxy;
  /* Another one took its place: it is not drawn for faults any more. */
  bool replaced;
};

/* The size of the fleet; counts are per data centre unless said otherwise. */
struct world_shape
{
  const char *name;
  unsigned data_centres;
  unsigned domains; /* fabric domains, whose endpoints form groups */
  unsigned endpoints_per_domain;
  unsigned plain_endpoints; /* of PLAIN_SERVICE */
  unsigned other_endpoints; /* of OTHER_SERVICE */
  struct operator_scale scale;
  /* Faults of many hosts or endpoints at once are drawn unasked. */
  bool has_crowds;
  /* Unless they are chosen: */
  unsigned hosts;
  unsigned callers; /* in all data centres */
  int faults_s;     /* time with faults */
};

/* The shape of this name; NULL if there is none. */
const struct world_shape *world_find_shape (const char *name);

struct world_options
{
  const struct world_shape *shape;
  const char *binary;    /* waxwinglinkd */
  const char *directory; /* for settings and logs */
  const char *log_level; /* of the hosts' processes */
  unsigned hosts;        /* per data centre */
  unsigned callers;
  unsigned retry_slack;
  unsigned id_bytes;    /* ids of endpoints have as many at least */
  bool has_evacuations; /* hosts follow them */
  bool has_cold_times;  /* endpoints are cold after a restart */
  uint64_t seed;
};

struct world
{
  struct world_options options;
  struct event_base *base;
  struct standin_store store;
  struct standin_fleet fleet;
  struct operator operator;
  struct ledger ledger;
  struct callers callers;
  struct host *hosts;
  unsigned host_count;
  struct proxied_endpoint endpoints[WORLD_ENDPOINT_LIMIT];
  unsigned endpoint_count;
  struct rng rng;
  FILE *event_log;    /* faults and progress, with times */
  int64_t started_ms; /* on the clock of time_boot_ms, as now_ms */
  int64_t now_ms;
  int64_t longest_gap_ms; /* between two ticks */
};

extern const char *const world_data_centres[WORLD_DATA_CENTRE_LIMIT];

bool world_init (struct world *world, const struct world_options *options);
void world_finish (struct world *world);

/*
 * Runs everything for duration_ms, or until is_done returns true.  tick is
 * called after each step.  Either function may be NULL.
 */
void world_run (struct world *world,
                int64_t duration_ms,
                bool (*is_done) (void *context),
                void (*tick) (void *context),
                void *context);

/* Writes a line with the time since the start to the event log. */
void world_log_event (struct world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Adds an endpoint of the same kind under a new id and address. */
void world_replace_endpoint (struct world *world,
                             struct proxied_endpoint *endpoint);

/* True if a group serves each model in each data centre. */
bool world_serves_all_models (struct world *world);

#endif
