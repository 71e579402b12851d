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
 * One run of the soak: the real entry hosts as processes, and around them the
 * platform, the endpoints and the callers as stand-ins in this process.
 */

#define WORLD_SITES 512
#define WORLD_DATA_CENTRES 2
#define WORLD_TEXT 256

/* An endpoint and the proxy that leads to it. */
struct site
{
  struct standin_endpoint *endpoint;
  struct proxy proxy;
  bool replaced; /* another site has taken its place, or will */
};

struct world_options
{
  const char *binary;    /* waxwinglinkd */
  const char *directory; /* for settings and logs */
  const char *log_level; /* of the hosts */
  unsigned hosts;        /* of each data centre */
  unsigned callers;
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
  struct site sites[WORLD_SITES];
  unsigned site_count;
  struct rng rng;
  FILE *events; /* what was done when */
  int64_t started_ms;
  int64_t now_ms;
};

extern const char *const world_data_centres[WORLD_DATA_CENTRES];

bool world_init (struct world *world, const struct world_options *options);
void world_finish (struct world *world);

/* Runs everything for so long, or until done says so. */
void world_run (struct world *world,
                int64_t for_ms,
                bool (*done) (void *context),
                void (*tick) (void *context),
                void *context);

/* A line on what is done to the world. */
void world_note (struct world *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Another endpoint like this one, under a new id and address. */
void world_replace (struct world *world, struct site *site);

/* True if each model is served in each data centre. */
bool world_serves (struct world *world);

#endif
