#include "settings.h"

#define AT(field) offsetof (struct settings, field)

/* clang-format off */
static const struct settings_key keys[] = {
  { "host", SETTINGS_STRING, "", NULL, 1, 63, "Name of this entry host, unique in the fleet.", AT (host) },
  { "data_centre", SETTINGS_STRING, "", NULL, 1, 63, "Data centre of this entry host, as in the host list.", AT (data_centre) },
  { "log_level", SETTINGS_STRING, "", "info", 1, 63, "error, warning, notice, info or debug.", AT (log_level) },
  { "callers.address", SETTINGS_ADDRESS, "", NULL, 0, 0, "IP address that callers reach.", AT (callers_address) },
  { "callers.port", SETTINGS_INTEGER, "", NULL, 0, 65535, "Port for callers; 0 picks one and logs it.", AT (callers_port) },
  { "callers.max_body_bytes", SETTINGS_INTEGER, "bytes", "1048576", 1024, 67108864, "Largest request body.", AT (callers_max_body_bytes) },
  { "callers.max_header_bytes", SETTINGS_INTEGER, "bytes", "16384", 1024, 1048576, "Largest request line and headers.", AT (callers_max_header_bytes) },
  { "callers.max_headers", SETTINGS_INTEGER, "", "64", 8, 1024, "Largest number of headers.", AT (callers_max_headers) },
  { "callers.idle_timeout_ms", SETTINGS_INTEGER, "ms", "60000", 100, 3600000, "An idle connection is closed after this time.", AT (callers_idle_timeout_ms) },
  { "callers.stall_timeout_ms", SETTINGS_INTEGER, "ms", "30000", 100, 3600000, "A caller that reads nothing for this time is disconnected.", AT (callers_stall_timeout_ms) },
  { "callers.buffer_bytes", SETTINGS_INTEGER, "bytes", "262144", 4096, 67108864, "Limit of the bytes buffered for a slow caller.", AT (callers_buffer_bytes) },
  { "callers.default_deadline_ms", SETTINGS_INTEGER, "ms", "60000", 100, 3600000, "Deadline of a request that names none.", AT (callers_default_deadline_ms) },
  { "callers.max_deadline_ms", SETTINGS_INTEGER, "ms", "600000", 100, 86400000, "Longest deadline that a caller may request.", AT (callers_max_deadline_ms) },
  { "callers.max_connections", SETTINGS_INTEGER, "", "0", 0, 1000000, "Largest number of connections of callers; 0 is three quarters of the limit of open files.", AT (callers_max_connections) },
  { "admin.address", SETTINGS_ADDRESS, "", NULL, 0, 0, "IP address for operators: status, metrics, explain.", AT (admin_address) },
  { "admin.port", SETTINGS_INTEGER, "", NULL, 0, 65535, "Port for operators; 0 picks one and logs it.", AT (admin_port) },
  { "peers.address", SETTINGS_ADDRESS, "", NULL, 0, 0, "IP address for the other entry hosts, UDP and TCP.", AT (peers_address) },
  { "peers.port", SETTINGS_INTEGER, "", NULL, 0, 65535, "Port for the other entry hosts, UDP and TCP; 0 picks one and logs it.", AT (peers_port) },
  { "peers.seeds", SETTINGS_LIST, "", "", 0, 0, "ADDRESS:PORT of entry hosts to join through.", AT (peers_seeds) },
  { "peers.keys", SETTINGS_LIST, "", NULL, 0, 0, "ID:HEX keys of 16 bytes or more; the first signs, all verify.", AT (peers_keys) },
  { "platform.address", SETTINGS_ADDRESS, "", NULL, 0, 0, "IP address of the platform's object service.", AT (platform_address) },
  { "platform.port", SETTINGS_INTEGER, "", NULL, 1, 65535, "Port of the platform's object service.", AT (platform_port) },
  { "platform.timeout_ms", SETTINGS_INTEGER, "ms", "2000", 50, 60000, "A call without a response for this time fails.", AT (platform_timeout_ms) },
  { "platform.hosts_interval_ms", SETTINGS_INTEGER, "ms", "1000", 100, 60000, "Time between two reads of the host list by one reader.", AT (platform_hosts_interval_ms) },
  { "admission.queue_per_customer", SETTINGS_INTEGER, "", "256", 1, 100000, "Requests of one customer that may wait for one target.", AT (admission_queue_per_customer) },
  { "admission.queue_total", SETTINGS_INTEGER, "", "2048", 1, 1000000, "Requests that may wait in total.", AT (admission_queue_total) },
  { "admission.ageing_ms", SETTINGS_INTEGER, "ms", "2000", 10, 600000, "Waiting this long raises a request's priority by one.", AT (admission_ageing_ms) },
  { "groups.downtime_weight", SETTINGS_REAL, "", "1.0", 0, 1000, "Cost per second of downtime of a wanted group.", AT (groups_downtime_weight) },
  { "groups.stranded_weight", SETTINGS_REAL, "", "0.2", 0, 1000, "Cost per second of as many idle hosts as a group has members.", AT (groups_stranded_weight) },
  { "groups.load_ms", SETTINGS_INTEGER, "ms", "120000", 1, 7200000, "Expected time to load weights from the weight store.", AT (groups_load_ms) },
  { "groups.reload_ms", SETTINGS_INTEGER, "ms", "5000", 1, 7200000, "Expected time to load weights cached on the host.", AT (groups_reload_ms) },
  { "groups.max_loads", SETTINGS_INTEGER, "", "16", 1, 10000, "Loads from the weight store that may run at once in a data centre.", AT (groups_max_loads) },
  { "memory.limit_mb", SETTINGS_INTEGER, "MB", "512", 16, 1048576, "Limit of what callers and endpoints make the process hold.", AT (memory_limit_mb) },
  { "memory.tight_share", SETTINGS_REAL, "", "0.5", 0.05, 0.95, "Share of memory.limit_mb above which large bodies wait unread, or are refused.", AT (memory_tight_share) },
  { "memory.full_share", SETTINGS_REAL, "", "0.75", 0.05, 1, "Share above which requests are ended, those that cost callers least first.", AT (memory_full_share) },
  { "drain.settle_ms", SETTINGS_INTEGER, "ms", "2000", 0, 60000, "Requests are still accepted for this time after SIGTERM, until the balancer sees /healthz.", AT (drain_settle_ms) },
  { "drain.limit_ms", SETTINGS_INTEGER, "ms", "600000", 100, 86400000, "Time after drain.settle_ms for requests in flight to finish.", AT (drain_limit_ms) },
  { "test.faults", SETTINGS_BOOLEAN, "", "false", 0, 0, "Lets admin requests cause partitions; for tests only.", AT (test_faults) },
};
/* clang-format on */

const struct settings_table settings_table
    = { keys, sizeof keys / sizeof keys[0], sizeof (struct settings) };

const struct settings_key *
settings_key_at (unsigned index)
{
  return index < settings_table.count ? &keys[index] : NULL;
}
