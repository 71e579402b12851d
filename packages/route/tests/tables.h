#ifndef ROUTE_TESTS_TABLES_H
#define ROUTE_TESTS_TABLES_H

/* Fleet and sheet tables for the tests of this package. */

#include "fleet.h"
#include "sheet.h"

#include <stdio.h>
#include <string.h>

#define TABLES_NOW_MS INT64_C (1000000)
#define TABLES_SPAN 2
#define TABLES_SLOTS 8

static inline void
tables_attest (struct fleet_host *host, int64_t now_ms)
{
  host->attested.seen_ms = now_ms;
}

/* Adds a serving group with the members ID-0 and ID-1. */
static inline struct fleet_group *
tables_add_group (struct fleet *fleet,
                  const char *id,
                  const char *spec,
                  const char *model,
                  const char *data_centre)
{
  struct fleet_group *group = fleet_add_group (fleet, id);

  snprintf (group->spec, sizeof group->spec, "%s", spec);
  snprintf (group->model, sizeof group->model, "%s", model);
  snprintf (group->data_centre, sizeof group->data_centre, "%s", data_centre);
  group->generation = 5;
  group->span = TABLES_SPAN;
  group->member_count = TABLES_SPAN;
  for (unsigned rank = 0; rank < TABLES_SPAN; rank++)
    {
      char name[FLEET_NAME_SIZE];
      struct fleet_host *host;

      snprintf (name, sizeof name, "%.60s-%u", id, rank);
      snprintf (group->members[rank], sizeof group->members[rank], "%s", name);
      host = fleet_add_host (fleet, name);
      snprintf (host->data_centre, sizeof host->data_centre, "%s", data_centre);
      host->listed = true;
      host->attested = (struct fleet_attestation){
        .generation = group->generation,
        .rank = rank,
        .span = group->span,
        .state = FLEET_ENGINE_READY,
        .slots = TABLES_SLOTS,
      };
      snprintf (host->attested.group, sizeof host->attested.group, "%s", id);
      tables_attest (host, TABLES_NOW_MS);
    }
  return group;
}

static inline struct fleet_host *
tables_member (struct fleet *fleet, const char *group, unsigned rank)
{
  return fleet_find_host (fleet,
                          fleet_find_group (fleet, group)->members[rank]);
}

static inline struct fleet_host *
tables_add_service_host (struct fleet *fleet,
                         const char *id,
                         const char *service,
                         const char *data_centre)
{
  struct fleet_host *host = fleet_add_host (fleet, id);

  snprintf (host->data_centre, sizeof host->data_centre, "%s", data_centre);
  snprintf (host->service, sizeof host->service, "%s", service);
  host->is_service = true;
  host->listed = true;
  host->attested.slots = TABLES_SLOTS;
  tables_attest (host, TABLES_NOW_MS);
  return host;
}

/* Renews the attestation of every host. */
static inline void
tables_attest_all (struct fleet *fleet, int64_t now_ms)
{
  for (struct fleet_host *host = fleet->hosts; host != NULL;
       host = host->hh.next)
    tables_attest (host, now_ms);
}

#define TABLES_LIST(array)                                                     \
  {                                                                            \
    .names = (array), .count = sizeof (array) / sizeof (array)[0]              \
  }

#endif
