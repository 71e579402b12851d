#include "controller-internal.h"

#include "log.h"
#include "timeutil.h"

static void
on_assignment_written (void *context, const struct platform_response *response)
{
  struct controller *controller = context;
  int64_t now_ms = time_boot_ms ();

  if (response->result == RESULT_OK)
    config_adopt (controller->config, PEER_ASSIGNMENT,
                  controller->pending_assignment, response->version,
                  "platform");
  else
    LOG_EVENT (LOG_LEVEL_WARNING, "assignment-write-failed",
               LOG_STR ("data_centre", controller->data_centre),
               LOG_INT ("code", response->result),
               LOG_STR ("reason", result_info (response->result)->name));
  json_decref (controller->pending_assignment);
  controller->pending_assignment = NULL;
  plan_on_write (&controller->plan, response->result, now_ms);
}

void
controller_write_assignment (struct controller *controller, int64_t now_ms)
{
  const struct config_object *object
      = &controller->config->objects[PEER_ASSIGNMENT];

  /* The platform's version orders the writes: if another holder has written
   * since our last read, this write fails. */
  if (controller->pending_assignment != NULL
      || !lease_may_act (&controller->lease, now_ms))
    {
      plan_on_write (&controller->plan, RESULT_LEASE_NOT_HELD, now_ms);
      return;
    }
  controller->pending_assignment = fleet_assignment_to_json (
      &controller->steps.assignment, controller->data_centre);
  if (controller->pending_assignment == NULL)
    {
      plan_on_write (&controller->plan, RESULT_NO_MEMORY, now_ms);
      return;
    }
  LOG_EVENT (LOG_LEVEL_NOTICE, "assignment-write",
             LOG_STR ("data_centre", controller->data_centre),
             LOG_U64 ("number", controller->steps.assignment.assignment_number),
             LOG_U64 ("fence", controller->steps.assignment.assignment_fence),
             LOG_STR ("reason", controller->steps.write_reason));
  platform_put (controller->platform, controller->assignment_key,
                object->version, controller->pending_assignment,
                on_assignment_written, controller);
}

static void
on_assignment_read (void *context, const struct platform_response *response)
{
  struct controller *controller = context;

  if (response->result == RESULT_OK)
    config_adopt (controller->config, PEER_ASSIGNMENT, response->value,
                  response->version, "platform");
  plan_on_read (&controller->plan, response->result, time_boot_ms ());
}

void
controller_read_assignment (struct controller *controller)
{
  platform_get (controller->platform, controller->assignment_key,
                on_assignment_read, controller);
}
