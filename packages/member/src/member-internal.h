#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

#include "member.h"

/* Takes the member out of the table and frees it. */
void member_forget (struct member_table *table, struct member *member);

#endif
