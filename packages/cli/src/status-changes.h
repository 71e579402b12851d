#ifndef CLI_STATUS_CHANGES_H
#define CLI_STATUS_CHANGES_H

#include <jansson.h>

/*
 * Describes the differences between two responses of the same daemon to
 * GET /status, as an array of lines for the operator, which the caller owns.
 * NULL stands for no response.  entry names the entry host.
 */
json_t *status_changes_describe (const char *entry,
                                 const json_t *before,
                                 const json_t *after);

#endif
