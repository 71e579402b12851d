#ifndef CLI_ENTRY_H
#define CLI_ENTRY_H

#include "http.h"

/* Requests to the entry hosts that --entry names. */

/*
 * Requests path from all entry hosts in parallel.  responses[i] is that of
 * cli->entries[i].
 */
void entry_query_all (struct cli *cli,
                      const char *path,
                      struct http_response responses[CLI_ENTRY_LIMIT]);
void entry_finish_all (struct cli *cli,
                       struct http_response responses[CLI_ENTRY_LIMIT]);

/* Returns the JSON object of a response with status 200, else NULL. */
const json_t *entry_response_json (const struct http_response *response);

/* Returns a string member of a JSON object, "" if it has none. */
const char *entry_get_text (const json_t *object, const char *key);

/* Returns an integer member of a JSON object, 0 if it has none. */
int64_t entry_get_number (const json_t *object, const char *key);

/*
 * Prints the entry hosts without a valid response to standard error, and
 * returns their number.
 */
size_t entry_print_unreachable (struct cli *cli,
                                const struct http_response *responses);

#endif
