#ifndef SHEET_SHEET_VERSION_H
#define SHEET_SHEET_VERSION_H

#include "hash.h"
#include "sheet.h"

/*
 * Hashes the contents of a sheet, without its number and history.  The order
 * of group rows changes the hash, since it is their priority.  The order of
 * other rows and of list entries does not.
 */
enum result sheet_hash (const struct sheet *sheet, char out[HASH_HEX_SIZE]);

/*
 * Makes the newly read sheet next the successor of previous: its number is
 * that of previous + 1, and a new history entry precedes those of previous, up
 * to SHEET_HISTORY_LIMIT entries.  previous has number 0 if no sheet was
 * accepted yet.  Returns RESULT_INVALID if the operator or token is empty or
 * too long, and RESULT_SHEET_TOO_LARGE if next does not fit into a platform
 * object.
 */
enum result sheet_make_next (struct sheet *next,
                             const struct sheet *previous,
                             const char *operator_name,
                             const char *token,
                             int64_t wall_ms);

#endif
