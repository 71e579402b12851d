#include "text-patch.h"

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Shorter equal parts are inserted, because a copy step itself takes 12 bytes.
 */
#define BLOCK_BYTES 32
#define SLOTS_PER_BLOCK 2
#define HASH_FACTOR 0x01000193U /* prime of FNV-1, odd so that it mixes */

/* Hash table of the blocks of the old text. */
struct block_index
{
  const char *text;
  size_t size;
  uint32_t *slots;        /* offset of a block by its hash; UINT32_MAX = free */
  size_t slot_count;      /* a power of two */
  uint32_t oldest_factor; /* HASH_FACTOR to the power of BLOCK_BYTES - 1, by
                             which the hash multiplies a block's first byte */
};

static uint32_t
hash_block (const char *block)
{
  uint32_t hash = 0;

  for (size_t i = 0; i < BLOCK_BYTES; i++)
    hash = hash * HASH_FACTOR + (unsigned char)block[i];
  return hash;
}

static uint32_t
roll_hash (const struct block_index *index, uint32_t hash, char old, char next)
{
  return (hash - (unsigned char)old * index->oldest_factor) * HASH_FACTOR
         + (unsigned char)next;
}

static size_t
get_slot_index (const struct block_index *index, uint32_t hash)
{
  return (hash ^ hash >> 15) & (index->slot_count - 1);
}

static bool
init_block_index (struct block_index *index, const char *text, size_t size)
{
  index->text = text;
  index->size = size;
  index->slot_count = 16;
  index->oldest_factor = 1;
  while (index->slot_count < SLOTS_PER_BLOCK * (size / BLOCK_BYTES + 1))
    index->slot_count *= 2;
  for (int i = 0; i < BLOCK_BYTES - 1; i++)
    index->oldest_factor *= HASH_FACTOR;
  index->slots = malloc (index->slot_count * sizeof index->slots[0]);
  if (index->slots == NULL)
    return false;
  memset (index->slots, 0xff, index->slot_count * sizeof index->slots[0]);
  /* Of blocks that share a slot, only the last one can be found. */
  for (size_t position = 0; position + BLOCK_BYTES <= size;
       position += BLOCK_BYTES)
    index->slots[get_slot_index (index, hash_block (text + position))]
        = (uint32_t)position;
  return true;
}

/* Returns the offset of an equal block in the old text, or UINT32_MAX. */
static uint32_t
find_block (const struct block_index *index, uint32_t hash, const char *block)
{
  uint32_t position = index->slots[get_slot_index (index, hash)];

  return position != UINT32_MAX
                 && memcmp (index->text + position, block, BLOCK_BYTES) == 0
             ? position
             : UINT32_MAX;
}

/* XDR filter of one step of a patch: bytes to insert, then a range to copy. */
static bool
xdr_patch_step (XDR *xdr,
                char **inserted,
                u_int *insert_size,
                uint32_t *copy_at,
                uint32_t *copy_size)
{
  return xdr_bytes (xdr, inserted, insert_size, UINT32_MAX)
         && xdr_uint32_t (xdr, copy_at) && xdr_uint32_t (xdr, copy_size);
}

static bool
encode_step (XDR *xdr,
             const char *inserted,
             size_t insert_size,
             size_t copy_at,
             size_t copy_size)
{
  char *data = (char *)inserted;
  u_int size = (u_int)insert_size;
  uint32_t position = (uint32_t)copy_at;
  uint32_t count = (uint32_t)copy_size;

  return xdr_patch_step (xdr, &data, &size, &position, &count);
}

static size_t
count_equal_bytes (const char *a, size_t a_size, const char *b, size_t b_size)
{
  size_t count = 0;

  while (count < a_size && count < b_size && a[count] == b[count])
    count++;
  return count;
}

