#ifndef STRIKES_STRIKES_TABLE_H
#define STRIKES_STRIKES_TABLE_H

#include "strikes.h"

/* Table of the traits that have strikes. */

/* NULL if the trait has no entry. */
struct strike_entry *strikes_find (const struct strikes *strikes,
                                   const char *trait);

/*
 * Creates an entry without strikes.  When the table is full or memory is short,
 * it replaces the least important entry; NULL if there is none to replace.
 */
struct strike_entry *strikes_create (struct strikes *strikes,
                                     const char *trait,
                                     enum strikes_kind kind);

/* Removes the entry from the table and frees it. */
void strikes_remove (struct strikes *strikes, struct strike_entry *entry);

/* strikes.c */
bool strikes_is_expired (const struct strike_entry *entry, int64_t now_ms);
/* Index of the first strike that is not void. */
unsigned strikes_first_live (const struct strike_entry *entry);

/* quarantine.c */
/* Crashes that the parts quarantined so far explain. */
struct strikes_explained;
/*
 * Strikes that are neither void nor explained; close ones count once.  Sets
 * *reached_ms to the time of the one with which there were limit of them, if
 * limit is not 0.
 */
unsigned strikes_count_unexplained (const struct strikes *strikes,
                                    const struct strike_entry *entry,
                                    const struct strikes_explained *explained,
                                    unsigned limit,
                                    int64_t *reached_ms);
/* The part for which the request is refused; NULL if there is none. */
const struct strike_entry *
strikes_find_refused_part (const struct strikes *strikes,
                           const struct strikes_traits *traits,
                           int64_t now_ms);

#endif
