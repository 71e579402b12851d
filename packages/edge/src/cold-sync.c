#include "cold-sync.h"

#include "hash.h"

#include <string.h>

/* Interval of messages, and of looks for cold members of groups. */
#define SEND_INTERVAL_MS 200

void
cold_sync_init (struct cold_sync *sync,
                struct mesh *mesh,
                struct endpoints *endpoints)
{
  *sync = (struct cold_sync){ .mesh = mesh, .endpoints = endpoints };
}

void
cold_sync_note (struct cold_sync *sync)
{
  sync->has_news = true;
}

/* Sends the message to the other hosts of the own data centre. */
static void
send_locally (struct mesh *mesh, struct gossip_message *message)
{
  for (struct mesh_host *host = mesh->hosts; host != NULL; host = host->hh.next)
    if (strcmp (host->info.data_centre, mesh->self.data_centre) == 0)
      mesh_send (mesh, host, message);
}

static void
send_cold_endpoints (struct cold_sync *sync, int64_t now_ms)
{
  struct gossip_message *message = &sync->mesh->message;
  struct gossip_cold *body = &message->body.cold;

  message->kind = GOSSIP_COLD;
  body->count = 0;
  for (const struct endpoint *endpoint = sync->endpoints->table;
       endpoint != NULL; endpoint = endpoint->hh.next)
    {
      if (endpoint->cold_until_ms <= now_ms || !endpoint_is_routed (endpoint))
        continue;
      body->list[body->count].endpoint = hash_string (endpoint->id, 0);
      body->list[body->count].left_ms
          = (uint32_t)(endpoint->cold_until_ms - now_ms);
      if (++body->count < GOSSIP_COLD_LIMIT)
        continue;
      send_locally (sync->mesh, message);
      body->count = 0;
    }
  if (body->count > 0)
    send_locally (sync->mesh, message);
}

void
cold_sync_tick (struct cold_sync *sync, bool sends, int64_t now_ms)
{
  if (!sync->endpoints->tracks_cold)
    return;
  if (!sync->has_news && now_ms < sync->next_ms)
    return;
  sync->has_news = false;
  sync->next_ms = now_ms + SEND_INTERVAL_MS;
  if (endpoints_spread_cold (sync->endpoints, now_ms) && sends)
    send_cold_endpoints (sync, now_ms);
}

void
cold_sync_handle_message (struct cold_sync *sync,
                          const struct gossip_cold *message,
                          int64_t now_ms)
{
  for (struct endpoint *endpoint = sync->endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      uint64_t hash = hash_string (endpoint->id, 0);

      for (unsigned i = 0; i < message->count; i++)
        if (message->list[i].endpoint == hash)
          endpoint_note_cold (endpoint, message->list[i].left_ms, now_ms);
    }
}
