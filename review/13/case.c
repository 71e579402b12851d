/*
 * The operator adds two routes with one version.  The path prefix of one begins
 * with that of the other and is long.
 */

#include "../rig-3/rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LONG_PREFIX_BYTES 200
#define SHORT_PREFIX_BYTES 100
/* Bound of atlas-resurface. */
#define CONFIG_MS 2000
#define REQUESTS 20

static struct rig_host host = { .name = "edge-a-1", .memory_mb = 182 };

/* A prefix of this many bytes that begins and ends with a slash. */
static void
make_prefix (char *prefix, size_t size)
{
  static const char start[] = "/jobs/";

  memset (prefix, 'p', size);
  memcpy (prefix, start, sizeof start - 1);
  for (size_t i = sizeof start + 10; i + 10 < size; i += 16)
    prefix[i] = '/';
  prefix[size - 1] = '/';
  prefix[size] = '\0';
}

static void
put_configuration (int version, const char *prefix)
{
  char routes[1024] = "";
  char spec[2048];

  if (prefix != NULL)
    snprintf (routes, sizeof routes,
              ",{\"name\":\"job-status\",\"host\":\"school.example\","
              "\"pathPrefix\":\"/jobs/\",\"type\":\"safe\","
              "\"timeoutMs\":1500,\"goalMs\":300,\"priority\":2,"
              "\"attempts\":2,\"public\":true,\"service\":\"status-app\"},"
              "{\"name\":\"visit-book\",\"host\":\"school.example\","
              "\"pathPrefix\":\"%s\",\"type\":\"unsafe\","
              "\"timeoutMs\":1500,\"goalMs\":300,\"priority\":2,"
              "\"attempts\":1,\"public\":true,\"service\":\"booking-app\"}",
              prefix);
  snprintf (spec, sizeof spec,
            "{\"version\":%d,\"routes\":[{\"name\":\"site\","
            "\"host\":\"school.example\",\"pathPrefix\":\"/site/\","
            "\"type\":\"safe\",\"timeoutMs\":1500,\"goalMs\":300,"
            "\"priority\":2,\"attempts\":2,\"public\":true,"
            "\"service\":\"status-app\"}%s],"
            "\"services\":[{\"name\":\"status-app\",\"maxConns\":192,"
            "\"healthPath\":\"/healthz\"},{\"name\":\"booking-app\","
            "\"maxConns\":192,\"healthPath\":\"/healthz\"}],"
            "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
            version, routes);
  rig_put ("config", "main", spec);
  rig_record ("operator: version %d is acknowledged%s%s", version,
              prefix != NULL ? ", with a route to booking-app at " : "",
              prefix != NULL ? prefix : "");
}

int
main (int argument_count, char **arguments)
{
  static const struct rig_server status = { .id = "i-status",
                                            .service = "status-app",
                                            .response_bytes = 800,
                                            .delay_ms = 20 };
  static const struct rig_server booking = { .id = "i-booking",
                                             .service = "booking-app",
                                             .response_bytes = 800,
                                             .delay_ms = 60 };
  char prefix[LONG_PREFIX_BYTES + 1];
  char path[LONG_PREFIX_BYTES + 16];
  struct rig_request request = {
    .method = "POST",
    .path = path,
    .host = "school.example",
    .body_bytes = 600,
    .deadline_ms = 3000,
    .limit_ms = 3000,
  };
  unsigned foreign;

  if (argument_count != 2)
    return RIG_CANNOT_RUN;
  rig_begin (arguments[1]);
  put_configuration (5, NULL);
  rig_start_server (&status);
  rig_start_server (&booking);
  if (!rig_start_host (&host))
    rig_end (RIG_CANNOT_RUN);
  rig_sleep_ms (500);
  make_prefix (prefix,
               rig_has_trouble () ? LONG_PREFIX_BYTES : SHORT_PREFIX_BYTES);
  put_configuration (9, prefix);
  rig_sleep_ms (CONFIG_MS + 500);
  snprintf (path, sizeof path, "%svisit", prefix);
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      struct rig_answer answer;

      rig_call (&host, &request, &answer);
      rig_record ("client: booking %s gets status %d from %s", answer.id,
                  answer.status, answer.seal[0] != '\0' ? answer.seal : "host");
    }
  foreign = rig_count_runs ("status-app");
  rig_record ("%d bookings sent; run by booking-app: %u, by status-app: %u",
              REQUESTS, rig_count_runs ("booking-app"), foreign);
  rig_end (foreign > 0 ? RIG_BROKEN : RIG_HELD);
}
