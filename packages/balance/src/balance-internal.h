#ifndef BALANCE_INTERNAL_H
#define BALANCE_INTERNAL_H

#include "balance.h"

/* drain.c */
/* Clears the signals if the endpoint has restarted since. */
void balance_note_restart (struct lane *lane);
/* True while the endpoint drains or backs off. */
bool balance_is_unavailable (const struct lane *lane, int64_t now_ms);
/* True if the lane must outlive the endpoint's entry. */
bool balance_is_retained (const struct lane *lane, int64_t now_ms);

/* place.c; NULL if nothing is known of the data centre. */
struct lane_place *balance_find_place (const struct lanes *lanes,
                                       const char *data_centre);

#endif
