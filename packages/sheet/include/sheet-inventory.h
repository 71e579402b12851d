#ifndef SHEET_SHEET_INVENTORY_H
#define SHEET_SHEET_INVENTORY_H

#include "sheet.h"

/*
 * The hosts that a sheet is validated against.  A data centre or fabric domain
 * exists if the platform lists a host in it.
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

/*
 * Adds one host.  Returns RESULT_TOO_LARGE if a name does not fit and
 * RESULT_NO_MEMORY if memory is short.
 */
enum result sheet_inventory_add (struct sheet_inventory *inventory,
                                 const char *id,
                                 const char *data_centre,
                                 const char *domain,
                                 bool is_service);

/*
 * Adds the hosts of the platform's host list (GET /v1/hosts).  Hosts in state
 * "leaving" are added too, since the restart of a host must not make a sheet
 * invalid.  Returns RESULT_INVALID if the JSON is not a host list.
 */
enum result sheet_inventory_from_hosts (struct sheet_inventory *inventory,
                                        const json_t *json);

#endif
