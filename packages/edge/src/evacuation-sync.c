#include "evacuation-sync.h"

#include "hash.h"
#include "log.h"

#include <stdio.h>
#include <string.h>

/* Least time between two watches, which end at once if there is a change. */
#define CALL_INTERVAL_MS 100
/* Shortest wait of a watch, and interval of messages. */
#define MIN_WAIT_MS 200
#define MIN_SEND_INTERVAL_MS 50
/* Interval of lists while some entry has no readable name. */
#define RELIST_INTERVAL_MS 10000
/*
 * Longest retry intervals during an outage of the store.  Other hosts hear from
 * the readers that it has ended.
 */
#define READER_RETRY_MS 800
#define OTHER_RETRY_MS 3200
/* A newly started host waits this long for the message of a reader. */
#define READER_WAIT_AT_START_MS 1000
/* Data centres that the deployment does not name and that are taken over. */
#define UNKNOWN_LIMIT 16

int
evacuation_sync_wait_ms (int64_t complete_ms)
{
  return complete_ms / 2 > MIN_WAIT_MS ? (int)(complete_ms / 2) : MIN_WAIT_MS;
}

int64_t
evacuation_sync_send_interval_ms (int64_t complete_ms)
{
  return complete_ms / 10 > MIN_SEND_INTERVAL_MS ? complete_ms / 10
                                                 : MIN_SEND_INTERVAL_MS;
}

/*
 * What a reader knows is as old as its watch waits, and two messages may be
 * lost.  A quarter of the bound is left to read the store.
 */
int64_t
evacuation_sync_age_limit_ms (int64_t complete_ms)
{
  return complete_ms * 3 / 4;
}

static const char *
find_name (const struct evacuation_sync *sync, uint64_t hash)
{
  for (size_t i = 0; i < sync->data_centres->count; i++)
    if (hash_string (sync->data_centres->items[i], 0) == hash)
      return sync->data_centres->items[i];
  return NULL;
}

void
evacuation_sync_format_name (const struct evacuation_sync *sync,
                             uint64_t data_centre,
                             char name[EVACUATION_NAME_SIZE])
{
  const char *known = find_name (sync, data_centre);

  if (known != NULL)
    snprintf (name, EVACUATION_NAME_SIZE, "%s", known);
  else
    snprintf (name, EVACUATION_NAME_SIZE, "%016llx",
              (unsigned long long)data_centre);
}

static unsigned
count_unknown (const struct evacuation_sync *sync,
               const struct evacuation_set *set)
{
  unsigned count = 0;

  for (unsigned i = 0; i < set->count; i++)
    if (find_name (sync, set->list[i]) == NULL)
      count++;
  return count;
}

static void
add_record (struct evacuation_sync *sync,
            struct evacuation_set *set,
            const struct records_record *record)
{
  uint64_t hash = hash_string (record->name, 0);
  bool is_unknown = find_name (sync, hash) == NULL;
  bool is_taken_over = (!is_unknown || evacuation_set_has (set, hash)
                        || count_unknown (sync, set) < UNKNOWN_LIMIT)
                       && evacuation_set_add (set, hash);

  /* The name says all, so an unreadable value changes nothing. */
  if (is_unknown || json_is_null (record->value))
    LOG_EVENT (
        LOG_LEVEL_WARNING, "evacuation-unusual",
        LOG_STR ("data_centre", record->name),
        LOG_STR ("in_settings", is_unknown ? "no" : "yes"),
        LOG_STR ("readable", json_is_null (record->value) ? "no" : "yes"),
        LOG_STR ("taken_over", is_taken_over ? "yes" : "no"),
        LOG_U64 ("revision", record->revision));
}

static void
on_record (void *context, const struct records_record *record)
{
  struct evacuation_sync *sync = context;
  struct evacuation_set *set
      = sync->follower.state == FOLLOWER_LISTING ? &sync->listed : &sync->read;

  if (record->deleted)
    evacuation_set_remove (set, hash_string (record->name, 0));
  else
    add_record (sync, set, record);
}

static void
on_list_begin (void *context)
{
  struct evacuation_sync *sync = context;

  sync->listed.count = 0;
}

static void
on_list_end (void *context)
{
  struct evacuation_sync *sync = context;
  struct evacuation_set known;

  /* The entries without a readable name may be those that are not listed. */
  sync->is_list_partial = sync->follower.list_skipped > 0;
  if (sync->is_list_partial)
    {
      evacuations_get_set (&sync->table, &known);
      for (unsigned i = 0; i < known.count; i++)
        evacuation_set_add (&sync->listed, known.list[i]);
    }
  sync->read = sync->listed;
}

void
evacuation_sync_init (struct evacuation_sync *sync,
                      struct mesh *mesh,
                      struct records *records,
                      const struct settings_list *data_centres,
                      int64_t complete_ms)
{
  const struct follower_hooks hooks = {
    .context = sync,
    .record = on_record,
    .list_begin = on_list_begin,
    .list_end = on_list_end,
  };

  memset (sync, 0, sizeof *sync);
  sync->mesh = mesh;
  sync->data_centres = data_centres;
  sync->complete_ms = complete_ms;
  evacuations_init (&sync->table);
  follower_init (&sync->follower, records, RECORDS_EVACUATIONS, "evacuations",
                 &hooks, evacuation_sync_wait_ms (complete_ms),
                 CALL_INTERVAL_MS);
}

