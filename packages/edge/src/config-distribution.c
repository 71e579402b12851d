#include "config-distribution.h"

#include "hash.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

/* Size of a patch: 30 datagrams to 40 hosts take 0.1 s at 200 Mbit/s. */
#define PATCH_LIMIT_BYTES ((size_t)30 * GOSSIP_PATCH_BYTES)
/* Size of a configuration; objects of the platform hold no more. */
#define TEXT_LIMIT_BYTES (1U << 20)
/* Size of all earlier configurations together. */
#define KEPT_LIMIT_BYTES (2U << 20)

void
config_distribution_init (struct config_distribution *distribution)
{
  memset (distribution, 0, sizeof *distribution);
}

void
config_distribution_finish (struct config_distribution *distribution)
{
  for (unsigned i = 0; i < distribution->count; i++)
    free (distribution->kept[i].text);
  text_patch_finish (&distribution->patch);
  free (distribution->incoming);
  config_distribution_init (distribution);
}

static void
remove_oldest (struct config_distribution *distribution)
{
  free (distribution->kept[--distribution->count].text);
}

void
config_distribution_add (struct config_distribution *distribution,
                         int64_t version,
                         uint64_t revision,
                         char *text,
                         size_t size)
{
  size_t total = 0;

  if (distribution->count > 0 && version <= distribution->kept[0].version)
    {
      free (text);
      return;
    }
  while (distribution->count > 0
         && (!distribution->serves_other_hosts
             || distribution->count == CONFIG_DISTRIBUTION_VERSIONS))
    remove_oldest (distribution);
  memmove (&distribution->kept[1], &distribution->kept[0],
           distribution->count * sizeof distribution->kept[0]);
  distribution->kept[0] = (struct config_text){ version, revision, text, size };
  distribution->count++;
  for (unsigned i = 1; i < distribution->count; i++)
    total += distribution->kept[i].size;
  for (; total > KEPT_LIMIT_BYTES; remove_oldest (distribution))
    total -= distribution->kept[distribution->count - 1].size;
}

static const struct config_text *
find_version (const struct config_distribution *distribution, int64_t version)
{
  for (unsigned i = 0; i < distribution->count; i++)
    if (distribution->kept[i].version == version)
      return &distribution->kept[i];
  return NULL;
}

static uint64_t
compute_digest (const char *text)
{
  return hash_string (text, 0);
}

/* Makes the patch, or reuses the last one; false if there is none. */
static bool
make_patch (struct config_distribution *distribution, int64_t from)
{
  const struct config_text *old = find_version (distribution, from);
  const struct config_text *newest = &distribution->kept[0];
  enum result result;

  if (old == NULL || old == newest)
    return false;
  if (distribution->patch_from == from
      && distribution->patch_to == newest->version)
    return distribution->patch.size > 0;
  text_patch_finish (&distribution->patch);
  distribution->patch_from = from;
  distribution->patch_to = newest->version;
  distribution->patch_digest = compute_digest (newest->text);
  result = text_patch_make (&distribution->patch, old->text, old->size,
                            newest->text, newest->size, PATCH_LIMIT_BYTES);
  LOG_EVENT (LOG_LEVEL_INFO, "configuration-patch", LOG_INT ("from", from),
             LOG_INT ("to", newest->version), LOG_INT ("code", result),
             LOG_U64 ("bytes", distribution->patch.size));
  return result == RESULT_OK;
}

bool
config_distribution_get_chunk (struct config_distribution *distribution,
                               int64_t from,
                               unsigned index,
                               struct gossip_patch *chunk)
{
  size_t first = (size_t)index * GOSSIP_PATCH_BYTES;

  if (!make_patch (distribution, from) || first >= distribution->patch.size)
    return false;
  chunk->from = from;
  chunk->to = distribution->patch_to;
  chunk->revision = distribution->kept[0].revision;
  chunk->digest = distribution->patch_digest;
  chunk->total = (uint32_t)distribution->patch.size;
  chunk->first = (uint32_t)first;
  chunk->count = (uint32_t)(distribution->patch.size - first);
  if (chunk->count > GOSSIP_PATCH_BYTES)
    chunk->count = GOSSIP_PATCH_BYTES;
  memcpy (chunk->bytes, distribution->patch.data + first, chunk->count);
  return true;
}

/* Stores the chunk; true once the patch is complete. */
static bool
store_chunk (struct config_distribution *distribution,
             const struct gossip_patch *chunk)
{
  uint32_t chunks
      = (chunk->total + GOSSIP_PATCH_BYTES - 1) / GOSSIP_PATCH_BYTES;

  /* One damaged chunk must not spoil those of the patch that follow it. */
  if (distribution->incoming_from != chunk->from
      || distribution->incoming_to != chunk->to
      || distribution->incoming_total != chunk->total
      || distribution->incoming_digest != chunk->digest)
    {
      distribution->incoming_from = chunk->from;
      distribution->incoming_to = chunk->to;
      distribution->incoming_total = chunk->total;
      distribution->incoming_digest = chunk->digest;
      distribution->incoming_chunks = 0;
    }
  memcpy (distribution->incoming + chunk->first, chunk->bytes, chunk->count);
  distribution->incoming_chunks |= 1U << chunk->first / GOSSIP_PATCH_BYTES;
  return distribution->incoming_chunks == (1U << chunks) - 1;
}

enum result
config_distribution_receive_chunk (struct config_distribution *distribution,
                                   const struct gossip_patch *chunk,
                                   char **text,
                                   size_t *size)
{
  const struct config_text *newest = &distribution->kept[0];
  enum result result;

  *text = NULL;
  *size = 0;
  /* Accepts only a patch of the configuration in force to a newer one. */
  if (distribution->count == 0 || chunk->from != newest->version
      || chunk->to <= newest->version || chunk->total > PATCH_LIMIT_BYTES
      || chunk->first % GOSSIP_PATCH_BYTES != 0 || chunk->first >= chunk->total
      || chunk->count > chunk->total - chunk->first)
    return RESULT_INVALID;
  if (distribution->incoming == NULL)
    distribution->incoming = malloc (PATCH_LIMIT_BYTES);
  if (distribution->incoming == NULL)
    return RESULT_NO_MEMORY;
  if (!store_chunk (distribution, chunk))
    return RESULT_OK;
  distribution->incoming_chunks = 0;
  result = text_patch_apply (distribution->incoming, chunk->total, newest->text,
                             newest->size, TEXT_LIMIT_BYTES, text, size);
  /* The digest ends at a NUL, which no configuration has. */
  if (result == RESULT_OK
      && (strlen (*text) != *size || compute_digest (*text) != chunk->digest))
    {
      free (*text);
      *text = NULL;
      result = RESULT_INVALID;
    }
  if (result != RESULT_OK)
    LOG_EVENT (LOG_LEVEL_WARNING, "configuration-patch-refused",
               LOG_INT ("from", chunk->from), LOG_INT ("to", chunk->to),
               LOG_INT ("code", result), LOG_U64 ("bytes", chunk->total));
  return result;
}
