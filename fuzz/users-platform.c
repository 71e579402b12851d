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
 * Decodes arbitrary text from the platform and arbitrary datagrams.  What is
 * accepted keeps the limits that the product relies on, and an accepted
 * datagram can be encoded again within the size limit.
 */

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
require (bool condition)
{
  if (!condition)
    abort ();
}

static void
check_endpoint (const json_t *json)
{
  struct endpoint_report report;

  if (users_platform.decode_endpoint (json, &report) != RESULT_OK)
    return;
  require (report.service[0] != '\0' || json != NULL);
  require (report.port != 0);
  require (report.cached_model_count <= ENDPOINTS_CACHED_MODEL_LIMIT);
  require (report.state <= ENDPOINT_GROUP_BROKEN);
  require ((report.group[0] == '\0') == (report.state == ENDPOINT_GROUP_NONE));
  require (report.started_ms >= 0);
}

static void
check_catalog (const json_t *json)
{
  struct catalog *catalog;

  if (users_platform.decode_catalog (json, &catalog) != RESULT_OK)
    return;
  for (unsigned i = 0; i < catalog->route_count; i++)
    {
      const struct catalog_route *route = &catalog->routes[i];

      require (route->target_count > 0);
      for (unsigned j = 0; j < route->target_count; j++)
        require (route->targets[j].service != NULL);
      require (catalog_find_same_route (catalog, route) != NULL);
    }
  for (unsigned i = 0; i < catalog->service_count; i++)
    for (unsigned j = 0; j < catalog->services[i].model_count; j++)
      require (catalog_find_model (&catalog->services[i],
                                   catalog->services[i].models[j].name)
               != NULL);
  catalog_unref (catalog);
}

static void
check_records (void *context, const struct records_response *response)
{
  (void)context;
  for (unsigned i = 0; i < response->count; i++)
    require (response->list[i].name != NULL);
}

static void
check_datagram (const uint8_t *data, size_t size)
{
  static struct gossip_message message;
  char encoded[GOSSIP_DATAGRAM_LIMIT_BYTES];
  size_t encoded_size;

  if (gossip_decode (&message, data, size) != RESULT_OK)
    return;
  encoded_size = gossip_encode (&message, encoded, sizeof encoded);
  require (encoded_size == 0 || encoded_size <= sizeof encoded);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  json_t *json;

  log_set_level (LOG_LEVEL_ERROR);
  check_datagram (data, size);
  json = json_loadb ((const char *)data, size, JSON_DECODE_ANY, NULL);
  check_endpoint (json);
  check_catalog (json);
  for (int verb = RECORDS_LIST; verb <= RECORDS_REPLACE; verb++)
    users_platform.records->decode ((enum records_verb)verb, 200,
                                    (const char *)data, size, check_records,
                                    NULL);
  json_decref (json);
  return 0;
}
