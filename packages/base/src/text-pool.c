#include "text-pool.h"

#include <stdalign.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Larger pieces get a block of their own. */
#define BLOCK_BYTES 4096

struct text_pool_block
{
  SLIST_ENTRY (text_pool_block) link;
  size_t size;
  alignas (max_align_t) char data[];
};

void
text_pool_init (struct text_pool *pool)
{
  SLIST_INIT (&pool->blocks);
  pool->used = 0;
  pool->failed = false;
}

void
text_pool_finish (struct text_pool *pool)
{
  struct text_pool_block *block;

  while ((block = SLIST_FIRST (&pool->blocks)) != NULL)
    {
      SLIST_REMOVE_HEAD (&pool->blocks, link);
      free (block);
    }
  pool->used = 0;
}

/* Adds a block; a large one goes behind the first, which may have space left.
 */
static struct text_pool_block *
add_block (struct text_pool *pool, size_t size)
{
  struct text_pool_block *first = SLIST_FIRST (&pool->blocks);
  bool is_large = size > BLOCK_BYTES / 4;
  struct text_pool_block *block;

  if (!is_large)
    size = BLOCK_BYTES;
  block = calloc (1, sizeof *block + size);
  if (block == NULL)
    return NULL;
  block->size = size;
  if (is_large && first != NULL)
    {
      SLIST_INSERT_AFTER (first, block, link);
      return block;
    }
  SLIST_INSERT_HEAD (&pool->blocks, block, link);
  pool->used = is_large ? size : 0;
  return block;
}

/* Returns bytes that begin at a multiple of the alignment. */
static void *
take (struct text_pool *pool, size_t size, size_t alignment)
{
  struct text_pool_block *block = SLIST_FIRST (&pool->blocks);
  size_t start = (pool->used + alignment - 1) / alignment * alignment;

  if (block == NULL || start > block->size || size > block->size - start)
    {
      block = add_block (pool, size);
      if (block == NULL)
        {
          pool->failed = true;
          return NULL;
        }
      start = 0;
    }
  if (block == SLIST_FIRST (&pool->blocks))
    pool->used = start + size;
  return block->data + start;
}

void *
text_pool_allocate (struct text_pool *pool, size_t count, size_t size)
{
  if (size > 0 && count > SIZE_MAX / 2 / size)
    {
      pool->failed = true;
      return NULL;
    }
  return take (pool, count * size, alignof (max_align_t));
}

const char *
text_pool_add (struct text_pool *pool, const char *text)
{
  size_t size = strlen (text) + 1;
  char *copy;

  if (size == 1)
    return "";
  copy = take (pool, size, 1);
  if (copy == NULL)
    return "";
  memcpy (copy, text, size);
  return copy;
}

const char *
text_pool_format (struct text_pool *pool, const char *format, ...)
{
  va_list arguments;
  char *text = NULL;
  int size;

  va_start (arguments, format);
  size = vsnprintf (NULL, 0, format, arguments);
  va_end (arguments);
  if (size >= 0)
    text = take (pool, (size_t)size + 1, 1);
  if (text == NULL)
    {
      pool->failed = true;
      return "";
    }
  va_start (arguments, format);
  vsnprintf (text, (size_t)size + 1, format, arguments);
  va_end (arguments);
  return text;
}

void *
text_allocate_with (size_t size, const char *text, const char **copy)
{
  size_t text_size = strlen (text) + 1;
  char *bytes = calloc (1, size + text_size);

  if (bytes == NULL)
    return NULL;
  memcpy (bytes + size, text, text_size);
  *copy = bytes + size;
  return bytes;
}
