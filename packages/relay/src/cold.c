#include "log.h"
#include "relay-internal.h"

/* Interval between log lines on one cold endpoint. */
#define COLD_LOG_INTERVAL_MS 1000

void
relay_log_cold (const struct relay_request *request, struct endpoint_load *load)
{
  const struct relay *relay = request->relay;
  const struct load_table *loads = &relay->loads;

  counter_add (relay->counters, "waxwing_cold_passed_over_total", NULL, 1);
  if (load->cold_logged_ms != 0
      && relay->now_ms - load->cold_logged_ms < COLD_LOG_INTERVAL_MS)
    return;
  load->cold_logged_ms = relay->now_ms;
  LOG_EVENT (
      LOG_LEVEL_INFO, "endpoint-cold", LOG_STR ("request", request->id),
      LOG_STR ("endpoint", load->id),
      LOG_INT ("left_ms", balance_cold_left_ms (loads, request->service,
                                                load->endpoint, relay->now_ms)),
      LOG_INT ("interval_ms", (int64_t)load->cold_limit.interval_ms),
      LOG_U64 ("hosts", loads->cold_bound.hosts));
}
