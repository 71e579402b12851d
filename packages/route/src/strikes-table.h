#ifndef ROUTE_STRIKES_TABLE_H
#define ROUTE_STRIKES_TABLE_H

#include "strikes.h"

/* The table of struck fingerprints, apart from what the strikes mean. */

/* NULL if there is none. */
struct strike_entry *strikes_find (const struct strikes *strikes,
                                   const char *fingerprint);

/*
 * A new entry without strikes.  Reuses the oldest entry when the table is full
 * or memory is short; NULL if there is none to reuse.
 */
struct strike_entry *strikes_create (struct strikes *strikes,
                                     const char *fingerprint);

/* Frees the entry. */
void strikes_remove (struct strikes *strikes, struct strike_entry *entry);

#endif
