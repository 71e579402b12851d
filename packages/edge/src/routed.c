#include "routed.h"

#include "hash.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

void
routed_finish (struct routed *routed)
{
  free (routed->list);
  memset (routed, 0, sizeof *routed);
}

bool
routed_piece (const struct endpoints *endpoints,
              uint32_t first,
              uint64_t revision,
              struct gossip_routed *piece)
{
  uint32_t index = 0;

  piece->revision = revision;
  piece->first = first;
  piece->count = 0;
  for (const struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      if (!endpoint_is_routed (endpoint))
        continue;
      if (index >= first && piece->count < GOSSIP_ROUTED_COUNT)
        piece->list[piece->count++] = hash_string (endpoint->id, 0);
      index++;
    }
  piece->total = index;
  return piece->count > 0;
}

static bool
begin (struct routed *routed, const struct gossip_routed *piece)
{
  routed_finish (routed);
  routed->list = calloc (piece->total, sizeof routed->list[0]);
  if (routed->list == NULL)
    return false;
  routed->nonce = piece->nonce;
  routed->revision = piece->revision;
  routed->total = piece->total;
  return true;
}

bool
routed_take (struct routed *routed, const struct gossip_routed *piece)
{
  uint32_t index = piece->first / GOSSIP_ROUTED_COUNT;
  uint32_t pieces
      = (piece->total + GOSSIP_ROUTED_COUNT - 1) / GOSSIP_ROUTED_COUNT;

  if (pieces == 0 || pieces > ROUTED_PIECES || piece->count == 0
      || piece->first % GOSSIP_ROUTED_COUNT != 0
      || (piece->count != GOSSIP_ROUTED_COUNT
          && piece->first + piece->count != piece->total))
    return false;
  if (routed->nonce != piece->nonce || routed->total != piece->total
      || routed->revision != piece->revision)
    if (!begin (routed, piece))
      return false;
  memcpy (&routed->list[piece->first], piece->list,
          piece->count * sizeof piece->list[0]);
  routed->pieces |= 1ULL << index;
  return routed->pieces == UINT64_MAX >> (ROUTED_PIECES - pieces);
}

static int
compare (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

void
routed_prune (struct routed *routed,
              struct endpoints *endpoints,
              int64_t now_ms)
{
  unsigned count = 0;

  qsort (routed->list, routed->total, sizeof routed->list[0], compare);
  for (struct endpoint *endpoint = endpoints->table; endpoint != NULL;
       endpoint = endpoint->hh.next)
    {
      uint64_t hash = hash_string (endpoint->id, 0);

      if (!endpoint_is_routed (endpoint) || endpoint->deleted_ms != 0
          || endpoint->revision > routed->revision
          || bsearch (&hash, routed->list, routed->total,
                      sizeof routed->list[0], compare)
                 != NULL)
        continue;
      endpoints_delete (endpoints, endpoint->id, routed->revision, now_ms);
      count++;
    }
  if (count > 0)
    LOG_EVENT (LOG_LEVEL_NOTICE, "endpoints-not-routed",
               LOG_U64 ("revision", routed->revision),
               LOG_U64 ("of", routed->total), LOG_U64 ("dropped", count));
  routed_finish (routed);
}
