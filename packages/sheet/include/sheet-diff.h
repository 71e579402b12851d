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
  char *before; /* formatted by sheet_cell_text, owned */
  char *after;  /* formatted by sheet_cell_text, owned */
};

struct sheet_diff_row
{
  enum sheet_difference difference;
  enum sheet_kind kind;
  char name[SHEET_NAME_SIZE];
  struct sheet_field_change *fields; /* changed cells, of SHEET_CHANGED only */
  size_t field_count;
};

struct sheet_diff
{
  struct sheet_diff_row *rows;
  size_t row_count;
  /*
   * The group rows that both sheets contain are in a different order.  Their
   * order is their priority.
   */
  bool group_order_changed;
};

/* Returns "added", "removed" or "changed". */
const char *sheet_difference_name (enum sheet_difference difference);

void sheet_diff_init (struct sheet_diff *diff);
void sheet_diff_finish (struct sheet_diff *diff);

/*
 * Compares two sheets and fills a newly initialised diff, which must be
 * finished also after an error.  Rows are matched by kind and name.  Sheet
 * numbers and histories are not compared.
 */
enum result sheet_diff_make (struct sheet_diff *diff,
                             const struct sheet *before,
                             const struct sheet *after);

/* True if the two sheets do not differ. */
bool sheet_diff_is_empty (const struct sheet_diff *diff);

#endif
