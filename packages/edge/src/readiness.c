#include "edge.h"
#include "netutil.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <string.h>

static void
on_readiness_request (struct evhttp_request *request, void *context)
{
  const struct edge *edge = context;

  if (edge_is_ready (edge))
    evhttp_send_reply (request, 200, "OK", NULL);
  else
    evhttp_send_reply (request, 503, "Not ready", NULL);
}

static void
add_line (void *context, const char *line)
{
  evbuffer_add (context, line, strlen (line));
}

static void
put_histogram (struct edge *edge,
               const char *name,
               const struct histogram *histogram)
{
  static const struct
  {
    const char *label;
    double quantile;
  } quantiles[] = { { "quantile=\"0.5\"", 0.5 },
                    { "quantile=\"0.95\"", 0.95 },
                    { "quantile=\"0.99\"", 0.99 } };
  char count[128];

  for (size_t i = 0; i < sizeof quantiles / sizeof quantiles[0]; i++)
    counter_put (&edge->counters, name, quantiles[i].label,
                 (double)histogram_quantile (histogram, quantiles[i].quantile));
  snprintf (count, sizeof count, "%s_count", name);
  counter_put (&edge->counters, count, NULL, (double)histogram->count);
}

/*
 * Data centres that are evacuated, or were recently: the time since then, and
 * the requests that still run there.
 */
static void
put_evacuations (struct edge *edge)
{
  const struct evacuation_sync *sync = &edge->evacuation_sync;

  if (sync->complete_ms == 0)
    return;
  counter_put (&edge->counters, "waxwing_evacuations_age_ms", NULL,
               (double)(edge->now_ms - sync->table.current_at_ms));
  for (unsigned i = 0; i < sync->table.count; i++)
    {
      const struct evacuation *entry = &sync->table.list[i];
      bool is_active = entry->ended_ms == 0;
      char name[EVACUATION_NAME_SIZE];
      char label[EVACUATION_NAME_SIZE + 32];

      evacuation_sync_format_name (sync, entry->data_centre, name);
      snprintf (label, sizeof label, "data_centre=\"%s\"", name);
      counter_put (&edge->counters, "waxwing_evacuated", label, is_active);
      counter_put (&edge->counters, "waxwing_evacuated_ms", label,
                   is_active ? (double)(edge->now_ms - entry->since_ms) : 0);
      counter_put (&edge->counters, "waxwing_evacuated_running", label,
                   edge_count_running (edge, entry->data_centre));
    }
}

static void
put_memory (struct edge *edge)
{
  struct counter_set *counters = &edge->counters;
  const struct memory_account *account = &edge->relay.memory;

  for (int kind = 0; kind < MEMORY_KINDS; kind++)
    {
      char label[64];

      snprintf (label, sizeof label, "kind=\"%s\"",
                memory_kind_name ((enum memory_kind)kind));
      counter_put (counters, "waxwing_memory_held_bytes", label,
                   (double)account->held[kind]);
    }
  counter_put (counters, "waxwing_memory_held_peak_bytes", NULL,
               (double)account->peak);
  counter_put (counters, "waxwing_memory_watermark_bytes", "level=\"tight\"",
               (double)account->tight_bytes);
  counter_put (counters, "waxwing_memory_watermark_bytes", "level=\"full\"",
               (double)account->full_bytes);
  counter_put (counters, "waxwing_memory_watermark_passed_total",
               "level=\"tight\"", (double)account->tight_count);
  counter_put (counters, "waxwing_memory_watermark_passed_total",
               "level=\"full\"", (double)account->full_count);
}

static void
on_metrics_request (struct evhttp_request *request, void *context)
{
  struct edge *edge = context;
  struct counter_set *counters = &edge->counters;

  counter_put (counters, "waxwing_requests_in_flight", NULL,
               relay_in_flight (&edge->relay));
  counter_put (counters, "waxwing_callers", NULL, edge->relay.caller_count);
  counter_put (counters, "waxwing_endpoints", NULL,
               HASH_COUNT (edge->endpoints.table));
  for (int kind = 0; kind < RECORDS_KINDS; kind++)
    {
      char label[64];

      snprintf (label, sizeof label, "records=\"%s\"",
                records_kind_name ((enum records_kind)kind));
      counter_put (counters, "waxwing_platform_calls_total", label,
                   (double)edge->records.calls[kind]);
    }
  counter_put (counters, "waxwing_platform_failures_total", NULL,
               (double)edge->records.failures);
  counter_put (counters, "waxwing_configuration_version", NULL,
               (double)relay_catalog_version (&edge->relay));
  counter_put (counters, "waxwing_configuration_proof_age_ms", NULL,
               (double)(edge->now_ms - edge->configuration.current_at_ms));
  counter_put (counters, "waxwing_cold_endpoints", NULL,
               edge_count_cold (edge));
  put_evacuations (edge);
  counter_put (counters, "waxwing_lease_held", NULL, edge->leader.acting);
  put_memory (edge);
  put_histogram (edge, "waxwing_first_event_ms", &edge->relay.first_event_ms);
  put_histogram (edge, "waxwing_answer_ms", &edge->relay.response_ms);
  counter_write (counters, add_line,
                 evhttp_request_get_output_buffer (request));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain; version=0.0.4");
  evhttp_send_reply (request, 200, "OK", NULL);
}

enum result
edge_readiness_init (struct edge *edge)
{
  char address[SETTINGS_TEXT_SIZE];
  uint16_t port;

  if (!net_parse_address (edge->settings.readiness_listen, address,
                          sizeof address, &port))
    return RESULT_SETTINGS_BAD_VALUE;
  edge->readiness = evhttp_new (edge->base);
  if (edge->readiness == NULL)
    return RESULT_NO_MEMORY;
  evhttp_set_allowed_methods (edge->readiness, EVHTTP_REQ_GET);
  if (evhttp_set_cb (edge->readiness, edge->adapter->ready_path,
                     on_readiness_request, edge)
          != 0
      || evhttp_set_cb (edge->readiness, "/metrics", on_metrics_request, edge)
             != 0)
    return RESULT_NO_MEMORY;
  return evhttp_bind_socket (edge->readiness, address, port) == 0
             ? RESULT_OK
             : RESULT_INVALID;
}
