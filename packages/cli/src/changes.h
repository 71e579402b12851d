#ifndef CLI_CHANGES_H
#define CLI_CHANGES_H

#include <jansson.h>

/*
 * What differs between two answers of GET /status of the same daemon, as
 * lines for people.  NULL stands for no answer.  The caller owns the array of
 * strings.
 */
json_t *
changes_make (const char *entry, const json_t *before, const json_t *after);

#endif
