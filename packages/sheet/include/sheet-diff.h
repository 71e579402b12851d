#ifndef SHEET_SHEET_DIFF_H
#define SHEET_SHEET_DIFF_H

#include "sheet-column.h"

enum sheet_difference
{
  SHEET_ADDED,
  SHEET_REMOVED,
  SHEET_CHANGED,
};

struct sheet_field_change
{
  enum sheet_column column;
  char *before; /* canonical cell text */
  char *after;
};

struct sheet_diff_row
{
  enum sheet_difference difference;
  enum sheet_kind kind;
  char name[SHEET_NAME_SIZE];
  struct sheet_field_change *fields; /* of a changed row */
  size_t field_count;
};

struct sheet_diff
{
  struct sheet_diff_row *rows;
  size_t row_count;
  /* Group rows that both have stand in another order, which is priority. */
  bool group_order_changed;
};

/* "added", "removed" or "changed". */
const char *sheet_difference_name (enum sheet_difference difference);

void sheet_diff_init (struct sheet_diff *diff);
void sheet_diff_finish (struct sheet_diff *diff);

/*
 * Fills a diff that was just initialised; finish it in any case.  Rows are
 * compared by kind and name; numbers and history are not compared.
 */
enum result sheet_diff_make (struct sheet_diff *diff,
                             const struct sheet *before,
                             const struct sheet *after);

/* True if nothing differs. */
bool sheet_diff_is_empty (const struct sheet_diff *diff);

#endif