static bool
encode_steps (XDR *xdr,
              const struct block_index *index,
              const char *text,
              size_t size)
{
  size_t covered_size = 0; /* bytes of the new text that have steps */
  size_t position = 0;
  uint32_t hash = size >= BLOCK_BYTES ? hash_block (text) : 0;

  while (position + BLOCK_BYTES <= size)
    {
      uint32_t old_position = find_block (index, hash, text + position);

      if (old_position != UINT32_MAX)
        {
          size_t count = count_equal_bytes (index->text + old_position,
                                            index->size - old_position,
                                            text + position, size - position);

          while (position > covered_size && old_position > 0
                 && index->text[old_position - 1] == text[position - 1])
            {
              old_position--;
              position--;
              count++;
            }
          if (!encode_step (xdr, text + covered_size, position - covered_size,
                            old_position, count))
            return false;
          position += count;
          covered_size = position;
          if (position + BLOCK_BYTES <= size)
            hash = hash_block (text + position);
          continue;
        }
      if (position + BLOCK_BYTES < size)
        hash = roll_hash (index, hash, text[position],
                          text[position + BLOCK_BYTES]);
      position++;
    }
  return encode_step (xdr, text + covered_size, size - covered_size, 0, 0);
}

enum result
text_patch_make (struct text_patch *patch,
                 const char *old_text,
                 size_t old_size,
                 const char *new_text,
                 size_t new_size,
                 size_t size_limit)
{
  struct block_index index = { .slots = NULL };
  enum result result = RESULT_INVALID;
  XDR xdr;

  memset (patch, 0, sizeof *patch);
  if (old_size >= UINT32_MAX || new_size >= UINT32_MAX)
    return RESULT_INVALID;
  patch->data = malloc (size_limit);
  if (patch->data == NULL || !init_block_index (&index, old_text, old_size))
    {
      result = RESULT_NO_MEMORY;
      goto out;
    }
  xdrmem_create (&xdr, patch->data, (u_int)size_limit, XDR_ENCODE);
  if (!encode_steps (&xdr, &index, new_text, new_size))
    goto out;
  patch->size = xdr_getpos (&xdr);
  result = RESULT_OK;

out:
  free (index.slots);
  if (result != RESULT_OK)
    text_patch_finish (patch);
  return result;
}

void
text_patch_finish (struct text_patch *patch)
{
  free (patch->data);
  memset (patch, 0, sizeof *patch);
}

/*
 * Decodes one step; *inserted points into the patch.  False if the
 * step needs more than bytes_left bytes.
 */
static bool
decode_step (XDR *xdr,
             size_t bytes_left,
             const char **inserted,
             size_t *insert_size,
             size_t *copy_at,
             size_t *copy_size)
{
  uint32_t size;
  uint32_t position;
  uint32_t count;

  if (!xdr_uint32_t (xdr, &size) || size > bytes_left)
    return false;
  *inserted = (const char *)xdr_inline (xdr, RNDUP (size));
  if ((size > 0 && *inserted == NULL) || !xdr_uint32_t (xdr, &position)
      || !xdr_uint32_t (xdr, &count))
    return false;
  *insert_size = size;
  *copy_at = position;
  *copy_size = count;
  return true;
}

enum result
text_patch_apply (const void *patch,
                  size_t patch_size,
                  const char *old_text,
                  size_t old_size,
                  size_t size_limit,
                  char **new_text,
                  size_t *new_size)
{
  char *text = malloc (size_limit + 1);
  size_t size = 0;
  XDR xdr;

  *new_text = NULL;
  *new_size = 0;
  if (text == NULL)
    return RESULT_NO_MEMORY;
  xdrmem_create (&xdr, (char *)patch, (u_int)patch_size, XDR_DECODE);
  while (xdr_getpos (&xdr) < patch_size)
    {
      const char *inserted;
      size_t insert_size;
      size_t copy_at;
      size_t copy_size;

      if (!decode_step (&xdr, patch_size - xdr_getpos (&xdr), &inserted,
                        &insert_size, &copy_at, &copy_size)
          || copy_at > old_size || copy_size > old_size - copy_at
          || insert_size > size_limit - size
          || copy_size > size_limit - size - insert_size)
        {
          free (text);
          return RESULT_INVALID;
        }
      if (insert_size > 0)
        memcpy (text + size, inserted, insert_size);
      size += insert_size;
      memcpy (text + size, old_text + copy_at, copy_size);
      size += copy_size;
    }
  text[size] = '\0';
  *new_text = text;
  *new_size = size;
  return RESULT_OK;
}
