#ifndef ROUTE_STRIKES_TABLE_H
#define ROUTE_STRIKES_TABLE_H

#include "strikes.h"

/* Table of fingerprints that have strikes. */

/* NULL if the fingerprint has no entry. */
struct strike_entry *strikes_find (const struct strikes *strikes,
                                   const char *fingerprint);

/*
 * Creates an entry without strikes.  Reuses the oldest entry when the table is
 * full or memory is short; NULL if there is none to reuse.
 */
struct strike_entry *strikes_create (struct strikes *strikes,
                                     const char *fingerprint);

/* Removes the entry from the table and frees it. */
void strikes_remove (struct strikes *strikes, struct strike_entry *entry);

#endif
