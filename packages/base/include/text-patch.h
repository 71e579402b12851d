#ifndef BASE_TEXT_PATCH_H
#define BASE_TEXT_PATCH_H

#include "result.h"

#include <stddef.h>

/*
 * The difference between two versions of a text: a sequence of parts to insert
 * and parts to copy from the old text.  A rolling hash finds blocks of the old
 * text in the new one, as in Tridgell and Mackerras, "The rsync algorithm",
 * 1996.
 */

struct text_patch
{
  char *data; /* XDR (RFC 4506) */
  size_t size;
};

/*
 * Makes the patch that turns old_text into new_text.  RESULT_INVALID if it
 * would be longer than size_limit bytes.  After an error, patch need not be
 * finished.
 */
enum result text_patch_make (struct text_patch *patch,
                             const char *old_text,
                             size_t old_size,
                             const char *new_text,
                             size_t new_size,
                             size_t size_limit);
void text_patch_finish (struct text_patch *patch);

/*
 * Makes the new text, NUL-terminated; the caller frees it.  RESULT_INVALID if
 * the patch is malformed, copies from outside the old text or makes more than
 * size_limit bytes.
 */
enum result text_patch_apply (const void *patch,
                              size_t patch_size,
                              const char *old_text,
                              size_t old_size,
                              size_t size_limit,
                              char **new_text,
                              size_t *new_size);

#endif
