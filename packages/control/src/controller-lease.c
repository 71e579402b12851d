#include "controller-internal.h"

#include "timeutil.h"

static void
on_lease_read (void *context, const struct platform_response *response)
{
  struct controller *controller = context;
  struct lease_value value;
  enum result result = response->result;

  if (result == RESULT_OK)
    result = lease_value_from_json (&value, response->value);
  lease_on_read (&controller->lease, result,
                 result == RESULT_OK ? &value : NULL, response->version,
                 time_boot_ms ());
}

static void
on_lease_written (void *context, const struct platform_response *response)
{
  struct controller *controller = context;

  lease_on_write (&controller->lease, response->result, response->version,
                  time_boot_ms ());
}

void
controller_run_lease (struct controller *controller, int64_t now_ms)
{
  struct lease_action action = lease_tick (&controller->lease, now_ms);
  json_t *json;

  switch (action.kind)
    {
    case LEASE_NO_ACTION:
      break;
    case LEASE_READ:
      platform_get (controller->platform, controller->lease_key, on_lease_read,
                    controller);
      break;
    case LEASE_WRITE:
      json = lease_value_to_json (&action.value);
      if (json == NULL)
        {
          lease_on_write (&controller->lease, RESULT_NO_MEMORY, 0, now_ms);
          break;
        }
      platform_put (controller->platform, controller->lease_key, action.version,
                    json, on_lease_written, controller);
      json_decref (json);
      break;
    }
}
