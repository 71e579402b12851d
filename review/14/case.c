/*
 * The operator adds a route to a service whose servers have long ids.
 */

#include "../rig-3/rig.h"

#include <stdio.h>
#include <stdlib.h>

/* Bounds of atlas-resurface. */
#define CONFIG_MS 2000
#define STABLE_MS 3000
#define REQUESTS 40
#define INTERVAL_MS 100
/* Rule CONFIG: so many requests, and served so much less often. */
#define REQUESTS_LIMIT 20
#define SHARE_DIVISOR 4

/* Ids of 64 hexadecimal digits, or of 32. */
static const char *const long_ids[] = {
  "4f1c9a7be2d05836a1c4e7f90b2d6385c7a9e1f30d5b7284960cfe1a3b5d7e92",
  "b8e2d4f60a1c3e5790b2d4f6a8c0e1f35d7b92846a0c1e3f5d7b9c2e4a6f8d01",
};
static const char *const short_ids[] = {
  "4f1c9a7be2d05836a1c4e7f90b2d6385",
  "b8e2d4f60a1c3e5790b2d4f6a8c0e1f3",
};

static struct rig_host host = { .name = "edge-a-1", .memory_mb = 182 };

static void
put_configuration (int version, bool has_later)
{
  char spec[2048];

  snprintf (spec, sizeof spec,
            "{\"version\":%d,\"routes\":[{\"name\":\"job-status\","
            "\"host\":\"school.example\",\"pathPrefix\":\"/jobs/\","
            "\"type\":\"safe\",\"timeoutMs\":1500,\"goalMs\":300,"
            "\"priority\":2,\"attempts\":2,\"public\":true,"
            "\"service\":\"status-app\"}%s],"
            "\"services\":[{\"name\":\"status-app\",\"maxConns\":192,"
            "\"healthPath\":\"/healthz\"},{\"name\":\"booking-app\","
            "\"maxConns\":192,\"healthPath\":\"/healthz\"}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
            version,
            has_later ? ",{\"name\":\"visit-book\",\"host\":\"school.example\","
                        "\"pathPrefix\":\"/visit/\",\"type\":\"unsafe\","
                        "\"timeoutMs\":1500,\"goalMs\":300,\"priority\":2,"
                        "\"attempts\":1,\"public\":true,"
                        "\"service\":\"booking-app\"}"
                      : "");
  rig_put ("config", "main", spec);
  rig_record ("operator: version %d is acknowledged%s", version,
              has_later ? ", with a route to booking-app" : "");
}

/* Sends one request; true if it is served. */
static bool
send_one (const char *path)
{
  const struct rig_request request = {
    .method = "POST",
    .path = path,
    .host = "school.example",
    .body_bytes = 600,
    .deadline_ms = 3000,
    .limit_ms = 3000,
  };
  struct rig_answer answer;

  rig_call (&host, &request, &answer);
  rig_record ("client: request %s for %s gets status %d from %s", answer.id,
              path, answer.status,
              answer.seal[0] != '\0' ? answer.seal : "the host");
  return answer.status == 200;
}

int
main (int argument_count, char **arguments)
{
  struct rig_server server = { .id = "i-7f3a91c2",
                               .service = "status-app",
                               .response_bytes = 800,
                               .delay_ms = 20 };
  unsigned first = 0;
  unsigned later = 0;

  if (argument_count != 2)
    return RIG_CANNOT_RUN;
  rig_begin (arguments[1]);
  put_configuration (5, false);
  rig_start_server (&server);
  if (!rig_start_host (&host))
    rig_end (RIG_CANNOT_RUN);
  server.service = "booking-app";
  for (unsigned i = 0; i < 2; i++)
    {
      server.id = rig_has_trouble () ? long_ids[i] : short_ids[i];
      rig_start_server (&server);
      rig_record ("server %s of booking-app is in the store", server.id);
    }
  rig_sleep_ms (1000);
  put_configuration (9, true);
  rig_sleep_ms (CONFIG_MS + STABLE_MS);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      first += send_one ("/jobs/17");
      later += send_one ("/visit/book");
      rig_sleep_ms (INTERVAL_MS);
    }
  rig_record ("%d requests on each route; served on the first: %u, on the one "
              "that was added: %u",
              REQUESTS, first, later);
  rig_end (REQUESTS >= REQUESTS_LIMIT && later * SHARE_DIVISOR < first
               ? RIG_BROKEN
               : RIG_HELD);
}
