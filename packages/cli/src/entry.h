#ifndef CLI_ENTRY_H
#define CLI_ENTRY_H

#include "http.h"

/* Asks every entry host at once: answers[i] is that of cli->entries[i]. */
void entry_fetch_all (struct cli *cli,
                      const char *path,
                      struct http_answer answers[CLI_ENTRY_LIMIT]);
void entry_finish_all (struct cli *cli,
                       struct http_answer answers[CLI_ENTRY_LIMIT]);

/* The JSON of a good answer, else NULL. */
const json_t *entry_json (const struct http_answer *answer);

/* Text member of a JSON object, "" if there is none. */
const char *entry_text (const json_t *object, const char *key);

/* Number member of a JSON object, 0 if there is none. */
int64_t entry_number (const json_t *object, const char *key);

/* Names the entry hosts that gave no good answer; returns how many. */
size_t entry_print_unreachable (struct cli *cli,
                                const struct http_answer *answers);

#endif
