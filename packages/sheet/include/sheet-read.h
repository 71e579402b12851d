#ifndef SHEET_SHEET_READ_H
#define SHEET_SHEET_READ_H

#include "sheet-column.h"
#include "sheet-inventory.h"

/*
 * Reader of the CSV form.  It validates the whole sheet and reports every
 * error, so that an operator corrects a sheet in one round.
 */

#define SHEET_ERROR_LIMIT 1000
#define SHEET_ERROR_VALUE_SIZE 96
#define SHEET_ERROR_DETAIL_SIZE 160

/* Largest value of a platform object (design, section 2), in bytes. */
#define SHEET_OBJECT_LIMIT 1000000

struct sheet_error
{
  enum result code;
  unsigned row;       /* line in the file, the header is 1; 0 = whole sheet */
  const char *column; /* name of the column; "" = the whole row */
  char value[SHEET_ERROR_VALUE_SIZE]; /* printable UTF-8, maybe shortened */
  char detail[SHEET_ERROR_DETAIL_SIZE];
};

struct sheet_report
{
  struct sheet_error *errors; /* by row, those of the whole sheet last */
  size_t error_count;         /* kept: at most SHEET_ERROR_LIMIT */
  size_t error_total;         /* found */
  size_t rows;                /* without header and end row */
  bool places_checked;
  bool no_memory;
};

struct sheet_read_options
{
  /* NULL: data centres, domains and hosts are not checked. */
  const struct sheet_inventory *inventory;
  const struct sheet *previous; /* NULL: there is none */
  bool force; /* accept an empty sheet or one that lost over half its rows */
};

void sheet_report_init (struct sheet_report *report);
void sheet_report_finish (struct sheet_report *report);

/*
 * Fills a sheet that was just initialised; finish it in any case, and use it
 * only after RESULT_OK.  The report must be just initialised.  Returns the
 * code of the first error, RESULT_NO_MEMORY or RESULT_OK.
 */
enum result sheet_read (struct sheet *sheet,
                        const char *text,
                        size_t size,
                        const struct sheet_read_options *options,
                        struct sheet_report *report);

#endif
