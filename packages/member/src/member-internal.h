#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "member.h"

/* Removes the member from the table and frees it. */
void member_remove (struct member_table *table, struct member *member);

#endif
