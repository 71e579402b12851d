#ifndef BASE_TEXT_POOL_H
#define BASE_TEXT_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/*
 * Owns texts and small arrays that live as long as the table that refers to
 * them, and are freed together.  Texts of any length fit; what bounds them is
 * what they were read from.
 */

struct text_pool_block;

struct text_pool
{
  SLIST_HEAD (, text_pool_block) blocks;
  size_t used; /* bytes of the first block */
  bool failed; /* memory was short for something that was to be stored */
};

void text_pool_init (struct text_pool *pool);
void text_pool_finish (struct text_pool *pool);

/* Zeroed memory, aligned for any type; NULL if memory is short. */
void *text_pool_allocate (struct text_pool *pool, size_t count, size_t size);

/* Return a copy of the text, or a formatted one; "" if memory is short. */
const char *text_pool_add (struct text_pool *pool, const char *text);
const char *text_pool_format (struct text_pool *pool, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/*
 * Allocates a zeroed structure of this size and a copy of the text behind it;
 * one free releases both.  NULL if memory is short.
 */
void *text_allocate_with (size_t size, const char *text, const char **copy);

#endif
