#ifndef BALANCE_INTERNAL_H
#define BALANCE_INTERNAL_H

#include "balance.h"

/* own-word.c */
/* Forgets what was said in an earlier life of the endpoint. */
void balance_note_life (struct lane *lane);
/* True if the endpoint itself wants no requests now. */
bool balance_is_withheld (const struct lane *lane, int64_t now_ms);
/* True if the lane has to be kept after its endpoint is gone. */
bool balance_is_remembered (const struct lane *lane, int64_t now_ms);

/* place.c; NULL if nothing is known of the data centre. */
struct lane_place *balance_find_place (const struct lanes *lanes,
                                       const char *data_centre);

#endif
