#ifndef FORMATION_FIXTURE_H
#define FORMATION_FIXTURE_H

#include "formation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Simulated endpoints, which execute orders at once unless a case says
 * otherwise, and the checks that apply to every order.
 */

#define FIXTURE_ORDER_LIMIT 4096
#define SERVICE "draft-llm"
/* Names in the tests are shorter. */
#define FIXTURE_NAME_SIZE 64

struct fixture_order
{
  enum formation_op op;
  char endpoint[FIXTURE_NAME_SIZE];
  char group[FIXTURE_NAME_SIZE];
  uint64_t epoch;
};

struct fixture
{
  struct catalog *catalog;
  struct endpoints endpoints;
  struct formation formation;
  struct fixture_order orders[FIXTURE_ORDER_LIMIT];
  unsigned order_count;
  unsigned joined_while_open; /* joins sent to members of a group with an open
                                 head */
  bool ignores_orders;        /* endpoints record orders and do nothing */
  bool restarted_before_join; /* joins reach an unreported incarnation */
  char silent[FIXTURE_NAME_SIZE]; /* endpoint that does not respond */
  uint64_t revision;
  int64_t now_ms;
};

static void
fixture_report (struct fixture *fixture,
                const char *id,
                const struct endpoint_report *report)
{
  endpoints_report (&fixture->endpoints, id, report, ++fixture->revision,
                    fixture->now_ms);
}

static bool
fixture_is_head_open (const struct fixture *fixture,
                      const char *group,
                      uint64_t epoch)
{
  for (const struct endpoint *endpoint = fixture->endpoints.table;
       endpoint != NULL; endpoint = endpoint->hh.next)
    if (endpoint->report.rank == 0 && endpoint->report.epoch == epoch
        && endpoint->report.state == ENDPOINT_GROUP_OPEN
        && strcmp (endpoint->report.group, group) == 0)
      return true;
  return false;
}

static void
fixture_join_group (struct fixture *fixture,
                    struct endpoint *endpoint,
                    const struct formation_order *order)
{
  struct endpoint_report report = endpoint->report;

  if (report.state != ENDPOINT_GROUP_NONE
      && strcmp (report.group, order->group) != 0
      && fixture_is_head_open (fixture, report.group, report.epoch))
    fixture->joined_while_open++;
  if (fixture->ignores_orders)
    return;
  report.group = order->group;
  report.model = order->model;
  report.cached_models[0] = order->model;
  report.cached_model_count = 1;
  report.epoch = order->epoch;
  report.state = ENDPOINT_GROUP_READY;
  if (fixture->restarted_before_join)
    report.started_ms = fixture->now_ms;
  for (unsigned rank = 0; rank < order->member_count; rank++)
    if (strcmp (order->members[rank], endpoint->id) == 0)
      report.rank = rank;
  fixture_report (fixture, endpoint->id, &report);
}

static void
fixture_execute_order (void *context, const struct formation_order *order)
{
  struct fixture *fixture = context;
  struct fixture_order *recorded
      = &fixture->orders[fixture->order_count++ % FIXTURE_ORDER_LIMIT];
  struct endpoint *endpoint
      = endpoints_find (&fixture->endpoints, order->endpoint);
  struct endpoint_report report;

  recorded->op = order->op;
  recorded->epoch = order->epoch;
  snprintf (recorded->endpoint, sizeof recorded->endpoint, "%s",
            order->endpoint);
  snprintf (recorded->group, sizeof recorded->group, "%s", order->group);
  if (endpoint == NULL)
    return;
  if (order->op == FORMATION_JOIN)
    {
      fixture_join_group (fixture, endpoint, order);
      return;
    }
  if (fixture->ignores_orders)
    return;
  report = endpoint->report;
  if (order->op == FORMATION_PREFETCH)
    {
      report.cached_models[0] = order->model;
      report.cached_model_count = 1;
    }
  else if (report.epoch != order->epoch)
    return;
  else if (order->op == FORMATION_OPEN)
    report.state = ENDPOINT_GROUP_OPEN;
  else if (order->op == FORMATION_LEAVE)
    {
      report.state = ENDPOINT_GROUP_NONE;
      report.group = "";
    }
  else
    report.state = ENDPOINT_GROUP_READY;
  fixture_report (fixture, endpoint->id, &report);
}

