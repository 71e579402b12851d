#ifndef SHEET_SHEET_READ_H
#define SHEET_SHEET_READ_H

#include "sheet-column.h"
#include "sheet-inventory.h"

/*
 * Reader of sheets in CSV.  It validates the whole sheet and reports every
 * error, so that an operator can correct all of them at once.
 */

#define SHEET_ERROR_LIMIT 1000 /* errors kept in a report */
#define SHEET_ERROR_VALUE_SIZE 96
#define SHEET_ERROR_DETAIL_SIZE 160

/* Largest platform object (design, section 2), in bytes. */
#define SHEET_OBJECT_LIMIT_BYTES 1000000

struct sheet_error
{
  enum result code;
  unsigned row;       /* line in the file, 1 = header; 0 = whole sheet */
  const char *column; /* column name; "" = the whole row */
  char value[SHEET_ERROR_VALUE_SIZE]; /* printable UTF-8, truncated if long */
  char detail[SHEET_ERROR_DETAIL_SIZE];
};

struct sheet_report
{
  struct sheet_error *errors; /* by row; errors of the whole sheet come last */
  size_t error_count;         /* entries of errors, at most SHEET_ERROR_LIMIT */
  size_t error_total;         /* errors found, also beyond the limit */
  size_t rows;                /* data rows, without header and end row */
  bool places_checked;        /* data centres, domains and hosts were checked */
  bool no_memory;
};

struct sheet_read_options
{
  /* Host list; NULL = data centres, domains and hosts are not checked. */
  const struct sheet_inventory *inventory;
  const struct sheet *previous; /* accepted sheet; NULL = none */
  bool force; /* accept an empty sheet or one with under half the rows */
};

void sheet_report_init (struct sheet_report *report);
void sheet_report_finish (struct sheet_report *report);

/*
 * Parses and validates text.  Both sheet and report must be newly
 * initialised, and must be finished also after an error.  The sheet may be
 * used only after RESULT_OK.  Returns the code of the first error,
 * RESULT_NO_MEMORY or RESULT_OK.
 */
enum result sheet_read (struct sheet *sheet,
                        const char *text,
                        size_t size,
                        const struct sheet_read_options *options,
                        struct sheet_report *report);

#endif
