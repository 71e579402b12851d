#include "keeper-internal.h"

#include "timeutil.h"

static void
on_read (void *context, const struct platform_answer *answer)
{
  struct keeper *keeper = context;
  struct lease_value value;
  enum result result = answer->result;

  if (result == RESULT_OK)
    result = lease_value_from_json (&value, answer->value);
  lease_on_read (&keeper->lease, result, result == RESULT_OK ? &value : NULL,
                 answer->version, time_boot_ms ());
}

static void
on_write (void *context, const struct platform_answer *answer)
{
  struct keeper *keeper = context;

  lease_on_write (&keeper->lease, answer->result, answer->version,
                  time_boot_ms ());
}

void
keeper_run_lease (struct keeper *keeper, int64_t now_ms)
{
  struct lease_action action = lease_tick (&keeper->lease, now_ms);
  json_t *json;

  switch (action.kind)
    {
    case LEASE_NOTHING:
      break;
    case LEASE_READ:
      platform_get (keeper->platform, keeper->lease_key, on_read, keeper);
      break;
    case LEASE_WRITE:
      json = lease_value_to_json (&action.value);
      if (json == NULL)
        {
          lease_on_write (&keeper->lease, RESULT_NO_MEMORY, 0, now_ms);
          break;
        }
      platform_put (keeper->platform, keeper->lease_key, action.version, json,
                    on_write, keeper);
      json_decref (json);
      break;
    }
}