static void
fixture_phase_changed (void *context,
                       const struct formation_group *group,
                       const char *reason)
{
  (void)context;
  (void)group;
  (void)reason;
}

static bool
fixture_is_silent (void *context, const struct endpoint *endpoint)
{
  const struct fixture *fixture = context;

  return strcmp (fixture->silent, endpoint->id) == 0;
}

static void
fixture_tick (struct fixture *fixture, int64_t for_ms)
{
  const struct formation_hooks hooks
      = { fixture, fixture_execute_order, fixture_phase_changed,
          fixture_is_silent };
  int64_t until_ms = fixture->now_ms + for_ms;

  for (; fixture->now_ms < until_ms; fixture->now_ms += 25)
    {
      endpoints_tick (&fixture->endpoints, fixture->now_ms);
      formation_tick (&fixture->formation, &fixture->endpoints,
                      fixture->catalog, &hooks, fixture->now_ms);
    }
}

/* Adds an endpoint with the model in its weight cache; NULL = empty cache. */
static void
fixture_add_endpoint (struct fixture *fixture,
                      const char *domain,
                      const char *id,
                      const char *cached_model)
{
  struct endpoint_report report = { .port = 1, .slots = 26 };

  report.service = SERVICE;
  report.data_centre = "casa-a";
  report.domain = domain;
  if (cached_model != NULL)
    {
      report.cached_models[0] = cached_model;
      report.cached_model_count = 1;
    }
  fixture_report (fixture, id, &report);
}

/* Adds count endpoints, named "DOMAIN-N", to the domain. */
static void
fixture_add_endpoints (struct fixture *fixture,
                       const char *domain,
                       unsigned count,
                       const char *cached_model)
{
  for (unsigned i = 0; i < count; i++)
    {
      char id[FIXTURE_NAME_SIZE];

      snprintf (id, sizeof id, "%s-%u", domain, i);
      fixture_add_endpoint (fixture, domain, id, cached_model);
    }
}

static inline unsigned
fixture_count_open_groups (const struct fixture *fixture, const char *model)
{
  unsigned count = 0;

  for (const struct endpoint *endpoint = fixture->endpoints.table;
       endpoint != NULL; endpoint = endpoint->hh.next)
    if (endpoint->report.rank == 0
        && endpoint->report.state == ENDPOINT_GROUP_OPEN
        && strcmp (endpoint->report.model, model) == 0)
      count++;
  return count;
}

static unsigned
fixture_count_orders (const struct fixture *fixture, enum formation_op op)
{
  unsigned count = 0;

  for (unsigned i = 0; i < fixture->order_count; i++)
    if (fixture->orders[i].op == op)
      count++;
  return count;
}

/* Sets up model m0 with groups of four endpoints, and m1 with three. */
static void
fixture_init (struct fixture *fixture)
{
  static struct catalog_model models[]
      = { { "m0", 4, 0.57, 1.0, 16000, 1600 },
          { "m1", 3, 0.43, 0.6, 12000, 1100 } };
  struct formation_settings settings
      = { .data_centre = "casa-a", .data_centres = 3 };
  struct catalog_service *service;

  memset (fixture, 0, sizeof *fixture);
  fixture->now_ms = 1000;
  fixture->catalog = catalog_new (0, 1, 0);
  service = &fixture->catalog->services[0];
  service->name = SERVICE;
  service->models = models;
  service->model_count = 2;
  service->slots = 26;
  service->loads_per_s = 4.5;
  service->concurrent_loads = 6;
  fixture->catalog->service_count = 1;
  catalog_index_services (fixture->catalog);
  endpoints_init (&fixture->endpoints, NULL, NULL);
  formation_init (&fixture->formation, &settings);
  formation_set_fence (&fixture->formation, 1, fixture->now_ms);
}

static void
fixture_finish (struct fixture *fixture)
{
  formation_finish (&fixture->formation);
  endpoints_finish (&fixture->endpoints);
  catalog_unref (fixture->catalog);
}

#endif
