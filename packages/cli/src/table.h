#ifndef CLI_TABLE_H
#define CLI_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Text table: cells are added row by row, then printed in aligned columns. */
struct table
{
  size_t columns;
  char **cells; /* row by row, the headings first */
  size_t count; /* cells, with the headings */
  bool failed;  /* memory is short: some cells are missing */
};

/* headings are separated by '|', one for each column. */
void table_init (struct table *table, const char *headings);
void table_finish (struct table *table);

/*
 * Appends a cell.  Control characters are replaced, since values come from
 * other processes.
 */
void table_add (struct table *table, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Prints nothing if the table has no rows or a cell is missing. */
void table_print (const struct table *table, FILE *out);

/* Formats as "2026-01-31T23:59:59Z", or "-" for zero or less. */
#define TABLE_TIME_SIZE 24
void table_format_time (char out[TABLE_TIME_SIZE], int64_t wall_ms);

#endif
