#ifndef GROUP_FIXTURE_H
#define GROUP_FIXTURE_H

/*
 * Sheets, hosts and simulated engines for the tests, fuzzers and measurements
 * of package group.  Aborts on a lack of memory.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "plan.h"
#include "sheet.h"

static inline void *
fixture_grow_array (void *array, size_t count, size_t size)
{
  char *grown = realloc (array, (count + 1) * size);

  if (grown == NULL)
    abort ();
  memset (grown + count * size, 0, size);
  return grown;
}

/* Appends names separated by ';' to the list; "" and "*" append none. */
static inline void
fixture_append_names (struct sheet_list *list, const char *names)
{
  if (names == NULL || strcmp (names, "*") == 0)
    return;
  while (*names != '\0')
    {
      size_t length = strcspn (names, ";");

      list->names = fixture_grow_array (list->names, list->count,
                                        sizeof list->names[0]);
      snprintf (list->names[list->count++], SHEET_NAME_SIZE, "%.*s",
                (int)length, names);
      names += length;
      if (*names == ';')
        names++;
    }
}

static inline void
fixture_clear_list (struct sheet_list *list)
{
  free (list->names);
  list->names = NULL;
  list->count = 0;
}

static inline struct sheet_group *
fixture_add_spec (struct sheet *sheet,
                  const char *name,
                  unsigned span,
                  unsigned count,
                  const char *data_centres,
                  const char *domains,
                  const char *hosts,
                  const char *version)
{
  struct sheet_group *spec;

  sheet->number++;
  sheet->groups = fixture_grow_array (sheet->groups, sheet->group_count,
                                      sizeof *sheet->groups);
  spec = &sheet->groups[sheet->group_count++];
  snprintf (spec->name, sizeof spec->name, "%s", name);
  snprintf (spec->model, sizeof spec->model, "model");
  snprintf (spec->version, sizeof spec->version, "%s", version);
  spec->span = span;
  spec->count = count;
  fixture_append_names (&spec->data_centres, data_centres);
  fixture_append_names (&spec->domains, domains);
  fixture_append_names (&spec->hosts, hosts);
  return spec;
}

static inline struct fleet_host *
fixture_add_host (struct fleet *fleet,
                  const char *id,
                  const char *data_centre,
                  const char *domain)
{
  struct fleet_host *host = fleet_add_host (fleet, id);

  if (host == NULL)
    abort ();
  snprintf (host->data_centre, sizeof host->data_centre, "%s", data_centre);
  snprintf (host->domain, sizeof host->domain, "%s", domain);
  host->listed = true;
  host->checks_fence = true;
  host->accelerators = 8;
  return host;
}

/* Simulates the engine on a host as the design page describes it. */
struct engine
{
  struct fleet_attestation attestation; /* seen_ms is not used */
  bool up;
  int64_t ready_ms;            /* end of the load in progress */
  uint64_t highest_seen_fence; /* of the orders received */
  char weights[4][2 * FLEET_NAME_SIZE];
  unsigned next_weight_slot;
  unsigned boots;
};

static inline void
engine_boot (struct engine *engine, const char *host)
{
  memset (&engine->attestation, 0, sizeof engine->attestation);
  snprintf (engine->attestation.boot_id, sizeof engine->attestation.boot_id,
            "%.40s/%u", host, engine->boots++);
  engine->attestation.state = FLEET_ENGINE_IDLE;
  engine->attestation.slots = 8;
  engine->up = true;
}

static inline bool
engine_has_weights (const struct engine *engine,
                    const struct fleet_group *group)
{
  char text[2 * FLEET_NAME_SIZE];

  snprintf (text, sizeof text, "%s %s", group->model, group->version);
  for (unsigned i = 0; i < 4; i++)
    if (strcmp (engine->weights[i], text) == 0)
      return true;
  return false;
}

static inline enum result
engine_handle_order (struct engine *engine,
                     bool checks_fence,
                     const struct plan_order *order,
                     int64_t now_ms,
                     int64_t load_ms,
                     int64_t warm_load_ms)
{
  struct fleet_attestation *attestation = &engine->attestation;
  const struct fleet_group *group = &order->group;

  if (!engine->up)
    return RESULT_ENDPOINT_CONNECT;
  if (checks_fence && order->fence < engine->highest_seen_fence)
    return RESULT_ORDER_FENCED;
  if (order->fence > engine->highest_seen_fence)
    engine->highest_seen_fence = order->fence;
  attestation->fence = order->fence;
  if (order->op == PLAN_RELEASE)
    {
      attestation->group[0] = '\0';
      attestation->generation = 0;
      attestation->model[0] = '\0'; /* an aborted load leaves no weights */
      attestation->version[0] = '\0';
      attestation->state = FLEET_ENGINE_IDLE;
      return RESULT_OK;
    }
  snprintf (attestation->group, sizeof attestation->group, "%s", group->id);
  snprintf (attestation->model, sizeof attestation->model, "%s", group->model);
  snprintf (attestation->version, sizeof attestation->version, "%s",
            group->version);
  snprintf (attestation->adapters, sizeof attestation->adapters, "%s",
            group->adapters);
  snprintf (attestation->role, sizeof attestation->role, "%s", group->role);
  attestation->generation = group->generation;
  attestation->rank = order->rank;
  attestation->span = group->span;
  if (order->op != PLAN_LOAD)
    return RESULT_OK;
  attestation->state = FLEET_ENGINE_LOADING;
  engine->ready_ms
      = now_ms + (engine_has_weights (engine, group) ? warm_load_ms : load_ms);
  return RESULT_OK;
}

static inline void
engine_tick (struct engine *engine, int64_t now_ms)
{
  struct fleet_attestation *attestation = &engine->attestation;
  char text[2 * FLEET_NAME_SIZE];

  if (attestation->state != FLEET_ENGINE_LOADING || now_ms < engine->ready_ms)
    return;
  attestation->state
      = attestation->group[0] != '\0' ? FLEET_ENGINE_READY : FLEET_ENGINE_IDLE;
  snprintf (text, sizeof text, "%s %s", attestation->model,
            attestation->version);
  for (unsigned i = 0; i < 4; i++)
    if (strcmp (engine->weights[i], text) == 0)
      return;
  snprintf (engine->weights[engine->next_weight_slot],
            sizeof engine->weights[engine->next_weight_slot], "%s", text);
  engine->next_weight_slot = (engine->next_weight_slot + 1) % 4;
}

static inline void
engine_attest (const struct engine *engine,
               struct fleet_host *host,
               int64_t now_ms)
{
  host->attested = engine->attestation;
  host->attested.seen_ms = now_ms;
}

/* Applies a written assignment to the fleet as a daemon does. */
static inline enum result
fixture_apply_assignment (struct fleet *fleet,
                          const char *data_centre,
                          const struct fleet *assignment)
{
  json_t *json = fleet_assignment_to_json (assignment, data_centre);
  enum result result;

  if (json == NULL)
    abort ();
  result = fleet_apply_assignment (fleet, data_centre, json);
  json_decref (json);
  return result;
}

#endif
