#include "claim-cleanup.h"

#include "claim.h"
#include "jsonutil.h"
#include "log.h"
#include "timeutil.h"

#include <string.h>

void
claim_cleanup_init (struct claim_cleanup *cleanup,
                    struct platform *platform,
                    struct member_table *members,
                    int64_t now_ms)
{
  memset (cleanup, 0, sizeof *cleanup);
  cleanup->platform = platform;
  cleanup->members = members;
  cleanup->next_list_ms = now_ms + CLAIM_CLEANUP_INTERVAL_MS;
}

void
claim_cleanup_finish (struct claim_cleanup *cleanup)
{
  json_decref (cleanup->keys);
  cleanup->keys = NULL;
}

static void
on_keys_listed (void *context, const struct platform_response *response)
{
  struct claim_cleanup *cleanup = context;

  cleanup->listing = false;
  if (response->result != RESULT_OK)
    return;
  json_decref (cleanup->keys);
  cleanup->keys = json_incref (json_object_get (response->value, "keys"));
  cleanup->next_key = 0;
}

static void
on_object_deleted (void *context, const struct platform_response *response)
{
  struct claim_cleanup *cleanup = context;

  if (response->result == RESULT_OK)
    cleanup->deleted_count++;
}

/* Deletes the next object whose retention is over; frees the list at its end.
 */
static void
delete_next_expired (struct claim_cleanup *cleanup, int64_t now_ms)
{
  while (cleanup->next_key < json_array_size (cleanup->keys))
    {
      const json_t *entry = json_array_get (cleanup->keys, cleanup->next_key++);
      const char *key = json_string_value (json_object_get (entry, "key"));
      uint64_t version;

      if (key == NULL || !json_read_u64 (entry, "version", &version)
          || !claim_object_is_expired (key, time_wall_ms ()))
        continue;
      cleanup->next_delete_ms = now_ms + CLAIM_CLEANUP_DELETE_INTERVAL_MS;
      platform_delete (cleanup->platform, key, version, on_object_deleted,
                       cleanup);
      return;
    }
  LOG_EVENT (LOG_LEVEL_INFO, "claims-swept",
             LOG_U64 ("deleted_in_all", cleanup->deleted_count));
  json_decref (cleanup->keys);
  cleanup->keys = NULL;
}

void
claim_cleanup_tick (struct claim_cleanup *cleanup, int64_t now_ms)
{
  if (cleanup->keys != NULL)
    {
      if (now_ms >= cleanup->next_delete_ms)
        delete_next_expired (cleanup, now_ms);
      return;
    }
  if (cleanup->listing || now_ms < cleanup->next_list_ms
      || member_rank (cleanup->members, NULL, cleanup->members->self.host,
                      "sweep")
             != 0)
    return;
  cleanup->listing = true;
  cleanup->next_list_ms = now_ms + CLAIM_CLEANUP_INTERVAL_MS;
  platform_list (cleanup->platform,
                 cleanup->list_answers ? "answers/" : "claims/", on_keys_listed,
                 cleanup);
  cleanup->list_answers = !cleanup->list_answers;
}
