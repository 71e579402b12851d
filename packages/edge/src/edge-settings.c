#include "edge-settings.h"

#define AT(field) offsetof (struct edge_settings, field)

/* clang-format off */
static const struct settings_key keys[] = {
  { "host", SETTINGS_STRING, "", NULL, 1, 63, "Name of this entry host, unique in the fleet.", AT (host) },
  { "data_centre", SETTINGS_STRING, "", NULL, 1, 63, "Data centre of this entry host.", AT (data_centre) },
  { "data_centres", SETTINGS_LIST, "", "", 0, 0, "All data centres of the deployment.", AT (data_centres) },
  { "log_level", SETTINGS_STRING, "", "info", 1, 63, "error, warning, notice, info or debug.", AT (log_level) },
  { "callers.listen", SETTINGS_STRING, "", NULL, 9, 63, "IP:PORT that callers reach.", AT (callers_listen) },
  { "readiness.listen", SETTINGS_STRING, "", NULL, 9, 63, "IP:PORT for the platform's readiness check, and /metrics.", AT (readiness_listen) },
  { "peers.address", SETTINGS_ADDRESS, "", NULL, 0, 0, "IP address for the other entry hosts.", AT (peers_address) },
  { "peers.port", SETTINGS_INTEGER, "", NULL, 1, 65535, "UDP port for the other entry hosts, the same on all.", AT (peers_port) },
  { "peers.seeds", SETTINGS_LIST, "", "", 0, 0, "IP:PORT of entry hosts that may be running; only the IP is used.", AT (peers_seeds) },
  { "processor.cores", SETTINGS_REAL, "", "1", 0.001, 1024, "Processor cores of this host; hosts with more cores are preferred as hubs.", AT (host_cores) },
  { "platform.store", SETTINGS_STRING, "", NULL, 9, 63, "IP:PORT of the platform's store.", AT (platform_store) },
  { "drain.limit_s", SETTINGS_REAL, "s", "8", 1, 3600, "Time after SIGTERM until the platform kills the process.", AT (drain_limit_s) },
  { "keys.revoke_ms", SETTINGS_INTEGER, "ms", "5000", 500, 3600000, "A revoked key is rejected within this time.", AT (keys_revoke_ms) },
  { "configuration.in_force_ms", SETTINGS_INTEGER, "ms", "2000", 500, 3600000, "A new configuration is in force on each host within this time.", AT (configuration_in_force_ms) },
  { "endpoints.leave_ms", SETTINGS_INTEGER, "ms", "2000", 500, 3600000, "Longest time for which a leaving endpoint still gets new requests.", AT (endpoints_leave_ms) },
  { "endpoints.back_off_limit_s", SETTINGS_INTEGER, "s", "3600", 1, 86400, "Longest back-off that an endpoint can request with Retry-After.", AT (endpoints_back_off_limit_s) },
  { "retry.ratio", SETTINGS_REAL, "", "0.1", 0, 10, "Retries per request for a service, over the whole fleet.", AT (retry_ratio) },
  { "retry.slack", SETTINGS_INTEGER, "", "0", 0, 1000000, "Extra retries of the fleet per service and window.", AT (retry_slack) },
  { "retry.window_s", SETTINGS_INTEGER, "s", "10", 1, 3600, "Window of the retry limits.", AT (retry_window_s) },
  { "evacuation.complete_ms", SETTINGS_INTEGER, "ms", "0", 0, 3600000, "Nothing reaches an evacuated data centre this long after the order; 0 = evacuations are not followed.", AT (evacuation_complete_ms) },
  { "cold.over", SETTINGS_REAL, "", "1", 0.01, 100, "Times the rate of its service that may reach a cold endpoint in any second.", AT (cold_over) },
  { "cold.slack", SETTINGS_REAL, "", "0", 0, 1000000, "Requests that may reach a cold endpoint in any second besides.", AT (cold_slack) },
  { "memory.limit_mb", SETTINGS_INTEGER, "MB", "112", 32, 1048576, "Memory of this host; the platform ends a process that exceeds it.", AT (memory_limit_mb) },
  { "memory.tight_share", SETTINGS_REAL, "", "0.5", 0.05, 0.95, "Share of memory.limit_mb held for clients above which large bodies wait unread.", AT (memory_tight_share) },
  { "memory.full_share", SETTINGS_REAL, "", "0.7", 0.05, 0.95, "Share of memory.limit_mb held for clients above which requests that did not run are ended.", AT (memory_full_share) },
};
/* clang-format on */

const struct settings_table edge_settings_table
    = { keys, sizeof keys / sizeof keys[0], sizeof (struct edge_settings) };

/* Time from a hub to a host: two polls of 300 ms, one of them lost. */
#define DISTRIBUTION_MS 800
/* Margin of key expiry (1.5 s), and of readiness ahead of it (1 s). */
#define KEYS_MARGIN_MS 2500
#define MIN_WAIT_MS 600
#define MAX_WAIT_MS 1200
/* Batching takes a tenth of endpoints.leave_ms. */
#define LEAVE_DIVISOR 10
#define MIN_ENTRIES_INTERVAL_MS 200
#define MAX_ENTRIES_INTERVAL_MS 600
/* Round trip of a call to the platform, and a tick. */
#define CALL_TIME_MS 400

static int
clamp_ms (int64_t value, int min_ms, int max_ms)
{
  if (value < min_ms)
    return min_ms;
  return value > max_ms ? max_ms : (int)value;
}

int
edge_configuration_wait_ms (const struct edge_settings *settings)
{
  int64_t force_ms = settings->configuration_in_force_ms - DISTRIBUTION_MS;
  int64_t keys_ms = settings->keys_revoke_ms - KEYS_MARGIN_MS - DISTRIBUTION_MS;

  return clamp_ms ((force_ms < keys_ms ? force_ms : keys_ms) / 2, MIN_WAIT_MS,
                   MAX_WAIT_MS);
}

int
edge_entries_interval_ms (const struct edge_settings *settings)
{
  return clamp_ms (settings->endpoints_leave_ms / LEAVE_DIVISOR,
                   MIN_ENTRIES_INTERVAL_MS, MAX_ENTRIES_INTERVAL_MS);
}

int64_t
edge_freshness_limit_ms (const struct edge_settings *settings)
{
  return edge_configuration_wait_ms (settings) + CALL_TIME_MS;
}
