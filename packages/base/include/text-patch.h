#ifndef BASE_TEXT_PATCH_H
#define BASE_TEXT_PATCH_H

#include "result.h"

#include <stddef.h>

/*
 * The difference between two versions of a text, as parts to copy from the old
 * one and parts to insert.  Blocks of the old text are found in the new one by
 * a rolling hash, as in Tridgell and Mackerras, "The rsync algorithm", 1996.
 */

struct text_patch
{
  char *data; /* XDR (RFC 4506) */
  size_t size;
};

/*
 * The patch that turns one text into the other, at most size_limit bytes long.
 * RESULT_INVALID if it would be longer; patch needs no finish then.
 */
enum result text_patch_make (struct text_patch *patch,
                             const char *old_text,
                             size_t old_size,
                             const char *new_text,
                             size_t new_size,
                             size_t size_limit);
void text_patch_finish (struct text_patch *patch);

/*
 * The new text, NUL-terminated, to be freed by the caller.  RESULT_INVALID if
 * the patch does not fit the old text or makes more than size_limit bytes.
 */
enum result text_patch_apply (const void *patch,
                              size_t patch_size,
                              const char *old_text,
                              size_t old_size,
                              size_t size_limit,
                              char **new_text,
                              size_t *new_size);

#endif
