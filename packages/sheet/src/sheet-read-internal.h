#ifndef SHEET_SHEET_READ_INTERNAL_H
#define SHEET_SHEET_READ_INTERNAL_H

#include "sheet-field.h"
#include "sheet-read.h"

/* Internal interface between the parts of the CSV reader. */

/*
 * Adds an error to the report.  value may hold any bytes; row and column are
 * as in struct sheet_error.
 */
void sheet_report_add (struct sheet_report *report,
                       enum result code,
                       unsigned row,
                       const char *column,
                       const char *value,
                       size_t value_size,
                       const char *detail,
                       ...) __attribute__ ((format (printf, 7, 8)));

/* Sorts errors by row; errors of one row stay in the order of discovery. */
void sheet_report_sort (struct sheet_report *report);

/*
 * Returns the length of the valid UTF-8 sequence (RFC 3629) at the start of
 * text, or 0 if it does not start with one.
 */
size_t sheet_utf8_length (const unsigned char *text, size_t size);

/*
 * Parses one cell into its field of the row.  Returns false and reports an
 * error if the cell is invalid.
 */
bool sheet_parse_cell (const struct sheet_field *field,
                       char *row_memory,
                       const char *text,
                       size_t size,
                       unsigned row,
                       struct sheet_report *report);

/* Parses a decimal number without sign or leading zero, of up to 9 digits. */
bool sheet_parse_number (const char *text, size_t size, unsigned *out);

/*
 * Validates references between rows, and rows against the inventory.
 * row_lines[kind][index] is the line of a row in the file.
 */
void sheet_check (const struct sheet *sheet,
                  unsigned *const row_lines[SHEET_KIND_COUNT],
                  const struct sheet_read_options *options,
                  struct sheet_report *report);

#endif
