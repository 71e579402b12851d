#include "daemon.h"

static void
put (struct daemon *daemon, const char *name, const char *labels, double value)
{
  counter_put (&daemon->counters, name, labels, value);
}

static void
collect_platform (struct daemon *daemon)
{
  static const char *const labels[PLATFORM_CALL_KINDS] = {
    [PLATFORM_CALL_READ] = "kind=\"read\"",
    [PLATFORM_CALL_WRITE] = "kind=\"write\"",
    [PLATFORM_CALL_WATCH] = "kind=\"watch\"",
    [PLATFORM_CALL_LIST] = "kind=\"list\"",
    [PLATFORM_CALL_HOSTS] = "kind=\"hosts\"",
  };

  for (unsigned i = 0; i < PLATFORM_CALL_KINDS; i++)
    put (daemon, "waxwing_platform_calls_total", labels[i],
         (double)daemon->platform.calls[i]);
  put (daemon, "waxwing_platform_failures_total", NULL,
       (double)daemon->platform.failures);
}

static void
collect_peers (struct daemon *daemon)
{
  const struct peer_counts *counts = &daemon->peers.counts;

  put (daemon, "waxwing_peer_messages_sent_total", NULL, (double)counts->sent);
  put (daemon, "waxwing_peer_messages_received_total", NULL,
       (double)counts->received);
  put (daemon, "waxwing_peer_bytes_sent_total", NULL,
       (double)counts->bytes_sent);
  put (daemon, "waxwing_peer_bytes_received_total", NULL,
       (double)counts->bytes_received);
  put (daemon, "waxwing_peer_dropped_total", "reason=\"malformed\"",
       (double)counts->bad_message);
  put (daemon, "waxwing_peer_dropped_total", "reason=\"authentication\"",
       (double)counts->bad_mac);
  put (daemon, "waxwing_peer_dropped_total", "reason=\"replay\"",
       (double)counts->replayed);
  put (daemon, "waxwing_peer_dropped_total", "reason=\"size\"",
       (double)counts->too_large);
  put (daemon, "waxwing_peers_live", NULL,
       (double)member_count_live (&daemon->members, NULL));
}

void
daemon_collect_metrics (struct daemon *daemon)
{
  collect_platform (daemon);
  collect_peers (daemon);
  put (daemon, "waxwing_probes_total", NULL, (double)daemon->prober.probes);
  put (daemon, "waxwing_probe_failures_total", NULL,
       (double)daemon->prober.failures);
  put (daemon, "waxwing_orders_total", NULL,
       (double)daemon->controller.orders_sent);
  put (daemon, "waxwing_sheet_number", NULL,
       (double)daemon->config.objects[PEER_SHEET].number);
  put (daemon, "waxwing_lease_held", NULL,
       controller_is_holder (&daemon->controller, daemon->now_ms) ? 1 : 0);
  put (daemon, "waxwing_requests_in_flight", NULL,
       (double)daemon->gateway.request_count);
}
