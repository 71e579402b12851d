#ifndef SHEET_SHEET_VERSION_H
#define SHEET_SHEET_VERSION_H

#include "hash.h"
#include "sheet.h"

/*
 * Hash of the contents, without number and history.  The order of group rows
 * counts, since it is their priority; the order of other rows and of list
 * entries does not.
 */
enum result sheet_hash (const struct sheet *sheet, char out[HASH_HEX_SIZE]);

/*
 * Makes a newly read sheet the successor of previous: number + 1 and a new
 * history entry before those of previous, at most SHEET_HISTORY_LIMIT.
 * previous has number 0 if none was accepted yet.  RESULT_INVALID if the
 * operator or token is empty or too long, RESULT_SHEET_TOO_LARGE if the
 * result does not fit into a platform object.
 */
enum result sheet_make_next (struct sheet *next,
                             const struct sheet *previous,
                             const char *operator_name,
                             const char *token,
                             int64_t wall_ms);

#endif
