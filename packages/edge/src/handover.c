#include "handover.h"

#include "hash.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/* Of one patch: 30 datagrams to each of 40 hosts take 0.1 s of 200 Mbit/s. */
#define PATCH_LIMIT ((size_t)30 * GOSSIP_PATCH_BYTES)
/* Of one configuration; the platform's objects hold no more. */
#define TEXT_LIMIT (1U << 20)
/* Of all configurations that are kept, besides the newest. */
#define KEPT_LIMIT (2U << 20)

void
handover_init (struct handover *handover)
{
  memset (handover, 0, sizeof *handover);
}

void
handover_finish (struct handover *handover)
{
  for (unsigned i = 0; i < handover->count; i++)
    free (handover->kept[i].text);
  text_patch_finish (&handover->patch);
  free (handover->arriving);
  handover_init (handover);
}

static void
drop_oldest (struct handover *handover)
{
  free (handover->kept[--handover->count].text);
}

void
handover_keep (struct handover *handover,
               int64_t version,
               uint64_t revision,
               char *text,
               size_t size)
{
  size_t total = 0;

  if (handover->count > 0 && version <= handover->kept[0].version)
    {
      free (text);
      return;
    }
  while (handover->count > 0
         && (!handover->serves || handover->count == HANDOVER_KEPT))
    drop_oldest (handover);
  memmove (&handover->kept[1], &handover->kept[0],
           handover->count * sizeof handover->kept[0]);
  handover->kept[0] = (struct handover_text){ version, revision, text, size };
  handover->count++;
  for (unsigned i = 1; i < handover->count; i++)
    total += handover->kept[i].size;
  for (; total > KEPT_LIMIT; drop_oldest (handover))
    total -= handover->kept[handover->count - 1].size;
}

static const struct handover_text *
find_version (const struct handover *handover, int64_t version)
{
  for (unsigned i = 0; i < handover->count; i++)
    if (handover->kept[i].version == version)
      return &handover->kept[i];
  return NULL;
}

static uint64_t
digest_of (const char *text)
{
  return hash_string (text, 0);
}

/* Makes the patch unless it was the last one made; false if there is none. */
static bool
make_patch (struct handover *handover, int64_t from)
{
  const struct handover_text *old = find_version (handover, from);
  const struct handover_text *newest = &handover->kept[0];
  enum result result;

  if (old == NULL || old == newest)
    return false;
  if (handover->patch_from == from && handover->patch_to == newest->version)
    return handover->patch.size > 0;
  text_patch_finish (&handover->patch);
  handover->patch_from = from;
  handover->patch_to = newest->version;
  handover->patch_digest = digest_of (newest->text);
  result = text_patch_make (&handover->patch, old->text, old->size,
                            newest->text, newest->size, PATCH_LIMIT);
  LOG_EVENT (LOG_LEVEL_INFO, "configuration-patch", LOG_INT ("from", from),
             LOG_INT ("to", newest->version), LOG_INT ("code", result),
             LOG_U64 ("bytes", handover->patch.size));
  return result == RESULT_OK;
}

bool
handover_piece (struct handover *handover,
                int64_t from,
                unsigned index,
                struct gossip_patch *piece)
{
  size_t first = (size_t)index * GOSSIP_PATCH_BYTES;

  if (!make_patch (handover, from) || first >= handover->patch.size)
    return false;
  piece->from = from;
  piece->to = handover->patch_to;
  piece->revision = handover->kept[0].revision;
  piece->digest = handover->patch_digest;
  piece->total = (uint32_t)handover->patch.size;
  piece->first = (uint32_t)first;
  piece->count = (uint32_t)(handover->patch.size - first);
  if (piece->count > GOSSIP_PATCH_BYTES)
    piece->count = GOSSIP_PATCH_BYTES;
  memcpy (piece->bytes, handover->patch.data + first, piece->count);
  return true;
}

/* Adds the piece; true once all are there. */
static bool
add_piece (struct handover *handover, const struct gossip_patch *piece)
{
  uint32_t pieces
      = (piece->total + GOSSIP_PATCH_BYTES - 1) / GOSSIP_PATCH_BYTES;

  if (handover->arriving_from != piece->from
      || handover->arriving_to != piece->to)
    {
      handover->arriving_from = piece->from;
      handover->arriving_to = piece->to;
      handover->pieces = 0;
    }
  memcpy (handover->arriving + piece->first, piece->bytes, piece->count);
  handover->pieces |= 1U << piece->first / GOSSIP_PATCH_BYTES;
  return handover->pieces == (1U << pieces) - 1;
}

enum result
handover_take (struct handover *handover,
               const struct gossip_patch *piece,
               char **text,
               size_t *size)
{
  const struct handover_text *newest = &handover->kept[0];
  enum result result;

  *text = NULL;
  *size = 0;
  /* Only what replaces the configuration in force is of use. */
  if (handover->count == 0 || piece->from != newest->version
      || piece->to <= newest->version || piece->total > PATCH_LIMIT
      || piece->first % GOSSIP_PATCH_BYTES != 0 || piece->first >= piece->total
      || piece->count > piece->total - piece->first)
    return RESULT_INVALID;
  if (handover->arriving == NULL)
    handover->arriving = malloc (PATCH_LIMIT);
  if (handover->arriving == NULL)
    return RESULT_NO_MEMORY;
  if (!add_piece (handover, piece))
    return RESULT_OK;
  handover->pieces = 0;
  result = text_patch_apply (handover->arriving, piece->total, newest->text,
                             newest->size, TEXT_LIMIT, text, size);
  if (result == RESULT_OK && digest_of (*text) != piece->digest)
    {
      free (*text);
      *text = NULL;
      result = RESULT_INVALID;
    }
  if (result != RESULT_OK)
    LOG_EVENT (LOG_LEVEL_WARNING, "configuration-patch-refused",
               LOG_INT ("from", piece->from), LOG_INT ("to", piece->to),
               LOG_INT ("code", result), LOG_U64 ("bytes", piece->total));
  return result;
}
