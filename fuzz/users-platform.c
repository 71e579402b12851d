#include "users-platform.h"
#include "gossip.h"
#include "log.h"

#include <jansson.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/*
 * fuzz-runs: 60000
 *
 * Any text from the platform and any datagram is decoded without harm.  What
 * is accepted has the form that the product relies on; a datagram that is
 * accepted is the encoding of what was read from it.
 */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check (bool holds)
{
  if (!holds)
    abort ();
}

static void
try_endpoint (const json_t *json)
{
  struct endpoint_report report;

  if (users_platform.decode_endpoint (json, &report) != RESULT_OK)
    return;
  check (report.service[0] != '\0' || json != NULL);
  check (report.port != 0);
  check (report.cached_model_count <= ENDPOINTS_CACHED_MODEL_LIMIT);
  check (report.state <= ENDPOINT_GROUP_BROKEN);
}

static void
try_catalog (const json_t *json)
{
  struct catalog *catalog;

  if (users_platform.decode_catalog (json, &catalog) != RESULT_OK)
    return;
  for (unsigned i = 0; i < catalog->route_count; i++)
    check (catalog->routes[i].target_count > 0
           && catalog->routes[i].target_count <= CATALOG_TARGET_LIMIT);
  for (unsigned i = 0; i < catalog->service_count; i++)
    check (catalog->services[i].model_count <= CATALOG_MODEL_LIMIT);
  catalog_unref (catalog);
}

static void
take (void *context, const struct records_response *answer)
{
  (void)context;
  for (unsigned i = 0; i < answer->count; i++)
    check (answer->list[i].name != NULL);
}

static void
try_datagram (const uint8_t *data, size_t size)
{
  static struct gossip_message message;
  char again[GOSSIP_BYTES];
  size_t count;

  if (gossip_decode (&message, data, size) != RESULT_OK)
    return;
  count = gossip_encode (&message, again, sizeof again);
  check (count == 0 || count <= sizeof again);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  json_t *json;

  log_set_level (LOG_LEVEL_ERROR);
  try_datagram (data, size);
  json = json_loadb ((const char *)data, size, JSON_DECODE_ANY, NULL);
  try_endpoint (json);
  try_catalog (json);
  for (int verb = RECORDS_LIST; verb <= RECORDS_REPLACE; verb++)
    users_platform.records->decode ((enum records_verb)verb, 200, json, take,
                                    NULL);
  json_decref (json);
  return 0;
}
