#include "text-patch.h"

#include <rpc/rpc.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Shorter parts that are alike are inserted: a copy takes 12 bytes itself. */
#define BLOCK 32
#define SLOTS_PER_BLOCK 2
#define HASH_FACTOR 0x01000193U /* prime of FNV-1, odd so that it mixes */

/* Offsets of the old text's blocks by their hash; UINT32_MAX = free. */
struct index
{
  const char *text;
  size_t size;
  uint32_t *slots;
  size_t slot_count; /* a power of two */
  uint32_t drop;     /* HASH_FACTOR to the power of BLOCK - 1 */
};

static uint32_t
hash_block (const char *block)
{
  uint32_t hash = 0;

  for (size_t i = 0; i < BLOCK; i++)
    hash = hash * HASH_FACTOR + (unsigned char)block[i];
  return hash;
}

static uint32_t
roll (const struct index *index, uint32_t hash, char old, char next)
{
  return (hash - (unsigned char)old * index->drop) * HASH_FACTOR
         + (unsigned char)next;
}

static size_t
slot_of (const struct index *index, uint32_t hash)
{
  return (hash ^ hash >> 15) & (index->slot_count - 1);
}

static bool
index_init (struct index *index, const char *text, size_t size)
{
  index->text = text;
  index->size = size;
  index->slot_count = 16;
  index->drop = 1;
  while (index->slot_count < SLOTS_PER_BLOCK * (size / BLOCK + 1))
    index->slot_count *= 2;
  for (int i = 0; i < BLOCK - 1; i++)
    index->drop *= HASH_FACTOR;
  index->slots = malloc (index->slot_count * sizeof index->slots[0]);
  if (index->slots == NULL)
    return false;
  memset (index->slots, 0xff, index->slot_count * sizeof index->slots[0]);
  /* Of two blocks in one slot the later one is found; both would do. */
  for (size_t at = 0; at + BLOCK <= size; at += BLOCK)
    index->slots[slot_of (index, hash_block (text + at))] = (uint32_t)at;
  return true;
}

/* The old text's block that is the same, or UINT32_MAX. */
static uint32_t
find_block (const struct index *index, uint32_t hash, const char *block)
{
  uint32_t at = index->slots[slot_of (index, hash)];

  return at != UINT32_MAX && memcmp (index->text + at, block, BLOCK) == 0
             ? at
             : UINT32_MAX;
}

/* One step of a patch: insert, then copy. */
static bool
code_step (XDR *xdr,
           char **inserted,
           u_int *insert_size,
           uint32_t *copy_at,
           uint32_t *copy_size)
{
  return xdr_bytes (xdr, inserted, insert_size, UINT32_MAX)
         && xdr_uint32_t (xdr, copy_at) && xdr_uint32_t (xdr, copy_size);
}

static bool
put_step (XDR *xdr,
          const char *inserted,
          size_t insert_size,
          size_t copy_at,
          size_t copy_size)
{
  char *data = (char *)inserted;
  u_int size = (u_int)insert_size;
  uint32_t at = (uint32_t)copy_at;
  uint32_t count = (uint32_t)copy_size;

  return code_step (xdr, &data, &size, &at, &count);
}

static size_t
same_bytes (const char *a, size_t a_size, const char *b, size_t b_size)
{
  size_t count = 0;

  while (count < a_size && count < b_size && a[count] == b[count])
    count++;
  return count;
}

static bool
put_steps (XDR *xdr, const struct index *index, const char *text, size_t size)
{
  size_t done = 0; /* bytes of the new text that the steps make */
  size_t at = 0;
  uint32_t hash = size >= BLOCK ? hash_block (text) : 0;

  while (at + BLOCK <= size)
    {
      uint32_t found = find_block (index, hash, text + at);

      if (found != UINT32_MAX)
        {
          size_t count = same_bytes (index->text + found, index->size - found,
                                     text + at, size - at);

          while (at > done && found > 0
                 && index->text[found - 1] == text[at - 1])
            {
              found--;
              at--;
              count++;
            }
          if (!put_step (xdr, text + done, at - done, found, count))
            return false;
          at += count;
          done = at;
          if (at + BLOCK <= size)
            hash = hash_block (text + at);
          continue;
        }
      if (at + BLOCK < size)
        hash = roll (index, hash, text[at], text[at + BLOCK]);
      at++;
    }
  return put_step (xdr, text + done, size - done, 0, 0);
}

enum result
text_patch_make (struct text_patch *patch,
                 const char *old_text,
                 size_t old_size,
                 const char *new_text,
                 size_t new_size,
                 size_t size_limit)
{
  struct index index = { .slots = NULL };
  enum result result = RESULT_INVALID;
  XDR xdr;

  memset (patch, 0, sizeof *patch);
  if (old_size >= UINT32_MAX || new_size >= UINT32_MAX)
    return RESULT_INVALID;
  patch->data = malloc (size_limit);
  if (patch->data == NULL || !index_init (&index, old_text, old_size))
    {
      result = RESULT_NO_MEMORY;
      goto out;
    }
  xdrmem_create (&xdr, patch->data, (u_int)size_limit, XDR_ENCODE);
  if (!put_steps (&xdr, &index, new_text, new_size))
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

/* Decodes one step and checks that it fits; the insert points into the patch.
 */
static bool
take_step (XDR *xdr,
           size_t left,
           const char **inserted,
           size_t *insert_size,
           size_t *copy_at,
           size_t *copy_size)
{
  uint32_t size;
  uint32_t at;
  uint32_t count;

  if (!xdr_uint32_t (xdr, &size) || size > left)
    return false;
  *inserted = (const char *)xdr_inline (xdr, RNDUP (size));
  if ((size > 0 && *inserted == NULL) || !xdr_uint32_t (xdr, &at)
      || !xdr_uint32_t (xdr, &count))
    return false;
  *insert_size = size;
  *copy_at = at;
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

      if (!take_step (&xdr, patch_size - xdr_getpos (&xdr), &inserted,
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
