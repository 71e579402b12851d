#ifndef BASE_RESULT_H
#define BASE_RESULT_H

/*
 * Numbered result codes.
 *
 * A function that can fail returns an enum result; RESULT_OK is zero.  The
 * codes, their HTTP status and their meaning stand in result-table.h, and
 * docs/errors.md repeats them (a test compares the two).
 */

/* What is known of a request when its caller gets a final answer. */
enum outcome
{
  OUTCOME_NONE,    /* the code does not concern a request */
  OUTCOME_DONE,    /* the request ran to its end */
  OUTCOME_NOT_RUN, /* it certainly did not run */
  OUTCOME_UNKNOWN, /* it may have run, wholly or in part */
};

#define RESULT_ENTRY(number, name, status, outcome, text)                      \
  RESULT_##name = (number),
enum result
{
#include "result-table.h"
};
#undef RESULT_ENTRY

struct result_info
{
  int number;
  const char *name;     /* upper case, without the RESULT_ prefix */
  int http_status;      /* status for callers; 0 if never sent to one */
  enum outcome outcome; /* what the caller is told of its request */
  const char *text;     /* one sentence for people */
};

/* Never returns NULL; an unknown number gives the entry of INTERNAL. */
const struct result_info *result_info (enum result code);

/* Walks the table: returns NULL once index is past the last entry. */
const struct result_info *result_at (unsigned index);

/* "done", "not-run", "unknown" or "none". */
const char *outcome_name (enum outcome outcome);

#endif
