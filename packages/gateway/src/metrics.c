#include "internal.h"

#include "log.h"

#include <stdio.h>

/* Interval at which the first-token summary is computed. */
#define SUMMARY_INTERVAL_MS 1000

/*
 * The service level counts the requests that the caller was entitled to have
 * served: successes and server errors.  It leaves out requests refused because
 * of the caller's mistake, limits or place, and those the caller abandoned.
 */
static bool
counts_for_slo (const struct gateway_request *request, enum result result)
{
  int status = result_info (result)->http_status;

  if (request->customer[0] == '\0' || request->target[0] == '\0')
    return false;
  return result == RESULT_OK || status >= 500;
}

static void
count_request (const struct gateway_request *request,
               enum result result,
               int64_t now_ms)
{
  struct counter_set *counters = request->gateway->tables.counters;
  const char *customer = request->customer[0] != '\0' ? request->customer : "-";
  char labels[256];

  snprintf (labels, sizeof labels, "customer=\"%s\",code=\"%d\"", customer,
            (int)result);
  counter_add (counters, "waxwing_requests_total", labels, 1);
  if (!counts_for_slo (request, result))
    return;
  snprintf (labels, sizeof labels, "customer=\"%s\",target=\"%s\"", customer,
            request->target);
  counter_add (counters, "waxwing_slo_total", labels, 1);
  if (result == RESULT_OK && now_ms <= request->deadline_ms)
    counter_add (counters, "waxwing_slo_good_total", labels, 1);
}

void
metrics_record_request_end (const struct gateway_request *request,
                            enum result result,
                            enum outcome outcome,
                            int64_t now_ms)
{
  count_request (request, result, now_ms);
  LOG_EVENT (
      LOG_LEVEL_INFO, "request-end", LOG_STR ("request_id", request->id),
      LOG_STR ("customer",
               request->customer[0] != '\0' ? request->customer : "-"),
      LOG_STR ("target", request->target[0] != '\0' ? request->target : "-"),
      LOG_INT ("code", (int64_t)result),
      LOG_STR ("outcome", outcome_name (outcome)),
      LOG_U64 ("attempts", request->attempts),
      LOG_STR ("endpoint",
               request->last_host[0] != '\0' ? request->last_host : "-"),
      LOG_INT ("ms", now_ms - request->started_ms),
      LOG_U64 ("tokens", request->next_index));
}

void
metrics_tick (struct gateway *gateway, int64_t now_ms)
{
  static const struct
  {
    const char *labels;
    double quantile;
  } quantiles[] = {
    { "quantile=\"0.5\"", 0.5 },
    { "quantile=\"0.95\"", 0.95 },
    { "quantile=\"0.99\"", 0.99 },
  };
  struct counter_set *counters = gateway->tables.counters;
  const struct histogram *histogram = &gateway->first_token_ms;

  counter_put (counters, "waxwing_requests_in_flight", NULL,
               (double)gateway->request_count);
  callers_put_metrics (gateway);
  if (now_ms - gateway->metrics_ms < SUMMARY_INTERVAL_MS)
    return;
  gateway->metrics_ms = now_ms;
  for (size_t i = 0; i < sizeof quantiles / sizeof quantiles[0]; i++)
    counter_put (counters, "waxwing_first_token_ms", quantiles[i].labels,
                 (double)histogram_quantile (histogram, quantiles[i].quantile));
  counter_put (counters, "waxwing_first_token_ms_sum", NULL,
               (double)histogram->sum);
  counter_put (counters, "waxwing_first_token_ms_count", NULL,
               (double)histogram->count);
}
