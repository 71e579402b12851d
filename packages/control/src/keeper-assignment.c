#include "keeper-internal.h"

#include "log.h"
#include "timeutil.h"

static void
on_written (void *context, const struct platform_answer *answer)
{
  struct keeper *keeper = context;
  int64_t now_ms = time_boot_ms ();

  if (answer->result == RESULT_OK)
    config_adopt (keeper->config, PEER_ASSIGNMENT, keeper->written,
                  answer->version, "platform");
  else
    LOG_EVENT (LOG_LEVEL_WARNING, "assignment-write-failed",
               LOG_STR ("data_centre", keeper->data_centre),
               LOG_INT ("code", answer->result),
               LOG_STR ("reason", result_info (answer->result)->name));
  json_decref (keeper->written);
  keeper->written = NULL;
  plan_on_write (&keeper->plan, answer->result, now_ms);
}

void
keeper_write_assignment (struct keeper *keeper, int64_t now_ms)
{
  const struct config_object *object
      = &keeper->config->objects[PEER_ASSIGNMENT];

  /* An order of writes is kept by the platform's version: if another holder
   * wrote meanwhile, this write fails. */
  if (keeper->written != NULL || !lease_may_act (&keeper->lease, now_ms))
    {
      plan_on_write (&keeper->plan, RESULT_LEASE_NOT_HELD, now_ms);
      return;
    }
  keeper->written = fleet_assignment_to_json (&keeper->steps.assignment,
                                              keeper->data_centre);
  if (keeper->written == NULL)
    {
      plan_on_write (&keeper->plan, RESULT_NO_MEMORY, now_ms);
      return;
    }
  LOG_EVENT (LOG_LEVEL_NOTICE, "assignment-write",
             LOG_STR ("data_centre", keeper->data_centre),
             LOG_U64 ("number", keeper->steps.assignment.assignment_number),
             LOG_U64 ("fence", keeper->steps.assignment.assignment_fence),
             LOG_STR ("reason", keeper->steps.write_reason));
  platform_put (keeper->platform, keeper->assignment_key, object->version,
                keeper->written, on_written, keeper);
}

static void
on_read (void *context, const struct platform_answer *answer)
{
  struct keeper *keeper = context;

  if (answer->result == RESULT_OK)
    config_adopt (keeper->config, PEER_ASSIGNMENT, answer->value,
                  answer->version, "platform");
  plan_on_read (&keeper->plan, answer->result, time_boot_ms ());
}

void
keeper_read_assignment (struct keeper *keeper)
{
  platform_get (keeper->platform, keeper->assignment_key, on_read, keeper);
}
