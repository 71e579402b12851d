#include "sweep.h"

#include "claim.h"
#include "jsonutil.h"
#include "log.h"
#include "timeutil.h"

#include <string.h>

void
sweep_init (struct sweep *sweep,
            struct platform *platform,
            struct member_table *members,
            int64_t now_ms)
{
  memset (sweep, 0, sizeof *sweep);
  sweep->platform = platform;
  sweep->members = members;
  sweep->next_list_ms = now_ms + SWEEP_INTERVAL_MS;
}

void
sweep_finish (struct sweep *sweep)
{
  json_decref (sweep->keys);
  sweep->keys = NULL;
}

static void
on_list (void *context, const struct platform_answer *answer)
{
  struct sweep *sweep = context;

  sweep->listing = false;
  if (answer->result != RESULT_OK)
    return;
  json_decref (sweep->keys);
  sweep->keys = json_incref (json_object_get (answer->value, "keys"));
  sweep->next_key = 0;
}

static void
on_delete (void *context, const struct platform_answer *answer)
{
  struct sweep *sweep = context;

  if (answer->result == RESULT_OK)
    sweep->deleted++;
}

/* Deletes the next object past its retention; drops the list at its end. */
static void
delete_next (struct sweep *sweep, int64_t now_ms)
{
  while (sweep->next_key < json_array_size (sweep->keys))
    {
      const json_t *entry = json_array_get (sweep->keys, sweep->next_key++);
      const char *key = json_string_value (json_object_get (entry, "key"));
      uint64_t version;

      if (key == NULL || !json_read_u64 (entry, "version", &version)
          || !claim_object_expired (key, time_wall_ms ()))
        continue;
      sweep->next_delete_ms = now_ms + SWEEP_DELETE_MS;
      platform_delete (sweep->platform, key, version, on_delete, sweep);
      return;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "claims-swept",
             LOG_U64 ("deleted_in_all", sweep->deleted));
  json_decref (sweep->keys);
  sweep->keys = NULL;
}

void
sweep_tick (struct sweep *sweep, int64_t now_ms)
{
  if (sweep->keys != NULL)
    {
      if (now_ms >= sweep->next_delete_ms)
        delete_next (sweep, now_ms);
      return;
    }
  if (sweep->listing || now_ms < sweep->next_list_ms
      || member_rank (sweep->members, NULL, sweep->members->self.host, "sweep")
             != 0)
    return;
  sweep->listing = true;
  sweep->next_list_ms = now_ms + SWEEP_INTERVAL_MS;
  platform_list (sweep->platform, sweep->answers ? "answers/" : "claims/",
                 on_list, sweep);
  sweep->answers = !sweep->answers;
}
