#ifndef SHEET_SHEET_COLUMN_H
#define SHEET_SHEET_COLUMN_H

#include "sheet.h"

/* Row kinds and columns of a sheet in CSV, and access to cells by column. */

#define SHEET_SPAN_LIMIT 64 /* largest span: hosts per group */

enum sheet_kind
{
  SHEET_KIND_MODEL,
  SHEET_KIND_CUSTOMER,
  SHEET_KIND_GROUP,
  SHEET_KIND_SERVICE,
  SHEET_KIND_COUNT, /* number of kinds */
};

enum sheet_column
{
  SHEET_COLUMN_KIND,
  SHEET_COLUMN_NAME,
  SHEET_COLUMN_MODEL,
  SHEET_COLUMN_VERSION,
  SHEET_COLUMN_ADAPTERS,
  SHEET_COLUMN_SPAN,
  SHEET_COLUMN_COUNT, /* the column "count" */
  SHEET_COLUMN_DATA_CENTRES,
  SHEET_COLUMN_DOMAINS,
  SHEET_COLUMN_HOSTS,
  SHEET_COLUMN_CUSTOMERS,
  SHEET_COLUMN_CREDENTIAL_SHA256,
  SHEET_COLUMN_WEIGHT,
  SHEET_COLUMN_RATE,
  SHEET_COLUMN_IN_FLIGHT,
  SHEET_COLUMN_NON_IDEMPOTENT,
  SHEET_COLUMNS, /* number of columns */
};

const char *sheet_kind_name (enum sheet_kind kind);
const char *sheet_column_name (enum sheet_column column);

/* Number of rows of one kind. */
size_t sheet_count_rows_of_kind (const struct sheet *sheet,
                                 enum sheet_kind kind);

/* Number of rows of all kinds, without header and end row. */
size_t sheet_row_count (const struct sheet *sheet);

const char *
sheet_row_name (const struct sheet *sheet, enum sheet_kind kind, size_t index);

/*
 * Formats a cell as canonical text: numbers in decimal, lists sorted and
 * joined by ';'.  The caller frees the text.  Returns NULL if the kind has no
 * such column or memory is short.
 */
char *sheet_cell_text (const struct sheet *sheet,
                       enum sheet_kind kind,
                       size_t index,
                       enum sheet_column column);

#endif
