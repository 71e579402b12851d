#ifndef SHEET_SHEET_INVENTORY_H
#define SHEET_SHEET_INVENTORY_H

#include "sheet.h"

/*
 * The places that exist, for the check of a sheet.  Data centres and fabric
 * domains are those in which the platform lists a host.
 */
struct sheet_inventory_host
{
  char id[SHEET_NAME_SIZE];
  char data_centre[SHEET_NAME_SIZE];
  char domain[SHEET_NAME_SIZE];
  bool is_service; /* runs a plain service and joins no group */
};

struct sheet_inventory
{
  struct sheet_inventory_host *hosts;
  size_t count;
};

void sheet_inventory_init (struct sheet_inventory *inventory);
void sheet_inventory_finish (struct sheet_inventory *inventory);

/* RESULT_TOO_LARGE if a name does not fit, RESULT_NO_MEMORY. */
enum result sheet_inventory_add (struct sheet_inventory *inventory,
                                 const char *id,
                                 const char *data_centre,
                                 const char *domain,
                                 bool is_service);

/*
 * Adds the hosts of the platform's host list (GET /v1/hosts).  Hosts that are
 * leaving count too, since a restart must not make a sheet invalid.
 * RESULT_INVALID if the JSON has another form.
 */
enum result sheet_inventory_from_hosts (struct sheet_inventory *inventory,
                                        const json_t *json);

#endif
