#ifndef SHEET_SHEET_READER_H
#define SHEET_SHEET_READER_H

#include "sheet-field.h"
#include "sheet-read.h"

/* Parts of the CSV reader. */

/* value may hold any bytes; row and column as in struct sheet_error. */
void sheet_report_add (struct sheet_report *report,
                       enum result code,
                       unsigned row,
                       const char *column,
                       const char *value,
                       size_t value_size,
                       const char *detail,
                       ...) __attribute__ ((format (printf, 7, 8)));

/* Orders errors by row, those of one row as they were found. */
void sheet_report_sort (struct sheet_report *report);

/*
 * Length of the valid UTF-8 sequence (RFC 3629) at the start of text, 0 if
 * there is none.
 */
size_t sheet_utf8_length (const unsigned char *text, size_t size);

/*
 * Parses one cell into its field.  False if the cell is bad, in which case
 * it is reported.
 */
bool sheet_parse_cell (const struct sheet_field *field,
                       char *row_memory,
                       const char *text,
                       size_t size,
                       unsigned row,
                       struct sheet_report *report);

/* Decimal without sign or leading zero. */
bool sheet_parse_number (const char *text, size_t size, unsigned *out);

/*
 * Checks that concern several rows.  rows[kind][index] is the line of a row.
 */
void sheet_check (const struct sheet *sheet,
                  unsigned *const rows[SHEET_KIND_COUNT],
                  const struct sheet_read_options *options,
                  struct sheet_report *report);

#endif
