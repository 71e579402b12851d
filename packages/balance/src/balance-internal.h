#ifndef BALANCE_INTERNAL_H
#define BALANCE_INTERNAL_H

#include "balance.h"

/* place.c; NULL if nothing is known of the data centre. */
struct lane_place *balance_find_place (const struct lanes *lanes,
                                       const char *data_centre);

#endif
