#include "rig.h"

static json_t *
make_route (const struct route *route)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b}",
                    "name", route->name, "host", "h.example", "pathPrefix",
                    route->prefix, "type", route->type, "timeoutMs",
                    route->timeout_ms, "goalMs", 300, "priority", 1, "service",
                    route->service, "attempts", 1, "public", route->is_public);
}

static json_t *
make_idle_route (unsigned index)
{
  char name[32];
  char prefix[32];

  snprintf (name, sizeof name, "r-%08u", index);
  snprintf (prefix, sizeof prefix, "/idle%05u/", index);
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s, s:i, s:b, s:b, s:b, s:i}",
      "name", name, "host", "ficu95.example", "pathPrefix", prefix, "type",
      "stream", "timeoutMs", 8000, "goalMs", 300, "priority", 1, "service",
      "app-old", "attempts", 2, "public", 0, "sticky", 1, "resumable", 1,
      "gapGoalMs", 300);
}

static json_t *
make_service (const char *name)
{
  return json_pack ("{s:s, s:s, s:i, s:s, s:b}", "name", name, "healthPath",
                    "/healthz", "maxConns", 192, "protocol", "h1", "tls", 0);
}

json_t *
config_make (int version,
             const struct route *routes,
             unsigned count,
             unsigned idle_routes)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < count; i++)
    json_array_append_new (list, make_route (&routes[i]));
  for (unsigned i = 0; i < idle_routes; i++)
    json_array_append_new (list, make_idle_route (i));
  return json_pack (
      "{s:i, s:o, s:[o, o], s:{s:i, s:i, s:i, s:i}, s:[{s:s, s:[s], s:i}]}",
      "version", version, "routes", list, "services", make_service ("app-old"),
      make_service ("app-new"), "limits", "maxHeaderBytes", 16384,
      "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000,
      "tenants", "name", "hule930", "apiKeys", "n2ctnfzs989anu6wsjnb",
      "priority", 1);
}
