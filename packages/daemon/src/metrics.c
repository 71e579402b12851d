#include "daemon.h"

static void
set_metric (struct daemon *daemon,
            const char *name,
            const char *labels,
            double value)
{
  counter_put (&daemon->counters, name, labels, value);
}

static void
collect_platform_metrics (struct daemon *daemon)
{
  static const char *const labels[PLATFORM_CALL_KINDS] = {
    [PLATFORM_CALL_READ] = "kind=\"read\"",
    [PLATFORM_CALL_WRITE] = "kind=\"write\"",
    [PLATFORM_CALL_WATCH] = "kind=\"watch\"",
    [PLATFORM_CALL_LIST] = "kind=\"list\"",
    [PLATFORM_CALL_HOSTS] = "kind=\"hosts\"",
  };

  for (unsigned i = 0; i < PLATFORM_CALL_KINDS; i++)
    set_metric (daemon, "waxwing_platform_calls_total", labels[i],
                (double)daemon->platform.calls[i]);
  set_metric (daemon, "waxwing_platform_failures_total", NULL,
              (double)daemon->platform.failures);
}

static void
collect_peer_metrics (struct daemon *daemon)
{
  const struct peer_counts *counts = &daemon->peers.counts;

  set_metric (daemon, "waxwing_peer_messages_sent_total", NULL,
              (double)counts->sent);
  set_metric (daemon, "waxwing_peer_messages_received_total", NULL,
              (double)counts->received);
  set_metric (daemon, "waxwing_peer_bytes_sent_total", NULL,
              (double)counts->bytes_sent);
  set_metric (daemon, "waxwing_peer_bytes_received_total", NULL,
              (double)counts->bytes_received);
  set_metric (daemon, "waxwing_peer_dropped_total", "reason=\"malformed\"",
              (double)counts->bad_message);
  set_metric (daemon, "waxwing_peer_dropped_total", "reason=\"authentication\"",
              (double)counts->bad_mac);
  set_metric (daemon, "waxwing_peer_dropped_total", "reason=\"replay\"",
              (double)counts->replayed);
  set_metric (daemon, "waxwing_peer_dropped_total", "reason=\"size\"",
              (double)counts->too_large);
  set_metric (daemon, "waxwing_peers_live", NULL,
              (double)member_count_live (&daemon->members, NULL));
}

void
daemon_collect_metrics (struct daemon *daemon)
{
  collect_platform_metrics (daemon);
  collect_peer_metrics (daemon);
  set_metric (daemon, "waxwing_probes_total", NULL,
              (double)daemon->prober.probes);
  set_metric (daemon, "waxwing_probe_failures_total", NULL,
              (double)daemon->prober.failures);
  set_metric (daemon, "waxwing_orders_total", NULL,
              (double)daemon->controller.orders_sent);
  set_metric (daemon, "waxwing_sheet_number", NULL,
              (double)daemon->config.objects[PEER_SHEET].number);
  set_metric (daemon, "waxwing_lease_held", NULL,
              controller_is_holder (&daemon->controller, daemon->now_ms) ? 1
                                                                         : 0);
  set_metric (daemon, "waxwing_requests_in_flight", NULL,
              (double)daemon->gateway.request_count);
}
