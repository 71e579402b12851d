#include "log.h"
#include "relay-internal.h"

#include <inttypes.h>
#include <stdio.h>

void
relay_format_parts (const struct relay_request *request,
                    char text[RELAY_PARTS_TEXT_SIZE])
{
  size_t used = 0;

  text[0] = '\0';
  for (unsigned i = 0; i < request->shared_part_count; i++)
    {
      size_t left = RELAY_PARTS_TEXT_SIZE - used - sizeof ",...";
      int size = snprintf (text + used, left, "%s%" PRIx64, i > 0 ? "," : "",
                           request->shared_parts[i]);

      if (size < 0 || (size_t)size >= left)
        {
          snprintf (text + used, RELAY_PARTS_TEXT_SIZE - used, ",...");
          return;
        }
      used += (size_t)size;
    }
}

void
relay_log_request_end (const struct relay_request *request,
                       const char *outcome,
                       unsigned status,
                       enum result result)
{
  const struct relay *relay = request->relay;
  const struct relay_upstream *upstream = request->upstream;
  char labels[64];
  char parts[RELAY_PARTS_TEXT_SIZE];
  bool good = status >= 200 && status < 300;

  relay_format_parts (request, parts);
  LOG_EVENT (
      good ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "request-end",
      LOG_STR ("request", request->id), LOG_STR ("outcome", outcome),
      LOG_U64 ("status", status), LOG_INT ("code", result),
      LOG_STR ("route", request->route != NULL ? request->route->name : ""),
      LOG_STR ("customer",
               request->customer != NULL ? request->customer->name : ""),
      LOG_INT ("configuration",
               request->catalog != NULL ? request->catalog->version : 0),
      LOG_INT ("proof_age_ms", relay->now_ms - relay->catalog_current_at_ms),
      LOG_STR ("endpoint", upstream != NULL ? upstream->load->id : ""),
      LOG_U64 ("sends", request->sends), LOG_U64 ("runs", request->runs),
      LOG_U64 ("events", request->events_sent),
      LOG_U64 ("prompt_tokens", request->prompt_tokens),
      LOG_STR ("parts", parts),
      LOG_INT ("expected_ms", (int64_t)request->expected_ms),
      LOG_INT ("first_event_ms",
               request->first_event_ms > 0
                   ? request->first_event_ms - request->arrived_ms
                   : -1),
      LOG_INT ("longest_pause_ms", request->longest_event_gap_ms),
      LOG_INT ("held_ms", relay->now_ms - request->arrived_ms),
      LOG_INT ("left_ms", request->deadline_ms - relay->now_ms));
  snprintf (labels, sizeof labels, "outcome=\"%s\",code=\"%d\"", outcome,
            (int)result);
  counter_add (relay->counters, "waxwing_requests_total", labels, 1);
}
