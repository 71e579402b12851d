#include "internal.h"

#include "timeutil.h"

#include <stdio.h>

static struct gateway_request *
request_from_entry (struct admission_entry *entry)
{
  return (
      struct gateway_request *)((char *)entry
                                - offsetof (struct gateway_request, admission));
}

void
admit_request (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  struct admission_entry *entry = &request->admission;
  int64_t now_ms = time_boot_ms ();
  int64_t retry_after_ms = 0;
  enum result result = strikes_check_traits (
      gateway->tables.strikes, &request->traits, now_ms, &retry_after_ms);

  if (result != RESULT_OK)
    {
      request_refuse (request, result, retry_after_ms);
      return;
    }
  snprintf (entry->customer, sizeof entry->customer, "%s", request->customer);
  snprintf (entry->target, sizeof entry->target, "%s", request->target);
  entry->cost
      = request->kind == REQUEST_SERVICE ? 1 : (unsigned)request->max_tokens;
  entry->deadline_ms = request->deadline_ms;
  result = admission_submit (gateway->tables.admission, entry, now_ms,
                             &retry_after_ms);
  if (result != RESULT_OK)
    {
      request_refuse (request, result, retry_after_ms);
      return;
    }
  request->in_admission = true;
  request->state = REQUEST_QUEUED;
  admit_process_queue (gateway, now_ms);
}

void
admit_process_queue (struct gateway *gateway, int64_t now_ms)
{
  struct admission *admission = gateway->tables.admission;
  struct admission_entry *entry;

  /* A dispatch that fails at once frees its request, which calls this again. */
  if (gateway->processing_queue)
    return;
  gateway->processing_queue = true;
  while ((entry = admission_next_expired (admission, now_ms)) != NULL)
    request_refuse (request_from_entry (entry), RESULT_DEADLINE_UNREACHABLE, 0);
  while ((entry = admission_next (admission, now_ms)) != NULL)
    {
      struct gateway_request *request = request_from_entry (entry);

      if (request->kind == REQUEST_SERVICE && !request->repeatable)
        service_begin_claim (request);
      else
        request_dispatch (request);
    }
  gateway->processing_queue = false;
}

void
admit_process_queue_later (struct gateway *gateway)
{
  if (gateway->queue_event != NULL && !gateway->processing_queue)
    event_active (gateway->queue_event, 0, 0);
}
