#ifndef CATALOG_CATALOG_CHECK_H
#define CATALOG_CATALOG_CHECK_H

#include "catalog.h"
#include "endpoints.h"

/*
 * Checks of a configuration before it is put in force: entries that can never
 * match, and limits that contradict each other.  Neither I/O nor a clock.
 */

enum catalog_part
{
  CATALOG_ROUTE,
  CATALOG_SERVICE,
  CATALOG_CUSTOMER,
};

enum catalog_fault
{
  CATALOG_NEVER_MATCHES,
  CATALOG_CONTRADICTION,
};

struct catalog_finding
{
  enum catalog_fault fault;
  enum catalog_part part;
  unsigned index; /* of the route, service or customer in the catalog */
  /* Valid during the call of report. */
  const char *found;
  const char *allowed;
};

/*
 * Checks what the configuration alone decides.
 *
 * Passes every finding to report, in the order of the entries.  Returns
 * RESULT_NO_MEMORY, after some findings or none, if memory is short.
 */
enum result catalog_check (
    const struct catalog *catalog,
    void (*report) (void *context, const struct catalog_finding *finding),
    void *context);

/* Checks the services against the endpoints that exist. */
enum result catalog_check_endpoints (
    const struct catalog *catalog,
    const struct endpoint_report *endpoints,
    size_t endpoint_count,
    void (*report) (void *context, const struct catalog_finding *finding),
    void *context);

#endif
