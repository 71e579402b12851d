#ifndef REVIEW_SCHEDULE_H
#define REVIEW_SCHEDULE_H

#include "crowd.h"

/*
 * Ordinary callers before and beside a crowd.  Returns what a case exits with:
 * 1 if the rule was broken, 0 if it held, 2 if the case did not run.
 * arguments: HOST-PROGRAM RECORD.  TROUBLE=0 leaves the crowd out.
 */
int schedule_play (const struct crowd_kind *kinds,
                   unsigned kind_count,
                   int argument_count,
                   char **arguments);

#endif
