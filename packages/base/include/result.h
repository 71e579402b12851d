#ifndef BASE_RESULT_H
#define BASE_RESULT_H

/*
 * Numbered result codes.
 *
 * A function that can fail returns an enum result; RESULT_OK is zero.  The
 * codes, their HTTP status and their meaning are defined in result-table.h and
 * listed in docs/errors.md; a test compares the two.
 */

/* Whether a request ran, as far as is known when its caller gets the final
 * response. */
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
  enum outcome outcome; /* reported to the caller of the request */
  const char *text;     /* one sentence for people */
};

/* Returns the entry of INTERNAL for an unknown code, never NULL. */
const struct result_info *result_info (enum result code);

/* Returns the entry at an index, in table order; NULL past the last one. */
const struct result_info *result_entry_at (unsigned index);

/* "done", "not-run", "unknown" or "none". */
const char *outcome_name (enum outcome outcome);

#endif
