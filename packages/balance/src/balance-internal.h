#ifndef BALANCE_INTERNAL_H
#define BALANCE_INTERNAL_H

#include "balance.h"

/* drain.c */
/* Clears the signals of the endpoint if it has restarted. */
void balance_note_restart (struct endpoint_load *load, int64_t now_ms);
/* True while the endpoint drains or backs off. */
bool balance_is_unavailable (const struct endpoint_load *load, int64_t now_ms);
/* True if the load must outlive the endpoint's entry. */
bool balance_is_retained (const struct endpoint_load *load, int64_t now_ms);

/* cold.c */
/*
 * True if the limit of a cold endpoint leaves room for a request now.  The
 * endpoint must be cold.
 */
bool balance_is_cold_due (struct load_table *loads,
                          const struct catalog_service *service,
                          struct endpoint_load *load,
                          int64_t now_ms);

/* remote.c */
/* Finds the state of a data centre; NULL if it has none. */
struct remote_data_centre *balance_find_remote (const struct load_table *loads,
                                                const char *data_centre);

#endif
