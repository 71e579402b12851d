#ifndef STANDIN_TOKEN_H
#define STANDIN_TOKEN_H

#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "hash.h"

#define STANDIN_TOKEN_SIZE 16

/*
 * Writes the text of the token at this index of a generation by
 * standin-engine.  It depends only on model, prompt and index, so that
 * standin-load and standin-check can verify each token, also after a resume.
 */
static inline void
standin_token (const char *model,
               const char *prompt,
               uint64_t index,
               char out[STANDIN_TOKEN_SIZE])
{
  uint64_t seed = hash_string (model, 0x746f6b656e);
  uint64_t value = hash_string (prompt, seed + index * 0x9e3779b97f4a7c15);

  snprintf (out, STANDIN_TOKEN_SIZE, " t%08" PRIx32, (uint32_t)value);
}

#endif