/* Logs what began or ended since before the last update. */
static void
log_changes (const struct evacuation_sync *sync,
             const struct evacuations *before,
             const char *source)
{
  const struct evacuations *table = &sync->table;

  for (unsigned i = 0; i < table->count; i++)
    {
      const struct evacuation *entry = &table->list[i];
      char name[EVACUATION_NAME_SIZE];
      bool was_active = false;

      for (unsigned j = 0; j < before->count; j++)
        if (before->list[j].data_centre == entry->data_centre)
          was_active = before->list[j].ended_ms == 0;
      if (was_active == (entry->ended_ms == 0))
        continue;
      evacuation_sync_format_name (sync, entry->data_centre, name);
      LOG_EVENT (LOG_LEVEL_NOTICE,
                 was_active ? "evacuation-ended" : "evacuation-begun",
                 LOG_STR ("data_centre", name), LOG_STR ("source", source),
                 LOG_U64 ("revision", table->revision));
    }
}

static void
update_table (struct evacuation_sync *sync,
              const struct evacuation_set *set,
              int64_t current_at_ms,
              const char *source,
              int64_t now_ms)
{
  uint64_t changes = sync->table.changes;
  struct evacuations before = sync->table;

  evacuations_update (&sync->table, set, current_at_ms, now_ms);
  if (sync->table.changes != changes)
    log_changes (sync, &before, source);
}

void
evacuation_sync_handle_message (struct evacuation_sync *sync,
                                const struct gossip_evacuations *message,
                                int64_t now_ms)
{
  struct evacuation_set set = {
    .revision = message->revision,
    .era = records_get_era (message->revision),
  };

  if (sync->complete_ms == 0)
    return;
  for (unsigned i = 0; i < message->count; i++)
    evacuation_set_add (&set, message->list[i]);
  update_table (sync, &set, now_ms - (int64_t)message->age_ms, "host", now_ms);
}

static void
send_table (struct evacuation_sync *sync, int64_t now_ms)
{
  struct gossip_message *message = &sync->mesh->message;
  struct gossip_evacuations *body = &message->body.evacuations;
  int64_t age_ms = now_ms - sync->table.current_at_ms;
  struct evacuation_set set;

  evacuations_get_set (&sync->table, &set);
  message->kind = GOSSIP_EVACUATIONS;
  body->revision = set.revision;
  body->age_ms = age_ms < GOSSIP_NEVER_MS ? (uint32_t)age_ms : GOSSIP_NEVER_MS;
  body->count = set.count;
  memcpy (body->list, set.list, set.count * sizeof set.list[0]);
  mesh_distribute (sync->mesh, message);
  sync->sent_changes = sync->table.changes;
  sync->next_send_ms
      = now_ms + evacuation_sync_send_interval_ms (sync->complete_ms);
}

static bool
has_to_read (const struct evacuation_sync *sync, int64_t now_ms)
{
  if (!mesh_is_settled (sync->mesh))
    return false;
  if (mesh_is_reader (sync->mesh))
    return true;
  return now_ms - sync->mesh->started_ms >= READER_WAIT_AT_START_MS
         && now_ms - sync->table.current_at_ms
                > evacuation_sync_age_limit_ms (sync->complete_ms);
}

/* A host that begins to read continues with what it heard, without a list. */
static void
resume_from_table (struct evacuation_sync *sync)
{
  struct follower *follower = &sync->follower;

  if (!sync->table.is_known || follower->call_in_flight
      || sync->table.revision <= follower->revision)
    return;
  evacuations_get_set (&sync->table, &sync->read);
  follower_resume (follower, sync->table.revision, sync->table.current_at_ms);
}

/* Hubs send each change; any host sends one that it has read itself. */
static bool
has_to_send (const struct evacuation_sync *sync, int64_t now_ms)
{
  bool is_reader = mesh_is_reader (sync->mesh);

  if (!sync->table.is_known)
    return false;
  if (sync->sent_changes != sync->table.changes
      && (sync->reads || mesh_is_hub (sync->mesh)))
    return true;
  return is_reader && now_ms >= sync->next_send_ms;
}

void
evacuation_sync_tick (struct evacuation_sync *sync, int64_t now_ms)
{
  const struct follower *follower = &sync->follower;
  struct evacuations before;
  bool reads;

  if (sync->complete_ms == 0)
    return;
  reads = has_to_read (sync, now_ms);
  if (reads && !sync->reads)
    resume_from_table (sync);
  sync->reads = reads;
  sync->follower.retry_delay_limit_ms
      = mesh_is_reader (sync->mesh) ? READER_RETRY_MS : OTHER_RETRY_MS;
  if (reads && sync->is_list_partial && follower->state == FOLLOWER_WATCHING
      && now_ms - follower->list_sent_ms >= RELIST_INTERVAL_MS)
    follower_relist (&sync->follower);
  if (reads)
    follower_tick (&sync->follower, now_ms);
  if (follower->state == FOLLOWER_WATCHING)
    {
      sync->read.revision = follower->revision;
      sync->read.era = records_get_era (follower->revision);
      update_table (sync, &sync->read, follower->current_at_ms, "store",
                    now_ms);
    }
  before = sync->table;
  evacuations_tick (&sync->table, now_ms);
  if (sync->table.changes != before.changes)
    log_changes (sync, &before, "store");
  if (has_to_send (sync, now_ms))
    send_table (sync, now_ms);
}

void
evacuation_sync_host_started (struct evacuation_sync *sync)
{
  sync->next_send_ms = 0;
}

bool
evacuation_sync_is_ready (const struct evacuation_sync *sync)
{
  return sync->complete_ms == 0 || sync->table.is_known;
}
