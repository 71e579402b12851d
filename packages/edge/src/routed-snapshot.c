#include "routed-snapshot.h"

#include "hash.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

void
routed_snapshot_finish (struct routed_snapshot *snapshot)
{
  free (snapshot->list);
  memset (snapshot, 0, sizeof *snapshot);
}

bool
routed_snapshot_fill_chunk (const struct endpoints *endpoints,
                            uint32_t first,
                            uint64_t revision,
                            struct gossip_routed *chunk)
{
  uint32_t index = 0;

  chunk->revision = revision;
  chunk->first = first;
  chunk->count = 0;
  for (const struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (!endpoint_is_routed (endpoint))
        continue;
      if (index >= first && chunk->count < GOSSIP_ROUTED_LIMIT)
        chunk->list[chunk->count++] = hash_string (endpoint->id, 0);
      index++;
    }
  chunk->total = index;
  return chunk->count > 0;
}

/* Starts a new snapshot and drops the one that was being received. */
static bool
start_snapshot (struct routed_snapshot *snapshot,
                const struct gossip_routed *chunk)
{
  routed_snapshot_finish (snapshot);
  snapshot->list = calloc (chunk->total, sizeof snapshot->list[0]);
  if (snapshot->list == NULL)
    return false;
  snapshot->nonce = chunk->nonce;
  snapshot->revision = chunk->revision;
  snapshot->total = chunk->total;
  return true;
}

bool
routed_snapshot_receive_chunk (struct routed_snapshot *snapshot,
                               const struct gossip_routed *chunk)
{
  uint32_t index = chunk->first / GOSSIP_ROUTED_LIMIT;
  uint32_t chunks
      = (chunk->total + GOSSIP_ROUTED_LIMIT - 1) / GOSSIP_ROUTED_LIMIT;

  if (chunks == 0 || chunks > ROUTED_SNAPSHOT_CHUNKS || chunk->count == 0
      || chunk->first % GOSSIP_ROUTED_LIMIT != 0
      || (chunk->count != GOSSIP_ROUTED_LIMIT
          && chunk->first + chunk->count != chunk->total))
    return false;
  if (snapshot->nonce != chunk->nonce || snapshot->total != chunk->total
      || snapshot->revision != chunk->revision)
    if (!start_snapshot (snapshot, chunk))
      return false;
  memcpy (&snapshot->list[chunk->first], chunk->list,
          chunk->count * sizeof chunk->list[0]);
  snapshot->received_chunks |= 1ULL << index;
  return snapshot->received_chunks
         == UINT64_MAX >> (ROUTED_SNAPSHOT_CHUNKS - chunks);
}

static int
compare_hashes (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

void
routed_snapshot_delete_missing (struct routed_snapshot *snapshot,
                                struct endpoints *endpoints,
                                int64_t now_ms)
{
  unsigned count = 0;

  qsort (snapshot->list, snapshot->total, sizeof snapshot->list[0],
         compare_hashes);
  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      uint64_t hash = hash_string (endpoint->id, 0);

      if (!endpoint_is_routed (endpoint) || endpoint->deleted_ms != 0
          || endpoint->revision > snapshot->revision
          || bsearch (&hash, snapshot->list, snapshot->total,
                      sizeof snapshot->list[0], compare_hashes)
                 != NULL)
        continue;
      endpoints_delete (endpoints, endpoint->id, snapshot->revision, now_ms);
      count++;
    }
  if (count > 0)
    LOG_EVENT (LOG_LEVEL_NOTICE, "endpoints-not-routed",
               LOG_U64 ("revision", snapshot->revision),
               LOG_U64 ("of", snapshot->total), LOG_U64 ("dropped", count));
  routed_snapshot_finish (snapshot);
}
